//! Defines the settings of a run: a named policy with overrides by `--set`.

use std::str::FromStr;

use clementinepick::prefix_retention::PrefixRetentionSettings;
use clementinepick::route::RouteSettings;
use clementinepick::units::{SpanUs, Tokens};
use thiserror::Error;

/// The selection of backend servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Routing {
    /// Cycles through the backend servers.
    RoundRobin,
    /// Selects the one with the fewest calls, by its last report and the entry's own calls since.
    LeastLoaded,
    /// Uses [`clementinepick::route`].
    Router,
}

/// The release of cached prefixes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetentionPolicy {
    /// Never releases prefixes; a full engine evicts the least recently used ones.
    Off,
    /// Releases prefixes when their program is known to have ended.
    OnProgramEnd,
    /// Releases prefixes as [`clementinepick::prefix_retention`] decides, and when their program
    /// ends.
    ByExpectedReuse,
}

/// The settings of a run, with their keys for `--set key=value`.
#[derive(Debug, Clone)]
pub struct RunSettings {
    /// The name of the policy.
    pub policy: String,
    /// `routing`: the selection of backend servers.
    pub routing: Routing,
    /// `gate`: whether calls pass an admission queue before a backend server.
    pub has_admission_queue: bool,
    /// `retain`: the release of cached prefixes.
    pub retention_policy: RetentionPolicy,
    /// `price`, `shared`, `unknown`: the settings of [`clementinepick::prefix_retention`].
    pub retention: PrefixRetentionSettings,
    /// `per_running`, `prefill_weight`: the weights of the router.
    pub route: RouteSettings,
    /// `max_prefill`: the maximum number of prompt tokens in prefill per engine.
    pub max_prefill: Option<Tokens>,
    /// `heartbeat`: the interval of load reports.
    pub heartbeat_us: SpanUs,
    /// `gaps`: the probability that an entry loses a batch of cache events.
    pub event_loss_probability: f64,
    /// `fault`: whether an engine fails during the run.
    pub injects_fault: bool,
    /// `horizon`: the period in which programs arrive.
    pub horizon_us: SpanUs,
    /// `warmup`: the initial period that is excluded from the metrics.
    pub warmup_us: SpanUs,
}

/// An unknown policy or an invalid setting.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{0}")]
pub struct RunSettingError(String);

/// The names of the policies.
pub const POLICIES: &[&str] = &["fifo", "least-loaded", "clementinepick"];

impl RunSettings {
    /// Returns the settings of the policy with the given name.
    ///
    /// # Errors
    ///
    /// Returns an error if the policy is unknown.
    pub fn for_policy(policy: &str) -> Result<Self, RunSettingError> {
        let routing = match policy {
            "fifo" => Routing::RoundRobin,
            "least-loaded" => Routing::LeastLoaded,
            "clementinepick" => Routing::Router,
            _ => {
                let known = POLICIES.join(", ");
                return Err(RunSettingError(format!(
                    "unknown policy `{policy}`: expected one of {known}"
                )));
            }
        };
        let uses_scheduler = routing == Routing::Router;
        Ok(Self {
            policy: policy.to_owned(),
            routing,
            has_admission_queue: uses_scheduler,
            retention_policy: if uses_scheduler {
                RetentionPolicy::ByExpectedReuse
            } else {
                RetentionPolicy::Off
            },
            retention: PrefixRetentionSettings::default(),
            route: RouteSettings::default(),
            max_prefill: None,
            heartbeat_us: SpanUs::from_ms(500),
            event_loss_probability: 0.01,
            injects_fault: false,
            horizon_us: SpanUs::from_s(1_800),
            warmup_us: SpanUs::from_s(300),
        })
    }

    /// Overrides one setting, given as `key=value`.
    ///
    /// # Errors
    ///
    /// Returns an error if the key is unknown or the value can't be parsed.
    pub fn set(&mut self, change: &str) -> Result<(), RunSettingError> {
        let invalid = || {
            RunSettingError(format!(
                "invalid run setting `{change}`: unknown key or invalid value"
            ))
        };
        let (key, value) = change.split_once('=').ok_or_else(invalid)?;
        match key {
            "routing" => {
                self.routing = match value {
                    "round-robin" => Routing::RoundRobin,
                    "least-loaded" => Routing::LeastLoaded,
                    "router" => Routing::Router,
                    _ => return Err(invalid()),
                }
            }
            "gate" => self.has_admission_queue = parse(value).ok_or_else(invalid)?,
            "retain" => {
                self.retention_policy = match value {
                    "off" => RetentionPolicy::Off,
                    "ended" => RetentionPolicy::OnProgramEnd,
                    "worth" => RetentionPolicy::ByExpectedReuse,
                    _ => return Err(invalid()),
                }
            }
            "price" => self.retention.price_milli_per_s = parse(value).ok_or_else(invalid)?,
            "shared" => self.retention.shared_keep_us = parse(value).ok_or_else(invalid)?,
            "unknown" => self.retention.default_keep_us = parse(value).ok_or_else(invalid)?,
            "per_running" => self.route.tokens_per_running = parse(value).ok_or_else(invalid)?,
            "prefill_weight" => self.route.prefill_weight = parse(value).ok_or_else(invalid)?,
            "max_prefill" => self.max_prefill = Some(parse(value).ok_or_else(invalid)?),
            "heartbeat" => self.heartbeat_us = parse(value).ok_or_else(invalid)?,
            "gaps" => self.event_loss_probability = parse(value).ok_or_else(invalid)?,
            "fault" => self.injects_fault = parse(value).ok_or_else(invalid)?,
            "horizon" => self.horizon_us = parse(value).ok_or_else(invalid)?,
            "warmup" => self.warmup_us = parse(value).ok_or_else(invalid)?,
            _ => return Err(invalid()),
        }
        Ok(())
    }
}

fn parse<T: FromStr>(value: &str) -> Option<T> {
    value.parse().ok()
}
