//! The shape of a prompt: a chain of segments that engines can cache and the router can compare.

use std::str::FromStr;

use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::call::ChatMessage;
use crate::ids::{MAX_NAME_BYTES, ParseIdError};
use crate::units::Tokens;

/// Bytes of text that make about one token, for estimates before an engine has counted.
const BYTES_PER_TOKEN: u64 = 4;
/// Tokens that a message costs beside its text.
const TOKENS_PER_MESSAGE: u64 = 4;

/// The digest of a prompt up to and with one segment; equal chains mean equal prefixes.
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
        let bad = || ParseIdError {
            text: text.chars().take(MAX_NAME_BYTES).collect(),
            expected: "a chain of 16 hexadecimal digits",
        };
        if text.len() != 16 || text.starts_with('+') {
            return Err(bad());
        }
        u64::from_str_radix(text, 16).map(Self).map_err(|_| bad())
    }
}

impl ChainHash {
    /// The chain extended by `content`.
    #[must_use]
    pub fn extend(self, content: &[u8]) -> Self {
        Self(xxh3_64_with_seed(content, self.0))
    }

    /// The chain extended by one message.
    #[must_use]
    pub fn extend_message(self, role: &str, content: &str) -> Self {
        self.extend(role.as_bytes()).extend(content.as_bytes())
    }
}

/// One segment of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    /// The chain up to and with this segment.
    pub chain: ChainHash,
    /// The segment's own length.
    pub length_tokens: Tokens,
}

/// A prompt as a chain of segments, first to last.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Prompt {
    /// The segments in order; a segment's chain covers all before it.
    pub segments: Vec<Segment>,
}

impl Prompt {
    /// The shape of a chat transcript: one segment a message.
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

    /// The whole length.
    #[must_use]
    pub fn length_tokens(&self) -> Tokens {
        self.segments
            .iter()
            .map(|segment| segment.length_tokens)
            .sum()
    }

    /// The chain over the whole prompt.
    #[must_use]
    pub fn chain(&self) -> ChainHash {
        self.segments
            .last()
            .map(|segment| segment.chain)
            .unwrap_or_default()
    }
}

/// Estimates the tokens of a message by its text.
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
    fn equal_prefixes_share_their_chain() {
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
