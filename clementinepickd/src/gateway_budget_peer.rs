//! Handles peers' budget requests: as the home of a program's partition, or as the holder of a
//! slice.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use clementinepick::units::Tokens;

use crate::budget_messages::{
    LEND_PATH, LendRequest, LendResponse, Loan, RESERVE_PATH, RETURN_PATH, ReserveRequest,
    ReserveResponse, ReturnedTokens,
};
use crate::gateway_budget::{chain_server, log_grant, record_runner};
use crate::gateway_prefetch::request_prefetch;
use crate::gateway_shared::Shared;
use crate::ledger::{LedgerError, from_cbor, to_cbor};
use crate::ledger_budgets::BudgetRequest;
use crate::link::{duration, to_span};

/// How long a home tries at least to reserve a slice for a peer, which tries the store itself
/// afterwards.
pub(crate) const HOME_STORE_TIMEOUT: Duration = Duration::from_millis(200);

/// Reserves a turn's maximum for a peer, as the home of the program's partition.
async fn handle_reserve(shared: &Rc<Shared>, peer_request: &ReserveRequest) -> ReserveResponse {
    let request = BudgetRequest {
        program: &peer_request.program,
        budget: peer_request.budget,
        turn: peer_request.turn,
        retention: peer_request.retention,
        turn_id: &peer_request.turn_id,
        previous_id: peer_request.previous_id.as_deref(),
        keeps_context: peer_request.keeps_context,
        turn_chains: &[],
    };
    let lent = |tokens: Tokens| ReserveResponse::Lent {
        writer: shared.budgets.writer.clone(),
        tokens: Some(tokens),
        previous_at: record_runner(shared, &request, peer_request.runner),
        chain_server: chain_server(shared, peer_request.turn_chains.iter().map(String::as_str)),
    };
    if shared.budgets.held_home(&peer_request.program).is_none() {
        let home = shared.homes.known_home(&peer_request.program);
        return ReserveResponse::Elsewhere { home };
    }
    if let Some(hold) = shared.budgets.start_held(&request, Instant::now()) {
        hold.lend_out();
        request_prefetch(shared, &request);
        return lent(request.turn);
    }
    if shared.store.is_unavailable() {
        let start = |least| {
            let budgets = &shared.budgets;
            budgets.start_with_remaining(&request, least, Instant::now())
        };
        return peer_request
            .mean_turn
            .and_then(start)
            .map_or(ReserveResponse::Away, |hold| {
                let tokens = hold.reserved_tokens();
                hold.lend_out();
                lent(tokens)
            });
    }
    let patience = peer_request.patience.map_or(HOME_STORE_TIMEOUT, duration);
    let deadline = Instant::now() + patience;
    match shared.budgets.reserve(&request, deadline).await {
        Ok(hold) => {
            if let Some(grant) = hold.grant {
                log_grant(shared, &request, grant);
            }
            hold.lend_out();
            lent(request.turn)
        }
        Err(LedgerError::Exhausted { reserved, holders }) => {
            ReserveResponse::Spent { reserved, holders }
        }
        Err(_) => ReserveResponse::Away,
    }
}

/// Lends unused tokens to a peer: of slices held here, and of the standing slice of a program that
/// did not ask this home for it.
fn lend(shared: &Shared, lend_request: &LendRequest, now: Instant) -> LendResponse {
    if let (Some(budget), Some(retention)) = (lend_request.budget, lend_request.retention) {
        let request = BudgetRequest {
            program: &lend_request.program,
            budget,
            turn: lend_request.tokens,
            retention,
            turn_id: "-",
            previous_id: None,
            keeps_context: false,
            turn_chains: &[],
        };
        shared.budgets.grant_standing(&request, now);
    }
    let budgets = &shared.budgets;
    let kept_us = to_span(budgets.kept_for(&lend_request.program, now));
    // A program whose records may be deleted before its next turn would get its budget again.
    let is_kept = kept_us > lend_request.retention.unwrap_or_default();
    let tokens = if is_kept {
        budgets.lend(&lend_request.program, lend_request.tokens, now)
    } else {
        Tokens(0)
    };
    if lend_request.takes_loan {
        LendResponse::Loan(Loan { tokens, kept_us })
    } else {
        LendResponse::Tokens(tokens)
    }
}

/// Returns whether a call on this path asks for tokens.
pub(crate) fn lends_tokens(path: &str) -> bool {
    [RESERVE_PATH, LEND_PATH].contains(&path)
}

/// Handles a peer's call on one of the budget paths; `None` for other paths.
pub(crate) async fn handle_budget_call(
    shared: &Rc<Shared>,
    path: &str,
    body: &[u8],
) -> Option<(u16, Bytes)> {
    const BAD_REQUEST: (u16, Bytes) = (400, Bytes::new());
    let response = match path {
        RESERVE_PATH => match from_cbor::<ReserveRequest>(body) {
            Some(peer_request) => (200, to_cbor(&handle_reserve(shared, &peer_request).await)),
            None => BAD_REQUEST,
        },
        RETURN_PATH => match from_cbor::<Vec<ReturnedTokens>>(body) {
            Some(returned) => {
                for unused in returned {
                    let tokens = unused.tokens;
                    shared
                        .budgets
                        .take_back(&unused.writer, &unused.program, tokens);
                    if let Some((turn_chain, server)) = unused.placed {
                        let mut chain_servers = shared.homes.chain_servers.borrow_mut();
                        chain_servers.insert(&turn_chain, server);
                    }
                }
                (200, to_cbor(&()))
            }
            None => BAD_REQUEST,
        },
        LEND_PATH => match from_cbor::<LendRequest>(body) {
            Some(peer_request) => {
                let lent = lend(shared, &peer_request, Instant::now());
                (200, to_cbor(&lent))
            }
            None => BAD_REQUEST,
        },
        _ => return None,
    };
    Some(response)
}
