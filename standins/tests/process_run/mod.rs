//! Starts gateways as processes before a store and engines of two software versions, for tests that
//! cut streams.

use std::collections::BTreeSet;
use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use rustix::process::Signal;
use standins::platform_backend::{BackendFault, BackendSettings, PlatformBackend};
use standins::platform_caller::{CallerRequest, CallerResponse};
use standins::platform_run::{MODEL_SERVICE, config, wait_until};
use standins::platform_store::PlatformStore;
use standins::process_gateways::ProcessGateways;
use standins::soak_proxy::{Proxy, ProxyMode};

/// The number of events in each stream.
pub const EVENTS: u64 = 30;
/// The id of the last event that a caller receives before its stream is cut.
pub const LAST_EVENT: u64 = 3;
/// The pause before each event of a stream that is to be cut, long enough that it has not ended.
const SLOW_PAUSE: Duration = Duration::from_millis(40);
/// The pause before each event of a resumed stream.
const FAST_PAUSE: Duration = Duration::from_millis(2);
/// When engines that report it have started.
const STARTED_UNIX_MS: u64 = 1_700_000_000_000;
/// How long an engine's path stays cut, so that its proxy has noticed.
const CUT: Duration = Duration::from_millis(50);
/// The engines: ids and software versions.
const ENGINES: [(&str, &str); 4] = [("a-1", "v1"), ("a-2", "v1"), ("b-1", "v2"), ("b-2", "v2")];

/// An engine behind a proxy that can cut its connections.
pub struct Engine {
    backend: PlatformBackend,
    proxy: Proxy,
}

impl Engine {
    /// Starts an engine with what `settings` have beside its id and version.
    fn start(id: &str, version: &str, settings: &BackendSettings) -> io::Result<Self> {
        let backend = PlatformBackend::start(BackendSettings {
            id: id.to_owned(),
            version: version.to_owned(),
            events: EVENTS,
            pause: SLOW_PAUSE,
            ..settings.clone()
        })?;
        let proxy = Proxy::start(backend.address)?;
        Ok(Self { backend, proxy })
    }

    /// Returns its entry in the list of servers.
    fn entry(&self, state: &str) -> String {
        let address = self.backend.address.to_string();
        let entry = self.backend.entry(MODEL_SERVICE, state);
        entry.replace(&address, &self.proxy.address.to_string())
    }

    /// Returns whether it has run a request.
    fn has_run(&self, id: &str) -> bool {
        let executions = self.backend.executions();
        executions.iter().any(|execution| execution.id == id)
    }
}

/// Gateways as processes, a store and engines of two versions.
pub struct ProcessRun {
    pub gateways: ProcessGateways,
    pub store: PlatformStore,
    engines: Vec<Engine>,
}

impl ProcessRun {
    /// Starts `count` gateways that know each other; `name` is unique among tests.
    pub fn start(name: &str, count: usize) -> Self {
        Self::start_listing(name, count, &["v1", "v2"])
    }

    /// Starts gateways while only engines of these versions are listed.
    pub fn start_listing(name: &str, count: usize, versions: &[&str]) -> Self {
        Self::start_with(name, count, versions, &BackendSettings::default())
    }

    /// Starts gateways before engines that report their start times, each after `report_delay`.
    pub fn start_reporting(name: &str, count: usize, report_delay: Duration) -> Self {
        let settings = BackendSettings {
            started_unix_ms: Some(STARTED_UNIX_MS),
            report_delay,
            ..BackendSettings::default()
        };
        Self::start_with(name, count, &["v1", "v2"], &settings)
    }

    fn start_with(name: &str, count: usize, versions: &[&str], settings: &BackendSettings) -> Self {
        let store = PlatformStore::default();
        store.put("keyed.op", "config", &config(1));
        let start = |(id, version)| Engine::start(id, version, settings).expect("free ports");
        let engines: Vec<Engine> = ENGINES.into_iter().map(start).collect();
        for (engine, (id, version)) in engines.iter().zip(ENGINES) {
            if versions.contains(&version) {
                store.put("keyed.servers", id, &engine.entry("ready"));
            }
        }
        let gateways = ProcessGateways::start(name, count, &store).expect("gateways");
        Self {
            gateways,
            store,
            engines,
        }
    }

