//! The world of a chaos run: processes, links, callers and the platform in virtual time.
//!
//! Everything that will happen lies in one queue ordered by time; one random number generator,
//! seeded, draws all that is left to chance. So a seed gives the same run, byte for byte.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use clementinepick::call::AnswerPart;
use clementinepick::entry::{Entry, EntryAction, EntryInput, EntrySettings};
use clementinepick::event::{Event, EventKind};
use clementinepick::ids::{
    Incarnation, OperationId, ProgramId, RecordId, RequestId, Revision, VmId,
    ZoneName,
};
use clementinepick::journal::{AppendOutcome, JournalAction};
use clementinepick::message::{Message, Peer};
use clementinepick::platform::{AppendAnswer, ReadAnswer, StreamName, Vm, VmRole, VmState};
use clementinepick::record::{Record, RecordBody};
use clementinepick::safeguards::Safeguards;
use clementinepick::sidecar::{Sidecar, SidecarAction, SidecarInput, SidecarSettings};
use clementinepick::units::{SpanUs, TimeUs, Tokens};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha12Rng;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::chaos_backend::Backend;
use crate::chaos_callers::{Caller, ENGINE_SERVICE, Next, Open, PLAIN_SERVICE, Turn, service_name, take_part};
use crate::chaos_checks::Checks;
use crate::chaos_faults::Fault;
use crate::log_service::{AppendFault, LogError, LogService, LogSettings};

/// The time between two ticks of a process.
const TICK_US: SpanUs = SpanUs::from_ms(20);
/// One-way delay between two processes.
const DELAY_US: (u64, u64) = (300, 2_500);
/// Delay of an answer of the log.
const LOG_DELAY_US: (u64, u64) = (2_000, 12_000);
/// The time between two looks at the VM list.
const VM_LIST_US: SpanUs = SpanUs::from_s(1);
/// The time between two attempts to bring up missing links.
const CONNECT_US: SpanUs = SpanUs::from_ms(200);
/// How long a link lives on while one direction is cut: retransmission gives up.
const CUT_LINK_US: SpanUs = SpanUs::from_s(5);
/// The most records that one read returns.
const READ_MAX: usize = 500;
/// The lines of the trace that are kept.
const TRACE_LINES: usize = 400;
/// A caller that hears nothing this long after its deadline was forgotten.
const FORGOTTEN_US: SpanUs = SpanUs::from_s(30);

/// What can happen next.
#[derive(Debug, Clone)]
enum Due {
    Tick { vm: VmId, life: u64 },
    Deliver { from: VmId, to: VmId, generation: u64, message: Box<Message> },
    LinkUp { a: VmId, b: VmId, generation: u64 },
    Connect,
    Backend { vm: VmId },
    LogRead { vm: VmId, life: u64, stream: StreamName, from: clementinepick::ids::Offset },
    LogAppend { vm: VmId, life: u64, stream: StreamName, batch: u64, records: Vec<Record> },
    LogAnswer { vm: VmId, life: u64, input: Box<EntryInput> },
    VmList,
    Released { vm: VmId, life: u64, program: ProgramId, freed: Option<Tokens> },
    Send { caller: usize },
    Arrive { caller: usize, entry: VmId, life: u64, request: RequestId },
    Forgotten { caller: usize, request: RequestId },
    Fault(Fault),
    Heal(Fault),
    Start { vm: VmId },
    Publish,
}

/// The decisions of a process.
#[derive(Debug)]
enum Core {
    Entry(Box<Entry>),
    Sidecar(Box<Sidecar>),
}

#[derive(Debug, Clone)]
enum Input {
    Entry(EntryInput),
    Sidecar(SidecarInput),
}

/// One VM with its process.
#[derive(Debug)]
struct Node {
    role: VmRole,
    zone: ZoneName,
    service: Option<&'static str>,
    core: Option<Core>,
    life: u64,
    paused: bool,
    /// What came while the process was paused.
    held: VecDeque<Input>,
    leaving: bool,
}

#[derive(Debug, Clone, Copy, Default)]
struct Link {
    generation: u64,
    up: bool,
    connecting: bool,
}

/// What a run counted.
#[derive(Debug, Clone, Default)]
pub struct Counts {
    /// By name.
    pub by_name: BTreeMap<&'static str, u64>,
}

impl Counts {
    fn add(&mut self, name: &'static str) {
        *self.by_name.entry(name).or_default() += 1;
    }
}

/// How a world is set up.
#[derive(Debug, Clone)]
pub struct WorldSettings {
    /// Seeds everything.
    pub seed: u64,
    /// The count of entries.
    pub entries: usize,
    /// The count of engines, each with its sidecar.
    pub engines: usize,
    /// The count of servers of the plain service.
    pub plains: usize,
    /// The count of programs.
    pub programs: usize,
    /// When the last program starts and the last fault strikes.
    pub busy_us: SpanUs,
    /// The safeguards in force.
    pub safeguards: Safeguards,
}

impl Default for WorldSettings {
    fn default() -> Self {
        Self {
            seed: 0,
            entries: 3,
            engines: 3,
            plains: 2,
            programs: 40,
            busy_us: SpanUs::from_s(60),
            safeguards: Safeguards::default(),
        }
    }
}

