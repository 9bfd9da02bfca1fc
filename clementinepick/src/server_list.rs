//! The backend servers that are registered at present.

use std::collections::BTreeMap;
use std::net::SocketAddr;

/// One registered backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendServer {
    /// Names this start of the server; requests name it, so that another process at the same
    /// address refuses them.
    pub id: String,
    /// The service it belongs to.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: String,
    /// How many requests it runs at once.
    pub slots: u32,
    /// Whether it is leaving and takes no new requests.
    pub is_draining: bool,
    /// When it started, in Unix milliseconds, if it says so.
    pub started_unix_ms: Option<u64>,
}

/// All registered backend servers by id.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ServerList {
    /// The servers.
    pub servers: BTreeMap<String, BackendServer>,
}

impl ServerList {
    /// The servers of `service` that take new requests.
    pub fn ready<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a BackendServer> {
        self.servers
            .values()
            .filter(move |server| server.service == service && !server.is_draining)
    }
}
