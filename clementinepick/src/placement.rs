//! Plans the engine orders of one service: which engine changes next, and when.
//!
//! Orders are computed from the document and the reported state of the engines only. So a new
//! decider continues where the former one stopped, and an order whose reply was lost is recomputed.

use std::collections::{BTreeMap, BTreeSet};

use crate::config::ActiveDocument;
use crate::document::Document;
use crate::ids::{FencingNumber, ModelName, OrderId, Revision, VersionName, VmId, ZoneName};
use crate::message::OrderOutcome;
use crate::placement_target::{compute_targets, next_order};
use crate::platform::{EngineOrder, EngineState};
use crate::units::{SpanUs, TimeUs};

/// Number of engines that must fail to load a version before no further engine is ordered to.
const MAX_FAILED_ENGINES: usize = 2;
/// Maximum number of doublings of the backoff after failures.
const MAX_BACKOFF_DOUBLINGS: u32 = 6;
/// Target utilization of an engine's concurrency, in percent.
const TARGET_LOAD_PERCENT: u64 = 80;
/// Time after which an order without a reply is dropped and planning relies on the engine's state.
const ORDER_TIMEOUT: SpanUs = SpanUs::from_s(30 * 60);

/// State of an engine as known to the decider.
#[derive(Debug, Clone)]
pub struct Engine {
    /// Availability zone of the engine.
    pub zone: ZoneName,
    /// Reported state: what the engine serves.
    pub state: EngineState,
    /// Whether the sidecar accepts new calls.
    pub serving: bool,
    /// Whether orders may be sent: the link is up, and this decider has read the log since then.
    pub reachable: bool,
    /// Number of running and waiting calls.
    pub calls: u32,
    /// Maximum number of running calls; zero if unknown.
    pub max_running: u32,
}

/// An order to be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedOrder {
    /// VM of the engine's sidecar.
    pub target: VmId,
    /// Order for the engine.
    pub order: EngineOrder,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct OutstandingOrder {
    id: OrderId,
    order: EngineOrder,
    sent_us: TimeUs,
}

#[derive(Debug, Clone, Copy)]
struct EngineFailures {
    consecutive: u32,
    retry_us: TimeUs,
}

/// Plans orders for one service while this process is its decider.
#[derive(Debug, Clone)]
pub struct PlacementPlanner {
    /// Fencing number of the orders.
    pub fencing: FencingNumber,
    revision: Revision,
    outstanding: BTreeMap<VmId, OutstandingOrder>,
    failures: BTreeMap<VmId, EngineFailures>,
    failed_versions: BTreeMap<(ModelName, VersionName), BTreeSet<VmId>>,
    start_us: TimeUs,
    next_load_us: TimeUs,
}

impl PlacementPlanner {
    /// Creates a planner after a claim.
    ///
    /// No order is planned before `settle` has passed. By then all sidecars know the new fencing
    /// number, and at least one load interval has passed since the last load of the former decider.
    #[must_use]
    pub const fn new(now: TimeUs, fencing: FencingNumber, settle: SpanUs) -> Self {
        Self {
            fencing,
            revision: Revision(0),
            outstanding: BTreeMap::new(),
            failures: BTreeMap::new(),
            failed_versions: BTreeMap::new(),
            start_us: now.after(settle),
            next_load_us: now.after(settle),
        }
    }

    /// Returns the number of orders without a reply.
    #[must_use]
    pub fn outstanding(&self) -> usize {
        self.outstanding.len()
    }

