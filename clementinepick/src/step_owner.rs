//! Finds the owner of a request's partition, claims what nobody owns, passes on what another owns.

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

/// The most times that a request is passed on between entries.
const MAX_HOPS: u8 = 3;
/// How long calls of a partition just taken over wait for the sidecars' reports.
const REPORT_WAIT_US: SpanUs = SpanUs::from_ms(300);
/// Take-overs of one partition within this time of each other double the wait for the next.
const PACE_MEMORY_US: SpanUs = SpanUs::from_s(60);
/// The most doublings of that wait.
const MAX_PACE_DOUBLINGS: u32 = 5;

impl Entry {
    /// The partition of a program, which for a sub-agent is that of its root.
    pub(crate) fn partition_of(&self, program: &ProgramId, root: &ProgramId) -> PartitionId {
        let count = self.settings.partition_count;
        self.partitions
            .sub_agent_partition(program)
            .unwrap_or_else(|| root.partition(count))
    }

    /// The epoch under which this entry owns a partition, while it does.
    pub(crate) fn own_epoch(&self, partition: PartitionId) -> Option<Epoch> {
        let state = self.partitions.get(partition)?;
        let owner = state.owner.as_ref()?;
        let own = owner.vm == self.settings.vm && owner.incarnation == self.settings.incarnation;
        (own && !state.yielded).then_some(owner.epoch)
    }

    fn is_live_entry(&self, vm: &VmId) -> bool {
        self.peers
            .get(vm)
            .is_some_and(|p| p.peer.role == VmRole::Entry && p.is_ready && !p.leaving)
    }

    /// The count of the other entries that live.
    pub(crate) fn count_live_entries(&self) -> usize {
        self.peers
            .keys()
            .filter(|vm| self.is_live_entry(vm))
            .count()
    }

    /// Whether calls of a partition must wait: this entry hands it over, waits for the sidecars'
    /// reports, or was paused and has not yet read whether it still owns it.
    fn is_held_up(&self, partition: PartitionId) -> bool {
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
            if !self.is_held_up(partition) {
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

    /// The entry that owns a partition or should claim it; none while that is not clear.
    pub(crate) fn target_owner(&self, now: TimeUs, partition: PartitionId) -> Option<VmId> {
        let state = self.partitions.get(partition);
        let owner = state.and_then(|state| state.owner.as_ref());
        let yielded = state.is_some_and(|state| state.yielded);
        match owner {
            Some(owner) if !yielded && !self.is_silent(now, owner) => {
                self.peers.contains_key(&owner.vm).then(|| owner.vm.clone())
            }
            Some(_) | None => self.claimant(partition),
        }
    }

    /// Whether an owner is really gone: its process was replaced, or nothing came from it for the
    /// time-out. A link that only flaps is no reason to take its partitions away.
    pub(crate) fn is_silent(&self, now: TimeUs, owner: &Owner) -> bool {
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

    /// The entry that should claim a partition whose owner is gone.
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
        let pace = self
            .claim_backoffs
            .get(&partition)
            .copied()
            .unwrap_or_default();
        if now < pace.not_before_us {
            return;
        }
        let over = self.partitions.owner(partition).map(|owner| owner.epoch);
        let id = self.write(RecordBody::Claim { partition, over });
        self.awaited.insert(id, claiming);
    }

    /// Claims, without waiting for a call, the partitions of silent owners that fall to this entry.
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
                    .is_some_and(|owner| state.yielded || self.is_silent(now, owner))
            })
            .map(|(partition, _)| partition)
            .chain(self.unowned_partitions(now))
            .filter(|partition| self.claimant(*partition).as_ref() == Some(&self.settings.vm))
            .collect();
        for partition in orphans {
            self.claim_partition(now, partition);
        }
    }

    /// Partitions that nobody ever claimed, once this entry has had time to meet the others.
    ///
    /// Each partition needs an owner even without programs: only owners carry snapshots forward,
    /// and a reader that starts late can serve only when it has one of each partition.
    fn unowned_partitions(&self, now: TimeUs) -> Vec<PartitionId> {
        let met = self
            .started_us
            .is_some_and(|at| now.since(at) >= self.settings.startup_claim_delay_us);
        if !met {
            return Vec::new();
        }
        let all = (0..self.settings.partition_count).map(PartitionId);
        all.filter(|partition| self.partitions.owner(*partition).is_none())
            .collect()
    }

    /// Spaces the claims on a partition that changes hands again and again.
    ///
    /// Two entries whose link is cut but that both reach the log would each take the other for
    /// dead and claim in turn without end. Each change doubles the wait before the next, with
    /// jitter, so that calls get through between the changes.
    fn pace_claims(&mut self, now: TimeUs, partition: PartitionId) {
        let pace = self.claim_backoffs.entry(partition).or_default();
        let recent = now.since(pace.last_change_us) < PACE_MEMORY_US;
        let changes = if recent { pace.changes + 1 } else { 1 };
        let doublings = (changes - 1).min(MAX_PACE_DOUBLINGS);
        let wait_us = if changes == 1 {
            0
        } else {
            self.settings.takeover_us.0 << doublings
        };
        let jitter_us = self.rng.next_u64() % (wait_us / 4 + 1);
        *pace = ClaimBackoff {
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

    /// A claim has come into force.
    pub(crate) fn on_claimed(
        &mut self,
        now: TimeUs,
        partition: PartitionId,
        out: &mut Vec<EntryAction>,
    ) {
        self.pace_claims(now, partition);
        self.yielding.remove(&partition);
        if self.own_epoch(partition).is_some() {
            let event = Event::new(EventKind::PartitionOwned).with("partition", partition);
            out.push(EntryAction::Event(event));
            self.start_take_over(now, partition, out);
            self.recover_open_calls(now, partition, out);
            self.release_ended_programs(now, partition, out);
        } else {
            self.drop_partition(now, partition, out);
        }
        self.retry_calls(now, partition, out);
    }

    fn start_take_over(&mut self, now: TimeUs, partition: PartitionId, out: &mut Vec<EntryAction>) {
        let is_new = self
            .partitions
            .get(partition)
            .is_none_or(|state| state.programs.is_empty());
        self.keep_programs(now, partition);
        let sidecars: BTreeSet<VmId> = self.sidecars().cloned().collect();
        for vm in &sidecars {
            self.send_takeover(vm, partition, out);
        }
        if !is_new && !sidecars.is_empty() {
            let taking_over = Takeover {
                waits_for: sidecars,
                until_us: now.after(REPORT_WAIT_US),
            };
            self.taking_over.insert(partition, taking_over);
        }
    }

    /// Keeps the programs of a partition just taken over, so that idle ones end here too.
    fn keep_programs(&mut self, now: TimeUs, partition: PartitionId) {
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

    /// Another entry owns the partition from now on: its calls here go there.
    ///
    /// What ran is not lost: the new owner finds the calls at their sidecars and attaches to them,
    /// and this entry only passes the answers on.
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

    /// Sets a call back to where its owner is not known.
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
                // Passed on to an owner that this entry has replaced, who would send it back.
                Step::Forwarded(_) => owns,
                _ => false,
            })
            .map(|(id, _)| *id)
            .collect();
        for id in waiting {
            self.take_back(id, out);
            self.step_owner(now, id, out);
        }
    }

    /// Tells the entry that a request was passed on to that it goes on here.
    fn take_back(&mut self, id: RequestId, out: &mut Vec<EntryAction>) {
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

    /// Passes calls on anew whose owner is gone.
    ///
    /// Also one that may not run twice: what its owner did is on record or was not done, so the
    /// new owner finds the record by the request and fences the call instead of running it.
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
