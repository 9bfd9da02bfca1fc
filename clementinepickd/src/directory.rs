//! Holds the configuration, the backend servers and the peers as read from the store.
//!
//! One thread follows the store and publishes each change; the thread that serves traffic reads the
//! newest value without waiting.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::{Duration, Instant};

use bytes::Bytes;
use clementinepick::server_list::{ServerList, SoftwareVersion};
use clementinepick::traffic_config::TrafficConfig;
use slog::Logger;
use tokio::sync::watch;

use crate::config_follower::ConfigFollower;
use crate::list_refresh::RefreshReceiver;
use crate::process_registry::ProcessRegistry;
use crate::server_follower::ServerFollower;
use crate::store::StoreClient;
use crate::supervised_tasks::TaskSupervisor;
use crate::topic_watch::LONG_POLL_WAIT;

/// The maximum age of a server list from which it is concluded that a server is absent. A list that the
/// store held back is as old as the end of the wait: if the response to the next long poll is lost, which
/// is noticed after the wait and an attempt's timeout, the list is read again within this time.
const MAX_LIST_AGE: Duration = LONG_POLL_WAIT.saturating_mul(2);

/// The age from which a list is due to be read or handed over: older than a long poll leaves it.
const DUE_AGE: Duration = Duration::from_millis(1_500);

/// Services and software versions, each with a time.
pub(crate) type LeftVersions = BTreeMap<(String, SoftwareVersion), Instant>;

/// A process instance, as registered in the store.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct PeerEntry {
    pub(crate) address: SocketAddr,
    pub(crate) writer: String,
}

/// The state of the store's lists as last read.
#[derive(Debug, Clone, Default)]
pub(crate) struct Directory {
    /// The configuration with the highest version that was read.
    pub(crate) config: Option<Arc<TrafficConfig>>,
    /// The document from which it was decoded.
    pub(crate) config_document: Option<Bytes>,
    /// The registered servers.
    pub(crate) servers: Arc<ServerList>,
    /// The offset in the topic of servers up to which they are known.
    pub(crate) servers_end: u64,
    /// Whether entries of some of them have expired in an outage.
    pub(crate) has_kept_servers: bool,
    /// The addresses at which peers take calls.
    pub(crate) peers: Arc<Vec<SocketAddr>>,
    /// The processes with valid entries, including this one, sorted by address.
    pub(crate) processes: Arc<Vec<PeerEntry>>,
    /// Whether the list of processes was read; before, `peers` has those of the settings.
    pub(crate) has_read_processes: bool,
    /// As of when the configuration is known, changed or not: by the start of the call that returned
    /// it, or by the end of the time for which the store held it.
    pub(crate) config_as_of: Option<Instant>,
    /// As of when the list of servers is known, changed or not: by the start of the call that returned
    /// it, or by the end of the time for which the store held it.
    pub(crate) servers_as_of: Option<Instant>,
    /// As of when a peer handed over a list of servers that was newer than what was read.
    pub(crate) handed_as_of: Option<Instant>,
    /// Since when the list of servers has never been older than [`MAX_LIST_AGE`].
    pub(crate) servers_current_since: Option<Instant>,
    /// The services and software versions of servers whose entries have been replaced or have left, and
    /// when the last one was.
    pub(crate) left_versions: Arc<LeftVersions>,
}

impl Directory {
    /// Returns the earlier time as of which the configuration and the servers are known; `None`
    /// before both were read or handed over.
    pub(crate) fn as_of(&self) -> Option<Instant> {
        Some(self.config_as_of?.min(self.list_as_of()?))
    }

    /// Returns as of when the list of servers was read or handed over.
    pub(crate) fn list_as_of(&self) -> Option<Instant> {
        self.servers_as_of.max(self.handed_as_of)
    }

    /// Returns whether the configuration or the list of servers is missing or older than reads leave it.
    pub(crate) fn is_due(&self, now: Instant) -> bool {
        let is_old = |at: Instant| now.saturating_duration_since(at) >= DUE_AGE;
        self.as_of().is_none_or(is_old)
    }

    /// Returns whether the list of servers is new enough to conclude from it that a server is absent.
    pub(crate) fn has_current_servers(&self, now: Instant) -> bool {
        let age = |at| now.saturating_duration_since(at);
        self.servers_as_of.is_some_and(|at| age(at) <= MAX_LIST_AGE)
    }

    /// Records that the list of servers was read, changed or not, as of `as_of`.
    pub(crate) fn record_servers_read(&mut self, as_of: Instant, now: Instant) {
        if !self.has_current_servers(now) {
            self.servers_current_since = Some(now);
        }
        self.servers_as_of = self.servers_as_of.max(Some(as_of));
    }
}

