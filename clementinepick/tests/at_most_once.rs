//! Tests that non-idempotent calls run at most once while owners, sidecars, links and the log fail.

mod common;

use clementinepick::message::Message;
use clementinepick::record::{CallOutcome, PartitionRecord};
use common::{LogMode, World, post, vm, with_deadline_ms, with_idempotency_key, with_seq};

const KEY: &str = "order-1";

fn hold(
    name: &str,
) -> impl FnOnce(clementinepick::ids::RequestId) -> clementinepick::call::Request {
    with_idempotency_key(KEY, post(name, "/hold", "seat 7"))
}

fn is_call_started(entry: &PartitionRecord) -> bool {
    matches!(entry, PartitionRecord::CallStarted { .. })
}

fn is_call_ended(entry: &PartitionRecord) -> bool {
    matches!(entry, PartitionRecord::CallEnded { .. })
}

fn body(answer: &common::Answer) -> String {
    let plain = answer.plain.clone().expect("a plain answer");
    String::from_utf8(plain.body).expect("text")
}

/// Creates a world with a program that `e1` owns, after a first call.
fn with_owner() -> (World, String) {
    let mut world = World::new(3, 1, 1);
    let name = world.program_owned_by("e1", "p");
    let id = world.call("e0", post(&name, "/check", "free?"));
    assert_eq!(world.wait(id).code(), "done");
    assert_eq!(world.owner_of(&name).as_deref(), Some("e1"));
    world.backend("b0").runs.clear();
    (world, name)
}

// The owner dies with a request that is not recorded. The forwarding entry must send the request
// to the next owner, which runs it once.
#[test]
fn owner_killed_before_the_call_is_on_record() {
    let (mut world, name) = with_owner();
    world.log.mode = LogMode::Down;
    let id = world.call("e0", hold(&name));
    world.run_ms(50);
    world.kill("e1");
    world.log.mode = LogMode::Up;
    let answer = world.wait(id);
    assert_eq!(answer.code(), "done", "{:?}", answer.failed);
    assert_eq!(world.runs(), ["/hold seat 7"]);
    assert_eq!(world.count_records(is_call_started), 1);
}

// The owner dies after it recorded the start and before it sent the call. The sidecar never saw the
// call and fences it, so that the next owner can run it once.
#[test]
fn owner_killed_between_the_record_and_the_dispatch() {
    let (mut world, name) = with_owner();
    world.should_drop = |message| matches!(message, Message::Dispatch(_));
    let id = world.call("e0", hold(&name));
    world.run_until(1_000, "the start", |w| {
        w.count_records(is_call_started) == 1
    });
    world.run_ms(20);
    world.kill("e1");
    world.should_drop = |_| false;
    let answer = world.wait(id);
    assert_eq!(answer.code(), "done", "{:?}", answer.failed);
    assert_eq!(world.runs(), ["/hold seat 7"]);
    assert_eq!(world.count_records(is_call_started), 2);
    assert_eq!(
        world.count_records(|e| matches!(
            e,
            PartitionRecord::CallEnded {
                outcome: CallOutcome::NeverRan(_),
                ..
            }
        )),
        1
    );
}

// The owner dies while the call runs. The next owner must find the start record, attach to the run
// at the sidecar and relay its answer instead of running the call again.
#[test]
fn owner_killed_while_the_call_runs() {
    let (mut world, name) = with_owner();
    world.backend("b0").delay_us = Some(6_000_000);
    let id = world.call("e0", hold(&name));
    world.run_until(1_000, "the run", |w| !w.runs().is_empty());
    world.kill("e1");
    let answer = world.wait(id);
    assert_eq!(answer.code(), "done", "{:?}", answer.failed);
    assert_eq!(body(&answer), "/hold run 1");
    assert_eq!(world.runs(), ["/hold seat 7"]);
}

// The owner dies after the backend server answered and before the outcome is in the log. The next
// owner must fetch the answer from the sidecar instead of running the call again.
#[test]
fn owner_killed_after_the_answer_and_before_its_record() {
    let (mut world, name) = with_owner();
    world.backend("b0").delay_us = None;
    let id = world.call("e0", hold(&name));
    world.run_until(1_000, "the run", |w| !w.runs().is_empty());
    world.log.mode = LogMode::Down;
    world.complete_held_calls("b0");
    world.run_ms(20);
    world.kill("e1");
    world.log.mode = LogMode::Up;
    let answer = world.wait(id);
    assert_eq!(answer.code(), "done", "{:?}", answer.failed);
    assert_eq!(world.runs(), ["/hold seat 7"]);
    assert_eq!(world.count_records(is_call_ended), 1);
}

