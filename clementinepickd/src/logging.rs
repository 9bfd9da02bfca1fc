//! Writes events to the standard output as structured log lines, one JSON object per event.

use std::collections::BTreeMap;
use std::io::Write;
use std::panic::{RefUnwindSafe, UnwindSafe};
use std::sync::{Arc, Mutex, PoisonError, RwLock};
use std::time::Instant;

use clementinepick::event::{Event, Severity};
use clementinepick::ids::{Incarnation, VmId};
use slog::{
    Drain, KV, Key, Level, LevelFilter, Logger, OwnedKV, OwnedKVList, Record, Result,
    SendSyncRefUnwindSafeKV, Serializer, o,
};
use slog_async::{Async, AsyncBuilder, AsyncGuard};
use slog_json::Json;

use crate::log_drain::BoundedDrain;
use crate::log_output::{LineOutput, StandardOutput};
use crate::settings::LogLevel;

/// The maximum number of lines queued for writing.
///
/// Further lines are dropped and their count is logged.
const QUEUE_CAPACITY_LINES: usize = 4_096;

/// The longest value of a field, in bytes: some come from callers, servers and other writers of the store.
const MAX_VALUE_BYTES: usize = 1_024;

/// The key of an event's number in its line.
pub(crate) const EVENT_KEY: &str = "event";

/// Creates a logger to the standard output whose lines name the process.
///
/// Dropping its last clone writes the queued lines.
pub(crate) fn new_logger(level: LogLevel, vm: &VmId, incarnation: Incarnation) -> Logger {
    new_logger_to(StandardOutput::new(), level, vm, incarnation)
}

/// Creates a logger like [`new_logger`] that writes to `output`.
pub(crate) fn new_logger_to<W: Write + Send + 'static>(
    output: W,
    level: LogLevel,
    vm: &VmId,
    incarnation: Incarnation,
) -> Logger {
    let queue = queued_lines(output).build();
    new_root(queue, level, process_keys(vm, incarnation))
}

/// A logger whose last line can be chosen, whoever holds clones of it.
pub(crate) struct ClosableLogger {
    /// The logger, which loses its lines once it is closed.
    pub(crate) logger: Logger,
    is_closed: Arc<RwLock<bool>>,
    last: Logger,
    _queue: Option<AsyncGuard>,
}

impl ClosableLogger {
    /// Creates a logger like [`new_logger_to`]; dropped, it writes the queued lines, and clones lose theirs
    /// from then on.
    pub(crate) fn queued<W: Write + Send + 'static>(
        output: W,
        level: LogLevel,
        vm: &VmId,
        incarnation: Incarnation,
    ) -> Self {
        let (lines, guard) = queued_lines(output).build_with_guard();
        Self::new(lines, Some(guard), level, vm, incarnation)
    }

    /// Creates a logger that has written a line when it returns.
    pub(crate) fn direct<W: Write + Send + 'static>(
        output: W,
        level: LogLevel,
        vm: &VmId,
        incarnation: Incarnation,
    ) -> Self {
        Self::new(Mutex::new(lines(output)), None, level, vm, incarnation)
    }

    fn new<D>(
        lines: D,
        queue: Option<AsyncGuard>,
        level: LogLevel,
        vm: &VmId,
        incarnation: Incarnation,
    ) -> Self
    where
        D: Drain + Send + Sync + UnwindSafe + RefUnwindSafe + 'static,
    {
        let (lines, is_closed) = (Arc::new(lines), Arc::default());
        let open_lines = OpenDrain {
            drain: Arc::clone(&lines),
            is_closed: Arc::clone(&is_closed),
        };
        Self {
            logger: new_root(open_lines, level, process_keys(vm, incarnation)),
            is_closed,
            last: new_root(lines, level, process_keys(vm, incarnation)),
            _queue: queue,
        }
    }

    /// Logs the last event.
    pub(crate) fn close_with(self, event: &Event) {
        *self
            .is_closed
            .write()
            .unwrap_or_else(PoisonError::into_inner) = true;
        write_event(&self.last, event);
    }
}

