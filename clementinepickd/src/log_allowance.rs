//! Limits the volume of a log to a burst and a rate, and keeps a part of it for the lines that matter most.

use std::time::Instant;

/// The most bytes that are logged at once.
const BURST_BYTES: u64 = 1_048_576;
/// The most bytes that are logged in a second on average.
const RATE_BYTES_PER_S: u64 = 32_768;
/// What routine lines and warnings leave of the burst for lines of a higher importance.
const KEPT_FROM_ROUTINE_BYTES: u64 = BURST_BYTES / 2;
const KEPT_FROM_WARNINGS_BYTES: u64 = BURST_BYTES / 4;

/// How much a line matters to whoever looks for the cause of a failure.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Importance {
    /// A line of normal operation, of which there may be many.
    Routine,
    /// A failure that is handled.
    Warning,
    /// An error, or the start, the end or the state of the process.
    Process,
}

impl Importance {
    const fn kept_bytes(self) -> u64 {
        match self {
            Self::Routine => KEPT_FROM_ROUTINE_BYTES,
            Self::Warning => KEPT_FROM_WARNINGS_BYTES,
            Self::Process => 0,
        }
    }
}

/// The bytes of a log beyond those that its rate has allowed for since.
#[derive(Debug)]
pub(crate) struct LogAllowance {
    used_bytes: u64,
    reduced_at: Instant,
}

impl LogAllowance {
    pub(crate) const fn new(now: Instant) -> Self {
        Self {
            used_bytes: 0,
            reduced_at: now,
        }
    }

    /// Returns whether a line may be logged.
    pub(crate) fn admits(&mut self, importance: Importance, now: Instant) -> bool {
        self.reduce(now);
        self.used_bytes < BURST_BYTES - importance.kept_bytes()
    }

    /// Uses up the bytes of a line.
    pub(crate) const fn charge(&mut self, bytes: u64) {
        self.used_bytes = self.used_bytes.saturating_add(bytes);
    }

    fn reduce(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.reduced_at).as_micros();
        let allowed = elapsed * u128::from(RATE_BYTES_PER_S) / 1_000_000;
        let allowed = u64::try_from(allowed).unwrap_or(u64::MAX);
        if allowed > 0 {
            self.used_bytes = self.used_bytes.saturating_sub(allowed);
            self.reduced_at = now;
        }
    }
}

#[cfg(test)]
mod tests {
    use std::time::Duration;

    use super::*;

    const LINE_BYTES: u64 = 256;

    /// Logs lines of one importance as fast as they are admitted; returns their bytes.
    fn flood(allowance: &mut LogAllowance, importance: Importance, now: Instant) -> u64 {
        let mut bytes = 0;
        while allowance.admits(importance, now) {
            allowance.charge(LINE_BYTES);
            bytes += LINE_BYTES;
        }
        bytes
    }

    /// Guards against a log whose volume follows the load.
    #[test]
    fn a_flood_is_limited_to_the_burst_and_the_rate() {
        let start = Instant::now();
        for importance in [
            Importance::Routine,
            Importance::Warning,
            Importance::Process,
        ] {
            let mut allowance = LogAllowance::new(start);
            let logged: u64 = (0..=1_000)
                .map(|step| start + Duration::from_millis(10) * step)
                .map(|now| flood(&mut allowance, importance, now))
                .sum();
            let limit = BURST_BYTES - importance.kept_bytes() + 10 * RATE_BYTES_PER_S;
            assert!(logged <= limit + LINE_BYTES, "{importance:?}: {logged}");
            assert!(
                logged + RATE_BYTES_PER_S >= limit,
                "{importance:?}: {logged}"
            );
        }
    }

    /// Guards against a flood of requests that hides why a process ends.
    #[test]
    fn a_flood_leaves_room_for_lines_that_matter_more() {
        let now = Instant::now();
        let mut allowance = LogAllowance::new(now);
        flood(&mut allowance, Importance::Routine, now);
        assert!(flood(&mut allowance, Importance::Warning, now) >= BURST_BYTES / 4);
        assert!(!allowance.admits(Importance::Routine, now));
        assert!(flood(&mut allowance, Importance::Process, now) >= BURST_BYTES / 4);
    }
}
