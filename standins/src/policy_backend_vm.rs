//! The backend servers of a run, each with the decisions that its sidecar makes.

use std::collections::{BTreeMap, VecDeque};

use clementinepick::admission_queue::{AdmissionQueue, AdmissionSettings, QueuedCall};
use clementinepick::document::Document;
use clementinepick::ids::{AttemptId, ClassName, ProgramId, ToolName, VmId};
use clementinepick::message::BackendLoad;
use clementinepick::predict::{Predictor, predict_output};
use clementinepick::prefix_retention::PrefixRetention;
use clementinepick::prompt::{ChainHash, Segment};
use clementinepick::units::{SpanUs, TimeUs, Tokens};

use crate::policy_engine::{
    CompletedCall, EngineCall, EngineParameters, EngineProgress, VirtualEngine,
};
use crate::policy_run_settings::{RetentionPolicy, RunSettings};

/// A call as it comes to a sidecar.
#[derive(Debug, Clone)]
pub struct SidecarCall {
    /// The attempt.
    pub attempt: AttemptId,
    /// The program.
    pub program: ProgramId,
    /// The class.
    pub class: ClassName,
    /// When its caller gives up.
    pub deadline_us: TimeUs,
    /// What the program, with its sub-agents, has been served so far.
    pub attained_tokens: Tokens,
    /// The tool that the program says it will call after this turn.
    pub next_tool: Option<ToolName>,
    /// The part of the prompt that its entry thinks is not cached here.
    pub prefill_tokens: Tokens,
    /// What is to be run.
    pub work: CallWork,
}

/// What the sidecar remembers of a call until it ends.
#[derive(Debug, Clone)]
struct Started {
    program: ProgramId,
    class: ClassName,
    next_tool: Option<ToolName>,
    segments: Vec<Segment>,
}

/// What a call runs.
#[derive(Debug, Clone)]
pub enum CallWork {
    /// A turn of a model engine.
    Turn(EngineCall),
    /// A call of the plain service.
    Plain(SpanUs),
}

/// The backend server itself.
#[derive(Debug)]
pub enum BackendServer {
    /// A model engine.
    Engine(Box<VirtualEngine>),
    /// A server of the plain service with so many slots.
    Plain {
        /// The calls that run at once.
        slots: usize,
        /// The calls that run, with their ends.
        running: BTreeMap<AttemptId, TimeUs>,
        /// The calls that wait in the server, first come first served.
        waiting: VecDeque<(AttemptId, SpanUs)>,
    },
}

fn gate(
    document: &Document,
    cache_size_tokens: Option<Tokens>,
    run_settings: &RunSettings,
) -> AdmissionQueue {
    AdmissionQueue::new(AdmissionSettings {
        max_running: document.max_running_per_backend,
        max_waiting: document.max_waiting_per_backend,
        cache_size_tokens,
        max_prefill_tokens: cache_size_tokens.and(run_settings.max_prefill),
        categories: document.categories.clone(),
    })
}

/// A backend server with its sidecar.
#[derive(Debug)]
pub struct BackendVm {
    /// Its VM.
    pub vm: VmId,
    /// The backend server.
    pub backend: BackendServer,
    /// Whether it is down.
    pub is_down: bool,
    /// The number of the first cache event that is not published yet.
    pub next_cache_event: u64,
    gate: Option<AdmissionQueue>,
    retain: RetentionPolicy,
    retention: PrefixRetention,
    outputs: Predictor,
    calls: BTreeMap<AttemptId, Started>,
    /// Calls that were shed for others, until their entries are told.
    pub shed: Vec<AttemptId>,
    waiting: BTreeMap<AttemptId, CallWork>,
    document: Document,
}

impl BackendVm {
    /// An idle engine.
    #[must_use]
    pub fn engine(vm: VmId, document: &Document, run_settings: &RunSettings) -> Self {
        let shape = EngineParameters::default();
        let gate = run_settings
            .has_admission_queue
            .then(|| gate(document, Some(shape.cache_size_tokens), run_settings));
        Self::new(
            vm,
            BackendServer::Engine(Box::new(VirtualEngine::new(shape))),
            gate,
            document,
            run_settings,
        )
    }

