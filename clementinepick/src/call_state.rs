//! Defines the state that an entry keeps for calls, programs, partition ownership and peers.

use std::collections::{BTreeMap, BTreeSet};

use crate::answer_text::AnswerText;
use crate::budget::Spending;
use crate::call::{CallDone, ChatMessage, FinishReason, Payload, PlainAnswer, Request, Usage};
use crate::config::ActiveDocument;
use crate::ids::{
    AttemptId, CallKey, CallSeq, ClassName, Epoch, IdempotencyKey, Incarnation, PartitionId,
    ProgramId, RecordId, RequestId, Revision, ServiceName, VmId,
};
use crate::message::{KeptCall, Peer};
use crate::platform::VmRole;
use crate::prompt::{ChainHash, Prompt};
use crate::record::EndReason;
use crate::sequencer::Sequencer;
use crate::units::{TimeUs, Tokens};

/// The recipient of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum ReplyTo {
    Caller,
    Entry(VmId),
    /// The caller has disconnected and may fetch the answer later.
    Nobody,
}

/// The call whose answer a repeat waits for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Leader {
    /// A call in progress at this entry.
    Request(RequestId),
    /// An unresolved call of an earlier owner.
    Recorded(CallKey),
}

/// The processing step of a call; its `Debug` text is part of the state dump.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Step {
    /// Waits for the partition's owner.
    Own,
    /// Forwarded to the owner.
    Forwarded(VmId),
    /// Waits for an earlier call of its program.
    Order,
    /// Waits for the record of a budget slice.
    Slice,
    /// Waits for its start record.
    Claim,
    /// Waits up to `backend_wait_us` for a backend server.
    Route { since_us: TimeUs },
    /// Runs at a backend server.
    Running { attempt: AttemptId, target: VmId },
    /// Non-idempotent and sent, and the link to its sidecar is down.
    Lost { attempt: AttemptId, target: VmId },
    /// Answered; waits for the record of the turn or the outcome.
    Record { since_us: TimeUs },
    /// A repeat that waits for the answer of the original call.
    Follow(Leader),
}

/// The recorded start of a non-idempotent call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct RecordedStart {
    pub(crate) attempt: AttemptId,
    pub(crate) target: VmId,
    pub(crate) incarnation: Incarnation,
    pub(crate) record: RecordId,
}

#[derive(Debug, Clone)]
pub(crate) struct Call {
    pub(crate) request: Request,
    pub(crate) digest: ChainHash,
    pub(crate) partition: PartitionId,
    pub(crate) reply_to: ReplyTo,
    pub(crate) hops: u8,
    pub(crate) step: Step,
    pub(crate) deadline_us: TimeUs,
    pub(crate) class: ClassName,
    pub(crate) active_document: ActiveDocument,
    pub(crate) idempotent: bool,
    pub(crate) seq: Option<CallSeq>,
    /// The payload preceded by the recorded history, if the caller sent only new messages.
    pub(crate) full_payload: Option<Payload>,
    /// The tokens reserved in the program's budget.
    pub(crate) held_tokens: Option<Tokens>,
    pub(crate) recorded_start: Option<RecordedStart>,
    pub(crate) tried: BTreeSet<VmId>,
    /// The prompt tokens that the backend server is expected to prefill.
    pub(crate) prefill_tokens: Tokens,
    /// Whether an attempt may have been sent to a backend server, here or by a lost owner.
    pub(crate) may_have_run: bool,
    /// The number of characters that the caller had before this request.
    pub(crate) resume_position: u64,
    /// The text that was received and sent to the caller.
    pub(crate) answer: AnswerText,
    pub(crate) plain: Option<PlainAnswer>,
    pub(crate) done: Option<CallDone>,
    /// When the caller disconnected; reset when the call is cancelled.
    pub(crate) caller_left_us: Option<TimeUs>,
}

impl Call {
    /// Returns the payload to run: the caller's, preceded by the history if the caller appends.
    pub(crate) fn payload(&self) -> &Payload {
        self.full_payload.as_ref().unwrap_or(&self.request.payload)
    }

