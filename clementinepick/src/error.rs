//! The closed list of error kinds and the one table from a kind to the answer that the caller gets.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::units::SpanUs;

/// Whether a refused call ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NotRun {
    /// It really did not run and never will.
    #[display("yes")]
    Yes,
    /// It ran, at least in part.
    #[display("no")]
    No,
    /// Nobody can tell any more.
    #[display("unknown")]
    Unknown,
}

/// The answer that goes with a kind of error.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ErrorResponse {
    /// The name in the body's `code` field.
    pub code: &'static str,
    /// The HTTP status.
    pub status: u16,
    /// What the body says of the call.
    pub not_run: NotRun,
    /// Whether the caller may send the same call again without doubling it.
    pub repeat_safe: bool,
    /// When to come back, where the module has no better estimate.
    pub retry_after_s: Option<u32>,
}

macro_rules! error_kinds {
    ($($(#[doc = $doc:literal])+ $kind:ident = $code:literal, $status:literal, $not_run:ident, $repeat:literal, $retry:expr;)*) => {
        /// Every way in which a call can fail.
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(rename_all = "snake_case")]
        pub enum ErrorKind {
            $($(#[doc = $doc])+ $kind,)*
        }

        impl ErrorKind {
            /// All kinds, in the order of the catalogue.
            pub const ALL: &'static [Self] = &[$(Self::$kind),*];

            /// Why the call failed, in one sentence.
            #[must_use]
            pub fn meaning(self) -> &'static str {
                match self {
                    $(Self::$kind => concat!($($doc),+).trim(),)*
                }
            }

            /// The answer that goes with this kind.
            #[must_use]
            pub const fn response(self) -> ErrorResponse {
                match self {
                    $(Self::$kind => ErrorResponse {
                        code: $code,
                        status: $status,
                        not_run: NotRun::$not_run,
                        repeat_safe: $repeat,
                        retry_after_s: $retry,
                    },)*
                }
            }
        }
    };
}

error_kinds! {
    /// The body is not JSON, or not of the expected shape.
    BadBody = "bad_body", 400, Yes, true, None;
    /// A header has a value that can't be read.
    BadHeader = "bad_header", 400, Yes, true, None;
    /// The body is over the limit.
    BodyTooLarge = "body_too_large", 413, Yes, true, None;
    /// No service has this name or this path.
    UnknownService = "unknown_service", 404, Yes, true, None;
    /// The service's document has no such class.
    UnknownClass = "unknown_class", 400, Yes, true, None;
    /// The service's document names no such model.
    UnknownModel = "unknown_model", 404, Yes, true, None;
    /// No program or call has this name.
    UnknownCall = "unknown_call", 404, Yes, true, None;
    /// The program has ended.
    ProgramEnded = "program_ended", 409, Yes, true, None;
    /// An earlier call of the program did not come in time, or this place is taken by another.
    OutOfOrder = "out_of_order", 409, Yes, true, None;
    /// The transcript differs from the history on record.
    HistoryMismatch = "history_mismatch", 409, Yes, true, None;
    /// The owner lacks turns of the history: send the whole transcript.
    HistoryNeeded = "history_needed", 409, Yes, true, None;
    /// The idempotency key was used with another request.
    KeyReused = "key_reused", 422, Yes, true, None;
    /// The program's budget does not cover the call.
    BudgetExhausted = "budget_exhausted", 402, Yes, true, None;
    /// The loop guard ended the program.
    LoopStopped = "loop_stopped", 409, Yes, true, None;
    /// The deadline passed before the call was sent on.
    DeadlineBeforeStart = "deadline_before_start", 504, Yes, true, None;
    /// The deadline passed while the call ran; it was cancelled.
    DeadlineExceeded = "deadline_exceeded", 504, No, false, None;
    /// Too much is waiting; this call was shed before any work.
    Overloaded = "overloaded", 503, Yes, true, Some(1);
    /// A limit of the class, category or customer is reached.
    LimitReached = "limit_reached", 429, Yes, true, Some(1);
    /// No backend server of the service can take the call.
    NoBackend = "no_backend", 503, Yes, true, Some(2);
    /// The owner of the program is not known yet, or changes.
    OwnerUnknown = "owner_unknown", 503, Yes, true, Some(1);
    /// The log can't be written, and this call must be on record before it runs.
    LogUnavailable = "log_unavailable", 503, Yes, true, Some(5);
    /// This process has not yet read what it must know.
    NotReady = "not_ready", 503, Yes, true, Some(1);
    /// This process is leaving.
    ShuttingDown = "shutting_down", 503, Yes, true, Some(1);
    /// The backend server failed while the call ran.
    BackendFailed = "backend_failed", 502, No, true, Some(1);
    /// A non-idempotent call was sent on and its outcome can't be learned; it is not run again.
    OutcomeUnknown = "outcome_unknown", 502, Unknown, false, None;
    /// The caller or an operator cancelled the call while it ran.
    Cancelled = "cancelled", 499, No, false, None;
    /// An invariant did not hold; the work was refused and the event logged.
    Internal = "internal", 500, Unknown, false, None;
}

/// A failed call, as it travels back to the caller.
#[derive(Debug, Clone, PartialEq, Eq, Error, Serialize, Deserialize)]
#[error("{}: {detail}", kind.response().code)]
pub struct CallError {
    /// The kind, which fixes the status.
    pub kind: ErrorKind,
    /// The header or body field at fault, where there is one.
    pub field: Option<String>,
    /// One sentence for the caller.
    pub detail: String,
    /// When to come back, where the module knows better than the table.
    pub retry_after_us: Option<SpanUs>,
}

impl CallError {
    /// An error of `kind` without a field.
    pub fn new(kind: ErrorKind, detail: impl Into<String>) -> Self {
        Self {
            kind,
            field: None,
            detail: detail.into(),
            retry_after_us: None,
        }
    }

    /// An error of `kind` that lies in `field`.
    pub fn in_field(kind: ErrorKind, field: impl Into<String>, detail: impl Into<String>) -> Self {
        Self {
            field: Some(field.into()),
            ..Self::new(kind, detail)
        }
    }

    /// The same error with the time after which to come back.
    #[must_use]
    pub fn retry_after(self, span: SpanUs) -> Self {
        Self {
            retry_after_us: Some(span),
            ..self
        }
    }

    /// The seconds for the `retry-after` header, rounded up.
    #[must_use]
    pub fn retry_after_s(&self) -> Option<u64> {
        let known = self.retry_after_us.map(|span| span.0.div_ceil(1_000_000));
        known.or(self.kind.response().retry_after_s.map(u64::from))
    }
}

#[cfg(test)]
mod tests {
    use std::collections::BTreeSet;

    use super::*;

    #[test]
    fn codes_are_unique() {
        let codes: BTreeSet<_> = ErrorKind::ALL
            .iter()
            .map(|kind| kind.response().code)
            .collect();
        assert_eq!(codes.len(), ErrorKind::ALL.len());
    }

    #[test]
    fn what_may_have_run_is_never_called_safe_unless_idempotent() {
        for kind in ErrorKind::ALL {
            let answer = kind.response();
            if answer.not_run == NotRun::Yes {
                assert!(answer.repeat_safe, "{kind:?}");
            }
            if answer.not_run == NotRun::Unknown {
                assert!(!answer.repeat_safe, "{kind:?}");
            }
        }
    }
}