// The sidecar's process dies while the call runs, so the outcome can't be determined. The caller
// and a repeat must get `outcome_unknown`, and the call must not run again.
#[test]
fn sidecar_restarted_with_the_call_open() {
    let (mut world, name) = with_owner();
    world.backend("b0").delay_us = None;
    let id = world.call("e0", hold(&name));
    world.run_until(1_000, "the run", |w| !w.runs().is_empty());
    world.kill("b0");
    world.run_ms(300);
    world.start("b0");
    assert_eq!(world.wait(id).code(), "outcome_unknown");
    let repeat = world.call("e2", hold(&name));
    assert_eq!(world.wait(repeat).code(), "outcome_unknown");
    assert_eq!(world.runs(), ["/hold seat 7"]);
}

// The link between owner and sidecar is lost while the call runs and comes back. The owner must
// attach to the run, since a retry would run the call twice.
#[test]
fn link_to_the_sidecar_lost_while_the_call_runs() {
    let (mut world, name) = with_owner();
    world.backend("b0").delay_us = Some(2_000_000);
    let id = world.call("e0", hold(&name));
    world.run_until(1_000, "the run", |w| !w.runs().is_empty());
    world.cut_link("e1", "b0");
    world.run_ms(2_500);
    world.restore_link("e1", "b0");
    assert_eq!(world.wait(id).code(), "done");
    assert_eq!(world.runs(), ["/hold seat 7"]);
}

// The link between owner and sidecar stays cut past the deadline. The caller must get
// `outcome_unknown`, and a repeat after the link is back the answer of the single run.
#[test]
fn link_to_the_sidecar_lost_over_the_deadline() {
    let (mut world, name) = with_owner();
    world.backend("b0").delay_us = Some(300_000);
    let id = world.call("e0", with_deadline_ms(1_500, hold(&name)));
    world.run_until(1_000, "the run", |w| !w.runs().is_empty());
    world.cut_link("e1", "b0");
    assert_eq!(world.wait(id).code(), "outcome_unknown");
    world.restore_link("e1", "b0");
    world.run_ms(500);
    let repeat = world.call("e2", hold(&name));
    let answer = world.wait(repeat);
    assert_eq!(answer.code(), "done", "{:?}", answer.failed);
    assert_eq!(world.runs(), ["/hold seat 7"]);
}

// A second request with the same key arrives at another entry while the first call runs. It must
// wait for the answer of the first instead of running.
#[test]
fn a_repeat_at_another_entry_gets_the_answer_of_the_running_call() {
    let (mut world, name) = with_owner();
    world.backend("b0").delay_us = None;
    let first = world.call("e0", hold(&name));
    world.run_until(1_000, "the run", |w| !w.runs().is_empty());
    let second = world.call("e2", hold(&name));
    world.run_ms(100);
    world.complete_held_calls("b0");
    let (first, second) = (world.wait(first), world.wait(second));
    assert_eq!(body(&first), body(&second));
    let third = world.call("e1", hold(&name));
    assert_eq!(body(&world.wait(third)), body(&first));
    assert_eq!(world.runs(), ["/hold seat 7"]);
}

// A different request under a key that is in use must be refused, not answered or run.
#[test]
fn another_body_under_a_known_key_is_refused() {
    let (mut world, name) = with_owner();
    let first = world.call("e0", hold(&name));
    world.wait(first);
    let other = world.call(
        "e2",
        with_idempotency_key(KEY, post(&name, "/hold", "seat 8")),
    );
    assert_eq!(world.wait(other).code(), "key_reused");
    assert_eq!(world.runs(), ["/hold seat 7"]);
}

// A caller without a program repeats a request at another entry after the program of the first one
// has ended. The key alone must lead to the record of the first.
#[test]
fn a_repeat_without_a_program_finds_the_first_call() {
    let (mut world, _) = with_owner();
    let http = clementinepick::http_request::HttpRequest {
        method: "POST".to_owned(),
        path: "/services/book/hold".to_owned(),
        headers: vec![("idempotency-key".to_owned(), KEY.to_owned())],
        body: b"seat 7".to_vec(),
    };
    let parse = |id| {
        let settings = clementinepick::http_request::ParseSettings::default();
        clementinepick::http_request::parse_plain(&settings, id, &http).expect("right")
    };
    let first = world.call("e0", parse);
    let first = world.wait(first);
    world.run_ms(1_000);
    let second = world.call("e2", parse);
    assert_eq!(body(&world.wait(second)), body(&first));
    assert_eq!(world.runs(), ["/hold seat 7"]);
}

