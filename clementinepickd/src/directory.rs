//! What a gateway believes: the configuration, the backend servers and its peers.
//!
//! One thread follows the store and publishes each change; the thread that carries traffic reads
//! the newest value and never waits for it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use clementinepick::server_list::ServerList;
use clementinepick::traffic_config::TrafficConfig;
use slog::Logger;
use tokio::sync::watch;

use crate::config_follower::ConfigFollower;
use crate::process_registry::ProcessRegistry;
use crate::server_follower::ServerFollower;
use crate::store::StoreClient;

/// One start of a process, as its entry names it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct PeerEntry {
    pub(crate) address: SocketAddr,
    pub(crate) writer: String,
}

/// What is believed at one moment.
#[derive(Debug, Clone, Default)]
pub(crate) struct Directory {
    /// The newest configuration that was read; it never goes back.
    pub(crate) config: Option<Arc<TrafficConfig>>,
    /// The registered servers.
    pub(crate) servers: Arc<ServerList>,
    /// Where peers take calls to the store.
    pub(crate) peers: Arc<Vec<SocketAddr>>,
    /// The processes whose entries are recent, this one among them, by address.
    pub(crate) processes: Arc<Vec<PeerEntry>>,
    /// When the configuration was last read, changed or not.
    pub(crate) config_read_at: Option<Instant>,
    /// When the list of servers was last read, changed or not.
    pub(crate) servers_read_at: Option<Instant>,
}

impl Directory {
    /// When the list that was read longer ago was last read; none before both were.
    pub(crate) fn read_at(&self) -> Option<Instant> {
        Some(self.config_read_at?.min(self.servers_read_at?))
    }
}

/// Who this process is, for its entry in the store.
#[derive(Debug, Clone)]
pub(crate) struct Identity {
    pub(crate) vm: String,
    /// A name that no other start of any process has.
    pub(crate) writer: String,
    pub(crate) peer_address: SocketAddr,
}

/// What all followers use.
#[derive(Clone, Copy)]
pub(crate) struct FollowerContext<'a> {
    pub(crate) store: &'a StoreClient,
    pub(crate) logger: &'a Logger,
    pub(crate) publish: &'a watch::Sender<Directory>,
}

/// Follows the store until `stop` turns true or its sender is gone.
///
/// The followers share their context and nothing else, so that none waits for another.
pub(crate) async fn follow(
    identity: Identity,
    seeds: Vec<SocketAddr>,
    store: StoreClient,
    logger: Logger,
    publish: watch::Sender<Directory>,
    mut stop: watch::Receiver<bool>,
) {
    let now = Instant::now();
    let context = FollowerContext {
        store: &store,
        logger: &logger,
        publish: &publish,
    };
    let config = ConfigFollower::new(context, now);
    let servers = ServerFollower::new(context, now);
    let processes = ProcessRegistry::new(identity, seeds, context);
    tokio::select! {
        // If its sender is gone, the process ends.
        _ = stop.wait_for(|stop| *stop) => {}
        () = config.run() => {}
        () = servers.run() => {}
        () = processes.run() => {}
    }
}
