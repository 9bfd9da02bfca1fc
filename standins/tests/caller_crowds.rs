//! Tests the memory and the descriptors of a gateway beside crowds of callers that do not behave, and that
//! an ordinary request is answered afterwards, while the crowd keeps its connections open.

mod crowd_run;

use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

use crowd_run::{
    BODY_LIMIT_BYTES, CrowdRun, HEAD_LIMIT_BYTES, SMALL_LIMITS, booking, lookup, read_continue,
};
use standins::caller_crowd::{CallerInput, announced_head, chunk, chunked_head, unfinished_head};
use standins::platform_backend::{BackendFault, EndlessPart};
use standins::platform_caller::{CallerRequest, exchange, read_response};
use standins::soak_process::ProcessSettings;

/// The memory of the smallest VM, in bytes, and that of a gateway with [`SMALL_LIMITS`].
const VM_MEMORY_BYTES: u64 = 88_000_000;
const SMALL_MEMORY_BYTES: u64 = 40_000_000;
/// The descriptors that the smallest VM has for sockets.
const VM_DESCRIPTORS: usize = 3_900;

fn small_limits() -> ProcessSettings {
    ProcessSettings {
        limits: SMALL_LIMITS.to_owned(),
        ..ProcessSettings::default()
    }
}

/// Guards against bodies whose memory is claimed only once they are whole.
#[test]
fn announced_bodies_that_stop_short_stay_within_the_memory() {
    let run = CrowdRun::start("crowd-announced", &ProcessSettings::default());
    let crowd = run.press(240, |number| {
        let start = announced_head("/book/1", &format!("c{number}"), BODY_LIMIT_BYTES);
        let length = start.len() + BODY_LIMIT_BYTES - 1;
        CallerInput::repeating(start, &[b'x'; 4_096], length)
    });
    run.check_serves();
    run.check_memory(VM_MEMORY_BYTES);
    drop(crowd);
}

/// Guards against the same for bodies in chunks.
#[test]
fn chunked_bodies_that_stop_short_stay_within_the_memory() {
    let run = CrowdRun::start("crowd-chunked", &ProcessSettings::default());
    let crowd = run.press(240, |number| {
        let mut start = chunked_head("/book/1", &format!("c{number}"));
        for _ in 0..BODY_LIMIT_BYTES / 4_096 - 1 {
            start.extend(chunk(4_096));
        }
        CallerInput::once(start)
    });
    run.check_serves();
    run.check_memory(VM_MEMORY_BYTES);
    drop(crowd);
}

/// Guards against the same for small chunks.
#[test]
fn bodies_of_small_chunks_stay_within_the_memory() {
    let run = CrowdRun::start("crowd-small-chunks", &ProcessSettings::default());
    let crowd = run.press(1_500, |number| {
        let start = chunked_head("/book/1", &format!("c{number}"));
        let piece = chunk(100);
        let length = start.len() + 1_000 * piece.len();
        CallerInput::repeating(start, &piece, length)
    });
    run.check_serves();
    run.check_memory(VM_MEMORY_BYTES);
    drop(crowd);
}

/// Guards against bodies that are held up to the limit of one before they are refused.
#[test]
fn bodies_without_end_stay_within_the_memory() {
    let run = CrowdRun::start("crowd-endless", &small_limits());
    let crowd = run.press(60, |number| {
        let start = chunked_head("/book/1", &format!("c{number}"));
        CallerInput::endless(start, &chunk(16_384))
    });
    run.check_serves();
    run.check_memory(SMALL_MEMORY_BYTES);
    drop(crowd);
}

/// Guards against memory and unread bytes of bodies that are refused by their announced length.
#[test]
fn bodies_far_over_the_limit_stay_within_the_memory() {
    let run = CrowdRun::start("crowd-over", &small_limits());
    let crowd = run.press(400, |number| {
        let start = announced_head("/book/1", &format!("c{number}"), 100_000_000);
        CallerInput::endless(start, &[b'x'; 16_384])
    });
    run.check_serves();
    run.check_memory(SMALL_MEMORY_BYTES);
    drop(crowd);
}

