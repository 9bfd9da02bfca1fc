//! Runs a discrete-event simulation of programs, entries and backend servers.

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

const ENTRY_COUNT: usize = 3;
/// The network delay between an entry and a sidecar, in each direction.
const ONE_WAY_DELAY: SpanUs = SpanUs(1_500);
/// The interval at which sidecars release expired prefixes.
const RETENTION_TICK_INTERVAL: SpanUs = SpanUs::from_ms(250);
/// The time until the entries notice that a backend server failed or recovered.
const FAILURE_DETECTION_DELAY: SpanUs = SpanUs::from_s(3);
/// The time for which a failed engine is down.
const FAULT_DURATION: SpanUs = SpanUs::from_s(120);
/// The time after which a caller repeats a returned call.
const CALLER_RETRY_DELAY: SpanUs = SpanUs::from_s(1);
/// The maximum number of times that a call is returned to its caller; then its program fails.
const MAX_RETURNS: u32 = 30;
/// The maximum number of backend servers that an entry tries before it returns a call.
const MAX_BACKENDS_TRIED: usize = 3;
/// The cache memory of a token.
const BYTES_PER_TOKEN: f64 = 160_000.0;
/// The time that programs have to end after the arrival period. Those that have not ended by then
/// fail, with the duration of the whole run as their latency.
const DRAIN_TIMEOUT: SpanUs = SpanUs::from_s(5_400);

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A program issues its next call or repeats a returned one.
    Issue(usize),
    /// A call reaches its sidecar.
    Dispatch(AttemptId),
    /// A backend server may have progressed; outdated events are ignored.
    BackendProgress(usize),
    /// The response to a call reaches its program.
    Response(usize),
    /// The caller of a call gives up.
    Deadline(AttemptId),
    /// An abandoned program reaches the idle timeout.
    IdleTimeout(usize),
    /// The sidecars send load reports and cache events.
    Heartbeat,
    /// The sidecars release expired prefixes.
    RetentionTick,
    /// The first engine fails.
    Fault,
    /// The entries notice whether the first engine is available.
    AvailabilityKnown(bool),
    /// The first engine recovers.
    Recovered,
    /// The measurement starts.
    WindowStart,
    /// The measurement ends.
    WindowEnd,
}

/// A call between its send and its end.
#[derive(Debug, Clone)]
struct PendingCall {
    program: usize,
    entry: usize,
    vm_index: usize,
    work_tokens: Tokens,
    is_delivered: bool,
    sidecar_call: Option<SidecarCall>,
}

/// The state of one run.
pub struct Simulation<'a> {
    mix: &'a Mix,
    run_settings: RunSettings,
    now: TimeUs,
    event_queue: BinaryHeap<Reverse<(TimeUs, u64, Event)>>,
    last_event_seq: u64,
    vms: Vec<BackendVm>,
    vm_indices: BTreeMap<VmId, usize>,
    entries: Vec<BackendSelector>,
    programs: Programs,
    calls: BTreeMap<AttemptId, PendingCall>,
    attempt_count: u128,
    rng: ChaCha12Rng,
    latencies: Latencies,
    metrics: RunMetrics,
    is_measuring: bool,
    wasted_at_window_start: (u128, u128),
}

