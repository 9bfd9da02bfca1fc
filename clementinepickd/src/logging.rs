//! Writes events to the standard output as structured log lines, one JSON object per event.

use std::io::{Write, stdout};

use clementinepick::event::{Event, Severity};
use clementinepick::ids::{Incarnation, VmId};
use slog::{Drain, KV, Key, Level, LevelFilter, Logger, Record, Result, Serializer, o};
use slog_async::Async;
use slog_json::Json;

use crate::settings::LogLevel;

/// The maximum number of lines queued for writing.
///
/// Further lines are dropped and their count is logged.
const QUEUE_CAPACITY_LINES: usize = 4_096;

/// Creates a logger to the standard output whose lines name the process.
///
/// Dropping it writes the queued lines.
pub(crate) fn new_logger(level: LogLevel, vm: &VmId, incarnation: Incarnation) -> Logger {
    new_logger_to(stdout(), level, vm, incarnation)
}

/// Creates a logger like [`new_logger`] that writes to `output`.
pub(crate) fn new_logger_to<W: Write + Send + 'static>(
    output: W,
    level: LogLevel,
    vm: &VmId,
    incarnation: Incarnation,
) -> Logger {
    let min_level = match level {
        LogLevel::Info => Level::Info,
        LogLevel::Warning => Level::Warning,
        LogLevel::Error => Level::Error,
        LogLevel::Off => return Logger::root(slog::Discard, o!()),
    };
    let json = Json::new(output).add_default_keys().build().fuse();
    let queue = Async::new(json).chan_size(QUEUE_CAPACITY_LINES).build();
    let drain = LevelFilter::new(queue, min_level).fuse();
    Logger::root(
        drain,
        o!("process" => vm.to_string(), "process_incarnation" => incarnation.0),
    )
}

/// Logs an event with its number, name and fields at its severity.
pub(crate) fn write_event(logger: &Logger, event: &Event) {
    let fields = Fields(event.clone());
    let (number, name) = (event.kind.number(), event.kind.name());
    match event.kind.severity() {
        Severity::Info => slog::info!(logger, "{}", name; "event" => number, fields),
        Severity::Warning => slog::warn!(logger, "{}", name; "event" => number, fields),
        Severity::Error => slog::error!(logger, "{}", name; "event" => number, fields),
    }
}

/// Serializes the fields of an event as keys of its line.
struct Fields(Event);

impl KV for Fields {
    fn serialize(&self, _: &Record<'_>, serializer: &mut dyn Serializer) -> Result {
        for (name, value) in &self.0.fields {
            serializer.emit_str(Key::from(name.clone()), value)?;
        }
        Ok(())
    }
}
