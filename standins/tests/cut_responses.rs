//! Tests that no response that a server cuts in its head, or in what precedes it, reaches a caller as
//! whole, and that none makes a request run that must not.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use standins::platform_caller::{CallerRequest, CallerResponse};
use standins::platform_run::{MODEL_SERVICE, PLAIN_SERVICE, config};
use standins::platform_store::PlatformStore;
use standins::process_gateways::ProcessGateways;
use standins::wire_server::{Script, Step, WireRequest, WireServer, chunk, last_chunk};

/// The id of the server.
const SERVER: &str = "cutting";
/// How the ids of requests begin.
const SENT_PREFIX: &str = "r";

/// What a server sends before it breaks off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Start {
    /// A response with a length.
    Sized,
    /// A response in chunks.
    Chunked,
    /// An interim response and a response with a length.
    Interim,
    /// A refusal of a request that is meant for another server.
    Misdirected,
    /// A refusal of a request that was not run.
    NotExecuted,
}

impl Start {
    const ALL: [Self; 5] = [
        Self::Sized,
        Self::Chunked,
        Self::Interim,
        Self::Misdirected,
        Self::NotExecuted,
    ];

    /// Returns the bytes up to the end of the head.
    fn head(self, id: &str) -> String {
        let own = format!("request-id: {id}\r\nserver-stamp: s\r\n");
        match self {
            Self::Sized => format!("HTTP/1.1 200 OK\r\n{own}content-length: 4\r\n\r\n"),
            Self::Chunked => format!("HTTP/1.1 200 OK\r\n{own}transfer-encoding: chunked\r\n\r\n"),
            Self::Interim => {
                let head = Self::Sized.head(id);
                format!("HTTP/1.1 100 Continue\r\n\r\n{head}")
            }
            Self::Misdirected => {
                "HTTP/1.1 421 Misdirected\r\ninstance-id: other\r\ncontent-length: 0\r\n\r\n"
                    .to_owned()
            }
            Self::NotExecuted => format!(
                "HTTP/1.1 503 Busy\r\nrequest-id: {id}\r\nnot-executed: 1\r\ncontent-length: 0\r\n\r\n"
            ),
        }
    }
}

/// How a server breaks off.
#[derive(Debug, Clone, Copy, Default)]
struct Cut {
    start: Option<Start>,
    length: usize,
    is_reset: bool,
}

/// The kinds of requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    Draft,
    Turn,
    Call,
    Booking,
}

impl Kind {
    /// Returns a request whose content no other has.
    fn request(self, id: &str) -> CallerRequest {
        let request = match self {
            Self::Draft => CallerRequest::turn(&format!("/draft/{id}"), id, id, "x"),
            Self::Turn => CallerRequest::turn(&format!("/chat/{id}"), id, id, "x"),
            Self::Call => CallerRequest::new("GET", &format!("/look/{id}"), id),
            Self::Booking => CallerRequest {
                body: "x".to_owned(),
                ..CallerRequest::new("POST", &format!("/book/{id}"), id)
            },
        };
        request.with("Connection", "close")
    }
}

/// A server that cuts each response.
#[derive(Default)]
struct CuttingServer {
    cut: Mutex<Cut>,
    /// The ids of the requests that it has read.
    requests: Mutex<Vec<String>>,
}

impl CuttingServer {
    fn respond(&self, request: &WireRequest) -> Script {
        let Some(id) = request.headers.get("request-id") else {
            let head =
                format!("HTTP/1.1 200 OK\r\ninstance-id: {SERVER}\r\ncontent-length: 0\r\n\r\n");
            return vec![Step::Write(head.into())];
        };
        self.requests.lock().expect("a lock").push(id.clone());
        let cut = *self.cut.lock().expect("a lock");
        let head = cut.start.map_or_else(String::new, |start| start.head(id));
        let sent = Bytes::copy_from_slice(&head.as_bytes()[..cut.length.min(head.len())]);
        let end = if cut.is_reset {
            Step::Reset
        } else {
            Step::Close
        };
        vec![Step::Write(sent), end]
    }

    fn count_reads(&self, id: &str) -> usize {
        let requests = self.requests.lock().expect("a lock");
        requests.iter().filter(|read| *read == id).count()
    }
}

/// A gateway before one server that cuts.
struct CutRun {
    gateways: ProcessGateways,
    cutting: Arc<CuttingServer>,
    _server: WireServer,
    sent: usize,
}

fn entry(service: &str, address: SocketAddr) -> String {
    format!(
        r#"{{"Service":"{service}","Address":"{address}","Zone":"z","Version":"v1","Slots":8,"State":"ready","ColdLeftMs":0,"Seq":1}}"#
    )
}

