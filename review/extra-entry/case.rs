//! An engine that leaves, and an entry of another writer that lacks fields.

#[path = "../standins/support.rs"]
mod support;

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::process::exit;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use support::{
    Client, Engine, HOST, Log, Message, Store, has_trouble, machine_ip, new_id, serve_until,
    start_machines,
};

const SERVICE: &str = "limit-api";
const ENGINES: usize = 3;
const CLIENTS: usize = 24;
/// How long an engine works on a request: the most of the site's notices.
const WORK: Duration = Duration::from_millis(600);
const HEARTBEAT: Duration = Duration::from_millis(1_200);
const DRAIN: Duration = Duration::from_millis(2_000);
const STABLE_WINDOW: Duration = Duration::from_millis(3_000);
/// When the first engine reports that it is leaving, when the entry of another writer comes, and
/// when the engine exits, the latter two after its report was accepted.
const LEAVE_AT: Duration = Duration::from_secs(3);
const FOREIGN_AFTER: Duration = Duration::from_millis(2_500);
const EXIT_AFTER: Duration = Duration::from_millis(3_000);
const TRAFFIC: Duration = Duration::from_secs(10);

fn config() -> String {
    format!(
        "{{\"Version\":3,\"Routes\":[{{\"Name\":\"notice\",\"Host\":\"{HOST}\",\
         \"PathPrefix\":\"/notice/\",\"Kind\":\"non_idempotent\",\"Service\":\"{SERVICE}\",\
         \"TimeoutMs\":3000,\"TargetLatencyMs\":1000,\"Attempts\":1,\"Priority\":2}}],\
         \"Services\":[{{\"Name\":\"{SERVICE}\",\"HealthPath\":\"/healthz\",\"MaxConns\":100}}],\
         \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\
         \"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}}}"
    )
}

/// An engine that writes its entry at every heartbeat.
#[derive(Clone)]
struct PlainEngine {
    engine: Engine,
    state: Arc<Mutex<&'static str>>,
    has_ended: Arc<AtomicBool>,
}

/// The requests that reached engines: when, by request, with the engine.
type Arrivals = Arc<Mutex<BTreeMap<String, (String, Instant)>>>;

impl PlainEngine {
    fn start(number: usize, arrivals: &Arrivals) -> Self {
        let listener = TcpListener::bind((machine_ip(210), 0)).expect("a free port");
        let engine = Engine {
            id: format!("i-{number}"),
            service: SERVICE.to_owned(),
            address: listener.local_addr().expect("an address"),
            events: 0,
            pause: WORK,
        };
        let (own, arrivals) = (engine.clone(), Arc::clone(arrivals));
        let has_ended = Arc::new(AtomicBool::new(false));
        serve_until(listener, Arc::clone(&has_ended), move |request, stream| {
            if let Some(answer) = own.answer_without_run(request) {
                return stream.write_all(&answer).is_ok();
            }
            let id = request.header("request-id").to_owned();
            let arrival = (own.id.clone(), Instant::now());
            arrivals.lock().expect("no panic").insert(id, arrival);
            own.write_answer(request, stream)
        });
        Self {
            engine,
            state: Arc::new(Mutex::new("ready")),
            has_ended,
        }
    }

    fn write_entry(&self, store: &Store, seq: u64) {
        let state = *self.state.lock().expect("no panic");
        let entry = self
            .engine
            .entry(state)
            .replace("\"Seq\":1", &format!("\"Seq\":{seq}"));
        store.put("keyed.servers", &self.engine.id, &entry);
    }

    fn beat(self, store: Arc<Store>) {
        thread::spawn(move || {
            let mut seq = 1;
            while !self.has_ended.load(Ordering::Relaxed) {
                self.write_entry(&store, seq);
                seq += 1;
                thread::sleep(HEARTBEAT);
            }
        });
    }
}

