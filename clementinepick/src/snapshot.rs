//! Carries the state of partitions forward before the log's retention ends.

use crate::call_state::Awaited;
use crate::entry::Entry;
use crate::ids::PartitionId;
use crate::record::PartitionRecord;
use crate::units::TimeUs;

impl Entry {
    /// Writes the snapshot of the own partition whose last one is oldest, where it is due.
    ///
    /// One at a time: a partition's state can be large, and calls share the log with it.
    pub(crate) fn write_snapshots(&mut self, now: TimeUs) {
        if !self.is_caught_up() || self.journal.is_down() || !self.journal.is_at_end() {
            return;
        }
        let is_writing = |awaited: &Awaited| matches!(awaited, Awaited::Snapshot(_));
        if self.awaited.values().any(is_writing) {
            return;
        }
        let start_us = self.started_us.unwrap_or(now);
        let due = self
            .owned_partitions()
            .into_iter()
            .map(|partition| {
                let last_us = self.last_snapshots_us.get(&partition).copied();
                (last_us.unwrap_or(start_us), partition)
            })
            .filter(|(last_us, _)| now.since(*last_us) >= self.settings.snapshot_us)
            .min();
        if let Some((_, partition)) = due {
            self.write_snapshot(now, partition);
        }
    }

    fn write_snapshot(&mut self, now: TimeUs, partition: PartitionId) {
        let Some(state) = self.partitions.get(partition) else {
            return;
        };
        let entry = PartitionRecord::Snapshot {
            up_to: self.journal.position(),
            state: Box::new(state.clone()),
        };
        if let Some(record) = self.write_owned(partition, entry) {
            self.awaited.insert(record, Awaited::Snapshot(partition));
            self.last_snapshots_us.insert(partition, now);
        }
    }
}
