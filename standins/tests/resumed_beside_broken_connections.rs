//! Tests that streams go on at servers that report no start time although connections to these servers
//! broke: those of gateways that were killed, and those of other gateways.

#[allow(dead_code, reason = "each test file uses a part")]
mod process_run;

use std::thread::{self, ScopedJoinHandle, sleep};
use std::time::Duration;

use process_run::{BegunStream, EVENTS, LAST_EVENT, ProcessRun, draft, event_ids, resumption};
use rustix::process::Signal;
use standins::platform_caller::CallerResponse;

/// The gateways, and those of them that are killed while streams run there.
const GATEWAYS: usize = 8;
const KILLED: [usize; 2] = [0, 1];
/// The number of streams at each gateway when connections break, and of those before, which leave
/// connections behind.
const STREAMS_PER_GATEWAY: usize = 4;
const EARLIER_PER_GATEWAY: usize = 16;
/// The rounds of earlier streams and the time after each: in all, the list has been read long enough after
/// their connections were opened, and these are not idle for longer than servers keep them.
const ROUNDS: usize = 2;
const ROUND: Duration = Duration::from_millis(1_800);
/// The time from a kill to the attempt to resume.
const SOON: Duration = Duration::from_millis(5);

/// Starts gateways and runs streams, so that all of them have connections to all servers.
fn start(name: &str) -> ProcessRun {
    let run = ProcessRun::start(name, GATEWAYS);
    run.speed_up();
    for round in 0..ROUNDS {
        thread::scope(|scope| {
            for number in 0..GATEWAYS * EARLIER_PER_GATEWAY {
                let address = run.gateways.callers(number % GATEWAYS);
                scope.spawn(move || {
                    let stream = draft(&format!("earlier-{round}-{number}"));
                    assert_eq!(stream.send(address).expect("a stream").status, 200);
                });
            }
        });
        sleep(ROUND);
    }
    run
}

/// Begins streams at gateways; returns them with the connections of their callers.
fn begin(run: &ProcessRun, gateways: impl IntoIterator<Item = usize>) -> Vec<BegunStream> {
    let begin = |gateway: usize| {
        run.slow_down();
        let ids: Vec<String> = (0..STREAMS_PER_GATEWAY)
            .map(|number| format!("s-{gateway}-{number}"))
            .collect();
        run.begin(gateway, &ids)
    };
    gateways.into_iter().flat_map(begin).collect()
}

fn is_rest(response: &CallerResponse) -> bool {
    let rest: Vec<u64> = (LAST_EVENT + 1..=EVENTS).collect();
    response.status == 200 && response.is_complete && event_ids(&response.body) == rest
}

/// Resumes all streams at once at gateways that were not killed; returns how many went on to their ends.
fn count_resumed(run: &ProcessRun, ids: &[String]) -> usize {
    let others = GATEWAYS - KILLED.len();
    thread::scope(|scope| {
        let resume = |(number, id): (usize, &String)| {
            let address = run.gateways.callers(KILLED.len() + number % others);
            let request = resumption(id, Some(id));
            scope.spawn(move || {
                let response = request.send(address);
                is_rest(&response.expect("a response"))
            })
        };
        let resumed: Vec<_> = ids.iter().enumerate().map(resume).collect();
        let resumed = resumed.into_iter().map(ScopedJoinHandle::join);
        resumed
            .filter(|is_rest| *is_rest.as_ref().expect("a caller"))
            .count()
    })
}

/// Begins streams everywhere, breaks one in `one_in` of all connections to servers, and kills some gateways;
/// checks that at least half of their streams go on at the other ones.
fn check(name: &str, one_in: Option<u64>) {
    let mut run = start(name);
    let others = begin(&run, KILLED.len()..GATEWAYS);
    let begun = begin(&run, KILLED);
    let ids: Vec<String> = begun.iter().map(|stream| stream.id.clone()).collect();
    if let Some(one_in) = one_in {
        run.reset_connections(one_in);
    }
    for gateway in KILLED {
        run.gateways.processes[gateway].send_signal(Signal::KILL);
    }
    sleep(SOON);
    let resumed = count_resumed(&run, &ids);
    for gateway in KILLED {
        run.gateways.processes[gateway].kill();
    }
    let count = ids.len();
    for id in ids.iter().chain(others.iter().map(|stream| &stream.id)) {
        assert_eq!(run.versions_of(id).len(), 1, "versions of {id}");
    }
    assert!(2 * resumed >= count, "{resumed} of {count} went on");
}

/// Guards against doubting servers since the connections of lost gateways to them are.
#[test]
fn streams_go_on_after_their_gateways_were_killed() {
    check("broken-killed", None);
}

/// Guards against doubting all servers at all gateways since some connections broke, to each of them one.
#[test]
fn streams_go_on_after_half_of_all_connections_broke() {
    check("broken-half", Some(2));
}

/// Guards against the same if few connections broke.
#[test]
fn streams_go_on_after_some_connections_broke() {
    check("broken-some", Some(5));
}
