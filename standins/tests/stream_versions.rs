//! Tests that a stream is resumed only at the software version that began it, wherever it was cut
//! and wherever it is resumed. The gateways are processes.

#[allow(dead_code, reason = "each test file uses a part")]
mod process_run;

use std::thread::sleep;
use std::time::{Duration, Instant};

use process_run::{BegunStream, EVENTS, LAST_EVENT, ProcessRun, event_ids, first_engine};
use standins::platform_backend::{Execution, PlatformBackend};
use standins::platform_caller::{CallerRequest, CallerResponse, exchange};
use standins::platform_run::{MODEL_SERVICE, PLAIN_SERVICE, PlatformRun, config, wait_until};
use standins::soak_proxy::ProxyMode;

/// The number of streams in a test. Without a preferred version, some of them would change theirs.
const STREAMS: usize = 8;
/// The number of gateways in a test.
const GATEWAYS: usize = 4;
/// The limit for a refusal that needs no server; a caller's deadline is seconds away.
const PROMPT: Duration = Duration::from_millis(500);

/// A stream whose caller has only its first events.
struct CutStream {
    id: String,
    /// The engine that ran it.
    engine: usize,
}

fn begin_all(run: &ProcessRun, gateway: usize) -> Vec<BegunStream> {
    let ids: Vec<String> = (0..STREAMS).map(|number| format!("s{number}")).collect();
    run.begin(gateway, &ids)
}

/// Begins streams at a gateway and drops their callers' connections.
fn cut_by_callers(run: &ProcessRun, gateway: usize) -> Vec<CutStream> {
    let streams = begin_all(run, gateway).into_iter();
    streams
        .map(|BegunStream { id, engine, .. }| CutStream { id, engine })
        .collect()
}

/// Begins streams at a gateway and kills it.
fn cut_by_kill(run: &mut ProcessRun, gateway: usize) -> Vec<CutStream> {
    let streams = begin_all(run, gateway);
    run.gateways.processes[gateway].kill();
    let cut = |stream: BegunStream| {
        let (id, engine) = (stream.id.clone(), stream.engine);
        let received = event_ids(&stream.finish());
        assert!(!received.contains(&EVENTS), "{id} was not cut");
        CutStream { id, engine }
    };
    streams.into_iter().map(cut).collect()
}

fn is_rest(response: &CallerResponse) -> bool {
    let rest: Vec<u64> = (LAST_EVENT + 1..=EVENTS).collect();
    response.status == 200 && response.is_complete && event_ids(&response.body) == rest
}

/// Resumes each stream while its first engine accepts no new requests, and checks that it is
/// completed by the other engine of the same version.
fn resume_all(run: &ProcessRun, gateway: usize, streams: &[CutStream]) {
    for CutStream { id, engine } in streams {
        run.drain(*engine, &[gateway]);
        let response = run.resume(gateway, id).expect("a response");
        run.undrain(*engine, &[gateway]);
        assert_eq!(run.versions_of(id).len(), 1, "versions of {id}");
        assert!(is_rest(&response), "{id}: {response:?}");
    }
}

/// Resumes a stream and checks that it is refused at once and runs nowhere.
fn assert_refused(run: &ProcessRun, gateway: usize, id: &str) {
    let sent_at = Instant::now();
    let response = run.resume(gateway, id).expect("a response");
    let took = sent_at.elapsed();
    assert_eq!(response.status, 503, "{id}: {response:?}");
    assert!(
        response.headers.contains_key("retry-after"),
        "{id}: {response:?}"
    );
    assert!(took < PROMPT, "{id} was refused after {took:?}");
    assert!(!run.has_resumed(id), "{id} has run");
}

/// Cuts the connections of one engine of each version while they stream, and checks that the other
/// one completes the answers.
fn check_engine_cut(name: &str, mode: ProxyMode) {
    let run = ProcessRun::start(name, 1);
    let streams = begin_all(&run, 0);
    let cut: Vec<usize> = ["v1", "v2"]
        .map(|version| first_engine(&streams, version))
        .into();
    for engine in &cut {
        run.cut_engine(*engine, mode);
    }
    for stream in streams {
        let (id, engine) = (stream.id.clone(), stream.engine);
        let received = stream.finish();
        assert_eq!(run.versions_of(&id).len(), 1, "versions of {id}");
        assert_eq!(
            run.engine_count(&id),
            1 + usize::from(cut.contains(&engine)),
            "{id}"
        );
        assert_eq!(
            event_ids(&received),
            (1..=EVENTS).collect::<Vec<_>>(),
            "{id}"
        );
    }
}

