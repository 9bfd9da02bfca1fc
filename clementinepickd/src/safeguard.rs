//! Lets a test build disable one safeguard, to show that the checks detect its absence.
//!
//! Without the feature `leave_out`, all safeguards are enabled at no run-time cost.

/// A safeguard that a test build can disable.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Safeguard {
    /// The end of a turn is sent to the caller only after its record is stored.
    RecordBeforeEnd,
    /// A standing slice is granted only to programs whose records count it.
    StandingCount,
    /// A booking, which is not idempotent, is sent to a backend server at most once.
    BookingOnce,
    /// Calls are still accepted for the drain delay after the process reports that it is not ready.
    DrainNotice,
    /// A response that names another request is not passed on to the caller.
    OwnAnswer,
    /// A stream is resumed only at a server of the software version that began it.
    StreamVersion,
    /// A request that has ended several servers is sent to no more.
    EndedServers,
}

impl Safeguard {
    /// Returns whether the safeguard is disabled, which it never is in this build.
    #[cfg(not(feature = "leave_out"))]
    #[expect(clippy::unused_self, reason = "the build with the feature uses it")]
    pub(crate) const fn is_disabled(self) -> bool {
        false
    }

    /// Returns whether the variable `CLEMENTINEPICK_LEAVE_OUT` names the safeguard.
    #[cfg(feature = "leave_out")]
    pub(crate) fn is_disabled(self) -> bool {
        let name = match self {
            Self::RecordBeforeEnd => "record_before_end",
            Self::StandingCount => "standing_count",
            Self::BookingOnce => "booking_once",
            Self::DrainNotice => "drain_notice",
            Self::OwnAnswer => "own_answer",
            Self::StreamVersion => "stream_version",
            Self::EndedServers => "ended_servers",
        };
        std::env::var("CLEMENTINEPICK_LEAVE_OUT").is_ok_and(|disabled| disabled == name)
    }
}
