//! Answers operators' queries for the ledger's state of a program or a turn.

use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::StatusCode;
use clementinepick::budget_ledger::BudgetView;
use clementinepick::turn_chain::TurnRecord;
use percent_encoding::percent_decode_str;
use serde_json::{Value, json};

use crate::gateway_shared::Shared;
use crate::ledger::LedgerError;

/// How long the store may take for an operator's query.
const QUERY_TIMEOUT: Duration = Duration::from_secs(2);

/// Handles `/ledger?program=ID` and `/ledger?turn=ID`, with the id percent-encoded.
pub(crate) async fn handle_query(shared: &Rc<Shared>, query: &str) -> (StatusCode, String) {
    let Some((name, id)) = query.split_once('=') else {
        return (StatusCode::BAD_REQUEST, String::new());
    };
    let id = percent_decode_str(id).decode_utf8_lossy();
    let found = match name {
        "program" => query_program(shared, &id).await,
        "turn" => query_turn(shared, &id).await,
        _ => return (StatusCode::BAD_REQUEST, String::new()),
    };
    match found {
        Ok(found) => (StatusCode::OK, found.to_string()),
        Err(LedgerError::UnknownTurn) => (StatusCode::NOT_FOUND, String::new()),
        Err(
            LedgerError::Unavailable
            | LedgerError::Exhausted { .. }
            | LedgerError::HolderSilent
            | LedgerError::OutOfMemory,
        ) => (StatusCode::SERVICE_UNAVAILABLE, String::new()),
    }
}

async fn query_program(shared: &Rc<Shared>, id: &str) -> Result<Value, LedgerError> {
    let now = Instant::now();
    let partition = shared.ledger.budget_partition(id);
    let state = shared.budgets.partition(partition, now);
    let guard = state.access.lock().await;
    let update = shared
        .budgets
        .catch_up(partition, &state, now + QUERY_TIMEOUT);
    update.await?;
    drop(guard);
    let view = state.view.borrow();
    let held = shared.budgets.held_slices(id);
    if held.is_none() && !view.has_program(id) {
        return Err(LedgerError::UnknownTurn);
    }
    let held = held.map(|slices| {
        json!({
            "granted_tokens": slices.granted.0,
            "spent_tokens": slices.spent.0,
            "running_tokens": slices.outstanding.0,
            "standing_tokens": slices.standing.0,
        })
    });
    Ok(json!({
        "program": id,
        "partition": format!("{}/{}", partition.topic, partition.number),
        "end": view.end,
        "slices": slices_json(&view, id),
        "standing_tokens": view.standing(id).map(|tokens| tokens.0),
        "homes": homes_json(&view),
        "held_here": held,
    }))
}

fn slices_json(view: &BudgetView, id: &str) -> Vec<Value> {
    let slices = view.slices(id).map(|(tokens, holder)| {
        let holder = holder.map(|address| address.to_string());
        json!({ "tokens": tokens.0, "holder": holder })
    });
    slices.collect()
}

fn homes_json(view: &BudgetView) -> Vec<Value> {
    let homes = view.homes().into_iter().map(|home| {
        json!({
            "address": home.address.to_string(),
            "start": home.writer,
            "number": home.number,
            "budget_part": 1_u64.checked_shl(home.halvings),
            "recorded_unix_ms": home.recorded_unix_ms,
        })
    });
    homes.collect()
}

async fn query_turn(shared: &Rc<Shared>, id: &str) -> Result<Value, LedgerError> {
    let deadline = Instant::now() + QUERY_TIMEOUT;
    let record = shared.turns.read(id, deadline).await?;
    let record: TurnRecord = record.ok_or(LedgerError::UnknownTurn)?;
    let partition = shared.ledger.turn_partition(id);
    Ok(json!({
        "turn": id,
        "partition": format!("{}/{}", partition.topic, partition.number),
        "parent": record.parent,
        "server": record.server,
        "recorded_unix_ms": record.recorded_unix_ms,
        "retain_ms": record.retain_ms,
        "input_bytes": record.input_bytes,
        "output_bytes": record.body.len().saturating_sub(record.input_bytes),
    }))
}
