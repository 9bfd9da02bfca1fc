//! Programs' budgets: slices reserved in the store and spent from memory.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use clementinepick::budget_ledger::{
    BudgetRecord, ProgramSlices, SliceDecision, SliceRecord, first_grant,
};
use clementinepick::record_expiry::RETENTION_FACTOR;
use clementinepick::server_selection::PromptPart;
use clementinepick::units::{SpanUs, Tokens};
use platform::store::{KeyedRecord, MAX_KEY_BYTES};
use tokio::sync::mpsc;
use xxhash_rust::xxh3::xxh3_64;

use crate::ledger::{LedgerError, LedgerStore, Partition, to_cbor};
use crate::ledger_holds::{BudgetHold, SliceGrant, TokenReturn};
use crate::ledger_partitions::{HeldHome, PartitionState};
use crate::link::duration;
use crate::safeguard::Safeguard;
use crate::unix_time::unix_ms;

/// How often a slice is decided anew after another process wrote first. Each round means that
/// another process got its slice, so that more than a few are rare.
const MAX_RESERVE_ROUNDS: u32 = 16;
/// How long a partition's view stays in memory after its last use, and a program at the least.
const IDLE: Duration = Duration::from_mins(5);
/// How many returns of tokens wait to be sent; more are given up, which costs programs a part of
/// their budgets.
const MAX_RETURNS: usize = 1_024;

/// Over how many turns the mean goes, about.
const MEAN_OVER: u64 = 16;

/// A turn that asks for a part of its program's budget.
#[derive(Debug, Clone, Copy)]
pub(crate) struct BudgetRequest<'a> {
    pub(crate) program: &'a str,
    /// What all turns of the program may generate.
    pub(crate) budget: Tokens,
    /// What this turn generates at most.
    pub(crate) turn: Tokens,
    /// How long the budget must count on after the program's last turn.
    pub(crate) retention: SpanUs,
    /// The id of the turn's request.
    pub(crate) turn_id: &'a str,
    /// The turn that it continues from, if its context is kept.
    pub(crate) previous_id: Option<&'a str>,
    /// Whether other turns may continue from this one.
    pub(crate) keeps_context: bool,
    /// The line of turns, and those that it branched off from, its own last.
    pub(crate) lines: &'a [PromptPart],
}

/// What a slice is reserved for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Need {
    /// A turn that waits for it.
    Turn,
    /// Turns that are still to come.
    Ahead,
}

#[derive(Default)]
struct ProgramState {
    slices: ProgramSlices,
    /// The home of this process whose standing slice is in `slices`.
    standing_home: Option<u64>,
    used_at: Option<Instant>,
    retention: Duration,
    budget: Tokens,
    /// When this process last wrote a record for the program, or began it without one.
    recorded_at: Option<Instant>,
}

/// The budgets as one process uses them.
pub(crate) struct Budgets {
    pub(crate) store: Rc<LedgerStore>,
    /// A name that no other start of any process has.
    pub(crate) writer: String,
    /// Where this process can be asked for what it does not need.
    pub(crate) address: SocketAddr,
    programs: RefCell<BTreeMap<String, ProgramState>>,
    pub(crate) partitions: RefCell<BTreeMap<Partition, Rc<PartitionState>>>,
    sequence: Cell<u64>,
    /// What a turn hands out on average, the latest ones counting most; none before the first.
    mean_turn: Cell<Option<Tokens>>,
    returns: mpsc::Sender<TokenReturn>,
}

impl Budgets {
    /// The budgets of a process that has just started, and what it is to return to others.
    pub(crate) fn new(
        store: Rc<LedgerStore>,
        writer: String,
        address: SocketAddr,
    ) -> (Self, mpsc::Receiver<TokenReturn>) {
        let (returns, returned) = mpsc::channel(MAX_RETURNS);
        let budgets = Self {
            store,
            writer,
            address,
            programs: RefCell::default(),
            partitions: RefCell::default(),
            sequence: Cell::new(0),
            mean_turn: Cell::new(None),
            returns,
        };
        (budgets, returned)
    }

    /// Sets a turn's maximum aside from the slices that are held, if they suffice.
    pub(crate) fn start_held(
        self: &Rc<Self>,
        request: &BudgetRequest<'_>,
        now: Instant,
    ) -> Option<BudgetHold> {
        self.take_standing(request, now);
        if !self.is_record_fresh(request, now) {
            return None;
        }
        self.try_start(request, now)
    }

    /// What a turn hands out on average, by those that ran here.
    pub(crate) fn mean_turn(&self) -> Option<Tokens> {
        self.mean_turn.get()
    }

