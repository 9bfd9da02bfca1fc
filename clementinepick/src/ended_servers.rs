//! Counts the backend servers that ended while they ran a request, over all attempts of its caller,
//! so that a request which ends the servers that run it is given up.
//!
//! A server ends with all that runs there, so that requests beside a fatal one are lost as often as
//! it is. A request that has lost two servers therefore runs at a server where no other such request
//! does: what ends the next server is then known.
//!
//! ```
//! use clementinepick::ended_servers::{EndedServers, ServerStart};
//! use clementinepick::request_key::RequestContent;
//! use clementinepick::units::TimeUs;
//!
//! let mut ended = EndedServers::default();
//! let key = RequestContent::default().key();
//! let server = ServerStart {
//!     id: "i-1".to_owned(),
//!     started_unix_ms: None,
//!     address: "127.0.0.1:1".parse().expect("an address"),
//! };
//! ended.record_end(TimeUs(0), key, server);
//! assert_eq!(ended.count(TimeUs(1), key), 1);
//! ```

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::expiring_map::ExpiringMap;
use crate::request_key::RequestKey;
use crate::server_list::{BackendServer, ServerList};
use crate::units::{SpanUs, TimeUs};

/// The number of servers after which a request is given up.
pub const MAX_ENDED_SERVERS: usize = 3;
/// A request that has ended this many servers is isolated from others that have.
pub const ISOLATION_THRESHOLD: usize = 2;

/// How long a request is remembered after the last server that ended under it.
pub const RETENTION_US: SpanUs = SpanUs::from_s(300);
/// The maximum number of requests, about 6 MB.
const MAX_REQUESTS: usize = 16_384;
/// The maximum number of servers and of runs that are remembered of one request. A request has more
/// ended servers than [`MAX_ENDED_SERVERS`] only if copies of it run at the same time.
const MAX_OF_REQUEST: usize = 8;
/// How long a server that lost a response stays listed if it has ended, at most: three heartbeats
/// and the age of the list.
const ENTRY_EXPIRY_US: SpanUs = SpanUs::from_s(10);
/// The maximum age of the list of servers. A server that started again under its id is listed with
/// its new start time after this long.
const LIST_LAG_US: SpanUs = SpanUs::from_s(2);

/// One start of a backend server.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ServerStart {
    /// The id of the server.
    #[serde(rename = "i")]
    pub id: String,
    /// When it started, in Unix milliseconds, if it reports it.
    #[serde(rename = "b")]
    pub started_unix_ms: Option<u64>,
    /// Where it listens.
    #[serde(rename = "a")]
    pub address: SocketAddr,
}

impl ServerStart {
    /// Returns the start of a listed server.
    #[must_use]
    pub fn of(server: &BackendServer) -> Self {
        Self {
            id: server.id.clone(),
            started_unix_ms: server.started_unix_ms,
            address: server.address,
        }
    }

    /// Returns whether this start of the server is listed.
    #[must_use]
    pub fn is_listed(&self, list: &ServerList) -> bool {
        let server = list.servers.get(&self.id);
        server.is_some_and(|server| server.started_unix_ms == self.started_unix_ms)
    }
}

/// What is known of a server that lost the response to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum EndState {
    /// It has responded since, or is not known to be silent, and may yet end. Not counted.
    Suspected,
    /// It does not respond, and may have ended.
    Silent,
    /// It does not accept connections, or another server does in its place.
    Ended,
    /// It is no longer listed.
    Confirmed,
}

impl EndState {
    /// Returns whether it is not known if the server has ended.
    #[must_use]
    pub fn is_undecided(self) -> bool {
        match self {
            Self::Suspected | Self::Silent => true,
            Self::Ended | Self::Confirmed => false,
        }
    }

    /// Returns whether a report of `new` replaces this state. A peer that knows of no silence may
    /// have known the server for longer.
    fn yields_to(self, new: Self) -> bool {
        match self {
            Self::Suspected => true,
            Self::Silent => new != Self::Suspected,
            Self::Ended | Self::Confirmed => false,
        }
    }
}

/// A server that lost the response to a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerEnd {
    /// The server.
    pub server: ServerStart,
    /// When the response was lost.
    pub lost_at: TimeUs,
    /// What is known of the server.
    pub state: EndState,
}

/// A run of a request under which a server has ended before.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OpenRun {
    /// Identifies the run.
    pub id: u64,
    /// The server that runs the request.
    pub server: ServerStart,
    /// Whether no other isolated run may be at the server.
    pub is_isolated: bool,
    /// When its caller gives up.
    pub expires_at: TimeUs,
}

/// The servers that ended under one request, and its runs.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestEnds {
    /// The servers that lost a response to it.
    pub ends: Vec<ServerEnd>,
    /// Its runs that are not known to be over.
    pub runs: Vec<OpenRun>,
}

