//! Writes events to the standard output as structured log lines, one JSON object per event.

use std::cell::Cell;
use std::io::{self, Write};

use clementinepick::event::{Event, EventKind, Severity};
use clementinepick::ids::{Incarnation, VmId};
use slog::{
    Drain, KV, Key, Level, LevelFilter, Logger, Never, OwnedKVList, Record, Result, Serializer, b,
    o, record,
};
use slog_async::Async;
use slog_json::Json;

use crate::log_output::{LineOutput, StandardOutput};
use crate::settings::LogLevel;

/// The maximum number of lines queued for writing.
///
/// Further lines are dropped and their count is logged.
const QUEUE_CAPACITY_LINES: usize = 4_096;

/// Creates a logger to the standard output whose lines name the process.
///
/// Dropping it writes the queued lines.
///
/// # Errors
///
/// Returns an error if the standard output can't be opened.
pub(crate) fn new_logger(
    level: LogLevel,
    vm: &VmId,
    incarnation: Incarnation,
) -> io::Result<Logger> {
    let output = StandardOutput::open()?;
    Ok(new_logger_to(output, level, vm, incarnation))
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
    let json = Json::new(LineOutput::new(output));
    let lines = LossyDrain {
        drain: json.add_default_keys().build(),
        lost_lines: Cell::new(0),
    };
    let queue = Async::new(lines).chan_size(QUEUE_CAPACITY_LINES).build();
    let drain = LevelFilter::new(queue, min_level).fuse();
    Logger::root(
        drain,
        o!("process" => vm.to_string(), "process_incarnation" => incarnation.0),
    )
}

/// Counts the lines that can't be written, and reports them with the next one that can.
struct LossyDrain<D> {
    drain: D,
    lost_lines: Cell<u64>,
}

impl<D: Drain> LossyDrain<D> {
    fn report_lost(&self, values: &OwnedKVList) {
        let count = self.lost_lines.take();
        if count == 0 {
            return;
        }
        let kind = EventKind::LogLinesLost;
        let report = self.drain.log(
            &record!(
                Level::Warning,
                "",
                &format_args!("{}", kind.name()),
                b!("event" => kind.number(), "count" => count)
            ),
            values,
        );
        if report.is_err() {
            self.lost_lines.set(count);
        }
    }
}

impl<D: Drain> Drain for LossyDrain<D> {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> std::result::Result<(), Never> {
        if self.drain.log(record, values).is_ok() {
            self.report_lost(values);
        } else {
            self.lost_lines.update(|count| count + 1);
        }
        Ok(())
    }
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
