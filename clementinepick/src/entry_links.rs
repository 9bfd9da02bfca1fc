//! What an entry makes of its links and of the list of VMs.

use std::collections::BTreeSet;

use crate::answer::SidecarReply;
use crate::call::Usage;
use crate::call_state::{PeerState, ReplyTo, Step};
use crate::entry::{Entry, EntryAction};
use crate::error::{CallError, ErrorKind};
use crate::event::{Event, EventKind};
use crate::ids::{AttemptId, RequestId, VmId};
use crate::message::{Message, Peer};
use crate::platform::{Vm, VmRole};
use crate::units::TimeUs;

impl Entry {
    pub(crate) fn on_message(
        &mut self,
        now: TimeUs,
        from: VmId,
        message: Message,
        out: &mut Vec<EntryAction>,
    ) {
        if let Some(peer) = self.peers.get_mut(&from) {
            peer.heard_us = now;
        }
        self.membership.on_heard(now, &from);
        match message {
            Message::Heartbeat(heartbeat) => self.on_heartbeat(now, &from, heartbeat, out),
            Message::Forward { request, hops } => {
                self.on_request(now, *request, &ReplyTo::Entry(from), hops, out);
            }
            Message::ForwardReply { request, part } => {
                if !self.on_fetch_reply(&from, request, &part, out) {
                    self.on_forward_reply(&from, request, part, out);
                }
            }
            Message::ForwardCancel { request } => {
                self.on_forward_cancel(now, &from, request, out);
            }
            Message::ForwardFetch { fetch, hops } => {
                self.on_fetch(now, &fetch, &ReplyTo::Entry(from), hops, out);
            }
            Message::EndProgram { program, reason } => {
                self.end_program(now, program, reason, out);
            }
            Message::DispatchReply {
                attempt,
                part,
                started,
                used,
            } => {
                let reply = SidecarReply {
                    attempt,
                    part,
                    started,
                    used,
                };
                self.on_reply(now, &from, reply, out);
            }
            Message::Kept {
                partition,
                epoch,
                calls,
            } => {
                if self.own_epoch(partition) == Some(epoch) {
                    self.on_kept_calls(now, &from, partition, calls, out);
                }
            }
            Message::FenceReply {
                attempt, verdict, ..
            } => self.on_fence_reply(now, &from, attempt, verdict, out),
            Message::Load(load) => {
                self.on_engine_load(&from, load);
                self.router.on_load(now, &from, load);
            }
            Message::Engine(state) => self.on_engine_state(&from, state),
            Message::OrderReply { id, outcome } => {
                self.on_order_reply(now, &from, id, &outcome, out);
            }
            Message::Documents(documents) => self.on_documents(documents, out),
            Message::Cache { first, events } => {
                if self.router.on_cache(&from, first, &events) {
                    let event = Event::new(EventKind::CacheEventGap).with("vm", &from);
                    out.push(EntryAction::Event(event));
                }
            }
            Message::Released { program, .. } => self.on_released(&program, &from),
            Message::Dispatch(_)
            | Message::Cancel { .. }
            | Message::TakeOver { .. }
            | Message::Fence { .. }
            | Message::Attach { .. }
            | Message::Committed { .. }
            | Message::Lease { .. }
            | Message::Release { .. }
            | Message::Order { .. } => {}
        }
    }

