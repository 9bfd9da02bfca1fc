//! Asks a server which start it is while a stream that has begun there is delivered.
//!
//! The list may be older than the start that runs the stream. The starts at one address follow each
//! other: if the listed start responds after the stream has begun, it has begun there.

use std::future::{Future, pending};
use std::pin::pin;
use std::time::Duration;

use actix_rt::time::timeout;
use bytes::Bytes;
use clementinepick::start_doubts::{ReportedStart, StartUse};
use tokio::sync::oneshot;

use crate::gateway_attempts::AttemptError;
use crate::gateway_exchange::{ServerResponse, ServerSlot};
use crate::gateway_shared::Shared;
use crate::gateway_start::StartProof;
use crate::gateway_start_questions::StartQuestion;

/// A question to the server of a stream, which delays no event.
#[derive(Default)]
pub(crate) struct StartCheck {
    asking: Option<oneshot::Receiver<StartAnswer>>,
    /// The answer that was not taken yet.
    answer: Option<StartAnswer>,
}

/// What a server says when it is asked which start it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StartAnswer {
    Report(ReportedStart),
    /// It does not respond in time.
    Silent,
}

impl StartCheck {
    /// Asks the server of `slot` if the resumable stream `attempt` begins there that was sent without its
    /// word, and if it reports its start time.
    pub(crate) fn of(shared: &Shared, attempt: &str, slot: &ServerSlot) -> Self {
        let is_unasked = matches!(slot.proof.get(), StartProof::List | StartProof::Unanswered);
        if slot.usage != StartUse::Begin || !is_unasked || slot.server.started_unix_ms.is_none() {
            return Self::default();
        }
        let (sender, answer) = oneshot::channel();
        let question = StartQuestion {
            attempt: attempt.to_owned(),
            server: slot.server.clone(),
            answer: sender,
        };
        // The receiver ends only with the process.
        let _ = shared.start_questions.send(question);
        Self {
            asking: Some(answer),
            answer: None,
        }
    }

    /// Returns whether the answer is not known yet.
    pub(crate) fn is_open(&self) -> bool {
        self.asking.is_some() || self.answer.is_some()
    }

    /// Waits for `other` and goes on with the question meanwhile.
    pub(crate) async fn run_beside(&mut self, other: impl Future<Output = ()>) {
        let mut other = pin!(other);
        tokio::select! {
            biased;
            () = other.as_mut() => return,
            () = self.settle() => {}
        }
        other.await;
    }

    /// Waits for the answer; for ever, if there is no open question.
    async fn take_answer(&mut self) -> StartAnswer {
        match self.finish().await {
            Some(answer) => answer,
            None => pending().await,
        }
    }

    /// Waits for the answer; `None` if there is no open question.
    async fn finish(&mut self) -> Option<StartAnswer> {
        self.settle().await;
        self.answer.take()
    }

    /// Does the same for `limit` at most.
    pub(crate) async fn finish_within(&mut self, limit: Duration) -> Option<StartAnswer> {
        timeout(limit, self.finish()).await.ok().flatten()
    }

    async fn settle(&mut self) {
        if let Some(asking) = &mut self.asking {
            // A question that was dropped remains unanswered.
            self.answer = Some(asking.await.unwrap_or(StartAnswer::Silent));
            self.asking = None;
        }
    }
}

/// What arrives while a stream runs.
pub(crate) enum Received {
    /// The next bytes of the stream; none at its end.
    Chunk(Option<Bytes>),
    /// What the server says of its start.
    Answer(StartAnswer),
}

/// Waits for the next bytes of a stream, or for what its server says of its start.
pub(crate) async fn receive(
    response: &mut ServerResponse,
    check: &mut StartCheck,
) -> Result<Received, AttemptError> {
    let ServerResponse {
        connection, slot, ..
    } = response;
    tokio::select! {
        biased;
        chunk = connection.chunk() => {
            let chunk = chunk.map_err(|_| {
                slot.record_broken();
                AttemptError::ResponseLost
            });
            chunk.map(Received::Chunk)
        }
        answer = check.take_answer() => Ok(Received::Answer(answer)),
    }
}
