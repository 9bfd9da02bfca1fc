//! Tests engine orders at the sidecar: late orders of deposed deciders, restarts, and busy engines.

use std::collections::BTreeMap;

use clementinepick::ids::{FencingNumber, Incarnation, OrderId, VmId};
use clementinepick::message::{Message, OrderOutcome, Peer};
use clementinepick::platform::{EngineOrder, EngineRole, EngineState, OrderBody, VmRole};
use clementinepick::sidecar::{Sidecar, SidecarAction, SidecarInput, SidecarSettings};
use clementinepick::units::TimeUs;

fn vm(name: &str) -> VmId {
    name.parse().expect("valid name")
}

fn state(version: &str, fencing: Option<u64>, busy: Option<u128>) -> EngineState {
    let version = version.parse().expect("valid name");
    EngineState {
        models: BTreeMap::from([("star".parse().expect("valid name"), version)]),
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
            model: "star".parse().expect("valid name"),
            version: version.parse().expect("valid name"),
        },
    }
}

/// A sidecar that is linked to two entries.
struct Harness {
    sidecar: Sidecar,
    incarnation: u64,
    now: TimeUs,
}

impl Harness {
    fn new(incarnation: u64) -> Self {
        let (zone, service) = (
            "z".parse().expect("valid name"),
            "s".parse().expect("valid name"),
        );
        let settings = SidecarSettings::new(vm("car-1"), Incarnation(incarnation), zone, service);
        let mut harness = Self {
            sidecar: Sidecar::new(settings),
            incarnation,
            now: TimeUs(0),
        };
        for name in ["entry-a", "entry-b"] {
            harness.input(SidecarInput::LinkUp(Peer {
                vm: vm(name),
                incarnation: Incarnation(1),
                role: VmRole::Entry,
                zone: "z".parse().expect("valid name"),
                service: None,
            }));
        }
        harness
    }

    fn input(&mut self, input: SidecarInput) -> Vec<SidecarAction> {
        self.now = TimeUs(self.now.0 + 1_000);
        let mut out = Vec::new();
        self.sidecar.handle(self.now, input, &mut out);
        out
    }

    fn order_to(&mut self, from: &str, incarnation: u64, order: OrderBody) -> Vec<SidecarAction> {
        let target = Incarnation(incarnation);
        let message = Message::Order { target, order };
        let from = vm(from);
        self.input(SidecarInput::Link { from, message })
    }

    fn order(&mut self, from: &str, order: OrderBody) -> Vec<SidecarAction> {
        self.order_to(from, self.incarnation, order)
    }
}

