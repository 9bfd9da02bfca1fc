//! Tests the whole request path: callers, a gateway, the store and backend servers.

use std::net::TcpStream;
use std::time::Duration;

use std::io::Write;

use standins::platform_backend::{BackendFault, PlatformBackend, body_text, event_data};
use standins::platform_caller::{CallerRequest, exchange, read_response};
use standins::platform_run::{PlatformRun, config, wait_until};

fn run() -> PlatformRun {
    PlatformRun::start(1).expect("a platform run")
}

/// Returns the events of a stream as the stand-in engine writes them.
fn events(id: &str, numbers: std::ops::RangeInclusive<u64>) -> String {
    let event = |number| format!("id: {number}\ndata: {}\n\n", event_data(id, number));
    numbers.map(event).collect::<Vec<_>>().concat()
}

/// Counts the executions of a request at all of the given servers.
fn execution_count(servers: &[PlatformBackend], id: &str) -> usize {
    let all = servers.iter().flat_map(PlatformBackend::executions);
    all.filter(|execution| execution.id == id).count()
}

#[test]
fn a_program_completes_its_turns_and_tool_calls() {
    let run = run();
    let address = run.callers(0);
    let budget = |turn: CallerRequest| turn.with("Token-Budget", "400");
    let first = budget(CallerRequest::turn("/chat/1", "t1", "p1", "hello"));
    let first = first.send(address).expect("a response");
    assert_eq!((first.status, first.is_complete), (200, true));
    assert_eq!(first.body, events("t1", 1..=4));
    assert_eq!(first.headers["server-stamp"], "s");

    let tool = CallerRequest::new("GET", "/look/1", "c1")
        .send(address)
        .expect("a response");
    assert_eq!((tool.status, &*tool.body), (200, "answer to c1"));

    let second = budget(CallerRequest::turn("/chat/1", "t2", "p1", " again"));
    let second = second
        .with("Previous-Turn", "t1")
        .send(address)
        .expect("a response");
    assert_eq!(second.status, 200);
    let executions = run.engines.iter().flat_map(PlatformBackend::executions);
    let executions = executions
        .filter(|execution| execution.id == "t2")
        .collect::<Vec<_>>();
    assert_eq!(executions.len(), 1);
    assert_eq!(
        body_text(&executions[0].request.body),
        "hellot1-1\nt1-2\nt1-3\nt1-4\n again"
    );
}

/// Guards against callers that forge the headers controlling KV memory at the engines. The engine
/// receives only the end-to-end headers of the caller, the expected instance and the remaining
/// deadline.
#[test]
fn reserved_headers_from_callers_do_not_reach_the_engine() {
    let run = run();
    let turn = CallerRequest::turn("/draft/1", "t1", "p1", "x");
    let turn = [
        "Hold",
        "Pin-Ms",
        "Kv-Backup",
        "Kv-From",
        "Expect-Instance",
        "X-Hop",
    ]
    .into_iter()
    .fold(turn, |turn, name| turn.with(name, "forged"));
    let turn = turn
        .with("Connection", "keep-alive, X-Hop")
        .with("X-Own", "kept")
        .with("Deadline-Ms", "1500");
    assert_eq!(turn.send(run.callers(0)).expect("a response").status, 200);
    let executions = run.engines.iter().flat_map(PlatformBackend::executions);
    let headers = executions.last().expect("one execution").request.headers;
    for name in ["hold", "pin-ms", "kv-backup", "kv-from", "x-hop"] {
        assert!(!headers.contains_key(name), "{name} reached the engine");
    }
    assert!(headers["expect-instance"].starts_with("e-"));
    assert_eq!(headers["x-own"], "kept");
    let deadline_ms: u64 = headers["deadline-ms"].parse().expect("a number");
    assert!((1_000..=1_500).contains(&deadline_ms), "{deadline_ms} ms");
}

