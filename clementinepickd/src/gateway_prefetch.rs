//! Reserves slices of budgets before turns ask for them, so that programs go on while the store is away.

use std::rc::Rc;
use std::time::{Duration, Instant};

use clementinepick::units::{SpanUs, Tokens};
use tokio::sync::mpsc;

use crate::gateway_budget::log_grant;
use crate::gateway_shared::Shared;
use crate::ledger_budgets::BudgetRequest;

/// How many programs may wait for a slice; more than wait while the store answers slowly.
pub(crate) const PREFETCH_QUEUE_CAPACITY: usize = 256;
/// How long the store may take for a slice that nobody waits for yet.
const AHEAD_LIMIT: Duration = Duration::from_secs(1);

/// A program that may need its next slice soon.
#[derive(Debug)]
pub(crate) struct PrefetchRequest {
    program: String,
    budget: Tokens,
    turn: Tokens,
    retention: SpanUs,
}

/// Asks for the program's next slice, if what is held of it is low and the store is there.
pub(crate) fn request_prefetch(shared: &Shared, request: &BudgetRequest<'_>) {
    if shared.store.is_unavailable() || !shared.budgets.is_low(request) {
        return;
    }
    // Where too many wait, the turn that needs the slice reserves it.
    let _ = shared.prefetch.try_send(PrefetchRequest {
        program: request.program.to_owned(),
        budget: request.budget,
        turn: request.turn,
        retention: request.retention,
    });
}

/// Reserves what was asked for, one slice at a time, until the sender is gone.
pub(crate) async fn run_prefetch(shared: Rc<Shared>, mut asked: mpsc::Receiver<PrefetchRequest>) {
    while let Some(ask) = asked.recv().await {
        let request = BudgetRequest {
            program: &ask.program,
            budget: ask.budget,
            turn: ask.turn,
            retention: ask.retention,
            turn_id: "-",
            previous_id: None,
            keeps_context: false,
            lines: &[],
        };
        let deadline = Instant::now() + AHEAD_LIMIT;
        // A budget that is given out and a store that is away are met again, and logged, by the turn
        // that needs the slice.
        if let Ok(Some(grant)) = shared.budgets.prefetch_slice(&request, deadline).await {
            log_grant(&shared, &request, grant);
        }
    }
}
