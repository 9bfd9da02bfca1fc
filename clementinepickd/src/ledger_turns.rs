//! Records finished turns in the store before their callers see the end, and caches them.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use clementinepick::turn_chain::{Turn, TurnRecord, build_prompt, needs_whole_chain};
use clementinepick::units::SpanUs;
use platform::store::KeyedRecord;

use crate::ledger::{LedgerError, LedgerStore, from_cbor, key_of, to_cbor};
use crate::store::StorePurpose;

/// The longest chain of records that is followed. A chain is written in full after two retention
/// periods at the latest, so that only programs with more turns than this in that time reach the
/// limit.
const MAX_CHAIN_TURNS: usize = 10_000;
/// The maximum size of a record without its body, in bytes: key, lengths and names of fields.
const RECORD_OVERHEAD_BYTES: usize = 1_024;

/// Reads, records and caches turns.
pub(crate) struct Turns {
    store: Rc<LedgerStore>,
    cache: RefCell<TurnCache>,
}

/// A turn with all its predecessors.
pub(crate) struct FoundTurn {
    pub(crate) turn: Arc<Turn>,
    /// The number of records read from the store for it.
    pub(crate) records_read: usize,
}

/// An LRU cache of turns.
#[derive(Default)]
struct TurnCache {
    turns: BTreeMap<String, (Arc<Turn>, u64)>,
    by_use: BTreeMap<u64, String>,
    bytes: usize,
    uses: u64,
}

impl TurnCache {
    fn get(&mut self, id: &str) -> Option<Arc<Turn>> {
        let (turn, used) = self.turns.get_mut(id)?;
        self.by_use.remove(used);
        self.uses += 1;
        *used = self.uses;
        self.by_use.insert(self.uses, id.to_owned());
        Some(Arc::clone(turn))
    }

    fn insert(&mut self, turn: &Arc<Turn>, limit_bytes: usize) {
        self.remove(&turn.id);
        self.uses += 1;
        self.bytes += turn.own_bytes();
        self.by_use.insert(self.uses, turn.id.clone());
        self.turns
            .insert(turn.id.clone(), (Arc::clone(turn), self.uses));
        while self.bytes > limit_bytes && self.turns.len() > 1 {
            let Some((_, oldest)) = self.by_use.first_key_value() else {
                return;
            };
            let oldest = oldest.clone();
            self.remove(&oldest);
        }
    }

    fn remove(&mut self, id: &str) {
        if let Some((turn, used)) = self.turns.remove(id) {
            self.by_use.remove(&used);
            self.bytes -= turn.own_bytes();
        }
    }
}

impl Turns {
    pub(crate) fn new(store: Rc<LedgerStore>) -> Self {
        Self {
            store,
            cache: RefCell::default(),
        }
    }

    /// Returns a turn with all its predecessors, from memory, from a peer or from the store.
    ///
    /// `fetch` asks the peer that may have them; after its first miss it is not called again.
    pub(crate) async fn get(
        &self,
        id: &str,
        deadline: Instant,
        fetch: impl AsyncFn(&str) -> Option<TurnRecord>,
    ) -> Result<FoundTurn, LedgerError> {
        let mut may_fetch = true;
        let mut fetched = 0;
        let mut records: Vec<(String, TurnRecord)> = Vec::new();
        let mut wanted = Some(id.to_owned());
        let mut base = None;
        while let Some(id) = wanted.take() {
            base = self.cache.borrow_mut().get(&id);
            if base.is_some() {
                break;
            }
            let from_peer = if may_fetch { fetch(&id).await } else { None };
            may_fetch = from_peer.is_some();
            fetched += usize::from(may_fetch);
            let record = match from_peer {
                Some(record) => Some(record),
                None => self.read(&id, deadline).await?,
            };
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
            records.push((id, record));
            if records.len() > MAX_CHAIN_TURNS {
                return Err(LedgerError::Unavailable);
            }
        }
        let records_read = records.len() - fetched;
        for (id, record) in records.into_iter().rev() {
            let turn = record
                .into_turn(id, base)
                .map_err(|_| LedgerError::Unavailable)?;
            base = Some(self.insert_into_cache(turn));
        }
        let turn = base.ok_or(LedgerError::UnknownTurn)?;
        Ok(FoundTurn { turn, records_read })
    }

