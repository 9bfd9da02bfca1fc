//! The state of the partitions, replayed from the log by one deterministic function.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::budget::{Account, Amount};
use crate::call::ChatMessage;
use crate::ids::{
    CallKey, CallSeq, ClassName, Epoch, IdempotencyKey, Incarnation, Offset, PartitionId,
    ProgramId, ServiceName, VmId,
};
use crate::prompt::ChainHash;
use crate::record::{CallOutcome, EndReason, OwnedRecord, Record, RecordBody};

/// The entry that owns a partition.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// The entry.
    pub vm: VmId,
    /// Its life.
    pub incarnation: Incarnation,
    /// The offset of its claim.
    pub epoch: Epoch,
}

/// A non-idempotent call on record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedCall {
    /// The digest of its request.
    pub digest: ChainHash,
    /// The caller's key.
    pub key: Option<IdempotencyKey>,
    /// The sidecar it was sent to.
    pub target: VmId,
    /// That sidecar's life.
    pub target_incarnation: Incarnation,
    /// How it ended; absent while it is open.
    pub outcome: Option<CallOutcome>,
}

/// A program as the log tells it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ProgramState {
    /// The program whose sub-agent it is.
    pub parent: Option<ProgramId>,
    /// The service of its first call.
    pub service: ServiceName,
    /// Its class.
    pub class: ClassName,
    /// What it may spend; for a sub-agent its root's account counts instead.
    pub account: Account,
    /// The transcript on record.
    pub history: Vec<ChatMessage>,
    /// The chain over the transcript.
    pub chain: ChainHash,
    /// The place of the next call.
    pub next: CallSeq,
    /// The non-idempotent calls.
    pub calls: BTreeMap<CallSeq, RecordedCall>,
    /// Why it ended, once it has.
    pub ended: Option<EndReason>,
}

/// A partition as the log tells it.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct PartitionState {
    /// Its owner, once one has claimed it.
    pub owner: Option<Owner>,
    /// Whether the owner has left it to the next.
    pub yielded: bool,
    /// Its programs.
    pub programs: BTreeMap<ProgramId, ProgramState>,
}

/// What a record changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Applied {
    /// A claim is in force.
    Claimed(PartitionId),
    /// A claim came after another that replaced the same owner.
    Outrun(PartitionId),
    /// An owner's record took effect.
    Owned(PartitionId),
    /// The writer was no longer the owner; the record changes nothing.
    Stale(PartitionId),
    /// The record is not about partitions.
    Other,
}

/// All partitions.
#[derive(Debug, Clone, Default)]
pub struct Partitions {
    partitions: BTreeMap<PartitionId, PartitionState>,
}

impl Partitions {
    /// A partition's state, once a record has named it.
    #[must_use]
    pub fn get(&self, partition: PartitionId) -> Option<&PartitionState> {
        self.partitions.get(&partition)
    }

