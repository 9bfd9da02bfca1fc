//! What an entry makes of who lives, leaves and lags.

use std::collections::{BTreeMap, BTreeSet};

use crate::call_state::PeerState;
use crate::entry::{Entry, EntryAction};
use crate::event::{Event, EventKind};
use crate::ids::{Revision, ServiceName, VmId};
use crate::membership::{PeerStatus, PeerStatusChange};
use crate::message::{Heartbeat, Message};
use crate::platform::VmRole;
use crate::units::{SpanUs, TimeUs};

/// The time between two judgements of all peers.
const JUDGE_INTERVAL: SpanUs = SpanUs::from_ms(100);

impl Entry {
    /// What this entry tells a peer of itself; a sidecar hears of its own service only.
    pub(crate) fn heartbeat_to(&self, now: TimeUs, peer: &PeerState) -> Heartbeat {
        let service = peer.peer.service.as_ref();
        let decider = service.and_then(|service| self.config.decider(service));
        Heartbeat {
            revisions: self.config.revisions_for(service),
            config_offset: self.config_journal.position(),
            leaving: self.leaving,
            is_ready: self.is_caught_up(),
            silence_us: now.since(peer.heard_us),
            decider: decider.map(|decider| decider.fencing),
        }
    }

    pub(crate) fn send_heartbeats(&self, now: TimeUs, out: &mut Vec<EntryAction>) {
        for (vm, peer) in &self.peers {
            let message = Message::Heartbeat(self.heartbeat_to(now, peer));
            let to = vm.clone();
            out.push(EntryAction::Send { to, message });
        }
    }

    pub(crate) fn on_heartbeat(
        &mut self,
        now: TimeUs,
        from: &VmId,
        heartbeat: Heartbeat,
        out: &mut Vec<EntryAction>,
    ) {
        let Heartbeat {
            leaving,
            silence_us,
            revisions,
            is_ready,
            ..
        } = heartbeat;
        if let Some(peer) = self.peers.get_mut(from) {
            peer.is_ready = is_ready;
        }
        self.membership.on_heartbeat(now, from, leaving, silence_us);
        self.evaluate_member(now, from, out);
        self.pass_documents(from, revisions, out);
    }

    /// Passes on what a peer lacks: sidecars do not read the log, and another entry may be cut off
    /// from it.
    fn pass_documents(
        &mut self,
        to: &VmId,
        revisions: BTreeMap<ServiceName, Revision>,
        out: &mut Vec<EntryAction>,
    ) {
        let Some(peer) = self.peers.get_mut(to) else {
            return;
        };
        let lacking = self
            .config
            .missing_documents(peer.peer.service.as_ref(), &revisions);
        peer.revisions = Some(revisions);
        // A heartbeat that crossed the document on its way does not lag. Only the second one in a
        // row does, or each entry would send each document to each other.
        let lagged = std::mem::replace(&mut peer.lacks_documents, !lacking.is_empty());
        if lagged && !lacking.is_empty() {
            for document in &lacking {
                peer.record_sent_document((document.service.clone(), document.revision));
            }
            let (to, message) = (to.clone(), Message::Documents(lacking));
            out.push(EntryAction::Send { to, message });
        }
    }

    /// Judges all peers anew, a few times a second: silence and held links show with time only.
    pub(crate) fn evaluate_members(&mut self, now: TimeUs, out: &mut Vec<EntryAction>) {
        if now >= self.next_membership_check_us {
            self.next_membership_check_us = now.after(JUDGE_INTERVAL);
            let changes = self.membership.evaluate(now);
            self.on_standings(now, changes, out);
        }
    }

    pub(crate) fn evaluate_member(&mut self, now: TimeUs, vm: &VmId, out: &mut Vec<EntryAction>) {
        let change = self.membership.evaluate_one(now, vm);
        self.on_standings(now, change.into_iter().collect(), out);
    }

    /// Acts on what has changed.
    fn on_standings(
        &mut self,
        now: TimeUs,
        changes: Vec<PeerStatusChange>,
        out: &mut Vec<EntryAction>,
    ) {
        let mut services = BTreeSet::new();
        for change in &changes {
            if let Some(peer) = self.peers.get_mut(&change.vm) {
                let event = event_of(change, peer.peer.role);
                out.extend(event.map(EntryAction::Event));
                peer.leaving = matches!(change.to, PeerStatus::Leaving | PeerStatus::Deaf);
                services.extend(peer.peer.service.clone());
            }
        }
        for service in services {
            self.update_routable_servers(&service);
        }
        // What was sent to a peer that hears nothing will never be answered: its calls go elsewhere
        // now, not at their deadlines, and the link is opened anew.
        let deaf = changes.into_iter().filter(|c| c.to == PeerStatus::Deaf);
        for PeerStatusChange { vm, .. } in deaf {
            self.on_link_down(now, &vm, out);
            out.push(EntryAction::Disconnect(vm));
        }
    }

    /// Tells the router which backend servers of a service may get new work.
    ///
    /// Where only flapping ones are left they get it: a call that may be lost is better off than
    /// one that is surely refused.
    pub(crate) fn update_routable_servers(&mut self, service: &ServiceName) {
        let of_service: Vec<(VmId, PeerStatus)> = self
            .membership
            .peers_with_role(VmRole::Sidecar)
            .filter(|(peer, _)| peer.service.as_ref() == Some(service))
            .map(|(peer, standing)| (peer.vm.clone(), standing))
            .collect();
        let any_serving = of_service.iter().any(|(_, s)| *s == PeerStatus::Serving);
        for (vm, standing) in of_service {
            let may = match standing {
                PeerStatus::Serving => true,
                PeerStatus::Flapping => !any_serving,
                PeerStatus::Deaf | PeerStatus::Leaving | PeerStatus::Gone => false,
            };
            self.router.set_leaving(&vm, !may);
        }
    }
}

fn event_of(change: &PeerStatusChange, role: VmRole) -> Option<Event> {
    let kind = match change.to {
        PeerStatus::Leaving if role == VmRole::Sidecar => EventKind::BackendLeaving,
        PeerStatus::Flapping => EventKind::PeerFlapping,
        PeerStatus::Deaf => EventKind::PeerDeaf,
        PeerStatus::Leaving | PeerStatus::Serving | PeerStatus::Gone => return None,
    };
    Some(Event::new(kind).with("vm", &change.vm))
}
