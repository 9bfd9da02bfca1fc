//! A plain bookings service: seat holds, availability checks and cancellations. It counts what it
//! runs, so that a call that ran twice is seen.

use std::collections::BTreeMap;

use clementinepick::units::{SpanUs, TimeUs};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

/// How a plain service behaves.
#[derive(Debug, Clone)]
pub struct PlainSettings {
    /// How long an answer takes.
    pub response_us: SpanUs,
}

impl Default for PlainSettings {
    fn default() -> Self {
        Self {
            response_us: SpanUs::from_ms(5),
        }
    }
}

/// One request as the service sees it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PlainRequest {
    /// The method, in capitals.
    pub method: String,
    /// The path.
    pub path: String,
    /// The caller's idempotency key.
    pub key: Option<String>,
    /// The body.
    pub body: Vec<u8>,
}

/// The service's answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlainReply {
    /// The HTTP status.
    pub status: u16,
    /// The JSON body.
    pub body: String,
}

/// What a caller asks to hold.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HoldBody {
    /// The caller's id of the hold.
    pub id: String,
    /// The telescope slot.
    pub slot: String,
}

/// What a caller asks to cancel.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancellationBody {
    /// The caller's id of the cancellation.
    pub id: String,
    /// The hold to cancel.
    pub hold: String,
}

/// The service; it does what it is asked each time it is asked, also twice.
#[derive(Debug, Default)]
pub struct PlainService {
    settings: PlainSettings,
    holds: BTreeMap<String, String>,
    executions: BTreeMap<String, u64>,
    down_until_us: TimeUs,
}

impl PlainService {
    /// A service without holds.
    #[must_use]
    pub fn new(settings: PlainSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// How long an answer takes.
    #[must_use]
    pub const fn response_delay(&self) -> SpanUs {
        self.settings.response_us
    }

    /// Refuses everything with 503 until `until`.
    pub fn set_down(&mut self, until: TimeUs) {
        self.down_until_us = until;
    }

    /// How often each hold and cancellation ran, by the caller's id.
    #[must_use]
    pub const fn executions(&self) -> &BTreeMap<String, u64> {
        &self.executions
    }

    /// The ids that ran more than once.
    #[must_use]
    pub fn duplicate_executions(&self) -> Vec<&str> {
        let doubled = self.executions.iter().filter(|(_, count)| **count > 1);
        doubled.map(|(id, _)| id.as_str()).collect()
    }

    /// Runs one request; its effect is there even when the answer gets lost on its way.
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
            return bad_body();
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
            return bad_body();
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

fn bad_body() -> PlainReply {
    reply(400, &json!({ "error": "the body is not as expected" }))
}

fn reply(status: u16, body: &Value) -> PlainReply {
    PlainReply {
        status,
        body: body.to_string(),
    }
}
