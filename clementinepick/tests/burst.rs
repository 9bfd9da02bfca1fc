//! Simulates a burst of programs at several gateways and few servers, in virtual time, and tests
//! that the servers recover from it.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::ops::Range;

use clementinepick::server_list::{BackendServer, SoftwareVersion};
use clementinepick::server_selection::{Affinity, PromptPart, ServerSelector};
use clementinepick::units::TimeUs;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SERVERS: usize = 12;
const SLOTS: u32 = 12;
const GATEWAYS: usize = 8;
/// The duration of a turn alone on a server, after the prefill.
const TURN_DURATION_MS: f64 = 250.0;
/// The relative slowdown by each other request at the server.
const SLOWDOWN_PER_REQUEST: f64 = 0.01;
const PREFILL_TOKENS_PER_MS: f64 = 150.0;
/// The number of new prompt tokens of each turn.
const NEW_TOKENS: u64 = 1_400;
const TURNS: u32 = 6;
const PAUSE_MS: u64 = 80;
/// A program is in time if it takes at most this many times as long as alone.
const MAX_SLOWDOWN: f64 = 1.7;
/// New programs per second: half of the servers' capacity, and twice the capacity in the burst.
const NORMAL_PER_S: f64 = 25.0;
const BURST_PER_S: f64 = 100.0;
const BURST_MS: Range<u64> = 4_000..7_000;
const END_MS: u64 = 24_000;

struct Program {
    started_ms: u64,
    turns: u32,
    /// The server that ran the last turn, which every gateway learns from the program's home.
    server: Option<usize>,
    gateway: usize,
}

/// A server that runs turns in order of arrival, and generates nothing during a prefill.
#[derive(Default)]
struct Server {
    /// Programs with running turns, and their remaining time alone on the server, in ms.
    running: Vec<(usize, f64)>,
    /// Programs with waiting turns, and the number of tokens to prefill for each.
    waiting: VecDeque<(usize, u64)>,
    prefill_ms: f64,
}

impl Server {
    /// Advances by one ms and returns the programs whose turns end.
    fn advance(&mut self) -> Vec<usize> {
        while self.running.len() < SLOTS as usize
            && let Some((program, tokens)) = self.waiting.pop_front()
        {
            self.prefill_ms +=
                f64::from(u32::try_from(tokens).expect("few")) / PREFILL_TOKENS_PER_MS;
            self.running.push((program, TURN_DURATION_MS));
        }
        if self.prefill_ms >= 1.0 {
            self.prefill_ms -= 1.0;
            return Vec::new();
        }
        let others = f64::from(u32::try_from(self.running.len()).expect("few"));
        for (_, left_ms) in &mut self.running {
            *left_ms -= 1.0 / (1.0 + SLOWDOWN_PER_REQUEST * others);
        }
        let ended = self.running.iter().filter(|(_, left_ms)| *left_ms <= 0.0);
        let ended = ended.map(|(program, _)| *program).collect();
        self.running.retain(|(_, left_ms)| *left_ms > 0.0);
        ended
    }
}

/// Counts of programs by the second in which they started, and of turns that moved to another
/// server.
#[derive(Default)]
struct Outcome {
    started: BTreeMap<u64, u32>,
    in_time: BTreeMap<u64, u32>,
    turns: u32,
    moved: u32,
}

impl Outcome {
    fn share_in_time(&self, seconds: Range<u64>) -> f64 {
        let sum = |counts: &BTreeMap<u64, u32>| -> u32 {
            counts.range(seconds.clone()).map(|(_, count)| count).sum()
        };
        f64::from(sum(&self.in_time)) / f64::from(sum(&self.started).max(1))
    }

    fn share_moved(&self) -> f64 {
        f64::from(self.moved) / f64::from(self.turns)
    }
}

