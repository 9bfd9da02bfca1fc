//! Handles callers' requests: finds the route and the deadline, runs the call or stream, and
//! refuses what cannot be served.

use std::future::Future;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::thread;
use std::time::Instant;

use actix_http::{Request, StatusCode};
use bytes::Bytes;
use clementinepick::event::{Event, EventKind};
use clementinepick::refusal::{Refusal, ledger_retry_after};
use clementinepick::traffic_config::{RequestKind, TrafficConfig, TrafficRoute};
use platform::request::RequestInfo;
use rand::RngExt;
use tokio::time::sleep_until;

use crate::config_follower::refusal_by_config;
use crate::gateway_call::{self, CALL};
use crate::gateway_connection::Handler;
use crate::gateway_ended::check_request;
use crate::gateway_exchange::{RoutedRequest, request_host};
use crate::gateway_loss::settle_open_run;
use crate::gateway_receive::ReceivedRequest;
use crate::gateway_reply::{CallerDisconnected, Reply, ReplyState};
use crate::gateway_shared::Shared;
use crate::gateway_stream::{self, TURN};
use crate::gateway_trace::Trace;
use crate::input_first::poll_after_input;
use crate::link::{duration, to_span};

/// The outcome in metrics of successful requests.
const SERVED: &str = "served";
/// The outcome in metrics and logs of requests whose callers disconnected.
const CALLER_LEFT: &str = "caller_left";
/// The same of requests whose task has panicked.
const PANICKED: &str = "panic";

/// Handles callers' requests.
pub(crate) struct CallerHandler {
    pub(crate) shared: Rc<Shared>,
}

impl Handler for CallerHandler {
    fn announces_idle_limit(&self) -> bool {
        true
    }

    fn handle<'a>(
        &'a self,
        request: &'a ReceivedRequest<'_>,
        reply: &'a mut Reply<'_>,
    ) -> Pin<Box<dyn Future<Output = ()> + 'a>> {
        Box::pin(async move {
            let info = platform::request::parse(&request.head.head().headers).ok();
            let trace = Trace::default();
            if let Some(program) = info.as_ref().and_then(|info| info.program.as_ref()) {
                trace.add_field("program", program);
            }
            if let Some(previous) = info.as_ref().and_then(|info| info.previous_turn.as_ref()) {
                trace.add_field("previous", previous);
            }
            if let Some(attempt) = info.as_ref().and_then(|info| info.resumed_attempt.as_ref()) {
                trace.add_field("resumes", attempt);
            }
            let id = id_of(request);
            let mut disconnect_guard = DisconnectGuard {
                handler: self,
                request,
                id,
                trace: &trace,
                is_finished: false,
            };
            let outcome = serve(&self.shared, request, info, &trace, reply).await;
            disconnect_guard.is_finished = !matches!(outcome, Err(CallerDisconnected { .. }));
            drop(disconnect_guard);
            match outcome {
                Ok(Ok(())) => {
                    let took = request.arrived.elapsed();
                    self.shared
                        .metrics
                        .count_request(trace.kind.get(), SERVED, took);
                    if self.shared.is_sampled(id) {
                        let event = Event::new(EventKind::RequestServed);
                        self.log(event, request, id, &trace, reply.status);
                    }
                }
                Ok(Err(refusal)) => {
                    let event = Event::new(EventKind::RequestFailed);
                    let event = event.with("reason", refusal.response().code);
                    self.log(event, request, id, &trace, reply.status);
                    let took = request.arrived.elapsed();
                    let code = refusal.response().code;
                    self.shared
                        .metrics
                        .count_request(trace.kind.get(), code, took);
                    self.write_refusal(refusal, id, &trace, reply).await;
                }
                // `DisconnectGuard` has logged it.
                Err(CallerDisconnected { .. }) => {}
            }
        })
    }

    fn refuse_head(&self, head: &Request, arrived: Instant, now: Instant) -> Option<Refusal> {
        let directory = self.shared.directory();
        let route = find_route(directory.config.as_ref()?, head).ok()?;
        let info = platform::request::parse(&head.head().headers).ok()?;
        let is_taken = self.shared.takes(now, deadline(route, &info, arrived));
        (!is_taken).then_some(Refusal::ShuttingDown)
    }

    fn record_abandoned(&self, request: &ReceivedRequest<'_>) {
        drop(DisconnectGuard {
            handler: self,
            request,
            id: id_of(request),
            trace: &Trace::default(),
            is_finished: false,
        });
    }
}

