//! Defines the messages between entries and sidecars.
//!
//! Each message is one CBOR item in a binary websocket frame. Times are sent as spans, since the
//! clocks of processes are not synchronized.

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

/// Identity of the process at the other end of a link, authenticated when the link came up.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// VM that the process runs on.
    pub vm: VmId,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Role of the VM.
    pub role: VmRole,
    /// Availability zone of the VM.
    pub zone: ZoneName,
    /// Service of the backend server; absent for entries.
    pub service: Option<ServiceName>,
}

/// A message between two processes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Sender is alive; carries its status.
    Heartbeat(Heartbeat),
    /// Documents that the receiver lacks according to its heartbeat.
    Documents(Vec<PublishedDocument>),
    /// Entry to owner: request of a caller.
    Forward {
        /// Forwarded request.
        request: Box<Request>,
        /// Number of times that it was forwarded already.
        hops: u8,
    },
    /// Owner to entry: part of an answer.
    ForwardReply {
        /// Identifies the request.
        request: RequestId,
        /// Part of the answer.
        part: AnswerPart,
    },
    /// Entry to owner: the caller has disconnected.
    ForwardCancel {
        /// Identifies the request.
        request: RequestId,
    },
    /// Entry to owner: a caller requests the answer of an earlier call.
    ForwardFetch {
        /// Requested answer.
        fetch: Box<Fetch>,
        /// Number of times that it was forwarded already.
        hops: u8,
    },
    /// Entry to owner: a caller or an operator ends a program.
    EndProgram {
        /// Identifies the program.
        program: ProgramId,
        /// Reason for the end.
        reason: EndReason,
    },
    /// Owner to sidecar: run a call.
    Dispatch(Box<Dispatch>),
    /// Sidecar to owner: part of an answer.
    DispatchReply {
        /// Identifies the attempt.
        attempt: AttemptId,
        /// Part of the answer.
        part: AnswerPart,
        /// Whether the call was sent to the backend server; a failure without it means not run.
        started: bool,
        /// Usage so far.
        used: Usage,
    },
    /// Owner to sidecar: cancel a call.
    Cancel {
        /// Identifies the attempt.
        attempt: AttemptId,
    },
    /// New owner to sidecar: reject earlier owners of this partition, and report the calls kept
    /// from them.
    TakeOver {
        /// Partition that was taken over.
        partition: PartitionId,
        /// Epoch of the new owner.
        epoch: Epoch,
    },
    /// Sidecar to new owner: calls of a partition that no owner has confirmed as recorded.
    Kept {
        /// Partition that was taken over.
        partition: PartitionId,
        /// Epoch of the requesting owner.
        epoch: Epoch,
        /// Kept calls.
        calls: Vec<KeptCall>,
    },
    /// Owner to sidecar: never start this attempt from now on, and report what became of it.
    Fence {
        /// Identifies the attempt.
        attempt: AttemptId,
        /// Call of the attempt.
        call: CallKey,
        /// Partition of the program.
        partition: PartitionId,
        /// Epoch of the owner.
        epoch: Epoch,
        /// Epoch under which the attempt was recorded.
        started_epoch: Epoch,
        /// Incarnation of the sidecar that the attempt was sent to.
        incarnation: Incarnation,
    },
    /// Sidecar to owner: what became of an attempt.
    FenceReply {
        /// Identifies the attempt.
        attempt: AttemptId,
        /// Call of the attempt.
        call: CallKey,
        /// Known outcome of the attempt.
        verdict: FenceVerdict,
    },
    /// Owner to sidecar: send the answer from a position on, and all further parts.
    Attach {
        /// Identifies the attempt.
        attempt: AttemptId,
        /// Epoch of the owner.
        epoch: Epoch,
        /// Number of characters already received.
        position: u64,
    },
    /// Owner to sidecar: the answer is recorded and need not be kept.
    Committed {
        /// Identifies the attempt.
        attempt: AttemptId,
    },
    /// Owner to sidecar: renew the cache leases of programs.
    Lease {
        /// Partition of the programs.
        partition: PartitionId,
        /// Epoch of the owner.
        epoch: Epoch,
        /// Programs to renew.
        programs: Vec<ProgramId>,
        /// Duration of the lease from receipt.
        ttl_us: SpanUs,
    },
    /// Owner to sidecar: free the cache of an ended program.
    Release {
        /// Identifies the program.
        program: ProgramId,
        /// Chains of its prompts and answers that the owner knows, since the sidecar may have lost
        /// its own list in a restart.
        chains: Vec<ChainHash>,
        /// Partition of the program.
        partition: PartitionId,
        /// Epoch of the owner.
        epoch: Epoch,
    },
    /// Sidecar to owner: the program holds no cache on this backend server.
    Released {
        /// Identifies the program.
        program: ProgramId,
        /// Number of freed tokens.
        freed_tokens: Tokens,
    },
    /// Sidecar to entries: load of the engine and of the admission queue.
    Load(BackendLoad),
    /// Sidecar to entries: changes of the engine cache.
    Cache {
        /// Sequence number of the first event.
        first: u64,
        /// Cache events in order.
        events: Vec<CacheEvent>,
    },
    /// Decider to sidecar: order for the engine.
    Order {
        /// Incarnation of the sidecar that the order is for.
        target: Incarnation,
        /// Order to pass to the engine.
        order: OrderBody,
    },
    /// Sidecar to decider: outcome of an order.
    OrderReply {
        /// Identifies the order.
        id: OrderId,
        /// Outcome of the order.
        outcome: OrderOutcome,
    },
    /// Sidecar to entries: what the engine serves.
    Engine(EngineState),
}

