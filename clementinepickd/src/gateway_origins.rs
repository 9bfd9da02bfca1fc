//! Shares the origins of resumable streams with peers and answers their questions, so that any gateway
//! can resume a stream at the software version that began it.
//!
//! A stream's gateway keeps its origin and sends it to two peers as the stream begins, and it records it
//! in the store.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Instant;

use bytes::Bytes;
use clementinepick::rendezvous::rank_addresses;
use clementinepick::stream_origin::{StreamOrigin, StreamOrigins};
use clementinepick::units::SpanUs;
use serde::{Deserialize, Serialize};

use crate::gateway_peer_updates::PeerUpdate;
use crate::gateway_shared::Shared;
use crate::ledger::{from_cbor, key_of, to_cbor};
use crate::link::{duration, to_span};

/// The path of calls that hand origins to a peer.
pub(crate) const HOLD_PATH: &str = "/origins/hold";
/// The path of calls that ask a peer for an origin.
pub(crate) const FIND_PATH: &str = "/origins/find";
/// The number of peers that hold a stream's origin besides its own gateway: with two, most streams
/// can be resumed even if half of the gateways are lost at once.
const COPIES: usize = 2;

/// How much earlier than its caller gives up an origin may be forgotten: the deadlines of two attempts of
/// one caller differ by the time on the way.
const MAX_UNCOVERED_US: SpanUs = SpanUs::from_ms(100);

/// The origin of one stream, as sent to a peer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct SharedOrigin {
    /// The caller's attempt that received the first event.
    #[serde(rename = "a")]
    pub(crate) attempt: String,
    #[serde(rename = "o")]
    pub(crate) origin: StreamOrigin,
    /// How long the caller may still resume the stream.
    #[serde(rename = "k")]
    pub(crate) keep_us: SpanUs,
}

impl SharedOrigin {
    pub(crate) fn new(attempt: String, origin: StreamOrigin, keep_us: SpanUs) -> Self {
        Self {
            attempt,
            origin,
            keep_us,
        }
    }
}

/// Asks where a stream began.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct OriginQuery {
    /// The caller's attempt that received the first event, if the caller names it.
    #[serde(rename = "a", default, skip_serializing_if = "Option::is_none")]
    pub(crate) attempt: Option<String>,
    /// The service that the caller's route leads to now.
    #[serde(rename = "s")]
    pub(crate) service: String,
    /// How long the versions of the service must have been known.
    #[serde(rename = "t")]
    pub(crate) min_known_us: SpanUs,
}

/// What a process has recorded of the origin of a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum OriginAnswer {
    /// It was recorded when the stream began.
    Recorded(SharedOrigin),
    Unknown,
}

/// The origins that this process knows.
#[derive(Default)]
pub(crate) struct Origins {
    known: RefCell<StreamOrigins>,
}

impl Origins {
    /// Returns the number of known origins.
    pub(crate) fn len(&self) -> usize {
        self.known.borrow().len()
    }
}

impl Shared {
    /// Remembers, shares and records the origin of a stream that begins with `attempt`; its caller gives up
    /// at `deadline`.
    pub(crate) fn record_origin(
        &self,
        attempt: &str,
        origin: StreamOrigin,
        deadline: Instant,
        now: Instant,
    ) {
        self.log_origin(attempt, origin.clone(), deadline, now);
        let keep_us = to_span(deadline.saturating_duration_since(now));
        let shared_origin = SharedOrigin::new(attempt.to_owned(), origin, keep_us);
        self.hold_origin(&shared_origin, now);
        // The receiver ends only with the process.
        let _ = self.updates.send(PeerUpdate::Origin(shared_origin));
    }

    /// Keeps the origin of a stream that its caller resumes and may resume again until `deadline`.
    pub(crate) fn extend_origin(
        &self,
        attempt: &str,
        origin: &StreamOrigin,
        deadline: Instant,
        now: Instant,
    ) {
        let keep_us = to_span(deadline.saturating_duration_since(now));
        let known = self.known_origin(attempt, now);
        let kept_us = known.map_or(0, |known| known.keep_us.0);
        if keep_us.0 > kept_us.saturating_add(MAX_UNCOVERED_US.0) {
            self.record_origin(attempt, origin.clone(), deadline, now);
        }
    }

