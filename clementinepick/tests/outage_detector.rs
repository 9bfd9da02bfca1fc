//! When entries that have vanished are still believed.

use clementinepick::outage_detector::OutageDetector;
use clementinepick::units::{SpanUs, TimeUs};

fn at_ms(ms: u64) -> TimeUs {
    TimeUs(0).after(SpanUs::from_ms(ms))
}

/// Callers' requests reach a server two seconds after it left. News of the configuration ends each
/// wait before the servers are read, nothing is read for minutes, and no call fails. Taken as an
/// outage, that time keeps the server in use after its entry has vanished.
#[test]
fn a_time_without_readings_is_no_outage() {
    let mut outage = OutageDetector::default();
    assert_eq!(outage.record_successful_read(at_ms(0)), None);
    assert_eq!(outage.record_successful_read(at_ms(180_000)), None);
    assert!(!outage.is_in_grace_period(at_ms(180_000)));
}

/// The store loses an answer now and then, as it does on bad days. Nothing lapses in so short a time,
/// and servers that leave must leave.
#[test]
fn readings_that_fail_alone_are_no_outage() {
    let mut outage = OutageDetector::default();
    for second in 0..60 {
        outage.record_failed_read(at_ms(second * 1_000));
        assert_eq!(
            outage.record_successful_read(at_ms(second * 1_000 + 300)),
            None
        );
    }
    assert!(!outage.is_in_grace_period(at_ms(60_000)));
}

/// The store is away for five seconds, and entries lapse with it. Without the grace, each server
/// would be taken away at its return and every request be refused for two seconds.
#[test]
fn entries_that_lapsed_are_believed_for_two_seconds_after_an_outage() {
    let mut outage = OutageDetector::default();
    assert_eq!(outage.record_successful_read(at_ms(0)), None);
    for failed in 0..5 {
        outage.record_failed_read(at_ms(150 + failed * 1_000));
    }
    let ended = outage
        .record_successful_read(at_ms(5_200))
        .expect("an outage");
    assert_eq!(ended.silence_us, SpanUs::from_ms(5_050));
    assert_eq!(ended.failed_reads, 5);
    assert!(outage.is_in_grace_period(at_ms(7_199)));
    assert!(!outage.is_in_grace_period(at_ms(7_200)));
    assert_eq!(outage.record_successful_read(at_ms(7_300)), None);
}
