//! Checks the metrics of the policy against regression bounds, on short runs with fixed seeds.
//!
//! The runs are deterministic, so only a change of the decisions can break a bound. The metrics of
//! long runs are in `docs/POLICY.md`.

use standins::policy::{PolicySettings, find_mix, run};
use standins::policy_result::{RunMetrics, median};

/// Returns one metric of a run.
type Metric = fn(&RunMetrics) -> f64;

const BASELINE_AND_POLICY: &[&str] = &["fifo", "clementinepick"];

/// Runs each policy briefly on two seeds.
fn short_runs(mix: &str, policies: &[&str], extra_changes: &[&str]) -> Vec<RunMetrics> {
    let run_policy = |policy: &&str| {
        let changes = ["horizon=400 s", "warmup=100 s"]
            .iter()
            .chain(extra_changes);
        let settings = PolicySettings {
            mix: mix.to_owned(),
            load: 0.9,
            seeds: vec![1, 2],
            policy: Some((*policy).to_owned()),
            changes: changes.map(|change| (*change).to_owned()).collect(),
            threads: 2,
            // Given, because the estimate would take most of the test's time.
            capacity_per_s: Some(if mix == "nyiramasuka" { 0.874 } else { 0.572 }),
        };
        run(&settings).expect("the mix and the settings are valid")
    };
    policies.iter().flat_map(run_policy).collect()
}

fn ratio(metrics: &[RunMetrics], metric: Metric) -> f64 {
    let median_for = |policy| {
        median(
            metrics
                .iter()
                .filter(|f| f.policy == policy)
                .map(metric)
                .collect(),
        )
    };
    median_for("clementinepick") / median_for("fifo")
}

fn assert_within_bounds(metrics: &[RunMetrics], bounds: &[(&str, Metric, f64)]) {
    let measured = bounds
        .iter()
        .map(|(name, metric, bound)| (name, ratio(metrics, *metric), bound));
    let violations: Vec<String> = measured
        .filter(|(_, ratio, bound)| ratio > *bound)
        .map(|(name, ratio, bound)| format!("{name}: ratio {ratio:.3} exceeds {bound}"))
        .collect();
    assert!(violations.is_empty(), "{violations:?}");
    let reused = ratio(metrics, |f| f.reused_tokens);
    assert!(reused >= 1.0, "reused tokens: {reused:.3}");
    let completed = ratio(metrics, |f| f.completed_per_s);
    assert!(completed >= 1.0, "turns completed a second: {completed:.3}");
}

#[test]
fn nyiramasuka_metrics_stay_within_bounds() {
    let metrics = short_runs("nyiramasuka", BASELINE_AND_POLICY, &[]);
    assert_within_bounds(
        &metrics,
        &[
            ("first class p95", |f| f.first_p95_s, 0.78),
            ("urgent p99", |f| f.urgent_p99_s, 0.12),
            ("mean", |f| f.mean_s, 0.78),
            ("last class p99", |f| f.last_p99_s, 0.75),
            ("wasted cache", |f| f.wasted_gb_s, 0.08),
        ],
    );
}

#[test]
fn limitworks_metrics_stay_within_bounds() {
    let metrics = short_runs("limitworks", BASELINE_AND_POLICY, &[]);
    assert_within_bounds(
        &metrics,
        &[
            ("first class p95", |f| f.first_p95_s, 0.7),
            ("urgent p99", |f| f.urgent_p99_s, 0.13),
            ("mean", |f| f.mean_s, 0.8),
            ("last class p99", |f| f.last_p99_s, 0.75),
            ("wasted cache", |f| f.wasted_gb_s, 0.08),
        ],
    );
}

// When an engine fails, its programs must continue on other engines, without repeating the lost
// calls more than a few times.
#[test]
fn an_engine_failure_fails_no_program_and_causes_few_retries() {
    let metrics = short_runs("nyiramasuka", &["clementinepick"], &["fault=true"]);
    for run in &metrics {
        assert_eq!(run.failed, 0, "seed {}", run.seed);
        assert!(run.retries < 20, "seed {}: {}", run.seed, run.retries);
    }
}

#[test]
fn the_same_seed_gives_the_same_metrics() {
    let runs = || short_runs("limitworks", &["clementinepick"], &["horizon=90 s"]);
    assert_eq!(runs(), runs());
    assert!(find_mix("no-such-mix").is_err());
}
