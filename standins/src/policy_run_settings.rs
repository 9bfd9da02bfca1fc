//! Which decisions a run of the policy tool uses: a named policy, and single changes by `--set`.

use std::str::FromStr;

use clementinepick::prefix_retention::PrefixRetentionSettings;
use clementinepick::route::RouteSettings;
use clementinepick::units::{SpanUs, Tokens};
use thiserror::Error;

/// How a backend server is chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Routing {
    /// One after the other.
    RoundRobin,
    /// The one with the fewest calls, by its lagging report and the entry's own calls since.
    LeastLoaded,
    /// [`clementinepick::route`].
    Router,
}

/// When cached prefixes are released.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetentionPolicy {
    /// Never; the engine drops what was used longest ago when it is full.
    Off,
    /// When their program is known to have ended.
    OnProgramEnd,
    /// By [`clementinepick::prefix_retention`], and when their program ends.
    ByExpectedReuse,
}

/// What can be changed by `--set key=value`.
#[derive(Debug, Clone)]
pub struct RunSettings {
    /// The policy's name.
    pub policy: String,
    /// `routing`: how a backend server is chosen.
    pub routing: Routing,
    /// `gate`: whether calls wait in the order of the gate before a backend server.
    pub has_admission_queue: bool,
    /// `retain`: when cached prefixes are released.
    pub retention_policy: RetentionPolicy,
    /// How prefixes are kept: `price`.
    pub retention: PrefixRetentionSettings,
    /// How the router weighs: `per_running`, `prefill_weight`.
    pub route: RouteSettings,
    /// `max_prefill`: the prompt tokens that may be in prefill at once at one engine.
    pub max_prefill: Option<Tokens>,
    /// `heartbeat`: the time between two load reports.
    pub heartbeat_us: SpanUs,
    /// `gaps`: the chance that a batch of cache events is lost.
    pub event_loss_probability: f64,
    /// `fault`: whether an engine fails during the run.
    pub injects_fault: bool,
    /// `horizon`: how long programs arrive.
    pub horizon_us: SpanUs,
    /// `warmup`: what arrives before is not measured.
    pub warmup_us: SpanUs,
}

/// A policy or setting that does not exist.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{0}")]
pub struct RunSettingError(String);

/// The policies.
pub const POLICIES: &[&str] = &["fifo", "least-loaded", "clementinepick"];

impl RunSettings {
    /// The settings of a named policy.
    ///
    /// # Errors
    ///
    /// When there is no such policy.
    pub fn of_policy(policy: &str) -> Result<Self, RunSettingError> {
        let routing = match policy {
            "fifo" => Routing::RoundRobin,
            "least-loaded" => Routing::LeastLoaded,
            "clementinepick" => Routing::Router,
            _ => {
                let known = POLICIES.join(", ");
                return Err(RunSettingError(format!(
                    "no policy `{policy}`; there are {known}"
                )));
            }
        };
        let ours = routing == Routing::Router;
        Ok(Self {
            policy: policy.to_owned(),
            routing,
            has_admission_queue: ours,
            retention_policy: if ours {
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

    /// Changes one setting, as `key=value`.
    ///
    /// # Errors
    ///
    /// When the key is unknown or the value can't be read.
    pub fn set(&mut self, change: &str) -> Result<(), RunSettingError> {
        let bad = || RunSettingError(format!("`{change}` is no setting of the policy tool"));
        let (key, value) = change.split_once('=').ok_or_else(bad)?;
        match key {
            "routing" => {
                self.routing = match value {
                    "round-robin" => Routing::RoundRobin,
                    "least-loaded" => Routing::LeastLoaded,
                    "router" => Routing::Router,
                    _ => return Err(bad()),
                }
            }
            "gate" => self.has_admission_queue = read(value).ok_or_else(bad)?,
            "retain" => {
                self.retention_policy = match value {
                    "off" => RetentionPolicy::Off,
                    "ended" => RetentionPolicy::OnProgramEnd,
                    "worth" => RetentionPolicy::ByExpectedReuse,
                    _ => return Err(bad()),
                }
            }
            "price" => self.retention.price_milli_per_s = read(value).ok_or_else(bad)?,
            "shared" => self.retention.shared_keep_us = read(value).ok_or_else(bad)?,
            "unknown" => self.retention.default_keep_us = read(value).ok_or_else(bad)?,
            "per_running" => self.route.tokens_per_running = read(value).ok_or_else(bad)?,
            "prefill_weight" => self.route.prefill_weight = read(value).ok_or_else(bad)?,
            "max_prefill" => self.max_prefill = Some(read(value).ok_or_else(bad)?),
            "heartbeat" => self.heartbeat_us = read(value).ok_or_else(bad)?,
            "gaps" => self.event_loss_probability = read(value).ok_or_else(bad)?,
            "fault" => self.injects_fault = read(value).ok_or_else(bad)?,
            "horizon" => self.horizon_us = read(value).ok_or_else(bad)?,
            "warmup" => self.warmup_us = read(value).ok_or_else(bad)?,
            _ => return Err(bad()),
        }
        Ok(())
    }
}

fn read<T: FromStr>(value: &str) -> Option<T> {
    value.parse().ok()
}
