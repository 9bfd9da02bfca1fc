//! Tables of how programs and calls went, by class.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use hdrhistogram::Histogram;

use crate::run_program::ProgramRecord;

/// The significant digits that histograms keep.
const DIGITS: u8 = 3;

/// Latencies in microseconds.
#[derive(Debug, Clone)]
pub struct LatencyHistogram(Histogram<u64>);

impl Default for LatencyHistogram {
    fn default() -> Self {
        let mut histogram = Histogram::new(DIGITS).expect("three digits are allowed");
        histogram.auto(true);
        Self(histogram)
    }
}

impl LatencyHistogram {
    /// Adds one.
    pub fn add(&mut self, took: Duration) {
        let us = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
        // A histogram that grows by itself refuses nothing.
        let _ = self.0.record(us);
    }

    /// The latency that this share of all stays under, in milliseconds.
    #[must_use]
    #[expect(
        clippy::cast_precision_loss,
        reason = "latencies stay far below 2^53 us"
    )]
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        self.0.value_at_quantile(quantile) as f64 / 1_000.0
    }

    /// How many were added.
    #[must_use]
    pub fn count(&self) -> u64 {
        self.0.len()
    }

    /// The median and the 95th and 99th percentile, or dashes where there is nothing.
    fn columns(&self) -> String {
        if self.count() == 0 {
            return format!("{:>8} {:>8} {:>8}", "-", "-", "-");
        }
        let at = |quantile| self.quantile_ms(quantile);
        format!("{:>8.1} {:>8.1} {:>8.1}", at(0.5), at(0.95), at(0.99))
    }
}

/// What is counted for one class.
#[derive(Debug, Clone, Default)]
pub struct Row {
    /// Programs of the class, without sub-agents.
    pub programs: u64,
    /// Calls of the class.
    pub calls: u64,
    /// The programs' latency from the first call to the last answer.
    pub program_latency: LatencyHistogram,
    /// The calls' latency.
    pub call_latency: LatencyHistogram,
    /// The time to the first text of a stream.
    pub first_text: LatencyHistogram,
    /// Prompt and output tokens.
    pub tokens: u64,
    /// The prompts' tokens.
    pub prompt_tokens: u64,
    /// The prompts' tokens that came from a cache.
    pub cached_tokens: u64,
    /// How often calls were sent again.
    pub retries: u64,
    /// Answers that said that a call did not run.
    pub refusals: u64,
}

/// What is counted over all programs.
#[derive(Debug, Clone, Default)]
pub struct Report {
    /// The rows by class.
    pub rows: BTreeMap<String, Row>,
    /// The programs that ended.
    pub programs: u64,
    /// Those of them that finished without a fault.
    pub finished: u64,
    /// Their sub-agents.
    pub sub_agents: u64,
    /// Answers that said that a call did not run, by their code.
    pub refusals: BTreeMap<String, u64>,
    /// What was missing, mixed or wrong.
    pub faults: Vec<String>,
}

impl Report {
    /// Adds a program.
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
                row.program_latency.columns(),
                row.call_latency.columns(),
                row.tokens,
                row.retries,
                row.refusals
            )?;
        }
        Ok(())
    }
}
