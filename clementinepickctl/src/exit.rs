//! What a command answers, and the exit code that goes with it.

use serde_json::Value;
use thiserror::Error;

/// How a command ended; `docs/OPERATIONS.md` lists the codes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitCode {
    /// It did what was asked.
    Success,
    /// The question has the answer no: documents differ, or not all processes are up to date.
    Mismatch,
    /// The command line is wrong; `argh` ends the process with the same code itself.
    Usage,
    /// The document or file is wrong; nothing was published.
    InvalidDocument,
    /// Another publication was first; nothing was published.
    Conflict,
    /// Nobody can tell yet whether it was published: ask again with `--resume`.
    Unknown,
    /// A process or the log can't be reached; nothing was changed.
    Unreachable,
    /// What was asked for does not exist.
    NotFound,
}

impl ExitCode {
    /// All codes.
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

    /// What it means, in a sentence.
    #[must_use]
    pub const fn meaning(self) -> &'static str {
        match self {
            Self::Success => "Done.",
            Self::Usage => "The command line is wrong.",
            Self::Mismatch => "The answer is no: documents differ, or a process is not up to date.",
            Self::InvalidDocument => "The document or file is wrong; nothing was published.",
            Self::Conflict => "Another publication was first; nothing was published.",
            Self::Unknown => {
                "Nobody can tell yet whether it was published; ask again with `--resume`."
            }
            Self::Unreachable => "A process or the log can't be reached; nothing was changed.",
            Self::NotFound => "What was asked for does not exist.",
        }
    }

    /// The code that the process exits with.
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

/// What a command found.
#[derive(Debug, Clone, PartialEq)]
pub struct Report {
    /// For people.
    pub text: String,
    /// For programs, with `--json`.
    pub json: Value,
    /// How the command ended.
    pub exit: ExitCode,
}

/// Why a command could not find anything out.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum CommandError {
    /// A file can't be read.
    #[error("{path}: {detail}")]
    File {
        /// The file.
        path: String,
        /// Why.
        detail: String,
    },
    /// A process or the log does not answer.
    #[error("{address}: {detail}")]
    Unreachable {
        /// Who was asked.
        address: String,
        /// Why.
        detail: String,
    },
    /// The log has dropped records without carrying the configuration forward.
    #[error(
        "the log has dropped records and holds no snapshot that covers them; \
         ask an entry with `status` instead"
    )]
    Incomplete,
    /// The command line is wrong.
    #[error("{0}")]
    Usage(String),
    /// The logs say nothing of what was asked for.
    #[error("no line names {0}; of requests that went well only some are logged")]
    NoLogLines(String),
    /// The ledger has nothing of what was asked for.
    #[error("{0} is not in the ledger, and the gateway holds nothing of it")]
    NotInLedger(String),
}

impl CommandError {
    /// The exit code that goes with it.
    #[must_use]
    pub const fn exit(&self) -> ExitCode {
        match self {
            Self::File { .. } | Self::NoLogLines(_) | Self::NotInLedger(_) => ExitCode::NotFound,
            Self::Usage(_) => ExitCode::Usage,
            Self::Unreachable { .. } | Self::Incomplete => ExitCode::Unreachable,
        }
    }
}
