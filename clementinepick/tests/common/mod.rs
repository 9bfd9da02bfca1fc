//! Simulates entries and sidecars in virtual time, with an in-memory log, scripted backend servers
//! and links that can be cut.
//!
//! Inputs are delivered in the order of their time and then of their scheduling, so that every run
//! of a test is the same.

#![allow(dead_code, reason = "each test file uses only a part of the harness")]

use std::collections::{BTreeMap, BTreeSet};

use clementinepick::call::{
    AnswerPart, CallDone, ChatCall, ChatMessage, Fetch, FinishReason, Payload, PlainAnswer,
    PlainCall, Request, Usage,
};
use clementinepick::entry::{Entry, EntryAction, EntryInput, EntrySettings};
use clementinepick::error::CallError;
use clementinepick::event::EventKind;
use clementinepick::ids::{
    CallSeq, Incarnation, Offset, OperationId, ProgramId, RecordId, RequestId, Revision, VmId,
};
use clementinepick::journal::{AppendOutcome, JournalAction};
use clementinepick::message::{Message, Peer};
use clementinepick::partition_replay::{Effect, Partitions};
use clementinepick::platform::{
    EngineOrder, EngineState, GenerateBody, OrderBody, ReadResponse, StoredRecord, StreamName,
};
use clementinepick::prompt::ChainHash;
use clementinepick::prompt::{Prompt, Segment};
use clementinepick::record::{EndReason, PartitionRecord, Record, RecordBody};
use clementinepick::safeguards::Safeguards;
use clementinepick::sidecar::{
    BackendEvent, Sidecar, SidecarAction, SidecarInput, SidecarSettings,
};
use clementinepick::units::{SpanUs, TimeUs, Tokens};

const TICK_INTERVAL_US: u64 = 10_000;
const LINK_DELAY_US: u64 = 1_000;
const RECONNECT_DELAY_US: u64 = 100_000;

pub const ENGINE_DOCUMENT: &str = "[service]\nname = llm\nkind = engine\n[class c]\nrank = 1\n\
    deadline = 20 s\nmax_output = 100\n[program]\nbudget_tokens = 16000\nbudget_calls = 160\n\
    gap = 2 s\nidle = 1200 s\n";
pub const PLAIN_DOCUMENT: &str = "[service]\nname = book\nkind = plain\n[class c]\nrank = 1\n\
    deadline = 20 s\n[program]\nbudget_calls = 50\n[route POST /]\nidempotent = no\n[route POST /check]\nidempotent = yes\n";

/// How the log handles appends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogMode {
    Up,
    Down,
    /// Appends take effect, but their responses are lost.
    ResponsesLost,
    /// Appends are lost, and the writer can't tell whether they took effect.
    AppendsLost,
}

pub struct Log {
    pub records: BTreeMap<StreamName, Vec<String>>,
    pub earliest: BTreeMap<StreamName, u64>,
    pub mode: LogMode,
    /// Reads fail, regardless of `mode`.
    pub reads_down: bool,
    pub append_us: u64,
    pub appends: u64,
    pub appended_records: u64,
    /// The VMs whose processes can't reach the log.
    pub isolated_vms: BTreeSet<VmId>,
}

/// The scripted behaviour of a backend server, and what it has received.
#[derive(Debug, Clone)]
pub struct Backend {
    /// The time from the start of a call to its answer; `None` holds every call until
    /// [`World::complete_held_calls`].
    pub delay_us: Option<u64>,
    /// The number of tokens that a turn generates, regardless of the requested limit.
    pub tokens: Option<u64>,
    /// The number of next calls that fail after their start.
    pub failures: u32,
    /// The started calls, in order: the path with the body, or the last message of a turn.
    pub runs: Vec<String>,
    held_attempts: Vec<StartedAttempt>,
    /// The programs with a prefix in the cache.
    pub cached: BTreeSet<ProgramId>,
    /// Prefixes in the cache that were never reported to the sidecar.
    pub unreported: BTreeSet<ChainHash>,
    /// Whether the server carries out and confirms releases.
    pub confirms_releases: bool,
    /// The state of the engine; `None` if it takes no orders.
    pub engine: Option<EngineState>,
    /// The duration of an order.
    pub order_us: u64,
    /// The orders that the engine has received.
    pub orders: Vec<EngineOrder>,
    /// When the last started call ends.
    calls_end_us: u64,
    /// When the last started order ends.
    order_end_us: u64,
}

#[derive(Debug, Clone)]
enum StartedAttempt {
    Turn(Box<GenerateBody>),
    Call(clementinepick::ids::AttemptId, PlainCall),
}

#[derive(Debug, Clone)]
enum Input {
    Entry(EntryInput),
    Sidecar(SidecarInput),
    Reconnect(VmId),
}

