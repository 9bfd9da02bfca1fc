//! Forwards answers from sidecars to callers, and retries or fails calls whose attempts failed.

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

/// One part of an answer, as received from a sidecar.
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
            // Text in between was lost. The sidecar keeps the whole answer and resends it on
            // attach.
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
            self.abort_running_call(now, id, error, out);
        }
    }

    /// Cancels and fails a running call whose answer does not continue the text its caller has.
    fn abort_running_call(
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

    /// Sends a caller the part of `text` that it does not have yet.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::BackendFailed`] if `text` does not continue the text that the caller has.
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
        let missing = missing_text(&call.answer, position, &text)?;
        if missing.is_empty() {
            return Ok(());
        }
        let part = AnswerPart::Text {
            position: call.resume_position + call.answer.characters(),
            text: missing.clone(),
        };
        call.answer.push_str(&missing);
        send_part(&call.reply_to, id, part, out);
        Ok(())
    }

    /// Sends a caller the answer of a plain service, unless it has been sent before.
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

    /// Handles a failed attempt. `failure` is the error, whether the attempt was sent to the
    /// backend server, and the tokens it used.
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
        // A failed attempt is charged what the engine counted, or its whole reservation if there is
        // no count.
        self.settle_failed_attempt(id, started, used);
        if !idempotent && started && self.settings.safeguards.retry_only_idempotent {
            self.fail_recorded_call(now, id, (attempt, target), error, out);
            return;
        }
        send_committed(&target, attempt, out);
        let error = if started {
            error
        } else {
            to_not_run_error(error)
        };
        if is_claimed {
            self.revoke_start(id, &error);
        }
        if self.is_retryable(id, &error, started) && self.withdraw_retry(id, &error) {
            let event = Event::new(EventKind::CallRetried).with("request", id);
            out.push(EntryAction::Event(event.with("error", &error)));
            self.step_budget(now, id, out);
            return;
        }
        self.fail_call(now, id, error, out);
    }

    fn settle_failed_attempt(&mut self, id: RequestId, started: bool, used: Usage) {
        let is_uncounted = started && used == Usage::default();
        let prompt_tokens = self
            .calls
            .get(&id)
            .and_then(|call| call.prompt().map(crate::prompt::Prompt::length_tokens));
        let held_tokens = self.calls.get(&id).and_then(|call| call.held_tokens);
        let used = match (started, is_uncounted) {
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

    fn is_retryable(&self, id: RequestId, error: &CallError, started: bool) -> bool {
        let Some(call) = self.calls.get(&id) else {
            return false;
        };
        let max_attempts = call.active_document.document.retry.max_attempts as usize;
        let is_retryable_kind = matches!(
            error.kind,
            ErrorKind::NoBackend
                | ErrorKind::BackendFailed
                | ErrorKind::ShuttingDown
                | ErrorKind::NotReady
                | ErrorKind::Overloaded
        );
        let may_repeat =
            call.idempotent || !started || !self.settings.safeguards.retry_only_idempotent;
        is_retryable_kind && may_repeat && call.answer.is_empty() && call.tried.len() < max_attempts
    }

    /// Takes a retry from the service's retry budget; returns false if none is left.
    ///
    /// Calls that a backend server refuses because it shuts down are exempt. Otherwise a planned
    /// shutdown would fail them when the budget is empty.
    fn withdraw_retry(&mut self, id: RequestId, error: &CallError) -> bool {
        let Some(call) = self.calls.get(&id) else {
            return false;
        };
        if error.kind == ErrorKind::ShuttingDown {
            return true;
        }
        let budget = self
            .retry_budgets
            .entry(call.request.service.clone())
            .or_default();
        budget.try_withdraw()
    }

    /// Records the outcome of a non-idempotent call that failed after it was sent, and fails it.
    fn fail_recorded_call(
        &mut self,
        now: TimeUs,
        id: RequestId,
        ran: (AttemptId, VmId),
        error: CallError,
        out: &mut Vec<EntryAction>,
    ) {
        let (attempt, target) = ran;
        // The backend server may have executed the call before it failed.
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

    /// Answers a call with an error and removes it from its program's sequence.
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
        let error = correct_not_run(call, error);
        let is_not_run = error.kind.response().not_run == NotRun::Yes;
        if is_not_run && call.recorded_start.is_some() {
            self.revoke_start(id, &error);
        }
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let (program, seq) = (call.request.program.clone(), call.seq);
        // The sequence number of a call that may be sent again is reopened, if the caller chose it.
        // Otherwise no repeat would use it, and later calls would wait for it in vain.
        let is_cancelled = error.kind == ErrorKind::Cancelled;
        let repeat_safe = error.kind.response().repeat_safe || is_cancelled;
        let may_be_repeated = is_not_run || (call.idempotent && repeat_safe);
        let may_reopen = may_be_repeated && call.request.seq.is_some();
        // A call with an idempotency key that did not run may be repeated, and its program must
        // still exist then.
        let may_come_again = is_not_run && call.request.idempotency_key.is_some();
        let single_call = call.request.single_call && !may_come_again;
        let last = AnswerPart::Failed(error.clone());
        self.answer_followers(id, &last, out);
        self.fail_unordered_call(id, error, out);
        if let Some(live) = self.programs.get_mut(&program) {
            live.sequencer.remove(id);
            match seq {
                Some(seq) if may_reopen => live.sequencer.reopen(seq),
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

    /// Answers a call with an error; for calls that hold no place in their program's sequence.
    pub(crate) fn fail_unordered_call(
        &mut self,
        id: RequestId,
        error: CallError,
        out: &mut Vec<EntryAction>,
    ) {
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        let error = correct_not_run(&call, error);
        let event = Event::new(EventKind::CallRefused)
            .with("request", id)
            .with("error", &error);
        out.push(EntryAction::Event(event));
        send_part(&call.reply_to, id, AnswerPart::Failed(error), out);
    }

    /// Handles the disconnect of a caller: fails the call if it has not been sent, and cancels a
    /// running idempotent call once it can no longer be resumed.
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
                    let error = CallError::new(
                        ErrorKind::DeadlineBeforeStart,
                        "the caller disconnected while the call was waiting",
                    );
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

    /// Cancels a running idempotent call that has had no caller for `resume_wait_us`, to free its
    /// engine's time and memory.
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
        let is_expired = call
            .caller_left_us
            .is_some_and(|left| call.request.single_call || now.since(left) >= wait_us);
        if !is_expired || !call.idempotent || has_waiting_caller {
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

    /// Handles the withdrawal of a forwarded request by the entry that sent it.
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
                // Two entries that each take the other for the owner return the request to each
                // other. Only this one has the caller, who would never get an answer if the request
                // were dropped here. The next tick looks for the owner again.
                call.step = Step::Own;
                call.may_have_run = true;
            } else {
                // It was forwarded back to the entry that it came from, and continues there.
                self.calls.remove(&id);
            }
        } else if call.reply_to == ReplyTo::Entry(from.clone()) {
            self.on_caller_gone(now, id, out);
        }
    }

    /// Relays one part of the answer to a forwarded request.
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
        // An owner that was replaced may still answer, from outdated state.
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
                    AnswerPart::Failed(error) => AnswerPart::Failed(correct_not_run(call, error)),
                    other => other,
                };
                let reply_to = call.reply_to.clone();
                self.calls.remove(&id);
                send_part(&reply_to, id, last, out);
            }
        }
    }
}

