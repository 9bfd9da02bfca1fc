//! Forwards calls to plain services: one request, one response.

use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::StatusCode;
use actix_rt::time::timeout;
use bytes::Bytes;
use clementinepick::refusal::Refusal;
use clementinepick::traffic_config::RequestKind;

use crate::gateway_attempts::{AttemptError, Attempts};
use crate::gateway_exchange::{RoutedRequest, ServerSlot};
use crate::gateway_reply::{CallerDisconnected, Reply};
use crate::gateway_shared::Shared;
use crate::gateway_trace::Trace;
use crate::link::duration;
use crate::safeguard::Safeguard;

/// The largest body of a response, in bytes. It is buffered in full, so that a truncated response
/// never looks complete and an idempotent call can be sent again.
const MAX_RESPONSE_BYTES: usize = 4_194_304;
/// An idempotent call without a response after this many times the route's latency target is sent
/// to another server. A server that has lost the response sends none at all, and a busy one responds
/// within the target in 95 % of cases, so that few calls are sent twice in vain.
const TIMEOUT_LATENCY_TARGETS: u32 = 2;

/// The kind of calls in metrics.
pub(crate) const CALL: &str = "call";

/// A response that was received in full.
struct FullResponse {
    status: StatusCode,
    headers: actix_http::header::HeaderMap,
    body: Bytes,
}

/// Forwards the call and sends the response to the caller.
pub(crate) async fn run(
    shared: &Rc<Shared>,
    routed: &RoutedRequest<'_>,
    trace: &Trace,
    reply: &mut Reply<'_>,
) -> Result<Result<(), Refusal>, CallerDisconnected> {
    let full = match call(shared, routed, trace).await {
        Ok(full) => full,
        Err(refusal) => return Ok(Err(refusal)),
    };
    reply
        .send_full(full.status, full.headers, full.body)
        .await?;
    Ok(Ok(()))
}

async fn call(
    shared: &Rc<Shared>,
    routed: &RoutedRequest<'_>,
    trace: &Trace,
) -> Result<FullResponse, Refusal> {
    let is_idempotent = routed.route.kind == RequestKind::Idempotent;
    let may_repeat = is_idempotent || Safeguard::BookingOnce.is_disabled();
    let mut attempts = Attempts::new(shared, routed, trace, may_repeat);
    while let Some(slot) = attempts.next_slot(None, None).await {
        let response_timeout = if attempts.may_time_out() {
            response_timeout(routed)
        } else {
            routed.beyond_deadline(Instant::now())
        };
        match exchange(shared, routed, trace, slot, response_timeout).await {
            Ok(full) => {
                attempts.record_answered();
                return Ok(full);
            }
            Err(err) => attempts.record_error(err).await,
        }
    }
    Err(attempts.refusal())
}

async fn exchange(
    shared: &Rc<Shared>,
    routed: &RoutedRequest<'_>,
    trace: &Trace,
    slot: ServerSlot,
    response_timeout: Duration,
) -> Result<FullResponse, AttemptError> {
    let body = routed.received.body.clone();
    let sent = routed
        .send_with_timeout(response_timeout, shared, slot, body, None)
        .await;
    let mut response = sent?;
    trace.record_first_byte(Instant::now());
    let read_body = response.connection.body(MAX_RESPONSE_BYTES);
    let Ok(Ok(body)) = timeout(response_timeout, read_body).await else {
        response.slot.record_failure();
        return Err(AttemptError::ResponseLost);
    };
    let full = FullResponse {
        status: response.head.status,
        headers: platform::response::forwarded_headers(&response.head.headers),
        body,
    };
    response.release_connection(shared);
    Ok(full)
}

fn response_timeout(routed: &RoutedRequest<'_>) -> Duration {
    let target = duration(routed.route.target_latency_us) * TIMEOUT_LATENCY_TARGETS;
    target.min(routed.time_left(Instant::now()))
}
