//! The way of a request: route, deadline, call or stream, and the answer to what can't be served.

use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::StatusCode;
use bytes::Bytes;
use clementinepick::event::{Event, EventKind};
use clementinepick::refusal::{Refusal, ledger_retry_after};
use clementinepick::traffic_config::{RequestKind, TrafficConfig};
use clementinepick::units::SpanUs;
use platform::request::RequestInfo;
use rand::RngExt;
use tokio::time::timeout_at;

use crate::gateway_call::{self, CALL};
use crate::gateway_connection::{Handler, ReceivedRequest};
use crate::gateway_exchange::RoutedRequest;
use crate::gateway_reply::{CallerDisconnected, Reply, ReplyState};
use crate::gateway_shared::Shared;
use crate::gateway_stream::{self, TURN};
use crate::gateway_trace::Trace;
use crate::link::duration;

/// The outcome in metrics of requests that went well.
const SERVED: &str = "served";
/// The outcome of requests whose callers left, because they gave up or lost their connection.
const CALLER_LEFT: &str = "caller_left";

/// Takes callers' requests.
pub(crate) struct CallerHandler {
    pub(crate) shared: Rc<Shared>,
}

impl Handler for CallerHandler {
    fn handle<'a>(
        &'a self,
        request: &'a ReceivedRequest<'_>,
        reply: &'a mut Reply<'_>,
    ) -> Pin<Box<dyn Future<Output = ()> + 'a>> {
        Box::pin(async move {
            let info = platform::request::parse(&request.head.head().headers).ok();
            let id = info.as_ref().map(|info| info.id.clone());
            let trace = Trace::default();
            if let Some(program) = info.as_ref().and_then(|info| info.program.as_ref()) {
                trace.add_field("program", program);
            }
            if let Some(previous) = info.as_ref().and_then(|info| info.previous_turn.as_ref()) {
                trace.add_field("previous", previous);
            }
            let id = id.as_deref().unwrap_or("-");
            let mut leaving = Leaving {
                handler: self,
                request,
                id,
                trace: &trace,
                is_over: false,
            };
            let outcome = serve(&self.shared, request, info, &trace, reply).await;
            leaving.is_over = !matches!(outcome, Err(CallerDisconnected { .. }));
            drop(leaving);
            match outcome {
                Ok(Ok(())) => {
                    let took = request.arrived.elapsed();
                    self.shared.metrics.count(trace.kind.get(), SERVED, took);
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
                    self.shared.metrics.count(trace.kind.get(), code, took);
                    self.refuse(refusal, id, reply).await;
                }
                // `Leaving` has logged it.
                Err(CallerDisconnected { .. }) => {}
            }
        })
    }
}

/// Logs a request whose caller leaves before its answer is complete; the request is dropped then,
/// wherever it is.
struct Leaving<'a> {
    handler: &'a CallerHandler,
    request: &'a ReceivedRequest<'a>,
    id: &'a str,
    trace: &'a Trace,
    is_over: bool,
}

impl Drop for Leaving<'_> {
    fn drop(&mut self) {
        if self.is_over {
            return;
        }
        let kind = self.trace.kind.get();
        let took = self.request.arrived.elapsed();
        self.handler.shared.metrics.count(kind, CALLER_LEFT, took);
        let event = Event::new(EventKind::RequestFailed).with("reason", CALLER_LEFT);
        let status = self.trace.status.get();
        self.handler
            .log(event, self.request, self.id, self.trace, status);
    }
}

impl CallerHandler {
    async fn refuse(&self, refusal: Refusal, id: &str, reply: &mut Reply<'_>) {
        if reply.state() == ReplyState::Open {
            // If this fails, the caller is gone.
            let mut answer = refusal.response();
            if refusal == Refusal::LedgerUnavailable {
                let away = self.shared.store.unavailable_for(Instant::now());
                answer.retry_after_us = Some(ledger_retry_after(span(away)));
            }
            let _ = reply.send_refusal(answer, Some(id)).await;
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
        let lists_age = directory.read_at().map_or(0, |at| at.elapsed().as_millis());
        let event = event
            .with("request", id)
            .with("path", request.head.uri().path())
            .with("status", status)
            .with("took_ms", took.as_millis())
            .with("config_version", config_version)
            .with("lists_age_ms", lists_age)
            .with("store_away", self.shared.store.is_unavailable());
        self.shared.log(&trace.describe(event, request.arrived));
    }
}

async fn serve(
    shared: &Rc<Shared>,
    request: &ReceivedRequest<'_>,
    info: Option<RequestInfo>,
    trace: &Trace,
    reply: &mut Reply<'_>,
) -> Result<Result<(), Refusal>, CallerDisconnected> {
    let Some(config) = shared.directory().config else {
        return Ok(Err(Refusal::NoConfig));
    };
    let Some(info) = info else {
        return Ok(Err(Refusal::Malformed));
    };
    let job = match job(&config, request, &info) {
        Ok(job) => job,
        Err(refusal) => return Ok(Err(refusal)),
    };
    let is_streaming = job.route.kind == RequestKind::Streaming;
    trace.kind.set(if is_streaming { TURN } else { CALL });
    let work = async {
        if is_streaming {
            gateway_stream::run(shared, &job, trace, reply).await
        } else {
            gateway_call::run(shared, &job, trace, reply).await
        }
    };
    let outcome = timeout_at(job.deadline.into(), work).await;
    outcome.unwrap_or_else(|_| {
        let may_have_run = trace.may_have_run.get();
        Ok(Err(if may_have_run {
            Refusal::NoAnswerInTime
        } else {
            Refusal::NotSentInTime
        }))
    })
}

fn span(duration: Duration) -> SpanUs {
    SpanUs(u64::try_from(duration.as_micros()).unwrap_or(u64::MAX))
}

fn job<'a>(
    config: &'a TrafficConfig,
    request: &'a ReceivedRequest<'a>,
    info: &'a RequestInfo,
) -> Result<RoutedRequest<'a>, Refusal> {
    let host = request.head.head().headers.get("host");
    let host = host.and_then(|host| host.to_str().ok()).unwrap_or_default();
    let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
    let path = request.head.uri().path();
    let route = config.route(host, path).ok_or(Refusal::NoRoute)?;
    let service = route.choose_service(rand::rng().random());
    let timeout = duration(route.timeout_us);
    Ok(RoutedRequest {
        received: request,
        info,
        route,
        service: service.ok_or(Refusal::NoServer)?,
        deadline: request.arrived + timeout.min(info.deadline),
    })
}

/// Says whether this process takes requests.
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
            let is_known = request.head.uri().path() == platform::READY_PATH;
            let status = match (is_known, self.shared.is_ready(Instant::now())) {
                (false, _) => StatusCode::NOT_FOUND,
                (true, true) => StatusCode::OK,
                (true, false) => StatusCode::SERVICE_UNAVAILABLE,
            };
            let headers = actix_http::header::HeaderMap::new();
            // If this fails, whoever asked is gone.
            let _ = reply.send_full(status, headers, Bytes::new()).await;
        })
    }
}
