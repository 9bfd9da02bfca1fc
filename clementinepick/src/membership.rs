//! Which processes may get new work: the platform's list of VMs and the heartbeats over the links.
//!
//! The list lags and the links are faster, so that each may only take work away: a VM serves while
//! neither says that it leaves and its link carries in both directions.

use std::collections::{BTreeMap, VecDeque};

use derive_more::Display;
use serde::Serialize;

use crate::ids::{Incarnation, VmId, ZoneName};
use crate::message::Peer;
use crate::platform::{Vm, VmRole, VmState};
use crate::units::{SpanUs, TimeUs};

/// How membership is judged.
#[derive(Debug, Clone)]
pub struct MembershipSettings {
    /// The silence after which a peer counts as gone.
    pub silence_us: SpanUs,
    /// The time in which losses of a link are counted.
    pub flap_window_us: SpanUs,
    /// The losses within the window that make a peer flapping.
    pub flap_losses: usize,
    /// How long a flapping peer must hold its link until it is trusted; doubles with each further
    /// loss.
    pub hold_us: SpanUs,
    /// The longest such time; at most the window, in which losses are remembered.
    pub max_hold_us: SpanUs,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            silence_us: SpanUs::from_s(3),
            flap_window_us: SpanUs::from_s(60),
            flap_losses: 3,
            hold_us: SpanUs::from_s(10),
            max_hold_us: SpanUs::from_s(60),
        }
    }
}

/// Whether a peer may get new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerStatus {
    /// It may.
    #[display("serving")]
    Serving,
    /// Its link was lost again and again: only where nobody else is left.
    #[display("flapping")]
    Flapping,
    /// It hears nothing of this process: what is sent to it does not arrive.
    #[display("deaf")]
    Deaf,
    /// It takes no new work; what runs there goes on.
    #[display("leaving")]
    Leaving,
    /// It has no link, or is silent.
    #[display("gone")]
    Gone,
}

/// A change of a peer's standing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerStatusChange {
    /// The peer.
    pub vm: VmId,
    /// What it was.
    pub from: PeerStatus,
    /// What it is.
    pub to: PeerStatus,
}

#[derive(Debug, Clone)]
struct Member {
    peer: Peer,
    linked: bool,
    heard_us: TimeUs,
    linked_us: TimeUs,
    /// What it last said of itself.
    said_leaving: bool,
    /// How long it had not heard this process when it last said so.
    deaf_for_us: SpanUs,
    losses_us: VecDeque<TimeUs>,
    standing: PeerStatus,
}

/// All peers that had a link, and the list of VMs.
#[derive(Debug, Clone, Default)]
pub struct Membership {
    settings: MembershipSettings,
    members: BTreeMap<VmId, Member>,
    listed: BTreeMap<VmId, Vm>,
}

