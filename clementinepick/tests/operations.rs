//! Tests configuration documents, membership and engine orders across processes in virtual time.

mod common;

use std::collections::BTreeMap;

use clementinepick::event::EventKind;
use clementinepick::ids::{RequestId, Revision};
use clementinepick::message::Message;
use clementinepick::platform::{EngineOrder, EngineRole, EngineState, StreamName};
use clementinepick::safeguards::Safeguards;
use clementinepick::units::SpanUs;
use common::{ENGINE_DOCUMENT, World, chat, vm, with_seq};

/// Returns the revision of the engines' document at a process.
fn revision(world: &World, name: &str) -> u64 {
    world.dump(name)["revisions"]["llm"]
        .as_u64()
        .unwrap_or_default()
}

fn all_have_revision(world: &World, names: &[&str], expected: u64) -> bool {
    names.iter().all(|name| revision(world, name) == expected)
}

// Two of three entries can't reach the log. The third must forward a new document to them and to the
// sidecars, so that all processes use it within seconds.
#[test]
fn document_reaches_entries_without_access_to_the_log() {
    let mut world = World::new(3, 2, 0);
    world.log.isolated_vms = [vm("e1"), vm("e2")].into();
    world.publish(10, 1, &format!("{ENGINE_DOCUMENT}[class d]\nrank = 2\n"));
    world.run_until(3_000, "in force", |world| {
        all_have_revision(world, &["e0", "e1", "e2", "g0", "g1"], 2)
    });
}

// A sidecar that restarts while the log is unavailable must get the active revision from the
// entries.
#[test]
fn sidecar_that_starts_during_a_log_outage_gets_its_document() {
    let mut world = World::new(2, 2, 0);
    world.publish(10, 1, &format!("{ENGINE_DOCUMENT}[class d]\nrank = 2\n"));
    world.run_ms(1_000);
    world.log.mode = common::LogMode::Down;
    world.kill("g0");
    world.start("g0");
    world.run_until(1_000, "in force", |world| revision(world, "g0") == 2);
}

// The log no longer has the publications when an entry starts. It must reach the same revision from
// the snapshots that the other entries have written.
#[test]
fn entry_that_starts_after_retention_reaches_the_same_revision() {
    let mut world = World::with_settings(2, 2, 0, Safeguards::default(), |settings| {
        settings.snapshot_us = SpanUs::from_s(20);
    });
    world.publish(10, 1, &format!("{ENGINE_DOCUMENT}[class d]\nrank = 2\n"));
    world.run_ms(60_000);
    let records = world.log.records[&StreamName::Config].len() as u64;
    assert!(
        (4..=8).contains(&records),
        "{records} records, expected 3 documents and 1 to 5 snapshots"
    );
    world.log.earliest.insert(StreamName::Config, 3);
    world.cut_link("e0", "e2");
    world.cut_link("e1", "e2");
    world.start("e2");
    world.run_until(2_000, "read", |world| revision(world, "e2") == 2);
    assert!(!world.has_event(EventKind::RetentionPassed));
}

// Without a snapshot the entry must not serve with a part of the records, and must report that it
// can't start.
#[test]
fn entry_that_lacks_records_does_not_start_and_reports_it() {
    let mut world = World::new(2, 2, 0);
    world.log.earliest.insert(StreamName::Config, 2);
    world.cut_link("e0", "e2");
    world.cut_link("e1", "e2");
    world.start("e2");
    world.run_ms(2_000);
    assert_eq!(world.dump("e2")["caught_up"], false);
    assert!(world.has_event(EventKind::RetentionPassed));
}

// Call 1 of a program arrives under revision 1 and waits for call 0, which arrives under revision 2.
// Revision 2 drops the class of call 1, which must complete nevertheless.
#[test]
fn call_keeps_the_revision_under_which_it_arrived() {
    let mut world = World::new(2, 1, 0);
    let with_class =
        |class: &str, make: Box<dyn FnOnce(RequestId) -> clementinepick::call::Request>| {
            let class = class.parse().expect("valid name");
            move |id| clementinepick::call::Request {
                class: Some(class),
                ..make(id)
            }
        };
    let first = world.call(
        "e0",
        with_class(
            "c",
            Box::new(with_seq(1, chat("p", &["hi", "re: hi", "ho"]))),
        ),
    );
    world.run_ms(200);
    world.publish(10, 1, &ENGINE_DOCUMENT.replace("[class c]", "[class d]"));
    world.run_until(2_000, "in force", |world| {
        all_have_revision(world, &["e0", "e1", "g0"], 2)
    });
    let second = world.call(
        "e1",
        with_class("d", Box::new(with_seq(0, chat("p", &["hi"])))),
    );
    assert_eq!(world.wait(second).code(), "done");
    assert_eq!(world.wait(first).code(), "done");
    let refused = world.call(
        "e0",
        with_class("c", Box::new(with_seq(2, chat("p", &["hi"])))),
    );
    assert_eq!(world.wait(refused).code(), "unknown_class");
}

