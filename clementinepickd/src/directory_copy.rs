//! Defines the copy of the configuration and of the list of servers that a process hands to a peer which
//! cannot read them from the store.
//!
//! Times are sent as ages, since the clocks of processes differ.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use ciborium::Value;
use clementinepick::server_list::{BackendServer, ServerList, SoftwareVersion};
use clementinepick::traffic_config::TrafficConfig;
use clementinepick::units::SpanUs;
use serde::{Deserialize, Serialize};

use crate::directory::Directory;
use crate::link::{duration, to_span};

/// The path of calls that ask for a copy.
pub(crate) const COPY_PATH: &str = "/directory/copy";
/// The maximum age of what is handed over. A configuration must take effect, and a list decides that a
/// server is absent, within this time.
const MAX_COPY_AGE: Duration = Duration::from_secs(2);

/// Asks a peer for a copy.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct CopyQuery {
    /// The version of the configuration that the asking process has.
    #[serde(rename = "v")]
    pub(crate) config_version: Option<u64>,
}

/// The configuration of a peer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct ConfigCopy {
    #[serde(rename = "g")]
    age_us: SpanUs,
    #[serde(rename = "v")]
    version: u64,
    /// The document, unless the asking process has this version.
    #[serde(rename = "d")]
    document: Option<Value>,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct ServerCopy {
    #[serde(rename = "i")]
    id: String,
    #[serde(rename = "s")]
    service: String,
    #[serde(rename = "a")]
    address: SocketAddr,
    #[serde(rename = "z")]
    zone: String,
    #[serde(rename = "v")]
    version: SoftwareVersion,
    #[serde(rename = "n")]
    slots: u32,
    #[serde(rename = "d")]
    is_draining: bool,
    #[serde(rename = "t")]
    started_unix_ms: Option<u64>,
}

/// The list of servers of a peer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct ListCopy {
    #[serde(rename = "g")]
    age_us: SpanUs,
    /// The offset up to which it is known.
    #[serde(rename = "e")]
    end: u64,
    #[serde(rename = "s")]
    servers: Vec<ServerCopy>,
}

/// What a peer hands over.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct DirectoryCopy {
    #[serde(rename = "c")]
    config: Option<ConfigCopy>,
    #[serde(rename = "l")]
    list: Option<ListCopy>,
    #[serde(rename = "p")]
    pub(crate) peers: Vec<SocketAddr>,
}

/// A configuration that was handed over.
#[derive(Debug)]
pub(crate) struct HandedConfig {
    pub(crate) as_of: Instant,
    pub(crate) version: u64,
    /// The document, unless this process has the version.
    pub(crate) document: Option<Bytes>,
}

/// A list of servers that was handed over.
#[derive(Debug)]
pub(crate) struct HandedList {
    pub(crate) as_of: Instant,
    /// The offset up to which it is known; it may be known as of later than `as_of`.
    pub(crate) end: u64,
    pub(crate) servers: ServerList,
}

impl DirectoryCopy {
    /// Copies what is new enough; a list with servers whose entries have expired is kept back.
    pub(crate) fn of(directory: &Directory, query: CopyQuery, now: Instant) -> Self {
        let config = directory.config.as_ref().zip(directory.config_as_of);
        let list = (!directory.has_kept_servers)
            .then(|| directory.list_as_of())
            .flatten();
        Self {
            config: config.and_then(|(config, as_of)| {
                let is_known = query.config_version == Some(config.version);
                let document = directory.config_document.as_ref();
                let document = document.filter(|_| !is_known);
                Some(ConfigCopy {
                    age_us: recent_age(as_of, now)?,
                    version: config.version,
                    document: document.map(|document| Value::Bytes(document.to_vec())),
                })
            }),
            list: list.and_then(|as_of| {
                Some(ListCopy {
                    age_us: recent_age(as_of, now)?,
                    end: directory.servers_end,
                    servers: directory
                        .servers
                        .servers
                        .values()
                        .map(copy_server)
                        .collect(),
                })
            }),
            peers: directory.peers.to_vec(),
        }
    }

    /// Returns the configuration, by a call that began at `asked_at`, unless it is too old by now.
    pub(crate) fn take_config(&mut self, asked_at: Instant, now: Instant) -> Option<HandedConfig> {
        let copy = self.config.take()?;
        Some(HandedConfig {
            as_of: recent_time(copy.age_us, asked_at, now)?,
            version: copy.version,
            document: copy
                .document
                .and_then(|document| document.into_bytes().ok())
                .map(Bytes::from),
        })
    }

