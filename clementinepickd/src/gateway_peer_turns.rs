//! Fetches turns that a peer has in memory, instead of reading them from the store.
//!
//! A process caches a turn only after the store has taken its record, so that a cached turn is as
//! durable as one from the store. A peer's cache miss does not mean that the turn does not exist.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use clementinepick::turn_chain::TurnRecord;
use futures_util::future::select_ok;

use crate::gateway_peer::{PeerCall, PeerFailure, try_call_peer};
use crate::gateway_shared::Shared;
use crate::ledger::to_cbor;
use crate::response_memory::MemoryPart;

/// The path of requests for a turn by its id.
pub(crate) const TURN_PATH: &str = "/turn";
/// How long a peer may take; reading from the store takes about 10 ms.
const FETCH_TIMEOUT: Duration = Duration::from_millis(100);
/// The maximum number of peers that are all asked for one turn; of more, few would have it.
const MAX_ASKED_PEERS: usize = 12;
/// The number of copies of a turn's text while the response is built.
const RESPONSE_COPIES: usize = 2;

/// Fetches a turn's record from the peer that ran it; `None` if the peer does not respond or no
/// longer has it.
pub(crate) async fn fetch(shared: &Shared, peer: SocketAddr, id: &str) -> Option<TurnRecord> {
    let now = Instant::now();
    if peer == shared.peer_address || shared.homes.is_silent(peer, now) {
        return None;
    }
    let call = PeerCall {
        path: TURN_PATH,
        body: Bytes::copy_from_slice(id.as_bytes()),
        limit: FETCH_TIMEOUT,
    };
    let response = try_call_peer::<Option<TurnRecord>>(shared, peer, call).await;
    if response == Err(PeerFailure::Silent) {
        shared.homes.record_peer_timeout(peer, now);
    }
    response.ok()?
}

/// Fetches a turn's record from any peer, and returns with it the first peer that had it in memory.
///
/// A slow store takes long for each turn of a chain; the peer that ran the last one has all of them.
pub(crate) async fn fetch_from_any(shared: &Shared, id: &str) -> Option<(SocketAddr, TurnRecord)> {
    let peers = shared.directory().peers;
    if peers.len() > MAX_ASKED_PEERS {
        return None;
    }
    let calls = peers.iter().map(|peer| {
        Box::pin(async {
            let record = fetch(shared, *peer, id).await;
            record.map(|record| (*peer, record)).ok_or(())
        })
    });
    let calls: Vec<_> = calls.collect();
    if calls.is_empty() {
        return None;
    }
    let (found, _) = select_ok(calls).await.ok()?;
    Some(found)
}

/// Handles a peer's request for a turn, whose response takes `memory`.
pub(crate) fn handle_fetch(
    shared: &Shared,
    body: &[u8],
    memory: &mut MemoryPart<'_>,
) -> (u16, Bytes) {
    let id = String::from_utf8_lossy(body);
    let has_memory = memory.resize(RESPONSE_COPIES * shared.turns.cached_bytes(&id));
    let record = has_memory.then(|| shared.turns.cached_record(&id));
    (200, to_cbor(&record.flatten()))
}
