//! Detects store outages from failed attempts to read a list whose entries expire without
//! heartbeats.
//!
//! After an outage, missing entries are kept for a grace period: live servers may not have been
//! able to renew them.
//!
//! ```
//! use clementinepick::outage_detector::{FailureKind, OutageDetector};
//! use clementinepick::units::{SpanUs, TimeUs};
//!
//! let mut outage = OutageDetector::default();
//! outage.record_failure(TimeUs(0), FailureKind::Unavailable);
//! outage.record_failure(TimeUs(1_000_000), FailureKind::Unavailable);
//! let back = TimeUs(0).after(SpanUs::from_s(3));
//! assert!(outage.record_response(back).is_some());
//! assert_eq!(outage.grace_left(back), SpanUs::from_s(2));
//! assert_eq!(outage.grace_left(back.after(SpanUs::from_s(2))), SpanUs(0));
//! ```

use crate::units::{SpanUs, TimeUs};

/// How long attempts must have failed to count as an outage. Entries expire only after several
/// missed heartbeats, which takes longer.
const MIN_OUTAGE_US: SpanUs = SpanUs::from_ms(1_600);
/// How many attempts must have shown that the store is unavailable; a single one also fails when
/// the store only loses a response.
const MIN_UNAVAILABLE_ATTEMPTS: u32 = 2;
/// How long the store must have been shown to be unavailable. The timeouts of attempts to reach a
/// store that has become slow grow to its response time in less; together with a lost long poll
/// before, which shows nothing, this is shorter than the time in which entries expire.
const MIN_UNAVAILABLE_US: SpanUs = SpanUs::from_s(1);
/// How long missing entries are kept after an outage: live servers register again within about two
/// seconds.
const GRACE_PERIOD_US: SpanUs = SpanUs::from_s(2);

/// What a failed attempt says about the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailureKind {
    /// It says nothing: the connection may have been broken before, a long poll may have lost its
    /// response at any time, or this process was not running.
    Inconclusive,
    /// The store refused the call, or did not respond on a new connection.
    Unavailable,
}

/// An outage that ended with a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndedOutage {
    /// The time from the start of the first failed attempt to the response.
    pub silence_us: SpanUs,
    /// The number of failed attempts to read.
    pub failed_reads: u32,
}

/// Consecutive failed attempts.
#[derive(Debug, Clone, Copy)]
struct Failures {
    /// The start of the first one.
    since: TimeUs,
    count: u32,
    /// The start of the first one that showed the store to be unavailable.
    unavailable_since: Option<TimeUs>,
    unavailable_count: u32,
}

impl Failures {
    fn starting_at(started: TimeUs) -> Self {
        Self {
            since: started,
            count: 0,
            unavailable_since: None,
            unavailable_count: 0,
        }
    }

    fn is_outage(&self, now: TimeUs) -> bool {
        let is_shown = self
            .unavailable_since
            .is_some_and(|since| now.since(since) >= MIN_UNAVAILABLE_US);
        is_shown
            && self.unavailable_count >= MIN_UNAVAILABLE_ATTEMPTS
            && now.since(self.since) > MIN_OUTAGE_US
    }
}

/// Tracks the attempts to read one list.
///
/// Only failed attempts count towards an outage, not the time without any: otherwise a gateway that
/// is busy with other changes, or that lost one response, would assume an outage, and keep sending
/// requests to a server that has just left.
#[derive(Debug, Clone, Default)]
pub struct OutageDetector {
    failures: Option<Failures>,
    ended_at: Option<TimeUs>,
}

impl OutageDetector {
    /// Records the failure of an attempt that started at `started`.
    pub fn record_failure(&mut self, started: TimeUs, kind: FailureKind) {
        let failures = self
            .failures
            .get_or_insert_with(|| Failures::starting_at(started));
        failures.count = failures.count.saturating_add(1);
        if kind == FailureKind::Unavailable {
            failures.unavailable_since.get_or_insert(started);
            failures.unavailable_count = failures.unavailable_count.saturating_add(1);
        }
    }

    /// Records a response, and returns the outage that it ends, if any.
    pub fn record_response(&mut self, now: TimeUs) -> Option<EndedOutage> {
        let failures = self.failures.take()?;
        if !failures.is_outage(now) {
            return None;
        }
        self.ended_at = Some(now);
        Some(EndedOutage {
            silence_us: now.since(failures.since),
            failed_reads: failures.count,
        })
    }

    /// Returns how much longer missing entries are kept because their servers may not have
    /// registered again yet; zero without an outage.
    #[must_use]
    pub fn grace_left(&self, now: TimeUs) -> SpanUs {
        let Some(ended_at) = self.ended_at else {
            return SpanUs(0);
        };
        SpanUs(GRACE_PERIOD_US.0.saturating_sub(now.since(ended_at).0))
    }
}
