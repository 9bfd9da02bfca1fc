//! Predicts output sizes and pauses from histograms of recent calls.
//!
//! A histogram provides both a quantile (how much memory an output will take) and a survival curve
//! (how probable it is that a program returns within a time).

use std::collections::BTreeMap;

use crate::ids::{ClassName, ToolName};
use crate::units::{SpanUs, Tokens};

/// The number of buckets per power of two; the bound of a bucket is at most 19 % above its values.
const BUCKETS_PER_DOUBLING: u32 = 4;
/// The number of buckets of a histogram, for values up to 2^40.
const BUCKETS: usize = 160;
/// The weight of a new observation.
const OBSERVATION_WEIGHT: u32 = 16;
/// The total weight at which all counts are halved, so that old observations decay.
const DECAY_THRESHOLD: u32 = 400 * OBSERVATION_WEIGHT;

/// A histogram with logarithmic buckets, in which old observations decay.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Histogram {
    counts: Vec<u32>,
    /// The weight of unbounded observations: pauses from which the program did not return.
    unbounded: u32,
    total: u32,
}

impl Default for Histogram {
    fn default() -> Self {
        Self {
            counts: vec![0; BUCKETS],
            unbounded: 0,
            total: 0,
        }
    }
}

impl Histogram {
    /// Adds an observation.
    pub fn add(&mut self, value: u64) {
        self.counts[bucket(value)] += OBSERVATION_WEIGHT;
        self.add_weight();
    }

    /// Adds an unbounded observation.
    pub fn add_unbounded(&mut self) {
        self.unbounded += OBSERVATION_WEIGHT;
        self.add_weight();
    }

    fn add_weight(&mut self) {
        self.total += OBSERVATION_WEIGHT;
        if self.total < DECAY_THRESHOLD {
            return;
        }
        for count in &mut self.counts {
            *count /= 2;
        }
        self.unbounded /= 2;
        self.total = self.counts.iter().sum::<u32>() + self.unbounded;
    }

    /// Returns the number of observations, as far as they have not decayed.
    #[must_use]
    pub const fn observations(&self) -> u32 {
        self.total / OBSERVATION_WEIGHT
    }

    /// Returns the upper edge of the bucket that contains the quantile, given in percent; none
    /// without observations, or if the quantile is unbounded.
    #[must_use]
    pub fn quantile(&self, percent: u32) -> Option<u64> {
        if self.total == 0 {
            return None;
        }
        let target = u64::from(self.total) * u64::from(percent.min(100));
        let mut cumulative = 0_u64;
        for (at, count) in self.counts.iter().enumerate() {
            cumulative += u64::from(*count) * 100;
            if *count > 0 && cumulative >= target {
                return Some(edge(at));
            }
        }
        None
    }

    /// Returns the upper edge and the weight of each non-empty bucket, in ascending order.
    pub(crate) fn buckets(&self) -> impl Iterator<Item = (u64, u32)> {
        let filled = self.counts.iter().enumerate();
        filled
            .filter(|(_, count)| **count > 0)
            .map(|(at, count)| (edge(at), *count))
    }

    /// Returns the total weight of all observations.
    pub(crate) const fn total(&self) -> u32 {
        self.total
    }
}

fn bucket(value: u64) -> usize {
    let value = value.max(1);
    let doubling = value.ilog2();
    // The position within the power of two, in quarters of its width.
    let offset = (value - (1 << doubling)) << 2 >> doubling;
    let at = u64::from(doubling * BUCKETS_PER_DOUBLING) + offset;
    usize::try_from(at).unwrap_or(BUCKETS).min(BUCKETS - 1)
}

/// Returns the largest value of a bucket.
fn edge(bucket: usize) -> u64 {
    let bucket = u32::try_from(bucket).unwrap_or(u32::MAX);
    let (doubling, quarter) = (bucket / BUCKETS_PER_DOUBLING, bucket % BUCKETS_PER_DOUBLING);
    let width = 1_u64 << doubling;
    (width + (width * u64::from(quarter + 1)).div_ceil(4)).saturating_sub(1)
}

/// The key of a prediction: the class, and the tool that the program calls, if known.
pub type PredictionKey = (ClassName, Option<ToolName>);

/// The minimum number of observations of a key's own histogram, and of a prediction of outputs.
const MIN_OBSERVATIONS: u32 = 8;

/// Histograms by class and tool, and by class alone as a fallback for new keys.
#[derive(Debug, Clone, Default)]
pub struct Predictor {
    by_key: BTreeMap<PredictionKey, Histogram>,
    by_class: BTreeMap<ClassName, Histogram>,
}

