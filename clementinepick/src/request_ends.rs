//! Holds what is known of one request that has lost responses: the servers that lost them, and its
//! runs.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ended_servers::MAX_ENDED_SERVERS;
use crate::server_list::{BackendServer, ServerList};
use crate::units::{SpanUs, TimeUs};

/// The maximum number of servers and of runs that are remembered of one request. A request has more
/// ended servers than [`MAX_ENDED_SERVERS`] only if copies of it run at the same time.
const MAX_OF_REQUEST: usize = 8;
/// How long a server that lost a response stays listed if it has ended, at most: three heartbeats
/// and the age of the list.
pub(crate) const ENTRY_EXPIRY_US: SpanUs = SpanUs::from_s(10);
/// The maximum age of the list of servers. A server that started again under its id is listed with
/// its new start time after this long.
pub(crate) const LIST_LAG_US: SpanUs = SpanUs::from_s(2);
/// How long a server may work on a run that its gateway has given up.
const LEFT_RUN_US: SpanUs = SpanUs::from_s(3);

/// How long it takes to find out whether a server hangs.
pub const HANG_CHECK_US: SpanUs = SpanUs::from_s(2);

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
    /// How often it was seen to have started again under its id without a list that shows it.
    #[serde(rename = "n", default, skip_serializing_if = "is_zero")]
    pub unlisted_restarts: u32,
}

#[allow(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
fn is_zero(count: &u32) -> bool {
    *count == 0
}

impl ServerStart {
    /// Returns the start of a listed server.
    #[must_use]
    pub fn of(server: &BackendServer) -> Self {
        Self {
            id: server.id.clone(),
            started_unix_ms: server.started_unix_ms,
            address: server.address,
            unlisted_restarts: 0,
        }
    }

    /// Returns this start as a list shows it.
    #[must_use]
    pub fn as_listed(&self) -> Self {
        Self {
            unlisted_restarts: 0,
            ..self.clone()
        }
    }

    /// Returns whether this start of the server is listed.
    #[must_use]
    pub fn is_listed(&self, list: &ServerList) -> bool {
        let server = list.servers.get(&self.id);
        server.is_some_and(|server| server.started_unix_ms == self.started_unix_ms)
    }

    fn is_draining(&self, list: &ServerList) -> bool {
        let server = list.servers.get(&self.id);
        server.is_some_and(|server| server.is_draining)
    }
}

