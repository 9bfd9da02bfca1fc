//! Simulates processes, links, callers and the platform of a chaos run in virtual time.
//!
//! All events are in one queue ordered by time, and all random values come from seeded generators,
//! so that a seed always gives the same run, byte for byte.

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

pub(crate) const TICK_INTERVAL_US: SpanUs = SpanUs::from_ms(20);
/// The range of the one-way delay between two processes.
pub(crate) const LINK_DELAY_RANGE_US: (u64, u64) = (300, 2_500);
/// The range of the delay of a request to the log and of its response.
pub(crate) const LOG_DELAY_RANGE_US: (u64, u64) = (2_000, 12_000);
/// The interval at which entries poll the VM list.
pub(crate) const VM_LIST_INTERVAL_US: SpanUs = SpanUs::from_s(1);
/// The interval at which missing links are connected.
pub(crate) const CONNECT_INTERVAL_US: SpanUs = SpanUs::from_ms(200);
/// How long a link stays open while it is cut, until retransmission gives up.
pub(crate) const RETRANSMISSION_TIMEOUT_US: SpanUs = SpanUs::from_s(5);
pub(crate) const MAX_READ_RECORDS: usize = 500;
/// The time after its deadline by which a call must have its complete response.
pub(crate) const RESPONSE_GRACE_US: SpanUs = SpanUs::from_s(30);

/// An event in the queue of the simulation.
#[derive(Debug, Clone)]
pub(crate) enum ScheduledEvent {
    Tick {
        vm: VmId,
        start_count: u64,
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
    BackendWakeup {
        vm: VmId,
    },
    LogRead {
        vm: VmId,
        start_count: u64,
        stream: StreamName,
        from: Offset,
    },
    LogAppend {
        vm: VmId,
        start_count: u64,
        stream: StreamName,
        batch: u64,
        records: Vec<Record>,
    },
    LogResponse {
        vm: VmId,
        start_count: u64,
        input: Box<EntryInput>,
    },
    VmList,
    BackendResponse {
        vm: VmId,
        start_count: u64,
        input: Box<SidecarInput>,
    },
    Send {
        caller: usize,
    },
    Arrive {
        caller: usize,
        entry: VmId,
        start_count: u64,
        request: RequestId,
    },
    ResponseTimeout {
        caller: usize,
        request: RequestId,
    },
    Fault(Fault),
    EndFault(Fault),
    StartProcess {
        vm: VmId,
    },
    Publish,
}

/// The logic of a process, which is the code under test.
#[derive(Debug)]
pub(crate) enum ProcessLogic {
    Entry(Box<Entry>),
    Sidecar(Box<Sidecar>),
}

#[derive(Debug, Clone)]
pub(crate) enum Input {
    Entry(EntryInput),
    Sidecar(SidecarInput),
}

/// A VM with its process.
#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) role: VmRole,
    pub(crate) zone: ZoneName,
    pub(crate) service: Option<&'static str>,
    pub(crate) logic: Option<ProcessLogic>,
    pub(crate) start_count: u64,
    pub(crate) is_paused: bool,
    /// Inputs that arrived while the process was paused.
    pub(crate) paused_inputs: VecDeque<Input>,
    pub(crate) is_leaving: bool,
}

#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Link {
    pub(crate) generation: u64,
    pub(crate) is_up: bool,
    pub(crate) is_connecting: bool,
}

/// How often each kind of event occurred in a run.
#[derive(Debug, Clone, Default)]
pub struct Counts {
    /// The counts by name.
    pub by_name: BTreeMap<&'static str, u64>,
}

impl Counts {
    pub(crate) fn add(&mut self, name: &'static str) {
        *self.by_name.entry(name).or_default() += 1;
    }
}

