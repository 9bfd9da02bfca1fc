//! Small fakes of what lies outside clementinepick, and the tools that drive it.

pub mod cache;
pub mod policy;
pub mod policy_draw;
pub mod policy_engine;
pub mod policy_entry;
pub mod policy_host;
pub mod policy_knobs;
pub mod policy_mix;
pub mod policy_mixes;
pub mod policy_program;
pub mod policy_result;
pub mod policy_run;
pub mod policy_table;