/// Guards against a gateway that resumes a stream of a crashed engine at another version.
#[test]
fn a_stream_reset_by_its_engine_stays_at_its_version() {
    check_engine_cut("reset-by-engine", ProxyMode::Reset);
}

/// Guards against a gateway that resumes a stream of a silent engine at another version.
#[test]
fn a_stream_of_a_silent_engine_stays_at_its_version() {
    check_engine_cut("silent-engine", ProxyMode::Blackhole);
}

/// Guards against a gateway that forgets the version of a stream whose caller disconnected.
#[test]
fn a_stream_resumed_at_the_same_gateway_stays_at_its_version() {
    let run = ProcessRun::start("same-gateway", GATEWAYS);
    let streams = cut_by_callers(&run, 0);
    resume_all(&run, 0, &streams);
}

/// Guards against a gateway that places the stream of another gateway as if it were new.
#[test]
fn a_stream_resumed_at_another_gateway_stays_at_its_version() {
    let run = ProcessRun::start("another-gateway", GATEWAYS);
    let streams = cut_by_callers(&run, 0);
    resume_all(&run, 1, &streams);
}

/// Guards against versions that are known only to a gateway that is gone.
#[test]
fn a_stream_of_a_killed_gateway_stays_at_its_version() {
    let mut run = ProcessRun::start("killed-gateway", GATEWAYS);
    let streams = cut_by_kill(&mut run, 0);
    resume_all(&run, 1, &streams);
}

/// Guards against a gateway that has just started and takes resumed streams for new ones.
#[test]
fn a_stream_resumed_at_a_restarted_gateway_stays_at_its_version() {
    let mut run = ProcessRun::start("restarted-gateway", GATEWAYS);
    let streams = cut_by_kill(&mut run, 0);
    run.gateways.processes[0].restart().expect("a process");
    run.gateways
        .wait_until_ready(0)
        .expect("a gateway that becomes ready");
    resume_all(&run, 0, &streams);
}

/// Guards against versions that are known only to the store.
#[test]
fn streams_stay_at_their_versions_while_the_store_is_unavailable() {
    let mut run = ProcessRun::start("store-unavailable", GATEWAYS);
    run.gateways.silence_store();
    let streams = cut_by_kill(&mut run, 0);
    for CutStream { id, engine } in &streams {
        run.cut_engine(*engine, ProxyMode::Reset);
        let response = run.resume(2, id).expect("a response");
        run.restore_engine(*engine);
        assert_eq!(run.versions_of(id).len(), 1, "versions of {id}");
        assert!(is_rest(&response), "{id}: {response:?}");
    }
}

/// Guards against resuming a stream at the version that has replaced its own, and against a caller
/// that waits for a version which does not return.
#[test]
fn a_stream_whose_version_is_gone_is_refused_at_once() {
    let run = ProcessRun::start("version-gone", GATEWAYS);
    let streams = cut_by_callers(&run, 0);
    for version in ["v1", "v2"] {
        run.drain_version(version, &[0, 1]);
        for CutStream { id, .. } in &streams {
            if run.versions_of(id).contains(version) {
                assert_refused(&run, 0, id);
                assert_refused(&run, 1, id);
            }
        }
        run.undrain_version(version, &[0, 1]);
    }
}

/// Guards against resuming a stream at any version when no gateway knows its own.
#[test]
fn a_stream_of_unknown_version_is_refused_at_once() {
    let mut run = ProcessRun::start("version-unknown", 2);
    // Nor does the store.
    run.gateways.silence_store();
    let streams = cut_by_kill(&mut run, 0);
    run.gateways.processes[1].kill();
    run.gateways.restore_store();
    for gateway in 0..2 {
        run.gateways.processes[gateway]
            .restart()
            .expect("a process");
    }
    for gateway in 0..2 {
        run.gateways
            .wait_until_ready(gateway)
            .expect("a gateway that becomes ready");
        for CutStream { id, .. } in &streams {
            assert_refused(&run, gateway, id);
        }
    }
}

/// Guards against a caller that waits for a gateway which has started while the store is
/// unavailable and knows nothing yet.
#[test]
fn a_gateway_started_without_the_store_refuses_streams_at_once() {
    let mut run = ProcessRun::start("started-without-store", 1);
    let streams = cut_by_kill(&mut run, 0);
    run.gateways.silence_store();
    run.gateways.processes[0].restart().expect("a process");
    run.gateways
        .wait_until_listening(0)
        .expect("a gateway that listens");
    for CutStream { id, .. } in &streams {
        assert_refused(&run, 0, id);
    }
}