    fn insert_into_cache(&self, mut turn: Turn) -> Arc<Turn> {
        // Copied, because the capacity of read buffers is up to twice their length.
        turn.input = Bytes::copy_from_slice(&turn.input);
        turn.output = Bytes::copy_from_slice(&turn.output);
        let turn = Arc::new(turn);
        let limit_bytes = self.store.settings.cache_bytes;
        self.cache.borrow_mut().insert(&turn, limit_bytes);
        turn
    }

    /// Reads the record of a turn; `None` only if the store says that there is none.
    pub(crate) async fn read(
        &self,
        id: &str,
        deadline: Instant,
    ) -> Result<Option<TurnRecord>, LedgerError> {
        let key = key_of(id);
        let partition = self.store.turn_partition(id);
        let reader = self.store.reader(StorePurpose::ReadTurn, deadline);
        let mut after = key_before(&key);
        let mut found: Option<TurnRecord> = None;
        let mut parts: Vec<Bytes> = Vec::new();
        loop {
            let page = reader.newest_page(partition, after.as_deref()).await?;
            let last = page.records.last().map(|record| record.key.clone());
            for record in page.records {
                let Some(value) = record.value else { continue };
                if record.key == key {
                    found = Some(from_cbor(&value).ok_or(LedgerError::Unavailable)?);
                } else if is_part_of(&record.key, &key) {
                    parts.push(value);
                }
            }
            let is_past = |last: &str| last > key.as_str() && !is_part_of(last, &key);
            if !page.has_more || last.as_deref().is_none_or(is_past) {
                break;
            }
            after = last;
        }
        let Some(mut record) = found else {
            return Ok(None);
        };
        if parts.len() < record.parts {
            return Err(LedgerError::Unavailable);
        }
        if record.parts > 0 {
            record.body = parts.concat().into();
        }
        Ok(Some(record))
    }

    /// Records a finished turn; after success, no loss of processes can lose it.
    pub(crate) async fn record(
        &self,
        mut turn: Turn,
        retention: SpanUs,
        deadline: Instant,
    ) -> Result<(), LedgerError> {
        let retain_ms = retention.as_ms();
        let parent = turn.parent.as_ref();
        if parent.is_some_and(|p| needs_whole_chain(p, turn.recorded_unix_ms, retain_ms)) {
            turn.input = build_prompt(turn.parent.as_ref(), &turn.input);
            turn.parent = None;
        }
        let partition = self.store.turn_partition(&turn.id);
        for batch in self.batches(&turn, retain_ms) {
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

    /// Returns the appends of a turn. A body larger than a record is split into parts that are
    /// written before the record itself, so that a reader that finds the record finds all parts.
    fn batches(&self, turn: &Turn, retain_ms: u64) -> Vec<Vec<KeyedRecord>> {
        let settings = &self.store.settings;
        let key = key_of(&turn.id);
        let mut record = TurnRecord::of(turn, retain_ms);
        let part_bytes = settings.record_bytes.saturating_sub(RECORD_OVERHEAD_BYTES);
        let mut batches = Vec::new();
        if record.body.len() > part_bytes {
            let body = std::mem::take(&mut record.body);
            let parts: Vec<KeyedRecord> = body
                .chunks(part_bytes.max(1))
                .enumerate()
                .map(|(number, part)| KeyedRecord {
                    key: part_key(&key, number),
                    value: Some(Bytes::copy_from_slice(part)),
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
        // The retention only matters in the store.
        Some(TurnRecord::of(&turn, 0))
    }

    /// Returns the number of cached turns and their size in bytes.
    pub(crate) fn cache_size(&self) -> (usize, usize) {
        let cache = self.cache.borrow();
        (cache.turns.len(), cache.bytes)
    }
}

/// Returns the key of a part of a turn's body; it sorts right after the turn's own key.
fn part_key(key: &str, number: usize) -> String {
    format!("{key}!{number:04}")
}

/// Returns whether `part` is the key of a part of the turn with `key`.
pub(crate) fn is_part_of(part: &str, key: &str) -> bool {
    part.strip_prefix(key)
        .is_some_and(|rest| rest.starts_with('!'))
}

/// Returns a key that sorts before `key` with few keys between them.
fn key_before(key: &str) -> Option<String> {
    let mut before = key.to_owned();
    before.pop();
    (!before.is_empty()).then_some(before)
}
