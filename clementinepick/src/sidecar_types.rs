//! Defines the settings, inputs, actions and per-attempt state of a sidecar.

use std::collections::BTreeSet;

use crate::call::{AnswerPart, FinishReason, Payload, PlainAnswer, PlainCall, Usage};
use crate::error::CallError;
use crate::event::{Event, EventKind};
use crate::ids::{
    AttemptId, Epoch, Incarnation, PartitionId, ProgramId, ServiceName, VmId, ZoneName,
};
use crate::message::{Dispatch, Message, Peer};
use crate::platform::{CacheEvent, EngineState, GenerateBody, LoadReport, OrderBody};
use crate::prompt::{ChainHash, Segment};
use crate::safeguards::Safeguards;
use crate::units::{SpanUs, TimeUs, Tokens};

/// Settings of a sidecar.
#[derive(Debug, Clone)]
pub struct SidecarSettings {
    /// VM that the sidecar runs on.
    pub vm: VmId,
    /// Incarnation of this process.
    pub incarnation: Incarnation,
    /// Availability zone of the VM.
    pub zone: ZoneName,
    /// Service of the backend server.
    pub service: ServiceName,
    /// Time between two heartbeats.
    pub heartbeat_us: SpanUs,
    /// Time for which the answer of an ended call is kept if no owner confirms that it is recorded.
    pub keep_answers_us: SpanUs,
    /// Enabled safeguards; all of them except in test runs.
    pub safeguards: Safeguards,
}

impl SidecarSettings {
    /// Creates settings for the sidecar of `service` on `vm`, with default times.
    #[must_use]
    pub fn new(vm: VmId, incarnation: Incarnation, zone: ZoneName, service: ServiceName) -> Self {
        Self {
            vm,
            incarnation,
            zone,
            service,
            heartbeat_us: SpanUs::from_ms(500),
            keep_answers_us: SpanUs::from_s(3_600),
            safeguards: Safeguards::default(),
        }
    }
}

/// Event that the backend server reports for an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BackendEvent {
    /// The engine generated text.
    Text {
        /// Number of characters before this text.
        position: u64,
        /// Generated text.
        text: String,
        /// Number of tokens in the text.
        count_tokens: Tokens,
    },
    /// The engine finished the turn.
    Done {
        /// Token usage of the turn.
        usage: Usage,
        /// Reason why the turn finished.
        finish: FinishReason,
        /// Cached segments of prompt and answer.
        cached: Vec<Segment>,
    },
    /// A plain service answered.
    Plain(PlainAnswer),
    /// The backend server failed.
    Failed {
        /// Description of the failure.
        detail: String,
        /// Whether the backend server certainly did not receive the call.
        not_run: bool,
    },
}

/// Input of a sidecar.
#[derive(Debug, Clone, PartialEq)]
pub enum SidecarInput {
    /// The link to an entry came up.
    LinkUp(Peer),
    /// The link to an entry went down.
    LinkDown(VmId),
    /// An entry sent a message.
    Link {
        /// Sender.
        from: VmId,
        /// Received message.
        message: Message,
    },
    /// The backend server reported an event for an attempt.
    Backend {
        /// Identifies the attempt.
        attempt: AttemptId,
        /// Reported event.
        event: BackendEvent,
    },
    /// The engine reported its load.
    Load(LoadReport),
    /// The engine reported cache events.
    Cache {
        /// Sequence number of the first event.
        first: u64,
        /// Cache events in order.
        events: Vec<CacheEvent>,
    },
    /// A request to free the cache of a program ended.
    Released {
        /// Identifies the program.
        program: ProgramId,
        /// Number of freed tokens; absent if the engine did not reply.
        freed_tokens: Option<Tokens>,
    },
    /// The engine reported what it serves.
    Engine(EngineState),
    /// The engine replied to an order.
    OrderDone {
        /// Entry that sent the order.
        from: VmId,
        /// State of the engine.
        state: EngineState,
        /// Reason if the engine refused the order.
        refused: Option<String>,
    },
    /// Periodic timer.
    Tick,
    /// Requests a graceful shutdown: refuse new calls and finish open ones.
    Shutdown,
    /// Requests an immediate shutdown: report open calls to their owners as failed.
    Force,
}

