//! What a gateway believes: the configuration, the backend servers and its peers.
//!
//! One thread follows the store and publishes each change; the thread that carries traffic reads
//! the newest value and never waits for it.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::{Duration, Instant};

use actix_rt::time::sleep;
use clementinepick::event::{Event, EventKind};
use clementinepick::list_outage::ListOutage;
use clementinepick::server_list::{BackendServer, ServerList};
use clementinepick::traffic_config::TrafficConfig;
use futures_util::future::{Either, select};
use platform::store::{CONFIG_KEY, KeyedRecord, Topic, append_target, encode_records};
use serde::{Deserialize, Serialize};
use slog::Logger;
use tokio::sync::watch;

use crate::followed_topic::FollowedTopic;
use crate::ledger::{from_cbor, to_cbor};
use crate::logging::write_event;
use crate::steady_clock::SteadyClock;
use crate::store::{StoreAway, StoreCall, StoreClient, StorePurpose};
use crate::unix_time::unix_ms;

/// The time between two looks at the lists where the store can't be waited at. A change must be in
/// force within two seconds; three looks fit, so that one that fails is made up for.
const LOOK: Duration = Duration::from_millis(550);
/// How long the store may hold an answer back until something changes. With the limit of a try, a
/// look that is lost is noticed after 1.6 s at the latest, and another one fits into two seconds.
const WAIT: Duration = Duration::from_secs(1);
/// The least time between the starts of two looks that wait: a storm of changes is read in parts.
const NEWS_PAUSE: Duration = Duration::from_millis(150);
/// How long one look may take.
const LOOK_LIMIT: Duration = Duration::from_millis(1_500);
/// How often this process writes its own entry, so that peers find it.
const ANNOUNCE: Duration = Duration::from_secs(20);
/// When it is written the second time: all processes that were started together have written theirs
/// by then.
const SECOND_ANNOUNCE: Duration = Duration::from_secs(2);

/// How long the entry of a process is believed after it was written: two writes may fail, and
/// clocks may be ten seconds apart.
const PROCESS_LIFE_MS: u64 = 70_000;

/// The entry of one process in the store.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct ProcessRecord {
    #[serde(rename = "a")]
    peer_address: SocketAddr,
    /// The start of the process.
    #[serde(rename = "i", default)]
    writer: String,
    /// When it was written, in Unix milliseconds by the writer's clock.
    #[serde(rename = "w")]
    recorded_unix_ms: u64,
}

fn is_recent(recorded_unix_ms: u64, now_unix_ms: u64) -> bool {
    now_unix_ms < recorded_unix_ms.saturating_add(PROCESS_LIFE_MS)
}

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
    /// When the lists were last read.
    pub(crate) read_at: Option<Instant>,
}

/// Who this process is, for its entry in the store.
#[derive(Debug, Clone)]
pub(crate) struct Identity {
    pub(crate) vm: String,
    /// A name that no other start of any process has.
    pub(crate) writer: String,
    pub(crate) peer_address: SocketAddr,
}

/// What one look at the lists brought: for each, whether it changed; none where it was not read.
struct Looked {
    config: Option<Result<bool, StoreAway>>,
    servers: Option<Result<bool, StoreAway>>,
}

impl Looked {
    fn is_well(&self) -> bool {
        let is_well = |look: Option<Result<bool, StoreAway>>| !matches!(look, Some(Err(_)));
        is_well(self.config) && is_well(self.servers)
    }
}

/// Follows the store until `stop` is set.
pub(crate) struct Follower {
    identity: Identity,
    seeds: Vec<SocketAddr>,
    store: StoreClient,
    logger: Logger,
    current: Directory,
    publish: watch::Sender<Directory>,
    clock: SteadyClock,
    outage: ListOutage,
    /// Servers whose entries have vanished and that are used all the same.
    kept: BTreeSet<String>,
    announced_at: Option<Instant>,
    announcements: u32,
    bad_entries: BTreeMap<String, String>,
    config: FollowedTopic,
    servers: FollowedTopic,
    processes: FollowedTopic,
}