    /// Returns the list of servers in the same way.
    pub(crate) fn take_list(&mut self, asked_at: Instant, now: Instant) -> Option<HandedList> {
        let copy = self.list.take()?;
        let as_of = recent_time(copy.age_us, asked_at, now)?;
        let servers = copy.servers.into_iter().map(into_server);
        let servers: BTreeMap<_, _> = servers.map(|server| (server.id.clone(), server)).collect();
        Some(HandedList {
            as_of,
            end: copy.end,
            servers: ServerList { servers },
        })
    }
}

impl Directory {
    /// Takes a configuration that was decoded from a document, unless a later version is known; returns
    /// whether it is a new one.
    pub(crate) fn take_config(
        &mut self,
        as_of: Instant,
        config: TrafficConfig,
        document: Bytes,
    ) -> bool {
        let known = self.config.as_ref().map(|config| config.version);
        if known > Some(config.version) {
            return false;
        }
        self.config_as_of = self.config_as_of.max(Some(as_of));
        let is_new = known < Some(config.version);
        if is_new {
            self.config = Some(Arc::new(config));
            self.config_document = Some(document);
        }
        is_new
    }

    /// Records that a peer has this version of the configuration as well, as of a later time.
    pub(crate) fn confirm_config(&mut self, as_of: Instant, version: u64) {
        if self.config.as_ref().is_some_and(|c| c.version == version) {
            self.config_as_of = self.config_as_of.max(Some(as_of));
        }
    }

    /// Takes a list of servers for the selection of servers, unless a newer one is known.
    ///
    /// What is concluded from a list, such as the versions that servers have had, needs an unbroken
    /// series of reads, so that `servers_as_of` stays.
    pub(crate) fn take_list(&mut self, list: HandedList) -> bool {
        let is_newer = self.list_as_of() < Some(list.as_of) && self.servers_end <= list.end;
        if is_newer {
            self.handed_as_of = Some(list.as_of);
            self.servers_end = list.end;
            if *self.servers != list.servers {
                self.servers = Arc::new(list.servers);
            }
        }
        is_newer
    }
}

impl Directory {
    /// Returns whether a list that was read up to `end` is at least as new as the one that is known.
    ///
    /// A handed list may have been read after the time as of which it is known. One that was handed long
    /// before the read decides nothing: the topic may have been replaced.
    pub(crate) fn is_newest_list(&self, end: u64, as_of: Instant) -> bool {
        let is_handed_long_before =
            |at: Instant| as_of.saturating_duration_since(at) > MAX_COPY_AGE;
        self.servers_end <= end || self.handed_as_of.is_none_or(is_handed_long_before)
    }
}

fn copy_server(server: &BackendServer) -> ServerCopy {
    ServerCopy {
        id: server.id.clone(),
        service: server.service.clone(),
        address: server.address,
        zone: server.zone.clone(),
        version: server.version.clone(),
        slots: server.slots,
        is_draining: server.is_draining,
        started_unix_ms: server.started_unix_ms,
    }
}

fn into_server(copy: ServerCopy) -> BackendServer {
    BackendServer {
        id: copy.id,
        service: copy.service,
        address: copy.address,
        zone: copy.zone,
        version: copy.version,
        slots: copy.slots,
        is_draining: copy.is_draining,
        started_unix_ms: copy.started_unix_ms,
    }
}

fn recent_age(as_of: Instant, now: Instant) -> Option<SpanUs> {
    let age = now.saturating_duration_since(as_of);
    (age <= MAX_COPY_AGE).then(|| to_span(age))
}

/// Returns the time as of which a copy is known: the peer computed its age after the call began.
fn recent_time(age_us: SpanUs, asked_at: Instant, now: Instant) -> Option<Instant> {
    let as_of = asked_at.checked_sub(duration(age_us))?;
    recent_age(as_of, now).map(|_| as_of)
}

#[cfg(test)]
mod tests {
    use super::*;

    const AGE: Duration = Duration::from_millis(700);
    const CALL: Duration = Duration::from_millis(50);

    fn config(version: u64) -> TrafficConfig {
        TrafficConfig {
            version,
            ..TrafficConfig::default()
        }
    }

