//! The state of the partitions, replayed from the log by one deterministic function.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::{Epoch, Offset, PartitionId, ProgramId};
pub use crate::partition_state::{
    Owner, PartitionState, ProgramState, RecordedCall, RecordedTurn, extend_chain, history_chain,
};
use crate::record::{PartitionRecord, Record, RecordBody};
use crate::safeguards::Safeguards;

/// What a record changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// A claim is in force.
    Claimed(PartitionId),
    /// A claim came after another that replaced the same owner.
    ClaimLost(PartitionId),
    /// An owner's record took effect.
    Accepted(PartitionId),
    /// The writer was no longer the owner; the record changes nothing.
    Stale(PartitionId),
    /// The record is not about partitions.
    Other,
}

/// A record that came before its partition's state was whole.
#[derive(Debug, Clone, PartialEq)]
struct Early {
    offset: Offset,
    record: Record,
}

/// All partitions.
#[derive(Debug, Clone)]
pub struct Partitions {
    states: BTreeMap<PartitionId, PartitionState>,
    /// The partitions of sub-agents, which lie with their root.
    homes: BTreeMap<ProgramId, PartitionId>,
    /// The first offset that was read.
    started_at: Offset,
    /// The records of partitions that are not whole yet.
    early: BTreeMap<PartitionId, Vec<Early>>,
    whole: BTreeSet<PartitionId>,
    safeguards: Safeguards,
}

impl Default for Partitions {
    fn default() -> Self {
        Self::starting_at(Offset(0), Safeguards::default())
    }
}

impl Partitions {
    /// Partitions whose records are read from `offset` on; what came before must come with
    /// snapshots.
    #[must_use]
    pub fn starting_at(offset: Offset, safeguards: Safeguards) -> Self {
        Self {
            states: BTreeMap::new(),
            homes: BTreeMap::new(),
            started_at: offset,
            early: BTreeMap::new(),
            whole: BTreeSet::new(),
            safeguards,
        }
    }

    /// Whether all records of a partition are known, from the log or from a snapshot.
    #[must_use]
    pub fn is_complete(&self, partition: PartitionId) -> bool {
        self.started_at == Offset(0) || self.whole.contains(&partition)
    }

    /// A partition's state, once a record has named it.
    #[must_use]
    pub fn get(&self, partition: PartitionId) -> Option<&PartitionState> {
        self.states.get(&partition)
    }

    /// All partitions that a record has named.
    pub fn iter(&self) -> impl Iterator<Item = (PartitionId, &PartitionState)> {
        self.states.iter().map(|(id, state)| (*id, state))
    }

    /// A partition's owner.
    #[must_use]
    pub fn owner(&self, partition: PartitionId) -> Option<&Owner> {
        self.get(partition)?.owner.as_ref()
    }

    /// A program's state.
    #[must_use]
    pub fn program(&self, partition: PartitionId, program: &ProgramId) -> Option<&ProgramState> {
        self.get(partition)?.programs.get(program)
    }

    /// The partition of a sub-agent, which lies with its root.
    #[must_use]
    pub fn sub_agent_partition(&self, program: &ProgramId) -> Option<PartitionId> {
        self.homes.get(program).copied()
    }

    /// Replays one record.
    pub fn apply(&mut self, offset: Offset, record: &Record) -> Effect {
        let partition = match &record.body {
            RecordBody::Claim { partition, .. } | RecordBody::Owned { partition, .. } => *partition,
            RecordBody::Publish { .. }
            | RecordBody::DeciderClaim { .. }
            | RecordBody::ConfigSnapshot { .. } => return Effect::Other,
        };
        if self.is_complete(partition) {
            return self.apply_whole(offset, record, partition);
        }
        self.apply_early(offset, record, partition)
    }

    fn apply_whole(&mut self, offset: Offset, record: &Record, partition: PartitionId) -> Effect {
        match &record.body {
            RecordBody::Claim { over, .. } => self.claim(offset, record, partition, *over),
            RecordBody::Owned { epoch, entry, .. } => self.owned(record, partition, *epoch, entry),
            RecordBody::Publish { .. }
            | RecordBody::DeciderClaim { .. }
            | RecordBody::ConfigSnapshot { .. } => Effect::Other,
        }
    }

    /// Keeps the records of a partition until a snapshot joins them without a hole.
    ///
    /// A reader that began after the oldest records went could take a snapshot that is older than
    /// its first record, and miss what lies between: a call would look as if it had never been
    /// started. So the snapshot must reach up to the first record that was read.
    fn apply_early(&mut self, offset: Offset, record: &Record, partition: PartitionId) -> Effect {
        let snapshot = match &record.body {
            RecordBody::Owned {
                epoch,
                entry: PartitionRecord::Snapshot { up_to, state },
                ..
            } if *up_to >= self.started_at
                && state.owner.as_ref().is_some_and(|o| o.epoch == *epoch) =>
            {
                (*up_to, state.as_ref().clone())
            }
            _ => {
                let early = Early {
                    offset,
                    record: record.clone(),
                };
                self.early.entry(partition).or_default().push(early);
                return Effect::Other;
            }
        };
        let (up_to, state) = snapshot;
        for (id, program) in &state.programs {
            if program.root.is_some() {
                self.homes.insert(id.clone(), partition);
            }
        }
        self.states.insert(partition, state);
        self.whole.insert(partition);
        for early in self.early.remove(&partition).unwrap_or_default() {
            if early.offset >= up_to {
                self.apply_whole(early.offset, &early.record, partition);
            }
        }
        self.apply_whole(offset, record, partition)
    }

