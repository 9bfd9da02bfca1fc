//! The processes of a chaos run: start, death, inputs and actions.

use clementinepick::entry::{Entry, EntryAction, EntryInput, EntrySettings};
use clementinepick::event::{Event, EventKind};
use clementinepick::ids::{Incarnation, VmId};
use clementinepick::platform::VmRole;
use clementinepick::sidecar::{Sidecar, SidecarAction, SidecarInput, SidecarSettings};
use clementinepick::units::SpanUs;
use rand::RngExt;

use crate::chaos_backend::Backend;
use crate::chaos_callers::service_name;
use crate::chaos_world::{Core, Due, Input, TICK_US, World};

impl World {
    pub(crate) fn start(&mut self, vm: &VmId) {
        let seed = self.rng.random_range(1..u64::MAX);
        let Some(node) = self.nodes.get_mut(vm) else {
            return;
        };
        if node.core.is_some() {
            return;
        }
        node.life += 1;
        node.paused = false;
        node.held.clear();
        node.leaving = false;
        let incarnation = Incarnation(node.life);
        node.core = Some(match node.service {
            None => {
                let mut settings = EntrySettings::new(vm.clone(), incarnation, node.zone.clone());
                settings.seed = seed;
                settings.partition_count = 8;
                settings.safeguards = self.settings.safeguards.clone();
                Core::Entry(Box::new(Entry::new(settings)))
            }
            Some(service) => {
                let service = service_name(service);
                let mut settings =
                    SidecarSettings::new(vm.clone(), incarnation, node.zone.clone(), service);
                settings.safeguards = self.settings.safeguards.clone();
                Core::Sidecar(Box::new(Sidecar::new(settings)))
            }
        });
        let life = node.life;
        self.checks.on_replaced(vm);
        self.note(|| format!("{vm} starts, life {life}"));
        self.schedule_after(
            SpanUs(seed % TICK_US.0),
            Due::Tick {
                vm: vm.clone(),
                life,
            },
        );
        self.list_vms(vm);
    }

    pub(crate) fn kill(&mut self, vm: &VmId) {
        let Some(node) = self.nodes.get_mut(vm) else {
            return;
        };
        if node.core.take().is_none() {
            return;
        }
        self.note(|| format!("{vm} dies"));
        for other in self.nodes.keys().cloned().collect::<Vec<_>>() {
            self.link_down(vm, &other);
        }
        self.cut_callers(vm);
    }

    /// The callers connected to an entry that is gone see their connections break.
    pub(crate) fn cut_callers(&mut self, vm: &VmId) {
        let cut: Vec<usize> = (0..self.callers.len())
            .filter(|&c| {
                self.callers[c]
                    .open
                    .as_ref()
                    .is_some_and(|open| open.entry == *vm)
            })
            .collect();
        for caller in cut {
            if let Some(open) = &self.callers[caller].open {
                self.open.remove(&open.id);
            }
            self.counts.add("connections broken");
            let next = self.callers[caller].on_cut();
            self.go_on(caller, next);
        }
    }

    pub(crate) fn give(&mut self, vm: &VmId, life: u64, input: Input) {
        let Some(node) = self.nodes.get_mut(vm) else {
            return;
        };
        if node.life != life || node.core.is_none() {
            return;
        }
        if node.paused {
            node.held.push_back(input);
            return;
        }
        let now = self.now;
        match (node.core.as_mut(), input) {
            (Some(Core::Entry(entry)), Input::Entry(input)) => {
                let mut out = Vec::new();
                entry.handle(now, input, &mut out);
                for action in out {
                    self.do_entry(vm, life, action);
                }
            }
            (Some(Core::Sidecar(sidecar)), Input::Sidecar(input)) => {
                let mut out = Vec::new();
                sidecar.handle(now, input, &mut out);
                for action in out {
                    self.do_sidecar(vm, life, action);
                }
            }
            _ => {}
        }
    }

    pub(crate) fn on_tick(&mut self, vm: VmId, life: u64) {
        let Some(node) = self.nodes.get(&vm) else {
            return;
        };
        if node.life != life || node.core.is_none() {
            return;
        }
        let role = node.role;
        if !node.paused {
            let input = match role {
                VmRole::Entry => Input::Entry(EntryInput::Tick),
                VmRole::Sidecar => Input::Sidecar(SidecarInput::Tick),
            };
            self.give(&vm, life, input);
            self.poll_backend(&vm, life);
            self.check_revisions(&vm);
        }
        self.schedule_after(TICK_US, Due::Tick { vm, life });
    }