/// The settings of a simulation.
#[derive(Debug, Clone)]
pub struct WorldSettings {
    /// The seed of the run.
    pub seed: u64,
    /// The number of entries.
    pub entries: usize,
    /// The number of engines, each with its sidecar.
    pub engines: usize,
    /// The number of servers of the plain service.
    pub plain_servers: usize,
    /// The number of programs.
    pub programs: usize,
    /// The time from the start within which all programs start and all faults begin.
    pub active_phase_us: SpanUs,
    /// The number of trace lines to keep.
    pub trace_lines: usize,
    /// The safeguards that are enabled.
    pub safeguards: Safeguards,
}

impl Default for WorldSettings {
    fn default() -> Self {
        Self {
            seed: 0,
            entries: 3,
            engines: 3,
            plain_servers: 2,
            programs: 40,
            active_phase_us: SpanUs::from_s(60),
            trace_lines: 400,
            safeguards: Safeguards::default(),
        }
    }
}

/// The state of a simulation.
pub struct World {
    pub(crate) settings: WorldSettings,
    pub(crate) now: TimeUs,
    pub(crate) rng: ChaCha12Rng,
    pub(crate) event_queue: BTreeMap<(TimeUs, u64), ScheduledEvent>,
    pub(crate) next_event_seq: u64,
    pub(crate) nodes: BTreeMap<VmId, Node>,
    pub(crate) backends: BTreeMap<VmId, Backend>,
    pub(crate) links: BTreeMap<(VmId, VmId), Link>,
    pub(crate) wanted_links: BTreeMap<VmId, BTreeSet<VmId>>,
    /// The delivery time of the last message in each direction.
    pub(crate) last_delivery_us: BTreeMap<(VmId, VmId), TimeUs>,
    pub(crate) cuts: BTreeSet<(VmId, VmId)>,
    /// Messages that wait while their direction is cut, with the generation of their link.
    pub(crate) stalled: BTreeMap<(VmId, VmId), VecDeque<(u64, Message)>>,
    pub(crate) log: LogService,
    pub(crate) callers: Vec<Caller>,
    pub(crate) callers_by_request: BTreeMap<RequestId, usize>,
    /// The checks of the run.
    pub checks: Checks,
    /// How often each kind of event occurred.
    pub counts: Counts,
    pub(crate) trace: VecDeque<String>,
    pub(crate) trace_digest: u64,
    pub(crate) steps: u64,
    pub(crate) publication_count: u64,
    /// The VM list, which entries see with a delay.
    pub(crate) vm_list: Vec<Vm>,
}

impl World {
    /// Creates a simulation at time zero that will inject `faults`.
    #[must_use]
    pub fn new(settings: WorldSettings, faults: Vec<(TimeUs, Fault)>) -> Self {
        let rng = ChaCha12Rng::seed_from_u64(settings.seed);
        let mut world = Self {
            now: TimeUs(0),
            rng,
            event_queue: BTreeMap::new(),
            next_event_seq: 0,
            nodes: BTreeMap::new(),
            backends: BTreeMap::new(),
            links: BTreeMap::new(),
            wanted_links: BTreeMap::new(),
            last_delivery_us: BTreeMap::new(),
            cuts: BTreeSet::new(),
            stalled: BTreeMap::new(),
            log: LogService::new(LogSettings {
                seed: settings.seed,
                ..LogSettings::default()
            }),
            callers: Vec::new(),
            callers_by_request: BTreeMap::new(),
            checks: Checks::default(),
            counts: Counts::default(),
            trace: VecDeque::new(),
            trace_digest: 0,
            steps: 0,
            publication_count: 0,
            vm_list: Vec::new(),
            settings,
        };
        world.add_nodes();
        world.add_callers();
        world.schedule(TimeUs(0), ScheduledEvent::Publish);
        world.schedule(TimeUs(1), ScheduledEvent::VmList);
        world.schedule(TimeUs(2), ScheduledEvent::Connect);
        for (at, fault) in faults {
            world.schedule(at, ScheduledEvent::Fault(fault));
        }
        world
    }

