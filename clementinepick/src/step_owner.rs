//! Finds the owner of a request's partition, and forwards the request or claims the partition.

use std::collections::BTreeSet;

use rand::Rng;

use crate::call_state::{Awaited, ClaimBackoff, EndedProgram, Step, Takeover};
use crate::entry::{Entry, EntryAction};
use crate::event::{Event, EventKind};
use crate::ids::{Epoch, PartitionId, ProgramId, RequestId, VmId};
use crate::message::Message;
use crate::partition_replay::Owner;
use crate::platform::VmRole;
use crate::record::RecordBody;
use crate::rendezvous::suggested_owner;
use crate::units::{SpanUs, TimeUs};

/// The maximum number of times that a request is forwarded between entries.
const MAX_HOPS: u8 = 3;
/// The time that calls of a partition wait for the sidecars' reports after a takeover.
const SIDECAR_REPORT_TIMEOUT_US: SpanUs = SpanUs::from_ms(300);
/// The time without an ownership change after which the claim backoff of a partition is reset.
const BACKOFF_RESET_US: SpanUs = SpanUs::from_s(60);
/// The maximum number of times that the claim backoff doubles.
const MAX_BACKOFF_DOUBLINGS: u32 = 5;

impl Entry {
    /// Returns the partition of a program, which for a sub-agent is that of its root.
    pub(crate) fn partition_of(&self, program: &ProgramId, root: &ProgramId) -> PartitionId {
        let count = self.settings.partition_count;
        self.partitions
            .sub_agent_partition(program)
            .unwrap_or_else(|| root.partition(count))
    }

    /// Returns the epoch of a partition that this entry owns.
    pub(crate) fn own_epoch(&self, partition: PartitionId) -> Option<Epoch> {
        let state = self.partitions.get(partition)?;
        let owner = state.owner.as_ref()?;
        let is_own = owner.vm == self.settings.vm && owner.incarnation == self.settings.incarnation;
        (is_own && !state.yielded).then_some(owner.epoch)
    }

    fn is_live_entry(&self, vm: &VmId) -> bool {
        self.peers
            .get(vm)
            .is_some_and(|p| p.peer.role == VmRole::Entry && p.is_ready && !p.leaving)
    }

    /// Returns the number of other live entries.
    pub(crate) fn count_live_entries(&self) -> usize {
        self.peers
            .keys()
            .filter(|vm| self.is_live_entry(vm))
            .count()
    }

    /// Returns whether calls of a partition must wait: it is being handed over, sidecar reports are
    /// missing after a takeover, or this entry was suspended and has not confirmed its ownership.
    fn is_blocked(&self, partition: PartitionId) -> bool {
        self.yielding.contains(&partition)
            || self.taking_over.contains_key(&partition)
            || (self.is_ownership_unconfirmed && !self.journal.is_down())
    }

