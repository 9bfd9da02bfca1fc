//! What a gateway does now and then: closes idle connections, forgets old state, looks whether the
//! store is back, and drops old records.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_rt::time::sleep;
use clementinepick::event::{Event, EventKind};
use clementinepick::server_list::BackendServer;

use crate::gateway_shared::Shared;
use crate::ledger_sweep::Sweep;
use crate::unix_time::unix_ms;

/// The time between two rounds of housekeeping: closing idle connections, forgetting old state,
/// looking whether the store is back.
const HOUSEKEEPING: Duration = Duration::from_millis(250);

/// Keeps house until it is dropped.
pub(crate) async fn run_maintenance(shared: Rc<Shared>, vm: String) {
    let event = Event::new(EventKind::ProcessReady).with("vm", vm);
    let mut said_ready = false;
    let mut store_log = StoreLog::default();
    let mut sweep = Sweep::starting_at(rand::random());
    loop {
        let now = Instant::now();
        if !said_ready && shared.is_ready(now) {
            shared.log(&event);
            said_ready = true;
        }
        shared.pool.close_stale(now);
        shared.store.close_stale(now);
        shared.budgets.forget_idle(now);
        shared.metrics.aggregate_histograms();
        let directory = shared.directory();
        if !directory.peers.is_empty() {
            shared.store.set_relays(directory.peers.to_vec());
        }
        shared.store.probe().await;
        store_log.look(&shared, now);
        let processes = directory.peers.len() + 1;
        sweep.step(&shared.ledger, processes, now, unix_ms()).await;
        let servers = &directory.servers.servers;
        note_servers(&shared, servers);
        sleep(HOUSEKEEPING).await;
    }
}

/// Takes up which servers are registered and when they started.
fn note_servers(shared: &Shared, servers: &BTreeMap<String, BackendServer>) {
    let mut choice = shared.choice.borrow_mut();
    for server in servers.values() {
        choice.record_start_time(&server.id, server.started_unix_ms);
    }
    choice.retain(|id| servers.contains_key(id));
}

/// What was last said of the store.
#[derive(Default)]
struct StoreLog {
    is_away: bool,
    is_direct_down: bool,
}

impl StoreLog {
    /// Logs what has changed.
    fn look(&mut self, shared: &Shared, now: Instant) {
        let (away, down) = (shared.store.is_unavailable(), shared.store.is_direct_down());
        let counts = shared.store.counts();
        let with_counts = |kind| {
            Event::new(kind)
                .with("calls", counts.calls)
                .with("failures", counts.failures)
                .with("relayed", counts.relayed)
        };
        if away != std::mem::replace(&mut self.is_away, away) {
            let kind = if away {
                EventKind::LogDown
            } else {
                EventKind::LogUp
            };
            let away_for = shared.store.unavailable_for(now).as_millis();
            shared.log(&with_counts(kind).with("away_ms", away_for));
        }
        if down != std::mem::replace(&mut self.is_direct_down, down) {
            let kind = if down {
                EventKind::StoreDirectDown
            } else {
                EventKind::StoreDirectUp
            };
            shared.log(&with_counts(kind));
        }
    }
}
