//! The settings of a process, as code or from an INI file.

use std::fmt;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use clementinepick::ids::{Incarnation, ServiceName, VmId, ZoneName};
use clementinepick::units::{Bytes, SpanUs};
use derive_more::{Display, FromStr};

/// The least length of a link key, in bytes.
pub const MIN_KEY_BYTES: usize = 16;

/// A loopback address whose port the system chooses.
const ANY_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// The secret of a deployment, by which its processes know each other; it prints as `***`.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct LinkKey(String);

impl LinkKey {
    /// A key of at least [`MIN_KEY_BYTES`] bytes, or nothing when `text` is shorter.
    #[must_use]
    pub fn new(text: &str) -> Option<Self> {
        (text.len() >= MIN_KEY_BYTES).then(|| Self(text.to_owned()))
    }

    /// The secret itself.
    pub(crate) fn as_bytes(&self) -> &[u8] {
        self.0.as_bytes()
    }
}

impl fmt::Debug for LinkKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("***")
    }
}

/// The keys that are valid at a time: two while they are rotated.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LinkKeys {
    /// The key in use.
    pub current: LinkKey,
    /// Another key that is valid as well.
    pub previous: Option<LinkKey>,
}

/// How much is logged.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Display, FromStr)]
pub enum LogLevel {
    /// Every event.
    #[default]
    #[display("info")]
    Info,
    /// Warnings and errors.
    #[display("warning")]
    Warning,
    /// Errors.
    #[display("error")]
    Error,
    /// Nothing.
    #[display("off")]
    Off,
}

/// What a sidecar's backend server is.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Display, FromStr)]
pub enum BackendKind {
    /// A model engine.
    #[default]
    #[display("engine")]
    Engine,
    /// A plain service.
    #[display("plain")]
    Plain,
}

/// What only an entry is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryRole {
    /// The log service.
    pub log_address: SocketAddr,
    /// The list of VMs.
    pub vms_address: SocketAddr,
    /// The service of chat calls that name none.
    pub default_service: Option<ServiceName>,
    /// The count of partitions, the same at every entry of a deployment.
    pub partition_count: u16,
    /// The time between two reads of the list of VMs.
    pub vms_poll_us: SpanUs,
    /// How long one request to the log or the list of VMs may take.
    pub platform_timeout_us: SpanUs,
}

impl Default for EntryRole {
    fn default() -> Self {
        Self {
            log_address: ANY_PORT,
            vms_address: ANY_PORT,
            default_service: None,
            partition_count: 64,
            vms_poll_us: SpanUs::from_ms(500),
            platform_timeout_us: SpanUs::from_s(2),
        }
    }
}

/// What only a sidecar is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SidecarRole {
    /// The service of its backend server.
    pub service: ServiceName,
    /// What the backend server is.
    pub backend_kind: BackendKind,
    /// The backend server.
    pub backend_address: SocketAddr,
    /// The time between two reads of the engine's load and cache events.
    pub poll_us: SpanUs,
    /// How long a request to the engine other than a turn may take.
    pub backend_timeout_us: SpanUs,
}

impl Default for SidecarRole {
    fn default() -> Self {
        Self {
            service: name("unnamed"),
            backend_kind: BackendKind::Engine,
            backend_address: ANY_PORT,
            poll_us: SpanUs::from_ms(200),
            backend_timeout_us: SpanUs::from_s(5),
        }
    }
}

/// What the process is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Role {
    /// It takes callers' requests.
    Entry(EntryRole),
    /// It stands beside a backend server.
    Sidecar(SidecarRole),
}

/// How links to other processes are kept.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LinkSettings {
    /// The keys.
    pub keys: LinkKeys,
    /// The largest message.
    pub max_frame_bytes: Bytes,
    /// The most messages that wait for one peer; a peer that lags further loses its link.
    pub queue_messages: usize,
    /// About the most bytes that wait for one peer.
    pub queue_bytes: Bytes,
    /// The silence after which a link is closed.
    pub idle_timeout_us: SpanUs,
    /// How long connecting and proving may take.
    pub handshake_timeout_us: SpanUs,
    /// The longest wait between two attempts to connect.
    pub max_backoff_us: SpanUs,
    /// The most links that others open to this process.
    pub max_links: usize,
}

impl Default for LinkSettings {
    fn default() -> Self {
        Self {
            keys: LinkKeys::default(),
            max_frame_bytes: Bytes(32_000_000),
            queue_messages: 8_192,
            queue_bytes: Bytes(64_000_000),
            idle_timeout_us: SpanUs::from_s(5),
            handshake_timeout_us: SpanUs::from_s(3),
            max_backoff_us: SpanUs::from_s(2),
            max_links: 4_096,
        }
    }
}

