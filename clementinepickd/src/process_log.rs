//! Owns the log of a process, which says why the process ends whenever it ends by itself.

use std::backtrace::{Backtrace, BacktraceStatus};
use std::fmt::Display;
use std::io::Write;
use std::panic::{self, AssertUnwindSafe, PanicHookInfo, catch_unwind};
use std::sync::{Arc, LazyLock, Mutex, MutexGuard, PoisonError};
use std::thread;

use clementinepick::event::{Event, EventKind};
use clementinepick::ids::{Incarnation, VmId};
use slog::Logger;
use slog_async::AsyncGuard;

use crate::log_output::{LineOutput, StandardError, StandardOutput};
use crate::logging::{new_direct_logger, new_guarded_logger, new_unnamed_logger, write_event};
use crate::settings::LogLevel;

/// The standard error, of which a process keeps whether it has stalled.
static ERRORS: LazyLock<Mutex<LineOutput<StandardError>>> =
    LazyLock::new(|| Mutex::new(LineOutput::new(StandardError::new())));

/// The log of a process; dropped, it writes the queued lines.
pub struct ProcessLog {
    logger: Logger,
    incarnation: Incarnation,
    panic_logger: PanicLogger,
    _writer: Option<AsyncGuard>,
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
        let guarded = catch_unwind(AssertUnwindSafe(|| {
            new_guarded_logger(output(), level, vm, incarnation)
        }));
        let (logger, writer) =
            guarded.unwrap_or_else(|_| (new_direct_logger(output(), level, vm, incarnation), None));
        Self {
            logger,
            incarnation,
            panic_logger: PanicLogger::default(),
            _writer: writer,
        }
    }

    /// Logs each panic of any thread or task from now on, before it is printed.
    pub fn report_panics(&self) {
        self.panic_logger.start(self.logger.clone());
    }

    /// Writes the error that ends the process to the log, as its last line, and to the standard error.
    pub fn close_with(self, error: &dyn Display) {
        self.panic_logger.stop();
        log_failure(&self.logger, error);
        drop(self);
        print_failure(error);
    }

    /// Logs that the process was told to stop before it served.
    pub fn log_early_stop(&self) {
        for kind in [EventKind::ShutdownStarted, EventKind::ShutdownFinished] {
            write_event(&self.logger, &Event::new(kind).with("running", 0));
        }
    }

    pub(crate) const fn logger(&self) -> &Logger {
        &self.logger
    }

    pub(crate) const fn incarnation(&self) -> Incarnation {
        self.incarnation
    }
}

/// Logs each panic of a process without valid settings to its standard output, before it is printed.
pub fn report_early_panics() {
    PanicLogger::default().start(new_unnamed_logger(StandardOutput::new()));
}

/// Writes an error that ends a process without valid settings to its log and to the standard error.
pub fn report_early_failure(error: &dyn Display) {
    log_failure(&new_unnamed_logger(StandardOutput::new()), error);
    print_failure(error);
}

fn log_failure(logger: &Logger, error: &dyn Display) {
    let event = Event::new(EventKind::ProcessFailed).with("error", error);
    write_event(logger, &event);
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

fn panic_message<'a>(info: &'a PanicHookInfo<'_>) -> &'a str {
    info.payload_as_str().unwrap_or("not a text")
}

/// The logger of panics, until the log is closed.
#[derive(Clone, Default)]
struct PanicLogger(Arc<Mutex<Option<Logger>>>);

impl PanicLogger {
    /// Logs each panic to `logger` from now on, and to no other.
    fn start(&self, logger: Logger) {
        *self.lock() = Some(logger);
        let panics = self.clone();
        panic::set_hook(Box::new(move |info| {
            panics.write(info);
            print_panic(info);
        }));
    }

    /// Waits for panics that are being logged, and logs no more.
    fn stop(&self) {
        *self.lock() = None;
    }

    fn write(&self, info: &PanicHookInfo<'_>) {
        if let Some(logger) = &*self.lock() {
            write_event(logger, &panic_event(info));
        }
    }

    fn lock(&self) -> MutexGuard<'_, Option<Logger>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
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
