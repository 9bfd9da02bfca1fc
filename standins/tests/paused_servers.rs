//! Tests that a server which falls silent for about a second and goes on costs no answer, wherever no
//! other server can take over the request. The gateways of streams are processes.

#[allow(dead_code, reason = "each test file uses a part")]
mod process_run;

use std::thread;
use std::time::Duration;

use process_run::{BegunStream, EVENTS, ProcessRun, event_ids};
use standins::platform_backend::{BackendFault, PlatformBackend};
use standins::platform_caller::{CallerRequest, CallerResponse, exchange};
use standins::platform_run::{PLAIN_SERVICE, PlatformRun, config, wait_until};
use standins::soak_proxy::ProxyMode;

/// How long a server is silent, between its timeouts and the deadlines.
const PAUSE: Duration = Duration::from_secs(1);
/// A pause that is longer than the timeout for the first event.
const FIRST_EVENT_PAUSE: Duration = Duration::from_millis(1_700);
/// The number of servers to which a request is sent at most.
const MAX_ATTEMPTS: usize = 2;
/// The number of streams that are begun where the retry budget has to suffice for all.
const FEW: usize = 8;
/// The number of requests at paused servers that exceeds the retry budget of their service.
const MANY: usize = 48;

/// A configuration whose deadlines are seconds away.
fn long_timeout_config(version: u64, attempts: u32) -> String {
    ["2000", "1200", "1000"]
        .iter()
        .fold(config(version), |config, timeout| {
            config.replace(&format!(r#""TimeoutMs":{timeout}"#), r#""TimeoutMs":8000"#)
        })
        .replace(r#""Attempts":2"#, &format!(r#""Attempts":{attempts}"#))
}

/// Starts a gateway before engines of two versions.
fn start(name: &str, attempts: u32) -> ProcessRun {
    let run = ProcessRun::start(name, 1);
    publish(&run, 2, attempts);
    wait_until(|| has_config(&run, 2)).expect("the configuration in use");
    run
}

fn publish(run: &ProcessRun, version: u64, attempts: u32) {
    let config = long_timeout_config(version, attempts);
    run.store.put("keyed.op", "config", &config);
}

fn has_config(run: &ProcessRun, version: u64) -> bool {
    let state = run.gateways.state(0);
    state.is_ok_and(|state| state["config_version"] == version)
}

fn begin(run: &ProcessRun, count: usize) -> Vec<BegunStream> {
    let ids: Vec<String> = (0..count).map(|number| format!("s{number}")).collect();
    run.begin(0, &ids)
}

/// Begins streams at the first engine of each version; the second one is draining.
fn begin_at_first(run: &ProcessRun, count: usize) -> Vec<BegunStream> {
    run.drain(1, &[0]);
    run.drain(3, &[0]);
    begin(run, count)
}

/// Silences engines for a while.
fn pause(run: &ProcessRun, engines: &[usize], span: Duration) {
    for engine in engines {
        run.cut_engine(*engine, ProxyMode::Blackhole);
    }
    thread::sleep(span);
    for engine in engines {
        run.restore_engine(*engine);
    }
}

/// Checks that all streams are completed: each event once, in order, and the end, by engines of one
/// version and no more of them than the route allows.
fn assert_whole(run: &ProcessRun, streams: Vec<BegunStream>) {
    let count = streams.len();
    let whole: Vec<u64> = (1..=EVENTS).collect();
    let mut broken = Vec::new();
    for stream in streams {
        let id = stream.id.clone();
        let received = stream.finish();
        assert_eq!(run.versions_of(&id).len(), 1, "versions of {id}");
        assert!(run.engine_count(&id) <= MAX_ATTEMPTS, "engines of {id}");
        if event_ids(&received) != whole || !received.ends_with("\r\n0\r\n\r\n") {
            broken.push(id);
        }
    }
    assert!(broken.is_empty(), "{} of {count}: {broken:?}", broken.len());
}

/// Guards against a stream that is cut although its route allows no other attempt.
#[test]
fn a_stream_in_its_only_attempt_survives_a_pause() {
    let run = start("only-attempt", 1);
    let streams = begin(&run, FEW);
    pause(&run, &[0, 1, 2, 3], PAUSE);
    assert_whole(&run, streams);
}

/// Guards against a stream that is cut in its last attempt, after an earlier engine has failed.
#[test]
fn a_stream_in_its_last_attempt_survives_a_pause() {
    let run = start("last-attempt", 2);
    let streams = begin(&run, FEW);
    run.slow_down();
    run.cut_engine(0, ProxyMode::Reset);
    run.cut_engine(2, ProxyMode::Reset);
    pause(&run, &[1, 3], PAUSE);
    assert_whole(&run, streams);
}

/// Guards against a stream that is cut although no other server has its version.
#[test]
fn a_stream_at_the_sole_server_of_its_version_survives_a_pause() {
    let run = start("sole-server", 2);
    let streams = begin_at_first(&run, FEW);
    pause(&run, &[0, 2], PAUSE);
    assert_whole(&run, streams);
    let metrics = run.gateways.processes[0].ports.metrics;
    let metrics = CallerRequest::new("GET", "/metrics", "m").send(metrics);
    let kept = format!("clementinepick_silent_servers_total{{outcome=\"kept\"}} {FEW}\n");
    assert!(metrics.expect("metrics").body.contains(&kept));
}

/// Guards against streams that are cut because the retry budget suffices only for some of them.
#[test]
fn many_streams_survive_a_pause_of_their_servers() {
    let run = start("many-streams", 2);
    let streams = begin(&run, MANY);
    pause(&run, &[0, 2], PAUSE);
    assert_whole(&run, streams);
}

/// Guards against a stream that is cut because its first event is late.
#[test]
fn streams_survive_a_late_first_event() {
    let run = start("late-first-event", 1);
    for engine in 0..4 {
        run.cut_engine(engine, ProxyMode::Blackhole);
    }
    let address = run.gateways.callers(0);
    let callers: Vec<_> = (0..FEW)
        .map(|number| {
            thread::spawn(move || {
                let id = format!("s{number}");
                CallerRequest::turn("/draft/1", &id, &id, "x").send(address)
            })
        })
        .collect();
    thread::sleep(FIRST_EVENT_PAUSE);
    for engine in 0..4 {
        run.restore_engine(engine);
    }
    let whole: Vec<u64> = (1..=EVENTS).collect();
    for caller in callers {
        let response = caller.join().expect("no panic").expect("a response");
        assert!(response.is_complete, "{response:?}");
        assert_eq!(event_ids(&response.body), whole, "{response:?}");
    }
}

/// Guards against a stream that is cut because the configuration changes while its server is silent.
#[test]
fn a_stream_survives_a_pause_beside_a_configuration_change() {
    let run = start("config-change", 2);
    let streams = begin_at_first(&run, FEW);
    run.cut_engine(0, ProxyMode::Blackhole);
    run.cut_engine(2, ProxyMode::Blackhole);
    publish(&run, 3, 1);
    thread::sleep(PAUSE);
    assert!(has_config(&run, 3), "the configuration has not changed");
    run.restore_engine(0);
    run.restore_engine(2);
    assert_whole(&run, streams);
}

/// Guards against a stream that leaves a silent engine for one that refuses it.
#[test]
fn a_stream_survives_a_pause_while_the_other_engine_refuses() {
    let run = start("refusing-successor", 2);
    let streams = begin_at_first(&run, FEW);
    for engine in [1, 3] {
        run.inject_faults(engine, BackendFault::Refuse, 2 * FEW);
        run.undrain(engine, &[0]);
    }
    pause(&run, &[0, 2], PAUSE);
    assert_whole(&run, streams);
}

/// Guards against a stream that leaves a silent engine for one that closes connections.
#[test]
fn a_stream_survives_a_pause_while_the_other_engine_fails() {
    let run = start("failing-successor", 2);
    let streams = begin_at_first(&run, FEW);
    for engine in [1, 3] {
        run.cut_engine(engine, ProxyMode::Reset);
        run.undrain(engine, &[0]);
    }
    pause(&run, &[0, 2], PAUSE);
    assert_whole(&run, streams);
}

/// Guards against a stream that leaves a silent engine for one that answers with an error, which a
/// begun stream can't deliver.
#[test]
fn a_stream_survives_a_pause_while_the_other_engine_answers_an_error() {
    let run = start("erring-successor", 2);
    let streams = begin_at_first(&run, FEW);
    for engine in [1, 3] {
        run.inject_faults(engine, BackendFault::Fail, 2 * FEW);
        run.undrain(engine, &[0]);
    }
    pause(&run, &[0, 2], PAUSE);
    assert_whole(&run, streams);
}

/// Guards against streams whose engines go on while they are being moved.
#[test]
fn streams_survive_pauses_that_end_during_their_move() {
    let run = start("ends-during-move", 2);
    let streams = begin(&run, MANY);
    run.slow_down();
    for (engines, pause_ms) in [([0, 2], 300), ([1, 3], 350), ([0, 2], 450)] {
        pause(&run, &engines, Duration::from_millis(pause_ms));
    }
    assert_whole(&run, streams);
}

/// Guards against a stream that leaves a silent engine for one that is silent too.
#[test]
fn a_stream_survives_a_pause_of_all_engines() {
    let run = start("silent-successor", 2);
    let streams = begin(&run, MANY);
    pause(&run, &[0, 1, 2, 3], PAUSE);
    assert_whole(&run, streams);
}

/// Guards against a stream that is cut because its silent server is draining or no longer listed.
#[test]
fn a_stream_survives_a_pause_of_a_server_that_leaves() {
    let run = start("leaving-server", 2);
    let streams = begin(&run, FEW);
    for engine in 0..4 {
        run.cut_engine(engine, ProxyMode::Blackhole);
    }
    run.drain_version("v1", &[0]);
    for server in ["b-1", "b-2"] {
        run.store.remove("keyed.servers", server);
    }
    thread::sleep(PAUSE);
    let state = run.gateways.state(0).expect("a state dump");
    let servers = state["servers"].as_array().expect("a list of servers");
    assert_eq!(servers.len(), 2, "listed servers: {servers:?}");
    for engine in 0..4 {
        run.restore_engine(engine);
    }
    assert_whole(&run, streams);
}

/// Guards against a stream that ends without its end and without a line that says why.
#[test]
fn the_log_says_why_a_stream_was_cut() {
    let run = start("cut-stream-log", 2);
    let streams = begin_at_first(&run, FEW);
    for engine in [0, 2] {
        run.cut_engine(engine, ProxyMode::Blackhole);
    }
    thread::sleep(PAUSE);
    for engine in [0, 2] {
        run.cut_engine(engine, ProxyMode::Reset);
    }
    for stream in streams {
        let id = stream.id.clone();
        stream.finish();
        let explains = |line: &str| {
            let fields = [
                r#""msg":"request_failed""#,
                &format!(r#""request":"{id}""#),
                r#""no_attempt":"no_server""#,
                r#""silent_server":""#,
                r#":no_server""#,
            ];
            fields.iter().all(|field| line.contains(field))
        };
        let is_logged = || {
            run.gateways
                .log(0)
                .is_ok_and(|log| log.lines().any(explains))
        };
        wait_until(is_logged).expect("a line that explains the cut");
    }
}

/// Starts a gateway before two plain servers that take [`PAUSE`] for each response.
fn start_slow_plains(attempts: u32) -> PlatformRun {
    let run = PlatformRun::start(1).expect("a platform run");
    run.store
        .put("keyed.op", "config", &long_timeout_config(2, attempts));
    wait_until(|| state(&run).contains("\"config_version\":2,")).expect("the configuration in use");
    for plain in &run.plains {
        plain.configure(|settings| settings.pause = PAUSE);
    }
    run
}

fn state(run: &PlatformRun) -> String {
    let metrics = run.gateways[0].addresses.metrics.expect("an address");
    let request = b"GET /state HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
    exchange(metrics, request).map_or(String::new(), |state| state.body)
}

/// Sends lookups at the same time.
fn look(run: &PlatformRun, count: usize) -> Vec<CallerResponse> {
    let address = run.callers(0);
    let callers: Vec<_> = (0..count)
        .map(|number| {
            let request = CallerRequest::new("GET", "/look/1", &format!("r{number}"));
            thread::spawn(move || request.send(address).expect("a response"))
        })
        .collect();
    let joined = callers
        .into_iter()
        .map(|caller| caller.join().expect("no panic"));
    joined.collect()
}

fn assert_served(responses: &[CallerResponse]) {
    let failed = responses.iter().filter(|response| response.status != 200);
    let statuses: Vec<u16> = failed.map(|response| response.status).collect();
    let count = responses.len();
    assert!(
        statuses.is_empty(),
        "{} of {count}: {statuses:?}",
        statuses.len()
    );
}

/// Guards against an idempotent call that is given up although no other server is left.
#[test]
fn a_lookup_at_the_sole_server_survives_a_pause() {
    let run = start_slow_plains(2);
    let leaving = run.plains[1].entry(PLAIN_SERVICE, "draining");
    run.store.put("keyed.servers", "p-2", &leaving);
    wait_until(|| state(&run).contains("\"is_draining\":true")).expect("a draining server");
    assert_served(&look(&run, FEW));
    let executions = run.plains.iter().map(PlatformBackend::executions);
    assert_eq!(executions.map(|runs| runs.len()).sum::<usize>(), FEW);
}

/// Guards against idempotent calls that are answered while they are being moved.
#[test]
fn lookups_survive_responses_that_come_during_their_move() {
    let run = start_slow_plains(2);
    for pause_ms in [100, 110, 150, 250] {
        for plain in &run.plains {
            plain.configure(|settings| settings.pause = Duration::from_millis(pause_ms));
        }
        assert_served(&look(&run, MANY));
    }
}

/// Guards against idempotent calls that are given up although the retry budget is empty.
#[test]
fn many_lookups_survive_a_pause_of_their_servers() {
    let run = start_slow_plains(2);
    assert_served(&look(&run, MANY));
}

/// Guards against a refusal that promises that a call has not run, after the server to which it was
/// to move has run it.
#[test]
fn a_lookup_that_a_successor_ran_is_not_refused() {
    let run = start_slow_plains(2);
    let put = |state: &str| {
        let entry = run.plains[1].entry(PLAIN_SERVICE, state);
        run.store.put("keyed.servers", "p-2", &entry);
    };
    put("draining");
    wait_until(|| state(&run).contains("\"is_draining\":true")).expect("a draining server");
    run.plains[0].inject_fault(BackendFault::RefuseAfter(2 * PAUSE));
    run.plains[1].inject_fault(BackendFault::LoseResponse);
    let responses = thread::scope(|scope| {
        let caller = scope.spawn(|| look(&run, 1));
        thread::sleep(PAUSE / 4);
        put("ready");
        caller.join().expect("no panic")
    });
    assert_eq!(run.plains[1].executions().len(), 1, "the successor's runs");
    assert_eq!(responses[0].status, 502, "{:?}", responses[0]);
}

/// Guards against taking servers that refuse new connections, pause and go on for ended ones.
#[test]
fn answers_of_paused_servers_that_refuse_connections_are_delivered() {
    let run = PlatformRun::start(1).expect("a platform run");
    run.store
        .put("keyed.op", "config", &long_timeout_config(2, 2));
    let metrics = run.gateways[0].addresses.metrics.expect("an address");
    let state = b"GET /state HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
    let is_used =
        || exchange(metrics, state).is_ok_and(|state| state.body.contains("\"config_version\":2,"));
    wait_until(is_used).expect("the configuration in use");
    let servers = || run.engines.iter().chain(&run.plains);
    for server in servers() {
        server.configure(|settings| settings.pause = PAUSE);
    }
    let booking = CallerRequest {
        body: "x".to_owned(),
        ..CallerRequest::new("POST", "/book/1", "booking")
    };
    let requests = [
        booking,
        CallerRequest::new("GET", "/look/1", "lookup"),
        CallerRequest::turn("/chat/1", "turn", "p1", "x"),
        CallerRequest::turn("/draft/1", "draft", "p2", "x"),
    ];
    let callers = run.callers(0);
    let sent = requests.map(|request| thread::spawn(move || request.send(callers)));
    let executions = || {
        servers()
            .map(|server| server.executions().len())
            .sum::<usize>()
    };
    wait_until(|| executions() >= 4).expect("running requests");
    for server in servers() {
        server.refuse_connections();
    }
    for request in sent {
        let response = request.join().expect("a caller").expect("a response");
        assert_eq!(response.status, 200, "{response:?}");
        assert!(response.is_complete, "{response:?}");
    }
}
