//! The decisions of the process beside a backend server.
//!
//! Only the sidecar sends to its backend server. It keeps each answer until the owner has it on
//! record, refuses owners of an old epoch, and frees cache that no owner renews.

use std::collections::BTreeMap;

use serde_json::{Value, json};

use crate::call::{
    AnswerPart, CallDone, FinishReason, Payload, PlainAnswer, PlainCall, TurnState, Usage,
};
use crate::config::Config;
use crate::document::ServiceKind;
use crate::error::{CallError, ErrorKind};
use crate::event::{Event, EventKind};
use crate::gate::{Gate, GateCall, GateSettings};
use crate::ids::{
    AttemptId, CallKey, Epoch, Incarnation, Offset, PartitionId, ProgramId, ServiceName, VmId,
    ZoneName,
};
use crate::message::{BackendLoad, Dispatch, FenceVerdict, Heartbeat, Message, Peer};
use crate::platform::{CacheEvent, EngineState, GenerateBody, LoadReport, OrderBody, VmRole};
use crate::prompt::{ChainHash, Segment};
use crate::sidecar_orders::OrderSlot;
use crate::units::{SpanUs, TimeUs, Tokens};

/// How a sidecar is set up.
#[derive(Debug, Clone)]
pub struct SidecarSettings {
    /// Its VM.
    pub vm: VmId,
    /// The life of this process.
    pub incarnation: Incarnation,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The service of its backend server.
    pub service: ServiceName,
    /// The time between two heartbeats.
    pub heartbeat_us: SpanUs,
    /// How long an ended call's answer is kept when no owner says that it is on record.
    pub keep_answers_us: SpanUs,
}

impl SidecarSettings {
    /// Settings for the sidecar of `service` on `vm`, with the usual times.
    #[must_use]
    pub const fn new(
        vm: VmId,
        incarnation: Incarnation,
        zone: ZoneName,
        service: ServiceName,
    ) -> Self {
        Self {
            vm,
            incarnation,
            zone,
            service,
            heartbeat_us: SpanUs::from_ms(500),
            keep_answers_us: SpanUs::from_s(600),
        }
    }
}

/// What the backend server says of an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BackendEvent {
    /// Generated text and the count of characters before it.
    Text {
        /// The count of characters before this text.
        position: u64,
        /// The text.
        text: String,
    },
    /// The engine has ended the turn.
    Done {
        /// What was counted.
        usage: Usage,
        /// Why it ended.
        finish: FinishReason,
        /// The chain over prompt and answer that now lies in the cache.
        cached: Vec<Segment>,
    },
    /// A plain service has answered.
    Plain(PlainAnswer),
    /// The backend server failed.
    Failed {
        /// Why.
        detail: String,
        /// Whether it surely never got the call.
        not_run: bool,
    },
}

/// What a sidecar reacts to.
#[derive(Debug, Clone, PartialEq)]
pub enum SidecarInput {
    /// An entry's link came up.
    LinkUp(Peer),
    /// An entry's link went down.
    LinkDown(VmId),
    /// An entry says something.
    Link {
        /// The entry.
        from: VmId,
        /// What it says.
        message: Message,
    },
    /// The backend server says something of an attempt.
    Backend {
        /// The attempt.
        attempt: AttemptId,
        /// What it says.
        event: BackendEvent,
    },
    /// The engine's load report.
    Load(LoadReport),
    /// The engine's cache events.
    Cache {
        /// The number of the first event.
        first: u64,
        /// The events.
        events: Vec<CacheEvent>,
    },
    /// The engine has freed the cache of a program.
    Released {
        /// The program.
        program: ProgramId,
        /// The tokens freed; absent when the engine did not answer.
        freed_tokens: Option<Tokens>,
    },
    /// What the engine says that it serves.
    Engine(EngineState),
    /// The engine has answered an order.
    OrderDone {
        /// The entry that gave it.
        from: VmId,
        /// The engine's state.
        state: EngineState,
        /// Why it was refused, if it was.
        refused: Option<String>,
    },
    /// Time has passed.
    Tick,
    /// Take no new work, finish what runs.
    Shutdown,
    /// The process ends now: tell the owners of what is unfinished.
    Force,
}

