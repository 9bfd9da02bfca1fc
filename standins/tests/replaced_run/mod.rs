//! Starts gateways as processes before servers that can be replaced by others of the same id and
//! address.

use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread::sleep;
use std::time::Duration;

use standins::platform_backend::{BackendFault, BackendSettings, PlatformBackend};
use standins::platform_caller::CallerRequest;
use standins::platform_run::{MODEL_SERVICE, config};
use standins::platform_store::PlatformStore;
use standins::process_gateways::ProcessGateways;
use standins::soak_process::ProcessPorts;

/// The number of events in each stream.
pub const EVENTS: u64 = 24;
/// The number of streams that begin at a time.
const STREAMS: usize = 6;
/// The number of gateways.
const GATEWAYS: usize = 3;
/// The number of servers.
const SERVERS: usize = 2;
/// The last event that a caller reads before its test goes on.
const LAST_EVENT: u64 = 3;
/// The pause before each event.
const EVENT_PAUSE: Duration = Duration::from_millis(30);
/// The start time of the first servers, in Unix milliseconds.
const FIRST_START_UNIX_MS: u64 = 1_000_000;

/// Why gateways have not read of a replacement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListState {
    /// The store does not respond.
    Away,
    /// The replacement has not written its entry yet.
    Unwritten,
}

/// Settings of a run.
#[derive(Debug, Clone, Copy)]
pub struct ReplacedSettings {
    /// Whether servers report their start times.
    pub has_start_times: bool,
    /// The time from the end of a server to the start of its replacement.
    pub restart_delay: Duration,
    pub list: ListState,
}

/// The starts of a server at one address.
struct Server {
    starts: Vec<PlatformBackend>,
}

impl Server {
    fn current(&self) -> &PlatformBackend {
        self.starts.last().expect("a start")
    }
}

/// Gateways as processes, a store and servers of one version.
pub struct ReplacedRun {
    settings: ReplacedSettings,
    gateways: ProcessGateways,
    servers: Vec<Server>,
    _store: PlatformStore,
}

/// A stream and what its caller has received of it.
pub struct Stream {
    pub id: String,
    pub received: String,
    connection: Option<TcpStream>,
    /// The ids of its attempts.
    attempts: Vec<String>,
}

fn server_settings(settings: &ReplacedSettings, server: usize, start: usize) -> BackendSettings {
    let started_unix_ms = FIRST_START_UNIX_MS + u64::try_from(start).expect("a small number");
    BackendSettings {
        id: format!("e-{server}"),
        version: format!("v{}", start + 1),
        names_version: true,
        events: EVENTS,
        pause: EVENT_PAUSE,
        started_unix_ms: settings.has_start_times.then_some(started_unix_ms),
        ..BackendSettings::default()
    }
}

impl ReplacedRun {
    /// Starts a run; `name` is unique among tests.
    pub fn start(name: &str, settings: ReplacedSettings) -> Self {
        let store = PlatformStore::default();
        store.put("keyed.op", "config", &config(1));
        let mut servers = Vec::new();
        // The system gives none of these ports to a connection while no server listens.
        let ports = ProcessPorts::find_free(SERVERS).expect("free ports");
        for (server, ports) in ports.iter().enumerate() {
            let address = ports.callers;
            let backend = PlatformBackend::start_at(address, server_settings(&settings, server, 0));
            let backend = backend.expect("a free port");
            let entry = backend.entry(MODEL_SERVICE, "ready");
            store.put("keyed.servers", &format!("e-{server}"), &entry);
            servers.push(Server {
                starts: vec![backend],
            });
        }
        let name = format!("replaced-{name}");
        let gateways = ProcessGateways::start(&name, GATEWAYS, &store).expect("gateways");
        Self {
            settings,
            gateways,
            servers,
            _store: store,
        }
    }

    /// Makes gateways unable to read of what follows.
    pub fn make_list_unreadable(&mut self) {
        if self.settings.list == ListState::Away {
            self.gateways.silence_store();
        }
    }

    /// Kills all gateways at once and starts them again; returns when they are ready.
    pub fn restart_gateways(&mut self) {
        for process in &mut self.gateways.processes {
            process.kill();
        }
        for process in &mut self.gateways.processes {
            process.restart().expect("a process");
        }
        for gateway in 0..GATEWAYS {
            self.gateways.wait_until_ready(gateway).expect("a gateway");
        }
    }

    /// Ends a server and starts one of the next version under its id and address.
    pub fn replace(&mut self, server: usize) {
        self.end(server);
        sleep(self.settings.restart_delay);
        self.start_again(server);
    }

    /// Ends all servers and starts them again likewise.
    pub fn replace_all(&mut self) {
        for server in 0..SERVERS {
            self.end(server);
        }
        sleep(self.settings.restart_delay);
        for server in 0..SERVERS {
            self.start_again(server);
        }
    }

    fn end(&mut self, server: usize) {
        let starts = &mut self.servers[server].starts;
        starts.last_mut().expect("a start").join();
    }

