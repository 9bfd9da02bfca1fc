//! Which backend server a request is sent to.
//!
//! Several processes share the servers without speaking to each other of their loads. Each counts its
//! own requests at a server, and knows what the server keeps and how it fails. What servers report of
//! the others' requests is left out: with many processes it is old when it is used, and moves lines of
//! turns to servers that must read them again.

use std::collections::BTreeMap;
use std::fmt;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::failure_rate::FailureRate;
use crate::server_list::BackendServer;
use crate::units::{SpanUs, TimeUs};

/// How long a server that failed is passed over the first time; it doubles with each failure.
/// A server that was restarted is back within one to four seconds.
const FIRST_PAUSE_US: SpanUs = SpanUs::from_ms(250);
/// The longest time that a failing server is passed over, which is the longest wait for a server
/// that has recovered.
const MAX_PAUSE_US: SpanUs = SpanUs::from_s(2);
/// What one more request in an engine's batch costs a turn: 38 us for each of about 240 tokens, by
/// the users' sheets.
const LOAD_COST_US: f64 = 9_000.0;
/// What reading one token of a prompt costs every request in the batch, by the users' sheets: an
/// engine reads 147 in a ms and generates nothing meanwhile.
const TOKEN_COST_US: f64 = 6.8;
/// How probably a line of turns that other processes placed lies at its servers, by their rank for
/// the line, in percent; in runs of the users' workloads nine lines in ten are placed at the first.
const RANK_PERCENT: [u64; 2] = [90, 5];
/// What placing a line at a server one rank lower costs: other processes, which get a third of its
/// later turns, look for it at the first, and read 4,000 tokens again where they do not find it. Five
/// requests' worth of load are rarer than that between two servers.
const RANK_COST_US: f64 = 45_000.0;

/// A server that fails all requests counts as so many times as loaded as the others are on average, one
/// that fails a quarter of them as a quarter of that: it is used where the others have that much more to
/// do, since they might fall over without it. On a day of grey servers 5 in 100 programs failed, most by
/// bookings, which can't be repeated.
const FAILING_FACTOR: f64 = 8.0;

/// How many lines' and prefixes' servers are remembered: 4,096 are the turns of half a minute at
/// the size that is designed for, and 600 kB.
const MAX_REMEMBERED: usize = 4_096;

#[derive(Debug, Clone, Copy, Default)]
struct ServerState {
    in_flight: u32,
    failures: u32,
    failure_rate: FailureRate,
    paused_until: TimeUs,
    started_unix_ms: Option<u64>,
}

/// One part of a prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromptPart {
    /// Names its content; prompts that begin alike begin with the same parts.
    pub id: String,
    /// Its length.
    pub tokens: u64,
}

/// What makes a server cheaper for one request than for another.
#[derive(Debug, Clone, Copy, Default)]
pub struct Affinity<'a> {
    /// The parts of the prompt: a start that many programs share, then the line of turns, below
    /// that of its parent if it is a sub-agent's.
    pub parts: &'a [PromptPart],
    /// The server that ran the turn before, or the line of its parent, if the ledger or the home of the
    /// program knows; what this process remembers itself may be older.
    pub last_server: Option<&'a str>,
}

impl Affinity<'_> {
    fn prefix(&self) -> Option<&PromptPart> {
        self.parts.first()
    }

    /// The parts of the line of turns, from the program's first line to its own.
    fn line(&self) -> &[PromptPart] {
        self.parts.get(1..).unwrap_or_default()
    }
}

/// The inputs by which a server was chosen.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SelectionReason {
    /// Whether it failed lately and all others did too.
    pub is_paused: bool,
    /// How many of this process's requests are there.
    pub load: u32,
    /// How much more loaded it counts for its failures.
    pub failing_load: f64,
    /// How many tokens of the prompt it probably does not keep.
    pub tokens_to_read: u64,
    /// Its rank for the line of turns, where nobody is known to keep the line.
    pub rank: Option<usize>,
    /// Whether it is known to keep the line.
    pub is_kept_here: bool,
}

impl SelectionReason {
    /// What the request costs there, by load, reading and rank.
    fn cost_us(&self) -> f64 {
        let read_us = approx(self.tokens_to_read) * TOKEN_COST_US;
        let load = f64::from(self.load);
        let load_us = (load + self.failing_load) * LOAD_COST_US;
        let rank = self.rank.and_then(|rank| u32::try_from(rank).ok());
        let rank_us = rank.map_or(0.0, |rank| f64::from(rank) * RANK_COST_US);
        load_us + rank_us + read_us * (1.0 + load)
    }
}

impl fmt::Display for SelectionReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "load {}, {} tokens to read",
            self.load, self.tokens_to_read
        )?;
        if self.is_kept_here {
            f.write_str(", keeps the line")?;
        }
        if self.failing_load >= 0.05 {
            write!(f, ", counts {:.1} more for failures", self.failing_load)?;
        }
        if let Some(rank) = self.rank {
            write!(f, ", rank {rank}")?;
        }
        if self.is_paused {
            f.write_str(", all failed lately")?;
        }
        Ok(())
    }
}

