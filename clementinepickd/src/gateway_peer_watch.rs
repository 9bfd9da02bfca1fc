//! Notices at once that a peer was lost, by a call that it never answers before it shuts down.
//!
//! The requests that it ran are read from the store then: servers may end under them, and their
//! callers return to other processes within milliseconds.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::{Method, StatusCode, Uri};
use actix_rt::time::{sleep, timeout};
use clementinepick::event::{Event, EventKind};
use clementinepick::rendezvous::rank_addresses;
use futures_util::future::join_all;
use tokio::task::JoinSet;

use crate::body_parts::BodyParts;
use crate::gateway_peer::{PeerCall, call_peer};
use crate::gateway_shared::Shared;
use crate::ledger::{from_cbor, to_cbor};
use crate::outbound::{Connection, OutboundError, OutboundRequest};
use crate::store::host_header;

/// The path of calls that are answered when the process shuts down.
pub(crate) const WATCH_PATH: &str = "/peers/watch";
/// The path of calls that are answered with the id of the process instance.
pub(crate) const INSTANCE_PATH: &str = "/peers/instance";
/// The path of calls that report a lost peer.
pub(crate) const LOST_PATH: &str = "/peers/lost";
/// The number of processes that watch each process; beyond it, they tell the others.
const WATCHERS: usize = 8;
/// How often unwatched peers are looked for.
const WATCH_INTERVAL: Duration = Duration::from_millis(250);
/// The same in the first second, in which the peers become known.
const START_INTERVAL: Duration = Duration::from_millis(20);
const START_TIME: Duration = Duration::from_secs(1);
/// The names in logs and metrics of the watch of a peer, and of what is done once it is lost.
const WATCH_PART: &str = "peer_watch_call";
const LOST_PART: &str = "lost_peer";
/// The longest response with the id of an instance, in bytes.
const MAX_INSTANCE_BYTES: usize = 1_024;
/// How long connecting to a peer and telling it of a loss may take.
const CALL_TIMEOUT: Duration = Duration::from_millis(100);

/// How a watch ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WatchEnd {
    /// The peer was not reached.
    Unreached,
    /// It shut down, or does not know the call.
    Answered,
    /// The connection broke, and the same process instance responds on another one.
    Reset,
    /// The connection broke, and the instance does not respond.
    Lost,
    /// The watch panicked.
    Panicked,
}

/// The peers that this process is to watch, and those that it does not reach.
#[derive(Default)]
struct WatchedPeers {
    /// All peers when `to_watch` was determined.
    peers: Vec<SocketAddr>,
    to_watch: BTreeSet<SocketAddr>,
    /// Those whose call is in progress, or due.
    watched: BTreeSet<SocketAddr>,
    /// Those that were lost, shut down or not reached, and not watched since.
    unreached: BTreeSet<SocketAddr>,
}

impl WatchedPeers {
    fn update(&mut self, peers: Vec<SocketAddr>, own: SocketAddr) {
        if self.peers == peers {
            return;
        }
        let is_watcher = |peer: &SocketAddr| {
            let others = peers.iter().copied().filter(|other| other != peer);
            let watchers = rank_addresses(&peer.to_string(), others.chain([own]), WATCHERS);
            watchers.contains(&own)
        };
        self.to_watch = peers.iter().copied().filter(is_watcher).collect();
        self.unreached.retain(|peer| self.to_watch.contains(peer));
        self.peers = peers;
    }

    /// Returns the peers whose watch is to start, with the time until then.
    fn start(&mut self) -> Vec<(SocketAddr, Duration)> {
        let new: Vec<SocketAddr> = self.to_watch.difference(&self.watched).copied().collect();
        self.watched.extend(&new);
        let delay = |peer: &SocketAddr| {
            if self.unreached.contains(peer) {
                WATCH_INTERVAL
            } else {
                Duration::ZERO
            }
        };
        new.iter().map(|peer| (*peer, delay(peer))).collect()
    }

