//! Tests programs: the order of calls, budgets, sub-agents, the loop guard, and the release of
//! memory at the end.

mod common;

use clementinepick::call::Request;
use clementinepick::event::EventKind;
use clementinepick::ids::RequestId;
use clementinepick::message::Message;
use clementinepick::record::{EndReason, PartitionRecord};
use clementinepick::units::Tokens;
use common::{
    LogMode, World, chat, post, program, vm, with_deadline_ms, with_idempotency_key, with_parent,
    with_seq,
};

fn recorded_end_reason(world: &World, name: &str) -> Option<EndReason> {
    world
        .records()
        .iter()
        .find_map(|record| match &record.body {
            clementinepick::record::RecordBody::Owned {
                entry:
                    PartitionRecord::ProgramEnded {
                        program, reason, ..
                    },
                ..
            } if program.as_str() == name => Some(*reason),
            _ => None,
        })
}

fn with_budget_tokens(
    tokens: u64,
    make: impl FnOnce(RequestId) -> Request,
) -> impl FnOnce(RequestId) -> Request {
    move |id| Request {
        budget_tokens: Some(Tokens(tokens)),
        ..make(id)
    }
}

// Calls arrive at three entries at the same time and in another order than their sequence numbers,
// by which they must run.
#[test]
fn calls_from_several_entries_run_in_sequence() {
    let mut world = World::new(3, 1, 1);
    let ids: Vec<RequestId> = [(3, "e0"), (1, "e1"), (0, "e2"), (2, "e0")]
        .into_iter()
        .map(|(seq, entry)| world.call(entry, with_seq(seq, post("p", "/hold", &seq.to_string()))))
        .collect();
    for id in ids {
        assert_eq!(world.wait(id).code(), "done");
    }
    assert_eq!(world.runs(), ["/hold 0", "/hold 1", "/hold 2", "/hold 3"]);
}

// A call after a gap in the sequence must not wait for its deadline, but be refused as not run. Once
// the missing call has arrived, both must run.
#[test]
fn wait_for_a_missing_call_is_bounded() {
    let mut world = World::new(2, 1, 1);
    let first = world.call("e0", with_seq(0, post("p", "/hold", "0")));
    world.wait(first);
    let sent_us = world.now_us;
    let late = world.call("e0", with_seq(2, post("p", "/hold", "2")));
    let answer = world.wait(late);
    assert_eq!(answer.code(), "out_of_order");
    assert!(answer.at_us - sent_us < 6_000_000);
    for seq in [1, 2] {
        let id = world.call("e1", with_seq(seq, post("p", "/hold", &seq.to_string())));
        assert_eq!(world.wait(id).code(), "done");
    }
    assert_eq!(world.runs(), ["/hold 0", "/hold 1", "/hold 2"]);
}

// A call that was refused as not run must run when it is repeated with the same sequence number.
// Later calls without numbers must not wait for it.
#[test]
fn refused_call_can_be_repeated_with_its_sequence_number() {
    let mut world = World::new(2, 1, 1);
    let first = world.call("e0", with_seq(0, post("p", "/hold", "0")));
    world.wait(first);
    world.log.mode = LogMode::Down;
    let refused = world.call(
        "e0",
        with_deadline_ms(500, with_seq(1, post("p", "/hold", "1"))),
    );
    assert_eq!(world.wait(refused).code(), "log_unavailable");
    world.log.mode = LogMode::Up;
    let again = world.call("e0", with_seq(1, post("p", "/hold", "1")));
    assert_eq!(world.wait(again).code(), "done");
    let next = world.call("e1", post("p", "/hold", "2"));
    assert_eq!(world.wait(next).code(), "done");
    assert_eq!(world.runs(), ["/hold 0", "/hold 1", "/hold 2"]);
}

// Idempotent calls leave no record, so the successor of a crashed owner doesn't know their sequence
// numbers. It must accept the next number after a short wait.
#[test]
fn sequence_continues_after_a_takeover() {
    let mut world = World::new(3, 1, 1);
    let name = world.program_owned_by("e1", "p");
    for seq in 0..4 {
        let id = world.call("e0", with_seq(seq, post(&name, "/check", &seq.to_string())));
        assert_eq!(world.wait(id).code(), "done");
    }
    world.kill("e1");
    world.run_ms(3_000);
    let id = world.call("e0", with_seq(4, post(&name, "/check", "4")));
    assert_eq!(world.wait(id).code(), "done");
    let late = world.call("e0", with_seq(2, post(&name, "/check", "late")));
    assert_eq!(world.wait(late).code(), "out_of_order");
}

