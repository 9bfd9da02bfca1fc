//! Which peers answer, by the calls that are made to them anyway.
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

/// How long a peer that did not answer is not asked again.
const SILENCE_US: SpanUs = SpanUs::from_s(1);
/// A peer that has answered nothing for so long is taken as lost. Answers come within 250 ms, and a
/// process that is told to end says so; a shorter time would take those as lost that pause, and
/// replace them in vain.
const LOST_AFTER_US: SpanUs = SpanUs::from_s(2);
/// How long a lost peer is not asked again: one call that fails tells that it still is lost.
const LOST_FOR_US: SpanUs = SpanUs::from_s(10);

#[derive(Debug, Clone, Copy)]
struct Silence {
    /// The first call that failed since the last answer.
    since: TimeUs,
    last: TimeUs,
}

impl Silence {
    /// Whether it went on for so long that the peer is taken as lost.
    fn has_lost(&self) -> bool {
        self.last.since(self.since) >= LOST_AFTER_US
    }

    /// Whether the last failure is too old to be one silence with a failure of now.
    ///
    /// Nobody asked the peer in between. Two failures half a minute apart would make a living peer lost,
    /// and each change of a partition's coordinator halves what its programs begin with. A peer that is
    /// lost stays so: it is asked that seldom on purpose.
    fn is_forgotten(&self, now: TimeUs) -> bool {
        !self.has_lost() && now.since(self.last) >= LOST_FOR_US
    }
}

/// The peers whose last calls brought no answer.
#[derive(Debug, Default)]
pub struct PeerLiveness {
    silent: BTreeMap<SocketAddr, Silence>,
}

impl PeerLiveness {
    /// Notes that a call to a peer brought no answer.
    pub fn record_failure(&mut self, now: TimeUs, peer: SocketAddr) {
        let first = Silence {
            since: now,
            last: now,
        };
        let silence = self.silent.entry(peer).or_insert(first);
        if silence.is_forgotten(now) {
            *silence = first;
        }
        silence.last = now;
    }

    /// Notes that a peer answered, or that another process has its address now.
    pub fn record_response(&mut self, peer: SocketAddr) {
        self.silent.remove(&peer);
    }

    /// Whether a peer is better not asked.
    #[must_use]
    pub fn is_silent(&self, now: TimeUs, peer: SocketAddr) -> bool {
        let silence = self.silent.get(&peer);
        silence.is_some_and(|silence| now.since(silence.last) < SILENCE_US)
            || self.is_lost(now, peer)
    }

    /// Whether a peer has not answered for so long that another takes its place.
    ///
    /// Its entry in the store lives for more than a minute. Without this, nobody coordinates the
    /// programs of its partitions until then: each of them needs the store to begin, and is refused
    /// while that is away.
    #[must_use]
    pub fn is_lost(&self, now: TimeUs, peer: SocketAddr) -> bool {
        let silence = self.silent.get(&peer);
        silence.is_some_and(|silence| silence.has_lost() && now.since(silence.last) < LOST_FOR_US)
    }

    /// All lost peers.
    #[must_use]
    pub fn lost(&self, now: TimeUs) -> BTreeSet<SocketAddr> {
        let peers = self.silent.keys().copied();
        peers.filter(|peer| self.is_lost(now, *peer)).collect()
    }
}
