//! Starts and kills the processes of a chaos run, delivers their inputs and runs their actions.

use clementinepick::entry::{Entry, EntryAction, EntryInput, EntrySettings};
use clementinepick::event::{Event, EventKind};
use clementinepick::ids::{Incarnation, VmId};
use clementinepick::platform::VmRole;
use clementinepick::sidecar::{Sidecar, SidecarAction, SidecarInput, SidecarSettings};
use clementinepick::units::SpanUs;
use rand::RngExt;

use crate::chaos_backend::Backend;
use crate::chaos_callers::service_name;
use crate::chaos_world::{Input, ProcessLogic, ScheduledEvent, TICK_INTERVAL_US, World};

impl World {
    pub(crate) fn start_process(&mut self, vm: &VmId) {
        let seed = self.rng.random_range(1..u64::MAX);
        let Some(node) = self.nodes.get_mut(vm) else {
            return;
        };
        if node.logic.is_some() {
            return;
        }
        node.start_count += 1;
        node.is_paused = false;
        node.paused_inputs.clear();
        node.is_leaving = false;
        let incarnation = Incarnation(node.start_count);
        node.logic = Some(match node.service {
            None => {
                let mut settings = EntrySettings::new(vm.clone(), incarnation, node.zone.clone());
                settings.seed = seed;
                settings.partition_count = 8;
                settings.safeguards = self.settings.safeguards.clone();
                ProcessLogic::Entry(Box::new(Entry::new(settings)))
            }
            Some(service) => {
                let service = service_name(service);
                let mut settings =
                    SidecarSettings::new(vm.clone(), incarnation, node.zone.clone(), service);
                settings.safeguards = self.settings.safeguards.clone();
                ProcessLogic::Sidecar(Box::new(Sidecar::new(settings)))
            }
        });
        let start_count = node.start_count;
        self.checks.on_replaced(vm);
        self.record_trace(|| format!("{vm} starts, start count {start_count}"));
        self.schedule_after(
            SpanUs(seed % TICK_INTERVAL_US.0),
            ScheduledEvent::Tick {
                vm: vm.clone(),
                start_count,
            },
        );
        self.update_vm_list(vm);
    }

    pub(crate) fn kill_process(&mut self, vm: &VmId) {
        let Some(node) = self.nodes.get_mut(vm) else {
            return;
        };
        if node.logic.take().is_none() {
            return;
        }
        self.record_trace(|| format!("process of {vm} stops"));
        for other in self.nodes.keys().cloned().collect::<Vec<_>>() {
            self.close_link(vm, &other);
        }
        self.disconnect_callers(vm);
    }

    /// Closes the connections of the callers of an entry that has stopped.
    pub(crate) fn disconnect_callers(&mut self, vm: &VmId) {
        let disconnected: Vec<usize> = (0..self.callers.len())
            .filter(|&c| {
                self.callers[c]
                    .pending
                    .as_ref()
                    .is_some_and(|pending| pending.entry == *vm)
            })
            .collect();
        for caller in disconnected {
            if let Some(pending) = &self.callers[caller].pending {
                self.callers_by_request.remove(&pending.id);
            }
            self.counts.add("connections broken");
            let next = self.callers[caller].on_disconnected();
            self.schedule_next(caller, next);
        }
    }

    pub(crate) fn deliver_input(&mut self, vm: &VmId, start_count: u64, input: Input) {
        let Some(node) = self.nodes.get_mut(vm) else {
            return;
        };
        if node.start_count != start_count || node.logic.is_none() {
            return;
        }
        if node.is_paused {
            node.paused_inputs.push_back(input);
            return;
        }
        let now = self.now;
        match (node.logic.as_mut(), input) {
            (Some(ProcessLogic::Entry(entry)), Input::Entry(input)) => {
                let mut actions = Vec::new();
                entry.handle(now, input, &mut actions);
                for action in actions {
                    self.run_entry_action(vm, start_count, action);
                }
            }
            (Some(ProcessLogic::Sidecar(sidecar)), Input::Sidecar(input)) => {
                let mut actions = Vec::new();
                sidecar.handle(now, input, &mut actions);
                for action in actions {
                    self.run_sidecar_action(vm, start_count, action);
                }
            }
            _ => {}
        }
    }

    pub(crate) fn on_tick(&mut self, vm: VmId, start_count: u64) {
        let Some(node) = self.nodes.get(&vm) else {
            return;
        };
        if node.start_count != start_count || node.logic.is_none() {
            return;
        }
        let role = node.role;
        if !node.is_paused {
            let input = match role {
                VmRole::Entry => Input::Entry(EntryInput::Tick),
                VmRole::Sidecar => Input::Sidecar(SidecarInput::Tick),
            };
            self.deliver_input(&vm, start_count, input);
            self.poll_backend(&vm, start_count);
            self.check_revisions(&vm);
        }
        self.schedule_after(TICK_INTERVAL_US, ScheduledEvent::Tick { vm, start_count });
    }

