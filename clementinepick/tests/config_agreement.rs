//! Whoever reads the configuration stream comes to the same state, wherever the log's retention
//! makes them start.

use std::collections::BTreeMap;

use clementinepick::config_replay::{ConfigReplay, ConfigState};
use clementinepick::ids::{
    FencingNumber, Incarnation, Offset, OperationId, RecordId, Revision, ServiceName,
};
use clementinepick::record::{Record, RecordBody};
use proptest::prelude::*;

const SERVICES: [&str; 2] = ["s", "t"];

/// What somebody appends next.
#[derive(Debug, Clone)]
enum Step {
    /// A publication, over the revision in force or one beside it, of a right or a wrong document.
    Publish {
        service: usize,
        behind: u64,
        operation: u128,
        right: bool,
    },
    /// A claim to decide, over the claim in force or an older one.
    Claim { service: usize, current: bool },
    /// A snapshot by a process that lags by some records.
    Snapshot { lag: usize },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let publish = (0..2_usize, 0..3_u64, 0..40_u128, any::<bool>()).prop_map(
        |(service, behind, operation, right)| Step::Publish {
            service,
            behind,
            operation,
            right,
        },
    );
    let claim =
        (0..2_usize, any::<bool>()).prop_map(|(service, current)| Step::Claim { service, current });
    let snapshot = (0..4_usize).prop_map(|lag| Step::Snapshot { lag });
    prop::collection::vec(prop_oneof![4 => publish, 2 => claim, 2 => snapshot], 1..60)
}

fn service(index: usize) -> ServiceName {
    SERVICES[index].parse().expect("a name")
}

fn document(service: usize, operation: u128, right: bool) -> String {
    if !right {
        return "[nonsense]".to_owned();
    }
    let name = SERVICES[service];
    format!("[service]\nname = {name}\nkind = engine\n[class c]\nrank = {operation}\n")
}

/// The stream that the steps make, and the state after each record as seen from its start.
fn stream(steps: &[Step]) -> (Vec<Record>, Vec<ConfigState>) {
    let mut replay = ConfigReplay::default();
    let mut records = Vec::new();
    let mut states = vec![replay.state().clone()];
    for (at, step) in steps.iter().enumerate() {
        let state = states.last().expect("one");
        let body = match step {
            Step::Publish {
                service: index,
                behind,
                operation,
                right,
            } => RecordBody::Publish {
                operation: OperationId(*operation),
                service: service(*index),
                base: Revision(state.revision(&service(*index)).0.saturating_sub(*behind)),
                document: document(*index, *operation, *right),
            },
            Step::Claim {
                service: index,
                current,
            } => {
                let decider = state.deciders.get(&service(*index));
                let over = decider.map(|decider| decider.fencing);
                RecordBody::DeciderClaim {
                    service: service(*index),
                    over: if *current {
                        over
                    } else {
                        Some(FencingNumber(0))
                    },
                }
            }
            Step::Snapshot { lag } => {
                let up_to = at.saturating_sub(*lag);
                RecordBody::ConfigSnapshot {
                    up_to: Offset(up_to as u64),
                    state: Box::new(states[up_to].clone()),
                }
            }
        };
        let record = Record {
            id: RecordId(at as u128),
            writer: format!("writer-{}", at % 3).parse().expect("a name"),
            incarnation: Incarnation(1),
            body,
        };
        replay.apply(Offset(at as u64), &record);
        records.push(record);
        states.push(replay.state().clone());
    }
    (records, states)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    // Processes start at any time, with any part of the stream dropped. Each either says that it
    // lacks records, or has exactly the state of those that read everything.
    #[test]
    fn every_reader_that_is_complete_has_the_same_state(steps in steps()) {
        let (records, states) = stream(&steps);
        for earliest in 0..records.len() {
            let mut late = ConfigReplay::default();
            if earliest > 0 {
                late.on_gap(Offset(earliest as u64));
            }
            for (at, record) in records.iter().enumerate().skip(earliest) {
                late.apply(Offset(at as u64), record);
                if late.is_complete() {
                    prop_assert_eq!(late.state(), &states[at + 1], "from {} at {}", earliest, at);
                }
            }
        }
    }

    // Within the stream no revision ever goes down, and each accepted one is one above the last.
    #[test]
    fn revisions_rise_by_one(steps in steps()) {
        let (_, states) = stream(&steps);
        let mut known: BTreeMap<ServiceName, Revision> = BTreeMap::new();
        for state in &states {
            for (service, document) in &state.documents {
                let last = known.insert(service.clone(), document.revision).unwrap_or_default();
                prop_assert!(document.revision == last || document.revision == last.next());
            }
        }
    }

    // Resuming appends an operation any number of times; it comes into force at most once.
    #[test]
    fn an_operation_comes_into_force_at_most_once(steps in steps()) {
        let (_, states) = stream(&steps);
        let last = states.last().expect("one");
        let mut seen = BTreeMap::new();
        for publication in &last.publications {
            let count: &mut u32 = seen.entry(publication.operation).or_default();
            *count += 1;
            prop_assert_eq!(*count, 1);
        }
    }
}
