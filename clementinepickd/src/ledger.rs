//! Budgets and turns of programs, kept in the platform's store and cached here.
//!
//! The store alone remembers: a process that is lost takes nothing with it but time, and any other
//! goes on from what it reads.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use clementinepick::budget_ledger::{BudgetView, ProgramSlices, SliceDecision, SliceRecord};
use clementinepick::turn_chain::{Turn, TurnRecord, needs_whole_chain, prompt};
use clementinepick::units::{SpanUs, Tokens};
use platform::store::{
    KeyedRecord, MAX_KEY_BYTES, Topic, append_target, decode_end, decode_newest, decode_read,
    encode_records, newest_target, read_target,
};
use thiserror::Error;
use tokio::sync::Mutex;
use xxhash_rust::xxh3::xxh3_64;

use crate::store::{StoreAway, StoreCall, StoreClient, StoreReply};

/// The longest chain of records that is followed. A chain is written whole at the latest after two
/// retentions, so that only programs with more turns than this in that time come near it.
const MAX_CHAIN_TURNS: usize = 10_000;
/// How often a slice is decided anew after another process wrote first. Each round means that
/// another process got its slice, so that more than a few are rare.
const MAX_RESERVE_ROUNDS: u32 = 16;
/// How long a program's slices stay in memory after its last turn.
const PROGRAM_IDLE: Duration = Duration::from_mins(5);

/// The shape of the topics in the store; all processes must use the same.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LedgerSettings {
    /// How many topics hold budget slices.
    pub budget_topics: u8,
    /// How many topics hold turns.
    pub turn_topics: u8,
    /// The partitions of each topic, as the platform sets them.
    pub partitions: u32,
    /// The largest value of one record, in bytes.
    pub record_bytes: usize,
    /// The largest append, in bytes.
    pub call_bytes: usize,
    /// How many bytes of turns are cached.
    pub cache_bytes: usize,
}

impl Default for LedgerSettings {
    fn default() -> Self {
        Self {
            // Of the 100 topics that the platform allows. Turns are ten times as many as programs
            // and looked up by key, so they get the larger part.
            budget_topics: 20,
            turn_topics: 60,
            partitions: 24,
            record_bytes: 262_144,
            call_bytes: 2_097_152,
            cache_bytes: 8_388_608,
        }
    }
}

/// Why the ledger gives no answer that lets a request go on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub(crate) enum LedgerError {
    /// The store can't be reached, so that nothing is certain.
    #[error("the store is away")]
    Away,
    /// The budget is reserved to the end.
    #[error("the budget is spent")]
    Spent,
    /// The turn does not exist.
    #[error("no such turn")]
    UnknownTurn,
}

impl From<StoreAway> for LedgerError {
    fn from(_: StoreAway) -> Self {
        Self::Away
    }
}

#[derive(Default)]
struct ProgramState {
    slices: ProgramSlices,
    used_at: Option<Instant>,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Partition {
    topic: Topic,
    number: u32,
}

struct CachedTurn {
    turn: Arc<Turn>,
    sequence: u64,
}

/// The ledger as one process uses it.
pub(crate) struct Ledger {
    settings: LedgerSettings,
    writer: String,
    store: Rc<StoreClient>,
    programs: RefCell<BTreeMap<String, ProgramState>>,
    views: RefCell<BTreeMap<Partition, Rc<Mutex<Option<BudgetView>>>>>,
    turns: RefCell<BTreeMap<String, CachedTurn>>,
    turns_by_age: RefCell<BTreeMap<u64, String>>,
    cached_bytes: Cell<usize>,
    sequence: Cell<u64>,
}

/// A turn's maximum, set aside until the turn ends; dropped, it returns what was not handed out.
pub(crate) struct BudgetHold {
    ledger: Rc<Ledger>,
    program: String,
    turn: Tokens,
    handed_out: Tokens,
}

impl BudgetHold {
    /// Counts tokens that are about to be handed to the caller.
    pub(crate) fn hand_out(&mut self, tokens: Tokens) {
        self.handed_out.0 += tokens.0;
    }
}

impl Drop for BudgetHold {
    fn drop(&mut self) {
        let mut programs = self.ledger.programs.borrow_mut();
        if let Some(state) = programs.get_mut(&self.program) {
            state.slices.finish(self.turn, self.handed_out);
        }
    }
}

impl Ledger {
    /// A ledger that writes as `writer`, a name that no other start of any process has.
    pub(crate) fn new(settings: LedgerSettings, writer: String, store: Rc<StoreClient>) -> Self {
        Self {
            settings,
            writer,
            store,
            programs: RefCell::default(),
            views: RefCell::default(),
            turns: RefCell::default(),
            turns_by_age: RefCell::default(),
            cached_bytes: Cell::new(0),
            sequence: Cell::new(0),
        }
    }