// A call uses a new class as soon as one entry has the new document. The owner of the program and
// the sidecar may lack it and would refuse the call unless the entry sends the document first.
#[test]
fn class_is_usable_once_one_entry_has_the_document() {
    for entry in ["e0", "e1", "e2", "e3"] {
        let mut world = World::new(4, 1, 0);
        world.publish(10, 1, &format!("{ENGINE_DOCUMENT}[class d]\nrank = 2\n"));
        world.run_until(2_000, "in force", |world| revision(world, entry) == 2);
        let id = world.call(entry, |id| clementinepick::call::Request {
            class: Some("d".parse().expect("valid name")),
            ..chat("p", &["hi"])(id)
        });
        assert_eq!(world.wait(id).code(), "done", "{entry}");
    }
}

// The owner of the program can't reach the log and lacks the document with the class of a call. The
// entry that forwards the call must send the document first, or the owner would refuse the call.
#[test]
fn document_is_sent_to_the_owner_before_the_call() {
    let mut world = World::new(2, 1, 0);
    world.log.isolated_vms = [vm("e1")].into();
    world.publish(10, 1, &format!("{ENGINE_DOCUMENT}[class d]\nrank = 2\n"));
    world.run_until(2_000, "in force", |world| revision(world, "e0") == 2);
    assert_eq!(revision(&world, "e1"), 1);
    let name = world.program_owned_by("e1", "p");
    let id = world.call("e0", |id| clementinepick::call::Request {
        class: Some("d".parse().expect("valid name")),
        ..chat(&name, &["hi"])(id)
    });
    world.run_ms(100);
    assert_eq!(revision(&world, "e1"), 2);
    world.log.isolated_vms.clear();
    assert_eq!(world.wait(id).code(), "done");
}

