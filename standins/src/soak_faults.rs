//! Which faults a soak has, and when: a plan drawn from its seed.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// One kind of fault; those with a span end after it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// A gateway is ended with no warning and started again.
    Kill,
    /// All gateways are ended at once and started again.
    KillAll,
    /// A gateway is told to end, and started again when it has.
    Terminate,
    /// A gateway stands still.
    Suspend,
    /// The store is away for one gateway, in one of several ways.
    StoreUnavailableForOne,
    /// The store is away for all.
    StoreUnavailable,
    /// The store answers late.
    StoreSlow,
    /// Appends are done and not answered.
    LostAppendResponses,
    /// Appends are done later.
    DelayedAppends,
    /// The store forgets its history.
    ForgetHistory,
    /// The way to a server is late, cut, one-sided or silent.
    ServerLink,
    /// A server refuses, loses, cuts, doubles or mixes up answers.
    FaultyResponses,
    /// A server is entered as leaving, and later as ready again.
    ServerDraining,
    /// A new version of the configuration is published.
    ConfigUpdate,
    /// Callers leave in the middle of answers.
    CallersDisconnect,
}

/// All kinds.
const KINDS: [Fault; 15] = [
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
/// The mean pause between the starts of two faults: short against their spans, so that they overlap.
const PAUSE_MS: u64 = 350;
/// The longest span of a fault.
const MAX_SPAN_MS: u64 = 1_500;

/// A fault of a plan.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlannedFault {
    /// When it begins, after the start of the run.
    pub offset: Duration,
    /// How long it lasts, where it has a span.
    pub duration: Duration,
    /// What it is.
    pub fault: Fault,
    /// Draws the one that it strikes and the way in which.
    pub random_value: u64,
}

/// The faults of a run of `length` by its seed.
#[must_use]
pub fn plan_faults(seed: u64, length: Duration) -> Vec<PlannedFault> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut planned = Vec::new();
    // Programs are under way when the first fault comes.
    let mut offset = Duration::from_millis(PAUSE_MS);
    while offset < length {
        planned.push(PlannedFault {
            offset,
            duration: Duration::from_millis(random.random_range(100..=MAX_SPAN_MS)),
            fault: KINDS[random.random_range(0..KINDS.len())],
            random_value: random.random(),
        });
        offset += Duration::from_millis(random.random_range(1..=2 * PAUSE_MS));
    }
    planned
}
