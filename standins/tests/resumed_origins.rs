//! Tests that streams which callers resume go on at least half as often as new ones begin, whichever
//! gateways were restarted meanwhile and however late servers say which start they are. The gateways
//! are processes.

#[allow(dead_code, reason = "each test file uses a part")]
mod process_run;

use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use process_run::{EVENTS, LAST_EVENT, ProcessRun, draft, event_ids, resumption};
use rustix::process::Signal;
use standins::soak_process::wait_for_exit;

/// The number of gateways, and of streams that begin at each.
const GATEWAYS: usize = 8;
const STREAMS_PER_GATEWAY: usize = 2;
/// The time from the first events of a stream to the first restart.
const SETTLED: Duration = Duration::from_millis(200);
/// The limit for a refusal that needs no server; a caller's deadline is seconds away.
const PROMPT: Duration = Duration::from_millis(500);

/// How gateways are restarted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Restart {
    Kill,
    Terminate,
}

/// Begins streams at each gateway, whose callers leave after some events; returns their ids.
fn begin_streams(run: &ProcessRun, name: &str) -> Vec<String> {
    let begin = |gateway: usize| {
        run.slow_down();
        let ids: Vec<String> = (0..STREAMS_PER_GATEWAY)
            .map(|number| format!("{name}-{gateway}-{number}"))
            .collect();
        drop(run.begin(gateway, &ids));
        ids
    };
    (0..GATEWAYS).flat_map(begin).collect()
}

/// Restarts gateways at the same time and waits until they are ready.
fn restart(run: &mut ProcessRun, gateways: &[usize], how: Restart) {
    let processes = &mut run.gateways.processes;
    match how {
        Restart::Kill => {
            for gateway in gateways {
                processes[*gateway].send_signal(Signal::KILL);
            }
            for gateway in gateways {
                processes[*gateway].kill();
            }
        }
        Restart::Terminate => {
            let ending: Vec<_> = gateways
                .iter()
                .filter_map(|gateway| processes[*gateway].terminate())
                .collect();
            for child in ending {
                wait_for_exit(child).expect("a process");
            }
        }
    }
    for gateway in gateways {
        processes[*gateway].restart().expect("a process");
    }
    for gateway in gateways {
        run.gateways.wait_until_ready(*gateway).expect("a gateway");
    }
}

/// Resumes each stream at another gateway than the one where it began; returns how many went on to their
/// ends.
fn count_resumed(run: &ProcessRun, ids: &[String]) -> usize {
    let goes_on = |(number, id): (usize, &String)| {
        let gateway = (number / STREAMS_PER_GATEWAY + 1) % GATEWAYS;
        let response = run.resume(gateway, id).expect("a response");
        assert_eq!(run.versions_of(id).len(), 1, "versions of {id}");
        let rest: Vec<u64> = (LAST_EVENT + 1..=EVENTS).collect();
        response.status == 200 && response.is_complete && event_ids(&response.body) == rest
    };
    ids.iter().enumerate().filter(|pair| goes_on(*pair)).count()
}

/// Checks that at least half as many streams are resumed as begin anew.
fn assert_share(run: &ProcessRun, ids: &[String]) {
    let resumed = count_resumed(run, ids);
    let new = begin_streams(run, "new").len();
    let share = format!("{resumed} of {} went on, {new} new ones began", ids.len());
    println!("{share}");
    assert!(2 * resumed >= new, "{share}");
}

/// Restarts gateways in groups, one after the other, between the beginning and the rest of streams.
fn check_restarts(name: &str, groups: &[&[usize]], how: Restart) {
    let mut run = ProcessRun::start(name, GATEWAYS);
    let ids = begin_streams(&run, "s");
    sleep(SETTLED);
    for group in groups {
        restart(&mut run, group, how);
    }
    assert_share(&run, &ids);
}

const ONE_BY_ONE: [&[usize]; GATEWAYS] = [&[0], &[1], &[2], &[3], &[4], &[5], &[6], &[7]];
const ALL_AT_ONCE: [&[usize]; 1] = [&[0, 1, 2, 3, 4, 5, 6, 7]];

