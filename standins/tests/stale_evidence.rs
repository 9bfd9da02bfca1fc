//! Tests that a gateway out of step with the others denies nothing that they know of: it was
//! suspended, or cut off from the store, or from its peers. The gateways are processes.

use std::cell::Cell;
use std::net::SocketAddr;
use std::thread::{self, JoinHandle, sleep};
use std::time::Duration;

use rustix::process::Signal;
use standins::platform_backend::{BackendSettings, PlatformBackend};
use standins::platform_caller::CallerRequest;
use standins::platform_run::{MODEL_SERVICE, PLAIN_SERVICE, config, is_ready, wait_until};
use standins::platform_store::PlatformStore;
use standins::process_gateways::ProcessGateways;

/// The time in which a gateway must learn of a new configuration, and some more.
const APPLY_TIME: Duration = Duration::from_millis(2_300);
/// The time in which the store notices what ends a long poll, and answers.
const ANSWER_TIME: Duration = Duration::from_millis(50);
/// How long a gateway is suspended over a long poll; it would give up only later.
const SUSPENSION: Duration = Duration::from_millis(800);
/// The time after which the next long polls have begun.
const POLL_START: Duration = Duration::from_millis(200);
/// The age from which a configuration is too old to deny a route, without the time of a long poll.
const OLD_CONFIG_AGE: Duration = Duration::from_millis(1_300);
/// The time in which a gateway that goes on has handled what was sent to it.
const RESUME_TIME: Duration = Duration::from_millis(300);
/// The age from which lists are too old for a ready gateway, without the time of a long poll.
const UNREADY_AGE: Duration = Duration::from_millis(2_300);
/// The number of programs: each gateway is the home of some of them.
const PROGRAMS: usize = 12;
/// Two turns of 40 tokens leave 40 of it unspent.
const BUDGET_TOKENS: u64 = 120;
/// The number of the turn for which only the unspent tokens are left.
const REFUSED_TURN: usize = 2;
/// The number of turns of a program that begin at the same time.
const BEGUN_TURNS: usize = 4;
/// The budget of a program with such turns, and how many of 40 tokens it suffices for.
const LARGE_BUDGET_TOKENS: u64 = 400;
const LARGE_BUDGET_TURNS: usize = 9;
/// The size of a body that only the raised limit allows.
const LARGE_BODY_BYTES: usize = 150_000;
/// How often a route is denied, over several long polls.
const DENIALS: u32 = 200;
const DENIAL_INTERVAL: Duration = Duration::from_millis(20);
/// The number of partitions of budgets.
const PARTITIONS: usize = 96;

/// Gateways before a store, a model server and a plain server.
struct Run {
    gateways: ProcessGateways,
    store: PlatformStore,
    servers: [PlatformBackend; 2],
}

impl Run {
    fn start(name: &str, count: usize) -> Self {
        let store = PlatformStore::default();
        store.put("keyed.op", "config", &config(1));
        let servers = [("m-1", MODEL_SERVICE), ("p-1", PLAIN_SERVICE)].map(|(id, service)| {
            let settings = BackendSettings {
                id: id.to_owned(),
                ..BackendSettings::default()
            };
            let server = PlatformBackend::start(settings).expect("a free port");
            store.put("keyed.servers", id, &server.entry(service, "ready"));
            server
        });
        let gateways = ProcessGateways::start(name, count, &store).expect("gateways");
        Self {
            gateways,
            store,
            servers,
        }
    }

    /// Publishes a configuration with a route that was added.
    fn add_route(&self) {
        let with_route = config(3).replace("/look/", "/seek/");
        self.store.put("keyed.op", "config", &with_route);
    }

    /// Returns the status of a request for the added route.
    fn added_route(&self) -> u16 {
        let request = CallerRequest::new("GET", "/seek/1", "r");
        let response = request.send(self.gateways.callers(0));
        response.expect("a response").status
    }

    /// Publishes a configuration that allows larger bodies.
    fn raise_limit(&self) {
        let raised = config(3).replace("\"MaxBodyBytes\":100000", "\"MaxBodyBytes\":200000");
        self.store.put("keyed.op", "config", &raised);
    }

    /// Publishes a configuration that allows as many connections to a server as turns of a test begin at once,
    /// of which each gateway has a share, and waits until all gateways have it.
    fn raise_connection_limit(&self) {
        let raised = config(2).replace("\"MaxConns\":50", "\"MaxConns\":200");
        self.store.put("keyed.op", "config", &raised);
        for gateway in 0..self.gateways.processes.len() {
            let has_raised = || {
                let state = self.gateways.state(gateway);
                state.is_ok_and(|state| state["config_version"] == 2)
            };
            wait_until(has_raised).expect("the configuration in use");
        }
    }