impl RequestEnds {
    fn counted(&self) -> impl Iterator<Item = &ServerEnd> {
        self.ends
            .iter()
            .filter(|end| end.state != EndState::Suspected)
    }

    /// Returns the number of servers that ended under the request or are silent: until it is known
    /// which, no further one may be put at risk.
    #[must_use]
    pub fn count(&self) -> usize {
        self.counted().count()
    }

    /// Returns whether peers must know of the request: a server has ended under it, or it has lost
    /// several responses, whose servers may yet turn out to have ended.
    #[must_use]
    pub fn is_shared(&self) -> bool {
        self.ends.len() > 1 || self.count() > 0
    }

    /// Returns whether the request would be given up if the servers of all its runs but `run_id`
    /// ended.
    fn awaits_others(&self, now: TimeUs, run_id: u64) -> bool {
        let others = self.runs.iter();
        let others = others.filter(|run| run.id != run_id && now < run.expires_at);
        let (count, open) = (self.count(), others.count());
        open > 0 && count > 0 && count + open >= MAX_ENDED_SERVERS
    }

    fn add_end(&mut self, new: ServerEnd) {
        self.runs.retain(|run| run.server != new.server);
        if let Some(end) = self.ends.iter_mut().find(|end| end.server == new.server) {
            if end.state.yields_to(new.state) {
                *end = new;
            }
        } else if self.ends.len() < MAX_OF_REQUEST {
            self.ends.push(new);
        }
    }

    fn add_run(&mut self, new: OpenRun) {
        let has_ended = self.counted().any(|end| end.server == new.server);
        let is_known = self.runs.iter().any(|run| run.id == new.id);
        if !has_ended && !is_known && self.runs.len() < MAX_OF_REQUEST {
            self.runs.push(new);
        }
    }

    /// Replaces runs without a reported outcome by losses once their server is no longer listed or their
    /// caller has given up.
    fn settle_runs(&mut self, now: TimeUs, list: &ServerList) {
        for run in std::mem::take(&mut self.runs) {
            let is_listed = run.server.is_listed(list);
            if is_listed && now < run.expires_at {
                self.runs.push(run);
                continue;
            }
            let state = if is_listed {
                EndState::Suspected
            } else {
                EndState::Confirmed
            };
            self.add_end(ServerEnd {
                server: run.server,
                lost_at: now,
                state,
            });
        }
    }
}

/// The requests under which servers have ended, as one process knows them.
#[derive(Debug)]
pub struct EndedServers {
    requests: ExpiringMap<RequestKey, RequestEnds>,
}

impl Default for EndedServers {
    fn default() -> Self {
        Self {
            requests: ExpiringMap::new(MAX_REQUESTS),
        }
    }
}

impl EndedServers {
    /// Returns what is known of a request.
    #[must_use]
    pub fn get(&self, now: TimeUs, key: RequestKey) -> Option<&RequestEnds> {
        let (request, _) = self.requests.get(now, &key)?;
        Some(request)
    }

    /// Returns the number of servers that ended under a request.
    #[must_use]
    pub fn count(&self, now: TimeUs, key: RequestKey) -> usize {
        self.get(now, key).map_or(0, RequestEnds::count)
    }

    /// Returns the ids of the servers that ended under a request.
    #[must_use]
    pub fn ended_ids(&self, now: TimeUs, key: RequestKey) -> Vec<&str> {
        let ends = self
            .get(now, key)
            .into_iter()
            .flat_map(RequestEnds::counted);
        ends.map(|end| end.server.id.as_str()).collect()
    }

    /// Returns how long the caller of a given-up request should wait: until it is forgotten, or until
    /// it is certain that the servers have ended.
    #[must_use]
    pub fn retry_after(&self, now: TimeUs, key: RequestKey) -> SpanUs {
        let Some((request, expires_at)) = self.requests.get(now, &key) else {
            return SpanUs(0);
        };
        if request
            .ends
            .iter()
            .all(|end| end.state == EndState::Confirmed)
        {
            expires_at.since(now)
        } else {
            LIST_LAG_US
        }
    }

    /// Records that a server lost a response and has ended, or may have.
    pub fn record(&mut self, now: TimeUs, key: RequestKey, end: ServerEnd) {
        self.change(now, key, |request| request.add_end(end));
    }

    /// Records that a server has ended under a request.
    pub fn record_end(&mut self, now: TimeUs, key: RequestKey, server: ServerStart) {
        let end = ServerEnd {
            server,
            lost_at: now,
            state: EndState::Ended,
        };
        self.record(now, key, end);
    }

