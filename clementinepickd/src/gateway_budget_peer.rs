//! What a gateway answers as the home of a program's budget, or as one that holds a part of it.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use clementinepick::units::Tokens;

use crate::budget_messages::{
    LEND_PATH, LendRequest, RESERVE_PATH, RETURN_PATH, ReserveRequest, ReserveResponse,
    ReturnedTokens,
};
use crate::gateway_budget::{line_server, log_grant, record_runner};
use crate::gateway_prefetch::request_prefetch;
use crate::gateway_shared::Shared;
use crate::ledger::{LedgerError, from_cbor, to_cbor};
use crate::ledger_budgets::BudgetRequest;

/// How long a home tries the store for another process, which tries it itself after that.
const HOME_STORE_LIMIT: Duration = Duration::from_millis(200);

/// Answers what a peer asks of this process as a home.
async fn answer_reserve(shared: &Rc<Shared>, ask: &ReserveRequest) -> ReserveResponse {
    let request = BudgetRequest {
        program: &ask.program,
        budget: ask.budget,
        turn: ask.turn,
        retention: ask.retention,
        turn_id: &ask.turn_id,
        previous_id: ask.previous_id.as_deref(),
        keeps_context: ask.keeps_context,
        lines: &[],
    };
    let lent = |tokens: Tokens| ReserveResponse::Lent {
        writer: shared.budgets.writer.clone(),
        tokens: Some(tokens),
        previous_at: record_runner(shared, &request, ask.runner),
        line_server: line_server(shared, ask.lines.iter().map(String::as_str)),
    };
    if shared.budgets.held_home(&ask.program).is_none() {
        let home = shared.homes.known_home(&ask.program);
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
            budgets.start_rest(&request, least, Instant::now())
        };
        return ask
            .mean_turn
            .and_then(start)
            .map_or(ReserveResponse::Away, |hold| {
                let tokens = hold.reserved_tokens();
                hold.lend_out();
                lent(tokens)
            });
    }
    let deadline = Instant::now() + HOME_STORE_LIMIT;
    match shared.budgets.reserve(&request, deadline).await {
        Ok(hold) => {
            if let Some(grant) = hold.grant {
                log_grant(shared, &request, grant);
            }
            hold.lend_out();
            lent(request.turn)
        }
        Err(LedgerError::Spent { reserved, holders }) => {
            ReserveResponse::Spent { reserved, holders }
        }
        Err(_) => ReserveResponse::Away,
    }
}

/// Answers a peer's call on one of the paths of budgets; none for other paths.
pub(crate) async fn handle_budget_call(
    shared: &Rc<Shared>,
    path: &str,
    body: &[u8],
) -> Option<(u16, Bytes)> {
    const BAD_REQUEST: (u16, Bytes) = (400, Bytes::new());
    let answer = match path {
        RESERVE_PATH => match from_cbor::<ReserveRequest>(body) {
            Some(ask) => (200, to_cbor(&answer_reserve(shared, &ask).await)),
            None => BAD_REQUEST,
        },
        RETURN_PATH => match from_cbor::<Vec<ReturnedTokens>>(body) {
            Some(returned) => {
                for back in returned {
                    let tokens = back.tokens;
                    shared
                        .budgets
                        .take_back(&back.writer, &back.program, tokens);
                    if let Some((line, server)) = back.placed {
                        let mut line_servers = shared.homes.line_servers.borrow_mut();
                        line_servers.insert(&line, server);
                    }
                }
                (200, to_cbor(&()))
            }
            None => BAD_REQUEST,
        },
        LEND_PATH => match from_cbor::<LendRequest>(body) {
            Some(ask) => {
                let now = Instant::now();
                let lent = shared.budgets.lend(&ask.program, ask.tokens, now);
                (200, to_cbor(&lent))
            }
            None => BAD_REQUEST,
        },
        _ => return None,
    };
    Some(answer)
}