// A program and its sub-agents together must not use more than the budget of the root program.
#[test]
fn sub_agents_share_the_budget_of_the_root() {
    let mut world = World::new(3, 1, 1);
    let first = world.call("e0", with_budget_tokens(400, chat("root", &["plan"])));
    assert_eq!(world.wait(first).code(), "done");
    let mut used = 0;
    let mut refused = 0;
    for n in 0..30 {
        let name = format!("child{}", n % 2);
        let entry = format!("e{}", n % 3);
        let transcript: Vec<String> = (0..=(n / 2) * 2)
            .map(|at| {
                let turn = at / 2 * 2 + n % 2;
                if at % 2 == 0 {
                    format!("q{turn}")
                } else {
                    format!("re: q{turn}")
                }
            })
            .collect();
        let transcript: Vec<&str> = transcript.iter().map(String::as_str).collect();
        let id = world.call(&entry, with_parent("root", chat(&name, &transcript)));
        let answer = world.wait(id);
        if let Some(done) = &answer.done {
            used += done.usage.prompt_tokens.0 + done.usage.output_tokens.0;
        } else {
            assert!(["budget_exhausted", "program_ended"].contains(&answer.code()));
            refused += 1;
        }
        world.run_ms(50);
    }
    assert!(refused > 0, "the budget was never exhausted");
    assert!(used <= 400, "{used} tokens used of 400");
    world.run_ms(1_000);
    assert_eq!(recorded_end_reason(&world, "root"), Some(EndReason::Budget));
    assert_eq!(
        recorded_end_reason(&world, "child0"),
        Some(EndReason::Parent)
    );
}

// A call of a known sub-agent that leaves out the parent must be routed to the root's partition,
// and must not open a second program with a budget of its own.
#[test]
fn sub_agent_call_without_parent_joins_the_known_program() {
    let mut world = World::new(2, 1, 1);
    let root = world.program_owned_by("e0", "root");
    let child = world.program_owned_by("e1", "child");
    let first = world.call("e0", chat(&root, &["plan"]));
    world.wait(first);
    let second = world.call("e0", with_parent(&root, chat(&child, &["a"])));
    assert_eq!(world.wait(second).code(), "done");
    let third = world.call("e1", chat(&child, &["a", "re: a", "b"]));
    assert_eq!(world.wait(third).code(), "done");
    let opened = |e: &PartitionRecord| matches!(e, PartitionRecord::ProgramOpened { .. });
    assert_eq!(world.count_records(opened), 2);
    let orphan = world.call("e1", with_parent("nobody", chat("x", &["a"])));
    assert_eq!(world.wait(orphan).code(), "unknown_call");
}

// Crashes of two owners must not let a program exceed its budget; only the unused rest of the slices
// may be lost.
#[test]
fn budget_holds_across_crashes_of_owners() {
    let mut world = World::new(4, 1, 1);
    let name = world.program_owned_by("e2", "p");
    let mut answered = 0;
    for round in 0..3 {
        for n in 0..100 {
            let id = world.call("e0", post(&name, "/check", &format!("{round} {n}")));
            let answer = world.wait(id);
            if answer.code() != "done" {
                assert!(["budget_exhausted", "program_ended"].contains(&answer.code()));
                break;
            }
            answered += 1;
            if n == 12 && round < 2 {
                break;
            }
        }
        if round < 2 {
            let owner = world.owner_of(&name).expect("live owner");
            if owner == "e0" {
                break;
            }
            world.kill(&owner);
            world.run_ms(4_000);
        }
    }
    assert!((40..=50).contains(&answered), "{answered} of 50 calls");
}