/// Returns the part of `text` that is not in `known` yet.
///
/// After a takeover the call may have been rerun with a different result. Parts of two answers
/// would look like one complete answer to the caller, so a mismatch is an error.
fn missing_text(known: &AnswerText, position: u64, text: &str) -> Result<String, CallError> {
    let known_chars = known.characters();
    if position == known_chars {
        return Ok(text.to_owned());
    }
    let overlap = skip_chars(known, position);
    let overlap_chars = overlap.chars().count() as u64;
    let differs =
        position > known_chars || !(text.starts_with(&overlap) || overlap.starts_with(text));
    if differs {
        let detail = "the call was rerun after its owner was lost and gave a different answer";
        return Err(CallError::new(ErrorKind::BackendFailed, detail));
    }
    Ok(skip_chars(text, overlap_chars))
}

/// Replaces an error that reports the call as not run, if an earlier attempt may have run.
///
/// After a lost owner or a failed attempt, a refusal as not run holds for the last attempt only.
/// A refusal of a non-idempotent call that is based on its record remains valid; the kinds replaced
/// here are issued before the record is consulted.
fn correct_not_run(call: &Call, error: CallError) -> CallError {
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

/// Returns an error that reports the call as not run, for an attempt that was never started.
fn to_not_run_error(error: CallError) -> CallError {
    if error.kind.response().not_run == NotRun::Yes {
        return error;
    }
    CallError::new(ErrorKind::NoBackend, error.detail)
}

/// Sends one part of an answer to the caller, or to the entry that forwarded the request.
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
