//! Tests chains and budgets of programs whose turns run on routes with different retentions.

use std::thread::sleep;
use std::time::Duration;

use standins::platform_caller::CallerRequest;
use standins::platform_run::{HOST, PlatformRun, config, wait_until};

/// The time after which a record of the route with the short retention is deleted: three retentions and
/// the largest difference between two clocks.
const SHORT_LIFETIME: Duration = Duration::from_millis(11_500);
/// The interval at which each partition is swept.
const SWEEP_PERIOD: Duration = Duration::from_millis(500);
/// The tokens of a turn, and the most that it may use.
const TURN_TOKENS: u64 = 40;
const TURN_LIMIT_TOKENS: u64 = 50;
/// The budget of a program.
const BUDGET_TOKENS: u64 = 400;

/// A configuration in which `/brief/` has a retention of half a second and `/chat/` one of a minute.
fn two_retentions() -> String {
    let brief = format!(
        r#""Routes":[{{"Name":"brief","Host":"{HOST}","PathPrefix":"/brief/","Kind":"streaming","TimeoutMs":2000,"TargetLatencyMs":100,"GapTargetMs":150,"Service":"models","RetainS":0.5,"Sticky":true,"Attempts":2,"KeepContext":true}},"#
    );
    config(2).replace(r#""Routes":["#, &brief)
}

fn add_gateway(run: &mut PlatformRun) {
    let added = run.add_gateway_with(|settings| {
        settings.ledger.budget_topics = 1;
        settings.ledger.turn_topics = 1;
        settings.ledger.partitions = 1;
        settings.ledger.sweep_period = SWEEP_PERIOD;
    });
    added.expect("a gateway");
}

fn start() -> PlatformRun {
    let mut run = PlatformRun::start(0).expect("a platform run");
    run.store.put("keyed.op", "config", &two_retentions());
    add_gateway(&mut run);
    run
}

/// Replaces all gateways by one that knows what the store has.
fn restart(run: &mut PlatformRun) {
    run.gateways.clear();
    add_gateway(run);
}

fn turn(run: &PlatformRun, path: &str, id: &str, previous: Option<&str>) -> u16 {
    let turn = CallerRequest::turn(path, id, "p1", id);
    let turn = turn.with("Token-Budget", &BUDGET_TOKENS.to_string());
    let turn = match previous {
        Some(previous) => turn.with("Previous-Turn", previous),
        None => turn,
    };
    turn.send(run.callers(0)).expect("a response").status
}

/// Guards against a turn that can't be continued, since the record of its predecessor has a shorter
/// retention.
#[test]
fn a_turn_is_retained_with_a_predecessor_of_a_shorter_retention() {
    let mut run = start();
    assert_eq!(turn(&run, "/brief/1", "t1", None), 200);
    assert_eq!(turn(&run, "/chat/1", "t2", Some("t1")), 200);
    sleep(SHORT_LIFETIME);
    let is_swept = || run.store.keys("keyed.turns") == ["t2"];
    wait_until(is_swept).expect("the first turn is deleted");
    restart(&mut run);
    assert_eq!(turn(&run, "/chat/1", "t3", Some("t2")), 200);
}

/// Guards against a budget that is granted again, since the program's records have the retention of its
/// first route.
#[test]
fn a_budget_is_retained_as_long_as_the_longest_route_of_its_program_asks() {
    let mut run = start();
    let mut served = 0;
    // Some of them need a slice from the store.
    for number in 0..7 {
        assert_eq!(turn(&run, "/brief/1", &format!("b{number}"), None), 200);
        served += 1;
    }
    assert_eq!(turn(&run, "/chat/1", "c", None), 200);
    served += 1;
    sleep(SHORT_LIFETIME + 2 * SWEEP_PERIOD);
    restart(&mut run);
    while turn(&run, "/chat/1", &format!("d{served}"), None) == 200 {
        served += 1;
        assert!(
            served * TURN_TOKENS < BUDGET_TOKENS + TURN_LIMIT_TOKENS,
            "{served} turns"
        );
    }
}
