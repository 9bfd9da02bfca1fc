//! Tests the detection of store outages, after which missing entries are kept for a while.

use clementinepick::outage_detector::OutageDetector;
use clementinepick::units::{SpanUs, TimeUs};

fn at_ms(ms: u64) -> TimeUs {
    TimeUs(0).after(SpanUs::from_ms(ms))
}

/// Frequent changes of the configuration keep the list of servers from being read for minutes,
/// without any failure. If that counted as an outage, a server that has left would still get
/// requests.
#[test]
fn a_time_without_reads_is_no_outage() {
    let mut outage = OutageDetector::default();
    assert_eq!(outage.record_successful_read(at_ms(0)), None);
    assert_eq!(outage.record_successful_read(at_ms(180_000)), None);
    assert!(!outage.is_in_grace_period(at_ms(180_000)));
}

/// The store loses single responses. No entry expires in so short a time, so missing servers have
/// left.
#[test]
fn single_failed_reads_are_no_outage() {
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

/// Entries expire during an outage of the store. Without the grace period, all servers would be
/// removed when it returns, and every request refused until they have registered again.
#[test]
fn an_outage_is_followed_by_a_grace_period_of_two_seconds() {
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
