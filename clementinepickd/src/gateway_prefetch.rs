//! Reserves budget slices and reads chains of turns before requests need them.

use std::rc::Rc;
use std::time::{Duration, Instant};

use clementinepick::units::{SpanUs, Tokens};
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use crate::gateway_budget::log_grant;
use crate::gateway_shared::Shared;
use crate::ledger_budgets::BudgetRequest;
use crate::ledger_turns::TurnWait;

/// The capacity of the queue of programs that wait for a slice.
pub(crate) const PREFETCH_QUEUE_CAPACITY: usize = 256;
/// How long the store may take to reserve a slice that no turn waits for yet.
const PREFETCH_TIMEOUT: Duration = Duration::from_secs(1);

/// How long a chain is read that no request waits for, in all and without a response of the store.
const CHAIN_TIMEOUT: Duration = Duration::from_secs(10);
const CHAIN_IDLE_TIMEOUT: Duration = Duration::from_secs(1);
/// The name in logs and metrics of the read of a chain.
const READ_PART: &str = "turn_read";
/// The maximum number of chains that are read at the same time while no request waits for them.
const MAX_BACKGROUND_CHAINS: usize = 8;

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
pub(crate) async fn run_prefetch(shared: Rc<Shared>, queue: &mut mpsc::Receiver<PrefetchRequest>) {
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

/// Reads the rest of chains that requests have given up reading, until the sender is dropped.
///
/// A caller that has given up comes back soon. Without this, a chain that takes longer than any of
/// its tries would be read only during them.
pub(crate) async fn finish_turn_reads(shared: Rc<Shared>, queue: &mut mpsc::Receiver<String>) {
    let mut reads = JoinSet::new();
    loop {
        tokio::select! {
            queued = queue.recv(), if reads.len() < MAX_BACKGROUND_CHAINS => {
                let Some(id) = queued else { break };
                let shared = Rc::clone(&shared);
                reads.spawn_local(async move {
                    let reading = Box::pin(finish_turn_read(&shared, &id));
                    shared.tasks.contain(READ_PART, reading).await;
                });
            }
            Some(ended) = reads.join_next() => {
                shared.tasks.joined(READ_PART, ended);
            }
        }
    }
    reads.shutdown().await;
}

async fn finish_turn_read(shared: &Shared, id: &str) {
    let wait = TurnWait {
        idle_limit: CHAIN_IDLE_TIMEOUT,
        deadline: Instant::now() + CHAIN_TIMEOUT,
    };
    shared.turns.continue_read(id, wait).await;
}
