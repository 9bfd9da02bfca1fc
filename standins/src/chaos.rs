//! Implements `standins chaos`, which simulates entries and sidecars under random faults and checks
//! what must always hold.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

use argh::FromArgs;
use clementinepick::safeguards::Safeguards;
use clementinepick::units::{SpanUs, TimeUs};

use crate::chaos_callers::ProgramOutcome;
use crate::chaos_checks::Violation;
use crate::chaos_faults::{FAULT_NAMES, draw_faults};
use crate::chaos_world::{Counts, World, WorldSettings};
use crate::failure::Failure;

/// The time after the last fault within which every program must end.
const COMPLETION_TIMEOUT_US: SpanUs = SpanUs::from_s(180);
/// The time after the end of the last program within which all engine memory must be freed.
const RELEASE_TIMEOUT_US: SpanUs = SpanUs::from_s(90);

/// Runs the logic of entries and sidecars in virtual time under random faults, and checks what must
/// always hold.
///
/// The same seed gives the same run, byte for byte. Exits with 1 when a check fails, and prints the
/// seed, the step and the trace up to there.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "chaos")]
pub struct Chaos {
    /// one seed to run
    #[argh(option)]
    pub seed: Option<u64>,
    /// seeds to run, as `A..B` (B not included)
    #[argh(option)]
    pub seeds: Option<String>,
    /// maximum steps of a run (default 20000000)
    #[argh(option, default = "20_000_000")]
    pub steps: u64,
    /// faults to draw from, separated by commas; `none` for none (default: all)
    #[argh(option)]
    pub faults: Option<String>,
    /// a safeguard to disable; then some seed must fail
    #[argh(option)]
    pub without: Option<String>,
    /// programs in a run (default 40)
    #[argh(option, default = "40")]
    pub programs: usize,
    /// threads that run the seeds (default 6)
    #[argh(option, default = "6")]
    pub threads: usize,
    /// lines of the trace that are kept (default 400)
    #[argh(option, default = "400")]
    pub lines: usize,
    /// print the last lines of the trace even if no check fails
    #[argh(switch)]
    pub trace: bool,
}

/// The result of one run.
#[derive(Debug, Clone)]
pub struct RunResult {
    /// The seed of the run.
    pub seed: u64,
    /// The number of simulated events.
    pub steps: u64,
    /// The property that was violated, if any.
    pub violation: Option<Violation>,
    /// How often events of each kind occurred.
    pub counts: Counts,
    /// The number of programs by outcome.
    pub outcomes: BTreeMap<&'static str, u64>,
    /// The digest of the whole trace, equal for equal runs.
    pub digest: u64,
    /// The last lines of the trace.
    pub trace: Vec<String>,
}

/// Runs one seed.
#[must_use]
pub fn run_seed(settings: WorldSettings, fault_names: &[&str], max_steps: u64) -> RunResult {
    let seed = settings.seed;
    let active_phase_us = settings.active_phase_us;
    let faults = draw_faults(&settings, fault_names);
    let mut world = World::new(settings, faults);
    let mut release_deadline_us: Option<TimeUs> = None;
    while world.step() && world.steps() < max_steps {
        if release_deadline_us.is_none()
            && world.all_ended()
            && world.now() > TimeUs(active_phase_us.0)
        {
            release_deadline_us = Some(world.now().after(RELEASE_TIMEOUT_US));
        }
        if release_deadline_us.is_some_and(|at| world.now() >= at) {
            world.check_memory_released();
            break;
        }
        if release_deadline_us.is_none()
            && world.now() > TimeUs(active_phase_us.0).after(COMPLETION_TIMEOUT_US)
        {
            let unfinished = world
                .callers()
                .iter()
                .find(|caller| caller.outcome.is_none());
            let unfinished = unfinished
                .map(|caller| caller.program.to_string())
                .unwrap_or_default();
            world
                .checks
                .fail("an end in time", format!("{unfinished} has not ended"));
            break;
        }
    }
    let mut outcomes = BTreeMap::new();
    for caller in world.callers() {
        let name = match caller.outcome {
            Some(ProgramOutcome::Finished) => "finished",
            Some(ProgramOutcome::Refused) => "refused",
            Some(ProgramOutcome::Unknown) => "unknown",
            None => "open",
        };
        *outcomes.entry(name).or_default() += 1;
    }
    RunResult {
        seed,
        steps: world.steps(),
        violation: world.checks.violation.clone(),
        counts: world.counts.clone(),
        outcomes,
        digest: world.trace_digest(),
        trace: world.trace().cloned().collect(),
    }
}