/// Resumes streams whose version is gone, at each gateway and for a while, and checks that none runs.
fn assert_refused_for(run: &ProcessRun, span: Duration, streams: &[CutStream], version: &str) {
    let started_at = Instant::now();
    while started_at.elapsed() < span {
        for CutStream { id, .. } in streams {
            if !run.versions_of(id).contains(version) {
                continue;
            }
            for gateway in 0..run.gateways.processes.len() {
                for response in [run.resume(gateway, id), run.resume_unnamed(gateway, id)] {
                    let response = response.expect("a response");
                    assert_eq!(response.status, 503, "{id}: {response:?}");
                }
            }
        }
        sleep(Duration::from_millis(200));
    }
}

/// Guards against gateways that take the only version which they have ever listed for the only one
/// that there was.
#[test]
fn a_stream_of_a_version_that_is_gone_is_refused_after_all_gateways_were_killed() {
    let mut run = ProcessRun::start("killed-version-gone", GATEWAYS);
    let streams = cut_by_callers(&run, 0);
    run.remove_version("v1");
    run.restart_gateways();
    assert_refused_for(&run, Duration::from_secs(7), &streams, "v1");
}

/// Guards against a gateway that started after a version had gone and does not ask whether there was
/// one.
#[test]
fn a_stream_of_a_version_that_is_gone_is_refused_by_a_gateway_that_was_killed() {
    let mut run = ProcessRun::start("one-killed-version-gone", 2);
    let streams = cut_by_callers(&run, 0);
    run.remove_version("v1");
    for gateway in 0..2 {
        let process = &mut run.gateways.processes[gateway];
        process.kill();
        process.restart().expect("a process");
        run.gateways.wait_until_ready(gateway).expect("a gateway");
    }
    assert_refused_for(&run, Duration::from_secs(6), &streams, "v1");
}

