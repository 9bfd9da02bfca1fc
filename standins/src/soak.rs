//! `soak`: real programs of gateways under faults from outside, and what callers and servers see.
//!
//! A seed draws the plan of faults and what callers ask for; processes and threads take their own
//! time, so that a seed that fails may need several plays.

use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use argh::FromArgs;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::oneshot;

use crate::chaos::parse_seeds;
use crate::failure::Failure;
use crate::http::lock;
use crate::platform_caller::CallerRequest;
use crate::platform_run::{is_ready, wait_until};
use crate::soak_callers::Callers;
use crate::soak_faults::{Fault, PlannedFault, plan_faults};
use crate::soak_history::{History, find_violations};
use crate::soak_world::{GATEWAYS, SoakWorld, find_daemon};

/// Callers that run programs.
const PROGRAM_CALLERS: usize = 8;
/// How often a sleep looks for an interrupt.
const INTERRUPT_LOOK: Duration = Duration::from_millis(50);
/// How long a run goes on after its last fault: what was under way comes to its end.
const AFTER_FAULTS: Duration = Duration::from_millis(1_500);

/// Run gateways as processes under faults, and check what callers and servers see.
///
/// Exits with 1 when a promise is broken, and prints the seed; the logs of its gateways stay.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "soak",
    example = "{command_name} --seeds 0..50",
    example = "{command_name} --seeds 7..8 --seconds 20"
)]
pub struct Soak {
    /// seeds to run, as `A..B` (B not included; default 0..5)
    #[argh(option, default = "String::from(\"0..5\")")]
    pub seeds: String,
    /// how long faults come in a run, in seconds (default 5)
    #[argh(option, default = "5")]
    pub seconds: u64,
    /// the daemon's program (default: the one beside this program)
    #[argh(option)]
    pub daemon: Option<PathBuf>,
    /// where logs go (default: a directory for temporary files)
    #[argh(option)]
    pub directory: Option<PathBuf>,
}

/// The end of one run.
#[derive(Debug)]
pub struct SoakResult {
    /// The broken promises.
    pub violations: Vec<String>,
    /// How many requests callers sent.
    pub request_count: usize,
    /// How many of them had a whole answer.
    pub served_count: usize,
    /// How many faults came.
    pub fault_count: usize,
}

/// Set once this process was told to end.
///
/// The gateways are processes of their own: without a look at it, they would run on when the soak
/// is interrupted.
#[derive(Debug, Default)]
struct Interrupt {
    is_set: Arc<AtomicBool>,
    over: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Interrupt {
    /// Listens to SIGTERM and SIGINT until it is dropped.
    fn listen() -> std::io::Result<Self> {
        let is_set = Arc::new(AtomicBool::new(false));
        let (over, is_over) = oneshot::channel::<()>();
        let seen = Arc::clone(&is_set);
        let thread = thread::Builder::new().spawn(move || {
            let listening = async {
                let (Ok(mut terminate), Ok(mut interrupt)) = (
                    signal(SignalKind::terminate()),
                    signal(SignalKind::interrupt()),
                ) else {
                    return;
                };
                tokio::select! {
                    _ = terminate.recv() => seen.store(true, Ordering::Relaxed),
                    _ = interrupt.recv() => seen.store(true, Ordering::Relaxed),
                    _ = is_over => {}
                }
            };
            actix_rt::System::new().block_on(listening);
        })?;
        Ok(Self {
            is_set,
            over: Some(over),
            thread: Some(thread),
        })
    }

    fn is_set(&self) -> bool {
        self.is_set.load(Ordering::Relaxed)
    }

    /// Sleeps until a moment, or until the interrupt.
    fn sleep_until(&self, moment: Instant) {
        while Instant::now() < moment && !self.is_set() {
            let left = moment.saturating_duration_since(Instant::now());
            thread::sleep(left.min(INTERRUPT_LOOK));
        }
    }
}

impl Drop for Interrupt {
    fn drop(&mut self) {
        drop(self.over.take());
        if let Some(thread) = self.thread.take() {
            // A panic has been printed by its thread.
            let _ = thread.join();
        }
    }
}

impl Soak {
    /// Runs the seeds one after the other.
    ///
    /// # Errors
    ///
    /// A promise was broken, or a run could not be had.
    pub fn run(&self) -> Result<(), Failure> {
        let seeds = parse_seeds(&self.seeds).map_err(Failure::Check)?;
        let interrupt = Interrupt::listen()?;
        let mut broken = 0;
        for seed in seeds {
            let end = self.run_one(seed, &interrupt)?;
            if interrupt.is_set() {
                let detail = format!("interrupted in seed {seed}");
                return Err(Failure::Check(detail));
            }
            println!(
                "seed {seed}: {} faults, {} of {} requests served, {} promises broken",
                end.fault_count,
                end.served_count,
                end.request_count,
                end.violations.len()
            );
            for line in &end.violations {
                println!("  {line}");
            }
            broken += usize::from(!end.violations.is_empty());
        }
        if broken > 0 {
            let detail = format!("{broken} seeds with a broken promise");
            return Err(Failure::Check(detail));
        }
        Ok(())
    }

