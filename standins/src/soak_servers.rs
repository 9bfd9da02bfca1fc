//! Starts the backend servers of a soak behind proxies, and injects faults into them and their links.

use std::io;
use std::sync::Mutex;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::http::lock;
use crate::platform_backend::{
    BackendFault, BackendSettings, EndlessPart, Execution, PlatformBackend,
};
use crate::platform_run::{MODEL_SERVICE, PLAIN_SERVICE};
use crate::platform_store::PlatformStore;
use crate::soak_answers::CutLink;
use crate::soak_config::{FLOOD_SERVICE, OTHER_MODEL_SERVICE, OTHER_PLAIN_SERVICE};
use crate::soak_history::{EVENTS_PER_STREAM, ExecutedRequest};
use crate::soak_plan::SoakPlan;
use crate::soak_proxy::{Proxy, ProxyMode};

/// The number of backend servers in a run, by service.
const SERVERS: [(&str, usize); 2] = [(MODEL_SERVICE, 3), (PLAIN_SERVICE, 2)];
/// The backend servers that only runs of the extended plan have.
const EXTENDED_SERVERS: [(&str, usize); 2] = [(OTHER_MODEL_SERVICE, 2), (OTHER_PLAIN_SERVICE, 2)];
/// The pauses of servers in runs with stops, in which a request may outlast the notice.
const SLOW_EVENT_PAUSE: Duration = Duration::from_millis(250);
const SLOW_CALL_PAUSE: Duration = Duration::from_millis(90);
/// What never ends of the responses of servers that floods reach.
const FLOOD_PARTS: [EndlessPart; 4] = [
    EndlessPart::Body,
    EndlessPart::Chunks,
    EndlessPart::Header,
    EndlessPart::UnnumberedEvents,
];
/// The software versions of the servers of a service, in turn.
const VERSIONS: [&str; 2] = ["v1", "v2"];

/// A backend server behind its proxy.
#[derive(Debug)]
struct Server {
    backend: PlatformBackend,
    proxy: Proxy,
    id: String,
    service: &'static str,
    version: &'static str,
}

impl Server {
    fn runs_turns(&self) -> bool {
        [MODEL_SERVICE, OTHER_MODEL_SERVICE].contains(&self.service)
    }

    /// Returns its id and software version.
    fn identity(&self) -> (String, String) {
        (self.id.clone(), self.version.to_owned())
    }

    fn entry(&self, state: &str) -> String {
        let backend = self.backend.entry(self.service, state);
        let address = self.backend.address.to_string();
        backend.replace(&address, &self.proxy.address.to_string())
    }
}

/// A time in which a server sent nothing.
#[derive(Debug)]
struct ServerPause {
    server: String,
    from: Duration,
    until: Duration,
}

/// The backend servers of a soak.
#[derive(Debug)]
pub struct SoakServers {
    servers: Vec<Server>,
    /// Those whose responses never end.
    _floods: Vec<PlatformBackend>,
    cut_links: Mutex<Vec<CutLink>>,
    pauses: Mutex<Vec<ServerPause>>,
    /// The start of the run.
    started_at: Instant,
}

impl SoakServers {
    /// Starts the servers and writes them to the list of servers.
    ///
    /// # Errors
    ///
    /// Returns an error if a port or thread can't be obtained.
    pub fn start(store: &PlatformStore, started_at: Instant, plan: SoakPlan) -> io::Result<Self> {
        let has_other_services = matches!(
            plan,
            SoakPlan::Extended | SoakPlan::Stops | SoakPlan::Starts | SoakPlan::Crowds
        );
        let extended = has_other_services.then_some(EXTENDED_SERVERS);
        let mut servers = Vec::new();
        for (service, count) in SERVERS.into_iter().chain(extended.into_iter().flatten()) {
            for number in 0..count {
                servers.push(start_server(service, number, store)?);
            }
        }
        let mut floods = Vec::new();
        if matches!(plan, SoakPlan::Stops | SoakPlan::Starts | SoakPlan::Crowds) {
            for server in &servers {
                let pause = if server.runs_turns() {
                    SLOW_EVENT_PAUSE
                } else {
                    SLOW_CALL_PAUSE
                };
                server.backend.configure(|settings| settings.pause = pause);
            }
            for (number, part) in FLOOD_PARTS.into_iter().enumerate() {
                floods.push(start_flood(number, part, store)?);
            }
        }
        Ok(Self {
            servers,
            _floods: floods,
            cut_links: Mutex::default(),
            pauses: Mutex::default(),
            started_at,
        })
    }

    /// Returns the requests that the servers executed.
    #[must_use]
    pub fn executed_requests(&self) -> Vec<ExecutedRequest> {
        let executions = self.servers.iter().flat_map(|server| {
            let executions = server.backend.executions().into_iter();
            executions.map(|execution| (server.identity(), execution))
        });
        let ran = executions.map(|((server, version), execution)| ExecutedRequest {
            ended_at: self.ended_at(&server, &execution),
            id: execution.id,
            body: String::from_utf8_lossy(&execution.request.body).into_owned(),
            server,
            version,
            is_faulty: execution.fault.is_some_and(spoils_response),
        });
        ran.collect()
    }

