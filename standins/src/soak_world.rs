//! Starts the gateways, the store and the backend servers of a soak, and injects faults into them.

use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Mutex;
use std::time::Duration;

use rustix::process::Signal;

use crate::http::lock;
use crate::platform_backend::{BackendFault, BackendSettings, PlatformBackend};
use crate::platform_run::{HOST, MODEL_SERVICE, PLAIN_SERVICE, is_ready};
use crate::platform_store::{AppendFault, PlatformStore, StoreEndpoint, StoreMode};
use crate::soak_faults::{Fault, PlannedFault};
use crate::soak_history::{EVENTS_PER_STREAM, ExecutedRequest, TOKENS_PER_EVENT};
use crate::soak_process::{GatewayProcess, ProcessPorts, wait_for_exit};
use crate::soak_proxy::{Proxy, ProxyMode};

/// The number of gateways in a run.
pub const GATEWAYS: usize = 3;
/// The number of backend servers in a run, by service.
const SERVERS: [(&str, usize); 2] = [(MODEL_SERVICE, 3), (PLAIN_SERVICE, 2)];

/// The software versions of the servers of a service, in turn.
const VERSIONS: [&str; 2] = ["v1", "v2"];

/// A backend server behind its proxy.
#[derive(Debug)]
struct Server {
    backend: PlatformBackend,
    proxy: Proxy,
    id: String,
    service: &'static str,
}

impl Server {
    fn entry(&self, state: &str) -> String {
        let backend = self.backend.entry(self.service, state);
        let address = self.backend.address.to_string();
        backend.replace(&address, &self.proxy.address.to_string())
    }
}

/// A gateway and its faults.
#[derive(Debug)]
struct Gateway {
    process: GatewayProcess,
    /// The number of faults of its process that have not ended.
    active_faults: u32,
    /// Whether it was told to shut down and has not been restarted yet.
    is_ending: bool,
}

/// The status of a gateway at one moment.
#[derive(Debug, Clone, Copy)]
pub struct GatewayStatus {
    /// The address for callers.
    pub callers: SocketAddr,
    /// How often it was started.
    pub start_count: u32,
    /// Whether its process is killed or suspended.
    pub has_fault: bool,
    /// Whether it was told to shut down.
    pub is_ending: bool,
}

/// The gateways, the store and the backend servers of a soak.
#[derive(Debug)]
pub struct SoakWorld {
    store: PlatformStore,
    doors: Vec<StoreEndpoint>,
    servers: Vec<Server>,
    gateways: Vec<Mutex<Gateway>>,
    version: Mutex<u64>,
}

