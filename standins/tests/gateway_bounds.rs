//! Tests the limits of a gateway: record retention, buffered bodies, retries, server connections.

use std::net::TcpListener;
use std::thread;
use std::time::Duration;

use clementinepick::budget_ledger::{BudgetRecord, SliceRecord};
use clementinepick::turn_chain::TurnRecord;
use clementinepick::units::Tokens;
use clementinepickd::gateway_settings::GatewaySettings;
use standins::platform_backend::{BackendFault, BackendSettings, PlatformBackend};
use standins::platform_caller::CallerRequest;
use standins::platform_run::{PlatformRun, RunningGateway, config, wait_until};
use standins::platform_store::StoreMode;

fn cbor(value: &impl serde::Serialize) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).expect("CBOR");
    bytes
}

/// Expired records of a process that is gone are deleted by another one, so that the store does not
/// fill up; recent records stay.
#[test]
fn expired_records_are_deleted() {
    let mut run = PlatformRun::start(0).expect("a platform run");
    let old_turn = TurnRecord {
        parent: None,
        server: None,
        recorded_unix_ms: 1_000,
        retain_ms: 60_000,
        input_bytes: 0,
        parts: 1,
        turns: 1,
        body: "x".into(),
    };
    let old_slice = BudgetRecord::Slice(SliceRecord {
        program: "old".to_owned(),
        tokens: Tokens(100),
        recorded_unix_ms: 1_000,
        retain_ms: 60_000,
        ..SliceRecord::default()
    });
    let part = TurnRecord {
        parts: 0,
        ..old_turn.clone()
    };
    run.store
        .put_bytes("keyed.turns0", "oldturn", &cbor(&old_turn));
    run.store
        .put_bytes("keyed.turns0", "oldturn!0000", &cbor(&part));
    run.store
        .put_bytes("keyed.budgets0", "old/a/1", &cbor(&old_slice));
    let added = run.add_gateway_with(|settings| {
        settings.ledger.budget_topics = 1;
        settings.ledger.turn_topics = 1;
        settings.ledger.partitions = 1;
        settings.ledger.sweep_period = Duration::from_millis(500);
    });
    added.expect("a gateway");
    let turn = CallerRequest::turn("/chat/1", "t1", "p1", "x").with("Token-Budget", "400");
    assert_eq!(turn.send(run.callers(0)).expect("a response").status, 200);
    wait_until(|| run.store.keys("keyed.turns") == ["t1"]).expect("the old turn is deleted");
    let is_old = |key: &String| key.starts_with("old/");
    wait_until(|| !run.store.keys("keyed.budgets").iter().any(is_old))
        .expect("the old slice is deleted");
    let is_slice = |key: &String| key.starts_with("slice/p1/");
    let slices = run.store.keys("keyed.budgets");
    assert_eq!(slices.into_iter().filter(is_slice).count(), 1);
}

/// Buffered request bodies are bounded: a request beyond the limit gets 503 with `retry-after` and
/// is not run; it is served once the buffer has room.
#[test]
fn bodies_beyond_the_buffer_limit_are_refused_and_not_run() {
    let mut run = PlatformRun::start(0).expect("a platform run");
    let added = run.add_gateway_with(|settings| settings.body_limit_bytes = 50_000);
    added.expect("a gateway");
    let address = run.callers(0);
    for plain in &run.plains {
        plain.inject_fault(BackendFault::Silence);
    }
    let booking = |id: &str| CallerRequest {
        body: "x".repeat(40_000),
        ..CallerRequest::new("POST", "/book/1", id)
    };
    let first = booking("r1");
    let held = thread::spawn(move || first.send(address).expect("a response").status);
    let executions = || {
        run.plains
            .iter()
            .flat_map(PlatformBackend::executions)
            .count()
    };
    wait_until(|| executions() == 1).expect("the first request is buffered");
    let refused = booking("r2").send(address).expect("a response");
    assert_eq!(refused.status, 503);
    assert!(refused.headers.contains_key("retry-after"));
    assert_eq!(executions(), 1);
    assert_eq!(held.join().expect("a response"), 504);
    let status = || booking("r3").send(address).expect("a response").status;
    wait_until(|| status() == 200).expect("the body buffer has room again");
}