enum Process {
    Entry(Box<Entry>),
    Sidecar(Box<Sidecar>),
}

struct Host {
    process: Option<Process>,
    incarnation: u64,
    is_paused: bool,
    pending: Vec<Input>,
}

#[derive(Debug, Clone, Default)]
pub struct Answer {
    /// The requested position of the text.
    pub start_position: u64,
    pub text: String,
    pub plain: Option<PlainAnswer>,
    pub done: Option<CallDone>,
    pub failed: Option<CallError>,
    pub at_us: u64,
    /// How many final parts arrived; never above 1.
    pub end_count: u32,
}

impl Answer {
    pub fn code(&self) -> &str {
        match (&self.done, &self.failed) {
            (Some(_), _) => "done",
            (None, Some(error)) => error.kind.response().code,
            (None, None) => "open",
        }
    }
}

pub struct World {
    pub now_us: u64,
    hosts: BTreeMap<VmId, Host>,
    links: BTreeSet<(VmId, VmId)>,
    cut_links: BTreeSet<(VmId, VmId)>,
    queue: BTreeMap<(u64, u64), (VmId, u64, Input)>,
    scheduled_inputs: u64,
    next_tick_us: u64,
    next_request_id: u128,
    pub log: Log,
    pub backends: BTreeMap<VmId, Backend>,
    pub answers: BTreeMap<RequestId, Answer>,
    pub events: Vec<(u64, VmId, EventKind)>,
    pub safeguards: Safeguards,
    pub configure_entry: fn(&mut EntrySettings),
    /// Selects messages that are dropped instead of delivered.
    pub should_drop: fn(&Message) -> bool,
    /// Pairs of a sender and a receiver: all messages between them are dropped in this direction,
    /// while their link stays up.
    pub blackholed: BTreeSet<(VmId, VmId)>,
    /// The bytes and the messages that each process has sent over its links.
    pub sent_bytes: BTreeMap<VmId, (u64, u64)>,
}

pub fn vm(name: &str) -> VmId {
    name.parse().expect("valid name")
}

pub fn program(name: &str) -> ProgramId {
    name.parse().expect("valid name")
}

impl World {
    /// Starts entries `e0`, `e1`, ... and sidecars: `g0`, ... of engines and `b0`, ... of the plain
    /// service.
    pub fn new(entries: usize, engines: usize, plain: usize) -> Self {
        Self::with_settings(entries, engines, plain, Safeguards::default(), |_| {})
    }

    pub fn without_safeguard(
        safeguard: &str,
        entries: usize,
        engines: usize,
        plain: usize,
    ) -> Self {
        let safeguards = Safeguards::without(safeguard).expect("known safeguard");
        Self::with_settings(entries, engines, plain, safeguards, |_| {})
    }

    pub fn with_settings(
        entries: usize,
        engines: usize,
        plain: usize,
        safeguards: Safeguards,
        configure_entry: fn(&mut EntrySettings),
    ) -> Self {
        let mut world = Self {
            now_us: 1_000_000,
            hosts: BTreeMap::new(),
            links: BTreeSet::new(),
            cut_links: BTreeSet::new(),
            queue: BTreeMap::new(),
            scheduled_inputs: 0,
            next_tick_us: 1_000_000,
            next_request_id: 1,
            log: Log {
                records: StreamName::ALL
                    .into_iter()
                    .map(|s| (s, Vec::new()))
                    .collect(),
                earliest: StreamName::ALL.into_iter().map(|s| (s, 0)).collect(),
                mode: LogMode::Up,
                reads_down: false,
                append_us: 5_000,
                appends: 0,
                appended_records: 0,
                isolated_vms: BTreeSet::new(),
            },
            backends: BTreeMap::new(),
            answers: BTreeMap::new(),
            events: Vec::new(),
            safeguards,
            configure_entry,
            should_drop: |_| false,
            blackholed: BTreeSet::new(),
            sent_bytes: BTreeMap::new(),
        };
        for (operation, text) in [(1, ENGINE_DOCUMENT), (2, PLAIN_DOCUMENT)] {
            world.publish(operation, 0, text);
        }
        let names = (0..engines).map(|n| format!("g{n}"));
        let names = names.chain((0..plain).map(|n| format!("b{n}")));
        for name in names.chain((0..entries).map(|n| format!("e{n}"))) {
            world.start(&name);
        }
        world.run_ms(500);
        world
    }

    /// Appends a publication that replaces the revision `base`.
    pub fn publish(&mut self, operation: u128, base: u64, text: &str) {
        let document = clementinepick::document::Document::parse(text).expect("valid document");
        let record = Record {
            id: RecordId(operation),
            writer: vm("operator"),
            incarnation: Incarnation(1),
            body: RecordBody::Publish {
                operation: OperationId(operation),
                service: document.service,
                base: Revision(base),
                document: text.to_owned(),
            },
        };
        let text = serde_json::to_string(&record).expect("serializable");
        let stream = self.log.records.get_mut(&StreamName::Config);
        stream.expect("known stream").push(text);
    }

