//! Tests that answers without a length, those that break off, and those with an invalid status never count as
//! whole: of servers to uploads that they have not read and to resumed streams, and of the store.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread::{self, sleep};
use std::time::Duration;

use socket2::SockRef;
use standins::platform_backend::BackendFault;
use standins::platform_caller::{CallerRequest, CallerResponse};
use standins::platform_run::{MODEL_SERVICE, PLAIN_SERVICE, PlatformRun, config, wait_until};
use standins::platform_store::AppendFault;

/// The part of a request that a server reads before it answers, in bytes.
const READ_BYTES: usize = 2_048;
/// A body that does not fit into the buffers of a connection, in bytes.
const UPLOAD_BYTES: usize = 7_500_000;
/// The time between an answer and the end of its connection.
const SOON: Duration = Duration::from_millis(150);

/// The number of turns of which some meet a store that breaks off its responses.
const TURNS: usize = 5;

/// How a server ends the connection of its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ending {
    Reset,
    ResetSoon,
    Close,
}

/// A server that reads a part of each request, writes an answer and ends the connection; its thread ends with
/// the test's process.
struct RawServer {
    address: SocketAddr,
    /// The number of requests that it answered.
    answered: Arc<AtomicUsize>,
}

impl RawServer {
    /// `answer` gets the id of the request.
    fn start(answer: impl Fn(&str) -> String + Send + 'static, ending: Ending) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let answered = Arc::new(AtomicUsize::new(0));
        let count = Arc::clone(&answered);
        thread::spawn(move || {
            for connection in listener.incoming().flatten() {
                count.fetch_add(1, Ordering::Relaxed);
                // A gateway that closes first ends the exchange.
                let _ = respond(connection, &answer, ending);
            }
        });
        Self { address, answered }
    }

    fn entry(&self, service: &str) -> String {
        let address = self.address;
        format!(
            r#"{{"Service":"{service}","Address":"{address}","Zone":"z","Version":"v1","Slots":8,"State":"ready","ColdLeftMs":0,"Seq":1}}"#
        )
    }
}

fn respond(
    mut connection: TcpStream,
    answer: &impl Fn(&str) -> String,
    ending: Ending,
) -> std::io::Result<()> {
    let mut bytes = vec![0; READ_BYTES];
    let count = connection.read(&mut bytes)?;
    let text = String::from_utf8_lossy(&bytes[..count]).to_ascii_lowercase();
    let id = text.split("request-id: ").nth(1).unwrap_or_default();
    let id = id.lines().next().unwrap_or_default().to_owned();
    connection.write_all(answer(&id).as_bytes())?;
    match ending {
        Ending::Reset => SockRef::from(&connection).set_linger(Some(Duration::ZERO)),
        Ending::ResetSoon => {
            sleep(SOON);
            SockRef::from(&connection).set_linger(Some(Duration::ZERO))
        }
        Ending::Close => {
            connection.shutdown(Shutdown::Write)?;
            sleep(SOON);
            Ok(())
        }
    }
}

/// Starts a gateway before the servers of a service that answer and end connections in one way, and a working
/// store.
fn start(service: &str, answer: fn(&str) -> String, ending: Ending) -> PlatformRun {
    let mut run = PlatformRun::start(0).expect("a platform run");
    let large = config(2).replace(r#""MaxBodyBytes":100000"#, r#""MaxBodyBytes":8000000"#);
    run.store.put("keyed.op", "config", &large);
    let ids = if service == MODEL_SERVICE {
        ["e-1", "e-2"]
    } else {
        ["p-1", "p-2"]
    };
    for id in ids {
        let server = RawServer::start(answer, ending);
        run.store.put("keyed.servers", id, &server.entry(service));
    }
    run.add_gateway().expect("a gateway");
    run
}

fn unframed(id: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: s\r\n\r\nid: 1\ndata: a\n\n")
}

fn closing(id: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: s\r\nConnection: close\r\n\r\nid: 1\ndata: a\n\n"
    )
}

fn is_whole(response: &std::io::Result<CallerResponse>) -> bool {
    let response = response.as_ref();
    response.is_ok_and(|response| response.status == 200 && response.is_complete)
}