/// What a sidecar does.
#[derive(Debug, Clone, PartialEq)]
pub enum SidecarAction {
    /// Say something to an entry.
    Send {
        /// The entry.
        to: VmId,
        /// What to say.
        message: Message,
    },
    /// Start a turn at the engine.
    Generate(Box<GenerateBody>),
    /// Start a call of the plain service.
    Call {
        /// The attempt.
        attempt: AttemptId,
        /// The call.
        call: PlainCall,
        /// The time left for it.
        deadline_left_us: SpanUs,
    },
    /// Stop an attempt at the backend server.
    Cancel(AttemptId),
    /// Free cached prefixes and report with [`SidecarInput::Released`].
    Release {
        /// The program.
        program: ProgramId,
        /// The chains of its prefixes.
        chains: Vec<ChainHash>,
    },
    /// Pass an order to the engine and report with [`SidecarInput::OrderDone`].
    Order {
        /// The entry that gave it.
        from: VmId,
        /// The order.
        order: OrderBody,
    },
    /// Log an event.
    Log(Event),
    /// Everything has finished: the process may exit.
    Finished,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Waiting,
    Running,
    Ended { at_us: TimeUs },
}

#[derive(Debug, Clone)]
struct Attempt {
    dispatch: Dispatch,
    owner: VmId,
    phase: Phase,
    text: String,
    characters: u64,
    /// What the owner was sent last, kept for one that attaches later.
    last: Option<AnswerPart>,
    plain: Option<PlainAnswer>,
    deadline_us: TimeUs,
}

#[derive(Debug, Clone, Default)]
struct Lease {
    until_us: TimeUs,
    chains: Vec<ChainHash>,
    releasing: bool,
    /// The owner that waits to hear that the cache is free.
    notify: Option<VmId>,
}

/// The state of a sidecar.
#[derive(Debug)]
pub struct Sidecar {
    settings: SidecarSettings,
    pub(crate) config: Config,
    pub(crate) gate: Gate,
    load: LoadReport,
    pub(crate) entries: BTreeMap<VmId, Peer>,
    epochs: BTreeMap<PartitionId, Epoch>,
    attempts: BTreeMap<AttemptId, Attempt>,
    /// Non-idempotent calls that must not start here (again).
    fenced: BTreeMap<CallKey, Option<AttemptId>>,
    leases: BTreeMap<ProgramId, Lease>,
    pub(crate) orders: OrderSlot,
    /// Whether entries were told that new work must stay away for an order.
    pub(crate) told_blocked: bool,
    next_cache_event: u64,
    pub(crate) next_heartbeat_us: TimeUs,
    leaving: bool,
}

impl Sidecar {
    /// A sidecar that has just started.
    #[must_use]
    pub fn new(settings: SidecarSettings) -> Self {
        Self {
            orders: OrderSlot::new(settings.incarnation),
            settings,
            config: Config::default(),
            gate: Gate::default(),
            load: LoadReport::default(),
            entries: BTreeMap::new(),
            epochs: BTreeMap::new(),
            attempts: BTreeMap::new(),
            fenced: BTreeMap::new(),
            leases: BTreeMap::new(),
            told_blocked: false,
            next_cache_event: 0,
            next_heartbeat_us: TimeUs(0),
            leaving: false,
        }
    }

