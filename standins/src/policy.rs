//! Simulates the scheduling decisions in virtual time and compares them with baseline policies.

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
use crate::policy_run::Simulation;
use crate::policy_run_settings::{POLICIES, RunSettingError, RunSettings};
use crate::policy_table::format_table;
use crate::policy_workload::{AfterTurn, Mix, Turn, Work, engine_plans, plain_plans};

/// The settings of a comparison.
#[derive(Debug, Clone)]
pub struct PolicySettings {
    /// The workload: `nyiramasuka` or `limitworks`.
    pub mix: String,
    /// The offered load as a fraction of the engines' capacity under `fifo`.
    pub load: f64,
    /// The seeds; each policy runs once per seed.
    pub seeds: Vec<u64>,
    /// The policy to run, or all policies if absent.
    pub policy: Option<String>,
    /// Overrides of run settings for all policies, as `key=value`.
    pub changes: Vec<String>,
    /// The number of threads that execute runs.
    pub threads: usize,
    /// The arrival rate in programs per second that `fifo` sustains, or absent to estimate it.
    pub capacity_per_s: Option<f64>,
}

/// Simulate the admission queue, the routing and the cache retention in virtual time, and compare
/// them with baseline policies. Prints a line of JSON for each run and a table of medians over the
/// seeds.
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
    /// offered load as a fraction of the engines' capacity under fifo (0.9)
    #[argh(option, default = "0.9")]
    pub load: f64,
    /// first and last seed, both included (1..10)
    #[argh(option, default = "String::from(\"1..10\")")]
    pub seeds: String,
    /// the policy to run: fifo, least-loaded or clementinepick; all three by default
    #[argh(option)]
    pub policy: Option<String>,
    /// override a setting of the runs, as key=value; may be repeated
    #[argh(option, long = "set")]
    pub changes: Vec<String>,
    /// write a plot of the ratios to fifo to this SVG file; fifo must be among the policies
    #[argh(option)]
    pub plot: Option<PathBuf>,
    /// number of threads that execute runs (4)
    #[argh(option, default = "4")]
    pub threads: usize,
}

