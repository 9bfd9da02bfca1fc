//! Limits retries to a share of the calls, so that an outage doesn't cause a retry storm.
//!
//! When a whole service fails, each of its calls would be retried up to its attempt limit, which
//! multiplies the load when the capacity is lowest. Each call deposits a fraction of a retry and
//! each retry withdraws a whole one, so that in the long run at most that share of the calls is
//! retried.

use crate::units::Percent;

/// The capacity and initial balance, in thousandths of a retry: occasional failures are retried
/// even where there is little traffic.
const CAPACITY_MILLI: u64 = 10_000;
/// The cost of one retry, in thousandths of a retry.
const RETRY_COST_MILLI: u64 = 1_000;

/// The retry budget of one service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RetryBudget {
    balance_milli: u64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            balance_milli: CAPACITY_MILLI,
        }
    }
}

impl RetryBudget {
    /// Records the first attempt of a call, which deposits `share` of a retry.
    pub fn deposit(&mut self, share: Percent) {
        self.balance_milli = (self.balance_milli + share.of(RETRY_COST_MILLI)).min(CAPACITY_MILLI);
    }

    /// Withdraws one retry; returns false if the balance is too low.
    pub fn try_withdraw(&mut self) -> bool {
        let Some(remaining) = self.balance_milli.checked_sub(RETRY_COST_MILLI) else {
            return false;
        };
        self.balance_milli = remaining;
        true
    }

    /// Returns a retry that was withdrawn and not made.
    pub fn refund(&mut self) {
        self.balance_milli = (self.balance_milli + RETRY_COST_MILLI).min(CAPACITY_MILLI);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    // Every call fails and asks for two retries.
    #[test]
    fn retries_stay_within_their_share_in_an_outage() {
        let mut budget = RetryBudget::default();
        let share = Percent::new(10).expect("a share");
        let mut retries = 0;
        for _ in 0..1_000 {
            budget.deposit(share);
            retries += u32::from(budget.try_withdraw()) + u32::from(budget.try_withdraw());
        }
        assert!((100..=110).contains(&retries), "{retries}");
    }

    #[test]
    fn a_refunded_retry_can_be_withdrawn_again() {
        let mut budget = RetryBudget::default();
        while budget.try_withdraw() {}
        budget.refund();
        assert!(budget.try_withdraw());
        assert!(!budget.try_withdraw());
    }
}
