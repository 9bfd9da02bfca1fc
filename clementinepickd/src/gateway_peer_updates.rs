//! Sends updates of what peers remember for each other, in batches and without waiting for them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use serde::de::DeserializeOwned;
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use crate::gateway_ended_messages::{HOLD_PATH as ENDED_HOLD_PATH, OVER_PATH, RequestOver};
use crate::gateway_left::AnnouncedRequest;
use crate::gateway_origins::{HOLD_PATH, SharedOrigin};
use crate::gateway_peer::{PeerCall, call_peer};
use crate::gateway_shared::Shared;
use crate::gateway_start::{DOUBT_PATH, StartNotice};
use crate::gateway_start_evidence::{CONFIRMED_PATH, ConfirmedStart};
use crate::ledger::to_cbor;

/// How long a peer may take to take an update, which no caller waits for.
const UPDATE_TIMEOUT: Duration = Duration::from_millis(250);
/// The name in logs and metrics of the calls with a batch.
const CALL_PART: &str = "peer_update_call";
/// The maximum number of updates in one batch.
const BATCH_SIZE: usize = 64;

/// Something that peers should know.
#[derive(Debug)]
pub(crate) enum PeerUpdate {
    /// The origin of a stream that begins.
    Origin(SharedOrigin),
    /// A request that runs, or may still run at servers which were left.
    Request(AnnouncedRequest),
    /// A request under which servers have ended, or one of its runs, is over.
    Over(RequestOver),
    /// Another start than the listed one may listen at the address of a server.
    Start(StartNotice),
    /// A server in doubt was found to be the listed start.
    Confirmed(ConfirmedStart),
}

/// Sends updates to peers. Unbounded, because its receiver never waits for a peer.
pub(crate) type PeerUpdateSender = mpsc::UnboundedSender<PeerUpdate>;

/// The updates for one peer.
#[derive(Default)]
struct Batch {
    origins: Vec<SharedOrigin>,
    requests: Vec<AnnouncedRequest>,
    over: Vec<RequestOver>,
    starts: Vec<StartNotice>,
    confirmed: Vec<ConfirmedStart>,
}

/// Sends queued updates to the peers that they are for, until the sender is dropped.
///
/// The calls to different peers run at the same time, so that a peer that does not respond delays
/// no other.
pub(crate) async fn send_updates(
    shared: Rc<Shared>,
    queue: &mut mpsc::UnboundedReceiver<PeerUpdate>,
) {
    let mut calls = JoinSet::new();
    let mut updates = Vec::with_capacity(BATCH_SIZE);
    loop {
        tokio::select! {
            count = queue.recv_many(&mut updates, BATCH_SIZE) => {
                if count == 0 {
                    break;
                }
                for (peer, batch) in group_by_peer(&shared, updates.drain(..)) {
                    let shared = Rc::clone(&shared);
                    calls.spawn_local(async move {
                        shared.tasks.contain(CALL_PART, send_batch(&shared, peer, batch)).await;
                    });
                }
            }
            Some(ended) = calls.join_next() => {
                shared.tasks.joined(CALL_PART, ended);
            }
        }
    }
    calls.shutdown().await;
}

fn group_by_peer(
    shared: &Shared,
    updates: impl Iterator<Item = PeerUpdate>,
) -> BTreeMap<SocketAddr, Batch> {
    let now = Instant::now();
    let mut batches: BTreeMap<SocketAddr, Batch> = BTreeMap::new();
    for update in updates {
        match update {
            PeerUpdate::Origin(origin) => {
                for holder in shared.origin_copy_holders(&origin, now) {
                    let batch = batches.entry(holder).or_default();
                    batch.origins.push(origin.clone());
                }
            }
            PeerUpdate::Request(request) => {
                for peer in shared.ended_peers(now) {
                    let batch = batches.entry(peer).or_default();
                    batch.requests.push(request.clone());
                }
            }
            PeerUpdate::Over(over) => {
                for peer in shared.ended_peers(now) {
                    batches.entry(peer).or_default().over.push(over.clone());
                }
            }
            PeerUpdate::Start(notice) => {
                for peer in shared.ended_peers(now) {
                    let batch = batches.entry(peer).or_default();
                    batch.starts.push(notice.clone());
                }
            }
            PeerUpdate::Confirmed(start) => {
                for peer in shared.ended_peers(now) {
                    let batch = batches.entry(peer).or_default();
                    batch.confirmed.push(start.clone());
                }
            }
        }
    }
    batches
}

async fn send_batch(shared: &Shared, peer: SocketAddr, batch: Batch) {
    if !batch.starts.is_empty() {
        // A peer that misses it still asks servers that report their start times before it sends them the
        // rest of a stream.
        let _ = send(shared, peer, DOUBT_PATH, to_cbor(&batch.starts)).await;
    }
    if !batch.confirmed.is_empty() {
        // A peer that misses it finds out by itself, or asks.
        let _ = send(shared, peer, CONFIRMED_PATH, to_cbor(&batch.confirmed)).await;
    }
    if !batch.origins.is_empty() && !send(shared, peer, HOLD_PATH, to_cbor(&batch.origins)).await {
        shared.metrics.count_lost_origins(batch.origins.len());
    }
    // A request may have been answered meanwhile.
    let requests = shared.known_requests(&batch.requests, Instant::now());
    if !requests.is_empty() {
        // A peer that does not hear of it loads what others know.
        let _ = send_request::<bool>(shared, peer, ENDED_HOLD_PATH, to_cbor(&requests)).await;
    }
    if !batch.over.is_empty() {
        // A run that a peer takes for open expires at the deadline of its caller.
        let _ = send(shared, peer, OVER_PATH, to_cbor(&batch.over)).await;
    }
}

async fn send(shared: &Shared, peer: SocketAddr, path: &'static str, body: Bytes) -> bool {
    let taken = send_request::<()>(shared, peer, path, body).await;
    taken.is_some()
}

async fn send_request<T: DeserializeOwned>(
    shared: &Shared,
    peer: SocketAddr,
    path: &'static str,
    body: Bytes,
) -> Option<T> {
    let call = PeerCall {
        path,
        body,
        limit: UPDATE_TIMEOUT,
    };
    call_peer(shared, peer, call).await
}
