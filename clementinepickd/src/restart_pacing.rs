//! Decides how long a task that ended unexpectedly pauses before its work is started again.

use std::time::{Duration, Instant};

/// The pause after the first end; it doubles with each further one.
const MIN_PAUSE: Duration = Duration::from_millis(10);
/// The maximum pause.
const MAX_PAUSE: Duration = Duration::from_secs(5);
/// How long a task runs until its earlier ends no longer count.
const STABLE_TIME: Duration = Duration::from_secs(5);
/// The number of ends in a row after which a task counts as failing.
const FAILING_ENDS: u32 = 4;

/// The unexpected ends of a task.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct RestartPacing {
    /// Those that were not followed by [`STABLE_TIME`].
    ends: u32,
    restarted_at: Option<Instant>,
}

impl RestartPacing {
    /// Records an end and returns the pause until the work is started again.
    pub(crate) fn record_end(&mut self, now: Instant) -> Duration {
        self.ends = if self.is_unstable(now) {
            self.ends.saturating_add(1)
        } else {
            1
        };
        let factor = 1_u32.checked_shl(self.ends - 1).unwrap_or(u32::MAX);
        let pause = MIN_PAUSE.saturating_mul(factor).min(MAX_PAUSE);
        self.restarted_at = Some(now + pause);
        pause
    }

    /// Returns whether the task has ended several times in a row and has not run for long since.
    pub(crate) fn is_failing(&self, now: Instant) -> bool {
        self.ends >= FAILING_ENDS && self.is_unstable(now)
    }

    fn is_unstable(&self, now: Instant) -> bool {
        let ran = |at| now.saturating_duration_since(at);
        self.restarted_at.is_some_and(|at| ran(at) < STABLE_TIME)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a task that panics in a loop and takes the processor from those that serve.
    #[test]
    fn pauses_double_up_to_a_limit() {
        let mut pacing = RestartPacing::default();
        let mut now = Instant::now();
        let mut pauses = Vec::new();
        for _ in 0..40 {
            let pause = pacing.record_end(now);
            now += pause;
            pauses.push(pause);
        }
        let doubles = |pair: &[Duration]| pair[1] == (pair[0] * 2).min(MAX_PAUSE);
        assert_eq!(pauses[0], MIN_PAUSE);
        assert!(pauses.windows(2).all(doubles), "{pauses:?}");
        assert_eq!(pauses.last(), Some(&MAX_PAUSE));
    }

    #[test]
    fn a_task_that_has_run_for_long_starts_again_at_once() {
        let mut pacing = RestartPacing::default();
        let mut now = Instant::now();
        for _ in 0..FAILING_ENDS {
            now += pacing.record_end(now);
        }
        assert!(pacing.is_failing(now));
        now += STABLE_TIME;
        assert!(!pacing.is_failing(now));
        assert_eq!(pacing.record_end(now), MIN_PAUSE);
        assert!(!pacing.is_failing(now));
    }
}
