//! The two roles behind one interface, so that the control thread is written once.

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

/// What either role does.
#[derive(Debug)]
pub(crate) enum Action {
    /// Say something to a peer.
    Send { to: VmId, message: Message },
    /// Keep links open to exactly these.
    Dial(BTreeMap<VmId, Vm>),
    /// Close a link.
    Disconnect(VmId),
    /// Give a caller a part of its answer.
    Answer {
        request: RequestId,
        part: AnswerPart,
    },
    /// Use the platform or the backend server.
    Client(ClientCommand),
    /// Log an event.
    Event(Event),
    /// Nothing is left to do.
    Finished,
}

/// The decisions of one process.
pub(crate) trait RoleLogic {
    /// Takes a caller's request.
    fn request(&mut self, now: TimeUs, request: Box<Request>, out: &mut Vec<Action>);
    /// Takes a caller's question for an earlier answer.
    fn fetch(&mut self, now: TimeUs, fetch: Box<Fetch>, out: &mut Vec<Action>);
    /// Learns that a caller is gone.
    fn caller_gone(&mut self, now: TimeUs, request: RequestId, out: &mut Vec<Action>);
    /// Ends a program.
    fn end_program(&mut self, now: TimeUs, program: ProgramId, out: &mut Vec<Action>);
    /// Learns of a link.
    fn link_up(&mut self, now: TimeUs, peer: Peer, out: &mut Vec<Action>);
    /// Learns that a link is closed.
    fn link_down(&mut self, now: TimeUs, vm: VmId, out: &mut Vec<Action>);
    /// Takes a peer's message.
    fn link(&mut self, now: TimeUs, from: VmId, message: Message, out: &mut Vec<Action>);
    /// Takes an answer of the platform or the backend server.
    fn client(&mut self, now: TimeUs, input: ControlInput, out: &mut Vec<Action>);
    /// Lets time pass.
    fn tick(&mut self, now: TimeUs, out: &mut Vec<Action>);
    /// Takes no new work.
    fn shutdown(&mut self, now: TimeUs, out: &mut Vec<Action>);
    /// Answers all that is unfinished, truthfully.
    fn force(&mut self, now: TimeUs, out: &mut Vec<Action>);
    /// Whether the process can serve.
    fn is_ready(&self) -> bool;
    /// The whole state.
    fn dump(&self, now: TimeUs) -> Value;
    /// The sizes of the state, by the name of their gauge.
    fn counts(&self) -> BTreeMap<&'static str, usize>;
}

/// The decisions for the role in `settings`, and who the process is on its links.
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
            EntryAction::Connect(vms) => Action::Dial(self.to_dial(vms)),
            EntryAction::Disconnect(vm) => Action::Disconnect(vm),
            EntryAction::Answer { request, part } => Action::Answer { request, part },
            EntryAction::Log(action) => Action::Client(ClientCommand::Log(action)),
            EntryAction::Event(event) => Action::Event(event),
            EntryAction::Finished => Action::Finished,
        }));
    }

    /// Of two entries the one with the lesser id connects, so that there is one link between them.
    fn to_dial(&self, vms: Vec<Vm>) -> BTreeMap<VmId, Vm> {
        let dialled = vms.into_iter().filter(|vm| match vm.role {
            VmRole::Sidecar => true,
            VmRole::Entry => vm.id > self.vm,
        });
        dialled.map(|vm| (vm.id.clone(), vm)).collect()
    }
}

impl RoleLogic for EntryLogic {
    fn request(&mut self, now: TimeUs, request: Box<Request>, out: &mut Vec<Action>) {
        self.handle(now, EntryInput::Request(request), out);
    }

    fn fetch(&mut self, now: TimeUs, fetch: Box<Fetch>, out: &mut Vec<Action>) {
        self.handle(now, EntryInput::Fetch(fetch), out);
    }

    fn caller_gone(&mut self, now: TimeUs, request: RequestId, out: &mut Vec<Action>) {
        self.handle(now, EntryInput::CallerGone(request), out);
    }

    fn end_program(&mut self, now: TimeUs, program: ProgramId, out: &mut Vec<Action>) {
        let reason = EndReason::Caller;
        self.handle(now, EntryInput::EndProgram { program, reason }, out);
    }

    fn link_up(&mut self, now: TimeUs, peer: Peer, out: &mut Vec<Action>) {
        self.handle(now, EntryInput::LinkUp(peer), out);
    }

    fn link_down(&mut self, now: TimeUs, vm: VmId, out: &mut Vec<Action>) {
        self.handle(now, EntryInput::LinkDown(vm), out);
    }

    fn link(&mut self, now: TimeUs, from: VmId, message: Message, out: &mut Vec<Action>) {
        self.handle(now, EntryInput::Link { from, message }, out);
    }

    fn client(&mut self, now: TimeUs, input: ControlInput, out: &mut Vec<Action>) {
        if let ControlInput::Entry(input) = input {
            self.handle(now, input, out);
        }
    }

    fn tick(&mut self, now: TimeUs, out: &mut Vec<Action>) {
        self.handle(now, EntryInput::Tick, out);
    }

    fn shutdown(&mut self, now: TimeUs, out: &mut Vec<Action>) {
        self.handle(now, EntryInput::Shutdown, out);
    }

    fn force(&mut self, now: TimeUs, out: &mut Vec<Action>) {
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
    fn request(&mut self, _: TimeUs, _: Box<Request>, _: &mut Vec<Action>) {}

    fn fetch(&mut self, _: TimeUs, _: Box<Fetch>, _: &mut Vec<Action>) {}

    fn caller_gone(&mut self, _: TimeUs, _: RequestId, _: &mut Vec<Action>) {}

    fn end_program(&mut self, _: TimeUs, _: ProgramId, _: &mut Vec<Action>) {}

    fn link_up(&mut self, now: TimeUs, peer: Peer, out: &mut Vec<Action>) {
        self.handle(now, SidecarInput::LinkUp(peer), out);
    }

    fn link_down(&mut self, now: TimeUs, vm: VmId, out: &mut Vec<Action>) {
        self.handle(now, SidecarInput::LinkDown(vm), out);
    }

    fn link(&mut self, now: TimeUs, from: VmId, message: Message, out: &mut Vec<Action>) {
        self.handle(now, SidecarInput::Link { from, message }, out);
    }

    fn client(&mut self, now: TimeUs, input: ControlInput, out: &mut Vec<Action>) {
        if let ControlInput::Sidecar(input) = input {
            self.handle(now, input, out);
        }
    }

    fn tick(&mut self, now: TimeUs, out: &mut Vec<Action>) {
        self.handle(now, SidecarInput::Tick, out);
    }

    fn shutdown(&mut self, now: TimeUs, out: &mut Vec<Action>) {
        self.handle(now, SidecarInput::Shutdown, out);
    }

    fn force(&mut self, now: TimeUs, out: &mut Vec<Action>) {
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
