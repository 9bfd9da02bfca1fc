//! Tests the core of the log service: appends, reads, retention and faults.

use clementinepick::ids::Offset;
use clementinepick::platform::StreamName;
use clementinepick::units::{MilliPerS, SpanUs, TimeUs};
use standins::log_service::{AppendFault, LogError, LogService, LogSettings};

const STREAM: StreamName = StreamName::Journal;

fn append(log: &mut LogService, now: TimeUs, text: &str) -> Result<Offset, LogError> {
    let response = log.append(now, STREAM, vec![text.to_owned()]);
    response.map(|response| response.first_offset)
}

fn texts(log: &mut LogService, now: TimeUs) -> Vec<String> {
    let response = log
        .read(now, STREAM, Offset(0), 100)
        .expect("the log is available");
    response
        .records
        .into_iter()
        .map(|record| record.text)
        .collect()
}

/// A writer without a response cannot tell whether its record was written at once, is written later
/// or never is; only reading on tells.
#[test]
fn after_a_lost_response_the_record_may_be_stored() {
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
fn expired_records_are_removed_and_offsets_stay() {
    let mut log = LogService::new(LogSettings {
        retention_us: SpanUs::from_s(10),
        ..LogSettings::default()
    });
    append(&mut log, TimeUs(0), "old").expect("the log is available");
    append(&mut log, TimeUs(5_000_000), "new").expect("the log is available");
    let response = log.read(TimeUs(10_000_000), STREAM, Offset(0), 100);
    let response = response.expect("the log is available");
    assert_eq!((response.earliest, response.end), (Offset(1), Offset(2)));
    assert_eq!(response.records[0].offset, Offset(1));
    let response = log.read(TimeUs(20_000_000), STREAM, Offset(0), 100);
    assert_eq!(response.expect("the log is available").earliest, Offset(2));
    assert_eq!(append(&mut log, TimeUs(20_000_000), "next"), Ok(Offset(2)));
}

#[test]
fn appends_over_the_rate_are_refused_with_a_retry_delay() {
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
fn an_outage_refuses_reads_and_appends_and_loses_nothing() {
    let mut log = LogService::new(LogSettings::default());
    append(&mut log, TimeUs(0), "before").expect("the log is available");
    log.add_outage(TimeUs(10), TimeUs(20));
    assert_eq!(append(&mut log, TimeUs(10), "during"), Err(LogError::Down));
    let read = log.read(TimeUs(19), STREAM, Offset(0), 1);
    assert_eq!(read, Err(LogError::Down));
    assert_eq!(append(&mut log, TimeUs(20), "after"), Ok(Offset(1)));
    assert_eq!(texts(&mut log, TimeUs(20)), ["before", "after"]);
}

#[test]
fn a_read_starts_at_its_offset_and_ends_at_its_limit() {
    let mut log = LogService::new(LogSettings::default());
    let batch = (0..10).map(|n| n.to_string()).collect();
    log.append(TimeUs(0), STREAM, batch)
        .expect("the log is available");
    let response = log
        .read(TimeUs(0), STREAM, Offset(4), 3)
        .expect("the log is available");
    let read: Vec<_> = response
        .records
        .iter()
        .map(|r| (r.offset.0, r.text.as_str()))
        .collect();
    assert_eq!(read, [(4, "4"), (5, "5"), (6, "6")]);
    assert_eq!(response.end, Offset(10));
    let other = log.read(TimeUs(0), StreamName::Config, Offset(0), 3);
    assert_eq!(other.expect("the log is available").end, Offset(0));
}
