//! Asks peers for the configuration and the list of servers while this process cannot read them from the
//! store, and hands its own to peers that ask.
//!
//! A process that starts would otherwise depend on reads for which all others compete.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use actix_rt::time::sleep;
use bytes::Bytes;
use clementinepick::event::{Event, EventKind};
use clementinepick::traffic_config::TrafficConfig;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;

use crate::directory::Directory;
use crate::directory_copy::{COPY_PATH, CopyQuery, DirectoryCopy};
use crate::gateway_peer::{PeerCall, call_peer};
use crate::gateway_shared::Shared;
use crate::ledger::{from_cbor, to_cbor};
use crate::unix_time::unix_ms;

/// How long a peer may take.
const COPY_TIMEOUT: Duration = Duration::from_millis(200);
/// The number of peers that are asked in one round, and the time after which the next one is asked as
/// well.
const MAX_ASKED: usize = 3;
const NEXT_PEER_DELAY: Duration = Duration::from_millis(30);
/// The pause between two rounds; it doubles with each one that brings nothing.
const MIN_PAUSE: Duration = Duration::from_millis(20);
const MAX_PAUSE: Duration = Duration::from_secs(1);
/// How often the age of the lists is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// By how much the wall clock and the clock of ages may part. They part further while the VM is
/// suspended, which ages do not count.
const MAX_CLOCK_GAP_MS: u64 = 300;
/// How long nothing is handed over after that: lists are read again by then.
const CLOCK_WAIT: Duration = Duration::from_secs(2);

/// Notices that the VM was suspended, by its clocks.
#[derive(Debug)]
pub(crate) struct ClockWatch {
    started_at: Instant,
    /// How far the wall clock was ahead of the clock of ages when last seen.
    ahead_ms: Cell<i64>,
    parted_at: Cell<Option<Instant>>,
}

impl ClockWatch {
    pub(crate) fn new(now: Instant, now_unix_ms: u64) -> Self {
        Self {
            started_at: now,
            ahead_ms: Cell::new(to_signed_ms(now_unix_ms)),
            parted_at: Cell::new(None),
        }
    }

    /// Compares the clocks; returns whether ages can be relied on.
    fn check(&self, now: Instant, now_unix_ms: u64) -> bool {
        let run_ms = now.saturating_duration_since(self.started_at).as_millis();
        let run_ms = i64::try_from(run_ms).unwrap_or(i64::MAX);
        let ahead_ms = to_signed_ms(now_unix_ms).saturating_sub(run_ms);
        let last_ms = self.ahead_ms.replace(ahead_ms);
        if ahead_ms.abs_diff(last_ms) > MAX_CLOCK_GAP_MS {
            self.parted_at.set(Some(now));
        }
        let parted_at = self.parted_at.get();
        parted_at.is_none_or(|at| now.saturating_duration_since(at) >= CLOCK_WAIT)
    }
}

fn to_signed_ms(unix_ms: u64) -> i64 {
    i64::try_from(unix_ms).unwrap_or(i64::MAX)
}

/// Asks peers whenever the lists of this process are missing or old, until dropped.
pub(crate) async fn maintain_directory(shared: Rc<Shared>) {
    let mut pause = MIN_PAUSE;
    loop {
        let now = Instant::now();
        // A suspension is noticed by the first comparison after it.
        shared.clocks.check(now, unix_ms());
        let is_due = shared.directory().is_due(now);
        if is_due && !ask_peers(&shared).await {
            sleep(pause.mul_f64(rand::random_range(0.5..1.0))).await;
            pause = (pause * 2).min(MAX_PAUSE);
        } else {
            pause = MIN_PAUSE;
            sleep(CHECK_INTERVAL).await;
        }
    }
}

/// Asks up to [`MAX_ASKED`] peers, each [`NEXT_PEER_DELAY`] after the one before, until the lists are new
/// enough; returns whether they are.
async fn ask_peers(shared: &Shared) -> bool {
    let mut peers = shared.ended_peers(Instant::now());
    let mut calls = FuturesUnordered::new();
    for number in 0..MAX_ASKED.min(peers.len()) {
        let peer = peers.swap_remove(rand::random_range(0..peers.len()));
        let delay = NEXT_PEER_DELAY * u32::try_from(number).unwrap_or(u32::MAX);
        calls.push(async move {
            sleep(delay).await;
            ask(shared, peer).await;
        });
    }
    while calls.next().await.is_some() {
        if !shared.directory().is_due(Instant::now()) {
            return true;
        }
    }
    false
}

