//! Shares the origins of resumable streams with peers, so that any gateway can resume a stream at
//! the software version that began it.
//!
//! A stream's gateway keeps its origin and sends it to two peers as the stream begins. A gateway
//! that does not know the origin of a stream asks the peers that may hold it. If none responds that
//! does, the stream is resumed only if it is shown that it can have begun at no other version.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use actix_rt::time::timeout;
use bytes::Bytes;
use clementinepick::rendezvous::rank_addresses;
use clementinepick::start_doubts::ReportedStart;
use clementinepick::stream_origin::{StreamOrigin, StreamOrigins};
use clementinepick::units::SpanUs;
use futures_util::stream::{FuturesUnordered, StreamExt};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::gateway_peer::{PeerCall, call_peer};
use crate::gateway_peer_updates::PeerUpdate;
use crate::gateway_shared::Shared;
use crate::gateway_start_questions::ask_once;
use crate::gateway_trace::Trace;
use crate::gateway_version_proof::find_sole_origin;
use crate::ledger::{from_cbor, to_cbor};
use crate::link::{duration, to_span};

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
/// How long the server of a stream may take to say which start it is: its caller gives up after a gap of
/// two seconds.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(1_200);
/// How long after its arrival a request may be refused because its origin was not found.
const MAX_FIND_TIME: Duration = Duration::from_millis(450);

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

/// What a process has recorded of the origin of a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
enum OriginAnswer {
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

    /// Returns whether an origin was recorded here whose caller should have given up since.
    fn has_expired_origin(&self, attempt: &str, now: Instant) -> bool {
        let now = self.now_us(now);
        self.origins.known.borrow().has_expired(now, attempt)
    }

    /// Returns whether no peer counts as silent.
    fn are_all_reachable(&self, now: Instant) -> bool {
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

/// Finds the origin of a stream: as recorded here or at a peer, else the only one possible.
///
/// A process that has just started knows neither, but its peers do. A peer that does not respond shows
/// nothing.
pub(crate) async fn find_origin(
    shared: &Shared,
    trace: &Trace,
    query: &OriginQuery,
    arrived: Instant,
) -> Result<(OriginSource, StreamOrigin), MissingOrigin> {
    let asked_at = Instant::now();
    let mut peers = AskedPeers::default();
    let recorded = match &query.attempt {
        Some(attempt) => find_recorded(shared, attempt, query, &mut peers).await,
        None => Err(MissingOrigin::Unnamed),
    };
    let found = match recorded {
        Ok(_) | Err(MissingOrigin::Unproven | MissingOrigin::Unanswered) => recorded,
        Err(missing) => {
            let left = (arrived + MAX_FIND_TIME).saturating_duration_since(Instant::now());
            let finding = find_sole_origin(shared, query, &mut peers, asked_at);
            // A caller that is refused can begin anew, or try elsewhere.
            timeout(left, finding).await.ok().flatten().ok_or(missing)
        }
    };
    if peers.asked > 0 {
        trace.add_field("origin_peers_asked", &peers.asked);
        trace.add_field("origin_peers_responded", &peers.responded.len());
    }
    let evidence_age = shared.evidence_age(Instant::now());
    if let Some(age) = evidence_age {
        trace.add_field("origin_evidence_ms", &age.as_millis());
    }
    let (source, origin) = found?;
    trace.add_field("origin_from", &source.label());
    Ok((source, origin))
}

/// Where the origin of a stream was found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum OriginSource {
    /// This process has recorded it.
    Memory,
    /// A peer has recorded it.
    Peer,
    /// It was recorded, and its server has said now which start it is.
    Server,
    /// There is no other version.
    SoleVersion,
}

impl OriginSource {
    fn label(self) -> &'static str {
        match self {
            Self::Memory => "memory",
            Self::Peer => "peer",
            Self::Server => "server",
            Self::SoleVersion => "sole_version",
        }
    }
}

/// Why the origin of a stream was not found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum MissingOrigin {
    /// The caller names no attempt, and its service has had several versions or may have.
    Unnamed,
    /// The caller names no attempt, and its route leads to several services.
    UnnamedOnSplitRoute,
    /// Nobody that may hold it has recorded it.
    NeverRecorded,
    /// It was recorded here, and its caller should have given up since.
    Expired,
    /// It was recorded, but the server may have been another start than the listed one.
    Unproven,
    /// It was recorded, but the server has not said yet whether it was the listed start.
    Unanswered,
    /// Some of the peers that may hold it are gone or do not respond.
    HoldersSilent,
}

