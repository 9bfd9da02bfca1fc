//! Records in the store which software versions each service has, so that processes that start after
//! all others were killed know of versions that have left.
//!
//! A version counts as listed until a process has recorded that it is not, whether or not any process
//! ran meanwhile.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_rt::time::{sleep_until, timeout};
use clementinepick::listed_versions::{RecordedVersion, VERSION_MEMORY_US};
use clementinepick::server_list::{BackendServer, SoftwareVersion};
use clementinepick::start_doubts::UNPROVEN_STREAM_MEMORY_US;
use clementinepick::units::SpanUs;
use platform::store::KeyedRecord;
use serde::{Deserialize, Serialize};
use tokio::sync::{Mutex, Notify};
use xxhash_rust::xxh3::xxh3_128;

use crate::gateway_shared::Shared;
use crate::ledger::{LedgerError, from_cbor, to_cbor};
use crate::list_refresh::MIN_REFRESH_INTERVAL;
use crate::store::StorePurpose;
use crate::unix_time::unix_ms;

/// How often the list of servers is compared with what is recorded.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// How often the records are read again: another process may have recorded a version as unlisted that is
/// listed here.
const READ_INTERVAL: Duration = Duration::from_secs(30);
/// How long a version is recorded after it was recorded as unlisted; clocks differ by seconds.
const RECORD_LIFETIME_MS: u64 = 2 * VERSION_MEMORY_US.as_ms();
/// How long a start of unknown version is recorded: until the list must have it, by clocks that differ by
/// seconds.
const UNPROVEN_MEMORY_MS: u64 = UNPROVEN_STREAM_MEMORY_US.as_ms() + 5_000;
/// How long the first event of a stream may wait for the record of its version.
const RECORD_TIMEOUT: Duration = Duration::from_millis(150);
/// How long a call to the store may take.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);

/// How the keys of streams that have begun at starts of unknown version begin.
const UNPROVEN_PREFIX: &str = "u-";

/// The record of one version of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct VersionRecord {
    #[serde(rename = "s")]
    service: String,
    #[serde(rename = "v")]
    version: SoftwareVersion,
    /// When it was first listed.
    #[serde(rename = "f")]
    first_listed_unix_ms: u64,
    /// When it was recorded as unlisted.
    #[serde(rename = "u", default, skip_serializing_if = "Option::is_none")]
    unlisted_unix_ms: Option<u64>,
}

/// The record of a stream that has begun at a start of unknown version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct UnprovenRecord {
    #[serde(rename = "s")]
    service: String,
    /// When it began.
    #[serde(rename = "t")]
    begun_unix_ms: u64,
}

impl UnprovenRecord {
    /// Returns whether the version may still be missing in the list.
    fn is_recent(&self, now_unix_ms: u64) -> bool {
        let until = self.begun_unix_ms.saturating_add(UNPROVEN_MEMORY_MS);
        now_unix_ms < until
    }
}

type VersionId = (String, SoftwareVersion);

/// What is recorded of versions.
#[derive(Debug, Default)]
pub(crate) struct VersionRecords {
    /// `None` before they were read.
    records: RefCell<Option<BTreeMap<VersionId, VersionRecord>>>,
    /// The services with streams that have begun at starts of unknown version and are not recorded, with
    /// the times of the last ones.
    unproven: RefCell<BTreeMap<String, u64>>,
    /// The recorded streams of this kind that are known here, by service. Each counts from the moment when it
    /// became known, which reading its record again does not renew.
    known_unproven: RefCell<BTreeMap<String, u64>>,
    /// The start of the call that returned them.
    as_of: Cell<Option<Instant>>,
    /// Held during each call to the store; contains the start of the last read.
    access: Mutex<Option<Instant>>,
    /// Notified when a version is needed that is not recorded.
    needed: Notify,
    written: Notify,
}

impl VersionRecords {
    /// Returns the start of the call that returned them; `None` before they were read.
    pub(crate) fn as_of(&self) -> Option<Instant> {
        self.as_of.get()
    }

    fn is_recorded(&self, id: &VersionId) -> bool {
        let records = self.records.borrow();
        let record = records.as_ref().and_then(|records| records.get(id));
        record.is_some_and(|record| record.unlisted_unix_ms.is_none())
    }

    async fn wait_until_recorded(&self, id: &VersionId) {
        while !self.is_recorded(id) {
            self.needed.notify_one();
            self.written.notified().await;
        }
    }

    /// Records that a stream has begun at a start of unknown version.
    pub(crate) fn record_unproven(&self, service: &str, now_unix_ms: u64) {
        let mut unproven = self.unproven.borrow_mut();
        unproven.insert(service.to_owned(), now_unix_ms);
        let mut known = self.known_unproven.borrow_mut();
        known.insert(service.to_owned(), now_unix_ms);
        self.needed.notify_one();
    }

