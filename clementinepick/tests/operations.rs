//! Documents, membership and engine orders through whole processes in virtual time.

mod common;

use std::collections::BTreeMap;

use clementinepick::event::EventKind;
use clementinepick::ids::{RequestId, Revision};
use clementinepick::message::Message;
use clementinepick::platform::{EngineOrder, EngineRole, EngineState, StreamName};
use clementinepick::safeguards::Safeguards;
use clementinepick::units::SpanUs;
use common::{ENGINE_DOCUMENT, World, chat, vm, with_seq};

/// The revision of the engines' service at a process.
fn revision(world: &World, name: &str) -> u64 {
    world.dump(name)["revisions"]["llm"]
        .as_u64()
        .unwrap_or_default()
}

fn everywhere(world: &World, names: &[&str], wanted: u64) -> bool {
    names.iter().all(|name| revision(world, name) == wanted)
}

// An operator publishes while two of three entries can't reach the log. The third reads it and
// passes it on; entries and sidecars have it within seconds.
#[test]
fn a_document_comes_to_entries_that_are_cut_off_from_the_log() {
    let mut world = World::new(3, 2, 0);
    world.log.isolated_vms = [vm("e1"), vm("e2")].into();
    world.publish(10, 1, &format!("{ENGINE_DOCUMENT}[class d]\nrank = 2\n"));
    world.run_until(3_000, "in force", |world| {
        everywhere(world, &["e0", "e1", "e2", "g0", "g1"], 2)
    });
}

// The log is out for everybody while a sidecar restarts: it has its document from the entries at
// once, in the revision that was in force.
#[test]
fn a_sidecar_that_starts_during_an_outage_gets_its_document() {
    let mut world = World::new(2, 2, 0);
    world.publish(10, 1, &format!("{ENGINE_DOCUMENT}[class d]\nrank = 2\n"));
    world.run_ms(1_000);
    world.log.mode = common::LogMode::Down;
    world.kill("g0");
    world.start("g0");
    world.run_until(1_000, "in force", |world| revision(world, "g0") == 2);
}

// The publications have passed the log's retention when an entry starts. The other entries have
// carried the configuration forward; the late one comes to the same revision and serves.
#[test]
fn an_entry_that_starts_after_retention_comes_to_the_same_revision() {
    let mut world = World::with_settings(2, 2, 0, Safeguards::default(), |settings| {
        settings.snapshot_us = SpanUs::from_s(20);
    });
    world.publish(10, 1, &format!("{ENGINE_DOCUMENT}[class d]\nrank = 2\n"));
    world.run_ms(60_000);
    let records = world.log.records[&StreamName::Config].len() as u64;
    assert!(
        (4..=8).contains(&records),
        "{records} records, of which 3 are documents"
    );
    world.log.earliest.insert(StreamName::Config, 3);
    world.cut_link("e0", "e2");
    world.cut_link("e1", "e2");
    world.start("e2");
    world.run_until(2_000, "read", |world| revision(world, "e2") == 2);
    assert!(!world.has_event(EventKind::RetentionPassed));
}

// Without any snapshot the same start fails, and says so: serving by a part of the records would
// be a guess.
#[test]
fn an_entry_that_lacks_records_says_that_it_cannot_start() {
    let mut world = World::new(2, 2, 0);
    world.log.earliest.insert(StreamName::Config, 2);
    world.cut_link("e0", "e2");
    world.cut_link("e1", "e2");
    world.start("e2");
    world.run_ms(2_000);
    assert_eq!(world.dump("e2")["caught_up"], false);
    assert!(world.has_event(EventKind::RetentionPassed));
}

