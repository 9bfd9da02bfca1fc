//! Aggregates the measurements of programs and calls by class and formats them as a table.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use hdrhistogram::Histogram;

use crate::run_program::ProgramRecord;

/// The precision of histograms, in significant digits.
const SIGNIFICANT_DIGITS: u8 = 3;

/// A histogram of latencies, in microseconds.
#[derive(Debug, Clone)]
pub struct LatencyHistogram(Histogram<u64>);

impl Default for LatencyHistogram {
    fn default() -> Self {
        let mut histogram = Histogram::new(SIGNIFICANT_DIGITS).expect("three digits are allowed");
        histogram.auto(true);
        Self(histogram)
    }
}

impl LatencyHistogram {
    /// Adds a latency.
    pub fn add(&mut self, took: Duration) {
        let us = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
        // Can't fail: the histogram resizes automatically.
        let _ = self.0.record(us);
    }

    /// Returns the latency at `quantile` (0 to 1), in milliseconds.
    #[must_use]
    #[expect(
        clippy::cast_precision_loss,
        reason = "latencies stay far below 2^53 us"
    )]
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        self.0.value_at_quantile(quantile) as f64 / 1_000.0
    }

    /// Returns the number of latencies added.
    #[must_use]
    pub fn count(&self) -> u64 {
        self.0.len()
    }

    /// Formats the median and the 95th and 99th percentiles, or dashes if the histogram is empty.
    fn format_columns(&self) -> String {
        if self.count() == 0 {
            return format!("{:>8} {:>8} {:>8}", "-", "-", "-");
        }
        let at = |quantile| self.quantile_ms(quantile);
        format!("{:>8.1} {:>8.1} {:>8.1}", at(0.5), at(0.95), at(0.99))
    }
}

/// The aggregated measurements of one class.
#[derive(Debug, Clone, Default)]
pub struct Row {
    /// The number of programs of the class, without sub-agents.
    pub programs: u64,
    /// The number of calls of the class.
    pub calls: u64,
    /// The latency of programs from the first call to the last response.
    pub program_latency: LatencyHistogram,
    /// The latency of calls, including retries.
    pub call_latency: LatencyHistogram,
    /// The time to the first text of streamed answers.
    pub first_text: LatencyHistogram,
    /// The number of prompt and output tokens.
    pub tokens: u64,
    /// The number of prompt tokens.
    pub prompt_tokens: u64,
    /// The number of prompt tokens served from a cache.
    pub cached_tokens: u64,
    /// The number of retries.
    pub retries: u64,
    /// The number of refused attempts.
    pub refusals: u64,
}

/// The aggregated measurements of all programs.
#[derive(Debug, Clone, Default)]
pub struct Report {
    /// The measurements by class.
    pub rows: BTreeMap<String, Row>,
    /// The number of programs that ended.
    pub programs: u64,
    /// The number of programs that finished without a fault.
    pub finished: u64,
    /// The number of sub-agents.
    pub sub_agents: u64,
    /// The number of refused attempts by error code.
    pub refusals: BTreeMap<String, u64>,
    /// The failed calls and unexpected responses.
    pub faults: Vec<String>,
}

impl Report {
    /// Adds the measurements of a program.
    pub fn add(&mut self, record: ProgramRecord) {
        self.programs += 1;
        self.finished += u64::from(record.faults.is_empty());
        self.sub_agents += record.sub_agents;
        self.faults.extend(record.faults);
        let row = self.rows.entry(record.class).or_default();
        row.programs += 1;
        row.program_latency.add(record.took);
        for call in record.calls {
            let row = self.rows.entry(call.class).or_default();
            row.calls += 1;
            row.call_latency.add(call.took);
            if let Some(first_text) = call.first_text {
                row.first_text.add(first_text);
            }
            row.tokens += call.prompt_tokens + call.output_tokens;
            row.prompt_tokens += call.prompt_tokens;
            row.cached_tokens += call.cached_tokens;
            row.retries += call.retries;
            row.refusals += call.refusals.len() as u64;
            for code in call.refusals {
                *self.refusals.entry(code).or_default() += 1;
            }
        }
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<10} {:>8} {:>6} | {:>26} | {:>26} | {:>8} {:>7} {:>8} {:>8}",
            "class",
            "programs",
            "calls",
            "program ms p50/p95/p99",
            "call ms p50/p95/p99",
            "tokens",
            "reused",
            "retries",
            "refusals"
        )?;
        for (class, row) in &self.rows {
            let reused = match row.cached_tokens * 100 {
                _ if row.prompt_tokens == 0 => "-".to_owned(),
                cached => format!("{}%", cached / row.prompt_tokens),
            };
            writeln!(
                f,
                "{class:<10} {:>8} {:>6} | {} | {} | {:>8} {reused:>7} {:>8} {:>8}",
                row.programs,
                row.calls,
                row.program_latency.format_columns(),
                row.call_latency.format_columns(),
                row.tokens,
                row.retries,
                row.refusals
            )?;
        }
        Ok(())
    }
}
