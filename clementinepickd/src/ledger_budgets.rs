//! Manages programs' budgets: reserves slices in the store and grants turns their maxima from
//! memory.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use clementinepick::budget_ledger::{
    BudgetRecord, ProgramSlices, SliceDecision, SliceRecord, first_grant, is_record_due,
    standing_slice,
};
use clementinepick::record_expiry::RETENTION_FACTOR;
use clementinepick::server_selection::PromptPart;
use clementinepick::units::{SpanUs, Tokens};
use platform::store::KeyedRecord;
use tokio::sync::mpsc;
use tokio::time::timeout_at;

use crate::ledger::{LedgerError, LedgerStore, Partition, key_of, to_cbor};
use crate::ledger_holds::{BudgetHold, SliceGrant, TokenReturn};
use crate::ledger_partitions::{HeldHome, PartitionState};
use crate::link::{duration, to_span};
use crate::safeguard::Safeguard;
use crate::unix_time::unix_ms;

/// How often the reservation of a slice is retried after another process wrote to the partition
/// first. Each retry means that another process succeeded, so that more than a few are rare.
const MAX_RESERVE_ATTEMPTS: u32 = 16;
/// How long a partition's view stays in memory after its last use; the minimum for programs.
const IDLE_RETENTION: Duration = Duration::from_mins(5);
/// The capacity of the queue of token returns; returns beyond it are dropped, which costs programs
/// a part of their budgets.
const RETURN_QUEUE_CAPACITY: usize = 1_024;

/// The divisor of the moving average of tokens per turn.
const MEAN_TURN_DIVISOR: u64 = 16;

/// A request for a turn's maximum from its program's budget.
#[derive(Debug, Clone, Copy)]
pub(crate) struct BudgetRequest<'a> {
    pub(crate) program: &'a str,
    /// The maximum of all turns of the program together.
    pub(crate) budget: Tokens,
    /// The maximum of this turn.
    pub(crate) turn: Tokens,
    /// How long the budget must be kept after the program's last turn.
    pub(crate) retention: SpanUs,
    /// The id of the turn's request.
    pub(crate) turn_id: &'a str,
    /// The turn that this one continues from, if context is kept.
    pub(crate) previous_id: Option<&'a str>,
    /// Whether other turns may continue from this one.
    pub(crate) keeps_context: bool,
    /// The turn's chain, preceded by those that it branched off from.
    pub(crate) turn_chains: &'a [PromptPart],
}

/// Why a slice is reserved.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReservePurpose {
    /// A turn waits for it.
    Turn,
    /// Future turns will need it.
    Prefetch,
}

#[derive(Default)]
pub(crate) struct ProgramBudget {
    pub(crate) slices: ProgramSlices,
    /// The number of the home of this process whose standing slice is in `slices`.
    pub(crate) standing_home: Option<u64>,
    used_at: Option<Instant>,
    /// The longest retention of the program's turns here.
    pub(crate) retention: Duration,
    pub(crate) budget: Tokens,
    /// Until when what the store records of the program is kept, as far as this process knows.
    kept_until: Option<Instant>,
}

impl ProgramBudget {
    fn record_use(&mut self, request: &BudgetRequest<'_>, now: Instant) {
        self.used_at = Some(now);
        self.retention = self.retention.max(duration(request.retention));
    }

    /// Records that what the store records of the program is kept for `span` more.
    fn record_kept(&mut self, now: Instant, span: Duration) {
        self.kept_until = self.kept_until.max(Some(now + span));
    }
}

/// Returns how long the record of a program with this retention is kept.
fn record_lifetime(retention: Duration) -> Duration {
    retention.saturating_mul(u32::try_from(RETENTION_FACTOR).unwrap_or(u32::MAX))
}

/// The programs' budgets as known to this process.
pub(crate) struct Budgets {
    pub(crate) store: Rc<LedgerStore>,
    /// A unique id of this process instance; a restart has another one.
    pub(crate) writer: String,
    /// The address at which peers can borrow unused tokens.
    pub(crate) address: SocketAddr,
    pub(crate) programs: RefCell<BTreeMap<String, ProgramBudget>>,
    pub(crate) partitions: RefCell<BTreeMap<Partition, Rc<PartitionState>>>,
    sequence: Cell<u64>,
    /// The moving average of tokens per turn; `None` before the first turn.
    mean_turn: Cell<Option<Tokens>>,
    returns: mpsc::Sender<TokenReturn>,
}

