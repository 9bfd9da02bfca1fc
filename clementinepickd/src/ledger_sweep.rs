//! Deletes expired records of programs and turns.
//!
//! The processes share the work without coordination: each sweeps the partitions in its own order,
//! at an interval at which all processes together sweep each partition once in a period. A lost
//! process leaves no partition unswept.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use clementinepick::budget_ledger::{BudgetRecord, expired_keys};
use clementinepick::record_expiry::is_expired;
use clementinepick::turn_chain::TurnRecord;
use platform::store::{KeyedRecord, Topic};

use crate::ledger::{LedgerError, LedgerStore, Partition, from_cbor};
use crate::ledger_turns::turn_key;
use crate::store::StorePurpose;

/// How long the sweep of one partition may take.
const SWEEP_TIMEOUT: Duration = Duration::from_secs(2);

/// The progress of this process's sweep.
#[derive(Debug, Default)]
pub(crate) struct Sweep {
    position: u64,
    swept_at: Option<Instant>,
}

impl Sweep {
    /// Creates a sweep that starts at any position, so that processes that start together spread
    /// out.
    pub(crate) fn starting_at(position: u64) -> Self {
        Self {
            position,
            swept_at: None,
        }
    }

    /// Sweeps the next partition if it is due; `processes` processes share the work.
    pub(crate) async fn step(
        &mut self,
        store: &LedgerStore,
        processes: usize,
        now: Instant,
        now_unix_ms: u64,
    ) {
        let first = *self.swept_at.get_or_insert(now);
        let interval = interval(store, processes);
        if now.saturating_duration_since(first) < interval || store.client.is_unavailable() {
            return;
        }
        self.swept_at = Some(now);
        self.position = self.position.wrapping_add(1);
        let partition = partition_at(store, self.position);
        // A failed sweep is repeated in the next round; it costs only space.
        let _ = sweep_partition(store, partition, now + SWEEP_TIMEOUT, now_unix_ms).await;
    }
}

fn partition_count(store: &LedgerStore) -> u64 {
    let settings = &store.settings;
    let topics = u64::from(settings.budget_topics) + u64::from(settings.turn_topics);
    topics * u64::from(settings.partitions)
}

fn interval(store: &LedgerStore, processes: usize) -> Duration {
    let partitions = u32::try_from(partition_count(store)).unwrap_or(u32::MAX);
    let processes = u32::try_from(processes).unwrap_or(u32::MAX);
    let period = store.settings.sweep_period;
    period.saturating_mul(processes) / partitions.max(1)
}

fn partition_at(store: &LedgerStore, position: u64) -> Partition {
    let settings = &store.settings;
    let place = position % partition_count(store).max(1);
    let partitions = u64::from(settings.partitions.max(1));
    let topic = u8::try_from(place / partitions).unwrap_or(0);
    let topic = match topic.checked_sub(settings.budget_topics) {
        Some(number) => Topic::Turns(number),
        None => Topic::Budgets(topic),
    };
    Partition {
        topic,
        number: u32::try_from(place % partitions).unwrap_or(0),
    }
}

async fn sweep_partition(
    store: &LedgerStore,
    partition: Partition,
    deadline: Instant,
    now_unix_ms: u64,
) -> Result<(), LedgerError> {
    let mut records = Vec::new();
    let reader = store.reader(StorePurpose::Sweep, deadline);
    reader
        .read_newest(partition, |page| records.extend(page))
        .await?;
    let keys = match partition.topic {
        Topic::Budgets(_) => expired_keys(&decode_budgets(&records), now_unix_ms),
        _ => expired_turns(&records, now_unix_ms),
    };
    if keys.is_empty() {
        return Ok(());
    }
    let deletions: Vec<KeyedRecord> = keys
        .into_iter()
        .map(|key| KeyedRecord { key, value: None })
        .collect();
    let append = store.append(StorePurpose::Sweep, partition, None, &deletions, deadline);
    append.await?;
    Ok(())
}

fn decode_budgets(records: &[KeyedRecord]) -> Vec<(String, BudgetRecord)> {
    let decoded = records.iter().filter_map(|record| {
        let budget = from_cbor(record.value.as_ref()?)?;
        Some((record.key.clone(), budget))
    });
    decoded.collect()
}

/// Returns the keys of expired turns and of their parts. The parts of a turn are written before its
/// record, so that parts without a record may belong to a turn that is being written; they are
/// kept.
fn expired_turns(records: &[KeyedRecord], now_unix_ms: u64) -> Vec<String> {
    let is_old = |record: &&KeyedRecord| {
        let turn: Option<TurnRecord> = record.value.as_ref().and_then(|value| from_cbor(value));
        turn.is_some_and(|t| is_expired(t.recorded_unix_ms, t.retain_ms, now_unix_ms))
    };
    let expired: BTreeSet<&str> = records.iter().filter(is_old).map(|r| &*r.key).collect();
    let keys = records.iter().map(|record| &record.key);
    let keys = keys.filter(|key| expired.contains(turn_key(key)));
    keys.cloned().collect()
}

#[cfg(test)]
mod tests {
    use bytes::Bytes;

    use super::*;
    use crate::ledger::to_cbor;

    fn record(key: &str, recorded_unix_ms: u64) -> KeyedRecord {
        let turn = TurnRecord {
            parent: None,
            server: None,
            recorded_unix_ms,
            retain_ms: 1,
            input_bytes: 0,
            parts: 0,
            turns: 1,
            body: Bytes::new(),
        };
        KeyedRecord {
            key: key.to_owned(),
            value: Some(to_cbor(&turn)),
        }
    }

    /// Guards against parts that are never deleted, and parts that are taken for records by their text.
    #[test]
    fn parts_expire_with_their_record_in_any_order() {
        const NOW_MS: u64 = 1_000_000;
        let records = [
            record("old!0001", NOW_MS),
            record("new!0000", 0),
            record("older", 0),
            record("old", 0),
            record("new", NOW_MS),
            record("old!0000", NOW_MS),
            record("unfinished!0000", 0),
        ];
        let expected = ["old!0001", "older", "old", "old!0000"];
        assert_eq!(expired_turns(&records, NOW_MS), expected);
    }
}
