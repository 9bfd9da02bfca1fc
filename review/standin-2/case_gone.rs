//! Many clients come at once, and some leave before the end of their streams.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::engine::EngineSettings;
use crate::http::Client;
use crate::world::{HOST, Random, World, arrivals, spans, turn_route, unique};

const BODY_BYTES: usize = 56_000;
const DEADLINE_MS: u64 = 4_000;
const EVENTS: u64 = 17;
const GAP_MS: u64 = 140;
/// The share of clients that leave, and when.
const LEAVES: f64 = 0.4;
const LEAVES_AT_S: (f64, f64) = (11.0, 17.0);
const BURST_AT_S: (f64, f64) = (10.0, 14.0);
const LENGTH_S: f64 = 20.0;

fn env(name: &str, default: f64) -> f64 {
    std::env::var(name)
        .ok()
        .and_then(|v| v.parse().ok())
        .unwrap_or(default)
}

/// A stream whose client has left.
struct Left {
    id: String,
    at: f64,
}

pub fn run(folder: &str, has_trouble: bool) -> Verdict {
    let per_s = env("PER_S", 128.0);
    let burst = env("BURST", 2.1);
    let settings = EngineSettings {
        slots: 64,
        queue: 144,
        kv_tokens: 1_049_888,
        bytes_per_token: 4,
        prefill_tokens_per_ms: 147,
        shared_tokens: 12_600,
        events: EVENTS,
        gap: Duration::from_millis(GAP_MS),
        first: Duration::from_millis(20),
    };
    let routes = turn_route("draft", "/draft/", DEADLINE_MS, false, true, 60.0);
    let mut world = World::new(folder, &routes, env("ENGINES", 5.0) as usize, 2, settings);
    if !world.start_gateways() {
        return Verdict::NotRun;
    }
    let record = Arc::clone(&world.record);
    let fronts: Vec<_> = world.gateways.iter().map(|g| g.front).collect();
    let left: Arc<Mutex<Vec<Left>>> = Arc::default();
    let answers: Arc<Mutex<BTreeMap<String, u64>>> = Arc::default();
    let active = Arc::new(AtomicU64::new(0));
    let mut random = Random(env("SEED", 1.0) as u64);
    let started_at = Instant::now();
    let (mut next_at, mut said_at) = (0.0, 0.0);
    record.say(&format!("{per_s} streams a second with bodies of {BODY_BYTES} bytes, many more at once: {has_trouble}"));
    loop {
        let now = started_at.elapsed().as_secs_f64();
        if now > LENGTH_S {
            break;
        }
        while next_at <= now {
            let in_burst = has_trouble && now >= BURST_AT_S.0 && now < BURST_AT_S.1;
            let rate = if in_burst { per_s * burst } else { per_s };
            next_at += -(1.0 - random.part()).ln() / rate;
            let leaves = now >= LEAVES_AT_S.0 && now < LEAVES_AT_S.1 && random.part() < LEAVES;
            let leave_after_ms = leaves.then(|| random.next() % 900);
            let front = fronts[random.next() as usize % fronts.len()];
            let (record, left, answers, active) = (
                Arc::clone(&record),
                Arc::clone(&left),
                Arc::clone(&answers),
                Arc::clone(&active),
            );
            let _ = thread::Builder::new()
                .stack_size(256 * 1024)
                .spawn(move || {
                    active.fetch_add(1, Ordering::Relaxed);
                    let id = format!("{:016x}", unique().wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1);
                    let outcome = stream(front, &id, leave_after_ms);
                    let at = record.seconds();
                    record.line(&format!("client of {id} at {front}: {outcome}"));
                    if outcome == "left" {
                        left.lock().expect("those who left").push(Left { id, at });
                    }
                    *answers
                        .lock()
                        .expect("the answers")
                        .entry(outcome)
                        .or_default() += 1;
                    active.fetch_sub(1, Ordering::Relaxed);
                });
        }
        if now - said_at >= 1.0 {
            said_at = now;
            record.say(&format!("{} clients", active.load(Ordering::Relaxed)));
        }
        thread::sleep(Duration::from_millis(1));
    }
    thread::sleep(Duration::from_secs(5));
    let whole = Duration::from_millis(EVENTS * GAP_MS + 20).as_secs_f64();
    let (mut long, mut at_work, mut reached_late) = (0, 0, 0);
    for Left { id, at } in left.lock().expect("those who left").iter() {
        let times = arrivals(&world.engines, id);
        let late = times.iter().filter(|time| **time > at + 0.5).count();
        reached_late += usize::from(late > 0);
        let Some(first) = times.iter().copied().reduce(f64::min) else {
            continue;
        };
        if first > *at || first + whole < at + 0.5 {
            continue;
        }
        long += 1;
        let runs = spans(&world.engines, id);
        // An engine that has not begun, or has ended before, is not at work.
        let is_at_work = runs
            .iter()
            .any(|(began, ended)| *began <= at + 0.5 && *ended > at + 0.5);
        at_work += usize::from(is_at_work);
        record.line(&format!(
            "{id}: its client left at {at:.3}; its runs were {runs:.3?}"
        ));
    }
    record.say(&format!(
        "answers: {:?}",
        answers.lock().expect("the answers")
    ));
    record.say(&format!(
        "{long} streams whose clients left would have lasted; engines were at work on {at_work} of them half a second later; \
         {reached_late} reached an engine over half a second later"
    ));
    if at_work * 4 > long || reached_late > 3 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// Sends a stream and reads it, or leaves after some time.
fn stream(front: std::net::SocketAddr, id: &str, leave_after_ms: Option<u64>) -> String {
    let Ok(mut client) = Client::open(front, Duration::from_millis(DEADLINE_MS + 500)) else {
        return "not connected".to_owned();
    };
    let headers = [
        ("Host", HOST.to_owned()),
        ("Request-Id", id.to_owned()),
        ("Model", "m".to_owned()),
        ("Token-Usage", format!("{},255", BODY_BYTES / 4)),
        (
            "Prompt-Prefix",
            format!("5c1e07a2:12600,{id}:{}", BODY_BYTES / 4 - 12_600),
        ),
        ("Deadline-Ms", DEADLINE_MS.to_string()),
    ];
    let mut body = vec![b'x'; BODY_BYTES];
    body[..id.len()].copy_from_slice(id.as_bytes());
    if client.send("POST", "/draft/2f", &headers, &body).is_err() {
        return "not sent".to_owned();
    }
    if let Some(ms) = leave_after_ms {
        thread::sleep(Duration::from_millis(ms));
        return "left".to_owned();
    }
    match client.read_head() {
        Ok(head) => match client.read_body(&head) {
            Ok(_) => head.status.to_string(),
            Err(_) => format!("{} broken off", head.status),
        },
        Err(_) => "no answer".to_owned(),
    }
}
