//! What an entry writes to the log and reads from it.

use crate::call_state::Awaited;
use crate::entry::{Entry, EntryAction};
use crate::event::{Event, EventKind};
use crate::ids::{Offset, PartitionId, RecordId};
use crate::partition_replay::{Effect, Partitions};
use crate::platform::{ReadResponse, StreamName};
use crate::record::{PartitionRecord, Record, RecordBody};
use crate::step_record::send_committed;
use crate::units::TimeUs;

impl Entry {
    pub(crate) fn poll_log(&mut self, now: TimeUs, out: &mut Vec<EntryAction>) {
        let mut actions = Vec::new();
        self.config_journal.poll(now, &mut actions);
        self.journal.poll(now, &mut actions);
        out.extend(actions.into_iter().map(EntryAction::Log));
    }

    pub(crate) fn write(&mut self, body: RecordBody) -> RecordId {
        let id = RecordId::draw(&mut self.rng);
        let (writer, incarnation) = (self.settings.vm.clone(), self.settings.incarnation);
        self.journal.push(Record {
            id,
            writer,
            incarnation,
            body,
        });
        id
    }

    /// Writes a record of a partition that this entry owns; `None` when it does not, or has
    /// already written that it leaves.
    pub(crate) fn write_owned(
        &mut self,
        partition: PartitionId,
        entry: PartitionRecord,
    ) -> Option<RecordId> {
        if self.yield_written.contains(&partition) {
            return None;
        }
        let epoch = self.own_epoch(partition)?;
        Some(self.write(RecordBody::Owned {
            partition,
            epoch,
            entry,
        }))
    }

    pub(crate) fn on_log_read(
        &mut self,
        now: TimeUs,
        stream: StreamName,
        answer: Option<ReadResponse>,
        out: &mut Vec<EntryAction>,
    ) {
        let was_ready = self.is_caught_up();
        if stream == StreamName::Config
            && let Some(answer) = &answer
            && answer.earliest > self.config_journal.position()
        {
            self.config.on_gap(answer.earliest);
        }
        let mut events = Vec::new();
        let fresh = self.journal_of(stream).on_read(now, answer, &mut events);
        if stream == StreamName::Config {
            // A snapshot that is read next closes the gap; only then is it known.
            events.retain(|event| event.kind != EventKind::RetentionPassed);
        }
        out.extend(events.into_iter().map(EntryAction::Event));
        if stream == StreamName::Journal
            && let Some(earliest) = self.journal.take_truncated_to()
        {
            self.start_late(now, earliest, out);
        }
        for (offset, record) in fresh {
            match stream {
                StreamName::Config => self.replay_config(now, offset, &record, out),
                StreamName::Journal => {
                    let applied = self.partitions.apply(offset, &record);
                    self.on_applied(now, &record, &applied, out);
                }
            }
        }
        if stream == StreamName::Config {
            self.report_config_gap(out);
        }
        if self.is_ownership_unconfirmed
            && self.journal.reads_done() >= self.confirmed_at_read
            && self.journal.is_at_end()
        {
            self.is_ownership_unconfirmed = false;
        }
        if !was_ready && self.is_caught_up() {
            out.push(EntryAction::Event(Event::new(EventKind::ProcessReady)));
            // The others pass calls on to this entry only when they know.
            self.send_heartbeats(now, out);
        }
    }

    /// The oldest records that this entry needs are gone: it starts anew from the oldest that is
    /// kept, and serves only when snapshots have filled what is missing.
    fn start_late(&mut self, now: TimeUs, earliest: Offset, out: &mut Vec<EntryAction>) {
        let owned = self.owned_partitions();
        self.partitions = Partitions::starting_at(earliest, self.settings.safeguards.clone());
        for partition in owned {
            self.drop_partition(now, partition, out);
        }
    }

    fn on_applied(
        &mut self,
        now: TimeUs,
        record: &Record,
        applied: &Effect,
        out: &mut Vec<EntryAction>,
    ) {
        let awaited = self.awaited.remove(&record.id);
        let ended = match (applied, &record.body) {
            (
                Effect::Accepted(partition),
                RecordBody::Owned {
                    entry: PartitionRecord::CallEnded { call, .. },
                    ..
                },
            ) => Some((*partition, call)),
            _ => None,
        };
        match (applied, awaited) {
            (Effect::Claimed(partition), _) => self.on_claimed(now, *partition, out),
            (Effect::ClaimLost(partition), Some(_)) => self.retry_calls(now, *partition, out),
            (Effect::Accepted(_), Some(awaited)) => self.on_own_record(now, record, awaited, out),
            (Effect::Accepted(partition), None) => self.on_other_record(now, *partition, record),
            (Effect::Stale(partition), Some(_)) => {
                // The claim that made the record stale was read before it, so its call is on its
                // way to the new owner already.
                let event = Event::new(EventKind::StaleRecord).with("partition", partition);
                out.push(EntryAction::Event(event));
            }
            (Effect::ClaimLost(_) | Effect::Stale(_) | Effect::Other, _) => {}
        }
        if let Some((partition, call)) = ended {
            self.answer_waiting_repeats(now, partition, call, out);
        }
    }

    fn on_own_record(
        &mut self,
        now: TimeUs,
        record: &Record,
        awaited: Awaited,
        out: &mut Vec<EntryAction>,
    ) {
        match awaited {
            Awaited::Opened(program) => self.on_opened(now, &program, out),
            Awaited::Slice(program) => self.on_slice(now, &program, out),
            Awaited::Started(id) => self.on_started(now, id, out),
            Awaited::Ended {
                request,
                target,
                attempt,
            } => {
                send_committed(&target, attempt, out);
                self.finish(now, request, crate::call::TurnState::Committed, out);
            }
            Awaited::Turn { request, program } => {
                self.on_turn_recorded(now, record.id, request, &program, out);
            }
            Awaited::Yield(partition) => {
                self.yield_written.remove(&partition);
                self.drop_partition(now, partition, out);
            }
            Awaited::Snapshot(partition) => {
                let event = Event::new(EventKind::SnapshotWritten).with("partition", partition);
                out.push(EntryAction::Event(event));
            }
            Awaited::Claim(_) | Awaited::Other(_) => {}
        }
    }

    /// A record of another owner, or one whose call is gone.
    fn on_other_record(&mut self, now: TimeUs, partition: PartitionId, record: &Record) {
        let is_yield = matches!(
            record.body,
            RecordBody::Owned {
                entry: PartitionRecord::Yielded,
                ..
            }
        );
        // The successor claims at once: calls wait at the owner that leaves.
        if is_yield && self.target_owner(now, partition).as_ref() == Some(&self.settings.vm) {
            self.claim_partition(now, partition);
        }
    }
}
