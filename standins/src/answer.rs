//! The text that the model engine generates: a function of the prompt, so that a caller can check
//! that it got its own whole answer.

use std::collections::BTreeMap;

use clementinepick::prompt::{ChainHash, Segment, estimate_tokens};
use clementinepick::units::Tokens;
use serde_json::Value;

/// Names the field of a chat body that says how many tokens the model "wants" to generate.
pub const OUTPUT_TOKENS_FIELD: &str = "standin_output_tokens";
/// The characters of one token; all are ASCII.
pub const CHARS_PER_TOKEN: u64 = 4;

/// The length of an answer whose body does not name it, at most.
const MAX_UNNAMED_TOKENS: u64 = 128;
const LETTERS: &[u8; 32] = b"abcdefghijklmnopqrstuvwxyzabcdef";

/// The whole answer to the prompt that ends in `chain`, of `count` tokens.
#[must_use]
pub fn answer_text(chain: ChainHash, count: Tokens) -> String {
    answer_chunk(chain, Tokens(0), count)
}

/// The answer's tokens from `from` on, without `until`.
#[must_use]
pub fn answer_chunk(chain: ChainHash, from: Tokens, until: Tokens) -> String {
    let count = until.saturating_sub(from).0 * CHARS_PER_TOKEN;
    let mut text = Vec::with_capacity(usize::try_from(count).unwrap_or_default());
    for at in from.0..until.0 {
        let bits = mix(chain.0 ^ at.wrapping_mul(0x9e37_79b9_7f4a_7c15)).to_le_bytes();
        let letter = |at: usize| LETTERS[usize::from(bits[at] & 31)];
        text.extend_from_slice(&[letter(0), letter(1), letter(2), b' ']);
    }
    String::from_utf8(text).unwrap_or_default()
}

/// The segment that an answer adds to its prompt; a next turn that brings the answer back as its
/// assistant message has the same chain.
#[must_use]
pub fn answer_segment(chain: ChainHash, text: &str) -> Segment {
    Segment {
        chain: chain.extend_message("assistant", text),
        length_tokens: estimate_tokens(text),
    }
}

/// How many tokens the model wants to generate, before any limit.
#[must_use]
pub fn intended_output_tokens(chain: ChainHash, extra: &BTreeMap<String, Value>) -> Tokens {
    let named = extra.get(OUTPUT_TOKENS_FIELD).and_then(Value::as_u64);
    Tokens(named.unwrap_or_else(|| 1 + mix(chain.0) % MAX_UNNAMED_TOKENS))
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
    fn pieces_join_to_the_whole() {
        let chain = ChainHash(7);
        let whole = answer_text(chain, Tokens(20));
        let parts =
            answer_chunk(chain, Tokens(0), Tokens(9)) + &answer_chunk(chain, Tokens(9), Tokens(20));
        assert_eq!(whole, parts);
        assert_eq!(whole.len() as u64, 20 * CHARS_PER_TOKEN);
        assert_ne!(whole, answer_text(ChainHash(8), Tokens(20)));
    }
}
