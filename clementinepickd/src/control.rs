//! The control thread: it owns the decisions, feeds them inputs and the time, and hands out what
//! they want done. It never waits for a peer or a caller.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use clementinepick::call::{Payload, Request};
use clementinepick::event::{Event, EventKind};
use clementinepick::ids::{Incarnation, RequestId, VmId};
use clementinepick::message::{Message, Peer};
use clementinepick::platform::Vm;
use clementinepick::units::{SpanUs, TimeUs};
use serde_json::{Value, json};
use tokio::sync::{Semaphore, mpsc, oneshot};
use tokio::time::MissedTickBehavior;

use crate::answer_queue::AnswerSender;
use crate::callers::Callers;
use crate::control_messages::{ClientCommand, ControlInput, LinkId, LinkTargets};
use crate::daemon::ShutdownKind;
use crate::link_queue::QueueSender;
use crate::logging::write_event;
use crate::monotonic_clock::MonotonicClock;
use crate::role_logic::{Action, RoleLogic};
use crate::settings::{Role, Settings};
use crate::telemetry::Telemetry;

/// The time between two ticks of the decisions.
const TICK: Duration = Duration::from_millis(5);
/// The time between two looks for callers that do not read.
const SWEEP: SpanUs = SpanUs::from_ms(100);
/// The most inputs that are taken between two looks at the clock.
const MAX_BURST: usize = 256;
/// How long answers may take to reach callers after a shutdown was forced.
const FLUSH_LIMIT: Duration = Duration::from_secs(1);

/// What the control thread reads.
pub(crate) struct Inputs {
    /// All inputs.
    pub(crate) inputs: mpsc::Receiver<ControlInput>,
    /// Callers that are gone.
    pub(crate) gone: mpsc::UnboundedReceiver<RequestId>,
}

/// How the process is told to end, from any thread and without waiting.
#[derive(Debug, Default)]
pub(crate) struct ShutdownRequests {
    /// Leave gracefully.
    pub(crate) graceful: AtomicBool,
    /// Leave at once, with truthful answers for what is unfinished.
    pub(crate) forced: AtomicBool,
}

/// Where the control thread hands work out, and what it shares.
pub(crate) struct Outputs {
    /// The thread of the links.
    pub(crate) links: mpsc::UnboundedSender<LinkTargets>,
    /// The thread of the platform clients.
    pub(crate) clients: mpsc::UnboundedSender<ClientCommand>,
    /// How the process is told to end.
    pub(crate) shutdown: Arc<ShutdownRequests>,
    /// What `/readyz` says.
    pub(crate) ready: Arc<AtomicBool>,
    /// One permit for each answer that may be under way.
    pub(crate) streams: Arc<Semaphore>,
    /// The log of the process.
    pub(crate) logger: slog::Logger,
}

struct OpenLink {
    link: LinkId,
    peer: Peer,
    queue: QueueSender,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Serving,
    /// Not ready any more, but serving, until the balancer knows.
    Notice {
        until_us: TimeUs,
        limit_us: TimeUs,
    },
    Leaving {
        stay_until_us: TimeUs,
        limit_us: TimeUs,
    },
    Forced {
        at_us: TimeUs,
    },
}

/// The state of the control thread.
pub(crate) struct Control {
    settings: Settings,
    incarnation: Incarnation,
    clock: MonotonicClock,
    decisions: Box<dyn RoleLogic + Send>,
    outputs: Outputs,
    telemetry: Telemetry,
    links: BTreeMap<VmId, OpenLink>,
    dialled: BTreeMap<VmId, Vm>,
    callers: Callers,
    stage: Stage,
    finished: bool,
    next_sweep_us: TimeUs,
}

impl Control {
    /// Control over `decisions`.
    pub(crate) fn new(
        settings: Settings,
        incarnation: Incarnation,
        decisions: Box<dyn RoleLogic + Send>,
        outputs: Outputs,
        telemetry: Telemetry,
    ) -> Self {
        Self {
            settings,
            incarnation,
            clock: MonotonicClock::starting_at(Instant::now()),
            decisions,
            outputs,
            telemetry,
            links: BTreeMap::new(),
            dialled: BTreeMap::new(),
            callers: Callers::default(),
            stage: Stage::Serving,
            finished: false,
            next_sweep_us: TimeUs(0),
        }
    }

    /// Runs until everything has finished or was forced to.
    pub(crate) async fn run(mut self, mut from: Inputs) -> ShutdownKind {
        self.on_event(&Event::new(EventKind::ProcessStarted));
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut burst = Vec::with_capacity(MAX_BURST);
        let mut ticked = false;
        loop {
            // Requests come before callers that are gone, so that a caller who leaves at once is
            // not forgotten before its request is known.
            tokio::select! {
                biased;
                _ = ticks.tick() => ticked = true,
                count = from.inputs.recv_many(&mut burst, MAX_BURST) => {
                    if count == 0 {
                        break;
                    }
                }
                Some(request) = from.gone.recv() => self.on_gone(request),
            }
            for input in burst.drain(..) {
                self.on_input(input);
            }
            if std::mem::take(&mut ticked) {
                self.on_tick();
            }
            let ready = self.decisions.is_ready() && self.stage == Stage::Serving;
            self.outputs.ready.store(ready, Ordering::Relaxed);
            if self.is_over() {
                break;
            }
        }
        self.on_event(&Event::new(EventKind::ShutdownFinished));
        match self.stage {
            Stage::Forced { .. } => ShutdownKind::Forced,
            Stage::Serving | Stage::Notice { .. } | Stage::Leaving { .. } => ShutdownKind::Graceful,
        }
    }

