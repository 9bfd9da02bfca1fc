//! Determines when the stored records of programs and turns expire.

/// The number of retention periods for which a record is kept.
///
/// One covers the program or turn itself, one what continues from it, and one writers that were
/// paused.
pub const RETENTION_FACTOR: u64 = 3;

/// The largest difference between the clocks of two VMs, in milliseconds: twice the clock step that
/// the platform allows.
const CLOCK_SKEW_MS: u64 = 10_000;

/// Returns until when a record is kept for certain, in Unix milliseconds by its writer's clock.
#[must_use]
pub fn kept_until_unix_ms(recorded_unix_ms: u64, retain_ms: u64) -> u64 {
    recorded_unix_ms.saturating_add(retain_ms.saturating_mul(RETENTION_FACTOR))
}

/// Returns whether a record written at `recorded_unix_ms` has expired.
#[must_use]
pub fn is_expired(recorded_unix_ms: u64, retain_ms: u64, now_unix_ms: u64) -> bool {
    let kept_until = kept_until_unix_ms(recorded_unix_ms, retain_ms);
    now_unix_ms > kept_until.saturating_add(CLOCK_SKEW_MS)
}