    /// Records the end of a watch; returns whether it is the first sign that the peer is lost.
    fn record_end(&mut self, peer: SocketAddr, end: WatchEnd) -> bool {
        self.watched.remove(&peer);
        match end {
            WatchEnd::Unreached => self.unreached.insert(peer),
            WatchEnd::Answered => {
                self.unreached.insert(peer);
                false
            }
            WatchEnd::Lost => {
                self.unreached.insert(peer);
                true
            }
            WatchEnd::Reset | WatchEnd::Panicked => false,
        }
    }
}

/// Watches the peers that this process is to watch until dropped.
pub(crate) async fn watch_peers(shared: Rc<Shared>) {
    let started_at = Instant::now();
    let mut peers = WatchedPeers::default();
    let mut watches = JoinSet::new();
    let mut reads = JoinSet::new();
    loop {
        peers.update(shared.ended_peers(Instant::now()), shared.peer_address);
        for (peer, delay) in peers.start() {
            let shared = Rc::clone(&shared);
            watches.spawn_local(async move {
                sleep(delay).await;
                (peer, watch_contained(&shared, peer).await)
            });
        }
        let interval = if started_at.elapsed() < START_TIME {
            START_INTERVAL
        } else {
            WATCH_INTERVAL
        };
        tokio::select! {
            Some(ended) = watches.join_next() => {
                let ended = shared.tasks.joined(WATCH_PART, ended);
                let lost = ended.filter(|(peer, end)| peers.record_end(*peer, *end));
                if let Some((peer, _)) = lost {
                    let event = Event::new(EventKind::GatewayLost).with("peer", peer);
                    shared.log(&event);
                    reads.spawn_local(report_lost(Rc::clone(&shared)));
                }
            }
            Some(ended) = reads.join_next() => {
                shared.tasks.joined(LOST_PART, ended);
            }
            () = sleep(interval) => {}
        }
    }
}

/// Watches a peer; a watch that panics ends after the pause between two watches.
async fn watch_contained(shared: &Shared, peer: SocketAddr) -> WatchEnd {
    let watched = shared.tasks.contain(WATCH_PART, watch(peer)).await;
    if watched.is_none() {
        sleep(WATCH_INTERVAL).await;
    }
    watched.unwrap_or(WatchEnd::Panicked)
}

async fn watch(peer: SocketAddr) -> WatchEnd {
    let opened = Connection::open(peer, CALL_TIMEOUT, Instant::now()).await;
    let Ok(mut connection) = opened else {
        return WatchEnd::Unreached;
    };
    let instance = ask_instance(&mut connection, peer).await;
    if instance.is_none() {
        // One that does not know the question answers it all the same.
        let reopened = Connection::open(peer, CALL_TIMEOUT, Instant::now()).await;
        let Ok(reopened) = reopened else {
            return WatchEnd::Unreached;
        };
        connection = reopened;
    }
    match connection.exchange(&request(peer, WATCH_PATH)).await {
        Ok(_) => WatchEnd::Answered,
        Err(OutboundError::Connect(_)) => WatchEnd::Unreached,
        Err(_) if instance.is_some() && find_instance(peer).await == instance => WatchEnd::Reset,
        Err(_) => WatchEnd::Lost,
    }
}

fn request(peer: SocketAddr, path: &'static str) -> OutboundRequest {
    OutboundRequest {
        method: Method::POST,
        target: Uri::from_static(path),
        headers: host_header(peer),
        body: BodyParts::default(),
    }
}

/// Asks which process instance a peer is, over a new connection.
async fn find_instance(peer: SocketAddr) -> Option<String> {
    let opened = Connection::open(peer, CALL_TIMEOUT, Instant::now()).await;
    ask_instance(&mut opened.ok()?, peer).await
}

/// Asks which process instance is at the other end of a connection; `None` if it does not say so in time,
/// after which the connection can't be used.
async fn ask_instance(connection: &mut Connection, peer: SocketAddr) -> Option<String> {
    let asking = async {
        let head = connection
            .exchange(&request(peer, INSTANCE_PATH))
            .await
            .ok()?;
        let body = connection.body(MAX_INSTANCE_BYTES).await.ok()?;
        let is_known = head.status == StatusCode::OK;
        is_known.then(|| from_cbor::<String>(&body)).flatten()
    };
    timeout(CALL_TIMEOUT, asking).await.ok().flatten()
}

