//! The metrics and the state dump of a gateway.

use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Instant;

use actix_http::StatusCode;
use actix_http::header::HeaderMap;
use clementinepick::refusal::Refusal;
use metrics::{counter, gauge, with_local_recorder};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusRecorder};
use serde_json::json;

use crate::gateway::Shared;
use crate::gateway_connection::{Handler, Received};
use crate::gateway_reply::Reply;

/// The counters of one gateway; no global, since tests run several in one program.
pub(crate) struct GatewayMetrics {
    recorder: PrometheusRecorder,
}

impl GatewayMetrics {
    pub(crate) fn new() -> Self {
        let recorder = PrometheusBuilder::new().build_recorder();
        Self { recorder }
    }

    pub(crate) fn count_served(&self) {
        with_local_recorder(&self.recorder, || {
            counter!("clementinepick_requests_total", "outcome" => "served").increment(1);
        });
    }

    pub(crate) fn count_refusal(&self, refusal: Refusal) {
        let outcome = refusal.answer().code;
        with_local_recorder(&self.recorder, || {
            counter!("clementinepick_requests_total", "outcome" => outcome).increment(1);
        });
    }

    fn render(&self, shared: &Shared) -> String {
        let counts = shared.store.counts();
        let programs = shared.budgets.program_count();
        let (turns, turn_bytes) = shared.turns.cached();
        with_local_recorder(&self.recorder, || {
            counter!("clementinepick_store_calls_total").absolute(counts.calls);
            counter!("clementinepick_store_failures_total").absolute(counts.failures);
            counter!("clementinepick_store_relayed_total").absolute(counts.relayed);
            set("clementinepick_programs", programs);
            set("clementinepick_cached_turns", turns);
            set("clementinepick_cached_turn_bytes", turn_bytes);
        });
        self.recorder.handle().render()
    }
}

#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^53")]
fn set(name: &'static str, count: usize) {
    gauge!(name).set(count as f64);
}

/// Serves metrics and the state dump.
pub(crate) struct MetricsHandler {
    pub(crate) shared: Rc<Shared>,
}

impl Handler for MetricsHandler {
    fn handle<'a>(
        &'a self,
        request: &'a Received<'_>,
        reply: &'a mut Reply<'_>,
    ) -> Pin<Box<dyn Future<Output = ()> + 'a>> {
        Box::pin(async move {
            let (status, body) = match request.head.uri().path() {
                "/metrics" => (StatusCode::OK, self.shared.metrics.render(&self.shared)),
                "/state" => (StatusCode::OK, state(&self.shared)),
                _ => (StatusCode::NOT_FOUND, String::new()),
            };
            // If this fails, whoever asked is gone.
            let _ = reply.whole(status, HeaderMap::new(), body.into()).await;
        })
    }
}

/// All that this process believes, as JSON.
fn state(shared: &Shared) -> String {
    let now = Instant::now();
    let directory = shared.directory();
    let age_ms = directory
        .read_at
        .map(|at| u64::try_from(now.duration_since(at).as_millis()).unwrap_or(u64::MAX));
    let choice = shared.choice.borrow();
    let servers: Vec<_> = directory
        .servers
        .servers
        .values()
        .map(|server| {
            json!({
                "id": server.id,
                "service": server.service,
                "address": server.address.to_string(),
                "zone": server.zone,
                "is_draining": server.is_draining,
                "in_flight": choice.in_flight(&server.id),
            })
        })
        .collect();
    let programs = shared.budgets.program_count();
    let (turns, turn_bytes) = shared.turns.cached();
    let state = json!({
        "is_ready": shared.is_ready(now),
        "is_draining": shared.is_draining(),
        "config_version": directory.config.as_ref().map(|config| config.version),
        "lists_age_ms": age_ms,
        "store": {
            "is_away": shared.store.is_away(),
            "is_direct_down": shared.store.is_direct_down(),
        },
        "peers": directory.peers.iter().map(ToString::to_string).collect::<Vec<_>>(),
        "programs": programs,
        "cached_turns": turns,
        "cached_turn_bytes": turn_bytes,
        "servers": servers,
    });
    state.to_string()
}