    pub(crate) fn prompt(&self) -> Option<&Prompt> {
        match self.payload() {
            Payload::Chat(chat) => Some(&chat.prompt),
            Payload::Plain(_) => None,
        }
    }

    pub(crate) fn max_output_tokens(&self) -> Tokens {
        let Payload::Chat(chat) = &self.request.payload else {
            return Tokens(0);
        };
        let limit = self
            .active_document
            .document
            .class(&self.class)
            .map_or(Tokens(0), |c| c.max_output_tokens);
        chat.max_output_tokens
            .map_or(limit, |wanted| wanted.min(limit))
    }

    pub(crate) fn work_tokens(&self) -> Tokens {
        self.prompt().map_or(Tokens(0), Prompt::length_tokens) + self.max_output_tokens()
    }

    /// Returns whether the call writes no records. It is idempotent, has no key and is the only
    /// call of its program, so records would use up the log's append rate for nothing.
    pub(crate) fn is_unrecorded(&self) -> bool {
        self.request.single_call && self.idempotent && self.request.idempotency_key.is_none()
    }

    /// Returns whether the answer is recorded as a turn of its program's history.
    pub(crate) fn records_turn(&self) -> bool {
        matches!(self.request.payload, Payload::Chat(_)) && !self.is_unrecorded()
    }

    pub(crate) fn is_running(&self) -> bool {
        matches!(self.step, Step::Running { .. } | Step::Lost { .. })
    }

    /// Returns whether the call must end before its partition can be handed over.
    pub(crate) fn blocks_handover(&self) -> bool {
        matches!(
            self.step,
            Step::Slice | Step::Claim | Step::Route { .. } | Step::Record { .. }
        ) || self.is_running()
    }
}

/// An answered turn whose record has not been read back from the log.
#[derive(Debug, Clone)]
pub(crate) struct PendingTurn {
    pub(crate) record: RecordId,
    pub(crate) call: CallKey,
    pub(crate) request: RequestId,
    pub(crate) digest: ChainHash,
    pub(crate) key: Option<IdempotencyKey>,
    pub(crate) messages: Vec<ChatMessage>,
    pub(crate) answer: String,
    pub(crate) usage: Usage,
    pub(crate) finish: Option<FinishReason>,
    pub(crate) after: ChainHash,
    pub(crate) attempt: AttemptId,
    pub(crate) target: VmId,
}

/// The owner's in-memory state of a live program, in addition to the recorded state.
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is about a record of its own"
)]
#[derive(Debug, Clone, Default)]
pub(crate) struct LiveProgram {
    pub(crate) partition: PartitionId,
    pub(crate) sequencer: Sequencer,
    pub(crate) spending: Spending,
    pub(crate) last_backend: Option<VmId>,
    /// The sidecars whose engines may hold cache of the program.
    pub(crate) holders: BTreeSet<VmId>,
    /// The chain hashes of the prompt segments that were sent to them.
    pub(crate) chains: BTreeSet<ChainHash>,
    pub(crate) since_us: TimeUs,
    pub(crate) last_used_us: TimeUs,
    pub(crate) is_opening: bool,
    /// Whether the record of a budget slice has been written and not read back.
    pub(crate) is_reserving_slice: bool,
    /// The turns that have not been read back, in order.
    pub(crate) pending_turns: Vec<PendingTurn>,
    /// Whether an earlier owner may have answered turns that were never recorded.
    pub(crate) may_have_unrecorded_turns: bool,
    /// Whether an earlier owner served the program.
    pub(crate) is_inherited: bool,
    /// The digest of the last call, and how often in a row it was received.
    pub(crate) consecutive_calls: (ChainHash, u32),
    /// Whether the budget is exhausted; the program ends once it is idle.
    pub(crate) is_budget_exhausted: bool,
}

/// What to do when a record written by this entry is read back.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Awaited {
    Claim(PartitionId),
    Opened(ProgramId),
    Slice(ProgramId),
    Started(RequestId),
    Ended {
        request: RequestId,
        target: VmId,
        attempt: AttemptId,
    },
    Turn {
        request: RequestId,
        program: ProgramId,
    },
    Yield(PartitionId),
    Snapshot(PartitionId),
    Other(PartitionId),
}

