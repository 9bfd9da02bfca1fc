//! Defines the error type of the commands.

use std::io;

use thiserror::Error;

use crate::policy::PolicyError;

/// Why a command failed.
#[derive(Debug, Error)]
pub enum Failure {
    /// An I/O operation failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// A file has invalid content.
    #[error("{file}: {detail}")]
    File {
        /// The path of the file.
        file: String,
        /// What is wrong.
        detail: String,
    },
    /// The port range above the base port is too small.
    #[error("the base port is too high: the last port would exceed 65535")]
    Ports,
    /// The policy experiment failed.
    #[error("{0}")]
    Policy(#[from] PolicyError),
    /// A check of a run failed, or the run could not be completed.
    #[error("{0}")]
    Check(String),
}
