//! Reads and appends one stream of the log for one process, with group commit.
//!
//! One append is in flight at a time; records pushed meanwhile go into the next one. A record takes
//! effect only when it is read back, since the order of offsets decides between records.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::event::{Event, EventKind};
use crate::ids::{Offset, RecordId};
use crate::platform::{ReadResponse, StreamName};
use crate::record::Record;
use crate::units::{SpanUs, TimeUs};

/// The maximum number of records in one append.
const MAX_BATCH: usize = 256;
/// The number of record ids kept to recognize a record that was appended twice.
const MAX_SEEN_IDS: usize = 1 << 17;

/// The intervals at which a journal uses the log.
#[derive(Debug, Clone)]
pub struct JournalSettings {
    /// The minimum interval between appends of all writers together; each of `n` writers waits `n`
    /// times as long.
    pub append_interval_us: SpanUs,
    /// The interval between reads while no record is pending.
    pub idle_read_us: SpanUs,
    /// The interval between reads while a record is pending.
    pub busy_read_us: SpanUs,
    /// The backoff after a failure.
    pub backoff_us: SpanUs,
}

impl Default for JournalSettings {
    fn default() -> Self {
        Self {
            append_interval_us: SpanUs::from_ms(5),
            idle_read_us: SpanUs::from_ms(100),
            busy_read_us: SpanUs::from_ms(10),
            backoff_us: SpanUs::from_ms(200),
        }
    }
}

/// The outcome of an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendOutcome {
    /// The records are in the log, starting at this offset.
    Appended(Offset),
    /// The records are not in the log and will not be.
    Refused,
    /// The response was lost; the records may be in the log or may still be appended.
    Unknown,
}

/// A log operation that the process must carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum JournalAction {
    /// Append a batch and report the outcome to [`Journal::on_append`].
    Append {
        /// The stream.
        stream: StreamName,
        /// The number that identifies the batch in the report.
        batch: u64,
        /// The records.
        records: Vec<Record>,
    },
    /// Read records and report them to [`Journal::on_read`].
    Read {
        /// The stream.
        stream: StreamName,
        /// The first offset to read.
        from: Offset,
    },
}

#[derive(Debug, Clone)]
struct Batch {
    number: u64,
    records: Vec<Record>,
    /// The number of the first read that can settle the batch; set when the append completes.
    settled_by_read: Option<u64>,
}

/// A reader and writer of one stream.
#[derive(Debug, Clone)]
pub struct Journal {
    stream: StreamName,
    settings: JournalSettings,
    position: Offset,
    /// The end of the stream at the last read.
    end: Offset,
    is_caught_up: bool,
    queued: VecDeque<Record>,
    in_flight: Option<Batch>,
    next_batch: u64,
    next_append_us: TimeUs,
    next_read_us: TimeUs,
    is_reading: bool,
    reads_started: u64,
    reads_done: u64,
    /// Records that may have been appended although the response was lost.
    maybe_appended: BTreeSet<RecordId>,
    writers: u64,
    truncated_to: Option<Offset>,
    seen: BTreeMap<RecordId, Offset>,
    seen_order: VecDeque<RecordId>,
    down: bool,
}

impl Journal {
    /// Creates a journal that reads from the start of the stream.
    #[must_use]
    pub fn new(stream: StreamName, settings: JournalSettings) -> Self {
        Self {
            stream,
            settings,
            position: Offset(0),
            end: Offset(0),
            is_caught_up: false,
            queued: VecDeque::new(),
            in_flight: None,
            next_batch: 0,
            next_append_us: TimeUs(0),
            next_read_us: TimeUs(0),
            is_reading: false,
            reads_started: 0,
            reads_done: 0,
            maybe_appended: BTreeSet::new(),
            writers: 1,
            truncated_to: None,
            seen: BTreeMap::new(),
            seen_order: VecDeque::new(),
            down: false,
        }
    }

    /// Returns the offset of the next record to read.
    #[must_use]
    pub const fn position(&self) -> Offset {
        self.position
    }

    /// Returns whether the stream has been read to its end at least once.
    #[must_use]
    pub const fn has_caught_up(&self) -> bool {
        self.is_caught_up
    }

    /// Returns whether the last log operation failed.
    #[must_use]
    pub const fn is_down(&self) -> bool {
        self.down
    }

    /// Returns the number of own records that have not been read back.
    #[must_use]
    pub fn unconfirmed(&self) -> usize {
        self.queued.len()
            + self
                .in_flight
                .as_ref()
                .map_or(0, |batch| batch.records.len())
    }

    /// Queues a record for the next append.
    pub fn push(&mut self, record: Record) {
        self.queued.push_back(record);
    }

    /// Removes a queued record; returns false if the record may already be in the log.
    pub fn retract(&mut self, id: RecordId) -> bool {
        if self.maybe_appended.contains(&id) {
            return false;
        }
        let count = self.queued.len();
        self.queued.retain(|record| record.id != id);
        self.queued.len() < count
    }

    /// Divides the log's append rate among `writers`.
    pub fn share_between(&mut self, writers: usize) {
        self.writers = writers.max(1) as u64;
    }

