//! Finds out whether the server at an address is the start that its entry describes, before a stream
//! that must stay at its software version is sent there.
//!
//! A connection ends with the start at its other end. What the server says of its start time on a
//! connection therefore holds for all requests on it.

use std::cell::RefMut;
use std::time::{Duration, Instant};

use actix_rt::time::{sleep, timeout};
use bytes::Bytes;
use clementinepick::event::{Event, EventKind};
use clementinepick::server_list::BackendServer;
use clementinepick::start_doubts::{EndSign, ReportedStart, StartDoubts, StartUse, StartVerdict};
use serde::{Deserialize, Serialize};

use crate::gateway_attempts::AttemptError;
use crate::gateway_exchange::{CONNECT_TIMEOUT, ServerSlot};
use crate::gateway_peer_updates::PeerUpdate;
use crate::gateway_shared::Shared;
use crate::gateway_start_check::StartAnswer;
use crate::ledger::{from_cbor, to_cbor};
use crate::link::duration;
use crate::outbound::Connection;
use crate::server_probe::ask_start;
use crate::unix_time::unix_ms;

/// The path of calls that tell a peer of servers in doubt.
pub(crate) const DOUBT_PATH: &str = "/starts/doubt";

/// How much later than a doubt can be settled a list is read.
const LIST_MARGIN: Duration = Duration::from_millis(1);

/// What a peer should know of the start of a server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum StartNotice {
    /// Another start than the listed one may listen at the address of this server.
    #[serde(rename = "d")]
    Doubt(String, EndSign),
    /// A stream of this service has begun at a start of unknown version.
    #[serde(rename = "u")]
    UnprovenStream(String),
}

/// How a server was found to be the start that its entry describes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) enum StartProof {
    /// The list says so, and no end of the server was noticed since.
    #[default]
    List,
    /// The server said so earlier on the same connection.
    Connection,
    /// The server was asked.
    Report,
    /// The server was asked and has not answered yet.
    Unanswered,
    /// It was not: the server may have another version.
    Unproven,
}

impl StartProof {
    /// Returns the name used in logs.
    pub(crate) fn label(self) -> &'static str {
        match self {
            Self::List => "list",
            Self::Connection => "connection",
            Self::Report => "report",
            Self::Unanswered => "unanswered",
            Self::Unproven => "none",
        }
    }
}

/// Why another start may listen at the address of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum DoubtReason {
    /// A connection broke during a request.
    Broken,
    /// It refused a connection.
    Refused,
    /// Another server responded.
    Misdirected,
    /// It lost a response and was not reached afterwards.
    Lost,
    /// It reports another start time.
    AnotherStart,
    /// A peer says so.
    Peer(EndSign),
}

impl DoubtReason {
    fn label(self) -> &'static str {
        match self {
            Self::Broken => "broken",
            Self::Refused => "refused",
            Self::Misdirected => "misdirected",
            Self::Lost => "lost",
            Self::AnotherStart => "another_start",
            Self::Peer(_) => "peer",
        }
    }

    fn sign(self) -> EndSign {
        match self {
            Self::Broken => EndSign::Possible,
            Self::Refused | Self::Misdirected | Self::Lost | Self::AnotherStart => EndSign::Certain,
            Self::Peer(sign) => sign,
        }
    }
}