/// Guards against input behind a running request that is buffered without a common limit.
#[test]
fn input_behind_a_stream_stays_within_the_memory() {
    let run = CrowdRun::start("crowd-behind-chat", &ProcessSettings::default());
    let crowd = run.press(800, |number| {
        let id = format!("c{number}");
        let mut start = CallerRequest::turn("/chat/1", &id, &id, "x").bytes();
        start.extend(announced_head(
            "/book/1",
            &format!("b{number}"),
            BODY_LIMIT_BYTES,
        ));
        let length = start.len() + 800_000;
        CallerInput::repeating(start, &[b'x'; 4_096], length)
    });
    run.check_serves();
    run.check_memory(VM_MEMORY_BYTES);
    drop(crowd);
}

/// Guards against a buffer that grows with each of many pipelined requests.
#[test]
fn pipelined_lookups_stay_within_the_memory() {
    let run = CrowdRun::start("crowd-lookups", &ProcessSettings::default());
    let crowd = run.press(200, |number| {
        let piece = lookup(&format!("c{number}")).bytes();
        CallerInput::repeating(Vec::new(), &piece, 2_000_000)
    });
    run.check_serves();
    run.check_memory(VM_MEMORY_BYTES);
    drop(crowd);
}

/// Guards against heads that are held without a common limit.
#[test]
fn unfinished_heads_stay_within_the_memory() {
    let run = CrowdRun::start("crowd-heads", &ProcessSettings::default());
    let crowd = run.press(3_000, |number| {
        let bytes = HEAD_LIMIT_BYTES - 384;
        CallerInput::once(unfinished_head("/look/1", &format!("c{number}"), bytes))
    });
    run.check_serves();
    run.check_memory(VM_MEMORY_BYTES);
    drop(crowd);
}

/// Guards against connections that take all descriptors of the VM.
#[test]
fn idle_connections_stay_within_the_descriptors() {
    let run = CrowdRun::start("crowd-idle", &ProcessSettings::default());
    let crowd = run.press(5_000, |_| CallerInput::once(Vec::new()));
    run.check_serves();
    let descriptors = run.process().open_descriptors().expect("descriptors");
    assert!(descriptors < VM_DESCRIPTORS, "{descriptors} descriptors");
    run.check_memory(VM_MEMORY_BYTES);
    drop(crowd);
}

/// Guards against callers that take the descriptors of all other connections.
#[test]
fn half_heads_leave_descriptors_for_others() {
    let settings = ProcessSettings {
        max_descriptors: Some(1_024),
        ..ProcessSettings::default()
    };
    let run = CrowdRun::start("crowd-descriptors", &settings);
    let crowd = run.press(1_500, |number| {
        CallerInput::once(unfinished_head("/look/1", &format!("c{number}"), 200))
    });
    run.check_others_are_served();
    run.check_serves();
    let descriptors = run.process().open_descriptors().expect("descriptors");
    assert!(descriptors < 1_000, "{descriptors} descriptors");
    drop(crowd);
}

/// Guards against a limit of all bodies that callers hold against peers.
#[test]
fn bodies_of_callers_leave_memory_for_peers() {
    let run = CrowdRun::start("crowd-peers", &small_limits());
    for _ in 0..7 {
        run.plain.inject_fault(BackendFault::Silence);
    }
    let address = run.callers();
    // Whole requests, which do not give way.
    let held: Vec<TcpStream> = (0..7)
        .map(|number| {
            let mut connection = TcpStream::connect(address).expect("a connection");
            let request = booking(&format!("h{number}"), 500_000);
            connection.write_all(&request.bytes()).expect("sent");
            connection
        })
        .collect();
    run.wait_for_executions(7);
    run.check_others_are_served();
    drop(held);
}

