//! Asks servers which start they are until they answer, for the streams that have begun there.
//!
//! The questions outlive the requests of the streams: a caller may leave before the server of its
//! stream answers, and resume the stream afterwards.

use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_rt::time::sleep;
use clementinepick::server_list::BackendServer;
use clementinepick::start_doubts::ReportedStart;
use clementinepick::stream_origin::ListedStart;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinSet;

use crate::gateway_exchange::CONNECT_TIMEOUT;
use crate::gateway_shared::Shared;
use crate::gateway_start::StartProof;
use crate::gateway_start_check::StartAnswer;
use crate::server_probe::ask_start;

/// How long the first question may take; each further one, on another connection, may take twice as long.
const FIRST_LIMIT: Duration = Duration::from_millis(400);
const MAX_LIMIT: Duration = Duration::from_millis(3_200);
/// The pause after the first question, which matters where connections are refused at once; it grows likewise.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// How long a server is asked in all: gateways that resume the stream later ask it themselves.
const MAX_TIME: Duration = Duration::from_secs(10);
/// The name in logs and metrics of a question.
const QUESTION_PART: &str = "start_question";
/// The maximum number of questions at the same time; a stream beyond it is asked for when it is resumed.
const MAX_QUESTIONS: usize = 512;

/// A question to the server of a stream that has begun.
#[derive(Debug)]
pub(crate) struct StartQuestion {
    /// The caller's attempt that receives the first event.
    pub(crate) attempt: String,
    pub(crate) server: BackendServer,
    /// Takes the answer to the request, if it still runs.
    pub(crate) answer: oneshot::Sender<StartAnswer>,
}

/// Queues questions. Unbounded, because its receiver never waits for a server.
pub(crate) type StartQuestionSender = mpsc::UnboundedSender<StartQuestion>;

/// Asks servers until the sender is dropped.
pub(crate) async fn ask_starts(
    shared: Rc<Shared>,
    queue: &mut mpsc::UnboundedReceiver<StartQuestion>,
) {
    let mut questions = JoinSet::new();
    loop {
        tokio::select! {
            question = queue.recv() => {
                let Some(question) = question else {
                    break;
                };
                if questions.len() < MAX_QUESTIONS {
                    let shared = Rc::clone(&shared);
                    questions.spawn_local(async move {
                        shared.tasks.contain(QUESTION_PART, settle(&shared, question)).await;
                    });
                }
            }
            Some(ended) = questions.join_next() => {
                shared.tasks.joined(QUESTION_PART, ended);
            }
        }
    }
    questions.shutdown().await;
}

/// Asks the server of a stream, and records where the stream began.
async fn settle(shared: &Shared, question: StartQuestion) {
    let StartQuestion {
        attempt,
        server,
        answer,
    } = question;
    let Some(start) = ListedStart::of(&server) else {
        return;
    };
    let until = Instant::now() + MAX_TIME;
    let said = match ask_until(shared, start, until).await {
        Some(report) => StartAnswer::Report(report),
        None => StartAnswer::Silent,
    };
    match shared.judge_answer(&server, said) {
        StartProof::Unanswered => {}
        StartProof::Unproven => {
            shared.record_unproven_stream(&server);
            shared.settle_origin(&attempt, false);
        }
        StartProof::List | StartProof::Connection | StartProof::Report => {
            shared.settle_origin(&attempt, true);
        }
    }
    // The request may be over.
    let _ = answer.send(said);
}

/// Asks a server which start it is until it answers.
async fn ask_until(shared: &Shared, start: ListedStart, until: Instant) -> Option<ReportedStart> {
    let (mut limit, mut pause) = (FIRST_LIMIT, FIRST_PAUSE);
    while Instant::now() < until {
        if let Some(report) = ask_once(shared, start, limit).await {
            return Some(report);
        }
        sleep(pause).await;
        limit = (limit * 2).min(MAX_LIMIT);
        pause = (pause * 2).min(MAX_LIMIT);
    }
    None
}

/// Asks a server which start it is; `None` if it does not answer within `limit`.
pub(crate) async fn ask_once(
    shared: &Shared,
    start: ListedStart,
    limit: Duration,
) -> Option<ReportedStart> {
    let address = start.address;
    let pool = &shared.pool;
    let acquired = pool.acquire_server(address, CONNECT_TIMEOUT.min(limit), Instant::now());
    let mut connection = acquired.await.ok()?;
    connection.report = ask_start(&mut connection, address, limit).await;
    let report = connection.report?;
    pool.release(address, connection, Instant::now());
    Some(report)
}
