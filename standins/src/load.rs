//! Generates open-loop load on running daemons: the command `standins load`.
//!
//! Programs start at their scheduled times regardless of earlier ones, and latencies count from
//! these times. This avoids coordinated omission: a stall shows in the latency of every program
//! that it delayed, not only of those that were running.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_rt::System;
use argh::FromArgs;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha12Rng;
use tokio::sync::Semaphore;

use crate::Failure;
use crate::balancer::Balancer;
use crate::caller::Caller;
use crate::plot::plot_latencies;
use crate::report::{LatencyHistogram, Report};
use crate::run_program::{find_not_run_once, run_program};
use crate::script::{Script, ScriptGenerator};

const MAX_PRINTED_FAULTS: usize = 20;

/// Put open-loop load on running daemons and print latencies by class.
///
/// Programs arrive at random times with the given mean rate, regardless of earlier ones. Latencies
/// count from the scheduled time of a program, so that they include stalls. Each response is
/// checked against the instructions in its request.
#[derive(FromArgs, Debug, Clone)]
#[argh(
    subcommand,
    name = "load",
    example = "{command_name} --entry 127.0.0.1:8080 --entry 127.0.0.1:8081 --rate 10",
    example = "{command_name} --entry 127.0.0.1:8080 --rate 40 --seconds 60 --plot latency.svg"
)]
pub struct Load {
    /// the HTTP address of an entry; may be repeated
    #[argh(option)]
    pub entry: Vec<SocketAddr>,
    /// the HTTP address of a plain stand-in, which must have run each hold and cancellation exactly
    /// once; may be repeated
    #[argh(option)]
    pub plain: Vec<SocketAddr>,
    /// mean number of programs that arrive per second (10)
    #[argh(option, default = "10.0")]
    pub rate: f64,
    /// period in which programs arrive, in seconds (30)
    #[argh(option, default = "30")]
    pub seconds: u64,
    /// maximum number of running programs; others wait, and their latency includes the wait (5000)
    #[argh(option, default = "5_000")]
    pub max_running: usize,
    /// seed of arrivals and programs (1)
    #[argh(option, default = "1")]
    pub seed: u64,
    /// write a plot of the latencies to this SVG file
    #[argh(option)]
    pub plot: Option<PathBuf>,
}

/// The result of a load run.
#[derive(Debug, Default)]
pub struct LoadResult {
    /// The latencies and counts by class.
    pub report: Report,
    /// The delays of program starts after their scheduled times, which the latencies include.
    pub start_delay: LatencyHistogram,
    /// Holds and cancellations that did not run exactly once, with the number of times they ran.
    pub wrong_execution_counts: Vec<(String, u64)>,
    /// The time from the start of the run to the end of the last program.
    pub duration: Duration,
}

