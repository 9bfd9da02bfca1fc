//! Membership: who leaves, is cut off or flaps gets no new work, whatever a list that lags says.

use clementinepick::ids::{Incarnation, VmId};
use clementinepick::membership::{Membership, MembershipSettings, PeerStatus};
use clementinepick::message::Peer;
use clementinepick::platform::{Vm, VmRole, VmState};
use clementinepick::units::{SpanUs, TimeUs};
use proptest::prelude::*;

const HEARTBEAT: SpanUs = SpanUs::from_ms(500);

fn car() -> VmId {
    "car-1".parse().expect("a name")
}

fn peer(incarnation: u64) -> Peer {
    Peer {
        vm: car(),
        incarnation: Incarnation(incarnation),
        role: VmRole::Sidecar,
        zone: "musanze-hall".parse().expect("a name"),
        service: Some("s".parse().expect("a name")),
    }
}

fn list(state: VmState) -> Vec<Vm> {
    vec![Vm {
        id: car(),
        role: VmRole::Sidecar,
        service: Some("s".parse().expect("a name")),
        zone: "musanze-hall".parse().expect("a name"),
        link_address: "127.0.0.1:1".to_owned(),
        state,
    }]
}

/// Membership with one sidecar, at a time that goes on.
struct Bench {
    membership: Membership,
    now: TimeUs,
}

impl Bench {
    fn new() -> Self {
        let mut bench = Self {
            membership: Membership::new(MembershipSettings::default()),
            now: TimeUs(1_000_000),
        };
        bench.membership.update_vm_list(list(VmState::Live));
        bench.membership.on_link_up(bench.now, peer(1));
        bench.beat(false, SpanUs(0), 1);
        bench
    }

    /// Heartbeats for a while; the standing at the end.
    fn beat(&mut self, leaving: bool, deaf_for: SpanUs, count: u32) -> PeerStatus {
        for _ in 0..count {
            self.now = self.now.after(HEARTBEAT);
            let deaf_for = SpanUs(deaf_for.0);
            self.membership
                .on_heartbeat(self.now, &car(), leaving, deaf_for);
            self.membership.evaluate(self.now);
        }
        self.membership.status(&car())
    }

    fn lose_and_regain(&mut self, incarnation: u64) {
        self.membership.on_link_down(self.now, &car());
        self.membership.evaluate(self.now);
        self.now = self.now.after(HEARTBEAT);
        self.membership.on_link_up(self.now, peer(incarnation));
    }

    fn silence(&mut self, span: SpanUs) -> PeerStatus {
        self.now = self.now.after(span);
        self.membership.evaluate(self.now);
        self.membership.status(&car())
    }
}

// The sidecar says that it leaves; the platform's list lags and says for minutes that it lives.
// With the next heartbeat, half a second later, it gets nothing new, and the list revives nothing.
#[test]
fn a_list_that_lags_does_not_revive_who_leaves() {
    let mut bench = Bench::new();
    assert_eq!(bench.beat(true, SpanUs(0), 1), PeerStatus::Leaving);
    bench.membership.update_vm_list(list(VmState::Live));
    assert_eq!(bench.beat(true, SpanUs(0), 120), PeerStatus::Leaving);
}

// The same, with a link that is lost and regained on the way: the new link says nothing yet, the
// list says live, and the life is the one that said it leaves.
#[test]
fn a_new_link_to_the_same_life_does_not_revive_who_leaves() {
    let mut bench = Bench::new();
    bench.beat(true, SpanUs(0), 1);
    bench.lose_and_regain(1);
    bench.membership.update_vm_list(list(VmState::Live));
    bench.membership.evaluate(bench.now);
    assert_eq!(bench.membership.status(&car()), PeerStatus::Leaving);
    bench.lose_and_regain(2);
    bench.membership.evaluate(bench.now);
    assert_eq!(bench.membership.status(&car()), PeerStatus::Serving);
}

#[test]
fn the_list_alone_takes_work_away() {
    let mut bench = Bench::new();
    bench.membership.update_vm_list(list(VmState::Leaving));
    assert_eq!(bench.beat(false, SpanUs(0), 1), PeerStatus::Leaving);
    bench.membership.update_vm_list(list(VmState::Live));
    assert_eq!(bench.beat(false, SpanUs(0), 1), PeerStatus::Serving);
}

// The VM dies without a word: the list says live, the link stays open. Three seconds later it
// counts as gone.
#[test]
fn a_silent_peer_is_gone_whatever_the_list_says() {
    let mut bench = Bench::new();
    assert_eq!(bench.silence(SpanUs::from_ms(2_900)), PeerStatus::Serving);
    assert_eq!(bench.silence(SpanUs::from_ms(100)), PeerStatus::Gone);
}

