//! Delays a call until the earlier calls of its program have ended.

use crate::budget::Account;
use crate::call_state::{Awaited, LiveProgram, Step};
use crate::entry::{Entry, EntryAction};
use crate::error::{CallError, ErrorKind};
use crate::event::{Event, EventKind};
use crate::ids::{CallSeq, PartitionId, ProgramId, RequestId};
use crate::record::{Budget, EndReason, PartitionRecord};
use crate::sequencer::Sequencer;
use crate::units::TimeUs;

impl Entry {
    pub(crate) fn step_sequence(&mut self, now: TimeUs, id: RequestId, out: &mut Vec<EntryAction>) {
        if let Err(refused) = self.check_program_live(id) {
            self.fail_unordered_call(id, refused, out);
            return;
        }
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let (program, partition) = (call.request.program.clone(), call.partition);
        let (wanted, unrecorded) = (call.request.seq, call.is_unrecorded());
        let known = self.partitions.program(partition, &program).is_some();
        let is_order_enforced = self.settings.safeguards.order;
        let live = self.live_program(now, partition, &program);
        if !is_order_enforced {
            live.sequencer.allow_concurrent();
        }
        let seq = match live.sequencer.push(now, id, wanted) {
            Ok(seq) => seq,
            Err(refused) => {
                self.fail_unordered_call(id, refused, out);
                return;
            }
        };
        if let Some(call) = self.calls.get_mut(&id) {
            call.seq = Some(seq);
            call.step = Step::Order;
        }
        if known || unrecorded {
            self.start_next(now, &program, out);
        } else {
            self.open_program(id);
        }
    }

    /// Returns the in-memory state of a program, which is created at its first call here.
    pub(crate) fn live_program(
        &mut self,
        now: TimeUs,
        partition: PartitionId,
        program: &ProgramId,
    ) -> &mut LiveProgram {
        let recorded = self.partitions.program(partition, program);
        let next = recorded.map_or(CallSeq(0), |state| state.next);
        let is_known = recorded.is_some();
        let live = self
            .programs
            .entry(program.clone())
            .or_insert_with(|| LiveProgram {
                partition,
                sequencer: Sequencer::resuming_at(next, is_known),
                since_us: now,
                // An earlier owner may have answered turns that were never recorded.
                may_have_unrecorded_turns: is_known,
                is_inherited: is_known,
                ..LiveProgram::default()
            });
        live.last_used_us = now;
        live
    }

    /// Rejects calls of ended programs, and of sub-agents without a live parent.
    fn check_program_live(&self, id: RequestId) -> Result<(), CallError> {
        let Some(call) = self.calls.get(&id) else {
            return Ok(());
        };
        let request = &call.request;
        let recorded = self.partitions.program(call.partition, &request.program);
        // The record of the end may not have been read back yet.
        let ended = self.ended.get(&request.program).map(|ended| ended.reason);
        check_live(ended, "the program")?;
        if let Some(state) = recorded {
            return check_live(state.ended, "the program");
        }
        let Some(parent) = &request.parent else {
            return Ok(());
        };
        let Some(parent_state) = self.partitions.program(call.partition, parent) else {
            let detail =
                format!("the parent program `{parent}` is not known in the partition of its root");
            let field = crate::http_request::PARENT_HEADER;
            return Err(CallError::in_field(ErrorKind::UnknownCall, field, detail));
        };
        let root = parent_state.root.as_ref().unwrap_or(parent);
        if request.root_program() != root {
            let detail = format!("the root program of the parent `{parent}` is `{root}`");
            let field = crate::http_request::ROOT_HEADER;
            return Err(CallError::in_field(ErrorKind::BadHeader, field, detail));
        }
        check_live(parent_state.ended, "the parent program")
    }

