//! Programs under way whose budgets are far from spent, and a rolling restart of the gateways.

#[path = "../standins/support.rs"]
mod support;

use std::collections::BTreeMap;
use std::process::exit;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use support::{
    Client, HOST, Log, Machine, Message, Runs, SIGTERM, Store, TurnRequest, has_trouble,
    machine_ip, new_id, start_engine, start_machines,
};

const GATEWAYS: u8 = 3;
const PROGRAMS: usize = 60;
/// The tokens of an event, of a turn at most, and of a program: the figures of PROTOCOL.md.
const STRIDE: u64 = 16;
const TURN_TOKENS: u64 = 592;
const BUDGET: u64 = 4_736;
/// The events of a turn: the mean of the site, 43 % of the most.
const EVENTS: usize = 16;
const EVENT_PAUSE: Duration = Duration::from_millis(10);
const TOOL_PAUSE: Duration = Duration::from_millis(1_500);
const STABLE_WINDOW: Duration = Duration::from_millis(3_000);
const GRACE: Duration = Duration::from_secs(8);
/// When the restarts begin, and the pause between two of them.
const ROLL_AT: Duration = Duration::from_secs(6);
const ROLL_GAP: Duration = Duration::from_millis(2_000);
/// When programs begin no further turns.
const END: Duration = Duration::from_secs(80);
/// How often a turn may fail before its program ends.
const MAX_FAILURES: u32 = 6;

fn config() -> String {
    format!(
        "{{\"Version\":3,\"Routes\":[{{\"Name\":\"draft\",\"Host\":\"{HOST}\",\
         \"PathPrefix\":\"/draft/\",\"Kind\":\"streaming\",\"Service\":\"models\",\
         \"TimeoutMs\":4000,\"TargetLatencyMs\":250,\"GapTargetMs\":400,\"Attempts\":2,\
         \"Priority\":1,\"Sticky\":true,\"Resumable\":true,\"KeepContext\":false,\
         \"RetainS\":60.0}}],\"Services\":[{{\"Name\":\"models\",\"HealthPath\":\"/healthz\",\
         \"MaxConns\":300,\"Engine\":{{\"Stride\":{STRIDE}}}}}],\"Limits\":{{\
         \"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\
         \"IdleTimeoutMs\":15000}}}}"
    )
}

/// A machine as programs see it.
#[derive(Clone)]
struct Target {
    name: String,
    front: std::net::SocketAddr,
    /// When it last got a signal or was started.
    disturbed_at: Arc<Mutex<Option<Instant>>>,
}

impl Target {
    fn disturb(&self) {
        *self.disturbed_at.lock().expect("no panic") = Some(Instant::now());
    }

    fn is_in_touch(&self) -> bool {
        let at = *self.disturbed_at.lock().expect("no panic");
        at.is_none_or(|at| at.elapsed() >= STABLE_WINDOW)
    }
}

/// How a program ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum End {
    /// Its budget did not hold one more turn.
    Spent,
    /// A machine in touch answered 402 although the budget held one more turn.
    Denied,
    /// The same by a machine that was not in touch.
    DeniedOutOfTouch,
    /// A turn failed too often.
    Failed,
    /// It did not end in time.
    Open,
}

struct Program {
    number: usize,
    id: String,
    targets: Vec<Target>,
    log: Arc<Log>,
    requests: u64,
    /// The tokens of all events that came, also of turns that did not end whole.
    received: u64,
    /// What turns that did not end whole may have used besides.
    uncertain: u64,
}

impl Program {
    /// Whether the budget holds one more turn, all that is uncertain counted at its most.
    fn holds_one_more(&self) -> bool {
        self.received + self.uncertain + TURN_TOKENS <= BUDGET
    }

