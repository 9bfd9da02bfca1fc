//! Stand-ins for the platform's store, engines and clients, and a runner of gateway processes.
//!
//! They use the standard library only. Each case of the review includes this file as a module.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

/// The signals that a test sends.
pub const SIGTERM: i32 = 15;
pub const SIGKILL: i32 = 9;
pub const SIGSTOP: i32 = 19;
pub const SIGCONT: i32 = 18;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|err| err.into_inner())
}

/// Returns whether the disruption is to happen.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// The file `record.txt` of a case.
pub struct Log {
    file: Mutex<File>,
    start: Instant,
}

impl Log {
    pub fn create() -> Arc<Self> {
        let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".to_owned());
        Arc::new(Self {
            file: Mutex::new(File::create(path).expect("the record can be written")),
            start: Instant::now(),
        })
    }

    /// Writes a line with the time since the start.
    pub fn line(&self, text: &str) {
        let seconds = self.start.elapsed().as_secs_f64();
        let _ = writeln!(lock(&self.file), "{seconds:8.3} {text}");
    }

    /// Writes a line to the record and to the terminal.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}

/// The loopback address of machine `number` of this run.
pub fn machine_ip(number: u8) -> IpAddr {
    let run = (std::process::id() % 250) as u8 + 1;
    IpAddr::V4(Ipv4Addr::new(127, 90, run, number))
}

/// Returns a free port at an address.
pub fn free_address(ip: IpAddr) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    listener.local_addr().expect("an address")
}

// ---------------------------------------------------------------------------------------------
// HTTP

/// A message: a request or a response.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// The first line.
    pub start: String,
    /// The headers by lower-case name.
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
    /// Whether the whole body was received.
    pub is_complete: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let query = self.target().split_once('?')?.1;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .into_iter()
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value)
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        self.start
            .split(' ')
            .nth(1)
            .and_then(|s| s.parse().ok())
            .unwrap_or(0)
    }

    /// Returns the data of the events of a stream.
    pub fn events(&self) -> Vec<String> {
        let text = String::from_utf8_lossy(&self.body).into_owned();
        let lines = text.lines().filter_map(|line| line.strip_prefix("data: "));
        lines.map(str::to_owned).collect()
    }
}

/// Reads a message; `None` if the connection ends before its head is complete.
pub fn read_message(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    message.start = line.trim_end().to_owned();
    loop {
        line.clear();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let header = line.trim_end();
        if header.is_empty() {
            break;
        }
        if let Some((name, value)) = header.split_once(':') {
            let name = name.to_ascii_lowercase();
            message.headers.insert(name, value.trim().to_owned());
        }
    }
    if message.header("transfer-encoding") == "chunked" {
        message.is_complete = read_chunks(reader, &mut message.body).is_some();
    } else {
        let length: usize = message.header("content-length").parse().unwrap_or(0);
        message.body.resize(length, 0);
        message.is_complete = reader.read_exact(&mut message.body).is_ok();
    }
    Some(message)
}

fn read_chunks(reader: &mut BufReader<TcpStream>, body: &mut Vec<u8>) -> Option<()> {
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let size = usize::from_str_radix(line.trim(), 16).ok()?;
        let mut chunk = vec![0; size + 2];
        reader.read_exact(&mut chunk).ok()?;
        if size == 0 {
            return Some(());
        }
        body.extend_from_slice(&chunk[..size]);
    }
}

/// Serves connections with a thread each; `handle` answers a request and returns whether the
/// connection stays open.
pub fn serve<F>(listener: TcpListener, handle: F)
where
    F: Fn(&Message, &mut TcpStream) -> bool + Send + Sync + 'static,
{
    serve_until(listener, Arc::default(), handle);
}