async fn ask(shared: &Shared, peer: SocketAddr) {
    let config = shared.directory().config;
    let query = CopyQuery {
        config_version: config.map(|config| config.version),
    };
    let call = PeerCall {
        path: COPY_PATH,
        body: to_cbor(&query),
        limit: COPY_TIMEOUT,
    };
    let asked_at = Instant::now();
    let copy = call_peer::<DirectoryCopy>(shared, peer, call).await;
    let now = Instant::now();
    if let Some(copy) = copy.filter(|_| shared.clocks.check(now, unix_ms())) {
        shared.take_copy(peer, copy, asked_at, now);
    }
}

impl Shared {
    /// Takes what a peer has handed over as far as it is newer than what this process has.
    fn take_copy(
        &self,
        peer: SocketAddr,
        mut copy: DirectoryCopy,
        asked_at: Instant,
        now: Instant,
    ) {
        let config = copy.take_config(asked_at, now);
        let list = copy.take_list(asked_at, now);
        let decoded = config.as_ref().and_then(|config| {
            let document = config.document.clone()?;
            Some((self.decode_config(&document)?, document))
        });
        let mut new_version = None;
        let mut is_first_list = false;
        self.publish.send_modify(|directory| {
            if let Some(config) = &config {
                directory.confirm_config(config.as_of, config.version);
            }
            if let Some((config, (decoded, document))) = config.zip(decoded)
                && directory.take_config(config.as_of, decoded, document)
            {
                new_version = Some(config.version);
            }
            let had_list = directory.list_as_of().is_some();
            is_first_list = list.is_some_and(|list| directory.take_list(list)) && !had_list;
            if !directory.has_read_processes {
                add_peers(directory, &copy.peers, self.peer_address);
            }
        });
        if let Some(version) = new_version {
            self.log(&Event::new(EventKind::DocumentInForce).with("version", version));
        }
        if new_version.is_some() || is_first_list {
            let directory = self.directory();
            let age_ms = directory.as_of().map_or(0, |at| at.elapsed().as_millis());
            let event = Event::new(EventKind::ListsHandedOver)
                .with("peer", peer)
                .with("version", new_version.unwrap_or_default())
                .with("servers", directory.servers.servers.len())
                .with("age_ms", age_ms);
            self.log(&event);
        }
    }

    fn decode_config(&self, document: &Bytes) -> Option<TrafficConfig> {
        let decoded = platform::config::decode(document);
        if let Err(err) = &decoded {
            self.log(&Event::new(EventKind::DocumentRejected).with("reason", err));
        }
        decoded.ok()
    }
}

fn add_peers(directory: &mut Directory, handed: &[SocketAddr], own: SocketAddr) {
    let known = directory.peers.iter().chain(handed);
    let mut peers: Vec<SocketAddr> = known.copied().filter(|peer| *peer != own).collect();
    peers.sort_unstable();
    peers.dedup();
    directory.peers = Arc::new(peers);
}

/// Handles a peer's request for a copy; `None` for other paths.
pub(crate) fn handle_copy_call(
    shared: &Shared,
    path: &str,
    body: &[u8],
    now: Instant,
) -> Option<(u16, Bytes)> {
    if path != COPY_PATH {
        return None;
    }
    let Some(query) = from_cbor::<CopyQuery>(body) else {
        return Some((400, Bytes::new()));
    };
    let copy = if shared.clocks.check(now, unix_ms()) {
        DirectoryCopy::of(&shared.directory(), query, now)
    } else {
        DirectoryCopy::default()
    };
    Some((200, to_cbor(&copy)))
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a copy whose age leaves out that its VM was suspended, also before it was first asked.
    #[test]
    fn nothing_is_handed_over_right_after_the_vm_was_suspended() {
        let start = Instant::now();
        let second = start + Duration::from_secs(1);
        let clocks = ClockWatch::new(start, 1_000);
        assert!(!clocks.check(second, 6_000));
        let clocks = ClockWatch::new(start, 1_000);
        assert!(clocks.check(start, 1_000));
        assert!(clocks.check(second, 2_000));
        assert!(!clocks.check(second, 6_000));
        assert!(!clocks.check(second + CLOCK_WAIT / 2, 7_000));
        assert!(clocks.check(second + CLOCK_WAIT, 8_000));
    }
}
