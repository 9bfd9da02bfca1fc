//! Records in the store where streams began, so that any gateway can resume them after any series of
//! restarts.
//!
//! Each append has one record with all origins that were queued since the one before. The records are
//! written behind the streams, which do not wait for them; a gateway that has no origin of a stream
//! reads what was written since its last read. A process deletes its own records once their streams can
//! no longer be resumed, and what earlier processes left.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_rt::time::{sleep, sleep_until, timeout};
use clementinepick::event::{Event, EventKind};
use clementinepick::stream_origin::StreamOrigin;
use clementinepick::units::SpanUs;
use platform::store::KeyedRecord;
use serde::{Deserialize, Serialize};
use tokio::sync::{Mutex, Notify};

use crate::append_allowance::AppendAllowance;
use crate::gateway_origins::SharedOrigin;
use crate::gateway_shared::Shared;
use crate::ledger::{LedgerError, from_cbor, key_of, to_cbor};
use crate::link::to_span;
use crate::list_refresh::MIN_REFRESH_INTERVAL;
use crate::store::StorePurpose;
use crate::unix_time::unix_ms;

/// How the keys of records begin.
const KEY_PREFIX: &str = "o-";
/// How long an append may take before it is made again, and how long the first read may take.
const APPEND_TIMEOUT: Duration = Duration::from_millis(400);
const LOAD_TIMEOUT: Duration = Duration::from_secs(2);
/// The name in logs and metrics of an append.
const APPEND_PART: &str = "origin_append";
/// The pause after a failed call.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// How long the first of some origins waits for those that begin, or whose server answers, just after it.
const COLLECT_TIME: Duration = Duration::from_millis(10);
/// The minimum interval of appends on average, and how many of them may follow each other without it.
const MIN_APPEND_INTERVAL: Duration = Duration::from_millis(200);
const APPEND_BURST: u32 = 5;
/// The number of appends of all processes together: each process appends less often the more there are.
const MAX_APPENDS_PER_S: u32 = 250;
/// The maximum number of origins in a record, about 70 kB.
const MAX_BATCH: usize = 512;
/// The maximum number of origins that wait while the store is unavailable. Beyond it, those whose attempts
/// sort first are not recorded.
const MAX_QUEUED: usize = 16_384;
/// How long an origin is recorded at most, so that a read of all records takes a few calls; callers that
/// wait for longer need a process that remembers it.
const MAX_RECORD_TIME: Duration = Duration::from_mins(1);
/// The maximum number of this process's records that are kept.
const MAX_OWN_RECORDS: usize = 1_024;
/// The maximum number of records that one append deletes.
const MAX_DELETIONS: usize = 256;
/// How much longer than its stream can be resumed an origin is kept: clocks differ by seconds.
const CLOCK_MARGIN: Duration = Duration::from_secs(10);
/// How often expired records are deleted without other appends.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(5);

/// The origin of one stream in the store.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct RecordedOrigin {
    #[serde(rename = "a")]
    attempt: String,
    #[serde(rename = "o")]
    origin: StreamOrigin,
    /// Until when its caller may resume the stream.
    #[serde(rename = "e")]
    expires_unix_ms: u64,
}

/// An origin that is not recorded yet.
#[derive(Debug, Clone)]
struct QueuedOrigin {
    origin: StreamOrigin,
    expires_at: Instant,
}

type Queue = BTreeMap<String, QueuedOrigin>;

/// A record of this process.
#[derive(Debug)]
struct OwnRecord {
    key: String,
    delete_at: Instant,
}

/// What this process has recorded, has yet to record, and has read.
#[derive(Default)]
pub(crate) struct OriginLog {
    queued: RefCell<Queue>,
    /// Whether an append is in progress.
    is_appending: Cell<bool>,
    own: RefCell<VecDeque<OwnRecord>>,
    next_record: Cell<u64>,
    has_work: Notify,
    has_written: Notify,
    /// The end of what was read, and the start of the call that returned it; `None` before the first read.
    read: Cell<Option<(u64, Instant)>>,
    /// Held during each read; contains the start of the last one.
    access: Mutex<Option<Instant>>,
}

impl OriginLog {
    /// Queues an origin in place of what was queued for the same attempt.
    fn queue(&self, attempt: &str, queued: QueuedOrigin) {
        let mut queue = self.queued.borrow_mut();
        queue.insert(key_of(attempt), queued);
        if queue.len() > MAX_QUEUED {
            queue.pop_first();
        }
        drop(queue);
        self.has_work.notify_one();
    }