    fn add_nodes(&mut self) {
        let zones: Vec<ZoneName> = ["zone-a", "zone-b", "zone-c"]
            .iter()
            .map(|z| z.parse().expect("a valid name"))
            .collect();
        let mut add = |name: String, at: usize, role, service: Option<&'static str>| {
            let vm: VmId = name.parse().expect("a valid name");
            if let Some(service) = service {
                let backend =
                    Backend::new(service == ENGINE_SERVICE, self.settings.seed ^ at as u64);
                self.backends.insert(vm.clone(), backend);
            }
            let node = Node {
                role,
                zone: zones[at % zones.len()].clone(),
                service,
                logic: None,
                start_count: 0,
                is_paused: false,
                paused_inputs: VecDeque::new(),
                is_leaving: false,
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
        for at in 0..self.settings.plain_servers {
            add(
                format!("plain-{at}"),
                at,
                VmRole::Sidecar,
                Some(PLAIN_SERVICE),
            );
        }
        for vm in self.nodes.keys().cloned().collect::<Vec<_>>() {
            self.start_process(&vm);
        }
    }

    fn add_callers(&mut self) {
        for number in 0..self.settings.programs {
            let caller = Caller::draw(number as u64, &mut self.rng);
            self.checks.on_budget(&caller.program, caller.budget);
            self.callers.push(caller);
            let at = self
                .rng
                .random_range(2_000_000..self.settings.active_phase_us.0);
            self.schedule(TimeUs(at), ScheduledEvent::Send { caller: number });
        }
    }

    pub(crate) fn schedule(&mut self, at: TimeUs, event: ScheduledEvent) {
        self.next_event_seq += 1;
        self.event_queue.insert((at, self.next_event_seq), event);
    }

    pub(crate) fn schedule_after(&mut self, span: SpanUs, event: ScheduledEvent) {
        self.schedule(self.now.after(span), event);
    }

    pub(crate) fn draw_link_delay(&mut self) -> SpanUs {
        SpanUs(
            self.rng
                .random_range(LINK_DELAY_RANGE_US.0..LINK_DELAY_RANGE_US.1),
        )
    }

    pub(crate) fn draw_log_delay(&mut self) -> SpanUs {
        SpanUs(
            self.rng
                .random_range(LOG_DELAY_RANGE_US.0..LOG_DELAY_RANGE_US.1),
        )
    }

    pub(crate) fn record_trace(&mut self, line: impl FnOnce() -> String) {
        let line = format!("{:>10} {}", self.now.0, line());
        self.trace_digest = xxh3_64_with_seed(line.as_bytes(), self.trace_digest);
        if self.trace.len() >= self.settings.trace_lines {
            self.trace.pop_front();
        }
        self.trace.push_back(line);
    }

    /// Returns the last lines of the trace.
    pub fn trace(&self) -> impl Iterator<Item = &String> {
        self.trace.iter()
    }

    /// Returns the digest of the whole trace.
    #[must_use]
    pub const fn trace_digest(&self) -> u64 {
        self.trace_digest
    }

    /// Returns the number of events handled.
    #[must_use]
    pub const fn steps(&self) -> u64 {
        self.steps
    }

    /// Returns the current virtual time.
    #[must_use]
    pub const fn now(&self) -> TimeUs {
        self.now
    }

    /// Returns the callers.
    #[must_use]
    pub fn callers(&self) -> &[Caller] {
        &self.callers
    }

    /// Handles the next event; returns false if a property is violated or no event is left.
    pub fn step(&mut self) -> bool {
        let Some(((at, _), event)) = self.event_queue.pop_first() else {
            return false;
        };
        self.now = at;
        self.steps += 1;
        self.dispatch(event);
        self.checks.violation.is_none()
    }

    /// Returns whether every program has ended.
    #[must_use]
    pub fn all_ended(&self) -> bool {
        self.callers.iter().all(|caller| caller.outcome.is_some())
    }

    fn dispatch(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::Tick { vm, start_count } => self.on_tick(vm, start_count),
            ScheduledEvent::Deliver {
                from,
                to,
                generation,
                message,
            } => {
                self.on_deliver(&from, &to, generation, *message);
            }
            ScheduledEvent::LinkUp { a, b, generation } => self.on_link_up(&a, &b, generation),
            ScheduledEvent::Connect => self.on_connect(),
            ScheduledEvent::BackendWakeup { vm } => self.on_backend_wakeup(&vm),
            ScheduledEvent::LogRead {
                vm,
                start_count,
                stream,
                from,
            } => self.on_log_read(vm, start_count, stream, from),
            ScheduledEvent::LogAppend {
                vm,
                start_count,
                stream,
                batch,
                records,
            } => {
                self.on_log_append(vm, start_count, stream, batch, &records);
            }
            ScheduledEvent::LogResponse {
                vm,
                start_count,
                input,
            } => self.deliver_input(&vm, start_count, Input::Entry(*input)),
            ScheduledEvent::VmList => self.on_vm_list(),
            ScheduledEvent::BackendResponse {
                vm,
                start_count,
                input,
            } => self.deliver_input(&vm, start_count, Input::Sidecar(*input)),
            ScheduledEvent::Send { caller } => self.on_send(caller),
            ScheduledEvent::Arrive {
                caller,
                entry,
                start_count,
                request,
            } => {
                self.on_arrive(caller, &entry, start_count, request);
            }
            ScheduledEvent::ResponseTimeout { caller, request } => {
                self.on_response_timeout(caller, request);
            }
            ScheduledEvent::Fault(fault) => self.inject_fault(&fault),
            ScheduledEvent::EndFault(fault) => self.end_fault(&fault),
            ScheduledEvent::StartProcess { vm } => self.start_process(&vm),
            ScheduledEvent::Publish => self.on_publish(),
        }
    }

