//! Tests that a gateway which is out of step, without the store, without its peers or suspended, joins
//! no stream of runs at servers of two software versions. The gateways are processes.

#[allow(dead_code, reason = "each test file uses a part")]
mod process_run;

use std::thread::{self, JoinHandle, sleep};
use std::time::{Duration, Instant};

use process_run::{EVENTS, LAST_EVENT, ProcessRun, event_ids, resumption};
use rustix::process::Signal;
use standins::peer_links::SilentPeers;
use standins::platform_caller::{CallerRequest, CallerResponse};
use standins::platform_run::wait_until;
use standins::platform_store::StoreMode;

/// The number of streams in a test, as many as a gateway may run at two servers. About half of them
/// begin at each version.
const STREAMS: usize = 16;
/// The gateway that is out of step.
const STALE: usize = 0;
/// A gateway through which streams begin.
const IN_STEP: usize = 1;
/// The number of gateways in a test. The one out of step holds copies of about half of the origins.
const GATEWAYS: usize = 5;
/// The limit for a refusal; a caller's deadline is seconds away.
const PROMPT: Duration = Duration::from_millis(500);
/// How long a suspension lasts. The store has responded to any long poll before it ends.
const SUSPENSION: Duration = Duration::from_millis(1_800);
/// How long after the start of a suspension the store has responded to any long poll.
const LONG_POLL_END: Duration = Duration::from_millis(1_250);
/// How soon after a change of the list another long poll has begun.
const LONG_POLL_START: Duration = Duration::from_millis(50);
/// How long the store takes to respond to a gateway that goes on after a suspension.
const SLOW_STORE: Duration = Duration::from_millis(100);
/// How long callers try again, in tests in which a gateway stays out of step.
const RETRY_SPAN: Duration = Duration::from_millis(2_500);
/// The maximum number of calls for each kind of reads, of all streams in a test that arrive together:
/// two that they share, and those on schedule.
const SHARED_READS: u64 = 6;
/// How soon after a gateway is back its callers' streams go on.
const RECOVERY_LIMIT: Duration = Duration::from_millis(1_200);

/// Whether a caller names the attempt that began its stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Naming {
    Named,
    Unnamed,
}

/// The response to an attempt to resume a stream.
struct Resumption {
    id: String,
    response: CallerResponse,
    took: Duration,
}

/// Starts gateways while only the engines of the first version are listed, and waits until the
/// gateway that will be out of step resumes streams of callers that don't name their attempt.
fn start(name: &str) -> ProcessRun {
    let run = ProcessRun::start_listing(name, GATEWAYS, &["v1"]);
    let goes_on = || {
        run.resume_unnamed(STALE, "warm-up")
            .is_ok_and(|r| is_rest(&r))
    };
    wait_until(goes_on).expect("a sole version");
    begin_long_polls(&run);
    run
}

/// Renews an entry, which ends the long polls of the list, and waits until the next ones have begun.
fn begin_long_polls(run: &ProcessRun) {
    run.undrain_version("v1", &[]);
    sleep(LONG_POLL_START);
}

fn is_rest(response: &CallerResponse) -> bool {
    let rest: Vec<u64> = (LAST_EVENT + 1..=EVENTS).collect();
    response.status == 200 && response.is_complete && event_ids(&response.body) == rest
}

/// Begins streams through a gateway and drops their callers' connections; returns their ids.
fn begin_and_drop(run: &ProcessRun, gateway: usize) -> Vec<String> {
    run.slow_down();
    let ids: Vec<String> = (0..STREAMS).map(|number| format!("s{number}")).collect();
    let streams = run.begin(gateway, &ids);
    streams.into_iter().map(|stream| stream.id).collect()
}

/// Adds the servers of the second version and begins streams through a gateway that lists them.
fn join_and_begin(run: &ProcessRun) -> Vec<String> {
    run.undrain_version("v2", &[IN_STEP]);
    let ids = begin_and_drop(run, IN_STEP);
    let is_second = |id: &&String| run.versions_of(id).contains("v2");
    assert!(ids.iter().filter(is_second).count() >= STREAMS / 8);
    ids
}

