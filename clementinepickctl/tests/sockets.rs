//! Tests the command line over sockets, with a simulated log and two real daemons.

use std::fs;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;

use argh::FromArgs;
use clementinepick::ids::VmId;
use clementinepick::platform::{Vm, VmRole, VmState};
use clementinepick::units::SpanUs;
use clementinepickctl::args::Args;
use clementinepickctl::exit::{CommandError, ExitCode, Report};
use clementinepickctl::run::run;
use clementinepickd::settings::{
    BackendKind, EntryRole, LinkKey, LinkKeys, LinkSettings, LogLevel, Role, Settings,
    ShutdownSettings, SidecarRole,
};
use clementinepickd::{Daemon, ShutdownKind};
use standins::log_service::LogSettings;
use standins::servers::{ServerSettings, Servers};
use standins::weight_store::WeightSettings;

const ANY_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
/// The number of polls after which the test fails.
const MAX_POLLS: usize = 600;
const POLL_INTERVAL: Duration = Duration::from_millis(50);

fn start_servers() -> Servers {
    let settings = ServerSettings {
        log: (ANY_PORT, LogSettings::default()),
        vms: (ANY_PORT, SpanUs(0)),
        weights: (ANY_PORT, WeightSettings::default()),
        tools: ANY_PORT,
        engines: Vec::new(),
        plains: Vec::new(),
        workers: 1,
        takes_signals: false,
    };
    Servers::start(&settings).expect("free ports")
}

/// A temporary file, deleted on drop.
struct TempFile(PathBuf);

