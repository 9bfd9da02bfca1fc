//! Starts gateways of a soak beside the ones that they replace.

use std::io;
use std::process::Child;
use std::thread::sleep;
use std::time::Duration;

use rustix::process::Signal;

use crate::http::lock;
use crate::soak_answers::PlannedStop;
use crate::soak_process::wait_for_exit;
use crate::soak_world::{Gateway, SoakWorld};

impl SoakWorld {
    /// Shuts a gateway down gracefully and starts the next one at once, unless its process has a fault
    /// already.
    pub(crate) fn replace(&self, number: usize) -> io::Result<()> {
        let old = {
            let mut gateway = lock(&self.gateways[number]);
            if gateway.active_faults > 0 || gateway.is_ending || !gateway.process.is_running() {
                return Ok(());
            }
            gateway.is_ending = true;
            gateway.is_overlapping = true;
            let old = self.terminate_process(number, &mut gateway);
            gateway.served_version = 1;
            gateway.process.restart()?;
            old
        };
        let status = old.map(wait_for_exit).transpose()?.flatten();
        {
            let mut gateway = lock(&self.gateways[number]);
            gateway.is_ending = false;
            gateway.is_overlapping = false;
            gateway.active_faults += 1;
        }
        self.restart(number)?;
        if status.is_some_and(|status| status.success()) {
            return Ok(());
        }
        let detail = format!("gateway {number} did not shut down gracefully: {status:?}");
        Err(io::Error::other(detail))
    }

    /// Suspends a gateway, starts the next one beside it, and kills the suspended one after a while, unless
    /// its process has a fault already.
    pub(crate) fn replace_suspended(&self, number: usize, duration: Duration) -> io::Result<()> {
        let mut old = {
            let mut gateway = lock(&self.gateways[number]);
            if gateway.active_faults > 0 || gateway.is_ending || !gateway.process.is_running() {
                return Ok(());
            }
            gateway.active_faults += 1;
            gateway.disturbance_count += 1;
            gateway.is_overlapping = true;
            let old = gateway.process.hand_over(Signal::STOP);
            gateway.served_version = 1;
            gateway.process.restart()?;
            old
        };
        sleep(duration);
        if let Some(old) = &mut old {
            old.kill()?;
            old.wait()?;
        }
        lock(&self.gateways[number]).is_overlapping = false;
        self.restart(number)
    }

    /// Sends SIGTERM to the process of a gateway and records when.
    pub(crate) fn terminate_process(&self, number: usize, gateway: &mut Gateway) -> Option<Child> {
        lock(&self.stops).push(PlannedStop {
            gateway: (number, gateway.process.start_count),
            told_at: self.elapsed_now(),
        });
        gateway.process.terminate()
    }

    /// Returns the planned stops of gateways.
    #[must_use]
    pub fn planned_stops(&self) -> Vec<PlannedStop> {
        lock(&self.stops).clone()
    }

    /// Returns how a gateway ended that was neither killed nor told to, if it did.
    pub(crate) fn own_end(&self, number: usize) -> Option<String> {
        let mut gateway = lock(&self.gateways[number]);
        let status = gateway.process.end()?;
        let start = gateway.process.start_count;
        Some(format!(
            "gateway {number}: start {start} ended by itself: {status}"
        ))
    }
}
