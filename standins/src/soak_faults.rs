//! Plans the faults of a soak and their times from its seed.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::soak_release_servers::DRAFT_SERVICES;

/// A kind of fault; some end after the planned duration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// A gateway is killed and restarted.
    Kill,
    /// All gateways are killed at once and restarted.
    KillAll,
    /// A gateway is shut down gracefully and restarted.
    Terminate,
    /// A gateway is shut down gracefully, and the next one starts beside it.
    Replace,
    /// A gateway's process is suspended and later killed, and the next one starts beside it.
    ReplaceSuspended,
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
    /// A server, all of a service or all of a software version stop sending for a time and go on with
    /// the same responses.
    ServersPause,
    /// Several versions of the configuration follow each other, each with another idle limit, other
    /// timeouts, or routes at another service while the service before is no longer listed.
    ConfigSeries,
    /// A gateway receives SIGHUP.
    Hangup,
    /// Many requests at once reach a gateway that servers answer without end.
    Flood,
    /// Many callers that do not behave hold their connections to a gateway.
    Crowd,
    /// The next software version of a service of drafts is released.
    Release,
    /// A gateway's process is suspended, and the list of servers changes soon after.
    SuspendOverPoll,
    /// The peers of a gateway are suspended for a while, and mostly the store is silent to it.
    Isolate,
    /// All gateways are killed or shut down gracefully and restarted, one after the other, in groups or all
    /// at once.
    RestartSeries,
    /// The servers of drafts report late on themselves.
    LateReports,
    /// The servers of drafts close some of their connections.
    BrokenConnections,
    /// The servers of drafts respond to their next requests with bytes that are no response, or with none.
    SpoiledDrafts,
}

impl Fault {
    /// Returns whether a gateway is out of step while the fault lasts.
    #[must_use]
    pub fn puts_out_of_step(self) -> bool {
        matches!(
            self,
            Self::Kill
                | Self::Terminate
                | Self::Suspend
                | Self::SuspendOverPoll
                | Self::StoreUnavailableForOne
                | Self::Isolate
        )
    }
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
/// The kinds that only the extended plan has; a kind is as frequent as it is listed.
const EXTENDED_FAULT_KINDS: [Fault; 8] = [
    Fault::ServersPause,
    Fault::ServersPause,
    Fault::ServersPause,
    Fault::ConfigSeries,
    Fault::ConfigSeries,
    Fault::ConfigSeries,
    Fault::Hangup,
    Fault::Terminate,
];
/// The kinds of the plan with restarts; a kind is as frequent as it is listed.
const RESTART_FAULT_KINDS: [Fault; 16] = [
    Fault::RestartSeries,
    Fault::LateReports,
    Fault::LateReports,
    Fault::LateReports,
    Fault::LateReports,
    Fault::LateReports,
    Fault::Kill,
    Fault::Terminate,
    Fault::Suspend,
    Fault::StoreUnavailableForOne,
    Fault::StoreSlow,
    Fault::LostAppendResponses,
    Fault::DelayedAppends,
    Fault::ForgetHistory,
    Fault::ConfigUpdate,
    Fault::Hangup,
];
/// When the first series of restarts begins: drafts have been left by then.
const FIRST_SERIES: Duration = Duration::from_millis(1_500);
/// The kinds that put a gateway out of step beside a release; a kind is as frequent as it is listed.
const OUT_OF_STEP_KINDS: [Fault; 8] = [
    Fault::Suspend,
    Fault::SuspendOverPoll,
    Fault::StoreUnavailableForOne,
    Fault::StoreUnavailableForOne,
    Fault::Isolate,
    Fault::Isolate,
    Fault::Isolate,
    Fault::Isolate,
];
/// The kinds of the plan with stops; a kind is as frequent as it is listed.
const STOP_FAULT_KINDS: [Fault; 10] = [
    Fault::Terminate,
    Fault::Terminate,
    Fault::Terminate,
    Fault::Terminate,
    Fault::Flood,
    Fault::Flood,
    Fault::Hangup,
    Fault::ConfigSeries,
    Fault::ServersPause,
    Fault::StoreSlow,
];
/// The kinds of the plan with crowds; a kind is as frequent as it is listed.
const CROWD_FAULT_KINDS: [Fault; 12] = [
    Fault::Crowd,
    Fault::Crowd,
    Fault::Crowd,
    Fault::Crowd,
    Fault::Crowd,
    Fault::Terminate,
    Fault::Kill,
    Fault::Suspend,
    Fault::Flood,
    Fault::ConfigSeries,
    Fault::ServersPause,
    Fault::StoreSlow,
];
/// The kinds of the plan with starts; a kind is as frequent as it is listed.
const START_FAULT_KINDS: [Fault; 14] = [
    Fault::Replace,
    Fault::Replace,
    Fault::Replace,
    Fault::ReplaceSuspended,
    Fault::ReplaceSuspended,
    Fault::ReplaceSuspended,
    Fault::Hangup,
    Fault::Hangup,
    Fault::Terminate,
    Fault::Kill,
    Fault::Suspend,
    Fault::StoreUnavailableForOne,
    Fault::StoreSlow,
    Fault::ConfigSeries,
];
/// The random numbers of the plan with crowds.
const CROWD_STREAM: u64 = 4;
/// The random numbers of the plan with stops.
const STOP_STREAM: u64 = 3;
/// The random numbers of the plan with releases.
const RELEASE_STREAM: u64 = 2;
/// When a gateway is out of step before any release, and for how long at most.
const FIRST_OUT_OF_STEP_MS: u64 = 800;
const MAX_FIRST_OUT_OF_STEP_MS: u64 = 1_000;
/// When the first release begins: until then, services have a sole version and gateways get back in
/// step.
const FIRST_RELEASE_MS: u64 = 3_600;
const MIN_RELEASE_INTERVAL_MS: u64 = 700;
const MAX_RELEASE_INTERVAL_MS: u64 = 1_700;
const MIN_OUT_OF_STEP_MS: u64 = 300;
const MAX_OUT_OF_STEP_MS: u64 = 3_000;
/// The longest time from the moment a gateway is out of step to the release.
const MAX_RELEASE_DELAY_MS: u64 = 500;
const MAX_RELEASE_MS: u64 = 1_500;
/// Every how many releases on average a gateway is killed or shut down.
const RELEASES_PER_RESTART: u32 = 5;
/// The random numbers of the extended plan, which leave those of the basic plan as they are.
const EXTENDED_STREAM: u64 = 1;
/// The random numbers of the plan with restarts.
const RESTART_STREAM: u64 = 5;
/// The random numbers of broken connections, which leave those of the plans beside which they come as they
/// are.
const BROKEN_STREAM: u64 = 6;
/// The random numbers of the plan with starts.
const START_STREAM: u64 = 7;
/// The shortest and the longest time between two faults of connections or answers.
const MIN_BROKEN_INTERVAL_MS: u64 = 600;
const MAX_BROKEN_INTERVAL_MS: u64 = 1_800;
/// The mean time between the starts of two faults, short enough that faults overlap.
const MEAN_INTERVAL_MS: u64 = 350;
const MIN_DURATION_MS: u64 = 100;
const MAX_DURATION_MS: u64 = 1_500;
/// The shortest and the longest pause of servers, which end before the shortest timeout of streams.
const MIN_PAUSE_MS: u64 = 800;
const MAX_PAUSE_MS: u64 = 1_600;
/// Every how many faults of the basic plan one is part of the extended plan, so that most requests
/// are not excused by a fault.
const BASIC_FAULT_INTERVAL: usize = 3;

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
    draw_faults(&mut ChaCha8Rng::seed_from_u64(seed), &FAULT_KINDS, length)
}