/// Guards against a relayed call that is refused by the limit of callers' bodies.
#[test]
fn peers_may_send_more_than_callers() {
    let run = CrowdRun::start("crowd-relay", &ProcessSettings::default());
    run.check_relays(3 * BODY_LIMIT_BYTES / 2);
}

/// Guards against a common limit that unfinished bodies hold, so that nobody else is served.
#[test]
fn unfinished_bodies_give_way_to_ordinary_requests() {
    let run = CrowdRun::start("crowd-gives-way", &small_limits());
    let crowd = run.press(200, |number| {
        let start = announced_head("/book/1", &format!("c{number}"), BODY_LIMIT_BYTES);
        let length = start.len() + 100_000;
        CallerInput::repeating(start, &[b'x'; 4_096], length)
    });
    run.check_others_are_served();
    run.check_serves();
    run.check_is_served(&booking("whole", BODY_LIMIT_BYTES));
    run.check_memory(SMALL_MEMORY_BYTES);
    drop(crowd);
}

/// Guards against the same for bodies of which a byte arrives now and then.
#[test]
fn bodies_in_a_trickle_give_way_to_ordinary_requests() {
    let run = CrowdRun::start("crowd-trickle", &small_limits());
    let start = |number| announced_head("/book/1", &format!("c{number}"), BODY_LIMIT_BYTES);
    let mut crowd = run.connect(100, |number| {
        let length = start(number).len() + 60_000;
        CallerInput::repeating(start(number), &[b'x'; 4_096], length)
    });
    crowd.send(Duration::from_secs(5));
    std::thread::scope(|scope| {
        let trickling = scope.spawn(|| crowd.trickle(Duration::from_secs(3)));
        run.check_serves();
        run.check_is_served(&booking("whole", BODY_LIMIT_BYTES));
        trickling.join().expect("a crowd");
    });
    run.check_memory(SMALL_MEMORY_BYTES);
}

/// Guards against connections that are closed without an answer since there is no memory for a request.
#[test]
fn requests_that_find_no_memory_are_refused() {
    /// Each has a buffer of 2 KiB.
    const FITTING_LOOKUPS: usize = 48;
    let settings = ProcessSettings {
        limits: "bodies = 100000 B".to_owned(),
        ..ProcessSettings::default()
    };
    let run = CrowdRun::start("crowd-no-memory", &settings);
    for _ in 0..100 {
        run.plain.inject_fault(BackendFault::Silence);
    }
    let held: Vec<TcpStream> = (0..100)
        .map(|number| {
            let mut connection = run.open();
            let request = lookup(&format!("h{number}"));
            connection.write_all(&request.bytes()).expect("sent");
            connection
        })
        .collect();
    run.wait_for_executions(FITTING_LOOKUPS);
    for number in 0..20 {
        let response = lookup(&format!("l{number}")).send(run.callers());
        let response = response.expect("an answer");
        assert_eq!(response.status, 503);
        assert!(response.headers.contains_key("retry-after"));
    }
    drop(held);
}

/// Guards against callers that hold their connections for good by not reading what they are refused.
#[test]
fn refusals_that_nobody_reads_end() {
    let run = CrowdRun::start("crowd-unread", &small_limits());
    let before = run.process().open_descriptors().expect("descriptors");
    let crowd = run.press(40, |number| {
        let piece = CallerRequest::new("GET", "/nowhere/1", &format!("c{number}")).bytes();
        CallerInput::endless(Vec::new(), &piece)
    });
    run.check_serves();
    run.wait_for_descriptors(before + 20);
    run.check_memory(SMALL_MEMORY_BYTES);
    drop(crowd);
}

