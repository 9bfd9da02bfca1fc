//! Checks that a gateway's logs and metrics alone explain why a request failed.

use std::io::{self, Write};
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use clementinepickctl::explain::{LogLine, parse_log, select_lines};
use standins::platform_backend::{BackendFault, PlatformBackend};
use standins::platform_caller::{CallerRequest, exchange};
use standins::platform_run::{PlatformRun, wait_until};
use standins::platform_store::StoreMode;

/// An in-memory log.
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

    /// Waits for the line that says how the request failed, and returns it.
    ///
    /// Lines are written in the background: an earlier one may be there alone.
    fn failure(&self, id: &str) -> LogLine {
        let find = || {
            let lines = select_lines(id, parse_log(&self.text()));
            lines
                .into_iter()
                .rfind(|line| line.name == "request_failed")
        };
        wait_until(|| find().is_some()).expect("a line");
        find().expect("a line")
    }
}

fn start_run() -> (PlatformRun, Log) {
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

/// The request's line must show that the store was unavailable and that no server was tried, an
/// earlier line must record the store's failure, and the metrics must count the refusal.
#[test]
fn a_refusal_during_a_store_outage_is_explained() {
    let (run, log) = start_run();
    run.store_endpoints[0].set_mode(StoreMode::Busy);
    wait_until(|| log.text().contains("log_down")).expect("the outage of the store is logged");
    let turn = CallerRequest::turn("/draft/1", "r1", "p1", "x").with("Token-Budget", "400");
    assert_eq!(turn.send(run.callers(0)).expect("a response").status, 503);
    let line = log.failure("r1");
    assert_eq!(line.fields["reason"], "ledger_away");
    assert_eq!(line.fields["store_away"], "true");
    assert!(!line.fields.contains_key("servers"), "a server was tried");
    let counter = "clementinepick_requests_total{outcome=\"ledger_away\"} 1";
    assert!(metrics(&run).contains(counter));
}

/// The request's line must show the reserved tokens and the budget, and the program's other lines
/// must show when each slice was reserved.
#[test]
fn an_exhausted_budget_is_explained() {
    let (run, log) = start_run();
    let mut number = 0;
    let status = loop {
        let turn = CallerRequest::turn("/draft/1", &format!("r{number}"), "p1", "x");
        let turn = turn.with("Token-Budget", "200");
        let response = turn.send(run.callers(0)).expect("a response");
        if response.status != 200 {
            break response.status;
        }
        number += 1;
    };
    assert_eq!(status, 402);
    let line = log.failure(&format!("r{number}"));
    assert_eq!(line.fields["reason"], "budget_spent");
    assert_eq!(line.fields["budget"], "200 tokens");
    assert_eq!(line.fields["reserved"], "200 tokens");
    let selected = select_lines("p1", parse_log(&log.text()));
    let slices = selected
        .iter()
        .filter(|line| line.name == "budget_reserved");
    assert_eq!(slices.count(), 4, "slices of 50 tokens");
}

/// The line of a non-idempotent request must name the server that may have run it, why that server
/// was selected, and that its response was lost.
#[test]
fn a_lost_response_is_explained() {
    let (run, log) = start_run();
    for plain in &run.plains {
        plain.inject_fault(BackendFault::LoseResponse);
    }
    let booking = CallerRequest::new("POST", "/book/1", "r1");
    assert_eq!(
        booking.send(run.callers(0)).expect("a response").status,
        502
    );
    let line = log.failure("r1");
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

/// If the caller disconnects while the end of its turn waits for the store, its line must show the
/// disconnect and that the engine had finished.
#[test]
fn a_disconnected_caller_is_explained() {
    let (run, log) = start_run();
    let first = CallerRequest::turn("/chat/1", "r1", "p1", "x").with("Token-Budget", "400");
    assert_eq!(first.send(run.callers(0)).expect("a response").status, 200);
    run.store_endpoints[0].set_mode(StoreMode::Silent);
    let second = CallerRequest::turn("/chat/1", "r2", "p1", "x").with("Token-Budget", "400");
    let mut caller = TcpStream::connect(run.callers(0)).expect("a connection");
    caller.write_all(&second.bytes()).expect("sent");
    let is_executed = || {
        let ran = run.engines.iter().flat_map(PlatformBackend::executions);
        ran.filter(|execution| execution.id == "r2").count() == 1
    };
    wait_until(is_executed).expect("the turn runs");
    std::thread::sleep(Duration::from_millis(300));
    drop(caller);
    let line = log.failure("r2");
    assert_eq!(line.fields["reason"], "caller_left");
    assert!(line.fields.contains_key("generated_ms"), "{line:?}");
}

/// Log lines must not contain bodies, queries or headers, even if the request fails.
#[test]
fn log_lines_contain_no_secrets_of_callers() {
    let (run, log) = start_run();
    let mut booking = CallerRequest::new("POST", "/book/1?token=secret-in-query", "r1")
        .with("Authorization", "secret-in-header");
    booking.body = "secret-in-body".to_owned();
    booking.send(run.callers(0)).expect("a response");
    run.plains[0].inject_fault(BackendFault::LoseResponse);
    run.plains[1].inject_fault(BackendFault::LoseResponse);
    booking.send(run.callers(0)).expect("a response");
    log.failure("r1");
    assert!(!log.text().contains("secret"), "{}", log.text());
}

/// A log whose reader has stalled.
struct StalledLog;

impl Write for StalledLog {
    fn write(&mut self, _: &[u8]) -> io::Result<usize> {
        std::thread::sleep(Duration::from_mins(1));
        Ok(0)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// If the log's reader stalls, lines are dropped instead of delaying requests.
#[test]
fn a_stalled_log_does_not_delay_requests() {
    let mut run = PlatformRun::start(0).expect("a run");
    run.add_logging_gateway(StalledLog).expect("a gateway");
    let started = std::time::Instant::now();
    for number in 0..200 {
        let request = CallerRequest::new("GET", "/look/1", &format!("r{number}"));
        assert_eq!(
            request.send(run.callers(0)).expect("a response").status,
            200
        );
    }
    assert!(
        started.elapsed() < Duration::from_secs(10),
        "{:?}",
        started.elapsed()
    );
    // The logger's thread is still asleep, so the run is leaked until the test process exits.
    std::mem::forget(run);
}
