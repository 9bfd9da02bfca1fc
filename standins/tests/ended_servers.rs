//! Tests that a request which ends the servers that run it is given up after the third one, and that
//! all other requests are served. The gateways are processes.

#[allow(dead_code, reason = "each test file uses a part")]
mod ending_run;

use std::thread::sleep;
use std::time::Duration;

use ending_run::{BegunRequest, EndingRun, EndingSettings, Fatal, GATEWAYS, Kind};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha12Rng;
use rustix::process::Signal;
use standins::platform_backend::BackendFault;
use standins::platform_run::wait_until;
use standins::server_fleet::RestartId;

/// The number of servers that one request may end.
const MAX_ENDED: usize = 3;
/// The limit for a refusal that needs no server; a caller's deadline is seconds away.
const PROMPT: Duration = Duration::from_millis(500);
/// The events before the end of a server, in tests where it does not end at once.
const EVENTS_BEFORE_END: u64 = 3;

fn at_once(kind: Kind) -> EndingSettings {
    EndingSettings {
        fatal: Fatal { kind, events: 0 },
        ..EndingSettings::default()
    }
}

fn after_events(kind: Kind) -> EndingSettings {
    EndingSettings {
        fatal: Fatal {
            kind,
            events: EVENTS_BEFORE_END,
        },
        ..EndingSettings::default()
    }
}

/// Sends the fatal request once to each of `gateways` in turn, with a new id each time.
fn send_to(run: &mut EndingRun, gateways: &[usize]) {
    for gateway in gateways {
        run.send_fatal(*gateway);
    }
}

/// Checks that the fatal request has ended as many servers as it may, and that it is refused at once
/// and runs nowhere.
fn assert_given_up(run: &mut EndingRun, gateways: &[usize]) {
    assert_eq!(
        run.ended_servers().len(),
        MAX_ENDED,
        "{:?}",
        run.ended_servers()
    );
    for gateway in gateways {
        let sent = run.send_fatal(*gateway);
        let response = sent.response.expect("a response");
        assert_eq!(response.status, 503, "{response:?}");
        assert!(response.headers.contains_key("retry-after"), "{response:?}");
        assert!(sent.took < PROMPT, "refused after {:?}", sent.took);
        assert_eq!(run.count_executions(&sent.id), 0, "{} has run", sent.id);
    }
    assert_eq!(
        run.ended_servers().len(),
        MAX_ENDED,
        "{:?}",
        run.ended_servers()
    );
}

/// Sends a fatal request to one gateway after the other and checks that it is given up.
fn check_given_up(name: &str, settings: EndingSettings) {
    let mut run = EndingRun::start(name, settings);
    send_to(&mut run, &[0, 1, 2]);
    assert_given_up(&mut run, &[0, 1, 2, 0, 1, 2]);
}

/// Guards against a draft that ends one server after the other at once.
#[test]
fn a_draft_that_ends_servers_at_once_is_given_up() {
    check_given_up("draft-at-once", at_once(Kind::Draft));
}

/// Guards against a draft that ends one server after the other, each after some events.
#[test]
fn a_draft_that_ends_servers_after_events_is_given_up() {
    check_given_up("draft-after-events", after_events(Kind::Draft));
}

/// Guards against a resumed draft that is taken for another one.
#[test]
fn a_resumed_draft_that_ends_servers_is_given_up() {
    let settings = EndingSettings {
        is_resuming: true,
        ..after_events(Kind::Draft)
    };
    check_given_up("draft-resumed", settings);
}

/// Guards against a turn that ends one server after the other at once.
#[test]
fn a_turn_that_ends_servers_at_once_is_given_up() {
    check_given_up("turn-at-once", at_once(Kind::Turn));
}

/// Guards against a turn that ends one server after the other, each after some events.
#[test]
fn a_turn_that_ends_servers_after_events_is_given_up() {
    check_given_up("turn-after-events", after_events(Kind::Turn));
}

/// Guards against a plain call that ends one server after the other.
#[test]
fn a_call_that_ends_servers_is_given_up() {
    check_given_up("call", at_once(Kind::Call));
}

