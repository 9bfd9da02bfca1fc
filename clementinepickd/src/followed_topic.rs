//! Keeps a local copy of a topic of the store: reads it in full now and then and otherwise only new records.
//!
//! A full read goes on where the last read stopped: a topic of many pages takes longer than one read may.
//!
//! A full read of 3,000 servers is 1 MB. If 300 processes read it twice a second, they would exceed
//! the store's limits and learn of changes seconds late.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bytes::Bytes;
use platform::store::{KeyedRecord, NewestPage, Topic, UnreadableItem, read_target};

use crate::ledger::Partition;
use crate::page_progress::PageProgress;
use crate::partition_reader::{PartitionReader, records_from};
use crate::store::{StoreCall, StoreClient, StorePurpose, StoreUnavailable};

/// The interval of full reads, which repair an undetected error in the local copy, at a twentieth
/// of the cost of full reads alone.
const FULL_READ_INTERVAL: Duration = Duration::from_secs(10);
/// How long pages are read before new records are, which must not wait for all pages.
const FULL_READ_SLICE: Duration = Duration::from_millis(500);

/// A local copy of a topic with one partition.
#[derive(Debug)]
pub(crate) struct FollowedTopic {
    partition: Partition,
    records: BTreeMap<String, Bytes>,
    /// The records that the last read replaced or removed, also those that it had only just added.
    replaced: Vec<(String, Bytes)>,
    /// The items of the last full read that can't be read.
    unreadable: Vec<UnreadableItem>,
    end: Option<u64>,
    last_full_read: Option<Instant>,
    /// The full read that is not complete yet.
    full_read: Option<FullRead>,
}

/// The pages of a full read so far.
#[derive(Debug, Default)]
struct FullRead {
    records: BTreeMap<String, Bytes>,
    unreadable: Vec<UnreadableItem>,
    pages: PageProgress,
    /// The offset before which no record is missed, by the first page.
    end: Option<u64>,
}

impl FullRead {
    fn add(&mut self, page: NewestPage) {
        self.end.get_or_insert(page.end);
        let records = page.records.into_iter();
        let records = records.filter_map(|record| Some((record.key, record.value?)));
        self.records.extend(records);
        self.unreadable.extend(page.unreadable);
    }
}

impl FollowedTopic {
    pub(crate) fn new(topic: Topic) -> Self {
        Self {
            partition: Partition { topic, number: 0 },
            records: BTreeMap::new(),
            replaced: Vec::new(),
            unreadable: Vec::new(),
            end: None,
            last_full_read: None,
            full_read: None,
        }
    }

    /// Returns the newest record of each key.
    pub(crate) fn records(&self) -> &BTreeMap<String, Bytes> {
        &self.records
    }

    /// Returns the items of the last full read that can't be read.
    pub(crate) fn unreadable(&self) -> &[UnreadableItem] {
        &self.unreadable
    }

    /// Returns the offset up to which the records are known.
    pub(crate) fn end(&self) -> Option<u64> {
        self.end
    }

    /// Returns the records that the last read replaced or removed, with their keys.
    pub(crate) fn replaced(&self) -> &[(String, Bytes)] {
        &self.replaced
    }

