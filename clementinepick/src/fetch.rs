//! Answers fetched later, out of order, or from a position on.

use crate::answer::send_part;
use crate::answer_text::AnswerText;
use crate::call::{AnswerPart, CallDone, Fetch, TurnState};
use crate::call_state::{Leader, ReplyTo, Step};
use crate::entry::{Entry, EntryAction};
use crate::error::{CallError, ErrorKind};
use crate::ids::{PartitionId, RequestId};
use crate::message::Message;
use crate::record::CallOutcome;
use crate::step_dedup::call_done;
use crate::units::TimeUs;

/// The most times that a question is passed on between entries.
const MAX_HOPS: u8 = 3;

/// The stored answer of a call, as far as it is known.
enum Stored {
    Running(Leader),
    Turn(CallDone, String),
    Ended(CallOutcome),
}

impl Entry {
    pub(crate) fn on_fetch(
        &mut self,
        now: TimeUs,
        fetch: &Fetch,
        reply_to: &ReplyTo,
        hops: u8,
        out: &mut Vec<EntryAction>,
    ) {
        let root = fetch.root.as_ref().unwrap_or(&fetch.program);
        let partition = self.partition_of(&fetch.program, root);
        let refused = if !self.is_caught_up() {
            Some(CallError::new(
                ErrorKind::NotReady,
                "this entry still reads the log",
            ))
        } else if self.own_epoch(partition).is_some() && !self.is_ownership_unconfirmed {
            self.fetch_here(partition, fetch, reply_to, out).err()
        } else {
            self.pass_fetch_on(now, partition, fetch, reply_to, hops, out)
                .err()
        };
        if let Some(error) = refused {
            send_part(reply_to, fetch.id, AnswerPart::Failed(error), out);
        }
    }

    fn pass_fetch_on(
        &mut self,
        now: TimeUs,
        partition: PartitionId,
        fetch: &Fetch,
        reply_to: &ReplyTo,
        hops: u8,
        out: &mut Vec<EntryAction>,
    ) -> Result<(), CallError> {
        let owner = self.target_owner(now, partition);
        let owner = owner.filter(|vm| *vm != self.settings.vm && hops < MAX_HOPS);
        let Some(to) = owner else {
            let detail = "the owner of the program is not known yet";
            return Err(CallError::new(ErrorKind::OwnerUnknown, detail));
        };
        self.fetches
            .insert(fetch.id, (to.clone(), reply_to.clone()));
        let message = Message::ForwardFetch {
            fetch: Box::new(fetch.clone()),
            hops: hops + 1,
        };
        out.push(EntryAction::Send { to, message });
        Ok(())
    }

    fn fetch_here(
        &mut self,
        partition: PartitionId,
        fetch: &Fetch,
        reply_to: &ReplyTo,
        out: &mut Vec<EntryAction>,
    ) -> Result<(), CallError> {
        let Some(stored) = self.find_stored(partition, fetch) else {
            let detail = format!("no answer of {}/{} is kept", fetch.program, fetch.seq);
            return Err(CallError::new(ErrorKind::UnknownCall, detail));
        };
        let key = crate::ids::CallKey {
            program: fetch.program.clone(),
            seq: fetch.seq,
        };
        match stored {
            Stored::Running(leader) => self.watch(fetch, leader, reply_to, out),
            Stored::Turn(done, text) => {
                let text = crate::sidecar::skip_chars(&text, fetch.position);
                let position = fetch.position;
                if !text.is_empty() {
                    let part = AnswerPart::Text { position, text };
                    send_part(reply_to, fetch.id, part, out);
                }
                send_part(reply_to, fetch.id, AnswerPart::Done(done), out);
            }
            Stored::Ended(CallOutcome::Plain(plain)) => {
                send_part(reply_to, fetch.id, AnswerPart::Plain(plain), out);
                let done = call_done(
                    &key,
                    crate::call::Usage::default(),
                    TurnState::Committed,
                    None,
                );
                send_part(reply_to, fetch.id, AnswerPart::Done(done), out);
            }
            Stored::Ended(CallOutcome::Chat {
                answer: text,
                usage,
            }) => {
                let text = crate::sidecar::skip_chars(&text, fetch.position);
                let position = fetch.position;
                send_part(reply_to, fetch.id, AnswerPart::Text { position, text }, out);
                let done = call_done(&key, usage, TurnState::Committed, None);
                send_part(reply_to, fetch.id, AnswerPart::Done(done), out);
            }
            Stored::Ended(CallOutcome::NeverRan(error) | CallOutcome::Failed(error)) => {
                return Err(error);
            }
            Stored::Ended(CallOutcome::Unknown) => {
                let detail = "the call was sent on and its outcome can't be learned";
                return Err(CallError::new(ErrorKind::OutcomeUnknown, detail));
            }
        }
        Ok(())
    }

