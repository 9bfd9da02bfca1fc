//! Provides test doubles (stand-ins) of the systems outside clementinepick, and the tools that drive
//! it.
//!
//! The core of each stand-in uses no socket, thread or clock: simulations in virtual time call it
//! directly, and the daemons reach it through an HTTP server.

pub mod answer;
pub mod balancer;
pub mod cache;
pub mod caller;
pub mod capacity;
pub mod chaos;
pub mod chaos_backend;
pub mod chaos_backend_events;
pub mod chaos_caller_events;
pub mod chaos_callers;
pub mod chaos_checks;
pub mod chaos_fault_injection;
pub mod chaos_faults;
pub mod chaos_links;
pub mod chaos_platform;
pub mod chaos_process;
pub mod chaos_world;
pub mod clock;
pub mod demo;
pub mod deployment;
pub mod engine;
pub mod engine_memory;
pub mod engine_orders;
mod engine_reports;
mod failure;
mod http;
pub mod http_engine;
pub mod http_plain;
pub mod http_platform;
pub mod load;
pub mod log_service;
pub mod plain_service;
pub mod platform_backend;
pub mod platform_caller;
pub mod platform_run;
pub mod platform_store;
pub mod plot;
pub mod policy;
mod policy_backend_selector;
mod policy_backend_vm;
mod policy_engine;
mod policy_mixes;
mod policy_plot;
mod policy_program;
pub mod policy_result;
mod policy_run;
mod policy_run_settings;
mod policy_sampling;
mod policy_table;
mod policy_workload;
pub mod process_gateways;
pub mod report;
pub mod run_program;
pub mod script;
mod sequence;
pub mod serve;
pub mod server_fleet;
pub mod servers;
pub mod soak;
mod soak_callers;
pub mod soak_faults;
pub mod soak_history;
pub mod soak_process;
pub mod soak_proxy;
pub mod soak_world;
mod step_clock;
pub mod tool_service;
pub mod vm_list;
pub mod weight_store;
pub mod wire_server;

pub use failure::Failure;
