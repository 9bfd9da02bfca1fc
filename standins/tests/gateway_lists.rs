//! How gateways follow the configuration and the servers in the store.

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};

use standins::platform_caller::{CallerRequest, exchange};
use standins::platform_run::{PlatformRun, config, is_ready, wait_until};
use standins::platform_store::StoreMode;

/// A configuration whose route `/look/` has another path.
fn moved_config(version: u64) -> String {
    config(version).replace("\"/look/\"", "\"/moved/\"")
}

/// How long a server that has left may still get requests.
const DRAIN_LIMIT: Duration = Duration::from_secs(2);

/// A run with one gateway and one plain server, `p-1`.
fn run_with_one_plain() -> PlatformRun {
    let run = PlatformRun::start(1).expect("a run");
    run.store.remove("keyed.servers", "p-2");
    wait_until(|| !lists(&run, "p-2")).expect("one plain server");
    run
}

/// Whether the gateway believes that a server is registered.
fn lists(run: &PlatformRun, server: &str) -> bool {
    let metrics = run.gateways[0].addresses.metrics.expect("it is set");
    let request = "GET /state HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
    let answer = exchange(metrics, request.as_bytes()).expect("an answer");
    answer.body.contains(&format!("\"id\":\"{server}\""))
}

/// Sends requests until `end`; returns when the last one that ran was sent.
fn last_served(run: &PlatformRun, end: Instant) -> Option<Instant> {
    let mut last = None;
    while Instant::now() < end {
        let sent_at = Instant::now();
        let request = CallerRequest::new("GET", "/look/1", "r");
        let answer = request.send(run.callers(0)).expect("an answer");
        if answer.status == 200 {
            last = Some(sent_at);
        }
        sleep(Duration::from_millis(10));
    }
    last
}

/// Removes the only plain server; returns for how long requests were still sent to it and ran.
fn served_after_leaving(run: &PlatformRun) -> Duration {
    run.store.remove("keyed.servers", "p-1");
    let left_at = Instant::now();
    let last = last_served(run, left_at + DRAIN_LIMIT + Duration::from_secs(1));
    last.map_or(Duration::ZERO, |at| at.duration_since(left_at))
}

fn knows_move(run: &PlatformRun, gateway: usize) -> bool {
    let request = CallerRequest::new("GET", "/moved/1", "r");
    let answer = request.send(run.callers(gateway)).expect("an answer");
    answer.status == 200
}

/// Nothing changes for two seconds: the lists cost two calls a second, which the store holds back.
/// Then the configuration changes, and is in force at once, not with the next look.
#[test]
fn the_lists_are_waited_for_at_the_store() {
    let run = PlatformRun::start(1).expect("a run");
    let reads = || run.store.calls("/clementinepick/log-read");
    sleep(Duration::from_millis(500));
    let before = reads();
    sleep(Duration::from_secs(2));
    assert!(
        (3..=8).contains(&(reads() - before)),
        "{}",
        reads() - before
    );
    run.store.put("keyed.op", "config", &moved_config(2));
    let begun = Instant::now();
    wait_until(|| knows_move(&run, 0)).expect("the new configuration");
    assert!(
        begun.elapsed() < Duration::from_millis(500),
        "{:?}",
        begun.elapsed()
    );
}

/// The store stops answering one gateway in the middle of a wait, and the configuration changes. The
/// gateway finds out by the end of the wait, reads through its peer, and has the change within two
/// seconds all the same.
#[test]
fn a_wait_that_is_lost_delays_no_configuration_beyond_its_time() {
    let run = PlatformRun::start(2).expect("a run");
    // The second one knows its peer as a seed.
    sleep(Duration::from_millis(500));
    run.store_endpoints[1].set_mode(StoreMode::Silent);
    run.store.put("keyed.op", "config", &moved_config(2));
    let begun = Instant::now();
    wait_until(|| knows_move(&run, 1)).expect("the new configuration");
    assert!(
        begun.elapsed() < Duration::from_secs(2),
        "{:?}",
        begun.elapsed()
    );
}

/// The store forgets its history while a gateway waits for news from there on. The gateway reads the
/// newest records and follows on.
#[test]
fn a_store_that_forgets_its_history_is_followed_on() {
    let run = PlatformRun::start(1).expect("a run");
    sleep(Duration::from_millis(500));
    run.store.put("keyed.servers", "gone", "");
    run.store.discard_history();
    run.store.put("keyed.op", "config", &moved_config(2));
    wait_until(|| knows_move(&run, 0)).expect("the new configuration");
}

