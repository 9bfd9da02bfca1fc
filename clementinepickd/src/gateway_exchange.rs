//! Sends a request to one backend server and reads the head of the response, for calls and streams.

use std::cell::Cell;
use std::collections::BTreeSet;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::uri::PathAndQuery;
use actix_http::{Request, ResponseHead, Uri};
use actix_rt::time::timeout;
use clementinepick::ended_servers::ServerStart;
use clementinepick::request_key::{RequestContent, RequestKey};
use clementinepick::server_list::BackendServer;
use clementinepick::server_selection::{Affinity, SelectionReason};
use clementinepick::start_doubts::StartUse;
use clementinepick::stream_origin::StreamOrigin;
use clementinepick::traffic_config::{TrafficConfig, TrafficRoute, TrafficService};
use clementinepick::units::Tokens;
use platform::request::{RequestInfo, SchedulerHeaders, forwarded_headers};

use crate::body_parts::BodyParts;
use crate::gateway_attempts::AttemptError;
use crate::gateway_receive::ReceivedRequest;
use crate::gateway_shared::Shared;
use crate::gateway_start::{DoubtReason, StartProof};
use crate::gateway_turn_budget::max_turn_tokens;
use crate::outbound::{Connection, OutboundError, OutboundRequest};
use crate::safeguard::Safeguard;
use crate::server_probe::PROBE_TIMEOUT;

/// How long opening a connection to a backend server may take. A lost packet of the handshake is
/// retransmitted only after a second, so that waiting for longer gains little.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// A request with its route and deadline.
pub(crate) struct RoutedRequest<'a> {
    pub(crate) received: &'a ReceivedRequest<'a>,
    pub(crate) info: &'a RequestInfo,
    /// The configuration that the request was routed by, which holds until its end.
    pub(crate) config: &'a TrafficConfig,
    pub(crate) route: &'a TrafficRoute,
    /// The service that the route selected.
    pub(crate) service: &'a str,
    /// The earlier of the caller's deadline and the route's timeout.
    pub(crate) deadline: Instant,
}

/// A server's response whose head was received.
pub(crate) struct ServerResponse {
    pub(crate) head: ResponseHead,
    pub(crate) connection: Connection,
    /// Counts the request as in flight at the server until dropped.
    pub(crate) slot: ServerSlot,
}

impl ServerResponse {
    /// Returns the connection to the pool, after the body was read to its end.
    pub(crate) fn release_connection(self, shared: &Shared) {
        let address = self.slot.server.address;
        let now = shared.now_us(Instant::now());
        let has_failed = self.head.status.is_server_error();
        let mut choice = shared.choice.borrow_mut();
        choice.record_response(now, &self.slot.server.id, has_failed);
        drop(choice);
        shared
            .pool
            .release(address, self.connection, Instant::now());
    }
}

/// What the next run of a request begins with.
pub(crate) struct RunInput {
    pub(crate) body: BodyParts,
    /// The last event that the caller has of a stream.
    pub(crate) last_event_id: Option<u64>,
    /// The server that ran the previous turn, if known.
    pub(crate) last_server: Option<String>,
    /// Where the stream began, if it has.
    pub(crate) origin: Option<StreamOrigin>,
}

/// Where a request may run.
#[derive(Debug, Default)]
pub(crate) struct ServerFilter {
    /// The servers at which it must not.
    pub(crate) avoided: Vec<String>,
    /// The only servers at which it may, if not all others.
    pub(crate) confined_to: Option<BTreeSet<String>>,
}

impl ServerFilter {
    fn allows(&self, server: &str) -> bool {
        let confined_to = self.confined_to.as_ref();
        confined_to.is_none_or(|servers| servers.contains(server))
    }
}

/// The future head of a server's response.
pub(crate) type ResponseFuture<'a> =
    Pin<Box<dyn Future<Output = Result<ServerResponse, AttemptError>> + 'a>>;