// The network drops what this process sends to the sidecar, and not what comes back: heartbeats
// come in on time and each call sent there would wait for its deadline. The sidecar's heartbeats
// tell for how long it has heard nothing.
#[test]
fn a_cut_in_one_direction_takes_work_away() {
    let mut bench = Bench::new();
    assert_eq!(bench.beat(false, SpanUs::from_s(1), 2), PeerStatus::Serving);
    assert_eq!(bench.beat(false, SpanUs::from_s(3), 1), PeerStatus::Deaf);
    assert_eq!(bench.beat(false, SpanUs(0), 1), PeerStatus::Serving);
}

// A link breaks every few seconds. Each time, the calls that run there are lost and tried again
// elsewhere; after the third loss the peer gets work only where nobody else is left, and longer
// with each further loss, until its link has held.
#[test]
fn a_flapping_link_is_trusted_only_after_it_has_held() {
    let mut bench = Bench::new();
    for _ in 0..2 {
        bench.lose_and_regain(1);
        assert_eq!(bench.beat(false, SpanUs(0), 4), PeerStatus::Serving);
    }
    bench.lose_and_regain(1);
    assert_eq!(bench.beat(false, SpanUs(0), 4), PeerStatus::Flapping);
    assert_eq!(bench.beat(false, SpanUs(0), 16), PeerStatus::Serving);
    bench.lose_and_regain(1);
    assert_eq!(bench.beat(false, SpanUs(0), 36), PeerStatus::Flapping);
    assert_eq!(bench.beat(false, SpanUs(0), 4), PeerStatus::Serving);
}

// A sidecar is replaced three times within a minute, each time after it said that it leaves. That
// is a rolling replacement and no bad link.
#[test]
fn announced_restarts_are_no_flapping() {
    let mut bench = Bench::new();
    for life in 2..6 {
        bench.beat(true, SpanUs(0), 1);
        bench.lose_and_regain(life);
    }
    assert_eq!(bench.beat(false, SpanUs(0), 1), PeerStatus::Serving);
}

// The link of a former life comes up after that of the new one, through a slow path. It must not
// stand for the new life: calls would be sent to a process that is gone.
#[test]
fn a_former_life_does_not_stand_for_the_new_one() {
    let mut bench = Bench::new();
    bench.membership.on_link_up(bench.now, peer(2));
    bench.membership.on_link_up(bench.now, peer(1));
    let life = bench.membership.link(&car()).map(|(life, _)| life);
    assert_eq!(life, Some(Incarnation(2)));
}

/// What happens to the one peer.
#[derive(Debug, Clone)]
enum Step {
    Up(u64),
    Down,
    Beat { leaving: bool, deaf_s: u64 },
    Listed(bool),
    Wait(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let beat =
        (any::<bool>(), 0..5_u64).prop_map(|(leaving, deaf_s)| Step::Beat { leaving, deaf_s });
    let step = prop_oneof![
        1 => (1..4_u64).prop_map(Step::Up),
        1 => Just(Step::Down),
        4 => beat,
        1 => any::<bool>().prop_map(Step::Listed),
        2 => (1..3_000_u64).prop_map(Step::Wait),
    ];
    prop::collection::vec(step, 1..60)
}

proptest! {
    // Whatever comes in whatever order: a peer gets work only while its link is up, it was heard in
    // time and hears this process, and neither its living process nor the list says that it leaves.
    #[test]
    fn nobody_gets_work_against_what_is_known(steps in steps()) {
        let settings = MembershipSettings::default();
        let silence = settings.silence_us;
        let mut membership = Membership::new(settings);
        let mut now = TimeUs(1_000_000);
        let (mut life, mut linked, mut listed_leaving) = (0, false, false);
        let (mut left, mut heard, mut deaf) = (false, now, SpanUs(0));
        for step in steps {
            now = now.after(SpanUs(1));
            match step {
                Step::Up(up) => {
                    membership.on_link_up(now, peer(up));
                    if !linked || up >= life {
                        left &= up == life;
                        (life, linked, heard, deaf) = (up, true, now, SpanUs(0));
                    }
                }
                Step::Down => {
                    membership.on_link_down(now, &car());
                    linked = false;
                }
                Step::Beat { leaving, deaf_s } if linked => {
                    (left, heard, deaf) = (leaving, now, SpanUs::from_s(deaf_s));
                    membership.on_heartbeat(now, &car(), left, deaf);
                }
                Step::Beat { .. } => {}
                Step::Listed(leaving) => {
                    listed_leaving = leaving;
                    let state = if leaving { VmState::Leaving } else { VmState::Live };
                    membership.update_vm_list(list(state));
                }
                Step::Wait(ms) => now = now.after(SpanUs::from_ms(ms)),
            }
            membership.evaluate(now);
            let may = linked && now.since(heard) < silence && deaf < silence && !left && !listed_leaving;
            let standing = membership.status(&car());
            prop_assert!(may || standing > PeerStatus::Flapping, "{standing}");
            prop_assert!(!may || standing <= PeerStatus::Flapping, "{standing}");
        }
    }
}