impl MissingOrigin {
    /// Returns the name used in logs and metrics.
    pub(crate) fn label(self) -> &'static str {
        match self {
            Self::Unnamed => "unnamed",
            Self::UnnamedOnSplitRoute => "unnamed_on_split_route",
            Self::NeverRecorded => "never_recorded",
            Self::Expired => "expired",
            Self::Unproven => "unproven",
            Self::Unanswered => "unanswered",
            Self::HoldersSilent => "holders_silent",
        }
    }
}

/// The peers that were asked for one origin.
#[derive(Debug, Default)]
pub(crate) struct AskedPeers {
    /// The number of calls.
    pub(crate) asked: usize,
    /// Those that responded.
    pub(crate) responded: Vec<SocketAddr>,
}

/// What was found of one origin.
#[derive(Default)]
struct RecordedOrigins {
    /// One whose server has not said yet which start it is.
    unanswered: Option<SharedOrigin>,
    /// Whether the server was found to be another start.
    is_unproven: bool,
}

impl RecordedOrigins {
    /// Takes one that was found; returns it if the stream can be resumed.
    fn take(&mut self, found: SharedOrigin) -> Option<SharedOrigin> {
        if !found.origin.is_unproven {
            return Some(found);
        }
        if found.origin.unanswered.is_some() {
            self.unanswered = Some(found);
        } else {
            self.is_unproven = true;
        }
        None
    }
}

/// Looks up a recorded origin, here and at the peers that may hold it.
///
/// Others may know by now at which start the stream began; else its server is asked.
async fn find_recorded(
    shared: &Shared,
    attempt: &str,
    query: &OriginQuery,
    peers: &mut AskedPeers,
) -> Result<(OriginSource, StreamOrigin), MissingOrigin> {
    let mut found = RecordedOrigins::default();
    let known = shared.known_origin(attempt, Instant::now());
    if let Some(known) = known.and_then(|known| found.take(known)) {
        return Ok((OriginSource::Memory, known.origin));
    }
    let holders = shared.origin_holders(attempt, MAX_ASKED, Instant::now());
    let are_all_asked = shared.are_all_reachable(Instant::now());
    peers.asked += holders.len();
    let mut calls = ask_peers::<OriginAnswer>(shared, holders, FIND_PATH, FIND_TIMEOUT, query);
    while let Some((peer, answer)) = calls.next().await {
        let Some(answer) = answer else {
            continue;
        };
        peers.responded.push(peer);
        if let OriginAnswer::Recorded(recorded) = answer
            && let Some(recorded) = found.take(recorded)
        {
            shared.hold_origin(&recorded, Instant::now());
            return Ok((OriginSource::Peer, recorded.origin));
        }
    }
    if found.is_unproven {
        return Err(MissingOrigin::Unproven);
    }
    if let Some(unanswered) = found.unanswered {
        return confirm_origin(shared, unanswered).await;
    }
    Err(if shared.has_expired_origin(attempt, Instant::now()) {
        MissingOrigin::Expired
    } else if are_all_asked && peers.responded.len() == peers.asked {
        MissingOrigin::NeverRecorded
    } else {
        MissingOrigin::HoldersSilent
    })
}

/// Asks the server of a stream whether it is the start that was listed when the stream began.
async fn confirm_origin(
    shared: &Shared,
    recorded: SharedOrigin,
) -> Result<(OriginSource, StreamOrigin), MissingOrigin> {
    let SharedOrigin {
        attempt,
        origin,
        keep_us,
    } = recorded;
    let start = origin.unanswered.ok_or(MissingOrigin::Unproven)?;
    let reported = ask_once(shared, start, CONFIRM_TIMEOUT).await;
    let reported = reported.filter(|reported| *reported != ReportedStart::Unknown);
    let origin = origin.answered(reported.ok_or(MissingOrigin::Unanswered)?);
    let now = Instant::now();
    shared.record_origin(&attempt, origin.clone(), now + duration(keep_us), now);
    if origin.is_unproven {
        Err(MissingOrigin::Unproven)
    } else {
        Ok((OriginSource::Server, origin))
    }
}

/// Calls peers with a query, all at the same time.
pub(crate) fn ask_peers<T: DeserializeOwned>(
    shared: &Shared,
    peers: Vec<SocketAddr>,
    path: &'static str,
    limit: Duration,
    query: &OriginQuery,
) -> FuturesUnordered<impl Future<Output = (SocketAddr, Option<T>)>> {
    let body = to_cbor(query);
    let calls = peers.into_iter().map(|peer| {
        let body = body.clone();
        async move {
            let call = PeerCall { path, body, limit };
            (peer, call_peer::<T>(shared, peer, call).await)
        }
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
