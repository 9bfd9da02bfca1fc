//! Tests the selection and formatting of log lines and gateway states.

use clementinepickctl::explain::{LogLine, format_gateway, parse_log, select_lines};
use serde_json::json;

const FIRST_LOG: &str = r#"
prefix of a log collector {"msg":"budget_reserved","ts":"2026-01-01T00:00:01Z","process":"gateway-1","request":"r1","program":"p1","tokens":"1000 tokens","reserved":"1000 tokens","budget":"4000 tokens"}
{"msg":"request_failed","ts":"2026-01-01T00:00:03Z","process":"gateway-1","request":"r9","program":"p9","reason":"no_route"}
not a JSON object
"#;
const SECOND_LOG: &str = r#"{"msg":"request_failed","ts":"2026-01-01T00:00:02Z","process":"gateway-2","request":"r2","program":"p1","reason":"budget_spent","reserved":"4000 tokens"}"#;

fn lines() -> Vec<LogLine> {
    let mut lines = parse_log(FIRST_LOG);
    lines.extend(parse_log(SECOND_LOG));
    lines
}

#[test]
fn lines_of_a_program_are_merged_from_all_gateways_in_order_of_time() {
    let selected = select_lines("p1", lines());
    let selected: Vec<String> = selected.iter().map(LogLine::describe).collect();
    assert_eq!(
        selected,
        [
            "2026-01-01T00:00:01Z gateway-1 r1 budget_reserved: A process reserved a slice of a \
             program's budget. budget=4000 tokens program=p1 reserved=1000 tokens \
             tokens=1000 tokens",
            "2026-01-01T00:00:02Z gateway-2 r2 request_failed: A request ended without a complete \
             response from a backend server. program=p1 reason=budget_spent \
             reserved=4000 tokens",
        ]
    );
}

#[test]
fn a_request_selects_only_its_own_lines() {
    let selected = select_lines("r9", lines());
    assert_eq!(selected.len(), 1);
    assert!(select_lines("nobody", lines()).is_empty());
}

#[test]
fn a_gateway_state_is_formatted_in_three_lines() {
    let state = json!({
        "is_ready": true,
        "is_draining": false,
        "config_version": 7,
        "lists_age_ms": 120,
        "store": { "is_away": false, "is_direct_down": true },
        "peers": ["10.0.0.1:1", "10.0.0.2:1"],
        "programs": 3,
        "cached_turns": 4,
        "cached_turn_bytes": 5_000,
        "servers": [{ "is_draining": true }, { "is_draining": false }],
    });
    assert_eq!(
        format_gateway(&state),
        [
            "ready: true, draining: false, configuration version: 7, lists read 120 ms ago",
            "store unavailable: false, direct path down: true, 2 peers",
            "3 programs, 4 cached turns in 5000 bytes, 2 backend servers, 1 of them draining",
        ]
    );
}