/// Sends the requests that resume streams, all at the same time.
fn send_all(
    run: &ProcessRun,
    gateway: usize,
    ids: &[String],
    naming: Naming,
) -> Vec<JoinHandle<Resumption>> {
    let address = run.gateways.callers(gateway);
    let send = |id: &String| {
        let id = id.clone();
        thread::spawn(move || {
            let named = (naming == Naming::Named).then_some(id.as_str());
            let sent_at = Instant::now();
            let response = resumption(&id, named).send(address).expect("a response");
            let took = sent_at.elapsed();
            Resumption { id, response, took }
        })
    };
    ids.iter().map(send).collect()
}

fn resume_all(run: &ProcessRun, gateway: usize, ids: &[String], naming: Naming) -> Vec<Resumption> {
    join_all(send_all(run, gateway, ids, naming))
}

fn join_all(sent: Vec<JoinHandle<Resumption>>) -> Vec<Resumption> {
    let join = |caller: JoinHandle<Resumption>| caller.join().expect("no panic");
    sent.into_iter().map(join).collect()
}

/// Checks that no stream has run at servers of two versions.
fn assert_not_joined(run: &ProcessRun, ids: &[String]) {
    let is_joined = |id: &&String| run.versions_of(id).len() > 1;
    let joined: Vec<&String> = ids.iter().filter(is_joined).collect();
    let count = joined.len();
    assert!(
        joined.is_empty(),
        "{count} of {} joined: {joined:?}",
        ids.len()
    );
}

/// Checks that each stream has gone on at its version, or was refused at once.
fn assert_whole_or_refused(resumptions: &[Resumption], limit: Duration) {
    for Resumption { id, response, took } in resumptions {
        if response.status == 200 {
            assert!(is_rest(response), "{id}: {response:?}");
            continue;
        }
        assert_eq!(response.status, 503, "{id}: {response:?}");
        assert!(response.headers.contains_key("retry-after"), "{id}");
        assert!(*took < limit, "{id} was refused after {took:?}");
    }
}

/// Resumes streams again and again for a while, and checks after each time that none is joined.
fn check_for(run: &ProcessRun, span: Duration, ids: &[String], naming: Naming) {
    let started_at = Instant::now();
    let mut left = ids.to_vec();
    while started_at.elapsed() < span && !left.is_empty() {
        let resumptions = resume_all(run, STALE, &left, naming);
        assert_not_joined(run, ids);
        assert_whole_or_refused(&resumptions, PROMPT);
        left.retain(|id| !run.has_resumed(id));
        sleep(Duration::from_millis(20));
    }
}

/// Suspends the gateway for [`SUSPENSION`] while `work` is done after the store has responded to its
/// long polls.
fn while_suspended<T>(run: &ProcessRun, work: impl FnOnce() -> T) -> T {
    // The next long poll may begin a while after the last one.
    sleep(Duration::from_millis(200));
    begin_long_polls(run);
    let suspended_at = Instant::now();
    run.gateways.processes[STALE].send_signal(Signal::STOP);
    sleep(LONG_POLL_END);
    let done = work();
    sleep(SUSPENSION.saturating_sub(suspended_at.elapsed()));
    done
}

fn go_on(run: &ProcessRun) {
    run.gateways.processes[STALE].send_signal(Signal::CONT);
}

/// Retries streams of one version as their callers do, at most until `limit` after now, and checks that
/// all go on.
fn assert_all_go_on(run: &ProcessRun, ids: &[String], limit: Duration) {
    let back_at = Instant::now();
    let mut left = ids.to_vec();
    while !left.is_empty() {
        assert!(
            back_at.elapsed() < limit,
            "{} of {} did not go on: {left:?}",
            left.len(),
            ids.len()
        );
        let resumptions = resume_all(run, STALE, &left, Naming::Unnamed);
        let has_gone_on = |id: &String| {
            let mut all = resumptions.iter();
            all.any(|resumption| resumption.id == *id && is_rest(&resumption.response))
        };
        left.retain(|id| !has_gone_on(id));
        sleep(Duration::from_millis(20));
    }
}

