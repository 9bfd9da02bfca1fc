//! The configuration at an entry: replayed, passed to sidecars, and carried forward.

use std::cmp::Reverse;

use xxhash_rust::xxh3::xxh3_64;

use crate::config_replay::{ConfigChange, Publication, Verdict};
use crate::entry::{Entry, EntryAction};
use crate::event::{Event, EventKind};
use crate::ids::{Offset, RecordId, RequestId, VmId};
use crate::message::Message;
use crate::platform::VmRole;
use crate::record::{PublishedDocument, Record, RecordBody};
use crate::units::{SpanUs, TimeUs};

/// The entries that pass a new document to a sidecar at once.
const FIRST_PASSERS: usize = 2;
/// How much longer each next entry waits until it writes a snapshot in place of the others.
const SNAPSHOT_TURN: SpanUs = SpanUs::from_s(5);

impl Entry {
    pub(crate) fn replay_config(
        &mut self,
        now: TimeUs,
        offset: Offset,
        record: &Record,
        out: &mut Vec<EntryAction>,
    ) {
        for change in self.config.apply(offset, record) {
            match change {
                ConfigChange::Published(publication) => self.on_publication(&publication, out),
                ConfigChange::DeciderClaimed { service, .. } => {
                    self.decider_claims.remove(&service);
                    self.decider_backoffs
                        .entry(service)
                        .or_default()
                        .on_change(now);
                }
                ConfigChange::DeciderClaimLost { service, .. } => {
                    self.decider_claims.remove(&service);
                }
                ConfigChange::Snapshot { .. } => self.config_snapshot_us = Some(now),
            }
        }
        if matches!(record.body, RecordBody::ConfigSnapshot { .. })
            && record.writer == self.settings.vm
        {
            let event = Event::new(EventKind::SnapshotWritten).with("stream", "config");
            out.push(EntryAction::Event(event.with("offset", offset)));
        }
    }

    /// Says once that records are missing and no snapshot covers them.
    pub(crate) fn report_config_gap(&mut self, out: &mut Vec<EntryAction>) {
        let is_gap = self.config_journal.is_at_end() && !self.config.is_complete();
        if !std::mem::replace(&mut self.has_config_gap, is_gap) && is_gap {
            let event = Event::new(EventKind::RetentionPassed).with("stream", "config");
            out.push(EntryAction::Event(event));
        }
    }

    fn on_publication(&mut self, publication: &Publication, out: &mut Vec<EntryAction>) {
        let service = &publication.service;
        let event = match &publication.verdict {
            Verdict::Accepted { revision } => {
                Event::new(EventKind::DocumentInForce).with("revision", revision)
            }
            verdict @ (Verdict::Outrun { .. } | Verdict::Wrong { .. }) => {
                Event::new(EventKind::DocumentRejected).with("verdict", format!("{verdict:?}"))
            }
        };
        let event = event.with("operation", publication.operation);
        out.push(EntryAction::Event(event.with("service", service)));
        let Some(in_force) = self.config.service(service) else {
            return;
        };
        // Sidecars learn at once rather than with the next heartbeats: by two entries each, so that
        // the loss of one delays nobody and a change does not cost entries times sidecars.
        let sidecars = self.peers.iter().filter(|(vm, peer)| {
            peer.peer.service.as_ref() == Some(service) && self.passes_first(vm)
        });
        let mut told = Vec::new();
        for (vm, _) in sidecars {
            told.push(vm.clone());
            let message = Message::Documents(vec![in_force.published.clone()]);
            let to = vm.clone();
            out.push(EntryAction::Send { to, message });
        }
        let key = (service.clone(), in_force.published.revision);
        for vm in told {
            if let Some(peer) = self.peers.get_mut(&vm) {
                peer.record_sent_document(key.clone());
            }
        }
    }

    /// Whether this entry is among those that pass documents to a sidecar at once.
    fn passes_first(&self, sidecar: &VmId) -> bool {
        let weight = |entry: &VmId| {
            (
                xxh3_64(format!("{entry} {sidecar}").as_bytes()),
                entry.clone(),
            )
        };
        let own = weight(&self.settings.vm);
        let entries = self.peers.values().filter(|p| p.peer.role == VmRole::Entry);
        let ahead = entries.filter(|p| weight(&p.peer.vm) > own);
        ahead.count() < FIRST_PASSERS
    }

    /// Sends a sidecar or an owner the document that a call runs by, unless it has it.
    ///
    /// The call goes over the same link behind it. Without this, a call that comes in right after a
    /// publication would be refused where the document has not come yet.
    pub(crate) fn send_document(&mut self, to: &VmId, call: RequestId, out: &mut Vec<EntryAction>) {
        let (Some(peer), Some(call)) = (self.peers.get_mut(to), self.calls.get(&call)) else {
            return;
        };
        let published = &call.in_force.published;
        let key = (published.service.clone(), published.revision);
        if !peer.has_document(&key) {
            let message = Message::Documents(vec![published.clone()]);
            let to = to.clone();
            out.push(EntryAction::Send { to, message });
            peer.record_sent_document(key);
        }
    }

    /// Takes documents that another entry has in force.
    pub(crate) fn on_documents(
        &mut self,
        documents: Vec<PublishedDocument>,
        out: &mut Vec<EntryAction>,
    ) {
        for published in documents {
            let (service, revision) = (published.service.clone(), published.revision);
            if self.config.adopt(published) == Ok(true) {
                let event = Event::new(EventKind::DocumentInForce).with("service", service);
                out.push(EntryAction::Event(event.with("revision", revision)));
            }
        }
    }

    /// Writes a snapshot of the configuration, when nobody else has for long enough.
    ///
    /// Without it the last publication of a service that seldom changes would pass its retention,
    /// and the next entry to start would not know the service.
    pub(crate) fn write_due_config_snapshot(&mut self, now: TimeUs) {
        let journal = &self.config_journal;
        let can_write = self.is_caught_up()
            && !self.leaving
            && !journal.is_down()
            && journal.is_at_end()
            && journal.unconfirmed() == 0;
        if !can_write || now < self.next_snapshot_us(now) {
            return;
        }
        if self.config.services().next().is_some() {
            let body = self.config.snapshot(self.config_journal.position());
            self.write_config(body);
        }
        self.config_snapshot_us = Some(now);
    }

    /// When this entry's turn comes. The age of a snapshot that was there at the start is not
    /// known, so that it counts as due.
    fn next_snapshot_us(&self, now: TimeUs) -> TimeUs {
        let own = Reverse(&self.settings.vm);
        let entries = self.peers.values().filter(|p| p.peer.role == VmRole::Entry);
        let ahead = entries.filter(|p| Reverse(&p.peer.vm) > own).count();
        let turn = SpanUs(SNAPSHOT_TURN.0 * (1 + ahead as u64));
        match self.config_snapshot_us {
            Some(last_us) => last_us.after(self.settings.snapshot_us).after(turn),
            None => self.started_us.unwrap_or(now).after(turn),
        }
    }

    /// Appends a record to the configuration stream.
    pub(crate) fn write_config(&mut self, body: RecordBody) -> RecordId {
        let id = RecordId::draw(&mut self.rng);
        let (writer, incarnation) = (self.settings.vm.clone(), self.settings.incarnation);
        self.config_journal.push(Record {
            id,
            writer,
            incarnation,
            body,
        });
        id
    }
}