    /// Reacts to one input.
    pub fn handle(&mut self, now: TimeUs, input: SidecarInput, out: &mut Vec<SidecarAction>) {
        match input {
            SidecarInput::LinkUp(peer) => {
                out.push(log(EventKind::LinkUp, &peer.vm));
                out.push(send(&peer.vm, Message::Heartbeat(self.heartbeat())));
                if let Some(state) = self.orders.engine() {
                    out.push(send(&peer.vm, Message::Engine(state.clone())));
                }
                self.entries.insert(peer.vm.clone(), peer);
            }
            SidecarInput::LinkDown(vm) => {
                out.push(log(EventKind::LinkDown, &vm));
                self.entries.remove(&vm);
            }
            SidecarInput::Link { from, message } => self.on_message(now, from, message, out),
            SidecarInput::Backend { attempt, event } => self.on_backend(now, attempt, event, out),
            SidecarInput::Load(load) => self.load = load,
            SidecarInput::Cache { first, events } => self.on_cache(first, &events, out),
            SidecarInput::Released {
                program,
                freed_tokens,
            } => {
                self.on_released(program, freed_tokens, out);
            }
            SidecarInput::Engine(state) => self.on_engine(now, state, None, out),
            SidecarInput::OrderDone { state, refused, .. } => {
                self.on_engine(now, state, refused, out);
            }
            SidecarInput::Tick => self.on_tick(now, out),
            SidecarInput::Shutdown => {
                self.leaving = true;
                out.push(SidecarAction::Log(Event::new(EventKind::ShutdownStarted)));
                self.next_heartbeat_us = now;
            }
            SidecarInput::Force => self.force(now, out),
        }
        self.admit(now, out);
        self.poll_orders(now, out);
    }

    pub(crate) fn heartbeat(&self) -> Heartbeat {
        Heartbeat {
            revisions: self.config.revisions(),
            config_offset: Offset(0),
            leaving: self.leaving || self.orders.blocks_new_work(),
        }
    }

    fn on_message(
        &mut self,
        now: TimeUs,
        from: VmId,
        message: Message,
        out: &mut Vec<SidecarAction>,
    ) {
        match message {
            Message::Documents(documents) => self.on_documents(documents, out),
            Message::Dispatch(dispatch) => self.on_dispatch(now, from, *dispatch, out),
            Message::Cancel { attempt } => self.on_cancel(now, attempt, out),
            Message::Fence {
                call,
                partition,
                epoch,
            } => {
                let verdict = self.fence(now, &call, partition, epoch, &from, out);
                out.push(send(&from, Message::FenceReply { call, verdict }));
            }
            Message::Attach {
                attempt,
                epoch,
                position,
            } => {
                self.on_attach(from, attempt, epoch, position, out);
            }
            Message::Committed { attempt } => {
                if self
                    .attempts
                    .get(&attempt)
                    .is_some_and(|a| matches!(a.phase, Phase::Ended { .. }))
                {
                    self.attempts.remove(&attempt);
                }
            }
            Message::Lease {
                partition,
                epoch,
                programs,
                ttl_us,
            } => {
                if self.accept_epoch(partition, epoch, out) {
                    for program in programs {
                        if let Some(lease) = self.leases.get_mut(&program) {
                            lease.until_us = now.after(ttl_us);
                        }
                    }
                }
            }
            Message::Release {
                program,
                partition,
                epoch,
            } => {
                if self.accept_epoch(partition, epoch, out) {
                    self.release(now, program, Some(from), out);
                }
            }
            Message::Order { target, order } => self.on_order(from, target, order, out),
            Message::Heartbeat(_)
            | Message::Forward { .. }
            | Message::ForwardReply { .. }
            | Message::ForwardCancel { .. }
            | Message::EndProgram { .. }
            | Message::DispatchReply { .. }
            | Message::FenceReply { .. }
            | Message::Released { .. }
            | Message::Load(_)
            | Message::Cache { .. }
            | Message::OrderReply { .. }
            | Message::Engine(_) => {}
        }
    }

    fn on_documents(
        &mut self,
        documents: Vec<crate::record::PublishedDocument>,
        out: &mut Vec<SidecarAction>,
    ) {
        for published in documents {
            let (service, revision) = (published.service.clone(), published.revision);
            if self.config.adopt(published) == Ok(true) {
                let event = Event::new(EventKind::DocumentInForce).with("service", service);
                out.push(SidecarAction::Log(event.with("revision", revision)));
            }
        }
        self.set_gate();
    }

