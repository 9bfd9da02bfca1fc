//! Logs when a gateway becomes ready, and what it lacks while it is not.

use std::time::{Duration, Instant};

use clementinepick::event::{Event, EventKind};

use crate::gateway_shared::Shared;

/// How long a process may be without what it must read before that is logged.
const PATIENCE: Duration = Duration::from_secs(1);
/// The interval at which it is logged again.
const REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// What was logged of the readiness of this process.
pub(crate) struct ReadinessLog {
    vm: String,
    /// Whether the last logged state is that it is ready.
    is_ready_logged: bool,
    wait: Option<Wait>,
}

/// A time without readiness.
#[derive(Debug, Clone, Copy)]
struct Wait {
    since: Instant,
    report_at: Instant,
}

impl ReadinessLog {
    pub(crate) fn new(vm: String) -> Self {
        Self {
            vm,
            is_ready_logged: false,
            wait: None,
        }
    }

    /// Logs what has changed since the last call.
    pub(crate) fn log_changes(&mut self, shared: &Shared, now: Instant) {
        if shared.is_ready(now) {
            self.wait = None;
            if !std::mem::replace(&mut self.is_ready_logged, true) {
                shared.log(&Event::new(EventKind::ProcessReady).with("vm", &self.vm));
            }
        } else if !shared.is_draining()
            && let Some(waited) = self.next_report(now)
        {
            self.is_ready_logged = false;
            shared.log(&not_ready(shared, waited, now));
        }
    }

    /// Returns how long the process has waited, when that is due to be logged.
    fn next_report(&mut self, now: Instant) -> Option<Duration> {
        let wait = self.wait.get_or_insert(Wait {
            since: now,
            report_at: now + PATIENCE,
        });
        if now < wait.report_at {
            return None;
        }
        wait.report_at = now + REPORT_INTERVAL;
        Some(now.saturating_duration_since(wait.since))
    }
}

fn not_ready(shared: &Shared, waited: Duration, now: Instant) -> Event {
    let unreadable = shared.metrics.unreadable_answers();
    Event::new(EventKind::ProcessNotReady)
        .with("waited_ms", waited.as_millis())
        .with("missing", shared.unread(now).join(", "))
        .with("unreadable", unreadable.count)
        .with("unreadable_status", unreadable.last_status)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_wait_is_logged_after_a_second_and_then_every_five() {
        let start = Instant::now();
        let mut log = ReadinessLog::new("vm-a".to_owned());
        let reported: Vec<u64> = (0..12)
            .filter(|second| {
                let now = start + Duration::from_secs(*second);
                log.next_report(now).is_some()
            })
            .collect();
        assert_eq!(reported, [1, 6, 11]);
    }
}
