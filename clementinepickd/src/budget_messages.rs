//! Defines the messages between gateways about programs' budgets.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use clementinepick::units::{SpanUs, Tokens};
use serde::{Deserialize, Serialize};

/// The path of reservations at a home.
pub(crate) const RESERVE_PATH: &str = "/reserve";

/// The path of returns of unused tokens to a home.
pub(crate) const RETURN_PATH: &str = "/return";

/// The path of requests to lend unused tokens.
pub(crate) const LEND_PATH: &str = "/lend";

/// Requests a turn's maximum from its program's budget at the home.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct ReserveRequest {
    #[serde(rename = "q")]
    pub(crate) turn_id: String,
    /// The turn that this one continues from.
    #[serde(rename = "c", default, skip_serializing_if = "Option::is_none")]
    pub(crate) previous_id: Option<String>,
    /// Whether other turns may continue from this one.
    #[serde(rename = "k")]
    pub(crate) keeps_context: bool,
    /// The turn's chain, preceded by those that it branched off from.
    #[serde(rename = "l", default, skip_serializing_if = "Vec::is_empty")]
    pub(crate) turn_chains: Vec<String>,
    /// The gateway that runs the turn.
    #[serde(rename = "f")]
    pub(crate) runner: SocketAddr,
    #[serde(rename = "p")]
    pub(crate) program: String,
    #[serde(rename = "b")]
    pub(crate) budget: Tokens,
    #[serde(rename = "t")]
    pub(crate) turn: Tokens,
    /// The average number of tokens per turn, over turns that the requester ran.
    #[serde(rename = "m", default, skip_serializing_if = "Option::is_none")]
    pub(crate) mean_turn: Option<Tokens>,
    #[serde(rename = "r")]
    pub(crate) retention: SpanUs,
    /// How long the home may take to reserve a slice, if the requester says so.
    #[serde(rename = "w", default, skip_serializing_if = "Option::is_none")]
    pub(crate) patience: Option<SpanUs>,
}

/// A home's response to a reservation.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum ReserveResponse {
    /// The turn's maximum is lent, or what is left if that is less.
    Lent {
        writer: String,
        /// The number of lent tokens; the turn's maximum if absent.
        #[serde(default)]
        tokens: Option<Tokens>,
        /// The gateway that ran the turn that this one continues from.
        previous_at: Option<SocketAddr>,
        /// The server that ran the last turn of the turn chain.
        #[serde(rename = "line_server")]
        chain_server: Option<String>,
    },
    /// The budget is fully reserved.
    Spent {
        reserved: Tokens,
        holders: BTreeSet<SocketAddr>,
    },
    /// The process is not the home; it may know which one is.
    Elsewhere { home: Option<SocketAddr> },
    /// A slice from the store is needed, and the store is unavailable.
    Away,
}

/// Unused tokens that are returned to the process that lent them.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct ReturnedTokens {
    /// The id of the process instance that lent them.
    #[serde(rename = "i")]
    pub(crate) writer: String,
    #[serde(rename = "p")]
    pub(crate) program: String,
    #[serde(rename = "t")]
    pub(crate) tokens: Tokens,
    /// The turn's chain and the server that it was sent to.
    #[serde(rename = "l", default, skip_serializing_if = "Option::is_none")]
    pub(crate) placed: Option<(String, String)>,
}

/// Requests tokens of a program's budget that the peer does not need.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct LendRequest {
    #[serde(rename = "p")]
    pub(crate) program: String,
    /// The maximum of the turn that needs them.
    #[serde(rename = "t")]
    pub(crate) tokens: Tokens,
    /// The program's budget, of which a home may not have granted its part yet.
    #[serde(rename = "b", default, skip_serializing_if = "Option::is_none")]
    pub(crate) budget: Option<Tokens>,
    /// How long the budget must be kept after the program's last turn.
    #[serde(rename = "r", default, skip_serializing_if = "Option::is_none")]
    pub(crate) retention: Option<SpanUs>,
    /// Whether the response may say how long the program's records are kept.
    #[serde(rename = "k", default)]
    pub(crate) takes_loan: bool,
}

/// The response to a [`LendRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub(crate) enum LendResponse {
    Loan(Loan),
    /// The tokens alone, for requests that take no more.
    Tokens(Tokens),
}

/// Tokens that a peer lends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Loan {
    #[serde(rename = "t")]
    pub(crate) tokens: Tokens,
    /// How long the program's records are kept.
    #[serde(rename = "k")]
    pub(crate) kept_us: SpanUs,
}

impl LendResponse {
    pub(crate) fn loan(self) -> Loan {
        match self {
            Self::Loan(loan) => loan,
            Self::Tokens(tokens) => Loan {
                tokens,
                kept_us: SpanUs(0),
            },
        }
    }
}
