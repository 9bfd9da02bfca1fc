//! Engine orders at an entry: one decider a service, by a claim in the log.

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

/// The heartbeats by which all sidecars know a new decider's number before it gives orders.
const SETTLE_HEARTBEATS: u64 = 3;

/// The time between two looks at what is to be ordered.
const DECIDE_INTERVAL: SpanUs = SpanUs::from_ms(200);
/// The models whose gaps are remembered; callers choose the names where a document lists none.
const MAX_MODEL_GAPS: usize = 256;

/// What an engine said last, by its sidecar.
#[derive(Debug, Clone, Default)]
pub(crate) struct EngineReport {
    pub(crate) state: Option<EngineState>,
    pub(crate) load: BackendLoad,
}

/// The changes of a service's decider after which claims are no longer spaced further.
const MAX_PACED_CHANGES: u32 = 6;
/// The time without a change after which all is forgotten.
const QUIET: SpanUs = SpanUs::from_s(600);

/// How claims to decide for one service are spaced.
///
/// Two entries that can't see each other each take the other's decider for dead. Both reach the
/// log, and without ever longer waits they would depose each other several times a second.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct DeciderBackoff {
    changes: u32,
    last_us: Option<TimeUs>,
}

impl DeciderBackoff {
    pub(crate) fn on_change(&mut self, now: TimeUs) {
        let quiet = self
            .last_us
            .is_none_or(|last_us| now.since(last_us) >= QUIET);
        self.changes = if quiet { 0 } else { self.changes + 1 };
        self.last_us = Some(now);
    }

    fn not_before(self, timeout: SpanUs) -> TimeUs {
        let Some(last_us) = self.last_us else {
            return TimeUs(0);
        };
        last_us.after(SpanUs(timeout.0 << self.changes.min(MAX_PACED_CHANGES)))
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

    /// The engines of a service that surely do not serve a model.
    pub(crate) fn find_engines_without_model(
        &mut self,
        service: &ServiceName,
        model: &ModelName,
    ) -> BTreeSet<VmId> {
        let key = (service.clone(), model.clone());
        if let Some(known) = self.engines_without_model.get(&key) {
            return known.clone();
        }
        // An engine that names no models serves whatever it was started with.
        let lacks = |state: &EngineState| {
            !state.models.is_empty()
                && !state.models.contains_key(model)
                && !state.adapters.contains_key(model)
        };
        let of_service = self.engines.iter().filter(|(vm, word)| {
            let peer = self.peers.get(*vm);
            peer.is_some_and(|peer| peer.peer.service.as_ref() == Some(service))
                && word.state.as_ref().is_some_and(lacks)
        });
        let gap: BTreeSet<VmId> = of_service.map(|(vm, _)| vm.clone()).collect();
        if self.engines_without_model.len() >= MAX_MODEL_GAPS {
            self.engines_without_model.clear();
        }
        self.engines_without_model.insert(key, gap.clone());
        gap
    }

    /// Claims what nobody decides on, and gives the orders that are due where this entry decides.
    pub(crate) fn decide_orders(&mut self, now: TimeUs, out: &mut Vec<EntryAction>) {
        if now < self.next_orders_us {
            return;
        }
        self.next_orders_us = now.after(DECIDE_INTERVAL);
        // Without the log this entry can't know whether it was deposed.
        if !self.is_caught_up() || self.leaving || self.config_journal.is_down() {
            self.placements.clear();
            return;
        }
        let placed: Vec<(ServiceName, ActiveDocument)> = self
            .config
            .services()
            .filter(|(_, in_force)| is_placed(in_force))
            .map(|(service, in_force)| (service.clone(), in_force.clone()))
            .collect();
        self.placements
            .retain(|service, _| placed.iter().any(|(name, _)| name == service));
        for (service, in_force) in placed {
            match self.config.decider(&service).cloned() {
                Some(decider) if self.is_own(&decider) => {
                    self.give_orders(now, &service, &in_force, &decider, out);
                }
                decider => {
                    self.placements.remove(&service);
                    self.claim_decision(now, &service, decider.as_ref());
                }
            }
        }
    }

    fn is_own(&self, decider: &Decider) -> bool {
        decider.vm == self.settings.vm && decider.incarnation == self.settings.incarnation
    }

    fn claim_decision(&mut self, now: TimeUs, service: &ServiceName, decider: Option<&Decider>) {
        if decider.is_some_and(|decider| self.is_deciding(now, decider))
            || self.decider_claims.contains_key(service)
        {
            return;
        }
        let pace = self
            .decider_backoffs
            .get(service)
            .copied()
            .unwrap_or_default();
        if now < pace.not_before(self.settings.peer_timeout_us) {
            return;
        }
        // The same choice as for partitions, spread over the entries by the service's name.
        let slot =
            PartitionId(u16::try_from(xxh3_64(service.as_str().as_bytes()) >> 48).unwrap_or(0));
        if self.claimant(slot).as_ref() != Some(&self.settings.vm) {
            return;
        }
        let record = self.write_config(RecordBody::DeciderClaim {
            service: service.clone(),
            over: decider.map(|decider| decider.fencing),
        });
        self.decider_claims.insert(service.clone(), record);
    }

    /// Whether another decider lives, as far as this entry can tell.
    fn is_deciding(&self, now: TimeUs, decider: &Decider) -> bool {
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

    fn give_orders(
        &mut self,
        now: TimeUs,
        service: &ServiceName,
        in_force: &ActiveDocument,
        decider: &Decider,
        out: &mut Vec<EntryAction>,
    ) {
        let engines = self.engines_of(service);
        let settle = SpanUs(self.settings.heartbeat_us.0 * SETTLE_HEARTBEATS);
        let settle = settle.max(in_force.document.placement.load_interval_us);
        let placement = self
            .placements
            .entry(service.clone())
            .or_insert_with(|| PlacementPlanner::new(now, decider.fencing, settle));
        if placement.fencing != decider.fencing {
            *placement = PlacementPlanner::new(now, decider.fencing, settle);
        }
        for planned in placement.plan(now, in_force, &engines) {
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
        let of_service = self.engines.iter().filter_map(|(vm, word)| {
            let peer = self.peers.get(vm)?;
            let state = word.state.clone()?;
            (peer.peer.service.as_ref() == Some(service)).then_some((vm, peer, state, word.load))
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

    /// Whether the configuration was read to its end by a read that began no earlier than `read`.
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
        let Some(in_force) = self.config.service(&service) else {
            return;
        };
        let retry_after = in_force.document.placement.retry_after_us;
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

    /// The services on which this entry decides, for operators.
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

fn is_placed(in_force: &ActiveDocument) -> bool {
    let document = &in_force.document;
    let roles = document.placement.prefill_engines + document.placement.decode_engines;
    document.kind == ServiceKind::Engine && (!document.placed_models.is_empty() || roles > 0)
}
