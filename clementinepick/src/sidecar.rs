//! Implements the sidecar, the process next to a backend server: which calls run, and what is kept.
//!
//! Only the sidecar sends calls to its backend server. It keeps each answer until the owner has
//! recorded it, rejects owners of an old epoch, and frees cache whose lease no owner renews.

use std::collections::BTreeMap;

use serde_json::{Value, json};

use crate::admission_queue::{AdmissionQueue, AdmissionSettings};
use crate::config::Config;
use crate::document::ServiceKind;
use crate::event::{Event, EventKind};
use crate::ids::{AttemptId, Epoch, Offset, PartitionId, ProgramId, Revision, ServiceName, VmId};
use crate::message::{BackendLoad, Heartbeat, Message, Peer};
use crate::platform::{LoadReport, VmRole};
use crate::predict::Predictor;
use crate::prefix_retention::{PrefixRetention, PrefixRetentionSettings};
use crate::sidecar_fence::Fence;
use crate::sidecar_orders::OrderSlot;
pub(crate) use crate::sidecar_types::{Attempt, ClosedAttempt, Lease, Phase, log, refuse, send};
pub use crate::sidecar_types::{BackendEvent, SidecarAction, SidecarInput, SidecarSettings};
use crate::units::{SpanUs, TimeUs};

/// Time for which a sidecar that shuts down waits for an answer to be recorded.
const SHUTDOWN_RETENTION_US: SpanUs = SpanUs::from_s(10);

/// State of a sidecar.
#[derive(Debug)]
pub struct Sidecar {
    pub(crate) settings: SidecarSettings,
    pub(crate) config: Config,
    pub(crate) admission: AdmissionQueue,
    pub(crate) load: LoadReport,
    pub(crate) entries: BTreeMap<VmId, Peer>,
    /// Time of the last message from each linked entry.
    pub(crate) last_heard_us: BTreeMap<VmId, TimeUs>,
    pub(crate) last_handled_us: Option<TimeUs>,
    /// Time before which no call is admitted.
    pub(crate) admits_from_us: TimeUs,
    pub(crate) epochs: BTreeMap<PartitionId, Epoch>,
    pub(crate) attempts: BTreeMap<AttemptId, Attempt>,
    /// Attempts of non-idempotent calls that must not start here.
    pub(crate) closed: BTreeMap<AttemptId, ClosedAttempt>,
    /// Highest epoch of the pruned closed attempts, by partition.
    pub(crate) pruned_epochs: BTreeMap<PartitionId, Epoch>,
    pub(crate) leases: BTreeMap<ProgramId, Lease>,
    pub(crate) retention: PrefixRetention,
    /// Predicts output lengths from completed turns.
    pub(crate) output_predictor: Predictor,
    pub(crate) orders: OrderSlot,
    /// Whether the last heartbeats announced that an engine order blocks new calls.
    pub(crate) announced_blocked: bool,
    pub(crate) next_retain_us: Option<TimeUs>,
    pub(crate) next_cache_event: u64,
    pub(crate) next_heartbeat_us: TimeUs,
    pub(crate) leaving: bool,
}

impl Sidecar {
    /// Creates the state of a sidecar that has just started.
    #[must_use]
    pub fn new(settings: SidecarSettings) -> Self {
        let mut config = Config::default();
        if !settings.safeguards.revision_monotonic {
            config.accept_older_revisions();
        }
        Self {
            orders: OrderSlot::new(settings.incarnation),
            settings,
            config,
            admission: AdmissionQueue::default(),
            load: LoadReport::default(),
            entries: BTreeMap::new(),
            last_heard_us: BTreeMap::new(),
            last_handled_us: None,
            admits_from_us: TimeUs(0),
            epochs: BTreeMap::new(),
            attempts: BTreeMap::new(),
            closed: BTreeMap::new(),
            pruned_epochs: BTreeMap::new(),
            leases: BTreeMap::new(),
            retention: PrefixRetention::default(),
            output_predictor: Predictor::default(),
            announced_blocked: false,
            next_retain_us: None,
            next_cache_event: 0,
            next_heartbeat_us: TimeUs(0),
            leaving: false,
        }
    }