#[test]
fn requests_outside_the_configuration_are_refused() {
    let run = run();
    let address = run.callers(0);
    let status = |request: CallerRequest| request.send(address).expect("a response").status;
    assert_eq!(status(CallerRequest::new("GET", "/nowhere/1", "r1")), 404);
    let without_id = exchange(
        address,
        b"GET /look/1 HTTP/1.1\r\nHost: host.example\r\n\r\n",
    );
    assert_eq!(without_id.expect("a response").status, 400);
    let long = CallerRequest::new("GET", "/look/1", "r2").with("X-Long", &"x".repeat(5_000));
    assert_eq!(status(long), 431);
    let mut large = CallerRequest::new("POST", "/book/1", "r3");
    large.body = "x".repeat(100_001);
    assert_eq!(status(large), 413);
    let smuggled = "POST /book/1 HTTP/1.1\r\nHost: host.example\r\nRequest-Id: r4\r\n\
                    Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
    assert_eq!(
        exchange(address, smuggled.as_bytes())
            .expect("a response")
            .status,
        400
    );
    assert_eq!(
        execution_count(&run.plains, "r3") + execution_count(&run.plains, "r4"),
        0
    );
}

/// An incomplete request head gets 408 after the configured timeout, so that it holds no connection
/// for longer and the caller knows that it has not run.
#[test]
fn an_incomplete_request_times_out_with_408() {
    let run = run();
    let response =
        exchange(run.callers(0), b"GET /look/1 HTTP/1.1\r\nHost: ho").expect("a response");
    assert_eq!(response.status, 408);
    assert!(
        response.took >= Duration::from_millis(300),
        "{:?}",
        response.took
    );
}

/// A newer configuration takes effect without a restart; an older version published later is
/// ignored.
#[test]
fn a_newer_configuration_applies_and_an_older_one_is_ignored() {
    let run = run();
    let address = run.callers(0);
    let status = || {
        let request = CallerRequest::new("GET", "/look/1", "r1");
        request.send(address).map_or(0, |response| response.status)
    };
    assert_eq!(status(), 200);
    let without = config(9).replace("/look/", "/other/");
    run.store.put("keyed.op", "config", &without);
    wait_until(|| status() == 404).expect("version 9 in force");
    run.store.put("keyed.op", "config", &config(8));
    std::thread::sleep(Duration::from_millis(1_300));
    assert_eq!(status(), 404);
}

/// A draining server and an unreadable server entry get no new requests; the unreadable entry does
/// not affect other servers.
#[test]
fn a_draining_server_gets_no_new_requests() {
    let run = run();
    let address = run.callers(0);
    let leaving = run.plains[0].entry("plain", "draining");
    run.store.put("keyed.servers", "p-1", &leaving);
    run.store.put("keyed.servers", "odd", "{\"Service\":7}");
    std::thread::sleep(Duration::from_millis(1_500));
    let before = run.plains[0].executions().len();
    for number in 0..20 {
        let request = CallerRequest::new("GET", "/look/1", &format!("r{number}"));
        assert_eq!(request.send(address).expect("a response").status, 200);
    }
    assert_eq!(run.plains[0].executions().len(), before);
}

/// After a termination signal the gateway reports not ready, completes the running stream and exits
/// in spite of an idle connection.
#[test]
fn a_graceful_shutdown_completes_running_streams() {
    let mut run = run();
    let address = run.callers(0);
    for engine in &run.engines {
        engine.configure(|settings| settings.pause = Duration::from_millis(150));
    }
    let mut caller = TcpStream::connect(address).expect("a connection");
    let turn = CallerRequest::turn("/draft/1", "t1", "p1", "x");
    caller.write_all(&turn.bytes()).expect("request sent");
    let _idle = TcpStream::connect(address).expect("a connection");
    wait_until(|| execution_count(&run.engines, "t1") == 1).expect("the turn runs");
    run.gateways[0].terminate();
    std::thread::sleep(Duration::from_millis(50));
    assert!(!standins::platform_run::is_ready(
        run.gateways[0].addresses.ready
    ));
    let response = read_response(&mut caller).expect("a response");
    assert_eq!((response.status, response.is_complete), (200, true));
    assert_eq!(response.body, events("t1", 1..=4));
    wait_until(|| run.gateways[0].has_ended()).expect("the process exits");
}

/// A request that straddles the end of the notice period gets a complete response, although nothing
/// else is in flight.
#[test]
fn a_request_that_arrives_as_the_notice_ends_is_answered() {
    let mut run = run();
    let address = run.callers(0);
    let lookup = CallerRequest::new("GET", "/look/1", "r1").bytes();
    let (first, rest) = lookup.split_at(lookup.len() / 2);
    let mut caller = TcpStream::connect(address).expect("a connection");
    run.gateways[0].terminate();
    // The notice period is 300 ms.
    std::thread::sleep(Duration::from_millis(250));
    caller.write_all(first).expect("request sent");
    std::thread::sleep(Duration::from_millis(200));
    caller.write_all(rest).expect("request sent");
    let response = read_response(&mut caller).expect("a response");
    assert_eq!((response.status, response.is_complete), (200, true));
    wait_until(|| run.gateways[0].has_ended()).expect("the process exits");
}

