//! Tests that callers who disconnect are noticed while the memory for callers' input is used up.

use std::io::Write;
use std::net::TcpStream;
use std::thread::sleep;
use std::time::Duration;

use standins::platform_caller::{CallerRequest, exchange};
use standins::platform_run::{PlatformRun, wait_until};

/// The memory for callers' input, in bytes, and the size of a body of which four use it up.
const INPUT_BYTES: usize = 200_000;
const BODY_BYTES: usize = 47_000;
/// The number of requests that use up the memory.
const CALLERS: usize = 4;
/// The limit for noticing a disconnect.
const NOTICE: Duration = Duration::from_millis(500);
/// How long input takes to arrive.
const ARRIVAL: Duration = Duration::from_millis(100);
/// Longer than any request of a test.
const LONG_PAUSE: Duration = Duration::from_secs(20);
/// More than is read ahead of a running request, in bytes.
const LONG_INPUT_BYTES: usize = 400_000;

/// A gateway before engines that send nothing until the end of the test.
fn start(input_bytes: usize) -> PlatformRun {
    let mut run = PlatformRun::start(0).expect("a platform run");
    let added = run.add_gateway_with(|settings| settings.body_limit_bytes = input_bytes);
    added.expect("a gateway");
    for engine in &run.engines {
        engine.configure(|settings| settings.pause = LONG_PAUSE);
    }
    run
}

fn send(run: &PlatformRun, number: usize, body_bytes: usize) -> TcpStream {
    let id = format!("r{number}");
    let request = CallerRequest::turn("/draft/1", &id, &id, &"x".repeat(body_bytes));
    let mut connection = TcpStream::connect(run.callers(0)).expect("a connection");
    connection.write_all(&request.bytes()).expect("sent");
    connection
}

fn in_flight(run: &PlatformRun) -> usize {
    let metrics = run.gateways[0].addresses.metrics.expect("an address");
    let request = b"GET /state HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
    let state = exchange(metrics, request).expect("a state").body;
    let counts = state.split("\"in_flight\":").skip(1);
    let counts = counts.filter_map(|rest| rest.split([',', '}']).next()?.parse::<usize>().ok());
    counts.sum()
}

/// Sends requests one after the other, each once the one before it runs, and then `more` behind each.
fn send_all(run: &PlatformRun, callers: usize, body_bytes: usize, more: &str) -> Vec<TcpStream> {
    let send_next = |number| {
        let connection = send(run, number, body_bytes);
        wait_until(|| in_flight(run) == number + 1).expect("a request that runs");
        connection
    };
    let mut connections: Vec<TcpStream> = (0..callers).map(send_next).collect();
    for connection in &mut connections {
        connection.write_all(more.as_bytes()).expect("sent");
    }
    sleep(ARRIVAL);
    connections
}

/// Sends requests that use up the memory, lets their callers leave, and checks that nothing runs for them.
fn check_disconnects(input_bytes: usize, callers: usize, body_bytes: usize, more: &str) {
    let run = start(input_bytes);
    let connections = send_all(&run, callers, body_bytes, more);
    drop(connections);
    sleep(NOTICE);
    assert_eq!(in_flight(&run), 0, "requests that run without a caller");
}

/// Guards against reading nothing of a connection, not even its end, without memory for input.
#[test]
fn callers_that_leave_are_noticed_at_the_memory_limit() {
    check_disconnects(INPUT_BYTES, CALLERS, BODY_BYTES, "");
}

/// Guards against the same for callers that have sent more behind their requests.
#[test]
fn callers_that_leave_behind_unread_input_are_noticed_at_the_memory_limit() {
    check_disconnects(INPUT_BYTES, CALLERS, BODY_BYTES, "GET /look/1 HTTP/1.1\r\n");
}

/// Guards against the same for callers that have sent more than is read ahead.
#[test]
fn callers_that_leave_behind_long_input_are_noticed() {
    let more = format!(
        "POST /book/1 HTTP/1.1\r\nContent-Length: 400000\r\n\r\n{}",
        "x".repeat(LONG_INPUT_BYTES)
    );
    check_disconnects(16_777_216, 1, 10, &more);
}

/// Guards against a caller whose later input is never read because memory was short when it arrived.
#[test]
fn input_that_arrives_at_the_memory_limit_is_read_once_memory_is_free() {
    let run = start(INPUT_BYTES);
    let mut connections = send_all(&run, CALLERS, BODY_BYTES, "GET /look/1 HTTP/1.1\r\n");
    let last = connections.pop().expect("a connection");
    drop(connections);
    sleep(NOTICE);
    assert_eq!(in_flight(&run), 1, "requests that run without a caller");
    drop(last);
    sleep(NOTICE);
    assert_eq!(in_flight(&run), 0, "a request that runs without a caller");
}
