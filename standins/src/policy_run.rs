//! One run of the policy tool: programs, entries and backend servers in virtual time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use clementinepick::ids::{AttemptId, ServiceName, VmId};
use clementinepick::units::{SpanUs, TimeUs, Tokens};
use rand_chacha::ChaCha12Rng;
use rand_chacha::rand_core::SeedableRng;

use crate::policy_backend_selector::BackendSelector;
use crate::policy_backend_vm::{BackendServer, BackendVm, CallWork, SidecarCall};
use crate::policy_engine::{CompletedCall, EngineCall};
use crate::policy_program::{Program, Programs};
use crate::policy_result::{Latencies, RunMetrics, to_f64};
use crate::policy_run_settings::RunSettings;
use crate::policy_sampling::uniform;
use crate::policy_workload::{AfterTurn, Mix, Plan, Work, parse_name};

/// Entries among which the programs are spread.
const ENTRIES: usize = 3;
/// The way from an entry to a sidecar, and back.
const ONE_WAY: SpanUs = SpanUs(1_500);
/// The time between two looks at what is kept.
const TICK: SpanUs = SpanUs::from_ms(250);
/// The time after which a backend server that fell silent counts as gone.
const SILENCE: SpanUs = SpanUs::from_s(3);
/// How long the engine that fails is down.
const DOWN: SpanUs = SpanUs::from_s(120);
/// How long a caller waits before it sends a refused call again.
const COME_BACK: SpanUs = SpanUs::from_s(1);
/// Sends of one call before its program counts as failed.
const MAX_SENDS: u32 = 30;
/// Backend servers that an entry tries before it gives a call back to its caller.
const MAX_TRIED: usize = 3;
/// Bytes of cache that one token takes.
const BYTES_PER_TOKEN: f64 = 160_000.0;
/// How long programs may go on after the last one came; those that have not ended by then count as
/// failed, with the whole run as their latency.
const DRAIN: SpanUs = SpanUs::from_s(5_400);

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A program issues its next call.
    Issue(usize),
    /// A call reaches its sidecar.
    Dispatch(AttemptId),
    /// A backend server may have something to tell.
    Backend(usize),
    /// The answer of a call reaches the program.
    Answer(usize),
    /// A call's caller gives up.
    Deadline(AttemptId),
    /// A program that nobody ended has been idle for too long.
    Idle(usize),
    /// Sidecars report.
    Heartbeat,
    /// Sidecars look at what does not pay any more.
    Tick,
    /// An engine fails.
    Fault,
    /// The entries learn that the engine is gone, or back.
    Noticed(bool),
    /// The engine works again.
    Repaired,
    /// What follows is measured.
    WindowStart,
    /// What follows is not measured any more.
    WindowEnd,
}

#[derive(Debug, Clone)]
struct Call {
    program: usize,
    entry: usize,
    host: usize,
    work_tokens: Tokens,
    started: bool,
    turn: Option<SidecarCall>,
}

/// The state of one run.
pub struct Run<'a> {
    mix: &'a Mix,
    run_settings: RunSettings,
    now: TimeUs,
    queue: BinaryHeap<Reverse<(TimeUs, u64, Event)>>,
    events: u64,
    hosts: Vec<BackendVm>,
    by_vm: BTreeMap<VmId, usize>,
    entries: Vec<BackendSelector>,
    programs: Programs,
    calls: BTreeMap<AttemptId, Call>,
    attempts: u128,
    rng: ChaCha12Rng,
    latencies: Latencies,
    metrics: RunMetrics,
    measuring: bool,
    wasted_before: (u128, u128),
}

impl<'a> Run<'a> {
    /// A run over the plans, before its first event.
    #[must_use]
    pub fn new(mix: &'a Mix, run_settings: RunSettings, seed: u64, plans: Vec<Plan>) -> Self {
        let mut hosts = Vec::new();
        for n in 0..mix.engines {
            hosts.push(BackendVm::engine(
                parse_name(&format!("engine-{n:02}")),
                &mix.engine_document,
                &run_settings,
            ));
        }
        for n in 0..mix.plain_servers {
            hosts.push(BackendVm::plain(
                parse_name(&format!("plain-{n:02}")),
                &mix.plain_document,
                &run_settings,
            ));
        }
        let service = |host: &BackendVm| match host.backend {
            BackendServer::Engine(_) => mix.engine_document.service.clone(),
            BackendServer::Plain { .. } => mix.plain_document.service.clone(),
        };
        let known: Vec<_> = hosts
            .iter()
            .map(|host| (host.vm.clone(), service(host), parse_name("zone")))
            .collect();
        let by_vm = known
            .iter()
            .enumerate()
            .map(|(at, (vm, ..))| (vm.clone(), at))
            .collect();
        let metrics = RunMetrics {
            policy: run_settings.policy.clone(),
            seed,
            ..RunMetrics::default()
        };
        let mut run = Self {
            mix,
            now: TimeUs(0),
            queue: BinaryHeap::new(),
            events: 0,
            by_vm,
            entries: (0..ENTRIES)
                .map(|_| BackendSelector::new(&run_settings, &known))
                .collect(),
            programs: Programs::new(plans),
            calls: BTreeMap::new(),
            attempts: 0,
            rng: ChaCha12Rng::seed_from_u64(seed ^ 0xfa_17),
            latencies: Latencies::default(),
            metrics,
            measuring: false,
            wasted_before: (0, 0),
            hosts,
            run_settings,
        };
        run.start();
        run
    }