/// A request that one server refuses as not run is sent to the other. With both refusing, the
/// caller gets 503 with `retry-after` and nothing has run.
#[test]
fn a_503_with_retry_after_means_the_request_has_not_run() {
    let run = run();
    let address = run.callers(0);
    run.plains[0].inject_fault(BackendFault::Refuse);
    run.plains[1].inject_fault(BackendFault::Refuse);
    let request = CallerRequest::new("POST", "/book/1", "r1");
    let response = request.send(address).expect("a response");
    assert_eq!(response.status, 503);
    assert!(response.headers.contains_key("retry-after"));
    assert_eq!(execution_count(&run.plains, "r1"), 0);
    let request = CallerRequest::new("POST", "/book/1", "r2");
    assert_eq!(request.send(address).expect("a response").status, 200);
    assert_eq!(execution_count(&run.plains, "r2"), 1);
}

/// A connection closed before the response leaves open whether the booking ran. It is not sent
/// again, since it could run twice; the caller gets 502.
#[test]
fn a_booking_is_not_retried_after_a_lost_response() {
    let run = run();
    for plain in &run.plains {
        plain.inject_fault(BackendFault::LoseResponse);
    }
    let request = CallerRequest::new("POST", "/book/1", "r1");
    let response = request.send(run.callers(0)).expect("a response");
    assert_eq!(response.status, 502);
    assert_eq!(execution_count(&run.plains, "r1"), 1);
}

/// A booking without a response gets 504 at the route's timeout rather than 503, since it may have
/// run.
#[test]
fn a_booking_without_a_response_gets_504_at_the_timeout() {
    let run = run();
    for plain in &run.plains {
        plain.inject_fault(BackendFault::Silence);
    }
    let request = CallerRequest::new("POST", "/book/1", "r1");
    let response = request.send(run.callers(0)).expect("a response");
    assert_eq!(response.status, 504);
    assert!(
        response.took >= Duration::from_millis(900),
        "{:?}",
        response.took
    );
    assert_eq!(execution_count(&run.plains, "r1"), 1);
}

