//! Simulates the log, the operators and the VM list of a chaos run.

use clementinepick::entry::EntryInput;
use clementinepick::ids::{Incarnation, Offset, OperationId, RecordId, Revision, VmId};
use clementinepick::journal::{AppendOutcome, JournalAction};
use clementinepick::platform::{ReadResponse, StreamName, Vm, VmRole, VmState};
use clementinepick::record::{Record, RecordBody};
use rand::RngExt;

use crate::chaos_callers::{ENGINE_SERVICE, PLAIN_SERVICE, service_name};
use crate::chaos_world::{
    Input, MAX_READ_RECORDS, ProcessLogic, ScheduledEvent, VM_LIST_INTERVAL_US, World,
    append_outcome, service_document,
};

impl World {
    pub(crate) fn run_log_action(&mut self, vm: &VmId, start_count: u64, action: JournalAction) {
        let delay = self.draw_log_delay();
        let event = match action {
            JournalAction::Append {
                stream,
                batch,
                records,
            } => ScheduledEvent::LogAppend {
                vm: vm.clone(),
                start_count,
                stream,
                batch,
                records,
            },
            JournalAction::Read { stream, from } => ScheduledEvent::LogRead {
                vm: vm.clone(),
                start_count,
                stream,
                from,
            },
        };
        self.schedule_after(delay, event);
    }

    pub(crate) fn on_log_read(
        &mut self,
        vm: VmId,
        start_count: u64,
        stream: StreamName,
        from: Offset,
    ) {
        let answer: Option<ReadResponse> =
            self.log.read(self.now, stream, from, MAX_READ_RECORDS).ok();
        let delay = self.draw_log_delay();
        let input = Box::new(EntryInput::LogRead { stream, answer });
        self.schedule_after(
            delay,
            ScheduledEvent::LogResponse {
                vm,
                start_count,
                input,
            },
        );
    }

    pub(crate) fn on_log_append(
        &mut self,
        vm: VmId,
        start_count: u64,
        stream: StreamName,
        batch: u64,
        records: &[Record],
    ) {
        let texts = records
            .iter()
            .map(|r| serde_json::to_string(r).expect("a serializable record"));
        let outcome = append_outcome(&self.log.append(self.now, stream, texts.collect()));
        self.counts.add("appends");
        if outcome == AppendOutcome::Unknown {
            self.counts.add("append answers lost");
        }
        let delay = self.draw_log_delay();
        let input = Box::new(EntryInput::LogAppended {
            stream,
            batch,
            outcome,
        });
        self.schedule_after(
            delay,
            ScheduledEvent::LogResponse {
                vm,
                start_count,
                input,
            },
        );
    }

    pub(crate) fn on_publish(&mut self) {
        self.publication_count += 1;
        let author: VmId = format!("operator-{}", self.publication_count % 3)
            .parse()
            .expect("a valid name");
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
                    document: service_document(service, self.publication_count),
                },
            };
            let text = serde_json::to_string(&record).expect("a serializable record");
            let outcome =
                append_outcome(&self.log.append(self.now, StreamName::Config, vec![text]));
            self.record_trace(|| {
                format!("{author} publishes {service} based on revision {base}: {outcome:?}")
            });
        }
    }

    /// Returns the highest revision that any entry uses.
    pub(crate) fn latest_revision(&self, service: &str) -> Revision {
        let service = service_name(service);
        let revisions = self
            .nodes
            .values()
            .filter_map(|node| match node.logic.as_ref()? {
                ProcessLogic::Entry(entry) => entry.revisions().get(&service).copied(),
                ProcessLogic::Sidecar(_) => None,
            });
        revisions.max().unwrap_or_default()
    }

    /// Updates a VM in the VM list, which entries get at the next poll.
    pub(crate) fn update_vm_list(&mut self, vm: &VmId) {
        let Some(node) = self.nodes.get(vm) else {
            return;
        };
        let entry = Vm {
            id: vm.clone(),
            role: node.role,
            service: node.service.map(service_name),
            zone: node.zone.clone(),
            link_address: format!("{vm}:0"),
            state: if node.is_leaving {
                VmState::Leaving
            } else {
                VmState::Live
            },
        };
        self.vm_list.retain(|listed| listed.id != *vm);
        self.vm_list.push(entry);
    }

    pub(crate) fn on_vm_list(&mut self) {
        self.schedule_after(VM_LIST_INTERVAL_US, ScheduledEvent::VmList);
        let mut list = self.vm_list.clone();
        list.sort_by(|a, b| a.id.cmp(&b.id));
        for vm in self.nodes.keys().cloned().collect::<Vec<_>>() {
            let node = &self.nodes[&vm];
            if node.role == VmRole::Entry {
                let start_count = node.start_count;
                self.deliver_input(
                    &vm,
                    start_count,
                    Input::Entry(EntryInput::Vms(list.clone())),
                );
            }
        }
    }
}