/// This process's identity, for its entry in the store.
#[derive(Debug, Clone)]
pub(crate) struct Identity {
    pub(crate) vm: String,
    /// A unique id of this process instance; a restart has another one.
    pub(crate) writer: String,
    pub(crate) peer_address: SocketAddr,
    /// Set when the process shuts down: the entry may belong to its successor by then.
    pub(crate) is_leaving: Arc<AtomicBool>,
}

/// The resources of a follower.
#[derive(Clone, Copy)]
pub(crate) struct FollowerContext<'a> {
    /// The client of this follower alone; all of them have the same relays.
    pub(crate) store: &'a StoreClient,
    pub(crate) logger: &'a Logger,
    pub(crate) publish: &'a watch::Sender<Directory>,
}

/// Follows the store until `stop` becomes true or its sender is dropped.
///
/// The followers run independently, each with a client of its own, so that none waits for another. One that
/// panics is begun anew, with what was published.
pub(crate) async fn follow(
    identity: Identity,
    seeds: Vec<SocketAddr>,
    store: StoreClient,
    tasks: &TaskSupervisor,
    publish: watch::Sender<Directory>,
    refresh: RefreshReceiver,
    mut stop: watch::Receiver<bool>,
) {
    let (config_store, server_store) = (store.independent_client(), store.independent_client());
    let context = |store| FollowerContext {
        store,
        logger: tasks.logger(),
        publish: &publish,
    };
    let config = tasks.keep_running("follow_config", async || {
        let follower = ConfigFollower::new(context(&config_store), Instant::now());
        follower.run().await;
    });
    let servers = tasks.keep_running("follow_servers", async || {
        let context = context(&server_store);
        let follower = ServerFollower::new(context, refresh.clone(), Instant::now());
        follower.run().await;
    });
    let processes = tasks.keep_running("register_process", async || {
        let registry = ProcessRegistry::new(identity.clone(), seeds.clone(), context(&store));
        registry.run().await;
    });
    tokio::select! {
        // The sender is dropped only when the process ends.
        _ = stop.wait_for(|stop| *stop) => {}
        () = config => {}
        () = servers => {}
        () = processes => {}
    }
}

#[cfg(test)]
mod tests {
    use actix_rt::System;

    use super::*;
    use crate::gateway_metrics::GatewayMetrics;
    use crate::gateway_tests::{FollowerFixture, wait_until};
    use crate::injected_panics::{inject, starts};
    use crate::list_refresh::refresh_channel;

    /// Guards against a list that counts as new because its response waited in a socket.
    #[test]
    fn a_list_is_as_old_as_the_call_that_returned_it() {
        let start = Instant::now();
        let later = start + MAX_LIST_AGE + Duration::from_millis(1);
        let mut directory = Directory::default();
        directory.record_servers_read(start, later);
        assert!(!directory.has_current_servers(later));
        directory.record_servers_read(later, later);
        assert!(directory.has_current_servers(later));
        assert_eq!(directory.servers_current_since, Some(later));
    }

    /// Guards against a follower whose panic ends the others or leaves it dead.
    #[test]
    fn a_follower_that_panics_is_begun_again_and_the_others_go_on() {
        let followers = ["follow_config", "follow_servers", "register_process"];
        System::new().block_on(async {
            let (_stop, stopped) = watch::channel(false);
            let following = follow_without_store(stopped);
            let check = async {
                assert!(wait_until(|| followers.iter().all(|task| starts(task) == 1)).await);
                for (index, task) in followers.iter().enumerate() {
                    inject(task, 2);
                    assert!(wait_until(|| starts(task) == 3).await, "{task}");
                    let untouched = &followers[index + 1..];
                    assert!(untouched.iter().all(|task| starts(task) == 1), "{task}");
                }
            };
            tokio::select! {
                () = following => unreachable!("it is not stopped"),
                () = check => {}
            }
        });
    }

    async fn follow_without_store(stopped: watch::Receiver<bool>) {
        let fixture = FollowerFixture::new(Directory::default());
        let identity = Identity {
            vm: "vm".to_owned(),
            writer: "writer".to_owned(),
            peer_address: ([127, 0, 0, 1], 1).into(),
            is_leaving: Arc::default(),
        };
        let (_, refresh) = refresh_channel();
        let FollowerFixture {
            store,
            logger,
            publish,
        } = fixture;
        let metrics = Arc::new(GatewayMetrics::new().expect("a recorder"));
        let tasks = TaskSupervisor::new(logger, metrics);
        Box::pin(follow(
            identity,
            Vec::new(),
            store,
            &tasks,
            publish,
            refresh,
            stopped,
        ))
        .await;
    }
}
