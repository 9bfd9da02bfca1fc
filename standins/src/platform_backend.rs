//! A backend server on the platform: a model engine or a plain service, with its troubles.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;

use crate::http::lock;
use crate::wire_server::{
    Script, Step, WireRequest, WireServer, chunk, chunked_head, full_response, last_chunk,
};

/// What becomes of one request instead of an orderly answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BackendFault {
    /// It is refused and not run.
    Refuse,
    /// It is run, and the connection is closed without an answer.
    LoseResponse,
    /// It is run, and nothing is said.
    Silence,
    /// The stream breaks off in the middle of the event after so many.
    CutAfter(u64),
    /// The stream falls silent after so many events.
    SilentAfter(u64),
    /// A second answer follows the first on the same connection, with the same bytes.
    ExtraResponse,
    /// A second answer follows the first on the same connection, this much later.
    LateExtraResponse(Duration),
    /// The answer is the one to another request, and says so.
    WrongId,
    /// The answer has no length and ends with its connection.
    Unframed,
}

/// What a backend server is and how fast.
#[derive(Debug, Clone)]
pub struct BackendSettings {
    /// Names this start of the server.
    pub id: String,
    /// How many events a stream has.
    pub events: u64,
    /// The pause before each event, or before the answer of a plain request.
    pub pause: Duration,
}

impl Default for BackendSettings {
    fn default() -> Self {
        Self {
            id: "i-1".to_owned(),
            events: 4,
            pause: Duration::from_millis(2),
        }
    }
}

/// One request that was run.
#[derive(Debug, Clone)]
pub struct Execution {
    /// The request as it came.
    pub request: WireRequest,
    /// Its id.
    pub id: String,
}

#[derive(Debug, Default)]
struct BackendCore {
    settings: BackendSettings,
    faults: Vec<BackendFault>,
    executions: Vec<Execution>,
}

/// A backend server.
#[derive(Debug)]
pub struct PlatformBackend {
    /// Where it listens.
    pub address: SocketAddr,
    core: Arc<Mutex<BackendCore>>,
    _server: WireServer,
}

/// The data of an event of the stream of a request.
#[must_use]
pub fn event_data(id: &str, number: u64) -> String {
    format!("{id}-{number}")
}

impl PlatformBackend {
    /// Starts a server on a free port.
    ///
    /// # Errors
    ///
    /// No port or thread can be had.
    pub fn start(settings: BackendSettings) -> io::Result<Self> {
        let core = Arc::new(Mutex::new(BackendCore {
            settings,
            ..BackendCore::default()
        }));
        let shared = Arc::clone(&core);
        let server = WireServer::start(Arc::new(move |request| lock(&shared).answer(request)))?;
        Ok(Self {
            address: server.address,
            core,
            _server: server,
        })
    }

    /// Gives the next request this fault; several apply to requests one after the other.
    pub fn inject_fault(&self, fault: BackendFault) {
        lock(&self.core).faults.push(fault);
    }

    /// Whether a fault still waits for its request.
    #[must_use]
    pub fn has_pending_faults(&self) -> bool {
        !lock(&self.core).faults.is_empty()
    }

    /// Changes how the server answers.
    pub fn configure(&self, change: impl FnOnce(&mut BackendSettings)) {
        change(&mut lock(&self.core).settings);
    }

    /// All requests that were run.
    #[must_use]
    pub fn executions(&self) -> Vec<Execution> {
        lock(&self.core).executions.clone()
    }

    /// Its entry in the list of servers.
    #[must_use]
    pub fn entry(&self, service: &str, state: &str) -> String {
        let address = self.address;
        format!(
            r#"{{"Service":"{service}","Address":"{address}","Zone":"z","Slots":8,"State":"{state}","Seq":1}}"#
        )
    }
}

impl BackendCore {
    fn answer(&mut self, request: &WireRequest) -> Script {
        let id = header(request, "request-id");
        let expected = header(request, "expect-instance");
        if expected != self.settings.id {
            let headers = [("instance-id", self.settings.id.as_str())];
            return vec![Step::Write(full_response(421, &headers, b""))];
        }
        let fault = if self.faults.is_empty() {
            None
        } else {
            Some(self.faults.remove(0))
        };
        if fault == Some(BackendFault::Refuse) {
            let headers = [("not-executed", "1"), ("request-id", id.as_str())];
            return vec![Step::Write(full_response(503, &headers, b""))];
        }
        self.executions.push(Execution {
            request: request.clone(),
            id: id.clone(),
        });
        match fault {
            Some(BackendFault::LoseResponse) => return vec![Step::Close],
            Some(BackendFault::Silence) => return vec![Step::Silence],
            _ => {}
        }
        let said_id = if fault == Some(BackendFault::WrongId) {
            "another".to_owned()
        } else {
            id.clone()
        };
        if request.headers.contains_key("token-usage") {
            self.stream(request, &said_id, fault)
        } else {
            self.plain(&said_id, fault)
        }
    }

    fn plain(&self, id: &str, fault: Option<BackendFault>) -> Script {
        let headers = stamp(id);
        let body = format!("answer to {id}");
        let answer = full_response(200, &headers, body.as_bytes());
        let mut script = vec![Step::Pause(self.settings.pause)];
        match fault {
            Some(BackendFault::Unframed) => {
                let head =
                    format!("HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nserver-stamp: s\r\n\r\n{body}");
                script.push(Step::Write(head.into()));
                script.push(Step::Close);
            }
            Some(BackendFault::CutAfter(_)) => {
                script.push(Step::Write(answer.slice(..answer.len() - 2)));
                script.push(Step::Close);
            }
            Some(BackendFault::ExtraResponse) => {
                let extra = full_response(200, &stamp("late"), b"extra");
                script.push(Step::Write([answer, extra].concat().into()));
            }
            Some(BackendFault::LateExtraResponse(pause)) => {
                script.push(Step::Write(answer));
                script.push(Step::Pause(pause));
                script.push(Step::Write(full_response(200, &stamp("late"), b"extra")));
            }
            _ => script.push(Step::Write(answer)),
        }
        script
    }

    fn stream(&self, request: &WireRequest, id: &str, fault: Option<BackendFault>) -> Script {
        let first = header(request, "last-event-id").parse().unwrap_or(0) + 1;
        let headers = stamp(id);
        let mut script = vec![Step::Write(chunked_head(200, &headers))];
        for number in first..=self.settings.events {
            let event = format!("id: {number}\ndata: {}\n\n", event_data(id, number));
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

fn stamp(id: &str) -> [(&str, &str); 3] {
    [
        ("request-id", id),
        ("server-stamp", "s"),
        ("instance-load", "1,0,8"),
    ]
}

fn header(request: &WireRequest, name: &str) -> String {
    request.headers.get(name).cloned().unwrap_or_default()
}

/// The body of a request with its bytes as text, for comparisons.
#[must_use]
pub fn body_text(body: &Bytes) -> String {
    String::from_utf8_lossy(body).into_owned()
}
