//! Remembers where streams began, so that each is resumed only where its events fit together.
//!
//! ```
//! use clementinepick::server_list::SoftwareVersion;
//! use clementinepick::stream_origin::{StreamOrigin, StreamOrigins};
//! use clementinepick::units::TimeUs;
//!
//! let origin = StreamOrigin {
//!     service: "models".to_owned(),
//!     version: SoftwareVersion::from("v1".to_owned()),
//!     is_unproven: false,
//!     unanswered: None,
//! };
//! let mut origins = StreamOrigins::default();
//! origins.record(TimeUs(0), "attempt-1", origin.clone(), TimeUs(4_000_000));
//! assert_eq!(origins.get(TimeUs(3_000_000), "attempt-1"), Some((&origin, TimeUs(4_000_000))));
//! assert_eq!(origins.get(TimeUs(4_000_000), "attempt-1"), None);
//! assert!(origins.has_expired(TimeUs(4_000_000), "attempt-1"));
//! ```

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::expiring_map::ExpiringMap;
use crate::server_list::{BackendServer, SoftwareVersion};
use crate::start_doubts::ReportedStart;
use crate::units::{SpanUs, TimeUs};

/// The maximum number of remembered streams, about 3 MB; above it, those whose callers give up
/// first are forgotten.
const MAX_ORIGINS: usize = 16_384;
/// How long it is known of a stream that its origin was forgotten.
const EXPIRY_MEMORY_US: SpanUs = SpanUs::from_s(30);

/// What a stream's first event fixes for the rest of the stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// The service that runs the stream.
    #[serde(rename = "s")]
    pub service: String,
    /// The software version of the server that generated the first event.
    #[serde(rename = "v")]
    pub version: SoftwareVersion,
    /// Whether the server may have been another start than the listed one, so that its version is not
    /// known.
    #[serde(rename = "u", default, skip_serializing_if = "std::ops::Not::not")]
    pub is_unproven: bool,
    /// The server to ask whether it is the listed start, if it has not said so yet.
    #[serde(rename = "q", default, skip_serializing_if = "Option::is_none")]
    pub unanswered: Option<ListedStart>,
}

/// The start of a server that its entry describes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedStart {
    /// The address of the server.
    #[serde(rename = "a")]
    pub address: SocketAddr,
    /// When it started, in Unix milliseconds by its entry.
    #[serde(rename = "t")]
    pub started_unix_ms: u64,
}

impl ListedStart {
    /// Returns the start of a listed server; `None` if its entry has no start time.
    #[must_use]
    pub fn of(server: &BackendServer) -> Option<Self> {
        Some(Self {
            address: server.address,
            started_unix_ms: server.started_unix_ms?,
        })
    }
}

impl StreamOrigin {
    /// Returns the origin of a stream that begins at `server`.
    #[must_use]
    pub fn at(server: &BackendServer) -> Self {
        Self {
            service: server.service.clone(),
            version: server.version.clone(),
            is_unproven: false,
            unanswered: None,
        }
    }

    /// Returns the origin of a stream whose server was asked which start it is and has not answered.
    #[must_use]
    pub fn unanswered_at(server: &BackendServer) -> Self {
        Self {
            is_unproven: true,
            unanswered: ListedStart::of(server),
            ..Self::at(server)
        }
    }

    /// Returns the origin of a stream whose server may have been another start than the listed one.
    #[must_use]
    pub fn unproven_at(server: &BackendServer) -> Self {
        Self {
            is_unproven: true,
            ..Self::at(server)
        }
    }

    /// Returns the same origin after its server has said which start it is.
    ///
    /// The starts at one address follow each other: if the listed one responds after the stream has
    /// begun, the stream has begun there.
    #[must_use]
    pub fn answered(&self, reported: ReportedStart) -> Self {
        let listed = self.unanswered.map(|start| start.started_unix_ms);
        let is_proven = listed.map(ReportedStart::At) == Some(reported);
        Self {
            is_unproven: self.is_unproven && !is_proven,
            unanswered: None,
            ..self.clone()
        }
    }

    /// Returns whether `server` can continue the stream.
    #[must_use]
    pub fn fits(&self, server: &BackendServer) -> bool {
        !self.is_unproven && self.service == server.service && self.version == server.version
    }
}

/// The origins of streams by the caller's attempt that received the first event. Each is forgotten
/// when its caller has given up.
#[derive(Debug)]
pub struct StreamOrigins {
    by_attempt: ExpiringMap<String, StreamOrigin>,
    /// The hashes of all attempts that were recorded lately.
    recorded: ExpiringMap<u64, ()>,
}

impl Default for StreamOrigins {
    fn default() -> Self {
        Self {
            by_attempt: ExpiringMap::new(MAX_ORIGINS),
            recorded: ExpiringMap::new(MAX_ORIGINS),
        }
    }
}

impl StreamOrigins {
    /// Remembers the origin of a stream until `expires_at`.
    pub fn record(&mut self, now: TimeUs, attempt: &str, origin: StreamOrigin, expires_at: TimeUs) {
        self.by_attempt
            .insert(now, attempt.to_owned(), origin, expires_at);
        let remembered_until = expires_at.after(EXPIRY_MEMORY_US);
        let hash = xxh3_64(attempt.as_bytes());
        self.recorded.insert(now, hash, (), remembered_until);
    }

    /// Returns whether the origin of the stream that began with `attempt` was recorded lately and has expired.
    #[must_use]
    pub fn has_expired(&self, now: TimeUs, attempt: &str) -> bool {
        let hash = xxh3_64(attempt.as_bytes());
        self.get(now, attempt).is_none() && self.recorded.get(now, &hash).is_some()
    }

    /// Returns the origin of the stream that began with `attempt`, and when it expires.
    #[must_use]
    pub fn get(&self, now: TimeUs, attempt: &str) -> Option<(&StreamOrigin, TimeUs)> {
        self.by_attempt.get(now, attempt)
    }

    /// Forgets all streams that have expired.
    pub fn expire(&mut self, now: TimeUs) {
        self.by_attempt.expire(now);
        self.recorded.expire(now);
    }

    /// Returns the number of remembered streams.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_attempt.len()
    }

    /// Returns whether no stream is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_attempt.is_empty()
    }
}
