//! Follows the list of backend servers in the store and publishes changes.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use clementinepick::event::{Event, EventKind};
use clementinepick::listed_versions::VERSION_MEMORY_US;
use clementinepick::server_list::{BackendServer, ServerList};
use platform::store::Topic;
use tokio::task::yield_now;

use crate::directory::{FollowerContext, LeftVersions};
use crate::link::duration;
use crate::list_refresh::RefreshReceiver;
use crate::logging::write_event;
use crate::topic_watch::{LONG_POLL_WAIT, TopicRead, TopicWatch};

/// The number of entries that are decoded or logged before other tasks of the thread run.
const ENTRIES_PER_TURN: usize = 500;

/// Follows the registered servers.
pub(crate) struct ServerFollower<'a> {
    context: FollowerContext<'a>,
    watch: TopicWatch,
    refresh: RefreshReceiver,
    /// Versions of entries that were replaced or have left, as published.
    left_versions: LeftVersions,
    /// The list that was published last.
    published: Arc<ServerList>,
    /// Its servers.
    known: BTreeMap<String, BackendServer>,
    /// Those of them whose entries have expired and that are kept for now.
    kept: BTreeSet<String>,
    /// Entries that could not be decoded, with the error.
    bad_entries: BTreeMap<String, String>,
}

impl<'a> ServerFollower<'a> {
    /// Creates a follower that goes on from what is published.
    pub(crate) fn new(
        context: FollowerContext<'a>,
        refresh: RefreshReceiver,
        now: Instant,
    ) -> Self {
        let published = context.publish.borrow().clone();
        Self {
            context,
            refresh,
            left_versions: (*published.left_versions).clone(),
            watch: TopicWatch::new(Topic::Servers, now),
            published: Arc::clone(&published.servers),
            known: published.servers.servers.clone(),
            kept: BTreeSet::new(),
            bad_entries: BTreeMap::new(),
        }
    }

    /// Follows the list until this is dropped.
    pub(crate) async fn run(mut self) {
        loop {
            let has_kept = !self.kept.is_empty();
            let max_wait = self.max_wait(Instant::now());
            let store = self.context.store;
            let read = self
                .watch
                .next_or_refresh(store, max_wait, &mut self.refresh);
            // The store client counts a failure; an outage is logged when it ends.
            if let Ok(read) = read.await {
                self.publish_list(read, has_kept, Instant::now()).await;
            }
        }
    }

    /// Returns how long a long poll may last: kept servers are removed at the end of the grace
    /// period, without a new record.
    fn max_wait(&self, now: Instant) -> Duration {
        if self.kept.is_empty() {
            LONG_POLL_WAIT
        } else {
            LONG_POLL_WAIT.min(self.context.store.grace_left(now))
        }
    }

    /// Publishes the list after a successful read.
    async fn publish_list(&mut self, read: TopicRead, has_kept: bool, now: Instant) {
        self.log_outage_end();
        let has_left = self.record_left(now);
        let servers = if read.has_changed || has_kept {
            self.new_servers(now).await
        } else {
            None
        };
        if let Some(servers) = servers {
            self.published = Arc::new(ServerList { servers });
        }
        let end = self.watch.topic.end().unwrap_or_default();
        self.context.publish.send_modify(|directory| {
            let is_newest = directory.is_newest_list(end, read.as_of);
            directory.record_servers_read(read.as_of, now);
            if has_left {
                directory.left_versions = Arc::new(self.left_versions.clone());
            }
            if is_newest {
                // A peer may have handed over another list meanwhile.
                directory.servers = Arc::clone(&self.published);
                directory.servers_end = end;
                directory.has_kept_servers = !self.kept.is_empty();
            }
        });
    }

    /// Records the versions of entries that the last read replaced or removed; returns whether there
    /// are any.
    fn record_left(&mut self, now: Instant) -> bool {
        let replaced = self.watch.topic.replaced().iter();
        // One that can't be decoded never was a server to send to.
        let servers =
            replaced.filter_map(|(key, value)| platform::servers::decode(key, value).ok());
        let left: Vec<_> = servers
            .map(|server| (server.service, server.version))
            .collect();
        let has_left = !left.is_empty();
        let left = left.into_iter().map(|version| (version, now));
        self.left_versions.extend(left);
        let is_remembered = |at: Instant| now.duration_since(at) < duration(VERSION_MEMORY_US);
        self.left_versions.retain(|_, at| is_remembered(*at));
        has_left
    }

    fn log_outage_end(&self) {
        let Some(ended) = self.context.store.take_ended_outage() else {
            return;
        };
        let event = Event::new(EventKind::ServerListBack)
            .with("silence_ms", ended.silence_us.as_ms())
            .with("failed_reads", ended.failed_reads);
        write_event(self.context.logger, &event);
    }

    /// Returns the servers to publish, if they have changed.
    async fn new_servers(&mut self, now: Instant) -> Option<BTreeMap<String, BackendServer>> {
        let mut servers = self.decode().await;
        let kept = if self.context.store.grace_left(now).is_zero() {
            BTreeSet::new()
        } else {
            keep_lapsed(&mut servers, &self.known)
        };
        self.log_kept(kept);
        if servers == self.known {
            return None;
        }
        self.log_changes(&servers).await;
        self.known.clone_from(&servers);
        Some(servers)
    }

