//! Whether entries may have lapsed with the store, by the readings of the list that they stand in.
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

/// How long readings must have failed before entries may have lapsed although their servers live. An
/// entry lapses after several missed heartbeats, which takes longer; a reading or two also fail where
/// the store only loses an answer.
const OUTAGE_US: SpanUs = SpanUs::from_ms(1_600);
/// How long entries that lapsed are believed after the store's return: the platform says that those
/// of live servers are back within about two seconds.
const LAPSE_GRACE_US: SpanUs = SpanUs::from_s(2);

/// An outage that a reading has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndedOutage {
    /// From the start of the first reading that failed to the one that went well.
    pub silence_us: SpanUs,
    /// How many readings failed.
    pub failed_reads: u32,
}

/// What the readings of one list tell of the store.
///
/// Only a reading that was made and failed counts as silence of the store. A time in which none was
/// made, or in which one was given up before its end, says nothing: taken as silence, a gateway that
/// is busy with other news believes in an outage, and keeps sending requests to a server that has
/// just left, for as long as lapsed entries are believed.
#[derive(Debug, Clone, Default)]
pub struct OutageDetector {
    /// The start of the first reading that failed since the last one that went well.
    failing_since: Option<TimeUs>,
    failed_reads: u32,
    returned_at: Option<TimeUs>,
}

impl OutageDetector {
    /// Notes that a reading which began at `begun` failed.
    pub fn record_failed_read(&mut self, begun: TimeUs) {
        self.failing_since.get_or_insert(begun);
        self.failed_reads = self.failed_reads.saturating_add(1);
    }

    /// Notes a reading that went well; returns the outage that it ends, if it ends one.
    pub fn record_successful_read(&mut self, now: TimeUs) -> Option<EndedOutage> {
        let failed_reads = std::mem::take(&mut self.failed_reads);
        let silence_us = now.since(self.failing_since.take()?);
        if silence_us <= OUTAGE_US {
            return None;
        }
        self.returned_at = Some(now);
        Some(EndedOutage {
            silence_us,
            failed_reads,
        })
    }

    /// Whether entries that have vanished are still believed, until their servers have had time to
    /// register again.
    #[must_use]
    pub fn is_in_grace_period(&self, now: TimeUs) -> bool {
        self.returned_at
            .is_some_and(|at| now.since(at) < LAPSE_GRACE_US)
    }
}
