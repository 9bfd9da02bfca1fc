//! Tests that a request is given up whose servers hang for good: they accept connections and send nothing
//! any more, neither to requests nor to health checks. The gateways are processes.

#[allow(dead_code, reason = "each test file uses a part")]
mod ending_run;

use std::thread::sleep;
use std::time::Duration;

use ending_run::{EndingRun, EndingSettings, Fatal, GATEWAYS, Kind};
use standins::platform_backend::ServerEnding;

/// The number of servers that one request may end.
const MAX_ENDED: usize = 3;
/// The attempts of a caller that does not give up.
const ATTEMPTS: usize = 12;
/// The time from the end of a server until its entry is gone: three heartbeats.
const ENTRY_LAPSE: Duration = Duration::from_secs(3);
/// An entry that stays, because the server still reports itself.
const NEVER: Duration = Duration::from_hours(1);
/// A pause in which the servers of the attempts before are still listed.
const SHORT_PAUSE: Duration = Duration::from_millis(700);
/// A pause after which no gateway takes a server that it left for one that works on the request.
const LONG_PAUSE: Duration = Duration::from_secs(4);
/// The attempts with long pauses.
const FEW_ATTEMPTS: usize = 6;
/// The time in which all that happened has become known.
const SETTLE_TIME: Duration = Duration::from_secs(4);
/// The limit for a refusal that needs no server; a caller's deadline is a second away or more.
const PROMPT: Duration = Duration::from_millis(500);
/// When an impatient caller leaves.
const PATIENCE: Duration = Duration::from_millis(300);

fn hanging(kind: Kind, events: u64, entry_lapse: Duration) -> EndingSettings {
    EndingSettings {
        fatal: Fatal { kind, events },
        ending: ServerEnding::Hang,
        restart_delay: entry_lapse,
        ..EndingSettings::default()
    }
}

/// Sends the fatal request to the gateways in turn.
fn send_attempts(run: &mut EndingRun, count: usize, pause: Duration) {
    for attempt in 0..count {
        run.send_fatal(attempt % GATEWAYS);
        sleep(pause);
    }
}

fn assert_not_exceeded(run: &EndingRun) {
    let ended = run.ended_servers();
    assert!(ended.len() <= MAX_ENDED, "{} ended: {ended:?}", ended.len());
}

/// Checks that the request has ended no more servers than it may, and is refused at once if as many.
fn assert_settled(run: &mut EndingRun) {
    sleep(SETTLE_TIME);
    for gateway in 0..GATEWAYS {
        run.send_fatal(gateway);
    }
    sleep(SETTLE_TIME);
    assert_not_exceeded(run);
    if run.ended_servers().len() == MAX_ENDED {
        assert_refused(run);
    }
}

/// Checks that the request has ended as many servers as it may, and is refused at once.
fn assert_given_up(run: &mut EndingRun) {
    sleep(SETTLE_TIME);
    assert_not_exceeded(run);
    assert_refused(run);
    let ended = run.ended_servers();
    assert_eq!(ended.len(), MAX_ENDED, "{ended:?}");
}

fn assert_refused(run: &mut EndingRun) {
    for gateway in 0..GATEWAYS {
        let sent = run.send_fatal(gateway);
        let response = sent.response.expect("a response");
        assert_eq!(response.status, 503, "{response:?}");
        assert!(response.headers.contains_key("retry-after"), "{response:?}");
        assert!(sent.took < PROMPT, "refused after {:?}", sent.took);
    }
}

fn check_given_up(name: &str, settings: EndingSettings, attempts: usize, pause: Duration) {
    let mut run = EndingRun::start(name, settings);
    send_attempts(&mut run, attempts, pause);
    assert_given_up(&mut run);
}

/// Guards against servers that are taken for sound because they accept connections.
#[test]
fn a_stream_whose_servers_hang_is_given_up() {
    for kind in [Kind::Draft, Kind::Turn] {
        let name = format!("hang-{kind:?}");
        let settings = hanging(kind, 0, ENTRY_LAPSE);
        check_given_up(&name, settings, ATTEMPTS, Duration::ZERO);
    }
}

/// Guards against hanging plain servers that are taken for sound.
#[test]
fn a_call_whose_servers_hang_is_given_up() {
    for kind in [Kind::Call, Kind::Booking] {
        let name = format!("hang-{kind:?}");
        let settings = hanging(kind, 0, ENTRY_LAPSE);
        check_given_up(&name, settings, ATTEMPTS, Duration::ZERO);
    }
}