    pub(crate) fn step_owner(&mut self, now: TimeUs, id: RequestId, out: &mut Vec<EntryAction>) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let partition = self.partition_of(&call.request.program, call.request.root_program());
        let hops = call.hops;
        if let Some(call) = self.calls.get_mut(&id) {
            call.partition = partition;
        }
        if self.own_epoch(partition).is_some() {
            if !self.is_blocked(partition) {
                self.step_dedup(now, id, out);
            }
            return;
        }
        match self.target_owner(now, partition) {
            Some(vm) if vm == self.settings.vm => self.claim_partition(now, partition),
            Some(vm) if hops < MAX_HOPS => self.forward(now, id, vm, out),
            Some(_) | None => {}
        }
    }

    /// Returns the entry that owns a partition or should claim it; `None` while the owner has no
    /// link and has not timed out.
    pub(crate) fn target_owner(&self, now: TimeUs, partition: PartitionId) -> Option<VmId> {
        let state = self.partitions.get(partition);
        let owner = state.and_then(|state| state.owner.as_ref());
        let yielded = state.is_some_and(|state| state.yielded);
        match owner {
            Some(owner) if !yielded && !self.is_owner_gone(now, owner) => {
                self.peers.contains_key(&owner.vm).then(|| owner.vm.clone())
            }
            Some(_) | None => self.claimant(partition),
        }
    }

    /// Returns whether an owner is gone: its process was replaced, or it was silent for
    /// `takeover_us`.
    ///
    /// A lost link alone does not count, so that a flapping link moves no partitions.
    pub(crate) fn is_owner_gone(&self, now: TimeUs, owner: &Owner) -> bool {
        if owner.vm == self.settings.vm {
            return owner.incarnation != self.settings.incarnation;
        }
        if let Some(peer) = self.peers.get(&owner.vm) {
            return peer.peer.incarnation != owner.incarnation;
        }
        let since_us = self.last_heard_us.get(&owner.vm).copied();
        let since_us = since_us.or(self.started_us).unwrap_or(now);
        now.since(since_us) >= self.settings.takeover_us
    }

    /// Returns the entry that should claim a partition whose owner is gone.
    pub(crate) fn claimant(&self, partition: PartitionId) -> Option<VmId> {
        let others = self
            .peers
            .iter()
            .filter(|(vm, _)| self.is_live_entry(vm))
            .map(|(vm, _)| vm);
        let own = (!self.leaving).then_some(&self.settings.vm);
        suggested_owner(partition, others.chain(own)).cloned()
    }

    pub(crate) fn claim_partition(&mut self, now: TimeUs, partition: PartitionId) {
        let claiming = Awaited::Claim(partition);
        if self.awaited.values().any(|awaited| *awaited == claiming) {
            return;
        }
        let backoff = self
            .claim_backoffs
            .get(&partition)
            .copied()
            .unwrap_or_default();
        if now < backoff.not_before_us {
            return;
        }
        let over = self.partitions.owner(partition).map(|owner| owner.epoch);
        let id = self.write(RecordBody::Claim { partition, over });
        self.awaited.insert(id, claiming);
    }

    /// Claims the partitions without a live owner that this entry should own, before any call needs
    /// them.
    pub(crate) fn claim_orphaned_partitions(&mut self, now: TimeUs) {
        if self.leaving || !self.is_caught_up() || self.journal.is_down() {
            return;
        }
        let orphans: Vec<PartitionId> = self
            .partitions
            .iter()
            .filter(|(_, state)| {
                state
                    .owner
                    .as_ref()
                    .is_some_and(|owner| state.yielded || self.is_owner_gone(now, owner))
            })
            .map(|(partition, _)| partition)
            .chain(self.unowned_partitions(now))
            .filter(|partition| self.claimant(*partition).as_ref() == Some(&self.settings.vm))
            .collect();
        for partition in orphans {
            self.claim_partition(now, partition);
        }
    }

    /// Returns the partitions that were never claimed, once `startup_claim_delay_us` has passed.
    ///
    /// Each partition needs an owner even without programs. Only owners write snapshots, and an
    /// entry that starts after records have expired can serve only with a snapshot of each
    /// partition.
    fn unowned_partitions(&self, now: TimeUs) -> Vec<PartitionId> {
        let is_delay_over = self
            .started_us
            .is_some_and(|at| now.since(at) >= self.settings.startup_claim_delay_us);
        if !is_delay_over {
            return Vec::new();
        }
        let all = (0..self.settings.partition_count).map(PartitionId);
        all.filter(|partition| self.partitions.owner(*partition).is_none())
            .collect()
    }

    /// Extends the backoff for claims of a partition whose owner has changed.
    ///
    /// Two entries that reach the log but not each other each consider the other dead, and would
    /// claim in turn without end. Each change doubles the delay before the next, with jitter, so
    /// that calls are served between the changes.
    fn extend_claim_backoff(&mut self, now: TimeUs, partition: PartitionId) {
        let backoff = self.claim_backoffs.entry(partition).or_default();
        let is_recent = now.since(backoff.last_change_us) < BACKOFF_RESET_US;
        let changes = if is_recent { backoff.changes + 1 } else { 1 };
        let doublings = (changes - 1).min(MAX_BACKOFF_DOUBLINGS);
        let wait_us = if changes == 1 {
            0
        } else {
            self.settings.takeover_us.0 << doublings
        };
        let jitter_us = self.rng.next_u64() % (wait_us / 4 + 1);
        *backoff = ClaimBackoff {
            changes,
            last_change_us: now,
            not_before_us: now.after(SpanUs(wait_us + jitter_us)),
        };
    }

    fn forward(&mut self, now: TimeUs, id: RequestId, to: VmId, out: &mut Vec<EntryAction>) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let mut request = call.request.clone();
        request.deadline_left_us = Some(call.deadline_us.since(now));
        call.step = Step::Forwarded(to.clone());
        let message = Message::Forward {
            request: Box::new(request),
            hops: call.hops + 1,
        };
        self.send_document(&to, id, out);
        out.push(EntryAction::Send { to, message });
    }

    /// Handles a claim that has taken effect.
    pub(crate) fn on_claimed(
        &mut self,
        now: TimeUs,
        partition: PartitionId,
        out: &mut Vec<EntryAction>,
    ) {
        self.extend_claim_backoff(now, partition);
        self.yielding.remove(&partition);
        if self.own_epoch(partition).is_some() {
            let event = Event::new(EventKind::PartitionOwned).with("partition", partition);
            out.push(EntryAction::Event(event));
            self.start_takeover(now, partition, out);
            self.recover_open_calls(now, partition, out);
            self.release_ended_programs(now, partition, out);
        } else {
            self.drop_partition(now, partition, out);
        }
        self.retry_calls(now, partition, out);
    }

    fn start_takeover(&mut self, now: TimeUs, partition: PartitionId, out: &mut Vec<EntryAction>) {
        let is_new = self
            .partitions
            .get(partition)
            .is_none_or(|state| state.programs.is_empty());
        self.restore_programs(now, partition);
        let sidecars: BTreeSet<VmId> = self.sidecars().cloned().collect();
        for vm in &sidecars {
            self.send_takeover(vm, partition, out);
        }
        if !is_new && !sidecars.is_empty() {
            let taking_over = Takeover {
                waits_for: sidecars,
                until_us: now.after(SIDECAR_REPORT_TIMEOUT_US),
            };
            self.taking_over.insert(partition, taking_over);
        }
    }

    /// Creates the in-memory state of the programs of a partition after a takeover, so that idle
    /// ones expire here too.
    fn restore_programs(&mut self, now: TimeUs, partition: PartitionId) {
        let Some(state) = self.partitions.get(partition) else {
            return;
        };
        let mut open = Vec::new();
        for (id, program) in &state.programs {
            match program.ended {
                None => open.push(id.clone()),
                Some(reason) => {
                    let ended = EndedProgram {
                        partition,
                        reason,
                        at_us: now,
                    };
                    self.ended.insert(id.clone(), ended);
                }
            }
        }
        for program in open {
            self.live_program(now, partition, &program);
        }
    }

    pub(crate) fn send_takeover(
        &self,
        vm: &VmId,
        partition: PartitionId,
        out: &mut Vec<EntryAction>,
    ) {
        if let Some(epoch) = self.own_epoch(partition) {
            let message = Message::TakeOver { partition, epoch };
            let to = vm.clone();
            out.push(EntryAction::Send { to, message });
        }
    }

    pub(crate) fn owned_partitions(&self) -> Vec<PartitionId> {
        let named = self.partitions.iter().map(|(partition, _)| partition);
        named.filter(|p| self.own_epoch(*p).is_some()).collect()
    }

    /// Drops the state of a partition that another entry owns now, and sends its calls there.
    ///
    /// Running calls are not lost: the new owner finds them at their sidecars and attaches to them,
    /// and this entry relays the answers.
    pub(crate) fn drop_partition(
        &mut self,
        now: TimeUs,
        partition: PartitionId,
        out: &mut Vec<EntryAction>,
    ) {
        let owned_here = self.programs.values().any(|p| p.partition == partition);
        if owned_here {
            let event = Event::new(EventKind::PartitionLost).with("partition", partition);
            out.push(EntryAction::Event(event));
        }
        self.programs.retain(|_, live| live.partition != partition);
        self.open_calls
            .retain(|_, open| open.partition != partition);
        self.releasing.retain(|_, r| r.partition != partition);
        self.ended.retain(|_, ended| ended.partition != partition);
        self.taking_over.remove(&partition);
        self.yielding.remove(&partition);
        let ids: Vec<RequestId> = self
            .calls
            .iter()
            .filter(|(_, call)| call.partition == partition)
            .filter(|(_, call)| !matches!(call.step, Step::Own | Step::Forwarded(_)))
            .map(|(id, _)| *id)
            .collect();
        for id in ids {
            self.reset_call(id);
            self.step_owner(now, id, out);
        }
    }

    /// Resets a call to the step in which its owner is determined.
    pub(crate) fn reset_call(&mut self, id: RequestId) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        if let Step::Running { attempt, .. } | Step::Lost { attempt, .. } = call.step {
            self.end_attempt(attempt, false);
        }
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.may_have_run |= call.is_running() || matches!(call.step, Step::Record { .. });
        call.step = Step::Own;
        call.hops = 0;
        call.seq = None;
        call.full_payload = None;
        call.held_tokens = None;
        call.recorded_start = None;
        call.done = None;
        call.tried.clear();
    }

    pub(crate) fn retry_calls(
        &mut self,
        now: TimeUs,
        partition: PartitionId,
        out: &mut Vec<EntryAction>,
    ) {
        let owns = self.own_epoch(partition).is_some();
        let waiting: Vec<RequestId> = self
            .calls
            .iter()
            .filter(|(_, call)| call.partition == partition)
            .filter(|(_, call)| match call.step {
                Step::Own => true,
                // Forwarded to an owner that this entry has replaced, which would send it back.
                Step::Forwarded(_) => owns,
                _ => false,
            })
            .map(|(id, _)| *id)
            .collect();
        for id in waiting {
            self.withdraw_forward(id, out);
            self.step_owner(now, id, out);
        }
    }

    /// Withdraws a forwarded request, which continues at this entry.
    fn withdraw_forward(&mut self, id: RequestId, out: &mut Vec<EntryAction>) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        if let Step::Forwarded(to) = call.step.clone() {
            let message = Message::ForwardCancel { request: id };
            out.push(EntryAction::Send { to, message });
            call.step = Step::Own;
            call.may_have_run = true;
        }
    }

    /// Forwards the calls of a lost owner again.
    ///
    /// This is safe for non-idempotent calls too: the lost owner recorded each call before sending
    /// it, so the new owner finds the record by the request and fences the call instead of running
    /// it.
    pub(crate) fn on_owner_lost(&mut self, now: TimeUs, vm: &VmId, out: &mut Vec<EntryAction>) {
        let ids: Vec<RequestId> = self
            .calls
            .iter()
            .filter(|(_, call)| matches!(&call.step, Step::Forwarded(to) if to == vm))
            .map(|(id, _)| *id)
            .collect();
        for id in ids {
            if let Some(call) = self.calls.get_mut(&id) {
                call.step = Step::Own;
                call.may_have_run = true;
            }
            self.step_owner(now, id, out);
        }
    }
}
