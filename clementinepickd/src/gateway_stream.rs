//! Turns of programs: event streams, with budget, context and resumption.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use actix_http::StatusCode;
use actix_rt::time::timeout;
use bytes::{Bytes, BytesMut};
use clementinepick::event::{Event, EventKind};
use clementinepick::event_stream::{EventSplitter, StreamEvent};
use clementinepick::refusal::Refusal;
use clementinepick::server_selection::PromptPart;
use clementinepick::turn_chain::{Turn, build_prompt};
use clementinepick::units::Tokens;

use crate::gateway_attempts::{AttemptError, Attempts};
use crate::gateway_budget::{self, Reserved};
use crate::gateway_exchange::{RoutedRequest, ServerResponse, ServerSlot};
use crate::gateway_peer_turns;
use crate::gateway_reply::{CallerDisconnected, Reply, ReplyState};
use crate::gateway_shared::Shared;
use crate::gateway_trace::Trace;
use crate::ledger::LedgerError;
use crate::ledger_budgets::BudgetRequest;
use crate::ledger_holds::BudgetHold;
use crate::link::duration;
use crate::safeguard::Safeguard;
use crate::unix_time::unix_ms;

/// The most tokens of a turn that names none; a turn without a maximum counts as a large one.
const DEFAULT_TURN_TOKENS: Tokens = Tokens(1_024);
/// The largest answer of an engine that is no stream, in bytes.
const MAX_FAILURE_BYTES: usize = 65_536;
/// A resumable stream that is silent for this many times the pause that callers accept goes on at
/// another server. An engine that preempts a request is silent for about one pause.
const PATIENCE_GAPS: u32 = 2;
/// The least patience for the first event, which waits for a place and the reading of the prompt.
const MIN_FIRST_PATIENCE: Duration = Duration::from_millis(1_200);

/// The name of turns in metrics.
pub(crate) const TURN: &str = "turn";

/// What the caller has of a stream so far.
#[derive(Default)]
struct Delivered {
    last_event_id: Option<u64>,
    output: BytesMut,
}

/// Runs a turn and answers the caller.
pub(crate) async fn run(
    shared: &Rc<Shared>,
    job: &RoutedRequest<'_>,
    trace: &Trace,
    reply: &mut Reply<'_>,
) -> Result<Result<(), Refusal>, CallerDisconnected> {
    let deadline = ledger_deadline(job);
    let (hold, previous_at, line_server) =
        match reserve(shared, job, trace, most_tokens(job), deadline).await {
            Ok(Some(reserved)) => (
                Some(reserved.hold),
                reserved.previous_at,
                reserved.line_server,
            ),
            Ok(None) => (None, None, None),
            Err(refusal) => return Ok(Err(refusal)),
        };
    let previous = match previous_turn(shared, job, previous_at, deadline).await {
        Ok(previous) => previous,
        Err(refusal) => return Ok(Err(refusal)),
    };
    trace.record_admitted(Instant::now());
    let mut stream = TurnStream {
        shared,
        job,
        trace,
        covered: hold.as_ref().map_or(Tokens(0), BudgetHold::reserved_tokens),
        hold,
        body: build_prompt(previous.as_ref(), &job.received.body),
        last_server: previous
            .as_ref()
            .and_then(|turn| turn.server.clone())
            .or(line_server),
        previous,
        server: None,
        is_out_of_budget: false,
        delivered: Delivered {
            last_event_id: job.info.last_event_id,
            output: BytesMut::new(),
        },
    };
    if let Err(refusal) = stream.run(reply).await? {
        return Ok(Err(refusal));
    }
    trace.record_generated(Instant::now());
    if reply.state() == ReplyState::Started {
        if Safeguard::RecordBeforeEnd.is_disabled() {
            reply.finish().await?;
            // Nobody waits for it.
            let _ = stream.record().await;
            return Ok(Ok(()));
        }
        if job.route.keeps_context && !stream.record().await {
            // The end is withheld: a caller that saw it could continue from a turn that a loss of
            // this process would lose.
            return Ok(Err(Refusal::LedgerUnavailable));
        }
        reply.finish().await?;
    }
    Ok(Ok(()))
}

/// The turn that a turn continues from; `ran_at` is the peer that ran it, if that is known.
async fn previous_turn(
    shared: &Rc<Shared>,
    job: &RoutedRequest<'_>,
    ran_at: Option<SocketAddr>,
    deadline: Instant,
) -> Result<Option<Arc<Turn>>, Refusal> {
    let Some(id) = job.info.previous_turn.as_ref() else {
        return Ok(None);
    };
    if !job.route.keeps_context {
        return Ok(None);
    }
    let fetch = async |id: &str| gateway_peer_turns::fetch(shared, ran_at?, id).await;
    let found = shared.turns.get(id, deadline, fetch).await;
    let found = found.map_err(|err| refusal_of(&err))?;
    if found.records_read > 0 {
        let event = Event::new(EventKind::TurnsRead)
            .with("request", &job.info.id)
            .with("previous", id)
            .with("records", found.records_read);
        shared.log(&event);
    }
    Ok(Some(found.turn))
}

