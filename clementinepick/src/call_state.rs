//! What an entry keeps of a call on its way, of a live program and of a peer.

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

/// Where the parts of an answer go.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum ReplyTo {
    Caller,
    Entry(VmId),
    /// The caller is gone; the answer is kept for it to fetch.
    Nobody,
}

/// Whose answer a repeat waits for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Leader {
    /// A call that goes its way here.
    Request(RequestId),
    /// An open call of an earlier owner.
    Recorded(CallKey),
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Step {
    /// Waits for the partition's owner.
    Own,
    /// Passed on to the owner.
    Forwarded(VmId),
    /// Waits for an earlier call of its program.
    Order,
    /// Waits for the record of a slice.
    Slice,
    /// Waits for the record of its start.
    Claim,
    /// Waits, for a short time, for a backend server.
    Route { since_us: TimeUs },
    /// Runs.
    Running { attempt: AttemptId, target: VmId },
    /// May not run twice, and the link to its sidecar went down.
    Lost { attempt: AttemptId, target: VmId },
    /// Ended, waits for the turn's record.
    Record { since_us: TimeUs },
    /// Waits for the answer of the same call, asked for before.
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
    pub(crate) in_force: ActiveDocument,
    pub(crate) idempotent: bool,
    pub(crate) seq: Option<CallSeq>,
    /// Where its program's transcript on record is longer than what the caller sent.
    pub(crate) full_payload: Option<Payload>,
    /// The tokens held in the account of the program.
    pub(crate) held_tokens: Option<Tokens>,
    pub(crate) recorded_start: Option<RecordedStart>,
    pub(crate) tried: BTreeSet<VmId>,
    /// The prompt tokens that its backend server probably has to prefill.
    pub(crate) prefill_tokens: Tokens,
    /// Whether an attempt of it may have been sent to a backend server, here or at a lost owner.
    pub(crate) may_have_run: bool,
    /// The characters that the caller had before this request.
    pub(crate) resume_position: u64,
    /// The text that has come and was given to the caller.
    pub(crate) answer: AnswerText,
    pub(crate) plain: Option<PlainAnswer>,
    pub(crate) done: Option<CallDone>,
    /// When the caller left, until the call was told to stop.
    pub(crate) caller_left_us: Option<TimeUs>,
}

impl Call {
    /// What is run: the caller's payload, with the history before it where the caller appends.
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
            .in_force
            .document
            .class(&self.class)
            .map_or(Tokens(0), |c| c.max_output_tokens);
        chat.max_output_tokens
            .map_or(limit, |wanted| wanted.min(limit))
    }

    pub(crate) fn work_tokens(&self) -> Tokens {
        self.prompt().map_or(Tokens(0), Prompt::length_tokens) + self.max_output_tokens()
    }

    /// Whether nothing of the call goes on record: it is a program of its own that may be run
    /// again at will, so the log's append rate is not spent on it.
    pub(crate) fn is_unrecorded(&self) -> bool {
        self.request.single_call && self.idempotent && self.request.idempotency_key.is_none()
    }

    /// Whether the answer becomes a turn of a history.
    pub(crate) fn records_turn(&self) -> bool {
        matches!(self.request.payload, Payload::Chat(_)) && !self.is_unrecorded()
    }

    pub(crate) fn is_running(&self) -> bool {
        matches!(self.step, Step::Running { .. } | Step::Lost { .. })
    }

    /// Whether its partition can't be handed over before it has ended.
    pub(crate) fn blocks_handover(&self) -> bool {
        matches!(
            self.step,
            Step::Slice | Step::Claim | Step::Route { .. } | Step::Record { .. }
        ) || self.is_running()
    }
}

/// A turn that is answered and not yet read back from the log.
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

/// What the owner keeps of a live program beside the log's word.
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
    /// Sidecars that may hold its cache.
    pub(crate) holders: BTreeSet<VmId>,
    /// The chains of the prompts that were sent there.
    pub(crate) chains: BTreeSet<ChainHash>,
    pub(crate) since_us: TimeUs,
    pub(crate) last_used_us: TimeUs,
    pub(crate) is_opening: bool,
    /// Whether the record of a slice is under way.
    pub(crate) is_reserving_slice: bool,
    /// Turns that are not yet read back, in order.
    pub(crate) pending_turns: Vec<PendingTurn>,
    /// Whether an earlier owner may have had turns that never came on record.
    pub(crate) may_have_unrecorded_turns: bool,
    /// Whether an earlier owner served it.
    pub(crate) is_inherited: bool,
    /// The last call's digest, and how often it came in a row.
    pub(crate) repeats: (ChainHash, u32),
    /// Set when the budget is spent: the program ends when nothing of it runs.
    pub(crate) is_budget_exhausted: bool,
}

