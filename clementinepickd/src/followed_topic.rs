//! A topic of the store that is followed: read whole once, then only what is new.
//!
//! Read whole each time, the list of 3,000 servers is 1 MB; 300 processes that do so twice a second
//! ask the store for more than it gives, and learn of changes seconds late.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bytes::Bytes;
use platform::store::{KeyedRecord, Topic, read_target};

use crate::ledger::Partition;
use crate::partition_reader::{PartitionReader, records_from};
use crate::store::{StoreCall, StoreClient, StorePurpose, StoreUnavailable};

/// How often the topic is read whole all the same: what went wrong unnoticed is mended after this
/// time, and costs a twentieth of reading it whole each time.
const READ_ALL: Duration = Duration::from_secs(10);

/// A followed topic of one partition.
#[derive(Debug)]
pub(crate) struct FollowedTopic {
    partition: Partition,
    records: BTreeMap<String, Bytes>,
    end: Option<u64>,
    read_all_at: Option<Instant>,
}

impl FollowedTopic {
    pub(crate) fn new(topic: Topic) -> Self {
        Self {
            partition: Partition { topic, number: 0 },
            records: BTreeMap::new(),
            end: None,
            read_all_at: None,
        }
    }

    /// The newest record of each key.
    pub(crate) fn records(&self) -> &BTreeMap<String, Bytes> {
        &self.records
    }

    /// Reads what is new; true if there was anything. After an error, what was read before stands.
    pub(crate) async fn poll(
        &mut self,
        store: &StoreClient,
        now: Instant,
        deadline: Instant,
    ) -> Result<bool, StoreUnavailable> {
        let reader = PartitionReader {
            client: store,
            purpose: StorePurpose::Follow,
            deadline,
        };
        if let Some(end) = self.end
            && !self.is_full_read_due(now)
            && let Some(changed) = self.read_new(&reader, end).await?
        {
            return Ok(changed);
        }
        let changed = self.read_all(&reader).await?;
        self.read_all_at = Some(now);
        Ok(changed)
    }

    /// Whether the topic should be read whole, for the first time or again.
    pub(crate) fn is_full_read_due(&self, now: Instant) -> bool {
        let is_due = |at: Instant| now.saturating_duration_since(at) >= READ_ALL;
        self.end.is_none() || self.read_all_at.is_none_or(is_due)
    }

    /// Waits at the store, not through a peer, until there is something new, for `wait` at most;
    /// true if there was.
    pub(crate) async fn long_poll(
        &mut self,
        store: &StoreClient,
        wait: Duration,
    ) -> Result<bool, StoreUnavailable> {
        let from = self.end.ok_or(StoreUnavailable)?;
        let Partition { topic, number } = self.partition;
        let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
        let target = read_target(&topic, number, from, wait_ms);
        let call = StoreCall::get(StorePurpose::Follow, target);
        let reply = store.call_long_poll(&call, wait).await?;
        let Some(read) = records_from(&reply, from)? else {
            self.end = None;
            return Ok(false);
        };
        self.end = Some(from + read.records.len() as u64);
        Ok(take_records(&mut self.records, read.records))
    }

    /// Reads from the end on; none where the records from there are gone.
    async fn read_new(
        &mut self,
        reader: &PartitionReader<'_>,
        from: u64,
    ) -> Result<Option<bool>, StoreUnavailable> {
        let records = &mut self.records;
        let mut changed = false;
        let take = |new: Vec<KeyedRecord>| changed |= take_records(records, new);
        self.end = reader.read_from(self.partition, from, take).await?;
        Ok(self.end.map(|_| changed))
    }

    async fn read_all(&mut self, reader: &PartitionReader<'_>) -> Result<bool, StoreUnavailable> {
        let mut records = BTreeMap::new();
        let take = |page: Vec<KeyedRecord>| {
            let page = page.into_iter();
            records.extend(page.filter_map(|record| Some((record.key, record.value?))));
        };
        let end = reader.read_newest(self.partition, take).await?;
        let changed = records != self.records;
        self.records = records;
        self.end = Some(end);
        Ok(changed)
    }
}

/// Applies new records; true if there are any.
fn take_records(records: &mut BTreeMap<String, Bytes>, new: Vec<KeyedRecord>) -> bool {
    let has_news = !new.is_empty();
    for record in new {
        match record.value {
            Some(value) => records.insert(record.key, value),
            None => records.remove(&record.key),
        };
    }
    has_news
}
