//! Injects the faults of a chaos run and ends them.

use clementinepick::entry::EntryInput;
use clementinepick::ids::{VmId, ZoneName};
use clementinepick::platform::VmRole;
use clementinepick::sidecar::SidecarInput;
use clementinepick::units::SpanUs;
use rand::RngExt;

use crate::chaos_faults::Fault;
use crate::chaos_world::{Input, RETRANSMISSION_TIMEOUT_US, ScheduledEvent, World};
use crate::log_service::AppendFault;

impl World {
    pub(crate) fn inject_fault(&mut self, fault: &Fault) {
        self.record_trace(|| format!("fault: {fault:?}"));
        self.counts.add(fault.name());
        match fault {
            Fault::Kill { vm, downtime_us } => {
                self.kill_process(vm);
                self.schedule_after(
                    *downtime_us,
                    ScheduledEvent::StartProcess { vm: vm.clone() },
                );
            }
            Fault::KillVm { vm, downtime_us } => {
                self.kill_process(vm);
                if let Some(backend) = self.backends.get_mut(vm) {
                    backend.restart(self.now);
                }
                self.schedule_after(
                    *downtime_us,
                    ScheduledEvent::StartProcess { vm: vm.clone() },
                );
            }
            Fault::Pause { vm, span_us } => {
                if let Some(node) = self.nodes.get_mut(vm).filter(|node| node.logic.is_some()) {
                    node.is_paused = true;
                }
                self.schedule_after(*span_us, ScheduledEvent::EndFault(fault.clone()));
            }
            Fault::LogDown { span_us } => {
                self.log.add_outage(self.now, self.now.after(*span_us));
            }
            Fault::LogLosesAnswers { appends } => self.lose_append_responses(*appends),
            Fault::Cut {
                from,
                to,
                both,
                span_us,
            } => {
                self.cuts.insert((from.clone(), to.clone()));
                if *both {
                    self.cuts.insert((to.clone(), from.clone()));
                }
                self.schedule_after(*span_us, ScheduledEvent::EndFault(fault.clone()));
                if *span_us >= RETRANSMISSION_TIMEOUT_US {
                    // TCP gives up retransmitting and closes the link before the cut ends.
                    self.schedule_after(
                        RETRANSMISSION_TIMEOUT_US,
                        ScheduledEvent::EndFault(Fault::LinkReset {
                            from: from.clone(),
                            to: to.clone(),
                        }),
                    );
                }
            }
            Fault::LinkReset { from, to } => self.close_link(from, to),
            Fault::ZoneLost { zone, span_us } => self.kill_zone(zone, *span_us),
            Fault::Shutdown { vm } => self.shut_down(vm),
            Fault::Publish => self.on_publish(),
            Fault::PublishRace => {
                self.on_publish();
                self.on_publish();
            }
            Fault::BackendSlow { vm, span_us } => {
                if let Some(backend) = self.backends.get_mut(vm) {
                    backend.slow_until(self.now, self.now.after(*span_us));
                }
            }
        }
    }

    pub(crate) fn lose_append_responses(&mut self, appends: u32) {
        let script: Vec<Option<AppendFault>> = (0..appends)
            .map(|_| match self.rng.random_range(0..4) {
                0 => Some(AppendFault::LostRequest),
                1 => Some(AppendFault::LostResponse),
                2 => Some(AppendFault::LateWrite(SpanUs(
                    self.rng.random_range(1_000..3_000_000),
                ))),
                _ => None,
            })
            .collect();
        self.log.script(script);
    }

    pub(crate) fn kill_zone(&mut self, zone: &ZoneName, span_us: SpanUs) {
        let lost: Vec<VmId> = self
            .nodes
            .iter()
            .filter(|(_, node)| node.zone == *zone)
            .map(|(vm, _)| vm.clone())
            .collect();
        for vm in lost {
            self.inject_fault(&Fault::KillVm {
                vm,
                downtime_us: span_us,
            });
        }
    }

    pub(crate) fn shut_down(&mut self, vm: &VmId) {
        let Some(node) = self.nodes.get_mut(vm) else {
            return;
        };
        if node.logic.is_none() || node.is_paused {
            return;
        }
        node.is_leaving = true;
        let (start_count, role) = (node.start_count, node.role);
        if role == VmRole::Sidecar {
            self.checks.on_leaving(self.now, vm);
        }
        let input = match role {
            VmRole::Entry => Input::Entry(EntryInput::Shutdown),
            VmRole::Sidecar => Input::Sidecar(SidecarInput::Shutdown),
        };
        self.deliver_input(vm, start_count, input);
        self.update_vm_list(vm);
    }

    pub(crate) fn end_fault(&mut self, fault: &Fault) {
        match fault {
            Fault::Pause { vm, .. } => self.resume_process(vm),
            Fault::Cut { from, to, both, .. } => {
                self.remove_cut(from, to);
                if *both {
                    self.remove_cut(to, from);
                }
            }
            Fault::LinkReset { from, to } if self.is_cut(from, to) => self.close_link(from, to),
            _ => {}
        }
    }

    pub(crate) fn remove_cut(&mut self, from: &VmId, to: &VmId) {
        let direction = (from.clone(), to.clone());
        self.cuts.remove(&direction);
        for (generation, message) in self.stalled.remove(&direction).unwrap_or_default() {
            self.on_deliver(from, to, generation, message);
        }
    }

    pub(crate) fn resume_process(&mut self, vm: &VmId) {
        let Some(node) = self.nodes.get_mut(vm) else {
            return;
        };
        if !std::mem::take(&mut node.is_paused) {
            return;
        }
        let start_count = node.start_count;
        let held: Vec<Input> = node.paused_inputs.drain(..).collect();
        self.record_trace(|| format!("{vm} resumes"));
        for input in held {
            self.deliver_input(vm, start_count, input);
        }
    }
}
