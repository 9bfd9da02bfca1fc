//! Simulates the VMs of a run: a backend server and the decisions of its sidecar.

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

/// A call as the sidecar receives it.
#[derive(Debug, Clone)]
pub struct SidecarCall {
    pub attempt: AttemptId,
    pub program: ProgramId,
    pub class: ClassName,
    /// The time at which the caller gives up.
    pub deadline_us: TimeUs,
    /// The tokens that the program and its sub-agents have been served so far.
    pub attained_tokens: Tokens,
    /// The tool that the program announced to call after this turn.
    pub next_tool: Option<ToolName>,
    /// The entry's estimate of the prompt tokens that are not cached at this backend server.
    pub prefill_tokens: Tokens,
    /// The work of the call.
    pub work: CallWork,
}

/// The state of a turn that the sidecar keeps until it ends.
#[derive(Debug, Clone)]
struct StartedCall {
    program: ProgramId,
    class: ClassName,
    next_tool: Option<ToolName>,
    segments: Vec<Segment>,
}

/// The work of a call.
#[derive(Debug, Clone)]
pub enum CallWork {
    /// A turn of a model engine.
    Turn(EngineCall),
    /// A call of the plain service, with its service time.
    Plain(SpanUs),
}

/// A simulated backend server.
#[derive(Debug)]
pub enum BackendServer {
    /// A model engine.
    Engine(Box<VirtualEngine>),
    /// A server of the plain service.
    Plain {
        /// The maximum number of running calls.
        slots: usize,
        /// The running calls and the times at which they end.
        running: BTreeMap<AttemptId, TimeUs>,
        /// The queued calls and their service times, in FIFO order.
        waiting: VecDeque<(AttemptId, SpanUs)>,
    },
}