// Call 1 of a program comes in under revision 1 and waits for call 0. Meanwhile revision 2 drops
// its class, and call 0 comes in under revision 2. Each runs to its end under its own revision.
#[test]
fn each_call_runs_under_the_revision_it_came_in_under() {
    let mut world = World::new(2, 1, 0);
    let classed =
        |class: &str, make: Box<dyn FnOnce(RequestId) -> clementinepick::call::Request>| {
            let class = class.parse().expect("a name");
            move |id| clementinepick::call::Request {
                class: Some(class),
                ..make(id)
            }
        };
    let first = world.call(
        "e0",
        classed(
            "c",
            Box::new(with_seq(1, chat("p", &["hi", "re: hi", "ho"]))),
        ),
    );
    world.run_ms(200);
    world.publish(10, 1, &ENGINE_DOCUMENT.replace("[class c]", "[class d]"));
    world.run_until(2_000, "in force", |world| {
        everywhere(world, &["e0", "e1", "g0"], 2)
    });
    let second = world.call(
        "e1",
        classed("d", Box::new(with_seq(0, chat("p", &["hi"])))),
    );
    assert_eq!(world.wait(second).code(), "done");
    assert_eq!(world.wait(first).code(), "done");
    let refused = world.call(
        "e0",
        classed("c", Box::new(with_seq(2, chat("p", &["hi"])))),
    );
    assert_eq!(world.wait(refused).code(), "unknown_class");
}

// A new class is used in the very moment in which one entry has the new document. The owner of the
// program and the sidecar may not have it yet; the entry sends it ahead of the call.
#[test]
fn a_class_may_be_used_as_soon_as_an_entry_knows_it() {
    for entry in ["e0", "e1", "e2", "e3"] {
        let mut world = World::new(4, 1, 0);
        world.publish(10, 1, &format!("{ENGINE_DOCUMENT}[class d]\nrank = 2\n"));
        world.run_until(2_000, "in force", |world| revision(world, entry) == 2);
        let id = world.call(entry, |id| clementinepick::call::Request {
            class: Some("d".parse().expect("a name")),
            ..chat("p", &["hi"])(id)
        });
        assert_eq!(world.wait(id).code(), "done", "{entry}");
    }
}

// The owner of the program can't reach the log and does not know the new class when a call of it is
// passed on by an entry that does. The document goes ahead of the call, so that it is not refused.
#[test]
fn a_call_takes_its_document_along_to_the_owner() {
    let mut world = World::new(2, 1, 0);
    world.log.isolated_vms = [vm("e1")].into();
    world.publish(10, 1, &format!("{ENGINE_DOCUMENT}[class d]\nrank = 2\n"));
    world.run_until(2_000, "in force", |world| revision(world, "e0") == 2);
    assert_eq!(revision(&world, "e1"), 1);
    let name = world.program_owned_by("e1", "p");
    let id = world.call("e0", |id| clementinepick::call::Request {
        class: Some("d".parse().expect("a name")),
        ..chat(&name, &["hi"])(id)
    });
    world.run_ms(100);
    assert_eq!(revision(&world, "e1"), 2);
    world.log.isolated_vms.clear();
    assert_eq!(world.wait(id).code(), "done");
}

// What the entry sends to one sidecar is lost, and that sidecar's heartbeats still arrive. Calls
// that were sent there are answered by the other one after a few seconds, not at their deadlines.
#[test]
fn calls_leave_a_sidecar_that_hears_nothing() {
    let mut world = World::new(1, 2, 0);
    world.blackholed.insert((vm("e0"), vm("g0")));
    let ids: Vec<_> = (0..6)
        .map(|n| world.call("e0", chat(&format!("p{n}"), &["hi"])))
        .collect();
    world.run_until(6_000, "answers", |world| {
        ids.iter().all(|id| world.is_answered(*id))
    });
    for id in ids {
        assert_eq!(world.answer(id).code(), "done");
    }
    assert!(world.has_event(EventKind::PeerDeaf));
    assert!(world.backends[&vm("g0")].runs.is_empty());
}

fn placed(version: &str) -> String {
    format!(
        "{ENGINE_DOCUMENT}[model m]\nversion = {version}\n[placement]\nload_interval = 500 ms\n\
         max_loading = 2\nmin_serving = 50%\nretry_after = 1 s\n"
    )
}

