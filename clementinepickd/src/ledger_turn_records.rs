//! Reads the records of turns from the store, and keeps those that are not yet linked into a chain.
//!
//! Records never change, so that one may be kept before its predecessors are known. A call returns
//! neighbours of the wanted record in its partition as well; they are kept for other chains.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_rt::time::timeout;
use bytes::Bytes;
use clementinepick::turn_chain::TurnRecord;
use platform::store::{KeyedRecord, NewestPage, UnreadableItem};
use tokio::sync::{Mutex, Semaphore, SemaphorePermit};
use tokio::time::timeout_at;

use crate::ledger::{LedgerError, LedgerStore, Partition, from_cbor, key_of};
use crate::ledger_turn_cache::LruCache;
use crate::ledger_turns::{TurnWait, is_part_of, to_kb};
use crate::page_progress::PageProgress;
use crate::store::StorePurpose;

/// The maximum number of chains that are read at the same time; others wait, so that some chains
/// are complete early and not all of them late.
const MAX_CHAIN_READS: usize = 16;
/// The number of chains being read or waiting from which partitions are read from their start: most
/// of their records will be needed.
const MANY_CHAIN_READS: usize = 8;
/// The memory of a record beside its body, in bytes.
const RECORD_MEMORY_BYTES: usize = 512;
/// The memory of a page while it is decoded, as a multiple of the size of its records: the response in base64,
/// in a buffer that doubles, and the records.
const PAGE_COPIES: usize = 4;
/// The number of pages that are read at the same time while none has shown how large they are.
const FIRST_PAGE_READS: usize = 2;
/// How long other reads wait for these.
const FIRST_PAGE_PATIENCE: Duration = Duration::from_millis(400);
/// The least memory of a page, in KB.
const MIN_PAGE_KB: usize = 64;
/// The divisor by which the size that pages are expected to have falls with each smaller one.
const PAGE_SIZE_DIVISOR: usize = 8;

/// The access to a partition of turns.
#[derive(Default)]
struct PartitionAccess {
    /// Held while a chain reads from it, since the response may bring what the next one needs.
    lock: Mutex<()>,
    /// Whether it has more records than one response.
    exceeds_page: Cell<bool>,
}

/// Reads and keeps records of turns.
pub(crate) struct TurnRecordReader {
    store: Rc<LedgerStore>,
    /// The records that were read and not yet linked, by key.
    unlinked: RefCell<LruCache<TurnRecord>>,
    partitions: RefCell<BTreeMap<Partition, Rc<PartitionAccess>>>,
    permits: Semaphore,
    /// Limits the memory of the pages that are read, in KB.
    page_memory: Semaphore,
    /// Limits the reads of pages while `page_bytes` is not known.
    first_reads: Semaphore,
    /// The size of the records of a page, by the pages that were read last.
    page_bytes: Cell<Option<usize>>,
    /// The number of chains being read or waiting.
    chains: Cell<usize>,
    last_read_at: Cell<Option<Instant>>,
}

impl TurnRecordReader {
    pub(crate) fn new(store: Rc<LedgerStore>) -> Self {
        Self {
            unlinked: RefCell::default(),
            partitions: RefCell::default(),
            permits: Semaphore::new(MAX_CHAIN_READS),
            page_memory: Semaphore::new(to_kb(store.settings.page_memory_bytes)),
            store,
            first_reads: Semaphore::new(FIRST_PAGE_READS),
            page_bytes: Cell::new(None),
            chains: Cell::new(0),
            last_read_at: Cell::new(None),
        }
    }

    /// Returns when the store last responded to a read of turns.
    pub(crate) fn last_read_at(&self) -> Option<Instant> {
        self.last_read_at.get()
    }

    /// Returns a record that was read and not yet linked.
    pub(crate) fn cached(&self, id: &str) -> Option<TurnRecord> {
        self.unlinked.borrow_mut().get(&key_of(id))
    }

    /// Drops a record that is linked now.
    pub(crate) fn forget(&self, id: &str) {
        self.unlinked.borrow_mut().remove(&key_of(id));
    }

