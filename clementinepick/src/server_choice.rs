//! Which backend server a request is sent to.
//!
//! Several processes share the servers without speaking to each other. Each estimates a server's
//! load from the requests that it has there itself and from what the server's answers report of the
//! others' requests.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::server_list::BackendServer;
use crate::units::{SpanUs, TimeUs};

/// How long a report counts. Requests to engines take 200 to 400 ms, so that after twice as long
/// most of those that were reported have ended.
const REPORT_LIFE_US: SpanUs = SpanUs::from_ms(800);
/// How long a server that failed is passed over the first time; it doubles with each failure.
/// A server that was restarted is back within one to four seconds.
const FIRST_PAUSE_US: SpanUs = SpanUs::from_ms(250);
/// The longest time that a failing server is passed over, which is the longest wait for a server
/// that has recovered.
const MAX_PAUSE_US: SpanUs = SpanUs::from_s(2);
/// What reading a session's own turns again costs, in requests of load: 2,000 to 8,000 tokens take
/// 15 to 60 ms, about as much as four more requests in a batch add to a turn.
const SESSION_COST: u32 = 4;
/// What reading the shared start of a prompt again costs, in requests of load: 12,600 tokens take
/// 86 ms and the memory for them.
const PREFIX_COST: u32 = 8;
/// How many servers keep the shared start of one prompt. Three carry a third of the traffic of the
/// users' sites each without reading it again, and survive the loss of two.
const PREFIX_SERVERS: usize = 3;
/// How many sessions' servers are remembered.
const MAX_SESSIONS: usize = 4_096;

/// What a server says of its load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
}

#[derive(Debug, Clone, Copy)]
struct Report {
    others: u32,
    at: TimeUs,
}

#[derive(Debug, Clone, Copy, Default)]
struct ServerState {
    in_flight: u32,
    report: Option<Report>,
    failures: u32,
    paused_until: TimeUs,
}

impl ServerState {
    fn load(&self, now: TimeUs) -> u32 {
        let others = self.report.filter(|r| now.since(r.at) < REPORT_LIFE_US);
        self.in_flight + others.map_or(0, |report| report.others)
    }
}

/// What makes a server cheaper for one request than for another.
#[derive(Debug, Clone, Copy, Default)]
pub struct Affinity<'a> {
    /// The line of turns that the request belongs to.
    pub session: Option<&'a str>,
    /// The shared start of its prompt.
    pub prefix: Option<&'a str>,
}

/// The loads of all backend servers as one process sees them.
#[derive(Debug, Default)]
pub struct ServerChoice {
    servers: BTreeMap<String, ServerState>,
    sessions: BTreeMap<String, (String, u64)>,
    uses: u64,
}

impl ServerChoice {
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
        let kept = affinity.session.and_then(|s| self.sessions.get(s));
        let holders = affinity.prefix.map(|p| prefix_servers(p, candidates));
        candidates
            .iter()
            .filter(|server| !tried.contains(&server.id))
            .min_by_key(|server| {
                let state = self.state(&server.id);
                let keeps_session = kept.is_some_and(|(id, _)| *id == server.id);
                let keeps_prefix = holders.as_ref().is_none_or(|h| h.contains(&&*server.id));
                let cost = match (keeps_session, keeps_prefix) {
                    (true, _) => 0,
                    (false, true) => SESSION_COST,
                    (false, false) => SESSION_COST + PREFIX_COST,
                };
                let load = state.load(now);
                let is_full = load >= server.slots;
                let tie = xxh3_64_with_seed(server.id.as_bytes(), now.0);
                (now < state.paused_until, is_full, load + cost, tie)
            })
            .copied()
    }

    fn state(&self, id: &str) -> ServerState {
        self.servers.get(id).copied().unwrap_or_default()
    }

    /// How many of this process's requests are at the server.
    #[must_use]
    pub fn in_flight(&self, id: &str) -> u32 {
        self.state(id).in_flight
    }

    /// Whether every candidate has as many requests as it runs at once.
    #[must_use]
    pub fn all_full(&self, now: TimeUs, candidates: &[&BackendServer]) -> bool {
        candidates
            .iter()
            .all(|server| self.state(&server.id).load(now) >= server.slots)
    }

    /// Notes that a request is on its way to a server.
    pub fn start(&mut self, id: &str, session: Option<&str>) {
        self.servers.entry(id.to_owned()).or_default().in_flight += 1;
        let Some(session) = session else {
            return;
        };
        self.uses += 1;
        self.sessions
            .insert(session.to_owned(), (id.to_owned(), self.uses));
        if self.sessions.len() > MAX_SESSIONS {
            self.forget_old_sessions();
        }
    }

    fn forget_old_sessions(&mut self) {
        let oldest_kept = self.uses.saturating_sub(MAX_SESSIONS as u64 / 2);
        self.sessions.retain(|_, (_, used)| *used > oldest_kept);
    }

    /// Notes that a request is no longer at a server.
    pub fn end(&mut self, id: &str) {
        if let Some(state) = self.servers.get_mut(id) {
            state.in_flight = state.in_flight.saturating_sub(1);
        }
    }

    /// Takes what a server reports of its load.
    pub fn report(&mut self, now: TimeUs, id: &str, load: ReportedLoad) {
        let state = self.servers.entry(id.to_owned()).or_default();
        let others = (load.running + load.waiting).saturating_sub(state.in_flight);
        state.report = Some(Report { others, at: now });
    }

    /// Notes that a server answered.
    pub fn succeeded(&mut self, id: &str) {
        if let Some(state) = self.servers.get_mut(id) {
            state.failures = 0;
            state.paused_until = TimeUs(0);
        }
    }

    /// Notes that a server could not be reached, broke off or gave no answer in time.
    pub fn failed(&mut self, now: TimeUs, id: &str) {
        let state = self.servers.entry(id.to_owned()).or_default();
        let pause_us = FIRST_PAUSE_US.0 << state.failures.min(8);
        state.failures += 1;
        state.paused_until = now.after(SpanUs(pause_us.min(MAX_PAUSE_US.0)));
    }

    /// Forgets servers that are registered no more and have none of this process's requests.
    pub fn retain(&mut self, is_registered: impl Fn(&str) -> bool) {
        self.servers
            .retain(|id, state| state.in_flight > 0 || is_registered(id));
    }
}

/// The servers that keep the shared start of a prompt, by rendezvous hashing: each process finds
/// the same ones, and the loss of one moves only what it kept.
fn prefix_servers<'a>(prefix: &str, candidates: &[&'a BackendServer]) -> Vec<&'a str> {
    let mut ranked: Vec<(u64, &str)> = candidates
        .iter()
        .map(|server| {
            let seed = xxh3_64_with_seed(server.id.as_bytes(), 0);
            (xxh3_64_with_seed(prefix.as_bytes(), seed), &*server.id)
        })
        .collect();
    ranked.sort_unstable();
    ranked.truncate(PREFIX_SERVERS);
    ranked.into_iter().map(|(_, id)| id).collect()
}
