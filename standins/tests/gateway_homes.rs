//! Homes of partitions of budgets: programs begin without the store, and no loss of a home gives a
//! program more than its budget.

use std::cell::Cell;
use std::collections::BTreeMap;

use standins::platform_backend::{PlatformBackend, body_text};
use standins::platform_caller::CallerRequest;
use standins::platform_run::{PlatformRun, wait_until};
use standins::platform_store::StoreMode;

const BUDGET: u64 = 400;
const TURN: u64 = 40;
const MOST: u64 = 50;

/// Starts gateways and waits until each partition has a home.
fn run(gateways: usize) -> PlatformRun {
    let run = PlatformRun::start(gateways).expect("a run");
    wait_until(|| homes(&run) == 96).expect("homes of all partitions");
    run
}

fn homes(run: &PlatformRun) -> usize {
    let keys = run.store.keys("keyed.budgets");
    keys.iter().filter(|key| key.starts_with("home/")).count()
}

/// Lets the store fall silent for all gateways.
fn silence_store(run: &PlatformRun) {
    for door in &run.store_endpoints {
        door.set_mode(StoreMode::Silent);
    }
}

/// Ends the first gateway with what it has in memory: while the store is away for all, a process that
/// ends is as good as lost. The store answers the other one after that.
fn lose_first(run: &mut PlatformRun) {
    silence_store(run);
    drop(run.gateways.remove(0));
    run.store_endpoints.remove(0);
    run.store_endpoints[0].set_mode(StoreMode::Serving);
}

/// The partitions of the process that is the home of most.
fn most_homes_of_one(run: &PlatformRun) -> usize {
    let keys = run.store.keys("keyed.budgets");
    let writers = keys.iter().filter_map(|key| key.strip_prefix("home/"));
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for writer in writers.filter_map(|key| Some(key.split_once('/')?.0)) {
        *counts.entry(writer).or_default() += 1;
    }
    counts.into_values().max().unwrap_or(0)
}

/// Sends a turn of 40 tokens of a program with a budget of 400.
fn turn(run: &PlatformRun, gateway: usize, program: &str, id: &str) -> u16 {
    turn_within(run, gateway, program, id, BUDGET)
}

/// Sends a turn of 40 tokens of a program with this budget.
fn turn_within(run: &PlatformRun, gateway: usize, program: &str, id: &str, budget: u64) -> u16 {
    let turn = CallerRequest::turn("/draft/1", id, program, id);
    let turn = turn.with("Token-Budget", &budget.to_string());
    turn.send(run.callers(gateway)).expect("an answer").status
}

/// Sends turns until one is refused; how many were served.
fn serve_all(run: &PlatformRun, gateway: usize, program: &str) -> u64 {
    let mut served = 0;
    loop {
        let id = format!("{program}-{gateway}-{served}");
        match turn(run, gateway, program, &id) {
            200 => served += 1,
            402 => return served,
            status => panic!("status {status}"),
        }
    }
}

/// Programs begin at any gateway, the home of their partitions or not, without a write to the
/// store: the home gives them standing slices from its memory.
#[test]
fn a_program_begins_without_a_call_to_the_store() {
    let run = run(2);
    let appends = || run.store.calls("/clementinepick/log-append");
    let before = appends();
    for number in 0..20 {
        let program = format!("p{number}");
        assert_eq!(turn(&run, number % 2, &program, &program), 200);
    }
    // Each process may write its own entry meanwhile.
    assert!(appends() <= before + 2, "{} appends", appends() - before);
}

/// The store falls silent for all gateways. Programs that nobody has seen before begin at once, at
/// both gateways, and are told to come back when their standing slices are used up: a quarter of the
/// budget, which is two turns.
#[test]
fn programs_begin_while_the_store_is_away() {
    let run = run(2);
    silence_store(&run);
    for number in 0..6 {
        let program = format!("p{number}");
        for turn_number in 0..2 {
            let id = format!("{program}-{turn_number}");
            assert_eq!(turn(&run, number % 2, &program, &id), 200, "{id}");
        }
    }
    assert_eq!(turn(&run, 0, "p0", "p0-2"), 503);
}

