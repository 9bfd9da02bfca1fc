//! Tells whether all servers of a service have had the same software version, from the lists of servers
//! over time and from what earlier processes recorded of them.
//!
//! A stream whose origin nobody recorded can still be resumed then: it can have begun at no other
//! version. How long ago it began is not known, since its caller may have made several attempts.

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
        let known = self.known_before.entry(service.clone()).or_default();
        *known = recorded.known_for.max(*known);
        let unlisted_for = recorded.unlisted_for.unwrap_or(SpanUs(0));
        let left = SpanUs(VERSION_MEMORY_US.0.saturating_sub(unlisted_for.0));
        self.remember(service, version, now.after(left));
    }

    fn remember(&mut self, service: &str, version: &SoftwareVersion, until: TimeUs) {
        let versions = self.remembered_until.entry(service.to_owned()).or_default();
        let remembered = versions.entry(version.clone()).or_default();
        *remembered = until.max(*remembered);
    }

    /// Returns the version of all servers of `service` that are remembered; `None` if there are
    /// several, or if they have not been known for `min_known`.
    #[must_use]
    pub fn sole_version(
        &self,
        now: TimeUs,
        service: &str,
        min_known: SpanUs,
    ) -> Option<&SoftwareVersion> {
        let known_before = self.known_before.get(service).map_or(0, |span| span.0);
        let known_for = now.since(self.since?).0.saturating_add(known_before);
        if known_for < min_known.0 {
            return None;
        }
        let versions = self.remembered_until.get(service)?.iter();
        let mut remembered = versions.filter(|(_, until)| now < **until);
        let (version, _) = remembered.next()?;
        remembered.next().is_none().then_some(version)
    }
}
