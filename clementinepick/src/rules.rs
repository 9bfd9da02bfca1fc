//! Defines the rules that a service's document sets, and their defaults.

use crate::ids::{CategoryName, ClassName, ModelName, VersionName};
use crate::units::{Percent, SpanUs, Tokens};

/// Rules for a class of calls.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClassRules {
    /// Admission priority of the class; lower ranks go first.
    pub rank: u32,
    /// Weight among classes of the same rank.
    pub weight: u32,
    /// Category whose share and limit apply to the class.
    pub category: Option<CategoryName>,
    /// Default and maximum deadline of a call.
    pub deadline_us: SpanUs,
    /// Wait for admission after which a call is promoted to the first rank.
    pub max_wait_us: SpanUs,
    /// Maximum number of output tokens of a turn.
    pub max_output_tokens: Tokens,
    /// Maximum number of running calls of the class across the service; absent: unlimited.
    pub max_running: Option<u32>,
}

impl Default for ClassRules {
    fn default() -> Self {
        Self {
            rank: 10,
            weight: 1,
            category: None,
            deadline_us: SpanUs::from_s(300),
            max_wait_us: SpanUs::from_s(60),
            max_output_tokens: Tokens(1_024),
            max_running: None,
        }
    }
}

/// Rules for a category of classes.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CategoryRules {
    /// Share of each backend server that is reserved for the category while it has calls.
    pub share: Percent,
    /// Maximum share of each backend server that the category may use; absent: all.
    pub limit: Option<Percent>,
}

/// Limits of a program.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProgramRules {
    /// Maximum number of prompt and output tokens of all calls.
    pub budget_tokens: Tokens,
    /// Maximum number of calls.
    pub budget_calls: u64,
    /// Maximum time from the first call to the end.
    pub budget_time_us: SpanUs,
    /// Time without a call after which the program ends.
    pub idle_us: SpanUs,
    /// Maximum time for which a call waits for an earlier one of its program to arrive.
    pub gap_us: SpanUs,
    /// Number of consecutive identical calls after which the loop guard ends the program.
    pub max_repeats: u32,
}

impl Default for ProgramRules {
    fn default() -> Self {
        Self {
            budget_tokens: Tokens(2_000_000),
            budget_calls: 500,
            budget_time_us: SpanUs::from_s(4 * 3_600),
            idle_us: SpanUs::from_s(900),
            gap_us: SpanUs::from_s(5),
            max_repeats: 8,
        }
    }
}

/// Rules for the retention of programs' prefixes in engine caches.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RetentionRules {
    /// Maximum time for which the prefix of a paused program is kept.
    pub max_keep_us: SpanUs,
    /// Duration of a cache lease; a sidecar frees cache whose lease the owner does not renew.
    pub lease_us: SpanUs,
}

impl Default for RetentionRules {
    fn default() -> Self {
        Self {
            max_keep_us: SpanUs::from_s(120),
            lease_us: SpanUs::from_s(30),
        }
    }
}

/// Rules for retries of idempotent calls.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RetryRules {
    /// Maximum number of attempts of a call.
    pub max_attempts: u32,
    /// Maximum ratio of retries to calls across the service.
    pub budget: Percent,
}

impl Default for RetryRules {
    fn default() -> Self {
        Self {
            max_attempts: 3,
            budget: Percent::new(10).unwrap_or_default(),
        }
    }
}

/// Rules for a route of a plain service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteRules {
    /// HTTP method in upper case.
    pub method: String,
    /// Prefix of the path.
    pub prefix: String,
    /// Whether calls of the route may be run more than once.
    pub idempotent: bool,
    /// Class of the route's calls; absent: default class of the document.
    pub class: Option<ClassName>,
}

/// Rules for a model that engines are ordered to load.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ModelRules {
    /// Version to load.
    pub version: VersionName,
    /// Minimum number of engines that serve the model; absent: all.
    pub min_engines: Option<u32>,
}

/// Rules for an adapter, which is loaded on every engine that serves its model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdapterRules {
    /// Model that the adapter belongs to.
    pub model: ModelName,
    /// Version to load.
    pub version: VersionName,
}

/// Rules for engine orders while the service is running.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlacementRules {
    /// Minimum time between two loads across the service, by its share of the weight store's rate.
    pub load_interval_us: SpanUs,
    /// Maximum number of engines that load at the same time.
    pub max_loading: u32,
    /// Minimum share of the engines that keep serving while others load.
    pub min_serving: Percent,
    /// Initial backoff after a failed order, which doubles with each consecutive failure.
    pub retry_after_us: SpanUs,
    /// Number of engines that only prefill.
    pub prefill_engines: u32,
    /// Number of engines that only decode.
    pub decode_engines: u32,
}

impl Default for PlacementRules {
    fn default() -> Self {
        Self {
            load_interval_us: SpanUs::from_s(10),
            max_loading: 1,
            min_serving: Percent::new(75).unwrap_or_default(),
            retry_after_us: SpanUs::from_s(10),
            prefill_engines: 0,
            decode_engines: 0,
        }
    }
}