    /// Returns whether the last read reached the end of the stream.
    #[must_use]
    pub fn is_at_end(&self) -> bool {
        self.position >= self.end
    }

    /// Schedules a read for `now`; returns the number of the next read to start.
    pub fn schedule_read(&mut self, now: TimeUs) -> u64 {
        self.next_read_us = now;
        self.reads_started + 1
    }

    /// Returns the number of the last completed read.
    #[must_use]
    pub const fn reads_done(&self) -> u64 {
        self.reads_done
    }

    /// Returns the earliest remaining offset, once after unread records were deleted.
    pub fn take_truncated_to(&mut self) -> Option<Offset> {
        self.truncated_to.take()
    }

    /// Starts the appends and reads that are due.
    pub fn poll(&mut self, now: TimeUs, out: &mut Vec<JournalAction>) {
        if self.in_flight.is_none() && !self.queued.is_empty() && now >= self.next_append_us {
            self.start_append(now, out);
        }
        if !self.is_reading && now >= self.next_read_us {
            self.is_reading = true;
            self.reads_started += 1;
            out.push(JournalAction::Read {
                stream: self.stream,
                from: self.position,
            });
        }
    }

    fn start_append(&mut self, now: TimeUs, out: &mut Vec<JournalAction>) {
        let count = self.queued.len().min(MAX_BATCH);
        let records: Vec<Record> = self.queued.drain(..count).collect();
        self.next_batch += 1;
        let interval_us = self.settings.append_interval_us.0 * self.writers;
        self.next_append_us = now.after(SpanUs(interval_us));
        let batch = self.next_batch;
        out.push(JournalAction::Append {
            stream: self.stream,
            batch,
            records: records.clone(),
        });
        self.in_flight = Some(Batch {
            number: batch,
            records,
            settled_by_read: None,
        });
    }

    /// Handles the outcome of an append.
    pub fn on_append(&mut self, now: TimeUs, number: u64, outcome: AppendOutcome) -> Option<Event> {
        let batch = self
            .in_flight
            .as_mut()
            .filter(|batch| batch.number == number)?;
        match outcome {
            AppendOutcome::Appended(_) => {
                batch.settled_by_read = Some(self.reads_started + 1);
                self.next_read_us = now;
                None
            }
            AppendOutcome::Refused => {
                self.requeue_in_flight(now);
                self.mark_down()
            }
            AppendOutcome::Unknown => {
                // The records may be in the log. A read that starts after this point shows whether
                // they are. Appending them again before that would waste the append rate, and
                // dropping them could lose a call that other readers see as started.
                batch.settled_by_read = Some(self.reads_started + 1);
                self.maybe_appended
                    .extend(batch.records.iter().map(|record| record.id));
                self.next_read_us = now;
                let event = Event::new(EventKind::AppendUnknown).with("stream", self.stream);
                Some(event.with("batch", number))
            }
        }
    }

    fn requeue_in_flight(&mut self, now: TimeUs) {
        let Some(batch) = self.in_flight.take() else {
            return;
        };
        for record in batch.records.into_iter().rev() {
            self.queued.push_front(record);
        }
        self.next_append_us = now.after(self.settings.backoff_us);
    }

    fn mark_down(&mut self) -> Option<Event> {
        let was_up = !std::mem::replace(&mut self.down, true);
        was_up.then(|| Event::new(EventKind::LogDown).with("stream", self.stream))
    }

    /// Handles the result of a read, or its failure if `None`.
    ///
    /// Returns the records not seen before, in the order of their offsets.
    pub fn on_read(
        &mut self,
        now: TimeUs,
        answer: Option<ReadResponse>,
        events: &mut Vec<Event>,
    ) -> Vec<(Offset, Record)> {
        self.is_reading = false;
        let Some(answer) = answer else {
            self.reads_done = self.reads_started;
            self.next_read_us = now.after(self.settings.backoff_us);
            events.extend(self.mark_down());
            return Vec::new();
        };
        self.reads_done = self.reads_started;
        if std::mem::take(&mut self.down) {
            events.push(Event::new(EventKind::LogUp).with("stream", self.stream));
        }
        let fresh = self.parse_records(&answer, events);
        self.end = answer.end;
        let at_end = self.position >= self.end;
        self.is_caught_up |= at_end;
        self.settle(now, at_end);
        let is_busy = !at_end || self.in_flight.is_some() || !self.queued.is_empty();
        let interval = match (at_end, is_busy) {
            (false, _) => SpanUs(0),
            (true, true) => self.settings.busy_read_us,
            (true, false) => self.settings.idle_read_us,
        };
        self.next_read_us = now.after(interval);
        fresh
    }

