//! Simulates a plain bookings service with holds, availability checks and cancellations.
//!
//! It counts the executions of each call, which reveals calls that were executed twice.

use std::collections::BTreeMap;

use clementinepick::units::{SpanUs, TimeUs};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

/// Settings of a plain service.
#[derive(Debug, Clone)]
pub struct PlainSettings {
    /// Delay of a response.
    pub response_us: SpanUs,
}

impl Default for PlainSettings {
    fn default() -> Self {
        Self {
            response_us: SpanUs::from_ms(5),
        }
    }
}

/// A request to the service.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PlainRequest {
    /// Method in upper case.
    pub method: String,
    /// Path with the query.
    pub path: String,
    /// Idempotency key, if the caller sent one.
    pub key: Option<String>,
    /// Body.
    pub body: Vec<u8>,
}

/// A response of the service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlainReply {
    /// HTTP status.
    pub status: u16,
    /// JSON body.
    pub body: String,
}

/// Body of a request to hold a slot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HoldBody {
    /// Id that the caller gave to the hold.
    pub id: String,
    /// Telescope slot.
    pub slot: String,
}

/// Body of a request to cancel a hold.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancellationBody {
    /// Id that the caller gave to the cancellation.
    pub id: String,
    /// Hold to cancel.
    pub hold: String,
}

/// A plain bookings service, which executes duplicates of a request again.
#[derive(Debug, Default)]
pub struct PlainService {
    settings: PlainSettings,
    holds: BTreeMap<String, String>,
    executions: BTreeMap<String, u64>,
    down_until_us: TimeUs,
}

impl PlainService {
    /// Creates a service without holds.
    #[must_use]
    pub fn new(settings: PlainSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Returns the delay of a response.
    #[must_use]
    pub const fn response_delay(&self) -> SpanUs {
        self.settings.response_us
    }

    /// Rejects all requests with 503 until `until`.
    pub fn set_down(&mut self, until: TimeUs) {
        self.down_until_us = until;
    }

    /// Returns how often each hold and cancellation was executed, by idempotency key or else by id.
    #[must_use]
    pub const fn executions(&self) -> &BTreeMap<String, u64> {
        &self.executions
    }

    /// Returns the ids that were executed more than once.
    #[must_use]
    pub fn duplicate_executions(&self) -> Vec<&str> {
        let duplicates = self.executions.iter().filter(|(_, count)| **count > 1);
        duplicates.map(|(id, _)| id.as_str()).collect()
    }

    /// Executes one request; its effect remains even if the response is lost on its way.
    pub fn handle(&mut self, now: TimeUs, request: &PlainRequest) -> PlainReply {
        if now < self.down_until_us {
            return reply(503, &json!({ "error": "down" }));
        }
        let path = request.path.split('?').next().unwrap_or_default();
        match (request.method.as_str(), path) {
            ("POST", "/holds") => self.hold(request),
            ("POST", "/cancellations") => self.cancel(request),
            ("GET", "/executions") => reply(200, &json!(self.executions)),
            ("GET", path) => match path.strip_prefix("/availability/") {
                Some(slot) => self.availability(slot),
                None => reply(404, &json!({ "error": "no such path" })),
            },
            _ => reply(404, &json!({ "error": "no such path" })),
        }
    }

    fn hold(&mut self, request: &PlainRequest) -> PlainReply {
        let Ok(body) = serde_json::from_slice::<HoldBody>(&request.body) else {
            return invalid_body();
        };
        self.count(request, &body.id);
        self.holds.insert(body.id.clone(), body.slot.clone());
        reply(
            201,
            &json!({ "hold": body.id, "slot": body.slot, "state": "held" }),
        )
    }

    fn cancel(&mut self, request: &PlainRequest) -> PlainReply {
        let Ok(body) = serde_json::from_slice::<CancellationBody>(&request.body) else {
            return invalid_body();
        };
        self.count(request, &body.id);
        let held = self.holds.remove(&body.hold).is_some();
        let state = if held { "cancelled" } else { "not held" };
        reply(
            200,
            &json!({ "cancellation": body.id, "hold": body.hold, "state": state }),
        )
    }

    fn availability(&self, slot: &str) -> PlainReply {
        let held = self.holds.values().filter(|held| *held == slot).count();
        reply(200, &json!({ "slot": slot, "holds": held }))
    }

    fn count(&mut self, request: &PlainRequest, id: &str) {
        let id = request.key.as_deref().unwrap_or(id).to_owned();
        *self.executions.entry(id).or_default() += 1;
    }
}

fn invalid_body() -> PlainReply {
    reply(400, &json!({ "error": "the body is not as expected" }))
}

fn reply(status: u16, body: &Value) -> PlainReply {
    PlainReply {
        status,
        body: body.to_string(),
    }
}