impl Shared {
    /// Returns the servers in doubt as of the list that was read last.
    pub(crate) fn start_doubts(&self) -> RefMut<'_, StartDoubts> {
        let mut doubts = self.doubts.borrow_mut();
        if !doubts.is_empty() {
            let directory = self.directory();
            if let Some(as_of) = directory.servers_as_of {
                doubts.update(self.now_us(as_of), &directory.servers);
            }
        }
        doubts
    }

    /// Records that another start may listen at the address of a server, and tells peers.
    pub(crate) fn doubt_start(&self, server: &BackendServer, reason: DoubtReason) {
        let now = self.now_us(Instant::now());
        let sign = reason.sign();
        if self.start_doubts().record(now, server, sign) {
            if !matches!(reason, DoubtReason::Peer(_)) {
                self.notify_peers(StartNotice::Doubt(server.id.clone(), sign));
            }
            let event = Event::new(EventKind::ServerStartDoubted)
                .with("server", &server.id)
                .with("version", &server.version)
                .with("reason", reason.label());
            self.log(&event);
        }
    }

    /// Does the same for a server that is known by its id, if it is listed.
    pub(crate) fn doubt_listed_start(&self, server: &str, reason: DoubtReason) {
        let servers = self.directory().servers;
        if let Some(server) = servers.servers.get(server) {
            self.doubt_start(server, reason);
        }
    }

    /// Records that a server still is the listed start.
    pub(crate) fn confirm_start(&self, server: &str, asked_at: Instant) {
        let asked_at = self.now_us(asked_at);
        self.doubts.borrow_mut().resolve(server, asked_at);
    }

    /// Records that a stream begins at a start of unknown version.
    pub(crate) fn record_unproven_stream(&self, server: &BackendServer) {
        let now = self.now_us(Instant::now());
        let is_news = self.start_doubts().record_unproven_stream(now, server);
        if is_news {
            let service = &server.service;
            self.notify_peers(StartNotice::UnprovenStream(service.clone()));
            self.versions.record_unproven(service, unix_ms());
        }
    }

    /// Applies what another process has told or recorded of such a stream.
    pub(crate) fn load_unproven_stream(&self, service: &str, now: Instant) {
        let now = self.now_us(now);
        let servers = self.directory().servers;
        let mut doubts = self.start_doubts();
        doubts.record_unproven_elsewhere(now, service, &servers);
    }

    fn notify_peers(&self, notice: StartNotice) {
        // The receiver ends only with the process.
        let _ = self.updates.send(PeerUpdate::Start(notice));
    }

    fn apply_notice(&self, notice: &StartNotice) {
        match notice {
            StartNotice::Doubt(server, sign) => {
                self.doubt_listed_start(server, DoubtReason::Peer(*sign));
            }
            StartNotice::UnprovenStream(service) => {
                self.load_unproven_stream(service, Instant::now());
            }
        }
    }

    /// Returns whether the version of a stream may be unknown although its service has only one listed.
    pub(crate) fn has_unproven_streams(&self, service: &str) -> bool {
        self.start_doubts().has_unproven_streams(service)
    }

    /// Waits until the list shows the versions of such streams, for `limit` at most.
    pub(crate) async fn wait_until_proven(&self, service: &str, limit: Duration) {
        let now = Instant::now();
        let until = self.start_doubts().unproven_until(service);
        let Some(until) = until else {
            return;
        };
        let wait = duration(until.since(self.now_us(now))) + LIST_MARGIN;
        if wait < limit {
            sleep(wait).await;
            // Without a newer list the streams stay unproven.
            let _ = timeout(limit.saturating_sub(wait), self.wait_for_list(now + wait)).await;
        }
    }

    /// Finds out whether the server of `slot`, at the other end of `connection`, is the listed start;
    /// fails if it is not and must be.
    pub(crate) async fn prove_start(
        &self,
        slot: &ServerSlot,
        connection: Connection,
    ) -> Result<Connection, AttemptError> {
        let server = &slot.server;
        let is_list_current = self.current_servers(Instant::now()).is_some();
        let must_ask = self
            .start_doubts()
            .must_ask(server, slot.usage, is_list_current);
        if let Some(report) = connection.report {
            slot.proof.set(StartProof::Connection);
            return self.judge_start(slot, Some(report), connection);
        }
        if must_ask {
            return self.ask(slot, connection).await;
        }
        let is_unnamed = server.started_unix_ms.is_none();
        if is_unnamed && self.start_doubts().is_in_doubt(&server.id) {
            return self.prove_by_connection(slot, connection).await;
        }
        self.judge_start(slot, None, connection)
    }

    /// Finds a connection to the listed start of a server in doubt that reports no start time, or asks peers
    /// that may have one.
    async fn prove_by_connection(
        &self,
        slot: &ServerSlot,
        connection: Connection,
    ) -> Result<Connection, AttemptError> {
        let server = &slot.server;
        if self.leads_to_listed_start(server, &connection) {
            return Ok(connection);
        }
        if let Some(older) = self.take_listed_connection(server) {
            self.pool
                .release(server.address, connection, Instant::now());
            return Ok(older);
        }
        self.confirm_starts(std::slice::from_ref(server)).await;
        self.judge_start(slot, None, connection)
    }

    async fn ask(
        &self,
        slot: &ServerSlot,
        mut connection: Connection,
    ) -> Result<Connection, AttemptError> {
        let asked_at = Instant::now();
        let server = &slot.server;
        let limit = slot.question_limit.get();
        connection.report = ask_start(&mut connection, server.address, limit).await;
        let Some(report) = connection.report else {
            return self.replace_unanswered(slot).await;
        };
        if server.started_unix_ms.map(ReportedStart::At) == Some(report) {
            self.confirm_start(&server.id, asked_at);
        }
        slot.proof.set(StartProof::Report);
        self.judge_start(slot, Some(report), connection)
    }

    /// Opens another connection to a server that does not say which start it is, for a stream that may
    /// begin at any.
    async fn replace_unanswered(&self, slot: &ServerSlot) -> Result<Connection, AttemptError> {
        if slot.usage == StartUse::Rest {
            return Err(AttemptError::StartUnanswered);
        }
        slot.proof.set(StartProof::Unanswered);
        let address = slot.server.address;
        let opened = Connection::open_to_server(address, CONNECT_TIMEOUT, Instant::now()).await;
        opened.map_err(|err| slot.record_unreached(&err))
    }

    /// Judges what a server says of its start while it runs a stream.
    pub(crate) fn judge_answer(&self, server: &BackendServer, answer: StartAnswer) -> StartProof {
        let StartAnswer::Report(report) = answer else {
            return StartProof::Unanswered;
        };
        let verdict = self.start_doubts().judge(server, report);
        match verdict {
            StartVerdict::Same => StartProof::Report,
            StartVerdict::Listed | StartVerdict::Doubtful => StartProof::List,
            StartVerdict::Another => {
                self.doubt_start(server, DoubtReason::AnotherStart);
                StartProof::Unproven
            }
        }
    }

    fn judge_start(
        &self,
        slot: &ServerSlot,
        report: Option<ReportedStart>,
        connection: Connection,
    ) -> Result<Connection, AttemptError> {
        let server = &slot.server;
        let reported = report.unwrap_or(ReportedStart::Unknown);
        let verdict = self.start_doubts().judge(server, reported);
        match verdict {
            StartVerdict::Same => return Ok(connection),
            StartVerdict::Listed => {
                slot.proof.set(StartProof::List);
                return Ok(connection);
            }
            StartVerdict::Doubtful => {}
            StartVerdict::Another => self.doubt_start(server, DoubtReason::AnotherStart),
        }
        slot.proof.set(StartProof::Unproven);
        if slot.usage == StartUse::Rest {
            self.pool
                .release(server.address, connection, Instant::now());
            return Err(AttemptError::OtherStart);
        }
        Ok(connection)
    }
}

/// Handles a peer's call about servers in doubt; `None` for other paths.
pub(crate) fn handle_start_call(shared: &Shared, path: &str, body: &[u8]) -> Option<(u16, Bytes)> {
    if path != DOUBT_PATH {
        return None;
    }
    let Some(notices) = from_cbor::<Vec<StartNotice>>(body) else {
        return Some((400, Bytes::new()));
    };
    for notice in &notices {
        shared.apply_notice(notice);
    }
    Some((200, to_cbor(&())))
}
