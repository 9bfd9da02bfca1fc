//! Divides the descriptors and the memory of the process between its listeners, so that the connections of
//! one can't shut out those of another.

use std::rc::Rc;
use std::time::Instant;

use clementinepick::connection_account::AccountLimits;
use clementinepick::units::Bytes;
use rustix::process::{Resource, getrlimit};

use crate::connections::Connections;
use crate::gateway_settings::GatewaySettings;

/// The parts of the process's descriptors that the connections of a listener may use are one in this
/// many; the rest is for connections to servers, peers and the store.
const CALLERS_SHARE: u64 = 2;
const PEERS_SHARE: u64 = 4;
const SERVICE_SHARE: u64 = 32;
/// The most connections of a listener, whatever the descriptors.
const MAX_PEER_CONNECTIONS: usize = 2_048;
const MAX_SERVICE_CONNECTIONS: usize = 128;
/// The memory that the connections of peers may hold is one in this many bytes of that of callers.
const PEERS_MEMORY_SHARE: usize = 2;
/// The memory that the requests for readiness and for metrics may hold, in bytes each.
const SERVICE_MEMORY_BYTES: usize = 1_048_576;

/// The connections to a process, by listener.
pub(crate) struct ListenerConnections {
    pub(crate) callers: Rc<Connections>,
    pub(crate) ready: Rc<Connections>,
    pub(crate) peers: Rc<Connections>,
    pub(crate) metrics: Rc<Connections>,
}

impl ListenerConnections {
    pub(crate) fn new(settings: &GatewaySettings, now: Instant) -> Self {
        let descriptors = getrlimit(Resource::Nofile).current;
        let connections = |limits| Rc::new(Connections::new(limits, now));
        let callers = AccountLimits {
            memory: to_bytes(settings.body_limit_bytes),
            connections: share(descriptors, CALLERS_SHARE).min(settings.connection_limit),
        };
        // An append of the largest size must always fit.
        let peers_bytes = settings.body_limit_bytes / PEERS_MEMORY_SHARE;
        let peers_bytes = peers_bytes.max(2 * settings.ledger.call_bytes);
        let peers = AccountLimits {
            memory: to_bytes(peers_bytes),
            connections: share(descriptors, PEERS_SHARE).min(MAX_PEER_CONNECTIONS),
        };
        let service = AccountLimits {
            memory: to_bytes(SERVICE_MEMORY_BYTES),
            connections: share(descriptors, SERVICE_SHARE).min(MAX_SERVICE_CONNECTIONS),
        };
        Self {
            callers: connections(callers),
            ready: connections(service),
            peers: connections(peers),
            metrics: connections(service),
        }
    }

    /// Returns the connections of each listener with its name in metrics.
    pub(crate) fn by_name(&self) -> [(&'static str, &Connections); 4] {
        [
            ("callers", &self.callers),
            ("ready", &self.ready),
            ("peers", &self.peers),
            ("metrics", &self.metrics),
        ]
    }
}

/// Returns one part in `parts` of the descriptors, at least one; unlimited descriptors have no limit.
fn share(descriptors: Option<u64>, parts: u64) -> usize {
    let share = descriptors.map_or(u64::MAX, |descriptors| (descriptors / parts).max(1));
    usize::try_from(share).unwrap_or(usize::MAX)
}

fn to_bytes(bytes: usize) -> Bytes {
    Bytes(u64::try_from(bytes).unwrap_or(u64::MAX))
}
