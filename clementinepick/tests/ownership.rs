//! Tests the ownership of partitions: claims, takeovers and hand-overs.

mod common;

use clementinepick::entry::EntryInput;
use clementinepick::event::EventKind;
use clementinepick::message::Message;
use clementinepick::record::{PartitionRecord, RecordBody};
use common::{LogMode, World, chat, post, program, vm, with_seq};

fn count_claims(world: &World) -> usize {
    let records = world.records();
    let claims = records
        .iter()
        .filter(|r| matches!(r.body, RecordBody::Claim { .. }));
    claims.count()
}

fn program_owned_by(world: &mut World, entry: &str) -> String {
    let name = world.program_owned_by(entry, "p");
    let id = world.call("e0", chat(&name, &["hi"]));
    assert_eq!(world.wait(id).code(), "done");
    assert_eq!(world.owner_of(&name).as_deref(), Some(entry));
    name
}

#[test]
fn a_call_is_answered_at_every_entry() {
    let mut world = World::new(3, 2, 1);
    let ids = ["e0", "e1", "e2"].map(|e| world.call(e, chat(&format!("p-{e}"), &["hi"])));
    for id in ids {
        let answer = world.wait(id);
        assert_eq!((answer.code(), answer.text.as_str()), ("done", "re: hi"));
    }
    let id = world.call("e1", post("q", "/hold", "seat 7"));
    let answer = world.wait(id);
    assert_eq!(answer.plain.expect("a body").body, b"/hold run 1");
}

// Two entries without a link claim the same partition at once. Only the first claim in the log may
// take effect, and the call of the other entry must wait until it can reach the owner.
#[test]
fn the_first_of_two_simultaneous_claims_holds() {
    let mut world = World::new(2, 1, 1);
    world.cut_link("e0", "e1");
    world.run_ms(50);
    let first = world.call("e0", with_seq(0, post("p", "/hold", "one")));
    let second = world.call("e1", with_seq(1, post("p", "/hold", "two")));
    world.run_ms(500);
    assert_eq!(count_claims(&world), 2);
    world.restore_link("e0", "e1");
    assert_eq!(world.wait(first).code(), "done");
    assert_eq!(world.wait(second).code(), "done");
    assert_eq!(world.runs(), ["/hold one", "/hold two"]);
}

// The owner is suspended while its call runs, and another entry takes over. When it resumes, its
// records are stale, and it must not answer from its outdated state.
#[test]
fn an_owner_paused_over_a_take_over_answers_nothing_from_outdated_state() {
    let mut world = World::new(3, 1, 1);
    let name = program_owned_by(&mut world, "e1");
    world.backend("g0").delay_us = Some(3_000_000);
    let id = world.call("e0", chat(&name, &["hi", "re: hi", "more"]));
    world.run_ms(100);
    world.pause("e1");
    let answer = world.wait(id);
    assert_eq!((answer.code(), answer.text.as_str()), ("done", "re: more"));
    world.resume("e1");
    let late = world.call(
        "e1",
        chat(&name, &["hi", "re: hi", "more", "re: more", "last"]),
    );
    let answer = world.wait(late);
    assert_eq!((answer.code(), answer.text.as_str()), ("done", "re: last"));
    let turns = world.count_records(|e| matches!(e, PartitionRecord::TurnAdded { .. }));
    assert_eq!(turns, 3);
    assert_eq!(world.runs(), ["hi", "more", "last"]);
}

// The owner dies in the middle of a stream. The next owner must attach to the run at its sidecar,
// and the caller must get the rest of the stream without missing or repeated text.
#[test]
fn a_stream_goes_on_over_its_owners_death() {
    let mut world = World::new(3, 2, 1);
    let name = program_owned_by(&mut world, "e1");
    for backend in world.backends.values_mut() {
        backend.delay_us = Some(8_000_000);
    }
    let id = world.call("e0", chat(&name, &["hi", "re: hi", "a long story"]));
    world.run_ms(4_500);
    let before = world.answer(id).text;
    assert!(!before.is_empty(), "the stream has begun");
    world.kill("e1");
    let answer = world.wait(id);
    assert_eq!(
        (answer.code(), answer.text.as_str()),
        ("done", "re: a long story")
    );
    assert_eq!(world.runs(), ["hi", "a long story"]);
}

// An owner dies while there are no calls. Its successor must claim the partition without waiting
// for a call, and no other entry may claim it, so that the next call finds an owner at once.
#[test]
fn partitions_of_a_dead_owner_are_claimed_without_a_call() {
    let mut world = World::new(3, 1, 1);
    let name = program_owned_by(&mut world, "e1");
    let before = count_claims(&world);
    world.kill("e1");
    world.run_ms(3_000);
    let owner = world.owner_of(&name).expect("an owner");
    assert_ne!(owner, "e1");
    assert_eq!(count_claims(&world), before + 1);
    let id = world.call("e0", chat(&name, &["hi", "re: hi", "again"]));
    let asked_us = world.now_us;
    let answer = world.wait(id);
    assert_eq!(answer.code(), "done");
    assert!(answer.at_us - asked_us < 300_000);
}

// A link between entries is lost and comes back within the timeout. No partition may change its
// owner.
#[test]
fn a_flapping_link_moves_no_partition() {
    let mut world = World::new(3, 1, 1);
    let name = program_owned_by(&mut world, "e1");
    let before = count_claims(&world);
    for _ in 0..5 {
        world.cut_link("e0", "e1");
        world.cut_link("e2", "e1");
        world.run_ms(400);
        world.restore_link("e0", "e1");
        world.restore_link("e2", "e1");
        world.run_ms(600);
    }
    assert_eq!(count_claims(&world), before);
    assert_eq!(world.owner_of(&name).as_deref(), Some("e1"));
}

