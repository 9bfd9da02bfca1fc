//! Why a command of the stand-ins ends with an error.

use std::io;

use thiserror::Error;

use crate::policy::PolicyError;

/// Why a command failed.
#[derive(Debug, Error)]
pub enum Failure {
    /// A server or file failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// A file is not as it should be.
    #[error("{file}: {detail}")]
    File {
        /// The file.
        file: String,
        /// What is wrong.
        detail: String,
    },
    /// The ports from the base port on do not suffice.
    #[error("there are too few ports above the base port")]
    Ports,
    /// The policy tool can't run.
    #[error("{0}")]
    Policy(#[from] PolicyError),
    /// What was run did not come out as it must.
    #[error("{0}")]
    Check(String),
}
