//! Simulates a backend server on the platform, a model engine or a plain service, with faults.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;

use crate::http::lock;
use crate::wire_server::{
    EndTime, RunEnd, Script, Step, WireRequest, WireServer, chunk, chunked_head, free_port,
    full_response, last_chunk,
};

/// The path of health checks.
const HEALTH_PATH: &str = "/healthz";
/// The path at which a server reports on itself.
const REPORT_PATH: &str = "/clementinepick/report";

/// A fault injected into one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BackendFault {
    /// The request is rejected and not executed.
    Refuse,
    /// The request is rejected after this delay and not executed.
    RefuseAfter(Duration),
    /// The request is executed, and the response is an error.
    Fail,
    /// The request is executed, and the connection is closed without a response.
    LoseResponse,
    /// The request is executed, and bytes that are no response are sent.
    Garble,
    /// The request is executed, and nothing is sent.
    Silence,
    /// The stream is truncated in the middle of the event after this number of events.
    CutAfter(u64),
    /// The stream stalls after this number of events.
    SilentAfter(u64),
    /// A second response follows on the same connection, in the same write.
    ExtraResponse,
    /// A second response follows on the same connection after this delay.
    LateExtraResponse(Duration),
    /// The response carries the id of another request.
    WrongId,
    /// The response has no length and ends when the connection is closed.
    Unframed,
    /// The response never ends.
    Endless(EndlessPart),
}

/// The part of a response that never ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum EndlessPart {
    /// A header of the head.
    Header,
    /// Interim responses before the head.
    Interim,
    /// The size of a chunk.
    ChunkSize,
    /// The extension of a chunk.
    ChunkExtension,
    /// Extensions of small chunks.
    ChunkExtensions,
    /// The trailer after the last chunk.
    Trailer,
    /// A body without a length.
    Body,
    /// A body of valid chunks.
    Chunks,
    /// An event stream that repeats an event.
    Events,
    /// An event stream of events without ids.
    UnnumberedEvents,
}

impl EndlessPart {
    /// All parts but events, which a caller may want as they are.
    pub const ALL: [Self; 8] = [
        Self::Header,
        Self::Interim,
        Self::ChunkSize,
        Self::ChunkExtension,
        Self::ChunkExtensions,
        Self::Trailer,
        Self::Body,
        Self::Chunks,
    ];

    /// Returns a response of which this part never ends.
    fn script(self, id: &str) -> Script {
        let headers = response_headers(id);
        let chunked = || Step::Write(chunked_head(200, &headers));
        let repeat = |text: &str, count: usize| Step::Repeat(text.repeat(count).into());
        match self {
            Self::Header => {
                let start = "HTTP/1.1 200 OK\r\nx: ";
                vec![Step::Write(start.into()), repeat("x", 4_096)]
            }
            Self::Interim => vec![repeat("HTTP/1.1 100 Continue\r\n\r\n", 64)],
            Self::ChunkSize => vec![chunked(), repeat("0", 4_096)],
            Self::ChunkExtension => vec![chunked(), Step::Write("5;".into()), repeat("x", 4_096)],
            Self::ChunkExtensions => {
                let chunk = format!("1;{}\r\nx\r\n", "x".repeat(4_096));
                vec![chunked(), repeat(&chunk, 1)]
            }
            Self::Trailer => {
                let start = "2\r\nok\r\n0\r\nx: ";
                vec![chunked(), Step::Write(start.into()), repeat("x", 4_096)]
            }
            Self::Body => {
                let head = format!("HTTP/1.1 200 OK\r\nrequest-id: {id}\r\n\r\n");
                vec![Step::Write(head.into()), repeat("x", 4_096)]
            }
            Self::Chunks => vec![chunked(), Step::Repeat(chunk(&[b'x'; 4_096]))],
            Self::Events => {
                let events = "id: 1\ndata: x\n\n".repeat(256);
                vec![chunked(), Step::Repeat(chunk(events.as_bytes()))]
            }
            Self::UnnumberedEvents => {
                let events = "data: x\n\n".repeat(256);
                vec![chunked(), Step::Repeat(chunk(events.as_bytes()))]
            }
        }
    }
}

