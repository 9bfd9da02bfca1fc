//! Shows that a server which reports no start time still is the listed start although a connection to it
//! broke.
//!
//! All connections to a server end with its process. One that works leads to the process that ran when it
//! was opened, and a list describes that process if it was read long enough after. A gateway whose own
//! connections broke asks peers that may have such a connection.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use actix_rt::time::sleep;
use bytes::Bytes;
use clementinepick::rendezvous::rank_addresses;
use clementinepick::server_list::{BackendServer, SoftwareVersion};
use clementinepick::start_doubts::described_before;
use futures_util::future::join_all;
use futures_util::stream::{FuturesUnordered, StreamExt};
use serde::{Deserialize, Serialize};

use crate::gateway_peer::{PeerCall, call_peer};
use crate::gateway_shared::Shared;
use crate::ledger::{from_cbor, to_cbor};
use crate::link::duration;
use crate::outbound::Connection;
use crate::server_probe::{PROBE_TIMEOUT, ask_start};

/// The path of calls that ask a peer whether servers are their listed starts.
pub(crate) const CONFIRM_PATH: &str = "/starts/confirm";
/// How long a peer may take, which asks the servers.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(120);
/// The maximum number of peers asked: those that share a fault of a link have no connections either.
const MAX_ASKED: usize = 8;
/// How long after a question about a server others wait for its outcome, or go by it.
const QUESTION_LIFETIME: Duration = Duration::from_millis(500);
/// The pause between two looks at the outcome of a question that another request has asked.
const WAIT_INTERVAL: Duration = Duration::from_millis(5);

/// A server that a peer has found to be the listed start.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct ConfirmedStart {
    #[serde(rename = "i")]
    server: String,
    /// The version that the peer's list has for it.
    #[serde(rename = "v")]
    version: SoftwareVersion,
}

/// A question to peers about a server.
#[derive(Debug, Clone, Copy)]
struct Question {
    asked_at: Instant,
    is_over: bool,
}

/// The questions to peers about servers, by server.
#[derive(Debug, Default)]
pub(crate) struct StartConfirmations {
    questions: RefCell<BTreeMap<String, Question>>,
}

impl StartConfirmations {
    /// Returns the servers of which no question is open or was answered lately, and opens one about each.
    fn open(&self, servers: &[String], now: Instant) -> Vec<String> {
        let mut questions = self.questions.borrow_mut();
        questions.retain(|_, question| now.duration_since(question.asked_at) < QUESTION_LIFETIME);
        let due = servers.iter().filter(|id| !questions.contains_key(*id));
        let due: Vec<String> = due.cloned().collect();
        for id in &due {
            let question = Question {
                asked_at: now,
                is_over: false,
            };
            questions.insert(id.clone(), question);
        }
        due
    }

    fn close(&self, servers: &[String]) {
        let mut questions = self.questions.borrow_mut();
        for id in servers {
            if let Some(question) = questions.get_mut(id) {
                question.is_over = true;
            }
        }
    }

    /// Returns whether the question about a server may still be answered.
    fn is_open(&self, server: &str, now: Instant) -> bool {
        let questions = self.questions.borrow();
        let question = questions.get(server).filter(|question| !question.is_over);
        question.is_some_and(|q| now.duration_since(q.asked_at) < CONFIRM_TIMEOUT)
    }
}

impl Shared {
    /// Returns the time before which connections that still work were opened to the starts that the list
    /// describes.
    fn described_before(&self) -> Option<Instant> {
        let directory = self.directory();
        let as_of = directory.servers_as_of?;
        let current_since = directory.servers_current_since?;
        let before = described_before(self.now_us(as_of), self.now_us(current_since))?;
        as_of.checked_sub(duration(self.now_us(as_of).since(before)))
    }

    /// Returns whether the server at the other end of a connection that works is the listed start.
    pub(crate) fn leads_to_listed_start(&self, connection: &Connection) -> bool {
        let before = self.described_before();
        before.is_some_and(|before| connection.opened_at < before)
    }

    /// Returns whether an idle connection leads to the listed start of the server at `address`.
    pub(crate) fn has_listed_connection(&self, address: SocketAddr) -> bool {
        let before = self.described_before();
        before.is_some_and(|before| self.pool.has_older(address, before))
    }

