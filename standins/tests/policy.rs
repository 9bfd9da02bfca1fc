//! Regression bounds on the figures of the policy, on a short fixed set of seeds.
//!
//! The runs are deterministic, so a bound is broken by a change of the decisions and by nothing
//! else. The figures of long runs stand in `docs/POLICY.md`.

use standins::policy::{PolicySettings, find_mix, run};
use standins::policy_result::{RunMetrics, median};

/// Reads one figure.
type Read = fn(&RunMetrics) -> f64;

const BOTH: &[&str] = &["fifo", "clementinepick"];

/// Short runs of the baseline and of the decisions.
fn short_runs(mix: &str, policies: &[&str], more: &[&str]) -> Vec<RunMetrics> {
    let one = |policy: &&str| {
        let changes = ["horizon=400 s", "warmup=100 s"].iter().chain(more);
        let settings = PolicySettings {
            mix: mix.to_owned(),
            load: 0.9,
            seeds: vec![1, 2],
            policy: Some((*policy).to_owned()),
            changes: changes.map(|change| (*change).to_owned()).collect(),
            threads: 2,
            // Measured once: to estimate it anew would take most of the time.
            capacity_per_s: Some(if mix == "nyiramasuka" { 0.874 } else { 0.572 }),
        };
        run(&settings).expect("a mix and settings that exist")
    };
    policies.iter().flat_map(one).collect()
}

fn ratio(figures: &[RunMetrics], read: Read) -> f64 {
    let of = |policy| {
        median(
            figures
                .iter()
                .filter(|f| f.policy == policy)
                .map(read)
                .collect(),
        )
    };
    of("clementinepick") / of("fifo")
}

fn check(figures: &[RunMetrics], bounds: &[(&str, Read, f64)]) {
    let measured = bounds
        .iter()
        .map(|(name, read, most)| (name, ratio(figures, *read), most));
    let broken: Vec<String> = measured
        .filter(|(_, ratio, most)| ratio > *most)
        .map(|(name, ratio, most)| format!("{name}: {ratio:.3} is over {most}"))
        .collect();
    assert!(broken.is_empty(), "{broken:?}");
    let reused = ratio(figures, |f| f.reused_tokens);
    assert!(reused >= 1.0, "reused tokens: {reused:.3}");
    let completed = ratio(figures, |f| f.completed_per_s);
    assert!(completed >= 1.0, "turns completed a second: {completed:.3}");
}

#[test]
fn nyiramasuka_keeps_its_bounds() {
    let figures = short_runs("nyiramasuka", BOTH, &[]);
    check(
        &figures,
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
fn limitworks_keeps_its_bounds() {
    let figures = short_runs("limitworks", BOTH, &[]);
    check(
        &figures,
        &[
            ("first class p95", |f| f.first_p95_s, 0.7),
            ("urgent p99", |f| f.urgent_p99_s, 0.13),
            ("mean", |f| f.mean_s, 0.8),
            ("last class p99", |f| f.last_p99_s, 0.75),
            ("wasted cache", |f| f.wasted_gb_s, 0.08),
        ],
    );
}

// An engine fails for a third of the run. Its programs go on elsewhere: none of them fails, and
// each call that was lost is sent again a few times at most.
#[test]
fn a_failed_engine_costs_no_program_and_raises_no_storm_of_retries() {
    let figures = short_runs("nyiramasuka", &["clementinepick"], &["fault=true"]);
    for run in &figures {
        assert_eq!(run.failed, 0, "seed {}", run.seed);
        assert!(run.retries < 20, "seed {}: {}", run.seed, run.retries);
    }
}

#[test]
fn the_same_seed_gives_the_same_figures() {
    let runs = || short_runs("limitworks", &["clementinepick"], &["horizon=90 s"]);
    assert_eq!(runs(), runs());
    assert!(find_mix("no-such-mix").is_err());
}
