//! The tools that programs call between their turns: each takes its time, and some hang.

use std::collections::BTreeMap;

use clementinepick::ids::ToolName;
use clementinepick::units::{Percent, SpanUs};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha12Rng;

/// How one tool behaves.
#[derive(Debug, Clone)]
pub struct ToolSettings {
    /// Half of the calls take longer than this.
    pub median_us: SpanUs,
    /// How often the time may double or halve from the median: 2 means a quarter to four times.
    pub spread_octaves: u32,
    /// The share of calls that never end.
    pub hangs: Percent,
    /// The characters of a result.
    pub result_chars: usize,
}

impl Default for ToolSettings {
    fn default() -> Self {
        Self {
            median_us: SpanUs::from_ms(500),
            spread_octaves: 2,
            hangs: Percent::default(),
            result_chars: 200,
        }
    }
}

/// What becomes of a tool call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ToolOutcome {
    /// It answers.
    Answers {
        /// After this time.
        after_us: SpanUs,
        /// With this text.
        text: String,
    },
    /// It never answers.
    Hangs,
}

/// The tool service.
#[derive(Debug)]
pub struct ToolService {
    tools: BTreeMap<ToolName, ToolSettings>,
    rng: ChaCha12Rng,
    calls: u64,
}

impl ToolService {
    /// A service with these tools; others behave by the default settings.
    #[must_use]
    pub fn new(tools: BTreeMap<ToolName, ToolSettings>, seed: u64) -> Self {
        Self {
            tools,
            rng: ChaCha12Rng::seed_from_u64(seed),
            calls: 0,
        }
    }

    /// Calls a tool.
    pub fn call(&mut self, tool: &ToolName) -> ToolOutcome {
        self.calls += 1;
        let settings = self.tools.get(tool).cloned().unwrap_or_default();
        if self.rng.random_range(0..100) < u8::from(settings.hangs) {
            return ToolOutcome::Hangs;
        }
        let text = format!("result {} of {tool} ", self.calls);
        let copies = settings.result_chars / text.len() + 1;
        ToolOutcome::Answers {
            after_us: self.draw(&settings),
            text: text.repeat(copies),
        }
    }

    /// Draws a time whose logarithm is the sum of two even draws, so that the middle is likelier.
    fn draw(&mut self, settings: &ToolSettings) -> SpanUs {
        let octaves = f64::from(settings.spread_octaves);
        let exponent = (self.rng.random::<f64>() + self.rng.random::<f64>() - 1.0) * octaves;
        let factor_milli = (exponent.exp2() * 1_000.0).round();
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a power of two is positive, and spreads are a few octaves"
        )]
        let factor_milli = factor_milli as u64;
        SpanUs(settings.median_us.0.saturating_mul(factor_milli) / 1_000)
    }
}
