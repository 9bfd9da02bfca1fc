//! Starts a small deployment for tests: stand-ins and real daemons on loopback ports, in one
//! process.

use std::io::{Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use clementinepick::ids::{Incarnation, OperationId, RecordId, Revision, VmId};
use clementinepick::platform::{Vm, VmRole, VmState};
use clementinepick::record::{Record, RecordBody};
use clementinepick::units::SpanUs;
use clementinepickd::Daemon;
use clementinepickd::settings::{
    BackendKind, EntryRole, Limits, LinkKey, LinkKeys, LinkSettings, LogLevel, Role, Settings,
    ShutdownSettings, SidecarRole,
};
use serde_json::{Value, json};
use standins::engine::EngineSettings;
use standins::log_service::LogSettings;
use standins::plain_service::PlainSettings;
use standins::servers::{ServerSettings, Servers};
use standins::weight_store::WeightSettings;

/// Guards against hanging; no test relies on it to expire.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Lets the operating system choose the port.
const ANY_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

const ENGINE_DOCUMENT: &str = "\
[service]
name = agent-llm
kind = engine
default_class = drafts

[class drafts]
rank = 1
deadline = 60 s
max_output = 10000000 tokens

[program]
budget_tokens = 20000000 tokens
";

const PLAIN_DOCUMENT: &str = "\
[service]
name = book-app
kind = plain
default_class = seat-holds

[class seat-holds]
rank = 1
deadline = 60 s
";

/// Stand-ins, two entries, one sidecar for each of two engines and one for a plain service.
pub struct Deployment {
    pub servers: Servers,
    pub entries: Vec<Daemon>,
    pub engine_sidecars: Vec<Daemon>,
    pub plain_sidecar: Daemon,
}

/// The settings of a deployment that tests vary.
#[derive(Clone)]
pub struct DeploymentOptions {
    pub engine: EngineSettings,
    pub plain: PlainSettings,
    pub limits: Limits,
    pub shutdown: ShutdownSettings,
}

impl Default for DeploymentOptions {
    fn default() -> Self {
        Self {
            engine: EngineSettings {
                step_base_us: SpanUs::from_ms(2),
                ..EngineSettings::default()
            },
            plain: PlainSettings::default(),
            limits: Limits::default(),
            shutdown: ShutdownSettings {
                drain_delay_us: SpanUs::from_ms(100),
                linger_us: SpanUs::from_ms(100),
                limit_us: SpanUs::from_s(30),
            },
        }
    }
}

impl Deployment {
    /// Starts everything and waits until both entries can serve both services.
    pub fn start(options: &DeploymentOptions) -> Self {
        let servers = Servers::start(&ServerSettings {
            log: (ANY_PORT, LogSettings::default()),
            vms: (ANY_PORT, SpanUs(0)),
            weights: (ANY_PORT, WeightSettings::default()),
            tools: ANY_PORT,
            engines: vec![(ANY_PORT, options.engine.clone()); 2],
            plains: vec![(ANY_PORT, options.plain.clone())],
            workers: 1,
            takes_signals: false,
        })
        .expect("free ports");
        publish(servers.addresses.log, "agent-llm", ENGINE_DOCUMENT);
        publish(servers.addresses.log, "book-app", PLAIN_DOCUMENT);
        let addresses = servers.addresses.clone();
        let sidecar = |vm: &str, service: &str, kind, backend| {
            let role = Role::Sidecar(SidecarRole {
                service: name(service),
                backend_kind: kind,
                backend_address: backend,
                ..SidecarRole::default()
            });
            start(&servers, options, vm, role)
        };
        let engine_sidecars = (0..2)
            .map(|n| {
                let vm = format!("sidecar-{n}");
                sidecar(&vm, "agent-llm", BackendKind::Engine, addresses.engines[n])
            })
            .collect();
        let plain_sidecar = sidecar(
            "sidecar-2",
            "book-app",
            BackendKind::Plain,
            addresses.plains[0],
        );
        let entries: Vec<Daemon> = ["entry-a", "entry-b"]
            .map(|vm| {
                let role = Role::Entry(EntryRole {
                    log_address: addresses.log,
                    vms_address: addresses.vms,
                    default_service: Some(name("agent-llm")),
                    vms_poll_us: SpanUs::from_ms(50),
                    ..EntryRole::default()
                });
                start(&servers, options, vm, role)
            })
            .into();
        let deployment = Self {
            servers,
            entries,
            engine_sidecars,
            plain_sidecar,
        };
        deployment.wait_for_links();
        deployment
    }

    /// Waits until each entry is linked to all peers and every process is ready.
    pub fn wait_for_links(&self) {
        for entry in &self.entries {
            wait_for(|| {
                let peers = state(entry)["peers"].as_array().map(Vec::len);
                peers == Some(4)
            });
        }
        let sidecars = self.engine_sidecars.iter().chain([&self.plain_sidecar]);
        for daemon in self.entries.iter().chain(sidecars) {
            let ready = Call::new("GET", "/readyz");
            wait_for(|| ready.send(daemon.http_address()).status == 200);
        }
    }

    /// Changes the listed link address of the sidecar of an engine.
    pub fn set_sidecar_address(&self, number: usize, address: SocketAddr) {
        self.servers.vms.set(Vm {
            id: name(&format!("sidecar-{number}")),
            role: VmRole::Sidecar,
            service: Some(name("agent-llm")),
            zone: name("kinigi-room"),
            link_address: address.to_string(),
            state: VmState::Live,
        });
    }

    /// Forces the shutdown of all remaining daemons, joins them and stops the stand-ins.
    pub fn shut_down(self) {
        let sidecars = self.engine_sidecars.into_iter().chain([self.plain_sidecar]);
        let daemons: Vec<Daemon> = self.entries.into_iter().chain(sidecars).collect();
        for daemon in &daemons {
            daemon.force_shutdown();
        }
        for daemon in daemons {
            let _ = daemon.join();
        }
        self.servers.stop().expect("no server failed");
    }
}

/// Parses a name; panics if it is invalid.
pub fn name<T: TryFrom<String>>(text: &str) -> T {
    T::try_from(text.to_owned()).ok().expect("a name")
}

/// Starts a daemon and puts it into the list of VMs.
fn start(servers: &Servers, options: &DeploymentOptions, vm: &str, role: Role) -> Daemon {
    let vm: VmId = name(vm);
    let (listed, service) = match &role {
        Role::Entry(_) => (VmRole::Entry, None),
        Role::Sidecar(role) => (VmRole::Sidecar, Some(role.service.clone())),
    };
    let daemon = Daemon::start(Settings {
        vm: vm.clone(),
        zone: name("kinigi-room"),
        role,
        http_workers: 1,
        log_level: LogLevel::Off,
        links: LinkSettings {
            keys: LinkKeys {
                current: LinkKey::new("the key of this deployment").expect("long enough"),
                previous: None,
            },
            ..LinkSettings::default()
        },
        limits: options.limits.clone(),
        shutdown: options.shutdown.clone(),
        ..Settings::default()
    })
    .expect("the daemon starts");
    servers.vms.set(Vm {
        id: vm,
        role: listed,
        service,
        zone: name("kinigi-room"),
        link_address: daemon.link_address().to_string(),
        state: VmState::Live,
    });
    daemon
}

fn publish(log: SocketAddr, service: &str, document: &str) {
    let id = u128::from(
        clementinepick::prompt::ChainHash::default()
            .extend(service.as_bytes())
            .0,
    );
    let record = Record {
        id: RecordId(id),
        writer: name("operator"),
        incarnation: Incarnation(1),
        body: RecordBody::Publish {
            operation: OperationId(id),
            service: name(service),
            base: Revision(0),
            document: document.to_owned(),
        },
    };
    let text = serde_json::to_string(&record).expect("JSON");
    let body = json!({"records": [text]}).to_string();
    let response = Call::new("POST", "/v1/streams/config")
        .body(&body)
        .send(log);
    assert_eq!(response.status, 200, "{}", response.body);
}

/// Polls `done` until it returns true; panics after [`WAIT_TIMEOUT`].
pub fn wait_for(mut done: impl FnMut() -> bool) {
    let started = Instant::now();
    while !done() {
        assert!(
            started.elapsed() < WAIT_TIMEOUT,
            "condition not met within {WAIT_TIMEOUT:?}"
        );
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Returns the `state` part of a daemon's dump.
pub fn state(daemon: &Daemon) -> Value {
    let response = Call::new("GET", "/debug/dump").send(daemon.http_address());
    serde_json::from_str::<Value>(&response.body).expect("JSON")["state"].clone()
}

/// A request of a caller.
pub struct Call {
    head: String,
    body: String,
}

/// A response, with the chunks of its body joined.
#[derive(Debug, Clone)]
pub struct Response {
    pub status: u16,
    pub body: String,
    /// Whether the body was received completely.
    pub is_complete: bool,
}

impl Call {
    pub fn new(method: &str, path: &str) -> Self {
        Self {
            head: format!("{method} {path} HTTP/1.1\r\nhost: test\r\nconnection: close\r\n"),
            body: String::new(),
        }
    }

    /// A turn of `tokens` tokens in a program of its own.
    pub fn chat(program: &str, tokens: u64, stream: bool) -> Self {
        let prompt = format!("plan a night for {program}");
        Self::single(&prompt, tokens, stream).header("clementinepick-program", program)
    }

    /// A turn that belongs to no named program.
    pub fn single(prompt: &str, tokens: u64, stream: bool) -> Self {
        let body = json!({
            "model": "stargazer", "stream": stream, "max_tokens": tokens,
            "standin_output_tokens": tokens,
            "messages": [{"role": "user", "content": prompt}],
        });
        Self::new("POST", "/v1/chat/completions").body(&body.to_string())
    }

    /// A seat hold that must not run twice.
    pub fn hold(program: &str) -> Self {
        let body = json!({"id": program, "slot": "dome-1"});
        Self::new("POST", "/services/book-app/holds")
            .header("clementinepick-program", program)
            .header("clementinepick-non-idempotent", "yes")
            .header("content-type", "application/json")
            .body(&body.to_string())
    }

    /// Sets a header, replacing one of the same name.
    pub fn header(mut self, name: &str, value: &str) -> Self {
        let other = |line: &&str| !line.starts_with(&format!("{name}: "));
        self.head = self.head.split_inclusive("\r\n").filter(other).collect();
        for part in [name, ": ", value, "\r\n"] {
            self.head.push_str(part);
        }
        self
    }

    pub fn body(mut self, body: &str) -> Self {
        body.clone_into(&mut self.body);
        self
    }

    /// Sends the request and returns the connection with the response unread.
    pub fn open(&self, address: SocketAddr) -> TcpStream {
        let mut stream = TcpStream::connect(address).expect("a connection");
        stream
            .set_read_timeout(Some(WAIT_TIMEOUT))
            .expect("a timeout");
        let length = self.body.len();
        let text = format!("{}content-length: {length}\r\n\r\n{}", self.head, self.body);
        stream.write_all(text.as_bytes()).expect("request sent");
        stream
    }

    /// Sends the request and reads the complete response.
    pub fn send(&self, address: SocketAddr) -> Response {
        read_response(self.open(address))
    }
}

/// Reads the rest of a response.
pub fn read_response(mut stream: TcpStream) -> Response {
    let mut bytes = Vec::new();
    // After a reset, the bytes received before it still count.
    let _ = stream.read_to_end(&mut bytes);
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    let status = head
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok());
    let head = head.to_ascii_lowercase();
    let (body, is_complete) = if head.contains("transfer-encoding: chunked") {
        join_chunks(body)
    } else {
        let length = head.split("content-length: ").nth(1);
        let length = length.and_then(|rest| rest.lines().next()?.trim().parse().ok());
        (body.to_owned(), length == Some(body.len()))
    };
    Response {
        status: status.unwrap_or(0),
        body,
        is_complete,
    }
}

/// Joins the chunks of a body; returns it and whether the last chunk was received.
fn join_chunks(mut rest: &str) -> (String, bool) {
    let mut body = String::new();
    while let Some((size, after)) = rest.split_once("\r\n") {
        let Ok(size) = usize::from_str_radix(size, 16) else {
            break;
        };
        if size == 0 {
            return (body, true);
        }
        let Some(chunk) = after.get(..size) else {
            break;
        };
        body += chunk;
        rest = after.get(size + 2..).unwrap_or_default();
    }
    (body, false)
}

/// Returns the text of a streamed response and whether its end line was received.
pub fn streamed_text(response: &Response) -> (String, bool) {
    let mut text = String::new();
    for event in response.body.split("\n\n") {
        let Some(data) = event.strip_prefix("data: ") else {
            continue;
        };
        if data == "[DONE]" {
            return (text, response.is_complete);
        }
        let chunk: Value = serde_json::from_str(data).expect("JSON");
        text += chunk["choices"][0]["delta"]["content"]
            .as_str()
            .unwrap_or_default();
    }
    (text, false)
}
