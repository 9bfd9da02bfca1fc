//! Tests the detection of store outages, after which missing entries are kept for a while.

use clementinepick::outage_detector::FailureKind::{Inconclusive, Unavailable};
use clementinepick::outage_detector::OutageDetector;
use clementinepick::units::{SpanUs, TimeUs};

fn at_ms(ms: u64) -> TimeUs {
    TimeUs(0).after(SpanUs::from_ms(ms))
}

fn is_in_grace_period(outage: &OutageDetector, now: TimeUs) -> bool {
    outage.grace_left(now) > SpanUs(0)
}

/// Frequent changes of the configuration keep the list of servers from being read for minutes,
/// without any failure. If that counted as an outage, a server that has left would still get
/// requests.
#[test]
fn a_time_without_reads_is_no_outage() {
    let mut outage = OutageDetector::default();
    assert_eq!(outage.record_response(at_ms(0)), None);
    assert_eq!(outage.record_response(at_ms(180_000)), None);
    assert!(!is_in_grace_period(&outage, at_ms(180_000)));
}

/// The store loses single responses. No entry expires in so short a time, so missing servers have
/// left.
#[test]
fn single_failed_reads_are_no_outage() {
    let mut outage = OutageDetector::default();
    for second in 0..60 {
        outage.record_failure(at_ms(second * 1_000), Unavailable);
        assert_eq!(outage.record_response(at_ms(second * 1_000 + 300)), None);
    }
    assert!(!is_in_grace_period(&outage, at_ms(60_000)));
}

/// A lost response is noticed late by a process that has little processor time, or with a long
/// timeout. A server that has left meanwhile would still get requests.
#[test]
fn one_lost_response_is_no_outage_however_late_it_is_noticed() {
    for kind in [Inconclusive, Unavailable] {
        for noticed_ms in [1_150, 1_600, 2_519, 10_000] {
            let mut outage = OutageDetector::default();
            outage.record_failure(at_ms(0), kind);
            assert_eq!(outage.record_response(at_ms(noticed_ms)), None);
            assert!(!is_in_grace_period(&outage, at_ms(noticed_ms)));
        }
    }
}

/// Open connections fall silent while the store serves new ones. However many there are, they do
/// not show that the store was unavailable.
#[test]
fn connections_that_fall_silent_are_no_outage() {
    let mut outage = OutageDetector::default();
    for failed in 0..10 {
        outage.record_failure(at_ms(failed * 600), Inconclusive);
    }
    outage.record_failure(at_ms(6_000), Unavailable);
    assert_eq!(outage.record_response(at_ms(6_610)), None);
    assert!(!is_in_grace_period(&outage, at_ms(6_610)));
}

/// A lost long poll, and two lost responses soon after it: no entry expires in so short a time.
#[test]
fn a_few_lost_responses_in_a_row_are_no_outage() {
    let mut outage = OutageDetector::default();
    outage.record_failure(at_ms(0), Inconclusive);
    outage.record_failure(at_ms(1_600), Unavailable);
    outage.record_failure(at_ms(1_770), Unavailable);
    assert_eq!(outage.record_response(at_ms(2_100)), None);
    assert!(!is_in_grace_period(&outage, at_ms(2_100)));
}

/// A store that becomes 60 times slower responds to the third attempt, whose timeout has grown.
/// Servers renew their entries all the while, so missing ones have left.
#[test]
fn a_store_that_becomes_slow_is_no_outage() {
    let mut outage = OutageDetector::default();
    outage.record_failure(at_ms(0), Inconclusive);
    outage.record_failure(at_ms(1_150), Unavailable);
    outage.record_failure(at_ms(1_330), Unavailable);
    assert_eq!(outage.record_response(at_ms(2_000)), None);
    assert!(!is_in_grace_period(&outage, at_ms(2_000)));
}

/// A response, as of a read through a peer, shows that the store was available meanwhile.
#[test]
fn failures_before_a_response_do_not_count_with_those_after_it() {
    let mut outage = OutageDetector::default();
    for read in 0..20 {
        outage.record_failure(at_ms(read * 650), Unavailable);
        assert_eq!(outage.record_response(at_ms(read * 650 + 620)), None);
    }
    assert!(!is_in_grace_period(&outage, at_ms(13_000)));
}

/// Entries expire during an outage of the store. Without the grace period, all servers would be
/// removed when it returns, and every request refused until they have registered again.
#[test]
fn an_outage_is_followed_by_a_grace_period_of_two_seconds() {
    let mut outage = OutageDetector::default();
    assert_eq!(outage.record_response(at_ms(0)), None);
    for failed in 0..5 {
        outage.record_failure(at_ms(150 + failed * 1_000), Unavailable);
    }
    let ended = outage.record_response(at_ms(5_200)).expect("an outage");
    assert_eq!(ended.silence_us, SpanUs::from_ms(5_050));
    assert_eq!(ended.failed_reads, 5);
    assert!(is_in_grace_period(&outage, at_ms(7_199)));
    assert!(!is_in_grace_period(&outage, at_ms(7_200)));
    assert_eq!(outage.record_response(at_ms(7_300)), None);
}

/// A store that falls silent in a long poll is known to be unavailable by the attempts after it.
/// Entries may expire once two heartbeats, of 1.2 s each, are missed.
#[test]
fn an_outage_that_begins_in_a_long_poll_is_detected_before_entries_expire() {
    let mut outage = OutageDetector::default();
    outage.record_failure(at_ms(0), Inconclusive);
    outage.record_failure(at_ms(1_150), Unavailable);
    outage.record_failure(at_ms(1_330), Unavailable);
    outage.record_failure(at_ms(1_680), Unavailable);
    assert!(outage.record_response(at_ms(2_300)).is_some());
    assert!(is_in_grace_period(&outage, at_ms(4_299)));
}
