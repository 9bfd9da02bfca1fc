//! Runs calls on the backend server and forwards their answers to the owner.

use crate::admission_queue::QueuedCall;
use crate::call::{AnswerPart, CallDone, FinishReason, Payload, TurnState, Usage};
use crate::error::{CallError, ErrorKind};
use crate::event::EventKind;
use crate::ids::{AttemptId, VmId};
use crate::message::Dispatch;
use crate::platform::GenerateBody;
use crate::predict::predict_output;
use crate::prompt::Segment;
use crate::units::{SpanUs, TimeUs, Tokens};

use crate::sidecar::{
    Attempt, BackendEvent, Phase, Sidecar, SidecarAction, log, refuse, skip_chars,
};

/// Time without a message from an owner after which its waiting calls are dropped; less than the
/// time after which an owner considers a sidecar lost.
const OWNER_SILENCE_TIMEOUT_US: SpanUs = SpanUs::from_s(2);
/// Time without admissions after a pause of this process.
const PAUSE_RECOVERY_US: SpanUs = SpanUs::from_ms(200);

impl Sidecar {
    pub(crate) fn on_dispatch(
        &mut self,
        now: TimeUs,
        from: VmId,
        dispatch: Dispatch,
        out: &mut Vec<SidecarAction>,
    ) {
        let attempt = dispatch.attempt;
        if self.attempts.contains_key(&attempt) {
            return;
        }
        if let Err(refused) = self.check_dispatch(&dispatch, out) {
            out.push(refuse(&from, attempt, refused));
            return;
        }
        let Some(call) = self.queued_call(now, &dispatch) else {
            let detail = "this sidecar does not have the document of the call yet";
            out.push(refuse(
                &from,
                attempt,
                CallError::new(ErrorKind::NotReady, detail),
            ));
            return;
        };
        let deadline_us = call.deadline_us;
        match self.admission.push(call) {
            Ok(None) => {}
            Ok(Some(shed)) => self.end(now, shed.attempt, AnswerPart::Failed(shed.error), out),
            Err(refused) => {
                out.push(refuse(&from, attempt, refused));
                return;
            }
        }
        let state = Attempt {
            dispatch,
            owner: Some(from),
            phase: Phase::Waiting,
            started: false,
            used: Usage::default(),
            text: String::new(),
            characters: 0,
            last_part: None,
            plain: None,
            deadline_us,
        };
        self.retention.on_call(now, &state.dispatch.call.program);
        self.attempts.insert(attempt, state);
    }

    /// Updates the output predictor and the retention of the prefix after a turn has ended.
    fn record_turn_end(&mut self, now: TimeUs, id: AttemptId, cached: &[Segment]) {
        let Some(attempt) = self.attempts.get(&id) else {
            return;
        };
        let (dispatch, output) = (&attempt.dispatch, attempt.used.output_tokens);
        self.output_predictor
            .observe(&dispatch.class, None, Some(output.0));
        let (program, class) = (&dispatch.call.program, &dispatch.class);
        let tool = dispatch.next_tool.as_ref();
        self.retention
            .on_turn_end(now, program, class, tool, cached);
    }

    /// Checks whether a dispatched call may be queued, and returns the refusal otherwise.
    pub(crate) fn check_dispatch(
        &mut self,
        dispatch: &Dispatch,
        out: &mut Vec<SidecarAction>,
    ) -> Result<(), CallError> {
        if self.leaving {
            return Err(CallError::new(
                ErrorKind::ShuttingDown,
                "this sidecar is shutting down",
            ));
        }
        if self.orders.blocks_new_work() {
            let detail = "an engine order is about to change the served models or role";
            return Err(CallError::new(ErrorKind::ShuttingDown, detail));
        }
        if dispatch.service != self.settings.service {
            return Err(CallError::new(
                ErrorKind::NoBackend,
                "this sidecar belongs to another service",
            ));
        }
        if !self.accept_epoch(dispatch.partition, dispatch.epoch, out) {
            return Err(CallError::new(
                ErrorKind::OwnerUnknown,
                "the partition has an owner with a newer epoch",
            ));
        }
        if !dispatch.idempotent && self.is_closed(dispatch) {
            return Err(CallError::new(
                ErrorKind::OutOfOrder,
                "this non-idempotent call was fenced or has another attempt here",
            ));
        }
        Ok(())
    }

