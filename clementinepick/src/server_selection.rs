//! Selects the backend server for a request by load, prompt cache affinity and failures.
//!
//! Several processes share the servers without exchanging their loads. Each counts only its own
//! requests at a server. Load reported by the servers is deliberately ignored: with many processes
//! it is stale when it is used, and moves turn chains to servers that have to prefill them again.

use std::collections::BTreeMap;
use std::fmt;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::failure_rate::FailureRate;
use crate::server_list::BackendServer;
use crate::units::{SpanUs, TimeUs};

/// The backoff after a server's first failure; it doubles with each further failure. A restarted
/// server is back within one to four seconds.
const INITIAL_BACKOFF_US: SpanUs = SpanUs::from_ms(250);
/// The upper bound of the backoff, and so of the wait for a server that has recovered.
const MAX_BACKOFF_US: SpanUs = SpanUs::from_s(2);
/// The delay that one more request in an engine's batch adds to a turn: 38 us for each of about 240
/// generated tokens.
const REQUEST_COST_US: f64 = 9_000.0;
/// The delay that prefilling one prompt token adds to every request in the batch: an engine
/// prefills 147 tokens in a ms and generates nothing meanwhile.
const PREFILL_COST_US_PER_TOKEN: f64 = 6.8;
/// The probability, in percent, that a turn chain placed by another process is cached at a server,
/// by the server's rank for the chain.
const RANK_CACHED_PERCENT: [u64; 2] = [90, 5];
/// The cost of placing a turn chain one rank lower: other processes, which get a third of its later
/// turns, look for it at the first server and prefill 4,000 tokens again where it isn't cached. It
/// equals the load of five requests, and two servers rarely differ by more.
const RANK_COST_US: f64 = 45_000.0;

/// The load penalty of a server that fails all requests, as a multiple of the mean load; it shrinks
/// in proportion to the failure rate. The server still gets requests when the others are that much
/// busier, since they might be overloaded without it. Most programs that fail at such a server do so
/// by a booking, which can't be repeated.
const FAILURE_PENALTY_FACTOR: f64 = 8.0;

/// The capacity of each map of recent servers, about 600 kB: the turns of half a minute at the
/// design load.
const MAX_RECENT_SERVERS: usize = 4_096;

#[derive(Debug, Clone, Copy, Default)]
struct ServerState {
    in_flight: u32,
    failures: u32,
    failure_rate: FailureRate,
    backoff_until: TimeUs,
    started_unix_ms: Option<u64>,
}

/// One part of a prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifies the content; prompts with a common prefix begin with the same parts.
    pub id: String,
    /// The number of tokens.
    pub tokens: u64,
}

/// What a request's prompt has in common with earlier ones, and where it may be cached.
#[derive(Debug, Clone, Copy, Default)]
pub struct Affinity<'a> {
    /// The parts of the prompt: first a prefix that many programs share, then the turn chains from
    /// that of the root program to that of the (sub-)agent that makes the request.
    pub parts: &'a [PromptPart],
    /// The server that ran the previous turn or the parent's chain, if the ledger or the home of
    /// the program knows it. It takes precedence over what this process remembers, which may be
    /// older.
    pub last_server: Option<&'a str>,
}

impl Affinity<'_> {
    fn prefix(&self) -> Option<&PromptPart> {
        self.parts.first()
    }

    /// Returns the turn chains, from the root program's to the request's own.
    fn turn_chains(&self) -> &[PromptPart] {
        self.parts.get(1..).unwrap_or_default()
    }
}

/// The inputs of the cost by which a server was selected.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SelectionReason {
    /// Whether the server is in backoff; only selected if all candidates are.
    pub is_in_backoff: bool,
    /// The number of this process's requests in flight at the server.
    pub load: u32,
    /// The additional load, in requests, that it counts for its failures.
    pub failure_penalty: f64,
    /// The expected number of prompt tokens that the server doesn't have cached.
    pub prefill_tokens: u64,
    /// The server's rank for the turn chain, if no server is known to have the chain cached.
    pub rank: Option<usize>,
    /// Whether the server is known to have the turn chain cached.
    pub is_chain_cached: bool,
}

impl SelectionReason {
    /// Returns the estimated cost of the request at the server, in microseconds.
    fn cost_us(&self) -> f64 {
        let prefill_us = tokens_to_f64(self.prefill_tokens) * PREFILL_COST_US_PER_TOKEN;
        let load = f64::from(self.load);
        let load_us = (load + self.failure_penalty) * REQUEST_COST_US;
        let rank = self.rank.and_then(|rank| u32::try_from(rank).ok());
        let rank_us = rank.map_or(0.0, |rank| f64::from(rank) * RANK_COST_US);
        load_us + rank_us + prefill_us * (1.0 + load)
    }
}

