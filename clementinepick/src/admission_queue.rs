//! The gate before a backend server: it admits only what fits, and decides who goes first.
//!
//! A backend server admits as requests arrive and knows no priorities, so an urgent call would wait
//! behind all that came before. Here calls wait in their order instead: categories below their
//! share, then rank, then the program that was served least by weight, then arrival. Each decision
//! costs a search in ordered sets, whatever the count of calls that wait.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use crate::error::{CallError, ErrorKind};
use crate::ids::{AttemptId, CategoryName, ClassName, ProgramId};
use crate::rules::CategoryRules;
use crate::units::{SpanUs, TimeUs, Tokens};

/// What fits, and how many may wait.
#[derive(Debug, Clone)]
pub struct AdmissionSettings {
    /// The most calls that run at once.
    pub max_running: u32,
    /// The most calls that wait.
    pub max_waiting: u32,
    /// The cache memory that running calls may fill; absent for plain services.
    pub cache_size_tokens: Option<Tokens>,
    /// The prompt tokens that may be in prefill at once; absent: no bound. An engine prefills in
    /// the order of arrival, so what is admitted early goes before an urgent call that comes later.
    pub max_prefill_tokens: Option<Tokens>,
    /// The share and the limit of each category.
    pub categories: BTreeMap<CategoryName, CategoryRules>,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self {
            max_running: 32,
            max_waiting: 1_000,
            cache_size_tokens: None,
            max_prefill_tokens: None,
            categories: BTreeMap::new(),
        }
    }
}

/// A call at the gate.
#[derive(Debug, Clone)]
pub struct QueuedCall {
    /// The attempt.
    pub attempt: AttemptId,
    /// The program.
    pub program: ProgramId,
    /// The class.
    pub class: ClassName,
    /// The category that the class counts against.
    pub category: Option<CategoryName>,
    /// The class's rank: lower goes first.
    pub rank: u32,
    /// The class's weight.
    pub weight: u32,
    /// When it came.
    pub arrived_us: TimeUs,
    /// When its caller gives up.
    pub deadline_us: TimeUs,
    /// The wait after which it counts as of the first rank.
    pub max_wait_us: SpanUs,
    /// What its program has been served so far.
    pub attained_tokens: Tokens,
    /// The cache memory that it will fill: prompt and output.
    pub memory_tokens: Tokens,
    /// The part of its prompt that is not cached.
    pub prefill_tokens: Tokens,
}

/// A call that was shed for a better one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Shed {
    /// Its attempt.
    pub attempt: AttemptId,
    /// Its answer: it has not run, and its caller learns when to come back.
    pub error: CallError,
}

/// The place of a call among those that wait; the smallest goes first.
type Turn = (u32, u64, Reverse<u32>, TimeUs, AttemptId);

#[derive(Debug, Clone)]
struct Waiting {
    call: QueuedCall,
    turn: Turn,
}

#[derive(Debug, Clone)]
struct Running {
    category: Option<CategoryName>,
    memory_tokens: Tokens,
    prefill_tokens: Tokens,
}

/// The gate's state.
#[derive(Debug, Clone, Default)]
pub struct AdmissionQueue {
    settings: AdmissionSettings,
    waiting: BTreeMap<AttemptId, Waiting>,
    queues: BTreeMap<Option<CategoryName>, BTreeSet<Turn>>,
    ageing: BTreeSet<(TimeUs, AttemptId)>,
    deadlines: BTreeSet<(TimeUs, AttemptId)>,
    waiting_tokens: Tokens,
    running: BTreeMap<AttemptId, Running>,
    used_tokens: Tokens,
    prefill_tokens: Tokens,
    lanes: BTreeMap<u32, Lane>,
}

/// How fast the calls of one rank get through, higher ranks going before them.
#[derive(Debug, Clone, Copy, Default)]
struct Lane {
    waiting: u32,
    last_admitted_us: Option<TimeUs>,
    /// The usual time between two admissions while calls of the rank wait.
    pace_us: SpanUs,
}

impl Lane {
    /// The time that `count` calls of the rank will probably take to start.
    fn time_of(&self, count: u32) -> SpanUs {
        SpanUs(u64::from(count).saturating_mul(self.pace_us.0))
    }

    fn on_admitted(&mut self, now: TimeUs) {
        if let Some(last_us) = self.last_admitted_us.replace(now) {
            let gap = now.since(last_us).0;
            self.pace_us = SpanUs((self.pace_us.0 * (PACE_WEIGHT - 1) + gap) / PACE_WEIGHT);
        }
    }
}