/// A request that was sent to a server, or is being sent.
pub(crate) struct SentRequest<'a> {
    pub(crate) server: BackendServer,
    pub(crate) response: ResponseFuture<'a>,
}

/// A request that counts as in flight at a server until this is dropped.
pub(crate) struct ServerSlot {
    shared: Rc<Shared>,
    pub(crate) server: BackendServer,
    start: ServerStart,
    /// Why this server was chosen.
    pub(crate) reason: SelectionReason,
    /// What the server is to run, as far as its start matters.
    pub(crate) usage: StartUse,
    /// How the server was found to be the listed start.
    pub(crate) proof: Cell<StartProof>,
    /// How long it may take to say which start it is before anything is sent to it.
    pub(crate) question_limit: Cell<Duration>,
}

impl ServerSlot {
    /// Records that the server has sent something.
    pub(crate) fn record_heard(&self) {
        self.shared.ended.record_heard(&self.start, Instant::now());
    }

    /// Records a failure, so that the server is avoided for a while.
    pub(crate) fn record_failure(&self) {
        self.shared.record_failure(&self.server.id);
    }

    /// Records that a connection broke during the request, as when the server has ended.
    pub(crate) fn record_broken(&self) {
        self.record_failure();
        self.shared.doubt_start(&self.server, DoubtReason::Broken);
    }

    /// Records that no connection could be opened.
    pub(crate) fn record_unreached(&self, err: &OutboundError) -> AttemptError {
        self.record_failure();
        let is_refused = |err: &io::Error| err.kind() == io::ErrorKind::ConnectionRefused;
        if matches!(err, OutboundError::Connect(err) if is_refused(err)) {
            self.shared.doubt_start(&self.server, DoubtReason::Refused);
        }
        AttemptError::ConnectFailed
    }
}

impl Drop for ServerSlot {
    fn drop(&mut self) {
        self.shared.choice.borrow_mut().end_request(&self.server.id);
    }
}

