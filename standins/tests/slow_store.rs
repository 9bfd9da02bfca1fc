//! Tests gateways that start at a store that answers slowly.

use std::time::Duration;

use standins::platform_backend::{BackendSettings, PlatformBackend};
use standins::platform_caller::exchange;
use standins::platform_run::{MODEL_SERVICE, config, wait_until};
use standins::platform_store::PlatformStore;
use standins::process_gateways::ProcessGateways;

const GATEWAYS: usize = 7;
/// How long the store takes for each answer.
const STORE_DELAY: Duration = Duration::from_millis(300);
/// The partitions of budgets.
const BUDGET_PARTITIONS: usize = 96;
/// Gateways as processes, a store and an engine.
struct Run {
    gateways: ProcessGateways,
    store: PlatformStore,
    _engine: PlatformBackend,
}

impl Run {
    fn start(name: &str) -> Self {
        let store = PlatformStore::default();
        let settings = BackendSettings {
            id: "e-1".to_owned(),
            events: 2,
            pause: Duration::from_millis(1),
            ..BackendSettings::default()
        };
        let engine = PlatformBackend::start(settings).expect("a free port");
        let entry = engine.entry(MODEL_SERVICE, "ready");
        let entry = entry.replace("\"Slots\":8", "\"Slots\":200");
        store.put("keyed.servers", "e-1", &entry);
        let config = config(1).replace("\"MaxConns\":50", "\"MaxConns\":300");
        store.put("keyed.op", "config", &config);
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