impl Budgets {
    /// Creates the budgets of a starting process and the queue of tokens to return to lenders.
    pub(crate) fn new(
        store: Rc<LedgerStore>,
        writer: String,
        address: SocketAddr,
    ) -> (Self, mpsc::Receiver<TokenReturn>) {
        let (returns, return_queue) = mpsc::channel(RETURN_QUEUE_CAPACITY);
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
        (budgets, return_queue)
    }

    /// Reserves a turn's maximum from the slices held here, if they suffice.
    pub(crate) fn start_held(
        self: &Rc<Self>,
        request: &BudgetRequest<'_>,
        now: Instant,
    ) -> Option<BudgetHold> {
        self.grant_standing(request, now);
        if !self.is_record_fresh(request, now) {
            return None;
        }
        self.try_start(request, now)
    }

    /// Returns the average number of tokens per turn, over turns that ran here.
    pub(crate) fn mean_turn(&self) -> Option<Tokens> {
        self.mean_turn.get()
    }

    /// Reserves all tokens held of a program for a turn, if there are at least `least`.
    ///
    /// Turns use less than half of their maxima on average. Without this, a program with less than
    /// a maximum left would be refused during a store outage, although most of its turns would
    /// complete.
    pub(crate) fn start_with_remaining(
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
        let partial = BudgetRequest { turn, ..*request };
        Some(BudgetHold::new(self, &partial, None))
    }

    /// Updates the average with the tokens of a finished turn.
    pub(crate) fn update_mean_turn(&self, consumed: Tokens) {
        let mean = self.mean_turn.get().unwrap_or(consumed);
        let next = mean.0 - mean.0 / MEAN_TURN_DIVISOR + consumed.0 / MEAN_TURN_DIVISOR;
        self.mean_turn.set(Some(Tokens(next)));
    }

