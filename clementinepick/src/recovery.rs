//! Learns what became of calls that an earlier owner, or this one before a link was lost, had sent.

use std::collections::BTreeSet;

use crate::answer::SidecarReply;
use crate::answer_text::AnswerText;
use crate::call::{AnswerPart, Usage};
use crate::call_state::{Leader, OpenCall, PendingTurn, Step};
use crate::entry::{Entry, EntryAction};
use crate::error::{CallError, ErrorKind};
use crate::event::{Event, EventKind};
use crate::history::{History, begins_with};
use crate::ids::{AttemptId, CallKey, Epoch, Incarnation, PartitionId, RecordId, RequestId, VmId};
use crate::message::{FenceVerdict, KeptCall, Message, Peer};
use crate::partition_replay::extend_chain;
use crate::record::CallOutcome;
use crate::step_record::send_committed;
use crate::units::{SpanUs, TimeUs};

/// How long a sidecar that can't be reached is waited for before a call's outcome counts as
/// unknown.
const UNREACHABLE_US: SpanUs = SpanUs::from_s(10);
/// How long an entry waits for callers to come for answers of a lost owner.
const KEEP_US: SpanUs = SpanUs::from_s(60);
/// The time between two questions to a sidecar that does not answer.
const ASK_AGAIN_US: SpanUs = SpanUs::from_s(2);

impl Entry {
    /// Finds the open calls of earlier owners and asks their sidecars.
    ///
    /// A record of a start without an end means that the call may have run. To run it again would
    /// double it; to refuse it as not run could be untrue.
    pub(crate) fn recover_open_calls(
        &mut self,
        now: TimeUs,
        partition: PartitionId,
        out: &mut Vec<EntryAction>,
    ) {
        let Some(state) = self.partitions.get(partition) else {
            return;
        };
        let mut found = Vec::new();
        for (program, state) in &state.programs {
            for (seq, recorded) in &state.calls {
                if recorded.outcome.is_some() {
                    continue;
                }
                let call = CallKey {
                    program: program.clone(),
                    seq: *seq,
                };
                let open = OpenCall {
                    partition,
                    attempt: recorded.attempt,
                    target: recorded.target.clone(),
                    incarnation: recorded.target_incarnation,
                    started_epoch: recorded.epoch,
                    since_us: now,
                    asked_us: None,
                    is_attached: false,
                    answer: AnswerText::default(),
                    plain: None,
                    kept: None,
                };
                found.push((call, open));
            }
        }
        for (call, open) in found {
            let event = Event::new(EventKind::FenceStarted).with("call", &call);
            out.push(EntryAction::Event(event));
            if self.settings.safeguards.fence {
                self.open_calls.insert(call, open);
            } else {
                let error = CallError::new(ErrorKind::OwnerUnknown, "the owner was lost");
                let outcome = CallOutcome::NeverRan(error);
                self.write_outcome(&call, partition, open.attempt, outcome, None);
            }
        }
        self.query_open_calls(now, out);
    }

    /// Asks the sidecars of open calls, and gives up on those that can't be reached.
    pub(crate) fn query_open_calls(&mut self, now: TimeUs, out: &mut Vec<EntryAction>) {
        let mut unknown = Vec::new();
        let mut ask = Vec::new();
        for (call, open) in &self.open_calls {
            match self.peers.get(&open.target) {
                Some(peer) if peer.peer.incarnation != open.incarnation => {
                    unknown.push(call.clone());
                }
                Some(_) if open.is_attached => {}
                Some(_) => {
                    let due = open.asked_us.is_none_or(|at| now.since(at) >= ASK_AGAIN_US);
                    if due {
                        ask.push(call.clone());
                    }
                }
                None if now.since(open.since_us) >= UNREACHABLE_US => unknown.push(call.clone()),
                None => {}
            }
        }
        for call in ask {
            let Some(open) = self.open_calls.get_mut(&call) else {
                continue;
            };
            open.asked_us = Some(now);
            let (target, partition) = (open.target.clone(), open.partition);
            let sent = (open.attempt, open.started_epoch, open.incarnation);
            self.send_fence(&target, &call, partition, sent, out);
        }
        for call in unknown {
            self.resolve(now, &call, &CallOutcome::Unknown, out);
        }
    }

    fn send_fence(
        &self,
        target: &VmId,
        call: &CallKey,
        partition: PartitionId,
        sent: (AttemptId, Epoch, Incarnation),
        out: &mut Vec<EntryAction>,
    ) {
        let Some(epoch) = self.own_epoch(partition) else {
            return;
        };
        let (attempt, started_epoch, incarnation) = sent;
        out.push(EntryAction::Send {
            to: target.clone(),
            message: Message::Fence {
                attempt,
                call: call.clone(),
                partition,
                epoch,
                started_epoch,
                incarnation,
            },
        });
    }

