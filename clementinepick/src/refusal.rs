//! Why a request is answered by the gateway itself, and with what.

use crate::units::SpanUs;

/// Every answer that the gateway gives of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Refusal {
    /// The request is not proper HTTP or lacks a header.
    Malformed,
    /// The head is larger than the configuration allows.
    HeadTooLarge,
    /// The body is larger than the configuration allows.
    BodyTooLarge,
    /// The request was not complete in time.
    ReceiveTimeout,
    /// Too many bytes of other requests are held.
    Overloaded,
    /// No configuration is known yet.
    NoConfig,
    /// No route takes the request.
    NoRoute,
    /// The program's budget is spent.
    BudgetSpent,
    /// The turn to continue from does not exist.
    UnknownTurn,
    /// The log that holds budgets and turns can't be reached, and the request was not sent on.
    LedgerUnavailable,
    /// No backend server takes requests.
    NoServer,
    /// Backend servers refused the request without running it.
    ServersRefused,
    /// The time ran out before the request was sent on.
    NotSentInTime,
    /// The time ran out while a backend server may have run the request.
    NoAnswerInTime,
    /// A backend server broke off and may have run the request.
    ServerLost,
}

/// The answer to a refused request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RefusalResponse {
    /// The HTTP status; 402, 408, 429 and 503 promise that the request has not run.
    pub status: u16,
    /// The name in the body, in logs and in metrics.
    pub code: &'static str,
    /// When the caller should come back.
    pub retry_after_us: Option<SpanUs>,
}

/// When to come back after a server refused for lack of room: about the time of one turn.
const ROOM_RETRY_US: SpanUs = SpanUs::from_ms(300);
/// The least and the longest time after which to come back where the log is away.
const LEDGER_RETRY_US: SpanUs = SpanUs::from_ms(700);
const MAX_LEDGER_RETRY_US: SpanUs = SpanUs::from_ms(4_000);
/// When to come back to a process that has just started or has no server: a start takes as long.
const START_RETRY_US: SpanUs = SpanUs::from_ms(500);

/// When to come back where the log has been away for `away_us`: an outage that has lasted for some
/// time will probably last as long again, and a caller has only a few tries.
#[must_use]
pub fn ledger_retry_after(away_us: SpanUs) -> SpanUs {
    away_us.clamp(LEDGER_RETRY_US, MAX_LEDGER_RETRY_US)
}

impl Refusal {
    /// The answer that callers get.
    #[must_use]
    pub const fn response(self) -> RefusalResponse {
        let (status, code, retry_after_us) = match self {
            Self::Malformed => (400, "malformed", None),
            Self::HeadTooLarge => (431, "head_too_large", None),
            Self::BodyTooLarge => (413, "body_too_large", None),
            Self::ReceiveTimeout => (408, "receive_timeout", None),
            Self::Overloaded => (503, "overloaded", Some(ROOM_RETRY_US)),
            Self::NoConfig => (503, "no_config", Some(START_RETRY_US)),
            Self::NoRoute => (404, "no_route", None),
            Self::BudgetSpent => (402, "budget_spent", None),
            Self::UnknownTurn => (404, "unknown_turn", None),
            Self::LedgerUnavailable => (503, "ledger_away", Some(LEDGER_RETRY_US)),
            Self::NoServer => (503, "no_server", Some(START_RETRY_US)),
            Self::ServersRefused => (503, "servers_refused", Some(ROOM_RETRY_US)),
            Self::NotSentInTime => (503, "not_sent_in_time", Some(ROOM_RETRY_US)),
            Self::NoAnswerInTime => (504, "no_answer_in_time", None),
            Self::ServerLost => (502, "server_lost", None),
        };
        RefusalResponse {
            status,
            code,
            retry_after_us,
        }
    }
}
