//! Runs a short soak of gateways that start beside others, in a process of its own.

use standins::soak::Soak;
use standins::soak_faults::Fault;

/// Guards against processes that end by themselves, or requests that are lost, as gateways are replaced.
#[test]
fn gateways_that_start_beside_others_cause_no_violations() {
    let soak = Soak {
        seeds: "2..3".to_owned(),
        seconds: 6,
        extended: false,
        release: false,
        stops: false,
        starts: true,
        crowds: false,
        restarts: false,
        gateways: 3,
        daemon: None,
        directory: None,
    };
    let end = soak.run_seed(2).expect("the run starts");
    assert_eq!(end.violations, Vec::<String>::new());
    let kinds = end.faults.iter().map(|fault| fault.fault);
    let is_replacement = |fault: &Fault| matches!(fault, Fault::Replace | Fault::ReplaceSuspended);
    assert!(kinds.filter(is_replacement).count() > 3);
    assert!(end.served_count > 100, "{} served", end.served_count);
}
