//! Tests that planned restarts cost programs nothing of their budgets. The gateways are processes.

use std::thread::sleep;
use std::time::Duration;

use standins::platform_backend::{BackendSettings, PlatformBackend};
use standins::platform_caller::CallerRequest;
use standins::platform_run::{MODEL_SERVICE, config, wait_until};
use standins::platform_store::PlatformStore;
use standins::process_gateways::ProcessGateways;
use standins::soak_process::wait_for_exit;

/// The number of gateways.
const GATEWAYS: usize = 3;
/// The number of programs.
const PROGRAMS: usize = 12;
/// The budget of a program, in tokens.
const BUDGET_TOKENS: u64 = 800;
/// What a turn generates, in tokens.
const TURN_TOKENS: u64 = 40;
/// What a turn may generate at most, in tokens.
const MAX_TURN_TOKENS: u64 = 50;
/// How many times each gateway is restarted.
const ROUNDS: usize = 2;
/// A pause in which a gateway reads which others there are.
const REGISTRY_LAG: Duration = Duration::from_millis(1_500);

/// Gateways as processes, a store and an engine.
struct Restarts {
    gateways: ProcessGateways,
    store: PlatformStore,
    _engine: PlatformBackend,
    sent: usize,
}

impl Restarts {
    fn start(name: &str) -> Self {
        let store = PlatformStore::default();
        store.put("keyed.op", "config", &config(1));
        let engine = PlatformBackend::start(BackendSettings {
            id: "e-1".to_owned(),
            ..BackendSettings::default()
        });
        let engine = engine.expect("a free port");
        store.put(
            "keyed.servers",
            "e-1",
            &engine.entry(MODEL_SERVICE, "ready"),
        );
        let gateways = ProcessGateways::start(name, GATEWAYS, &store).expect("gateways");
        let run = Self {
            gateways,
            store,
            _engine: engine,
            sent: 0,
        };
        wait_until(|| run.home_count() == 96).expect("homes of all partitions");
        run
    }

    fn home_count(&self) -> usize {
        let keys = self.store.keys("keyed.budgets");
        keys.iter().filter(|key| key.starts_with("home/")).count()
    }

    /// Sends a turn of a program; returns the status.
    fn turn(&mut self, gateway: usize, program: usize) -> u16 {
        self.sent += 1;
        let id = format!("turn-{}", self.sent);
        let turn = CallerRequest::turn("/draft/1", &id, &format!("p{program}"), &id)
            .with("Token-Budget", &BUDGET_TOKENS.to_string())
            .with("Connection", "close");
        let response = turn.send(self.gateways.callers(gateway));
        response.expect("a response").status
    }

    /// Restarts a gateway as for a release: SIGTERM, and a start once it has ended.
    fn restart(&mut self, gateway: usize) {
        let process = &mut self.gateways.processes[gateway];
        let child = process.terminate().expect("a process");
        let status = wait_for_exit(child).expect("a status");
        assert!(status.is_some_and(|status| status.success()));
        process.restart().expect("a process");
        self.gateways
            .wait_until_ready(gateway)
            .expect("a gateway that becomes ready");
        sleep(REGISTRY_LAG);
    }
}

/// Guards against restarts that use up what gateways have reserved of budgets.
#[test]
fn programs_keep_their_budgets_through_rolling_restarts() {
    let mut run = Restarts::start("rolling-restarts");
    let mut delivered = [0; PROGRAMS];
    for restart in 0..ROUNDS * GATEWAYS {
        for (program, delivered) in delivered.iter_mut().enumerate() {
            assert_eq!(run.turn((program + restart) % GATEWAYS, program), 200);
            *delivered += TURN_TOKENS;
        }
        run.restart(restart % GATEWAYS);
    }
    for (program, delivered) in delivered.iter_mut().enumerate() {
        while *delivered + MAX_TURN_TOKENS <= BUDGET_TOKENS {
            let gateway = program % GATEWAYS;
            assert_eq!(run.turn(gateway, program), 200, "p{program}: {delivered}");
            *delivered += TURN_TOKENS;
        }
    }
}