    fn open_program(&mut self, id: RequestId) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let (program, partition) = (call.request.program.clone(), call.partition);
        let rules = &call.active_document.document.program;
        let tokens = call.request.budget_tokens.unwrap_or(rules.budget_tokens);
        let budget = Budget {
            tokens: tokens.min(rules.budget_tokens),
            calls: rules.budget_calls,
            time_us: rules.budget_time_us,
        };
        let root = call
            .request
            .parent
            .as_ref()
            .map(|_| call.request.root_program());
        // A sub-agent is charged to its root's account, so it gets no slice of its own.
        let slice = match root {
            Some(_) => crate::budget::Amount::default(),
            None => Account::first_slice(budget, call.work_tokens()),
        };
        let entry = PartitionRecord::ProgramOpened {
            program: program.clone(),
            parent: call.request.parent.clone(),
            root: root.cloned(),
            service: call.request.service.clone(),
            class: call.class.clone(),
            budget,
            slice,
        };
        let Some(live) = self.programs.get_mut(&program) else {
            return;
        };
        if std::mem::replace(&mut live.is_opening, true) {
            return;
        }
        if let Some(record) = self.write_owned(partition, entry) {
            self.awaited.insert(record, Awaited::Opened(program));
        }
    }

    /// Starts the calls of a program whose opening record has been read back.
    pub(crate) fn on_opened(
        &mut self,
        now: TimeUs,
        program: &ProgramId,
        out: &mut Vec<EntryAction>,
    ) {
        let partition = self.programs.get(program).map(|live| live.partition);
        let is_open_here = partition.is_some_and(|p| self.partitions.program(p, program).is_some());
        if is_open_here {
            if let Some(live) = self.programs.get_mut(program) {
                live.is_opening = false;
            }
            self.start_next(now, program, out);
            return;
        }
        // The program was opened first as a sub-agent in another partition, so its calls go to the
        // owner of its root.
        self.programs.remove(program);
        let ids: Vec<RequestId> = self
            .calls
            .iter()
            .filter(|(_, call)| call.request.program == *program && call.step == Step::Order)
            .map(|(id, _)| *id)
            .collect();
        for id in ids {
            self.reset_call(id);
            self.step_owner(now, id, out);
        }
    }

    pub(crate) fn start_next(
        &mut self,
        now: TimeUs,
        program: &ProgramId,
        out: &mut Vec<EntryAction>,
    ) {
        let Some(live) = self.programs.get_mut(program) else {
            return;
        };
        let partition = live.partition;
        // A call of an earlier owner may still run; its outcome must be resolved first.
        let blocked = self.open_calls.keys().any(|call| call.program == *program);
        if blocked || live.is_opening || self.yielding.contains(&partition) {
            return;
        }
        let Some((_, id)) = live.sequencer.start_next() else {
            return;
        };
        if self.detect_loop(id) {
            self.stop_loop(now, id, out);
            return;
        }
        if let Err(refused) = self.check_history(id) {
            report_history_mismatch(id, &refused, out);
            self.fail_call(now, id, refused, out);
            return;
        }
        self.step_budget(now, id, out);
    }

    /// Counts identical calls in a row and returns whether they exceed `max_repeats`.
    ///
    /// An agent that keeps sending the same call makes no progress, and without a limit would go on
    /// until its whole budget is exhausted.
    fn detect_loop(&mut self, id: RequestId) -> bool {
        let Some(call) = self.calls.get(&id) else {
            return false;
        };
        let max_repeats = call.active_document.document.program.max_repeats;
        let digest = crate::step_start::digest_new_messages(&call.request.payload);
        let Some(live) = self.programs.get_mut(&call.request.program) else {
            return false;
        };
        let (last, count) = live.consecutive_calls;
        live.consecutive_calls = if last == digest {
            (last, count + 1)
        } else {
            (digest, 1)
        };
        live.consecutive_calls.1 > max_repeats
    }

    fn stop_loop(&mut self, now: TimeUs, id: RequestId, out: &mut Vec<EntryAction>) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let program = call.request.program.clone();
        let event = Event::new(EventKind::LoopStopped).with("program", &program);
        out.push(EntryAction::Event(event));
        let detail = "the program sent the same call more than `max_repeats` times in a row";
        let error = CallError::new(ErrorKind::LoopStopped, detail);
        self.fail_call(now, id, error, out);
        self.end_program(now, program, EndReason::Loop, out);
    }
}

fn check_live(ended: Option<EndReason>, whose: &str) -> Result<(), CallError> {
    match ended {
        None => Ok(()),
        Some(EndReason::Loop) => {
            let detail = format!("{whose} was ended by the loop guard");
            Err(CallError::new(ErrorKind::LoopStopped, detail))
        }
        Some(reason) => {
            let detail = format!("{whose} has ended ({reason:?})");
            Err(CallError::new(ErrorKind::ProgramEnded, detail))
        }
    }
}

fn report_history_mismatch(id: RequestId, refused: &CallError, out: &mut Vec<EntryAction>) {
    if refused.kind == ErrorKind::HistoryMismatch {
        let event = Event::new(EventKind::HistoryMismatch).with("request", id);
        out.push(EntryAction::Event(event));
    }
}
