//! Calls of plain services: one request, one answer.

use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::StatusCode;
use actix_rt::time::timeout;
use bytes::Bytes;
use clementinepick::refusal::Refusal;
use clementinepick::traffic_config::RequestKind;

use crate::gateway::Shared;
use crate::gateway_exchange::{Answering, Job, Sent};
use crate::gateway_reply::{CallerGone, Reply};
use crate::gateway_trace::Trace;

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
    job: &Job<'_>,
    trace: &Trace,
    reply: &mut Reply<'_>,
) -> Result<Result<(), Refusal>, CallerGone> {
    let answer = match call(shared, job, trace).await {
        Ok(answer) => answer,
        Err(refusal) => return Ok(Err(refusal)),
    };
    reply
        .whole(answer.status, answer.headers, answer.body)
        .await?;
    Ok(Ok(()))
}

async fn call(shared: &Rc<Shared>, job: &Job<'_>, trace: &Trace) -> Result<WholeAnswer, Refusal> {
    let mut tried = Vec::new();
    let mut sends = 0;
    let mut refusal = Refusal::NoServer;
    shared.earn_retry(job.service);
    while sends < job.route.attempts {
        if sends > 0 && !shared.take_retry(job.service, CALL) {
            break;
        }
        let Some(slot) = job.place(shared, &tried, None) else {
            break;
        };
        tried.push(slot.server.id.clone());
        let may_repeat = job.route.kind == RequestKind::Idempotent;
        trace.place(&slot.server.id, Instant::now());
        let exchange = exchange(shared, job, trace, slot);
        let is_last = sends + 1 >= job.route.attempts;
        let outcome = if may_repeat && !is_last {
            timeout(patience(job), exchange)
                .await
                .unwrap_or(Outcome::Lost)
        } else {
            exchange.await
        };
        match outcome {
            Outcome::Answer(answer) => return Ok(*answer),
            Outcome::Unreached => trace.may_have_run.set(refusal == Refusal::ServerLost),
            Outcome::NotRun => {
                sends += 1;
                trace.may_have_run.set(refusal == Refusal::ServerLost);
                if refusal == Refusal::NoServer {
                    refusal = Refusal::ServersRefused;
                }
            }
            Outcome::Lost => {
                sends += 1;
                refusal = Refusal::ServerLost;
                if !may_repeat {
                    break;
                }
            }
        }
    }
    Err(refusal)
}

enum Outcome {
    Answer(Box<WholeAnswer>),
    Unreached,
    NotRun,
    Lost,
}

async fn exchange(
    shared: &Rc<Shared>,
    job: &Job<'_>,
    trace: &Trace,
    slot: crate::gateway_exchange::ServerSlot,
) -> Outcome {
    let body = job.received.body.clone();
    match job.send(shared, slot, body, None).await {
        Sent::Answered(answering) => read_whole(shared, trace, *answering).await,
        Sent::NotRun => Outcome::NotRun,
        Sent::Unreached => Outcome::Unreached,
        Sent::Lost => Outcome::Lost,
    }
}

async fn read_whole(shared: &Rc<Shared>, trace: &Trace, mut answering: Answering) -> Outcome {
    trace.first_byte(Instant::now());
    let Ok(body) = answering.connection.body(MAX_ANSWER_BYTES).await else {
        answering.slot.note_failure();
        return Outcome::Lost;
    };
    let answer = WholeAnswer {
        status: answering.head.status,
        headers: platform::answer::forwarded(&answering.head.headers),
        body,
    };
    answering.finish(shared);
    Outcome::Answer(Box::new(answer))
}

fn patience(job: &Job<'_>) -> Duration {
    let target = Duration::from_micros(job.route.target_latency_us.0) * PATIENCE_TARGETS;
    target.min(job.time_left(Instant::now()))
}
