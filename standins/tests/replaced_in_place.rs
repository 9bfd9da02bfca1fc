//! Tests that no stream has events of two software versions when servers are replaced by others of the
//! same id and address that gateways have not read of. The gateways are processes.

#[allow(dead_code, reason = "each test file uses a part")]
mod replaced_run;

use std::thread::sleep;
use std::time::Duration;

use replaced_run::{EVENTS, ListState, ReplacedRun, ReplacedSettings, Stream, event_ids};
use standins::platform_backend::BackendFault;

/// The times from the end of a server to the start of its replacement.
const RESTART_DELAYS: [Duration; 2] = [Duration::ZERO, Duration::from_millis(400)];
/// The age at which no gateway takes the list that it has for current.
const MIN_OUTAGE: Duration = Duration::from_millis(2_500);
/// The time after which a sole version counts as known: two timeouts of the route.
const MIN_KNOWN: Duration = Duration::from_millis(4_300);
/// The time in which a gateway and its peers notice the end of a server.
const NOTICE: Duration = Duration::from_millis(100);

/// The number of streams that break at a replaced server.
const MAX_CUT: usize = 6;
/// The number of times that streams are begun until one begins at the replaced server, and the pause
/// between them.
const MAX_ROUNDS: usize = 20;
const ROUND_PAUSE: Duration = Duration::from_millis(200);

/// Runs `check` for each restart delay and state of the list.
fn for_each_case(name: &str, has_start_times: bool, check: impl Fn(&mut ReplacedRun)) {
    for (number, restart_delay) in RESTART_DELAYS.into_iter().enumerate() {
        for list in [ListState::Away, ListState::Unwritten] {
            let settings = ReplacedSettings {
                has_start_times,
                restart_delay,
                list,
            };
            let name = format!("{name}-{has_start_times}-{number}-{list:?}");
            let mut run = ReplacedRun::start(&name, settings);
            check(&mut run);
        }
    }
}

/// Begins streams at the first gateway, replaces the servers one after the other, and lets the gateway
/// resume what breaks.
fn check_within_the_answer(run: &mut ReplacedRun) {
    run.make_list_unreadable();
    let streams = run.begin(0, "s");
    run.replace(0);
    sleep(NOTICE);
    run.replace(1);
    for stream in streams {
        stream.finish().assert_one_version(run);
    }
}

/// Guards against streams that their gateway resumes at a server which was replaced before.
#[test]
fn streams_are_not_resumed_within_the_answer_at_replaced_servers() {
    for_each_case("within", false, check_within_the_answer);
}

/// Guards against the same with servers that report their start times.
#[test]
fn streams_are_not_resumed_within_the_answer_at_servers_with_other_start_times() {
    for_each_case("within", true, check_within_the_answer);
}

/// Lets streams break under their callers, who resume them at each gateway and with and without the
/// name of the attempt.
fn check_by_callers(run: &mut ReplacedRun) {
    run.make_list_unreadable();
    let streams = run.begin(0, "s");
    run.replace_all();
    for stream in streams {
        let mut cut = stream.finish();
        cut.assert_one_version(run);
        for gateway in 0..2 {
            for is_named in [true, false] {
                run.resume(gateway, &mut cut, is_named);
                cut.assert_one_version(run);
            }
        }
    }
}

/// Guards against streams that go on at a replaced server when their callers resume them, also at a
/// gateway that had no run there.
#[test]
fn callers_do_not_resume_streams_at_replaced_servers() {
    for_each_case("callers", false, check_by_callers);
}

/// Guards against the same with servers that report their start times.
#[test]
fn callers_do_not_resume_streams_at_servers_with_other_start_times() {
    for_each_case("callers", true, check_by_callers);
}

/// Guards against a replacement that no gateway could notice, since none had a connection there.
#[test]
fn streams_are_not_resumed_at_servers_that_were_replaced_unnoticed() {
    for_each_case("unnoticed", true, |run| {
        let streams = run.begin(0, "s");
        let cut: Vec<Stream> = streams.into_iter().map(Stream::disconnect).collect();
        run.make_list_unreadable();
        sleep(NOTICE);
        run.replace_all();
        for mut stream in cut {
            run.resume(1, &mut stream, true);
            run.resume(0, &mut stream, true);
            stream.assert_one_version(run);
        }
    });
}

/// Begins streams until one of them has begun at the replaced server, which gateways avoid for a while.
fn begin_until_at_replaced(run: &ReplacedRun) -> Vec<Stream> {
    let mut streams = Vec::new();
    for round in 0..MAX_ROUNDS {
        let begun = run.begin(0, &format!("s{round}-"));
        let is_found = begun.iter().any(|stream| run.began_at(stream, "v2"));
        streams.extend(begun);
        if is_found {
            return streams;
        }
        sleep(ROUND_PAUSE);
    }
    panic!("no stream has begun at the replaced server");
}

/// Begins streams at a replaced server, breaks them, and lets the gateway and then their callers resume
/// them while a server of the earlier version is there.
fn check_begun_at_replaced(run: &mut ReplacedRun) {
    run.make_list_unreadable();
    // Runs there let the gateway notice the end.
    let earlier = run.begin(0, "earlier");
    run.replace(0);
    sleep(NOTICE);
    run.inject_faults(0, BackendFault::CutAfter(5), MAX_CUT);
    for stream in begin_until_at_replaced(run) {
        let mut cut = stream.finish();
        cut.assert_one_version(run);
        for gateway in 0..2 {
            run.resume(gateway, &mut cut, true);
            cut.assert_one_version(run);
        }
    }
    for stream in earlier {
        stream.finish().assert_one_version(run);
    }
}

