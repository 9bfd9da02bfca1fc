//! Takes the parts of an answer from sidecars and gives them to callers.

use crate::answer_text::AnswerText;
use crate::call::{AnswerPart, PlainAnswer, Usage};
use crate::call_state::{Call, Leader, ReplyTo, Step};
use crate::entry::{Entry, EntryAction};
use crate::error::{CallError, ErrorKind, NotRun};
use crate::event::{Event, EventKind};
use crate::ids::{AttemptId, RequestId, VmId};
use crate::message::Message;
use crate::record::{CallOutcome, EndReason};
use crate::sidecar::skip_chars;
use crate::step_record::send_committed;
use crate::units::TimeUs;

/// A part of an answer as a sidecar sends it.
#[derive(Debug)]
pub(crate) struct SidecarReply {
    pub(crate) attempt: AttemptId,
    pub(crate) part: AnswerPart,
    pub(crate) started: bool,
    pub(crate) used: Usage,
}

impl Entry {
    pub(crate) fn on_reply(
        &mut self,
        now: TimeUs,
        from: &VmId,
        reply: SidecarReply,
        out: &mut Vec<EntryAction>,
    ) {
        let attempt = reply.attempt;
        let Some(id) = self.attempts.get(&attempt).copied() else {
            self.on_open_call_reply(now, from, reply, out);
            return;
        };
        match reply.part {
            AnswerPart::Text { position, text } => {
                self.on_text(now, id, position, &text, out);
            }
            AnswerPart::Plain(plain) => {
                for id in std::iter::once(id).chain(self.followers_of(id)) {
                    self.deliver_plain(id, &plain, out);
                }
            }
            AnswerPart::Done(done) => self.on_done(now, id, attempt, done, out),
            AnswerPart::Failed(error) => {
                self.on_failed(now, id, attempt, (error, reply.started, reply.used), out);
            }
        }
    }

