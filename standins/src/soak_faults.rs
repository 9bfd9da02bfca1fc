//! Plans the faults of a soak and their times from its seed.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// A kind of fault; some end after the planned duration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// A gateway is killed and restarted.
    Kill,
    /// All gateways are killed at once and restarted.
    KillAll,
    /// A gateway is shut down gracefully and restarted.
    Terminate,
    /// A gateway's process is suspended.
    Suspend,
    /// The store is unavailable for one gateway, in one of several ways.
    StoreUnavailableForOne,
    /// The store is unavailable for all gateways.
    StoreUnavailable,
    /// The store responds late.
    StoreSlow,
    /// Appends are executed, but their responses are lost.
    LostAppendResponses,
    /// Appends are executed late.
    DelayedAppends,
    /// The store discards its history.
    ForgetHistory,
    /// The link to a server is slow, reset, one-way or silent.
    ServerLink,
    /// A server refuses requests, or its responses are lost, truncated, duplicated or mixed up.
    FaultyResponses,
    /// A server's state in the store is set to draining, and later back to ready.
    ServerDraining,
    /// A new version of the configuration is published.
    ConfigUpdate,
    /// Callers disconnect before their responses.
    CallersDisconnect,
}

const FAULT_KINDS: [Fault; 15] = [
    Fault::Kill,
    Fault::KillAll,
    Fault::Terminate,
    Fault::Suspend,
    Fault::StoreUnavailableForOne,
    Fault::StoreUnavailable,
    Fault::StoreSlow,
    Fault::LostAppendResponses,
    Fault::DelayedAppends,
    Fault::ForgetHistory,
    Fault::ServerLink,
    Fault::FaultyResponses,
    Fault::ServerDraining,
    Fault::ConfigUpdate,
    Fault::CallersDisconnect,
];
/// The mean time between the starts of two faults, short enough that faults overlap.
const MEAN_INTERVAL_MS: u64 = 350;
const MAX_DURATION_MS: u64 = 1_500;

/// A fault of a plan.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlannedFault {
    /// When it begins, from the start of the run.
    pub offset: Duration,
    /// How long it lasts, if it is of a kind that ends.
    pub duration: Duration,
    /// The kind of fault.
    pub fault: Fault,
    /// Determines its target and variant.
    pub random_value: u64,
}

/// Returns the faults for `seed` in a run of `length`.
#[must_use]
pub fn plan_faults(seed: u64, length: Duration) -> Vec<PlannedFault> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut planned = Vec::new();
    // The first fault comes once programs are running.
    let mut offset = Duration::from_millis(MEAN_INTERVAL_MS);
    while offset < length {
        planned.push(PlannedFault {
            offset,
            duration: Duration::from_millis(random.random_range(100..=MAX_DURATION_MS)),
            fault: FAULT_KINDS[random.random_range(0..FAULT_KINDS.len())],
            random_value: random.random(),
        });
        offset += Duration::from_millis(random.random_range(1..=2 * MEAN_INTERVAL_MS));
    }
    planned
}
