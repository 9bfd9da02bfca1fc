//! Runs one process of clementinepick in the role that its settings file names.

use std::any::Any;
use std::error::Error;
use std::io;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant};

use actix_rt::System;
use argh::FromArgs;
use clementinepickd::gateway::Gateway;
use clementinepickd::gateway_settings::GatewaySettings;
use clementinepickd::process_log::{ProcessLog, report_early_failure, report_early_panics};
use clementinepickd::settings::Settings;
use clementinepickd::settings_file::{ProcessSettings, SettingsError};
use clementinepickd::{Daemon, ShutdownKind, settings_file};
use tokio::signal::unix::{Signal, SignalKind, signal};

const INVALID_SETTINGS_EXIT_CODE: u8 = 2;
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// How long and how often invalid settings are read again: the file may be in the middle of a change.
const SETTINGS_TIMEOUT: Duration = Duration::from_secs(1);
const SETTINGS_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Run one process of clementinepick: a gateway or an entry, which accept callers' requests, or a
/// sidecar, which runs next to a backend server.
///
/// SIGTERM and SIGINT begin a graceful shutdown; a second one ends the process at once, and
/// unfinished calls are answered with what is known of them. SIGHUP changes nothing.
#[derive(FromArgs)]
#[argh(
    example = "{command_name} --settings examples/entry-a.ini",
    example = "{command_name} --settings examples/sidecar-0.ini --check",
    error_code(1, "the shutdown was forced, or the process could not start"),
    error_code(2, "the settings are invalid; the message names file, section and key")
)]
struct Arguments {
    /// the settings file (INI); docs/SETTINGS.md lists every key. Defaults to the path in the
    /// environment variable that the platform sets
    #[argh(option)]
    settings: Option<PathBuf>,
    /// check the settings file and exit
    #[argh(switch)]
    check: bool,
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let Some(path) = settings_path(&arguments) else {
        report_early_failure(&"no settings file given; pass --settings PATH");
        return ExitCode::from(INVALID_SETTINGS_EXIT_CODE);
    };
    if arguments.check {
        return check(&path);
    }
    report_early_panics();
    if let Err(err) = keep_running_on_hangups() {
        report_early_failure(&format_args!("cannot install signal handlers: {err}"));
        return ExitCode::FAILURE;
    }
    match load_settings(&path) {
        Ok(ProcessSettings::Daemon(settings)) => run_daemon(*settings),
        Ok(ProcessSettings::Gateway(settings)) => run_gateway(*settings),
        Err(err) => {
            report_early_failure(&err);
            ExitCode::from(INVALID_SETTINGS_EXIT_CODE)
        }
    }
}

fn check(path: &Path) -> ExitCode {
    match settings_file::load_process(path) {
        Ok(_) => {
            println!("{}: settings are valid", path.display());
            ExitCode::SUCCESS
        }
        Err(err) => {
            eprintln!("{err}");
            ExitCode::from(INVALID_SETTINGS_EXIT_CODE)
        }
    }
}

fn settings_path(arguments: &Arguments) -> Option<PathBuf> {
    let named = std::env::var_os(platform::SETTINGS_VARIABLE).map(PathBuf::from);
    arguments.settings.clone().or(named)
}

/// Installs a handler of SIGHUP, which would otherwise end the process until it handles signals.
fn keep_running_on_hangups() -> io::Result<()> {
    // Without descriptors, tokio panics.
    let installed = catch_unwind(|| {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_io()
            .build()?;
        // The handler stays when its receiver and the runtime are dropped.
        runtime.block_on(async { signal(SignalKind::hangup()).map(drop) })
    });
    installed.unwrap_or_else(|panic| Err(io::Error::other(message(&*panic))))
}

/// Reads the settings, again until [`SETTINGS_TIMEOUT`] has passed if they are missing or invalid.
fn load_settings(path: &Path) -> Result<ProcessSettings, SettingsError> {
    let started_at = Instant::now();
    loop {
        match settings_file::load_process(path) {
            Err(_) if started_at.elapsed() < SETTINGS_TIMEOUT => {
                std::thread::sleep(SETTINGS_RETRY_INTERVAL);
            }
            result => return result,
        }
    }
}

fn run_gateway(settings: GatewaySettings) -> ExitCode {
    run_logged(Gateway::open_log(&settings), |log| {
        Gateway::bind(settings, log)?.run()?;
        Ok(ShutdownKind::Graceful)
    })
}

fn run_daemon(settings: Settings) -> ExitCode {
    run_logged(Daemon::open_log(&settings), |log| {
        let daemon = Daemon::start_logging_to(settings, log)?;
        run(daemon).map_err(|err| format!("cannot install signal handlers: {err}").into())
    })
}

/// Calls `run`, and reports an error or a panic that ends it.
fn run_logged(
    log: ProcessLog,
    run: impl FnOnce(&ProcessLog) -> Result<ShutdownKind, Box<dyn Error>>,
) -> ExitCode {
    log.report_panics();
    match catch_unwind(AssertUnwindSafe(|| run(&log))) {
        Ok(Ok(ShutdownKind::Graceful)) => return ExitCode::SUCCESS,
        Ok(Ok(ShutdownKind::Forced)) => {}
        Ok(Err(err)) => log.close_with(&err),
        Err(panic) => log.close_with(&format_args!("a thread panicked: {}", message(&*panic))),
    }
    ExitCode::FAILURE
}

/// Returns the message of a panic.
fn message(panic: &(dyn Any + Send)) -> &str {
    let text = panic.downcast_ref::<&str>().copied();
    let text = text.or_else(|| panic.downcast_ref::<String>().map(String::as_str));
    text.unwrap_or("not a text")
}

/// Waits for the process to end and forwards signals to it: the first begins a graceful shutdown,
/// the second forces it.
fn run(daemon: Daemon) -> io::Result<ShutdownKind> {
    System::new().block_on(async {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let mut is_shutting_down = false;
        while !daemon.is_finished() {
            if !wait_for_signal(&mut terminate, &mut interrupt).await {
                continue;
            }
            if std::mem::replace(&mut is_shutting_down, true) {
                daemon.force_shutdown();
            } else {
                daemon.shutdown();
            }
        }
        Ok(daemon.join())
    })
}

/// Returns whether a signal arrived within [`POLL_INTERVAL`].
async fn wait_for_signal(terminate: &mut Signal, interrupt: &mut Signal) -> bool {
    tokio::select! {
        _ = terminate.recv() => true,
        _ = interrupt.recv() => true,
        () = actix_rt::time::sleep(POLL_INTERVAL) => false,
    }
}