    fn on_text(
        &mut self,
        now: TimeUs,
        id: RequestId,
        position: u64,
        text: &str,
        out: &mut Vec<EntryAction>,
    ) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let known = call.answer.characters();
        if position > known {
            // Text is missing in between; the sidecar has it all and sends it when the call is
            // attached to again.
            if let Step::Running { attempt, target } = &call.step {
                self.attach(call.partition, *attempt, target, known, out);
            }
            return;
        }
        for follower in self.followers_of(id) {
            if let Err(error) = self.deliver_text(follower, position, text, out) {
                self.fail_unordered_call(follower, error, out);
            }
        }
        if let Err(error) = self.deliver_text(id, position, text, out) {
            self.break_off(now, id, error, out);
        }
    }

    /// Ends a running call whose answer does not go on where its caller's text ended.
    fn break_off(
        &mut self,
        now: TimeUs,
        id: RequestId,
        error: CallError,
        out: &mut Vec<EntryAction>,
    ) {
        if let Some(call) = self.calls.get(&id)
            && let Step::Running { attempt, target } = call.step.clone()
        {
            self.end_attempt(attempt, false);
            self.settle_full_reservation(id);
            out.push(EntryAction::Send {
                to: target,
                message: Message::Cancel { attempt },
            });
        }
        self.fail_call(now, id, error, out);
    }

    /// Gives a caller the part of a text that it lacks.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::BackendFailed`] when the text does not go on where the caller's text ended.
    pub(crate) fn deliver_text(
        &mut self,
        id: RequestId,
        position: u64,
        text: &str,
        out: &mut Vec<EntryAction>,
    ) -> Result<(), CallError> {
        let Some(call) = self.calls.get_mut(&id) else {
            return Ok(());
        };
        let skipped = call.resume_position.saturating_sub(position);
        let text = skip_chars(text, skipped);
        let position = (position + skipped).saturating_sub(call.resume_position);
        if text.is_empty() {
            return Ok(());
        }
        let fresh = fresh_text(&call.answer, position, &text)?;
        if fresh.is_empty() {
            return Ok(());
        }
        let part = AnswerPart::Text {
            position: call.resume_position + call.answer.characters(),
            text: fresh.clone(),
        };
        call.answer.push_str(&fresh);
        send_part(&call.reply_to, id, part, out);
        Ok(())
    }

    /// Gives a caller the answer of a plain service, unless it has it already.
    pub(crate) fn deliver_plain(
        &mut self,
        id: RequestId,
        plain: &PlainAnswer,
        out: &mut Vec<EntryAction>,
    ) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        if call.plain.is_some() {
            return;
        }
        call.plain = Some(plain.clone());
        send_part(&call.reply_to, id, AnswerPart::Plain(plain.clone()), out);
    }

    pub(crate) fn attach(
        &self,
        partition: crate::ids::PartitionId,
        attempt: AttemptId,
        target: &VmId,
        position: u64,
        out: &mut Vec<EntryAction>,
    ) {
        if let Some(epoch) = self.own_epoch(partition) {
            let message = Message::Attach {
                attempt,
                epoch,
                position,
            };
            let to = target.clone();
            out.push(EntryAction::Send { to, message });
        }
    }

    pub(crate) fn followers_of(&self, leader: RequestId) -> Vec<RequestId> {
        let leader = Step::Follow(Leader::Request(leader));
        let following = self.calls.iter().filter(|(_, call)| call.step == leader);
        following.map(|(id, _)| *id).collect()
    }

    pub(crate) fn end_attempt(&mut self, attempt: AttemptId, failed: bool) {
        let Some(id) = self.attempts.remove(&attempt) else {
            return;
        };
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        if let Step::Running { target, .. } | Step::Lost { target, .. } = &call.step {
            self.router.on_ended(target, call.prefill_tokens, failed);
        }
    }

    /// An attempt has failed; `failure` holds the error, whether it was sent to the backend
    /// server, and what it used.
    pub(crate) fn on_failed(
        &mut self,
        now: TimeUs,
        id: RequestId,
        attempt: AttemptId,
        failure: (CallError, bool, Usage),
        out: &mut Vec<EntryAction>,
    ) {
        let (error, started, used) = failure;
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let target = match &call.step {
            Step::Running { target, .. } | Step::Lost { target, .. } => target.clone(),
            _ => return,
        };
        let (idempotent, is_claimed) = (call.idempotent, call.recorded_start.is_some());
        if let Some(call) = self.calls.get_mut(&id) {
            call.may_have_run |= started;
        }
        self.end_attempt(attempt, started);
        // A failed attempt has spent what the engine counted, or all that was held for it where
        // nobody counted.
        self.settle_failed(id, started, used);
        if !idempotent && started && self.settings.safeguards.retry_only_idempotent {
            self.end_ran(now, id, (attempt, target), error, out);
            return;
        }
        send_committed(&target, attempt, out);
        let error = if started { error } else { as_not_run(error) };
        if is_claimed {
            self.revoke_start(id, &error);
        }
        if self.is_worth_retrying(id, &error, started) && self.may_retry(id, &error) {
            let event = Event::new(EventKind::CallRetried).with("request", id);
            out.push(EntryAction::Event(event.with("error", &error)));
            self.step_budget(now, id, out);
            return;
        }
        self.fail_call(now, id, error, out);
    }

    fn settle_failed(&mut self, id: RequestId, started: bool, used: Usage) {
        let unknown = started && used == Usage::default();
        let prompt_tokens = self
            .calls
            .get(&id)
            .and_then(|call| call.prompt().map(crate::prompt::Prompt::length_tokens));
        let held_tokens = self.calls.get(&id).and_then(|call| call.held_tokens);
        let used = match (started, unknown) {
            (false, _) => Usage::default(),
            (true, true) => Usage {
                prompt_tokens: held_tokens.unwrap_or_default(),
                ..Usage::default()
            },
            (true, false) => Usage {
                prompt_tokens: used.prompt_tokens.max(prompt_tokens.unwrap_or_default()),
                ..used
            },
        };
        self.settle(id, used, u64::from(started));
    }

    fn is_worth_retrying(&self, id: RequestId, error: &CallError, started: bool) -> bool {
        let Some(call) = self.calls.get(&id) else {
            return false;
        };
        let max_attempts = call.in_force.document.retry.max_attempts as usize;
        let kind = matches!(
            error.kind,
            ErrorKind::NoBackend
                | ErrorKind::BackendFailed
                | ErrorKind::ShuttingDown
                | ErrorKind::NotReady
                | ErrorKind::Overloaded
        );
        let may_repeat =
            call.idempotent || !started || !self.settings.safeguards.retry_only_idempotent;
        kind && may_repeat && call.answer.is_empty() && call.tried.len() < max_attempts
    }

    /// Takes a retry out of the service's budget. A backend server that is leaving refuses what it
    /// has not started; such calls move on whatever the budget, or a planned leave would fail them.
    fn may_retry(&mut self, id: RequestId, error: &CallError) -> bool {
        let Some(call) = self.calls.get(&id) else {
            return false;
        };
        if error.kind == ErrorKind::ShuttingDown {
            return true;
        }
        let budget = self
            .retries
            .entry(call.request.service.clone())
            .or_default();
        budget.try_withdraw()
    }

    /// A call that may not run twice was sent on and failed: its end goes on record.
    fn end_ran(
        &mut self,
        now: TimeUs,
        id: RequestId,
        ran: (AttemptId, VmId),
        error: CallError,
        out: &mut Vec<EntryAction>,
    ) {
        let (attempt, target) = ran;
        // That its backend server failed says nothing of what it had done by then.
        let error = match error.kind {
            ErrorKind::DeadlineExceeded | ErrorKind::Cancelled | ErrorKind::OutcomeUnknown => error,
            _ => CallError::new(ErrorKind::OutcomeUnknown, error.detail),
        };
        let outcome = match error.kind {
            ErrorKind::OutcomeUnknown => CallOutcome::Unknown,
            _ => CallOutcome::Failed(error.clone()),
        };
        if let Some(call) = self.calls.get(&id)
            && let Some(seq) = call.seq
        {
            let (key, partition) = (call.request.key(seq), call.partition);
            self.write_outcome(&key, partition, attempt, outcome, Some((id, target)));
        }
        if error.kind == ErrorKind::OutcomeUnknown {
            let event = Event::new(EventKind::OutcomeUnknown).with("request", id);
            out.push(EntryAction::Event(event));
        }
        if let Some(call) = self.calls.get_mut(&id) {
            call.recorded_start = None;
        }
        self.fail_call(now, id, error, out);
    }

    /// Answers a call with an error and takes it out of its program's order.
    pub(crate) fn fail_call(
        &mut self,
        now: TimeUs,
        id: RequestId,
        error: CallError,
        out: &mut Vec<EntryAction>,
    ) {
        self.settle(id, Usage::default(), 0);
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let error = truthful(call, error);
        let is_not_run = error.kind.response().not_run == NotRun::Yes;
        if is_not_run && call.recorded_start.is_some() {
            self.revoke_start(id, &error);
        }
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let (program, seq) = (call.request.program.clone(), call.seq);
        // The place of a call that may be sent again stays open for it; without the caller's own
        // number nobody would come back for that place, and later calls would wait in vain.
        let stopped = error.kind == ErrorKind::Cancelled;
        let repeat_safe = error.kind.response().repeat_safe || stopped;
        let may_return = is_not_run || (call.idempotent && repeat_safe);
        let reopens = may_return && call.request.seq.is_some();
        // A keyed call that did not run may come again, and then finds its program still there.
        let may_come_again = is_not_run && call.request.idempotency_key.is_some();
        let single_call = call.request.single_call && !may_come_again;
        let last = AnswerPart::Failed(error.clone());
        self.answer_followers(id, &last, out);
        self.fail_unordered_call(id, error, out);
        if let Some(live) = self.programs.get_mut(&program) {
            live.sequencer.remove(id);
            match seq {
                Some(seq) if reopens => live.sequencer.reopen(seq),
                Some(seq) => live.sequencer.finish(seq),
                None => {}
            }
        }
        if single_call {
            self.end_program(now, program, EndReason::SingleCall, out);
        } else {
            self.start_next(now, &program, out);
        }
    }

    /// Answers a call with an error; it had no place in its program's order.
    pub(crate) fn fail_unordered_call(
        &mut self,
        id: RequestId,
        error: CallError,
        out: &mut Vec<EntryAction>,
    ) {
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        let error = truthful(&call, error);
        let event = Event::new(EventKind::CallRefused)
            .with("request", id)
            .with("error", &error);
        out.push(EntryAction::Event(event));
        send_part(&call.reply_to, id, AnswerPart::Failed(error), out);
    }

    /// The caller is gone: what has not started is dropped. What runs and may be run again is
    /// stopped, where its program may come back for the rest only after a while.
    pub(crate) fn on_caller_gone(
        &mut self,
        now: TimeUs,
        id: RequestId,
        out: &mut Vec<EntryAction>,
    ) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.reply_to = ReplyTo::Nobody;
        match call.step.clone() {
            Step::Forwarded(to) => {
                out.push(EntryAction::Send {
                    to,
                    message: Message::ForwardCancel { request: id },
                });
                self.calls.remove(&id);
            }
            Step::Follow(_) => {
                self.calls.remove(&id);
            }
            Step::Own | Step::Order | Step::Slice | Step::Route { .. } | Step::Claim => {
                if !self.has_waiting_caller(id) {
                    let error =
                        CallError::new(ErrorKind::DeadlineBeforeStart, "the caller is gone");
                    self.fail_call(now, id, error, out);
                }
            }
            Step::Running { .. } => {
                call.caller_left_us = Some(now);
                self.cancel_abandoned(now, id, out);
            }
            Step::Lost { .. } | Step::Record { .. } => {}
        }
    }

    /// Stops a running call that nobody has waited for over the time in which a cut stream may be
    /// resumed; its engine's time and memory are needed for others.
    pub(crate) fn cancel_abandoned(
        &mut self,
        now: TimeUs,
        id: RequestId,
        out: &mut Vec<EntryAction>,
    ) {
        let wait_us = self.settings.resume_wait_us;
        let has_waiting_caller = self.has_waiting_caller(id);
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let over = call
            .caller_left_us
            .is_some_and(|left| call.request.single_call || now.since(left) >= wait_us);
        if !over || !call.idempotent || has_waiting_caller {
            return;
        }
        if let Step::Running { attempt, target } = &call.step {
            call.caller_left_us = None;
            out.push(EntryAction::Send {
                to: target.clone(),
                message: Message::Cancel { attempt: *attempt },
            });
        }
    }

    /// The entry that passed a request on does not wait for it here any more.
    pub(crate) fn on_forward_cancel(
        &mut self,
        now: TimeUs,
        from: &VmId,
        id: RequestId,
        out: &mut Vec<EntryAction>,
    ) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        if call.step == Step::Forwarded(from.clone()) {
            if call.reply_to == ReplyTo::Caller {
                // Two entries that each hold the other for the owner give the request back to one
                // another. Only this one has the caller: dropped here, it would be dropped for
                // good, and the caller would hear nothing. The next tick looks for the owner again.
                call.step = Step::Own;
                call.may_have_run = true;
            } else {
                // It was passed on to where it came from, and goes on there.
                self.calls.remove(&id);
            }
        } else if call.reply_to == ReplyTo::Entry(from.clone()) {
            self.on_caller_gone(now, id, out);
        }
    }

    /// A part of the answer to a request that was passed on.
    pub(crate) fn on_forward_reply(
        &mut self,
        from: &VmId,
        id: RequestId,
        part: AnswerPart,
        out: &mut Vec<EntryAction>,
    ) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        // An owner that was replaced may still answer, from a state that is no longer in force.
        if call.step != Step::Forwarded(from.clone()) {
            return;
        }
        match part {
            AnswerPart::Text { position, text } => {
                if let Err(error) = self.deliver_text(id, position, &text, out) {
                    let message = Message::ForwardCancel { request: id };
                    let to = from.clone();
                    out.push(EntryAction::Send { to, message });
                    self.fail_unordered_call(id, error, out);
                }
            }
            AnswerPart::Plain(plain) => self.deliver_plain(id, &plain, out),
            last @ (AnswerPart::Done(_) | AnswerPart::Failed(_)) => {
                let last = match last {
                    AnswerPart::Failed(error) => AnswerPart::Failed(truthful(call, error)),
                    other => other,
                };
                let reply_to = call.reply_to.clone();
                self.calls.remove(&id);
                send_part(&reply_to, id, last, out);
            }
        }
    }
}

