//! Reduces what a gateway may hold in memory to what the limits of its process leave.
//!
//! An allocation beyond a limit would abort the process.

use std::fs;

use clementinepick::event::{Event, EventKind};
use clementinepick::units::Bytes;
use rustix::process::{Resource, getrlimit};

use crate::gateway_settings::GatewaySettings;
use crate::ledger_turns::RECORDING_MEMORY_BYTES;

/// The usual address space of a process that has just started.
const PROGRAM: Bytes = Bytes(20_971_520);
/// The stacks of the threads that the gateway has still to start.
const STACKS_BYTES: u64 = 4_194_304;
/// What is held may take one part in this many of the rest: it is copied to be sent, recorded and parsed.
const HELD_SHARE: u64 = 3;
/// The part of a limit that may be held at least, however small it is, is one in this many.
const MIN_HELD_SHARE: u64 = 8;
/// What is held under a setting at least: a few requests of a usual size.
const MIN_SETTING_BYTES: u64 = 524_288;

/// Returns the lowest limit of the system on the memory of this process.
pub(crate) fn process_limit() -> Option<Bytes> {
    let limits = [Resource::As, Resource::Data].map(|resource| getrlimit(resource).current);
    limits.into_iter().flatten().min().map(Bytes)
}

/// Returns the address space that this process uses, if the system says so.
pub(crate) fn address_space() -> Option<Bytes> {
    let status = fs::read_to_string("/proc/self/status").ok()?;
    let size_kib = status.lines().find_map(|line| {
        let size = line.strip_prefix("VmSize:")?.strip_suffix("kB")?;
        size.trim().parse::<u64>().ok()
    });
    Some(Bytes(size_kib? * 1_024))
}

/// Reduces the settings in proportion to each other if they allow for more than `limit` leaves beside the address
/// space in use, of a usual size if it is not known; returns the event to log.
pub(crate) fn fit_memory(
    settings: &mut GatewaySettings,
    limit: Bytes,
    used: Option<Bytes>,
) -> Option<Event> {
    let allowed = allowed_bytes(settings);
    let left = left_by(limit, used.unwrap_or(PROGRAM));
    if allowed <= left {
        return None;
    }
    let fit = |bytes: &mut usize| *bytes = reduced(*bytes, left, allowed);
    fit(&mut settings.body_limit_bytes);
    fit(&mut settings.response_limit_bytes);
    fit(&mut settings.ledger.cache_bytes);
    fit(&mut settings.ledger.unlinked_bytes);
    fit(&mut settings.ledger.page_memory_bytes);
    let event = Event::new(EventKind::MemoryReduced)
        .with("limit_bytes", limit.0)
        .with(
            "used_bytes",
            used.map_or("unknown".to_owned(), |used| used.0.to_string()),
        )
        .with("bodies_bytes", settings.body_limit_bytes)
        .with("responses_bytes", settings.response_limit_bytes)
        .with("cache_bytes", settings.ledger.cache_bytes);
    Some(event)
}

/// Returns what the settings allow a gateway to hold, in bytes.
fn allowed_bytes(settings: &GatewaySettings) -> u64 {
    let ledger = &settings.ledger;
    let allowed = [
        settings.body_limit_bytes,
        settings.body_limit_bytes / 2,
        settings.response_limit_bytes,
        ledger.cache_bytes,
        ledger.unlinked_bytes,
        ledger.page_memory_bytes,
    ];
    allowed.into_iter().map(to_u64).sum()
}

/// Returns what no setting reduces, in bytes.
fn fixed_bytes() -> u64 {
    STACKS_BYTES + to_u64(RECORDING_MEMORY_BYTES)
}

/// Returns what may be held within a limit, in bytes.
fn left_by(limit: Bytes, used: Bytes) -> u64 {
    let rest = limit.0.saturating_sub(used.0 + fixed_bytes());
    let held = rest / HELD_SHARE;
    held.max(limit.0 / MIN_HELD_SHARE)
}

/// Returns the part `left` / `allowed` of a setting, but not less than is useful, nor more than the setting.
fn reduced(bytes: usize, left: u64, allowed: u64) -> usize {
    let part = u128::from(to_u64(bytes)) * u128::from(left) / u128::from(allowed);
    let part = u64::try_from(part).unwrap_or(u64::MAX);
    let part = part.max(MIN_SETTING_BYTES);
    usize::try_from(part).unwrap_or(usize::MAX).min(bytes)
}

fn to_u64(bytes: usize) -> u64 {
    u64::try_from(bytes).unwrap_or(u64::MAX)
}

#[cfg(test)]
mod tests {
    use super::*;

    const USED: Bytes = Bytes(20_000_000);

    #[test]
    fn settings_within_the_limit_stay() {
        let mut settings = GatewaySettings::default();
        let default = settings.clone();
        let limit = allowed_bytes(&settings) * HELD_SHARE + USED.0 + fixed_bytes();
        assert!(fit_memory(&mut settings, Bytes(limit), Some(USED)).is_none());
        assert_eq!(settings.body_limit_bytes, default.body_limit_bytes);
        assert_eq!(settings.ledger.cache_bytes, default.ledger.cache_bytes);
    }

    /// Guards against a process that is ended by an allocation beyond its limit.
    #[test]
    fn settings_are_reduced_to_what_the_limit_leaves() {
        for limit in (60_000_000..240_000_000).step_by(10_000_000) {
            let mut settings = GatewaySettings::default();
            let event = fit_memory(&mut settings, Bytes(limit), Some(USED));
            assert!(event.is_some(), "{limit}");
            let left = left_by(Bytes(limit), USED);
            assert!(allowed_bytes(&settings) <= left, "{limit}");
            // Each setting is rounded down.
            assert!(allowed_bytes(&settings) >= left - 6, "{limit}");
        }
    }

    #[test]
    fn each_setting_keeps_a_minimum() {
        let mut settings = GatewaySettings::default();
        assert!(fit_memory(&mut settings, Bytes(1_000_000), None).is_some());
        let minimum = usize::try_from(MIN_SETTING_BYTES).expect("a small number");
        assert_eq!(settings.body_limit_bytes, minimum);
        assert_eq!(settings.response_limit_bytes, minimum);
        assert_eq!(settings.ledger.cache_bytes, minimum);
    }
}
