//! Defines the reasons for which a gateway refuses or fails a request, and the HTTP responses.

use crate::units::SpanUs;

/// The reason for a response that the gateway generates itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Refusal {
    /// The request is not valid HTTP or lacks a required header.
    Malformed,
    /// The request head exceeds the configured limit.
    HeadTooLarge,
    /// The request body exceeds the configured limit.
    BodyTooLarge,
    /// The request was not received completely in time.
    ReceiveTimeout,
    /// The buffers for request bytes are full.
    Overloaded,
    /// No configuration has been loaded yet.
    NoConfig,
    /// No route matches the request, or it exceeds a limit, by a configuration that may be outdated.
    ConfigOutdated,
    /// No route matches the request.
    NoRoute,
    /// The program's budget is exhausted.
    BudgetSpent,
    /// The program's budget is reserved by processes of which one is silent.
    BudgetUnknown,
    /// The turn to continue from does not exist.
    UnknownTurn,
    /// The software version of the stream to resume, or an earlier part that must be recorded, is
    /// not known here.
    StreamUnknown,
    /// No backend server with the software version of the stream to resume accepts requests.
    VersionUnavailable,
    /// The log that stores budgets and turns is unavailable, and the request was not sent.
    LedgerUnavailable,
    /// No backend server accepts requests.
    NoServer,
    /// Backend servers refused the request without running it.
    ServersRefused,
    /// Several backend servers ended, fell silent or were left while they ran the request at earlier
    /// attempts of its caller, and no further one may be put at risk.
    ServersEnded,
    /// The deadline passed before the request was sent.
    NotSentInTime,
    /// The deadline passed while a backend server may have run the request.
    NoAnswerInTime,
    /// The connection to a backend server that may have run the request was lost.
    ServerLost,
    /// This process is shutting down, and the request was not sent.
    ShuttingDown,
    /// The shutdown limit was reached while a backend server may have run the request.
    ShutdownInRun,
}

/// The HTTP response to a refused or failed request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RefusalResponse {
    /// The HTTP status; 402, 408, 429 and 503 guarantee that the request has not run.
    pub status: u16,
    /// The error code in the body, logs and metrics.
    pub code: &'static str,
    /// The delay after which the caller should retry.
    pub retry_after_us: Option<SpanUs>,
}

/// The retry delay under overload, about the duration of one turn.
const OVERLOAD_RETRY_US: SpanUs = SpanUs::from_ms(300);
/// The minimum and maximum retry delay while the log is unavailable.
const MIN_LEDGER_RETRY_US: SpanUs = SpanUs::from_ms(700);
const MAX_LEDGER_RETRY_US: SpanUs = SpanUs::from_ms(4_000);
/// The retry delay without a configuration or a server, about the duration of a start.
const START_RETRY_US: SpanUs = SpanUs::from_ms(500);
/// The retry delay while a process that may hold tokens is silent; most silences are shorter.
const HOLDER_RETRY_US: SpanUs = SpanUs::from_s(1);
/// The retry delay of a stream that can't be resumed: waiting does not bring its version back, and
/// its caller can begin anew at once.
const RESUME_RETRY_US: SpanUs = SpanUs(0);

/// The retry delay of a request that another process can serve at once.
const SHUTDOWN_RETRY_US: SpanUs = SpanUs(0);

/// The retry delay of a request that ends servers if nothing more is known of it.
const ENDED_RETRY_US: SpanUs = SpanUs::from_s(2);

/// Returns the retry delay for a log that has been unavailable for `outage_us`.
///
/// An outage will probably last as long again as it has lasted, and a caller has only a few tries.
#[must_use]
pub fn ledger_retry_after(outage_us: SpanUs) -> SpanUs {
    outage_us.clamp(MIN_LEDGER_RETRY_US, MAX_LEDGER_RETRY_US)
}

impl Refusal {
    /// Returns the HTTP response.
    #[must_use]
    pub const fn response(self) -> RefusalResponse {
        let (status, code, retry_after_us) = match self {
            Self::Malformed => (400, "malformed", None),
            Self::HeadTooLarge => (431, "head_too_large", None),
            Self::BodyTooLarge => (413, "body_too_large", None),
            Self::ReceiveTimeout => (408, "receive_timeout", None),
            Self::Overloaded => (503, "overloaded", Some(OVERLOAD_RETRY_US)),
            Self::NoConfig => (503, "no_config", Some(START_RETRY_US)),
            Self::ConfigOutdated => (503, "config_outdated", Some(START_RETRY_US)),
            Self::NoRoute => (404, "no_route", None),
            Self::BudgetSpent => (402, "budget_spent", None),
            Self::BudgetUnknown => (503, "budget_unknown", Some(HOLDER_RETRY_US)),
            Self::UnknownTurn => (404, "unknown_turn", None),
            Self::StreamUnknown => (503, "stream_unknown", Some(RESUME_RETRY_US)),
            Self::VersionUnavailable => (503, "version_unavailable", Some(RESUME_RETRY_US)),
            Self::LedgerUnavailable => (503, "ledger_away", Some(MIN_LEDGER_RETRY_US)),
            Self::NoServer => (503, "no_server", Some(START_RETRY_US)),
            Self::ServersRefused => (503, "servers_refused", Some(OVERLOAD_RETRY_US)),
            Self::ServersEnded => (503, "servers_ended", Some(ENDED_RETRY_US)),
            Self::NotSentInTime => (503, "not_sent_in_time", Some(OVERLOAD_RETRY_US)),
            Self::NoAnswerInTime => (504, "no_answer_in_time", None),
            Self::ServerLost => (502, "server_lost", None),
            Self::ShuttingDown => (503, "shutting_down", Some(SHUTDOWN_RETRY_US)),
            Self::ShutdownInRun => (504, "shutdown", None),
        };
        RefusalResponse {
            status,
            code,
            retry_after_us,
        }
    }
}