fn passed_orders(out: &[SidecarAction]) -> Vec<u128> {
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
fn an_order_is_done_once_the_engine_state_shows_its_effect() {
    let mut harness = Harness::new(1);
    harness.input(SidecarInput::Engine(state("v1", None, None)));
    assert_eq!(
        passed_orders(&harness.order("entry-a", order(1, 5, "v2"))),
        [1]
    );
    let out = harness.input(SidecarInput::Engine(state("v1", None, Some(1))));
    assert_eq!(replies(&out), []);
    let out = harness.input(SidecarInput::Engine(state("v2", None, None)));
    assert_eq!(replies(&out), [(1, true)]);
}

// The engine accepts a load, becomes busy and is idle again with the old version. The decider must
// learn that the load failed.
#[test]
fn an_order_that_ends_without_effect_fails() {
    let mut harness = Harness::new(1);
    harness.input(SidecarInput::Engine(state("v1", None, None)));
    harness.order("entry-a", order(1, 5, "v2"));
    harness.input(SidecarInput::Engine(state("v1", None, Some(1))));
    let out = harness.input(SidecarInput::Engine(state("v1", None, None)));
    assert_eq!(replies(&out), [(1, false)]);
    assert_eq!(
        passed_orders(&harness.order("entry-a", order(2, 5, "v2"))),
        [2]
    );
}

// A paused decider resumes after it was deposed, and its order arrives late. The engine ignores
// fencing numbers, so the sidecar must reject the order.
#[test]
fn a_deposed_deciders_late_order_is_not_passed() {
    let mut harness = Harness::new(1);
    harness.input(SidecarInput::Engine(state("v1", None, None)));
    harness.order("entry-b", order(2, 9, "v3"));
    harness.input(SidecarInput::Engine(state("v3", None, None)));
    let out = harness.order("entry-a", order(1, 5, "v2"));
    assert_eq!(
        (passed_orders(&out), replies(&out)),
        (vec![], vec![(1, false)])
    );
}

// The sidecar has restarted and lost its fencing numbers, and the engine stores none. The late
// order names the earlier incarnation of the sidecar, which must reject it.
#[test]
fn a_late_order_for_an_earlier_incarnation_is_not_passed() {
    let mut harness = Harness::new(2);
    harness.input(SidecarInput::Engine(state("v3", None, None)));
    let out = harness.order_to("entry-a", 1, order(1, 5, "v2"));
    assert_eq!(
        (passed_orders(&out), replies(&out)),
        (vec![], vec![(1, false)])
    );
}

// The sidecar has restarted, and the engine stores fencing numbers. No order may pass before the
// engine has reported its state; then the engine's fencing number applies.
#[test]
fn after_a_restart_no_order_passes_before_the_engine_reports_its_state() {
    let mut harness = Harness::new(2);
    let out = harness.order("entry-a", order(1, 5, "v2"));
    assert_eq!(
        (passed_orders(&out), replies(&out)),
        (vec![], vec![(1, false)])
    );
    harness.input(SidecarInput::Engine(state("v3", Some(9), None)));
    assert_eq!(
        passed_orders(&harness.order("entry-a", order(2, 5, "v2"))),
        []
    );
    assert_eq!(
        passed_orders(&harness.order("entry-b", order(3, 9, "v2"))),
        [3]
    );
}

// The sidecar has restarted while the engine executes an order that the sidecar does not know. A
// second order would interrupt the load.
#[test]
fn a_busy_engine_gets_no_second_order() {
    let mut harness = Harness::new(2);
    harness.input(SidecarInput::Engine(state("v1", None, Some(7))));
    let out = harness.order("entry-a", order(1, 5, "v2"));
    assert_eq!(
        (passed_orders(&out), replies(&out)),
        (vec![], vec![(1, false)])
    );
}

// The decider repeats an order whose reply was lost. The engine must get it once.
#[test]
fn a_repeated_order_is_passed_once() {
    let mut harness = Harness::new(1);
    harness.input(SidecarInput::Engine(state("v1", None, None)));
    assert_eq!(
        passed_orders(&harness.order("entry-a", order(1, 5, "v2"))),
        [1]
    );
    let out = harness.order("entry-a", order(1, 5, "v2"));
    assert_eq!((passed_orders(&out), replies(&out)), (vec![], vec![]));
}

// Entries must stop sending calls before an engine changes what it serves. Waiting for the next
// periodic heartbeat would let calls arrive that the sidecar has to refuse.
#[test]
fn entries_learn_at_once_when_an_engine_stops_and_resumes_serving() {
    let leaving_flags = |out: &[SidecarAction]| -> Vec<bool> {
        let flags = out.iter().filter_map(|action| match action {
            SidecarAction::Send {
                message: Message::Heartbeat(heartbeat),
                ..
            } => Some(heartbeat.leaving),
            _ => None,
        });
        flags.collect()
    };
    let mut harness = Harness::new(1);
    harness.input(SidecarInput::Engine(state("v1", None, None)));
    let out = harness.order("entry-a", order(1, 5, "v2"));
    assert_eq!(leaving_flags(&out), [true, true]);
    let out = harness.input(SidecarInput::Engine(state("v2", None, None)));
    assert_eq!(leaving_flags(&out), [false, false]);
}
