//! Runs the control thread, which owns the state machine of the process's role.
//!
//! It passes inputs and the time to the state machine and carries out the actions that come back.
//! It never waits for a peer or a caller.

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

/// The interval between two ticks of the state machine.
const TICK_INTERVAL: Duration = Duration::from_millis(5);
/// The interval between two checks for callers that do not read their answers.
const STALL_CHECK_INTERVAL: SpanUs = SpanUs::from_ms(100);
/// The maximum number of inputs handled between two checks for a tick.
const MAX_INPUT_BATCH: usize = 256;
/// How long answers may take to reach callers after a forced shutdown.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(1);

/// The receiving ends of the control thread's channels.
pub(crate) struct Inputs {
    /// All inputs but disconnects of callers.
    pub(crate) inputs: mpsc::Receiver<ControlInput>,
    /// Requests whose callers have disconnected.
    pub(crate) gone: mpsc::UnboundedReceiver<RequestId>,
}

/// Flags by which any thread requests a shutdown without blocking.
#[derive(Debug, Default)]
pub(crate) struct ShutdownRequests {
    /// Set to begin a graceful shutdown.
    pub(crate) graceful: AtomicBool,
    /// Set to end at once; unfinished calls are answered with what is known of them.
    pub(crate) forced: AtomicBool,
}

/// The control thread's channels to other threads, and the state that it shares with them.
pub(crate) struct Outputs {
    /// Sends the link manager the VMs to keep links to.
    pub(crate) links: mpsc::UnboundedSender<LinkTargets>,
    /// Sends commands to the thread of the platform clients.
    pub(crate) clients: mpsc::UnboundedSender<ClientCommand>,
    /// Requests for a shutdown.
    pub(crate) shutdown: Arc<ShutdownRequests>,
    /// Whether `/readyz` reports the process as ready.
    pub(crate) ready: Arc<AtomicBool>,
    /// Limits concurrent answers: each holds a permit while it is sent.
    pub(crate) streams: Arc<Semaphore>,
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
    /// Not ready any more, but serving until the load balancer has noticed.
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

pub(crate) struct Control {
    settings: Settings,
    incarnation: Incarnation,
    clock: MonotonicClock,
    role_logic: Box<dyn RoleLogic + Send>,
    outputs: Outputs,
    telemetry: Telemetry,
    links: BTreeMap<VmId, OpenLink>,
    dial_targets: BTreeMap<VmId, Vm>,
    callers: Callers,
    stage: Stage,
    is_finished: bool,
    next_stall_check_us: TimeUs,
}

impl Control {
    pub(crate) fn new(
        settings: Settings,
        incarnation: Incarnation,
        role_logic: Box<dyn RoleLogic + Send>,
        outputs: Outputs,
        telemetry: Telemetry,
    ) -> Self {
        Self {
            settings,
            incarnation,
            clock: MonotonicClock::starting_at(Instant::now()),
            role_logic,
            outputs,
            telemetry,
            links: BTreeMap::new(),
            dial_targets: BTreeMap::new(),
            callers: Callers::default(),
            stage: Stage::Serving,
            is_finished: false,
            next_stall_check_us: TimeUs(0),
        }
    }