// Messages to one sidecar are lost, although its heartbeats still arrive. Calls that were sent to it
// must move to the other sidecar within seconds instead of failing at their deadlines.
#[test]
fn calls_move_away_from_a_sidecar_that_receives_nothing() {
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

fn document_with_placement(version: &str) -> String {
    format!(
        "{ENGINE_DOCUMENT}[model m]\nversion = {version}\n[placement]\nload_interval = 500 ms\n\
         max_loading = 2\nmin_serving = 50%\nretry_after = 1 s\n"
    )
}

fn engine_state(version: &str) -> EngineState {
    let model = "m".parse().expect("valid name");
    EngineState {
        models: BTreeMap::from([(model, version.parse().expect("valid name"))]),
        adapters: BTreeMap::new(),
        role: EngineRole::Mixed,
        fencing: None,
        busy: None,
    }
}

fn count_serving(world: &World, version: &str) -> usize {
    let expected = engine_state(version).models;
    let engines = world.backends.values().filter_map(|b| b.engine.as_ref());
    engines.filter(|state| state.models == expected).count()
}

fn count_loads(world: &World) -> usize {
    let orders = world.backends.values().flat_map(|b| &b.orders);
    orders
        .filter(|order| matches!(order, EngineOrder::LoadModel { .. }))
        .count()
}

fn find_decider(world: &World, entries: &[&str]) -> Option<String> {
    let is_decider = |name: &&&str| world.dump(name)["placements"]["llm"].is_object();
    entries
        .iter()
        .find(is_decider)
        .map(|name| (*name).to_owned())
}

// A new version is loaded on four engines under traffic. Each engine must finish its calls before it
// loads (the harness panics if an order arrives while calls are running).
#[test]
fn rollout_of_a_new_version_interrupts_no_call() {
    let mut world = World::new(2, 4, 0);
    for backend in world.backends.values_mut() {
        backend.delay_us = Some(400_000);
    }
    world.enable_engine_orders(&engine_state("v1"));
    world.publish(10, 1, &document_with_placement("v2"));
    let mut ids = Vec::new();
    for n in 0..300 {
        ids.push(world.call(["e0", "e1"][n % 2], chat(&format!("p{n}"), &["hi"])));
        world.run_ms(50);
    }
    world.run_until(20_000, "v2 on all engines", |world| {
        count_serving(world, "v2") == 4
    });
    for id in ids {
        assert_eq!(world.wait(id).code(), "done");
    }
    assert_eq!(count_loads(&world), 4);
}

// A document drops one of two models under traffic. Each engine must finish its calls before it
// unloads the model, and must not reload the other one.
#[test]
fn dropped_model_is_unloaded_between_calls() {
    let mut world = World::new(2, 2, 0);
    for backend in world.backends.values_mut() {
        backend.delay_us = Some(400_000);
    }
    let mut state = engine_state("v1");
    let old = "old".parse().expect("valid name");
    state.models.insert(old, "v1".parse().expect("valid name"));
    world.enable_engine_orders(&state);
    world.publish(10, 1, &document_with_placement("v1"));
    let mut ids = Vec::new();
    for n in 0..200 {
        ids.push(world.call(["e0", "e1"][n % 2], chat(&format!("p{n}"), &["hi"])));
        world.run_ms(50);
    }
    world.run_until(20_000, "unloaded", |world| count_serving(world, "v1") == 2);
    for id in ids {
        assert_eq!(world.wait(id).code(), "done");
    }
    assert_eq!(count_loads(&world), 0);
}

// The decider crashes during a rollout. The entry that takes over must resume from the state of the
// engines and order each remaining load once.
#[test]
fn next_decider_completes_the_rollout_of_a_crashed_one() {
    let mut world = World::new(2, 4, 0);
    world.enable_engine_orders(&engine_state("v1"));
    world.publish(10, 1, &document_with_placement("v2"));
    world.run_until(10_000, "first orders", |world| count_loads(world) >= 1);
    let first = find_decider(&world, &["e0", "e1"]).expect("active decider");
    world.kill(&first);
    world.run_until(20_000, "v2 on all engines", |world| {
        count_serving(world, "v2") == 4
    });
    world.run_ms(5_000);
    assert_eq!(count_loads(&world), 4);
}

// The decider is paused during a rollout, the other entry takes over, and the next document replaces
// the version. When the first decider resumes, the sidecars must refuse its orders by the newer
// fencing number, although the engines store none.
#[test]
fn orders_of_a_resumed_stale_decider_are_refused() {
    let mut world = World::new(2, 4, 0);
    world.enable_engine_orders(&engine_state("v1"));
    world.publish(10, 1, &document_with_placement("v2"));
    world.run_until(10_000, "first orders", |world| count_loads(world) >= 1);
    let first = find_decider(&world, &["e0", "e1"]).expect("active decider");
    world.pause(&first);
    world.run_ms(8_000);
    world.publish(11, 2, &document_with_placement("v3"));
    world.run_until(20_000, "v3 on all engines", |world| {
        count_serving(world, "v3") == 4
    });
    let before = count_loads(&world);
    world.resume(&first);
    world.run_ms(20_000);
    assert_eq!(
        (count_serving(&world, "v3"), count_loads(&world)),
        (4, before)
    );
    let second = find_decider(&world, &["e0", "e1"]);
    assert!(second.is_some_and(|second| second != first));
}

// Two entries lose their link for good, but both reach the log and all sidecars. Each takes the
// other for dead and claims the decider role over it. The backoff of these claims must leave time to
// complete the rollout.
#[test]
fn partitioned_entries_back_off_from_claiming_the_decider_role() {
    let mut world = World::new(2, 4, 0);
    world.enable_engine_orders(&engine_state("v1"));
    world.cut_link("e0", "e1");
    world.run_ms(4_000);
    world.publish(10, 1, &document_with_placement("v2"));
    world.run_ms(120_000);
    assert_eq!(count_serving(&world, "v2"), 4);
    let records = &world.log.records[&StreamName::Config];
    let claims = records
        .iter()
        .filter(|r| r.contains("DeciderClaim"))
        .count();
    assert!((2..=7).contains(&claims), "{claims} claims in two minutes");
}

// A restarted sidecar has lost the decider's fencing number, and the engine stores none. The decider
// addresses the new incarnation only after reading the log again, so that a deposed decider can't
// use the gap; the rollout must still complete.
#[test]
fn restarted_sidecar_accepts_orders_again() {
    let mut world = World::new(2, 2, 0);
    world.enable_engine_orders(&engine_state("v1"));
    world.publish(10, 1, &document_with_placement("v1"));
    world.run_ms(5_000);
    world.kill("g0");
    world.start("g0");
    world.publish(11, 2, &document_with_placement("v2"));
    world.run_until(20_000, "v2 on all engines", |world| {
        count_serving(world, "v2") == 2
    });
}

// While the log is unavailable a decider can't know whether it was deposed. It must send no orders
// until the log can be read again, and then complete the rollout.
#[test]
fn no_orders_are_sent_during_a_log_outage() {
    let mut world = World::new(2, 4, 0);
    world.enable_engine_orders(&engine_state("v1"));
    world.publish(10, 1, &document_with_placement("v2"));
    world.run_until(10_000, "first orders", |world| count_loads(world) >= 1);
    world.log.mode = common::LogMode::Down;
    world.run_ms(1_000);
    let before = count_loads(&world);
    world.run_ms(20_000);
    assert_eq!(count_loads(&world), before);
    world.log.mode = common::LogMode::Up;
    world.run_until(20_000, "v2 on all engines", |world| {
        count_serving(world, "v2") == 4
    });
}

// A document that is forwarded late must not replace a newer revision.
#[test]
fn late_document_does_not_revert_the_revision() {
    let mut world = World::new(2, 1, 0);
    world.publish(10, 1, &format!("{ENGINE_DOCUMENT}[class d]\nrank = 2\n"));
    world.run_until(2_000, "in force", |world| {
        all_have_revision(world, &["e0", "e1", "g0"], 2)
    });
    let old = clementinepick::record::PublishedDocument {
        service: "llm".parse().expect("valid name"),
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
    assert!(all_have_revision(&world, &["e0", "e1", "g0"], 2));
}