/// Serves like [`serve`] until `has_ended` is set, as a process that exits then: its listener and all
/// of its connections are closed.
pub fn serve_until<F>(listener: TcpListener, has_ended: Arc<AtomicBool>, handle: F)
where
    F: Fn(&Message, &mut TcpStream) -> bool + Send + Sync + 'static,
{
    const POLL_INTERVAL: Duration = Duration::from_micros(500);
    let handle = Arc::new(handle);
    listener.set_nonblocking(true).expect("a listener");
    thread::spawn(move || {
        let mut open: Vec<TcpStream> = Vec::new();
        while !has_ended.load(Ordering::Relaxed) {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(POLL_INTERVAL);
                continue;
            };
            let _ = stream.set_nonblocking(false);
            let _ = stream.set_nodelay(true);
            let (Ok(mut write), Ok(kept)) = (stream.try_clone(), stream.try_clone()) else {
                continue;
            };
            open.push(kept);
            let handle = Arc::clone(&handle);
            thread::spawn(move || {
                let mut reader = BufReader::new(stream);
                while let Some(request) = read_message(&mut reader) {
                    if !request.is_complete || !handle(&request, &mut write) {
                        break;
                    }
                }
                let _ = write.shutdown(Shutdown::Both);
            });
        }
        drop(listener);
        for stream in open {
            let _ = stream.shutdown(Shutdown::Both);
        }
    });
}

/// Returns a response with a length.
pub fn response(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("HTTP/1.1 {status} status\r\n").into_bytes();
    for (name, value) in headers {
        bytes.extend(format!("{name}: {value}\r\n").bytes());
    }
    bytes.extend(format!("Content-Length: {}\r\n\r\n", body.len()).bytes());
    bytes.extend_from_slice(body);
    bytes
}

// ---------------------------------------------------------------------------------------------
// The platform's store

#[derive(Default)]
struct Partition {
    records: Vec<(String, Vec<u8>)>,
}

impl Partition {
    fn newest(&self) -> BTreeMap<&str, (usize, &[u8])> {
        let mut newest = BTreeMap::new();
        for (offset, (key, value)) in self.records.iter().enumerate() {
            newest.insert(key.as_str(), (offset, value.as_slice()));
        }
        newest.retain(|_, (_, value)| !value.is_empty());
        newest
    }
}

#[derive(Default)]
struct StoreState {
    partitions: BTreeMap<(String, u32), Partition>,
    /// The number of calls by second and kind, for the limits of the store.
    second: u64,
    reads: u64,
    writes: u64,
    refused: u64,
}

/// The platform's store, by PROTOCOL.md: a log with partitions and keyed topics.
pub struct Store {
    pub address: SocketAddr,
    state: Mutex<StoreState>,
    changed: Condvar,
    start: Instant,
    /// How long each answer takes.
    answer_time: Duration,
    writes_per_s: u64,
    reads_per_s: u64,
}

/// The most records and bytes of a page of the newest records.
const PAGE_RECORDS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;

impl Store {
    /// Starts the store of a small site: 4 ms an answer, 800 writing and 2,000 reading calls a second.
    pub fn start(ip: IpAddr) -> Arc<Self> {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let store = Arc::new(Self {
            address: listener.local_addr().expect("an address"),
            state: Mutex::default(),
            changed: Condvar::new(),
            start: Instant::now(),
            answer_time: Duration::from_millis(4),
            writes_per_s: 800,
            reads_per_s: 2_000,
        });
        let shared = Arc::clone(&store);
        serve(listener, move |request, stream| {
            let answer = shared.answer(request);
            stream.write_all(&answer).is_ok()
        });
        store
    }

