//! Defines the settings of an entry or a sidecar, their defaults and the checks on them.

use std::fmt;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use clementinepick::ids::{Incarnation, ServiceName, VmId, ZoneName};
use clementinepick::units::{Bytes, SpanUs};
use derive_more::{Display, FromStr};

/// The minimum length of a link key, in bytes.
pub const MIN_KEY_BYTES: usize = 16;

/// A loopback address with a port that the system assigns.
const ANY_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// A shared secret, which prints as `***`: the link key of a deployment or an operator's key.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct LinkKey(String);

impl LinkKey {
    /// Creates a key, or returns `None` when `text` is shorter than [`MIN_KEY_BYTES`].
    #[must_use]
    pub fn new(text: &str) -> Option<Self> {
        (text.len() >= MIN_KEY_BYTES).then(|| Self(text.to_owned()))
    }

    pub(crate) fn as_bytes(&self) -> &[u8] {
        self.0.as_bytes()
    }
}

impl fmt::Debug for LinkKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("***")
    }
}

/// The keys that are valid at the same time: two during a rotation.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LinkKeys {
    /// The current key.
    pub current: LinkKey,
    /// Another valid key, during a rotation.
    pub previous: Option<LinkKey>,
}

/// The lowest severity that is logged.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Display, FromStr)]
pub enum LogLevel {
    /// All events.
    #[default]
    #[display("info")]
    Info,
    /// Warnings and errors.
    #[display("warning")]
    Warning,
    /// Errors only.
    #[display("error")]
    Error,
    /// Nothing.
    #[display("off")]
    Off,
}

/// The kind of a sidecar's backend server.
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

/// Settings of the role of an entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryRole {
    /// The address of the log service.
    pub log_address: SocketAddr,
    /// The address of the service that lists the VMs.
    pub vms_address: SocketAddr,
    /// The service for chat calls that name none.
    pub default_service: Option<ServiceName>,
    /// The number of partitions; must be the same at every entry of a deployment.
    pub partition_count: u16,
    /// The interval between two reads of the list of VMs.
    pub vms_poll_us: SpanUs,
    /// The timeout of a request to the log or the list of VMs.
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

/// Settings of the role of a sidecar.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SidecarRole {
    /// The service that its backend server provides.
    pub service: ServiceName,
    /// The kind of the backend server.
    pub backend_kind: BackendKind,
    /// The address of the backend server.
    pub backend_address: SocketAddr,
    /// The interval between two reads of the engine's load and cache events.
    pub poll_us: SpanUs,
    /// The timeout of a request to the engine, turns excepted.
    pub backend_timeout_us: SpanUs,
}

impl Default for SidecarRole {
    fn default() -> Self {
        Self {
            service: parse_name("unnamed"),
            backend_kind: BackendKind::Engine,
            backend_address: ANY_PORT,
            poll_us: SpanUs::from_ms(200),
            backend_timeout_us: SpanUs::from_s(5),
        }
    }
}

/// The role of a process, with its settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Role {
    /// Accepts callers' requests.
    Entry(EntryRole),
    /// Runs next to a backend server.
    Sidecar(SidecarRole),
}

/// Settings of the links to other processes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LinkSettings {
    /// The keys that authenticate links.
    pub keys: LinkKeys,
    /// The maximum size of a message.
    pub max_frame_bytes: Bytes,
    /// The maximum number of messages queued for one peer; its link is closed beyond it.
    pub queue_messages: usize,
    /// The approximate maximum of bytes queued for one peer.
    pub queue_bytes: Bytes,
    /// The time without a message after which a link is closed.
    pub idle_timeout_us: SpanUs,
    /// The timeout for connecting and authenticating.
    pub handshake_timeout_us: SpanUs,
    /// The maximum backoff between two attempts to connect.
    pub max_backoff_us: SpanUs,
    /// The maximum number of links that peers open to this process.
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