struct Simulation {
    listed: Vec<BackendServer>,
    servers: Vec<Server>,
    gateways: Vec<ServerSelector>,
    programs: Vec<Program>,
    /// Programs by the time in ms at which their next turn is sent.
    due: BTreeMap<u64, Vec<usize>>,
    random: ChaCha8Rng,
    outcome: Outcome,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let address: SocketAddr = "127.0.0.1:1".parse().expect("an address");
        let listed = (0..SERVERS).map(|number| BackendServer {
            id: format!("e-{number}"),
            service: "models".to_owned(),
            address,
            zone: "z".to_owned(),
            version: SoftwareVersion::default(),
            slots: SLOTS,
            is_draining: false,
            started_unix_ms: None,
        });
        Self {
            listed: listed.collect(),
            servers: (0..SERVERS).map(|_| Server::default()).collect(),
            gateways: (0..GATEWAYS).map(|_| ServerSelector::default()).collect(),
            programs: Vec::new(),
            due: BTreeMap::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
            outcome: Outcome::default(),
        }
    }

    fn run(mut self) -> Outcome {
        for now_ms in 0..END_MS {
            self.arrive(now_ms);
            for program in self.due.remove(&now_ms).unwrap_or_default() {
                self.send(now_ms, program);
            }
            for server in 0..SERVERS {
                for program in self.servers[server].advance() {
                    self.end_turn(now_ms, program, server);
                }
            }
        }
        self.outcome
    }

    fn arrive(&mut self, now_ms: u64) {
        let is_burst = BURST_MS.contains(&now_ms);
        let per_s = if is_burst { BURST_PER_S } else { NORMAL_PER_S };
        if self.random.random::<f64>() < per_s / 1_000.0 {
            self.programs.push(Program {
                started_ms: now_ms,
                turns: 0,
                server: None,
                gateway: 0,
            });
            self.due
                .entry(now_ms)
                .or_default()
                .push(self.programs.len() - 1);
            *self.outcome.started.entry(now_ms / 1_000).or_default() += 1;
        }
    }

    fn send(&mut self, now_ms: u64, number: usize) {
        let program = &mut self.programs[number];
        let part = |id: String, tokens| PromptPart { id, tokens };
        let chain_tokens = NEW_TOKENS * u64::from(program.turns + 1);
        let parts = [
            part("shared".to_owned(), 12_600),
            part(format!("line-{number}"), chain_tokens),
        ];
        let server_id = program.server.map(|server| self.listed[server].id.clone());
        let affinity = Affinity {
            parts: &parts,
            last_server: server_id.as_deref(),
        };
        program.gateway = self.random.random_range(0..GATEWAYS);
        let selector = &mut self.gateways[program.gateway];
        let candidates: Vec<&BackendServer> = self.listed.iter().collect();
        let now = TimeUs(now_ms * 1_000);
        let chosen = selector.choose(now, &candidates, &[], affinity);
        let id = chosen.expect("a server").id.clone();
        selector.start_request(&id, affinity);
        let server = self.listed.iter().position(|server| server.id == id);
        let server = server.expect("a listed server");
        let is_cached = program.server.is_none_or(|cached_at| cached_at == server);
        let tokens = if is_cached { NEW_TOKENS } else { chain_tokens };
        self.outcome.turns += 1;
        self.outcome.moved += u32::from(!is_cached);
        program.server = Some(server);
        self.servers[server].waiting.push_back((number, tokens));
    }

    fn end_turn(&mut self, now_ms: u64, number: usize, server: usize) {
        let program = &mut self.programs[number];
        self.gateways[program.gateway].end_request(&self.listed[server].id);
        program.turns += 1;
        if program.turns < TURNS {
            let next_ms = now_ms + PAUSE_MS;
            self.due.entry(next_ms).or_default().push(number);
            return;
        }
        let turn_prefill_ms =
            f64::from(u32::try_from(NEW_TOKENS).expect("few")) / PREFILL_TOKENS_PER_MS;
        let pause_ms = f64::from(u32::try_from(PAUSE_MS).expect("few"));
        let alone_ms = f64::from(TURNS) * (TURN_DURATION_MS + turn_prefill_ms + pause_ms);
        let took_ms = f64::from(u32::try_from(now_ms - program.started_ms).expect("short"));
        if took_ms <= MAX_SLOWDOWN * alone_ms {
            let second = program.started_ms / 1_000;
            *self.outcome.in_time.entry(second).or_default() += 1;
        }
    }
}

/// For three seconds, programs start at twice the servers' capacity. If turns moved away from the
/// servers that have their chains cached, repeated prefills would slow the servers down and keep
/// them overloaded after the burst.
#[test]
fn servers_recover_within_five_seconds_after_a_burst() {
    for seed in 0..5 {
        let outcome = Simulation::new(seed).run();
        let before = outcome.share_in_time(0..3);
        let after = outcome.share_in_time(12..20);
        assert!(
            before >= 0.9,
            "seed {seed}: {before:.2} in time before the burst"
        );
        assert!(after >= 0.9, "seed {seed}: {after:.2} in time after it");
        let moved = outcome.share_moved();
        assert!(moved <= 0.1, "seed {seed}: {moved:.2} of turns moved");
    }
}
