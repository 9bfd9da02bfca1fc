//! Sends placement orders to engines, from one decider per service that a claim in the log elects.

use std::collections::{BTreeMap, BTreeSet};

use serde_json::{Value, json};
use xxhash_rust::xxh3::xxh3_64;

use crate::config::ActiveDocument;
use crate::config_replay::Decider;
use crate::document::ServiceKind;
use crate::entry::{Entry, EntryAction};
use crate::event::{Event, EventKind};
use crate::ids::{ModelName, OrderId, PartitionId, ServiceName, VmId};
use crate::message::{BackendLoad, Message, OrderOutcome};
use crate::placement::{Engine, PlacementPlanner};
use crate::platform::{EngineState, OrderBody};
use crate::record::RecordBody;
use crate::units::{SpanUs, TimeUs};

/// The heartbeat intervals that a new decider waits before its first order, so that all sidecars
/// know its fencing number.
const DECIDER_SETTLE_HEARTBEATS: u64 = 3;

/// The interval between placement decisions.
const DECIDE_INTERVAL: SpanUs = SpanUs::from_ms(200);
/// The capacity of `engines_without_model`, since callers choose the model names if a document
/// lists none.
const MAX_CACHED_MODELS: usize = 256;

/// The last state and load of an engine that its sidecar reported.
#[derive(Debug, Clone, Default)]
pub(crate) struct EngineReport {
    pub(crate) state: Option<EngineState>,
    pub(crate) load: BackendLoad,
}

/// The maximum number of times that the backoff between decider claims doubles.
const MAX_BACKOFF_DOUBLINGS: u32 = 6;
/// The time without a change of the decider after which the backoff is reset.
const BACKOFF_RESET_INTERVAL: SpanUs = SpanUs::from_s(600);

/// The backoff between claims to be the decider of one service.
///
/// Two entries without a link to each other each consider the other dead. Both reach the log, and
/// without growing delays they would replace each other as decider several times a second.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct DeciderBackoff {
    changes: u32,
    last_us: Option<TimeUs>,
}

impl DeciderBackoff {
    pub(crate) fn on_change(&mut self, now: TimeUs) {
        let is_quiet = self
            .last_us
            .is_none_or(|last_us| now.since(last_us) >= BACKOFF_RESET_INTERVAL);
        self.changes = if is_quiet { 0 } else { self.changes + 1 };
        self.last_us = Some(now);
    }

    fn not_before(self, timeout: SpanUs) -> TimeUs {
        let Some(last_us) = self.last_us else {
            return TimeUs(0);
        };
        last_us.after(SpanUs(timeout.0 << self.changes.min(MAX_BACKOFF_DOUBLINGS)))
    }
}

impl Entry {
    pub(crate) fn on_engine_state(&mut self, from: &VmId, state: EngineState) {
        self.engines.entry(from.clone()).or_default().state = Some(state);
        self.engines_without_model.clear();
    }

    pub(crate) fn on_engine_load(&mut self, from: &VmId, load: BackendLoad) {
        self.engines.entry(from.clone()).or_default().load = load;
    }

    pub(crate) fn on_engine_gone(&mut self, vm: &VmId) {
        self.engines.remove(vm);
        self.engines_without_model.clear();
        for placement in self.placements.values_mut() {
            placement.on_link_down(vm);
        }
    }

    /// Returns the engines of a service that are known not to serve a model.
    pub(crate) fn find_engines_without_model(
        &mut self,
        service: &ServiceName,
        model: &ModelName,
    ) -> BTreeSet<VmId> {
        let key = (service.clone(), model.clone());
        if let Some(known) = self.engines_without_model.get(&key) {
            return known.clone();
        }
        // An engine that reports no models serves whatever it was started with.
        let lacks_model = |state: &EngineState| {
            !state.models.is_empty()
                && !state.models.contains_key(model)
                && !state.adapters.contains_key(model)
        };
        let of_service = self.engines.iter().filter(|(vm, report)| {
            let peer = self.peers.get(*vm);
            peer.is_some_and(|peer| peer.peer.service.as_ref() == Some(service))
                && report.state.as_ref().is_some_and(lacks_model)
        });
        let lacking: BTreeSet<VmId> = of_service.map(|(vm, _)| vm.clone()).collect();
        if self.engines_without_model.len() >= MAX_CACHED_MODELS {
            self.engines_without_model.clear();
        }
        self.engines_without_model.insert(key, lacking.clone());
        lacking
    }

    /// Claims services that have no decider, and sends the due orders of those that this entry
    /// decides.
    pub(crate) fn decide_orders(&mut self, now: TimeUs, out: &mut Vec<EntryAction>) {
        if now < self.next_orders_us {
            return;
        }
        self.next_orders_us = now.after(DECIDE_INTERVAL);
        // Without the log this entry can't know whether another decider has replaced it.
        if !self.is_caught_up() || self.leaving || self.config_journal.is_down() {
            self.placements.clear();
            return;
        }
        let placed_services: Vec<(ServiceName, ActiveDocument)> = self
            .config
            .services()
            .filter(|(_, active)| needs_placement(active))
            .map(|(service, active)| (service.clone(), active.clone()))
            .collect();
        self.placements
            .retain(|service, _| placed_services.iter().any(|(name, _)| name == service));
        for (service, active) in placed_services {
            match self.config.decider(&service).cloned() {
                Some(decider) if self.is_self(&decider) => {
                    self.send_due_orders(now, &service, &active, &decider, out);
                }
                decider => {
                    self.placements.remove(&service);
                    self.claim_decider_role(now, &service, decider.as_ref());
                }
            }
        }
    }