/// Status of a process, sent periodically.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Active revision at the sender, by service.
    pub revisions: BTreeMap<ServiceName, Revision>,
    /// Offset up to which the sender has read the configuration.
    pub config_offset: Offset,
    /// Whether the sender accepts no new calls.
    pub leaving: bool,
    /// Whether the sender is ready to serve.
    pub is_ready: bool,
    /// Time since the sender last received a message from the receiver.
    pub silence_us: SpanUs,
    /// Entry to sidecar: fencing number of the decider for the sidecar's service.
    pub decider: Option<FencingNumber>,
}

/// A call that an owner sends to a sidecar.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Dispatch {
    /// Identifies the attempt.
    pub attempt: AttemptId,
    /// Request id that the caller's entry generated for the call.
    pub request: RequestId,
    /// Digest of the request.
    pub digest: ChainHash,
    /// Identifies the call.
    pub call: CallKey,
    /// Partition of the program.
    pub partition: PartitionId,
    /// The owner's epoch.
    pub epoch: Epoch,
    /// Service to call.
    pub service: ServiceName,
    /// Document revision that applies to the whole call.
    pub revision: Revision,
    /// Class of the call.
    pub class: ClassName,
    /// Whether the call may be run more than once.
    pub idempotent: bool,
    /// Time left until the deadline.
    pub deadline_left_us: SpanUs,
    /// Service that the program and its sub-agents have attained so far.
    pub attained_tokens: Tokens,
    /// Maximum number of tokens to generate, which is reserved from the budget.
    pub max_output_tokens: Tokens,
    /// Expected number of generated tokens.
    pub expected_output_tokens: Tokens,
    /// Tool that the program has announced to call after this turn.
    pub next_tool: Option<ToolName>,
    /// Content of the call.
    pub payload: Payload,
}

/// Outcome of an engine order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderOutcome {
    /// The engine's state shows the effect.
    Done,
    /// The order was not passed to the engine, for the given reason.
    Refused(String),
    /// The engine did not execute the order, for the given reason.
    Failed(String),
}

/// A call that a sidecar keeps until its owner confirms that it is recorded.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct KeptCall {
    /// Attempt to attach to.
    pub attempt: AttemptId,
    /// Request of the caller.
    pub request: RequestId,
    /// Digest of the request.
    pub digest: ChainHash,
    /// Identifies the call.
    pub call: CallKey,
    /// Whether the call may be run more than once.
    pub idempotent: bool,
    /// Whether the call has ended with an answer.
    pub answered: bool,
    /// Whether the call has ended.
    pub ended: bool,
    /// Usage so far.
    pub used: Usage,
    /// Transcript sent with the call; empty for plain calls.
    pub messages: Vec<ChatMessage>,
    /// Text of the answer so far.
    pub answer: String,
}

/// Outcome of a fenced call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum FenceVerdict {
    /// The call was never sent to the backend server, and never will be.
    NeverRan,
    /// The call is running and can be attached to.
    Running,
    /// The call has ended; attaching returns the answer.
    Ended,
    /// The sidecar has restarted since, or keeps no record of the call.
    Unknown,
}

/// Load of a backend server as known to its sidecar.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendLoad {
    /// Load reported by the engine.
    pub engine: LoadReport,
    /// Number of calls that wait for admission.
    pub waiting: u32,
    /// Prompt tokens of the calls that wait for admission.
    pub waiting_tokens: Tokens,
}