/// The loads of all backend servers as one process sees them.
#[derive(Debug, Default)]
pub struct ServerSelector {
    servers: BTreeMap<String, ServerState>,
    lines: Remembered<String>,
    prefixes: Remembered<(String, String)>,
}

/// Servers by what they keep, the least recently used half forgotten when there are too many.
#[derive(Debug)]
struct Remembered<K> {
    servers: BTreeMap<K, (String, u64)>,
    uses: u64,
}

impl<K> Default for Remembered<K> {
    fn default() -> Self {
        Self {
            servers: BTreeMap::new(),
            uses: 0,
        }
    }
}

impl<K: Ord> Remembered<K> {
    fn forget_server(&mut self, id: &str) {
        self.servers.retain(|_, (server, _)| server != id);
    }

    fn get(&self, key: &K) -> Option<&str> {
        self.servers.get(key).map(|(server, _)| server.as_str())
    }

    fn insert(&mut self, key: K, server: &str) {
        self.uses += 1;
        self.servers.insert(key, (server.to_owned(), self.uses));
        if self.servers.len() > MAX_REMEMBERED {
            let oldest_kept = self.uses.saturating_sub(MAX_REMEMBERED as u64 / 2);
            self.servers.retain(|_, (_, used)| *used > oldest_kept);
        }
    }
}