    /// Takes as many origins as fit into one record; those that have expired are dropped.
    fn take_batch(&self, now: Instant) -> Queue {
        let mut queue = self.queued.borrow_mut();
        queue.retain(|_, queued| queued.expires_at > now);
        let rest = queue.keys().nth(MAX_BATCH).cloned();
        let rest = rest.map(|first| queue.split_off(&first));
        std::mem::replace(&mut *queue, rest.unwrap_or_default())
    }

    /// Queues origins again whose append failed, but for those that were queued since.
    fn restore(&self, batch: Queue) {
        let mut queue = self.queued.borrow_mut();
        for (attempt, queued) in batch {
            queue.entry(attempt).or_insert(queued);
        }
    }

    /// Takes the keys of this process's records that are no longer needed.
    fn take_expired(&self, now: Instant) -> Vec<String> {
        let mut own = self.own.borrow_mut();
        let excess = own.len().saturating_sub(MAX_OWN_RECORDS);
        let mut expired = Vec::new();
        let mut number = 0;
        own.retain(|record| {
            let is_expired = number < excess || record.delete_at <= now;
            number += 1;
            let is_deleted = is_expired && expired.len() < MAX_DELETIONS;
            if is_deleted {
                expired.push(record.key.clone());
            }
            !is_deleted
        });
        expired
    }

    fn restore_expired(&self, keys: Vec<String>, now: Instant) {
        let expired = keys.into_iter().map(|key| OwnRecord {
            key,
            delete_at: now,
        });
        self.own.borrow_mut().extend(expired);
    }

    fn is_idle(&self) -> bool {
        self.queued.borrow().is_empty() && !self.is_appending.get()
    }

    async fn wait_until_written(&self) {
        while !self.is_idle() {
            self.has_written.notified().await;
        }
    }
}

impl Shared {
    /// Queues the origin of a stream to be recorded in the store.
    pub(crate) fn log_origin(
        &self,
        attempt: &str,
        origin: StreamOrigin,
        deadline: Instant,
        now: Instant,
    ) {
        let expires_at = deadline.min(now + MAX_RECORD_TIME);
        let queued = QueuedOrigin { origin, expires_at };
        self.origin_log.queue(attempt, queued);
    }

    /// Waits until all origins are recorded, for `limit` at most and only while the store is available.
    pub(crate) async fn wait_until_origins_recorded(&self, limit: Duration) {
        if !self.store.is_unavailable()
            && timeout(limit, self.origin_log.wait_until_written())
                .await
                .is_err()
        {
            let unrecorded = self.origin_log.queued.borrow().len();
            let event = Event::new(EventKind::OriginsUnrecorded).with("streams", unrecorded);
            self.log(&event);
        }
    }

    /// Returns the record of queued origins; `None` if there are none.
    fn origin_record(&self, batch: &Queue, now: Instant) -> Option<KeyedRecord> {
        let log = &self.origin_log;
        let now_unix_ms = unix_ms();
        let last = batch.values().map(|queued| queued.expires_at).max()?;
        let recorded = |(attempt, queued): (&String, &QueuedOrigin)| RecordedOrigin {
            attempt: attempt.clone(),
            origin: queued.origin.clone(),
            expires_unix_ms: now_unix_ms
                + to_span(queued.expires_at.saturating_duration_since(now)).as_ms(),
        };
        let recorded: Vec<RecordedOrigin> = batch.iter().map(recorded).collect();
        let number = log.next_record.get();
        log.next_record.set(number + 1);
        let key = format!("{KEY_PREFIX}{}-{number}", self.writer);
        log.own.borrow_mut().push_back(OwnRecord {
            key: key.clone(),
            delete_at: last + CLOCK_MARGIN,
        });
        Some(KeyedRecord {
            key,
            value: Some(to_cbor(&recorded)),
        })
    }

