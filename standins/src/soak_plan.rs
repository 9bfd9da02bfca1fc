//! Defines what each plan of a soak starts.

use std::time::Duration;

use crate::soak_config::SoakConfig;
use crate::soak_crowds::{CROWD_BODY_BYTES, CROWD_CONNECTION_LIMIT};
use crate::soak_process::ProcessSettings;
use crate::soak_release_servers::DRAFT_SERVICES;

/// The timeout of the routes of drafts in runs with releases: a sole version must have been listed for
/// twice as long.
pub(crate) const DRAFT_TIMEOUT_MS: u64 = 1_000;
/// The services of drafts in runs with restarts, and the software versions that each has all the time.
pub(crate) const RESTART_DRAFT_SERVICES: usize = 2;
const RESTART_VERSIONS: u32 = 2;
/// How long callers go on after the last fault, so that requests in progress can complete.
const DRAIN_TIME: Duration = Duration::from_millis(1_500);
/// The same in runs with restarts, so that drafts are resumed at gateways in touch.
const RESTART_DRAIN_TIME: Duration = Duration::from_secs(8);
/// The timeouts of routes in runs with stops, longer than a stop takes.
const LONG_TIMEOUT_MS: u64 = 6_000;

/// The faults that a run has, and what they need.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum SoakPlan {
    /// Faults of gateways, of the store and of servers.
    #[default]
    Basic,
    /// Also pauses of servers and series of configurations.
    Extended,
    /// Releases of services of drafts beside gateways that are out of step.
    Release,
    /// Planned stops of gateways before slow servers, floods, and changes of configurations.
    Stops,
    /// Crowds of callers that do not behave, beside stops, kills and changes.
    Crowds,
    /// Gateways that start beside the ones that they replace.
    Starts,
    /// Series of restarts and late reports of servers, beside drafts that are resumed seconds later.
    Restarts,
}

impl SoakPlan {
    /// Returns the first configuration.
    pub(crate) fn config(self) -> SoakConfig {
        match self {
            Self::Basic | Self::Extended => SoakConfig::default(),
            Self::Stops | Self::Starts => SoakConfig {
                stream_timeout_ms: LONG_TIMEOUT_MS,
                plain_timeout_ms: LONG_TIMEOUT_MS,
                has_floods: true,
                ..SoakConfig::default()
            },
            Self::Release => SoakConfig {
                stream_timeout_ms: DRAFT_TIMEOUT_MS,
                draft_services: DRAFT_SERVICES,
                ..SoakConfig::default()
            },
            Self::Restarts => SoakConfig {
                draft_services: RESTART_DRAFT_SERVICES,
                ..SoakConfig::default()
            },
            Self::Crowds => SoakConfig {
                has_floods: true,
                body_limit_bytes: CROWD_BODY_BYTES,
                ..SoakConfig::default()
            },
        }
    }

    /// Returns the number of software versions that each service of drafts has from the start.
    pub(crate) fn draft_versions(self) -> u32 {
        if self == Self::Restarts {
            RESTART_VERSIONS
        } else {
            1
        }
    }

    /// Returns how long callers go on after the last fault.
    pub(crate) fn drain_time(self) -> Duration {
        if self == Self::Restarts {
            RESTART_DRAIN_TIME
        } else {
            DRAIN_TIME
        }
    }

    /// Returns the settings of the gateways.
    pub(crate) fn process_settings(self) -> ProcessSettings {
        match self {
            Self::Basic
            | Self::Extended
            | Self::Release
            | Self::Stops
            | Self::Starts
            | Self::Restarts => ProcessSettings::default(),
            Self::Crowds => ProcessSettings {
                limits: format!("connections = {CROWD_CONNECTION_LIMIT}"),
                ..ProcessSettings::default()
            },
        }
    }
}