/// Guards against servers that are taken for sound because they have sent events before they hang.
#[test]
fn a_stream_whose_servers_hang_after_events_is_given_up() {
    for kind in [Kind::Draft, Kind::Turn] {
        let name = format!("hang-events-{kind:?}");
        let settings = hanging(kind, 3, ENTRY_LAPSE);
        check_given_up(&name, settings, ATTEMPTS, SHORT_PAUSE);
    }
}

/// Guards against a resumed stream whose servers hang after further events.
#[test]
fn a_resumed_stream_whose_servers_hang_is_given_up() {
    let settings = EndingSettings {
        is_resuming: true,
        ..hanging(Kind::Draft, 3, ENTRY_LAPSE)
    };
    check_given_up("hang-resumed", settings, ATTEMPTS, Duration::ZERO);
}

/// Guards against a server that hangs and is forgotten because it stays listed.
#[test]
fn a_request_whose_hanging_servers_stay_listed_is_given_up() {
    for kind in [Kind::Draft, Kind::Call] {
        let name = format!("hang-listed-{kind:?}");
        let mut run = EndingRun::start(&name, hanging(kind, 0, NEVER));
        send_attempts(&mut run, ATTEMPTS, SHORT_PAUSE);
        assert_settled(&mut run);
    }
}

/// Guards against a caller that returns once the gateways have forgotten that they left a server.
#[test]
fn a_request_that_returns_after_pauses_is_given_up() {
    for kind in [Kind::Turn, Kind::Booking] {
        let name = format!("hang-pauses-{kind:?}");
        let settings = hanging(kind, 0, ENTRY_LAPSE);
        check_given_up(&name, settings, FEW_ATTEMPTS, LONG_PAUSE);
    }
}

/// Guards against the same where the servers stay listed.
#[test]
fn a_request_that_returns_after_pauses_to_listed_servers_is_given_up() {
    for kind in [Kind::Draft, Kind::Booking] {
        let name = format!("hang-pauses-listed-{kind:?}");
        let mut run = EndingRun::start(&name, hanging(kind, 0, NEVER));
        send_attempts(&mut run, FEW_ATTEMPTS, LONG_PAUSE);
        assert_settled(&mut run);
    }
}

/// Guards against a count of hanging servers that needs the store.
#[test]
fn a_request_whose_servers_hang_without_the_store_is_given_up() {
    for kind in [Kind::Draft, Kind::Booking] {
        let settings = hanging(kind, 0, NEVER);
        let mut run = EndingRun::start(&format!("hang-store-{kind:?}"), settings);
        run.gateways.silence_store();
        send_attempts(&mut run, ATTEMPTS, Duration::ZERO);
        send_attempts(&mut run, FEW_ATTEMPTS / 2, LONG_PAUSE);
        assert_not_exceeded(&run);
    }
}

/// Sends the fatal request to the gateways in turn, and leaves each.
fn leave_attempts(run: &mut EndingRun) {
    for attempt in 0..FEW_ATTEMPTS {
        let begun = run.begin_fatal(attempt % GATEWAYS);
        sleep(PATIENCE);
        drop(begun);
        sleep(LONG_PAUSE);
    }
}

/// Guards against servers that hang under callers that leave at once, and that have just sent events.
#[test]
fn a_request_whose_callers_leave_hanging_servers_is_given_up() {
    for (kind, events) in [(Kind::Draft, 3), (Kind::Call, 0)] {
        let settings = hanging(kind, events, ENTRY_LAPSE);
        let mut run = EndingRun::start(&format!("hang-left-{kind:?}"), settings);
        leave_attempts(&mut run);
        assert_given_up(&mut run);
    }
}

/// Guards against the same where the servers stay listed.
#[test]
fn a_request_whose_callers_leave_listed_hanging_servers_is_given_up() {
    for (kind, events) in [(Kind::Draft, 3), (Kind::Call, 0)] {
        let settings = hanging(kind, events, NEVER);
        let mut run = EndingRun::start(&format!("hang-left-listed-{kind:?}"), settings);
        leave_attempts(&mut run);
        assert_settled(&mut run);
    }
}
