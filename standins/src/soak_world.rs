//! Starts the gateways, the store and the backend servers of a soak, and injects faults.

use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use rustix::process::Signal;

use crate::http::lock;
use crate::platform_run::{is_ready, wait_until};
use crate::platform_store::{AppendFault, PlatformStore, StoreEndpoint, StoreMode};
use crate::soak_answers::PlannedStop;
use crate::soak_config::SoakConfig;
use crate::soak_faults::{Fault, PlannedFault};
use crate::soak_plan::{DRAFT_TIMEOUT_MS, SoakPlan};
use crate::soak_process::{GatewayProcess, ProcessPorts, wait_for_exit};
use crate::soak_release_checks::ReleaseTimes;
use crate::soak_release_servers::ReleaseServers;
use crate::soak_restart_checks::RestartTimes;
use crate::soak_servers::SoakServers;

/// The number of gateways in a run, unless its settings say otherwise.
pub const GATEWAYS: usize = 3;
/// The time from the moment all gateways are ready until sole versions have been listed for long enough.
const SETTLING_TIME: Duration = Duration::from_millis(2 * DRAFT_TIMEOUT_MS + 300);
/// The time from the suspension of a gateway to the change of the list for which it has a poll open.
const POLL_CHANGE_DELAY: Duration = Duration::from_millis(20);
/// When the peers of an isolated gateway are suspended, at the latest, and for how long at most: what a
/// gateway read before it was isolated counts as current for 2 s.
const MAX_PEER_DELAY: Duration = Duration::from_millis(600);
const MAX_PEER_SUSPENSION: Duration = Duration::from_millis(600);
/// The most configurations that follow each other in one fault.
const MAX_SERIES_CONFIGS: u64 = 4;
/// The bits of a fault's random value that select one change of the configuration.
const BITS_PER_CHANGE: u32 = 8;

/// What a run starts.
#[derive(Debug, Clone, Copy)]
pub struct WorldSettings {
    /// The number of gateways.
    pub gateways: usize,
    /// The faults of the run.
    pub plan: SoakPlan,
}

impl Default for WorldSettings {
    fn default() -> Self {
        Self {
            gateways: GATEWAYS,
            plan: SoakPlan::default(),
        }
    }
}

/// When gateways are out of step.
#[derive(Debug, Default)]
struct OutOfStep {
    /// The gateways that are now.
    gateways: Vec<usize>,
    past: Vec<(Duration, Duration)>,
    /// From when on sole versions have been listed for long enough.
    settled_at: Duration,
}

/// A gateway and its faults.
#[derive(Debug)]
pub(crate) struct Gateway {
    pub(crate) process: GatewayProcess,
    /// The number of faults of its process that have not ended.
    pub(crate) active_faults: u32,
    /// How often it was killed or suspended.
    pub(crate) disturbance_count: u32,
    /// Whether it was told to shut down and has not been restarted, or has not ended, yet.
    pub(crate) is_ending: bool,
    /// Whether the start before is still there, so that connections may be to either.
    pub(crate) is_overlapping: bool,
    /// The newest version of the configuration that this start of it has served.
    pub(crate) served_version: u64,
}

/// The status of a gateway at one moment.
#[derive(Debug, Clone, Copy)]
pub struct GatewayStatus {
    /// The address for callers.
    pub callers: SocketAddr,
    /// How often it was started, without a start beside the one before.
    pub start_count: u32,
    /// Whether its process is killed or suspended.
    pub has_fault: bool,
    /// How often its process was killed or suspended.
    pub disturbance_count: u32,
    /// Whether it was told to shut down.
    pub is_ending: bool,
}

/// The gateways, the store and the backend servers of a soak.
#[derive(Debug)]
pub struct SoakWorld {
    /// The plan of the run.
    pub plan: SoakPlan,
    store: PlatformStore,
    doors: Vec<StoreEndpoint>,
    /// The backend servers and the links to them.
    pub servers: SoakServers,
    /// The servers of drafts, in runs with releases.
    pub releases: ReleaseServers,
    out_of_step: Mutex<OutOfStep>,
    pub(crate) gateways: Vec<Mutex<Gateway>>,
    /// The published configurations, of which the first has version 1.
    configs: Mutex<Vec<SoakConfig>>,
    /// When gateways and the store were disturbed, in runs with restarts.
    pub(crate) disturbed: Mutex<RestartTimes>,
    pub(crate) stops: Mutex<Vec<PlannedStop>>,
    started_at: Instant,
    pub(crate) directory: PathBuf,
}

