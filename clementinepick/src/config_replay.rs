//! Replays the configuration stream into the active documents and deciders.
//!
//! The replay is deterministic, so all processes agree which of two concurrent publications wins. A
//! process that starts after old records were deleted continues from a snapshot in the stream.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::document::Document;
use crate::ids::{FencingNumber, Incarnation, Offset, OperationId, Revision, ServiceName, VmId};
use crate::record::{PublishedDocument, Record, RecordBody};

/// The number of publications kept.
///
/// The limit is part of the replay: with different limits, processes would disagree on a
/// publication that was appended twice.
pub const MAX_PUBLICATIONS: usize = 256;

/// The result of a publication.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The document became active.
    Accepted {
        /// The revision of the document.
        revision: Revision,
    },
    /// Another publication over the same base came first.
    Outrun {
        /// The active revision.
        revision: Revision,
        /// The author of the active revision.
        author: VmId,
    },
    /// The document is invalid.
    Wrong {
        /// The error.
        detail: String,
    },
}

/// A publication in the history.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Publication {
    /// The offset of its record.
    pub offset: Offset,
    /// The run of the `publish` command.
    pub operation: OperationId,
    /// The operator who published it.
    pub author: VmId,
    /// The service.
    pub service: ServiceName,
    /// The result.
    pub verdict: Verdict,
}

/// The process that decides on a service's engine orders.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decider {
    /// The VM of the process.
    pub vm: VmId,
    /// The incarnation of the process.
    pub incarnation: Incarnation,
    /// The offset of its claim, which its orders carry.
    pub fencing: FencingNumber,
}

/// The configuration after replaying the records before an offset.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigState {
    /// The active documents.
    pub documents: BTreeMap<ServiceName, PublishedDocument>,
    /// The current decider of each service.
    pub deciders: BTreeMap<ServiceName, Decider>,
    /// The latest publications, oldest first.
    pub publications: VecDeque<Publication>,
}

/// A change caused by a record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConfigChange {
    /// A publication was accepted or rejected.
    Published(Publication),
    /// A claim to decide for a service took effect.
    DeciderClaimed {
        /// The service.
        service: ServiceName,
        /// The new decider.
        decider: Decider,
    },
    /// A claim to decide lost to an earlier claim over the same decider.
    DeciderClaimLost {
        /// The service.
        service: ServiceName,
        /// The VM whose claim lost.
        vm: VmId,
    },
    /// A snapshot was read from the log.
    Snapshot {
        /// The snapshot covers all records before this offset.
        up_to: Offset,
    },
}

/// The records after a gap, held until a snapshot closes it.
#[derive(Debug, Clone)]
struct Gap {
    /// The first record that can still be read.
    earliest: Offset,
    held: Vec<(Offset, Record)>,
}

/// The replay of the configuration stream.
#[derive(Debug, Clone, Default)]
pub struct ConfigReplay {
    state: ConfigState,
    gap: Option<Gap>,
}

impl ConfigReplay {
    /// Returns the state after the records replayed so far.
    #[must_use]
    pub const fn state(&self) -> &ConfigState {
        &self.state
    }

    /// Returns whether no record is missing.
    #[must_use]
    pub const fn is_complete(&self) -> bool {
        self.gap.is_none()
    }

    /// Records that the log has deleted the records before `earliest` that were not yet replayed.
    pub fn on_gap(&mut self, earliest: Offset) {
        self.gap = Some(Gap {
            earliest,
            held: Vec::new(),
        });
    }

    /// Replays one record.
    pub fn apply(&mut self, offset: Offset, record: &Record) -> Vec<ConfigChange> {
        let Some(gap) = &mut self.gap else {
            return self.state.apply(offset, record).into_iter().collect();
        };
        gap.held.push((offset, record.clone()));
        match &record.body {
            // A snapshot is usable only if every record after it can still be read. From an older
            // one, this process would serve documents that were replaced by the deleted records.
            RecordBody::ConfigSnapshot { up_to, state } if *up_to >= gap.earliest => {
                let held = std::mem::take(&mut gap.held);
                self.gap = None;
                self.state = state.as_ref().clone();
                let after = held.iter().filter(|(offset, _)| offset >= up_to);
                after
                    .filter_map(|(offset, record)| self.state.apply(*offset, record))
                    .collect()
            }
            _ => Vec::new(),
        }
    }
}

