//! Ends programs and frees the engine cache that they hold.

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

/// Time between two release requests for the same program while a sidecar has not confirmed.
const RELEASE_RETRY_INTERVAL_US: SpanUs = SpanUs::from_s(2);
/// Time between two requests to end a program while its end is not recorded.
const END_RETRY_INTERVAL_US: SpanUs = SpanUs::from_s(1);
/// Time after which requests to end a program stop; by then its owner ends it as idle.
const END_REQUEST_TIMEOUT_US: SpanUs = SpanUs::from_s(900);
/// Maximum number of programs in one `ProgramsForgotten` record.
const MAX_FORGOTTEN_PER_RECORD: usize = 256;

impl Entry {
    /// Requests the end of a program on behalf of a caller or an operator.
    ///
    /// The owner may fail before it records the end, and the program would hold cache until it is
    /// idle. So the request is repeated until the end is read from the log.
    pub(crate) fn request_program_end(
        &mut self,
        now: TimeUs,
        program: ProgramId,
        reason: EndReason,
        out: &mut Vec<EntryAction>,
    ) {
        let end_request = EndRequest {
            reason,
            next_us: now,
            until_us: now.after(END_REQUEST_TIMEOUT_US),
        };
        self.end_requests.insert(program, end_request);
        self.resend_end_requests(now, out);
    }

    /// Repeats the due requests to end programs, and drops those that are fulfilled or too old.
    pub(crate) fn resend_end_requests(&mut self, now: TimeUs, out: &mut Vec<EntryAction>) {
        let due: Vec<ProgramId> = self
            .end_requests
            .iter()
            .filter(|(_, end_request)| now >= end_request.next_us)
            .map(|(program, _)| program.clone())
            .collect();
        for program in due {
            let partition = self.partition_of(&program, &program);
            let state = self.partitions.program(partition, &program);
            let is_ended = state.is_some_and(|state| state.ended.is_some());
            // This entry owns the partition and has read its log, so the program does not exist.
            let is_unknown = state.is_none()
                && self.own_epoch(partition).is_some()
                && !self.programs.contains_key(&program);
            let Some(end_request) = self.end_requests.get_mut(&program) else {
                continue;
            };
            if is_ended || is_unknown || now >= end_request.until_us {
                self.end_requests.remove(&program);
                continue;
            }
            end_request.next_us = now.after(END_RETRY_INTERVAL_US);
            let reason = end_request.reason;
            if self.is_caught_up() {
                self.end_program(now, program, reason, out);
            }
        }
    }