    fn next_sequence(&self) -> u64 {
        self.sequence.set(self.sequence.get() + 1);
        self.sequence.get()
    }

    fn partition(&self, id: &str, topics: u8, topic: impl Fn(u8) -> Topic) -> Partition {
        let hash = xxh3_64(id.as_bytes());
        let partitions = u64::from(self.settings.partitions.max(1));
        let topic_number = (hash / partitions) % u64::from(topics.max(1));
        Partition {
            topic: topic(u8::try_from(topic_number).unwrap_or(0)),
            number: u32::try_from(hash % partitions).unwrap_or(0),
        }
    }

    /// Sets a turn's maximum aside, with a new slice from the store if those held do not suffice.
    pub(crate) async fn reserve(
        self: &Rc<Self>,
        program: &str,
        budget: Tokens,
        turn: Tokens,
        deadline: Instant,
    ) -> Result<BudgetHold, LedgerError> {
        let partition = self.partition(program, self.settings.budget_topics, Topic::Budgets);
        if let Some(hold) = self.try_start(program, turn) {
            return Ok(hold);
        }
        let view = Rc::clone(self.views.borrow_mut().entry(partition).or_default());
        let mut view = view.lock().await;
        // A turn that waited for the lock before this one may have brought a slice for both.
        if let Some(hold) = self.try_start(program, turn) {
            return Ok(hold);
        }
        let key = self.slice_key(program);
        for _ in 0..MAX_RESERVE_ROUNDS {
            let known = view.get_or_insert_with(BudgetView::empty);
            let tokens = match known.decide(program, budget, turn) {
                SliceDecision::Spent => return Err(LedgerError::Spent),
                SliceDecision::Reserve { tokens } => tokens,
            };
            let record = SliceRecord {
                program: program.to_owned(),
                tokens,
            };
            let status = self.append_slice(partition, known.end, &key, &record, deadline);
            let reply = status.await?;
            if reply.status == 200 {
                known.end = decode_end(&reply.body).map_err(|_| LedgerError::Away)?;
                known.apply(&key, &record);
                self.grant(program, tokens);
                return self.try_start(program, turn).ok_or(LedgerError::Spent);
            }
            // Another process wrote first, or an earlier copy of this append was done.
            self.read_on(partition, known, deadline).await?;
            if let Some(tokens) = known.tokens(program, &key) {
                self.grant(program, tokens);
                return self.try_start(program, turn).ok_or(LedgerError::Spent);
            }
        }
        Err(LedgerError::Away)
    }

    fn slice_key(&self, program: &str) -> String {
        let sequence = self.next_sequence();
        let key = format!("{program}/{}/{sequence}", self.writer);
        if key.len() <= MAX_KEY_BYTES {
            return key;
        }
        format!(
            "{:016x}/{}/{sequence}",
            xxh3_64(program.as_bytes()),
            self.writer
        )
    }

    fn try_start(self: &Rc<Self>, program: &str, turn: Tokens) -> Option<BudgetHold> {
        let mut programs = self.programs.borrow_mut();
        let state = programs.get_mut(program)?;
        state.used_at = Some(Instant::now());
        state.slices.try_start(turn).then(|| BudgetHold {
            ledger: Rc::clone(self),
            program: program.to_owned(),
            turn,
            handed_out: Tokens(0),
        })
    }

    fn grant(&self, program: &str, tokens: Tokens) {
        let mut programs = self.programs.borrow_mut();
        let state = programs.entry(program.to_owned()).or_default();
        state.slices.granted.0 += tokens.0;
    }

    async fn append_slice(
        &self,
        partition: Partition,
        end: u64,
        key: &str,
        record: &SliceRecord,
        deadline: Instant,
    ) -> Result<StoreReply, LedgerError> {
        let value = to_cbor(record);
        let records = [KeyedRecord {
            key: key.to_owned(),
            value: Some(value),
        }];
        let target = append_target(&partition.topic, partition.number, Some(end));
        let call = StoreCall::post(target, encode_records(&records));
        Ok(self.store.call(&call, deadline).await?)
    }

    /// Reads what was written since the view's end, or all where that is no longer kept.
    async fn read_on(
        &self,
        partition: Partition,
        view: &mut BudgetView,
        deadline: Instant,
    ) -> Result<(), LedgerError> {
        let target = read_target(&partition.topic, partition.number, view.end, 0);
        let call = StoreCall::get(target);
        let reply = self.store.call(&call, deadline).await?;
        if reply.status == 200 {
            let read = decode_read(&reply.body).map_err(|_| LedgerError::Away)?;
            // An answer may hold fewer records than there are; the view ends with the last one read.
            view.end += read.records.len() as u64;
            apply_records(view, &read.records);
            if view.end >= read.end {
                return Ok(());
            }
        }
        let mut after: Option<String> = None;
        let mut first_end = None;
        loop {
            let page = self.newest(partition, after.as_deref(), deadline).await?;
            // Records may be written between two pages: only those before the first page's end are
            // certain to have been seen.
            let end = *first_end.get_or_insert(page.end);
            apply_records(view, &page.records);
            after = page.records.last().map(|record| record.key.clone());
            if !page.has_more || after.is_none() {
                view.end = end;
                return Ok(());
            }
        }
    }

