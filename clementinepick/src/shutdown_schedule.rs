//! Decides which requests a process that shuts down still takes.
//!
//! ```
//! use clementinepick::shutdown_schedule::ShutdownSchedule;
//! use clementinepick::units::{SpanUs, TimeUs};
//!
//! let schedule = ShutdownSchedule::new(TimeUs(0), SpanUs::from_ms(2_500), SpanUs::from_ms(7_400));
//! let at = |ms| TimeUs(0).after(SpanUs::from_ms(ms));
//! assert!(schedule.takes(at(2_000), at(9_000)));
//! assert!(schedule.takes(at(3_000), at(7_000)));
//! assert!(!schedule.takes(at(3_000), at(8_000)));
//! ```

use crate::units::{SpanUs, TimeUs};

/// How long before the end the requests that still run are answered, whatever their state.
const ANSWER_TIME: SpanUs = SpanUs::from_ms(200);

/// The times of a planned shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShutdownSchedule {
    notice_end: TimeUs,
    answer_at: TimeUs,
    end: TimeUs,
}

impl ShutdownSchedule {
    /// Creates the schedule of a shutdown that begins at `started_at`, takes all requests for `notice`
    /// and ends after `limit`.
    #[must_use]
    pub fn new(started_at: TimeUs, notice: SpanUs, limit: SpanUs) -> Self {
        Self {
            notice_end: started_at.after(notice),
            answer_at: started_at.after(SpanUs(limit.0.saturating_sub(ANSWER_TIME.0))),
            end: started_at.after(limit),
        }
    }

    /// Returns whether a request that is complete at `now` and may run until `deadline` is taken.
    ///
    /// During the notice, the balancer still sends requests, and all are taken. After it, one that may
    /// run for longer than the process would be cut, and another process can serve it.
    #[must_use]
    pub fn takes(&self, now: TimeUs, deadline: TimeUs) -> bool {
        now < self.notice_end || deadline <= self.answer_at
    }

    /// Returns how long after `now` the requests that still run are answered.
    #[must_use]
    pub fn until_answers(&self, now: TimeUs) -> SpanUs {
        self.answer_at.since(now)
    }

    /// Returns how long after `now` the process ends.
    #[must_use]
    pub fn until_end(&self, now: TimeUs) -> SpanUs {
        self.end.since(now)
    }
}
