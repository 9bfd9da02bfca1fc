//! Registers this process in the store and reads the registered peers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use actix_rt::time::sleep;
use platform::store::{KeyedRecord, Topic, append_target, encode_records};
use serde::{Deserialize, Serialize};

use crate::directory::{FollowerContext, Identity, PeerEntry};
use crate::followed_topic::FollowedTopic;
use crate::ledger::{from_cbor, to_cbor};
use crate::store::{StoreCall, StorePurpose, StoreUnavailable};
use crate::topic_watch::{POLL_INTERVAL, POLL_TIMEOUT};
use crate::unix_time::unix_ms;

/// The interval at which this process renews its entry.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(20);
/// The delay of the second announcement; processes that were started together have written their
/// entries by then.
const SECOND_ANNOUNCE_DELAY: Duration = Duration::from_secs(2);
/// How long the entry of a process is valid: two renewals may fail, and clocks may differ by ten
/// seconds.
const ENTRY_LIFETIME_MS: u64 = 70_000;

/// The entry of one process in the store.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct ProcessRecord {
    #[serde(rename = "a")]
    peer_address: SocketAddr,
    /// The id of the process instance.
    #[serde(rename = "i", default)]
    writer: String,
    /// When it was written, in Unix milliseconds by the writer's clock.
    #[serde(rename = "w")]
    recorded_unix_ms: u64,
}

impl ProcessRecord {
    fn is_recent(&self, now_unix_ms: u64) -> bool {
        now_unix_ms < self.recorded_unix_ms.saturating_add(ENTRY_LIFETIME_MS)
    }
}

/// Keeps this process registered and publishes its peers.
pub(crate) struct ProcessRegistry<'a> {
    identity: Identity,
    /// Peers from the settings.
    seeds: Vec<SocketAddr>,
    context: FollowerContext<'a>,
    announced_at: Option<Instant>,
    announcements: u32,
    processes: FollowedTopic,
}

impl<'a> ProcessRegistry<'a> {
    pub(crate) fn new(
        identity: Identity,
        seeds: Vec<SocketAddr>,
        context: FollowerContext<'a>,
    ) -> Self {
        let own = identity.peer_address;
        let seeds: Vec<SocketAddr> = seeds.into_iter().filter(|seed| *seed != own).collect();
        context.publish.send_if_modified(|directory| {
            let is_first = !directory.has_read_processes;
            if is_first {
                // A process that starts while the store is unavailable can still ask its seeds.
                directory.peers = Arc::new(seeds.clone());
            }
            is_first
        });
        let known = Arc::clone(&context.publish.borrow().peers);
        context.store.set_relays(known.to_vec());
        Self {
            identity,
            seeds,
            context,
            announced_at: None,
            announcements: 0,
            processes: FollowedTopic::new(Topic::Processes),
        }
    }

    /// Renews the registration and reads the peers until dropped.
    pub(crate) async fn run(mut self) {
        loop {
            let now = Instant::now();
            if self.is_due(now) {
                self.announce(now).await;
            }
            self.context.store.close_stale(Instant::now());
            sleep(POLL_INTERVAL).await;
        }
    }

    fn is_due(&self, now: Instant) -> bool {
        let interval = if self.announcements < 2 {
            SECOND_ANNOUNCE_DELAY
        } else {
            ANNOUNCE_INTERVAL
        };
        let is_due = |at: Instant| now.duration_since(at) >= interval;
        self.announced_at.is_none_or(is_due)
    }

    /// Writes this process's entry, unless it is leaving, and reads those of its peers.
    async fn announce(&mut self, now: Instant) {
        let deadline = now + POLL_TIMEOUT;
        self.context.store.retry_direct();
        let is_leaving = self.identity.is_leaving.load(Ordering::Relaxed);
        let is_done = is_leaving || self.write(deadline).await.is_ok();
        let read = self.processes.poll(self.context.store, now, deadline).await;
        if read.is_err() {
            // The next round tries again; the store client counts the failure.
            return;
        }
        if is_done {
            self.announced_at = Some(now);
            self.announcements = self.announcements.saturating_add(1);
        }
        self.publish_processes(unix_ms());
    }

    async fn write(&self, deadline: Instant) -> Result<(), StoreUnavailable> {
        let entry = ProcessRecord {
            peer_address: self.identity.peer_address,
            writer: self.identity.writer.clone(),
            recorded_unix_ms: unix_ms(),
        };
        let record = KeyedRecord {
            key: self.identity.vm.clone(),
            value: Some(to_cbor(&entry)),
        };
        let target = append_target(&Topic::Processes, 0, None);
        let call = StoreCall::post(StorePurpose::Announce, target, encode_records(&[record]));
        let reply = self.context.store.call(&call, deadline).await?;
        if reply.status == 200 {
            Ok(())
        } else {
            Err(StoreUnavailable)
        }
    }

    fn publish_processes(&self, now_unix_ms: u64) {
        let entries = self.processes.records().values();
        let mut processes: Vec<PeerEntry> = entries
            .filter_map(|entry| from_cbor::<ProcessRecord>(entry))
            .filter(|peer| peer.is_recent(now_unix_ms))
            .map(|peer| PeerEntry {
                address: peer.peer_address,
                writer: peer.writer,
            })
            .collect();
        processes.sort_unstable();
        let mut peers: Vec<SocketAddr> = processes
            .iter()
            .map(|peer| peer.address)
            .filter(|address| *address != self.identity.peer_address)
            .chain(self.seeds.iter().copied())
            .collect();
        peers.sort_unstable();
        peers.dedup();
        self.context.store.set_relays(peers.clone());
        // At the first read, processes that were started together may not have registered yet.
        let is_complete = self.announcements > 1;
        self.context.publish.send_modify(|directory| {
            directory.peers = Arc::new(peers);
            directory.has_read_processes = true;
            if is_complete {
                directory.processes = Arc::new(processes);
            }
        });
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::directory::Directory;
    use crate::gateway_tests::FollowerFixture;

    /// Guards against a process that no longer knows its peers.
    #[test]
    fn a_registry_that_is_begun_anew_keeps_the_peers_that_were_read() {
        let peer: SocketAddr = ([127, 0, 0, 1], 2).into();
        let fixture = FollowerFixture::new(Directory {
            peers: Arc::new(vec![peer]),
            has_read_processes: true,
            ..Directory::default()
        });
        let identity = Identity {
            vm: "vm".to_owned(),
            writer: "writer".to_owned(),
            peer_address: ([127, 0, 0, 1], 1).into(),
            is_leaving: Arc::default(),
        };
        ProcessRegistry::new(identity, Vec::new(), fixture.context());
        assert_eq!(*fixture.publish.borrow().peers, [peer]);
    }
}
