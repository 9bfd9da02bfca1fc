//! Detects store outages from failed reads of a list whose entries expire without heartbeats.
//!
//! After an outage, missing entries are kept for a grace period: live servers may not have been
//! able to renew them.
//!
//! ```
//! use clementinepick::outage_detector::OutageDetector;
//! use clementinepick::units::{SpanUs, TimeUs};
//!
//! let mut outage = OutageDetector::default();
//! outage.record_failed_read(TimeUs(0));
//! let back = TimeUs(0).after(SpanUs::from_s(3));
//! assert!(outage.record_successful_read(back).is_some());
//! assert!(outage.is_in_grace_period(back));
//! assert!(!outage.is_in_grace_period(back.after(SpanUs::from_s(2))));
//! ```

use crate::units::{SpanUs, TimeUs};

/// How long reads must have failed to count as an outage. Entries expire only after several missed
/// heartbeats, which takes longer, and single reads also fail when the store only loses a response.
const MIN_OUTAGE_US: SpanUs = SpanUs::from_ms(1_600);
/// How long missing entries are kept after an outage: live servers register again within about two
/// seconds.
const GRACE_PERIOD_US: SpanUs = SpanUs::from_s(2);

/// An outage that ended with a successful read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndedOutage {
    /// The time from the start of the first failed read to the successful one.
    pub silence_us: SpanUs,
    /// The number of failed reads.
    pub failed_reads: u32,
}

/// Tracks the reads of one list.
///
/// Only reads that failed count towards an outage, not the time without reads or with cancelled
/// ones: otherwise a gateway that is busy with other changes would assume an outage, and keep
/// sending requests to a server that has just left.
#[derive(Debug, Clone, Default)]
pub struct OutageDetector {
    /// The start of the first failed read since the last successful one.
    failing_since: Option<TimeUs>,
    failed_reads: u32,
    ended_at: Option<TimeUs>,
}

impl OutageDetector {
    /// Records the failure of a read that started at `begun`.
    pub fn record_failed_read(&mut self, begun: TimeUs) {
        self.failing_since.get_or_insert(begun);
        self.failed_reads = self.failed_reads.saturating_add(1);
    }

    /// Records a successful read, and returns the outage that it ends, if any.
    pub fn record_successful_read(&mut self, now: TimeUs) -> Option<EndedOutage> {
        let failed_reads = std::mem::take(&mut self.failed_reads);
        let silence_us = now.since(self.failing_since.take()?);
        if silence_us <= MIN_OUTAGE_US {
            return None;
        }
        self.ended_at = Some(now);
        Some(EndedOutage {
            silence_us,
            failed_reads,
        })
    }

    /// Whether missing entries are kept because their servers may not have registered again yet.
    #[must_use]
    pub fn is_in_grace_period(&self, now: TimeUs) -> bool {
        self.ended_at
            .is_some_and(|at| now.since(at) < GRACE_PERIOD_US)
    }
}