/// Guards against bytes of servers that wait in sockets while nobody reads the responses.
#[test]
fn responses_that_nobody_reads_stay_within_the_memory() {
    let run = CrowdRun::start("crowd-responses", &ProcessSettings::default());
    for _ in 0..800 {
        run.engine
            .inject_fault(BackendFault::Endless(EndlessPart::Events));
    }
    let crowd = run.press(400, |number| {
        let id = format!("c{number}");
        CallerInput::once(CallerRequest::turn("/chat/1", &id, &id, "x").bytes())
    });
    run.check_serves();
    run.check_memory(VM_MEMORY_BYTES);
    drop(crowd);
}

/// Guards against buffers that stay large once their connections are idle.
#[test]
fn idle_connections_keep_no_buffers() {
    let run = CrowdRun::start("crowd-kept", &ProcessSettings::default());
    let mut connections = Vec::new();
    for number in 0..800 {
        let mut connection = TcpStream::connect(run.callers()).expect("a connection");
        let request = booking(&format!("k{number}"), 100_000);
        connection.write_all(&request.bytes()).expect("sent");
        let response = read_response(&mut connection).expect("a response");
        assert_eq!(response.status, 200);
        let rest = unfinished_head("/look/1", &format!("l{number}"), 150);
        connection.write_all(&rest).expect("sent");
        connections.push(connection);
    }
    run.check_serves();
    run.check_memory(SMALL_MEMORY_BYTES);
    drop(connections);
}

/// Guards against limits that refuse a body that the configuration allows.
#[test]
fn a_whole_body_at_the_limit_is_served_however_it_arrives() {
    let run = CrowdRun::start("crowd-whole", &ProcessSettings::default());
    run.check_is_served(&booking("announced", BODY_LIMIT_BYTES));

    let chunked = |id: &str, size: usize| {
        let mut bytes = chunked_head("/book/1", id);
        for _ in 0..BODY_LIMIT_BYTES / size {
            bytes.extend(chunk(size));
        }
        bytes.extend_from_slice(b"0\r\n\r\n");
        bytes
    };
    for (id, size) in [("one-chunk", BODY_LIMIT_BYTES), ("bytes", 1)] {
        let response = exchange(run.callers(), &chunked(id, size)).expect("a response");
        assert_eq!(response.status, 200, "{id}");
        run.check_received(id, BODY_LIMIT_BYTES);
    }

    let mut connection = run.open();
    let mut bytes = announced_head("/book/1", "trickle", BODY_LIMIT_BYTES);
    bytes.resize(bytes.len() + BODY_LIMIT_BYTES, b'x');
    for part in bytes.chunks(10_000) {
        connection.write_all(part).expect("sent");
        std::thread::sleep(Duration::from_millis(10));
    }
    let response = read_response(&mut connection).expect("a response");
    assert_eq!(response.status, 200);
    run.check_received("trickle", BODY_LIMIT_BYTES);

    let mut connection = run.open();
    let expecting = CallerRequest::new("POST", "/book/1", "expect")
        .with("Expect", "100-continue")
        .with("Content-Length", &BODY_LIMIT_BYTES.to_string());
    connection.write_all(&expecting.bytes()).expect("sent");
    read_continue(&mut connection);
    connection
        .write_all(&vec![b'x'; BODY_LIMIT_BYTES])
        .expect("sent");
    let response = read_response(&mut connection).expect("a response");
    assert_eq!(response.status, 200);
    run.check_received("expect", BODY_LIMIT_BYTES);
}

/// Guards against memory beside the limits that grows with whole bodies.
#[test]
fn whole_bodies_stay_within_the_memory() {
    let run = CrowdRun::start("crowd-whole-bodies", &ProcessSettings::default());
    let crowd = run.press(240, |number| {
        let id = format!("c{number}");
        let body = "x".repeat(BODY_LIMIT_BYTES);
        CallerInput::once(CallerRequest::turn("/chat/1", &id, &id, &body).bytes())
    });
    run.check_serves();
    run.check_memory(VM_MEMORY_BYTES);
    drop(crowd);
}
