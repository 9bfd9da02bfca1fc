//! The messages between the system's own processes.
//!
//! On the wire each is one CBOR item in a binary websocket frame. Times travel as spans, since no
//! two clocks are compared.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::call::{AnswerPart, ChatMessage, Fetch, Payload, Request, Usage};
use crate::ids::{
    AttemptId, CallKey, ClassName, Epoch, FencingNumber, Incarnation, Offset, OrderId, PartitionId,
    ProgramId, RequestId, Revision, ServiceName, ToolName, VmId, ZoneName,
};
use crate::platform::{CacheEvent, EngineState, LoadReport, OrderBody, VmRole};
use crate::prompt::ChainHash;
use crate::record::{EndReason, PublishedDocument};
use crate::units::{SpanUs, Tokens};

/// Who is at the other end of a link, as proved when it came up.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// The VM.
    pub vm: VmId,
    /// The life of its process.
    pub incarnation: Incarnation,
    /// What it runs.
    pub role: VmRole,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The service of its backend server; absent for entries.
    pub service: Option<ServiceName>,
}

/// One message over a link.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Says that the sender lives, and what it knows.
    Heartbeat(Heartbeat),
    /// Documents that the receiver's heartbeat lacked.
    Documents(Vec<PublishedDocument>),
    /// Entry to owner: a caller's request.
    Forward {
        /// The request.
        request: Box<Request>,
        /// How often it was passed on already.
        hops: u8,
    },
    /// Owner to entry: a part of the answer.
    ForwardReply {
        /// The request.
        request: RequestId,
        /// The part.
        part: AnswerPart,
    },
    /// Entry to owner: the caller is gone.
    ForwardCancel {
        /// The request.
        request: RequestId,
    },
    /// Entry to owner: a caller asks for the answer of an earlier call.
    ForwardFetch {
        /// What it asks for.
        fetch: Box<Fetch>,
        /// How often it was passed on already.
        hops: u8,
    },
    /// Entry to owner: the caller or an operator ends a program.
    EndProgram {
        /// The program.
        program: ProgramId,
        /// Who ends it.
        reason: EndReason,
    },
    /// Owner to sidecar: run a call.
    Dispatch(Box<Dispatch>),
    /// Sidecar to owner: a part of the answer.
    DispatchReply {
        /// The attempt.
        attempt: AttemptId,
        /// The part.
        part: AnswerPart,
        /// Whether the call was sent to the backend server; false with a failure means not run.
        started: bool,
        /// What was counted so far.
        used: Usage,
    },
    /// Owner to sidecar: stop a call.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
    },
    /// New owner to sidecar: take no more from earlier owners of this partition, and say what is
    /// kept of their calls.
    TakeOver {
        /// The partition.
        partition: PartitionId,
        /// The new owner's epoch.
        epoch: Epoch,
    },
    /// Sidecar to new owner: the calls of a partition that no owner has said to be on record.
    Kept {
        /// The partition.
        partition: PartitionId,
        /// The epoch of the owner that asked.
        epoch: Epoch,
        /// The calls.
        calls: Vec<KeptCall>,
    },
    /// Owner to sidecar: never start this attempt from now on, and say what became of it.
    Fence {
        /// The attempt.
        attempt: AttemptId,
        /// Its call.
        call: CallKey,
        /// Its partition.
        partition: PartitionId,
        /// The owner's epoch.
        epoch: Epoch,
        /// The epoch under which the attempt was put on record.
        started_epoch: Epoch,
        /// The life of the sidecar to which the attempt was sent.
        incarnation: Incarnation,
    },
    /// Sidecar to owner: what became of an attempt.
    FenceReply {
        /// The attempt.
        attempt: AttemptId,
        /// Its call.
        call: CallKey,
        /// What is known.
        verdict: FenceVerdict,
    },
    /// Owner to sidecar: send the answer from a position on, and all that follows.
    Attach {
        /// The attempt.
        attempt: AttemptId,
        /// The owner's epoch.
        epoch: Epoch,
        /// The count of characters already received.
        position: u64,
    },
    /// Owner to sidecar: the answer is on record and need not be kept.
    Committed {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Owner to sidecar: keep the cache of these programs for a while longer.
    Lease {
        /// The programs' partition.
        partition: PartitionId,
        /// The owner's epoch.
        epoch: Epoch,
        /// The programs.
        programs: Vec<ProgramId>,
        /// How long the lease lasts.
        ttl_us: SpanUs,
    },
    /// Owner to sidecar: a program has ended; free its cache.
    Release {
        /// The program.
        program: ProgramId,
        /// The chains of its prompts and answers as far as the owner knows them; the sidecar may
        /// have lost its own list with an earlier life.
        chains: Vec<ChainHash>,
        /// Its partition.
        partition: PartitionId,
        /// The owner's epoch.
        epoch: Epoch,
    },
    /// Sidecar to owner: the program holds no cache here.
    Released {
        /// The program.
        program: ProgramId,
        /// The tokens freed.
        freed_tokens: Tokens,
    },
    /// Sidecar to entries: the engine's load and what waits at the gate.
    Load(BackendLoad),
    /// Sidecar to entries: changes of the engine's cache.
    Cache {
        /// The number of the first event.
        first: u64,
        /// The events.
        events: Vec<CacheEvent>,
    },
    /// Decider to sidecar: an order for the engine.
    Order {
        /// The life of the sidecar that the decider means.
        target: Incarnation,
        /// The order.
        order: OrderBody,
    },
    /// Sidecar to decider: what became of an order.
    OrderReply {
        /// The order.
        id: OrderId,
        /// What became of it.
        outcome: OrderOutcome,
    },
    /// Sidecar to entries: what the engine serves.
    Engine(EngineState),
}

