//! Tests how gateways follow the configuration and the server list in the store.

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};

use standins::platform_caller::{CallerRequest, exchange};
use standins::platform_run::{PLAIN_SERVICE, PlatformRun, config, is_ready, wait_until};
use standins::platform_store::{StoreEndpoint, StoreMode};
use standins::soak_proxy::Proxy;

/// Returns a configuration in which the path of the route `/look/` is `/moved/`.
fn moved_config(version: u64) -> String {
    config(version).replace("\"/look/\"", "\"/moved/\"")
}

/// How long a removed server may still get requests.
const DRAIN_LIMIT: Duration = Duration::from_secs(2);

/// Starts one gateway with one plain server, `p-1`.
fn run_with_one_plain() -> PlatformRun {
    leave_one_plain(PlatformRun::start(1).expect("a run"))
}

/// Starts one gateway behind a proxy of the store with one plain server, `p-1`.
fn run_behind_proxy() -> (PlatformRun, StoreEndpoint, Proxy) {
    let mut run = PlatformRun::start(0).expect("a run");
    let endpoint = run.store.open().expect("an endpoint");
    let proxy = Proxy::start(endpoint.address).expect("a proxy");
    run.add_gateway_with(|settings| settings.store = proxy.address)
        .expect("a gateway");
    (leave_one_plain(run), endpoint, proxy)
}

fn leave_one_plain(run: PlatformRun) -> PlatformRun {
    run.store.remove("keyed.servers", "p-2");
    wait_until(|| !lists_server(&run, "p-2")).expect("one plain server");
    run
}

/// Returns whether the gateway lists a server as registered.
fn lists_server(run: &PlatformRun, server: &str) -> bool {
    let metrics = run.gateways[0]
        .addresses
        .metrics
        .expect("a metrics address");
    let request = "GET /state HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
    let response = exchange(metrics, request.as_bytes()).expect("a response");
    response.body.contains(&format!("\"id\":\"{server}\""))
}

/// Sends requests until `end`; returns when the last one that was served was sent.
fn last_served_at(run: &PlatformRun, end: Instant) -> Option<Instant> {
    let mut last = None;
    while Instant::now() < end {
        let sent_at = Instant::now();
        let request = CallerRequest::new("GET", "/look/1", "r");
        let response = request.send(run.callers(0)).expect("a response");
        if response.status == 200 {
            last = Some(sent_at);
        }
        sleep(Duration::from_millis(10));
    }
    last
}

/// Removes the only plain server; returns for how long requests were still served by it.
fn served_after_removal(run: &PlatformRun) -> Duration {
    run.store.remove("keyed.servers", "p-1");
    let left_at = Instant::now();
    let last = last_served_at(run, left_at + DRAIN_LIMIT + Duration::from_secs(1));
    last.map_or(Duration::ZERO, |at| at.duration_since(left_at))
}

/// Returns whether the gateway uses the configuration with the moved route.
fn has_moved_config(run: &PlatformRun, gateway: usize) -> bool {
    let request = CallerRequest::new("GET", "/moved/1", "r");
    let response = request.send(run.callers(gateway)).expect("a response");
    response.status == 200
}

/// Lists are followed by long polling: they cost two calls a second while nothing changes, and a
/// change takes effect at once.
#[test]
fn the_lists_are_followed_by_long_polling() {
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
    let started_at = Instant::now();
    wait_until(|| has_moved_config(&run, 0)).expect("the new configuration");
    assert!(
        started_at.elapsed() < Duration::from_millis(500),
        "{:?}",
        started_at.elapsed()
    );
}

/// When the store stops responding during a long poll, the gateway reads through its peer and
/// applies a change within two seconds.
#[test]
fn a_lost_long_poll_delays_no_configuration_beyond_two_seconds() {
    let run = PlatformRun::start(2).expect("a run");
    // Lets the second gateway find its peer, which it has as a seed.
    sleep(Duration::from_millis(500));
    run.store_endpoints[1].set_mode(StoreMode::Silent);
    run.store.put("keyed.op", "config", &moved_config(2));
    let started_at = Instant::now();
    wait_until(|| has_moved_config(&run, 1)).expect("the new configuration");
    assert!(
        started_at.elapsed() < Duration::from_secs(2),
        "{:?}",
        started_at.elapsed()
    );
}

