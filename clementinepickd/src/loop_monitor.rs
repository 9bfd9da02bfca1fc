//! Lets the two event loops of a process monitor each other, and logs one that stands still.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use actix_rt::time::sleep;
use clementinepick::event::{Event, EventKind};
use slog::Logger;

use crate::logging::write_event;

/// The interval at which a loop counts a turn and looks at the other's count.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// How long a loop may stand still before that is logged.
const STALL_LIMIT: Duration = Duration::from_secs(1);
/// How much of the time between two checks counts as observed: the rest, the checking loop stood still itself.
const MAX_OBSERVED: Duration = Duration::from_millis(400);

/// The view that one event loop has of another.
pub(crate) struct LoopMonitor {
    own_turns: Arc<AtomicU64>,
    other_turns: Arc<AtomicU64>,
    /// The thread of the other loop.
    other_thread: &'static str,
    logger: Logger,
}

/// Returns the monitors of two loops, which run on the threads `first` and `second`.
pub(crate) fn loop_monitors(
    first: &'static str,
    second: &'static str,
    logger: &Logger,
) -> (LoopMonitor, LoopMonitor) {
    let first_turns = Arc::new(AtomicU64::new(0));
    let second_turns = Arc::new(AtomicU64::new(0));
    let of_first = LoopMonitor {
        own_turns: Arc::clone(&first_turns),
        other_turns: Arc::clone(&second_turns),
        other_thread: second,
        logger: logger.clone(),
    };
    let of_second = LoopMonitor {
        own_turns: second_turns,
        other_turns: first_turns,
        other_thread: first,
        logger: logger.clone(),
    };
    (of_first, of_second)
}

impl LoopMonitor {
    /// Counts the turns of this loop, and logs when the other stands still and goes on.
    pub(crate) async fn run(&self) -> Infallible {
        let mut detector = StallDetector::new(Instant::now());
        loop {
            self.own_turns.fetch_add(1, Ordering::Relaxed);
            let turns = self.other_turns.load(Ordering::Relaxed);
            if let Some(change) = detector.check(turns, Instant::now()) {
                self.log(change);
            }
            sleep(CHECK_INTERVAL).await;
        }
    }

    fn log(&self, change: StallChange) {
        let (kind, stalled) = match change {
            StallChange::Stalled(stalled) => (EventKind::ThreadStalled, stalled),
            StallChange::Resumed(stalled) => (EventKind::ThreadResumed, stalled),
        };
        let event = Event::new(kind)
            .with("thread", self.other_thread)
            .with("stalled_ms", stalled.as_millis());
        write_event(&self.logger, &event);
    }
}

/// A change of another loop, with the time for which it has stood still.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StallChange {
    Stalled(Duration),
    Resumed(Duration),
}

/// Decides from the turns of a loop whether it stands still.
struct StallDetector {
    turns: u64,
    /// When the loop was last known to run, later by the time that was not observed since.
    ran_at: Instant,
    checked_at: Instant,
    is_stalled: bool,
}

impl StallDetector {
    const fn new(now: Instant) -> Self {
        Self {
            turns: 0,
            ran_at: now,
            checked_at: now,
            is_stalled: false,
        }
    }

    fn check(&mut self, turns: u64, now: Instant) -> Option<StallChange> {
        let unobserved = now.saturating_duration_since(self.checked_at + MAX_OBSERVED);
        self.checked_at = now;
        // The other loop may have run and stopped again meanwhile, or the whole process stood still.
        self.ran_at += unobserved;
        let stalled = now.saturating_duration_since(self.ran_at);
        if turns != self.turns {
            self.turns = turns;
            self.ran_at = now;
            let was_stalled = std::mem::take(&mut self.is_stalled);
            return was_stalled.then_some(StallChange::Resumed(stalled));
        }
        let is_new = !self.is_stalled && stalled >= STALL_LIMIT;
        self.is_stalled |= is_new;
        is_new.then_some(StallChange::Stalled(stalled))
    }
}

#[cfg(test)]
mod tests {
    use std::thread;

    use actix_rt::Runtime;

