//! What one run of the policy tool measured.

use std::collections::BTreeMap;

use clementinepick::ids::ClassName;
use clementinepick::units::SpanUs;
use serde::Serialize;

use crate::policy_workload::Mix;

/// The figures of one run; times in seconds.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct RunMetrics {
    /// The policy.
    pub policy: String,
    /// The seed.
    pub seed: u64,
    /// 95 in 100 programs of the class put first took at most this long.
    pub first_p95_s: f64,
    /// 99 in 100 urgent calls of the plain service took at most this long.
    pub urgent_p99_s: f64,
    /// The mean over all agent programs.
    pub mean_s: f64,
    /// 99 in 100 programs of the last class took at most this long.
    pub last_p99_s: f64,
    /// The mean over all calls of the plain service.
    pub plain_mean_s: f64,
    /// 99 in 100 calls of the plain service's last class took at most this long.
    pub plain_last_p99_s: f64,
    /// Turns of the engines answered a second.
    pub completed_per_s: f64,
    /// Calls of the plain service answered a second.
    pub plain_completed_per_s: f64,
    /// Idle cache that no reuse followed, in gigabytes times seconds.
    pub wasted_gb_s: f64,
    /// The part of it on prefixes that were never reused at all.
    pub never_reused_gb_s: f64,
    /// Prompt tokens that came from the cache.
    pub reused_tokens: f64,
    /// All prompt tokens.
    pub prompt_tokens: f64,
    /// Programs that were measured.
    pub programs: u64,
    /// Programs among them that failed; they count with the longest latency.
    pub failed: u64,
    /// Calls that were sent again.
    pub retries: u64,
    /// Calls that were refused as not run.
    pub refused: u64,
    /// Prefixes moved between engines.
    pub moved: u64,
}

/// The figures that have a goal, in the order of the table.
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

/// One figure with its goal as a ratio to `fifo`; without an upper bound it should not fall below.
#[derive(Debug, Clone, Copy)]
pub struct Goal {
    /// The figure.
    pub name: &'static str,
    /// The most that the ratio may be.
    pub max_ratio: Option<f64>,
    /// Reads it.
    pub get: fn(&RunMetrics) -> f64,
}

impl Goal {
    /// Whether a ratio reaches the goal; three decimals count, as in the table.
    #[must_use]
    pub fn is_met(&self, ratio: f64) -> bool {
        match self.max_ratio {
            Some(most) => ratio < most + 0.0005,
            None => ratio > 0.9995,
        }
    }
}

/// Collects latencies during a run.
#[derive(Debug, Clone, Default)]
pub struct Latencies {
    by_class: BTreeMap<ClassName, Vec<u64>>,
    failed: u64,
}

impl Latencies {
    /// A program has ended well.
    pub fn record(&mut self, class: &ClassName, latency_us: SpanUs) {
        self.by_class
            .entry(class.clone())
            .or_default()
            .push(latency_us.0);
    }

    /// A program has failed; it counts with the longest latency.
    pub fn record_failed(&mut self, class: &ClassName, longest_us: SpanUs) {
        self.failed += 1;
        self.record(class, longest_us);
    }

    /// The programs that failed.
    #[must_use]
    pub const fn failed(&self) -> u64 {
        self.failed
    }

    /// A quantile of one class in seconds; zero without programs.
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

    /// The mean over the classes of a list, in seconds.
    #[must_use]
    pub fn mean_s(&self, classes: &[&str]) -> f64 {
        let wanted = |name: &ClassName| classes.contains(&name.as_str());
        let lists = self.by_class.iter().filter(|(name, _)| wanted(name));
        let (sum, count) = lists.fold((0.0, 0.0), |(sum, count), (_, list)| {
            (
                sum + list.iter().map(|us| to_f64(*us)).sum::<f64>(),
                count + to_f64(list.len() as u64),
            )
        });
        if count > 0.0 { sum / count / 1e6 } else { 0.0 }
    }

    /// The programs of the classes of a list.
    #[must_use]
    pub fn count(&self, classes: &[&str]) -> u64 {
        let wanted = |name: &ClassName| classes.contains(&name.as_str());
        let lists = self.by_class.iter().filter(|(name, _)| wanted(name));
        lists.map(|(_, list)| list.len() as u64).sum()
    }

    /// Fills the latencies of the figures.
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

/// The median of a list.
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

/// A count as a float; counts here stay far below 2^53.
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
    fn quantiles_take_the_rank_above() {
        let sorted: Vec<u64> = (1..=100).collect();
        assert!((quantile_of(&sorted, 0.95) - 95.0).abs() < 1e-9);
        assert!((quantile_of(&sorted[..1], 0.99) - 1.0).abs() < 1e-9);
        assert!((median(vec![4.0, 1.0, 3.0, 2.0]) - 2.5).abs() < 1e-9);
    }
}