    /// Sets all that is held of a program aside for a turn, if it is at least `least`.
    ///
    /// Turns need less than half of their maxima. While the store is away, a program that has less left
    /// than a maximum would be refused; started with the rest, most of its turns end.
    pub(crate) fn start_rest(
        self: &Rc<Self>,
        request: &BudgetRequest<'_>,
        least: Tokens,
        now: Instant,
    ) -> Option<BudgetHold> {
        if !self.is_record_fresh(request, now) {
            return None;
        }
        let mut programs = self.programs.borrow_mut();
        let state = programs.get_mut(request.program)?;
        if !self.is_usable(request.program, state, now) {
            return None;
        }
        let turn = state.slices.start_with_remaining(least)?;
        state.used_at = Some(now);
        let rest = BudgetRequest { turn, ..*request };
        Some(BudgetHold::new(self, &rest, None))
    }

    /// Notes what a turn handed out.
    pub(crate) fn update_mean_turn(&self, consumed: Tokens) {
        let mean = self.mean_turn.get().unwrap_or(consumed);
        let next = mean.0 - mean.0 / MEAN_OVER + consumed.0 / MEAN_OVER;
        self.mean_turn.set(Some(Tokens(next)));
    }

    /// Sets a turn's maximum aside, with a new slice from the store if those held do not suffice.
    pub(crate) async fn reserve(
        self: &Rc<Self>,
        request: &BudgetRequest<'_>,
        deadline: Instant,
    ) -> Result<BudgetHold, LedgerError> {
        if let Some(hold) = self.start_held(request, Instant::now()) {
            return Ok(hold);
        }
        let partition = self.store.budget_partition(request.program);
        let state = self.partition(partition, Instant::now());
        let _in_use = state.in_use.lock().await;
        // A turn that waited for the lock before this one may have brought a slice for both.
        if let Some(hold) = self.start_held(request, Instant::now()) {
            return Ok(hold);
        }
        // What is left of a budget may be less than the turn; then the next slice is refused.
        loop {
            let grant = self
                .append_slice(partition, &state, request, Need::Turn, deadline)
                .await?;
            if let Some(mut hold) = self.try_start(request, Instant::now()) {
                hold.grant = Some(grant);
                return Ok(hold);
            }
        }
    }

    /// Whether a slice should be reserved before the program's next turn asks for it.
    pub(crate) fn is_low(&self, request: &BudgetRequest<'_>) -> bool {
        let programs = self.programs.borrow();
        let state = programs.get(request.program);
        state.is_some_and(|state| state.slices.is_low(request.turn))
    }

    /// Reserves a slice that no turn waits for; none where enough came meanwhile.
    pub(crate) async fn prefetch_slice(
        &self,
        request: &BudgetRequest<'_>,
        deadline: Instant,
    ) -> Result<Option<SliceGrant>, LedgerError> {
        let partition = self.store.budget_partition(request.program);
        let state = self.partition(partition, Instant::now());
        let _in_use = state.in_use.lock().await;
        if !self.is_low(request) {
            return Ok(None);
        }
        let grant = self.append_slice(partition, &state, request, Need::Ahead, deadline);
        grant.await.map(Some)
    }

    /// Reserves one slice; the partition is in use by the caller.
    async fn append_slice(
        &self,
        partition: Partition,
        state: &PartitionState,
        request: &BudgetRequest<'_>,
        need: Need,
        deadline: Instant,
    ) -> Result<SliceGrant, LedgerError> {
        let key = self.slice_key(request.program);
        for _ in 0..MAX_RESERVE_ROUNDS {
            let record = self.next_slice(state, request, need)?;
            let records = [KeyedRecord {
                key: key.clone(),
                value: Some(to_cbor(&BudgetRecord::Slice(record))),
            }];
            self.append_next(partition, state, &records, deadline)
                .await?;
            let known = state.view.borrow();
            if let Some(tokens) = known.slice_tokens(request.program, &key) {
                let grant = SliceGrant {
                    tokens,
                    reserved: known.reserved(request.program, request.budget),
                    end: known.end,
                };
                drop(known);
                self.grant(request.program, tokens);
                return Ok(grant);
            }
        }
        Err(LedgerError::Unavailable)
    }

