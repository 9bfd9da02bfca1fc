//! Finds out whether a server that broke off a response has ended, although it may have started again
//! under its id and no list shows that.
//!
//! All connections of a server end with it. One that was open before the run and is still in use
//! afterwards, the *witness*, therefore shows that the server is the same start.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use clementinepick::ended_servers::ServerStart;

use crate::gateway_shared::Shared;
use crate::outbound::Connection;
use crate::outbound_pool::is_stale;
use crate::server_probe::{ServerFate, WitnessState, check_witness, probe};

/// How long opening a witness may delay a run.
const OPEN_TIMEOUT: Duration = Duration::from_millis(50);

/// What is known of a run whose response was broken off.
pub(crate) struct BrokenRun<'a> {
    pub(crate) server: &'a ServerStart,
    pub(crate) started_at: Instant,
    pub(crate) witness: Option<Connection>,
    pub(crate) health_path: Option<&'a str>,
}

impl Shared {
    /// Takes an idle connection to a server, or opens one, to be kept beside a run; `None` if there is
    /// none within a short time.
    pub(crate) async fn open_witness(&self, address: SocketAddr) -> Option<Connection> {
        let opened = self
            .pool
            .acquire_server(address, OPEN_TIMEOUT, Instant::now());
        // A failure costs certainty only: the end of the server may be unproven.
        opened.await.ok()
    }

    /// Finds out what became of a server that broke off a response.
    pub(crate) async fn find_fate_of_broken(&self, run: BrokenRun<'_>) -> ServerFate {
        let BrokenRun {
            server,
            started_at,
            witness,
            health_path,
        } = run;
        let address = server.address;
        let kept = witness.filter(|witness| !is_stale(witness, Instant::now()));
        let is_kept = kept.is_some();
        let witness = kept.or_else(|| self.pool.take_older(address, started_at));
        let state = match witness {
            Some(witness) => check_witness(witness, server, health_path).await,
            None => WitnessState::Unclear,
        };
        if state == WitnessState::Intact {
            return ServerFate::Alive;
        }
        // The server may have closed a connection that was idle for longer.
        let is_broken = state == WitnessState::Broken && is_kept;
        if is_broken && !self.pool.are_others_broken(address, started_at) {
            // One that resets further connections, too, is at their limit.
            return match probe(address, &server.id, health_path).await {
                ServerFate::Alive | ServerFate::Responding | ServerFate::Ended => ServerFate::Ended,
                fate @ (ServerFate::Accepting | ServerFate::Hanging | ServerFate::Unknown) => fate,
            };
        }
        if self.is_heard(server, Instant::now()) {
            return ServerFate::Responding;
        }
        probe(address, &server.id, health_path).await
    }
}
