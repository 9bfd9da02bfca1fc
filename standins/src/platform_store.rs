//! The platform's store: partitions of keyed records with conditions, and its troubles.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::{BufMut, Bytes, BytesMut};
use serde_json::json;

use crate::http::lock;
pub use crate::store_partition::{ItemDamage, PageOrder};
use crate::store_partition::{PageSettings, Partition, StoredRecord};
use crate::wire_query::QueryValues;
use crate::wire_server::{Script, Step, WireRequest, WireServer, chunked_head, full_response};

/// How often a read that waits looks for something new.
const LOOK: Duration = Duration::from_millis(10);

/// How the store treats calls at one of its addresses.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum StoreMode {
    /// It serves.
    #[default]
    Serving,
    /// It refuses with 503; nothing is done.
    Busy,
    /// It refuses with 429; nothing is done.
    Limited,
    /// It closes the connection; nothing is done.
    Reset,
    /// It says nothing; nothing is done.
    Silent,
    /// It sends a chunk size without end; nothing is done.
    Endless,
    /// It sends a response that is none of the store's; nothing is done.
    Foreign {
        /// The status.
        status: u16,
        /// The body.
        body: &'static str,
    },
    /// It does what is asked and cuts each response one byte later than the one before, by a close and
    /// a reset in turn.
    Cut,
}

/// What becomes of an append instead of its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendFault {
    /// It is done, and the connection falls silent.
    LoseResponse,
    /// It is done when the next call comes, if its condition still holds, and is not answered.
    Postpone,
    /// It is not done, and the response breaks off behind a head that has no length.
    CutResponse,
}

/// The parameters of the store's calls.
const PARAMETERS: [&str; 6] = ["Topic", "part", "At", "From", "WaitMs", "after"];

type PartitionId = (String, u32);

/// The state of the store.
#[derive(Debug, Default)]
pub struct StoreCore {
    partitions: BTreeMap<PartitionId, Partition>,
    faults: Vec<AppendFault>,
    later: Vec<WireRequest>,
    delay: Duration,
    /// The topic whose calls are not answered.
    silent_topic: Option<String>,
    /// How many of the next reads of each topic are not answered.
    lost_reads: BTreeMap<String, u32>,
    pages: PageSettings,
    /// The calls that came, by path.
    calls: BTreeMap<String, u64>,
    read_limit: Option<ReadLimit>,
    /// The number of responses that were cut.
    cuts: usize,
    /// The number of calls whose query was malformed.
    malformed: usize,
}

/// A limit on the reads of each second, from all addresses together.
#[derive(Debug)]
struct ReadLimit {
    reads_per_s: u32,
    second_began: Instant,
    reads: u32,
    refused: u64,
}

impl ReadLimit {
    fn allows(&mut self, now: Instant) -> bool {
        if now.saturating_duration_since(self.second_began) >= Duration::from_secs(1) {
            self.second_began = now;
            self.reads = 0;
        }
        self.reads += 1;
        let is_allowed = self.reads <= self.reads_per_s;
        self.refused += u64::from(!is_allowed);
        is_allowed
    }
}

/// The store behind one or more addresses, each with a mode of its own.
#[derive(Debug, Clone, Default)]
pub struct PlatformStore {
    core: Arc<Mutex<StoreCore>>,
}

/// One address of the store.
#[derive(Debug)]
pub struct StoreEndpoint {
    /// Where it listens.
    pub address: SocketAddr,
    mode: Arc<Mutex<StoreMode>>,
    _server: WireServer,
}

impl StoreEndpoint {
    /// Sets how calls at this address are treated.
    pub fn set_mode(&self, mode: StoreMode) {
        *lock(&self.mode) = mode;
    }
}

