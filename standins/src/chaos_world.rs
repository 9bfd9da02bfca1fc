//! The world of a chaos run: processes, links, callers and the platform in virtual time.
//!
//! Everything that will happen lies in one queue ordered by time; one random number generator,
//! seeded, draws all that is left to chance. So a seed gives the same run, byte for byte.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use clementinepick::entry::{Entry, EntryInput};
use clementinepick::ids::{Offset, ProgramId, RequestId, VmId, ZoneName};
use clementinepick::journal::AppendOutcome;
use clementinepick::message::Message;
use clementinepick::platform::{AppendResponse, StreamName, Vm, VmRole};
use clementinepick::record::Record;
use clementinepick::safeguards::Safeguards;
use clementinepick::sidecar::{Sidecar, SidecarInput};
use clementinepick::units::{SpanUs, TimeUs, Tokens};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha12Rng;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::chaos_backend::Backend;
use crate::chaos_callers::{Caller, ENGINE_SERVICE, PLAIN_SERVICE};
use crate::chaos_checks::Checks;
use crate::chaos_faults::Fault;
use crate::log_service::{LogError, LogService, LogSettings};

/// The time between two ticks of a process.
pub(crate) const TICK_US: SpanUs = SpanUs::from_ms(20);
/// One-way delay between two processes.
pub(crate) const DELAY_US: (u64, u64) = (300, 2_500);
/// Delay of an answer of the log.
pub(crate) const LOG_DELAY_US: (u64, u64) = (2_000, 12_000);
/// The time between two looks at the VM list.
pub(crate) const VM_LIST_US: SpanUs = SpanUs::from_s(1);
/// The time between two attempts to bring up missing links.
pub(crate) const CONNECT_US: SpanUs = SpanUs::from_ms(200);
/// How long a link lives on while one direction is cut: retransmission gives up.
pub(crate) const CUT_LINK_US: SpanUs = SpanUs::from_s(5);
/// The most records that one read returns.
pub(crate) const READ_MAX: usize = 500;
/// A caller that hears nothing this long after its deadline was forgotten.
pub(crate) const FORGOTTEN_US: SpanUs = SpanUs::from_s(30);

/// What can happen next.
#[derive(Debug, Clone)]
pub(crate) enum Due {
    Tick {
        vm: VmId,
        life: u64,
    },
    Deliver {
        from: VmId,
        to: VmId,
        generation: u64,
        message: Box<Message>,
    },
    LinkUp {
        a: VmId,
        b: VmId,
        generation: u64,
    },
    Connect,
    Backend {
        vm: VmId,
    },
    LogRead {
        vm: VmId,
        life: u64,
        stream: StreamName,
        from: Offset,
    },
    LogAppend {
        vm: VmId,
        life: u64,
        stream: StreamName,
        batch: u64,
        records: Vec<Record>,
    },
    LogAnswer {
        vm: VmId,
        life: u64,
        input: Box<EntryInput>,
    },
    VmList,
    Answered {
        vm: VmId,
        life: u64,
        input: Box<SidecarInput>,
    },
    Send {
        caller: usize,
    },
    Arrive {
        caller: usize,
        entry: VmId,
        life: u64,
        request: RequestId,
    },
    Forgotten {
        caller: usize,
        request: RequestId,
    },
    Fault(Fault),
    Heal(Fault),
    Start {
        vm: VmId,
    },
    Publish,
}

/// The decisions of a process.
#[derive(Debug)]
pub(crate) enum Core {
    Entry(Box<Entry>),
    Sidecar(Box<Sidecar>),
}

#[derive(Debug, Clone)]
pub(crate) enum Input {
    Entry(EntryInput),
    Sidecar(SidecarInput),
}

/// One VM with its process.
#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) role: VmRole,
    pub(crate) zone: ZoneName,
    pub(crate) service: Option<&'static str>,
    pub(crate) core: Option<Core>,
    pub(crate) life: u64,
    pub(crate) paused: bool,
    /// What came while the process was paused.
    pub(crate) held: VecDeque<Input>,
    pub(crate) leaving: bool,
}

#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Link {
    pub(crate) generation: u64,
    pub(crate) up: bool,
    pub(crate) connecting: bool,
}

/// What a run counted.
#[derive(Debug, Clone, Default)]
pub struct Counts {
    /// By name.
    pub by_name: BTreeMap<&'static str, u64>,
}

impl Counts {
    pub(crate) fn add(&mut self, name: &'static str) {
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
    /// The lines of the trace that are kept.
    pub trace_lines: usize,
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
            trace_lines: 400,
            safeguards: Safeguards::default(),
        }
    }
}

