//! Starts gateways as processes before servers that end whenever they run one certain request.

use std::collections::BTreeMap;
use std::io::{self, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use rustix::process::Signal;
use standins::platform_backend::{
    BackendFault, BackendSettings, Execution, FatalRequest, ServerEnding,
};
use standins::platform_caller::{CallerRequest, CallerResponse, read_response};
use standins::platform_run::{MODEL_SERVICE, PLAIN_SERVICE, config, wait_until};
use standins::platform_store::PlatformStore;
use standins::process_gateways::ProcessGateways;
use standins::server_fleet::{FleetSettings, RestartId, ServerFleet};

/// The number of gateways in a test.
pub const GATEWAYS: usize = 3;
/// The number of servers of each service.
const SERVERS: usize = 6;
/// A part of the path of the request that ends servers.
const FATAL: &str = "fatal";
/// The number of events in each stream.
const EVENTS: u64 = 12;
/// The pause before each event or response of requests that are to be running for a while.
const SLOW_PAUSE: Duration = Duration::from_millis(60);
/// The attempts that a caller makes before it gives up a turn.
const CALLER_ATTEMPTS: u32 = 4;

/// The kinds of requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A resumable stream.
    Draft,
    /// A stream that keeps context and is not resumable.
    Turn,
    /// An idempotent call.
    Call,
    /// A non-idempotent call.
    Booking,
}

/// The request that ends servers.
#[derive(Debug, Clone, Copy)]
pub struct Fatal {
    pub kind: Kind,
    /// The events that a server sends before it ends.
    pub events: u64,
}

/// Settings of a run.
#[derive(Debug, Clone)]
pub struct EndingSettings {
    pub fatal: Fatal,
    /// Whether the caller resumes the fatal stream.
    pub is_resuming: bool,
    /// The time from the fatal request, or its last event, to the end of its server.
    pub end_delay: Duration,
    /// The deadline that the caller of the fatal request names, if not the usual one.
    pub caller_deadline: Option<Duration>,
    pub ending: ServerEnding,
    /// The time from the end of a server to the start of its replacement.
    pub restart_delay: Duration,
    pub restart_id: RestartId,
}

impl Default for EndingSettings {
    fn default() -> Self {
        Self {
            fatal: Fatal {
                kind: Kind::Draft,
                events: 0,
            },
            is_resuming: false,
            end_delay: Duration::ZERO,
            caller_deadline: None,
            ending: ServerEnding::Exit,
            restart_delay: Duration::from_millis(300),
            restart_id: RestartId::New,
        }
    }
}

/// An attempt of the fatal request.
pub struct SentRequest {
    pub id: String,
    pub response: io::Result<CallerResponse>,
    pub took: Duration,
}

/// A request that was sent and whose response was not read yet.
pub struct BegunRequest {
    pub id: String,
    kind: Kind,
    gateway: usize,
    connection: TcpStream,
}

/// Gateways as processes, a store and two services.
pub struct EndingRun {
    pub gateways: ProcessGateways,
    settings: EndingSettings,
    fleets: BTreeMap<&'static str, ServerFleet>,
    sent: usize,
    /// The last attempt of the fatal request that received events.
    resumed_attempt: Option<String>,
}

impl EndingRun {
    /// Starts a run; `name` is unique among tests.
    pub fn start(name: &str, settings: EndingSettings) -> Self {
        let store = PlatformStore::default();
        store.put("keyed.op", "config", &config(1));
        let start = |service| {
            let settings = fleet_settings(service, &settings);
            (
                service,
                ServerFleet::start(settings, &store).expect("free ports"),
            )
        };
        let fleets = [MODEL_SERVICE, PLAIN_SERVICE].map(start).into();
        let name = format!("ended-{name}");
        let gateways = ProcessGateways::start(&name, GATEWAYS, &store).expect("gateways");
        Self {
            gateways,
            settings,
            fleets,
            sent: 0,
            resumed_attempt: None,
        }
    }