    fn start(&mut self) {
        for (at, program) in self.programs.list.iter().enumerate() {
            self.events += 1;
            self.queue
                .push(Reverse((program.arrives_us, self.events, Event::Issue(at))));
        }
        let horizon = TimeUs(self.run_settings.horizon_us.0);
        self.at(TimeUs(self.run_settings.heartbeat_us.0), Event::Heartbeat);
        self.at(TimeUs(TICK.0), Event::Tick);
        self.at(TimeUs(self.run_settings.warmup_us.0), Event::WindowStart);
        self.at(horizon, Event::WindowEnd);
        if self.run_settings.injects_fault {
            let fault_us = TimeUs(horizon.0 / 3);
            self.at(fault_us, Event::Fault);
            self.at(fault_us.after(SILENCE), Event::Noticed(false));
            self.at(fault_us.after(DOWN), Event::Repaired);
            self.at(fault_us.after(DOWN).after(SILENCE), Event::Noticed(true));
        }
    }

    fn at(&mut self, at_us: TimeUs, event: Event) {
        self.events += 1;
        self.queue.push(Reverse((at_us, self.events, event)));
    }

    /// Runs to the end.
    #[must_use]
    pub fn finish(mut self) -> RunMetrics {
        let last_us = TimeUs(self.run_settings.horizon_us.0).after(DRAIN);
        while let Some(Reverse((at_us, _, event))) = self.queue.pop() {
            if at_us > last_us || self.programs.live_count == 0 {
                break;
            }
            self.now = at_us;
            self.handle(event);
        }
        self.fail_unfinished();
        self.latencies.fill_metrics(self.mix, &mut self.metrics);
        self.metrics
    }

    fn fail_unfinished(&mut self) {
        for at in 0..self.programs.list.len() {
            if !self.programs.list[at].has_ended {
                self.fail_program(at);
            }
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Issue(program) => self.issue(program),
            Event::Dispatch(attempt) => self.dispatch(attempt),
            Event::Backend(host) => self.backend(host),
            Event::Answer(program) => self.answered(program),
            Event::Deadline(attempt) => self.deadline(attempt),
            Event::Idle(program) => self.release(program, false),
            Event::Heartbeat => self.heartbeat(),
            Event::Tick => {
                for host in &mut self.hosts {
                    host.release_expired(self.now);
                }
                self.at(self.now.after(TICK), Event::Tick);
            }
            Event::Fault => self.fault(),
            Event::Noticed(up) => {
                let vm = self.hosts[0].vm.clone();
                for entry in &mut self.entries {
                    entry.set_available(&vm, up);
                }
            }
            Event::Repaired => self.hosts[0].is_down = false,
            Event::WindowStart => {
                self.measuring = true;
                self.wasted_before = self.wasted();
            }
            Event::WindowEnd => {
                self.measuring = false;
                let (before, after) = (self.wasted_before, self.wasted());
                self.metrics.wasted_gb_s = gb_s(after.0 - before.0);
                self.metrics.never_reused_gb_s = gb_s(after.1.saturating_sub(before.1));
                let window_s = self.run_settings.horizon_us.as_s_f64()
                    - self.run_settings.warmup_us.as_s_f64();
                self.metrics.completed_per_s /= window_s;
                self.metrics.plain_completed_per_s /= window_s;
            }
        }
    }

    /// Idle cache so far that no reuse followed, and the part that was never reused at all.
    fn wasted(&self) -> (u128, u128) {
        let engines = self.hosts.iter().filter_map(|host| match &host.backend {
            BackendServer::Engine(engine) => Some(engine.spend(self.now)),
            BackendServer::Plain { .. } => None,
        });
        engines.fold((0, 0), |(all, never), spend| {
            (
                all + spend.wasted_token_us(),
                never + spend.never_reused_token_us,
            )
        })
    }

    fn service_of(&self, program: &Program) -> ServiceName {
        match program.work {
            Work::Turns { .. } => self.mix.engine_document.service.clone(),
            Work::Plain { .. } => self.mix.plain_document.service.clone(),
        }
    }