    /// Writes a record as the operator or an engine does.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut state = lock(&self.state);
        let partition = state.partitions.entry((topic.to_owned(), 0)).or_default();
        partition
            .records
            .push((key.to_owned(), value.as_bytes().to_vec()));
        self.changed.notify_all();
    }

    /// Returns the number of calls beyond the limits, which were refused with 429.
    pub fn refused(&self) -> u64 {
        lock(&self.state).refused
    }

    fn answer(&self, request: &Message) -> Vec<u8> {
        let kind = request.path().rsplit('/').next().unwrap_or("").to_owned();
        if !self.is_within_limits(kind == "log-append") {
            return response(429, &[], b"");
        }
        let topic = request.query("Topic").unwrap_or("").to_owned();
        let part = request
            .query("part")
            .and_then(|part| part.parse().ok())
            .unwrap_or(0);
        let id = (topic, part);
        let answer = match kind.as_str() {
            "log-append" => self.append(id, request),
            "log-read" => self.read(id, request),
            "log-newest" => self.newest(id, request),
            _ => response(404, &[], b""),
        };
        thread::sleep(self.answer_time);
        answer
    }

    fn is_within_limits(&self, is_write: bool) -> bool {
        let mut state = lock(&self.state);
        let second = self.start.elapsed().as_secs();
        if state.second != second {
            (state.second, state.reads, state.writes) = (second, 0, 0);
        }
        let is_within = if is_write {
            state.writes += 1;
            state.writes <= self.writes_per_s
        } else {
            state.reads += 1;
            state.reads <= self.reads_per_s
        };
        state.refused += u64::from(!is_within);
        is_within
    }

    fn append(&self, id: (String, u32), request: &Message) -> Vec<u8> {
        let mut state = lock(&self.state);
        let partition = state.partitions.entry(id).or_default();
        let end = partition.records.len();
        let at: Option<usize> = request.query("At").and_then(|at| at.parse().ok());
        if at.is_some_and(|at| at != end) {
            return json(412, &format!("{{\"End\":{end}}}"));
        }
        let Some(records) = split_records(&request.body) else {
            return response(400, &[], b"");
        };
        partition.records.extend(records);
        let new_end = partition.records.len();
        self.changed.notify_all();
        json(200, &format!("{{\"Offset\":{end},\"End\":{new_end}}}"))
    }

    fn read(&self, id: (String, u32), request: &Message) -> Vec<u8> {
        let number = |name| {
            request
                .query(name)
                .and_then(|n| n.parse::<u64>().ok())
                .unwrap_or(0)
        };
        let from = number("From") as usize;
        let deadline = Instant::now() + Duration::from_millis(number("WaitMs"));
        let mut state = lock(&self.state);
        loop {
            let end = state.partitions.get(&id).map_or(0, |p| p.records.len());
            let now = Instant::now();
            if end > from || now >= deadline {
                break;
            }
            let waited = self.changed.wait_timeout(state, deadline - now);
            state = waited.unwrap_or_else(|err| err.into_inner()).0;
        }
        let empty = Partition::default();
        let partition = state.partitions.get(&id).unwrap_or(&empty);
        let mut body = (partition.records.len() as u64).to_be_bytes().to_vec();
        body.extend(0_u64.to_be_bytes());
        for (key, value) in partition.records.iter().skip(from) {
            if body.len() > PAGE_BYTES {
                break;
            }
            body.extend(((1 + key.len() + value.len()) as u32).to_be_bytes());
            body.push(key.len() as u8);
            body.extend_from_slice(key.as_bytes());
            body.extend_from_slice(value);
        }
        response(200, &[("Content-Type", "application/octet-stream")], &body)
    }

    fn newest(&self, id: (String, u32), request: &Message) -> Vec<u8> {
        let state = lock(&self.state);
        let empty = Partition::default();
        let partition = state.partitions.get(&id).unwrap_or(&empty);
        let after = request.query("after").unwrap_or("");
        let newest = partition.newest();
        let rest: Vec<_> = newest.into_iter().filter(|(key, _)| *key > after).collect();
        let mut items = Vec::new();
        let mut bytes = 0;
        for (key, (offset, value)) in &rest {
            if items.len() == PAGE_RECORDS || bytes > PAGE_BYTES {
                break;
            }
            bytes += value.len();
            let value = base64(value);
            items.push(format!(
                "{{\"Key\":\"{key}\",\"Value\":\"{value}\",\"Offset\":{offset}}}"
            ));
        }
        let has_more = items.len() < rest.len();
        let end = partition.records.len();
        let items = items.join(",");
        json(
            200,
            &format!("{{\"items\":[{items}],\"MorePages\":{has_more},\"End\":{end}}}"),
        )
    }
}

/// Splits the body of an append into keys and values; `None` if it is malformed.
fn split_records(mut rest: &[u8]) -> Option<Vec<(String, Vec<u8>)>> {
    let mut records = Vec::new();
    while !rest.is_empty() {
        let (length, after) = rest.split_first_chunk::<4>()?;
        let (record, after) = after.split_at_checked(u32::from_be_bytes(*length) as usize)?;
        let (key_length, record) = record.split_first()?;
        let (key, value) = record.split_at_checked(usize::from(*key_length))?;
        records.push((String::from_utf8_lossy(key).into_owned(), value.to_vec()));
        rest = after;
    }
    Some(records)
}