    pub(crate) fn on_link_up(&mut self, now: TimeUs, peer: &Peer, out: &mut Vec<EntryAction>) {
        let event = Event::new(EventKind::LinkUp).with("vm", &peer.vm);
        out.push(EntryAction::Event(
            event.with("incarnation", peer.incarnation),
        ));
        let vm = peer.vm.clone();
        if self.peers.contains_key(&vm) {
            // The link came up anew before its end was noticed: what was sent over it may be lost.
            self.on_link_down(now, &vm, out);
        }
        if let Some(service) = peer.service.clone() {
            self.router.add(vm.clone(), service, peer.zone.clone());
        }
        let role = peer.role;
        let state = PeerState {
            peer: peer.clone(),
            link_up_us: now,
            is_ready: false,
            heard_us: now,
            leaving: false,
            revisions: None,
            lacks_documents: true,
            confirmed_by_read: self.config_journal.schedule_read(now),
            sent_documents: BTreeSet::new(),
        };
        let message = Message::Heartbeat(self.heartbeat_to(now, &state));
        out.push(EntryAction::Send {
            to: vm.clone(),
            message,
        });
        self.peers.insert(vm.clone(), state);
        self.last_heard_us.remove(&vm);
        self.membership.on_link_up(now, peer.clone());
        self.evaluate_member(now, &vm, out);
        if let Some(service) = &peer.service {
            self.update_routable_servers(service);
        }
        match role {
            VmRole::Sidecar => {
                for partition in self.owned_partitions() {
                    self.send_takeover(&vm, partition, out);
                }
                self.query_lost_calls(now, peer, out);
                self.query_open_calls(now, out);
            }
            VmRole::Entry => self.claim_orphaned_partitions(now),
        }
    }

    pub(crate) fn on_link_down(&mut self, now: TimeUs, vm: &VmId, out: &mut Vec<EntryAction>) {
        let Some(peer) = self.peers.remove(vm) else {
            return;
        };
        out.push(EntryAction::Event(
            Event::new(EventKind::LinkDown).with("vm", vm),
        ));
        self.last_heard_us.insert(vm.clone(), peer.heard_us);
        self.router.remove(vm);
        self.on_engine_gone(vm);
        self.membership.on_link_down(now, vm);
        self.evaluate_member(now, vm, out);
        if let Some(service) = &peer.peer.service {
            self.update_routable_servers(service);
        }
        for open in self.open_calls.values_mut().filter(|o| o.target == *vm) {
            open.is_attached = false;
            open.asked_us = None;
            open.since_us = now;
        }
        let running: Vec<(RequestId, AttemptId)> = self
            .calls
            .iter()
            .filter_map(|(id, call)| match &call.step {
                Step::Running { attempt, target } if target == vm => Some((*id, *attempt)),
                _ => None,
            })
            .collect();
        for (id, attempt) in running {
            let waits = self
                .calls
                .get(&id)
                .is_some_and(|call| !call.idempotent && call.recorded_start.is_some());
            if waits {
                self.wait_for_link(id);
                continue;
            }
            let detail = format!("the link to {vm} went down");
            let error = CallError::new(ErrorKind::BackendFailed, detail);
            self.on_failed(now, id, attempt, (error, true, Usage::default()), out);
        }
        if peer.peer.role == VmRole::Entry {
            self.on_owner_lost(now, vm, out);
            self.fail_fetches(vm, out);
        }
    }

    pub(crate) fn on_vms(&mut self, now: TimeUs, vms: Vec<Vm>, out: &mut Vec<EntryAction>) {
        self.membership.update_vm_list(vms.clone());
        self.next_membership_check_us = now;
        self.evaluate_members(now, out);
        self.vms = vms.into_iter().map(|vm| (vm.id.clone(), vm)).collect();
        let others = self.vms.values().filter(|vm| vm.id != self.settings.vm);
        out.push(EntryAction::Connect(others.cloned().collect()));
    }

    pub(crate) fn disconnect_silent_peers(&mut self, now: TimeUs, out: &mut Vec<EntryAction>) {
        let timeout = self.settings.peer_timeout_us;
        let silent: Vec<VmId> = self
            .peers
            .iter()
            .filter(|(_, peer)| now.since(peer.heard_us) >= timeout)
            .map(|(vm, _)| vm.clone())
            .collect();
        for vm in silent {
            self.on_link_down(now, &vm, out);
            out.push(EntryAction::Disconnect(vm));
        }
    }
}