    pub(crate) fn on_fence_reply(
        &mut self,
        now: TimeUs,
        from: &VmId,
        attempt: AttemptId,
        verdict: FenceVerdict,
        out: &mut Vec<EntryAction>,
    ) {
        if let Some(id) = self.attempts.get(&attempt).copied() {
            self.on_lost_verdict(now, id, attempt, verdict, out);
            return;
        }
        let found = self
            .open_calls
            .iter_mut()
            .find(|(_, open)| open.attempt == attempt);
        let Some((call, open)) = found else {
            return;
        };
        let (call, partition) = (call.clone(), open.partition);
        match verdict {
            FenceVerdict::NeverRan => {
                let detail = "the owner was lost before the call was sent on";
                let error = CallError::new(ErrorKind::OwnerUnknown, detail);
                self.resolve(now, &call, &CallOutcome::NeverRan(error), out);
            }
            FenceVerdict::Running | FenceVerdict::Ended => {
                open.is_attached = true;
                let position = open.answer.characters();
                self.attach(partition, attempt, from, position, out);
            }
            FenceVerdict::Unknown => self.resolve(now, &call, &CallOutcome::Unknown, out),
        }
    }

    /// A part of the answer to an open call.
    pub(crate) fn on_open_call_reply(
        &mut self,
        now: TimeUs,
        from: &VmId,
        reply: SidecarReply,
        out: &mut Vec<EntryAction>,
    ) {
        let found = self
            .open_calls
            .iter_mut()
            .find(|(_, open)| open.attempt == reply.attempt && open.target == *from);
        let Some((call, open)) = found else {
            return;
        };
        let call = call.clone();
        let outcome = match reply.part {
            AnswerPart::Text { position, text } => {
                let known = open.answer.characters();
                let fresh = crate::sidecar::skip_chars(&text, known.saturating_sub(position));
                open.answer.push_str(&fresh);
                for id in self.recorded_followers(&call) {
                    if let Err(error) = self.deliver_text(id, known, &fresh, out) {
                        self.fail_unordered_call(id, error, out);
                    }
                }
                return;
            }
            AnswerPart::Plain(plain) => {
                open.plain = Some(plain);
                return;
            }
            AnswerPart::Done(done) => match open.plain.take() {
                Some(plain) => CallOutcome::Plain(plain),
                None => CallOutcome::Chat {
                    answer: open.answer.to_string(),
                    usage: done.usage,
                },
            },
            AnswerPart::Failed(error) if !reply.started => CallOutcome::NeverRan(error),
            AnswerPart::Failed(error) => match error.kind {
                ErrorKind::DeadlineExceeded | ErrorKind::Cancelled => CallOutcome::Failed(error),
                _ => CallOutcome::Unknown,
            },
        };
        self.resolve(now, &call, &outcome, out);
    }

    fn recorded_followers(&self, call: &CallKey) -> Vec<RequestId> {
        let step = Step::Follow(Leader::Recorded(call.clone()));
        let following = self.calls.iter().filter(|(_, call)| call.step == step);
        following.map(|(id, _)| *id).collect()
    }

    /// Puts the outcome of an open call on record and gives it to all who wait for it.
    fn resolve(
        &mut self,
        now: TimeUs,
        call: &CallKey,
        outcome: &CallOutcome,
        out: &mut Vec<EntryAction>,
    ) {
        let Some(open) = self.open_calls.remove(call) else {
            return;
        };
        if *outcome == CallOutcome::Unknown {
            let event = Event::new(EventKind::OutcomeUnknown).with("call", call);
            out.push(EntryAction::Event(event));
        }
        let turn_written = matches!(outcome, CallOutcome::Chat { .. })
            && open
                .kept
                .as_ref()
                .is_some_and(|kept| self.record_kept_turn(now, open.partition, &open.target, kept));
        let followers = self.recorded_followers(call);
        if matches!(outcome, CallOutcome::NeverRan(_))
            && let Some(live) = self.programs.get_mut(&call.program)
        {
            live.sequencer.reopen_recorded(call.seq);
        }
        if !turn_written {
            let told = Some((RequestId(0), open.target.clone()));
            self.write_outcome(call, open.partition, open.attempt, outcome.clone(), told);
        }
        for id in followers {
            // A repeat of a call that did not run is the call itself from here on.
            if matches!(outcome, CallOutcome::NeverRan(_)) {
                if let Some(call) = self.calls.get_mut(&id) {
                    call.step = Step::Own;
                }
                self.step_sequence(now, id, out);
                continue;
            }
            self.answer_outcome(id, call, outcome.clone(), out);
        }
        self.start_next(now, &call.program, out);
    }

