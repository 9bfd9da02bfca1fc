//! Describes prompts as chains of hashed segments, which engines cache and the router compares.

use std::str::FromStr;

use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::call::ChatMessage;
use crate::ids::{MAX_NAME_BYTES, ParseIdError};
use crate::units::Tokens;

/// The approximate number of bytes per token, for estimates.
const BYTES_PER_TOKEN: u64 = 4;
/// The token overhead of a message in addition to its text.
const TOKENS_PER_MESSAGE: u64 = 4;

/// The hash of a prompt up to and including one segment; equal hashes mean equal prefixes.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    From,
    Into,
    Serialize,
    Deserialize,
)]
#[display("{_0:016x}")]
pub struct ChainHash(pub u64);

impl FromStr for ChainHash {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, ParseIdError> {
        let invalid = || ParseIdError {
            text: text.chars().take(MAX_NAME_BYTES).collect(),
            expected: "a chain hash of 16 hexadecimal digits",
        };
        if text.len() != 16 || text.starts_with('+') {
            return Err(invalid());
        }
        u64::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| invalid())
    }
}

impl ChainHash {
    /// Returns the hash of the chain extended by `content`.
    #[must_use]
    pub fn extend(self, content: &[u8]) -> Self {
        Self(xxh3_64_with_seed(content, self.0))
    }

    /// Returns the hash of the chain extended by a message.
    #[must_use]
    pub fn extend_message(self, role: &str, content: &str) -> Self {
        self.extend(role.as_bytes()).extend(content.as_bytes())
    }
}

/// One segment of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    /// The hash of the prompt up to and including this segment.
    pub chain: ChainHash,
    /// The length of the segment.
    pub length_tokens: Tokens,
}

/// A prompt as a chain of segments, first to last.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Prompt {
    /// The segments in order; the hash of each covers all previous ones.
    pub segments: Vec<Segment>,
}

impl Prompt {
    /// Creates the prompt of a chat transcript, with one segment per message.
    #[must_use]
    pub fn of_messages(messages: &[ChatMessage]) -> Self {
        let mut chain = ChainHash::default();
        let mut segments = Vec::with_capacity(messages.len());
        for message in messages {
            chain = chain.extend_message(&message.role, &message.content);
            segments.push(Segment {
                chain,
                length_tokens: estimate_tokens(&message.content),
            });
        }
        Self { segments }
    }

    /// Returns the length of the prompt.
    #[must_use]
    pub fn length_tokens(&self) -> Tokens {
        self.segments
            .iter()
            .map(|segment| segment.length_tokens)
            .sum()
    }

    /// Returns the hash of the whole prompt.
    #[must_use]
    pub fn chain(&self) -> ChainHash {
        self.segments
            .last()
            .map(|segment| segment.chain)
            .unwrap_or_default()
    }
}

/// Estimates the number of tokens of a message from its text.
#[must_use]
pub fn estimate_tokens(text: &str) -> Tokens {
    Tokens((text.len() as u64).div_ceil(BYTES_PER_TOKEN) + TOKENS_PER_MESSAGE)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn message(role: &str, content: &str) -> ChatMessage {
        ChatMessage::new(role, content)
    }

    #[test]
    fn equal_prefixes_have_equal_hashes() {
        let short = Prompt::of_messages(&[message("system", "a"), message("user", "b")]);
        let long = Prompt::of_messages(&[
            message("system", "a"),
            message("user", "b"),
            message("assistant", "c"),
        ]);
        assert_eq!(short.segments[..], long.segments[..2]);
        assert_ne!(short.chain(), long.chain());
    }
}