    /// Prepares to read a chain.
    pub(crate) fn start_chain(&self, wait: TurnWait) -> ChainRead<'_> {
        ChainRead {
            reader: self,
            wait,
            started_at: Instant::now(),
            permit: None,
            is_counted: false,
        }
    }

    /// Reads a record; `None` only if the store says that there is none.
    pub(crate) async fn read(
        &self,
        id: &str,
        deadline: Instant,
    ) -> Result<Option<TurnRecord>, LedgerError> {
        let partition = self.store.turn_partition(id);
        let mut target = TargetRecord::new(key_of(id));
        let exceeds_page = self.access(partition).exceeds_page.get();
        let reads_all = self.chains.get() >= MANY_CHAIN_READS && !exceeds_page;
        let start = key_before(&target.key).filter(|_| !reads_all);
        let is_whole_read = start.is_none();
        let mut pages = PageProgress::starting_after(start);
        let is_past = self
            .read_pages(partition, &mut pages, &mut target, deadline)
            .await?;
        let is_absent_by_key = is_past && self.store.client.is_ordered_by_key();
        let is_absent = is_absent_by_key || is_whole_read && pages.is_complete();
        if !target.is_whole() && !is_absent {
            // The record may be on any page of a store with another order.
            target.is_sought_everywhere = true;
            let mut pages = PageProgress::default();
            self.read_pages(partition, &mut pages, &mut target, deadline)
                .await?;
        }
        let key = target.key.clone();
        let record = target.assemble()?;
        if let Some(record) = &record {
            self.keep(&key, record.clone());
        }
        Ok(record)
    }

    /// Reads pages until the target is whole, or until they are past its place in the order of keys; returns whether
    /// they are.
    async fn read_pages(
        &self,
        partition: Partition,
        pages: &mut PageProgress,
        target: &mut TargetRecord,
        deadline: Instant,
    ) -> Result<bool, LedgerError> {
        let reader = self.store.reader(StorePurpose::ReadTurn, deadline);
        while !pages.is_complete() {
            let _memory = self.acquire_page_memory(deadline).await?;
            let page = reader.next_page(partition, pages).await?;
            self.last_read_at.set(Some(Instant::now()));
            self.record_page_size(&page);
            let last_key = page.last_key.as_deref();
            let is_past = last_key.is_some_and(|last| target.is_before(last));
            target.take_unreadable(&page.unreadable);
            for record in page.records {
                if let Some(neighbour) = target.take(record) {
                    self.keep_neighbour(neighbour);
                }
            }
            if target.is_whole() || is_past {
                return Ok(is_past);
            }
            if !pages.is_complete() {
                self.access(partition).exceeds_page.set(true);
            }
        }
        Ok(false)
    }

    /// Waits until the other pages that are being read leave memory for one of the size of the last ones.
    async fn acquire_page_memory(&self, deadline: Instant) -> Result<PagePermit<'_>, LedgerError> {
        let first = self.wait_for_first_page(deadline).await;
        let expected_kb = PAGE_COPIES * self.page_bytes.get().unwrap_or_default() / 1_024;
        let expected_kb = expected_kb
            .max(MIN_PAGE_KB)
            .min(to_kb(self.store.settings.page_memory_bytes));
        let expected_kb = u32::try_from(expected_kb).unwrap_or(u32::MAX);
        Ok(PagePermit {
            _memory: acquire(&self.page_memory, expected_kb, deadline).await?,
            _first: first,
        })
    }

    /// Waits until a page has shown how large they are, and returns none then; or until this read is one of the
    /// first. Others go on after [`FIRST_PAGE_PATIENCE`]: the partitions that are read first may be unavailable.
    async fn wait_for_first_page(&self, deadline: Instant) -> Option<SemaphorePermit<'_>> {
        if self.page_bytes.get().is_some() {
            return None;
        }
        let until = deadline.min(Instant::now() + FIRST_PAGE_PATIENCE);
        let first = acquire(&self.first_reads, 1, until).await.ok();
        first.filter(|_| self.page_bytes.get().is_none())
    }

    fn record_page_size(&self, page: &NewestPage) {
        let values = page.records.iter().filter_map(|r| r.value.as_ref());
        let size_bytes: usize = values.map(Bytes::len).sum();
        let expected_bytes = self.page_bytes.get().unwrap_or_default();
        let fallen_bytes = expected_bytes - expected_bytes / PAGE_SIZE_DIVISOR;
        self.page_bytes.set(Some(size_bytes.max(fallen_bytes)));
    }

    fn keep_neighbour(&self, neighbour: KeyedRecord) {
        let record: Option<TurnRecord> = neighbour.value.and_then(|value| from_cbor(&value));
        // The parts of a body are complete only with the record that they belong to.
        if let Some(record) = record.filter(|record| record.parts == 0) {
            self.keep(&neighbour.key, record);
        }
    }

    fn keep(&self, key: &str, record: TurnRecord) {
        let bytes = record.body.len() + RECORD_MEMORY_BYTES;
        let limit_bytes = self.store.settings.unlinked_bytes;
        let mut unlinked = self.unlinked.borrow_mut();
        unlinked.insert(key, record, bytes, limit_bytes);
    }

    fn access(&self, partition: Partition) -> Rc<PartitionAccess> {
        let mut partitions = self.partitions.borrow_mut();
        Rc::clone(partitions.entry(partition).or_default())
    }
}

/// Allows for the read of a page.
struct PagePermit<'a> {
    _memory: SemaphorePermit<'a>,
    _first: Option<SemaphorePermit<'a>>,
}

async fn acquire(
    semaphore: &Semaphore,
    count: u32,
    deadline: Instant,
) -> Result<SemaphorePermit<'_>, LedgerError> {
    let acquired = timeout_at(deadline.into(), semaphore.acquire_many(count)).await;
    let acquired = acquired.ok().and_then(Result::ok);
    acquired.ok_or(LedgerError::Unavailable)
}

/// The wanted record of a read, and the parts of its body.
struct TargetRecord {
    key: String,
    found: FoundRecord,
    /// The parts, by key.
    parts: BTreeMap<String, Bytes>,
    /// Whether it may be on any page, and not only before greater keys.
    is_sought_everywhere: bool,
}