impl fmt::Display for SelectionReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "load {}, {} tokens to read",
            self.load, self.prefill_tokens
        )?;
        if self.is_chain_cached {
            f.write_str(", turn chain cached")?;
        }
        if self.failure_penalty >= 0.05 {
            write!(f, ", failure penalty {:.1}", self.failure_penalty)?;
        }
        if let Some(rank) = self.rank {
            write!(f, ", rank {rank}")?;
        }
        if self.is_in_backoff {
            f.write_str(", all servers in backoff")?;
        }
        Ok(())
    }
}

/// The load, failures and cached prompts of all backend servers, as one process knows them.
#[derive(Debug, Default)]
pub struct ServerSelector {
    servers: BTreeMap<String, ServerState>,
    chain_servers: RecentServers<String>,
    prefix_servers: RecentServers<(String, String)>,
}

/// The server that last received each key; above the capacity, the least recently written half is
/// evicted.
#[derive(Debug)]
struct RecentServers<K> {
    servers: BTreeMap<K, (String, u64)>,
    writes: u64,
}

impl<K> Default for RecentServers<K> {
    fn default() -> Self {
        Self {
            servers: BTreeMap::new(),
            writes: 0,
        }
    }
}

impl<K: Ord> RecentServers<K> {
    fn remove_server(&mut self, id: &str) {
        self.servers.retain(|_, (server, _)| server != id);
    }

    fn get(&self, key: &K) -> Option<&str> {
        self.servers.get(key).map(|(server, _)| server.as_str())
    }

    fn insert(&mut self, key: K, server: &str) {
        self.writes += 1;
        self.servers.insert(key, (server.to_owned(), self.writes));
        if self.servers.len() > MAX_RECENT_SERVERS {
            let oldest_retained = self.writes.saturating_sub(MAX_RECENT_SERVERS as u64 / 2);
            self.servers
                .retain(|_, (_, written)| *written > oldest_retained);
        }
    }
}

impl ServerSelector {
    /// Selects one of `candidates`, except those whose ids are in `tried`.
    ///
    /// A server in backoff is selected only if all others are too: an attempt that may fail is
    /// better than none.
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

