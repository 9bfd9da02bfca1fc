//! Records in the store which servers ended under requests, and which requests run, so that processes
//! that start after all others were killed know of them.
//!
//! Each server that ended under a request has a record of its own, which no late append of an older
//! state can revert. Each process has one record of its running requests; it is written behind the
//! requests, which do not wait for it unless servers have ended under them.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_rt::time::{sleep, timeout};
use clementinepick::ended_servers::{EndState, OpenRun, RETENTION_US, ServerEnd, ServerStart};
use clementinepick::event::{Event, EventKind};
use clementinepick::request_key::RequestKey;
use clementinepick::units::{SpanUs, TimeUs};
use platform::store::KeyedRecord;
use tokio::sync::Notify;

use crate::append_allowance::AppendAllowance;
use crate::gateway_request_records::{
    END_PREFIX, EndRecord, RUNS_PREFIX, RecordedRequests, RunRecord, RunsRecord, end_key,
    is_request_record,
};
use crate::gateway_shared::Shared;
use crate::ledger::{LedgerError, from_cbor, to_cbor};
use crate::store::StorePurpose;
use crate::unix_time::unix_ms;

/// How long an append may take before it is made again.
const APPEND_TIMEOUT: Duration = Duration::from_millis(400);
/// How long a read of all records may take.
const READ_TIMEOUT: Duration = Duration::from_millis(400);
/// The name in logs and metrics of an append.
const APPEND_PART: &str = "request_append";
/// The pause after a failed append.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// The average interval of appends that record running requests only, and how many of them may
/// follow each other without it.
const RUNS_INTERVAL: Duration = Duration::from_millis(500);
const RUNS_BURST: u32 = 10;
/// The maximum number of running requests in a record, about 120 kB.
const MAX_RUNS: usize = 1_024;
/// How long a run that was given up stays in the record, and how many of them do at most, about 30 kB.
const LEFT_RETENTION: Duration = Duration::from_millis(LEFT_RETENTION_MS);
const LEFT_RETENTION_MS: u64 = 3_000;
const MAX_LEFT_RUNS: usize = 256;
/// The maximum number of requests in an append, about 600 kB with all their servers.
const MAX_BATCH_REQUESTS: usize = 512;

/// A running request of this process.
struct LocalRun {
    key: RequestKey,
    run: OpenRun,
    is_recorded: bool,
}

/// A run that this process has given up.
struct LeftRun {
    key: RequestKey,
    server: ServerStart,
    left_at: Instant,
}

type EndId = (RequestKey, ServerStart);

/// What this process has recorded, and what it has yet to record.
#[derive(Default)]
pub(crate) struct RequestLog {
    runs: RefCell<BTreeMap<u64, LocalRun>>,
    next_run: Cell<u64>,
    /// Runs that were given up lately; their servers may still work on them.
    left: RefCell<Vec<LeftRun>>,
    /// Requests whose records may have to change.
    changed: RefCell<BTreeSet<RequestKey>>,
    /// The states of servers in the store, as recorded by this process or read by it.
    recorded: RefCell<BTreeMap<EndId, EndState>>,
    /// The number of changes so far, and of those that are recorded.
    queued: Cell<u64>,
    written: Cell<u64>,
    has_work: Notify,
    has_written: Notify,
}

/// A running request; when dropped, it is over.
pub(crate) struct RunningRequest {
    shared: Rc<Shared>,
    id: u64,
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        self.shared.request_log.runs.borrow_mut().remove(&self.id);
    }
}

/// The changes of one append.
struct Batch {
    records: Vec<KeyedRecord>,
    ends: Vec<(EndId, Option<EndState>)>,
    changed: BTreeSet<RequestKey>,
    runs: Vec<u64>,
    /// The number of changes that are recorded with it.
    queued: u64,
}

impl RequestLog {
    /// Queues the records of a request.
    pub(crate) fn queue(&self, key: RequestKey) {
        self.changed.borrow_mut().insert(key);
        self.notify();
    }

    /// Queues the requests whose records outlive what is known of them.
    pub(crate) fn queue_forgotten(&self, is_known: impl Fn(RequestKey) -> bool) {
        let recorded = self.recorded.borrow();
        let keys: BTreeSet<RequestKey> = recorded.keys().map(|(key, _)| *key).collect();
        drop(recorded);
        for key in keys.into_iter().filter(|key| !is_known(*key)) {
            self.queue(key);
        }
    }