    fn run(&mut self, end_at: Instant) -> End {
        let mut at = self.number % self.targets.len();
        let mut client: Option<Client> = None;
        let mut failures = 0;
        while self.holds_one_more() {
            if Instant::now() >= end_at {
                return End::Open;
            }
            thread::sleep(TOOL_PAUSE);
            if client.is_none() {
                // Retries reach other machines.
                at = (at + 1) % self.targets.len();
                client = Client::connect(self.targets[at].front).ok();
            }
            let target = self.targets[at].clone();
            let id = new_id();
            let request = TurnRequest {
                path: "/draft/next",
                id: &id,
                program: &self.id,
                previous: None,
                budget: BUDGET,
                tokens: TURN_TOKENS,
                program_deadline_ms: 90_000,
                input: "the whole prompt",
                ..TurnRequest::default()
            };
            self.requests += u64::from(client.is_some());
            let answer = client
                .as_mut()
                .and_then(|client| client.send(&request.bytes()));
            let status = answer.as_ref().map_or(0, Message::status);
            let is_whole = answer.as_ref().is_some_and(|answer| answer.is_complete);
            let events = answer.as_ref().map_or(0, |answer| answer.events().len());
            let tokens = events as u64 * STRIDE;
            let holds_one_more = self.holds_one_more();
            self.received += tokens;
            let is_in_touch = target.is_in_touch();
            self.log.line(&format!(
                "program {} to {} (in touch {is_in_touch}), request {id}: answered {status} (0: \
                 none), whole {is_whole}, {events} events; {} of {BUDGET} tokens in all, {} \
                 uncertain",
                self.number, target.name, self.received, self.uncertain
            ));
            if !is_whole || answer.is_none_or(|answer| answer.header("connection") == "close") {
                client = None;
            }
            match status {
                200 if is_whole => failures = 0,
                402 if holds_one_more && is_in_touch => return End::Denied,
                402 if holds_one_more => return End::DeniedOutOfTouch,
                402 => return End::Spent,
                // Not run.
                503 => failures += 1,
                _ => {
                    self.uncertain += TURN_TOKENS - tokens;
                    failures += 1;
                }
            }
            if failures == MAX_FAILURES {
                return End::Failed;
            }
        }
        End::Spent
    }
}

/// Stops the machines and starts them again, one after the other.
fn restart_all(machines: &mut [Machine], targets: &[Target], store: &Store, log: &Log) {
    let seeds: Vec<_> = machines.iter().map(|machine| machine.control).collect();
    for (machine, target) in machines.iter_mut().zip(targets) {
        log.say(&format!("SIGTERM to {}", machine.name));
        target.disturb();
        machine.signal(SIGTERM);
        if !machine.wait_until_ended(GRACE) {
            log.say(&format!(
                "{} has not ended within GraceS, and is killed",
                machine.name
            ));
            machine.kill();
        }
        machine.start(store.address, &seeds);
        target.disturb();
        if !machine.wait_until_ready() {
            log.say(&format!("{} did not become ready", machine.name));
        }
        log.say(&format!("{} has started again", machine.name));
        thread::sleep(ROLL_GAP);
    }
}

fn main() {
    let log = Log::create();
    let store = Store::start(machine_ip(200));
    store.put("keyed.op", "config", &config());
    let runs = Arc::new(Runs::default());
    for number in 1..=3 {
        let id = format!("i-{number}");
        start_engine(
            &store,
            &runs,
            machine_ip(210),
            &id,
            "models",
            EVENTS,
            EVENT_PAUSE,
        );
    }
    let mut machines = start_machines(GATEWAYS, &store, &log);
    thread::sleep(STABLE_WINDOW);
    let targets: Vec<Target> = machines
        .iter()
        .map(|machine| Target {
            name: machine.name.clone(),
            front: machine.front,
            disturbed_at: Arc::default(),
        })
        .collect();
    let end_at = Instant::now() + END;
    let programs: Vec<_> = (0..PROGRAMS)
        .map(|number| {
            let mut program = Program {
                number,
                id: new_id(),
                targets: targets.clone(),
                log: Arc::clone(&log),
                requests: 0,
                received: 0,
                uncertain: 0,
            };
            thread::spawn(move || {
                let end = program.run(end_at);
                (end, program)
            })
        })
        .collect();
    thread::sleep(ROLL_AT);
    if has_trouble() {
        restart_all(&mut machines, &targets, &store, &log);
    }
    let mut ends: BTreeMap<End, Vec<u64>> = BTreeMap::new();
    let mut requests = 0;
    for program in programs {
        let Ok((end, program)) = program.join() else {
            continue;
        };
        requests += program.requests;
        ends.entry(end).or_default().push(program.received);
    }
    for (end, received) in &ends {
        let least = received.iter().min().unwrap_or(&0);
        let most = received.iter().max().unwrap_or(&0);
        let count = received.len();
        log.say(&format!(
            "{end:?}: {count} programs, with {least} to {most} of {BUDGET} tokens"
        ));
    }
    let denied = ends.get(&End::Denied).map_or(0, Vec::len) as u64;
    let allowed = 5 + requests / 500;
    let is_broken = denied > allowed;
    log.say(&format!(
        "requests: {requests}; denied: {denied}; allowed: {allowed}"
    ));
    log.say(&format!(
        "calls that the store refused for their rate: {}",
        store.refused()
    ));
    log.say(if is_broken {
        "DENIED is broken"
    } else {
        "the rule held"
    });
    drop(machines);
    exit(i32::from(is_broken));
}
