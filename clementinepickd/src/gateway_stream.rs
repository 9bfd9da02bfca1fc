//! Runs turns of programs: event streams with a budget, kept context and resumption at another
//! server.

use std::cell::Cell;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use actix_http::StatusCode;
use actix_rt::time::sleep;
use bytes::BytesMut;
use clementinepick::event::{Event, EventKind};
use clementinepick::event_stream::{EventSplitter, StreamEvent};
use clementinepick::refusal::Refusal;
use clementinepick::server_list::BackendServer;
use clementinepick::server_selection::PromptPart;
use clementinepick::stream_origin::StreamOrigin;
use clementinepick::text_memory::HeldText;
use clementinepick::turn_chain::{Turn, build_prompt, record_retention_ms};
use clementinepick::units::Tokens;
use futures_util::future::{Either, select};
use tokio::sync::oneshot;
use tokio::task::yield_now;

use crate::body_parts::BodyParts;
use crate::gateway_attempts::{AttemptError, Attempts};
use crate::gateway_budget::{self, Reserved};
use crate::gateway_exchange::{RoutedRequest, RunInput, SentRequest, ServerResponse, ServerSlot};
use crate::gateway_handover::RunEnd;
use crate::gateway_peer_turns;
use crate::gateway_reply::{CallerDisconnected, Reply, ReplyState};
use crate::gateway_resumption::find_resumed_origin;
use crate::gateway_shared::Shared;
use crate::gateway_start::StartProof;
use crate::gateway_start_check::{Received, StartAnswer, StartCheck, receive};
use crate::gateway_trace::Trace;
use crate::gateway_turn_budget::{STORE_TIMEOUT, max_turn_tokens, reserve, to_refusal};
use crate::ledger_holds::BudgetHold;
use crate::ledger_turns::TurnWait;
use crate::link::duration;
use crate::outbound::OutboundError;
use crate::response_memory::MemoryPart;
use crate::safeguard::Safeguard;
use crate::unix_time::unix_ms;

/// The largest response of an engine that is no event stream, in bytes.
const MAX_ERROR_BODY_BYTES: usize = 65_536;
/// A resumable stream without an event for this many times the route's gap target is resumed at
/// another server, if one takes it. An engine that preempts a request pauses for about one gap.
const IDLE_TIMEOUT_GAPS: u32 = 2;
/// The pause after a begun stream could not reserve more tokens.
const RESERVE_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// How many events of one read are delivered before other requests get their turn.
const EVENTS_PER_TURN: u32 = 16;
/// The minimum timeout for the first event, which waits for a free slot and for the prompt to be
/// read.
const MIN_FIRST_EVENT_TIMEOUT: Duration = Duration::from_millis(1_200);

/// The kind of turns in metrics.
pub(crate) const TURN: &str = "turn";

/// The part of a stream that was delivered to the caller.
#[derive(Default)]
struct Delivered {
    last_event_id: Option<u64>,
    output: BytesMut,
}

/// Runs a turn and sends its events to the caller.
pub(crate) async fn run(
    shared: &Rc<Shared>,
    routed: &RoutedRequest<'_>,
    trace: &Trace,
    reply: &mut Reply<'_>,
) -> Result<Result<(), Refusal>, CallerDisconnected> {
    let origin = match find_resumed_origin(shared, routed, trace).await {
        Ok(origin) => origin,
        Err(refusal) => return Ok(Err(refusal)),
    };
    let service = origin
        .as_ref()
        .map_or(routed.service, |origin| &origin.service);
    let routed = &routed.with_service(service);
    let (reserved, previous) = match admit(shared, routed, trace).await {
        Ok(admitted) => admitted,
        Err(refusal) => return Ok(Err(refusal)),
    };
    let (hold, chain_server) = match reserved {
        Some(reserved) => (Some(reserved.hold), reserved.chain_server),
        None => (None, None),
    };
    trace.record_admitted(Instant::now());
    let mut stream = TurnStream {
        shared,
        routed,
        trace,
        reserved_total: hold.as_ref().map_or(Tokens(0), BudgetHold::reserved_tokens),
        hold,
        body: build_prompt(previous.as_ref(), &routed.received.body).into(),
        last_server: previous
            .as_ref()
            .and_then(|turn| turn.server.clone())
            .or(chain_server),
        previous,
        server: None,
        origin: origin.clone(),
        is_out_of_budget: false,
        delivered: Delivered {
            last_event_id: routed.info.last_event_id,
            output: BytesMut::new(),
        },
        memory: shared.response_memory.part(),
    };
    if let Err(refusal) = stream.run(reply).await? {
        return Ok(Err(refusal));
    }
    trace.record_generated(Instant::now());
    if reply.state() == ReplyState::Started {
        if Safeguard::RecordBeforeEnd.is_disabled() {
            reply.finish().await?;
            // The result is ignored, because the caller already has the end.
            let _ = stream.record().await;
            return Ok(Ok(()));
        }
        if routed.route.keeps_context && !stream.record().await {
            // The end is withheld: a caller that saw it could continue from a turn that is lost
            // with this process.
            return Ok(Err(Refusal::LedgerUnavailable));
        }
        reply.finish().await?;
    }
    Ok(Ok(()))
}