    /// Holds the origins of a record; returns whether any of their streams may still be resumed.
    fn load_origins(&self, record: &KeyedRecord, now: Instant) -> bool {
        let Some(value) = &record.value else {
            return false;
        };
        let Some(origins) = from_cbor::<Vec<RecordedOrigin>>(value) else {
            let event = Event::new(EventKind::OriginsUnreadable).with("key", &record.key);
            self.log(&event);
            // Another version of this software may have written it.
            return true;
        };
        let margin_ms = to_span(CLOCK_MARGIN).as_ms();
        let now_unix_ms = unix_ms();
        let mut has_current = false;
        for RecordedOrigin {
            attempt,
            origin,
            expires_unix_ms,
        } in origins
        {
            let kept_until_unix_ms = expires_unix_ms.saturating_add(margin_ms);
            let left_ms = kept_until_unix_ms.saturating_sub(now_unix_ms);
            if left_ms > 0 {
                has_current = true;
                let keep_us = SpanUs::from_ms(left_ms);
                self.hold_newer_origin(&SharedOrigin::new(attempt, origin, keep_us), now);
            }
        }
        has_current
    }

    /// Returns whether the store was read by a call that began at `as_of` or later.
    pub(crate) fn has_read_origins(&self, as_of: Instant) -> bool {
        let read = self.origin_log.read.get();
        read.is_some_and(|(_, read_at)| read_at >= as_of)
    }
}

fn deletion(key: String) -> KeyedRecord {
    KeyedRecord { key, value: None }
}

/// Reads what was recorded, by a call that begins at `as_of` or later, unless another task has done so.
pub(crate) async fn refresh_origins(
    shared: &Shared,
    as_of: Instant,
    limit: Duration,
) -> Result<(), LedgerError> {
    let log = &shared.origin_log;
    let mut last_start = log.access.lock().await;
    if shared.has_read_origins(as_of) {
        return Ok(());
    }
    if let Some(at) = *last_start {
        sleep_until((at + MIN_REFRESH_INTERVAL).into()).await;
    }
    let started_at = Instant::now();
    *last_start = Some(started_at);
    let reader = shared
        .ledger
        .reader(StorePurpose::Origins, started_at + limit);
    let partition = shared.ledger.origin_partition();
    let take = |records: Vec<KeyedRecord>| {
        for record in records.iter().filter(|r| r.key.starts_with(KEY_PREFIX)) {
            shared.load_origins(record, started_at);
        }
    };
    let from = log.read.get().map(|(end, _)| end);
    let end = match from {
        Some(from) => reader.read_from(partition, from, take).await?,
        None => None,
    };
    let end = match end {
        Some(end) => end,
        None => reader.read_newest(partition, take).await?,
    };
    log.read.set(Some((end, started_at)));
    Ok(())
}

/// Reads all records at the start of the process, until it succeeds.
pub(crate) async fn load_recorded_origins(shared: Rc<Shared>) {
    while shared.store.is_unavailable() || load(&shared).await.is_err() {
        // The store client counts the failure.
        sleep(RETRY_INTERVAL).await;
    }
}

/// Reads all records, and deletes those of earlier processes whose streams can no longer be resumed.
async fn load(shared: &Shared) -> Result<(), LedgerError> {
    let now = Instant::now();
    let reader = shared
        .ledger
        .reader(StorePurpose::Origins, now + LOAD_TIMEOUT);
    let mut expired = Vec::new();
    let take = |records: Vec<KeyedRecord>| {
        for record in records {
            if record.key.starts_with(KEY_PREFIX) && !shared.load_origins(&record, now) {
                expired.push(deletion(record.key));
            }
        }
    };
    let end = reader
        .read_newest(shared.ledger.origin_partition(), take)
        .await?;
    shared.origin_log.read.set(Some((end, now)));
    for records in expired.chunks(MAX_DELETIONS) {
        append(shared, records).await?;
    }
    Ok(())
}

async fn append(shared: &Shared, records: &[KeyedRecord]) -> Result<(), LedgerError> {
    let partition = shared.ledger.origin_partition();
    let deadline = Instant::now() + APPEND_TIMEOUT;
    let append = shared
        .ledger
        .append(StorePurpose::Origins, partition, None, records, deadline);
    if append.await?.status == 200 {
        Ok(())
    } else {
        Err(LedgerError::Unavailable)
    }
}

/// Records origins until dropped.
pub(crate) async fn write_origins(shared: Rc<Shared>) {
    let log = &shared.origin_log;
    let mut allowance = AppendAllowance::new(APPEND_BURST, Instant::now());
    loop {
        if log.queued.borrow().is_empty() {
            // Expired records are deleted in any case.
            let _ = timeout(CLEANUP_INTERVAL, log.has_work.notified()).await;
        }
        sleep(COLLECT_TIME).await;
        let now = Instant::now();
        let interval = append_interval(shared.directory().peers.len() + 1);
        allowance.replenish(interval, now);
        if shared.store.is_unavailable() || !allowance.is_available() {
            sleep(RETRY_INTERVAL.min(interval)).await;
            continue;
        }
        write_batch(&shared, &mut allowance, now).await;
    }
}

