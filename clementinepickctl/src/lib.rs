//! The operator's command line of clementinepick, as a library for its tests.
//!
//! [`publish`] decides what a publication does next and knows no socket; [`client`] speaks HTTP;
//! [`run`] joins the two, command by command.

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
