//! Tells a repeat of a call from a new one, and gives it the first one's answer or the truth.

use crate::answer::send_part;
use crate::call::{AnswerPart, CallDone, Payload, Request, TurnState, Usage};
use crate::call_state::{Call, Leader, Step};
use crate::entry::{Entry, EntryAction};
use crate::error::{CallError, ErrorKind};
use crate::ids::{CallKey, CallSeq, IdempotencyKey, RequestId};
use crate::message::Message;
use crate::partition_replay::{ProgramState, RecordedCall};
use crate::prompt::ChainHash;
use crate::record::CallOutcome;
use crate::units::TimeUs;

/// What a call turned out to repeat.
#[derive(Debug, Clone, PartialEq)]
enum Repeat {
    /// A call under way.
    Of(Leader),
    /// A call that has its outcome.
    Ended(CallSeq, CallOutcome),
    /// A turn on record or on its way there.
    Turn(CallDone, String),
    /// The key belongs to another request.
    KeyReused,
}

/// How a known call compares with a new one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Match {
    Same,
    OtherBody,
    No,
}

/// What identifies a known call.
struct Known<'a> {
    request: RequestId,
    digest: ChainHash,
    key: Option<&'a IdempotencyKey>,
    seq: CallSeq,
}

fn compare(call: &Call, known: &Known<'_>) -> Match {
    let new = &call.request;
    if known.request == new.id {
        return Match::Same;
    }
    let same_body = known.digest == call.digest;
    if new.idempotency_key.is_some() && new.idempotency_key.as_ref() == known.key {
        return if same_body {
            Match::Same
        } else {
            Match::OtherBody
        };
    }
    // Without a key the place in the program tells a repeat; another body there is another call,
    // which is out of order.
    let keyless = new.idempotency_key.is_none() || known.key.is_none();
    if keyless && new.seq == Some(known.seq) && same_body {
        return Match::Same;
    }
    Match::No
}

