//! Defines the commands, arguments and help texts of the command line.

use argh::FromArgs;
use clementinepick::ids::{OperationId, Revision, ServiceName, VmId};

/// Publish configuration documents and inspect a running clementinepick.
///
/// Addresses have the form `ip:port`. `--log`, `--entry` and `--vms` default to the environment
/// variables `CLEMENTINEPICK_LOG`, `CLEMENTINEPICK_ENTRIES` (comma-separated) and
/// `CLEMENTINEPICK_VMS`.
#[derive(FromArgs, Debug)]
#[argh(
    example = "{command_name} check agent-llm.ini",
    example = "{command_name} publish agent-llm.ini --log 10.0.0.5:9000 --base 7",
    example = "{command_name} --json status --entry 10.0.1.1:8080 --vms 10.0.0.5:9001",
    note = "With `--json`, each command prints one JSON object.",
    error_code(2, "documents differ, or a process is not up to date"),
    error_code(3, "the document or file is invalid; nothing was published"),
    error_code(4, "an earlier publication conflicts; nothing was published"),
    error_code(
        5,
        "the outcome of the publication is unknown; run again with --resume"
    ),
    error_code(6, "a process or the log is unreachable; nothing was changed"),
    error_code(7, "the requested item does not exist")
)]
pub struct Args {
    /// print the result as one JSON object
    #[argh(switch)]
    pub json: bool,
    /// timeout of one request, in seconds
    #[argh(option, default = "5")]
    pub timeout_s: u64,
    /// the command to run
    #[argh(subcommand)]
    pub command: Command,
}

/// A command with its arguments.
#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub enum Command {
    /// Validate documents.
    Check(Check),
    /// Compare a document with the active one.
    Diff(Diff),
    /// Publish a document.
    Publish(Publish),
    /// List publications.
    History(History),
    /// Show which revision is active on which process.
    Status(Status),
    /// Print the state of processes.
    Dump(Dump),
    /// List programs.
    Programs(Programs),
    /// Drain a process.
    Drain(Drain),
    /// Explain events and errors.
    Events(Events),
    /// Show the state of gateways.
    Gateway(GatewayArgs),
    /// Trace a request or program through log files.
    Explain(Explain),
    /// Show the ledger's records of a program or a turn.
    Ledger(Ledger),
    /// Validate the platform's deployment file.
    CheckDeploy(CheckDeploy),
}

/// Show the ledger's records of a program's budget, or of a turn and the turns before it, as a
/// gateway reads them from the platform's store.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "ledger",
    example = "{command_name} 10.0.1.1:9464 --program c5e86532689f51",
    example = "{command_name} 10.0.1.1:9464 --turn 9c41d07be2a35f68"
)]
pub struct Ledger {
    /// metrics address of a gateway
    #[argh(positional)]
    pub address: String,
    /// id of the program
    #[argh(option)]
    pub program: Option<String>,
    /// id of the turn's request
    #[argh(option)]
    pub turn: Option<String>,
}

/// Validate the platform's deployment file, which lists the roles, and the templates it refers to.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "check-deploy",
    example = "{command_name} deploy/system.toml",
    note = "Template paths are relative to the parent of the file's directory."
)]
pub struct CheckDeploy {
    /// the deployment file
    #[argh(positional)]
    pub file: String,
}

/// Show the state of gateways: configuration, backend servers, peers, store and programs.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "gateway",
    example = "{command_name} 10.0.1.1:9464 10.0.1.2:9464"
)]
pub struct GatewayArgs {
    /// metrics addresses of the gateways
    #[argh(positional)]
    pub addresses: Vec<String>,
}

/// Print the log lines of a request, or of all requests of a program, in order of time.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "explain",
    example = "{command_name} 9c41d07be2a35f68 gateway-1.log gateway-2.log",
    note = "Text before a line's JSON object, such as a log collector's prefix, is ignored."
)]
pub struct Explain {
    /// id of the request or program
    #[argh(positional)]
    pub id: String,
    /// log files
    #[argh(positional)]
    pub files: Vec<String>,
}

/// Validate documents and print the error of each invalid one.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "check",
    example = "{command_name} agent-llm.ini book-app.ini"
)]
pub struct Check {
    /// document files
    #[argh(positional)]
    pub files: Vec<String>,
}

