//! Serves the plain bookings service over HTTP.
//!
//! Besides the paths of the service it accepts `POST /control/down/{ms}`.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use actix_http::{Request, StatusCode};
use clementinepick::units::SpanUs;

use crate::clock::Clock;
use crate::http::{HandlerResult, empty, json_text, lock, path_parts, read_body, sleep};
use crate::plain_service::{PlainRequest, PlainService, PlainSettings};

/// A plain service served over HTTP.
#[derive(Clone)]
pub struct PlainHost {
    service: Arc<Mutex<PlainService>>,
    clock: Clock,
}

impl PlainHost {
    /// Creates a service without holds.
    #[must_use]
    pub fn new(settings: PlainSettings, clock: Clock) -> Self {
        Self {
            service: Arc::new(Mutex::new(PlainService::new(settings))),
            clock,
        }
    }

    /// Returns how often each hold and cancellation was executed, by the caller's id.
    #[must_use]
    pub fn executions(&self) -> BTreeMap<String, u64> {
        lock(&self.service).executions().clone()
    }

    pub(crate) async fn handle(self, mut request: Request) -> HandlerResult {
        let parts = path_parts(&request);
        if let [control, down, ms] = &parts[..]
            && (control.as_str(), down.as_str()) == ("control", "down")
        {
            let until = ms.parse().map(SpanUs::from_ms);
            let Ok(span) = until else {
                return Ok(empty(StatusCode::BAD_REQUEST));
            };
            let until = self.clock.now().after(span);
            lock(&self.service).set_down(until);
            return Ok(empty(StatusCode::NO_CONTENT));
        }
        let key = request.head().headers().get("idempotency-key");
        let plain = PlainRequest {
            method: request.method().as_str().to_owned(),
            path: request.path().to_owned(),
            key: key.and_then(|key| key.to_str().ok()).map(str::to_owned),
            body: read_body(&mut request).await.unwrap_or_default().to_vec(),
        };
        let (reply, delay) = {
            let mut service = lock(&self.service);
            (
                service.handle(self.clock.now(), &plain),
                service.response_delay(),
            )
        };
        sleep(delay).await;
        let status = StatusCode::from_u16(reply.status).unwrap_or_default();
        Ok(json_text(status, reply.body))
    }
}
