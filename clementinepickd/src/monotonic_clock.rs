//! Converts instants to the monotonic time that the state machines use.

use std::time::Instant;

use clementinepick::units::TimeUs;

/// A monotonic clock that counts microseconds from its start.
#[derive(Debug, Clone, Copy)]
pub(crate) struct MonotonicClock {
    started: Instant,
}

impl MonotonicClock {
    /// Creates a clock that is zero at `started`.
    pub(crate) const fn starting_at(started: Instant) -> Self {
        Self { started }
    }

    /// Returns the time at an instant; zero for instants before the start.
    pub(crate) fn at(&self, now: Instant) -> TimeUs {
        let since = now.saturating_duration_since(self.started);
        TimeUs(u64::try_from(since.as_micros()).unwrap_or(u64::MAX))
    }
}
