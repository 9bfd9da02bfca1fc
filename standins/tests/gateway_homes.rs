//! Tests the home gateways of budget partitions: programs begin without the store, and the loss of a
//! home gives no program more than its budget.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use standins::platform_backend::{PlatformBackend, body_text};
use standins::platform_caller::{CallerRequest, exchange};
use standins::platform_run::{PlatformRun, RunningGateway, wait_until};
use standins::platform_store::StoreMode;

const BUDGET_TOKENS: u64 = 400;
const TURN_TOKENS: u64 = 40;
const TURN_LIMIT_TOKENS: u64 = 50;

/// Starts gateways and waits until each partition has a home.
fn run(gateways: usize) -> PlatformRun {
    let run = PlatformRun::start(gateways).expect("a platform run");
    wait_until(|| home_record_count(&run) == 96).expect("homes of all partitions");
    run
}

/// Counts the records of home gateways in the store.
fn home_record_count(run: &PlatformRun) -> usize {
    let keys = run.store.keys("keyed.budgets");
    keys.iter().filter(|key| key.starts_with("home/")).count()
}

/// Makes the store unresponsive for all gateways.
fn silence_store(run: &PlatformRun) {
    for door in &run.store_endpoints {
        door.set_mode(StoreMode::Silent);
    }
}

/// Terminates the first gateway while the store is unavailable, so that its state in memory is
/// lost; then makes the store available to the other one.
fn lose_first_gateway(run: &mut PlatformRun) {
    silence_store(run);
    drop(run.gateways.remove(0));
    run.store_endpoints.remove(0);
    run.store_endpoints[0].set_mode(StoreMode::Serving);
}

/// Returns the largest number of partitions that one process is the home of.
fn max_partitions_per_home(run: &PlatformRun) -> usize {
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
    turn_with_budget(run, gateway, program, id, BUDGET_TOKENS)
}

/// Sends a turn of 40 tokens of a program with this budget.
fn turn_with_budget(
    run: &PlatformRun,
    gateway: usize,
    program: &str,
    id: &str,
    budget: u64,
) -> u16 {
    let turn = CallerRequest::turn("/draft/1", id, program, id);
    let turn = turn.with("Token-Budget", &budget.to_string());
    turn.send(run.callers(gateway)).expect("a response").status
}