/// Guards against a non-idempotent call whose caller comes back although it may have run.
#[test]
fn a_booking_that_ends_servers_is_given_up() {
    check_given_up("booking", at_once(Kind::Booking));
}

/// Guards against servers that start again under their ids and look as if they had not ended.
#[test]
fn a_request_that_ends_servers_which_keep_their_ids_is_given_up() {
    let settings = EndingSettings {
        restart_id: RestartId::Same,
        ..at_once(Kind::Draft)
    };
    check_given_up("same-ids", settings);
}

/// Guards against servers that start again so soon that nobody finds them gone.
#[test]
fn a_request_that_ends_servers_which_restart_at_once_is_given_up() {
    let settings = EndingSettings {
        restart_delay: Duration::ZERO,
        ..at_once(Kind::Draft)
    };
    check_given_up("restart-at-once", settings);
}

/// Guards against a count that one gateway keeps for itself.
#[test]
fn a_request_that_returns_to_the_same_gateway_is_given_up() {
    let mut run = EndingRun::start("same-gateway", at_once(Kind::Draft));
    send_to(&mut run, &[0, 0]);
    assert_given_up(&mut run, &[0, 0, 0]);
}

/// Guards against a count that is lost with the gateway that sent the request.
#[test]
fn a_request_whose_gateway_was_killed_is_given_up() {
    let mut run = EndingRun::start("killed-gateway", at_once(Kind::Draft));
    send_to(&mut run, &[0]);
    run.gateways.processes[0].kill();
    send_to(&mut run, &[1]);
    run.gateways.processes[1].kill();
    assert_given_up(&mut run, &[2, 2]);
}

/// Guards against a server that ends while its gateway is killed, so that nobody counts it.
#[test]
fn a_request_whose_gateway_is_killed_while_it_runs_is_given_up() {
    let mut run = EndingRun::start(
        "killed-while-running",
        EndingSettings {
            end_delay: Duration::from_millis(200),
            ..at_once(Kind::Draft)
        },
    );
    send_to(&mut run, &[0]);
    let begun = run.begin_fatal(1);
    run.wait_until_executed(&begun);
    run.gateways.processes[1].kill();
    run.wait_until_ended(MAX_ENDED);
    assert_given_up(&mut run, &[2, 0]);
}

/// Guards against a caller that makes several attempts at once.
#[test]
fn a_request_with_two_attempts_at_once_is_given_up() {
    for kind in [Kind::Draft, Kind::Turn, Kind::Call, Kind::Booking] {
        let settings = EndingSettings {
            end_delay: Duration::from_millis(50),
            ..at_once(kind)
        };
        let mut run = EndingRun::start(&format!("two-at-once-{kind:?}"), settings);
        let begun = [run.begin_fatal(0), run.begin_fatal(1)];
        for request in begun {
            EndingRun::finish(request);
        }
        let begun = [run.begin_fatal(2), run.begin_fatal(0)];
        for request in begun {
            EndingRun::finish(request);
        }
        // Two attempts may have ended one server together.
        if run.ended_servers().len() < MAX_ENDED {
            run.send_fatal(0);
        }
        assert_given_up(&mut run, &[0, 1, 2]);
    }
}

/// Guards against a gateway that has just started and knows of no server that ended.
#[test]
fn a_request_that_returns_to_a_gateway_which_has_just_started_is_given_up() {
    let mut run = EndingRun::start("started-gateway", at_once(Kind::Draft));
    send_to(&mut run, &[0, 1]);
    run.gateways.processes[2].kill();
    run.gateways.processes[2].restart().expect("a process");
    run.gateways.wait_until_ready(2).expect("a gateway");
    run.gateways.processes[0].kill();
    assert_given_up(&mut run, &[2, 2]);
}

/// Guards against a count that is kept only in the store, or lists that are needed for it.
#[test]
fn a_request_is_given_up_while_the_store_is_unavailable() {
    let mut run = EndingRun::start("store-unavailable", at_once(Kind::Draft));
    run.gateways.silence_store();
    send_to(&mut run, &[0, 1]);
    assert_given_up(&mut run, &[0, 1, 2]);
}

