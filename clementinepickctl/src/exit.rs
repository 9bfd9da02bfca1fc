//! Defines the results and errors of commands, and their exit codes.

use serde_json::Value;
use thiserror::Error;

/// The exit code of a command; `docs/OPERATIONS.md` lists them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitCode {
    /// The command succeeded.
    Success,
    /// Documents differ, or not all processes are up to date.
    Mismatch,
    /// The command line is invalid; `argh` itself exits with the same code.
    Usage,
    /// The document or file is invalid; nothing was published.
    InvalidDocument,
    /// An earlier publication conflicts; nothing was published.
    Conflict,
    /// The outcome of the publication is unknown; `--resume` determines it.
    Unknown,
    /// A process or the log is unreachable; nothing was changed.
    Unreachable,
    /// The requested item does not exist.
    NotFound,
}

impl ExitCode {
    /// All codes, ordered by number.
    pub const ALL: &'static [Self] = &[
        Self::Success,
        Self::Usage,
        Self::Mismatch,
        Self::InvalidDocument,
        Self::Conflict,
        Self::Unknown,
        Self::Unreachable,
        Self::NotFound,
    ];

    /// Describes the code in one sentence.
    #[must_use]
    pub const fn meaning(self) -> &'static str {
        match self {
            Self::Success => "Success.",
            Self::Usage => "The command line is invalid.",
            Self::Mismatch => "Documents differ, or a process is not up to date.",
            Self::InvalidDocument => "The document or file is invalid; nothing was published.",
            Self::Conflict => "An earlier publication conflicts; nothing was published.",
            Self::Unknown => {
                "The outcome of the publication is unknown; run again with `--resume`."
            }
            Self::Unreachable => "A process or the log is unreachable; nothing was changed.",
            Self::NotFound => "The requested item does not exist.",
        }
    }

    /// Returns the exit status of the process.
    #[must_use]
    pub const fn number(self) -> u8 {
        match self {
            Self::Success => 0,
            Self::Usage => 1,
            Self::Mismatch => 2,
            Self::InvalidDocument => 3,
            Self::Conflict => 4,
            Self::Unknown => 5,
            Self::Unreachable => 6,
            Self::NotFound => 7,
        }
    }
}

/// The result of a command.
#[derive(Debug, Clone, PartialEq)]
pub struct Report {
    /// The output as text.
    pub text: String,
    /// The output with `--json`.
    pub json: Value,
    /// The exit code.
    pub exit: ExitCode,
}

/// An error that kept a command from producing a report.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum CommandError {
    /// A file can't be read.
    #[error("can't read {path}: {detail}")]
    File {
        /// The path of the file.
        path: String,
        /// The cause.
        detail: String,
    },
    /// A process or the log does not respond, or responds with an error.
    #[error("request to {address} failed: {detail}")]
    Unreachable {
        /// The address of the request.
        address: String,
        /// The cause.
        detail: String,
    },
    /// The log has discarded records that no configuration snapshot covers.
    #[error(
        "the log has discarded records and holds no snapshot that covers them; \
         query an entry with `status` instead"
    )]
    Incomplete,
    /// The command line is invalid.
    #[error("{0}")]
    Usage(String),
    /// The log files have no line of the request or program.
    #[error("no log line mentions {0}; only some successful requests are logged")]
    NoLogLines(String),
    /// The ledger has no record of the program or turn.
    #[error("{0} is not in the ledger, and the gateway has no state of it")]
    NotInLedger(String),
}

impl CommandError {
    /// Returns the exit code for the error.
    #[must_use]
    pub const fn exit(&self) -> ExitCode {
        match self {
            Self::File { .. } | Self::NoLogLines(_) | Self::NotInLedger(_) => ExitCode::NotFound,
            Self::Usage(_) => ExitCode::Usage,
            Self::Unreachable { .. } | Self::Incomplete => ExitCode::Unreachable,
        }
    }
}
