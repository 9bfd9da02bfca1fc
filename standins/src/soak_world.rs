//! What a soak runs on: gateways as processes, the store and servers behind proxies.

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
use crate::soak_history::{EVENT_TOKENS, EVENTS, Ran};
use crate::soak_process::{GatewayProcess, ProcessPorts, wait_end};
use crate::soak_proxy::{Proxy, ProxyMode};

/// How many gateways a run has.
pub const GATEWAYS: usize = 3;
/// The servers of a run, by service.
const SERVERS: [(&str, usize); 2] = [(MODEL_SERVICE, 3), (PLAIN_SERVICE, 2)];

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
        let own = self.backend.address.to_string();
        backend.replace(&own, &self.proxy.address.to_string())
    }
}

/// A gateway, and whether callers can count on it.
#[derive(Debug)]
struct Gateway {
    process: GatewayProcess,
    /// Faults of the process that are under way.
    troubles: u32,
    /// Whether it was told to end and is not started again yet.
    is_ending: bool,
}

/// What callers can expect of a gateway at one moment.
#[derive(Debug, Clone, Copy)]
pub struct GatewayNow {
    /// Where it takes callers.
    pub callers: SocketAddr,
    /// Counts its starts.
    pub start: u32,
    /// Whether its process was killed or stands still.
    pub has_troubles: bool,
    /// Whether it was told to end.
    pub is_ending: bool,
}

/// All that a soak runs on.
#[derive(Debug)]
pub struct SoakWorld {
    store: PlatformStore,
    doors: Vec<StoreEndpoint>,
    servers: Vec<Server>,
    gateways: Vec<Mutex<Gateway>>,
    version: Mutex<u64>,
}

/// A version of the configuration; each has a route of its own.
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
        r#"{{"Version":{version},"Routes":[{routes}],"Services":[{{"Name":"models","MaxConns":50,"Engine":{{"Stride":{EVENT_TOKENS}}}}},{{"Name":"plain","MaxConns":50}}],"Limits":{{"MaxHeaderBytes":4096,"MaxBodyBytes":100000,"HeaderTimeoutMs":1000,"IdleTimeoutMs":5000}}}}"#
    )
}