/// Returns the id of a request for logs.
fn id_of<'a>(request: &'a ReceivedRequest<'_>) -> &'a str {
    platform::request::request_id(&request.head.head().headers).unwrap_or("-")
}

/// Logs and counts a request that is dropped because its caller disconnected before the response
/// was complete.
struct DisconnectGuard<'a> {
    handler: &'a CallerHandler,
    request: &'a ReceivedRequest<'a>,
    id: &'a str,
    trace: &'a Trace,
    is_finished: bool,
}

impl Drop for DisconnectGuard<'_> {
    fn drop(&mut self) {
        if let Some(loss) = self.trace.open_run.take() {
            self.trace.add_field("content", &loss.key);
            self.handler.shared.abandon_run(loss);
        }
        if self.is_finished {
            return;
        }
        let reason = if thread::panicking() {
            PANICKED
        } else {
            CALLER_LEFT
        };
        let kind = self.trace.kind.get();
        let took = self.request.arrived.elapsed();
        let metrics = &self.handler.shared.metrics;
        metrics.count_request(kind, reason, took);
        let event = Event::new(EventKind::RequestFailed).with("reason", reason);
        let status = self.trace.status.get();
        self.handler
            .log(event, self.request, self.id, self.trace, status);
    }
}

impl CallerHandler {
    async fn write_refusal(
        &self,
        refusal: Refusal,
        id: &str,
        trace: &Trace,
        reply: &mut Reply<'_>,
    ) {
        if reply.state() == ReplyState::Open {
            // A failure to write means that the caller has disconnected.
            let mut refusal_response = refusal.response();
            if let Some(retry_after) = trace.retry_after.get() {
                refusal_response.retry_after_us = Some(retry_after);
            }
            if refusal == Refusal::ShuttingDown {
                reply.end_connection();
            }
            if refusal == Refusal::LedgerUnavailable {
                let outage = self.shared.store.unavailable_for(Instant::now());
                refusal_response.retry_after_us = Some(ledger_retry_after(to_span(outage)));
            }
            let _ = reply.send_refusal(refusal_response, Some(id)).await;
        }
    }

    fn log(
        &self,
        event: Event,
        request: &ReceivedRequest<'_>,
        id: &str,
        trace: &Trace,
        status: u16,
    ) {
        let took = request.arrived.elapsed();
        let directory = self.shared.directory();
        let config_version = directory.config.as_ref().map_or(0, |config| config.version);
        let lists_age = directory.as_of().map_or(0, |at| at.elapsed().as_millis());
        let event = event
            .with("request", id)
            .with("path", request.head.uri().path())
            .with("status", status)
            .with("took_ms", took.as_millis())
            .with("config_version", config_version)
            .with("lists_age_ms", lists_age)
            .with("store_away", self.shared.store.is_unavailable());
        self.shared.log(&trace.add_to_event(event, request.arrived));
    }
}

