//! Holds the backend servers that are currently registered.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use derive_more::{Display, From, FromStr};
use serde::{Deserialize, Serialize};

/// The version of a backend server's software, as opposed to that of a model; any text.
#[derive(
    Debug,
    Clone,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Display,
    From,
    FromStr,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct SoftwareVersion(String);

/// One registered backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendServer {
    /// Identifies one start of the server. Requests carry it, so that another process at the same
    /// address refuses them.
    pub id: String,
    /// The service it belongs to.
    pub service: String,
    /// The address it listens on.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: String,
    /// The version of its software. Streams of two versions can't be joined.
    pub version: SoftwareVersion,
    /// The maximum number of concurrent requests.
    pub slots: u32,
    /// Whether it is shutting down and accepts no new requests.
    pub is_draining: bool,
    /// When it started, in Unix milliseconds, if it reports it.
    pub started_unix_ms: Option<u64>,
}

/// All registered backend servers.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ServerList {
    /// The servers by id.
    pub servers: BTreeMap<String, BackendServer>,
}

impl ServerList {
    /// Returns the servers of `service` that accept new requests.
    pub fn ready<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a BackendServer> {
        self.servers
            .values()
            .filter(move |server| server.service == service && !server.is_draining)
    }
}
