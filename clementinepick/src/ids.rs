//! Newtypes for the names, numbers and random identifiers that travel between processes.

use std::fmt;
use std::str::FromStr;

use derive_more::{AsRef, Display, From, FromStr, Into};
use rand::Rng;
use serde::{Deserialize, Serialize};
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64;

/// The longest name that is accepted, in bytes.
pub const MAX_NAME_BYTES: usize = 128;

/// Text that can't serve as a name or identifier.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("`{text}` is not {expected}")]
pub struct ParseIdError {
    /// What was read, cut to [`MAX_NAME_BYTES`].
    pub text: String,
    /// What would have been right.
    pub expected: &'static str,
}

/// Says whether `text` may be a name: letters, digits, `.`, `_`, `-` and `:`, 1 to 128 bytes.
fn is_name(text: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'.' | b'_' | b'-' | b':');
    !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.bytes().all(allowed)
}

macro_rules! name_ids {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(
            Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, AsRef, Into, Serialize, Deserialize,
        )]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(String);

        impl $name {
            /// The name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = ParseIdError;

            fn from_str(text: &str) -> Result<Self, ParseIdError> {
                Self::try_from(text.to_owned())
            }
        }

        impl TryFrom<String> for $name {
            type Error = ParseIdError;

            fn try_from(text: String) -> Result<Self, ParseIdError> {
                if is_name(&text) {
                    return Ok(Self(text));
                }
                let text = text.chars().take(MAX_NAME_BYTES).collect();
                Err(ParseIdError { text, expected: "a name of 1 to 128 letters, digits or `._-:`" })
            }
        }
    )*};
}

name_ids! {
    /// A service: one document, one set of backend servers.
    ServiceName;
    /// A class of calls, defined by a service's document.
    ClassName;
    /// A category that classes belong to, with its own share and limit.
    CategoryName;
    /// A program: a chain of dependent calls with one history and one budget.
    ProgramId;
    /// A VM, and the one process of the system on it.
    VmId;
    /// An availability zone.
    ZoneName;
    /// A model that engines serve.
    ModelName;
    /// A version of a model or adapter.
    VersionName;
    /// A tool that a program calls between its turns.
    ToolName;
    /// The caller's idempotency key of a call.
    IdempotencyKey;
}

macro_rules! number_ids {
    ($($(#[$doc:meta])* $name:ident($inner:ty);)*) => {$(
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Display, From, Into, FromStr,
            Serialize, Deserialize,
        )]
        pub struct $name(pub $inner);

        impl $name {
            /// The number that follows this one.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }
    )*};
}

number_ids! {
    /// A position in a stream of the log service.
    Offset(u64);
    /// The offset of the claim that made an entry the owner of a partition.
    Epoch(u64);
    /// A partition of the programs.
    PartitionId(u16);
    /// One life of a process: a new one for each start.
    Incarnation(u64);
    /// A version of a service's document, counted from 1 by its accepted publications.
    Revision(u64);
    /// The place of a call in its program, from 0.
    CallSeq(u64);
    /// The number that engine orders carry: the offset of the decider's claim.
    FencingNumber(u64);
}

macro_rules! random_ids {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(pub u128);

        impl $name {
            /// Draws a new one.
            #[must_use]
            pub fn draw(rng: &mut impl Rng) -> Self {
                Self(u128::from(rng.next_u64()) << 64 | u128::from(rng.next_u64()))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:032x}", self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseIdError;

            fn from_str(text: &str) -> Result<Self, ParseIdError> {
                let bad = || ParseIdError {
                    text: text.chars().take(MAX_NAME_BYTES).collect(),
                    expected: "an identifier of 32 hexadecimal digits",
                };
                if text.len() != 32 || text.starts_with('+') {
                    return Err(bad());
                }
                u128::from_str_radix(text, 16).map(Self).map_err(|_| bad())
            }
        }

        impl TryFrom<String> for $name {
            type Error = ParseIdError;

            fn try_from(text: String) -> Result<Self, ParseIdError> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> Self {
                id.to_string()
            }
        }
    )*};
}

random_ids! {
    /// A record of the log; a second record with the same id is ignored.
    RecordId;
    /// One request of a caller, drawn where it came in.
    RequestId;
    /// One attempt to run a call on a backend server.
    AttemptId;
    /// One run of `publish` by an operator.
    OperationId;
    /// One order to an engine.
    OrderId;
}

/// A call: its program and its place in it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
#[display("{program}/{seq}")]
pub struct CallKey {
    /// The program that issued the call.
    pub program: ProgramId,
    /// The call's place in the program.
    pub seq: CallSeq,
}

impl ProgramId {
    /// The partition of this program among `partition_count`.
    #[must_use]
    pub fn partition(&self, partition_count: u16) -> PartitionId {
        let slot = xxh3_64(self.as_str().as_bytes()) % u64::from(partition_count.max(1));
        PartitionId(u16::try_from(slot).unwrap_or(u16::MAX))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn names_are_checked_when_decoded() {
        assert!("itinerary-7".parse::<ProgramId>().is_ok());
        for bad in ["", "a b", "ü", &"x".repeat(MAX_NAME_BYTES + 1)] {
            assert!(bad.parse::<ProgramId>().is_err(), "{bad}");
            assert!(
                serde_json::from_value::<ProgramId>(bad.into()).is_err(),
                "{bad}"
            );
        }
    }

    #[test]
    fn random_ids_read_back_what_they_print() {
        let id = RecordId(0x0123_4567_89ab_cdef);
        assert_eq!(id.to_string().parse(), Ok(id));
        assert!("123".parse::<RecordId>().is_err());
        assert!(
            "+0000000000000000000000000000001"
                .parse::<RecordId>()
                .is_err()
        );
    }

    #[test]
    fn a_partition_lies_in_range() {
        for n in 0..100 {
            let program: ProgramId = format!("p{n}").parse().expect("a name");
            assert!(program.partition(16) < PartitionId(16));
        }
    }
}
