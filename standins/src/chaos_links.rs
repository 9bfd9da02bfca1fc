//! Simulates the links of a chaos run.
//!
//! A link delivers messages in order, is closed when a process at either end stops, and stalls
//! while it is cut.

use clementinepick::entry::EntryInput;
use clementinepick::ids::VmId;
use clementinepick::message::{Message, Peer};
use clementinepick::platform::VmRole;
use clementinepick::sidecar::SidecarInput;

use crate::chaos_world::{
    CONNECT_INTERVAL_US, Input, ProcessLogic, ScheduledEvent, World, link_key,
};

impl World {
    pub(crate) fn send(&mut self, from: &VmId, to: VmId, message: Message) {
        let link = self
            .links
            .get(&link_key(from, &to))
            .copied()
            .unwrap_or_default();
        if !link.is_up {
            return;
        }
        let delay = self.draw_link_delay();
        let generation = link.generation;
        let to_key = to.clone();
        let event = ScheduledEvent::Deliver {
            from: from.clone(),
            to,
            generation,
            message: Box::new(message),
        };
        // Keeps messages in order: none is delivered before one that was sent earlier.
        let last = self
            .last_delivery_us
            .entry((from.clone(), to_key))
            .or_default();
        let at = self.now.after(delay).max(*last);
        *last = at;
        self.schedule(at, event);
    }

    pub(crate) fn on_deliver(&mut self, from: &VmId, to: &VmId, generation: u64, message: Message) {
        let link = self
            .links
            .get(&link_key(from, to))
            .copied()
            .unwrap_or_default();
        if !link.is_up || link.generation != generation {
            return;
        }
        let direction = (from.clone(), to.clone());
        if self.cuts.contains(&direction) || self.stalled.contains_key(&direction) {
            self.stalled
                .entry(direction)
                .or_default()
                .push_back((generation, message));
            return;
        }
        let Some(node) = self.nodes.get(to) else {
            return;
        };
        let start_count = node.start_count;
        let input = match node.role {
            VmRole::Entry => Input::Entry(EntryInput::Link {
                from: from.clone(),
                message,
            }),
            VmRole::Sidecar => Input::Sidecar(SidecarInput::Link {
                from: from.clone(),
                message,
            }),
        };
        self.deliver_input(to, start_count, input);
    }

    pub(crate) fn is_cut(&self, a: &VmId, b: &VmId) -> bool {
        self.cuts.contains(&(a.clone(), b.clone())) || self.cuts.contains(&(b.clone(), a.clone()))
    }

    pub(crate) fn on_connect(&mut self) {
        self.schedule_after(CONNECT_INTERVAL_US, ScheduledEvent::Connect);
        let wanted: Vec<(VmId, VmId)> = self
            .wanted_links
            .iter()
            .flat_map(|(from, to)| to.iter().map(move |to| (from.clone(), to.clone())))
            .collect();
        for (a, b) in wanted {
            let lives = |vm: &VmId| {
                self.nodes
                    .get(vm)
                    .is_some_and(|node| node.logic.is_some() && !node.is_paused)
            };
            if !lives(&a) || !lives(&b) || self.is_cut(&a, &b) {
                continue;
            }
            let link = self.links.entry(link_key(&a, &b)).or_default();
            if link.is_up || link.is_connecting {
                continue;
            }
            link.generation += 1;
            link.is_connecting = true;
            let generation = link.generation;
            let delay = self.draw_link_delay();
            self.schedule_after(delay, ScheduledEvent::LinkUp { a, b, generation });
        }
    }

    pub(crate) fn on_link_up(&mut self, a: &VmId, b: &VmId, generation: u64) {
        let peers = (self.peer(a), self.peer(b));
        let cut = self.is_cut(a, b);
        let Some(link) = self.links.get_mut(&link_key(a, b)) else {
            return;
        };
        if link.generation != generation {
            return;
        }
        link.is_connecting = false;
        let (Some(peer_a), Some(peer_b)) = peers else {
            return;
        };
        if cut {
            return;
        }
        link.is_up = true;
        self.deliver_link_up(a, peer_b);
        self.deliver_link_up(b, peer_a);
    }

    pub(crate) fn deliver_link_up(&mut self, to: &VmId, peer: Peer) {
        let Some(node) = self.nodes.get(to) else {
            return;
        };
        let input = match node.role {
            VmRole::Entry => Input::Entry(EntryInput::LinkUp(peer)),
            VmRole::Sidecar => Input::Sidecar(SidecarInput::LinkUp(peer)),
        };
        let start_count = node.start_count;
        self.deliver_input(to, start_count, input);
    }

    pub(crate) fn peer(&self, vm: &VmId) -> Option<Peer> {
        match self.nodes.get(vm)?.logic.as_ref()? {
            ProcessLogic::Entry(entry) => Some(entry.peer()),
            ProcessLogic::Sidecar(sidecar) => Some(sidecar.peer()),
        }
    }

    pub(crate) fn close_link(&mut self, a: &VmId, b: &VmId) {
        let Some(link) = self.links.get_mut(&link_key(a, b)) else {
            return;
        };
        link.is_connecting = false;
        if !std::mem::take(&mut link.is_up) {
            return;
        }
        link.generation += 1;
        for (to, gone) in [(a, b), (b, a)] {
            let Some(node) = self.nodes.get(to) else {
                continue;
            };
            let start_count = node.start_count;
            let input = match node.role {
                VmRole::Entry => Input::Entry(EntryInput::LinkDown(gone.clone())),
                VmRole::Sidecar => Input::Sidecar(SidecarInput::LinkDown(gone.clone())),
            };
            self.deliver_input(to, start_count, input);
        }
    }
}
