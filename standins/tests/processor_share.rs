//! Tests that gateways need little of their processors and serve on a part of them. The gateways are processes.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use rustix::process::Signal;
use standins::platform_backend::{BackendSettings, PlatformBackend};
use standins::platform_caller::CallerRequest;
use standins::platform_run::{HOST, MODEL_SERVICE, PLAIN_SERVICE, config, is_ready};
use standins::platform_store::{PlatformStore, StoreMode};
use standins::process_gateways::ProcessGateways;
use standins::soak_process::GatewayProcess;
use standins::stop_guard::StopGuard;

/// How long a gateway waits for its store, and the most processor time that it may use meanwhile: a loop that
/// does not pause uses all of it.
const WAIT: Duration = Duration::from_secs(3);
const MAX_WAIT_PROCESSOR_TIME: Duration = Duration::from_millis(300);
const GATEWAYS: usize = 3;
const CALLERS: usize = 12;
/// How long the processor is available and then not, in each period of a quota.
const QUOTA: Duration = Duration::from_millis(50);
const PAUSE: Duration = Duration::from_millis(50);
const ROUTES: usize = 5_000;
const LISTED_SERVERS: usize = 20_000;
const CONFIGURATIONS: u64 = 4;
const CONFIGURATION_INTERVAL: Duration = Duration::from_secs(1);
/// How long after a start of all gateways a request may be served by none of them.
const RECOVERY_TIME: Duration = Duration::from_secs(12);
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Guards against a process that spins while it waits for its store, at its start and later.
#[test]
fn a_gateway_that_waits_for_its_store_hands_back_its_processor() {
    let store = PlatformStore::default();
    store.put("keyed.op", "config", &config(1));
    let mut gateways = ProcessGateways::start("processor-wait", 1, &store).expect("a gateway");
    let foreign = StoreMode::Foreign {
        status: 200,
        body: "",
    };
    let modes = [
        StoreMode::Busy,
        StoreMode::Limited,
        StoreMode::Reset,
        StoreMode::Silent,
        StoreMode::Endless,
        foreign,
    ];
    for mode in modes {
        gateways.set_store_mode(mode);
        check_waits_without_work(&gateways.processes[0], mode);
        gateways.processes[0].kill();
        gateways.processes[0].restart().expect("a process");
        check_waits_without_work(&gateways.processes[0], mode);
        gateways.restore_store();
        gateways.wait_until_ready(0).expect("a gateway that waited");
    }
}

fn check_waits_without_work(gateway: &GatewayProcess, mode: StoreMode) {
    let before = gateway.processor_time().expect("a running process");
    sleep(WAIT);
    let after = gateway.processor_time().expect("a running process");
    assert!(
        after < before + MAX_WAIT_PROCESSOR_TIME,
        "{mode:?}: {before:?}, {after:?}"
    );
}

/// Guards against gateways that a large configuration or list keeps from serving on a quota of a processor.
#[test]
fn gateways_on_a_quota_serve_beside_large_configurations_and_lists() {
    let store = PlatformStore::default();
    store.put("keyed.op", "config", &large_config(1));
    let _backends = start_backends(&store);
    let mut gateways =
        ProcessGateways::start("processor-quota", GATEWAYS, &store).expect("gateways");
    let addresses = (0..GATEWAYS).map(|number| gateways.callers(number));
    let addresses: Vec<SocketAddr> = addresses.collect();
    let stop = AtomicBool::new(false);
    thread::scope(|scope| {
        let _stop = StopGuard(&stop);
        for caller in 0..CALLERS {
            let (addresses, stop) = (&addresses, &stop);
            scope.spawn(move || send_lookups(caller, addresses, stop));
        }
        for version in 2..2 + CONFIGURATIONS {
            store.put("keyed.op", "config", &large_config(version));
            run_on_quota(&mut gateways, CONFIGURATION_INTERVAL);
        }
        gateways.processes.iter_mut().for_each(GatewayProcess::kill);
        for process in &mut gateways.processes {
            process.restart().expect("a process");
        }
        let returned_at = Instant::now();
        for number in 0..GATEWAYS {
            while !is_ready(gateways.processes[number].ports.ready) {
                run_on_quota(&mut gateways, QUOTA);
                assert!(
                    returned_at.elapsed() < RECOVERY_TIME,
                    "{number} is not ready"
                );
            }
        }
    });
    for (number, address) in addresses.into_iter().enumerate() {
        let log = gateways.log(number).expect("a log");
        assert!(!log.contains("thread_stalled"), "{log}");
        assert!(lookup(address, "last"), "{number} serves nothing");
    }
}

/// Lets all gateways run for a part of each period only, and checks that none ends.
fn run_on_quota(gateways: &mut ProcessGateways, span: Duration) {
    let started_at = Instant::now();
    while started_at.elapsed() < span {
        sleep(QUOTA);
        signal_all(gateways, Signal::STOP);
        sleep(PAUSE);
        signal_all(gateways, Signal::CONT);
    }
    let ends = gateways.processes.iter_mut().map(GatewayProcess::end);
    let ends: Vec<_> = ends.collect();
    assert!(ends.iter().all(Option::is_none), "{ends:?}");
}

fn signal_all(gateways: &ProcessGateways, signal: Signal) {
    for process in &gateways.processes {
        process.send_signal(signal);
    }
}

/// Returns a configuration with many routes behind those of each sort.
fn large_config(version: u64) -> String {
    let routes = (0..ROUTES).map(|number| {
        format!(
            r#",{{"Name":"r{number}","Host":"{HOST}","PathPrefix":"/r{number}/","Kind":"idempotent","TimeoutMs":1200,"TargetLatencyMs":50,"Service":"plain","Attempts":2}}"#
        )
    });
    let routes: String = routes.collect();
    config(version).replacen("}],\"Services\"", &format!("}}{routes}],\"Services\""), 1)
}

/// Starts a server of each service, and lists many others of a service that no route has.
fn start_backends(store: &PlatformStore) -> [PlatformBackend; 2] {
    [("e-1", MODEL_SERVICE), ("p-1", PLAIN_SERVICE)].map(|(id, service)| {
        let backend = PlatformBackend::start(BackendSettings {
            id: id.to_owned(),
            ..BackendSettings::default()
        });
        let backend = backend.expect("a free port");
        store.put("keyed.servers", id, &backend.entry(service, "ready"));
        if service == PLAIN_SERVICE {
            for number in 0..LISTED_SERVERS {
                let id = format!("other-{number}");
                let entry = backend.entry("others", "ready").replace("p-1", &id);
                store.put("keyed.servers", &id, &entry);
            }
        }
        backend
    })
}

fn send_lookups(caller: usize, addresses: &[SocketAddr], stop: &AtomicBool) {
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        let address = addresses[(caller + number) % addresses.len()];
        number += 1;
        if !lookup(address, &format!("{caller}-{number}")) {
            sleep(RETRY_PAUSE);
        }
    }
}

fn lookup(address: SocketAddr, id: &str) -> bool {
    let request = CallerRequest::new("GET", "/look/1", id);
    let response = request.with("Connection", "close").send(address);
    response.is_ok_and(|response| response.status == 200 && response.is_complete)
}
