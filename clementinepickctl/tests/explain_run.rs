//! Three requests that failed, each explained by the logs and metrics of its gateway alone.

use std::io::{self, Write};
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use clementinepickctl::explain::{LogLine, parse_log, select_lines};
use standins::platform_backend::{BackendFault, PlatformBackend};
use standins::platform_caller::{CallerRequest, exchange};
use standins::platform_run::{PlatformRun, wait_until};
use standins::platform_store::StoreMode;

/// A log in memory.
#[derive(Debug, Clone, Default)]
struct Log(Arc<Mutex<Vec<u8>>>);

impl Write for Log {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().expect("a log").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Log {
    fn text(&self) -> String {
        String::from_utf8_lossy(&self.0.lock().expect("a log")).into_owned()
    }

    /// The last line of a request, once it is there.
    fn last_line(&self, id: &str) -> LogLine {
        let lines = || select_lines(id, parse_log(&self.text()));
        wait_until(|| !lines().is_empty()).expect("a line");
        lines().pop().expect("a line")
    }
}

fn run() -> (PlatformRun, Log) {
    let log = Log::default();
    let mut run = PlatformRun::start(0).expect("a run");
    run.add_logging_gateway(log.clone()).expect("a gateway");
    (run, log)
}

fn metrics(run: &PlatformRun) -> String {
    let address = run.gateways[0].addresses.metrics.expect("an address");
    let request = b"GET /metrics HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
    exchange(address, request).expect("metrics").body
}

/// A caller disputes a refusal: "the service was up". The line of its request says that the store
/// was away and that no server was asked, an earlier line since when, and the metrics how often.
#[test]
fn a_disputed_refusal_is_explained() {
    let (run, log) = run();
    run.doors[0].set_mode(StoreMode::Busy);
    wait_until(|| log.text().contains("log_down")).expect("the loss of the store is logged");
    let turn = CallerRequest::turn("/draft/1", "r1", "p1", "x").with("Token-Budget", "400");
    assert_eq!(turn.send(run.callers(0)).expect("an answer").status, 503);
    let line = log.last_line("r1");
    assert_eq!(line.fields["reason"], "ledger_away");
    assert_eq!(line.fields["store_away"], "true");
    assert!(!line.fields.contains_key("servers"), "a server was asked");
    let counted = "clementinepick_requests_total{outcome=\"ledger_away\"} 1";
    assert!(metrics(&run).contains(counted));
}

/// A program is told that its budget is spent. The line says what is reserved of which budget, and
/// the program's other lines when each slice was.
#[test]
fn a_spent_budget_is_explained() {
    let (run, log) = run();
    let mut number = 0;
    let status = loop {
        let turn = CallerRequest::turn("/draft/1", &format!("r{number}"), "p1", "x");
        let turn = turn.with("Token-Budget", "200");
        let answer = turn.send(run.callers(0)).expect("an answer");
        if answer.status != 200 {
            break answer.status;
        }
        number += 1;
    };
    assert_eq!(status, 402);
    let line = log.last_line(&format!("r{number}"));
    assert_eq!(line.fields["reason"], "budget_spent");
    assert_eq!(line.fields["budget"], "200 tokens");
    assert_eq!(line.fields["reserved"], "200 tokens");
    let told = select_lines("p1", parse_log(&log.text()));
    let slices = told.iter().filter(|line| line.name == "budget_reserved");
    assert_eq!(slices.count(), 4, "slices of 50 tokens");
}

/// A booking that may not run twice has no answer. The line names the server that may have run it,
/// why that one was chosen, and that its answer was lost.
#[test]
fn a_lost_booking_is_explained() {
    let (run, log) = run();
    for plain in &run.plains {
        plain.spoil(BackendFault::LoseAnswer);
    }
    let booking = CallerRequest::new("POST", "/book/1", "r1");
    assert_eq!(booking.send(run.callers(0)).expect("an answer").status, 502);
    let line = log.last_line("r1");
    assert_eq!(line.fields["reason"], "server_lost");
    assert_eq!(line.fields["chosen_by"], "load 0, 0 tokens to read");
    let server = line.fields["servers"].as_str().expect("a server");
    let server = server.strip_suffix(":lost").expect("how it ended");
    let ran = run
        .plains
        .iter()
        .find(|plain| plain.executions().len() == 1);
    let ran = ran.expect("a server that ran it").executions();
    assert_eq!(ran[0].request.headers["expect-instance"], server);
}

/// A caller gives up while the end of its turn waits for the store. Its line says that it left, and
/// that the engine was done long before.
#[test]
fn a_caller_that_gave_up_is_explained() {
    let (run, log) = run();
    let first = CallerRequest::turn("/chat/1", "r1", "p1", "x").with("Token-Budget", "400");
    assert_eq!(first.send(run.callers(0)).expect("an answer").status, 200);
    run.doors[0].set_mode(StoreMode::Silent);
    let second = CallerRequest::turn("/chat/1", "r2", "p1", "x").with("Token-Budget", "400");
    let mut caller = TcpStream::connect(run.callers(0)).expect("a connection");
    caller.write_all(&second.bytes()).expect("sent");
    let has_run = || {
        let ran = run.engines.iter().flat_map(PlatformBackend::executions);
        ran.filter(|execution| execution.id == "r2").count() == 1
    };
    wait_until(has_run).expect("the turn runs");
    std::thread::sleep(Duration::from_millis(300));
    drop(caller);
    let line = log.last_line("r2");
    assert_eq!(line.fields["reason"], "caller_left");
    assert!(line.fields.contains_key("generated_ms"), "{line:?}");
}

/// A caller's body and headers that may hold secrets stand in no line, also where it fails.
#[test]
fn lines_hold_no_bodies() {
    let (run, log) = run();
    let mut booking = CallerRequest::new("POST", "/book/1?token=secret-in-query", "r1")
        .with("Authorization", "secret-in-header");
    booking.body = "secret-in-body".to_owned();
    booking.send(run.callers(0)).expect("an answer");
    run.plains[0].spoil(BackendFault::LoseAnswer);
    run.plains[1].spoil(BackendFault::LoseAnswer);
    booking.send(run.callers(0)).expect("an answer");
    log.last_line("r1");
    assert!(!log.text().contains("secret"), "{}", log.text());
}

/// A log that nobody reads.
struct Stuck;

impl Write for Stuck {
    fn write(&mut self, _: &[u8]) -> io::Result<usize> {
        std::thread::sleep(Duration::from_mins(1));
        Ok(0)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Whoever reads the log stands still. Lines are dropped and requests go on as fast as before.
#[test]
fn a_log_that_stands_still_slows_no_request() {
    let mut run = PlatformRun::start(0).expect("a run");
    run.add_logging_gateway(Stuck).expect("a gateway");
    let begun = std::time::Instant::now();
    for number in 0..200 {
        let request = CallerRequest::new("GET", "/look/1", &format!("r{number}"));
        assert_eq!(request.send(run.callers(0)).expect("an answer").status, 200);
    }
    assert!(
        begun.elapsed() < Duration::from_secs(10),
        "{:?}",
        begun.elapsed()
    );
    // Its logger's thread sleeps on; the run is left to the end of the test program.
    std::mem::forget(run);
}