    pub(crate) fn poll_backend(&mut self, vm: &VmId, life: u64) {
        let Some(backend) = self.backends.get_mut(vm) else {
            return;
        };
        let load = backend.load(self.now);
        let cache = backend.cache_events(self.now);
        if let Some(load) = load {
            self.give(vm, life, Input::Sidecar(SidecarInput::Load(load)));
        }
        if let Some((first, events)) = cache {
            self.give(
                vm,
                life,
                Input::Sidecar(SidecarInput::Cache { first, events }),
            );
        }
    }

    pub(crate) fn check_revisions(&mut self, vm: &VmId) {
        let Some(core) = self.nodes.get(vm).and_then(|node| node.core.as_ref()) else {
            return;
        };
        let revisions = match core {
            Core::Entry(entry) => entry.revisions(),
            Core::Sidecar(sidecar) => sidecar.revisions(),
        };
        for (service, revision) in revisions {
            self.checks.on_revision(vm, &service, revision);
        }
    }

    pub(crate) fn do_entry(&mut self, vm: &VmId, life: u64, action: EntryAction) {
        match action {
            EntryAction::Send { to, message } => self.send(vm, to, message),
            EntryAction::Connect(vms) => {
                let wanted = vms
                    .into_iter()
                    .filter(|other| other.role == VmRole::Sidecar || other.id > *vm);
                self.wants
                    .insert(vm.clone(), wanted.map(|other| other.id).collect());
            }
            EntryAction::Disconnect(other) => self.link_down(vm, &other),
            EntryAction::Answer { request, part } => self.on_answer(vm, request, &part),
            EntryAction::Log(action) => self.do_log(vm, life, action),
            EntryAction::Event(event) => self.on_event(vm, &event),
            EntryAction::Finished => self.on_finished(vm),
        }
    }

    pub(crate) fn do_sidecar(&mut self, vm: &VmId, life: u64, action: SidecarAction) {
        match action {
            SidecarAction::Send { to, message } => self.send(vm, to, message),
            SidecarAction::Generate(body) => {
                let Some(backend) = self.backends.get_mut(vm) else {
                    return;
                };
                let started = backend.generate(self.now, *body);
                self.on_started(vm, started);
            }
            SidecarAction::Call { attempt, call, .. } => {
                let Some(backend) = self.backends.get_mut(vm) else {
                    return;
                };
                let started = backend.call(self.now, attempt, &call);
                self.on_started(vm, started);
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
                let freed = backend.release(self.now, &chains);
                let delay = self.delay();
                let due = Due::Released {
                    vm: vm.clone(),
                    life,
                    program,
                    freed,
                };
                self.schedule_after(delay, due);
            }
            SidecarAction::Order { .. } => {}
            SidecarAction::Log(event) => self.on_event(vm, &event),
            SidecarAction::Finished => self.on_finished(vm),
        }
    }

    pub(crate) fn on_event(&mut self, vm: &VmId, event: &Event) {
        let fields: Vec<String> = event
            .fields
            .iter()
            .map(|(name, value)| format!("{name}={value}"))
            .collect();
        self.note(|| format!("{vm}: {} {}", event.kind.name(), fields.join(" ")));
        self.counts.add(event.kind.name());
        if event.kind == EventKind::InvariantBroken {
            self.checks
                .fail("invariant", format!("{vm}: {}", fields.join(" ")));
        }
    }

    pub(crate) fn on_finished(&mut self, vm: &VmId) {
        let Some(node) = self.nodes.get(vm) else {
            return;
        };
        if node.core.is_none() {
            return;
        }
        self.counts.add("graceful shutdowns");
        let open = self
            .callers
            .iter()
            .filter_map(|caller| caller.open.as_ref());
        if let Some(cut) = open
            .filter(|open| open.entry == *vm)
            .map(|open| open.id)
            .next()
        {
            self.checks.fail(
                "graceful shutdown",
                format!("{vm} exits and cuts off {cut}"),
            );
        }
        if self.backends.get(vm).is_some_and(Backend::is_busy) {
            self.checks.fail(
                "graceful shutdown",
                format!("{vm} exits while its backend runs"),
            );
        }
        self.kill(vm);
        self.schedule_after(SpanUs::from_s(1), Due::Start { vm: vm.clone() });
    }
}