/// The share of one observation in the usual time between admissions: one in so many.
const PACE_WEIGHT: u64 = 8;
/// The shortest and the longest time after which a refused caller is asked to come back.
const COME_BACK: (SpanUs, SpanUs) = (SpanUs::from_s(1), SpanUs::from_s(60));

impl AdmissionQueue {
    /// An empty gate.
    #[must_use]
    pub fn new(settings: AdmissionSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Takes new settings; what runs goes on.
    pub fn set(&mut self, settings: AdmissionSettings) {
        self.settings = settings;
    }

    /// The count of calls that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// The prompt tokens that the waiting calls have to prefill.
    #[must_use]
    pub const fn waiting_tokens(&self) -> Tokens {
        self.waiting_tokens
    }

    /// The count of calls that run.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// When a caller that is refused now should come back: the time that half of the calls of its
    /// rank will probably take to start.
    fn come_back(&self, rank: u32) -> SpanUs {
        let (least, most) = COME_BACK;
        let lane = self.lanes.get(&rank).copied().unwrap_or_default();
        lane.time_of(lane.waiting / 2).clamp(least, most)
    }

    /// Takes a call, or refuses one before any work. When too many wait, the one that would go last
    /// is shed: the returned call, if it is another than this one.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Overloaded`] with the time to come back, when the call itself would go last.
    pub fn push(&mut self, call: QueuedCall) -> Result<Option<Shed>, CallError> {
        let turn = turn(&call);
        let mut shed = None;
        if self.waiting.len() >= self.settings.max_waiting as usize {
            let last = self
                .queues
                .values()
                .filter_map(BTreeSet::last)
                .max()
                .copied();
            match last {
                // Only a better rank pushes another call out, or two programs would shed in turns.
                Some(last) if turn.0 < last.0 => {
                    self.take_waiting(last.4);
                    shed = Some(Shed {
                        attempt: last.4,
                        error: self.overloaded(last.0),
                    });
                }
                _ => return Err(self.overloaded(call.rank)),
            }
        }
        self.waiting_tokens += call.prefill_tokens;
        self.lanes.entry(call.rank).or_default().waiting += 1;
        self.ageing
            .insert((call.arrived_us.after(call.max_wait_us), call.attempt));
        self.deadlines.insert((call.deadline_us, call.attempt));
        self.queues
            .entry(call.category.clone())
            .or_default()
            .insert(turn);
        self.waiting.insert(call.attempt, Waiting { call, turn });
        Ok(shed)
    }

    /// The answer to a call that is shed: it has not run, and its caller learns when to come back.
    fn overloaded(&self, rank: u32) -> CallError {
        let error = CallError::new(ErrorKind::Overloaded, "too many calls wait at the gate");
        error.retry_after(self.come_back(rank))
    }

    /// Takes out the calls that may start now, first to last.
    pub fn admit(&mut self, now: TimeUs) -> Vec<AttemptId> {
        self.promote(now);
        let mut admitted = Vec::new();
        while self.running.len() < self.settings.max_running as usize {
            let Some(first) = self.first() else { break };
            if !self.fits(&self.waiting[&first].call) {
                break;
            }
            let Some(call) = self.take_waiting(first) else {
                break;
            };
            self.start(now, &call);
            admitted.push(first);
        }
        admitted
    }

    /// Moves calls that waited long to the first rank, so that nothing starves.
    fn promote(&mut self, now: TimeUs) {
        while let Some((due_us, attempt)) = self.ageing.first().copied() {
            if due_us > now {
                return;
            }
            self.ageing.remove(&(due_us, attempt));
            let Some(waiting) = self.waiting.get_mut(&attempt) else {
                continue;
            };
            let queue = self
                .queues
                .entry(waiting.call.category.clone())
                .or_default();
            queue.remove(&waiting.turn);
            // Among the promoted the first come goes first, whatever its program was served.
            waiting.turn = (0, 0, Reverse(u32::MAX), waiting.call.arrived_us, attempt);
            queue.insert(waiting.turn);
        }
    }

    /// The call that goes next, among the categories below their limit.
    fn first(&self) -> Option<AttemptId> {
        let heads = self.queues.iter().filter_map(|(category, queue)| {
            let turn = queue.first()?;
            let running = self.running_of(category.as_ref());
            let rules = category
                .as_ref()
                .and_then(|name| self.settings.categories.get(name));
            let slots = u64::from(self.settings.max_running);
            let limit = rules.and_then(|rules| rules.limit);
            // A limit below one slot would stop its category for good.
            if limit.is_some_and(|limit| running >= limit.of(slots).max(1)) {
                return None;
            }
            let is_below_share = rules.is_some_and(|rules| running < rules.share.of(slots));
            Some((!is_below_share, *turn))
        });
        heads.min().map(|(_, turn)| turn.4)
    }

    fn running_of(&self, category: Option<&CategoryName>) -> u64 {
        if category.is_none() {
            return 0;
        }
        let same = self
            .running
            .values()
            .filter(|running| running.category.as_ref() == category);
        same.count() as u64
    }

    fn fits(&self, call: &QueuedCall) -> bool {
        // A call larger than the whole memory must be able to start alone, or it waits for ever.
        if self.running.is_empty() {
            return true;
        }
        let memory = self.used_tokens + call.memory_tokens;
        let prefill = self.prefill_tokens + call.prefill_tokens;
        let is_over = |bound: Option<Tokens>, wanted: Tokens| bound.is_some_and(|b| wanted > b);
        let fits_memory = !is_over(self.settings.cache_size_tokens, memory);
        let fits_prefill =
            self.prefill_tokens.0 == 0 || !is_over(self.settings.max_prefill_tokens, prefill);
        fits_memory && fits_prefill
    }

    fn start(&mut self, now: TimeUs, call: &QueuedCall) {
        let lane = self.lanes.entry(call.rank).or_default();
        lane.on_admitted(now);
        // The time until the next call comes says nothing of the pace.
        if lane.waiting == 0 {
            lane.last_admitted_us = None;
        }
        self.used_tokens += call.memory_tokens;
        self.prefill_tokens += call.prefill_tokens;
        let running = Running {
            category: call.category.clone(),
            memory_tokens: call.memory_tokens,
            prefill_tokens: call.prefill_tokens,
        };
        self.running.insert(call.attempt, running);
    }

    /// A running call has sent its first text: its prompt is in.
    pub fn on_first_text(&mut self, attempt: AttemptId) {
        if let Some(running) = self.running.get_mut(&attempt) {
            let prefill = std::mem::take(&mut running.prefill_tokens);
            self.prefill_tokens = self.prefill_tokens.saturating_sub(prefill);
        }
    }

    /// Takes out the waiting calls whose deadline has passed.
    pub fn expired(&mut self, now: TimeUs) -> Vec<AttemptId> {
        let late = self
            .deadlines
            .iter()
            .take_while(|(deadline_us, _)| *deadline_us <= now);
        let late: Vec<AttemptId> = late.map(|(_, attempt)| *attempt).collect();
        for attempt in &late {
            self.take_waiting(*attempt);
        }
        late
    }

    /// Forgets all calls: the backend server has failed with all that it had.
    pub fn clear(&mut self) {
        let settings = std::mem::take(&mut self.settings);
        *self = Self::new(settings);
    }

    /// A running call has ended, or a waiting one was taken back.
    pub fn remove(&mut self, attempt: AttemptId) {
        self.take_waiting(attempt);
        if let Some(running) = self.running.remove(&attempt) {
            self.used_tokens = self.used_tokens.saturating_sub(running.memory_tokens);
            self.prefill_tokens = self.prefill_tokens.saturating_sub(running.prefill_tokens);
        }
    }

    fn take_waiting(&mut self, attempt: AttemptId) -> Option<QueuedCall> {
        let Waiting { call, turn } = self.waiting.remove(&attempt)?;
        if let Some(queue) = self.queues.get_mut(&call.category) {
            queue.remove(&turn);
            if queue.is_empty() {
                self.queues.remove(&call.category);
            }
        }
        self.ageing
            .remove(&(call.arrived_us.after(call.max_wait_us), attempt));
        self.deadlines.remove(&(call.deadline_us, attempt));
        self.waiting_tokens = self.waiting_tokens.saturating_sub(call.prefill_tokens);
        if let Some(lane) = self.lanes.get_mut(&call.rank) {
            lane.waiting = lane.waiting.saturating_sub(1);
        }
        Some(call)
    }
}

/// The order of calls: rank, then least served program by weight, then arrival.
fn turn(call: &QueuedCall) -> Turn {
    let served = call.attained_tokens.0 / u64::from(call.weight.max(1));
    (
        call.rank,
        served,
        Reverse(call.weight),
        call.arrived_us,
        call.attempt,
    )
}

#[cfg(test)]
mod tests {
    use super::*;

