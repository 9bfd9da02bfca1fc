//! Tests that a request which ends servers is given up although all gateways are killed at once. The
//! gateways are processes.

#[allow(dead_code, reason = "each test file uses a part")]
mod ending_run;

use std::thread::sleep;
use std::time::Duration;

use ending_run::{EndingRun, EndingSettings, Fatal, GATEWAYS, Kind};
use standins::platform_backend::ServerEnding;

/// The number of servers that one request may end.
const MAX_ENDED: usize = 3;
/// The attempts of a caller that does not give up.
const ATTEMPTS: usize = 8;
/// The limit for a refusal that needs no server; a caller's deadline is seconds away.
const PROMPT: Duration = Duration::from_millis(500);
/// The time in which a gateway writes what it knows to a store that is back.
const STORE_LAG: Duration = Duration::from_secs(2);

fn at_once(kind: Kind) -> EndingSettings {
    EndingSettings {
        fatal: Fatal { kind, events: 0 },
        ..EndingSettings::default()
    }
}

/// Sends the fatal request to the gateways in turn, and checks that it has ended as many servers as
/// it may and is refused at once.
fn assert_given_up(run: &mut EndingRun) {
    for attempt in 0..ATTEMPTS {
        run.send_fatal(attempt % GATEWAYS);
    }
    for gateway in 0..GATEWAYS {
        let sent = run.send_fatal(gateway);
        let response = sent.response.expect("a response");
        assert_eq!(response.status, 503, "{response:?}");
        assert!(sent.took < PROMPT, "refused after {:?}", sent.took);
    }
    let ended = run.ended_servers();
    assert_eq!(ended.len(), MAX_ENDED, "{ended:?}");
}

/// Kills all gateways after some attempts.
fn check_killed_after(name: &str, settings: EndingSettings, attempts: usize) {
    let mut run = EndingRun::start(name, settings);
    for attempt in 0..attempts {
        run.send_fatal(attempt % GATEWAYS);
    }
    run.restart_gateways();
    assert_given_up(&mut run);
}

/// Guards against a count that only processes remember, after two servers.
#[test]
fn a_draft_is_given_up_after_all_gateways_were_killed() {
    check_killed_after("all-killed-draft", at_once(Kind::Draft), 1);
}

/// Guards against a request that is given up and runs again.
#[test]
fn a_call_that_was_given_up_stays_so_after_all_gateways_were_killed() {
    check_killed_after("all-killed-call", at_once(Kind::Call), 2);
}

/// Guards against a count that only processes remember, after one server.
#[test]
fn a_booking_is_given_up_after_all_gateways_were_killed() {
    check_killed_after("all-killed-booking", at_once(Kind::Booking), 1);
}

/// Guards against gateways that are killed again before they have loaded what is known.
#[test]
fn a_request_is_given_up_after_all_gateways_were_killed_twice() {
    let mut run = EndingRun::start("killed-twice", at_once(Kind::Turn));
    run.send_fatal(0);
    run.kill_gateways();
    for process in &mut run.gateways.processes {
        process.restart().expect("a process");
    }
    sleep(Duration::from_millis(30));
    run.restart_gateways();
    assert_given_up(&mut run);
}

/// Guards against a first run whose server ends while no gateway is left that knows of it.
#[test]
fn a_first_run_counts_although_all_gateways_were_killed_in_it() {
    for kind in [Kind::Draft, Kind::Call, Kind::Booking] {
        let settings = EndingSettings {
            end_delay: Duration::from_millis(300),
            ..at_once(kind)
        };
        let mut run = EndingRun::start(&format!("first-run-{kind:?}"), settings);
        let begun = run.begin_fatal(0);
        run.wait_until_executed(&begun);
        run.kill_gateways();
        run.wait_until_ended(1);
        run.start_gateways();
        assert_given_up(&mut run);
    }
}

/// Guards against a first run whose server ends after its gateway alone was killed.
#[test]
fn a_first_run_counts_although_its_gateway_was_killed() {
    let settings = EndingSettings {
        end_delay: Duration::from_millis(300),
        ..at_once(Kind::Draft)
    };
    let mut run = EndingRun::start("first-run-gateway", settings);
    let begun = run.begin_fatal(0);
    run.wait_until_executed(&begun);
    run.gateways.processes[0].kill();
    run.wait_until_ended(1);
    for _ in 0..3 {
        run.send_fatal(1);
        run.send_fatal(2);
    }
    run.gateways.processes[0].restart().expect("a process");
    run.gateways.wait_until_ready(0).expect("a gateway");
    assert_given_up(&mut run);
}

/// Guards against silent servers that only processes remember.
#[test]
fn a_request_at_silent_servers_is_given_up_after_all_gateways_were_killed() {
    let settings = EndingSettings {
        ending: ServerEnding::PowerLoss,
        restart_delay: Duration::from_secs(3),
        ..at_once(Kind::Draft)
    };
    let mut run = EndingRun::start("all-killed-dark", settings);
    run.send_fatal(0);
    run.restart_gateways();
    for attempt in 0..ATTEMPTS {
        run.send_fatal(attempt % GATEWAYS);
    }
    sleep(Duration::from_secs(5));
    assert_given_up(&mut run);
}

/// Guards against a count that is not written because the store was unavailable at the time.
#[test]
fn a_count_outlives_all_gateways_once_the_store_was_back() {
    let mut run = EndingRun::start("store-was-away", at_once(Kind::Draft));
    run.gateways.silence_store();
    run.send_fatal(0);
    run.gateways.restore_store();
    for gateway in 0..GATEWAYS {
        run.gateways.wait_until_ready(gateway).expect("a gateway");
    }
    sleep(STORE_LAG);
    run.restart_gateways();
    assert_given_up(&mut run);
}

/// Guards against gateways that start while the store is unavailable and never load the count.
#[test]
fn a_count_is_loaded_by_gateways_that_started_without_the_store() {
    let mut run = EndingRun::start("started-without", at_once(Kind::Draft));
    run.send_fatal(0);
    run.kill_gateways();
    run.gateways.silence_store();
    for process in &mut run.gateways.processes {
        process.restart().expect("a process");
    }
    sleep(Duration::from_secs(1));
    run.gateways.restore_store();
    for gateway in 0..GATEWAYS {
        run.gateways.wait_until_ready(gateway).expect("a gateway");
    }
    assert_given_up(&mut run);
}
