//! Links turns into chains, builds prompts from them and converts turns to stored records.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::record_expiry::kept_until_unix_ms;
use crate::text_memory::HeldText;

/// The number of turns in a row with a record each after which one record holds the text of all of
/// them. Most conversations have fewer.
pub const SEGMENT_TURNS: usize = 32;

/// A completed turn in memory, linked to the turn it continues from.
#[derive(Debug)]
pub struct Turn {
    /// The id of the request that ran it.
    pub id: String,
    /// The latest previous turn that `input` does not include.
    pub parent: Option<Arc<Turn>>,
    /// The server that ran it and may have its prompt cached.
    pub server: Option<String>,
    /// What the caller sent, preceded by the text of the previous turns that this one includes.
    pub input: Bytes,
    /// The data of its events, each followed by a line feed.
    pub output: Bytes,
    /// When its record was written, in Unix milliseconds by the writer's clock.
    pub recorded_unix_ms: u64,
    /// The retention of its record, in milliseconds.
    pub retain_ms: u64,
    /// The number of turns whose text it holds; `input` begins with that of the previous ones.
    pub turns: usize,
    /// Counts its text while anything refers to it.
    pub held: HeldText,
}

impl Turn {
    /// Returns this turn and all previous ones, newest first.
    fn chain(self: &Arc<Self>) -> Vec<Arc<Self>> {
        std::iter::successors(Some(Arc::clone(self)), |turn| turn.parent.clone()).collect()
    }

    /// Returns the size of this turn, without the previous ones.
    #[must_use]
    pub fn own_bytes(&self) -> usize {
        self.input.len() + self.output.len()
    }

    /// Returns the size of this turn and of all previous ones.
    #[must_use]
    pub fn chain_bytes(&self) -> usize {
        let chain = std::iter::successors(Some(self), |turn| turn.parent.as_deref());
        chain.map(Self::own_bytes).sum()
    }

    /// Includes the text of the latest previous turns, up to `limit_bytes` in all, if at least
    /// [`SEGMENT_TURNS`] turns in a row have a record each.
    ///
    /// A chain that is in no process's memory is read by one call for each record, one after the
    /// other. Each text is written twice at most, and conversations of fewer turns write it once.
    pub fn merge_segment(&mut self, limit_bytes: usize) {
        let mut bytes = self.own_bytes();
        let mut latest = Vec::new();
        let mut before = self.parent.clone();
        while let Some(turn) = before.take() {
            bytes += turn.own_bytes();
            if turn.turns > 1 || bytes > limit_bytes {
                before = Some(turn);
                break;
            }
            before.clone_from(&turn.parent);
            latest.push(turn);
        }
        if latest.len() + 1 >= SEGMENT_TURNS {
            self.turns += latest.len();
            self.input = concatenate(&latest, &self.input);
            self.parent = before;
        }
    }

    /// Includes the text of all previous turns.
    pub fn merge_chain(&mut self) {
        let Some(parent) = self.parent.take() else {
            return;
        };
        let chain = parent.chain();
        self.turns += chain.iter().map(|turn| turn.turns).sum::<usize>();
        self.input = concatenate(&chain, &self.input);
    }

    /// Returns until when all records of this chain are kept, in Unix milliseconds.
    #[must_use]
    pub fn kept_until_unix_ms(&self) -> u64 {
        let chain = std::iter::successors(Some(self), |turn| turn.parent.as_deref());
        let kept = chain.map(|turn| kept_until_unix_ms(turn.recorded_unix_ms, turn.retain_ms));
        kept.min().unwrap_or_default()
    }
}

/// Builds the prompt of a new turn: all previous inputs and outputs, oldest first, then `input`. The parts
/// share the memory of the turns.
#[must_use]
pub fn build_prompt(previous: Option<&Arc<Turn>>, input: &Bytes) -> Vec<Bytes> {
    let chain = previous.map(Turn::chain).unwrap_or_default();
    let turns = chain.iter().rev();
    let texts = turns.flat_map(|turn| [turn.input.clone(), turn.output.clone()]);
    texts.chain([input.clone()]).collect()
}

