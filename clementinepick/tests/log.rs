//! Tests long log outages, the deletion of old records, and readers that start at any offset.

mod common;

use clementinepick::call::TurnState;
use clementinepick::entry::EntrySettings;
use clementinepick::event::EventKind;
use clementinepick::ids::{Offset, PartitionId};
use clementinepick::partition_replay::Partitions;
use clementinepick::platform::StreamName;
use clementinepick::record::{PartitionRecord, RecordBody};
use clementinepick::safeguards::Safeguards;
use clementinepick::units::SpanUs;
use common::{LogMode, World, chat, post, vm, with_deadline_ms, with_idempotency_key};

const TEN_MINUTES_MS: u64 = 600_000;

// During a ten-minute log outage with an owner crash, turns are answered as pending and
// non-idempotent calls are refused as not run. Afterwards each turn must be recorded once and the
// repeated call must run once.
#[test]
fn log_outage_with_a_crash_loses_and_repeats_nothing() {
    let mut world = World::new(3, 1, 1);
    let names: Vec<String> = (0..6).map(|n| format!("p{n}")).collect();
    for name in &names {
        let id = world.call("e0", chat(name, &["a"]));
        assert_eq!(world.wait(id).code(), "done");
    }
    world.log.mode = LogMode::Down;
    let turns: Vec<_> = names
        .iter()
        .map(|name| world.call("e0", chat(name, &["a", "re: a", "b"])))
        .collect();
    for id in turns {
        let done = world.wait(id).done.expect("answered");
        assert_eq!(done.turn, TurnState::Pending);
    }
    let hold = |name: &str| with_idempotency_key("k", post(name, "/hold", "x"));
    let id = world.call("e0", with_deadline_ms(5_000, hold("h")));
    let answer = world.wait(id);
    assert!(["log_unavailable", "owner_unknown"].contains(&answer.code()));
    world.run_ms(TEN_MINUTES_MS / 2);
    let dead = if world.owner_of("p0").as_deref() == Some("e0") {
        "e1".to_owned()
    } else {
        world.owner_of("p0").expect("an owner")
    };
    world.kill(&dead);
    world.run_ms(TEN_MINUTES_MS / 2);
    world.log.mode = LogMode::Up;
    world.run_ms(5_000);
    let turns = world.count_records(|e| matches!(e, PartitionRecord::TurnAdded { .. }));
    assert_eq!(turns, 12, "each turn must be recorded once");
    for name in &names {
        let id = world.call("e0", chat(name, &["a", "re: a", "b", "re: b", "c"]));
        assert_eq!(world.wait(id).code(), "done", "{name}");
    }
    let other = if dead == "e2" { "e1" } else { "e2" };
    let id = world.call(other, hold("h"));
    assert_eq!(world.wait(id).code(), "done");
    let holds = world.runs().iter().filter(|r| *r == "/hold x").count();
    assert_eq!(holds, 1);
}

fn with_frequent_snapshots(settings: &mut EntrySettings) {
    settings.partition_count = 4;
    settings.startup_claim_delay_us = SpanUs::from_s(1);
    settings.snapshot_us = SpanUs::from_s(5);
}

fn snapshots(world: &World) -> Vec<(PartitionId, u64)> {
    let records = world.records();
    let snapshots = records.iter().filter_map(|record| match &record.body {
        RecordBody::Owned {
            partition,
            entry: PartitionRecord::Snapshot { up_to, .. },
            ..
        } => Some((*partition, up_to.0)),
        _ => None,
    });
    snapshots.collect()
}

/// Deletes the records that are covered by a snapshot of every partition.
fn delete_old_records(world: &mut World) -> u64 {
    let snapshots = snapshots(world);
    let newest = |partition| {
        let of_it = snapshots
            .iter()
            .filter(|(p, _)| *p == PartitionId(partition));
        of_it.map(|(_, up_to)| *up_to).max()
    };
    let earliest = (0..4).filter_map(newest).min().expect("snapshots");
    world.log.earliest.insert(StreamName::Journal, earliest);
    earliest
}

