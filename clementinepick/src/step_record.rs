//! Puts an answered call on record and ends it.

use crate::answer::send_part;
use crate::call::{AnswerPart, CallDone, Payload, TurnState, Usage};
use crate::call_state::{Awaited, Call, PendingTurn, ReplyTo, Step};
use crate::entry::{Entry, EntryAction};
use crate::event::{Event, EventKind};
use crate::ids::{AttemptId, ProgramId, RecordId, RequestId, VmId};
use crate::message::Message;
use crate::partition_replay::extend_chain;
use crate::record::{CallOutcome, EndReason, PartitionRecord};
use crate::units::TimeUs;

/// An answered call whose turn is to be put on record.
pub(crate) struct Answered {
    pub(crate) request: RequestId,
    pub(crate) attempt: AttemptId,
    pub(crate) target: VmId,
}

impl Entry {
    pub(crate) fn on_done(
        &mut self,
        now: TimeUs,
        id: RequestId,
        attempt: AttemptId,
        done: CallDone,
        out: &mut Vec<EntryAction>,
    ) {
        let Some(target) = self.calls.get(&id).and_then(|call| match &call.step {
            Step::Running { target, .. } | Step::Lost { target, .. } => Some(target.clone()),
            _ => None,
        }) else {
            return;
        };
        self.end_attempt(attempt, false);
        if let Some(prompt) = self.calls.get(&id).and_then(Call::prompt) {
            self.router.on_prompt_cached(&target, prompt);
        }
        self.settle(id, done.usage, 1);
        if let Some(call) = self.calls.get_mut(&id) {
            call.step = Step::Record { since_us: now };
            call.done = Some(done);
        }
        let answered = Answered {
            request: id,
            attempt,
            target,
        };
        if !self.write_answer(&answered) {
            send_committed(&answered.target, attempt, out);
            self.finish(now, id, TurnState::NotKept, out);
        }
    }

    /// Writes the record of an answer; false when the call leaves none.
    fn write_answer(&mut self, answered: &Answered) -> bool {
        let Some(call) = self.calls.get(&answered.request) else {
            return false;
        };
        if call.records_turn() {
            return self.write_turn(answered);
        }
        let (Some(seq), false) = (call.seq, call.idempotent) else {
            return false;
        };
        let (key, partition) = (call.request.key(seq), call.partition);
        let outcome = match (&call.plain, &call.done) {
            (Some(plain), _) => CallOutcome::Plain(plain.clone()),
            (None, done) => CallOutcome::Chat {
                answer: call.answer.to_string(),
                usage: done.as_ref().map_or_else(Usage::default, |done| done.usage),
            },
        };
        let told = Some((answered.request, answered.target.clone()));
        self.write_outcome(&key, partition, answered.attempt, outcome, told);
        true
    }

    fn write_turn(&mut self, answered: &Answered) -> bool {
        let id = answered.request;
        let Some(history) = self.history_of(id) else {
            return false;
        };
        let Some(call) = self.calls.get(&id) else {
            return false;
        };
        let (Payload::Chat(chat), Some(done)) = (call.payload(), &call.done) else {
            return false;
        };
        let messages = chat
            .messages
            .get(history.messages.len()..)
            .unwrap_or_default()
            .to_vec();
        let answer_message = crate::call::ChatMessage::new("assistant", &call.answer);
        let after = extend_chain(history.chain, &messages);
        let after = extend_chain(after, std::slice::from_ref(&answer_message));
        let turn = PendingTurn {
            record: RecordId(0),
            call: done.call.clone(),
            request: id,
            digest: call.digest,
            key: call.request.idempotency_key.clone(),
            messages,
            answer: call.answer.to_string(),
            usage: done.usage,
            finish: done.finish,
            after,
            attempt: answered.attempt,
            target: answered.target.clone(),
        };
        let partition = call.partition;
        self.append_turn(partition, history.chain, turn)
    }

