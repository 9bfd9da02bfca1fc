//! What the platform and the engines say over HTTP, as typed bodies in JSON.
//!
//! | peer | method and path | request | answer |
//! |---|---|---|---|
//! | log | `POST /v1/streams/{stream}` | [`AppendBody`] | [`AppendResponse`]; 429 and 503 mean not appended, anything else unknown |
//! | log | `GET /v1/streams/{stream}?from=N&max=M` | | [`ReadResponse`] |
//! | VM list | `GET /v1/vms` | | `Vec<`[`Vm`]`>` |
//! | weight store | `GET /v1/weights/{model}/{version}` | | 200, or 429 with `retry-after` |
//! | engine | `POST /v1/generate` | [`GenerateBody`] | one [`GenerateLine`] of JSON a line |
//! | engine | `POST /v1/resume` | [`ResumeBody`] | as above, from the position asked for |
//! | engine | `POST /v1/cancel` | [`CancelBody`] | 204 |
//! | engine | `POST /v1/cache/release` | [`ReleaseBody`] | [`ReleaseResponse`] |
//! | engine | `POST /v1/cache/retain` | [`RetainBody`] | [`ReleaseResponse`] |
//! | engine | `POST /v1/cache/export` | [`ReleaseBody`] | [`CacheImage`] |
//! | engine | `POST /v1/cache/import` | [`CacheImage`] | 204, or 507 when it does not fit |
//! | engine | `GET /v1/cache/events?after=N` | | [`CacheEventsResponse`] |
//! | engine | `GET /v1/load` | | [`LoadReport`] |
//! | engine | `GET /v1/state` | | [`EngineState`] |
//! | engine | `POST /v1/orders` | [`OrderBody`] | [`EngineState`]; 409 for an old fencing number |
//! | plain service | any | the caller's | the service's |

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
    /// Documents, deciders' claims and orders.
    #[display("config")]
    Config,
    /// Claims of partitions and everything about programs.
    #[display("journal")]
    Journal,
}

impl StreamName {
    /// All streams.
    pub const ALL: [Self; 2] = [Self::Config, Self::Journal];
}

/// Records to append as one batch, at consecutive offsets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendBody {
    /// The records, each one JSON text.
    pub records: Vec<String>,
}

/// A batch that was appended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendResponse {
    /// The offset of the batch's first record.
    pub first_offset: Offset,
}

/// One record as read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredRecord {
    /// Its offset.
    pub offset: Offset,
    /// Its JSON text.
    pub text: String,
}

/// A part of a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadResponse {
    /// The offset of the oldest record that is kept.
    pub earliest: Offset,
    /// The offset that the stream's next record will get.
    pub end: Offset,
    /// The records from the offset asked for, or from `earliest` where that is later.
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

/// Whether a VM stays.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// It serves.
    Live,
    /// It will be gone soon.
    Leaving,
}

/// One line of the platform's list of VMs; the list lags.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// The VM.
    pub id: VmId,
    /// What it runs.
    pub role: VmRole,
    /// The service of its backend server; absent for entries.
    pub service: Option<ServiceName>,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where its process takes links, as `ip:port`.
    pub link_address: String,
    /// Whether it stays.
    pub state: VmState,
}

/// An order to generate a turn.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GenerateBody {
    /// The attempt, by which it is resumed and cancelled.
    pub attempt: AttemptId,
    /// The program whose prefix this is.
    pub program: ProgramId,
    /// The model.
    pub model: ModelName,
    /// The transcript.
    pub messages: Vec<ChatMessage>,
    /// Its shape.
    pub prompt: Prompt,
    /// The most tokens to generate.
    pub max_output_tokens: Tokens,
    /// Other fields of the caller's body.
    pub extra: BTreeMap<String, Value>,
}

/// One line of an engine's answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum GenerateLine {
    /// Generated text and the count of characters before it.
    Text {
        /// The count of characters before this text.
        position: u64,
        /// The text.
        text: String,
        /// The tokens that the text stands for.
        count_tokens: Tokens,
    },
    /// The turn's end.
    Done {
        /// What was counted.
        usage: Usage,
        /// Why it ended.
        finish: FinishReason,
        /// The chain over prompt and answer that now lies in the cache.
        cached: Vec<Segment>,
    },
    /// The engine gave up.
    Failed {
        /// Why.
        detail: String,
    },
}

/// Asks for a stream again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResumeBody {
    /// The attempt.
    pub attempt: AttemptId,
    /// The count of characters already received.
    pub position: u64,
}

/// Ends a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancelBody {
    /// The attempt.
    pub attempt: AttemptId,
}

/// Names cached prefixes; what other prefixes share stays cached.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleaseBody {
    /// The chains, each of which stands for its last segment.
    pub chains: Vec<ChainHash>,
}

/// Names the only prefixes to keep, each with all before it; what nobody uses of the rest is freed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetainBody {
    /// The chains, each of which stands for the whole prefix that ends with it.
    pub chains: Vec<ChainHash>,
}

/// What a release freed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleaseResponse {
    /// The tokens freed.
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

/// One change of an engine's cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheEvent {
    /// A segment was cached.
    Stored(Segment),
    /// A segment was dropped.
    Dropped(ChainHash),
}

/// Changes of an engine's cache; they come late, and a jump of `first` past `after` is a gap.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEventsResponse {
    /// The number of the first event in the list.
    pub first: u64,
    /// The events, numbered on from `first`.
    pub events: Vec<CacheEvent>,
}

/// An engine's own word of its load; it lags.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Sequences in the running batch.
    pub running: u32,
    /// Sequences that wait inside the engine.
    pub waiting: u32,
    /// Cache memory in use.
    pub cache_used_tokens: Tokens,
    /// The whole cache memory.
    pub cache_size_tokens: Tokens,
    /// The most sequences that run at once.
    pub max_running: u32,
    /// How old the report is.
    pub age_us: SpanUs,
}

/// The part an engine plays.
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
    /// Load a version of a model, in place of any other version of it.
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
    /// Drop a model and its adapters.
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
    /// The order's id; an engine carries out the same id once.
    pub id: OrderId,
    /// The decider's number; an engine that checks refuses numbers below the highest seen.
    pub fencing: FencingNumber,
    /// What to do.
    pub order: EngineOrder,
}

/// What an engine serves.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    /// The models with their versions.
    pub models: BTreeMap<ModelName, VersionName>,
    /// The adapters with their versions.
    pub adapters: BTreeMap<ModelName, VersionName>,
    /// The role.
    pub role: EngineRole,
    /// The highest fencing number seen; absent for engines that ignore the numbers.
    pub fencing: Option<FencingNumber>,
    /// The order that is being carried out.
    pub busy: Option<OrderId>,
}