/// Passes lines on until it is closed.
struct OpenDrain<D> {
    drain: Arc<D>,
    is_closed: Arc<RwLock<bool>>,
}

impl<D: Drain> Drain for OpenDrain<D> {
    type Ok = ();
    type Err = D::Err;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> std::result::Result<(), D::Err> {
        // Held until the line is passed on, so that none follows the last one.
        let is_closed = self
            .is_closed
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        if !*is_closed {
            self.drain.log(record, values)?;
        }
        Ok(())
    }
}

/// Creates a logger that has written a line when it returns and whose lines do not name the process.
pub(crate) fn new_unnamed_logger<W: Write + Send + 'static>(output: W) -> Logger {
    new_root(Mutex::new(lines(output)), LogLevel::Info, o!())
}

fn lines<W: Write + Send + 'static>(output: W) -> BoundedDrain<Json<LineOutput<W>>> {
    let output = LineOutput::new(output);
    let written_bytes = output.written_bytes();
    let json = Json::new(output).add_default_keys().build();
    BoundedDrain::new(json, written_bytes, Instant::now())
}

fn queued_lines<W: Write + Send + 'static>(
    output: W,
) -> AsyncBuilder<BoundedDrain<Json<LineOutput<W>>>> {
    Async::new(lines(output)).chan_size(QUEUE_CAPACITY_LINES)
}

fn process_keys(
    vm: &VmId,
    incarnation: Incarnation,
) -> OwnedKV<impl SendSyncRefUnwindSafeKV + use<>> {
    o!("process" => vm.to_string(), "process_incarnation" => incarnation.0)
}

/// Creates a logger to `drain`, whose failures lose lines and nothing else.
fn new_root<D, K>(drain: D, level: LogLevel, keys: OwnedKV<K>) -> Logger
where
    D: Drain + Send + Sync + UnwindSafe + RefUnwindSafe + 'static,
    K: SendSyncRefUnwindSafeKV + 'static,
{
    let min_level = match level {
        LogLevel::Info => Level::Info,
        LogLevel::Warning => Level::Warning,
        LogLevel::Error => Level::Error,
        LogLevel::Off => return Logger::root(slog::Discard, o!()),
    };
    Logger::root(LevelFilter::new(drain, min_level).ignore_res(), keys)
}

/// Logs an event with its number, name and fields at its severity.
pub(crate) fn write_event(logger: &Logger, event: &Event) {
    let fields = Fields::of(event);
    let (number, name) = (event.kind.number(), event.kind.name());
    match event.kind.severity() {
        Severity::Info => slog::info!(logger, "{}", name; EVENT_KEY => number, fields),
        Severity::Warning => slog::warn!(logger, "{}", name; EVENT_KEY => number, fields),
        Severity::Error => slog::error!(logger, "{}", name; EVENT_KEY => number, fields),
    }
}

/// Serializes the fields of an event as keys of its line.
struct Fields(BTreeMap<String, String>);

impl Fields {
    /// Copies the fields of an event, of long values only the start.
    fn of(event: &Event) -> Self {
        let fields = event.fields.iter();
        Self(
            fields
                .map(|(name, value)| (name.clone(), shortened(value)))
                .collect(),
        )
    }
}

fn shortened(value: &str) -> String {
    if value.len() <= MAX_VALUE_BYTES {
        return value.to_owned();
    }
    let start = &value[..value.floor_char_boundary(MAX_VALUE_BYTES)];
    format!("{start}… ({} bytes)", value.len())
}

impl KV for Fields {
    fn serialize(&self, _: &Record<'_>, serializer: &mut dyn Serializer) -> Result {
        for (name, value) in &self.0 {
            serializer.emit_str(Key::from(name.clone()), value)?;
        }
        Ok(())
    }
}
