//! The configuration that decides which service runs a request, and under which limits.

use std::collections::BTreeMap;

use crate::units::{SpanUs, Tokens};

/// Whether a request may be executed again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// Any number of executions is harmless.
    Idempotent,
    /// At most one execution for each request of a caller.
    NonIdempotent,
    /// The answer is a series of events.
    Streaming,
}

/// One route: which requests it takes, and how they are handled.
#[derive(Debug, Clone, PartialEq)]
pub struct TrafficRoute {
    /// The route's name, for logs.
    pub name: String,
    /// The host that requests name.
    pub host: String,
    /// The start of the paths it takes; begins and ends with a slash.
    pub path_prefix: String,
    /// Whether its requests may be executed again.
    pub kind: RequestKind,
    /// The services that run its requests, with their weights; never empty.
    pub services: Vec<(String, u32)>,
    /// The longest time from a request's arrival to the end of its answer.
    pub timeout_us: SpanUs,
    /// The time in which callers want the answer, or its first event.
    pub target_latency_us: SpanUs,
    /// The longest pause between events that callers accept.
    pub gap_target_us: SpanUs,
    /// How many backend servers one request may be sent to.
    pub attempts: u32,
    /// The rank among routes; 0 is served first.
    pub priority: u32,
    /// Whether an interrupted stream may continue on another backend server.
    pub is_resumable: bool,
    /// Whether turns carry only their new input and the rest is kept here.
    pub keeps_context: bool,
    /// How long after their end turns, and after its last turn a program's budget, must be kept.
    pub retention_us: SpanUs,
}

/// What is known of a service, apart from its backend servers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TrafficService {
    /// The connections that one backend server accepts from all callers together.
    pub max_connections: u32,
    /// The tokens that one event of a stream carries.
    pub tokens_per_event: Tokens,
}

/// What a caller may send, and how long it may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// The largest request head, in bytes.
    pub head_bytes: usize,
    /// The largest request body, in bytes.
    pub body_bytes: usize,
    /// The longest time from the first byte of a head to its last.
    pub head_us: SpanUs,
    /// How long a connection may stay idle.
    pub idle_us: SpanUs,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            head_bytes: 16_384,
            body_bytes: 4_194_304,
            head_us: SpanUs::from_s(3),
            idle_us: SpanUs::from_s(15),
        }
    }
}

/// One version of the configuration in full.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct TrafficConfig {
    /// Grows with each change.
    pub version: u64,
    /// All routes.
    pub routes: Vec<TrafficRoute>,
    /// All services by name.
    pub services: BTreeMap<String, TrafficService>,
    /// What callers may send.
    pub limits: CallerLimits,
}

impl TrafficConfig {
    /// The route with the longest prefix of `path` among those of `host`.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&TrafficRoute> {
        self.routes
            .iter()
            .filter(|route| route.host.eq_ignore_ascii_case(host))
            .filter(|route| path.starts_with(&route.path_prefix))
            .max_by_key(|route| route.path_prefix.len())
    }

    /// The longest retention of all routes.
    #[must_use]
    pub fn longest_retention_us(&self) -> SpanUs {
        let retentions = self.routes.iter().map(|route| route.retention_us);
        retentions.max().unwrap_or_default()
    }
}

impl TrafficRoute {
    /// The service for a request, chosen by weight with `draw`, a uniform random number.
    #[must_use]
    pub fn choose_service(&self, draw: u64) -> Option<&str> {
        let total: u64 = self.services.iter().map(|(_, w)| u64::from(*w)).sum();
        let mut left = draw.checked_rem(total)?;
        for (name, weight) in &self.services {
            let weight = u64::from(*weight);
            if left < weight {
                return Some(name);
            }
            left -= weight;
        }
        None
    }
}