    /// Starts a process, or restarts it with the next incarnation.
    pub fn start(&mut self, name: &str) {
        let id = vm(name);
        let incarnation = self.hosts.get(&id).map_or(1, |host| host.incarnation + 1);
        let unique_incarnation =
            Incarnation(u64::from(id.as_str().as_bytes()[1]) * 1_000 + incarnation);
        let zone = "z".parse().expect("valid name");
        let process = if name.starts_with('e') {
            let mut settings = EntrySettings::new(id.clone(), unique_incarnation, zone);
            settings.partition_count = 8;
            settings.startup_claim_delay_us = SpanUs::from_s(3_600);
            settings.safeguards = self.safeguards.clone();
            (self.configure_entry)(&mut settings);
            Process::Entry(Box::new(Entry::new(settings)))
        } else {
            let service = if name.starts_with('g') { "llm" } else { "book" };
            let service = service.parse().expect("valid name");
            let mut settings = SidecarSettings::new(id.clone(), unique_incarnation, zone, service);
            settings.safeguards = self.safeguards.clone();
            self.backends.entry(id.clone()).or_insert(Backend {
                delay_us: Some(20_000),
                tokens: None,
                failures: 0,
                runs: Vec::new(),
                held_attempts: Vec::new(),
                cached: BTreeSet::new(),
                unreported: BTreeSet::new(),
                confirms_releases: true,
                engine: None,
                order_us: 2_000_000,
                orders: Vec::new(),
                calls_end_us: 0,
                order_end_us: 0,
            });
            Process::Sidecar(Box::new(Sidecar::new(settings)))
        };
        let host = Host {
            process: Some(process),
            incarnation,
            is_paused: false,
            pending: Vec::new(),
        };
        self.hosts.insert(id.clone(), host);
        if name.starts_with('g') {
            self.send_engine_state(&id, LINK_DELAY_US);
        }
        self.connect_all(&id);
    }

    fn connect_all(&mut self, id: &VmId) {
        let others: Vec<VmId> = self.hosts.keys().filter(|o| *o != id).cloned().collect();
        for other in others {
            self.connect(id, &other);
        }
    }

    fn connect(&mut self, a: &VmId, b: &VmId) {
        let is_entry = |id: &VmId| id.as_str().starts_with('e');
        let link = link_key(a, b);
        let is_running = |id: &VmId| self.hosts[id].process.is_some() && !self.hosts[id].is_paused;
        if !(is_entry(a) || is_entry(b))
            || !is_running(a)
            || !is_running(b)
            || self.cut_links.contains(&link)
        {
            return;
        }
        if !self.links.insert(link) {
            return;
        }
        for (id, other) in [(a, b), (b, a)] {
            let peer = self.peer(other);
            let input = match self.hosts[id].process {
                Some(Process::Entry(_)) => Input::Entry(EntryInput::LinkUp(peer)),
                _ => Input::Sidecar(SidecarInput::LinkUp(peer)),
            };
            self.schedule(LINK_DELAY_US, id, input);
        }
    }

    fn peer(&self, id: &VmId) -> Peer {
        match self.hosts[id].process.as_ref().expect("process is running") {
            Process::Entry(entry) => entry.peer(),
            Process::Sidecar(sidecar) => sidecar.peer(),
        }
    }

    fn disconnect(&mut self, a: &VmId, b: &VmId) {
        if !self.links.remove(&link_key(a, b)) {
            return;
        }
        for (id, other) in [(a, b), (b, a)] {
            let is_entry = id.as_str().starts_with('e');
            let down = if is_entry {
                Input::Entry(EntryInput::LinkDown(other.clone()))
            } else {
                Input::Sidecar(SidecarInput::LinkDown(other.clone()))
            };
            self.schedule(LINK_DELAY_US, id, down);
        }
        self.schedule(RECONNECT_DELAY_US, a, Input::Reconnect(b.clone()));
        self.schedule(RECONNECT_DELAY_US, b, Input::Reconnect(a.clone()));
    }

    /// Kills a process and breaks its links.
    pub fn kill(&mut self, name: &str) {
        let id = vm(name);
        self.hosts.get_mut(&id).expect("known host").process = None;
        let others: Vec<VmId> = self.hosts.keys().cloned().collect();
        for other in others {
            self.disconnect(&id, &other);
        }
        // Messages from the process are still delivered; those to it are lost.
        self.queue.retain(|_, (to, _, _)| *to != id);
    }

