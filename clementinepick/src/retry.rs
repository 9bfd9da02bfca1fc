//! The budget of retries: a share of the calls, so that an outage is not answered with a storm.
//!
//! When a service fails as a whole, each of its calls fails and would be sent again up to its limit
//! of attempts, which multiplies the load just when there is least to serve it with. The budget is
//! filled by calls and emptied by retries, so over time at most its share of them is sent again.

use crate::units::Percent;

/// Thousandths of a retry that the budget holds at most, and at first: a few calls that fail by
/// themselves are tried again also where there is little traffic.
const MOST: u64 = 10_000;
/// Thousandths that one retry takes.
const RETRY: u64 = 1_000;

/// The retries that a service may still make.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RetryBudget {
    left_milli: u64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { left_milli: MOST }
    }
}

impl RetryBudget {
    /// A call was sent for the first time; `share` of a retry is earned.
    pub fn deposit(&mut self, share: Percent) {
        self.left_milli = (self.left_milli + share.of(RETRY)).min(MOST);
    }

    /// Takes one retry out; false when none is left.
    pub fn try_withdraw(&mut self) -> bool {
        let Some(left) = self.left_milli.checked_sub(RETRY) else {
            return false;
        };
        self.left_milli = left;
        true
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    // Every call fails and would be sent again twice. After the few that the budget holds at first,
    // only its share of them is.
    #[test]
    fn an_outage_is_answered_with_the_share_of_retries_only() {
        let mut budget = RetryBudget::default();
        let share = Percent::new(10).expect("a share");
        let mut retries = 0;
        for _ in 0..1_000 {
            budget.deposit(share);
            retries += u32::from(budget.try_withdraw()) + u32::from(budget.try_withdraw());
        }
        assert!((100..=110).contains(&retries), "{retries}");
    }
}
