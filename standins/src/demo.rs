//! `standins demo`: programs through a whole small deployment, each answer checked.

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

/// The most faults that are printed.
const MAX_PRINTED: usize = 20;

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

/// What a run came to.
#[derive(Debug, Default)]
pub struct DemoResult {
    /// The table.
    pub report: Report,
    /// Holds and cancellations, and those that did not run exactly once.
    pub run_once: (usize, Vec<(String, u64)>),
    /// The tokens that engines still held after all programs had ended.
    pub held_tokens: Tokens,
    /// The calls that entries tried again elsewhere.
    pub system_retries: u64,
    /// The processes that were replaced.
    pub replaced: usize,
    /// How long the programs took.
    pub took: Duration,
}

impl DemoResult {
    /// Whether nothing is missing, mixed, doubled or still held.
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
    /// Runs it and prints what came of it.
    ///
    /// # Errors
    ///
    /// When anything is missing, mixed or doubled.
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
        for fault in report.faults.iter().take(MAX_PRINTED) {
            println!("fault: {fault}");
        }
        for (id, count) in once.1.iter().take(MAX_PRINTED) {
            println!("fault: {id} ran {count} times");
        }
        if result.is_success() {
            return Ok(());
        }
        let text = "something is missing, mixed, doubled or still held; see above";
        Err(Failure::Check(text.to_owned()))
    }

    /// Runs it and returns what came of it.
    ///
    /// # Errors
    ///
    /// When the deployment does not start or end as it must.
    pub fn measure(&self) -> Result<DemoResult, Failure> {
        let settings = DeploymentSettings {
            engines: self.engines,
            ..DeploymentSettings::default()
        };
        let deployment = Arc::new(Deployment::start(&settings)?);
        let result = System::new().block_on(self.drive(&deployment));
        let deployment = Arc::into_inner(deployment)
            .ok_or_else(|| Failure::Check("the deployment is still in use".to_owned()))?;
        let result = result?;
        deployment.stop()?;
        Ok(result)
    }

    async fn drive(&self, deployment: &Arc<Deployment>) -> Result<DemoResult, Failure> {
        let caller = Caller::new(deployment.balancer.clone());
        deployment.publish(caller.client()).await?;
        deployment.wait_ready(caller.client()).await?;
        let watch = deployment.balancer.clone().watch(caller.client().clone());
        let watch = actix_rt::spawn(watch);
        let begun = Instant::now();
        let roll = self.roll.then(|| {
            let deployment = Arc::clone(deployment);
            thread::spawn(move || deployment.rolling_restart())
        });
        let rolling = || roll.as_ref().is_some_and(|roll| !roll.is_finished());
        let (report, scripts) = self.run_programs(&caller, rolling).await;
        let took = begun.elapsed();
        let mut report = report;
        let rolled = match roll.map(thread::JoinHandle::join) {
            Some(Ok(rolled)) => rolled,
            Some(Err(_)) => Err(Failure::Check("the roll panicked".to_owned())),
            None => Ok(0),
        };
        let replaced = rolled.unwrap_or_else(|failure| {
            report.faults.push(format!("the replacement: {failure}"));
            0
        });
        let held_tokens = deployment
            .wait_released(Duration::from_secs(self.release_s))
            .await;
        let plains = deployment.servers.plains.iter();
        let executions: Vec<_> = plains.map(PlainHost::executions).collect();
        let wanted = scripts.iter().flat_map(Script::run_once_ids).count();
        let system_retries = deployment.system_retries(caller.client()).await;
        watch.abort();
        Ok(DemoResult {
            report,
            run_once: (wanted, find_not_run_once(&scripts, &executions)),
            held_tokens,
            system_retries,
            replaced,
            took,
        })
    }

    /// Runs programs, `concurrency` at a time, until all have run and nothing is rolling any more.
    async fn run_programs(
        &self,
        caller: &Caller,
        rolling: impl Fn() -> bool,
    ) -> (Report, Vec<Script>) {
        let report = RefCell::new(Report::default());
        let scripts = RefCell::new(Vec::new());
        let mix = RefCell::new(ScriptGenerator::new("demo", self.seed));
        let lanes = (0..self.concurrency.max(1)).map(|_| async {
            while scripts.borrow().len() < self.programs || rolling() {
                let script = mix.borrow_mut().next_script();
                scripts.borrow_mut().push(script.clone());
                let record = run_program(caller, &script, Instant::now()).await;
                report.borrow_mut().add(record);
            }
        });
        join_all(lanes).await;
        (report.take(), scripts.take())
    }
}