    /// Selects as [`choose`](Self::choose) does, and also returns the inputs of the decision.
    #[must_use]
    pub fn choose_with_reason<'a>(
        &self,
        now: TimeUs,
        candidates: &[&'a BackendServer],
        tried: &[String],
        affinity: Affinity<'_>,
    ) -> Option<(&'a BackendServer, SelectionReason)> {
        // The chains of a server that is gone or draining are placed by rank again.
        let is_candidate = |id: &&str| candidates.iter().any(|server| server.id == *id);
        let cached_at = self.chain_server(affinity).filter(is_candidate);
        let root_chain = affinity.turn_chains().first();
        let ranks = root_chain.map(|chain| rank_servers(&chain.id, candidates));
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
                is_in_backoff: now < state.backoff_until,
                load: state.in_flight,
                failure_penalty: state.failure_rate.at(now)
                    * FAILURE_PENALTY_FACTOR
                    * (1.0 + mean_load),
                prefill_tokens: self.prefill_tokens(server, affinity, cached_at, rank),
                rank: rank.filter(|_| cached_at.is_none()),
                is_chain_cached: cached_at == Some(server.id.as_str()),
            }
        };
        let untried = candidates.iter().filter(|s| !tried.contains(&s.id));
        let reasons = untried.map(|server| (*server, reason(server)));
        reasons.min_by(|(one, reason), (other, other_reason)| {
            let tie = |s: &BackendServer| xxh3_64_with_seed(s.id.as_bytes(), now.0);
            reason
                .is_in_backoff
                .cmp(&other_reason.is_in_backoff)
                .then(reason.cost_us().total_cmp(&other_reason.cost_us()))
                .then_with(|| rank_of(one).cmp(&rank_of(other)))
                .then_with(|| tie(one).cmp(&tie(other)))
        })
    }

    /// Returns the server that last ran the request's turn chain or the nearest parent's.
    fn chain_server<'a>(&'a self, affinity: Affinity<'a>) -> Option<&'a str> {
        let remembered = || {
            let mut chains = affinity.turn_chains().iter().rev();
            chains.find_map(|chain| self.chain_servers.get(&chain.id))
        };
        affinity.last_server.or_else(remembered)
    }

    /// Returns the expected number of prompt tokens that the server has to prefill.
    fn prefill_tokens(
        &self,
        server: &BackendServer,
        affinity: Affinity<'_>,
        cached_at: Option<&str>,
        rank: Option<usize>,
    ) -> u64 {
        let chain_tokens: u64 = affinity.turn_chains().iter().map(|part| part.tokens).sum();
        let cached_percent = match cached_at {
            Some(id) if id == server.id => 100,
            Some(_) => 0,
            None => rank
                .and_then(|rank| RANK_CACHED_PERCENT.get(rank))
                .copied()
                .unwrap_or(0),
        };
        let prefix_tokens = affinity.prefix().map_or(0, |prefix| {
            let key = (prefix.id.clone(), server.id.clone());
            let is_cached = self.prefix_servers.get(&key).is_some();
            if is_cached { 0 } else { prefix.tokens }
        });
        chain_tokens * (100 - cached_percent) / 100 + prefix_tokens
    }

    fn state(&self, id: &str) -> ServerState {
        self.servers.get(id).copied().unwrap_or_default()
    }

    /// Returns the number of this process's requests at the server.
    #[must_use]
    pub fn in_flight(&self, id: &str) -> u32 {
        self.state(id).in_flight
    }

    /// Records that a request is being sent to a server.
    pub fn start_request(&mut self, id: &str, affinity: Affinity<'_>) {
        self.servers.entry(id.to_owned()).or_default().in_flight += 1;
        self.record_prompt(id, affinity);
    }

    /// Records that a server reads a request's prompt, and so has it cached.
    pub fn record_prompt(&mut self, id: &str, affinity: Affinity<'_>) {
        if let Some(prefix) = affinity.prefix() {
            self.prefix_servers
                .insert((prefix.id.clone(), id.to_owned()), id);
        }
        if let Some(chain) = affinity.turn_chains().last() {
            self.chain_servers.insert(chain.id.clone(), id);
        }
    }

    /// Records that a request is no longer at a server.
    pub fn end_request(&mut self, id: &str) {
        if let Some(state) = self.servers.get_mut(id) {
            state.in_flight = state.in_flight.saturating_sub(1);
        }
    }

    /// Records a response, which ends the backoff; `has_failed` marks a failure of the server
    /// itself.
    pub fn record_response(&mut self, now: TimeUs, id: &str, has_failed: bool) {
        if let Some(state) = self.servers.get_mut(id) {
            state.failures = 0;
            state.backoff_until = TimeUs(0);
            state.failure_rate.record(now, has_failed);
        }
    }

    /// Records that a server refused a request without running it; `is_wrong_server` says that
    /// another server than the registered one listens at the address.
    ///
    /// A refusing server stays idle: if refusals didn't count as failures, it would have the lowest
    /// load and get every request.
    pub fn record_refusal(&mut self, now: TimeUs, id: &str, is_wrong_server: bool) {
        if is_wrong_server {
            self.record_failure(now, id);
        } else if let Some(state) = self.servers.get_mut(id) {
            state.failure_rate.record(now, true);
        }
    }

    /// Records that a server was unreachable, closed the connection or timed out, and backs off.
    pub fn record_failure(&mut self, now: TimeUs, id: &str) {
        let state = self.servers.entry(id.to_owned()).or_default();
        let backoff_us = INITIAL_BACKOFF_US.0 << state.failures.min(8);
        if state.failures == 0 {
            // Only the first failure in a row counts: for the others the backoff suffices.
            state.failure_rate.record(now, true);
        }
        state.failures += 1;
        state.backoff_until = now.after(SpanUs(backoff_us.min(MAX_BACKOFF_US.0)));
    }

    /// Records when a server started; a restart empties its cache.
    ///
    /// Otherwise turns would follow their chains to an empty server, which would prefill all shared
    /// parts at once although another server has them cached.
    pub fn record_start_time(&mut self, id: &str, started_unix_ms: Option<u64>) {
        let state = self.servers.entry(id.to_owned()).or_default();
        let before = std::mem::replace(&mut state.started_unix_ms, started_unix_ms);
        if before.is_some() && before != started_unix_ms {
            self.chain_servers.remove_server(id);
            self.prefix_servers.remove_server(id);
        }
    }

    /// Removes servers that are no longer registered and have no requests in flight.
    pub fn retain(&mut self, is_registered: impl Fn(&str) -> bool) {
        self.servers
            .retain(|id, state| state.in_flight > 0 || is_registered(id));
    }
}

/// Converts a token count for cost arithmetic.
fn tokens_to_f64(tokens: u64) -> f64 {
    u32::try_from(tokens).map_or(f64::from(u32::MAX), f64::from)
}

/// Ranks the servers for a turn chain by rendezvous hashing: every process computes the same order,
/// and the loss of a server moves only its own chains.
fn rank_servers<'a>(chain: &str, candidates: &[&'a BackendServer]) -> Vec<&'a str> {
    let mut ranked: Vec<(u64, &str)> = candidates
        .iter()
        .map(|server| {
            let seed = xxh3_64_with_seed(server.id.as_bytes(), 0);
            (xxh3_64_with_seed(chain.as_bytes(), seed), &*server.id)
        })
        .collect();
    ranked.sort_unstable();
    ranked.into_iter().map(|(_, id)| id).collect()
}
