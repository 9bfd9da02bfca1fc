//! Newtypes for times, sizes and rates; each prints with its unit and reads the same text back.
//!
//! Time is counted in whole microseconds. A [`TimeUs`] is a reading of the clock of one process and
//! is never compared with that of another; between processes only a [`SpanUs`] travels.

use std::fmt;
use std::str::FromStr;

use derive_more::{Add, AddAssign, From, Into, Sub, Sum};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Microseconds in one millisecond.
const US_PER_MS: u64 = 1_000;
/// Microseconds in one second.
const US_PER_S: u64 = 1_000_000;

/// Text that is no quantity of the expected unit.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("`{text}` is not {expected}")]
pub struct ParseQuantityError {
    /// What was read.
    pub text: String,
    /// What would have been right, with an example.
    pub expected: &'static str,
}

/// A point on the monotonic clock of one process, in microseconds since its start.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, From, Into, Serialize, Deserialize,
)]
pub struct TimeUs(pub u64);

impl TimeUs {
    /// The time `span` later; it saturates.
    #[must_use]
    pub const fn after(self, span: SpanUs) -> Self {
        Self(self.0.saturating_add(span.0))
    }

    /// How long after `earlier` this is; zero when it is not after it.
    #[must_use]
    pub const fn since(self, earlier: Self) -> SpanUs {
        SpanUs(self.0.saturating_sub(earlier.0))
    }
}

impl fmt::Display for TimeUs {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} us", self.0)
    }
}

/// A length of time, in microseconds.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    From,
    Into,
    Add,
    AddAssign,
    Sub,
    Sum,
    Serialize,
    Deserialize,
)]
pub struct SpanUs(pub u64);

impl SpanUs {
    /// A span of whole milliseconds.
    #[must_use]
    pub const fn from_ms(ms: u64) -> Self {
        Self(ms.saturating_mul(US_PER_MS))
    }

    /// A span of whole seconds.
    #[must_use]
    pub const fn from_s(s: u64) -> Self {
        Self(s.saturating_mul(US_PER_S))
    }

    /// The span in whole milliseconds, rounded down.
    #[must_use]
    pub const fn as_ms(self) -> u64 {
        self.0 / US_PER_MS
    }

    /// The span in seconds.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "spans stay far below 2^53 us")]
    pub fn as_s_f64(self) -> f64 {
        self.0 as f64 / US_PER_S as f64
    }
}

impl fmt::Display for SpanUs {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0.is_multiple_of(US_PER_S) {
            write!(f, "{} s", self.0 / US_PER_S)
        } else if self.0.is_multiple_of(US_PER_MS) {
            write!(f, "{} ms", self.0 / US_PER_MS)
        } else {
            write!(f, "{} us", self.0)
        }
    }
}

impl FromStr for SpanUs {
    type Err = ParseQuantityError;

    fn from_str(text: &str) -> Result<Self, ParseQuantityError> {
        let bad = || ParseQuantityError {
            text: text.to_owned(),
            expected: "a time with its unit (us, ms, s, min or h), such as `250 ms`",
        };
        let (count, unit) = split_quantity(text).ok_or_else(bad)?;
        let factor = match unit {
            "us" => 1,
            "ms" => US_PER_MS,
            "s" => US_PER_S,
            "min" => 60 * US_PER_S,
            "h" => 3_600 * US_PER_S,
            _ => return Err(bad()),
        };
        count.checked_mul(factor).map(Self).ok_or_else(bad)
    }
}

/// A count of model tokens.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    From,
    Into,
    Add,
    AddAssign,
    Sub,
    Sum,
    Serialize,
    Deserialize,
)]
pub struct Tokens(pub u64);

impl Tokens {
    /// The difference, or zero where `other` is greater.
    #[must_use]
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

impl fmt::Display for Tokens {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} tokens", self.0)
    }
}

impl FromStr for Tokens {
    type Err = ParseQuantityError;

    fn from_str(text: &str) -> Result<Self, ParseQuantityError> {
        let bad = || ParseQuantityError {
            text: text.to_owned(),
            expected: "a count of tokens, such as `4096 tokens`",
        };
        match split_quantity(text).ok_or_else(bad)? {
            (count, "" | "tokens") => Ok(Self(count)),
            _ => Err(bad()),
        }
    }
}

/// A size in bytes.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    From,
    Into,
    Add,
    AddAssign,
    Sub,
    Sum,
    Serialize,
    Deserialize,
)]
pub struct Bytes(pub u64);

impl fmt::Display for Bytes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} B", self.0)
    }
}

impl FromStr for Bytes {
    type Err = ParseQuantityError;

