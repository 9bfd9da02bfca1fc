//! Tests that gateways which all lost power start again beside callers that never stop. The gateways are
//! processes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, JoinHandle, sleep};
use std::time::{Duration, Instant};

use rustix::process::Signal;
use standins::platform_backend::{BackendSettings, PlatformBackend};
use standins::platform_caller::CallerRequest;
use standins::platform_run::{MODEL_SERVICE, PLAIN_SERVICE, config, is_ready, wait_until};
use standins::platform_store::{PlatformStore, StoreMode};
use standins::process_gateways::ProcessGateways;

const GATEWAYS: usize = 7;
const CALLERS: usize = 32;
/// How long after a return of all VMs a request may be served by none of them.
const RECOVERY_TIME: Duration = Duration::from_secs(12);
/// How long the gateways are without power, longer than callers wait for a response.
const DARK: Duration = Duration::from_secs(3);
/// The time within which the VMs start.
const START_SPREAD: Duration = Duration::from_millis(300);
/// How long the store is unavailable when the VMs return.
const STORE_AWAY: Duration = Duration::from_secs(4);
/// How long each gateway must have served something.
const SERVING: Duration = Duration::from_secs(3);
/// The pause of a caller whose request was not served.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Callers that go on whatever happens.
struct Callers {
    stop: Arc<AtomicBool>,
    served: Arc<Vec<AtomicU64>>,
    threads: Vec<JoinHandle<()>>,
}

impl Callers {
    fn start(addresses: &[SocketAddr]) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let counts = addresses.iter().map(|_| AtomicU64::new(0));
        let served = Arc::new(counts.collect::<Vec<_>>());
        let threads = (0..CALLERS).map(|caller| {
            let (stop, served) = (Arc::clone(&stop), Arc::clone(&served));
            let addresses = addresses.to_vec();
            thread::spawn(move || run_programs(caller, &addresses, &stop, &served))
        });
        Self {
            threads: threads.collect(),
            stop,
            served,
        }
    }

    fn served(&self) -> Vec<u64> {
        let counts = self.served.iter();
        counts.map(|count| count.load(Ordering::Relaxed)).collect()
    }

    fn finish(self) {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            thread.join().expect("a caller");
        }
    }
}

/// Sends the turns of one program after the other, each to the next gateway.
fn run_programs(caller: usize, addresses: &[SocketAddr], stop: &AtomicBool, served: &[AtomicU64]) {
    const TURNS: usize = 4;
    let mut turn = 0;
    let mut previous: Option<String> = None;
    while !stop.load(Ordering::Relaxed) {
        let program = format!("{caller}-{}", turn / TURNS);
        let id = format!("{program}-{turn}");
        let mut request = CallerRequest::turn("/chat/1", &id, &program, "x")
            .with("Token-Budget", "100000")
            .with("Connection", "close");
        if let Some(previous) = previous.take() {
            request = request.with("Previous-Turn", &previous);
        }
        let gateway = (caller + turn) % addresses.len();
        turn += 1;
        let response = request.send(addresses[gateway]);
        if response.is_ok_and(|response| response.status == 200 && response.is_complete) {
            served[gateway].fetch_add(1, Ordering::Relaxed);
            previous = (!turn.is_multiple_of(TURNS)).then_some(id);
        } else {
            sleep(RETRY_PAUSE);
        }
    }
}

/// Gateways before a store, backend servers and callers.
struct Run {
    gateways: ProcessGateways,
    store: PlatformStore,
    _backends: Vec<PlatformBackend>,
}

impl Run {
    fn start(name: &str) -> Self {
        let store = PlatformStore::default();
        store.put("keyed.op", "config", &config(1));
        let services = [
            ("e-1", MODEL_SERVICE),
            ("e-2", MODEL_SERVICE),
            ("p-1", PLAIN_SERVICE),
        ];
        let backends = services.map(|(id, service)| {
            let backend = PlatformBackend::start(BackendSettings {
                id: id.to_owned(),
                ..BackendSettings::default()
            });
            let backend = backend.expect("a free port");
            store.put("keyed.servers", id, &backend.entry(service, "ready"));
            backend
        });
        Self {
            gateways: ProcessGateways::start(name, GATEWAYS, &store).expect("gateways"),
            store,
            _backends: backends.into(),
        }
    }

    fn callers(&self) -> Callers {
        let addresses: Vec<SocketAddr> = (0..GATEWAYS)
            .map(|gateway| self.gateways.callers(gateway))
            .collect();
        Callers::start(&addresses)
    }