impl ConfigState {
    /// Returns the publication of a run of `publish`, if it is still kept.
    #[must_use]
    pub fn publication(&self, operation: OperationId) -> Option<&Publication> {
        self.publications.iter().find(|p| p.operation == operation)
    }

    /// Returns the active revision of a service; zero for a service without a document.
    #[must_use]
    pub fn revision(&self, service: &ServiceName) -> Revision {
        self.documents
            .get(service)
            .map_or(Revision(0), |document| document.revision)
    }

    fn apply(&mut self, offset: Offset, record: &Record) -> Option<ConfigChange> {
        match &record.body {
            RecordBody::Publish { operation, .. } => {
                // `publish --resume` appends the same operation again if the first append may have
                // been lost. If both were appended, only the first counts.
                if self.publication(*operation).is_some() {
                    return None;
                }
                self.apply_publication(offset, record)
                    .map(ConfigChange::Published)
            }
            RecordBody::DeciderClaim { service, over } => {
                Some(self.apply_decider_claim(offset, record, service, *over))
            }
            RecordBody::ConfigSnapshot { up_to, .. } => {
                Some(ConfigChange::Snapshot { up_to: *up_to })
            }
            RecordBody::Claim { .. } | RecordBody::Owned { .. } => None,
        }
    }

    fn apply_publication(&mut self, offset: Offset, record: &Record) -> Option<Publication> {
        let RecordBody::Publish {
            operation,
            service,
            base,
            document,
        } = &record.body
        else {
            return None;
        };
        let verdict = self.evaluate(record, *operation, service, *base, document);
        let publication = Publication {
            offset,
            operation: *operation,
            author: record.writer.clone(),
            service: service.clone(),
            verdict,
        };
        self.publications.push_back(publication.clone());
        if self.publications.len() > MAX_PUBLICATIONS {
            self.publications.pop_front();
        }
        Some(publication)
    }

    fn evaluate(
        &mut self,
        record: &Record,
        operation: OperationId,
        service: &ServiceName,
        base: Revision,
        text: &str,
    ) -> Verdict {
        let current = self.documents.get(service);
        let revision = self.revision(service);
        if let Some(current) = current.filter(|_| revision != base) {
            return Verdict::Outrun {
                revision,
                author: current.author.clone(),
            };
        }
        if revision != base {
            let detail = format!("no revision {base} is in force");
            return Verdict::Wrong { detail };
        }
        if let Err(detail) = parse_document_of(service, text) {
            return Verdict::Wrong { detail };
        }
        let published = PublishedDocument {
            service: service.clone(),
            revision: revision.next(),
            operation,
            author: record.writer.clone(),
            text: text.to_owned(),
        };
        self.documents.insert(service.clone(), published);
        Verdict::Accepted {
            revision: revision.next(),
        }
    }

    fn apply_decider_claim(
        &mut self,
        offset: Offset,
        record: &Record,
        service: &ServiceName,
        over: Option<FencingNumber>,
    ) -> ConfigChange {
        let service = service.clone();
        // Two entries may claim to replace the same lost decider. Each names the claim it replaces,
        // so only the first in the log matches and only one gives orders.
        if self.deciders.get(&service).map(|decider| decider.fencing) != over {
            let vm = record.writer.clone();
            return ConfigChange::DeciderClaimLost { service, vm };
        }
        let decider = Decider {
            vm: record.writer.clone(),
            incarnation: record.incarnation,
            fencing: FencingNumber(offset.0),
        };
        self.deciders.insert(service.clone(), decider.clone());
        ConfigChange::DeciderClaimed { service, decider }
    }
}

/// Parses a document and checks that it is the one of `service`.
pub(crate) fn parse_document_of(service: &ServiceName, text: &str) -> Result<Document, String> {
    let document = Document::parse(text).map_err(|err| err.to_string())?;
    if document.service == *service {
        Ok(document)
    } else {
        Err(format!("[service] name: must be `{service}`"))
    }
}
