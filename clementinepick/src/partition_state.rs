//! What the records of a partition leave behind: its owner, programs, calls and turns.

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
    /// Its life.
    pub incarnation: Incarnation,
    /// The offset of its claim.
    pub epoch: Epoch,
}

/// A non-idempotent call on record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedCall {
    /// The attempt that was put on record last.
    pub attempt: AttemptId,
    /// The caller's request.
    pub request: RequestId,
    /// The digest of its request.
    pub digest: ChainHash,
    /// The caller's key.
    pub key: Option<IdempotencyKey>,
    /// The sidecar it was sent to.
    pub target: VmId,
    /// That sidecar's life.
    pub target_incarnation: Incarnation,
    /// The epoch under which the attempt was put on record.
    pub epoch: Epoch,
    /// How it ended; absent while it is open.
    pub outcome: Option<CallOutcome>,
}

/// A turn on record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedTurn {
    /// The caller's request.
    pub request: RequestId,
    /// The digest of the request.
    pub digest: ChainHash,
    /// The caller's key.
    pub key: Option<IdempotencyKey>,
    /// The place of the answer in the history.
    pub answer_at: usize,
    /// What it cost.
    pub usage: Usage,
    /// Why the engine stopped.
    pub finish: Option<FinishReason>,
    /// The chain of the history up to and with the turn.
    pub chain: ChainHash,
}

/// A program as the log tells it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ProgramState {
    /// The program whose sub-agent it is.
    pub parent: Option<ProgramId>,
    /// The program whose account it spends from, where that is another.
    pub root: Option<ProgramId>,
    /// The service of its first call.
    pub service: ServiceName,
    /// Its class.
    pub class: ClassName,
    /// What it may spend; for a sub-agent its root's account counts instead.
    pub account: Account,
    /// The transcript on record.
    pub history: Vec<ChatMessage>,
    /// The chain over the program and its transcript.
    pub chain: ChainHash,
    /// The place of the next call.
    pub next: CallSeq,
    /// The non-idempotent calls.
    pub calls: BTreeMap<CallSeq, RecordedCall>,
    /// The turns.
    pub turns: BTreeMap<CallSeq, RecordedTurn>,
    /// Why it ended, once it has.
    pub ended: Option<EndReason>,
}

/// A partition as the log tells it.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct PartitionState {
    /// Its owner, once one has claimed it.
    pub owner: Option<Owner>,
    /// Whether the owner has left it to the next.
    pub yielded: bool,
    /// Its programs.
    pub programs: BTreeMap<ProgramId, ProgramState>,
}

/// The chain over a program's transcript, from its beginning.
#[must_use]
pub fn history_chain(program: &ProgramId, messages: &[ChatMessage]) -> ChainHash {
    let start = ChainHash::default().extend(program.as_str().as_bytes());
    extend_chain(start, messages)
}

/// The chain extended by messages.
#[must_use]
pub fn extend_chain(chain: ChainHash, messages: &[ChatMessage]) -> ChainHash {
    messages.iter().fold(chain, |chain, message| {
        chain.extend_message(&message.role, &message.content)
    })
}

impl PartitionState {
    pub(crate) fn apply(&mut self, epoch: Epoch, entry: &PartitionRecord, digest_check: bool) {
        match entry {
            PartitionRecord::ProgramOpened { .. } => self.open(entry),
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

    fn open(&mut self, entry: &PartitionRecord) {
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
        // Only a call that surely did not run may be started once more.
        let open = state.calls.get(&call.seq).is_none_or(|known| {
            matches!(known.outcome, Some(CallOutcome::NeverRan(_))) && known.attempt != *attempt
        });
        if !open {
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
        // The place of a call that did not run is open again, as at the owner.
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
        // A turn that does not follow on the recorded ones would leave a hole or bring another
        // program's words; the chain covers program, order and content, so it can't fit by chance.
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
        // A turn that may not run twice has its outcome with the turn itself.
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
