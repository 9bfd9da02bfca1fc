//! The rules that a service's document sets, with the values that hold where it sets none.

use crate::ids::{CategoryName, ClassName, ModelName, VersionName};
use crate::units::{Percent, SpanUs, Tokens};

/// The rules for one class of calls.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClassRules {
    /// The order of classes at the gate: a lower rank goes first.
    pub rank: u32,
    /// The class's weight among classes of the same rank.
    pub weight: u32,
    /// The category whose share and limit it counts against.
    pub category: Option<CategoryName>,
    /// The deadline of a call that brings none, and the most that one may bring.
    pub deadline_us: SpanUs,
    /// The longest wait at the gate after which the call is treated as of the first rank.
    pub max_wait_us: SpanUs,
    /// The most output tokens of a turn.
    pub max_output_tokens: Tokens,
    /// The most calls of the class that run at once over the service; absent: no limit.
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

/// The rules for a category of classes.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CategoryRules {
    /// The share of each backend server that is kept for it while it has work.
    pub share: Percent,
    /// The share of each backend server that it may use at most; absent: all.
    pub limit: Option<Percent>,
}

/// What a program of the service may do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProgramRules {
    /// Prompt and output tokens over all calls.
    pub budget_tokens: Tokens,
    /// Calls.
    pub budget_calls: u64,
    /// Time from the first call to the end.
    pub budget_time_us: SpanUs,
    /// Time without a call after which the program ends.
    pub idle_us: SpanUs,
    /// How long a call waits for an earlier one of its program that has not come.
    pub gap_us: SpanUs,
    /// Identical calls in a row after which the loop guard ends the program.
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

/// How long engines keep a program's prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RetentionRules {
    /// The longest that a prefix is kept for a program that has not come back.
    pub max_keep_us: SpanUs,
    /// The lease that an owner renews; without renewal a sidecar frees the cache itself.
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

/// Retries of idempotent calls.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RetryRules {
    /// The most attempts of one call.
    pub max_attempts: u32,
    /// Retries as a share of the calls, over the service.
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

/// The rules for one route of a plain service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteRules {
    /// The HTTP method, in capitals.
    pub method: String,
    /// The start of the path.
    pub prefix: String,
    /// Whether its calls may be run again.
    pub idempotent: bool,
    /// The class of its calls; absent: the document's default.
    pub class: Option<ClassName>,
}

/// A model that engines are ordered to load.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ModelRules {
    /// The version.
    pub version: VersionName,
    /// The least count of engines that serve it; absent: all.
    pub min_engines: Option<u32>,
}

/// An adapter that is loaded wherever its model is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdapterRules {
    /// The model that it belongs to.
    pub model: ModelName,
    /// The version.
    pub version: VersionName,
}

/// How engines are changed while they serve.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlacementRules {
    /// The least time between two loads over the service: its part of the weight store's rate.
    pub load_interval_us: SpanUs,
    /// The most engines that load at a time.
    pub max_loading: u32,
    /// The share of the engines that go on serving while others load.
    pub min_serving: Percent,
    /// The wait after an order failed; it doubles with each failure in a row.
    pub retry_after_us: SpanUs,
    /// The count of engines that only prefill.
    pub prefill_engines: u32,
    /// The count of engines that only decode.
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