/// Sends requests on an open connection until `end`; returns the number of those that an engine had
/// got and that were answered with an error or not at all.
fn send_requests(front: SocketAddr, end: Instant, arrivals: &Arrivals, log: &Log) -> (u64, u64) {
    let (mut sent, mut lost) = (0, 0);
    let mut client = None;
    while Instant::now() < end {
        if client.is_none() {
            client = Client::connect(front).ok();
        }
        let id = new_id();
        let request = format!(
            "POST /notice/buyer HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\n\
             Deadline-Ms: 3000\r\nContent-Length: 6\r\n\r\nnotice"
        );
        sent += 1;
        let answer = client
            .as_mut()
            .and_then(|client| client.send(request.as_bytes()));
        let status = answer.as_ref().map_or(0, Message::status);
        if answer.is_none_or(|answer| answer.header("connection") == "close") {
            client = None;
        }
        let arrival = arrivals.lock().expect("no panic").get(&id).cloned();
        let engine = arrival.map_or("no engine".to_owned(), |(engine, _)| engine);
        if status != 200 {
            lost += u64::from(engine != "no engine");
            log.line(&format!(
                "request {id}: reached {engine}, answered {status} (0: none)"
            ));
        }
    }
    (sent, lost)
}

fn main() {
    let log = Log::create();
    let store = Store::start(machine_ip(200));
    store.put("keyed.op", "config", &config());
    let arrivals = Arrivals::default();
    let engines: Vec<PlainEngine> = (1..=ENGINES)
        .map(|number| PlainEngine::start(number, &arrivals))
        .collect();
    for engine in &engines {
        engine.clone().beat(Arc::clone(&store));
    }
    let machines = start_machines(2, &store, &log);
    thread::sleep(STABLE_WINDOW);
    let end = Instant::now() + TRAFFIC;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let front = machines[number % 2].front;
            let (arrivals, log) = (Arc::clone(&arrivals), Arc::clone(&log));
            thread::spawn(move || {
                // Clients don't act in step.
                thread::sleep(WORK * number as u32 / CLIENTS as u32);
                send_requests(front, end, &arrivals, &log)
            })
        })
        .collect();
    thread::sleep(LEAVE_AT);
    let leaving = &engines[0];
    *leaving.state.lock().expect("no panic") = "draining";
    leaving.write_entry(&store, 1_000);
    let accepted_at = Instant::now();
    log.say("the store has accepted that i-1 is draining");
    thread::sleep(FOREIGN_AFTER);
    if has_trouble() {
        let address = leaving.engine.address;
        let entry = format!(
            "{{\"Service\":\"{SERVICE}\",\"Address\":\"{address}\",\"Version\":\"v1\",\
             \"State\":\"ready\"}}"
        );
        store.put("keyed.servers", "i-1", &entry);
        log.say(&format!("another writer writes under servers/i-1: {entry}"));
    }
    thread::sleep(EXIT_AFTER.saturating_sub(accepted_at.elapsed()));
    leaving.has_ended.store(true, Ordering::Relaxed);
    store.put("keyed.servers", "i-1", "");
    log.say("i-1 has left, and its entry is removed");
    let results: Vec<_> = clients
        .into_iter()
        .filter_map(|client| client.join().ok())
        .collect();
    let sent: u64 = results.iter().map(|(sent, _)| sent).sum();
    let lost: u64 = results.iter().map(|(_, lost)| lost).sum();
    let arrivals = arrivals.lock().expect("no panic");
    let late: Vec<_> = arrivals
        .iter()
        .filter(|(_, (engine, at))| engine == "i-1" && *at > accepted_at + DRAIN)
        .collect();
    for (id, (_, at)) in &late {
        let after = at.duration_since(accepted_at).as_millis();
        log.line(&format!(
            "request {id} reached i-1 {after} ms after its report was accepted"
        ));
    }
    let is_broken = !late.is_empty();
    log.say(&format!(
        "{sent} requests; {} reached i-1 later than DrainMs; {lost} that an engine had got were not \
         answered by it",
        late.len()
    ));
    log.say(if is_broken {
        "DRAIN is broken"
    } else {
        "the rule held"
    });
    drop(machines);
    exit(i32::from(is_broken));
}
