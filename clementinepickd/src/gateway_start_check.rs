//! Asks a server which start it is while a stream that has begun there is delivered.
//!
//! The list may be older than the start that runs the stream. The starts at one address follow each
//! other: if the listed start responds after the stream has begun, it has begun there.

use std::future::{Future, pending};
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use clementinepick::server_list::BackendServer;
use clementinepick::start_doubts::{ReportedStart, StartUse};

use crate::gateway_attempts::AttemptError;
use crate::gateway_exchange::{ServerResponse, ServerSlot};
use crate::gateway_shared::Shared;
use crate::gateway_start::StartProof;
use crate::server_probe::ask_start;

/// How long opening a connection for the question may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(50);

/// A question to the server of a stream, which delays no event.
#[derive(Default)]
pub(crate) struct StartCheck {
    asking: Option<Pin<Box<dyn Future<Output = StartAnswer>>>>,
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
    /// Asks the server of `slot` if a resumable stream begins there that was sent by the list alone, and
    /// if it reports its start time.
    pub(crate) fn of(shared: &Rc<Shared>, slot: &ServerSlot) -> Self {
        let is_by_list = slot.usage == StartUse::Begin && slot.proof.get() == StartProof::List;
        let must_ask = is_by_list && slot.server.started_unix_ms.is_some();
        let ask = || ask(Rc::clone(shared), slot.server.clone());
        Self {
            asking: must_ask.then(|| Box::pin(ask()) as Pin<Box<_>>),
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
    pub(crate) async fn finish(&mut self) -> Option<StartAnswer> {
        self.settle().await;
        self.answer.take()
    }

    async fn settle(&mut self) {
        if let Some(asking) = &mut self.asking {
            self.answer = Some(asking.await);
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

async fn ask(shared: Rc<Shared>, server: BackendServer) -> StartAnswer {
    let address = server.address;
    let acquired = shared
        .pool
        .acquire_server(address, CONNECT_TIMEOUT, Instant::now())
        .await;
    let Ok(mut connection) = acquired else {
        return StartAnswer::Silent;
    };
    connection.report = ask_start(&mut connection, address).await;
    let Some(report) = connection.report else {
        return StartAnswer::Silent;
    };
    shared.pool.release(address, connection, Instant::now());
    StartAnswer::Report(report)
}