    /// Pauses a process without breaking its links.
    pub fn pause(&mut self, name: &str) {
        self.hosts.get_mut(&vm(name)).expect("known host").is_paused = true;
    }

    /// Resumes a paused process, which first handles the inputs that arrived meanwhile.
    pub fn resume(&mut self, name: &str) {
        let id = vm(name);
        let host = self.hosts.get_mut(&id).expect("known host");
        host.is_paused = false;
        let (pending, incarnation) = (std::mem::take(&mut host.pending), host.incarnation);
        for input in pending {
            self.deliver(&id, incarnation, input);
        }
    }

    /// Breaks the link between two processes until [`World::restore_link`].
    pub fn cut_link(&mut self, a: &str, b: &str) {
        let (a, b) = (vm(a), vm(b));
        self.cut_links.insert(link_key(&a, &b));
        self.disconnect(&a, &b);
    }

    pub fn restore_link(&mut self, a: &str, b: &str) {
        let (a, b) = (vm(a), vm(b));
        self.cut_links.remove(&link_key(&a, &b));
        self.connect(&a, &b);
    }

    fn schedule(&mut self, delay_us: u64, to: &VmId, input: Input) {
        let incarnation = self.hosts[to].incarnation;
        self.scheduled_inputs += 1;
        let key = (self.now_us + delay_us, self.scheduled_inputs);
        self.queue.insert(key, (to.clone(), incarnation, input));
    }

    /// Advances virtual time.
    pub fn run_ms(&mut self, ms: u64) {
        let end_us = self.now_us + ms * 1_000;
        loop {
            let next = self.queue.first_key_value().map(|((at, _), _)| *at);
            let at_us = next.map_or(self.next_tick_us, |at| at.min(self.next_tick_us));
            if at_us > end_us {
                break;
            }
            self.now_us = at_us;
            if next.is_some_and(|at| at <= self.next_tick_us) {
                let (_, (to, incarnation, input)) =
                    self.queue.pop_first().expect("an input is due");
                self.deliver(&to, incarnation, input);
            } else {
                self.next_tick_us += TICK_INTERVAL_US;
                self.tick();
            }
        }
        self.now_us = end_us;
    }

    /// Advances virtual time until `done` holds; panics after `limit_ms`.
    pub fn run_until(&mut self, limit_ms: u64, what: &str, done: impl Fn(&Self) -> bool) {
        let end_us = self.now_us + limit_ms * 1_000;
        while !done(self) {
            assert!(self.now_us < end_us, "{what}: not within {limit_ms} ms");
            self.run_ms(1);
        }
    }

    fn tick(&mut self) {
        let ids: Vec<VmId> = self.hosts.keys().cloned().collect();
        for id in ids {
            if self.hosts[&id].is_paused {
                continue;
            }
            let incarnation = self.hosts[&id].incarnation;
            let input = match self.hosts[&id].process {
                Some(Process::Entry(_)) => Input::Entry(EntryInput::Tick),
                Some(Process::Sidecar(_)) => Input::Sidecar(SidecarInput::Tick),
                None => continue,
            };
            self.deliver(&id, incarnation, input);
        }
    }

    fn deliver(&mut self, to: &VmId, incarnation: u64, input: Input) {
        let host = self.hosts.get_mut(to).expect("known host");
        if host.incarnation != incarnation || host.process.is_none() {
            return;
        }
        if host.is_paused {
            host.pending.push(input);
            return;
        }
        let now = TimeUs(self.now_us);
        match (&mut host.process, input) {
            (Some(Process::Entry(entry)), Input::Entry(input)) => {
                let mut out = Vec::new();
                entry.handle(now, input, &mut out);
                for action in out {
                    self.on_entry_action(to, action);
                }
            }
            (Some(Process::Sidecar(sidecar)), Input::Sidecar(input)) => {
                let mut out = Vec::new();
                sidecar.handle(now, input, &mut out);
                for action in out {
                    self.on_sidecar_action(to, action);
                }
            }
            (_, Input::Reconnect(other)) => self.connect(&to.clone(), &other),
            _ => {}
        }
    }

    fn send(&mut self, from: &VmId, to: &VmId, message: &Message) {
        if !self.links.contains(&link_key(from, to)) || (self.should_drop)(message) {
            return;
        }
        let mut bytes = Vec::new();
        ciborium::into_writer(message, &mut bytes).expect("encodable");
        let sent = self.sent_bytes.entry(from.clone()).or_default();
        *sent = (sent.0 + bytes.len() as u64, sent.1 + 1);
        if self.blackholed.contains(&(from.clone(), to.clone())) {
            return;
        }
        let message: Message = ciborium::from_reader(&bytes[..]).expect("decodable");
        let from = from.clone();
        let input = if to.as_str().starts_with('e') {
            Input::Entry(EntryInput::Link { from, message })
        } else {
            Input::Sidecar(SidecarInput::Link { from, message })
        };
        self.schedule(LINK_DELAY_US, to, input);
    }

