//! Users with long documents come at once; the memory of a gateway is watched as the platform does.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::caller::{Caller, Outcome, Turn};
use crate::engine::{Engine, EngineSettings};
use crate::gateway::is_ready;
use crate::record::Record;
use crate::world::{Random, World, arrival, turn_route, unique};

const MEMORY_LIMIT: u64 = 120 * 1_048_576;
const BYTES_PER_TOKEN: u64 = 4;
/// When many more users come, and within which time.
const BURST_AT_S: f64 = 18.0;
const BURST_S: f64 = 4.0;
const DEADLINE_MS: u64 = 8_000;

fn env(name: &str, default: f64) -> f64 {
    std::env::var(name)
        .ok()
        .and_then(|v| v.parse().ok())
        .unwrap_or(default)
}

struct Shared {
    record: Arc<Record>,
    engines: Vec<Arc<Engine>>,
    fronts: Vec<(SocketAddr, SocketAddr)>,
    ready: Vec<AtomicBool>,
    outcomes: Mutex<BTreeMap<String, u64>>,
    /// Requests from kept connections that were passed on and got no answer.
    lost: AtomicU64,
    active: AtomicU64,
}

impl Shared {
    /// Returns the gateway that takes a new connection.
    fn choose(&self, random: &mut Random) -> usize {
        let ready: Vec<usize> = (0..self.ready.len())
            .filter(|n| self.ready[*n].load(Ordering::Relaxed))
            .collect();
        let of = if ready.is_empty() {
            (0..self.ready.len()).collect()
        } else {
            ready
        };
        of[random.next() as usize % of.len()]
    }

    fn count(&self, outcome: &Outcome) {
        let mut outcomes = self.outcomes.lock().expect("the outcomes");
        *outcomes.entry(format!("{outcome:?}")).or_default() += 1;
    }
}

/// One conversation: a document, then questions about it.
fn converse(
    shared: &Shared,
    mut random: Random,
    document_bytes: usize,
    turns: u64,
    until: Instant,
) {
    let program = format!("{:06x}", unique());
    let session = format!("5e{:08x}", unique());
    let mut caller = Caller::default();
    let mut gateway = shared.choose(&mut random);
    let mut previous: Option<String> = None;
    let mut history = 0;
    for number in 0..turns {
        if Instant::now() >= until {
            return;
        }
        let bytes = if number == 0 { document_bytes } else { 800 };
        let body = vec![b'a' + (number % 26) as u8; bytes];
        let mut is_done = false;
        for attempt in 0..4 {
            if attempt > 0 {
                let pause =
                    caller.retry_after_s.unwrap_or(0.0).min(2.0) + 0.1 + 0.3 * random.part();
                thread::sleep(Duration::from_secs_f64(pause));
                caller.leave();
                gateway = shared.choose(&mut random);
            }
            let id = format!("{:016x}", unique() | 0x9c41_0000_0000_0000);
            let tokens = (history + bytes) as u64 / BYTES_PER_TOKEN;
            let turn = Turn {
                path: "/talk/2f",
                id: &id,
                program: &program,
                session: &session,
                previous: previous.as_deref(),
                budget: 100_000,
                prompt_tokens: tokens,
                most_tokens: 585,
                deadline_ms: DEADLINE_MS,
                body: &body,
            };
            shared.record.line(&format!(
                "caller sends turn {number} of {program} as {id} to gateway {}",
                gateway + 1
            ));
            let sent = caller.send(shared.fronts[gateway].0, &turn);
            shared.record.line(&format!(
                "caller has for {id}: {:?}, kept connection {}",
                sent.outcome, sent.was_kept
            ));
            shared.count(&sent.outcome);
            let passed_on = || arrival(&shared.engines, &id).is_some();
            if sent.outcome == Outcome::Unanswered && sent.was_kept && passed_on() {
                shared.lost.fetch_add(1, Ordering::Relaxed);
                shared.record.line(&format!("LOST: {id} was passed on from a kept connection, and that was closed without an answer"));
            }
            if sent.outcome == Outcome::Answered(200) {
                previous = Some(id);
                history += bytes + 12 * 30;
                is_done = true;
                break;
            }
        }
        if !is_done {
            return;
        }
        thread::sleep(Duration::from_secs_f64(0.5 + random.part()));
    }
}

