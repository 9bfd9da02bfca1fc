//! Tests that gateways with little address space serve long turns. The gateways are processes.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::{self, sleep};
use std::time::Duration;

use standins::platform_backend::{BackendSettings, PlatformBackend};
use standins::platform_caller::CallerRequest;
use standins::platform_run::{MODEL_SERVICE, config};
use standins::platform_store::PlatformStore;
use standins::process_gateways::ProcessGateways;
use standins::soak_process::{GatewayProcess, ProcessSettings};

const GATEWAYS: usize = 7;
const CALLERS: usize = 96;
/// The turns of a program, and what its caller adds in each.
const TURNS: usize = 6;
const INPUT_BYTES: usize = 80_000;
/// The address space of a gateway.
const ADDRESS_SPACE_KIB: u64 = 115_000;
/// How long callers send turns before all gateways return, and after.
const LOAD_TIME: Duration = Duration::from_secs(8);
/// The pause of a caller whose request was not served.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Guards against gateways that end without a line when long turns need more memory than they may have.
#[test]
fn long_turns_end_no_gateway_with_little_address_space() {
    let store = PlatformStore::default();
    store.put("keyed.op", "config", &config(1));
    let _backends = start_backends(&store);
    let settings = ProcessSettings {
        max_address_space_kib: Some(ADDRESS_SPACE_KIB),
        ..ProcessSettings::default()
    };
    let gateways = ProcessGateways::start_with("limited-memory", GATEWAYS, &store, &settings);
    let mut gateways = gateways.expect("gateways");
    let addresses = (0..GATEWAYS).map(|number| gateways.callers(number));
    let addresses: Vec<SocketAddr> = addresses.collect();
    let (stop, served) = (AtomicBool::new(false), AtomicUsize::new(0));
    let mut served_before = 0;
    thread::scope(|scope| {
        for caller in 0..CALLERS {
            let (addresses, stop, served) = (&addresses, &stop, &served);
            scope.spawn(move || run_programs(caller, addresses, stop, served));
        }
        sleep(LOAD_TIME);
        let ends = gateways.processes.iter_mut().map(GatewayProcess::end);
        let ends: Vec<_> = ends.collect();
        gateways.processes.iter_mut().for_each(GatewayProcess::kill);
        for process in &mut gateways.processes {
            process.restart().expect("a process");
        }
        served_before = served.load(Ordering::Relaxed);
        sleep(LOAD_TIME);
        stop.store(true, Ordering::Relaxed);
        assert!(ends.iter().all(Option::is_none), "before: {ends:?}");
    });
    let ends = gateways.processes.iter_mut().map(GatewayProcess::end);
    let ends: Vec<_> = ends.collect();
    assert!(ends.iter().all(Option::is_none), "after: {ends:?}");
    let served = served.into_inner();
    assert!(
        0 < served_before && served_before < served,
        "{served_before}, {served}"
    );
}

fn start_backends(store: &PlatformStore) -> Vec<PlatformBackend> {
    let backends = ["e-1", "e-2", "e-3"].map(|id| {
        let backend = PlatformBackend::start(BackendSettings {
            id: id.to_owned(),
            ..BackendSettings::default()
        });
        let backend = backend.expect("a free port");
        store.put("keyed.servers", id, &backend.entry(MODEL_SERVICE, "ready"));
        backend
    });
    backends.into()
}

/// Sends the long turns of one program after the other, each to the next gateway.
fn run_programs(caller: usize, addresses: &[SocketAddr], stop: &AtomicBool, served: &AtomicUsize) {
    let input = "x".repeat(INPUT_BYTES);
    let mut previous: Option<String> = None;
    let mut turn = 0;
    while !stop.load(Ordering::Relaxed) {
        let program = format!("{caller}-{}", turn / TURNS);
        let id = format!("{program}-{turn}");
        let mut request = CallerRequest::turn("/chat/1", &id, &program, &input)
            .with("Token-Budget", "1000000")
            .with("Connection", "close");
        if let Some(previous) = previous.take() {
            request = request.with("Previous-Turn", &previous);
        }
        let response = request.send(addresses[(caller + turn) % GATEWAYS]);
        turn += 1;
        if response.is_ok_and(|response| response.status == 200 && response.is_complete) {
            served.fetch_add(1, Ordering::Relaxed);
            previous = (!turn.is_multiple_of(TURNS)).then_some(id);
        } else {
            sleep(RETRY_PAUSE);
        }
    }
}