    async fn decode(&mut self) -> BTreeMap<String, BackendServer> {
        let mut servers = BTreeMap::new();
        let unreadable = self.watch.topic.unreadable().iter();
        let unreadable = unreadable.map(|item| {
            let key = item.key.clone().unwrap_or_default();
            (key, item.error.to_string())
        });
        let mut bad_entries: BTreeMap<String, String> = unreadable.collect();
        for (index, (key, value)) in self.watch.topic.records().iter().enumerate() {
            yield_after_turn(index).await;
            match platform::servers::decode(key, value) {
                Ok(server) => {
                    servers.insert(key.clone(), server);
                }
                Err(err) => {
                    bad_entries.insert(key.clone(), err.to_string());
                }
            }
        }
        self.log_bad_entries(bad_entries);
        servers
    }

    /// Logs entries that cannot be decoded, once for each error.
    fn log_bad_entries(&mut self, bad_entries: BTreeMap<String, String>) {
        for (id, reason) in &bad_entries {
            if self.bad_entries.get(id) != Some(reason) {
                let event = Event::new(EventKind::ServerEntryUnreadable);
                let event = event.with("server", id).with("reason", reason);
                write_event(self.context.logger, &event);
            }
        }
        self.bad_entries = bad_entries;
    }

    /// Logs servers that are newly kept.
    fn log_kept(&mut self, kept: BTreeSet<String>) {
        for id in kept.difference(&self.kept) {
            let event = Event::new(EventKind::ServerKept).with("server", id);
            write_event(self.context.logger, &event);
        }
        self.kept = kept;
    }

    async fn log_changes(&self, servers: &BTreeMap<String, BackendServer>) {
        for (index, (id, server)) in servers.iter().enumerate() {
            yield_after_turn(index).await;
            let previous = self.known.get(id);
            if previous.is_none_or(|previous| previous.is_draining != server.is_draining) {
                let state = if server.is_draining {
                    "draining"
                } else {
                    "ready"
                };
                self.log_server(id, state, server);
            }
        }
        for (index, (id, server)) in self.known.iter().enumerate() {
            yield_after_turn(index).await;
            if !servers.contains_key(id) {
                self.log_server(id, "gone", server);
            }
        }
    }

    fn log_server(&self, id: &str, state: &str, server: &BackendServer) {
        let event = Event::new(EventKind::ServerListed)
            .with("server", id)
            .with("state", state)
            .with("service", &server.service)
            .with("version", &server.version)
            .with("address", server.address);
        write_event(self.context.logger, &event);
    }
}

/// Lets the other tasks of the thread run before each [`ENTRIES_PER_TURN`] entries.
async fn yield_after_turn(index: usize) {
    if index.is_multiple_of(ENTRIES_PER_TURN) {
        yield_now().await;
    }
}

/// Keeps servers whose entries expired during a store outage until they had time to register again;
/// returns those that are kept.
///
/// Without this, all servers would disappear at once when the store returns, and every request
/// would be refused until they register. A server that is really gone costs one failed connection.
fn keep_lapsed(
    servers: &mut BTreeMap<String, BackendServer>,
    known: &BTreeMap<String, BackendServer>,
) -> BTreeSet<String> {
    let mut kept = BTreeSet::new();
    for (id, server) in known {
        let is_replaced = servers.values().any(|s| s.address == server.address);
        if !servers.contains_key(id) && !is_replaced {
            servers.insert(id.clone(), server.clone());
            kept.insert(id.clone());
        }
    }
    kept
}

#[cfg(test)]
mod tests {
    use clementinepick::server_list::SoftwareVersion;

    use super::*;
    use crate::directory::Directory;
    use crate::gateway_tests::FollowerFixture;
    use crate::list_refresh::refresh_channel;

    /// Guards against servers that disappear after an outage, and versions that are forgotten.
    #[test]
    fn a_follower_that_is_begun_anew_knows_what_was_published() {
        let now = Instant::now();
        let server = BackendServer {
            id: "server".to_owned(),
            service: "service".to_owned(),
            address: ([127, 0, 0, 1], 1).into(),
            zone: "zone".to_owned(),
            version: SoftwareVersion::default(),
            slots: 1,
            is_draining: false,
            started_unix_ms: None,
        };
        let servers = BTreeMap::from([(server.id.clone(), server)]);
        let left = (("service".to_owned(), SoftwareVersion::default()), now);
        let left = LeftVersions::from([left]);
        let fixture = FollowerFixture::new(Directory {
            servers: Arc::new(ServerList {
                servers: servers.clone(),
            }),
            left_versions: Arc::new(left.clone()),
            ..Directory::default()
        });
        let (_sender, refresh) = refresh_channel();
        let follower = ServerFollower::new(fixture.context(), refresh, now);
        assert_eq!(follower.known, servers);
        assert_eq!(follower.left_versions, left);
    }
}
