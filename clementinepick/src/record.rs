//! Defines the records of the log streams.
//!
//! Where records conflict, the one with the lower offset takes effect at every reader.

use serde::{Deserialize, Serialize};

use crate::budget::Amount;
use crate::call::{ChatMessage, FinishReason, PlainAnswer, Usage};
use crate::config_replay::ConfigState;
use crate::error::CallError;
use crate::ids::{
    AttemptId, CallKey, CallSeq, ClassName, Epoch, FencingNumber, IdempotencyKey, Incarnation,
    Offset, OperationId, PartitionId, ProgramId, RecordId, RequestId, Revision, ServiceName, VmId,
};
use crate::partition_replay::PartitionState;
use crate::prompt::ChainHash;
use crate::units::{SpanUs, Tokens};

/// One record of a stream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Chosen at random by the writer; readers ignore a second record with the same id.
    pub id: RecordId,
    /// The process that wrote the record; for operators' records, the author of the command.
    pub writer: VmId,
    /// The writer's incarnation.
    pub incarnation: Incarnation,
    /// The content.
    pub body: RecordBody,
}

/// The content of a record.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum RecordBody {
    /// An operator publishes a document; accepted if `base` is the active revision and the document
    /// is valid.
    Publish {
        /// Identifies the run of the `publish` command.
        operation: OperationId,
        /// The service.
        service: ServiceName,
        /// The revision that the operator saw as active; zero for a new service.
        base: Revision,
        /// The document's text.
        document: String,
    },
    /// A process claims to decide on a service's engine orders; effective if `over` is the current
    /// claim.
    DeciderClaim {
        /// The service.
        service: ServiceName,
        /// The claim that this claim replaces.
        over: Option<FencingNumber>,
    },
    /// A snapshot of the configuration, written before the records it covers are deleted.
    ConfigSnapshot {
        /// The snapshot covers all records before this offset.
        up_to: Offset,
        /// The state after those records.
        state: Box<ConfigState>,
    },
    /// An entry claims a partition; effective if `over` is the current claim. The record's offset
    /// becomes the epoch.
    Claim {
        /// The partition.
        partition: PartitionId,
        /// The claim that this claim replaces.
        over: Option<Epoch>,
    },
    /// A change to a partition by its owner; ignored unless `epoch` is the current epoch.
    Owned {
        /// The partition.
        partition: PartitionId,
        /// The epoch of the writer's claim.
        epoch: Epoch,
        /// The change.
        entry: PartitionRecord,
    },
}

/// A document that became active.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishedDocument {
    /// The service.
    pub service: ServiceName,
    /// Its revision.
    pub revision: Revision,
    /// The run of the `publish` command.
    pub operation: OperationId,
    /// The operator who published it.
    pub author: VmId,
    /// The text.
    pub text: String,
}

/// The limits on what a program may use.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Budget {
    /// Prompt and output tokens of all calls together.
    pub tokens: Tokens,
    /// The number of calls.
    pub calls: u64,
    /// The time from the first call to the end of the program.
    pub time_us: SpanUs,
}

/// A change to a partition, written by its owner.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PartitionRecord {
    /// A program starts.
    ProgramOpened {
        /// The program.
        program: ProgramId,
        /// The parent program of a sub-agent.
        parent: Option<ProgramId>,
        /// The root program of a sub-agent, whose account it spends from.
        root: Option<ProgramId>,
        /// The service of its first call.
        service: ServiceName,
        /// Its class.
        class: ClassName,
        /// The limits on what it may use.
        budget: Budget,
        /// The first slice of its budget.
        slice: Amount,
    },
    /// A slice of an account's budget is reserved, to be spent without further records.
    SliceReserved {
        /// The account.
        program: ProgramId,
        /// The amount reserved before; the record is ignored if it differs.
        before: Amount,
        /// The additional amount reserved.
        slice: Amount,
    },
    /// An owner that shuts down returns the unspent part of an account's slices.
    SliceReturned {
        /// The account.
        program: ProgramId,
        /// The amount reserved before; the record is ignored if it differs.
        before: Amount,
        /// The amount returned.
        unused: Amount,
    },
    /// A non-idempotent call is about to be dispatched to `target`.
    CallStarted {
        /// The call.
        call: CallKey,
        /// The attempt.
        attempt: AttemptId,
        /// The request id.
        request: RequestId,
        /// The digest of the request, which distinguishes a repeat from a different request.
        digest: ChainHash,
        /// The caller's idempotency key.
        key: Option<IdempotencyKey>,
        /// The sidecar.
        target: VmId,
        /// The sidecar's incarnation.
        target_incarnation: Incarnation,
    },
    /// The outcome of a non-idempotent call is known.
    CallEnded {
        /// The call.
        call: CallKey,
        /// The attempt.
        attempt: AttemptId,
        /// The outcome.
        outcome: CallOutcome,
    },
    /// A turn is appended to a program's history.
    TurnAdded {
        /// The call.
        call: CallKey,
        /// The request id.
        request: RequestId,
        /// The digest of the request, which distinguishes a repeat from a different request.
        digest: ChainHash,
        /// The caller's idempotency key.
        key: Option<IdempotencyKey>,
        /// The hash chain before the turn.
        before: ChainHash,
        /// The hash chain after the turn.
        after: ChainHash,
        /// The messages of the transcript that were not yet recorded.
        messages: Vec<ChatMessage>,
        /// The answer.
        answer: String,
        /// The tokens used.
        usage: Usage,
        /// Why the engine stopped generating.
        finish: Option<FinishReason>,
    },
    /// A program ended.
    ProgramEnded {
        /// The program.
        program: ProgramId,
        /// The last accepted call.
        last: Option<CallSeq>,
        /// Why it ended.
        reason: EndReason,
    },
    /// Programs that ended some time ago are removed, together with the answers kept for repeats.
    ProgramsForgotten {
        /// The programs.
        programs: Vec<ProgramId>,
    },
    /// The owner releases the partition to the next claim; its later records are ignored.
    Yielded,
    /// A snapshot of the partition, written before the records it covers are deleted.
    Snapshot {
        /// The snapshot covers all records before this offset.
        up_to: Offset,
        /// The state after those records.
        state: Box<PartitionState>,
    },
}

/// The outcome of a non-idempotent call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallOutcome {
    /// It did not run and will not run.
    NeverRan(CallError),
    /// A plain service answered.
    Plain(PlainAnswer),
    /// An engine answered.
    Chat {
        /// The text of the answer.
        answer: String,
        /// The tokens used.
        usage: Usage,
    },
    /// It ran and failed.
    Failed(CallError),
    /// Whether it ran can't be determined.
    Unknown,
}

/// Why a program ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndReason {
    /// The caller ended it.
    Caller,
    /// It was created for a single call, which ended.
    SingleCall,
    /// The deadline passed.
    Deadline,
    /// It exceeded the idle timeout.
    Idle,
    /// The budget is exhausted.
    Budget,
    /// The loop guard ended it.
    Loop,
    /// The parent program ended.
    Parent,
    /// An operator ended it.
    Operator,
}
