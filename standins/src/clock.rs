//! The real clock of the stand-ins behind HTTP, as time since their start.

use std::time::Instant;

use clementinepick::units::TimeUs;

/// Reads the time since it was made.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// A clock that begins at zero now.
    #[must_use]
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// The time since the start.
    #[must_use]
    pub fn now(&self) -> TimeUs {
        TimeUs(u64::try_from(self.start.elapsed().as_micros()).unwrap_or(u64::MAX))
    }

    /// The instant of a time.
    #[must_use]
    pub fn instant(&self, at: TimeUs) -> Instant {
        self.start + std::time::Duration::from_micros(at.0)
    }
}