    /// Checks that no engine holds memory for a program; all of them must have ended.
    pub fn check_memory_released(&mut self) {
        for caller in &self.callers {
            self.checks.on_ended(self.now, &caller.program);
        }
        let held: Vec<(VmId, ProgramId, Tokens)> = self
            .backends
            .iter()
            .flat_map(|(vm, backend)| {
                backend
                    .cached_tokens()
                    .into_iter()
                    .map(move |(program, held)| (vm.clone(), program, held))
            })
            .collect();
        for (vm, program, held) in held {
            self.checks.on_memory_held(&vm, &program, held);
        }
    }

    /// Returns the ids of the entries and of the sidecars that faults may affect.
    ///
    /// # Panics
    ///
    /// Never panics, as a kind and a number make a valid name.
    #[must_use]
    pub fn vm_ids(settings: &WorldSettings) -> (Vec<VmId>, Vec<VmId>) {
        let named = |kind: &str, count: usize| {
            (0..count)
                .map(move |at| format!("{kind}-{at}").parse().expect("a valid name"))
                .collect::<Vec<VmId>>()
        };
        let mut sidecars = named("engine", settings.engines);
        sidecars.extend(named("plain", settings.plain_servers));
        (named("entry", settings.entries), sidecars)
    }
}

pub(crate) fn append_outcome(answer: &Result<AppendResponse, LogError>) -> AppendOutcome {
    match answer {
        Ok(answer) => AppendOutcome::Appended(answer.first_offset),
        Err(LogError::RateLimited(_) | LogError::Down) => AppendOutcome::Refused,
        Err(LogError::NoResponse) => AppendOutcome::Unknown,
    }
}

pub(crate) fn link_key(a: &VmId, b: &VmId) -> (VmId, VmId) {
    if a < b {
        (a.clone(), b.clone())
    } else {
        (b.clone(), a.clone())
    }
}

/// Returns the configuration document of a service; its weight depends on the publication.
pub(crate) fn service_document(service: &str, publication: u64) -> String {
    let weight = 1 + publication % 5;
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