    /// Sends the fatal request with a new id and reads its response.
    pub fn send_fatal(&mut self, gateway: usize) -> SentRequest {
        let sent_at = Instant::now();
        let mut begun = self.begin_fatal(gateway);
        let response = read_response(&mut begun.connection);
        if self.settings.is_resuming && response.as_ref().is_ok_and(|r| r.status == 200) {
            self.resumed_attempt = Some(begun.id.clone());
        }
        let took = sent_at.elapsed();
        let BegunRequest { id, .. } = begun;
        SentRequest { id, response, took }
    }

    /// Sends the fatal request with a new id.
    pub fn begin_fatal(&mut self, gateway: usize) -> BegunRequest {
        self.sent += 1;
        let id = format!("attempt-{}", self.sent);
        let kind = self.settings.fatal.kind;
        let mut request = request(kind, FATAL, &id);
        if let Some(deadline) = self.settings.caller_deadline {
            request = request.with("Deadline-Ms", &deadline.as_millis().to_string());
        }
        if let Some(attempt) = &self.resumed_attempt {
            let last_event = self.settings.fatal.events.to_string();
            request = request
                .with("Last-Event-Id", &last_event)
                .with("Resumes", attempt);
        }
        self.begin(kind, gateway, id, &request)
    }

    /// Sends a request with the content of the fatal one.
    pub fn send_same(&self, gateway: usize, id: &str) -> io::Result<CallerResponse> {
        let request = request(self.settings.fatal.kind, FATAL, id);
        request.send(self.gateways.callers(gateway))
    }

    /// Reads the response of a request, if there is one.
    pub fn finish(mut request: BegunRequest) {
        // Servers that end cut the response.
        let _ = read_response(&mut request.connection);
    }

    /// Reads the response of a request; returns whether it is whole.
    pub fn is_complete(mut begun: BegunRequest) -> bool {
        let response = read_response(&mut begun.connection);
        response.is_ok_and(|r| r.status == 200 && r.is_complete)
    }

    /// Begins a request that ends no server; the kinds take turns.
    pub fn begin_beside(&self, number: usize) -> BegunRequest {
        let kind = [Kind::Draft, Kind::Turn, Kind::Call][number % 3];
        let id = format!("beside-{number}");
        let request = request(kind, &id, &id);
        self.begin(kind, number % GATEWAYS, id, &request)
    }

    /// Sends a request that ends no server, the same one each time but for its id.
    pub fn send_beside(&self, kind: Kind, gateway: usize, id: &str) -> io::Result<CallerResponse> {
        request(kind, "harmless", id).send(self.gateways.callers(gateway))
    }

    /// Begins the request of [`send_beside`](Self::send_beside).
    pub fn begin_harmless(&self, kind: Kind, gateway: usize, id: &str) -> BegunRequest {
        let request = request(kind, "harmless", id);
        self.begin(kind, gateway, id.to_owned(), &request)
    }

    /// Reads the response of a request, which is sent again as its caller does; returns whether it
    /// was served.
    pub fn is_served(&self, mut begun: BegunRequest) -> bool {
        let content = begun.id.clone();
        for attempt in 1..=CALLER_ATTEMPTS {
            let response = read_response(&mut begun.connection);
            if response.is_ok_and(|r| r.status == 200 && r.is_complete) {
                return true;
            }
            let id = format!("{content}-{attempt}");
            let request = request(begun.kind, &content, &id);
            begun = self.begin(begun.kind, (begun.gateway + 1) % GATEWAYS, id, &request);
        }
        false
    }

    fn begin(
        &self,
        kind: Kind,
        gateway: usize,
        id: String,
        request: &CallerRequest,
    ) -> BegunRequest {
        let mut connection =
            TcpStream::connect(self.gateways.callers(gateway)).expect("a connection");
        connection.write_all(&request.bytes()).expect("a request");
        BegunRequest {
            id,
            kind,
            gateway,
            connection,
        }
    }

    /// Makes streams and calls last for a while.
    pub fn slow_down(&self) {
        self.configure(|settings| settings.pause = SLOW_PAUSE);
    }

    /// Makes each response to a health check late.
    pub fn delay_health_checks(&self, delay: Duration) {
        self.configure(|settings| settings.health_delay = delay);
    }