    /// Returns the services with streams that were not known, of those that were read.
    fn take_new_unproven(&self, read: Vec<UnprovenRecord>, now_unix_ms: u64) -> Vec<String> {
        let recent = read.into_iter().filter(|r| r.is_recent(now_unix_ms));
        let recent = recent.map(|record| (record.service, record.begun_unix_ms));
        let recent: BTreeMap<String, u64> = recent.collect();
        let mut next = self.unproven.borrow().clone();
        next.extend(recent.clone());
        let known = self.known_unproven.replace(next);
        let new = recent
            .into_iter()
            .filter(|(service, begun)| known.get(service) != Some(begun));
        new.map(|(service, _)| service).collect()
    }

    async fn wait_until_unproven_recorded(&self, service: &str) {
        while self.unproven.borrow().contains_key(service) {
            self.needed.notify_one();
            self.written.notified().await;
        }
    }

    fn unproven_records(&self) -> Vec<UnprovenRecord> {
        let unproven = self.unproven.borrow();
        let records = unproven
            .iter()
            .map(|(service, begun_unix_ms)| UnprovenRecord {
                service: service.clone(),
                begun_unix_ms: *begun_unix_ms,
            });
        records.collect()
    }

    /// Drops what was recorded, unless another stream has begun since.
    fn remove_unproven(&self, recorded: &[UnprovenRecord]) {
        let mut unproven = self.unproven.borrow_mut();
        for record in recorded {
            if unproven.get(&record.service) == Some(&record.begun_unix_ms) {
                unproven.remove(&record.service);
            }
        }
        drop(unproven);
        self.written.notify_waiters();
    }

    /// Returns the records that the listed versions make necessary. A list from before the read of the
    /// records, if `is_older`, does not show that a version has left which another process lists.
    fn changes(
        &self,
        listed: &BTreeSet<VersionId>,
        is_older: bool,
        now_unix_ms: u64,
    ) -> Vec<VersionRecord> {
        let records = self.records.borrow();
        let Some(records) = records.as_ref() else {
            return Vec::new();
        };
        let opened = listed.iter().filter_map(|id| match records.get(id) {
            Some(record) if record.unlisted_unix_ms.is_none() => None,
            Some(record) => Some(VersionRecord {
                unlisted_unix_ms: None,
                ..record.clone()
            }),
            None => Some(VersionRecord {
                service: id.0.clone(),
                version: id.1.clone(),
                first_listed_unix_ms: now_unix_ms,
                unlisted_unix_ms: None,
            }),
        });
        let gone = records
            .iter()
            .filter(|_| !is_older)
            .filter(|(id, record)| record.unlisted_unix_ms.is_none() && !listed.contains(*id));
        let closed = gone.map(|(_, record)| VersionRecord {
            unlisted_unix_ms: Some(now_unix_ms),
            ..record.clone()
        });
        opened.chain(closed).collect()
    }

    /// Returns the versions whose records are no longer needed.
    fn expired(&self, now_unix_ms: u64) -> Vec<VersionId> {
        let records = self.records.borrow();
        let records = records.iter().flatten();
        let is_expired = |record: &VersionRecord| {
            let unlisted = record.unlisted_unix_ms;
            unlisted.is_some_and(|at| at.saturating_add(RECORD_LIFETIME_MS) < now_unix_ms)
        };
        records
            .filter(|(_, record)| is_expired(record))
            .map(|(id, _)| id.clone())
            .collect()
    }

    fn replace(&self, read: Vec<VersionRecord>) {
        self.records.replace(Some(BTreeMap::new()));
        self.insert_all(read);
    }

    fn insert_all(&self, changes: Vec<VersionRecord>) {
        let mut records = self.records.borrow_mut();
        let records = records.get_or_insert_default();
        for record in changes {
            records.insert((record.service.clone(), record.version.clone()), record);
        }
        self.written.notify_waiters();
    }

    fn remove_all(&self, expired: &[VersionId]) {
        let mut records = self.records.borrow_mut();
        for records in records.iter_mut() {
            records.retain(|id, _| !expired.contains(id));
        }
    }
}

impl Shared {
    /// Waits until the version of a server is recorded, so that a stream which begins there can't be
    /// taken for one of another version later. Streams begin without it while the store is
    /// unavailable.
    async fn wait_until_version_recorded(&self, server: &BackendServer) {
        let id = (server.service.clone(), server.version.clone());
        if !self.versions.is_recorded(&id) && !self.store.is_unavailable() {
            // The record follows as soon as it can be written.
            let _ = timeout(RECORD_TIMEOUT, self.versions.wait_until_recorded(&id)).await;
        }
    }

