//! Tests the memory of a gateway, and the service of other requests, beside many responses that never
//! end.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Barrier, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use standins::platform_backend::{BackendFault, BackendSettings, EndlessPart, PlatformBackend};
use standins::platform_caller::{CallerRequest, read_response};
use standins::platform_run::{MODEL_SERVICE, PLAIN_SERVICE, config};
use standins::platform_store::PlatformStore;
use standins::process_gateways::ProcessGateways;

/// The requests at once, and the servers whose responses never end.
const REQUESTS: usize = 240;
const SERVERS: usize = 8;
/// The memory of the smallest VM, in bytes.
const VM_MEMORY_BYTES: u64 = 88_000_000;
/// The lookups beside the requests, and how long each may take.
const LOOKUPS: usize = 20;
const LOOKUP_LIMIT: Duration = Duration::from_secs(1);
/// How long a caller reads a response that never ends.
const READ_TIME: Duration = Duration::from_secs(3);

/// Held by the test that floods its gateway, since each uses most of the machine.
static FLOOD: Mutex<()> = Mutex::new(());

/// A gateway process before servers whose responses never end.
struct Run {
    gateways: ProcessGateways,
    _servers: Vec<PlatformBackend>,
    _store: PlatformStore,
    _flood: MutexGuard<'static, ()>,
}

