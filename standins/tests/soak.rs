//! The soak's checks on histories that break one promise each, and a short run of the real programs.

use std::collections::BTreeSet;
use std::time::Duration;

use standins::soak::Soak;
use standins::soak_faults::plan;
use standins::soak_history::{Attempt, AttemptKind, History, Ran, check};
use standins::soak_process::ProcessPorts;

fn attempt(id: &str, kind: AttemptKind) -> Attempt {
    let body = match kind {
        AttemptKind::Chat { .. } | AttemptKind::Draft => {
            let event = |number| format!("id: {number}\ndata: {id}-{number}\n\n");
            [1, 2, 3, 4].map(event).concat()
        }
        _ => format!("answer to {id}"),
    };
    Attempt {
        id: id.to_owned(),
        program: "p".to_owned(),
        kind,
        gateway: (0, 1),
        status: 200,
        body,
        is_complete: true,
        says_not_run: false,
        is_owed: true,
        took: Duration::from_millis(5),
    }
}

fn ran(id: &str, body: &str) -> Ran {
    Ran {
        id: id.to_owned(),
        body: body.to_owned(),
    }
}

fn chat(id: &str, previous: Option<&str>) -> Attempt {
    let previous = previous.map(str::to_owned);
    attempt(id, AttemptKind::Chat { previous })
}

/// A history in which all went well.
fn right() -> History {
    History {
        attempts: vec![
            chat("t1", None),
            chat("t2", Some("t1")),
            attempt("b1", AttemptKind::Book),
            attempt("v1", AttemptKind::Version(1)),
            attempt("v2", AttemptKind::Version(2)),
        ],
        ran: vec![
            ran("t1", "t1"),
            ran("t2", "t1t1-1\nt1-2\nt1-3\nt1-4\nt2"),
            ran("b1", ""),
        ],
    }
}

#[test]
fn a_history_without_faults_passes() {
    assert_eq!(check(&right()), Vec::<String>::new());
}

/// Each promise is broken once; each check sees its own, and only that.
#[test]
fn each_check_sees_its_broken_promise() {
    type Spoil = fn(&mut History);
    let cases: [(Spoil, &str); 11] = [
        (
            |h| h.attempts[2].body = "answer to b2".to_owned(),
            "b1: the answer is",
        ),
        (
            |h| h.attempts[0].body = "id: 2\ndata: t1-2\n\n".to_owned(),
            "t1: the answer is",
        ),
        (
            |h| {
                h.attempts[1].is_complete = false;
                h.attempts[1].body = "id: 1\ndata: t9".to_owned();
            },
            "t2: the answer is",
        ),
        (|h| h.ran.push(ran("b1", "")), "b1: a booking ran more"),
        (
            |h| {
                h.attempts[2].status = 503;
                h.attempts[2].says_not_run = true;
            },
            "b1: 503 says that it has not run",
        ),
        (
            |h| {
                h.attempts[1].status = 402;
            },
            "t2: 402 says that it has not run",
        ),
        (
            |h| {
                for number in 0..12 {
                    h.attempts
                        .push(attempt(&format!("d{number}"), AttemptKind::Draft));
                }
            },
            "p: 560 tokens of 400",
        ),
        (
            |h| h.ran[1].body = "t1t2".to_owned(),
            "t2: the prompt is `t1t2`",
        ),
        (
            |h| {
                h.attempts[1].status = 404;
                h.ran.remove(1);
            },
            "t2: its turn before is denied",
        ),
        (|h| h.attempts.swap(3, 4), "v1: version 1 after 2"),
        (|h| h.attempts[3].status = 0, "v1: no answer after"),
    ];
    for (spoil, problem) in cases {
        let mut history = right();
        spoil(&mut history);
        let found = check(&history);
        assert_eq!(found.len(), 1, "{problem}: {found:?}");
        assert!(found[0].starts_with(problem), "{}", found[0]);
    }
}

#[test]
fn a_plan_is_that_of_its_seed() {
    let length = Duration::from_secs(20);
    assert_eq!(plan(7, length), plan(7, length));
    assert_ne!(plan(7, length), plan(8, length));
    assert!(plan(7, length).len() > 30);
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
    assert_eq!(end.broken, Vec::<String>::new());
    assert!(end.faults >= 5, "{} faults", end.faults);
    assert!(end.served > 200, "{} served", end.served);
}

/// A gateway does not start, since another one listens at a port that was drawn for both. Each one's
/// ports were given back before the next one's were drawn. Evidence: `can't listen` in its log.
#[test]
fn no_two_gateways_get_the_same_port() {
    let mut ports = BTreeSet::new();
    for drawn in ProcessPorts::free(100).expect("free ports") {
        ports.extend([drawn.callers, drawn.ready, drawn.peers, drawn.metrics]);
    }
    assert_eq!(ports.len(), 400);
}