    /// Records whether a stream whose server was asked has begun at its listed start.
    pub(crate) fn settle_origin(&self, attempt: &str, is_proven: bool) {
        let now = Instant::now();
        let Some(known) = self.known_origin(attempt, now) else {
            return;
        };
        if known.origin.unanswered.is_some() {
            let origin = StreamOrigin {
                is_unproven: !is_proven,
                unanswered: None,
                ..known.origin
            };
            self.record_origin(attempt, origin, now + duration(known.keep_us), now);
        }
    }

    /// Forgets the origins of streams that can no longer be resumed.
    pub(crate) fn expire_origins(&self, now: Instant) {
        let now = self.now_us(now);
        self.origins.known.borrow_mut().expire(now);
    }

    pub(crate) fn hold_origin(&self, shared_origin: &SharedOrigin, now: Instant) {
        let now = self.now_us(now);
        let SharedOrigin {
            attempt,
            origin,
            keep_us,
        } = shared_origin;
        let attempt = key_of(attempt);
        let mut known = self.origins.known.borrow_mut();
        let kept_until = known.get(now, &attempt).map(|(_, expires_at)| expires_at);
        let expires_at = now.after(*keep_us).max(kept_until.unwrap_or_default());
        known.record(now, &attempt, origin.clone(), expires_at);
    }

    /// Holds an origin, unless what is known of the same stream says more.
    pub(crate) fn hold_newer_origin(&self, shared_origin: &SharedOrigin, now: Instant) {
        let known = self.known_origin(&shared_origin.attempt, now);
        let is_settled = known.is_some_and(|known| known.origin.unanswered.is_none());
        if !(is_settled && shared_origin.origin.unanswered.is_some()) {
            self.hold_origin(shared_origin, now);
        }
    }

    pub(crate) fn known_origin(&self, attempt: &str, now: Instant) -> Option<SharedOrigin> {
        let now = self.now_us(now);
        let known = self.origins.known.borrow();
        let (origin, expires_at) = known.get(now, &key_of(attempt))?;
        let keep_us = expires_at.since(now);
        Some(SharedOrigin::new(
            attempt.to_owned(),
            origin.clone(),
            keep_us,
        ))
    }

    /// Returns whether an origin was recorded here whose caller should have given up since.
    pub(crate) fn has_expired_origin(&self, attempt: &str, now: Instant) -> bool {
        let now = self.now_us(now);
        let known = self.origins.known.borrow();
        known.has_expired(now, &key_of(attempt))
    }

    /// Returns whether no peer counts as silent.
    pub(crate) fn are_all_reachable(&self, now: Instant) -> bool {
        let peers = self.directory().peers;
        !peers.iter().any(|peer| self.homes.is_silent(*peer, now))
    }

    fn answer_origin(&self, query: &OriginQuery, now: Instant) -> OriginAnswer {
        let attempt = query.attempt.as_deref();
        let recorded = attempt.and_then(|attempt| self.known_origin(attempt, now));
        recorded.map_or(OriginAnswer::Unknown, OriginAnswer::Recorded)
    }

    /// Returns the peers that should hold a copy of an origin.
    pub(crate) fn origin_copy_holders(
        &self,
        origin: &SharedOrigin,
        now: Instant,
    ) -> Vec<SocketAddr> {
        self.origin_holders(&origin.attempt, COPIES, now)
    }

    /// Returns the first `count` reachable peers that should hold the origin of a stream.
    pub(crate) fn origin_holders(
        &self,
        attempt: &str,
        count: usize,
        now: Instant,
    ) -> Vec<SocketAddr> {
        let directory = self.directory();
        let own = self.peer_address;
        let peers = directory.peers.iter().copied().filter(|peer| *peer != own);
        let reachable = peers.filter(|peer| !self.homes.is_silent(*peer, now));
        rank_addresses(attempt, reachable, count)
    }
}

/// Handles a peer's call about origins; `None` for other paths.
pub(crate) fn handle_origin_call(
    shared: &Shared,
    path: &str,
    body: &[u8],
    now: Instant,
) -> Option<(u16, Bytes)> {
    match path {
        HOLD_PATH => {
            let Some(origins) = from_cbor::<Vec<SharedOrigin>>(body) else {
                return Some((400, Bytes::new()));
            };
            for origin in &origins {
                shared.hold_newer_origin(origin, now);
            }
            Some((200, to_cbor(&())))
        }
        FIND_PATH => {
            let answer = from_cbor::<OriginQuery>(body).map(|q| shared.answer_origin(&q, now));
            Some(answer.map_or((400, Bytes::new()), |answer| (200, to_cbor(&answer))))
        }
        _ => None,
    }
}