    /// Writes the record of a turn and keeps the turn until the record has come back.
    pub(crate) fn append_turn(
        &mut self,
        partition: crate::ids::PartitionId,
        before: crate::prompt::ChainHash,
        turn: PendingTurn,
    ) -> bool {
        let entry = PartitionRecord::TurnAdded {
            call: turn.call.clone(),
            request: turn.request,
            digest: turn.digest,
            key: turn.key.clone(),
            before,
            after: turn.after,
            messages: turn.messages.clone(),
            answer: turn.answer.clone(),
            usage: turn.usage,
            finish: turn.finish,
        };
        let Some(record) = self.write_owned(partition, entry) else {
            return false;
        };
        let (request, program) = (turn.request, turn.call.program.clone());
        let awaited = Awaited::Turn {
            request,
            program: program.clone(),
        };
        self.awaited.insert(record, awaited);
        if let Some(live) = self.programs.get_mut(&program) {
            live.pending_turns.push(PendingTurn { record, ..turn });
        }
        true
    }

    /// The record of a turn has come back.
    pub(crate) fn on_turn_recorded(
        &mut self,
        now: TimeUs,
        record: RecordId,
        id: RequestId,
        program: &ProgramId,
        out: &mut Vec<EntryAction>,
    ) {
        let turn = self.programs.get_mut(program).and_then(|live| {
            let at = live
                .pending_turns
                .iter()
                .position(|turn| turn.record == record)?;
            Some(live.pending_turns.remove(at))
        });
        if let Some(turn) = turn {
            send_committed(&turn.target, turn.attempt, out);
        }
        self.finish(now, id, TurnState::Committed, out);
    }

    /// Ends an answered call.
    pub(crate) fn finish(
        &mut self,
        now: TimeUs,
        id: RequestId,
        turn: TurnState,
        out: &mut Vec<EntryAction>,
    ) {
        let chain = self.turn_chain(id);
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        if let Some(done) = call.done {
            let last = AnswerPart::Done(CallDone {
                turn,
                chain,
                ..done
            });
            self.answer_followers(id, &last, out);
            send_part(&call.reply_to, id, last, out);
        }
        let program = call.request.program;
        if let (Some(live), Some(seq)) = (self.programs.get_mut(&program), call.seq) {
            live.sequencer.finish(seq);
            live.last_used_us = now;
        }
        if call.request.single_call {
            self.end_program(now, program, EndReason::SingleCall, out);
        } else {
            self.start_next(now, &program, out);
        }
    }

    /// The chain of the history with the turn of a call, for a caller that appends.
    fn turn_chain(&self, id: RequestId) -> Option<crate::prompt::ChainHash> {
        let call = self.calls.get(&id).filter(|call| call.records_turn())?;
        let live = self.programs.get(&call.request.program)?;
        if let Some(turn) = live.pending_turns.iter().find(|turn| turn.request == id) {
            return Some(turn.after);
        }
        let state = self
            .partitions
            .program(call.partition, &call.request.program)?;
        state.turns.get(&call.seq?).map(|turn| turn.chain)
    }

    /// Gives the callers that wait for the same call its end.
    pub(crate) fn answer_followers(
        &mut self,
        leader: RequestId,
        last: &AnswerPart,
        out: &mut Vec<EntryAction>,
    ) {
        for id in self.followers_of(leader) {
            if let Some(call) = self.calls.remove(&id) {
                send_part(&call.reply_to, id, last.clone(), out);
            }
        }
    }

    /// A turn's record takes long: its caller gets the end of the answer, marked as pending. The
    /// record stays on its way, and the turn counts for the calls that follow.
    pub(crate) fn finish_pending(
        &mut self,
        now: TimeUs,
        id: RequestId,
        out: &mut Vec<EntryAction>,
    ) {
        let event = Event::new(EventKind::TurnPending).with("request", id);
        out.push(EntryAction::Event(event));
        self.finish(now, id, TurnState::Pending, out);
    }

    /// Whether anybody still waits for the answer.
    pub(crate) fn has_waiting_caller(&self, id: RequestId) -> bool {
        let waits = self
            .calls
            .get(&id)
            .is_some_and(|call| call.reply_to != ReplyTo::Nobody);
        waits || !self.followers_of(id).is_empty()
    }
}

/// Tells a sidecar that it need not keep an answer any more.
pub(crate) fn send_committed(target: &VmId, attempt: AttemptId, out: &mut Vec<EntryAction>) {
    out.push(EntryAction::Send {
        to: target.clone(),
        message: Message::Committed { attempt },
    });
}
