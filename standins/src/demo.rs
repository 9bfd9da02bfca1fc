//! Implements `standins demo`: runs programs against a small deployment and verifies each response.

use std::cell::RefCell;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use actix_rt::System;
use argh::FromArgs;
use clementinepick::units::Tokens;
use futures_util::future::join_all;

use crate::Failure;
use crate::caller::Caller;
use crate::deployment::{Deployment, DeploymentSettings};
use crate::http_plain::PlainHost;
use crate::report::Report;
use crate::run_program::{find_not_run_once, run_program};
use crate::script::{Script, ScriptGenerator};

/// The maximum number of faults printed.
const MAX_PRINTED_FAULTS: usize = 20;

/// Run a whole small deployment in this process, on loopback ports, and programs through it: two
/// entries in two availability zones, engines and a plain service with their sidecars, and the log.
///
/// Each answer is compared with what the engine was asked, and each seat hold must have run exactly
/// once. The exit code is 0 only if nothing is missing, mixed or doubled.
#[derive(FromArgs, Debug, Clone)]
#[argh(
    subcommand,
    name = "demo",
    example = "{command_name}",
    example = "{command_name} --roll"
)]
pub struct Demo {
    /// how many programs (200)
    #[argh(option, default = "200")]
    pub programs: usize,
    /// how many programs run at a time (50)
    #[argh(option, default = "50")]
    pub concurrency: usize,
    /// how many engines (4)
    #[argh(option, default = "4")]
    pub engines: usize,
    /// seeds what the programs do (1)
    #[argh(option, default = "1")]
    pub seed: u64,
    /// how long engine memory may stay held after the last program, in seconds; longer than the
    /// documents' lease (45)
    #[argh(option, default = "45")]
    pub release_s: u64,
    /// replace all processes, one after the other, while programs run; the programs go on until
    /// that is done
    #[argh(switch)]
    pub roll: bool,
}

/// The result of a demo run.
#[derive(Debug, Default)]
pub struct DemoResult {
    /// The measurements by class, and the faults.
    pub report: Report,
    /// The number of holds and cancellations, and those that did not run exactly once with the number
    /// of times they ran.
    pub run_once: (usize, Vec<(String, u64)>),
    /// The engine memory still in use after all programs ended, in tokens.
    pub held_tokens: Tokens,
    /// The number of calls that entries retried on another backend server.
    pub system_retries: u64,
    /// The number of processes replaced by the rolling restart.
    pub replaced: usize,
    /// The time that the programs took.
    pub took: Duration,
}

impl DemoResult {
    /// Returns whether all programs finished without faults, each operation ran exactly once and no
    /// engine memory is in use.
    #[must_use]
    pub fn is_success(&self) -> bool {
        let report = &self.report;
        report.finished == report.programs
            && report.faults.is_empty()
            && self.run_once.1.is_empty()
            && self.held_tokens == Tokens(0)
    }
}

impl Demo {
    /// Runs the demo and prints its result.
    ///
    /// # Errors
    ///
    /// Returns an error if the deployment fails or the result is not a success.
    pub fn run(&self) -> Result<(), Failure> {
        let result = self.measure()?;
        let (report, once) = (&result.report, &result.run_once);
        print!("{report}");
        println!("sub-agents {}", report.sub_agents);
        for (code, count) in &report.refusals {
            println!("refused as {code} {count}");
        }
        println!(
            "calls tried again inside the system {}",
            result.system_retries
        );
        if self.roll {
            println!("processes replaced under load {}", result.replaced);
        }
        println!(
            "holds and cancellations {}, not run exactly once {}",
            once.0,
            once.1.len()
        );
        println!(
            "engine memory held after the last program {}",
            result.held_tokens
        );
        println!("took {:.1} s", result.took.as_secs_f64());
        println!(
            "programs finished {} of {}",
            report.finished, report.programs
        );
        for fault in report.faults.iter().take(MAX_PRINTED_FAULTS) {
            println!("fault: {fault}");
        }
        for (id, count) in once.1.iter().take(MAX_PRINTED_FAULTS) {
            println!("fault: {id} ran {count} times");
        }
        if result.is_success() {
            return Ok(());
        }
        let text = "a program failed, an operation did not run exactly once, or engine memory is still in use; see above";
        Err(Failure::Check(text.to_owned()))
    }

    /// Runs the demo and returns its result.
    ///
    /// # Errors
    ///
    /// Returns an error if the deployment fails to start or to shut down.
    pub fn measure(&self) -> Result<DemoResult, Failure> {
        let settings = DeploymentSettings {
            engines: self.engines,
            ..DeploymentSettings::default()
        };
        let deployment = Arc::new(Deployment::start(&settings)?);
        let result = System::new().block_on(self.run_on(&deployment));
        let deployment = Arc::into_inner(deployment)
            .ok_or_else(|| Failure::Check("the deployment is still in use".to_owned()))?;
        let result = result?;
        deployment.stop()?;
        Ok(result)
    }

    async fn run_on(&self, deployment: &Arc<Deployment>) -> Result<DemoResult, Failure> {
        let caller = Caller::new(deployment.balancer.clone());
        deployment.publish(caller.client()).await?;
        deployment.wait_ready(caller.client()).await?;
        let watch = deployment.balancer.clone().watch(caller.client().clone());
        let watch = actix_rt::spawn(watch);
        let begun = Instant::now();
        let handle = self.roll.then(|| {
            let deployment = Arc::clone(deployment);
            thread::spawn(move || deployment.rolling_restart())
        });
        let is_restarting = || handle.as_ref().is_some_and(|handle| !handle.is_finished());
        let (report, scripts) = self.run_programs(&caller, is_restarting).await;
        let took = begun.elapsed();
        let mut report = report;
        let restarted = match handle.map(thread::JoinHandle::join) {
            Some(Ok(restarted)) => restarted,
            Some(Err(_)) => Err(Failure::Check(
                "the thread of the rolling restart panicked".to_owned(),
            )),
            None => Ok(0),
        };
        let replaced = restarted.unwrap_or_else(|failure| {
            report.faults.push(format!("rolling restart: {failure}"));
            0
        });
        let held_tokens = deployment
            .wait_released(Duration::from_secs(self.release_s))
            .await;
        let plains = deployment.servers.plains.iter();
        let executions: Vec<_> = plains.map(PlainHost::executions).collect();
        let expected = scripts.iter().flat_map(Script::run_once_ids).count();
        let system_retries = deployment.system_retries(caller.client()).await;
        watch.abort();
        Ok(DemoResult {
            report,
            run_once: (expected, find_not_run_once(&scripts, &executions)),
            held_tokens,
            system_retries,
            replaced,
            took,
        })
    }

    /// Runs programs, `concurrency` at a time, until all have run and `is_restarting` returns false.
    async fn run_programs(
        &self,
        caller: &Caller,
        is_restarting: impl Fn() -> bool,
    ) -> (Report, Vec<Script>) {
        let report = RefCell::new(Report::default());
        let scripts = RefCell::new(Vec::new());
        let generator = RefCell::new(ScriptGenerator::new("demo", self.seed));
        let workers = (0..self.concurrency.max(1)).map(|_| async {
            while scripts.borrow().len() < self.programs || is_restarting() {
                let script = generator.borrow_mut().next_script();
                scripts.borrow_mut().push(script.clone());
                let record = run_program(caller, &script, Instant::now()).await;
                report.borrow_mut().add(record);
            }
        });
        join_all(workers).await;
        (report.take(), scripts.take())
    }
}