fn serving(version: &str) -> EngineState {
    let model = "m".parse().expect("a name");
    EngineState {
        models: BTreeMap::from([(model, version.parse().expect("a name"))]),
        adapters: BTreeMap::new(),
        role: EngineRole::Mixed,
        fencing: None,
        busy: None,
    }
}

fn with_version(world: &World, version: &str) -> usize {
    let wanted = serving(version).models;
    let engines = world.backends.values().filter_map(|b| b.engine.as_ref());
    engines.filter(|state| state.models == wanted).count()
}

fn loads(world: &World) -> usize {
    let orders = world.backends.values().flat_map(|b| &b.orders);
    orders
        .filter(|order| matches!(order, EngineOrder::LoadModel { .. }))
        .count()
}

fn decider(world: &World, entries: &[&str]) -> Option<String> {
    let decides = |name: &&&str| world.dump(name)["placements"]["llm"].is_object();
    entries.iter().find(decides).map(|name| (*name).to_owned())
}

// A new version comes to four engines while calls keep coming. Each call is answered whole: before
// its load an engine finishes what it has (the harness fails on an order over running calls).
#[test]
fn a_new_version_cuts_no_call_off() {
    let mut world = World::new(2, 4, 0);
    for backend in world.backends.values_mut() {
        backend.delay_us = Some(400_000);
    }
    world.enable_engine_orders(&serving("v1"));
    world.publish(10, 1, &placed("v2"));
    let mut ids = Vec::new();
    for n in 0..300 {
        ids.push(world.call(["e0", "e1"][n % 2], chat(&format!("p{n}"), &["hi"])));
        world.run_ms(50);
    }
    world.run_until(20_000, "v2 everywhere", |world| {
        with_version(world, "v2") == 4
    });
    for id in ids {
        assert_eq!(world.wait(id).code(), "done");
    }
    assert_eq!(loads(&world), 4);
}

// A document drops one of two models while calls of it run. Each engine finishes them before the
// model is taken from it, and goes on with the other model.
#[test]
fn a_model_is_dropped_after_its_last_call() {
    let mut world = World::new(2, 2, 0);
    for backend in world.backends.values_mut() {
        backend.delay_us = Some(400_000);
    }
    let mut state = serving("v1");
    let old = "old".parse().expect("a name");
    state.models.insert(old, "v1".parse().expect("a name"));
    world.enable_engine_orders(&state);
    world.publish(10, 1, &placed("v1"));
    let mut ids = Vec::new();
    for n in 0..200 {
        ids.push(world.call(["e0", "e1"][n % 2], chat(&format!("p{n}"), &["hi"])));
        world.run_ms(50);
    }
    world.run_until(20_000, "dropped", |world| with_version(world, "v1") == 2);
    for id in ids {
        assert_eq!(world.wait(id).code(), "done");
    }
    assert_eq!(loads(&world), 0);
}

// The decider dies after its first orders. The other entry claims over it, learns from the engines
// how far the version has come, and orders the rest once each.
#[test]
fn the_next_decider_finishes_what_a_dead_one_began() {
    let mut world = World::new(2, 4, 0);
    world.enable_engine_orders(&serving("v1"));
    world.publish(10, 1, &placed("v2"));
    world.run_until(10_000, "first orders", |world| loads(world) >= 1);
    let first = decider(&world, &["e0", "e1"]).expect("one decides");
    world.kill(&first);
    world.run_until(20_000, "v2 everywhere", |world| {
        with_version(world, "v2") == 4
    });
    world.run_ms(5_000);
    assert_eq!(loads(&world), 4);
}

