//! The whole path on the platform: callers, a gateway, the store and backend servers.

use std::net::TcpStream;
use std::time::Duration;

use std::io::Write;

use standins::platform_backend::{BackendFault, PlatformBackend, body_text, event_data};
use standins::platform_caller::{CallerRequest, exchange, read_response};
use standins::platform_run::{PlatformRun, config, wait_until};

fn run() -> PlatformRun {
    PlatformRun::start(1).expect("a run")
}

/// The events of a stream as the stand-in engine writes them.
fn events(id: &str, numbers: std::ops::RangeInclusive<u64>) -> String {
    let event = |number| format!("id: {number}\ndata: {}\n\n", event_data(id, number));
    numbers.map(event).collect::<Vec<_>>().concat()
}

/// All executions at both servers of a service, by request id.
fn executed(servers: &[PlatformBackend], id: &str) -> usize {
    let all = servers.iter().flat_map(PlatformBackend::executions);
    all.filter(|execution| execution.id == id).count()
}

#[test]
fn a_program_runs_turns_and_tools_to_its_end() {
    let run = run();
    let at = run.callers(0);
    let budget = |turn: CallerRequest| turn.with("Token-Budget", "400");
    let first = budget(CallerRequest::turn("/chat/1", "t1", "p1", "hello"));
    let first = first.send(at).expect("an answer");
    assert_eq!((first.status, first.is_complete), (200, true));
    assert_eq!(first.body, events("t1", 1..=4));
    assert_eq!(first.headers["server-stamp"], "s");

    let tool = CallerRequest::new("GET", "/look/1", "c1")
        .send(at)
        .expect("an answer");
    assert_eq!((tool.status, &*tool.body), (200, "answer to c1"));

    let second = budget(CallerRequest::turn("/chat/1", "t2", "p1", " again"));
    let second = second
        .with("Previous-Turn", "t1")
        .send(at)
        .expect("an answer");
    assert_eq!(second.status, 200);
    let ran = run.engines.iter().flat_map(PlatformBackend::executions);
    let ran = ran
        .filter(|execution| execution.id == "t2")
        .collect::<Vec<_>>();
    assert_eq!(ran.len(), 1);
    assert_eq!(
        body_text(&ran[0].request.body),
        "hellot1-1\nt1-2\nt1-3\nt1-4\n again"
    );
}

/// A caller sets headers that hold or move engines' memory, and a hop-by-hop header of its own. The
/// engine must see none of them, or any caller could take what belongs to others; it sees the
/// caller's other headers, the server that is meant, and a deadline that has shrunk.
#[test]
fn only_the_scheduler_sets_its_headers() {
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
    assert_eq!(turn.send(run.callers(0)).expect("an answer").status, 200);
    let ran = run.engines.iter().flat_map(PlatformBackend::executions);
    let headers = ran.last().expect("one execution").request.headers;
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
    let at = run.callers(0);
    let status = |request: CallerRequest| request.send(at).expect("an answer").status;
    assert_eq!(status(CallerRequest::new("GET", "/nowhere/1", "r1")), 404);
    let without_id = exchange(at, b"GET /look/1 HTTP/1.1\r\nHost: host.example\r\n\r\n");
    assert_eq!(without_id.expect("an answer").status, 400);
    let long = CallerRequest::new("GET", "/look/1", "r2").with("X-Long", &"x".repeat(5_000));
    assert_eq!(status(long), 431);
    let mut large = CallerRequest::new("POST", "/book/1", "r3");
    large.body = "x".repeat(100_001);
    assert_eq!(status(large), 413);
    let smuggled = "POST /book/1 HTTP/1.1\r\nHost: host.example\r\nRequest-Id: r4\r\n\
                    Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
    assert_eq!(
        exchange(at, smuggled.as_bytes()).expect("an answer").status,
        400
    );
    assert_eq!(executed(&run.plains, "r3") + executed(&run.plains, "r4"), 0);
}

