//! Tracks the share of a backend server's recent requests that failed.
//!
//! A server that fails only some of its requests passes its health checks, and each success ends
//! its backoff. The failure rate still keeps most requests away from it.
//!
//! ```
//! use clementinepick::failure_rate::FailureRate;
//! use clementinepick::units::{SpanUs, TimeUs};
//!
//! let mut rate = FailureRate::default();
//! rate.record(TimeUs(0), true);
//! assert_eq!(rate.at(TimeUs(0)), 0.25);
//! assert_eq!(rate.at(TimeUs(0).after(SpanUs::from_s(1))), 0.125);
//! ```

use crate::units::{SpanUs, TimeUs};

/// The weight of one outcome in the exponential moving average.
const OUTCOME_WEIGHT: f64 = 0.25;
/// The half-life of the rate while no outcome is recorded: a recovered server gets requests again
/// within seconds, and few of them before that.
const HALF_LIFE_US: SpanUs = SpanUs::from_s(1);

/// A lower rate counts as zero, so that old failures don't decide between equally good servers.
const MIN_RATE: f64 = 0.01;

/// An exponential moving average of a server's failures, which decays over time.
#[derive(Debug, Clone, Copy, Default)]
pub struct FailureRate {
    rate: f64,
    recorded_at: TimeUs,
}

impl FailureRate {
    /// Records the outcome of a request.
    pub fn record(&mut self, now: TimeUs, has_failed: bool) {
        let before = self.at(now);
        let outcome = if has_failed { 1.0 } else { 0.0 };
        self.rate = before + (outcome - before) * OUTCOME_WEIGHT;
        self.recorded_at = now;
    }

    /// Returns the decayed rate, from 0 to 1.
    #[must_use]
    pub fn at(&self, now: TimeUs) -> f64 {
        let age = now.since(self.recorded_at).as_s_f64();
        let rate = self.rate * (-age / HALF_LIFE_US.as_s_f64()).exp2();
        if rate < MIN_RATE { 0.0 } else { rate }
    }
}