    fn on_entry_action(&mut self, id: &VmId, action: EntryAction) {
        match action {
            EntryAction::Send { to, message } => self.send(id, &to, &message),
            EntryAction::Disconnect(other) => self.disconnect(id, &other),
            EntryAction::Answer { request, part } => self.on_answer(request, part),
            EntryAction::Log(action) => self.on_log(id, action),
            EntryAction::Event(event) => self.events.push((self.now_us, id.clone(), event.kind)),
            EntryAction::Finished => {
                self.kill(&id.to_string());
            }
            EntryAction::Connect(_) => {}
        }
    }

    fn on_answer(&mut self, request: RequestId, part: AnswerPart) {
        let answer = self.answers.entry(request).or_default();
        assert_eq!(
            answer.end_count, 0,
            "{request}: received {part:?} after the end of the answer"
        );
        match part {
            AnswerPart::Text { position, text } => {
                let expected = answer.start_position + answer.text.chars().count() as u64;
                assert_eq!(position, expected, "{request}: wrong position of text");
                answer.text.push_str(&text);
            }
            AnswerPart::Plain(plain) => answer.plain = Some(plain),
            AnswerPart::Done(done) => {
                answer.done = Some(done);
                answer.end_count += 1;
            }
            AnswerPart::Failed(error) => {
                answer.failed = Some(error);
                answer.end_count += 1;
            }
        }
        answer.at_us = self.now_us;
    }

    fn on_log(&mut self, id: &VmId, action: JournalAction) {
        let is_isolated = self.log.isolated_vms.contains(id);
        match action {
            JournalAction::Append {
                stream,
                batch,
                records,
            } => {
                self.log.appends += 1;
                let mode = if is_isolated {
                    LogMode::Down
                } else {
                    self.log.mode
                };
                let stored = self.log.records.get_mut(&stream).expect("known stream");
                let first = stored.len() as u64;
                if matches!(mode, LogMode::Up | LogMode::ResponsesLost) {
                    self.log.appended_records += records.len() as u64;
                    stored.extend(
                        records
                            .iter()
                            .map(|r| serde_json::to_string(r).expect("serializable")),
                    );
                }
                let outcome = match mode {
                    LogMode::Up => AppendOutcome::Appended(Offset(first)),
                    LogMode::Down => AppendOutcome::Refused,
                    LogMode::ResponsesLost | LogMode::AppendsLost => AppendOutcome::Unknown,
                };
                let input = EntryInput::LogAppended {
                    stream,
                    batch,
                    outcome,
                };
                self.schedule(self.log.append_us, id, Input::Entry(input));
            }
            JournalAction::Read { stream, from } => {
                let is_failing =
                    is_isolated || self.log.reads_down || matches!(self.log.mode, LogMode::Down);
                let answer = (!is_failing).then(|| self.read(stream, from));
                let input = EntryInput::LogRead { stream, answer };
                self.schedule(2_000, id, Input::Entry(input));
            }
        }
    }

    fn read(&self, stream: StreamName, from: Offset) -> ReadResponse {
        let earliest = self.log.earliest[&stream];
        let records = &self.log.records[&stream];
        let start = from.0.max(earliest);
        let part = records
            .iter()
            .enumerate()
            .skip(usize::try_from(start).expect("small"))
            .take(500);
        ReadResponse {
            earliest: Offset(earliest),
            end: Offset(records.len() as u64),
            records: part
                .map(|(at, text)| StoredRecord {
                    offset: Offset(at as u64),
                    text: text.clone(),
                })
                .collect(),
        }
    }

    fn on_sidecar_action(&mut self, id: &VmId, action: SidecarAction) {
        match action {
            SidecarAction::Send { to, message } => self.send(id, &to, &message),
            SidecarAction::Generate(body) => self.start_attempt(id, StartedAttempt::Turn(body)),
            SidecarAction::Call { attempt, call, .. } => {
                self.start_attempt(id, StartedAttempt::Call(attempt, call));
            }
            SidecarAction::Release { program, .. } => {
                let backend = self.backends.get_mut(id).expect("known backend server");
                let freed_tokens = backend.confirms_releases.then_some(Tokens(1));
                if backend.confirms_releases {
                    backend.cached.remove(&program);
                }
                let input = SidecarInput::Released {
                    program,
                    freed_tokens,
                };
                self.schedule(1_000, id, Input::Sidecar(input));
            }
            SidecarAction::Log(event) => self.events.push((self.now_us, id.clone(), event.kind)),
            SidecarAction::Order { order, .. } => self.start_order(id, &order),
            SidecarAction::Retain { chains } => {
                let backend = self.backends.get_mut(id).expect("known backend server");
                backend.unreported.retain(|chain| chains.contains(chain));
            }
            SidecarAction::Cancel(_) | SidecarAction::Finished => {}
        }
    }

