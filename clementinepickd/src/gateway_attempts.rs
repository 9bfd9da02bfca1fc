//! The tries of one request: which servers had it, whether another may, and what the caller is told
//! if none answers.

use std::rc::Rc;
use std::time::Instant;

use clementinepick::refusal::Refusal;

use crate::gateway_exchange::{RoutedRequest, ServerSlot};
use crate::gateway_shared::Shared;
use crate::gateway_trace::Trace;

/// How a try ended that brought no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AttemptError {
    /// The server did not run the request.
    NotRun,
    /// Nothing reached the server.
    ConnectFailed,
    /// The server may have run it, and its answer is lost.
    ResponseLost,
}

impl AttemptError {
    /// The name in logs.
    fn label(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::ConnectFailed => "unreached",
            Self::ResponseLost => "lost",
        }
    }
}

/// The tries of one request.
pub(crate) struct Attempts<'a> {
    shared: &'a Rc<Shared>,
    job: &'a RoutedRequest<'a>,
    trace: &'a Trace,
    /// Whether the request may run more than once.
    may_repeat: bool,
    tried: Vec<String>,
    sends: u32,
    refusal: Refusal,
}

impl<'a> Attempts<'a> {
    pub(crate) fn new(
        shared: &'a Rc<Shared>,
        job: &'a RoutedRequest<'a>,
        trace: &'a Trace,
        may_repeat: bool,
    ) -> Self {
        shared.deposit_retry(job.service);
        Self {
            shared,
            job,
            trace,
            may_repeat,
            tried: Vec::new(),
            sends: 0,
            refusal: Refusal::NoServer,
        }
    }

    /// A place at another server; none when the request may be sent to no more.
    pub(crate) fn next_slot(&mut self, last_server: Option<&str>) -> Option<ServerSlot> {
        let is_given_up = self.refusal == Refusal::ServerLost && !self.may_repeat;
        if is_given_up || self.sends >= self.job.route.attempts {
            return None;
        }
        let kind = self.trace.kind.get();
        if self.sends > 0 && !self.shared.withdraw_retry(self.job.service, kind) {
            return None;
        }
        let slot = self
            .job
            .select_server(self.shared, &self.tried, last_server)?;
        self.tried.push(slot.server.id.clone());
        self.trace
            .record_send(&slot.server.id, slot.reason, Instant::now());
        Some(slot)
    }

    /// Whether the try that is under way is the last one.
    pub(crate) fn is_last(&self) -> bool {
        self.sends + 1 >= self.job.route.attempts
    }

    /// Notes that the try under way brought no answer.
    ///
    /// Once an answer was lost, the request may have run, whatever the tries after it bring.
    pub(crate) fn record_error(&mut self, end: AttemptError) {
        self.sends += u32::from(end != AttemptError::ConnectFailed);
        self.trace.record_error(end.label());
        self.refusal = match (self.refusal, end) {
            (Refusal::ServerLost, _) | (_, AttemptError::ResponseLost) => Refusal::ServerLost,
            (_, AttemptError::NotRun) => Refusal::ServersRefused,
            (refusal, AttemptError::ConnectFailed) => refusal,
        };
        let may_have_run = self.refusal == Refusal::ServerLost;
        self.trace.may_have_run.set(may_have_run);
    }

    /// What the caller is told when no try brought an answer.
    pub(crate) fn refusal(&self) -> Refusal {
        self.refusal
    }
}
