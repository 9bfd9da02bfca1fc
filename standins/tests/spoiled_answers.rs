//! Tests that requests are served whose servers spoil answers, fail their health checks and live. The
//! gateways are processes.

#[allow(dead_code, reason = "each test file uses a part")]
mod ending_run;

use std::time::Duration;

use ending_run::{EndingRun, EndingSettings, GATEWAYS, Kind};
use standins::platform_backend::BackendFault;

/// The attempts of a caller that meet faults.
const FAULTY_ATTEMPTS: usize = 4;
/// The servers that one attempt may meet.
const SERVERS_OF_ATTEMPT: usize = 2;
/// How late a health check is answered: far later than a gateway waits for it.
const HEALTH_DELAY: Duration = Duration::from_millis(400);

/// Sends a request whose servers all spoil their answers; returns the codes of later attempts that
/// were refused although their servers live.
fn refused_after(run: &EndingRun, kind: Kind, fault: BackendFault) -> Vec<String> {
    for attempt in 0..FAULTY_ATTEMPTS {
        run.inject_faults(fault, SERVERS_OF_ATTEMPT);
        let id = format!("faulty-{kind:?}-{attempt}");
        // Its servers spoil the response.
        let _ = run.send_beside(kind, attempt % GATEWAYS, &id);
        run.clear_faults();
    }
    let mut refused = Vec::new();
    for gateway in 0..GATEWAYS {
        let id = format!("served-{kind:?}-{gateway}");
        let response = run.send_beside(kind, gateway, &id).expect("a response");
        if response.status != 200 || !response.is_complete {
            refused.push(format!("{id}: {response:?}"));
        }
    }
    refused
}

fn check_served(name: &str, fault: BackendFault) {
    for kind in [Kind::Draft, Kind::Turn, Kind::Call, Kind::Booking] {
        let name = format!("spoiled-{name}-{kind:?}");
        let run = EndingRun::start(&name, EndingSettings::default());
        run.delay_health_checks(HEALTH_DELAY);
        let refused = refused_after(&run, kind, fault);
        assert!(refused.is_empty(), "{refused:#?}");
    }
}

/// Guards against taking servers for silent that close connections and answer health checks late.
#[test]
fn requests_whose_responses_busy_servers_lose_are_served() {
    check_served("lost", BackendFault::LoseResponse);
}

/// Guards against taking servers for silent that hang in one request and answer health checks late.
#[test]
fn requests_at_which_busy_servers_hang_are_served() {
    check_served("hang", BackendFault::Silence);
}

/// Guards against taking servers for silent that send garbage and answer health checks late.
#[test]
fn requests_whose_responses_busy_servers_garble_are_served() {
    check_served("garbled", BackendFault::Garble);
}

/// Guards against taking servers for silent that truncate answers and answer health checks late.
#[test]
fn requests_whose_responses_busy_servers_cut_are_served() {
    check_served("cut", BackendFault::CutAfter(2));
}

/// Guards against taking servers for silent that send the response to another request and answer
/// health checks late.
#[test]
fn requests_that_busy_servers_confuse_are_served() {
    check_served("confused", BackendFault::WrongId);
}
