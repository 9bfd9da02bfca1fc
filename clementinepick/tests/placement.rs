//! Engine orders in virtual time: loads are spread, capacity stays, a bad version stops and goes.

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

const STEP: SpanUs = SpanUs::from_s(1);
const LOAD: SpanUs = SpanUs::from_s(40);
const INTERVAL: SpanUs = SpanUs::from_s(10);

fn model() -> ModelName {
    "star".parse().expect("a name")
}

fn in_force(revision: u64, more: &str) -> ActiveDocument {
    let text = format!(
        "[service]\nname = s\nkind = engine\n[class c]\nrank = 1\n{more}\n[placement]\n\
         load_interval = 10 s\nmax_loading = 2\nmin_serving = 70%\nretry_after = 20 s\n"
    );
    ActiveDocument {
        document: Arc::new(Document::parse(&text).expect("right")),
        published: PublishedDocument {
            service: "s".parse().expect("a name"),
            revision: Revision(revision),
            operation: OperationId(0),
            author: "ana".parse().expect("a name"),
            text,
        },
    }
}

fn version(revision: u64, version: &str) -> ActiveDocument {
    in_force(revision, &format!("[model star]\nversion = {version}"))
}

/// Engines that carry out orders in virtual time, driven by one decider.
struct Bench {
    now: TimeUs,
    engines: BTreeMap<VmId, Engine>,
    running: BTreeMap<VmId, (OrderId, EngineOrder, TimeUs)>,
    placement: PlacementPlanner,
    next_id: u128,
    bad: Option<&'static str>,
    loads_us: Vec<TimeUs>,
    least_serving: usize,
    orders: usize,
}

