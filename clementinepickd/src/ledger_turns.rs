//! Records finished turns in the store before their callers see the end, and caches them.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use actix_rt::time::sleep;
use bytes::Bytes;
use clementinepick::text_memory::{HeldText, TextMemory};
use clementinepick::turn_chain::{Turn, TurnRecord, needs_whole_chain};
use clementinepick::units;
use platform::store::KeyedRecord;
use tokio::sync::{Semaphore, SemaphorePermit, mpsc};
use tokio::time::timeout_at;

use crate::ledger::{LedgerError, LedgerStore, key_of, to_cbor};
use crate::ledger_turn_cache::LruCache;
use crate::ledger_turn_records::TurnRecordReader;
use crate::store::StorePurpose;

/// The longest chain of records that is followed. A chain is written in full after two retention
/// periods at the latest, so that only programs with more turns than this in that time reach the
/// limit.
const MAX_CHAIN_TURNS: usize = 10_000;
/// The maximum size of a record without its body, in bytes: key, lengths and names of fields.
const RECORD_OVERHEAD_BYTES: usize = 1_024;

/// The memory of a turn beside its text, in bytes.
const TURN_OVERHEAD_BYTES: usize = 512;
/// The text that may be written to the store at the same time, in bytes.
const RECORDING_BYTES: usize = 2_097_152;
/// The memory of that text and its copies, in bytes.
pub(crate) const RECORDING_MEMORY_BYTES: usize = 2 * RECORDING_BYTES;
/// How long a request waits for memory, in which several turns of others end, and the pause between two
/// checks.
const MEMORY_PATIENCE: Duration = Duration::from_millis(200);
const MEMORY_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// The capacity of the queue of chains to read in the background; chains beyond it are read when a
/// request needs them again.
const UNFINISHED_QUEUE_CAPACITY: usize = 256;

/// Reads, records and caches turns.
pub(crate) struct Turns {
    store: Rc<LedgerStore>,
    records: TurnRecordReader,
    cache: RefCell<LruCache<Arc<Turn>>>,
    /// What the texts of turns take, whether cached or only needed by running requests.
    texts: TextMemory,
    /// Limits what is written to the store at the same time, in KB.
    recording: Semaphore,
    unfinished: mpsc::Sender<String>,
}

/// Queues the rest of a chain when the request that reads it gives up or is dropped.
struct UnfinishedRead<'a> {
    queue: &'a mpsc::Sender<String>,
    id: &'a str,
    is_worth_continuing: bool,
}

impl Drop for UnfinishedRead<'_> {
    fn drop(&mut self) {
        if self.is_worth_continuing {
            // If the queue is full, the next request for the turn reads the rest itself.
            let _ = self.queue.try_send(self.id.to_owned());
        }
    }
}

/// A turn with all its predecessors.
pub(crate) struct FoundTurn {
    pub(crate) turn: Arc<Turn>,
    /// The number of records read from the store for it.
    pub(crate) records_read: usize,
}

/// How long a request waits for a turn.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TurnWait {
    /// How long the wait may last without a response of the store to any read of turns.
    pub(crate) idle_limit: Duration,
    pub(crate) deadline: Instant,
}

impl Turns {
    /// Creates the turns of a starting process and the queue of turns whose chains requests have
    /// given up reading.
    pub(crate) fn new(store: Rc<LedgerStore>) -> (Self, mpsc::Receiver<String>) {
        let (unfinished, unfinished_reads) = mpsc::channel(UNFINISHED_QUEUE_CAPACITY);
        let turns = Self {
            records: TurnRecordReader::new(Rc::clone(&store)),
            cache: RefCell::default(),
            texts: TextMemory::default(),
            recording: Semaphore::new(to_kb(RECORDING_BYTES)),
            store,
            unfinished,
        };
        (turns, unfinished_reads)
    }

    /// Returns a turn with all its predecessors, from memory, from a peer or from the store.
    ///
    /// `fetch` asks the peer that may have them; after its first miss it is not called again. What
    /// was read when a request gives up serves later ones, and the rest is read in the background.
    pub(crate) async fn get(
        &self,
        id: &str,
        wait: TurnWait,
        fetch: impl AsyncFn(&str) -> Option<TurnRecord>,
    ) -> Result<FoundTurn, LedgerError> {
        let mut unfinished = UnfinishedRead {
            queue: &self.unfinished,
            id,
            is_worth_continuing: true,
        };
        let started_at = Instant::now();
        let found = self.read_chain(id, wait, fetch).await;
        let is_read_since = self.records.last_read_at() > Some(started_at);
        unfinished.is_worth_continuing =
            is_read_since && matches!(found, Err(LedgerError::Unavailable));
        found
    }