// A program that repeats the same call must be stopped and ended.
#[test]
fn loop_guard_ends_a_program_that_repeats_a_call() {
    let mut world = World::new(2, 1, 1);
    let mut codes = Vec::new();
    for _ in 0..12 {
        let id = world.call("e0", post("p", "/check", "same"));
        codes.push(world.wait(id).code().to_owned());
    }
    assert_eq!(codes.iter().filter(|code| *code == "done").count(), 8);
    assert_eq!(codes[8], "loop_stopped");
    assert_eq!(recorded_end_reason(&world, "p"), Some(EndReason::Loop));
    assert!(world.has_event(EventKind::LoopStopped));
}

// However a program ends, its memory at the engine must be released. Except after the idle timeout,
// the end must be recorded with its reason and later calls must be refused.
#[test]
fn memory_is_released_however_a_program_ends() {
    for cause in ["caller", "operator", "idle", "parent"] {
        let mut world = World::new(2, 2, 1);
        let root = world.call("e0", chat("root", &["plan"]));
        world.wait(root);
        let id = world.call("e0", with_parent("root", chat("p", &["a"])));
        world.wait(id);
        let reason = match cause {
            "caller" => {
                world.end_program("e1", "p", EndReason::Caller);
                EndReason::Caller
            }
            "operator" => {
                world.end_program("e0", "p", EndReason::Operator);
                EndReason::Operator
            }
            "parent" => {
                world.end_program("e0", "root", EndReason::Caller);
                EndReason::Parent
            }
            _ => {
                world.run_ms(1_210_000);
                EndReason::Idle
            }
        };
        world.run_ms(1_000);
        let is_cached = world
            .backends
            .values()
            .any(|b| b.cached.contains(&program("p")));
        assert!(!is_cached, "{cause}: memory was not released");
        if cause != "idle" {
            assert_eq!(recorded_end_reason(&world, "p"), Some(reason), "{cause}");
            let id = world.call("e0", chat("p", &["a", "re: a", "b"]));
            assert_eq!(world.wait(id).code(), "program_ended", "{cause}");
        }
    }
}

// The owner of an ended program crashes before the sidecar has confirmed the release. The memory
// must be released when the lease, which no one renews, expires.
#[test]
fn memory_is_released_when_the_owner_crashes_before_the_release() {
    let mut world = World::new(2, 1, 1);
    let name = world.program_owned_by("e1", "p");
    let id = world.call("e0", chat(&name, &["a"]));
    world.wait(id);
    world.should_drop = |message| matches!(message, Message::Release { .. });
    world.end_program("e0", &name, EndReason::Caller);
    world.run_ms(100);
    world.kill("e1");
    world.should_drop = |_| false;
    world.run_ms(40_000);
    assert!(world.backend("g0").cached.is_empty());
}

// The engine doesn't confirm the release of a program's memory; the release must be repeated until
// it does.
#[test]
fn unconfirmed_release_is_repeated() {
    let mut world = World::new(1, 1, 1);
    let id = world.call("e0", chat("p", &["a"]));
    world.wait(id);
    world.backend("g0").confirms_releases = false;
    world.end_program("e0", "p", EndReason::Caller);
    world.run_ms(5_000);
    assert!(!world.backend("g0").cached.is_empty());
    world.backend("g0").confirms_releases = true;
    world.run_ms(5_000);
    assert!(world.backend("g0").cached.is_empty());
    assert!(
        world.dump("e0")["releasing"]
            .as_object()
            .is_some_and(serde_json::Map::is_empty)
    );
}

// A non-idempotent call that is running when its program ends must be completed and answered, and
// its duplicate must get the same outcome.
#[test]
fn running_non_idempotent_call_completes_when_its_program_ends() {
    let mut world = World::new(2, 1, 1);
    world.backend("b0").delay_us = Some(1_000_000);
    let id = world.call("e0", with_idempotency_key("k", post("p", "/hold", "x")));
    world.run_until(2_000, "the call started", |w| !w.runs().is_empty());
    world.end_program("e1", "p", EndReason::Operator);
    assert_eq!(world.wait(id).code(), "done");
    let duplicate = world.call("e1", with_idempotency_key("k", post("p", "/hold", "x")));
    assert_eq!(world.wait(duplicate).code(), "done");
    assert_eq!(world.runs(), ["/hold x"]);
    assert!(world.is_alive(vm("e0").as_str()));
}
