//! Shows that a server which reports no start time still is the listed start although a connection to it
//! broke.
//!
//! All connections to a server end with its process. One that works leads to the process that ran when it
//! was opened, which is the listed start if the server was not in doubt then, or if the list was read long
//! enough after. A gateway whose own connections broke asks peers that may have such a connection.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use actix_rt::time::sleep;
use bytes::Bytes;
use clementinepick::rendezvous::rank_addresses;
use clementinepick::server_list::{BackendServer, SoftwareVersion};
use clementinepick::start_doubts::{NOTICE_LAG_US, described_before};
use clementinepick::units::TimeUs;
use futures_util::future::join_all;
use futures_util::stream::{FuturesUnordered, StreamExt};
use serde::{Deserialize, Serialize};

use crate::gateway_peer::{PeerCall, call_peer};
use crate::gateway_peer_updates::PeerUpdate;
use crate::gateway_shared::Shared;
use crate::ledger::{from_cbor, to_cbor};
use crate::link::duration;
use crate::outbound::Connection;
use crate::server_probe::{PROBE_TIMEOUT, ask_start};

/// The path of calls that ask a peer whether servers are their listed starts.
pub(crate) const CONFIRM_PATH: &str = "/starts/confirm";
/// The path of calls that tell a peer which servers are their listed starts.
pub(crate) const CONFIRMED_PATH: &str = "/starts/confirmed";
/// How long a peer may take, which asks the servers.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(120);
/// The longest time for which what a server has sent is on its way.
const IN_FLIGHT: Duration = Duration::from_millis(100);
/// The maximum number of peers asked: those that share a fault of a link have no connections either.
const MAX_ASKED: usize = 8;
/// How long after a question about a server others wait for its outcome, or go by it.
const QUESTION_LIFETIME: Duration = Duration::from_millis(500);
/// The pause between two looks at the outcome of a question that another request has asked.
const WAIT_INTERVAL: Duration = Duration::from_millis(5);

/// A server that a peer has found to be the listed start.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ConfirmedStart {
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
    /// Returns the time before which a connection that still works was opened to the listed start of a
    /// server: the server was not in doubt then, or the list was read long enough after.
    fn listed_before(&self, server: &str) -> Option<Instant> {
        let now = Instant::now();
        let now_us = self.now_us(now);
        let trusted = self.start_doubts().trusted_before(now_us, server);
        let before = self.described_before().unwrap_or_default().max(trusted);
        now.checked_sub(duration(now_us.since(before)))
    }

    /// Returns the time before which connections that still work were opened to the starts that the list
    /// describes, whatever was noticed of them.
    fn described_before(&self) -> Option<TimeUs> {
        let directory = self.directory();
        let as_of = self.now_us(directory.servers_as_of?);
        let current_since = self.now_us(directory.servers_current_since?);
        described_before(as_of, current_since)
    }

    /// Returns whether the server at the other end of a connection that works is its listed start.
    pub(crate) fn leads_to_listed_start(
        &self,
        server: &BackendServer,
        connection: &Connection,
    ) -> bool {
        let before = self.listed_before(&server.id);
        before.is_some_and(|before| connection.opened_at < before)
    }

    /// Returns whether an idle connection leads to the listed start of a server.
    pub(crate) fn has_listed_connection(&self, server: &BackendServer) -> bool {
        let before = self.listed_before(&server.id);
        before.is_some_and(|before| self.pool.has_older(server.address, before))
    }

    /// Takes an idle connection that leads to the listed start of a server.
    pub(crate) fn take_listed_connection(&self, server: &BackendServer) -> Option<Connection> {
        let before = self.listed_before(&server.id)?;
        self.pool.take_older(server.address, before)
    }

    /// Records that a server has responded on a connection to what was sent at `sent_at`.
    pub(crate) fn record_response(
        &self,
        server: &BackendServer,
        connection: &Connection,
        sent_at: Instant,
    ) {
        let is_in_doubt = || self.start_doubts().is_in_doubt(&server.id);
        if is_in_doubt() && self.leads_to_listed_start(server, connection) {
            self.confirm_start(&server.id, sent_at);
            if !is_in_doubt() {
                // The receiver ends only with the process.
                let _ = self.updates.send(PeerUpdate::Confirmed(ConfirmedStart {
                    server: server.id.clone(),
                    version: server.version.clone(),
                }));
            }
        }
    }

    /// Records that a server has sent a part of a stream on a connection. What it sent before an end arrives
    /// within [`IN_FLIGHT`], since the stream is read all the time.
    pub(crate) fn record_progress(
        &self,
        server: &BackendServer,
        connection: &Connection,
        now: Instant,
    ) {
        if let Some(sent_at) = now.checked_sub(IN_FLIGHT) {
            self.record_response(server, connection, sent_at);
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

    /// Asks servers over idle connections; returns those that are their listed starts.
    async fn ask_listed_starts(&self, servers: &[String]) -> Vec<ConfirmedStart> {
        let asked = servers.iter().map(|id| self.ask_listed_start(id));
        join_all(asked).await.into_iter().flatten().collect()
    }

    /// Asks a server over an idle connection to its listed start; `None` if there is none that works.
    async fn ask_listed_start(&self, id: &str) -> Option<ConfirmedStart> {
        let servers = self.directory().servers;
        let server = servers.servers.get(id)?;
        let asked_at = Instant::now();
        let mut connection = self.take_listed_connection(server)?;
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
    now: Instant,
) -> Option<(u16, Bytes)> {
    let response = match path {
        CONFIRM_PATH => {
            let servers = from_cbor::<Vec<String>>(body);
            let confirmed = match &servers {
                Some(servers) => shared.ask_listed_starts(servers).await,
                None => return Some((400, Bytes::new())),
            };
            (200, to_cbor(&confirmed))
        }
        CONFIRMED_PATH => {
            let Some(confirmed) = from_cbor::<Vec<ConfirmedStart>>(body) else {
                return Some((400, Bytes::new()));
            };
            // What was noticed later than this may have happened after the peer found it out.
            if let Some(found_at) = now.checked_sub(duration(NOTICE_LAG_US)) {
                for start in &confirmed {
                    shared.apply_confirmed(start, found_at);
                }
            }
            (200, to_cbor(&()))
        }
        _ => return None,
    };
    Some(response)
}