    /// Returns whether a non-idempotent call must not start here, because its attempt was fenced or
    /// another attempt of the call may have run.
    fn is_closed(&self, dispatch: &Dispatch) -> bool {
        let other_attempt = self.attempts.values().any(|other| {
            other.dispatch.call == dispatch.call
                && !other.dispatch.idempotent
                && (other.started || other.phase == Phase::Waiting)
        });
        let fenced = self.closed.contains_key(&dispatch.attempt)
            || self.is_epoch_pruned(dispatch.partition, dispatch.epoch);
        (fenced && self.settings.safeguards.fence)
            || (other_attempt && self.settings.safeguards.dedup)
    }

    /// Drops answers past their retention time. For a non-idempotent call, whether it ran is kept.
    pub(crate) fn drop_expired_answers(&mut self, now: TimeUs) {
        let keep_us = self.settings.keep_answers_us;
        let old: Vec<AttemptId> = self
            .attempts
            .iter()
            .filter(
                |(_, a)| matches!(a.phase, Phase::Ended { at_us } if now.since(at_us) >= keep_us),
            )
            .map(|(id, _)| *id)
            .collect();
        for id in old {
            if let Some(attempt) = self.attempts.remove(&id)
                && !attempt.dispatch.idempotent
            {
                let dispatch = &attempt.dispatch;
                self.close(id, dispatch.partition, dispatch.epoch, attempt.started);
            }
        }
    }

    pub(crate) fn queued_call(&self, now: TimeUs, dispatch: &Dispatch) -> Option<QueuedCall> {
        // The call keeps the revision under which its owner accepted it. Under the newest one, a
        // call whose class was removed meanwhile would be refused half way.
        let active = self
            .config
            .document_at(&self.settings.service, dispatch.revision)?;
        let rules = active.document.class(&dispatch.class)?;
        let prompt_tokens = match &dispatch.payload {
            Payload::Chat(call) => call.prompt.length_tokens(),
            Payload::Plain(_) => Tokens(0),
        };
        Some(QueuedCall {
            attempt: dispatch.attempt,
            program: dispatch.call.program.clone(),
            class: dispatch.class.clone(),
            category: rules.category.clone(),
            rank: rules.rank,
            weight: rules.weight,
            arrived_us: now,
            deadline_us: now.after(dispatch.deadline_left_us),
            max_wait_us: rules.max_wait_us,
            attained_tokens: dispatch.attained_tokens,
            memory_tokens: prompt_tokens
                + predict_output(
                    &self.output_predictor,
                    &dispatch.class,
                    dispatch.expected_output_tokens,
                ),
            prefill_tokens: prompt_tokens,
        })
    }

    /// Suspends admission after this process was paused.
    ///
    /// Owners may have sent the waiting calls elsewhere during the pause. If these have ended
    /// there, starting them here would run them after later calls of their programs. The link-down
    /// inputs that drop them are still unread; the suspension lets them be read first.
    pub(crate) fn detect_pause(&mut self, now: TimeUs) {
        let last_us = self.last_handled_us.replace(now);
        if last_us.is_some_and(|last_us| now.since(last_us) >= OWNER_SILENCE_TIMEOUT_US) {
            self.admits_from_us = now.after(PAUSE_RECOVERY_US);
        }
    }

    /// Drops the waiting idempotent calls of an owner whose link is down, since it sends them
    /// elsewhere. Non-idempotent calls stay: their owner asks for them when the link is up again.
    pub(crate) fn drop_waiting_calls(
        &mut self,
        now: TimeUs,
        owner: &VmId,
        out: &mut Vec<SidecarAction>,
    ) {
        let waiting: Vec<AttemptId> = self
            .attempts
            .iter()
            .filter(|(_, a)| a.phase == Phase::Waiting && a.dispatch.idempotent)
            .filter(|(_, a)| a.owner.as_ref() == Some(owner))
            .map(|(id, _)| *id)
            .collect();
        for id in waiting {
            let error = CallError::new(ErrorKind::NoBackend, "the link to the owner was lost");
            self.end(now, id, AnswerPart::Failed(error), out);
        }
    }