impl Bench {
    fn new(count: usize, calls: u32) -> Self {
        let engine = |n: usize| Engine {
            zone: format!("zone-{}", n % 3).parse().expect("a name"),
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
        let vm = |n: usize| format!("car-{n:02}").parse().expect("a name");
        Self {
            now: TimeUs(0),
            engines: (0..count).map(|n| (vm(n), engine(n))).collect(),
            running: BTreeMap::new(),
            placement: PlacementPlanner::new(TimeUs(0), FencingNumber(5), INTERVAL),
            next_id: 0,
            bad: None,
            loads_us: Vec::new(),
            least_serving: count,
            orders: 0,
        }
    }

    fn serving(&self) -> usize {
        let serving = self.engines.values().filter(|e| e.serving);
        serving.filter(|e| !e.state.models.is_empty()).count()
    }

    fn run(&mut self, document: &ActiveDocument, seconds: u64) {
        self.least_serving = self.serving();
        for _ in 0..seconds {
            self.now = self.now.after(STEP);
            self.finish_orders();
            for planned in self.placement.plan(self.now, document, &self.engines) {
                self.send(&planned);
            }
            self.least_serving = self.least_serving.min(self.serving());
        }
    }

    fn send(&mut self, planned: &PlannedOrder) {
        self.next_id += 1;
        self.orders += 1;
        let id = OrderId(self.next_id);
        self.placement.on_sent(self.now, id, planned);
        let takes = match planned.order {
            EngineOrder::LoadModel { .. } | EngineOrder::LoadAdapter { .. } => {
                self.loads_us.push(self.now);
                LOAD
            }
            EngineOrder::Unload { .. } | EngineOrder::SetRole { .. } => STEP,
        };
        let engine = self.engines.get_mut(&planned.target).expect("known");
        engine.state.busy = Some(id);
        if matches!(
            planned.order,
            EngineOrder::LoadModel { .. } | EngineOrder::SetRole { .. }
        ) {
            engine.serving = false;
        }
        let order = (id, planned.order.clone(), self.now.after(takes));
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
            let (id, order, _) = self.running.remove(&vm).expect("due");
            let engine = self.engines.get_mut(&vm).expect("known");
            engine.state.busy = None;
            engine.serving = true;
            let mut failed = false;
            match order {
                EngineOrder::LoadModel { model, version } => {
                    failed = self.bad == Some(version.as_str());
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
                OrderOutcome::Failed("bad".to_owned())
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

    fn least_interval(&self) -> SpanUs {
        let pairs = self.loads_us.windows(2);
        pairs
            .map(|pair| pair[1].since(pair[0]))
            .min()
            .unwrap_or(SpanUs(u64::MAX))
    }
}

// Ten engines get a new version while calls for three of them run. Each load takes an engine out
// for 40 s, the weight store gives one load each 10 s, and 70% must go on serving.
#[test]
fn a_new_version_reaches_all_engines_within_rate_and_capacity() {
    let mut bench = Bench::new(10, 2);
    bench.run(&version(1, "v1"), 600);
    assert_eq!(bench.with_version("v1"), 10);
    bench.loads_us.clear();
    bench.run(&version(2, "v2"), 600);
    assert_eq!(bench.with_version("v2"), 10);
    assert_eq!(bench.least_serving, 8, "two load at a time");
    assert!(bench.least_interval() >= INTERVAL);
    let orders = bench.orders;
    bench.run(&version(2, "v2"), 600);
    assert_eq!(bench.orders, orders, "nothing is left to order");
}

// The calls of now need nine of the ten engines: only one may change at a time, though the
// document's share would allow two.
#[test]
fn capacity_never_falls_below_what_the_load_needs() {
    let mut bench = Bench::new(10, 0);
    bench.run(&version(1, "v1"), 600);
    for engine in bench.engines.values_mut() {
        engine.calls = 7;
    }
    bench.run(&version(2, "v2"), 900);
    assert_eq!((bench.with_version("v2"), bench.least_serving), (10, 9));
    for engine in bench.engines.values_mut() {
        engine.calls = 12;
    }
    bench.run(&version(3, "v3"), 600);
    assert_eq!((bench.with_version("v3"), bench.least_serving), (0, 10));
}

// A version can't be loaded. After two engines have failed on it no third one is taken out of
// service, the two try no more, and the next document brings everything to the former version.
#[test]
fn a_bad_version_stops_and_the_next_document_takes_it_back() {
    let mut bench = Bench::new(10, 2);
    bench.run(&version(1, "v1"), 600);
    bench.bad = Some("v2");
    let before = bench.orders;
    bench.run(&version(2, "v2"), 1_000);
    assert_eq!(bench.with_version("v1"), 10);
    assert!(
        bench.orders - before <= 4,
        "{} orders",
        bench.orders - before
    );
    let stopped = bench.orders;
    bench.run(&version(2, "v2"), 1_000);
    assert_eq!(bench.orders, stopped);
    bench.run(&version(3, "v3"), 600);
    assert_eq!(bench.with_version("v3"), 10);
}

// The same version loads, and its answers are bad, as its team finds out when half the engines have
// it. They publish the former version; only the engines that changed are ordered back.
#[test]
fn a_version_that_answers_badly_is_rolled_back_half_way() {
    let mut bench = Bench::new(10, 2);
    bench.run(&version(1, "v1"), 600);
    bench.run(&version(2, "v2"), 130);
    let changed = bench.with_version("v2") + bench.running.len();
    assert!((2..8).contains(&changed), "{changed}");
    let before = bench.orders;
    bench.run(&version(3, "v1"), 600);
    assert_eq!(bench.with_version("v1"), 10);
    assert_eq!(bench.orders - before, changed);
}

// One engine fails on what all others load. It is tried again, ever more rarely, and does not stop
// the others.
#[test]
fn an_order_that_fails_at_one_engine_is_tried_again_later() {
    let mut bench = Bench::new(4, 0);
    let vm: VmId = "car-00".parse().expect("a name");
    let document = version(1, "v1");
    let mut failures = 0;
    for _ in 0..600 {
        let fails = failures < 3 && bench.running.contains_key(&vm);
        bench.bad = fails.then_some("v1");
        if fails {
            // Only this engine's order ends now; the others' are held back a little.
            let (id, _, _) = bench.running.remove(&vm).expect("running");
            let engine = bench.engines.get_mut(&vm).expect("known");
            (engine.state.busy, engine.serving) = (None, true);
            let retry_after = SpanUs::from_s(20);
            let failed = OrderOutcome::Failed("bad".to_owned());
            assert!(
                bench
                    .placement
                    .on_reply(bench.now, &vm, id, &failed, retry_after)
            );
            failures += 1;
            bench.bad = None;
        }
        bench.run(&document, 1);
    }
    assert_eq!((failures, bench.with_version("v1")), (3, 4));
}

// The decider's claim is followed by another's. The new decider starts from what the engines say,
// with one of them still busy with the former decider's order: it orders that engine nothing, and
// nobody twice.
#[test]
fn a_new_decider_goes_on_where_the_former_one_stopped() {
    let mut bench = Bench::new(10, 2);
    bench.run(&version(1, "v1"), 600);
    let before = bench.orders;
    bench.run(&version(2, "v2"), 125);
    bench.placement = PlacementPlanner::new(bench.now, FencingNumber(9), INTERVAL);
    bench.run(&version(2, "v2"), 600);
    assert_eq!(bench.with_version("v2"), 10);
    assert_eq!(bench.orders - before, 10);
    assert!(bench.least_interval() >= INTERVAL);
}

#[test]
fn an_engine_that_no_order_would_reach_is_left_out() {
    let mut bench = Bench::new(3, 0);
    let vm: VmId = "car-01".parse().expect("a name");
    bench.engines.get_mut(&vm).expect("known").reachable = false;
    bench.run(&version(1, "v1"), 300);
    assert_eq!(bench.with_version("v1"), 2);
    bench.engines.get_mut(&vm).expect("known").reachable = true;
    bench.run(&version(1, "v1"), 300);
    assert_eq!(bench.with_version("v1"), 3);
}

// A model that three engines are to serve, with its adapter, beside one for all. A lost engine is
// made up for by another, and nobody else changes.
#[test]
fn models_adapters_and_roles_are_placed_and_stay() {
    let mut bench = Bench::new(6, 0);
    let document = in_force(
        1,
        "[model star]\nversion = v1\n[model small]\nversion = s1\nmin_engines = 3\n\
         [adapter tone]\nmodel = small\nversion = 7",
    );
    bench.run(&document, 1_200);
    let small: ModelName = "small".parse().expect("a name");
    let tone: ModelName = "tone".parse().expect("a name");
    let serving = |bench: &Bench, name: &ModelName| -> Vec<VmId> {
        let has = |state: &EngineState| {
            state.models.contains_key(name) || state.adapters.contains_key(name)
        };
        let engines = bench.engines.iter().filter(|(_, e)| has(&e.state));
        engines.map(|(vm, _)| vm.clone()).collect()
    };
    let placed = serving(&bench, &small);
    assert_eq!(placed.len(), 3);
    assert_eq!(serving(&bench, &tone), placed);
    let orders = bench.orders;
    bench.engines.remove(&placed[0]);
    bench.run(&document, 600);
    assert_eq!(serving(&bench, &small).len(), 3);
    assert_eq!(bench.orders - orders, 2, "one model and its adapter");
}