/// The part of `text` that the caller lacks.
///
/// After a take-over the call may have been run anew and come out otherwise. Half of one answer
/// and half of another would look whole to the caller; so the answer is broken off instead.
fn fresh_text(known: &AnswerText, position: u64, text: &str) -> Result<String, CallError> {
    let known_chars = known.characters();
    if position == known_chars {
        return Ok(text.to_owned());
    }
    let overlap = skip_chars(known, position);
    let overlap_chars = overlap.chars().count() as u64;
    let differs =
        position > known_chars || !(text.starts_with(&overlap) || overlap.starts_with(text));
    if differs {
        let detail = "the call was run anew after its owner was lost, and came out otherwise";
        return Err(CallError::new(ErrorKind::BackendFailed, detail));
    }
    Ok(skip_chars(text, overlap_chars))
}

/// The error that is true of a call of which an earlier attempt may have run.
///
/// A call that was sent again after its owner was lost, or after a failed attempt, may be refused
/// by whoever gets it last as not run; that would be true of the last attempt only. What may not
/// run twice is refused by its record, except by one who has not looked there.
fn truthful(call: &Call, error: CallError) -> CallError {
    if !call.may_have_run || error.kind.response().not_run != NotRun::Yes {
        return error;
    }
    let kind = match error.kind {
        _ if call.idempotent => ErrorKind::BackendFailed,
        ErrorKind::NotReady | ErrorKind::ShuttingDown | ErrorKind::OwnerUnknown => {
            ErrorKind::OutcomeUnknown
        }
        _ => return error,
    };
    CallError::new(kind, error.detail)
}

/// An error of a call that surely did not run, whatever its kind says of calls in general.
fn as_not_run(error: CallError) -> CallError {
    if error.kind.response().not_run == NotRun::Yes {
        return error;
    }
    CallError::new(ErrorKind::NoBackend, error.detail)
}

/// Gives one part of an answer to whoever passed the request on.
pub(crate) fn send_part(to: &ReplyTo, id: RequestId, part: AnswerPart, out: &mut Vec<EntryAction>) {
    match to {
        ReplyTo::Caller => out.push(EntryAction::Answer { request: id, part }),
        ReplyTo::Entry(vm) => out.push(EntryAction::Send {
            to: vm.clone(),
            message: Message::ForwardReply { request: id, part },
        }),
        ReplyTo::Nobody => {}
    }
}