    pub(crate) fn poll_backend(&mut self, vm: &VmId, start_count: u64) {
        let Some(backend) = self.backends.get_mut(vm) else {
            return;
        };
        let load = backend.load_report(self.now);
        let cache = backend.cache_events(self.now);
        if let Some(load) = load {
            self.deliver_input(vm, start_count, Input::Sidecar(SidecarInput::Load(load)));
        }
        if let Some((first, events)) = cache {
            self.deliver_input(
                vm,
                start_count,
                Input::Sidecar(SidecarInput::Cache { first, events }),
            );
        }
    }

    pub(crate) fn check_revisions(&mut self, vm: &VmId) {
        let Some(logic) = self.nodes.get(vm).and_then(|node| node.logic.as_ref()) else {
            return;
        };
        let revisions = match logic {
            ProcessLogic::Entry(entry) => entry.revisions(),
            ProcessLogic::Sidecar(sidecar) => sidecar.revisions(),
        };
        for (service, revision) in revisions {
            self.checks.on_revision(vm, &service, revision);
        }
    }

    pub(crate) fn run_entry_action(&mut self, vm: &VmId, start_count: u64, action: EntryAction) {
        match action {
            EntryAction::Send { to, message } => self.send(vm, to, message),
            EntryAction::Connect(vms) => {
                let wanted = vms
                    .into_iter()
                    .filter(|other| other.role == VmRole::Sidecar || other.id > *vm);
                self.wanted_links
                    .insert(vm.clone(), wanted.map(|other| other.id).collect());
            }
            EntryAction::Disconnect(other) => self.close_link(vm, &other),
            EntryAction::Answer { request, part } => self.on_response_part(vm, request, &part),
            EntryAction::Log(action) => self.run_log_action(vm, start_count, action),
            EntryAction::Event(event) => self.on_event(vm, &event),
            EntryAction::Finished => self.on_shutdown_complete(vm),
        }
    }

    /// Schedules the delivery of a backend server's response to its sidecar.
    fn schedule_backend_response(&mut self, vm: &VmId, start_count: u64, input: SidecarInput) {
        let delay = self.draw_link_delay();
        let (vm, input) = (vm.clone(), Box::new(input));
        self.schedule_after(
            delay,
            ScheduledEvent::BackendResponse {
                vm,
                start_count,
                input,
            },
        );
    }

    pub(crate) fn run_sidecar_action(
        &mut self,
        vm: &VmId,
        start_count: u64,
        action: SidecarAction,
    ) {
        match action {
            SidecarAction::Send { to, message } => self.send(vm, to, message),
            SidecarAction::Generate(body) => {
                let Some(backend) = self.backends.get_mut(vm) else {
                    return;
                };
                let started = backend.generate(self.now, *body);
                self.on_call_started(vm, started);
            }
            SidecarAction::Call { attempt, call, .. } => {
                let Some(backend) = self.backends.get_mut(vm) else {
                    return;
                };
                let started = backend.call(self.now, attempt, &call);
                self.on_call_started(vm, started);
            }
            SidecarAction::Cancel(attempt) => {
                if let Some(backend) = self.backends.get_mut(vm) {
                    backend.cancel(self.now, attempt);
                }
                self.wake_backend(vm);
            }
            SidecarAction::Release { program, chains } => {
                let Some(backend) = self.backends.get_mut(vm) else {
                    return;
                };
                let freed_tokens = backend.release(self.now, &chains);
                let input = SidecarInput::Released {
                    program,
                    freed_tokens,
                };
                self.schedule_backend_response(vm, start_count, input);
            }
            SidecarAction::Retain { chains } => {
                let Some(backend) = self.backends.get_mut(vm) else {
                    return;
                };
                backend.retain(self.now, &chains);
                self.wake_backend(vm);
            }
            SidecarAction::Order { .. } => {}
            SidecarAction::Log(event) => self.on_event(vm, &event),
            SidecarAction::Finished => self.on_shutdown_complete(vm),
        }
    }

    pub(crate) fn on_event(&mut self, vm: &VmId, event: &Event) {
        let fields: Vec<String> = event
            .fields
            .iter()
            .map(|(name, value)| format!("{name}={value}"))
            .collect();
        self.record_trace(|| format!("{vm}: {} {}", event.kind.name(), fields.join(" ")));
        self.counts.add(event.kind.name());
        if event.kind == EventKind::InvariantBroken {
            self.checks
                .fail("invariant", format!("{vm}: {}", fields.join(" ")));
        }
    }

    pub(crate) fn on_shutdown_complete(&mut self, vm: &VmId) {
        let Some(node) = self.nodes.get(vm) else {
            return;
        };
        if node.logic.is_none() {
            return;
        }
        self.counts.add("graceful shutdowns");
        let pending = self
            .callers
            .iter()
            .filter_map(|caller| caller.pending.as_ref());
        if let Some(unanswered) = pending
            .filter(|pending| pending.entry == *vm)
            .map(|pending| pending.id)
            .next()
        {
            self.checks.fail(
                "graceful shutdown",
                format!("{vm} exits before it has responded to {unanswered}"),
            );
        }
        if self.backends.get(vm).is_some_and(Backend::is_busy) {
            self.checks.fail(
                "graceful shutdown",
                format!("{vm} exits while its backend server runs calls"),
            );
        }
        self.kill_process(vm);
        self.schedule_after(
            SpanUs::from_s(1),
            ScheduledEvent::StartProcess { vm: vm.clone() },
        );
    }
}
