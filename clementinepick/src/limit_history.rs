//! Remembers the limits of callers' requests that were in force, since callers may still go by a
//! higher limit than the current one.

use std::collections::VecDeque;

use crate::traffic_config::CallerLimits;
use crate::units::TimeUs;

/// The number of changes that are remembered one by one.
const MAX_PERIODS: usize = 16;

/// The limits that were in force, with the time from which they were.
#[derive(Debug, Default)]
pub struct LimitHistory {
    periods: VecDeque<(TimeUs, CallerLimits)>,
}

impl LimitHistory {
    /// Records the limits in force at `now`.
    pub fn record(&mut self, now: TimeUs, limits: CallerLimits) {
        if self.periods.back().is_some_and(|(_, last)| *last == limits) {
            return;
        }
        self.periods.push_back((now, limits));
        if self.periods.len() > MAX_PERIODS {
            self.merge_oldest();
        }
    }

    /// Makes one period of the two oldest, with the higher of each limit.
    fn merge_oldest(&mut self) {
        let oldest = self.periods.pop_front();
        if let (Some((start, limits)), Some(next)) = (oldest, self.periods.front_mut()) {
            *next = (start, next.1.loosest(limits));
        }
    }

    /// Returns the highest of each limit that was in force at `since` or later.
    #[must_use]
    pub fn loosest_since(&self, since: TimeUs) -> CallerLimits {
        let mut loosest: Option<CallerLimits> = None;
        for (start, limits) in self.periods.iter().rev() {
            loosest = Some(loosest.map_or(*limits, |later| later.loosest(*limits)));
            if *start <= since {
                break;
            }
        }
        loosest.unwrap_or_default()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::units::SpanUs;

    fn with_idle(seconds: u64) -> CallerLimits {
        CallerLimits {
            idle_us: SpanUs::from_s(seconds),
            ..CallerLimits::default()
        }
    }

    #[test]
    fn a_limit_counts_until_it_is_no_longer_in_force() {
        let mut history = LimitHistory::default();
        for (at, seconds) in [(0, 2), (10, 20), (20, 3), (30, 3)] {
            history.record(TimeUs(at), with_idle(seconds));
        }
        for (since, seconds) in [(0, 20), (19, 20), (20, 3), (40, 3)] {
            let limits = history.loosest_since(TimeUs(since));
            assert_eq!(limits, with_idle(seconds), "since {since}");
        }
    }

    #[test]
    fn many_changes_take_bounded_memory_and_lower_no_limit() {
        let mut history = LimitHistory::default();
        history.record(TimeUs(0), with_idle(900));
        for at in 1..1_000 {
            history.record(TimeUs(at), with_idle(1 + at % 2));
        }
        assert_eq!(history.periods.len(), MAX_PERIODS);
        assert_eq!(history.loosest_since(TimeUs(0)), with_idle(900));
        assert_eq!(history.loosest_since(TimeUs(999)), with_idle(2));
    }
}