pub fn run(folder: &str, has_trouble: bool) -> Verdict {
    let users = env("USERS", 120.0);
    let burst = env("BURST", 2.3);
    let document_bytes = env("DOCUMENT", 400_000.0) as usize;
    let settings = EngineSettings {
        slots: 16,
        queue: 48,
        kv_tokens: 484_712,
        bytes_per_token: BYTES_PER_TOKEN,
        prefill_tokens_per_ms: 205,
        shared_tokens: 0,
        events: 12,
        gap: Duration::from_millis(30),
        first: Duration::from_millis(20),
    };
    let routes = turn_route("talk", "/talk/", DEADLINE_MS, true, false, 60.0);
    let mut world = World::new(folder, &routes, env("ENGINES", 14.0) as usize, 2, settings);
    if !world.start_gateways() {
        return Verdict::NotRun;
    }
    let shared = Arc::new(Shared {
        record: Arc::clone(&world.record),
        engines: world.engines.clone(),
        fronts: world.gateways.iter().map(|g| (g.front, g.ready)).collect(),
        ready: world
            .gateways
            .iter()
            .map(|_| AtomicBool::new(true))
            .collect(),
        outcomes: Mutex::default(),
        lost: AtomicU64::new(0),
        active: AtomicU64::new(0),
    });
    let balancer = Arc::clone(&shared);
    thread::spawn(move || {
        loop {
            for (number, (_, ready)) in balancer.fronts.iter().enumerate() {
                balancer.ready[number].store(is_ready(*ready), Ordering::Relaxed);
            }
            thread::sleep(Duration::from_secs(1));
        }
    });
    let record = Arc::clone(&world.record);
    record.say(&format!(
        "{users} users with documents of {document_bytes} bytes, many more at once: {has_trouble}"
    ));
    let mut random = Random(env("SEED", 1.0) as u64);
    let started_at = Instant::now();
    let length = env("LENGTH", 45.0);
    let until = started_at + Duration::from_secs_f64(length - 8.0);
    let mut starts: Vec<(f64, u64)> = (0..users as u64)
        .map(|_| (8.0 * random.part(), 1_000))
        .collect();
    if has_trouble {
        let more = (users * (burst - 1.0)) as u64;
        starts.extend((0..more).map(|_| (BURST_AT_S + BURST_S * random.part(), 7)));
    }
    starts.sort_by(|a, b| b.0.total_cmp(&a.0));
    let mut restart_at: Vec<Option<Instant>> = vec![None; world.gateways.len()];
    let mut peaks = vec![0; world.gateways.len()];
    let mut over = 0;
    let mut said_at = 0.0;
    loop {
        let now = started_at.elapsed().as_secs_f64();
        if now > length {
            break;
        }
        while starts.last().is_some_and(|(at, _)| *at <= now) {
            let turns = starts.pop().map_or(0, |(_, turns)| turns);
            let (shared, seed) = (Arc::clone(&shared), random.next());
            let _ = thread::Builder::new()
                .stack_size(256 * 1024)
                .spawn(move || {
                    shared.active.fetch_add(1, Ordering::Relaxed);
                    converse(&shared, Random(seed), document_bytes, turns, until);
                    shared.active.fetch_sub(1, Ordering::Relaxed);
                });
        }
        for (number, gateway) in world.gateways.iter_mut().enumerate() {
            if let Some(memory) = gateway.memory() {
                peaks[number] = memory.max(peaks[number]);
                if memory > MEMORY_LIMIT {
                    record.say(&format!(
                        "{} holds {} MB, more than MemoryMb: the platform kills it",
                        gateway.name,
                        memory / 1_048_576
                    ));
                    gateway.kill();
                    gateway.ends += 1;
                    over += 1;
                    restart_at[number] = Some(Instant::now() + Duration::from_millis(500));
                }
            }
            if gateway.has_ended() {
                record.say(&format!("{} has ended by itself", gateway.name));
                gateway.kill();
                gateway.ends += 1;
                restart_at[number] = Some(Instant::now() + Duration::from_millis(500));
            }
            if restart_at[number].is_some_and(|at| Instant::now() >= at) {
                restart_at[number] = None;
                gateway.start();
            }
        }
        if now - said_at >= 1.0 {
            said_at = now;
            let memory: Vec<String> = world
                .gateways
                .iter()
                .map(|g| (g.memory().unwrap_or(0) / 1_048_576).to_string())
                .collect();
            record.say(&format!(
                "memory {} MB, {} conversations",
                memory.join(" and "),
                shared.active.load(Ordering::Relaxed)
            ));
        }
        thread::sleep(Duration::from_millis(20));
    }
    let outcomes = shared.outcomes.lock().expect("the outcomes").clone();
    record.say(&format!("answers: {outcomes:?}"));
    let peaks: Vec<u64> = peaks.iter().map(|p| p / 1_048_576).collect();
    let lost = shared.lost.load(Ordering::Relaxed);
    record.say(&format!(
        "peaks {peaks:?} MB; {over} ends over the limit; {lost} requests lost from kept connections"
    ));
    if lost > 3 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
