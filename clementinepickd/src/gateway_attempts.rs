//! Tracks the attempts of one request: the servers that were tried, whether another attempt is
//! allowed, and the refusal if all fail.

use std::cell::{Cell, OnceCell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_rt::time::sleep;
use clementinepick::ended_servers::{EndState, OpenRun, ServerStart};
use clementinepick::refusal::Refusal;
use clementinepick::request_key::RequestKey;
use clementinepick::server_list::BackendServer;
use rand::random_range;

use crate::gateway_ended::{EndCount, SharedRun, probe_runs, start_run};
use crate::gateway_exchange::{RoutedRequest, RunInput, SentRequest, ServerFilter, ServerSlot};
use crate::gateway_loss::OpenLoss;
use crate::gateway_request_log::RunningRequest;
use crate::gateway_shared::Shared;
use crate::gateway_start_patience::StartPatience;
use crate::gateway_trace::Trace;
use crate::link::to_span;
use crate::outbound::Connection;
use crate::safeguard::Safeguard;
use crate::server_probe::ServerFate;

/// The shortest and longest wait, in milliseconds, until a request whose run may not start tries
/// again. Two gateways that refuse each other's runs wait for different times.
const START_RETRY_MS: std::ops::Range<u64> = 10..40;

/// Why an attempt brought no response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AttemptError {
    /// The server rejected the request without running it.
    NotRun,
    /// No connection could be opened, so nothing reached the server.
    ConnectFailed,
    /// The server at the address is not known to be the listed start, so that nothing was sent.
    OtherStart,
    /// The server has not said in time whether it is the listed start, so that nothing was sent.
    StartUnanswered,
    /// The response was lost, or the server sent none in time; it may have run the request.
    ResponseLost,
}

impl AttemptError {
    /// Returns the name used in logs.
    pub(crate) fn label(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::ConnectFailed => "unreached",
            Self::OtherStart => "other_start",
            Self::StartUnanswered => "start_unanswered",
            Self::ResponseLost => "lost",
        }
    }
}

/// The run of a request at one server.
pub(crate) struct CurrentRun {
    pub(crate) server: BackendServer,
    start: ServerStart,
    started_at: Instant,
    /// A connection that shows whether the server is still the same start.
    witness: RefCell<Option<Connection>>,
    /// The servers that had ended under the request before.
    pub(crate) ended_before: EndCount,
    /// The run as peers know it, if they must.
    pub(crate) shared_run: Option<SharedRun>,
    /// Records the run in the store until it is dropped.
    pub(crate) _running: RunningRequest,
}

/// The attempts of one request.
pub(crate) struct Attempts<'a> {
    pub(crate) shared: &'a Rc<Shared>,
    pub(crate) routed: &'a RoutedRequest<'a>,
    pub(crate) trace: &'a Trace,
    /// Whether the request may run more than once.
    pub(crate) may_repeat: bool,
    pub(crate) tried_servers: Vec<String>,
    key: OnceCell<RequestKey>,
    /// The current attempt.
    pub(crate) current: Option<CurrentRun>,
    /// The servers to which the request was sent; those that were not reached don't count.
    pub(crate) sends: u32,
    /// The number of sends when it was last loaded where else the request runs.
    others_loaded: Cell<Option<u32>>,
    /// Whether peers were asked if servers in doubt are their listed starts.
    has_asked_peers: Cell<bool>,
    /// How long servers may take to say which start they are.
    patience: StartPatience,
    refusal: Refusal,
}

impl<'a> Attempts<'a> {
    pub(crate) fn new(
        shared: &'a Rc<Shared>,
        routed: &'a RoutedRequest<'a>,
        trace: &'a Trace,
        may_repeat: bool,
    ) -> Self {
        shared.deposit_retry(routed.service);
        Self {
            shared,
            routed,
            trace,
            may_repeat,
            tried_servers: Vec::new(),
            key: OnceCell::new(),
            current: None,
            sends: 0,
            others_loaded: Cell::new(None),
            has_asked_peers: Cell::new(false),
            patience: StartPatience::default(),
            refusal: Refusal::NoServer,
        }
    }