    /// Returns the orders that may be sent now. The caller reports each with [`Self::on_sent`].
    pub fn plan(
        &mut self,
        now: TimeUs,
        active: &ActiveDocument,
        engines: &BTreeMap<VmId, Engine>,
    ) -> Vec<PlannedOrder> {
        if now < self.start_us {
            return Vec::new();
        }
        self.update_revision(active.published.revision);
        self.outstanding.retain(|vm, order| {
            engines.contains_key(vm) && now.since(order.sent_us) < ORDER_TIMEOUT
        });
        let document = &active.document;
        let targets = compute_targets(document, engines);
        let mut budget = ChangeBudget::new(document, engines, |vm| self.is_busy(vm, engines));
        let mut planned = Vec::new();
        for vm in rollout_order(engines) {
            let (engine, target) = (&engines[vm], &targets[vm]);
            if !engine.reachable || self.is_busy(vm, engines) || self.is_backing_off(now, vm) {
                continue;
            }
            let Some(order) = next_order(document, &engine.state, target) else {
                continue;
            };
            if self.is_halted(&order) {
                continue;
            }
            let loads = is_load(&order);
            if loads && (now < self.next_load_us || !budget.may_load()) {
                continue;
            }
            if interrupts_calls(&order, &engine.state) && !budget.try_take_out(engine) {
                continue;
            }
            if loads {
                budget.loading += 1;
                self.next_load_us = now.after(document.placement.load_interval_us);
            }
            let target = vm.clone();
            planned.push(PlannedOrder { target, order });
        }
        planned
    }

    /// Forgets all failures when the revision changes, since the new document may resolve them.
    fn update_revision(&mut self, revision: Revision) {
        if std::mem::replace(&mut self.revision, revision) != revision {
            self.failures.clear();
            self.failed_versions.clear();
        }
    }

    fn is_busy(&self, vm: &VmId, engines: &BTreeMap<VmId, Engine>) -> bool {
        let reports_busy = engines.get(vm).is_some_and(|e| e.state.busy.is_some());
        reports_busy || self.outstanding.contains_key(vm)
    }

    fn is_backing_off(&self, now: TimeUs, vm: &VmId) -> bool {
        self.failures.get(vm).is_some_and(|f| now < f.retry_us)
    }

    /// Returns whether loading a version has failed on several engines. Trying the others would
    /// only take more engines out of service; the next document revision lifts the halt.
    fn is_halted(&self, order: &EngineOrder) -> bool {
        version_of(order)
            .and_then(|version| self.failed_versions.get(&version))
            .is_some_and(|vms| vms.len() >= MAX_FAILED_ENGINES)
    }

    /// Records an order that was sent.
    pub fn on_sent(&mut self, now: TimeUs, id: OrderId, planned: &PlannedOrder) {
        let order = OutstandingOrder {
            id,
            order: planned.order.clone(),
            sent_us: now,
        };
        self.outstanding.insert(planned.target.clone(), order);
    }

    /// Handles a sidecar's reply to an order; returns whether the order failed.
    pub fn on_reply(
        &mut self,
        now: TimeUs,
        vm: &VmId,
        id: OrderId,
        outcome: &OrderOutcome,
        retry_after: SpanUs,
    ) -> bool {
        let Some(order) = self.outstanding.get(vm).filter(|order| order.id == id) else {
            return false;
        };
        let version = version_of(&order.order);
        self.outstanding.remove(vm);
        if *outcome == OrderOutcome::Done {
            self.failures.remove(vm);
            return false;
        }
        let failures = self.failures.entry(vm.clone()).or_insert(EngineFailures {
            consecutive: 0,
            retry_us: TimeUs(0),
        });
        let backoff = SpanUs(retry_after.0 << failures.consecutive.min(MAX_BACKOFF_DOUBLINGS));
        failures.consecutive += 1;
        failures.retry_us = now.after(backoff);
        // A refused order never reached the engine, so it does not count against the version.
        if let (Some(version), OrderOutcome::Failed(_)) = (version, outcome) {
            let vms = self.failed_versions.entry(version).or_default();
            vms.insert(vm.clone());
        }
        true
    }

    /// Forgets the order sent to an engine whose link is down; the engine reports its state again
    /// with the next link.
    pub fn on_link_down(&mut self, vm: &VmId) {
        self.outstanding.remove(vm);
    }
}

/// Number of engines that may still be taken out of service, and of loads that may still start.
struct ChangeBudget {
    serving: usize,
    needed: usize,
    loading: usize,
    max_loading: usize,
}

