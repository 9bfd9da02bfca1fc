//! Each safeguard is taken out in turn; without it the failure that it is there for comes about.

mod common;

use clementinepick::call::Request;
use clementinepick::event::EventKind;
use clementinepick::ids::RequestId;
use clementinepick::message::Message;
use clementinepick::platform::LoadReport;
use clementinepick::prompt::ChainHash;
use clementinepick::record::EndReason;
use clementinepick::safeguards::Safeguards;
use clementinepick::sidecar::SidecarInput;
use clementinepick::units::Tokens;
use common::{LogMode, World, chat, post, program, vm, with_idempotency_key, with_seq};

/// Runs a scenario with all safeguards and without one; it says whether the failure came about.
fn shows(safeguard: &str, entries: usize, engines: usize, plain: usize, fails: fn(World) -> bool) {
    let whole = World::new(entries, engines, plain);
    assert!(!fails(whole), "it fails with all safeguards");
    let without = World::without_safeguard(safeguard, entries, engines, plain);
    assert!(fails(without), "nothing fails without {safeguard}");
}

fn hold(name: &str) -> impl FnOnce(RequestId) -> Request {
    with_idempotency_key("order-1", post(name, "/hold", "seat 7"))
}

fn owned_by(world: &mut World, entry: &str) -> String {
    let name = world.program_owned_by(entry, "p");
    let id = world.call("e0", post(&name, "/check", "free?"));
    world.wait(id);
    assert_eq!(world.owner_of(&name).as_deref(), Some(entry));
    for n in ["b0", "b1"] {
        if let Some(backend) = world.backends.get_mut(&vm(n)) {
            backend.runs.clear();
        }
    }
    name
}

/// Kills the owner of a call that runs, and counts the runs when the caller has its answer.
fn runs_after_the_owners_death(mut world: World) -> usize {
    let name = owned_by(&mut world, "e1");
    for backend in world.backends.values_mut() {
        backend.delay_us = Some(5_000_000);
    }
    let id = world.call("e0", hold(&name));
    world.run_until(1_000, "the run", |w| !w.runs().is_empty());
    world.kill("e1");
    world.wait(id);
    world.run_ms(1_000);
    world.runs().len()
}

#[test]
fn without_the_record_of_its_start_a_call_runs_twice() {
    shows("call_started_record", 3, 1, 1, |world| {
        runs_after_the_owners_death(world) != 1
    });
}

#[test]
fn without_the_fence_a_call_runs_twice() {
    shows("fence", 3, 1, 2, |world| {
        runs_after_the_owners_death(world) != 1
    });
}

// The owner can't reach the log nor the other entries, and does not know that it was replaced;
// only the sidecar's check keeps it from running calls of the program beside the new owner.
#[test]
fn without_the_epoch_check_a_deposed_owner_runs_calls() {
    shows("epoch_check", 3, 1, 1, |mut world| {
        let name = owned_by(&mut world, "e1");
        world.log.isolated_vms.insert(vm("e1"));
        for other in ["e0", "e2"] {
            world.cut_link("e1", other);
        }
        world.run_until(10_000, "a take-over", |w| {
            ["e0", "e2"].iter().any(|e| {
                let owned = w.dump(e)["owned_partitions"].clone();
                let partition = program(&name).partition(8).0;
                owned
                    .as_array()
                    .is_some_and(|o| o.iter().any(|p| *p == partition))
            })
        });
        world.run_ms(100);
        world.call("e1", post(&name, "/check", "stale?"));
        world.run_ms(1_000);
        world.runs().iter().any(|run| run == "/check stale?")
    });
}

#[test]
fn without_the_answer_on_record_a_repeat_runs_again() {
    shows("dedup", 2, 1, 1, |mut world| {
        let name = owned_by(&mut world, "e1");
        for entry in ["e0", "e1"] {
            let id = world.call(entry, hold(&name));
            world.wait(id);
        }
        world.runs().len() != 1
    });
}

// Two entries that can't see each other claim the partition of a dead third at the same time.
#[test]
fn without_compare_and_swap_two_claims_are_both_in_force() {
    shows("claim_cas", 3, 1, 1, |mut world| {
        let name = owned_by(&mut world, "e1");
        world.cut_link("e0", "e2");
        world.kill("e1");
        let from_us = world.now_us;
        world.run_ms(2_000);
        let owned = world
            .events
            .iter()
            .filter(|(at_us, _, kind)| *at_us > from_us && *kind == EventKind::PartitionOwned);
        let partitions = 1;
        assert!(world.owner_of(&name).is_some());
        owned.count() > partitions
    });
}

#[test]
fn without_reading_back_a_call_runs_unrecorded() {
    shows("read_back", 2, 1, 1, |mut world| {
        let name = owned_by(&mut world, "e1");
        world.log.mode = LogMode::Down;
        let id = world.call("e0", hold(&name));
        world.run_ms(500);
        world.kill("e1");
        world.log.mode = LogMode::Up;
        world.wait(id);
        let repeat = world.call("e0", hold(&name));
        world.wait(repeat);
        world.runs().len() != 1
    });
}

