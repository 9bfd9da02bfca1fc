//! Shares the origins of resumable streams with peers, so that any gateway can resume a stream at
//! the software version that began it.
//!
//! A stream's gateway keeps its origin and sends it to two peers as the stream begins. A gateway
//! that does not know the origin of a stream asks the peers that may hold it. If all of them have
//! lost it, the stream is resumed only if it can have begun at no other version.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use clementinepick::rendezvous::rank_addresses;
use clementinepick::stream_origin::{StreamOrigin, StreamOrigins};
use clementinepick::units::SpanUs;
use futures_util::stream::{FuturesUnordered, StreamExt};
use serde::{Deserialize, Serialize};

use crate::gateway_peer::{PeerCall, call_peer};
use crate::gateway_peer_updates::PeerUpdate;
use crate::gateway_shared::Shared;
use crate::gateway_trace::Trace;
use crate::ledger::{from_cbor, to_cbor};
use crate::link::to_span;

/// The path of calls that hand origins to a peer.
pub(crate) const HOLD_PATH: &str = "/origins/hold";
/// The path of calls that ask a peer for an origin.
const FIND_PATH: &str = "/origins/find";
/// The number of peers that hold a stream's origin besides its own gateway: with two, most streams
/// can be resumed even if half of the gateways are lost at once.
const COPIES: usize = 2;
/// The maximum number of peers asked for an origin. It exceeds [`COPIES`], because the two gateways
/// may differ in which peers they know and find reachable.
const MAX_ASKED: usize = 8;
/// How long a peer may take to answer from memory, while the caller waits.
const FIND_TIMEOUT: Duration = Duration::from_millis(100);

/// The origin of one stream, as sent to a peer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct SharedOrigin {
    /// The caller's attempt that received the first event.
    #[serde(rename = "a")]
    attempt: String,
    #[serde(rename = "o")]
    origin: StreamOrigin,
    /// How long the caller may still resume the stream.
    #[serde(rename = "k")]
    keep_us: SpanUs,
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

/// What a process knows about the origin of a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
enum OriginAnswer {
    /// It was recorded when the stream began.
    Recorded(SharedOrigin),
    /// It can be no other, because all servers of the service have had the same version.
    Sole(StreamOrigin),
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
    /// Remembers and shares the origin of a stream that begins with `attempt`; its caller gives up
    /// at `deadline`.
    pub(crate) fn record_origin(
        &self,
        attempt: &str,
        origin: StreamOrigin,
        deadline: Instant,
        now: Instant,
    ) {
        let shared_origin = SharedOrigin {
            attempt: attempt.to_owned(),
            origin,
            keep_us: to_span(deadline.saturating_duration_since(now)),
        };
        self.hold_origin(&shared_origin, now);
        // The receiver ends only with the process.
        let _ = self.updates.send(PeerUpdate::Origin(shared_origin));
    }

    /// Forgets the origins of streams that can no longer be resumed.
    pub(crate) fn expire_origins(&self, now: Instant) {
        let now = self.now_us(now);
        self.origins.known.borrow_mut().expire(now);
    }

    fn hold_origin(&self, shared_origin: &SharedOrigin, now: Instant) {
        let now = self.now_us(now);
        let SharedOrigin {
            attempt,
            origin,
            keep_us,
        } = shared_origin;
        let mut known = self.origins.known.borrow_mut();
        known.record(now, attempt, origin.clone(), now.after(*keep_us));
    }

    fn known_origin(&self, attempt: &str, now: Instant) -> Option<SharedOrigin> {
        let now = self.now_us(now);
        let known = self.origins.known.borrow();
        let (origin, expires_at) = known.get(now, attempt)?;
        Some(SharedOrigin {
            attempt: attempt.to_owned(),
            origin: origin.clone(),
            keep_us: expires_at.since(now),
        })
    }

    fn answer_origin(&self, query: &OriginQuery, now: Instant) -> OriginAnswer {
        let attempt = query.attempt.as_deref();
        if let Some(recorded) = attempt.and_then(|attempt| self.known_origin(attempt, now)) {
            return OriginAnswer::Recorded(recorded);
        }
        let service = query.service.clone();
        self.sole_version(&service, query.min_known_us, now).map_or(
            OriginAnswer::Unknown,
            |version| {
                OriginAnswer::Sole(StreamOrigin {
                    service,
                    version,
                    is_unproven: false,
                })
            },
        )
    }

    /// Returns whether this process lists a server of the same service with another version.
    fn lists_other_version(&self, origin: &StreamOrigin) -> bool {
        let directory = self.directory();
        let mut servers = directory.servers.servers.values();
        servers.any(|server| server.service == origin.service && !origin.fits(server))
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
    fn origin_holders(&self, attempt: &str, count: usize, now: Instant) -> Vec<SocketAddr> {
        let directory = self.directory();
        let own = self.peer_address;
        let peers = directory.peers.iter().copied().filter(|peer| *peer != own);
        let reachable = peers.filter(|peer| !self.homes.is_silent(*peer, now));
        rank_addresses(attempt, reachable, count)
    }
}

/// Finds the origin of a stream: as recorded here or at a peer, else the only one possible.
///
/// A process that has just started knows neither, but its peers do.
pub(crate) async fn find_origin(
    shared: &Shared,
    trace: &Trace,
    query: &OriginQuery,
) -> Option<StreamOrigin> {
    let mut sole = match shared.answer_origin(query, Instant::now()) {
        OriginAnswer::Recorded(recorded) => {
            trace.add_field("origin_from", &"memory");
            return Some(recorded.origin);
        }
        OriginAnswer::Sole(origin) => Some(origin),
        OriginAnswer::Unknown => None,
    };
    let may_be_recorded = query.attempt.is_some();
    if may_be_recorded || sole.is_none() {
        let mut calls = ask_peers(shared, query);
        while let Some(answer) = calls.next().await {
            match answer {
                Some(OriginAnswer::Recorded(recorded)) => {
                    shared.hold_origin(&recorded, Instant::now());
                    trace.add_field("origin_from", &"peer");
                    return Some(recorded.origin);
                }
                Some(OriginAnswer::Sole(origin)) if !shared.lists_other_version(&origin) => {
                    sole.get_or_insert(origin);
                    if !may_be_recorded {
                        break;
                    }
                }
                Some(OriginAnswer::Sole(_) | OriginAnswer::Unknown) | None => {}
            }
        }
    }
    if sole.is_some() {
        trace.add_field("origin_from", &"sole_version");
    }
    sole
}

/// Calls the peers that may know the origin, all at the same time.
fn ask_peers(
    shared: &Shared,
    query: &OriginQuery,
) -> FuturesUnordered<impl Future<Output = Option<OriginAnswer>>> {
    let key = query.attempt.as_deref().unwrap_or_default();
    let holders = shared.origin_holders(key, MAX_ASKED, Instant::now());
    let body = to_cbor(query);
    let calls = holders.into_iter().map(|peer| {
        let call = PeerCall {
            path: FIND_PATH,
            body: body.clone(),
            limit: FIND_TIMEOUT,
        };
        call_peer::<OriginAnswer>(shared, peer, call)
    });
    calls.collect()
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
                shared.hold_origin(origin, now);
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
