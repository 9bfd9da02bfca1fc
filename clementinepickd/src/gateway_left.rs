//! Tracks the runs of requests whose servers may still work on them: those that are in progress, and
//! those that were given up.
//!
//! A server may end seconds after its gateway has given up a run, while the caller returns to another
//! one. A request therefore never puts more servers at risk than it may end: once that many have ended
//! or may still work on it, it runs only where it may still run.

use std::collections::BTreeSet;
use std::time::Instant;

use clementinepick::ended_servers::{EndState, OpenRun, ServerStart};
use clementinepick::request_key::RequestKey;
use clementinepick::server_list::BackendServer;

use crate::gateway_ended::SharedRun;
use crate::gateway_ended_messages::SharedRequest;
use crate::gateway_peer_updates::PeerUpdate;
use crate::gateway_shared::Shared;

/// A request of which peers are told without waiting for them, and runs of it that start.
#[derive(Debug, Clone)]
pub(crate) struct AnnouncedRequest {
    pub(crate) key: RequestKey,
    pub(crate) runs: Vec<OpenRun>,
}

impl Shared {
    /// Records that the run of a request at a server is given up and may go on, and tells peers.
    pub(crate) fn record_left(&self, key: RequestKey, server: &ServerStart, state: EndState) {
        self.add_end(key, server, state);
        self.request_log.keep_left(key, server, Instant::now());
        self.announce(key, Vec::new());
    }

    /// Tells peers of the start of a run, if anything is known of its request, and does not wait for them.
    pub(crate) fn announce_run(&self, key: RequestKey, run: OpenRun) -> Option<SharedRun> {
        if !self.has_ends_of(key) || !self.start_known_run(key, &run, Instant::now()) {
            return None;
        }
        let shared_run = SharedRun::new(key, &run);
        self.announce(key, vec![run]);
        Some(shared_run)
    }

    /// Tells peers what is known of a request, and of runs of it that start, without waiting for them.
    pub(crate) fn announce(&self, key: RequestKey, runs: Vec<OpenRun>) {
        let request = AnnouncedRequest { key, runs };
        // The receiver ends only with the process.
        let _ = self.updates.send(PeerUpdate::Request(request));
    }

    /// Returns the start of a listed server that would run a request now.
    pub(crate) fn current_start(&self, key: RequestKey, server: &BackendServer) -> ServerStart {
        let now = self.now_us(Instant::now());
        self.ended.known.borrow().current_start(now, key, server)
    }

    /// Returns whether anything is known of a request.
    pub(crate) fn has_ends_of(&self, key: RequestKey) -> bool {
        let now = self.now_us(Instant::now());
        self.ended.known.borrow().get(now, key).is_some()
    }

    /// Returns whether a request has lost responses, as opposed to runs that were only given up.
    pub(crate) fn has_lost_responses(&self, key: RequestKey) -> bool {
        let now = self.now_us(Instant::now());
        let known = self.ended.known.borrow();
        let ends = known.get(now, key).into_iter().flat_map(|r| &r.ends);
        ends.into_iter().any(|end| !end.state.is_given_up())
    }

    /// Returns the ids of the only servers at which a request may run, if it must not put another one at
    /// risk; the server `running` is already.
    pub(crate) fn confinement(
        &self,
        key: RequestKey,
        running: Option<&str>,
    ) -> Option<BTreeSet<String>> {
        let now = self.now_us(Instant::now());
        let known = self.ended.known.borrow();
        known.get(now, key)?.confinement(now, running)
    }

    /// Returns what is known of some requests, for a peer.
    pub(crate) fn known_requests(
        &self,
        requests: &[AnnouncedRequest],
        now: Instant,
    ) -> Vec<SharedRequest> {
        let requests = requests.iter();
        let known =
            requests.filter_map(|request| self.ended_request(request.key, &request.runs, now));
        known.collect()
    }
}
