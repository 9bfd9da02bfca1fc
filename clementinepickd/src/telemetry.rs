//! Records the metrics of one process.
//!
//! The control thread owns the recorder. It is not global, since tests and demonstrations run
//! several daemons in one program.

use clementinepick::error::ErrorKind;
use clementinepick::event::EventKind;
use clementinepick::units::SpanUs;
use metrics::{counter, gauge, histogram, with_local_recorder};
use metrics_exporter_prometheus::{
    BuildError, PrometheusBuilder, PrometheusHandle, PrometheusRecorder,
};

use crate::log_drain::count_missing_lines;

/// The bucket bounds of the latency histogram, in seconds.
const LATENCY_BUCKETS_S: &[f64] = &[
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0, 60.0, 300.0,
];

pub(crate) struct Telemetry {
    recorder: PrometheusRecorder,
}

impl Telemetry {
    /// Creates a recorder without samples.
    pub(crate) fn new() -> Result<Self, BuildError> {
        let builder = PrometheusBuilder::new().set_buckets(LATENCY_BUCKETS_S)?;
        Ok(Self {
            recorder: builder.build_recorder(),
        })
    }

    /// Returns a handle that renders the metrics from any thread.
    pub(crate) fn handle(&self) -> PrometheusHandle {
        self.recorder.handle()
    }

    /// Counts an event.
    pub(crate) fn record_event(&self, kind: EventKind) {
        with_local_recorder(&self.recorder, || {
            counter!("clementinepick_events_total", "event" => kind.name()).increment(1);
        });
    }

    /// Counts a finished call and records its latency.
    pub(crate) fn record_call(&self, route: &'static str, outcome: &'static str, latency: SpanUs) {
        with_local_recorder(&self.recorder, || {
            counter!("clementinepick_calls_total", "route" => route, "outcome" => outcome)
                .increment(1);
            histogram!("clementinepick_call_seconds", "route" => route).record(latency.as_s_f64());
        });
    }

    /// Counts a request that was refused before it reached the state machine.
    pub(crate) fn record_refusal(&self, kind: ErrorKind) {
        with_local_recorder(&self.recorder, || {
            let outcome = kind.response().code;
            counter!("clementinepick_calls_total", "route" => "none", "outcome" => outcome)
                .increment(1);
        });
    }

    /// Counts the lines that are missing from the log.
    pub(crate) fn count_missing_lines(&self) {
        with_local_recorder(&self.recorder, count_missing_lines);
    }

    /// Sets the gauge `name` to a count.
    #[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^53")]
    pub(crate) fn set_gauge(&self, name: &'static str, count: usize) {
        with_local_recorder(&self.recorder, || {
            gauge!("clementinepick_state", "of" => name).set(count as f64);
        });
    }
}