/// Guards against origins that a rolling restart by kills leaves at no gateway.
#[test]
fn streams_go_on_after_gateways_were_killed_one_by_one() {
    check_restarts("killed-one-by-one", &ONE_BY_ONE, Restart::Kill);
}

/// Guards against origins that a rolling planned restart leaves at no gateway.
#[test]
fn streams_go_on_after_gateways_were_stopped_one_by_one() {
    check_restarts("stopped-one-by-one", &ONE_BY_ONE, Restart::Terminate);
}

/// Guards against origins that only processes remember.
#[test]
fn streams_go_on_after_all_gateways_were_killed() {
    check_restarts("killed-at-once", &ALL_AT_ONCE, Restart::Kill);
}

/// Guards against origins that are not recorded before a planned stop of all gateways ends.
#[test]
fn streams_go_on_after_all_gateways_were_stopped() {
    check_restarts("stopped-at-once", &ALL_AT_ONCE, Restart::Terminate);
}

/// Guards against origins whose holders are lost with half of the gateways.
#[test]
fn streams_go_on_after_half_of_the_gateways_were_killed() {
    check_restarts("killed-half", &[&[0, 1, 2, 3]], Restart::Kill);
}

/// Guards against origins that lose one copy after the other and are never copied again.
#[test]
fn streams_go_on_after_pairs_of_gateways_were_killed_in_series() {
    let pairs: [&[usize]; 4] = [&[0, 1], &[2, 3], &[4, 5], &[6, 7]];
    check_restarts("killed-in-pairs", &pairs, Restart::Kill);
}

/// Guards against one pair of gateways whose restart loses origins.
#[test]
fn streams_go_on_after_a_pair_of_gateways_was_killed() {
    check_restarts("killed-pair", &[&[2, 3]], Restart::Kill);
}

/// Guards against origins that are forgotten while the store is unavailable and gateways remain.
#[test]
fn streams_go_on_beside_restarts_after_an_outage_of_the_store() {
    let mut run = ProcessRun::start("killed-after-outage", GATEWAYS);
    run.gateways.silence_store();
    let ids = begin_streams(&run, "s");
    run.gateways.restore_store();
    sleep(Duration::from_secs(2));
    restart(&mut run, ALL_AT_ONCE[0], Restart::Kill);
    assert_share(&run, &ids);
}

/// Guards against origins that a far store returns too late.
#[test]
fn streams_go_on_after_all_gateways_were_killed_before_a_slow_store() {
    let mut run = ProcessRun::start("killed-slow-store", GATEWAYS);
    run.store.set_delay(Duration::from_millis(120));
    let ids = begin_streams(&run, "s");
    sleep(2 * SETTLED);
    restart(&mut run, ALL_AT_ONCE[0], Restart::Kill);
    assert_share(&run, &ids);
}

/// Lets servers say late which start they are; all gateways stay alive.
fn check_late_reports(name: &str, report_delay: Duration) {
    let run = ProcessRun::start_reporting(name, GATEWAYS, report_delay);
    let ids = begin_streams(&run, "s");
    // The answer to the question that each stream asked arrives.
    sleep(report_delay + SETTLED);
    assert_share(&run, &ids);
}

/// Guards against streams that are refused because their server needs longer than a health check may.
#[test]
fn streams_go_on_at_servers_that_report_after_100_ms() {
    check_late_reports("report-100", Duration::from_millis(100));
}

/// Guards against the same at busier servers.
#[test]
fn streams_go_on_at_servers_that_report_after_300_ms() {
    check_late_reports("report-300", Duration::from_millis(300));
}

/// Guards against the same at servers that are slower than the search for an origin.
#[test]
fn streams_go_on_at_servers_that_report_after_800_ms() {
    check_late_reports("report-800", Duration::from_millis(800));
}

