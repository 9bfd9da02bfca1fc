//! When records of programs and turns may be dropped.

/// For how many retentions a record is kept: one for what it describes, one for what continues from
/// it, one for writers that are paused.
pub const RETENTION_FACTOR: u64 = 3;

/// How far the clocks of two VMs may be apart, in milliseconds; twice what the platform's sheets
/// allow for a step of a clock.
const CLOCK_SKEW_MS: u64 = 10_000;

/// Whether a record that was written at `recorded_unix_ms` is needed no more.
#[must_use]
pub fn is_expired(recorded_unix_ms: u64, retain_ms: u64, now_unix_ms: u64) -> bool {
    let kept_ms = retain_ms
        .saturating_mul(RETENTION_FACTOR)
        .saturating_add(CLOCK_SKEW_MS);
    now_unix_ms > recorded_unix_ms.saturating_add(kept_ms)
}