impl<'a> RoutedRequest<'a> {
    /// Returns the same request for another service of the route.
    pub(crate) fn with_service<'b>(&self, service: &'b str) -> RoutedRequest<'b>
    where
        'a: 'b,
    {
        RoutedRequest { service, ..*self }
    }

    fn service_config(&self) -> Option<&'a TrafficService> {
        self.config.services.get(self.service)
    }

    /// Returns the number of tokens in one event of the service. The events of a service that is not listed
    /// may have any number, so that one counts as a whole turn.
    pub(crate) fn tokens_per_event(&self) -> Tokens {
        let service = self.service_config();
        service.map_or_else(|| max_turn_tokens(self), |s| s.tokens_per_event)
    }

    /// Returns the key that all attempts of the caller at this request have in common.
    pub(crate) fn content_key(&self) -> RequestKey {
        let head = &self.received.head;
        let content = RequestContent {
            method: head.method().as_str(),
            host: request_host(head),
            target: head.uri().path_and_query().map_or("", PathAndQuery::as_str),
            program: self.info.program.as_deref(),
            session: self.info.session.as_deref(),
            previous_turn: self.info.previous_turn.as_deref(),
            body: &self.received.body,
        };
        content.key()
    }

    /// Returns the time left until the deadline.
    pub(crate) fn time_left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }

    /// Selects the best server that `filter` allows and counts the request as in flight there.
    ///
    /// A stream with an `origin` is sent only to servers that can continue it: callers can't join
    /// the events of two software versions.
    pub(crate) fn select_server(
        &self,
        shared: &Rc<Shared>,
        filter: &ServerFilter,
        input: &RunInput,
    ) -> Option<ServerSlot> {
        let slot = self.reserve_server(shared, filter, input)?;
        self.record_prompt(shared, &slot.server, input);
        Some(slot)
    }

    /// Selects a server to which the request may be sent later, and counts the request as in flight
    /// there.
    pub(crate) fn reserve_server(
        &self,
        shared: &Rc<Shared>,
        filter: &ServerFilter,
        input: &RunInput,
    ) -> Option<ServerSlot> {
        let directory = shared.directory();
        let limit = shared.connection_limit(self.service, self.service_config());
        let origin = input.origin.as_ref();
        let origin = origin.filter(|_| !Safeguard::StreamVersion.is_disabled());
        let mut choice = shared.choice.borrow_mut();
        let mut candidates: Vec<&BackendServer> = directory
            .servers
            .ready(self.service)
            .filter(|server| choice.in_flight(&server.id) < limit)
            .filter(|server| {
                origin.is_none_or(|origin| {
                    origin.fits(server)
                        && (shared.start_doubts().may_continue_at(server)
                            || shared.has_listed_connection(server))
                })
            })
            .filter(|server| filter.allows(&server.id))
            .collect();
        if self.start_use(input) == StartUse::Begin {
            prefer_provable(shared, &mut candidates);
        }
        let affinity = self.affinity(input);
        let now = shared.now_us(Instant::now());
        if candidates.is_empty() && origin.is_some() {
            // The next list may settle a doubt.
            shared.refresh_list(Instant::now());
        }
        let (server, reason) =
            choice.choose_with_reason(now, &candidates, &filter.avoided, affinity)?;
        let server = server.clone();
        choice.start_request(&server.id, Affinity::default());
        drop(choice);
        Some(ServerSlot {
            shared: Rc::clone(shared),
            start: ServerStart::of(&server),
            server,
            reason,
            usage: self.start_use(input),
            proof: Cell::default(),
            question_limit: Cell::new(PROBE_TIMEOUT),
        })
    }

    /// Returns the servers that could continue the stream of `input` if they were not in doubt.
    pub(crate) fn doubted_servers(
        &self,
        shared: &Shared,
        filter: &ServerFilter,
        input: &RunInput,
    ) -> Vec<BackendServer> {
        let Some(origin) = &input.origin else {
            return Vec::new();
        };
        let servers = shared.directory().servers;
        let doubts = shared.start_doubts();
        let doubted = servers.ready(self.service).filter(|server| {
            origin.fits(server) && !doubts.may_continue_at(server) && filter.allows(&server.id)
        });
        doubted.cloned().collect()
    }

    /// Returns how far the start of the server matters that runs the request next.
    fn start_use(&self, input: &RunInput) -> StartUse {
        if Safeguard::StreamVersion.is_disabled() {
            StartUse::Other
        } else if input.origin.is_some() {
            StartUse::Rest
        } else if self.route.is_resumable {
            StartUse::Begin
        } else {
            StartUse::Other
        }
    }

    /// Records that a server reads the request's prompt.
    pub(crate) fn record_prompt(&self, shared: &Shared, server: &BackendServer, input: &RunInput) {
        let mut choice = shared.choice.borrow_mut();
        choice.record_prompt(&server.id, self.affinity(input));
    }

    fn affinity<'b>(&'b self, input: &'b RunInput) -> Affinity<'b> {
        Affinity {
            parts: &self.info.prompt_parts,
            last_server: input.last_server.as_deref(),
        }
    }

    /// Sends the request to the server of `slot` and reads the head of the response.
    pub(crate) async fn send(
        &self,
        shared: &Shared,
        slot: ServerSlot,
        body: BodyParts,
        last_event_id: Option<u64>,
    ) -> Result<ServerResponse, AttemptError> {
        let connection = self.connect(shared, &slot).await?;
        let exchange = self.exchange(shared, slot, connection, body, last_event_id);
        exchange.await
    }

    /// Takes an idle connection to the server of `slot`, or opens one. The rest of a stream gets one only
    /// if the server is the listed start.
    pub(crate) async fn connect(
        &self,
        shared: &Shared,
        slot: &ServerSlot,
    ) -> Result<Connection, AttemptError> {
        let address = slot.server.address;
        let opened = shared
            .pool
            .acquire_server(address, CONNECT_TIMEOUT, Instant::now())
            .await;
        let connection = opened.map_err(|err| slot.record_unreached(&err))?;
        match slot.usage {
            StartUse::Other => Ok(connection),
            StartUse::Begin | StartUse::Rest => shared.prove_start(slot, connection).await,
        }
    }

    /// Sends the request over a connection to the server of `slot` and reads the head of the
    /// response.
    pub(crate) async fn exchange(
        &self,
        shared: &Shared,
        slot: ServerSlot,
        mut connection: Connection,
        body: BodyParts,
        last_event_id: Option<u64>,
    ) -> Result<ServerResponse, AttemptError> {
        let send = SchedulerHeaders {
            time_left: self.time_left(Instant::now()),
            server_id: &slot.server.id,
            last_event_id,
        };
        let request = OutboundRequest {
            method: self.received.head.method().clone(),
            target: request_target(self.received),
            headers: forwarded_headers(&self.received.head.head().headers, &send),
            body,
        };
        let sent_at = Instant::now();
        let Ok(head) = connection.exchange(&request).await else {
            slot.record_broken();
            return Err(AttemptError::ResponseLost);
        };
        slot.record_heard();
        shared.record_response(&slot.server, &connection, sent_at);
        self.check_response(shared, slot, connection, head).await
    }

    /// Rejects a response that belongs to another request or that refuses the request.
    async fn check_response(
        &self,
        shared: &Shared,
        slot: ServerSlot,
        mut connection: Connection,
        head: ResponseHead,
    ) -> Result<ServerResponse, AttemptError> {
        let is_own = platform::response::matches_request_id(&head.headers, &self.info.id);
        if !is_own && !Safeguard::OwnAnswer.is_disabled() {
            // The response may belong to an earlier request on this connection.
            let is_refusal =
                platform::response::is_not_executed(head.status.as_u16(), &head.headers);
            slot.record_failure();
            return if is_refusal && !platform::response::has_request_id(&head.headers) {
                Err(AttemptError::NotRun)
            } else {
                Err(AttemptError::ResponseLost)
            };
        }
        if platform::response::is_not_executed(head.status.as_u16(), &head.headers) {
            let is_another = platform::response::is_misdirected(head.status.as_u16());
            shared.record_refusal(&slot.server.id, is_another);
            if is_another {
                shared.doubt_start(&slot.server, DoubtReason::Misdirected);
            }
            let body = timeout(REFUSAL_BODY_TIMEOUT, connection.body(MAX_REFUSAL_BYTES)).await;
            if matches!(body, Ok(Ok(_))) {
                let address = slot.server.address;
                shared.pool.release(address, connection, Instant::now());
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

/// Drops the servers at which a stream would begin without a proof of its version, if there are others.
fn prefer_provable(shared: &Shared, candidates: &mut Vec<&BackendServer>) {
    let is_provable = |server: &BackendServer| {
        shared.start_doubts().may_continue_at(server) || shared.has_listed_connection(server)
    };
    if candidates.iter().any(|server| is_provable(server)) {
        candidates.retain(|server| is_provable(server));
    }
}

/// The largest body of a server's refusal, in bytes, that is read in order to reuse the connection.
const MAX_REFUSAL_BYTES: usize = 16_384;
/// How long the body of a refusal is waited for; the next server does not have to wait for the rest.
const REFUSAL_BODY_TIMEOUT: Duration = Duration::from_millis(50);

/// Returns the host that the caller named, without the port.
pub(crate) fn request_host(head: &Request) -> &str {
    let host = head.head().headers.get("host");
    let host = host.and_then(|host| host.to_str().ok()).unwrap_or_default();
    host.rsplit_once(':').map_or(host, |(name, _)| name)
}

/// Returns the path and query as the caller sent them.
fn request_target(received: &ReceivedRequest<'_>) -> Uri {
    received.head.uri().clone()
}