/// Returns the faults for `seed` with pauses of servers and series of configurations among them.
#[must_use]
pub fn plan_extended_faults(seed: u64, length: Duration) -> Vec<PlannedFault> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    random.set_stream(EXTENDED_STREAM);
    let mut planned = draw_faults(&mut random, &EXTENDED_FAULT_KINDS, length);
    planned.extend(
        plan_faults(seed, length)
            .iter()
            .step_by(BASIC_FAULT_INTERVAL),
    );
    planned.sort_by_key(|fault| fault.offset);
    planned
}

/// Returns the faults for `seed` in a run of `length` with planned stops, floods and changes.
#[must_use]
pub fn plan_stop_faults(seed: u64, length: Duration) -> Vec<PlannedFault> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    random.set_stream(STOP_STREAM);
    draw_faults(&mut random, &STOP_FAULT_KINDS, length)
}

/// Returns the faults for `seed` in a run of `length` with crowds of callers that do not behave, beside
/// stops, kills and changes.
#[must_use]
pub fn plan_crowd_faults(seed: u64, length: Duration) -> Vec<PlannedFault> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    random.set_stream(CROWD_STREAM);
    draw_faults(&mut random, &CROWD_FAULT_KINDS, length)
}

/// Returns the faults for `seed` in a run of `length` with gateways that start beside the ones that they
/// replace.
#[must_use]
pub fn plan_start_faults(seed: u64, length: Duration) -> Vec<PlannedFault> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    random.set_stream(START_STREAM);
    draw_faults(&mut random, &START_FAULT_KINDS, length)
}

/// Returns the faults for `seed` in a run of `length` with series of restarts, of which the last ends the
/// faults, and late reports.
#[must_use]
pub fn plan_restart_faults(seed: u64, length: Duration) -> Vec<PlannedFault> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    random.set_stream(RESTART_STREAM);
    let mut planned = draw_faults(&mut random, &RESTART_FAULT_KINDS, length);
    let series = [FIRST_SERIES, length].map(|offset| PlannedFault {
        offset,
        duration: Duration::ZERO,
        fault: Fault::RestartSeries,
        random_value: random.random(),
    });
    planned.extend(series);
    planned.extend(plan_broken_connections(seed, length));
    planned.sort_by_key(|fault| fault.offset);
    planned
}

