//! Tests small demos end to end: real daemons and sockets, with each response checked.

use clementinepick::units::Tokens;
use standins::demo::Demo;
use standins::run_program::find_not_run_once;
use standins::script::{ProgramKind, Script, ScriptGenerator};

#[test]
fn a_small_demo_completes_all_programs() {
    let demo = Demo {
        programs: 20,
        concurrency: 10,
        engines: 2,
        seed: 1,
        release_s: 45,
        roll: false,
    };
    let result = demo.measure().expect("a clean start and shutdown");
    let report = &result.report;
    assert_eq!(report.faults, Vec::<String>::new());
    assert_eq!((report.finished, report.programs), (20, 20));
    assert!(result.run_once.0 > 5, "{:?}", result.run_once);
    assert_eq!(result.run_once.1, []);
    assert_eq!(result.held_tokens, Tokens(0));
    assert!(report.rows["concierge"].cached_tokens > 0);
    assert!(result.is_success());
}

/// Callers get complete responses only while every process is replaced: a leaving entry finishes
/// its calls and hands its programs over, and a sidecar finishes its running calls before its
/// successor starts.
#[test]
fn replacing_every_process_interrupts_no_call() {
    let demo = Demo {
        programs: 20,
        concurrency: 8,
        engines: 2,
        seed: 2,
        release_s: 0,
        roll: true,
    };
    let result = demo.measure().expect("a clean start and shutdown");
    let report = &result.report;
    assert_eq!(report.faults, Vec::<String>::new());
    assert_eq!(result.replaced, 5);
    assert_eq!(report.finished, report.programs);
    assert_eq!(result.run_once.1, []);
}

/// The counts of the plain service reveal a hold that never ran and a cancellation that ran twice,
/// whatever the callers were told.
#[test]
fn operations_not_run_exactly_once_are_detected() {
    let mut mix = ScriptGenerator::new("check", 1);
    let scripts: Vec<Script> = (0..20).map(|_| mix.next_script()).collect();
    let ids: Vec<String> = scripts.iter().flat_map(Script::run_once_ids).collect();
    let mut executions = ids.iter().map(|id| (id.clone(), 1)).collect();
    assert_eq!(find_not_run_once(&scripts, &[executions]), []);
    executions = ids.iter().skip(1).map(|id| (id.clone(), 1)).collect();
    executions.insert(ids[1].clone(), 2);
    let wrong = find_not_run_once(&scripts, &[executions]);
    assert_eq!(wrong, [(ids[0].clone(), 0), (ids[1].clone(), 2)]);
}

#[test]
fn a_mix_is_the_same_for_the_same_seed_and_has_all_kinds() {
    let draw = || {
        let mut mix = ScriptGenerator::new("check", 5);
        (0..40).map(|_| mix.next_script()).collect::<Vec<_>>()
    };
    let scripts = draw();
    assert_eq!(scripts, draw());
    for kind in [
        ProgramKind::Concierge,
        ProgramKind::Itinerary,
        ProgramKind::Bookings,
    ] {
        assert!(scripts.iter().any(|script| script.kind == kind), "{kind:?}");
    }
}
