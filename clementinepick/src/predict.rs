//! Predicts sizes and pauses from completed calls: a histogram of recent ones for each key.
//!
//! One histogram serves both questions that the decisions ask: a quantile (how much memory will the
//! output take) and a survival curve (how probable is a return within a time).

use std::collections::BTreeMap;

use crate::ids::{ClassName, ToolName};
use crate::units::{SpanUs, Tokens};

/// Buckets for each doubling; a bucket's edge is at most 19% above what fell into it.
const BUCKETS_PER_DOUBLING: u32 = 4;
/// Buckets of a histogram: sizes up to 2^40.
const BUCKETS: usize = 160;
/// The weight of one observation.
const ONE: u32 = 16;
/// The total weight at which all counts are halved, so that old observations fade.
const FADE_AT: u32 = 400 * ONE;

/// A histogram of sizes with logarithmic buckets, in which old observations fade.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Histogram {
    counts: Vec<u32>,
    /// Observations that never ended: pauses after which the program did not come back.
    never: u32,
    total: u32,
}

impl Default for Histogram {
    fn default() -> Self {
        Self {
            counts: vec![0; BUCKETS],
            never: 0,
            total: 0,
        }
    }
}

impl Histogram {
    /// Counts one observation.
    pub fn add(&mut self, value: u64) {
        self.counts[bucket(value)] += ONE;
        self.grown();
    }

    /// Counts one observation that has no end.
    pub fn add_unbounded(&mut self) {
        self.never += ONE;
        self.grown();
    }

    fn grown(&mut self) {
        self.total += ONE;
        if self.total < FADE_AT {
            return;
        }
        for count in &mut self.counts {
            *count /= 2;
        }
        self.never /= 2;
        self.total = self.counts.iter().sum::<u32>() + self.never;
    }

    /// The count of observations that still weigh in.
    #[must_use]
    pub const fn observations(&self) -> u32 {
        self.total / ONE
    }

    /// The upper edge of the bucket in which the quantile lies, in per cent; nothing before the
    /// first observation, or where the quantile never ends.
    #[must_use]
    pub fn quantile(&self, percent: u32) -> Option<u64> {
        if self.total == 0 {
            return None;
        }
        let wanted = u64::from(self.total) * u64::from(percent.min(100));
        let mut below = 0_u64;
        for (at, count) in self.counts.iter().enumerate() {
            below += u64::from(*count) * 100;
            if *count > 0 && below >= wanted {
                return Some(edge(at));
            }
        }
        None
    }

    /// The steps of the distribution: for each bucket that is not empty its upper edge and the
    /// weight in it, smallest first.
    pub(crate) fn steps(&self) -> impl Iterator<Item = (u64, u32)> {
        let filled = self.counts.iter().enumerate();
        filled
            .filter(|(_, count)| **count > 0)
            .map(|(at, count)| (edge(at), *count))
    }

    /// The weight of all observations.
    pub(crate) const fn total(&self) -> u32 {
        self.total
    }
}

fn bucket(value: u64) -> usize {
    let value = value.max(1);
    let doubling = value.ilog2();
    // The position within the doubling, in quarters of its width.
    let below = (value - (1 << doubling)) << 2 >> doubling;
    let at = u64::from(doubling * BUCKETS_PER_DOUBLING) + below;
    usize::try_from(at).unwrap_or(BUCKETS).min(BUCKETS - 1)
}

/// The largest value that falls into a bucket.
fn edge(bucket: usize) -> u64 {
    let bucket = u32::try_from(bucket).unwrap_or(u32::MAX);
    let (doubling, quarter) = (bucket / BUCKETS_PER_DOUBLING, bucket % BUCKETS_PER_DOUBLING);
    let width = 1_u64 << doubling;
    (width + (width * u64::from(quarter + 1)).div_ceil(4)).saturating_sub(1)
}

/// What a prediction is made for: the class, and the tool that was or will be called, if known.
pub type Key = (ClassName, Option<ToolName>);

