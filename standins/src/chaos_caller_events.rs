//! Handles the requests, responses and ends of programs of the callers in a chaos run.

use clementinepick::call::AnswerPart;
use clementinepick::entry::EntryInput;
use clementinepick::error::{CallError, NotRun};
use clementinepick::ids::{ProgramId, RequestId, VmId};
use clementinepick::record::EndReason;
use clementinepick::units::SpanUs;
use rand::RngExt;

use crate::chaos_backend::Backend;
use crate::chaos_callers::{CallKind, DEADLINE_US, NextAction, PendingRequest, apply_part};
use crate::chaos_world::{Input, Node, ProcessLogic, RESPONSE_GRACE_US, ScheduledEvent, World};

impl World {
    pub(crate) fn on_send(&mut self, caller: usize) {
        if self.callers[caller].pending.is_some() || self.callers[caller].outcome.is_some() {
            return;
        }
        let Some(entry) = self.choose_entry() else {
            self.schedule_after(SpanUs::from_ms(200), ScheduledEvent::Send { caller });
            return;
        };
        let id = RequestId::draw(&mut self.rng);
        let state = &mut self.callers[caller];
        let (program, at, kind) = (state.program.clone(), state.call_index, state.call_kind());
        state.pending = Some(PendingRequest {
            id,
            entry: entry.clone(),
            text: String::new(),
            plain: None,
            sent_us: self.now,
        });
        self.callers_by_request.insert(id, caller);
        self.record_trace(|| {
            format!("caller of {program} sends call {at} ({kind:?}) to {entry}, {id}")
        });
        self.counts.add("requests");
        let start_count = self.nodes[&entry].start_count;
        let delay = self.draw_link_delay();
        self.schedule_after(
            delay,
            ScheduledEvent::Arrive {
                caller,
                entry,
                start_count,
                request: id,
            },
        );
        let timeout = DEADLINE_US + RESPONSE_GRACE_US;
        self.schedule_after(
            timeout,
            ScheduledEvent::ResponseTimeout {
                caller,
                request: id,
            },
        );
    }

    /// Chooses a random ready entry, as the platform's load balancer does.
    pub(crate) fn choose_entry(&mut self) -> Option<VmId> {
        let ready = |node: &Node| match &node.logic {
            Some(ProcessLogic::Entry(entry)) => entry.is_ready(),
            _ => false,
        };
        let ready: Vec<&VmId> = self
            .nodes
            .iter()
            .filter(|(_, node)| ready(node))
            .map(|(vm, _)| vm)
            .collect();
        if ready.is_empty() {
            return None;
        }
        let at = self.rng.random_range(0..ready.len());
        Some(ready[at].clone())
    }

    pub(crate) fn on_arrive(
        &mut self,
        caller: usize,
        entry: &VmId,
        start_count: u64,
        id: RequestId,
    ) {
        if self.callers[caller]
            .pending
            .as_ref()
            .is_none_or(|pending| pending.id != id)
        {
            return;
        }
        let request = Box::new(self.callers[caller].request(id));
        self.deliver_input(
            entry,
            start_count,
            Input::Entry(EntryInput::Request(request)),
        );
    }

    pub(crate) fn on_response_part(&mut self, vm: &VmId, id: RequestId, part: &AnswerPart) {
        self.record_trace(|| format!("{vm} responds to {id}: {}", summarize_part(part)));
        let Some(caller) = self.callers_by_request.get(&id).copied() else {
            return;
        };
        let state = &mut self.callers[caller];
        let Some(pending) = state.pending.as_mut().filter(|pending| pending.id == id) else {
            self.checks
                .fail("own answer", format!("response part after the end of {id}"));
            return;
        };
        if let Some(wrong) = apply_part(pending, part) {
            let program = state.program.clone();
            self.checks
                .fail("own answer", format!("{program}, {id}: {wrong}"));
            return;
        }
        let next = match part {
            AnswerPart::Text { .. } | AnswerPart::Plain(_) => return,
            AnswerPart::Done(_) => {
                self.check_response(caller, id);
                let think = SpanUs::from_ms(self.rng.random_range(1..4_000));
                self.counts.add("answers");
                self.callers[caller].on_completed(think)
            }
            AnswerPart::Failed(error) => self.on_refused(caller, id, error),
        };
        self.callers_by_request.remove(&id);
        self.schedule_next(caller, next);
    }

