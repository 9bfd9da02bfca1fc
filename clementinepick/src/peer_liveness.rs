//! Detects peers that have stopped responding, from the outcomes of regular calls.
//!
//! ```
//! use clementinepick::peer_liveness::PeerLiveness;
//! use clementinepick::units::TimeUs;
//!
//! let peer = "10.0.0.1:80".parse().unwrap();
//! let mut liveness = PeerLiveness::default();
//! liveness.record_failure(TimeUs(0), peer);
//! assert!(liveness.is_silent(TimeUs(500_000), peer));
//! assert!(!liveness.is_lost(TimeUs(500_000), peer));
//! liveness.record_failure(TimeUs(2_500_000), peer);
//! assert!(liveness.is_lost(TimeUs(2_500_000), peer));
//! ```

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use crate::units::{SpanUs, TimeUs};

/// How long no call is made to a peer after a failed one.
const SILENCE_US: SpanUs = SpanUs::from_s(1);
/// The time without a response after which a peer is considered lost. A shorter one would
/// needlessly replace processes that only pause. Responses take up to 250 ms, and a process that
/// shuts down says so itself.
const LOST_AFTER_US: SpanUs = SpanUs::from_s(2);
/// How long no call is made to a lost peer; then a single failed call confirms that it is still
/// lost.
const LOST_FOR_US: SpanUs = SpanUs::from_s(10);

#[derive(Debug, Clone, Copy)]
struct Silence {
    /// The first failed call since the last response.
    since: TimeUs,
    /// The latest failed call.
    last: TimeUs,
}

impl Silence {
    /// Whether the silence has lasted long enough to consider the peer lost.
    fn is_loss(&self) -> bool {
        self.last.since(self.since) >= LOST_AFTER_US
    }

    /// Whether the last failure is too old to belong to the same silence as a failure at `now`.
    ///
    /// Otherwise two failures far apart, with no call between them, would make a live peer lost,
    /// and each needless change of a partition's home halves the budget that its programs can start
    /// with. A peer that is already lost stays lost: it is called that rarely on purpose.
    fn is_stale(&self, now: TimeUs) -> bool {
        !self.is_loss() && now.since(self.last) >= LOST_FOR_US
    }
}

/// Tracks the peers whose latest call got no response.
#[derive(Debug, Default)]
pub struct PeerLiveness {
    silent: BTreeMap<SocketAddr, Silence>,
}

impl PeerLiveness {
    /// Records that a call to a peer got no response.
    pub fn record_failure(&mut self, now: TimeUs, peer: SocketAddr) {
        let first = Silence {
            since: now,
            last: now,
        };
        let silence = self.silent.entry(peer).or_insert(first);
        if silence.is_stale(now) {
            *silence = first;
        }
        silence.last = now;
    }

    /// Records that a peer responded, or that another process has taken its address.
    pub fn record_response(&mut self, peer: SocketAddr) {
        self.silent.remove(&peer);
    }

    /// Whether calls to a peer should be avoided for now.
    #[must_use]
    pub fn is_silent(&self, now: TimeUs, peer: SocketAddr) -> bool {
        let silence = self.silent.get(&peer);
        silence.is_some_and(|silence| now.since(silence.last) < SILENCE_US)
            || self.is_lost(now, peer)
    }

    /// Whether a peer has been silent long enough that another one replaces it.
    ///
    /// The peer's entry in the store expires only after more than a minute. Until then, programs of
    /// its partitions would need the store to start, and be refused while it is unavailable.
    #[must_use]
    pub fn is_lost(&self, now: TimeUs, peer: SocketAddr) -> bool {
        let silence = self.silent.get(&peer);
        silence.is_some_and(|silence| silence.is_loss() && now.since(silence.last) < LOST_FOR_US)
    }

    /// Returns all lost peers.
    #[must_use]
    pub fn lost(&self, now: TimeUs) -> BTreeSet<SocketAddr> {
        let peers = self.silent.keys().copied();
        peers.filter(|peer| self.is_lost(now, *peer)).collect()
    }
}
