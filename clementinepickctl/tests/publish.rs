//! Tests `publish` with a log that loses responses, refuses appends, fails, or delays records.

use clementinepick::config_replay::Verdict;
use clementinepick::ids::{Offset, OperationId, Revision};
use clementinepick::journal::AppendOutcome;
use clementinepick::platform::{ReadResponse, StoredRecord};
use clementinepick::record::Record;
use clementinepick::units::SpanUs;
use clementinepickctl::exit::ExitCode;
use clementinepickctl::publish::{Publish, PublishOutcome, PublishSettings, Step};
use clementinepickctl::run::report_publish;
use expect_test::expect;

/// A fault of the log in an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    LostRequest,
    LostResponse,
    /// The record appears only after the next read, and the response is lost.
    Delayed,
    Refused,
}

#[derive(Default)]
struct Log {
    records: Vec<Record>,
    delayed: Vec<Record>,
    faults: Vec<Fault>,
    is_unreadable: bool,
    /// A record of another operator, appended just before the next append.
    rival: Option<Record>,
}

impl Log {
    fn read(&mut self, from: Offset) -> Option<ReadResponse> {
        if self.is_unreadable {
            return None;
        }
        let stored = (0..)
            .zip(&self.records)
            .map(|(offset, record)| StoredRecord {
                offset: Offset(offset),
                text: serde_json::to_string(record).expect("serializable"),
            });
        let response = ReadResponse {
            earliest: Offset(0),
            end: Offset(self.records.len() as u64),
            records: stored.filter(|stored| stored.offset >= from).collect(),
        };
        self.records.append(&mut self.delayed);
        Some(response)
    }

    fn append(&mut self, record: Record) -> AppendOutcome {
        self.records.extend(self.rival.take());
        let fault = (!self.faults.is_empty()).then(|| self.faults.remove(0));
        match fault {
            Some(Fault::Refused) => return AppendOutcome::Refused,
            Some(Fault::LostRequest) => return AppendOutcome::Unknown,
            Some(Fault::Delayed) => self.delayed.push(record),
            Some(Fault::LostResponse) | None => self.records.push(record),
        }
        match fault {
            None => AppendOutcome::Appended(Offset(self.records.len() as u64 - 1)),
            Some(_) => AppendOutcome::Unknown,
        }
    }

    fn run(&mut self, settings: PublishSettings) -> PublishOutcome {
        let mut publish = Publish::new(settings);
        let mut step = publish.start();
        loop {
            step = match step {
                Step::Finished(outcome) => return outcome,
                Step::Read { from, .. } => publish.on_read(self.read(from).as_ref()),
                Step::Append { record, .. } => publish.on_append(self.append(*record)),
            };
        }
    }
}

fn text(rank: u32) -> String {
    format!("[service]\nname = s\nkind = engine\n[class c]\nrank = {rank}\n")
}

fn settings(operation: u128, author: &str, rank: u32) -> PublishSettings {
    PublishSettings {
        operation: OperationId(operation),
        author: author.parse().expect("a name"),
        base: None,
        is_resume: false,
        text: Some(text(rank)),
        max_failures: 4,
        backoff_us: SpanUs::from_ms(1),
    }
}

fn accepted_revision(outcome: &PublishOutcome) -> Option<u64> {
    match outcome {
        PublishOutcome::Recorded(publication) => match publication.verdict {
            Verdict::Accepted { revision } => Some(revision.0),
            Verdict::Outrun { .. } | Verdict::Wrong { .. } => None,
        },
        _ => None,
    }
}

fn exit(outcome: &PublishOutcome) -> ExitCode {
    report_publish(OperationId(1), outcome).exit
}

#[test]
fn a_document_is_published_and_read_back() {
    let mut log = Log::default();
    assert_eq!(accepted_revision(&log.run(settings(1, "ana", 1))), Some(1));
    assert_eq!(accepted_revision(&log.run(settings(2, "ana", 2))), Some(2));
    let again = log.run(settings(3, "ana", 2));
    assert!(matches!(again, PublishOutcome::Unchanged { .. }));
    assert_eq!(log.records.len(), 2);
}

#[test]
fn an_invalid_document_is_not_appended() {
    let mut log = Log::default();
    let invalid = PublishSettings {
        text: Some("[service]\nnmae = s\n".to_owned()),
        ..settings(1, "ana", 1)
    };
    let outcome = log.run(invalid);
    assert_eq!(exit(&outcome), ExitCode::InvalidDocument);
    assert!(log.records.is_empty());
}

// Two operators publish documents based on revision 1. The second record in the log loses, and its
// operator sees the winning author and revision.
#[test]
fn a_conflict_names_the_winning_author_and_revision() {
    let mut log = Log::default();
    log.run(settings(1, "ana", 1));
    let mut rivals = Log::default();
    rivals.run(settings(1, "ana", 1));
    rivals.run(settings(2, "bo", 2));
    log.rival = rivals.records.pop();
    let outcome = log.run(settings(3, "ana", 3));
    assert_eq!(exit(&outcome), ExitCode::Conflict);
    expect!["s: outrun by bo: revision 2 is in force (operation 00000000000000000000000000000003)"]
        .assert_eq(&report_publish(OperationId(3), &outcome).text);
}

