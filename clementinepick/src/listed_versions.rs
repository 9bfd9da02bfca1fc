//! Tells whether all servers of a service have had the same software version, from the lists of servers
//! over time and from what earlier processes recorded of them.
//!
//! A stream whose origin nobody recorded can still be resumed then: it can have begun at no other
//! version. How long ago it began is not known, since its caller may have made several attempts. It may
//! have begun just before the question, at a server that had just been listed: only a list and records
//! that were read after the question show that there is no other version.

use std::collections::BTreeMap;

use crate::server_list::{ServerList, SoftwareVersion};
use crate::units::{SpanUs, TimeUs};

/// How long versions are remembered after their last server has left the list: the longest deadline
/// of a caller.
pub const VERSION_MEMORY_US: SpanUs = SpanUs::from_s(600);

/// A version of a service, as an earlier process recorded it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordedVersion {
    /// The service.
    pub service: String,
    /// The version.
    pub version: SoftwareVersion,
    /// The time since it was first listed.
    pub known_for: SpanUs,
    /// The time since it was recorded as unlisted; `None` while it counts as listed.
    pub unlisted_for: Option<SpanUs>,
}

/// As of when the list of servers and the records of versions are known.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct VersionEvidence {
    /// The start of the call that returned the list.
    pub list_as_of: Option<TimeUs>,
    /// The start of the call that returned the records.
    pub records_as_of: Option<TimeUs>,
}

impl VersionEvidence {
    /// Returns the time as of which both are known; `None` before both were read.
    #[must_use]
    pub fn as_of(&self) -> Option<TimeUs> {
        Some(self.list_as_of?.min(self.records_as_of?))
    }
}

/// Asks for the versions of the servers at which a stream can have begun.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VersionQuestion<'a> {
    /// The service of the stream.
    pub service: &'a str,
    /// How long the versions of the service must have been known.
    pub min_known: SpanUs,
    /// When the stream had begun at the latest.
    pub asked_at: TimeUs,
}

/// The software versions at which a stream can have begun.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ServiceVersions {
    /// All servers have had this one.
    Sole(SoftwareVersion),
    /// There have been several.
    Several,
    /// Another one than those that are known can't be excluded.
    Unproven,
}

/// The software versions that each service has lately had.
#[derive(Debug, Default)]
pub struct ListedVersions {
    /// The time of the first list.
    since: Option<TimeUs>,
    /// For how long before it the versions of each service are known.
    known_before: BTreeMap<String, SpanUs>,
    /// Until when each version is remembered.
    remembered_until: BTreeMap<String, BTreeMap<SoftwareVersion, TimeUs>>,
}

impl ListedVersions {
    /// Records the list of servers as of `now`.
    pub fn record(&mut self, now: TimeUs, list: &ServerList) {
        if list.servers.is_empty() {
            return;
        }
        self.since.get_or_insert(now);
        for server in list.servers.values() {
            self.remember(
                &server.service,
                &server.version,
                now.after(VERSION_MEMORY_US),
            );
        }
        self.expire(now);
    }

    /// Records a version whose server was listed until `left_at` at the latest.
    pub fn record_left(&mut self, left_at: TimeUs, service: &str, version: &SoftwareVersion) {
        self.remember(service, version, left_at.after(VERSION_MEMORY_US));
    }

    fn expire(&mut self, now: TimeUs) {
        for versions in self.remembered_until.values_mut() {
            versions.retain(|_, until| now < *until);
        }
        self.remembered_until
            .retain(|_, versions| !versions.is_empty());
    }

    /// Adds a version that an earlier process recorded.
    pub fn load(&mut self, now: TimeUs, recorded: &RecordedVersion) {
        let RecordedVersion {
            service, version, ..
        } = recorded;
        let listed_for = self.since.map_or(0, |since| now.since(since).0);
        let known_before = SpanUs(recorded.known_for.0.saturating_sub(listed_for));
        let known = self.known_before.entry(service.clone()).or_default();
        *known = known_before.max(*known);
        let unlisted_for = recorded.unlisted_for.unwrap_or(SpanUs(0));
        let left = SpanUs(VERSION_MEMORY_US.0.saturating_sub(unlisted_for.0));
        self.remember(service, version, now.after(left));
    }

    fn remember(&mut self, service: &str, version: &SoftwareVersion, until: TimeUs) {
        let versions = self.remembered_until.entry(service.to_owned()).or_default();
        let remembered = versions.entry(version.clone()).or_default();
        *remembered = until.max(*remembered);
    }

    /// Returns the versions at which a stream can have begun, by what is known as of `evidence`.
    #[must_use]
    pub fn find(
        &self,
        now: TimeUs,
        question: &VersionQuestion<'_>,
        evidence: VersionEvidence,
    ) -> ServiceVersions {
        let mut remembered = self.remembered(now, question.service);
        let Some(version) = remembered.next() else {
            return ServiceVersions::Unproven;
        };
        if remembered.next().is_some() {
            return ServiceVersions::Several;
        }
        let is_new = evidence.as_of() >= Some(question.asked_at);
        if is_new && self.known_for(now, question.service) >= Some(question.min_known) {
            ServiceVersions::Sole(version.clone())
        } else {
            ServiceVersions::Unproven
        }
    }

    /// Returns whether another version of a service is remembered.
    #[must_use]
    pub fn has_other(&self, now: TimeUs, service: &str, version: &SoftwareVersion) -> bool {
        self.remembered(now, service).any(|known| known != version)
    }

    fn remembered(&self, now: TimeUs, service: &str) -> impl Iterator<Item = &SoftwareVersion> {
        let versions = self.remembered_until.get(service).into_iter().flatten();
        versions
            .filter(move |(_, until)| now < **until)
            .map(|(version, _)| version)
    }

    /// Returns how long the versions of a service have been known; `None` before the first list.
    fn known_for(&self, now: TimeUs, service: &str) -> Option<SpanUs> {
        let known_before = self.known_before.get(service).map_or(0, |span| span.0);
        let span = now.since(self.since?).0.saturating_add(known_before);
        Some(SpanUs(span))
    }
}
