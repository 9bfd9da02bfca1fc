//! A burst of programs at several gateways before a few servers, in virtual time: which programs end in
//! time, by the servers that the gateways choose.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::ops::Range;

use clementinepick::server_list::BackendServer;
use clementinepick::server_selection::{Affinity, PromptPart, ServerSelector};
use clementinepick::units::TimeUs;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SERVERS: usize = 12;
const SLOTS: u32 = 12;
const GATEWAYS: usize = 8;
/// What a turn takes alone at a server, after its prompt was read.
const TURN_MS: f64 = 250.0;
/// What each other request at the server adds to that, as a part of it.
const SLOWER_BY_REQUEST: f64 = 0.01;
const READ_TOKENS_PER_MS: f64 = 150.0;
/// The new part of each turn's prompt.
const NEW_TOKENS: u64 = 1_400;
const TURNS: u32 = 6;
const PAUSE_MS: u64 = 80;
/// A program is in time within so many times what it takes alone.
const AIM_FACTOR: f64 = 1.7;
/// New programs a second: half of what the servers can run, and twice as much as they can in the burst.
const CALM_PER_S: f64 = 25.0;
const BURST_PER_S: f64 = 100.0;
const BURST_MS: Range<u64> = 4_000..7_000;
const END_MS: u64 = 24_000;

struct Program {
    began_ms: u64,
    turns: u32,
    /// The server that ran the last turn, as the home of the program tells each gateway.
    server: Option<usize>,
    gateway: usize,
}

/// A server that takes turns in the order in which they come, and generates nothing while it reads.
#[derive(Default)]
struct Server {
    /// Programs whose turns run, and what is left of each, in ms of a server that runs nothing else.
    running: Vec<(usize, f64)>,
    /// Programs whose turns wait, and the tokens that it has to read for each.
    waiting: VecDeque<(usize, u64)>,
    reading_ms: f64,
}

impl Server {
    /// Works for one ms; returns the programs whose turns end.
    fn work(&mut self) -> Vec<usize> {
        while self.running.len() < SLOTS as usize
            && let Some((program, tokens)) = self.waiting.pop_front()
        {
            self.reading_ms += f64::from(u32::try_from(tokens).expect("few")) / READ_TOKENS_PER_MS;
            self.running.push((program, TURN_MS));
        }
        if self.reading_ms >= 1.0 {
            self.reading_ms -= 1.0;
            return Vec::new();
        }
        let others = f64::from(u32::try_from(self.running.len()).expect("few"));
        for (_, left_ms) in &mut self.running {
            *left_ms -= 1.0 / (1.0 + SLOWER_BY_REQUEST * others);
        }
        let ended = self.running.iter().filter(|(_, left_ms)| *left_ms <= 0.0);
        let ended = ended.map(|(program, _)| *program).collect();
        self.running.retain(|(_, left_ms)| *left_ms > 0.0);
        ended
    }
}

/// Programs by the second in which they began, and turns that left their line's server.
#[derive(Default)]
struct Outcome {
    began: BTreeMap<u64, u32>,
    in_time: BTreeMap<u64, u32>,
    turns: u32,
    moved: u32,
}

impl Outcome {
    fn share_in_time(&self, seconds: Range<u64>) -> f64 {
        let sum = |counts: &BTreeMap<u64, u32>| -> u32 {
            counts.range(seconds.clone()).map(|(_, count)| count).sum()
        };
        f64::from(sum(&self.in_time)) / f64::from(sum(&self.began).max(1))
    }

    fn share_moved(&self) -> f64 {
        f64::from(self.moved) / f64::from(self.turns)
    }
}

struct World {
    listed: Vec<BackendServer>,
    servers: Vec<Server>,
    gateways: Vec<ServerSelector>,
    programs: Vec<Program>,
    /// Programs whose next turn is sent, by time.
    due: BTreeMap<u64, Vec<usize>>,
    random: ChaCha8Rng,
    outcome: Outcome,
}

