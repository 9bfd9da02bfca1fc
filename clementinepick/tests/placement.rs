//! Simulates engine orders in virtual time: load rate, serving capacity, failures and rollback.

use std::collections::BTreeMap;
use std::sync::Arc;

use clementinepick::config::ActiveDocument;
use clementinepick::document::Document;
use clementinepick::ids::{
    FencingNumber, ModelName, OperationId, OrderId, Revision, VersionName, VmId,
};
use clementinepick::message::OrderOutcome;
use clementinepick::placement::{Engine, PlacementPlanner, PlannedOrder};
use clementinepick::platform::{EngineOrder, EngineRole, EngineState};
use clementinepick::record::PublishedDocument;
use clementinepick::units::{SpanUs, TimeUs};

const TICK: SpanUs = SpanUs::from_s(1);
const LOAD_TIME: SpanUs = SpanUs::from_s(40);
const LOAD_INTERVAL: SpanUs = SpanUs::from_s(10);

fn model() -> ModelName {
    "star".parse().expect("valid name")
}

fn active_document(revision: u64, more: &str) -> ActiveDocument {
    let text = format!(
        "[service]\nname = s\nkind = engine\n[class c]\nrank = 1\n{more}\n[placement]\n\
         load_interval = 10 s\nmax_loading = 2\nmin_serving = 70%\nretry_after = 20 s\n"
    );
    ActiveDocument {
        document: Arc::new(Document::parse(&text).expect("valid document")),
        published: PublishedDocument {
            service: "s".parse().expect("valid name"),
            revision: Revision(revision),
            operation: OperationId(0),
            author: "ana".parse().expect("valid name"),
            text,
        },
    }
}

fn version(revision: u64, version: &str) -> ActiveDocument {
    active_document(revision, &format!("[model star]\nversion = {version}"))
}

/// Engines that execute the orders of one decider in virtual time.
struct Simulation {
    now: TimeUs,
    engines: BTreeMap<VmId, Engine>,
    running: BTreeMap<VmId, (OrderId, EngineOrder, TimeUs)>,
    placement: PlacementPlanner,
    next_id: u128,
    failing_version: Option<&'static str>,
    loads_us: Vec<TimeUs>,
    min_serving_seen: usize,
    sent_orders: usize,
}

impl Simulation {
    fn new(count: usize, calls: u32) -> Self {
        let engine = |n: usize| Engine {
            zone: format!("zone-{}", n % 3).parse().expect("valid name"),
            state: EngineState {
                models: BTreeMap::new(),
                adapters: BTreeMap::new(),
                role: EngineRole::Mixed,
                fencing: None,
                busy: None,
            },
            serving: true,
            reachable: true,
            calls,
            max_running: 10,
        };
        let vm = |n: usize| format!("car-{n:02}").parse().expect("valid name");
        Self {
            now: TimeUs(0),
            engines: (0..count).map(|n| (vm(n), engine(n))).collect(),
            running: BTreeMap::new(),
            placement: PlacementPlanner::new(TimeUs(0), FencingNumber(5), LOAD_INTERVAL),
            next_id: 0,
            failing_version: None,
            loads_us: Vec::new(),
            min_serving_seen: count,
            sent_orders: 0,
        }
    }

    fn serving(&self) -> usize {
        let serving = self.engines.values().filter(|e| e.serving);
        serving.filter(|e| !e.state.models.is_empty()).count()
    }

    fn run(&mut self, document: &ActiveDocument, seconds: u64) {
        self.min_serving_seen = self.serving();
        for _ in 0..seconds {
            self.now = self.now.after(TICK);
            self.finish_orders();
            for planned in self.placement.plan(self.now, document, &self.engines) {
                self.send(&planned);
            }
            self.min_serving_seen = self.min_serving_seen.min(self.serving());
        }
    }

    fn send(&mut self, planned: &PlannedOrder) {
        self.next_id += 1;
        self.sent_orders += 1;
        let id = OrderId(self.next_id);
        self.placement.on_sent(self.now, id, planned);
        let duration = match planned.order {
            EngineOrder::LoadModel { .. } | EngineOrder::LoadAdapter { .. } => {
                self.loads_us.push(self.now);
                LOAD_TIME
            }
            EngineOrder::Unload { .. } | EngineOrder::SetRole { .. } => TICK,
        };
        let engine = self.engines.get_mut(&planned.target).expect("known engine");
        engine.state.busy = Some(id);
        if matches!(
            planned.order,
            EngineOrder::LoadModel { .. } | EngineOrder::SetRole { .. }
        ) {
            engine.serving = false;
        }
        let order = (id, planned.order.clone(), self.now.after(duration));
        self.running.insert(planned.target.clone(), order);
    }