    /// Returns the status of a request with a body between both limits.
    fn large_body(&self) -> u16 {
        let request = CallerRequest {
            body: "x".repeat(LARGE_BODY_BYTES),
            ..CallerRequest::new("POST", "/look/1", "r")
        };
        let response = request.send(self.gateways.callers(0));
        response.expect("a response").status
    }

    fn suspend(&self, gateway: usize) {
        self.gateways.processes[gateway].send_signal(Signal::STOP);
    }

    fn resume(&self, gateway: usize) {
        self.gateways.processes[gateway].send_signal(Signal::CONT);
        sleep(RESUME_TIME);
    }

    /// Ends long polls.
    fn write_lists(&self) {
        let entry = self.servers[0].entry(MODEL_SERVICE, "ready");
        self.store.put("keyed.servers", "m-1", &entry);
        self.store.put("keyed.op", "config", &config(2));
    }

    /// Suspends the gateway over the responses of long polls that have just begun.
    fn suspend_over_polls(&self) {
        self.write_lists();
        let is_read = || {
            let state = self.gateways.state(0);
            state.is_ok_and(|state| state["config_version"] == 2)
        };
        wait_until(is_read).expect("the configuration in use");
        sleep(POLL_START);
        self.suspend(0);
        self.write_lists();
        sleep(ANSWER_TIME);
        self.gateways.silence_store();
        sleep(SUSPENSION);
        self.resume(0);
    }

    fn home_count(&self) -> usize {
        let keys = self.store.keys("keyed.budgets");
        keys.iter().filter(|key| key.starts_with("home/")).count()
    }

    fn slice_count(&self, program: &str) -> usize {
        let keys = self.store.keys("keyed.budgets");
        let start = format!("slice/{program}/");
        keys.iter().filter(|key| key.starts_with(&start)).count()
    }
}

/// Sends a turn with a maximum of 50 tokens, of which it uses 40.
fn turn(address: SocketAddr, program: &str, number: usize, budget: u64) -> u16 {
    let id = format!("{program}-{number}");
    let turn = CallerRequest::turn("/draft/1", &id, program, "x");
    let turn = turn.with("Token-Budget", &budget.to_string());
    turn.send(address).expect("a response").status
}

/// Sends a turn of each program at the same time.
fn turns(address: SocketAddr, number: usize) -> Vec<u16> {
    let callers: Vec<_> = programs()
        .map(|program| thread::spawn(move || turn(address, &program, number, BUDGET_TOKENS)))
        .collect();
    let joined = callers.into_iter().map(JoinHandle::join);
    joined.map(|status| status.expect("no panic")).collect()
}

fn programs() -> impl Iterator<Item = String> {
    (0..PROGRAMS).map(|program| format!("p{program}"))
}

/// Repeats a turn, each time as another attempt, until it is no longer refused; returns its status.
fn repeat_turn(address: SocketAddr, program: &str) -> u16 {
    let attempt = Cell::new(REFUSED_TURN);
    let status = Cell::new(503);
    let is_decided = || {
        attempt.set(attempt.get() + 1);
        status.set(turn(address, program, attempt.get(), BUDGET_TOKENS));
        status.get() != 503
    };
    wait_until(is_decided).expect("a decision");
    status.get()
}

/// Sends a turn that keeps its context, and may continue from another one.
fn chat(address: SocketAddr, id: &str, previous: Option<&str>) -> u16 {
    let turn = CallerRequest::turn("/chat/1", id, "p", id);
    let turn = match previous {
        Some(previous) => turn.with("Previous-Turn", previous),
        None => turn,
    };
    turn.send(address).expect("a response").status
}

/// Guards against a route that is denied by a configuration read long ago.
#[test]
fn a_gateway_without_its_store_does_not_deny_a_route() {
    let run = Run::start("old-config", 1);
    run.gateways.silence_store();
    run.add_route();
    sleep(APPLY_TIME);
    assert_eq!(run.added_route(), 503);
    run.gateways.restore_store();
    wait_until(|| run.added_route() == 200).expect("the configuration in use");
}

/// Guards against a gateway in step that counts its configuration as outdated between two long polls.
#[test]
fn a_gateway_in_step_denies_a_route_that_does_not_exist() {
    let run = Run::start("in-step", 1);
    for _ in 0..DENIALS {
        assert_eq!(run.added_route(), 404);
        sleep(DENIAL_INTERVAL);
    }
}

