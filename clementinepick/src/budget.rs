//! Accounts for a program's budget: slices of it are reserved in the log, and calls spend only from
//! confirmed slices.
//!
//! The slices ([`Account`]) are replayed from the log. What the current owner has spent of them
//! ([`Spending`]) is only in its memory. Sub-agents spend from the account of their root program.

use serde::{Deserialize, Serialize};

use crate::record::Budget;
use crate::units::{SpanUs, Tokens};

/// The minimum slice is the whole budget divided by this.
const SLICE_DIVISOR: u64 = 16;
/// The next slice is reserved in advance when less than a minimum slice divided by this is left.
const PREFETCH_DIVISOR: u64 = 2;

/// An amount of a budget: tokens, calls and time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Amount {
    /// The number of tokens.
    pub tokens: Tokens,
    /// The number of calls.
    pub calls: u64,
    /// The time.
    pub time_us: SpanUs,
}

impl Amount {
    /// Returns the sum of both amounts.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            tokens: self.tokens + other.tokens,
            calls: self.calls + other.calls,
            time_us: self.time_us + other.time_us,
        }
    }

    /// Subtracts `other`, saturating at zero in each component.
    #[must_use]
    pub fn minus(self, other: Self) -> Self {
        Self {
            tokens: self.tokens.saturating_sub(other.tokens),
            calls: self.calls.saturating_sub(other.calls),
            time_us: SpanUs(self.time_us.0.saturating_sub(other.time_us.0)),
        }
    }

    /// Whether no component exceeds that of `other`.
    #[must_use]
    pub fn fits_in(self, other: Self) -> bool {
        self.tokens <= other.tokens && self.calls <= other.calls && self.time_us <= other.time_us
    }

    fn min(self, other: Self) -> Self {
        Self {
            tokens: self.tokens.min(other.tokens),
            calls: self.calls.min(other.calls),
            time_us: self.time_us.min(other.time_us),
        }
    }

    fn max(self, other: Self) -> Self {
        Self {
            tokens: self.tokens.max(other.tokens),
            calls: self.calls.max(other.calls),
            time_us: self.time_us.max(other.time_us),
        }
    }

    fn divided_by(self, divisor: u64) -> Self {
        Self {
            tokens: Tokens(self.tokens.0 / divisor),
            calls: self.calls / divisor,
            time_us: SpanUs(self.time_us.0 / divisor),
        }
    }
}

impl From<Budget> for Amount {
    fn from(budget: Budget) -> Self {
        Self {
            tokens: budget.tokens,
            calls: budget.calls,
            time_us: budget.time_us,
        }
    }
}

/// The result of [`Account::hold`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Grant {
    /// The amount is held for the call.
    Held,
    /// This slice must be reserved in the log first.
    NeedsSlice(Amount),
    /// The budget doesn't cover the call.
    Exhausted,
}

/// A program's account, as replayed from the log.
///
/// The reserved amount never exceeds the budget, and owners spend only what is reserved. So a new
/// owner, which counts everything reserved before as spent, can't overspend.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    budget: Budget,
    reserved: Amount,
    /// The upper bound of what earlier owners spent.
    spent_before: Amount,
}

/// What the current owner has spent of an account, and what it holds for running calls.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Spending {
    spent: Amount,
    held: Amount,
}

impl Spending {
    /// Returns what the current owner has spent.
    #[must_use]
    pub const fn spent(&self) -> Amount {
        self.spent
    }

    /// Sets how long the current owner has had the program.
    pub fn set_time(&mut self, time_us: SpanUs) {
        self.spent.time_us = time_us;
    }

    /// Releases the tokens held for an ended call, and counts `used_tokens` of them and `calls`,
    /// which is zero for a call that did not run. Never counts more than was held, since no more is
    /// reserved.
    pub fn settle(&mut self, held_tokens: Tokens, used_tokens: Tokens, calls: u64) {
        self.held.tokens = self.held.tokens.saturating_sub(held_tokens);
        self.held.calls = self.held.calls.saturating_sub(1);
        self.spent.tokens += used_tokens.min(held_tokens);
        self.spent.calls += calls;
    }

    fn total(&self) -> Amount {
        self.spent.plus(self.held)
    }
}

impl Account {
    /// Creates an account with nothing reserved.
    #[must_use]
    pub fn new(budget: Budget) -> Self {
        Self {
            budget,
            ..Self::default()
        }
    }

    /// Returns the whole budget.
    #[must_use]
    pub const fn budget(&self) -> Budget {
        self.budget
    }

    /// Returns the amount reserved so far.
    #[must_use]
    pub const fn reserved(&self) -> Amount {
        self.reserved
    }

    /// Returns the upper bound of what this owner and earlier ones have spent.
    #[must_use]
    pub fn spent(&self, spending: &Spending) -> Amount {
        self.spent_before.plus(spending.spent)
    }

    /// Returns the first slice of a new account, which is part of its opening record.
    #[must_use]
    pub fn first_slice(budget: Budget, tokens: Tokens) -> Amount {
        let wanted = Amount {
            tokens,
            calls: 1,
            time_us: SpanUs(0),
        };
        Self::new(budget).slice_covering(wanted)
    }

    /// Tries to hold one call and `tokens`.
    pub fn hold(&self, spending: &mut Spending, tokens: Tokens) -> Grant {
        let call = Amount {
            tokens,
            calls: 1,
            time_us: SpanUs(0),
        };
        let wanted = self.spent_before.plus(spending.total()).plus(call);
        if !wanted.fits_in(self.budget.into()) {
            return Grant::Exhausted;
        }
        if wanted.fits_in(self.reserved) {
            spending.held = spending.held.plus(call);
            return Grant::Held;
        }
        Grant::NeedsSlice(self.slice_covering(wanted))
    }

