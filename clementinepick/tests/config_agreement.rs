//! Tests that all readers of the configuration stream reach the same state, wherever they start.

use std::collections::BTreeMap;

use clementinepick::config_replay::{ConfigReplay, ConfigState};
use clementinepick::ids::{
    FencingNumber, Incarnation, Offset, OperationId, RecordId, Revision, ServiceName,
};
use clementinepick::record::{Record, RecordBody};
use proptest::prelude::*;

const SERVICES: [&str; 2] = ["s", "t"];

/// A record that is appended.
#[derive(Debug, Clone)]
enum Step {
    /// A publication of a valid or invalid document over the active or an older revision.
    Publish {
        service: usize,
        revisions_behind: u64,
        operation: u128,
        is_valid: bool,
    },
    /// A claim to decide, over the latest claim or over offset 0.
    Claim { service: usize, is_current: bool },
    /// A snapshot by a process that lags by `lag` records.
    Snapshot { lag: usize },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let publish = (0..2_usize, 0..3_u64, 0..40_u128, any::<bool>()).prop_map(
        |(service, revisions_behind, operation, is_valid)| Step::Publish {
            service,
            revisions_behind,
            operation,
            is_valid,
        },
    );
    let claim = (0..2_usize, any::<bool>()).prop_map(|(service, is_current)| Step::Claim {
        service,
        is_current,
    });
    let snapshot = (0..4_usize).prop_map(|lag| Step::Snapshot { lag });
    prop::collection::vec(prop_oneof![4 => publish, 2 => claim, 2 => snapshot], 1..60)
}

fn service(index: usize) -> ServiceName {
    SERVICES[index].parse().expect("a name")
}

fn document(service: usize, operation: u128, is_valid: bool) -> String {
    if !is_valid {
        return "[nonsense]".to_owned();
    }
    let name = SERVICES[service];
    format!("[service]\nname = {name}\nkind = engine\n[class c]\nrank = {operation}\n")
}

/// Returns the records of the steps, and the states before the first and after each record.
fn stream(steps: &[Step]) -> (Vec<Record>, Vec<ConfigState>) {
    let mut replay = ConfigReplay::default();
    let mut records = Vec::new();
    let mut states = vec![replay.state().clone()];
    for (at, step) in steps.iter().enumerate() {
        let state = states.last().expect("one");
        let body = match step {
            Step::Publish {
                service: index,
                revisions_behind,
                operation,
                is_valid,
            } => RecordBody::Publish {
                operation: OperationId(*operation),
                service: service(*index),
                base: Revision(
                    state
                        .revision(&service(*index))
                        .0
                        .saturating_sub(*revisions_behind),
                ),
                document: document(*index, *operation, *is_valid),
            },
            Step::Claim {
                service: index,
                is_current,
            } => {
                let decider = state.deciders.get(&service(*index));
                let over = decider.map(|decider| decider.fencing);
                RecordBody::DeciderClaim {
                    service: service(*index),
                    over: if *is_current {
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

    // A reader that starts anywhere in the stream must either report that it lacks records or have
    // the state of a reader of the whole stream.
    #[test]
    fn complete_readers_have_the_same_state(steps in steps()) {
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

    // A revision must never decrease or skip a number.
    #[test]
    fn revisions_increase_by_one(steps in steps()) {
        let (_, states) = stream(&steps);
        let mut known: BTreeMap<ServiceName, Revision> = BTreeMap::new();
        for state in &states {
            for (service, document) in &state.documents {
                let last = known.insert(service.clone(), document.revision).unwrap_or_default();
                prop_assert!(document.revision == last || document.revision == last.next());
            }
        }
    }

    // Resuming appends an operation any number of times; it must take effect at most once.
    #[test]
    fn operation_takes_effect_at_most_once(steps in steps()) {
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