/// What is known of a server that lost the response to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum EndState {
    /// It responded when its run was given up, and may still work on it. Not counted.
    Left,
    /// It accepted connections and has sent nothing to anyone since its run was given up. Not counted, and
    /// no further server is put at risk beside it without limit of time.
    Unheard,
    /// The same after several health checks: it hangs, and counts until it is heard.
    Hung,
    /// It has responded since, or is not known to be silent, and may yet end. Not counted.
    Suspected,
    /// It broke off the response, and a server responds under its id: it may be the same start or the
    /// next one. Counted only beside a server that is known to have ended.
    Unproven,
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
            Self::Left
            | Self::Unheard
            | Self::Hung
            | Self::Suspected
            | Self::Unproven
            | Self::Silent => true,
            Self::Ended | Self::Confirmed => false,
        }
    }

    /// Returns whether the server is known to have ended.
    #[must_use]
    pub fn is_known_end(self) -> bool {
        match self {
            Self::Ended | Self::Confirmed => true,
            Self::Left
            | Self::Unheard
            | Self::Hung
            | Self::Suspected
            | Self::Unproven
            | Self::Silent => false,
        }
    }

    /// Returns whether the server has sent nothing since its run was given up, though it accepts
    /// connections.
    #[must_use]
    pub fn is_unheard(self) -> bool {
        match self {
            Self::Unheard | Self::Hung => true,
            Self::Left
            | Self::Suspected
            | Self::Unproven
            | Self::Silent
            | Self::Ended
            | Self::Confirmed => false,
        }
    }

    /// Returns whether the run was only given up, and nothing shows that it was lost.
    #[must_use]
    pub fn is_given_up(self) -> bool {
        matches!(self, Self::Left | Self::Unheard)
    }

    /// Returns whether the server counts, whatever is known of others.
    fn is_counted(self) -> bool {
        match self {
            Self::Hung | Self::Silent | Self::Ended | Self::Confirmed => true,
            Self::Left | Self::Unheard | Self::Suspected | Self::Unproven => false,
        }
    }

    /// Returns whether a report of `new` replaces this state. A peer that knows of no silence may
    /// have known the server for longer.
    fn yields_to(self, new: Self) -> bool {
        match self {
            Self::Suspected => true,
            // Further runs there don't prolong the time in which the server is at risk.
            Self::Left => !matches!(new, Self::Suspected | Self::Left),
            Self::Unheard | Self::Unproven | Self::Silent => {
                !matches!(new, Self::Suspected | Self::Left | Self::Unheard)
            }
            Self::Hung => matches!(new, Self::Unproven | Self::Ended | Self::Confirmed),
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

impl ServerEnd {
    /// Returns whether the server may have ended under the request: one that did not within the time in
    /// which its entry expires ended for another reason, if at all.
    pub(crate) fn may_end(&self, now: TimeUs) -> bool {
        let is_recent = now.since(self.lost_at) < ENTRY_EXPIRY_US;
        match self.state {
            EndState::Left | EndState::Suspected | EndState::Unproven => is_recent,
            EndState::Unheard | EndState::Hung | EndState::Silent => true,
            EndState::Ended | EndState::Confirmed => false,
        }
    }
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
    /// Returns the servers that count: beside a known end, one other may have been broken off by the
    /// end of its server, too.
    pub(crate) fn counted(&self) -> impl Iterator<Item = &ServerEnd> {
        let has_known_end = self.ends.iter().any(|end| end.state.is_known_end());
        let unproven = self
            .ends
            .iter()
            .filter(move |end| has_known_end && end.state == EndState::Unproven);
        let counted = self.ends.iter().filter(|end| end.state.is_counted());
        counted.chain(unproven.take(1))
    }

    /// Returns the number of servers that ended under the request or are silent: until it is known
    /// which, no further one may be put at risk.
    #[must_use]
    pub fn count(&self) -> usize {
        self.counted().count()
    }

    /// Returns whether peers must know of the request: a server has ended under it or may have, may
    /// still work on it, or it has lost several responses, whose servers may yet turn out to have ended.
    #[must_use]
    pub fn is_shared(&self) -> bool {
        self.ends.len() > 1 || self.ends.iter().any(|end| end.state != EndState::Suspected)
    }

    /// Returns the start of a listed server that would run the request now: one that has ended under it,
    /// or may have, and accepts requests may be another start, whatever the list says.
    #[must_use]
    pub fn current_start(&self, server: &BackendServer) -> ServerStart {
        let listed = ServerStart::of(server);
        let known = self
            .ends
            .iter()
            .filter(|end| end.server.as_listed() == listed);
        let Some(last) = known.max_by_key(|end| end.server.unlisted_restarts) else {
            return listed;
        };
        let may_be_next = last.state.is_known_end() || last.state == EndState::Unproven;
        ServerStart {
            unlisted_restarts: last.server.unlisted_restarts + u32::from(may_be_next),
            ..listed
        }
    }

    /// Returns the servers that may still work on runs which were given up, each with the time that is
    /// left until it no longer does.
    fn left(&self, now: TimeUs) -> impl Iterator<Item = (&ServerStart, SpanUs)> {
        self.ends.iter().filter_map(move |end| {
            let left_us = match end.state {
                EndState::Left => LEFT_RUN_US.0.checked_sub(now.since(end.lost_at).0)?,
                EndState::Unheard => HANG_CHECK_US.0,
                _ => return None,
            };
            (left_us > 0).then_some((&end.server, SpanUs(left_us)))
        })
    }

    /// Returns the ids of the only servers at which the request may run, if its next run could put one
    /// too many at risk otherwise: those that run it, or may still work on it. `running` does, too.
    #[must_use]
    pub fn confinement(&self, now: TimeUs, running: Option<&str>) -> Option<BTreeSet<String>> {
        let left = self.left(now).map(|(server, _)| server.id.as_str());
        let runs = self.runs.iter().filter(|run| now < run.expires_at);
        let runs = runs.map(|run| run.server.id.as_str());
        let at_risk: BTreeSet<&str> = left.chain(runs).chain(running).collect();
        let is_confined = self.count() + at_risk.len() >= MAX_ENDED_SERVERS;
        is_confined.then(|| at_risk.into_iter().map(str::to_owned).collect())
    }

    /// Returns how long it takes until one of the servers that run the request, or may still work on it,
    /// does so no longer.
    #[must_use]
    pub fn confinement_left(&self, now: TimeUs) -> Option<SpanUs> {
        let left = self.left(now).map(|(_, left)| left);
        let runs = self.runs.iter().filter(|run| now < run.expires_at);
        let runs = runs.map(|run| run.expires_at.since(now));
        left.chain(runs).min()
    }

    /// Returns the servers that were left with a run and are listed no longer.
    pub(crate) fn unlisted_left(&self, list: &ServerList) -> impl Iterator<Item = &ServerStart> {
        let left = self.ends.iter().filter(|end| end.state == EndState::Left);
        left.map(|end| &end.server)
            .filter(|server| !server.is_listed(list))
    }

    /// Forgets that a server was left with a run.
    pub(crate) fn remove_left(&mut self, server: &ServerStart) {
        let is_left = |end: &ServerEnd| end.state == EndState::Left && end.server == *server;
        self.ends.retain(|end| !is_left(end));
    }

    /// Returns whether a server that may have ended has to be asked: one that was left only if the
    /// request has met several such servers.
    pub(crate) fn is_worth_asking(&self, now: TimeUs, end: &ServerEnd) -> bool {
        let left = || self.ends.iter().filter(|end| end.state == EndState::Left);
        end.may_end(now) && (end.state != EndState::Left || self.count() + left().count() > 1)
    }

    /// Updates the states of the servers by a current list of servers; returns whether one that may
    /// have ended turned out to have.
    pub(crate) fn apply_list(&mut self, now: TimeUs, list: &ServerList) -> bool {
        self.settle_runs(now, list);
        let mut has_found = false;
        for end in &mut self.ends {
            let is_absent = !list.servers.contains_key(&end.server.id);
            // A server that works on a run that was left may have gone as planned.
            let may_go_on = end.state == EndState::Left && is_absent;
            let may_have_ended = end.state.is_known_end() || end.may_end(now);
            if may_have_ended && !may_go_on && !end.server.is_listed(list) {
                has_found |= end.state.is_undecided();
                end.state = EndState::Confirmed;
            }
        }
        for end in &mut self.ends {
            let would_show_restart =
                end.server.started_unix_ms.is_some() && now.since(end.lost_at) >= LIST_LAG_US;
            if end.state == EndState::Unproven && would_show_restart {
                end.state = EndState::Suspected;
            }
        }
        let has_known_end = self.ends.iter().any(|end| end.state.is_known_end());
        self.ends.retain(|end| {
            let is_recent = now.since(end.lost_at) < ENTRY_EXPIRY_US;
            match end.state {
                EndState::Left => is_recent && !end.server.is_draining(list),
                EndState::Suspected | EndState::Silent => is_recent,
                // It counts for as long as the known end.
                EndState::Unproven => is_recent || has_known_end,
                EndState::Unheard | EndState::Hung | EndState::Ended | EndState::Confirmed => true,
            }
        });
        has_found
    }

    /// Returns whether the request would be given up if the servers of all its runs but `run_id`
    /// ended.
    pub(crate) fn awaits_others(&self, now: TimeUs, run_id: u64) -> bool {
        let others = self.runs.iter();
        let others = others.filter(|run| run.id != run_id && now < run.expires_at);
        let (count, open) = (self.count(), others.count());
        open > 0 && count > 0 && count + open >= MAX_ENDED_SERVERS
    }

    pub(crate) fn add_end(&mut self, new: ServerEnd) {
        self.runs.retain(|run| run.server != new.server);
        if let Some(end) = self.ends.iter_mut().find(|end| end.server == new.server) {
            if end.state.yields_to(new.state) {
                *end = new;
            }
            return;
        }
        if self.ends.len() >= MAX_OF_REQUEST {
            let uncounted = self.ends.iter().position(|end| !end.state.is_counted());
            uncounted.map(|oldest| self.ends.remove(oldest));
        }
        if self.ends.len() < MAX_OF_REQUEST {
            self.ends.push(new);
        }
    }

    pub(crate) fn add_run(&mut self, new: OpenRun) {
        let has_ended = self.counted().any(|end| end.server == new.server);
        let is_known = self.runs.iter().any(|run| run.id == new.id);
        if !has_ended && !is_known && self.runs.len() < MAX_OF_REQUEST {
            self.runs.push(new);
        }
    }

    /// Replaces runs without a reported outcome by losses once their server is no longer listed or their
    /// caller has given up. The gateway of such a run may be stalled, or be lost.
    fn settle_runs(&mut self, now: TimeUs, list: &ServerList) {
        for run in std::mem::take(&mut self.runs) {
            let is_listed = run.server.is_listed(list);
            if is_listed && now < run.expires_at {
                self.runs.push(run);
                continue;
            }
            let state = if is_listed {
                EndState::Unheard
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
