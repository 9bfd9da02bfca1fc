//! Tests that a list whose pages take longer than one read may is read all the same. The gateway is a process.

use std::thread;
use std::time::{Duration, Instant};

use standins::platform_backend::{BackendSettings, PlatformBackend};
use standins::platform_caller::CallerRequest;
use standins::platform_run::{PLAIN_SERVICE, config, wait_until};
use standins::platform_store::PlatformStore;
use standins::process_gateways::ProcessGateways;

const LISTED_SERVERS: usize = 100;
const PAGE_ITEMS: usize = 10;
/// How long the store takes for each answer.
const STORE_DELAY: Duration = Duration::from_millis(300);
/// The time in which a change of the list must take effect.
const CHANGE_LIMIT: Duration = Duration::from_secs(2);
/// How long the list changes: the time in which it is read again in full, and half as much.
const CHANGES_SPAN: Duration = Duration::from_secs(15);
const CHECK_PAUSE: Duration = Duration::from_millis(20);
const SERVER: &str = "p-1";

/// Creates a store that lists the returned server and many others that no route uses.
fn start_store() -> (PlatformStore, PlatformBackend) {
    let store = PlatformStore::default();
    store.put("keyed.op", "config", &config(1));
    let backend = PlatformBackend::start(BackendSettings {
        id: SERVER.to_owned(),
        ..BackendSettings::default()
    });
    let backend = backend.expect("a free port");
    store.put("keyed.servers", SERVER, &entry(&backend));
    for number in 0..LISTED_SERVERS {
        let id = format!("other-{number}");
        let other = backend.entry("others", "ready").replace(SERVER, &id);
        store.put("keyed.servers", &id, &other);
    }
    (store, backend)
}

fn entry(backend: &PlatformBackend) -> String {
    backend.entry(PLAIN_SERVICE, "ready")
}

fn is_served(gateways: &ProcessGateways) -> bool {
    let request = CallerRequest::new("GET", "/look/1", "lookup").with("Connection", "close");
    let response = request.send(gateways.callers(0));
    response.is_ok_and(|response| response.status == 200 && response.is_complete)
}

/// Guards against a gateway that begins its list anew with each read and is never ready.
#[test]
fn a_gateway_starts_with_a_long_list_of_a_slow_store() {
    let (store, _backend) = start_store();
    store.set_page_items(PAGE_ITEMS);
    store.set_delay(STORE_DELAY);
    let gateways = ProcessGateways::start("long-list-start", 1, &store).expect("a gateway");
    wait_until(|| is_served(&gateways)).expect("a served request");
}

/// Guards against a list that is not kept up to date while it is read in full.
#[test]
fn changes_of_a_long_list_take_effect_in_time_at_a_slow_store() {
    let (store, backend) = start_store();
    let gateways = ProcessGateways::start("long-list-changes", 1, &store).expect("a gateway");
    store.set_page_items(PAGE_ITEMS);
    store.set_delay(STORE_DELAY);
    let started_at = Instant::now();
    while started_at.elapsed() < CHANGES_SPAN {
        store.remove("keyed.servers", SERVER);
        check_takes_effect(&gateways, false, started_at);
        store.put("keyed.servers", SERVER, &entry(&backend));
        check_takes_effect(&gateways, true, started_at);
    }
}

fn check_takes_effect(gateways: &ProcessGateways, is_listed: bool, started_at: Instant) {
    let changed_at = Instant::now();
    while is_served(gateways) != is_listed {
        let after = changed_at.duration_since(started_at);
        assert!(
            changed_at.elapsed() < CHANGE_LIMIT,
            "after {after:?}, {is_listed}"
        );
        thread::sleep(CHECK_PAUSE);
    }
}