    /// Ends a program and its sub-agents, or forwards the request to the owner.
    pub(crate) fn end_program(
        &mut self,
        now: TimeUs,
        program: ProgramId,
        reason: EndReason,
        out: &mut Vec<EntryAction>,
    ) {
        let partition = self.partition_of(&program, &program);
        if self.own_epoch(partition).is_none() {
            self.forward_end_request(now, program, reason, partition, out);
            return;
        }
        for child in self.open_children(partition, &program) {
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
        let (holders, chains) = self.held_cache(partition, &program);
        let live = self.programs.remove(&program);
        self.refuse_waiting_calls(now, &program, reason, out);
        if is_open || live.is_some() {
            let event = Event::new(EventKind::ProgramEnded).with("program", &program);
            let event = event.with("reason", format!("{reason:?}"));
            out.push(EntryAction::Event(event));
        }
        self.release_cache(now, partition, program, (holders, chains), out);
    }

    /// Returns the sidecars that may hold cache of a program, and the chains that they may hold.
    ///
    /// A program that an earlier owner served may have cache on any sidecar.
    fn held_cache(
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
                // The engine of a sidecar that is down may still hold cache.
                let listed = self.vms.values().filter(|vm| vm.role == VmRole::Sidecar);
                holders.extend(listed.map(|vm| vm.id.clone()));
                holders.extend(self.sidecars().cloned());
            }
        }
        (holders, chains)
    }

    /// Releases the cache of all ended programs, since an earlier owner may have failed during a
    /// release.
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
            let held = self.held_cache(partition, &program);
            self.release_cache(now, partition, program, held, out);
        }
    }

    fn forward_end_request(
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

    fn open_children(&self, partition: PartitionId, program: &ProgramId) -> Vec<ProgramId> {
        let Some(state) = self.partitions.get(partition) else {
            return Vec::new();
        };
        let open = state.programs.iter().filter(|(_, p)| p.ended.is_none());
        open.filter(|(_, p)| p.parent.as_ref() == Some(program))
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Refuses the calls of an ended program that have not been dispatched. Of the dispatched
    /// calls, the release cancels the idempotent ones, and the others run to their end.
    fn refuse_waiting_calls(
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
            let detail =
                format!("the program ended before the call was dispatched (reason: {reason:?})");
            self.fail_call(
                now,
                id,
                CallError::new(ErrorKind::ProgramEnded, detail),
                out,
            );
        }
    }

    /// Requests all sidecars that may hold a program's cache to free it.
    ///
    /// A lost request would leave the cache allocated until the engine restarts. So it is repeated
    /// until each sidecar has confirmed, and a new owner starts the release again.
    pub(crate) fn release_cache(
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

    /// Sends the due release requests to the sidecars that have not confirmed.
    pub(crate) fn send_due_releases(&mut self, now: TimeUs, out: &mut Vec<EntryAction>) {
        self.drop_removed_holders();
        let mut due = Vec::new();
        for (program, releasing) in &mut self.releasing {
            if now < releasing.next_us {
                continue;
            }
            releasing.next_us = if self.settings.safeguards.release_repeat {
                now.after(RELEASE_RETRY_INTERVAL_US)
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

    /// Removes holders whose VM no longer exists, and with it the engine's cache.
    fn drop_removed_holders(&mut self) {
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

    /// Returns the sidecars that this entry is linked to.
    pub(crate) fn sidecars(&self) -> impl Iterator<Item = &VmId> {
        self.peers
            .iter()
            .filter(|(_, peer)| peer.peer.role == VmRole::Sidecar)
            .map(|(vm, _)| vm)
    }

    /// Renews the cache leases of open programs at the sidecars that hold them.
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
        let active = state.and_then(|state| self.config.service(&state.service));
        active.map_or(SpanUs::from_s(30), |s| s.document.retention.lease_us)
    }

    /// Ends programs that are idle, past their deadline or out of budget, and refuses calls whose
    /// predecessors did not arrive in time.
    pub(crate) fn end_expired_programs(&mut self, now: TimeUs, out: &mut Vec<EntryAction>) {
        let mut expired: Vec<(ProgramId, EndReason)> = Vec::new();
        let mut overdue_calls = Vec::new();
        let mut unblocked = Vec::new();
        for (program, live) in &mut self.programs {
            let Some(state) = self.partitions.program(live.partition, program) else {
                continue;
            };
            let Some(active) = self.config.service(&state.service) else {
                continue;
            };
            let rules = &active.document.program;
            let late = live.sequencer.take_overdue(now, rules.gap_us);
            if late.is_empty() && !live.sequencer.is_idle() {
                unblocked.push(program.clone());
            }
            overdue_calls.extend(late);
            live.spending.set_time(now.since(live.since_us));
            let is_root = state.root.is_none();
            if is_root && state.account.is_time_exhausted(&live.spending) {
                expired.push((program.clone(), EndReason::Deadline));
            } else if live.is_budget_exhausted && live.sequencer.is_idle() {
                expired.push((program.clone(), EndReason::Budget));
            } else if live.sequencer.is_idle()
                && live.pending_turns.is_empty()
                && now.since(live.last_used_us) >= rules.idle_us
            {
                expired.push((program.clone(), EndReason::Idle));
            }
        }
        for id in overdue_calls {
            let detail = "an earlier call of the program did not arrive in time";
            self.fail_call(now, id, CallError::new(ErrorKind::OutOfOrder, detail), out);
        }
        for program in unblocked {
            self.start_next(now, &program, out);
        }
        for (program, reason) in expired {
            // A parent that waits for its sub-agents is not idle.
            let waits_for_children =
                reason == EndReason::Idle && self.has_busy_children(now, &program);
            if !waits_for_children {
                self.end_program(now, program, reason, out);
            }
        }
    }

    fn has_busy_children(&self, now: TimeUs, program: &ProgramId) -> bool {
        let Some(live) = self.programs.get(program) else {
            return false;
        };
        let children = self.open_children(live.partition, program);
        children.iter().any(|child| {
            let live = self.programs.get(child);
            live.is_some_and(|live| now.since(live.last_used_us) < SpanUs::from_s(60))
                || self.has_busy_children(now, child)
        })
    }

    /// Drops programs past `ended_retention_us` after their end, which bounds memory and snapshots.
    pub(crate) fn forget_ended_programs(&mut self, now: TimeUs) {
        let keep_us = self.settings.ended_retention_us;
        let mut forgettable: BTreeMap<PartitionId, Vec<ProgramId>> = BTreeMap::new();
        for (program, ended) in &self.ended {
            if now.since(ended.at_us) >= keep_us && !self.releasing.contains_key(program) {
                let programs = forgettable.entry(ended.partition).or_default();
                if programs.len() < MAX_FORGOTTEN_PER_RECORD {
                    programs.push(program.clone());
                }
            }
        }
        for (partition, programs) in forgettable {
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