impl PlatformStore {
    /// Opens another address of the same store.
    ///
    /// # Errors
    ///
    /// No port or thread can be had.
    pub fn open(&self) -> io::Result<StoreEndpoint> {
        let mode = Arc::new(Mutex::new(StoreMode::Serving));
        let (core, current) = (Arc::clone(&self.core), Arc::clone(&mode));
        let server = WireServer::start(Arc::new(move |request| {
            let mode = *lock(&current);
            match mode {
                StoreMode::Serving => lock(&core).answer(request),
                StoreMode::Busy => refuse(503),
                StoreMode::Limited => refuse(429),
                StoreMode::Reset => vec![Step::Close],
                StoreMode::Silent => vec![Step::Silence],
                StoreMode::Endless => vec![
                    Step::Write(chunked_head(200, &[])),
                    Step::Repeat("0".repeat(4_096).into()),
                ],
                StoreMode::Foreign { status, body } => {
                    vec![Step::Write(full_response(status, &[], body.as_bytes()))]
                }
                StoreMode::Cut => {
                    let mut core = lock(&core);
                    let length = core.cuts / 2;
                    core.cuts += 1;
                    cut(core.answer(request), length)
                }
            }
        }))?;
        Ok(StoreEndpoint {
            address: server.address,
            mode,
            _server: server,
        })
    }

    /// Writes a record as an operator or a backend server does.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        self.put_bytes(topic, key, value.as_bytes());
    }

    /// Writes a record with any bytes.
    pub fn put_bytes(&self, topic: &str, key: &str, value: &[u8]) {
        self.put_in(topic, 0, key, value);
    }

    /// Writes a record under a key that need not be UTF-8.
    pub fn put_key(&self, topic: &str, key: &[u8], value: &str) {
        self.append(topic, 0, key, value.as_bytes());
    }

    /// Writes a record with any bytes to a partition.
    pub fn put_in(&self, topic: &str, partition: u32, key: &str, value: &[u8]) {
        self.append(topic, partition, key.as_bytes(), value);
    }

    fn append(&self, topic: &str, partition: u32, key: &[u8], value: &[u8]) {
        let record = StoredRecord {
            key: key.to_vec(),
            value: Bytes::copy_from_slice(value),
        };
        let mut core = lock(&self.core);
        let partition = core
            .partitions
            .entry((topic.to_owned(), partition))
            .or_default();
        partition.append(record);
    }

    /// Drops a key as a server that leaves does.
    pub fn remove(&self, topic: &str, key: &str) {
        self.put(topic, key, "");
    }

    /// Gives the next append this fault; several apply to appends one after the other.
    pub fn inject_append_fault(&self, fault: AppendFault) {
        lock(&self.core).faults.push(fault);
    }

    /// Sets how long each answer takes.
    pub fn set_delay(&self, delay: Duration) {
        lock(&self.core).delay = delay;
    }

    /// Refuses with 429 what exceeds this number of reads in a second.
    pub fn limit_reads(&self, reads_per_s: u32) {
        lock(&self.core).read_limit = Some(ReadLimit {
            reads_per_s,
            second_began: Instant::now(),
            reads: 0,
            refused: 0,
        });
    }

    /// Returns how many reads the current limit has refused.
    #[must_use]
    pub fn refused_reads(&self) -> u64 {
        let core = lock(&self.core);
        core.read_limit.as_ref().map_or(0, |limit| limit.refused)
    }

    /// Stops answering calls for one topic, or answers all again.
    pub fn silence_topic(&self, topic: Option<&str>) {
        lock(&self.core).silent_topic = topic.map(str::to_owned);
    }

    /// Does not answer the next `count` reads of a topic, long polls included.
    pub fn lose_reads(&self, topic: &str, count: u32) {
        lock(&self.core).lost_reads.insert(topic.to_owned(), count);
    }

    /// Sets how many records one page of newest records has.
    pub fn set_page_items(&self, items: usize) {
        lock(&self.core).pages.items = items;
    }

    /// Sets the order in which pages have the newest records.
    pub fn set_page_order(&self, order: PageOrder) {
        lock(&self.core).pages.order = order;
    }

    /// Damages the item of a key in all pages.
    pub fn damage_item(&self, key: &str, damage: ItemDamage) {
        let damaged = &mut lock(&self.core).pages.damaged;
        damaged.insert(key.as_bytes().to_vec(), damage);
    }

    /// Drops the history of all topics; the newest record of each key stays.
    pub fn discard_history(&self) {
        for partition in lock(&self.core).partitions.values_mut() {
            partition.first = partition.end();
        }
    }

    /// Returns the number of responses that were cut.
    #[must_use]
    pub fn count_cuts(&self) -> usize {
        lock(&self.core).cuts
    }

    /// Returns the number of calls whose query was malformed.
    #[must_use]
    pub fn count_malformed(&self) -> usize {
        lock(&self.core).malformed
    }

    /// The keys in all partitions of the topics whose names begin so.
    #[must_use]
    pub fn keys(&self, topic_start: &str) -> Vec<String> {
        let core = lock(&self.core);
        let partitions = core.partitions.iter();
        partitions
            .filter(|((topic, _), _)| topic.starts_with(topic_start))
            .flat_map(|(_, partition)| partition.newest.keys())
            .map(|key| String::from_utf8_lossy(key).into_owned())
            .collect()
    }

    /// Returns the newest value of a key in the first partition of a topic.
    #[must_use]
    pub fn newest_value(&self, topic: &str, key: &str) -> Option<Vec<u8>> {
        let core = lock(&self.core);
        let partition = core.partitions.get(&(topic.to_owned(), 0))?;
        let (_, value) = partition.newest.get(key.as_bytes())?;
        Some(value.to_vec())
    }

    /// How many calls came to a path.
    #[must_use]
    pub fn calls(&self, path: &str) -> u64 {
        lock(&self.core).calls.get(path).copied().unwrap_or(0)
    }
}

