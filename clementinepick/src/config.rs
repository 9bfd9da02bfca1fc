//! The configuration in force, replayed from the log.
//!
//! Each process replays the same records by the same rules, so that operators who race get one
//! winner, and everyone agrees who it is.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::document::Document;
use crate::ids::{Offset, OperationId, Revision, ServiceName, VmId};
use crate::record::PublishedDocument;

/// A document in force.
#[derive(Debug, Clone)]
pub struct InForce {
    /// The document as published.
    pub published: PublishedDocument,
    /// The document as checked.
    pub document: Arc<Document>,
}

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

/// The configuration in force at one process.
#[derive(Debug, Clone, Default)]
pub struct Config {
    services: BTreeMap<ServiceName, InForce>,
    publications: Vec<Publication>,
}

impl Config {
    /// The document in force for a service.
    #[must_use]
    pub fn service(&self, service: &ServiceName) -> Option<&InForce> {
        self.services.get(service)
    }

    /// All documents in force.
    pub fn services(&self) -> impl Iterator<Item = (&ServiceName, &InForce)> {
        self.services.iter()
    }

    /// The publications replayed so far, oldest first.
    #[must_use]
    pub fn publications(&self) -> &[Publication] {
        &self.publications
    }

    /// The revisions in force.
    #[must_use]
    pub fn revisions(&self) -> BTreeMap<ServiceName, Revision> {
        self.services
            .iter()
            .map(|(name, s)| (name.clone(), s.published.revision))
            .collect()
    }

    /// Replays a publication.
    pub fn publish(
        &mut self,
        offset: Offset,
        author: &VmId,
        operation: OperationId,
        service: &ServiceName,
        base: Revision,
        text: &str,
    ) -> Verdict {
        let verdict = self.judge(author, operation, service, base, text);
        self.publications.push(Publication {
            offset,
            operation,
            author: author.clone(),
            service: service.clone(),
            verdict: verdict.clone(),
        });
        verdict
    }

    fn judge(
        &mut self,
        author: &VmId,
        operation: OperationId,
        service: &ServiceName,
        base: Revision,
        text: &str,
    ) -> Verdict {
        let current = self.services.get(service);
        let revision = current.map_or(Revision(0), |s| s.published.revision);
        if let Some(current) = current.filter(|_| revision != base) {
            return Verdict::Outrun {
                revision,
                author: current.published.author.clone(),
            };
        }
        if revision != base {
            return Verdict::Wrong {
                detail: format!("no revision {base} is in force"),
            };
        }
        let published = PublishedDocument {
            service: service.clone(),
            revision: revision.next(),
            operation,
            author: author.clone(),
            text: text.to_owned(),
        };
        match self.adopt(published) {
            Ok(_) => Verdict::Accepted {
                revision: revision.next(),
            },
            Err(detail) => Verdict::Wrong { detail },
        }
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
        let document = Document::parse(&published.text).map_err(|err| err.to_string())?;
        if document.service != published.service {
            return Err(format!("[service] name: must be `{}`", published.service));
        }
        let current = self.services.get(&published.service);
        if current.is_some_and(|current| current.published.revision >= published.revision) {
            return Ok(false);
        }
        let in_force = InForce {
            document: Arc::new(document),
            published,
        };
        self.services
            .insert(in_force.published.service.clone(), in_force);
        Ok(true)
    }

    /// The documents that a peer with these revisions lacks.
    #[must_use]
    pub fn lacking(&self, known: &BTreeMap<ServiceName, Revision>) -> Vec<PublishedDocument> {
        let newer = self.services.iter().filter(|(name, s)| {
            known
                .get(*name)
                .is_none_or(|revision| *revision < s.published.revision)
        });
        newer.map(|(_, s)| s.published.clone()).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const TEXT: &str = "[service]\nname = s\nkind = engine\n[class c]\nrank = 1\n";

    fn publish(config: &mut Config, offset: u64, author: &str, base: u64, text: &str) -> Verdict {
        let service = "s".parse().expect("a name");
        let author = author.parse().expect("a name");
        let operation = OperationId(u128::from(offset));
        config.publish(
            Offset(offset),
            &author,
            operation,
            &service,
            Revision(base),
            text,
        )
    }

    #[test]
    fn of_two_that_race_the_first_in_the_log_wins() {
        let mut config = Config::default();
        let first = publish(&mut config, 0, "ana", 0, TEXT);
        assert_eq!(
            first,
            Verdict::Accepted {
                revision: Revision(1)
            }
        );
        let second = publish(&mut config, 1, "bo", 0, TEXT);
        let ana = "ana".parse().expect("a name");
        assert_eq!(
            second,
            Verdict::Outrun {
                revision: Revision(1),
                author: ana
            }
        );
    }

    #[test]
    fn a_wrong_document_changes_nothing() {
        let mut config = Config::default();
        publish(&mut config, 0, "ana", 0, TEXT);
        assert!(matches!(
            publish(&mut config, 1, "ana", 1, "x"),
            Verdict::Wrong { .. }
        ));
        assert_eq!(config.revisions().values().next(), Some(&Revision(1)));
    }

    #[test]
    fn an_older_revision_never_comes_back() {
        let mut config = Config::default();
        publish(&mut config, 0, "ana", 0, TEXT);
        let old = config
            .services
            .values()
            .next()
            .expect("one")
            .published
            .clone();
        publish(&mut config, 1, "ana", 1, TEXT);
        assert_eq!(config.adopt(old), Ok(false));
        assert_eq!(config.revisions().values().next(), Some(&Revision(2)));
    }
}