/// Reserves a turn's maximum and finds the turn that it continues from, at the same time if both need
/// the store.
///
/// A reservation that has begun is awaited also if the previous turn can't be had: its tokens go back
/// to the budget, while those of an append whose response nobody reads are lost to it.
async fn admit(
    shared: &Rc<Shared>,
    routed: &RoutedRequest<'_>,
    trace: &Trace,
) -> Result<(Option<Reserved>, Option<Arc<Turn>>), Refusal> {
    let (sender, runner) = oneshot::channel();
    let runner_found = |runner| {
        // The receiver lasts as long as the reservation.
        let _ = sender.send(runner);
    };
    let tokens = max_turn_tokens(routed);
    let reservation = pin!(reserve(shared, routed, trace, tokens, runner_found));
    let previous = pin!(async {
        // Without a message, the reservation has ended and no runner is known.
        let ran_at = runner.await.ok().flatten();
        find_previous_turn(shared, routed, ran_at).await
    });
    match select(reservation, previous).await {
        Either::Left((reserved, previous)) => Ok((reserved?, previous.await?)),
        Either::Right((previous, reservation)) => Ok((reservation.await?, previous?)),
    }
}

/// Finds the turn that this one continues from; `ran_at` is the peer that ran it, if known.
async fn find_previous_turn(
    shared: &Rc<Shared>,
    routed: &RoutedRequest<'_>,
    ran_at: Option<SocketAddr>,
) -> Result<Option<Arc<Turn>>, Refusal> {
    let Some(id) = routed.info.previous_turn.as_ref() else {
        return Ok(None);
    };
    if !routed.route.keeps_context {
        return Ok(None);
    }
    let ran_at = Cell::new(ran_at);
    let fetch = async |id: &str| {
        if let Some(peer) = ran_at.get() {
            return gateway_peer_turns::fetch(shared, peer, id).await;
        }
        if !shared.store.is_slow() {
            return None;
        }
        let (peer, record) = gateway_peer_turns::fetch_from_any(shared, id).await?;
        ran_at.set(Some(peer));
        Some(record)
    };
    let wait = TurnWait {
        idle_limit: STORE_TIMEOUT,
        deadline: routed.deadline,
    };
    let found = shared.turns.get(id, wait, fetch).await;
    let found = found.map_err(|err| to_refusal(&err))?;
    if found.records_read > 0 {
        let event = Event::new(EventKind::TurnsRead)
            .with("request", &routed.info.id)
            .with("previous", id)
            .with("records", found.records_read);
        shared.log(&event);
    }
    Ok(Some(found.turn))
}

/// Returns the origin of a stream that has begun at `server`.
fn origin_at(server: &BackendServer, proof: StartProof) -> StreamOrigin {
    match proof {
        StartProof::List | StartProof::Connection | StartProof::Report => StreamOrigin::at(server),
        StartProof::Unanswered => StreamOrigin::unanswered_at(server),
        StartProof::Unproven => StreamOrigin::unproven_at(server),
    }
}

struct TurnStream<'a, 'j> {
    shared: &'a Rc<Shared>,
    routed: &'a RoutedRequest<'j>,
    trace: &'a Trace,
    hold: Option<BudgetHold>,
    /// The total number of tokens reserved for the turn.
    reserved_total: Tokens,
    previous: Option<Arc<Turn>>,
    /// The server that ran the previous turn, if known.
    last_server: Option<String>,
    /// The server of the current attempt.
    server: Option<String>,
    /// Where the stream began; `None` before its first event.
    origin: Option<StreamOrigin>,
    /// Whether the reserved tokens are used up and no more can be reserved.
    is_out_of_budget: bool,
    body: BodyParts,
    delivered: Delivered,
    /// The memory of what is held of the response.
    memory: MemoryPart<'a>,
}