    fn issue(&mut self, at: usize) {
        if self.programs.list[at].has_ended {
            return;
        }
        self.programs.begin_call(self.now, at);
        self.send(at, BTreeSet::new());
    }

    /// Chooses a backend server for a program's present call and sends it there.
    fn send(&mut self, at: usize, tried: BTreeSet<VmId>) {
        let program = &self.programs.list[at];
        let service = self.service_of(program);
        // A sub-agent spends from the account of its root, so it has the root's owner.
        let entry = self.programs.root(at) % ENTRIES;
        let prompt = program.to_prompt();
        let last = program.last_vm.map(|host| self.hosts[host].vm.clone());
        let picked =
            self.entries[entry].pick(self.now, &service, prompt.as_ref(), last.as_ref(), &tried);
        let Some(choice) = picked else {
            self.come_back(at);
            return;
        };
        let (host, work_tokens) = (self.by_vm[&choice.vm], choice.uncached_tokens);
        self.attempts += 1;
        let attempt = AttemptId(self.attempts);
        let attained_tokens = self.programs.attained(at);
        let program = &mut self.programs.list[at];
        program.tried = tried;
        program.tried.insert(self.hosts[host].vm.clone());
        let rules = match &program.work {
            Work::Turns { .. } => self.mix.engine_document.class(&program.class),
            Work::Plain { .. } => self.mix.plain_document.class(&program.class),
        };
        let deadline_us = program
            .issued_us
            .after(rules.map_or(SpanUs(0), |r| r.deadline_us));
        let work = match &program.work {
            Work::Plain { service_us } => CallWork::Plain(*service_us),
            Work::Turns { .. } => {
                let (prompt, output) = program.current_call();
                CallWork::Turn(EngineCall {
                    attempt,
                    prompt,
                    output,
                })
            }
        };
        let host_call = SidecarCall {
            attempt,
            program: program.id.clone(),
            class: program.class.clone(),
            deadline_us,
            attained_tokens,
            next_tool: program.next_tool(),
            prefill_tokens: work_tokens,
            work,
        };
        let vm = &self.hosts[host].vm;
        self.entries[entry].on_sent(vm, work_tokens);
        let call = Call {
            program: at,
            entry,
            host,
            work_tokens,
            started: false,
            turn: Some(host_call),
        };
        self.calls.insert(attempt, call);
        self.at(self.now.after(ONE_WAY), Event::Dispatch(attempt));
        self.at(deadline_us, Event::Deadline(attempt));
    }

    fn dispatch(&mut self, attempt: AttemptId) {
        let Some(call) = self.calls.get_mut(&attempt) else {
            return;
        };
        let (host, turn) = (call.host, call.turn.take());
        call.started = true;
        let Some(turn) = turn else { return };
        if self.hosts[host].is_down || !self.hosts[host].receive_call(self.now, turn) {
            self.refused(attempt);
            return;
        }
        for shed in std::mem::take(&mut self.hosts[host].shed) {
            self.refused(shed);
        }
        self.wake(host);
    }

    fn wake(&mut self, host: usize) {
        if let Some(next_event_us) = self.hosts[host].next_event_us() {
            self.at(next_event_us, Event::Backend(host));
        }
    }

    fn backend(&mut self, host: usize) {
        if self.hosts[host].next_event_us() != Some(self.now) {
            return;
        }
        let progress = self.hosts[host].advance(self.now);
        for attempt in progress.prefilled {
            self.hosts[host].on_prefilled(self.now, attempt);
        }
        for done in progress.completed {
            self.hosts[host].on_completed(self.now, done.attempt);
            self.done(&done);
        }
        self.wake(host);
    }

    fn done(&mut self, done: &CompletedCall) {
        let Some(call) = self.calls.remove(&done.attempt) else {
            return;
        };
        let vm = &self.hosts[call.host].vm;
        self.entries[call.entry].on_ended(vm, call.work_tokens, false);
        if self.measuring {
            match self.programs.list[call.program].work {
                Work::Turns { .. } => self.metrics.completed_per_s += 1.0,
                Work::Plain { .. } => self.metrics.plain_completed_per_s += 1.0,
            }
            self.metrics.reused_tokens += to_f64(done.cached_tokens.0);
        }
        if let Some(prompt) = self.programs.list[call.program].to_prompt() {
            let vm = &self.hosts[call.host].vm;
            self.entries[call.entry].on_prompt_cached(vm, &prompt);
        }
        let prompt_tokens =
            self.programs
                .record_response(call.program, call.host, done.cached_tokens);
        if self.measuring {
            self.metrics.prompt_tokens += to_f64(prompt_tokens.0);
        }
        self.at(self.now.after(ONE_WAY), Event::Answer(call.program));
    }

