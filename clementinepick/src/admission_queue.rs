//! Queues calls in front of a backend server and admits them by priority while they fit.
//!
//! A backend server runs requests in order of arrival, so an urgent call would wait behind all
//! earlier ones. This queue orders calls by: categories below their share, rank, least service
//! attained by the program relative to its weight, arrival. Admission takes logarithmic time in the
//! number of waiting calls.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use crate::error::{CallError, ErrorKind};
use crate::ids::{AttemptId, CategoryName, ClassName, ProgramId};
use crate::rules::CategoryRules;
use crate::units::{SpanUs, TimeUs, Tokens};

/// Limits on the calls that run and wait, and the rules of the categories.
#[derive(Debug, Clone)]
pub struct AdmissionSettings {
    /// Maximum number of running calls.
    pub max_running: u32,
    /// Maximum number of waiting calls.
    pub max_waiting: u32,
    /// Cache capacity available to running calls; absent for plain services.
    pub cache_size_tokens: Option<Tokens>,
    /// Maximum number of prompt tokens in prefill at once; absent: unlimited. An engine prefills in
    /// order of arrival, so calls admitted early delay an urgent call that arrives later.
    pub max_prefill_tokens: Option<Tokens>,
    /// Share and limit of each category.
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

/// A call that waits for admission.
#[derive(Debug, Clone)]
pub struct QueuedCall {
    /// Identifies the attempt.
    pub attempt: AttemptId,
    /// Program that the call belongs to.
    pub program: ProgramId,
    /// Class of the call.
    pub class: ClassName,
    /// Category whose share and limit apply.
    pub category: Option<CategoryName>,
    /// Rank of the class; lower ranks go first.
    pub rank: u32,
    /// Weight of the class.
    pub weight: u32,
    /// Arrival time at the queue.
    pub arrived_us: TimeUs,
    /// Deadline of the call.
    pub deadline_us: TimeUs,
    /// Wait after which the call is promoted to the first rank.
    pub max_wait_us: SpanUs,
    /// Service that the program has attained so far.
    pub attained_tokens: Tokens,
    /// Cache that the call is expected to fill with prompt and output.
    pub memory_tokens: Tokens,
    /// Prompt tokens that are not cached.
    pub prefill_tokens: Tokens,
}

/// A call that was evicted from a full queue by one of a better rank.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShedCall {
    /// Identifies the evicted attempt.
    pub attempt: AttemptId,
    /// Error for its caller: the call has not run, and may be retried after the given delay.
    pub error: CallError,
}

/// Sort key of a waiting call; the smallest is admitted first.
type QueueKey = (u32, u64, Reverse<u32>, TimeUs, AttemptId);

#[derive(Debug, Clone)]
struct WaitingCall {
    call: QueuedCall,
    key: QueueKey,
}

#[derive(Debug, Clone)]
struct RunningCall {
    category: Option<CategoryName>,
    memory_tokens: Tokens,
    prefill_tokens: Tokens,
}

/// Waiting and running calls of one backend server.
#[derive(Debug, Clone, Default)]
pub struct AdmissionQueue {
    settings: AdmissionSettings,
    waiting: BTreeMap<AttemptId, WaitingCall>,
    queues: BTreeMap<Option<CategoryName>, BTreeSet<QueueKey>>,
    ageing: BTreeSet<(TimeUs, AttemptId)>,
    deadlines: BTreeSet<(TimeUs, AttemptId)>,
    waiting_tokens: Tokens,
    running: BTreeMap<AttemptId, RunningCall>,
    used_tokens: Tokens,
    prefill_tokens: Tokens,
    rank_stats: BTreeMap<u32, RankStats>,
}

/// Admission rate of one rank, which includes the time spent on better ranks.
#[derive(Debug, Clone, Copy, Default)]
struct RankStats {
    waiting: u32,
    last_admitted_us: Option<TimeUs>,
    /// Moving average of the time between two admissions while calls of the rank wait.
    mean_interval_us: SpanUs,
}

impl RankStats {
    /// Estimates the time until `count` calls of the rank have been admitted.
    fn estimate_wait(&self, count: u32) -> SpanUs {
        SpanUs(u64::from(count).saturating_mul(self.mean_interval_us.0))
    }