/// The world.
pub struct World {
    settings: WorldSettings,
    now: TimeUs,
    rng: ChaCha12Rng,
    due: BTreeMap<(TimeUs, u64), Due>,
    next_due: u64,
    nodes: BTreeMap<VmId, Node>,
    backends: BTreeMap<VmId, Backend>,
    links: BTreeMap<(VmId, VmId), Link>,
    wants: BTreeMap<VmId, BTreeSet<VmId>>,
    /// When the last message of each direction is due.
    last_due: BTreeMap<(VmId, VmId), TimeUs>,
    cuts: BTreeSet<(VmId, VmId)>,
    /// What waits in the sender's buffers while its direction is cut, with the link's generation.
    stalled: BTreeMap<(VmId, VmId), VecDeque<(u64, Message)>>,
    log: LogService,
    callers: Vec<Caller>,
    open: BTreeMap<RequestId, usize>,
    /// What callers and backend servers have seen.
    pub checks: Checks,
    /// What happened how often.
    pub counts: Counts,
    trace: VecDeque<String>,
    trace_digest: u64,
    steps: u64,
    published: u64,
    /// The last listed state of the VMs, which lags.
    listed: Vec<Vm>,
}

impl World {
    /// A world at time zero, with its callers and `faults` drawn.
    #[must_use]
    pub fn new(settings: WorldSettings, faults: Vec<(TimeUs, Fault)>) -> Self {
        let rng = ChaCha12Rng::seed_from_u64(settings.seed);
        let mut world = Self {
            now: TimeUs(0),
            rng,
            due: BTreeMap::new(),
            next_due: 0,
            nodes: BTreeMap::new(),
            backends: BTreeMap::new(),
            links: BTreeMap::new(),
            wants: BTreeMap::new(),
            last_due: BTreeMap::new(),
            cuts: BTreeSet::new(),
            stalled: BTreeMap::new(),
            log: LogService::new(LogSettings { seed: settings.seed, ..LogSettings::default() }),
            callers: Vec::new(),
            open: BTreeMap::new(),
            checks: Checks::default(),
            counts: Counts::default(),
            trace: VecDeque::new(),
            trace_digest: 0,
            steps: 0,
            published: 0,
            listed: Vec::new(),
            settings,
        };
        world.add_nodes();
        world.add_callers();
        world.schedule(TimeUs(0), Due::Publish);
        world.schedule(TimeUs(1), Due::VmList);
        world.schedule(TimeUs(2), Due::Connect);
        for (at, fault) in faults {
            world.schedule(at, Due::Fault(fault));
        }
        world
    }

