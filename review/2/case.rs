//! A program with turns in progress, and a configuration that moves its route to another service.

#[path = "../standins/support.rs"]
mod support;

use std::net::SocketAddr;
use std::process::exit;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use support::{
    Client, HOST, Log, Message, Runs, Store, TurnRequest, has_trouble, machine_ip, new_id,
    start_engine, start_machines,
};

/// The tokens of an event and of a turn at most: the figures of PROTOCOL.md.
const STRIDE: u64 = 16;
const TURN_TOKENS: u64 = 592;
/// The events of a turn, which uses its maximum, and the engine's time before each.
const EVENTS: usize = 37;
const EVENT_PAUSE: Duration = Duration::from_millis(30);
/// The lines of turns that run at the same time: a program and three sub-agents.
const LINES: usize = 4;
const BUDGET: u64 = 4 * TURN_TOKENS;
const STABLE_WINDOW: Duration = Duration::from_millis(3_000);
/// The turns after the first ones; a sound system refuses them long before.
const MAX_FURTHER_TURNS: usize = 30;

/// Returns a configuration whose route leads to `service`; it lists the services of its routes.
fn config(version: u64, service: &str) -> String {
    format!(
        "{{\"Version\":{version},\"Routes\":[{{\"Name\":\"draft\",\"Host\":\"{HOST}\",\
         \"PathPrefix\":\"/draft/\",\"Kind\":\"streaming\",\"Service\":\"{service}\",\
         \"TimeoutMs\":4000,\"TargetLatencyMs\":250,\"GapTargetMs\":400,\"Attempts\":2,\
         \"Priority\":1,\"Sticky\":true,\"Resumable\":true,\"KeepContext\":false,\
         \"RetainS\":60.0}}],\"Services\":[{{\"Name\":\"{service}\",\"HealthPath\":\"/healthz\",\
         \"MaxConns\":300,\"Engine\":{{\"Stride\":{STRIDE}}}}}],\"Limits\":{{\
         \"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\
         \"IdleTimeoutMs\":15000}}}}"
    )
}

/// Sends a turn and returns its status and the tokens of the events that came.
fn send_turn(front: SocketAddr, program: &str, runs: &Runs, log: &Log) -> (u16, u64) {
    let id = new_id();
    let session = new_id();
    let request = TurnRequest {
        path: "/draft/next",
        id: &id,
        program,
        session: &session,
        previous: None,
        budget: BUDGET,
        tokens: TURN_TOKENS,
        program_deadline_ms: 60_000,
        input: "the whole prompt",
    };
    let client = Client::connect(front);
    let answer = client
        .ok()
        .and_then(|mut client| client.send(&request.bytes()));
    let status = answer.as_ref().map_or(0, Message::status);
    let events = answer.as_ref().map_or(0, |answer| answer.events().len());
    let engines: Vec<String> = runs.of(&id).into_iter().map(|run| run.engine).collect();
    let tokens = events as u64 * STRIDE;
    log.say(&format!(
        "turn {id} to {front}: answered {status} (0: none), {events} events, {tokens} tokens; run \
         by {engines:?}"
    ));
    (status, tokens)
}

fn main() {
    let log = Log::create();
    let store = Store::start(machine_ip(200));
    store.put("keyed.op", "config", &config(3, "models-a"));
    let runs = Arc::new(Runs::default());
    for service in ["models-a", "models-b"] {
        for number in 1..=2 {
            let id = format!("i-{service}-{number}");
            start_engine(
                &store,
                &runs,
                machine_ip(210),
                &id,
                service,
                EVENTS,
                EVENT_PAUSE,
            );
        }
    }
    let machines = start_machines(2, &store, &log);
    thread::sleep(STABLE_WINDOW);
    let fronts = [machines[0].front, machines[1].front];
    let program = new_id();
    log.say(&format!(
        "program {program} has a budget of {BUDGET} tokens"
    ));
    let lines: Vec<_> = (0..LINES)
        .map(|line| {
            let (program, runs, log) = (program.clone(), Arc::clone(&runs), Arc::clone(&log));
            thread::spawn(move || send_turn(fronts[line % 2], &program, &runs, &log))
        })
        .collect();
    thread::sleep(Duration::from_millis(200));
    if has_trouble() {
        store.put("keyed.op", "config", &config(5, "models-b"));
        log.say("version 5 moves the route from models-a to models-b");
    }
    let mut total = 0;
    for line in lines {
        let (status, tokens) = line.join().expect("no panic");
        if status != 200 {
            log.say("a first turn was not served");
            drop(machines);
            exit(2);
        }
        total += tokens;
    }
    thread::sleep(STABLE_WINDOW);
    for number in 0..MAX_FURTHER_TURNS {
        let (status, tokens) = send_turn(fronts[number % 2], &program, &runs, &log);
        total += tokens;
        if status == 402 {
            break;
        }
    }
    let allowed = BUDGET + TURN_TOKENS;
    let is_broken = total > allowed;
    log.say(&format!(
        "{total} tokens came, of a budget of {BUDGET}; allowed: {allowed}"
    ));
    log.say(if is_broken {
        "BUDGET is broken"
    } else {
        "the rule held"
    });
    drop(machines);
    exit(i32::from(is_broken));
}