/// A non-idempotent call with an unresolved outcome: one of an earlier owner, or one whose caller
/// was told that the outcome is unknown.
#[derive(Debug, Clone)]
pub(crate) struct OpenCall {
    pub(crate) partition: PartitionId,
    pub(crate) attempt: AttemptId,
    pub(crate) target: VmId,
    pub(crate) incarnation: Incarnation,
    pub(crate) started_epoch: Epoch,
    pub(crate) since_us: TimeUs,
    /// When the sidecar was last queried.
    pub(crate) asked_us: Option<TimeUs>,
    pub(crate) is_attached: bool,
    pub(crate) answer: AnswerText,
    pub(crate) plain: Option<PlainAnswer>,
    /// The call with its transcript, if its sidecar has reported it.
    pub(crate) kept: Option<KeptCall>,
}

/// An ended program whose release has not been confirmed by all sidecars.
#[derive(Debug, Clone, Default)]
pub(crate) struct Releasing {
    pub(crate) partition: PartitionId,
    pub(crate) holders: BTreeSet<VmId>,
    pub(crate) chains: Vec<ChainHash>,
    pub(crate) next_us: TimeUs,
}

/// A request to end a program, repeated until the end is recorded.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EndRequest {
    pub(crate) reason: EndReason,
    pub(crate) next_us: TimeUs,
    pub(crate) until_us: TimeUs,
}

/// An ended program, remembered for `ended_retention_us`.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EndedProgram {
    pub(crate) partition: PartitionId,
    pub(crate) reason: EndReason,
    pub(crate) at_us: TimeUs,
}

/// A takeover of a partition for which sidecar reports are still missing.
#[derive(Debug, Clone)]
pub(crate) struct Takeover {
    pub(crate) waits_for: BTreeSet<VmId>,
    pub(crate) until_us: TimeUs,
}

/// The backoff between claims of one partition.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ClaimBackoff {
    /// The number of ownership changes in quick succession.
    pub(crate) changes: u32,
    pub(crate) last_change_us: TimeUs,
    pub(crate) not_before_us: TimeUs,
}

#[derive(Debug, Clone)]
pub(crate) struct PeerState {
    pub(crate) peer: Peer,
    pub(crate) link_up_us: TimeUs,
    /// Whether its last heartbeat reported that it is ready.
    pub(crate) is_ready: bool,
    pub(crate) heard_us: TimeUs,
    pub(crate) leaving: bool,
    /// The document revisions of its last heartbeat; absent before the first.
    pub(crate) revisions: Option<BTreeMap<ServiceName, Revision>>,
    /// Whether a document was missing in that heartbeat; true before the first.
    pub(crate) lacks_documents: bool,
    /// The number of the first read of the configuration that began after its link came up.
    pub(crate) confirmed_by_read: u64,
    /// The documents that were sent over the link.
    pub(crate) sent_documents: BTreeSet<(ServiceName, Revision)>,
}

/// The capacity of `sent_documents`; a document that was evicted from it is sent again.
const MAX_SENT_DOCUMENTS: usize = 256;

impl PeerState {
    pub(crate) fn record_sent_document(&mut self, key: (ServiceName, Revision)) {
        self.sent_documents.insert(key);
        if self.sent_documents.len() > MAX_SENT_DOCUMENTS {
            self.sent_documents.pop_first();
        }
    }

    /// Returns whether the peer has a document, or gets it before any message sent from now on.
    pub(crate) fn has_document(&self, key: &(ServiceName, Revision)) -> bool {
        let reported = self.revisions.as_ref().and_then(|all| all.get(&key.0));
        // A sidecar needs exactly this revision to run a call; an owner uses its newest one.
        let has = match self.peer.role {
            VmRole::Sidecar => reported == Some(&key.1),
            VmRole::Entry => reported >= Some(&key.1),
        };
        has || self.sent_documents.contains(key)
    }
}

/// The idempotent calls of earlier owners that sidecars have reported, by request.
pub(crate) type KeptAnswers = BTreeMap<RequestId, (VmId, KeptCall)>;
