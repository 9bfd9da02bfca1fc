//! One sequence of the engine's batch, and the lines of text that it sends.

use clementinepick::call::FinishReason;
use clementinepick::platform::{GenerateBody, GenerateLine};
use clementinepick::prompt::{ChainHash, Segment, estimate_tokens};
use clementinepick::units::Tokens;

use crate::answer::{CHARS_PER_TOKEN, answer_chunk, intended_output_tokens};

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    Waiting,
    Prefilling,
    Decoding { first_step: u64 },
}

/// One sequence that has not ended.
#[derive(Debug, Clone)]
pub(crate) struct Sequence {
    pub(crate) segments: Vec<Segment>,
    pub(crate) chain: ChainHash,
    pub(crate) wanted: Tokens,
    pub(crate) finish: FinishReason,
    pub(crate) matched: usize,
    pub(crate) cached: Tokens,
    pub(crate) prompt: Tokens,
    /// The memory that the answer will fill.
    pub(crate) answer: Tokens,
    /// Memory that is reserved and not yet stored as segments.
    pub(crate) reserved: Tokens,
    pub(crate) phase: Phase,
    /// What went out in lines.
    pub(crate) text: String,
    /// The tokens of `text`.
    pub(crate) sent: Tokens,
}

impl Sequence {
    /// The sequence of a request that waits.
    pub(crate) fn new(body: GenerateBody) -> Self {
        let chain = body.prompt.chain();
        let model_wants = intended_output_tokens(chain, &body.extra);
        let wanted = model_wants.min(body.max_output_tokens).max(Tokens(1));
        Self {
            prompt: body.prompt.length_tokens(),
            segments: body.prompt.segments,
            chain,
            answer: answer_length(wanted),
            wanted,
            finish: if model_wants > wanted {
                FinishReason::Length
            } else {
                FinishReason::Stop
            },
            matched: 0,
            cached: Tokens(0),
            reserved: Tokens(0),
            phase: Phase::Waiting,
            text: String::new(),
            sent: Tokens(0),
        }
    }

    /// The cache memory that prompt and answer fill.
    pub(crate) fn peak_memory(&self) -> Tokens {
        self.prompt + self.answer
    }
}

/// The length of an answer's segment, which is that of its text as a message.
fn answer_length(count: Tokens) -> Tokens {
    let chars = usize::try_from(count.0 * CHARS_PER_TOKEN).unwrap_or(usize::MAX);
    estimate_tokens(&" ".repeat(chars))
}

pub(crate) fn total_length(segments: &[Segment]) -> Tokens {
    segments.iter().map(|segment| segment.length_tokens).sum()
}

pub(crate) fn text_line(chain: ChainHash, from: Tokens, until: Tokens) -> GenerateLine {
    GenerateLine::Text {
        position: from.0 * CHARS_PER_TOKEN,
        text: answer_chunk(chain, from, until),
        count_tokens: until - from,
    }
}

/// The line for all of the first `count` tokens that lies after `position`.
pub(crate) fn text_after(chain: ChainHash, count: Tokens, position: u64) -> Vec<GenerateLine> {
    let from = Tokens(position / CHARS_PER_TOKEN);
    if from >= count {
        return Vec::new();
    }
    let mut line = text_line(chain, from, count);
    if let GenerateLine::Text {
        position: at, text, ..
    } = &mut line
    {
        let skipped = position - *at;
        *at = position;
        text.drain(..usize::try_from(skipped).unwrap_or_default());
    }
    vec![line]
}
