//! Tests the soak's check of resumed drafts, and runs a short soak with series of restarts, in a process of
//! its own.

use std::time::Duration;

use standins::soak::Soak;
use standins::soak_faults::Fault;
use standins::soak_history::{History, RequestKind, RequestRecord, find_violations};
use standins::soak_restart_checks::{InTouchCounts, RestartTimes};

fn request(id: &str, kind: RequestKind, sent_at: Duration) -> RequestRecord {
    RequestRecord {
        id: id.to_owned(),
        path: "/draft/1".to_owned(),
        program: "p".to_owned(),
        kind,
        gateway: (0, 1),
        status: 200,
        body: String::new(),
        is_complete: true,
        reports_not_executed: false,
        requires_response: false,
        sent_at,
        duration: Duration::from_millis(5),
        held: Duration::ZERO,
        idle: Duration::ZERO,
        idle_limit: Duration::from_secs(5),
        timeout: Duration::from_secs(2),
        excuse: None,
    }
}

/// Returns a history in which some of the drafts that callers resume are refused at gateways in touch.
fn history_with_resumed_drafts(resumed: usize, refused: usize) -> History {
    let mut history = History {
        restarts: Some(RestartTimes::default()),
        ..History::default()
    };
    for number in 0..resumed + refused {
        let first = format!("n{number}");
        let begun = request(&first, RequestKind::Draft, Duration::from_secs(4));
        history.requests.push(begun);
        let kind = RequestKind::Resumed {
            first,
            last_event: 4,
            is_named: true,
        };
        let mut rest = request(&format!("n{number}-rest"), kind, Duration::from_secs(6));
        if number < refused {
            rest.status = 503;
            rest.reports_not_executed = true;
        }
        history.requests.push(rest);
    }
    history
}

/// Guards against a soak that does not notice resumed drafts which are refused more often than new ones.
#[test]
fn too_many_refusals_of_resumed_drafts_are_found() {
    let is_found = |history: &History| {
        let violations = find_violations(history);
        violations.iter().any(|line| line.contains("in touch"))
    };
    assert!(!is_found(&history_with_resumed_drafts(8, 8)));
    assert!(is_found(&history_with_resumed_drafts(7, 9)));
}

/// Guards against drafts without a restart that outweigh those which a series of restarts has lost.
#[test]
fn refusals_after_a_series_of_restarts_are_counted_by_themselves() {
    let counts = |from, until| {
        let mut history = history_with_resumed_drafts(4, 4);
        if let Some(times) = &mut history.restarts {
            times.series = vec![(Duration::from_secs(from), Duration::from_secs(until))];
        }
        let counts = InTouchCounts::of(&history);
        (counts.resumed_after_series, counts.resumptions_after_series)
    };
    // The drafts begin at 4 s and are resumed at 6 s.
    assert_eq!(counts(4, 6), (4, 8));
    assert_eq!(counts(3, 6), (0, 0));
    assert_eq!(counts(4, 7), (0, 0));
}

/// Guards against a rule that also holds for gateways and stores which were disturbed lately.
#[test]
fn drafts_at_gateways_that_were_disturbed_lately_are_not_counted() {
    let history = |times: RestartTimes| History {
        restarts: Some(times),
        ..history_with_resumed_drafts(4, 4)
    };
    let disturbed = |from, until| (Duration::from_millis(from), Duration::from_millis(until));
    let count = |times| InTouchCounts::of(&history(times)).resumptions;
    assert_eq!(count(RestartTimes::default()), 8);
    let (from, until) = disturbed(2_000, 3_001);
    let of_gateway = |gateway| RestartTimes {
        gateways: vec![(gateway, from, until)],
        ..RestartTimes::default()
    };
    assert_eq!(count(of_gateway(0)), 0);
    assert_eq!(count(of_gateway(1)), 8);
    let store = |from, until| RestartTimes {
        store: vec![disturbed(from, until)],
        ..RestartTimes::default()
    };
    assert_eq!(count(store(2_000, 3_001)), 0);
    assert_eq!(count(store(2_000, 2_999)), 8);
}

/// Guards against origins of streams that a series of restarts takes from all gateways, and against servers
/// whose late reports leave them unproven.
#[test]
fn series_of_restarts_beside_late_reports_cause_no_violations() {
    for seed in [1, 2] {
        let soak = Soak {
            seeds: format!("{seed}..{}", seed + 1),
            seconds: 6,
            extended: false,
            release: false,
            stops: false,
            starts: false,
            crowds: false,
            restarts: true,
            gateways: 6,
            daemon: None,
            directory: None,
        };
        let end = soak.run_seed(seed).expect("the run starts");
        assert_eq!(end.violations, Vec::<String>::new(), "seed {seed}");
        let kinds = end.faults.iter().map(|fault| fault.fault);
        assert!(kinds.clone().any(|fault| fault == Fault::LateReports));
        assert!(kinds.clone().any(|fault| fault == Fault::RestartSeries));
    }
}
