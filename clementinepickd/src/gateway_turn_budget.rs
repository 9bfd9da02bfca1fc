//! Reserves the tokens of a turn, and says why they can't be had.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use clementinepick::refusal::Refusal;
use clementinepick::units::Tokens;

use crate::gateway_budget::{self, Reserved};
use crate::gateway_exchange::RoutedRequest;
use crate::gateway_shared::Shared;
use crate::gateway_trace::Trace;
use crate::ledger::LedgerError;
use crate::ledger_budgets::BudgetRequest;

/// The maximum of a turn that names none; it counts as a large turn.
const DEFAULT_TURN_TOKENS: Tokens = Tokens(1_024);
/// How long the store may take to respond.
pub(crate) const STORE_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Reserves `tokens` for a turn; `None` if its program has no budget.
///
/// `runner_found` is told which peer may have run the previous turn, if any is known, before the store
/// is asked.
pub(crate) async fn reserve(
    shared: &Rc<Shared>,
    routed: &RoutedRequest<'_>,
    trace: &Trace,
    tokens: Tokens,
    runner_found: impl FnOnce(Option<SocketAddr>),
) -> Result<Option<Reserved>, Refusal> {
    let (Some(program), Some(budget)) = (&routed.info.program, routed.info.budget_tokens) else {
        return Ok(None);
    };
    let keeps_context = routed.route.keeps_context;
    let request = BudgetRequest {
        program,
        budget: Tokens(budget),
        turn: tokens,
        retention: routed.route.retention_us,
        turn_id: &routed.info.id,
        previous_id: routed
            .info
            .previous_turn
            .as_deref()
            .filter(|_| keeps_context),
        keeps_context,
        turn_chains: routed.info.prompt_parts.get(1..).unwrap_or_default(),
    };
    let deadline = store_deadline(routed);
    let reserved = gateway_budget::reserve(shared, trace, &request, runner_found, deadline);
    match reserved.await {
        Ok(reserved) => Ok(Some(reserved)),
        Err(err) => {
            if let LedgerError::Exhausted { reserved, .. } = &err {
                trace.add_field("budget", &request.budget);
                trace.add_field("reserved", reserved);
            }
            Err(to_refusal(&err))
        }
    }
}

/// Returns the maximum number of tokens that the turn generates.
pub(crate) fn max_turn_tokens(routed: &RoutedRequest<'_>) -> Tokens {
    routed
        .info
        .max_output_tokens
        .map_or(DEFAULT_TURN_TOKENS, Tokens)
}

/// Returns the deadline of store calls, after which the request is refused. Waiting for longer than
/// an attempt and a repeat take gains nothing, because a caller that repeats its request is served
/// by any process that reaches the store.
fn store_deadline(routed: &RoutedRequest<'_>) -> Instant {
    routed.deadline.min(Instant::now() + STORE_TIMEOUT)
}

/// Returns the refusal of a request whose tokens or earlier turns can't be had.
pub(crate) fn to_refusal(err: &LedgerError) -> Refusal {
    match err {
        LedgerError::Unavailable => Refusal::LedgerUnavailable,
        LedgerError::Exhausted { .. } => Refusal::BudgetSpent,
        LedgerError::HolderSilent => Refusal::BudgetUnknown,
        LedgerError::UnknownTurn => Refusal::UnknownTurn,
        LedgerError::OutOfMemory => Refusal::Overloaded,
    }
}
