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
//!     unlisted_restarts: 0,
//! };
//! ended.record_end(TimeUs(0), key, server);
//! assert_eq!(ended.count(TimeUs(1), key), 1);
//! ```

use std::collections::{BTreeMap, BTreeSet};

use crate::expiring_map::ExpiringMap;
use crate::request_ends::{ENTRY_EXPIRY_US, LIST_LAG_US};
use crate::request_key::RequestKey;
use crate::server_list::{BackendServer, ServerList};
use crate::units::{SpanUs, TimeUs};

pub use crate::request_ends::{
    EndState, HANG_CHECK_US, OpenRun, RequestEnds, ServerEnd, ServerStart,
};

/// The number of servers after which a request is given up.
pub const MAX_ENDED_SERVERS: usize = 3;
/// A request that has ended this many servers is isolated from others that have.
pub const ISOLATION_THRESHOLD: usize = 2;

/// How long a request is remembered after the last server that ended under it.
pub const RETENTION_US: SpanUs = SpanUs::from_s(300);
/// The maximum number of requests, about 6 MB.
const MAX_REQUESTS: usize = 16_384;

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

/// Returns how long a request is remembered because of `ends`: servers that it only left matter for
/// as long as they may end.
fn retention(ends: &[ServerEnd]) -> SpanUs {
    if ends.iter().all(|end| end.state == EndState::Left) {
        ENTRY_EXPIRY_US
    } else {
        RETENTION_US
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

    /// Returns how long the caller of a given-up request should wait: until it is forgotten, until it is
    /// certain that the servers have ended, or until one of them no longer works on the request.
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
        } else if request.count() < MAX_ENDED_SERVERS {
            request.confinement_left(now).unwrap_or_default()
        } else {
            LIST_LAG_US
        }
    }

    /// Records that a server lost a response and has ended, or may have.
    pub fn record(&mut self, now: TimeUs, key: RequestKey, end: ServerEnd) {
        let expires_at = now.after(retention(std::slice::from_ref(&end)));
        self.change_until(now, key, expires_at, |request| request.add_end(end));
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

    /// Returns the start of a listed server that would run a request now.
    #[must_use]
    pub fn current_start(
        &self,
        now: TimeUs,
        key: RequestKey,
        server: &BackendServer,
    ) -> ServerStart {
        self.get(now, key).map_or_else(
            || ServerStart::of(server),
            |request| request.current_start(server),
        )
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
        let expires_at = now.after(retention(&known.ends));
        self.change_until(now, key, expires_at, |request| {
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
    /// `age` ago; those that were left only if the request may run nowhere else.
    #[must_use]
    pub fn suspected_of(&self, now: TimeUs, key: RequestKey, age: SpanUs) -> Vec<ServerStart> {
        let Some(request) = self.get(now, key) else {
            return Vec::new();
        };
        let is_confined = request.confinement(now, None).is_some();
        let suspected = request.ends.iter().filter(|end| match end.state {
            EndState::Left => is_confined && end.may_end(now),
            _ => end.may_end(now),
        });
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
        let ends = self.requests.iter(now).flat_map(|(_, request)| {
            let ends = request.ends.iter();
            ends.filter(|end| request.is_worth_asking(now, end))
        });
        for end in ends {
            let lost_at = suspected.entry(end.server.clone()).or_default();
            *lost_at = end.lost_at.max(*lost_at);
        }
        suspected
    }

    /// Returns the servers that were left with a run and are listed no longer: they may have ended, or
    /// have been removed as planned and go on.
    #[must_use]
    pub fn unlisted_left(&self, now: TimeUs, list: &ServerList) -> BTreeSet<ServerStart> {
        let requests = self.requests.iter(now);
        let left = requests.flat_map(|(_, request)| request.unlisted_left(list));
        left.cloned().collect()
    }

    /// Forgets runs that were left at a server which goes on after it was removed from the list.
    pub fn remove_left(&mut self, server: &ServerStart) {
        self.requests.retain(|_, request| {
            request.remove_left(server);
            !request.ends.is_empty() || !request.runs.is_empty()
        });
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
            if end.state.is_undecided() && end.state != EndState::Hung {
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
                let is_uncertain = end.state.is_undecided() && end.state != EndState::Hung;
                if is_uncertain && end.state != EndState::Silent {
                    end.state = EndState::Silent;
                    found.push(*key);
                }
            }
            true
        });
        found
    }

    /// Records that a server responded at `heard_at` and is not silent; it may have started again.
    /// Returns whether it was known as one that had sent nothing since a run.
    pub fn mark_responding(&mut self, server: &ServerStart, heard_at: TimeUs) -> bool {
        let mut was_unheard = false;
        self.requests.retain(|_, request| {
            let ends = request.ends.iter_mut();
            for end in ends.filter(|end| end.server == *server && end.lost_at <= heard_at) {
                was_unheard |= end.state.is_unheard();
                end.state = match end.state {
                    EndState::Silent | EndState::Hung => EndState::Unproven,
                    EndState::Unheard => EndState::Left,
                    state => state,
                };
            }
            true
        });
        was_unheard
    }

    /// Records that a server accepts connections, which one that hangs does, too.
    pub fn mark_accepting(&mut self, server: &ServerStart) {
        self.requests.retain(|_, request| {
            let ends = request.ends.iter_mut();
            for end in ends.filter(|end| end.server == *server) {
                if end.state == EndState::Silent {
                    end.state = EndState::Unproven;
                }
            }
            true
        });
    }

    /// Returns the servers that have sent nothing since a run was given up, with the time of the last
    /// one.
    #[must_use]
    pub fn unheard(&self, now: TimeUs) -> BTreeMap<ServerStart, TimeUs> {
        let mut unheard = BTreeMap::new();
        let ends = self.requests.iter(now).flat_map(|(_, r)| &r.ends);
        for end in ends.filter(|end| end.state.is_unheard()) {
            let lost_at = unheard.entry(end.server.clone()).or_default();
            *lost_at = end.lost_at.max(*lost_at);
        }
        unheard
    }

    /// Records that a server accepts connections and did not respond to a health check in time.
    pub fn mark_unheard(&mut self, now: TimeUs, server: &ServerStart) {
        self.requests.retain(|_, request| {
            let ends = request.ends.iter_mut();
            for end in ends.filter(|end| end.server == *server) {
                if matches!(end.state, EndState::Left | EndState::Suspected) {
                    // What it sent before this health check says nothing.
                    end.lost_at = now;
                    end.state = EndState::Unheard;
                }
            }
            true
        });
    }

    /// Records that a server which was not heard since a run hangs; returns the requests of those runs.
    pub fn mark_hung(&mut self, server: &ServerStart) -> Vec<RequestKey> {
        let mut found = Vec::new();
        self.requests.retain(|key, request| {
            let ends = request.ends.iter_mut();
            for end in ends.filter(|end| end.server == *server) {
                if end.state == EndState::Unheard {
                    end.state = EndState::Hung;
                    found.push(*key);
                }
            }
            true
        });
        found
    }

    /// Updates the states of the servers by a current list of servers; returns the requests under
    /// which a suspected one turned out to have ended and of which peers may not know.
    pub fn apply_list(&mut self, now: TimeUs, list: &ServerList) -> Vec<RequestKey> {
        let mut found = Vec::new();
        self.requests.retain(|key, request| {
            let is_shared = request.is_shared();
            if request.apply_list(now, list) && !is_shared {
                found.push(*key);
            }
            !request.ends.is_empty() || !request.runs.is_empty()
        });
        found
    }

    /// Returns the servers that are counted as ended and still listed although the list, current since
    /// `current_since`, would show by now that they have started again. A list that was not current then
    /// shows that only of servers that report their start time.
    #[must_use]
    pub fn doubtful(&self, now: TimeUs, current_since: TimeUs) -> BTreeSet<ServerStart> {
        let ends = self.requests.iter(now).flat_map(|(_, r)| &r.ends);
        ends.filter(|end| end.state == EndState::Ended && now.since(end.lost_at) >= LIST_LAG_US)
            .filter(|end| end.lost_at >= current_since || end.server.started_unix_ms.is_some())
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