    /// Drops the waiting calls of silent owners, before these consider this sidecar lost.
    pub(crate) fn drop_calls_of_silent_owners(
        &mut self,
        now: TimeUs,
        out: &mut Vec<SidecarAction>,
    ) {
        let silent: Vec<VmId> = self
            .last_heard_us
            .iter()
            .filter(|(_, last_heard_us)| now.since(**last_heard_us) >= OWNER_SILENCE_TIMEOUT_US)
            .map(|(vm, _)| vm.clone())
            .collect();
        for vm in silent {
            self.drop_waiting_calls(now, &vm, out);
        }
    }

    /// Starts the calls that the admission queue lets through.
    pub(crate) fn admit(&mut self, now: TimeUs, out: &mut Vec<SidecarAction>) {
        if now < self.admits_from_us {
            return;
        }
        for id in self.admission.admit(now) {
            let Some(attempt) = self.attempts.get(&id) else {
                continue;
            };
            if !self.may_start(attempt, out) {
                let error = CallError::new(
                    ErrorKind::Internal,
                    "an invariant check failed before the call was started",
                );
                self.end(now, id, AnswerPart::Failed(error), out);
                continue;
            }
            let Some(attempt) = self.attempts.get_mut(&id) else {
                continue;
            };
            attempt.phase = Phase::Running;
            attempt.started = true;
            let dispatch = &attempt.dispatch;
            out.push(match &dispatch.payload {
                Payload::Chat(chat) => SidecarAction::Generate(Box::new(GenerateBody {
                    attempt: id,
                    program: dispatch.call.program.clone(),
                    model: chat.model.clone(),
                    messages: chat.messages.clone(),
                    prompt: chat.prompt.clone(),
                    max_output_tokens: dispatch.max_output_tokens,
                    extra: chat.extra.clone(),
                })),
                Payload::Plain(call) => SidecarAction::Call {
                    attempt: id,
                    call: call.clone(),
                    deadline_left_us: attempt.deadline_us.since(now),
                },
            });
        }
    }

