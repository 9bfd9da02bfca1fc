//! Engine orders at the sidecar: late orders of deposed deciders, restarts, and calls that run.

use std::collections::BTreeMap;

use clementinepick::ids::{FencingNumber, Incarnation, OrderId, VmId};
use clementinepick::message::{Message, OrderOutcome, Peer};
use clementinepick::platform::{EngineOrder, EngineRole, EngineState, OrderBody, VmRole};
use clementinepick::sidecar::{Sidecar, SidecarAction, SidecarInput, SidecarSettings};
use clementinepick::units::TimeUs;

fn vm(name: &str) -> VmId {
    name.parse().expect("a name")
}

fn state(version: &str, fencing: Option<u64>, busy: Option<u128>) -> EngineState {
    let version = version.parse().expect("a name");
    EngineState {
        models: BTreeMap::from([("star".parse().expect("a name"), version)]),
        adapters: BTreeMap::new(),
        role: EngineRole::Mixed,
        fencing: fencing.map(FencingNumber),
        busy: busy.map(OrderId),
    }
}

fn order(id: u128, fencing: u64, version: &str) -> OrderBody {
    OrderBody {
        id: OrderId(id),
        fencing: FencingNumber(fencing),
        order: EngineOrder::LoadModel {
            model: "star".parse().expect("a name"),
            version: version.parse().expect("a name"),
        },
    }
}

/// A sidecar with two entries, one of which is the decider.
struct Bench {
    sidecar: Sidecar,
    life: u64,
    now: TimeUs,
}

impl Bench {
    fn new(life: u64) -> Self {
        let (zone, service) = ("z".parse().expect("a name"), "s".parse().expect("a name"));
        let settings = SidecarSettings::new(vm("car-1"), Incarnation(life), zone, service);
        let mut bench = Self {
            sidecar: Sidecar::new(settings),
            life,
            now: TimeUs(0),
        };
        for name in ["entry-a", "entry-b"] {
            bench.input(SidecarInput::LinkUp(Peer {
                vm: vm(name),
                incarnation: Incarnation(1),
                role: VmRole::Entry,
                zone: "z".parse().expect("a name"),
                service: None,
            }));
        }
        bench
    }

    fn input(&mut self, input: SidecarInput) -> Vec<SidecarAction> {
        self.now = TimeUs(self.now.0 + 1_000);
        let mut out = Vec::new();
        self.sidecar.handle(self.now, input, &mut out);
        out
    }

    fn order_to(&mut self, from: &str, life: u64, order: OrderBody) -> Vec<SidecarAction> {
        let target = Incarnation(life);
        let message = Message::Order { target, order };
        let from = vm(from);
        self.input(SidecarInput::Link { from, message })
    }

    fn order(&mut self, from: &str, order: OrderBody) -> Vec<SidecarAction> {
        self.order_to(from, self.life, order)
    }
}

fn passed(out: &[SidecarAction]) -> Vec<u128> {
    let ids = out.iter().filter_map(|action| match action {
        SidecarAction::Order { order, .. } => Some(order.id.0),
        _ => None,
    });
    ids.collect()
}

fn replies(out: &[SidecarAction]) -> Vec<(u128, bool)> {
    let replies = out.iter().filter_map(|action| match action {
        SidecarAction::Send {
            message: Message::OrderReply { id, outcome },
            ..
        } => Some((id.0, *outcome == OrderOutcome::Done)),
        _ => None,
    });
    replies.collect()
}

#[test]
fn an_order_is_done_when_the_engine_shows_its_effect() {
    let mut bench = Bench::new(1);
    bench.input(SidecarInput::Engine(state("v1", None, None)));
    assert_eq!(passed(&bench.order("entry-a", order(1, 5, "v2"))), [1]);
    let out = bench.input(SidecarInput::Engine(state("v1", None, Some(1))));
    assert_eq!(replies(&out), []);
    let out = bench.input(SidecarInput::Engine(state("v2", None, None)));
    assert_eq!(replies(&out), [(1, true)]);
}

