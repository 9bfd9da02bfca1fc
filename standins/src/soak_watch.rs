//! Watches whether the processes of a soak end by themselves, and what they hold: memory, unread bytes and
//! connections of callers.

use std::collections::BTreeSet;
use std::io;
use std::thread;
use std::time::Duration;

use crate::soak_callers::Callers;
use crate::soak_crowds::CROWD_CONNECTION_LIMIT;
use crate::soak_plan::SoakPlan;
use crate::soak_world::SoakWorld;

/// The memory of the smallest VM, in bytes.
const VM_MEMORY_BYTES: u64 = 88_000_000;
/// The connections beyond the limit that are open until their callers have read a refusal.
const MAX_LEAVING: usize = 128;
const WATCH_INTERVAL: Duration = Duration::from_millis(50);
/// What lines of a log have in them that report a defect.
const DEFECTS: [&str; 5] = [
    "invariant_broken",
    "task_restarted",
    "thread_panicked",
    "process_failed",
    " panicked at ",
];

impl SoakWorld {
    /// Returns the lines of the gateways' logs that report a panic, an ended task or process, or a broken
    /// invariant.
    ///
    /// # Errors
    ///
    /// Returns an error if a log can't be read.
    pub(crate) fn reported_defects(&self) -> io::Result<Vec<String>> {
        let mut found = Vec::new();
        for number in 0..self.gateway_count() {
            let log = self.directory.join(format!("gateway-{number}.log"));
            let log = std::fs::read_to_string(log)?;
            let defects = log
                .lines()
                .filter(|line| DEFECTS.iter().any(|defect| line.contains(defect)));
            found.extend(defects.map(|line| format!("gateway {number} reports: {line}")));
        }
        Ok(found)
    }
}

/// Watches a gateway until the run is over; returns what is wrong with it.
pub(crate) fn watch_gateway(callers: &Callers<'_>, gateway: usize) -> Vec<String> {
    let (mut held_bytes, mut connections) = (0, 0);
    let mut own_ends = BTreeSet::new();
    while !callers.is_finished() {
        let held = callers.world.held_bytes(gateway);
        held_bytes = held_bytes.max(held.unwrap_or_default());
        let open = callers.world.caller_connections(gateway);
        connections = connections.max(open.unwrap_or_default());
        own_ends.extend(callers.world.own_end(gateway));
        thread::sleep(WATCH_INTERVAL);
    }
    let mut found = Vec::from_iter(own_ends);
    if held_bytes > VM_MEMORY_BYTES {
        let held_mb = held_bytes / 1_000_000;
        found.push(format!(
            "gateway {gateway}: {held_mb} MB of memory, more than its VM has"
        ));
    }
    let has_limit = callers.world.plan == SoakPlan::Crowds;
    if has_limit && connections > CROWD_CONNECTION_LIMIT + MAX_LEAVING {
        found.push(format!(
            "gateway {gateway}: {connections} connections of callers, more than its limits allow"
        ));
    }
    found
}
