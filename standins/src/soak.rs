//! Implements `soak`, which runs gateways as processes under injected faults and checks what
//! callers and backend servers observe.
//!
//! The seed determines the faults and the callers' requests, but not the timing of processes and
//! threads, so that reproducing a failure may take several runs of its seed.

use std::collections::BTreeSet;
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
use crate::soak_faults::{
    Fault, PlannedFault, plan_crowd_faults, plan_extended_faults, plan_faults, plan_release_faults,
    plan_restart_faults, plan_start_faults, plan_stop_faults,
};
use crate::soak_history::{History, RequestKind, RequestRecord, find_violations};
use crate::soak_plan::SoakPlan;
use crate::soak_process::find_daemon;
use crate::soak_release_checks::DraftCounts;
use crate::soak_restart_checks::InTouchCounts;
use crate::soak_watch::watch_gateway;
use crate::soak_world::{GATEWAYS, SoakWorld, WorldSettings};

const PROGRAM_CALLERS: usize = 8;
/// The callers of drafts in runs with releases, which have no callers of programs.
const DRAFT_CALLERS: usize = 40;
/// The callers that resume drafts seconds later, in runs with restarts.
const ABSENT_CALLERS: usize = 48;
/// The fewest drafts that callers must try to resume after a series of restarts in a run that has some. A run
/// with fewer tests nothing.
const MIN_IN_TOUCH: usize = 16;
/// The fewest drafts that a run with releases resumes for each second of faults. A run that resumes
/// fewer tests nothing.
const MIN_RESUMED_PER_S: u64 = 5;
/// The callers of each gateway that keep connections idle, in runs of the extended plan.
const IDLE_CALLERS: usize = 4;
/// The callers of each gateway that send slowly, and those that pipeline, in runs with stops.
const STOP_CALLERS: usize = 3;
/// How often a sleep checks for an interrupt.
const INTERRUPT_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Run gateways as processes under injected faults and check what callers and servers observe.
///
/// Exits with 1 when a check fails, and prints the seed; the gateways' logs of that run are kept.
#[derive(Debug, FromArgs)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is a switch of the command line"
)]
#[argh(
    subcommand,
    name = "soak",
    example = "{command_name} --seeds 0..50",
    example = "{command_name} --seeds 7..8 --seconds 20 --extended",
    example = "{command_name} --seeds 0..5 --seconds 10 --release --gateways 6",
    example = "{command_name} --seeds 0..50 --seconds 8 --stops",
    example = "{command_name} --seeds 0..50 --seconds 8 --starts",
    example = "{command_name} --seeds 0..50 --seconds 8 --crowds",
    example = "{command_name} --seeds 0..50 --seconds 6 --restarts --gateways 6"
)]
pub struct Soak {
    /// seeds to run, as `A..B` (B not included; default 0..5)
    #[argh(option, default = "String::from(\"0..5\")")]
    pub seeds: String,
    /// how long faults are injected in a run, in seconds (default 5)
    #[argh(option, default = "5")]
    pub seconds: u64,
    /// also pause servers, change limits, timeouts and services, and keep connections idle
    #[argh(switch)]
    pub extended: bool,
    /// release new software versions beside gateways that are out of step, and resume many drafts
    #[argh(switch)]
    pub release: bool,
    /// stop gateways beside callers that pipeline or send slowly, floods and changes
    #[argh(switch)]
    pub stops: bool,
    /// start gateways beside the ones that they replace, which stop or are suspended
    #[argh(switch)]
    pub starts: bool,
    /// send crowds of callers that do not behave, beside stops, kills and changes
    #[argh(switch)]
    pub crowds: bool,
    /// restart gateways in series before servers that report late, and resume drafts seconds later
    #[argh(switch)]
    pub restarts: bool,
    /// number of gateways (default 3)
    #[argh(option, default = "GATEWAYS")]
    pub gateways: usize,
    /// path of the daemon (default: `clementinepickd` beside this program)
    #[argh(option)]
    pub daemon: Option<PathBuf>,
    /// directory for settings and logs (default: the system's temporary directory)
    #[argh(option)]
    pub directory: Option<PathBuf>,
}