/// During an outage of a whole service, retries would double its load; beyond an initial allowance
/// only one lookup in five is retried.
#[test]
fn retries_are_limited_during_an_outage_of_a_service() {
    const LOOKUPS: usize = 100;
    let run = PlatformRun::start(1).expect("a platform run");
    for plain in &run.plains {
        for _ in 0..2 * LOOKUPS {
            plain.inject_fault(BackendFault::LoseResponse);
        }
    }
    for number in 0..LOOKUPS {
        let request = CallerRequest::new("GET", "/look/1", &format!("r{number}"));
        assert_eq!(
            request.send(run.callers(0)).expect("a response").status,
            502
        );
    }
    let executions = run
        .plains
        .iter()
        .flat_map(PlatformBackend::executions)
        .count();
    assert!(executions >= LOOKUPS, "{executions} executions");
    assert!(
        executions <= LOOKUPS + 10 + LOOKUPS / 5,
        "{executions} executions"
    );
}

/// A server accepts two connections in total. Of six concurrent bookings each of two servers gets
/// two; the rest get 503 instead of a connection reset by the server.
#[test]
fn a_server_gets_no_more_connections_than_it_accepts() {
    let run = PlatformRun::start(1).expect("a platform run");
    let address = run.callers(0);
    run.store.put(
        "keyed.op",
        "config",
        &config(2).replace("\"MaxConns\":50", "\"MaxConns\":2"),
    );
    thread::sleep(Duration::from_millis(1_300));
    for plain in &run.plains {
        plain.configure(|settings| settings.pause = Duration::from_millis(500));
    }
    let callers: Vec<_> = (0..6)
        .map(|number| {
            let request = CallerRequest::new("POST", "/book/1", &format!("r{number}"));
            thread::spawn(move || request.send(address).expect("a response").status)
        })
        .collect();
    let mut statuses: Vec<u16> = callers
        .into_iter()
        .map(|caller| caller.join().expect("a status"))
        .collect();
    statuses.sort_unstable();
    assert_eq!(statuses, [200, 200, 200, 200, 503, 503]);
    for plain in &run.plains {
        assert_eq!(plain.executions().len(), 2);
    }
}

/// The tokens of a configuration's service count for the turns that were routed by it, even if a newer
/// one no longer lists the service: a program must not get them for less.
#[test]
fn running_turns_are_charged_by_the_configuration_that_routed_them() {
    const EVENTS: u64 = 5;
    const TOKENS_PER_EVENT: u64 = 10;
    const BUDGET: u64 = 4 * EVENTS * TOKENS_PER_EVENT;
    let run = PlatformRun::start(1).expect("a platform run");
    let moved = config(2).replace("\"models\"", "\"others\"");
    run.store.put(
        "keyed.servers",
        "e-2",
        &run.engines[1].entry("others", "ready"),
    );
    for engine in &run.engines {
        engine.configure(|settings| {
            settings.events = EVENTS;
            settings.pause = Duration::from_millis(250);
        });
    }
    // The gateway must know that the second engine has moved.
    thread::sleep(Duration::from_millis(1_500));
    let address = run.callers(0);
    let send = move |number: u64| {
        let id = format!("t{number}");
        let turn = CallerRequest::turn("/chat/1", &id, "p1", "x");
        let turn = turn.with("Token-Budget", &BUDGET.to_string());
        turn.send(address).expect("a response")
    };
    thread::scope(|scope| {
        let turns: Vec<_> = (0..4)
            .map(|number| scope.spawn(move || send(number)))
            .collect();
        let running = || run.engines[0].executions().len() == 4;
        wait_until(running).expect("four turns run");
        run.store.put("keyed.op", "config", &moved);
        for turn in turns {
            let response = turn.join().expect("a response");
            assert_eq!((response.status, response.is_complete), (200, true));
        }
    });
    let later: Vec<u16> = (4..8).map(|number| send(number).status).collect();
    let served = later.iter().filter(|status| **status == 200).count();
    assert!(served <= 1, "turns beyond the budget: {later:?}");
    assert!(later.contains(&402), "{later:?}");
}

