//! The whole state of an entry, for operators.

use std::collections::BTreeMap;

use serde_json::{Value, json};

use crate::entry::Entry;
use crate::ids::PartitionId;
use crate::platform::VmRole;
use crate::units::TimeUs;

impl Entry {
    /// The peers, with what their last heartbeat said.
    fn dump_peers(&self, now: TimeUs) -> Vec<Value> {
        let peers = self.peers.iter().map(|(vm, state)| {
            let peer = &state.peer;
            json!({
                "vm": vm, "incarnation": peer.incarnation, "role": peer.role, "zone": peer.zone,
                "service": peer.service, "revisions": state.revisions, "leaving": state.leaving,
                "standing": self.membership.status(vm),
                "silence_ms": self.membership.silence(now, vm).as_ms(),
            })
        });
        peers.collect()
    }

    /// The sizes of the state, by name, for gauges.
    #[must_use]
    pub fn counts(&self) -> BTreeMap<&'static str, usize> {
        BTreeMap::from([
            ("owned_partitions", self.owned_partitions().len()),
            ("peers", self.peers.len()),
            ("calls", self.calls.len()),
            ("programs", self.programs.len()),
            ("releasing_programs", self.releasing.len()),
            ("open_calls", self.open_calls.len()),
            ("unconfirmed_records", self.journal.unconfirmed()),
        ])
    }

    /// The whole state, for operators.
    #[must_use]
    pub fn dump(&self, now: TimeUs) -> Value {
        let owned: Vec<PartitionId> = self
            .partitions
            .iter()
            .map(|(partition, _)| partition)
            .filter(|partition| self.own_epoch(*partition).is_some())
            .collect();
        let calls: Vec<Value> = self
            .calls
            .iter()
            .map(|(id, call)| {
                json!({
                    "request": id, "program": call.request.program, "seq": call.seq,
                    "class": call.class, "step": format!("{:?}", call.step),
                    "deadline_left_ms": call.deadline_us.since(now).as_ms(),
                })
            })
            .collect();
        let releasing: BTreeMap<_, _> = self
            .releasing
            .iter()
            .map(|(program, releasing)| (program, &releasing.holders))
            .collect();
        let open_calls: BTreeMap<String, _> = self
            .open_calls
            .iter()
            .map(|(call, open)| (call.to_string(), &open.target))
            .collect();
        json!({
            "peer": self.peer(),
            "leaving": self.leaving,
            "caught_up": self.is_caught_up(),
            "log_down": self.journal.is_down() || self.config_journal.is_down(),
            "config_offset": self.config_journal.position(),
            "journal_offset": self.journal.position(),
            "unconfirmed_records": self.journal.unconfirmed(),
            "revisions": self.config.revisions(),
            "publications": self.config.publications(),
            "peers": self.dump_peers(now),
            "serving_zones": self.membership.serving_peers_by_zone(VmRole::Sidecar),
            "placements": self.dump_placements(),
            "owned_partitions": owned,
            "calls": calls,
            "programs": self.programs.keys().collect::<Vec<_>>(),
            "releasing": releasing,
            "open_calls": open_calls,
            "yielding": self.yielding,
            "unsure": self.is_ownership_unconfirmed,
        })
    }
}