impl<'a> Simulation<'a> {
    /// Creates a run over the given plans.
    #[must_use]
    pub fn new(mix: &'a Mix, run_settings: RunSettings, seed: u64, plans: Vec<Plan>) -> Self {
        let mut vms = Vec::new();
        for n in 0..mix.engines {
            vms.push(BackendVm::engine(
                parse_name(&format!("engine-{n:02}")),
                &mix.engine_document,
                &run_settings,
            ));
        }
        for n in 0..mix.plain_servers {
            vms.push(BackendVm::plain(
                parse_name(&format!("plain-{n:02}")),
                &mix.plain_document,
                &run_settings,
            ));
        }
        let service = |vm: &BackendVm| match vm.backend {
            BackendServer::Engine(_) => mix.engine_document.service.clone(),
            BackendServer::Plain { .. } => mix.plain_document.service.clone(),
        };
        let backends: Vec<_> = vms
            .iter()
            .map(|vm| (vm.id.clone(), service(vm), parse_name("zone")))
            .collect();
        let vm_indices = backends
            .iter()
            .enumerate()
            .map(|(index, (vm, ..))| (vm.clone(), index))
            .collect();
        let metrics = RunMetrics {
            policy: run_settings.policy.clone(),
            seed,
            ..RunMetrics::default()
        };
        let mut run = Self {
            mix,
            now: TimeUs(0),
            event_queue: BinaryHeap::new(),
            last_event_seq: 0,
            vm_indices,
            entries: (0..ENTRY_COUNT)
                .map(|_| BackendSelector::new(&run_settings, &backends))
                .collect(),
            programs: Programs::new(plans),
            calls: BTreeMap::new(),
            attempt_count: 0,
            rng: ChaCha12Rng::seed_from_u64(seed ^ 0xfa_17),
            latencies: Latencies::default(),
            metrics,
            is_measuring: false,
            wasted_at_window_start: (0, 0),
            vms,
            run_settings,
        };
        run.schedule_initial_events();
        run
    }

    fn schedule_initial_events(&mut self) {
        for (program_index, program) in self.programs.list.iter().enumerate() {
            self.last_event_seq += 1;
            self.event_queue.push(Reverse((
                program.arrives_us,
                self.last_event_seq,
                Event::Issue(program_index),
            )));
        }
        let horizon = TimeUs(self.run_settings.horizon_us.0);
        self.schedule(TimeUs(self.run_settings.heartbeat_us.0), Event::Heartbeat);
        self.schedule(TimeUs(RETENTION_TICK_INTERVAL.0), Event::RetentionTick);
        self.schedule(TimeUs(self.run_settings.warmup_us.0), Event::WindowStart);
        self.schedule(horizon, Event::WindowEnd);
        if self.run_settings.injects_fault {
            let fault_us = TimeUs(horizon.0 / 3);
            self.schedule(fault_us, Event::Fault);
            self.schedule(
                fault_us.after(FAILURE_DETECTION_DELAY),
                Event::AvailabilityKnown(false),
            );
            self.schedule(fault_us.after(FAULT_DURATION), Event::Recovered);
            self.schedule(
                fault_us
                    .after(FAULT_DURATION)
                    .after(FAILURE_DETECTION_DELAY),
                Event::AvailabilityKnown(true),
            );
        }
    }

    fn schedule(&mut self, at_us: TimeUs, event: Event) {
        self.last_event_seq += 1;
        self.event_queue
            .push(Reverse((at_us, self.last_event_seq, event)));
    }

    /// Runs to the end, and returns the metrics.
    #[must_use]
    pub fn finish(mut self) -> RunMetrics {
        let last_us = TimeUs(self.run_settings.horizon_us.0).after(DRAIN_TIMEOUT);
        while let Some(Reverse((at_us, _, event))) = self.event_queue.pop() {
            if at_us > last_us || self.programs.live_count == 0 {
                break;
            }
            self.now = at_us;
            self.handle_event(event);
        }
        self.fail_unfinished();
        self.latencies.fill_metrics(self.mix, &mut self.metrics);
        self.metrics
    }