async fn reserve(
    shared: &Rc<Shared>,
    job: &RoutedRequest<'_>,
    trace: &Trace,
    tokens: Tokens,
    deadline: Instant,
) -> Result<Option<Reserved>, Refusal> {
    let (Some(program), Some(budget)) = (&job.info.program, job.info.budget_tokens) else {
        return Ok(None);
    };
    let keeps_context = job.route.keeps_context;
    let request = BudgetRequest {
        program,
        budget: Tokens(budget),
        turn: tokens,
        retention: job.route.retention_us,
        turn_id: &job.info.id,
        previous_id: job.info.previous_turn.as_deref().filter(|_| keeps_context),
        keeps_context,
        lines: job.info.parts.get(1..).unwrap_or_default(),
    };
    match gateway_budget::reserve(shared, trace, &request, deadline).await {
        Ok(reserved) => Ok(Some(reserved)),
        Err(err) => {
            if let LedgerError::Spent { reserved, .. } = &err {
                trace.add_field("budget", &request.budget);
                trace.add_field("reserved", reserved);
            }
            Err(refusal_of(&err))
        }
    }
}

/// What the turn generates at most.
fn most_tokens(job: &RoutedRequest<'_>) -> Tokens {
    job.info.most_tokens.map_or(DEFAULT_TURN_TOKENS, Tokens)
}

/// Until when the store is waited for before a request is refused. A caller that comes back is
/// served by whichever process the store answers, so that waiting for longer than a try and a
/// repeat takes gains nothing.
fn ledger_deadline(job: &RoutedRequest<'_>) -> Instant {
    const LEDGER_PATIENCE: Duration = Duration::from_millis(1_200);
    job.deadline.min(Instant::now() + LEDGER_PATIENCE)
}

fn refusal_of(err: &LedgerError) -> Refusal {
    match err {
        LedgerError::Unavailable => Refusal::LedgerUnavailable,
        LedgerError::Spent { .. } => Refusal::BudgetSpent,
        LedgerError::UnknownTurn => Refusal::UnknownTurn,
    }
}

struct TurnStream<'a, 'j> {
    shared: &'a Rc<Shared>,
    job: &'a RoutedRequest<'j>,
    trace: &'a Trace,
    hold: Option<BudgetHold>,
    /// How much was set aside for the turn in all.
    covered: Tokens,
    previous: Option<Arc<Turn>>,
    /// The server that ran the turn before, as far as it is known.
    last_server: Option<String>,
    /// The server of the last run.
    server: Option<String>,
    /// Whether the budget that is set aside is used up, and no more can be had now.
    is_out_of_budget: bool,
    body: Bytes,
    delivered: Delivered,
}

impl TurnStream<'_, '_> {
    /// Records the turn; false when the store did not take the record in time.
    async fn record(self) -> bool {
        let turn = Turn {
            id: self.job.info.id.clone(),
            parent: self.previous,
            server: self.server,
            input: self.job.received.body.clone(),
            output: self.delivered.output.freeze(),
            recorded_unix_ms: unix_ms(),
        };
        let retention = self.job.route.retention_us;
        let turns = &self.shared.turns;
        let recorded = turns.record(turn, retention, self.job.deadline);
        recorded.await.is_ok()
    }

    async fn run(
        &mut self,
        reply: &mut Reply<'_>,
    ) -> Result<Result<(), Refusal>, CallerDisconnected> {
        let may_repeat = self.job.route.is_resumable;
        let mut attempts = Attempts::new(self.shared, self.job, self.trace, may_repeat);
        while let Some(slot) = attempts.next_slot(self.last_server.as_deref()) {
            self.record_placement(&slot.server.id);
            match self.run_once(slot, reply).await? {
                Ok(()) => return Ok(Ok(())),
                Err(_) if self.is_out_of_budget => return Ok(Err(Refusal::LedgerUnavailable)),
                Err(end) => attempts.record_error(end),
            }
        }
        Ok(Err(attempts.refusal()))
    }

    fn record_placement(&mut self, server: &str) {
        self.server = Some(server.to_owned());
        let info = self.job.info;
        let line = info.parts.get(1..).and_then(<[PromptPart]>::last);
        if let (Some(hold), Some(program), Some(line)) = (&mut self.hold, &info.program, line) {
            gateway_budget::record_placement(self.shared, hold, program, &line.id, server);
        }
    }