impl TempFile {
    fn new(name: &str, text: &str) -> Self {
        let name = format!("clementinepickctl-{}-{name}", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::write(&path, text).expect("a writable directory");
        Self(path)
    }

    fn path(&self) -> &str {
        self.0.to_str().expect("text")
    }
}

impl Drop for TempFile {
    fn drop(&mut self) {
        let _ = fs::remove_file(&self.0);
    }
}

fn document(rank: u32) -> String {
    format!("[service]\nname = s\nkind = plain\n[class c]\nrank = {rank}\n")
}

async fn run_command(args: &[&str]) -> Result<Report, CommandError> {
    run(Args::from_args(&["clementinepickctl"], args).expect("valid arguments")).await
}

async fn exit(args: &[&str]) -> ExitCode {
    run_command(args)
        .await
        .map_or_else(|err| err.exit(), |r| r.exit)
}

#[actix_rt::test]
async fn documents_are_validated_compared_published_and_listed() {
    let servers = start_servers();
    let log = servers.addresses.log.to_string();
    let (first, second) = (
        TempFile::new("1", &document(1)),
        TempFile::new("2", &document(2)),
    );
    let invalid = TempFile::new("3", "[service]\nnmae = s\n");
    assert_eq!(exit(&["check", first.path()]).await, ExitCode::Success);
    assert_eq!(
        exit(&["check", invalid.path()]).await,
        ExitCode::InvalidDocument
    );
    let publish = |file: &TempFile| ["publish", file.path(), "--log", &log].map(str::to_owned);
    let run_publish = async |file: &TempFile, more: &[&str]| {
        let args = publish(file);
        let args: Vec<&str> = args
            .iter()
            .map(String::as_str)
            .chain(more.iter().copied())
            .collect();
        exit(&args).await
    };
    assert_eq!(
        run_publish(&first, &["--author", "ana"]).await,
        ExitCode::Success
    );
    assert_eq!(run_publish(&invalid, &[]).await, ExitCode::InvalidDocument);
    let diff = run_command(&["diff", second.path(), "--log", &log])
        .await
        .expect("a log");
    assert_eq!(
        diff.text,
        "s: against revision 1\n [class c]\n-rank = 1\n+rank = 2"
    );
    assert_eq!(
        run_publish(&second, &["--base", "1"]).await,
        ExitCode::Success
    );
    assert_eq!(
        run_publish(&first, &["--base", "1"]).await,
        ExitCode::Conflict
    );
    let history = run_command(&["history", "s", "--log", &log])
        .await
        .expect("a log");
    let verdicts = history.json["publications"].as_array().expect("a list");
    assert_eq!((verdicts.len(), &verdicts[0]["author"]), (3, &"ana".into()));
    servers.stop().expect("joined");
    assert_eq!(
        run_publish(&second, &["--max-failures", "2"]).await,
        ExitCode::Unreachable
    );
}

fn settings(vm: &str, role: Role) -> Settings {
    let key = LinkKey::new("a key of the command line's tests").expect("long enough");
    Settings {
        vm: vm.parse().expect("a name"),
        zone: "z".parse().expect("a name"),
        role,
        log_level: LogLevel::Off,
        admin_key: LinkKey::new("a key for operators"),
        links: LinkSettings {
            keys: LinkKeys {
                current: key,
                previous: None,
            },
            ..LinkSettings::default()
        },
        shutdown: ShutdownSettings {
            drain_delay_us: SpanUs(0),
            ..ShutdownSettings::default()
        },
        ..Settings::default()
    }
}

fn vm_list_item(vm: &str, role: VmRole, daemon: &Daemon) -> Vm {
    let id: VmId = vm.parse().expect("a name");
    Vm {
        id,
        role,
        service: (role == VmRole::Sidecar).then(|| "s".parse().expect("a name")),
        zone: "z".parse().expect("a name"),
        link_address: daemon.link_address().to_string(),
        state: VmState::Live,
    }
}

// After a publication, `status` must report it as active on both processes once the entry has heard
// so, and must report a listed VM that no entry has heard from.
#[actix_rt::test]
async fn status_reports_when_a_document_is_active_everywhere() {
    let servers = start_servers();
    let (log, vms) = (servers.addresses.log, servers.addresses.vms);
    let sidecar = Daemon::start(settings(
        "car-1",
        Role::Sidecar(SidecarRole {
            service: "s".parse().expect("a name"),
            backend_kind: BackendKind::Plain,
            backend_address: servers.addresses.tools,
            ..SidecarRole::default()
        }),
    ));
    let sidecar = sidecar.expect("free ports");
    let entry = Daemon::start(settings(
        "entry-a",
        Role::Entry(EntryRole {
            log_address: log,
            vms_address: vms,
            ..EntryRole::default()
        }),
    ));
    let entry = entry.expect("free ports");
    servers
        .vms
        .set(vm_list_item("entry-a", VmRole::Entry, &entry));
    servers
        .vms
        .set(vm_list_item("car-1", VmRole::Sidecar, &sidecar));

    let file = TempFile::new("status", &document(1));
    let log = log.to_string();
    let published = exit(&["publish", file.path(), "--log", &log]).await;
    assert_eq!(published, ExitCode::Success);
    let (address, vms) = (entry.http_address().to_string(), vms.to_string());
    let args = ["status", "--entry", &address, "--vms", &vms];
    let mut report = run_command(&args).await.expect("an entry");
    for _ in 0..MAX_POLLS {
        if report.exit == ExitCode::Success {
            break;
        }
        actix_rt::time::sleep(POLL_INTERVAL).await;
        report = run_command(&args).await.expect("an entry");
    }
    assert_eq!(report.text, "s: revision 1 is in force on 2 of 2");

    let mut silent = vm_list_item("car-2", VmRole::Sidecar, &sidecar);
    silent.link_address = "127.0.0.1:1".to_owned();
    servers.vms.set(silent);
    let report = run_command(&args).await.expect("an entry");
    assert_eq!(report.exit, ExitCode::Mismatch, "{}", report.text);
    let dump = run_command(&["dump", "--entry", &address])
        .await
        .expect("an entry");
    assert_eq!(dump.json["processes"][0]["ready"], true);
    let key = TempFile::new("key", "a key for operators\n");
    let wrong = TempFile::new("wrong-key", "a key for others\n");
    for daemon in [&entry, &sidecar] {
        let address = daemon.http_address().to_string();
        let drain = ["drain", "--entry", &address, "--key-file"];
        let refused = [&drain[..], &[wrong.path()]].concat();
        assert_eq!(exit(&refused).await, ExitCode::Unreachable);
        assert_eq!(
            exit(&[&drain[..], &[key.path()]].concat()).await,
            ExitCode::Success
        );
    }
    assert_eq!(entry.join(), ShutdownKind::Graceful);
    assert_eq!(sidecar.join(), ShutdownKind::Graceful);
    servers.stop().expect("joined");
}
