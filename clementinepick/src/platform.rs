//! Defines the JSON bodies of the HTTP interfaces of the platform and the engines.
//!
//! | peer | method and path | request | response |
//! |---|---|---|---|
//! | log | `POST /v1/streams/{stream}` | [`AppendBody`] | [`AppendResponse`]; 429 and 503: not appended; any other failure: unknown |
//! | log | `GET /v1/streams/{stream}?from=N&max=M` | | [`ReadResponse`] |
//! | VM list | `GET /v1/vms` | | `Vec<`[`Vm`]`>` |
//! | weight store | `GET /v1/weights/{model}/{version}` | | 200, or 429 with `retry-after` |
//! | engine | `POST /v1/generate` | [`GenerateBody`] | one [`GenerateLine`] per line |
//! | engine | `POST /v1/resume` | [`ResumeBody`] | as above, from the requested position |
//! | engine | `POST /v1/cancel` | [`CancelBody`] | 204 |
//! | engine | `POST /v1/cache/release` | [`ReleaseBody`] | [`ReleaseResponse`] |
//! | engine | `POST /v1/cache/retain` | [`RetainBody`] | [`ReleaseResponse`] |
//! | engine | `POST /v1/cache/export` | [`ReleaseBody`] | [`CacheImage`] |
//! | engine | `POST /v1/cache/import` | [`CacheImage`] | 204, or 507 if it does not fit |
//! | engine | `GET /v1/cache/events?after=N` | | [`CacheEventsResponse`] |
//! | engine | `GET /v1/load` | | [`LoadReport`] |
//! | engine | `GET /v1/state` | | [`EngineState`] |
//! | engine | `POST /v1/orders` | [`OrderBody`] | [`EngineState`]; 409 for an outdated fencing number |
//! | plain service | any | as sent by the caller | as sent by the service |

use std::collections::BTreeMap;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::call::{ChatMessage, FinishReason, Usage};
use crate::ids::{
    AttemptId, FencingNumber, ModelName, Offset, OrderId, ProgramId, ServiceName, VersionName,
    VmId, ZoneName,
};
use crate::prompt::{ChainHash, Prompt, Segment};
use crate::units::{Bytes, SpanUs, Tokens};

/// A stream of the log service.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum StreamName {
    /// Documents, deciders' claims, and engine orders.
    #[display("config")]
    Config,
    /// Partition claims, and all records of programs.
    #[display("journal")]
    Journal,
}

impl StreamName {
    /// All streams.
    pub const ALL: [Self; 2] = [Self::Config, Self::Journal];
}

/// A request to append records as one batch, at consecutive offsets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendBody {
    /// The records, as JSON texts.
    pub records: Vec<String>,
}

/// The response to an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendResponse {
    /// The offset of the first record of the batch.
    pub first_offset: Offset,
}

/// A record of a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredRecord {
    /// Its offset.
    pub offset: Offset,
    /// Its JSON text.
    pub text: String,
}

/// The response to a read of a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadResponse {
    /// The offset of the oldest retained record.
    pub earliest: Offset,
    /// The offset of the next record to be appended.
    pub end: Offset,
    /// The records from the requested offset, or from `earliest` if that is later.
    pub records: Vec<StoredRecord>,
}

/// What a VM runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmRole {
    /// An entry.
    #[display("entry")]
    Entry,
    /// A backend server with its sidecar.
    #[display("sidecar")]
    Sidecar,
}

/// The lifecycle state of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// It is in service.
    Live,
    /// It is about to be removed.
    Leaving,
}

/// An entry of the platform's list of VMs, which may be outdated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// The id of the VM.
    pub id: VmId,
    /// What it runs.
    pub role: VmRole,
    /// The service of its backend server; absent for entries.
    pub service: Option<ServiceName>,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The address at which its process accepts links, as `ip:port`.
    pub link_address: String,
    /// Its lifecycle state.
    pub state: VmState,
}

/// A request to generate a turn.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GenerateBody {
    /// The id of the attempt, for resuming and cancelling it.
    pub attempt: AttemptId,
    /// The program that the turn belongs to.
    pub program: ProgramId,
    /// The model.
    pub model: ModelName,
    /// The transcript.
    pub messages: Vec<ChatMessage>,
    /// The hashed segments of the transcript.
    pub prompt: Prompt,
    /// The maximum number of tokens to generate.
    pub max_output_tokens: Tokens,
    /// Further fields of the caller's body.
    pub extra: BTreeMap<String, Value>,
}