/// What a record that was written here is awaited for.
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

/// An open non-idempotent call of an earlier owner, or one whose caller was told that its outcome
/// is not known.
#[derive(Debug, Clone)]
pub(crate) struct OpenCall {
    pub(crate) partition: PartitionId,
    pub(crate) attempt: AttemptId,
    pub(crate) target: VmId,
    pub(crate) incarnation: Incarnation,
    pub(crate) started_epoch: Epoch,
    pub(crate) since_us: TimeUs,
    /// When the sidecar was asked last.
    pub(crate) asked_us: Option<TimeUs>,
    pub(crate) is_attached: bool,
    pub(crate) answer: AnswerText,
    pub(crate) plain: Option<PlainAnswer>,
    /// The transcript that the call was given, where its sidecar has reported it.
    pub(crate) kept: Option<KeptCall>,
}

/// A program whose release has not been confirmed by all sidecars.
#[derive(Debug, Clone, Default)]
pub(crate) struct Releasing {
    pub(crate) partition: PartitionId,
    pub(crate) holders: BTreeSet<VmId>,
    pub(crate) chains: Vec<ChainHash>,
    pub(crate) next_us: TimeUs,
}

/// The end of a program that was asked for.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EndRequest {
    pub(crate) reason: EndReason,
    pub(crate) next_us: TimeUs,
    pub(crate) until_us: TimeUs,
}

/// A program that has ended and is still remembered.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EndedProgram {
    pub(crate) partition: PartitionId,
    pub(crate) reason: EndReason,
    pub(crate) at_us: TimeUs,
}

/// A partition that was taken over and whose sidecars have not all reported yet.
#[derive(Debug, Clone)]
pub(crate) struct Takeover {
    pub(crate) waits_for: BTreeSet<VmId>,
    pub(crate) until_us: TimeUs,
}

/// How claims over one partition's owners are spaced.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ClaimBackoff {
    /// Take-overs seen shortly after each other.
    pub(crate) changes: u32,
    pub(crate) last_change_us: TimeUs,
    pub(crate) not_before_us: TimeUs,
}

#[derive(Debug, Clone)]
pub(crate) struct PeerState {
    pub(crate) peer: Peer,
    pub(crate) link_up_us: TimeUs,
    /// Whether it has read all that it must know.
    pub(crate) is_ready: bool,
    pub(crate) heard_us: TimeUs,
    pub(crate) leaving: bool,
    /// What its last heartbeat said; absent before the first.
    pub(crate) revisions: Option<BTreeMap<ServiceName, Revision>>,
    /// Whether that heartbeat lacked a document.
    pub(crate) lacks_documents: bool,
    /// The number of the first read of the configuration that began after its link came up.
    pub(crate) confirmed_by_read: u64,
    /// The documents that were sent over its link.
    pub(crate) sent_documents: BTreeSet<(ServiceName, Revision)>,
}

/// The documents sent to a peer that are remembered; one that is forgotten is sent again.
const MAX_SENT: usize = 256;

impl PeerState {
    pub(crate) fn record_sent_document(&mut self, key: (ServiceName, Revision)) {
        self.sent_documents.insert(key);
        if self.sent_documents.len() > MAX_SENT {
            self.sent_documents.pop_first();
        }
    }

    /// Whether a peer has a document, or will have it before what is sent next.
    pub(crate) fn has_document(&self, key: &(ServiceName, Revision)) -> bool {
        let said = self.revisions.as_ref().and_then(|all| all.get(&key.0));
        // A sidecar runs the call by this very revision; an owner judges it by its newest one.
        let has = match self.peer.role {
            VmRole::Sidecar => said == Some(&key.1),
            VmRole::Entry => said >= Some(&key.1),
        };
        has || self.sent_documents.contains(key)
    }
}

/// Answers that sidecars keep of an earlier owner's idempotent calls, by the caller's request.
pub(crate) type KeptAnswers = BTreeMap<RequestId, (VmId, KeptCall)>;
