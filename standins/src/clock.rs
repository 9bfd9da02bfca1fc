//! Provides the monotonic clock of the HTTP stand-ins, measured from their start.

use std::time::Instant;

use clementinepick::units::TimeUs;

/// A monotonic clock that starts at zero.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts a clock at zero.
    #[must_use]
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Returns the time since the start.
    #[must_use]
    pub fn now(&self) -> TimeUs {
        TimeUs(u64::try_from(self.start.elapsed().as_micros()).unwrap_or(u64::MAX))
    }

    /// Converts a time of this clock to an [`Instant`].
    #[must_use]
    pub fn instant(&self, at: TimeUs) -> Instant {
        self.start + std::time::Duration::from_micros(at.0)
    }
}