fn check_uploads(ending: Ending) {
    for (service, path) in [
        (MODEL_SERVICE, "/draft/1"),
        (MODEL_SERVICE, "/chat/1"),
        (PLAIN_SERVICE, "/look/1"),
        (PLAIN_SERVICE, "/book/1"),
    ] {
        for answer in [unframed, closing] {
            let run = start(service, answer, ending);
            let request = CallerRequest {
                body: "x".repeat(UPLOAD_BYTES),
                ..CallerRequest::turn(path, "r1", "p1", "")
            };
            let response = request.send(run.callers(0));
            assert!(!is_whole(&response), "{path} {ending:?}: {response:?}");
        }
    }
}

/// Guards against a part that counts as whole since the failed write took the error of the reset.
#[test]
fn answers_to_unread_uploads_that_are_reset_are_not_whole() {
    check_uploads(Ending::Reset);
    check_uploads(Ending::ResetSoon);
}

/// Guards against the same for a connection that is closed: its answer has no end of its own.
#[test]
fn answers_without_a_length_to_unread_uploads_are_not_whole() {
    check_uploads(Ending::Close);
}

/// Guards against the rest of a stream that counts as whole although its connection was reset, and against
/// one with an invalid status.
#[test]
fn resumed_streams_that_break_off_are_not_whole() {
    let rest = |status: &'static str| {
        move |id: &str| {
            format!("HTTP/1.1 {status} OK\r\nRequest-Id: {id}\r\n\r\nid: 3\ndata: r1-3\n\n")
        }
    };
    for (status, ending) in [
        ("200", Ending::Reset),
        ("200", Ending::ResetSoon),
        ("000", Ending::Close),
        ("099", Ending::Close),
        ("101", Ending::Close),
        ("20", Ending::Close),
        ("2000", Ending::Close),
    ] {
        let run = PlatformRun::start(1).expect("a platform run");
        run.engines[0].inject_fault(BackendFault::CutAfter(2));
        run.store.remove("keyed.servers", "e-2");
        let raw = RawServer::start(rest(status), ending);
        let address = run.callers(0);
        let lists = |engines: usize| {
            let count = || state(&run).matches(r#""id":"e-"#).count();
            wait_until(|| count() == engines)
        };
        lists(1).expect("a list of one engine");
        run.engines[0].configure(|settings| settings.pause = Duration::from_millis(400));
        let caller =
            thread::spawn(move || CallerRequest::turn("/draft/1", "r1", "p1", "x").send(address));
        wait_until(|| !run.engines[0].executions().is_empty()).expect("a stream that runs");
        run.store
            .put("keyed.servers", "raw", &raw.entry(MODEL_SERVICE));
        let response = caller.join().expect("a caller");
        assert!(!is_whole(&response), "{status} {ending:?}: {response:?}");
        assert!(
            raw.answered.load(Ordering::Relaxed) > 0,
            "{status} {ending:?}"
        );
    }
}

fn state(run: &PlatformRun) -> String {
    let metrics = run.gateways[0].addresses.metrics.expect("an address");
    let request = b"GET /state HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
    let state = standins::platform_caller::exchange(metrics, request);
    state.map(|response| response.body).unwrap_or_default()
}

/// Guards against taking a record for written since the head of the response said so before it broke off.
#[test]
fn an_append_whose_response_breaks_off_is_repeated() {
    let mut run = PlatformRun::start(1).expect("a platform run");
    let turn = |id: &str| CallerRequest::turn("/chat/1", id, "p1", id);
    for number in 0..TURNS {
        // Appends of other kinds may take some of them.
        for _ in 0..3 {
            run.store.inject_append_fault(AppendFault::CutResponse);
        }
        let id = format!("t{number}");
        let response = turn(&id).send(run.callers(0));
        let is_recorded = run.store.keys("keyed.turns").contains(&id);
        assert!(is_recorded || !is_whole(&response), "{id} is not recorded");
    }
    run.gateways.clear();
    run.add_gateway().expect("a gateway");
    let next = turn("next").with("Previous-Turn", "t0");
    assert_eq!(next.send(run.callers(0)).expect("a response").status, 200);
}
