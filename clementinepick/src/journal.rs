//! One process's access to one stream of the log: group commit, and the answer that got lost.
//!
//! One append is in flight at a time; all that waits goes into the next. A record counts only when
//! it has been read back, since only the order of offsets tells whether it was in force.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::event::{Event, EventKind};
use crate::ids::{Offset, RecordId};
use crate::platform::{ReadResponse, StreamName};
use crate::record::Record;
use crate::units::{SpanUs, TimeUs};

/// The most records in one append.
const MAX_BATCH: usize = 256;
/// How many record ids are remembered, to know a record that was appended twice.
const MAX_SEEN: usize = 1 << 17;

/// How the journal uses the log.
#[derive(Debug, Clone)]
pub struct JournalSettings {
    /// The least time between two appends of all entries together; a process that shares the log
    /// with others waits as many times longer.
    pub append_interval_us: SpanUs,
    /// The time between two reads while nothing is awaited.
    pub idle_read_us: SpanUs,
    /// The time between two reads while a record is awaited.
    pub busy_read_us: SpanUs,
    /// The wait after a failure.
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

/// What the log made of an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendOutcome {
    /// It is in the log, from this offset on.
    Appended(Offset),
    /// It is surely not in the log.
    Refused,
    /// The answer was lost; the records may be in the log, now or a little later.
    Unknown,
}

/// What the process is to do at the log.
#[derive(Debug, Clone, PartialEq)]
pub enum JournalAction {
    /// Append a batch and report with [`Journal::on_append`].
    Append {
        /// The stream.
        stream: StreamName,
        /// Names the batch in the report.
        batch: u64,
        /// The records.
        records: Vec<Record>,
    },
    /// Read on and report with [`Journal::on_read`].
    Read {
        /// The stream.
        stream: StreamName,
        /// The first offset wanted.
        from: Offset,
    },
}

#[derive(Debug, Clone)]
struct Batch {
    number: u64,
    records: Vec<Record>,
    /// Set once the log has answered; the number of the first read that can settle the batch.
    settled_by_read: Option<u64>,
}

/// Access to one stream.
#[derive(Debug, Clone)]
pub struct Journal {
    stream: StreamName,
    settings: JournalSettings,
    position: Offset,
    /// The stream's end as of the last read.
    end: Offset,
    caught_up: bool,
    waiting: VecDeque<Record>,
    in_flight: Option<Batch>,
    next_batch: u64,
    next_append_us: TimeUs,
    next_read_us: TimeUs,
    reading: bool,
    reads_started: u64,
    reads_done: u64,
    /// Records of which an append may have taken effect without an answer.
    tried: BTreeSet<RecordId>,
    writers: u64,
    jumped_to: Option<Offset>,
    seen: BTreeMap<RecordId, Offset>,
    seen_order: VecDeque<RecordId>,
    down: bool,
}

impl Journal {
    /// A reader and writer that begins at the start of the stream.
    #[must_use]
    pub fn new(stream: StreamName, settings: JournalSettings) -> Self {
        Self {
            stream,
            settings,
            position: Offset(0),
            end: Offset(0),
            caught_up: false,
            waiting: VecDeque::new(),
            in_flight: None,
            next_batch: 0,
            next_append_us: TimeUs(0),
            next_read_us: TimeUs(0),
            reading: false,
            reads_started: 0,
            reads_done: 0,
            tried: BTreeSet::new(),
            writers: 1,
            jumped_to: None,
            seen: BTreeMap::new(),
            seen_order: VecDeque::new(),
            down: false,
        }
    }

    /// The offset of the next record to read.
    #[must_use]
    pub const fn position(&self) -> Offset {
        self.position
    }

    /// Whether the stream has been read to its end at least once.
    #[must_use]
    pub const fn has_caught_up(&self) -> bool {
        self.caught_up
    }

    /// Whether the last attempt at the log failed.
    #[must_use]
    pub const fn is_down(&self) -> bool {
        self.down
    }

    /// The count of own records that are not yet read back.
    #[must_use]
    pub fn unconfirmed(&self) -> usize {
        self.waiting.len()
            + self
                .in_flight
                .as_ref()
                .map_or(0, |batch| batch.records.len())
    }

    /// Takes a record for the next append.
    pub fn push(&mut self, record: Record) {
        self.waiting.push_back(record);
    }

    /// Takes back an own record that was never sent to the log; false when it may be there.
    pub fn retract(&mut self, id: RecordId) -> bool {
        if self.tried.contains(&id) {
            return false;
        }
        let count = self.waiting.len();
        self.waiting.retain(|record| record.id != id);
        self.waiting.len() < count
    }

    /// Shares the log's append rate between `writers`.
    pub fn share_between(&mut self, writers: usize) {
        self.writers = writers.max(1) as u64;
    }

    /// Whether the last read came to the stream's end.
    #[must_use]
    pub fn is_at_end(&self) -> bool {
        self.position >= self.end
    }