/// Concatenates the text of turns, given newest first, and `input`.
fn concatenate(turns: &[Arc<Turn>], input: &Bytes) -> Bytes {
    let size = turns.iter().map(|turn| turn.own_bytes()).sum::<usize>() + input.len();
    let mut prompt = BytesMut::with_capacity(size);
    for turn in turns.iter().rev() {
        prompt.extend_from_slice(&turn.input);
        prompt.extend_from_slice(&turn.output);
    }
    prompt.extend_from_slice(input);
    prompt.freeze()
}

/// The stored record of a completed turn.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TurnRecord {
    /// The turn that the text of this record continues; none at the start of a chain, or if the input
    /// contains the whole previous chain.
    #[serde(rename = "p", default, skip_serializing_if = "Option::is_none")]
    pub parent: Option<String>,
    /// The server that ran it.
    #[serde(rename = "s", default, skip_serializing_if = "Option::is_none")]
    pub server: Option<String>,
    /// When it was written, in Unix milliseconds by the writer's clock.
    #[serde(rename = "w")]
    pub recorded_unix_ms: u64,
    /// The retention, in milliseconds.
    #[serde(rename = "r")]
    pub retain_ms: u64,
    /// The length of the input at the start of `body`; the rest is output.
    #[serde(rename = "i")]
    pub input_bytes: usize,
    /// The number of further records that hold the body, if it exceeds the size of one record.
    #[serde(rename = "n", default)]
    pub parts: usize,
    /// The number of turns whose text it holds.
    #[serde(rename = "c", default = "one", skip_serializing_if = "is_one")]
    pub turns: usize,
    /// Input and output; empty when further records hold them.
    #[serde(rename = "b", with = "bytes_field")]
    pub body: Bytes,
}

fn one() -> usize {
    1
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
fn is_one(count: &usize) -> bool {
    *count == 1
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

/// A turn record that can't be decoded.
#[derive(Debug, Error)]
#[error("decoding the record of turn {id} failed: {detail}")]
pub struct InvalidTurnRecord {
    /// The id of the turn.
    pub id: String,
    /// The reason.
    pub detail: String,
}

/// Returns whether a turn that ends at `now_unix_ms` and is retained for `retain_ms` must be recorded with
/// its whole chain.
///
/// A chain needs all its records for one retention after its newest turn, whatever the retentions of the
/// routes on which the previous turns ran.
#[must_use]
pub fn needs_whole_chain(previous: &Turn, now_unix_ms: u64, retain_ms: u64) -> bool {
    previous.kept_until_unix_ms() <= now_unix_ms.saturating_add(retain_ms)
}

/// Returns the retention of a turn's record on a route that retains turns for `route_ms`.
///
/// A conversation that alternates between two routes would otherwise be written in full again at each turn
/// on the route with the longer retention.
#[must_use]
pub fn record_retention_ms(previous: Option<&Turn>, route_ms: u64) -> u64 {
    previous.map_or(route_ms, |turn| turn.retain_ms.max(route_ms))
}

impl TurnRecord {
    /// Creates the record of a turn, without the previous ones.
    #[must_use]
    pub fn of(turn: &Turn) -> Self {
        let mut body = BytesMut::with_capacity(turn.own_bytes());
        body.extend_from_slice(&turn.input);
        body.extend_from_slice(&turn.output);
        Self {
            parent: turn.parent.as_ref().map(|parent| parent.id.clone()),
            server: turn.server.clone(),
            recorded_unix_ms: turn.recorded_unix_ms,
            retain_ms: turn.retain_ms,
            input_bytes: turn.input.len(),
            parts: 0,
            turns: turn.turns,
            body: body.freeze(),
        }
    }

    /// Converts the record to a turn that continues from `parent`.
    ///
    /// # Errors
    ///
    /// Returns an error if the input is longer than the body.
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
            retain_ms: self.retain_ms,
            turns: self.turns,
            held: HeldText::default(),
        })
    }
}
