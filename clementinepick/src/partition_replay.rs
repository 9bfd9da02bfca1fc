//! Replays the log into the state of the partitions.
//!
//! The replay is deterministic: every reader of the same records has the same state.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::{Epoch, Offset, PartitionId, ProgramId};
pub use crate::partition_state::{
    Owner, PartitionState, ProgramState, RecordedCall, RecordedTurn, extend_chain, history_chain,
};
use crate::record::{PartitionRecord, Record, RecordBody};
use crate::safeguards::Safeguards;

/// The effect of a replayed record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// A claim took effect.
    Claimed(PartitionId),
    /// A claim lost to an earlier claim over the same owner.
    ClaimLost(PartitionId),
    /// An owner's record took effect.
    Accepted(PartitionId),
    /// The writer was no longer the owner; the record has no effect.
    Stale(PartitionId),
    /// The record is not about partitions, or is held until a snapshot arrives.
    Other,
}

/// A record read before the state of its partition was complete.
#[derive(Debug, Clone, PartialEq)]
struct HeldRecord {
    offset: Offset,
    record: Record,
}

/// The replayed state of all partitions.
#[derive(Debug, Clone)]
pub struct Partitions {
    states: BTreeMap<PartitionId, PartitionState>,
    /// The partition of each sub-agent, which is that of its root program.
    sub_agents: BTreeMap<ProgramId, PartitionId>,
    /// The first offset that is read.
    start_offset: Offset,
    /// The records of partitions whose state is not complete yet.
    held: BTreeMap<PartitionId, Vec<HeldRecord>>,
    complete: BTreeSet<PartitionId>,
    safeguards: Safeguards,
}

impl Default for Partitions {
    fn default() -> Self {
        Self::starting_at(Offset(0), Safeguards::default())
    }
}

impl Partitions {
    /// Creates a replay that reads records from `offset` on.
    ///
    /// Snapshots must cover the records before `offset`.
    #[must_use]
    pub fn starting_at(offset: Offset, safeguards: Safeguards) -> Self {
        Self {
            states: BTreeMap::new(),
            sub_agents: BTreeMap::new(),
            start_offset: offset,
            held: BTreeMap::new(),
            complete: BTreeSet::new(),
            safeguards,
        }
    }

    /// Returns whether all records of a partition are known, from the log or from a snapshot.
    #[must_use]
    pub fn is_complete(&self, partition: PartitionId) -> bool {
        self.start_offset == Offset(0) || self.complete.contains(&partition)
    }

    /// Returns the state of a partition, or `None` if no record has named it.
    #[must_use]
    pub fn get(&self, partition: PartitionId) -> Option<&PartitionState> {
        self.states.get(&partition)
    }

    /// Iterates over all partitions that a record has named.
    pub fn iter(&self) -> impl Iterator<Item = (PartitionId, &PartitionState)> {
        self.states.iter().map(|(id, state)| (*id, state))
    }

    /// Returns the owner of a partition.
    #[must_use]
    pub fn owner(&self, partition: PartitionId) -> Option<&Owner> {
        self.get(partition)?.owner.as_ref()
    }

    /// Returns the state of a program.
    #[must_use]
    pub fn program(&self, partition: PartitionId, program: &ProgramId) -> Option<&ProgramState> {
        self.get(partition)?.programs.get(program)
    }

