//! Tests that peers that are leaving, unreachable or flapping get no new work, even if the list of
//! VMs is outdated.

use clementinepick::ids::{Incarnation, VmId};
use clementinepick::membership::{Membership, MembershipSettings, PeerStatus};
use clementinepick::message::Peer;
use clementinepick::platform::{Vm, VmRole, VmState};
use clementinepick::units::{SpanUs, TimeUs};
use proptest::prelude::*;

const HEARTBEAT: SpanUs = SpanUs::from_ms(500);

fn sidecar() -> VmId {
    "car-1".parse().expect("a name")
}

fn peer(incarnation: u64) -> Peer {
    Peer {
        vm: sidecar(),
        incarnation: Incarnation(incarnation),
        role: VmRole::Sidecar,
        zone: "musanze-hall".parse().expect("a name"),
        service: Some("s".parse().expect("a name")),
    }
}

fn list(state: VmState) -> Vec<Vm> {
    vec![Vm {
        id: sidecar(),
        role: VmRole::Sidecar,
        service: Some("s".parse().expect("a name")),
        zone: "musanze-hall".parse().expect("a name"),
        link_address: "127.0.0.1:1".to_owned(),
        state,
    }]
}

/// A membership with one sidecar, and a clock.
struct Fixture {
    membership: Membership,
    now: TimeUs,
}

impl Fixture {
    fn new() -> Self {
        let mut fixture = Self {
            membership: Membership::new(MembershipSettings::default()),
            now: TimeUs(1_000_000),
        };
        fixture.membership.update_vm_list(list(VmState::Live));
        fixture.membership.on_link_up(fixture.now, peer(1));
        fixture.heartbeat(false, SpanUs(0), 1);
        fixture
    }

    /// Records `count` heartbeats and returns the resulting status.
    fn heartbeat(&mut self, leaving: bool, deaf_for: SpanUs, count: u32) -> PeerStatus {
        for _ in 0..count {
            self.now = self.now.after(HEARTBEAT);
            let deaf_for = SpanUs(deaf_for.0);
            self.membership
                .on_heartbeat(self.now, &sidecar(), leaving, deaf_for);
            self.membership.evaluate(self.now);
        }
        self.membership.status(&sidecar())
    }

    fn reconnect(&mut self, incarnation: u64) {
        self.membership.on_link_down(self.now, &sidecar());
        self.membership.evaluate(self.now);
        self.now = self.now.after(HEARTBEAT);
        self.membership.on_link_up(self.now, peer(incarnation));
    }

    fn wait_silently(&mut self, span: SpanUs) -> PeerStatus {
        self.now = self.now.after(span);
        self.membership.evaluate(self.now);
        self.membership.status(&sidecar())
    }
}

// The sidecar announces that it is leaving, while the platform's list shows it as live for minutes.
#[test]
fn an_outdated_list_does_not_revive_a_leaving_peer() {
    let mut fixture = Fixture::new();
    assert_eq!(fixture.heartbeat(true, SpanUs(0), 1), PeerStatus::Leaving);
    fixture.membership.update_vm_list(list(VmState::Live));
    assert_eq!(fixture.heartbeat(true, SpanUs(0), 120), PeerStatus::Leaving);
}

// The link to a leaving sidecar is lost and comes up again; no heartbeat has arrived over it yet.
#[test]
fn a_new_link_does_not_revive_a_leaving_incarnation() {
    let mut fixture = Fixture::new();
    fixture.heartbeat(true, SpanUs(0), 1);
    fixture.reconnect(1);
    fixture.membership.update_vm_list(list(VmState::Live));
    fixture.membership.evaluate(fixture.now);
    assert_eq!(fixture.membership.status(&sidecar()), PeerStatus::Leaving);
    fixture.reconnect(2);
    fixture.membership.evaluate(fixture.now);
    assert_eq!(fixture.membership.status(&sidecar()), PeerStatus::Serving);
}

#[test]
fn the_list_alone_excludes_a_peer() {
    let mut fixture = Fixture::new();
    fixture.membership.update_vm_list(list(VmState::Leaving));
    assert_eq!(fixture.heartbeat(false, SpanUs(0), 1), PeerStatus::Leaving);
    fixture.membership.update_vm_list(list(VmState::Live));
    assert_eq!(fixture.heartbeat(false, SpanUs(0), 1), PeerStatus::Serving);
}

// The VM fails without closing its link, and the list still shows it as live.
#[test]
fn a_silent_peer_is_gone_even_if_listed_as_live() {
    let mut fixture = Fixture::new();
    assert_eq!(
        fixture.wait_silently(SpanUs::from_ms(2_900)),
        PeerStatus::Serving
    );
    assert_eq!(
        fixture.wait_silently(SpanUs::from_ms(100)),
        PeerStatus::Gone
    );
}

