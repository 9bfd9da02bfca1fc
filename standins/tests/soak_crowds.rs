//! Runs a short soak with crowds, in a process of its own: callers of other soaks would get no processor.

use standins::soak::Soak;
use standins::soak_faults::Fault;

/// Guards against crowds of callers that end a process, take its descriptors or keep others from being
/// served.
#[test]
fn crowds_beside_stops_and_floods_cause_no_violations() {
    let soak = Soak {
        seeds: "1..2".to_owned(),
        seconds: 6,
        extended: false,
        release: false,
        stops: false,
        starts: false,
        crowds: true,
        restarts: false,
        gateways: 3,
        daemon: None,
        directory: None,
    };
    let end = soak.run_seed(1).expect("the run starts");
    assert_eq!(end.violations, Vec::<String>::new());
    let kinds = end.faults.iter().map(|fault| fault.fault);
    assert!(kinds.filter(|fault| *fault == Fault::Crowd).count() > 3);
    assert!(end.served_count > 100, "{} served", end.served_count);
}