/// Compare a document with the active one of its service.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "diff",
    example = "{command_name} agent-llm.ini --log 10.0.0.5:9000"
)]
pub struct Diff {
    /// document file
    #[argh(positional)]
    pub file: String,
    /// address of the log service
    #[argh(option)]
    pub log: Option<String>,
}

/// Publish a document to all processes.
///
/// Prints the new revision, the conflicting publication, or the document's error. If the log does
/// not confirm the publication, prints the operation's id: `--resume` then determines the outcome
/// and never publishes twice.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "publish",
    example = "{command_name} agent-llm.ini --log 10.0.0.5:9000 --base 7",
    example = "{command_name} --resume 6d0c...f3 --log 10.0.0.5:9000",
    example = "{command_name} agent-llm.ini --resume 6d0c...f3 --base 7 --log 10.0.0.5:9000"
)]
pub struct Publish {
    /// document file; with `--resume`, leave it out to query the outcome without publishing
    #[argh(positional)]
    pub file: Option<String>,
    /// address of the log service
    #[argh(option)]
    pub log: Option<String>,
    /// revision that the document is based on; defaults to the active one, which is then replaced
    /// whoever published it
    #[argh(option)]
    pub base: Option<Revision>,
    /// operation id of an earlier run whose outcome is unknown
    #[argh(option)]
    pub resume: Option<OperationId>,
    /// author shown by `history`; defaults to the user's name
    #[argh(option)]
    pub author: Option<VmId>,
    /// number of failed requests to the log after which the command gives up
    #[argh(option, default = "6")]
    pub max_failures: u32,
}

/// List the publications retained by the log, or print the document of one.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "history",
    example = "{command_name} agent-llm --log 10.0.0.5:9000",
    example = "{command_name} --show 6d0c...f3 --log 10.0.0.5:9000"
)]
pub struct History {
    /// list only this service's publications
    #[argh(positional)]
    pub service: Option<ServiceName>,
    /// address of the log service
    #[argh(option)]
    pub log: Option<String>,
    /// print the document published by this operation
    #[argh(option)]
    pub show: Option<OperationId>,
}

/// Show, for each service, on how many of its processes the newest revision is active.
///
/// Entries report their own revisions and those in the last heartbeat of each peer. With `--vms`,
/// listed processes that no entry has heard from are counted too.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "status",
    example = "{command_name} --entry 10.0.1.1:8080 --entry 10.0.2.1:8080 --vms 10.0.0.5:9001"
)]
pub struct Status {
    /// HTTP address of an entry or sidecar; may be repeated
    #[argh(option)]
    pub entry: Vec<String>,
    /// address of the service that lists the VMs
    #[argh(option)]
    pub vms: Option<String>,
}

/// Print the full state of processes.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "dump",
    example = "{command_name} --entry 10.0.1.1:8080"
)]
pub struct Dump {
    /// HTTP address of an entry or sidecar; may be repeated
    #[argh(option)]
    pub entry: Vec<String>,
}

/// List the programs that entries own.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "programs",
    example = "{command_name} --entry 10.0.1.1:8080"
)]
pub struct Programs {
    /// HTTP address of an entry; may be repeated
    #[argh(option)]
    pub entry: Vec<String>,
}

/// Ask a process to accept no new work, finish its running calls and exit.
///
/// The key is the process's `[process] admin_key`. It is read from a file or from the environment
/// variable `CLEMENTINEPICK_ADMIN_KEY`, since other users can see command-line arguments.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "drain",
    example = "{command_name} --entry 10.0.1.1:8080 --key-file /run/secrets/admin-key"
)]
pub struct Drain {
    /// HTTP address of the entry or sidecar
    #[argh(option)]
    pub entry: Vec<String>,
    /// file with the admin key
    #[argh(option)]
    pub key_file: Option<String>,
}

/// Describe an event, given its number or name, or an error, given its code; without an argument,
/// list all.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "events",
    example = "{command_name} 304",
    example = "{command_name} not_ready"
)]
pub struct Events {
    /// event number, event name or error code
    #[argh(positional)]
    pub what: Option<String>,
}