/// Guards against a count that ends with the servers' entries in the list.
#[test]
fn a_request_that_returns_later_is_given_up() {
    let mut run = EndingRun::start("later", at_once(Kind::Draft));
    send_to(&mut run, &[0, 1]);
    sleep(Duration::from_secs(4));
    assert_given_up(&mut run, &[0, 1, 2]);
}

/// Guards against a refused request whose log line doesn't name the servers that it ended.
#[test]
fn the_line_of_a_given_up_request_names_the_ended_servers() {
    let mut run = EndingRun::start("log-line", at_once(Kind::Call));
    send_to(&mut run, &[0, 1]);
    assert_given_up(&mut run, &[0]);
    let sent = run.send_fatal(2);
    let line = || {
        let log = run.gateways.log(2).ok()?;
        let mut lines = log.lines();
        let line = lines.find(|line| line.contains(&sent.id))?;
        Some(line.to_owned())
    };
    wait_until(|| line().is_some()).expect("a line of the request");
    let line = line().expect("the line");
    for server in run.ended_servers() {
        assert!(line.contains(&server), "{server} is missing: {line}");
    }
}

/// Guards against giving up requests that ran beside the one that ends their servers.
#[test]
fn requests_beside_a_fatal_one_are_served() {
    let settings = EndingSettings {
        end_delay: Duration::from_millis(50),
        ..after_events(Kind::Draft)
    };
    let mut run = EndingRun::start("beside", settings);
    run.slow_down();
    let begun: Vec<BegunRequest> = (0..24).map(|number| run.begin_beside(number)).collect();
    for request in &begun {
        run.wait_until_executed(request);
    }
    send_to(&mut run, &[0, 1, 2, 0]);
    for request in begun {
        let id = request.id.clone();
        assert!(run.is_served(request), "{id} was not served");
    }
    assert_eq!(
        run.ended_servers().len(),
        MAX_ENDED,
        "{:?}",
        run.ended_servers()
    );
}

/// What happens before an attempt of the fatal request.
#[derive(Debug, Clone, Copy)]
enum Disturbance {
    Nothing,
    /// A gateway is killed and starts again.
    Restart(usize),
    /// A gateway is suspended for a while.
    Suspend(usize, Duration),
    StoreSilent,
    StoreBack,
}

impl Disturbance {
    fn draw(rng: &mut ChaCha12Rng) -> Self {
        let gateway = rng.random_range(0..GATEWAYS);
        match rng.random_range(0..6) {
            0 | 1 => Self::Restart(gateway),
            2 => Self::Suspend(gateway, Duration::from_millis(rng.random_range(20..300))),
            3 => Self::StoreSilent,
            4 => Self::StoreBack,
            _ => Self::Nothing,
        }
    }

    fn apply(self, run: &mut EndingRun) {
        let gateways = &mut run.gateways;
        match self {
            Self::Nothing => {}
            Self::Restart(gateway) => {
                gateways.processes[gateway].kill();
                gateways.processes[gateway].restart().expect("a process");
                gateways.wait_until_listening(gateway).expect("a gateway");
            }
            Self::Suspend(gateway, span) => {
                gateways.processes[gateway].send_signal(Signal::STOP);
                sleep(span);
                gateways.processes[gateway].send_signal(Signal::CONT);
            }
            Self::StoreSilent => gateways.silence_store(),
            Self::StoreBack => gateways.restore_store(),
        }
    }
}