/// Observations after which a key's own histogram is trusted over its class's.
const TRUSTED: u32 = 8;

/// Histograms by class and tool, with the class as a whole for keys that are new.
#[derive(Debug, Clone, Default)]
pub struct Predictor {
    by_key: BTreeMap<Key, Histogram>,
    by_class: BTreeMap<ClassName, Histogram>,
}

/// The most keys that are kept: callers name tools, and a caller that invents names must not fill
/// the memory. Beyond it only the class is learned.
const MAX_KEYS: usize = 1_024;

impl Predictor {
    /// Learns one observation; nothing for one that has no end.
    pub fn observe(&mut self, class: &ClassName, tool: Option<&ToolName>, value: Option<u64>) {
        let count = |histogram: &mut Histogram| match value {
            Some(value) => histogram.add(value),
            None => histogram.add_unbounded(),
        };
        count(self.by_class.entry(class.clone()).or_default());
        let key = (class.clone(), tool.cloned());
        if self.by_key.len() < MAX_KEYS || self.by_key.contains_key(&key) {
            count(self.by_key.entry(key).or_default());
        }
    }

    /// The histogram to predict from: the key's own, or the class's while the key is new.
    #[must_use]
    pub fn histogram(&self, class: &ClassName, tool: Option<&ToolName>) -> Option<&Histogram> {
        let own = self.by_key.get(&(class.clone(), tool.cloned()));
        own.filter(|histogram| histogram.observations() >= TRUSTED)
            .or_else(|| self.by_class.get(class))
    }
}

/// The quantile of past outputs that is set aside for the next.
pub const OUTPUT_QUANTILE_PERCENT: u32 = 90;

/// The output that a call will probably stay below; `limit` before anything is known.
#[must_use]
pub fn predict_output(outputs: &Predictor, class: &ClassName, limit: Tokens) -> Tokens {
    let known = outputs
        .histogram(class, None)
        .filter(|h| h.observations() >= TRUSTED);
    let quantile = known.and_then(|histogram| histogram.quantile(OUTPUT_QUANTILE_PERCENT));
    quantile.map_or(limit, |tokens| Tokens(tokens).min(limit))
}

/// How long to keep what is worth `1` when the program returns and costs `price_per_s` a second
/// until then: the time that maximizes the expected worth; zero where keeping never pays.
#[must_use]
pub fn optimal_retention(pauses: &Histogram, price_milli_per_s: u64) -> SpanUs {
    let total = u128::from(pauses.total());
    let (mut left, mut returned) = (total, 0_u128);
    let (mut from_us, mut held) = (0_u64, 0_u128);
    // Worth and cost in units of weight x price scale; integers keep runs alike on all machines.
    let scale = 1_000_u128 * 1_000_000;
    let (mut best, mut best_us) = (0_i128, 0_u64);
    for (edge_us, weight) in pauses.steps() {
        held += left * u128::from(edge_us - from_us);
        from_us = edge_us;
        left -= u128::from(weight).min(left);
        returned += u128::from(weight);
        let cost = held * u128::from(price_milli_per_s);
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
    fn a_bucket_holds_all_up_to_its_edge() {
        for value in [1, 2, 3, 4, 5, 7, 8, 9, 1_000, 1_023, 1_024, 123_456_789] {
            let at = bucket(value);
            assert!(edge(at) >= value, "{value}");
            assert!(at == 0 || value == 1 || edge(at - 1) < value, "{value}");
            assert!(edge(at) <= value + value / 4, "{value}");
        }
    }

    #[test]
    fn old_sizes_fade() {
        let mut sizes = Histogram::default();
        (0..400).for_each(|_| sizes.add(1_000));
        (0..1_200).for_each(|_| sizes.add(10));
        assert!(sizes.quantile(90).is_some_and(|size| size < 20));
    }

    #[test]
    fn a_prefix_is_kept_for_the_short_pauses_only() {
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
