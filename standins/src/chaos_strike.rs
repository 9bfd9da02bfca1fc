//! The faults of a chaos run at work.

use clementinepick::entry::EntryInput;
use clementinepick::ids::{VmId, ZoneName};
use clementinepick::platform::VmRole;
use clementinepick::sidecar::SidecarInput;
use clementinepick::units::SpanUs;
use rand::RngExt;

use crate::chaos_faults::Fault;
use crate::chaos_world::{CUT_LINK_US, Due, Input, World};
use crate::log_service::AppendFault;

impl World {
    pub(crate) fn on_fault(&mut self, fault: &Fault) {
        self.note(|| format!("fault: {fault:?}"));
        self.counts.add(fault.name());
        match fault {
            Fault::Kill { vm, back_us } => {
                self.kill(vm);
                self.schedule_after(*back_us, Due::Start { vm: vm.clone() });
            }
            Fault::KillVm { vm, back_us } => {
                self.kill(vm);
                if let Some(backend) = self.backends.get_mut(vm) {
                    backend.restart(self.now);
                }
                self.schedule_after(*back_us, Due::Start { vm: vm.clone() });
            }
            Fault::Pause { vm, span_us } => {
                if let Some(node) = self.nodes.get_mut(vm).filter(|node| node.core.is_some()) {
                    node.paused = true;
                }
                self.schedule_after(*span_us, Due::Heal(fault.clone()));
            }
            Fault::LogDown { span_us } => {
                self.log.add_outage(self.now, self.now.after(*span_us));
            }
            Fault::LogLosesAnswers { appends } => self.lose_answers(*appends),
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
                self.schedule_after(*span_us, Due::Heal(fault.clone()));
                if *span_us >= CUT_LINK_US {
                    // Retransmissions give up before the cut heals.
                    self.schedule_after(
                        CUT_LINK_US,
                        Due::Heal(Fault::LinkReset {
                            from: from.clone(),
                            to: to.clone(),
                        }),
                    );
                }
            }
            Fault::LinkReset { from, to } => self.link_down(from, to),
            Fault::ZoneLost { zone, span_us } => self.lose_zone(zone, *span_us),
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

    pub(crate) fn lose_answers(&mut self, appends: u32) {
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

    pub(crate) fn lose_zone(&mut self, zone: &ZoneName, span_us: SpanUs) {
        let lost: Vec<VmId> = self
            .nodes
            .iter()
            .filter(|(_, node)| node.zone == *zone)
            .map(|(vm, _)| vm.clone())
            .collect();
        for vm in lost {
            self.on_fault(&Fault::KillVm {
                vm,
                back_us: span_us,
            });
        }
    }

    pub(crate) fn shut_down(&mut self, vm: &VmId) {
        let Some(node) = self.nodes.get_mut(vm) else {
            return;
        };
        if node.core.is_none() || node.paused {
            return;
        }
        node.leaving = true;
        let (life, role) = (node.life, node.role);
        if role == VmRole::Sidecar {
            self.checks.on_leaving(self.now, vm);
        }
        let input = match role {
            VmRole::Entry => Input::Entry(EntryInput::Shutdown),
            VmRole::Sidecar => Input::Sidecar(SidecarInput::Shutdown),
        };
        self.give(vm, life, input);
        self.list_vms(vm);
    }

    pub(crate) fn on_heal(&mut self, fault: &Fault) {
        match fault {
            Fault::Pause { vm, .. } => self.resume(vm),
            Fault::Cut { from, to, both, .. } => {
                self.heal_cut(from, to);
                if *both {
                    self.heal_cut(to, from);
                }
            }
            Fault::LinkReset { from, to } if self.is_cut(from, to) => self.link_down(from, to),
            _ => {}
        }
    }

    pub(crate) fn heal_cut(&mut self, from: &VmId, to: &VmId) {
        let direction = (from.clone(), to.clone());
        self.cuts.remove(&direction);
        for (generation, message) in self.stalled.remove(&direction).unwrap_or_default() {
            self.on_deliver(from, to, generation, message);
        }
    }

    pub(crate) fn resume(&mut self, vm: &VmId) {
        let Some(node) = self.nodes.get_mut(vm) else {
            return;
        };
        if !std::mem::take(&mut node.paused) {
            return;
        }
        let life = node.life;
        let held: Vec<Input> = node.held.drain(..).collect();
        self.note(|| format!("{vm} goes on"));
        for input in held {
            self.give(vm, life, input);
        }
    }
}