/// Guards against streams that begin at a replaced server and go on at one of the version which it had.
#[test]
fn streams_that_begin_at_replaced_servers_are_not_joined() {
    for_each_case("begun", false, check_begun_at_replaced);
}

/// Guards against the same with servers that report their start times.
#[test]
fn streams_that_begin_at_servers_with_other_start_times_are_not_joined() {
    for_each_case("begun", true, check_begun_at_replaced);
}

/// Begins streams at a server that was replaced unnoticed, breaks them, and lets their callers resume
/// them, if their gateway does not.
fn check_begun_unnoticed(run: &mut ReplacedRun) {
    run.replace(0);
    run.inject_faults(0, BackendFault::CutAfter(5), MAX_CUT);
    for stream in begin_until_at_replaced(run) {
        let mut cut = stream.finish();
        run.resume(1, &mut cut, true);
        cut.assert_one_version(run);
    }
}

/// Guards against a stream that begins at a server which was replaced unnoticed long after the last
/// list was read.
#[test]
fn streams_that_begin_at_servers_replaced_unnoticed_are_not_joined() {
    let settings = ReplacedSettings {
        has_start_times: true,
        restart_delay: Duration::ZERO,
        list: ListState::Away,
    };
    let mut run = ReplacedRun::start("begun-unnoticed", settings);
    run.make_list_unreadable();
    sleep(MIN_OUTAGE);
    check_begun_unnoticed(&mut run);
}

/// Guards against an origin from a list that is young and yet older than the replacement.
#[test]
fn streams_that_begin_soon_after_a_replacement_are_not_joined() {
    for_each_case("begun-soon", true, |run| {
        run.make_list_unreadable();
        check_begun_unnoticed(run);
    });
}

/// Guards against the same if the callers disconnect before the streams break.
#[test]
fn streams_left_soon_after_a_replacement_are_not_joined() {
    for_each_case("left-soon", true, |run| {
        run.make_list_unreadable();
        run.replace(0);
        for mut stream in begin_until_at_replaced(run)
            .into_iter()
            .map(Stream::disconnect)
        {
            run.resume(1, &mut stream, true);
            run.resume(0, &mut stream, true);
            stream.assert_one_version(run);
        }
    });
}

/// Guards against starts of unknown version of which only processes know, for callers that do not name
/// the attempt.
#[test]
fn streams_of_unknown_starts_are_not_joined_after_all_gateways_were_killed() {
    let settings = ReplacedSettings {
        has_start_times: true,
        restart_delay: Duration::ZERO,
        list: ListState::Unwritten,
    };
    let mut run = ReplacedRun::start("unknown-killed", settings);
    sleep(MIN_KNOWN);
    run.replace(0);
    let streams = begin_until_at_replaced(&run);
    let left: Vec<Stream> = streams.into_iter().map(Stream::disconnect).collect();
    run.restart_gateways();
    for mut stream in left {
        run.resume(1, &mut stream, false);
        stream.assert_one_version(&run);
    }
}

fn start_sound(name: &str, has_start_times: bool) -> ReplacedRun {
    let settings = ReplacedSettings {
        has_start_times,
        restart_delay: Duration::ZERO,
        list: ListState::Away,
    };
    let mut run = ReplacedRun::start(&format!("{name}-{has_start_times}"), settings);
    run.make_list_unreadable();
    run
}

/// Guards against refusing the streams of servers that have only reset connections.
#[test]
fn streams_of_servers_that_reset_connections_go_on() {
    for has_start_times in [false, true] {
        let run = start_sound("reset", has_start_times);
        run.inject_faults(0, BackendFault::CutAfter(5), 2);
        for stream in run.begin(0, "s") {
            stream.finish().assert_complete(&run);
        }
    }
}

/// Guards against refusing the streams of servers that were only stalled.
#[test]
fn streams_of_servers_that_pause_go_on() {
    for has_start_times in [false, true] {
        let run = start_sound("paused", has_start_times);
        let streams = run.begin(0, "s");
        run.suspend(0, Duration::from_millis(250));
        for stream in streams {
            stream.finish().assert_complete(&run);
        }
    }
}

/// Guards against refusing streams that callers resume over new connections while no list can be read.
#[test]
fn streams_of_sound_servers_are_resumed_over_new_connections() {
    for has_start_times in [false, true] {
        let run = start_sound("new-connections", has_start_times);
        sleep(MIN_OUTAGE);
        let streams = run.begin(0, "s").into_iter();
        for mut stream in streams.map(Stream::disconnect) {
            let status = run.resume(1, &mut stream, true);
            assert_eq!(status, 200, "{}", stream.id);
            stream.assert_complete(&run);
        }
    }
}

/// Guards against refusing streams whose own version still runs at a server that was not replaced.
#[test]
fn streams_of_a_replaced_server_go_on_at_one_that_was_not() {
    for has_start_times in [false, true] {
        let mut run = start_sound("one-replaced", has_start_times);
        let streams = run.begin(0, "s");
        run.replace(0);
        for stream in streams {
            let finished = stream.finish();
            assert_eq!(
                event_ids(&finished.received),
                (1..=EVENTS).collect::<Vec<_>>()
            );
            finished.assert_complete(&run);
        }
    }
}