/// Sends turns until one is refused; returns how many were served.
fn serve_until_exhausted(run: &PlatformRun, gateway: usize, program: &str) -> u64 {
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

/// A program begins at any gateway without a write to the store: the home of its partition grants a
/// standing slice from memory.
#[test]
fn a_program_begins_without_a_call_to_the_store() {
    let run = run(2);
    let appends = || run.store.calls("/clementinepick/log-append");
    let calls = |purpose: &str| {
        let gateways = run.gateways.iter();
        let counts = gateways.map(|gateway| count_store_calls(gateway, purpose));
        counts.sum::<u64>()
    };
    // What is written behind the turns, which do not wait for it.
    let records = || [calls("record_requests"), calls("origins")];
    let (before, [requests_before, origins_before]) = (appends(), records());
    for number in 0..20 {
        let program = format!("p{number}");
        assert_eq!(turn(&run, number % 2, &program, &program), 200);
    }
    let made = appends() - before;
    let [requests, origins] = records();
    let (requests, origins) = (requests - requests_before, origins - origins_before);
    assert!(requests <= 20, "{requests} records of running turns");
    assert!(origins <= 20, "{origins} records of origins");
    // Each process may renew its own entry meanwhile.
    assert!(
        made <= requests + origins + 2,
        "{made} appends, {requests} and {origins} of them records"
    );
}

/// Guards against turns that wait until it is recorded that they run.
#[test]
fn a_turn_does_not_wait_for_its_record() {
    let run = run(2);
    run.store.set_delay(Duration::from_millis(400));
    for number in 0..6 {
        let program = format!("p{number}");
        let started_at = Instant::now();
        assert_eq!(turn(&run, number % 2, &program, &program), 200);
        let took = started_at.elapsed();
        assert!(took < Duration::from_millis(300), "served after {took:?}");
    }
}

/// While the store is unavailable, new programs begin at both gateways and get 503 once their
/// standing slices, a quarter of the budget, are exhausted.
#[test]
fn programs_begin_while_the_store_is_unavailable() {
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

/// While the store is unavailable, a turn that names 50 tokens runs on the remaining 45, since the
/// turns before it needed 40. Otherwise the third turn would be refused.
#[test]
fn a_turn_runs_on_what_is_left_while_the_store_is_away() {
    let run = run(2);
    silence_store(&run);
    for program in ["p0", "p1", "p2", "p3"] {
        let turn = |number: u64| {
            let id = format!("{program}-{number}");
            turn_with_budget(&run, 0, program, &id, 500)
        };
        assert_eq!([turn(0), turn(1)], [200, 200], "{program}");
        // Unused tokens return to the home shortly after a turn ends.
        wait_until(|| turn(2) == 200).expect("a turn on the remaining tokens");
        assert_eq!(turn(3), 503, "{program}");
    }
}

/// A quarter of 100 tokens is less than the 50 that a turn names. The first turn runs all the same,
/// on the one turn by which a budget may be exceeded; otherwise it would be refused until the store
/// is available.
#[test]
fn programs_with_small_budgets_begin_while_the_store_is_away() {
    let run = run(2);
    silence_store(&run);
    for number in 0..6 {
        let program = format!("p{number}");
        let status = turn_with_budget(&run, number % 2, &program, &program, 100);
        assert_eq!(status, 200, "{program}");
    }
}

/// All gateways together exceed a small budget by less than one turn, also when the gateway that
/// admitted the program is lost.
#[test]
fn a_small_budget_is_exceeded_by_less_than_a_turn() {
    let mut run = run(2);
    let serve = |run: &PlatformRun, gateway: usize, program: &str| {
        let mut served = 0;
        while served < 10 {
            let id = format!("{program}-{gateway}-{served}");
            if turn_with_budget(run, gateway, program, &id, 100) != 200 {
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
            turn_with_budget(&run, 1, program, &format!("{program}-first"), 100),
            200
        );
    }
    lose_first_gateway(&mut run);
    wait_until(|| turn(&run, 0, "probe", "probe") == 200).expect("the store is available again");
    for program in ["p2", "p3", "p4", "p5"] {
        let served = 1 + serve(&run, 0, program);
        assert!(
            served * TURN_TOKENS < 100 + TURN_LIMIT_TOKENS,
            "{program}: {served} turns"
        );
    }
}

/// The home reserves the next slice before a turn asks for it, here with four fifths of the
/// standing slice used, so that the program continues when the store becomes unavailable. Otherwise
/// its next turn would be refused.
#[test]
fn a_program_continues_on_a_slice_reserved_ahead() {
    let run = run(2);
    for turn_number in 0..2 {
        assert_eq!(turn(&run, 0, "p0", &format!("p0-{turn_number}")), 200);
    }
    let has_slice = || {
        let keys = run.store.keys("keyed.budgets");
        keys.iter().any(|key| key.starts_with("slice/p0/"))
    };
    wait_until(has_slice).expect("a slice reserved ahead of demand");
    silence_store(&run);
    for turn_number in 2..4 {
        let id = format!("p0-{turn_number}");
        assert_eq!(turn(&run, 1, "p0", &id), 200, "{id}");
    }
}

/// A turn names 50 tokens and uses 40. A gateway that is not the home returns the rest, so that the
/// program gets all of its budget.
#[test]
fn unused_tokens_return_to_the_home() {
    let run = run(2);
    for number in 0..4 {
        let program = format!("p{number}");
        let served = serve_until_exhausted(&run, number % 2, &program);
        assert!((9..=11).contains(&served), "{program}: {served} turns");
    }
}

/// A home that shuts down gracefully records the usage of its standing slices: programs get the
/// rest of their budgets at the other gateway, and no more.
#[test]
fn a_graceful_shutdown_of_a_home_loses_no_budget() {
    let mut run = run(2);
    let programs: Vec<String> = (0..6).map(|number| format!("p{number}")).collect();
    for program in &programs {
        assert_eq!(turn(&run, 1, program, &format!("{program}-first")), 200);
    }
    drop(run.gateways.remove(0));
    run.store_endpoints.remove(0);
    assert!(
        home_record_count(&run) < 96,
        "the home's records remain after its shutdown"
    );
    for program in &programs {
        let served = 1 + serve_until_exhausted(&run, 0, program);
        assert!((9..=11).contains(&served), "{program}: {served} turns");
    }
}

/// A home that is lost with its memory cannot record usage. Its standing slices count as used in
/// full, so that programs continue with the rest and exceed no budget.
#[test]
fn the_loss_of_a_home_lets_no_program_exceed_its_budget() {
    let mut run = run(2);
    let programs: Vec<String> = (0..6).map(|number| format!("p{number}")).collect();
    for program in &programs {
        assert_eq!(turn(&run, 1, program, &format!("{program}-first")), 200);
    }
    lose_first_gateway(&mut run);
    wait_until(|| turn(&run, 0, "probe", "probe") == 200).expect("the store is available again");
    assert_eq!(
        home_record_count(&run),
        96,
        "the lost home's records are missing"
    );
    for program in &programs {
        let served = 1 + serve_until_exhausted(&run, 0, program);
        assert!(
            served * TURN_TOKENS < BUDGET_TOKENS + TURN_LIMIT_TOKENS,
            "{program}: {served} turns"
        );
        assert!(served >= 7, "{program}: only {served} turns");
    }
}

/// The entry of a lost gateway stays in the store for a minute. The other gateway, whose calls it
/// no longer answers, takes over its partitions within seconds; otherwise half of the new programs
/// would be refused when the store becomes unavailable.
#[test]
fn a_lost_home_is_replaced_before_its_entry_ends() {
    let mut run = run(2);
    lose_first_gateway(&mut run);
    let number = Cell::new(0);
    wait_until(|| {
        number.set(number.get() + 1);
        let program = format!("probe{}", number.get());
        turn(&run, 0, &program, &program);
        max_partitions_per_home(&run) == 96
    })
    .expect("new homes of the lost gateway's partitions");
    run.store_endpoints[0].set_mode(StoreMode::Silent);
    for number in 0..12 {
        let program = format!("p{number}");
        assert_eq!(turn(&run, 0, &program, &program), 200, "{program}");
    }
}

/// Turns of a program alternate between two gateways. Each gets the previous turn from the memory
/// of the other through the home, without a read from the store.
#[test]
fn a_turn_from_another_gateway_needs_no_call_to_the_store() {
    let run = run(2);
    let reads = || {
        let gateways = run.gateways.iter();
        let of_gateway = |gateway: &RunningGateway| {
            count_store_calls(gateway, "read_turn") + count_store_calls(gateway, "read_slices")
        };
        gateways.map(of_gateway).sum::<u64>()
    };
    let before = reads();
    let mut previous: Option<String> = None;
    for number in 0..6 {
        let id = format!("t{number}");
        let turn = CallerRequest::turn("/chat/1", &id, "p", &id).with("Token-Budget", "400");
        let turn = match &previous {
            Some(previous) => turn.with("Previous-Turn", previous),
            None => turn,
        };
        let response = turn.send(run.callers(number % 2)).expect("a response");
        assert_eq!(response.status, 200);
        previous = Some(id);
    }
    let mut executions = run.engines.iter().flat_map(PlatformBackend::executions);
    let last = executions.find(|execution| execution.id == "t5");
    let prompt = body_text(&last.expect("the last turn ran").request.body);
    assert!(prompt.starts_with("t0t0-1\n"), "{prompt}");
    assert!(prompt.ends_with("t4-4\nt5"), "{prompt}");
    assert_eq!(reads(), before, "reads of turns and slices");
}

/// Returns the number of calls to the store that a gateway has made for a purpose.
fn count_store_calls(gateway: &RunningGateway, purpose: &str) -> u64 {
    let metrics = gateway.addresses.metrics.expect("an address");
    let request = b"GET /metrics HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
    let text = exchange(metrics, request).expect("metrics").body;
    let label = format!("purpose=\"{purpose}\"");
    let calls = text.lines().filter(|line| {
        line.starts_with("clementinepick_store_calls_total{") && line.contains(&label)
    });
    let counts = calls.filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok());
    counts.sum()
}