impl<'a> TurnStream<'a, '_> {
    /// Records the turn; returns false if the store did not take the record in time.
    async fn record(self) -> bool {
        let route_ms = self.routed.route.retention_us.as_ms();
        let turn = Turn {
            id: self.routed.info.id.clone(),
            retain_ms: record_retention_ms(self.previous.as_deref(), route_ms),
            parent: self.previous,
            server: self.server,
            input: self.routed.received.body.clone(),
            output: self.delivered.output.freeze(),
            recorded_unix_ms: unix_ms(),
            turns: 1,
            held: HeldText::default(),
        };
        let recorded = self.shared.turns.record(turn, self.routed.deadline);
        recorded.await.is_ok()
    }

    async fn run(
        &mut self,
        reply: &mut Reply<'_>,
    ) -> Result<Result<(), Refusal>, CallerDisconnected> {
        let may_repeat = self.routed.route.is_resumable;
        let mut attempts = Attempts::new(self.shared, self.routed, self.trace, may_repeat);
        let mut next = attempts.next_run(&self.run_input()).await;
        while let Some(sent) = next {
            self.record_placement(&sent.server.id);
            self.log_resumption(&sent.server, reply.state());
            next = match self.run_once(&mut attempts, sent, reply).await? {
                Ok(()) => {
                    attempts.record_answered();
                    return Ok(Ok(()));
                }
                Err(_) if self.is_out_of_budget => return Ok(Err(Refusal::LedgerUnavailable)),
                Err(RunEnd::Moved(sent)) => Some(sent),
                Err(RunEnd::Failed(error)) => {
                    attempts.record_error(error).await;
                    attempts.next_run(&self.run_input()).await
                }
            };
        }
        Ok(Err(attempts.refusal()))
    }

    /// Returns what a run begins with that follows the events delivered so far.
    fn run_input(&self) -> RunInput {
        RunInput {
            body: self.body.clone(),
            last_event_id: self.delivered.last_event_id,
            last_server: self.last_server.clone(),
            origin: self.origin.clone(),
        }
    }

    /// Logs and counts a stream that is resumed at `server`.
    fn log_resumption(&self, server: &BackendServer, state: ReplyState) {
        let Some(last_event) = self.delivered.last_event_id else {
            return;
        };
        let by = if state == ReplyState::Open {
            "caller"
        } else {
            "gateway"
        };
        self.shared.metrics.count_resumed(by);
        let attempt = self.routed.info.resumed_attempt.as_deref();
        let event = Event::new(EventKind::StreamResumed)
            .with("request", &self.routed.info.id)
            .with("attempt", attempt.unwrap_or("-"))
            .with("by", by)
            .with("last_event", last_event)
            .with("server", &server.id)
            .with("version", &server.version);
        self.shared.log(&event);
    }

    fn record_placement(&mut self, server: &str) {
        self.server = Some(server.to_owned());
        let info = self.routed.info;
        let turn_chain = info.prompt_parts.get(1..).and_then(<[PromptPart]>::last);
        if let (Some(hold), Some(program), Some(turn_chain)) =
            (&mut self.hold, &info.program, turn_chain)
        {
            gateway_budget::record_placement(self.shared, hold, program, &turn_chain.id, server);
        }
    }

    /// Runs the turn at one server. Succeeds once the stream, or an error response of the server,
    /// was delivered.
    async fn run_once(
        &mut self,
        attempts: &mut Attempts<'a>,
        sent: SentRequest<'a>,
        reply: &mut Reply<'_>,
    ) -> Result<Result<(), RunEnd<'a>>, CallerDisconnected> {
        let silence_timeout = self.first_event_timeout();
        let input = || self.run_input();
        let response = match attempts.wait(silence_timeout, input, sent.response).await {
            Ok(response) => response,
            Err(end) => return Ok(Err(end)),
        };
        if response.head.status != StatusCode::OK {
            let delivered = self.deliver_error_response(response, reply).await?;
            return Ok(delivered.map_err(RunEnd::Failed));
        }
        let mut check = StartCheck::default();
        if reply.state() == ReplyState::Open {
            let slot = &response.slot;
            check = StartCheck::of(self.shared, &self.routed.info.id, slot);
            self.fix_origin(slot, check.is_open());
            if slot.proof.get() == StartProof::Unproven {
                attempts.may_repeat = false;
            }
            if self.routed.route.is_resumable {
                let recorded = self.shared.wait_until_start_recorded(&slot.server);
                check.run_beside(recorded).await;
            }
            let headers = platform::response::forwarded_headers(&response.head.headers);
            reply.send_head(StatusCode::OK, headers).await?;
            self.trace.status.set(StatusCode::OK.as_u16());
        }
        self.deliver_events(attempts, response, reply, check).await
    }

    /// Fixes where the stream begins, so that no event of another software version follows.
    ///
    /// At a server that may be another start than the listed one, its version is not known, nor is it
    /// while the server is asked.
    fn fix_origin(&mut self, slot: &ServerSlot, is_asked: bool) {
        if self.routed.route.is_resumable {
            self.trace
                .set_field("start_proof", &slot.proof.get().label());
        }
        let RoutedRequest { received, info, .. } = self.routed;
        let deadline = received.arrived + info.deadline;
        if let Some(origin) = &self.origin {
            if let Some(attempt) = &info.resumed_attempt {
                self.shared
                    .extend_origin(attempt, origin, deadline, Instant::now());
            }
            return;
        }
        let proof = slot.proof.get();
        if matches!(proof, StartProof::Unproven | StartProof::Unanswered) {
            self.shared.record_unproven_stream(&slot.server);
        }
        let proof = if is_asked {
            StartProof::Unanswered
        } else {
            proof
        };
        let origin = origin_at(&slot.server, proof);
        // The callers of streams that keep context can't resume them.
        if self.routed.route.is_resumable && !self.routed.route.keeps_context {
            self.shared
                .record_origin(&info.id, origin.clone(), deadline, Instant::now());
        }
        self.origin = Some(origin);
    }

    /// Delivers an engine's error response, unless events were delivered before.
    async fn deliver_error_response(
        &mut self,
        mut response: ServerResponse,
        reply: &mut Reply<'_>,
    ) -> Result<Result<(), AttemptError>, CallerDisconnected> {
        if reply.state() != ReplyState::Open {
            return Ok(Err(AttemptError::ResponseLost));
        }
        let resize = |bytes| self.memory.resize(bytes);
        let connection = &mut response.connection;
        let body = connection.body_within(MAX_ERROR_BODY_BYTES, resize).await;
        let Ok(body) = body else {
            return Ok(Err(AttemptError::ResponseLost));
        };
        let headers = platform::response::forwarded_headers(&response.head.headers);
        let status = response.head.status;
        response.release_connection(self.shared);
        reply.send_full(status, headers, body).await?;
        Ok(Ok(()))
    }

    /// Forwards the events of a server, and asks it meanwhile which start it is, if that is not known.
    async fn deliver_events(
        &mut self,
        attempts: &mut Attempts<'a>,
        response: ServerResponse,
        reply: &mut Reply<'_>,
        mut check: StartCheck,
    ) -> Result<Result<(), RunEnd<'a>>, CallerDisconnected> {
        let server = response.slot.server.clone();
        // The future is large, and the task of each connection would have room for it.
        let forwarding = Box::pin(self.forward_events(attempts, response, reply, &mut check));
        let end = forwarding.await;
        if matches!(end, Ok(Err(_)))
            && let Some(answer) = check.finish_within(self.idle_timeout()).await
        {
            // What it proves of the connection is of no use any more.
            let _ = self.apply_answer(attempts, &server, answer);
        }
        end
    }

    /// Takes into account what a server says of its start after the stream has begun there.
    fn apply_answer(
        &mut self,
        attempts: &mut Attempts<'a>,
        server: &BackendServer,
        answer: StartAnswer,
    ) -> StartProof {
        let proof = self.shared.judge_answer(server, answer);
        self.trace.set_field("start_proof", &proof.label());
        if proof == StartProof::Unproven {
            attempts.may_repeat = false;
        }
        self.origin = Some(origin_at(server, proof));
        proof
    }

    async fn forward_events(
        &mut self,
        attempts: &mut Attempts<'a>,
        mut response: ServerResponse,
        reply: &mut Reply<'_>,
        check: &mut StartCheck,
    ) -> Result<Result<(), RunEnd<'a>>, CallerDisconnected> {
        const LOST: RunEnd<'static> = RunEnd::Failed(AttemptError::ResponseLost);
        let mut splitter = EventSplitter::default();
        let mut silence_timeout = self.first_event_timeout();
        loop {
            let next = receive(&mut response, check);
            let input = || self.run_input();
            let chunk = match attempts.wait(silence_timeout, input, next).await {
                Ok(Received::Answer(answer)) => {
                    let server = &response.slot.server;
                    let proof = self.apply_answer(attempts, server, answer);
                    if let (StartProof::Report, StartAnswer::Report(report)) = (proof, answer) {
                        response.connection.report = Some(report);
                    }
                    continue;
                }
                Ok(Received::Chunk(Some(chunk))) => chunk,
                Ok(Received::Chunk(None)) if splitter.is_empty() => {
                    response.release_connection(self.shared);
                    return Ok(Ok(()));
                }
                Ok(Received::Chunk(None)) => {
                    response.slot.record_failure();
                    return Ok(Err(LOST));
                }
                Err(end) => return Ok(Err(end)),
            };
            response.slot.record_heard();
            let (slot, connection) = (&response.slot, &response.connection);
            self.shared
                .record_progress(&slot.server, connection, Instant::now());
            splitter.push(&chunk);
            if splitter.exceeds_limit() || !self.fits_memory(&splitter) {
                response.slot.record_failure();
                return Ok(Err(LOST));
            }
            let mut events = 0;
            while let Some(event) = splitter.next_event() {
                events += 1;
                if events % EVENTS_PER_TURN == 0 {
                    yield_now().await;
                }
                if !self.has_reserved_event() {
                    reply.flush().await?;
                    if !self.reserve_for_event().await {
                        self.is_out_of_budget = true;
                        return Ok(Err(LOST));
                    }
                }
                self.deliver(event, reply)?;
                silence_timeout = self.idle_timeout();
            }
            reply.flush().await?;
        }
    }

    /// Counts what is held of the stream; returns false if that is too much.
    fn fits_memory(&mut self, splitter: &EventSplitter) -> bool {
        let held_bytes = splitter.buffered_bytes() + self.delivered.output.len();
        let fits = self.memory.resize(held_bytes.next_power_of_two());
        if !fits {
            let error = OutboundError::OutOfMemory;
            self.trace.set_field("body_error", &error);
        }
        fits
    }

    /// Returns whether one more event is within what was reserved.
    fn has_reserved_event(&self) -> bool {
        let max_tokens = max_turn_tokens(self.routed);
        self.hold.as_ref().is_none_or(|hold| {
            hold.reserved_tokens() >= max_tokens || hold.covers(self.routed.tokens_per_event())
        })
    }

    /// Reserves one more event from the program's budget; returns false if no more tokens can be
    /// reserved until the deadline.
    ///
    /// A turn that started with less than its maximum may use up its reservation. The rest is
    /// reserved then, and its events wait until that is done.
    async fn reserve_for_event(&mut self) -> bool {
        let tokens = self.routed.tokens_per_event();
        let max_tokens = max_turn_tokens(self.routed);
        let rest = max_tokens.saturating_sub(self.reserved_total).max(tokens);
        while let Err(refusal) = self.reserve_more(rest).await {
            // The events are there, and dropping them would lose the turn.
            let may_pass = matches!(refusal, Refusal::LedgerUnavailable | Refusal::BudgetUnknown);
            if !may_pass || self.routed.time_left(Instant::now()).is_zero() {
                return false;
            }
            sleep(RESERVE_RETRY_INTERVAL).await;
        }
        true
    }

    /// Replaces the used-up hold by one on `tokens` more.
    async fn reserve_more(&mut self, tokens: Tokens) -> Result<(), Refusal> {
        let reserved = reserve(self.shared, self.routed, self.trace, tokens, |_| {}).await?;
        if let Some(Reserved { hold, .. }) = reserved {
            self.reserved_total.0 += hold.reserved_tokens().0;
            self.hold = Some(hold);
        }
        Ok(())
    }

    fn deliver(
        &mut self,
        event: StreamEvent,
        reply: &mut Reply<'_>,
    ) -> Result<(), CallerDisconnected> {
        let last_id = self.delivered.last_event_id;
        if event.id.is_some() && last_id.is_some() && event.id <= last_id {
            // A resumed stream may repeat events that the caller already has.
            return Ok(());
        }
        if event.id.is_some() {
            self.delivered.last_event_id = event.id;
        }
        if self.routed.route.keeps_context {
            self.delivered.output.extend_from_slice(&event.data);
            self.delivered.output.extend_from_slice(b"\n");
        }
        if let Some(hold) = &mut self.hold {
            hold.consume(self.routed.tokens_per_event());
        }
        self.trace.record_first_byte(Instant::now());
        reply.queue_chunk(event.raw)
    }

    fn first_event_timeout(&self) -> Duration {
        let target = duration(self.routed.route.target_latency_us);
        (target * 4).max(MIN_FIRST_EVENT_TIMEOUT)
    }

    fn idle_timeout(&self) -> Duration {
        duration(self.routed.route.gap_target_us) * IDLE_TIMEOUT_GAPS
    }
}
