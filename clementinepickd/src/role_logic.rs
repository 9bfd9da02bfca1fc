//! Wraps the state machines of the roles entry and sidecar in one trait for the control thread.

use std::collections::BTreeMap;

use clementinepick::call::{AnswerPart, Fetch, Request};
use clementinepick::entry::{Entry, EntryAction, EntryInput, EntrySettings};
use clementinepick::event::Event;
use clementinepick::ids::{Incarnation, ProgramId, RequestId, VmId};
use clementinepick::message::{Message, Peer};
use clementinepick::platform::{Vm, VmRole};
use clementinepick::record::EndReason;
use clementinepick::sidecar::{Sidecar, SidecarAction, SidecarInput, SidecarSettings};
use clementinepick::units::TimeUs;
use serde_json::Value;

use crate::control_messages::{ClientCommand, ControlInput};
use crate::settings::{Role, Settings};

/// An action that the control thread carries out for its role.
#[derive(Debug)]
pub(crate) enum Action {
    /// Sends a message to a peer.
    Send { to: VmId, message: Message },
    /// Keeps links open to exactly these VMs.
    Dial(BTreeMap<VmId, Vm>),
    /// Closes the link to a VM.
    Disconnect(VmId),
    /// Delivers a part of its answer to a caller.
    Answer {
        request: RequestId,
        part: AnswerPart,
    },
    /// Sends a request to the platform or the backend server.
    Client(ClientCommand),
    /// Logs and counts an event.
    Event(Event),
    /// Reports that the shutdown has nothing left to do.
    Finished,
}

/// The state machine of one process: handles inputs and appends the resulting actions to `out`.
pub(crate) trait RoleLogic {
    /// Handles a caller's request.
    fn on_request(&mut self, now: TimeUs, request: Box<Request>, out: &mut Vec<Action>);
    /// Handles a caller's query for the answer of an earlier call.
    fn on_fetch(&mut self, now: TimeUs, fetch: Box<Fetch>, out: &mut Vec<Action>);
    /// Handles the disconnect of a caller.
    fn on_caller_gone(&mut self, now: TimeUs, request: RequestId, out: &mut Vec<Action>);
    /// Ends a program at a caller's request.
    fn end_program(&mut self, now: TimeUs, program: ProgramId, out: &mut Vec<Action>);
    /// Handles an established link.
    fn on_link_up(&mut self, now: TimeUs, peer: Peer, out: &mut Vec<Action>);
    /// Handles a closed link.
    fn on_link_down(&mut self, now: TimeUs, vm: VmId, out: &mut Vec<Action>);
    /// Handles a message of a peer.
    fn on_link_message(&mut self, now: TimeUs, from: VmId, message: Message, out: &mut Vec<Action>);
    /// Handles a response of the platform or the backend server; ignores inputs of the other role.
    fn on_client_input(&mut self, now: TimeUs, input: ControlInput, out: &mut Vec<Action>);
    /// Handles what is due at `now`.
    fn on_tick(&mut self, now: TimeUs, out: &mut Vec<Action>);
    /// Begins a graceful shutdown.
    fn shutdown(&mut self, now: TimeUs, out: &mut Vec<Action>);
    /// Answers all unfinished calls with what is known of them.
    fn force_shutdown(&mut self, now: TimeUs, out: &mut Vec<Action>);
    /// Returns whether the process can serve calls.
    fn is_ready(&self) -> bool;
    /// Returns the whole state for the state dump.
    fn dump(&self, now: TimeUs) -> Value;
    /// Returns the sizes of the state by gauge name.
    fn counts(&self) -> BTreeMap<&'static str, usize>;
}

/// Creates the state machine for the role in `settings`, and the peer that identifies the process
/// on its links.
pub(crate) fn new_role_logic(
    settings: &Settings,
    incarnation: Incarnation,
) -> (Box<dyn RoleLogic + Send>, Peer) {
    let (vm, zone) = (settings.vm.clone(), settings.zone.clone());
    match &settings.role {
        Role::Entry(role) => {
            let entry = Entry::new(EntrySettings {
                partition_count: role.partition_count,
                seed: rand::random(),
                ..EntrySettings::new(vm.clone(), incarnation, zone)
            });
            let peer = entry.peer();
            (Box::new(EntryLogic { vm, entry }), peer)
        }
        Role::Sidecar(role) => {
            let service = role.service.clone();
            let sidecar = Sidecar::new(SidecarSettings::new(vm, incarnation, zone, service));
            let peer = sidecar.peer();
            (Box::new(SidecarLogic { sidecar }), peer)
        }
    }
}

struct EntryLogic {
    vm: VmId,
    entry: Entry,
}

impl EntryLogic {
    fn handle(&mut self, now: TimeUs, input: EntryInput, out: &mut Vec<Action>) {
        let mut actions = Vec::new();
        self.entry.handle(now, input, &mut actions);
        out.extend(actions.into_iter().map(|action| match action {
            EntryAction::Send { to, message } => Action::Send { to, message },
            EntryAction::Connect(vms) => Action::Dial(self.dial_targets(vms)),
            EntryAction::Disconnect(vm) => Action::Disconnect(vm),
            EntryAction::Answer { request, part } => Action::Answer { request, part },
            EntryAction::Log(action) => Action::Client(ClientCommand::Log(action)),
            EntryAction::Event(event) => Action::Event(event),
            EntryAction::Finished => Action::Finished,
        }));
    }

