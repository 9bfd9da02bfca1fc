//! Starts a gateway process before a store, an engine and a plain server, and watches its memory beside
//! crowds of callers.

use std::io::Read;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use standins::caller_crowd::{CallerCrowd, CallerInput};
use standins::platform_backend::{BackendSettings, PlatformBackend};
use standins::platform_caller::{CallerRequest, exchange};
use standins::platform_run::{MODEL_SERVICE, PLAIN_SERVICE, config, is_ready, wait_until};
use standins::platform_store::PlatformStore;
use standins::process_gateways::ProcessGateways;
use standins::soak_process::{GatewayProcess, ProcessSettings};

/// The largest body and the largest head that callers may send, in bytes.
pub const BODY_LIMIT_BYTES: usize = 1_048_576;
pub const HEAD_LIMIT_BYTES: usize = 16_384;
/// Limits of a gateway with little memory.
pub const SMALL_LIMITS: &str = "bodies = 4 MB\nresponses = 4 MB";
/// How long a crowd sends at most, if its gateway takes all it gets.
const PRESS_TIME: Duration = Duration::from_secs(6);
const WATCH_INTERVAL: Duration = Duration::from_millis(10);

/// Held by the test that runs, since each uses most of the machine.
static RUNNING: Mutex<()> = Mutex::new(());

/// Watches what a process holds: its memory and the bytes that it has not read.
struct MemoryWatch {
    peak_bytes: Arc<AtomicU64>,
    is_finished: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl MemoryWatch {
    fn start(run: &Arc<ProcessGateways>) -> Self {
        let peak_bytes = Arc::new(AtomicU64::new(0));
        let is_finished = Arc::new(AtomicBool::new(false));
        let (run, peak, finished) = (
            Arc::clone(run),
            Arc::clone(&peak_bytes),
            Arc::clone(&is_finished),
        );
        let thread = thread::spawn(move || {
            while !finished.load(Ordering::Relaxed) {
                let process = &run.processes[0];
                let held = process.memory_bytes().unwrap_or_default()
                    + process.unread_bytes().unwrap_or_default();
                peak.fetch_max(held, Ordering::Relaxed);
                thread::sleep(WATCH_INTERVAL);
            }
        });
        Self {
            peak_bytes,
            is_finished,
            thread: Some(thread),
        }
    }
}

impl Drop for MemoryWatch {
    fn drop(&mut self) {
        self.is_finished.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            // A panic of the watch has been printed.
            let _ = thread.join();
        }
    }
}

/// A gateway process before servers whose requests may last longer than a test.
pub struct CrowdRun {
    watch: MemoryWatch,
    gateways: Arc<ProcessGateways>,
    pub engine: PlatformBackend,
    pub plain: PlatformBackend,
    _store: PlatformStore,
    _running: MutexGuard<'static, ()>,
}