// The engine takes the order, is busy for a while and is idle again with the old version: the load
// failed, and the decider hears so.
#[test]
fn an_order_that_ends_without_effect_has_failed() {
    let mut bench = Bench::new(1);
    bench.input(SidecarInput::Engine(state("v1", None, None)));
    bench.order("entry-a", order(1, 5, "v2"));
    bench.input(SidecarInput::Engine(state("v1", None, Some(1))));
    let out = bench.input(SidecarInput::Engine(state("v1", None, None)));
    assert_eq!(replies(&out), [(1, false)]);
    assert_eq!(passed(&bench.order("entry-a", order(2, 5, "v2"))), [2]);
}

// Entry A decides, is paused, and B claims over it and orders v3. A wakes up unaware and its order
// for v2 arrives late. The engine ignores fencing numbers; the sidecar must keep the order from it.
#[test]
fn a_deposed_deciders_late_order_is_not_passed() {
    let mut bench = Bench::new(1);
    bench.input(SidecarInput::Engine(state("v1", None, None)));
    bench.order("entry-b", order(2, 9, "v3"));
    bench.input(SidecarInput::Engine(state("v3", None, None)));
    let out = bench.order("entry-a", order(1, 5, "v2"));
    assert_eq!((passed(&out), replies(&out)), (vec![], vec![(1, false)]));
}

// The same, with the sidecar restarted in between, so that it has forgotten the numbers, and the
// engine keeps none. A's order names the former life of the sidecar and is not passed.
#[test]
fn a_late_order_for_a_former_life_is_not_passed() {
    let mut bench = Bench::new(2);
    bench.input(SidecarInput::Engine(state("v3", None, None)));
    let out = bench.order_to("entry-a", 1, order(1, 5, "v2"));
    assert_eq!((passed(&out), replies(&out)), (vec![], vec![(1, false)]));
}

// The sidecar restarted beside an engine that keeps the numbers: nothing is passed before the
// engine has told its state, and then the number that the engine knows counts here as well.
#[test]
fn after_a_restart_the_engine_is_asked_first() {
    let mut bench = Bench::new(2);
    let out = bench.order("entry-a", order(1, 5, "v2"));
    assert_eq!((passed(&out), replies(&out)), (vec![], vec![(1, false)]));
    bench.input(SidecarInput::Engine(state("v3", Some(9), None)));
    assert_eq!(passed(&bench.order("entry-a", order(2, 5, "v2"))), []);
    assert_eq!(passed(&bench.order("entry-b", order(3, 9, "v2"))), [3]);
}

// The sidecar restarted while the engine carries out an order that the sidecar knows nothing of.
// Another order would cut the load off half way.
#[test]
fn a_busy_engine_gets_no_second_order() {
    let mut bench = Bench::new(2);
    bench.input(SidecarInput::Engine(state("v1", None, Some(7))));
    let out = bench.order("entry-a", order(1, 5, "v2"));
    assert_eq!((passed(&out), replies(&out)), (vec![], vec![(1, false)]));
}

// The order comes twice, since its answer was lost and the decider sent it again: it is passed once.
#[test]
fn an_order_that_comes_twice_is_passed_once() {
    let mut bench = Bench::new(1);
    bench.input(SidecarInput::Engine(state("v1", None, None)));
    assert_eq!(passed(&bench.order("entry-a", order(1, 5, "v2"))), [1]);
    let out = bench.order("entry-a", order(1, 5, "v2"));
    assert_eq!((passed(&out), replies(&out)), (vec![], vec![]));
}

// While an engine is about to change what it serves, entries must send it nothing new: they are
// told at once, not with the next heartbeat, and again when it is back.
#[test]
fn entries_hear_at_once_that_an_engine_stops_and_serves_again() {
    let leaving = |out: &[SidecarAction]| -> Vec<bool> {
        let told = out.iter().filter_map(|action| match action {
            SidecarAction::Send {
                message: Message::Heartbeat(heartbeat),
                ..
            } => Some(heartbeat.leaving),
            _ => None,
        });
        told.collect()
    };
    let mut bench = Bench::new(1);
    bench.input(SidecarInput::Engine(state("v1", None, None)));
    let out = bench.order("entry-a", order(1, 5, "v2"));
    assert_eq!(leaving(&out), [true, true]);
    let out = bench.input(SidecarInput::Engine(state("v2", None, None)));
    assert_eq!(leaving(&out), [false, false]);
}