    /// Waits until the start at which a stream begins is recorded, whether or not its version is known.
    pub(crate) async fn wait_until_start_recorded(&self, server: &BackendServer) {
        tokio::join!(
            self.wait_until_version_recorded(server),
            self.wait_until_unproven_recorded(&server.service),
        );
    }

    async fn wait_until_unproven_recorded(&self, service: &str) {
        if !self.store.is_unavailable() {
            let recorded = self.versions.wait_until_unproven_recorded(service);
            // The record follows as soon as it can be written.
            let _ = timeout(RECORD_TIMEOUT, recorded).await;
        }
    }
}

/// Reads what is recorded, and records changes until dropped.
pub(crate) async fn maintain_versions(shared: Rc<Shared>) {
    let mut read_at: Option<Instant> = None;
    loop {
        let now = Instant::now();
        let is_due = read_at.is_none_or(|at| now.duration_since(at) >= READ_INTERVAL);
        if is_due && refresh_versions(&shared, now, CALL_TIMEOUT).await.is_ok() {
            read_at = Some(now);
        }
        // A failed append is made again with the next check; the store client counts it.
        let _ = record_changes(&shared).await;
        // It is done again in any case.
        let _ = timeout(CHECK_INTERVAL, shared.versions.needed.notified()).await;
    }
}

/// Reads what is recorded by a call that begins at `as_of` or later, unless another task has done so.
pub(crate) async fn refresh_versions(
    shared: &Shared,
    as_of: Instant,
    limit: Duration,
) -> Result<(), LedgerError> {
    let mut last_start = shared.versions.access.lock().await;
    if shared.versions.as_of() >= Some(as_of) {
        return Ok(());
    }
    if let Some(at) = *last_start {
        sleep_until((at + MIN_REFRESH_INTERVAL).into()).await;
    }
    let started_at = Instant::now();
    *last_start = Some(started_at);
    load(shared, started_at + limit).await?;
    shared.versions.as_of.set(Some(started_at));
    Ok(())
}

async fn load(shared: &Shared, deadline: Instant) -> Result<(), LedgerError> {
    let reader = shared.ledger.reader(StorePurpose::Versions, deadline);
    let mut records = Vec::new();
    let mut unproven = Vec::new();
    let collect = |page: Vec<KeyedRecord>| {
        for KeyedRecord { key, value } in page {
            let Some(value) = value else {
                continue;
            };
            if key.starts_with(UNPROVEN_PREFIX) {
                unproven.extend(from_cbor::<UnprovenRecord>(&value));
            } else {
                records.extend(from_cbor::<VersionRecord>(&value));
            }
        }
    };
    let partition = shared.ledger.version_partition();
    reader.read_newest(partition, collect).await?;
    let now_unix_ms = unix_ms();
    for record in &records {
        shared.load_version(&recorded_version(record, now_unix_ms), Instant::now());
    }
    shared.versions.replace(records);
    for service in shared.versions.take_new_unproven(unproven, now_unix_ms) {
        shared.load_unproven_stream(&service, Instant::now());
    }
    Ok(())
}

fn recorded_version(record: &VersionRecord, now_unix_ms: u64) -> RecordedVersion {
    let since = |unix_ms| SpanUs::from_ms(now_unix_ms.saturating_sub(unix_ms));
    RecordedVersion {
        service: record.service.clone(),
        version: record.version.clone(),
        known_for: since(record.first_listed_unix_ms),
        unlisted_for: record.unlisted_unix_ms.map(since),
    }
}

async fn record_changes(shared: &Shared) -> Result<(), LedgerError> {
    let _access = shared.versions.access.lock().await;
    record_unproven_starts(shared).await?;
    let list = shared.current_servers(Instant::now());
    let Some(list) = list.filter(|list| !list.servers.is_empty()) else {
        return Ok(());
    };
    let is_older = shared.directory().servers_as_of < shared.versions.as_of();
    let servers = list.servers.values();
    let listed = servers.map(|server| (server.service.clone(), server.version.clone()));
    let now_unix_ms = unix_ms();
    let changes = shared
        .versions
        .changes(&listed.collect(), is_older, now_unix_ms);
    let expired = shared.versions.expired(now_unix_ms);
    let deletions = expired.iter().map(|id| KeyedRecord {
        key: version_key(id),
        value: None,
    });
    let records: Vec<KeyedRecord> = changes.iter().map(to_record).chain(deletions).collect();
    if records.is_empty() || shared.store.is_unavailable() {
        return Ok(());
    }
    append(shared, &records).await?;
    shared.versions.insert_all(changes);
    shared.versions.remove_all(&expired);
    Ok(())
}

/// Records at which services streams have begun at starts of unknown version; one record a service, which
/// each later one replaces.
async fn record_unproven_starts(shared: &Shared) -> Result<(), LedgerError> {
    let unproven = shared.versions.unproven_records();
    if unproven.is_empty() || shared.store.is_unavailable() {
        return Ok(());
    }
    let records = unproven.iter().map(|record| KeyedRecord {
        key: unproven_key(&record.service),
        value: Some(to_cbor(record)),
    });
    append(shared, &records.collect::<Vec<_>>()).await?;
    shared.versions.remove_unproven(&unproven);
    Ok(())
}