    /// The end of a call has come on record: repeats that waited for it get it.
    pub(crate) fn answer_waiting_repeats(
        &mut self,
        now: TimeUs,
        partition: PartitionId,
        call: &CallKey,
        out: &mut Vec<EntryAction>,
    ) {
        let followers = self.recorded_followers(call);
        let state = self.partitions.program(partition, &call.program);
        let recorded = state.and_then(|state| state.calls.get(&call.seq));
        let Some(outcome) = recorded.and_then(|recorded| recorded.outcome.clone()) else {
            return;
        };
        for id in followers {
            if matches!(outcome, CallOutcome::NeverRan(_)) {
                self.step_sequence(now, id, out);
            } else {
                self.answer_outcome(id, call, outcome.clone(), out);
            }
        }
    }

    /// What a sidecar keeps of the calls of earlier owners.
    pub(crate) fn on_kept_calls(
        &mut self,
        now: TimeUs,
        from: &VmId,
        partition: PartitionId,
        calls: Vec<KeptCall>,
        out: &mut Vec<EntryAction>,
    ) {
        self.kept_answers_until_us = now.after(KEEP_US);
        let mut calls = calls;
        calls.sort_by(|a, b| a.call.cmp(&b.call));
        for kept in calls {
            if self.is_on_record(partition, &kept) {
                send_committed(from, kept.attempt, out);
            } else if !kept.idempotent {
                if let Some(open) = self.open_calls.get_mut(&kept.call) {
                    open.kept = Some(kept);
                }
            } else if !(kept.answered && self.record_kept_turn(now, partition, from, &kept))
                && (kept.answered || !kept.ended)
            {
                self.kept_answers.insert(kept.request, (from.clone(), kept));
            }
        }
        if let Some(taking_over) = self.taking_over.get_mut(&partition) {
            taking_over.waits_for.remove(from);
        }
        self.finish_takeovers(now, out);
    }

    /// Lets the calls go on of partitions whose sidecars have reported or are late.
    pub(crate) fn finish_takeovers(&mut self, now: TimeUs, out: &mut Vec<EntryAction>) {
        let ready: BTreeSet<PartitionId> = self
            .taking_over
            .iter()
            .filter(|(_, t)| t.waits_for.is_empty() || now >= t.until_us)
            .map(|(partition, _)| *partition)
            .collect();
        for partition in ready {
            self.taking_over.remove(&partition);
            self.retry_calls(now, partition, out);
        }
    }

    fn is_on_record(&self, partition: PartitionId, kept: &KeptCall) -> bool {
        let state = self.partitions.program(partition, &kept.call.program);
        state.is_some_and(|state| {
            let turn = state.turns.get(&kept.call.seq);
            let call = state.calls.get(&kept.call.seq);
            turn.is_some_and(|turn| turn.request == kept.request)
                || call.is_some_and(|c| c.attempt == kept.attempt && c.outcome.is_some())
        })
    }

    /// Puts a turn on record that an earlier owner had answered and not recorded; false when it
    /// does not follow on the history.
    fn record_kept_turn(
        &mut self,
        now: TimeUs,
        partition: PartitionId,
        target: &VmId,
        kept: &KeptCall,
    ) -> bool {
        let program = &kept.call.program;
        if self.partitions.program(partition, program).is_none() || kept.messages.is_empty() {
            return false;
        }
        self.live_program(now, partition, program);
        let (Some(live), Some(state)) = (
            self.programs.get(program),
            self.partitions.program(partition, program),
        ) else {
            return false;
        };
        let history = History::of(state, live);
        if state.ended.is_some()
            || kept.call.seq < live.sequencer.next()
            || !begins_with(&kept.messages, &history.messages)
        {
            return false;
        }
        let messages = kept.messages[history.messages.len()..].to_vec();
        let answer = crate::call::ChatMessage::new("assistant", &kept.answer);
        let after = extend_chain(history.chain, &messages);
        let turn = PendingTurn {
            record: RecordId(0),
            call: kept.call.clone(),
            request: kept.request,
            digest: kept.digest,
            key: None,
            messages,
            answer: kept.answer.clone(),
            usage: kept.used,
            finish: None,
            after: extend_chain(after, std::slice::from_ref(&answer)),
            attempt: kept.attempt,
            target: target.clone(),
        };
        if let Some(live) = self.programs.get_mut(program) {
            live.sequencer.skip(kept.call.seq);
            live.holders.insert(target.clone());
        }
        self.append_turn(partition, history.chain, turn)
    }