/// The maximum number of keys. Callers choose the names of tools, and must not be able to exhaust
/// the memory; further keys are only counted for their class.
const MAX_KEYS: usize = 1_024;

impl Predictor {
    /// Adds an observation; none stands for an unbounded one.
    pub fn observe(&mut self, class: &ClassName, tool: Option<&ToolName>, value: Option<u64>) {
        let add_to = |histogram: &mut Histogram| match value {
            Some(value) => histogram.add(value),
            None => histogram.add_unbounded(),
        };
        add_to(self.by_class.entry(class.clone()).or_default());
        let key = (class.clone(), tool.cloned());
        if self.by_key.len() < MAX_KEYS || self.by_key.contains_key(&key) {
            add_to(self.by_key.entry(key).or_default());
        }
    }

    /// Returns the histogram of the key, or that of its class while the key has few observations.
    #[must_use]
    pub fn histogram(&self, class: &ClassName, tool: Option<&ToolName>) -> Option<&Histogram> {
        let own = self.by_key.get(&(class.clone(), tool.cloned()));
        own.filter(|histogram| histogram.observations() >= MIN_OBSERVATIONS)
            .or_else(|| self.by_class.get(class))
    }
}

/// The quantile of past outputs that is reserved for the next one, in percent.
pub const OUTPUT_QUANTILE_PERCENT: u32 = 90;

/// Predicts an upper bound of a call's output, or returns `limit` while there are few observations.
#[must_use]
pub fn predict_output(outputs: &Predictor, class: &ClassName, limit: Tokens) -> Tokens {
    let known = outputs
        .histogram(class, None)
        .filter(|h| h.observations() >= MIN_OBSERVATIONS);
    let quantile = known.and_then(|histogram| histogram.quantile(OUTPUT_QUANTILE_PERCENT));
    quantile.map_or(limit, |tokens| Tokens(tokens).min(limit))
}

/// Returns how long to keep a prefix that is worth 1 when the program returns, and costs
/// `price_milli_per_s` thousandths per second until then: the time with the highest expected gain,
/// or zero if keeping it never pays.
#[must_use]
pub fn optimal_retention(pauses: &Histogram, price_milli_per_s: u64) -> SpanUs {
    let total = u128::from(pauses.total());
    let (mut remaining, mut returned) = (total, 0_u128);
    let (mut from_us, mut held_time) = (0_u64, 0_u128);
    // Value and cost are scaled integers, so that results are the same on all machines.
    let scale = 1_000_u128 * 1_000_000;
    let (mut best, mut best_us) = (0_i128, 0_u64);
    for (edge_us, weight) in pauses.buckets() {
        held_time += remaining * u128::from(edge_us - from_us);
        from_us = edge_us;
        remaining -= u128::from(weight).min(remaining);
        returned += u128::from(weight);
        let cost = held_time * u128::from(price_milli_per_s);
        let value = signed(returned * scale) - signed(cost);
        if value > best {
            (best, best_us) = (value, edge_us);
        }
    }
    SpanUs(best_us)
}

fn signed(value: u128) -> i128 {
    i128::try_from(value).unwrap_or(i128::MAX)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_bucket_contains_values_up_to_its_edge() {
        for value in [1, 2, 3, 4, 5, 7, 8, 9, 1_000, 1_023, 1_024, 123_456_789] {
            let at = bucket(value);
            assert!(edge(at) >= value, "{value}");
            assert!(at == 0 || value == 1 || edge(at - 1) < value, "{value}");
            assert!(edge(at) <= value + value / 4, "{value}");
        }
    }

    #[test]
    fn old_observations_decay() {
        let mut sizes = Histogram::default();
        (0..400).for_each(|_| sizes.add(1_000));
        (0..1_200).for_each(|_| sizes.add(10));
        assert!(sizes.quantile(90).is_some_and(|size| size < 20));
    }

    #[test]
    fn prefixes_are_kept_only_for_short_pauses() {
        let mut pauses = Histogram::default();
        (0..50).for_each(|_| pauses.add(1_000_000));
        (0..50).for_each(|_| pauses.add_unbounded());
        let keep = optimal_retention(&pauses, 50);
        assert!(
            keep >= SpanUs::from_s(1) && keep < SpanUs::from_s(2),
            "{keep}"
        );
        assert_eq!(optimal_retention(&pauses, 100_000), SpanUs(0));
    }
}