    /// An idle server of the plain service.
    #[must_use]
    pub fn plain(vm: VmId, document: &Document, run_settings: &RunSettings) -> Self {
        let gate = run_settings
            .has_admission_queue
            .then(|| gate(document, None, run_settings));
        let backend = BackendServer::Plain {
            slots: document.max_running_per_backend as usize,
            running: BTreeMap::new(),
            waiting: VecDeque::new(),
        };
        Self::new(vm, backend, gate, document, run_settings)
    }

    fn new(
        vm: VmId,
        backend: BackendServer,
        gate: Option<AdmissionQueue>,
        document: &Document,
        run_settings: &RunSettings,
    ) -> Self {
        Self {
            vm,
            backend,
            is_down: false,
            next_cache_event: 0,
            gate,
            retain: run_settings.retention_policy,
            retention: PrefixRetention::new(run_settings.retention.clone()),
            outputs: Predictor::default(),
            calls: BTreeMap::new(),
            shed: Vec::new(),
            waiting: BTreeMap::new(),
            document: document.clone(),
        }
    }

    /// Takes a call; false when the gate refused it before any work.
    pub fn receive_call(&mut self, now: TimeUs, call: SidecarCall) -> bool {
        self.retention.on_call(now, &call.program);
        if let CallWork::Turn(turn) = &call.work {
            let mut segments = turn.prompt.to_vec();
            segments.push(turn.output);
            let started = Started {
                program: call.program.clone(),
                class: call.class.clone(),
                next_tool: call.next_tool.clone(),
                segments,
            };
            self.calls.insert(call.attempt, started);
        }
        let Some(gate) = &mut self.gate else {
            self.start(now, call.attempt, call.work);
            return true;
        };
        let rules = self
            .document
            .class(&call.class)
            .cloned()
            .unwrap_or_default();
        let memory_tokens = match &call.work {
            CallWork::Turn(turn) => {
                let prompt: Tokens = turn.prompt.iter().map(|s| s.length_tokens).sum();
                prompt + predict_output(&self.outputs, &call.class, rules.max_output_tokens)
            }
            CallWork::Plain(_) => Tokens(0),
        };
        let gate_call = QueuedCall {
            attempt: call.attempt,
            program: call.program,
            class: call.class,
            category: rules.category.clone(),
            rank: rules.rank,
            weight: rules.weight,
            arrived_us: now,
            deadline_us: call.deadline_us,
            max_wait_us: rules.max_wait_us,
            attained_tokens: call.attained_tokens,
            memory_tokens,
            prefill_tokens: call.prefill_tokens,
        };
        match gate.push(gate_call) {
            Ok(shed) => self.shed.extend(shed.map(|shed| shed.attempt)),
            Err(_) => return false,
        }
        self.waiting.insert(call.attempt, call.work);
        self.admit(now);
        true
    }

    /// The prompt of a call is in.
    pub fn on_prefilled(&mut self, now: TimeUs, attempt: AttemptId) {
        if let Some(gate) = &mut self.gate {
            gate.on_first_text(attempt);
            self.admit(now);
        }
    }

    /// A running call has ended well.
    pub fn on_completed(&mut self, now: TimeUs, attempt: AttemptId) {
        if let Some(call) = self.calls.remove(&attempt) {
            let (class, tool) = (&call.class, call.next_tool.as_ref());
            let output = call.segments.last().map(|segment| segment.length_tokens.0);
            self.outputs.observe(class, None, output);
            self.retention
                .on_turn_end(now, &call.program, class, tool, &call.segments);
        }
        self.ended(now, attempt);
    }

    /// A program has ended, by its own word or by the idle limit.
    pub fn on_program_ended(&mut self, now: TimeUs, program: &ProgramId, known: bool) {
        let chains = self.retention.on_program_end(now, program, known);
        if self.retain != RetentionPolicy::Off {
            self.release(now, &chains);
        }
    }

    /// Releases the prefixes that do not pay any more.
    pub fn release_expired(&mut self, now: TimeUs) {
        for (_, chains) in self.retention.take_expired(now) {
            if self.retain == RetentionPolicy::ByExpectedReuse {
                self.release(now, &chains);
            }
        }
    }

    fn release(&mut self, now: TimeUs, chains: &[ChainHash]) {
        if let BackendServer::Engine(engine) = &mut self.backend {
            engine.release(now, chains);
        }
    }

