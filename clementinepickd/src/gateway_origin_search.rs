//! Finds where a stream began that its caller resumes: in memory, at the peers that may hold its origin,
//! in the store, or by the word of its server. If nobody has recorded it, the stream is resumed only if it
//! is shown that it can have begun at no other version.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use actix_rt::time::timeout;
use clementinepick::start_doubts::ReportedStart;
use clementinepick::stream_origin::StreamOrigin;
use futures_util::stream::{FuturesUnordered, StreamExt};
use serde::de::DeserializeOwned;

use crate::gateway_origin_log::refresh_origins;
use crate::gateway_origins::{FIND_PATH, OriginAnswer, OriginQuery, SharedOrigin};
use crate::gateway_peer::{PeerCall, call_peer};
use crate::gateway_shared::Shared;
use crate::gateway_start_questions::ask_once;
use crate::gateway_trace::Trace;
use crate::gateway_version_proof::find_sole_origin;
use crate::ledger::to_cbor;
use crate::link::duration;

/// The maximum number of peers asked for an origin. It exceeds the number of copies, because two gateways
/// may differ in which peers they know and find reachable.
const MAX_ASKED: usize = 8;
/// How long a peer may take to answer from memory, while the caller waits.
const FIND_TIMEOUT: Duration = Duration::from_millis(100);
/// How long reading from the store may take, while the caller waits.
const READ_TIMEOUT: Duration = Duration::from_millis(200);
/// How long the server of a stream may take to say which start it is: its caller gives up after a gap of
/// two seconds.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(1_200);
/// How long after its arrival a request may be refused because its origin was not found.
const MAX_FIND_TIME: Duration = Duration::from_millis(450);

/// Finds the origin of a stream: as recorded, else the only one possible. A peer that does not respond shows
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
        Some(attempt) => find_recorded(shared, attempt, query, &mut peers, asked_at).await,
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
    /// It was recorded in the store.
    Store,
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
            Self::Store => "store",
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
    /// Nobody has recorded it, and the route leads to several services.
    SplitRoute,
    /// Nobody that may hold it has recorded it.
    NeverRecorded,
    /// It was recorded here, and its caller should have given up since.
    Expired,
    /// It was recorded, but the server may have been another start than the listed one.
    Unproven,
    /// It was recorded, but the server has not said yet whether it was the listed start.
    Unanswered,
    /// Some of the peers that may hold it are gone or do not respond, nor does the store.
    HoldersSilent,
    /// No peer holds it, and the store does not respond.
    StoreSilent,
}

impl MissingOrigin {
    /// Returns the name used in logs and metrics.
    pub(crate) fn label(self) -> &'static str {
        match self {
            Self::Unnamed => "unnamed",
            Self::SplitRoute => "split_route",
            Self::NeverRecorded => "never_recorded",
            Self::Expired => "expired",
            Self::Unproven => "unproven",
            Self::Unanswered => "unanswered",
            Self::HoldersSilent => "holders_silent",
            Self::StoreSilent => "store_silent",
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

/// Looks up a recorded origin: here, at the peers that may hold it, and in the store.
///
/// Others may know by now at which start the stream began; else its server is asked.
async fn find_recorded(
    shared: &Shared,
    attempt: &str,
    query: &OriginQuery,
    peers: &mut AskedPeers,
    asked_at: Instant,
) -> Result<(OriginSource, StreamOrigin), MissingOrigin> {
    let mut found = RecordedOrigins::default();
    let known = shared.known_origin(attempt, Instant::now());
    if let Some(known) = known.and_then(|known| found.take(known)) {
        return Ok((OriginSource::Memory, known.origin));
    }
    if found.is_unproven {
        return Err(MissingOrigin::Unproven);
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
    if !shared.store.is_unavailable() {
        let read = refresh_origins(shared, asked_at, READ_TIMEOUT);
        // What it read, and whether it did, is looked up below.
        let _ = timeout(READ_TIMEOUT, read).await;
        let known = shared.known_origin(attempt, Instant::now());
        if let Some(known) = known.and_then(|known| found.take(known)) {
            return Ok((OriginSource::Store, known.origin));
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
    } else if shared.has_read_origins(asked_at) {
        MissingOrigin::NeverRecorded
    } else if are_all_asked && peers.responded.len() == peers.asked {
        MissingOrigin::StoreSilent
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