    /// Whether the time budget is used up.
    #[must_use]
    pub fn is_time_exhausted(&self, spending: &Spending) -> bool {
        self.spent(spending).time_us >= self.budget.time_us
    }

    /// Returns the slice to reserve in advance when little is left of the last one, so that the
    /// program can continue while the log is down.
    #[must_use]
    pub fn prefetch_slice(&self, spending: &Spending) -> Option<Amount> {
        let used = self.spent_before.plus(spending.total());
        let min_size = Amount::from(self.budget).divided_by(SLICE_DIVISOR);
        let wanted = used.plus(min_size.divided_by(PREFETCH_DIVISOR));
        if wanted.min(self.budget.into()).fits_in(self.reserved) {
            return None;
        }
        let slice = self.slice_covering(wanted);
        (slice != Amount::default()).then_some(slice)
    }

    fn slice_covering(&self, wanted: Amount) -> Amount {
        let shortfall = wanted.minus(self.reserved);
        let min_slice = Amount::from(self.budget).divided_by(SLICE_DIVISOR);
        let free = Amount::from(self.budget).minus(self.reserved);
        // Only components that run short are topped up, so that a program with many calls does not
        // reserve tokens that it won't use.
        let top_up = Amount {
            tokens: if shortfall.tokens.0 > 0 {
                min_slice.tokens
            } else {
                Tokens(0)
            },
            calls: if shortfall.calls > 0 {
                min_slice.calls
            } else {
                0
            },
            time_us: if shortfall.time_us.0 > 0 || self.reserved.time_us.0 == 0 {
                min_slice.time_us
            } else {
                SpanUs(0)
            },
        };
        shortfall.max(top_up).min(free)
    }

    /// Returns the reserved amount that an owner returns when it gives up the program.
    #[must_use]
    pub fn unused(&self, spending: &Spending) -> Amount {
        self.reserved.minus(self.spent(spending))
    }

    /// Applies a recorded slice. It has no effect if the reserved amount is not `before`, so that a
    /// slice recorded twice counts once.
    pub fn reserve(&mut self, before: Amount, slice: Amount) {
        if self.reserved == before {
            self.reserved = self.reserved.plus(slice);
        }
    }

    /// Applies a recorded return of unspent slices, if the reserved amount is `before`.
    pub fn return_unused(&mut self, before: Amount, unused: Amount) {
        if self.reserved == before {
            self.reserved = self.reserved.minus(unused);
        }
    }

    /// Counts all reserved slices as spent: a new owner can't know how much of them was.
    pub fn take_over(&mut self) {
        self.spent_before = self.reserved;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn account() -> Account {
        let budget = Budget {
            tokens: Tokens(1_600),
            calls: 32,
            time_us: SpanUs::from_s(16),
        };
        Account::new(budget)
    }

    fn whole() -> Amount {
        Amount::from(account().budget)
    }

    #[test]
    fn spending_needs_a_recorded_slice() {
        let (mut account, mut spending) = (account(), Spending::default());
        let slice = Amount {
            tokens: Tokens(100),
            calls: 2,
            time_us: SpanUs::from_s(1),
        };
        let grant = account.hold(&mut spending, Tokens(50));
        assert_eq!(grant, Grant::NeedsSlice(slice));
        account.reserve(Amount::default(), slice);
        assert_eq!(account.hold(&mut spending, Tokens(50)), Grant::Held);
    }

    #[test]
    fn spending_never_exceeds_the_budget() {
        let (mut account, mut spending) = (account(), Spending::default());
        assert_eq!(account.hold(&mut spending, Tokens(1_601)), Grant::Exhausted);
        account.reserve(Amount::default(), whole());
        assert_eq!(account.hold(&mut spending, Tokens(1_600)), Grant::Held);
        assert_eq!(account.hold(&mut spending, Tokens(1)), Grant::Exhausted);
        spending.settle(Tokens(1_600), Tokens(10), 1);
        assert_eq!(account.hold(&mut spending, Tokens(1_590)), Grant::Held);
    }

    #[test]
    fn a_new_owner_counts_every_slice_as_spent() {
        let mut account = account();
        account.reserve(Amount::default(), whole());
        account.take_over();
        let grant = account.hold(&mut Spending::default(), Tokens(1));
        assert_eq!(grant, Grant::Exhausted);
    }

    // The append of a slice got no response and was repeated, so that the log has it twice.
    #[test]
    fn a_slice_recorded_twice_counts_once() {
        let mut account = account();
        let slice = Amount {
            tokens: Tokens(100),
            ..Amount::default()
        };
        account.reserve(Amount::default(), slice);
        account.reserve(Amount::default(), slice);
        assert_eq!(account.reserved(), slice);
    }

    #[test]
    fn time_is_spent_from_slices() {
        let (mut account, mut spending) = (account(), Spending::default());
        account.reserve(
            Amount::default(),
            Account::first_slice(account.budget, Tokens(10)),
        );
        spending.set_time(SpanUs::from_s(2));
        let grant = account.hold(&mut spending, Tokens(10));
        assert!(matches!(grant, Grant::NeedsSlice(slice) if slice.time_us == SpanUs::from_s(1)));
        spending.set_time(SpanUs::from_s(16));
        assert!(account.is_time_exhausted(&spending));
    }
}