// The network drops messages to the sidecar but not from it: heartbeats arrive in time, and calls
// sent there would wait until their deadlines.
#[test]
fn a_one_way_network_failure_excludes_a_peer() {
    let mut fixture = Fixture::new();
    assert_eq!(
        fixture.heartbeat(false, SpanUs::from_s(1), 2),
        PeerStatus::Serving
    );
    assert_eq!(
        fixture.heartbeat(false, SpanUs::from_s(3), 1),
        PeerStatus::Deaf
    );
    assert_eq!(fixture.heartbeat(false, SpanUs(0), 1), PeerStatus::Serving);
}

// A link breaks every few seconds, and each time the running calls must be retried elsewhere.
#[test]
fn a_flapping_peer_serves_again_only_after_its_link_was_stable() {
    let mut fixture = Fixture::new();
    for _ in 0..2 {
        fixture.reconnect(1);
        assert_eq!(fixture.heartbeat(false, SpanUs(0), 4), PeerStatus::Serving);
    }
    fixture.reconnect(1);
    assert_eq!(fixture.heartbeat(false, SpanUs(0), 4), PeerStatus::Flapping);
    assert_eq!(fixture.heartbeat(false, SpanUs(0), 16), PeerStatus::Serving);
    fixture.reconnect(1);
    assert_eq!(
        fixture.heartbeat(false, SpanUs(0), 36),
        PeerStatus::Flapping
    );
    assert_eq!(fixture.heartbeat(false, SpanUs(0), 4), PeerStatus::Serving);
}

// A rolling replacement restarts a sidecar several times within a minute.
#[test]
fn announced_restarts_are_not_flapping() {
    let mut fixture = Fixture::new();
    for incarnation in 2..6 {
        fixture.heartbeat(true, SpanUs(0), 1);
        fixture.reconnect(incarnation);
    }
    assert_eq!(fixture.heartbeat(false, SpanUs(0), 1), PeerStatus::Serving);
}

// The link of a previous incarnation comes up late. If it replaced the current one, calls would be
// sent to a process that is gone.
#[test]
fn a_previous_incarnation_does_not_replace_the_current_one() {
    let mut fixture = Fixture::new();
    fixture.membership.on_link_up(fixture.now, peer(2));
    fixture.membership.on_link_up(fixture.now, peer(1));
    let incarnation = fixture
        .membership
        .link(&sidecar())
        .map(|(incarnation, _)| incarnation);
    assert_eq!(incarnation, Some(Incarnation(2)));
}

/// An event of the peer.
#[derive(Debug, Clone)]
enum Step {
    Up(u64),
    Down,
    Heartbeat { leaving: bool, deaf_s: u64 },
    Listed(bool),
    Wait(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let heartbeat =
        (any::<bool>(), 0..5_u64).prop_map(|(leaving, deaf_s)| Step::Heartbeat { leaving, deaf_s });
    let step = prop_oneof![
        1 => (1..4_u64).prop_map(Step::Up),
        1 => Just(Step::Down),
        4 => heartbeat,
        1 => any::<bool>().prop_map(Step::Listed),
        2 => (1..3_000_u64).prop_map(Step::Wait),
    ];
    prop::collection::vec(step, 1..60)
}

proptest! {
    // In any order of events, a peer gets work exactly while its link is up in both directions, it
    // is not silent, and neither its process nor the list says that it is leaving.
    #[test]
    fn a_peer_gets_work_only_while_nothing_excludes_it(steps in steps()) {
        let settings = MembershipSettings::default();
        let silence = settings.silence_us;
        let mut membership = Membership::new(settings);
        let mut now = TimeUs(1_000_000);
        let (mut incarnation, mut linked, mut listed_leaving) = (0, false, false);
        let (mut left, mut heard, mut deaf) = (false, now, SpanUs(0));
        for step in steps {
            now = now.after(SpanUs(1));
            match step {
                Step::Up(up) => {
                    membership.on_link_up(now, peer(up));
                    if !linked || up >= incarnation {
                        left &= up == incarnation;
                        (incarnation, linked, heard, deaf) = (up, true, now, SpanUs(0));
                    }
                }
                Step::Down => {
                    membership.on_link_down(now, &sidecar());
                    linked = false;
                }
                Step::Heartbeat { leaving, deaf_s } if linked => {
                    (left, heard, deaf) = (leaving, now, SpanUs::from_s(deaf_s));
                    membership.on_heartbeat(now, &sidecar(), left, deaf);
                }
                Step::Heartbeat { .. } => {}
                Step::Listed(leaving) => {
                    listed_leaving = leaving;
                    let state = if leaving { VmState::Leaving } else { VmState::Live };
                    membership.update_vm_list(list(state));
                }
                Step::Wait(ms) => now = now.after(SpanUs::from_ms(ms)),
            }
            membership.evaluate(now);
            let may = linked && now.since(heard) < silence && deaf < silence && !left && !listed_leaving;
            let status = membership.status(&sidecar());
            prop_assert!(may || status > PeerStatus::Flapping, "{status}");
            prop_assert!(!may || status <= PeerStatus::Flapping, "{status}");
        }
    }
}
