//! Runs calls at the backend server and passes their answers to the owner.

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

/// The silence after which an owner's waiting calls are dropped; less than the time after which
/// an owner gives a sidecar up.
const OWNER_SILENT_US: SpanUs = SpanUs::from_s(2);
/// How long after a pause nothing is admitted.
const CATCH_UP_US: SpanUs = SpanUs::from_ms(200);

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
        let Some(call) = self.gate_call(now, &dispatch) else {
            let detail = "the document of this call is not known here yet";
            out.push(refuse(
                &from,
                attempt,
                CallError::new(ErrorKind::NotReady, detail),
            ));
            return;
        };
        let deadline_us = call.deadline_us;
        match self.gate.push(call) {
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
            last: None,
            plain: None,
            deadline_us,
        };
        self.retention.on_call(now, &state.dispatch.call.program);
        self.attempts.insert(attempt, state);
    }

    /// Learns from a turn that has ended, and decides how long its prefix is kept.
    fn retain_prefix(&mut self, now: TimeUs, id: AttemptId, cached: &[Segment]) {
        let Some(attempt) = self.attempts.get(&id) else {
            return;
        };
        let (dispatch, output) = (&attempt.dispatch, attempt.used.output_tokens);
        self.outputs.observe(&dispatch.class, None, Some(output.0));
        let (program, class) = (&dispatch.call.program, &dispatch.class);
        let tool = dispatch.next_tool.as_ref();
        self.retention
            .on_turn_end(now, program, class, tool, cached);
    }

    pub(crate) fn check_dispatch(
        &mut self,
        dispatch: &Dispatch,
        out: &mut Vec<SidecarAction>,
    ) -> Result<(), CallError> {
        if self.leaving {
            return Err(CallError::new(
                ErrorKind::ShuttingDown,
                "this backend server is leaving",
            ));
        }
        if self.orders.blocks_new_work() {
            let detail = "this backend server is about to change what it serves";
            return Err(CallError::new(ErrorKind::ShuttingDown, detail));
        }
        if dispatch.service != self.settings.service {
            return Err(CallError::new(
                ErrorKind::NoBackend,
                "this is another service's",
            ));
        }
        if !self.accept_epoch(dispatch.partition, dispatch.epoch, out) {
            return Err(CallError::new(
                ErrorKind::OwnerUnknown,
                "a newer owner is known",
            ));
        }
        if !dispatch.idempotent && self.is_closed(dispatch) {
            return Err(CallError::new(
                ErrorKind::OutOfOrder,
                "this call came here before",
            ));
        }
        Ok(())
    }

    /// Whether a non-idempotent call must not start here: its attempt was fenced, or another
    /// attempt of it came here and may have run.
    fn is_closed(&self, dispatch: &Dispatch) -> bool {
        let other_attempt = self.attempts.values().any(|other| {
            other.dispatch.call == dispatch.call
                && !other.dispatch.idempotent
                && (other.started || other.phase == Phase::Waiting)
        });
        let fenced = self.closed.contains_key(&dispatch.attempt)
            || self.is_forgotten(dispatch.partition, dispatch.epoch);
        (fenced && self.settings.safeguards.fence)
            || (other_attempt && self.settings.safeguards.dedup)
    }

    /// Drops answers that no owner has asked for in time; of a call that may not run twice, what
    /// is kept is that it ran.
    pub(crate) fn drop_old_answers(&mut self, now: TimeUs) {
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

    pub(crate) fn gate_call(&self, now: TimeUs, dispatch: &Dispatch) -> Option<QueuedCall> {
        // A call runs to its end by the revision that its owner saw when it came in. By the newest
        // one, a call whose class was dropped meanwhile would be refused half way.
        let in_force = self
            .config
            .document_at(&self.settings.service, dispatch.revision)?;
        let rules = in_force.document.class(&dispatch.class)?;
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
                    &self.outputs,
                    &dispatch.class,
                    dispatch.expected_output_tokens,
                ),
            prefill_tokens: prompt_tokens,
        })
    }

    /// Notices that this process stood still for long.
    ///
    /// Calls that came before may have been sent elsewhere by owners that heard nothing, and be
    /// over by now; to start them would overtake the program's later calls. Behind them stand the
    /// ends of the links they came by, which drop them. So nothing starts before all that has
    /// come meanwhile is read.
    pub(crate) fn note_pause(&mut self, now: TimeUs) {
        let last_us = self.last_handled_us.replace(now);
        if last_us.is_some_and(|last_us| now.since(last_us) >= OWNER_SILENT_US) {
            self.admits_from_us = now.after(CATCH_UP_US);
        }
    }

    /// Drops the waiting calls of an owner whose link is gone: it sends them elsewhere. A call that
    /// may not run twice stays, since its owner waits for the link and asks.
    pub(crate) fn drop_waiting_of(
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

    /// Drops the waiting calls of owners that are not heard, before these give up on this sidecar.
    pub(crate) fn drop_waiting_of_silent(&mut self, now: TimeUs, out: &mut Vec<SidecarAction>) {
        let silent: Vec<VmId> = self
            .heard_us
            .iter()
            .filter(|(_, heard_us)| now.since(**heard_us) >= OWNER_SILENT_US)
            .map(|(vm, _)| vm.clone())
            .collect();
        for vm in silent {
            self.drop_waiting_of(now, &vm, out);
        }
    }

    pub(crate) fn admit(&mut self, now: TimeUs, out: &mut Vec<SidecarAction>) {
        if now < self.admits_from_us {
            return;
        }
        for id in self.gate.admit(now) {
            let Some(attempt) = self.attempts.get(&id) else {
                continue;
            };
            if !self.may_start(attempt, out) {
                let error = CallError::new(ErrorKind::Internal, "an invariant did not hold");
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
                // A resumed stream may repeat text; only what follows the known end is new.
                let known = attempt.characters.saturating_sub(position);
                let fresh: String = skip_chars(&text, known);
                if fresh.is_empty() {
                    return;
                }
                let over =
                    attempt.used.output_tokens + count_tokens > attempt.dispatch.max_output_tokens;
                if over && self.settings.safeguards.output_cut {
                    self.cut_off(now, id, out);
                    return;
                }
                self.gate.on_first_text(id);
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
                self.hold_cache(now, id, cached.iter().map(|segment| segment.chain));
                self.retain_prefix(now, id, &cached);
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

    /// Ends a turn that runs over the tokens reserved for it.
    ///
    /// An engine may generate more than it was asked for. The program would then spend what its
    /// budget never set aside; so the turn ends here as if the limit had been kept.
    fn cut_off(&mut self, now: TimeUs, id: AttemptId, out: &mut Vec<SidecarAction>) {
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

    pub(crate) fn end(
        &mut self,
        now: TimeUs,
        id: AttemptId,
        last: AnswerPart,
        out: &mut Vec<SidecarAction>,
    ) {
        self.gate.remove(id);
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        attempt.phase = Phase::Ended { at_us: now };
        attempt.last = Some(last.clone());
        out.extend(attempt.reply(last));
        let (started, program) = (attempt.started, attempt.dispatch.call.program.clone());
        let chains = attempt.prompt_chains();
        // Also a turn that failed has left its prompt in the cache.
        if started && !chains.is_empty() {
            self.hold_cache(now, id, chains);
        }
        let wanted = self.leases.get_mut(&program).and_then(|l| l.notify.take());
        if let Some(notify) = wanted {
            self.release(now, program, Some(notify), out);
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

    /// Ends every attempt: what waits has not run, and the outcome of what runs will not be learned.
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
            let error = CallError::new(kind, "this sidecar was forced to end");
            self.end(now, id, AnswerPart::Failed(error), out);
        }
    }

    pub(crate) fn expire(&mut self, now: TimeUs, out: &mut Vec<SidecarAction>) {
        for id in self.gate.expired(now) {
            let detail = "the deadline passed while the call waited at the gate";
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
            let failed = CallError::new(ErrorKind::DeadlineExceeded, "the deadline passed");
            self.end(now, id, AnswerPart::Failed(failed), out);
        }
    }
}
