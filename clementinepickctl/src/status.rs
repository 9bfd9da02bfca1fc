//! Computes on which processes the newest revision of each service is active.

use std::collections::BTreeMap;
use std::fmt::Write;

use clementinepick::ids::{Incarnation, Revision, ServiceName, VmId};
use clementinepick::message::Peer;
use clementinepick::platform::{Vm, VmRole, VmState};
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::exit::{ExitCode, Report};

/// The part of a process's state dump that `status` reads.
#[derive(Debug, Clone, Deserialize)]
pub struct ProcessDump {
    peer: Peer,
    #[serde(default)]
    leaving: bool,
    revisions: BTreeMap<ServiceName, Revision>,
    #[serde(default)]
    peers: Vec<PeerDump>,
}

/// A peer as an entry knows it from the last heartbeat.
#[derive(Debug, Clone, Deserialize)]
struct PeerDump {
    #[serde(flatten)]
    peer: Peer,
    #[serde(default)]
    leaving: bool,
    revisions: Option<BTreeMap<ServiceName, Revision>>,
}

/// The known state of a process.
#[derive(Debug, Clone, Serialize)]
struct Process {
    role: VmRole,
    service: Option<ServiceName>,
    /// The incarnation that the state belongs to; `None` if the process is only in the VM list.
    incarnation: Option<Incarnation>,
    leaving: bool,
    /// The active revisions; `None` if no entry has heard from the process.
    revisions: Option<BTreeMap<ServiceName, Revision>>,
}

/// The rollout of the newest revision of one service.
#[derive(Debug, Clone, Default, Serialize)]
struct ServiceStatus {
    revision: Revision,
    in_force: usize,
    processes: usize,
    /// The processes that have an older revision, or none (revision 0).
    behind: BTreeMap<VmId, Revision>,
    /// The processes that no entry has heard from.
    unknown: Vec<VmId>,
}

/// Merges state dumps and the VM list into the state of all known processes.
#[derive(Debug, Default)]
pub struct Status {
    processes: BTreeMap<VmId, Process>,
    unreachable: Vec<String>,
}

impl Status {
    /// Adds the dump of a process, with its peers.
    pub fn add_dump(&mut self, dump: ProcessDump) {
        for known in dump.peers {
            self.add(known.peer, known.leaving, known.revisions);
        }
        self.add(dump.peer, dump.leaving, Some(dump.revisions));
    }

    /// Records an address that did not respond.
    pub fn add_unreachable(&mut self, address: String) {
        self.unreachable.push(address);
    }

    /// Adds the list of VMs.
    pub fn add_vms(&mut self, vms: Vec<Vm>) {
        for vm in vms {
            let listed = Process {
                role: vm.role,
                service: vm.service,
                incarnation: None,
                leaving: vm.state == VmState::Leaving,
                revisions: None,
            };
            let process = self.processes.entry(vm.id).or_insert(listed);
            process.leaving |= vm.state == VmState::Leaving;
        }
    }

    fn add(
        &mut self,
        peer: Peer,
        leaving: bool,
        revisions: Option<BTreeMap<ServiceName, Revision>>,
    ) {
        let reported = Process {
            role: peer.role,
            service: peer.service,
            incarnation: Some(peer.incarnation),
            leaving,
            revisions,
        };
        let Some(known) = self.processes.get_mut(&peer.vm) else {
            self.processes.insert(peer.vm, reported);
            return;
        };
        if known.incarnation == reported.incarnation {
            // Several dumps may describe the same incarnation at different times. Revisions never
            // decrease within an incarnation, so the highest one is the latest.
            known.leaving |= reported.leaving;
            for (service, revision) in reported.revisions.unwrap_or_default() {
                let all = known.revisions.get_or_insert_default();
                let newest = all.entry(service).or_default();
                *newest = revision.max(*newest);
            }
        } else if known.incarnation < reported.incarnation {
            *known = reported;
        }
    }

    fn services(&self) -> BTreeMap<ServiceName, ServiceStatus> {
        let mut newest: BTreeMap<ServiceName, Revision> = BTreeMap::new();
        let all = self.processes.values().filter_map(|p| p.revisions.as_ref());
        for (service, revision) in all.flatten() {
            let known = newest.entry(service.clone()).or_default();
            *known = (*known).max(*revision);
        }
        newest
            .into_iter()
            .map(|(service, revision)| {
                let status = self.service(&service, revision);
                (service, status)
            })
            .collect()
    }

    fn service(&self, service: &ServiceName, newest: Revision) -> ServiceStatus {
        let mut status = ServiceStatus {
            revision: newest,
            ..ServiceStatus::default()
        };
        // A sidecar needs only the document of its own service.
        let relevant = self
            .processes
            .iter()
            .filter(|(_, p)| p.role == VmRole::Entry || p.service.as_ref() == Some(service));
        for (vm, process) in relevant {
            status.processes += 1;
            let Some(revisions) = &process.revisions else {
                status.unknown.push(vm.clone());
                continue;
            };
            let revision = revisions.get(service).copied().unwrap_or_default();
            if revision == newest {
                status.in_force += 1;
            } else {
                status.behind.insert(vm.clone(), revision);
            }
        }
        status
    }

    /// Reports, for each service, how many of its processes have the newest revision.
    #[must_use]
    pub fn report(&self) -> Report {
        let services = self.services();
        let mut text = String::new();
        for (name, status) in &services {
            write_service(&mut text, name, status);
        }
        for (vm, process) in self.processes.iter().filter(|(_, p)| p.leaving) {
            let _ = writeln!(text, "leaving: {vm} ({})", process.role);
        }
        for address in &self.unreachable {
            let _ = writeln!(text, "no response: {address}");
        }
        let is_up_to_date = services.values().all(|s| s.in_force == s.processes);
        let exit = if self.processes.is_empty() {
            ExitCode::Unreachable
        } else if services.is_empty() {
            text.push_str("no document is active\n");
            ExitCode::NotFound
        } else if is_up_to_date && self.unreachable.is_empty() {
            ExitCode::Success
        } else {
            ExitCode::Mismatch
        };
        Report {
            text: text.trim_end().to_owned(),
            json: json!({
                "services": services,
                "processes": self.processes,
                "unreachable": self.unreachable,
            }),
            exit,
        }
    }
}

fn write_service(text: &mut String, name: &ServiceName, status: &ServiceStatus) {
    let ServiceStatus {
        revision,
        in_force,
        processes,
        behind,
        unknown,
    } = status;
    let _ = writeln!(
        text,
        "{name}: revision {revision} is in force on {in_force} of {processes}"
    );
    for (vm, known) in behind {
        let _ = writeln!(text, "  {vm} has revision {known}");
    }
    for vm in unknown {
        let _ = writeln!(text, "  {vm} is listed, and nobody has heard of it");
    }
}