impl StoreCore {
    fn answer(&mut self, request: &WireRequest) -> Script {
        for late in std::mem::take(&mut self.later) {
            self.append(&late);
        }
        if request.waited.is_zero() {
            *self.calls.entry(request.path.clone()).or_default() += 1;
        }
        if request.method == "GET"
            && request.waited.is_zero()
            && let Some(limit) = &mut self.read_limit
            && !limit.allows(Instant::now())
        {
            return refuse(429);
        }
        let Some(query) = request.query.as_ref().filter(|query| is_known(query)) else {
            self.malformed += 1;
            return refuse(400);
        };
        if self.silent_topic.is_some() && self.silent_topic == text(query, "Topic") {
            return vec![Step::Silence];
        }
        if self.loses_read(request) {
            return vec![Step::Silence];
        }
        let mut script = vec![Step::Pause(self.delay)];
        match request.path.rsplit('/').next() {
            Some("log-append") => {
                let fault = if self.faults.is_empty() {
                    None
                } else {
                    Some(self.faults.remove(0))
                };
                match fault {
                    Some(AppendFault::Postpone) => {
                        self.later.push(request.clone());
                        return vec![Step::Silence];
                    }
                    Some(AppendFault::LoseResponse) => {
                        self.append(request);
                        return vec![Step::Silence];
                    }
                    Some(AppendFault::CutResponse) => {
                        script.push(Step::Write("HTTP/1.1 200 OK\r\n\r\n".into()));
                        script.push(Step::Close);
                    }
                    None => script.push(Step::Write(self.append(request))),
                }
            }
            Some("log-read") if self.has_to_wait(request) => return vec![Step::Retry(LOOK)],
            Some("log-read") => script.push(Step::Write(self.read(request))),
            Some("log-newest") => script.push(Step::Write(self.newest(request))),
            _ => script.push(Step::Write(full_response(404, &[], b""))),
        }
        script
    }

    /// Whether a call is a read whose answer is to be lost.
    fn loses_read(&mut self, request: &WireRequest) -> bool {
        if request.method != "GET" {
            return false;
        }
        let topic = request
            .query
            .as_ref()
            .and_then(|query| text(query, "Topic"));
        let left = topic.and_then(|topic| self.lost_reads.get_mut(&topic));
        let Some(left) = left.filter(|left| **left > 0) else {
            return false;
        };
        *left -= 1;
        true
    }