    fn now(&self) -> TimeUs {
        self.clock.at(Instant::now())
    }

    fn is_over(&self) -> bool {
        let answered = self.outputs.streams.available_permits() >= self.settings.limits.streams;
        match self.stage {
            Stage::Serving | Stage::Notice { .. } => false,
            // A call that a peer had sent before it learned would be lost with the link: the peer
            // could not tell whether it ran. So the process stays to refuse it.
            Stage::Leaving { stay_until_us, .. } => {
                self.finished && answered && self.now() >= stay_until_us
            }
            Stage::Forced { at_us } => {
                answered || u128::from(self.now().since(at_us).0) >= FLUSH_LIMIT.as_micros()
            }
        }
    }

    fn on_input(&mut self, input: ControlInput) {
        let now = self.now();
        let mut out = Vec::new();
        match input {
            ControlInput::Request { request, answers } => {
                self.on_request(now, request, answers, &mut out);
            }
            ControlInput::Fetch { fetch, answers } => {
                if self.callers.add(now, fetch.id, answers, "fetch") {
                    self.decisions.fetch(now, fetch, &mut out);
                }
            }
            ControlInput::Refused(kind) => self.telemetry.record_refusal(kind),
            ControlInput::EndProgram(program) => {
                self.decisions.end_program(now, program, &mut out);
            }
            ControlInput::LinkUp { link, peer, queue } => {
                self.on_link_up(now, OpenLink { link, peer, queue }, &mut out);
            }
            ControlInput::LinkDown { link, vm } => {
                if self.links.get(&vm).is_some_and(|open| open.link == link) {
                    self.close_link(now, &vm, &mut out);
                }
            }
            ControlInput::LinkMessage { link, vm, message } => {
                if self.links.get(&vm).is_some_and(|open| open.link == link) {
                    self.decisions.link(now, vm, message, &mut out);
                }
            }
            input @ (ControlInput::Entry(_) | ControlInput::Sidecar(_)) => {
                self.decisions.client(now, input, &mut out);
            }
            ControlInput::Event(event) => self.on_event(&event),
            ControlInput::Dump(answer) => self.on_dump(now, answer),
            ControlInput::RefreshGauges(answer) => self.on_gauges(answer),
        }
        self.carry_out(now, out);
    }

    fn on_request(
        &mut self,
        now: TimeUs,
        request: Box<Request>,
        answers: AnswerSender,
        out: &mut Vec<Action>,
    ) {
        let route = match &request.payload {
            Payload::Chat(_) => "chat",
            Payload::Plain(_) => "plain",
        };
        if self.callers.add(now, request.id, answers, route) {
            self.decisions.request(now, request, out);
        }
    }

    fn on_gone(&mut self, request: RequestId) {
        let now = self.now();
        if self.callers.remove(now, request, &self.telemetry) {
            let mut out = Vec::new();
            self.decisions.caller_gone(now, request, &mut out);
            self.carry_out(now, out);
        }
    }

    fn on_link_up(&mut self, now: TimeUs, open: OpenLink, out: &mut Vec<Action>) {
        let vm = open.peer.vm.clone();
        if let Some(known) = self.links.get(&vm) {
            // A process that was replaced may wake up and connect again. Its link would push out
            // its successor's, so only the same life or a later one may.
            if open.peer.incarnation < known.peer.incarnation {
                return;
            }
            self.close_link(now, &vm, out);
        }
        let peer = open.peer.clone();
        self.links.insert(vm, open);
        self.decisions.link_up(now, peer, out);
    }

    /// Forgets a link, which closes it once what waits is sent, and tells the decisions.
    fn close_link(&mut self, now: TimeUs, vm: &VmId, out: &mut Vec<Action>) {
        if self.links.remove(vm).is_some() {
            self.decisions.link_down(now, vm.clone(), out);
        }
    }

    fn on_shutdown(&mut self, now: TimeUs, out: &mut Vec<Action>) {
        if self.stage != Stage::Serving {
            return;
        }
        let limit_us = now.after(self.settings.shutdown.limit_us);
        match self.settings.role {
            Role::Entry(_) => {
                let until_us = now.after(self.settings.shutdown.drain_delay_us);
                self.stage = Stage::Notice { until_us, limit_us };
            }
            // Entries learn over the links at once, and what is on its way is refused as not run.
            Role::Sidecar(_) => self.leave(now, limit_us, out),
        }
    }

