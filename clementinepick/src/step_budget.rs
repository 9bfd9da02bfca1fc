//! Reserves the budget of a call, and delays the call while its program's account lacks a slice.

use crate::budget::{Amount, Grant};
use crate::call::Usage;
use crate::call_state::{Awaited, LiveProgram, Step};
use crate::entry::{Entry, EntryAction};
use crate::error::{CallError, ErrorKind};
use crate::ids::{PartitionId, ProgramId, RequestId};
use crate::record::PartitionRecord;
use crate::units::{TimeUs, Tokens};

impl Entry {
    /// Returns the program whose account a program is charged to.
    pub(crate) fn account_holder(&self, partition: PartitionId, program: &ProgramId) -> ProgramId {
        let state = self.partitions.program(partition, program);
        let root = state.and_then(|state| state.root.clone());
        root.unwrap_or_else(|| program.clone())
    }

    pub(crate) fn step_budget(&mut self, now: TimeUs, id: RequestId, out: &mut Vec<EntryAction>) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let (tokens, partition) = (call.work_tokens(), call.partition);
        if call.is_unrecorded() {
            let rules = &call.active_document.document.program;
            let limit = call.request.budget_tokens.unwrap_or(rules.budget_tokens);
            if tokens > limit.min(rules.budget_tokens) {
                self.fail_call(now, id, budget_exhausted(), out);
            } else {
                self.step_route(now, id, out);
            }
            return;
        }
        let root = self.account_holder(partition, &call.request.program);
        match self.reserve_tokens(now, partition, &root, tokens) {
            Some(Grant::Held) => {
                if let Some(call) = self.calls.get_mut(&id) {
                    call.held_tokens = Some(tokens);
                }
                self.step_route(now, id, out);
            }
            Some(Grant::NeedsSlice(slice)) => {
                if let Some(call) = self.calls.get_mut(&id) {
                    call.step = Step::Slice;
                }
                self.reserve_slice(partition, &root, slice);
            }
            Some(Grant::Exhausted) => {
                self.fail_call(now, id, budget_exhausted(), out);
                if let Some(live) = self.programs.get_mut(&root) {
                    live.is_budget_exhausted = true;
                }
            }
            None => {
                let detail = "this entry does not know the account of the program";
                self.fail_call(now, id, CallError::new(ErrorKind::NotReady, detail), out);
            }
        }
    }

    fn reserve_tokens(
        &mut self,
        now: TimeUs,
        partition: PartitionId,
        root: &ProgramId,
        tokens: Tokens,
    ) -> Option<Grant> {
        // A sub-agent's call may be the first call of its program tree at this owner.
        self.live_program(now, partition, root);
        let live = self.programs.get_mut(root)?;
        live.spending.set_time(now.since(live.since_us));
        let account = &self.partitions.program(partition, root)?.account;
        let grant = account.hold(&mut live.spending, tokens);
        let Grant::NeedsSlice(slice) = grant else {
            return Some(grant);
        };
        if self.settings.safeguards.slice_on_record {
            return Some(grant);
        }
        let mut unrecorded = account.clone();
        unrecorded.reserve(account.reserved(), slice);
        Some(unrecorded.hold(&mut live.spending, tokens))
    }

    /// Writes the record of a slice, unless another one of the program is still awaited.
    fn reserve_slice(&mut self, partition: PartitionId, root: &ProgramId, slice: Amount) {
        let Some(live) = self.programs.get_mut(root) else {
            return;
        };
        if std::mem::replace(&mut live.is_reserving_slice, true) {
            return;
        }
        let Some(state) = self.partitions.program(partition, root) else {
            return;
        };
        let entry = PartitionRecord::SliceReserved {
            program: root.clone(),
            before: state.account.reserved(),
            slice,
        };
        if let Some(record) = self.write_owned(partition, entry) {
            self.awaited.insert(record, Awaited::Slice(root.clone()));
        }
    }

    /// Reserves the next slice of busy programs before they need it.
    pub(crate) fn reserve_ahead(&mut self, now: TimeUs) {
        let wanted: Vec<(PartitionId, ProgramId, Amount)> = self
            .programs
            .iter_mut()
            .filter(|(_, live)| !live.is_reserving_slice && !live.sequencer.is_idle())
            .filter_map(|(program, live)| {
                live.spending.set_time(now.since(live.since_us));
                let state = self.partitions.program(live.partition, program)?;
                if state.root.is_some() || state.ended.is_some() {
                    return None;
                }
                let slice = state.account.prefetch_slice(&live.spending)?;
                Some((live.partition, program.clone(), slice))
            })
            .collect();
        for (partition, root, slice) in wanted {
            if self.own_epoch(partition).is_some() && !self.yielding.contains(&partition) {
                self.reserve_slice(partition, &root, slice);
            }
        }
    }

    /// Resumes the calls of a program tree that wait for a slice once its record is read back.
    pub(crate) fn on_slice(&mut self, now: TimeUs, root: &ProgramId, out: &mut Vec<EntryAction>) {
        let Some(live) = self.programs.get_mut(root) else {
            return;
        };
        live.is_reserving_slice = false;
        let partition = live.partition;
        let waiting: Vec<RequestId> = self
            .calls
            .iter()
            .filter(|(_, call)| call.step == Step::Slice && call.partition == partition)
            .filter(|(_, call)| self.account_holder(partition, &call.request.program) == *root)
            .map(|(id, _)| *id)
            .collect();
        for id in waiting {
            self.step_budget(now, id, out);
        }
    }

    /// Releases the reservation of a call and charges what the call used.
    pub(crate) fn settle(&mut self, id: RequestId, usage: Usage, calls: u64) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let Some(held) = call.held_tokens.take() else {
            return;
        };
        let (partition, program) = (call.partition, call.request.program.clone());
        let root = self.account_holder(partition, &program);
        if let Some(live) = self.programs.get_mut(&root) {
            let used = usage.prompt_tokens + usage.output_tokens;
            live.spending.settle(held, used, calls);
        }
    }

    /// Returns the tokens charged to a program's account so far, by this owner and earlier ones.
    pub(crate) fn attained_tokens(&self, partition: PartitionId, program: &ProgramId) -> Tokens {
        let root = self.account_holder(partition, program);
        let state = self.partitions.program(partition, &root);
        let live = self.programs.get(&root);
        let none = LiveProgram::default();
        state.map_or(Tokens(0), |state| {
            let spending = &live.unwrap_or(&none).spending;
            state.account.spent(spending).tokens
        })
    }
}

fn budget_exhausted() -> CallError {
    let detail = "the program's budget does not cover this call";
    CallError::new(ErrorKind::BudgetExhausted, detail)
}