    /// Handles one input and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: TimeUs, input: SidecarInput, out: &mut Vec<SidecarAction>) {
        self.detect_pause(now);
        match input {
            SidecarInput::LinkUp(peer) => {
                out.push(log(EventKind::LinkUp, &peer.vm));
                let heartbeat = self.heartbeat_to(now, &peer.vm);
                out.push(send(&peer.vm, Message::Heartbeat(heartbeat)));
                if let Some(state) = self.orders.engine() {
                    out.push(send(&peer.vm, Message::Engine(state.clone())));
                }
                self.last_heard_us.insert(peer.vm.clone(), now);
                self.entries.insert(peer.vm.clone(), peer);
            }
            SidecarInput::LinkDown(vm) => {
                out.push(log(EventKind::LinkDown, &vm));
                self.entries.remove(&vm);
                self.last_heard_us.remove(&vm);
                self.drop_waiting_calls(now, &vm, out);
            }
            SidecarInput::Link { from, message } => self.on_message(now, from, message, out),
            SidecarInput::Backend { attempt, event } => self.on_backend(now, attempt, event, out),
            SidecarInput::Load(load) => self.load = load,
            SidecarInput::Cache { first, events } => self.on_cache_events(first, &events, out),
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
            SidecarInput::Force => self.force_shutdown(now, out),
        }
        self.admit(now, out);
        self.poll_orders(now, out);
    }

    pub(crate) fn heartbeat_to(&self, now: TimeUs, entry: &VmId) -> Heartbeat {
        let heard_us = self.last_heard_us.get(entry).copied();
        Heartbeat {
            revisions: self.config.revisions(),
            config_offset: Offset(0),
            is_ready: self.is_ready(),
            leaving: self.leaving || self.orders.blocks_new_work(),
            silence_us: heard_us.map_or(SpanUs(0), |heard_us| now.since(heard_us)),
            decider: None,
        }
    }

    fn on_message(
        &mut self,
        now: TimeUs,
        from: VmId,
        message: Message,
        out: &mut Vec<SidecarAction>,
    ) {
        if let Some(heard_us) = self.last_heard_us.get_mut(&from) {
            *heard_us = now;
        }
        match message {
            Message::Heartbeat(heartbeat) => self.orders.on_fencing_number(heartbeat.decider),
            Message::Documents(documents) => self.on_documents(documents, out),
            Message::Dispatch(dispatch) => self.on_dispatch(now, from, *dispatch, out),
            Message::Cancel { attempt } => self.on_cancel(now, attempt, out),
            Message::TakeOver { partition, epoch } => {
                self.on_takeover(&from, partition, epoch, out);
            }
            Message::Fence {
                attempt,
                call,
                partition,
                epoch,
                started_epoch,
                incarnation,
            } => {
                let fence = Fence {
                    attempt,
                    call,
                    partition,
                    epoch,
                    started_epoch,
                    incarnation,
                };
                self.on_fence(&from, fence, out);
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
                chains,
                partition,
                epoch,
            } => {
                if self.accept_epoch(partition, epoch, out) {
                    if !chains.is_empty() {
                        let lease = self.leases.entry(program.clone()).or_default();
                        lease.chains.extend(chains);
                    }
                    self.release_cache(now, program, Some(from), out);
                }
            }
            Message::Order { target, order } => self.on_order(from, target, order, out),
            Message::Forward { .. }
            | Message::ForwardReply { .. }
            | Message::ForwardCancel { .. }
            | Message::ForwardFetch { .. }
            | Message::Kept { .. }
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
        self.apply_document();
    }

    fn apply_document(&mut self) {
        let Some(active) = self.config.service(&self.settings.service) else {
            return;
        };
        let document = &active.document;
        let engine_limit = match self.load.max_running {
            0 => u32::MAX,
            limit => limit,
        };
        let cache = (document.kind == ServiceKind::Engine && self.load.cache_size_tokens.0 > 0)
            .then_some(self.load.cache_size_tokens);
        self.admission.update_settings(AdmissionSettings {
            max_running: document.max_running_per_backend.min(engine_limit),
            max_waiting: document.max_waiting_per_backend,
            cache_size_tokens: cache,
            categories: document.categories.clone(),
            ..AdmissionSettings::default()
        });
        self.retention.set(PrefixRetentionSettings {
            max_keep_us: document.retention.max_keep_us,
            ..PrefixRetentionSettings::default()
        });
    }

    fn on_tick(&mut self, now: TimeUs, out: &mut Vec<SidecarAction>) {
        self.apply_document();
        self.end_overdue_calls(now, out);
        self.release_expired_leases(now, out);
        self.send_retained_chains(now, out);
        self.release_paused_programs(now, out);
        self.drop_calls_of_silent_owners(now, out);
        self.drop_expired_answers(now);
        self.prune_closed();
        if now >= self.next_heartbeat_us {
            self.next_heartbeat_us = now.after(self.settings.heartbeat_us);
            self.send_heartbeats(now, out);
        }
        if self.leaving && self.is_drained(now) {
            out.push(SidecarAction::Finished);
        }
    }

    fn send_heartbeats(&self, now: TimeUs, out: &mut Vec<SidecarAction>) {
        let load = BackendLoad {
            engine: self.load,
            waiting: u32::try_from(self.admission.waiting()).unwrap_or(u32::MAX),
            waiting_tokens: self.admission.waiting_tokens(),
        };
        for vm in self.entries.keys() {
            out.push(send(vm, Message::Heartbeat(self.heartbeat_to(now, vm))));
            out.push(send(vm, Message::Load(load)));
        }
    }

    /// Returns whether no call is open and each kept answer is past [`SHUTDOWN_RETENTION_US`].
    fn is_drained(&self, now: TimeUs) -> bool {
        self.attempts.values().all(|attempt| match attempt.phase {
            Phase::Waiting | Phase::Running => false,
            Phase::Ended { at_us } => now.since(at_us) >= SHUTDOWN_RETENTION_US,
        })
    }

    /// Returns the revisions of the active documents, by service.
    #[must_use]
    pub fn revisions(&self) -> BTreeMap<ServiceName, Revision> {
        self.config.revisions()
    }

    /// Returns the identity that this process presents on its links.
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

    /// Returns whether the document of the service has arrived and no shutdown is in progress.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.config.service(&self.settings.service).is_some() && !self.leaving
    }

    /// Returns the sizes of the collections in the state, by gauge name.
    #[must_use]
    pub fn counts(&self) -> BTreeMap<&'static str, usize> {
        BTreeMap::from([
            ("entries", self.entries.len()),
            ("waiting", self.admission.waiting()),
            ("running", self.admission.running()),
            ("kept_answers", self.attempts.len()),
            ("closed_attempts", self.closed.len()),
            ("cache_leases", self.leases.len()),
        ])
    }

    /// Returns the state as JSON for operators.
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
            "waiting": self.admission.waiting(),
            "running": self.admission.running(),
            "engine_load": self.load,
            "attempts": attempts,
            "lease_left_ms": leases,
            "closed_attempts": self.closed.len(),
            "orders": self.orders.dump(),
        })
    }
}

/// Returns `text` without its first `count` characters.
pub(crate) fn skip_chars(text: &str, count: u64) -> String {
    text.chars()
        .skip(usize::try_from(count).unwrap_or(usize::MAX))
        .collect()
}