    fn set_gate(&mut self) {
        let Some(in_force) = self.config.service(&self.settings.service) else {
            return;
        };
        let document = &in_force.document;
        let engine_limit = match self.load.max_running {
            0 => u32::MAX,
            limit => limit,
        };
        let cache = (document.kind == ServiceKind::Engine && self.load.cache_size_tokens.0 > 0)
            .then_some(self.load.cache_size_tokens);
        self.gate.set(GateSettings {
            max_running: document.max_running_per_backend.min(engine_limit),
            max_waiting: document.max_waiting_per_backend,
            cache_size_tokens: cache,
        });
    }

    /// Takes note of an epoch; false when a newer one is known.
    ///
    /// An owner that was paused over a take-over may still send. Without this check its call would
    /// run beside the new owner's.
    fn accept_epoch(
        &mut self,
        partition: PartitionId,
        epoch: Epoch,
        out: &mut Vec<SidecarAction>,
    ) -> bool {
        let known = self.epochs.entry(partition).or_insert(epoch);
        if epoch < *known {
            let event = Event::new(EventKind::StaleEpoch).with("partition", partition);
            out.push(SidecarAction::Log(
                event.with("epoch", epoch).with("known", *known),
            ));
            return false;
        }
        *known = epoch;
        true
    }

    fn on_dispatch(
        &mut self,
        now: TimeUs,
        from: VmId,
        dispatch: Dispatch,
        out: &mut Vec<SidecarAction>,
    ) {
        let attempt = dispatch.attempt;
        if let Err(refused) = self.check_dispatch(&dispatch, out) {
            out.push(refuse(&from, attempt, refused));
            return;
        }
        let Some(call) = self.gate_call(now, &dispatch) else {
            let detail = "the document in force here has no such class";
            out.push(refuse(
                &from,
                attempt,
                CallError::new(ErrorKind::NotReady, detail),
            ));
            return;
        };
        let deadline_us = call.deadline_us;
        if let Err(refused) = self.gate.push(call) {
            out.push(refuse(&from, attempt, refused));
            return;
        }
        if !dispatch.idempotent {
            self.fenced.insert(dispatch.call.clone(), Some(attempt));
        }
        let state = Attempt {
            dispatch,
            owner: from,
            phase: Phase::Waiting,
            text: String::new(),
            characters: 0,
            last: None,
            plain: None,
            deadline_us,
        };
        self.attempts.insert(attempt, state);
    }

    fn check_dispatch(
        &mut self,
        dispatch: &Dispatch,
        out: &mut Vec<SidecarAction>,
    ) -> Result<(), CallError> {
        if self.leaving {
            return Err(CallError::new(
                ErrorKind::ShuttingDown,
                "this backend server is leaving",
            ));
        }
        if self.orders.blocks_new_work() {
            let detail = "this backend server is about to change what it serves";
            return Err(CallError::new(ErrorKind::ShuttingDown, detail));
        }
        if dispatch.service != self.settings.service {
            return Err(CallError::new(
                ErrorKind::NoBackend,
                "this is another service's",
            ));
        }
        if !self.accept_epoch(dispatch.partition, dispatch.epoch, out) {
            return Err(CallError::new(
                ErrorKind::OwnerUnknown,
                "a newer owner is known",
            ));
        }
        if !dispatch.idempotent && self.fenced.contains_key(&dispatch.call) {
            return Err(CallError::new(
                ErrorKind::OutOfOrder,
                "this call came here before",
            ));
        }
        Ok(())
    }

    fn gate_call(&self, now: TimeUs, dispatch: &Dispatch) -> Option<GateCall> {
        let in_force = self.config.service(&self.settings.service)?;
        let rules = in_force.document.class(&dispatch.class)?;
        let prompt_tokens = match &dispatch.payload {
            Payload::Chat(call) => call.prompt.length_tokens(),
            Payload::Plain(_) => Tokens(0),
        };
        Some(GateCall {
            attempt: dispatch.attempt,
            program: dispatch.call.program.clone(),
            class: dispatch.class.clone(),
            rank: rules.rank,
            weight: rules.weight,
            arrived_us: now,
            deadline_us: now.after(dispatch.deadline_left_us),
            max_wait_us: rules.max_wait_us,
            attained_tokens: dispatch.attained_tokens,
            memory_tokens: prompt_tokens + dispatch.max_output_tokens,
        })
    }

