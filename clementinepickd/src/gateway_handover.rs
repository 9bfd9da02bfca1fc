//! Waits for servers that may fall silent.
//!
//! A sound server may be silent for longer than a request's timeout and go on. It is left before the
//! deadline only for a successor that has taken the request; otherwise the gateway goes on waiting.

use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use actix_http::StatusCode;
use actix_rt::time::timeout;
use clementinepick::refusal::Refusal;

use crate::gateway_attempts::{AttemptError, Attempts, CurrentRun};
use crate::gateway_exchange::{ResponseFuture, RunInput, SentRequest, ServerResponse, ServerSlot};
use crate::gateway_loss::OpenLoss;
use crate::gateway_shared::Shared;
use crate::outbound::Connection;
use crate::server_probe::ServerFate;

/// How often a request at a silent server looks for a successor.
const SUCCESSOR_INTERVAL: Duration = Duration::from_millis(200);
/// How long a request may run at a silent server and at its successor. A server that is full refuses
/// a request within a round trip.
const MAX_OVERLAP: Duration = Duration::from_millis(150);

/// Why a run at a server brought no result.
pub(crate) enum RunEnd<'a> {
    /// It failed.
    Failed(AttemptError),
    /// The server was silent, and another one has taken the request.
    Moved(SentRequest<'a>),
}

impl From<AttemptError> for RunEnd<'_> {
    fn from(error: AttemptError) -> Self {
        Self::Failed(error)
    }
}

/// Why no successor takes over from a silent server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum NoSuccessor {
    /// The route allows no further attempt.
    LastAttempt,
    /// The current run decides whether the request is given up, or peers object to another one.
    Isolated,
    /// The retry budget of the service is empty.
    NoRetry,
    /// No other server is ready, fits the stream, and has not failed just now.
    NoServer,
    /// The successor was not reached.
    Unreached,
    /// The successor refused the request or failed.
    Failed,
}

impl NoSuccessor {
    /// Returns the name used in logs.
    fn label(self) -> &'static str {
        match self {
            Self::LastAttempt => "last_attempt",
            Self::Isolated => "isolated",
            Self::NoRetry => "no_retry",
            Self::NoServer => "no_server",
            Self::Unreached => "unreached",
            Self::Failed => "successor_failed",
        }
    }
}

/// A retry that was withdrawn from the budget of a service; refunded when dropped, unless committed.
struct RetryReservation {
    shared: Rc<Shared>,
    service: String,
    is_committed: bool,
}

impl RetryReservation {
    fn withdraw(shared: &Rc<Shared>, service: &str) -> Option<Self> {
        let mut retries = shared.retries.borrow_mut();
        let budget = retries.entry(service.to_owned()).or_default();
        budget.try_withdraw().then(|| Self {
            shared: Rc::clone(shared),
            service: service.to_owned(),
            is_committed: false,
        })
    }

    fn commit(mut self, kind: &'static str) {
        self.is_committed = true;
        self.shared.metrics.count_retry(kind);
    }
}

impl Drop for RetryReservation {
    fn drop(&mut self) {
        if !self.is_committed {
            let mut retries = self.shared.retries.borrow_mut();
            retries.entry(self.service.clone()).or_default().refund();
        }
    }
}

/// A server that is to take over from a silent one, and what it takes.
struct Successor {
    slot: ServerSlot,
    connection: Connection,
    run: CurrentRun,
    retry: RetryReservation,
}

/// A run at a successor that is not the request's current one yet; dropped, it is left.
struct PendingRun {
    shared: Rc<Shared>,
    loss: Option<OpenLoss>,
}

impl PendingRun {
    /// Ends the guard: the run is known otherwise.
    fn resolve(mut self) {
        self.loss = None;
    }
}

impl Drop for PendingRun {
    fn drop(&mut self) {
        if let Some(loss) = self.loss.take() {
            self.shared.abandon_run(loss);
        }
    }
}

/// A request that a successor has taken.
struct HandedOver<'a> {
    sent: SentRequest<'a>,
    /// The run at the silent server.
    replaced: Option<CurrentRun>,
    /// What is known of that run's server.
    fate: ServerFate,
}