    /// Keeps a run that is given up in the record of running requests for a while.
    pub(crate) fn keep_left(&self, key: RequestKey, server: &ServerStart, now: Instant) {
        let mut left = self.left.borrow_mut();
        left.retain(|run| now.saturating_duration_since(run.left_at) < LEFT_RETENTION);
        left.push(LeftRun {
            key,
            server: server.clone(),
            left_at: now,
        });
    }

    /// Returns the records of runs that were given up lately.
    fn left_records(&self, now: Instant, now_unix_ms: u64) -> Vec<RunRecord> {
        let mut left = self.left.borrow_mut();
        left.retain(|run| now.saturating_duration_since(run.left_at) < LEFT_RETENTION);
        let records = left.iter().rev().take(MAX_LEFT_RUNS).map(|run| RunRecord {
            key: run.key,
            id: rand::random(),
            is_isolated: false,
            server: run.server.clone(),
            expires_unix_ms: now_unix_ms,
        });
        records.collect()
    }

    fn notify(&self) {
        self.queued.set(self.queued.get() + 1);
        self.has_work.notify_one();
    }

    /// Takes as many of the requests whose records may have to change as fit into one append.
    fn take_changed(&self) -> BTreeSet<RequestKey> {
        let mut changed = self.changed.borrow_mut();
        let rest = changed.iter().nth(MAX_BATCH_REQUESTS).copied();
        let rest = rest.map(|first| changed.split_off(&first));
        std::mem::replace(&mut *changed, rest.unwrap_or_default())
    }

    fn has_unrecorded_runs(&self) -> bool {
        self.runs.borrow().values().any(|run| !run.is_recorded)
    }

    async fn wait_for_work(&self) {
        while self.changed.borrow().is_empty() && !self.has_unrecorded_runs() {
            self.has_work.notified().await;
        }
    }

    /// Returns once all that is queued now is recorded.
    async fn wait_until_written(&self) {
        let queued = self.queued.get();
        while self.written.get() < queued {
            self.has_written.notified().await;
        }
    }

    fn record_written(&self, batch: Batch) {
        let mut recorded = self.recorded.borrow_mut();
        for (end, state) in batch.ends {
            match state {
                Some(state) => recorded.insert(end, state),
                None => recorded.remove(&end),
            };
        }
        drop(recorded);
        self.written.set(batch.queued);
        self.has_written.notify_waiters();
    }

    fn restore(&self, batch: Batch) {
        self.changed.borrow_mut().extend(batch.changed);
        let mut runs = self.runs.borrow_mut();
        for id in batch.runs {
            if let Some(run) = runs.get_mut(&id) {
                run.is_recorded = false;
            }
        }
    }
}

impl Shared {
    /// Records that a request runs at a server until dropped.
    pub(crate) fn record_run(self: &Rc<Self>, key: RequestKey, run: OpenRun) -> RunningRequest {
        let log = &self.request_log;
        let id = log.next_run.get();
        log.next_run.set(id + 1);
        let run = LocalRun {
            key,
            run,
            is_recorded: false,
        };
        log.runs.borrow_mut().insert(id, run);
        log.notify();
        RunningRequest {
            shared: Rc::clone(self),
            id,
        }
    }

    /// Waits until all that is queued is recorded, for `limit` at most and only while the store is
    /// available.
    pub(crate) async fn wait_until_recorded(&self, limit: Duration) {
        if !self.store.is_unavailable() {
            // What was not recorded in time is recorded later.
            let _ = timeout(limit, self.request_log.wait_until_written()).await;
        }
    }

    fn take_batch(&self, now: Instant) -> Batch {
        let log = &self.request_log;
        let changed = log.take_changed();
        let has_rest = !log.changed.borrow().is_empty();
        let queued = if has_rest {
            log.written.get()
        } else {
            log.queued.get()
        };
        let mut batch = Batch {
            records: Vec::new(),
            ends: Vec::new(),
            changed,
            runs: Vec::new(),
            queued,
        };
        for key in &batch.changed {
            let (records, ends) = self.changed_ends(*key, now);
            batch.records.extend(records);
            batch.ends.extend(ends);
        }
        if log.has_unrecorded_runs() {
            batch.records.push(self.runs_record(now, &mut batch.runs));
        }
        batch
    }