    /// Takes an idle connection that leads to the listed start of the server at `address`.
    pub(crate) fn take_listed_connection(&self, address: SocketAddr) -> Option<Connection> {
        let before = self.described_before()?;
        self.pool.take_older(address, before)
    }

    /// Records that a server has responded on a connection to what was sent at `sent_at`.
    pub(crate) fn record_response(
        &self,
        server: &BackendServer,
        connection: &Connection,
        sent_at: Instant,
    ) {
        let is_in_doubt = self.start_doubts().is_in_doubt(&server.id);
        if is_in_doubt && self.leads_to_listed_start(connection) {
            self.confirm_start(&server.id, sent_at);
        }
    }

    /// Asks peers whether servers in doubt are their listed starts; returns whether one is.
    pub(crate) async fn confirm_starts(&self, servers: &[BackendServer]) -> bool {
        let ids: Vec<String> = servers.iter().map(|server| server.id.clone()).collect();
        let is_any_confirmed = || {
            let doubts = self.start_doubts();
            ids.iter().any(|id| !doubts.is_in_doubt(id))
        };
        let due = self.confirmations.open(&ids, Instant::now());
        if !due.is_empty() {
            self.ask_peers_to_confirm(&due).await;
            self.confirmations.close(&due);
        }
        loop {
            let now = Instant::now();
            let is_open = ids.iter().any(|id| self.confirmations.is_open(id, now));
            if is_any_confirmed() || !is_open {
                return is_any_confirmed();
            }
            sleep(WAIT_INTERVAL).await;
        }
    }

    /// Asks peers about servers until one has confirmed each or all have responded.
    async fn ask_peers_to_confirm(&self, servers: &[String]) {
        let asked_at = Instant::now();
        let own = self.peer_address;
        let peers = self.directory().peers;
        let others = peers.iter().copied().filter(|peer| *peer != own);
        let reachable = others.filter(|peer| !self.homes.is_silent(*peer, asked_at));
        let seed = servers.first().map_or("", String::as_str);
        let body = to_cbor(&servers);
        let calls = rank_addresses(seed, reachable, MAX_ASKED)
            .into_iter()
            .map(|peer| {
                let call = PeerCall {
                    path: CONFIRM_PATH,
                    body: body.clone(),
                    limit: CONFIRM_TIMEOUT,
                };
                call_peer::<Vec<ConfirmedStart>>(self, peer, call)
            });
        let mut calls: FuturesUnordered<_> = calls.collect();
        while let Some(confirmed) = calls.next().await {
            for start in confirmed.into_iter().flatten() {
                self.apply_confirmed(&start, asked_at);
            }
            let doubts = self.start_doubts();
            if !servers.iter().any(|id| doubts.is_in_doubt(id)) {
                return;
            }
        }
    }

    fn apply_confirmed(&self, start: &ConfirmedStart, asked_at: Instant) {
        let servers = self.directory().servers;
        let listed = servers.servers.get(&start.server);
        if listed.is_some_and(|listed| listed.version == start.version) {
            self.confirm_start(&start.server, asked_at);
        }
    }

    /// Asks a server over an idle connection to its listed start; `None` if there is none that works.
    async fn ask_listed_start(&self, id: &str) -> Option<ConfirmedStart> {
        let servers = self.directory().servers;
        let server = servers.servers.get(id)?;
        let asked_at = Instant::now();
        let mut connection = self.take_listed_connection(server.address)?;
        ask_start(&mut connection, server.address, PROBE_TIMEOUT).await?;
        self.confirm_start(id, asked_at);
        self.pool
            .release(server.address, connection, Instant::now());
        Some(ConfirmedStart {
            server: id.to_owned(),
            version: server.version.clone(),
        })
    }
}

/// Handles a peer's call about servers in doubt; `None` for other paths.
pub(crate) async fn handle_confirm_call(
    shared: &Shared,
    path: &str,
    body: &[u8],
) -> Option<(u16, Bytes)> {
    if path != CONFIRM_PATH {
        return None;
    }
    let Some(servers) = from_cbor::<Vec<String>>(body) else {
        return Some((400, Bytes::new()));
    };
    let asked = servers.iter().map(|id| shared.ask_listed_start(id));
    let confirmed: Vec<ConfirmedStart> = join_all(asked).await.into_iter().flatten().collect();
    Some((200, to_cbor(&confirmed)))
}