impl CutRun {
    fn start(name: &str, service: &str) -> Self {
        let store = PlatformStore::default();
        store.put("keyed.op", "config", &config(1));
        let cutting = Arc::new(CuttingServer::default());
        let shared = Arc::clone(&cutting);
        let handler = move |request: &WireRequest| shared.respond(request);
        let server = WireServer::start(Arc::new(handler)).expect("a port");
        store.put("keyed.servers", SERVER, &entry(service, server.address));
        let gateways = ProcessGateways::start(&format!("cut-{name}"), 1, &store);
        Self {
            gateways: gateways.expect("a gateway"),
            cutting,
            _server: server,
            sent: 0,
        }
    }

    /// Sends a request whose response is cut, and checks that the caller gets no whole response and no
    /// promise that the request has not run, unless the server gave it.
    fn send(&mut self, kind: Kind, cut: Cut) {
        *self.cutting.cut.lock().expect("a lock") = cut;
        self.sent += 1;
        let id = format!("{SENT_PREFIX}{:05}", self.sent);
        let response = kind.request(&id).send(self.gateways.callers(0));
        let response = response.unwrap_or_else(|err| panic!("{kind:?}, {cut:?}: {err}"));
        let context = || format!("{kind:?}, {cut:?}: {response:?}");
        assert_eq!(self.cutting.count_reads(&id), 1, "{}", context());
        let start = cut.start.expect("a start");
        let is_whole_head = cut.length >= start.head(&id).len();
        let has_begun = response.status == 200 && !response.is_complete;
        let is_stream = matches!(kind, Kind::Draft | Kind::Turn);
        match (start, is_whole_head) {
            (Start::Misdirected | Start::NotExecuted, true) => {
                assert_eq!(response.status, 503, "{}", context());
            }
            (Start::Sized | Start::Chunked | Start::Interim, true) if is_stream => {
                assert!(has_begun || response.status == 502, "{}", context());
            }
            _ => assert_eq!(response.status, 502, "{}", context()),
        }
    }
}

fn check_cuts(kind: Kind, service: &str) {
    let mut run = CutRun::start(&format!("{kind:?}"), service);
    for start in Start::ALL {
        let head_length = start.head(&format!("{SENT_PREFIX}00000")).len();
        for length in 0..=head_length {
            for is_reset in [false, true] {
                // What a reset overtakes is lost, so that a whole head may arrive cut.
                if length < head_length || !is_reset {
                    let start = Some(start);
                    run.send(
                        kind,
                        Cut {
                            start,
                            length,
                            is_reset,
                        },
                    );
                }
            }
        }
    }
}

/// Guards against a cut head that reaches the caller of a stream as a whole response.
#[test]
fn drafts_whose_heads_are_cut_do_not_look_whole() {
    check_cuts(Kind::Draft, MODEL_SERVICE);
}

/// Guards against a cut head that makes a turn run twice or look whole.
#[test]
fn turns_whose_heads_are_cut_fail_and_run_once() {
    check_cuts(Kind::Turn, MODEL_SERVICE);
}

/// Guards against a cut head that reaches the caller of a call as a whole response.
#[test]
fn calls_whose_heads_are_cut_do_not_look_whole() {
    check_cuts(Kind::Call, PLAIN_SERVICE);
}

/// Guards against a cut head that makes a booking run twice, or that is taken for a refusal.
#[test]
fn bookings_whose_heads_are_cut_fail_and_run_once() {
    check_cuts(Kind::Booking, PLAIN_SERVICE);
}

/// Guards against a stream that looks whole although it was cut in its framing.
#[test]
fn streams_that_are_cut_in_a_chunk_do_not_look_whole() {
    let whole = [chunk(b"id: 1\ndata: x-1\n\n"), last_chunk()].concat();
    let head = Start::Chunked.head("x");
    for length in 0..whole.len() {
        let sent = [head.as_bytes(), &whole[..length]].concat();
        let handler = move |_: &WireRequest| vec![Step::Write(sent.clone().into()), Step::Close];
        let server = WireServer::start(Arc::new(handler)).expect("a port");
        let store = PlatformStore::default();
        store.put("keyed.op", "config", &config(1));
        let address = server.address;
        store.put("keyed.servers", "only", &entry(MODEL_SERVICE, address));
        let gateways = ProcessGateways::start(&format!("cut-chunk-{length}"), 1, &store);
        let gateways = gateways.expect("a gateway");
        let request = Kind::Turn.request("x");
        let response = request.send(gateways.callers(0));
        let looks_whole = |r: &CallerResponse| r.status == 200 && r.is_complete;
        assert!(
            !response.as_ref().is_ok_and(looks_whole),
            "{length}: {response:?}"
        );
    }
}
