//! Calls that may not run twice, while owners, sidecars, links and the log fail.

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

fn started(entry: &PartitionRecord) -> bool {
    matches!(entry, PartitionRecord::CallStarted { .. })
}

fn ended(entry: &PartitionRecord) -> bool {
    matches!(entry, PartitionRecord::CallEnded { .. })
}

fn body(answer: &common::Answer) -> String {
    let plain = answer.plain.clone().expect("a plain answer");
    String::from_utf8(plain.body).expect("text")
}

/// A world with a program whose owner is `e1`, and a first call done.
fn with_owner() -> (World, String) {
    let mut world = World::new(3, 1, 1);
    let name = world.program_owned_by("e1", "p");
    let id = world.call("e0", post(&name, "/check", "free?"));
    assert_eq!(world.wait(id).code(), "done");
    assert_eq!(world.owner_of(&name).as_deref(), Some("e1"));
    world.backend("b0").runs.clear();
    (world, name)
}

// The caller sees its answer, a little late. The owner dies with the request in hand and nothing
// on record; the entry that passed it on sends it to the next owner, which runs it, once.
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
    assert_eq!(world.count_records(started), 1);
}

// The caller sees its answer. The owner dies after the start is in the log and before it sends the
// call on; the next owner asks the sidecar, which never saw the call and fences it. So the call
// may run anew, and does, once.
#[test]
fn owner_killed_between_the_record_and_the_dispatch() {
    let (mut world, name) = with_owner();
    world.should_drop = |message| matches!(message, Message::Dispatch(_));
    let id = world.call("e0", hold(&name));
    world.run_until(1_000, "the start", |w| w.count_records(started) == 1);
    world.run_ms(20);
    world.kill("e1");
    world.should_drop = |_| false;
    let answer = world.wait(id);
    assert_eq!(answer.code(), "done", "{:?}", answer.failed);
    assert_eq!(world.runs(), ["/hold seat 7"]);
    assert_eq!(world.count_records(started), 2);
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

// The caller sees the answer of the one run. The owner dies while the call runs; the next owner
// finds the start on record, asks the sidecar, attaches to the run and passes its answer on.
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

// The caller sees the answer of the one run. The owner dies after the backend server answered and
// before the outcome is in the log; the sidecar still has the answer and the next owner fetches it.
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
    assert_eq!(world.count_records(ended), 1);
}

// The caller is told that the outcome is not known, and a repeat is told the same; the call is
// never run again. The sidecar's process dies while the call runs, and with it all that anyone
// could know of the call.
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

// The caller sees its answer. The link between owner and sidecar breaks while the call runs and
// comes back; the owner asks what became of the call and attaches, where a new try would double it.
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

// The caller is told at its deadline that the outcome is not known; once the link is back a repeat
// gets the answer of the one run. The link between owner and sidecar stays cut over the deadline.
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

// Both callers see the same answer. The second request comes in at another entry while the first
// call runs; it carries the same key and waits for the first one's answer.
#[test]
fn a_repeat_at_another_entry_while_the_first_call_runs() {
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

// The caller sees `key_reused`: it sent another request under a key that is taken.
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

// Both requests of a caller without a program see one answer: the key alone leads the second one
// to the record of the first, at another entry and after its program has ended.
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

// A caller without a program is refused as not run during an outage; its repeat runs afterwards.
#[test]
fn a_refused_call_without_a_program_may_come_again() {
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

// The caller sees its answer from the second backend server. The first one is leaving and refuses
// the call unsent, since its entries have not heard of it yet; that the call did not run goes on
// record before it is tried elsewhere under a new start.
#[test]
fn a_call_refused_at_the_gate_is_tried_elsewhere() {
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
    assert_eq!(world.count_records(started), 3);
}

// The caller is refused at its deadline, as not run, and told when to come back; the call never
// runs, also when the log is back and the append that was on its way takes effect after all.
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

// The caller sees its answer. Both the owner and, while it takes over, the next owner die; the
// third one fences the call just the same.
#[test]
fn a_second_owner_dies_during_the_recovery_from_the_first() {
    let (mut world, name) = with_owner();
    world.backend("b0").delay_us = Some(12_000_000);
    let id = world.call("e0", hold(&name));
    world.run_until(1_000, "the run", |w| !w.runs().is_empty());
    world.kill("e1");
    world.run_until(5_000, "a take-over", |w| w.owner_of(&name).is_some());
    let second = world.owner_of(&name).expect("an owner");
    if second == "e0" {
        // The entry of the caller is gone with it: the caller repeats at the last one.
        world.kill("e0");
        let repeat = world.call("e2", hold(&name));
        assert_eq!(world.wait(repeat).code(), "done");
    } else {
        world.kill(&second);
        assert_eq!(world.wait(id).code(), "done");
    }
    assert_eq!(world.runs(), ["/hold seat 7"]);
}

// The caller sees its answer. The sidecar dies while the next owner asks it what became of the
// call that the first owner had sent: nobody can tell any more, and the call is not run again.
#[test]
fn the_sidecar_dies_during_the_recovery_of_its_owner() {
    let (mut world, name) = with_owner();
    world.backend("b0").delay_us = None;
    let id = world.call("e0", hold(&name));
    world.run_until(1_000, "the run", |w| !w.runs().is_empty());
    world.kill("e1");
    world.run_until(5_000, "a take-over", |w| w.owner_of(&name).is_some());
    world.kill("b0");
    world.start("b0");
    let answer = world.wait(id);
    assert_eq!(answer.code(), "outcome_unknown");
    assert_eq!(world.runs(), ["/hold seat 7"]);
}

// The caller sees one answer and the log one effect of each record, whichever append's answer is
// lost: the opening of a program, a slice, a start, an end, a turn, a program's end, a claim.
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
        assert_eq!(world.count_records(started), 1);
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

// The caller sees one answer. A sidecar that was cut off from the new owner still takes what the
// paused old owner sends; what was on record before the claim is fenced, and what was not is
// refused by the log's order.
#[test]
fn an_owner_paused_over_a_take_over_runs_nothing_when_it_wakes() {
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

// The caller sees the whole answer. The owner answers while the link to the caller's entry is cut;
// when the link is back the entry asks again, and gets also the part that was lost with the link.
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
