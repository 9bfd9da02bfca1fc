//! Tests that a request is given up whose gateways are stopped or killed milliseconds after they got it.
//! The gateways are processes.

#[allow(dead_code, reason = "each test file uses a part")]
mod ending_run;

use std::thread::sleep;
use std::time::Duration;

use ending_run::{EndingRun, EndingSettings, Fatal, GATEWAYS, Kind};
use rustix::process::Signal;
use standins::platform_backend::ServerEnding;

/// The number of servers that one request may end.
const MAX_ENDED: usize = 3;
/// The attempts of a caller that does not give up.
const ATTEMPTS: usize = 6;
/// The time from the request to the stop of its gateway.
const STOP_DELAY: Duration = Duration::from_millis(3);
/// How long the gateways are stopped.
const STOP_TIME: Duration = Duration::from_secs(1);
/// The time from the end of a silent server until its entry is gone.
const ENTRY_LAPSE: Duration = Duration::from_secs(3);
/// The stops happen at different points of a run.
const ROUNDS: usize = 5;

fn settings(kind: Kind, ending: ServerEnding) -> EndingSettings {
    let restart_delay = match ending {
        ServerEnding::Exit => EndingSettings::default().restart_delay,
        ServerEnding::PowerLoss | ServerEnding::Hang => ENTRY_LAPSE,
    };
    EndingSettings {
        fatal: Fatal { kind, events: 0 },
        ending,
        restart_delay,
        ..EndingSettings::default()
    }
}

fn send_attempts(run: &mut EndingRun) {
    for attempt in 0..ATTEMPTS {
        run.send_fatal(attempt % GATEWAYS);
    }
}

fn assert_ended(run: &EndingRun, name: &str) {
    let ended = run.ended_servers();
    assert!(
        ended.len() <= MAX_ENDED,
        "{name}: {} ended: {ended:?}",
        ended.len()
    );
}

/// Stops each gateway that gets the request, lets them go on, and sends the request again.
fn check_stopped(ending: ServerEnding, kind: Kind) {
    for round in 0..ROUNDS {
        let name = format!("stopped-{ending:?}-{kind:?}-{round}");
        let mut run = EndingRun::start(&name, settings(kind, ending));
        let mut begun = Vec::new();
        for gateway in 0..GATEWAYS {
            begun.push(run.begin_fatal(gateway));
            sleep(STOP_DELAY);
            run.gateways.processes[gateway].send_signal(Signal::STOP);
        }
        sleep(STOP_TIME);
        for process in &run.gateways.processes {
            process.send_signal(Signal::CONT);
        }
        send_attempts(&mut run);
        assert_ended(&run, &name);
    }
}

/// Stops all gateways but the last one that get the request, sends it to that one, and lets the others go
/// on.
fn check_last(ending: ServerEnding, kind: Kind) {
    const LAST: usize = GATEWAYS - 1;
    for round in 0..ROUNDS {
        let name = format!("last-{ending:?}-{kind:?}-{round}");
        let mut run = EndingRun::start(&name, settings(kind, ending));
        let mut begun = Vec::new();
        for gateway in 0..LAST {
            begun.push(run.begin_fatal(gateway));
            sleep(STOP_DELAY);
            run.gateways.processes[gateway].send_signal(Signal::STOP);
        }
        for _ in 0..ATTEMPTS {
            run.send_fatal(LAST);
        }
        assert_ended(&run, &name);
        for gateway in 0..LAST {
            run.gateways.processes[gateway].send_signal(Signal::CONT);
        }
        send_attempts(&mut run);
        assert_ended(&run, &name);
    }
}

/// Kills each gateway that gets the request and starts it again, and sends the request again.
fn check_killed(ending: ServerEnding, kind: Kind) {
    for round in 0..ROUNDS {
        let name = format!("killed-{ending:?}-{kind:?}-{round}");
        let mut run = EndingRun::start(&name, settings(kind, ending));
        for gateway in 0..GATEWAYS {
            let begun = run.begin_fatal(gateway);
            sleep(STOP_DELAY);
            run.gateways.processes[gateway].kill();
            drop(begun);
            run.gateways.processes[gateway]
                .restart()
                .expect("a process");
            run.gateways.wait_until_ready(gateway).expect("a gateway");
        }
        send_attempts(&mut run);
        assert_ended(&run, &name);
    }
}

/// Guards against runs whose gateway is stalled while their servers exit.
#[test]
fn a_request_whose_gateways_are_stopped_beside_ended_servers_is_given_up() {
    check_stopped(ServerEnding::Exit, Kind::Draft);
    check_stopped(ServerEnding::Exit, Kind::Booking);
}

/// Guards against runs whose gateway is stalled while their servers lose power.
#[test]
fn a_request_whose_gateways_are_stopped_beside_silent_servers_is_given_up() {
    check_stopped(ServerEnding::PowerLoss, Kind::Draft);
}

/// Guards against runs whose gateway is stalled while their servers hang.
#[test]
fn a_request_whose_gateways_are_stopped_beside_hanging_servers_is_given_up() {
    check_stopped(ServerEnding::Hang, Kind::Draft);
}

/// Guards against runs of which the last gateway does not know while the others are stalled, and whose
/// servers exit.
#[test]
fn a_request_that_ends_servers_at_the_last_gateway_is_given_up() {
    check_last(ServerEnding::Exit, Kind::Draft);
    check_last(ServerEnding::Exit, Kind::Booking);
}

/// Guards against the same where the servers lose power or hang.
#[test]
fn a_request_that_silences_servers_at_the_last_gateway_is_given_up() {
    check_last(ServerEnding::PowerLoss, Kind::Draft);
    check_last(ServerEnding::Hang, Kind::Draft);
}

/// Guards against runs that are lost with their gateway while their servers exit.
#[test]
fn a_request_whose_gateways_are_killed_beside_ended_servers_is_given_up() {
    check_killed(ServerEnding::Exit, Kind::Draft);
    check_killed(ServerEnding::Exit, Kind::Booking);
}

/// Guards against runs that are lost with their gateway while their servers lose power.
#[test]
fn a_request_whose_gateways_are_killed_beside_lost_servers_is_given_up() {
    check_killed(ServerEnding::PowerLoss, Kind::Draft);
}

/// Guards against runs that are lost with their gateway while their servers hang.
#[test]
fn a_request_whose_gateways_are_killed_beside_hanging_servers_is_given_up() {
    check_killed(ServerEnding::Hang, Kind::Draft);
}