// A call without a program that was refused as not run during an outage must run when repeated.
#[test]
fn a_refused_call_without_a_program_may_be_repeated() {
    let (mut world, _) = with_owner();
    world.log.mode = LogMode::Down;
    let single = |id| clementinepick::call::Request {
        single_call: true,
        ..hold("key-of-this-call")(id)
    };
    let id = world.call("e0", with_deadline_ms(1_000, single));
    let refused = world.wait(id);
    assert!(["log_unavailable", "owner_unknown"].contains(&refused.code()));
    world.log.mode = LogMode::Up;
    world.run_ms(2_000);
    let id = world.call("e2", single);
    assert_eq!(world.wait(id).code(), "done");
    assert_eq!(world.runs(), ["/hold seat 7"]);
}

// A leaving sidecar refuses the call before its entries know that it leaves. That the call did not
// run must be recorded before it is sent to the second backend server under a new start record.
#[test]
fn a_call_refused_by_a_leaving_sidecar_is_sent_elsewhere() {
    let mut world = World::new(2, 1, 2);
    let name = world.program_owned_by("e1", "p");
    let id = world.call("e0", post(&name, "/check", "free?"));
    world.wait(id);
    world.run_ms(50);
    for b in ["b0", "b1"] {
        world.backend(b).runs.clear();
    }
    let first = world.call(
        "e0",
        with_idempotency_key("order-0", post(&name, "/hold", "seat 6")),
    );
    world.wait(first);
    assert_eq!(world.backend("b0").runs.len(), 1, "the first choice is b0");
    world.backend("b0").runs.clear();
    world.send_sidecar_input("b0", clementinepick::sidecar::SidecarInput::Shutdown);
    let id = world.call("e0", hold(&name));
    let answer = world.wait(id);
    assert_eq!(answer.code(), "done", "{:?}", answer.failed);
    assert_eq!(world.backend("b1").runs, ["/hold seat 7"]);
    assert_eq!(world.runs(), ["/hold seat 7"]);
    assert_eq!(world.count_records(is_call_started), 3);
}

// The log is down until the deadline, so the caller is told that the call did not run. The call
// must not run later either, even if the outstanding append still takes effect.
#[test]
fn log_down_until_the_deadline() {
    for mode in [LogMode::Down, LogMode::ResponsesLost, LogMode::AppendsLost] {
        let (mut world, name) = with_owner();
        world.log.mode = mode;
        world.log.reads_down = true;
        let id = world.call("e0", with_deadline_ms(1_000, hold(&name)));
        let answer = world.wait(id);
        assert_eq!(answer.code(), "log_unavailable", "{mode:?}");
        assert!(answer.failed.expect("failed").retry_after_s().is_some());
        world.log.mode = LogMode::Up;
        world.log.reads_down = false;
        world.run_ms(10_000);
        assert!(world.runs().is_empty(), "{mode:?}: {:?}", world.runs());
        let again = world.call("e0", hold(&name));
        assert_eq!(world.wait(again).code(), "done", "{mode:?}");
        assert_eq!(world.runs(), ["/hold seat 7"], "{mode:?}");
    }
}

// The owner dies, and the next owner dies during its takeover. The third owner must fence the call
// as well instead of running it again.
#[test]
fn a_second_owner_dies_during_the_recovery_from_the_first() {
    let (mut world, name) = with_owner();
    world.backend("b0").delay_us = Some(12_000_000);
    let id = world.call("e0", hold(&name));
    world.run_until(1_000, "the run", |w| !w.runs().is_empty());
    world.kill("e1");
    world.run_until(5_000, "a takeover", |w| w.owner_of(&name).is_some());
    let second = world.owner_of(&name).expect("an owner");
    if second == "e0" {
        // The caller's entry is the second owner and dies, so the caller repeats at the last entry.
        world.kill("e0");
        let repeat = world.call("e2", hold(&name));
        assert_eq!(world.wait(repeat).code(), "done");
    } else {
        world.kill(&second);
        assert_eq!(world.wait(id).code(), "done");
    }
    assert_eq!(world.runs(), ["/hold seat 7"]);
}

