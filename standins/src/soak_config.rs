//! Defines the configurations of a soak, each of which has a route that no other version has.

use std::time::Duration;

use crate::platform_run::{HOST, MODEL_SERVICE, PLAIN_SERVICE};
use crate::soak_history::{RequestKind, TOKENS_PER_EVENT, is_turn};

/// The service to which a configuration may move the routes of turns.
pub const OTHER_MODEL_SERVICE: &str = "models-b";
/// The service to which a configuration may move the other routes.
pub const OTHER_PLAIN_SERVICE: &str = "plain-b";

/// The service whose responses never end.
pub const FLOOD_SERVICE: &str = "floods";

/// The idle limits of callers' connections, short enough that a run reaches them.
const IDLE_LIMITS_MS: [u64; 4] = [800, 1_200, 2_000, 3_000];
const STREAM_TIMEOUTS_MS: [u64; 3] = [2_500, 3_200, 4_000];
const PLAIN_TIMEOUTS_MS: [u64; 3] = [1_200, 2_000, 2_800];

/// What differs between the versions of the configuration, besides the route of the version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SoakConfig {
    /// How long a caller's connection may be idle, in milliseconds.
    pub idle_limit_ms: u64,
    /// The timeout of the routes of turns, in milliseconds.
    pub stream_timeout_ms: u64,
    /// The timeout of the other routes, in milliseconds.
    pub plain_timeout_ms: u64,
    /// The service of the routes of turns.
    pub model_service: &'static str,
    /// The service of the other routes.
    pub plain_service: &'static str,
    /// The number of services of drafts, each with a route of its own.
    pub draft_services: usize,
    /// Whether there are routes to servers whose responses never end.
    pub has_floods: bool,
    /// The largest body that callers may send, in bytes.
    pub body_limit_bytes: usize,
}

impl Default for SoakConfig {
    fn default() -> Self {
        Self {
            idle_limit_ms: 5_000,
            stream_timeout_ms: 2_500,
            plain_timeout_ms: 1_200,
            model_service: MODEL_SERVICE,
            plain_service: PLAIN_SERVICE,
            draft_services: 0,
            has_floods: false,
            body_limit_bytes: 100_000,
        }
    }
}

impl SoakConfig {
    /// Returns a configuration that differs in one respect, which `random_value` selects.
    #[must_use]
    pub fn changed(self, random_value: u64) -> Self {
        let value = random_value / 4;
        match random_value % 4 {
            0 => Self {
                idle_limit_ms: choose_other(&IDLE_LIMITS_MS, self.idle_limit_ms, value),
                ..self
            },
            1 => Self {
                stream_timeout_ms: choose_other(&STREAM_TIMEOUTS_MS, self.stream_timeout_ms, value),
                plain_timeout_ms: choose_other(&PLAIN_TIMEOUTS_MS, self.plain_timeout_ms, value),
                ..self
            },
            2 => Self {
                model_service: other(self.model_service, MODEL_SERVICE, OTHER_MODEL_SERVICE),
                ..self
            },
            _ => Self {
                plain_service: other(self.plain_service, PLAIN_SERVICE, OTHER_PLAIN_SERVICE),
                ..self
            },
        }
    }

    /// Returns the timeout of the route that serves requests of a kind.
    #[must_use]
    pub fn timeout(&self, kind: &RequestKind) -> Duration {
        Duration::from_millis(if is_turn(kind) {
            self.stream_timeout_ms
        } else {
            self.plain_timeout_ms
        })
    }

    /// Returns the configuration as JSON; it lists only the services that its routes name.
    #[must_use]
    pub fn text(&self, version: u64) -> String {
        let Self {
            idle_limit_ms,
            stream_timeout_ms,
            plain_timeout_ms,
            model_service,
            plain_service,
            draft_services,
            has_floods,
            body_limit_bytes,
        } = self;
        let route = |path: &str, more: &str| {
            format!(r#"{{"Name":"{path}","Host":"{HOST}","PathPrefix":"/{path}/",{more}}}"#)
        };
        let stream_at = |service: &str| {
            format!(
                r#""Kind":"streaming","TimeoutMs":{stream_timeout_ms},"TargetLatencyMs":100,"GapTargetMs":150,"Service":"{service}","RetainS":60.0,"Sticky":true,"Attempts":2"#
            )
        };
        let engine = |service: &str| {
            format!(
                r#"{{"Name":"{service}","HealthPath":"/healthz","MaxConns":50,"Engine":{{"Stride":{TOKENS_PER_EVENT}}}}}"#
            )
        };
        let stream = stream_at(model_service);
        let plain = format!(
            r#""TimeoutMs":{plain_timeout_ms},"TargetLatencyMs":50,"Service":"{plain_service}","Attempts":2"#
        );
        let drafts = (0..*draft_services).map(draft_service);
        let draft_routes = drafts.clone().map(|service| {
            let stream = stream_at(&service);
            route(&service, &format!(r#"{stream},"Resumable":true"#))
        });
        let engines: Vec<String> = [(*model_service).to_owned()]
            .into_iter()
            .chain(drafts)
            .chain(has_floods.then(|| FLOOD_SERVICE.to_owned()))
            .map(|service| engine(&service))
            .collect();
        let engines = engines.join(",");
        let routes = [
            route("chat", &format!(r#"{stream},"KeepContext":true"#)),
            route("draft", &format!(r#"{stream},"Resumable":true"#)),
            route("look", &format!(r#""Kind":"idempotent",{plain}"#)),
            route("book", &format!(r#""Kind":"non_idempotent",{plain}"#)),
            route(
                &format!("version-{version}"),
                &format!(r#""Kind":"idempotent",{plain}"#),
            ),
        ];
        let flood_stream = stream_at(FLOOD_SERVICE);
        let flood_routes = has_floods.then(|| {
            let call = format!(
                r#""Kind":"idempotent","TimeoutMs":{plain_timeout_ms},"TargetLatencyMs":50,"Service":"{FLOOD_SERVICE}","Attempts":2"#
            );
            let stream = format!(r#"{flood_stream},"KeepContext":true"#);
            [route("flood", &call), route("flood-chat", &stream)]
        });
        let routes: Vec<String> = routes
            .into_iter()
            .chain(draft_routes)
            .chain(flood_routes.into_iter().flatten())
            .collect();
        let routes = routes.join(",");
        format!(
            r#"{{"Version":{version},"Routes":[{routes}],"Services":[{engines},{{"Name":"{plain_service}","HealthPath":"/healthz","MaxConns":50}}],"Limits":{{"MaxHeaderBytes":4096,"MaxBodyBytes":{body_limit_bytes},"HeaderTimeoutMs":1000,"IdleTimeoutMs":{idle_limit_ms}}}}}"#
        )
    }
}

/// Returns the name of a service of drafts, which is also that of its route.
#[must_use]
pub fn draft_service(number: usize) -> String {
    format!("drafts-{number}")
}

/// Returns one of `values` that is not `current`.
fn choose_other(values: &[u64], current: u64, random_value: u64) -> u64 {
    let others = || values.iter().filter(|value| **value != current);
    let number = usize::try_from(random_value % others().count() as u64).unwrap_or(0);
    others().nth(number).copied().unwrap_or(current)
}

fn other(current: &str, first: &'static str, second: &'static str) -> &'static str {
    if current == first { second } else { first }
}