impl SoakWorld {
    /// Starts the store, the servers and the gateways; settings and logs go into `directory`.
    ///
    /// # Errors
    ///
    /// Returns an error if a port, thread, file or process can't be obtained.
    pub fn start(daemon: &Path, directory: &Path, settings: WorldSettings) -> io::Result<Self> {
        let WorldSettings { gateways, plan } = settings;
        fs::create_dir_all(directory)?;
        let store = PlatformStore::default();
        let config = plan.config();
        store.put("keyed.op", "config", &config.text(1));
        let started_at = Instant::now();
        let servers = SoakServers::start(&store, started_at, plan)?;
        let (services, versions) = (config.draft_services, plan.draft_versions());
        let releases = ReleaseServers::start(&store, started_at, services, versions)?;
        let mut doors = Vec::new();
        for _ in 0..gateways {
            doors.push(store.open()?);
        }
        let ports = ProcessPorts::find_free(gateways)?;
        let seeds: Vec<_> = ports.iter().map(|ports| ports.peers).collect();
        let mut processes = Vec::new();
        for (number, (ports, door)) in ports.iter().zip(&doors).enumerate() {
            let process = GatewayProcess::start(
                daemon,
                directory,
                number,
                *ports,
                (door.address, &seeds),
                &plan.process_settings(),
            )?;
            processes.push(Mutex::new(Gateway {
                process,
                active_faults: 0,
                disturbance_count: 0,
                is_ending: false,
                is_overlapping: false,
                served_version: 1,
            }));
        }
        Ok(Self {
            plan,
            store,
            doors,
            servers,
            releases,
            out_of_step: Mutex::default(),
            gateways: processes,
            configs: Mutex::new(vec![config]),
            disturbed: Mutex::default(),
            stops: Mutex::default(),
            started_at,
            directory: directory.to_owned(),
        })
    }

    /// Returns the number of gateways.
    #[must_use]
    pub fn gateway_count(&self) -> usize {
        self.gateways.len()
    }

    /// Returns the gateways that a fault has put out of step.
    #[must_use]
    pub fn out_of_step(&self) -> Vec<usize> {
        lock(&self.out_of_step).gateways.clone()
    }

    /// Records that all gateways are ready.
    pub fn record_ready(&self) {
        lock(&self.out_of_step).settled_at = self.started_at.elapsed() + SETTLING_TIME;
    }

    /// Returns when services were released and gateways out of step; `None` without releases.
    #[must_use]
    pub fn release_times(&self) -> Option<ReleaseTimes> {
        let out_of_step = lock(&self.out_of_step);
        Some(ReleaseTimes {
            settled_at: out_of_step.settled_at,
            out_of_step: out_of_step.past.clone(),
            ..self.releases.release_times()?
        })
    }

    /// Returns the current status of a gateway.
    #[must_use]
    pub fn gateway_status(&self, number: usize) -> GatewayStatus {
        let gateway = lock(&self.gateways[number]);
        GatewayStatus {
            callers: gateway.process.ports.callers,
            start_count: gateway.process.start_count - u32::from(gateway.is_overlapping),
            has_fault: gateway.active_faults > 0,
            disturbance_count: gateway.disturbance_count,
            is_ending: gateway.is_ending,
        }
    }

    /// Returns the most memory that the current process of a gateway has had resident, or that it holds now
    /// with its unread bytes, in bytes; `None` if it has ended. Unread bytes are counted in runs with crowds
    /// only: the system's table of sockets takes long to read.
    #[must_use]
    pub fn held_bytes(&self, number: usize) -> Option<u64> {
        let gateway = lock(&self.gateways[number]);
        let process = &gateway.process;
        let peak = process.peak_memory_bytes().ok()?;
        if self.plan != SoakPlan::Crowds {
            return Some(peak);
        }
        let held = process.memory_bytes().ok()? + process.unread_bytes().ok()?;
        Some(peak.max(held))
    }