    fn admit(&mut self, now: TimeUs, out: &mut Vec<SidecarAction>) {
        for id in self.gate.admit(now) {
            let Some(attempt) = self.attempts.get_mut(&id) else {
                continue;
            };
            attempt.phase = Phase::Running;
            let dispatch = &attempt.dispatch;
            out.push(match &dispatch.payload {
                Payload::Chat(chat) => SidecarAction::Generate(Box::new(GenerateBody {
                    attempt: id,
                    program: dispatch.call.program.clone(),
                    model: chat.model.clone(),
                    messages: chat.messages.clone(),
                    prompt: chat.prompt.clone(),
                    max_output_tokens: dispatch.max_output_tokens,
                    extra: chat.extra.clone(),
                })),
                Payload::Plain(call) => SidecarAction::Call {
                    attempt: id,
                    call: call.clone(),
                    deadline_left_us: attempt.deadline_us.since(now),
                },
            });
        }
    }

    fn on_backend(
        &mut self,
        now: TimeUs,
        id: AttemptId,
        event: BackendEvent,
        out: &mut Vec<SidecarAction>,
    ) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        if attempt.phase != Phase::Running {
            return;
        }
        match event {
            BackendEvent::Text { position, text } => {
                // A resumed stream may repeat text; only what follows the known end is new.
                let known = attempt.characters.saturating_sub(position);
                let fresh: String = skip_chars(&text, known);
                if fresh.is_empty() {
                    return;
                }
                let part = AnswerPart::Text {
                    position: attempt.characters,
                    text: fresh.clone(),
                };
                attempt.characters += fresh.chars().count() as u64;
                attempt.text.push_str(&fresh);
                out.push(reply(attempt, part, true));
            }
            BackendEvent::Done {
                usage,
                finish,
                cached,
            } => {
                self.hold_cache(now, id, &cached);
                let done = self.done(id, usage, Some(finish));
                self.end(now, id, done, true, out);
            }
            BackendEvent::Plain(answer) => {
                attempt.plain = Some(answer.clone());
                out.push(reply(attempt, AnswerPart::Plain(answer), true));
                let done = self.done(id, Usage::default(), None);
                self.end(now, id, done, true, out);
            }
            BackendEvent::Failed { detail, not_run } => {
                out.push(log(EventKind::EngineFailed, id));
                let kind = if not_run {
                    ErrorKind::NoBackend
                } else {
                    ErrorKind::BackendFailed
                };
                let failed = AnswerPart::Failed(CallError::new(kind, detail));
                self.end(now, id, failed, !not_run, out);
            }
        }
    }

    fn done(&self, id: AttemptId, usage: Usage, finish: Option<FinishReason>) -> AnswerPart {
        let call = self.attempts[&id].dispatch.call.clone();
        AnswerPart::Done(CallDone {
            call,
            usage,
            finish,
            turn: TurnState::NotKept,
        })
    }

    fn end(
        &mut self,
        now: TimeUs,
        id: AttemptId,
        last: AnswerPart,
        started: bool,
        out: &mut Vec<SidecarAction>,
    ) {
        self.gate.remove(id);
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        attempt.phase = Phase::Ended { at_us: now };
        attempt.last = Some(last.clone());
        out.push(reply(attempt, last, started));
    }

    fn hold_cache(&mut self, now: TimeUs, id: AttemptId, cached: &[Segment]) {
        let Some(attempt) = self.attempts.get(&id) else {
            return;
        };
        let lease_us = self
            .config
            .service(&self.settings.service)
            .map_or(SpanUs::from_s(30), |s| s.document.retention.lease_us);
        let lease = self
            .leases
            .entry(attempt.dispatch.call.program.clone())
            .or_default();
        lease.until_us = lease.until_us.max(now.after(lease_us));
        lease.chains = cached.iter().map(|segment| segment.chain).collect();
    }

    fn on_cancel(&mut self, now: TimeUs, id: AttemptId, out: &mut Vec<SidecarAction>) {
        let Some(attempt) = self.attempts.get(&id) else {
            return;
        };
        let (kind, started) = match attempt.phase {
            Phase::Waiting => (ErrorKind::DeadlineBeforeStart, false),
            Phase::Running => (ErrorKind::Cancelled, true),
            Phase::Ended { .. } => return,
        };
        if started {
            out.push(SidecarAction::Cancel(id));
        }
        let failed = AnswerPart::Failed(CallError::new(kind, "cancelled by the owner"));
        self.end(now, id, failed, started, out);
    }

    /// Makes sure that a call does not start from now on, and says what became of it.
    fn fence(
        &mut self,
        now: TimeUs,
        call: &CallKey,
        partition: PartitionId,
        epoch: Epoch,
        from: &VmId,
        out: &mut Vec<SidecarAction>,
    ) -> FenceVerdict {
        if !self.accept_epoch(partition, epoch, out) {
            return FenceVerdict::Unknown;
        }
        let known = self.fenced.get(call).copied();
        let Some(id) = known else {
            self.fenced.insert(call.clone(), None);
            return FenceVerdict::NeverRan;
        };
        let Some(attempt) = id.and_then(|id| self.attempts.get_mut(&id)) else {
            return if id.is_some() {
                FenceVerdict::Unknown
            } else {
                FenceVerdict::NeverRan
            };
        };
        let id = attempt.dispatch.attempt;
        match attempt.phase {
            Phase::Waiting => {
                attempt.owner = from.clone();
                self.gate.remove(id);
                self.attempts.remove(&id);
                self.fenced.insert(call.clone(), None);
                out.push(log(EventKind::FenceAnswered, now));
                FenceVerdict::NeverRan
            }
            Phase::Running => FenceVerdict::Running(id),
            Phase::Ended { .. } => FenceVerdict::Ended(id),
        }
    }

    fn on_attach(
        &mut self,
        from: VmId,
        id: AttemptId,
        epoch: Epoch,
        position: u64,
        out: &mut Vec<SidecarAction>,
    ) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            let detail = "the answer is not kept here any more";
            out.push(refuse(
                &from,
                id,
                CallError::new(ErrorKind::OutcomeUnknown, detail),
            ));
            return;
        };
        if self
            .epochs
            .get(&attempt.dispatch.partition)
            .is_some_and(|known| epoch < *known)
        {
            return;
        }
        attempt.owner = from;
        let rest: String = skip_chars(&attempt.text, position);
        if !rest.is_empty() {
            out.push(reply(
                attempt,
                AnswerPart::Text {
                    position,
                    text: rest,
                },
                true,
            ));
        }
        if let Some(plain) = attempt.plain.clone() {
            out.push(reply(attempt, AnswerPart::Plain(plain), true));
        }
        if let Some(last) = attempt.last.clone() {
            out.push(reply(attempt, last, true));
        }
    }

    fn release(
        &mut self,
        now: TimeUs,
        program: ProgramId,
        notify: Option<VmId>,
        out: &mut Vec<SidecarAction>,
    ) {
        let running: Vec<AttemptId> = self
            .attempts
            .values()
            .filter(|a| a.dispatch.call.program == program)
            .map(|a| a.dispatch.attempt)
            .collect();
        for id in running {
            self.on_cancel(now, id, out);
        }
        let Some(lease) = self.leases.get_mut(&program) else {
            if let Some(to) = notify {
                out.push(send(
                    &to,
                    Message::Released {
                        program,
                        freed_tokens: Tokens(0),
                    },
                ));
            }
            return;
        };
        lease.notify = notify.or(lease.notify.take());
        if !std::mem::replace(&mut lease.releasing, true) {
            out.push(SidecarAction::Release {
                program,
                chains: lease.chains.clone(),
            });
        }
    }

    fn on_released(
        &mut self,
        program: ProgramId,
        freed_tokens: Option<Tokens>,
        out: &mut Vec<SidecarAction>,
    ) {
        let Some(freed_tokens) = freed_tokens else {
            // Without the engine's word the memory may still be held: the next tick asks again.
            if let Some(lease) = self.leases.get_mut(&program) {
                lease.releasing = false;
                lease.until_us = TimeUs(0);
            }
            return;
        };
        let Some(lease) = self.leases.remove(&program) else {
            return;
        };
        let event = Event::new(EventKind::CacheReleased).with("program", &program);
        out.push(SidecarAction::Log(
            event.with("freed_tokens", freed_tokens.0),
        ));
        if let Some(to) = lease.notify {
            out.push(send(
                &to,
                Message::Released {
                    program,
                    freed_tokens,
                },
            ));
        }
    }

    fn on_cache(&mut self, first: u64, events: &[CacheEvent], out: &mut Vec<SidecarAction>) {
        if first != self.next_cache_event {
            out.push(log(EventKind::CacheEventGap, first));
        }
        self.next_cache_event = first + events.len() as u64;
        for vm in self.entries.keys() {
            out.push(send(
                vm,
                Message::Cache {
                    first,
                    events: events.to_vec(),
                },
            ));
        }
    }

    fn on_tick(&mut self, now: TimeUs, out: &mut Vec<SidecarAction>) {
        self.set_gate();
        self.expire(now, out);
        self.lapse_leases(now, out);
        let keep = self.settings.keep_answers_us;
        self.attempts.retain(|_, attempt| match attempt.phase {
            Phase::Ended { at_us } => now.since(at_us) < keep,
            Phase::Waiting | Phase::Running => true,
        });
        if now >= self.next_heartbeat_us {
            self.next_heartbeat_us = now.after(self.settings.heartbeat_us);
            self.tell_entries(out);
        }
        if self.leaving && self.gate.waiting() == 0 && self.gate.running() == 0 {
            out.push(SidecarAction::Finished);
        }
    }

    /// Ends every attempt: what waits has not run, and the outcome of what runs will not be learned.
    fn force(&mut self, now: TimeUs, out: &mut Vec<SidecarAction>) {
        self.leaving = true;
        let open: Vec<(AttemptId, Phase, bool)> = self
            .attempts
            .iter()
            .map(|(id, attempt)| (*id, attempt.phase, attempt.dispatch.idempotent))
            .collect();
        for (id, phase, idempotent) in open {
            let (kind, started) = match (phase, idempotent) {
                (Phase::Waiting, _) => (ErrorKind::ShuttingDown, false),
                (Phase::Running, true) => (ErrorKind::BackendFailed, true),
                (Phase::Running, false) => (ErrorKind::OutcomeUnknown, true),
                (Phase::Ended { .. }, _) => continue,
            };
            let error = CallError::new(kind, "this sidecar was forced to end");
            self.end(now, id, AnswerPart::Failed(error), started, out);
        }
    }

    fn expire(&mut self, now: TimeUs, out: &mut Vec<SidecarAction>) {
        for id in self.gate.expired(now) {
            let detail = "the deadline passed while the call waited at the gate";
            let failed = CallError::new(ErrorKind::DeadlineBeforeStart, detail);
            self.end(now, id, AnswerPart::Failed(failed), false, out);
        }
        let late: Vec<AttemptId> = self
            .attempts
            .iter()
            .filter(|(_, a)| a.phase == Phase::Running && a.deadline_us <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in late {
            out.push(SidecarAction::Cancel(id));
            let failed = CallError::new(ErrorKind::DeadlineExceeded, "the deadline passed");
            self.end(now, id, AnswerPart::Failed(failed), true, out);
        }
    }

    /// Frees the cache of programs whose owner has not been heard of: it died, and nobody else
    /// knows what its programs hold here.
    fn lapse_leases(&mut self, now: TimeUs, out: &mut Vec<SidecarAction>) {
        let lapsed: Vec<ProgramId> = self
            .leases
            .iter()
            .filter(|(_, lease)| !lease.releasing && lease.until_us <= now)
            .map(|(program, _)| program.clone())
            .collect();
        for program in lapsed {
            out.push(log(EventKind::CacheLeaseLapsed, &program));
            self.release(now, program, None, out);
        }
    }

    fn tell_entries(&self, out: &mut Vec<SidecarAction>) {
        let load = BackendLoad {
            engine: self.load,
            waiting: u32::try_from(self.gate.waiting()).unwrap_or(u32::MAX),
            waiting_tokens: self.gate.waiting_tokens(),
        };
        for vm in self.entries.keys() {
            out.push(send(vm, Message::Heartbeat(self.heartbeat())));
            out.push(send(vm, Message::Load(load)));
        }
    }

    /// Who this process is, for the links.
    #[must_use]
    pub fn peer(&self) -> Peer {
        Peer {
            vm: self.settings.vm.clone(),
            incarnation: self.settings.incarnation,
            role: VmRole::Sidecar,
            zone: self.settings.zone.clone(),
            service: Some(self.settings.service.clone()),
        }
    }

    /// Whether the document of its service has come.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.config.service(&self.settings.service).is_some() && !self.leaving
    }

    /// The sizes of the state, by name, for gauges.
    #[must_use]
    pub fn counts(&self) -> BTreeMap<&'static str, usize> {
        BTreeMap::from([
            ("entries", self.entries.len()),
            ("waiting", self.gate.waiting()),
            ("running", self.gate.running()),
            ("kept_answers", self.attempts.len()),
            ("cache_leases", self.leases.len()),
        ])
    }

    /// The whole state, for operators.
    #[must_use]
    pub fn dump(&self, now: TimeUs) -> Value {
        let attempts: Vec<Value> = self
            .attempts
            .iter()
            .map(|(id, a)| {
                json!({
                    "attempt": id, "call": a.dispatch.call.to_string(), "owner": a.owner,
                    "class": a.dispatch.class, "phase": format!("{:?}", a.phase),
                    "characters": a.characters,
                })
            })
            .collect();
        let leases: BTreeMap<&ProgramId, u64> = self
            .leases
            .iter()
            .map(|(p, lease)| (p, lease.until_us.since(now).as_ms()))
            .collect();
        json!({
            "peer": self.peer(),
            "leaving": self.leaving,
            "revisions": self.config.revisions(),
            "entries": self.entries.keys().collect::<Vec<_>>(),
            "waiting": self.gate.waiting(),
            "running": self.gate.running(),
            "engine_load": self.load,
            "attempts": attempts,
            "lease_left_ms": leases,
            "fenced_calls": self.fenced.len(),
            "orders": self.orders.dump(),
        })
    }
}

pub(crate) fn send(to: &VmId, message: Message) -> SidecarAction {
    SidecarAction::Send {
        to: to.clone(),
        message,
    }
}

fn log(kind: EventKind, subject: impl ToString) -> SidecarAction {
    SidecarAction::Log(Event::new(kind).with("subject", subject))
}

fn reply(attempt: &Attempt, part: AnswerPart, started: bool) -> SidecarAction {
    let id = attempt.dispatch.attempt;
    send(
        &attempt.owner,
        Message::DispatchReply {
            attempt: id,
            part,
            started,
        },
    )
}

fn refuse(to: &VmId, attempt: AttemptId, error: CallError) -> SidecarAction {
    send(
        to,
        Message::DispatchReply {
            attempt,
            part: AnswerPart::Failed(error),
            started: false,
        },
    )
}

/// What remains of `text` after its first `count` characters.
fn skip_chars(text: &str, count: u64) -> String {
    text.chars()
        .skip(usize::try_from(count).unwrap_or(usize::MAX))
        .collect()
}