    fn finish_orders(&mut self) {
        let due: Vec<VmId> = self
            .running
            .iter()
            .filter(|(_, (_, _, at))| *at <= self.now)
            .map(|(vm, _)| vm.clone())
            .collect();
        for vm in due {
            let (id, order, _) = self.running.remove(&vm).expect("running order");
            let engine = self.engines.get_mut(&vm).expect("known engine");
            engine.state.busy = None;
            engine.serving = true;
            let mut failed = false;
            match order {
                EngineOrder::LoadModel { model, version } => {
                    failed = self.failing_version == Some(version.as_str());
                    if !failed {
                        engine.state.models.insert(model, version);
                    }
                }
                EngineOrder::LoadAdapter {
                    adapter, version, ..
                } => {
                    engine.state.adapters.insert(adapter, version);
                }
                EngineOrder::Unload { model } => {
                    engine.state.models.remove(&model);
                }
                EngineOrder::SetRole { role } => engine.state.role = role,
            }
            let retry_after = SpanUs::from_s(20);
            let outcome = if failed {
                OrderOutcome::Failed("load failed".to_owned())
            } else {
                OrderOutcome::Done
            };
            self.placement
                .on_reply(self.now, &vm, id, &outcome, retry_after);
        }
    }

    fn with_version(&self, version: &str) -> usize {
        let has =
            |e: &&Engine| e.state.models.get(&model()).map(VersionName::as_str) == Some(version);
        self.engines.values().filter(has).count()
    }

    fn shortest_load_interval(&self) -> SpanUs {
        let pairs = self.loads_us.windows(2);
        pairs
            .map(|pair| pair[1].since(pair[0]))
            .min()
            .unwrap_or(SpanUs(u64::MAX))
    }
}

// A rollout must keep the load interval and `min_serving`, and send no orders once complete.
#[test]
fn a_new_version_reaches_all_engines_within_rate_and_capacity() {
    let mut simulation = Simulation::new(10, 2);
    simulation.run(&version(1, "v1"), 600);
    assert_eq!(simulation.with_version("v1"), 10);
    simulation.loads_us.clear();
    simulation.run(&version(2, "v2"), 600);
    assert_eq!(simulation.with_version("v2"), 10);
    assert_eq!(simulation.min_serving_seen, 8, "two engines load at a time");
    assert!(simulation.shortest_load_interval() >= LOAD_INTERVAL);
    let orders = simulation.sent_orders;
    simulation.run(&version(2, "v2"), 600);
    assert_eq!(simulation.sent_orders, orders, "the rollout is complete");
}

// The load needs nine, then all of the ten engines. The rollout must not take out as many as the
// document's share alone would allow.
#[test]
fn capacity_never_falls_below_what_the_load_requires() {
    let mut simulation = Simulation::new(10, 0);
    simulation.run(&version(1, "v1"), 600);
    for engine in simulation.engines.values_mut() {
        engine.calls = 7;
    }
    simulation.run(&version(2, "v2"), 900);
    assert_eq!(
        (simulation.with_version("v2"), simulation.min_serving_seen),
        (10, 9)
    );
    for engine in simulation.engines.values_mut() {
        engine.calls = 12;
    }
    simulation.run(&version(3, "v3"), 600);
    assert_eq!(
        (simulation.with_version("v3"), simulation.min_serving_seen),
        (0, 10)
    );
}

// A version that can't be loaded must not take further engines out of service once two have failed.
// The next document revision must lift the halt.
#[test]
fn a_failing_version_is_halted_until_the_next_document() {
    let mut simulation = Simulation::new(10, 2);
    simulation.run(&version(1, "v1"), 600);
    simulation.failing_version = Some("v2");
    let before = simulation.sent_orders;
    simulation.run(&version(2, "v2"), 1_000);
    assert_eq!(simulation.with_version("v1"), 10);
    assert!(
        simulation.sent_orders - before <= 4,
        "{} orders",
        simulation.sent_orders - before
    );
    let stopped = simulation.sent_orders;
    simulation.run(&version(2, "v2"), 1_000);
    assert_eq!(simulation.sent_orders, stopped);
    simulation.run(&version(3, "v3"), 600);
    assert_eq!(simulation.with_version("v3"), 10);
}