    /// Makes a read due at once; the number of the first read that starts from now on.
    pub fn schedule_read(&mut self, now: TimeUs) -> u64 {
        self.next_read_us = now;
        self.reads_started + 1
    }

    /// The number of the last read that was answered.
    #[must_use]
    pub const fn reads_done(&self) -> u64 {
        self.reads_done
    }

    /// The oldest offset that is kept, once after records that were not read had gone.
    pub fn take_truncated_to(&mut self) -> Option<Offset> {
        self.jumped_to.take()
    }

    /// Starts what is due.
    pub fn poll(&mut self, now: TimeUs, out: &mut Vec<JournalAction>) {
        if self.in_flight.is_none() && !self.waiting.is_empty() && now >= self.next_append_us {
            self.start_append(now, out);
        }
        if !self.reading && now >= self.next_read_us {
            self.reading = true;
            self.reads_started += 1;
            out.push(JournalAction::Read {
                stream: self.stream,
                from: self.position,
            });
        }
    }

    fn start_append(&mut self, now: TimeUs, out: &mut Vec<JournalAction>) {
        let count = self.waiting.len().min(MAX_BATCH);
        let records: Vec<Record> = self.waiting.drain(..count).collect();
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

    /// Takes the log's answer to an append.
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
                self.take_back(now);
                self.went_down()
            }
            AppendOutcome::Unknown => {
                // The records may have taken effect. A read that starts after this point shows
                // them if so; appending anew first would only waste the log's rate, and dropping
                // them could lose a call that others already see as started.
                batch.settled_by_read = Some(self.reads_started + 1);
                self.tried
                    .extend(batch.records.iter().map(|record| record.id));
                self.next_read_us = now;
                let event = Event::new(EventKind::AppendUnknown).with("stream", self.stream);
                Some(event.with("batch", number))
            }
        }
    }

    fn take_back(&mut self, now: TimeUs) {
        let Some(batch) = self.in_flight.take() else {
            return;
        };
        for record in batch.records.into_iter().rev() {
            self.waiting.push_front(record);
        }
        self.next_append_us = now.after(self.settings.backoff_us);
    }

    fn went_down(&mut self) -> Option<Event> {
        let first = !std::mem::replace(&mut self.down, true);
        first.then(|| Event::new(EventKind::LogDown).with("stream", self.stream))
    }

    /// Takes the log's answer to a read; `None` when it failed.
    ///
    /// Returns the records that were not seen before, in the order of their offsets.
    pub fn on_read(
        &mut self,
        now: TimeUs,
        answer: Option<ReadResponse>,
        events: &mut Vec<Event>,
    ) -> Vec<(Offset, Record)> {
        self.reading = false;
        let Some(answer) = answer else {
            self.reads_done = self.reads_started;
            self.next_read_us = now.after(self.settings.backoff_us);
            events.extend(self.went_down());
            return Vec::new();
        };
        self.reads_done = self.reads_started;
        if std::mem::take(&mut self.down) {
            events.push(Event::new(EventKind::LogUp).with("stream", self.stream));
        }
        let fresh = self.take_records(&answer, events);
        self.end = answer.end;
        let at_end = self.position >= self.end;
        self.caught_up |= at_end;
        self.settle(now, at_end);
        let busy = !at_end || self.in_flight.is_some() || !self.waiting.is_empty();
        let interval = match (at_end, busy) {
            (false, _) => SpanUs(0),
            (true, true) => self.settings.busy_read_us,
            (true, false) => self.settings.idle_read_us,
        };
        self.next_read_us = now.after(interval);
        fresh
    }

    fn take_records(
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
            self.jumped_to = Some(answer.earliest);
        }
        let mut fresh = Vec::new();
        for stored in &answer.records {
            if stored.offset < self.position {
                continue;
            }
            self.position = stored.offset.next();
            // A record that is no record of ours has no meaning to anyone, so all pass over it.
            let Ok(record) = serde_json::from_str::<Record>(&stored.text) else {
                continue;
            };
            if self.remember(record.id, stored.offset) {
                fresh.push((stored.offset, record));
            }
        }
        fresh
    }

    fn remember(&mut self, id: RecordId, offset: Offset) -> bool {
        if self.seen.contains_key(&id) {
            return false;
        }
        self.seen.insert(id, offset);
        self.tried.remove(&id);
        self.seen_order.push_back(id);
        if self.seen_order.len() > MAX_SEEN
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
        let settled = batch
            .settled_by_read
            .is_some_and(|read| self.reads_started >= read);
        if settled && at_end {
            self.take_back(now);
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

    // The writer sees no answer to its append, reads on, finds its record, and must not append it
    // again: the log took it and only the answer was lost.
    #[test]
    fn a_lost_answer_is_resolved_by_reading_on() {
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

    // The answer was lost and the record is not in the log: it is appended again under the same
    // id. When the first append takes effect after all, readers pass over the second copy.
    #[test]
    fn a_lost_append_is_sent_again_and_its_double_ignored() {
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
    fn a_read_that_started_before_the_answer_was_lost_settles_nothing() {
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
