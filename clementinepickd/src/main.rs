//! Runs one process of clementinepick in the role that its settings file names.

use std::error::Error;
use std::io;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant};

use actix_rt::System;
use argh::FromArgs;
use clementinepickd::gateway::{Gateway, GatewayError};
use clementinepickd::gateway_settings::GatewaySettings;
use clementinepickd::process_log::{
    ProcessLog, caught_message, print_failure, report_early_failure, report_early_panics,
    report_early_stop,
};
use clementinepickd::settings::Settings;
use clementinepickd::settings_file::{ProcessSettings, SettingsError};
use clementinepickd::stop_signals::{BlockedSignals, ReceivedSignals, SignalMeaning, StopSignals};
use clementinepickd::{Daemon, ShutdownKind, StartError, settings_file};

const INVALID_SETTINGS_EXIT_CODE: u8 = 2;
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// How long and how often invalid settings are read again: the file may be in the middle of a change.
const SETTINGS_TIMEOUT: Duration = Duration::from_secs(1);
const SETTINGS_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Run one process of clementinepick: a gateway or an entry, which accept callers' requests, or a
/// sidecar, which runs next to a backend server.
///
/// SIGTERM, SIGINT and SIGQUIT begin a graceful shutdown; a second one ends an entry or a sidecar at once, and
/// unfinished calls are answered with what is known of them. Other signals that can be handled change nothing.
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
    let blocked = match BlockedSignals::block() {
        Ok(blocked) => blocked,
        Err(err) => return fail_without_signals(&err),
    };
    let arguments: Arguments = argh::from_env();
    let Some(path) = settings_path(&arguments) else {
        report_early_failure(&"no settings file given; pass --settings PATH");
        return ExitCode::from(INVALID_SETTINGS_EXIT_CODE);
    };
    if arguments.check {
        let unblocked = blocked.unblock();
        return unblocked.map_or_else(|err| fail_without_signals(&err), |()| check(&path));
    }
    report_early_panics();
    match StopSignals::install(&blocked) {
        Ok(signals) => run(&path, signals),
        Err(err) => fail_without_signals(&err),
    }
}

fn fail_without_signals(error: &io::Error) -> ExitCode {
    report_early_failure(&format_args!("cannot install signal handlers: {error}"));
    ExitCode::FAILURE
}

fn run(path: &Path, mut signals: StopSignals) -> ExitCode {
    match load_settings(path, &mut signals) {
        Ok(Some(ProcessSettings::Daemon(settings))) => run_daemon(*settings, signals),
        Ok(Some(ProcessSettings::Gateway(settings))) => run_gateway(*settings, signals),
        Ok(None) => {
            report_early_stop();
            ExitCode::SUCCESS
        }
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
            print_failure(&err);
            ExitCode::from(INVALID_SETTINGS_EXIT_CODE)
        }
    }
}

fn settings_path(arguments: &Arguments) -> Option<PathBuf> {
    let named = std::env::var_os(platform::SETTINGS_VARIABLE).map(PathBuf::from);
    arguments.settings.clone().or(named)
}

/// Reads the settings, again until [`SETTINGS_TIMEOUT`] has passed if they are missing or invalid; returns none
/// if the process is told to stop meanwhile.
fn load_settings(
    path: &Path,
    signals: &mut StopSignals,
) -> Result<Option<ProcessSettings>, SettingsError> {
    let started_at = Instant::now();
    loop {
        match settings_file::load_process(path) {
            Err(_) if started_at.elapsed() < SETTINGS_TIMEOUT => {
                if signals.is_stopped_within(SETTINGS_RETRY_INTERVAL) {
                    return Ok(None);
                }
            }
            result => return result.map(Some),
        }
    }
}

fn run_gateway(settings: GatewaySettings, mut signals: StopSignals) -> ExitCode {
    run_logged(Gateway::open_log(&settings), |log| {
        match Gateway::bind(settings, log, &mut signals) {
            Ok(gateway) => gateway.run(signals.into_received())?,
            Err(GatewayError::Stopped) => log.log_early_stop(),
            Err(err) => return Err(err.into()),
        }
        Ok(ShutdownKind::Graceful)
    })
}

fn run_daemon(settings: Settings, mut signals: StopSignals) -> ExitCode {
    run_logged(
        Daemon::open_log(&settings),
        |log| match Daemon::start_logging_to(settings, log, &mut signals) {
            Ok(daemon) => join(daemon, log, signals.into_received()),
            Err(StartError::Stopped) => {
                log.log_early_stop();
                Ok(ShutdownKind::Graceful)
            }
            Err(err) => Err(err.into()),
        },
    )
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
        Err(panic) => log.close_with(&format_args!(
            "a thread panicked: {}",
            caught_message(&*panic)
        )),
    }
    ExitCode::FAILURE
}

/// Waits for the process to end and forwards signals to it: the first begins a graceful shutdown,
/// the second forces it. Returns an error if it ends by itself.
fn join(
    daemon: Daemon,
    log: &ProcessLog,
    mut signals: ReceivedSignals,
) -> Result<ShutdownKind, Box<dyn Error>> {
    System::new().block_on(async {
        let mut is_shutting_down = false;
        while !daemon.is_finished() {
            let Ok(meaning) = actix_rt::time::timeout(POLL_INTERVAL, signals.next()).await else {
                continue;
            };
            if let Some(event) = meaning.event() {
                log.write(&event);
            }
            if meaning != SignalMeaning::Stop {
                continue;
            }
            if std::mem::replace(&mut is_shutting_down, true) {
                daemon.force_shutdown();
            } else {
                daemon.shutdown();
            }
        }
        let kind = daemon.join();
        if is_shutting_down {
            Ok(kind)
        } else {
            Err("a thread ended by itself".into())
        }
    })
}
