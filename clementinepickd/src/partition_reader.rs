//! Reads a partition of a keyed topic: new records, or the newest record of each key.

use std::time::Instant;

use platform::store::{
    KeyedRecord, NewestPage, ReadRecords, decode_newest, decode_read, newest_target, read_target,
};

use crate::ledger::Partition;
use crate::page_progress::PageProgress;
use crate::store::{StoreCall, StoreClient, StorePurpose, StoreReply, StoreUnavailable};

/// The maximum number of responses, of up to 1 MB each, in one read of new records. A reader that
/// is further behind reads the newest record of each key instead, which are fewer.
const MAX_READS: usize = 8;

/// Returns the records of a response to a read from an offset; `None` if the records from there are
/// no longer kept.
pub(crate) fn records_from(
    client: &StoreClient,
    purpose: StorePurpose,
    reply: &StoreReply,
    from: u64,
) -> Result<Option<ReadRecords>, StoreUnavailable> {
    if reply.status != 200 {
        return Ok(None);
    }
    let Ok(read) = decode_read(&reply.body) else {
        client.count_unreadable(purpose, reply);
        return Err(StoreUnavailable);
    };
    // An earlier end means that the partition was replaced.
    Ok((read.end >= from).then_some(read))
}

/// Reads partitions for one purpose, until a deadline.
#[derive(Clone, Copy)]
pub(crate) struct PartitionReader<'a> {
    pub(crate) client: &'a StoreClient,
    pub(crate) purpose: StorePurpose,
    pub(crate) deadline: Instant,
}

impl PartitionReader<'_> {
    /// Passes all records from an offset to `take` and returns the end of the partition; `None` if
    /// records from there are no longer kept, even if some were passed.
    pub(crate) async fn read_from(
        &self,
        partition: Partition,
        mut from: u64,
        mut take: impl FnMut(Vec<KeyedRecord>),
    ) -> Result<Option<u64>, StoreUnavailable> {
        for _ in 0..MAX_READS {
            let target = read_target(&partition.topic, partition.number, from, 0);
            let call = StoreCall::get(self.purpose, target);
            let reply = self.client.call(&call, self.deadline).await?;
            let Some(read) = records_from(self.client, self.purpose, &reply, from)? else {
                return Ok(None);
            };
            // A response may hold fewer records than there are.
            from = from.saturating_add(read.count);
            take(read.records);
            if from >= read.end {
                return Ok(Some(from));
            }
        }
        Ok(None)
    }

    /// Passes the newest record of each key to `take`, page by page, and returns an offset before
    /// which no record was missed, but for items that can't be read.
    pub(crate) async fn read_newest(
        &self,
        partition: Partition,
        mut take: impl FnMut(Vec<KeyedRecord>),
    ) -> Result<u64, StoreUnavailable> {
        let mut pages = PageProgress::default();
        let mut first_end = None;
        while !pages.is_complete() {
            let page = self.next_page(partition, &mut pages).await?;
            // Records may be written between two pages: only those before the first page's end are
            // certain to have been read.
            first_end.get_or_insert(page.end);
            take(page.records);
        }
        Ok(first_end.unwrap_or_default())
    }

    /// Returns the next page of the newest records; fails if it brings the read no further.
    pub(crate) async fn next_page(
        &self,
        partition: Partition,
        pages: &mut PageProgress,
    ) -> Result<NewestPage, StoreUnavailable> {
        let target = newest_target(&partition.topic, partition.number, pages.after());
        let call = StoreCall::get(self.purpose, target);
        let reply = self.client.call(&call, self.deadline).await?;
        let page = decode_newest(&reply.body).ok();
        let page = page.filter(|_| reply.status == 200);
        if let Some(page) = &page {
            self.client.observe_order(pages.after(), page);
        }
        let Some(page) = pages.advance(page) else {
            self.client.count_unreadable(self.purpose, &reply);
            return Err(StoreUnavailable);
        };
        if !page.unreadable.is_empty() {
            let count = page.unreadable.len();
            self.client.count_unreadable_items(self.purpose, count);
        }
        Ok(page)
    }
}