    pub(crate) fn check_response(&mut self, caller: usize, id: RequestId) {
        let state = &self.callers[caller];
        let Some(pending) = &state.pending else {
            return;
        };
        let (program, at) = (&state.program, state.call_index);
        let wrong = match state.call_kind() {
            CallKind::Chat => {
                let expected = Backend::expected_text(&state.request(id));
                (pending.text != expected).then(|| {
                    format!(
                        "{program}/{at}: got `{}`, expected `{expected}`",
                        pending.text
                    )
                })
            }
            CallKind::Hold => {
                let expected = Backend::expected_plain(state.body());
                let executed = self.checks.was_executed(state.body());
                (pending.plain.as_ref() != Some(&expected) || !executed).then(|| {
                    format!(
                        "{program}/{at}: wrong response to a hold, or the hold was not executed"
                    )
                })
            }
        };
        if let Some(wrong) = wrong {
            self.checks.fail("own answer", wrong);
        }
    }

    pub(crate) fn on_refused(
        &mut self,
        caller: usize,
        id: RequestId,
        error: &CallError,
    ) -> NextAction {
        let response = error.kind.response();
        self.counts.add(response.code);
        let persistent = self.rng.random_bool(0.9);
        let program = self.callers[caller].program.clone();
        self.record_trace(|| format!("call of {program} failed, {id}: {error}"));
        let next = self.callers[caller].on_failed(error, persistent);
        if next == NextAction::End && response.not_run == NotRun::Yes {
            let first_try = self.callers[caller].was_sent_once();
            let body = self.callers[caller].body();
            if first_try {
                self.checks.on_abandoned(&program, body);
            }
        }
        next
    }

    pub(crate) fn on_response_timeout(&mut self, caller: usize, id: RequestId) {
        let state = &self.callers[caller];
        if let Some(pending) = state.pending.as_ref().filter(|pending| pending.id == id) {
            let entry = pending.entry.clone();
            if self.nodes[&entry].is_paused {
                self.schedule_after(
                    SpanUs::from_s(5),
                    ScheduledEvent::ResponseTimeout {
                        caller,
                        request: id,
                    },
                );
                return;
            }
            let (program, at) = (state.program.clone(), state.call_index);
            let detail = format!(
                "{program}/{at}: no complete response from {entry} long after the deadline"
            );
            self.trace_program_calls(&program);
            self.checks.fail("an answer in time", detail);
        }
    }

    /// Writes the state of a program's calls in all entries into the trace.
    fn trace_program_calls(&mut self, program: &ProgramId) {
        let mut lines = Vec::new();
        for (vm, node) in &self.nodes {
            let Some(ProcessLogic::Entry(entry)) = &node.logic else {
                continue;
            };
            let dump = entry.dump(self.now);
            let calls = dump["calls"].as_array().into_iter().flatten();
            let own = calls.filter(|call| call["program"] == program.as_str());
            lines.extend(own.map(|call| format!("{vm}: call {call}")));
        }
        for line in lines {
            self.record_trace(|| line);
        }
    }

    pub(crate) fn schedule_next(&mut self, caller: usize, next: NextAction) {
        match next {
            NextAction::Wait => {}
            NextAction::SendAfter(span) => {
                self.schedule_after(span, ScheduledEvent::Send { caller });
            }
            NextAction::End => self.end_program(caller),
        }
    }

    pub(crate) fn end_program(&mut self, caller: usize) {
        let program = self.callers[caller].program.clone();
        let outcome = self.callers[caller].outcome;
        self.record_trace(|| format!("caller of {program} ends the program: {outcome:?}"));
        self.counts.add("programs ended");
        let Some(entry) = self.choose_entry() else {
            return;
        };
        let start_count = self.nodes[&entry].start_count;
        let input = EntryInput::EndProgram {
            program,
            reason: EndReason::Caller,
        };
        self.deliver_input(&entry, start_count, Input::Entry(input));
    }
}

/// Describes a part of a response in a few words.
fn summarize_part(part: &AnswerPart) -> String {
    match part {
        AnswerPart::Text { position, text } => format!("text at {position}, {} bytes", text.len()),
        AnswerPart::Plain(answer) => format!("plain {}", answer.status),
        AnswerPart::Done(done) => format!("done {:?}", done.turn),
        AnswerPart::Failed(error) => format!("failed, {error}"),
    }
}
