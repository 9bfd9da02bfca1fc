//! The engine orders of one service: which engine is to change next, and when it may.
//!
//! Orders follow from the document and from what the engines say they serve, and from nothing else,
//! so that a new decider goes on where the former one stopped and an order whose answer was lost is
//! simply computed again.

use std::collections::{BTreeMap, BTreeSet};

use crate::config::ActiveDocument;
use crate::document::Document;
use crate::ids::{FencingNumber, ModelName, OrderId, Revision, VersionName, VmId, ZoneName};
use crate::message::OrderOutcome;
use crate::placement_target::{next_order, targets};
use crate::platform::{EngineOrder, EngineState};
use crate::units::{SpanUs, TimeUs};

/// The engines that must fail on a version until nobody else is ordered to load it.
const FAILURES_TO_HALT: usize = 2;
/// How far the wait after failures doubles.
const MAX_DOUBLINGS: u32 = 6;
/// The part of its concurrency up to which an engine is loaded on purpose, in per cent.
const TARGET_LOAD_PERCENT: u64 = 80;
/// How long an order may take until the engine's state is believed instead.
const ORDER_LIMIT: SpanUs = SpanUs::from_s(30 * 60);

/// One engine as the decider sees it.
#[derive(Debug, Clone)]
pub struct Engine {
    /// Its availability zone.
    pub zone: ZoneName,
    /// What it serves.
    pub state: EngineState,
    /// Whether its sidecar takes new work.
    pub serving: bool,
    /// Whether an order would arrive: the link is up, and this decider has read the log since.
    pub reachable: bool,
    /// Its calls, running and waiting.
    pub calls: u32,
    /// The most calls that it runs at once; zero when it is not known.
    pub max_running: u32,
}

/// An order that is to be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedOrder {
    /// The engine's sidecar.
    pub target: VmId,
    /// The order.
    pub order: EngineOrder,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Outstanding {
    id: OrderId,
    order: EngineOrder,
    since_us: TimeUs,
}

#[derive(Debug, Clone, Copy)]
struct Failures {
    in_a_row: u32,
    until_us: TimeUs,
}

/// The decisions for one service, as long as this process is its decider.
#[derive(Debug, Clone)]
pub struct PlacementPlanner {
    /// The number that its orders carry.
    pub fencing: FencingNumber,
    revision: Revision,
    outstanding: BTreeMap<VmId, Outstanding>,
    failures: BTreeMap<VmId, Failures>,
    failed_versions: BTreeMap<(ModelName, VersionName), BTreeSet<VmId>>,
    start_us: TimeUs,
    next_load_us: TimeUs,
}

impl PlacementPlanner {
    /// The decisions from a claim on. The first order waits for `settle`: until then all sidecars
    /// know the new number, and a load that the former decider started last is an interval old.
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

    /// The count of orders without an answer.
    #[must_use]
    pub fn outstanding(&self) -> usize {
        self.outstanding.len()
    }

