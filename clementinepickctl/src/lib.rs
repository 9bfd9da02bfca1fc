//! Implements the operator's command line of clementinepick, as a library for its tests.
//!
//! [`publish`] is the state machine of a publication and does no I/O; [`client`] sends HTTP
//! requests; [`run`] executes the commands with both.

pub mod args;
pub mod client;
mod config_reader;
pub mod diff;
pub mod exit;
pub mod explain;
pub mod history;
pub mod ledger;
mod platform_commands;
pub mod publish;
pub mod run;
pub mod status;