/// When the store truncates the history that a gateway follows, the gateway reads the newest
/// records and continues from there.
#[test]
fn the_lists_are_followed_after_the_store_truncates_its_history() {
    let run = PlatformRun::start(1).expect("a run");
    sleep(Duration::from_millis(500));
    run.store.put("keyed.servers", "gone", "");
    run.store.discard_history();
    run.store.put("keyed.op", "config", &moved_config(2));
    wait_until(|| has_moved_config(&run, 0)).expect("the new configuration");
}

/// Guards against configuration changes that make the gateway drop the pending response with the
/// server list: it would take the store for unavailable and keep removed servers for two seconds
/// more (`server_list_back` with `failed_reads` 0 before `server_kept`).
#[test]
fn a_server_that_leaves_amid_configurations_gets_no_requests_after_two_seconds() {
    let run = run_with_one_plain();
    for version in 2..6 {
        run.store.put("keyed.op", "config", &config(version));
        sleep(Duration::from_millis(700));
    }
    sleep(Duration::from_millis(200));
    let served = served_after_removal(&run);
    assert!(served < DRAIN_LIMIT, "{served:?}");
}

/// Guards against frequent configuration changes that always finish first, so that the response
/// with the server list is dropped each time and `lists_age_ms` keeps rising.
#[test]
fn frequent_configuration_changes_do_not_delay_the_removal_of_a_server() {
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
        let served = served_after_removal(&run);
        is_over.store(true, Ordering::Relaxed);
        assert!(served < DRAIN_LIMIT, "{served:?}");
    });
}

/// Guards against a read of an unavailable configuration that uses up a deadline shared with the
/// server list, so that `lists_age_ms` keeps rising.
#[test]
fn an_unavailable_configuration_does_not_delay_the_removal_of_a_server() {
    let run = run_with_one_plain();
    run.store.silence_topic(Some("keyed.op"));
    sleep(Duration::from_millis(1_800));
    let served = served_after_removal(&run);
    assert!(served < DRAIN_LIMIT, "{served:?}");
}

/// Guards against response times measured in an outage that delay the detection of a lost long
/// poll, so that it counts as another outage and a removed server is kept.
#[test]
fn connections_that_fall_silent_after_an_outage_do_not_delay_the_removal_of_a_server() {
    let (run, endpoint, proxy) = run_behind_proxy();
    endpoint.set_mode(StoreMode::Silent);
    sleep(Duration::from_millis(4_500));
    endpoint.set_mode(StoreMode::Serving);
    sleep(Duration::from_millis(6_100));
    proxy.silence_open_connections();
    sleep(Duration::from_millis(100));
    let served = served_after_removal(&run);
    assert!(served < DRAIN_LIMIT, "{served:?}");
}

/// Guards against the attempts of an unavailable configuration that hold up the repeated read of
/// the server list, so that one lost response counts as an outage.
#[test]
fn a_lost_read_beside_an_unavailable_configuration_does_not_delay_the_removal_of_a_server() {
    let run = run_with_one_plain();
    run.store.silence_topic(Some("keyed.op"));
    sleep(Duration::from_millis(1_800));
    run.store.lose_reads("keyed.servers", 1);
    sleep(Duration::from_millis(1_100));
    let served = served_after_removal(&run);
    assert!(served < DRAIN_LIMIT, "{served:?}");
}

/// Guards against a list that is read again on connections that have fallen silent as well.
#[test]
fn connections_that_fall_silent_do_not_delay_the_removal_of_a_server() {
    let (run, _endpoint, proxy) = run_behind_proxy();
    sleep(Duration::from_millis(500));
    proxy.silence_open_connections();
    let served = served_after_removal(&run);
    assert!(served < DRAIN_LIMIT, "{served:?}");
}

/// Guards against a store that becomes 60 times slower and is taken for unavailable, so that a
/// removed server is kept: servers can renew their entries all the while.
#[test]
fn a_store_that_becomes_slow_does_not_delay_the_removal_of_a_server() {
    let run = run_with_one_plain();
    // A change ends the long poll, and another one starts.
    let entry = run.plains[0].entry(PLAIN_SERVICE, "ready");
    run.store.put("keyed.servers", "p-1", &entry);
    sleep(Duration::from_millis(300));
    run.store.set_delay(Duration::from_millis(300));
    sleep(Duration::from_millis(1_200));
    let served = served_after_removal(&run);
    assert!(served < DRAIN_LIMIT, "{served:?}");
}