impl ChangeBudget {
    fn new(
        document: &Document,
        engines: &BTreeMap<VmId, Engine>,
        is_busy: impl Fn(&VmId) -> bool,
    ) -> Self {
        let busy = engines.keys().filter(|vm| is_busy(vm)).count();
        let serving = engines
            .iter()
            .filter(|(vm, engine)| is_serving(engine) && !is_busy(vm))
            .count();
        let rules = &document.placement;
        Self {
            serving,
            needed: min_serving_count(document, engines.len()).max(engines_for_load(engines)),
            loading: busy,
            max_loading: usize::try_from(rules.max_loading).unwrap_or(usize::MAX),
        }
    }

    const fn may_load(&self) -> bool {
        self.loading < self.max_loading
    }

    /// Takes an engine out of service if the others can carry the load; returns whether it may
    /// change.
    fn try_take_out(&mut self, engine: &Engine) -> bool {
        if !is_serving(engine) {
            return true;
        }
        if self.serving <= self.needed {
            return false;
        }
        self.serving -= 1;
        true
    }
}

/// Returns whether an engine currently serves calls.
fn is_serving(engine: &Engine) -> bool {
    engine.serving && !engine.state.models.is_empty()
}

/// Returns the number of engines that must keep serving by the document's `min_serving`. At least
/// one engine may always change.
fn min_serving_count(document: &Document, count: usize) -> usize {
    let total = u64::try_from(count).unwrap_or(u64::MAX);
    let may_change = total - document.placement.min_serving.of(total).min(total);
    let may_change = usize::try_from(may_change).unwrap_or(usize::MAX).max(1);
    count.saturating_sub(may_change)
}

/// Returns the number of engines that the current calls need.
fn engines_for_load(engines: &BTreeMap<VmId, Engine>) -> usize {
    let calls: u64 = engines.values().map(|e| u64::from(e.calls)).sum();
    let known: Vec<u64> = engines
        .values()
        .map(|e| u64::from(e.max_running))
        .filter(|max| *max > 0)
        .collect();
    let Some(capacity) = known.iter().min() else {
        return usize::from(calls > 0);
    };
    let needed = (calls * 100).div_ceil(capacity * TARGET_LOAD_PERCENT);
    usize::try_from(needed).unwrap_or(usize::MAX)
}

/// Returns the engines in the order in which they change: those that serve no calls first, then
/// zone by zone, so that a bad version affects a single zone first.
fn rollout_order(engines: &BTreeMap<VmId, Engine>) -> Vec<&VmId> {
    let mut vms: Vec<&VmId> = engines.keys().collect();
    vms.sort_by_key(|vm| (is_serving(&engines[*vm]), engines[*vm].zone.clone(), *vm));
    vms
}

const fn is_load(order: &EngineOrder) -> bool {
    match order {
        EngineOrder::LoadModel { .. } | EngineOrder::LoadAdapter { .. } => true,
        EngineOrder::Unload { .. } | EngineOrder::SetRole { .. } => false,
    }
}

/// Returns whether an order removes something that calls may be using, so that they must end first.
#[must_use]
pub fn interrupts_calls(order: &EngineOrder, state: &EngineState) -> bool {
    match order {
        EngineOrder::LoadModel { .. } | EngineOrder::SetRole { .. } => !state.models.is_empty(),
        EngineOrder::LoadAdapter { adapter, .. } => state.adapters.contains_key(adapter),
        EngineOrder::Unload { model } => state.models.contains_key(model),
    }
}

fn version_of(order: &EngineOrder) -> Option<(ModelName, VersionName)> {
    match order {
        EngineOrder::LoadModel { model, version } => Some((model.clone(), version.clone())),
        EngineOrder::LoadAdapter {
            adapter, version, ..
        } => Some((adapter.clone(), version.clone())),
        EngineOrder::Unload { .. } | EngineOrder::SetRole { .. } => None,
    }
}