/// Returns faults of connections to the servers of drafts and of their answers.
fn plan_broken_connections(seed: u64, length: Duration) -> Vec<PlannedFault> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    random.set_stream(BROKEN_STREAM);
    let mut planned = Vec::new();
    let mut offset_ms = MAX_BROKEN_INTERVAL_MS;
    while Duration::from_millis(offset_ms) < length {
        let fault = [
            Fault::BrokenConnections,
            Fault::BrokenConnections,
            Fault::SpoiledDrafts,
        ];
        planned.push(PlannedFault {
            offset: Duration::from_millis(offset_ms),
            duration: Duration::ZERO,
            fault: fault[random.random_range(0..fault.len())],
            random_value: random.random(),
        });
        offset_ms += random.random_range(MIN_BROKEN_INTERVAL_MS..=MAX_BROKEN_INTERVAL_MS);
    }
    planned
}

/// Returns the faults for `seed` in a run of `length` with releases: each begins while a gateway is
/// out of step. Each service is released once before any is released again.
#[must_use]
pub fn plan_release_faults(seed: u64, length: Duration) -> Vec<PlannedFault> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    random.set_stream(RELEASE_STREAM);
    let first_ms = random.random_range(MIN_OUT_OF_STEP_MS..=MAX_FIRST_OUT_OF_STEP_MS);
    let mut planned = vec![out_of_step(&mut random, FIRST_OUT_OF_STEP_MS, first_ms)];
    let services = DRAFT_SERVICES as u64;
    let mut service = random.random_range(0..services);
    let mut offset_ms = FIRST_RELEASE_MS;
    while Duration::from_millis(offset_ms) < length {
        let duration_ms = random.random_range(MIN_OUT_OF_STEP_MS..=MAX_OUT_OF_STEP_MS);
        planned.push(out_of_step(&mut random, offset_ms, duration_ms));
        let delay_ms = random.random_range(20..=MAX_RELEASE_DELAY_MS.min(duration_ms / 2));
        let released_ms = random.random_range(MIN_DURATION_MS..=MAX_RELEASE_MS);
        let style: u64 = random.random_range(0..u64::MAX / services - 1);
        planned.push(PlannedFault {
            offset: Duration::from_millis(offset_ms + delay_ms),
            duration: Duration::from_millis(released_ms),
            fault: Fault::Release,
            random_value: style * services + service,
        });
        service = (service + 1) % services;
        if random.random_ratio(1, RELEASES_PER_RESTART) {
            let kind = [Fault::Kill, Fault::Terminate][random.random_range(0..2)];
            planned.push(PlannedFault {
                fault: kind,
                ..out_of_step(&mut random, offset_ms, MIN_OUT_OF_STEP_MS)
            });
        }
        offset_ms += random.random_range(MIN_RELEASE_INTERVAL_MS..=MAX_RELEASE_INTERVAL_MS);
    }
    planned.extend(plan_broken_connections(seed, length));
    planned.sort_by_key(|fault| fault.offset);
    planned
}

fn out_of_step(random: &mut ChaCha8Rng, offset_ms: u64, duration_ms: u64) -> PlannedFault {
    PlannedFault {
        offset: Duration::from_millis(offset_ms),
        duration: Duration::from_millis(duration_ms),
        fault: OUT_OF_STEP_KINDS[random.random_range(0..OUT_OF_STEP_KINDS.len())],
        random_value: random.random(),
    }
}

fn draw_faults(random: &mut ChaCha8Rng, kinds: &[Fault], length: Duration) -> Vec<PlannedFault> {
    let mut planned = Vec::new();
    // The first fault comes once programs are running.
    let mut offset = Duration::from_millis(MEAN_INTERVAL_MS);
    while offset < length {
        let duration_ms = random.random_range(MIN_DURATION_MS..=MAX_DURATION_MS);
        let fault = kinds[random.random_range(0..kinds.len())];
        planned.push(PlannedFault {
            offset,
            duration: Duration::from_millis(match fault {
                Fault::ServersPause => pause_ms(duration_ms),
                _ => duration_ms,
            }),
            fault,
            random_value: random.random(),
        });
        offset += Duration::from_millis(random.random_range(1..=2 * MEAN_INTERVAL_MS));
    }
    planned
}

/// Scales a duration of a fault to that of a pause.
fn pause_ms(duration_ms: u64) -> u64 {
    let span = MAX_DURATION_MS - MIN_DURATION_MS;
    MIN_PAUSE_MS + (duration_ms - MIN_DURATION_MS) * (MAX_PAUSE_MS - MIN_PAUSE_MS) / span
}