/// Action requested by a sidecar.
#[derive(Debug, Clone, PartialEq)]
pub enum SidecarAction {
    /// Send a message to an entry.
    Send {
        /// Receiver.
        to: VmId,
        /// Message to send.
        message: Message,
    },
    /// Start a turn on the engine.
    Generate(Box<GenerateBody>),
    /// Start a call to the plain service.
    Call {
        /// Identifies the attempt.
        attempt: AttemptId,
        /// Call to make.
        call: PlainCall,
        /// Time left until the deadline.
        deadline_left_us: SpanUs,
    },
    /// Cancel an attempt on the backend server.
    Cancel(AttemptId),
    /// Free cached prefixes and report with [`SidecarInput::Released`].
    Release {
        /// Identifies the program.
        program: ProgramId,
        /// Chains of the prefixes to free.
        chains: Vec<ChainHash>,
    },
    /// Free all cached prefixes except these and those in use by running calls.
    Retain {
        /// Chains to keep; each stands for the whole prefix that ends with it.
        chains: Vec<ChainHash>,
    },
    /// Pass an order to the engine and report with [`SidecarInput::OrderDone`].
    Order {
        /// Entry that sent the order.
        from: VmId,
        /// Order to pass on.
        order: OrderBody,
    },
    /// Log an event.
    Log(Event),
    /// All work is finished; the process may exit.
    Finished,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    Waiting,
    Running,
    Ended { at_us: TimeUs },
}

#[derive(Debug, Clone)]
pub(crate) struct Attempt {
    pub(crate) dispatch: Dispatch,
    /// Receiver of the answer; absent between a takeover and the attach of the new owner.
    pub(crate) owner: Option<VmId>,
    pub(crate) phase: Phase,
    /// Whether the call was sent to the backend server.
    pub(crate) started: bool,
    pub(crate) used: Usage,
    pub(crate) text: String,
    pub(crate) characters: u64,
    /// Last part of the answer, kept for an owner that attaches later.
    pub(crate) last_part: Option<AnswerPart>,
    pub(crate) plain: Option<PlainAnswer>,
    pub(crate) deadline_us: TimeUs,
}

impl Attempt {
    /// Returns the action that sends a part of the answer to the owner, if there is one.
    pub(crate) fn reply(&self, part: AnswerPart) -> Option<SidecarAction> {
        let owner = self.owner.as_ref()?;
        let message = Message::DispatchReply {
            attempt: self.dispatch.attempt,
            part,
            started: self.started,
            used: self.used,
        };
        Some(send(owner, message))
    }

    /// Returns the chains of the prompt, which stay cached after an end without a cache report.
    pub(crate) fn prompt_chains(&self) -> Vec<ChainHash> {
        match &self.dispatch.payload {
            Payload::Chat(chat) => chat.prompt.segments.iter().map(|s| s.chain).collect(),
            Payload::Plain(_) => Vec::new(),
        }
    }
}

/// An attempt that must not start here.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ClosedAttempt {
    pub(crate) partition: PartitionId,
    pub(crate) epoch: Epoch,
    /// Whether the call was sent to the backend server; its answer is no longer kept.
    pub(crate) ran: bool,
}

/// Cache that a program holds until its lease expires.
#[derive(Debug, Clone, Default)]
pub(crate) struct Lease {
    pub(crate) until_us: TimeUs,
    pub(crate) chains: BTreeSet<ChainHash>,
    pub(crate) releasing: bool,
    /// Owner to notify when the cache is freed.
    pub(crate) notify: Option<VmId>,
}

pub(crate) fn send(to: &VmId, message: Message) -> SidecarAction {
    SidecarAction::Send {
        to: to.clone(),
        message,
    }
}

pub(crate) fn log(kind: EventKind, subject: impl ToString) -> SidecarAction {
    SidecarAction::Log(Event::new(kind).with("subject", subject))
}

pub(crate) fn refuse(to: &VmId, attempt: AttemptId, error: CallError) -> SidecarAction {
    send(
        to,
        Message::DispatchReply {
            attempt,
            part: AnswerPart::Failed(error),
            started: false,
            used: Usage::default(),
        },
    )
}
