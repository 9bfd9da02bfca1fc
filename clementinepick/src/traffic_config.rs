//! Defines the traffic configuration: routes, services and caller limits.

use std::collections::BTreeMap;

use crate::units::{SpanUs, Tokens};

/// Whether and how a request may be executed more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// May be executed any number of times.
    Idempotent,
    /// Must be executed at most once for each request of a caller.
    NonIdempotent,
    /// The response is a stream of events.
    Streaming,
}

/// A route: which requests match it, and how they are handled.
#[derive(Debug, Clone, PartialEq)]
pub struct TrafficRoute {
    /// The route's name, for logs.
    pub name: String,
    /// The host that it matches, ignoring case.
    pub host: String,
    /// The path prefix that it matches; begins and ends with a slash.
    pub path_prefix: String,
    /// Whether its requests may be executed more than once.
    pub kind: RequestKind,
    /// The services that run its requests, with their weights; not empty.
    pub services: Vec<(String, u32)>,
    /// The longest time from a request's arrival to the end of its response.
    pub timeout_us: SpanUs,
    /// The target time to the response, or to its first event.
    pub target_latency_us: SpanUs,
    /// The target for the longest gap between two events.
    pub gap_target_us: SpanUs,
    /// The maximum number of backend servers that one request is sent to.
    pub attempts: u32,
    /// The priority among routes; 0 is served first.
    pub priority: u32,
    /// Whether an interrupted stream may be resumed on another backend server.
    pub is_resumable: bool,
    /// Whether requests carry only the new input of a turn, and the previous turns are stored here.
    pub keeps_context: bool,
    /// How long turns are kept after their end, and a program's budget after its last turn.
    pub retention_us: SpanUs,
}

/// The configuration of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TrafficService {
    /// The maximum number of connections to one backend server from all gateways together.
    pub max_connections: u32,
    /// The number of tokens in one event of a stream.
    pub tokens_per_event: Tokens,
    /// The path of its servers' health checks, if they have any.
    pub health_path: Option<String>,
}

/// Size limits and timeouts of callers' requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// The maximum size of a request head.
    pub head_bytes: usize,
    /// The maximum size of a request body.
    pub body_bytes: usize,
    /// The timeout for receiving a request head, from its first byte.
    pub head_us: SpanUs,
    /// The timeout of idle connections.
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

impl CallerLimits {
    /// Returns the higher of each limit.
    #[must_use]
    pub fn loosest(self, other: Self) -> Self {
        Self {
            head_bytes: self.head_bytes.max(other.head_bytes),
            body_bytes: self.body_bytes.max(other.body_bytes),
            head_us: self.head_us.max(other.head_us),
            idle_us: self.idle_us.max(other.idle_us),
        }
    }
}

/// A complete version of the traffic configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct TrafficConfig {
    /// The version number, which increases with each change.
    pub version: u64,
    /// The routes.
    pub routes: Vec<TrafficRoute>,
    /// The services by name.
    pub services: BTreeMap<String, TrafficService>,
    /// The limits for callers' requests.
    pub limits: CallerLimits,
}

impl TrafficConfig {
    /// Returns the route of `host` with the longest matching prefix of `path`.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&TrafficRoute> {
        self.routes
            .iter()
            .filter(|route| route.host.eq_ignore_ascii_case(host))
            .filter(|route| path.starts_with(&route.path_prefix))
            .max_by_key(|route| route.path_prefix.len())
    }

    /// Returns the longest retention of all routes.
    #[must_use]
    pub fn longest_retention_us(&self) -> SpanUs {
        let retentions = self.routes.iter().map(|route| route.retention_us);
        retentions.max().unwrap_or_default()
    }
}

impl TrafficRoute {
    /// Returns whether the route sends requests to `service`.
    #[must_use]
    pub fn leads_to(&self, service: &str) -> bool {
        let mut services = self.services.iter();
        services.any(|(name, weight)| name == service && *weight > 0)
    }

    /// Returns whether the route leads to several services.
    #[must_use]
    pub fn is_split(&self) -> bool {
        self.services
            .iter()
            .filter(|(_, weight)| *weight > 0)
            .count()
            > 1
    }

    /// Chooses a service by weight, using the uniform random number `draw`.
    #[must_use]
    pub fn choose_service(&self, draw: u64) -> Option<&str> {
        let total: u64 = self.services.iter().map(|(_, w)| u64::from(*w)).sum();
        let mut offset = draw.checked_rem(total)?;
        for (name, weight) in &self.services {
            let weight = u64::from(*weight);
            if offset < weight {
                return Some(name);
            }
            offset -= weight;
        }
        None
    }
}
