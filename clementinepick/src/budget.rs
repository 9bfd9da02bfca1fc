//! What a program may still spend: slices of its budget are set aside on record, and spending
//! happens only out of slices that are confirmed.
//!
//! The slices ([`Account`]) are replayed from the log; what the present owner has spent of them
//! ([`Spending`]) is in its memory only. Sub-agents spend from the account of their root.

use serde::{Deserialize, Serialize};

use crate::record::Budget;
use crate::units::{SpanUs, Tokens};

/// The least slice that is set aside, as a part of the whole budget.
const SLICE_DIVISOR: u64 = 16;
/// The part of a slice below which the next one is set aside ahead of need.
const AHEAD_DIVISOR: u64 = 2;

/// Tokens, calls and time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Amount {
    /// Tokens.
    pub tokens: Tokens,
    /// Calls.
    pub calls: u64,
    /// Time.
    pub time_us: SpanUs,
}

impl Amount {
    /// The sum of both.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            tokens: self.tokens + other.tokens,
            calls: self.calls + other.calls,
            time_us: self.time_us + other.time_us,
        }
    }

    /// What is left of this after `other`; each part stops at zero.
    #[must_use]
    pub fn minus(self, other: Self) -> Self {
        Self {
            tokens: self.tokens.saturating_sub(other.tokens),
            calls: self.calls.saturating_sub(other.calls),
            time_us: SpanUs(self.time_us.0.saturating_sub(other.time_us.0)),
        }
    }

    /// Whether no part is more than that of `other`.
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

    fn part(self, divisor: u64) -> Self {
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

/// A program's account as the log tells it.
///
/// What is reserved never exceeds the budget, and owners spend only what is reserved; so a new
/// owner that counts all that was reserved before as spent can't overspend.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    budget: Budget,
    reserved: Amount,
    /// What earlier owners may have spent.
    spent_before: Amount,
}

/// What the present owner has spent of an account, and what it holds for calls under way.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Spending {
    spent: Amount,
    held: Amount,
}

impl Spending {
    /// What the present owner has spent.
    #[must_use]
    pub const fn spent(&self) -> Amount {
        self.spent
    }

    /// Sets the time for which the present owner has kept the program.
    pub fn set_time(&mut self, time_us: SpanUs) {
        self.spent.time_us = time_us;
    }

    /// A call that held `held_tokens` has ended and used `used_tokens`; `calls` is zero for one
    /// that did not run. More than was held is never booked, since no more was ever set aside.
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
    /// An account with nothing reserved.
    #[must_use]
    pub fn new(budget: Budget) -> Self {
        Self {
            budget,
            ..Self::default()
        }
    }

    /// What the program may spend in all.
    #[must_use]
    pub const fn budget(&self) -> Budget {
        self.budget
    }

    /// What is set aside so far.
    #[must_use]
    pub const fn reserved(&self) -> Amount {
        self.reserved
    }

    /// What may have been spent so far, by this owner and earlier ones.
    #[must_use]
    pub fn spent(&self, spending: &Spending) -> Amount {
        self.spent_before.plus(spending.spent)
    }

    /// The first slice of a new account, which its opening record brings.
    #[must_use]
    pub fn first_slice(budget: Budget, tokens: Tokens) -> Amount {
        let wanted = Amount {
            tokens,
            calls: 1,
            time_us: SpanUs(0),
        };
        Self::new(budget).slice_for(wanted)
    }

    /// Tries to hold `tokens` for one more call.
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
        Grant::NeedsSlice(self.slice_for(wanted))
    }

    /// Whether the time is used up.
    #[must_use]
    pub fn is_time_exhausted(&self, spending: &Spending) -> bool {
        self.spent(spending).time_us >= self.budget.time_us
    }

    /// The slice to set aside ahead of need, where little is left of the last one.
    ///
    /// A program that always has a slice in hand goes on when the log is down.
    #[must_use]
    pub fn prefetch_slice(&self, spending: &Spending) -> Option<Amount> {
        let used = self.spent_before.plus(spending.total());
        let step = Amount::from(self.budget).part(SLICE_DIVISOR);
        let wanted = used.plus(step.part(AHEAD_DIVISOR));
        if wanted.min(self.budget.into()).fits_in(self.reserved) {
            return None;
        }
        let slice = self.slice_for(wanted);
        (slice != Amount::default()).then_some(slice)
    }

    fn slice_for(&self, wanted: Amount) -> Amount {
        let missing = wanted.minus(self.reserved);
        let least = Amount::from(self.budget).part(SLICE_DIVISOR);
        let free = Amount::from(self.budget).minus(self.reserved);
        // Only what runs short is topped up, so that a call-hungry program strands no tokens.
        let topped = Amount {
            tokens: if missing.tokens.0 > 0 {
                least.tokens
            } else {
                Tokens(0)
            },
            calls: if missing.calls > 0 { least.calls } else { 0 },
            time_us: if missing.time_us.0 > 0 || self.reserved.time_us.0 == 0 {
                least.time_us
            } else {
                SpanUs(0)
            },
        };
        missing.max(topped).min(free)
    }

    /// What a leaving owner gives back.
    #[must_use]
    pub fn unused(&self, spending: &Spending) -> Amount {
        self.reserved.minus(self.spent(spending))
    }

    /// A slice is on record; one that was made out for another sum changes nothing.
    pub fn reserve(&mut self, before: Amount, slice: Amount) {
        if self.reserved == before {
            self.reserved = self.reserved.plus(slice);
        }
    }

    /// An unspent rest was given back.
    pub fn return_unused(&mut self, before: Amount, unused: Amount) {
        if self.reserved == before {
            self.reserved = self.reserved.minus(unused);
        }
    }

    /// A new owner takes over: it can't know what of the slices was spent.
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
    fn spending_needs_a_slice_on_record() {
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
    fn nothing_goes_beyond_the_budget() {
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

    // The append of a slice was answered by nothing and sent again; the log has it twice.
    #[test]
    fn a_slice_that_is_twice_on_record_counts_once() {
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
    fn time_is_spent_out_of_slices_too() {
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