async fn write_batch(shared: &Shared, allowance: &mut AppendAllowance, now: Instant) {
    let log = &shared.origin_log;
    let batch = log.take_batch(now);
    let expired = log.take_expired(now);
    let deletions = expired.iter().cloned().map(deletion);
    let records: Vec<KeyedRecord> = shared
        .origin_record(&batch, now)
        .into_iter()
        .chain(deletions)
        .collect();
    if !records.is_empty() {
        allowance.take();
        log.is_appending.set(true);
        let append = shared.tasks.contain(APPEND_PART, append(shared, &records));
        let is_written = append.await.is_some_and(|appended| appended.is_ok());
        log.is_appending.set(false);
        if !is_written {
            // A repeated record has another key; both are deleted when they have expired.
            log.restore(batch);
            log.restore_expired(expired, now);
            sleep(RETRY_INTERVAL).await;
        }
    }
    log.has_written.notify_waiters();
}

/// Returns the mean interval of this process's appends beside `processes - 1` others.
fn append_interval(processes: usize) -> Duration {
    let processes = u32::try_from(processes).unwrap_or(u32::MAX);
    let shared_interval = Duration::from_secs(1) / MAX_APPENDS_PER_S;
    MIN_APPEND_INTERVAL.max(shared_interval.saturating_mul(processes))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn queued(version: &str, expires_at: Instant) -> QueuedOrigin {
        let origin = StreamOrigin {
            service: "models".to_owned(),
            version: version.to_owned().into(),
            is_unproven: false,
            unanswered: None,
        };
        QueuedOrigin { origin, expires_at }
    }

    /// Guards against a failed append that brings back what was queued before.
    #[test]
    fn what_was_queued_since_a_failed_append_stays() {
        let now = Instant::now();
        let later = now + Duration::from_secs(4);
        let log = OriginLog::default();
        log.queue("a", queued("v1", later));
        log.queue("b", queued("v1", later));
        let batch = log.take_batch(now);
        assert_eq!(batch.len(), 2);
        log.queue("a", queued("v2", later));
        log.restore(batch);
        let batch = log.take_batch(now);
        let versions: Vec<String> = batch
            .values()
            .map(|queued| queued.origin.version.to_string())
            .collect();
        assert_eq!(versions, ["v2", "v1"]);
    }

    /// Guards against a queue that grows or is written in vain while the store is unavailable.
    #[test]
    fn the_queue_is_bounded_and_expires() {
        let now = Instant::now();
        let log = OriginLog::default();
        log.queue("old", queued("v1", now));
        for number in 0..=MAX_QUEUED {
            let attempt = format!("s{number:06}");
            log.queue(&attempt, queued("v1", now + Duration::from_secs(4)));
        }
        assert_eq!(log.queued.borrow().len(), MAX_QUEUED);
        assert_eq!(log.take_batch(now).len(), MAX_BATCH);
        let later = now + Duration::from_secs(5);
        assert!(log.take_batch(later).is_empty());
        assert!(log.is_idle());
    }

    /// Guards against records that stay in the store.
    #[test]
    fn records_are_deleted_once_their_streams_have_expired() {
        let now = Instant::now();
        let log = OriginLog::default();
        for number in 0..3 {
            log.own.borrow_mut().push_back(OwnRecord {
                key: format!("o-{number}"),
                delete_at: now + Duration::from_secs(number),
            });
        }
        let later = now + Duration::from_secs(1);
        assert_eq!(log.take_expired(later), ["o-0", "o-1"]);
        assert!(log.take_expired(later).is_empty());
        log.restore_expired(vec!["o-0".to_owned()], later);
        assert_eq!(log.take_expired(later), ["o-0"]);
    }

    /// Guards against appends of many processes that together exceed what the store takes.
    #[test]
    fn processes_append_less_often_the_more_there_are() {
        assert_eq!(append_interval(9), MIN_APPEND_INTERVAL);
        assert_eq!(append_interval(2_500), Duration::from_secs(10));
    }
}
