//! The configuration: one winner, in force everywhere, never reverting.

use clementinepick::config::Config;
use clementinepick::config_replay::{ConfigChange, ConfigReplay, Verdict};
use clementinepick::ids::{
    FencingNumber, Incarnation, Offset, OperationId, RecordId, Revision, ServiceName,
};
use clementinepick::record::{Record, RecordBody};

fn text(rank: u32) -> String {
    format!("[service]\nname = s\nkind = engine\n[class c]\nrank = {rank}\n")
}

fn service() -> ServiceName {
    "s".parse().expect("a name")
}

fn record(id: u128, writer: &str, body: RecordBody) -> Record {
    Record {
        id: RecordId(id),
        writer: writer.parse().expect("a name"),
        incarnation: Incarnation(1),
        body,
    }
}

fn publish(operation: u128, writer: &str, base: u64, document: &str) -> Record {
    let body = RecordBody::Publish {
        operation: OperationId(operation),
        service: service(),
        base: Revision(base),
        document: document.to_owned(),
    };
    record(operation, writer, body)
}

fn replay(records: &[Record]) -> Config {
    let mut config = Config::default();
    for (offset, record) in (0..).zip(records) {
        config.apply(Offset(offset), record);
    }
    config
}

fn verdicts(config: &Config) -> Vec<Verdict> {
    let publications = config.publications().iter();
    publications.map(|p| p.verdict.clone()).collect()
}

fn rank(config: &Config) -> u32 {
    let in_force = config.service(&service()).expect("a document");
    in_force.document.classes.values().next().expect("one").rank
}

const fn accepted(revision: u64) -> Verdict {
    Verdict::Accepted {
        revision: Revision(revision),
    }
}

// Two operators publish over the same revision at once. Both records are in the log; the one with
// the lower offset wins, and the other learns who was first and at which revision.
#[test]
fn of_two_operators_who_race_the_first_in_the_log_wins() {
    let records = [
        publish(1, "ana", 0, &text(1)),
        publish(2, "bo", 0, &text(2)),
    ];
    let config = replay(&records);
    let author = "ana".parse().expect("a name");
    let revision = Revision(1);
    assert_eq!(
        verdicts(&config),
        [accepted(1), Verdict::Outrun { revision, author }]
    );
    assert_eq!(rank(&config), 1);
}

#[test]
fn a_wrong_document_changes_nothing() {
    let records = [publish(1, "ana", 0, &text(1)), publish(2, "ana", 1, "x")];
    let config = replay(&records);
    assert!(matches!(
        verdicts(&config)[..],
        [Verdict::Accepted { .. }, Verdict::Wrong { .. }]
    ));
    assert_eq!(rank(&config), 1);
}

// An operator sees no answer, resumes, and appends the operation again under another base; the
// first append took effect after all. The second copy must not come into force as a new revision.
#[test]
fn an_operation_that_is_appended_twice_counts_once() {
    let mut again = publish(1, "ana", 1, &text(9));
    again.id = RecordId(77);
    let config = replay(&[publish(1, "ana", 0, &text(1)), again]);
    assert_eq!(verdicts(&config), [accepted(1)]);
    assert_eq!(rank(&config), 1);
}

// A peer that lags, or a link that was slow, brings a document that was replaced since. Taking it
// would serve calls by rules that are no longer in force.
#[test]
fn a_lagging_peers_document_is_passed_over() {
    let old = replay(&[publish(1, "ana", 0, &text(1))]);
    let mut config = replay(&[
        publish(1, "ana", 0, &text(1)),
        publish(2, "bo", 1, &text(2)),
    ]);
    let brought = old.missing_documents(None, &std::collections::BTreeMap::new());
    assert_eq!(config.adopt(brought[0].clone()), Ok(false));
    assert_eq!(rank(&config), 2);
    assert_eq!(config.missing_documents(None, &old.revisions()).len(), 1);
}