    /// The orders that may be sent now. Each is to be reported with [`Self::on_sent`].
    pub fn plan(
        &mut self,
        now: TimeUs,
        in_force: &ActiveDocument,
        engines: &BTreeMap<VmId, Engine>,
    ) -> Vec<PlannedOrder> {
        if now < self.start_us {
            return Vec::new();
        }
        self.take_revision(in_force.published.revision);
        self.outstanding.retain(|vm, order| {
            engines.contains_key(vm) && now.since(order.since_us) < ORDER_LIMIT
        });
        let document = &in_force.document;
        let targets = targets(document, engines);
        let mut budget = Budget::new(document, engines, |vm| self.is_busy(vm, engines));
        let mut planned = Vec::new();
        for vm in turn_order(engines) {
            let (engine, target) = (&engines[vm], &targets[vm]);
            if !engine.reachable || self.is_busy(vm, engines) || self.waits(now, vm) {
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
            if interrupts(&order, &engine.state) && !budget.take_out(engine) {
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

    /// A new document may be the answer to what failed: everything is tried again.
    fn take_revision(&mut self, revision: Revision) {
        if std::mem::replace(&mut self.revision, revision) != revision {
            self.failures.clear();
            self.failed_versions.clear();
        }
    }

    fn is_busy(&self, vm: &VmId, engines: &BTreeMap<VmId, Engine>) -> bool {
        let engine_says = engines.get(vm).is_some_and(|e| e.state.busy.is_some());
        engine_says || self.outstanding.contains_key(vm)
    }

    fn waits(&self, now: TimeUs, vm: &VmId) -> bool {
        self.failures.get(vm).is_some_and(|f| now < f.until_us)
    }

    /// Whether a version failed on several engines: loading it on the rest would only take more
    /// engines out of service, until a next document says otherwise.
    fn is_halted(&self, order: &EngineOrder) -> bool {
        version_of(order)
            .and_then(|version| self.failed_versions.get(&version))
            .is_some_and(|vms| vms.len() >= FAILURES_TO_HALT)
    }

    /// Takes note of an order that was sent.
    pub fn on_sent(&mut self, now: TimeUs, id: OrderId, planned: &PlannedOrder) {
        let order = Outstanding {
            id,
            order: planned.order.clone(),
            since_us: now,
        };
        self.outstanding.insert(planned.target.clone(), order);
    }

    /// Takes a sidecar's answer to an order; says whether the order failed.
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
        let failures = self.failures.entry(vm.clone()).or_insert(Failures {
            in_a_row: 0,
            until_us: TimeUs(0),
        });
        let wait = SpanUs(retry_after.0 << failures.in_a_row.min(MAX_DOUBLINGS));
        failures.in_a_row += 1;
        failures.until_us = now.after(wait);
        // An order that was not passed on says nothing of the version.
        if let (Some(version), OrderOutcome::Failed(_)) = (version, outcome) {
            let vms = self.failed_versions.entry(version).or_default();
            vms.insert(vm.clone());
        }
        true
    }

    /// Forgets what was sent to an engine whose link is gone: it tells its state anew.
    pub fn on_link_down(&mut self, vm: &VmId) {
        self.outstanding.remove(vm);
    }
}

/// How much may be taken out of service, and how many loads may run.
struct Budget {
    serving: usize,
    needed: usize,
    loading: usize,
    max_loading: usize,
}

impl Budget {
    fn new(
        document: &Document,
        engines: &BTreeMap<VmId, Engine>,
        is_busy: impl Fn(&VmId) -> bool,
    ) -> Self {
        let busy = engines.keys().filter(|vm| is_busy(vm)).count();
        let serving = engines
            .iter()
            .filter(|(vm, engine)| counts(engine) && !is_busy(vm))
            .count();
        let rules = &document.placement;
        Self {
            serving,
            needed: share_needed(document, engines.len()).max(load_needed(engines)),
            loading: busy,
            max_loading: usize::try_from(rules.max_loading).unwrap_or(usize::MAX),
        }
    }

    const fn may_load(&self) -> bool {
        self.loading < self.max_loading
    }

    /// Takes an engine out of service, if the others can carry the load.
    fn take_out(&mut self, engine: &Engine) -> bool {
        if !counts(engine) {
            return true;
        }
        if self.serving <= self.needed {
            return false;
        }
        self.serving -= 1;
        true
    }
}

/// Whether an engine is part of what carries the load now.
fn counts(engine: &Engine) -> bool {
    engine.serving && !engine.state.models.is_empty()
}

/// The engines that must serve by the document's share; one may always change where others stay.
fn share_needed(document: &Document, count: usize) -> usize {
    let whole = u64::try_from(count).unwrap_or(u64::MAX);
    let may_rest = whole - document.placement.min_serving.of(whole).min(whole);
    let may_rest = usize::try_from(may_rest).unwrap_or(usize::MAX).max(1);
    count.saturating_sub(may_rest)
}

/// The engines that the calls of now need.
fn load_needed(engines: &BTreeMap<VmId, Engine>) -> usize {
    let calls: u64 = engines.values().map(|e| u64::from(e.calls)).sum();
    let known: Vec<u64> = engines
        .values()
        .map(|e| u64::from(e.max_running))
        .filter(|max| *max > 0)
        .collect();
    let Some(each) = known.iter().min() else {
        return usize::from(calls > 0);
    };
    let needed = (calls * 100).div_ceil(each * TARGET_LOAD_PERCENT);
    usize::try_from(needed).unwrap_or(usize::MAX)
}

/// The engines in the order in which they change: those that carry nothing first, then one zone
/// after another, so that a version that fails does so in one zone.
fn turn_order(engines: &BTreeMap<VmId, Engine>) -> Vec<&VmId> {
    let mut vms: Vec<&VmId> = engines.keys().collect();
    vms.sort_by_key(|vm| (counts(&engines[*vm]), engines[*vm].zone.clone(), *vm));
    vms
}

const fn is_load(order: &EngineOrder) -> bool {
    match order {
        EngineOrder::LoadModel { .. } | EngineOrder::LoadAdapter { .. } => true,
        EngineOrder::Unload { .. } | EngineOrder::SetRole { .. } => false,
    }
}

/// Whether an order takes something away that calls may be using, so that they must end before it.
#[must_use]
pub fn interrupts(order: &EngineOrder, state: &EngineState) -> bool {
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
