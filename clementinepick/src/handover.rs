//! Hands partitions over: all of them when this entry leaves, idle ones to an entry that joined.

use crate::call::TurnState;
use crate::call_state::{Awaited, Step};
use crate::entry::{Entry, EntryAction};
use crate::error::{CallError, ErrorKind};
use crate::ids::{PartitionId, RequestId};
use crate::record::PartitionRecord;
use crate::units::{SpanUs, TimeUs};

/// How long an entry must be linked before idle partitions are handed to it.
const JOINED_US: SpanUs = SpanUs::from_s(20);

impl Entry {
    /// Starts and ends the hand-over of partitions.
    pub(crate) fn hand_over_partitions(&mut self, now: TimeUs) {
        if self.leaving {
            self.yielding = self.owned_partitions().into_iter().collect();
        } else {
            self.offer_partition(now);
        }
        let ready: Vec<PartitionId> = self
            .yielding
            .iter()
            .filter(|partition| !self.yield_written.contains(*partition))
            .filter(|partition| !self.is_busy(**partition))
            .copied()
            .collect();
        for partition in ready {
            self.write_yield(now, partition);
        }
    }

    /// Whether calls of a partition are under way, or records of its calls are on theirs.
    fn is_busy(&self, partition: PartitionId) -> bool {
        let calls = self.calls.values().filter(|c| c.partition == partition);
        let open = self.open_calls.values().any(|o| o.partition == partition);
        let pending = self.programs.values().any(|live| {
            live.partition == partition && (!live.pending_turns.is_empty() || live.is_opening)
        });
        open || pending
            || calls
                .into_iter()
                .any(crate::call_state::Call::blocks_handover)
    }

    /// Hands one idle partition at a time to the entry that should own it.
    ///
    /// Entries come and go every day. Without this the partitions would gather at those that
    /// stayed longest, and an entry that just started would own none.
    fn offer_partition(&mut self, now: TimeUs) {
        if !self.yielding.is_empty() || self.journal.is_down() || !self.is_caught_up() {
            return;
        }
        let offered = self.owned_partitions().into_iter().find(|partition| {
            let heir = self.claimant(*partition);
            heir.is_some_and(|vm| self.joined_before(now, &vm))
                && !self.calls.values().any(|c| c.partition == *partition)
                && !self.is_busy(*partition)
                && self
                    .claim_backoffs
                    .get(partition)
                    .is_none_or(|pace| now.since(pace.last_change_us) >= JOINED_US)
        });
        self.yielding.extend(offered);
    }

    fn joined_before(&self, now: TimeUs, vm: &crate::ids::VmId) -> bool {
        let peer = self.peers.get(vm);
        peer.is_some_and(|peer| now.since(peer.link_up_us) >= JOINED_US)
    }

    fn write_yield(&mut self, now: TimeUs, partition: PartitionId) {
        self.return_slices(now, partition);
        let Some(record) = self.write_owned(partition, PartitionRecord::Yielded) else {
            return;
        };
        self.awaited.insert(record, Awaited::Yield(partition));
        self.yield_written.insert(partition);
    }

    /// Gives back what is left of the slices, so that the successor need not count it as spent.
    fn return_slices(&mut self, now: TimeUs, partition: PartitionId) {
        let mut returned = Vec::new();
        let Some(state) = self.partitions.get(partition) else {
            return;
        };
        for (program, live) in &mut self.programs {
            let Some(state) = state.programs.get(program) else {
                continue;
            };
            if state.root.is_some() || state.ended.is_some() || live.is_reserving_slice {
                continue;
            }
            live.spending.set_time(now.since(live.since_us));
            let unused = state.account.unused(&live.spending);
            let before = state.account.reserved();
            returned.push((program.clone(), before, unused));
        }
        for (program, before, unused) in returned {
            let entry = PartitionRecord::SliceReturned {
                program,
                before,
                unused,
            };
            if let Some(record) = self.write_owned(partition, entry) {
                self.awaited.insert(record, Awaited::Other(partition));
            }
        }
    }

    /// Answers every call as it stands: of what was sent on nobody here will learn the outcome, and
    /// whoever owns its partition next learns it from the sidecar.
    pub(crate) fn force_shutdown(&mut self, now: TimeUs, out: &mut Vec<EntryAction>) {
        self.leaving = true;
        let ids: Vec<RequestId> = self.calls.keys().copied().collect();
        for id in ids {
            let Some(call) = self.calls.get_mut(&id) else {
                continue;
            };
            let kind = match &call.step {
                Step::Record { .. } => {
                    self.finish(now, id, TurnState::Pending, out);
                    continue;
                }
                Step::Own | Step::Order | Step::Route { .. } | Step::Slice | Step::Claim => {
                    ErrorKind::ShuttingDown
                }
                Step::Running { .. } if call.idempotent => ErrorKind::BackendFailed,
                Step::Forwarded(_) | Step::Running { .. } | Step::Lost { .. } | Step::Follow(_) => {
                    ErrorKind::OutcomeUnknown
                }
            };
            if kind == ErrorKind::OutcomeUnknown {
                call.recorded_start = None;
            }
            let error = CallError::new(kind, "this entry was forced to end");
            self.fail_call(now, id, error, out);
        }
    }

    /// Whether everything is finished and handed over, so that the process may exit.
    pub(crate) fn is_finished(&self) -> bool {
        self.leaving
            && self.calls.is_empty()
            && self.fetches.is_empty()
            && self
                .end_requests
                .values()
                .all(|ending| ending.next_us > self.last_handled_us)
            && self.journal.unconfirmed() == 0
            && self.owned_partitions().is_empty()
    }
}