    fn claim(
        &mut self,
        offset: Offset,
        record: &Record,
        partition: PartitionId,
        over: Option<Epoch>,
    ) -> Effect {
        let state = self.states.entry(partition).or_default();
        // Two entries may claim at once. Each names the claim it replaces, so only the first in
        // the log matches; the other sees that it was outrun and does not act as owner.
        let in_force = state.owner.as_ref().map(|owner| owner.epoch);
        if in_force != over && self.safeguards.claim_cas {
            return Effect::ClaimLost(partition);
        }
        state.owner = Some(Owner {
            vm: record.writer.clone(),
            incarnation: record.incarnation,
            epoch: Epoch(offset.0),
        });
        state.yielded = false;
        for program in state.programs.values_mut() {
            program.account.take_over();
        }
        Effect::Claimed(partition)
    }

    fn owned(
        &mut self,
        record: &Record,
        partition: PartitionId,
        epoch: Epoch,
        entry: &PartitionRecord,
    ) -> Effect {
        let state = self.states.entry(partition).or_default();
        // A paused owner may write after another took over. Its calls would then run beside those
        // of the new owner; since its epoch is not in force, no reader takes the record, and the
        // writer learns so when it reads its own record back.
        let in_force = !state.yielded
            && state.owner.as_ref().is_some_and(|owner| {
                owner.epoch == epoch
                    && owner.vm == record.writer
                    && owner.incarnation == record.incarnation
            });
        if !in_force {
            return Effect::Stale(partition);
        }
        if let PartitionRecord::ProgramOpened { program, root, .. } = entry
            && !self.take_home(partition, program, root.as_ref())
        {
            return Effect::Accepted(partition);
        }
        if let PartitionRecord::ProgramsForgotten { programs } = entry {
            for program in programs {
                self.homes.remove(program);
            }
        }
        let digest_check = self.safeguards.digest_check;
        if let Some(state) = self.states.get_mut(&partition) {
            state.apply(epoch, entry, digest_check);
        }
        Effect::Accepted(partition)
    }

    /// Settles where a program lies; false when it lies in another partition already.
    ///
    /// A caller that leaves out the parent of a sub-agent would otherwise get a second program of
    /// that name, with a budget and an order of its own. The first one on record decides.
    fn take_home(
        &mut self,
        partition: PartitionId,
        program: &ProgramId,
        root: Option<&ProgramId>,
    ) -> bool {
        if self
            .sub_agent_partition(program)
            .is_some_and(|home| home != partition)
        {
            return false;
        }
        if root.is_some() {
            let elsewhere = self
                .states
                .iter()
                .any(|(id, state)| *id != partition && state.programs.contains_key(program));
            if elsewhere {
                return false;
            }
            self.homes.insert(program.clone(), partition);
        }
        true
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::ids::{Incarnation, RecordId};

    fn record(writer: &str, body: RecordBody) -> Record {
        let writer = writer.parse().expect("a name");
        Record {
            id: RecordId(0),
            writer,
            incarnation: Incarnation(1),
            body,
        }
    }

    fn claim(writer: &str, over: Option<u64>) -> Record {
        record(
            writer,
            RecordBody::Claim {
                partition: PartitionId(3),
                over: over.map(Epoch),
            },
        )
    }

    // Two entries see the same dead owner and claim at once; the log has both claims. Only the
    // first may act, or two owners would run the same program's calls side by side.
    #[test]
    fn of_two_claims_over_the_same_owner_the_first_holds() {
        let mut partitions = Partitions::default();
        let at = PartitionId(3);
        assert_eq!(
            partitions.apply(Offset(0), &claim("a", None)),
            Effect::Claimed(at)
        );
        assert_eq!(
            partitions.apply(Offset(1), &claim("b", Some(0))),
            Effect::Claimed(at)
        );
        assert_eq!(
            partitions.apply(Offset(2), &claim("c", Some(0))),
            Effect::ClaimLost(at)
        );
        assert_eq!(partitions.owner(at).map(|o| o.vm.as_str()), Some("b"));
    }

    // An owner pauses, another takes over, the first wakes up unaware and writes. Its record is
    // in the log, behind the claim, and changes nothing for anyone.
    #[test]
    fn a_deposed_owners_record_changes_nothing() {
        let mut partitions = Partitions::default();
        let at = PartitionId(3);
        partitions.apply(Offset(0), &claim("a", None));
        partitions.apply(Offset(1), &claim("b", Some(0)));
        let body = RecordBody::Owned {
            partition: at,
            epoch: Epoch(0),
            entry: PartitionRecord::Yielded,
        };
        assert_eq!(
            partitions.apply(Offset(2), &record("a", body)),
            Effect::Stale(at)
        );
        assert!(!partitions.get(at).expect("claimed").yielded);
    }
}
