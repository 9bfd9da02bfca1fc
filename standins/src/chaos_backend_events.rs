//! Handles the events of backend servers in a chaos run.

use clementinepick::ids::VmId;
use clementinepick::sidecar::SidecarInput;

use crate::chaos_backend::{Backend, StartedCall};
use crate::chaos_world::{Input, ScheduledEvent, World};

impl World {
    pub(crate) fn on_call_started(&mut self, vm: &VmId, started: Option<StartedCall>) {
        if let Some(started) = started {
            let StartedCall {
                attempt,
                program,
                seq,
                body,
            } = started;
            self.record_trace(|| {
                format!("{vm} starts {program}/{seq} body {body} attempt {attempt}")
            });
            self.counts.add("calls started");
            self.checks
                .on_start(self.now, vm, &program, seq, body, attempt);
        }
        self.wake_backend(vm);
    }

    pub(crate) fn wake_backend(&mut self, vm: &VmId) {
        let Some(at) = self.backends.get(vm).and_then(Backend::next_event_at) else {
            return;
        };
        self.schedule(
            at.max(self.now),
            ScheduledEvent::BackendWakeup { vm: vm.clone() },
        );
    }

    pub(crate) fn on_backend_wakeup(&mut self, vm: &VmId) {
        let Some(backend) = self.backends.get_mut(vm) else {
            return;
        };
        if backend.next_event_at().is_none_or(|at| at > self.now) {
            // The server has slowed down since this wake-up was scheduled.
            self.wake_backend(vm);
            return;
        }
        let progress = backend.advance(self.now);
        let start_count = self.nodes.get(vm).map_or(0, |node| node.start_count);
        for (program, body) in progress.executed {
            self.record_trace(|| format!("{vm} executed body {body} of {program}"));
            self.checks.on_executed(&program, body);
        }
        for (program, tokens) in progress.used_tokens {
            self.checks.on_tokens_used(&program, tokens);
        }
        for (attempt, event) in progress.events {
            self.deliver_input(
                vm,
                start_count,
                Input::Sidecar(SidecarInput::Backend { attempt, event }),
            );
        }
        self.wake_backend(vm);
    }
}
