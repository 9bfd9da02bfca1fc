//! Defines what each plan of a soak starts.

use crate::soak_config::SoakConfig;
use crate::soak_crowds::{CROWD_BODY_BYTES, CROWD_CONNECTION_LIMIT};
use crate::soak_process::ProcessSettings;
use crate::soak_release_servers::DRAFT_SERVICES;

/// The timeout of the routes of drafts in runs with releases: a sole version must have been listed for
/// twice as long.
pub(crate) const DRAFT_TIMEOUT_MS: u64 = 1_000;
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
}

impl SoakPlan {
    /// Returns the first configuration.
    pub(crate) fn config(self) -> SoakConfig {
        match self {
            Self::Basic | Self::Extended => SoakConfig::default(),
            Self::Stops => SoakConfig {
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
            Self::Crowds => SoakConfig {
                has_floods: true,
                body_limit_bytes: CROWD_BODY_BYTES,
                ..SoakConfig::default()
            },
        }
    }

    /// Returns the settings of the gateways.
    pub(crate) fn process_settings(self) -> ProcessSettings {
        match self {
            Self::Basic | Self::Extended | Self::Release | Self::Stops => {
                ProcessSettings::default()
            }
            Self::Crowds => ProcessSettings {
                limits: format!("connections = {CROWD_CONNECTION_LIMIT}"),
                ..ProcessSettings::default()
            },
        }
    }
}
