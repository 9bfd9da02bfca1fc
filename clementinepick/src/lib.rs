//! Decision logic of clementinepick, a scheduler for agent programs.
//!
//! The crate opens no sockets, starts no threads, reads no clock and has no global state. A daemon,
//! a test or a simulation passes typed inputs and the current time to [`entry::Entry`] and
//! [`sidecar::Sidecar`] and executes the typed actions that they return.
//!
//! A call passes through these steps in order, one module each:
//!
//! | step | module | rules and state in |
//! |---|---|---|
//! | parse the request | [`http_request`] | |
//! | validate it against the active document | `step_validate` | [`config`], [`document`] |
//! | find the owner of its program | `step_owner` | [`rendezvous`], [`partition_replay`] |
//! | detect a repeat of an earlier call | `step_dedup` | |
//! | wait for the program's earlier calls | `step_sequence` | [`sequencer`] |
//! | reserve its budget | `step_budget` | [`budget`] |
//! | choose a backend server | `step_route` | [`route`], [`retry`] |
//! | record the start of a non-idempotent call | `step_start` | [`journal`], [`record`] |
//! | wait to be admitted to the server | `sidecar_calls` | [`admission_queue`], [`predict`] |
//! | return the answer | `answer` | |
//! | record the turn | `step_record` | [`journal`], [`record`] |
//!
//! `recovery` resolves the calls that a failed owner left open. [`prefix_retention`] and
//! `sidecar_cache` manage the engine cache that programs hold.
//!
//! ```
//! use clementinepick::document::Document;
//!
//! let text = "[service]\nname = agent-llm\nkind = engine\n\n[class concierge]\nrank = 1\n";
//! let document = Document::parse(text)?;
//! assert_eq!(document.service.as_str(), "agent-llm");
//! # Ok::<(), clementinepick::document::DocumentError>(())
//! ```

pub mod admission_queue;
mod answer;
mod answer_text;
pub mod budget;
pub mod budget_ledger;
pub mod call;
mod call_state;
pub mod config;
pub mod config_replay;
pub mod connection_account;
pub mod document;
mod document_check;
pub mod document_read;
mod dump;
pub mod ended_servers;
pub mod entry;
mod entry_config;
mod entry_links;
mod entry_log;
mod entry_members;
mod entry_orders;
mod entry_tick;
pub mod error;
pub mod event;
pub mod event_stream;
pub mod expiring_map;
pub mod failure_rate;
mod fetch;
mod handover;
mod history;
pub mod http_request;
pub mod ids;
mod ini_sections;
mod invariants;
pub mod journal;
pub mod limit_history;
pub mod listed_versions;
pub mod membership;
pub mod memory_pool;
pub mod message;
pub mod outage_detector;
pub mod partition_replay;
mod partition_state;
pub mod peer_liveness;
pub mod placement;
pub mod placement_target;
pub mod platform;
pub mod predict;
pub mod prefix_retention;
mod program_end;
pub mod prompt;
pub mod record;
pub mod record_expiry;
mod recovery;
pub mod refusal;
pub mod rendezvous;
mod request_ends;
pub mod request_key;
pub mod retry;
pub mod route;
pub mod rules;
pub mod safeguards;
pub mod sequencer;
pub mod server_list;
pub mod server_selection;
pub mod shutdown_schedule;
pub mod sidecar;
mod sidecar_cache;
mod sidecar_calls;
mod sidecar_engine;
mod sidecar_fence;
mod sidecar_orders;
mod sidecar_retain;
mod sidecar_types;
mod snapshot;
pub mod start_doubts;
mod step_budget;
mod step_dedup;
mod step_owner;
mod step_record;
mod step_route;
mod step_sequence;
mod step_start;
mod step_validate;
pub mod stream_origin;
pub mod text_memory;
pub mod traffic_config;
pub mod turn_chain;
pub mod units;