/// A caller sends half a head and then nothing. It is told 408 after the time of the configuration,
/// so that it knows that the request has not run, and holds no connection for longer.
#[test]
fn half_a_request_is_refused_in_time() {
    let run = run();
    let answer = exchange(run.callers(0), b"GET /look/1 HTTP/1.1\r\nHost: ho").expect("an answer");
    assert_eq!(answer.status, 408);
    assert!(
        answer.took >= Duration::from_millis(300),
        "{:?}",
        answer.took
    );
}

/// The operator publishes a version without a route, and then an older one. Requests of the route
/// are refused once the first is read, and the older one changes nothing: a process never goes back.
#[test]
fn a_configuration_is_taken_up_and_never_goes_back() {
    let run = run();
    let at = run.callers(0);
    let status = || {
        let request = CallerRequest::new("GET", "/look/1", "r1");
        request.send(at).map_or(0, |answer| answer.status)
    };
    assert_eq!(status(), 200);
    let without = config(9).replace("/look/", "/other/");
    run.store.put("keyed.op", "config", &without);
    wait_until(|| status() == 404).expect("version 9 in force");
    run.store.put("keyed.op", "config", &config(8));
    std::thread::sleep(Duration::from_millis(1_300));
    assert_eq!(status(), 404);
}

/// A server reports that it is leaving, another's entry can't be read. New requests go to neither;
/// the entry that can't be read disturbs no other.
#[test]
fn a_leaving_server_gets_nothing_new() {
    let run = run();
    let at = run.callers(0);
    let leaving = run.plains[0].entry("plain", "draining");
    run.store.put("keyed.servers", "p-1", &leaving);
    run.store.put("keyed.servers", "odd", "{\"Service\":7}");
    std::thread::sleep(Duration::from_millis(1_500));
    let before = run.plains[0].executions().len();
    for number in 0..20 {
        let request = CallerRequest::new("GET", "/look/1", &format!("r{number}"));
        assert_eq!(request.send(at).expect("an answer").status, 200);
    }
    assert_eq!(run.plains[0].executions().len(), before);
}

/// A gateway is told to end while a stream runs and a caller holds an idle connection. The stream is
/// answered whole, the process is not ready meanwhile, and it ends once nothing runs.
#[test]
fn a_graceful_end_cuts_nothing() {
    let mut run = run();
    let at = run.callers(0);
    for engine in &run.engines {
        engine.configure(|settings| settings.pause = Duration::from_millis(150));
    }
    let mut caller = TcpStream::connect(at).expect("a connection");
    let turn = CallerRequest::turn("/draft/1", "t1", "p1", "x");
    caller.write_all(&turn.bytes()).expect("sent");
    let _idle = TcpStream::connect(at).expect("a connection");
    wait_until(|| executed(&run.engines, "t1") == 1).expect("the turn runs");
    run.gateways[0].terminate();
    std::thread::sleep(Duration::from_millis(50));
    assert!(!standins::platform_run::is_ready(
        run.gateways[0].addresses.ready
    ));
    let answer = read_response(&mut caller).expect("an answer");
    assert_eq!((answer.status, answer.is_complete), (200, true));
    assert_eq!(answer.body, events("t1", 1..=4));
    wait_until(|| run.gateways[0].has_ended()).expect("the end");
}

/// A gateway was told to end and takes callers until its notice is over; just then a request arrives,
/// half of it before and half of it after. It is answered whole, though nothing else ran in between.
#[test]
fn a_request_that_arrives_as_the_notice_ends_is_answered() {
    let mut run = run();
    let at = run.callers(0);
    let lookup = CallerRequest::new("GET", "/look/1", "r1").bytes();
    let (first, rest) = lookup.split_at(lookup.len() / 2);
    let mut caller = TcpStream::connect(at).expect("a connection");
    run.gateways[0].terminate();
    // The notice takes 300 ms.
    std::thread::sleep(Duration::from_millis(250));
    caller.write_all(first).expect("sent");
    std::thread::sleep(Duration::from_millis(200));
    caller.write_all(rest).expect("sent");
    let answer = read_response(&mut caller).expect("an answer");
    assert_eq!((answer.status, answer.is_complete), (200, true));
    wait_until(|| run.gateways[0].has_ended()).expect("the end");
}