    async fn newest(
        &self,
        partition: Partition,
        after: Option<&str>,
        deadline: Instant,
    ) -> Result<platform::store::NewestPage, LedgerError> {
        let target = newest_target(&partition.topic, partition.number, after);
        let call = StoreCall::get(target);
        let reply = self.store.call(&call, deadline).await?;
        if reply.status != 200 {
            return Err(LedgerError::Away);
        }
        decode_newest(&reply.body).map_err(|_| LedgerError::Away)
    }

    /// The turn with this id and all before it.
    pub(crate) async fn turn(&self, id: &str, deadline: Instant) -> Result<Arc<Turn>, LedgerError> {
        let mut records: Vec<(String, TurnRecord)> = Vec::new();
        let mut wanted = Some(id.to_owned());
        let mut base = None;
        while let Some(id) = wanted.take() {
            if let Some(turn) = self.cached(&id) {
                base = Some(turn);
                break;
            }
            let record = self.read_turn(&id, deadline).await?;
            let Some(record) = record else {
                // The newest turn may be one that never was. An older one was written before a
                // newer one that names it, so its absence means that something is wrong here.
                let is_first = records.is_empty();
                return Err(if is_first {
                    LedgerError::UnknownTurn
                } else {
                    LedgerError::Away
                });
            };
            wanted.clone_from(&record.parent);
            records.push((id, record));
            if records.len() > MAX_CHAIN_TURNS {
                return Err(LedgerError::Away);
            }
        }
        for (id, record) in records.into_iter().rev() {
            let turn = record.into_turn(id, base).map_err(|_| LedgerError::Away)?;
            base = Some(self.cache(Arc::new(turn)));
        }
        base.ok_or(LedgerError::UnknownTurn)
    }

    fn cached(&self, id: &str) -> Option<Arc<Turn>> {
        let mut turns = self.turns.borrow_mut();
        let cached = turns.get_mut(id)?;
        let sequence = self.next_sequence();
        let mut by_age = self.turns_by_age.borrow_mut();
        by_age.remove(&cached.sequence);
        by_age.insert(sequence, id.to_owned());
        cached.sequence = sequence;
        Some(Arc::clone(&cached.turn))
    }

    fn cache(&self, turn: Arc<Turn>) -> Arc<Turn> {
        let sequence = self.next_sequence();
        let bytes = turn.own_bytes();
        let entry = CachedTurn {
            turn: Arc::clone(&turn),
            sequence,
        };
        let replaced = self.turns.borrow_mut().insert(turn.id.clone(), entry);
        let mut by_age = self.turns_by_age.borrow_mut();
        by_age.insert(sequence, turn.id.clone());
        let mut cached_bytes = self.cached_bytes.get() + bytes;
        if let Some(old) = replaced {
            by_age.remove(&old.sequence);
            cached_bytes -= old.turn.own_bytes();
        }
        while cached_bytes > self.settings.cache_bytes && by_age.len() > 1 {
            let Some((_, id)) = by_age.pop_first() else {
                break;
            };
            if let Some(old) = self.turns.borrow_mut().remove(&id) {
                cached_bytes -= old.turn.own_bytes();
            }
        }
        self.cached_bytes.set(cached_bytes);
        turn
    }

    /// The record of a turn; none only if the store says that there is none.
    async fn read_turn(
        &self,
        id: &str,
        deadline: Instant,
    ) -> Result<Option<TurnRecord>, LedgerError> {
        let partition = self.partition(id, self.settings.turn_topics, Topic::Turns);
        let mut after = key_before(id);
        let mut found: Option<(TurnRecord, Vec<Bytes>)> = None;
        loop {
            let page = self.newest(partition, after.as_deref(), deadline).await?;
            let last = page.records.last().map(|record| record.key.clone());
            for KeyedRecord { key, value } in page.records {
                let Some(value) = value else { continue };
                if key == id {
                    let record = from_cbor::<TurnRecord>(&value).ok_or(LedgerError::Away)?;
                    found = Some((record, Vec::new()));
                } else if let Some((_, parts)) = &mut found
                    && is_part_of(&key, id)
                {
                    parts.push(value);
                }
            }
            let is_past = last
                .as_deref()
                .is_none_or(|key| key > id && !is_part_of(key, id));
            if !page.has_more || is_past {
                break;
            }
            after = last;
        }
        let Some((mut record, parts)) = found else {
            return Ok(None);
        };
        if parts.len() != record.parts {
            return Err(LedgerError::Away);
        }
        if !parts.is_empty() {
            record.body = parts.concat().into();
        }
        Ok(Some(record))
    }