    fn is_self(&self, decider: &Decider) -> bool {
        decider.vm == self.settings.vm && decider.incarnation == self.settings.incarnation
    }

    fn claim_decider_role(
        &mut self,
        now: TimeUs,
        service: &ServiceName,
        decider: Option<&Decider>,
    ) {
        if decider.is_some_and(|decider| self.is_decider_alive(now, decider))
            || self.decider_claims.contains_key(service)
        {
            return;
        }
        let backoff = self
            .decider_backoffs
            .get(service)
            .copied()
            .unwrap_or_default();
        if now < backoff.not_before(self.settings.peer_timeout_us) {
            return;
        }
        // Chosen like the owner of a partition, and spread over the entries by the service's name.
        let partition =
            PartitionId(u16::try_from(xxh3_64(service.as_str().as_bytes()) >> 48).unwrap_or(0));
        if self.claimant(partition).as_ref() != Some(&self.settings.vm) {
            return;
        }
        let record = self.write_config(RecordBody::DeciderClaim {
            service: service.clone(),
            over: decider.map(|decider| decider.fencing),
        });
        self.decider_claims.insert(service.clone(), record);
    }

    /// Returns whether the decider is another entry that is alive as far as this entry can tell.
    fn is_decider_alive(&self, now: TimeUs, decider: &Decider) -> bool {
        if decider.vm == self.settings.vm {
            return false;
        }
        if let Some(peer) = self.peers.get(&decider.vm) {
            return peer.peer.incarnation == decider.incarnation && !peer.leaving;
        }
        let last_heard_us = self.last_heard_us.get(&decider.vm).copied();
        let since_us = last_heard_us.or(self.started_us).unwrap_or(now);
        now.since(since_us) < self.settings.peer_timeout_us
    }

    fn send_due_orders(
        &mut self,
        now: TimeUs,
        service: &ServiceName,
        active: &ActiveDocument,
        decider: &Decider,
        out: &mut Vec<EntryAction>,
    ) {
        let engines = self.engines_of(service);
        let settle = SpanUs(self.settings.heartbeat_us.0 * DECIDER_SETTLE_HEARTBEATS);
        let settle = settle.max(active.document.placement.load_interval_us);
        let placement = self
            .placements
            .entry(service.clone())
            .or_insert_with(|| PlacementPlanner::new(now, decider.fencing, settle));
        if placement.fencing != decider.fencing {
            *placement = PlacementPlanner::new(now, decider.fencing, settle);
        }
        for planned in placement.plan(now, active, &engines) {
            let Some((target, _)) = self.membership.link(&planned.target) else {
                continue;
            };
            let id = OrderId::draw(&mut self.rng);
            placement.on_sent(now, id, &planned);
            let order = OrderBody {
                id,
                fencing: decider.fencing,
                order: planned.order,
            };
            let message = Message::Order { target, order };
            let to = planned.target;
            out.push(EntryAction::Send { to, message });
        }
    }

    fn engines_of(&self, service: &ServiceName) -> BTreeMap<VmId, Engine> {
        let of_service = self.engines.iter().filter_map(|(vm, report)| {
            let peer = self.peers.get(vm)?;
            let state = report.state.clone()?;
            (peer.peer.service.as_ref() == Some(service)).then_some((vm, peer, state, report.load))
        });
        of_service
            .map(|(vm, peer, state, load)| {
                let engine = Engine {
                    zone: peer.peer.zone.clone(),
                    state,
                    serving: self.membership.is_serving(vm),
                    reachable: self.has_read_since(peer.confirmed_by_read),
                    calls: load.engine.running + load.engine.waiting + load.waiting,
                    max_running: load.engine.max_running,
                };
                (vm.clone(), engine)
            })
            .collect()
    }

    /// Returns whether the configuration was read to its end by read number `read` or a later one.
    fn has_read_since(&self, read: u64) -> bool {
        let journal = &self.config_journal;
        journal.reads_done() >= read && journal.is_at_end() && !journal.is_down()
    }

    pub(crate) fn on_order_reply(
        &mut self,
        now: TimeUs,
        from: &VmId,
        id: OrderId,
        outcome: &OrderOutcome,
        out: &mut Vec<EntryAction>,
    ) {
        let Some(service) = self.peers.get(from).and_then(|p| p.peer.service.clone()) else {
            return;
        };
        let Some(active) = self.config.service(&service) else {
            return;
        };
        let retry_after = active.document.placement.retry_after_us;
        let Some(placement) = self.placements.get_mut(&service) else {
            return;
        };
        if placement.on_reply(now, from, id, outcome, retry_after) {
            let event = Event::new(EventKind::OrderFailed).with("vm", from);
            let event = event.with("order", id).with("service", service);
            out.push(EntryAction::Event(
                event.with("outcome", format!("{outcome:?}")),
            ));
        }
    }

    /// Returns the placement of the services that this entry decides, for the state dump.
    pub(crate) fn dump_placements(&self) -> Value {
        let placements = self.placements.iter();
        placements
            .map(|(service, p)| {
                let value = json!({ "fencing": p.fencing, "outstanding": p.outstanding() });
                (service.to_string(), value)
            })
            .collect()
    }
}

fn needs_placement(active: &ActiveDocument) -> bool {
    let document = &active.document;
    let roles = document.placement.prefill_engines + document.placement.decode_engines;
    document.kind == ServiceKind::Engine && (!document.placed_models.is_empty() || roles > 0)
}
