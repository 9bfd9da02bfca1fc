//! The gate before a backend server: it admits only what fits, and decides who goes first.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use crate::error::{CallError, ErrorKind};
use crate::ids::{AttemptId, ClassName, ProgramId};
use crate::units::{SpanUs, TimeUs, Tokens};

/// What fits, and how many may wait.
#[derive(Debug, Clone)]
pub struct GateSettings {
    /// The most calls that run at once.
    pub max_running: u32,
    /// The most calls that wait.
    pub max_waiting: u32,
    /// The cache memory that running calls may fill; absent for plain services.
    pub cache_size_tokens: Option<Tokens>,
}

impl Default for GateSettings {
    fn default() -> Self {
        Self {
            max_running: 32,
            max_waiting: 1_000,
            cache_size_tokens: None,
        }
    }
}

/// A call at the gate.
#[derive(Debug, Clone)]
pub struct GateCall {
    /// The attempt.
    pub attempt: AttemptId,
    /// The program.
    pub program: ProgramId,
    /// The class.
    pub class: ClassName,
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
}

/// The gate's state.
#[derive(Debug, Clone, Default)]
pub struct Gate {
    settings: GateSettings,
    waiting: Vec<GateCall>,
    running: BTreeMap<AttemptId, Tokens>,
}

impl Gate {
    /// An empty gate.
    #[must_use]
    pub fn new(settings: GateSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Takes new settings; what runs goes on.
    pub fn set(&mut self, settings: GateSettings) {
        self.settings = settings;
    }

    /// The count of calls that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// The memory that the waiting calls will fill.
    #[must_use]
    pub fn waiting_tokens(&self) -> Tokens {
        self.waiting.iter().map(|call| call.memory_tokens).sum()
    }

    /// The count of calls that run.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Takes a call, or refuses it before any work.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Overloaded`] when too many wait.
    pub fn push(&mut self, call: GateCall) -> Result<(), CallError> {
        if self.waiting.len() >= self.settings.max_waiting as usize {
            return Err(CallError::new(
                ErrorKind::Overloaded,
                "too many calls wait at the gate",
            ));
        }
        self.waiting.push(call);
        Ok(())
    }

    /// Takes out the calls that may start now, first to last.
    pub fn admit(&mut self, now: TimeUs) -> Vec<AttemptId> {
        let mut admitted = Vec::new();
        while self.running.len() < self.settings.max_running as usize {
            let first = self
                .waiting
                .iter()
                .enumerate()
                .min_by_key(|(_, call)| turn(now, call));
            let Some((at, call)) = first else { break };
            if !self.fits(call.memory_tokens) {
                break;
            }
            let call = self.waiting.swap_remove(at);
            self.running.insert(call.attempt, call.memory_tokens);
            admitted.push(call.attempt);
        }
        admitted
    }

    fn fits(&self, memory_tokens: Tokens) -> bool {
        let Some(size) = self.settings.cache_size_tokens else {
            return true;
        };
        let used: Tokens = self.running.values().copied().sum();
        // A call larger than the whole memory must be able to start alone, or it waits for ever.
        self.running.is_empty() || used + memory_tokens <= size
    }

    /// Takes out the waiting calls whose deadline has passed.
    pub fn expired(&mut self, now: TimeUs) -> Vec<AttemptId> {
        let late = |call: &GateCall| call.deadline_us <= now;
        let expired = self
            .waiting
            .iter()
            .filter(|call| late(call))
            .map(|c| c.attempt)
            .collect();
        self.waiting.retain(|call| !late(call));
        expired
    }

    /// Forgets all calls: the backend server has failed with all that it had.
    pub fn clear(&mut self) {
        self.waiting.clear();
        self.running.clear();
    }

    /// A running call has ended, or a waiting one was taken back.
    pub fn remove(&mut self, attempt: AttemptId) {
        self.running.remove(&attempt);
        self.waiting.retain(|call| call.attempt != attempt);
    }
}

/// The order of calls: rank, then least served program by weight, then arrival.
fn turn(now: TimeUs, call: &GateCall) -> (u32, u64, Reverse<u32>, TimeUs, AttemptId) {
    let waited = now.since(call.arrived_us);
    let rank = if waited >= call.max_wait_us {
        0
    } else {
        call.rank
    };
    let served = call.attained_tokens.0 / u64::from(call.weight.max(1));
    (
        rank,
        served,
        Reverse(call.weight),
        call.arrived_us,
        call.attempt,
    )
}

#[cfg(test)]
mod tests {
    use super::*;

    fn call(attempt: u128, rank: u32, attained: u64) -> GateCall {
        GateCall {
            attempt: AttemptId(attempt),
            program: "p".parse().expect("a name"),
            class: "c".parse().expect("a name"),
            rank,
            weight: 1,
            arrived_us: TimeUs(0),
            deadline_us: TimeUs(1_000_000),
            max_wait_us: SpanUs(500_000),
            attained_tokens: Tokens(attained),
            memory_tokens: Tokens(10),
        }
    }

    fn one_at_a_time() -> Gate {
        Gate::new(GateSettings {
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
        gate.push(GateCall {
            arrived_us: TimeUs(500_000),
            ..call(2, 1, 0)
        })
        .expect("room");
        assert_eq!(gate.admit(TimeUs(500_001)), [AttemptId(1)]);
    }

    #[test]
    fn memory_bounds_what_runs_but_never_blocks_a_lone_call() {
        let settings = GateSettings {
            cache_size_tokens: Some(Tokens(15)),
            ..GateSettings::default()
        };
        let mut gate = Gate::new(settings);
        gate.push(GateCall {
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
        let mut gate = Gate::new(GateSettings {
            max_waiting: 0,
            ..Default::default()
        });
        let refused = gate.push(call(1, 1, 0)).expect_err("full");
        assert_eq!(refused.kind, ErrorKind::Overloaded);
    }
}
