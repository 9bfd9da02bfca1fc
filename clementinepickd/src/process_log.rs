//! Owns the log of a process, which says why the process ends whenever it ends by itself.

use std::any::Any;
use std::backtrace::{Backtrace, BacktraceStatus};
use std::fmt::Display;
use std::io::Write;
use std::panic::{self, AssertUnwindSafe, PanicHookInfo, catch_unwind};
use std::sync::{LazyLock, Mutex, PoisonError};
use std::thread;

use clementinepick::event::{Event, EventKind};
use clementinepick::ids::{Incarnation, VmId};
use slog::Logger;

use crate::log_output::{LineOutput, StandardError, StandardOutput};
use crate::logging::{ClosableLogger, new_unnamed_logger, write_event};
use crate::settings::LogLevel;

/// The message of a panic that has none.
const NO_MESSAGE: &str = "not a text";
/// The standard error, of which a process keeps whether it has stalled.
static ERRORS: LazyLock<Mutex<LineOutput<StandardError>>> =
    LazyLock::new(|| Mutex::new(LineOutput::new(StandardError::new())));

/// The log of a process; dropped, it writes the queued lines.
pub struct ProcessLog {
    log: ClosableLogger,
    incarnation: Incarnation,
}

impl ProcessLog {
    /// Opens the log at the standard output.
    #[must_use]
    pub fn open(level: LogLevel, vm: &VmId, incarnation: Incarnation) -> Self {
        Self::open_at(StandardOutput::new, level, vm, incarnation)
    }

    /// Opens the log at what `output` returns. Where no thread can be created, lines are written by the
    /// threads that log them.
    #[must_use]
    pub fn open_at<W: Write + Send + 'static>(
        output: impl Fn() -> W,
        level: LogLevel,
        vm: &VmId,
        incarnation: Incarnation,
    ) -> Self {
        // slog-async panics if it can't create its thread.
        let queued = catch_unwind(AssertUnwindSafe(|| {
            ClosableLogger::queued(output(), level, vm, incarnation)
        }));
        let log =
            queued.unwrap_or_else(|_| ClosableLogger::direct(output(), level, vm, incarnation));
        Self { log, incarnation }
    }

    /// Logs each panic of any thread or task from now on, before it is printed.
    pub fn report_panics(&self) {
        report_panics_to(self.logger().clone());
    }

    /// Writes the error that ends the process to the log, as its last line, and to the standard error.
    pub fn close_with(self, error: &dyn Display) {
        self.log.close_with(&failure(error));
        print_failure(error);
    }

    /// Logs that the process was told to stop before it served.
    pub fn log_early_stop(&self) {
        write_early_stop(self.logger());
    }

    /// Writes an event.
    pub fn write(&self, event: &Event) {
        write_event(self.logger(), event);
    }

    pub(crate) const fn logger(&self) -> &Logger {
        &self.log.logger
    }

    pub(crate) const fn incarnation(&self) -> Incarnation {
        self.incarnation
    }
}

/// Logs each panic of a process without valid settings to its standard output, before it is printed.
pub fn report_early_panics() {
    report_panics_to(new_unnamed_logger(StandardOutput::new()));
}

/// Writes an error that ends a process without valid settings to its log and to the standard error.
pub fn report_early_failure(error: &dyn Display) {
    write_event(&new_unnamed_logger(StandardOutput::new()), &failure(error));
    print_failure(error);
}

/// Logs that a process without valid settings was told to stop.
pub fn report_early_stop() {
    write_early_stop(&new_unnamed_logger(StandardOutput::new()));
}

fn write_early_stop(logger: &Logger) {
    for kind in [EventKind::ShutdownStarted, EventKind::ShutdownFinished] {
        write_event(logger, &Event::new(kind).with("running", 0));
    }
}

fn failure(error: &dyn Display) -> Event {
    Event::new(EventKind::ProcessFailed).with("error", error)
}

/// Writes an error to the standard error, and gives up if nobody reads it.
pub fn print_failure(error: &dyn Display) {
    print_line(&format!("{error}\n"));
}

fn print_line(line: &str) {
    let mut errors = ERRORS.lock().unwrap_or_else(PoisonError::into_inner);
    // Nobody reads it then; what ends or disturbs a running process is in its log.
    let _ = errors.write(line.as_bytes());
}

/// Writes a panic to the standard error like the standard library, which would wait for its reader.
fn print_panic(info: &PanicHookInfo<'_>) {
    let backtrace = Backtrace::capture();
    let thread = thread::current();
    let name = thread.name().unwrap_or("<unnamed>");
    let location = info.location().map(ToString::to_string);
    let location = location.as_deref().unwrap_or("an unknown place");
    let message = panic_message(info);
    let text = format!("\nthread '{name}' panicked at {location}:\n{message}\n");
    if backtrace.status() == BacktraceStatus::Captured {
        print_line(&format!("{text}stack backtrace:\n{backtrace}\n"));
    } else {
        print_line(&text);
    }
}

/// Returns the message of a panic that was caught.
#[must_use]
pub fn caught_message(panic: &(dyn Any + Send)) -> &str {
    let text = panic.downcast_ref::<&str>().copied();
    let text = text.or_else(|| panic.downcast_ref::<String>().map(String::as_str));
    text.unwrap_or(NO_MESSAGE)
}

fn panic_message<'a>(info: &'a PanicHookInfo<'_>) -> &'a str {
    info.payload_as_str().unwrap_or(NO_MESSAGE)
}

fn report_panics_to(logger: Logger) {
    panic::set_hook(Box::new(move |info| {
        write_event(&logger, &panic_event(info));
        print_panic(info);
    }));
}

fn panic_event(info: &PanicHookInfo<'_>) -> Event {
    let thread = thread::current();
    let event = Event::new(EventKind::ThreadPanicked)
        .with("thread", thread.name().unwrap_or("unnamed"))
        .with("message", panic_message(info));
    match info.location() {
        Some(location) => event.with("location", location),
        None => event,
    }
}