/// What callers may use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    /// The largest body of a request, and of a plain service's answer.
    pub body_bytes: Bytes,
    /// The largest sum of a request's header names and values.
    pub header_bytes: Bytes,
    /// The most connections of callers.
    pub connections: usize,
    /// The most calls of callers at a time.
    pub streams: usize,
    /// How long a request's header, and then its body, may take to arrive.
    pub receive_timeout_us: SpanUs,
    /// How long an idle connection of a caller is kept.
    pub keep_alive_us: SpanUs,
    /// How long parts of an answer may wait for a caller that takes nothing, before it is cut off.
    pub answer_stall_us: SpanUs,
    /// The most text of an answer that waits for a slow caller, before it is cut off.
    pub answer_bytes: Bytes,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body_bytes: Bytes(8_000_000),
            header_bytes: Bytes(32_000),
            connections: 8_192,
            streams: 4_096,
            receive_timeout_us: SpanUs::from_s(10),
            keep_alive_us: SpanUs::from_s(5),
            answer_stall_us: SpanUs::from_s(10),
            answer_bytes: Bytes(4_000_000),
        }
    }
}

/// How the process leaves.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShutdownSettings {
    /// How long an entry goes on as before once it says that it is not ready, so that the balancer
    /// and idle connections are gone before it refuses calls.
    pub drain_delay_us: SpanUs,
    /// How long the process stays on its links once its peers are told that it leaves, so that what
    /// they had already sent is answered rather than lost.
    pub linger_us: SpanUs,
    /// The time after which what is unfinished is answered as it stands.
    pub limit_us: SpanUs,
}

impl Default for ShutdownSettings {
    fn default() -> Self {
        Self {
            drain_delay_us: SpanUs::from_s(6),
            linger_us: SpanUs::from_s(1),
            limit_us: SpanUs::from_s(60),
        }
    }
}

/// All settings of a process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// The VM.
    pub vm: VmId,
    /// Its availability zone.
    pub zone: ZoneName,
    /// This life of the process; absent: drawn from the time of the start.
    pub incarnation: Option<Incarnation>,
    /// What the process is.
    pub role: Role,
    /// Where it takes HTTP; port 0 lets the system choose.
    pub http_address: SocketAddr,
    /// Where it takes links; port 0 lets the system choose.
    pub link_address: SocketAddr,
    /// The threads that carry callers' connections.
    pub http_workers: usize,
    /// How much is logged.
    pub log_level: LogLevel,
    /// The key by which an operator may ask the process to leave; absent: nobody may over HTTP.
    pub admin_key: Option<LinkKey>,
    /// Links to other processes.
    pub links: LinkSettings,
    /// What callers may use.
    pub limits: Limits,
    /// How the process leaves.
    pub shutdown: ShutdownSettings,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            vm: name("unnamed"),
            zone: name("unnamed"),
            incarnation: None,
            role: Role::Entry(EntryRole::default()),
            http_address: ANY_PORT,
            link_address: ANY_PORT,
            http_workers: 2,
            log_level: LogLevel::Info,
            admin_key: None,
            links: LinkSettings::default(),
            limits: Limits::default(),
            shutdown: ShutdownSettings::default(),
        }
    }
}

/// Settings that can't work together.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("[{section}] {key}: {detail}")]
pub struct SettingsConflict {
    /// The section at fault.
    pub section: &'static str,
    /// The key at fault.
    pub key: &'static str,
    /// What is wrong.
    pub detail: String,
}

impl Settings {
    /// Checks what the types do not.
    ///
    /// # Errors
    ///
    /// The first setting that can't work.
    pub fn check(&self) -> Result<(), SettingsConflict> {
        let conflict = |section, key, detail: &str| {
            Err(SettingsConflict {
                section,
                key,
                detail: detail.to_owned(),
            })
        };
        if self.links.keys.current.as_bytes().len() < MIN_KEY_BYTES {
            return conflict("links", "key", "a key of 16 characters or more is needed");
        }
        // A body travels as a CBOR array of numbers, of up to two bytes each.
        let needed = self.limits.body_bytes.0.saturating_mul(2) + FRAME_HEADROOM_BYTES;
        if self.links.max_frame_bytes.0 < needed {
            let detail = format!("must be at least {needed} B: twice [limits] body and 1 MB");
            return conflict("links", "max_frame", &detail);
        }
        let counts = [
            ("process", "http_workers", self.http_workers),
            ("links", "queue_messages", self.links.queue_messages),
            ("links", "max_links", self.links.max_links),
            ("limits", "connections", self.limits.connections),
            ("limits", "streams", self.limits.streams),
        ];
        for (section, key, count) in counts {
            if count == 0 {
                return conflict(section, key, "must be 1 or more");
            }
        }
        if let Role::Entry(entry) = &self.role
            && entry.partition_count == 0
        {
            return conflict("entry", "partitions", "must be 1 or more");
        }
        Ok(())
    }
}

/// What a frame needs beside the body that it carries.
const FRAME_HEADROOM_BYTES: u64 = 1_000_000;

/// A name that stands in the code.
fn name<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: fmt::Debug,
{
    text.parse().expect("a name in the code is right")
}
