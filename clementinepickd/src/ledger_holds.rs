//! What a turn holds of its program's budget while it runs.

use std::net::SocketAddr;
use std::rc::Rc;

use clementinepick::units::Tokens;

use crate::ledger_budgets::{BudgetRequest, Budgets};

/// Tokens that go back to the process that lent them.
#[derive(Debug)]
pub(crate) struct TokenReturn {
    pub(crate) lender: Lender,
    pub(crate) program: String,
    pub(crate) tokens: Tokens,
    /// The line of the turn, and the server that it was sent to.
    pub(crate) placed: Option<(String, String)>,
}

/// A process that lent the maximum of one turn.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Lender {
    pub(crate) address: SocketAddr,
    /// Its start: another start of it knows nothing of the loan.
    pub(crate) writer: String,
}

/// A turn's maximum, set aside until the turn ends; dropped, it returns what was not handed out.
pub(crate) struct BudgetHold {
    budgets: Rc<Budgets>,
    program: String,
    turn: Tokens,
    consumed: Tokens,
    /// Who lent the maximum; none if it is from this process's slices.
    lender: Option<Lender>,
    placed: Option<(String, String)>,
    /// The slice that was reserved for this turn, if one was.
    pub(crate) grant: Option<SliceGrant>,
}

/// A slice that was just reserved.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SliceGrant {
    pub(crate) tokens: Tokens,
    /// What of the program's budget is given out after it.
    pub(crate) reserved: Tokens,
    /// Where the partition ended then.
    pub(crate) end: u64,
}

impl BudgetHold {
    /// A turn's maximum that was set aside here, or lent for just this turn.
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

    /// How much is set aside.
    pub(crate) fn reserved_tokens(&self) -> Tokens {
        self.turn
    }

    /// Whether so many more tokens are set aside.
    pub(crate) fn covers(&self, tokens: Tokens) -> bool {
        self.consumed.0 + tokens.0 <= self.turn.0
    }

    /// Counts tokens that are about to be handed to the caller.
    pub(crate) fn consume(&mut self, tokens: Tokens) {
        self.consumed.0 += tokens.0;
    }

    /// Notes where the turn's line is now; the home that lent learns it with what comes back.
    pub(crate) fn record_placement(&mut self, line: &str, server: &str) {
        self.placed = Some((line.to_owned(), server.to_owned()));
    }

    /// Whether the maximum is lent by another process.
    pub(crate) fn is_borrowed(&self) -> bool {
        self.lender.is_some()
    }

    /// Gives the whole maximum to another process, which runs the turn.
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