impl Load {
    /// Runs the load, prints the result and writes the plot.
    ///
    /// # Errors
    ///
    /// Returns an error if no entry is ready, a program did not finish, a hold or cancellation did
    /// not run exactly once, or the plot can't be written.
    pub fn run(&self) -> Result<(), Failure> {
        let result = System::new().block_on(self.measure())?;
        let report = &result.report;
        print!("{report}");
        for (code, count) in &report.refusals {
            println!("refused as {code} {count}");
        }
        let tokens: u64 = report.rows.values().map(|row| row.tokens).sum();
        let took_s = result.duration.as_secs_f64();
        #[expect(
            clippy::cast_precision_loss,
            reason = "a rate is printed with one digit"
        )]
        let (programs_s, tokens_s) = (report.programs as f64 / took_s, tokens as f64 / took_s);
        println!("offered {:.1} programs/s for {} s", self.rate, self.seconds);
        println!("ended {programs_s:.1} programs/s, {tokens_s:.0} tokens/s over {took_s:.1} s");
        println!(
            "started late by up to {:.1} ms",
            result.start_delay.quantile_ms(1.0)
        );
        println!(
            "programs finished {} of {}",
            report.finished, report.programs
        );
        for fault in report.faults.iter().take(MAX_PRINTED_FAULTS) {
            println!("fault: {fault}");
        }
        for (id, count) in result
            .wrong_execution_counts
            .iter()
            .take(MAX_PRINTED_FAULTS)
        {
            println!("fault: {id} ran {count} times");
        }
        if let Some(path) = &self.plot {
            plot_latencies(report, path)?;
            println!("plot {}", path.display());
        }
        if report.finished == report.programs && result.wrong_execution_counts.is_empty() {
            return Ok(());
        }
        let text = "a program did not finish or an operation did not run exactly once; see above";
        Err(Failure::Check(text.to_owned()))
    }

    /// Runs the load and returns the result; must be called within an actix system.
    ///
    /// # Errors
    ///
    /// Returns an error if no entry is ready, or a plain stand-in does not return its executions.
    pub async fn measure(&self) -> Result<LoadResult, Failure> {
        let balancer = Balancer::new(self.entry.iter().copied());
        let caller = Caller::new(balancer.clone());
        balancer.check_readiness(caller.client()).await;
        if balancer.ready_entries().is_empty() {
            return Err(Failure::Check("no entry is ready".to_owned()));
        }
        let watch = balancer.watch(caller.client().clone());
        let watch = actix_rt::spawn(watch);
        let started_at = Instant::now();
        let (report, start_delay, scripts) = self.run_arrivals(&caller, started_at).await;
        let duration = started_at.elapsed();
        watch.abort();
        let wrong_execution_counts = if self.plain.is_empty() {
            Vec::new()
        } else {
            find_not_run_once(&scripts, &self.fetch_executions(&caller).await?)
        };
        Ok(LoadResult {
            report,
            start_delay,
            wrong_execution_counts,
            duration,
        })
    }

    /// Starts each program at its scheduled time and waits for all of them.
    async fn run_arrivals(
        &self,
        caller: &Caller,
        started_at: Instant,
    ) -> (Report, LatencyHistogram, Vec<Script>) {
        let run: u32 = rand::rng().random();
        let mut mix = ScriptGenerator::new(&format!("load-{run:08x}"), self.seed);
        let mut rng = ChaCha12Rng::seed_from_u64(self.seed);
        let running_limit = Rc::new(Semaphore::new(self.max_running.max(1)));
        let totals = Rc::new(RefCell::new((
            Report::default(),
            LatencyHistogram::default(),
        )));
        let mut scripts = Vec::new();
        let mut tasks = Vec::new();
        let mut due = started_at;
        let end = started_at + Duration::from_secs(self.seconds);
        while due < end {
            actix_rt::time::sleep_until(due.into()).await;
            let script = mix.next_script();
            scripts.push(script.clone());
            let (caller, running_limit, totals) = (
                caller.clone(),
                Rc::clone(&running_limit),
                Rc::clone(&totals),
            );
            tasks.push(actix_rt::spawn(async move {
                let permit = running_limit.acquire().await;
                let start_delay = due.elapsed();
                let record = run_program(&caller, &script, due).await;
                drop(permit);
                let mut totals = totals.borrow_mut();
                totals.0.add(record);
                totals.1.add(start_delay);
            }));
            due += arrival_interval(self.rate, &mut rng);
        }
        for task in tasks {
            let _ = task.await;
        }
        let (report, start_delay) = totals.take();
        (report, start_delay, scripts)
    }

    async fn fetch_executions(
        &self,
        caller: &Caller,
    ) -> Result<Vec<BTreeMap<String, u64>>, Failure> {
        let mut executions = Vec::new();
        for plain in &self.plain {
            let url = format!("http://{plain}/executions");
            let check_failure = |err: String| {
                Failure::Check(format!("failed to read executions from {plain}: {err}"))
            };
            let sent = caller.client().get(url).send().await;
            let mut response = sent.map_err(|err| check_failure(err.to_string()))?;
            let body = response.json().limit(256_000_000).await;
            executions.push(body.map_err(|err| check_failure(err.to_string()))?);
        }
        Ok(executions)
    }
}

/// Samples the time to the next arrival of a Poisson process.
fn arrival_interval(rate: f64, rng: &mut ChaCha12Rng) -> Duration {
    let drawn: f64 = rng.random();
    let seconds = -(1.0 - drawn).ln() / rate.max(0.001);
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::from_hours(1))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn arrival_intervals_have_the_requested_mean() {
        let mut rng = ChaCha12Rng::seed_from_u64(1);
        let sum: Duration = (0..10_000).map(|_| arrival_interval(50.0, &mut rng)).sum();
        assert!((190..210).contains(&sum.as_secs()), "{sum:?}");
    }
}
