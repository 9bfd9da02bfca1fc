//! What goes into a sidecar and what comes out of it, and what it knows of one attempt.

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

/// How a sidecar is set up.
#[derive(Debug, Clone)]
pub struct SidecarSettings {
    /// Its VM.
    pub vm: VmId,
    /// The life of this process.
    pub incarnation: Incarnation,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The service of its backend server.
    pub service: ServiceName,
    /// The time between two heartbeats.
    pub heartbeat_us: SpanUs,
    /// How long an ended call's answer is kept when no owner says that it is on record.
    pub keep_answers_us: SpanUs,
    /// The safeguards in force; all but in test runs.
    pub safeguards: Safeguards,
}

impl SidecarSettings {
    /// Settings for the sidecar of `service` on `vm`, with the usual times.
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

/// What the backend server says of an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BackendEvent {
    /// Generated text and the count of characters before it.
    Text {
        /// The count of characters before this text.
        position: u64,
        /// The text.
        text: String,
        /// The tokens that the text stands for.
        count_tokens: Tokens,
    },
    /// The engine has ended the turn.
    Done {
        /// What was counted.
        usage: Usage,
        /// Why it ended.
        finish: FinishReason,
        /// The chain over prompt and answer that now lies in the cache.
        cached: Vec<Segment>,
    },
    /// A plain service has answered.
    Plain(PlainAnswer),
    /// The backend server failed.
    Failed {
        /// Why.
        detail: String,
        /// Whether it surely never got the call.
        not_run: bool,
    },
}

/// What a sidecar reacts to.
#[derive(Debug, Clone, PartialEq)]
pub enum SidecarInput {
    /// An entry's link came up.
    LinkUp(Peer),
    /// An entry's link went down.
    LinkDown(VmId),
    /// An entry says something.
    Link {
        /// The entry.
        from: VmId,
        /// What it says.
        message: Message,
    },
    /// The backend server says something of an attempt.
    Backend {
        /// The attempt.
        attempt: AttemptId,
        /// What it says.
        event: BackendEvent,
    },
    /// The engine's load report.
    Load(LoadReport),
    /// The engine's cache events.
    Cache {
        /// The number of the first event.
        first: u64,
        /// The events.
        events: Vec<CacheEvent>,
    },
    /// The engine has freed the cache of a program.
    Released {
        /// The program.
        program: ProgramId,
        /// The tokens freed; absent when the engine did not answer.
        freed_tokens: Option<Tokens>,
    },
    /// What the engine says that it serves.
    Engine(EngineState),
    /// The engine has answered an order.
    OrderDone {
        /// The entry that gave it.
        from: VmId,
        /// The engine's state.
        state: EngineState,
        /// Why it was refused, if it was.
        refused: Option<String>,
    },
    /// Time has passed.
    Tick,
    /// Take no new work, finish what runs.
    Shutdown,
    /// The process ends now: tell the owners of what is unfinished.
    Force,
}

/// What a sidecar does.
#[derive(Debug, Clone, PartialEq)]
pub enum SidecarAction {
    /// Say something to an entry.
    Send {
        /// The entry.
        to: VmId,
        /// What to say.
        message: Message,
    },
    /// Start a turn at the engine.
    Generate(Box<GenerateBody>),
    /// Start a call of the plain service.
    Call {
        /// The attempt.
        attempt: AttemptId,
        /// The call.
        call: PlainCall,
        /// The time left for it.
        deadline_left_us: SpanUs,
    },
    /// Stop an attempt at the backend server.
    Cancel(AttemptId),
    /// Free cached prefixes and report with [`SidecarInput::Released`].
    Release {
        /// The program.
        program: ProgramId,
        /// The chains of its prefixes.
        chains: Vec<ChainHash>,
    },
    /// Free all cached prefixes but these; what a call in the engine uses stays.
    Retain {
        /// The chains, each of which stands for the whole prefix that ends with it.
        chains: Vec<ChainHash>,
    },
    /// Pass an order to the engine and report with [`SidecarInput::OrderDone`].
    Order {
        /// The entry that gave it.
        from: VmId,
        /// The order.
        order: OrderBody,
    },
    /// Log an event.
    Log(Event),
    /// Everything has finished: the process may exit.
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
    /// Whom to tell; nobody between a take-over and the new owner's attaching.
    pub(crate) owner: Option<VmId>,
    pub(crate) phase: Phase,
    /// Whether it was sent to the backend server.
    pub(crate) started: bool,
    pub(crate) used: Usage,
    pub(crate) text: String,
    pub(crate) characters: u64,
    /// What the owner was sent last, kept for one that attaches later.
    pub(crate) last: Option<AnswerPart>,
    pub(crate) plain: Option<PlainAnswer>,
    pub(crate) deadline_us: TimeUs,
}

impl Attempt {
    /// The message that gives the owner a part of the answer, where there is an owner to tell.
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

    /// The whole transcript and answer as far as they are cached after an end without a report.
    pub(crate) fn prompt_chains(&self) -> Vec<ChainHash> {
        match &self.dispatch.payload {
            Payload::Chat(chat) => chat.prompt.segments.iter().map(|s| s.chain).collect(),
            Payload::Plain(_) => Vec::new(),
        }
    }
}

/// An attempt that must not start here (again).
#[derive(Debug, Clone, Copy)]
pub(crate) struct Closed {
    pub(crate) partition: PartitionId,
    pub(crate) epoch: Epoch,
    /// Whether it was sent to the backend server and its answer is kept no more.
    pub(crate) ran: bool,
}

#[derive(Debug, Clone, Default)]
pub(crate) struct Lease {
    pub(crate) until_us: TimeUs,
    pub(crate) chains: BTreeSet<ChainHash>,
    pub(crate) releasing: bool,
    /// The owner that waits to hear that the cache is free.
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