    /// Returns the records that differ from what is known of a request.
    fn changed_ends(
        &self,
        key: RequestKey,
        now: Instant,
    ) -> (Vec<KeyedRecord>, Vec<(EndId, Option<EndState>)>) {
        let now = self.now_us(now);
        let known = self.ended.known.borrow();
        let ends = known.get(now, key).map_or(&[][..], |request| &request.ends);
        let recorded = self.request_log.recorded.borrow();
        let mut records = Vec::new();
        let mut changes = Vec::new();
        // A run that was left is too short-lived to be recorded.
        for end in ends.iter().filter(|end| !end.state.is_given_up()) {
            let id = (key, end.server.clone());
            if recorded.get(&id) != Some(&end.state) {
                records.push(end_record(key, end, now));
                changes.push((id, Some(end.state)));
            }
        }
        for (key, server) in recorded.keys().filter(|(recorded, _)| *recorded == key) {
            if !ends.iter().any(|end| end.server == *server) {
                records.push(KeyedRecord {
                    key: end_key(*key, server),
                    value: None,
                });
                changes.push(((*key, server.clone()), None));
            }
        }
        (records, changes)
    }

    /// Returns the record of the running requests, and marks them as recorded.
    fn runs_record(&self, now: Instant, recorded: &mut Vec<u64>) -> KeyedRecord {
        let now_unix_ms = unix_ms();
        let mut records = self.request_log.left_records(now, now_unix_ms);
        let now = self.now_us(now);
        let mut runs = self.request_log.runs.borrow_mut();
        for (id, run) in runs.iter_mut().rev().take(MAX_RUNS) {
            run.is_recorded = true;
            recorded.push(*id);
            let LocalRun { key, run, .. } = run;
            records.push(RunRecord {
                key: *key,
                id: run.id,
                is_isolated: run.is_isolated,
                server: run.server.clone(),
                expires_unix_ms: now_unix_ms + run.expires_at.since(now).as_ms(),
            });
        }
        let record = RunsRecord {
            recorded_unix_ms: now_unix_ms,
            runs: records,
        };
        KeyedRecord {
            key: self.runs_key(),
            value: Some(to_cbor(&record)),
        }
    }

    /// Returns the key of the record of this process's running requests.
    fn runs_key(&self) -> String {
        format!("{RUNS_PREFIX}{}", self.writer)
    }

    /// Reads all records.
    async fn read_records(&self) -> Result<Vec<KeyedRecord>, LedgerError> {
        let partition = self.ledger.request_partition();
        let deadline = Instant::now() + READ_TIMEOUT;
        let reader = self.ledger.reader(StorePurpose::LoadRequests, deadline);
        let mut records = Vec::new();
        let collect = |page: Vec<KeyedRecord>| records.extend(page);
        reader.read_newest(partition, collect).await?;
        Ok(records)
    }

    /// Reads which requests run, and which servers ended, as other processes have recorded it.
    pub(crate) async fn read_others(&self) -> Result<RecordedRequests, LedgerError> {
        let own = self.runs_key();
        let mut read = RecordedRequests::default();
        for KeyedRecord { key, value } in self.read_records().await? {
            let Some(value) = value.filter(|_| key != own) else {
                continue;
            };
            // Another version of this software may have written what can't be decoded.
            if key.starts_with(END_PREFIX) {
                read.ends.extend(from_cbor(&value));
            } else if key.starts_with(RUNS_PREFIX) {
                read.runs.extend(from_cbor(&value));
            }
        }
        Ok(read)
    }

    /// Adds what other processes have recorded of one request.
    pub(crate) fn load_others_of(&self, key: RequestKey, read: &RecordedRequests) {
        for end in read.ends.iter().filter(|end| end.key == key) {
            self.load_end(end.clone());
        }
        let min_expiry_unix_ms = unix_ms().saturating_sub(LEFT_RETENTION_MS);
        let may_go_on =
            |run: &&RunRecord| run.key == key && run.expires_unix_ms >= min_expiry_unix_ms;
        for record in &read.runs {
            self.load_runs(RunsRecord {
                recorded_unix_ms: record.recorded_unix_ms,
                runs: record.runs.iter().filter(may_go_on).cloned().collect(),
            });
        }
    }

    /// Loads all records, and deletes those that are too old.
    pub(crate) async fn load_requests(&self) -> Result<(), LedgerError> {
        let records = self.read_records().await?;
        let mut expired = Vec::new();
        let (mut requests, mut unreadable) = (0, 0);
        let own = self.runs_key();
        for record in records {
            if !is_request_record(&record.key) || record.key == own {
                continue;
            }
            match self.load_record(&record) {
                Loaded::Requests(count) => requests += count,
                Loaded::Expired => expired.push(KeyedRecord {
                    key: record.key,
                    value: None,
                }),
                // Another version of this software may have written it.
                Loaded::Unreadable => unreadable += 1,
            }
        }
        let event = Event::new(EventKind::RequestsLoaded)
            .with("requests", requests)
            .with("expired", expired.len())
            .with("unreadable", unreadable);
        self.log(&event);
        if !expired.is_empty() {
            append(self, &expired).await?;
        }
        Ok(())
    }

