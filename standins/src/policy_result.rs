//! Collects the metrics of a run and compares them with their goals.

use std::collections::BTreeMap;

use clementinepick::ids::ClassName;
use clementinepick::units::SpanUs;
use serde::Serialize;

use crate::policy_workload::Mix;

/// The metrics of one run.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct RunMetrics {
    /// The name of the policy.
    pub policy: String,
    /// The seed of the workload and of the lost cache events.
    pub seed: u64,
    /// The 95th percentile of program latency in the first class of the engines' service.
    pub first_p95_s: f64,
    /// The 99th percentile of call latency in the urgent class of the plain service.
    pub urgent_p99_s: f64,
    /// The mean program latency over all classes of the engines' service.
    pub mean_s: f64,
    /// The 99th percentile of program latency in the last class of the engines' service.
    pub last_p99_s: f64,
    /// The mean call latency over all classes of the plain service.
    pub plain_mean_s: f64,
    /// The 99th percentile of call latency in the last class of the plain service.
    pub plain_last_p99_s: f64,
    /// The turns completed per second by the engines.
    pub completed_per_s: f64,
    /// The calls completed per second by the plain service.
    pub plain_completed_per_s: f64,
    /// The idle cache memory that no reuse followed, in gigabyte-seconds.
    pub wasted_gb_s: f64,
    /// The part of `wasted_gb_s` for segments that were never reused.
    pub never_reused_gb_s: f64,
    /// The prompt tokens that were found in the cache.
    pub reused_tokens: f64,
    /// The prompt tokens of all completed turns.
    pub prompt_tokens: f64,
    /// The number of measured programs of the engines' service, with failed ones.
    pub programs: u64,
    /// The number of failed programs of both services; they count with the maximum latency.
    pub failed: u64,
    /// The number of sends that were refused or failed.
    pub retries: u64,
    /// The number of times that a call was returned to its caller without a response.
    pub refused: u64,
    /// The number of prefixes moved between engines; always zero.
    pub moved: u64,
}

/// The metrics with a goal, in the order of the table.
pub const GOALS: &[Goal] = &[
    Goal {
        name: "first class p95",
        max_ratio: Some(0.4),
        get: |f| f.first_p95_s,
    },
    Goal {
        name: "urgent p99",
        max_ratio: Some(0.2),
        get: |f| f.urgent_p99_s,
    },
    Goal {
        name: "mean of programs",
        max_ratio: Some(0.6),
        get: |f| f.mean_s,
    },
    Goal {
        name: "last class p99",
        max_ratio: Some(1.5),
        get: |f| f.last_p99_s,
    },
    Goal {
        name: "turns completed/s",
        max_ratio: None,
        get: |f| f.completed_per_s,
    },
    Goal {
        name: "plain completed/s",
        max_ratio: None,
        get: |f| f.plain_completed_per_s,
    },
    Goal {
        name: "wasted cache",
        max_ratio: Some(0.25),
        get: |f| f.wasted_gb_s,
    },
    Goal {
        name: "reused tokens",
        max_ratio: None,
        get: |f| f.reused_tokens,
    },
];

/// A metric with its goal as a ratio to `fifo`.
#[derive(Debug, Clone, Copy)]
pub struct Goal {
    /// The label of the metric.
    pub name: &'static str,
    /// The maximum ratio; if absent, the ratio must be at least 1.
    pub max_ratio: Option<f64>,
    /// Returns the metric's value.
    pub get: fn(&RunMetrics) -> f64,
}

impl Goal {
    /// Returns whether a ratio meets the goal when rounded to three decimals, as in the table.
    #[must_use]
    pub fn is_met(&self, ratio: f64) -> bool {
        match self.max_ratio {
            Some(max) => ratio < max + 0.0005,
            None => ratio > 0.9995,
        }
    }
}

/// Collects the latencies of a run by class.
#[derive(Debug, Clone, Default)]
pub struct Latencies {
    by_class: BTreeMap<ClassName, Vec<u64>>,
    failed: u64,
}

impl Latencies {
    /// Records a program that ended successfully.
    pub fn record(&mut self, class: &ClassName, latency_us: SpanUs) {
        self.by_class
            .entry(class.clone())
            .or_default()
            .push(latency_us.0);
    }