    /// Makes all engines take orders, starting from `state`.
    pub fn enable_engine_orders(&mut self, state: &EngineState) {
        let ids: Vec<VmId> = self.backends.keys().cloned().collect();
        for id in ids {
            if id.as_str().starts_with('g') {
                self.backends
                    .get_mut(&id)
                    .expect("known backend server")
                    .engine = Some(state.clone());
                self.send_engine_state(&id, 0);
            }
        }
    }

    /// Reports the engine's state to its sidecar.
    pub fn send_engine_state(&mut self, id: &VmId, delay_us: u64) {
        if let Some(state) = self.backends[id].engine.clone() {
            self.schedule(delay_us, id, Input::Sidecar(SidecarInput::Engine(state)));
        }
    }

    fn start_order(&mut self, id: &VmId, body: &OrderBody) {
        let backend = self.backends.get_mut(id).expect("known backend server");
        let is_idle = backend.held_attempts.is_empty() && backend.calls_end_us <= self.now_us;
        assert!(is_idle, "{id}: received an order while calls are running");
        backend.order_end_us = self.now_us + backend.order_us;
        let Some(state) = &mut backend.engine else {
            return;
        };
        backend.orders.push(body.order.clone());
        state.busy = Some(body.id);
        self.send_engine_state(id, 1_000);
        let state = self.backends.get_mut(id).and_then(|b| b.engine.as_mut());
        let state = state.expect("engine takes orders");
        state.busy = None;
        match body.order.clone() {
            EngineOrder::LoadModel { model, version } => {
                state.models.insert(model, version);
            }
            EngineOrder::LoadAdapter {
                adapter, version, ..
            } => {
                state.adapters.insert(adapter, version);
            }
            EngineOrder::Unload { model } => {
                state.models.remove(&model);
            }
            EngineOrder::SetRole { role } => state.role = role,
        }
        let order_us = self.backends[id].order_us;
        self.send_engine_state(id, order_us);
    }

    fn start_attempt(&mut self, id: &VmId, started: StartedAttempt) {
        let backend = self.backends.get_mut(id).expect("known backend server");
        let is_idle = backend.order_end_us <= self.now_us;
        assert!(is_idle, "{id}: received a call while an order is running");
        match &started {
            StartedAttempt::Turn(body) => {
                let last = body.messages.last().expect("at least one message");
                backend.runs.push(last.content.clone());
                backend.cached.insert(body.program.clone());
            }
            StartedAttempt::Call(_, call) => {
                let body = String::from_utf8_lossy(&call.body).into_owned();
                backend.runs.push(format!("{} {body}", call.path));
            }
        }
        if backend.failures > 0 {
            backend.failures -= 1;
            let attempt = match &started {
                StartedAttempt::Turn(body) => body.attempt,
                StartedAttempt::Call(attempt, _) => *attempt,
            };
            let event = BackendEvent::Failed {
                detail: "scripted failure".to_owned(),
                not_run: false,
            };
            let input = SidecarInput::Backend { attempt, event };
            self.schedule(1_000, id, Input::Sidecar(input));
            return;
        }
        match backend.delay_us {
            Some(delay_us) => self.finish_attempt(id, delay_us, &started),
            None => backend.held_attempts.push(started),
        }
    }

    fn finish_attempt(&mut self, id: &VmId, delay_us: u64, started: &StartedAttempt) {
        let backend = self.backends.get_mut(id).expect("known backend server");
        backend.calls_end_us = backend.calls_end_us.max(self.now_us + delay_us);
        let tokens = backend.tokens;
        match started {
            StartedAttempt::Turn(body) => {
                let last = &body.messages.last().expect("at least one message").content;
                let text = format!("re: {last}");
                let used = Tokens(tokens.unwrap_or(10));
                let attempt = body.attempt;
                let halves = [text.split_at(2).0.to_owned(), text.split_at(2).1.to_owned()];
                let mut position = 0;
                for half in halves {
                    let event = BackendEvent::Text {
                        position,
                        text: half.clone(),
                        count_tokens: Tokens(used.0 / 2),
                    };
                    position += half.chars().count() as u64;
                    self.schedule(
                        delay_us / 2,
                        id,
                        Input::Sidecar(SidecarInput::Backend { attempt, event }),
                    );
                }
                let event = BackendEvent::Done {
                    usage: Usage {
                        prompt_tokens: body.prompt.length_tokens(),
                        cached_tokens: Tokens(0),
                        output_tokens: used,
                    },
                    finish: FinishReason::Stop,
                    cached: body.prompt.segments.clone(),
                };
                self.schedule(
                    delay_us,
                    id,
                    Input::Sidecar(SidecarInput::Backend { attempt, event }),
                );
            }
            StartedAttempt::Call(attempt, call) => {
                let runs = self.backends[id].runs.len();
                let answer = PlainAnswer {
                    status: 200,
                    headers: Vec::new(),
                    body: format!("{} run {runs}", call.path).into_bytes(),
                };
                let event = BackendEvent::Plain(answer);
                let attempt = *attempt;
                self.schedule(
                    delay_us,
                    id,
                    Input::Sidecar(SidecarInput::Backend { attempt, event }),
                );
            }
        }
    }

