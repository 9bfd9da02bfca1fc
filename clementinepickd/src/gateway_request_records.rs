//! Defines the records of servers that ended under requests, and of running requests.

use clementinepick::ended_servers::{EndState, ServerStart};
use clementinepick::request_key::RequestKey;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::ledger::to_cbor;

/// How the keys of the two kinds of records begin.
pub(crate) const END_PREFIX: &str = "e-";
pub(crate) const RUNS_PREFIX: &str = "r-";

/// The record of one server that ended under a request.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct EndRecord {
    #[serde(rename = "k")]
    pub(crate) key: RequestKey,
    #[serde(rename = "s")]
    pub(crate) server: ServerStart,
    #[serde(rename = "t")]
    pub(crate) state: EndState,
    #[serde(rename = "l")]
    pub(crate) lost_unix_ms: u64,
}

/// One running request.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct RunRecord {
    #[serde(rename = "k")]
    pub(crate) key: RequestKey,
    /// The id by which peers know the run, if they do.
    #[serde(rename = "r")]
    pub(crate) id: u64,
    #[serde(rename = "o")]
    pub(crate) is_isolated: bool,
    #[serde(rename = "s")]
    pub(crate) server: ServerStart,
    #[serde(rename = "e")]
    pub(crate) expires_unix_ms: u64,
}

/// The record of the requests that a process runs.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct RunsRecord {
    #[serde(rename = "w")]
    pub(crate) recorded_unix_ms: u64,
    #[serde(rename = "r")]
    pub(crate) runs: Vec<RunRecord>,
}

/// What other processes have recorded.
#[derive(Debug, Default)]
pub(crate) struct RecordedRequests {
    pub(crate) ends: Vec<EndRecord>,
    pub(crate) runs: Vec<RunsRecord>,
}

/// Returns whether a record of the partition is of one of these kinds.
pub(crate) fn is_request_record(key: &str) -> bool {
    key.starts_with(RUNS_PREFIX) || key.starts_with(END_PREFIX)
}

pub(crate) fn end_key(key: RequestKey, server: &ServerStart) -> String {
    let server = xxh3_64(&to_cbor(server));
    format!("{END_PREFIX}{key}-{server:016x}")
}
