//! What a program may still spend: slices of its budget are set aside on record, and spending
//! happens only out of slices that are confirmed.

use serde::{Deserialize, Serialize};

use crate::record::Budget;
use crate::units::Tokens;

/// The least slice that is set aside, as a part of the whole budget.
const SLICE_DIVISOR: u64 = 16;

/// Tokens and calls.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Amount {
    /// Tokens.
    pub tokens: Tokens,
    /// Calls.
    pub calls: u64,
}

/// Whether a call may spend.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Grant {
    /// It may: the amount is held for it.
    Held,
    /// First this slice must be on record.
    NeedsSlice(Amount),
    /// The budget does not cover it.
    Exhausted,
}

/// A program's account.
///
/// Spent and held together never exceed what is reserved, and what is reserved never exceeds the
/// budget; so a new owner that counts all that was reserved as spent can't overspend.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    budget: Budget,
    reserved: Amount,
    spent: Amount,
    held: Amount,
}

impl Account {
    /// An account with nothing reserved.
    #[must_use]
    pub fn new(budget: Budget) -> Self {
        Self {
            budget,
            ..Self::default()
        }
    }

    /// What was spent so far.
    #[must_use]
    pub const fn spent(&self) -> Amount {
        self.spent
    }

    /// Tries to hold `tokens` for one more call.
    pub fn hold(&mut self, tokens: Tokens) -> Grant {
        let wanted_tokens = self.spent.tokens + self.held.tokens + tokens;
        let wanted_calls = self.spent.calls + self.held.calls + 1;
        if wanted_tokens > self.budget.tokens || wanted_calls > self.budget.calls {
            return Grant::Exhausted;
        }
        if wanted_tokens <= self.reserved.tokens && wanted_calls <= self.reserved.calls {
            self.held.tokens += tokens;
            self.held.calls += 1;
            return Grant::Held;
        }
        Grant::NeedsSlice(self.slice_for(wanted_tokens, wanted_calls))
    }

    fn slice_for(&self, wanted_tokens: Tokens, wanted_calls: u64) -> Amount {
        let least_tokens = self.budget.tokens.0 / SLICE_DIVISOR;
        let tokens = wanted_tokens
            .saturating_sub(self.reserved.tokens)
            .0
            .max(least_tokens);
        let free_tokens = self.budget.tokens.saturating_sub(self.reserved.tokens).0;
        let least_calls = self.budget.calls / SLICE_DIVISOR;
        let calls = wanted_calls
            .saturating_sub(self.reserved.calls)
            .max(least_calls);
        let free_calls = self.budget.calls - self.reserved.calls;
        Amount {
            tokens: Tokens(tokens.min(free_tokens)),
            calls: calls.min(free_calls),
        }
    }

    /// A slice is on record.
    pub fn reserve(&mut self, slice: Amount) {
        self.reserved.tokens += slice.tokens;
        self.reserved.calls += slice.calls;
    }

    /// A call that held `held_tokens` has ended and used `used_tokens`; zero for one that did not
    /// run.
    pub fn settle(&mut self, held_tokens: Tokens, used: Amount) {
        self.held.tokens = self.held.tokens.saturating_sub(held_tokens);
        self.held.calls = self.held.calls.saturating_sub(1);
        self.spent.tokens += used.tokens;
        self.spent.calls += used.calls;
    }

    /// A new owner takes over: it can't know what of the slices was spent.
    pub fn take_over(&mut self) {
        self.spent = self.reserved;
        self.held = Amount::default();
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::units::SpanUs;

    fn account() -> Account {
        let budget = Budget {
            tokens: Tokens(1_600),
            calls: 32,
            time_us: SpanUs::from_s(1),
        };
        Account::new(budget)
    }

    #[test]
    fn spending_needs_a_slice_on_record() {
        let mut account = account();
        let slice = Amount {
            tokens: Tokens(100),
            calls: 2,
        };
        assert_eq!(account.hold(Tokens(50)), Grant::NeedsSlice(slice));
        account.reserve(slice);
        assert_eq!(account.hold(Tokens(50)), Grant::Held);
    }

    #[test]
    fn nothing_goes_beyond_the_budget() {
        let mut account = account();
        assert_eq!(account.hold(Tokens(1_601)), Grant::Exhausted);
        account.reserve(Amount {
            tokens: Tokens(1_600),
            calls: 32,
        });
        assert_eq!(account.hold(Tokens(1_600)), Grant::Held);
        assert_eq!(account.hold(Tokens(1)), Grant::Exhausted);
        account.settle(
            Tokens(1_600),
            Amount {
                tokens: Tokens(10),
                calls: 1,
            },
        );
        assert_eq!(account.hold(Tokens(1_590)), Grant::Held);
    }

    #[test]
    fn a_new_owner_counts_every_slice_as_spent() {
        let mut account = account();
        account.reserve(Amount {
            tokens: Tokens(1_600),
            calls: 32,
        });
        account.take_over();
        assert_eq!(account.hold(Tokens(1)), Grant::Exhausted);
    }
}