    /// Records the start of a run, or returns false and records nothing: if it and another request's
    /// run at the same server are both isolated, or if the outcome of the same request's other runs
    /// must be awaited.
    pub fn start_run(&mut self, now: TimeUs, key: RequestKey, run: OpenRun) -> bool {
        let request = self.get(now, key);
        if request.is_some_and(|request| request.awaits_others(now, run.id)) {
            return false;
        }
        if run.is_isolated && self.isolated_servers(now, key).contains(&run.server.id) {
            return false;
        }
        self.change(now, key, |request| request.add_run(run));
        true
    }

    /// Records that a run is over and its server has not ended.
    pub fn finish_run(&mut self, now: TimeUs, key: RequestKey, run_id: u64) {
        if let Some(request) = self.requests.get_mut(now, &key) {
            request.runs.retain(|run| run.id != run_id);
        }
    }

    /// Forgets a request that a server has answered: it does not end the servers that run it.
    pub fn forget(&mut self, key: RequestKey) {
        self.requests.remove(&key);
    }

    /// Returns the runs of a request that are not known to be over.
    #[must_use]
    pub fn open_runs(&self, now: TimeUs, key: RequestKey) -> Vec<OpenRun> {
        let runs = self.get(now, key).into_iter().flat_map(|r| &r.runs);
        runs.filter(|run| now < run.expires_at).cloned().collect()
    }

    /// Returns the ids of the servers at which other requests than `key` run isolated.
    #[must_use]
    pub fn isolated_servers(&self, now: TimeUs, key: RequestKey) -> BTreeSet<String> {
        let others = self.requests.iter(now).filter(|(other, _)| **other != key);
        let runs = others.flat_map(|(_, request)| &request.runs);
        runs.filter(|run| run.is_isolated && now < run.expires_at)
            .map(|run| run.server.id.clone())
            .collect()
    }

    /// Adds what a peer knows of a request; returns false if one of its runs may not start, as
    /// [`start_run`](Self::start_run) does.
    pub fn merge(&mut self, now: TimeUs, key: RequestKey, known: RequestEnds) -> bool {
        if known.ends.is_empty() && known.runs.is_empty() {
            return true;
        }
        self.change(now, key, |request| {
            for end in known.ends {
                request.add_end(end);
            }
        });
        let mut is_accepted = true;
        for run in known.runs {
            is_accepted &= self.start_run(now, key, run);
        }
        is_accepted
    }

    /// Adds a recorded loss, which is remembered until `expires_at`.
    pub fn load_end(&mut self, now: TimeUs, key: RequestKey, end: ServerEnd, expires_at: TimeUs) {
        self.change_until(now, key, expires_at, |request| request.add_end(end));
    }

    /// Adds a recorded run, which is remembered until `expires_at`.
    pub fn load_run(&mut self, now: TimeUs, key: RequestKey, run: OpenRun, expires_at: TimeUs) {
        self.change_until(now, key, expires_at, |request| request.add_run(run));
    }

    /// Returns the servers that may have ended under a request and that lost its response at least
    /// `age` ago.
    #[must_use]
    pub fn suspected_of(&self, now: TimeUs, key: RequestKey, age: SpanUs) -> Vec<ServerStart> {
        let ends = self.get(now, key).into_iter().flat_map(|r| &r.ends);
        let suspected = ends.filter(|end| end.state.is_undecided());
        suspected
            .filter(|end| now.since(end.lost_at) >= age)
            .map(|end| end.server.clone())
            .collect()
    }

    /// Returns the servers of a request's runs whose outcome is not known.
    #[must_use]
    pub fn run_servers(&self, now: TimeUs, key: RequestKey) -> BTreeSet<ServerStart> {
        let runs = self.get(now, key).into_iter().flat_map(|r| &r.runs);
        runs.map(|run| run.server.clone()).collect()
    }

    /// Returns the servers that may have ended, with the last time that each lost a response.
    #[must_use]
    pub fn suspected(&self, now: TimeUs) -> BTreeMap<ServerStart, TimeUs> {
        let mut suspected = BTreeMap::new();
        let ends = self.requests.iter(now).flat_map(|(_, r)| &r.ends);
        for end in ends.filter(|end| end.state.is_undecided()) {
            let lost_at = suspected.entry(end.server.clone()).or_default();
            *lost_at = end.lost_at.max(*lost_at);
        }
        suspected
    }

    /// Returns the servers that are silent.
    #[must_use]
    pub fn silent(&self, now: TimeUs) -> BTreeSet<ServerStart> {
        let ends = self.requests.iter(now).flat_map(|(_, r)| &r.ends);
        ends.filter(|end| end.state == EndState::Silent)
            .map(|end| end.server.clone())
            .collect()
    }