    /// Runs until the shutdown has finished or was forced.
    pub(crate) async fn run(mut self, mut channels: Inputs) -> ShutdownKind {
        self.on_event(&Event::new(EventKind::ProcessStarted));
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut batch = Vec::with_capacity(MAX_INPUT_BATCH);
        let mut is_tick_due = false;
        loop {
            // Requests are received before disconnects: otherwise the disconnect of a caller that
            // leaves at once would be dropped before its request is known.
            tokio::select! {
                biased;
                _ = ticks.tick() => is_tick_due = true,
                count = channels.inputs.recv_many(&mut batch, MAX_INPUT_BATCH) => {
                    if count == 0 {
                        break;
                    }
                }
                Some(request) = channels.gone.recv() => self.on_gone(request),
            }
            for input in batch.drain(..) {
                self.on_input(input);
            }
            if std::mem::take(&mut is_tick_due) {
                self.on_tick();
            }
            let ready = self.role_logic.is_ready() && self.stage == Stage::Serving;
            self.outputs.ready.store(ready, Ordering::Relaxed);
            if self.is_done() {
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

    fn is_done(&self) -> bool {
        let all_answered = self.outputs.streams.available_permits() >= self.settings.limits.streams;
        match self.stage {
            Stage::Serving | Stage::Notice { .. } => false,
            // A call that a peer sent before it learned of the shutdown would be lost with the
            // link, and the peer could not tell whether it ran. The process lingers to refuse it.
            Stage::Leaving { stay_until_us, .. } => {
                self.is_finished && all_answered && self.now() >= stay_until_us
            }
            Stage::Forced { at_us } => {
                all_answered || u128::from(self.now().since(at_us).0) >= FLUSH_TIMEOUT.as_micros()
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
                    self.role_logic.on_fetch(now, fetch, &mut out);
                }
            }
            ControlInput::Refused(kind) => self.telemetry.record_refusal(kind),
            ControlInput::EndProgram(program) => {
                self.role_logic.end_program(now, program, &mut out);
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
                    self.role_logic.on_link_message(now, vm, message, &mut out);
                }
            }
            input @ (ControlInput::Entry(_) | ControlInput::Sidecar(_)) => {
                self.role_logic.on_client_input(now, input, &mut out);
            }
            ControlInput::Event(event) => self.on_event(&event),
            ControlInput::Dump(answer) => self.on_dump(now, answer),
            ControlInput::RefreshGauges(answer) => self.on_gauges(answer),
        }
        self.execute(now, out);
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
            self.role_logic.on_request(now, request, out);
        }
    }

    fn on_gone(&mut self, request: RequestId) {
        let now = self.now();
        if self.callers.remove(now, request, &self.telemetry) {
            let mut out = Vec::new();
            self.role_logic.on_caller_gone(now, request, &mut out);
            self.execute(now, out);
        }
    }

    fn on_link_up(&mut self, now: TimeUs, open: OpenLink, out: &mut Vec<Action>) {
        let vm = open.peer.vm.clone();
        if let Some(current) = self.links.get(&vm) {
            // A suspended process that was replaced may resume and reconnect. Its link would
            // replace its successor's, so links of an earlier incarnation are rejected.
            if open.peer.incarnation < current.peer.incarnation {
                return;
            }
            self.close_link(now, &vm, out);
        }
        let peer = open.peer.clone();
        self.links.insert(vm, open);
        self.role_logic.on_link_up(now, peer, out);
    }

    /// Drops a link, which closes once its queue is sent, and notifies the state machine.
    fn close_link(&mut self, now: TimeUs, vm: &VmId, out: &mut Vec<Action>) {
        if self.links.remove(vm).is_some() {
            self.role_logic.on_link_down(now, vm.clone(), out);
        }
    }

    fn begin_shutdown(&mut self, now: TimeUs, out: &mut Vec<Action>) {
        if self.stage != Stage::Serving {
            return;
        }
        let limit_us = now.after(self.settings.shutdown.limit_us);
        match self.settings.role {
            Role::Entry(_) => {
                let until_us = now.after(self.settings.shutdown.drain_delay_us);
                self.stage = Stage::Notice { until_us, limit_us };
            }
            // Entries learn of the shutdown over their links at once; calls already on the way are
            // refused as not run.
            Role::Sidecar(_) => self.begin_leaving(now, limit_us, out),
        }
    }

    fn begin_leaving(&mut self, now: TimeUs, limit_us: TimeUs, out: &mut Vec<Action>) {
        let stay_until_us = now.after(self.settings.shutdown.linger_us);
        self.stage = Stage::Leaving {
            stay_until_us,
            limit_us,
        };
        self.role_logic.shutdown(now, out);
    }