    fn append(&mut self, request: &WireRequest) -> Bytes {
        let Some(id) = partition_id(request) else {
            return full_response(400, &[], b"");
        };
        let partition = self.partitions.entry(id).or_default();
        let end = partition.end();
        let at = number(request, "At");
        if at.is_some_and(|at| at != end) {
            return json_answer(412, &json!({ "End": end }));
        }
        let Some(records) = split_records(&request.body) else {
            return full_response(400, &[], b"");
        };
        for record in records {
            partition.append(record);
        }
        json_answer(200, &json!({ "Offset": end, "End": partition.end() }))
    }

    /// Whether the answer to a read is held back until there is something new.
    fn has_to_wait(&self, request: &WireRequest) -> bool {
        let wait = Duration::from_millis(number(request, "WaitMs").unwrap_or(0));
        let end = partition_id(request)
            .and_then(|id| self.partitions.get(&id))
            .map_or(0, Partition::end);
        request.waited < wait && number(request, "From").unwrap_or(0) >= end
    }

    fn read(&self, request: &WireRequest) -> Bytes {
        let empty = Partition::default();
        let id = partition_id(request).unwrap_or_default();
        let partition = self.partitions.get(&id).unwrap_or(&empty);
        let from = number(request, "From").unwrap_or(0);
        if from < partition.first {
            return json_answer(410, &json!({ "First": partition.first }));
        }
        let mut body = BytesMut::new();
        body.put_u64(partition.end());
        body.put_u64(partition.first);
        partition.write_from(from, &mut body);
        full_response(200, &[("content-type", "application/octet-stream")], &body)
    }

    fn newest(&self, request: &WireRequest) -> Bytes {
        let empty = Partition::default();
        let id = partition_id(request).unwrap_or_default();
        let partition = self.partitions.get(&id).unwrap_or(&empty);
        let query = request.query.as_ref();
        let after = query.and_then(|query| query.get("after"));
        let page = partition.page(&self.pages, after.map(Vec::as_slice));
        json_answer(200, &page)
    }
}

/// Cuts an answer after `length` bytes; one that is shorter is whole.
fn cut(answer: Script, length: usize) -> Script {
    let is_reset = length % 2 == 1;
    let mut steps = answer.into_iter();
    match steps.next() {
        Some(Step::Write(bytes)) if length < bytes.len() => vec![
            Step::Write(bytes.slice(..length)),
            if is_reset { Step::Reset } else { Step::Close },
        ],
        Some(first) => [first].into_iter().chain(steps).collect(),
        None => Script::new(),
    }
}

fn partition_id(request: &WireRequest) -> Option<PartitionId> {
    let query = request.query.as_ref()?;
    Some((text(query, "Topic")?, text(query, "part")?.parse().ok()?))
}

fn number(request: &WireRequest, name: &str) -> Option<u64> {
    text(request.query.as_ref()?, name)?.parse().ok()
}

fn text(query: &QueryValues, name: &str) -> Option<String> {
    String::from_utf8(query.get(name)?.clone()).ok()
}

/// Returns whether a query has no parameters but those of the store.
fn is_known(query: &QueryValues) -> bool {
    query.keys().all(|name| PARAMETERS.contains(&name.as_str()))
}

fn split_records(mut body: &[u8]) -> Option<Vec<StoredRecord>> {
    let mut records = Vec::new();
    while let Some((length, rest)) = body.split_first_chunk::<4>() {
        let (record, rest) = rest.split_at_checked(u32::from_be_bytes(*length) as usize)?;
        let (key_length, record) = record.split_first()?;
        let (key, value) = record.split_at_checked(usize::from(*key_length))?;
        records.push(StoredRecord {
            key: key.to_vec(),
            value: Bytes::copy_from_slice(value),
        });
        body = rest;
    }
    body.is_empty().then_some(records)
}

fn json_answer(status: u16, value: &serde_json::Value) -> Bytes {
    let headers = [("content-type", "application/json")];
    full_response(status, &headers, value.to_string().as_bytes())
}

fn refuse(status: u16) -> Script {
    vec![Step::Write(full_response(status, &[], b""))]
}