    fn supplied(as_of: Instant, version: u64) -> Directory {
        let mut directory = Directory::default();
        directory.take_config(as_of, config(version), Bytes::from_static(b"d"));
        directory.record_servers_read(as_of, as_of);
        directory
    }

    fn copied(directory: &Directory, known: Option<u64>, now: Instant) -> DirectoryCopy {
        let query = CopyQuery {
            config_version: known,
        };
        DirectoryCopy::of(directory, query, now)
    }

    /// Guards against a copy that counts as newer than what the peer has read.
    #[test]
    fn a_copy_is_at_least_as_old_as_the_read_of_the_peer() {
        let read_at = Instant::now();
        let asked_at = read_at + AGE;
        let answered_at = asked_at + CALL;
        let mut copy = copied(&supplied(read_at, 7), None, answered_at);
        let config = copy.take_config(asked_at, answered_at).expect("one");
        assert_eq!(
            config.as_of,
            asked_at.checked_sub(AGE + CALL).expect("a time")
        );
        assert!(config.as_of <= read_at);
        let list = copy.take_list(asked_at, answered_at).expect("one");
        assert!(list.as_of <= read_at);
    }

    /// Guards against a peer without the store that hands on what has changed since.
    #[test]
    fn what_is_too_old_is_not_handed_over() {
        let read_at = Instant::now();
        let later = read_at + MAX_COPY_AGE + CALL;
        let mut copy = copied(&supplied(read_at, 7), None, later);
        assert!(copy.take_config(later, later).is_none());
        assert!(copy.take_list(later, later).is_none());
        let mut copy = copied(&supplied(read_at, 7), None, read_at);
        assert!(copy.take_config(read_at, later).is_none());
        assert!(copy.take_list(read_at, later).is_none());
    }

    /// Guards against servers that have left and are sent to, and against gaps in what was listed.
    #[test]
    fn a_list_with_expired_entries_is_kept_back_and_none_counts_as_read() {
        let now = Instant::now();
        let mut peer = supplied(now, 7);
        peer.has_kept_servers = true;
        assert!(copied(&peer, None, now).take_list(now, now).is_none());
        peer.has_kept_servers = false;
        let list = copied(&peer, None, now).take_list(now, now).expect("one");
        let mut directory = Directory::default();
        assert!(directory.take_list(list));
        assert_eq!(directory.servers_as_of, None);
        assert_eq!(directory.list_as_of(), Some(now));
        assert!(!directory.has_current_servers(now));
    }

    /// Guards against a server that is draining and is sent to again, since an older list was read later.
    #[test]
    fn a_read_that_ends_before_the_handed_list_does_not_replace_it() {
        let now = Instant::now();
        let mut peer = supplied(now, 7);
        peer.servers_end = 9;
        let list = copied(&peer, None, now).take_list(now, now).expect("one");
        let mut directory = Directory::default();
        assert!(directory.take_list(list));
        assert!(!directory.is_newest_list(8, now + CALL));
        assert!(directory.is_newest_list(9, now + CALL));
        assert!(directory.is_newest_list(0, now + MAX_COPY_AGE + CALL));
        peer.servers_end = 8;
        let later = now + CALL;
        peer.record_servers_read(later, later);
        let older = copied(&peer, None, later).take_list(later, later);
        assert!(!directory.take_list(older.expect("one")));
    }

    /// Guards against a configuration that goes back to an earlier version.
    #[test]
    fn an_earlier_version_is_not_taken() {
        let now = Instant::now();
        let mut directory = supplied(now, 7);
        let later = now + CALL;
        assert!(!directory.take_config(later, config(6), Bytes::new()));
        directory.confirm_config(later, 6);
        assert_eq!(directory.config_as_of, Some(now));
        directory.confirm_config(later, 7);
        assert_eq!(directory.config_as_of, Some(later));
        assert!(directory.take_config(later, config(8), Bytes::new()));
        assert_eq!(directory.config.map(|config| config.version), Some(8));
    }

    /// Guards against a document that is sent to a process which has it.
    #[test]
    fn a_known_version_is_confirmed_without_its_document() {
        let now = Instant::now();
        let document = |known| {
            let mut copy = copied(&supplied(now, 7), known, now);
            copy.take_config(now, now).expect("one").document
        };
        assert_eq!(document(Some(7)), None);
        assert_eq!(document(Some(6)), Some(Bytes::from_static(b"d")));
        assert_eq!(document(None), Some(Bytes::from_static(b"d")));
    }
}