    fn call(attempt: u128, rank: u32, attained: u64) -> QueuedCall {
        QueuedCall {
            attempt: AttemptId(attempt),
            program: "p".parse().expect("a name"),
            class: "c".parse().expect("a name"),
            category: None,
            rank,
            weight: 1,
            arrived_us: TimeUs(0),
            deadline_us: TimeUs(1_000_000),
            max_wait_us: SpanUs(500_000),
            attained_tokens: Tokens(attained),
            memory_tokens: Tokens(10),
            prefill_tokens: Tokens(10),
        }
    }

    fn one_at_a_time() -> AdmissionQueue {
        AdmissionQueue::new(AdmissionSettings {
            max_running: 1,
            ..Default::default()
        })
    }

    #[test]
    fn rank_goes_before_service_and_service_before_arrival() {
        let mut gate = one_at_a_time();
        for call in [call(1, 2, 0), call(2, 1, 900), call(3, 1, 10)] {
            gate.push(call).expect("room");
        }
        let mut order = Vec::new();
        while let [attempt] = gate.admit(TimeUs(1))[..] {
            gate.remove(attempt);
            order.push(attempt.0);
        }
        assert_eq!(order, [3, 2, 1]);
    }

    #[test]
    fn a_call_that_waited_long_counts_as_of_the_first_rank() {
        let mut gate = one_at_a_time();
        gate.push(call(1, 9, 0)).expect("room");
        gate.push(QueuedCall {
            arrived_us: TimeUs(500_000),
            ..call(2, 1, 0)
        })
        .expect("room");
        assert_eq!(gate.admit(TimeUs(500_001)), [AttemptId(1)]);
    }