/// A plain server refuses a booking as not run; the gateway offers it to the other one. With both
/// refusing, the caller is told 503 with the time to come back, and nothing has run.
#[test]
fn a_refusal_that_says_not_run_is_true() {
    let run = run();
    let at = run.callers(0);
    run.plains[0].inject_fault(BackendFault::Refuse);
    run.plains[1].inject_fault(BackendFault::Refuse);
    let request = CallerRequest::new("POST", "/book/1", "r1");
    let answer = request.send(at).expect("an answer");
    assert_eq!(answer.status, 503);
    assert!(answer.headers.contains_key("retry-after"));
    assert_eq!(executed(&run.plains, "r1"), 0);
    let request = CallerRequest::new("POST", "/book/1", "r2");
    assert_eq!(request.send(at).expect("an answer").status, 200);
    assert_eq!(executed(&run.plains, "r2"), 1);
}

/// A plain server runs a booking and closes without an answer. Sent again, it could run twice; so
/// the caller is told 502, which promises nothing, and no other server gets it.
#[test]
fn a_booking_is_never_sent_twice() {
    let run = run();
    for plain in &run.plains {
        plain.inject_fault(BackendFault::LoseResponse);
    }
    let request = CallerRequest::new("POST", "/book/1", "r1");
    let answer = request.send(run.callers(0)).expect("an answer");
    assert_eq!(answer.status, 502);
    assert_eq!(executed(&run.plains, "r1"), 1);
}

/// A booking's server says nothing. The caller gets 504 at the route's timeout, and not 503: the
/// booking may have run.
#[test]
fn a_silent_booking_ends_at_the_timeout_without_a_promise() {
    let run = run();
    for plain in &run.plains {
        plain.inject_fault(BackendFault::Silence);
    }
    let request = CallerRequest::new("POST", "/book/1", "r1");
    let answer = request.send(run.callers(0)).expect("an answer");
    assert_eq!(answer.status, 504);
    assert!(
        answer.took >= Duration::from_millis(900),
        "{:?}",
        answer.took
    );
    assert_eq!(executed(&run.plains, "r1"), 1);
}

