//! Tests how program histories are committed, checked, resumed and fetched.

mod common;

use clementinepick::call::{Request, TurnState};
use clementinepick::entry::EntryInput;
use clementinepick::ids::RequestId;
use clementinepick::prompt::ChainHash;
use clementinepick::record::PartitionRecord;
use common::{Answer, LogMode, World, chat, program, with_idempotency_key, with_seq};

fn turns(world: &World) -> usize {
    world.count_records(|entry| matches!(entry, PartitionRecord::TurnAdded { .. }))
}

fn turn_state(answer: &Answer) -> TurnState {
    answer.done.as_ref().expect("answered").turn
}

fn append(
    chain: Option<ChainHash>,
    make: impl FnOnce(RequestId) -> Request,
) -> impl FnOnce(RequestId) -> Request {
    move |id| Request {
        append: true,
        history_chain: chain,
        ..make(id)
    }
}

fn chain(answer: &Answer) -> ChainHash {
    let done = answer.done.as_ref().expect("answered");
    done.chain.expect("a chain")
}

// Turns that are answered as `pending` during a log outage must all be recorded, in order, when the
// log is available again.
#[test]
fn pending_turns_commit_after_a_log_outage() {
    let mut world = World::new(2, 1, 1);
    let first = world.call("e0", chat("p", &["a"]));
    assert_eq!(turn_state(&world.wait(first)), TurnState::Committed);
    world.log.mode = LogMode::Down;
    let mut transcript = vec!["a", "re: a"];
    for (text, answer) in [("b", "re: b"), ("c", "re: c"), ("d", "re: d")] {
        transcript.push(text);
        let id = world.call("e0", chat("p", &transcript));
        assert_eq!(turn_state(&world.wait(id)), TurnState::Pending, "{text}");
        transcript.push(answer);
    }
    world.run_ms(600_000 / 10);
    world.log.mode = LogMode::Up;
    world.run_ms(2_000);
    assert_eq!(turns(&world), 4);
    transcript.push("e");
    let id = world.call("e1", chat("p", &transcript));
    assert_eq!(turn_state(&world.wait(id)), TurnState::Committed);
    assert_eq!(turns(&world), 5);
}

// The owner fails with a pending turn that the sidecar still has. The next owner must record the
// turn before it continues, or the caller's next append would be refused.
#[test]
fn next_owner_records_a_pending_turn_from_the_sidecar() {
    let mut world = World::new(3, 1, 1);
    let name = world.program_owned_by("e1", "p");
    let first = world.call("e0", chat(&name, &["a"]));
    world.wait(first);
    world.log.mode = LogMode::Down;
    let second = world.call("e0", chat(&name, &["a", "re: a", "b"]));
    let second = world.wait(second);
    assert_eq!(turn_state(&second), TurnState::Pending);
    world.kill("e1");
    world.log.mode = LogMode::Up;
    world.run_ms(4_000);
    assert_eq!(turns(&world), 2);
    let third = world.call("e0", append(Some(chain(&second)), chat(&name, &["c"])));
    let third = world.wait(third);
    assert_eq!((third.code(), third.text.as_str()), ("done", "re: c"));
    assert_eq!(turns(&world), 3);
}

// Owner and sidecar fail together with a pending turn. The next owner can't know the turn, so it
// must ask for the whole transcript instead of answering from an incomplete history.
#[test]
fn owner_that_may_lack_turns_requests_the_transcript() {
    let mut world = World::new(3, 1, 1);
    let name = world.program_owned_by("e1", "p");
    let first = world.call("e0", chat(&name, &["a"]));
    world.wait(first);
    world.log.mode = LogMode::Down;
    let second = world.call("e0", chat(&name, &["a", "re: a", "b"]));
    let second = world.wait(second);
    world.kill("e1");
    world.kill("g0");
    world.log.mode = LogMode::Up;
    world.start("g0");
    world.run_ms(4_000);
    let third = world.call("e0", append(Some(chain(&second)), chat(&name, &["c"])));
    assert_eq!(world.wait(third).code(), "history_needed");
    let without_chain = world.call("e0", append(None, chat(&name, &["c"])));
    assert_eq!(world.wait(without_chain).code(), "history_needed");
    let whole = world.call("e0", chat(&name, &["a", "re: a", "b", "re: b", "c"]));
    assert_eq!(world.wait(whole).code(), "done");
    assert_eq!(turns(&world), 2);
}

