//! Tests the soak's checks on histories with one violation each, and runs a short soak.

use std::collections::BTreeSet;
use std::time::Duration;

use standins::soak::Soak;
use standins::soak_faults::plan_faults;
use standins::soak_history::{
    ExecutedRequest, History, RequestKind, RequestRecord, find_violations,
};
use standins::soak_process::ProcessPorts;

fn request(id: &str, kind: RequestKind) -> RequestRecord {
    let body = match kind {
        RequestKind::Chat { .. } | RequestKind::Draft | RequestKind::Resumed { .. } => {
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

fn executed(id: &str, body: &str) -> ExecutedRequest {
    ExecutedRequest {
        id: id.to_owned(),
        body: body.to_owned(),
    }
}

fn chat(id: &str, previous: Option<&str>) -> RequestRecord {
    let previous = previous.map(str::to_owned);
    request(id, RequestKind::Chat { previous })
}

/// Returns a history without violations.
fn valid_history() -> History {
    History {
        requests: vec![
            chat("t1", None),
            chat("t2", Some("t1")),
            request("b1", RequestKind::Booking),
            request("v1", RequestKind::Version(1)),
            request("v2", RequestKind::Version(2)),
        ],
        executed: vec![
            executed("t1", "t1"),
            executed("t2", "t1t1-1\nt1-2\nt1-3\nt1-4\nt2"),
            executed("b1", ""),
        ],
    }
}

#[test]
fn a_history_without_faults_passes() {
    assert_eq!(find_violations(&valid_history()), Vec::<String>::new());
}

#[test]
fn each_violation_is_found_by_one_check() {
    type Damage = fn(&mut History);
    let cases: [(Damage, &str); 13] = [
        (
            |h| h.requests[2].body = "answer to b2".to_owned(),
            "b1: wrong response body",
        ),
        (
            |h| h.requests[0].body = "id: 2\ndata: t1-2\n\n".to_owned(),
            "t1: wrong response body",
        ),
        (
            |h| {
                h.requests[1].is_complete = false;
                h.requests[1].body = "id: 1\ndata: t9".to_owned();
            },
            "t2: wrong response body",
        ),
        (
            |h| h.executed.push(executed("b1", "")),
            "b1: booking was executed more",
        ),
        (
            |h| {
                h.requests[2].status = 503;
                h.requests[2].reports_not_executed = true;
            },
            "b1: executed despite status 503",
        ),
        (
            |h| {
                h.requests[1].status = 402;
            },
            "t2: executed despite status 402",
        ),
        (
            |h| {
                for number in 0..12 {
                    h.requests
                        .push(request(&format!("d{number}"), RequestKind::Draft));
                }
            },
            "p: 560 tokens delivered, budget is 400",
        ),
        (
            |h| {
                let mut draft = request("d1", RequestKind::Draft);
                draft.body = draft.body.replacen("data", "event: v1\ndata", 1);
                draft.body = draft
                    .body
                    .replacen("\ndata: d1-4", "\nevent: v2\ndata: d1-4", 1);
                h.requests.push(draft);
            },
            "d1: events of versions",
        ),
        (
            |h| {
                let mut draft = request("d1", RequestKind::Draft);
                draft.is_complete = false;
                draft.body = "id: 1\nevent: v1\ndata: d1-1\n\nid: 2\neve".to_owned();
                h.requests.push(draft);
                let first = "d1".to_owned();
                let mut rest = request(
                    "d2",
                    RequestKind::Resumed {
                        first,
                        last_event: 1,
                    },
                );
                rest.body = rest.body.replacen("id: 1\ndata: d2-1\n\n", "", 1);
                rest.body = rest.body.replacen("data", "event: v2\ndata", 1);
                h.requests.push(rest);
            },
            "d1: events of versions",
        ),
        (
            |h| h.executed[1].body = "t1t2".to_owned(),
            "t2: wrong prompt `t1t2`",
        ),
        (
            |h| {
                h.requests[1].status = 404;
                h.executed.remove(1);
            },
            "t2: unexpected status 404",
        ),
        (|h| h.requests.swap(3, 4), "v1: serves version 1 after 2"),
        (|h| h.requests[3].status = 0, "v1: no response after"),
    ];
    for (damage, expected) in cases {
        let mut history = valid_history();
        damage(&mut history);
        let found = find_violations(&history);
        assert_eq!(found.len(), 1, "{expected}: {found:?}");
        assert!(found[0].starts_with(expected), "{}", found[0]);
    }
}

#[test]
fn a_seed_determines_its_faults() {
    let length = Duration::from_secs(20);
    assert_eq!(plan_faults(7, length), plan_faults(7, length));
    assert_ne!(plan_faults(7, length), plan_faults(8, length));
    assert!(plan_faults(7, length).len() > 30);
}

/// Gateways are killed, suspended and shut down while the store and the servers have faults too. No
/// check of the soak finds a violation.
#[test]
fn processes_under_faults_cause_no_violations() {
    let soak = Soak {
        seeds: "1..2".to_owned(),
        seconds: 3,
        daemon: None,
        directory: None,
    };
    let end = soak.run_seed(1).expect("the run starts");
    assert_eq!(end.violations, Vec::<String>::new());
    assert!(end.fault_count >= 5, "{} faults", end.fault_count);
    assert!(end.served_count > 200, "{} served", end.served_count);
}

/// Two gateways must not get the same port, or one of them can't listen. It happens if the ports of
/// one are released before those of the next are found.
#[test]
fn no_two_gateways_get_the_same_port() {
    let mut ports = BTreeSet::new();
    for gateway in ProcessPorts::find_free(100).expect("free ports") {
        ports.extend([
            gateway.callers,
            gateway.ready,
            gateway.peers,
            gateway.metrics,
        ]);
    }
    assert_eq!(ports.len(), 400);
}
