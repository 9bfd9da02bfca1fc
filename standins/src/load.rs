//! `standins load`: open-loop load on running daemons.
//!
//! Programs start when they are due, however slow the earlier ones are, and latencies count from
//! the time at which a program was due. So a system that stalls shows the whole wait of everything
//! that it held up, and not only that of the few calls that were under way.

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
use crate::report::{Latency, Report};
use crate::run_program::{not_once, run_program};
use crate::script::{Mix, Script};

/// The most faults that are printed.
const MAX_PRINTED: usize = 20;

/// Put open-loop load on running daemons and print latencies by class.
///
/// Programs arrive at random with the given mean rate, whatever became of earlier ones. Latencies
/// count from the time at which a program was due, so that stalls are not left out. Each answer is
/// compared with what the engine stand-in was asked.
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
    /// the HTTP address of a plain stand-in, where each hold must then have run exactly once; may be
    /// repeated
    #[argh(option)]
    pub plain: Vec<SocketAddr>,
    /// programs that arrive in a second (10)
    #[argh(option, default = "10.0")]
    pub rate: f64,
    /// how long programs arrive, in seconds (30)
    #[argh(option, default = "30")]
    pub seconds: u64,
    /// the most programs under way; later ones wait, and their wait counts (5000)
    #[argh(option, default = "5_000")]
    pub max_running: usize,
    /// seeds arrivals and programs (1)
    #[argh(option, default = "1")]
    pub seed: u64,
    /// write a plot of the latencies to this SVG file
    #[argh(option)]
    pub plot: Option<PathBuf>,
}

/// What a run of load came to.
#[derive(Debug, Default)]
pub struct LoadResult {
    /// The table.
    pub report: Report,
    /// How late programs were started, which their latencies contain.
    pub start_delay: Latency,
    /// Holds and cancellations that did not run exactly once, with their counts.
    pub wrong_execution_counts: Vec<(String, u64)>,
    /// From the first arrival to the end of the last program.
    pub duration: Duration,
}

impl Load {
    /// Runs it, prints what came of it and writes the plot.
    ///
    /// # Errors
    ///
    /// When an entry is not ready, an answer is wrong or missing, or the plot can't be written.
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
            result.start_delay.ms_at(1.0)
        );
        println!(
            "programs finished {} of {}",
            report.finished, report.programs
        );
        for fault in report.faults.iter().take(MAX_PRINTED) {
            println!("fault: {fault}");
        }
        for (id, count) in result.wrong_execution_counts.iter().take(MAX_PRINTED) {
            println!("fault: {id} ran {count} times");
        }
        if let Some(path) = &self.plot {
            plot_latencies(report, path)?;
            println!("plot {}", path.display());
        }
        if report.finished == report.programs && result.wrong_execution_counts.is_empty() {
            return Ok(());
        }
        let text = "some programs did not finish as they must; see above";
        Err(Failure::Check(text.to_owned()))
    }

    /// Runs it and returns what came of it; it needs a running system.
    ///
    /// # Errors
    ///
    /// When no entry is ready, or a plain stand-in does not answer.
    pub async fn measure(&self) -> Result<LoadResult, Failure> {
        let balancer = Balancer::new(self.entry.iter().copied());
        let caller = Caller::new(balancer.clone());
        balancer.look(caller.client()).await;
        if balancer.ready().is_empty() {
            return Err(Failure::Check("no entry is ready".to_owned()));
        }
        let watch = balancer.watch(caller.client().clone());
        let watch = actix_rt::spawn(watch);
        let begun = Instant::now();
        let (report, start_delay, scripts) = self.arrive(&caller, begun).await;
        let duration = begun.elapsed();
        watch.abort();
        let wrong_execution_counts = if self.plain.is_empty() {
            Vec::new()
        } else {
            not_once(&scripts, &self.executions(&caller).await?)
        };
        Ok(LoadResult {
            report,
            start_delay,
            wrong_execution_counts,
            duration,
        })
    }

    /// Starts each program when it is due and waits for all of them.
    async fn arrive(&self, caller: &Caller, begun: Instant) -> (Report, Latency, Vec<Script>) {
        let run: u32 = rand::rng().random();
        let mut mix = Mix::new(&format!("load-{run:08x}"), self.seed);
        let mut rng = ChaCha12Rng::seed_from_u64(self.seed);
        let room = Rc::new(Semaphore::new(self.max_running.max(1)));
        let sums = Rc::new(RefCell::new((Report::default(), Latency::default())));
        let mut scripts = Vec::new();
        let mut tasks = Vec::new();
        let mut due = begun;
        let end = begun + Duration::from_secs(self.seconds);
        while due < end {
            actix_rt::time::sleep_until(due.into()).await;
            let script = mix.draw();
            scripts.push(script.clone());
            let (caller, room, sums) = (caller.clone(), Rc::clone(&room), Rc::clone(&sums));
            tasks.push(actix_rt::spawn(async move {
                let permit = room.acquire().await;
                let start_delay = due.elapsed();
                let record = run_program(&caller, &script, due).await;
                drop(permit);
                let mut sums = sums.borrow_mut();
                sums.0.add(record);
                sums.1.add(start_delay);
            }));
            due += gap(self.rate, &mut rng);
        }
        for task in tasks {
            let _ = task.await;
        }
        let (report, start_delay) = sums.take();
        (report, start_delay, scripts)
    }

    async fn executions(&self, caller: &Caller) -> Result<Vec<BTreeMap<String, u64>>, Failure> {
        let mut all = Vec::new();
        for plain in &self.plain {
            let url = format!("http://{plain}/executions");
            let failed = |err: String| Failure::Check(format!("{plain}: {err}"));
            let sent = caller.client().get(url).send().await;
            let mut response = sent.map_err(|err| failed(err.to_string()))?;
            let body = response.json().limit(256_000_000).await;
            all.push(body.map_err(|err| failed(err.to_string()))?);
        }
        Ok(all)
    }
}

/// The time to the next arrival of a Poisson process.
fn gap(rate: f64, rng: &mut ChaCha12Rng) -> Duration {
    let drawn: f64 = rng.random();
    let seconds = -(1.0 - drawn).ln() / rate.max(0.001);
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::from_hours(1))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn gaps_have_the_wanted_mean() {
        let mut rng = ChaCha12Rng::seed_from_u64(1);
        let sum: Duration = (0..10_000).map(|_| gap(50.0, &mut rng)).sum();
        assert!((190..210).contains(&sum.as_secs()), "{sum:?}");
    }
}
