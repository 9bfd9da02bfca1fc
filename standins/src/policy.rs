//! The policy tool: drives the decisions in virtual time and sets them against the baselines.

use std::path::PathBuf;
use std::thread;

use argh::FromArgs;
use clementinepick::units::{SpanUs, TimeUs};
use thiserror::Error;

use crate::Failure;
use crate::policy_engine::EngineParameters;
use crate::policy_mixes::{limitworks, nyiramasuka};
use crate::policy_plot::plot_ratios;
use crate::policy_result::{RunMetrics, to_f64};
use crate::policy_run::Run;
use crate::policy_run_settings::{POLICIES, RunSettingError, RunSettings};
use crate::policy_table::format_table;
use crate::policy_workload::{AfterTurn, Mix, Turn, Work, engine_plans, plain_plans};

/// What the policy tool is asked to do.
#[derive(Debug, Clone)]
pub struct PolicySettings {
    /// `nyiramasuka` or `limitworks`.
    pub mix: String,
    /// Offered work over the capacity of the engines under `fifo`.
    pub load: f64,
    /// The seeds, each of them one run of each policy.
    pub seeds: Vec<u64>,
    /// The one policy to run; absent: all.
    pub policy: Option<String>,
    /// Changes of single settings, as `key=value`, for all policies.
    pub changes: Vec<String>,
    /// Threads over which the runs are spread.
    pub threads: usize,
    /// Programs a second under `fifo` at load 1; absent: estimated by a few runs.
    pub capacity_per_s: Option<f64>,
}

/// Drive the gate, the routing and the cache retention in virtual time, and set them against the
/// baselines. Prints a line of JSON for each run and a table of medians over the seeds.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "policy",
    example = "{command_name} --mix nyiramasuka --load 0.9 --seeds 1..10",
    example = "{command_name} --mix limitworks --policy clementinepick --set retain=ended"
)]
pub struct Policy {
    /// the workload: nyiramasuka or limitworks
    #[argh(option)]
    pub mix: String,
    /// offered work over the capacity of the engines under fifo (0.9)
    #[argh(option, default = "0.9")]
    pub load: f64,
    /// the seeds, first and last (1..10)
    #[argh(option, default = "String::from(\"1..10\")")]
    pub seeds: String,
    /// the one policy to run: fifo, least-loaded or clementinepick; all three by default
    #[argh(option)]
    pub policy: Option<String>,
    /// change a setting of the runs, as key=value
    #[argh(option, long = "set")]
    pub changes: Vec<String>,
    /// draw the ratios to fifo to this SVG file; fifo must be among the policies
    #[argh(option)]
    pub plot: Option<PathBuf>,
    /// threads over which the runs are spread (4)
    #[argh(option, default = "4")]
    pub threads: usize,
}

impl Policy {
    /// Runs the tool.
    ///
    /// # Errors
    ///
    /// When a name or setting is unknown.
    pub fn run(&self) -> Result<(), Failure> {
        let settings = PolicySettings {
            mix: self.mix.clone(),
            load: self.load,
            seeds: parse_seeds(&self.seeds)?,
            policy: self.policy.clone(),
            changes: self.changes.clone(),
            threads: self.threads,
            capacity_per_s: None,
        };
        let results = run(&settings)?;
        for metrics in &results {
            println!(
                "{}",
                serde_json::to_string(metrics).map_err(PolicyError::from)?
            );
        }
        println!("{}", format_table(&results));
        if let Some(path) = &self.plot {
            plot_ratios(&results, path)?;
            println!("plot {}", path.display());
        }
        Ok(())
    }
}

