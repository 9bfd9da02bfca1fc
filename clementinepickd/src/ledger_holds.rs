//! Defines a running turn's hold on its program's budget.

use std::net::SocketAddr;
use std::rc::Rc;

use clementinepick::units::Tokens;

use crate::ledger_budgets::{BudgetRequest, Budgets};

/// Tokens to return to the process that lent them.
#[derive(Debug)]
pub(crate) struct TokenReturn {
    pub(crate) lender: Lender,
    pub(crate) program: String,
    pub(crate) tokens: Tokens,
    /// The turn's chain and the server that it was sent to.
    pub(crate) placed: Option<(String, String)>,
}

/// A process that lent a turn's maximum.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Lender {
    pub(crate) address: SocketAddr,
    /// The id of its instance; after a restart, it does not know of the loan.
    pub(crate) writer: String,
}

/// A turn's reserved maximum; when dropped, the unused part is returned.
pub(crate) struct BudgetHold {
    budgets: Rc<Budgets>,
    program: String,
    turn: Tokens,
    consumed: Tokens,
    /// The process that lent the maximum; `None` if it comes from slices held here.
    lender: Option<Lender>,
    placed: Option<(String, String)>,
    /// The slice that was reserved for this turn, if any.
    pub(crate) grant: Option<SliceGrant>,
}

/// A slice that was reserved in the store.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SliceGrant {
    pub(crate) tokens: Tokens,
    /// The reserved part of the program's budget, including this slice.
    pub(crate) reserved: Tokens,
    /// The end offset of the partition after the reservation.
    pub(crate) end: u64,
}

impl BudgetHold {
    /// Creates a hold on a turn's maximum that was reserved here, or lent for this turn.
    pub(crate) fn new(
        budgets: &Rc<Budgets>,
        request: &BudgetRequest<'_>,
        lender: Option<Lender>,
    ) -> Self {
        Self {
            budgets: Rc::clone(budgets),
            program: request.program.to_owned(),
            turn: request.turn,
            consumed: Tokens(0),
            lender,
            placed: None,
            grant: None,
        }
    }

    /// Returns the number of reserved tokens.
    pub(crate) fn reserved_tokens(&self) -> Tokens {
        self.turn
    }

    /// Returns whether `tokens` more are within the reservation.
    pub(crate) fn covers(&self, tokens: Tokens) -> bool {
        self.consumed.0 + tokens.0 <= self.turn.0
    }

    /// Counts tokens that are about to be sent to the caller.
    pub(crate) fn consume(&mut self, tokens: Tokens) {
        self.consumed.0 += tokens.0;
    }

    /// Records the server of the turn's chain, to be sent to the lending home with the token
    /// return.
    pub(crate) fn record_placement(&mut self, turn_chain: &str, server: &str) {
        self.placed = Some((turn_chain.to_owned(), server.to_owned()));
    }

    /// Returns whether another process lent the maximum.
    pub(crate) fn is_borrowed(&self) -> bool {
        self.lender.is_some()
    }

    /// Lends the whole maximum to another process, which runs the turn.
    pub(crate) fn lend_out(mut self) {
        self.budgets.hand_over(&self.program, self.turn);
        self.turn = Tokens(0);
    }
}

impl Drop for BudgetHold {
    fn drop(&mut self) {
        if self.consumed > Tokens(0) {
            self.budgets.update_mean_turn(self.consumed);
        }
        if let Some(lender) = self.lender.take() {
            let tokens = self.turn.saturating_sub(self.consumed);
            if tokens > Tokens(0) || self.placed.is_some() {
                let program = std::mem::take(&mut self.program);
                self.budgets.queue_return(TokenReturn {
                    lender,
                    program,
                    tokens,
                    placed: self.placed.take(),
                });
            }
            return;
        }
        let Self { turn, consumed, .. } = *self;
        self.budgets.finish(&self.program, turn, consumed);
    }
}