/// The store falls silent for all gateways. Two turns of a program have left 45 tokens of its standing
/// slice; the next names 50 and runs all the same, since turns needed 40 so far. Then 5 are left, and the
/// program is told to come back. Without that, already its third turn is refused.
#[test]
fn a_turn_runs_on_what_is_left_while_the_store_is_away() {
    let run = run(2);
    silence_store(&run);
    for program in ["p0", "p1", "p2", "p3"] {
        let turn = |number: u64| {
            let id = format!("{program}-{number}");
            turn_within(&run, 0, program, &id, 500)
        };
        assert_eq!([turn(0), turn(1)], [200, 200], "{program}");
        // What the turns before did not need comes back to the home a moment after their ends.
        wait_until(|| turn(2) == 200).expect("a turn on what is left");
        assert_eq!(turn(3), 503, "{program}");
    }
}

/// While the store is silent for all, programs begin whose budgets are small: a quarter of 100 tokens is
/// less than the 50 that a turn names. Their first turns run all the same, on the turn that the budget
/// allows beyond itself; without that, each of them is refused until the store is back.
#[test]
fn programs_with_small_budgets_begin_while_the_store_is_away() {
    let run = run(2);
    silence_store(&run);
    for number in 0..6 {
        let program = format!("p{number}");
        let status = turn_within(&run, number % 2, &program, &program, 100);
        assert_eq!(status, 200, "{program}");
    }
}

/// However small a budget is, all gateways together serve no more than it and one turn, also when the
/// gateway is lost that let the program begin.
#[test]
fn a_small_budget_is_exceeded_by_less_than_a_turn() {
    let mut run = run(2);
    let serve = |run: &PlatformRun, gateway: usize, program: &str| {
        let mut served = 0;
        while served < 10 {
            let id = format!("{program}-{gateway}-{served}");
            if turn_within(run, gateway, program, &id, 100) != 200 {
                break;
            }
            served += 1;
        }
        served
    };
    for program in ["p0", "p1"] {
        let served = serve(&run, 0, program) + serve(&run, 1, program);
        assert!((2..=3).contains(&served), "{program}: {served} turns");
    }
    for program in ["p2", "p3", "p4", "p5"] {
        assert_eq!(
            turn_within(&run, 1, program, &format!("{program}-first"), 100),
            200
        );
    }
    lose_first(&mut run);
    wait_until(|| turn(&run, 0, "probe", "probe") == 200).expect("the store is back");
    for program in ["p2", "p3", "p4", "p5"] {
        let served = 1 + serve(&run, 0, program);
        assert!(served * TURN < 100 + MOST, "{program}: {served} turns");
    }
}

/// A program has used its standing slice, four fifths of it, when the store falls silent for all. Its
/// home has reserved the next slice by then, though no turn has asked for it, and the program goes on
/// for two more turns; without that, its next turn is refused until the store is back.
#[test]
fn a_program_goes_on_with_what_was_reserved_ahead() {
    let run = run(2);
    for turn_number in 0..2 {
        assert_eq!(turn(&run, 0, "p0", &format!("p0-{turn_number}")), 200);
    }
    let has_slice = || {
        let keys = run.store.keys("keyed.budgets");
        keys.iter().any(|key| key.starts_with("p0/"))
    };
    wait_until(has_slice).expect("a slice that no turn has asked for");
    silence_store(&run);
    for turn_number in 2..4 {
        let id = format!("p0-{turn_number}");
        assert_eq!(turn(&run, 1, "p0", &id), 200, "{id}");
    }
}

/// A turn names 50 tokens and needs 40. At a gateway that is not the home, the rest goes back, so
/// that the program gets all of its budget, turn after turn.
#[test]
fn what_a_turn_does_not_need_goes_back_to_the_home() {
    let run = run(2);
    for number in 0..4 {
        let program = format!("p{number}");
        let served = serve_all(&run, number % 2, &program);
        assert!((9..=11).contains(&served), "{program}: {served} turns");
    }
}