/// Guards against an answer that only the gateway waits for where the stream began.
#[test]
fn streams_at_servers_with_late_reports_go_on_after_all_gateways_were_killed() {
    let delay = Duration::from_millis(150);
    let mut run = ProcessRun::start_reporting("report-killed", GATEWAYS, delay);
    let ids = begin_streams(&run, "s");
    restart(&mut run, ALL_AT_ONCE[0], Restart::Kill);
    assert_share(&run, &ids);
}

/// Guards against streams of unknown origin that go on after restarts, or whose callers wait for the
/// refusal.
#[test]
fn streams_that_nobody_recorded_are_refused_at_once_after_restarts() {
    let mut run = ProcessRun::start("never-recorded", GATEWAYS);
    let ids = begin_streams(&run, "s");
    restart(&mut run, ALL_AT_ONCE[0], Restart::Kill);
    assert!(!ids.is_empty());
    for gateway in 0..GATEWAYS {
        let id = format!("unknown-{gateway}");
        let sent_at = Instant::now();
        let response = run.resume(gateway, &id).expect("a response");
        assert_eq!(response.status, 503, "{response:?}");
        assert!(sent_at.elapsed() < PROMPT, "{:?}", sent_at.elapsed());
        assert!(!run.has_resumed(&id), "{id} has run");
    }
}

/// Guards against origins that are forgotten at the deadline of the first attempt although the caller has
/// resumed the stream with a later one.
#[test]
fn streams_go_on_after_the_deadline_of_their_first_attempt() {
    let run = ProcessRun::start("first-deadline", 2);
    // What is recorded there is kept for longer, since clocks differ.
    run.gateways.silence_store();
    for number in 0..STREAMS_PER_GATEWAY {
        let id = format!("s{number}");
        let begun_at = Instant::now();
        run.leave(0, &draft(&id).with("Deadline-Ms", "1500"));
        run.leave(1, &resumption(&id, Some(&id)).with("Deadline-Ms", "8000"));
        sleep(Duration::from_millis(1_700).saturating_sub(begun_at.elapsed()));
        for gateway in 0..2 {
            let response = run.resume(gateway, &id).expect("a response");
            assert_eq!(response.status, 200, "{id}: {response:?}");
        }
        assert_eq!(run.versions_of(&id).len(), 1, "versions of {id}");
    }
}

/// The budget of a program, for two turns at their most.
const BUDGET: &str = "100";

/// Begins one stream of a program with a budget at each gateway, restarts gateways, and resumes the streams;
/// returns the statuses.
fn resume_with_budgets(name: &str, groups: &[&[usize]], how: Restart) -> Vec<u16> {
    let mut run = ProcessRun::start(name, GATEWAYS);
    let ids: Vec<String> = (0..2 * GATEWAYS)
        .map(|number| format!("b{number}"))
        .collect();
    thread::scope(|scope| {
        for (number, id) in ids.iter().enumerate() {
            let run = &run;
            scope.spawn(move || {
                run.leave(number % GATEWAYS, &draft(id).with("Token-Budget", BUDGET));
            });
        }
    });
    run.speed_up();
    sleep(SETTLED);
    for group in groups {
        restart(&mut run, group, how);
    }
    let resume = |(number, id): (usize, &String)| {
        let gateway = (number + 1) % GATEWAYS;
        let request = resumption(id, Some(id)).with("Token-Budget", BUDGET);
        let response = request.send(run.gateways.callers(gateway));
        let response = response.expect("a response");
        response.status
    };
    ids.iter().enumerate().map(resume).collect()
}

/// Guards against resumed streams that are refused because the tokens of their first attempts are lost.
#[test]
fn streams_of_programs_with_budgets_go_on_after_restarts() {
    for (name, groups, how) in [
        ("budget-pair", &[&[2, 3][..]][..], Restart::Kill),
        ("budget-all", &ALL_AT_ONCE[..], Restart::Kill),
    ] {
        let statuses = resume_with_budgets(name, groups, how);
        let resumed = statuses.iter().filter(|status| **status == 200).count();
        println!("{name}: {resumed} of {}", statuses.len());
        assert!(2 * resumed >= statuses.len(), "{name}: {statuses:?}");
    }
}
