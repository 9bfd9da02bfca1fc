//! Tracks which peers may get new work, from the platform's list of VMs, links and heartbeats.
//!
//! The list lags behind the links, so each source can only exclude a peer: a peer serves while none
//! of them reports that it is leaving, and its link works in both directions.

use std::collections::{BTreeMap, VecDeque};

use derive_more::Display;
use serde::Serialize;

use crate::ids::{Incarnation, VmId, ZoneName};
use crate::message::Peer;
use crate::platform::{Vm, VmRole, VmState};
use crate::units::{SpanUs, TimeUs};

/// The settings of [`Membership`].
#[derive(Debug, Clone)]
pub struct MembershipSettings {
    /// The silence after which a peer is considered gone.
    pub silence_us: SpanUs,
    /// The window in which lost links are counted.
    pub flap_window_us: SpanUs,
    /// The number of lost links within the window from which a peer is considered flapping.
    pub flap_losses: usize,
    /// How long the link of a flapping peer must stay up until it gets work again; doubles with
    /// each further loss.
    pub hold_us: SpanUs,
    /// The maximum of that time; at most the window.
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
    /// It may get new work.
    #[display("serving")]
    Serving,
    /// Its link was lost repeatedly: it gets work only if no other peer serves.
    #[display("flapping")]
    Flapping,
    /// It does not receive messages from this process.
    #[display("deaf")]
    Deaf,
    /// It accepts no new work; running calls continue.
    #[display("leaving")]
    Leaving,
    /// It has no link, or is silent.
    #[display("gone")]
    Gone,
}

/// A change of a peer's status.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerStatusChange {
    /// The peer.
    pub vm: VmId,
    /// The previous status.
    pub from: PeerStatus,
    /// The new status.
    pub to: PeerStatus,
}

#[derive(Debug, Clone)]
struct Member {
    peer: Peer,
    has_link: bool,
    last_heard_us: TimeUs,
    link_up_us: TimeUs,
    /// Whether its last heartbeat announced that it is leaving.
    has_announced_leaving: bool,
    /// How long it had not heard this process, according to its last heartbeat.
    deaf_for_us: SpanUs,
    link_losses_us: VecDeque<TimeUs>,
    status: PeerStatus,
}

/// The status of all peers that have had a link, and the list of VMs.
#[derive(Debug, Clone, Default)]
pub struct Membership {
    settings: MembershipSettings,
    members: BTreeMap<VmId, Member>,
    listed: BTreeMap<VmId, Vm>,
}