async fn append(shared: &Shared, records: &[KeyedRecord]) -> Result<(), LedgerError> {
    let partition = shared.ledger.version_partition();
    let deadline = Instant::now() + CALL_TIMEOUT;
    let purpose = StorePurpose::Versions;
    let append = shared
        .ledger
        .append(purpose, partition, None, records, deadline);
    if append.await?.status == 200 {
        Ok(())
    } else {
        Err(LedgerError::Unavailable)
    }
}

fn to_record(record: &VersionRecord) -> KeyedRecord {
    KeyedRecord {
        key: version_key(&(record.service.clone(), record.version.clone())),
        value: Some(to_cbor(record)),
    }
}

fn version_key(id: &VersionId) -> String {
    format!("v-{:032x}", xxh3_128(&to_cbor(id)))
}

fn unproven_key(service: &str) -> String {
    format!("{UNPROVEN_PREFIX}{:032x}", xxh3_128(service.as_bytes()))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn id(version: &str) -> VersionId {
        ("models".to_owned(), version.to_owned().into())
    }

    fn listed(versions: &[&str]) -> BTreeSet<VersionId> {
        versions.iter().map(|version| id(version)).collect()
    }

    /// Applies the changes that a list makes necessary; returns their number.
    fn apply(records: &VersionRecords, versions: &[&str], now_unix_ms: u64) -> usize {
        let changes = records.changes(&listed(versions), false, now_unix_ms);
        let count = changes.len();
        records.insert_all(changes);
        count
    }

    #[test]
    fn nothing_is_recorded_before_the_records_were_read() {
        let records = VersionRecords::default();
        assert!(records.changes(&listed(&["v1"]), false, 1).is_empty());
    }

    /// Guards against a gateway out of step that records a version as unlisted which it has not listed
    /// yet.
    #[test]
    fn a_list_from_before_the_records_closes_none() {
        let records = VersionRecords::default();
        records.replace(Vec::new());
        assert_eq!(apply(&records, &["v1", "v2"], 1_000), 2);
        let changes = |is_older| records.changes(&listed(&["v1"]), is_older, 2_000);
        assert!(changes(true).is_empty());
        assert_eq!(changes(false).len(), 1);
    }

    /// Guards against a start of unknown version that counts from each time its record is read.
    #[test]
    fn a_recorded_start_of_unknown_version_is_new_once() {
        let read = |begun_unix_ms| {
            let service = "models".to_owned();
            vec![UnprovenRecord {
                service,
                begun_unix_ms,
            }]
        };
        let records = VersionRecords::default();
        assert_eq!(records.take_new_unproven(read(1_000), 1_100), ["models"]);
        assert!(records.take_new_unproven(read(1_000), 1_200).is_empty());
        assert_eq!(records.take_new_unproven(read(1_300), 1_400), ["models"]);
        records.record_unproven("models", 1_500);
        assert!(records.take_new_unproven(Vec::new(), 1_500).is_empty());
        assert!(records.take_new_unproven(read(1_500), 1_600).is_empty());
        let long_after = 1_500 + UNPROVEN_MEMORY_MS;
        assert!(
            records
                .take_new_unproven(read(1_500), long_after)
                .is_empty()
        );
    }

    /// Guards against records that accumulate with each release.
    #[test]
    fn records_of_versions_that_left_long_ago_expire() {
        let records = VersionRecords::default();
        records.replace(Vec::new());
        assert_eq!(apply(&records, &["v1"], 1_000), 1);
        assert_eq!(apply(&records, &["v2"], 2_000), 2);
        let later = 2_000 + RECORD_LIFETIME_MS;
        assert!(records.expired(later).is_empty());
        assert_eq!(records.expired(later + 1), [id("v1")]);
        records.remove_all(&[id("v1")]);
        assert!(records.expired(later + 1).is_empty());
        assert!(records.is_recorded(&id("v2")));
    }

    /// Guards against a process that recorded a listed version as unlisted and was lost.
    #[test]
    fn a_version_that_another_process_recorded_as_unlisted_is_recorded_again() {
        let records = VersionRecords::default();
        let unlisted = VersionRecord {
            service: "models".to_owned(),
            version: "v1".to_owned().into(),
            first_listed_unix_ms: 1,
            unlisted_unix_ms: Some(2),
        };
        records.replace(vec![unlisted]);
        assert!(!records.is_recorded(&id("v1")));
        assert_eq!(apply(&records, &["v1"], 3), 1);
        assert!(records.is_recorded(&id("v1")));
    }
}