/// The result of one run.
#[derive(Debug)]
pub struct SoakResult {
    /// What the checks found; empty if all passed.
    pub violations: Vec<String>,
    /// Requests that callers sent.
    pub request_count: usize,
    /// Requests that were answered 200 with a complete body.
    pub served_count: usize,
    /// Attempts to resume a draft.
    pub resume_count: usize,
    /// Those of them that brought at least one event or the end.
    pub resumed_count: usize,
    /// What became of the drafts.
    pub drafts: DraftCounts,
    /// What became of those at gateways in touch, in runs with restarts.
    pub in_touch: InTouchCounts,
    /// Faults that were injected, by their start.
    pub faults: Vec<PlannedFault>,
}

/// A flag that SIGTERM or SIGINT sets.
///
/// The gateways are separate processes, which would outlive an interrupted soak. A run that checks
/// the flag ends early and stops them.
#[derive(Debug, Default)]
struct Interrupt {
    is_set: Arc<AtomicBool>,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Interrupt {
    /// Starts listening for SIGTERM and SIGINT; dropping the result stops it.
    fn listen() -> std::io::Result<Self> {
        let is_set = Arc::new(AtomicBool::new(false));
        let (stop, stopped) = oneshot::channel::<()>();
        let flag = Arc::clone(&is_set);
        let thread = thread::Builder::new().spawn(move || {
            let listening = async {
                let (Ok(mut terminate), Ok(mut interrupt)) = (
                    signal(SignalKind::terminate()),
                    signal(SignalKind::interrupt()),
                ) else {
                    return;
                };
                tokio::select! {
                    _ = terminate.recv() => flag.store(true, Ordering::Relaxed),
                    _ = interrupt.recv() => flag.store(true, Ordering::Relaxed),
                    _ = stopped => {}
                }
            };
            actix_rt::System::new().block_on(listening);
        })?;
        Ok(Self {
            is_set,
            stop: Some(stop),
            thread: Some(thread),
        })
    }

    fn is_set(&self) -> bool {
        self.is_set.load(Ordering::Relaxed)
    }

    /// Sleeps until `deadline` or an interrupt.
    fn sleep_until(&self, deadline: Instant) {
        while Instant::now() < deadline && !self.is_set() {
            let left = deadline.saturating_duration_since(Instant::now());
            thread::sleep(left.min(INTERRUPT_POLL_INTERVAL));
        }
    }
}

impl Drop for Interrupt {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            // The thread has printed its panic, if any.
            let _ = thread.join();
        }
    }
}

impl Soak {
    /// Runs the seeds one after the other.
    ///
    /// # Errors
    ///
    /// Returns an error if a check fails, a run can't be started, or the process is interrupted.
    pub fn run(&self) -> Result<(), Failure> {
        let seeds = parse_seeds(&self.seeds).map_err(Failure::Check)?;
        let interrupt = Interrupt::listen()?;
        let mut failed_seeds = 0;
        for seed in seeds {
            let end = self.run_one(seed, &interrupt)?;
            if interrupt.is_set() {
                let detail = format!("interrupted in seed {seed}");
                return Err(Failure::Check(detail));
            }
            println!(
                "seed {seed}: {} faults, {} of {} requests served, {} of {} drafts resumed, {} violations",
                end.faults.len(),
                end.served_count,
                end.request_count,
                end.resumed_count,
                end.resume_count,
                end.violations.len()
            );
            if self.release {
                println!("  drafts: {}", end.drafts);
            }
            if self.restarts {
                println!("  drafts: {}", end.in_touch);
            }
            for line in &end.violations {
                println!("  {line}");
            }
            if !end.violations.is_empty() {
                print_faults(&end.faults);
            }
            failed_seeds += usize::from(!end.violations.is_empty());
        }
        if failed_seeds > 0 {
            let detail = format!("{failed_seeds} seeds with violations");
            return Err(Failure::Check(detail));
        }
        Ok(())
    }