    /// One run at one server; done when the stream, or a failure of the server's own, was passed on.
    async fn run_once(
        &mut self,
        slot: ServerSlot,
        reply: &mut Reply<'_>,
    ) -> Result<Result<(), AttemptError>, CallerDisconnected> {
        let body = self.body.clone();
        let last_event_id = self.delivered.last_event_id;
        let patience = self.first_patience();
        let sent = self
            .job
            .send_with_timeout(patience, self.shared, slot, body, last_event_id);
        let answering = match sent.await {
            Ok(answering) => answering,
            Err(end) => return Ok(Err(end)),
        };
        if answering.head.status != StatusCode::OK {
            return self.deliver_failure(answering, reply).await;
        }
        if reply.state() == ReplyState::Open {
            let headers = platform::answer::forwarded(&answering.head.headers);
            reply.send_head(StatusCode::OK, headers).await?;
            self.trace.status.set(StatusCode::OK.as_u16());
        }
        self.deliver_events(answering, reply).await
    }

    /// Passes on an engine's own failure, or ends a stream that is under way.
    async fn deliver_failure(
        &mut self,
        mut answering: ServerResponse,
        reply: &mut Reply<'_>,
    ) -> Result<Result<(), AttemptError>, CallerDisconnected> {
        if reply.state() != ReplyState::Open {
            return Ok(Err(AttemptError::ResponseLost));
        }
        let Ok(body) = answering.connection.body(MAX_FAILURE_BYTES).await else {
            return Ok(Err(AttemptError::ResponseLost));
        };
        let headers = platform::answer::forwarded(&answering.head.headers);
        let status = answering.head.status;
        answering.release_connection(self.shared);
        reply.send_full(status, headers, body).await?;
        Ok(Ok(()))
    }

    async fn deliver_events(
        &mut self,
        mut answering: ServerResponse,
        reply: &mut Reply<'_>,
    ) -> Result<Result<(), AttemptError>, CallerDisconnected> {
        let mut splitter = EventSplitter::default();
        let mut patience = self.first_patience();
        loop {
            let chunk = match timeout(patience, answering.connection.chunk()).await {
                Ok(Ok(Some(chunk))) => chunk,
                Ok(Ok(None)) if splitter.is_empty() => {
                    answering.release_connection(self.shared);
                    return Ok(Ok(()));
                }
                Ok(Ok(None) | Err(_)) | Err(_) => {
                    answering.slot.record_failure();
                    return Ok(Err(AttemptError::ResponseLost));
                }
            };
            splitter.push(&chunk);
            if splitter.exceeds_limit() {
                return Ok(Err(AttemptError::ResponseLost));
            }
            while let Some(event) = splitter.next_event() {
                if !self.cover_event().await {
                    self.is_out_of_budget = true;
                    return Ok(Err(AttemptError::ResponseLost));
                }
                self.deliver(event, reply).await?;
                patience = self.gap_patience();
            }
        }
    }

    /// Sees to it that one more event is within the program's budget; false if that can't be known.
    ///
    /// A turn that was started with less than its maximum may reach the end of what was set aside. The
    /// rest is asked for then, and its events wait meanwhile.
    async fn cover_event(&mut self) -> bool {
        let tokens = self.shared.tokens_per_event(self.job.service);
        let most = most_tokens(self.job);
        let Some(hold) = self.hold.as_ref() else {
            return true;
        };
        if hold.reserved_tokens() >= most || hold.covers(tokens) {
            return true;
        }
        let rest = most.saturating_sub(self.covered).max(tokens);
        let deadline = ledger_deadline(self.job);
        match reserve(self.shared, self.job, self.trace, rest, deadline).await {
            Ok(Some(reserved)) => {
                self.covered.0 += reserved.hold.reserved_tokens().0;
                self.hold = Some(reserved.hold);
                true
            }
            _ => false,
        }
    }

    async fn deliver(
        &mut self,
        event: StreamEvent,
        reply: &mut Reply<'_>,
    ) -> Result<(), CallerDisconnected> {
        let has = self.delivered.last_event_id;
        if event.id.is_some() && has.is_some() && event.id <= has {
            // A run that goes on may begin with what the caller has.
            return Ok(());
        }
        if event.id.is_some() {
            self.delivered.last_event_id = event.id;
        }
        if self.job.route.keeps_context {
            self.delivered.output.extend_from_slice(&event.data);
            self.delivered.output.extend_from_slice(b"\n");
        }
        if let Some(hold) = &mut self.hold {
            hold.consume(self.shared.tokens_per_event(self.job.service));
        }
        self.trace.record_first_byte(Instant::now());
        reply.send_chunk(event.raw).await
    }

    fn first_patience(&self) -> Duration {
        let target = duration(self.job.route.target_latency_us);
        self.patience((target * 4).max(MIN_FIRST_PATIENCE))
    }

    fn gap_patience(&self) -> Duration {
        let gap = duration(self.job.route.gap_target_us);
        self.patience(gap * PATIENCE_GAPS)
    }

    /// Silence ends a run only where another can take its place.
    fn patience(&self, silence: Duration) -> Duration {
        if self.job.route.is_resumable {
            silence
        } else {
            self.job.beyond_deadline(Instant::now())
        }
    }
}