// A transcript that differs from the recorded history must be refused before anything runs.
#[test]
fn diverged_transcript_is_refused() {
    let mut world = World::new(2, 1, 1);
    let first = world.call("e0", chat("p", &["a"]));
    world.wait(first);
    for wrong in [&["x", "re: a", "b"][..], &["a", "re: x", "b"], &["b"]] {
        let id = world.call("e0", chat("p", wrong));
        assert_eq!(world.wait(id).code(), "history_mismatch");
    }
    assert_eq!(world.runs(), ["a"]);
    let right = world.call("e0", chat("p", &["a", "re: a", "b"]));
    assert_eq!(world.wait(right).code(), "done");
}

// The caller sends only new messages, and the engine must get the whole conversation.
#[test]
fn appended_messages_continue_the_recorded_history() {
    let mut world = World::new(2, 1, 1);
    let first = world.call("e0", chat("p", &["a"]));
    let first = world.wait(first);
    let second = world.call("e1", append(Some(chain(&first)), chat("p", &["b"])));
    let second = world.wait(second);
    assert_eq!(second.code(), "done");
    let third = world.call("e0", append(None, chat("p", &["c"])));
    assert_eq!(world.wait(third).code(), "done");
    let whole = world.call(
        "e0",
        chat("p", &["a", "re: a", "b", "re: b", "c", "re: c", "d"]),
    );
    assert_eq!(world.wait(whole).code(), "done");
    let old = world.call("e0", append(Some(chain(&first)), chat("p", &["e"])));
    assert_eq!(world.wait(old).code(), "history_mismatch");
}

// A caller that lost its connection resumes at another entry, during the call or after it, and must
// get the rest of the answer without repetition.
#[test]
fn interrupted_stream_resumes_from_its_position() {
    let mut world = World::new(2, 1, 1);
    world.backend("g0").delay_us = Some(400_000);
    let id = world.call("e0", with_seq(0, chat("p", &["tell"])));
    world.run_ms(300);
    let received = world.answer(id).text;
    assert!(!received.is_empty());
    world.send_input("e0", EntryInput::CallerGone(id));
    world.answers.remove(&id);
    let position = received.chars().count() as u64;
    let fetch = world.fetch("e1", "p", 0, 0);
    let rest = world.fetch("e0", "p", 0, position);
    world.run_ms(1_000);
    assert_eq!(world.answer(fetch).text, "re: tell");
    assert_eq!(format!("{received}{}", world.answer(rest).text), "re: tell");
    let late = world.fetch("e1", "p", 0, 4);
    world.run_ms(100);
    let late = world.answer(late);
    assert_eq!((late.code(), late.text.as_str()), ("done", "tell"));
    let unknown = world.fetch("e1", "p", 7, 0);
    assert_eq!(world.wait(unknown).code(), "unknown_call");
    assert_eq!(world.runs(), ["tell"]);
}

// A turn repeated by key or by sequence number must get the stored answer and not run again.
#[test]
fn repeated_turn_gets_the_first_answer() {
    let mut world = World::new(2, 1, 1);
    let first = world.call(
        "e0",
        with_seq(0, with_idempotency_key("k", chat("p", &["a"]))),
    );
    let first = world.wait(first);
    let by_key = world.call("e1", with_idempotency_key("k", chat("p", &["a"])));
    let by_place = world.call("e1", with_seq(0, chat("p", &["a"])));
    for id in [by_key, by_place] {
        let answer = world.wait(id);
        assert_eq!((answer.code(), answer.text.as_str()), ("done", "re: a"));
        assert_eq!(chain(&answer), chain(&first));
    }
    assert_eq!(world.runs(), ["a"]);
}

// Programs with equal transcripts must have different chains, or their turns could be mixed up.
#[test]
fn chain_covers_the_program_name() {
    let mut world = World::new(1, 1, 1);
    let ids = ["p", "q"].map(|name| world.call("e0", chat(name, &["same"])));
    let [p, q] = ids.map(|id| chain(&world.wait(id)));
    assert_ne!(p, q);
    assert_ne!(program("p"), program("q"));
}

// A call whose caller does not resume in time must be stopped, and its sequence number must be free
// for a repeat.
#[test]
fn stream_that_is_not_resumed_is_stopped() {
    let mut world = World::new(2, 1, 1);
    world.backend("g0").delay_us = Some(15_000_000);
    let id = world.call("e0", with_seq(0, chat("p", &["tell"])));
    world.run_ms(300);
    world.send_input("e0", EntryInput::CallerGone(id));
    world.run_ms(3_000);
    assert_eq!(world.dump("g0")["running"], 1);
    world.run_ms(3_000);
    assert_eq!(world.dump("g0")["running"], 0);
    let again = world.call("e1", with_seq(0, chat("p", &["tell"])));
    assert_eq!(world.wait(again).code(), "done");
}
