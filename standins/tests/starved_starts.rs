//! Tests that a gateway which starts gets what it needs although the gateways that serve use up the reads
//! of the store. The gateways are processes.

use std::io;
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use standins::platform_backend::PlatformBackend;
use standins::platform_caller::{CallerRequest, CallerResponse};
use standins::platform_run::{config, is_ready, large_engine_config, start_large_engine};
use standins::platform_store::{PlatformStore, StoreMode};
use standins::process_gateways::ProcessGateways;
use standins::soak_process::GatewayProcess;
use standins::stop_guard::StopGuard;

const GATEWAYS: usize = 7;
const CALLERS: usize = 64;
/// The turns of a program, each at another gateway.
const TURNS: usize = 4;
/// The reads of a second that the store takes from all gateways together.
const READS_PER_S: u32 = 40;
/// How long the store takes for each answer.
const STORE_DELAY: Duration = Duration::from_millis(4);
/// How long the limit has been in force when a gateway is killed.
const LOAD_LEAD: Duration = Duration::from_secs(3);
/// The time in which a version of the configuration must be in force at all gateways.
const CONFIG_LIMIT: Duration = Duration::from_secs(2);
/// The time in which the system must serve again after all gateways are back.
const RECOVERY_LIMIT: Duration = Duration::from_secs(12);
/// How long the turns that are served are counted.
const COUNT_SPAN: Duration = Duration::from_secs(6);
/// The time in which the store counts reads.
const LIMIT_SPAN: Duration = Duration::from_secs(1);
/// The pause of a caller after a refusal without a delay.
const CALLER_PAUSE: Duration = Duration::from_millis(50);
const MAX_CALLER_PAUSE: Duration = Duration::from_secs(1);
/// How long the store refuses reads, longer than what makes an outage.
const REFUSED_SPAN: Duration = Duration::from_secs(3);
/// The time in which a gateway reads the lists of a store that is back.
const STORE_LAG: Duration = Duration::from_secs(2);

/// Gateways, a store, an engine, and what callers have got.
struct Run {
    gateways: ProcessGateways,
    store: PlatformStore,
    _engine: PlatformBackend,
    served: AtomicU64,
    unknown: AtomicU64,
    refused: AtomicU64,
    is_over: AtomicBool,
}

impl Run {
    fn start(name: &str) -> Self {
        let store = PlatformStore::default();
        let engine = start_large_engine(&store);
        store.put("keyed.op", "config", &large_engine_config());
        store.set_delay(STORE_DELAY);
        let gateways = ProcessGateways::start(name, GATEWAYS, &store).expect("gateways");
        Self {
            gateways,
            store,
            _engine: engine,
            served: AtomicU64::new(0),
            unknown: AtomicU64::new(0),
            refused: AtomicU64::new(0),
            is_over: AtomicBool::new(false),
        }
    }

    /// Sends turns of programs, each to the next gateway, until the run is over.
    fn converse(&self, addresses: &[SocketAddr], caller: usize) {
        let mut program = 0;
        while !self.is_over.load(Ordering::Relaxed) {
            program += 1;
            let name = format!("program-{caller}-{program}");
            for turn in 0..TURNS {
                let address = addresses[(caller + program + turn) % addresses.len()];
                let request = CallerRequest::turn("/chat/1", &format!("{name}-{turn}"), &name, "x")
                    .with("Token-Budget", "1000000");
                // The first turn names one that was never recorded: no memory has it.
                let previous = match turn {
                    0 => format!("{name}-never"),
                    1 => String::new(),
                    _ => format!("{name}-{}", turn - 1),
                };
                let request = if previous.is_empty() {
                    request
                } else {
                    request.with("Previous-Turn", &previous)
                };
                if !self.record(&request.send(address)) && turn > 0 {
                    break;
                }
            }
        }
    }

    /// Counts a response, and waits as long as it asks for; returns whether the turn was served.
    fn record(&self, response: &io::Result<CallerResponse>) -> bool {
        let status = response.as_ref().map_or(0, |response| response.status);
        let is_whole = response.as_ref().is_ok_and(|r| r.is_complete);
        match status {
            200 if is_whole => {
                self.served.fetch_add(1, Ordering::Relaxed);
                return true;
            }
            404 => {
                self.unknown.fetch_add(1, Ordering::Relaxed);
                return false;
            }
            _ => self.refused.fetch_add(1, Ordering::Relaxed),
        };
        let retry_after = response
            .as_ref()
            .ok()
            .and_then(|r| r.headers.get("retry-after"));
        let retry_after = retry_after.and_then(|seconds| seconds.parse::<f64>().ok());
        let pause = retry_after.map_or(CALLER_PAUSE, Duration::from_secs_f64);
        thread::sleep(pause.clamp(CALLER_PAUSE, MAX_CALLER_PAUSE));
        false
    }

    /// Runs `work` while callers send turns.
    fn under_load(mut self, work: impl FnOnce(&mut Loaded<'_>)) {
        let addresses: Vec<_> = (0..GATEWAYS).map(|g| self.gateways.callers(g)).collect();
        let mut gateways = std::mem::take(&mut self.gateways.processes);
        let run = &self;
        thread::scope(|scope| {
            for caller in 0..CALLERS {
                let addresses = &addresses;
                scope.spawn(move || run.converse(addresses, caller));
            }
            let _over = StopGuard(&run.is_over);
            run.store.limit_reads(READS_PER_S);
            thread::sleep(LOAD_LEAD);
            work(&mut Loaded {
                run,
                processes: &mut gateways,
            });
        });
    }
}

/// A run whose callers send turns.
struct Loaded<'a> {
    run: &'a Run,
    processes: &'a mut Vec<GatewayProcess>,
}

