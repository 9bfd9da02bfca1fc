//! Generates the model output of the engine stand-in.
//!
//! The output is a pure function of the prompt, so a caller can check that it received the complete
//! answer to its own call.

use std::collections::BTreeMap;

use clementinepick::prompt::{ChainHash, Segment, estimate_tokens};
use clementinepick::units::Tokens;
use serde_json::Value;

/// The field of a chat request body that sets how many tokens the model generates before limits.
pub const OUTPUT_TOKENS_FIELD: &str = "standin_output_tokens";
/// The number of characters per token; all characters are ASCII.
pub const CHARS_PER_TOKEN: u64 = 4;

/// The maximum output length in tokens when the request body does not set one.
const DEFAULT_MAX_OUTPUT_TOKENS: u64 = 128;
const LETTERS: &[u8; 32] = b"abcdefghijklmnopqrstuvwxyzabcdef";

/// Returns the complete answer of `count` tokens to the prompt that ends in `chain`.
#[must_use]
pub fn answer_text(chain: ChainHash, count: Tokens) -> String {
    answer_chunk(chain, Tokens(0), count)
}

/// Returns the text of the answer's tokens in the range `from..until`.
#[must_use]
pub fn answer_chunk(chain: ChainHash, from: Tokens, until: Tokens) -> String {
    let count = until.saturating_sub(from).0 * CHARS_PER_TOKEN;
    let mut text = Vec::with_capacity(usize::try_from(count).unwrap_or_default());
    for position in from.0..until.0 {
        let bits = mix(chain.0 ^ position.wrapping_mul(0x9e37_79b9_7f4a_7c15)).to_le_bytes();
        let letter = |index: usize| LETTERS[usize::from(bits[index] & 31)];
        text.extend_from_slice(&[letter(0), letter(1), letter(2), b' ']);
    }
    String::from_utf8(text).unwrap_or_default()
}

/// Returns the prompt segment of an answer.
///
/// A later turn that contains the answer as its assistant message has the same chain.
#[must_use]
pub fn answer_segment(chain: ChainHash, text: &str) -> Segment {
    Segment {
        chain: chain.extend_message("assistant", text),
        length_tokens: estimate_tokens(text),
    }
}

/// Returns how many tokens the model generates before any limit applies.
#[must_use]
pub fn intended_output_tokens(chain: ChainHash, extra: &BTreeMap<String, Value>) -> Tokens {
    let requested = extra.get(OUTPUT_TOKENS_FIELD).and_then(Value::as_u64);
    Tokens(requested.unwrap_or_else(|| 1 + mix(chain.0) % DEFAULT_MAX_OUTPUT_TOKENS))
}

/// The finalizer of `SplitMix64`.
const fn mix(bits: u64) -> u64 {
    let bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn chunks_concatenate_to_the_complete_answer() {
        let chain = ChainHash(7);
        let complete = answer_text(chain, Tokens(20));
        let chunks =
            answer_chunk(chain, Tokens(0), Tokens(9)) + &answer_chunk(chain, Tokens(9), Tokens(20));
        assert_eq!(complete, chunks);
        assert_eq!(complete.len() as u64, 20 * CHARS_PER_TOKEN);
        assert_ne!(complete, answer_text(ChainHash(8), Tokens(20)));
    }
}