impl Membership {
    /// Nobody known yet.
    #[must_use]
    pub fn new(settings: MembershipSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Takes the platform's list.
    pub fn update_vm_list(&mut self, vms: Vec<Vm>) {
        self.listed = vms.into_iter().map(|vm| (vm.id.clone(), vm)).collect();
        // A VM without link that is listed no more will not come back under this name.
        let listed = &self.listed;
        self.members
            .retain(|vm, member| member.linked || listed.contains_key(vm));
    }

    /// Takes note of a link that came up.
    pub fn on_link_up(&mut self, now: TimeUs, peer: Peer) {
        let vm = peer.vm.clone();
        let known = self.members.get(&vm);
        // A former life whose link comes up late must not stand for the one that replaced it.
        if known.is_some_and(|m| m.linked && m.peer.incarnation > peer.incarnation) {
            return;
        }
        let same_life = known.filter(|m| m.peer.incarnation == peer.incarnation);
        let member = Member {
            linked: true,
            heard_us: now,
            linked_us: now,
            // A life that said it leaves goes on leaving: the loss of its link takes nothing back.
            said_leaving: same_life.is_some_and(|m| m.said_leaving),
            deaf_for_us: SpanUs(0),
            losses_us: known.map(|m| m.losses_us.clone()).unwrap_or_default(),
            standing: known.map_or(PeerStatus::Gone, |m| m.standing),
            peer,
        };
        self.members.insert(vm, member);
    }

    /// Takes note of a link that went down.
    pub fn on_link_down(&mut self, now: TimeUs, vm: &VmId) {
        let Some(member) = self.members.get_mut(vm).filter(|m| m.linked) else {
            return;
        };
        member.linked = false;
        // One that said it leaves goes as announced; that is no sign of a bad link.
        if !member.said_leaving {
            member.losses_us.push_back(now);
        }
    }

    /// Takes note of any message of a peer.
    pub fn on_heard(&mut self, now: TimeUs, vm: &VmId) {
        if let Some(member) = self.members.get_mut(vm) {
            member.heard_us = now;
        }
    }

    /// Takes note that this process stood still: the silence of all others was its own.
    pub fn on_pause(&mut self, now: TimeUs) {
        for member in self.members.values_mut() {
            member.heard_us = now;
        }
    }

    /// Takes a heartbeat: whether the sender leaves, and for how long it has not heard this
    /// process.
    pub fn on_heartbeat(&mut self, now: TimeUs, vm: &VmId, leaving: bool, deaf_for: SpanUs) {
        if let Some(member) = self.members.get_mut(vm) {
            member.heard_us = now;
            member.said_leaving = leaving;
            member.deaf_for_us = deaf_for;
        }
    }

    /// Judges every peer anew; the changes in the order of names.
    pub fn evaluate(&mut self, now: TimeUs) -> Vec<PeerStatusChange> {
        let mut changes = Vec::new();
        for (vm, member) in &mut self.members {
            let listed = self.listed.get(vm).map(|vm| vm.state);
            let to = member.evaluate(now, &self.settings, listed);
            let from = std::mem::replace(&mut member.standing, to);
            if from != to {
                let vm = vm.clone();
                changes.push(PeerStatusChange { vm, from, to });
            }
        }
        changes
    }

    /// Judges one peer anew; its change, if there is one.
    pub fn evaluate_one(&mut self, now: TimeUs, vm: &VmId) -> Option<PeerStatusChange> {
        let listed = self.listed.get(vm).map(|vm| vm.state);
        let member = self.members.get_mut(vm)?;
        let to = member.evaluate(now, &self.settings, listed);
        let from = std::mem::replace(&mut member.standing, to);
        let vm = vm.clone();
        (from != to).then_some(PeerStatusChange { vm, from, to })
    }

    /// A peer's standing as last judged.
    #[must_use]
    pub fn status(&self, vm: &VmId) -> PeerStatus {
        self.members
            .get(vm)
            .map_or(PeerStatus::Gone, |m| m.standing)
    }

    /// Whether a peer may get new work without reserve.
    #[must_use]
    pub fn is_serving(&self, vm: &VmId) -> bool {
        self.status(vm) == PeerStatus::Serving
    }

    /// The peers of a role, with their standing.
    pub fn peers_with_role(&self, role: VmRole) -> impl Iterator<Item = (&Peer, PeerStatus)> {
        let members = self.members.values().filter(move |m| m.peer.role == role);
        members.map(|m| (&m.peer, m.standing))
    }

    /// The life that a peer's link belongs to, and when the link came up.
    #[must_use]
    pub fn link(&self, vm: &VmId) -> Option<(Incarnation, TimeUs)> {
        let member = self.members.get(vm).filter(|m| m.linked)?;
        Some((member.peer.incarnation, member.linked_us))
    }

    /// How long a peer has not been heard.
    #[must_use]
    pub fn silence(&self, now: TimeUs, vm: &VmId) -> SpanUs {
        self.members
            .get(vm)
            .map_or(SpanUs(0), |m| now.since(m.heard_us))
    }

    /// The count of serving peers of a role by availability zone; zones without any are listed.
    #[must_use]
    pub fn serving_peers_by_zone(&self, role: VmRole) -> BTreeMap<ZoneName, usize> {
        let mut zones = BTreeMap::new();
        for (peer, standing) in self.peers_with_role(role) {
            let count = zones.entry(peer.zone.clone()).or_default();
            *count += usize::from(standing == PeerStatus::Serving);
        }
        zones
    }
}

impl Member {
    fn evaluate(
        &mut self,
        now: TimeUs,
        settings: &MembershipSettings,
        listed: Option<VmState>,
    ) -> PeerStatus {
        let window = settings.flap_window_us;
        while self
            .losses_us
            .front()
            .is_some_and(|at| now.since(*at) > window)
        {
            self.losses_us.pop_front();
        }
        if !self.linked || now.since(self.heard_us) >= settings.silence_us {
            return PeerStatus::Gone;
        }
        // The list may lag by minutes and still say that it lives. A process that says itself that
        // it leaves would refuse what is sent to it, or be gone before the end of a call.
        if self.said_leaving || listed == Some(VmState::Leaving) {
            return PeerStatus::Leaving;
        }
        // Heartbeats still come in, and nothing sent there arrives: a call would wait for its
        // deadline. Only the peer can tell, so it says for how long it has heard nothing.
        if self.deaf_for_us >= settings.silence_us {
            return PeerStatus::Deaf;
        }
        if now < self.trusted_from(settings) {
            return PeerStatus::Flapping;
        }
        PeerStatus::Serving
    }

    /// When a peer that lost its link repeatedly is trusted again.
    fn trusted_from(&self, settings: &MembershipSettings) -> TimeUs {
        let Some(beyond) = self.losses_us.len().checked_sub(settings.flap_losses) else {
            return TimeUs(0);
        };
        let doublings = u32::try_from(beyond.min(16)).unwrap_or(16);
        let hold = SpanUs(settings.hold_us.0 << doublings).min(settings.max_hold_us);
        self.linked_us.after(hold)
    }
}