impl Follower {
    pub(crate) fn new(
        identity: Identity,
        seeds: Vec<SocketAddr>,
        store: StoreClient,
        logger: Logger,
        publish: watch::Sender<Directory>,
    ) -> Self {
        let seeds: Vec<SocketAddr> = seeds
            .into_iter()
            .filter(|seed| *seed != identity.peer_address)
            .collect();
        store.set_relays(seeds.clone());
        Self {
            identity,
            seeds,
            store,
            logger,
            current: Directory::default(),
            publish,
            clock: SteadyClock::starting_at(Instant::now()),
            outage: ListOutage::default(),
            kept: BTreeSet::new(),
            announced_at: None,
            announcements: 0,
            bad_entries: BTreeMap::new(),
            config: FollowedTopic::new(Topic::Config),
            servers: FollowedTopic::new(Topic::Servers),
            processes: FollowedTopic::new(Topic::Processes),
        }
    }

    /// Looks at the lists again and again until `stop` turns true or its sender is gone.
    pub(crate) async fn run(mut self, mut stop: watch::Receiver<bool>) {
        let mut may_wait = false;
        loop {
            let begun = Instant::now();
            let (looked, rest) = tokio::select! {
                ended = self.look(may_wait, begun) => ended,
                _ = stop.wait_for(|stop| *stop) => return,
            };
            may_wait = looked.is_well();
            self.absorb(&looked, begun).await;
            self.store.close_stale(Instant::now());
            tokio::select! {
                _ = stop.wait_for(|stop| *stop) => return,
                () = sleep(rest.saturating_sub(begun.elapsed())) => {}
            }
        }
    }

    /// Looks once, and says how long after its start the next look may begin.
    async fn look(&mut self, may_wait: bool, now: Instant) -> (Looked, Duration) {
        self.store.probe().await;
        let is_due = self.config.is_whole_due(now) || self.servers.is_whole_due(now);
        // Once lapsed entries are believed no more, the list changes without news.
        let is_settling = !self.kept.is_empty();
        if may_wait && !is_due && !self.store.is_direct_down() && !is_settling {
            return (self.wait_for_news().await, NEWS_PAUSE);
        }
        let deadline = now + LOOK_LIMIT;
        let looked = Looked {
            config: Some(self.config.look(&self.store, now, deadline).await),
            servers: Some(self.servers.look(&self.store, now, deadline).await),
        };
        (looked, LOOK)
    }

    /// Waits until one of the lists changes, or for as long as the store holds an answer back.
    async fn wait_for_news(&mut self) -> Looked {
        let config = pin!(self.config.wait(&self.store, WAIT));
        let servers = pin!(self.servers.wait(&self.store, WAIT));
        // News of one list must not wait for the other; the one that is dropped begins again.
        match select(config, servers).await {
            Either::Left((Ok(false), servers)) => Looked {
                config: Some(Ok(false)),
                servers: Some(servers.await),
            },
            Either::Left((config, _)) => Looked {
                config: Some(config),
                servers: None,
            },
            Either::Right((Ok(false), config)) => Looked {
                config: Some(config.await),
                servers: Some(Ok(false)),
            },
            Either::Right((servers, _)) => Looked {
                config: None,
                servers: Some(servers),
            },
        }
    }

    /// Takes up what a look that began at `begun` brought.
    async fn absorb(&mut self, looked: &Looked, begun: Instant) {
        let now = Instant::now();
        if looked.config == Some(Ok(true)) {
            self.take_config();
        }
        if looked.servers == Some(Err(StoreAway)) {
            self.outage.read_failed(self.clock.at(begun));
        }
        if let Some(Ok(has_changed)) = looked.servers {
            self.note_return(now);
            if has_changed || !self.kept.is_empty() {
                self.take_servers(now);
            }
            self.current.read_at = Some(now);
        }
        let pause = if self.announcements < 2 {
            SECOND_ANNOUNCE
        } else {
            ANNOUNCE
        };
        let is_due = |at: Instant| now.duration_since(at) >= pause;
        if self.announced_at.is_none_or(is_due) {
            self.announce(now).await;
        }
        self.publish.send_replace(self.current.clone());
    }

    fn note_return(&mut self, now: Instant) {
        if let Some(ended) = self.outage.read(self.clock.at(now)) {
            let event = Event::new(EventKind::ServerListBack)
                .with("silence_ms", ended.silence_us.as_ms())
                .with("failed_reads", ended.failed_reads);
            write_event(&self.logger, &event);
        }
    }

    fn take_config(&mut self) {
        let Some(value) = self.config.records().get(CONFIG_KEY) else {
            return;
        };
        let config = match platform::config::decode(value) {
            Ok(config) => config,
            Err(err) => {
                let event = Event::new(EventKind::DocumentRejected).with("reason", err);
                write_event(&self.logger, &event);
                return;
            }
        };
        let known = self.current.config.as_ref().map(|config| config.version);
        if known.is_none_or(|known| config.version > known) {
            let event = Event::new(EventKind::DocumentInForce).with("version", config.version);
            write_event(&self.logger, &event);
            self.current.config = Some(Arc::new(config));
        }
    }

