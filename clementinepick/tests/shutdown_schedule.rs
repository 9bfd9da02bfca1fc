//! Tests which requests a process takes that shuts down.

use clementinepick::shutdown_schedule::ShutdownSchedule;
use clementinepick::units::{SpanUs, TimeUs};

const START: TimeUs = TimeUs(1_000_000);

fn after(ms: u64) -> TimeUs {
    START.after(SpanUs::from_ms(ms))
}

fn schedule() -> ShutdownSchedule {
    ShutdownSchedule::new(START, SpanUs::from_ms(2_500), SpanUs::from_ms(7_400))
}

#[test]
fn all_requests_are_taken_during_the_notice() {
    for deadline_ms in [2_500, 7_200, 600_000] {
        assert!(schedule().takes(after(2_499), after(deadline_ms)));
    }
}

/// Guards against a request that may still run when the process ends.
#[test]
fn later_requests_are_taken_until_their_deadlines_are_too_late() {
    for now_ms in [2_500, 5_000, 7_199] {
        assert!(schedule().takes(after(now_ms), after(7_200)));
        assert!(!schedule().takes(after(now_ms), after(7_201)));
    }
}

#[test]
fn running_requests_are_answered_before_the_end() {
    let schedule = schedule();
    assert_eq!(schedule.until_answers(START), SpanUs::from_ms(7_200));
    assert_eq!(schedule.until_end(START), SpanUs::from_ms(7_400));
    assert_eq!(schedule.until_end(after(9_000)), SpanUs(0));
}

/// Guards against a limit below the time for answers.
#[test]
fn a_short_limit_leaves_no_time_to_run() {
    let schedule = ShutdownSchedule::new(START, SpanUs(0), SpanUs::from_ms(100));
    assert!(schedule.takes(START, START));
    assert!(!schedule.takes(START, after(1)));
}