/// Settings of a backend server.
#[derive(Debug, Clone)]
pub struct BackendSettings {
    /// Instance id, which identifies one start of the server.
    pub id: String,
    /// Version of the server's software.
    pub version: String,
    /// Whether each event of a stream names the version, as its `event` field.
    pub names_version: bool,
    /// Number of events in a stream.
    pub events: u64,
    /// Delay before each event, or before the response to a plain request.
    pub pause: Duration,
    /// Delay before the response to a health check.
    pub health_delay: Duration,
    /// Delay before a report on itself.
    pub report_delay: Duration,
    /// When it started, in Unix milliseconds, if it reports it.
    pub started_unix_ms: Option<u64>,
    /// The request that ends the server whenever it runs it.
    pub fatal_request: Option<FatalRequest>,
    /// The part of all responses that never ends.
    pub endless: Option<EndlessPart>,
}

/// A request that ends the server which runs it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FatalRequest {
    /// A part of its path or body that no other request has.
    pub marker: String,
    /// The number of events that its stream sends before the end.
    pub events: u64,
    /// The time from its arrival, or from its last event, to the end.
    pub delay: Duration,
    /// How the server ends.
    pub ending: ServerEnding,
}

/// How a server ends.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ServerEnding {
    /// Its process does: connections are closed, and new ones refused.
    #[default]
    Exit,
    /// Its power is cut: connections fall silent, and new ones get no answer.
    PowerLoss,
    /// It hangs for good: connections stay open and silent, and new ones are accepted and get no response.
    Hang,
}

impl FatalRequest {
    fn matches(&self, request: &WireRequest) -> bool {
        let body = String::from_utf8_lossy(&request.body);
        request.path.contains(&self.marker) || body.contains(&self.marker)
    }
}

impl Default for BackendSettings {
    fn default() -> Self {
        Self {
            id: "i-1".to_owned(),
            version: "v1".to_owned(),
            names_version: false,
            events: 4,
            pause: Duration::from_millis(2),
            health_delay: Duration::ZERO,
            report_delay: Duration::ZERO,
            started_unix_ms: None,
            fatal_request: None,
            endless: None,
        }
    }
}

/// A request that was executed.
#[derive(Debug, Clone)]
pub struct Execution {
    /// Request as received.
    pub request: WireRequest,
    /// Request id.
    pub id: String,
    /// The fault of the response, if any.
    pub fault: Option<BackendFault>,
    /// When the server had sent the response or abandoned it.
    pub ended_at: EndTime,
}

impl Execution {
    /// Returns how long after `start` the server was done, if it was.
    #[must_use]
    pub fn ended_after(&self, start: Instant) -> Option<Duration> {
        let ended_at = self.ended_at.get();
        ended_at.map(|at| at.saturating_duration_since(start))
    }
}

#[derive(Debug, Default)]
struct BackendCore {
    settings: BackendSettings,
    faults: Vec<BackendFault>,
    endless_health: Option<EndlessPart>,
    executions: Vec<Execution>,
    /// The number of requests that name no server.
    unnamed: usize,
}

/// A simulated backend server.
#[derive(Debug)]
pub struct PlatformBackend {
    /// Listening address.
    pub address: SocketAddr,
    core: Arc<Mutex<BackendCore>>,
    server: WireServer,
}

/// Returns the data of event `number` in the stream for request `id`.
#[must_use]
pub fn event_data(id: &str, number: u64) -> String {
    format!("{id}-{number}")
}

impl PlatformBackend {
    /// Starts a server on a free port.
    ///
    /// # Errors
    ///
    /// No port is free, or the thread can't be started.
    pub fn start(settings: BackendSettings) -> io::Result<Self> {
        Self::start_at(free_port(), settings)
    }

    /// Starts a server at an address.
    ///
    /// # Errors
    ///
    /// The address is in use, or the thread can't be started.
    pub fn start_at(address: SocketAddr, settings: BackendSettings) -> io::Result<Self> {
        let core = Arc::new(Mutex::new(BackendCore {
            settings,
            ..BackendCore::default()
        }));
        let shared = Arc::clone(&core);
        let handler = Arc::new(move |request: &WireRequest| lock(&shared).respond(request));
        let server = WireServer::start_at(address, handler)?;
        Ok(Self {
            address: server.address,
            core,
            server,
        })
    }

    /// Returns whether a fatal request has ended the server.
    #[must_use]
    pub fn has_ended(&self) -> bool {
        self.server.has_ended() || self.server.has_lost_power() || self.server.is_hung()
    }

    /// Ends the server with all its connections, if it runs, and returns once its address is free.
    pub fn join(&mut self) {
        self.server.join();
    }

    /// Makes the server refuse new connections and go on with those that are open.
    pub fn refuse_connections(&self) {
        self.server.refuse_connections();
    }