    /// Makes `count` servers of each service are stalled for a while.
    pub fn suspend_servers(&self, count: usize, span: Duration) {
        for fleet in self.fleets.values() {
            fleet.suspend(count, span);
        }
    }

    /// Kills all gateways at once and starts them again; returns when they are ready.
    pub fn restart_gateways(&mut self) {
        self.kill_gateways();
        self.start_gateways();
    }

    /// Kills all gateways at once.
    pub fn kill_gateways(&mut self) {
        for process in &self.gateways.processes {
            process.send_signal(Signal::KILL);
        }
        for process in &mut self.gateways.processes {
            process.kill();
        }
    }

    /// Starts killed gateways and returns when they are ready.
    pub fn start_gateways(&mut self) {
        for process in &mut self.gateways.processes {
            process.restart().expect("a process");
        }
        for gateway in 0..GATEWAYS {
            self.gateways.wait_until_ready(gateway).expect("a gateway");
        }
    }

    /// Makes the fatal request harmless.
    pub fn disarm(&self) {
        self.configure(|settings| settings.fatal_request = None);
    }

    /// Makes each server inject `fault` into its next requests.
    pub fn inject_faults(&self, fault: BackendFault, count: usize) {
        for fleet in self.fleets.values() {
            fleet.inject_faults(fault, count);
        }
    }

    /// Removes the faults that no request has met.
    pub fn clear_faults(&self) {
        for fleet in self.fleets.values() {
            fleet.clear_faults();
        }
    }

    fn configure(&self, change: impl Fn(&mut BackendSettings)) {
        for fleet in self.fleets.values() {
            fleet.configure(&change);
        }
    }

    /// Returns the servers that the fatal request has ended or is about to end.
    pub fn ended_servers(&self) -> Vec<String> {
        self.servers_of(|execution| execution.request.path.ends_with(FATAL))
    }

    /// Returns the number of servers that have executed a request.
    pub fn count_executions(&self, id: &str) -> usize {
        self.servers_of(|execution| execution.id == id).len()
    }

    fn servers_of(&self, matches: impl Fn(&Execution) -> bool) -> Vec<String> {
        let fleets = self.fleets.values();
        fleets
            .flat_map(|fleet| fleet.servers_of(&matches))
            .collect()
    }

    /// Waits until a server executes a request.
    pub fn wait_until_executed(&self, request: &BegunRequest) {
        wait_until(|| self.count_executions(&request.id) > 0).expect("an execution");
    }

    /// Returns the number of servers that have ended.
    pub fn count_ended(&self) -> usize {
        self.fleets.values().map(ServerFleet::count_ended).sum()
    }

    /// Waits until `count` servers have ended.
    pub fn wait_until_ended(&self, count: usize) {
        wait_until(|| self.count_ended() >= count).expect("servers that end");
    }
}

fn fleet_settings(service: &'static str, settings: &EndingSettings) -> FleetSettings {
    FleetSettings {
        service,
        count: SERVERS,
        restart_delay: settings.restart_delay,
        restart_id: settings.restart_id,
        backend: BackendSettings {
            events: EVENTS,
            fatal_request: Some(FatalRequest {
                marker: FATAL.to_owned(),
                events: settings.fatal.events,
                delay: settings.end_delay,
                ending: settings.ending,
            }),
            ..BackendSettings::default()
        },
    }
}

/// Builds a request; those with the same content are attempts at the same request.
fn request(kind: Kind, content: &str, id: &str) -> CallerRequest {
    let request = match kind {
        Kind::Draft => CallerRequest::turn(&format!("/draft/{content}"), id, content, "x"),
        Kind::Turn => CallerRequest::turn(&format!("/chat/{content}"), id, content, "x"),
        Kind::Call => {
            CallerRequest::new("GET", &format!("/look/{content}"), id).with("Program-Id", content)
        }
        Kind::Booking => CallerRequest {
            body: "x".to_owned(),
            ..CallerRequest::new("POST", &format!("/book/{content}"), id)
        },
    };
    request.with("Connection", "close")
}
