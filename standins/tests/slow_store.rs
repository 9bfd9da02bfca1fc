//! Tests that gateways that start at a store that answers slowly serve turns, each as soon as the calls
//! that depend on each other are answered.

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use standins::platform_backend::PlatformBackend;
use standins::platform_caller::{CallerRequest, exchange};
use standins::platform_run::{large_engine_config, start_large_engine, wait_until};
use standins::platform_store::PlatformStore;
use standins::process_gateways::ProcessGateways;

const GATEWAYS: usize = 7;
const CALLERS: usize = 64;
/// How long the store takes for each answer.
const STORE_DELAY: Duration = Duration::from_millis(300);
/// The calls of a program's first turn that depend on each other: a read of its budget's partition, an
/// append there, both once more where another gateway has written between the two, and its record.
const FIRST_TURN_CALLS: u32 = 5;
/// Those of a later turn, whose chain and budget other gateways have in memory: its record, and a slice
/// of the budget from time to time.
const LATER_TURN_CALLS: u32 = 2;
/// The partitions of budgets.
const BUDGET_PARTITIONS: usize = 96;
/// How long callers send turns.
const SPAN: Duration = Duration::from_secs(6);
/// The pause of a caller after a turn that was not served.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// One try in this many may not be served, since a start lasts longer than a turn.
const TRIES_PER_FAILURE: usize = 10;

/// Gateways as processes, a store and an engine.
struct Run {
    gateways: ProcessGateways,
    store: PlatformStore,
    _engine: PlatformBackend,
}

impl Run {
    fn start(name: &str) -> Self {
        let store = PlatformStore::default();
        let engine = start_large_engine(&store);
        store.put("keyed.op", "config", &large_engine_config());
        let gateways = ProcessGateways::start(name, GATEWAYS, &store).expect("gateways");
        Self {
            gateways,
            store,
            _engine: engine,
        }
    }

    /// Kills all gateways and starts them again at a store that is slow from now on.
    fn restart_at_slow_store(&mut self) {
        self.store.set_delay(STORE_DELAY);
        for process in &mut self.gateways.processes {
            process.kill();
        }
        for process in &mut self.gateways.processes {
            process.restart().expect("a process");
        }
        for gateway in 0..GATEWAYS {
            let is_ready = self.gateways.wait_until_ready(gateway);
            is_ready.expect("a gateway that is ready");
        }
    }

    /// Returns how many calls of a gateway the store has not answered in time.
    fn count_silent_calls(&self, gateway: usize) -> u64 {
        let request = b"GET /metrics HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
        let metrics = exchange(self.gateways.processes[gateway].ports.metrics, request);
        let metrics = metrics.expect("metrics").body;
        let is_silent = |line: &&str| {
            line.starts_with("clementinepick_store_calls_total")
                && line.contains(r#"outcome="silent""#)
        };
        let counts = metrics.lines().filter(is_silent);
        let counts = counts.filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok());
        counts.sum()
    }

    /// Sends turns of one chain after the other, each to another gateway, until told to stop.
    fn converse(&self, name: &str, caller: usize, must_stop: &AtomicBool) -> Tally {
        let program = format!("{name}-{caller}");
        let mut tally = Tally::default();
        let mut previous: Option<String> = None;
        while !must_stop.load(Ordering::Relaxed) {
            let number = tally.served + tally.failed;
            let id = format!("{program}-{number}");
            let mut turn =
                CallerRequest::turn("/chat/1", &id, &program, "input").with("Token-Budget", "4000");
            if let Some(previous) = &previous {
                turn = turn.with("Previous-Turn", previous);
            }
            let gateway = (caller + number) % GATEWAYS;
            let response = turn.send(self.gateways.callers(gateway));
            if response.is_ok_and(|response| response.status == 200 && response.is_complete) {
                tally.served += 1;
                previous = Some(id);
            } else {
                tally.failed += 1;
                thread::sleep(RETRY_PAUSE);
            }
        }
        tally
    }

    /// Lets all callers send turns for a while.
    fn converse_all(&self, name: &str, span: Duration) -> Vec<Tally> {
        let must_stop = AtomicBool::new(false);
        let must_stop = &must_stop;
        thread::scope(|scope| {
            let callers = 0..CALLERS;
            let callers: Vec<_> = callers
                .map(|caller| scope.spawn(move || self.converse(name, caller, must_stop)))
                .collect();
            thread::sleep(span);
            must_stop.store(true, Ordering::Relaxed);
            let tallies = callers.into_iter().map(thread::ScopedJoinHandle::join);
            tallies.map(|tally| tally.expect("a tally")).collect()
        })
    }
}

/// What became of a caller's turns.
#[derive(Debug, Clone, Copy, Default)]
struct Tally {
    served: usize,
    failed: usize,
}

/// Guards against gateways that give up each call of their start before a slow store answers it.
#[test]
fn a_start_waits_for_the_answers_of_a_slow_store() {
    let mut run = Run::start("slow-start");
    run.restart_at_slow_store();
    for gateway in 0..GATEWAYS {
        assert_eq!(run.count_silent_calls(gateway), 0, "gateway {gateway}");
    }
}

/// Guards against gateways that never become homes because they give up before a slow store has answered
/// the calls for one partition.
#[test]
fn partitions_get_homes_at_a_slow_store() {
    let mut run = Run::start("slow-homes");
    let count_homes = |run: &Run| {
        let keys = run.store.keys("keyed.budgets");
        keys.iter().filter(|key| key.starts_with("home/")).count()
    };
    wait_until(|| count_homes(&run) == BUDGET_PARTITIONS).expect("homes before the restart");
    run.restart_at_slow_store();
    wait_until(|| count_homes(&run) == 2 * BUDGET_PARTITIONS).expect("homes after the restart");
}

/// Guards against turns that ask a slow store for what other gateways have in memory, and wait for calls
/// on which they don't depend.
#[test]
fn turns_wait_only_for_the_calls_that_they_depend_on() {
    let mut run = Run::start("slow-turns");
    // The partitions of budgets have records from before the start.
    run.converse_all("before", Duration::from_secs(1));
    run.restart_at_slow_store();
    let started_at = Instant::now();
    let tallies = run.converse_all("after", SPAN);
    let took = started_at.elapsed();
    let served: usize = tallies.iter().map(|tally| tally.served).sum();
    let failed: usize = tallies.iter().map(|tally| tally.failed).sum();
    let least = tallies.iter().map(|tally| tally.served).min();
    let seen = format!("{served} served and {failed} not in {took:?}, {least:?} of a caller");
    println!("{seen}");
    let later_span = SPAN.saturating_sub(STORE_DELAY * FIRST_TURN_CALLS);
    let later_turns = later_span.as_millis() / (STORE_DELAY * LATER_TURN_CALLS).as_millis();
    let later_turns = usize::try_from(later_turns).expect("a small number");
    assert!(served >= CALLERS * (1 + later_turns), "{seen}");
    assert!(failed * TRIES_PER_FAILURE <= served + failed, "{seen}");
}
