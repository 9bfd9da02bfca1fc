//! The callers of a chaos run at work.

use clementinepick::call::AnswerPart;
use clementinepick::entry::EntryInput;
use clementinepick::error::{CallError, NotRun};
use clementinepick::ids::{ProgramId, RequestId, VmId};
use clementinepick::record::EndReason;
use clementinepick::units::SpanUs;
use rand::RngExt;

use crate::chaos_backend::Backend;
use crate::chaos_callers::{DEADLINE_US, Next, Open, Turn, take_part};
use crate::chaos_world::{Core, Due, FORGOTTEN_US, Input, Node, World};

impl World {
    pub(crate) fn on_send(&mut self, caller: usize) {
        if self.callers[caller].open.is_some() || self.callers[caller].ending.is_some() {
            return;
        }
        let Some(entry) = self.balance() else {
            self.schedule_after(SpanUs::from_ms(200), Due::Send { caller });
            return;
        };
        let id = RequestId::draw(&mut self.rng);
        let state = &mut self.callers[caller];
        let (program, at, turn) = (state.program.clone(), state.at, state.turn());
        state.open = Some(Open {
            id,
            entry: entry.clone(),
            text: String::new(),
            plain: None,
            sent_us: self.now,
        });
        self.open.insert(id, caller);
        self.note(|| format!("caller of {program} sends call {at} ({turn:?}) to {entry}, {id}"));
        self.counts.add("requests");
        let life = self.nodes[&entry].life;
        let delay = self.delay();
        self.schedule_after(
            delay,
            Due::Arrive {
                caller,
                entry,
                life,
                request: id,
            },
        );
        let patience = DEADLINE_US + FORGOTTEN_US;
        self.schedule_after(
            patience,
            Due::Forgotten {
                caller,
                request: id,
            },
        );
    }

    /// The platform's balancer: a ready entry, else any that lives.
    pub(crate) fn balance(&mut self) -> Option<VmId> {
        let ready = |node: &Node| match &node.core {
            Some(Core::Entry(entry)) => entry.is_ready(),
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

    pub(crate) fn on_arrive(&mut self, caller: usize, entry: &VmId, life: u64, id: RequestId) {
        if self.callers[caller]
            .open
            .as_ref()
            .is_none_or(|open| open.id != id)
        {
            return;
        }
        let request = Box::new(self.callers[caller].request(id));
        self.give(entry, life, Input::Entry(EntryInput::Request(request)));
    }

    pub(crate) fn on_answer(&mut self, vm: &VmId, id: RequestId, part: &AnswerPart) {
        self.note(|| format!("{vm} answers {id}: {}", brief(part)));
        let Some(caller) = self.open.get(&id).copied() else {
            return;
        };
        let state = &mut self.callers[caller];
        let Some(open) = state.open.as_mut().filter(|open| open.id == id) else {
            self.checks
                .fail("own answer", format!("a part after the end of {id}"));
            return;
        };
        if let Some(wrong) = take_part(open, part) {
            let program = state.program.clone();
            self.checks
                .fail("own answer", format!("{program}, {id}: {wrong}"));
            return;
        }
        let next = match part {
            AnswerPart::Text { .. } | AnswerPart::Plain(_) => return,
            AnswerPart::Done(_) => {
                self.check_answer(caller, id);
                let think = SpanUs::from_ms(self.rng.random_range(1..4_000));
                self.counts.add("answers");
                self.callers[caller].on_done(think)
            }
            AnswerPart::Failed(error) => self.on_refused(caller, id, error),
        };
        self.open.remove(&id);
        self.go_on(caller, next);
    }

    pub(crate) fn check_answer(&mut self, caller: usize, id: RequestId) {
        let state = &self.callers[caller];
        let Some(open) = &state.open else { return };
        let (program, at) = (&state.program, state.at);
        let wrong = match state.turn() {
            Turn::Chat => {
                let expected = Backend::expected_text(&state.request(id));
                (open.text != expected)
                    .then(|| format!("{program}/{at}: got `{}`, expected `{expected}`", open.text))
            }
            Turn::Hold => {
                let expected = Backend::expected_plain(state.body());
                let executed = self.checks.was_executed(state.body());
                (open.plain.as_ref() != Some(&expected) || !executed)
                    .then(|| format!("{program}/{at}: the answer to a hold is wrong or untrue"))
            }
        };
        if let Some(wrong) = wrong {
            self.checks.fail("own answer", wrong);
        }
    }

    pub(crate) fn on_refused(&mut self, caller: usize, id: RequestId, error: &CallError) -> Next {
        let answer = error.kind.response();
        self.counts.add(answer.code);
        let patient = self.rng.random_bool(0.9);
        let program = self.callers[caller].program.clone();
        self.note(|| format!("caller of {program} is refused, {id}: {error}"));
        let next = self.callers[caller].on_failed(error, patient);
        if next == Next::End && answer.not_run == NotRun::Yes {
            let first_try = self.callers[caller].was_sent_once();
            let body = self.callers[caller].body();
            if first_try {
                self.checks.on_given_up(&program, body);
            }
        }
        next
    }

    pub(crate) fn on_forgotten(&mut self, caller: usize, id: RequestId) {
        let state = &self.callers[caller];
        if let Some(open) = state.open.as_ref().filter(|open| open.id == id) {
            let entry = open.entry.clone();
            if self.nodes[&entry].paused {
                self.schedule_after(
                    SpanUs::from_s(5),
                    Due::Forgotten {
                        caller,
                        request: id,
                    },
                );
                return;
            }
            let (program, at) = (state.program.clone(), state.at);
            let detail = format!("{program}/{at}: no answer from {entry} long after the deadline");
            self.note_calls_of(&program);
            self.checks.fail("an answer in time", detail);
        }
    }

    /// Puts what the entries know of a program's calls into the trace.
    fn note_calls_of(&mut self, program: &ProgramId) {
        let mut lines = Vec::new();
        for (vm, node) in &self.nodes {
            let Some(Core::Entry(entry)) = &node.core else {
                continue;
            };
            let dump = entry.dump(self.now);
            let calls = dump["calls"].as_array().into_iter().flatten();
            let own = calls.filter(|call| call["program"] == program.as_str());
            lines.extend(own.map(|call| format!("{vm} has {call}")));
        }
        for line in lines {
            self.note(|| line);
        }
    }

    pub(crate) fn go_on(&mut self, caller: usize, next: Next) {
        match next {
            Next::Wait => {}
            Next::SendAfter(span) => self.schedule_after(span, Due::Send { caller }),
            Next::End => self.end_program(caller),
        }
    }

    pub(crate) fn end_program(&mut self, caller: usize) {
        let program = self.callers[caller].program.clone();
        let ending = self.callers[caller].ending;
        self.note(|| format!("caller of {program} ends it: {ending:?}"));
        self.counts.add("programs ended");
        let Some(entry) = self.balance() else { return };
        let life = self.nodes[&entry].life;
        let input = EntryInput::EndProgram {
            program,
            reason: EndReason::Caller,
        };
        self.give(&entry, life, Input::Entry(input));
    }
}

/// A part of an answer in a few words.
fn brief(part: &AnswerPart) -> String {
    match part {
        AnswerPart::Text { position, text } => format!("text at {position}, {} bytes", text.len()),
        AnswerPart::Plain(answer) => format!("plain {}", answer.status),
        AnswerPart::Done(done) => format!("done {:?}", done.turn),
        AnswerPart::Failed(error) => format!("failed, {error}"),
    }
}