// A document restores the former version during a rollout. Only the engines that have changed may
// be ordered to load again.
#[test]
fn a_rollback_during_a_rollout_reloads_only_changed_engines() {
    let mut simulation = Simulation::new(10, 2);
    simulation.run(&version(1, "v1"), 600);
    simulation.run(&version(2, "v2"), 130);
    let changed = simulation.with_version("v2") + simulation.running.len();
    assert!((2..8).contains(&changed), "{changed}");
    let before = simulation.sent_orders;
    simulation.run(&version(3, "v1"), 600);
    assert_eq!(simulation.with_version("v1"), 10);
    assert_eq!(simulation.sent_orders - before, changed);
}

// Repeated failures of one engine must not halt the version on the others, and must be retried.
#[test]
fn an_order_that_fails_on_one_engine_is_retried_later() {
    let mut simulation = Simulation::new(4, 0);
    let vm: VmId = "car-00".parse().expect("valid name");
    let document = version(1, "v1");
    let mut failures = 0;
    for _ in 0..600 {
        let fails = failures < 3 && simulation.running.contains_key(&vm);
        simulation.failing_version = fails.then_some("v1");
        if fails {
            // Only this engine's order ends in this step.
            let (id, _, _) = simulation.running.remove(&vm).expect("running order");
            let engine = simulation.engines.get_mut(&vm).expect("known engine");
            (engine.state.busy, engine.serving) = (None, true);
            let retry_after = SpanUs::from_s(20);
            let failed = OrderOutcome::Failed("load failed".to_owned());
            assert!(
                simulation
                    .placement
                    .on_reply(simulation.now, &vm, id, &failed, retry_after)
            );
            failures += 1;
            simulation.failing_version = None;
        }
        simulation.run(&document, 1);
    }
    assert_eq!((failures, simulation.with_version("v1")), (3, 4));
}

// A new decider takes over during a rollout, while an engine executes an order of the former one.
// It must not order the same change twice.
#[test]
fn a_new_decider_continues_where_the_former_one_stopped() {
    let mut simulation = Simulation::new(10, 2);
    simulation.run(&version(1, "v1"), 600);
    let before = simulation.sent_orders;
    simulation.run(&version(2, "v2"), 125);
    simulation.placement = PlacementPlanner::new(simulation.now, FencingNumber(9), LOAD_INTERVAL);
    simulation.run(&version(2, "v2"), 600);
    assert_eq!(simulation.with_version("v2"), 10);
    assert_eq!(simulation.sent_orders - before, 10);
    assert!(simulation.shortest_load_interval() >= LOAD_INTERVAL);
}

#[test]
fn an_unreachable_engine_gets_no_orders() {
    let mut simulation = Simulation::new(3, 0);
    let vm: VmId = "car-01".parse().expect("valid name");
    simulation
        .engines
        .get_mut(&vm)
        .expect("known engine")
        .reachable = false;
    simulation.run(&version(1, "v1"), 300);
    assert_eq!(simulation.with_version("v1"), 2);
    simulation
        .engines
        .get_mut(&vm)
        .expect("known engine")
        .reachable = true;
    simulation.run(&version(1, "v1"), 300);
    assert_eq!(simulation.with_version("v1"), 3);
}

// After the loss of an engine, one other engine must load its model and adapter. Reassigning more
// would reload models without need.
#[test]
fn models_and_adapters_stay_on_their_engines_when_one_is_lost() {
    let mut simulation = Simulation::new(6, 0);
    let document = active_document(
        1,
        "[model star]\nversion = v1\n[model small]\nversion = s1\nmin_engines = 3\n\
         [adapter tone]\nmodel = small\nversion = 7",
    );
    simulation.run(&document, 1_200);
    let small: ModelName = "small".parse().expect("valid name");
    let tone: ModelName = "tone".parse().expect("valid name");
    let serving = |simulation: &Simulation, name: &ModelName| -> Vec<VmId> {
        let has = |state: &EngineState| {
            state.models.contains_key(name) || state.adapters.contains_key(name)
        };
        let engines = simulation.engines.iter().filter(|(_, e)| has(&e.state));
        engines.map(|(vm, _)| vm.clone()).collect()
    };
    let placed = serving(&simulation, &small);
    assert_eq!(placed.len(), 3);
    assert_eq!(serving(&simulation, &tone), placed);
    let orders = simulation.sent_orders;
    simulation.engines.remove(&placed[0]);
    simulation.run(&document, 600);
    assert_eq!(serving(&simulation, &small).len(), 3);
    assert_eq!(
        simulation.sent_orders - orders,
        2,
        "one model and its adapter"
    );
}