impl Membership {
    /// Creates a membership without peers.
    #[must_use]
    pub fn new(settings: MembershipSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Replaces the list of VMs.
    pub fn update_vm_list(&mut self, vms: Vec<Vm>) {
        self.listed = vms.into_iter().map(|vm| (vm.id.clone(), vm)).collect();
        // A VM that has no link and is no longer listed does not return under the same id.
        let listed = &self.listed;
        self.members
            .retain(|vm, member| member.has_link || listed.contains_key(vm));
    }

    /// Records that a link came up.
    pub fn on_link_up(&mut self, now: TimeUs, peer: Peer) {
        let vm = peer.vm.clone();
        let known = self.members.get(&vm);
        // A late link of a previous incarnation must not replace that of the current one.
        if known.is_some_and(|m| m.has_link && m.peer.incarnation > peer.incarnation) {
            return;
        }
        let same_incarnation = known.filter(|m| m.peer.incarnation == peer.incarnation);
        let member = Member {
            has_link: true,
            last_heard_us: now,
            link_up_us: now,
            // An incarnation that announced that it is leaving stays so on a new link.
            has_announced_leaving: same_incarnation.is_some_and(|m| m.has_announced_leaving),
            deaf_for_us: SpanUs(0),
            link_losses_us: known.map(|m| m.link_losses_us.clone()).unwrap_or_default(),
            status: known.map_or(PeerStatus::Gone, |m| m.status),
            peer,
        };
        self.members.insert(vm, member);
    }

    /// Records that a link went down.
    pub fn on_link_down(&mut self, now: TimeUs, vm: &VmId) {
        let Some(member) = self.members.get_mut(vm).filter(|m| m.has_link) else {
            return;
        };
        member.has_link = false;
        // An announced shutdown does not count as a lost link.
        if !member.has_announced_leaving {
            member.link_losses_us.push_back(now);
        }
    }

    /// Records any message from a peer.
    pub fn on_heard(&mut self, now: TimeUs, vm: &VmId) {
        if let Some(member) = self.members.get_mut(vm) {
            member.last_heard_us = now;
        }
    }

    /// Records that this process was paused, so that the silence of all peers was its own.
    pub fn on_pause(&mut self, now: TimeUs) {
        for member in self.members.values_mut() {
            member.last_heard_us = now;
        }
    }

    /// Records a heartbeat: whether the sender is leaving, and for how long it has not heard this
    /// process.
    pub fn on_heartbeat(&mut self, now: TimeUs, vm: &VmId, leaving: bool, deaf_for: SpanUs) {
        if let Some(member) = self.members.get_mut(vm) {
            member.last_heard_us = now;
            member.has_announced_leaving = leaving;
            member.deaf_for_us = deaf_for;
        }
    }

    /// Updates the status of every peer, and returns the changes, ordered by VM.
    pub fn evaluate(&mut self, now: TimeUs) -> Vec<PeerStatusChange> {
        let mut changes = Vec::new();
        for (vm, member) in &mut self.members {
            let listed = self.listed.get(vm).map(|vm| vm.state);
            let to = member.evaluate(now, &self.settings, listed);
            let from = std::mem::replace(&mut member.status, to);
            if from != to {
                let vm = vm.clone();
                changes.push(PeerStatusChange { vm, from, to });
            }
        }
        changes
    }

    /// Updates the status of one peer, and returns its change, if any.
    pub fn evaluate_one(&mut self, now: TimeUs, vm: &VmId) -> Option<PeerStatusChange> {
        let listed = self.listed.get(vm).map(|vm| vm.state);
        let member = self.members.get_mut(vm)?;
        let to = member.evaluate(now, &self.settings, listed);
        let from = std::mem::replace(&mut member.status, to);
        let vm = vm.clone();
        (from != to).then_some(PeerStatusChange { vm, from, to })
    }

    /// Returns a peer's status as of the last update.
    #[must_use]
    pub fn status(&self, vm: &VmId) -> PeerStatus {
        self.members.get(vm).map_or(PeerStatus::Gone, |m| m.status)
    }

    /// Whether a peer is serving.
    #[must_use]
    pub fn is_serving(&self, vm: &VmId) -> bool {
        self.status(vm) == PeerStatus::Serving
    }

    /// Returns the peers with a role, and their status.
    pub fn peers_with_role(&self, role: VmRole) -> impl Iterator<Item = (&Peer, PeerStatus)> {
        let members = self.members.values().filter(move |m| m.peer.role == role);
        members.map(|m| (&m.peer, m.status))
    }

    /// Returns the incarnation that a peer's link belongs to, and when the link came up.
    #[must_use]
    pub fn link(&self, vm: &VmId) -> Option<(Incarnation, TimeUs)> {
        let member = self.members.get(vm).filter(|m| m.has_link)?;
        Some((member.peer.incarnation, member.link_up_us))
    }

    /// Returns the time since the last message from a peer.
    #[must_use]
    pub fn silence(&self, now: TimeUs, vm: &VmId) -> SpanUs {
        self.members
            .get(vm)
            .map_or(SpanUs(0), |m| now.since(m.last_heard_us))
    }

    /// Returns the number of serving peers with a role by availability zone, including zones with
    /// none.
    #[must_use]
    pub fn serving_peers_by_zone(&self, role: VmRole) -> BTreeMap<ZoneName, usize> {
        let mut zones = BTreeMap::new();
        for (peer, status) in self.peers_with_role(role) {
            let count = zones.entry(peer.zone.clone()).or_default();
            *count += usize::from(status == PeerStatus::Serving);
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
            .link_losses_us
            .front()
            .is_some_and(|at| now.since(*at) > window)
        {
            self.link_losses_us.pop_front();
        }
        if !self.has_link || now.since(self.last_heard_us) >= settings.silence_us {
            return PeerStatus::Gone;
        }
        // The list may lag by minutes and still show the VM as live. A process that has announced
        // that it is leaving would refuse a call, or be gone before the call's end.
        if self.has_announced_leaving || listed == Some(VmState::Leaving) {
            return PeerStatus::Leaving;
        }
        // The link fails in one direction: heartbeats arrive, but a call sent there would wait
        // until its deadline. Only the peer can notice, so its heartbeats tell how long it has
        // heard nothing.
        if self.deaf_for_us >= settings.silence_us {
            return PeerStatus::Deaf;
        }
        if now < self.flapping_until(settings) {
            return PeerStatus::Flapping;
        }
        PeerStatus::Serving
    }

    /// Returns from when on a peer with repeatedly lost links may get new work again.
    fn flapping_until(&self, settings: &MembershipSettings) -> TimeUs {
        let Some(excess) = self.link_losses_us.len().checked_sub(settings.flap_losses) else {
            return TimeUs(0);
        };
        let doublings = u32::try_from(excess.min(16)).unwrap_or(16);
        let hold = SpanUs(settings.hold_us.0 << doublings).min(settings.max_hold_us);
        self.link_up_us.after(hold)
    }
}