    fn force(&mut self, now: TimeUs, out: &mut Vec<Action>) {
        if matches!(self.stage, Stage::Forced { .. }) {
            return;
        }
        self.stage = Stage::Forced { at_us: now };
        self.on_event(
            &Event::new(EventKind::ShutdownForced).with("open_answers", self.callers.len()),
        );
        self.role_logic.force_shutdown(now, out);
    }

    fn on_tick(&mut self) {
        let now = self.now();
        let mut out = Vec::new();
        self.is_finished = false;
        self.role_logic.on_tick(now, &mut out);
        if now >= self.next_stall_check_us {
            self.next_stall_check_us = now.after(STALL_CHECK_INTERVAL);
            self.drop_stalled_callers(now, &mut out);
        }
        if self.outputs.shutdown.graceful.load(Ordering::Relaxed) {
            self.begin_shutdown(now, &mut out);
        }
        if self.outputs.shutdown.forced.load(Ordering::Relaxed) {
            self.force(now, &mut out);
        }
        match self.stage {
            Stage::Notice { until_us, limit_us } if now >= until_us => {
                self.begin_leaving(now, limit_us, &mut out);
            }
            Stage::Leaving { limit_us, .. } if now >= limit_us => self.force(now, &mut out),
            Stage::Serving
            | Stage::Notice { .. }
            | Stage::Leaving { .. }
            | Stage::Forced { .. } => {}
        }
        self.execute(now, out);
    }

    fn execute(&mut self, now: TimeUs, actions: Vec<Action>) {
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
                    let delivered = self.callers.deliver(now, request, part, &self.telemetry);
                    if delivered.is_err() {
                        self.role_logic.on_caller_gone(now, request, &mut more);
                    }
                }
                Action::Client(command) => {
                    // The clients' thread ends after this one, so the command is always received.
                    let _ = self.outputs.clients.send(command);
                }
                Action::Event(event) => self.on_event(&event),
                Action::Finished => self.is_finished = true,
            }
            actions.extend(more);
        }
    }

    fn send(&mut self, now: TimeUs, to: &VmId, message: Message, out: &mut Vec<Action>) {
        let Some(open) = self.links.get(to) else {
            return;
        };
        // A full queue means that the peer does not read. Waiting would block all other peers, and
        // dropping messages would break the ordered delivery that the state machine relies on, so
        // the link is closed.
        if open.queue.push(message).is_err() {
            self.close_link(now, to, out);
        }
    }

    fn dial(&mut self, now: TimeUs, vms: BTreeMap<VmId, Vm>, out: &mut Vec<Action>) {
        let removed: Vec<VmId> = self
            .dial_targets
            .keys()
            .filter(|vm| !vms.contains_key(vm))
            .cloned()
            .collect();
        for vm in removed {
            self.close_link(now, &vm, out);
        }
        if vms != self.dial_targets {
            self.dial_targets.clone_from(&vms);
            let _ = self.outputs.links.send(LinkTargets(vms));
        }
    }

    /// Disconnects callers that do not read their answers, which would hold memory without limit.
    fn drop_stalled_callers(&mut self, now: TimeUs, out: &mut Vec<Action>) {
        for request in self.callers.drop_stalled(now, &self.telemetry) {
            self.role_logic.on_caller_gone(now, request, out);
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
            "dialled": self.dial_targets.keys().collect::<Vec<_>>(),
        });
        let _ = answer.send(json!({"process": process, "state": self.role_logic.dump(now)}));
    }

    fn on_gauges(&self, answer: oneshot::Sender<()>) {
        self.telemetry.count_missing_lines();
        self.telemetry.set_gauge("open_answers", self.callers.len());
        self.telemetry.set_gauge("links", self.links.len());
        for (name, count) in self.role_logic.counts() {
            self.telemetry.set_gauge(name, count);
        }
        let _ = answer.send(());
    }
}