/// One of two gateways ends as planned, in the middle of programs. What was used of its standing
/// slices is recorded: the programs get the rest of their budgets at the other one, and no more.
#[test]
fn a_planned_end_of_a_home_costs_programs_nothing() {
    let mut run = run(2);
    let programs: Vec<String> = (0..6).map(|number| format!("p{number}")).collect();
    for program in &programs {
        assert_eq!(turn(&run, 1, program, &format!("{program}-first")), 200);
    }
    drop(run.gateways.remove(0));
    run.store_endpoints.remove(0);
    assert!(homes(&run) < 96, "the home's records are gone");
    for program in &programs {
        let served = 1 + serve_all(&run, 0, program);
        assert!((9..=11).contains(&served), "{program}: {served} turns");
    }
}

/// A home is lost with its memory while programs are under way: it can't record what it gave them.
/// Its standing slices count as used; programs go on with the rest, and exceed no budget.
#[test]
fn the_loss_of_a_home_gives_nobody_more_than_the_budget() {
    let mut run = run(2);
    let programs: Vec<String> = (0..6).map(|number| format!("p{number}")).collect();
    for program in &programs {
        assert_eq!(turn(&run, 1, program, &format!("{program}-first")), 200);
    }
    lose_first(&mut run);
    wait_until(|| turn(&run, 0, "probe", "probe") == 200).expect("the store is back");
    assert_eq!(homes(&run), 96, "the home's records are there");
    for program in &programs {
        let served = 1 + serve_all(&run, 0, program);
        assert!(served * TURN < BUDGET + MOST, "{program}: {served} turns");
        assert!(served >= 7, "{program}: only {served} turns");
    }
}

/// One of two gateways is lost with its memory, and its entry in the store outlives it by a minute. The
/// other one, whose calls it no longer answers, takes its place within seconds, so that all programs
/// begin when the store falls silent later; without that, half of them are refused.
#[test]
fn a_lost_home_is_replaced_before_its_entry_ends() {
    let mut run = run(2);
    lose_first(&mut run);
    let number = Cell::new(0);
    wait_until(|| {
        number.set(number.get() + 1);
        let program = format!("probe{}", number.get());
        turn(&run, 0, &program, &program);
        most_homes_of_one(&run) == 96
    })
    .expect("new homes of the lost gateway's partitions");
    run.store_endpoints[0].set_mode(StoreMode::Silent);
    for number in 0..12 {
        let program = format!("p{number}");
        assert_eq!(turn(&run, 0, &program, &program), 200, "{program}");
    }
}

/// A program's turns come to two gateways in turn. Each has the turn before from the other one's
/// memory, through the home that knows who ran it, and gives the engine the whole prompt; the store
/// is read for none of them.
#[test]
fn a_turn_from_another_gateway_needs_no_call_to_the_store() {
    let run = run(2);
    let reads = || run.store.calls("/clementinepick/log-newest");
    let before = reads();
    let mut previous: Option<String> = None;
    for number in 0..6 {
        let id = format!("t{number}");
        let turn = CallerRequest::turn("/chat/1", &id, "p", &id).with("Token-Budget", "400");
        let turn = match &previous {
            Some(previous) => turn.with("Previous-Turn", previous),
            None => turn,
        };
        let answer = turn.send(run.callers(number % 2)).expect("an answer");
        assert_eq!(answer.status, 200);
        previous = Some(id);
    }
    let mut ran = run.engines.iter().flat_map(PlatformBackend::executions);
    let last = ran.find(|execution| execution.id == "t5");
    let prompt = body_text(&last.expect("the last turn ran").request.body);
    assert!(prompt.starts_with("t0t0-1\n"), "{prompt}");
    assert!(prompt.ends_with("t4-4\nt5"), "{prompt}");
    // The lists are read whole now and then, and old records are looked for.
    assert!(reads() <= before + 3, "{} reads", reads() - before);
}
