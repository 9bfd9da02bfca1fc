//! Budgets and turns in the store, through losses of gateways and troubles of the store.

use std::time::Duration;

use standins::platform_backend::{PlatformBackend, body_text};
use standins::platform_caller::{CallerRequest, CallerResponse};
use standins::platform_run::PlatformRun;
use standins::platform_store::{AppendFault, StoreMode};

fn run(gateways: usize) -> PlatformRun {
    PlatformRun::start(gateways).expect("a run")
}

/// Sends a turn of a program with a budget of 400 tokens; a turn has 40 and names 50 at most.
fn turn(
    run: &PlatformRun,
    gateway: usize,
    path: &str,
    id: &str,
    previous: Option<&str>,
) -> CallerResponse {
    let turn = CallerRequest::turn(path, id, "p1", id).with("Token-Budget", "400");
    let turn = match previous {
        Some(previous) => turn.with("Previous-Turn", previous),
        None => turn,
    };
    turn.send(run.callers(gateway)).expect("an answer")
}

/// The prompt that the engines got for a turn.
fn prompt(run: &PlatformRun, id: &str) -> String {
    let ran = run.engines.iter().flat_map(PlatformBackend::executions);
    let ran = ran.filter(|execution| execution.id == id);
    ran.map(|execution| body_text(&execution.request.body))
        .next()
        .unwrap_or_default()
}

/// A turn ends at one gateway, which is then lost with all that it held. The next turn comes to
/// another one, which reads the chain from the store and gives the engine the same prompt.
#[test]
fn a_chain_survives_the_loss_of_its_gateway() {
    let mut run = run(2);
    assert_eq!(turn(&run, 0, "/chat/1", "t1", None).status, 200);
    assert_eq!(turn(&run, 0, "/chat/1", "t2", Some("t1")).status, 200);
    run.gateways[0].terminate();
    assert_eq!(turn(&run, 1, "/chat/1", "t3", Some("t2")).status, 200);
    let output = |id: &str| [1, 2, 3, 4].map(|n| format!("{id}-{n}\n")).concat();
    assert_eq!(
        prompt(&run, "t3"),
        format!("t1{}t2{}t3", output("t1"), output("t2"))
    );
}

/// A program goes on through two gateways until its budget is spent. It never gets more than the
/// budget and one turn, whichever gateway it asks, and 402 says that the turn has not run.
#[test]
fn a_budget_holds_over_all_gateways() {
    let run = run(2);
    let mut served = 0;
    let mut refused = 0;
    for number in 0..30 {
        let id = format!("t{number}");
        match turn(&run, number % 2, "/draft/1", &id, None).status {
            200 => served += 1,
            402 => {
                refused += 1;
                assert_eq!(prompt(&run, &id), "", "a refused turn has run");
            }
            status => panic!("status {status}"),
        }
    }
    assert!(refused > 0, "the budget was never spent");
    assert!(served * 40 <= 400 + 50, "{served} turns of 40 tokens");
    assert!(served * 40 >= 300, "only {served} turns of 40 tokens");
}

/// All gateways are lost at once. What was spent before counts on: a program that was stopped comes
/// back and is stopped again.
#[test]
fn a_spent_budget_stays_spent() {
    let mut run = run(1);
    let mut number = 0;
    while turn(&run, 0, "/draft/1", &format!("t{number}"), None).status == 200 {
        number += 1;
    }
    run.gateways.clear();
    run.add_gateway().expect("a gateway");
    assert_eq!(turn(&run, 0, "/draft/1", "late", None).status, 402);
}

/// A turn that never was is refused with 404. While the store does not answer, nobody can know
/// whether it was, and the answer is 503.
#[test]
fn an_unknown_turn_is_only_denied_when_that_is_certain() {
    let run = run(1);
    assert_eq!(turn(&run, 0, "/chat/1", "t1", Some("never")).status, 404);
    run.store_endpoints[0].set_mode(StoreMode::Busy);
    let answer = turn(&run, 0, "/chat/1", "t2", Some("never"));
    assert_eq!(answer.status, 503);
    assert!(answer.headers.contains_key("retry-after"));
}

/// The store does not answer while a turn ends. The caller gets all events and no end: an end would
/// promise that a later turn can continue from this one. Once the store answers, the turn that the
/// caller sends again goes through.
#[test]
fn the_end_of_a_turn_waits_for_its_record() {
    let run = run(1);
    assert_eq!(turn(&run, 0, "/chat/1", "t1", None).status, 200);
    run.store_endpoints[0].set_mode(StoreMode::Silent);
    let answer = turn(&run, 0, "/chat/1", "t2", Some("t1"));
    assert_eq!((answer.status, answer.is_complete), (200, false));
    assert_eq!(answer.body.matches("data:").count(), 4);
    run.store_endpoints[0].set_mode(StoreMode::Serving);
    let answer = turn(&run, 0, "/chat/1", "t3", Some("t1"));
    assert_eq!((answer.status, answer.is_complete), (200, true));
}

