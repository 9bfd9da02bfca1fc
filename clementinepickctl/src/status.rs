//! Where which revision is in force.

use std::collections::BTreeMap;
use std::fmt::Write;

use clementinepick::ids::{Incarnation, Revision, ServiceName, VmId};
use clementinepick::message::Peer;
use clementinepick::platform::{Vm, VmRole, VmState};
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::exit::{ExitCode, Report};

/// The part of a process's dump that `status` reads.
#[derive(Debug, Clone, Deserialize)]
pub struct ProcessDump {
    peer: Peer,
    #[serde(default)]
    leaving: bool,
    revisions: BTreeMap<ServiceName, Revision>,
    #[serde(default)]
    peers: Vec<PeerDump>,
}

/// What an entry knows of a peer by its last heartbeat.
#[derive(Debug, Clone, Deserialize)]
struct PeerDump {
    #[serde(flatten)]
    peer: Peer,
    #[serde(default)]
    leaving: bool,
    revisions: Option<BTreeMap<ServiceName, Revision>>,
}

/// One process, as far as it is known.
#[derive(Debug, Clone, Serialize)]
struct Process {
    role: VmRole,
    service: Option<ServiceName>,
    /// The life that the rest is about; absent for a process that is only listed.
    incarnation: Option<Incarnation>,
    leaving: bool,
    /// Absent when nobody has heard of it.
    revisions: Option<BTreeMap<ServiceName, Revision>>,
}

/// How far one service's newest revision has come.
#[derive(Debug, Clone, Default, Serialize)]
struct ServiceStatus {
    revision: Revision,
    in_force: usize,
    processes: usize,
    /// The processes that have an older revision or none.
    behind: BTreeMap<VmId, Revision>,
    /// The processes that nobody has heard of.
    unknown: Vec<VmId>,
}

/// All processes that are known.
#[derive(Debug, Default)]
pub struct Status {
    processes: BTreeMap<VmId, Process>,
    unreachable: Vec<String>,
}

impl Status {
    /// Takes in what a process says.
    pub fn add_dump(&mut self, dump: ProcessDump) {
        for known in dump.peers {
            self.add(known.peer, known.leaving, known.revisions);
        }
        self.add(dump.peer, dump.leaving, Some(dump.revisions));
    }

    /// Takes note of a process that did not answer.
    pub fn add_unreachable(&mut self, address: String) {
        self.unreachable.push(address);
    }

    /// Takes in the list of VMs.
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
        let heard = Process {
            role: peer.role,
            service: peer.service,
            incarnation: Some(peer.incarnation),
            leaving,
            revisions,
        };
        let Some(known) = self.processes.get_mut(&peer.vm) else {
            self.processes.insert(peer.vm, heard);
            return;
        };
        if known.incarnation == heard.incarnation {
            // Several tell of the same life of a process, each at its own time. A revision never
            // goes down within one life, so the highest is the latest.
            known.leaving |= heard.leaving;
            for (service, revision) in heard.revisions.unwrap_or_default() {
                let all = known.revisions.get_or_insert_default();
                let newest = all.entry(service).or_default();
                *newest = revision.max(*newest);
            }
        } else if known.incarnation < heard.incarnation {
            *known = heard;
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
        // A sidecar needs its own service's document only.
        let concerned = self
            .processes
            .iter()
            .filter(|(_, p)| p.role == VmRole::Entry || p.service.as_ref() == Some(service));
        for (vm, process) in concerned {
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

    /// How many of how many processes have the newest revision of each service.
    #[must_use]
    pub fn report(&self) -> Report {
        let services = self.services();
        let mut text = String::new();
        for (name, status) in &services {
            print_service(&mut text, name, status);
        }
        for (vm, process) in self.processes.iter().filter(|(_, p)| p.leaving) {
            let _ = writeln!(text, "leaving: {vm} ({})", process.role);
        }
        for address in &self.unreachable {
            let _ = writeln!(text, "no answer: {address}");
        }
        let everywhere = services.values().all(|s| s.in_force == s.processes);
        let exit = if self.processes.is_empty() {
            ExitCode::Unreachable
        } else if services.is_empty() {
            text.push_str("no document is in force\n");
            ExitCode::NotFound
        } else if everywhere && self.unreachable.is_empty() {
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

fn print_service(text: &mut String, name: &ServiceName, status: &ServiceStatus) {
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