/// Sends the fatal request between random disturbances, and checks that it ends no more servers than
/// it may and that all requests beside it are served.
fn check_random_disturbances(seed: u64) {
    const ATTEMPTS: usize = 10;
    const BESIDE: usize = 12;
    let mut rng = ChaCha12Rng::seed_from_u64(seed);
    let kinds = [Kind::Draft, Kind::Turn, Kind::Call, Kind::Booking];
    let settings = EndingSettings {
        end_delay: Duration::from_millis(rng.random_range(0..120)),
        fatal: Fatal {
            kind: kinds[rng.random_range(0..kinds.len())],
            events: rng.random_range(0..EVENTS_BEFORE_END),
        },
        ..EndingSettings::default()
    };
    let settle_time = settings.end_delay + PROMPT;
    let mut run = EndingRun::start(&format!("random-{seed}"), settings);
    run.slow_down();
    let begun: Vec<BegunRequest> = (0..BESIDE).map(|number| run.begin_beside(number)).collect();
    for _ in 0..ATTEMPTS {
        run.send_fatal(rng.random_range(0..GATEWAYS));
        let disturbance = Disturbance::draw(&mut rng);
        disturbance.apply(&mut run);
    }
    run.gateways.restore_store();
    for gateway in 0..GATEWAYS {
        run.gateways.wait_until_ready(gateway).expect("a gateway");
    }
    for request in begun {
        let id = request.id.clone();
        assert!(run.is_served(request), "seed {seed}: {id} was not served");
    }
    // A run that was given up by a timeout may have ended no server.
    for _ in 0..MAX_ENDED {
        run.send_fatal(0);
    }
    for gateway in 0..GATEWAYS {
        let status = run.send_fatal(gateway).response.map(|r| r.status).ok();
        assert_eq!(status, Some(503), "seed {seed}, gateway {gateway}");
    }
    sleep(settle_time);
    assert_eq!(run.count_ended(), MAX_ENDED, "seed {seed}");
}

/// Guards against a count that is lost while gateways are killed or suspended and the store comes
/// and goes.
#[test]
fn requests_that_end_servers_are_given_up_amid_disturbances() {
    for seed in 0..3 {
        check_random_disturbances(seed);
    }
}

/// Guards against rarer orders of the same disturbances.
#[test]
#[ignore = "takes five minutes"]
fn requests_that_end_servers_are_given_up_amid_many_disturbances() {
    for seed in 3..53 {
        check_random_disturbances(seed);
    }
}

/// Sends a request that meets `fault` at every server, and checks that it is served afterwards.
fn check_served_after(name: &str, kind: Kind, fault: BackendFault) {
    const ATTEMPTS: usize = 4;
    let run = EndingRun::start(name, EndingSettings::default());
    for attempt in 0..ATTEMPTS {
        run.inject_faults(fault, 2);
        let id = format!("faulty-{attempt}");
        let response = run.send_beside(kind, attempt % 3, &id);
        assert!(
            !response.is_ok_and(|response| response.status == 200 && response.is_complete),
            "{id} met no fault"
        );
        run.clear_faults();
    }
    for gateway in 0..3 {
        let id = format!("served-{gateway}");
        let response = run.send_beside(kind, gateway, &id).expect("a response");
        assert_eq!(response.status, 200, "{id}: {response:?}");
        assert!(response.is_complete, "{id}: {response:?}");
    }
}

/// Guards against servers that close connections and live being counted as ended.
#[test]
fn a_request_whose_connections_are_closed_by_live_servers_is_served() {
    check_served_after("closed", Kind::Call, BackendFault::LoseResponse);
}

/// Guards against servers that cut streams and live being counted as ended.
#[test]
fn a_turn_that_is_cut_by_live_servers_is_served() {
    check_served_after("cut", Kind::Turn, BackendFault::CutAfter(2));
}

/// Guards against servers that hang and live being counted as ended.
#[test]
fn a_request_that_hangs_at_live_servers_is_served() {
    check_served_after("hang", Kind::Call, BackendFault::Silence);
}

/// Guards against servers that reset and refuse connections for a while, and live, being counted as
/// ended for longer.
#[test]
fn a_request_whose_servers_refuse_connections_for_a_while_is_served() {
    let settings = EndingSettings {
        restart_id: RestartId::Unchanged,
        ..at_once(Kind::Draft)
    };
    let mut run = EndingRun::start("refuse-connections", settings);
    send_to(&mut run, &[0, 1]);
    run.disarm();
    for gateway in 0..3 {
        let is_served = || {
            let id = "served-again";
            let response = run.send_same(gateway, id);
            response.is_ok_and(|response| response.status == 200 && response.is_complete)
        };
        wait_until(is_served).expect("a served request");
    }
}

/// Guards against servers that refuse requests and live being counted as ended.
#[test]
fn a_request_that_live_servers_refuse_is_served() {
    check_served_after("refuse", Kind::Call, BackendFault::Refuse);
}
