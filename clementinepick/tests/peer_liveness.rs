//! Which peers count as lost, by the calls that are made to them.

use std::net::SocketAddr;

use clementinepick::peer_liveness::PeerLiveness;
use clementinepick::units::TimeUs;

fn peer() -> SocketAddr {
    "10.0.0.1:80".parse().expect("an address")
}

fn at_ms(ms: u64) -> TimeUs {
    TimeUs(ms * 1_000)
}

/// A peer is slow now and then: calls fail seconds apart, and others between them are answered. It keeps
/// its place, since taking it over would halve what programs begin with.
#[test]
fn a_peer_that_answers_between_failures_is_not_lost() {
    let mut liveness = PeerLiveness::default();
    for second in 0..20 {
        liveness.record_failure(at_ms(second * 1_000), peer());
        assert!(liveness.is_silent(at_ms(second * 1_000 + 100), peer()));
        liveness.record_response(peer());
        assert!(!liveness.is_silent(at_ms(second * 1_000 + 200), peer()));
    }
    assert!(liveness.lost(at_ms(20_000)).is_empty());
}

/// A peer dies: each call to it fails. After two seconds it is lost, is asked again ten seconds after the
/// last failed call, and one more failed call shows that it is lost still. An answer ends that.
#[test]
fn a_peer_that_answers_nothing_is_lost_until_it_answers() {
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

/// Programs begin with half as much of their budgets as the coordinators of their partitions change
/// in vain. A peer fails one call, is not asked for half a minute, and fails one more. Nobody asked in
/// between, so that this is no silence of half a minute.
#[test]
fn failures_with_no_call_between_them_are_no_silence() {
    let mut liveness = PeerLiveness::default();
    liveness.record_failure(at_ms(0), peer());
    liveness.record_failure(at_ms(30_000), peer());
    assert!(!liveness.is_lost(at_ms(30_000), peer()));
    liveness.record_failure(at_ms(31_100), peer());
    assert!(!liveness.is_lost(at_ms(31_100), peer()));
    liveness.record_failure(at_ms(32_200), peer());
    assert!(liveness.is_lost(at_ms(32_200), peer()));
}