    /// Begins streams at the same time and reads their events up to [`LAST_EVENT`]; resumed ones are
    /// faster.
    pub fn begin(&self, gateway: usize, ids: &[String]) -> Vec<BegunStream> {
        let callers = self.gateways.callers(gateway);
        let open = |id: &String| {
            let mut connection = TcpStream::connect(callers)?;
            connection.write_all(&draft(id).bytes())?;
            Ok(connection)
        };
        let opened: io::Result<Vec<TcpStream>> = ids.iter().map(open).collect();
        let connections = opened.expect("connections");
        let begun = ids.iter().zip(connections).map(|(id, mut connection)| {
            let received = read_first_events(&mut connection);
            BegunStream {
                id: id.clone(),
                engine: self.engine_of(id),
                connection,
                received,
            }
        });
        let begun = begun.collect();
        self.speed_up();
        begun
    }

    /// Makes the streams that follow faster, as those are that callers resume.
    pub fn speed_up(&self) {
        for engine in &self.engines {
            engine
                .backend
                .configure(|settings| settings.pause = FAST_PAUSE);
        }
    }

    /// Sends a request for a stream, or for the rest of one, and leaves after its first events.
    pub fn leave(&self, gateway: usize, request: &CallerRequest) {
        let mut connection = TcpStream::connect(self.gateways.callers(gateway)).expect("a gateway");
        connection.write_all(&request.bytes()).expect("a gateway");
        read_first_events(&mut connection);
    }

    /// Returns the engine that ran a request first.
    fn engine_of(&self, id: &str) -> usize {
        let engine = self.engines.iter().position(|engine| engine.has_run(id));
        engine.expect("an engine that ran the request")
    }

    /// Makes all engines pause before each event of the streams that follow, as they did at first.
    pub fn slow_down(&self) {
        for engine in &self.engines {
            engine
                .backend
                .configure(|settings| settings.pause = SLOW_PAUSE);
        }
    }

    /// Queues a fault for each of the next `count` requests at an engine.
    pub fn inject_faults(&self, engine: usize, fault: BackendFault, count: usize) {
        for _ in 0..count {
            self.engines[engine].backend.inject_fault(fault);
        }
    }

    /// Cuts all connections of an engine: resets them, or lets them fall silent.
    pub fn cut_engine(&self, engine: usize, mode: ProxyMode) {
        let proxy = &self.engines[engine].proxy;
        proxy.set_mode(mode);
        std::thread::sleep(CUT);
    }

    /// Closes one in `one_in` of the open connections to each engine; returns once that has happened.
    pub fn reset_connections(&self, one_in: u64) {
        for engine in &self.engines {
            engine.proxy.reset_open_connections(one_in);
        }
        std::thread::sleep(CUT);
    }

    /// Makes new connections to an engine work again.
    pub fn restore_engine(&self, engine: usize) {
        self.engines[engine].proxy.set_mode(ProxyMode::Forward);
    }

    /// Makes an engine accept no new requests, so that its streams can be resumed only elsewhere.
    pub fn drain(&self, engine: usize, gateways: &[usize]) {
        self.set_state(engine, "draining", gateways);
    }

    /// Makes a drained engine accept requests again.
    pub fn undrain(&self, engine: usize, gateways: &[usize]) {
        self.set_state(engine, "ready", gateways);
    }

    /// Drains all engines of a version.
    pub fn drain_version(&self, version: &str, gateways: &[usize]) {
        for engine in engines_of(version) {
            self.drain(engine, gateways);
        }
    }

    /// Makes all engines of a version accept requests again.
    pub fn undrain_version(&self, version: &str, gateways: &[usize]) {
        for engine in engines_of(version) {
            self.undrain(engine, gateways);
        }
    }

    /// Removes the entries of all engines of a version.
    pub fn remove_version(&self, version: &str) {
        for engine in engines_of(version) {
            self.store.remove("keyed.servers", ENGINES[engine].0);
        }
    }

    /// Kills all gateways at once and starts them again; returns when they are ready.
    pub fn restart_gateways(&mut self) {
        for process in &self.gateways.processes {
            process.send_signal(Signal::KILL);
        }
        for process in &mut self.gateways.processes {
            process.kill();
            process.restart().expect("a process");
        }
        for gateway in 0..self.gateways.processes.len() {
            self.gateways.wait_until_ready(gateway).expect("a gateway");
        }
    }

    /// Resumes a stream whose caller does not name the attempt that began it.
    pub fn resume_unnamed(&self, gateway: usize, id: &str) -> io::Result<CallerResponse> {
        resumption(id, None).send(self.gateways.callers(gateway))
    }