    /// Sends the request to a server that was not tried yet and can go on from `input`; `None` if no
    /// further attempt is allowed or possible.
    pub(crate) async fn next_run(&mut self, input: &RunInput) -> Option<SentRequest<'a>> {
        let is_final = self.refusal == Refusal::ServerLost && !self.may_repeat;
        if is_final {
            return self.end_with("not_repeatable");
        }
        if !self.has_attempt_left() {
            return self.end_with("last_attempt");
        }
        if self.patience.is_exhausted() {
            return self.end_with("start_unanswered");
        }
        let kind = self.trace.kind.get();
        if self.sends > 0 && !self.shared.withdraw_retry(self.routed.service, kind) {
            return self.end_with("no_retry");
        }
        let Some(slot) = self.start_run(input).await else {
            return self.end_with("no_server");
        };
        self.record_send(&slot);
        let server = slot.server.clone();
        let RunInput {
            body,
            last_event_id,
            ..
        } = input;
        let sending = self
            .routed
            .send(self.shared, slot, body.clone(), *last_event_id);
        Some(SentRequest {
            server,
            response: Box::pin(sending),
        })
    }

    /// Records why the request gets no further attempt.
    fn end_with<T>(&self, reason: &'static str) -> Option<T> {
        self.trace.add_field("no_attempt", &reason);
        None
    }

    /// Returns whether the route allows that the request is sent to one more server.
    pub(crate) fn has_attempt_left(&self) -> bool {
        self.sends < self.routed.route.attempts
    }

    /// Records that the request is about to be sent.
    pub(crate) fn record_send(&mut self, slot: &ServerSlot) {
        self.sends += 1;
        self.tried_servers.push(slot.server.id.clone());
        self.trace
            .record_send(&slot.server, slot.reason, Instant::now());
    }

    /// Selects a server and starts a run there; `None` if there is none, or if the request has ended
    /// too many.
    async fn start_run(&mut self, input: &RunInput) -> Option<ServerSlot> {
        self.load_other_runs().await;
        if self.sends > 0 {
            let service = self.routed.service;
            self.shared.recheck_suspected(self.key(), service).await;
        }
        if self.patience.is_due() {
            self.patience.extend(&mut self.tried_servers);
        }
        loop {
            let ends = self.end_count();
            if ends.is_given_up() {
                self.give_up();
                return None;
            }
            let isolated = self.servers_to_avoid(ends);
            let filter = self.server_filter(&isolated, None);
            let selected = self.routed.select_server(self.shared, &filter, input);
            let Some(slot) = selected else {
                if self.patience.extend(&mut self.tried_servers) {
                    continue;
                }
                let doubted = self.routed.doubted_servers(self.shared, &filter, input);
                if !doubted.is_empty() && !self.has_asked_peers.replace(true) {
                    self.shared.confirm_starts(&doubted).await;
                    continue;
                }
                if !isolated.is_empty() || self.awaits_runs() {
                    self.pause_start().await;
                    continue;
                }
                if filter.confined_to.is_some() {
                    self.give_up();
                } else if !doubted.is_empty() && self.refusal == Refusal::NoServer {
                    self.refusal = Refusal::VersionUnavailable;
                }
                return None;
            };
            slot.question_limit.set(self.patience.question_limit());
            // Ends that become known later may be those of this run.
            let start = self.start_of(&slot.server);
            let witness = self.open_witness(&slot.server).await;
            if witness.is_none() && start.unlisted_restarts > 0 {
                // It has ended, and not started again yet.
                slot.record_failure();
                self.tried_servers.push(slot.server.id.clone());
                continue;
            }
            let Some(run) = self.begin_run(&slot, start, ends, witness).await else {
                self.pause_start().await;
                continue;
            };
            if !isolated.is_empty() {
                self.trace.add_field("isolated_from", &isolated.join(","));
            }
            self.replace_current(run);
            return Some(slot);
        }
    }

    /// Loads where else the request runs, if it may have ended a server; once before each further run.
    pub(crate) async fn load_other_runs(&self) {
        self.shared.wait_after_stall().await;
        let is_needed = !self.shared.has_no_ends() && self.shared.has_ends_of(self.key());
        if is_needed && self.others_loaded.replace(Some(self.sends)) != Some(self.sends) {
            self.shared.load_others(self.key()).await;
        }
    }

    /// Tells peers of a run at the server of `slot`, if they must know; `None` if one of them objects.
    async fn begin_run(
        &self,
        slot: &ServerSlot,
        start: ServerStart,
        ends: EndCount,
        witness: Option<Connection>,
    ) -> Option<CurrentRun> {
        if !self.may_run_at(&slot.server, None) {
            self.release_witness(&slot.server, witness);
            return None;
        }
        let shared_run = if ends.is_shared() {
            let shared_run = self.share_run(&start, ends).await;
            if shared_run.is_none() {
                self.release_witness(&slot.server, witness);
                return None;
            }
            shared_run
        } else {
            self.announce_run(&start, ends)
        };
        Some(self.new_run(slot, start, ends, shared_run, witness))
    }

    /// Waits before the request tries again to start a run.
    async fn pause_start(&self) {
        sleep(Duration::from_millis(random_range(START_RETRY_MS))).await;
        // The gateway of another run may be lost, and its server may have ended.
        probe_runs(self.shared, self.key(), self.routed.service).await;
    }

    /// Returns a witness to the pool.
    fn release_witness(&self, server: &BackendServer, witness: Option<Connection>) {
        if let Some(witness) = witness {
            let pool = &self.shared.pool;
            pool.release(server.address, witness, Instant::now());
        }
    }

    /// Returns where the next run may be, beside a run at the server `running`.
    pub(crate) fn server_filter(&self, isolated: &[String], running: Option<&str>) -> ServerFilter {
        let is_disabled = Safeguard::EndedServers.is_disabled();
        let confined_to = if is_disabled || self.shared.has_no_ends() {
            None
        } else {
            self.shared.confinement(self.key(), running)
        };
        if let Some(servers) = &confined_to {
            let servers: Vec<&str> = servers.iter().map(String::as_str).collect();
            self.trace.set_field("confined_to", &servers.join(","));
        }
        ServerFilter {
            avoided: [&self.tried_servers[..], isolated].concat(),
            confined_to,
        }
    }

    /// Returns whether the request may still run at a server: other attempts at it may have put further
    /// ones at risk since the server was selected.
    pub(crate) fn may_run_at(&self, server: &BackendServer, running: Option<&str>) -> bool {
        let filter = self.server_filter(&[], running);
        let confined_to = filter.confined_to.as_ref();
        confined_to.is_none_or(|servers| servers.contains(&server.id))
    }

    /// Returns the start of a server that would run the request now.
    pub(crate) fn start_of(&self, server: &BackendServer) -> ServerStart {
        if self.shared.has_no_ends() {
            return ServerStart::of(server);
        }
        self.shared.current_start(self.key(), server)
    }

    /// Opens a witness for the run of a request of which it is known that it lost responses.
    pub(crate) async fn open_witness(&self, server: &BackendServer) -> Option<Connection> {
        if self.shared.has_no_ends() || !self.shared.has_lost_responses(self.key()) {
            return None;
        }
        self.shared.open_witness(server.address).await
    }

    /// Returns whether the outcome of other runs of the request decides whether it is given up.
    fn awaits_runs(&self) -> bool {
        let runs = self.shared.decisive_runs(self.key(), Instant::now());
        !runs.is_empty()
    }

    /// Tells peers of a run of a request of which something is known, if they need not agree.
    pub(crate) fn announce_run(&self, start: &ServerStart, ends: EndCount) -> Option<SharedRun> {
        if self.shared.has_no_ends() {
            return None;
        }
        let time_left = to_span(self.routed.time_left(Instant::now()));
        let run = OpenRun {
            id: rand::random(),
            server: start.clone(),
            is_isolated: ends.is_isolated(),
            expires_at: self.shared.now_us(Instant::now()).after(time_left),
        };
        self.shared.announce_run(self.key(), run)
    }

    pub(crate) async fn share_run(&self, start: &ServerStart, ends: EndCount) -> Option<SharedRun> {
        let time_left = self.routed.time_left(Instant::now());
        start_run(self.shared, self.key(), start.clone(), ends, time_left).await
    }

    /// Describes a run that starts now.
    pub(crate) fn new_run(
        &self,
        slot: &ServerSlot,
        start: ServerStart,
        ends: EndCount,
        shared_run: Option<SharedRun>,
        witness: Option<Connection>,
    ) -> CurrentRun {
        let now = Instant::now();
        let time_left = to_span(self.routed.time_left(now));
        let expires_at = self.shared.now_us(now).after(time_left);
        let run = OpenRun {
            id: shared_run.map_or_else(rand::random, SharedRun::id),
            server: start.clone(),
            is_isolated: ends.is_isolated(),
            expires_at,
        };
        CurrentRun {
            server: slot.server.clone(),
            start,
            started_at: now,
            // A server at its limit of connections resets further ones.
            witness: RefCell::new(witness.filter(Connection::is_healthy)),
            ended_before: ends,
            shared_run,
            _running: self.shared.record_run(self.key(), run),
        }
    }

    /// Makes `run` the current one and returns the one before.
    pub(crate) fn replace_current(&mut self, run: CurrentRun) -> Option<CurrentRun> {
        self.trace.open_run.replace(Some(self.open_loss(&run)));
        self.current.replace(run)
    }

    /// Ends the current run, whose outcome is known.
    fn take_current(&mut self) -> Option<CurrentRun> {
        self.trace.open_run.take();
        self.current.take()
    }

    /// Tells peers that a run of which they know is over.
    pub(crate) fn finish_run(&self, run: &CurrentRun) {
        if let Some(shared_run) = run.shared_run {
            self.shared.finish_run(shared_run);
        }
    }

    /// Returns the servers where requests run that may have ended as many servers as this one.
    pub(crate) fn servers_to_avoid(&self, ends: EndCount) -> Vec<String> {
        if ends.is_isolated() {
            self.shared.isolated_servers(self.key(), Instant::now())
        } else {
            Vec::new()
        }
    }

    pub(crate) fn end_count(&self) -> EndCount {
        if self.shared.has_no_ends() {
            return EndCount::default();
        }
        self.shared.end_count(self.key(), Instant::now())
    }

    pub(crate) fn key(&self) -> RequestKey {
        *self.key.get_or_init(|| self.routed.content_key())
    }

    /// Refuses the request because of the servers that it has ended.
    fn give_up(&mut self) {
        self.shared
            .trace_given_up(self.key(), self.trace, Instant::now());
        if self.refusal != Refusal::ServerLost {
            self.refusal = Refusal::ServersEnded;
        }
    }

    /// Records that the current attempt brought a response.
    pub(crate) fn record_answered(&mut self) {
        if let Some(run) = self.take_current() {
            self.finish_run(&run);
            self.release_witness(&run.server, run.witness.take());
        }
        if !self.shared.has_no_ends() {
            self.shared.record_answered(self.key());
        }
    }

    /// Returns whether the current run decides if the request is given up.
    pub(crate) fn is_isolated(&self) -> bool {
        self.current
            .as_ref()
            .is_some_and(|run| run.ended_before.is_isolated())
    }

    /// Records that the current attempt brought no response.
    ///
    /// Once a response was lost, the request may have run, whatever later attempts return.
    pub(crate) async fn record_error(&mut self, error: AttemptError) {
        if matches!(
            error,
            AttemptError::ConnectFailed | AttemptError::OtherStart | AttemptError::StartUnanswered
        ) {
            self.sends -= 1;
        }
        if error == AttemptError::StartUnanswered
            && let Some(run) = &self.current
        {
            self.patience.record_unanswered(&run.server.id);
        }
        if let Some(run) = &self.current {
            self.trace.record_error(&run.server.id, error.label());
        }
        self.refusal = match (self.refusal, error) {
            (Refusal::ServerLost, _) | (_, AttemptError::ResponseLost) => Refusal::ServerLost,
            (_, AttemptError::NotRun) => Refusal::ServersRefused,
            (Refusal::NoServer, AttemptError::OtherStart | AttemptError::StartUnanswered) => {
                Refusal::VersionUnavailable
            }
            (
                refusal,
                AttemptError::ConnectFailed
                | AttemptError::OtherStart
                | AttemptError::StartUnanswered,
            ) => refusal,
        };
        let may_have_run = self.refusal == Refusal::ServerLost;
        self.trace.may_have_run.set(may_have_run);
        if error == AttemptError::ResponseLost
            && let Some(run) = &self.current
        {
            self.record_loss(run).await;
        }
        if let Some(run) = self.take_current() {
            self.finish_run(&run);
        }
    }

    /// Sets the refusal to send if all attempts fail, and returns the one before.
    pub(crate) fn replace_refusal(&mut self, refusal: Refusal) -> Refusal {
        std::mem::replace(&mut self.refusal, refusal)
    }

    /// Records that a successor has replaced a run whose server was silent.
    pub(crate) async fn record_replaced(&self, run: &CurrentRun, fate: ServerFate) {
        let label = AttemptError::ResponseLost.label();
        self.trace.record_error(&run.server.id, label);
        let loss = self.open_loss(run);
        loss.leave(self.shared, fate).await;
        self.finish_run(run);
        self.shared.check_left(loss);
    }

    /// Finds out what became of a server that lost a response.
    pub(crate) async fn record_loss(&self, run: &CurrentRun) {
        let loss = self.open_loss(run);
        let witness = run.witness.take();
        loss.settle(self.shared, run.started_at, witness).await;
    }

    pub(crate) fn open_loss(&self, run: &CurrentRun) -> OpenLoss {
        OpenLoss {
            request: self.routed.info.id.clone(),
            key: self.key(),
            server: run.start.clone(),
            shared_run: run.shared_run,
        }
    }

    /// Asks a server whether it has ended.
    pub(crate) async fn probe(&self, server: &BackendServer) -> ServerFate {
        let health_path = self.shared.health_path(&server.service);
        let server = ServerStart::of(server);
        self.shared.find_fate(&server, health_path.as_deref()).await
    }

    /// Finds out whether the current server, which has sent nothing for a while, may have ended, and
    /// tells peers if so.
    pub(crate) async fn share_silence(&self) {
        let Some(run) = &self.current else {
            return;
        };
        let state = match self.probe(&run.server).await {
            ServerFate::Alive | ServerFate::Responding | ServerFate::Accepting => return,
            ServerFate::Hanging => EndState::Unheard,
            ServerFate::Ended => EndState::Ended,
            ServerFate::Unknown => EndState::Silent,
        };
        self.shared
            .record_state(self.key(), &run.start, state)
            .await;
    }

    /// Returns the refusal to send to the caller if all attempts fail.
    pub(crate) fn refusal(&self) -> Refusal {
        self.refusal
    }
}
