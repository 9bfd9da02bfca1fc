//! Runs the state machines of the crate [`clementinepick`] as a process with sockets, threads and
//! clocks, in the role of an entry, a sidecar or a gateway.
//!
//! In the roles entry and sidecar, one control thread, spawned by [`Daemon::start`], owns the
//! state. Other threads serve links, callers' connections and requests to the platform, and
//! exchange typed messages with it. A [`gateway`] starts threads of its own.

mod answer;
mod answer_queue;
mod budget_messages;
mod callers;
mod clients;
mod config_follower;
mod control;
mod control_messages;
mod daemon;
mod directory;
mod engine_client;
mod followed_topic;
pub mod gateway;
mod gateway_attempts;
mod gateway_budget;
mod gateway_budget_peer;
mod gateway_call;
mod gateway_connection;
mod gateway_ended;
mod gateway_ended_messages;
mod gateway_ended_upkeep;
mod gateway_exchange;
mod gateway_ledger_query;
mod gateway_maintenance;
mod gateway_metrics;
mod gateway_origins;
mod gateway_peer;
mod gateway_peer_turns;
mod gateway_peer_updates;
mod gateway_prefetch;
mod gateway_reply;
mod gateway_request;
pub mod gateway_settings;
mod gateway_shared;
mod gateway_stream;
mod gateway_trace;
pub mod handshake;
mod http;
mod http_calls;
mod http_receive;
mod http_reply;
mod ini_reader;
mod ledger;
mod ledger_budgets;
mod ledger_holds;
mod ledger_homes;
mod ledger_partitions;
mod ledger_sweep;
mod ledger_turn_cache;
mod ledger_turn_records;
mod ledger_turns;
mod line_splitter;
mod link;
mod link_manager;
mod link_queue;
mod log_client;
mod logging;
mod monotonic_clock;
mod outbound;
mod outbound_pool;
mod partition_reader;
mod plain_client;
mod process_registry;
mod response_body;
mod role_logic;
mod safeguard;
mod server_follower;
mod server_probe;
pub mod settings;
pub mod settings_file;
mod store;
mod tasks;
mod telemetry;
mod topic_watch;
mod unix_time;
mod vm_list_client;

pub use daemon::{Daemon, ShutdownKind, StartError};
pub use ledger::LedgerSettings;
