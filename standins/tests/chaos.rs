//! Tests entries and sidecars under random faults on fixed seeds: those that once had a violation,
//! and for safeguards a seed that has one without them.

use clementinepick::safeguards::Safeguards;
use standins::chaos::{RunResult, run_seed};
use standins::chaos_faults::FAULT_NAMES;
use standins::chaos_world::WorldSettings;

/// The most steps of one run.
const MAX_STEPS: u64 = 20_000_000;

/// Seeds that once had a violation, which was fixed.
const REGRESSION_SEEDS: &[u64] = &[
    7, 9, 19, 38, 58, 67, 79, 99, 177, 236, 286, 299, 399, 473, 689, 761, 1_213, 1_790,
];

/// Safeguards, each with a seed that has a violation without it.
const VIOLATION_SEEDS: &[(&str, u64)] = &[
    ("call_started_record", 3),
    ("dedup", 8),
    ("epoch_check", 90),
    ("epoch_check", 783),
    ("fence", 1),
    ("lease_lapse", 147),
    ("read_back", 99),
    ("retain", 448),
    ("retry_only_idempotent", 0),
    ("revision_monotonic", 5),
    ("slice_on_record", 81),
];

fn run(seed: u64, safeguards: Safeguards) -> RunResult {
    let settings = WorldSettings {
        seed,
        safeguards,
        ..WorldSettings::default()
    };
    run_seed(settings, FAULT_NAMES, MAX_STEPS)
}

/// Runs `jobs` on a few threads and returns their results in order.
fn in_parallel<T: Sync, R: Send>(jobs: &[T], work: impl Fn(&T) -> R + Sync) -> Vec<R> {
    const THREADS: usize = 6;
    let per_thread = jobs.len().div_ceil(THREADS).max(1);
    std::thread::scope(|scope| {
        let running: Vec<_> = jobs
            .chunks(per_thread)
            .map(|chunk| scope.spawn(|| chunk.iter().map(&work).collect::<Vec<R>>()))
            .collect();
        let ended = running
            .into_iter()
            .map(|thread| thread.join().expect("no run panics"));
        ended.flatten().collect()
    })
}

#[test]
fn no_property_is_violated_on_regression_seeds() {
    let results = in_parallel(REGRESSION_SEEDS, |seed| run(*seed, Safeguards::default()));
    assert_eq!(results.len(), REGRESSION_SEEDS.len());
    for result in &results {
        assert_eq!(result.violation, None, "seed {}", result.seed);
        assert!(result.steps < MAX_STEPS, "seed {}", result.seed);
    }
    // Makes sure that the faults were injected and that programs ran.
    let counted = |name: &str| -> u64 {
        results
            .iter()
            .filter_map(|result| result.counts.by_name.get(name))
            .sum()
    };
    for name in [
        "kill", "kill-vm", "pause", "log-down", "cut", "zone", "shutdown",
    ] {
        assert!(counted(name) > 0, "{name}");
    }
    assert!(counted("fence_answered") > 0 && counted("partition_lost") > 0);
    let finished: u64 = results
        .iter()
        .filter_map(|result| result.outcomes.get("finished"))
        .sum();
    assert!(finished > results.len() as u64 * 20, "{finished}");
}

#[test]
fn the_same_seed_gives_the_same_run() {
    let digests = in_parallel(&[11, 11], |seed| run(*seed, Safeguards::default()).digest);
    assert_eq!(digests[0], digests[1]);
}

#[test]
fn without_a_safeguard_a_property_is_violated() {
    let results = in_parallel(VIOLATION_SEEDS, |(name, seed)| {
        let safeguards = Safeguards::without(name).expect("a known safeguard");
        run(*seed, safeguards)
    });
    for ((name, seed), result) in VIOLATION_SEEDS.iter().zip(&results) {
        assert!(result.violation.is_some(), "without {name}, seed {seed}");
    }
}
