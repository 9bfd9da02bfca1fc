//! Identifies a request by its content, over all attempts of its caller.
//!
//! ```
//! use clementinepick::request_key::{RequestContent, RequestKey};
//!
//! let content = RequestContent {
//!     method: "POST",
//!     target: "/draft/1",
//!     body: b"input",
//!     ..RequestContent::default()
//! };
//! let key = content.key();
//! assert_eq!(key.to_string().parse(), Ok(key));
//! assert_ne!(key, RequestContent { body: b"other", ..content }.key());
//! ```

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

/// A hash of the content of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestKey(u128);

impl fmt::Display for RequestKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for RequestKey {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u128::from_str_radix(text, 16).map(Self)
    }
}

/// What all attempts of a caller at one request have in common, unlike the request id, the deadline
/// and the last event received.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RequestContent<'a> {
    /// The method.
    pub method: &'a str,
    /// The host.
    pub host: &'a str,
    /// The path and query.
    pub target: &'a str,
    /// The program that the request belongs to.
    pub program: Option<&'a str>,
    /// The conversation within the program.
    pub session: Option<&'a str>,
    /// The id of the turn that this one continues.
    pub previous_turn: Option<&'a str>,
    /// The body.
    pub body: &'a [u8],
}

impl RequestContent<'_> {
    /// Returns the key of the request.
    #[must_use]
    pub fn key(&self) -> RequestKey {
        let mut hasher = Xxh3::new();
        let texts = [
            Some(self.method),
            Some(self.host),
            Some(self.target),
            self.program,
            self.session,
            self.previous_turn,
        ];
        for text in texts {
            update(&mut hasher, text.map(str::as_bytes));
        }
        update(&mut hasher, Some(self.body));
        RequestKey(hasher.digest128())
    }
}

/// Adds a part with its length, so that no two contents have the same bytes.
fn update(hasher: &mut Xxh3, part: Option<&[u8]>) {
    let length = part.map_or(u64::MAX, |part| part.len() as u64);
    hasher.update(&length.to_le_bytes());
    hasher.update(part.unwrap_or_default());
}
