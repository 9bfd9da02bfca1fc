//! Tells whether all servers of a service have had the same software version for a while, from the
//! lists of servers over time.
//!
//! A stream whose origin nobody recorded can still be resumed then: it can have begun at no other
//! version.

use std::collections::BTreeMap;

use crate::server_list::{ServerList, SoftwareVersion};
use crate::units::{SpanUs, TimeUs};

/// How long versions are remembered after their last server has left the list.
const HISTORY_US: SpanUs = SpanUs::from_s(600);

/// When each software version of each service was last listed.
#[derive(Debug, Default)]
pub struct ListedVersions {
    /// The time of the first list.
    since: Option<TimeUs>,
    last_listed: BTreeMap<String, BTreeMap<SoftwareVersion, TimeUs>>,
}

impl ListedVersions {
    /// Records the list of servers as of `now`.
    pub fn record(&mut self, now: TimeUs, list: &ServerList) {
        if list.servers.is_empty() {
            return;
        }
        self.since.get_or_insert(now);
        for server in list.servers.values() {
            let versions = self.last_listed.entry(server.service.clone()).or_default();
            versions.insert(server.version.clone(), now);
        }
        for versions in self.last_listed.values_mut() {
            versions.retain(|_, at| now.since(*at) < HISTORY_US);
        }
        self.last_listed.retain(|_, versions| !versions.is_empty());
    }

    /// Returns the version that all listed servers of `service` had for at least `span`; `None` if
    /// there were several, or if lists have not been recorded for as long.
    #[must_use]
    pub fn sole_version(
        &self,
        now: TimeUs,
        service: &str,
        span: SpanUs,
    ) -> Option<&SoftwareVersion> {
        if now.since(self.since?) < span {
            return None;
        }
        let versions = self.last_listed.get(service)?.iter();
        let mut recent = versions.filter(|(_, at)| now.since(**at) <= span);
        let (version, _) = recent.next()?;
        recent.next().is_none().then_some(version)
    }
}