fn json(status: u16, body: &str) -> Vec<u8> {
    response(
        status,
        &[("Content-Type", "application/json")],
        body.as_bytes(),
    )
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::with_capacity(bytes.len().div_ceil(3) * 4);
    for chunk in bytes.chunks(3) {
        let byte = |at: usize| u32::from(chunk.get(at).copied().unwrap_or(0));
        let group = byte(0) << 16 | byte(1) << 8 | byte(2);
        for digit in 0..4 {
            if digit <= chunk.len() {
                let value = group >> (18 - 6 * digit) & 63;
                text.push(char::from(DIGITS[value as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}

// ---------------------------------------------------------------------------------------------
// Engines

/// A request that an engine has run.
#[derive(Debug, Clone)]
pub struct Run {
    pub engine: String,
    pub request: String,
    pub body: Vec<u8>,
}

/// All requests that engines have run.
#[derive(Default)]
pub struct Runs(Mutex<Vec<Run>>);

impl Runs {
    pub fn add(&self, engine: &str, request: &Message) {
        lock(&self.0).push(Run {
            engine: engine.to_owned(),
            request: request.header("request-id").to_owned(),
            body: request.body.clone(),
        });
    }

    /// Returns the runs of a request.
    pub fn of(&self, request: &str) -> Vec<Run> {
        let runs = lock(&self.0);
        runs.iter()
            .filter(|run| run.request == request)
            .cloned()
            .collect()
    }
}

/// A sound engine.
#[derive(Debug, Clone)]
pub struct Engine {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    /// The events of a stream.
    pub events: usize,
    /// The time before each event, or before an answer without events.
    pub pause: Duration,
}

impl Engine {
    /// Returns the engine's entry in the list of engines.
    pub fn entry(&self, state: &str) -> String {
        let Self {
            service, address, ..
        } = self;
        format!(
            "{{\"Service\":\"{service}\",\"Address\":\"{address}\",\"Zone\":\"z-1\",\
             \"Version\":\"v1\",\"Slots\":48,\"State\":\"{state}\",\"ColdLeftMs\":0,\"Seq\":1}}"
        )
    }

    /// Answers a request that every engine answers in the same way: a health check, or one that is
    /// meant for another engine; `None` if the engine has to run it.
    pub fn answer_without_run(&self, request: &Message) -> Option<Vec<u8>> {
        let own = [("Instance-Id", self.id.as_str())];
        if request.path() == "/healthz" {
            return Some(response(200, &own, b""));
        }
        let id = request.header("request-id");
        if id.is_empty() {
            return Some(response(400, &[("Not-Executed", "1")], b""));
        }
        let expected = request.header("expect-instance");
        if !expected.is_empty() && expected != self.id {
            let headers = [("Instance-Id", self.id.as_str()), ("Request-Id", id)];
            return Some(response(421, &headers, b""));
        }
        None
    }

    /// Writes the answer to a request that was run: a stream for a turn, else a short body.
    pub fn write_answer(&self, request: &Message, stream: &mut TcpStream) -> bool {
        let id = request.header("request-id");
        if request.header("token-usage").is_empty() {
            thread::sleep(self.pause);
            let headers = [("Request-Id", id), ("Server-Stamp", "s")];
            let body = format!("answer to {id}");
            return stream
                .write_all(&response(200, &headers, body.as_bytes()))
                .is_ok();
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: s\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        if stream.write_all(head.as_bytes()).is_err() {
            return false;
        }
        for number in 1..=self.events {
            thread::sleep(self.pause);
            let event = format!("id: {number}\ndata: {}\n\n", event_data(id, number));
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if stream.write_all(chunk.as_bytes()).is_err() {
                return false;
            }
        }
        stream.write_all(b"0\r\n\r\n").is_ok()
    }
}

/// Returns the data of an event.
pub fn event_data(id: &str, number: usize) -> String {
    format!("{id}.{number}")
}

/// Starts a sound engine and registers it.
pub fn start_engine(
    store: &Store,
    runs: &Arc<Runs>,
    ip: IpAddr,
    id: &str,
    service: &str,
    events: usize,
    pause: Duration,
) -> Engine {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    let engine = Engine {
        id: id.to_owned(),
        service: service.to_owned(),
        address: listener.local_addr().expect("an address"),
        events,
        pause,
    };
    let (own, runs) = (engine.clone(), Arc::clone(runs));
    serve(listener, move |request, stream| {
        if let Some(answer) = own.answer_without_run(request) {
            return stream.write_all(&answer).is_ok();
        }
        runs.add(&own.id, request);
        own.write_answer(request, stream)
    });
    store.put("keyed.servers", id, &engine.entry("ready"));
    engine
}

// ---------------------------------------------------------------------------------------------
// Clients

/// A client with an open connection to a gateway.
pub struct Client {
    reader: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(6)))?;
        Ok(Self {
            reader: BufReader::new(stream),
        })
    }

    /// Sends a request and reads its answer; `None` if none came.
    pub fn send(&mut self, request: &[u8]) -> Option<Message> {
        self.reader.get_mut().write_all(request).ok()?;
        read_message(&mut self.reader)
    }
}

/// A turn of a program.
#[derive(Debug, Clone, Default)]
pub struct TurnRequest<'a> {
    pub path: &'a str,
    pub id: &'a str,
    pub program: &'a str,
    /// The line of turns; that of the program itself if empty.
    pub session: &'a str,
    pub previous: Option<&'a str>,
    pub budget: u64,
    /// The most tokens of the turn.
    pub tokens: u64,
    pub program_deadline_ms: u64,
    pub input: &'a str,
}

/// The host of all routes.
pub const HOST: &str = "desk.example";

impl TurnRequest<'_> {
    pub fn bytes(&self) -> Vec<u8> {
        let Self {
            path,
            id,
            program,
            budget,
            tokens,
            program_deadline_ms,
            input,
            ..
        } = self;
        let previous = self
            .previous
            .map_or(String::new(), |id| format!("Previous-Turn: {id}\r\n"));
        let session = if self.session.is_empty() {
            program
        } else {
            &self.session
        };
        let length = input.len();
        format!(
            "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: 4000\r\n\
             Program-Id: {program}\r\nSession-Id: {session}\r\n\
             Program-Deadline-Ms: {program_deadline_ms}\r\nToken-Budget: {budget}\r\nModel: m\r\n\
             Token-Usage: 100,{tokens}\r\nPrompt-Prefix: aa:100,{program}:100\r\n{previous}\
             Content-Length: {length}\r\n\r\n{input}"
        )
        .into_bytes()
    }
}

/// Returns a new id, as clients and programs use them.
pub fn new_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let mut hash = number.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ u64::from(std::process::id());
    hash ^= hash >> 31;
    hash = hash.wrapping_mul(0xbf58_476d_1ce4_e5b9);
    format!("{:016x}", hash ^ (hash >> 29))
}

// ---------------------------------------------------------------------------------------------
// Gateways

/// A machine that runs a gateway with the command of the deploy file.
pub struct Machine {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
    directory: PathBuf,
    child: Option<Child>,
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
        let _ = fs::remove_dir_all(&self.directory);
    }
}