    /// Runs one seed.
    ///
    /// # Errors
    ///
    /// Returns an error if a port, thread, file or process can't be obtained.
    pub fn run_seed(&self, seed: u64) -> Result<SoakResult, Failure> {
        self.run_one(seed, &Interrupt::default())
    }

    fn plan(&self) -> Result<SoakPlan, Failure> {
        let chosen = [
            (self.extended, SoakPlan::Extended),
            (self.release, SoakPlan::Release),
            (self.stops, SoakPlan::Stops),
            (self.starts, SoakPlan::Starts),
            (self.crowds, SoakPlan::Crowds),
            (self.restarts, SoakPlan::Restarts),
        ];
        let mut chosen = chosen.iter().filter(|(is_chosen, _)| *is_chosen);
        match (chosen.next(), chosen.next()) {
            (None, _) => Ok(SoakPlan::Basic),
            (Some((_, plan)), None) => Ok(*plan),
            (Some(_), Some(_)) => {
                let detail =
                    "a run has the extended plan, releases, stops, starts, crowds or restarts"
                        .to_owned();
                Err(Failure::Check(detail))
            }
        }
    }

    fn run_one(&self, seed: u64, interrupt: &Interrupt) -> Result<SoakResult, Failure> {
        let daemon = match &self.daemon {
            Some(daemon) => daemon.clone(),
            None => find_daemon()?,
        };
        let process_id = std::process::id();
        let root = self.directory.clone().unwrap_or_else(std::env::temp_dir);
        let directory = root.join(format!("soak-{process_id}-{seed}"));
        let settings = WorldSettings {
            gateways: self.gateways,
            plan: self.plan()?,
        };
        let world = SoakWorld::start(&daemon, &directory, settings)?;
        let length = Duration::from_secs(self.seconds);
        let (planned, counts) = match settings.plan {
            SoakPlan::Basic => (plan_faults(seed, length), CallerCounts::default()),
            SoakPlan::Extended => {
                let counts = CallerCounts {
                    idle: IDLE_CALLERS,
                    ..CallerCounts::default()
                };
                (plan_extended_faults(seed, length), counts)
            }
            SoakPlan::Stops => {
                let counts = CallerCounts {
                    idle: 1,
                    slow: STOP_CALLERS,
                    pipelining: STOP_CALLERS,
                    ..CallerCounts::default()
                };
                (plan_stop_faults(seed, length), counts)
            }
            SoakPlan::Starts => {
                let counts = CallerCounts {
                    idle: 1,
                    slow: 1,
                    pipelining: 1,
                    ..CallerCounts::default()
                };
                (plan_start_faults(seed, length), counts)
            }
            SoakPlan::Crowds => {
                let counts = CallerCounts {
                    slow: 1,
                    pipelining: 1,
                    ..CallerCounts::default()
                };
                (plan_crowd_faults(seed, length), counts)
            }
            SoakPlan::Restarts => {
                let counts = CallerCounts {
                    programs: 1,
                    absent: ABSENT_CALLERS,
                    ..CallerCounts::default()
                };
                (plan_restart_faults(seed, length), counts)
            }
            SoakPlan::Release => {
                let counts = CallerCounts {
                    programs: 0,
                    drafts: DRAFT_CALLERS,
                    ..CallerCounts::default()
                };
                (plan_release_faults(seed, length), counts)
            }
        };
        let mut end = run_under_faults(&world, seed, &planned, counts, interrupt);
        let min_resumed = MIN_RESUMED_PER_S * self.seconds;
        if self.release && (end.drafts.resumed as u64) < min_resumed {
            let resumed = end.drafts.resumed;
            let line =
                format!("only {resumed} drafts were resumed, at least {min_resumed} must be");
            end.violations.push(line);
        }
        if self.restarts && end.in_touch.resumptions_after_series < MIN_IN_TOUCH {
            end.violations
                .push(format!("too few to judge: {}", end.in_touch));
        }
        drop(world);
        if end.violations.is_empty() {
            // The files of a successful run are of no use; an error here doesn't matter.
            let _ = std::fs::remove_dir_all(&directory);
        }
        Ok(end)
    }
}

