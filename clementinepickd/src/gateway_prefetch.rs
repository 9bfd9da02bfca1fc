//! Reserves budget slices before turns need them, so that programs continue during a store outage.

use std::rc::Rc;
use std::time::{Duration, Instant};

use clementinepick::units::{SpanUs, Tokens};
use tokio::sync::mpsc;

use crate::gateway_budget::log_grant;
use crate::gateway_shared::Shared;
use crate::ledger_budgets::BudgetRequest;

/// The capacity of the queue of programs that wait for a slice.
pub(crate) const PREFETCH_QUEUE_CAPACITY: usize = 256;
/// How long the store may take to reserve a slice that no turn waits for yet.
const PREFETCH_TIMEOUT: Duration = Duration::from_secs(1);

/// A request for the next slice of a program.
#[derive(Debug)]
pub(crate) struct PrefetchRequest {
    program: String,
    budget: Tokens,
    turn: Tokens,
    retention: SpanUs,
}

/// Queues a request for the program's next slice if its remaining tokens are low and the store is
/// available.
pub(crate) fn request_prefetch(shared: &Shared, request: &BudgetRequest<'_>) {
    if shared.store.is_unavailable() || !shared.budgets.is_low(request) {
        return;
    }
    // If the queue is full, the turn that needs the slice reserves it itself.
    let _ = shared.prefetch.try_send(PrefetchRequest {
        program: request.program.to_owned(),
        budget: request.budget,
        turn: request.turn,
        retention: request.retention,
    });
}

/// Reserves queued slices one at a time until the sender is dropped.
pub(crate) async fn run_prefetch(shared: Rc<Shared>, mut queue: mpsc::Receiver<PrefetchRequest>) {
    while let Some(queued) = queue.recv().await {
        let request = BudgetRequest {
            program: &queued.program,
            budget: queued.budget,
            turn: queued.turn,
            retention: queued.retention,
            turn_id: "-",
            previous_id: None,
            keeps_context: false,
            turn_chains: &[],
        };
        let deadline = Instant::now() + PREFETCH_TIMEOUT;
        // Errors are ignored: the turn that needs the slice meets the same error and logs it.
        if let Ok(Some(grant)) = shared.budgets.prefetch_slice(&request, deadline).await {
            log_grant(&shared, &request, grant);
        }
    }
}