impl World {
    fn new(seed: u64) -> Self {
        let address: SocketAddr = "127.0.0.1:1".parse().expect("an address");
        let listed = (0..SERVERS).map(|number| BackendServer {
            id: format!("e-{number}"),
            service: "models".to_owned(),
            address,
            zone: "z".to_owned(),
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

    fn play(mut self) -> Outcome {
        for now_ms in 0..END_MS {
            self.arrive(now_ms);
            for program in self.due.remove(&now_ms).unwrap_or_default() {
                self.send(now_ms, program);
            }
            for server in 0..SERVERS {
                for program in self.servers[server].work() {
                    self.end_turn(now_ms, program, server);
                }
            }
        }
        self.outcome
    }

    fn arrive(&mut self, now_ms: u64) {
        let is_burst = BURST_MS.contains(&now_ms);
        let per_s = if is_burst { BURST_PER_S } else { CALM_PER_S };
        if self.random.random::<f64>() < per_s / 1_000.0 {
            self.programs.push(Program {
                began_ms: now_ms,
                turns: 0,
                server: None,
                gateway: 0,
            });
            self.due
                .entry(now_ms)
                .or_default()
                .push(self.programs.len() - 1);
            *self.outcome.began.entry(now_ms / 1_000).or_default() += 1;
        }
    }

    fn send(&mut self, now_ms: u64, number: usize) {
        let program = &mut self.programs[number];
        let part = |id: String, tokens| PromptPart { id, tokens };
        let line_tokens = NEW_TOKENS * u64::from(program.turns + 1);
        let parts = [
            part("shared".to_owned(), 12_600),
            part(format!("line-{number}"), line_tokens),
        ];
        let told = program.server.map(|server| self.listed[server].id.clone());
        let affinity = Affinity {
            parts: &parts,
            last_server: told.as_deref(),
        };
        program.gateway = self.random.random_range(0..GATEWAYS);
        let choice = &mut self.gateways[program.gateway];
        let candidates: Vec<&BackendServer> = self.listed.iter().collect();
        let now = TimeUs(now_ms * 1_000);
        let chosen = choice.choose(now, &candidates, &[], affinity);
        let id = chosen.expect("a server").id.clone();
        choice.start_request(&id, affinity);
        let server = self.listed.iter().position(|server| server.id == id);
        let server = server.expect("a listed server");
        let is_kept = program.server.is_none_or(|kept_at| kept_at == server);
        let tokens = if is_kept { NEW_TOKENS } else { line_tokens };
        self.outcome.turns += 1;
        self.outcome.moved += u32::from(!is_kept);
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
        let read_ms = f64::from(u32::try_from(NEW_TOKENS).expect("few")) / READ_TOKENS_PER_MS;
        let pause_ms = f64::from(u32::try_from(PAUSE_MS).expect("few"));
        let alone_ms = f64::from(TURNS) * (TURN_MS + read_ms + pause_ms);
        let took_ms = f64::from(u32::try_from(now_ms - program.began_ms).expect("short"));
        if took_ms <= AIM_FACTOR * alone_ms {
            let second = program.began_ms / 1_000;
            *self.outcome.in_time.entry(second).or_default() += 1;
        }
    }
}

/// Four times the usual programs begin for three seconds, twice what the servers can run. All are late
/// then. Five seconds after the burst, nine in ten of those that begin are in time again, and turns have
/// stayed with the servers that keep their lines: what is read again would make servers slower, and the
/// burst would go on by itself.
///
/// With reports of load that count whole while they are new, and full servers last, 36 to 41 turns in 100
/// left their line's server, and of the programs of these seconds 44 to 94 in 100 were in time. Without
/// both, 6 or 7 turns in 100 do, and all programs are.
#[test]
fn a_burst_is_over_five_seconds_after_its_end() {
    for seed in 0..5 {
        let outcome = World::new(seed).play();
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