    /// Adds what a record says.
    fn load_record(&self, record: &KeyedRecord) -> Loaded {
        let Some(value) = &record.value else {
            return Loaded::Expired;
        };
        if record.key.starts_with(END_PREFIX) {
            from_cbor(value).map_or(Loaded::Unreadable, |end| self.load_end(end))
        } else {
            from_cbor(value).map_or(Loaded::Unreadable, |runs| self.load_runs(runs))
        }
    }

    fn load_end(&self, record: EndRecord) -> Loaded {
        let age_us = SpanUs::from_ms(unix_ms().saturating_sub(record.lost_unix_ms));
        let Some(left) = time_left(age_us) else {
            return Loaded::Expired;
        };
        let id = (record.key, record.server.clone());
        let recorded = &self.request_log.recorded;
        recorded.borrow_mut().insert(id, record.state);
        let now = self.now_us(Instant::now());
        let end = ServerEnd {
            server: record.server,
            lost_at: TimeUs(now.0.saturating_sub(age_us.0)),
            state: record.state,
        };
        let mut known = self.ended.known.borrow_mut();
        known.load_end(now, record.key, end, now.after(left));
        Loaded::Requests(1)
    }

    /// Adds runs whose process may have been lost before their outcome was known.
    fn load_runs(&self, record: RunsRecord) -> Loaded {
        let now_unix_ms = unix_ms();
        let age_us = SpanUs::from_ms(now_unix_ms.saturating_sub(record.recorded_unix_ms));
        let Some(left) = time_left(age_us) else {
            return Loaded::Expired;
        };
        let now = self.now_us(Instant::now());
        let count = record.runs.len();
        let mut known = self.ended.known.borrow_mut();
        for run in record.runs {
            let left_ms = run.expires_unix_ms.saturating_sub(now_unix_ms);
            let open = OpenRun {
                id: run.id,
                server: run.server,
                is_isolated: run.is_isolated,
                expires_at: now.after(SpanUs::from_ms(left_ms)),
            };
            known.load_run(now, run.key, open, now.after(left));
        }
        Loaded::Requests(count)
    }
}

/// What was read from a record.
enum Loaded {
    /// This number of requests.
    Requests(usize),
    Expired,
    Unreadable,
}

/// Returns how much longer something of this age is remembered; `None` if it is forgotten.
fn time_left(age: SpanUs) -> Option<SpanUs> {
    let left = RETENTION_US.0.checked_sub(age.0)?;
    (left > 0).then_some(SpanUs(left))
}

fn end_record(key: RequestKey, end: &ServerEnd, now: TimeUs) -> KeyedRecord {
    let record = EndRecord {
        key,
        server: end.server.clone(),
        state: end.state,
        lost_unix_ms: unix_ms().saturating_sub(now.since(end.lost_at).as_ms()),
    };
    KeyedRecord {
        key: end_key(key, &end.server),
        value: Some(to_cbor(&record)),
    }
}

/// Records what changes until dropped.
pub(crate) async fn write_requests(shared: Rc<Shared>) {
    let log = &shared.request_log;
    let mut allowance = AppendAllowance::new(RUNS_BURST, Instant::now());
    loop {
        log.wait_for_work().await;
        let now = Instant::now();
        allowance.replenish(RUNS_INTERVAL, now);
        let may_write = allowance.is_available() || !log.changed.borrow().is_empty();
        if shared.store.is_unavailable() || !may_write {
            sleep(RETRY_INTERVAL).await;
            continue;
        }
        allowance.take();
        let batch = shared.take_batch(now);
        let is_written = batch.records.is_empty() || {
            let append = append(&shared, &batch.records);
            let appended = shared.tasks.contain(APPEND_PART, append).await;
            appended.is_some_and(|appended| appended.is_ok())
        };
        if is_written {
            log.record_written(batch);
        } else {
            // The store client counts the failure.
            log.restore(batch);
            sleep(RETRY_INTERVAL).await;
        }
    }
}

async fn append(shared: &Shared, records: &[KeyedRecord]) -> Result<(), LedgerError> {
    let ledger = &shared.ledger;
    let partition = ledger.request_partition();
    let deadline = Instant::now() + APPEND_TIMEOUT;
    let purpose = StorePurpose::RecordRequests;
    let append = ledger.append(purpose, partition, None, records, deadline);
    let reply = append.await?;
    if reply.status == 200 {
        Ok(())
    } else {
        Err(LedgerError::Unavailable)
    }
}
