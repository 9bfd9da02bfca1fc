//! The records of the log. The order of their offsets decides every race.

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
    /// Drawn by the writer; a second record with the same id is ignored.
    pub id: RecordId,
    /// The process that wrote it; for operators' records, the name of the command line's run.
    pub writer: VmId,
    /// The writer's life.
    pub incarnation: Incarnation,
    /// What it says.
    pub body: RecordBody,
}

/// What a record says.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum RecordBody {
    /// An operator publishes a document. Accepted if `base` is in force and the document is right.
    Publish {
        /// Names this run of `publish`.
        operation: OperationId,
        /// The service.
        service: ServiceName,
        /// The revision that the operator has seen in force; zero for a new service.
        base: Revision,
        /// The document's text.
        document: String,
    },
    /// A process claims to decide on orders for a service. Effective if `over` is in force.
    DeciderClaim {
        /// The service.
        service: ServiceName,
        /// The claim that this one replaces.
        over: Option<FencingNumber>,
    },
    /// The configuration, carried forward before retention ends.
    ConfigSnapshot {
        /// The snapshot holds all records before this offset.
        up_to: Offset,
        /// What those records come to.
        state: Box<ConfigState>,
    },
    /// An entry claims a partition. Effective if `over` is in force; its offset is the epoch.
    Claim {
        /// The partition.
        partition: PartitionId,
        /// The claim that this one replaces.
        over: Option<Epoch>,
    },
    /// Something an owner says of its partition. Ignored unless `epoch` is in force.
    Owned {
        /// The partition.
        partition: PartitionId,
        /// The writer's claim.
        epoch: Epoch,
        /// What it says.
        entry: PartitionRecord,
    },
}

/// A document as it came into force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishedDocument {
    /// The service.
    pub service: ServiceName,
    /// Its revision.
    pub revision: Revision,
    /// The run of `publish` that brought it.
    pub operation: OperationId,
    /// Who ran it.
    pub author: VmId,
    /// The text.
    pub text: String,
}

/// What a program may spend.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Budget {
    /// Prompt and output tokens over all calls.
    pub tokens: Tokens,
    /// Calls.
    pub calls: u64,
    /// Time from its first call to its end.
    pub time_us: SpanUs,
}

/// What an owner says of its partition.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PartitionRecord {
    /// A program begins.
    ProgramOpened {
        /// The program.
        program: ProgramId,
        /// The program whose sub-agent it is.
        parent: Option<ProgramId>,
        /// The program at the root of the sub-agents, whose account it spends from.
        root: Option<ProgramId>,
        /// The service of its first call.
        service: ServiceName,
        /// Its class.
        class: ClassName,
        /// What it may spend.
        budget: Budget,
        /// The first slice of its budget.
        slice: Amount,
    },
    /// A slice of an account's budget is set aside, to be spent without further records.
    SliceReserved {
        /// The account.
        program: ProgramId,
        /// What was set aside before; where it differs, the record changes nothing.
        before: Amount,
        /// What is set aside in addition.
        slice: Amount,
    },
    /// An owner that leaves gives back what it did not spend of an account's slices.
    SliceReturned {
        /// The account.
        program: ProgramId,
        /// What was set aside before; where it differs, the record changes nothing.
        before: Amount,
        /// What is given back.
        unused: Amount,
    },
    /// A non-idempotent call is about to be sent to `target`.
    CallStarted {
        /// The call.
        call: CallKey,
        /// The attempt.
        attempt: AttemptId,
        /// The caller's request.
        request: RequestId,
        /// The digest of the request, to tell a repeat from another request.
        digest: ChainHash,
        /// The caller's key.
        key: Option<IdempotencyKey>,
        /// The sidecar.
        target: VmId,
        /// The sidecar's life.
        target_incarnation: Incarnation,
    },
    /// A non-idempotent call has its outcome.
    CallEnded {
        /// The call.
        call: CallKey,
        /// The attempt.
        attempt: AttemptId,
        /// How it ended.
        outcome: CallOutcome,
    },
    /// A turn of a program's history.
    TurnAdded {
        /// The call.
        call: CallKey,
        /// The caller's request.
        request: RequestId,
        /// The digest of the request, to tell a repeat from another request.
        digest: ChainHash,
        /// The caller's key.
        key: Option<IdempotencyKey>,
        /// The chain before the turn.
        before: ChainHash,
        /// The chain after it.
        after: ChainHash,
        /// The messages of the transcript that were not yet on record.
        messages: Vec<ChatMessage>,
        /// The answer.
        answer: String,
        /// What it cost.
        usage: Usage,
        /// Why the engine stopped.
        finish: Option<FinishReason>,
    },
    /// A program has ended.
    ProgramEnded {
        /// The program.
        program: ProgramId,
        /// Its last accepted call.
        last: Option<CallSeq>,
        /// Why.
        reason: EndReason,
    },
    /// Programs that ended a while ago are dropped, with the answers to their repeats.
    ProgramsForgotten {
        /// The programs.
        programs: Vec<ProgramId>,
    },
    /// The owner leaves the partition to whoever claims it next; its later records do not count.
    Yielded,
    /// The partition's state, carried forward before retention ends.
    Snapshot {
        /// The snapshot holds all records before this offset.
        up_to: Offset,
        /// The state.
        state: Box<PartitionState>,
    },
}

/// How a non-idempotent call ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallOutcome {
    /// It never ran and never will.
    NeverRan(CallError),
    /// A plain service answered.
    Plain(PlainAnswer),
    /// An engine answered.
    Chat {
        /// The text.
        answer: String,
        /// What it cost.
        usage: Usage,
    },
    /// It ran and failed.
    Failed(CallError),
    /// Nobody can tell any more.
    Unknown,
}

/// Why a program ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndReason {
    /// Its caller ended it.
    Caller,
    /// It was made for one call.
    SingleCall,
    /// Its deadline passed.
    Deadline,
    /// It was idle for too long.
    Idle,
    /// Its budget is spent.
    Budget,
    /// The loop guard.
    Loop,
    /// Its parent ended.
    Parent,
    /// An operator ended it.
    Operator,
}