// The decider is paused in the middle of a rollout; the other entry takes over, and the next
// document takes the version back. When the first one wakes up, unaware, nothing of it reaches an
// engine: its sidecars know the newer number, though the engines keep none.
#[test]
fn a_paused_decider_changes_nothing_when_it_wakes() {
    let mut world = World::new(2, 4, 0);
    world.enable_engine_orders(&serving("v1"));
    world.publish(10, 1, &placed("v2"));
    world.run_until(10_000, "first orders", |world| loads(world) >= 1);
    let first = decider(&world, &["e0", "e1"]).expect("one decides");
    world.pause(&first);
    world.run_ms(8_000);
    world.publish(11, 2, &placed("v3"));
    world.run_until(20_000, "v3 everywhere", |world| {
        with_version(world, "v3") == 4
    });
    let before = loads(&world);
    world.resume(&first);
    world.run_ms(20_000);
    assert_eq!((with_version(&world, "v3"), loads(&world)), (4, before));
    let second = decider(&world, &["e0", "e1"]);
    assert!(second.is_some_and(|second| second != first));
}

// Two entries lose each other for good; both reach the log and all sidecars. Each takes the other's
// decider for dead and claims over it, ever more rarely, and the version still comes everywhere.
#[test]
fn entries_that_cannot_see_each_other_do_not_depose_each_other_all_the_time() {
    let mut world = World::new(2, 4, 0);
    world.enable_engine_orders(&serving("v1"));
    world.cut_link("e0", "e1");
    world.run_ms(4_000);
    world.publish(10, 1, &placed("v2"));
    world.run_ms(120_000);
    assert_eq!(with_version(&world, "v2"), 4);
    let records = &world.log.records[&StreamName::Config];
    let claims = records
        .iter()
        .filter(|r| r.contains("DeciderClaim"))
        .count();
    assert!((2..=7).contains(&claims), "{claims} claims in two minutes");
}

// A sidecar restarts and has forgotten the decider's number; the engine keeps none. The decider
// reads the log anew before it names the new life, so that it would know if it were deposed.
#[test]
fn a_restarted_sidecar_takes_orders_again() {
    let mut world = World::new(2, 2, 0);
    world.enable_engine_orders(&serving("v1"));
    world.publish(10, 1, &placed("v1"));
    world.run_ms(5_000);
    world.kill("g0");
    world.start("g0");
    world.publish(11, 2, &placed("v2"));
    world.run_until(20_000, "v2 everywhere", |world| {
        with_version(world, "v2") == 2
    });
}

// While the log can't be read nobody can tell whether the decider was deposed: it gives no orders,
// calls go on, and it goes on with the rollout when the log is back.
#[test]
fn no_orders_are_given_while_the_log_is_out() {
    let mut world = World::new(2, 4, 0);
    world.enable_engine_orders(&serving("v1"));
    world.publish(10, 1, &placed("v2"));
    world.run_until(10_000, "first orders", |world| loads(world) >= 1);
    world.log.mode = common::LogMode::Down;
    world.run_ms(1_000);
    let before = loads(&world);
    world.run_ms(20_000);
    assert_eq!(loads(&world), before);
    world.log.mode = common::LogMode::Up;
    world.run_until(20_000, "v2 everywhere", |world| {
        with_version(world, "v2") == 4
    });
}

// A lagging entry's heartbeat brings an old document to nobody, and a document that was passed on
// late is passed over.
#[test]
fn a_late_document_does_not_revert_an_entry() {
    let mut world = World::new(2, 1, 0);
    world.publish(10, 1, &format!("{ENGINE_DOCUMENT}[class d]\nrank = 2\n"));
    world.run_until(2_000, "in force", |world| {
        everywhere(world, &["e0", "e1", "g0"], 2)
    });
    let old = clementinepick::record::PublishedDocument {
        service: "llm".parse().expect("a name"),
        revision: Revision(1),
        operation: clementinepick::ids::OperationId(1),
        author: vm("operator"),
        text: ENGINE_DOCUMENT.to_owned(),
    };
    for name in ["e0", "e1"] {
        let message = Message::Documents(vec![old.clone()]);
        let from = vm(if name == "e0" { "e1" } else { "e0" });
        world.send_input(
            name,
            clementinepick::entry::EntryInput::Link { from, message },
        );
    }
    world.run_ms(2_000);
    assert!(everywhere(&world, &["e0", "e1", "g0"], 2));
}
