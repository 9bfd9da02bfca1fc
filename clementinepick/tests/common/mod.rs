//! A few entries and sidecars in virtual time, with a log in memory, a scripted backend and links
//! that can be cut. Everything is ordered by time and then by the order of sending, so that each
//! run is the same.

#![allow(dead_code, reason = "each suite uses its part of the harness")]

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

const TICK_US: u64 = 10_000;
const LINK_US: u64 = 1_000;
const RECONNECT_US: u64 = 100_000;

pub const ENGINE_DOCUMENT: &str = "[service]\nname = llm\nkind = engine\n[class c]\nrank = 1\n\
    deadline = 20 s\nmax_output = 100\n[program]\nbudget_tokens = 16000\nbudget_calls = 160\n\
    gap = 2 s\nidle = 1200 s\n";
pub const PLAIN_DOCUMENT: &str = "[service]\nname = book\nkind = plain\n[class c]\nrank = 1\n\
    deadline = 20 s\n[program]\nbudget_calls = 50\n[route POST /]\nidempotent = no\n[route POST /check]\nidempotent = yes\n";

/// What the log does with appends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogMode {
    Up,
    Down,
    /// Appends take effect and their answers are lost.
    ResponsesLost,
    /// Neither appends nor their answers come through, and the writer can't tell.
    AppendsLost,
}

pub struct Log {
    pub records: BTreeMap<StreamName, Vec<String>>,
    pub earliest: BTreeMap<StreamName, u64>,
    pub mode: LogMode,
    /// Reads fail, whatever becomes of appends.
    pub reads_down: bool,
    pub append_us: u64,
    pub appends: u64,
    pub appended_records: u64,
    /// Processes that can't reach the log.
    pub isolated_vms: BTreeSet<VmId>,
}

/// What a backend server does with what it is given.
#[derive(Debug, Clone)]
pub struct Backend {
    /// The time from start to answer; `None` holds every call until [`World::complete_held_calls`].
    pub delay_us: Option<u64>,
    /// The tokens that a turn generates, whatever was asked for.
    pub tokens: Option<u64>,
    /// How many of the next calls fail after they were started.
    pub failures: u32,
    /// The calls that were started, in order: a path with its body, or the last message.
    pub runs: Vec<String>,
    /// Attempts that are held.
    held: Vec<Started>,
    /// Programs that hold cache.
    pub cached: BTreeSet<ProgramId>,
    /// Prefixes in the cache that no sidecar was told of.
    pub unreported: BTreeSet<ChainHash>,
    /// Whether releases are answered.
    pub confirms_releases: bool,
    /// What the engine serves, where it takes orders.
    pub engine: Option<EngineState>,
    /// The time that an order takes.
    pub order_us: u64,
    /// The orders that the engine has carried out.
    pub orders: Vec<EngineOrder>,
    /// When the last call that was started ends, and when the order that was started does.
    calls_until_us: u64,
    order_until_us: u64,
}

#[derive(Debug, Clone)]
enum Started {
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
    paused: bool,
    waiting: Vec<Input>,
}

#[derive(Debug, Clone, Default)]
pub struct Answer {
    /// The position that was asked for.
    pub from: u64,
    pub text: String,
    pub plain: Option<PlainAnswer>,
    pub done: Option<CallDone>,
    pub failed: Option<CallError>,
    pub at_us: u64,
    pub ends: u32,
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
    cut: BTreeSet<(VmId, VmId)>,
    queue: BTreeMap<(u64, u64), (VmId, u64, Input)>,
    sent: u64,
    next_tick_us: u64,
    next_id: u128,
    pub log: Log,
    pub backends: BTreeMap<VmId, Backend>,
    pub answers: BTreeMap<RequestId, Answer>,
    pub events: Vec<(u64, VmId, EventKind)>,
    pub safeguards: Safeguards,
    pub configure_entry: fn(&mut EntrySettings),
    /// Drops matching messages instead of delivering them.
    pub should_drop: fn(&Message) -> bool,
    /// Drops everything from the first to the second, while their link stays up.
    pub blackholed: BTreeSet<(VmId, VmId)>,
    /// The bytes and messages that each process has sent over its links.
    pub sent_bytes: BTreeMap<VmId, (u64, u64)>,
}

