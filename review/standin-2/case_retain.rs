//! A chain of turns over two routes that keep turns for different times, and gateways that are restarted
//! in turn.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::caller::{Caller, Outcome, Turn};
use crate::engine::EngineSettings;
use crate::record::Record;
use crate::world::{Random, World, arrival, turn_route, unique};

const PROGRAMS: usize = 400;
/// How long the route of a program's first turn keeps turns, and that of its later ones, in seconds.
const FIRST_RETAIN_S: f64 = 5.0;
const LATER_RETAIN_S: f64 = 60.0;
/// When the gateways are restarted, and when the programs go on, in seconds after the first turns.
const RESTART_AT_S: f64 = 38.0;
const CONTINUE_AT_S: f64 = 58.0;
const TRIES: usize = 6;

#[derive(Clone)]
struct Program {
    program: String,
    session: String,
    second: Option<String>,
    second_at: f64,
}

fn turn<'a>(
    path: &'a str,
    id: &'a str,
    p: &'a Program,
    previous: Option<&'a str>,
    body: &'a [u8],
) -> Turn<'a> {
    Turn {
        path,
        id,
        program: &p.program,
        session: &p.session,
        previous,
        budget: 20_000,
        prompt_tokens: body.len() as u64 / 4,
        most_tokens: 75,
        deadline_ms: 4_000,
        body,
    }
}

fn new_id() -> String {
    format!("{:016x}", unique().wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
}

/// Runs `work` for each item on a few threads, spread over some time.
fn spread<T: Send + 'static>(
    items: Vec<T>,
    over: Duration,
    work: impl Fn(T) + Send + Sync + 'static,
) {
    let work = Arc::new(work);
    let count = items.len().max(1) as u32;
    let threads: Vec<_> = items
        .into_iter()
        .enumerate()
        .map(|(number, item)| {
            let work = Arc::clone(&work);
            thread::Builder::new()
                .stack_size(256 * 1024)
                .spawn(move || {
                    thread::sleep(over * number as u32 / count);
                    work(item);
                })
                .expect("a thread")
        })
        .collect();
    for thread in threads {
        let _ = thread.join();
    }
}

