//! The decisions of clementinepick, a scheduler for agent programs.
//!
//! Nothing here owns a socket, a thread, a clock or a global. A daemon, a test or a virtual-time
//! run feeds typed inputs and the present time into [`entry::Entry`] and [`sidecar::Sidecar`] and
//! carries out the typed actions that come back.
//!
//! A call flows one way through filters, one module each: [`parse`], [`own`], [`order`],
//! [`budget`], [`route`], [`journal`] (the claim of a non-idempotent call, and the record of a
//! turn), [`gate`]. What lasts goes through [`record`] and is rebuilt by [`replay`].
//!
//! ```
//! use clementinepick::document::Document;
//!
//! let text = "[service]\nname = agent-llm\nkind = engine\n\n[class concierge]\nrank = 1\n";
//! let document = Document::parse(text)?;
//! assert_eq!(document.service.as_str(), "agent-llm");
//! # Ok::<(), clementinepick::document::DocumentError>(())
//! ```

pub mod budget;
pub mod call;
pub mod config;
pub mod document;
pub mod entry;
pub mod error;
pub mod event;
pub mod gate;
pub mod ids;
pub mod journal;
pub mod message;
pub mod order;
pub mod own;
pub mod parse;
pub mod platform;
pub mod predict;
pub mod prompt;
pub mod record;
pub mod replay;
pub mod retain;
pub mod route;
pub mod sidecar;
pub mod units;