    /// A call has left the backend server.
    fn ended(&mut self, now: TimeUs, attempt: AttemptId) {
        self.calls.remove(&attempt);
        if let Some(gate) = &mut self.gate {
            gate.remove(attempt);
            self.admit(now);
        }
    }

    fn admit(&mut self, now: TimeUs) {
        let Some(gate) = &mut self.gate else { return };
        for attempt in gate.admit(now) {
            if let Some(work) = self.waiting.remove(&attempt) {
                self.start(now, attempt, work);
            }
        }
    }

    fn start(&mut self, now: TimeUs, attempt: AttemptId, work: CallWork) {
        match (&mut self.backend, work) {
            (BackendServer::Engine(engine), CallWork::Turn(call)) => engine.submit(now, call),
            (BackendServer::Plain { waiting, .. }, CallWork::Plain(service_us)) => {
                waiting.push_back((attempt, service_us));
                self.fill_slots(now);
            }
            _ => unreachable!("calls go to servers of their own kind"),
        }
    }

    fn fill_slots(&mut self, now: TimeUs) {
        let BackendServer::Plain {
            slots,
            running,
            waiting,
        } = &mut self.backend
        else {
            return;
        };
        while running.len() < *slots {
            let Some((attempt, service_us)) = waiting.pop_front() else {
                return;
            };
            running.insert(attempt, now.after(service_us));
        }
    }

    /// When the backend server does something next.
    #[must_use]
    pub fn next_event_us(&self) -> Option<TimeUs> {
        match &self.backend {
            BackendServer::Engine(engine) => engine.next_event_us(),
            BackendServer::Plain { running, .. } => running.values().min().copied(),
        }
    }

    /// Lets the backend server go on to `now`.
    pub fn advance(&mut self, now: TimeUs) -> EngineProgress {
        let progress = match &mut self.backend {
            BackendServer::Engine(engine) => engine.advance(now),
            BackendServer::Plain { running, .. } => {
                let mut progress = EngineProgress::default();
                let ended = running.iter().filter(|(_, end_us)| **end_us <= now);
                progress.completed = ended
                    .map(|(attempt, _)| CompletedCall {
                        attempt: *attempt,
                        cached_tokens: Tokens(0),
                    })
                    .collect();
                running.retain(|_, end_us| *end_us > now);
                progress
            }
        };
        self.fill_slots(now);
        progress
    }

    /// Takes out a call that waits or runs; its caller has given up.
    pub fn cancel(&mut self, now: TimeUs, attempt: AttemptId) {
        self.waiting.remove(&attempt);
        match &mut self.backend {
            BackendServer::Engine(engine) => engine.cancel(now, attempt),
            BackendServer::Plain {
                running, waiting, ..
            } => {
                running.remove(&attempt);
                waiting.retain(|(waiting, _)| *waiting != attempt);
            }
        }
        self.fill_slots(now);
        self.ended(now, attempt);
    }

    /// The backend server fails, and its sidecar with it.
    pub fn fail(&mut self, now: TimeUs) {
        self.is_down = true;
        self.waiting.clear();
        self.calls.clear();
        self.retention.on_cache_lost();
        if let Some(gate) = &mut self.gate {
            gate.clear();
        }
        if let BackendServer::Engine(engine) = &mut self.backend {
            engine.fail(now);
        }
    }

    /// What the sidecar reports.
    #[must_use]
    pub fn load_report(&self) -> BackendLoad {
        let engine = match &self.backend {
            BackendServer::Engine(engine) => engine.load_report(),
            BackendServer::Plain {
                running, waiting, ..
            } => clementinepick::platform::LoadReport {
                running: u32::try_from(running.len()).unwrap_or(u32::MAX),
                waiting: u32::try_from(waiting.len()).unwrap_or(u32::MAX),
                ..Default::default()
            },
        };
        BackendLoad {
            engine,
            waiting: self
                .gate
                .as_ref()
                .map_or(0, |gate| u32::try_from(gate.waiting()).unwrap_or(u32::MAX)),
            waiting_tokens: self
                .gate
                .as_ref()
                .map_or(Tokens(0), AdmissionQueue::waiting_tokens),
        }
    }
}
