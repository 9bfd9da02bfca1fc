//! Tests that one publication wins everywhere and that revisions never go back.

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
    let active = config.service(&service()).expect("a document");
    active.document.classes.values().next().expect("one").rank
}

const fn accepted(revision: u64) -> Verdict {
    Verdict::Accepted {
        revision: Revision(revision),
    }
}

// Two operators publish over the same revision at once. The lower offset must win, and the other
// operator must learn the winning author and revision.
#[test]
fn first_of_two_concurrent_publications_wins() {
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
fn invalid_document_is_rejected() {
    let records = [publish(1, "ana", 0, &text(1)), publish(2, "ana", 1, "x")];
    let config = replay(&records);
    assert!(matches!(
        verdicts(&config)[..],
        [Verdict::Accepted { .. }, Verdict::Wrong { .. }]
    ));
    assert_eq!(rank(&config), 1);
}

// A resumed operation is appended again with another base although the first append succeeded. The
// second copy must not become a new revision.
#[test]
fn operation_appended_twice_counts_once() {
    let mut again = publish(1, "ana", 1, &text(9));
    again.id = RecordId(77);
    let config = replay(&[publish(1, "ana", 0, &text(1)), again]);
    assert_eq!(verdicts(&config), [accepted(1)]);
    assert_eq!(rank(&config), 1);
}

// A lagging peer sends a document that has been replaced. Adopting it would apply outdated rules.
#[test]
fn outdated_document_of_a_lagging_peer_is_ignored() {
    let old = replay(&[publish(1, "ana", 0, &text(1))]);
    let mut config = replay(&[
        publish(1, "ana", 0, &text(1)),
        publish(2, "bo", 1, &text(2)),
    ]);
    let received = old.missing_documents(None, &std::collections::BTreeMap::new());
    assert_eq!(config.adopt(received[0].clone()), Ok(false));
    assert_eq!(rank(&config), 2);
    assert_eq!(config.missing_documents(None, &old.revisions()).len(), 1);
}

// A process adopts revision 2 from a peer before it reads the record of revision 2. Verdicts must
// depend on the log alone, or the process would disagree with the others.
#[test]
fn document_adopted_from_a_peer_does_not_affect_verdicts() {
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

// A process starts after the records of revision 1 were deleted. Revision 2 was published between
// the snapshot's bound and the snapshot record, and must not be lost.
#[test]
fn late_reader_reaches_the_same_state_from_a_snapshot() {
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

// A lagging process wrote a snapshot, and records between its bound and the earliest remaining one
// are deleted. Using it would skip those records, so the reader waits for the next snapshot.
#[test]
fn snapshot_that_leaves_a_gap_is_not_used() {
    let all = replay(&[publish(1, "ana", 0, &text(1))]);
    let mut late = ConfigReplay::default();
    late.on_gap(Offset(5));
    late.apply(Offset(5), &record(50, "entry-a", all.snapshot(Offset(4))));
    assert!(!late.is_complete());
    late.apply(Offset(6), &record(51, "entry-b", all.snapshot(Offset(6))));
    assert!(late.is_complete());
}

// A complete reader reads a snapshot that is older than the newest publication and must not revert
// to it.
#[test]
fn outdated_snapshot_does_not_revert_a_complete_reader() {
    let first = replay(&[publish(1, "ana", 0, &text(1))]);
    let snapshot = record(50, "entry-a", first.snapshot(Offset(1)));
    let records = [
        publish(1, "ana", 0, &text(1)),
        publish(2, "bo", 1, &text(2)),
        snapshot,
    ];
    assert_eq!(rank(&replay(&records)), 2);
}

// Two entries replace the same lost decider at once. If both claims took effect, two deciders would
// give conflicting orders.
#[test]
fn first_of_two_decider_claims_takes_effect() {
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