impl<'a> Attempts<'a> {
    /// Waits for what the current server sends. After `silence_timeout` without it, the request moves to
    /// another server if one takes it.
    pub(crate) async fn wait<T>(
        &mut self,
        silence_timeout: Duration,
        input: impl Fn() -> RunInput,
        pending: impl Future<Output = Result<T, AttemptError>>,
    ) -> Result<T, RunEnd<'a>> {
        let mut pending = pin!(pending);
        if let Ok(received) = timeout(silence_timeout, pending.as_mut()).await {
            return Ok(received?);
        }
        tokio::select! {
            biased;
            received = pending.as_mut() => return Ok(received?),
            () = self.share_silence() => {}
        }
        if !self.may_repeat {
            return Ok(pending.await?);
        }
        self.record_silence();
        let input = input();
        let mut is_kept = false;
        loop {
            let handed_over = tokio::select! {
                biased;
                received = pending.as_mut() => return Ok(received?),
                handed_over = self.hand_over(&input) => handed_over,
            };
            match handed_over {
                Ok(HandedOver {
                    sent,
                    replaced,
                    fate,
                }) => {
                    self.shared.metrics.count_silence("moved");
                    if let Some(run) = replaced {
                        self.record_replaced(&run, fate).await;
                    }
                    return Err(RunEnd::Moved(sent));
                }
                Err(_) if is_kept => {}
                Err(reason) => {
                    is_kept = true;
                    self.record_kept(reason);
                }
            }
            if let Ok(received) = timeout(SUCCESSOR_INTERVAL, pending.as_mut()).await {
                return Ok(received?);
            }
        }
    }

    /// Makes other requests avoid the current server for a while.
    ///
    /// It may still pass its health checks, so that nothing else detects it.
    fn record_silence(&self) {
        if let Some(run) = &self.current {
            self.shared.record_failure(&run.server.id);
        }
    }

    fn record_kept(&self, reason: NoSuccessor) {
        self.shared.metrics.count_silence("kept");
        if let Some(run) = &self.current {
            self.trace.record_silence(&run.server.id, reason.label());
        }
    }

    /// Sends the request to a successor of the current server, which goes on running it until the
    /// successor has taken it.
    ///
    /// May be dropped at any time, as soon as the current server goes on.
    async fn hand_over(&mut self, input: &RunInput) -> Result<HandedOver<'a>, NoSuccessor> {
        if !self.has_attempt_left() {
            return Err(NoSuccessor::LastAttempt);
        }
        if self.is_isolated() {
            return Err(NoSuccessor::Isolated);
        }
        self.load_other_runs().await;
        let service = self.routed.service;
        let retry = RetryReservation::withdraw(self.shared, service);
        let retry = retry.ok_or(NoSuccessor::NoRetry)?;
        let isolated = self.servers_to_avoid(self.end_count());
        let running = self.current.as_ref().map(|run| run.server.id.as_str());
        let filter = self.server_filter(&isolated, running);
        let slot = self.routed.reserve_server(self.shared, &filter, input);
        let slot = slot.filter(|slot| !slot.reason.is_in_backoff);
        let slot = slot.ok_or(NoSuccessor::NoServer)?;
        let fate = self.probe_current().await;
        let connection = self.routed.connect(self.shared, &slot).await;
        let connection = connection.map_err(|_| NoSuccessor::Unreached)?;
        let run = self.start_successor(&slot).await?;
        let successor = Successor {
            slot,
            connection,
            run,
            retry,
        };
        let (sent, replaced) = self.send_to_successor(successor, input).await?;
        Ok(HandedOver {
            sent,
            replaced,
            fate,
        })
    }

    /// Finds out what has become of the current server. One that refuses new connections may still go on
    /// with this one.
    async fn probe_current(&self) -> ServerFate {
        match &self.current {
            Some(run) => self.probe(&run.server).await,
            None => ServerFate::Unknown,
        }
    }

    /// Starts a run at the server of `slot`; peers know of it if they must.
    async fn start_successor(&self, slot: &ServerSlot) -> Result<CurrentRun, NoSuccessor> {
        let ends = self.end_count();
        if ends.is_given_up() {
            return Err(NoSuccessor::Isolated);
        }
        let running = self.current.as_ref().map(|run| run.server.id.as_str());
        if !self.may_run_at(&slot.server, running) {
            return Err(NoSuccessor::Isolated);
        }
        let start = self.start_of(&slot.server);
        let shared_run = if ends.is_shared() {
            let run = self.share_run(&start, ends).await;
            Some(run.ok_or(NoSuccessor::Isolated)?)
        } else {
            self.announce_run(&start, ends)
        };
        let witness = self.open_witness(&slot.server).await;
        Ok(self.new_run(slot, start, ends, shared_run, witness))
    }

    /// Sends the request to a successor; returns the run that it takes over from.
    async fn send_to_successor(
        &mut self,
        successor: Successor,
        input: &RunInput,
    ) -> Result<(SentRequest<'a>, Option<CurrentRun>), NoSuccessor> {
        let Successor {
            slot,
            connection,
            run,
            retry,
        } = successor;
        retry.commit(self.trace.kind.get());
        self.record_send(&slot);
        // If this is dropped, the successor may run the request.
        let pending = PendingRun {
            shared: Rc::clone(self.shared),
            loss: Some(self.open_loss(&run)),
        };
        let refusal_before = self.replace_refusal(Refusal::ServerLost);
        let (shared, routed) = (self.shared, self.routed);
        routed.record_prompt(shared, &slot.server, input);
        let body = input.body.clone();
        let sent = routed.exchange(shared, slot, connection, body, input.last_event_id);
        let mut response: ResponseFuture<'a> = Box::pin(sent);
        let server = run.server.clone();
        let answered = timeout(MAX_OVERLAP, response.as_mut()).await;
        pending.resolve();
        let answered = answered.map(|response| response.and_then(|r| check_successor(r, input)));
        let response: ResponseFuture<'a> = match answered {
            Err(_) => response,
            Ok(Ok(answered)) => Box::pin(std::future::ready(Ok(answered))),
            Ok(Err(error)) => {
                self.trace.record_error(&server.id, error.label());
                if error == AttemptError::ResponseLost {
                    self.record_loss(&run).await;
                } else {
                    self.replace_refusal(refusal_before);
                }
                self.finish_run(&run);
                return Err(NoSuccessor::Failed);
            }
        };
        let replaced = self.replace_current(run);
        Ok((SentRequest { server, response }, replaced))
    }
}

/// Rejects an error response to a stream that has begun, since it can't be delivered: the silent
/// server may still go on.
fn check_successor(
    response: ServerResponse,
    input: &RunInput,
) -> Result<ServerResponse, AttemptError> {
    if input.origin.is_some() && response.head.status != StatusCode::OK {
        response.slot.record_failure();
        return Err(AttemptError::ResponseLost);
    }
    Ok(response)
}