/// Answers to lookups are lost, cut short, bear another id or have no length. Each caller gets the
/// whole answer to its own request, from the other server where the first one failed.
#[test]
fn a_lookup_survives_bad_answers() {
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
        // A server that failed is passed over for a while, so that it may take some lookups until
        // the next fault is met.
        while run.plains[0].has_pending_faults() {
            let id = format!("{fault:?}-{number}");
            let request = CallerRequest::new("GET", "/look/1", &id);
            let answer = request.send(run.callers(0)).expect("an answer");
            let expected = format!("answer to {id}");
            assert_eq!((answer.status, answer.body), (200, expected));
            number += 1;
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

/// A second answer follows the first on a kept connection. If it stayed there, the next request
/// would get it; so the connection is given up and the next caller gets its own answer.
#[test]
fn an_extra_answer_reaches_nobody() {
    let run = run();
    let at = run.callers(0);
    for number in 0..12 {
        run.plains[number % 2].inject_fault(BackendFault::ExtraResponse);
    }
    for number in 0..24 {
        let id = format!("r{number}");
        let answer = CallerRequest::new("POST", "/book/1", &id).send(at);
        let answer = answer.expect("an answer");
        assert_eq!(answer.body, format!("answer to {id}"));
    }
}

/// A second answer comes some ms after the first, when the next request is on its way on the same
/// connection. It names another request, so that nobody gets it; the booking that met it may have
/// run, is not sent again, and its caller is told so.
#[test]
fn a_late_extra_answer_reaches_nobody() {
    let run = run();
    let at = run.callers(0);
    for number in 0..12 {
        let pause = Duration::from_millis(1 + number % 4);
        let plain = usize::from(number % 2 == 1);
        run.plains[plain].inject_fault(BackendFault::LateExtraResponse(pause));
    }
    for number in 0..24 {
        let id = format!("r{number}");
        let answer = CallerRequest::new("POST", "/book/1", &id).send(at);
        let answer = answer.expect("an answer");
        match answer.status {
            200 => assert_eq!(answer.body, format!("answer to {id}")),
            status => {
                assert_eq!(status, 502, "{}", answer.body);
                assert!(
                    !answer.headers.contains_key("retry-after"),
                    "it may have run"
                );
            }
        }
        assert!(executed(&run.plains, &id) <= 1, "{id} ran more than once");
    }
}

/// An engine breaks off in the middle of an event, another falls silent. A stream that may be
/// resumed goes on at the other engine: the caller gets each event once, in order, in one answer.
#[test]
fn a_resumable_stream_goes_on_elsewhere() {
    let run = run();
    let at = run.callers(0);
    for (id, fault) in [
        ("t1", BackendFault::CutAfter(2)),
        ("t2", BackendFault::SilentAfter(1)),
    ] {
        let probe = CallerRequest::turn("/draft/1", &format!("{id}-first"), id, "x");
        probe.send(at).expect("an answer");
        let holder = run.engines.iter().position(|engine| {
            let ran = engine.executions();
            ran.iter()
                .any(|execution| execution.id == format!("{id}-first"))
        });
        run.engines[holder.expect("an engine")].inject_fault(fault);
        let answer = CallerRequest::turn("/draft/1", id, id, "x").send(at);
        let answer = answer.expect("an answer");
        assert_eq!(
            (answer.status, answer.is_complete),
            (200, true),
            "{fault:?}"
        );
        assert_eq!(answer.body, events(id, 1..=4), "{fault:?}");
        assert_eq!(executed(&run.engines, id), 2, "{fault:?}");
    }
}

/// The engine of a stream that may not be resumed breaks off. The caller's answer ends early and
/// must not look complete, and no engine gets the turn again.
#[test]
fn another_stream_ends_early_and_does_not_look_complete() {
    let run = run();
    for engine in &run.engines {
        engine.inject_fault(BackendFault::CutAfter(2));
    }
    let turn = CallerRequest::turn("/chat/1", "t1", "p1", "x");
    let answer = turn.send(run.callers(0)).expect("an answer");
    assert_eq!((answer.status, answer.is_complete), (200, false));
    assert_eq!(answer.body, events("t1", 1..=2));
    assert_eq!(executed(&run.engines, "t1"), 1);
}

/// A caller leaves in the middle of its stream. The gateway closes the engine's connection, so that
/// the engine stops; the server's place is free again at once.
#[test]
fn a_caller_that_leaves_stops_its_engine() {
    let run = run();
    for engine in &run.engines {
        engine.configure(|settings| {
            settings.pause = Duration::from_millis(100);
            settings.events = 100;
        });
    }
    let mut caller = TcpStream::connect(run.callers(0)).expect("a connection");
    let turn = CallerRequest::turn("/draft/1", "t1", "p1", "x");
    caller.write_all(&turn.bytes()).expect("sent");
    let state = || {
        let metrics = run.gateways[0].addresses.metrics.expect("an address");
        let request = b"GET /state HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
        exchange(metrics, request)
            .map(|answer| answer.body)
            .unwrap_or_default()
    };
    wait_until(|| state().contains("\"in_flight\":1")).expect("the turn runs");
    drop(caller);
    wait_until(|| !state().contains("\"in_flight\":1")).expect("the place is free");
}

/// A server answers its checks and says nothing to requests. Each lookup that meets it waits for the
/// patience of its route and then goes elsewhere; after a few, the server is passed over for a while,
/// so that most lookups do not wait at all.
#[test]
fn a_silent_server_is_passed_over() {
    let run = run();
    for _ in 0..100 {
        run.plains[0].inject_fault(BackendFault::Silence);
    }
    for number in 0..100 {
        let request = CallerRequest::new("GET", "/look/1", &format!("r{number}"));
        let answer = request.send(run.callers(0)).expect("an answer");
        assert_eq!(answer.status, 200);
    }
    let silent = run.plains[0].executions().len();
    assert!((1..=10).contains(&silent), "{silent} of 100 lookups waited");
}
