//! Tests each place where a gateway process closes a caller's connection: limits that change, requests
//! that are not accepted, shutdown, and pauses of the process.

use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::thread;
use std::time::Duration;

use rustix::process::Signal;
use serde_json::Value;
use standins::platform_backend::{BackendFault, BackendSettings, PlatformBackend};
use standins::platform_caller::{CallerRequest, CallerResponse, read_response};
use standins::platform_run::{MODEL_SERVICE, PLAIN_SERVICE, config, wait_until};
use standins::platform_store::PlatformStore;
use standins::process_gateways::ProcessGateways;
use standins::soak_process::wait_for_exit;

/// The number of connections in tests of limits.
const CONNECTIONS: usize = 20;

/// A gateway process, a store, an engine and a plain server.
struct Run {
    gateways: ProcessGateways,
    store: PlatformStore,
    engine: PlatformBackend,
    plain: PlatformBackend,
}

impl Run {
    /// Starts the run with a configuration; `name` is unique among tests.
    fn start(name: &str, config: &str) -> Self {
        let store = PlatformStore::default();
        store.put("keyed.op", "config", &without_latency_target(config));
        let start = |id: &str, service| {
            let settings = BackendSettings {
                id: id.to_owned(),
                ..BackendSettings::default()
            };
            let backend = PlatformBackend::start(settings).expect("a free port");
            store.put("keyed.servers", id, &backend.entry(service, "ready"));
            backend
        };
        let engine = start("e-1", MODEL_SERVICE);
        let plain = start("p-1", PLAIN_SERVICE);
        let gateways = ProcessGateways::start(name, 1, &store).expect("a gateway");
        Self {
            gateways,
            store,
            engine,
            plain,
        }
    }

    fn connect(&self) -> TcpStream {
        let connection = TcpStream::connect(self.gateways.callers(0)).expect("a connection");
        connection.set_nodelay(true).expect("an open connection");
        connection
    }

    /// Publishes a configuration and waits until the gateway has it.
    fn configure(&self, version: u64, config: &str) {
        self.store
            .put("keyed.op", "config", &without_latency_target(config));
        let has_version = || {
            let state = self.gateways.state(0);
            state.is_ok_and(|state| state["config_version"] == version)
        };
        wait_until(has_version).expect("the configuration in force");
    }

    /// Returns the first line of a request that failed; `id` is `-` if it was not read.
    fn failure(&self, id: &str) -> Option<Value> {
        let log = self.gateways.log(0).expect("a log");
        let lines = log
            .lines()
            .filter_map(|line| serde_json::from_str(line).ok());
        let mut failures = lines.filter(|line: &Value| line["msg"] == "request_failed");
        failures.find(|line| line["request"] == id)
    }

    /// Waits until a request is logged as failed; returns the reason.
    fn failure_reason(&self, id: &str) -> String {
        wait_until(|| self.failure(id).is_some()).expect("a line with the request's id");
        let line = self.failure(id).unwrap_or_default();
        line["reason"].as_str().unwrap_or_default().to_owned()
    }

    fn run_count(&self, id: &str) -> usize {
        let executions = [&self.engine, &self.plain].map(PlatformBackend::executions);
        executions
            .iter()
            .flatten()
            .filter(|run| run.id == id)
            .count()
    }

    /// Sends SIGTERM and waits until the gateway reports that it shuts down.
    fn terminate(&self) {
        self.gateways.processes[0].send_signal(Signal::TERM);
        let has_started = || {
            let log = self.gateways.log(0);
            log.is_ok_and(|log| log.contains("shutdown_started"))
        };
        wait_until(has_started).expect("a gateway that shuts down");
    }
}

fn lookup(id: &str) -> CallerRequest {
    CallerRequest::new("GET", "/look/1", id)
}

fn booking(id: &str) -> CallerRequest {
    CallerRequest::new("POST", "/book/1", id)
}