enum FoundRecord {
    None,
    /// It can't be decoded, or may be an item that can't be read.
    Unreadable,
    Decoded(TurnRecord),
}

impl TargetRecord {
    fn new(key: String) -> Self {
        Self {
            key,
            found: FoundRecord::None,
            parts: BTreeMap::new(),
            is_sought_everywhere: false,
        }
    }

    /// Takes a record if it is wanted; else returns it if it may be that of another turn.
    fn take(&mut self, record: KeyedRecord) -> Option<KeyedRecord> {
        if record.key == self.key {
            if let Some(value) = record.value {
                let decoded = from_cbor(&value);
                self.found = decoded.map_or(FoundRecord::Unreadable, FoundRecord::Decoded);
            }
        } else if is_part_of(&record.key, &self.key) {
            let part = record.value.map(|value| (record.key, value));
            self.parts.extend(part);
        } else {
            return Some(record).filter(|record| !record.key.contains('!'));
        }
        None
    }

    /// Records that the wanted record may be among items that can't be read.
    fn take_unreadable(&mut self, items: &[UnreadableItem]) {
        let may_be_own =
            |item: &UnreadableItem| item.key.as_ref().is_none_or(|key| *key == self.key);
        if matches!(self.found, FoundRecord::None) && items.iter().any(may_be_own) {
            self.found = FoundRecord::Unreadable;
        }
    }

    /// Returns whether the record and all its parts were read.
    fn is_whole(&self) -> bool {
        match &self.found {
            FoundRecord::Decoded(record) => self.parts.len() >= record.parts,
            FoundRecord::None | FoundRecord::Unreadable => false,
        }
    }

    /// Returns whether, in the order of keys, the record and its parts are before a key.
    fn is_before(&self, other: &str) -> bool {
        !self.is_sought_everywhere && *other > *self.key && !is_part_of(other, &self.key)
    }

    /// Returns the record with its body.
    fn assemble(self) -> Result<Option<TurnRecord>, LedgerError> {
        let mut record = match self.found {
            FoundRecord::None => return Ok(None),
            FoundRecord::Unreadable => return Err(LedgerError::Unavailable),
            FoundRecord::Decoded(record) => record,
        };
        if self.parts.len() < record.parts {
            return Err(LedgerError::Unavailable);
        }
        if record.parts > 0 {
            let parts: Vec<Bytes> = self.parts.into_values().collect();
            record.body = parts.concat().into();
        }
        Ok(Some(record))
    }
}

/// The read of one chain, record by record.
pub(crate) struct ChainRead<'a> {
    reader: &'a TurnRecordReader,
    wait: TurnWait,
    started_at: Instant,
    permit: Option<SemaphorePermit<'a>>,
    is_counted: bool,
}

impl Drop for ChainRead<'_> {
    fn drop(&mut self) {
        if self.is_counted {
            let chains = &self.reader.chains;
            chains.set(chains.get() - 1);
        }
    }
}

impl<'a> ChainRead<'a> {
    /// Reads the next record of the chain, unless another chain's read has brought it meanwhile;
    /// `None` only if the store says that there is none.
    pub(crate) async fn next(&mut self, id: &str) -> Result<Option<TurnRecord>, LedgerError> {
        let reader = self.reader;
        if self.permit.is_none() {
            reader.chains.set(reader.chains.get() + 1);
            self.is_counted = true;
            self.permit = Some(self.wait_for_permit().await?);
        }
        let deadline = self.wait.deadline;
        let deadline = deadline.min(Instant::now() + self.wait.idle_limit);
        let access = reader.access(reader.store.turn_partition(id));
        let locked = timeout_at(deadline.into(), access.lock.lock()).await;
        let _guard = locked.map_err(|_| LedgerError::Unavailable)?;
        if let Some(record) = reader.cached(id) {
            return Ok(Some(record));
        }
        reader.read(id, deadline).await
    }

    /// Waits for other chains for as long as the store responds to reads of some.
    async fn wait_for_permit(&self) -> Result<SemaphorePermit<'a>, LedgerError> {
        let mut permit = std::pin::pin!(self.reader.permits.acquire());
        loop {
            let left = self.time_left(Instant::now());
            if left.is_zero() {
                return Err(LedgerError::Unavailable);
            }
            if let Ok(acquired) = timeout(left, &mut permit).await {
                return acquired.map_err(|_| LedgerError::Unavailable);
            }
        }
    }

    fn time_left(&self, now: Instant) -> Duration {
        let read_at = self.reader.last_read_at.get();
        let progress_at = read_at.map_or(self.started_at, |at| at.max(self.started_at));
        let deadline = self.wait.deadline.min(progress_at + self.wait.idle_limit);
        deadline.saturating_duration_since(now)
    }
}

/// Returns a key that sorts before `key` with few keys between them.
fn key_before(key: &str) -> Option<String> {
    let mut before = key.to_owned();
    before.pop();
    (!before.is_empty()).then_some(before)
}