/// Guards against a gateway that takes the only version on its list for the only one that there is,
/// while the store is silent to it.
#[test]
fn a_gateway_without_the_store_joins_no_stream_of_a_version_it_has_not_read() {
    let run = start("stale-store");
    run.gateways.set_store_mode_for(STALE, StoreMode::Silent);
    let ids = join_and_begin(&run);
    check_for(&run, RETRY_SPAN, &ids, Naming::Unnamed);
}

/// Guards against a gateway that takes silent peers for peers that know of no other version.
#[test]
fn a_gateway_without_the_store_and_its_peers_joins_no_stream() {
    let run = start("stale-alone");
    run.gateways.set_store_mode_for(STALE, StoreMode::Silent);
    let ids = join_and_begin(&run);
    let silent = SilentPeers::of(&run.gateways.processes, STALE);
    check_for(&run, RETRY_SPAN, &ids, Naming::Unnamed);
    drop(silent);
}

/// Guards against a gateway that takes silent peers for peers that have not recorded a stream.
#[test]
fn a_gateway_without_the_store_and_its_peers_joins_no_stream_of_a_named_attempt() {
    let run = start("stale-alone-named");
    run.gateways.set_store_mode_for(STALE, StoreMode::Silent);
    let ids = join_and_begin(&run);
    let silent = SilentPeers::of(&run.gateways.processes, STALE);
    check_for(&run, RETRY_SPAN, &ids, Naming::Named);
    drop(silent);
}

/// Guards against a list that counts as new because its response waited in a socket.
#[test]
fn a_gateway_that_was_suspended_over_a_response_joins_no_stream() {
    let run = start("stale-suspended");
    let ids = while_suspended(&run, || join_and_begin(&run));
    run.store.set_delay(SLOW_STORE);
    go_on(&run);
    check_for(&run, RETRY_SPAN, &ids, Naming::Unnamed);
}

/// Guards against a list that counts as new because its response waited in a socket, for callers
/// whose attempts only silent peers have recorded. The store falls silent after that response.
#[test]
fn a_suspended_gateway_without_its_peers_joins_no_stream_of_a_named_attempt() {
    let run = start("stale-suspended-named");
    let ids = while_suspended(&run, || join_and_begin(&run));
    let silent = SilentPeers::of(&run.gateways.processes, STALE);
    run.gateways.set_store_mode_for(STALE, StoreMode::Silent);
    go_on(&run);
    check_for(&run, RETRY_SPAN, &ids, Naming::Named);
    drop(silent);
}

/// Guards against a gateway that has not read a version which joined and left between two reads.
#[test]
fn a_stream_of_a_version_that_joined_and_left_unread_is_refused() {
    let run = start("stale-joined-and-left");
    let ids = while_suspended(&run, || {
        let ids = join_and_begin(&run);
        run.remove_version("v2");
        ids
    });
    go_on(&run);
    check_for(&run, RETRY_SPAN, &ids, Naming::Unnamed);
}

/// Guards against a gateway that missed a version before the store fell silent to all.
#[test]
fn a_gateway_that_missed_a_version_before_an_outage_joins_no_stream() {
    let run = start("stale-outage");
    run.gateways.set_store_mode_for(STALE, StoreMode::Silent);
    let ids = join_and_begin(&run);
    run.gateways.silence_store();
    check_for(&run, RETRY_SPAN, &ids, Naming::Unnamed);
}

/// Returns the attempts of a gateway's calls to the store for a purpose.
fn store_calls(run: &ProcessRun, gateway: usize, purpose: &str) -> u64 {
    let metrics = run.gateways.processes[gateway].ports.metrics;
    let response = CallerRequest::new("GET", "/metrics", "m").send(metrics);
    let body = response.expect("metrics").body;
    let label = format!("clementinepick_store_calls_total{{purpose=\"{purpose}\"");
    let lines = body.lines().filter(|line| line.starts_with(&label));
    let counts = lines.filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok());
    counts.sum()
}