    fn leave(&mut self, now: TimeUs, limit_us: TimeUs, out: &mut Vec<Action>) {
        let stay_until_us = now.after(self.settings.shutdown.linger_us);
        self.stage = Stage::Leaving {
            stay_until_us,
            limit_us,
        };
        self.decisions.shutdown(now, out);
    }

    fn force(&mut self, now: TimeUs, out: &mut Vec<Action>) {
        if matches!(self.stage, Stage::Forced { .. }) {
            return;
        }
        self.stage = Stage::Forced { at_us: now };
        self.on_event(
            &Event::new(EventKind::ShutdownForced).with("open_answers", self.callers.len()),
        );
        self.decisions.force(now, out);
    }

    fn on_tick(&mut self) {
        let now = self.now();
        let mut out = Vec::new();
        self.finished = false;
        self.decisions.tick(now, &mut out);
        if now >= self.next_sweep_us {
            self.next_sweep_us = now.after(SWEEP);
            self.stop_slow_callers(now, &mut out);
        }
        if self.outputs.shutdown.graceful.load(Ordering::Relaxed) {
            self.on_shutdown(now, &mut out);
        }
        if self.outputs.shutdown.forced.load(Ordering::Relaxed) {
            self.force(now, &mut out);
        }
        match self.stage {
            Stage::Notice { until_us, limit_us } if now >= until_us => {
                self.leave(now, limit_us, &mut out);
            }
            Stage::Leaving { limit_us, .. } if now >= limit_us => self.force(now, &mut out),
            Stage::Serving
            | Stage::Notice { .. }
            | Stage::Leaving { .. }
            | Stage::Forced { .. } => {}
        }
        self.carry_out(now, out);
    }

    fn carry_out(&mut self, now: TimeUs, actions: Vec<Action>) {
        let mut actions = std::collections::VecDeque::from(actions);
        while let Some(action) = actions.pop_front() {
            let mut more = Vec::new();
            match action {
                Action::Send { to, message } => self.send(now, &to, message, &mut more),
                Action::Dial(vms) => self.dial(now, vms, &mut more),
                Action::Disconnect(vm) => {
                    self.links.remove(&vm);
                }
                Action::Answer { request, part } => {
                    let given = self.callers.deliver(now, request, part, &self.telemetry);
                    if given.is_err() {
                        self.decisions.caller_gone(now, request, &mut more);
                    }
                }
                Action::Client(order) => {
                    // The clients' thread ends after this one, so the order is always taken.
                    let _ = self.outputs.clients.send(order);
                }
                Action::Event(event) => self.on_event(&event),
                Action::Finished => self.finished = true,
            }
            actions.extend(more);
        }
    }

    fn send(&mut self, now: TimeUs, to: &VmId, message: Message, out: &mut Vec<Action>) {
        let Some(open) = self.links.get(to) else {
            return;
        };
        // A full queue means that the peer does not read. Waiting would stop all other peers, and
        // leaving messages out would break the order that the decisions rely on, so the link goes.
        if open.queue.push(message).is_err() {
            self.close_link(now, to, out);
        }
    }

    fn dial(&mut self, now: TimeUs, vms: BTreeMap<VmId, Vm>, out: &mut Vec<Action>) {
        let left: Vec<VmId> = self
            .dialled
            .keys()
            .filter(|vm| !vms.contains_key(vm))
            .cloned()
            .collect();
        for vm in left {
            self.close_link(now, &vm, out);
        }
        if vms != self.dialled {
            self.dialled.clone_from(&vms);
            let _ = self.outputs.links.send(LinkTargets(vms));
        }
    }

    /// Cuts off callers that do not read: they would hold memory here for as long as they like.
    fn stop_slow_callers(&mut self, now: TimeUs, out: &mut Vec<Action>) {
        for request in self.callers.drop_stalled(now, &self.telemetry) {
            self.decisions.caller_gone(now, request, out);
        }
    }

    fn on_event(&self, event: &Event) {
        write_event(&self.outputs.logger, event);
        self.telemetry.record_event(event.kind);
    }

    fn on_dump(&self, now: TimeUs, answer: oneshot::Sender<Value>) {
        let links: Vec<Value> = self
            .links
            .values()
            .map(
                |open| json!({"peer": open.peer, "waiting_messages": open.queue.queued_messages()}),
            )
            .collect();
        let process = json!({
            "version": env!("CARGO_PKG_VERSION"),
            "incarnation": self.incarnation,
            "uptime_ms": now.0 / 1_000,
            "stage": format!("{:?}", self.stage),
            "ready": self.outputs.ready.load(Ordering::Relaxed),
            "open_answers": self.callers.len(),
            "links": links,
            "dialled": self.dialled.keys().collect::<Vec<_>>(),
        });
        let _ = answer.send(json!({"process": process, "state": self.decisions.dump(now)}));
    }

    fn on_gauges(&self, answer: oneshot::Sender<()>) {
        self.telemetry.set_gauge("open_answers", self.callers.len());
        self.telemetry.set_gauge("links", self.links.len());
        for (name, count) in self.decisions.counts() {
            self.telemetry.set_gauge(name, count);
        }
        let _ = answer.send(());
    }
}