    /// Returns how many connections of callers the current process of a gateway has open, in runs with crowds;
    /// `None` otherwise, or if the system does not tell.
    #[must_use]
    pub fn caller_connections(&self, number: usize) -> Option<usize> {
        if self.plan != SoakPlan::Crowds {
            return None;
        }
        let gateway = lock(&self.gateways[number]);
        gateway.process.caller_connections().ok()
    }

    /// Returns the readiness address of a gateway.
    #[must_use]
    pub fn ready_address(&self, number: usize) -> SocketAddr {
        lock(&self.gateways[number]).process.ports.ready
    }

    /// Returns the newest published version of the configuration.
    #[must_use]
    pub fn config_version(&self) -> u64 {
        lock(&self.configs).len() as u64
    }

    /// Records that a start of a gateway has served a version of the configuration.
    pub fn record_served_version(&self, (number, start_count): (usize, u32), version: u64) {
        let mut gateway = lock(&self.gateways[number]);
        if gateway.process.start_count == start_count {
            gateway.served_version = version.max(gateway.served_version);
        }
    }

    /// Returns the newest version of the configuration that a gateway is known to have in force; a
    /// gateway never goes back to an older one.
    #[must_use]
    pub fn served_version(&self, number: usize) -> u64 {
        lock(&self.gateways[number]).served_version
    }

    /// Returns the configurations from a version on.
    #[must_use]
    pub fn configs_since(&self, version: u64) -> Vec<SoakConfig> {
        let skipped = usize::try_from(version).unwrap_or(1) - 1;
        lock(&self.configs).iter().skip(skipped).copied().collect()
    }

    /// Returns the time since the start of the run.
    pub(crate) fn elapsed_now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Returns the time from the start of the run to `at`.
    #[must_use]
    pub fn elapsed(&self, at: Instant) -> Duration {
        at.saturating_duration_since(self.started_at)
    }