/// A gateway that cannot read the configuration is not ready although its server list is current,
/// and is ready again once it can.
#[test]
fn a_gateway_that_cannot_read_the_configuration_is_not_ready() {
    let run = PlatformRun::start(1).expect("a run");
    let ready = run.gateways[0].addresses.ready;
    run.store.silence_topic(Some("keyed.op"));
    wait_until(|| !is_ready(ready)).expect("a gateway that is not ready");
    run.store.silence_topic(None);
    wait_until(|| is_ready(ready)).expect("a gateway that is ready again");
}

/// Entries of live servers expire during an outage of the store. The gateway keeps these servers
/// until they have had time to register again; otherwise all requests would be refused until then.
#[test]
fn servers_whose_entries_expire_in_a_store_outage_are_still_used() {
    let run = PlatformRun::start(1).expect("a run");
    expire_servers_in_outage(&run, StoreMode::Busy, Duration::from_secs(3));
    assert_lapsed_servers_are_used_for_a_while(&run, 0);
}

/// The same for a store that is silent, for hardly longer than two heartbeats.
#[test]
fn servers_whose_entries_expire_while_the_store_is_silent_are_still_used() {
    let run = PlatformRun::start(1).expect("a run");
    expire_servers_in_outage(&run, StoreMode::Silent, Duration::from_millis(2_600));
    assert_lapsed_servers_are_used_for_a_while(&run, 0);
}

/// The same for a store that resets connections, and for gateways that try to relay their calls.
#[test]
fn servers_whose_entries_expire_while_the_store_resets_connections_are_still_used() {
    let run = PlatformRun::start(2).expect("a run");
    sleep(Duration::from_millis(500));
    expire_servers_in_outage(&run, StoreMode::Reset, Duration::from_secs(3));
    assert_lapsed_servers_are_used_for_a_while(&run, 1);
}

/// The same for a silent store and gateways that wait for each other's relayed calls.
#[test]
fn servers_whose_entries_expire_while_the_store_is_silent_to_all_gateways_are_still_used() {
    let run = PlatformRun::start(2).expect("a run");
    sleep(Duration::from_millis(500));
    expire_servers_in_outage(&run, StoreMode::Silent, Duration::from_millis(3_200));
    assert_lapsed_servers_are_used_for_a_while(&run, 1);
}

/// The same for an outage of the server list alone.
#[test]
fn servers_whose_entries_expire_while_their_list_is_unavailable_are_still_used() {
    let run = PlatformRun::start(1).expect("a run");
    run.store.silence_topic(Some("keyed.servers"));
    sleep(Duration::from_secs(3));
    remove_plain_servers(&run);
    run.store.silence_topic(None);
    assert_lapsed_servers_are_used_for_a_while(&run, 0);
}

fn remove_plain_servers(run: &PlatformRun) {
    for server in ["p-1", "p-2"] {
        run.store.remove("keyed.servers", server);
    }
}

/// Makes the store unavailable to all gateways, and removes the plain servers meanwhile.
fn expire_servers_in_outage(run: &PlatformRun, mode: StoreMode, outage: Duration) {
    let set_mode = |mode| {
        for endpoint in &run.store_endpoints {
            endpoint.set_mode(mode);
        }
    };
    set_mode(mode);
    sleep(outage);
    remove_plain_servers(run);
    set_mode(StoreMode::Serving);
}

/// Checks that the removed plain servers are used for a second and are then removed.
fn assert_lapsed_servers_are_used_for_a_while(run: &PlatformRun, gateway: usize) {
    let returned_at = Instant::now();
    while returned_at.elapsed() < Duration::from_secs(1) {
        let request = CallerRequest::new("GET", "/look/1", "r");
        let response = request.send(run.callers(gateway)).expect("a response");
        assert_eq!(response.status, 200, "{:?}", returned_at.elapsed());
        sleep(Duration::from_millis(10));
    }
    wait_until(|| !lists_server(run, "p-1") && !lists_server(run, "p-2"))
        .expect("both servers are removed");
    assert!(
        returned_at.elapsed() < Duration::from_secs(4),
        "{:?}",
        returned_at.elapsed()
    );
}
