//! The outcome of one attempt of a store call, and what it says about the store.

use std::time::Duration;

use clementinepick::outage_detector::FailureKind;

use crate::store::StoreReply;

/// How late a timeout may fire. One that fires later ran out while this process was not running, so
/// that the response may have been there in time.
const MAX_TIMER_DELAY: Duration = Duration::from_millis(150);

/// How an attempt ended.
#[derive(Debug, Clone)]
pub(crate) enum AttemptOutcome {
    /// No response arrived in time.
    Silent,
    /// The connection could not be opened, or broke.
    Broken,
    /// The store did nothing, and the call may be repeated.
    Refused,
    /// The store did nothing, since calls exceed its limit or it turns this process away.
    Limited,
    /// The condition of an append did not hold.
    Conflict(StoreReply),
    Answered(StoreReply),
}

impl AttemptOutcome {
    /// Returns the label of the metrics.
    pub(crate) fn label(&self) -> &'static str {
        match self {
            Self::Silent => "silent",
            Self::Broken => "broken",
            Self::Refused => "refused",
            Self::Limited => "limited",
            Self::Conflict(_) => "conflict",
            Self::Answered(_) => "answered",
        }
    }
}

/// One attempt of a call.
#[derive(Debug, Clone)]
pub(crate) struct Attempt {
    pub(crate) outcome: AttemptOutcome,
    /// Whether a connection was opened for it, or was to be.
    pub(crate) is_new_connection: bool,
    /// The timeout.
    pub(crate) limit: Duration,
    pub(crate) took: Duration,
}

impl Attempt {
    pub(crate) fn is_ok(&self) -> bool {
        matches!(
            self.outcome,
            AttemptOutcome::Conflict(_) | AttemptOutcome::Answered(_)
        )
    }

    /// Whether an idle connection was used that may have been broken before.
    pub(crate) fn has_lost_reused_connection(&self) -> bool {
        let is_lost = matches!(
            self.outcome,
            AttemptOutcome::Silent | AttemptOutcome::Broken
        );
        is_lost && !self.is_new_connection
    }

    /// Whether no response arrived though the connection had not been idle: a longer timeout may
    /// help.
    pub(crate) fn is_silent_on_new_connection(&self) -> bool {
        matches!(self.outcome, AttemptOutcome::Silent) && self.is_new_connection
    }

    /// Returns what the failure of a direct attempt says about the store.
    pub(crate) fn failure_kind(&self) -> FailureKind {
        let was_running = self.took < self.limit + MAX_TIMER_DELAY;
        match self.outcome {
            AttemptOutcome::Refused => FailureKind::Unavailable,
            AttemptOutcome::Limited => FailureKind::Inconclusive,
            _ if self.is_new_connection && was_running => FailureKind::Unavailable,
            _ => FailureKind::Inconclusive,
        }
    }

    /// Returns what the failure of a long poll says about the store: a long poll may lose its
    /// response at any time while the store holds it.
    pub(crate) fn long_poll_failure_kind(&self) -> FailureKind {
        match self.outcome {
            AttemptOutcome::Silent => FailureKind::Inconclusive,
            _ => self.failure_kind(),
        }
    }

    /// Returns what the failure of a relayed attempt says about the store: the relay itself may be
    /// lost.
    pub(crate) fn relay_failure_kind(&self) -> FailureKind {
        match self.outcome {
            AttemptOutcome::Refused => FailureKind::Unavailable,
            _ => FailureKind::Inconclusive,
        }
    }

    pub(crate) fn into_reply(self) -> Option<StoreReply> {
        match self.outcome {
            AttemptOutcome::Conflict(reply) | AttemptOutcome::Answered(reply) => Some(reply),
            AttemptOutcome::Silent
            | AttemptOutcome::Broken
            | AttemptOutcome::Refused
            | AttemptOutcome::Limited => None,
        }
    }
}

#[cfg(test)]
mod tests {
    use clementinepick::outage_detector::FailureKind::{Inconclusive, Unavailable};

    use super::*;

    const LIMIT: Duration = Duration::from_millis(150);

    fn attempt(outcome: AttemptOutcome, is_new_connection: bool) -> Attempt {
        Attempt {
            outcome,
            is_new_connection,
            limit: LIMIT,
            took: LIMIT,
        }
    }

    #[test]
    fn only_a_refusal_or_a_failure_on_a_new_connection_shows_an_unavailable_store() {
        let kind = |outcome, is_new| attempt(outcome, is_new).failure_kind();
        assert_eq!(kind(AttemptOutcome::Silent, true), Unavailable);
        assert_eq!(kind(AttemptOutcome::Broken, true), Unavailable);
        assert_eq!(kind(AttemptOutcome::Refused, true), Unavailable);
        assert_eq!(kind(AttemptOutcome::Refused, false), Unavailable);
        assert_eq!(kind(AttemptOutcome::Silent, false), Inconclusive);
        assert_eq!(kind(AttemptOutcome::Broken, false), Inconclusive);
    }

    #[test]
    fn a_refusal_by_the_limit_of_calls_shows_nothing() {
        let limited = attempt(AttemptOutcome::Limited, true);
        assert_eq!(limited.failure_kind(), Inconclusive);
        assert_eq!(limited.long_poll_failure_kind(), Inconclusive);
        assert_eq!(limited.relay_failure_kind(), Inconclusive);
    }

    /// A process that was suspended during an attempt finds its timeout expired.
    #[test]
    fn a_timeout_that_fires_late_shows_nothing() {
        let late = Attempt {
            took: LIMIT + MAX_TIMER_DELAY,
            ..attempt(AttemptOutcome::Silent, true)
        };
        assert_eq!(late.failure_kind(), Inconclusive);
    }

    #[test]
    fn a_lost_long_poll_or_relay_shows_nothing_and_a_refused_one_does() {
        let lost = attempt(AttemptOutcome::Silent, true);
        assert_eq!(lost.long_poll_failure_kind(), Inconclusive);
        assert_eq!(lost.relay_failure_kind(), Inconclusive);
        let refused = attempt(AttemptOutcome::Refused, false);
        assert_eq!(refused.long_poll_failure_kind(), Unavailable);
        assert_eq!(refused.relay_failure_kind(), Unavailable);
    }
}
