//! The chain of turns that a later turn continues from, and its records.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::record_expiry::RETENTION_FACTOR;

/// One ended turn in memory, linked to the turn it continues from.
#[derive(Debug)]
pub struct Turn {
    /// The id of the request that ran it.
    pub id: String,
    /// The turn before it.
    pub parent: Option<Arc<Turn>>,
    /// The server that ran it and may keep its prompt.
    pub server: Option<String>,
    /// What the caller sent.
    pub input: Bytes,
    /// The data of each of its events, each followed by a line feed.
    pub output: Bytes,
    /// When its record was written, in Unix milliseconds by the writer's clock.
    pub recorded_unix_ms: u64,
}

impl Turn {
    /// This turn and all before it, newest first.
    fn line(self: &Arc<Self>) -> Vec<Arc<Self>> {
        std::iter::successors(Some(Arc::clone(self)), |turn| turn.parent.clone()).collect()
    }

    /// The bytes of this one turn.
    #[must_use]
    pub fn own_bytes(&self) -> usize {
        self.input.len() + self.output.len()
    }

    /// When the oldest record that this chain needs was written.
    #[must_use]
    pub fn oldest_unix_ms(self: &Arc<Self>) -> u64 {
        let line = self.line();
        line.iter()
            .map(|turn| turn.recorded_unix_ms)
            .min()
            .unwrap_or(self.recorded_unix_ms)
    }
}

/// The prompt of a new turn: all inputs and outputs before it, oldest first, then `input`.
#[must_use]
pub fn build_prompt(previous: Option<&Arc<Turn>>, input: &Bytes) -> Bytes {
    let Some(previous) = previous else {
        return input.clone();
    };
    let line = previous.line();
    let size = line.iter().map(|turn| turn.own_bytes()).sum::<usize>() + input.len();
    let mut prompt = BytesMut::with_capacity(size);
    for turn in line.iter().rev() {
        prompt.extend_from_slice(&turn.input);
        prompt.extend_from_slice(&turn.output);
    }
    prompt.extend_from_slice(input);
    prompt.freeze()
}

/// The record of an ended turn.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TurnRecord {
    /// The turn it continues from; none at the start of a chain, and none when `input` holds the
    /// whole chain before it.
    #[serde(rename = "p", default, skip_serializing_if = "Option::is_none")]
    pub parent: Option<String>,
    /// The server that ran it.
    #[serde(rename = "s", default, skip_serializing_if = "Option::is_none")]
    pub server: Option<String>,
    /// When it was written, in Unix milliseconds by the writer's clock.
    #[serde(rename = "w")]
    pub recorded_unix_ms: u64,
    /// How long it must stay available, in milliseconds.
    #[serde(rename = "r")]
    pub retain_ms: u64,
    /// The length of `body` that is input; the rest is output.
    #[serde(rename = "i")]
    pub input_bytes: usize,
    /// How many further records hold the body, if it is longer than a record may be.
    #[serde(rename = "n", default)]
    pub parts: usize,
    /// Input and output; empty when further records hold them.
    #[serde(rename = "b", with = "bytes_field")]
    pub body: Bytes,
}

mod bytes_field {
    use bytes::Bytes;
    use serde::de::{Error, Visitor};
    use serde::{Deserializer, Serializer};

    pub(super) fn serialize<S: Serializer>(bytes: &Bytes, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_bytes(bytes)
    }

    struct Reader;

    impl Visitor<'_> for Reader {
        type Value = Bytes;

        fn expecting(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
            f.write_str("a byte string")
        }

        fn visit_bytes<E: Error>(self, bytes: &[u8]) -> Result<Bytes, E> {
            Ok(Bytes::copy_from_slice(bytes))
        }

        fn visit_byte_buf<E: Error>(self, bytes: Vec<u8>) -> Result<Bytes, E> {
            Ok(bytes.into())
        }
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Bytes, D::Error> {
        from.deserialize_byte_buf(Reader)
    }
}

/// A record that can't be read.
#[derive(Debug, Error)]
#[error("the record of turn {id} can't be read: {detail}")]
pub struct InvalidTurnRecord {
    /// The turn.
    pub id: String,
    /// Why.
    pub detail: String,
}

/// Whether a turn that ends at `now_unix_ms` must be recorded with its whole chain.
///
/// A record is kept for [`RETENTION_FACTOR`] times its retention, and a chain needs its oldest record
/// for one retention after its newest turn. A chain that is continued for longer would lose its
/// start; written whole before the oldest record has only one retention left, it never does.
#[must_use]
pub fn needs_whole_chain(previous: &Arc<Turn>, now_unix_ms: u64, retain_ms: u64) -> bool {
    let age_ms = now_unix_ms.saturating_sub(previous.oldest_unix_ms());
    age_ms >= (RETENTION_FACTOR - 1) * retain_ms
}

impl TurnRecord {
    /// The record of a turn, without those before it.
    #[must_use]
    pub fn of(turn: &Turn, retain_ms: u64) -> Self {
        let mut body = BytesMut::with_capacity(turn.own_bytes());
        body.extend_from_slice(&turn.input);
        body.extend_from_slice(&turn.output);
        Self {
            parent: turn.parent.as_ref().map(|parent| parent.id.clone()),
            server: turn.server.clone(),
            recorded_unix_ms: turn.recorded_unix_ms,
            retain_ms,
            input_bytes: turn.input.len(),
            parts: 0,
            body: body.freeze(),
        }
    }

    /// The turn that this record describes, below `parent`.
    ///
    /// # Errors
    ///
    /// The lengths in the record contradict each other.
    pub fn into_turn(
        self,
        id: String,
        parent: Option<Arc<Turn>>,
    ) -> Result<Turn, InvalidTurnRecord> {
        if self.input_bytes > self.body.len() {
            let detail = "the input is longer than the body".to_owned();
            return Err(InvalidTurnRecord { id, detail });
        }
        let mut input = self.body;
        let output = input.split_off(self.input_bytes);
        Ok(Turn {
            id,
            parent,
            server: self.server,
            input,
            output,
            recorded_unix_ms: self.recorded_unix_ms,
        })
    }
}
