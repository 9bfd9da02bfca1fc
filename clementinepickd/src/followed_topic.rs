//! A topic of the store that is followed: read whole once, then only what is new.
//!
//! Read whole each time, the list of 3,000 servers is 1 MB; 300 processes that do so twice a second
//! ask the store for more than it gives, and learn of changes seconds late.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bytes::Bytes;
use platform::store::{NewestPage, Topic, decode_newest, decode_read, newest_target, read_target};

use crate::store::{StoreCall, StoreClient};

/// How often the topic is read whole all the same: what went wrong unnoticed is mended after this
/// time, and costs a twentieth of reading it whole each time.
const READ_ALL: Duration = Duration::from_secs(10);
/// How many answers one look takes; each brings up to a megabyte of new records.
const MAX_READS: usize = 8;

/// A followed topic of one partition.
#[derive(Debug)]
pub(crate) struct FollowedTopic {
    topic: Topic,
    records: BTreeMap<String, Bytes>,
    end: Option<u64>,
    read_all_at: Option<Instant>,
}

/// The store gave no answer, or one that can't be read; what was read before stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct NotRead;

impl FollowedTopic {
    pub(crate) fn new(topic: Topic) -> Self {
        Self {
            topic,
            records: BTreeMap::new(),
            end: None,
            read_all_at: None,
        }
    }

    /// The newest record of each key.
    pub(crate) fn records(&self) -> &BTreeMap<String, Bytes> {
        &self.records
    }

    /// Reads what is new; true if there was anything.
    pub(crate) async fn look(
        &mut self,
        store: &StoreClient,
        now: Instant,
        deadline: Instant,
    ) -> Result<bool, NotRead> {
        let is_due = |at: Instant| now.saturating_duration_since(at) >= READ_ALL;
        if let Some(end) = self.end
            && !self.read_all_at.is_none_or(is_due)
            && let Some(changed) = self.read_on(store, end, deadline).await?
        {
            return Ok(changed);
        }
        let changed = self.read_all(store, deadline).await?;
        self.read_all_at = Some(now);
        Ok(changed)
    }

    /// Reads from the end on; none where the records from there are gone.
    async fn read_on(
        &mut self,
        store: &StoreClient,
        from: u64,
        deadline: Instant,
    ) -> Result<Option<bool>, NotRead> {
        let mut from = from;
        let mut changed = false;
        for _ in 0..MAX_READS {
            let call = StoreCall::get(read_target(&self.topic, 0, from, 0));
            let reply = store.call(&call, deadline).await.map_err(|_| NotRead)?;
            if reply.status != 200 {
                return Ok(None);
            }
            let read = decode_read(&reply.body).map_err(|_| NotRead)?;
            if read.end < from {
                // The partition is not the one that was read before.
                return Ok(None);
            }
            from += read.records.len() as u64;
            changed |= !read.records.is_empty();
            for record in read.records {
                match record.value {
                    Some(value) => self.records.insert(record.key, value),
                    None => self.records.remove(&record.key),
                };
            }
            self.end = Some(from);
            if from >= read.end {
                return Ok(Some(changed));
            }
        }
        Ok(None)
    }

    async fn read_all(&mut self, store: &StoreClient, deadline: Instant) -> Result<bool, NotRead> {
        let mut records = BTreeMap::new();
        let mut after: Option<String> = None;
        let mut first_end = None;
        loop {
            let call = StoreCall::get(newest_target(&self.topic, 0, after.as_deref()));
            let reply = store.call(&call, deadline).await.map_err(|_| NotRead)?;
            let page: NewestPage = match decode_newest(&reply.body) {
                Ok(page) if reply.status == 200 => page,
                _ => return Err(NotRead),
            };
            // Records written between two pages are read again from the first page's end.
            first_end.get_or_insert(page.end);
            after = page.records.last().map(|record| record.key.clone());
            let values = page.records.into_iter();
            records.extend(values.filter_map(|r| Some((r.key, r.value?))));
            if !page.has_more || after.is_none() {
                break;
            }
        }
        let changed = records != self.records;
        self.records = records;
        self.end = first_end;
        Ok(changed)
    }
}
