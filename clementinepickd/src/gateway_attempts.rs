//! Tracks the attempts of one request: the servers that were tried, whether another attempt is
//! allowed, and the refusal if all fail.

use std::rc::Rc;
use std::time::Instant;

use clementinepick::event::{Event, EventKind};
use clementinepick::refusal::Refusal;
use clementinepick::server_list::BackendServer;
use clementinepick::stream_origin::StreamOrigin;

use crate::gateway_exchange::{RoutedRequest, ServerSlot};
use crate::gateway_shared::Shared;
use crate::gateway_trace::Trace;
use crate::server_probe::probe;

/// Why an attempt brought no response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AttemptError {
    /// The server rejected the request without running it.
    NotRun,
    /// No connection could be opened, so nothing reached the server.
    ConnectFailed,
    /// The response was lost, or the server sent none in time; it may have run the request.
    ResponseLost,
}

impl AttemptError {
    /// Returns the name used in logs.
    fn label(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::ConnectFailed => "unreached",
            Self::ResponseLost => "lost",
        }
    }
}

/// The attempts of one request.
pub(crate) struct Attempts<'a> {
    shared: &'a Rc<Shared>,
    routed: &'a RoutedRequest<'a>,
    trace: &'a Trace,
    /// Whether the request may run more than once.
    may_repeat: bool,
    tried_servers: Vec<String>,
    /// The server of the current attempt.
    current: Option<BackendServer>,
    sends: u32,
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
            current: None,
            sends: 0,
            refusal: Refusal::NoServer,
        }
    }

    /// Selects a server that was not tried yet and can continue a stream with `origin`; `None` if no
    /// further attempt is allowed or possible.
    pub(crate) fn next_slot(
        &mut self,
        last_server: Option<&str>,
        origin: Option<&StreamOrigin>,
    ) -> Option<ServerSlot> {
        let is_final = self.refusal == Refusal::ServerLost && !self.may_repeat;
        if is_final || self.sends >= self.routed.route.attempts {
            return None;
        }
        let kind = self.trace.kind.get();
        if self.sends > 0 && !self.shared.withdraw_retry(self.routed.service, kind) {
            return None;
        }
        let slot =
            self.routed
                .select_server(self.shared, &self.tried_servers, last_server, origin)?;
        self.tried_servers.push(slot.server.id.clone());
        self.current = Some(slot.server.clone());
        self.trace
            .record_send(&slot.server, slot.reason, Instant::now());
        Some(slot)
    }

    /// Returns whether the current attempt is the last one.
    pub(crate) fn is_last(&self) -> bool {
        self.sends + 1 >= self.routed.route.attempts
    }

    /// Records that the current attempt brought no response.
    ///
    /// Once a response was lost, the request may have run, whatever later attempts return.
    pub(crate) async fn record_error(&mut self, error: AttemptError) {
        self.sends += u32::from(error != AttemptError::ConnectFailed);
        self.trace.record_error(error.label());
        self.refusal = match (self.refusal, error) {
            (Refusal::ServerLost, _) | (_, AttemptError::ResponseLost) => Refusal::ServerLost,
            (_, AttemptError::NotRun) => Refusal::ServersRefused,
            (refusal, AttemptError::ConnectFailed) => refusal,
        };
        let may_have_run = self.refusal == Refusal::ServerLost;
        self.trace.may_have_run.set(may_have_run);
        if error == AttemptError::ResponseLost
            && let Some(server) = self.current.take()
        {
            self.record_loss(&server).await;
        }
    }

    /// Finds out what became of a server that lost a response.
    async fn record_loss(&self, server: &BackendServer) {
        let health_path = self.shared.health_path(&server.service);
        let fate = probe(server.address, &server.id, health_path.as_deref()).await;
        self.shared.metrics.count_lost_response(fate.label());
        let event = Event::new(EventKind::ResponseLost)
            .with("request", &self.routed.info.id)
            .with("content", self.routed.content_key())
            .with("server", &server.id)
            .with("fate", fate.label());
        self.shared.log(&event);
    }

    /// Returns the refusal to send to the caller if all attempts fail.
    pub(crate) fn refusal(&self) -> Refusal {
        self.refusal
    }
}