    fn take_servers(&mut self, now: Instant) {
        let mut servers = BTreeMap::new();
        let mut bad_entries = BTreeMap::new();
        for (key, value) in self.servers.records() {
            match platform::servers::decode(key, value) {
                Ok(server) => {
                    servers.insert(key.clone(), server);
                }
                Err(err) => {
                    bad_entries.insert(key.clone(), err.to_string());
                }
            }
        }
        self.note_bad_entries(bad_entries);
        let kept = if self.outage.keeps_lapsed(self.clock.at(now)) {
            keep_lapsed(&mut servers, &self.current.servers.servers)
        } else {
            BTreeSet::new()
        };
        self.note_kept(kept);
        if servers != self.current.servers.servers {
            self.log_changes(&servers);
            self.current.servers = Arc::new(ServerList { servers });
        }
    }

    /// Logs entries that can't be read, once for each reason.
    fn note_bad_entries(&mut self, bad_entries: BTreeMap<String, String>) {
        for (id, reason) in &bad_entries {
            if self.bad_entries.get(id) != Some(reason) {
                let event = Event::new(EventKind::ServerEntryUnreadable);
                let event = event.with("server", id).with("reason", reason);
                write_event(&self.logger, &event);
            }
        }
        self.bad_entries = bad_entries;
    }

    /// Logs which servers are kept from now on.
    fn note_kept(&mut self, kept: BTreeSet<String>) {
        for id in kept.difference(&self.kept) {
            let event = Event::new(EventKind::ServerKept).with("server", id);
            write_event(&self.logger, &event);
        }
        self.kept = kept;
    }

    fn log_changes(&self, servers: &BTreeMap<String, BackendServer>) {
        let before = &self.current.servers.servers;
        for (id, server) in servers {
            if before
                .get(id)
                .is_none_or(|old| old.is_draining != server.is_draining)
            {
                let state = if server.is_draining {
                    "draining"
                } else {
                    "ready"
                };
                self.log_server(id, state, server);
            }
        }
        for (id, server) in before {
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
            .with("address", server.address);
        write_event(&self.logger, &event);
    }

    /// Writes this process's entry and reads those of its peers.
    async fn announce(&mut self, now: Instant) {
        let deadline = now + LOOK_LIMIT;
        let entry = ProcessRecord {
            peer_address: self.identity.peer_address,
            writer: self.identity.writer.clone(),
            recorded_unix_ms: unix_ms(),
        };
        let record = KeyedRecord {
            key: self.identity.vm.clone(),
            value: Some(to_cbor(&entry)),
        };
        let target = append_target(&Topic::Processes, 0, None);
        let call = StoreCall::post(StorePurpose::Announce, target, encode_records(&[record]));
        let is_written = self
            .store
            .call(&call, deadline)
            .await
            .is_ok_and(|reply| reply.status == 200);
        let read = self.processes.look(&self.store, now, deadline).await;
        if read.is_err() {
            return;
        }
        if is_written {
            self.announced_at = Some(now);
            self.announcements = self.announcements.saturating_add(1);
        }
        self.take_processes();
    }

    fn take_processes(&mut self) {
        let entries = self.processes.records().values();
        let mut processes: Vec<PeerEntry> = entries
            .filter_map(|entry| from_cbor::<ProcessRecord>(entry))
            .filter(|peer| is_recent(peer.recorded_unix_ms, unix_ms()))
            .map(|peer| PeerEntry {
                address: peer.peer_address,
                writer: peer.writer,
            })
            .collect();
        processes.sort_unstable();
        let mut peers: Vec<SocketAddr> = processes
            .iter()
            .map(|peer| peer.address)
            .filter(|address| *address != self.identity.peer_address)
            .chain(self.seeds.iter().copied())
            .collect();
        peers.sort_unstable();
        peers.dedup();
        self.store.set_relays(peers.clone());
        self.current.peers = Arc::new(peers);
        // Others that started with this process had not written their entries at the first look.
        if self.announcements > 1 {
            self.current.processes = Arc::new(processes);
        }
    }
}

/// Keeps entries that lapsed while the store was away, until their servers had time to come back;
/// returns the servers that are kept.
///
/// Without this, a return of the store would take all servers away at once, and every request in
/// those two seconds would be refused. A server that is really gone costs one failed connection.
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
