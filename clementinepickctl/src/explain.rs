//! Finds in collected logs what became of a request, and says it in words.

use clementinepick::event::EventKind;
use serde_json::{Map, Value};

/// Fields that stand in each line and say nothing of the request.
const COMMON_FIELDS: [&str; 7] = [
    "msg",
    "level",
    "ts",
    "process",
    "process_incarnation",
    "event",
    "request",
];

/// One line of a log.
#[derive(Debug, Clone, PartialEq)]
pub struct LogLine {
    /// When it was written, as text that sorts by time.
    pub timestamp: String,
    /// The event's name.
    pub name: String,
    /// All fields.
    pub fields: Map<String, Value>,
}

impl LogLine {
    fn text(&self, field: &str) -> &str {
        let value = self.fields.get(field).and_then(Value::as_str);
        value.unwrap_or_default()
    }

    fn concerns(&self, id: &str) -> bool {
        self.text("request") == id || self.text("program") == id
    }

    /// The line in words: when, where, what happened, and the values that decided it.
    #[must_use]
    pub fn describe(&self) -> String {
        let kinds = EventKind::ALL.iter();
        let kind = kinds.copied().find(|kind| kind.name() == self.name);
        let meaning = kind.map_or("an event that this version does not know", |kind| {
            kind.meaning()
        });
        let values: Vec<String> = self
            .fields
            .iter()
            .filter(|(name, _)| !COMMON_FIELDS.contains(&name.as_str()))
            .map(|(name, value)| format!("{name}={}", unquoted(value)))
            .collect();
        let request = self.text("request");
        let values = values.join(" ");
        let (at, process) = (&self.timestamp, self.text("process"));
        format!("{at} {process} {request} {}: {meaning} {values}", self.name)
    }
}

pub(crate) fn unquoted(value: &Value) -> String {
    value
        .as_str()
        .map_or_else(|| value.to_string(), str::to_owned)
}

/// Reads log lines; what is no JSON is passed over, and so is what stands before it in a line.
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

/// The lines that concern a request, or all requests of a program, in the order of time.
#[must_use]
pub fn select_lines(id: &str, lines: Vec<LogLine>) -> Vec<LogLine> {
    let mut told: Vec<LogLine> = lines.into_iter().filter(|line| line.concerns(id)).collect();
    told.sort_by(|a, b| a.timestamp.cmp(&b.timestamp));
    told
}

/// What a gateway's state says, a line a matter.
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
            "ready {}, draining {}, configuration {}, lists read {} ms ago",
            text("is_ready"),
            text("is_draining"),
            text("config_version"),
            text("lists_age_ms")
        ),
        format!(
            "store away {}, direct way down {}, {} peers",
            store("is_away"),
            store("is_direct_down"),
            state["peers"].as_array().map_or(0, Vec::len)
        ),
        format!(
            "{} programs, {} turns in {} bytes, {servers} servers, {draining} of them leaving",
            text("programs"),
            text("cached_turns"),
            text("cached_turn_bytes")
        ),
    ]
}
