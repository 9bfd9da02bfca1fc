//! Draws the faults of a chaos run from its seed.

use clementinepick::ids::{VmId, ZoneName};
use clementinepick::units::{SpanUs, TimeUs};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha12Rng;

use crate::chaos_world::{World, WorldSettings};

/// The time of the earliest fault, by which all links are up.
const FIRST_FAULT_US: u64 = 3_000_000;
/// Makes the random numbers for the faults differ from those of the simulation.
const FAULT_SEED_MASK: u64 = 0x5fau64 << 40;

/// A fault and its target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fault {
    /// A process is killed and restarted; its backend server keeps running.
    Kill {
        /// The VM.
        vm: VmId,
        /// The time until it is restarted.
        downtime_us: SpanUs,
    },
    /// A VM fails with all its processes and is replaced.
    KillVm {
        /// The VM.
        vm: VmId,
        /// The time until it is replaced.
        downtime_us: SpanUs,
    },
    /// A process is paused without noticing it.
    Pause {
        /// The VM.
        vm: VmId,
        /// The duration.
        span_us: SpanUs,
    },
    /// The log service is down.
    LogDown {
        /// The duration.
        span_us: SpanUs,
    },
    /// Some appends to the log are lost, written late, or written without a response.
    LogLosesAnswers {
        /// How many of the next appends may be affected.
        appends: u32,
    },
    /// Messages from one VM to another stall.
    Cut {
        /// The sender.
        from: VmId,
        /// The receiver.
        to: VmId,
        /// Whether the other direction is cut too.
        both: bool,
        /// The duration.
        span_us: SpanUs,
    },
    /// A link that was cut for too long is closed; follows a long cut.
    LinkReset {
        /// One end.
        from: VmId,
        /// The other end.
        to: VmId,
    },
    /// An availability zone fails with all its VMs.
    ZoneLost {
        /// The zone.
        zone: ZoneName,
        /// The time until they are replaced.
        span_us: SpanUs,
    },
    /// A process is shut down gracefully and restarted.
    Shutdown {
        /// The VM.
        vm: VmId,
    },
    /// An operator publishes a new configuration.
    Publish,
    /// Two operators publish a configuration at once.
    PublishRace,
    /// A backend server slows down.
    BackendSlow {
        /// The VM.
        vm: VmId,
        /// The duration.
        span_us: SpanUs,
    },
}

impl Fault {
    /// Returns the name of the fault in counts and in `--faults`.
    #[must_use]
    pub const fn name(&self) -> &'static str {
        match self {
            Self::Kill { .. } => "kill",
            Self::KillVm { .. } => "kill-vm",
            Self::Pause { .. } => "pause",
            Self::LogDown { .. } => "log-down",
            Self::LogLosesAnswers { .. } => "log-loses-answers",
            Self::Cut { both: true, .. } => "cut",
            Self::Cut { both: false, .. } => "cut-one-way",
            Self::LinkReset { .. } => "link-reset",
            Self::ZoneLost { .. } => "zone",
            Self::Shutdown { .. } => "shutdown",
            Self::Publish => "publish",
            Self::PublishRace => "publish-race",
            Self::BackendSlow { .. } => "slow",
        }
    }
}

/// The names of the faults that `--faults` accepts.
pub const FAULT_NAMES: &[&str] = &[
    "kill",
    "kill-vm",
    "pause",
    "log-down",
    "log-loses-answers",
    "cut",
    "cut-one-way",
    "zone",
    "shutdown",
    "publish",
    "publish-race",
    "slow",
];

/// Draws the faults of a run, of the kinds in `names`.
#[must_use]
pub fn draw_faults(settings: &WorldSettings, names: &[&str]) -> Vec<(TimeUs, Fault)> {
    let mut rng = ChaCha12Rng::seed_from_u64(settings.seed ^ FAULT_SEED_MASK);
    let (entries, sidecars) = World::vm_ids(settings);
    if names.is_empty() {
        return Vec::new();
    }
    let count = rng.random_range(2..=12);
    let mut faults: Vec<(TimeUs, Fault)> = (0..count)
        .map(|_| {
            let at = TimeUs(rng.random_range(FIRST_FAULT_US..settings.active_phase_us.0));
            let name = names[rng.random_range(0..names.len())];
            (at, draw_fault(name, &entries, &sidecars, &mut rng))
        })
        .collect();
    faults.sort_by_key(|(at, _)| *at);
    faults
}

fn draw_fault(name: &str, entries: &[VmId], sidecars: &[VmId], rng: &mut ChaCha12Rng) -> Fault {
    let entry = entries[rng.random_range(0..entries.len())].clone();
    let sidecar = sidecars[rng.random_range(0..sidecars.len())].clone();
    let vm = if rng.random_bool(0.6) {
        entry.clone()
    } else {
        sidecar.clone()
    };
    let short_us = SpanUs::from_ms(rng.random_range(100..8_000));
    match name {
        "kill" => Fault::Kill {
            vm,
            downtime_us: short_us,
        },
        "kill-vm" => Fault::KillVm {
            vm,
            downtime_us: short_us,
        },
        "pause" => Fault::Pause {
            vm,
            span_us: short_us,
        },
        "log-down" => Fault::LogDown {
            span_us: SpanUs::from_ms(rng.random_range(500..30_000)),
        },
        "log-loses-answers" => Fault::LogLosesAnswers {
            appends: rng.random_range(1..30),
        },
        "cut" | "cut-one-way" => {
            let other = entries
                .iter()
                .find(|other| **other != entry)
                .unwrap_or(&entry);
            let peer = if rng.random_bool(0.5) {
                sidecar
            } else {
                other.clone()
            };
            let (from, to) = if rng.random_bool(0.5) {
                (entry, peer)
            } else {
                (peer, entry)
            };
            Fault::Cut {
                from,
                to,
                both: name == "cut",
                span_us: short_us,
            }
        }
        "zone" => {
            let zone = ["zone-a", "zone-b", "zone-c"][rng.random_range(0..3)];
            Fault::ZoneLost {
                zone: zone.parse().expect("a valid name"),
                span_us: short_us,
            }
        }
        "shutdown" => Fault::Shutdown { vm },
        "publish" => Fault::Publish,
        "publish-race" => Fault::PublishRace,
        _ => Fault::BackendSlow {
            vm: sidecar,
            span_us: short_us,
        },
    }
}