    /// Reads new records; returns whether there were any. After an error, the local copy is
    /// unchanged or holds some of them.
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
        self.replaced.clear();
        let is_full_read_due = self.is_full_read_due(now);
        let mut new = None;
        if let Some(end) = self.end
            && (!is_full_read_due || self.full_read.is_some())
        {
            new = self.read_new(&reader, end).await?;
        }
        if let (Some(has_new), false) = (new, is_full_read_due) {
            return Ok(has_new);
        }
        match (self.read_full(&reader, now).await, new) {
            (Ok(Some(has_changed)), _) => Ok(has_changed || new == Some(true)),
            // The client counts a failure; the pages so far are kept.
            (Ok(None) | Err(_), Some(has_new)) => Ok(has_new),
            (Ok(None) | Err(_), None) => {
                let end = self.end.ok_or(StoreUnavailable)?;
                let changed = self.read_new(&reader, end).await?;
                changed.ok_or(StoreUnavailable)
            }
        }
    }

    /// Reads new records, also while a full read is due, which may take longer than a caller can wait.
    pub(crate) async fn poll_new(
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
        self.replaced.clear();
        if let Some(end) = self.end
            && let Some(changed) = self.read_new(&reader, end).await?
        {
            return Ok(changed);
        }
        self.poll(store, now, deadline).await
    }

    /// Returns whether a full read is due.
    pub(crate) fn is_full_read_due(&self, now: Instant) -> bool {
        let is_due = |at: Instant| now.saturating_duration_since(at) >= FULL_READ_INTERVAL;
        self.end.is_none() || self.last_full_read.is_none_or(is_due)
    }

    /// Long-polls the store directly for new records, for up to `wait`; returns whether there were
    /// any. It fails also if records since the last read are no longer kept.
    pub(crate) async fn long_poll(
        &mut self,
        store: &StoreClient,
        wait: Duration,
    ) -> Result<bool, StoreUnavailable> {
        let from = self.end.ok_or(StoreUnavailable)?;
        self.replaced.clear();
        let Partition { topic, number } = self.partition;
        let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
        let target = read_target(&topic, number, from, wait_ms);
        let call = StoreCall::get(StorePurpose::Follow, target);
        let reply = store.call_long_poll(&call, wait).await?;
        let Some(read) = records_from(store, StorePurpose::Follow, &reply, from)? else {
            // Records were missed: the next read is a full one.
            self.end = None;
            return Err(StoreUnavailable);
        };
        self.end = Some(from.saturating_add(read.count));
        let (records, replaced) = (&mut self.records, &mut self.replaced);
        Ok(apply_records(records, replaced, read.records))
    }

    /// Reads new records; `None` if the records since the last read are no longer kept.
    async fn read_new(
        &mut self,
        reader: &PartitionReader<'_>,
        from: u64,
    ) -> Result<Option<bool>, StoreUnavailable> {
        let (records, replaced) = (&mut self.records, &mut self.replaced);
        let mut changed = false;
        let apply = |new: Vec<KeyedRecord>| changed |= apply_records(records, replaced, new);
        self.end = reader.read_from(self.partition, from, apply).await?;
        Ok(self.end.map(|_| changed))
    }

    /// Goes on with the full read, or begins one; returns whether the records have changed, and `None` if it is
    /// not complete yet.
    async fn read_full(
        &mut self,
        reader: &PartitionReader<'_>,
        now: Instant,
    ) -> Result<Option<bool>, StoreUnavailable> {
        let is_continued = self.full_read.is_some();
        let mut full = self.full_read.take().unwrap_or_default();
        let pages_read = self.read_pages(reader, &mut full, now).await;
        if pages_read.is_err() || !full.pages.is_complete() {
            let can_go_on = full.end.is_some() && !full.pages.is_stuck();
            self.full_read = can_go_on.then_some(full);
            return pages_read.map(|()| None);
        }
        if is_continued {
            // Records of the first pages may have been replaced since.
            let (records, replaced) = (&mut full.records, &mut self.replaced);
            let apply = |new: Vec<KeyedRecord>| {
                apply_records(records, replaced, new);
            };
            let from = full.end.unwrap_or_default();
            match reader.read_from(self.partition, from, apply).await {
                Ok(Some(end)) => full.end = Some(end),
                Ok(None) => return Ok(None),
                Err(err) => {
                    self.full_read = Some(full);
                    return Err(err);
                }
            }
        }
        let changed = full.records != self.records;
        let previous = std::mem::replace(&mut self.records, full.records);
        self.replaced.extend(previous);
        self.unreadable = full.unreadable;
        self.end = full.end;
        self.last_full_read = Some(now);
        Ok(Some(changed))
    }

    /// Reads pages until the last one, or for [`FULL_READ_SLICE`] if there are records to keep up to date.
    async fn read_pages(
        &self,
        reader: &PartitionReader<'_>,
        full: &mut FullRead,
        now: Instant,
    ) -> Result<(), StoreUnavailable> {
        let is_unlimited = self.end.is_none();
        while !full.pages.is_complete() {
            let page = reader.next_page(self.partition, &mut full.pages).await?;
            full.add(page);
            if !is_unlimited && now.elapsed() >= FULL_READ_SLICE {
                break;
            }
        }
        Ok(())
    }
}

/// Applies new records, and moves those that they replace or remove to `replaced`; returns whether
/// there are any new ones.
fn apply_records(
    records: &mut BTreeMap<String, Bytes>,
    replaced: &mut Vec<(String, Bytes)>,
    new: Vec<KeyedRecord>,
) -> bool {
    let has_new = !new.is_empty();
    for KeyedRecord { key, value } in new {
        let previous = match value {
            Some(value) => records.insert(key.clone(), value),
            None => records.remove(&key),
        };
        replaced.extend(previous.map(|value| (key, value)));
    }
    has_new
}