    /// Reads the rest of a chain that a request has given up reading.
    pub(crate) async fn continue_read(&self, id: &str, wait: TurnWait) {
        // Whatever was read serves the next request, which meets the same error.
        let _ = self.read_chain(id, wait, async |_: &str| None).await;
    }

    async fn read_chain(
        &self,
        id: &str,
        wait: TurnWait,
        fetch: impl AsyncFn(&str) -> Option<TurnRecord>,
    ) -> Result<FoundTurn, LedgerError> {
        let mut may_fetch = true;
        let mut fetched = 0;
        let mut read = self.records.start_chain(wait);
        let mut records: Vec<(String, TurnRecord, HeldText)> = Vec::new();
        let memory_deadline = wait.deadline.min(Instant::now() + MEMORY_PATIENCE);
        let mut wanted = Some(id.to_owned());
        let mut base = None;
        while let Some(id) = wanted.take() {
            base = self.cache.borrow_mut().get(&id);
            if base.is_some() {
                break;
            }
            self.wait_for_memory(memory_deadline).await?;
            let mut record = self.records.cached(&id);
            if record.is_none() && may_fetch {
                record = fetch(&id).await;
                may_fetch = record.is_some();
                fetched += usize::from(may_fetch);
            }
            if record.is_none() {
                record = read.next(&id).await?;
            }
            let Some(record) = record else {
                // The requested turn may never have existed. A predecessor was recorded before the
                // turn that names it, so that its absence is an error and does not mean an unknown
                // turn.
                let is_first = records.is_empty();
                return Err(if is_first {
                    LedgerError::UnknownTurn
                } else {
                    LedgerError::Unavailable
                });
            };
            wanted.clone_from(&record.parent);
            let held = self.texts.hold(to_bytes(record.body.len()));
            records.push((id, record, held));
            if records.len() > MAX_CHAIN_TURNS {
                return Err(LedgerError::Unavailable);
            }
        }
        let records_read = records.len() - fetched;
        while let Some((id, record, held)) = records.pop() {
            drop(held);
            base = Some(self.link(id, record, base)?);
        }
        let turn = base.ok_or(LedgerError::UnknownTurn)?;
        Ok(FoundTurn { turn, records_read })
    }

    /// Links a record to its parent, unless another request has done so meanwhile.
    fn link(
        &self,
        id: String,
        record: TurnRecord,
        parent: Option<Arc<Turn>>,
    ) -> Result<Arc<Turn>, LedgerError> {
        self.records.forget(&id);
        let linked = self.cache.borrow_mut().get(&id);
        if let Some(turn) = linked {
            return Ok(turn);
        }
        let turn = record.into_turn(id, parent);
        let turn = turn.map_err(|_| LedgerError::Unavailable)?;
        Ok(self.insert_into_cache(turn))
    }

    fn insert_into_cache(&self, mut turn: Turn) -> Arc<Turn> {
        // Copied, because the capacity of read buffers is up to twice their length.
        turn.input = Bytes::copy_from_slice(&turn.input);
        turn.output = Bytes::copy_from_slice(&turn.output);
        let size_bytes = turn.own_bytes();
        turn.held = self.texts.hold(to_bytes(size_bytes + TURN_OVERHEAD_BYTES));
        let turn = Arc::new(turn);
        let mut cache = self.cache.borrow_mut();
        cache.insert(&turn.id, Arc::clone(&turn), size_bytes, usize::MAX);
        drop(cache);
        self.fit_memory();
        turn
    }

    /// Evicts cached turns until all turns fit the memory; returns false if running requests need more.
    ///
    /// A turn that is evicted is freed only with those that continue from it.
    fn fit_memory(&self) -> bool {
        let limit = to_bytes(self.store.settings.cache_bytes);
        let mut cache = self.cache.borrow_mut();
        while self.texts.used() > limit {
            if !cache.evict_oldest() {
                return false;
            }
        }
        true
    }

    /// Waits until running requests leave memory for a further chain.
    async fn wait_for_memory(&self, deadline: Instant) -> Result<(), LedgerError> {
        while !self.fit_memory() {
            if Instant::now() >= deadline {
                return Err(LedgerError::OutOfMemory);
            }
            sleep(MEMORY_CHECK_INTERVAL).await;
        }
        Ok(())
    }

    /// Reads the record of a turn from the store; `None` only if the store says that there is none.
    pub(crate) async fn read(
        &self,
        id: &str,
        deadline: Instant,
    ) -> Result<Option<TurnRecord>, LedgerError> {
        self.records.read(id, deadline).await
    }