    /// Completes the calls that a backend server holds.
    pub fn complete_held_calls(&mut self, name: &str) {
        let id = vm(name);
        let attempts = std::mem::take(
            &mut self
                .backends
                .get_mut(&id)
                .expect("known backend server")
                .held_attempts,
        );
        for started in attempts {
            self.finish_attempt(&id, 1_000, &started);
        }
    }

    pub fn backend(&mut self, name: &str) -> &mut Backend {
        self.backends
            .get_mut(&vm(name))
            .expect("known backend server")
    }

    /// Returns the started calls of all backend servers.
    pub fn runs(&self) -> Vec<String> {
        self.backends
            .values()
            .flat_map(|b| b.runs.iter().cloned())
            .collect()
    }

    /// Sends a caller's request to an entry.
    pub fn call(&mut self, entry: &str, make: impl FnOnce(RequestId) -> Request) -> RequestId {
        let id = RequestId(self.next_request_id << 64);
        self.next_request_id += 1;
        let input = EntryInput::Request(Box::new(make(id)));
        self.schedule(0, &vm(entry), Input::Entry(input));
        id
    }

    pub fn fetch(&mut self, entry: &str, name: &str, seq: u64, position: u64) -> RequestId {
        let id = RequestId(self.next_request_id << 64);
        self.next_request_id += 1;
        let fetch = Fetch {
            id,
            program: program(name),
            root: None,
            seq: CallSeq(seq),
            position,
        };
        self.answers.entry(id).or_default().start_position = position;
        self.send_input(entry, EntryInput::Fetch(Box::new(fetch)));
        id
    }

    pub fn send_input(&mut self, entry: &str, input: EntryInput) {
        self.schedule(0, &vm(entry), Input::Entry(input));
    }

    pub fn send_sidecar_input(&mut self, name: &str, input: SidecarInput) {
        self.schedule(0, &vm(name), Input::Sidecar(input));
    }

    pub fn end_program(&mut self, entry: &str, name: &str, reason: EndReason) {
        let program = program(name);
        self.send_input(entry, EntryInput::EndProgram { program, reason });
    }

    pub fn answer(&self, id: RequestId) -> Answer {
        self.answers.get(&id).cloned().unwrap_or_default()
    }

    pub fn is_answered(&self, id: RequestId) -> bool {
        self.answer(id).end_count > 0
    }

    /// Advances virtual time until a request is answered, and returns the answer.
    pub fn wait(&mut self, id: RequestId) -> Answer {
        self.run_until(60_000, "the answer", |world| world.is_answered(id));
        self.answer(id)
    }

    pub fn dump(&self, name: &str) -> serde_json::Value {
        let now = TimeUs(self.now_us);
        match self.hosts[&vm(name)]
            .process
            .as_ref()
            .expect("process is running")
        {
            Process::Entry(entry) => entry.dump(now),
            Process::Sidecar(sidecar) => sidecar.dump(now),
        }
    }

    pub fn is_alive(&self, name: &str) -> bool {
        self.hosts[&vm(name)].process.is_some()
    }

    /// Returns the entry that owns the partition of a program.
    pub fn owner_of(&self, name: &str) -> Option<String> {
        let partition = program(name).partition(8).0;
        let entries = self
            .hosts
            .iter()
            .filter(|(id, host)| id.as_str().starts_with('e') && host.process.is_some());
        for (id, _) in entries {
            let dump = self.dump(id.as_str());
            let owned = dump["owned_partitions"].as_array().cloned();
            if owned.is_some_and(|owned| owned.iter().any(|p| *p == partition)) {
                return Some(id.to_string());
            }
        }
        None
    }

    /// Returns a program name whose partition rendezvous hashing assigns to `entry` among all entries.
    pub fn program_owned_by(&mut self, entry: &str, prefix: &str) -> String {
        let entries: Vec<VmId> = self
            .hosts
            .keys()
            .filter(|id| id.as_str().starts_with('e'))
            .cloned()
            .collect();
        for n in 0..1_000 {
            let name = format!("{prefix}{n}");
            let partition = program(&name).partition(8);
            let owner = clementinepick::rendezvous::suggested_owner(partition, entries.iter());
            if owner.is_some_and(|vm| vm.as_str() == entry) {
                return name;
            }
        }
        panic!("no program name in 1,000 falls to {entry}");
    }