/// Guards against a program that gets its budget many times, since a route leads to a service of which the
/// configuration does not say how many tokens an event has.
#[test]
fn turns_at_a_service_that_is_not_listed_are_charged_in_full() {
    const LIMIT_TOKENS: usize = 50;
    const BUDGET_TOKENS: usize = 400;
    let run = PlatformRun::start(1).expect("a platform run");
    let unlisted = config(2).replace(r#""Name":"models""#, r#""Name":"others""#);
    run.store.put("keyed.op", "config", &unlisted);
    thread::sleep(Duration::from_millis(1_300));
    let send = |number: usize| {
        let turn = CallerRequest::turn("/chat/1", &format!("t{number}"), "p1", "x");
        let turn = turn.with("Token-Budget", &BUDGET_TOKENS.to_string());
        turn.send(run.callers(0)).expect("a response").status
    };
    let served = (0..20).take_while(|number| send(*number) == 200).count();
    assert!(
        served * LIMIT_TOKENS <= BUDGET_TOKENS + LIMIT_TOKENS,
        "{served} turns"
    );
    assert!(served > 0);
}

/// Guards against a budget that grows while the gateways learn of a configuration one after the other: the home
/// of a program lends to a gateway that is ahead, and takes back from one that is behind.
#[test]
fn turns_at_gateways_with_different_configurations_share_one_budget() {
    const EVENTS: u64 = 5;
    const TOKENS_PER_EVENT: u64 = 10;
    const BUDGET: u64 = 4 * EVENTS * TOKENS_PER_EVENT;
    let mut run = PlatformRun::start(2).expect("a platform run");
    let others = PlatformBackend::start(BackendSettings {
        id: "o-1".to_owned(),
        events: EVENTS,
        ..BackendSettings::default()
    });
    let others = others.expect("an engine");
    run.store
        .put("keyed.servers", "o-1", &others.entry("others", "ready"));
    run.engines.push(others);
    for engine in &run.engines {
        engine.configure(|settings| {
            settings.events = EVENTS;
            settings.pause = Duration::from_millis(150);
        });
    }
    thread::sleep(Duration::from_millis(1_500));
    let addresses = [run.callers(0), run.callers(1)];
    let send = |gateway: usize, number: u64| {
        let turn = CallerRequest::turn("/chat/1", &format!("t{number}"), "p1", "x");
        let turn = turn.with("Token-Budget", &BUDGET.to_string());
        turn.send(addresses[gateway]).expect("a response")
    };
    // One gateway reads the new configuration, the other goes on with the old one.
    run.store_endpoints[1].set_mode(StoreMode::Silent);
    run.store.put(
        "keyed.op",
        "config",
        &config(2).replace("\"models\"", "\"others\""),
    );
    thread::sleep(Duration::from_millis(300));
    let served = thread::scope(|scope| {
        let turns: Vec<_> = (0..4)
            .map(|number| {
                scope.spawn(move || send(usize::try_from(number % 2).expect("0 or 1"), number))
            })
            .collect();
        thread::sleep(Duration::from_millis(200));
        run.store_endpoints[1].set_mode(StoreMode::Serving);
        let served = turns
            .into_iter()
            .map(|turn| turn.join().expect("a response").status);
        served.filter(|status| *status == 200).count()
    });
    thread::sleep(Duration::from_millis(1_500));
    let later: Vec<u16> = (4..12)
        .map(|number| send(usize::try_from(number % 2).expect("0 or 1"), number).status)
        .collect();
    let served = served + later.iter().filter(|status| **status == 200).count();
    let tokens = u64::try_from(served).expect("few") * EVENTS * TOKENS_PER_EVENT;
    assert!(
        tokens <= BUDGET + EVENTS * TOKENS_PER_EVENT,
        "{tokens} tokens: {later:?}"
    );
    assert!(later.contains(&402), "{later:?}");
}

/// Guards against a gateway that does not start because the sockets of the one before it are still
/// being closed.
#[test]
fn a_gateway_starts_on_a_port_that_is_released_soon() {
    let run = PlatformRun::start(0).expect("a platform run");
    let store = run.store.open().expect("an address");
    let held = TcpListener::bind("127.0.0.1:0").expect("a port");
    let callers = held.local_addr().expect("an address");
    let releasing = thread::spawn(move || {
        thread::sleep(Duration::from_millis(150));
        drop(held);
    });
    let settings = GatewaySettings {
        callers,
        ..run.settings(store.address, Vec::new())
    };
    let gateway = RunningGateway::start(settings);
    assert_eq!(gateway.addresses.callers, callers);
    releasing.join().expect("a released port");
}