impl Loaded<'_> {
    fn restart(&mut self, gateways: Range<usize>) {
        for gateway in gateways.clone() {
            self.processes[gateway].kill();
        }
        for gateway in gateways {
            self.processes[gateway].restart().expect("a process");
        }
    }

    /// Returns when each gateway became ready; `None` if it did not within `limit`.
    fn times_until_ready(&self, gateways: Range<usize>, limit: Duration) -> Vec<Option<Duration>> {
        let started = Instant::now();
        let mut times = vec![None; gateways.len()];
        while started.elapsed() < limit && times.contains(&None) {
            for (gateway, time) in gateways.clone().zip(&mut times) {
                if time.is_none() && is_ready(self.processes[gateway].ports.ready) {
                    *time = Some(started.elapsed()).filter(|time| *time <= limit);
                }
            }
            thread::sleep(Duration::from_millis(5));
        }
        times
    }

    /// Counts the turns that are served in a span.
    fn count_served(&self) -> u64 {
        let count = || self.run.served.load(Ordering::Relaxed);
        let before = count();
        let others = || {
            let load = |count: &AtomicU64| count.load(Ordering::Relaxed);
            (load(&self.run.unknown), load(&self.run.refused))
        };
        let others_before = others();
        thread::sleep(COUNT_SPAN);
        let served = count() - before;
        let (unknown, refused) = others();
        println!(
            "in {COUNT_SPAN:?}: {served} served, {} unknown, {} refused",
            unknown - others_before.0,
            refused - others_before.1
        );
        served
    }
}

/// Guards against a gateway that returns alone and is starved by those that serve.
#[test]
fn a_gateway_that_returns_alone_is_ready_although_others_use_up_the_reads() {
    Run::start("starved-one").under_load(|loaded| {
        loaded.count_served();
        let refused = loaded.run.store.refused_reads();
        let times: Vec<_> = (0..GATEWAYS)
            .flat_map(|gateway| {
                loaded.restart(gateway..gateway + 1);
                loaded.times_until_ready(gateway..gateway + 1, CONFIG_LIMIT)
            })
            .collect();
        println!("ready after {times:?}");
        let is_used_up = loaded.run.store.refused_reads() > refused;
        assert!(is_used_up, "the reads are not used up");
        assert!(!times.contains(&None), "not ready in time: {times:?}");
    });
}

/// Guards against gateways that return one by one and are starved by those that serve, which are starved as well.
#[test]
fn gateways_that_return_a_second_apart_are_ready_although_others_use_up_the_reads() {
    Run::start("starved-apart").under_load(|loaded| {
        loaded.count_served();
        let times: Vec<_> = (0..GATEWAYS)
            .flat_map(|gateway| {
                let refused = loaded.run.store.refused_reads();
                loaded.restart(gateway..gateway + 1);
                let times = loaded.times_until_ready(gateway..gateway + 1, CONFIG_LIMIT);
                thread::sleep(LIMIT_SPAN);
                let is_used_up = loaded.run.store.refused_reads() > refused;
                assert!(is_used_up, "the reads are not used up");
                times
            })
            .collect();
        println!("ready after {times:?}");
        assert!(!times.contains(&None), "not ready in time: {times:?}");
    });
}

/// Guards against gateways that return together and starve each other.
#[test]
fn gateways_that_return_together_are_ready_although_callers_use_up_the_reads() {
    Run::start("starved-all").under_load(|loaded| {
        for _ in 0..3 {
            loaded.restart(0..GATEWAYS);
            let times = loaded.times_until_ready(0..GATEWAYS, RECOVERY_LIMIT);
            println!("ready after {times:?}");
            assert!(!times.contains(&None), "not ready in time: {times:?}");
            loaded.count_served();
        }
    });
}

/// Runs one gateway whose list of servers the store refuses for a while, and returns its log.
fn log_of_refused_reads(name: &str, mode: StoreMode) -> String {
    let store = PlatformStore::default();
    let _engine = start_large_engine(&store);
    store.put("keyed.op", "config", &config(1));
    let gateways = ProcessGateways::start(name, 1, &store).expect("a gateway");
    gateways.set_store_mode(mode);
    thread::sleep(REFUSED_SPAN);
    gateways.restore_store();
    thread::sleep(STORE_LAG);
    gateways.log(0).expect("a log")
}

/// Guards against servers that have left and are kept, since a store at its limit of calls counts as
/// unavailable.
#[test]
fn refusals_by_the_limit_of_calls_are_no_outage() {
    let is_outage = |log: &str| log.contains("server_list_back");
    assert!(is_outage(&log_of_refused_reads(
        "refused-busy",
        StoreMode::Busy
    )));
    let log = log_of_refused_reads("refused-limited", StoreMode::Limited);
    assert!(!is_outage(&log), "{log}");
}

/// Guards against a start whose calls the store turns away while its peers are served.
#[test]
fn a_gateway_that_the_store_turns_away_is_ready_by_its_peers() {
    for mode in [StoreMode::Limited, StoreMode::Busy, StoreMode::Silent] {
        let mut run = Run::start(&format!("turned-away-{mode:?}"));
        run.gateways.set_store_mode_for(0, mode);
        let process = &mut run.gateways.processes[0];
        process.kill();
        process.restart().expect("a process");
        let started = Instant::now();
        let ready = process.ports.ready;
        while !is_ready(ready) && started.elapsed() < CONFIG_LIMIT {
            thread::sleep(Duration::from_millis(5));
        }
        println!("{mode:?}: ready after {:?}", started.elapsed());
        assert!(is_ready(ready), "{mode:?}: not ready in time");
    }
}