    /// The program has its answer and goes on.
    fn answered(&mut self, at: usize) {
        match self.programs.advance_turn(self.now, at) {
            AfterTurn::Tool { pause_us, .. } => self.at(self.now.after(pause_us), Event::Issue(at)),
            AfterTurn::WaitForUser { pause_us } => {
                self.programs.list[at].think_time_us += pause_us;
                self.at(self.now.after(pause_us), Event::Issue(at));
            }
            AfterTurn::Fork(agents) => {
                for child in self.programs.start_sub_agents(self.now, at, agents) {
                    self.at(self.now, Event::Issue(child));
                }
            }
            AfterTurn::End => {
                self.release(at, true);
                self.end(at);
            }
            AfterTurn::Abandoned => {
                // Nobody says that the program has ended: its owner learns it by the idle limit.
                let idle_us = self.mix.engine_document.program.idle_us;
                self.at(self.now.after(idle_us), Event::Idle(at));
                self.end(at);
            }
        }
    }

    fn end(&mut self, at: usize) {
        let program = self.programs.end(at);
        if let Some(parent) = program.parent {
            if self.programs.on_child_ended(parent) {
                self.at(self.now, Event::Issue(parent));
            }
            return;
        }
        let whole = self.now.since(program.arrives_us);
        let latency_us = SpanUs(whole.0 - program.think_time_us.0);
        if program.arrives_us.0 >= self.run_settings.warmup_us.0 {
            self.latencies.record(&program.class, latency_us);
        }
    }

    /// Frees what a program left in the engines.
    fn release(&mut self, at: usize, known: bool) {
        let program = &self.programs.list[at];
        for host in &program.vms_with_prefix {
            self.hosts[*host].on_program_ended(self.now, &program.id, known);
        }
    }

    fn fail_program(&mut self, at: usize) {
        self.release(at, true);
        let program = self.programs.end(at);
        if let Some(parent) = program.parent {
            if !self.programs.list[parent].has_ended {
                self.fail_program(parent);
            }
        } else if program.arrives_us.0 >= self.run_settings.warmup_us.0 {
            let longest_us = self.run_settings.horizon_us + DRAIN;
            self.latencies.record_failed(&program.class, longest_us);
        }
    }

    /// A call was refused or failed: it is tried elsewhere, or given back to its caller.
    fn refused(&mut self, attempt: AttemptId) {
        let Some(call) = self.calls.remove(&attempt) else {
            return;
        };
        let vm = &self.hosts[call.host].vm;
        self.entries[call.entry].on_ended(vm, call.work_tokens, true);
        self.metrics.retries += 1;
        let tried = self.programs.list[call.program].tried.clone();
        if tried.len() < MAX_TRIED {
            self.send(call.program, tried);
        } else {
            self.come_back(call.program);
        }
    }

    fn come_back(&mut self, at: usize) {
        self.metrics.refused += 1;
        let program = &mut self.programs.list[at];
        program.return_count += 1;
        if program.return_count > MAX_SENDS {
            self.fail_program(at);
        } else {
            self.at(self.now.after(COME_BACK), Event::Issue(at));
        }
    }

    fn deadline(&mut self, attempt: AttemptId) {
        let Some(call) = self.calls.remove(&attempt) else {
            return;
        };
        let vm = &self.hosts[call.host].vm;
        self.entries[call.entry].on_ended(vm, call.work_tokens, false);
        if call.started {
            self.hosts[call.host].cancel(self.now, attempt);
            self.wake(call.host);
        }
        self.fail_program(call.program);
    }

    fn heartbeat(&mut self) {
        for host in &mut self.hosts {
            if host.is_down {
                continue;
            }
            let load = host.load_report();
            for entry in &mut self.entries {
                entry.on_load(self.now, &host.vm, load);
            }
            let BackendServer::Engine(engine) = &mut host.backend else {
                continue;
            };
            let events = engine.take_events();
            let first = host.next_cache_event;
            host.next_cache_event += events.len() as u64;
            for entry in &mut self.entries {
                if uniform(&mut self.rng) >= self.run_settings.event_loss_probability {
                    entry.on_cache(&host.vm, first, &events);
                }
            }
        }
        self.at(
            self.now.after(self.run_settings.heartbeat_us),
            Event::Heartbeat,
        );
    }

    /// The first engine fails with all that it holds.
    fn fault(&mut self) {
        self.hosts[0].fail(self.now);
        let lost = self
            .calls
            .iter()
            .filter(|(_, call)| call.host == 0 && call.started);
        let lost: Vec<AttemptId> = lost.map(|(attempt, _)| *attempt).collect();
        for attempt in lost {
            self.refused(attempt);
        }
    }
}

#[expect(clippy::cast_precision_loss, reason = "a figure to print")]
fn gb_s(token_us: u128) -> f64 {
    token_us as f64 / 1e6 * BYTES_PER_TOKEN / 1e9
}