    /// The next slice's record; without tokens where those held suffice and only the record that
    /// the program runs is due.
    fn next_slice(
        &self,
        state: &PartitionState,
        request: &BudgetRequest<'_>,
        need: Need,
    ) -> Result<SliceRecord, LedgerError> {
        let view = state.view.borrow();
        let tokens = if need == Need::Turn && self.is_enough(request, Instant::now()) {
            Tokens(0)
        } else {
            match view.decide(request.program, request.budget, request.turn) {
                SliceDecision::Exhausted => {
                    return Err(LedgerError::Spent {
                        reserved: view.reserved(request.program, request.budget),
                        holders: view.holders(request.program),
                    });
                }
                SliceDecision::Reserve { tokens } => tokens,
            }
        };
        Ok(SliceRecord {
            holder: Some(self.address),
            recorded_unix_ms: unix_ms(),
            retain_ms: request.retention.as_ms(),
            ..view.slice(request.program, request.budget, tokens)
        })
    }

    /// Whether the slices that are held suffice for the turn.
    fn is_enough(&self, request: &BudgetRequest<'_>, now: Instant) -> bool {
        let programs = self.programs.borrow();
        let state = programs.get(request.program);
        state.is_some_and(|state| {
            let mut slices = state.slices;
            self.is_usable(request.program, state, now) && slices.try_start(request.turn)
        })
    }

    /// Whether this process has written a record for the program within its retention, or began
    /// it in that time.
    ///
    /// Slices of programs without such a record are dropped in time. Without this look, a program
    /// that runs for long on one slice would lose it from the store and get its budget anew.
    fn is_record_fresh(&self, request: &BudgetRequest<'_>, now: Instant) -> bool {
        let retention = duration(request.retention);
        let programs = self.programs.borrow();
        let state = programs.get(request.program);
        let recorded_at = state.and_then(|state| state.recorded_at);
        recorded_at.is_some_and(|at| now.saturating_duration_since(at) < retention)
    }

    /// This process as the home of a program's partition.
    pub(crate) fn held_home(&self, program: &str) -> Option<HeldHome> {
        let partition = self.store.budget_partition(program);
        let partitions = self.partitions.borrow();
        partitions.get(&partition)?.home.get()
    }

    /// Takes the standing slice of a program, once, if this process is its home.
    fn take_standing(&self, request: &BudgetRequest<'_>, now: Instant) {
        let partition = self.store.budget_partition(request.program);
        let partitions = self.partitions.borrow();
        let Some(state) = partitions.get(&partition) else {
            return;
        };
        let Some(home) = state.home.get().filter(|home| home.has_lease(now)) else {
            return;
        };
        let view = state.view.borrow();
        let counts = view.has_standing_slice(request.program, home.number);
        if !counts && !Safeguard::StandingCount.is_disabled() {
            return;
        }
        let mut programs = self.programs.borrow_mut();
        let program = programs.entry(request.program.to_owned()).or_default();
        if program.standing_home == Some(home.number) {
            return;
        }
        let tokens = first_grant(request.budget, home.halvings, request.turn);
        program.budget = request.budget;
        program.standing_home = Some(home.number);
        program.slices.standing = tokens;
        program.slices.granted.0 += tokens.0;
        if !view.has_program(request.program) {
            program.recorded_at = Some(now);
        }
    }

    /// Whether the slices held of a program may be used: a standing slice only within the lease,
    /// since later ones may think that it has ended.
    fn is_usable(&self, program: &str, state: &ProgramState, now: Instant) -> bool {
        state.slices.standing == Tokens(0)
            || self
                .held_home(program)
                .is_some_and(|home| home.has_lease(now))
    }

    fn slice_key(&self, program: &str) -> String {
        self.sequence.set(self.sequence.get() + 1);
        let sequence = self.sequence.get();
        let key = format!("{program}/{}/{sequence}", self.writer);
        if key.len() <= MAX_KEY_BYTES {
            return key;
        }
        let hash = xxh3_64(program.as_bytes());
        format!("{hash:016x}/{}/{sequence}", self.writer)
    }

    fn try_start(self: &Rc<Self>, request: &BudgetRequest<'_>, now: Instant) -> Option<BudgetHold> {
        let mut programs = self.programs.borrow_mut();
        let state = programs.get_mut(request.program)?;
        if !self.is_usable(request.program, state, now) {
            return None;
        }
        state.used_at = Some(now);
        state.retention = duration(request.retention);
        let starts = state.slices.try_start(request.turn);
        starts.then(|| BudgetHold::new(self, request, None))
    }

    /// Takes over what a turn that ends leaves of its maximum.
    pub(crate) fn finish(&self, program: &str, turn: Tokens, consumed: Tokens) {
        let mut programs = self.programs.borrow_mut();
        if let Some(state) = programs.get_mut(program) {
            state.slices.finish(turn, consumed);
        }
    }

