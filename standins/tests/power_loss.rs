//! Tests that a request under which servers lose power is given up after the third one, and that
//! servers which only pause lose nothing. The gateways are processes.

#[allow(dead_code, reason = "each test file uses a part")]
mod ending_run;

use std::thread::sleep;
use std::time::{Duration, Instant};

use ending_run::{BegunRequest, EndingRun, EndingSettings, Fatal, GATEWAYS, Kind};
use standins::platform_backend::ServerEnding;
use standins::platform_run::wait_until;

/// The number of servers that one request may end.
const MAX_ENDED: usize = 3;
/// The attempts of a caller that does not give up.
const ATTEMPTS: usize = 8;
/// The time from the loss of power until the server's entry is gone.
const ENTRY_LAPSE: Duration = Duration::from_secs(3);
/// The time after which all gateways know that an entry is gone.
const LIST_LAG: Duration = Duration::from_millis(1_500);
/// The limit for a refusal that needs no server; a caller's deadline is seconds away.
const PROMPT: Duration = Duration::from_millis(500);

fn power_loss(kind: Kind, events: u64) -> EndingSettings {
    EndingSettings {
        fatal: Fatal { kind, events },
        ending: ServerEnding::PowerLoss,
        restart_delay: ENTRY_LAPSE,
        ..EndingSettings::default()
    }
}

/// Sends the fatal request to the gateways in turn.
fn send_attempts(run: &mut EndingRun, count: usize) {
    for attempt in 0..count {
        run.send_fatal(attempt % GATEWAYS);
    }
}

/// Checks that all servers whose power the fatal request may cut have lost it, and that it is refused
/// at once.
fn assert_given_up(run: &mut EndingRun) {
    sleep(ENTRY_LAPSE + LIST_LAG);
    send_attempts(run, ATTEMPTS / 2);
    sleep(ENTRY_LAPSE + LIST_LAG);
    for gateway in 0..GATEWAYS {
        let sent = run.send_fatal(gateway);
        let response = sent.response.expect("a response");
        assert_eq!(response.status, 503, "{response:?}");
        assert!(response.headers.contains_key("retry-after"), "{response:?}");
        assert!(sent.took < PROMPT, "refused after {:?}", sent.took);
    }
    let ended = run.ended_servers();
    assert_eq!(ended.len(), MAX_ENDED, "{ended:?}");
}

fn check_given_up(name: &str, settings: EndingSettings) {
    let mut run = EndingRun::start(name, settings);
    send_attempts(&mut run, ATTEMPTS);
    assert_given_up(&mut run);
}

/// Guards against a draft whose servers fall silent one after the other.
#[test]
fn a_draft_whose_servers_lose_power_is_given_up() {
    check_given_up("dark-draft", power_loss(Kind::Draft, 0));
}

/// Guards against a draft whose servers fall silent after some events.
#[test]
fn a_draft_whose_servers_lose_power_after_events_is_given_up() {
    check_given_up("dark-draft-events", power_loss(Kind::Draft, 3));
}

/// Guards against a resumed draft whose servers fall silent.
#[test]
fn a_resumed_draft_whose_servers_lose_power_is_given_up() {
    let settings = EndingSettings {
        is_resuming: true,
        ..power_loss(Kind::Draft, 3)
    };
    check_given_up("dark-resumed", settings);
}

/// Guards against a turn whose servers fall silent.
#[test]
fn a_turn_whose_servers_lose_power_is_given_up() {
    check_given_up("dark-turn", power_loss(Kind::Turn, 0));
}

/// Guards against a call whose servers fall silent.
#[test]
fn a_call_whose_servers_lose_power_is_given_up() {
    check_given_up("dark-call", power_loss(Kind::Call, 0));
}

/// Guards against a booking whose servers fall silent.
#[test]
fn a_booking_whose_servers_lose_power_is_given_up() {
    check_given_up("dark-booking", power_loss(Kind::Booking, 0));
}

/// Guards against a caller that disconnects before its deadline, so that the loss is not recorded.
#[test]
fn a_request_whose_caller_leaves_silent_servers_is_given_up() {
    let mut run = EndingRun::start("dark-left", power_loss(Kind::Draft, 0));
    for attempt in 0..ATTEMPTS {
        let begun = run.begin_fatal(attempt % GATEWAYS);
        sleep(Duration::from_millis(300));
        drop(begun);
        sleep(Duration::from_millis(50));
    }
    assert_given_up(&mut run);
}

/// Guards against runs that are known only to a gateway which is killed while their servers are
/// silent.
#[test]
fn a_request_whose_gateways_are_killed_beside_silent_servers_is_given_up() {
    let mut run = EndingRun::start("dark-killed", power_loss(Kind::Draft, 0));
    for gateway in 0..GATEWAYS {
        let begun = run.begin_fatal(gateway);
        sleep(Duration::from_millis(300));
        run.gateways.processes[gateway].kill();
        drop(begun);
        run.gateways.processes[gateway]
            .restart()
            .expect("a process");
        run.gateways.wait_until_ready(gateway).expect("a gateway");
    }
    send_attempts(&mut run, ATTEMPTS);
    assert_given_up(&mut run);
}

/// Guards against refusing requests that ran beside the one whose servers lose power.
#[test]
fn requests_beside_servers_that_lose_power_are_served() {
    let settings = EndingSettings {
        end_delay: Duration::from_millis(50),
        ..power_loss(Kind::Draft, 3)
    };
    let mut run = EndingRun::start("dark-beside", settings);
    run.slow_down();
    let begun: Vec<BegunRequest> = (0..24).map(|number| run.begin_beside(number)).collect();
    for request in &begun {
        run.wait_until_executed(request);
    }
    send_attempts(&mut run, ATTEMPTS);
    for request in begun {
        let id = request.id.clone();
        assert!(run.is_served(request), "{id} was not served");
    }
    let ended = run.ended_servers();
    assert!(ended.len() <= MAX_ENDED, "{ended:?}");
}

/// Guards against cutting or refusing requests at servers that pause and go on.
#[test]
fn requests_at_servers_that_pause_are_served() {
    const PAUSE: Duration = Duration::from_millis(800);
    let run = EndingRun::start("paused", EndingSettings::default());
    run.slow_down();
    let begun: Vec<BegunRequest> = (0..24).map(|number| run.begin_beside(number)).collect();
    for request in &begun {
        run.wait_until_executed(request);
    }
    run.suspend_servers(6, PAUSE);
    for request in begun {
        let id = request.id.clone();
        assert!(run.is_served(request), "{id} was not served");
    }
}

/// Guards against refusing a request for longer than the servers pause that have run it.
#[test]
fn a_request_that_many_servers_paused_under_is_served_after_the_pause() {
    const PAUSE: Duration = Duration::from_secs(5);
    let run = EndingRun::start("paused-long", EndingSettings::default());
    let started_at = Instant::now();
    run.suspend_servers(6, PAUSE);
    let is_served = |gateway| {
        let response = run.send_beside(Kind::Draft, gateway, "paused");
        response.is_ok_and(|response| response.status == 200 && response.is_complete)
    };
    let mut attempts = 0;
    while started_at.elapsed() < PAUSE {
        assert!(!is_served(attempts % GATEWAYS) || started_at.elapsed() >= PAUSE);
        attempts += 1;
        sleep(Duration::from_millis(50));
    }
    for gateway in 0..GATEWAYS {
        wait_until(|| is_served(gateway)).expect("a served request");
    }
    let took = started_at.elapsed();
    assert!(
        took < PAUSE + Duration::from_secs(1),
        "served after {took:?}"
    );
}