fn root() -> &'static Path {
    static ROOT: OnceLock<PathBuf> = OnceLock::new();
    ROOT.get_or_init(|| PathBuf::from(std::env::var("ROOT").expect("run.sh sets ROOT")))
}

/// Returns the value of a key of the gateway's role in the deploy file.
fn deploy_value(key: &str) -> String {
    let text = fs::read_to_string(root().join("deploy/system.toml")).expect("the deploy file");
    let section = text.split("[roles.gateway]").nth(1).expect("the role");
    let lines = section.lines().filter_map(|line| line.split_once(" = "));
    let mut values = lines.filter(|(name, _)| name.trim() == key);
    values
        .next()
        .expect("the key")
        .1
        .trim()
        .trim_matches('"')
        .to_owned()
}

fn open_to_append(path: &Path) -> File {
    let file = fs::OpenOptions::new().create(true).append(true).open(path);
    file.expect("a file of this run can be written")
}

impl Machine {
    /// Assigns addresses to a machine; its gateway is started later.
    pub fn new(number: u8) -> Self {
        let ip = machine_ip(number);
        let name = format!("edge-{number}");
        let run = std::process::id();
        let directory = std::env::temp_dir().join(format!("review-{run}-{name}"));
        fs::create_dir_all(&directory).expect("a temporary folder");
        Self {
            name,
            front: free_address(ip),
            ready: free_address(ip),
            control: free_address(ip),
            directory,
            child: None,
        }
    }