/// Callers' requests still run at a server of which the store said more than two seconds ago that it
/// has left. The configuration changes again and again, every 0.7 s, and the store answers every call.
/// Then it rests, and the server leaves 0.9 s later.
///
/// The gateway waits for news of both lists at once and drops the unread answer of the servers as
/// the configuration changes. After 1.6 s without a reading it believes that the store was away, and
/// keeps entries that vanish for two seconds more. Evidence: `server_list_back` with `failed_reads`
/// 0 just before `server_kept`.
#[test]
fn a_server_that_leaves_amid_configurations_gets_no_requests_after_two_seconds() {
    let run = run_with_one_plain();
    for version in 2..6 {
        run.store.put("keyed.op", "config", &config(version));
        sleep(Duration::from_millis(700));
    }
    sleep(Duration::from_millis(200));
    let served = served_after_leaving(&run);
    assert!(served < DRAIN_LIMIT, "{served:?}");
}

/// Callers' requests still run at a server that has left more than two seconds ago. The configuration
/// changes every 0.1 s all the while, and the store answers every call.
///
/// News of the configuration is always there first, and the gateway drops the answer of the servers
/// unread each time. Evidence: `lists_age_ms` in the state rises to 3.5 s, as fast as the time passes.
#[test]
fn a_storm_of_configurations_delays_no_server_that_leaves() {
    let run = run_with_one_plain();
    let is_over = AtomicBool::new(false);
    std::thread::scope(|scope| {
        scope.spawn(|| {
            for version in 2.. {
                if is_over.load(Ordering::Relaxed) {
                    break;
                }
                run.store.put("keyed.op", "config", &config(version));
                sleep(Duration::from_millis(100));
            }
        });
        sleep(Duration::from_millis(500));
        let served = served_after_leaving(&run);
        is_over.store(true, Ordering::Relaxed);
        assert!(served < DRAIN_LIMIT, "{served:?}");
    });
}

/// Callers' requests still run at a server that has left more than two seconds ago. The store's partition
/// with the configuration is away, the one with the servers answers every call.
///
/// The lists are read one after the other with one deadline, and the reading of the configuration uses
/// it up. Evidence: `lists_age_ms` in the state rises to 3.5 s, as fast as the time passes.
#[test]
fn a_configuration_that_is_away_delays_no_server_that_leaves() {
    let run = run_with_one_plain();
    run.store.silence_topic(Some("keyed.op"));
    sleep(Duration::from_millis(1_800));
    let served = served_after_leaving(&run);
    assert!(served < DRAIN_LIMIT, "{served:?}");
}

/// The store's partition with the configuration is away. A gateway that can't read it any more sends
/// callers elsewhere, though its list of servers is fresh, and takes them again once it is read.
#[test]
fn a_gateway_that_cannot_read_the_configuration_is_not_ready() {
    let run = PlatformRun::start(1).expect("a run");
    let ready = run.gateways[0].addresses.ready;
    run.store.silence_topic(Some("keyed.op"));
    wait_until(|| !is_ready(ready)).expect("a gateway that is not ready");
    run.store.silence_topic(None);
    wait_until(|| is_ready(ready)).expect("a gateway that is ready again");
}

/// The store is away for three seconds, and the servers' entries lapse with it though they live. At
/// its return all requests would be refused until the servers have registered again, one second later;
/// the gateway keeps the servers until then.
#[test]
fn servers_that_lapse_with_the_store_are_used_on_its_return() {
    let run = PlatformRun::start(1).expect("a run");
    run.store_endpoints[0].set_mode(StoreMode::Busy);
    sleep(Duration::from_secs(3));
    for server in ["p-1", "p-2"] {
        run.store.remove("keyed.servers", server);
    }
    run.store_endpoints[0].set_mode(StoreMode::Serving);
    let returned_at = Instant::now();
    while returned_at.elapsed() < Duration::from_secs(1) {
        let request = CallerRequest::new("GET", "/look/1", "r");
        let answer = request.send(run.callers(0)).expect("an answer");
        assert_eq!(answer.status, 200, "{:?}", returned_at.elapsed());
        sleep(Duration::from_millis(10));
    }
    wait_until(|| !lists(&run, "p-1") && !lists(&run, "p-2")).expect("servers that are gone");
}
