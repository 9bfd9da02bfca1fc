//! Defines a sequence of the engine's batch and builds the text lines that it sends.

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

/// A waiting or running sequence.
#[derive(Debug, Clone)]
pub(crate) struct Sequence {
    pub(crate) segments: Vec<Segment>,
    pub(crate) chain: ChainHash,
    pub(crate) wanted: Tokens,
    pub(crate) finish: FinishReason,
    pub(crate) matched: usize,
    pub(crate) cached: Tokens,
    pub(crate) prompt: Tokens,
    /// The memory that the complete answer occupies.
    pub(crate) answer: Tokens,
    /// Reserved memory that is not yet used by stored segments.
    pub(crate) reserved: Tokens,
    pub(crate) phase: Phase,
    /// The text sent so far.
    pub(crate) text: String,
    /// The number of tokens in `text`.
    pub(crate) sent: Tokens,
}

impl Sequence {
    /// Returns the waiting sequence of a request.
    pub(crate) fn new(body: GenerateBody) -> Self {
        let chain = body.prompt.chain();
        let unlimited = intended_output_tokens(chain, &body.extra);
        let wanted = unlimited.min(body.max_output_tokens).max(Tokens(1));
        Self {
            prompt: body.prompt.length_tokens(),
            segments: body.prompt.segments,
            chain,
            answer: answer_length(wanted),
            wanted,
            finish: if unlimited > wanted {
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

    /// Returns the cache memory that the prompt and the complete answer occupy.
    pub(crate) fn peak_memory(&self) -> Tokens {
        self.prompt + self.answer
    }
}

/// Returns the length of the segment of an answer of `count` tokens: that of its text as a message.
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

/// Returns a line with the text of the first `count` tokens after the character offset `position`;
/// empty if there is none.
pub(crate) fn text_after(chain: ChainHash, count: Tokens, position: u64) -> Vec<GenerateLine> {
    let from = Tokens(position / CHARS_PER_TOKEN);
    if from >= count {
        return Vec::new();
    }
    let mut line = text_line(chain, from, count);
    if let GenerateLine::Text {
        position: start,
        text,
        ..
    } = &mut line
    {
        let skipped = position - *start;
        *start = position;
        text.drain(..usize::try_from(skipped).unwrap_or_default());
    }
    vec![line]
}
