//! Ends programs and frees the engine memory that they hold.

use std::collections::{BTreeMap, BTreeSet};

use crate::call_state::{Awaited, EndRequest, EndedProgram, LiveProgram, Releasing, Step};
use crate::entry::{Entry, EntryAction};
use crate::error::{CallError, ErrorKind};
use crate::event::{Event, EventKind};
use crate::history::History;
use crate::ids::{CallSeq, PartitionId, ProgramId, RequestId, VmId};
use crate::message::Message;
use crate::platform::VmRole;
use crate::prompt::{ChainHash, Prompt};
use crate::record::{EndReason, PartitionRecord};
use crate::units::{SpanUs, TimeUs};

/// The time between two releases of the same program's memory while one is not confirmed.
const RELEASE_AGAIN_US: SpanUs = SpanUs::from_s(2);
/// The time between two requests for a program's end while it is not on record.
const END_AGAIN_US: SpanUs = SpanUs::from_s(1);
/// How long a program's end is asked for; past it the program is idle at its owner.
const END_ASKED_US: SpanUs = SpanUs::from_s(900);
/// The most programs that one record forgets.
const MAX_FORGOTTEN: usize = 256;

impl Entry {
    /// A caller or an operator ends a program.
    ///
    /// The owner may be lost with the request for it, and the program would hold memory until it
    /// counts as idle. So the request is repeated until the end is read from the log.
    pub(crate) fn request_program_end(
        &mut self,
        now: TimeUs,
        program: ProgramId,
        reason: EndReason,
        out: &mut Vec<EntryAction>,
    ) {
        let ending = EndRequest {
            reason,
            next_us: now,
            until_us: now.after(END_ASKED_US),
        };
        self.end_requests.insert(program, ending);
        self.resend_end_requests(now, out);
    }

    pub(crate) fn resend_end_requests(&mut self, now: TimeUs, out: &mut Vec<EntryAction>) {
        let due: Vec<ProgramId> = self
            .end_requests
            .iter()
            .filter(|(_, ending)| now >= ending.next_us)
            .map(|(program, _)| program.clone())
            .collect();
        for program in due {
            let partition = self.partition_of(&program, &program);
            let state = self.partitions.program(partition, &program);
            let is_ended = state.is_some_and(|state| state.ended.is_some());
            // The owner has read all there is of a program that it does not know.
            let is_unknown = state.is_none()
                && self.own_epoch(partition).is_some()
                && !self.programs.contains_key(&program);
            let Some(ending) = self.end_requests.get_mut(&program) else {
                continue;
            };
            if is_ended || is_unknown || now >= ending.until_us {
                self.end_requests.remove(&program);
                continue;
            }
            ending.next_us = now.after(END_AGAIN_US);
            let reason = ending.reason;
            if self.is_caught_up() {
                self.end_program(now, program, reason, out);
            }
        }
    }

    /// Ends a program with its sub-agents.
    pub(crate) fn end_program(
        &mut self,
        now: TimeUs,
        program: ProgramId,
        reason: EndReason,
        out: &mut Vec<EntryAction>,
    ) {
        let partition = self.partition_of(&program, &program);
        if self.own_epoch(partition).is_none() {
            self.pass_end_on(now, program, reason, partition, out);
            return;
        }
        for child in self.children_of(partition, &program) {
            self.end_program(now, child, EndReason::Parent, out);
        }
        let state = self.partitions.program(partition, &program);
        let is_recorded = state.is_some();
        let is_open = state.is_some_and(|state| state.ended.is_none());
        let last = state
            .and_then(|state| state.next.0.checked_sub(1))
            .map(CallSeq);
        if !is_recorded && !self.programs.contains_key(&program) {
            return;
        }
        if is_open {
            let entry = PartitionRecord::ProgramEnded {
                program: program.clone(),
                last,
                reason,
            };
            if let Some(record) = self.write_owned(partition, entry) {
                self.awaited.insert(record, Awaited::Other(partition));
            }
            let ended = EndedProgram {
                partition,
                reason,
                at_us: now,
            };
            self.ended.insert(program.clone(), ended);
        }
        let (holders, chains) = self.held_memory(partition, &program);
        let live = self.programs.remove(&program);
        self.refuse_waiting(now, &program, reason, out);
        if is_open || live.is_some() {
            let event = Event::new(EventKind::ProgramEnded).with("program", &program);
            let event = event.with("reason", format!("{reason:?}"));
            out.push(EntryAction::Event(event));
        }
        self.release(now, partition, program, (holders, chains), out);
    }