    fn kill(&mut self, gateways: impl Iterator<Item = usize>) {
        let gateways: Vec<usize> = gateways.collect();
        for gateway in &gateways {
            self.gateways.processes[*gateway].send_signal(Signal::KILL);
        }
        for gateway in gateways {
            self.gateways.processes[gateway].kill();
        }
    }

    /// Starts gateways one after the other, within [`START_SPREAD`].
    fn restart(&mut self, gateways: impl ExactSizeIterator<Item = usize>) {
        let pause = START_SPREAD / u32::try_from(gateways.len()).expect("a few");
        for gateway in gateways {
            self.gateways.processes[gateway]
                .restart()
                .expect("a process");
            sleep(pause);
        }
    }

    /// Has three gateways killed and started, changes the configuration, and cuts the power of all.
    fn lose_power(&mut self) {
        self.kill(0..3);
        sleep(START_SPREAD);
        self.restart(0..3);
        self.store.put("keyed.op", "config", &config(2));
        sleep(START_SPREAD);
        self.kill(0..GATEWAYS);
        sleep(DARK);
    }

    /// Checks that each gateway becomes ready and serves, and that none has ended by itself.
    fn assert_recovered(&mut self, callers: &Callers, returned_at: Instant) {
        for gateway in 0..GATEWAYS {
            let ready = self.gateways.processes[gateway].ports.ready;
            while !is_ready(ready) {
                let end = self.gateways.processes[gateway].end();
                assert_eq!(end, None, "gateway {gateway} ended by itself");
                let waited = returned_at.elapsed();
                assert!(waited < RECOVERY_TIME, "gateway {gateway} is not ready");
                sleep(RETRY_PAUSE);
            }
        }
        let before = callers.served();
        sleep(SERVING);
        let after = callers.served();
        for gateway in 0..GATEWAYS {
            let end = self.gateways.processes[gateway].end();
            assert_eq!(end, None, "gateway {gateway} ended by itself");
            assert!(
                after[gateway] > before[gateway],
                "gateway {gateway} serves nothing: {before:?} {after:?}"
            );
            let log = self.gateways.log(gateway).expect("a log");
            let (_, last) = log.rsplit_once("process_started").expect("a start");
            assert!(
                last.contains("requests_loaded"),
                "gateway {gateway}: {last}"
            );
        }
    }
}

/// Guards against gateways that stop running as they start after a loss of power.
#[test]
fn gateways_that_all_lost_power_serve_again() {
    let mut run = Run::start("power-returns");
    let callers = run.callers();
    run.lose_power();
    let returned_at = Instant::now();
    run.restart(0..GATEWAYS);
    run.assert_recovered(&callers, returned_at);
    callers.finish();
}

/// Guards against gateways that give up while the store is unavailable as they start.
#[test]
fn gateways_that_return_before_the_store_serve_once_it_is_back() {
    let mut run = Run::start("power-returns-first");
    let callers = run.callers();
    run.lose_power();
    run.gateways.set_store_mode(StoreMode::Silent);
    run.restart(0..GATEWAYS);
    sleep(STORE_AWAY);
    run.gateways.restore_store();
    run.assert_recovered(&callers, Instant::now());
    callers.finish();
}

/// Guards against gateways that wait at their start for a peer which stands still.
#[test]
fn gateways_start_beside_a_peer_that_stands_still() {
    const SUSPENDED: usize = GATEWAYS - 1;
    let mut run = Run::start("power-returns-suspended");
    let callers = run.callers();
    run.gateways.processes[SUSPENDED].send_signal(Signal::STOP);
    run.kill(0..SUSPENDED);
    sleep(DARK);
    let returned_at = Instant::now();
    run.restart(0..SUSPENDED);
    for gateway in 0..SUSPENDED {
        let ready = run.gateways.processes[gateway].ports.ready;
        wait_until(|| is_ready(ready)).expect("a gateway that starts");
    }
    run.gateways.processes[SUSPENDED].send_signal(Signal::CONT);
    run.assert_recovered(&callers, returned_at);
    callers.finish();
}

/// Guards against gateways that are killed again as they start and leave what later starts can't read.
#[test]
fn gateways_that_are_killed_in_series_as_they_start_serve_in_the_end() {
    const PAUSES_MS: [u64; 6] = [0, 2, 5, 10, 20, 50];
    let mut run = Run::start("power-returns-series");
    let callers = run.callers();
    run.lose_power();
    for pause_ms in PAUSES_MS {
        for process in &mut run.gateways.processes {
            process.restart().expect("a process");
        }
        sleep(Duration::from_millis(pause_ms));
        run.kill(0..GATEWAYS);
    }
    let returned_at = Instant::now();
    run.restart(0..GATEWAYS);
    run.assert_recovered(&callers, returned_at);
    callers.finish();
}
