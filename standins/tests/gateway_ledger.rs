//! Tests that budgets and turns in the store survive the loss of gateways and faults of the store.

use std::thread;
use std::time::Duration;

use standins::platform_backend::{PlatformBackend, body_text};
use standins::platform_caller::{CallerRequest, CallerResponse, exchange};
use standins::platform_run::{PlatformRun, config, wait_until};
use standins::platform_store::{AppendFault, StoreMode};

fn run(gateways: usize) -> PlatformRun {
    PlatformRun::start(gateways).expect("a platform run")
}

/// Sends a turn of a program with a budget of 400 tokens; a turn uses 40 and names a limit of 50.
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
    turn.send(run.callers(gateway)).expect("a response")
}

/// Returns the prompt that the engines got for a turn, or an empty text if it has not run.
fn prompt(run: &PlatformRun, id: &str) -> String {
    let executions = run.engines.iter().flat_map(PlatformBackend::executions);
    let executions = executions.filter(|execution| execution.id == id);
    executions
        .map(|execution| body_text(&execution.request.body))
        .next()
        .unwrap_or_default()
}

/// Returns the number of slices in the store, which keeps the homes of programs in the same topic.
fn slice_count(run: &PlatformRun) -> usize {
    let keys = run.store.keys("keyed.budgets");
    let slices = keys.iter().filter(|key| !key.starts_with("home/"));
    slices.count()
}

