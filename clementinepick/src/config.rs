//! The configuration in force at one process: what it replayed, or what a peer that is ahead says.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use crate::config_replay::{ConfigChange, ConfigReplay, Decider, Publication, check_document};
use crate::document::Document;
use crate::ids::{Offset, Revision, ServiceName};
use crate::record::{PublishedDocument, Record, RecordBody};

/// A document in force.
#[derive(Debug, Clone)]
pub struct ActiveDocument {
    /// The document as published.
    pub published: PublishedDocument,
    /// The document as checked.
    pub document: Arc<Document>,
}

/// The revisions of a service that are kept for calls that began under them.
const MAX_KEPT: usize = 16;

/// The configuration in force at one process.
#[derive(Debug, Clone, Default)]
pub struct Config {
    services: BTreeMap<ServiceName, ActiveDocument>,
    /// The last revisions of each service, for calls that began under an earlier one.
    kept: BTreeMap<ServiceName, BTreeMap<Revision, ActiveDocument>>,
    replay: ConfigReplay,
    /// Set in test runs that show what an older revision would do.
    takes_older: bool,
}

impl Config {
    /// A document by its revision, for a call that began under it; `None` when it is not known
    /// here, or no more.
    #[must_use]
    pub fn document_at(
        &self,
        service: &ServiceName,
        revision: Revision,
    ) -> Option<&ActiveDocument> {
        self.kept.get(service)?.get(&revision)
    }

    /// The document in force for a service.
    #[must_use]
    pub fn service(&self, service: &ServiceName) -> Option<&ActiveDocument> {
        self.services.get(service)
    }

    /// All documents in force.
    pub fn services(&self) -> impl Iterator<Item = (&ServiceName, &ActiveDocument)> {
        self.services.iter()
    }

    /// The last publications, oldest first.
    #[must_use]
    pub const fn publications(&self) -> &VecDeque<Publication> {
        &self.replay.state().publications
    }

    /// The process that decides on engine orders for a service, as this process has read the log.
    #[must_use]
    pub fn decider(&self, service: &ServiceName) -> Option<&Decider> {
        self.replay.state().deciders.get(service)
    }

    /// Whether no record of the stream is missing here.
    #[must_use]
    pub const fn is_complete(&self) -> bool {
        self.replay.is_complete()
    }

    /// The revisions in force.
    #[must_use]
    pub fn revisions(&self) -> BTreeMap<ServiceName, Revision> {
        self.services
            .iter()
            .map(|(name, s)| (name.clone(), s.published.revision))
            .collect()
    }

    /// The revisions in force of one service, or of all.
    #[must_use]
    pub fn revisions_for(&self, service: Option<&ServiceName>) -> BTreeMap<ServiceName, Revision> {
        let Some(service) = service else {
            return self.revisions();
        };
        // Sidecars are many and services are too: this is sent to each of them all the time.
        let in_force = self.services.get_key_value(service);
        in_force
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
        // Publications are judged by the replayed state alone. A document that a peer passed on
        // may be ahead of it, and judging by that would refuse what everyone else accepts.
        let documents = &self.replay.state().documents;
        let news: Vec<PublishedDocument> = documents
            .values()
            .filter(|published| self.is_news(published))
            .cloned()
            .collect();
        for published in news {
            // The replay accepted the text, so that it can be read.
            let _ = self.adopt(published);
        }
        changes
    }

    /// Takes note that the records before `earliest` that were not yet replayed are gone.
    pub fn on_gap(&mut self, earliest: Offset) {
        self.replay.on_gap(earliest);
    }

    /// The record that carries the configuration forward, given the next offset to be read.
    #[must_use]
    pub fn snapshot(&self, up_to: Offset) -> RecordBody {
        RecordBody::ConfigSnapshot {
            up_to,
            state: Box::new(self.replay.state().clone()),
        }
    }

    /// Lets older revisions in; for test runs only, see [`crate::safeguards`].
    pub fn accept_older_revisions(&mut self) {
        self.takes_older = true;
    }

    fn is_news(&self, published: &PublishedDocument) -> bool {
        let current = self.services.get(&published.service);
        current.is_none_or(|current| {
            let (known, new) = (current.published.revision, published.revision);
            known < new || (self.takes_older && known != new)
        })
    }

    /// Takes over a document that is in force elsewhere; says whether it was news.
    ///
    /// A lagging peer or an old snapshot may bring an older revision. It is passed over, since a
    /// process that took it would serve by rules that are no longer in force.
    ///
    /// # Errors
    ///
    /// What is wrong with the document.
    pub fn adopt(&mut self, published: PublishedDocument) -> Result<bool, String> {
        let document = check_document(&published.service, &published.text)?;
        let is_news = self.is_news(&published);
        let in_force = ActiveDocument {
            document: Arc::new(document),
            published,
        };
        self.keep(&in_force);
        if is_news {
            let service = in_force.published.service.clone();
            self.services.insert(service, in_force);
        }
        Ok(is_news)
    }

    fn keep(&mut self, in_force: &ActiveDocument) {
        let published = &in_force.published;
        let kept = self.kept.entry(published.service.clone()).or_default();
        kept.insert(published.revision, in_force.clone());
        while kept.len() > MAX_KEPT {
            kept.pop_first();
        }
    }

    /// The documents that a peer with these revisions lacks, of one service or of all.
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
