//! Formats the ledger's records of programs and turns as text.

use serde_json::Value;

use crate::explain::unquoted;

/// The largest number of turns of a chain that are read.
pub(crate) const MAX_CHAIN_TURNS: usize = 200;

/// Formats the ledger's records of a program's budget.
#[must_use]
pub fn format_program(record: &Value) -> Vec<String> {
    let text = |value: &Value, name: &str| value.get(name).map(unquoted).unwrap_or_default();
    let mut lines = vec![format!(
        "{}: partition {}, read up to offset {}",
        text(record, "program"),
        text(record, "partition"),
        text(record, "end")
    )];
    let slices: Vec<&Value> = record["slices"].as_array().into_iter().flatten().collect();
    for slice in &slices {
        let holder = slice["holder"].as_str().unwrap_or("an unknown gateway");
        lines.push(format!(
            "slice of {} tokens, held by {holder}",
            text(slice, "tokens")
        ));
    }
    let sum: u64 = slices.iter().filter_map(|s| s["tokens"].as_u64()).sum();
    lines.push(match record["standing_tokens"].as_u64() {
        Some(standing) => format!("allocated: {sum} tokens in slices, {standing} in standing ones"),
        None => "no records: at most standing slices are allocated".to_owned(),
    });
    for home in record["homes"].as_array().into_iter().flatten() {
        lines.push(format!(
            "home {}: {}, start {}, each standing slice is 1/{} of a budget",
            text(home, "number"),
            text(home, "address"),
            text(home, "start"),
            text(home, "budget_part")
        ));
    }
    let held = &record["held_here"];
    lines.push(if held.is_null() {
        "this gateway holds no tokens of the program".to_owned()
    } else {
        format!(
            "this gateway holds {} tokens, {} of them in standing slices: {} spent, {} reserved for \
             running turns",
            text(held, "granted_tokens"),
            text(held, "standing_tokens"),
            text(held, "spent_tokens"),
            text(held, "running_tokens")
        )
    });
    lines
}

/// Formats the ledger's record of a turn.
#[must_use]
pub fn format_turn(record: &Value) -> String {
    let text = |name: &str| record.get(name).map(unquoted).unwrap_or_default();
    let parent = record["parent"].as_str().unwrap_or("none");
    let server = record["server"].as_str().unwrap_or("unknown");
    format!(
        "{}: partition {}, previous turn: {parent}, backend server: {server}, input {} bytes, output {} \
         bytes, recorded at {} ms Unix time, retained for {} ms",
        text("turn"),
        text("partition"),
        text("input_bytes"),
        text("output_bytes"),
        text("recorded_unix_ms"),
        text("retain_ms")
    )
}