// `--base 1` keeps the operator from overwriting revision 2, which another operator has published
// since.
#[test]
fn a_document_based_on_an_old_revision_is_refused() {
    let mut log = Log::default();
    log.run(settings(1, "ana", 1));
    log.run(settings(2, "bo", 2));
    let stale = PublishSettings {
        base: Some(Revision(1)),
        ..settings(3, "ana", 3)
    };
    assert_eq!(exit(&log.run(stale)), ExitCode::Conflict);
}

// The record is appended but the response is lost: reading finds the record, and nothing is appended
// again.
#[test]
fn after_a_lost_response_the_record_is_found_by_reading() {
    let mut log = Log {
        faults: vec![Fault::LostResponse],
        ..Log::default()
    };
    assert_eq!(accepted_revision(&log.run(settings(1, "ana", 1))), Some(1));
    assert_eq!(log.records.len(), 1);
}

// The request is lost: reading does not find the record, so it is appended again.
#[test]
fn after_a_lost_request_the_record_is_appended_again() {
    let mut log = Log {
        faults: vec![Fault::LostRequest, Fault::Refused],
        ..Log::default()
    };
    assert_eq!(accepted_revision(&log.run(settings(1, "ana", 1))), Some(1));
    assert_eq!(log.records.len(), 1);
}

// The response is lost and the record appears only after the next read, so it is appended twice. Both
// records have the same id and operation and must count once.
#[test]
fn a_delayed_record_and_its_duplicate_count_once() {
    let mut log = Log {
        faults: vec![Fault::Delayed],
        ..Log::default()
    };
    assert_eq!(accepted_revision(&log.run(settings(1, "ana", 1))), Some(1));
    assert_eq!(log.records.len(), 2);
    assert_eq!(log.records[0].id, log.records[1].id);
    assert_eq!(accepted_revision(&log.run(settings(2, "ana", 2))), Some(2));
}

// The log fails right after the append: the outcome must be unknown, with the base, rather than a
// failure. Once the log is back, `--resume` finds revision 1 and appends nothing.
#[test]
fn after_an_outage_following_the_append_the_outcome_is_unknown_until_resumed() {
    let mut log = Log::default();
    let mut publish = Publish::new(settings(1, "ana", 1));
    publish.start();
    let response = log.read(Offset(0));
    let Step::Append { record, .. } = publish.on_read(response.as_ref()) else {
        panic!("the log is empty, so the next step must be an append");
    };
    log.append(*record);
    let mut step = publish.on_append(AppendOutcome::Unknown);
    while matches!(step, Step::Read { .. }) {
        step = publish.on_read(None);
    }
    let Step::Finished(outcome) = step else {
        panic!("an unreadable log must end the run without an append: {step:?}");
    };
    assert_eq!(outcome, PublishOutcome::Unknown { base: Revision(0) });
    assert_eq!(exit(&outcome), ExitCode::Unknown);

    let resumed = PublishSettings {
        is_resume: true,
        base: Some(Revision(0)),
        ..settings(1, "ana", 1)
    };
    assert_eq!(accepted_revision(&log.run(resumed)), Some(1));
    assert_eq!(log.records.len(), 1);
}

// The log fails before any append: the document is definitely not published, so the outcome must not
// be unknown.
#[test]
fn after_an_outage_before_the_append_nothing_is_published() {
    let mut log = Log {
        is_unreadable: true,
        ..Log::default()
    };
    let outcome = log.run(settings(1, "ana", 1));
    assert_eq!(outcome, PublishOutcome::LogUnreachable);
    assert_eq!(exit(&outcome), ExitCode::Unreachable);
}

#[test]
fn refused_appends_are_unknown_only_after_a_lost_request() {
    let mut log = Log {
        faults: vec![Fault::Refused; 9],
        ..Log::default()
    };
    assert_eq!(log.run(settings(1, "ana", 1)), PublishOutcome::Refused);
    log.faults = vec![
        Fault::LostRequest,
        Fault::Refused,
        Fault::Refused,
        Fault::Refused,
    ];
    let outcome = log.run(settings(1, "ana", 1));
    assert!(
        matches!(outcome, PublishOutcome::Unknown { .. }),
        "{outcome:?}"
    );
}

// Resuming without a document only queries the outcome; nothing may be appended.
#[test]
fn querying_an_operation_appends_nothing() {
    let mut log = Log::default();
    let query = |operation| PublishSettings {
        is_resume: true,
        text: None,
        ..settings(operation, "ana", 1)
    };
    let outcome = log.run(query(1));
    assert_eq!(exit(&outcome), ExitCode::NotFound);
    assert!(log.records.is_empty());
    log.run(settings(1, "ana", 1));
    assert_eq!(accepted_revision(&log.run(query(1))), Some(1));
}