    /// Records a failed program, which counts with the maximum latency.
    pub fn record_failed(&mut self, class: &ClassName, longest_us: SpanUs) {
        self.failed += 1;
        self.record(class, longest_us);
    }

    /// Returns the number of failed programs.
    #[must_use]
    pub const fn failed(&self) -> u64 {
        self.failed
    }

    /// Returns a quantile of the latency of a class in seconds, or zero if it has no programs.
    #[must_use]
    pub fn quantile_s(&self, class: &str, quantile: f64) -> f64 {
        let found = self
            .by_class
            .iter()
            .find(|(name, _)| name.as_str() == class);
        let mut sorted = found.map(|(_, list)| list.clone()).unwrap_or_default();
        sorted.sort_unstable();
        quantile_of(&sorted, quantile) / 1e6
    }

    /// Returns the mean latency over the given classes in seconds, or zero if they have no
    /// programs.
    #[must_use]
    pub fn mean_s(&self, classes: &[&str]) -> f64 {
        let is_selected = |name: &ClassName| classes.contains(&name.as_str());
        let lists = self.by_class.iter().filter(|(name, _)| is_selected(name));
        let (sum, count) = lists.fold((0.0, 0.0), |(sum, count), (_, list)| {
            (
                sum + list.iter().map(|us| to_f64(*us)).sum::<f64>(),
                count + to_f64(list.len() as u64),
            )
        });
        if count > 0.0 { sum / count / 1e6 } else { 0.0 }
    }

    /// Returns the number of programs in the given classes.
    #[must_use]
    pub fn count(&self, classes: &[&str]) -> u64 {
        let is_selected = |name: &ClassName| classes.contains(&name.as_str());
        let lists = self.by_class.iter().filter(|(name, _)| is_selected(name));
        lists.map(|(_, list)| list.len() as u64).sum()
    }

    /// Sets the latencies and program counts of `metrics`.
    pub fn fill_metrics(&self, mix: &Mix, metrics: &mut RunMetrics) {
        let agents: Vec<&str> = mix.classes.iter().map(|class| class.name).collect();
        let plain: Vec<&str> = mix.plain.iter().map(|class| class.name).collect();
        metrics.first_p95_s = self.quantile_s(mix.first_class, 0.95);
        metrics.urgent_p99_s = self.quantile_s(mix.urgent_class, 0.99);
        metrics.mean_s = self.mean_s(&agents);
        metrics.last_p99_s = self.quantile_s(mix.last_class, 0.99);
        metrics.plain_mean_s = self.mean_s(&plain);
        metrics.plain_last_p99_s = plain.last().map_or(0.0, |last| self.quantile_s(last, 0.99));
        metrics.programs = self.count(&agents);
        metrics.failed = self.failed;
    }
}

/// Returns the median of the values, or zero if there are none.
#[must_use]
pub fn median(mut values: Vec<f64>) -> f64 {
    values.sort_unstable_by(f64::total_cmp);
    let middle = values.len() / 2;
    match values.len() {
        0 => 0.0,
        n if n % 2 == 1 => values[middle],
        _ => f64::midpoint(values[middle - 1], values[middle]),
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the rank lies within the list"
)]
fn quantile_of(sorted: &[u64], quantile: f64) -> f64 {
    if sorted.is_empty() {
        return 0.0;
    }
    let rank = (to_f64(sorted.len() as u64) * quantile).ceil().max(1.0) as usize;
    to_f64(sorted[rank.min(sorted.len()) - 1])
}

/// Converts a count to a float.
#[must_use]
#[expect(
    clippy::cast_precision_loss,
    reason = "counts here stay far below 2^53"
)]
pub const fn to_f64(count: u64) -> f64 {
    count as f64
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn quantiles_round_the_rank_up() {
        let sorted: Vec<u64> = (1..=100).collect();
        assert!((quantile_of(&sorted, 0.95) - 95.0).abs() < 1e-9);
        assert!((quantile_of(&sorted[..1], 0.99) - 1.0).abs() < 1e-9);
        assert!((median(vec![4.0, 1.0, 3.0, 2.0]) - 2.5).abs() < 1e-9);
    }
}
