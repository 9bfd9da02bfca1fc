//! Defines newtypes for names, numbers and random identifiers that are sent between processes.

use std::fmt;
use std::str::FromStr;

use derive_more::{AsRef, Display, From, FromStr, Into};
use rand::Rng;
use serde::{Deserialize, Serialize};
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64;

/// The maximum length of a name.
pub const MAX_NAME_BYTES: usize = 128;

/// A text that does not parse as a name or identifier.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("`{text}` is not {expected}")]
pub struct ParseIdError {
    /// The text, truncated to [`MAX_NAME_BYTES`] characters.
    pub text: String,
    /// A description of the expected text.
    pub expected: &'static str,
}

/// Whether `text` is a valid name: 1 to 128 ASCII letters, digits, `.`, `_`, `-` or `:`.
fn is_name(text: &str) -> bool {
    let is_allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'.' | b'_' | b'-' | b':');
    !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.bytes().all(is_allowed)
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
            /// Returns the name as a string slice.
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
    /// A service, with one document and one set of backend servers.
    ServiceName;
    /// A class of calls, defined by a service's document.
    ClassName;
    /// A category of classes, with a share and a limit of its own.
    CategoryName;
    /// A program: a sequence of dependent calls with a common history and budget.
    ProgramId;
    /// A VM, and the single process of this system on it.
    VmId;
    /// An availability zone.
    ZoneName;
    /// A model that engines serve.
    ModelName;
    /// A version of a model or adapter.
    VersionName;
    /// A tool that a program calls between its turns.
    ToolName;
    /// The idempotency key that a caller gives a call.
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
            /// Returns the next number.
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
    /// The offset of the claim by which an entry became the owner of a partition.
    Epoch(u64);
    /// A partition of all programs.
    PartitionId(u16);
    /// One run of a process; later runs on the same VM have higher numbers.
    Incarnation(u64);
    /// A version of a service's document, counted from 1.
    Revision(u64);
    /// The position of a call in its program, from 0.
    CallSeq(u64);
    /// The fencing token of engine orders: the offset of the decider's claim.
    FencingNumber(u64);
}

macro_rules! random_ids {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(pub u128);

        impl $name {
            /// Draws a random identifier.
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
                let invalid = || ParseIdError {
                    text: text.chars().take(MAX_NAME_BYTES).collect(),
                    expected: "an identifier of 32 hexadecimal digits",
                };
                if text.len() != 32 || text.starts_with('+') {
                    return Err(invalid());
                }
                u128::from_str_radix(text, 16).map(Self).map_err(|_| invalid())
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
    /// A record of the log; further records with the same id are ignored.
    RecordId;
    /// One request of a caller, drawn by the entry that received it.
    RequestId;
    /// One attempt to run a call on a backend server.
    AttemptId;
    /// One run of `publish` by an operator.
    OperationId;
    /// One order to an engine.
    OrderId;
}

/// A call, identified by its program and position.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
#[display("{program}/{seq}")]
pub struct CallKey {
    /// The program that makes the call.
    pub program: ProgramId,
    /// The position of the call in the program.
    pub seq: CallSeq,
}

impl ProgramId {
    /// Returns the partition of this program among `partition_count`.
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
    fn names_are_validated_when_decoded() {
        assert!("itinerary-7".parse::<ProgramId>().is_ok());
        for invalid in ["", "a b", "ü", &"x".repeat(MAX_NAME_BYTES + 1)] {
            assert!(invalid.parse::<ProgramId>().is_err(), "{invalid}");
            assert!(
                serde_json::from_value::<ProgramId>(invalid.into()).is_err(),
                "{invalid}"
            );
        }
    }

    #[test]
    fn random_ids_round_trip_through_text() {
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
    fn partitions_are_in_range() {
        for n in 0..100 {
            let program: ProgramId = format!("p{n}").parse().expect("a name");
            assert!(program.partition(16) < PartitionId(16));
        }
    }
}