    fn fail_unfinished(&mut self) {
        for program_index in 0..self.programs.list.len() {
            if !self.programs.list[program_index].has_ended {
                self.fail_program(program_index);
            }
        }
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Issue(program) => self.issue_call(program),
            Event::Dispatch(attempt) => self.deliver_call(attempt),
            Event::BackendProgress(vm_index) => self.on_backend_event(vm_index),
            Event::Response(program) => self.on_response(program),
            Event::Deadline(attempt) => self.on_deadline(attempt),
            Event::IdleTimeout(program) => self.release_prefixes(program, false),
            Event::Heartbeat => self.send_heartbeats(),
            Event::RetentionTick => {
                for vm in &mut self.vms {
                    vm.release_expired(self.now);
                }
                self.schedule(
                    self.now.after(RETENTION_TICK_INTERVAL),
                    Event::RetentionTick,
                );
            }
            Event::Fault => self.inject_fault(),
            Event::AvailabilityKnown(is_up) => {
                let vm = self.vms[0].id.clone();
                for entry in &mut self.entries {
                    entry.set_available(&vm, is_up);
                }
            }
            Event::Recovered => self.vms[0].is_down = false,
            Event::WindowStart => {
                self.is_measuring = true;
                self.wasted_at_window_start = self.wasted();
            }
            Event::WindowEnd => {
                self.is_measuring = false;
                let (before, after) = (self.wasted_at_window_start, self.wasted());
                self.metrics.wasted_gb_s = gb_s(after.0 - before.0);
                self.metrics.never_reused_gb_s = gb_s(after.1.saturating_sub(before.1));
                let window_s = self.run_settings.horizon_us.as_s_f64()
                    - self.run_settings.warmup_us.as_s_f64();
                self.metrics.completed_per_s /= window_s;
                self.metrics.plain_completed_per_s /= window_s;
            }
        }
    }

    /// Returns the idle cache memory so far that no reuse followed, and the part of it for segments
    /// that were never reused, in token-microseconds.
    fn wasted(&self) -> (u128, u128) {
        let engines = self.vms.iter().filter_map(|vm| match &vm.backend {
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

    fn issue_call(&mut self, program_index: usize) {
        if self.programs.list[program_index].has_ended {
            return;
        }
        self.programs.begin_call(self.now, program_index);
        self.route_call(program_index, BTreeSet::new());
    }

    /// Selects a backend server for a program's current call and sends the call to it.
    fn route_call(&mut self, program_index: usize, tried: BTreeSet<VmId>) {
        let program = &self.programs.list[program_index];
        let service = self.service_of(program);
        // Sub-agents use the entry of their root program, which owns their token account.
        let entry = self.programs.root(program_index) % ENTRY_COUNT;
        let prompt = program.to_prompt();
        let last = program.last_vm.map(|index| self.vms[index].id.clone());
        let choice =
            self.entries[entry].pick(self.now, &service, prompt.as_ref(), last.as_ref(), &tried);
        let Some(choice) = choice else {
            self.return_to_caller(program_index);
            return;
        };
        let (vm_index, work_tokens) = (self.vm_indices[&choice.vm], choice.uncached_tokens);
        self.attempt_count += 1;
        let attempt = AttemptId(self.attempt_count);
        let attained_tokens = self.programs.attained(program_index);
        let program = &mut self.programs.list[program_index];
        program.tried = tried;
        program.tried.insert(self.vms[vm_index].id.clone());
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
        let sidecar_call = SidecarCall {
            attempt,
            program: program.id.clone(),
            class: program.class.clone(),
            deadline_us,
            attained_tokens,
            next_tool: program.next_tool(),
            prefill_tokens: work_tokens,
            work,
        };
        let vm = &self.vms[vm_index].id;
        self.entries[entry].on_sent(vm, work_tokens);
        let call = PendingCall {
            program: program_index,
            entry,
            vm_index,
            work_tokens,
            is_delivered: false,
            sidecar_call: Some(sidecar_call),
        };
        self.calls.insert(attempt, call);
        self.schedule(self.now.after(ONE_WAY_DELAY), Event::Dispatch(attempt));
        self.schedule(deadline_us, Event::Deadline(attempt));
    }

    fn deliver_call(&mut self, attempt: AttemptId) {
        let Some(call) = self.calls.get_mut(&attempt) else {
            return;
        };
        let (vm_index, sidecar_call) = (call.vm_index, call.sidecar_call.take());
        call.is_delivered = true;
        let Some(sidecar_call) = sidecar_call else {
            return;
        };
        if self.vms[vm_index].is_down || !self.vms[vm_index].receive_call(self.now, sidecar_call) {
            self.on_call_failed(attempt);
            return;
        }
        for shed in std::mem::take(&mut self.vms[vm_index].shed) {
            self.on_call_failed(shed);
        }
        self.schedule_backend(vm_index);
    }

    fn schedule_backend(&mut self, vm_index: usize) {
        if let Some(next_event_us) = self.vms[vm_index].next_event_us() {
            self.schedule(next_event_us, Event::BackendProgress(vm_index));
        }
    }

    fn on_backend_event(&mut self, vm_index: usize) {
        if self.vms[vm_index].next_event_us() != Some(self.now) {
            return;
        }
        let progress = self.vms[vm_index].advance(self.now);
        for attempt in progress.prefilled {
            self.vms[vm_index].on_prefilled(self.now, attempt);
        }
        for completed in progress.completed {
            self.vms[vm_index].on_completed(self.now, completed.attempt);
            self.on_call_completed(&completed);
        }
        self.schedule_backend(vm_index);
    }

    fn on_call_completed(&mut self, completed: &CompletedCall) {
        let Some(call) = self.calls.remove(&completed.attempt) else {
            return;
        };
        let vm = &self.vms[call.vm_index].id;
        self.entries[call.entry].on_ended(vm, call.work_tokens, false);
        if self.is_measuring {
            match self.programs.list[call.program].work {
                Work::Turns { .. } => self.metrics.completed_per_s += 1.0,
                Work::Plain { .. } => self.metrics.plain_completed_per_s += 1.0,
            }
            self.metrics.reused_tokens += to_f64(completed.cached_tokens.0);
        }
        if let Some(prompt) = self.programs.list[call.program].to_prompt() {
            let vm = &self.vms[call.vm_index].id;
            self.entries[call.entry].on_prompt_cached(vm, &prompt);
        }
        let prompt_tokens =
            self.programs
                .record_response(call.program, call.vm_index, completed.cached_tokens);
        if self.is_measuring {
            self.metrics.prompt_tokens += to_f64(prompt_tokens.0);
        }
        self.schedule(self.now.after(ONE_WAY_DELAY), Event::Response(call.program));
    }

    /// Starts the action that follows a program's turn.
    fn on_response(&mut self, program_index: usize) {
        match self.programs.advance_turn(self.now, program_index) {
            AfterTurn::Tool { pause_us, .. } => {
                self.schedule(self.now.after(pause_us), Event::Issue(program_index));
            }
            AfterTurn::WaitForUser { pause_us } => {
                self.programs.list[program_index].think_time_us += pause_us;
                self.schedule(self.now.after(pause_us), Event::Issue(program_index));
            }
            AfterTurn::Fork(agents) => {
                for child in self
                    .programs
                    .start_sub_agents(self.now, program_index, agents)
                {
                    self.schedule(self.now, Event::Issue(child));
                }
            }
            AfterTurn::End => {
                self.release_prefixes(program_index, true);
                self.end_program(program_index);
            }
            AfterTurn::Abandoned => {
                // Without an end request, the sidecars learn of the end only at the idle timeout.
                let idle_us = self.mix.engine_document.program.idle_us;
                self.schedule(self.now.after(idle_us), Event::IdleTimeout(program_index));
                self.end_program(program_index);
            }
        }
    }

    fn end_program(&mut self, program_index: usize) {
        let program = self.programs.end(program_index);
        if let Some(parent) = program.parent {
            if self.programs.on_child_ended(parent) {
                self.schedule(self.now, Event::Issue(parent));
            }
            return;
        }
        let elapsed_us = self.now.since(program.arrives_us);
        let latency_us = SpanUs(elapsed_us.0 - program.think_time_us.0);
        if program.arrives_us.0 >= self.run_settings.warmup_us.0 {
            self.latencies.record(&program.class, latency_us);
        }
    }

    /// Releases a program's prefixes in the engines.
    fn release_prefixes(&mut self, program_index: usize, is_explicit_end: bool) {
        let program = &self.programs.list[program_index];
        for vm_index in &program.vms_with_prefix {
            self.vms[*vm_index].on_program_ended(self.now, &program.id, is_explicit_end);
        }
    }

    fn fail_program(&mut self, program_index: usize) {
        self.release_prefixes(program_index, true);
        let program = self.programs.end(program_index);
        if let Some(parent) = program.parent {
            if !self.programs.list[parent].has_ended {
                self.fail_program(parent);
            }
        } else if program.arrives_us.0 >= self.run_settings.warmup_us.0 {
            let longest_us = self.run_settings.horizon_us + DRAIN_TIMEOUT;
            self.latencies.record_failed(&program.class, longest_us);
        }
    }

    /// Sends a refused or failed call to another backend server, or returns it to its caller.
    fn on_call_failed(&mut self, attempt: AttemptId) {
        let Some(call) = self.calls.remove(&attempt) else {
            return;
        };
        let vm = &self.vms[call.vm_index].id;
        self.entries[call.entry].on_ended(vm, call.work_tokens, true);
        self.metrics.retries += 1;
        let tried = self.programs.list[call.program].tried.clone();
        if tried.len() < MAX_BACKENDS_TRIED {
            self.route_call(call.program, tried);
        } else {
            self.return_to_caller(call.program);
        }
    }

    fn return_to_caller(&mut self, program_index: usize) {
        self.metrics.refused += 1;
        let program = &mut self.programs.list[program_index];
        program.return_count += 1;
        if program.return_count > MAX_RETURNS {
            self.fail_program(program_index);
        } else {
            self.schedule(
                self.now.after(CALLER_RETRY_DELAY),
                Event::Issue(program_index),
            );
        }
    }

    fn on_deadline(&mut self, attempt: AttemptId) {
        let Some(call) = self.calls.remove(&attempt) else {
            return;
        };
        let vm = &self.vms[call.vm_index].id;
        self.entries[call.entry].on_ended(vm, call.work_tokens, false);
        if call.is_delivered {
            self.vms[call.vm_index].cancel(self.now, attempt);
            self.schedule_backend(call.vm_index);
        }
        self.fail_program(call.program);
    }

    fn send_heartbeats(&mut self) {
        for vm in &mut self.vms {
            if vm.is_down {
                continue;
            }
            let load = vm.load_report();
            for entry in &mut self.entries {
                entry.on_load(self.now, &vm.id, load);
            }
            let BackendServer::Engine(engine) = &mut vm.backend else {
                continue;
            };
            let events = engine.take_events();
            let first = vm.next_cache_event;
            vm.next_cache_event += events.len() as u64;
            for entry in &mut self.entries {
                if uniform(&mut self.rng) >= self.run_settings.event_loss_probability {
                    entry.on_cache(&vm.id, first, &events);
                }
            }
        }
        self.schedule(
            self.now.after(self.run_settings.heartbeat_us),
            Event::Heartbeat,
        );
    }

    /// Fails the first engine and all calls that were delivered to it.
    fn inject_fault(&mut self) {
        self.vms[0].fail(self.now);
        let lost_calls = self
            .calls
            .iter()
            .filter(|(_, call)| call.vm_index == 0 && call.is_delivered);
        let lost_calls: Vec<AttemptId> = lost_calls.map(|(attempt, _)| *attempt).collect();
        for attempt in lost_calls {
            self.on_call_failed(attempt);
        }
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "printed values need no full precision"
)]
fn gb_s(token_us: u128) -> f64 {
    token_us as f64 / 1e6 * BYTES_PER_TOKEN / 1e9
}