    /// Runs one seed.
    ///
    /// # Errors
    ///
    /// A port, thread, file or process can't be had.
    pub fn run_seed(&self, seed: u64) -> Result<SoakResult, Failure> {
        self.run_one(seed, &Interrupt::default())
    }

    fn run_one(&self, seed: u64, interrupt: &Interrupt) -> Result<SoakResult, Failure> {
        let daemon = match &self.daemon {
            Some(daemon) => daemon.clone(),
            None => find_daemon()?,
        };
        let own = std::process::id();
        let root = self.directory.clone().unwrap_or_else(std::env::temp_dir);
        let directory = root.join(format!("soak-{own}-{seed}"));
        let world = SoakWorld::start(&daemon, &directory)?;
        let end = play(&world, seed, Duration::from_secs(self.seconds), interrupt);
        drop(world);
        if end.violations.is_empty() {
            // What stays behind is only in the way.
            let _ = std::fs::remove_dir_all(&directory);
        }
        Ok(end)
    }
}

fn play(world: &SoakWorld, seed: u64, length: Duration, interrupt: &Interrupt) -> SoakResult {
    let planned = plan_faults(seed, length);
    let callers = Callers {
        world,
        seed,
        is_finished: AtomicBool::new(false),
        should_disconnect: AtomicBool::new(false),
        history: Mutex::default(),
    };
    let problems = Mutex::new(Vec::new());
    let note = |problem: String| {
        lock(&problems).push(problem);
    };
    if let Err(problem) = all_serve(world, seed, "start") {
        note(problem);
    }
    let begun = Instant::now();
    thread::scope(|scope| {
        for number in 0..PROGRAM_CALLERS {
            let callers = &callers;
            scope.spawn(move || callers.run_programs(number));
        }
        for gateway in 0..GATEWAYS {
            let callers = &callers;
            scope.spawn(move || callers.use_open_connections(gateway));
            scope.spawn(move || callers.poll_config_versions(gateway));
        }
        thread::scope(|faults| {
            for fault in &planned {
                let (callers, note) = (&callers, &note);
                faults.spawn(move || {
                    interrupt.sleep_until(begun + fault.offset);
                    if interrupt.is_set() {
                        return;
                    }
                    if let Err(err) = strike(callers, fault) {
                        note(err.to_string());
                    }
                });
            }
        });
        world.clear_faults();
        interrupt.sleep_until(Instant::now() + AFTER_FAULTS);
        callers.is_finished.store(true, Ordering::Relaxed);
    });
    if let Err(problem) = all_serve(world, seed, "end") {
        note(problem);
    }
    let history = callers.history.into_inner();
    let history = History {
        executed: world.executed_requests(),
        ..history.unwrap_or_else(std::sync::PoisonError::into_inner)
    };
    let mut violations = problems
        .into_inner()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    violations.extend(find_violations(&history));
    let served = history.requests.iter();
    SoakResult {
        violations,
        request_count: history.requests.len(),
        served_count: served.filter(|a| a.status == 200 && a.is_complete).count(),
        fault_count: planned.len(),
    }
}

fn strike(callers: &Callers<'_>, fault: &PlannedFault) -> std::io::Result<()> {
    if fault.fault == Fault::CallersDisconnect {
        callers.should_disconnect.store(true, Ordering::Relaxed);
        thread::sleep(fault.duration);
        callers.should_disconnect.store(false, Ordering::Relaxed);
    }
    callers.world.inject(fault)
}

/// Waits until every gateway is ready and runs a new program's turn.
fn all_serve(world: &SoakWorld, seed: u64, when: &str) -> Result<(), String> {
    for number in 0..GATEWAYS {
        let ready = world.ready_address(number);
        let failed = |what: &str| format!("gateway {number} {what} at the {when} of seed {seed}");
        wait_until(|| is_ready(ready)).map_err(|_| failed("is not ready"))?;
        let program = format!("{when}-{number}");
        let serves = || {
            let turn = CallerRequest::turn("/chat/1", &program, &program, &program);
            let turn = turn.with("Token-Budget", "400");
            let answer = turn.send(world.gateway_status(number).callers);
            answer.is_ok_and(|answer| answer.status == 200 && answer.is_complete)
        };
        wait_until(serves).map_err(|_| failed("runs no turn"))?;
    }
    Ok(())
}