impl Run {
    /// Starts servers of `service` that answer `faults` requests each with a response of which `part`
    /// never ends, and two sound plain servers if the service is another.
    fn start(name: &str, service: &str, part: EndlessPart) -> Self {
        let flood = FLOOD.lock().unwrap_or_else(PoisonError::into_inner);
        let store = PlatformStore::default();
        let patient = config(1)
            .replace(r#""TargetLatencyMs":50"#, r#""TargetLatencyMs":5000"#)
            .replace(r#""TimeoutMs":1000"#, r#""TimeoutMs":5000"#)
            .replace(r#""TimeoutMs":1200"#, r#""TimeoutMs":5000"#)
            .replace(r#""TimeoutMs":2000"#, r#""TimeoutMs":5000"#);
        store.put("keyed.op", "config", &patient);
        let start = |service: &str, number: usize| {
            let settings = BackendSettings {
                id: format!("{service}-{number}"),
                ..BackendSettings::default()
            };
            let server = PlatformBackend::start(settings).expect("a server");
            let id = format!("{service}-{number}");
            store.put("keyed.servers", &id, &server.entry(service, "ready"));
            server
        };
        let mut servers: Vec<_> = (0..SERVERS).map(|number| start(service, number)).collect();
        for server in &servers {
            for _ in 0..4 * REQUESTS {
                server.inject_fault(BackendFault::Endless(part));
            }
        }
        if service != PLAIN_SERVICE {
            servers.extend((0..2).map(|number| start(PLAIN_SERVICE, number)));
        }
        Self {
            gateways: ProcessGateways::start(name, 1, &store).expect("a gateway"),
            _servers: servers,
            _store: store,
            _flood: flood,
        }
    }

    /// Sends all requests at once, and lookups beside them if `limit` says how long these may take;
    /// returns how many of the lookups were served in time.
    fn flood(
        &self,
        request: impl Fn(&str) -> CallerRequest + Sync,
        limit: Option<Duration>,
    ) -> usize {
        let address = self.gateways.callers(0);
        let start = Barrier::new(REQUESTS + 1);
        thread::scope(|scope| {
            for number in 0..REQUESTS {
                let (start, request) = (&start, &request);
                scope.spawn(move || {
                    let mut connection = TcpStream::connect(address).expect("a connection");
                    start.wait();
                    let bytes = request(&format!("r{number}")).bytes();
                    connection.write_all(&bytes).expect("sent");
                    read_for(&mut connection, READ_TIME);
                });
            }
            start.wait();
            let Some(limit) = limit else { return 0 };
            thread::sleep(Duration::from_millis(50));
            let lookups: Vec<_> = (0..LOOKUPS)
                .map(|number| scope.spawn(move || is_served(address, number, limit)))
                .collect();
            let served = lookups
                .into_iter()
                .map(|lookup| lookup.join().expect("a lookup"));
            served.filter(|is_served| *is_served).count()
        })
    }

    fn check_memory(&self) {
        let peak_bytes = self.gateways.processes[0]
            .peak_memory_bytes()
            .expect("a peak");
        assert!(peak_bytes < VM_MEMORY_BYTES, "{peak_bytes} bytes");
    }
}

fn read_for(connection: &mut TcpStream, span: Duration) {
    let end = Instant::now() + span;
    let mut buffer = vec![0; 65_536];
    connection.set_read_timeout(Some(span)).expect("a socket");
    while Instant::now() < end && matches!(connection.read(&mut buffer), Ok(1..)) {}
}

fn is_served(address: SocketAddr, number: usize, limit: Duration) -> bool {
    let sent_at = Instant::now();
    let request = CallerRequest::new("GET", "/look/1", &format!("l{number}"));
    let response = request.send(address);
    let took = sent_at.elapsed();
    took < limit && response.is_ok_and(|response| response.status == 200)
}

fn lookup(id: &str) -> CallerRequest {
    CallerRequest::new("GET", "/look/1", id)
}

fn chat(id: &str) -> CallerRequest {
    CallerRequest::turn("/chat/1", id, id, "x")
}

/// Guards against bodies that are each below the limit of one and fill the memory together.
#[test]
fn calls_with_chunks_without_end_stay_within_the_memory() {
    let run = Run::start("memory-chunks", PLAIN_SERVICE, EndlessPart::Chunks);
    run.flood(lookup, None);
    run.check_memory();
}

/// Guards against the same for bodies without a length.
#[test]
fn calls_with_bodies_without_length_stay_within_the_memory() {
    let run = Run::start("memory-body", PLAIN_SERVICE, EndlessPart::Body);
    run.flood(lookup, None);
    run.check_memory();
}

/// Guards against the same for heads.
#[test]
fn calls_with_heads_without_end_stay_within_the_memory() {
    let run = Run::start("memory-head", PLAIN_SERVICE, EndlessPart::Header);
    run.flood(lookup, None);
    run.check_memory();
}

fn check_lookups_beside_streams(name: &str, part: EndlessPart) {
    let run = Run::start(name, MODEL_SERVICE, part);
    let served = run.flood(chat, Some(LOOKUP_LIMIT));
    run.check_memory();
    assert_eq!(served, LOOKUPS, "{part:?}");
}

/// Guards against streams of bytes without events that keep other requests waiting.
#[test]
fn lookups_are_served_beside_streams_of_chunks_without_end() {
    check_lookups_beside_streams("beside-chunks", EndlessPart::Chunks);
}

/// Guards against the same for bodies without a length.
#[test]
fn lookups_are_served_beside_streams_without_length() {
    check_lookups_beside_streams("beside-body", EndlessPart::Body);
}

/// Guards against the same for streams of events.
#[test]
fn lookups_are_served_beside_streams_of_events_without_end() {
    check_lookups_beside_streams("beside-events", EndlessPart::Events);
}

/// Guards against a common limit that one response can use up, so that small ones fail.
#[test]
fn small_responses_are_served_beside_large_ones() {
    let run = Run::start("small-beside-large", MODEL_SERVICE, EndlessPart::Chunks);
    let served = run.flood(chat, Some(READ_TIME));
    assert_eq!(served, LOOKUPS);
    let response = lookup("after").send(run.gateways.callers(0));
    assert_eq!(response.expect("a response").status, 200);
    let mut connection = TcpStream::connect(run.gateways.callers(0)).expect("a connection");
    connection.write_all(&lookup("kept").bytes()).expect("sent");
    assert_eq!(
        read_response(&mut connection).expect("a response").status,
        200
    );
}