    /// Returns the VMs to connect to.
    ///
    /// Of two entries, the one with the lesser id connects, so that there is one link between them.
    fn dial_targets(&self, vms: Vec<Vm>) -> BTreeMap<VmId, Vm> {
        let targets = vms.into_iter().filter(|vm| match vm.role {
            VmRole::Sidecar => true,
            VmRole::Entry => vm.id > self.vm,
        });
        targets.map(|vm| (vm.id.clone(), vm)).collect()
    }
}

impl RoleLogic for EntryLogic {
    fn on_request(&mut self, now: TimeUs, request: Box<Request>, out: &mut Vec<Action>) {
        self.handle(now, EntryInput::Request(request), out);
    }

    fn on_fetch(&mut self, now: TimeUs, fetch: Box<Fetch>, out: &mut Vec<Action>) {
        self.handle(now, EntryInput::Fetch(fetch), out);
    }

    fn on_caller_gone(&mut self, now: TimeUs, request: RequestId, out: &mut Vec<Action>) {
        self.handle(now, EntryInput::CallerGone(request), out);
    }

    fn end_program(&mut self, now: TimeUs, program: ProgramId, out: &mut Vec<Action>) {
        let reason = EndReason::Caller;
        self.handle(now, EntryInput::EndProgram { program, reason }, out);
    }

    fn on_link_up(&mut self, now: TimeUs, peer: Peer, out: &mut Vec<Action>) {
        self.handle(now, EntryInput::LinkUp(peer), out);
    }

    fn on_link_down(&mut self, now: TimeUs, vm: VmId, out: &mut Vec<Action>) {
        self.handle(now, EntryInput::LinkDown(vm), out);
    }

    fn on_link_message(
        &mut self,
        now: TimeUs,
        from: VmId,
        message: Message,
        out: &mut Vec<Action>,
    ) {
        self.handle(now, EntryInput::Link { from, message }, out);
    }

    fn on_client_input(&mut self, now: TimeUs, input: ControlInput, out: &mut Vec<Action>) {
        if let ControlInput::Entry(input) = input {
            self.handle(now, input, out);
        }
    }

    fn on_tick(&mut self, now: TimeUs, out: &mut Vec<Action>) {
        self.handle(now, EntryInput::Tick, out);
    }

    fn shutdown(&mut self, now: TimeUs, out: &mut Vec<Action>) {
        self.handle(now, EntryInput::Shutdown, out);
    }

    fn force_shutdown(&mut self, now: TimeUs, out: &mut Vec<Action>) {
        self.handle(now, EntryInput::Force, out);
    }

    fn is_ready(&self) -> bool {
        self.entry.is_ready()
    }

    fn dump(&self, now: TimeUs) -> Value {
        self.entry.dump(now)
    }

    fn counts(&self) -> BTreeMap<&'static str, usize> {
        self.entry.counts()
    }
}

struct SidecarLogic {
    sidecar: Sidecar,
}

impl SidecarLogic {
    fn handle(&mut self, now: TimeUs, input: SidecarInput, out: &mut Vec<Action>) {
        let mut actions = Vec::new();
        self.sidecar.handle(now, input, &mut actions);
        out.extend(actions.into_iter().map(|action| match action {
            SidecarAction::Send { to, message } => Action::Send { to, message },
            SidecarAction::Log(event) => Action::Event(event),
            SidecarAction::Finished => Action::Finished,
            backend => Action::Client(ClientCommand::Backend(backend)),
        }));
    }
}

impl RoleLogic for SidecarLogic {
    fn on_request(&mut self, _: TimeUs, _: Box<Request>, _: &mut Vec<Action>) {}

    fn on_fetch(&mut self, _: TimeUs, _: Box<Fetch>, _: &mut Vec<Action>) {}

    fn on_caller_gone(&mut self, _: TimeUs, _: RequestId, _: &mut Vec<Action>) {}

    fn end_program(&mut self, _: TimeUs, _: ProgramId, _: &mut Vec<Action>) {}

    fn on_link_up(&mut self, now: TimeUs, peer: Peer, out: &mut Vec<Action>) {
        self.handle(now, SidecarInput::LinkUp(peer), out);
    }

    fn on_link_down(&mut self, now: TimeUs, vm: VmId, out: &mut Vec<Action>) {
        self.handle(now, SidecarInput::LinkDown(vm), out);
    }

    fn on_link_message(
        &mut self,
        now: TimeUs,
        from: VmId,
        message: Message,
        out: &mut Vec<Action>,
    ) {
        self.handle(now, SidecarInput::Link { from, message }, out);
    }

    fn on_client_input(&mut self, now: TimeUs, input: ControlInput, out: &mut Vec<Action>) {
        if let ControlInput::Sidecar(input) = input {
            self.handle(now, input, out);
        }
    }

    fn on_tick(&mut self, now: TimeUs, out: &mut Vec<Action>) {
        self.handle(now, SidecarInput::Tick, out);
    }

    fn shutdown(&mut self, now: TimeUs, out: &mut Vec<Action>) {
        self.handle(now, SidecarInput::Shutdown, out);
    }

    fn force_shutdown(&mut self, now: TimeUs, out: &mut Vec<Action>) {
        self.handle(now, SidecarInput::Force, out);
    }

    fn is_ready(&self) -> bool {
        self.sidecar.is_ready()
    }

    fn dump(&self, now: TimeUs) -> Value {
        self.sidecar.dump(now)
    }

    fn counts(&self) -> BTreeMap<&'static str, usize> {
        self.sidecar.counts()
    }
}
