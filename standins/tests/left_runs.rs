//! Tests that a request is given up whose servers end after its callers have left them, and that
//! requests of other callers that leave are served. The gateways are processes.

#[allow(dead_code, reason = "each test file uses a part")]
mod ending_run;

use std::thread::sleep;
use std::time::{Duration, Instant};

use ending_run::{EndingRun, EndingSettings, Fatal, GATEWAYS, Kind};
use standins::server_fleet::RestartId;

/// The number of servers that one request may end.
const MAX_ENDED: usize = 3;
/// The attempts of a caller that does not give up.
const ATTEMPTS: usize = 12;
/// When a caller leaves.
const CALLER_DEADLINE: Duration = Duration::from_millis(300);
/// How long a server goes on after that.
const AFTERLIFE: Duration = Duration::from_millis(300);
/// The time after which all servers have ended that are to end.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);
/// The limit for a refusal that needs no server.
const PROMPT: Duration = Duration::from_millis(500);

fn ending_later(kind: Kind, events: u64, delay: Duration) -> EndingSettings {
    EndingSettings {
        fatal: Fatal { kind, events },
        end_delay: delay,
        ..EndingSettings::default()
    }
}

/// Sends the fatal request to one gateway after the other, and leaves each after `patience`.
fn leave_attempts(run: &mut EndingRun, patience: Duration) {
    for attempt in 0..ATTEMPTS {
        let begun = run.begin_fatal(attempt % GATEWAYS);
        sleep(patience);
        drop(begun);
    }
}

fn check_given_up(name: &str, settings: EndingSettings, patience: Duration) {
    let mut run = EndingRun::start(name, settings);
    leave_attempts(&mut run, patience);
    sleep(SETTLE_TIME);
    let ended = run.ended_servers();
    assert!(ended.len() <= MAX_ENDED, "{} ended: {ended:?}", ended.len());
    for gateway in 0..GATEWAYS {
        let sent = run.send_fatal(gateway);
        if run.count_executions(&sent.id) == 0 {
            assert!(sent.took < PROMPT, "refused after {:?}", sent.took);
        }
    }
    sleep(SETTLE_TIME);
    let ended = run.ended_servers();
    assert_eq!(ended.len(), MAX_ENDED, "{ended:?}");
}

/// Guards against a run that is forgotten once its caller has left.
#[test]
fn a_request_whose_servers_end_after_its_callers_leave_is_given_up() {
    for kind in [Kind::Draft, Kind::Turn, Kind::Call, Kind::Booking] {
        let settings = ending_later(kind, 0, CALLER_DEADLINE + AFTERLIFE);
        check_given_up(&format!("left-{kind:?}"), settings, CALLER_DEADLINE);
    }
}

/// Guards against a server that counts as sound because it has just sent events.
#[test]
fn a_request_whose_servers_end_after_events_and_its_callers_leave_is_given_up() {
    let settings = ending_later(Kind::Draft, 3, CALLER_DEADLINE + AFTERLIFE);
    check_given_up("left-events", settings, CALLER_DEADLINE);
}

/// Guards against a caller that makes many attempts before the first server ends.
#[test]
fn a_request_whose_callers_leave_within_milliseconds_is_given_up() {
    for kind in [Kind::Draft, Kind::Call] {
        let settings = ending_later(kind, 0, Duration::from_millis(700));
        let name = format!("left-soon-{kind:?}");
        check_given_up(&name, settings, Duration::from_millis(50));
    }
}

/// Guards against servers that end a second after the last caller has left them.
#[test]
fn a_request_whose_servers_end_a_second_later_is_given_up() {
    let settings = ending_later(Kind::Draft, 0, CALLER_DEADLINE + Duration::from_secs(1));
    check_given_up("left-later", settings, CALLER_DEADLINE);
}

/// Guards against a count of left runs that needs the store, and servers that return.
#[test]
fn a_request_whose_callers_leave_without_the_store_is_given_up() {
    let settings = EndingSettings {
        restart_id: RestartId::Unchanged,
        restart_delay: Duration::from_millis(400),
        ..ending_later(Kind::Draft, 0, CALLER_DEADLINE + AFTERLIFE)
    };
    let mut run = EndingRun::start("left-store", settings);
    run.gateways.silence_store();
    leave_attempts(&mut run, CALLER_DEADLINE);
    sleep(SETTLE_TIME);
    let ended = run.ended_servers();
    assert_eq!(ended.len(), MAX_ENDED, "{ended:?}");
}