pub fn vm(name: &str) -> VmId {
    name.parse().expect("a name")
}

pub fn program(name: &str) -> ProgramId {
    name.parse().expect("a name")
}

impl World {
    /// Entries `e0`.. and sidecars: `g0`.. of engines, `b0`.. of the plain service.
    pub fn new(entries: usize, engines: usize, plain: usize) -> Self {
        Self::with_settings(entries, engines, plain, Safeguards::default(), |_| {})
    }

    pub fn without_safeguard(
        safeguard: &str,
        entries: usize,
        engines: usize,
        plain: usize,
    ) -> Self {
        let safeguards = Safeguards::without(safeguard).expect("a safeguard");
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
            cut: BTreeSet::new(),
            queue: BTreeMap::new(),
            sent: 0,
            next_tick_us: 1_000_000,
            next_id: 1,
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

    /// Appends a publication over the revision `base`.
    pub fn publish(&mut self, operation: u128, base: u64, text: &str) {
        let document = clementinepick::document::Document::parse(text).expect("right");
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
        stream.expect("a stream").push(text);
    }

    /// Starts a process, or starts it anew after it was killed.
    pub fn start(&mut self, name: &str) {
        let id = vm(name);
        let incarnation = self.hosts.get(&id).map_or(1, |host| host.incarnation + 1);
        let life = Incarnation(u64::from(id.as_str().as_bytes()[1]) * 1_000 + incarnation);
        let zone = "z".parse().expect("a name");
        let process = if name.starts_with('e') {
            let mut settings = EntrySettings::new(id.clone(), life, zone);
            settings.partition_count = 8;
            settings.startup_claim_delay_us = SpanUs::from_s(3_600);
            settings.safeguards = self.safeguards.clone();
            (self.configure_entry)(&mut settings);
            Process::Entry(Box::new(Entry::new(settings)))
        } else {
            let service = if name.starts_with('g') { "llm" } else { "book" };
            let service = service.parse().expect("a name");
            let mut settings = SidecarSettings::new(id.clone(), life, zone, service);
            settings.safeguards = self.safeguards.clone();
            self.backends.entry(id.clone()).or_insert(Backend {
                delay_us: Some(20_000),
                tokens: None,
                failures: 0,
                runs: Vec::new(),
                held: Vec::new(),
                cached: BTreeSet::new(),
                unreported: BTreeSet::new(),
                confirms_releases: true,
                engine: None,
                order_us: 2_000_000,
                orders: Vec::new(),
                calls_until_us: 0,
                order_until_us: 0,
            });
            Process::Sidecar(Box::new(Sidecar::new(settings)))
        };
        let host = Host {
            process: Some(process),
            incarnation,
            paused: false,
            waiting: Vec::new(),
        };
        self.hosts.insert(id.clone(), host);
        if name.starts_with('g') {
            self.send_engine_state(&id, LINK_US);
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
        let pair = order(a, b);
        let up = |id: &VmId| self.hosts[id].process.is_some() && !self.hosts[id].paused;
        if !(is_entry(a) || is_entry(b)) || !up(a) || !up(b) || self.cut.contains(&pair) {
            return;
        }
        if !self.links.insert(pair) {
            return;
        }
        for (id, other) in [(a, b), (b, a)] {
            let peer = self.peer(other);
            let input = match self.hosts[id].process {
                Some(Process::Entry(_)) => Input::Entry(EntryInput::LinkUp(peer)),
                _ => Input::Sidecar(SidecarInput::LinkUp(peer)),
            };
            self.push(LINK_US, id, input);
        }
    }

    fn peer(&self, id: &VmId) -> Peer {
        match self.hosts[id].process.as_ref().expect("it lives") {
            Process::Entry(entry) => entry.peer(),
            Process::Sidecar(sidecar) => sidecar.peer(),
        }
    }

    fn disconnect(&mut self, a: &VmId, b: &VmId) {
        if !self.links.remove(&order(a, b)) {
            return;
        }
        for (id, other) in [(a, b), (b, a)] {
            let is_entry = id.as_str().starts_with('e');
            let down = if is_entry {
                Input::Entry(EntryInput::LinkDown(other.clone()))
            } else {
                Input::Sidecar(SidecarInput::LinkDown(other.clone()))
            };
            self.push(LINK_US, id, down);
        }
        self.push(RECONNECT_US, a, Input::Reconnect(b.clone()));
        self.push(RECONNECT_US, b, Input::Reconnect(a.clone()));
    }

    /// Kills a process; its peers see their links break.
    pub fn kill(&mut self, name: &str) {
        let id = vm(name);
        self.hosts.get_mut(&id).expect("a host").process = None;
        let others: Vec<VmId> = self.hosts.keys().cloned().collect();
        for other in others {
            self.disconnect(&id, &other);
        }
        // What it had sent is still on its way; what was on its way to it is lost.
        self.queue.retain(|_, (to, _, _)| *to != id);
    }

    /// Stops a process without breaking its links.
    pub fn pause(&mut self, name: &str) {
        self.hosts.get_mut(&vm(name)).expect("a host").paused = true;
    }

    /// Lets a paused process go on: it first sees all that came meanwhile.
    pub fn resume(&mut self, name: &str) {
        let id = vm(name);
        let host = self.hosts.get_mut(&id).expect("a host");
        host.paused = false;
        let (waiting, incarnation) = (std::mem::take(&mut host.waiting), host.incarnation);
        for input in waiting {
            self.deliver(&id, incarnation, input);
        }
    }

    /// Cuts the link between two processes until [`World::restore_link`].
    pub fn cut_link(&mut self, a: &str, b: &str) {
        let (a, b) = (vm(a), vm(b));
        self.cut.insert(order(&a, &b));
        self.disconnect(&a, &b);
    }

    pub fn restore_link(&mut self, a: &str, b: &str) {
        let (a, b) = (vm(a), vm(b));
        self.cut.remove(&order(&a, &b));
        self.connect(&a, &b);
    }

    fn push(&mut self, delay_us: u64, to: &VmId, input: Input) {
        let incarnation = self.hosts[to].incarnation;
        self.sent += 1;
        let key = (self.now_us + delay_us, self.sent);
        self.queue.insert(key, (to.clone(), incarnation, input));
    }

    /// Lets virtual time pass.
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
                let (_, (to, incarnation, input)) = self.queue.pop_first().expect("one is due");
                self.deliver(&to, incarnation, input);
            } else {
                self.next_tick_us += TICK_US;
                self.tick();
            }
        }
        self.now_us = end_us;
    }

    /// Lets time pass until `done` holds; fails after `limit_ms`.
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
            if self.hosts[&id].paused {
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
        let host = self.hosts.get_mut(to).expect("a host");
        if host.incarnation != incarnation || host.process.is_none() {
            return;
        }
        if host.paused {
            host.waiting.push(input);
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
        if !self.links.contains(&order(from, to)) || (self.should_drop)(message) {
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
        self.push(LINK_US, to, input);
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
        assert_eq!(answer.ends, 0, "{request}: a part after the end: {part:?}");
        match part {
            AnswerPart::Text { position, text } => {
                let known = answer.from + answer.text.chars().count() as u64;
                assert_eq!(position, known, "{request}: text out of place");
                answer.text.push_str(&text);
            }
            AnswerPart::Plain(plain) => answer.plain = Some(plain),
            AnswerPart::Done(done) => {
                answer.done = Some(done);
                answer.ends += 1;
            }
            AnswerPart::Failed(error) => {
                answer.failed = Some(error);
                answer.ends += 1;
            }
        }
        answer.at_us = self.now_us;
    }

    fn on_log(&mut self, id: &VmId, action: JournalAction) {
        let cut_off = self.log.isolated_vms.contains(id);
        match action {
            JournalAction::Append {
                stream,
                batch,
                records,
            } => {
                self.log.appends += 1;
                let mode = if cut_off {
                    LogMode::Down
                } else {
                    self.log.mode
                };
                let stored = self.log.records.get_mut(&stream).expect("a stream");
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
                self.push(self.log.append_us, id, Input::Entry(input));
            }
            JournalAction::Read { stream, from } => {
                let down = cut_off || self.log.reads_down || matches!(self.log.mode, LogMode::Down);
                let answer = (!down).then(|| self.read(stream, from));
                let input = EntryInput::LogRead { stream, answer };
                self.push(2_000, id, Input::Entry(input));
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
            SidecarAction::Generate(body) => self.start_work(id, Started::Turn(body)),
            SidecarAction::Call { attempt, call, .. } => {
                self.start_work(id, Started::Call(attempt, call));
            }
            SidecarAction::Release { program, .. } => {
                let backend = self.backends.get_mut(id).expect("a backend");
                let freed_tokens = backend.confirms_releases.then_some(Tokens(1));
                if backend.confirms_releases {
                    backend.cached.remove(&program);
                }
                let input = SidecarInput::Released {
                    program,
                    freed_tokens,
                };
                self.push(1_000, id, Input::Sidecar(input));
            }
            SidecarAction::Log(event) => self.events.push((self.now_us, id.clone(), event.kind)),
            SidecarAction::Order { order, .. } => self.start_order(id, &order),
            SidecarAction::Retain { chains } => {
                let backend = self.backends.get_mut(id).expect("a backend");
                backend.unreported.retain(|chain| chains.contains(chain));
            }
            SidecarAction::Cancel(_) | SidecarAction::Finished => {}
        }
    }

    /// Makes engines take orders, with what they serve at first.
    pub fn enable_engine_orders(&mut self, state: &EngineState) {
        let ids: Vec<VmId> = self.backends.keys().cloned().collect();
        for id in ids {
            if id.as_str().starts_with('g') {
                self.backends.get_mut(&id).expect("a backend").engine = Some(state.clone());
                self.send_engine_state(&id, 0);
            }
        }
    }

    /// Lets the sidecar read the engine's state.
    pub fn send_engine_state(&mut self, id: &VmId, delay_us: u64) {
        if let Some(state) = self.backends[id].engine.clone() {
            self.push(delay_us, id, Input::Sidecar(SidecarInput::Engine(state)));
        }
    }

    fn start_order(&mut self, id: &VmId, body: &OrderBody) {
        let backend = self.backends.get_mut(id).expect("a backend");
        let idle = backend.held.is_empty() && backend.calls_until_us <= self.now_us;
        assert!(idle, "{id}: an order came over running calls");
        backend.order_until_us = self.now_us + backend.order_us;
        let Some(state) = &mut backend.engine else {
            return;
        };
        backend.orders.push(body.order.clone());
        state.busy = Some(body.id);
        self.send_engine_state(id, 1_000);
        let state = self.backends.get_mut(id).and_then(|b| b.engine.as_mut());
        let state = state.expect("it takes orders");
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

    fn start_work(&mut self, id: &VmId, started: Started) {
        let backend = self.backends.get_mut(id).expect("a backend");
        let idle = backend.order_until_us <= self.now_us;
        assert!(idle, "{id}: a call came over a running order");
        match &started {
            Started::Turn(body) => {
                let last = body.messages.last().expect("a message");
                backend.runs.push(last.content.clone());
                backend.cached.insert(body.program.clone());
            }
            Started::Call(_, call) => {
                let body = String::from_utf8_lossy(&call.body).into_owned();
                backend.runs.push(format!("{} {body}", call.path));
            }
        }
        if backend.failures > 0 {
            backend.failures -= 1;
            let attempt = match &started {
                Started::Turn(body) => body.attempt,
                Started::Call(attempt, _) => *attempt,
            };
            let event = BackendEvent::Failed {
                detail: "it broke".to_owned(),
                not_run: false,
            };
            let input = SidecarInput::Backend { attempt, event };
            self.push(1_000, id, Input::Sidecar(input));
            return;
        }
        match backend.delay_us {
            Some(delay_us) => self.end_work(id, delay_us, &started),
            None => backend.held.push(started),
        }
    }

    fn end_work(&mut self, id: &VmId, delay_us: u64, started: &Started) {
        let backend = self.backends.get_mut(id).expect("a backend");
        backend.calls_until_us = backend.calls_until_us.max(self.now_us + delay_us);
        let tokens = backend.tokens;
        match started {
            Started::Turn(body) => {
                let last = &body.messages.last().expect("a message").content;
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
                    self.push(
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
                self.push(
                    delay_us,
                    id,
                    Input::Sidecar(SidecarInput::Backend { attempt, event }),
                );
            }
            Started::Call(attempt, call) => {
                let runs = self.backends[id].runs.len();
                let answer = PlainAnswer {
                    status: 200,
                    headers: Vec::new(),
                    body: format!("{} run {runs}", call.path).into_bytes(),
                };
                let event = BackendEvent::Plain(answer);
                let attempt = *attempt;
                self.push(
                    delay_us,
                    id,
                    Input::Sidecar(SidecarInput::Backend { attempt, event }),
                );
            }
        }
    }

    /// Lets a backend answer what it holds.
    pub fn complete_held_calls(&mut self, name: &str) {
        let id = vm(name);
        let held = std::mem::take(&mut self.backends.get_mut(&id).expect("a backend").held);
        for started in held {
            self.end_work(&id, 1_000, &started);
        }
    }

    pub fn backend(&mut self, name: &str) -> &mut Backend {
        self.backends.get_mut(&vm(name)).expect("a backend")
    }

    /// All runs at all backend servers.
    pub fn runs(&self) -> Vec<String> {
        self.backends
            .values()
            .flat_map(|b| b.runs.iter().cloned())
            .collect()
    }

    /// Sends a caller's request to an entry.
    pub fn call(&mut self, entry: &str, make: impl FnOnce(RequestId) -> Request) -> RequestId {
        let id = RequestId(self.next_id << 64);
        self.next_id += 1;
        let input = EntryInput::Request(Box::new(make(id)));
        self.push(0, &vm(entry), Input::Entry(input));
        id
    }

    pub fn fetch(&mut self, entry: &str, name: &str, seq: u64, position: u64) -> RequestId {
        let id = RequestId(self.next_id << 64);
        self.next_id += 1;
        let fetch = Fetch {
            id,
            program: program(name),
            root: None,
            seq: CallSeq(seq),
            position,
        };
        self.answers.entry(id).or_default().from = position;
        self.send_input(entry, EntryInput::Fetch(Box::new(fetch)));
        id
    }

    pub fn send_input(&mut self, entry: &str, input: EntryInput) {
        self.push(0, &vm(entry), Input::Entry(input));
    }

    pub fn send_sidecar_input(&mut self, name: &str, input: SidecarInput) {
        self.push(0, &vm(name), Input::Sidecar(input));
    }

    pub fn end_program(&mut self, entry: &str, name: &str, reason: EndReason) {
        let program = program(name);
        self.send_input(entry, EntryInput::EndProgram { program, reason });
    }

    pub fn answer(&self, id: RequestId) -> Answer {
        self.answers.get(&id).cloned().unwrap_or_default()
    }

    pub fn is_answered(&self, id: RequestId) -> bool {
        self.answer(id).ends > 0
    }

    /// Lets time pass until a request has its end.
    pub fn wait(&mut self, id: RequestId) -> Answer {
        self.run_until(60_000, "an answer", |world| world.is_answered(id));
        self.answer(id)
    }

    pub fn dump(&self, name: &str) -> serde_json::Value {
        let now = TimeUs(self.now_us);
        match self.hosts[&vm(name)].process.as_ref().expect("it lives") {
            Process::Entry(entry) => entry.dump(now),
            Process::Sidecar(sidecar) => sidecar.dump(now),
        }
    }

    pub fn is_alive(&self, name: &str) -> bool {
        self.hosts[&vm(name)].process.is_some()
    }

    /// The entry that owns the partition of a program.
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

    /// A program name whose partition `entry` would claim, and one that is not `taken`.
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
        panic!("no program falls to {entry}");
    }

    /// The records of the journal, oldest first.
    pub fn records(&self) -> Vec<Record> {
        let texts = &self.log.records[&StreamName::Journal];
        texts
            .iter()
            .map(|text| serde_json::from_str(text).expect("a record"))
            .collect()
    }

    /// The count of owners' records in force that `wanted` picks.
    pub fn count_records(&self, wanted: impl Fn(&PartitionRecord) -> bool) -> usize {
        let mut partitions = Partitions::default();
        let mut seen = BTreeSet::new();
        self.records()
            .iter()
            .enumerate()
            .filter(|(_, record)| seen.insert(record.id))
            .filter(|(at, record)| {
                let applied = partitions.apply(Offset(*at as u64), record);
                matches!(applied, Effect::Accepted(_))
            })
            .map(|(_, record)| record)
            .filter(
                |record| matches!(&record.body, RecordBody::Owned { entry, .. } if wanted(entry)),
            )
            .count()
    }

    pub fn has_event(&self, kind: EventKind) -> bool {
        self.events.iter().any(|(_, _, seen)| *seen == kind)
    }
}

fn order(a: &VmId, b: &VmId) -> (VmId, VmId) {
    if a < b {
        (a.clone(), b.clone())
    } else {
        (b.clone(), a.clone())
    }
}

fn request(id: RequestId, service: &str, name: &str, payload: Payload) -> Request {
    Request {
        id,
        service: service.parse().expect("a name"),
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

/// A turn of `name` with a transcript of alternating user and assistant messages.
pub fn chat(name: &str, transcript: &[&str]) -> impl FnOnce(RequestId) -> Request + use<> {
    let messages: Vec<ChatMessage> = transcript
        .iter()
        .enumerate()
        .map(|(at, text)| ChatMessage::new(["user", "assistant"][at % 2], text))
        .collect();
    let name = name.to_owned();
    move |id| {
        let call = ChatCall {
            model: "m".parse().expect("a name"),
            prompt: Prompt::of_messages(&messages),
            messages,
            max_output_tokens: None,
            stream: true,
            extra: BTreeMap::new(),
        };
        request(id, "llm", &name, Payload::Chat(call))
    }
}

/// A call of the plain service that may not run twice, unless its path is `/check`.
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

/// The same request under a place in its program.
pub fn with_seq(
    seq: u64,
    make: impl FnOnce(RequestId) -> Request,
) -> impl FnOnce(RequestId) -> Request {
    move |id| Request {
        seq: Some(CallSeq(seq)),
        ..make(id)
    }
}

/// The same request under an idempotency key.
pub fn with_idempotency_key(
    key: &str,
    make: impl FnOnce(RequestId) -> Request,
) -> impl FnOnce(RequestId) -> Request {
    let key = key.parse().expect("a name");
    move |id| Request {
        idempotency_key: Some(key),
        ..make(id)
    }
}

/// The same request with a deadline.
pub fn with_deadline_ms(
    ms: u64,
    make: impl FnOnce(RequestId) -> Request,
) -> impl FnOnce(RequestId) -> Request {
    move |id| Request {
        deadline_left_us: Some(SpanUs::from_ms(ms)),
        ..make(id)
    }
}

/// The same request as a sub-agent's of `parent`.
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

/// The chain segments of a prompt, for cache events.
pub fn segments(prompt: &Prompt) -> Vec<Segment> {
    prompt.segments.clone()
}
