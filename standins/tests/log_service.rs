//! The log service's core: what is written, what is answered, and what is kept.

use clementinepick::ids::Offset;
use clementinepick::platform::StreamName;
use clementinepick::units::{MilliPerS, SpanUs, TimeUs};
use standins::log_service::{AppendFault, LogError, LogService, LogSettings};

const STREAM: StreamName = StreamName::Journal;

fn append(log: &mut LogService, now: TimeUs, text: &str) -> Result<Offset, LogError> {
    let answer = log.append(now, STREAM, vec![text.to_owned()]);
    answer.map(|answer| answer.first_offset)
}

fn texts(log: &mut LogService, now: TimeUs) -> Vec<String> {
    let answer = log.read(now, STREAM, Offset(0), 100).expect("up");
    answer
        .records
        .into_iter()
        .map(|record| record.text)
        .collect()
}

/// A writer gets no answer and can't tell whether its record is in the log: it is there at once,
/// or there a little later, or never. Only reading on tells.
#[test]
fn after_a_lost_answer_the_record_may_be_there() {
    let mut log = LogService::new(LogSettings::default());
    log.script([
        Some(AppendFault::LostResponse),
        Some(AppendFault::LostRequest),
        Some(AppendFault::LateWrite(SpanUs::from_ms(50))),
        None,
    ]);
    for text in ["kept", "lost", "late"] {
        assert_eq!(append(&mut log, TimeUs(0), text), Err(LogError::NoResponse));
    }
    assert_eq!(append(&mut log, TimeUs(0), "plain"), Ok(Offset(1)));
    assert_eq!(texts(&mut log, TimeUs(49_999)), ["kept", "plain"]);
    assert_eq!(texts(&mut log, TimeUs(50_000)), ["kept", "plain", "late"]);
}

#[test]
fn old_records_go_and_offsets_stay() {
    let mut log = LogService::new(LogSettings {
        retention_us: SpanUs::from_s(10),
        ..LogSettings::default()
    });
    append(&mut log, TimeUs(0), "old").expect("up");
    append(&mut log, TimeUs(5_000_000), "new").expect("up");
    let answer = log.read(TimeUs(10_000_000), STREAM, Offset(0), 100);
    let answer = answer.expect("up");
    assert_eq!((answer.earliest, answer.end), (Offset(1), Offset(2)));
    assert_eq!(answer.records[0].offset, Offset(1));
    let answer = log.read(TimeUs(20_000_000), STREAM, Offset(0), 100);
    assert_eq!(answer.expect("up").earliest, Offset(2));
    assert_eq!(append(&mut log, TimeUs(20_000_000), "next"), Ok(Offset(2)));
}

#[test]
fn appends_over_the_rate_are_refused_with_the_time_to_wait() {
    let mut log = LogService::new(LogSettings {
        append_rate: MilliPerS::per_s(100),
        append_burst: 2,
        ..LogSettings::default()
    });
    let now = TimeUs(1_000_000);
    assert!(append(&mut log, now, "a").is_ok());
    assert!(append(&mut log, now, "b").is_ok());
    let wait = match append(&mut log, now, "c") {
        Err(LogError::RateLimited(wait)) => wait,
        other => panic!("{other:?}"),
    };
    assert_eq!(wait, SpanUs::from_ms(10));
    assert!(append(&mut log, now.after(wait), "c").is_ok());
    assert_eq!(texts(&mut log, now.after(wait)), ["a", "b", "c"]);
}

#[test]
fn an_outage_refuses_reads_and_writes_and_loses_nothing() {
    let mut log = LogService::new(LogSettings::default());
    append(&mut log, TimeUs(0), "before").expect("up");
    log.add_outage(TimeUs(10), TimeUs(20));
    assert_eq!(append(&mut log, TimeUs(10), "during"), Err(LogError::Down));
    let read = log.read(TimeUs(19), STREAM, Offset(0), 1);
    assert_eq!(read, Err(LogError::Down));
    assert_eq!(append(&mut log, TimeUs(20), "after"), Ok(Offset(1)));
    assert_eq!(texts(&mut log, TimeUs(20)), ["before", "after"]);
}

#[test]
fn a_read_begins_where_asked_and_ends_at_its_limit() {
    let mut log = LogService::new(LogSettings::default());
    let batch = (0..10).map(|n| n.to_string()).collect();
    log.append(TimeUs(0), STREAM, batch).expect("up");
    let answer = log.read(TimeUs(0), STREAM, Offset(4), 3).expect("up");
    let read: Vec<_> = answer
        .records
        .iter()
        .map(|r| (r.offset.0, r.text.as_str()))
        .collect();
    assert_eq!(read, [(4, "4"), (5, "5"), (6, "6")]);
    assert_eq!(answer.end, Offset(10));
    let other = log.read(TimeUs(0), StreamName::Config, Offset(0), 3);
    assert_eq!(other.expect("up").end, Offset(0));
}
