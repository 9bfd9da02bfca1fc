//! Forwards calls to plain services: one request, one response.

use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::StatusCode;
use bytes::Bytes;
use clementinepick::refusal::Refusal;
use clementinepick::traffic_config::RequestKind;

use crate::gateway_attempts::{AttemptError, Attempts};
use crate::gateway_exchange::{RoutedRequest, RunInput, SentRequest, ServerResponse};
use crate::gateway_handover::RunEnd;
use crate::gateway_reply::{CallerDisconnected, Reply};
use crate::gateway_shared::Shared;
use crate::gateway_trace::Trace;
use crate::link::duration;
use crate::response_memory::MemoryPart;
use crate::safeguard::Safeguard;

/// The largest body of a response, in bytes. It is buffered in full, so that a truncated response
/// never looks complete and an idempotent call can be sent again.
const MAX_RESPONSE_BYTES: usize = 4_194_304;
/// An idempotent call without a response after this many times the route's latency target is sent
/// to another server, if one takes it. A server that has lost the response sends none at all, and a busy one responds
/// within the target in 95 % of cases, so that few calls are sent twice in vain.
const TIMEOUT_LATENCY_TARGETS: u32 = 2;

/// The kind of calls in metrics.
pub(crate) const CALL: &str = "call";

/// A response that was received in full.
struct FullResponse<'a> {
    status: StatusCode,
    headers: actix_http::header::HeaderMap,
    body: Bytes,
    _memory: MemoryPart<'a>,
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

async fn call<'a>(
    shared: &'a Rc<Shared>,
    routed: &RoutedRequest<'_>,
    trace: &Trace,
) -> Result<FullResponse<'a>, Refusal> {
    let is_idempotent = routed.route.kind == RequestKind::Idempotent;
    let may_repeat = is_idempotent || Safeguard::BookingOnce.is_disabled();
    let mut attempts = Attempts::new(shared, routed, trace, may_repeat);
    let mut next = attempts.next_run(&run_input(routed)).await;
    while let Some(sent) = next {
        next = match exchange(shared, routed, trace, &mut attempts, sent).await {
            Ok(full) => {
                attempts.record_answered();
                return Ok(full);
            }
            Err(RunEnd::Moved(sent)) => Some(sent),
            Err(RunEnd::Failed(error)) => {
                attempts.record_error(error).await;
                attempts.next_run(&run_input(routed)).await
            }
        };
    }
    Err(attempts.refusal())
}

fn run_input(routed: &RoutedRequest<'_>) -> RunInput {
    RunInput {
        body: routed.received.body.clone().into(),
        last_event_id: None,
        last_server: None,
        origin: None,
    }
}

async fn exchange<'s, 'a>(
    shared: &'s Rc<Shared>,
    routed: &RoutedRequest<'_>,
    trace: &Trace,
    attempts: &mut Attempts<'a>,
    sent: SentRequest<'a>,
) -> Result<FullResponse<'s>, RunEnd<'a>> {
    let silence_timeout = response_timeout(routed);
    let input = || run_input(routed);
    let mut response = attempts.wait(silence_timeout, input, sent.response).await?;
    trace.record_first_byte(Instant::now());
    let ServerResponse {
        connection, slot, ..
    } = &mut response;
    let mut memory = shared.response_memory.part();
    let read_body = async {
        let resize = |bytes| memory.resize(bytes);
        let body = connection.body_within(MAX_RESPONSE_BYTES, resize).await;
        body.map_err(|err| {
            slot.record_failure();
            trace.set_field("body_error", &err);
            AttemptError::ResponseLost
        })
    };
    let body = attempts.wait(silence_timeout, input, read_body).await?;
    let full = FullResponse {
        status: response.head.status,
        headers: platform::response::forwarded_headers(&response.head.headers),
        body,
        _memory: memory,
    };
    response.slot.record_heard();
    response.release_connection(shared);
    Ok(full)
}

fn response_timeout(routed: &RoutedRequest<'_>) -> Duration {
    duration(routed.route.target_latency_us) * TIMEOUT_LATENCY_TARGETS
}
