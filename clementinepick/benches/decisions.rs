//! Measures how the time of one routing choice grows with the number of backend servers, that of one
//! admission with the number of queued calls, and that of choosing the peers that hold the origin of
//! a stream with the number of gateways.
//!
//! Prints nanoseconds and the slope over the whole range. The times have no bounds;
//! `tests/backends.rs` bounds the number of candidates that a choice examines.

use std::collections::BTreeSet;
use std::hint::black_box;
use std::net::SocketAddr;
use std::time::Instant;

use clementinepick::admission_queue::{AdmissionQueue, AdmissionSettings, QueuedCall};
use clementinepick::ids::{AttemptId, ServiceName, VmId};
use clementinepick::platform::CacheEvent;
use clementinepick::prompt::{ChainHash, Prompt, Segment};
use clementinepick::rendezvous::rank_addresses;
use clementinepick::route::{RouteQuery, RouteSettings, Router};
use clementinepick::units::{SpanUs, TimeUs, Tokens};

/// The numbers of backend servers to measure, from the smallest to the largest deployment.
const SERVERS: [u64; 4] = [12, 100, 1_000, 10_000];
/// The numbers of calls in the queue of one backend server to measure.
const QUEUED_CALLS: [u64; 4] = [12, 100, 1_000, 10_000];
/// The numbers of gateways to measure.
const GATEWAYS: [u64; 4] = [9, 31, 300, 2_500];
/// The number of decisions in one measurement.
const ROUNDS: u64 = 20_000;
/// The number of segments of a prompt: a conversation of about twenty turns.
const SEGMENTS: u64 = 40;

fn parse_name<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("valid name")
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

/// Creates a router in which each backend server has the prefixes of four programs cached.
fn router(servers: u64, service: &ServiceName) -> Router {
    let mut router = Router::new(RouteSettings::default());
    for n in 0..servers {
        let vm: VmId = parse_name(&format!("vm-{n}"));
        router.add(vm.clone(), service.clone(), parse_name("zone"));
        let programs = (0..4).map(|k| prompt(n * 4 + k + 1));
        let segments = programs.flat_map(|prompt| prompt.segments);
        let events: Vec<CacheEvent> = segments.map(CacheEvent::Stored).collect();
        router.on_cache(&vm, 0, &events);
    }
    router
}

/// Measures one routing choice with its bookkeeping. Returns its time in nanoseconds and the maximum
/// number of candidates.
fn measure_route(servers: u64) -> (u128, u32) {
    let service: ServiceName = parse_name("service");
    let mut router = router(servers, &service);
    let tried = BTreeSet::new();
    let prompts: Vec<Prompt> = (1..=servers * 4).map(prompt).collect();
    let mut max_candidates = 0;
    let start = Instant::now();
    for round in 0..ROUNDS {
        let at = usize::try_from(round * 7_919 % prompts.len() as u64).unwrap_or(0);
        let query = RouteQuery {
            service: &service,
            prompt: Some(&prompts[at]),
            last: None,
            tried: &tried,
        };
        let choice =
            black_box(router.pick(TimeUs(round), &query)).expect("available backend server");
        router.on_sent(&choice.vm, choice.uncached_tokens);
        router.on_ended(&choice.vm, choice.uncached_tokens, false);
        max_candidates = max_candidates.max(choice.candidate_count);
    }
    (
        start.elapsed().as_nanos() / u128::from(ROUNDS),
        max_candidates,
    )
}

/// Measures the admission of one call through a queue of `waiting` others, in nanoseconds.
fn measure_admission(waiting: u64) -> u128 {
    let mut queue = AdmissionQueue::new(AdmissionSettings {
        max_running: 1,
        max_waiting: u32::MAX,
        ..Default::default()
    });
    let call = |n: u64| QueuedCall {
        attempt: AttemptId(u128::from(n)),
        program: parse_name("program"),
        class: parse_name("class"),
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
        queue.push(call(n)).expect("queue has room");
    }
    let start = Instant::now();
    for n in waiting..waiting + ROUNDS {
        queue.push(call(n)).expect("queue has room");
        for attempt in black_box(queue.admit(TimeUs(n))) {
            queue.remove(attempt);
        }
    }
    start.elapsed().as_nanos() / u128::from(ROUNDS)
}

/// Measures the ranking of `gateways` peers for one stream, in nanoseconds.
fn measure_ranking(gateways: u64) -> u128 {
    const RANKINGS: u64 = 500;
    let address = |n: u64| {
        let [.., high, low] = n.to_be_bytes();
        SocketAddr::from(([10, 0, high, low], 7_380))
    };
    let peers: Vec<SocketAddr> = (0..gateways).map(address).collect();
    let start = Instant::now();
    for stream in 0..RANKINGS {
        let addresses = peers.iter().copied();
        black_box(rank_addresses(&stream.to_string(), addresses, 2));
    }
    start.elapsed().as_nanos() / u128::from(RANKINGS)
}

/// Returns the growth per 1,000 from the first to the last point.
fn slope(points: &[(u64, u128)]) -> i128 {
    let [(x0, y0), .., (x1, y1)] = points else {
        return 0;
    };
    let signed = |ns: u128| i128::try_from(ns).unwrap_or(i128::MAX);
    (signed(*y1) - signed(*y0)) * 1_000 / i128::from(x1 - x0)
}

fn main() {
    println!("{:>22} {:>10} {:>10}", "", "ns", "candidates");
    let mut points = Vec::new();
    for servers in SERVERS {
        let (ns, max_candidates) = measure_route(servers);
        println!("route, {servers:>6} servers {ns:>10} {max_candidates:>10}");
        points.push((servers, ns));
    }
    println!("route: {} ns more per 1,000 servers", slope(&points));
    let mut points = Vec::new();
    for waiting in QUEUED_CALLS {
        let ns = measure_admission(waiting);
        println!("queue, {waiting:>6} waiting {ns:>10}");
        points.push((waiting, ns));
    }
    println!("queue: {} ns more per 1,000 waiting", slope(&points));
    let mut points = Vec::new();
    for gateways in GATEWAYS {
        let ns = measure_ranking(gateways);
        println!("rank, {gateways:>6} gateways {ns:>10}");
        points.push((gateways, ns));
    }
    println!("rank: {} ns more per 1,000 gateways", slope(&points));
}
