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
//! };
//! let mut origins = StreamOrigins::default();
//! origins.record(TimeUs(0), "attempt-1", origin.clone(), TimeUs(4_000_000));
//! assert_eq!(origins.get(TimeUs(3_000_000), "attempt-1"), Some((&origin, TimeUs(4_000_000))));
//! assert_eq!(origins.get(TimeUs(4_000_000), "attempt-1"), None);
//! ```

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::server_list::{BackendServer, SoftwareVersion};
use crate::units::TimeUs;

/// The maximum number of remembered streams, about 3 MB; above it, those whose callers give up
/// first are forgotten.
const MAX_ORIGINS: usize = 16_384;

/// What a stream's first event fixes for the rest of the stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// The service that runs the stream.
    #[serde(rename = "s")]
    pub service: String,
    /// The software version of the server that generated the first event.
    #[serde(rename = "v")]
    pub version: SoftwareVersion,
}

impl StreamOrigin {
    /// Returns the origin of a stream that begins at `server`.
    #[must_use]
    pub fn at(server: &BackendServer) -> Self {
        Self {
            service: server.service.clone(),
            version: server.version.clone(),
        }
    }

    /// Returns whether `server` can continue the stream.
    #[must_use]
    pub fn fits(&self, server: &BackendServer) -> bool {
        self.service == server.service && self.version == server.version
    }
}

/// The origins of streams by the caller's attempt that received the first event. Each is forgotten
/// when its caller has given up.
#[derive(Debug, Default)]
pub struct StreamOrigins {
    by_attempt: BTreeMap<String, (StreamOrigin, TimeUs)>,
    by_expiry: BTreeSet<(TimeUs, String)>,
}

impl StreamOrigins {
    /// Remembers the origin of a stream until `expires_at`.
    pub fn record(&mut self, now: TimeUs, attempt: &str, origin: StreamOrigin, expires_at: TimeUs) {
        self.expire(now);
        let entry = (origin, expires_at);
        if let Some((_, expiry)) = self.by_attempt.insert(attempt.to_owned(), entry) {
            self.by_expiry.remove(&(expiry, attempt.to_owned()));
        }
        self.by_expiry.insert((expires_at, attempt.to_owned()));
        if self.by_attempt.len() > MAX_ORIGINS {
            self.remove_first();
        }
    }

    /// Returns the origin of the stream that began with `attempt`, and when it expires.
    #[must_use]
    pub fn get(&self, now: TimeUs, attempt: &str) -> Option<(&StreamOrigin, TimeUs)> {
        let (origin, expires_at) = self.by_attempt.get(attempt)?;
        (now < *expires_at).then_some((origin, *expires_at))
    }

    /// Forgets all streams that have expired.
    pub fn expire(&mut self, now: TimeUs) {
        while self.by_expiry.first().is_some_and(|(at, _)| *at <= now) {
            self.remove_first();
        }
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

    fn remove_first(&mut self) {
        if let Some((_, attempt)) = self.by_expiry.pop_first() {
            self.by_attempt.remove(&attempt);
        }
    }
}