    fn set_state(&self, engine: usize, state: &str, gateways: &[usize]) {
        let id = ENGINES[engine].0;
        let entry = self.engines[engine].entry(state);
        self.store.put("keyed.servers", id, &entry);
        let is_draining = state == "draining";
        for gateway in gateways {
            let is_listed = || self.is_draining(*gateway, id) == Some(is_draining);
            wait_until(is_listed).expect("a gateway that reads the list of servers");
        }
    }

    fn is_draining(&self, gateway: usize, engine: &str) -> Option<bool> {
        let state = self.gateways.state(gateway).ok()?;
        let server = state["servers"]
            .as_array()?
            .iter()
            .find(|s| s["id"] == engine)?;
        server["is_draining"].as_bool()
    }

    /// Resumes a stream that was cut, as its caller does: at `gateway`, with another request id.
    pub fn resume(&self, gateway: usize, id: &str) -> io::Result<CallerResponse> {
        resumption(id, Some(id)).send(self.gateways.callers(gateway))
    }

    /// Returns the number of engines that ran a request.
    pub fn engine_count(&self, id: &str) -> usize {
        self.engines
            .iter()
            .filter(|engine| engine.has_run(id))
            .count()
    }

    /// Returns the versions of the engines that ran a stream, over all attempts.
    pub fn versions_of(&self, id: &str) -> BTreeSet<&'static str> {
        let ids = [id.to_owned(), resuming_id(id)];
        let engines = self.engines.iter().zip(ENGINES);
        engines
            .filter(|(engine, _)| ids.iter().any(|id| engine.has_run(id)))
            .map(|(_, (_, version))| version)
            .collect()
    }

    /// Returns whether the attempt that resumes a stream has run anywhere.
    pub fn has_resumed(&self, id: &str) -> bool {
        let id = resuming_id(id);
        self.engines.iter().any(|engine| engine.has_run(&id))
    }
}

/// A stream of which the caller has received the first events.
pub struct BegunStream {
    pub id: String,
    /// The engine that runs it.
    pub engine: usize,
    connection: TcpStream,
    received: String,
}

impl BegunStream {
    /// Reads the stream to its end; returns what the caller received in all.
    pub fn finish(mut self) -> String {
        let mut rest = Vec::new();
        // A reset ends the stream as well.
        let _ = self.connection.read_to_end(&mut rest);
        self.received.push_str(&String::from_utf8_lossy(&rest));
        self.received
    }
}

/// Reads a stream until the event after [`LAST_EVENT`] begins.
fn read_first_events(connection: &mut TcpStream) -> String {
    let mut received = String::new();
    while !received.contains(&format!("id: {}\n", LAST_EVENT + 1)) {
        let mut buffer = [0; 1_024];
        let count = connection.read(&mut buffer).expect("a stream");
        assert!(count > 0, "ended early: {received}");
        received.push_str(&String::from_utf8_lossy(&buffer[..count]));
    }
    received
}

/// Builds a request for a resumable stream in a program of its own.
pub fn draft(id: &str) -> CallerRequest {
    CallerRequest::turn("/draft/1", id, id, "x").with("Connection", "close")
}

/// Returns the engine of the first stream that began at a version.
pub fn first_engine(streams: &[BegunStream], version: &str) -> usize {
    let engines = streams.iter().map(|stream| stream.engine);
    let mut of_version = engines.filter(|engine| ENGINES[*engine].1 == version);
    of_version.next().expect("a stream at each version")
}

fn engines_of(version: &str) -> impl Iterator<Item = usize> {
    let numbered = ENGINES.iter().enumerate();
    numbered
        .filter(move |(_, engine)| engine.1 == version)
        .map(|(number, _)| number)
}

/// Builds the request that resumes a stream; `attempt` is the one that began it, if the caller names it.
pub fn resumption(id: &str, attempt: Option<&str>) -> CallerRequest {
    let request = CallerRequest::turn("/draft/1", &resuming_id(id), id, "x")
        .with("Last-Event-Id", &LAST_EVENT.to_string());
    match attempt {
        Some(attempt) => request.with("Resumes", attempt),
        None => request,
    }
}

fn resuming_id(id: &str) -> String {
    format!("{id}-resumed")
}

/// Returns the ids of the events in a stream, in order.
pub fn event_ids(text: &str) -> Vec<u64> {
    let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
    ids.filter_map(|id| id.parse().ok()).collect()
}
