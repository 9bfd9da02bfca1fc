//! Records a gateway's metrics and serves them, the state dump and ledger queries.

use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::{Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, Instant};

use actix_http::StatusCode;
use actix_http::header::{self, HeaderMap, HeaderValue};
use metrics::{counter, gauge, histogram, with_local_recorder};
use metrics_exporter_prometheus::{BuildError, PrometheusBuilder, PrometheusRecorder};
use serde_json::json;

use crate::connections::{Connections, LimitKind};
use crate::gateway_connection::Handler;
use crate::gateway_ledger_query;
use crate::gateway_receive::ReceivedRequest;
use crate::gateway_reply::Reply;
use crate::gateway_shared::Shared;
use crate::log_drain::count_missing_lines;

/// The bucket bounds of the latency histograms, in seconds: from a lookup to the longest timeout.
const LATENCY_BUCKETS_S: &[f64] = &[
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 30.0,
];

/// The maximum number of updates that wait for the recorder; further ones are lost.
const MAX_PENDING_UPDATES: usize = 16_384;

/// An update of a metric.
type Update = Box<dyn FnOnce() + Send>;

/// The metrics of one gateway. The recorder is not global, because tests run several gateways in
/// one process.
#[derive(Default)]
pub(crate) struct GatewayMetrics {
    recorder: OnceLock<PrometheusRecorder>,
    /// The updates from before there was a recorder.
    pending: Mutex<Vec<Update>>,
    unreadable: Mutex<UnreadableAnswers>,
}

/// The answers of the store that can't be read.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct UnreadableAnswers {
    /// Their number since the start of the process.
    pub(crate) count: u64,
    /// The status of the last one; zero before the first.
    pub(crate) last_status: u16,
}

/// Returns the builder of a recorder.
pub(crate) fn recorder_builder() -> Result<PrometheusBuilder, BuildError> {
    PrometheusBuilder::new().set_buckets(LATENCY_BUCKETS_S)
}

impl GatewayMetrics {
    #[cfg(test)]
    pub(crate) fn new() -> Result<Self, BuildError> {
        let metrics = Self::default();
        metrics.build_recorder(recorder_builder()?);
        Ok(metrics)
    }

    /// Builds the recorder, and makes the updates that wait for it.
    ///
    /// The recorder calibrates its clock in a busy loop, for up to 200 ms on a busy processor.
    pub(crate) fn build_recorder(&self, builder: PrometheusBuilder) {
        let recorder = builder.build_recorder();
        let mut pending = lock(&self.pending);
        with_local_recorder(&recorder, || {
            for update in std::mem::take(&mut *pending) {
                update();
            }
        });
        self.recorder.get_or_init(|| recorder);
    }

    fn update(&self, update: impl FnOnce() + Send + 'static) {
        if let Some(recorder) = self.recorder.get() {
            return with_local_recorder(recorder, update);
        }
        let mut pending = lock(&self.pending);
        match self.recorder.get() {
            Some(recorder) => with_local_recorder(recorder, update),
            None if pending.len() < MAX_PENDING_UPDATES => pending.push(Box::new(update)),
            None => {}
        }
    }

    /// Counts an answer of the store that can't be read.
    pub(crate) fn count_unreadable(&self, purpose: &'static str, status: u16) {
        self.update(move || {
            counter!("clementinepick_store_unreadable_total", "purpose" => purpose).increment(1);
        });
        let mut unreadable = lock(&self.unreadable);
        unreadable.count += 1;
        unreadable.last_status = status;
    }

    /// Counts items of a page of the store that can't be read.
    pub(crate) fn count_unreadable_items(&self, purpose: &'static str, count: usize) {
        self.update(move || {
            counter!("clementinepick_store_unreadable_items_total", "purpose" => purpose)
                .increment(count as u64);
        });
    }

    pub(crate) fn unreadable_answers(&self) -> UnreadableAnswers {
        *lock(&self.unreadable)
    }

    /// Counts a finished request and records its duration.
    pub(crate) fn count_request(&self, kind: &'static str, outcome: &'static str, took: Duration) {
        self.update(move || {
            counter!("clementinepick_requests_total", "outcome" => outcome).increment(1);
            histogram!("clementinepick_request_seconds", "kind" => kind, "outcome" => outcome)
                .record(took.as_secs_f64());
        });
    }