    /// All partitions that a record has named.
    pub fn iter(&self) -> impl Iterator<Item = (PartitionId, &PartitionState)> {
        self.partitions.iter().map(|(id, state)| (*id, state))
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

    /// A program's account, for holding and settling between records.
    pub fn account_mut(
        &mut self,
        partition: PartitionId,
        program: &ProgramId,
    ) -> Option<&mut Account> {
        let state = self
            .partitions
            .get_mut(&partition)?
            .programs
            .get_mut(program)?;
        Some(&mut state.account)
    }

    /// Replays one record.
    pub fn apply(&mut self, offset: Offset, record: &Record) -> Applied {
        match &record.body {
            RecordBody::Claim { partition, over } => self.claim(offset, record, *partition, *over),
            RecordBody::Owned {
                partition,
                epoch,
                entry,
            } => self.owned(record, *partition, *epoch, entry),
            RecordBody::Publish { .. }
            | RecordBody::DeciderClaim { .. }
            | RecordBody::OrderIssued { .. }
            | RecordBody::ConfigSnapshot { .. } => Applied::Other,
        }
    }

    fn claim(
        &mut self,
        offset: Offset,
        record: &Record,
        partition: PartitionId,
        over: Option<Epoch>,
    ) -> Applied {
        let state = self.partitions.entry(partition).or_default();
        // Two entries may claim at once. Each names the claim it replaces, so only the first in
        // the log matches; the other sees that it was outrun and does not act as owner.
        if state.owner.as_ref().map(|owner| owner.epoch) != over {
            return Applied::Outrun(partition);
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
        Applied::Claimed(partition)
    }

    fn owned(
        &mut self,
        record: &Record,
        partition: PartitionId,
        epoch: Epoch,
        entry: &OwnedRecord,
    ) -> Applied {
        let state = self.partitions.entry(partition).or_default();
        // A paused owner may write after another took over. Its calls would then run beside those
        // of the new owner; since its epoch is not in force, no reader takes the record, and the
        // writer learns so when it reads its own record back.
        let in_force = state.owner.as_ref().is_some_and(|owner| {
            owner.epoch == epoch
                && owner.vm == record.writer
                && owner.incarnation == record.incarnation
        });
        if !in_force {
            return Applied::Stale(partition);
        }
        state.apply(entry);
        Applied::Owned(partition)
    }
}

impl PartitionState {
    fn apply(&mut self, entry: &OwnedRecord) {
        match entry {
            OwnedRecord::ProgramOpened {
                program,
                parent,
                service,
                class,
                budget,
            } => {
                let state = ProgramState {
                    parent: parent.clone(),
                    service: service.clone(),
                    class: class.clone(),
                    account: Account::new(*budget),
                    history: Vec::new(),
                    chain: ChainHash::default(),
                    next: CallSeq(0),
                    calls: BTreeMap::new(),
                    ended: None,
                };
                self.programs.entry(program.clone()).or_insert(state);
            }
            OwnedRecord::SliceReserved {
                program,
                tokens,
                calls,
            } => {
                if let Some(state) = self.programs.get_mut(program) {
                    state.account.reserve(Amount {
                        tokens: *tokens,
                        calls: *calls,
                    });
                }
            }
            OwnedRecord::CallStarted {
                call,
                digest,
                key,
                target,
                target_incarnation,
            } => {
                let recorded = RecordedCall {
                    digest: *digest,
                    key: key.clone(),
                    target: target.clone(),
                    target_incarnation: *target_incarnation,
                    outcome: None,
                };
                self.on_call(call, |state| {
                    state.calls.entry(call.seq).or_insert(recorded);
                });
            }
            OwnedRecord::CallEnded { call, outcome } => self.on_call(call, |state| {
                if let Some(recorded) = state.calls.get_mut(&call.seq) {
                    recorded.outcome.get_or_insert_with(|| outcome.clone());
                }
            }),
            OwnedRecord::TurnAdded {
                call,
                before,
                after,
                messages,
                answer,
                ..
            } => {
                self.on_call(call, |state| {
                    if state.chain == *before {
                        state.history.extend(messages.iter().cloned());
                        state.history.push(ChatMessage::new("assistant", answer));
                        state.chain = *after;
                    }
                });
            }
            OwnedRecord::ProgramEnded {
                program, reason, ..
            } => {
                if let Some(state) = self.programs.get_mut(program) {
                    state.ended.get_or_insert(*reason);
                    state.history.clear();
                }
            }
            OwnedRecord::Yielded => self.yielded = true,
            OwnedRecord::Snapshot { .. } => {}
        }
    }

    fn on_call(&mut self, call: &CallKey, change: impl FnOnce(&mut ProgramState)) {
        if let Some(state) = self.programs.get_mut(&call.program) {
            state.next = state.next.max(call.seq.next());
            change(state);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::ids::RecordId;

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
            Applied::Claimed(at)
        );
        assert_eq!(
            partitions.apply(Offset(1), &claim("b", Some(0))),
            Applied::Claimed(at)
        );
        assert_eq!(
            partitions.apply(Offset(2), &claim("c", Some(0))),
            Applied::Outrun(at)
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
            entry: OwnedRecord::Yielded,
        };
        assert_eq!(
            partitions.apply(Offset(2), &record("a", body)),
            Applied::Stale(at)
        );
        assert!(!partitions.get(at).expect("claimed").yielded);
    }
}
