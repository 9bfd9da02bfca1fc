//! The structured log: one JSON line an event on the standard output.

use std::io::{Write, stdout};

use clementinepick::event::{Event, Severity};
use clementinepick::ids::{Incarnation, VmId};
use slog::{Drain, KV, Key, Level, LevelFilter, Logger, Record, Result, Serializer, o};
use slog_async::Async;
use slog_json::Json;

use crate::settings::LogLevel;

/// The most lines that wait to be written; more are dropped, and their count is logged.
const MAX_WAITING_LINES: usize = 4_096;

/// A logger to the standard output whose lines name the process; dropping it writes what waits.
pub(crate) fn new_logger(level: LogLevel, vm: &VmId, incarnation: Incarnation) -> Logger {
    new_logger_to(stdout(), level, vm, incarnation)
}

/// The same with another place to write to.
pub(crate) fn new_logger_to<W: Write + Send + 'static>(
    output: W,
    level: LogLevel,
    vm: &VmId,
    incarnation: Incarnation,
) -> Logger {
    let lowest = match level {
        LogLevel::Info => Level::Info,
        LogLevel::Warning => Level::Warning,
        LogLevel::Error => Level::Error,
        LogLevel::Off => return Logger::root(slog::Discard, o!()),
    };
    let json = Json::new(output).add_default_keys().build().fuse();
    let waiting = Async::new(json).chan_size(MAX_WAITING_LINES).build();
    let drain = LevelFilter::new(waiting, lowest).fuse();
    Logger::root(
        drain,
        o!("process" => vm.to_string(), "process_incarnation" => incarnation.0),
    )
}

/// Writes an event with its number, name and fields.
pub(crate) fn write_event(logger: &Logger, event: &Event) {
    let fields = Fields(event.clone());
    let (number, name) = (event.kind.number(), event.kind.name());
    match event.kind.severity() {
        Severity::Info => slog::info!(logger, "{}", name; "event" => number, fields),
        Severity::Warning => slog::warn!(logger, "{}", name; "event" => number, fields),
        Severity::Error => slog::error!(logger, "{}", name; "event" => number, fields),
    }
}

/// The fields of an event as keys of its line.
struct Fields(Event);

impl KV for Fields {
    fn serialize(&self, _: &Record<'_>, serializer: &mut dyn Serializer) -> Result {
        for (name, value) in &self.0.fields {
            serializer.emit_str(Key::from(name.clone()), value)?;
        }
        Ok(())
    }
}