    /// Writes the settings from the project's template and starts the gateway.
    pub fn start(&mut self, store: SocketAddr, seeds: &[SocketAddr]) {
        let template = fs::read_to_string(root().join(deploy_value("template")));
        let seeds: Vec<String> = seeds.iter().map(ToString::to_string).collect();
        let values = [
            ("NodeName", self.name.clone()),
            ("Zone", "z-1".to_owned()),
            ("Listen.Front", self.front.to_string()),
            ("Listen.Ready", self.ready.to_string()),
            ("Listen.Control", self.control.to_string()),
            ("Ip", self.front.ip().to_string()),
            ("Seeds", seeds.join(",")),
            ("Provider.Address", store.to_string()),
            ("Provider.parts", "24".to_owned()),
            ("Provider.RecordBytes", "262144".to_owned()),
            ("Provider.CallBytes", "2097152".to_owned()),
        ];
        let mut settings = template.expect("the template");
        for (name, value) in values {
            settings = settings.replace(&format!("{{{{{name}}}}}"), &value);
        }
        assert!(
            !settings.contains("{{"),
            "a placeholder is not filled in: {settings}"
        );
        let path = self.directory.join("local.ini");
        fs::write(&path, settings).expect("the settings can be written");
        let log = open_to_append(&self.directory.join("log"));
        let run = deploy_value("run");
        let mut words = run.split(' ');
        let mut command = Command::new(root().join(words.next().expect("a program")));
        command.args(words).current_dir(root()).env_clear();
        command.env("CLEMENTINEPICK_BOOT", &path);
        command
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("the log"))
            .stderr(log);
        let child = command.spawn().expect("the gateway starts; was it built?");
        if let Ok(pids) = std::env::var("PIDS") {
            let _ = writeln!(open_to_append(Path::new(&pids)), "{}", child.id());
        }
        self.child = Some(child);
    }

    pub fn is_ready(&self) -> bool {
        let request =
            b"GET /clementinepick/readyz HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
        let client = Client::connect(self.ready);
        let answer = client.ok().and_then(|mut client| client.send(request));
        answer.is_some_and(|answer| answer.status() == 200)
    }

    /// Waits until the gateway is ready; returns false if it is not in time.
    pub fn wait_until_ready(&self) -> bool {
        wait_until(Duration::from_secs(15), || self.is_ready())
    }

    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            // SAFETY: the process was started here and was not waited for.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Waits until the process has ended; returns false if it has not in time.
    pub fn wait_until_ended(&mut self, limit: Duration) -> bool {
        let Some(mut child) = self.child.take() else {
            return true;
        };
        let has_ended = wait_until(limit, || matches!(child.try_wait(), Ok(Some(_))));
        if !has_ended {
            self.child = Some(child);
        }
        has_ended
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns the id of the process, 0 if none runs.
    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Returns the process's log.
    pub fn log(&self) -> String {
        fs::read_to_string(self.directory.join("log")).unwrap_or_default()
    }
}

pub fn wait_until(limit: Duration, condition: impl FnMut() -> bool) -> bool {
    let mut condition = condition;
    let end = Instant::now() + limit;
    loop {
        if condition() {
            return true;
        }
        if Instant::now() >= end {
            return false;
        }
        thread::sleep(Duration::from_millis(20));
    }
}

/// Starts machines that know each other and waits until all are ready; exits with 2 if they are not.
pub fn start_machines(count: u8, store: &Store, log: &Log) -> Vec<Machine> {
    let mut machines: Vec<Machine> = (1..=count).map(Machine::new).collect();
    let seeds: Vec<SocketAddr> = machines.iter().map(|machine| machine.control).collect();
    for machine in &mut machines {
        machine.start(store.address, &seeds);
    }
    for machine in &machines {
        if !machine.wait_until_ready() {
            log.say(&format!("{} did not become ready", machine.name));
            drop(machines);
            std::process::exit(2);
        }
        log.line(&format!(
            "{} is ready, front {}",
            machine.name, machine.front
        ));
    }
    machines
}
