//! Restarts the gateways of a soak in series, and records when which of them were disturbed.

use std::io;
use std::thread;
use std::time::Duration;

use crate::http::lock;
use crate::platform_run::{is_ready, wait_until};
use crate::soak_faults::Fault;
use crate::soak_restart_checks::RestartTimes;
use crate::soak_world::SoakWorld;

/// The longest time for which a gateway stays down.
const MAX_DOWN_MS: u64 = 300;
/// The longest pause between two groups of a series.
const MAX_PAUSE_MS: u64 = 400;

/// The gateways of a series that restart at the same time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Grouping {
    OneByOne,
    Pairs,
    Halves,
    All,
}

impl Grouping {
    fn of(random_value: u64) -> Self {
        match random_value % 4 {
            0 => Self::OneByOne,
            1 => Self::Pairs,
            2 => Self::Halves,
            _ => Self::All,
        }
    }

    fn size(self, gateways: usize) -> usize {
        match self {
            Self::OneByOne => 1,
            Self::Pairs => 2,
            Self::Halves => gateways.div_ceil(2),
            Self::All => gateways,
        }
    }
}

impl SoakWorld {
    /// Restarts all gateways, group by group; each group is ready before the next one ends.
    pub(crate) fn restart_in_series(&self, random_value: u64) -> io::Result<()> {
        let is_killed = random_value.is_multiple_of(2);
        let size = Grouping::of(random_value / 2).size(self.gateway_count());
        let down = Duration::from_millis(random_value / 8 % MAX_DOWN_MS);
        let pause = Duration::from_millis(random_value / 64 % MAX_PAUSE_MS);
        let first = usize::try_from(random_value / 512 % 64).unwrap_or(0);
        let numbers: Vec<usize> = (0..self.gateway_count())
            .map(|number| (number + first) % self.gateway_count())
            .collect();
        let from = self.elapsed_now();
        for group in numbers.chunks(size) {
            self.restart_group(group, is_killed, down)?;
            thread::sleep(pause);
        }
        let until = self.elapsed_now();
        lock(&self.disturbed).series.push((from, until));
        Ok(())
    }

    fn restart_group(&self, group: &[usize], is_killed: bool, down: Duration) -> io::Result<()> {
        let restart = |number: usize| {
            let from = self.elapsed_now();
            let restarted = if is_killed {
                self.kill(number, down)
            } else {
                self.terminate(number, down)
            };
            let ready = self.ready_address(number);
            // One that another fault keeps from becoming ready is disturbed by that fault.
            let _ = wait_until(|| is_ready(ready));
            self.record_disturbed(number, from);
            restarted
        };
        thread::scope(|scope| {
            let restarts: Vec<_> = group
                .iter()
                .map(|number| scope.spawn(move || restart(*number)))
                .collect();
            restarts.into_iter().try_for_each(|restart| {
                let panicked = |_| Err(io::Error::other("a restart panicked"));
                restart.join().unwrap_or_else(panicked)
            })
        })
    }

    fn record_disturbed(&self, number: usize, from: Duration) {
        let disturbed = (number, from, self.elapsed_now());
        lock(&self.disturbed).gateways.push(disturbed);
    }

    /// Records that a fault which began at `from` has ended.
    pub(crate) fn record_fault(&self, fault: Fault, number: usize, from: Duration) {
        match fault {
            Fault::Kill | Fault::Terminate | Fault::Suspend | Fault::StoreUnavailableForOne => {
                self.record_disturbed(number, from);
            }
            Fault::StoreUnavailable
            | Fault::StoreSlow
            | Fault::LostAppendResponses
            | Fault::DelayedAppends
            | Fault::ForgetHistory => {
                let until = self.elapsed_now();
                lock(&self.disturbed).store.push((from, until));
            }
            _ => {}
        }
    }

    /// Returns when gateways and the store were disturbed.
    pub(crate) fn restart_times(&self) -> RestartTimes {
        lock(&self.disturbed).clone()
    }
}
