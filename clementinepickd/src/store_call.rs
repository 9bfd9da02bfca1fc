//! Defines calls to the platform's store, their purposes and their responses.

use actix_http::Method;
use bytes::Bytes;

/// A response of the store, other than a refusal.
#[derive(Debug, Clone)]
pub(crate) struct StoreReply {
    pub(crate) status: u16,
    pub(crate) body: Bytes,
}

/// The purpose of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StorePurpose {
    /// Follow the configuration, the servers or the peers.
    Follow,
    /// Write this process's entry.
    Announce,
    /// Write a slice or a home of a budget partition.
    ReserveSlice,
    /// Read a budget partition.
    ReadSlices,
    /// Write a finished turn.
    RecordTurn,
    /// Read finished turns.
    ReadTurn,
    /// Write requests that run or under which servers have ended.
    RecordRequests,
    /// Read requests that ran or under which servers have ended.
    LoadRequests,
    /// Read and write the software versions of services.
    Versions,
    /// Read and write where streams began.
    Origins,
    /// Find and delete expired records.
    Sweep,
    /// Check whether the store responds.
    Probe,
    /// Make a call for a peer.
    Relay,
}

impl StorePurpose {
    /// Returns the name used in metrics.
    pub(crate) fn label(self) -> &'static str {
        match self {
            Self::Follow => "follow",
            Self::Announce => "announce",
            Self::ReserveSlice => "reserve_slice",
            Self::ReadSlices => "read_slices",
            Self::RecordTurn => "record_turn",
            Self::ReadTurn => "read_turn",
            Self::RecordRequests => "record_requests",
            Self::LoadRequests => "load_requests",
            Self::Versions => "versions",
            Self::Origins => "origins",
            Self::Sweep => "sweep",
            Self::Probe => "probe",
            Self::Relay => "relay",
        }
    }
}

/// A call to the store.
#[derive(Debug, Clone)]
pub(crate) struct StoreCall {
    pub(crate) purpose: StorePurpose,
    pub(crate) method: Method,
    pub(crate) target: String,
    pub(crate) body: Bytes,
}

impl StoreCall {
    /// Creates a call that reads.
    pub(crate) fn get(purpose: StorePurpose, target: String) -> Self {
        Self {
            purpose,
            method: Method::GET,
            target,
            body: Bytes::new(),
        }
    }

    /// Creates a call that writes.
    pub(crate) fn post(purpose: StorePurpose, target: String, body: Bytes) -> Self {
        Self {
            purpose,
            method: Method::POST,
            target,
            body,
        }
    }
}

/// The counts of call attempts, for metrics and logs.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct StoreCounts {
    pub(crate) calls: u64,
    pub(crate) failures: u64,
    pub(crate) relayed: u64,
}
