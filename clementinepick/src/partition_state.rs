//! Holds the replayed state of a partition: its owner, programs, calls and turns.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::budget::{Account, Amount};
use crate::call::{ChatMessage, FinishReason, Usage};
use crate::ids::{
    AttemptId, CallKey, CallSeq, ClassName, Epoch, IdempotencyKey, Incarnation, ProgramId,
    RequestId, ServiceName, VmId,
};
use crate::prompt::ChainHash;
use crate::record::{CallOutcome, EndReason, PartitionRecord};

/// The entry that owns a partition.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// The entry.
    pub vm: VmId,
    /// The entry's incarnation.
    pub incarnation: Incarnation,
    /// The offset of its claim.
    pub epoch: Epoch,
}

/// A recorded non-idempotent call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedCall {
    /// The attempt recorded last.
    pub attempt: AttemptId,
    /// The request id.
    pub request: RequestId,
    /// The digest of the request.
    pub digest: ChainHash,
    /// The caller's idempotency key.
    pub key: Option<IdempotencyKey>,
    /// The sidecar that the call was sent to.
    pub target: VmId,
    /// The sidecar's incarnation.
    pub target_incarnation: Incarnation,
    /// The epoch in which the attempt was recorded.
    pub epoch: Epoch,
    /// The outcome; absent while it is unknown.
    pub outcome: Option<CallOutcome>,
}

/// A recorded turn.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedTurn {
    /// The request id.
    pub request: RequestId,
    /// The digest of the request.
    pub digest: ChainHash,
    /// The caller's idempotency key.
    pub key: Option<IdempotencyKey>,
    /// The index of the answer in the history.
    pub answer_at: usize,
    /// The tokens used.
    pub usage: Usage,
    /// Why the engine stopped generating.
    pub finish: Option<FinishReason>,
    /// The hash chain of the history up to and including the turn.
    pub chain: ChainHash,
}

/// The state of a program after replay.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ProgramState {
    /// The parent program of a sub-agent.
    pub parent: Option<ProgramId>,
    /// The root program of a sub-agent, whose account it spends from.
    pub root: Option<ProgramId>,
    /// The service of its first call.
    pub service: ServiceName,
    /// Its class.
    pub class: ClassName,
    /// The account that it spends from; for a sub-agent, the root's account is used instead.
    pub account: Account,
    /// The recorded transcript.
    pub history: Vec<ChatMessage>,
    /// The hash chain over the program's name and transcript.
    pub chain: ChainHash,
    /// The sequence number of the next call.
    pub next: CallSeq,
    /// The non-idempotent calls.
    pub calls: BTreeMap<CallSeq, RecordedCall>,
    /// The turns.
    pub turns: BTreeMap<CallSeq, RecordedTurn>,
    /// Why it ended; absent while it is live.
    pub ended: Option<EndReason>,
}

/// The state of a partition after replay.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct PartitionState {
    /// The owner; absent before the first claim.
    pub owner: Option<Owner>,
    /// Whether the owner has released the partition to the next claim.
    pub yielded: bool,
    /// Its programs.
    pub programs: BTreeMap<ProgramId, ProgramState>,
}

/// Returns the hash chain over a program's name and transcript.
#[must_use]
pub fn history_chain(program: &ProgramId, messages: &[ChatMessage]) -> ChainHash {
    let start = ChainHash::default().extend(program.as_str().as_bytes());
    extend_chain(start, messages)
}

/// Returns the hash chain extended by messages.
#[must_use]
pub fn extend_chain(chain: ChainHash, messages: &[ChatMessage]) -> ChainHash {
    messages.iter().fold(chain, |chain, message| {
        chain.extend_message(&message.role, &message.content)
    })
}

impl PartitionState {
    pub(crate) fn apply(&mut self, epoch: Epoch, entry: &PartitionRecord, digest_check: bool) {
        match entry {
            PartitionRecord::ProgramOpened { .. } => self.open_program(entry),
            PartitionRecord::SliceReserved {
                program,
                before,
                slice,
            } => {
                if let Some(state) = self.programs.get_mut(program) {
                    state.account.reserve(*before, *slice);
                }
            }
            PartitionRecord::SliceReturned {
                program,
                before,
                unused,
            } => {
                if let Some(state) = self.programs.get_mut(program) {
                    state.account.return_unused(*before, *unused);
                }
            }
            PartitionRecord::CallStarted { .. } => self.start_call(epoch, entry),
            PartitionRecord::CallEnded {
                call,
                attempt,
                outcome,
            } => self.end_call(call, *attempt, outcome),
            PartitionRecord::TurnAdded { .. } => self.add_turn(entry, digest_check),
            PartitionRecord::ProgramEnded {
                program, reason, ..
            } => {
                if let Some(state) = self.programs.get_mut(program) {
                    state.ended.get_or_insert(*reason);
                }
            }
            PartitionRecord::ProgramsForgotten { programs } => {
                for program in programs {
                    self.programs.remove(program);
                }
            }
            PartitionRecord::Yielded => self.yielded = true,
            PartitionRecord::Snapshot { .. } => {}
        }
    }

