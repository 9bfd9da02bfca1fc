//! Programs: order, budgets, sub-agents, the loop guard, the end and the release of memory.

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

fn ended(world: &World, name: &str) -> Option<EndReason> {
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

fn budget(
    tokens: u64,
    make: impl FnOnce(RequestId) -> Request,
) -> impl FnOnce(RequestId) -> Request {
    move |id| Request {
        budget_tokens: Some(Tokens(tokens)),
        ..make(id)
    }
}

// The caller sees its calls run in the order of their numbers, although they come in at three
// entries in another order and at once.
#[test]
fn calls_from_several_entries_run_in_their_order() {
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

// The caller of the later call is refused as not run after the wait for the gap; when the missing
// call comes, both can go on.
#[test]
fn a_gap_is_waited_for_only_so_long() {
    let mut world = World::new(2, 1, 1);
    let first = world.call("e0", with_seq(0, post("p", "/hold", "0")));
    world.wait(first);
    let asked_us = world.now_us;
    let late = world.call("e0", with_seq(2, post("p", "/hold", "2")));
    let answer = world.wait(late);
    assert_eq!(answer.code(), "out_of_order");
    assert!(answer.at_us - asked_us < 6_000_000);
    for seq in [1, 2] {
        let id = world.call("e1", with_seq(seq, post("p", "/hold", &seq.to_string())));
        assert_eq!(world.wait(id).code(), "done");
    }
    assert_eq!(world.runs(), ["/hold 0", "/hold 1", "/hold 2"]);
}

// The caller sends a call again that was refused as not run, under the same number, and it runs.
// Calls without numbers that were behind it do not wait for it.
#[test]
fn a_refused_call_may_come_again_under_its_number() {
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

// The caller's next call is answered after a short wait. The owner ran idempotent calls that left
// no record and died; its successor can't know their numbers and must not refuse the next one.
#[test]
fn numbers_go_on_after_a_take_over() {
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

// The callers of a parent and two sub-agents spend from one account, and never more than it has.
#[test]
fn sub_agents_spend_from_their_roots_account() {
    let mut world = World::new(3, 1, 1);
    let first = world.call("e0", budget(400, chat("root", &["plan"])));
    assert_eq!(world.wait(first).code(), "done");
    let mut spent = 0;
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
            spent += done.usage.prompt_tokens.0 + done.usage.output_tokens.0;
        } else {
            assert!(["budget_exhausted", "program_ended"].contains(&answer.code()));
            refused += 1;
        }
        world.run_ms(50);
    }
    assert!(refused > 0, "the account was never exhausted");
    assert!(spent <= 400, "{spent} tokens were spent");
    world.run_ms(1_000);
    assert_eq!(ended(&world, "root"), Some(EndReason::Budget));
    assert_eq!(ended(&world, "child0"), Some(EndReason::Parent));
}

// A caller leaves out the parent of a sub-agent: the call is led to its root's partition all the
// same, and opens no second program with a budget of its own.
#[test]
fn a_sub_agent_without_its_parent_named_stays_one_program() {
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

// No caller gets more than the budget, over the death of two owners; what a slice left unspent is
// the price of not knowing.
#[test]
fn a_budget_holds_over_the_deaths_of_owners() {
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
            let owner = world.owner_of(&name).expect("an owner");
            if owner == "e0" {
                break;
            }
            world.kill(&owner);
            world.run_ms(4_000);
        }
    }
    assert!((40..=50).contains(&answered), "{answered} of 50 calls");
}

// A caller that sends the same call again and again is stopped, and its program is ended.
#[test]
fn the_loop_guard_ends_a_program() {
    let mut world = World::new(2, 1, 1);
    let mut codes = Vec::new();
    for _ in 0..12 {
        let id = world.call("e0", post("p", "/check", "same"));
        codes.push(world.wait(id).code().to_owned());
    }
    assert_eq!(codes.iter().filter(|code| *code == "done").count(), 8);
    assert_eq!(codes[8], "loop_stopped");
    assert_eq!(ended(&world, "p"), Some(EndReason::Loop));
    assert!(world.has_event(EventKind::LoopStopped));
}

// The caller is told that the program has ended, and the engine's memory is free, whichever way
// the program ends.
#[test]
fn memory_is_freed_however_a_program_ends() {
    for way in ["caller", "operator", "idle", "parent"] {
        let mut world = World::new(2, 2, 1);
        let root = world.call("e0", chat("root", &["plan"]));
        world.wait(root);
        let id = world.call("e0", with_parent("root", chat("p", &["a"])));
        world.wait(id);
        let reason = match way {
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
        let held = world
            .backends
            .values()
            .any(|b| b.cached.contains(&program("p")));
        assert!(!held, "{way}: memory is held");
        if way != "idle" {
            assert_eq!(ended(&world, "p"), Some(reason), "{way}");
            let id = world.call("e0", chat("p", &["a", "re: a", "b"]));
            assert_eq!(world.wait(id).code(), "program_ended", "{way}");
        }
    }
}

// Nobody sees it. The owner of an ended program dies before its sidecar confirmed the release;
// the lease that nobody renews lapses, and the memory is free.
#[test]
fn memory_is_freed_when_the_owner_dies_before_the_release() {
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

// Nobody sees it. The engine does not answer the order to free a program's memory; the order is
// given again until it does.
#[test]
fn a_release_that_the_engine_does_not_confirm_is_repeated() {
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

// The caller of the hold gets its answer although its program is ended while it runs: a call that
// may not run twice is let finish, and a repeat still gets its answer.
#[test]
fn a_call_that_may_not_run_twice_is_let_finish_when_its_program_ends() {
    let mut world = World::new(2, 1, 1);
    world.backend("b0").delay_us = Some(1_000_000);
    let id = world.call("e0", with_idempotency_key("k", post("p", "/hold", "x")));
    world.run_until(2_000, "the run", |w| !w.runs().is_empty());
    world.end_program("e1", "p", EndReason::Operator);
    assert_eq!(world.wait(id).code(), "done");
    let repeat = world.call("e1", with_idempotency_key("k", post("p", "/hold", "x")));
    assert_eq!(world.wait(repeat).code(), "done");
    assert_eq!(world.runs(), ["/hold x"]);
    assert!(world.is_alive(vm("e0").as_str()));
}