    /// Makes the server are stalled for a while.
    pub fn suspend(&self, span: Duration) {
        self.server.suspend(span);
    }

    /// Closes one in `one_in` of the open connections.
    pub fn break_connections(&self, one_in: usize) {
        self.server.break_connections(one_in);
    }

    /// Queues a fault; each of the next requests takes one from the queue.
    pub fn inject_fault(&self, fault: BackendFault) {
        lock(&self.core).faults.push(fault);
    }

    /// Makes a part of each response to a health check endless.
    pub fn set_endless_health(&self, part: EndlessPart) {
        lock(&self.core).endless_health = Some(part);
    }

    /// Removes the faults that are still queued.
    pub fn clear_faults(&self) {
        lock(&self.core).faults.clear();
    }

    /// Returns whether any fault is still queued.
    #[must_use]
    pub fn has_pending_faults(&self) -> bool {
        !lock(&self.core).faults.is_empty()
    }

    /// Changes the settings of the running server.
    pub fn configure(&self, change: impl FnOnce(&mut BackendSettings)) {
        change(&mut lock(&self.core).settings);
    }

    /// Returns all executed requests, in order.
    #[must_use]
    pub fn executions(&self) -> Vec<Execution> {
        lock(&self.core).executions.clone()
    }

    /// Returns the number of requests that name no server, which a real server would run.
    #[must_use]
    pub fn count_unnamed(&self) -> usize {
        lock(&self.core).unnamed
    }

    /// Returns the server's entry in the list of servers, as JSON.
    #[must_use]
    pub fn entry(&self, service: &str, state: &str) -> String {
        let address = self.address;
        let core = lock(&self.core);
        let version = &core.settings.version;
        let born = core.born_field();
        format!(
            r#"{{"Service":"{service}","Address":"{address}","Zone":"z","Version":"{version}","Slots":8,"State":"{state}","ColdLeftMs":0,"Seq":1{born}}}"#
        )
    }
}