    fn open_program(&mut self, entry: &PartitionRecord) {
        let PartitionRecord::ProgramOpened {
            program,
            parent,
            root,
            service,
            class,
            budget,
            slice,
        } = entry
        else {
            return;
        };
        let mut account = Account::new(*budget);
        account.reserve(Amount::default(), *slice);
        let state = ProgramState {
            parent: parent.clone(),
            root: root.clone(),
            service: service.clone(),
            class: class.clone(),
            account,
            history: Vec::new(),
            chain: history_chain(program, &[]),
            next: CallSeq(0),
            calls: BTreeMap::new(),
            turns: BTreeMap::new(),
            ended: None,
        };
        self.programs.entry(program.clone()).or_insert(state);
    }

    fn start_call(&mut self, epoch: Epoch, entry: &PartitionRecord) {
        let PartitionRecord::CallStarted {
            call,
            attempt,
            request,
            digest,
            key,
            target,
            target_incarnation,
        } = entry
        else {
            return;
        };
        let Some(state) = self.programs.get_mut(&call.program) else {
            return;
        };
        // A call may be started again only if it is known not to have run.
        let can_start = state.calls.get(&call.seq).is_none_or(|known| {
            matches!(known.outcome, Some(CallOutcome::NeverRan(_))) && known.attempt != *attempt
        });
        if !can_start {
            return;
        }
        state.next = state.next.max(call.seq.next());
        let recorded = RecordedCall {
            attempt: *attempt,
            request: *request,
            digest: *digest,
            key: key.clone(),
            target: target.clone(),
            target_incarnation: *target_incarnation,
            epoch,
            outcome: None,
        };
        state.calls.insert(call.seq, recorded);
    }

    fn end_call(&mut self, call: &CallKey, attempt: AttemptId, outcome: &CallOutcome) {
        let Some(state) = self.programs.get_mut(&call.program) else {
            return;
        };
        let Some(recorded) = state.calls.get_mut(&call.seq) else {
            return;
        };
        if recorded.attempt != attempt || recorded.outcome.is_some() {
            return;
        }
        recorded.outcome = Some(outcome.clone());
        // The sequence number of a call that did not run is free again, as at the owner.
        if matches!(outcome, CallOutcome::NeverRan(_)) && state.next == call.seq.next() {
            state.next = call.seq;
        }
    }

    fn add_turn(&mut self, entry: &PartitionRecord, digest_check: bool) {
        let PartitionRecord::TurnAdded {
            call,
            request,
            digest,
            key,
            before,
            after,
            messages,
            answer,
            usage,
            finish,
        } = entry
        else {
            return;
        };
        let Some(state) = self.programs.get_mut(&call.program) else {
            return;
        };
        state.next = state.next.max(call.seq.next());
        let answer_message = ChatMessage::new("assistant", answer);
        let chain = extend_chain(state.chain, messages);
        let chain = extend_chain(chain, std::slice::from_ref(&answer_message));
        // A turn that does not continue the recorded history would leave a gap or mix in another
        // program's messages. The chain covers program, order and content, so such a turn does not
        // match.
        if digest_check && (state.chain != *before || chain != *after) {
            return;
        }
        state.history.extend(messages.iter().cloned());
        state.history.push(answer_message);
        state.chain = chain;
        let turn = RecordedTurn {
            request: *request,
            digest: *digest,
            key: key.clone(),
            answer_at: state.history.len() - 1,
            usage: *usage,
            finish: *finish,
            chain,
        };
        state.turns.insert(call.seq, turn);
        // The turn of a non-idempotent call is also the call's outcome.
        if let Some(recorded) = state.calls.get_mut(&call.seq)
            && recorded.outcome.is_none()
        {
            recorded.outcome = Some(CallOutcome::Chat {
                answer: answer.clone(),
                usage: *usage,
            });
        }
    }
}