// An entry that starts after old records were deleted must answer repeats and continue histories
// from the snapshots.
#[test]
fn entry_started_after_retention_serves_from_snapshots() {
    let mut world = World::with_settings(2, 1, 1, Safeguards::default(), with_frequent_snapshots);
    let hold = || with_idempotency_key("k", post("p", "/hold", "x"));
    let id = world.call("e0", hold());
    world.wait(id);
    let id = world.call("e0", chat("q", &["a"]));
    world.wait(id);
    world.run_ms(40_000);
    let earliest = delete_old_records(&mut world);
    assert!(earliest > 4, "no record was deleted");
    world.kill("e0");
    world.kill("e1");
    world.start("e2");
    world.run_ms(5_000);
    assert!(world.has_event(EventKind::RetentionPassed));
    let id = world.call("e2", hold());
    assert_eq!(world.wait(id).code(), "done");
    let id = world.call("e2", chat("q", &["a", "re: a", "b"]));
    assert_eq!(world.wait(id).code(), "done");
    assert_eq!(world.runs(), ["/hold x", "a", "b"]);
}

// Deleted records that no snapshot covers leave a gap. The entry must report it and refuse calls as
// `not_ready` until the owners' next snapshots, rather than answer from incomplete state.
#[test]
fn entry_with_missing_records_does_not_serve() {
    let mut world = World::with_settings(1, 1, 1, Safeguards::default(), with_frequent_snapshots);
    let id = world.call("e0", chat("q", &["a"]));
    world.wait(id);
    world.run_ms(1_500);
    let end = world.records().len() as u64;
    world.log.earliest.insert(StreamName::Journal, end);
    world.start("e1");
    world.run_ms(500);
    assert!(world.has_event(EventKind::RetentionPassed));
    assert_eq!(world.dump("e1")["caught_up"], false);
    let id = world.call("e1", chat("q", &["a", "re: a", "b"]));
    assert_eq!(world.wait(id).code(), "not_ready");
    world.run_ms(40_000);
    assert_eq!(world.dump("e1")["caught_up"], true);
    let id = world.call("e1", chat("q", &["a", "re: a", "b"]));
    assert_eq!(world.wait(id).code(), "done");
}

// A reader that starts at any record must have the state of a reader of the complete log, for every
// partition that is complete.
#[test]
fn state_does_not_depend_on_the_start_offset() {
    let mut world = World::with_settings(2, 1, 1, Safeguards::default(), with_frequent_snapshots);
    for n in 0..8 {
        let id = world.call("e0", chat(&format!("p{n}"), &["a"]));
        world.wait(id);
        let id = world.call("e1", post(&format!("p{n}"), "/hold", "x"));
        world.wait(id);
        world.run_ms(3_000);
    }
    world.kill("e1");
    world.run_ms(10_000);
    let records = world.records();
    let replay = |start: usize| {
        let mut partitions = Partitions::starting_at(Offset(start as u64), Safeguards::default());
        for (at, record) in records.iter().enumerate().skip(start) {
            partitions.apply(Offset(at as u64), record);
        }
        partitions
    };
    let complete = replay(0);
    let mut compared = 0;
    for start in (1..records.len()).step_by(3) {
        let late = replay(start);
        for partition in (0..4).map(PartitionId) {
            if late.is_complete(partition) {
                assert_eq!(late.get(partition), complete.get(partition), "from {start}");
                compared += 1;
            }
        }
    }
    assert!(compared > 20, "{compared} states were compared");
    let twice = {
        let mut partitions = Partitions::default();
        for (at, record) in records.iter().enumerate() {
            partitions.apply(Offset(at as u64), record);
            // A record may be in the log twice if the response to its append was lost.
            if !matches!(record.body, RecordBody::Claim { .. }) {
                partitions.apply(Offset(at as u64), record);
            }
        }
        partitions
    };
    for partition in (0..4).map(PartitionId) {
        assert_eq!(twice.get(partition), complete.get(partition));
    }
}

// Ended programs must be removed after a while, or memory would grow without bound.
#[test]
fn ended_programs_are_removed() {
    let tune = |settings: &mut EntrySettings| settings.ended_retention_us = SpanUs::from_s(5);
    let mut world = World::with_settings(1, 1, 1, Safeguards::default(), tune);
    for n in 0..10 {
        let name = format!("p{n}");
        let id = world.call("e0", chat(&name, &["a"]));
        world.wait(id);
        world.end_program("e0", &name, clementinepick::record::EndReason::Caller);
    }
    world.run_ms(10_000);
    let forgotten: usize = world
        .records()
        .iter()
        .map(|record| match &record.body {
            RecordBody::Owned {
                entry: PartitionRecord::ProgramsForgotten { programs },
                ..
            } => programs.len(),
            _ => 0,
        })
        .sum();
    assert_eq!(forgotten, 10);
    assert!(world.is_alive(vm("e0").as_str()));
}
