//! Selects the log lines of a request or program, and formats log lines and gateway states.

use clementinepick::event::EventKind;
use serde_json::{Map, Value};

/// Fields left out of the values that [`LogLine::describe`] lists.
const COMMON_FIELDS: [&str; 7] = [
    "msg",
    "level",
    "ts",
    "process",
    "process_incarnation",
    "event",
    "request",
];

/// A parsed log line.
#[derive(Debug, Clone, PartialEq)]
pub struct LogLine {
    /// The time of writing, as text whose order is the order of time.
    pub timestamp: String,
    /// The name of the event.
    pub name: String,
    /// All fields, including the timestamp and the name.
    pub fields: Map<String, Value>,
}

impl LogLine {
    fn field_text(&self, field: &str) -> &str {
        let value = self.fields.get(field).and_then(Value::as_str);
        value.unwrap_or_default()
    }

    fn mentions(&self, id: &str) -> bool {
        self.field_text("request") == id || self.field_text("program") == id
    }

    /// Formats the line with the meaning of its event and the values of its other fields.
    #[must_use]
    pub fn describe(&self) -> String {
        let kinds = EventKind::ALL.iter();
        let kind = kinds.copied().find(|kind| kind.name() == self.name);
        let meaning = kind.map_or("an event that is unknown to this version", |kind| {
            kind.meaning()
        });
        let values: Vec<String> = self
            .fields
            .iter()
            .filter(|(name, _)| !COMMON_FIELDS.contains(&name.as_str()))
            .map(|(name, value)| format!("{name}={}", unquoted(value)))
            .collect();
        let request = self.field_text("request");
        let values = values.join(" ");
        let (timestamp, process) = (&self.timestamp, self.field_text("process"));
        format!(
            "{timestamp} {process} {request} {}: {meaning} {values}",
            self.name
        )
    }
}

/// Formats a JSON value as text; strings have no quotes.
pub(crate) fn unquoted(value: &Value) -> String {
    value
        .as_str()
        .map_or_else(|| value.to_string(), str::to_owned)
}

/// Parses log lines, ignoring any text before a line's JSON object.
///
/// Lines without a JSON object, a timestamp or an event name are skipped.
#[must_use]
pub fn parse_log(text: &str) -> Vec<LogLine> {
    let lines = text.lines().filter_map(|line| {
        let json = &line[line.find('{')?..];
        let fields: Map<String, Value> = serde_json::from_str(json).ok()?;
        Some(LogLine {
            timestamp: fields.get("ts")?.as_str()?.to_owned(),
            name: fields.get("msg")?.as_str()?.to_owned(),
            fields,
        })
    });
    lines.collect()
}

/// Returns the lines of a request, or of all requests of a program, in order of time.
#[must_use]
pub fn select_lines(id: &str, lines: Vec<LogLine>) -> Vec<LogLine> {
    let mut selected: Vec<LogLine> = lines.into_iter().filter(|line| line.mentions(id)).collect();
    selected.sort_by(|a, b| a.timestamp.cmp(&b.timestamp));
    selected
}

/// Formats a gateway's state: its readiness, its connections, and its programs and servers.
#[must_use]
pub fn format_gateway(state: &Value) -> Vec<String> {
    let text = |name: &str| state.get(name).map(unquoted).unwrap_or_default();
    let store = |name: &str| state["store"].get(name).map(unquoted).unwrap_or_default();
    let servers = state["servers"].as_array().map_or(0, Vec::len);
    let is_draining = |server: &&Value| server["is_draining"] == Value::Bool(true);
    let draining = state["servers"].as_array().into_iter().flatten();
    let draining = draining.filter(is_draining).count();
    vec![
        format!(
            "ready: {}, draining: {}, configuration version: {}, lists read {} ms ago",
            text("is_ready"),
            text("is_draining"),
            text("config_version"),
            text("lists_age_ms")
        ),
        format!(
            "store unavailable: {}, direct path down: {}, {} peers",
            store("is_away"),
            store("is_direct_down"),
            state["peers"].as_array().map_or(0, Vec::len)
        ),
        format!(
            "{} programs, {} cached turns in {} bytes, {servers} backend servers, {draining} of them draining",
            text("programs"),
            text("cached_turns"),
            text("cached_turn_bytes")
        ),
    ]
}