fn new_admission_queue(
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

/// A VM with a backend server and its sidecar.
#[derive(Debug)]
pub struct BackendVm {
    pub id: VmId,
    pub backend: BackendServer,
    /// Whether the VM has failed and not recovered yet.
    pub is_down: bool,
    /// The number of the next cache event to be published.
    pub next_cache_event: u64,
    admission_queue: Option<AdmissionQueue>,
    retention_policy: RetentionPolicy,
    retention: PrefixRetention,
    output_predictor: Predictor,
    calls: BTreeMap<AttemptId, StartedCall>,
    /// Calls that the admission queue shed and whose entries have not been notified yet.
    pub shed: Vec<AttemptId>,
    queued_work: BTreeMap<AttemptId, CallWork>,
    document: Document,
}

impl BackendVm {
    /// Creates a VM with an idle engine.
    #[must_use]
    pub fn engine(id: VmId, document: &Document, run_settings: &RunSettings) -> Self {
        let parameters = EngineParameters::default();
        let admission_queue = run_settings.has_admission_queue.then(|| {
            new_admission_queue(document, Some(parameters.cache_size_tokens), run_settings)
        });
        Self::new(
            id,
            BackendServer::Engine(Box::new(VirtualEngine::new(parameters))),
            admission_queue,
            document,
            run_settings,
        )
    }

    /// Creates a VM with an idle server of the plain service.
    #[must_use]
    pub fn plain(id: VmId, document: &Document, run_settings: &RunSettings) -> Self {
        let admission_queue = run_settings
            .has_admission_queue
            .then(|| new_admission_queue(document, None, run_settings));
        let backend = BackendServer::Plain {
            slots: document.max_running_per_backend as usize,
            running: BTreeMap::new(),
            waiting: VecDeque::new(),
        };
        Self::new(id, backend, admission_queue, document, run_settings)
    }

    fn new(
        id: VmId,
        backend: BackendServer,
        admission_queue: Option<AdmissionQueue>,
        document: &Document,
        run_settings: &RunSettings,
    ) -> Self {
        Self {
            id,
            backend,
            is_down: false,
            next_cache_event: 0,
            admission_queue,
            retention_policy: run_settings.retention_policy,
            retention: PrefixRetention::new(run_settings.retention.clone()),
            output_predictor: Predictor::default(),
            calls: BTreeMap::new(),
            shed: Vec::new(),
            queued_work: BTreeMap::new(),
            document: document.clone(),
        }
    }

    /// Queues or starts a call, and returns false if the admission queue refused it.
    pub fn receive_call(&mut self, now: TimeUs, call: SidecarCall) -> bool {
        self.retention.on_call(now, &call.program);
        if let CallWork::Turn(turn) = &call.work {
            let mut segments = turn.prompt.to_vec();
            segments.push(turn.output);
            let started = StartedCall {
                program: call.program.clone(),
                class: call.class.clone(),
                next_tool: call.next_tool.clone(),
                segments,
            };
            self.calls.insert(call.attempt, started);
        }
        let Some(admission_queue) = &mut self.admission_queue else {
            self.start_call(now, call.attempt, call.work);
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
                prompt
                    + predict_output(&self.output_predictor, &call.class, rules.max_output_tokens)
            }
            CallWork::Plain(_) => Tokens(0),
        };
        let queued_call = QueuedCall {
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
        match admission_queue.push(queued_call) {
            Ok(shed) => self.shed.extend(shed.map(|shed| shed.attempt)),
            Err(_) => return false,
        }
        self.queued_work.insert(call.attempt, call.work);
        self.admit_calls(now);
        true
    }

    /// Handles the end of a call's prefill.
    pub fn on_prefilled(&mut self, now: TimeUs, attempt: AttemptId) {
        if let Some(admission_queue) = &mut self.admission_queue {
            admission_queue.on_first_text(attempt);
            self.admit_calls(now);
        }
    }

    /// Handles a call that completed successfully.
    pub fn on_completed(&mut self, now: TimeUs, attempt: AttemptId) {
        if let Some(call) = self.calls.remove(&attempt) {
            let (class, tool) = (&call.class, call.next_tool.as_ref());
            let output = call.segments.last().map(|segment| segment.length_tokens.0);
            self.output_predictor.observe(class, None, output);
            self.retention
                .on_turn_end(now, &call.program, class, tool, &call.segments);
        }
        self.on_call_ended(now, attempt);
    }

    /// Handles the end of a program, by an explicit request or by the idle timeout.
    pub fn on_program_ended(&mut self, now: TimeUs, program: &ProgramId, is_explicit_end: bool) {
        let chains = self.retention.on_program_end(now, program, is_explicit_end);
        if self.retention_policy != RetentionPolicy::Off {
            self.release(now, &chains);
        }
    }

    /// Releases the expired prefixes.
    pub fn release_expired(&mut self, now: TimeUs) {
        for (_, chains) in self.retention.take_expired(now) {
            if self.retention_policy == RetentionPolicy::ByExpectedReuse {
                self.release(now, &chains);
            }
        }
    }

    fn release(&mut self, now: TimeUs, chains: &[ChainHash]) {
        if let BackendServer::Engine(engine) = &mut self.backend {
            engine.release(now, chains);
        }
    }

    /// Removes a call that completed or was cancelled, and admits queued ones.
    fn on_call_ended(&mut self, now: TimeUs, attempt: AttemptId) {
        self.calls.remove(&attempt);
        if let Some(admission_queue) = &mut self.admission_queue {
            admission_queue.remove(attempt);
            self.admit_calls(now);
        }
    }

    fn admit_calls(&mut self, now: TimeUs) {
        let Some(admission_queue) = &mut self.admission_queue else {
            return;
        };
        for attempt in admission_queue.admit(now) {
            if let Some(work) = self.queued_work.remove(&attempt) {
                self.start_call(now, attempt, work);
            }
        }
    }

    fn start_call(&mut self, now: TimeUs, attempt: AttemptId, work: CallWork) {
        match (&mut self.backend, work) {
            (BackendServer::Engine(engine), CallWork::Turn(call)) => engine.submit(now, call),
            (BackendServer::Plain { waiting, .. }, CallWork::Plain(service_us)) => {
                waiting.push_back((attempt, service_us));
                self.fill_slots(now);
            }
            _ => unreachable!("the call does not match the kind of the backend server"),
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

    /// Returns the time of the backend server's next event, or none if it is idle.
    #[must_use]
    pub fn next_event_us(&self) -> Option<TimeUs> {
        match &self.backend {
            BackendServer::Engine(engine) => engine.next_event_us(),
            BackendServer::Plain { running, .. } => running.values().min().copied(),
        }
    }

    /// Advances the backend server to `now`, and returns its progress.
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

    /// Cancels a queued or running call whose caller has given up.
    pub fn cancel(&mut self, now: TimeUs, attempt: AttemptId) {
        self.queued_work.remove(&attempt);
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
        self.on_call_ended(now, attempt);
    }

    /// Fails the backend server and its sidecar, and discards all calls.
    pub fn fail(&mut self, now: TimeUs) {
        self.is_down = true;
        self.queued_work.clear();
        self.calls.clear();
        self.retention.on_cache_lost();
        if let Some(admission_queue) = &mut self.admission_queue {
            admission_queue.clear();
        }
        if let BackendServer::Engine(engine) = &mut self.backend {
            engine.fail(now);
        }
    }

    /// Returns the sidecar's load report.
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
            waiting: self.admission_queue.as_ref().map_or(0, |admission_queue| {
                u32::try_from(admission_queue.waiting()).unwrap_or(u32::MAX)
            }),
            waiting_tokens: self
                .admission_queue
                .as_ref()
                .map_or(Tokens(0), AdmissionQueue::waiting_tokens),
        }
    }
}
