//! `publish` against a log that loses answers, refuses, is out, or takes records late.

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

/// What the log does with the next append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    LostRequest,
    LostAnswer,
    /// It takes effect only after the next read.
    Late,
    Refused,
}

#[derive(Default)]
struct Log {
    records: Vec<Record>,
    late: Vec<Record>,
    faults: Vec<Fault>,
    reads_fail: bool,
    /// Published by another operator just before the next append.
    rival: Option<Record>,
}

impl Log {
    fn read(&mut self, from: Offset) -> Option<ReadResponse> {
        if self.reads_fail {
            return None;
        }
        let stored = (0..)
            .zip(&self.records)
            .map(|(offset, record)| StoredRecord {
                offset: Offset(offset),
                text: serde_json::to_string(record).expect("serializable"),
            });
        let answer = ReadResponse {
            earliest: Offset(0),
            end: Offset(self.records.len() as u64),
            records: stored.filter(|stored| stored.offset >= from).collect(),
        };
        self.records.append(&mut self.late);
        Some(answer)
    }

    fn append(&mut self, record: Record) -> AppendOutcome {
        self.records.extend(self.rival.take());
        let fault = (!self.faults.is_empty()).then(|| self.faults.remove(0));
        match fault {
            Some(Fault::Refused) => return AppendOutcome::Refused,
            Some(Fault::LostRequest) => return AppendOutcome::Unknown,
            Some(Fault::Late) => self.late.push(record),
            Some(Fault::LostAnswer) | None => self.records.push(record),
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
                Step::Finished(ended) => return ended,
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

fn accepted(ended: &PublishOutcome) -> Option<u64> {
    match ended {
        PublishOutcome::Recorded(publication) => match publication.verdict {
            Verdict::Accepted { revision } => Some(revision.0),
            Verdict::Outrun { .. } | Verdict::Wrong { .. } => None,
        },
        _ => None,
    }
}

fn exit(ended: &PublishOutcome) -> ExitCode {
    report_publish(OperationId(1), ended).exit
}

#[test]
fn a_document_is_published_and_read_back() {
    let mut log = Log::default();
    assert_eq!(accepted(&log.run(settings(1, "ana", 1))), Some(1));
    assert_eq!(accepted(&log.run(settings(2, "ana", 2))), Some(2));
    let again = log.run(settings(3, "ana", 2));
    assert!(matches!(again, PublishOutcome::Unchanged { .. }));
    assert_eq!(log.records.len(), 2);
}

#[test]
fn a_wrong_document_is_never_sent() {
    let mut log = Log::default();
    let wrong = PublishSettings {
        text: Some("[service]\nnmae = s\n".to_owned()),
        ..settings(1, "ana", 1)
    };
    let ended = log.run(wrong);
    assert_eq!(exit(&ended), ExitCode::InvalidDocument);
    assert!(log.records.is_empty());
}

// Two operators read revision 1 and publish; the other's record comes first. This one is told by
// whom it was outrun and at which revision, and its document is not in force.
#[test]
fn the_loser_of_a_race_is_told_by_whom() {
    let mut log = Log::default();
    log.run(settings(1, "ana", 1));
    let mut rivals = Log::default();
    rivals.run(settings(1, "ana", 1));
    rivals.run(settings(2, "bo", 2));
    log.rival = rivals.records.pop();
    let ended = log.run(settings(3, "ana", 3));
    assert_eq!(exit(&ended), ExitCode::Conflict);
    expect!["s: outrun by bo: revision 2 is in force (operation 00000000000000000000000000000003)"]
        .assert_eq(&report_publish(OperationId(3), &ended).text);
}

// The operator read revision 1 yesterday; someone has published revision 2 since. `--base 1` keeps
// the operator from replacing unseen what the other has changed.
#[test]
fn a_document_written_from_an_old_revision_is_refused() {
    let mut log = Log::default();
    log.run(settings(1, "ana", 1));
    log.run(settings(2, "bo", 2));
    let stale = PublishSettings {
        base: Some(Revision(1)),
        ..settings(3, "ana", 3)
    };
    assert_eq!(exit(&log.run(stale)), ExitCode::Conflict);
}

// The log takes the record and the answer is lost. Reading on shows the record, so that nothing is
// appended a second time.
#[test]
fn a_lost_answer_is_found_by_reading_on() {
    let mut log = Log {
        faults: vec![Fault::LostAnswer],
        ..Log::default()
    };
    assert_eq!(accepted(&log.run(settings(1, "ana", 1))), Some(1));
    assert_eq!(log.records.len(), 1);
}

// The request is lost: the log shows nothing, and the record is appended again.
#[test]
fn a_lost_request_is_sent_again() {
    let mut log = Log {
        faults: vec![Fault::LostRequest, Fault::Refused],
        ..Log::default()
    };
    assert_eq!(accepted(&log.run(settings(1, "ana", 1))), Some(1));
    assert_eq!(log.records.len(), 1);
}

// The answer is lost and the record takes effect only after the log was read again, so that the
// same record is appended a second time. Both have one id and one operation: they count once.
#[test]
fn a_late_record_and_its_double_count_once() {
    let mut log = Log {
        faults: vec![Fault::Late],
        ..Log::default()
    };
    assert_eq!(accepted(&log.run(settings(1, "ana", 1))), Some(1));
    assert_eq!(log.records.len(), 2);
    assert_eq!(log.records[0].id, log.records[1].id);
    assert_eq!(accepted(&log.run(settings(2, "ana", 2))), Some(2));
}

// The log goes out right after it took the record: the operator hears `unknown` with the base, not
// `failed`. When the log is back, `--resume` finds revision 1 and appends nothing.
#[test]
fn an_outage_after_the_append_is_unknown_until_resumed() {
    let mut log = Log::default();
    let mut publish = Publish::new(settings(1, "ana", 1));
    publish.start();
    let answer = log.read(Offset(0));
    let Step::Append { record, .. } = publish.on_read(answer.as_ref()) else {
        panic!("the log is empty, so that it must append");
    };
    log.append(*record);
    let mut step = publish.on_append(AppendOutcome::Unknown);
    while matches!(step, Step::Read { .. }) {
        step = publish.on_read(None);
    }
    let Step::Finished(ended) = step else {
        panic!("it must not append while it can't read: {step:?}");
    };
    assert_eq!(ended, PublishOutcome::Unknown { base: Revision(0) });
    assert_eq!(exit(&ended), ExitCode::Unknown);

    let resumed = PublishSettings {
        is_resume: true,
        base: Some(Revision(0)),
        ..settings(1, "ana", 1)
    };
    assert_eq!(accepted(&log.run(resumed)), Some(1));
    assert_eq!(log.records.len(), 1);
}

// The log was out before anything was sent: that is surely not published, and not `unknown`.
#[test]
fn an_outage_before_the_append_is_surely_nothing() {
    let mut log = Log {
        reads_fail: true,
        ..Log::default()
    };
    let ended = log.run(settings(1, "ana", 1));
    assert_eq!(ended, PublishOutcome::LogUnreachable);
    assert_eq!(exit(&ended), ExitCode::Unreachable);
}

#[test]
fn a_log_that_refuses_every_append_has_taken_none() {
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
    let ended = log.run(settings(1, "ana", 1));
    assert!(matches!(ended, PublishOutcome::Unknown { .. }), "{ended:?}");
}

// An operator resumes without the document, only to ask. Nothing may be appended.
#[test]
fn asking_for_an_operation_appends_nothing() {
    let mut log = Log::default();
    let ask = |operation| PublishSettings {
        is_resume: true,
        text: None,
        ..settings(operation, "ana", 1)
    };
    let ended = log.run(ask(1));
    assert_eq!(exit(&ended), ExitCode::NotFound);
    assert!(log.records.is_empty());
    log.run(settings(1, "ana", 1));
    assert_eq!(accepted(&log.run(ask(1))), Some(1));
}