    fn start_again(&mut self, server: usize) {
        let starts = &mut self.servers[server].starts;
        let address = starts[0].address;
        let settings = server_settings(&self.settings, server, starts.len());
        let backend = PlatformBackend::start_at(address, settings).expect("the same address");
        starts.push(backend);
    }

    /// Makes a server inject `fault` into its next `count` requests.
    pub fn inject_faults(&self, server: usize, fault: BackendFault, count: usize) {
        for _ in 0..count {
            self.servers[server].current().inject_fault(fault);
        }
    }

    /// Makes a server are stalled for a while.
    pub fn suspend(&self, server: usize, span: Duration) {
        self.servers[server].current().suspend(span);
    }

    /// Begins streams at the same time and reads the first events of each.
    pub fn begin(&self, gateway: usize, name: &str) -> Vec<Stream> {
        let open = |number| {
            let id = format!("{name}{number}");
            let request =
                CallerRequest::turn("/draft/1", &id, &id, "x").with("Connection", "close");
            let mut connection =
                TcpStream::connect(self.gateways.callers(gateway)).expect("a connection");
            connection.write_all(&request.bytes()).expect("a gateway");
            Stream {
                attempts: vec![id.clone()],
                id,
                received: String::new(),
                connection: Some(connection),
            }
        };
        let mut streams: Vec<Stream> = (0..STREAMS).map(open).collect();
        for stream in &mut streams {
            stream.read_first_events();
        }
        streams
    }

    /// Returns whether a stream has begun at a server of a version.
    pub fn began_at(&self, stream: &Stream, version: &str) -> bool {
        let versions = self.versions_of(&stream.attempts[..1]);
        versions.contains(version)
    }

    /// Resumes a stream after the last event that its caller has; returns the status.
    pub fn resume(&self, gateway: usize, stream: &mut Stream, is_named: bool) -> u16 {
        let Some(last_event) = event_ids(&stream.received).last().copied() else {
            return 0;
        };
        if last_event == EVENTS {
            return 200;
        }
        let id = format!("{}-{}", stream.id, stream.attempts.len());
        stream.attempts.push(id.clone());
        let mut request = CallerRequest::turn("/draft/1", &id, &stream.id, "x")
            .with("Last-Event-Id", &last_event.to_string());
        if is_named {
            request = request.with("Resumes", &stream.id);
        }
        let response = request.send(self.gateways.callers(gateway));
        let response = response.expect("a response");
        if response.status == 200 {
            stream.received.push_str(&response.body);
        }
        response.status
    }

    /// Returns the versions of the servers that ran any of these attempts.
    fn versions_of(&self, attempts: &[String]) -> BTreeSet<String> {
        let mut versions = BTreeSet::new();
        for server in &self.servers {
            for (start, backend) in server.starts.iter().enumerate() {
                let executions = backend.executions();
                if executions.iter().any(|run| attempts.contains(&run.id)) {
                    versions.insert(format!("v{}", start + 1));
                }
            }
        }
        versions
    }
}

impl Stream {
    fn read_first_events(&mut self) {
        let connection = self.connection.as_mut().expect("a connection");
        while !event_ids(&self.received).contains(&LAST_EVENT) {
            let mut buffer = [0; 1_024];
            let count = connection.read(&mut buffer).expect("a stream");
            assert!(count > 0, "{} ended early: {}", self.id, self.received);
            let text = String::from_utf8_lossy(&buffer[..count]);
            self.received.push_str(&text);
        }
    }

    /// Reads the stream to its end.
    pub fn finish(mut self) -> Self {
        if let Some(mut connection) = self.connection.take() {
            let mut rest = Vec::new();
            // A reset ends the stream as well.
            let _ = connection.read_to_end(&mut rest);
            self.received.push_str(&String::from_utf8_lossy(&rest));
        }
        self
    }

    /// Drops the connection of its caller.
    pub fn disconnect(mut self) -> Self {
        self.connection = None;
        self
    }

    /// Checks that the stream has events and executions of one version only.
    pub fn assert_one_version(&self, run: &ReplacedRun) {
        let lines = self.received.lines();
        let events: BTreeSet<&str> = lines.filter_map(|l| l.strip_prefix("event: ")).collect();
        assert_eq!(
            events.len(),
            1,
            "{}: versions of events {events:?}",
            self.id
        );
        let executions = run.versions_of(&self.attempts);
        assert_eq!(executions.len(), 1, "{}: ran at {executions:?}", self.id);
    }

    /// Checks that the caller has all events, of one version.
    pub fn assert_complete(&self, run: &ReplacedRun) {
        let expected: Vec<u64> = (1..=EVENTS).collect();
        assert_eq!(event_ids(&self.received), expected, "{}", self.id);
        self.assert_one_version(run);
    }
}

/// Returns the ids of the events in a stream, in order.
pub fn event_ids(text: &str) -> Vec<u64> {
    let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
    ids.filter_map(|id| id.parse().ok()).collect()
}