    /// Counts a request that was sent to another server.
    pub(crate) fn count_retry(&self, kind: &'static str) {
        self.update(move || {
            counter!("clementinepick_retries_total", "kind" => kind).increment(1);
        });
    }

    /// Counts a silent server: it was `kept`, since no other could take over, or the request `moved`.
    pub(crate) fn count_silence(&self, outcome: &'static str) {
        self.update(move || {
            counter!("clementinepick_silent_servers_total", "outcome" => outcome).increment(1);
        });
    }

    /// Counts a lost response by what became of its server.
    pub(crate) fn count_lost_response(&self, fate: &'static str) {
        self.update(move || {
            counter!("clementinepick_lost_responses_total", "fate" => fate).increment(1);
        });
    }

    /// Counts a stream that is resumed `by` the gateway within one answer or by its caller.
    pub(crate) fn count_resumed(&self, by: &'static str) {
        self.update(move || {
            counter!("clementinepick_streams_resumed_total", "by" => by).increment(1);
        });
    }

    /// Counts reads of the list of servers and the versions of services for a stream whose origin is
    /// unknown.
    pub(crate) fn count_version_refresh(&self, outcome: &'static str) {
        self.update(move || {
            counter!("clementinepick_version_refreshes_total", "outcome" => outcome).increment(1);
        });
    }

    /// Counts a stream that was not resumed because its origin was not found.
    pub(crate) fn count_missing_origin(&self, reason: &'static str) {
        self.update(move || {
            counter!("clementinepick_origins_missing_total", "reason" => reason).increment(1);
        });
    }

    /// Counts origins of streams that a peer did not take.
    pub(crate) fn count_lost_origins(&self, count: usize) {
        self.update(move || {
            counter!("clementinepick_origin_copies_lost_total").increment(count as u64);
        });
    }

    /// Counts a panic or an unexpected end of a task, or of a part of its work.
    pub(crate) fn count_task_panic(&self, task: &'static str) {
        self.update(move || {
            counter!("clementinepick_task_panics_total", "task" => task).increment(1);
        });
    }

    /// Counts an attempt of a store call and records its duration.
    pub(crate) fn count_store_call(
        &self,
        purpose: &'static str,
        outcome: &'static str,
        took: Duration,
    ) {
        self.update(move || {
            counter!("clementinepick_store_calls_total", "purpose" => purpose, "outcome" => outcome)
                .increment(1);
            histogram!("clementinepick_store_call_seconds", "outcome" => outcome)
                .record(took.as_secs_f64());
        });
    }

    /// Aggregates the histograms' samples.
    ///
    /// The recorder keeps each sample until it is scraped; without this, a process that serves 44
    /// requests a second and is not scraped would grow by 30 MB a day.
    pub(crate) fn aggregate_histograms(&self) {
        if let Some(recorder) = self.recorder.get() {
            recorder.handle().run_upkeep();
        }
    }

    /// Returns the metrics that are recorded.
    #[cfg(test)]
    pub(crate) fn text(&self) -> String {
        let recorder = self.recorder.get();
        recorder.map_or_else(String::new, |recorder| recorder.handle().render())
    }