/// Guards against left runs that only their gateway remembers.
#[test]
fn a_request_whose_gateways_are_killed_after_its_callers_leave_is_given_up() {
    let settings = ending_later(Kind::Draft, 0, CALLER_DEADLINE + AFTERLIFE);
    let mut run = EndingRun::start("left-killed", settings);
    for attempt in 0..ATTEMPTS {
        let gateway = attempt % GATEWAYS;
        let begun = run.begin_fatal(gateway);
        sleep(CALLER_DEADLINE);
        drop(begun);
        sleep(Duration::from_millis(20));
        if attempt < GATEWAYS - 1 {
            run.gateways.processes[gateway].kill();
            run.gateways.processes[gateway]
                .restart()
                .expect("a process");
            run.gateways.wait_until_ready(gateway).expect("a gateway");
        }
    }
    sleep(SETTLE_TIME);
    let ended = run.ended_servers();
    assert!(ended.len() <= MAX_ENDED, "{} ended: {ended:?}", ended.len());
}

/// Guards against left runs that no process remembers, beside callers that make the records of runs
/// change.
#[test]
fn a_request_whose_gateways_are_all_killed_after_its_callers_leave_is_given_up() {
    let settings = ending_later(Kind::Draft, 0, CALLER_DEADLINE + AFTERLIFE);
    let mut run = EndingRun::start("left-all-killed", settings);
    for attempt in 0..2 {
        let begun = run.begin_fatal(attempt % GATEWAYS);
        sleep(CALLER_DEADLINE);
        drop(begun);
    }
    for number in 0..20 {
        let id = format!("beside-{number}");
        let response = run.send_beside(Kind::Call, number % GATEWAYS, &id);
        assert!(
            response.is_ok_and(|response| response.status == 200),
            "{id}"
        );
    }
    run.restart_gateways();
    leave_attempts(&mut run, CALLER_DEADLINE);
    sleep(SETTLE_TIME);
    let ended = run.ended_servers();
    assert_eq!(ended.len(), MAX_ENDED, "{ended:?}");
}

/// Guards against a run that is forgotten once its gateway has answered its caller at the deadline.
#[test]
fn a_request_whose_servers_end_after_its_deadline_is_given_up() {
    for kind in [Kind::Draft, Kind::Call, Kind::Booking] {
        let settings = EndingSettings {
            caller_deadline: Some(CALLER_DEADLINE),
            ..ending_later(kind, 0, CALLER_DEADLINE + AFTERLIFE)
        };
        let mut run = EndingRun::start(&format!("left-deadline-{kind:?}"), settings);
        for attempt in 0..ATTEMPTS {
            run.send_fatal(attempt % GATEWAYS);
        }
        sleep(SETTLE_TIME);
        let ended = run.ended_servers();
        assert_eq!(ended.len(), MAX_ENDED, "{kind:?}: {ended:?}");
    }
}

/// Guards against refusing or delaying a request because impatient callers have left its servers.
#[test]
fn a_request_whose_callers_left_sound_servers_is_served() {
    let run = EndingRun::start("left-sound", EndingSettings::default());
    run.slow_down();
    for kind in [Kind::Draft, Kind::Turn, Kind::Call] {
        for attempt in 0..ATTEMPTS {
            let id = format!("left-{kind:?}-{attempt}");
            let begun = run.begin_harmless(kind, attempt % GATEWAYS, &id);
            sleep(Duration::from_millis(30));
            drop(begun);
        }
        for gateway in 0..GATEWAYS {
            let sent_at = Instant::now();
            let id = format!("served-{kind:?}-{gateway}");
            let response = run.send_beside(kind, gateway, &id).expect("a response");
            assert_eq!(response.status, 200, "{id}: {response:?}");
            assert!(response.is_complete, "{id}: {response:?}");
            let took = sent_at.elapsed();
            assert!(took < Duration::from_secs(2), "{id} took {took:?}");
        }
    }
}

/// Guards against requests of the same content that wait for each other after a caller has left one.
#[test]
fn requests_of_one_content_run_side_by_side() {
    const SIDE_BY_SIDE: usize = 12;
    /// A stream takes 12 pauses of 60 ms.
    const LIMIT: Duration = Duration::from_millis(1_250);
    let run = EndingRun::start("left-same", EndingSettings::default());
    run.slow_down();
    let left = run.begin_harmless(Kind::Draft, 0, "left");
    sleep(Duration::from_millis(150));
    drop(left);
    sleep(Duration::from_millis(20));
    let sent_at = Instant::now();
    let begun: Vec<_> = (0..SIDE_BY_SIDE)
        .map(|number| {
            let id = format!("same-{number}");
            let begun = run.begin_harmless(Kind::Draft, number % GATEWAYS, &id);
            sleep(Duration::from_millis(20));
            begun
        })
        .collect();
    for request in begun {
        let id = request.id.clone();
        assert!(EndingRun::is_complete(request), "{id} was not served");
    }
    let took = sent_at.elapsed();
    assert!(took < LIMIT, "{took:?}");
}