impl Policy {
    /// Runs the comparison and prints its results.
    ///
    /// # Errors
    ///
    /// Returns an error if a mix, policy, setting or range of seeds is invalid, or if the plot
    /// can't be written.
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

/// An error of the policy tool.
#[derive(Debug, Error)]
pub enum PolicyError {
    /// The name of the mix is unknown.
    #[error("unknown mix `{0}`: expected nyiramasuka or limitworks")]
    UnknownMix(String),
    /// A policy or a run setting is invalid.
    #[error(transparent)]
    RunSettingError(#[from] RunSettingError),
    /// The metrics can't be serialized.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The range of seeds can't be parsed.
    #[error("invalid range of seeds `{0}`: expected a range such as `1..10`")]
    BadSeeds(String),
}

/// The seed of the runs that estimate the capacity under `fifo`.
const CAPACITY_SEED: u64 = 4_242;
/// The arrival period of these runs.
const CAPACITY_HORIZON: SpanUs = SpanUs::from_s(400);
/// The number of fixed-point iterations of the estimate.
const CAPACITY_ITERATIONS: u32 = 4;

/// Parses `A..B` as the seeds from A to B, both included, and `A` as a single seed.
///
/// # Errors
///
/// Returns an error if the text is not a range or A is above B.
pub fn parse_seeds(text: &str) -> Result<Vec<u64>, PolicyError> {
    let invalid = || PolicyError::BadSeeds(text.to_owned());
    let (first, last) = text.split_once("..").unwrap_or((text, text));
    let first: u64 = first.parse().map_err(|_| invalid())?;
    let last: u64 = last.parse().map_err(|_| invalid())?;
    if first > last {
        return Err(invalid());
    }
    Ok((first..=last).collect())
}

/// Returns the mix with the given name.
///
/// # Errors
///
/// Returns an error if the name is unknown.
pub fn find_mix(name: &str) -> Result<Mix, PolicyError> {
    match name {
        "nyiramasuka" => Ok(nyiramasuka()),
        "limitworks" => Ok(limitworks()),
        _ => Err(PolicyError::UnknownMix(name.to_owned())),
    }
}

/// Runs the policies over all seeds, and returns the metrics ordered by policy and seed.
///
/// # Errors
///
/// Returns an error if a mix, policy or setting is unknown.
pub fn run(settings: &PolicySettings) -> Result<Vec<RunMetrics>, PolicyError> {
    let mix = find_mix(&settings.mix)?;
    let policies: Vec<&str> = match &settings.policy {
        Some(policy) => vec![policy],
        None => POLICIES.to_vec(),
    };
    let mut runs = Vec::new();
    for policy in policies {
        let mut run_settings = RunSettings::for_policy(policy)?;
        for change in &settings.changes {
            run_settings.set(change)?;
        }
        runs.extend(
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
    Ok(execute_runs(
        &mix,
        settings.load,
        programs_per_s,
        &runs,
        settings.threads,
    ))
}

fn execute_runs(
    mix: &Mix,
    load: f64,
    programs_per_s: f64,
    runs: &[(RunSettings, u64)],
    threads: usize,
) -> Vec<RunMetrics> {
    let threads = threads.max(1);
    let execute = |(run_settings, seed): &(RunSettings, u64)| {
        let until_us = TimeUs(run_settings.horizon_us.0);
        let mut plans = engine_plans(mix, *seed, programs_per_s, until_us);
        plans.extend(plain_plans(mix, *seed, load, until_us));
        Simulation::new(mix, run_settings.clone(), *seed, plans).finish()
    };
    let mut results: Vec<(usize, RunMetrics)> = thread::scope(|scope| {
        let run_share = |first: usize| {
            let share = runs.iter().enumerate().skip(first).step_by(threads);
            share
                .map(|(index, one_run)| (index, execute(one_run)))
                .collect::<Vec<_>>()
        };
        let handles: Vec<_> = (0..threads)
            .map(|first| scope.spawn(move || run_share(first)))
            .collect();
        let joined = handles.into_iter().map(|handle| match handle.join() {
            Ok(list) => list,
            Err(panic) => std::panic::resume_unwind(panic),
        });
        joined.flatten().collect()
    });
    results.sort_by_key(|(index, _)| *index);
    results.into_iter().map(|(_, metrics)| metrics).collect()
}

/// Estimates the arrival rate, in programs per second, that the engines sustain under `fifo` with
/// full batches.
///
/// The rate depends on the share of prompt tokens that `fifo` finds in its caches, which falls as
/// the rate rises, so the estimate iterates to a fixed point.
#[must_use]
pub fn capacity_per_s(mix: &Mix) -> f64 {
    let mut fifo = match RunSettings::for_policy("fifo") {
        Ok(run_settings) => run_settings,
        Err(error) => unreachable!("the policy fifo must exist: {error}"),
    };
    fifo.horizon_us = CAPACITY_HORIZON;
    let until_us = TimeUs(CAPACITY_HORIZON.0);
    let mut rate_per_s = f64::from(mix.engines) / mean_program_engine_s(mix, 0.0);
    for _ in 0..CAPACITY_ITERATIONS {
        let plans = engine_plans(mix, CAPACITY_SEED, rate_per_s, until_us);
        let metrics = Simulation::new(mix, fifo.clone(), CAPACITY_SEED, plans).finish();
        let reused_share = metrics.reused_tokens / metrics.prompt_tokens.max(1.0);
        rate_per_s = f64::from(mix.engines) / mean_program_engine_s(mix, reused_share);
    }
    rate_per_s
}

/// Returns the mean engine time of a program in seconds, with full batches.
fn mean_program_engine_s(mix: &Mix, reused_share: f64) -> f64 {
    let parameters = EngineParameters::default();
    let plans = engine_plans(mix, CAPACITY_SEED, 10.0, TimeUs(CAPACITY_HORIZON.0));
    let engine_us: f64 = plans
        .iter()
        .map(|plan| match &plan.work {
            Work::Turns {
                system_tokens,
                turns,
            } => chain_engine_us(to_f64(system_tokens.0), turns, reused_share, &parameters),
            Work::Plain { .. } => 0.0,
        })
        .sum();
    engine_us / 1e6 / to_f64(plans.len() as u64)
}

fn chain_engine_us(
    initial_tokens: f64,
    turns: &[Turn],
    reused_share: f64,
    parameters: &EngineParameters,
) -> f64 {
    let batch = to_f64(parameters.max_running as u64);
    let output_token_us = to_f64(parameters.step_us) / batch + to_f64(parameters.sequence_us);
    let (mut context_tokens, mut total_us) = (initial_tokens, 0.0);
    for turn in turns {
        context_tokens += to_f64(turn.input_tokens.0);
        total_us += context_tokens * (1.0 - reused_share) * to_f64(parameters.prompt_token_us);
        context_tokens += to_f64(turn.output_tokens.0);
        total_us += to_f64(turn.output_tokens.0) * output_token_us;
        if let AfterTurn::Fork(agents) = &turn.after {
            let agents = agents
                .iter()
                .map(|agent| chain_engine_us(context_tokens, agent, reused_share, parameters));
            total_us += agents.sum::<f64>();
        }
    }
    total_us
}
