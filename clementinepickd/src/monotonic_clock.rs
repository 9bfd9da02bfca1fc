//! The time since a moment, as the decisions take it.

use std::time::Instant;

use clementinepick::units::TimeUs;

/// Turns instants into the microseconds that have passed since this was made.
#[derive(Debug, Clone, Copy)]
pub(crate) struct MonotonicClock {
    started: Instant,
}

impl MonotonicClock {
    /// A clock that starts at `started`.
    pub(crate) const fn starting_at(started: Instant) -> Self {
        Self { started }
    }

    /// The time at an instant; zero for instants before the start.
    pub(crate) fn at(&self, now: Instant) -> TimeUs {
        let since = now.saturating_duration_since(self.started);
        TimeUs(u64::try_from(since.as_micros()).unwrap_or(u64::MAX))
    }
}