    /// The sidecars that may hold cache of a program, and the chains of what they may hold.
    ///
    /// A program that an earlier owner served may have cache anywhere.
    fn held_memory(
        &self,
        partition: PartitionId,
        program: &ProgramId,
    ) -> (BTreeSet<VmId>, BTreeSet<ChainHash>) {
        let live = self.programs.get(program);
        let mut holders = live.map(|l| l.holders.clone()).unwrap_or_default();
        let mut chains = live.map(|l| l.chains.clone()).unwrap_or_default();
        if let Some(state) = self.partitions.program(partition, program) {
            let none = LiveProgram::default();
            let history = History::of(state, live.unwrap_or(&none));
            let prompt = Prompt::of_messages(&history.messages);
            chains.extend(prompt.segments.iter().map(|segment| segment.chain));
            if live.is_none_or(|live| live.is_inherited) && !chains.is_empty() {
                // Also where a sidecar is just down, its engine may hold on.
                let listed = self.vms.values().filter(|vm| vm.role == VmRole::Sidecar);
                holders.extend(listed.map(|vm| vm.id.clone()));
                holders.extend(self.sidecars().cloned());
            }
        }
        (holders, chains)
    }

    /// Releases anew what an earlier owner may have been releasing when it was lost.
    pub(crate) fn release_ended_programs(
        &mut self,
        now: TimeUs,
        partition: PartitionId,
        out: &mut Vec<EntryAction>,
    ) {
        let Some(state) = self.partitions.get(partition) else {
            return;
        };
        let ended = state.programs.iter().filter(|(_, p)| p.ended.is_some());
        let ended: Vec<ProgramId> = ended.map(|(id, _)| id.clone()).collect();
        for program in ended {
            let held = self.held_memory(partition, &program);
            self.release(now, partition, program, held, out);
        }
    }

    fn pass_end_on(
        &mut self,
        now: TimeUs,
        program: ProgramId,
        reason: EndReason,
        partition: PartitionId,
        out: &mut Vec<EntryAction>,
    ) {
        let owner = self.target_owner(now, partition);
        if let Some(to) = owner.filter(|vm| *vm != self.settings.vm) {
            let message = Message::EndProgram { program, reason };
            out.push(EntryAction::Send { to, message });
        }
    }