    fn parse_records(
        &mut self,
        answer: &ReadResponse,
        events: &mut Vec<Event>,
    ) -> Vec<(Offset, Record)> {
        if answer.earliest > self.position {
            let event = Event::new(EventKind::RetentionPassed).with("stream", self.stream);
            events.push(
                event
                    .with("position", self.position)
                    .with("earliest", answer.earliest),
            );
            self.position = answer.earliest;
            self.truncated_to = Some(answer.earliest);
        }
        let mut fresh = Vec::new();
        for stored in &answer.records {
            if stored.offset < self.position {
                continue;
            }
            self.position = stored.offset.next();
            // Every reader skips a record that can't be parsed, so the replay stays the same.
            let Ok(record) = serde_json::from_str::<Record>(&stored.text) else {
                continue;
            };
            if self.insert_seen(record.id, stored.offset) {
                fresh.push((stored.offset, record));
            }
        }
        fresh
    }

    fn insert_seen(&mut self, id: RecordId, offset: Offset) -> bool {
        if self.seen.contains_key(&id) {
            return false;
        }
        self.seen.insert(id, offset);
        self.maybe_appended.remove(&id);
        self.seen_order.push_back(id);
        if self.seen_order.len() > MAX_SEEN_IDS
            && let Some(oldest) = self.seen_order.pop_front()
        {
            self.seen.remove(&oldest);
        }
        true
    }

    fn settle(&mut self, now: TimeUs, at_end: bool) {
        let Some(batch) = &mut self.in_flight else {
            return;
        };
        let seen: BTreeSet<RecordId> = batch
            .records
            .iter()
            .map(|r| r.id)
            .filter(|id| self.seen.contains_key(id))
            .collect();
        batch.records.retain(|record| !seen.contains(&record.id));
        if batch.records.is_empty() {
            self.in_flight = None;
            return;
        }
        let is_settled = batch
            .settled_by_read
            .is_some_and(|read| self.reads_started >= read);
        if is_settled && at_end {
            self.requeue_in_flight(now);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::ids::Incarnation;
    use crate::ids::PartitionId;
    use crate::platform::StoredRecord;
    use crate::record::RecordBody;

    fn record(id: u128) -> Record {
        Record {
            id: RecordId(id),
            writer: "entry-a".parse().expect("a name"),
            incarnation: Incarnation(1),
            body: RecordBody::Claim {
                partition: PartitionId(0),
                over: None,
            },
        }
    }

    fn stored(offset: u64, record: &Record) -> StoredRecord {
        let text = serde_json::to_string(record).expect("serializable");
        StoredRecord {
            offset: Offset(offset),
            text,
        }
    }

    fn read(records: &[(u64, &Record)], end: u64) -> ReadResponse {
        let records = records
            .iter()
            .map(|(offset, record)| stored(*offset, record))
            .collect();
        ReadResponse {
            earliest: Offset(0),
            end: Offset(end),
            records,
        }
    }

    fn started() -> (Journal, Vec<JournalAction>) {
        let mut journal = Journal::new(StreamName::Journal, JournalSettings::default());
        journal.push(record(1));
        let mut out = Vec::new();
        journal.poll(TimeUs(0), &mut out);
        journal.on_read(TimeUs(1), Some(read(&[], 0)), &mut Vec::new());
        (journal, out)
    }

    // The record is in the log and only the response was lost, so it must not be appended again.
    #[test]
    fn read_settles_an_append_with_a_lost_response() {
        let (mut journal, _) = started();
        journal.on_append(TimeUs(5), 1, AppendOutcome::Unknown);
        let mut out = Vec::new();
        journal.poll(TimeUs(6), &mut out);
        assert!(matches!(out[..], [JournalAction::Read { .. }]));
        let fresh = journal.on_read(
            TimeUs(9),
            Some(read(&[(0, &record(1))], 1)),
            &mut Vec::new(),
        );
        assert_eq!(fresh.len(), 1);
        assert_eq!(journal.unconfirmed(), 0);
    }

    // The record of a lost append is appended again under the same id. If the first append takes
    // effect after all, readers must ignore the duplicate.
    #[test]
    fn lost_append_is_retried_and_its_duplicate_is_ignored() {
        let (mut journal, _) = started();
        journal.on_append(TimeUs(5), 1, AppendOutcome::Unknown);
        let mut out = Vec::new();
        journal.poll(TimeUs(6), &mut out);
        journal.on_read(TimeUs(9), Some(read(&[], 0)), &mut Vec::new());
        journal.poll(TimeUs(1_000_000), &mut out);
        assert!(matches!(&out[1], JournalAction::Append { batch: 2, .. }));
        let twice = read(&[(0, &record(1)), (1, &record(1))], 2);
        assert_eq!(
            journal
                .on_read(TimeUs(1_000_001), Some(twice), &mut Vec::new())
                .len(),
            1
        );
        assert_eq!(journal.unconfirmed(), 0);
    }

    #[test]
    fn read_started_before_the_response_was_lost_settles_nothing() {
        let mut journal = Journal::new(StreamName::Journal, JournalSettings::default());
        journal.push(record(1));
        let mut out = Vec::new();
        journal.poll(TimeUs(0), &mut out);
        journal.on_append(TimeUs(5), 1, AppendOutcome::Unknown);
        journal.on_read(TimeUs(6), Some(read(&[], 0)), &mut Vec::new());
        out.clear();
        journal.poll(TimeUs(1_000_000), &mut out);
        assert!(matches!(out[..], [JournalAction::Read { .. }]));
    }
}