    /// Records an ended turn; once this returns, no loss of processes can lose the turn.
    pub(crate) async fn record_turn(
        &self,
        mut turn: Turn,
        retention: SpanUs,
        deadline: Instant,
    ) -> Result<(), LedgerError> {
        let retain_ms = retention.as_ms();
        let parent = turn.parent.as_ref();
        if parent.is_some_and(|p| needs_whole_chain(p, turn.recorded_unix_ms, retain_ms)) {
            turn.input = prompt(turn.parent.as_ref(), &turn.input);
            turn.parent = None;
        }
        let partition = self.partition(&turn.id, self.settings.turn_topics, Topic::Turns);
        for batch in self.turn_batches(&turn, retain_ms) {
            let target = append_target(&partition.topic, partition.number, None);
            let call = StoreCall::post(target, encode_records(&batch));
            let reply = self.store.call(&call, deadline).await?;
            if reply.status != 200 {
                return Err(LedgerError::Away);
            }
        }
        self.cache(Arc::new(turn));
        Ok(())
    }

    /// The appends of a turn. A body that exceeds a record goes in parts before the record itself,
    /// so that a reader that finds the record finds all of it.
    fn turn_batches(&self, turn: &Turn, retain_ms: u64) -> Vec<Vec<KeyedRecord>> {
        /// What a record has beside its body: key, lengths and names of fields.
        const OVERHEAD_BYTES: usize = 1_024;
        let mut record = TurnRecord::of(turn, retain_ms);
        let part_bytes = self
            .settings
            .record_bytes
            .saturating_sub(OVERHEAD_BYTES)
            .max(1);
        let mut batches = Vec::new();
        if record.body.len() > part_bytes {
            let body = std::mem::take(&mut record.body);
            let parts: Vec<&[u8]> = body.chunks(part_bytes).collect();
            record.parts = parts.len();
            let keyed: Vec<KeyedRecord> = parts
                .into_iter()
                .enumerate()
                .map(|(number, part)| KeyedRecord {
                    key: part_key(&turn.id, number),
                    value: Some(Bytes::copy_from_slice(part)),
                })
                .collect();
            let per_call = (self.settings.call_bytes / self.settings.record_bytes).max(2) - 1;
            batches.extend(keyed.chunks(per_call).map(<[KeyedRecord]>::to_vec));
        }
        batches.push(vec![KeyedRecord {
            key: turn.id.clone(),
            value: Some(to_cbor(&record)),
        }]);
        batches
    }

    /// Forgets what idle programs hold in memory.
    pub(crate) fn forget_idle(&self, now: Instant) {
        self.programs.borrow_mut().retain(|_, state| {
            let is_running = state.slices.outstanding > Tokens(0);
            let is_recent = |at: Instant| now.saturating_duration_since(at) < PROGRAM_IDLE;
            is_running || state.used_at.is_none_or(is_recent)
        });
    }

    /// How much the caches hold: programs, turns and bytes of turns.
    pub(crate) fn sizes(&self) -> (usize, usize, usize) {
        let programs = self.programs.borrow().len();
        (programs, self.turns.borrow().len(), self.cached_bytes.get())
    }
}

/// The key of one part of a turn's body; it sorts right after the turn's own key.
fn part_key(id: &str, number: usize) -> String {
    format!("{id}!{number:04}")
}

fn is_part_of(key: &str, id: &str) -> bool {
    key.strip_prefix(id)
        .is_some_and(|rest| rest.starts_with('!'))
}

/// A key that sorts before `id` with few keys between them.
fn key_before(id: &str) -> Option<String> {
    let mut before = id.to_owned();
    before.pop();
    (!before.is_empty()).then_some(before)
}

fn apply_records(view: &mut BudgetView, records: &[KeyedRecord]) {
    for KeyedRecord { key, value } in records {
        let Some(value) = value else { continue };
        if let Some(record) = from_cbor::<SliceRecord>(value) {
            view.apply(key, &record);
        }
    }
}

fn to_cbor<T: serde::Serialize>(value: &T) -> Bytes {
    let mut bytes = Vec::new();
    // Writing to a vector can't fail, and the types have no maps with keys that CBOR lacks.
    let written = ciborium::into_writer(value, &mut bytes);
    debug_assert!(written.is_ok(), "{written:?}");
    bytes.into()
}

fn from_cbor<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    ciborium::from_reader(bytes).ok()
}
