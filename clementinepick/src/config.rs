//! Holds the active configuration of a process, from its own replay and from peers that are ahead.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use crate::config_replay::{ConfigChange, ConfigReplay, Decider, Publication, parse_document_of};
use crate::document::Document;
use crate::ids::{Offset, Revision, ServiceName};
use crate::record::{PublishedDocument, Record, RecordBody};

/// An active document.
#[derive(Debug, Clone)]
pub struct ActiveDocument {
    /// The document as published.
    pub published: PublishedDocument,
    /// The document after validation.
    pub document: Arc<Document>,
}

/// The number of revisions of a service that are kept for calls that started under them.
const MAX_KEPT_REVISIONS: usize = 16;

/// The active configuration of one process.
#[derive(Debug, Clone, Default)]
pub struct Config {
    services: BTreeMap<ServiceName, ActiveDocument>,
    /// The latest revisions of each service, for calls that started under an earlier one.
    kept: BTreeMap<ServiceName, BTreeMap<Revision, ActiveDocument>>,
    replay: ConfigReplay,
    /// Set in test runs that disable the safeguard against older revisions.
    accepts_older_revisions: bool,
}

impl Config {
    /// Returns a document by its revision, for a call that started under it; `None` if the revision
    /// is unknown or no longer kept.
    #[must_use]
    pub fn document_at(
        &self,
        service: &ServiceName,
        revision: Revision,
    ) -> Option<&ActiveDocument> {
        self.kept.get(service)?.get(&revision)
    }

    /// Returns the active document of a service.
    #[must_use]
    pub fn service(&self, service: &ServiceName) -> Option<&ActiveDocument> {
        self.services.get(service)
    }

    /// Iterates over all active documents.
    pub fn services(&self) -> impl Iterator<Item = (&ServiceName, &ActiveDocument)> {
        self.services.iter()
    }

    /// Returns the latest publications, oldest first.
    #[must_use]
    pub const fn publications(&self) -> &VecDeque<Publication> {
        &self.replay.state().publications
    }

    /// Returns the process that decides on a service's engine orders, as of the records read here.
    #[must_use]
    pub fn decider(&self, service: &ServiceName) -> Option<&Decider> {
        self.replay.state().deciders.get(service)
    }

    /// Returns whether the replay lacks no record of the stream.
    #[must_use]
    pub const fn is_complete(&self) -> bool {
        self.replay.is_complete()
    }

    /// Returns the active revision of each service.
    #[must_use]
    pub fn revisions(&self) -> BTreeMap<ServiceName, Revision> {
        self.services
            .iter()
            .map(|(name, s)| (name.clone(), s.published.revision))
            .collect()
    }

    /// Returns the active revision of one service, or of each service if `None`.
    #[must_use]
    pub fn revisions_for(&self, service: Option<&ServiceName>) -> BTreeMap<ServiceName, Revision> {
        let Some(service) = service else {
            return self.revisions();
        };
        // Sent to every sidecar with each heartbeat, so it names only the sidecar's service.
        let active = self.services.get_key_value(service);
        active
            .map(|(name, s)| (name.clone(), s.published.revision))
            .into_iter()
            .collect()
    }

    /// Replays a record of the configuration stream.
    pub fn apply(&mut self, offset: Offset, record: &Record) -> Vec<ConfigChange> {
        let changes = self.replay.apply(offset, record);
        if changes.is_empty() {
            return changes;
        }
        // Publications are judged by the replayed state alone. A document received from a peer may
        // be ahead of it, and judging by that would reject what other processes accept.
        let documents = &self.replay.state().documents;
        let updates: Vec<PublishedDocument> = documents
            .values()
            .filter(|published| self.is_newer(published))
            .cloned()
            .collect();
        for published in updates {
            // The replay accepted the text, so it is valid.
            let _ = self.adopt(published);
        }
        changes
    }

    /// Records that the log has deleted the records before `earliest` that were not yet replayed.
    pub fn on_gap(&mut self, earliest: Offset) {
        self.replay.on_gap(earliest);
    }

    /// Returns a snapshot record of the configuration, given the next offset to read.
    #[must_use]
    pub fn snapshot(&self, up_to: Offset) -> RecordBody {
        RecordBody::ConfigSnapshot {
            up_to,
            state: Box::new(self.replay.state().clone()),
        }
    }

    /// Accepts older revisions; for test runs only, see [`crate::safeguards`].
    pub fn accept_older_revisions(&mut self) {
        self.accepts_older_revisions = true;
    }

    fn is_newer(&self, published: &PublishedDocument) -> bool {
        let current = self.services.get(&published.service);
        current.is_none_or(|current| {
            let (known, new) = (current.published.revision, published.revision);
            known < new || (self.accepts_older_revisions && known != new)
        })
    }

    /// Adopts a document that is active at a peer; returns whether it is newer than the one here.
    ///
    /// A lagging peer or an old snapshot may bring an older revision. It is ignored, since it would
    /// replace the rules in effect by outdated ones.
    ///
    /// # Errors
    ///
    /// Returns the reason if the document is invalid.
    pub fn adopt(&mut self, published: PublishedDocument) -> Result<bool, String> {
        let document = parse_document_of(&published.service, &published.text)?;
        let is_newer = self.is_newer(&published);
        let active = ActiveDocument {
            document: Arc::new(document),
            published,
        };
        self.keep_revision(&active);
        if is_newer {
            let service = active.published.service.clone();
            self.services.insert(service, active);
        }
        Ok(is_newer)
    }

    fn keep_revision(&mut self, active: &ActiveDocument) {
        let published = &active.published;
        let kept = self.kept.entry(published.service.clone()).or_default();
        kept.insert(published.revision, active.clone());
        while kept.len() > MAX_KEPT_REVISIONS {
            kept.pop_first();
        }
    }

    /// Returns the documents that are newer than `known`, of one service or of all if `None`.
    #[must_use]
    pub fn missing_documents(
        &self,
        service: Option<&ServiceName>,
        known: &BTreeMap<ServiceName, Revision>,
    ) -> Vec<PublishedDocument> {
        let newer = self.services.iter().filter(|(name, s)| {
            let wanted = service.is_none_or(|service| service == *name);
            let known = known.get(*name);
            wanted && known.is_none_or(|revision| *revision < s.published.revision)
        });
        newer.map(|(_, s)| s.published.clone()).collect()
    }
}
