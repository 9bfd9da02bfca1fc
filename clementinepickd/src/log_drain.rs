//! Passes lines on within the volume of the log, and counts those that are left out or can't be written.

use std::cell::{Cell, RefCell};
use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use clementinepick::event::EventKind;
use metrics::counter;
use slog::{Drain, KV, Key, Level, Never, OwnedKVList, Record, Result, Serializer, b, record};

use crate::log_allowance::{Importance, LogAllowance};
use crate::logging::EVENT_KEY;

/// The numbers of events below this one tell of the process itself.
const PROCESS_EVENTS_END: u16 = 200;
/// How often lines that are left out are reported.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// The lines that are missing from the log of this process.
static MISSING_LINES: MissingLines = MissingLines {
    unwritable: AtomicU64::new(0),
    left_out: AtomicU64::new(0),
};

/// Numbers of lines.
struct MissingLines {
    unwritable: AtomicU64,
    left_out: AtomicU64,
}

/// Counts the lines that are missing from the log in the recorder of this thread.
pub(crate) fn count_missing_lines() {
    for (reason, lines) in [
        ("unwritable", &MISSING_LINES.unwritable),
        ("volume", &MISSING_LINES.left_out),
    ] {
        counter!("clementinepick_log_lines_missing_total", "reason" => reason)
            .absolute(lines.load(Ordering::Relaxed));
    }
}

/// Passes on the lines that the volume admits, and reports those that are missing with the next one that is
/// written.
pub(crate) struct BoundedDrain<D> {
    drain: D,
    /// What the drain has written since the start.
    written_bytes: Arc<AtomicU64>,
    charged_bytes: Cell<u64>,
    allowance: RefCell<LogAllowance>,
    unwritable_lines: Cell<u64>,
    left_out_lines: Cell<u64>,
    reported_at: Cell<Option<Instant>>,
}

impl<D: Drain> BoundedDrain<D> {
    /// Creates a drain; `written_bytes` counts what `drain` writes.
    pub(crate) fn new(drain: D, written_bytes: Arc<AtomicU64>, now: Instant) -> Self {
        Self {
            drain,
            written_bytes,
            charged_bytes: Cell::new(0),
            allowance: RefCell::new(LogAllowance::new(now)),
            unwritable_lines: Cell::new(0),
            left_out_lines: Cell::new(0),
            reported_at: Cell::new(None),
        }
    }

    fn log_at(&self, record: &Record<'_>, values: &OwnedKVList, now: Instant) {
        let importance = importance(record);
        if !self.allowance.borrow_mut().admits(importance, now) {
            self.left_out_lines.update(|count| count + 1);
            MISSING_LINES.left_out.fetch_add(1, Ordering::Relaxed);
        } else if self.write(record, values) {
            self.report(EventKind::LogLinesLost, &self.unwritable_lines, values);
            self.report_left_out(importance, values, now);
        } else {
            self.unwritable_lines.update(|count| count + 1);
            MISSING_LINES.unwritable.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Writes a line and charges its bytes; returns whether it is written whole.
    fn write(&self, record: &Record<'_>, values: &OwnedKVList) -> bool {
        let is_written = self.drain.log(record, values).is_ok();
        let written = self.written_bytes.load(Ordering::Relaxed);
        let bytes = written - self.charged_bytes.replace(written);
        self.allowance.borrow_mut().charge(bytes);
        is_written
    }

    /// Reports lines that were left out, at most once in an interval but for lines that may be the last ones.
    fn report_left_out(&self, importance: Importance, values: &OwnedKVList, now: Instant) {
        let is_due = self
            .reported_at
            .get()
            .is_none_or(|at| now.saturating_duration_since(at) >= REPORT_INTERVAL);
        if self.left_out_lines.get() > 0 && (is_due || importance == Importance::Process) {
            self.reported_at.set(Some(now));
            self.report(EventKind::LogLinesLeftOut, &self.left_out_lines, values);
        }
    }

    fn report(&self, kind: EventKind, lines: &Cell<u64>, values: &OwnedKVList) {
        let count = lines.take();
        if count == 0 {
            return;
        }
        let is_written = self.write(
            &record!(
                Level::Warning,
                "",
                &format_args!("{}", kind.name()),
                b!(EVENT_KEY => kind.number(), "count" => count)
            ),
            values,
        );
        if !is_written {
            lines.set(count);
        }
    }
}

impl<D: Drain> Drain for BoundedDrain<D> {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> std::result::Result<(), Never> {
        self.log_at(record, values, Instant::now());
        Ok(())
    }
}

fn importance(record: &Record<'_>) -> Importance {
    let mut number = EventNumber(None);
    // A line whose number can't be read is judged by its level.
    let is_read = record.kv().serialize(record, &mut number).is_ok();
    let number = number.0.filter(|_| is_read);
    let is_of_process = number.is_some_and(|number| number < PROCESS_EVENTS_END);
    if is_of_process || record.level().is_at_least(Level::Error) {
        Importance::Process
    } else if record.level().is_at_least(Level::Warning) {
        Importance::Warning
    } else {
        Importance::Routine
    }
}

/// Takes the number of an event from the values of its line.
struct EventNumber(Option<u16>);

impl Serializer for EventNumber {
    fn emit_arguments(&mut self, _: Key, _: &fmt::Arguments<'_>) -> Result {
        Ok(())
    }

    fn emit_str(&mut self, _: Key, _: &str) -> Result {
        Ok(())
    }

    fn emit_u16(&mut self, key: Key, value: u16) -> Result {
        if key == EVENT_KEY {
            self.0 = Some(value);
        }
        Ok(())
    }
}