/// The callers of a run.
#[derive(Debug, Clone, Copy)]
struct CallerCounts {
    programs: usize,
    /// Those of each gateway that keep connections idle.
    idle: usize,
    drafts: usize,
    /// Those that resume drafts seconds later.
    absent: usize,
    /// Those of each gateway that send slowly.
    slow: usize,
    /// Those of each gateway that pipeline.
    pipelining: usize,
}

impl Default for CallerCounts {
    fn default() -> Self {
        Self {
            programs: PROGRAM_CALLERS,
            idle: 0,
            drafts: 0,
            absent: 0,
            slow: 0,
            pipelining: 0,
        }
    }
}

fn print_faults(faults: &[PlannedFault]) {
    for PlannedFault {
        offset,
        duration,
        fault,
        random_value,
    } in faults
    {
        println!("  fault at {offset:?} for {duration:?}: {fault:?} {random_value}");
    }
}

fn run_under_faults(
    world: &SoakWorld,
    seed: u64,
    planned: &[PlannedFault],
    counts: CallerCounts,
    interrupt: &Interrupt,
) -> SoakResult {
    let callers = Callers {
        world,
        seed,
        is_finished: AtomicBool::new(false),
        should_disconnect: AtomicBool::new(false),
        history: Mutex::default(),
    };
    let found = Mutex::new(Vec::new());
    let record = |problem: String| {
        lock(&found).push(problem);
    };
    if let Err(problem) = check_all_serve(world, seed, "start") {
        record(problem);
    }
    world.record_ready();
    let started_at = Instant::now();
    thread::scope(|scope| {
        for number in 0..counts.programs {
            let callers = &callers;
            scope.spawn(move || callers.run_programs(number));
        }
        for number in 0..counts.drafts {
            let callers = &callers;
            scope.spawn(move || callers.run_drafts(number));
        }
        for number in 0..counts.absent {
            let callers = &callers;
            scope.spawn(move || callers.resume_later(number));
        }
        for gateway in 0..world.gateway_count() {
            let callers = &callers;
            scope.spawn(move || callers.use_open_connections(gateway));
            scope.spawn(move || callers.poll_config_versions(gateway));
            for number in 0..counts.idle {
                scope.spawn(move || callers.keep_connections_idle(gateway, number));
            }
            for number in 0..counts.slow {
                scope.spawn(move || callers.send_slowly(gateway, number));
            }
            for number in 0..counts.pipelining {
                scope.spawn(move || callers.pipeline(gateway, number));
            }
            let record = &record;
            scope.spawn(move || {
                watch_gateway(callers, gateway).into_iter().for_each(record);
            });
        }
        thread::scope(|faults| {
            for fault in planned {
                let (callers, record) = (&callers, &record);
                faults.spawn(move || {
                    interrupt.sleep_until(started_at + fault.offset);
                    if interrupt.is_set() {
                        return;
                    }
                    if let Err(err) = inject_fault(callers, fault) {
                        record(err.to_string());
                    }
                });
            }
        });
        world.clear_faults();
        interrupt.sleep_until(Instant::now() + world.plan.drain_time());
        callers.is_finished.store(true, Ordering::Relaxed);
    });
    if let Err(problem) = check_all_serve(world, seed, "end") {
        record(problem);
    }
    let history = callers.history.into_inner();
    let history = History {
        executed: [
            world.servers.executed_requests(),
            world.releases.executed_requests(),
        ]
        .concat(),
        cut_links: [world.servers.cut_links(), world.releases.cut_links()].concat(),
        stops: world.planned_stops(),
        releases: world.release_times(),
        restarts: (world.plan == SoakPlan::Restarts).then(|| world.restart_times()),
        ..history.unwrap_or_else(std::sync::PoisonError::into_inner)
    };
    match world.reported_defects() {
        Ok(defects) => defects.into_iter().for_each(record),
        Err(err) => record(format!("a log can't be read: {err}")),
    }
    let found = found.into_inner();
    let found = found.unwrap_or_else(std::sync::PoisonError::into_inner);
    summarize(world, &history, found, planned)
}

