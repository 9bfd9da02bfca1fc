//! The links of a chaos run: in order, closed by death, stalled by cuts.

use clementinepick::entry::EntryInput;
use clementinepick::ids::VmId;
use clementinepick::message::{Message, Peer};
use clementinepick::platform::VmRole;
use clementinepick::sidecar::SidecarInput;

use crate::chaos_world::{CONNECT_US, Core, Due, Input, World, pair};

impl World {
    pub(crate) fn send(&mut self, from: &VmId, to: VmId, message: Message) {
        let link = self
            .links
            .get(&pair(from, &to))
            .copied()
            .unwrap_or_default();
        if !link.up {
            return;
        }
        let delay = self.delay();
        let generation = link.generation;
        let to_key = to.clone();
        let due = Due::Deliver {
            from: from.clone(),
            to,
            generation,
            message: Box::new(message),
        };
        // One link keeps its order: what is sent later is never due earlier.
        let last = self.last_due.entry((from.clone(), to_key)).or_default();
        let at = self.now.after(delay).max(*last);
        *last = at;
        self.schedule(at, due);
    }

    pub(crate) fn on_deliver(&mut self, from: &VmId, to: &VmId, generation: u64, message: Message) {
        let link = self.links.get(&pair(from, to)).copied().unwrap_or_default();
        if !link.up || link.generation != generation {
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
        let life = node.life;
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
        self.give(to, life, input);
    }

    pub(crate) fn is_cut(&self, a: &VmId, b: &VmId) -> bool {
        self.cuts.contains(&(a.clone(), b.clone())) || self.cuts.contains(&(b.clone(), a.clone()))
    }

    pub(crate) fn on_connect(&mut self) {
        self.schedule_after(CONNECT_US, Due::Connect);
        let wanted: Vec<(VmId, VmId)> = self
            .wants
            .iter()
            .flat_map(|(from, to)| to.iter().map(move |to| (from.clone(), to.clone())))
            .collect();
        for (a, b) in wanted {
            let lives = |vm: &VmId| {
                self.nodes
                    .get(vm)
                    .is_some_and(|node| node.core.is_some() && !node.paused)
            };
            if !lives(&a) || !lives(&b) || self.is_cut(&a, &b) {
                continue;
            }
            let link = self.links.entry(pair(&a, &b)).or_default();
            if link.up || link.connecting {
                continue;
            }
            link.generation += 1;
            link.connecting = true;
            let generation = link.generation;
            let delay = self.delay();
            self.schedule_after(delay, Due::LinkUp { a, b, generation });
        }
    }

    pub(crate) fn on_link_up(&mut self, a: &VmId, b: &VmId, generation: u64) {
        let peers = (self.peer(a), self.peer(b));
        let cut = self.is_cut(a, b);
        let Some(link) = self.links.get_mut(&pair(a, b)) else {
            return;
        };
        if link.generation != generation {
            return;
        }
        link.connecting = false;
        let (Some(peer_a), Some(peer_b)) = peers else {
            return;
        };
        if cut {
            return;
        }
        link.up = true;
        self.give_link_up(a, peer_b);
        self.give_link_up(b, peer_a);
    }

    pub(crate) fn give_link_up(&mut self, to: &VmId, peer: Peer) {
        let Some(node) = self.nodes.get(to) else {
            return;
        };
        let input = match node.role {
            VmRole::Entry => Input::Entry(EntryInput::LinkUp(peer)),
            VmRole::Sidecar => Input::Sidecar(SidecarInput::LinkUp(peer)),
        };
        let life = node.life;
        self.give(to, life, input);
    }

    pub(crate) fn peer(&self, vm: &VmId) -> Option<Peer> {
        match self.nodes.get(vm)?.core.as_ref()? {
            Core::Entry(entry) => Some(entry.peer()),
            Core::Sidecar(sidecar) => Some(sidecar.peer()),
        }
    }

    pub(crate) fn link_down(&mut self, a: &VmId, b: &VmId) {
        let Some(link) = self.links.get_mut(&pair(a, b)) else {
            return;
        };
        link.connecting = false;
        if !std::mem::take(&mut link.up) {
            return;
        }
        link.generation += 1;
        for (to, gone) in [(a, b), (b, a)] {
            let Some(node) = self.nodes.get(to) else {
                continue;
            };
            let life = node.life;
            let input = match node.role {
                VmRole::Entry => Input::Entry(EntryInput::LinkDown(gone.clone())),
                VmRole::Sidecar => Input::Sidecar(SidecarInput::LinkDown(gone.clone())),
            };
            self.give(to, life, input);
        }
    }
}
