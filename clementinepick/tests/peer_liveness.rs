//! Tests the detection of lost peers from failed calls.

use std::net::SocketAddr;

use clementinepick::peer_liveness::PeerLiveness;
use clementinepick::units::TimeUs;

fn peer() -> SocketAddr {
    "10.0.0.1:80".parse().expect("an address")
}

fn at_ms(ms: u64) -> TimeUs {
    TimeUs(ms * 1_000)
}

/// Calls to a slow peer fail now and then. Replacing it would needlessly halve the budgets that
/// programs start with.
#[test]
fn a_peer_that_responds_between_failures_is_not_lost() {
    let mut liveness = PeerLiveness::default();
    for second in 0..20 {
        liveness.record_failure(at_ms(second * 1_000), peer());
        assert!(liveness.is_silent(at_ms(second * 1_000 + 100), peer()));
        liveness.record_response(peer());
        assert!(!liveness.is_silent(at_ms(second * 1_000 + 200), peer()));
    }
    assert!(liveness.lost(at_ms(20_000)).is_empty());
}

/// A dead peer is lost after two seconds. Ten seconds after the last failed call it is called
/// again, and one more failure confirms the loss.
#[test]
fn a_dead_peer_is_lost_until_it_responds() {
    let mut liveness = PeerLiveness::default();
    liveness.record_failure(at_ms(0), peer());
    liveness.record_failure(at_ms(1_100), peer());
    assert!(!liveness.is_lost(at_ms(1_100), peer()));
    liveness.record_failure(at_ms(2_200), peer());
    assert!(liveness.is_lost(at_ms(2_200), peer()));
    assert!(liveness.lost(at_ms(12_000)).contains(&peer()));
    assert!(!liveness.is_silent(at_ms(12_300), peer()), "asked again");
    liveness.record_failure(at_ms(12_300), peer());
    assert!(liveness.is_lost(at_ms(12_300), peer()));
    liveness.record_response(peer());
    assert!(!liveness.is_silent(at_ms(12_400), peer()));
}

/// Two failed calls half a minute apart, with none in between, are no silence of half a minute: a
/// live peer would be replaced, which halves the budgets that programs start with.
#[test]
fn rare_failures_are_not_one_silence() {
    let mut liveness = PeerLiveness::default();
    liveness.record_failure(at_ms(0), peer());
    liveness.record_failure(at_ms(30_000), peer());
    assert!(!liveness.is_lost(at_ms(30_000), peer()));
    liveness.record_failure(at_ms(31_100), peer());
    assert!(!liveness.is_lost(at_ms(31_100), peer()));
    liveness.record_failure(at_ms(32_200), peer());
    assert!(liveness.is_lost(at_ms(32_200), peer()));
}