/// The world.
pub struct World {
    pub(crate) settings: WorldSettings,
    pub(crate) now: TimeUs,
    pub(crate) rng: ChaCha12Rng,
    pub(crate) due: BTreeMap<(TimeUs, u64), Due>,
    pub(crate) next_due: u64,
    pub(crate) nodes: BTreeMap<VmId, Node>,
    pub(crate) backends: BTreeMap<VmId, Backend>,
    pub(crate) links: BTreeMap<(VmId, VmId), Link>,
    pub(crate) wants: BTreeMap<VmId, BTreeSet<VmId>>,
    /// When the last message of each direction is due.
    pub(crate) last_due: BTreeMap<(VmId, VmId), TimeUs>,
    pub(crate) cuts: BTreeSet<(VmId, VmId)>,
    /// What waits in the sender's buffers while its direction is cut, with the link's generation.
    pub(crate) stalled: BTreeMap<(VmId, VmId), VecDeque<(u64, Message)>>,
    pub(crate) log: LogService,
    pub(crate) callers: Vec<Caller>,
    pub(crate) open: BTreeMap<RequestId, usize>,
    /// What callers and backend servers have seen.
    pub checks: Checks,
    /// What happened how often.
    pub counts: Counts,
    pub(crate) trace: VecDeque<String>,
    pub(crate) trace_digest: u64,
    pub(crate) steps: u64,
    pub(crate) published: u64,
    /// The last listed state of the VMs, which lags.
    pub(crate) listed: Vec<Vm>,
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
            log: LogService::new(LogSettings {
                seed: settings.seed,
                ..LogSettings::default()
            }),
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
        let zones: Vec<ZoneName> = ["zone-a", "zone-b", "zone-c"]
            .iter()
            .map(|z| z.parse().expect("a name"))
            .collect();
        let mut add = |name: String, at: usize, role, service: Option<&'static str>| {
            let vm: VmId = name.parse().expect("a name");
            if let Some(service) = service {
                let backend =
                    Backend::new(service == ENGINE_SERVICE, self.settings.seed ^ at as u64);
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
            add(
                format!("engine-{at}"),
                at,
                VmRole::Sidecar,
                Some(ENGINE_SERVICE),
            );
        }
        for at in 0..self.settings.plains {
            add(
                format!("plain-{at}"),
                at,
                VmRole::Sidecar,
                Some(PLAIN_SERVICE),
            );
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

    pub(crate) fn schedule(&mut self, at: TimeUs, due: Due) {
        self.next_due += 1;
        self.due.insert((at, self.next_due), due);
    }

    pub(crate) fn schedule_after(&mut self, span: SpanUs, due: Due) {
        self.schedule(self.now.after(span), due);
    }

    pub(crate) fn delay(&mut self) -> SpanUs {
        SpanUs(self.rng.random_range(DELAY_US.0..DELAY_US.1))
    }

    pub(crate) fn log_delay(&mut self) -> SpanUs {
        SpanUs(self.rng.random_range(LOG_DELAY_US.0..LOG_DELAY_US.1))
    }

    pub(crate) fn note(&mut self, line: impl FnOnce() -> String) {
        let line = format!("{:>10} {}", self.now.0, line());
        self.trace_digest = xxh3_64_with_seed(line.as_bytes(), self.trace_digest);
        if self.trace.len() >= self.settings.trace_lines {
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
        let Some(((at, _), due)) = self.due.pop_first() else {
            return false;
        };
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
            Due::Deliver {
                from,
                to,
                generation,
                message,
            } => {
                self.on_deliver(&from, &to, generation, *message);
            }
            Due::LinkUp { a, b, generation } => self.on_link_up(&a, &b, generation),
            Due::Connect => self.on_connect(),
            Due::Backend { vm } => self.on_backend(&vm),
            Due::LogRead {
                vm,
                life,
                stream,
                from,
            } => self.on_log_read(vm, life, stream, from),
            Due::LogAppend {
                vm,
                life,
                stream,
                batch,
                records,
            } => {
                self.on_log_append(vm, life, stream, batch, &records);
            }
            Due::LogAnswer { vm, life, input } => self.give(&vm, life, Input::Entry(*input)),
            Due::VmList => self.on_vm_list(),
            Due::Answered { vm, life, input } => self.give(&vm, life, Input::Sidecar(*input)),
            Due::Send { caller } => self.on_send(caller),
            Due::Arrive {
                caller,
                entry,
                life,
                request,
            } => {
                self.on_arrive(caller, &entry, life, request);
            }
            Due::Forgotten { caller, request } => self.on_forgotten(caller, request),
            Due::Fault(fault) => self.on_fault(&fault),
            Due::Heal(fault) => self.on_heal(&fault),
            Due::Start { vm } => self.start(&vm),
            Due::Publish => self.on_publish(),
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
                backend
                    .held()
                    .into_iter()
                    .map(move |(program, held)| (vm.clone(), program, held))
            })
            .collect();
        for (vm, program, held) in held {
            self.checks.on_held(&vm, &program, held);
        }
    }

    /// The VMs that faults may strike.
    ///
    /// # Panics
    ///
    /// Never: a kind and a number make a name.
    #[must_use]
    pub fn vms(settings: &WorldSettings) -> (Vec<VmId>, Vec<VmId>) {
        let named = |kind: &str, count: usize| {
            (0..count)
                .map(move |at| format!("{kind}-{at}").parse().expect("a name"))
                .collect::<Vec<VmId>>()
        };
        let mut sidecars = named("engine", settings.engines);
        sidecars.extend(named("plain", settings.plains));
        (named("entry", settings.entries), sidecars)
    }
}

pub(crate) fn outcome_of(answer: &Result<AppendResponse, LogError>) -> AppendOutcome {
    match answer {
        Ok(answer) => AppendOutcome::Appended(answer.first_offset),
        Err(LogError::RateLimited(_) | LogError::Down) => AppendOutcome::Refused,
        Err(LogError::NoResponse) => AppendOutcome::Unknown,
    }
}

pub(crate) fn pair(a: &VmId, b: &VmId) -> (VmId, VmId) {
    if a < b {
        (a.clone(), b.clone())
    } else {
        (b.clone(), a.clone())
    }
}

/// The document of a service; each publication differs a little.
pub(crate) fn document(service: &str, edition: u64) -> String {
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
