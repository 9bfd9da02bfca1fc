//! Safeguards that a build for tests can leave out, to show that the checks see it.
//!
//! Without the feature `leave_out`, every safeguard is there and this costs nothing.

/// A safeguard that can be left out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Safeguard {
    /// A turn's end waits for its record.
    RecordBeforeEnd,
    /// A standing slice is given only to programs whose records count it.
    StandingCount,
    /// A booking is sent once.
    BookingOnce,
    /// Callers are told of a planned end before it.
    DrainNotice,
    /// An answer that names another request is not passed on.
    OwnAnswer,
}

impl Safeguard {
    /// Whether the safeguard is left out in this process.
    #[cfg(not(feature = "leave_out"))]
    #[expect(clippy::unused_self, reason = "the other build looks at it")]
    pub(crate) const fn is_disabled(self) -> bool {
        false
    }

    /// Whether the safeguard is left out in this process, by the variable
    /// `CLEMENTINEPICK_LEAVE_OUT`.
    #[cfg(feature = "leave_out")]
    pub(crate) fn is_disabled(self) -> bool {
        let name = match self {
            Self::RecordBeforeEnd => "record_before_end",
            Self::StandingCount => "standing_count",
            Self::BookingOnce => "booking_once",
            Self::DrainNotice => "drain_notice",
            Self::OwnAnswer => "own_answer",
        };
        std::env::var("CLEMENTINEPICK_LEAVE_OUT").is_ok_and(|left_out| left_out == name)
    }
}
