//! What programs' budgets and turns have in common: where their records lie in the platform's store,
//! and how they are read and written.
//!
//! The store alone remembers: a process that is lost takes nothing with it but time, and any other
//! goes on from what it reads.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use clementinepick::units::Tokens;
use platform::store::{KeyedRecord, Topic, append_target, encode_records};
use thiserror::Error;
use xxhash_rust::xxh3::{xxh3_64, xxh3_128};

use crate::partition_reader::PartitionReader;
use crate::store::{StoreCall, StoreClient, StorePurpose, StoreReply, StoreUnavailable};

/// The longest id that is used as a key as it is, in bytes.
const MAX_PLAIN_ID_BYTES: usize = 64;

/// The shape of the topics in the store; all processes must use the same.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LedgerSettings {
    /// How many topics hold budget slices.
    pub budget_topics: u8,
    /// How many topics hold turns.
    pub turn_topics: u8,
    /// The partitions of each topic, as the platform sets them.
    pub partitions: u32,
    /// The largest value of one record, in bytes.
    pub record_bytes: usize,
    /// The largest append, in bytes.
    pub call_bytes: usize,
    /// How many bytes of turns are cached.
    pub cache_bytes: usize,
    /// How often each partition is looked at for records to drop.
    pub sweep_period: Duration,
}

impl Default for LedgerSettings {
    fn default() -> Self {
        Self {
            // Of the 100 topics that the platform allows. Turns have one record each and lie
            // evenly. Slices are mostly written by one home a partition, so that few partitions
            // suffice, and a start takes few calls: 96 at 24 partitions a topic.
            budget_topics: 4,
            turn_topics: 92,
            partitions: 24,
            record_bytes: 262_144,
            call_bytes: 2_097_152,
            cache_bytes: 8_388_608,
            // Records live for three retentions, three minutes on the users' sheets; with this
            // period, half as many again lie in the store on average.
            sweep_period: Duration::from_mins(8),
        }
    }
}

/// Why the ledger gives no answer that lets a request go on.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub(crate) enum LedgerError {
    /// The store can't be reached, so that nothing is certain.
    #[error("the store is away")]
    Unavailable,
    /// The budget is reserved to the end.
    #[error("the budget is spent: {reserved} are reserved")]
    Spent {
        /// The sum of all slices.
        reserved: Tokens,
        /// Who holds slices.
        holders: BTreeSet<SocketAddr>,
    },
    /// The turn does not exist.
    #[error("no such turn")]
    UnknownTurn,
}

impl From<StoreUnavailable> for LedgerError {
    fn from(_: StoreUnavailable) -> Self {
        Self::Unavailable
    }
}

/// One partition of a topic.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Partition {
    pub(crate) topic: Topic,
    pub(crate) number: u32,
}

/// Reads and writes records of the ledger.
pub(crate) struct LedgerStore {
    pub(crate) settings: LedgerSettings,
    pub(crate) client: Rc<StoreClient>,
}

impl LedgerStore {
    /// The partition of a program's slices.
    pub(crate) fn budget_partition(&self, program: &str) -> Partition {
        self.partition(program, self.settings.budget_topics, Topic::Budgets)
    }

    /// The partition of a turn's record.
    pub(crate) fn turn_partition(&self, turn: &str) -> Partition {
        self.partition(turn, self.settings.turn_topics, Topic::Turns)
    }

    /// All partitions of slices.
    pub(crate) fn budget_partitions(&self) -> impl Iterator<Item = Partition> {
        let partitions = self.settings.partitions.max(1);
        let topics = 0..self.settings.budget_topics.max(1);
        topics.flat_map(move |topic| {
            (0..partitions).map(move |number| Partition {
                topic: Topic::Budgets(topic),
                number,
            })
        })
    }

    fn partition(&self, id: &str, topics: u8, topic: impl Fn(u8) -> Topic) -> Partition {
        let hash = xxh3_64(id.as_bytes());
        let partitions = u64::from(self.settings.partitions.max(1));
        let topic_number = (hash / partitions) % u64::from(topics.max(1));
        Partition {
            topic: topic(u8::try_from(topic_number).unwrap_or(0)),
            number: u32::try_from(hash % partitions).unwrap_or(0),
        }
    }

    /// Reads partitions for `purpose`.
    pub(crate) fn reader(&self, purpose: StorePurpose, deadline: Instant) -> PartitionReader<'_> {
        PartitionReader {
            client: &self.client,
            purpose,
            deadline,
        }
    }

    /// Appends records, under the condition that the partition ends at `at` if that is given.
    pub(crate) async fn append(
        &self,
        purpose: StorePurpose,
        partition: Partition,
        at: Option<u64>,
        records: &[KeyedRecord],
        deadline: Instant,
    ) -> Result<StoreReply, LedgerError> {
        let target = append_target(&partition.topic, partition.number, at);
        let call = StoreCall::post(purpose, target, encode_records(records));
        Ok(self.client.call(&call, deadline).await?)
    }
}

/// The key for an id that a caller chose: the id itself if it is plain, else its hash, since the
/// key also stands in the targets of calls.
pub(crate) fn key_of(id: &str) -> String {
    let is_plain = |b: u8| b.is_ascii_alphanumeric() || b == b'-' || b == b'_';
    if !id.is_empty() && id.len() <= MAX_PLAIN_ID_BYTES && id.bytes().all(is_plain) {
        id.to_owned()
    } else {
        format!("h_{:032x}", xxh3_128(id.as_bytes()))
    }
}

pub(crate) fn to_cbor<T: serde::Serialize>(value: &T) -> Bytes {
    let mut bytes = Vec::new();
    // Writing to a vector can't fail, and the types have no maps with keys that CBOR lacks.
    let written = ciborium::into_writer(value, &mut bytes);
    debug_assert!(written.is_ok(), "{written:?}");
    bytes.into()
}

pub(crate) fn from_cbor<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    ciborium::from_reader(bytes).ok()
}
