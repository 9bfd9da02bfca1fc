//! Samples the random distributions of the policy tool's workloads.

use clementinepick::units::SpanUs;
use rand_chacha::ChaCha12Rng;
use rand_chacha::rand_core::Rng;

/// Samples the uniform distribution over [0, 1).
#[expect(clippy::cast_precision_loss, reason = "53 bits fit into the mantissa")]
pub fn uniform(rng: &mut ChaCha12Rng) -> f64 {
    (rng.next_u64() >> 11) as f64 / (1_u64 << 53) as f64
}

/// Samples the time to the next arrival of a Poisson process.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the draw is positive and far below 2^63"
)]
pub fn exponential_us(rng: &mut ChaCha12Rng, per_s: f64) -> SpanUs {
    let interval_s = -(1.0 - uniform(rng)).ln() / per_s;
    SpanUs((interval_s * 1e6) as u64)
}

/// A log-normal distribution whose samples are capped at an upper bound.
#[derive(Debug, Clone, Copy)]
pub struct LogNormal {
    /// The median.
    pub median: f64,
    /// The standard deviation of the logarithm.
    pub sigma: f64,
    /// The maximum of a sample.
    pub upper_bound: f64,
}

impl LogNormal {
    /// Draws a sample.
    pub fn draw(&self, rng: &mut ChaCha12Rng) -> f64 {
        let (first, second) = (1.0 - uniform(rng), uniform(rng));
        let normal = (-2.0 * first.ln()).sqrt() * (std::f64::consts::TAU * second).cos();
        (self.median * (self.sigma * normal).exp()).min(self.upper_bound)
    }

    /// Draws a sample as a count of at least one.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "draws are positive and bounded"
    )]
    pub fn draw_count(&self, rng: &mut ChaCha12Rng) -> u64 {
        self.draw(rng).max(1.0) as u64
    }

    /// Returns the mean of the distribution without its upper bound.
    #[must_use]
    pub fn mean(&self) -> f64 {
        self.median * (self.sigma * self.sigma / 2.0).exp()
    }
}

/// A Pareto distribution whose samples are capped at an upper bound.
#[derive(Debug, Clone, Copy)]
pub struct Pareto {
    /// The minimum of a sample.
    pub lower_bound: f64,
    /// The tail index: the smaller, the heavier the tail.
    pub alpha: f64,
    /// The maximum of a sample.
    pub upper_bound: f64,
}

impl Pareto {
    /// Draws a sample.
    pub fn draw(&self, rng: &mut ChaCha12Rng) -> f64 {
        let drawn = self.lower_bound / (1.0 - uniform(rng)).powf(1.0 / self.alpha);
        drawn.min(self.upper_bound)
    }
}