    /// Returns when a server was done with a request; what it sends in a pause is held until its end.
    fn ended_at(&self, server: &str, execution: &Execution) -> Option<Duration> {
        let ended_at = execution.ended_after(self.started_at)?;
        let pauses = lock(&self.pauses);
        let mut pauses = pauses.iter().filter(|pause| pause.server == server);
        let pause = pauses.find(|pause| pause.from <= ended_at && ended_at <= pause.until);
        Some(pause.map_or(ended_at, |pause| pause.until))
    }

    /// Returns the times in which links to servers were cut.
    #[must_use]
    pub fn cut_links(&self) -> Vec<CutLink> {
        lock(&self.cut_links).clone()
    }

    /// Makes the link to a server slow, reset, one-way or silent for a time.
    pub fn disturb_link(&self, random_value: u64, duration: Duration) {
        let server = self.choose_server(random_value);
        let mode = proxy_mode(random_value);
        if matches!(mode, ProxyMode::Blackhole | ProxyMode::Reset) {
            self.record_cut(server, duration);
        }
        set_mode_for(&[server], mode, duration);
    }

    /// Stops one server, all of a service or all of a software version from sending for a time, after
    /// which they go on with the same responses.
    pub fn pause(&self, random_value: u64, duration: Duration) {
        let servers = self.choose_servers(random_value);
        let from = self.started_at.elapsed();
        set_mode_for(&servers, ProxyMode::RequestsOnly, duration);
        let until = self.started_at.elapsed();
        let pauses = servers.iter().map(|server| ServerPause {
            server: server.id.clone(),
            from,
            until,
        });
        lock(&self.pauses).extend(pauses);
    }

    /// Lets a server answer its next requests with faults.
    pub fn inject_response_faults(&self, random_value: u64) {
        let server = self.choose_server(random_value);
        for number in 0..=random_value % 4 {
            let fault = backend_fault(random_value / 8 + number);
            server.backend.inject_fault(fault);
        }
    }

    /// Lists a server as draining for a time.
    pub fn drain(&self, store: &PlatformStore, random_value: u64, duration: Duration) {
        let server = self.choose_server(random_value);
        let write_state = |state| store.put("keyed.servers", &server.id, &server.entry(state));
        write_state("draining");
        sleep(duration);
        write_state("ready");
    }

    /// Ends all faults of the links.
    pub fn restore_links(&self) {
        for server in &self.servers {
            server.proxy.set_mode(ProxyMode::Forward);
        }
    }

    fn record_cut(&self, server: &Server, duration: Duration) {
        let from = self.started_at.elapsed();
        lock(&self.cut_links).push(CutLink {
            server: server.id.clone(),
            runs_turns: server.runs_turns(),
            from,
            until: from + duration,
        });
    }

    /// Returns one server, all of its service or all of its software version.
    fn choose_servers(&self, random_value: u64) -> Vec<&Server> {
        let chosen = self.choose_server(random_value);
        let servers = self.servers.iter();
        let is_among = |server: &&Server| match random_value % 3 {
            0 => server.id == chosen.id,
            1 => server.service == chosen.service,
            _ => server.version == chosen.version,
        };
        servers.filter(is_among).collect()
    }

    fn choose_server(&self, random_value: u64) -> &Server {
        let count = self.servers.len() as u64;
        &self.servers[usize::try_from(random_value / 7 % count).unwrap_or(0)]
    }
}

/// Sets the mode of the links to servers for a time.
fn set_mode_for(servers: &[&Server], mode: ProxyMode, duration: Duration) {
    for server in servers {
        server.proxy.set_mode(mode);
    }
    sleep(duration);
    for server in servers {
        server.proxy.set_mode(ProxyMode::Forward);
    }
}

fn start_server(service: &'static str, number: usize, store: &PlatformStore) -> io::Result<Server> {
    let id = format!("{service}-{number}");
    let version = VERSIONS[number % VERSIONS.len()];
    let backend = PlatformBackend::start(BackendSettings {
        id: id.clone(),
        version: version.to_owned(),
        names_version: [MODEL_SERVICE, OTHER_MODEL_SERVICE].contains(&service),
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
        version,
    };
    store.put("keyed.servers", &server.id, &server.entry("ready"));
    Ok(server)
}

fn start_flood(
    number: usize,
    part: EndlessPart,
    store: &PlatformStore,
) -> io::Result<PlatformBackend> {
    let id = format!("{FLOOD_SERVICE}-{number}");
    let server = PlatformBackend::start(BackendSettings {
        id: id.clone(),
        endless: Some(part),
        ..BackendSettings::default()
    })?;
    store.put("keyed.servers", &id, &server.entry(FLOOD_SERVICE, "ready"));
    Ok(server)
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

/// Returns whether a request that a server runs with a fault has no complete response of its own; a
/// silent server is no reason to end its answer before the timeout.
pub(crate) fn spoils_response(fault: BackendFault) -> bool {
    match fault {
        BackendFault::LoseResponse
        | BackendFault::Garble
        | BackendFault::CutAfter(_)
        | BackendFault::WrongId
        | BackendFault::Endless(_) => true,
        BackendFault::Silence
        | BackendFault::SilentAfter(_)
        | BackendFault::Refuse
        | BackendFault::RefuseAfter(_)
        | BackendFault::Fail
        | BackendFault::ExtraResponse
        | BackendFault::LateExtraResponse(_)
        | BackendFault::Unframed => false,
    }
}
