//! Maps budgets and turns to partitions of the platform's store, and reads and writes their
//! records.
//!
//! The store is the only durable state: if a process is lost, any other continues from what it
//! reads there.

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

/// The longest id that is used as a key without hashing, in bytes.
const MAX_KEY_ID_BYTES: usize = 64;

/// The layout of the topics in the store, which must be the same in all processes, and the limits
/// of records and the cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LedgerSettings {
    /// The number of topics for budget slices.
    pub budget_topics: u8,
    /// The number of topics for turns.
    pub turn_topics: u8,
    /// The number of partitions of each topic, as configured in the platform.
    pub partitions: u32,
    /// The maximum size of a record's value, in bytes.
    pub record_bytes: usize,
    /// The maximum size of an append, in bytes.
    pub call_bytes: usize,
    /// The maximum size of the turns in memory, cached or needed by running requests, in bytes.
    pub cache_bytes: usize,
    /// The maximum size of the records that were read and not yet linked into a chain, in bytes.
    pub unlinked_bytes: usize,
    /// The memory that pages of records may take which are read at the same time, in bytes.
    pub page_memory_bytes: usize,
    /// The maximum size of the text of a record that includes previous turns, in bytes.
    pub segment_bytes: usize,
    /// The period in which each partition is checked for expired records.
    pub sweep_period: Duration,
}

impl Default for LedgerSettings {
    fn default() -> Self {
        Self {
            // The platform allows 100 topics. Turns have one record each and spread evenly. Most
            // slices of a partition are written by its home, so that few partitions suffice; a
            // starting gateway then needs few calls to read all 96 of them.
            budget_topics: 4,
            turn_topics: 92,
            partitions: 24,
            record_bytes: 262_144,
            call_bytes: 2_097_152,
            cache_bytes: 33_554_432,
            unlinked_bytes: 8_388_608,
            page_memory_bytes: 12_582_912,
            // The platform's store takes 50 ms for as much.
            segment_bytes: 1_048_576,
            // Records are kept for three retention periods, typically three minutes; with this
            // period, expired records add half as many on average.
            sweep_period: Duration::from_mins(8),
        }
    }
}

/// Why the ledger cannot admit a request.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub(crate) enum LedgerError {
    /// The store is unavailable, so that the state of the ledger is unknown.
    #[error("the store is unavailable")]
    Unavailable,
    /// The budget is fully reserved.
    #[error("the budget is fully reserved: {reserved} tokens")]
    Exhausted {
        /// The tokens of all slices.
        reserved: Tokens,
        /// The processes that hold slices.
        holders: BTreeSet<SocketAddr>,
    },
    /// The budget is fully reserved, and a process that may hold unused tokens of it is silent.
    #[error("a process that may hold tokens of the budget is silent")]
    HolderSilent,
    /// The store has no record of the turn.
    #[error("the turn has no record in the store")]
    UnknownTurn,
    /// The chain of the turn does not fit beside those of running requests.
    #[error("the chains of running requests use up the memory for turns")]
    OutOfMemory,
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

/// Reads and writes the ledger's records.
pub(crate) struct LedgerStore {
    pub(crate) settings: LedgerSettings,
    pub(crate) client: Rc<StoreClient>,
}

impl LedgerStore {
    /// Returns the partition of a program's slices.
    pub(crate) fn budget_partition(&self, program: &str) -> Partition {
        self.partition(program, self.settings.budget_topics, Topic::Budgets)
    }

    /// Returns the partition of a turn's record.
    pub(crate) fn turn_partition(&self, turn: &str) -> Partition {
        self.partition(turn, self.settings.turn_topics, Topic::Turns)
    }

    /// Returns all partitions of slices.
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

    /// Returns the partition of requests that run or under which servers have ended.
    pub(crate) fn request_partition(&self) -> Partition {
        self.process_partition(1)
    }

    /// Returns the partition of the software versions that services have had.
    pub(crate) fn version_partition(&self) -> Partition {
        self.process_partition(2)
    }

    /// Returns the partition of the origins of streams.
    pub(crate) fn origin_partition(&self) -> Partition {
        self.process_partition(3)
    }

    /// Returns a partition beside that of the entries of processes.
    fn process_partition(&self, number: u32) -> Partition {
        Partition {
            topic: Topic::Processes,
            number: number % self.settings.partitions.max(1),
        }
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

    /// Returns a reader of partitions for `purpose`.
    pub(crate) fn reader(&self, purpose: StorePurpose, deadline: Instant) -> PartitionReader<'_> {
        PartitionReader {
            client: &self.client,
            purpose,
            deadline,
        }
    }

    /// Appends records; if `at` is given, only if the partition ends at that offset.
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

/// Returns the record key for an id that a caller chose: the id itself if it is short and plain, else its
/// hash.
pub(crate) fn key_of(id: &str) -> String {
    let is_safe = |b: u8| b.is_ascii_alphanumeric() || b == b'-' || b == b'_';
    if !id.is_empty() && id.len() <= MAX_KEY_ID_BYTES && id.bytes().all(is_safe) {
        id.to_owned()
    } else {
        format!("h_{:032x}", xxh3_128(id.as_bytes()))
    }
}

pub(crate) fn to_cbor<T: serde::Serialize>(value: &T) -> Bytes {
    let mut bytes = Vec::new();
    // Writing to a vector cannot fail, and the types have no maps with keys that CBOR does not
    // support.
    let written = ciborium::into_writer(value, &mut bytes);
    debug_assert!(written.is_ok(), "{written:?}");
    bytes.into()
}

pub(crate) fn from_cbor<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    ciborium::from_reader(bytes).ok()
}
