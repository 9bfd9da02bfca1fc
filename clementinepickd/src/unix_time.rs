//! Reads the wall clock, for timestamps in records that other processes read.

use std::time::{SystemTime, UNIX_EPOCH};

/// Returns the milliseconds since the Unix epoch by this VM's clock.
pub(crate) fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |s| u64::try_from(s.as_millis()).unwrap_or(u64::MAX))
}