    /// Reserves a turn's maximum, with a new slice from the store if those held do not suffice.
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
        let locked = timeout_at(deadline.into(), state.access.lock()).await;
        let _guard = locked.map_err(|_| LedgerError::Unavailable)?;
        self.read_first(partition, &state, deadline).await?;
        // A turn that held the lock before may have reserved a slice that suffices for both.
        if let Some(hold) = self.start_held(request, Instant::now()) {
            return Ok(hold);
        }
        // A slice may be smaller than the turn if the budget is nearly used up; the next one is
        // refused then.
        loop {
            let grant = self
                .append_slice(partition, &state, request, ReservePurpose::Turn, deadline)
                .await?;
            if let Some(mut hold) = self.try_start(request, Instant::now()) {
                hold.grant = Some(grant);
                return Ok(hold);
            }
        }
    }

    /// Returns whether the next slice should be reserved before a turn needs it.
    pub(crate) fn is_low(&self, request: &BudgetRequest<'_>) -> bool {
        let programs = self.programs.borrow();
        let state = programs.get(request.program);
        state.is_some_and(|state| state.slices.is_low(request.turn))
    }

    /// Reserves a slice that no turn waits for yet; `None` if another task reserved enough in the
    /// meantime.
    pub(crate) async fn prefetch_slice(
        &self,
        request: &BudgetRequest<'_>,
        deadline: Instant,
    ) -> Result<Option<SliceGrant>, LedgerError> {
        let partition = self.store.budget_partition(request.program);
        let state = self.partition(partition, Instant::now());
        let _guard = state.access.lock().await;
        if !self.is_low(request) {
            return Ok(None);
        }
        let grant = self.append_slice(
            partition,
            &state,
            request,
            ReservePurpose::Prefetch,
            deadline,
        );
        grant.await.map(Some)
    }

    /// Reserves one slice; the caller holds the partition's lock.
    async fn append_slice(
        &self,
        partition: Partition,
        state: &PartitionState,
        request: &BudgetRequest<'_>,
        purpose: ReservePurpose,
        deadline: Instant,
    ) -> Result<SliceGrant, LedgerError> {
        let key = self.slice_key(request.program);
        for _ in 0..MAX_RESERVE_ATTEMPTS {
            let record = self.next_slice(state, request, purpose)?;
            let retention = Duration::from_millis(record.retain_ms);
            let written_at = Instant::now();
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
                self.grant(
                    request.program,
                    tokens,
                    written_at,
                    record_lifetime(retention),
                );
                return Ok(grant);
            }
        }
        Err(LedgerError::Unavailable)
    }

    /// Returns the record of the next slice. It has no tokens if the held slices suffice and only a
    /// new record of activity is due.
    fn next_slice(
        &self,
        state: &PartitionState,
        request: &BudgetRequest<'_>,
        purpose: ReservePurpose,
    ) -> Result<SliceRecord, LedgerError> {
        let view = state.view.borrow();
        let tokens =
            if purpose == ReservePurpose::Turn && self.is_sufficient(request, Instant::now()) {
                Tokens(0)
            } else {
                match view.decide(request.program, request.budget, request.turn) {
                    SliceDecision::Exhausted => {
                        return Err(LedgerError::Exhausted {
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
            retain_ms: self.retain_ms(request),
            ..view.slice(request.program, request.budget, tokens)
        })
    }

    /// Returns whether the budget may have tokens left, as far as this process has read.
    pub(crate) fn may_have_left(&self, request: &BudgetRequest<'_>) -> bool {
        let partition = self.store.budget_partition(request.program);
        let partitions = self.partitions.borrow();
        partitions.get(&partition).is_none_or(|state| {
            let view = state.view.borrow();
            let decision = view.decide(request.program, request.budget, request.turn);
            decision != SliceDecision::Exhausted
        })
    }

    /// Returns the retention of a record for the program: the longest of its turns here and this one.
    fn retain_ms(&self, request: &BudgetRequest<'_>) -> u64 {
        let programs = self.programs.borrow();
        let known = programs
            .get(request.program)
            .map(|state| to_span(state.retention));
        known.unwrap_or_default().max(request.retention).as_ms()
    }

    /// Returns whether the held slices suffice for the turn.
    fn is_sufficient(&self, request: &BudgetRequest<'_>, now: Instant) -> bool {
        let programs = self.programs.borrow();
        let state = programs.get(request.program);
        state.is_some_and(|state| {
            let mut slices = state.slices;
            self.is_usable(request.program, state, now) && slices.try_start(request.turn)
        })
    }

    /// Returns whether the program needs no new record before the turn.
    ///
    /// Slices of programs without a recent record are dropped. Without this check, a program that
    /// uses one slice for long would lose its records in the store and get its full budget again.
    fn is_record_fresh(&self, request: &BudgetRequest<'_>, now: Instant) -> bool {
        !is_record_due(
            to_span(self.kept_for(request.program, now)),
            request.retention,
        )
    }

    /// Returns how long the store keeps what it records of a program, as far as this process knows.
    pub(crate) fn kept_for(&self, program: &str, now: Instant) -> Duration {
        let programs = self.programs.borrow();
        let kept_until = programs.get(program).and_then(|state| state.kept_until);
        let kept_for = kept_until.map_or(Duration::ZERO, |at| at.saturating_duration_since(now));
        kept_for.max(self.recorded_kept_for(program))
    }

    /// Returns the same by the records that were read.
    fn recorded_kept_for(&self, program: &str) -> Duration {
        let partition = self.store.budget_partition(program);
        let partitions = self.partitions.borrow();
        let state = partitions.get(&partition);
        let kept_until = state.and_then(|s| s.view.borrow().kept_until_unix_ms(program));
        let left_ms = kept_until.unwrap_or_default().saturating_sub(unix_ms());
        Duration::from_millis(left_ms)
    }

    /// Returns this process's home of the program's partition, if it is the home.
    pub(crate) fn held_home(&self, program: &str) -> Option<HeldHome> {
        let partition = self.store.budget_partition(program);
        let partitions = self.partitions.borrow();
        partitions.get(&partition)?.home.get()
    }

    /// Grants the standing slice of a program, once for each home, if this process is the home.
    pub(crate) fn grant_standing(&self, request: &BudgetRequest<'_>, now: Instant) {
        let partition = self.store.budget_partition(request.program);
        let partitions = self.partitions.borrow();
        let Some(state) = partitions.get(&partition) else {
            return;
        };
        let Some(home) = state.home.get().filter(|home| home.has_lease(now)) else {
            return;
        };
        let view = state.view.borrow();
        let is_counted = view.has_standing_slice(request.program, home.number);
        if !is_counted && !Safeguard::StandingCount.is_disabled() {
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
        program.record_use(request, now);
        let counted = standing_slice(request.budget, home.halvings);
        program.slices.grant_standing(tokens, counted);
        if !view.has_program(request.program) {
            program.record_kept(now, record_lifetime(duration(request.retention)));
        }
    }

    /// Returns whether the held slices of a program may be used. Standing slices may be used only
    /// within the lease, because a later home may assume that it has expired.
    fn is_usable(&self, program: &str, state: &ProgramBudget, now: Instant) -> bool {
        state.slices.standing == Tokens(0)
            || self
                .held_home(program)
                .is_some_and(|home| home.has_lease(now))
    }

    /// Returns the key of a new slice, which no record of a home and no slice of another program has.
    pub(crate) fn slice_key(&self, program: &str) -> String {
        self.sequence.set(self.sequence.get() + 1);
        let sequence = self.sequence.get();
        format!("slice/{}/{}/{sequence}", key_of(program), self.writer)
    }

    fn try_start(self: &Rc<Self>, request: &BudgetRequest<'_>, now: Instant) -> Option<BudgetHold> {
        let mut programs = self.programs.borrow_mut();
        let state = programs.get_mut(request.program)?;
        if !self.is_usable(request.program, state, now) {
            return None;
        }
        state.record_use(request, now);
        let starts = state.slices.try_start(request.turn);
        starts.then(|| BudgetHold::new(self, request, None))
    }

    /// Takes the unused part of a finished turn's maximum back into the program's slices.
    pub(crate) fn finish(&self, program: &str, turn: Tokens, consumed: Tokens) {
        let mut programs = self.programs.borrow_mut();
        if let Some(state) = programs.get_mut(program) {
            state.slices.finish(turn, consumed);
        }
    }

    /// Removes a turn's maximum that is lent to another process.
    pub(crate) fn hand_over(&self, program: &str, turn: Tokens) {
        let mut programs = self.programs.borrow_mut();
        if let Some(state) = programs.get_mut(program) {
            state.slices.hand_over(turn);
        }
    }

    /// Queues tokens for return to their lender. If the queue is full, the program loses them; they
    /// are never spent twice.
    pub(crate) fn queue_return(&self, unused: TokenReturn) {
        // The receiver is dropped only when the process ends.
        let _ = self.returns.try_send(unused);
    }

    /// Takes back unused tokens that were lent to another process; ignored unless this process
    /// instance lent them.
    pub(crate) fn take_back(&self, writer: &str, program: &str, tokens: Tokens) {
        let mut programs = self.programs.borrow_mut();
        if let Some(state) = programs.get_mut(program).filter(|_| writer == self.writer) {
            state.slices.take_back(tokens);
        }
    }

    /// Adds tokens to a program whose records are kept for `kept_for` after `now`.
    fn grant(&self, program: &str, tokens: Tokens, now: Instant, kept_for: Duration) {
        let mut programs = self.programs.borrow_mut();
        let state = programs.entry(program.to_owned()).or_default();
        state.slices.granted.0 += tokens.0;
        state.record_kept(now, kept_for);
    }

    /// Lends unused tokens of a program to another process and returns their number.
    ///
    /// The slice is reduced before the response is sent: if that is lost, the program loses the
    /// tokens, and they are never spent twice.
    pub(crate) fn lend(&self, program: &str, wanted: Tokens, now: Instant) -> Tokens {
        let mut programs = self.programs.borrow_mut();
        let state = programs.get_mut(program);
        let state = state.filter(|state| self.is_usable(program, state, now));
        state.map_or(Tokens(0), |state| state.slices.lend(wanted))
    }

    /// Adds borrowed tokens of a program whose records are kept for `kept_for`, and starts a turn with
    /// them.
    pub(crate) fn start_borrowed(
        self: &Rc<Self>,
        request: &BudgetRequest<'_>,
        borrowed: Tokens,
        kept_for: Duration,
    ) -> Option<BudgetHold> {
        let now = Instant::now();
        self.grant(request.program, borrowed, now, kept_for);
        self.try_start(request, now)
    }

    /// Drops programs and partitions that were not used for long.
    ///
    /// A program is kept as long as its records would be: a home that dropped it earlier would
    /// grant its standing slice again.
    pub(crate) fn evict_idle(&self, now: Instant) {
        let idle_for = |at: Option<Instant>| at.map(|at| now.saturating_duration_since(at));
        self.programs.borrow_mut().retain(|_, state| {
            let limit = IDLE_RETENTION.max(record_lifetime(state.retention));
            state.slices.outstanding > Tokens(0)
                || idle_for(state.used_at).is_none_or(|idle| idle < limit)
        });
        self.partitions.borrow_mut().retain(|_, state| {
            Rc::strong_count(state) > 1
                || state.home.get().is_some()
                || idle_for(state.used_at.get()).is_none_or(|idle| idle < IDLE_RETENTION)
        });
    }

    /// Returns the tokens that this process holds of a program.
    pub(crate) fn held_slices(&self, program: &str) -> Option<ProgramSlices> {
        Some(self.programs.borrow().get(program)?.slices)
    }

    /// Returns the number of programs in memory.
    pub(crate) fn program_count(&self) -> usize {
        self.programs.borrow().len()
    }
}