/// Guards against a body that is refused for good by a limit read long ago.
#[test]
fn a_gateway_without_its_store_does_not_deny_a_body() {
    let run = Run::start("old-limits", 1);
    run.gateways.silence_store();
    run.raise_limit();
    sleep(APPLY_TIME);
    assert_eq!(run.large_body(), 503);
    run.gateways.restore_store();
    wait_until(|| run.large_body() == 200).expect("the configuration in use");
}

/// Guards against a response that counts as new because it is handled late.
#[test]
fn a_gateway_that_was_suspended_over_a_long_poll_does_not_deny_a_route() {
    let run = Run::start("late-config", 1);
    run.suspend_over_polls();
    run.add_route();
    sleep(OLD_CONFIG_AGE);
    assert_eq!(run.added_route(), 503);
    run.gateways.restore_store();
    wait_until(|| run.added_route() == 200).expect("the configuration in use");
}

/// Guards against a gateway that takes callers by lists that are older than it knows.
#[test]
fn a_gateway_that_was_suspended_over_long_polls_is_not_ready() {
    let run = Run::start("late-lists", 1);
    run.suspend_over_polls();
    sleep(UNREADY_AGE);
    assert!(!is_ready(run.gateways.processes[0].ports.ready));
    run.gateways.restore_store();
    run.gateways.wait_until_ready(0).expect("new lists");
}

/// Guards against a 402 for tokens that a silent gateway holds, and against their loss when it goes
/// on.
#[test]
fn a_budget_that_a_suspended_gateway_holds_is_not_spent() {
    let run = Run::start("held-budgets", 2);
    wait_until(|| run.home_count() == PARTITIONS).expect("homes of all partitions");
    let [address, holder] = [0, 1].map(|gateway| run.gateways.callers(gateway));
    for number in 0..REFUSED_TURN {
        assert_eq!(turns(holder, number), [200; PROGRAMS]);
        let is_reserved = || programs().all(|program| run.slice_count(&program) > number);
        wait_until(is_reserved).expect("slices reserved ahead");
    }
    run.suspend(1);
    let statuses = turns(address, REFUSED_TURN);
    run.resume(1);
    assert!(!statuses.contains(&402), "{statuses:?}");
    let refused = programs()
        .zip(statuses)
        .filter(|(_, status)| *status == 503);
    for (program, _) in refused {
        assert_eq!(repeat_turn(address, &program), 200, "{program}");
    }
}

/// Guards against tokens that a gateway lends to a peer that has given up waiting for it.
#[test]
fn a_suspended_gateway_lends_nothing_to_a_peer_that_has_left() {
    let run = Run::start("late-loans", 2);
    run.raise_connection_limit();
    wait_until(|| run.home_count() == PARTITIONS).expect("homes of all partitions");
    let address = run.gateways.callers(0);
    run.suspend(1);
    let begun: Vec<_> = (0..BEGUN_TURNS)
        .flat_map(|number| programs().map(move |program| (program, number)))
        .map(|(program, number)| {
            thread::spawn(move || turn(address, &program, number, LARGE_BUDGET_TOKENS))
        })
        .collect();
    for caller in begun {
        assert_eq!(caller.join().expect("no panic"), 200);
    }
    run.resume(1);
    for program in programs() {
        let mut served = BEGUN_TURNS;
        while turn(address, &program, served, LARGE_BUDGET_TOKENS) == 200 {
            served += 1;
        }
        assert!(served >= LARGE_BUDGET_TURNS, "{program}: {served} turns");
    }
}

/// Guards against a turn that is unknown because the gateways that have it, or the store, are silent.
#[test]
fn a_turn_is_not_unknown_to_a_gateway_out_of_step() {
    let run = Run::start("recorded-turns", 2);
    let [address, other] = [0, 1].map(|gateway| run.gateways.callers(gateway));
    for id in ["t1", "t2"] {
        assert_eq!(chat(other, id, None), 200);
    }
    run.suspend(1);
    assert_eq!(chat(address, "t1-next", Some("t1")), 200);
    run.gateways.silence_store();
    assert_eq!(chat(address, "t2-next", Some("t2")), 503);
    run.gateways.restore_store();
    wait_until(|| chat(address, "t2-next", Some("t2")) != 503).expect("a store that responds");
    assert_eq!(chat(address, "t2-last", Some("t2")), 200);
    assert_eq!(chat(address, "t3-next", Some("t3")), 404);
}