impl SoakWorld {
    /// Starts the store, the servers and the gateways, whose files go into `directory`.
    ///
    /// # Errors
    ///
    /// A port, thread, file or process can't be had.
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
        let ports = ProcessPorts::free(GATEWAYS)?;
        let seeds: Vec<_> = ports.iter().map(|ports| ports.peers).collect();
        let mut gateways = Vec::new();
        for (number, (ports, door)) in ports.iter().zip(&doors).enumerate() {
            let process =
                GatewayProcess::start(daemon, directory, number, *ports, door.address, &seeds)?;
            gateways.push(Mutex::new(Gateway {
                process,
                troubles: 0,
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

    /// What callers can expect of a gateway now.
    #[must_use]
    pub fn gateway(&self, number: usize) -> GatewayNow {
        let gateway = lock(&self.gateways[number]);
        GatewayNow {
            callers: gateway.process.ports.callers,
            start: gateway.process.start,
            has_troubles: gateway.troubles > 0,
            is_ending: gateway.is_ending,
        }
    }

    /// Where a gateway says whether it is ready.
    #[must_use]
    pub fn ready(&self, number: usize) -> SocketAddr {
        lock(&self.gateways[number]).process.ports.ready
    }

    /// The newest version of the configuration that was published.
    #[must_use]
    pub fn version(&self) -> u64 {
        *lock(&self.version)
    }

    /// What the servers ran.
    #[must_use]
    pub fn ran(&self) -> Vec<Ran> {
        let executions = self.servers.iter().flat_map(|s| s.backend.executions());
        let ran = executions.map(|execution| Ran {
            id: execution.id,
            body: String::from_utf8_lossy(&execution.request.body).into_owned(),
        });
        ran.collect()
    }

    /// Carries a fault out, to its end.
    ///
    /// # Errors
    ///
    /// A process can't be started again, or one that was told to end did not end as it must.
    pub fn strike(&self, planned: &PlannedFault) -> io::Result<()> {
        let PlannedFault { span, draw, .. } = *planned;
        let number = usize::try_from(draw % GATEWAYS as u64).unwrap_or(0);
        match planned.fault {
            Fault::Kill => self.kill(number, span),
            Fault::KillAll => {
                for number in 0..GATEWAYS {
                    self.trouble(number, |gateway| gateway.process.kill());
                }
                std::thread::sleep(span);
                (0..GATEWAYS).try_for_each(|number| self.restart(number))
            }
            Fault::Terminate => self.terminate(number, span),
            Fault::Freeze => {
                self.trouble(number, |gateway| gateway.process.signal(Signal::STOP));
                std::thread::sleep(span);
                self.relieve(number, |gateway| {
                    gateway.process.signal(Signal::CONT);
                    Ok(())
                })
            }
            Fault::StoreAwayForOne => {
                close_doors(&self.doors[number..=number], draw, span);
                Ok(())
            }
            Fault::StoreAway => {
                close_doors(&self.doors, draw, span);
                Ok(())
            }
            Fault::StoreSlow => {
                self.store.set_delay(Duration::from_millis(20 + draw % 200));
                std::thread::sleep(span);
                self.store.set_delay(Duration::ZERO);
                Ok(())
            }
            Fault::LostAppends => {
                self.spoil_appends(AppendFault::LoseResponse, draw);
                Ok(())
            }
            Fault::LateAppends => {
                self.spoil_appends(AppendFault::Postpone, draw);
                Ok(())
            }
            Fault::ForgetHistory => {
                self.store.discard_history();
                Ok(())
            }
            Fault::ServerLink => {
                let server = self.server(draw);
                server.proxy.set_mode(link_mode(draw));
                std::thread::sleep(span);
                server.proxy.set_mode(ProxyMode::Pass);
                Ok(())
            }
            Fault::ServerAnswers => {
                let server = self.server(draw);
                for number in 0..=draw % 4 {
                    server.backend.inject_fault(answer_fault(draw / 8 + number));
                }
                Ok(())
            }
            Fault::ServerDrains => {
                let server = self.server(draw);
                let enter = |state| {
                    let entry = server.entry(state);
                    self.store.put("keyed.servers", &server.id, &entry);
                };
                enter("draining");
                std::thread::sleep(span);
                enter("ready");
                Ok(())
            }
            Fault::Configuration => {
                let mut version = lock(&self.version);
                *version += 1;
                self.store.put("keyed.op", "config", &config(*version));
                Ok(())
            }
            // The callers look at the plan themselves.
            Fault::CallersLeave => Ok(()),
        }
    }

    /// Ends all troubles of the store and the servers.
    pub fn heal(&self) {
        for door in &self.doors {
            door.set_mode(StoreMode::Serving);
        }
        self.store.set_delay(Duration::ZERO);
        for server in &self.servers {
            server.proxy.set_mode(ProxyMode::Pass);
        }
    }

    fn server(&self, draw: u64) -> &Server {
        let count = self.servers.len() as u64;
        &self.servers[usize::try_from(draw / 7 % count).unwrap_or(0)]
    }

    fn spoil_appends(&self, fault: AppendFault, draw: u64) {
        for _ in 0..=draw % 3 {
            self.store.inject_append_fault(fault);
        }
    }

    fn trouble(&self, number: usize, strike: impl FnOnce(&mut Gateway)) {
        let mut gateway = lock(&self.gateways[number]);
        gateway.troubles += 1;
        strike(&mut gateway);
    }

    fn relieve(
        &self,
        number: usize,
        relieve: impl FnOnce(&mut Gateway) -> io::Result<()>,
    ) -> io::Result<()> {
        let mut gateway = lock(&self.gateways[number]);
        gateway.troubles -= 1;
        relieve(&mut gateway)
    }

    fn kill(&self, number: usize, span: Duration) -> io::Result<()> {
        self.trouble(number, |gateway| gateway.process.kill());
        std::thread::sleep(span);
        self.restart(number)
    }

    fn restart(&self, number: usize) -> io::Result<()> {
        self.relieve(number, |gateway| {
            // Another fault may have started it already.
            if gateway.process.is_started() || gateway.is_ending {
                return Ok(());
            }
            gateway.process.restart()
        })
    }

    /// Tells a gateway to end, unless a fault of its process is under way already.
    ///
    /// One that is not ready is left alone: a process that is told to end before it listens to
    /// signals ends at once, without a graceful end, and has not served anyone.
    fn terminate(&self, number: usize, span: Duration) -> io::Result<()> {
        if !is_ready(self.ready(number)) {
            return Ok(());
        }
        let child = {
            let mut gateway = lock(&self.gateways[number]);
            if gateway.troubles > 0 || gateway.is_ending {
                return Ok(());
            }
            gateway.is_ending = true;
            gateway.process.terminate()
        };
        let status = child.map(wait_end).transpose()?.flatten();
        std::thread::sleep(span);
        lock(&self.gateways[number]).is_ending = false;
        self.trouble(number, |_| {});
        self.restart(number)?;
        if status.is_some_and(|status| status.success()) {
            return Ok(());
        }
        let detail = format!("gateway {number} did not end as planned: {status:?}");
        Err(io::Error::other(detail))
    }
}

fn start_server(service: &'static str, number: usize, store: &PlatformStore) -> io::Result<Server> {
    let id = format!("{service}-{number}");
    let backend = PlatformBackend::start(BackendSettings {
        id: id.clone(),
        events: EVENTS,
        pause: Duration::from_millis(5),
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

/// Makes the store unreachable at some of its addresses for a while, in a way that is drawn.
fn close_doors(doors: &[StoreEndpoint], draw: u64, span: Duration) {
    let modes = [
        StoreMode::Busy,
        StoreMode::Limited,
        StoreMode::Reset,
        StoreMode::Silent,
    ];
    let mode = modes[usize::try_from(draw / 7 % 4).unwrap_or(0)];
    for door in doors {
        door.set_mode(mode);
    }
    std::thread::sleep(span);
    for door in doors {
        door.set_mode(StoreMode::Serving);
    }
}

fn link_mode(draw: u64) -> ProxyMode {
    match draw % 4 {
        0 => ProxyMode::Delay(Duration::from_millis(draw / 4 % 200)),
        1 => ProxyMode::OneWay,
        2 => ProxyMode::Silence,
        _ => ProxyMode::Reset,
    }
}

fn answer_fault(draw: u64) -> BackendFault {
    match draw % 8 {
        0 => BackendFault::Refuse,
        1 => BackendFault::LoseResponse,
        2 => BackendFault::Silence,
        3 => BackendFault::CutAfter(draw / 8 % EVENTS),
        4 => BackendFault::SilentAfter(draw / 8 % EVENTS),
        5 => BackendFault::ExtraResponse,
        6 => BackendFault::WrongId,
        _ => BackendFault::Unframed,
    }
}

/// The daemon's program beside this one.
///
/// # Errors
///
/// It is not there; it has to be built.
pub fn find_daemon() -> io::Result<PathBuf> {
    let own = std::env::current_exe()?;
    let candidates = own.ancestors().skip(1).take(2);
    let mut found = candidates.map(|directory| directory.join("clementinepickd"));
    found
        .find(|path| path.is_file())
        .ok_or_else(|| io::Error::new(io::ErrorKind::NotFound, "build clementinepickd first"))
}