/// Reads what a lost peer ran, and tells the peers that did not watch it.
async fn report_lost(shared: Rc<Shared>) {
    let report = async || tell_and_read(&shared).await;
    shared.tasks.retry(LOST_PART, report).await;
}

async fn tell_and_read(shared: &Rc<Shared>) {
    let peers = shared.ended_peers(Instant::now());
    let told = if peers.len() > WATCHERS {
        &peers[..]
    } else {
        &[]
    };
    let calls = told.iter().map(|peer| {
        let call = PeerCall {
            path: LOST_PATH,
            body: to_cbor(&()),
            limit: CALL_TIMEOUT,
        };
        call_peer::<()>(shared, *peer, call)
    });
    let reading = shared.reload_requests();
    futures_util::join!(join_all(calls), reading);
}

impl Shared {
    /// Reads from the store what processes that were lost ran; requests wait for it. Notices that come
    /// while it is read share the next read.
    pub(crate) async fn reload_requests(&self) {
        let noticed_at = Instant::now();
        let _reload = self.ended.start_reload();
        let mut reloaded_at = self.ended.reloaded_at.lock().await;
        if *reloaded_at > Some(noticed_at) || self.store.is_unavailable() {
            return;
        }
        let started_at = Instant::now();
        // The store client counts a failure; the record is read again with the next loss.
        if self.load_requests().await.is_ok() {
            *reloaded_at = Some(started_at);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn peer(port: u16) -> SocketAddr {
        SocketAddr::from(([127, 0, 0, 1], port))
    }

    fn watched(peers: &[SocketAddr]) -> WatchedPeers {
        let mut watched = WatchedPeers::default();
        watched.update(peers.to_vec(), peer(1));
        watched.start();
        watched
    }

    #[test]
    fn a_lost_peer_is_reported_once_until_it_is_watched_again() {
        let mut peers = watched(&[peer(2)]);
        assert!(peers.record_end(peer(2), WatchEnd::Lost));
        assert_eq!(peers.start(), [(peer(2), WATCH_INTERVAL)]);
        assert!(!peers.record_end(peer(2), WatchEnd::Unreached));
        peers.start();
        assert!(peers.record_end(peer(2), WatchEnd::Lost));
    }

    /// Guards against reading all records at each planned restart.
    #[test]
    fn a_peer_that_shuts_down_is_not_lost() {
        let mut peers = watched(&[peer(2)]);
        assert!(!peers.record_end(peer(2), WatchEnd::Answered));
        peers.start();
        assert!(!peers.record_end(peer(2), WatchEnd::Unreached));
    }

    /// Guards against reading all records since a connection between two gateways was reset.
    #[test]
    fn a_peer_that_responds_after_a_reset_is_not_lost() {
        let mut peers = watched(&[peer(2)]);
        assert!(!peers.record_end(peer(2), WatchEnd::Reset));
        assert_eq!(peers.start(), [(peer(2), Duration::ZERO)]);
        assert!(peers.record_end(peer(2), WatchEnd::Lost));
    }

    #[test]
    fn a_listed_peer_that_is_not_reached_is_lost() {
        let mut peers = watched(&[peer(2)]);
        assert!(peers.record_end(peer(2), WatchEnd::Unreached));
    }

    /// Guards against a set that grows with each VM that is replaced.
    #[test]
    fn peers_that_are_gone_are_forgotten() {
        let mut peers = watched(&[peer(2), peer(3)]);
        peers.record_end(peer(2), WatchEnd::Lost);
        peers.update(vec![peer(3)], peer(1));
        assert!(peers.unreached.is_empty());
        assert!(peers.start().is_empty());
    }

    #[test]
    fn each_peer_has_a_limited_number_of_watchers() {
        let all: Vec<SocketAddr> = (1..=20).map(peer).collect();
        let is_watched_by = |watcher: &SocketAddr| {
            let mut watched = WatchedPeers::default();
            let peers = all.iter().copied().filter(|peer| peer != watcher);
            watched.update(peers.collect(), *watcher);
            watched.to_watch.contains(&all[0])
        };
        let watchers = all[1..].iter().filter(|watcher| is_watched_by(watcher));
        assert_eq!(watchers.count(), WATCHERS);
    }
}
