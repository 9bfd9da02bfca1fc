//! `standins chaos`: long seeded runs of the real decisions under random faults.

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

/// After the last fault every program must have ended within this time.
const SETTLE_US: SpanUs = SpanUs::from_s(180);
/// After the last program has ended all engine memory must be free within this time.
const RELEASE_US: SpanUs = SpanUs::from_s(90);

/// Runs the real decisions of entries and sidecars in virtual time under random faults, and checks
/// what must always hold.
///
/// The same seed gives the same run, byte for byte. Exits with 1 when a promise is broken, and
/// prints the seed, the step and the trace that led there.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "chaos")]
pub struct Chaos {
    /// one seed to run
    #[argh(option)]
    pub seed: Option<u64>,
    /// seeds to run, as `A..B` (B not included)
    #[argh(option)]
    pub seeds: Option<String>,
    /// the most steps of a run (default 20000000)
    #[argh(option, default = "20_000_000")]
    pub steps: u64,
    /// faults to draw from, separated by commas; `none` for none (default: all)
    #[argh(option)]
    pub faults: Option<String>,
    /// a safeguard to leave out; then some seed must fail
    #[argh(option)]
    pub without: Option<String>,
    /// programs in a run (default 40)
    #[argh(option, default = "40")]
    pub programs: usize,
    /// threads over the seeds (default 6)
    #[argh(option, default = "6")]
    pub threads: usize,
    /// lines of the trace that are kept (default 400)
    #[argh(option, default = "400")]
    pub lines: usize,
    /// print the last lines of the trace also when nothing is wrong
    #[argh(switch)]
    pub trace: bool,
}

/// The end of one run.
#[derive(Debug, Clone)]
pub struct RunResult {
    /// The seed.
    pub seed: u64,
    /// The steps made.
    pub steps: u64,
    /// The promise that was broken, if one was.
    pub violation: Option<Violation>,
    /// What was counted.
    pub counts: Counts,
    /// Programs by how they ended.
    pub outcomes: BTreeMap<&'static str, u64>,
    /// The digest of the whole trace.
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
    let mut quiet_at: Option<TimeUs> = None;
    while world.step() && world.steps() < max_steps {
        if quiet_at.is_none() && world.all_ended() && world.now() > TimeUs(active_phase_us.0) {
            quiet_at = Some(world.now().after(RELEASE_US));
        }
        if quiet_at.is_some_and(|at| world.now() >= at) {
            world.check_memory_released();
            break;
        }
        if quiet_at.is_none() && world.now() > TimeUs(active_phase_us.0).after(SETTLE_US) {
            let stuck = world
                .callers()
                .iter()
                .find(|caller| caller.outcome.is_none());
            let stuck = stuck
                .map(|caller| caller.program.to_string())
                .unwrap_or_default();
            world
                .checks
                .fail("an end in time", format!("{stuck} has not ended"));
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

/// Reads `A..B`.
///
/// # Errors
///
/// What would have been right.
pub fn parse_seeds(text: &str) -> Result<std::ops::Range<u64>, String> {
    let bad = || format!("`{text}` is no range of seeds such as `0..100`");
    let (from, to) = text.split_once("..").ok_or_else(bad)?;
    Ok(from.parse().map_err(|_| bad())?..to.parse().map_err(|_| bad())?)
}

fn fault_names(args: &Chaos) -> Result<Vec<&'static str>, String> {
    let Some(list) = &args.faults else {
        return Ok(FAULT_NAMES.to_vec());
    };
    if list == "none" {
        return Ok(Vec::new());
    }
    let known = |name: &str| FAULT_NAMES.iter().find(|known| **known == name).copied();
    let names = list.split(',').map(|name| {
        known(name)
            .ok_or_else(|| format!("no fault `{name}`; there are {}", FAULT_NAMES.join(", ")))
    });
    names.collect()
}

impl Chaos {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// [`Failure::Check`] when a promise was broken or an argument is wrong.
    pub fn run(&self) -> Result<(), Failure> {
        let (template, seeds, names) = self.read().map_err(Failure::Check)?;
        let ends = run_seeds(&template, seeds, &names, self);
        match report(self, &ends) {
            0 => Ok(()),
            broken => Err(Failure::Check(format!(
                "{broken} seeds with a broken promise"
            ))),
        }
    }

    fn read(&self) -> Result<(WorldSettings, std::ops::Range<u64>, Vec<&'static str>), String> {
        let seeds = match (&self.seeds, self.seed) {
            (Some(range), None) => parse_seeds(range)?,
            (None, Some(seed)) => seed..seed + 1,
            _ => return Err("give one of --seed and --seeds".to_owned()),
        };
        let safeguards = match &self.without {
            None => Safeguards::default(),
            Some(name) => Safeguards::without(name).ok_or_else(|| {
                format!(
                    "no safeguard `{name}`; there are {}",
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
        Ok((template, seeds, fault_names(self)?))
    }
}

/// Runs the seeds on a few threads; the ends come back in the order of the seeds.
fn run_seeds(
    template: &WorldSettings,
    seeds: std::ops::Range<u64>,
    names: &[&str],
    args: &Chaos,
) -> Vec<RunResult> {
    let next = AtomicU64::new(seeds.start);
    let ends = Mutex::new(BTreeMap::new());
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
                    let mut end = run_seed(settings, names, args.steps);
                    if end.violation.is_none() && !args.trace {
                        end.trace.clear();
                    }
                    if let Ok(mut ends) = ends.lock() {
                        ends.insert(seed, end);
                    }
                }
            });
        }
    });
    ends.into_inner()
        .map(|ends| ends.into_values().collect())
        .unwrap_or_default()
}

fn report(args: &Chaos, ends: &[RunResult]) -> usize {
    let failed: Vec<&RunResult> = ends.iter().filter(|end| end.violation.is_some()).collect();
    if let Some(end) = failed
        .first()
        .copied()
        .or(ends.first().filter(|_| args.trace))
    {
        for line in &end.trace {
            println!("{line}");
        }
    }
    let mut by_name: BTreeMap<&str, u64> = BTreeMap::new();
    let mut outcomes: BTreeMap<&str, u64> = BTreeMap::new();
    for end in ends {
        for (name, count) in &end.counts.by_name {
            *by_name.entry(name).or_default() += count;
        }
        for (name, count) in &end.outcomes {
            *outcomes.entry(name).or_default() += count;
        }
    }
    for (name, count) in &by_name {
        println!("{name:<28} {count:>10}");
    }
    for (name, count) in &outcomes {
        println!("programs {name:<19} {count:>10}");
    }
    let steps: u64 = ends.iter().map(|end| end.steps).sum();
    let digest = ends
        .iter()
        .fold(0u64, |sum, end| sum.rotate_left(1) ^ end.digest);
    println!("{:<28} {steps:>10}", "steps");
    println!("trace digest {digest:016x}");
    for end in &failed {
        let Some(violation) = &end.violation else {
            continue;
        };
        println!(
            "seed {} step {}: {} broken: {}",
            end.seed, end.steps, violation.property, violation.detail
        );
    }
    println!(
        "{} seeds, {} with a broken promise",
        ends.len(),
        failed.len()
    );
    failed.len()
}