pub fn run(folder: &str, has_trouble: bool) -> Verdict {
    let settings = EngineSettings {
        slots: 16,
        queue: 48,
        kv_tokens: 484_712,
        bytes_per_token: 4,
        prefill_tokens_per_ms: 205,
        shared_tokens: 0,
        events: 5,
        gap: Duration::from_millis(20),
        first: Duration::from_millis(10),
    };
    let routes = [
        turn_route("brief", "/brief/", 4_000, true, false, FIRST_RETAIN_S),
        turn_route("talk", "/talk/", 4_000, true, false, LATER_RETAIN_S),
    ];
    let mut world = World::new(folder, &routes.join(","), 14, 2, settings);
    if !world.start_gateways() {
        return Verdict::NotRun;
    }
    let record: Arc<Record> = Arc::clone(&world.record);
    let fronts: Vec<_> = world.gateways.iter().map(|g| g.front).collect();
    let started_at = Instant::now();
    let at = move |seconds: f64| {
        let until = started_at + Duration::from_secs_f64(seconds);
        thread::sleep(until.saturating_duration_since(Instant::now()));
    };
    let programs: Vec<Program> = (0..PROGRAMS)
        .map(|_| Program {
            program: format!("{:06x}", unique()),
            session: format!("5e{:08x}", unique()),
            second: None,
            second_at: 0.0,
        })
        .collect();
    record.say(&format!(
        "{PROGRAMS} programs: a turn on a route with RetainS {FIRST_RETAIN_S}, then one on a route with RetainS {LATER_RETAIN_S}"
    ));
    let done: Arc<Mutex<Vec<Program>>> = Arc::default();
    let (into, log, to) = (Arc::clone(&done), Arc::clone(&record), fronts.clone());
    spread(programs, Duration::from_secs(2), move |mut p| {
        let mut random = Random(p.program.bytes().fold(7, |a, b| a * 31 + u64::from(b)));
        let front = to[random.next() as usize % to.len()];
        let mut caller = Caller::default();
        let (first, second) = (new_id(), new_id());
        let sent = caller.send(
            front,
            &turn(
                "/brief/1",
                &first,
                &p,
                None,
                b"first input of this program\n",
            ),
        );
        log.line(&format!(
            "program {}: turn 1 {first} on /brief/: {:?}",
            p.program, sent.outcome
        ));
        if sent.outcome != Outcome::Answered(200) {
            return;
        }
        let sent = caller.send(
            front,
            &turn("/talk/2", &second, &p, Some(&first), b"second input\n"),
        );
        log.line(&format!(
            "program {}: turn 2 {second} on /talk/: {:?}",
            p.program, sent.outcome
        ));
        if sent.outcome == Outcome::Answered(200) {
            p.second = Some(second);
            p.second_at = log.seconds();
            into.lock().expect("the programs").push(p);
        }
    });
    let programs = done.lock().expect("the programs").clone();
    record.say(&format!("{} programs have two whole turns", programs.len()));
    at(RESTART_AT_S);
    if has_trouble {
        for gateway in &mut world.gateways {
            record.say(&format!("{} is stopped with SIGTERM", gateway.name));
            gateway.signal("TERM");
            let until = Instant::now() + Duration::from_secs(8);
            while !gateway.has_ended() && Instant::now() < until {
                thread::sleep(Duration::from_millis(20));
            }
            gateway.kill();
            thread::sleep(Duration::from_millis(300));
            gateway.start();
            record.say(&format!("{} is started again", gateway.name));
        }
    }
    at(CONTINUE_AT_S);
    let ready = world.gateways.iter().filter(|g| g.is_ready()).count();
    record.say(&format!(
        "{ready} gateways are ready; the programs go on from their second turns"
    ));
    let (log, to, engines) = (Arc::clone(&record), fronts.clone(), world.engines.clone());
    let lost = Arc::new(AtomicU64::new(0));
    let unknown = Arc::new(AtomicU64::new(0));
    let first_turns = Arc::new((AtomicU64::new(0), AtomicU64::new(0)));
    let answers: Arc<Mutex<BTreeMap<String, u64>>> = Arc::default();
    let (lost_in, unknown_in, first_in, answers_in) = (
        Arc::clone(&lost),
        Arc::clone(&unknown),
        Arc::clone(&first_turns),
        Arc::clone(&answers),
    );
    spread(programs.clone(), Duration::from_secs(2), move |p| {
        let mut random = Random(p.program.bytes().fold(11, |a, b| a * 31 + u64::from(b)));
        let mut caller = Caller::default();
        let previous = p.second.as_deref();
        let mut reached = false;
        for number in 0..TRIES {
            let front = to[random.next() as usize % to.len()];
            let id = new_id();
            let sent = caller.send(front, &turn("/talk/3", &id, &p, previous, b"third input\n"));
            let age = log.seconds() - p.second_at;
            reached = arrival(&engines, &id).is_some();
            log.line(&format!(
                "program {}: try {number} of turn 3 {id}, {age:.1} s after the end of turn 2: {:?}, at an engine {reached}",
                p.program, sent.outcome
            ));
            if sent.outcome == Outcome::Answered(404) || sent.outcome == Outcome::Answered(410) {
                unknown_in.fetch_add(1, Ordering::Relaxed);
            }
            *answers_in
                .lock()
                .expect("the answers")
                .entry(format!("{:?}", sent.outcome))
                .or_default() += 1;
            if reached {
                break;
            }
            caller.leave();
            thread::sleep(Duration::from_secs_f64(0.1 + 0.3 * random.part()));
        }
        if !reached {
            lost_in.fetch_add(1, Ordering::Relaxed);
        }
        let other = Program {
            program: format!("{:06x}", unique()),
            session: format!("5e{:08x}", unique()),
            ..p
        };
        let id = new_id();
        let front = to[random.next() as usize % to.len()];
        Caller::default().send(
            front,
            &turn("/talk/1", &id, &other, None, b"a first input\n"),
        );
        first_in.0.fetch_add(1, Ordering::Relaxed);
        first_in.1.fetch_add(
            u64::from(arrival(&engines, &id).is_some()),
            Ordering::Relaxed,
        );
    });
    let lost = lost.load(Ordering::Relaxed);
    let unknown = unknown.load(Ordering::Relaxed);
    record.say(&format!(
        "answers to third turns: {:?}",
        answers.lock().expect("the answers")
    ));
    record.say(&format!(
        "{lost} of {} turns reached no engine in {TRIES} tries, {unknown} answers 404 or 410; {} of {} first turns reached one",
        programs.len(),
        first_turns.1.load(Ordering::Relaxed),
        first_turns.0.load(Ordering::Relaxed)
    ));
    if lost > 0 || unknown > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