    pub(crate) fn on_backend(
        &mut self,
        now: TimeUs,
        id: AttemptId,
        event: BackendEvent,
        out: &mut Vec<SidecarAction>,
    ) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        if attempt.phase != Phase::Running {
            return;
        }
        match event {
            BackendEvent::Text {
                position,
                text,
                count_tokens,
            } => {
                // A resumed stream may repeat text that was already received.
                let known = attempt.characters.saturating_sub(position);
                let fresh: String = skip_chars(&text, known);
                if fresh.is_empty() {
                    return;
                }
                let over =
                    attempt.used.output_tokens + count_tokens > attempt.dispatch.max_output_tokens;
                if over && self.settings.safeguards.output_cut {
                    self.truncate_output(now, id, out);
                    return;
                }
                self.admission.on_first_text(id);
                attempt.used.output_tokens += count_tokens;
                let part = AnswerPart::Text {
                    position: attempt.characters,
                    text: fresh.clone(),
                };
                attempt.characters += fresh.chars().count() as u64;
                attempt.text.push_str(&fresh);
                out.extend(attempt.reply(part));
            }
            BackendEvent::Done {
                usage,
                finish,
                cached,
            } => {
                attempt.used = usage;
                self.extend_lease(now, id, cached.iter().map(|segment| segment.chain));
                self.record_turn_end(now, id, &cached);
                let done = self.done(id, usage, Some(finish));
                self.end(now, id, done, out);
            }
            BackendEvent::Plain(answer) => {
                attempt.plain = Some(answer.clone());
                out.extend(attempt.reply(AnswerPart::Plain(answer)));
                let done = self.done(id, Usage::default(), None);
                self.end(now, id, done, out);
            }
            BackendEvent::Failed { detail, not_run } => {
                out.push(log(EventKind::EngineFailed, id));
                let kind = if not_run {
                    ErrorKind::NoBackend
                } else {
                    ErrorKind::BackendFailed
                };
                let failed = AnswerPart::Failed(CallError::new(kind, detail));
                attempt.started = !not_run;
                self.end(now, id, failed, out);
            }
        }
    }

    /// Ends a turn that exceeds the tokens reserved for it, as if the engine had kept the limit.
    ///
    /// An engine may generate more than requested, and the program would exceed its budget.
    fn truncate_output(&mut self, now: TimeUs, id: AttemptId, out: &mut Vec<SidecarAction>) {
        out.push(log(EventKind::OutputCut, id));
        out.push(SidecarAction::Cancel(id));
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        if let Payload::Chat(chat) = &attempt.dispatch.payload {
            attempt.used.prompt_tokens = chat.prompt.length_tokens();
        }
        let used = attempt.used;
        let done = self.done(id, used, Some(FinishReason::Length));
        self.end(now, id, done, out);
    }

    pub(crate) fn done(
        &self,
        id: AttemptId,
        usage: Usage,
        finish: Option<FinishReason>,
    ) -> AnswerPart {
        let call = self.attempts[&id].dispatch.call.clone();
        AnswerPart::Done(CallDone {
            call,
            usage,
            finish,
            turn: TurnState::NotKept,
            chain: None,
        })
    }

    /// Ends an attempt with the last part of its answer.
    pub(crate) fn end(
        &mut self,
        now: TimeUs,
        id: AttemptId,
        last: AnswerPart,
        out: &mut Vec<SidecarAction>,
    ) {
        self.admission.remove(id);
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        attempt.phase = Phase::Ended { at_us: now };
        attempt.last_part = Some(last.clone());
        out.extend(attempt.reply(last));
        let (started, program) = (attempt.started, attempt.dispatch.call.program.clone());
        let chains = attempt.prompt_chains();
        // A failed turn has left its prompt in the cache, too.
        if started && !chains.is_empty() {
            self.extend_lease(now, id, chains);
        }
        let waiting_owner = self.leases.get_mut(&program).and_then(|l| l.notify.take());
        if let Some(notify) = waiting_owner {
            self.release_cache(now, program, Some(notify), out);
        }
    }

    pub(crate) fn on_cancel(&mut self, now: TimeUs, id: AttemptId, out: &mut Vec<SidecarAction>) {
        let Some(attempt) = self.attempts.get(&id) else {
            return;
        };
        let kind = match attempt.phase {
            Phase::Waiting => ErrorKind::DeadlineBeforeStart,
            Phase::Running => ErrorKind::Cancelled,
            Phase::Ended { .. } => return,
        };
        if attempt.started {
            out.push(SidecarAction::Cancel(id));
        }
        let failed = AnswerPart::Failed(CallError::new(kind, "cancelled by the owner"));
        self.end(now, id, failed, out);
    }

    /// Ends every open attempt: waiting calls as not run, running non-idempotent calls with an
    /// unknown outcome.
    pub(crate) fn force_shutdown(&mut self, now: TimeUs, out: &mut Vec<SidecarAction>) {
        self.leaving = true;
        let open: Vec<(AttemptId, Phase, bool)> = self
            .attempts
            .iter()
            .map(|(id, attempt)| (*id, attempt.phase, attempt.dispatch.idempotent))
            .collect();
        for (id, phase, idempotent) in open {
            let kind = match (phase, idempotent) {
                (Phase::Waiting, _) => ErrorKind::ShuttingDown,
                (Phase::Running, true) => ErrorKind::BackendFailed,
                (Phase::Running, false) => ErrorKind::OutcomeUnknown,
                (Phase::Ended { .. }, _) => continue,
            };
            let error = CallError::new(kind, "the sidecar was shut down before the call ended");
            self.end(now, id, AnswerPart::Failed(error), out);
        }
    }

    /// Ends the waiting and running calls whose deadline has passed.
    pub(crate) fn end_overdue_calls(&mut self, now: TimeUs, out: &mut Vec<SidecarAction>) {
        for id in self.admission.take_expired(now) {
            let detail = "deadline passed while the call waited for admission";
            let failed = CallError::new(ErrorKind::DeadlineBeforeStart, detail);
            self.end(now, id, AnswerPart::Failed(failed), out);
        }
        let late: Vec<AttemptId> = self
            .attempts
            .iter()
            .filter(|(_, a)| a.phase == Phase::Running && a.deadline_us <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in late {
            out.push(SidecarAction::Cancel(id));
            let failed = CallError::new(
                ErrorKind::DeadlineExceeded,
                "deadline passed while the call was running",
            );
            self.end(now, id, AnswerPart::Failed(failed), out);
        }
    }
}