/// Why the policy tool can't run.
#[derive(Debug, Error)]
pub enum PolicyError {
    /// No mix of this name.
    #[error("no mix `{0}`; there are nyiramasuka and limitworks")]
    UnknownMix(String),
    /// No policy or setting of this name.
    #[error(transparent)]
    RunSettingError(#[from] RunSettingError),
    /// Figures that JSON can't hold.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// Seeds that can't be read.
    #[error("`{0}` is no range of seeds, such as `1..10`")]
    BadSeeds(String),
}

/// The seed of the run that estimates what `fifo` can carry.
const CAPACITY_SEED: u64 = 4_242;
/// How long programs arrive in that run.
const CAPACITY_HORIZON: SpanUs = SpanUs::from_s(400);
/// Runs after which the estimate has settled.
const CAPACITY_ROUNDS: u32 = 4;

/// Reads `A..B` as the seeds from A to B, both included.
///
/// # Errors
///
/// When the text is no range.
pub fn parse_seeds(text: &str) -> Result<Vec<u64>, PolicyError> {
    let bad = || PolicyError::BadSeeds(text.to_owned());
    let (first, last) = text.split_once("..").unwrap_or((text, text));
    let first: u64 = first.parse().map_err(|_| bad())?;
    let last: u64 = last.parse().map_err(|_| bad())?;
    if first > last {
        return Err(bad());
    }
    Ok((first..=last).collect())
}

/// The mix of a name.
///
/// # Errors
///
/// When there is none.
pub fn find_mix(name: &str) -> Result<Mix, PolicyError> {
    match name {
        "nyiramasuka" => Ok(nyiramasuka()),
        "limitworks" => Ok(limitworks()),
        _ => Err(PolicyError::UnknownMix(name.to_owned())),
    }
}

/// Runs all policies over all seeds; the runs come back in the order of policies and seeds.
///
/// # Errors
///
/// When a name or setting is unknown.
pub fn run(settings: &PolicySettings) -> Result<Vec<RunMetrics>, PolicyError> {
    let mix = find_mix(&settings.mix)?;
    let policies: Vec<&str> = match &settings.policy {
        Some(policy) => vec![policy],
        None => POLICIES.to_vec(),
    };
    let mut jobs = Vec::new();
    for policy in policies {
        let mut run_settings = RunSettings::of_policy(policy)?;
        for change in &settings.changes {
            run_settings.set(change)?;
        }
        jobs.extend(
            settings
                .seeds
                .iter()
                .map(|seed| (run_settings.clone(), *seed)),
        );
    }
    let programs_per_s = settings.load
        * settings
            .capacity_per_s
            .unwrap_or_else(|| capacity_per_s(&mix));
    Ok(run_jobs(
        &mix,
        settings.load,
        programs_per_s,
        &jobs,
        settings.threads,
    ))
}

fn run_jobs(
    mix: &Mix,
    load: f64,
    programs_per_s: f64,
    jobs: &[(RunSettings, u64)],
    threads: usize,
) -> Vec<RunMetrics> {
    let threads = threads.max(1);
    let one = |(run_settings, seed): &(RunSettings, u64)| {
        let until_us = TimeUs(run_settings.horizon_us.0);
        let mut plans = engine_plans(mix, *seed, programs_per_s, until_us);
        plans.extend(plain_plans(mix, *seed, load, until_us));
        Run::new(mix, run_settings.clone(), *seed, plans).finish()
    };
    let mut results: Vec<(usize, RunMetrics)> = thread::scope(|scope| {
        let work = |first: usize| {
            let mine = jobs.iter().enumerate().skip(first).step_by(threads);
            mine.map(|(at, job)| (at, one(job))).collect::<Vec<_>>()
        };
        let handles: Vec<_> = (0..threads)
            .map(|first| scope.spawn(move || work(first)))
            .collect();
        let joined = handles.into_iter().map(|handle| match handle.join() {
            Ok(list) => list,
            Err(panic) => std::panic::resume_unwind(panic),
        });
        joined.flatten().collect()
    });
    results.sort_by_key(|(at, _)| *at);
    results.into_iter().map(|(_, metrics)| metrics).collect()
}

/// Programs a second that the engines can carry under `fifo`: the time that their calls take of an
/// engine with a full batch, with as much of their prompts from the cache as `fifo` gets at that
/// very load.
///
/// The more load, the less `fifo` finds in its caches, so the estimate is a fixed point, found in a
/// few runs of one seed.
#[must_use]
pub fn capacity_per_s(mix: &Mix) -> f64 {
    let mut fifo = match RunSettings::of_policy("fifo") {
        Ok(run_settings) => run_settings,
        Err(error) => unreachable!("fifo is a policy: {error}"),
    };
    fifo.horizon_us = CAPACITY_HORIZON;
    let until_us = TimeUs(CAPACITY_HORIZON.0);
    let mut per_s = f64::from(mix.engines) / program_engine_s(mix, 0.0);
    for _ in 0..CAPACITY_ROUNDS {
        let plans = engine_plans(mix, CAPACITY_SEED, per_s, until_us);
        let metrics = Run::new(mix, fifo.clone(), CAPACITY_SEED, plans).finish();
        let reused = metrics.reused_tokens / metrics.prompt_tokens.max(1.0);
        per_s = f64::from(mix.engines) / program_engine_s(mix, reused);
    }
    per_s
}

/// The time that a program takes of an engine with a full batch, on average.
fn program_engine_s(mix: &Mix, reused: f64) -> f64 {
    let shape = EngineParameters::default();
    let plans = engine_plans(mix, CAPACITY_SEED, 10.0, TimeUs(CAPACITY_HORIZON.0));
    let engine_us: f64 = plans
        .iter()
        .map(|plan| match &plan.work {
            Work::Turns {
                system_tokens,
                turns,
            } => chain_us(to_f64(system_tokens.0), turns, reused, &shape),
            Work::Plain { .. } => 0.0,
        })
        .sum();
    engine_us / 1e6 / to_f64(plans.len() as u64)
}

fn chain_us(before: f64, turns: &[Turn], reused: f64, shape: &EngineParameters) -> f64 {
    let batch = to_f64(shape.max_running as u64);
    let output_token_us = to_f64(shape.step_us) / batch + to_f64(shape.sequence_us);
    let (mut length, mut sum) = (before, 0.0);
    for turn in turns {
        length += to_f64(turn.input_tokens.0);
        sum += length * (1.0 - reused) * to_f64(shape.prompt_token_us);
        length += to_f64(turn.output_tokens.0);
        sum += to_f64(turn.output_tokens.0) * output_token_us;
        if let AfterTurn::Fork(agents) = &turn.after {
            let agents = agents
                .iter()
                .map(|agent| chain_us(length, agent, reused, shape));
            sum += agents.sum::<f64>();
        }
    }
    sum
}