/// Guards against a conclusion from the timeout of a route that was longer when the stream began.
#[test]
fn a_stream_that_is_older_than_a_shortened_timeout_is_refused() {
    let run = ProcessRun::start("shortened-timeout", 1);
    let streams = cut_by_callers(&run, 0);
    run.remove_version("v1");
    let short = config(2).replace(r#""TimeoutMs":2000"#, r#""TimeoutMs":200"#);
    run.store.put("keyed.op", "config", &short);
    let is_used = || {
        run.gateways
            .state(0)
            .is_ok_and(|s| s["config_version"] == 2)
    };
    wait_until(is_used).expect("the configuration in use");
    assert_refused_for(&run, Duration::from_secs(3), &streams, "v1");
}

/// Guards against a stream that is older than two timeouts of its route.
#[test]
fn a_stream_whose_caller_returns_late_is_refused_once_its_version_is_gone() {
    let run = ProcessRun::start("late-caller", 1);
    let streams = cut_by_callers(&run, 0);
    run.remove_version("v1");
    sleep(Duration::from_secs(5));
    assert_refused_for(&run, Duration::from_millis(500), &streams, "v1");
}

/// Resumes a stream of a caller that does not name the attempt which began it; returns the status.
fn resume_unnamed(run: &PlatformRun, gateway: usize, id: &str) -> u16 {
    let request = CallerRequest::turn("/draft/1", id, id, "x").with("Last-Event-Id", "2");
    request
        .send(run.callers(gateway))
        .expect("a response")
        .status
}

/// Guards against refusing callers that do not name the attempt which they resume while a service
/// has a single version, also at a gateway that has just started, and against resuming their
/// streams once it has two.
#[test]
fn a_stream_without_a_named_attempt_is_resumed_only_at_a_sole_version() {
    let mut run = PlatformRun::start(1).expect("a platform run");
    assert_eq!(
        resume_unnamed(&run, 0, "r1"),
        503,
        "no gateway has run for long enough"
    );
    wait_until(|| resume_unnamed(&run, 0, "r2") == 200).expect("a sole version");
    run.add_gateway().expect("another gateway");
    assert_eq!(
        resume_unnamed(&run, 1, "r3"),
        200,
        "the first gateway knows"
    );
    run.engines[1].configure(|settings| settings.version = "v2".to_owned());
    let entry = run.engines[1].entry(MODEL_SERVICE, "ready");
    run.store.put("keyed.servers", "e-2", &entry);
    for gateway in 0..2 {
        wait_until(|| resume_unnamed(&run, gateway, "r4") == 503).expect("two versions");
    }
}

/// Guards against refusing streams after a restart of all gateways although there has been one version
/// only.
#[test]
fn a_sole_version_is_known_after_all_gateways_have_ended() {
    let mut run = PlatformRun::start(1).expect("a platform run");
    wait_until(|| resume_unnamed(&run, 0, "r1") == 200).expect("a sole version");
    run.gateways.clear();
    run.add_gateway().expect("another gateway");
    assert_eq!(resume_unnamed(&run, 0, "r2"), 200);
}

/// Publishes a version of the configuration and waits until the first gateway uses it.
fn publish(run: &PlatformRun, version: u64, config: &str) {
    run.store.put("keyed.op", "config", config);
    let metrics = run.gateways[0].addresses.metrics.expect("an address");
    let request = b"GET /state HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
    let expected = format!("\"config_version\":{version},");
    let is_used = || exchange(metrics, request).is_ok_and(|state| state.body.contains(&expected));
    wait_until(is_used).expect("the configuration in use");
}

/// Guards against a stream of unknown origin that is resumed at the other service of a route which is
/// split between two.
#[test]
fn a_stream_without_a_named_attempt_is_refused_on_a_split_route() {
    let run = PlatformRun::start(1).expect("a platform run");
    wait_until(|| resume_unnamed(&run, 0, "r1") == 200).expect("a sole version");
    let half = |service: &str| format!(r#"{{"Service":"{service}","Weight":50}}"#);
    let halves = format!(
        r#""Backends":[{},{}]"#,
        half(MODEL_SERVICE),
        half(PLAIN_SERVICE)
    );
    let split = config(2).replace(&format!(r#""Service":"{MODEL_SERVICE}""#), &halves);
    publish(&run, 2, &split);
    for number in 0..8 {
        assert_eq!(resume_unnamed(&run, 0, &format!("s{number}")), 503);
    }
}

/// Guards against a stream that is resumed at the other service of a route which is split between
/// two.
#[test]
fn a_stream_on_a_split_route_stays_at_its_service() {
    let run = PlatformRun::start(1).expect("a platform run");
    let half = |service: &str| format!(r#"{{"Service":"{service}","Weight":50}}"#);
    let halves = format!(
        r#""Backends":[{},{}]"#,
        half(MODEL_SERVICE),
        half(PLAIN_SERVICE)
    );
    let split = config(2).replace(&format!(r#""Service":"{MODEL_SERVICE}""#), &halves);
    publish(&run, 2, &split);
    for number in 0..16 {
        let id = format!("s{number}");
        let begun = CallerRequest::turn("/draft/1", &id, &id, "x").send(run.callers(0));
        assert_eq!(begun.expect("a response").status, 200, "{id}");
        let resumed = CallerRequest::turn("/draft/1", &format!("{id}-resumed"), &id, "x")
            .with("Last-Event-Id", "2")
            .with("Resumes", &id)
            .send(run.callers(0));
        assert_eq!(resumed.expect("a response").status, 200, "{id}");
        let is_of_stream = |execution: &Execution| {
            execution
                .id
                .strip_suffix("-resumed")
                .unwrap_or(&execution.id)
                == id
        };
        let runs = |servers: &[PlatformBackend]| {
            let executions = servers.iter().flat_map(PlatformBackend::executions);
            executions.filter(is_of_stream).count()
        };
        let counts = [runs(&run.engines), runs(&run.plains)];
        assert!(
            counts.contains(&2) && counts.contains(&0),
            "{id}: {counts:?}"
        );
    }
}

/// Guards against a turn that is recorded without the events which its caller had received before,
/// so that the next turn would continue from an incomplete one.
#[test]
fn a_turn_that_keeps_context_is_not_resumed_without_its_first_events() {
    let run = PlatformRun::start(1).expect("a platform run");
    let resumable = config(2).replace(
        r#""KeepContext":true"#,
        r#""KeepContext":true,"Resumable":true"#,
    );
    publish(&run, 2, &resumable);
    let first = CallerRequest::turn("/chat/1", "t1", "p", "x").send(run.callers(0));
    assert_eq!(first.expect("a response").status, 200);
    let resumed = CallerRequest::turn("/chat/1", "t1-resumed", "p", "x")
        .with("Last-Event-Id", "2")
        .with("Resumes", "t1")
        .send(run.callers(0));
    assert_eq!(resumed.expect("a response").status, 503);
    let next = CallerRequest::turn("/chat/1", "t2", "p", "y")
        .with("Previous-Turn", "t1-resumed")
        .send(run.callers(0));
    assert_eq!(next.expect("a response").status, 404);
}