    fn children_of(&self, partition: PartitionId, program: &ProgramId) -> Vec<ProgramId> {
        let Some(state) = self.partitions.get(partition) else {
            return Vec::new();
        };
        let open = state.programs.iter().filter(|(_, p)| p.ended.is_none());
        open.filter(|(_, p)| p.parent.as_ref() == Some(program))
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Refuses the calls of an ended program that have not been sent on; what runs and may run
    /// again is cancelled by the release, and what may not is let finish.
    fn refuse_waiting(
        &mut self,
        now: TimeUs,
        program: &ProgramId,
        reason: EndReason,
        out: &mut Vec<EntryAction>,
    ) {
        let ids: Vec<RequestId> = self
            .calls
            .iter()
            .filter(|(_, call)| call.request.program == *program)
            .filter(|(_, call)| {
                matches!(
                    call.step,
                    Step::Order | Step::Slice | Step::Claim | Step::Route { .. }
                )
            })
            .map(|(id, _)| *id)
            .collect();
        for id in ids {
            let detail = format!("the program has ended ({reason:?})");
            self.fail_call(
                now,
                id,
                CallError::new(ErrorKind::ProgramEnded, detail),
                out,
            );
        }
    }

    /// Asks all sidecars that may hold a program's cache to free it.
    ///
    /// A release that was lost would leave the memory held for as long as the engine lives; so it
    /// is repeated until each sidecar has confirmed, and a new owner releases anew.
    pub(crate) fn release(
        &mut self,
        now: TimeUs,
        partition: PartitionId,
        program: ProgramId,
        held: (BTreeSet<VmId>, BTreeSet<ChainHash>),
        out: &mut Vec<EntryAction>,
    ) {
        let (holders, chains) = held;
        if holders.is_empty() {
            return;
        }
        let releasing = Releasing {
            partition,
            holders,
            chains: chains.into_iter().collect(),
            next_us: now,
        };
        self.releasing.insert(program, releasing);
        self.send_due_releases(now, out);
    }

    pub(crate) fn send_due_releases(&mut self, now: TimeUs, out: &mut Vec<EntryAction>) {
        self.drop_gone_holders();
        let mut due = Vec::new();
        for (program, releasing) in &mut self.releasing {
            if now < releasing.next_us {
                continue;
            }
            releasing.next_us = if self.settings.safeguards.release_repeat {
                now.after(RELEASE_AGAIN_US)
            } else {
                TimeUs(u64::MAX)
            };
            for vm in &releasing.holders {
                let chains = releasing.chains.clone();
                due.push((vm.clone(), program.clone(), chains, releasing.partition));
            }
        }
        for (to, program, chains, partition) in due {
            let Some(epoch) = self.own_epoch(partition) else {
                continue;
            };
            let message = Message::Release {
                program,
                chains,
                partition,
                epoch,
            };
            out.push(EntryAction::Send { to, message });
        }
    }

    /// Forgets holders whose VM is gone, and with it its engine's memory.
    fn drop_gone_holders(&mut self) {
        if self.vms.is_empty() {
            return;
        }
        let (vms, peers) = (&self.vms, &self.peers);
        for releasing in self.releasing.values_mut() {
            let holders = &mut releasing.holders;
            holders.retain(|vm| vms.contains_key(vm) || peers.contains_key(vm));
        }
        self.releasing.retain(|_, r| !r.holders.is_empty());
    }

    pub(crate) fn on_released(&mut self, program: &ProgramId, from: &VmId) {
        if let Some(releasing) = self.releasing.get_mut(program) {
            releasing.holders.remove(from);
            if releasing.holders.is_empty() {
                self.releasing.remove(program);
            }
        }
    }

    /// The sidecars that this entry has a link to.
    pub(crate) fn sidecars(&self) -> impl Iterator<Item = &VmId> {
        self.peers
            .iter()
            .filter(|(_, peer)| peer.peer.role == VmRole::Sidecar)
            .map(|(vm, _)| vm)
    }

    /// Tells sidecars which programs live, so that their cache stays.
    pub(crate) fn renew_leases(&self, out: &mut Vec<EntryAction>) {
        let mut leases: BTreeMap<(&VmId, PartitionId), (SpanUs, Vec<ProgramId>)> = BTreeMap::new();
        for (program, live) in &self.programs {
            for vm in &live.holders {
                let ttl_us = self.lease_us(live.partition, program);
                let lease = leases.entry((vm, live.partition)).or_default();
                lease.0 = lease.0.max(ttl_us);
                lease.1.push(program.clone());
            }
        }
        for ((vm, partition), (ttl_us, programs)) in leases {
            let Some(epoch) = self.own_epoch(partition) else {
                continue;
            };
            let message = Message::Lease {
                partition,
                epoch,
                programs,
                ttl_us,
            };
            let to = vm.clone();
            out.push(EntryAction::Send { to, message });
        }
    }

    fn lease_us(&self, partition: PartitionId, program: &ProgramId) -> SpanUs {
        let state = self.partitions.program(partition, program);
        let in_force = state.and_then(|state| self.config.service(&state.service));
        in_force.map_or(SpanUs::from_s(30), |s| s.document.retention.lease_us)
    }

    /// Ends programs that are idle, out of time or out of budget.
    pub(crate) fn end_expired_programs(&mut self, now: TimeUs, out: &mut Vec<EntryAction>) {
        let mut over: Vec<(ProgramId, EndReason)> = Vec::new();
        let mut overdue = Vec::new();
        let mut moved = Vec::new();
        for (program, live) in &mut self.programs {
            let Some(state) = self.partitions.program(live.partition, program) else {
                continue;
            };
            let Some(in_force) = self.config.service(&state.service) else {
                continue;
            };
            let rules = &in_force.document.program;
            let late = live.sequencer.take_overdue(now, rules.gap_us);
            if late.is_empty() && !live.sequencer.is_idle() {
                moved.push(program.clone());
            }
            overdue.extend(late);
            live.spending.set_time(now.since(live.since_us));
            let is_root = state.root.is_none();
            if is_root && state.account.is_time_exhausted(&live.spending) {
                over.push((program.clone(), EndReason::Deadline));
            } else if live.is_budget_exhausted && live.sequencer.is_idle() {
                over.push((program.clone(), EndReason::Budget));
            } else if live.sequencer.is_idle()
                && live.pending_turns.is_empty()
                && now.since(live.last_used_us) >= rules.idle_us
            {
                over.push((program.clone(), EndReason::Idle));
            }
        }
        for id in overdue {
            let detail = "an earlier call did not come in time";
            self.fail_call(now, id, CallError::new(ErrorKind::OutOfOrder, detail), out);
        }
        for program in moved {
            self.start_next(now, &program, out);
        }
        for (program, reason) in over {
            // A parent that only waits for its sub-agents is not idle.
            let waits = reason == EndReason::Idle && self.has_busy_children(now, &program);
            if !waits {
                self.end_program(now, program, reason, out);
            }
        }
    }

    fn has_busy_children(&self, now: TimeUs, program: &ProgramId) -> bool {
        let Some(live) = self.programs.get(program) else {
            return false;
        };
        let children = self.children_of(live.partition, program);
        children.iter().any(|child| {
            let live = self.programs.get(child);
            live.is_some_and(|live| now.since(live.last_used_us) < SpanUs::from_s(60))
                || self.has_busy_children(now, child)
        })
    }

    /// Drops programs that ended a while ago, so that neither memory nor snapshots grow for ever.
    pub(crate) fn forget_ended_programs(&mut self, now: TimeUs) {
        let keep_us = self.settings.ended_retention_us;
        let mut old: BTreeMap<PartitionId, Vec<ProgramId>> = BTreeMap::new();
        for (program, ended) in &self.ended {
            if now.since(ended.at_us) >= keep_us && !self.releasing.contains_key(program) {
                let programs = old.entry(ended.partition).or_default();
                if programs.len() < MAX_FORGOTTEN {
                    programs.push(program.clone());
                }
            }
        }
        for (partition, programs) in old {
            for program in &programs {
                self.ended.remove(program);
            }
            let entry = PartitionRecord::ProgramsForgotten { programs };
            if let Some(record) = self.write_owned(partition, entry) {
                self.awaited.insert(record, Awaited::Other(partition));
            }
        }
    }
}
