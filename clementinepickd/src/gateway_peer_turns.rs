//! Turns that a peer has in memory, fetched from there instead of from the store.
//!
//! A process caches a turn only after the store has taken its record, so that a turn from a peer is
//! as certain as one from the store. That a peer does not have a turn says nothing.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use clementinepick::turn_chain::TurnRecord;

use crate::gateway_peer::{PeerCall, call_peer};
use crate::gateway_shared::Shared;
use crate::ledger::to_cbor;

/// Where a gateway is asked for a turn by its id.
pub(crate) const TURN_PATH: &str = "/turn";
/// How long a peer may take: some ms; the store takes ten.
const TURN_LIMIT: Duration = Duration::from_millis(100);

/// A turn's record from the peer that ran it; none if it does not answer or has it no more.
pub(crate) async fn fetch(shared: &Shared, peer: SocketAddr, id: &str) -> Option<TurnRecord> {
    let now = Instant::now();
    if peer == shared.peer_address || shared.homes.is_silent(peer, now) {
        return None;
    }
    let call = PeerCall {
        path: TURN_PATH,
        body: Bytes::copy_from_slice(id.as_bytes()),
        limit: TURN_LIMIT,
    };
    let answer = call_peer::<Option<TurnRecord>>(shared, peer, call).await;
    if answer.is_none() {
        shared.homes.record_peer_timeout(peer, now);
    }
    answer?
}

/// Answers a peer that asks for a turn.
pub(crate) fn handle_fetch(shared: &Shared, body: &[u8]) -> (u16, Bytes) {
    let id = String::from_utf8_lossy(body);
    (200, to_cbor(&shared.turns.cached_record(&id)))
}