// The sidecar dies while the next owner queries it for the outcome of a call of the first owner.
// The caller must get `outcome_unknown`, and the call must not run again.
#[test]
fn the_sidecar_dies_during_the_recovery_of_its_owner() {
    let (mut world, name) = with_owner();
    world.backend("b0").delay_us = None;
    let id = world.call("e0", hold(&name));
    world.run_until(1_000, "the run", |w| !w.runs().is_empty());
    world.kill("e1");
    world.run_until(5_000, "a takeover", |w| w.owner_of(&name).is_some());
    world.kill("b0");
    world.start("b0");
    let answer = world.wait(id);
    assert_eq!(answer.code(), "outcome_unknown");
    assert_eq!(world.runs(), ["/hold seat 7"]);
}

// The answer to one append is lost, for each kind of record in turn. The append is retried, and
// each record must still take effect exactly once.
#[test]
fn the_answer_of_each_kind_of_append_is_lost() {
    for lost_from in 0..12 {
        let mut world = World::new(2, 1, 1);
        let name = world.program_owned_by("e1", "p");
        let ids = [
            world.call("e0", with_seq(0, common::chat(&name, &["hi"]))),
            world.call("e0", with_seq(1, hold(&name))),
            world.call(
                "e0",
                with_seq(2, common::chat(&name, &["hi", "re: hi", "next"])),
            ),
        ];
        let end_us = world.now_us + 20_000_000;
        let mut lost = false;
        while !ids.iter().all(|id| world.is_answered(*id)) && world.now_us < end_us {
            let losing = world.log.appends == lost_from;
            lost |= losing;
            world.log.mode = if losing {
                LogMode::ResponsesLost
            } else {
                LogMode::Up
            };
            world.run_ms(1);
        }
        world.log.mode = LogMode::Up;
        world.end_program("e0", &name, clementinepick::record::EndReason::Caller);
        world.run_ms(2_000);
        for id in ids {
            assert_eq!(world.answer(id).code(), "done", "append {lost_from}");
        }
        assert!(lost || lost_from > 0, "append {lost_from} was lost");
        let runs = world.runs();
        let holds = runs.iter().filter(|run| run.starts_with("/hold")).count();
        assert_eq!(holds, 1, "append {lost_from}");
        assert_eq!(world.count_records(is_call_started), 1);
        assert_eq!(
            world.count_records(|e| matches!(e, PartitionRecord::TurnAdded { .. })),
            2
        );
        assert_eq!(
            world.count_records(|e| matches!(e, PartitionRecord::ProgramEnded { .. })),
            1
        );
    }
}

// The owner is suspended while another entry takes over. When it resumes it must not run the call a
// second time: calls recorded before the claim are fenced, and later records of its own are stale.
#[test]
fn an_owner_paused_over_a_take_over_runs_nothing_when_it_resumes() {
    let (mut world, name) = with_owner();
    world.pause("e1");
    let id = world.call("e0", hold(&name));
    let answer = world.wait(id);
    assert_eq!(answer.code(), "done", "{:?}", answer.failed);
    world.resume("e1");
    world.run_ms(2_000);
    assert_eq!(world.runs(), ["/hold seat 7"]);
    assert_ne!(world.owner_of(&name).as_deref(), Some("e1"));
    assert!(world.is_alive(vm("e1").as_str()));
}

// The owner answers while the link to the caller's entry is cut. The entry must forward the request
// again when the link is back, so that the caller gets the whole answer.
#[test]
fn an_answer_lost_between_entries_is_sent_again() {
    let (mut world, name) = with_owner();
    world.backend("b0").delay_us = Some(300_000);
    let id = world.call("e0", hold(&name));
    world.run_until(1_000, "the run", |w| !w.runs().is_empty());
    world.log.mode = LogMode::Down;
    world.run_ms(250);
    world.cut_link("e0", "e1");
    world.run_ms(150);
    world.restore_link("e0", "e1");
    let answer = world.wait(id);
    assert_eq!(answer.code(), "done", "{:?}", answer.failed);
    assert_eq!(body(&answer), "/hold run 1");
    assert_eq!(world.runs(), ["/hold seat 7"]);
}
