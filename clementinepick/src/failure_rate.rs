//! How often a backend server fails, by its answers.
//!
//! A server that fails a part of its requests passes its health checks and answers between the
//! failures, so that a pause which a success ends does not keep requests from it.
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

/// What one answer counts: a server that fails two requests in five is known after the second failure.
const ANSWER_WEIGHT: f64 = 0.25;
/// After this time without an answer, half of what is known is forgotten: a server that has recovered
/// gets requests again within seconds, and few of them before that.
const HALF_LIFE_US: SpanUs = SpanUs::from_s(1);

/// A lower rate is none: the traces of old failures would decide between servers that are as good.
const FORGOTTEN: f64 = 0.01;

/// The share of a server's latest requests that failed.
#[derive(Debug, Clone, Copy, Default)]
pub struct FailureRate {
    rate: f64,
    noted_at: TimeUs,
}

impl FailureRate {
    /// Notes how a request ended.
    pub fn record(&mut self, now: TimeUs, has_failed: bool) {
        let before = self.at(now);
        let outcome = if has_failed { 1.0 } else { 0.0 };
        self.rate = before + (outcome - before) * ANSWER_WEIGHT;
        self.noted_at = now;
    }

    /// The rate as far as it still counts, from 0 to 1.
    #[must_use]
    pub fn at(&self, now: TimeUs) -> f64 {
        let age = now.since(self.noted_at).as_s_f64();
        let rate = self.rate * (-age / HALF_LIFE_US.as_s_f64()).exp2();
        if rate < FORGOTTEN { 0.0 } else { rate }
    }
}