    fn find_stored(&self, partition: PartitionId, fetch: &Fetch) -> Option<Stored> {
        let running = self.calls.iter().find(|(_, call)| {
            call.request.program == fetch.program
                && call.seq == Some(fetch.seq)
                && !matches!(call.step, Step::Follow(_) | Step::Own | Step::Forwarded(_))
        });
        if let Some((id, _)) = running {
            return Some(Stored::Running(Leader::Request(*id)));
        }
        let live = self.programs.get(&fetch.program);
        let pending = live.and_then(|l| l.pending_turns.iter().find(|t| t.call.seq == fetch.seq));
        if let Some(turn) = pending {
            let done = CallDone {
                finish: turn.finish,
                ..call_done(&turn.call, turn.usage, TurnState::Pending, Some(turn.after))
            };
            return Some(Stored::Turn(done, turn.answer.clone()));
        }
        let state = self.partitions.program(partition, &fetch.program)?;
        let key = crate::ids::CallKey {
            program: fetch.program.clone(),
            seq: fetch.seq,
        };
        if let Some(turn) = state.turns.get(&fetch.seq) {
            let done = CallDone {
                finish: turn.finish,
                ..call_done(&key, turn.usage, TurnState::Committed, Some(turn.chain))
            };
            let text = state.history.get(turn.answer_at)?.content.clone();
            return Some(Stored::Turn(done, text));
        }
        match &state.calls.get(&fetch.seq)?.outcome {
            Some(outcome) => Some(Stored::Ended(outcome.clone())),
            None => Some(Stored::Running(Leader::Recorded(key))),
        }
    }

    /// Makes the fetch a call that follows the one it asks for.
    fn watch(
        &mut self,
        fetch: &Fetch,
        leader: Leader,
        reply_to: &ReplyTo,
        out: &mut Vec<EntryAction>,
    ) {
        let Some(mut call) = self.watched_call(&leader) else {
            let detail = "the call is being looked for at its backend server";
            let error = CallError::new(ErrorKind::OwnerUnknown, detail);
            send_part(reply_to, fetch.id, AnswerPart::Failed(error), out);
            return;
        };
        call.request.id = fetch.id;
        call.reply_to = reply_to.clone();
        call.recorded_start = None;
        call.held_tokens = None;
        call.resume_position = fetch.position;
        call.answer = AnswerText::default();
        call.plain = None;
        call.done = None;
        self.calls.insert(fetch.id, call);
        self.follow(fetch.id, leader, out);
    }

    fn watched_call(&self, leader: &Leader) -> Option<crate::call_state::Call> {
        let Leader::Request(id) = leader else {
            return None;
        };
        self.calls.get(id).cloned()
    }

    /// A part of the answer to a fetch that was passed on; false when it is none.
    pub(crate) fn on_fetch_reply(
        &mut self,
        from: &crate::ids::VmId,
        id: RequestId,
        part: &AnswerPart,
        out: &mut Vec<EntryAction>,
    ) -> bool {
        let Some((owner, reply_to)) = self.fetches.get(&id).cloned() else {
            return false;
        };
        if owner == *from {
            if part.is_last() {
                self.fetches.remove(&id);
            }
            send_part(&reply_to, id, part.clone(), out);
        }
        true
    }

    /// The owner that fetches were passed on to is gone.
    pub(crate) fn fail_fetches(&mut self, vm: &crate::ids::VmId, out: &mut Vec<EntryAction>) {
        let lost: Vec<RequestId> = self
            .fetches
            .iter()
            .filter(|(_, (owner, _))| owner == vm)
            .map(|(id, _)| *id)
            .collect();
        for id in lost {
            if let Some((_, reply_to)) = self.fetches.remove(&id) {
                let detail = "the owner of the program was lost; ask again";
                let error = CallError::new(ErrorKind::OwnerUnknown, detail);
                send_part(&reply_to, id, AnswerPart::Failed(error), out);
            }
        }
    }
}
