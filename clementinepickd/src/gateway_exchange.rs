//! Sends a request to one backend server, for calls and streams alike.

use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::{ResponseHead, Uri};
use actix_rt::time::timeout;
use clementinepick::server_list::BackendServer;
use clementinepick::server_selection::{Affinity, SelectionReason};
use clementinepick::traffic_config::TrafficRoute;
use platform::request::{RequestInfo, SendInfo, forwarded};

use crate::gateway_attempts::AttemptError;
use crate::gateway_connection::ReceivedRequest;
use crate::gateway_shared::Shared;
use crate::outbound::{Connection, Outgoing};
use crate::safeguard::Safeguard;

/// How long a connection to a backend server may take to open. Zones are milliseconds apart, and
/// one lost packet of the handshake is sent again only after a second.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);

/// How long after a request's deadline a wait would end that the deadline ends first.
const BEYOND_DEADLINE: Duration = Duration::from_secs(1);

/// A request that is on its way through this process.
pub(crate) struct RoutedRequest<'a> {
    pub(crate) received: &'a ReceivedRequest<'a>,
    pub(crate) info: &'a RequestInfo,
    pub(crate) route: &'a TrafficRoute,
    /// The service that the route gave it to.
    pub(crate) service: &'a str,
    /// When the caller or the route stops waiting.
    pub(crate) deadline: Instant,
}

/// A server's answer whose head was read.
pub(crate) struct ServerResponse {
    pub(crate) head: ResponseHead,
    pub(crate) connection: Connection,
    /// Counts the request as running at the server until this is dropped.
    pub(crate) slot: ServerSlot,
}

impl ServerResponse {
    /// Keeps the connection for another request, after the answer was read to its end.
    pub(crate) fn release_connection(self, shared: &Shared) {
        let address = self.slot.server.address;
        let now = shared.now_us(Instant::now());
        let has_failed = self.head.status.is_server_error();
        let mut choice = shared.choice.borrow_mut();
        choice.record_response(now, &self.slot.server.id, has_failed);
        drop(choice);
        shared
            .pool
            .give_back(address, self.connection, Instant::now());
    }
}

/// A request that counts as running at a server.
pub(crate) struct ServerSlot {
    shared: Rc<Shared>,
    pub(crate) server: BackendServer,
    /// Why it was chosen.
    pub(crate) reason: SelectionReason,
}

impl ServerSlot {
    /// Passes the server over for a while.
    pub(crate) fn record_failure(&self) {
        self.shared.record_failure(&self.server.id);
    }
}

impl Drop for ServerSlot {
    fn drop(&mut self) {
        self.shared.choice.borrow_mut().end_request(&self.server.id);
    }
}

impl RoutedRequest<'_> {
    /// A patience that ends after the request itself does, for a server that none can replace.
    pub(crate) fn beyond_deadline(&self, now: Instant) -> Duration {
        self.time_left(now) + BEYOND_DEADLINE
    }

    /// How long the caller still waits.
    pub(crate) fn time_left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }

    /// Takes a place at the best server that was not tried.
    pub(crate) fn select_server(
        &self,
        shared: &Rc<Shared>,
        tried: &[String],
        last_server: Option<&str>,
    ) -> Option<ServerSlot> {
        let directory = shared.directory();
        let limit = shared.connection_limit(self.service);
        let mut choice = shared.choice.borrow_mut();
        let candidates: Vec<&BackendServer> = directory
            .servers
            .ready(self.service)
            .filter(|server| choice.in_flight(&server.id) < limit)
            .collect();
        let affinity = Affinity {
            parts: &self.info.parts,
            last_server,
        };
        let now = shared.now_us(Instant::now());
        let (server, reason) = choice.choose_with_reason(now, &candidates, tried, affinity)?;
        let server = server.clone();
        choice.start_request(&server.id, affinity);
        drop(choice);
        Some(ServerSlot {
            shared: Rc::clone(shared),
            server,
            reason,
        })
    }

    /// Sends the request and waits for the head of the answer for `patience`; a server that says
    /// nothing for longer is passed over for a while, like one that breaks off.
    ///
    /// Its health checks may be good all the while, so that nothing else shows it.
    pub(crate) async fn send_with_timeout(
        &self,
        patience: Duration,
        shared: &Shared,
        slot: ServerSlot,
        body: bytes::Bytes,
        last_event_id: Option<u64>,
    ) -> Result<ServerResponse, AttemptError> {
        let server = slot.server.id.clone();
        let sending = self.send(shared, slot, body, last_event_id);
        let sent = timeout(patience, sending).await;
        sent.unwrap_or_else(|_| {
            shared.record_failure(&server);
            Err(AttemptError::ResponseLost)
        })
    }

    /// Sends the request with `body` to the server of `slot` and reads the head of the answer.
    async fn send(
        &self,
        shared: &Shared,
        slot: ServerSlot,
        body: bytes::Bytes,
        last_event_id: Option<u64>,
    ) -> Result<ServerResponse, AttemptError> {
        let begun = Instant::now();
        let address = slot.server.address;
        let opened = shared.pool.connection(address, CONNECT_LIMIT, begun).await;
        let Ok(mut connection) = opened else {
            slot.record_failure();
            return Err(AttemptError::ConnectFailed);
        };
        let send = SendInfo {
            time_left: self.time_left(Instant::now()),
            server_id: &slot.server.id,
            last_event_id,
        };
        let request = Outgoing {
            method: self.received.head.method().clone(),
            target: target(self.received),
            headers: forwarded(&self.received.head.head().headers, &send),
            body,
        };
        let Ok(head) = connection.exchange(&request).await else {
            slot.record_failure();
            return Err(AttemptError::ResponseLost);
        };
        self.judge(shared, slot, connection, head).await
    }

    async fn judge(
        &self,
        shared: &Shared,
        slot: ServerSlot,
        mut connection: Connection,
        head: ResponseHead,
    ) -> Result<ServerResponse, AttemptError> {
        let is_own = platform::answer::belongs_to(&head.headers, &self.info.id);
        if !is_own && !Safeguard::OwnAnswer.is_disabled() {
            // A late answer to an earlier request, or one that can't be told from it.
            let is_refusal = platform::answer::says_not_run(head.status.as_u16(), &head.headers);
            slot.record_failure();
            return if is_refusal && !platform::answer::has_request_id(&head.headers) {
                Err(AttemptError::NotRun)
            } else {
                Err(AttemptError::ResponseLost)
            };
        }
        if platform::answer::says_not_run(head.status.as_u16(), &head.headers) {
            let is_another = platform::answer::says_another(head.status.as_u16());
            shared.record_refusal(&slot.server.id, is_another);
            if connection.body(MAX_REFUSAL_BYTES).await.is_ok() {
                let address = slot.server.address;
                shared.pool.give_back(address, connection, Instant::now());
            }
            return Err(AttemptError::NotRun);
        }
        Ok(ServerResponse {
            head,
            connection,
            slot,
        })
    }
}

/// The largest body of a server's refusal that is read in order to keep the connection.
const MAX_REFUSAL_BYTES: usize = 16_384;

/// Path and query as the caller sent them.
fn target(received: &ReceivedRequest<'_>) -> Uri {
    received.head.uri().clone()
}