    /// The link to the sidecar of a running call that may not run twice went down: the call waits
    /// for the link, since only that sidecar knows what became of it.
    pub(crate) fn wait_for_link(&mut self, id: RequestId) {
        if let Some(call) = self.calls.get_mut(&id)
            && let Step::Running { attempt, target } = call.step.clone()
        {
            call.step = Step::Lost { attempt, target };
        }
    }

    /// The link to a sidecar is up again: calls that wait for it are asked for.
    pub(crate) fn query_lost_calls(
        &mut self,
        now: TimeUs,
        peer: &Peer,
        out: &mut Vec<EntryAction>,
    ) {
        let lost: Vec<(RequestId, AttemptId)> = self
            .calls
            .iter()
            .filter_map(|(id, call)| match &call.step {
                Step::Lost { attempt, target } if *target == peer.vm => Some((*id, *attempt)),
                _ => None,
            })
            .collect();
        for (id, attempt) in lost {
            let Some(call) = self.calls.get(&id) else {
                continue;
            };
            let (Some(seq), partition) = (call.seq, call.partition) else {
                continue;
            };
            let Some(claim) = call.recorded_start.clone() else {
                continue;
            };
            if claim.incarnation != peer.incarnation {
                self.on_lost_verdict(now, id, attempt, FenceVerdict::Unknown, out);
                continue;
            }
            let Some(epoch) = self.own_epoch(partition) else {
                continue;
            };
            let key = call.request.key(seq);
            let sent = (attempt, epoch, claim.incarnation);
            self.send_fence(&peer.vm, &key, partition, sent, out);
        }
    }

    fn on_lost_verdict(
        &mut self,
        now: TimeUs,
        id: RequestId,
        attempt: AttemptId,
        verdict: FenceVerdict,
        out: &mut Vec<EntryAction>,
    ) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let Step::Lost { target, .. } = call.step.clone() else {
            return;
        };
        let (partition, position) = (call.partition, call.answer.characters());
        let failure = |kind, started| {
            let error = CallError::new(kind, "the link to the backend server was lost");
            (error, started, Usage::default())
        };
        match verdict {
            FenceVerdict::NeverRan => {
                let failure = failure(ErrorKind::NoBackend, false);
                self.on_failed(now, id, attempt, failure, out);
            }
            FenceVerdict::Running | FenceVerdict::Ended => {
                call.step = Step::Running {
                    attempt,
                    target: target.clone(),
                };
                self.attach(partition, attempt, &target, position, out);
            }
            FenceVerdict::Unknown => {
                let failure = failure(ErrorKind::OutcomeUnknown, true);
                self.on_failed(now, id, attempt, failure, out);
            }
        }
    }

    /// The deadline of a call passed while its sidecar could not be reached, or did not answer:
    /// its caller gets the truth, and the call stays open until its outcome is learned.
    pub(crate) fn detach_at_deadline(
        &mut self,
        now: TimeUs,
        id: RequestId,
        out: &mut Vec<EntryAction>,
    ) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let open = call
            .recorded_start
            .clone()
            .zip(call.seq)
            .map(|(claim, seq)| {
                let open = OpenCall {
                    partition: call.partition,
                    attempt: claim.attempt,
                    target: claim.target,
                    incarnation: claim.incarnation,
                    started_epoch: self.own_epoch(call.partition).unwrap_or_default(),
                    since_us: now,
                    asked_us: None,
                    is_attached: false,
                    answer: call.answer.clone(),
                    plain: call.plain.clone(),
                    kept: None,
                };
                (call.request.key(seq), open)
            });
        if let Step::Lost { attempt, .. } | Step::Running { attempt, .. } = call.step {
            self.end_attempt(attempt, true);
        }
        if let Some((key, open)) = open {
            self.open_calls.insert(key, open);
        }
        let detail = "the deadline passed while the backend server could not be reached";
        let error = CallError::new(ErrorKind::OutcomeUnknown, detail);
        if let Some(call) = self.calls.get_mut(&id) {
            call.recorded_start = None;
        }
        self.settle_full_reservation(id);
        self.fail_call(now, id, error, out);
    }

    /// Books all that was held for a call of which nobody knows what it used.
    pub(crate) fn settle_full_reservation(&mut self, id: RequestId) {
        let held = self.calls.get(&id).and_then(|call| call.held_tokens);
        let used = Usage {
            prompt_tokens: held.unwrap_or_default(),
            ..Usage::default()
        };
        self.settle(id, used, 1);
    }
}