    /// Returns the metrics as text, which is empty before there is a recorder.
    fn render(&self, shared: &Shared) -> String {
        let Some(recorder) = self.recorder.get() else {
            return String::new();
        };
        let counts = shared.store.counts();
        let programs = shared.budgets.program_count();
        let (turns, turn_bytes) = shared.turns.cache_size();
        with_local_recorder(recorder, || {
            counter!("clementinepick_store_relayed_total").absolute(counts.relayed);
            set_gauge("clementinepick_programs", programs);
            set_gauge("clementinepick_stream_origins", shared.origins.len());
            set_gauge("clementinepick_requests_with_ends", shared.ended.len());
            set_gauge("clementinepick_cached_turns", turns);
            set_gauge("clementinepick_cached_turn_bytes", turn_bytes);
            set_gauge(
                "clementinepick_store_away",
                usize::from(shared.store.is_unavailable()),
            );
            count_missing_lines();
            for (listener, connections) in shared.connections.by_name() {
                set_connection_metrics(listener, connections);
            }
        });
        recorder.handle().render()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn set_gauge(name: &'static str, count: usize) {
    gauge!(name).set(to_f64(count));
}

#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^53")]
fn to_f64(count: usize) -> f64 {
    count as f64
}

fn set_connection_metrics(listener: &'static str, connections: &Connections) {
    let used = usize::try_from(connections.used().0).unwrap_or(usize::MAX);
    gauge!("clementinepick_connections", "listener" => listener)
        .set(to_f64(connections.open_count()));
    gauge!("clementinepick_connection_bytes", "listener" => listener).set(to_f64(used));
    let gave_way = connections.gave_way();
    for (limit, count) in [
        (LimitKind::Memory, gave_way.by_memory),
        (LimitKind::Connections, gave_way.by_connections),
    ] {
        let limit = limit.label();
        counter!("clementinepick_connections_gave_way_total", "listener" => listener, "limit" => limit)
            .absolute(count);
    }
    counter!("clementinepick_connection_claims_refused_total", "listener" => listener)
        .absolute(gave_way.refused);
}

/// Serves metrics, the state dump and ledger queries.
pub(crate) struct MetricsHandler {
    pub(crate) shared: Rc<Shared>,
}

impl Handler for MetricsHandler {
    fn handle<'a>(
        &'a self,
        request: &'a ReceivedRequest<'_>,
        reply: &'a mut Reply<'_>,
    ) -> Pin<Box<dyn Future<Output = ()> + 'a>> {
        Box::pin(async move {
            let path = request.head.uri().path();
            let (status, body) = match path {
                "/metrics" => (StatusCode::OK, self.shared.metrics.render(&self.shared)),
                "/state" => (StatusCode::OK, state_dump(&self.shared)),
                "/ledger" => {
                    let query = request.head.uri().query().unwrap_or_default();
                    gateway_ledger_query::handle_query(&self.shared, query).await
                }
                _ => (StatusCode::NOT_FOUND, String::new()),
            };
            // A failure means that the client has disconnected.
            let _ = reply
                .send_full(status, content_type(path), body.into())
                .await;
        })
    }
}

/// Returns the headers with the content type; clients reject JSON without it.
fn content_type(path: &str) -> HeaderMap {
    let kind = if path == "/metrics" {
        "text/plain; version=0.0.4"
    } else {
        "application/json"
    };
    let mut headers = HeaderMap::new();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(kind));
    headers
}

/// Returns the state of this process as JSON.
fn state_dump(shared: &Shared) -> String {
    let now = Instant::now();
    let directory = shared.directory();
    let age_ms = directory
        .as_of()
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
                "version": server.version,
                "is_draining": server.is_draining,
                "in_flight": choice.in_flight(&server.id),
            })
        })
        .collect();
    let programs = shared.budgets.program_count();
    let (turns, turn_bytes) = shared.turns.cache_size();
    let state = json!({
        "is_ready": shared.is_ready(now),
        "is_draining": shared.is_draining(),
        "failing_tasks": shared.tasks.failing(now),
        "config_version": directory.config.as_ref().map(|config| config.version),
        "lists_age_ms": age_ms,
        "store": {
            "is_away": shared.store.is_unavailable(),
            "is_direct_down": shared.store.is_direct_down(),
        },
        "peers": directory.peers.iter().map(ToString::to_string).collect::<Vec<_>>(),
        "programs": programs,
        "stream_origins": shared.origins.len(),
        "requests_with_ends": shared.ended.len(),
        "cached_turns": turns,
        "cached_turn_bytes": turn_bytes,
        "caller_connections": shared.connections.callers.open_count(),
        "caller_bytes": shared.connections.callers.used().0,
        "response_bytes": shared.response_memory.used().0,
        "servers": servers,
    });
    state.to_string()
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against updates that take memory for ever since the recorder was never built.
    #[test]
    fn updates_without_a_recorder_are_limited() {
        let metrics = GatewayMetrics::default();
        for _ in 0..=MAX_PENDING_UPDATES {
            metrics.count_task_panic("early");
        }
        assert_eq!(lock(&metrics.pending).len(), MAX_PENDING_UPDATES);
    }

    /// Guards against a start whose first calls are in no metric.
    #[test]
    fn updates_from_before_the_recorder_are_counted() {
        let metrics = GatewayMetrics::default();
        metrics.count_task_panic("early");
        metrics.build_recorder(recorder_builder().expect("valid buckets"));
        metrics.count_task_panic("late");
        let text = metrics.text();
        for task in ["early", "late"] {
            let counted = format!("clementinepick_task_panics_total{{task=\"{task}\"}} 1");
            assert!(text.contains(&counted), "{text}");
        }
    }
}
