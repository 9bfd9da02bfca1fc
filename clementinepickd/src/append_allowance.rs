//! Limits how often a process appends to the store: a few times at once, and at an interval on average.

use std::time::{Duration, Instant};

/// The appends that may be made now.
#[derive(Debug)]
pub(crate) struct AppendAllowance {
    burst: u32,
    left: u32,
    replenished_at: Instant,
}

impl AppendAllowance {
    /// Creates an allowance of `burst` appends.
    pub(crate) fn new(burst: u32, now: Instant) -> Self {
        Self {
            burst,
            left: burst,
            replenished_at: now,
        }
    }

    /// Adds one append for each `interval` since the last call.
    pub(crate) fn replenish(&mut self, interval: Duration, now: Instant) {
        while self.left < self.burst && now >= self.replenished_at + interval {
            self.left += 1;
            self.replenished_at += interval;
        }
        if self.left == self.burst {
            self.replenished_at = now;
        }
    }

    /// Returns whether an append may be made.
    pub(crate) fn is_available(&self) -> bool {
        self.left > 0
    }

    /// Uses an append, if there is one.
    pub(crate) fn take(&mut self) {
        self.left = self.left.saturating_sub(1);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against appends that become more frequent than the interval.
    #[test]
    fn appends_follow_a_burst_at_the_interval() {
        let interval = Duration::from_millis(100);
        let start = Instant::now();
        let mut allowance = AppendAllowance::new(3, start);
        let mut appends = 0;
        for step in 0..=100 {
            let now = start + Duration::from_millis(10) * step;
            allowance.replenish(interval, now);
            if allowance.is_available() {
                allowance.take();
                appends += 1;
            }
        }
        assert_eq!(appends, 3 + 10);
    }
}
