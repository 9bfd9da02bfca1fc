//! Tests that bytes without end from a server, the store or a caller are given up at once.

use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::time::{Duration, Instant};

use standins::platform_backend::{BackendFault, EndlessPart, PlatformBackend};
use standins::platform_caller::{CallerRequest, CallerResponse, exchange, read_response};
use standins::platform_run::{HOST, PlatformRun, config, is_ready, wait_until};
use standins::platform_store::StoreMode;

/// The limit for a response; deadlines are at least a second away.
const PROMPT: Duration = Duration::from_millis(700);

fn send(run: &PlatformRun, request: &CallerRequest) -> CallerResponse {
    let response = request.send(run.callers(0)).expect("a response");
    assert!(response.took < PROMPT, "{response:?}");
    response
}

/// Starts a gateway whose calls wait for a silent server until their deadline.
fn start() -> PlatformRun {
    let run = PlatformRun::start(1).expect("a platform run");
    let patient = config(2).replace(r#""TargetLatencyMs":50"#, r#""TargetLatencyMs":1000"#);
    run.store.put("keyed.op", "config", &patient);
    let metrics = run.gateways[0].addresses.metrics.expect("an address");
    let request = b"GET /state HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
    let is_used = || {
        exchange(metrics, request).is_ok_and(|state| state.body.contains("\"config_version\":2,"))
    };
    wait_until(is_used).expect("the configuration in use");
    run
}

/// Makes servers of each service send a response without end once.
fn inject(run: &PlatformRun, part: EndlessPart, servers: usize) {
    for service in [&run.engines, &run.plains] {
        for server in &service[..servers] {
            server.clear_faults();
            server.inject_fault(BackendFault::Endless(part));
        }
    }
}

/// Sends requests until one has met the fault, and checks the status of each.
fn send_until_met(run: &PlatformRun, request: impl Fn(&str) -> CallerRequest) {
    for number in 0..16 {
        let id = format!("r{number}");
        let response = send(run, &request(&id));
        assert_eq!(response.status, 200, "{id}: {response:?}");
        assert!(response.is_complete, "{id}: {response:?}");
        assert!(!response.body.contains("xxxx"), "{id}");
    }
    let servers = run.engines.iter().chain(&run.plains);
    let executions = servers.flat_map(PlatformBackend::executions);
    let is_endless = |fault| matches!(fault, Some(BackendFault::Endless(_)));
    assert!(
        executions.map(|e| e.fault).any(is_endless),
        "no fault was met"
    );
}

fn check_call(part: EndlessPart) {
    let run = start();
    inject(&run, part, 1);
    send_until_met(&run, |id| CallerRequest::new("GET", "/look/1", id));
}

fn check_draft(part: EndlessPart) {
    let run = start();
    inject(&run, part, 1);
    send_until_met(&run, |id| CallerRequest::turn("/draft/1", id, id, "x"));
}

/// Guards against a call that reads a response without end until its deadline, though another server
/// would serve it.
#[test]
fn a_call_leaves_a_response_without_end() {
    for part in EndlessPart::ALL {
        check_call(part);
    }
}

/// Guards against a stream that reads a response without end until its deadline.
#[test]
fn a_stream_leaves_a_response_without_end() {
    for part in EndlessPart::ALL {
        check_draft(part);
    }
}

/// Guards against a booking that waits until its deadline for a response without end.
#[test]
fn a_booking_fails_at_once_on_a_response_without_end() {
    for part in EndlessPart::ALL {
        let run = start();
        inject(&run, part, 2);
        let request = CallerRequest {
            body: "x".to_owned(),
            ..CallerRequest::new("POST", "/book/1", "b1")
        };
        let response = send(&run, &request);
        assert_eq!(response.status, 502, "{part:?}: {response:?}");
    }
}

/// Guards against requests that wait for the health check of a server whose response does not end.
#[test]
fn health_checks_without_end_delay_no_request() {
    for part in EndlessPart::ALL {
        let run = PlatformRun::start(1).expect("a platform run");
        for plain in &run.plains {
            plain.set_endless_health(part);
        }
        run.plains[0].inject_fault(BackendFault::LoseResponse);
        for number in 0..4 {
            let request = CallerRequest::new("GET", "/look/1", &format!("r{number}"));
            assert_eq!(send(&run, &request).status, 200, "{part:?}");
        }
    }
}

/// Guards against a gateway that reads responses of the store without end.
#[test]
fn calls_are_served_while_responses_of_the_store_have_no_end() {
    let run = PlatformRun::start(1).expect("a platform run");
    run.store_endpoints[0].set_mode(StoreMode::Endless);
    let started_at = Instant::now();
    while started_at.elapsed() < Duration::from_millis(2_500) {
        let request = CallerRequest::new("GET", "/look/1", "r1");
        assert_eq!(send(&run, &request).status, 200);
    }
    run.store_endpoints[0].set_mode(StoreMode::Serving);
    let ready = run.gateways[0].addresses.ready;
    wait_until(|| is_ready(ready)).expect("a ready gateway");
}

/// Sends a chunked request of which a part has no end, until it is answered or the connection ends.
fn send_endless_request(run: &PlatformRun, start: &str, part: &str) -> Option<u16> {
    let mut connection = TcpStream::connect(run.callers(0)).expect("a connection");
    let head = format!(
        "POST /book/1 HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: e1\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    connection.write_all(head.as_bytes()).expect("a head");
    connection.write_all(start.as_bytes()).expect("a start");
    let mut reader = connection.try_clone().expect("a connection");
    let writer = std::thread::spawn({
        let bytes = part.repeat(4_096);
        move || while connection.write_all(bytes.as_bytes()).is_ok() {}
    });
    let response = read_response(&mut reader);
    reader.shutdown(Shutdown::Both).ok();
    writer.join().expect("a writer");
    response.ok().map(|response| response.status)
}

/// Guards against a caller whose chunked request has no end and is read until its idle limit.
#[test]
fn a_request_without_end_is_refused_at_once() {
    let run = PlatformRun::start(1).expect("a platform run");
    for (start, part) in [("", "0"), ("5;", "x"), ("2\r\nok\r\n0\r\nx: ", "x")] {
        let started_at = Instant::now();
        let status = send_endless_request(&run, start, part);
        let took = started_at.elapsed();
        assert!(took < PROMPT, "{start:?}: {status:?} after {took:?}");
        assert_eq!(status, Some(400), "{start:?}");
    }
    assert!(run.plains.iter().all(|plain| plain.executions().is_empty()));
}