/// Parses a range of seeds, `A..B`.
///
/// # Errors
///
/// Returns a message that names the expected format.
pub fn parse_seeds(text: &str) -> Result<std::ops::Range<u64>, String> {
    let invalid = || format!("`{text}` is not a range of seeds such as `0..100`");
    let (from, to) = text.split_once("..").ok_or_else(invalid)?;
    Ok(from.parse().map_err(|_| invalid())?..to.parse().map_err(|_| invalid())?)
}

fn parse_fault_names(args: &Chaos) -> Result<Vec<&'static str>, String> {
    let Some(list) = &args.faults else {
        return Ok(FAULT_NAMES.to_vec());
    };
    if list == "none" {
        return Ok(Vec::new());
    }
    let known = |name: &str| FAULT_NAMES.iter().find(|known| **known == name).copied();
    let names = list.split(',').map(|name| {
        known(name).ok_or_else(|| {
            format!(
                "unknown fault `{name}`; known faults: {}",
                FAULT_NAMES.join(", ")
            )
        })
    });
    names.collect()
}

impl Chaos {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::Check`] if a check fails or an argument is invalid.
    pub fn run(&self) -> Result<(), Failure> {
        let (template, seeds, names) = self.parse_arguments().map_err(Failure::Check)?;
        let results = run_seeds(&template, seeds, &names, self);
        match print_report(self, &results) {
            0 => Ok(()),
            failed_seeds => Err(Failure::Check(format!(
                "{failed_seeds} seeds with a violation"
            ))),
        }
    }

    fn parse_arguments(
        &self,
    ) -> Result<(WorldSettings, std::ops::Range<u64>, Vec<&'static str>), String> {
        let seeds = match (&self.seeds, self.seed) {
            (Some(range), None) => parse_seeds(range)?,
            (None, Some(seed)) => seed..seed + 1,
            _ => return Err("specify either --seed or --seeds".to_owned()),
        };
        let safeguards = match &self.without {
            None => Safeguards::default(),
            Some(name) => Safeguards::without(name).ok_or_else(|| {
                format!(
                    "unknown safeguard `{name}`; known safeguards: {}",
                    Safeguards::NAMES.join(", ")
                )
            })?,
        };
        let template = WorldSettings {
            programs: self.programs,
            trace_lines: self.lines,
            safeguards,
            ..WorldSettings::default()
        };
        Ok((template, seeds, parse_fault_names(self)?))
    }
}

/// Runs the seeds on several threads; returns the results in the order of the seeds.
fn run_seeds(
    template: &WorldSettings,
    seeds: std::ops::Range<u64>,
    names: &[&str],
    args: &Chaos,
) -> Vec<RunResult> {
    let next = AtomicU64::new(seeds.start);
    let results = Mutex::new(BTreeMap::new());
    std::thread::scope(|scope| {
        for _ in 0..args.threads.max(1) {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= seeds.end {
                        return;
                    }
                    let settings = WorldSettings {
                        seed,
                        ..template.clone()
                    };
                    let mut result = run_seed(settings, names, args.steps);
                    if result.violation.is_none() && !args.trace {
                        result.trace.clear();
                    }
                    if let Ok(mut results) = results.lock() {
                        results.insert(seed, result);
                    }
                }
            });
        }
    });
    results
        .into_inner()
        .map(|results| results.into_values().collect())
        .unwrap_or_default()
}

fn print_report(args: &Chaos, results: &[RunResult]) -> usize {
    let failed: Vec<&RunResult> = results
        .iter()
        .filter(|result| result.violation.is_some())
        .collect();
    if let Some(result) = failed
        .first()
        .copied()
        .or(results.first().filter(|_| args.trace))
    {
        for line in &result.trace {
            println!("{line}");
        }
    }
    let mut by_name: BTreeMap<&str, u64> = BTreeMap::new();
    let mut outcomes: BTreeMap<&str, u64> = BTreeMap::new();
    for result in results {
        for (name, count) in &result.counts.by_name {
            *by_name.entry(name).or_default() += count;
        }
        for (name, count) in &result.outcomes {
            *outcomes.entry(name).or_default() += count;
        }
    }
    for (name, count) in &by_name {
        println!("{name:<28} {count:>10}");
    }
    for (name, count) in &outcomes {
        println!("programs {name:<19} {count:>10}");
    }
    let steps: u64 = results.iter().map(|result| result.steps).sum();
    let digest = results
        .iter()
        .fold(0u64, |sum, result| sum.rotate_left(1) ^ result.digest);
    println!("{:<28} {steps:>10}", "steps");
    println!("trace digest {digest:016x}");
    for result in &failed {
        let Some(violation) = &result.violation else {
            continue;
        };
        println!(
            "seed {} step {}: property `{}` violated: {}",
            result.seed, result.steps, violation.property, violation.detail
        );
    }
    println!("{} seeds, {} with a violation", results.len(), failed.len());
    failed.len()
}