#[test]
fn without_lapsing_leases_memory_stays_held_for_lost_owners() {
    shows("lease_lapse", 1, 1, 1, |mut world| {
        let id = world.call("e0", chat("p", &["hi"]));
        world.wait(id);
        assert!(world.backend("g0").cached.contains(&program("p")));
        world.kill("e0");
        world.run_ms(60_000);
        !world.backend("g0").cached.is_empty()
    });
}

#[test]
fn without_care_for_what_may_not_repeat_a_failed_call_runs_again() {
    shows("retry_only_idempotent", 2, 1, 2, |mut world| {
        let name = owned_by(&mut world, "e1");
        world.backend("b0").failures = 1;
        world.backend("b1").failures = 1;
        let id = world.call("e0", hold(&name));
        world.wait(id);
        world.runs().len() != 1
    });
}

#[test]
fn without_the_check_of_transcripts_two_conversations_mix() {
    shows("digest_check", 2, 1, 1, |mut world| {
        let first = world.call("e0", chat("p", &["our secret"]));
        world.wait(first);
        let second = world.call("e0", chat("p", &["another", "talk", "goes on"]));
        world.wait(second).code() == "done"
    });
}

// The log is down and the owner spends on; it dies, and what it spent is nowhere on record.
#[test]
fn without_slices_on_record_a_program_overspends() {
    shows("slice_on_record", 2, 1, 1, |mut world| {
        let name = owned_by(&mut world, "e1");
        let mut answered = 0;
        let mut spend = |world: &mut World, entry: &str| {
            for n in 0..200 {
                let check = post(&name, "/check", &format!("{entry} {n}"));
                let id = world.call(entry, common::with_deadline_ms(200, check));
                if world.wait(id).code() == "done" {
                    answered += 1;
                } else {
                    break;
                }
            }
            answered
        };
        world.log.mode = LogMode::Down;
        spend(&mut world, "e1");
        world.kill("e1");
        world.log.mode = LogMode::Up;
        world.run_ms(5_000);
        spend(&mut world, "e0") + 1 > PLAIN_CALLS
    });
}

/// The calls that a program of the plain service may spend.
const PLAIN_CALLS: u32 = 50;

// A lagging entry sends a sidecar a document that is no longer in force.
#[test]
fn without_rising_revisions_an_old_document_comes_back() {
    shows("revision_monotonic", 1, 1, 1, |mut world| {
        let published = |revision, text: &str| clementinepick::record::PublishedDocument {
            service: "book".parse().expect("a name"),
            revision: clementinepick::ids::Revision(revision),
            operation: clementinepick::ids::OperationId(9),
            author: vm("operator"),
            text: text.to_owned(),
        };
        for revision in [3, 2] {
            let message = Message::Documents(vec![published(revision, common::PLAIN_DOCUMENT)]);
            let from = vm("e0");
            world.send_sidecar_input("b0", SidecarInput::Link { from, message });
        }
        world.run_ms(5);
        world.dump("b0")["revisions"]["book"] != 3
    });
}

#[test]
fn without_repeated_releases_memory_stays_held() {
    shows("release_repeat", 1, 1, 1, |mut world| {
        let id = world.call("e0", chat("p", &["hi"]));
        world.wait(id);
        world.should_drop = |message| matches!(message, Message::Release { .. });
        world.end_program("e0", "p", EndReason::Caller);
        world.run_ms(500);
        world.should_drop = |_| false;
        world.run_ms(10_000);
        !world.backend("g0").cached.is_empty()
    });
}

// A turn ends at its engine just as it is cancelled: its answer lies in the cache under a chain that
// the sidecar was never told, and an order to free what it knows does not reach it. Only a list of
// all that is to be kept does.
#[test]
fn without_lists_of_what_to_keep_an_untold_prefix_stays() {
    shows("retain", 1, 1, 1, |mut world| {
        let load = LoadReport {
            cache_size_tokens: Tokens(1_000),
            ..LoadReport::default()
        };
        world.send_sidecar_input("g0", SidecarInput::Load(load));
        world.backend("g0").unreported.insert(ChainHash(7));
        world.run_ms(40_000);
        !world.backend("g0").unreported.is_empty()
    });
}

#[test]
fn without_the_order_a_later_call_overtakes() {
    shows("order", 2, 1, 1, |mut world| {
        let name = owned_by(&mut world, "e1");
        world.backend("b0").delay_us = Some(500_000);
        let first = world.call("e0", with_seq(1, post(&name, "/hold", "first")));
        world.run_until(5_000, "the first run", |w| !w.runs().is_empty());
        let second = world.call("e1", with_seq(2, post(&name, "/hold", "second")));
        world.run_ms(400);
        let overtaken = world.runs().len() > 1 && !world.is_answered(first);
        world.wait(second);
        overtaken
    });
}

#[test]
fn without_cutting_off_an_engine_spends_more_than_was_reserved() {
    shows("output_cut", 1, 1, 1, |mut world| {
        world.backend("g0").tokens = Some(500);
        let id = world.call("e0", chat("p", &["hi"]));
        let done = world.wait(id).done.expect("answered");
        done.usage.output_tokens.0 > 100
    });
}

// Every switch has its scenario above.
#[test]
fn each_safeguard_has_its_scenario() {
    let source = include_str!("safeguards.rs");
    for name in Safeguards::NAMES {
        let shown = source.contains(&format!("shows(\"{name}\""));
        assert!(shown, "{name}");
    }
}
