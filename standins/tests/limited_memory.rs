//! Tests that gateways with little memory serve long turns. The gateways are processes.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use rustix::process::Signal;
use standins::platform_backend::{BackendSettings, PlatformBackend};
use standins::platform_caller::CallerRequest;
use standins::platform_run::{MODEL_SERVICE, config};
use standins::platform_store::PlatformStore;
use standins::process_gateways::ProcessGateways;
use standins::soak_process::{GatewayProcess, ProcessSettings};
use standins::stop_guard::StopGuard;

const GATEWAYS: usize = 7;
const CALLERS: usize = 96;
/// The turns of a program, and what its caller adds in each.
const TURNS: usize = 6;
const INPUT_BYTES: usize = 80_000;
/// The address space of a gateway.
const ADDRESS_SPACE_KIB: u64 = 115_000;
/// How long callers send turns before all gateways return, and after.
const LOAD_TIME: Duration = Duration::from_secs(8);
/// Callers that don't read responses.
const SENDERS: usize = 128;
/// The memory of the smallest VM.
const VM_MEMORY_BYTES: u64 = 130_000_000;
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
        let _stop = StopGuard(&stop);
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

/// Guards against a gateway that exceeds the memory of its VM by what it has not read after it stood still.
#[test]
fn a_gateway_that_stands_still_holds_no_more_than_its_vm_has() {
    let store = PlatformStore::default();
    store.put("keyed.op", "config", &config(1));
    let _backends = start_backends(&store);
    let gateways = ProcessGateways::start("unread-memory", GATEWAYS, &store).expect("gateways");
    let addresses = (0..GATEWAYS).map(|number| gateways.callers(number));
    let addresses: Vec<SocketAddr> = addresses.collect();
    let (stop, served) = (AtomicBool::new(false), AtomicUsize::new(0));
    let most = thread::scope(|scope| {
        let _stop = StopGuard(&stop);
        for caller in 0..CALLERS {
            let (addresses, stop, served) = (&addresses, &stop, &served);
            scope.spawn(move || run_programs(caller, addresses, stop, served));
        }
        for _ in 0..SENDERS {
            scope.spawn(|| send_unanswered(addresses[0], &stop));
        }
        let mut most = most_held(&gateways, LOAD_TIME / 4);
        gateways.processes[0].send_signal(Signal::STOP);
        most = most.max(most_held(&gateways, LOAD_TIME / 2));
        gateways.processes[0].send_signal(Signal::CONT);
        most.max(most_held(&gateways, LOAD_TIME / 4))
    });
    assert!(served.into_inner() > 0);
    assert!(most < VM_MEMORY_BYTES, "{most} bytes");
}

/// Returns the most memory that any gateway has used within a time, with what it has not read, in bytes.
fn most_held(gateways: &ProcessGateways, span: Duration) -> u64 {
    let started_at = Instant::now();
    let mut most = 0;
    while started_at.elapsed() < span {
        for process in &gateways.processes {
            let memory = process.memory_bytes().expect("a running process");
            let unread = process.unread_bytes().expect("a running process");
            most = most.max(memory + unread);
        }
        sleep(RETRY_PAUSE);
    }
    most
}

/// Sends requests with long bodies whose responses nobody reads, until the connection takes no more.
fn send_unanswered(address: SocketAddr, stop: &AtomicBool) {
    let request = CallerRequest::turn("/chat/1", "u", "u", &"x".repeat(INPUT_BYTES)).bytes();
    while !stop.load(Ordering::Relaxed) {
        let Ok(mut connection) = TcpStream::connect(address) else {
            continue;
        };
        connection
            .set_write_timeout(Some(RETRY_PAUSE))
            .expect("an open connection");
        while !stop.load(Ordering::Relaxed) && connection.write_all(&request).is_ok() {}
        sleep(RETRY_PAUSE);
    }
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
