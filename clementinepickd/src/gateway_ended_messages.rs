//! Defines the messages by which peers share which servers ended under a request.
//!
//! Times are sent as ages and remaining spans, since the clocks of processes differ.

use std::net::SocketAddr;

use clementinepick::ended_servers::{EndState, OpenRun, RequestEnds, ServerEnd, ServerStart};
use clementinepick::request_key::RequestKey;
use clementinepick::units::{SpanUs, TimeUs};
use serde::{Deserialize, Serialize};

/// The path of calls that share requests; the answer is whether their runs may start.
pub(crate) const HOLD_PATH: &str = "/ended/hold";
/// The path of calls that report requests or runs as over.
pub(crate) const OVER_PATH: &str = "/ended/over";
/// The path of calls that ask for all that a peer knows.
pub(crate) const LOAD_PATH: &str = "/ended/load";

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct SharedEnd {
    #[serde(rename = "s")]
    server: ServerStart,
    #[serde(rename = "g")]
    age_us: SpanUs,
    #[serde(rename = "t")]
    state: EndState,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct SharedRun {
    #[serde(rename = "r")]
    id: u64,
    #[serde(rename = "s")]
    server: ServerStart,
    #[serde(rename = "o")]
    is_isolated: bool,
    #[serde(rename = "k")]
    keep_us: SpanUs,
}

/// A request under which servers have ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct SharedRequest {
    #[serde(rename = "k")]
    pub(crate) key: RequestKey,
    #[serde(rename = "e")]
    ends: Vec<SharedEnd>,
    #[serde(rename = "r")]
    runs: Vec<SharedRun>,
}

impl SharedRequest {
    /// Encodes the servers that lost a response to a request, and some of its runs.
    pub(crate) fn new(now: TimeUs, key: RequestKey, ends: &[ServerEnd], runs: &[OpenRun]) -> Self {
        let ends = ends.iter();
        let runs = runs.iter().filter(|run| now < run.expires_at);
        Self {
            key,
            ends: ends
                .map(|end| SharedEnd {
                    server: end.server.clone(),
                    age_us: now.since(end.lost_at),
                    state: end.state,
                })
                .collect(),
            runs: runs
                .map(|run| SharedRun {
                    id: run.id,
                    server: run.server.clone(),
                    is_isolated: run.is_isolated,
                    keep_us: run.expires_at.since(now),
                })
                .collect(),
        }
    }

    /// Decodes what a peer knows.
    pub(crate) fn into_request(self, now: TimeUs) -> RequestEnds {
        let ends = self.ends.into_iter().map(|end| ServerEnd {
            server: end.server,
            lost_at: TimeUs(now.0.saturating_sub(end.age_us.0)),
            state: end.state,
        });
        let runs = self.runs.into_iter().map(|run| OpenRun {
            id: run.id,
            server: run.server,
            is_isolated: run.is_isolated,
            expires_at: now.after(run.keep_us),
        });
        RequestEnds {
            ends: ends.collect(),
            runs: runs.collect(),
        }
    }
}

/// Says that a request, one of its runs, or the silence of a server is over.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum RequestOver {
    /// A server has answered the request: it ends no servers.
    Answered(RequestKey),
    /// The run with this id is over, and its server has not ended.
    Run(RequestKey, u64),
    /// A server that was not heard since a run has just sent something.
    Responds(ServerStart),
}

/// Asks a peer for all that it knows, and to share what it learns.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LoadQuery {
    /// Where the asking process takes calls; the list of processes may not have it yet.
    #[serde(rename = "a")]
    pub(crate) address: SocketAddr,
}

/// What a peer knows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LoadAnswer {
    /// Whether it knows all that was known before it started.
    #[serde(rename = "l")]
    pub(crate) is_loaded: bool,
    #[serde(rename = "r")]
    pub(crate) requests: Vec<SharedRequest>,
}