/// After the loss of a gateway, another one reads the turn chain from the store and gives the
/// engine the same prompt.
#[test]
fn a_turn_chain_survives_the_loss_of_its_gateway() {
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

/// All gateways together exceed a budget by at most one turn, and a turn refused with 402 has not
/// run.
#[test]
fn a_budget_holds_across_all_gateways() {
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
    assert!(refused > 0, "the budget was never exhausted");
    assert!(served * 40 <= 400 + 50, "{served} turns of 40 tokens");
    assert!(served * 40 >= 300, "only {served} turns of 40 tokens");
}

/// Usage outlives all gateways: a program with an exhausted budget is refused after a restart as
/// well.
#[test]
fn an_exhausted_budget_stays_exhausted_after_a_restart() {
    let mut run = run(1);
    let mut number = 0;
    while turn(&run, 0, "/draft/1", &format!("t{number}"), None).status == 200 {
        number += 1;
    }
    run.gateways.clear();
    run.add_gateway().expect("a gateway");
    assert_eq!(turn(&run, 0, "/draft/1", "late", None).status, 402);
}

/// An unknown previous turn gets 404. While the store is unavailable, its existence is undecided
/// and the response is 503.
#[test]
fn an_unknown_turn_gets_404_only_while_the_store_is_available() {
    let run = run(1);
    assert_eq!(turn(&run, 0, "/chat/1", "t1", Some("never")).status, 404);
    run.store_endpoints[0].set_mode(StoreMode::Busy);
    let response = turn(&run, 0, "/chat/1", "t2", Some("never"));
    assert_eq!(response.status, 503);
    assert!(response.headers.contains_key("retry-after"));
}

/// A complete response promises that a later turn can continue from this one. While the store is
/// unavailable, the caller gets all events but no end; the turn succeeds when sent again later.
#[test]
fn the_end_of_a_turn_waits_for_its_record() {
    let run = run(1);
    assert_eq!(turn(&run, 0, "/chat/1", "t1", None).status, 200);
    run.store_endpoints[0].set_mode(StoreMode::Silent);
    let response = turn(&run, 0, "/chat/1", "t2", Some("t1"));
    assert_eq!((response.status, response.is_complete), (200, false));
    assert_eq!(response.body.matches("data:").count(), 4);
    run.store_endpoints[0].set_mode(StoreMode::Serving);
    let response = turn(&run, 0, "/chat/1", "t3", Some("t1"));
    assert_eq!((response.status, response.is_complete), (200, true));
}

/// An append whose response is lost, or which is applied only seconds later, is repeated without a
/// duplicate: there is one slice and no turn is refused.
#[test]
fn a_repeated_append_is_idempotent() {
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
    let slices = slice_count(&run);
    assert_eq!(slices, 1, "one slice of 100 tokens holds both turns");
}

/// A gateway that cannot reach the store makes its calls through a peer; otherwise all of its turns
/// would be refused.
#[test]
fn a_peer_relays_calls_to_an_unreachable_store() {
    let run = run(2);
    for mode in [StoreMode::Busy, StoreMode::Reset, StoreMode::Silent] {
        run.store_endpoints[1].set_mode(mode);
        let id = format!("t-{mode:?}");
        let response = turn(&run, 1, "/chat/1", &id, None);
        assert_eq!(
            (response.status, response.is_complete),
            (200, true),
            "{mode:?}"
        );
    }
}

/// When the store truncates its history, reading from an offset fails, but the newest record of
/// each key remains: budgets and turn chains are still found.
#[test]
fn truncated_history_of_the_store_loses_no_turn() {
    let run = run(2);
    run.store.set_page_items(1);
    assert_eq!(turn(&run, 0, "/chat/1", "t1", None).status, 200);
    run.store.discard_history();
    assert_eq!(turn(&run, 1, "/chat/1", "t2", Some("t1")).status, 200);
    assert!(prompt(&run, "t2").starts_with("t1t1-1\n"));
    let slices = slice_count(&run);
    assert_eq!(slices, 2, "a slice of each gateway");
}

/// A turn larger than the record limit of the store is split into parts, which another gateway
/// reassembles.
#[test]
fn a_large_turn_is_stored_in_parts() {
    let run = run(2);
    let input = "y".repeat(90_000);
    let long = CallerRequest::turn("/chat/1", "t1", "p1", &input);
    assert_eq!(long.send(run.callers(0)).expect("a response").status, 200);
    assert_eq!(turn(&run, 1, "/chat/1", "t2", Some("t1")).status, 200);
    assert!(prompt(&run, "t2").starts_with(&input));
    assert!(
        run.store.keys("keyed.turns").len() > 1,
        "kept in one record"
    );
}

#[test]
fn a_slow_store_causes_no_refusals() {
    let run = run(1);
    run.store.set_delay(Duration::from_millis(120));
    for number in 0..4 {
        let id = format!("t{number}");
        let response = turn(&run, 0, "/chat/1", &id, None);
        assert_eq!((response.status, response.is_complete), (200, true));
    }
}

/// A gateway borrows the unused budget that another holds; the program is refused only when its
/// budget is exhausted.
#[test]
fn a_gateway_borrows_unused_budget_from_another() {
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

/// While the store is unavailable, a gateway without a slice of the program borrows from the one
/// that has it, and the turn is served.
#[test]
fn a_program_goes_on_elsewhere_while_the_store_is_away() {
    let run = run(2);
    assert_eq!(turn(&run, 0, "/draft/1", "t1", None).status, 200);
    for door in &run.store_endpoints {
        door.set_mode(StoreMode::Busy);
    }
    let is_served =
        |number: u32| turn(&run, 1, "/draft/1", &format!("u{number}"), None).status == 200;
    // The first attempts detect that the store is unavailable.
    assert!((0..4).any(is_served), "no turn was served");
}

/// Guards against a stream that is cut because the store is silent for seconds while the stream
/// needs more tokens, although its deadline is later.
#[test]
fn a_stream_that_needs_more_tokens_waits_for_a_silent_store() {
    let run = run(1);
    let patient = config(2).replace(r#""TimeoutMs":2000"#, r#""TimeoutMs":9000"#);
    run.store.put("keyed.op", "config", &patient);
    wait_until(|| state(&run).contains("\"config_version\":2,")).expect("the configuration in use");
    set_events(&run, 1);
    assert_eq!(turn(&run, 0, "/draft/1", "t0", None).status, 200);
    run.store_endpoints[0].set_mode(StoreMode::Silent);
    // Each turn uses 10 of the 100 tokens that are held; less than a turn's maximum is left.
    for number in 1..6 {
        let id = format!("t{number}");
        assert_eq!(turn(&run, 0, "/draft/1", &id, None).status, 200);
    }
    let other = CallerRequest::turn("/draft/1", "other", "p2", "x").with("Token-Budget", "400");
    let refused = other.send(run.callers(0)).expect("a response");
    assert_eq!(refused.status, 503, "the store is available");
    set_events(&run, 5);
    let response = thread::scope(|scope| {
        let caller = scope.spawn(|| turn(&run, 0, "/draft/1", "last", None));
        thread::sleep(Duration::from_secs(4));
        run.store_endpoints[0].set_mode(StoreMode::Serving);
        caller.join().expect("no panic")
    });
    assert!(response.body.contains("data:"), "not begun: {response:?}");
    assert!(response.is_complete, "{response:?}");
    assert_eq!(response.body.matches("data:").count(), 5);
}

fn set_events(run: &PlatformRun, events: u64) {
    for engine in &run.engines {
        engine.configure(|settings| settings.events = events);
    }
}

fn state(run: &PlatformRun) -> String {
    let metrics = run.gateways[0].addresses.metrics.expect("an address");
    let request = b"GET /state HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
    exchange(metrics, request).map_or(String::new(), |state| state.body)
}
