//! Notices at once that a peer was lost, by a call that it never answers before it shuts down.
//!
//! The requests that it ran are read from the store then: servers may end under them, and their
//! callers return to other processes within milliseconds.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::{Method, Uri};
use actix_rt::time::sleep;
use bytes::Bytes;
use clementinepick::event::{Event, EventKind};
use clementinepick::rendezvous::rank_addresses;
use futures_util::future::join_all;
use tokio::task::JoinSet;

use crate::gateway_peer::{PeerCall, call_peer};
use crate::gateway_shared::Shared;
use crate::ledger::to_cbor;
use crate::outbound::{Connection, OutboundError, OutboundRequest};
use crate::store::host_header;

/// The path of calls that are answered when the process shuts down.
pub(crate) const WATCH_PATH: &str = "/peers/watch";
/// The path of calls that report a lost peer.
pub(crate) const LOST_PATH: &str = "/peers/lost";
/// The number of processes that watch each process; beyond it, they tell the others.
const WATCHERS: usize = 8;
/// How often unwatched peers are looked for.
const WATCH_INTERVAL: Duration = Duration::from_millis(250);
/// The same in the first second, in which the peers become known.
const START_INTERVAL: Duration = Duration::from_millis(20);
const START_TIME: Duration = Duration::from_secs(1);
/// How long connecting to a peer and telling it of a loss may take.
const CALL_TIMEOUT: Duration = Duration::from_millis(100);

/// How a watch ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WatchEnd {
    /// The peer was not reached.
    Unreached,
    /// It shut down, or does not know the call.
    Answered,
    /// The connection broke.
    Lost,
}

/// Watches the peers that this process is to watch until dropped.
pub(crate) async fn watch_peers(shared: Rc<Shared>) {
    let started_at = Instant::now();
    let mut watched_peers = BTreeSet::new();
    let mut unreached = BTreeSet::new();
    let mut watches = JoinSet::new();
    let mut reads = JoinSet::new();
    loop {
        for peer in peers_to_watch(&shared, Instant::now()) {
            if watched_peers.insert(peer) {
                let delay = if unreached.contains(&peer) {
                    WATCH_INTERVAL
                } else {
                    Duration::ZERO
                };
                watches.spawn_local(async move {
                    sleep(delay).await;
                    (peer, watch(peer).await)
                });
            }
        }
        let interval = if started_at.elapsed() < START_TIME {
            START_INTERVAL
        } else {
            WATCH_INTERVAL
        };
        tokio::select! {
            Some(ended) = watches.join_next() => {
                // A watch does not panic, and is not aborted.
                let Ok((peer, end)) = ended else {
                    continue;
                };
                watched_peers.remove(&peer);
                if is_loss(&mut unreached, peer, end) {
                    let event = Event::new(EventKind::GatewayLost).with("peer", peer);
                    shared.log(&event);
                    reads.spawn_local(report_lost(Rc::clone(&shared)));
                }
            }
            Some(_) = reads.join_next() => {}
            () = sleep(interval) => {}
        }
    }
}

/// Returns whether the end of a watch is the first sign that a peer was lost.
fn is_loss(unreached: &mut BTreeSet<SocketAddr>, peer: SocketAddr, end: WatchEnd) -> bool {
    match end {
        WatchEnd::Unreached => unreached.insert(peer),
        WatchEnd::Answered => {
            unreached.remove(&peer);
            false
        }
        WatchEnd::Lost => {
            unreached.insert(peer);
            true
        }
    }
}

/// Returns the peers of which this process is one of the watchers.
fn peers_to_watch(shared: &Shared, now: Instant) -> Vec<SocketAddr> {
    let peers = shared.ended_peers(now);
    let own = shared.peer_address;
    let is_watcher = |peer: &SocketAddr| {
        let others = peers.iter().copied().filter(|other| other != peer);
        let watchers = rank_addresses(&peer.to_string(), others.chain([own]), WATCHERS);
        watchers.contains(&own)
    };
    peers.iter().copied().filter(is_watcher).collect()
}

async fn watch(peer: SocketAddr) -> WatchEnd {
    let opened = Connection::open(peer, CALL_TIMEOUT, Instant::now()).await;
    let Ok(mut connection) = opened else {
        return WatchEnd::Unreached;
    };
    let request = OutboundRequest {
        method: Method::POST,
        target: Uri::from_static(WATCH_PATH),
        headers: host_header(peer),
        body: Bytes::new(),
    };
    match connection.exchange(&request).await {
        Ok(_) => WatchEnd::Answered,
        Err(OutboundError::Connect(_)) => WatchEnd::Unreached,
        Err(_) => WatchEnd::Lost,
    }
}

/// Reads what a lost peer ran, and tells the peers that did not watch it.
async fn report_lost(shared: Rc<Shared>) {
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
        call_peer::<()>(&shared, *peer, call)
    });
    let reading = shared.reload_requests();
    futures_util::join!(join_all(calls), reading);
}

impl Shared {
    /// Reads from the store what processes that were lost ran; requests wait for it.
    pub(crate) async fn reload_requests(&self) {
        let _reload = self.ended.start_reload();
        if !self.store.is_unavailable() {
            // The store client counts a failure; the record is read again with the next loss.
            let _ = self.load_requests().await;
        }
    }
}