    /// Returns the partition of a sub-agent, which is that of its root program.
    #[must_use]
    pub fn sub_agent_partition(&self, program: &ProgramId) -> Option<PartitionId> {
        self.sub_agents.get(program).copied()
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
            return self.apply_complete(offset, record, partition);
        }
        self.apply_incomplete(offset, record, partition)
    }

    fn apply_complete(
        &mut self,
        offset: Offset,
        record: &Record,
        partition: PartitionId,
    ) -> Effect {
        match &record.body {
            RecordBody::Claim { over, .. } => self.apply_claim(offset, record, partition, *over),
            RecordBody::Owned { epoch, entry, .. } => {
                self.apply_owned(record, partition, *epoch, entry)
            }
            RecordBody::Publish { .. }
            | RecordBody::DeciderClaim { .. }
            | RecordBody::ConfigSnapshot { .. } => Effect::Other,
        }
    }

    /// Holds the records of a partition until a snapshot covers everything before them.
    ///
    /// A snapshot that ends before the first record read here would leave a gap, and a call started
    /// in the gap would look as if it had never been started. So only a snapshot that reaches up to
    /// the first record is accepted.
    fn apply_incomplete(
        &mut self,
        offset: Offset,
        record: &Record,
        partition: PartitionId,
    ) -> Effect {
        let snapshot = match &record.body {
            RecordBody::Owned {
                epoch,
                entry: PartitionRecord::Snapshot { up_to, state },
                ..
            } if *up_to >= self.start_offset
                && state.owner.as_ref().is_some_and(|o| o.epoch == *epoch) =>
            {
                (*up_to, state.as_ref().clone())
            }
            _ => {
                let held = HeldRecord {
                    offset,
                    record: record.clone(),
                };
                self.held.entry(partition).or_default().push(held);
                return Effect::Other;
            }
        };
        let (up_to, state) = snapshot;
        for (id, program) in &state.programs {
            if program.root.is_some() {
                self.sub_agents.insert(id.clone(), partition);
            }
        }
        self.states.insert(partition, state);
        self.complete.insert(partition);
        for held in self.held.remove(&partition).unwrap_or_default() {
            if held.offset >= up_to {
                self.apply_complete(held.offset, &held.record, partition);
            }
        }
        self.apply_complete(offset, record, partition)
    }

    fn apply_claim(
        &mut self,
        offset: Offset,
        record: &Record,
        partition: PartitionId,
        over: Option<Epoch>,
    ) -> Effect {
        let state = self.states.entry(partition).or_default();
        // Two entries may claim the partition at the same time. Each names the claim it replaces,
        // so only the first in the log matches; the other sees that it lost and does not act as
        // owner.
        let owner_epoch = state.owner.as_ref().map(|owner| owner.epoch);
        if owner_epoch != over && self.safeguards.claim_cas {
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

    fn apply_owned(
        &mut self,
        record: &Record,
        partition: PartitionId,
        epoch: Epoch,
        entry: &PartitionRecord,
    ) -> Effect {
        let state = self.states.entry(partition).or_default();
        // An owner that was paused may write after another took over, and its calls would run
        // beside those of the new owner. Its epoch is no longer current, so every reader ignores
        // the record, and the writer notices when it reads its own record back.
        let is_from_owner = !state.yielded
            && state.owner.as_ref().is_some_and(|owner| {
                owner.epoch == epoch
                    && owner.vm == record.writer
                    && owner.incarnation == record.incarnation
            });
        if !is_from_owner {
            return Effect::Stale(partition);
        }
        if let PartitionRecord::ProgramOpened { program, root, .. } = entry
            && !self.assign_partition(partition, program, root.as_ref())
        {
            return Effect::Accepted(partition);
        }
        if let PartitionRecord::ProgramsForgotten { programs } = entry {
            for program in programs {
                self.sub_agents.remove(program);
            }
        }
        let digest_check = self.safeguards.digest_check;
        if let Some(state) = self.states.get_mut(&partition) {
            state.apply(epoch, entry, digest_check);
        }
        Effect::Accepted(partition)
    }

    /// Assigns a program to a partition; returns false if it already belongs to another.
    ///
    /// A caller that omits the parent of a sub-agent would otherwise create a second program of
    /// that name, with its own budget and call order. The first record of the name decides.
    fn assign_partition(
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
            let is_elsewhere = self
                .states
                .iter()
                .any(|(id, state)| *id != partition && state.programs.contains_key(program));
            if is_elsewhere {
                return false;
            }
            self.sub_agents.insert(program.clone(), partition);
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

    // Two entries replace the same failed owner at once. If both claims took effect, two owners would
    // run the same program's calls.
    #[test]
    fn first_of_two_claims_over_the_same_owner_takes_effect() {
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

    // A paused owner resumes after a takeover and writes a record behind the new claim.
    #[test]
    fn record_of_a_former_owner_is_ignored() {
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