    fn from_str(text: &str) -> Result<Self, ParseQuantityError> {
        let bad = || ParseQuantityError {
            text: text.to_owned(),
            expected: "a size with its unit (B, KB, MB or GB), such as `16 MB`",
        };
        let (count, unit) = split_quantity(text).ok_or_else(bad)?;
        let factor = match unit {
            "B" => 1,
            "KB" => 1_000,
            "MB" => 1_000_000,
            "GB" => 1_000_000_000,
            _ => return Err(bad()),
        };
        count.checked_mul(factor).map(Self).ok_or_else(bad)
    }
}

/// A rate of events, in thousandths of an event a second, so that it stays exact.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, From, Into, Serialize, Deserialize,
)]
pub struct MilliPerS(pub u64);

impl MilliPerS {
    /// A rate of whole events a second.
    #[must_use]
    pub const fn per_s(count: u64) -> Self {
        Self(count.saturating_mul(1_000))
    }

    /// The least time between two events at this rate; the longest span for a rate of zero.
    #[must_use]
    pub const fn interval(self) -> SpanUs {
        match (US_PER_S * 1_000).checked_div(self.0) {
            Some(us) => SpanUs(us),
            None => SpanUs(u64::MAX),
        }
    }
}

impl fmt::Display for MilliPerS {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0.is_multiple_of(1_000) {
            write!(f, "{} /s", self.0 / 1_000)
        } else {
            write!(f, "{}.{:03} /s", self.0 / 1_000, self.0 % 1_000)
        }
    }
}

impl FromStr for MilliPerS {
    type Err = ParseQuantityError;

    fn from_str(text: &str) -> Result<Self, ParseQuantityError> {
        let bad = || ParseQuantityError {
            text: text.to_owned(),
            expected: "a rate a second, such as `50 /s`",
        };
        let count = text.trim().strip_suffix("/s").ok_or_else(bad)?.trim();
        let (whole, fraction) = count.split_once('.').unwrap_or((count, ""));
        let whole: u64 = whole.parse().map_err(|_| bad())?;
        if fraction.len() > 3 || !fraction.bytes().all(|b| b.is_ascii_digit()) {
            return Err(bad());
        }
        let thousandths: u64 = format!("{fraction:0<3}").parse().map_err(|_| bad())?;
        let rate = whole
            .checked_mul(1_000)
            .and_then(|w| w.checked_add(thousandths));
        rate.map(Self).ok_or_else(bad)
    }
}

/// A share of a whole, in per cent from 0 to 100.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Into, Serialize, Deserialize,
)]
pub struct Percent(u8);

impl Percent {
    /// The share, or nothing when it is over 100.
    #[must_use]
    pub const fn new(percent: u8) -> Option<Self> {
        if percent <= 100 {
            Some(Self(percent))
        } else {
            None
        }
    }

    /// This share of `whole`, rounded down.
    #[must_use]
    pub const fn of(self, whole: u64) -> u64 {
        whole / 100 * self.0 as u64 + whole % 100 * self.0 as u64 / 100
    }
}

impl fmt::Display for Percent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}%", self.0)
    }
}

impl FromStr for Percent {
    type Err = ParseQuantityError;

    fn from_str(text: &str) -> Result<Self, ParseQuantityError> {
        let bad = || ParseQuantityError {
            text: text.to_owned(),
            expected: "a share from 0% to 100%, such as `20%`",
        };
        let digits = text.trim().strip_suffix('%').ok_or_else(bad)?.trim();
        let percent = digits.parse().map_err(|_| bad())?;
        Self::new(percent).ok_or_else(bad)
    }
}

/// Splits `250 ms` or `250ms` into its count and unit.
fn split_quantity(text: &str) -> Option<(u64, &str)> {
    let text = text.trim();
    let end = text
        .find(|c: char| !c.is_ascii_digit())
        .unwrap_or(text.len());
    let count = text[..end].parse().ok()?;
    Some((count, text[end..].trim()))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn spans_read_back_what_they_print() {
        for span in [
            SpanUs(0),
            SpanUs(7),
            SpanUs::from_ms(250),
            SpanUs::from_s(30),
        ] {
            assert_eq!(span.to_string().parse(), Ok(span));
        }
    }

    #[test]
    fn a_span_without_unit_is_refused() {
        assert!("250".parse::<SpanUs>().is_err());
        assert!("250 parsecs".parse::<SpanUs>().is_err());
        assert!("99999999999999999999 s".parse::<SpanUs>().is_err());
    }

    #[test]
    fn rates_keep_their_thousandths() {
        assert_eq!("2.5 /s".parse(), Ok(MilliPerS(2_500)));
        assert_eq!(MilliPerS(2_500).to_string().parse(), Ok(MilliPerS(2_500)));
        assert_eq!(MilliPerS::per_s(4).interval(), SpanUs::from_ms(250));
    }

    #[test]
    fn a_percentage_over_100_is_refused() {
        assert!("101%".parse::<Percent>().is_err());
        assert_eq!("20%".parse::<Percent>().map(|p| p.of(50)), Ok(10));
    }
}