    #[test]
    fn memory_bounds_what_runs_but_never_blocks_a_lone_call() {
        let settings = AdmissionSettings {
            cache_size_tokens: Some(Tokens(15)),
            ..AdmissionSettings::default()
        };
        let mut gate = AdmissionQueue::new(settings);
        gate.push(QueuedCall {
            memory_tokens: Tokens(99),
            ..call(1, 1, 0)
        })
        .expect("room");
        gate.push(call(2, 2, 0)).expect("room");
        assert_eq!(gate.admit(TimeUs(0)), [AttemptId(1)]);
        gate.remove(AttemptId(1));
        assert_eq!(gate.admit(TimeUs(0)), [AttemptId(2)]);
    }

    #[test]
    fn a_full_queue_refuses_before_any_work() {
        let mut gate = AdmissionQueue::new(AdmissionSettings {
            max_waiting: 0,
            ..Default::default()
        });
        let refused = gate.push(call(1, 1, 0)).expect_err("full");
        assert_eq!(refused.kind, ErrorKind::Overloaded);
    }

    #[test]
    fn a_full_queue_sheds_the_lowest_class_for_a_higher_one() {
        let mut gate = AdmissionQueue::new(AdmissionSettings {
            max_running: 0,
            max_waiting: 2,
            ..Default::default()
        });
        gate.push(call(1, 1, 0)).expect("room");
        gate.push(call(2, 5, 0)).expect("room");
        let shed = gate
            .push(call(3, 0, 0))
            .expect("room")
            .expect("one is shed");
        assert_eq!(shed.attempt, AttemptId(2));
        let refused = gate.push(call(4, 1, 0)).expect_err("as low as the last");
        assert!(refused.retry_after_us.is_some());
    }

    #[test]
    fn a_category_gets_its_share_and_stays_below_its_limit() {
        let rules = |share: u8, limit: Option<u8>| CategoryRules {
            share: crate::units::Percent::new(share).expect("a share"),
            limit: limit.and_then(crate::units::Percent::new),
        };
        let name = |text: &str| -> CategoryName { text.parse().expect("a name") };
        let mut gate = AdmissionQueue::new(AdmissionSettings {
            max_running: 4,
            categories: [
                (name("few"), rules(25, None)),
                (name("many"), rules(0, Some(50))),
            ]
            .into(),
            ..Default::default()
        });
        for n in 1..=4 {
            let many = Some(name("many"));
            gate.push(QueuedCall {
                category: many,
                ..call(n, 0, 0)
            })
            .expect("room");
        }
        let few = Some(name("few"));
        gate.push(QueuedCall {
            category: few,
            ..call(9, 9, 0)
        })
        .expect("room");
        assert_eq!(gate.admit(TimeUs(0)), [9, 1, 2].map(AttemptId));
    }

    #[test]
    fn a_long_prefill_holds_the_next_one_back_until_its_first_text() {
        let mut gate = AdmissionQueue::new(AdmissionSettings {
            max_prefill_tokens: Some(Tokens(15)),
            ..Default::default()
        });
        gate.push(call(1, 1, 0)).expect("room");
        gate.push(call(2, 1, 0)).expect("room");
        assert_eq!(gate.admit(TimeUs(0)), [AttemptId(1)]);
        gate.on_first_text(AttemptId(1));
        assert_eq!(gate.admit(TimeUs(0)), [AttemptId(2)]);
    }
}