impl Entry {
    /// Goes on with a call whose partition is owned here.
    pub(crate) fn step_dedup(&mut self, now: TimeUs, id: RequestId, out: &mut Vec<EntryAction>) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let repeat = if self.settings.safeguards.dedup {
            self.find_repeat(id, call)
        } else {
            None
        };
        match repeat {
            None => {
                if !self.adopt(now, id, out) {
                    self.step_sequence(now, id, out);
                }
            }
            Some(Repeat::Of(leader)) => self.follow(id, leader, out),
            Some(Repeat::Ended(seq, outcome)) => {
                let key = call.request.key(seq);
                self.answer_outcome(id, &key, outcome, out);
            }
            Some(Repeat::Turn(done, text)) => self.answer_turn(id, done, &text, out),
            Some(Repeat::KeyReused) => {
                let detail = "this idempotency key was used with another request";
                let field = crate::http_request::IDEMPOTENCY_KEY_HEADER;
                let error = CallError::in_field(ErrorKind::KeyReused, field, detail);
                self.fail_unordered_call(id, error, out);
            }
        }
    }

    fn find_repeat(&self, id: RequestId, call: &Call) -> Option<Repeat> {
        self.find_live(id, call)
            .or_else(|| self.find_pending(call))
            .or_else(|| self.find_recorded(call))
    }

    fn find_live(&self, id: RequestId, call: &Call) -> Option<Repeat> {
        let others = self.calls.iter().filter(|(other, known)| {
            **other != id
                && known.request.program == call.request.program
                && !matches!(known.step, Step::Own | Step::Forwarded(_) | Step::Follow(_))
        });
        for (other, known) in others {
            let Some(seq) = known.seq else { continue };
            let matched = compare(
                call,
                &Known {
                    request: *other,
                    digest: known.digest,
                    key: known.request.idempotency_key.as_ref(),
                    seq,
                },
            );
            match matched {
                Match::Same => return Some(Repeat::Of(Leader::Request(*other))),
                Match::OtherBody => return Some(Repeat::KeyReused),
                Match::No => {}
            }
        }
        None
    }

    fn find_pending(&self, call: &Call) -> Option<Repeat> {
        let live = self.programs.get(&call.request.program)?;
        for turn in &live.pending_turns {
            let known = Known {
                request: turn.request,
                digest: turn.digest,
                key: turn.key.as_ref(),
                seq: turn.call.seq,
            };
            match compare(call, &known) {
                Match::Same => {
                    let done = CallDone {
                        finish: turn.finish,
                        ..call_done(&turn.call, turn.usage, TurnState::Pending, Some(turn.after))
                    };
                    return Some(Repeat::Turn(done, turn.answer.clone()));
                }
                Match::OtherBody => return Some(Repeat::KeyReused),
                Match::No => {}
            }
        }
        None
    }

    fn find_recorded(&self, call: &Call) -> Option<Repeat> {
        let state = self
            .partitions
            .program(call.partition, &call.request.program)?;
        // The turn has more of the answer than the outcome of its call, so it is looked at first.
        if let Some(repeat) = find_turn(state, call) {
            return Some(repeat);
        }
        for (seq, recorded) in &state.calls {
            if matches!(recorded.outcome, Some(CallOutcome::NeverRan(_))) {
                continue;
            }
            match compare(call, &known_call(*seq, recorded)) {
                Match::Same => return Some(Self::recorded_repeat(&call.request, *seq, recorded)),
                Match::OtherBody => return Some(Repeat::KeyReused),
                Match::No => {}
            }
        }
        None
    }

    fn recorded_repeat(request: &Request, seq: CallSeq, recorded: &RecordedCall) -> Repeat {
        match &recorded.outcome {
            Some(outcome) => Repeat::Ended(seq, outcome.clone()),
            None => Repeat::Of(Leader::Recorded(request.key(seq))),
        }
    }

    /// Makes a call wait for another's answer; it gets what has come so far at once.
    pub(crate) fn follow(&mut self, id: RequestId, leader: Leader, out: &mut Vec<EntryAction>) {
        let (text, plain) = match &leader {
            Leader::Request(leader) => {
                let call = self.calls.get(leader);
                call.map(|call| (call.answer.to_string(), call.plain.clone()))
            }
            Leader::Recorded(key) => {
                let open = self.open_calls.get(key);
                open.map(|open| (open.answer.to_string(), open.plain.clone()))
            }
        }
        .unwrap_or_default();
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.step = Step::Follow(leader);
        if let Some(plain) = plain {
            self.deliver_plain(id, &plain, out);
        }
        if let Err(error) = self.deliver_text(id, 0, &text, out) {
            self.fail_unordered_call(id, error, out);
        }
    }

    /// Takes over a running or ended attempt of an earlier owner, instead of running it again.
    fn adopt(&mut self, now: TimeUs, id: RequestId, out: &mut Vec<EntryAction>) -> bool {
        let Some((target, kept)) = self.kept_answers.remove(&id) else {
            return false;
        };
        let Some(call) = self.calls.get_mut(&id) else {
            return false;
        };
        let Some(epoch) = self.partitions.owner(call.partition).map(|o| o.epoch) else {
            return false;
        };
        if kept.digest != call.digest || !self.peers.contains_key(&target) {
            return false;
        }
        call.seq = Some(kept.call.seq);
        if call.request.append
            && let Payload::Chat(chat) = &call.request.payload
        {
            let mut chat = chat.clone();
            chat.messages.clone_from(&kept.messages);
            chat.prompt = crate::prompt::Prompt::of_messages(&chat.messages);
            call.full_payload = Some(Payload::Chat(chat));
        }
        call.step = Step::Running {
            attempt: kept.attempt,
            target: target.clone(),
        };
        call.tried.insert(target.clone());
        let (partition, program) = (call.partition, call.request.program.clone());
        self.router.on_sent(&target, call.prefill_tokens);
        self.attempts.insert(kept.attempt, id);
        let live = self.live_program(now, partition, &program);
        live.sequencer.resume(kept.call.seq);
        live.holders.insert(target.clone());
        live.last_backend = Some(target.clone());
        let message = Message::Attach {
            attempt: kept.attempt,
            epoch,
            position: 0,
        };
        let to = target;
        out.push(EntryAction::Send { to, message });
        true
    }

    /// Answers with the outcome of a call that has ended.
    pub(crate) fn answer_outcome(
        &mut self,
        id: RequestId,
        key: &CallKey,
        outcome: CallOutcome,
        out: &mut Vec<EntryAction>,
    ) {
        match outcome {
            CallOutcome::Plain(plain) => {
                self.deliver_plain(id, &plain, out);
                let done = call_done(key, Usage::default(), TurnState::Committed, None);
                if let Some(call) = self.calls.remove(&id) {
                    send_part(&call.reply_to, id, AnswerPart::Done(done), out);
                }
            }
            CallOutcome::Chat {
                answer: text,
                usage,
            } => {
                let done = call_done(key, usage, TurnState::Committed, None);
                self.answer_turn(id, done, &text, out);
            }
            CallOutcome::NeverRan(error) | CallOutcome::Failed(error) => {
                self.fail_unordered_call(id, error, out);
            }
            CallOutcome::Unknown => {
                let detail = "the call was sent on and its outcome can't be learned";
                let error = CallError::new(ErrorKind::OutcomeUnknown, detail);
                self.fail_unordered_call(id, error, out);
            }
        }
    }

    /// Answers with a turn that has ended.
    pub(crate) fn answer_turn(
        &mut self,
        id: RequestId,
        done: CallDone,
        text: &str,
        out: &mut Vec<EntryAction>,
    ) {
        if let Err(error) = self.deliver_text(id, 0, text, out) {
            self.fail_unordered_call(id, error, out);
            return;
        }
        if let Some(call) = self.calls.remove(&id) {
            send_part(&call.reply_to, id, AnswerPart::Done(done), out);
        }
    }
}

fn known_call(seq: CallSeq, recorded: &RecordedCall) -> Known<'_> {
    Known {
        request: recorded.request,
        digest: recorded.digest,
        key: recorded.key.as_ref(),
        seq,
    }
}

fn find_turn(state: &ProgramState, call: &Call) -> Option<Repeat> {
    for (seq, turn) in &state.turns {
        let known = Known {
            request: turn.request,
            digest: turn.digest,
            key: turn.key.as_ref(),
            seq: *seq,
        };
        match compare(call, &known) {
            Match::Same => {
                let key = call.request.key(*seq);
                let done = CallDone {
                    finish: turn.finish,
                    ..call_done(&key, turn.usage, TurnState::Committed, Some(turn.chain))
                };
                let text = state.history.get(turn.answer_at)?.content.clone();
                return Some(Repeat::Turn(done, text));
            }
            Match::OtherBody => return Some(Repeat::KeyReused),
            Match::No => {}
        }
    }
    None
}

pub(crate) fn call_done(
    call: &CallKey,
    usage: Usage,
    turn: TurnState,
    chain: Option<ChainHash>,
) -> CallDone {
    CallDone {
        call: call.clone(),
        usage,
        finish: None,
        turn,
        chain,
    }
}