    fn add_nodes(&mut self) {
        let zones: Vec<ZoneName> =
            ["zone-a", "zone-b", "zone-c"].iter().map(|z| z.parse().expect("a name")).collect();
        let mut add = |name: String, at: usize, role, service: Option<&'static str>| {
            let vm: VmId = name.parse().expect("a name");
            if let Some(service) = service {
                let backend = Backend::new(service == ENGINE_SERVICE, self.settings.seed ^ at as u64);
                self.backends.insert(vm.clone(), backend);
            }
            let node = Node {
                role,
                zone: zones[at % zones.len()].clone(),
                service,
                core: None,
                life: 0,
                paused: false,
                held: VecDeque::new(),
                leaving: false,
            };
            self.nodes.insert(vm, node);
        };
        for at in 0..self.settings.entries {
            add(format!("entry-{at}"), at, VmRole::Entry, None);
        }
        for at in 0..self.settings.engines {
            add(format!("engine-{at}"), at, VmRole::Sidecar, Some(ENGINE_SERVICE));
        }
        for at in 0..self.settings.plains {
            add(format!("plain-{at}"), at, VmRole::Sidecar, Some(PLAIN_SERVICE));
        }
        for vm in self.nodes.keys().cloned().collect::<Vec<_>>() {
            self.start(&vm);
        }
    }

    fn add_callers(&mut self) {
        for number in 0..self.settings.programs {
            let caller = Caller::draw(number as u64, &mut self.rng);
            self.checks.on_budget(&caller.program, caller.budget);
            self.callers.push(caller);
            let at = self.rng.random_range(2_000_000..self.settings.busy_us.0);
            self.schedule(TimeUs(at), Due::Send { caller: number });
        }
    }

    fn schedule(&mut self, at: TimeUs, due: Due) {
        self.next_due += 1;
        self.due.insert((at, self.next_due), due);
    }

    fn schedule_after(&mut self, span: SpanUs, due: Due) {
        self.schedule(self.now.after(span), due);
    }

    fn delay(&mut self) -> SpanUs {
        SpanUs(self.rng.random_range(DELAY_US.0..DELAY_US.1))
    }

    fn log_delay(&mut self) -> SpanUs {
        SpanUs(self.rng.random_range(LOG_DELAY_US.0..LOG_DELAY_US.1))
    }

    fn note(&mut self, line: impl FnOnce() -> String) {
        let line = format!("{:>10} {}", self.now.0, line());
        self.trace_digest = xxh3_64_with_seed(line.as_bytes(), self.trace_digest);
        if self.trace.len() == TRACE_LINES {
            self.trace.pop_front();
        }
        self.trace.push_back(line);
    }

    /// The last lines of the trace.
    pub fn trace(&self) -> impl Iterator<Item = &String> {
        self.trace.iter()
    }

    /// The digest of the whole trace.
    #[must_use]
    pub const fn trace_digest(&self) -> u64 {
        self.trace_digest
    }

    /// The count of things that have happened.
    #[must_use]
    pub const fn steps(&self) -> u64 {
        self.steps
    }

    /// The time reached.
    #[must_use]
    pub const fn now(&self) -> TimeUs {
        self.now
    }

    /// The callers.
    #[must_use]
    pub fn callers(&self) -> &[Caller] {
        &self.callers
    }

    /// Lets the next thing happen; false when a promise is broken or nothing is left.
    pub fn step(&mut self) -> bool {
        let Some(((at, _), due)) = self.due.pop_first() else { return false };
        self.now = at;
        self.steps += 1;
        self.happen(due);
        self.checks.violation.is_none()
    }

    /// Whether every program has ended.
    #[must_use]
    pub fn all_ended(&self) -> bool {
        self.callers.iter().all(|caller| caller.ending.is_some())
    }

    fn happen(&mut self, due: Due) {
        match due {
            Due::Tick { vm, life } => self.on_tick(vm, life),
            Due::Deliver { from, to, generation, message } => {
                self.on_deliver(from, to, generation, *message);
            }
            Due::LinkUp { a, b, generation } => self.on_link_up(&a, &b, generation),
            Due::Connect => self.on_connect(),
            Due::Backend { vm } => self.on_backend(&vm),
            Due::LogRead { vm, life, stream, from } => self.on_log_read(vm, life, stream, from),
            Due::LogAppend { vm, life, stream, batch, records } => {
                self.on_log_append(vm, life, stream, batch, &records);
            }
            Due::LogAnswer { vm, life, input } => self.give(&vm, life, Input::Entry(*input)),
            Due::VmList => self.on_vm_list(),
            Due::Released { vm, life, program, freed } => {
                let input = SidecarInput::Released { program, freed_tokens: freed };
                self.give(&vm, life, Input::Sidecar(input));
            }
            Due::Send { caller } => self.on_send(caller),
            Due::Arrive { caller, entry, life, request } => {
                self.on_arrive(caller, &entry, life, request);
            }
            Due::Forgotten { caller, request } => self.on_forgotten(caller, request),
            Due::Fault(fault) => self.on_fault(&fault),
            Due::Heal(fault) => self.on_heal(&fault),
            Due::Start { vm } => self.start(&vm),
            Due::Publish => self.on_publish(),
        }
    }

    // Processes.

    fn start(&mut self, vm: &VmId) {
        let seed = self.rng.random_range(1..u64::MAX);
        let Some(node) = self.nodes.get_mut(vm) else { return };
        if node.core.is_some() {
            return;
        }
        node.life += 1;
        node.paused = false;
        node.held.clear();
        node.leaving = false;
        let incarnation = Incarnation(node.life);
        node.core = Some(match node.service {
            None => {
                let mut settings = EntrySettings::new(vm.clone(), incarnation, node.zone.clone());
                settings.seed = seed;
                settings.partition_count = 8;
                settings.safeguards = self.settings.safeguards.clone();
                Core::Entry(Box::new(Entry::new(settings)))
            }
            Some(service) => {
                let service = service_name(service);
                let mut settings =
                    SidecarSettings::new(vm.clone(), incarnation, node.zone.clone(), service);
                settings.safeguards = self.settings.safeguards.clone();
                Core::Sidecar(Box::new(Sidecar::new(settings)))
            }
        });
        let life = node.life;
        self.checks.on_replaced(vm);
        self.note(|| format!("{vm} starts, life {life}"));
        self.schedule_after(SpanUs(seed % TICK_US.0), Due::Tick { vm: vm.clone(), life });
        self.list_vms(vm);
    }

    fn kill(&mut self, vm: &VmId) {
        let Some(node) = self.nodes.get_mut(vm) else { return };
        if node.core.take().is_none() {
            return;
        }
        self.note(|| format!("{vm} dies"));
        for other in self.nodes.keys().cloned().collect::<Vec<_>>() {
            self.link_down(vm, &other);
        }
        self.cut_callers(vm);
    }

    /// The callers connected to an entry that is gone see their connections break.
    fn cut_callers(&mut self, vm: &VmId) {
        let cut: Vec<usize> = (0..self.callers.len())
            .filter(|&c| self.callers[c].open.as_ref().is_some_and(|open| open.entry == *vm))
            .collect();
        for caller in cut {
            if let Some(open) = &self.callers[caller].open {
                self.open.remove(&open.id);
            }
            self.counts.add("connections broken");
            let next = self.callers[caller].on_cut();
            self.go_on(caller, next);
        }
    }

    fn give(&mut self, vm: &VmId, life: u64, input: Input) {
        let Some(node) = self.nodes.get_mut(vm) else { return };
        if node.life != life || node.core.is_none() {
            return;
        }
        if node.paused {
            node.held.push_back(input);
            return;
        }
        let now = self.now;
        match (node.core.as_mut(), input) {
            (Some(Core::Entry(entry)), Input::Entry(input)) => {
                let mut out = Vec::new();
                entry.handle(now, input, &mut out);
                for action in out {
                    self.do_entry(vm, life, action);
                }
            }
            (Some(Core::Sidecar(sidecar)), Input::Sidecar(input)) => {
                let mut out = Vec::new();
                sidecar.handle(now, input, &mut out);
                for action in out {
                    self.do_sidecar(vm, life, action);
                }
            }
            _ => {}
        }
    }

    fn on_tick(&mut self, vm: VmId, life: u64) {
        let Some(node) = self.nodes.get(&vm) else { return };
        if node.life != life || node.core.is_none() {
            return;
        }
        let role = node.role;
        if !node.paused {
            let input = match role {
                VmRole::Entry => Input::Entry(EntryInput::Tick),
                VmRole::Sidecar => Input::Sidecar(SidecarInput::Tick),
            };
            self.give(&vm, life, input);
            self.poll_backend(&vm, life);
            self.check_revisions(&vm);
        }
        self.schedule_after(TICK_US, Due::Tick { vm, life });
    }

    fn poll_backend(&mut self, vm: &VmId, life: u64) {
        let Some(backend) = self.backends.get_mut(vm) else { return };
        let load = backend.load(self.now);
        let cache = backend.cache_events(self.now);
        if let Some(load) = load {
            self.give(vm, life, Input::Sidecar(SidecarInput::Load(load)));
        }
        if let Some((first, events)) = cache {
            self.give(vm, life, Input::Sidecar(SidecarInput::Cache { first, events }));
        }
    }

    fn check_revisions(&mut self, vm: &VmId) {
        let Some(core) = self.nodes.get(vm).and_then(|node| node.core.as_ref()) else { return };
        let revisions = match core {
            Core::Entry(entry) => entry.revisions(),
            Core::Sidecar(sidecar) => sidecar.revisions(),
        };
        for (service, revision) in revisions {
            self.checks.on_revision(vm, &service, revision);
        }
    }

    fn do_entry(&mut self, vm: &VmId, life: u64, action: EntryAction) {
        match action {
            EntryAction::Send { to, message } => self.send(vm, to, message),
            EntryAction::Connect(vms) => {
                let wanted = vms.into_iter().filter(|other| {
                    other.role == VmRole::Sidecar || other.id > *vm
                });
                self.wants.insert(vm.clone(), wanted.map(|other| other.id).collect());
            }
            EntryAction::Disconnect(other) => self.link_down(vm, &other),
            EntryAction::Answer { request, part } => self.on_answer(request, &part),
            EntryAction::Log(action) => self.do_log(vm, life, action),
            EntryAction::Event(event) => self.on_event(vm, &event),
            EntryAction::Finished => self.on_finished(vm),
        }
    }

    fn do_sidecar(&mut self, vm: &VmId, life: u64, action: SidecarAction) {
        match action {
            SidecarAction::Send { to, message } => self.send(vm, to, message),
            SidecarAction::Generate(body) => {
                let Some(backend) = self.backends.get_mut(vm) else { return };
                let started = backend.generate(self.now, *body);
                self.on_started(vm, started);
            }
            SidecarAction::Call { attempt, call, .. } => {
                let Some(backend) = self.backends.get_mut(vm) else { return };
                let started = backend.call(self.now, attempt, &call);
                self.on_started(vm, started);
            }
            SidecarAction::Cancel(attempt) => {
                if let Some(backend) = self.backends.get_mut(vm) {
                    backend.cancel(self.now, attempt);
                }
                self.wake_backend(vm);
            }
            SidecarAction::Release { program, chains } => {
                let Some(backend) = self.backends.get_mut(vm) else { return };
                let freed = backend.release(self.now, &chains);
                let delay = self.delay();
                let due = Due::Released { vm: vm.clone(), life, program, freed };
                self.schedule_after(delay, due);
            }
            SidecarAction::Order { .. } => {}
            SidecarAction::Log(event) => self.on_event(vm, &event),
            SidecarAction::Finished => self.on_finished(vm),
        }
    }

    fn on_event(&mut self, vm: &VmId, event: &Event) {
        let fields: Vec<String> =
            event.fields.iter().map(|(name, value)| format!("{name}={value}")).collect();
        self.note(|| format!("{vm}: {} {}", event.kind.name(), fields.join(" ")));
        self.counts.add(event.kind.name());
        if event.kind == EventKind::InvariantBroken {
            self.checks.fail("invariant", format!("{vm}: {}", fields.join(" ")));
        }
    }

    fn on_finished(&mut self, vm: &VmId) {
        let Some(node) = self.nodes.get(vm) else { return };
        if node.core.is_none() {
            return;
        }
        self.counts.add("graceful shutdowns");
        let open = self.callers.iter().filter_map(|caller| caller.open.as_ref());
        if let Some(cut) = open.filter(|open| open.entry == *vm).map(|open| open.id).next() {
            self.checks.fail("graceful shutdown", format!("{vm} exits and cuts off {cut}"));
        }
        if self.backends.get(vm).is_some_and(Backend::is_busy) {
            self.checks.fail("graceful shutdown", format!("{vm} exits while its backend runs"));
        }
        self.kill(vm);
        self.schedule_after(SpanUs::from_s(1), Due::Start { vm: vm.clone() });
    }

    // Links.

    fn send(&mut self, from: &VmId, to: VmId, message: Message) {
        let link = self.links.get(&pair(from, &to)).copied().unwrap_or_default();
        if !link.up {
            return;
        }
        let delay = self.delay();
        let generation = link.generation;
        let to_key = to.clone();
        let due = Due::Deliver { from: from.clone(), to, generation, message: Box::new(message) };
        // One link keeps its order: what is sent later is never due earlier.
        let last = self.last_due.entry((from.clone(), to_key)).or_default();
        let at = self.now.after(delay).max(*last);
        *last = at;
        self.schedule(at, due);
    }

    fn on_deliver(&mut self, from: VmId, to: VmId, generation: u64, message: Message) {
        let link = self.links.get(&pair(&from, &to)).copied().unwrap_or_default();
        if !link.up || link.generation != generation {
            return;
        }
        let direction = (from.clone(), to.clone());
        if self.cuts.contains(&direction) || self.stalled.contains_key(&direction) {
            self.stalled.entry(direction).or_default().push_back((generation, message));
            return;
        }
        let Some(node) = self.nodes.get(&to) else { return };
        let life = node.life;
        let input = match node.role {
            VmRole::Entry => Input::Entry(EntryInput::Link { from, message }),
            VmRole::Sidecar => Input::Sidecar(SidecarInput::Link { from, message }),
        };
        self.give(&to, life, input);
    }

    fn is_cut(&self, a: &VmId, b: &VmId) -> bool {
        self.cuts.contains(&(a.clone(), b.clone())) || self.cuts.contains(&(b.clone(), a.clone()))
    }

    fn on_connect(&mut self) {
        self.schedule_after(CONNECT_US, Due::Connect);
        let wanted: Vec<(VmId, VmId)> = self
            .wants
            .iter()
            .flat_map(|(from, to)| to.iter().map(move |to| (from.clone(), to.clone())))
            .collect();
        for (a, b) in wanted {
            let lives = |vm: &VmId| {
                self.nodes.get(vm).is_some_and(|node| node.core.is_some() && !node.paused)
            };
            if !lives(&a) || !lives(&b) || self.is_cut(&a, &b) {
                continue;
            }
            let link = self.links.entry(pair(&a, &b)).or_default();
            if link.up || link.connecting {
                continue;
            }
            link.generation += 1;
            link.connecting = true;
            let generation = link.generation;
            let delay = self.delay();
            self.schedule_after(delay, Due::LinkUp { a, b, generation });
        }
    }

    fn on_link_up(&mut self, a: &VmId, b: &VmId, generation: u64) {
        let peers = (self.peer(a), self.peer(b));
        let cut = self.is_cut(a, b);
        let Some(link) = self.links.get_mut(&pair(a, b)) else { return };
        if link.generation != generation {
            return;
        }
        link.connecting = false;
        let (Some(peer_a), Some(peer_b)) = peers else { return };
        if cut {
            return;
        }
        link.up = true;
        self.give_link_up(a, peer_b);
        self.give_link_up(b, peer_a);
    }

    fn give_link_up(&mut self, to: &VmId, peer: Peer) {
        let Some(node) = self.nodes.get(to) else { return };
        let input = match node.role {
            VmRole::Entry => Input::Entry(EntryInput::LinkUp(peer)),
            VmRole::Sidecar => Input::Sidecar(SidecarInput::LinkUp(peer)),
        };
        let life = node.life;
        self.give(to, life, input);
    }

    fn peer(&self, vm: &VmId) -> Option<Peer> {
        match self.nodes.get(vm)?.core.as_ref()? {
            Core::Entry(entry) => Some(entry.peer()),
            Core::Sidecar(sidecar) => Some(sidecar.peer()),
        }
    }

    fn link_down(&mut self, a: &VmId, b: &VmId) {
        let Some(link) = self.links.get_mut(&pair(a, b)) else { return };
        link.connecting = false;
        if !std::mem::take(&mut link.up) {
            return;
        }
        link.generation += 1;
        for (to, gone) in [(a, b), (b, a)] {
            let Some(node) = self.nodes.get(to) else { continue };
            let life = node.life;
            let input = match node.role {
                VmRole::Entry => Input::Entry(EntryInput::LinkDown(gone.clone())),
                VmRole::Sidecar => Input::Sidecar(SidecarInput::LinkDown(gone.clone())),
            };
            self.give(to, life, input);
        }
    }

    // Backend servers.

    fn on_started(&mut self, vm: &VmId, started: Option<crate::chaos_backend::Started>) {
        if let Some(started) = started {
            let crate::chaos_backend::Started { attempt, program, seq, body } = started;
            self.note(|| format!("{vm} starts {program}/{seq} body {body} attempt {attempt}"));
            self.counts.add("calls started");
            self.checks.on_start(self.now, vm, &program, seq, body, attempt);
        }
        self.wake_backend(vm);
    }

    fn wake_backend(&mut self, vm: &VmId) {
        let Some(at) = self.backends.get(vm).and_then(Backend::next_event_at) else { return };
        self.schedule(at.max(self.now), Due::Backend { vm: vm.clone() });
    }

    fn on_backend(&mut self, vm: &VmId) {
        let Some(backend) = self.backends.get_mut(vm) else { return };
        if backend.next_event_at().is_none_or(|at| at > self.now) {
            return;
        }
        let happened = backend.advance(self.now);
        let life = self.nodes.get(vm).map_or(0, |node| node.life);
        for (program, body) in happened.executed {
            self.note(|| format!("{vm} has executed body {body} of {program}"));
            self.checks.on_executed(&program, body);
        }
        for (program, tokens) in happened.spent {
            self.checks.on_spent(&program, tokens);
        }
        for (attempt, event) in happened.events {
            self.give(vm, life, Input::Sidecar(SidecarInput::Backend { attempt, event }));
        }
        self.wake_backend(vm);
    }

    // The log and the VM list.

    fn do_log(&mut self, vm: &VmId, life: u64, action: JournalAction) {
        let delay = self.log_delay();
        let due = match action {
            JournalAction::Append { stream, batch, records } => {
                Due::LogAppend { vm: vm.clone(), life, stream, batch, records }
            }
            JournalAction::Read { stream, from } => {
                Due::LogRead { vm: vm.clone(), life, stream, from }
            }
        };
        self.schedule_after(delay, due);
    }

    fn on_log_read(
        &mut self,
        vm: VmId,
        life: u64,
        stream: StreamName,
        from: clementinepick::ids::Offset,
    ) {
        let answer: Option<ReadAnswer> = self.log.read(self.now, stream, from, READ_MAX).ok();
        let delay = self.log_delay();
        let input = Box::new(EntryInput::LogRead { stream, answer });
        self.schedule_after(delay, Due::LogAnswer { vm, life, input });
    }

    fn on_log_append(
        &mut self,
        vm: VmId,
        life: u64,
        stream: StreamName,
        batch: u64,
        records: &[Record],
    ) {
        let texts = records.iter().map(|r| serde_json::to_string(r).expect("serializable"));
        let outcome = outcome_of(&self.log.append(self.now, stream, texts.collect()));
        self.counts.add("appends");
        if outcome == AppendOutcome::Unknown {
            self.counts.add("append answers lost");
        }
        let delay = self.log_delay();
        let input = Box::new(EntryInput::LogAppended { stream, batch, outcome });
        self.schedule_after(delay, Due::LogAnswer { vm, life, input });
    }

    fn on_publish(&mut self) {
        self.published += 1;
        let author: VmId = format!("operator-{}", self.published % 3).parse().expect("a name");
        for service in [ENGINE_SERVICE, PLAIN_SERVICE] {
            let base = self.latest_revision(service);
            let record = Record {
                id: RecordId(u128::from(self.rng.random_range(1..u64::MAX))),
                writer: author.clone(),
                incarnation: Incarnation(1),
                body: RecordBody::Publish {
                    operation: OperationId(u128::from(self.rng.random_range(1..u64::MAX))),
                    service: service_name(service),
                    base,
                    document: document(service, self.published),
                },
            };
            let text = serde_json::to_string(&record).expect("serializable");
            let outcome = outcome_of(&self.log.append(self.now, StreamName::Config, vec![text]));
            self.note(|| format!("{author} publishes {service} over {base}: {outcome:?}"));
        }
    }

    /// The highest revision that any process serves by.
    fn latest_revision(&self, service: &str) -> Revision {
        let service = service_name(service);
        let revisions = self.nodes.values().filter_map(|node| match node.core.as_ref()? {
            Core::Entry(entry) => entry.revisions().get(&service).copied(),
            Core::Sidecar(_) => None,
        });
        revisions.max().unwrap_or_default()
    }

    /// Enters a VM's present state into the list, which tells it with the next look.
    fn list_vms(&mut self, vm: &VmId) {
        let Some(node) = self.nodes.get(vm) else { return };
        let entry = Vm {
            id: vm.clone(),
            role: node.role,
            service: node.service.map(service_name),
            zone: node.zone.clone(),
            link_address: format!("{vm}:0"),
            state: if node.leaving { VmState::Leaving } else { VmState::Live },
        };
        self.listed.retain(|listed| listed.id != *vm);
        self.listed.push(entry);
    }

    fn on_vm_list(&mut self) {
        self.schedule_after(VM_LIST_US, Due::VmList);
        let mut list = self.listed.clone();
        list.sort_by(|a, b| a.id.cmp(&b.id));
        for vm in self.nodes.keys().cloned().collect::<Vec<_>>() {
            let node = &self.nodes[&vm];
            if node.role == VmRole::Entry {
                let life = node.life;
                self.give(&vm, life, Input::Entry(EntryInput::Vms(list.clone())));
            }
        }
    }

    // Callers.

    fn on_send(&mut self, caller: usize) {
        if self.callers[caller].open.is_some() || self.callers[caller].ending.is_some() {
            return;
        }
        let Some(entry) = self.balance() else {
            self.schedule_after(SpanUs::from_ms(200), Due::Send { caller });
            return;
        };
        let id = RequestId::draw(&mut self.rng);
        let state = &mut self.callers[caller];
        let (program, at, turn) = (state.program.clone(), state.at, state.turn());
        state.open = Some(Open {
            id,
            entry: entry.clone(),
            text: String::new(),
            plain: None,
            sent_us: self.now,
        });
        self.open.insert(id, caller);
        self.note(|| format!("caller of {program} sends call {at} ({turn:?}) to {entry}, {id}"));
        self.counts.add("requests");
        let life = self.nodes[&entry].life;
        let delay = self.delay();
        self.schedule_after(delay, Due::Arrive { caller, entry, life, request: id });
        let patience = crate::chaos_callers::DEADLINE_US + FORGOTTEN_US;
        self.schedule_after(patience, Due::Forgotten { caller, request: id });
    }

    /// The platform's balancer: a ready entry, else any that lives.
    fn balance(&mut self) -> Option<VmId> {
        let ready = |node: &Node| match &node.core {
            Some(Core::Entry(entry)) => entry.is_ready(),
            _ => false,
        };
        let ready: Vec<&VmId> =
            self.nodes.iter().filter(|(_, node)| ready(node)).map(|(vm, _)| vm).collect();
        if ready.is_empty() {
            return None;
        }
        let at = self.rng.random_range(0..ready.len());
        Some(ready[at].clone())
    }

    fn on_arrive(&mut self, caller: usize, entry: &VmId, life: u64, id: RequestId) {
        if self.callers[caller].open.as_ref().is_none_or(|open| open.id != id) {
            return;
        }
        let request = Box::new(self.callers[caller].request(id));
        self.give(entry, life, Input::Entry(EntryInput::Request(request)));
    }

    fn on_answer(&mut self, id: RequestId, part: &AnswerPart) {
        let Some(caller) = self.open.get(&id).copied() else { return };
        let state = &mut self.callers[caller];
        let Some(open) = state.open.as_mut().filter(|open| open.id == id) else {
            self.checks.fail("own answer", format!("a part after the end of {id}"));
            return;
        };
        if let Some(wrong) = take_part(open, part) {
            let program = state.program.clone();
            self.checks.fail("own answer", format!("{program}, {id}: {wrong}"));
            return;
        }
        let next = match part {
            AnswerPart::Text { .. } | AnswerPart::Plain(_) => return,
            AnswerPart::Done(_) => {
                self.check_answer(caller, id);
                let think = SpanUs::from_ms(self.rng.random_range(1..4_000));
                self.counts.add("answers");
                self.callers[caller].on_done(think)
            }
            AnswerPart::Failed(error) => self.on_refused(caller, id, error),
        };
        self.open.remove(&id);
        self.go_on(caller, next);
    }

    fn check_answer(&mut self, caller: usize, id: RequestId) {
        let state = &self.callers[caller];
        let Some(open) = &state.open else { return };
        let (program, at) = (&state.program, state.at);
        let wrong = match state.turn() {
            Turn::Chat => {
                let expected = Backend::expected_text(&state.request(id));
                (open.text != expected).then(|| {
                    format!("{program}/{at}: got `{}`, expected `{expected}`", open.text)
                })
            }
            Turn::Hold => {
                let expected = Backend::expected_plain(state.body());
                let executed = self.checks.was_executed(state.body());
                (open.plain.as_ref() != Some(&expected) || !executed)
                    .then(|| format!("{program}/{at}: the answer to a hold is wrong or untrue"))
            }
        };
        if let Some(wrong) = wrong {
            self.checks.fail("own answer", wrong);
        }
    }

    fn on_refused(
        &mut self,
        caller: usize,
        id: RequestId,
        error: &clementinepick::error::CallError,
    ) -> Next {
        let answer = error.kind.answer();
        self.counts.add(answer.code);
        let patient = self.rng.random_bool(0.9);
        let program = self.callers[caller].program.clone();
        self.note(|| format!("caller of {program} is refused, {id}: {error}"));
        let next = self.callers[caller].on_failed(error, patient);
        if next == Next::End && answer.not_run == clementinepick::error::NotRun::Yes {
            let first_try = self.callers[caller].was_sent_once();
            let body = self.callers[caller].body();
            if first_try {
                self.checks.on_given_up(&program, body);
            }
        }
        next
    }

    fn on_forgotten(&mut self, caller: usize, id: RequestId) {
        let state = &self.callers[caller];
        if let Some(open) = state.open.as_ref().filter(|open| open.id == id) {
            let entry = open.entry.clone();
            if self.nodes[&entry].paused {
                self.schedule_after(SpanUs::from_s(5), Due::Forgotten { caller, request: id });
                return;
            }
            let (program, at) = (state.program.clone(), state.at);
            let detail = format!("{program}/{at}: no answer from {entry} long after the deadline");
            self.checks.fail("an answer in time", detail);
        }
    }

    fn go_on(&mut self, caller: usize, next: Next) {
        match next {
            Next::Wait => {}
            Next::SendAfter(span) => self.schedule_after(span, Due::Send { caller }),
            Next::End => self.end_program(caller),
        }
    }

    fn end_program(&mut self, caller: usize) {
        let program = self.callers[caller].program.clone();
        let ending = self.callers[caller].ending;
        self.note(|| format!("caller of {program} ends it: {ending:?}"));
        self.counts.add("programs ended");
        let Some(entry) = self.balance() else { return };
        let life = self.nodes[&entry].life;
        self.give(&entry, life, Input::Entry(EntryInput::EndProgram(program)));
    }

    // Faults.

    fn on_fault(&mut self, fault: &Fault) {
        self.note(|| format!("fault: {fault:?}"));
        self.counts.add(fault.name());
        match fault {
            Fault::Kill { vm, back_us } => {
                self.kill(vm);
                self.schedule_after(*back_us, Due::Start { vm: vm.clone() });
            }
            Fault::KillVm { vm, back_us } => {
                self.kill(vm);
                if let Some(backend) = self.backends.get_mut(vm) {
                    backend.restart(self.now);
                }
                self.schedule_after(*back_us, Due::Start { vm: vm.clone() });
            }
            Fault::Pause { vm, span_us } => {
                if let Some(node) = self.nodes.get_mut(vm).filter(|node| node.core.is_some()) {
                    node.paused = true;
                }
                self.schedule_after(*span_us, Due::Heal(fault.clone()));
            }
            Fault::LogDown { span_us } => {
                self.log.add_outage(self.now, self.now.after(*span_us));
            }
            Fault::LogLosesAnswers { appends } => self.lose_answers(*appends),
            Fault::Cut { from, to, both, span_us } => {
                self.cuts.insert((from.clone(), to.clone()));
                if *both {
                    self.cuts.insert((to.clone(), from.clone()));
                }
                self.schedule_after(*span_us, Due::Heal(fault.clone()));
                if *span_us >= CUT_LINK_US {
                    // Retransmissions give up before the cut heals.
                    self.schedule_after(CUT_LINK_US, Due::Heal(Fault::LinkReset {
                        from: from.clone(),
                        to: to.clone(),
                    }));
                }
            }
            Fault::LinkReset { from, to } => self.link_down(from, to),
            Fault::ZoneLost { zone, span_us } => self.lose_zone(zone, *span_us),
            Fault::Shutdown { vm } => self.shut_down(vm),
            Fault::Publish => self.on_publish(),
            Fault::PublishRace => {
                self.on_publish();
                self.on_publish();
            }
            Fault::BackendSlow { vm, span_us } => {
                if let Some(backend) = self.backends.get_mut(vm) {
                    backend.slow_until(self.now, self.now.after(*span_us));
                }
            }
        }
    }

    fn lose_answers(&mut self, appends: u32) {
        let script: Vec<Option<AppendFault>> = (0..appends)
            .map(|_| match self.rng.random_range(0..4) {
                0 => Some(AppendFault::LostRequest),
                1 => Some(AppendFault::LostAnswer),
                2 => Some(AppendFault::LateWrite(SpanUs(self.rng.random_range(1_000..3_000_000)))),
                _ => None,
            })
            .collect();
        self.log.script(script);
    }

    fn lose_zone(&mut self, zone: &ZoneName, span_us: SpanUs) {
        let lost: Vec<VmId> = self
            .nodes
            .iter()
            .filter(|(_, node)| node.zone == *zone)
            .map(|(vm, _)| vm.clone())
            .collect();
        for vm in lost {
            self.on_fault(&Fault::KillVm { vm, back_us: span_us });
        }
    }

    fn shut_down(&mut self, vm: &VmId) {
        let Some(node) = self.nodes.get_mut(vm) else { return };
        if node.core.is_none() || node.paused {
            return;
        }
        node.leaving = true;
        let (life, role) = (node.life, node.role);
        if role == VmRole::Sidecar {
            self.checks.on_leaving(self.now, vm);
        }
        let input = match role {
            VmRole::Entry => Input::Entry(EntryInput::Shutdown),
            VmRole::Sidecar => Input::Sidecar(SidecarInput::Shutdown),
        };
        self.give(vm, life, input);
        self.list_vms(vm);
    }

    fn on_heal(&mut self, fault: &Fault) {
        match fault {
            Fault::Pause { vm, .. } => self.resume(vm),
            Fault::Cut { from, to, both, .. } => {
                self.heal_cut(from, to);
                if *both {
                    self.heal_cut(to, from);
                }
            }
            Fault::LinkReset { from, to } => {
                if self.is_cut(from, to) {
                    self.link_down(from, to);
                }
            }
            _ => {}
        }
    }

    fn heal_cut(&mut self, from: &VmId, to: &VmId) {
        let direction = (from.clone(), to.clone());
        self.cuts.remove(&direction);
        for (generation, message) in self.stalled.remove(&direction).unwrap_or_default() {
            self.on_deliver(from.clone(), to.clone(), generation, message);
        }
    }

    fn resume(&mut self, vm: &VmId) {
        let Some(node) = self.nodes.get_mut(vm) else { return };
        if !std::mem::take(&mut node.paused) {
            return;
        }
        let life = node.life;
        let held: Vec<Input> = node.held.drain(..).collect();
        self.note(|| format!("{vm} goes on"));
        for input in held {
            self.give(vm, life, input);
        }
    }

    /// Checks what must hold once everything is quiet: no engine memory for ended programs.
    pub fn check_quiet(&mut self) {
        for caller in &self.callers {
            self.checks.on_ended(self.now, &caller.program);
        }
        let held: Vec<(VmId, ProgramId, Tokens)> = self
            .backends
            .iter()
            .flat_map(|(vm, backend)| {
                backend.held().into_iter().map(move |(program, held)| (vm.clone(), program, held))
            })
            .collect();
        for (vm, program, held) in held {
            self.checks.on_held(&vm, &program, held);
        }
    }

    /// The VMs that faults may strike.
    #[must_use]
    pub fn vms(settings: &WorldSettings) -> (Vec<VmId>, Vec<VmId>) {
        let named = |kind: &str, count: usize| {
            (0..count).map(move |at| format!("{kind}-{at}").parse().expect("a name")).collect::<Vec<VmId>>()
        };
        let mut sidecars = named("engine", settings.engines);
        sidecars.extend(named("plain", settings.plains));
        (named("entry", settings.entries), sidecars)
    }
}

