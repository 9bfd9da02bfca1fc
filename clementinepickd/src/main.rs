//! The daemon: one process of clementinepick, in the role that its settings give it.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use actix_rt::System;
use argh::FromArgs;
use clementinepickd::gateway::Gateway;
use clementinepickd::gateway_settings::GatewaySettings;
use clementinepickd::settings::Settings;
use clementinepickd::settings_file::ProcessSettings;
use clementinepickd::{Daemon, ShutdownKind, settings_file};
use tokio::signal::unix::{Signal, SignalKind, signal};

/// The exit code for wrong settings.
const WRONG_SETTINGS: u8 = 2;
/// The time between two looks at whether the process has ended.
const LOOK: Duration = Duration::from_millis(50);

/// Run one process of clementinepick: a gateway or an entry, which take callers' requests, or a
/// sidecar, which stands beside a backend server.
///
/// SIGTERM and SIGINT begin a graceful shutdown; a second one ends the process at once, with
/// everything unfinished answered as it stands.
#[derive(FromArgs)]
#[argh(
    example = "{command_name} --settings examples/entry-a.ini",
    example = "{command_name} --settings examples/sidecar-0.ini --check",
    error_code(1, "the process was forced to end, or could not start"),
    error_code(2, "the settings are wrong; file, section and key are named")
)]
struct Arguments {
    /// the settings file (INI); docs/SETTINGS.md lists every key. Without it, the file that the
    /// platform names
    #[argh(option)]
    settings: Option<PathBuf>,
    /// check the settings file and exit
    #[argh(switch)]
    check: bool,
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let Some(path) = settings_path(&arguments) else {
        eprintln!("name the settings file with --settings");
        return ExitCode::from(WRONG_SETTINGS);
    };
    let settings = match settings_file::load_process(&path) {
        Ok(settings) => settings,
        Err(err) => {
            eprintln!("{err}");
            return ExitCode::from(WRONG_SETTINGS);
        }
    };
    if arguments.check {
        println!("{}: right", path.display());
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
            eprintln!("signals can't be taken: {err}");
            ExitCode::FAILURE
        }
    }
}

/// Waits for the end of the process, which signals bring about.
fn run(daemon: Daemon) -> std::io::Result<ShutdownKind> {
    System::new().block_on(async {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let mut leaving = false;
        while !daemon.is_finished() {
            if !any_signal(&mut terminate, &mut interrupt).await {
                continue;
            }
            if std::mem::replace(&mut leaving, true) {
                daemon.force_shutdown();
            } else {
                daemon.shutdown();
            }
        }
        Ok(daemon.join())
    })
}

/// Whether a signal came before it is time to look again.
async fn any_signal(terminate: &mut Signal, interrupt: &mut Signal) -> bool {
    tokio::select! {
        _ = terminate.recv() => true,
        _ = interrupt.recv() => true,
        () = actix_rt::time::sleep(LOOK) => false,
    }
}