/// Returns a version of the configuration, which has a route that no other version has.
fn config(version: u64) -> String {
    let route = |path: &str, more: &str| {
        format!(r#"{{"Name":"{path}","Host":"{HOST}","PathPrefix":"/{path}/",{more}}}"#)
    };
    let stream = r#""Kind":"streaming","TimeoutMs":2500,"TargetLatencyMs":100,"GapTargetMs":150,"Service":"models","RetainS":60.0,"Sticky":true,"Attempts":2"#;
    let plain = r#""TimeoutMs":1200,"TargetLatencyMs":50,"Service":"plain","Attempts":2"#;
    let routes = [
        route("chat", &format!(r#"{stream},"KeepContext":true"#)),
        route("draft", &format!(r#"{stream},"Resumable":true"#)),
        route("look", &format!(r#""Kind":"idempotent",{plain}"#)),
        route("book", &format!(r#""Kind":"non_idempotent",{plain}"#)),
        route(
            &format!("version-{version}"),
            &format!(r#""Kind":"idempotent",{plain}"#),
        ),
    ]
    .join(",");
    format!(
        r#"{{"Version":{version},"Routes":[{routes}],"Services":[{{"Name":"models","HealthPath":"/healthz","MaxConns":50,"Engine":{{"Stride":{TOKENS_PER_EVENT}}}}},{{"Name":"plain","HealthPath":"/healthz","MaxConns":50}}],"Limits":{{"MaxHeaderBytes":4096,"MaxBodyBytes":100000,"HeaderTimeoutMs":1000,"IdleTimeoutMs":5000}}}}"#
    )
}

impl SoakWorld {
    /// Starts the store, the servers and the gateways; settings and logs go into `directory`.
    ///
    /// # Errors
    ///
    /// Returns an error if a port, thread, file or process can't be obtained.
    pub fn start(daemon: &Path, directory: &Path) -> io::Result<Self> {
        fs::create_dir_all(directory)?;
        let store = PlatformStore::default();
        store.put("keyed.op", "config", &config(1));
        let mut servers = Vec::new();
        for (service, count) in SERVERS {
            for number in 0..count {
                servers.push(start_server(service, number, &store)?);
            }
        }
        let mut doors = Vec::new();
        for _ in 0..GATEWAYS {
            doors.push(store.open()?);
        }
        let ports = ProcessPorts::find_free(GATEWAYS)?;
        let seeds: Vec<_> = ports.iter().map(|ports| ports.peers).collect();
        let mut gateways = Vec::new();
        for (number, (ports, door)) in ports.iter().zip(&doors).enumerate() {
            let process =
                GatewayProcess::start(daemon, directory, number, *ports, door.address, &seeds)?;
            gateways.push(Mutex::new(Gateway {
                process,
                active_faults: 0,
                is_ending: false,
            }));
        }
        Ok(Self {
            store,
            doors,
            servers,
            gateways,
            version: Mutex::new(1),
        })
    }

    /// Returns the current status of a gateway.
    #[must_use]
    pub fn gateway_status(&self, number: usize) -> GatewayStatus {
        let gateway = lock(&self.gateways[number]);
        GatewayStatus {
            callers: gateway.process.ports.callers,
            start_count: gateway.process.start_count,
            has_fault: gateway.active_faults > 0,
            is_ending: gateway.is_ending,
        }
    }

    /// Returns the readiness address of a gateway.
    #[must_use]
    pub fn ready_address(&self, number: usize) -> SocketAddr {
        lock(&self.gateways[number]).process.ports.ready
    }

    /// Returns the newest published version of the configuration.
    #[must_use]
    pub fn config_version(&self) -> u64 {
        *lock(&self.version)
    }

    /// Returns the requests that the servers executed.
    #[must_use]
    pub fn executed_requests(&self) -> Vec<ExecutedRequest> {
        let executions = self.servers.iter().flat_map(|s| s.backend.executions());
        let ran = executions.map(|execution| ExecutedRequest {
            id: execution.id,
            body: String::from_utf8_lossy(&execution.request.body).into_owned(),
        });
        ran.collect()
    }

    /// Injects a fault and waits until it has ended.
    ///
    /// # Errors
    ///
    /// Returns an error if a process can't be restarted or a graceful shutdown fails.
    pub fn inject(&self, planned: &PlannedFault) -> io::Result<()> {
        let PlannedFault {
            duration,
            random_value,
            ..
        } = *planned;
        let number = usize::try_from(random_value % GATEWAYS as u64).unwrap_or(0);
        match planned.fault {
            Fault::Kill => self.kill(number, duration),
            Fault::KillAll => {
                for number in 0..GATEWAYS {
                    self.begin_fault(number, |gateway| gateway.process.kill());
                }
                std::thread::sleep(duration);
                (0..GATEWAYS).try_for_each(|number| self.restart(number))
            }
            Fault::Terminate => self.terminate(number, duration),
            Fault::Suspend => {
                self.begin_fault(number, |gateway| gateway.process.send_signal(Signal::STOP));
                std::thread::sleep(duration);
                self.end_fault(number, |gateway| {
                    gateway.process.send_signal(Signal::CONT);
                    Ok(())
                })
            }
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
                let server = self.choose_server(random_value);
                server.proxy.set_mode(proxy_mode(random_value));
                std::thread::sleep(duration);
                server.proxy.set_mode(ProxyMode::Forward);
                Ok(())
            }
            Fault::FaultyResponses => {
                let server = self.choose_server(random_value);
                for number in 0..=random_value % 4 {
                    server
                        .backend
                        .inject_fault(backend_fault(random_value / 8 + number));
                }
                Ok(())
            }
            Fault::ServerDraining => {
                let server = self.choose_server(random_value);
                let write_state = |state| {
                    let entry = server.entry(state);
                    self.store.put("keyed.servers", &server.id, &entry);
                };
                write_state("draining");
                std::thread::sleep(duration);
                write_state("ready");
                Ok(())
            }
            Fault::ConfigUpdate => {
                let mut version = lock(&self.version);
                *version += 1;
                self.store.put("keyed.op", "config", &config(*version));
                Ok(())
            }
            // The callers handle this fault.
            Fault::CallersDisconnect => Ok(()),
        }
    }

    /// Ends all faults of the store and of the links to the servers.
    pub fn clear_faults(&self) {
        for door in &self.doors {
            door.set_mode(StoreMode::Serving);
        }
        self.store.set_delay(Duration::ZERO);
        for server in &self.servers {
            server.proxy.set_mode(ProxyMode::Forward);
        }
    }

    fn choose_server(&self, random_value: u64) -> &Server {
        let count = self.servers.len() as u64;
        &self.servers[usize::try_from(random_value / 7 % count).unwrap_or(0)]
    }

    fn fail_appends(&self, fault: AppendFault, random_value: u64) {
        for _ in 0..=random_value % 3 {
            self.store.inject_append_fault(fault);
        }
    }

    fn begin_fault(&self, number: usize, change: impl FnOnce(&mut Gateway)) {
        let mut gateway = lock(&self.gateways[number]);
        gateway.active_faults += 1;
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

    fn kill(&self, number: usize, duration: Duration) -> io::Result<()> {
        self.begin_fault(number, |gateway| gateway.process.kill());
        std::thread::sleep(duration);
        self.restart(number)
    }

    fn restart(&self, number: usize) -> io::Result<()> {
        self.end_fault(number, |gateway| {
            // Another fault may have restarted it already.
            if gateway.process.is_started() || gateway.is_ending {
                return Ok(());
            }
            gateway.process.restart()
        })
    }

    /// Shuts a gateway down gracefully and restarts it, unless its process has a fault already.
    ///
    /// One that is not ready is skipped: a process that gets SIGTERM before it handles signals
    /// exits at once and not gracefully, but has not served anyone either.
    fn terminate(&self, number: usize, duration: Duration) -> io::Result<()> {
        if !is_ready(self.ready_address(number)) {
            return Ok(());
        }
        let child = {
            let mut gateway = lock(&self.gateways[number]);
            if gateway.active_faults > 0 || gateway.is_ending {
                return Ok(());
            }
            gateway.is_ending = true;
            gateway.process.terminate()
        };
        let status = child.map(wait_for_exit).transpose()?.flatten();
        std::thread::sleep(duration);
        lock(&self.gateways[number]).is_ending = false;
        self.begin_fault(number, |_| {});
        self.restart(number)?;
        if status.is_some_and(|status| status.success()) {
            return Ok(());
        }
        let detail = format!("gateway {number} did not shut down gracefully: {status:?}");
        Err(io::Error::other(detail))
    }
}

fn start_server(service: &'static str, number: usize, store: &PlatformStore) -> io::Result<Server> {
    let id = format!("{service}-{number}");
    let backend = PlatformBackend::start(BackendSettings {
        id: id.clone(),
        version: VERSIONS[number % VERSIONS.len()].to_owned(),
        names_version: service == MODEL_SERVICE,
        events: EVENTS_PER_STREAM,
        pause: Duration::from_millis(10),
        ..BackendSettings::default()
    })?;
    let proxy = Proxy::start(backend.address)?;
    let server = Server {
        backend,
        proxy,
        id,
        service,
    };
    store.put("keyed.servers", &server.id, &server.entry("ready"));
    Ok(server)
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

fn proxy_mode(random_value: u64) -> ProxyMode {
    match random_value % 4 {
        0 => ProxyMode::Delay(Duration::from_millis(random_value / 4 % 200)),
        1 => ProxyMode::RequestsOnly,
        2 => ProxyMode::Blackhole,
        _ => ProxyMode::Reset,
    }
}

fn backend_fault(random_value: u64) -> BackendFault {
    match random_value % 8 {
        0 => BackendFault::Refuse,
        1 => BackendFault::LoseResponse,
        2 => BackendFault::Silence,
        3 => BackendFault::CutAfter(random_value / 8 % EVENTS_PER_STREAM),
        4 => BackendFault::SilentAfter(random_value / 8 % EVENTS_PER_STREAM),
        5 => BackendFault::ExtraResponse,
        6 => BackendFault::WrongId,
        _ => BackendFault::Unframed,
    }
}

/// Returns the path of the daemon beside this program.
///
/// # Errors
///
/// Returns an error if the file does not exist.
pub fn find_daemon() -> io::Result<PathBuf> {
    let program = std::env::current_exe()?;
    let candidates = program.ancestors().skip(1).take(2);
    let mut found = candidates.map(|directory| directory.join("clementinepickd"));
    found.find(|path| path.is_file()).ok_or_else(|| {
        io::Error::new(
            io::ErrorKind::NotFound,
            "no clementinepickd beside this program; build it first",
        )
    })
}
