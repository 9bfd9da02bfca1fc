//! The soak's checks on histories that break one promise each, and a short run of the real programs.

use std::collections::BTreeSet;
use std::time::Duration;

use standins::soak::Soak;
use standins::soak_faults::plan_faults;
use standins::soak_history::{
    ExecutedRequest, History, RequestKind, RequestRecord, find_violations,
};
use standins::soak_process::ProcessPorts;

fn attempt(id: &str, kind: RequestKind) -> RequestRecord {
    let body = match kind {
        RequestKind::Chat { .. } | RequestKind::Draft => {
            let event = |number| format!("id: {number}\ndata: {id}-{number}\n\n");
            [1, 2, 3, 4].map(event).concat()
        }
        _ => format!("answer to {id}"),
    };
    RequestRecord {
        id: id.to_owned(),
        program: "p".to_owned(),
        kind,
        gateway: (0, 1),
        status: 200,
        body,
        is_complete: true,
        reports_not_executed: false,
        requires_response: true,
        duration: Duration::from_millis(5),
    }
}

fn ran(id: &str, body: &str) -> ExecutedRequest {
    ExecutedRequest {
        id: id.to_owned(),
        body: body.to_owned(),
    }
}

fn chat(id: &str, previous: Option<&str>) -> RequestRecord {
    let previous = previous.map(str::to_owned);
    attempt(id, RequestKind::Chat { previous })
}

/// A history in which all went well.
fn right() -> History {
    History {
        requests: vec![
            chat("t1", None),
            chat("t2", Some("t1")),
            attempt("b1", RequestKind::Booking),
            attempt("v1", RequestKind::Version(1)),
            attempt("v2", RequestKind::Version(2)),
        ],
        executed: vec![
            ran("t1", "t1"),
            ran("t2", "t1t1-1\nt1-2\nt1-3\nt1-4\nt2"),
            ran("b1", ""),
        ],
    }
}

#[test]
fn a_history_without_faults_passes() {
    assert_eq!(find_violations(&right()), Vec::<String>::new());
}

/// Each promise is broken once; each check sees its own, and only that.
#[test]
fn each_check_sees_its_broken_promise() {
    type Spoil = fn(&mut History);
    let cases: [(Spoil, &str); 11] = [
        (
            |h| h.requests[2].body = "answer to b2".to_owned(),
            "b1: the answer is",
        ),
        (
            |h| h.requests[0].body = "id: 2\ndata: t1-2\n\n".to_owned(),
            "t1: the answer is",
        ),
        (
            |h| {
                h.requests[1].is_complete = false;
                h.requests[1].body = "id: 1\ndata: t9".to_owned();
            },
            "t2: the answer is",
        ),
        (|h| h.executed.push(ran("b1", "")), "b1: a booking ran more"),
        (
            |h| {
                h.requests[2].status = 503;
                h.requests[2].reports_not_executed = true;
            },
            "b1: 503 says that it has not run",
        ),
        (
            |h| {
                h.requests[1].status = 402;
            },
            "t2: 402 says that it has not run",
        ),
        (
            |h| {
                for number in 0..12 {
                    h.requests
                        .push(attempt(&format!("d{number}"), RequestKind::Draft));
                }
            },
            "p: 560 tokens of 400",
        ),
        (
            |h| h.executed[1].body = "t1t2".to_owned(),
            "t2: the prompt is `t1t2`",
        ),
        (
            |h| {
                h.requests[1].status = 404;
                h.executed.remove(1);
            },
            "t2: its turn before is denied",
        ),
        (|h| h.requests.swap(3, 4), "v1: version 1 after 2"),
        (|h| h.requests[3].status = 0, "v1: no answer after"),
    ];
    for (spoil, problem) in cases {
        let mut history = right();
        spoil(&mut history);
        let found = find_violations(&history);
        assert_eq!(found.len(), 1, "{problem}: {found:?}");
        assert!(found[0].starts_with(problem), "{}", found[0]);
    }
}

#[test]
fn a_plan_is_that_of_its_seed() {
    let length = Duration::from_secs(20);
    assert_eq!(plan_faults(7, length), plan_faults(7, length));
    assert_ne!(plan_faults(7, length), plan_faults(8, length));
    assert!(plan_faults(7, length).len() > 30);
}

/// Two gateways are killed, others stand still or end as planned, while the store and the servers
/// have troubles of their own. Whatever callers get is whole and their own, and nothing is promised
/// that is not kept.
#[test]
fn the_real_programs_keep_their_promises_under_faults() {
    let soak = Soak {
        seeds: "1..2".to_owned(),
        seconds: 3,
        daemon: None,
        directory: None,
    };
    let end = soak.run_seed(1).expect("a run");
    assert_eq!(end.violations, Vec::<String>::new());
    assert!(end.fault_count >= 5, "{} faults", end.fault_count);
    assert!(end.served_count > 200, "{} served", end.served_count);
}

/// A gateway does not start, since another one listens at a port that was drawn for both. Each one's
/// ports were given back before the next one's were drawn. Evidence: `can't listen` in its log.
#[test]
fn no_two_gateways_get_the_same_port() {
    let mut ports = BTreeSet::new();
    for drawn in ProcessPorts::find_free(100).expect("free ports") {
        ports.extend([drawn.callers, drawn.ready, drawn.peers, drawn.metrics]);
    }
    assert_eq!(ports.len(), 400);
}