async fn serve(
    shared: &Rc<Shared>,
    request: &ReceivedRequest<'_>,
    info: Option<RequestInfo>,
    trace: &Trace,
    reply: &mut Reply<'_>,
) -> Result<Result<(), Refusal>, CallerDisconnected> {
    let directory = shared.directory();
    let Some(config) = &directory.config else {
        return Ok(Err(Refusal::NoConfig));
    };
    let Some(info) = info else {
        return Ok(Err(Refusal::Malformed));
    };
    let routed = match route_request(config, request, &info) {
        Ok(routed) => routed,
        Err(refusal) => {
            let refusal = refusal_by_config(refusal, &directory, Instant::now());
            return Ok(Err(refusal));
        }
    };
    let now = Instant::now();
    let is_ending = shared.is_stopping() || reply.is_connection_ending();
    if is_ending || !shared.takes(now, routed.deadline) {
        return Ok(Err(Refusal::ShuttingDown));
    }
    if routed.time_left(now).is_zero() {
        return Ok(Err(Refusal::NotSentInTime));
    }
    let is_streaming = routed.route.kind == RequestKind::Streaming;
    trace.kind.set(if is_streaming { TURN } else { CALL });
    let work = async {
        if let Err(refusal) = check_request(shared, &routed, trace).await {
            return Ok(Err(refusal));
        }
        if is_streaming {
            gateway_stream::run(shared, &routed, trace, reply).await
        } else {
            gateway_call::run(shared, &routed, trace, reply).await
        }
    };
    let mut work = pin!(work);
    let (not_sent, sent) = tokio::select! {
        biased;
        outcome = &mut work => return outcome,
        () = sleep_until(routed.deadline.into()) => (Refusal::NotSentInTime, Refusal::NoAnswerInTime),
        () = shared.wait_for_stop() => (Refusal::ShuttingDown, Refusal::ShutdownInRun),
    };
    let is_stopping = not_sent == Refusal::ShuttingDown;
    // The response may have arrived during a pause of the process.
    if let Some(outcome) = poll_after_input(work).await {
        return outcome;
    }
    if !is_stopping {
        // A process that stops has no time left for it: the run is settled behind its answer.
        settle_open_run(shared, trace.open_run.take()).await;
    }
    Ok(Err(if trace.may_have_run.get() {
        sent
    } else {
        not_sent
    }))
}

fn route_request<'a>(
    config: &'a TrafficConfig,
    request: &'a ReceivedRequest<'a>,
    info: &'a RequestInfo,
) -> Result<RoutedRequest<'a>, Refusal> {
    let route = find_route(config, &request.head)?;
    let service = route.choose_service(rand::rng().random());
    Ok(RoutedRequest {
        received: request,
        info,
        config,
        route,
        service: service.ok_or(Refusal::NoServer)?,
        deadline: deadline(route, info, request.arrived),
    })
}

fn find_route<'a>(config: &'a TrafficConfig, head: &Request) -> Result<&'a TrafficRoute, Refusal> {
    let route = config.route(request_host(head), head.uri().path());
    route.ok_or(Refusal::NoRoute)
}

/// Returns the earlier of the caller's deadline and the route's timeout.
fn deadline(route: &TrafficRoute, info: &RequestInfo, arrived: Instant) -> Instant {
    arrived + duration(route.timeout_us).min(info.deadline)
}

/// Reports whether this process is ready for requests.
pub(crate) struct ReadyHandler {
    pub(crate) shared: Rc<Shared>,
}

impl Handler for ReadyHandler {
    fn handle<'a>(
        &'a self,
        request: &'a ReceivedRequest<'_>,
        reply: &'a mut Reply<'_>,
    ) -> Pin<Box<dyn Future<Output = ()> + 'a>> {
        Box::pin(async move {
            let is_ready_path = request.head.uri().path() == platform::READY_PATH;
            let status = match (is_ready_path, self.shared.is_ready(Instant::now())) {
                (false, _) => StatusCode::NOT_FOUND,
                (true, true) => StatusCode::OK,
                (true, false) => StatusCode::SERVICE_UNAVAILABLE,
            };
            let headers = actix_http::header::HeaderMap::new();
            // A failure means that the client has disconnected.
            let _ = reply.send_full(status, headers, Bytes::new()).await;
        })
    }
}