/// Limits on callers' connections, requests and answers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    /// The maximum size of a request's body, and of a plain service's response body.
    pub body_bytes: Bytes,
    /// The maximum total size of a request's header names and values.
    pub header_bytes: Bytes,
    /// The maximum number of callers' connections.
    pub connections: usize,
    /// The maximum number of concurrent calls.
    pub streams: usize,
    /// The timeout for receiving a request's header, and again for its body.
    pub receive_timeout_us: SpanUs,
    /// How long an idle connection of a caller is kept open.
    pub keep_alive_us: SpanUs,
    /// How long parts of an answer may wait for a caller that does not read before it is
    /// disconnected.
    pub answer_stall_us: SpanUs,
    /// The maximum text of an answer that waits for a slow caller before it is disconnected.
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

/// Settings of a graceful shutdown.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShutdownSettings {
    /// How long an entry still accepts calls once it reports that it is not ready, so that the load
    /// balancer has stopped sending and idle connections are closed before it refuses calls.
    pub drain_delay_us: SpanUs,
    /// How long the process keeps its links once its peers are notified of the shutdown, so that
    /// calls they had already sent are answered rather than lost.
    pub linger_us: SpanUs,
    /// The time after which the shutdown is forced and unfinished calls are answered with their
    /// known state.
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

/// All settings of an entry or a sidecar.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// The id of the VM.
    pub vm: VmId,
    /// The availability zone of the VM.
    pub zone: ZoneName,
    /// The incarnation of the process; derived from the start time when absent.
    pub incarnation: Option<Incarnation>,
    /// The role of the process.
    pub role: Role,
    /// The address on which it serves HTTP; with port 0, the system assigns one.
    pub http_address: SocketAddr,
    /// The address on which it accepts links; with port 0, the system assigns one.
    pub link_address: SocketAddr,
    /// The number of threads that serve callers' connections.
    pub http_workers: usize,
    /// The lowest severity that is logged.
    pub log_level: LogLevel,
    /// The key by which an operator may request a shutdown over HTTP; nobody may when absent.
    pub admin_key: Option<LinkKey>,
    /// Settings of the links to other processes.
    pub links: LinkSettings,
    /// Limits on callers' connections, requests and answers.
    pub limits: Limits,
    /// Settings of a graceful shutdown.
    pub shutdown: ShutdownSettings,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            vm: parse_name("unnamed"),
            zone: parse_name("unnamed"),
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

/// An invalid setting, or one that conflicts with another.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("[{section}] {key}: {detail}")]
pub struct SettingsConflict {
    /// The section of the key.
    pub section: &'static str,
    /// The name of the key.
    pub key: &'static str,
    /// The cause.
    pub detail: String,
}

impl Settings {
    /// Checks the rules that the types don't enforce.
    ///
    /// # Errors
    ///
    /// Returns the first setting that breaks a rule.
    pub fn check(&self) -> Result<(), SettingsConflict> {
        let conflict = |section, key, detail: &str| {
            Err(SettingsConflict {
                section,
                key,
                detail: detail.to_owned(),
            })
        };
        if self.links.keys.current.as_bytes().len() < MIN_KEY_BYTES {
            return conflict("links", "key", "must have 16 characters or more");
        }
        // A body is encoded as a CBOR array of numbers, each of up to two bytes.
        let min_frame_bytes = self.limits.body_bytes.0.saturating_mul(2) + FRAME_HEADROOM_BYTES;
        if self.links.max_frame_bytes.0 < min_frame_bytes {
            let detail =
                format!("must be at least {min_frame_bytes} B: twice [limits] body and 1 MB");
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

/// The part of a frame's limit that is reserved for everything but the body.
const FRAME_HEADROOM_BYTES: u64 = 1_000_000;

/// Parses a name that is a literal in the code.
fn parse_name<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: fmt::Debug,
{
    text.parse().expect("names in the code are valid")
}