impl ServerSelector {
    /// Chooses among `candidates`, leaving out those named in `tried`.
    ///
    /// A paused server is chosen only when all others are paused too: a request that waits for
    /// nothing is worse than one that may fail.
    #[must_use]
    pub fn choose<'a>(
        &self,
        now: TimeUs,
        candidates: &[&'a BackendServer],
        tried: &[String],
        affinity: Affinity<'_>,
    ) -> Option<&'a BackendServer> {
        let (server, _) = self.choose_with_reason(now, candidates, tried, affinity)?;
        Some(server)
    }

    /// Chooses as [`choose`](Self::choose) does, and says by which inputs.
    #[must_use]
    pub fn choose_with_reason<'a>(
        &self,
        now: TimeUs,
        candidates: &[&'a BackendServer],
        tried: &[String],
        affinity: Affinity<'_>,
    ) -> Option<(&'a BackendServer, SelectionReason)> {
        // A server that is gone or leaving keeps nothing for anyone: its lines go where their ranks say.
        let is_there = |id: &&str| candidates.iter().any(|server| server.id == *id);
        let kept_at = self.line_server(affinity).filter(is_there);
        let first_line = affinity.line().first();
        let ranks = first_line.map(|line| ranked(&line.id, candidates));
        let rank_of = |server: &BackendServer| {
            let ranks = ranks.as_ref()?;
            ranks.iter().position(|id| *id == server.id)
        };
        let loads = candidates.iter().map(|server| self.in_flight(&server.id));
        let count = u32::try_from(candidates.len()).unwrap_or(u32::MAX);
        let mean_load = f64::from(loads.sum::<u32>()) / f64::from(count.max(1));
        let reason = |server: &BackendServer| {
            let state = self.state(&server.id);
            let rank = rank_of(server);
            SelectionReason {
                is_paused: now < state.paused_until,
                load: state.in_flight,
                failing_load: state.failure_rate.at(now) * FAILING_FACTOR * (1.0 + mean_load),
                tokens_to_read: self.tokens_to_read(server, affinity, kept_at, rank),
                rank: rank.filter(|_| kept_at.is_none()),
                is_kept_here: kept_at == Some(server.id.as_str()),
            }
        };
        let untried = candidates.iter().filter(|s| !tried.contains(&s.id));
        let reasons = untried.map(|server| (*server, reason(server)));
        reasons.min_by(|(one, reason), (other, other_reason)| {
            let tie = |s: &BackendServer| xxh3_64_with_seed(s.id.as_bytes(), now.0);
            reason
                .is_paused
                .cmp(&other_reason.is_paused)
                .then(reason.cost_us().total_cmp(&other_reason.cost_us()))
                .then_with(|| rank_of(one).cmp(&rank_of(other)))
                .then_with(|| tie(one).cmp(&tie(other)))
        })
    }

    /// The server at which the line of turns, or the line of its parent, was last.
    fn line_server<'a>(&'a self, affinity: Affinity<'a>) -> Option<&'a str> {
        let remembered = || {
            let mut lines = affinity.line().iter().rev();
            lines.find_map(|line| self.lines.get(&line.id))
        };
        affinity.last_server.or_else(remembered)
    }

    /// How many tokens the server probably has to read that another may keep.
    fn tokens_to_read(
        &self,
        server: &BackendServer,
        affinity: Affinity<'_>,
        kept_at: Option<&str>,
        rank: Option<usize>,
    ) -> u64 {
        let line_tokens: u64 = affinity.line().iter().map(|part| part.tokens).sum();
        let kept_percent = match kept_at {
            Some(id) if id == server.id => 100,
            Some(_) => 0,
            None => rank
                .and_then(|rank| RANK_PERCENT.get(rank))
                .copied()
                .unwrap_or(0),
        };
        let prefix_tokens = affinity.prefix().map_or(0, |prefix| {
            let key = (prefix.id.clone(), server.id.clone());
            let is_kept = self.prefixes.get(&key).is_some();
            if is_kept { 0 } else { prefix.tokens }
        });
        line_tokens * (100 - kept_percent) / 100 + prefix_tokens
    }

    fn state(&self, id: &str) -> ServerState {
        self.servers.get(id).copied().unwrap_or_default()
    }

    /// How many of this process's requests are at the server.
    #[must_use]
    pub fn in_flight(&self, id: &str) -> u32 {
        self.state(id).in_flight
    }

    /// Notes that a request is on its way to a server.
    pub fn start_request(&mut self, id: &str, affinity: Affinity<'_>) {
        self.servers.entry(id.to_owned()).or_default().in_flight += 1;
        if let Some(prefix) = affinity.prefix() {
            self.prefixes.insert((prefix.id.clone(), id.to_owned()), id);
        }
        if let Some(line) = affinity.line().last() {
            self.lines.insert(line.id.clone(), id);
        }
    }

    /// Notes that a request is no longer at a server.
    pub fn end_request(&mut self, id: &str) {
        if let Some(state) = self.servers.get_mut(id) {
            state.in_flight = state.in_flight.saturating_sub(1);
        }
    }

    /// Notes that a server answered; `has_failed` says that it answered with a failure of its own.
    pub fn record_response(&mut self, now: TimeUs, id: &str, has_failed: bool) {
        if let Some(state) = self.servers.get_mut(id) {
            state.failures = 0;
            state.paused_until = TimeUs(0);
            state.failure_rate.record(now, has_failed);
        }
    }

    /// Notes that a server refused a request without running it; `is_another` says that it is not the
    /// one that its entry names.
    ///
    /// A server that refuses is idle: without this, it looks the best of all and gets every request.
    pub fn record_refusal(&mut self, now: TimeUs, id: &str, is_another: bool) {
        if is_another {
            self.record_failure(now, id);
        } else if let Some(state) = self.servers.get_mut(id) {
            state.failure_rate.record(now, true);
        }
    }

    /// Notes that a server could not be reached, broke off or gave no answer in time.
    pub fn record_failure(&mut self, now: TimeUs, id: &str) {
        let state = self.servers.entry(id.to_owned()).or_default();
        let pause_us = FIRST_PAUSE_US.0 << state.failures.min(8);
        if state.failures == 0 {
            // The pause alone is for a server that answers nothing any more.
            state.failure_rate.record(now, true);
        }
        state.failures += 1;
        state.paused_until = now.after(SpanUs(pause_us.min(MAX_PAUSE_US.0)));
    }

    /// Takes up when a server started: after a new start, it keeps nothing of what it ran before.
    ///
    /// Without this, turns would follow their lines to an empty server, and all parts that they
    /// share would be read there again at once, while another keeps them.
    pub fn record_start_time(&mut self, id: &str, started_unix_ms: Option<u64>) {
        let state = self.servers.entry(id.to_owned()).or_default();
        let before = std::mem::replace(&mut state.started_unix_ms, started_unix_ms);
        if before.is_some() && before != started_unix_ms {
            self.lines.forget_server(id);
            self.prefixes.forget_server(id);
        }
    }

    /// Forgets servers that are registered no more and have none of this process's requests.
    pub fn retain(&mut self, is_registered: impl Fn(&str) -> bool) {
        self.servers
            .retain(|id, state| state.in_flight > 0 || is_registered(id));
    }
}

/// A count of tokens as a factor of a cost.
fn approx(tokens: u64) -> f64 {
    u32::try_from(tokens).map_or(f64::from(u32::MAX), f64::from)
}

/// The servers in the order in which a line of turns prefers them, by rendezvous hashing: each
/// process finds the same order, and the loss of a server moves only the lines that it kept.
fn ranked<'a>(line: &str, candidates: &[&'a BackendServer]) -> Vec<&'a str> {
    let mut ranked: Vec<(u64, &str)> = candidates
        .iter()
        .map(|server| {
            let seed = xxh3_64_with_seed(server.id.as_bytes(), 0);
            (xxh3_64_with_seed(line.as_bytes(), seed), &*server.id)
        })
        .collect();
    ranked.sort_unstable();
    ranked.into_iter().map(|(_, id)| id).collect()
}