/// The store does an append and loses the answer, or does it only seconds later. The gateway makes
/// the call again; the slice is there once, the turn's record is the same, and nothing is refused.
#[test]
fn a_lost_answer_of_the_store_changes_nothing() {
    let run = run(1);
    for fault in [
        AppendFault::LoseResponse,
        AppendFault::Postpone,
        AppendFault::LoseResponse,
    ] {
        run.store.inject_append_fault(fault);
    }
    assert_eq!(turn(&run, 0, "/chat/1", "t1", None).status, 200);
    assert_eq!(turn(&run, 0, "/chat/1", "t2", Some("t1")).status, 200);
    let slices = run.store.keys("keyed.budgets").len();
    assert_eq!(slices, 1, "one slice of 100 tokens holds both turns");
}

/// The store turns one gateway away and serves the other. The first makes its calls through the
/// second, so that its callers notice nothing; without that, each turn there would be refused.
#[test]
fn a_peer_reaches_the_store_for_a_gateway_that_does_not() {
    let run = run(2);
    for mode in [StoreMode::Busy, StoreMode::Reset, StoreMode::Silent] {
        run.store_endpoints[1].set_mode(mode);
        let id = format!("t-{mode:?}");
        let answer = turn(&run, 1, "/chat/1", &id, None);
        assert_eq!((answer.status, answer.is_complete), (200, true), "{mode:?}");
    }
}

/// The store drops its history, so that what another gateway wrote can't be read on from an offset.
/// The newest record of each key is still there: budgets count on and chains are found.
#[test]
fn a_store_that_forgets_its_history_loses_no_turn() {
    let run = run(2);
    run.store.set_page_items(1);
    assert_eq!(turn(&run, 0, "/chat/1", "t1", None).status, 200);
    run.store.discard_history();
    assert_eq!(turn(&run, 1, "/chat/1", "t2", Some("t1")).status, 200);
    assert!(prompt(&run, "t2").starts_with("t1t1-1\n"));
    let slices = run.store.keys("keyed.budgets").len();
    assert_eq!(slices, 2, "a slice of each gateway");
}

/// A turn's input is longer than a record of the store may be. It is kept in parts, and another
/// gateway puts it together again.
#[test]
fn a_long_turn_is_kept_in_parts() {
    let run = run(2);
    let input = "y".repeat(90_000);
    let long = CallerRequest::turn("/chat/1", "t1", "p1", &input);
    assert_eq!(long.send(run.callers(0)).expect("an answer").status, 200);
    assert_eq!(turn(&run, 1, "/chat/1", "t2", Some("t1")).status, 200);
    assert!(prompt(&run, "t2").starts_with(&input));
    assert!(
        run.store.keys("keyed.turns").len() > 1,
        "kept in one record"
    );
}

/// The store is slow. Turns take longer and none is refused.
#[test]
fn a_slow_store_refuses_nothing() {
    let run = run(1);
    run.store.set_delay(Duration::from_millis(120));
    for number in 0..4 {
        let id = format!("t{number}");
        let answer = turn(&run, 0, "/chat/1", &id, None);
        assert_eq!((answer.status, answer.is_complete), (200, true));
    }
}

/// A program's turns come to one gateway and then to another, while the first holds most of the
/// budget unused. The second borrows it; the program is refused only when its budget is spent.
#[test]
fn a_gateway_borrows_what_another_does_not_need() {
    let run = run(2);
    assert_eq!(turn(&run, 0, "/draft/1", "first", None).status, 200);
    let mut served = 1;
    while turn(&run, 1, "/draft/1", &format!("t{served}"), None).status == 200 {
        served += 1;
    }
    assert!(
        (9..=11).contains(&served),
        "{served} turns of 40 of 400 tokens"
    );
}

/// The store falls silent for all while a program is under way, and its next turn comes to a gateway
/// that holds nothing of it. That gateway borrows from the one that does, and the turn is served.
#[test]
fn a_program_goes_on_elsewhere_while_the_store_is_away() {
    let run = run(2);
    assert_eq!(turn(&run, 0, "/draft/1", "t1", None).status, 200);
    for door in &run.store_endpoints {
        door.set_mode(StoreMode::Busy);
    }
    let is_served =
        |number: u32| turn(&run, 1, "/draft/1", &format!("u{number}"), None).status == 200;
    // The first tries find out that the store is away.
    assert!((0..4).any(is_served), "no turn was served");
}
