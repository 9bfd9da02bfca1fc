//! Handles heartbeats and status changes of the entry's peers.

use std::collections::{BTreeMap, BTreeSet};

use crate::call_state::PeerState;
use crate::entry::{Entry, EntryAction};
use crate::event::{Event, EventKind};
use crate::ids::{Revision, ServiceName, VmId};
use crate::membership::{PeerStatus, PeerStatusChange};
use crate::message::{Heartbeat, Message};
use crate::platform::VmRole;
use crate::units::{SpanUs, TimeUs};

/// The interval between two status updates of all peers.
const STATUS_UPDATE_INTERVAL: SpanUs = SpanUs::from_ms(100);

impl Entry {
    /// Creates the heartbeat to a peer; a sidecar gets only the revision of its own service.
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
        self.send_missing_documents(from, revisions, out);
    }

    /// Sends the documents that a peer lacks: sidecars don't read the log, and another entry may be
    /// cut off from it.
    fn send_missing_documents(
        &mut self,
        to: &VmId,
        revisions: BTreeMap<ServiceName, Revision>,
        out: &mut Vec<EntryAction>,
    ) {
        let Some(peer) = self.peers.get_mut(to) else {
            return;
        };
        let missing = self
            .config
            .missing_documents(peer.peer.service.as_ref(), &revisions);
        peer.revisions = Some(revisions);
        // A single heartbeat without a document may have crossed it on the way. Only after the
        // second in a row is the document sent, or each entry would send every document to every
        // other.
        let lagged_before = std::mem::replace(&mut peer.lacks_documents, !missing.is_empty());
        if lagged_before && !missing.is_empty() {
            for document in &missing {
                peer.record_sent_document((document.service.clone(), document.revision));
            }
            let (to, message) = (to.clone(), Message::Documents(missing));
            out.push(EntryAction::Send { to, message });
        }
    }

    /// Updates the status of all peers periodically, since silence and stable links only show over
    /// time.
    pub(crate) fn evaluate_members(&mut self, now: TimeUs, out: &mut Vec<EntryAction>) {
        if now >= self.next_membership_check_us {
            self.next_membership_check_us = now.after(STATUS_UPDATE_INTERVAL);
            let changes = self.membership.evaluate(now);
            self.on_status_changes(now, changes, out);
        }
    }

    pub(crate) fn evaluate_member(&mut self, now: TimeUs, vm: &VmId, out: &mut Vec<EntryAction>) {
        let change = self.membership.evaluate_one(now, vm);
        self.on_status_changes(now, change.into_iter().collect(), out);
    }

    /// Handles status changes: emits events, and updates routing and links.
    fn on_status_changes(
        &mut self,
        now: TimeUs,
        changes: Vec<PeerStatusChange>,
        out: &mut Vec<EntryAction>,
    ) {
        let mut services = BTreeSet::new();
        for change in &changes {
            if let Some(peer) = self.peers.get_mut(&change.vm) {
                let event = status_event(change, peer.peer.role);
                out.extend(event.map(EntryAction::Event));
                peer.leaving = matches!(change.to, PeerStatus::Leaving | PeerStatus::Deaf);
                services.extend(peer.peer.service.clone());
            }
        }
        for service in services {
            self.update_routable_servers(&service);
        }
        // Calls sent to a peer that receives nothing would wait until their deadlines: they are
        // failed over at once, and the link is reopened.
        let deaf = changes.into_iter().filter(|c| c.to == PeerStatus::Deaf);
        for PeerStatusChange { vm, .. } in deaf {
            self.on_link_down(now, &vm, out);
            out.push(EntryAction::Disconnect(vm));
        }
    }

    /// Updates which backend servers of a service the router may give new work.
    ///
    /// If only flapping ones are left, they get it: a call that may fail is better than a refused
    /// one.
    pub(crate) fn update_routable_servers(&mut self, service: &ServiceName) {
        let of_service: Vec<(VmId, PeerStatus)> = self
            .membership
            .peers_with_role(VmRole::Sidecar)
            .filter(|(peer, _)| peer.service.as_ref() == Some(service))
            .map(|(peer, status)| (peer.vm.clone(), status))
            .collect();
        let any_serving = of_service.iter().any(|(_, s)| *s == PeerStatus::Serving);
        for (vm, status) in of_service {
            let may_get_work = match status {
                PeerStatus::Serving => true,
                PeerStatus::Flapping => !any_serving,
                PeerStatus::Deaf | PeerStatus::Leaving | PeerStatus::Gone => false,
            };
            self.router.set_leaving(&vm, !may_get_work);
        }
    }
}

fn status_event(change: &PeerStatusChange, role: VmRole) -> Option<Event> {
    let kind = match change.to {
        PeerStatus::Leaving if role == VmRole::Sidecar => EventKind::BackendLeaving,
        PeerStatus::Flapping => EventKind::PeerFlapping,
        PeerStatus::Deaf => EventKind::PeerDeaf,
        PeerStatus::Leaving | PeerStatus::Serving | PeerStatus::Gone => return None,
    };
    Some(Event::new(kind).with("vm", &change.vm))
}