    fn on_admitted(&mut self, now: TimeUs) {
        if let Some(last_us) = self.last_admitted_us.replace(now) {
            let gap = now.since(last_us).0;
            self.mean_interval_us = SpanUs(
                (self.mean_interval_us.0 * (INTERVAL_SMOOTHING - 1) + gap) / INTERVAL_SMOOTHING,
            );
        }
    }
}

/// Reciprocal of the weight of a new sample in the moving average of the admission interval.
const INTERVAL_SMOOTHING: u64 = 8;
/// Bounds of the retry delay given to a refused caller.
const RETRY_DELAY_RANGE: (SpanUs, SpanUs) = (SpanUs::from_s(1), SpanUs::from_s(60));

impl AdmissionQueue {
    /// Creates an empty queue.
    #[must_use]
    pub fn new(settings: AdmissionSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Replaces the settings; running calls are not affected.
    pub fn update_settings(&mut self, settings: AdmissionSettings) {
        self.settings = settings;
    }

    /// Returns the number of waiting calls.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the prompt tokens that the waiting calls have to prefill.
    #[must_use]
    pub const fn waiting_tokens(&self) -> Tokens {
        self.waiting_tokens
    }

    /// Returns the number of running calls.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the retry delay for a refused caller: the estimated time to admit half of the
    /// waiting calls of its rank, within [`RETRY_DELAY_RANGE`].
    fn retry_delay(&self, rank: u32) -> SpanUs {
        let (shortest, longest) = RETRY_DELAY_RANGE;
        let stats = self.rank_stats.get(&rank).copied().unwrap_or_default();
        stats
            .estimate_wait(stats.waiting / 2)
            .clamp(shortest, longest)
    }

    /// Queues a call. If the queue is full and the call has a better rank than the last one in the
    /// queue, evicts that one and returns it.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Overloaded`] with a retry delay, if the queue is full and the call does not
    /// have a better rank.
    pub fn push(&mut self, call: QueuedCall) -> Result<Option<ShedCall>, CallError> {
        let key = queue_key(&call);
        let mut shed = None;
        if self.waiting.len() >= self.settings.max_waiting as usize {
            let last = self
                .queues
                .values()
                .filter_map(BTreeSet::last)
                .max()
                .copied();
            match last {
                // Evicting within a rank would let two programs evict each other's calls forever.
                Some(last) if key.0 < last.0 => {
                    self.take_waiting(last.4);
                    shed = Some(ShedCall {
                        attempt: last.4,
                        error: self.overloaded_error(last.0),
                    });
                }
                _ => return Err(self.overloaded_error(call.rank)),
            }
        }
        self.waiting_tokens += call.prefill_tokens;
        self.rank_stats.entry(call.rank).or_default().waiting += 1;
        self.ageing
            .insert((call.arrived_us.after(call.max_wait_us), call.attempt));
        self.deadlines.insert((call.deadline_us, call.attempt));
        self.queues
            .entry(call.category.clone())
            .or_default()
            .insert(key);
        self.waiting.insert(call.attempt, WaitingCall { call, key });
        Ok(shed)
    }

    /// Returns the error for a refused or evicted call, with the retry delay for its rank.
    fn overloaded_error(&self, rank: u32) -> CallError {
        let error = CallError::new(ErrorKind::Overloaded, "admission queue is full");
        error.retry_after(self.retry_delay(rank))
    }

    /// Removes the calls that may start now from the queue and returns them in order.
    pub fn admit(&mut self, now: TimeUs) -> Vec<AttemptId> {
        self.promote(now);
        let mut admitted = Vec::new();
        while self.running.len() < self.settings.max_running as usize {
            let Some(next) = self.next_call() else { break };
            if !self.fits(&self.waiting[&next].call) {
                break;
            }
            let Some(call) = self.take_waiting(next) else {
                break;
            };
            self.mark_running(now, &call);
            admitted.push(next);
        }
        admitted
    }

    /// Promotes calls that waited for `max_wait_us` to the first rank, which prevents starvation.
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
            queue.remove(&waiting.key);
            // Promoted calls are ordered by arrival only, regardless of attained service.
            waiting.key = (0, 0, Reverse(u32::MAX), waiting.call.arrived_us, attempt);
            queue.insert(waiting.key);
        }
    }

    /// Returns the next call among the categories below their limit.
    fn next_call(&self) -> Option<AttemptId> {
        let heads = self.queues.iter().filter_map(|(category, queue)| {
            let key = queue.first()?;
            let running = self.running_in(category.as_ref());
            let rules = category
                .as_ref()
                .and_then(|name| self.settings.categories.get(name));
            let slots = u64::from(self.settings.max_running);
            let limit = rules.and_then(|rules| rules.limit);
            // A limit below one slot would block the category permanently.
            if limit.is_some_and(|limit| running >= limit.of(slots).max(1)) {
                return None;
            }
            let is_below_share = rules.is_some_and(|rules| running < rules.share.of(slots));
            Some((!is_below_share, *key))
        });
        heads.min().map(|(_, key)| key.4)
    }

    fn running_in(&self, category: Option<&CategoryName>) -> u64 {
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
        // A call larger than the whole cache must be able to start alone, or it would never start.
        if self.running.is_empty() {
            return true;
        }
        let memory = self.used_tokens + call.memory_tokens;
        let prefill = self.prefill_tokens + call.prefill_tokens;
        let exceeds = |bound: Option<Tokens>, wanted: Tokens| bound.is_some_and(|b| wanted > b);
        let fits_memory = !exceeds(self.settings.cache_size_tokens, memory);
        let fits_prefill =
            self.prefill_tokens.0 == 0 || !exceeds(self.settings.max_prefill_tokens, prefill);
        fits_memory && fits_prefill
    }

    fn mark_running(&mut self, now: TimeUs, call: &QueuedCall) {
        let stats = self.rank_stats.entry(call.rank).or_default();
        stats.on_admitted(now);
        // Once no call of the rank waits, the time to the next admission depends on arrivals.
        if stats.waiting == 0 {
            stats.last_admitted_us = None;
        }
        self.used_tokens += call.memory_tokens;
        self.prefill_tokens += call.prefill_tokens;
        let running = RunningCall {
            category: call.category.clone(),
            memory_tokens: call.memory_tokens,
            prefill_tokens: call.prefill_tokens,
        };
        self.running.insert(call.attempt, running);
    }

    /// Records that a running call has produced output, so its prefill is finished.
    pub fn on_first_text(&mut self, attempt: AttemptId) {
        if let Some(running) = self.running.get_mut(&attempt) {
            let prefill = std::mem::take(&mut running.prefill_tokens);
            self.prefill_tokens = self.prefill_tokens.saturating_sub(prefill);
        }
    }

    /// Removes and returns the waiting calls whose deadline has passed.
    pub fn take_expired(&mut self, now: TimeUs) -> Vec<AttemptId> {
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

    /// Removes all calls, after the backend server failed and lost them.
    pub fn clear(&mut self) {
        let settings = std::mem::take(&mut self.settings);
        *self = Self::new(settings);
    }

    /// Removes a call that has ended or was withdrawn.
    pub fn remove(&mut self, attempt: AttemptId) {
        self.take_waiting(attempt);
        if let Some(running) = self.running.remove(&attempt) {
            self.used_tokens = self.used_tokens.saturating_sub(running.memory_tokens);
            self.prefill_tokens = self.prefill_tokens.saturating_sub(running.prefill_tokens);
        }
    }

    fn take_waiting(&mut self, attempt: AttemptId) -> Option<QueuedCall> {
        let WaitingCall { call, key } = self.waiting.remove(&attempt)?;
        if let Some(queue) = self.queues.get_mut(&call.category) {
            queue.remove(&key);
            if queue.is_empty() {
                self.queues.remove(&call.category);
            }
        }
        self.ageing
            .remove(&(call.arrived_us.after(call.max_wait_us), attempt));
        self.deadlines.remove(&(call.deadline_us, attempt));
        self.waiting_tokens = self.waiting_tokens.saturating_sub(call.prefill_tokens);
        if let Some(stats) = self.rank_stats.get_mut(&call.rank) {
            stats.waiting = stats.waiting.saturating_sub(1);
        }
        Some(call)
    }
}