fn outcome_of(answer: &Result<AppendAnswer, LogError>) -> AppendOutcome {
    match answer {
        Ok(answer) => AppendOutcome::Appended(answer.first_offset),
        Err(LogError::RateLimited(_) | LogError::Down) => AppendOutcome::Refused,
        Err(LogError::NoAnswer) => AppendOutcome::Unknown,
    }
}

fn pair(a: &VmId, b: &VmId) -> (VmId, VmId) {
    if a < b { (a.clone(), b.clone()) } else { (b.clone(), a.clone()) }
}

/// The document of a service; each publication differs a little.
fn document(service: &str, edition: u64) -> String {
    let weight = 1 + edition % 5;
    match service {
        ENGINE_SERVICE => format!(
            "[service]\nname = {service}\nkind = engine\nmax_running_per_backend = 4\n\
             [class concierge]\nrank = 1\nweight = {weight}\ndeadline = 30 s\nmax_output = 64 tokens\n\
             [program]\nidle = 60 s\ngap = 3 s\n[retention]\nlease = 10 s\n"
        ),
        _ => format!(
            "[service]\nname = {service}\nkind = plain\n[class holds]\nrank = 0\nweight = {weight}\n\
             deadline = 30 s\n[route POST /holds]\nidempotent = no\n"
        ),
    }
}