    use super::*;
    use crate::gateway_tests::Log;
    use crate::logging::new_unnamed_logger;

    /// How long a thread hangs.
    const HANG: Duration = Duration::from_secs(3);

    /// Returns the changes that a loop sees which checks the other's turns at the given times, in milliseconds.
    fn changes(checks: &[(u64, u64)]) -> Vec<(u64, StallChange)> {
        let start = Instant::now();
        let mut detector = StallDetector::new(start);
        let checks = checks.iter();
        let changes = checks.filter_map(|&(now_ms, turns)| {
            let change = detector.check(turns, start + Duration::from_millis(now_ms));
            change.map(|change| (now_ms, change))
        });
        changes.collect()
    }

    /// Returns checks at regular times; the other loop stands still between two of them.
    fn checks_of_stall(from_ms: u64, until_ms: u64) -> Vec<(u64, u64)> {
        let times = (0..4_000).step_by(200);
        let turns = |now_ms| {
            if now_ms < until_ms {
                from_ms.min(now_ms)
            } else {
                now_ms
            }
        };
        times.map(|now_ms| (now_ms, turns(now_ms))).collect()
    }

    /// Guards against a loop that stands still and shows it nowhere.
    #[test]
    fn a_loop_that_stands_still_is_reported_once_and_when_it_goes_on() {
        let expected = [
            (2_000, StallChange::Stalled(Duration::from_secs(1))),
            (3_000, StallChange::Resumed(Duration::from_secs(2))),
        ];
        assert_eq!(changes(&checks_of_stall(1_000, 3_000)), expected);
    }

    /// Guards against a loop that never begins and shows it nowhere.
    #[test]
    fn a_loop_that_never_runs_is_reported() {
        let expected = [(1_000, StallChange::Stalled(Duration::from_secs(1)))];
        assert_eq!(changes(&checks_of_stall(0, u64::MAX)), expected);
    }

    #[test]
    fn a_short_stall_is_not_reported() {
        assert_eq!(changes(&checks_of_stall(1_000, 1_800)), []);
    }

    /// Guards against a hang that is never reported since the other loop is late now and then.
    #[test]
    fn a_stall_is_reported_by_a_loop_that_is_late_itself() {
        let checks: Vec<(u64, u64)> = (0..8).map(|number| (number * 700, 0)).collect();
        let expected = [(2_100, StallChange::Stalled(Duration::from_millis(1_200)))];
        assert_eq!(changes(&checks), expected);
    }

    /// Guards against a hang of one of the two threads that the other does not log.
    #[test]
    fn each_of_two_loops_logs_a_hang_of_the_other() {
        for hanging in ["one", "two"] {
            let log = Log::default();
            let logger = new_unnamed_logger(log.clone());
            let (one, two) = loop_monitors("one", "two", &logger);
            let threads = [("one", one), ("two", two)].map(|(name, monitor)| {
                thread::spawn(move || run_for_a_while(&monitor, name == hanging))
            });
            for thread in threads {
                thread.join().expect("a thread");
            }
            for message in ["thread_stalled", "thread_resumed"] {
                let text = log.text();
                let named = format!("\"thread\":\"{hanging}\"");
                let is_logged = |line: &str| line.contains(message) && line.contains(&named);
                // On a processor that is short, the other may stand still as well.
                assert!(text.lines().any(is_logged), "{text}");
            }
        }
    }

    /// Runs the loop of a thread, which hangs for a part of the time.
    fn run_for_a_while(monitor: &LoopMonitor, hangs: bool) {
        let work = async {
            sleep(CHECK_INTERVAL).await;
            if hangs {
                thread::sleep(HANG);
            } else {
                sleep(HANG).await;
            }
            sleep(STALL_LIMIT / 2).await;
        };
        Runtime::new().expect("an event loop").block_on(async {
            tokio::select! {
                () = work => {}
                never = monitor.run() => match never {},
            }
        });
    }

    #[test]
    fn a_process_that_was_suspended_is_not_reported() {
        let checks = [(0, 1), (200, 2), (30_200, 2), (30_400, 3), (30_600, 4)];
        assert_eq!(changes(&checks), []);
    }
}
