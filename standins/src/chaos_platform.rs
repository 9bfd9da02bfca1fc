//! The log, the operators and the VM list of a chaos run.

use clementinepick::entry::EntryInput;
use clementinepick::ids::{Incarnation, Offset, OperationId, RecordId, Revision, VmId};
use clementinepick::journal::{AppendOutcome, JournalAction};
use clementinepick::platform::{ReadResponse, StreamName, Vm, VmRole, VmState};
use clementinepick::record::{Record, RecordBody};
use rand::RngExt;

use crate::chaos_callers::{ENGINE_SERVICE, PLAIN_SERVICE, service_name};
use crate::chaos_world::{Core, Due, Input, READ_MAX, VM_LIST_US, World, document, outcome_of};

impl World {
    pub(crate) fn do_log(&mut self, vm: &VmId, life: u64, action: JournalAction) {
        let delay = self.log_delay();
        let due = match action {
            JournalAction::Append {
                stream,
                batch,
                records,
            } => Due::LogAppend {
                vm: vm.clone(),
                life,
                stream,
                batch,
                records,
            },
            JournalAction::Read { stream, from } => Due::LogRead {
                vm: vm.clone(),
                life,
                stream,
                from,
            },
        };
        self.schedule_after(delay, due);
    }

    pub(crate) fn on_log_read(&mut self, vm: VmId, life: u64, stream: StreamName, from: Offset) {
        let answer: Option<ReadResponse> = self.log.read(self.now, stream, from, READ_MAX).ok();
        let delay = self.log_delay();
        let input = Box::new(EntryInput::LogRead { stream, answer });
        self.schedule_after(delay, Due::LogAnswer { vm, life, input });
    }

    pub(crate) fn on_log_append(
        &mut self,
        vm: VmId,
        life: u64,
        stream: StreamName,
        batch: u64,
        records: &[Record],
    ) {
        let texts = records
            .iter()
            .map(|r| serde_json::to_string(r).expect("serializable"));
        let outcome = outcome_of(&self.log.append(self.now, stream, texts.collect()));
        self.counts.add("appends");
        if outcome == AppendOutcome::Unknown {
            self.counts.add("append answers lost");
        }
        let delay = self.log_delay();
        let input = Box::new(EntryInput::LogAppended {
            stream,
            batch,
            outcome,
        });
        self.schedule_after(delay, Due::LogAnswer { vm, life, input });
    }

    pub(crate) fn on_publish(&mut self) {
        self.published += 1;
        let author: VmId = format!("operator-{}", self.published % 3)
            .parse()
            .expect("a name");
        for service in [ENGINE_SERVICE, PLAIN_SERVICE] {
            let base = self.latest_revision(service);
            let record = Record {
                id: RecordId(u128::from(self.rng.random_range(1..u64::MAX))),
                writer: author.clone(),
                incarnation: Incarnation(1),
                body: RecordBody::Publish {
                    operation: OperationId(u128::from(self.rng.random_range(1..u64::MAX))),
                    service: service_name(service),
                    base,
                    document: document(service, self.published),
                },
            };
            let text = serde_json::to_string(&record).expect("serializable");
            let outcome = outcome_of(&self.log.append(self.now, StreamName::Config, vec![text]));
            self.note(|| format!("{author} publishes {service} over {base}: {outcome:?}"));
        }
    }

    /// The highest revision that any process serves by.
    pub(crate) fn latest_revision(&self, service: &str) -> Revision {
        let service = service_name(service);
        let revisions = self
            .nodes
            .values()
            .filter_map(|node| match node.core.as_ref()? {
                Core::Entry(entry) => entry.revisions().get(&service).copied(),
                Core::Sidecar(_) => None,
            });
        revisions.max().unwrap_or_default()
    }

    /// Enters a VM's present state into the list, which tells it with the next look.
    pub(crate) fn list_vms(&mut self, vm: &VmId) {
        let Some(node) = self.nodes.get(vm) else {
            return;
        };
        let entry = Vm {
            id: vm.clone(),
            role: node.role,
            service: node.service.map(service_name),
            zone: node.zone.clone(),
            link_address: format!("{vm}:0"),
            state: if node.leaving {
                VmState::Leaving
            } else {
                VmState::Live
            },
        };
        self.listed.retain(|listed| listed.id != *vm);
        self.listed.push(entry);
    }

    pub(crate) fn on_vm_list(&mut self) {
        self.schedule_after(VM_LIST_US, Due::VmList);
        let mut list = self.listed.clone();
        list.sort_by(|a, b| a.id.cmp(&b.id));
        for vm in self.nodes.keys().cloned().collect::<Vec<_>>() {
            let node = &self.nodes[&vm];
            if node.role == VmRole::Entry {
                let life = node.life;
                self.give(&vm, life, Input::Entry(EntryInput::Vms(list.clone())));
            }
        }
    }
}