/// Returns the sort key: rank, attained service divided by weight, weight, arrival.
fn queue_key(call: &QueuedCall) -> QueueKey {
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
            program: "p".parse().expect("valid name"),
            class: "c".parse().expect("valid name"),
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

    fn queue_with_one_slot() -> AdmissionQueue {
        AdmissionQueue::new(AdmissionSettings {
            max_running: 1,
            ..Default::default()
        })
    }

    #[test]
    fn calls_are_ordered_by_rank_then_attained_service_then_arrival() {
        let mut admission = queue_with_one_slot();
        for call in [call(1, 2, 0), call(2, 1, 900), call(3, 1, 10)] {
            admission.push(call).expect("queue has room");
        }
        let mut order = Vec::new();
        while let [attempt] = admission.admit(TimeUs(1))[..] {
            admission.remove(attempt);
            order.push(attempt.0);
        }
        assert_eq!(order, [3, 2, 1]);
    }

    #[test]
    fn a_call_past_its_maximum_wait_is_promoted_to_the_first_rank() {
        let mut admission = queue_with_one_slot();
        admission.push(call(1, 9, 0)).expect("queue has room");
        admission
            .push(QueuedCall {
                arrived_us: TimeUs(500_000),
                ..call(2, 1, 0)
            })
            .expect("queue has room");
        assert_eq!(admission.admit(TimeUs(500_001)), [AttemptId(1)]);
    }

    #[test]
    fn cache_capacity_limits_running_calls_but_never_blocks_a_single_call() {
        let settings = AdmissionSettings {
            cache_size_tokens: Some(Tokens(15)),
            ..AdmissionSettings::default()
        };
        let mut admission = AdmissionQueue::new(settings);
        admission
            .push(QueuedCall {
                memory_tokens: Tokens(99),
                ..call(1, 1, 0)
            })
            .expect("queue has room");
        admission.push(call(2, 2, 0)).expect("queue has room");
        assert_eq!(admission.admit(TimeUs(0)), [AttemptId(1)]);
        admission.remove(AttemptId(1));
        assert_eq!(admission.admit(TimeUs(0)), [AttemptId(2)]);
    }

    #[test]
    fn a_full_queue_refuses_a_call_as_overloaded() {
        let mut admission = AdmissionQueue::new(AdmissionSettings {
            max_waiting: 0,
            ..Default::default()
        });
        let refused = admission.push(call(1, 1, 0)).expect_err("queue is full");
        assert_eq!(refused.kind, ErrorKind::Overloaded);
    }

    #[test]
    fn a_full_queue_evicts_its_last_call_only_for_a_better_rank() {
        let mut admission = AdmissionQueue::new(AdmissionSettings {
            max_running: 0,
            max_waiting: 2,
            ..Default::default()
        });
        admission.push(call(1, 1, 0)).expect("queue has room");
        admission.push(call(2, 5, 0)).expect("queue has room");
        let shed = admission
            .push(call(3, 0, 0))
            .expect("queue has room")
            .expect("one call is evicted");
        assert_eq!(shed.attempt, AttemptId(2));
        let refused = admission
            .push(call(4, 1, 0))
            .expect_err("rank is not better than the last");
        assert!(refused.retry_after_us.is_some());
    }

    #[test]
    fn a_category_gets_its_share_and_stays_within_its_limit() {
        let rules = |share: u8, limit: Option<u8>| CategoryRules {
            share: crate::units::Percent::new(share).expect("valid share"),
            limit: limit.and_then(crate::units::Percent::new),
        };
        let name = |text: &str| -> CategoryName { text.parse().expect("valid name") };
        let mut admission = AdmissionQueue::new(AdmissionSettings {
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
            admission
                .push(QueuedCall {
                    category: many,
                    ..call(n, 0, 0)
                })
                .expect("queue has room");
        }
        let few = Some(name("few"));
        admission
            .push(QueuedCall {
                category: few,
                ..call(9, 9, 0)
            })
            .expect("queue has room");
        assert_eq!(admission.admit(TimeUs(0)), [9, 1, 2].map(AttemptId));
    }

    #[test]
    fn a_long_prefill_delays_the_next_call_until_its_first_output() {
        let mut admission = AdmissionQueue::new(AdmissionSettings {
            max_prefill_tokens: Some(Tokens(15)),
            ..Default::default()
        });
        admission.push(call(1, 1, 0)).expect("queue has room");
        admission.push(call(2, 1, 0)).expect("queue has room");
        assert_eq!(admission.admit(TimeUs(0)), [AttemptId(1)]);
        admission.on_first_text(AttemptId(1));
        assert_eq!(admission.admit(TimeUs(0)), [AttemptId(2)]);
    }
}
