//! The platform's list of VMs, which shows changes only after a while.

use std::collections::BTreeMap;

use clementinepick::ids::VmId;
use clementinepick::platform::{Vm, VmState};
use clementinepick::units::{SpanUs, TimeUs};

/// The list.
#[derive(Debug, Clone, Default)]
pub struct VmList {
    lag: SpanUs,
    /// What each VM became and when; `None` when it was gone.
    changes: Vec<(TimeUs, VmId, Option<Vm>)>,
    /// What is shown already.
    shown: BTreeMap<VmId, Vm>,
}

impl VmList {
    /// An empty list that shows changes after `lag`.
    #[must_use]
    pub fn new(lag: SpanUs) -> Self {
        Self {
            lag,
            ..Self::default()
        }
    }

    /// Adds a VM or changes it.
    pub fn set(&mut self, now: TimeUs, vm: Vm) {
        self.changes.push((now, vm.id.clone(), Some(vm)));
    }

    /// Marks a VM as leaving.
    pub fn set_leaving(&mut self, now: TimeUs, id: &VmId) {
        let latest = self.changes.iter().rev().find(|(_, of, _)| of == id);
        let vm = match latest {
            Some((_, _, vm)) => vm.clone(),
            None => self.shown.get(id).cloned(),
        };
        if let Some(vm) = vm {
            self.set(
                now,
                Vm {
                    state: VmState::Leaving,
                    ..vm
                },
            );
        }
    }

    /// Takes a VM off.
    pub fn remove(&mut self, now: TimeUs, id: VmId) {
        self.changes.push((now, id, None));
    }

    /// The list as it is shown now.
    pub fn list(&mut self, now: TimeUs) -> Vec<Vm> {
        let lag = self.lag;
        let old = self
            .changes
            .partition_point(|(at, _, _)| at.after(lag) <= now);
        for (_, id, vm) in self.changes.drain(..old) {
            match vm {
                Some(vm) => self.shown.insert(id, vm),
                None => self.shown.remove(&id),
            };
        }
        self.shown.values().cloned().collect()
    }
}