// A peer passes revision 2 to a process that has only read revision 1, since its log reads fail.
// Later the log answers. The records are judged by the log alone, so that the process agrees with
// everyone else on each verdict, and the newer document stays in force meanwhile.
#[test]
fn a_document_from_a_peer_does_not_change_how_the_log_is_judged() {
    let records = [
        publish(1, "ana", 0, &text(1)),
        publish(2, "bo", 1, &text(2)),
    ];
    let ahead = replay(&records);
    let mut config = replay(&records[..1]);
    let known = config.revisions();
    assert_eq!(
        config.adopt(ahead.missing_documents(None, &known)[0].clone()),
        Ok(true)
    );
    assert_eq!(rank(&config), 2);
    config.apply(Offset(1), &records[1]);
    assert_eq!(verdicts(&config), [accepted(1), accepted(2)]);
}

// The records of revision 1 have passed their retention when a process starts. A snapshot was
// carried forward before, and revision 2 was published between the snapshot's bound and its own
// offset. The late starter must come to revision 2, not to the snapshot's 1.
#[test]
fn a_late_starter_comes_to_the_state_of_all_others() {
    let mut all = replay(&[publish(1, "ana", 0, &text(1))]);
    let snapshot = record(50, "entry-a", all.snapshot(Offset(1)));
    let second = publish(2, "bo", 1, &text(2));
    all.apply(Offset(1), &second);
    let mut late = ConfigReplay::default();
    late.on_gap(Offset(1));
    assert_eq!(late.apply(Offset(1), &second), []);
    assert!(!late.is_complete());
    late.apply(Offset(2), &snapshot);
    assert!(late.is_complete());
    assert_eq!(late.state().revision(&service()), Revision(2));
    assert_eq!(&late.state().publications, all.publications());
}

// A snapshot that was written by a process that lagged: records between its bound and the first
// one that can still be read are gone. A process that took it would miss what they said, so it
// says that it is not complete and waits for the next snapshot.
#[test]
fn a_snapshot_behind_the_gap_is_not_taken() {
    let all = replay(&[publish(1, "ana", 0, &text(1))]);
    let mut late = ConfigReplay::default();
    late.on_gap(Offset(5));
    late.apply(Offset(5), &record(50, "entry-a", all.snapshot(Offset(4))));
    assert!(!late.is_complete());
    late.apply(Offset(6), &record(51, "entry-b", all.snapshot(Offset(6))));
    assert!(late.is_complete());
}

// A process that has read everything comes upon a snapshot whose bound is older than the newest
// publication. It must not go back to it.
#[test]
fn an_old_snapshot_after_a_newer_revision_changes_nothing() {
    let first = replay(&[publish(1, "ana", 0, &text(1))]);
    let snapshot = record(50, "entry-a", first.snapshot(Offset(1)));
    let records = [
        publish(1, "ana", 0, &text(1)),
        publish(2, "bo", 1, &text(2)),
        snapshot,
    ];
    assert_eq!(rank(&replay(&records)), 2);
}

// Two entries see the same decider gone and claim at once. Only the first may give orders, or two
// deciders would undo each other's.
#[test]
fn of_two_deciders_the_first_claim_holds() {
    let claim = |id, vm, over| {
        let body = RecordBody::DeciderClaim {
            service: service(),
            over,
        };
        record(id, vm, body)
    };
    let mut config = replay(&[claim(1, "a", None)]);
    let over = Some(FencingNumber(0));
    let changes = config.apply(Offset(1), &claim(2, "b", over));
    assert!(matches!(changes[..], [ConfigChange::DeciderClaimed { .. }]));
    let changes = config.apply(Offset(2), &claim(3, "c", over));
    assert!(matches!(
        changes[..],
        [ConfigChange::DeciderClaimLost { .. }]
    ));
    let decider = config.decider(&service()).expect("one");
    assert_eq!(
        (decider.vm.as_str(), decider.fencing),
        ("b", FencingNumber(1))
    );
}