// Two entries reach the log but not each other, and each considers the other dead. Without a
// backoff they would claim in turn without end.
#[test]
fn two_entries_that_cannot_see_each_other_limit_their_claims() {
    let mut world = World::new(2, 1, 1);
    let name = program_owned_by(&mut world, "e1");
    let before = count_claims(&world);
    world.cut_link("e0", "e1");
    world.run_ms(60_000);
    let changes = count_claims(&world) - before;
    assert!((1..=12).contains(&changes), "{changes} claims in a minute");
    assert!(world.owner_of(&name).is_some());
}

// An entry shuts down while a call runs. The call must complete before the partition is handed
// over, and the successor must answer a call that arrived in the meantime.
#[test]
fn shutdown_hands_partitions_over_without_failing_calls() {
    let mut world = World::new(3, 1, 1);
    let name = program_owned_by(&mut world, "e1");
    world.backend("g0").delay_us = Some(1_000_000);
    let running = world.call("e1", chat(&name, &["hi", "re: hi", "more"]));
    world.run_ms(100);
    world.send_input("e1", EntryInput::Shutdown);
    world.run_ms(100);
    let other = world.program_owned_by("e1", "q");
    let queued = world.call("e0", chat(&other, &["new"]));
    assert_eq!(world.wait(running).code(), "done");
    assert_eq!(world.wait(queued).code(), "done");
    world.run_until(5_000, "its end", |w| !w.is_alive("e1"));
    assert!(world.count_records(|e| *e == PartitionRecord::Yielded) >= 1);
    let next = world.call(
        "e2",
        chat(&name, &["hi", "re: hi", "more", "re: more", "on"]),
    );
    let asked_us = world.now_us;
    let answer = world.wait(next);
    assert_eq!(answer.code(), "done");
    assert!(answer.at_us - asked_us < 1_500_000, "waited for a timeout");
}

// Both the owner and the log are lost, so no entry can claim. A call that was forwarded to the
// owner may have run and must end as `outcome_unknown`; a later one must be refused as not run.
#[test]
fn without_owner_and_log_a_call_is_refused_at_its_deadline() {
    let mut world = World::new(3, 1, 1);
    let name = program_owned_by(&mut world, "e1");
    world.log.mode = LogMode::Down;
    world.kill("e1");
    let forwarded = world.call(
        "e0",
        common::with_deadline_ms(3_000, post(&name, "/hold", "w")),
    );
    world.run_ms(10);
    let late = world.call(
        "e0",
        common::with_deadline_ms(3_000, post(&name, "/hold", "x")),
    );
    assert_eq!(world.wait(forwarded).code(), "outcome_unknown");
    assert_eq!(world.wait(late).code(), "owner_unknown");
    world.log.mode = LogMode::Up;
    world.run_ms(5_000);
    assert!(!world.runs().contains(&"/hold x".to_owned()));
}

// The fence message of a new owner is lost. It must be sent again, or the call would never be
// resolved.
#[test]
fn a_lost_fence_is_sent_again() {
    let mut world = World::new(3, 1, 1);
    let name = program_owned_by(&mut world, "e1");
    world.backend("b0").delay_us = Some(9_000_000);
    let id = world.call("e0", post(&name, "/hold", "x"));
    world.run_until(2_000, "the run", |w| w.runs().len() == 2);
    world.should_drop = |message| matches!(message, Message::Fence { .. });
    world.kill("e1");
    world.run_ms(4_000);
    assert!(world.has_event(EventKind::FenceStarted));
    world.should_drop = |_| false;
    let answer = world.wait(id);
    assert_eq!(answer.code(), "done", "{:?}", answer.failed);
    assert_eq!(world.runs(), ["/hold x", "hi"]);
}

// Idle partitions must be handed over to an entry that joins, without failing calls.
#[test]
fn an_entry_that_joins_gets_its_partitions() {
    let mut world = World::new(2, 1, 1);
    let names: Vec<String> = (0..12).map(|n| format!("p{n}")).collect();
    for name in &names {
        let id = world.call("e0", chat(name, &["hi"]));
        world.wait(id);
    }
    world.start("e2");
    world.run_ms(60_000);
    let owned = world.dump("e2")["owned_partitions"]
        .as_array()
        .map_or(0, Vec::len);
    assert!(owned > 0, "the new entry owns nothing");
    for name in &names {
        let id = world.call("e0", chat(name, &["hi", "re: hi", "on"]));
        assert_eq!(world.wait(id).code(), "done");
    }
    let partition = program(&names[0]).partition(8);
    assert!(partition.0 < 8 && world.is_alive(vm("e2").as_str()));
}

// A sidecar is suspended with a call that it has not started, and the owner sends the call
// elsewhere and continues with later ones. When it resumes, the sidecar must not start the call out
// of order.
#[test]
fn a_suspended_sidecar_does_not_start_a_call_that_was_sent_elsewhere() {
    let mut world = World::new(2, 2, 1);
    let first = world.call("e0", chat("p", &["a"]));
    world.wait(first);
    let used = if world.backend("g0").runs.is_empty() {
        "g1"
    } else {
        "g0"
    };
    world.pause(used);
    let second = world.call("e0", chat("p", &["a", "re: a", "b"]));
    assert_eq!(world.wait(second).code(), "done");
    let third = world.call("e0", chat("p", &["a", "re: a", "b", "re: b", "c"]));
    assert_eq!(world.wait(third).code(), "done");
    world.resume(used);
    world.run_ms(3_000);
    let mut runs = world.runs();
    runs.sort();
    assert_eq!(runs, ["a", "b", "c"]);
}
