//! What gateways say to each other of programs' budgets.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use clementinepick::units::{SpanUs, Tokens};
use serde::{Deserialize, Serialize};

/// Where a home is asked for a turn's part of a budget.
pub(crate) const RESERVE_PATH: &str = "/reserve";

/// Where a home takes back what turns did not need.
pub(crate) const RETURN_PATH: &str = "/return";

/// Where a gateway is asked for a part of a budget that it does not need.
pub(crate) const LEND_PATH: &str = "/lend";

/// Asks a home for a turn's part of its program's budget.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct ReserveRequest {
    #[serde(rename = "q")]
    pub(crate) turn_id: String,
    /// The turn that it continues from.
    #[serde(rename = "c", default, skip_serializing_if = "Option::is_none")]
    pub(crate) previous_id: Option<String>,
    /// Whether other turns may continue from this one.
    #[serde(rename = "k")]
    pub(crate) keeps_context: bool,
    /// The line of turns, and those that it branched off from, its own last.
    #[serde(rename = "l", default, skip_serializing_if = "Vec::is_empty")]
    pub(crate) lines: Vec<String>,
    /// Who runs the turn.
    #[serde(rename = "f")]
    pub(crate) runner: SocketAddr,
    #[serde(rename = "p")]
    pub(crate) program: String,
    #[serde(rename = "b")]
    pub(crate) budget: Tokens,
    #[serde(rename = "t")]
    pub(crate) turn: Tokens,
    /// What turns hand out on average, by those that the asker ran.
    #[serde(rename = "m", default, skip_serializing_if = "Option::is_none")]
    pub(crate) mean_turn: Option<Tokens>,
    #[serde(rename = "r")]
    pub(crate) retention: SpanUs,
}

/// What a home answers.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum ReserveResponse {
    /// The turn's maximum is lent, or what is left if that is less.
    Lent {
        writer: String,
        /// How much it is; the maximum where this is not said.
        #[serde(default)]
        tokens: Option<Tokens>,
        /// Who ran the turn that this one continues from.
        previous_at: Option<SocketAddr>,
        /// The server that ran the line last.
        line_server: Option<String>,
    },
    /// The budget is given out to the end.
    Spent {
        reserved: Tokens,
        holders: BTreeSet<SocketAddr>,
    },
    /// The process is not the home, and may know who is.
    Elsewhere { home: Option<SocketAddr> },
    /// The store would have to be asked and does not answer.
    Away,
}

/// Tokens that come back to the process that lent them.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct ReturnedTokens {
    /// The start of the process that lent them.
    #[serde(rename = "i")]
    pub(crate) writer: String,
    #[serde(rename = "p")]
    pub(crate) program: String,
    #[serde(rename = "t")]
    pub(crate) tokens: Tokens,
    /// The line of the turn, and the server that it was sent to.
    #[serde(rename = "l", default, skip_serializing_if = "Option::is_none")]
    pub(crate) placed: Option<(String, String)>,
}

/// Asks for a part of a program's budget that the peer does not need.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct LendRequest {
    #[serde(rename = "p")]
    pub(crate) program: String,
    /// What the turn that waits generates at most.
    #[serde(rename = "t")]
    pub(crate) tokens: Tokens,
}
