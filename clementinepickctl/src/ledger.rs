//! What a gateway reads in the ledger, in lines for people.

use serde_json::Value;

use crate::explain::unquoted;

/// The longest chain of turns that is shown.
pub(crate) const MAX_CHAIN_TURNS: usize = 200;

/// What the ledger has of a program's budget.
#[must_use]
pub fn format_program(found: &Value) -> Vec<String> {
    let text = |value: &Value, name: &str| value.get(name).map(unquoted).unwrap_or_default();
    let mut lines = vec![format!(
        "{}: partition {}, read to offset {}",
        text(found, "program"),
        text(found, "partition"),
        text(found, "end")
    )];
    let slices: Vec<&Value> = found["slices"].as_array().into_iter().flatten().collect();
    for slice in &slices {
        let holder = slice["holder"].as_str().unwrap_or("nobody");
        lines.push(format!(
            "slice of {} tokens, of {holder}",
            text(slice, "tokens")
        ));
    }
    let sum: u64 = slices.iter().filter_map(|s| s["tokens"].as_u64()).sum();
    lines.push(match found["standing_tokens"].as_u64() {
        Some(standing) => format!("given out: {sum} tokens in slices, {standing} in standing ones"),
        None => "no records: only standing slices can have been given out".to_owned(),
    });
    for home in found["homes"].as_array().into_iter().flatten() {
        lines.push(format!(
            "home {}: {}, start {}, standing slices are 1/{} of a budget",
            text(home, "number"),
            text(home, "address"),
            text(home, "start"),
            text(home, "budget_part")
        ));
    }
    let held = &found["held_here"];
    lines.push(if held.is_null() {
        "this gateway holds nothing of it".to_owned()
    } else {
        format!(
            "this gateway holds {} tokens, {} of them standing: {} spent, {} for running turns",
            text(held, "granted_tokens"),
            text(held, "standing_tokens"),
            text(held, "spent_tokens"),
            text(held, "running_tokens")
        )
    });
    lines
}

/// What the ledger has of a turn.
#[must_use]
pub fn format_turn(found: &Value) -> String {
    let text = |name: &str| found.get(name).map(unquoted).unwrap_or_default();
    let parent = found["parent"].as_str().unwrap_or("nothing");
    let server = found["server"].as_str().unwrap_or("an unnamed server");
    format!(
        "{}: partition {}, continues from {parent}, ran at {server}, {} bytes in and {} out, recorded \
         at {} ms of Unix time, kept for {} ms",
        text("turn"),
        text("partition"),
        text("input_bytes"),
        text("output_bytes"),
        text("recorded_unix_ms"),
        text("retain_ms")
    )
}
