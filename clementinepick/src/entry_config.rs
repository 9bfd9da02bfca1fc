//! Replays the configuration stream at an entry, sends documents to peers and writes snapshots.

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

/// The number of entries that send a new document to a sidecar at once.
const DOCUMENT_SENDERS: usize = 2;
/// The delay between one entry and the next in writing a snapshot that is due.
const SNAPSHOT_STAGGER: SpanUs = SpanUs::from_s(5);

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

    /// Reports once that records are missing and no snapshot covers them.
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
        let Some(active) = self.config.service(service) else {
            return;
        };
        // Sidecars get the document at once rather than after the next heartbeats. Two entries send
        // it to each sidecar, so that the loss of one causes no delay and a publication does not
        // cost entries times sidecars messages.
        let sidecars = self.peers.iter().filter(|(vm, peer)| {
            peer.peer.service.as_ref() == Some(service) && self.sends_documents_first(vm)
        });
        let mut notified = Vec::new();
        for (vm, _) in sidecars {
            notified.push(vm.clone());
            let message = Message::Documents(vec![active.published.clone()]);
            let to = vm.clone();
            out.push(EntryAction::Send { to, message });
        }
        let key = (service.clone(), active.published.revision);
        for vm in notified {
            if let Some(peer) = self.peers.get_mut(&vm) {
                peer.record_sent_document(key.clone());
            }
        }
    }

    /// Returns whether this entry is one of those that send new documents to `sidecar` at once.
    fn sends_documents_first(&self, sidecar: &VmId) -> bool {
        let weight = |entry: &VmId| {
            (
                xxh3_64(format!("{entry} {sidecar}").as_bytes()),
                entry.clone(),
            )
        };
        let own = weight(&self.settings.vm);
        let entries = self.peers.values().filter(|p| p.peer.role == VmRole::Entry);
        let ahead = entries.filter(|p| weight(&p.peer.vm) > own);
        ahead.count() < DOCUMENT_SENDERS
    }

    /// Sends a sidecar or an owner the document of a call, unless it has the document.
    ///
    /// The call follows on the same link. Without this, a call right after a publication would be
    /// refused where the document has not arrived yet.
    pub(crate) fn send_document(&mut self, to: &VmId, call: RequestId, out: &mut Vec<EntryAction>) {
        let (Some(peer), Some(call)) = (self.peers.get_mut(to), self.calls.get(&call)) else {
            return;
        };
        let published = &call.active_document.published;
        let key = (published.service.clone(), published.revision);
        if !peer.has_document(&key) {
            let message = Message::Documents(vec![published.clone()]);
            let to = to.clone();
            out.push(EntryAction::Send { to, message });
            peer.record_sent_document(key);
        }
    }

    /// Adopts the active documents of another entry.
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

    /// Writes a snapshot of the configuration if one is due and no other entry has written it.
    ///
    /// Without snapshots the last publication of a rarely changed service would expire from the
    /// log, and the next entry to start would not know the service.
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

    /// Returns when this entry should write the next snapshot.
    ///
    /// The age of a snapshot from before the start is unknown, so a snapshot counts as due then.
    fn next_snapshot_us(&self, now: TimeUs) -> TimeUs {
        let own = Reverse(&self.settings.vm);
        let entries = self.peers.values().filter(|p| p.peer.role == VmRole::Entry);
        let ahead = entries.filter(|p| Reverse(&p.peer.vm) > own).count();
        let delay = SpanUs(SNAPSHOT_STAGGER.0 * (1 + ahead as u64));
        match self.config_snapshot_us {
            Some(last_us) => last_us.after(self.settings.snapshot_us).after(delay),
            None => self.started_us.unwrap_or(now).after(delay),
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