    /// Returns the records of the journal, oldest first.
    pub fn records(&self) -> Vec<Record> {
        let texts = &self.log.records[&StreamName::Journal];
        texts
            .iter()
            .map(|text| serde_json::from_str(text).expect("valid record"))
            .collect()
    }

    /// Counts the matching records of owners that a replay of the journal accepts.
    pub fn count_records(&self, is_match: impl Fn(&PartitionRecord) -> bool) -> usize {
        let mut partitions = Partitions::default();
        let mut seen = BTreeSet::new();
        self.records()
            .iter()
            .enumerate()
            .filter(|(_, record)| seen.insert(record.id))
            .filter(|(at, record)| {
                let effect = partitions.apply(Offset(*at as u64), record);
                matches!(effect, Effect::Accepted(_))
            })
            .map(|(_, record)| record)
            .filter(
                |record| matches!(&record.body, RecordBody::Owned { entry, .. } if is_match(entry)),
            )
            .count()
    }

    pub fn has_event(&self, kind: EventKind) -> bool {
        self.events.iter().any(|(_, _, seen)| *seen == kind)
    }
}

fn link_key(a: &VmId, b: &VmId) -> (VmId, VmId) {
    if a < b {
        (a.clone(), b.clone())
    } else {
        (b.clone(), a.clone())
    }
}

fn request(id: RequestId, service: &str, name: &str, payload: Payload) -> Request {
    Request {
        id,
        service: service.parse().expect("valid name"),
        program: program(name),
        single_call: false,
        seq: None,
        parent: None,
        root: None,
        append: false,
        history_chain: None,
        class: None,
        deadline_left_us: None,
        budget_tokens: None,
        idempotency_key: None,
        non_idempotent: false,
        next_tool: None,
        payload,
    }
}

/// Creates a turn of `name` with a transcript of alternating user and assistant messages.
pub fn chat(name: &str, transcript: &[&str]) -> impl FnOnce(RequestId) -> Request + use<> {
    let messages: Vec<ChatMessage> = transcript
        .iter()
        .enumerate()
        .map(|(at, text)| ChatMessage::new(["user", "assistant"][at % 2], text))
        .collect();
    let name = name.to_owned();
    move |id| {
        let call = ChatCall {
            model: "m".parse().expect("valid name"),
            prompt: Prompt::of_messages(&messages),
            messages,
            max_output_tokens: None,
            stream: true,
            extra: BTreeMap::new(),
        };
        request(id, "llm", &name, Payload::Chat(call))
    }
}

/// Creates a call of the plain service, which is non-idempotent unless the path is `/check`.
pub fn post(name: &str, path: &str, body: &str) -> impl FnOnce(RequestId) -> Request + use<> {
    let call = PlainCall {
        method: "POST".to_owned(),
        path: path.to_owned(),
        headers: Vec::new(),
        body: body.as_bytes().to_vec(),
    };
    let name = name.to_owned();
    move |id| request(id, "book", &name, Payload::Plain(call))
}

/// Sets the sequence number of a request within its program.
pub fn with_seq(
    seq: u64,
    make: impl FnOnce(RequestId) -> Request,
) -> impl FnOnce(RequestId) -> Request {
    move |id| Request {
        seq: Some(CallSeq(seq)),
        ..make(id)
    }
}

/// Sets the idempotency key of a request.
pub fn with_idempotency_key(
    key: &str,
    make: impl FnOnce(RequestId) -> Request,
) -> impl FnOnce(RequestId) -> Request {
    let key = key.parse().expect("valid name");
    move |id| Request {
        idempotency_key: Some(key),
        ..make(id)
    }
}

/// Sets the deadline of a request.
pub fn with_deadline_ms(
    ms: u64,
    make: impl FnOnce(RequestId) -> Request,
) -> impl FnOnce(RequestId) -> Request {
    move |id| Request {
        deadline_left_us: Some(SpanUs::from_ms(ms)),
        ..make(id)
    }
}

/// Makes a request one of a sub-agent of the program `parent`.
pub fn with_parent(
    parent: &str,
    make: impl FnOnce(RequestId) -> Request,
) -> impl FnOnce(RequestId) -> Request {
    let parent = program(parent);
    move |id| Request {
        parent: Some(parent),
        ..make(id)
    }
}

/// Returns the chain segments of a prompt, for cache events.
pub fn segments(prompt: &Prompt) -> Vec<Segment> {
    prompt.segments.clone()
}