/// Says that a process lives, and what it knows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The revision in force at the sender, by service.
    pub revisions: BTreeMap<ServiceName, Revision>,
    /// The offset up to which the sender has read the configuration.
    pub config_offset: Offset,
    /// Whether the sender takes no new work.
    pub leaving: bool,
    /// Whether the sender has read all that it must know.
    pub is_ready: bool,
    /// How long the sender has not heard the receiver.
    pub silence_us: SpanUs,
    /// Entry to sidecar: the number of the decider for its service.
    pub decider: Option<FencingNumber>,
}

/// A call on its way to a backend server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Dispatch {
    /// This attempt.
    pub attempt: AttemptId,
    /// The request that the caller's entry drew for the call.
    pub request: RequestId,
    /// The digest of the request.
    pub digest: ChainHash,
    /// The call.
    pub call: CallKey,
    /// The program's partition.
    pub partition: PartitionId,
    /// The owner's epoch.
    pub epoch: Epoch,
    /// The service.
    pub service: ServiceName,
    /// The revision under which the whole call runs.
    pub revision: Revision,
    /// The class.
    pub class: ClassName,
    /// Whether the call may be run again.
    pub idempotent: bool,
    /// The time left to the deadline.
    pub deadline_left_us: SpanUs,
    /// What the program, with its sub-agents, has been served so far.
    pub attained_tokens: Tokens,
    /// The most tokens to generate; reserved from the budget.
    pub max_output_tokens: Tokens,
    /// The tokens that the call will probably generate.
    pub expected_output_tokens: Tokens,
    /// The tool that the program says it will call after this turn.
    pub next_tool: Option<ToolName>,
    /// What to run.
    pub payload: Payload,
}

/// What became of an engine order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderOutcome {
    /// The engine's state shows its effect.
    Done,
    /// It was not passed to the engine, and why.
    Refused(String),
    /// The engine did not carry it out, and why.
    Failed(String),
}

/// A call that a sidecar keeps until its owner says that it is on record.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct KeptCall {
    /// The attempt, to attach to.
    pub attempt: AttemptId,
    /// The caller's request.
    pub request: RequestId,
    /// The digest of the request.
    pub digest: ChainHash,
    /// The call.
    pub call: CallKey,
    /// Whether it may be run again.
    pub idempotent: bool,
    /// Whether it has ended with an answer.
    pub answered: bool,
    /// Whether it has ended at all.
    pub ended: bool,
    /// What was counted so far.
    pub used: Usage,
    /// The transcript that it was given; empty for plain calls.
    pub messages: Vec<ChatMessage>,
    /// The text of its answer so far.
    pub answer: String,
}

/// What became of a fenced call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum FenceVerdict {
    /// It was never sent to the backend server, and never will be.
    NeverRan,
    /// It runs; attach to it.
    Running,
    /// It has ended; attach to get the answer.
    Ended,
    /// The sidecar has restarted since, or keeps nothing of it.
    Unknown,
}

/// A backend server's load as its sidecar knows it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendLoad {
    /// The engine's own report.
    pub engine: LoadReport,
    /// Calls that wait at the gate.
    pub waiting: u32,
    /// Tokens of prompt and expected output that wait at the gate.
    pub waiting_tokens: Tokens,
}