/// Checks the history of a run in which `found` was seen already.
fn summarize(
    world: &SoakWorld,
    history: &History,
    mut found: Vec<String>,
    planned: &[PlannedFault],
) -> SoakResult {
    found.extend(add_log_lines(world, history, find_violations(history)));
    let served = history.requests.iter();
    let is_resumed = |r: &&RequestRecord| matches!(r.kind, RequestKind::Resumed { .. });
    let resumed: Vec<_> = history.requests.iter().filter(is_resumed).collect();
    SoakResult {
        violations: found,
        drafts: DraftCounts::of(history),
        in_touch: InTouchCounts::of(history),
        resume_count: resumed.len(),
        resumed_count: resumed.iter().filter(|r| r.status == 200).count(),
        request_count: history.requests.len(),
        served_count: served.filter(|a| a.status == 200 && a.is_complete).count(),
        faults: planned.to_vec(),
    }
}

/// Adds the last log line that names its request to each violation of a request.
fn add_log_lines(world: &SoakWorld, history: &History, violations: Vec<String>) -> Vec<String> {
    let ids: BTreeSet<&str> = history.requests.iter().map(|r| r.id.as_str()).collect();
    let with_line = violations.into_iter().map(|violation| {
        let id = violation.split(':').next().unwrap_or_default();
        if !ids.contains(id) {
            return violation;
        }
        match world.find_log_line(id) {
            Ok(Some(line)) => format!("{violation}; logged: {line}"),
            Ok(None) => format!("{violation}; no log line names it"),
            Err(err) => format!("{violation}; a log can't be read: {err}"),
        }
    });
    with_line.collect()
}

fn inject_fault(callers: &Callers<'_>, fault: &PlannedFault) -> std::io::Result<()> {
    if fault.fault == Fault::CallersDisconnect {
        callers.should_disconnect.store(true, Ordering::Relaxed);
        thread::sleep(fault.duration);
        callers.should_disconnect.store(false, Ordering::Relaxed);
    }
    if fault.fault == Fault::Flood {
        let count = callers.world.gateway_count() as u64;
        let gateway = usize::try_from(fault.random_value % count).unwrap_or(0);
        callers.flood(gateway, fault.random_value / count);
    }
    if fault.fault == Fault::Crowd {
        let count = callers.world.gateway_count() as u64;
        let gateway = usize::try_from(fault.random_value % count).unwrap_or(0);
        callers.press(gateway, fault.random_value / count, fault.duration);
    }
    callers.world.inject(fault)
}

/// Waits until each gateway is ready and completes a turn of a new program.
fn check_all_serve(world: &SoakWorld, seed: u64, when: &str) -> Result<(), String> {
    for number in 0..world.gateway_count() {
        let ready = world.ready_address(number);
        let failed = |what: &str| format!("gateway {number} {what} at the {when} of seed {seed}");
        wait_until(|| is_ready(ready)).map_err(|_| failed("did not become ready"))?;
        let program = format!("{when}-{number}");
        let serves = || {
            let turn = CallerRequest::turn("/chat/1", &program, &program, &program);
            let turn = turn.with("Token-Budget", "400");
            let answer = turn.send(world.gateway_status(number).callers);
            answer.is_ok_and(|answer| answer.status == 200 && answer.is_complete)
        };
        wait_until(serves).map_err(|_| failed("completed no turn"))?;
    }
    Ok(())
}
