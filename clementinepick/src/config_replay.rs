//! The configuration stream, replayed: the same records give the same state at every process.
//!
//! Operators who race get one winner, and everyone agrees who it is. A process that starts after
//! old records have passed their retention starts from a snapshot that others carried forward.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::document::Document;
use crate::ids::{FencingNumber, Incarnation, Offset, OperationId, Revision, ServiceName, VmId};
use crate::record::{PublishedDocument, Record, RecordBody};

/// How many publications are remembered.
///
/// The bound is part of the replay: processes that remembered more than others would judge a
/// publication that was appended twice differently.
pub const MAX_PUBLICATIONS: usize = 256;

/// What became of a publication.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// It came into force.
    Accepted {
        /// Its revision.
        revision: Revision,
    },
    /// Another publication was first.
    Outrun {
        /// The revision in force.
        revision: Revision,
        /// Who published it.
        author: VmId,
    },
    /// The document is wrong.
    Wrong {
        /// What is wrong.
        detail: String,
    },
}

/// One publication, for `history`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Publication {
    /// Where it stands in the log.
    pub offset: Offset,
    /// The run of `publish`.
    pub operation: OperationId,
    /// Who ran it.
    pub author: VmId,
    /// The service.
    pub service: ServiceName,
    /// What became of it.
    pub verdict: Verdict,
}

/// The one process that decides on engine orders for a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decider {
    /// Its VM.
    pub vm: VmId,
    /// Its life.
    pub incarnation: Incarnation,
    /// The offset of its claim, which its orders carry.
    pub fencing: FencingNumber,
}

/// What the stream's records up to an offset come to.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigState {
    /// The documents in force.
    pub documents: BTreeMap<ServiceName, PublishedDocument>,
    /// The deciders.
    pub deciders: BTreeMap<ServiceName, Decider>,
    /// The last publications, oldest first.
    pub publications: VecDeque<Publication>,
}

/// What a record changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConfigChange {
    /// A publication was judged.
    Published(Publication),
    /// A claim to decide for a service is in force.
    DeciderClaimed {
        /// The service.
        service: ServiceName,
        /// Who decides from here on.
        decider: Decider,
    },
    /// A claim to decide came after another that replaced the same decider.
    DeciderClaimLost {
        /// The service.
        service: ServiceName,
        /// Whose claim was outrun.
        vm: VmId,
    },
    /// A snapshot of the records before this offset stands in the log.
    Snapshot {
        /// The snapshot's bound.
        up_to: Offset,
    },
}

/// The records after a gap, until a snapshot closes it.
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
    /// What the records replayed so far come to.
    #[must_use]
    pub const fn state(&self) -> &ConfigState {
        &self.state
    }

    /// Whether no record is missing.
    #[must_use]
    pub const fn is_complete(&self) -> bool {
        self.gap.is_none()
    }

    /// Takes note that all records before `earliest` that were not yet replayed are gone.
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
            // A snapshot helps only if every record after it can still be read. From an older one
            // this process would serve documents that were replaced in the records it never saw.
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
    /// The publication of a run of `publish`, while it is remembered.
    #[must_use]
    pub fn publication(&self, operation: OperationId) -> Option<&Publication> {
        self.publications.iter().find(|p| p.operation == operation)
    }

    /// The revision in force for a service; zero for a service without a document.
    #[must_use]
    pub fn revision(&self, service: &ServiceName) -> Revision {
        self.documents
            .get(service)
            .map_or(Revision(0), |document| document.revision)
    }

    fn apply(&mut self, offset: Offset, record: &Record) -> Option<ConfigChange> {
        match &record.body {
            RecordBody::Publish { operation, .. } => {
                // `publish --resume` appends the same operation again when the first append may
                // have been lost. When both took effect, the first one has been answered already.
                if self.publication(*operation).is_some() {
                    return None;
                }
                self.publish(offset, record).map(ConfigChange::Published)
            }
            RecordBody::DeciderClaim { service, over } => {
                Some(self.claim(offset, record, service, *over))
            }
            RecordBody::ConfigSnapshot { up_to, .. } => {
                Some(ConfigChange::Snapshot { up_to: *up_to })
            }
            RecordBody::Claim { .. } | RecordBody::Owned { .. } => None,
        }
    }

    fn publish(&mut self, offset: Offset, record: &Record) -> Option<Publication> {
        let RecordBody::Publish {
            operation,
            service,
            base,
            document,
        } = &record.body
        else {
            return None;
        };
        let verdict = self.judge(record, *operation, service, *base, document);
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

    fn judge(
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
        if let Err(detail) = check_document(service, text) {
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

    fn claim(
        &mut self,
        offset: Offset,
        record: &Record,
        service: &ServiceName,
        over: Option<FencingNumber>,
    ) -> ConfigChange {
        let service = service.clone();
        // Two entries may see the same decider gone and claim at once. Each names the claim it
        // replaces, so that only the first in the log matches and only one gives orders.
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

/// Reads a document and checks that it is the one of `service`.
pub(crate) fn check_document(service: &ServiceName, text: &str) -> Result<Document, String> {
    let document = Document::parse(text).map_err(|err| err.to_string())?;
    if document.service == *service {
        Ok(document)
    } else {
        Err(format!("[service] name: must be `{service}`"))
    }
}