    /// Returns the last line of the gateways' logs that names a request.
    ///
    /// # Errors
    ///
    /// Returns an error if a log can't be read.
    pub fn find_log_line(&self, id: &str) -> io::Result<Option<String>> {
        let name = format!(r#""request":"{id}""#);
        let mut found = None;
        for number in 0..self.gateways.len() {
            let log = fs::read_to_string(self.directory.join(format!("gateway-{number}.log")))?;
            let line = log.lines().rfind(|line| line.contains(&name));
            found = line.map(str::to_owned).or(found);
        }
        Ok(found)
    }

    /// Injects a fault and waits until it has ended.
    ///
    /// # Errors
    ///
    /// Returns an error if a process can't be restarted or a graceful shutdown fails.
    pub fn inject(&self, planned: &PlannedFault) -> io::Result<()> {
        let count = self.gateways.len() as u64;
        let number = usize::try_from(planned.random_value % count).unwrap_or(0);
        let from = self.elapsed_now();
        if self.plan == SoakPlan::Restarts {
            let injected = self.inject_at(number, planned);
            self.record_fault(planned.fault, number, from);
            return injected;
        }
        if self.releases.is_empty() || !planned.fault.puts_out_of_step() {
            return self.inject_at(number, planned);
        }
        lock(&self.out_of_step).gateways.push(number);
        let injected = self.inject_at(number, planned);
        if matches!(planned.fault, Fault::Kill | Fault::Terminate) {
            let ready = self.ready_address(number);
            // One that another fault keeps from becoming ready is out of step by that fault.
            let _ = wait_until(|| is_ready(ready));
        }
        let mut out_of_step = lock(&self.out_of_step);
        let position = out_of_step.gateways.iter().position(|at| *at == number);
        if let Some(position) = position {
            out_of_step.gateways.swap_remove(position);
        }
        out_of_step.past.push((from, self.started_at.elapsed()));
        injected
    }

    fn inject_at(&self, number: usize, planned: &PlannedFault) -> io::Result<()> {
        let (duration, random_value) = (planned.duration, planned.random_value);
        match planned.fault {
            Fault::Kill => self.kill(number, duration),
            Fault::KillAll => {
                for number in 0..self.gateways.len() {
                    self.begin_fault(number, |gateway| gateway.process.kill());
                }
                std::thread::sleep(duration);
                (0..self.gateways.len()).try_for_each(|number| self.restart(number))
            }
            Fault::Terminate => self.terminate(number, duration),
            Fault::Replace => self.replace(number),
            Fault::ReplaceSuspended => self.replace_suspended(number, duration),
            Fault::Suspend => {
                self.suspend(number);
                std::thread::sleep(duration);
                self.resume(number)
            }
            Fault::SuspendOverPoll => {
                self.suspend(number);
                std::thread::sleep(POLL_CHANGE_DELAY);
                self.releases.renew_entry(random_value);
                std::thread::sleep(duration.saturating_sub(POLL_CHANGE_DELAY));
                self.resume(number)
            }
            Fault::Isolate => self.isolate(number, random_value, duration),
            Fault::Release => self.releases.release(random_value, duration),
            Fault::StoreUnavailableForOne => {
                interrupt_store(&self.doors[number..=number], random_value, duration);
                Ok(())
            }
            Fault::StoreUnavailable => {
                interrupt_store(&self.doors, random_value, duration);
                Ok(())
            }
            Fault::StoreSlow => {
                self.store
                    .set_delay(Duration::from_millis(20 + random_value % 200));
                std::thread::sleep(duration);
                self.store.set_delay(Duration::ZERO);
                Ok(())
            }
            Fault::LostAppendResponses => {
                self.fail_appends(AppendFault::LoseResponse, random_value);
                Ok(())
            }
            Fault::DelayedAppends => {
                self.fail_appends(AppendFault::Postpone, random_value);
                Ok(())
            }
            Fault::ForgetHistory => {
                self.store.discard_history();
                Ok(())
            }
            Fault::ServerLink => {
                self.servers.disturb_link(random_value, duration);
                Ok(())
            }
            Fault::ServersPause => {
                self.servers.pause(random_value, duration);
                Ok(())
            }
            Fault::FaultyResponses => {
                self.servers.inject_response_faults(random_value);
                Ok(())
            }
            Fault::ServerDraining => {
                self.servers.drain(&self.store, random_value, duration);
                Ok(())
            }
            Fault::RestartSeries => self.restart_in_series(random_value),
            Fault::LateReports => {
                self.releases
                    .delay_reports(Duration::from_millis(60 + random_value % 700));
                std::thread::sleep(duration);
                self.releases.delay_reports(Duration::ZERO);
                Ok(())
            }
            Fault::BrokenConnections => {
                self.releases.break_connections(random_value);
                Ok(())
            }
            Fault::SpoiledDrafts => {
                self.releases.spoil_answers(random_value);
                Ok(())
            }
            Fault::ConfigUpdate => {
                self.publish(|newest| newest);
                Ok(())
            }
            Fault::ConfigSeries => {
                self.publish_series(random_value, duration);
                Ok(())
            }
            Fault::Hangup => {
                self.hang_up(number);
                Ok(())
            }
            // The callers handle these faults.
            Fault::CallersDisconnect | Fault::Flood | Fault::Crowd => Ok(()),
        }
    }

    /// Ends all faults of the store and of the links to the servers.
    pub fn clear_faults(&self) {
        for door in &self.doors {
            door.set_mode(StoreMode::Serving);
        }
        self.store.set_delay(Duration::ZERO);
        self.servers.restore_links();
    }

    /// Publishes the version of the configuration that follows the newest.
    fn publish(&self, change: impl FnOnce(SoakConfig) -> SoakConfig) {
        let mut configs = lock(&self.configs);
        let next = change(configs.last().copied().unwrap_or_default());
        configs.push(next);
        let text = next.text(configs.len() as u64);
        self.store.put("keyed.op", "config", &text);
    }

    /// Publishes up to [`MAX_SERIES_CONFIGS`] versions, evenly over a time.
    fn publish_series(&self, random_value: u64, duration: Duration) {
        let count = u32::try_from(random_value / 64 % MAX_SERIES_CONFIGS).unwrap_or(0) + 1;
        for number in 0..count {
            let change = random_value >> (number * BITS_PER_CHANGE);
            self.publish(|newest| newest.changed(change));
            std::thread::sleep(duration / count);
        }
    }

    /// Sends SIGHUP to a gateway, ready or not, once its program has begun.
    fn hang_up(&self, number: usize) {
        let gateway = lock(&self.gateways[number]);
        if gateway.process.handles_hangups().unwrap_or(false) {
            gateway.process.send_signal(Signal::HUP);
        }
    }

    fn suspend(&self, number: usize) {
        self.begin_fault(number, |gateway| gateway.process.send_signal(Signal::STOP));
    }

    fn resume(&self, number: usize) -> io::Result<()> {
        self.end_fault(number, |gateway| {
            gateway.process.send_signal(Signal::CONT);
            Ok(())
        })
    }

    /// Cuts a gateway off from the store for a time, and from its peers for a part of it; one in four
    /// keeps the store.
    fn isolate(&self, number: usize, random_value: u64, duration: Duration) -> io::Result<()> {
        let mode = match random_value / 7 % 4 {
            0 => StoreMode::Serving,
            _ => StoreMode::Silent,
        };
        let peers = || (0..self.gateways.len()).filter(|peer| *peer != number);
        let delay = MAX_PEER_DELAY.min(duration / 2);
        let suspension = MAX_PEER_SUSPENSION.min(duration / 2);
        self.doors[number].set_mode(mode);
        std::thread::sleep(delay);
        peers().for_each(|peer| self.suspend(peer));
        std::thread::sleep(suspension);
        let resumed: Vec<_> = peers().map(|peer| self.resume(peer)).collect();
        std::thread::sleep(duration.saturating_sub(delay + suspension));
        self.doors[number].set_mode(StoreMode::Serving);
        resumed.into_iter().collect()
    }

    fn fail_appends(&self, fault: AppendFault, random_value: u64) {
        for _ in 0..=random_value % 3 {
            self.store.inject_append_fault(fault);
        }
    }

    fn begin_fault(&self, number: usize, change: impl FnOnce(&mut Gateway)) {
        let mut gateway = lock(&self.gateways[number]);
        gateway.active_faults += 1;
        gateway.disturbance_count += 1;
        change(&mut gateway);
    }

    fn end_fault(
        &self,
        number: usize,
        change: impl FnOnce(&mut Gateway) -> io::Result<()>,
    ) -> io::Result<()> {
        let mut gateway = lock(&self.gateways[number]);
        gateway.active_faults -= 1;
        change(&mut gateway)
    }

    pub(crate) fn kill(&self, number: usize, duration: Duration) -> io::Result<()> {
        self.begin_fault(number, |gateway| gateway.process.kill());
        std::thread::sleep(duration);
        self.restart(number)
    }

    pub(crate) fn restart(&self, number: usize) -> io::Result<()> {
        self.end_fault(number, |gateway| {
            // Another fault may have restarted it already.
            if gateway.process.is_started() || gateway.is_ending {
                return Ok(());
            }
            gateway.served_version = 1;
            gateway.process.restart()
        })
    }

    /// Shuts a gateway down gracefully and restarts it, unless its process has a fault already.
    ///
    /// One that is not ready is skipped: a process that gets SIGTERM before it handles signals
    /// exits at once and not gracefully, but has not served anyone either.
    pub(crate) fn terminate(&self, number: usize, duration: Duration) -> io::Result<()> {
        if !is_ready(self.ready_address(number)) {
            return Ok(());
        }
        let child = {
            let mut gateway = lock(&self.gateways[number]);
            if gateway.active_faults > 0 || gateway.is_ending {
                return Ok(());
            }
            gateway.is_ending = true;
            self.terminate_process(number, &mut gateway)
        };
        let status = child.map(wait_for_exit).transpose()?.flatten();
        std::thread::sleep(duration);
        {
            let mut gateway = lock(&self.gateways[number]);
            gateway.is_ending = false;
            gateway.active_faults += 1;
        }
        self.restart(number)?;
        if status.is_some_and(|status| status.success()) {
            return Ok(());
        }
        let detail = format!("gateway {number} did not shut down gracefully: {status:?}");
        Err(io::Error::other(detail))
    }
}

/// Makes the store unavailable at some of its addresses, in one of four ways.
fn interrupt_store(doors: &[StoreEndpoint], random_value: u64, duration: Duration) {
    let modes = [
        StoreMode::Busy,
        StoreMode::Limited,
        StoreMode::Reset,
        StoreMode::Silent,
    ];
    let mode = modes[usize::try_from(random_value / 7 % 4).unwrap_or(0)];
    for door in doors {
        door.set_mode(mode);
    }
    std::thread::sleep(duration);
    for door in doors {
        door.set_mode(StoreMode::Serving);
    }
}