/// One line of an engine's response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum GenerateLine {
    /// Generated text.
    Text {
        /// The number of characters before this text.
        position: u64,
        /// The text.
        text: String,
        /// The number of tokens of the text.
        count_tokens: Tokens,
    },
    /// The end of the turn.
    Done {
        /// The token usage.
        usage: Usage,
        /// The reason of the end.
        finish: FinishReason,
        /// The segments of prompt and output that are now cached.
        cached: Vec<Segment>,
    },
    /// The generation failed.
    Failed {
        /// The cause.
        detail: String,
    },
}

/// A request to resume a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResumeBody {
    /// The attempt.
    pub attempt: AttemptId,
    /// The number of characters already received.
    pub position: u64,
}

/// A request to cancel a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancelBody {
    /// The attempt.
    pub attempt: AttemptId,
}

/// A request to release (or export) cached prefixes. Segments shared with other prefixes stay
/// cached.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleaseBody {
    /// The chain hashes, each of which identifies its last segment.
    pub chains: Vec<ChainHash>,
}

/// A request to keep only these prefixes; all others that are not in use are freed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetainBody {
    /// The chain hashes, each of which identifies a whole prefix.
    pub chains: Vec<ChainHash>,
}

/// The response to a release.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleaseResponse {
    /// The number of tokens freed.
    pub freed_tokens: Tokens,
}

/// An exported prefix.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheImage {
    /// The segments, first to last.
    pub segments: Vec<Segment>,
    /// The size of the cached state.
    pub size_bytes: Bytes,
}

/// A change of an engine's cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheEvent {
    /// A segment was cached.
    Stored(Segment),
    /// A segment was evicted.
    Dropped(ChainHash),
}

/// Changes of an engine's cache, which are reported late. If `first` is beyond the requested
/// number, events were missed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEventsResponse {
    /// The number of the first event in the list.
    pub first: u64,
    /// The events, numbered consecutively from `first`.
    pub events: Vec<CacheEvent>,
}

/// An engine's report of its load, which may be outdated.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The number of sequences in the running batch.
    pub running: u32,
    /// The number of sequences queued in the engine.
    pub waiting: u32,
    /// The cache memory in use.
    pub cache_used_tokens: Tokens,
    /// The total cache memory.
    pub cache_size_tokens: Tokens,
    /// The maximum number of sequences in a batch.
    pub max_running: u32,
    /// The age of the report.
    pub age_us: SpanUs,
}

/// The phases of generation that an engine runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineRole {
    /// Prefill and decode.
    #[display("mixed")]
    Mixed,
    /// Prefill only.
    #[display("prefill")]
    Prefill,
    /// Decode only.
    #[display("decode")]
    Decode,
}

/// An order that changes what an engine serves.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineOrder {
    /// Load a version of a model, replacing any other version of it.
    LoadModel {
        /// The model.
        model: ModelName,
        /// The version.
        version: VersionName,
    },
    /// Load a version of an adapter.
    LoadAdapter {
        /// The model that the adapter belongs to.
        model: ModelName,
        /// The adapter.
        adapter: ModelName,
        /// The version.
        version: VersionName,
    },
    /// Unload a model and its adapters.
    Unload {
        /// The model.
        model: ModelName,
    },
    /// Change the engine's role.
    SetRole {
        /// The new role.
        role: EngineRole,
    },
}

/// An order with its fencing number.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderBody {
    /// The id of the order; an engine executes each id once.
    pub id: OrderId,
    /// The fencing number of the decider. Engines that check it refuse numbers below the highest
    /// seen.
    pub fencing: FencingNumber,
    /// The order.
    pub order: EngineOrder,
}

/// The state of an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    /// The loaded models with their versions.
    pub models: BTreeMap<ModelName, VersionName>,
    /// The loaded adapters with their versions.
    pub adapters: BTreeMap<ModelName, VersionName>,
    /// The role of the engine.
    pub role: EngineRole,
    /// The highest fencing number seen; absent if the engine ignores them.
    pub fencing: Option<FencingNumber>,
    /// The order that is being executed.
    pub busy: Option<OrderId>,
}
