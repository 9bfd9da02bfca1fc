//! Runs of the real decisions under random faults, on fixed seeds: those that once showed a fault,
//! and for safeguards one seed that shows its absence.

use clementinepick::safeguards::Safeguards;
use standins::chaos::{RunResult, run_seed};
use standins::chaos_faults::FAULT_NAMES;
use standins::chaos_world::WorldSettings;

/// The most steps of one run.
const MAX_STEPS: u64 = 20_000_000;

/// Seeds that broke a promise once; see the commits that mended them.
const ONCE_BROKEN: &[u64] = &[
    7, 9, 19, 38, 58, 67, 79, 99, 177, 236, 286, 299, 399, 473, 689, 761, 1_213, 1_790,
];

/// Safeguards that the random runs miss, with a seed that shows it.
const MISSED: &[(&str, u64)] = &[
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

/// Runs each of `jobs` on a thread of its own, a few at a time.
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
fn no_promise_is_broken_on_seeds_that_broke_one_once() {
    let ends = in_parallel(ONCE_BROKEN, |seed| run(*seed, Safeguards::default()));
    assert_eq!(ends.len(), ONCE_BROKEN.len());
    for end in &ends {
        assert_eq!(end.violation, None, "seed {}", end.seed);
        assert!(end.steps < MAX_STEPS, "seed {}", end.seed);
    }
    // The faults really struck, and programs really ran.
    let counted = |name: &str| -> u64 {
        ends.iter()
            .filter_map(|end| end.counts.by_name.get(name))
            .sum()
    };
    for name in [
        "kill", "kill-vm", "pause", "log-down", "cut", "zone", "shutdown",
    ] {
        assert!(counted(name) > 0, "{name}");
    }
    assert!(counted("fence_answered") > 0 && counted("partition_lost") > 0);
    let finished: u64 = ends
        .iter()
        .filter_map(|end| end.outcomes.get("finished"))
        .sum();
    assert!(finished > ends.len() as u64 * 20, "{finished}");
}

#[test]
fn the_same_seed_gives_the_same_run() {
    let digests = in_parallel(&[11, 11], |seed| run(*seed, Safeguards::default()).digest);
    assert_eq!(digests[0], digests[1]);
}

#[test]
fn without_a_safeguard_a_promise_is_broken() {
    let ends = in_parallel(MISSED, |(name, seed)| {
        let safeguards = Safeguards::without(name).expect("a safeguard");
        run(*seed, safeguards)
    });
    for ((name, seed), end) in MISSED.iter().zip(&ends) {
        assert!(end.violation.is_some(), "without {name}, seed {seed}");
    }
}
