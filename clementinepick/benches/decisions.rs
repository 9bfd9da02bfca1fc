//! The cost of one choice of a backend server and of one passage of the gate, over the count of
//! backend servers and of calls that wait. Prints nanoseconds, and the slope over the whole range.
//!
//! Times are for reading; what is held to a bound is the count of backend servers looked at, in
//! `tests/backends.rs`.

use std::collections::BTreeSet;
use std::hint::black_box;
use std::time::Instant;

use clementinepick::admission_queue::{AdmissionQueue, AdmissionSettings, QueuedCall};
use clementinepick::ids::{AttemptId, ServiceName, VmId};
use clementinepick::platform::CacheEvent;
use clementinepick::prompt::{ChainHash, Prompt, Segment};
use clementinepick::route::{RouteQuery, RouteSettings, Router};
use clementinepick::units::{SpanUs, TimeUs, Tokens};

/// Backend servers of the smallest and the largest deployment, and between.
const SERVERS: [u64; 4] = [12, 100, 1_000, 10_000];
/// Calls that wait at one gate.
const WAITING: [u64; 4] = [12, 100, 1_000, 10_000];
/// Decisions of one measurement.
const ROUNDS: u64 = 20_000;
/// Segments of a prompt: a conversation of some twenty turns.
const SEGMENTS: u64 = 40;

fn name<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("a name")
}

fn prompt(program: u64) -> Prompt {
    let segment = |n: u64| Segment {
        chain: ChainHash(if n == 0 { 1 } else { program * 1_000 + n }),
        length_tokens: Tokens(400),
    };
    Prompt {
        segments: (0..SEGMENTS).map(segment).collect(),
    }
}

/// A router in which each backend server has the prefixes of four programs.
fn router(servers: u64, service: &ServiceName) -> Router {
    let mut router = Router::new(RouteSettings::default());
    for n in 0..servers {
        let vm: VmId = name(&format!("vm-{n}"));
        router.add(vm.clone(), service.clone(), name("zone"));
        let programs = (0..4).map(|k| prompt(n * 4 + k + 1));
        let segments = programs.flat_map(|prompt| prompt.segments);
        let events: Vec<CacheEvent> = segments.map(CacheEvent::Stored).collect();
        router.on_cache(&vm, 0, &events);
    }
    router
}

/// Nanoseconds of one choice with its bookkeeping, and the most backend servers looked at.
fn route(servers: u64) -> (u128, u32) {
    let service: ServiceName = name("service");
    let mut router = router(servers, &service);
    let tried = BTreeSet::new();
    let prompts: Vec<Prompt> = (1..=servers * 4).map(prompt).collect();
    let mut most = 0;
    let start = Instant::now();
    for round in 0..ROUNDS {
        let at = usize::try_from(round * 7_919 % prompts.len() as u64).unwrap_or(0);
        let query = RouteQuery {
            service: &service,
            prompt: Some(&prompts[at]),
            last: None,
            tried: &tried,
        };
        let choice = black_box(router.pick(TimeUs(round), &query)).expect("a backend server");
        router.on_sent(&choice.vm, choice.uncached_tokens);
        router.on_ended(&choice.vm, choice.uncached_tokens, false);
        most = most.max(choice.candidate_count);
    }
    (start.elapsed().as_nanos() / u128::from(ROUNDS), most)
}

/// Nanoseconds of one call's way through a gate at which others wait.
fn gate(waiting: u64) -> u128 {
    let mut gate = AdmissionQueue::new(AdmissionSettings {
        max_running: 1,
        max_waiting: u32::MAX,
        ..Default::default()
    });
    let call = |n: u64| QueuedCall {
        attempt: AttemptId(u128::from(n)),
        program: name("program"),
        class: name("class"),
        category: None,
        rank: u32::try_from(n % 3).unwrap_or(0),
        weight: 1,
        arrived_us: TimeUs(n),
        deadline_us: TimeUs(u64::MAX),
        max_wait_us: SpanUs::from_s(1_000_000),
        attained_tokens: Tokens(n * 7_919 % 10_007),
        memory_tokens: Tokens(100),
        prefill_tokens: Tokens(100),
    };
    for n in 0..waiting {
        gate.push(call(n)).expect("room");
    }
    let start = Instant::now();
    for n in waiting..waiting + ROUNDS {
        gate.push(call(n)).expect("room");
        for attempt in black_box(gate.admit(TimeUs(n))) {
            gate.remove(attempt);
        }
    }
    start.elapsed().as_nanos() / u128::from(ROUNDS)
}

/// The growth from the first to the last point for each further thousand.
fn slope(points: &[(u64, u128)]) -> i128 {
    let [(x0, y0), .., (x1, y1)] = points else {
        return 0;
    };
    let signed = |ns: u128| i128::try_from(ns).unwrap_or(i128::MAX);
    (signed(*y1) - signed(*y0)) * 1_000 / i128::from(x1 - x0)
}

fn main() {
    println!("{:>22} {:>10} {:>10}", "", "ns", "looked at");
    let mut points = Vec::new();
    for servers in SERVERS {
        let (ns, most) = route(servers);
        println!("route, {servers:>6} servers {ns:>10} {most:>10}");
        points.push((servers, ns));
    }
    println!("route: {} ns more for each 1,000 servers", slope(&points));
    let mut points = Vec::new();
    for waiting in WAITING {
        let ns = gate(waiting);
        println!("gate,  {waiting:>6} waiting {ns:>10}");
        points.push((waiting, ns));
    }
    println!("gate: {} ns more for each 1,000 waiting", slope(&points));
}