/// Guards against callers that make a gateway exceed the store's limits because none of them names its
/// attempt.
#[test]
fn streams_that_are_resumed_together_share_their_reads() {
    let run = start("shared-reads");
    let ids = begin_and_drop(&run, IN_STEP);
    let versions_before = store_calls(&run, STALE, "versions");
    let lists_before = store_calls(&run, STALE, "follow");
    let resumptions = resume_all(&run, STALE, &ids, Naming::Unnamed);
    let versions = store_calls(&run, STALE, "versions") - versions_before;
    let lists = store_calls(&run, STALE, "follow") - lists_before;
    for Resumption { id, response, .. } in &resumptions {
        assert!(is_rest(response), "{id}: {response:?}");
    }
    assert!((1..=SHARED_READS).contains(&versions), "{versions} reads");
    assert!((1..=SHARED_READS).contains(&lists), "{lists} reads");
}

/// Guards against reads for streams whose callers say what some gateway has recorded.
#[test]
fn a_stream_of_a_recorded_attempt_costs_no_read() {
    let run = start("no-reads");
    let ids = begin_and_drop(&run, IN_STEP);
    let before = store_calls(&run, STALE, "versions");
    let resumptions = resume_all(&run, STALE, &ids, Naming::Named);
    assert_eq!(store_calls(&run, STALE, "versions"), before);
    for Resumption { id, response, .. } in &resumptions {
        assert!(is_rest(response), "{id}: {response:?}");
    }
}

/// Guards against refusing streams of the only version because a gateway was suspended.
#[test]
fn streams_of_the_only_version_go_on_after_a_suspension() {
    let run = start("one-version-suspended");
    let ids = begin_and_drop(&run, IN_STEP);
    run.gateways.processes[STALE].send_signal(Signal::STOP);
    sleep(Duration::from_secs(3));
    go_on(&run);
    assert_all_go_on(&run, &ids, RECOVERY_LIMIT);
}

/// Guards against refusing streams of the only version because the store was silent.
#[test]
fn streams_of_the_only_version_go_on_after_an_outage() {
    let run = start("one-version-outage");
    let ids = begin_and_drop(&run, IN_STEP);
    run.gateways.set_store_mode_for(STALE, StoreMode::Silent);
    sleep(Duration::from_secs(3));
    run.gateways.set_store_mode_for(STALE, StoreMode::Serving);
    assert_all_go_on(&run, &ids, RECOVERY_LIMIT);
}

/// Guards against refusing streams of the only version after an outage that no peer can bridge.
#[test]
fn streams_of_the_only_version_go_on_after_an_outage_for_all() {
    let run = start("one-version-outage-for-all");
    let ids = begin_and_drop(&run, IN_STEP);
    run.gateways.silence_store();
    sleep(Duration::from_secs(3));
    run.gateways.restore_store();
    assert_all_go_on(&run, &ids, RECOVERY_LIMIT);
}

/// Guards against refusing streams of the only version after a suspension beside an outage.
#[test]
fn streams_of_the_only_version_go_on_after_a_suspension_beside_an_outage() {
    let run = start("one-version-both");
    let ids = begin_and_drop(&run, IN_STEP);
    run.gateways.set_store_mode_for(STALE, StoreMode::Silent);
    run.gateways.processes[STALE].send_signal(Signal::STOP);
    sleep(Duration::from_secs(3));
    run.gateways.set_store_mode_for(STALE, StoreMode::Serving);
    go_on(&run);
    assert_all_go_on(&run, &ids, RECOVERY_LIMIT);
}

/// Guards against refusing streams of the only version at a gateway whose peers can reach the store.
#[test]
fn streams_of_the_only_version_go_on_through_peers() {
    let run = start("one-version-peers");
    let ids = begin_and_drop(&run, IN_STEP);
    run.gateways.set_store_mode_for(STALE, StoreMode::Silent);
    sleep(Duration::from_secs(3));
    assert_all_go_on(&run, &ids, RECOVERY_LIMIT);
}