    /// Gives a turn's whole maximum to another process.
    pub(crate) fn hand_over(&self, program: &str, turn: Tokens) {
        let mut programs = self.programs.borrow_mut();
        if let Some(state) = programs.get_mut(program) {
            state.slices.hand_over(turn);
        }
    }

    /// Sends tokens back to their lender, unless too many wait; then they are lost to the program,
    /// and never spent twice.
    pub(crate) fn queue_return(&self, back: TokenReturn) {
        // The receiver is gone only when the process ends.
        let _ = self.returns.try_send(back);
    }

    /// Takes back what a turn elsewhere did not need; nothing if this start did not lend it.
    pub(crate) fn take_back(&self, writer: &str, program: &str, tokens: Tokens) {
        let mut programs = self.programs.borrow_mut();
        if let Some(state) = programs.get_mut(program).filter(|_| writer == self.writer) {
            state.slices.take_back(tokens);
        }
    }

    fn grant(&self, program: &str, tokens: Tokens) {
        let mut programs = self.programs.borrow_mut();
        let state = programs.entry(program.to_owned()).or_default();
        state.slices.granted.0 += tokens.0;
        state.recorded_at = Some(Instant::now());
    }

    /// Gives up what this process holds of a program and does not need, for another process.
    ///
    /// The slice is smaller here before the answer is sent: if that is lost, the tokens are lost to
    /// the program, and never spent twice.
    pub(crate) fn lend(&self, program: &str, wanted: Tokens, now: Instant) -> Tokens {
        let mut programs = self.programs.borrow_mut();
        let state = programs.get_mut(program);
        let state = state.filter(|state| self.is_usable(program, state, now));
        state.map_or(Tokens(0), |state| state.slices.lend(wanted))
    }

    /// Takes what another process gave up, and starts a turn with it.
    ///
    /// The lender has written a record for the program within a retention, or it would not hold a
    /// slice that it uses; so the program's slices stay for two more.
    pub(crate) fn start_borrowed(
        self: &Rc<Self>,
        request: &BudgetRequest<'_>,
        borrowed: Tokens,
    ) -> Option<BudgetHold> {
        self.grant(request.program, borrowed);
        self.try_start(request, Instant::now())
    }

    /// Ends the standing slices of a partition; gives the programs that have no record in it, and
    /// how much of their standing slices was used.
    pub(crate) fn end_standing(&self, partition: Partition) -> Vec<UsedStanding> {
        let state = self.partition(partition, Instant::now());
        let view = state.view.borrow();
        let mut used = Vec::new();
        for (name, program) in self.programs.borrow_mut().iter_mut() {
            let is_here = self.store.budget_partition(name) == partition;
            if !is_here || program.slices.standing == Tokens(0) {
                continue;
            }
            let tokens = program.slices.release_standing();
            if tokens > Tokens(0) && !view.has_program(name) {
                used.push(UsedStanding {
                    program: name.clone(),
                    key: self.slice_key(name),
                    budget: program.budget,
                    tokens,
                    retain_ms: u64::try_from(program.retention.as_millis()).unwrap_or(u64::MAX),
                });
            }
        }
        used
    }

    /// Forgets programs and partitions that were not used for long.
    ///
    /// A program stays for as long as its records would: a home that forgot one earlier would give
    /// it its standing slice again.
    pub(crate) fn forget_idle(&self, now: Instant) {
        let idle = |at: Option<Instant>| at.map(|at| now.saturating_duration_since(at));
        let kept = u32::try_from(RETENTION_FACTOR).unwrap_or(u32::MAX);
        self.programs.borrow_mut().retain(|_, state| {
            let limit = IDLE.max(state.retention.saturating_mul(kept));
            state.slices.outstanding > Tokens(0)
                || idle(state.used_at).is_none_or(|idle| idle < limit)
        });
        self.partitions.borrow_mut().retain(|_, state| {
            Rc::strong_count(state) > 1
                || state.home.get().is_some()
                || idle(state.used_at.get()).is_none_or(|idle| idle < IDLE)
        });
    }

    /// What this process holds of a program.
    pub(crate) fn held_slices(&self, program: &str) -> Option<ProgramSlices> {
        Some(self.programs.borrow().get(program)?.slices)
    }

    /// How many programs are in memory.
    pub(crate) fn program_count(&self) -> usize {
        self.programs.borrow().len()
    }
}

/// What a program used of a standing slice and no record says yet.
#[derive(Debug, Clone)]
pub(crate) struct UsedStanding {
    pub(crate) program: String,
    /// A key for the record.
    pub(crate) key: String,
    pub(crate) budget: Tokens,
    pub(crate) tokens: Tokens,
    pub(crate) retain_ms: u64,
}