/// Raises the latency target of lookups, after twice which they go to another server: there is only
/// one, and it may be slow beside other processes.
fn without_latency_target(config: &str) -> String {
    config.replace(r#""TargetLatencyMs":50"#, r#""TargetLatencyMs":5000"#)
}

fn with_idle_limit(version: u64, idle_ms: u64) -> String {
    let limit = format!(r#""IdleTimeoutMs":{idle_ms}"#);
    config(version).replace(r#""IdleTimeoutMs":5000"#, &limit)
}

/// A configuration whose limits and timeouts are beyond the length of a test.
fn long_timeout_config() -> String {
    config(1)
        .replace(r#""TimeoutMs":1000"#, r#""TimeoutMs":20000"#)
        .replace(r#""TimeoutMs":2000"#, r#""TimeoutMs":20000"#)
        .replace(r#""GapTargetMs":150"#, r#""GapTargetMs":20000"#)
        .replace(r#""HeaderTimeoutMs":400"#, r#""HeaderTimeoutMs":20000"#)
        .replace(r#""IdleTimeoutMs":5000"#, r#""IdleTimeoutMs":20000"#)
}

/// Sends a request on a kept connection and reads its response.
fn exchange(
    connection: &mut TcpStream,
    request: &CallerRequest,
) -> std::io::Result<CallerResponse> {
    connection.write_all(&request.bytes())?;
    read_response(connection)
}

/// Serves one lookup on each of some connections, which are idle afterwards.
fn idle_connections(run: &Run, count: usize) -> Vec<TcpStream> {
    let mut connections: Vec<TcpStream> = (0..count).map(|_| run.connect()).collect();
    for (number, connection) in connections.iter_mut().enumerate() {
        let response = exchange(connection, &lookup(&format!("first-{number}")));
        assert_eq!(response.expect("a response").status, 200);
    }
    connections
}

/// Counts the connections on which another request is served.
fn count_served(connections: &mut [TcpStream], request: impl Fn(String) -> CallerRequest) -> usize {
    let numbered = connections.iter_mut().enumerate();
    let served = numbered.filter_map(|(number, connection)| {
        let response = exchange(connection, &request(format!("second-{number}")));
        response.ok().filter(|response| response.status == 200)
    });
    served.count()
}

/// Guards against closing a connection by a limit of before the wait, as its caller sends a request.
#[test]
fn a_raised_idle_limit_applies_to_idle_connections() {
    let run = Run::start("raised-idle", &with_idle_limit(1, 1_500));
    let mut connections = idle_connections(&run, CONNECTIONS);
    run.configure(2, &with_idle_limit(2, 20_000));
    thread::sleep(Duration::from_millis(2_500));
    assert_eq!(
        count_served(&mut connections, |id| lookup(&id)),
        CONNECTIONS
    );
}

/// Guards against a caller that reuses an idle connection as the gateway closes it.
#[test]
fn a_response_announces_how_long_its_connection_may_be_reused() {
    let run = Run::start("announced-idle", &with_idle_limit(1, 10_000));
    run.plain
        .configure(|settings| settings.pause = Duration::from_millis(300));
    let mut connection = run.connect();
    let announced = |response: CallerResponse| response.headers.get("keep-alive").cloned();
    let response = exchange(&mut connection, &booking("before")).expect("a response");
    assert_eq!(announced(response).as_deref(), Some("timeout=8"));

    connection
        .write_all(&booking("during").bytes())
        .expect("request sent");
    wait_until(|| run.run_count("during") == 1).expect("the booking runs");
    run.configure(2, &with_idle_limit(2, 20_000));
    let response = read_response(&mut connection).expect("a response");
    assert_eq!(announced(response).as_deref(), Some("timeout=16"));

    run.configure(3, &with_idle_limit(3, 1_000));
    let response = exchange(&mut connection, &booking("after")).expect("a response");
    assert_eq!(announced(response), None);
}

/// Guards against closing a connection earlier than its last response has announced.
#[test]
fn an_announced_idle_limit_holds_although_it_is_lowered_before_the_response_ends() {
    let run = Run::start("lowered-in-response", &with_idle_limit(1, 20_000));
    run.engine
        .configure(|settings| settings.pause = Duration::from_millis(200));
    let mut connections: Vec<TcpStream> = (0..CONNECTIONS).map(|_| run.connect()).collect();
    for (number, connection) in connections.iter_mut().enumerate() {
        let id = format!("t{number}");
        let turn = CallerRequest::turn("/draft/1", &id, &id, "x");
        connection.write_all(&turn.bytes()).expect("request sent");
    }
    for connection in &connections {
        assert_eq!(connection.peek(&mut [0]).expect("a head"), 1);
    }
    run.configure(2, &with_idle_limit(2, 500));
    for connection in &mut connections {
        let response = read_response(connection).expect("a response");
        assert_eq!((response.status, response.is_complete), (200, true));
    }
    thread::sleep(Duration::from_millis(1_200));
    assert_eq!(
        count_served(&mut connections, |id| lookup(&id)),
        CONNECTIONS
    );
}

/// Guards against closing a connection whose caller still goes by the limit of before.
#[test]
fn a_lowered_idle_limit_spares_connections_that_are_already_idle() {
    let run = Run::start("lowered-idle", &with_idle_limit(1, 6_000));
    let mut connections = idle_connections(&run, CONNECTIONS);
    run.configure(2, &with_idle_limit(2, 300));
    thread::sleep(Duration::from_millis(1_200));
    assert_eq!(
        count_served(&mut connections, |id| lookup(&id)),
        CONNECTIONS
    );
    // They went idle under the lower limit.
    let closed = connections.iter_mut().filter_map(|connection| {
        let read = connection.read(&mut [0]);
        read.ok().filter(|count| *count == 0)
    });
    assert_eq!(closed.count(), CONNECTIONS);
}

/// Guards against closing a connection whose caller goes by a limit that was in force only for a while.
#[test]
fn an_idle_limit_that_was_raised_for_a_while_spares_idle_connections() {
    let run = Run::start("raised-for-a-while", &with_idle_limit(1, 2_000));
    let mut connections = idle_connections(&run, CONNECTIONS);
    run.configure(2, &with_idle_limit(2, 20_000));
    thread::sleep(Duration::from_millis(500));
    run.configure(3, &with_idle_limit(3, 2_000));
    thread::sleep(Duration::from_millis(2_500));
    assert_eq!(
        count_served(&mut connections, |id| lookup(&id)),
        CONNECTIONS
    );
}

/// Guards against refusing what the configuration allows by a limit of before the wait.
#[test]
fn raised_size_limits_apply_to_idle_connections() {
    let run = Run::start("raised-sizes", &config(1));
    let mut connections = idle_connections(&run, 4);
    let raised = config(2)
        .replace(r#""MaxBodyBytes":100000"#, r#""MaxBodyBytes":400000"#)
        .replace(r#""MaxHeaderBytes":4096"#, r#""MaxHeaderBytes":16000"#);
    run.configure(2, &raised);
    let large = |id: String| CallerRequest {
        body: "x".repeat(300_000),
        ..booking(&id)
    };
    assert_eq!(count_served(&mut connections[..2], large), 2);
    let long = |id: String| lookup(&id).with("X-Long", &"x".repeat(8_000));
    assert_eq!(count_served(&mut connections[2..], long), 2);
}

/// Guards against a refusal of a request that was not read in full of which the log says nothing.
#[test]
fn a_refusal_of_an_unread_request_is_logged() {
    let run = Run::start("unread-logged", &config(1));
    let mut large = booking("large");
    large.body = "x".repeat(100_001);
    let response = exchange(&mut run.connect(), &large).expect("a response");
    assert_eq!(response.status, 413);
    assert_eq!(response.headers["request-id"], "large");
    assert_eq!(run.failure_reason("large"), "body_too_large");

    let long = lookup("long").with("X-Long", &"x".repeat(5_000));
    let response = exchange(&mut run.connect(), &long).expect("a response");
    assert_eq!(response.status, 431);
    let is_logged = || ["long", "-"].iter().any(|id| run.failure(id).is_some());
    wait_until(is_logged).expect("a line");

    let mut connection = run.connect();
    connection
        .write_all(b"GET / HTTP/9.9\r\n\r\n")
        .expect("request sent");
    let response = read_response(&mut connection).expect("a response");
    assert_eq!(response.status, 400);
    wait_until(|| run.failure("-").is_some()).expect("a line");
}

/// Guards against the same for a body that does not arrive in time.
#[test]
fn an_incomplete_body_is_refused_and_logged_with_its_id() {
    let run = Run::start("unread-body", &with_idle_limit(1, 500));
    let mut slow = booking("slow");
    slow.body = "x".repeat(100);
    let bytes = slow.bytes();
    let mut connection = run.connect();
    connection
        .write_all(&bytes[..bytes.len() - 10])
        .expect("request sent");
    let response = read_response(&mut connection).expect("a response");
    assert_eq!(response.status, 408);
    assert_eq!(response.headers["request-id"], "slow");
    assert_eq!(run.failure_reason("slow"), "receive_timeout");
    assert_eq!(run.run_count("slow"), 0);
}

/// Guards against a reset, by unread bytes, that destroys the refusal of a caller that still sends.
#[test]
fn a_refusal_reaches_a_caller_that_is_still_sending() {
    let run = Run::start("still-sending", &config(1));
    for number in 0..CONNECTIONS {
        let mut large = booking(&format!("large-{number}"));
        large.body = "x".repeat(6_000_000);
        let mut connection = run.connect();
        for part in large.bytes().chunks(1_000_000) {
            connection.write_all(part).expect("an open connection");
            thread::sleep(Duration::from_millis(2));
        }
        let response = read_response(&mut connection).expect("a response");
        assert_eq!(response.status, 413, "{number}");
    }
}

/// Guards against dropping running requests without an answer when the shutdown limit is reached, and
/// against lines that say that their callers left.
#[test]
fn requests_that_outlast_the_shutdown_limit_are_answered() {
    let run = Run::start("outlast", &long_timeout_config());
    run.plain.inject_fault(BackendFault::Silence);
    run.engine.inject_fault(BackendFault::SilentAfter(2));
    let mut running = run.connect();
    running
        .write_all(&booking("running").bytes())
        .expect("request sent");
    let mut begun = run.connect();
    let turn = CallerRequest::turn("/chat/1", "begun", "p1", "x");
    begun.write_all(&turn.bytes()).expect("request sent");
    wait_until(|| run.run_count("running") + run.run_count("begun") == 2).expect("both run");
    let mut received = run.connect();
    let partial = booking("received").bytes();
    received
        .write_all(&partial[..partial.len() - 2])
        .expect("request sent");
    let mut waiting = run.connect();
    let turn = CallerRequest::turn("/chat/1", "waiting", "p2", "x").with("Token-Budget", "9000");
    let turn = turn.bytes();
    waiting
        .write_all(&turn[..turn.len() - 1])
        .expect("request sent");
    run.terminate();
    // The wait for the store begins shortly before the shutdown limit of 3 s.
    thread::sleep(Duration::from_millis(2_200));
    run.gateways.silence_store();
    waiting.write_all(&turn[turn.len() - 1..]).expect("sent");

    let response = read_response(&mut waiting).expect("a response");
    assert_eq!(response.status, 503);
    assert!(response.headers.contains_key("retry-after"));
    let response = read_response(&mut received).expect("a response");
    assert_eq!(response.status, 503);
    assert!(response.headers.contains_key("retry-after"));
    let response = read_response(&mut running).expect("a response");
    assert!([502, 504].contains(&response.status), "{response:?}");
    let response = read_response(&mut begun).expect("a response");
    assert_eq!((response.status, response.is_complete), (200, false));
    for id in ["running", "begun", "waiting"] {
        let reason = run.failure_reason(id);
        assert!(
            reason.contains("shutdown") || reason.contains("shutting"),
            "{id}: {reason}"
        );
    }
    assert_eq!(run.run_count("waiting"), 0);
}

/// Guards against a kept connection that is closed while idle although its last response, which ended
/// during the shutdown, did not say so.
#[test]
fn a_response_that_ends_during_the_shutdown_announces_the_close() {
    let run = Run::start("announced", &config(1));
    run.plain
        .configure(|settings| settings.pause = Duration::from_millis(700));
    let mut connection = run.connect();
    connection
        .write_all(&booking("b1").bytes())
        .expect("request sent");
    wait_until(|| run.run_count("b1") == 1).expect("the booking runs");
    run.terminate();
    let response = read_response(&mut connection).expect("a response");
    assert_eq!(response.status, 200);
    let announced = response.headers.get("connection").map(String::as_str);
    assert_eq!(announced, Some("close"));
}

/// Guards against dropping a whole request that was read while the one before it ran.
#[test]
fn a_pipelined_request_is_answered_during_the_shutdown() {
    let run = Run::start("pipelined", &config(1));
    run.plain
        .configure(|settings| settings.pause = Duration::from_millis(300));
    let mut connection = run.connect();
    let both = [booking("b1").bytes(), booking("b2").bytes()].concat();
    connection.write_all(&both).expect("requests sent");
    wait_until(|| run.run_count("b1") == 1).expect("the booking runs");
    run.terminate();
    let mut text = String::new();
    connection
        .set_read_timeout(Some(Duration::from_secs(10)))
        .expect("an open connection");
    connection.read_to_string(&mut text).expect("the responses");
    assert!(text.contains("answer to b1"), "{text}");
    assert!(text.contains("answer to b2"), "{text}");
}

/// Guards against timers that fire after a pause of the process, before input that has arrived
/// during it is read.
#[test]
fn input_that_arrives_during_a_pause_of_the_process_is_served() {
    let config = with_idle_limit(1, 1_500).replace(r#""TimeoutMs":1000"#, r#""TimeoutMs":20000"#);
    let run = Run::start("paused", &config);
    let mut connections = idle_connections(&run, CONNECTIONS);
    let partial = |id: &str| {
        let mut request = booking(id);
        request.body = "x".repeat(90_000);
        request.bytes()
    };
    let requests: Vec<Vec<u8>> = (0..CONNECTIONS)
        .map(|number| partial(&format!("partial-{number}")))
        .collect();
    let mut receiving: Vec<TcpStream> = (0..CONNECTIONS).map(|_| run.connect()).collect();
    for (number, connection) in receiving.iter_mut().enumerate() {
        // Some stop within the head, others within the body.
        let sent = if number % 2 == 0 { 30 } else { 1_000 };
        connection
            .write_all(&requests[number][..sent])
            .expect("request sent");
    }
    thread::sleep(Duration::from_millis(50));
    let process = &run.gateways.processes[0];
    process.send_signal(Signal::STOP);
    for (number, connection) in receiving.iter_mut().enumerate() {
        let sent = if number % 2 == 0 { 30 } else { 1_000 };
        connection
            .write_all(&requests[number][sent..])
            .expect("request sent");
    }
    for (number, connection) in connections.iter_mut().enumerate() {
        let request = lookup(&format!("idle-{number}")).bytes();
        connection.write_all(&request).expect("request sent");
    }
    thread::sleep(Duration::from_secs(3));
    process.send_signal(Signal::CONT);
    let statuses = |connections: &mut [TcpStream]| -> Vec<u16> {
        let read = connections.iter_mut().map(read_response);
        read.map(|response| response.map_or(0, |response| response.status))
            .collect()
    };
    assert_eq!(statuses(&mut connections), [200; CONNECTIONS]);
    assert_eq!(statuses(&mut receiving), [200; CONNECTIONS]);
}

/// Guards against sending a request whose deadline has passed, so that its refusal could not promise
/// that it has not run.
#[test]
fn a_request_that_is_read_after_its_deadline_is_refused_as_not_run() {
    let config = config(1).replace(r#""HeaderTimeoutMs":400"#, r#""HeaderTimeoutMs":20000"#);
    let run = Run::start("late-read", &config);
    let requests: Vec<Vec<u8>> = (0..CONNECTIONS)
        .map(|number| booking(&format!("late-{number}")).bytes())
        .collect();
    let mut connections: Vec<TcpStream> = (0..CONNECTIONS).map(|_| run.connect()).collect();
    for (connection, request) in connections.iter_mut().zip(&requests) {
        connection.write_all(&request[..20]).expect("request sent");
    }
    thread::sleep(Duration::from_millis(100));
    let process = &run.gateways.processes[0];
    process.send_signal(Signal::STOP);
    for (connection, request) in connections.iter_mut().zip(&requests) {
        connection.write_all(&request[20..]).expect("request sent");
    }
    thread::sleep(Duration::from_millis(1_500));
    process.send_signal(Signal::CONT);
    for (number, connection) in connections.iter_mut().enumerate() {
        let response = read_response(connection).expect("a response");
        assert_eq!(response.status, 503, "{number}");
        assert!(response.headers.contains_key("retry-after"), "{number}");
        assert_eq!(run.run_count(&format!("late-{number}")), 0);
    }
}

/// Guards against refusing a request whose response arrived during a pause in which its deadline passed.
#[test]
fn a_response_that_arrives_during_a_pause_of_the_process_is_delivered() {
    let run = Run::start("late-response", &config(1));
    run.plain
        .configure(|settings| settings.pause = Duration::from_millis(300));
    let mut connections: Vec<TcpStream> = (0..CONNECTIONS).map(|_| run.connect()).collect();
    for (number, connection) in connections.iter_mut().enumerate() {
        let request = booking(&format!("paused-{number}")).bytes();
        connection.write_all(&request).expect("request sent");
    }
    let has_run = |number| run.run_count(&format!("paused-{number}")) == 1;
    wait_until(|| (0..CONNECTIONS).all(has_run)).expect("the bookings run");
    let process = &run.gateways.processes[0];
    process.send_signal(Signal::STOP);
    thread::sleep(Duration::from_millis(1_500));
    process.send_signal(Signal::CONT);
    let read = connections.iter_mut().map(read_response);
    let statuses: Vec<u16> = read
        .map(|response| response.map_or(0, |response| response.status))
        .collect();
    assert_eq!(statuses, [200; CONNECTIONS]);
}

/// Guards against running requests whose callers closed their connections before they were handled.
#[test]
fn a_request_whose_caller_has_left_is_not_run() {
    let run = Run::start("left", &config(1));
    let process = &run.gateways.processes[0];
    process.send_signal(Signal::STOP);
    for number in 0..CONNECTIONS {
        let mut connection = run.connect();
        let request = booking(&format!("left-{number}")).bytes();
        connection.write_all(&request).expect("request sent");
        connection.shutdown(Shutdown::Both).expect("open");
    }
    // The last closes have to arrive before the process goes on.
    thread::sleep(Duration::from_millis(300));
    process.send_signal(Signal::CONT);
    for number in 0..CONNECTIONS {
        let id = format!("left-{number}");
        assert_eq!(run.failure_reason(&id), "caller_left");
    }
    let count = (0..CONNECTIONS).map(|number| run.run_count(&format!("left-{number}")));
    assert_eq!(count.sum::<usize>(), 0);
}

/// Guards against dropping a connection that was accepted, or a request that was sent, as idle
/// connections are closed.
#[test]
fn a_request_that_arrives_with_the_close_of_idle_connections_is_answered() {
    let run = Run::start("close-race", &config(1));
    let mut connections = idle_connections(&run, CONNECTIONS);
    run.terminate();
    let process = &run.gateways.processes[0];
    process.send_signal(Signal::STOP);
    let mut fresh: Vec<TcpStream> = (0..CONNECTIONS).map(|_| run.connect()).collect();
    for (number, connection) in connections.iter_mut().chain(&mut fresh).enumerate() {
        let request = lookup(&format!("late-{number}")).bytes();
        connection.write_all(&request).expect("request sent");
    }
    // The notice of 400 ms ends during the pause.
    thread::sleep(Duration::from_millis(800));
    process.send_signal(Signal::CONT);
    let responses = connections.iter_mut().chain(&mut fresh).map(read_response);
    let answered = responses.filter(|response| {
        let status = response.as_ref().map(|response| response.status);
        matches!(status, Ok(200 | 503))
    });
    assert_eq!(answered.count(), 2 * CONNECTIONS);
}

/// Guards against a shutdown that a caller delays by keeping an answered connection open.
#[test]
fn a_connection_that_stays_open_does_not_hold_up_the_exit() {
    let mut run = Run::start("stays-open", &config(1));
    let connections = idle_connections(&run, CONNECTIONS);
    let child = run.gateways.processes[0].terminate().expect("a process");
    let status = wait_for_exit(child).expect("an exit");
    assert!(status.is_some_and(|status| status.success()));
    drop(connections);
}