impl BackendCore {
    /// Returns the field with the start time, if the server reports it.
    fn born_field(&self) -> String {
        let started = self.settings.started_unix_ms;
        started.map_or_else(String::new, |at| format!(r#","born":{at}"#))
    }

    fn report(&self) -> String {
        let born = self.born_field();
        format!(r#"{{"Stage":"both","Models":[],"Busy":false,"Seq":0{born}}}"#)
    }

    fn respond(&mut self, request: &WireRequest) -> Script {
        if request.path == HEALTH_PATH {
            if let Some(part) = self.endless_health {
                return part.script("health");
            }
            let headers = [("instance-id", self.settings.id.as_str())];
            return vec![
                Step::Pause(self.settings.health_delay),
                Step::Write(full_response(200, &headers, b"")),
            ];
        }
        if request.path == REPORT_PATH {
            return vec![
                Step::Pause(self.settings.health_delay.max(self.settings.report_delay)),
                Step::Write(full_response(200, &[], self.report().as_bytes())),
            ];
        }
        let id = header(request, "request-id");
        let expected = header(request, "expect-instance");
        if expected != self.settings.id {
            self.unnamed += usize::from(expected.is_empty());
            let headers = [("instance-id", self.settings.id.as_str())];
            return vec![Step::Write(full_response(421, &headers, b""))];
        }
        let fault = if self.faults.is_empty() {
            None
        } else {
            Some(self.faults.remove(0))
        };
        let fault = fault.or(self.settings.endless.map(BackendFault::Endless));
        let refusal_delay = match fault {
            Some(BackendFault::Refuse) => Some(Duration::ZERO),
            Some(BackendFault::RefuseAfter(delay)) => Some(delay),
            _ => None,
        };
        if let Some(delay) = refusal_delay {
            let headers = [("not-executed", "1"), ("request-id", id.as_str())];
            let refusal = full_response(503, &headers, b"");
            return vec![Step::Pause(delay), Step::Write(refusal)];
        }
        let ended_at = EndTime::default();
        self.executions.push(Execution {
            request: request.clone(),
            id: id.clone(),
            fault,
            ended_at: Arc::clone(&ended_at),
        });
        let mut script = self.execute(request, &id, fault);
        script.push(Step::RecordEnd(Arc::new(RunEnd(ended_at))));
        script
    }

    /// Returns the response to a request that is executed.
    fn execute(&self, request: &WireRequest, id: &str, fault: Option<BackendFault>) -> Script {
        match fault {
            Some(BackendFault::LoseResponse) => return vec![Step::Close],
            Some(BackendFault::Garble) => {
                let garbled = Bytes::from_static(b"\x00\x7f no response\r\n\r\n");
                return vec![Step::Write(garbled), Step::Close];
            }
            Some(BackendFault::Silence) => return vec![Step::Silence],
            Some(BackendFault::Endless(part)) => return part.script(id),
            Some(BackendFault::Fail) => {
                let response = full_response(500, &response_headers(id), b"");
                return vec![Step::Write(response)];
            }
            _ => {}
        }
        if let Some(fatal) = &self.settings.fatal_request
            && fatal.matches(request)
        {
            return self.end(request, id, fatal);
        }
        let response_id = if fault == Some(BackendFault::WrongId) {
            "another"
        } else {
            id
        };
        if request.headers.contains_key("token-usage") {
            self.stream(request, response_id, fault)
        } else {
            self.plain(response_id, fault)
        }
    }

    /// Sends the events that precede the end of the server, and ends it.
    fn end(&self, request: &WireRequest, id: &str, fatal: &FatalRequest) -> Script {
        let mut script = Vec::new();
        if fatal.events > 0 {
            let fault = BackendFault::SilentAfter(fatal.events);
            script = self.stream(request, id, Some(fault));
            script.pop();
        }
        script.push(match fatal.ending {
            ServerEnding::Exit => Step::End(fatal.delay),
            ServerEnding::PowerLoss => Step::LosePower(fatal.delay),
            ServerEnding::Hang => Step::Hang(fatal.delay),
        });
        script
    }

    fn plain(&self, id: &str, fault: Option<BackendFault>) -> Script {
        let headers = response_headers(id);
        let body = format!("answer to {id}");
        let response = full_response(200, &headers, body.as_bytes());
        let mut script = vec![Step::Pause(self.settings.pause)];
        match fault {
            Some(BackendFault::Unframed) => {
                let head =
                    format!("HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nserver-stamp: s\r\n\r\n{body}");
                script.push(Step::Write(head.into()));
                script.push(Step::Close);
            }
            Some(BackendFault::CutAfter(_)) => {
                script.push(Step::Write(response.slice(..response.len() - 2)));
                script.push(Step::Close);
            }
            Some(BackendFault::ExtraResponse) => {
                let extra = full_response(200, &response_headers("late"), b"extra");
                script.push(Step::Write([response, extra].concat().into()));
            }
            Some(BackendFault::LateExtraResponse(pause)) => {
                script.push(Step::Write(response));
                script.push(Step::Pause(pause));
                script.push(Step::Write(full_response(
                    200,
                    &response_headers("late"),
                    b"extra",
                )));
            }
            _ => script.push(Step::Write(response)),
        }
        script
    }

    fn stream(&self, request: &WireRequest, id: &str, fault: Option<BackendFault>) -> Script {
        let first = header(request, "last-event-id").parse().unwrap_or(0) + 1;
        let headers = response_headers(id);
        let mut script = vec![Step::Write(chunked_head(200, &headers))];
        for number in first..=self.settings.events {
            let version = if self.settings.names_version {
                format!("event: {}\n", self.settings.version)
            } else {
                String::new()
            };
            let data = event_data(id, number);
            let event = format!("id: {number}\n{version}data: {data}\n\n");
            match fault {
                Some(BackendFault::CutAfter(count)) if number > count => {
                    script.push(Step::Write(chunk(&event.as_bytes()[..event.len() / 2])));
                    script.push(Step::Close);
                    return script;
                }
                Some(BackendFault::SilentAfter(count)) if number > count => {
                    script.push(Step::Silence);
                    return script;
                }
                _ => {
                    script.push(Step::Pause(self.settings.pause));
                    script.push(Step::Write(chunk(event.as_bytes())));
                }
            }
        }
        script.push(Step::Write(last_chunk()));
        script
    }
}

fn response_headers(id: &str) -> [(&str, &str); 3] {
    [
        ("request-id", id),
        ("server-stamp", "s"),
        ("instance-load", "1,0,8"),
    ]
}

fn header(request: &WireRequest, name: &str) -> String {
    request.headers.get(name).cloned().unwrap_or_default()
}

/// Returns a request body as text, for comparisons.
#[must_use]
pub fn body_text(body: &Bytes) -> String {
    String::from_utf8_lossy(body).into_owned()
}
