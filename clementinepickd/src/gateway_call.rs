//! Calls of plain services: one request, one answer.

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

/// The largest body of an answer, in bytes. It is held whole, so that an answer that is cut off
/// never looks complete and an idempotent call can be made again.
const MAX_ANSWER_BYTES: usize = 4_194_304;
/// An idempotent call that has no answer after this many times the route's latency target is sent
/// to another server. A server that lost the answer gives none at all; one that is merely busy
/// answers within the target in 95 of 100 cases, so that few calls are sent twice in vain.
const PATIENCE_TARGETS: u32 = 2;

/// The name of calls in metrics.
pub(crate) const CALL: &str = "call";

/// What a whole answer is made of.
struct WholeAnswer {
    status: StatusCode,
    headers: actix_http::header::HeaderMap,
    body: Bytes,
}

/// Makes the call and answers the caller.
pub(crate) async fn run(
    shared: &Rc<Shared>,
    job: &RoutedRequest<'_>,
    trace: &Trace,
    reply: &mut Reply<'_>,
) -> Result<Result<(), Refusal>, CallerDisconnected> {
    let answer = match call(shared, job, trace).await {
        Ok(answer) => answer,
        Err(refusal) => return Ok(Err(refusal)),
    };
    reply
        .send_full(answer.status, answer.headers, answer.body)
        .await?;
    Ok(Ok(()))
}

async fn call(
    shared: &Rc<Shared>,
    job: &RoutedRequest<'_>,
    trace: &Trace,
) -> Result<WholeAnswer, Refusal> {
    let is_idempotent = job.route.kind == RequestKind::Idempotent;
    let may_repeat = is_idempotent || Safeguard::BookingOnce.is_disabled();
    let mut attempts = Attempts::new(shared, job, trace, may_repeat);
    while let Some(slot) = attempts.next_slot(None) {
        let patience = if may_repeat && !attempts.is_last() {
            patience(job)
        } else {
            job.beyond_deadline(Instant::now())
        };
        match exchange(shared, job, trace, slot, patience).await {
            Ok(answer) => return Ok(answer),
            Err(end) => attempts.record_error(end),
        }
    }
    Err(attempts.refusal())
}

async fn exchange(
    shared: &Rc<Shared>,
    job: &RoutedRequest<'_>,
    trace: &Trace,
    slot: ServerSlot,
    patience: Duration,
) -> Result<WholeAnswer, AttemptError> {
    let body = job.received.body.clone();
    let sent = job
        .send_with_timeout(patience, shared, slot, body, None)
        .await;
    let mut answering = sent?;
    trace.record_first_byte(Instant::now());
    let reading = answering.connection.body(MAX_ANSWER_BYTES);
    let Ok(Ok(body)) = timeout(patience, reading).await else {
        answering.slot.record_failure();
        return Err(AttemptError::ResponseLost);
    };
    let answer = WholeAnswer {
        status: answering.head.status,
        headers: platform::answer::forwarded(&answering.head.headers),
        body,
    };
    answering.release_connection(shared);
    Ok(answer)
}

fn patience(job: &RoutedRequest<'_>) -> Duration {
    let target = duration(job.route.target_latency_us) * PATIENCE_TARGETS;
    target.min(job.time_left(Instant::now()))
}