/// A configuration whose times are beyond the length of a test.
fn patient_config() -> String {
    config(1)
        .replace(r#""TimeoutMs":1000"#, r#""TimeoutMs":60000"#)
        .replace(r#""TimeoutMs":1200"#, r#""TimeoutMs":60000"#)
        .replace(r#""TimeoutMs":2000"#, r#""TimeoutMs":60000"#)
        .replace(r#""TargetLatencyMs":50"#, r#""TargetLatencyMs":60000"#)
        .replace(r#""TargetLatencyMs":100"#, r#""TargetLatencyMs":60000"#)
        .replace(r#""GapTargetMs":150"#, r#""GapTargetMs":60000"#)
        .replace(r#""MaxConns":50"#, r#""MaxConns":4000"#)
        .replace(
            r#""MaxHeaderBytes":4096"#,
            &format!(r#""MaxHeaderBytes":{HEAD_LIMIT_BYTES}"#),
        )
        .replace(
            r#""MaxBodyBytes":100000"#,
            &format!(r#""MaxBodyBytes":{BODY_LIMIT_BYTES}"#),
        )
        .replace(r#""HeaderTimeoutMs":400"#, r#""HeaderTimeoutMs":600000"#)
        .replace(r#""IdleTimeoutMs":5000"#, r#""IdleTimeoutMs":600000"#)
}

impl CrowdRun {
    /// Starts the run; `name` is unique among tests.
    pub fn start(name: &str, settings: &ProcessSettings) -> Self {
        let running = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
        let store = PlatformStore::default();
        store.put("keyed.op", "config", &patient_config());
        let start = |id: &str, service, pause| {
            let settings = BackendSettings {
                id: id.to_owned(),
                pause,
                ..BackendSettings::default()
            };
            let backend = PlatformBackend::start(settings).expect("a free port");
            store.put("keyed.servers", id, &backend.entry(service, "ready"));
            backend
        };
        // The streams of an engine last longer than a test.
        let engine = start("e-1", MODEL_SERVICE, Duration::from_secs(20));
        let plain = start("p-1", PLAIN_SERVICE, Duration::ZERO);
        let gateways = ProcessGateways::start_with(name, 1, &store, settings).expect("a gateway");
        let gateways = Arc::new(gateways);
        Self {
            watch: MemoryWatch::start(&gateways),
            gateways,
            engine,
            plain,
            _store: store,
            _running: running,
        }
    }

    pub fn process(&self) -> &GatewayProcess {
        &self.gateways.processes[0]
    }

    pub fn callers(&self) -> SocketAddr {
        self.gateways.callers(0)
    }

    /// Opens a connection that sends at once.
    pub fn open(&self) -> TcpStream {
        let connection = TcpStream::connect(self.callers()).expect("a connection");
        connection.set_nodelay(true).expect("an open connection");
        connection
    }

    /// Connects a crowd.
    pub fn connect(&self, count: usize, input: impl Fn(usize) -> CallerInput) -> CallerCrowd {
        CallerCrowd::connect(self.callers(), count, input)
    }

    /// Connects a crowd that sends all it can.
    pub fn press(&self, count: usize, input: impl Fn(usize) -> CallerInput) -> CallerCrowd {
        let mut crowd = self.connect(count, input);
        crowd.send(PRESS_TIME);
        crowd
    }

    /// Checks that the process lives and serves ordinary requests, which are sent again if it says that
    /// they have not run.
    pub fn check_serves(&self) {
        self.check_is_served(&lookup("after"));
        self.check_is_served(&booking("after-body", 18_000));
    }

    /// Checks that a request is served, sent again if it has not run.
    pub fn check_is_served(&self, request: &CallerRequest) {
        let is_served = || {
            let response = request.send(self.callers());
            response.is_ok_and(|response| response.status == 200)
        };
        wait_until(is_served).expect("a request that is served");
        self.check_received(&id_of(request), request.body.len());
    }

    /// Checks that a server has received a request with a body of some bytes.
    pub fn check_received(&self, id: &str, body_bytes: usize) {
        let executions = self.plain.executions();
        let execution = executions.iter().find(|execution| execution.id == id);
        let execution = execution.expect("a request that has run");
        assert_eq!(execution.request.body.len(), body_bytes, "{id}");
    }

    /// Checks that readiness, metrics and a peer's call with a body are answered.
    pub fn check_others_are_served(&self) {
        let ports = self.process().ports;
        wait_until(|| is_ready(ports.ready)).expect("a ready gateway");
        let metrics = b"GET /metrics HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
        let has_metrics = || exchange(ports.metrics, metrics).is_ok_and(|a| a.status == 200);
        wait_until(has_metrics).expect("metrics");
        self.check_relays(750_000);
    }

    /// Checks that a peer's call with a body of some bytes is relayed to the store.
    pub fn check_relays(&self, body_bytes: usize) {
        let append = relayed_append(body_bytes);
        let peers = self.process().ports.peers;
        let is_relayed = || exchange(peers, &append).is_ok_and(|response| response.status == 200);
        wait_until(is_relayed).expect("a relayed append");
    }

    /// Waits until servers have received some requests.
    pub fn wait_for_executions(&self, count: usize) {
        wait_until(|| self.plain.executions().len() >= count).expect("running requests");
    }

    /// Waits until the process has fewer open descriptors than `limit`.
    pub fn wait_for_descriptors(&self, limit: usize) {
        let is_below = || {
            let descriptors = self.process().open_descriptors();
            descriptors.is_ok_and(|descriptors| descriptors < limit)
        };
        wait_until(is_below).expect("fewer descriptors");
    }

    /// Checks that the process never held as much as `limit_bytes`.
    pub fn check_memory(&self, limit_bytes: u64) {
        let held = self.watch.peak_bytes.load(Ordering::Relaxed);
        let resident = self.process().peak_memory_bytes().expect("a peak");
        let peak_bytes = held.max(resident);
        assert!(peak_bytes < limit_bytes, "{peak_bytes} bytes");
    }
}

/// Reads the interim response that asks for the body.
pub fn read_continue(connection: &mut TcpStream) {
    let mut interim = [0; 25];
    connection.read_exact(&mut interim).expect("a response");
    assert_eq!(&interim, b"HTTP/1.1 100 Continue\r\n\r\n");
}

pub fn lookup(id: &str) -> CallerRequest {
    CallerRequest::new("GET", "/look/1", id)
}

pub fn booking(id: &str, body_bytes: usize) -> CallerRequest {
    CallerRequest {
        body: "x".repeat(body_bytes),
        ..CallerRequest::new("POST", "/book/1", id)
    }
}

fn id_of(request: &CallerRequest) -> String {
    let mut headers = request.headers.iter();
    let id = headers.find(|(name, _)| name == "Request-Id");
    id.map(|(_, id)| id.clone()).unwrap_or_default()
}

/// Returns a peer's call that appends records of `bytes` bytes in all to the store.
fn relayed_append(bytes: usize) -> Vec<u8> {
    const RECORD_BYTES: usize = 250_000;
    let record = [
        &u32::try_from(RECORD_BYTES).expect("a length").to_be_bytes()[..],
        &vec![b'x'; RECORD_BYTES],
    ];
    let body = record.concat().repeat(bytes / RECORD_BYTES);
    let length = body.len();
    let head = format!(
        "POST /clementinepick/log-append?Topic=relayed&part=0 HTTP/1.1\r\nHost: h\r\n\
         Content-Length: {length}\r\nConnection: close\r\n\r\n"
    );
    [head.into_bytes(), body].concat()
}
