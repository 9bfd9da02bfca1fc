//! Shows at which software version a stream began whose origin nobody has recorded: a service that has
//! had no other version.
//!
//! The stream may have begun at any gateway until its caller asked to resume it. Absence of another
//! version is concluded only from a list and records that were read by calls which began after that,
//! here or at a peer. A gateway out of step finds no version then, rather than the one on its old list.

use std::time::{Duration, Instant};

use actix_rt::time::timeout;
use bytes::Bytes;
use clementinepick::listed_versions::ServiceVersions;
use clementinepick::stream_origin::StreamOrigin;
use futures_util::stream::StreamExt;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

use crate::gateway_origin_search::{AskedPeers, OriginSource, ask_peers};
use crate::gateway_origins::OriginQuery;
use crate::gateway_shared::Shared;
use crate::gateway_versions::refresh_versions;
use crate::ledger::{from_cbor, to_cbor};
use crate::topic_watch::REFRESH_TIMEOUT;

/// The path of calls that ask a peer to show that a service has had one version only.
pub(crate) const PROVE_PATH: &str = "/origins/prove";
/// How long this process tries alone before it asks peers as well.
const ALONE: Duration = Duration::from_millis(100);
/// How long a peer may read for the answer.
const PEER_REFRESH_TIMEOUT: Duration = Duration::from_millis(200);
/// How long a peer may take to answer, while the caller waits.
const PROVE_TIMEOUT: Duration = Duration::from_millis(230);
/// The maximum number of peers asked, each of which reads from the store.
const MAX_ASKED: usize = 3;

/// What a process can show of the versions of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
enum VersionProof {
    /// It has had no other, by what was read after the question arrived.
    Sole(StreamOrigin),
    Several,
    Unproven,
}

impl VersionProof {
    fn new(service: &str, versions: ServiceVersions) -> Self {
        match versions {
            ServiceVersions::Sole(version) => Self::Sole(StreamOrigin {
                service: service.to_owned(),
                version,
                is_unproven: false,
                unanswered: None,
            }),
            ServiceVersions::Several => Self::Several,
            ServiceVersions::Unproven => Self::Unproven,
        }
    }
}

impl Shared {
    /// Returns the age of what is known of versions; `None` before it was read.
    pub(crate) fn evidence_age(&self, now: Instant) -> Option<Duration> {
        let as_of = self.version_evidence().as_of()?;
        Some(Duration::from_micros(self.now_us(now).since(as_of).0))
    }

    /// Shows which versions a service has had until `asked_at`, by newer reads if they matter.
    async fn prove(&self, query: &OriginQuery, asked_at: Instant, limit: Duration) -> VersionProof {
        let find = || {
            let OriginQuery {
                service,
                min_known_us,
                ..
            } = query;
            let versions = self.service_versions(service, *min_known_us, asked_at, Instant::now());
            VersionProof::new(service, versions)
        };
        self.wait_until_proven(&query.service, limit).await;
        // Nothing that is read makes several versions one.
        if find() == VersionProof::Several {
            return VersionProof::Several;
        }
        let list = self.wait_for_list(asked_at);
        let records = refresh_versions(self, asked_at, limit);
        let both = async { tokio::join!(list, records).1 };
        let is_read = timeout(limit, both).await;
        let outcome = if matches!(is_read, Ok(Ok(()))) {
            "read"
        } else {
            "failed"
        };
        self.metrics.count_version_refresh(outcome);
        find()
    }
}

/// Finds the only version at which a stream can have begun, by what is read here or at peers after
/// `asked_at`.
pub(crate) async fn find_sole_origin(
    shared: &Shared,
    query: &OriginQuery,
    peers: &mut AskedPeers,
    asked_at: Instant,
) -> Option<(OriginSource, StreamOrigin)> {
    let is_unproven = Notify::new();
    let here = async {
        let proof = shared.prove(query, asked_at, REFRESH_TIMEOUT).await;
        if proof == VersionProof::Unproven {
            is_unproven.notify_one();
        }
        proof
    };
    let alone = if shared.store.is_unavailable() || shared.store.is_direct_down() {
        Duration::ZERO
    } else {
        ALONE
    };
    let elsewhere = async {
        // Either outcome means that peers are asked.
        let _ = timeout(alone, is_unproven.notified()).await;
        prove_at_peers(shared, query, peers).await
    };
    tokio::pin!(here, elsewhere);
    let proof = tokio::select! {
        biased;
        proof = &mut here => match proof {
            VersionProof::Unproven => elsewhere.await,
            proof => proof,
        },
        proof = &mut elsewhere => match proof {
            VersionProof::Unproven => here.await,
            proof => proof,
        },
    };
    match proof {
        VersionProof::Sole(origin) => Some((OriginSource::SoleVersion, origin)),
        VersionProof::Several | VersionProof::Unproven => None,
    }
}

/// Asks peers which versions a service has had. If some have responded to this request before, no others
/// are asked.
async fn prove_at_peers(
    shared: &Shared,
    query: &OriginQuery,
    peers: &mut AskedPeers,
) -> VersionProof {
    let mut asked = if query.attempt.is_some() {
        peers.responded.clone()
    } else {
        shared.origin_holders(&query.service, MAX_ASKED, Instant::now())
    };
    asked.truncate(MAX_ASKED);
    if query.attempt.is_none() {
        peers.asked += asked.len();
    }
    let mut calls = ask_peers::<VersionProof>(shared, asked, PROVE_PATH, PROVE_TIMEOUT, query);
    while let Some((peer, proof)) = calls.next().await {
        let Some(proof) = proof else {
            continue;
        };
        if query.attempt.is_none() {
            peers.responded.push(peer);
        }
        match proof {
            VersionProof::Sole(origin) if !shared.has_other_version(&origin, Instant::now()) => {
                return VersionProof::Sole(origin);
            }
            VersionProof::Sole(_) | VersionProof::Several => return VersionProof::Several,
            VersionProof::Unproven => {}
        }
    }
    VersionProof::Unproven
}

/// Handles a peer's call for the versions of a service; `None` for other paths.
pub(crate) async fn handle_prove_call(
    shared: &Shared,
    path: &str,
    body: &[u8],
    now: Instant,
) -> Option<(u16, Bytes)> {
    if path != PROVE_PATH {
        return None;
    }
    let Some(query) = from_cbor::<OriginQuery>(body) else {
        return Some((400, Bytes::new()));
    };
    let proof = shared.prove(&query, now, PEER_REFRESH_TIMEOUT).await;
    Some((200, to_cbor(&proof)))
}