    /// Records a finished turn; after success, no loss of processes can lose it.
    pub(crate) async fn record(
        &self,
        mut turn: Turn,
        deadline: Instant,
    ) -> Result<(), LedgerError> {
        let is_whole = turn.parent.as_deref().is_some_and(|previous| {
            needs_whole_chain(previous, turn.recorded_unix_ms, turn.retain_ms)
        });
        let size_bytes = if is_whole {
            turn.chain_bytes()
        } else {
            turn.own_bytes()
        };
        let _permit = self.start_recording(size_bytes, deadline).await?;
        if is_whole {
            turn.merge_chain();
        } else {
            turn.merge_segment(self.store.settings.segment_bytes);
        }
        let partition = self.store.turn_partition(&turn.id);
        for batch in self.batches(&turn) {
            let purpose = StorePurpose::RecordTurn;
            let append = self
                .store
                .append(purpose, partition, None, &batch, deadline);
            let reply = append.await?;
            if reply.status != 200 {
                return Err(LedgerError::Unavailable);
            }
        }
        self.insert_into_cache(turn);
        Ok(())
    }

    /// Waits until a text of this size may be written to the store.
    async fn start_recording(
        &self,
        size_bytes: usize,
        deadline: Instant,
    ) -> Result<SemaphorePermit<'_>, LedgerError> {
        let size_kb = to_kb(size_bytes.min(RECORDING_BYTES));
        let size_kb = u32::try_from(size_kb).unwrap_or(u32::MAX);
        let permit = timeout_at(deadline.into(), self.recording.acquire_many(size_kb)).await;
        let permit = permit.ok().and_then(Result::ok);
        permit.ok_or(LedgerError::Unavailable)
    }

    /// Returns the appends of a turn. A body larger than a record is split into parts that are
    /// written before the record itself, so that a reader that finds the record finds all parts.
    fn batches(&self, turn: &Turn) -> Vec<Vec<KeyedRecord>> {
        let settings = &self.store.settings;
        let key = key_of(&turn.id);
        let mut record = TurnRecord::of(turn);
        let part_bytes = settings.record_bytes.saturating_sub(RECORD_OVERHEAD_BYTES);
        let mut batches = Vec::new();
        if record.body.len() > part_bytes {
            let body = std::mem::take(&mut record.body);
            let parts: Vec<KeyedRecord> = body
                .chunks(part_bytes.max(1))
                .enumerate()
                .map(|(number, part)| KeyedRecord {
                    key: part_key(&key, number),
                    value: Some(body.slice_ref(part)),
                })
                .collect();
            record.parts = parts.len();
            let per_call = (settings.call_bytes / settings.record_bytes.max(1)).max(1);
            batches.extend(parts.chunks(per_call).map(<[KeyedRecord]>::to_vec));
        }
        batches.push(vec![KeyedRecord {
            key,
            value: Some(to_cbor(&record)),
        }]);
        batches
    }

    /// Returns the record of a cached turn.
    pub(crate) fn cached_record(&self, id: &str) -> Option<TurnRecord> {
        let turn = self.cache.borrow_mut().get(id)?;
        Some(TurnRecord::of(&turn))
    }

    /// Returns the size of the text of a cached turn in bytes; zero if it is not cached.
    pub(crate) fn cached_bytes(&self, id: &str) -> usize {
        let turn = self.cache.borrow_mut().get(id);
        turn.map_or(0, |turn| turn.own_bytes())
    }

    /// Returns the number of cached turns, and the size of all turns in memory in bytes.
    pub(crate) fn cache_size(&self) -> (usize, usize) {
        let count = self.cache.borrow().len();
        let used_bytes = usize::try_from(self.texts.used().0);
        (count, used_bytes.unwrap_or(usize::MAX))
    }
}

pub(crate) fn to_kb(bytes: usize) -> usize {
    bytes.div_ceil(1_024)
}

fn to_bytes(bytes: usize) -> units::Bytes {
    units::Bytes(u64::try_from(bytes).unwrap_or(u64::MAX))
}

/// Returns the key of a part of a turn's body; it sorts right after the turn's own key, and by its number.
fn part_key(key: &str, number: usize) -> String {
    format!("{key}!{number:04}")
}

/// Returns whether `part` is the key of a part of the turn with `key`.
pub(crate) fn is_part_of(part: &str, key: &str) -> bool {
    part.strip_prefix(key)
        .is_some_and(|rest| rest.starts_with('!'))
}

/// Returns the key of the turn to which the record or part with a key belongs.
pub(crate) fn turn_key(key: &str) -> &str {
    key.split_once('!').map_or(key, |(turn, _)| turn)
}