/// Lookups whose response is lost, truncated, unframed or has the wrong request id are retried at
/// the other server, and each caller gets the complete response to its own request.
#[test]
fn a_lookup_survives_bad_responses() {
    let run = run();
    let faults = [
        BackendFault::LoseResponse,
        BackendFault::Silence,
        BackendFault::CutAfter(0),
        BackendFault::WrongId,
        BackendFault::Unframed,
        BackendFault::ExtraResponse,
    ];
    for fault in faults {
        run.plains[0].inject_fault(fault);
        let mut number = 0;
        // A server that failed is skipped for a while, so the next fault may take several lookups.
        while run.plains[0].has_pending_faults() {
            let id = format!("{fault:?}-{number}");
            let request = CallerRequest::new("GET", "/look/1", &id);
            let response = request.send(run.callers(0)).expect("a response");
            let expected = format!("answer to {id}");
            assert_eq!((response.status, response.body), (200, expected));
            number += 1;
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

/// Guards against a surplus response on a reused connection being delivered to the next request:
/// the connection is closed instead.
#[test]
fn a_surplus_response_is_not_delivered() {
    let run = run();
    let address = run.callers(0);
    for number in 0..12 {
        run.plains[number % 2].inject_fault(BackendFault::ExtraResponse);
    }
    for number in 0..24 {
        let id = format!("r{number}");
        let response = CallerRequest::new("POST", "/book/1", &id).send(address);
        let response = response.expect("a response");
        assert_eq!(response.body, format!("answer to {id}"));
    }
}

/// A surplus response may arrive while the next request is under way on the same connection. It has
/// another request id and is not delivered; the booking that met it may have run, so it gets 502
/// and is not retried.
#[test]
fn a_late_surplus_response_is_not_delivered() {
    let run = run();
    let address = run.callers(0);
    for number in 0..12 {
        let pause = Duration::from_millis(1 + number % 4);
        let plain = usize::from(number % 2 == 1);
        run.plains[plain].inject_fault(BackendFault::LateExtraResponse(pause));
    }
    for number in 0..24 {
        let id = format!("r{number}");
        let response = CallerRequest::new("POST", "/book/1", &id).send(address);
        let response = response.expect("a response");
        match response.status {
            200 => assert_eq!(response.body, format!("answer to {id}")),
            status => {
                assert_eq!(status, 502, "{}", response.body);
                assert!(
                    !response.headers.contains_key("retry-after"),
                    "it may have run"
                );
            }
        }
        assert!(
            execution_count(&run.plains, &id) <= 1,
            "{id} ran more than once"
        );
    }
}

/// When an engine closes its connection or falls silent mid-stream, a resumable stream continues at
/// the other engine: the caller gets each event once, in order, in one response.
#[test]
fn a_resumable_stream_continues_at_another_engine() {
    let run = run();
    let address = run.callers(0);
    for (id, fault) in [
        ("t1", BackendFault::CutAfter(2)),
        ("t2", BackendFault::SilentAfter(1)),
    ] {
        let probe = CallerRequest::turn("/draft/1", &format!("{id}-first"), id, "x");
        probe.send(address).expect("a response");
        let holder = run.engines.iter().position(|engine| {
            let executions = engine.executions();
            executions
                .iter()
                .any(|execution| execution.id == format!("{id}-first"))
        });
        run.engines[holder.expect("an engine")].inject_fault(fault);
        let response = CallerRequest::turn("/draft/1", id, id, "x").send(address);
        let response = response.expect("a response");
        assert_eq!(
            (response.status, response.is_complete),
            (200, true),
            "{fault:?}"
        );
        assert_eq!(response.body, events(id, 1..=4), "{fault:?}");
        assert_eq!(execution_count(&run.engines, id), 2, "{fault:?}");
    }
}

/// When the engine closes a stream that is not resumable, the response must be visibly incomplete
/// and the turn is not sent again.
#[test]
fn a_non_resumable_stream_ends_visibly_incomplete() {
    let run = run();
    for engine in &run.engines {
        engine.inject_fault(BackendFault::CutAfter(2));
    }
    let turn = CallerRequest::turn("/chat/1", "t1", "p1", "x");
    let response = turn.send(run.callers(0)).expect("a response");
    assert_eq!((response.status, response.is_complete), (200, false));
    assert_eq!(response.body, events("t1", 1..=2));
    assert_eq!(execution_count(&run.engines, "t1"), 1);
}

/// When a caller disconnects mid-stream, the gateway closes the connection to the engine and the
/// request no longer counts as in flight.
#[test]
fn a_caller_disconnect_closes_the_engine_connection() {
    let run = run();
    for engine in &run.engines {
        engine.configure(|settings| {
            settings.pause = Duration::from_millis(100);
            settings.events = 100;
        });
    }
    let mut caller = TcpStream::connect(run.callers(0)).expect("a connection");
    let turn = CallerRequest::turn("/draft/1", "t1", "p1", "x");
    caller.write_all(&turn.bytes()).expect("request sent");
    let state = || {
        let metrics = run.gateways[0].addresses.metrics.expect("an address");
        let request = b"GET /state HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
        exchange(metrics, request)
            .map(|response| response.body)
            .unwrap_or_default()
    };
    wait_until(|| state().contains("\"in_flight\":1")).expect("the turn runs");
    drop(caller);
    wait_until(|| !state().contains("\"in_flight\":1")).expect("the connection slot is released");
}

/// A server that passes health checks but does not respond to requests is skipped after a few
/// timeouts, so that most lookups do not wait for it.
#[test]
fn an_unresponsive_server_is_skipped() {
    let run = run();
    for _ in 0..100 {
        run.plains[0].inject_fault(BackendFault::Silence);
    }
    for number in 0..100 {
        let request = CallerRequest::new("GET", "/look/1", &format!("r{number}"));
        let response = request.send(run.callers(0)).expect("a response");
        assert_eq!(response.status, 200);
    }
    let silent = run.plains[0].executions().len();
    assert!(
        (1..=10).contains(&silent),
        "{silent} of 100 lookups reached the silent server"
    );
}
