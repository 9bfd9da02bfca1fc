//! Tests that each safeguard is needed: with it disabled, the failure that it prevents occurs.

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

/// Asserts that a scenario fails without the safeguard and doesn't fail with all safeguards.
///
/// `fails` runs the scenario and returns whether the failure occurred.
fn assert_fails_without(
    safeguard: &str,
    entries: usize,
    engines: usize,
    plain: usize,
    fails: fn(World) -> bool,
) {
    let with_all = World::new(entries, engines, plain);
    assert!(
        !fails(with_all),
        "the failure occurs with all safeguards enabled"
    );
    let without = World::without_safeguard(safeguard, entries, engines, plain);
    assert!(
        fails(without),
        "no failure occurs without the safeguard {safeguard}"
    );
}

fn hold_seat(name: &str) -> impl FnOnce(RequestId) -> Request {
    with_idempotency_key("order-1", post(name, "/hold", "seat 7"))
}

/// Returns a program that `entry` owns, with the runs of the plain service cleared.
fn program_of_owner(world: &mut World, entry: &str) -> String {
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

/// Kills the owner of a running call, and returns how often the call has run once it is answered.
fn count_runs_after_owner_crash(mut world: World) -> usize {
    let name = program_of_owner(&mut world, "e1");
    for backend in world.backends.values_mut() {
        backend.delay_us = Some(5_000_000);
    }
    let id = world.call("e0", hold_seat(&name));
    world.run_until(1_000, "the call started", |w| !w.runs().is_empty());
    world.kill("e1");
    world.wait(id);
    world.run_ms(1_000);
    world.runs().len()
}

#[test]
fn without_start_record_a_call_runs_twice() {
    assert_fails_without("call_started_record", 3, 1, 1, |world| {
        count_runs_after_owner_crash(world) != 1
    });
}

#[test]
fn without_fence_a_call_runs_twice() {
    assert_fails_without("fence", 3, 1, 2, |world| {
        count_runs_after_owner_crash(world) != 1
    });
}

// A deposed owner that reaches neither the log nor the other entries doesn't know that it was
// replaced. Only the sidecar's check of the epoch keeps it from running calls beside the new owner.
#[test]
fn without_epoch_check_a_deposed_owner_runs_calls() {
    assert_fails_without("epoch_check", 3, 1, 1, |mut world| {
        let name = program_of_owner(&mut world, "e1");
        world.log.isolated_vms.insert(vm("e1"));
        for other in ["e0", "e2"] {
            world.cut_link("e1", other);
        }
        world.run_until(10_000, "the takeover", |w| {
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
fn without_dedup_a_duplicate_runs_again() {
    assert_fails_without("dedup", 2, 1, 1, |mut world| {
        let name = program_of_owner(&mut world, "e1");
        for entry in ["e0", "e1"] {
            let id = world.call(entry, hold_seat(&name));
            world.wait(id);
        }
        world.runs().len() != 1
    });
}

// Two entries without a link between them claim the partition of a crashed third one at the same
// time; only one claim may take effect.
#[test]
fn without_compare_and_swap_two_claims_take_effect() {
    assert_fails_without("claim_cas", 3, 1, 1, |mut world| {
        let name = program_of_owner(&mut world, "e1");
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
fn without_read_back_an_unrecorded_call_runs() {
    assert_fails_without("read_back", 2, 1, 1, |mut world| {
        let name = program_of_owner(&mut world, "e1");
        world.log.mode = LogMode::Down;
        let id = world.call("e0", hold_seat(&name));
        world.run_ms(500);
        world.kill("e1");
        world.log.mode = LogMode::Up;
        world.wait(id);
        let duplicate = world.call("e0", hold_seat(&name));
        world.wait(duplicate);
        world.runs().len() != 1
    });
}

#[test]
fn without_lease_expiry_memory_of_lost_owners_is_never_released() {
    assert_fails_without("lease_lapse", 1, 1, 1, |mut world| {
        let id = world.call("e0", chat("p", &["hi"]));
        world.wait(id);
        assert!(world.backend("g0").cached.contains(&program("p")));
        world.kill("e0");
        world.run_ms(60_000);
        !world.backend("g0").cached.is_empty()
    });
}

#[test]
fn without_idempotency_check_a_failed_call_is_retried() {
    assert_fails_without("retry_only_idempotent", 2, 1, 2, |mut world| {
        let name = program_of_owner(&mut world, "e1");
        world.backend("b0").failures = 1;
        world.backend("b1").failures = 1;
        let id = world.call("e0", hold_seat(&name));
        world.wait(id);
        world.runs().len() != 1
    });
}

#[test]
fn without_digest_check_two_conversations_mix() {
    assert_fails_without("digest_check", 2, 1, 1, |mut world| {
        let first = world.call("e0", chat("p", &["our secret"]));
        world.wait(first);
        let second = world.call("e0", chat("p", &["another", "talk", "goes on"]));
        world.wait(second).code() == "done"
    });
}

// An owner that uses budget during a log outage and then crashes leaves no record of what it used;
// only recorded slices may be used.
#[test]
fn without_recorded_slices_a_program_exceeds_its_budget() {
    assert_fails_without("slice_on_record", 2, 1, 1, |mut world| {
        let name = program_of_owner(&mut world, "e1");
        let mut answered = 0;
        let mut count_answered = |world: &mut World, entry: &str| {
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
        count_answered(&mut world, "e1");
        world.kill("e1");
        world.log.mode = LogMode::Up;
        world.run_ms(5_000);
        count_answered(&mut world, "e0") + 1 > PLAIN_BUDGET_CALLS
    });
}

/// The call budget of a program of the plain service.
const PLAIN_BUDGET_CALLS: u32 = 50;

// A lagging entry sends a sidecar a document that is no longer active.
#[test]
fn without_monotonic_revisions_an_old_document_takes_effect() {
    assert_fails_without("revision_monotonic", 1, 1, 1, |mut world| {
        let document = |revision, text: &str| clementinepick::record::PublishedDocument {
            service: "book".parse().expect("valid name"),
            revision: clementinepick::ids::Revision(revision),
            operation: clementinepick::ids::OperationId(9),
            author: vm("operator"),
            text: text.to_owned(),
        };
        for revision in [3, 2] {
            let message = Message::Documents(vec![document(revision, common::PLAIN_DOCUMENT)]);
            let from = vm("e0");
            world.send_sidecar_input("b0", SidecarInput::Link { from, message });
        }
        world.run_ms(5);
        world.dump("b0")["revisions"]["book"] != 3
    });
}

#[test]
fn without_repeated_releases_memory_is_never_released() {
    assert_fails_without("release_repeat", 1, 1, 1, |mut world| {
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

// A turn that completes while it is cancelled leaves a prefix in the engine's cache that was never
// reported to the sidecar. Releases name only known prefixes; listing all prefixes to retain also
// evicts the unknown ones.
#[test]
fn without_retain_lists_an_unreported_prefix_stays_cached() {
    assert_fails_without("retain", 1, 1, 1, |mut world| {
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
fn without_sequencing_a_later_call_overtakes() {
    assert_fails_without("order", 2, 1, 1, |mut world| {
        let name = program_of_owner(&mut world, "e1");
        world.backend("b0").delay_us = Some(500_000);
        let first = world.call("e0", with_seq(1, post(&name, "/hold", "first")));
        world.run_until(5_000, "the first call started", |w| !w.runs().is_empty());
        let second = world.call("e1", with_seq(2, post(&name, "/hold", "second")));
        world.run_ms(400);
        let is_overtaken = world.runs().len() > 1 && !world.is_answered(first);
        world.wait(second);
        is_overtaken
    });
}

#[test]
fn without_output_limit_an_engine_generates_more_than_reserved() {
    assert_fails_without("output_cut", 1, 1, 1, |mut world| {
        world.backend("g0").tokens = Some(500);
        let id = world.call("e0", chat("p", &["hi"]));
        let done = world.wait(id).done.expect("call completed");
        done.usage.output_tokens.0 > 100
    });
}

// Guards against a safeguard that is added without a scenario in this file.
#[test]
fn each_safeguard_has_a_scenario() {
    let source = include_str!("safeguards.rs");
    for name in Safeguards::NAMES {
        let is_tested = source.contains(&format!("assert_fails_without(\"{name}\""));
        assert!(is_tested, "{name}");
    }
}
