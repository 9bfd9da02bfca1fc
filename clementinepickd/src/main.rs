//! Runs one process of clementinepick in the role that its settings file names.

use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant};

use actix_rt::System;
use argh::FromArgs;
use clementinepickd::gateway::Gateway;
use clementinepickd::gateway_settings::GatewaySettings;
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
        eprintln!("no settings file given; pass --settings PATH");
        return ExitCode::from(INVALID_SETTINGS_EXIT_CODE);
    };
    if let Err(err) = keep_running_on_hangups() {
        eprintln!("cannot install signal handlers: {err}");
        return ExitCode::FAILURE;
    }
    let timeout = if arguments.check {
        Duration::ZERO
    } else {
        SETTINGS_TIMEOUT
    };
    let settings = match load_settings(&path, timeout) {
        Ok(settings) => settings,
        Err(err) => {
            eprintln!("{err}");
            return ExitCode::from(INVALID_SETTINGS_EXIT_CODE);
        }
    };
    if arguments.check {
        println!("{}: settings are valid", path.display());
        return ExitCode::SUCCESS;
    }
    match settings {
        ProcessSettings::Daemon(settings) => run_daemon(*settings),
        ProcessSettings::Gateway(settings) => run_gateway(*settings),
    }
}

fn settings_path(arguments: &Arguments) -> Option<PathBuf> {
    let named = std::env::var_os(platform::SETTINGS_VARIABLE).map(PathBuf::from);
    arguments.settings.clone().or(named)
}

/// Installs a handler of SIGHUP, which would otherwise end the process until it handles signals.
fn keep_running_on_hangups() -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_io()
        .build()?;
    // The handler stays when its receiver and the runtime are dropped.
    runtime.block_on(async { signal(SignalKind::hangup()).map(drop) })
}

/// Reads the settings, again until `timeout` has passed if they are missing or invalid.
fn load_settings(path: &Path, timeout: Duration) -> Result<ProcessSettings, SettingsError> {
    let started_at = Instant::now();
    loop {
        match settings_file::load_process(path) {
            Err(_) if started_at.elapsed() < timeout => {
                std::thread::sleep(SETTINGS_RETRY_INTERVAL);
            }
            result => return result,
        }
    }
}

fn run_gateway(settings: GatewaySettings) -> ExitCode {
    match Gateway::bind(settings).and_then(Gateway::run) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("{err}");
            ExitCode::FAILURE
        }
    }
}

fn run_daemon(settings: Settings) -> ExitCode {
    let daemon = match Daemon::start(settings) {
        Ok(daemon) => daemon,
        Err(err) => {
            eprintln!("{err}");
            return ExitCode::FAILURE;
        }
    };
    match run(daemon) {
        Ok(ShutdownKind::Graceful) => ExitCode::SUCCESS,
        Ok(ShutdownKind::Forced) => ExitCode::FAILURE,
        Err(err) => {
            eprintln!("cannot install signal handlers: {err}");
            ExitCode::FAILURE
        }
    }
}

/// Waits for the process to end and forwards signals to it: the first begins a graceful shutdown,
/// the second forces it.
fn run(daemon: Daemon) -> std::io::Result<ShutdownKind> {
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