    /// Records that a suspected server has ended; returns the requests under which it has.
    pub fn mark_ended(&mut self, server: &ServerStart) -> Vec<RequestKey> {
        let mut found = Vec::new();
        self.requests.retain(|key, request| {
            let ends = request.ends.iter_mut();
            for end in ends.filter(|end| end.server == *server) {
                if end.state.is_undecided() {
                    end.state = EndState::Ended;
                    found.push(*key);
                }
            }
            true
        });
        found
    }

    /// Records that a server which may have ended under a request does not respond.
    pub fn mark_silent(&mut self, now: TimeUs, key: RequestKey, server: &ServerStart) {
        let request = self.requests.get_mut(now, &key);
        let ends = request.into_iter().flat_map(|request| &mut request.ends);
        for end in ends.filter(|end| end.server == *server) {
            if end.state == EndState::Suspected {
                end.state = EndState::Silent;
            }
        }
    }

    /// Records that a server does not respond; returns the requests that it may have ended under, as
    /// far as it was not known to be silent.
    pub fn mark_all_silent(&mut self, server: &ServerStart) -> Vec<RequestKey> {
        let mut found = Vec::new();
        self.requests.retain(|key, request| {
            let ends = request.ends.iter_mut();
            for end in ends.filter(|end| end.server == *server) {
                if end.state == EndState::Suspected {
                    end.state = EndState::Silent;
                    found.push(*key);
                }
            }
            true
        });
        found
    }

    /// Records that a server responds and is not silent.
    pub fn mark_responding(&mut self, server: &ServerStart) {
        self.requests.retain(|_, request| {
            let ends = request.ends.iter_mut();
            for end in ends.filter(|end| end.server == *server) {
                if end.state == EndState::Silent {
                    end.state = EndState::Suspected;
                }
            }
            true
        });
    }

    /// Updates the states of the servers by a current list of servers; returns the requests under
    /// which a suspected one turned out to have ended and of which peers may not know.
    pub fn apply_list(&mut self, now: TimeUs, list: &ServerList) -> Vec<RequestKey> {
        let mut found = Vec::new();
        self.requests.retain(|key, request| {
            let is_shared = request.is_shared();
            request.settle_runs(now, list);
            for end in &mut request.ends {
                if !end.server.is_listed(list) {
                    if end.state.is_undecided() && !is_shared {
                        found.push(*key);
                    }
                    end.state = EndState::Confirmed;
                }
            }
            request.ends.retain(|end| {
                !end.state.is_undecided() || now.since(end.lost_at) < ENTRY_EXPIRY_US
            });
            !request.ends.is_empty() || !request.runs.is_empty()
        });
        found.dedup();
        found
    }

    /// Returns the servers that are counted as ended and still listed although a list would show
    /// by now that they have started again.
    #[must_use]
    pub fn doubtful(&self, now: TimeUs) -> BTreeSet<ServerStart> {
        let ends = self.requests.iter(now).flat_map(|(_, r)| &r.ends);
        ends.filter(|end| end.state == EndState::Ended && now.since(end.lost_at) >= LIST_LAG_US)
            .map(|end| end.server.clone())
            .collect()
    }

    /// Forgets that a server ended, because it responds.
    pub fn remove_server(&mut self, server: &ServerStart) {
        self.requests.retain(|_, request| {
            request.ends.retain(|end| end.server != *server);
            !request.ends.is_empty()
        });
    }

    /// Returns up to `limit` requests with all that is known of them, those with the most ended
    /// servers first.
    #[must_use]
    pub fn newest(&self, now: TimeUs, limit: usize) -> BTreeMap<RequestKey, RequestEnds> {
        let mut requests: Vec<_> = self.requests.iter(now).collect();
        requests.sort_by_key(|(_, request)| std::cmp::Reverse(request.count()));
        let first = requests.into_iter().take(limit);
        first
            .map(|(key, request)| (*key, request.clone()))
            .collect()
    }

    /// Forgets the requests that have expired.
    pub fn expire(&mut self, now: TimeUs) {
        self.requests.expire(now);
    }

    /// Returns the number of requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns whether there are no requests.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Changes a request and prolongs its retention.
    fn change(&mut self, now: TimeUs, key: RequestKey, change: impl FnOnce(&mut RequestEnds)) {
        self.change_until(now, key, now.after(RETENTION_US), change);
    }

    /// Changes a request, which is remembered until `expires_at` at least.
    fn change_until(
        &mut self,
        now: TimeUs,
        key: RequestKey,
        expires_at: TimeUs,
        change: impl FnOnce(&mut RequestEnds),
    ) {
        let known = self.requests.get(now, &key);
        let expires_at = known.map_or(expires_at, |(_, known)| known.max(expires_at));
        let mut request = self.requests.remove(&key).unwrap_or_default();
        change(&mut request);
        self.requests.insert(now, key, request, expires_at);
    }
}
