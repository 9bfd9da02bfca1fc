//! Runs a gateway's periodic maintenance: closes idle connections, drops unused state, probes the
//! store and drops expired records.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_rt::time::sleep;
use clementinepick::event::{Event, EventKind};
use clementinepick::server_list::BackendServer;

use crate::gateway_readiness_log::ReadinessLog;
use crate::gateway_shared::Shared;
use crate::ledger_sweep::Sweep;
use crate::unix_time::unix_ms;

/// The interval between two rounds of maintenance.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(250);

/// Runs maintenance periodically and logs when the process becomes ready.
pub(crate) async fn run_maintenance(shared: Rc<Shared>, vm: String) {
    let mut readiness_log = ReadinessLog::new(vm);
    let mut store_log = StoreLog::default();
    let mut sweep = Sweep::starting_at(rand::random());
    loop {
        let now = Instant::now();
        readiness_log.log_changes(&shared, now);
        shared.pool.close_stale(now);
        shared.store.close_stale(now);
        shared.budgets.evict_idle(now);
        shared.expire_origins(now);
        shared.record_versions(now);
        shared.record_limits(now);
        shared.metrics.aggregate_histograms();
        report_connections(&shared, now);
        let directory = shared.directory();
        if !directory.peers.is_empty() {
            shared.store.set_relays(directory.peers.to_vec());
        }
        shared.store.probe().await;
        store_log.log_changes(&shared, now);
        let processes = directory.peers.len() + 1;
        sweep.step(&shared.ledger, processes, now, unix_ms()).await;
        let servers = &directory.servers.servers;
        update_servers(&shared, servers);
        sleep(MAINTENANCE_INTERVAL).await;
    }
}

/// Logs which connections gave way at a limit.
fn report_connections(shared: &Shared, now: Instant) {
    for (listener, connections) in shared.connections.by_name() {
        if let Some(event) = connections.report(now) {
            shared.log(&event.with("listener", listener));
        }
    }
}

/// Passes the registered servers and their start times to the server selection.
fn update_servers(shared: &Shared, servers: &BTreeMap<String, BackendServer>) {
    let mut choice = shared.choice.borrow_mut();
    for server in servers.values() {
        choice.record_start_time(&server.id, server.started_unix_ms);
    }
    choice.retain(|id| servers.contains_key(id));
}

/// The last logged state of the store.
#[derive(Default)]
struct StoreLog {
    was_unavailable: bool,
    was_direct_down: bool,
}

impl StoreLog {
    /// Logs changes since the last call.
    fn log_changes(&mut self, shared: &Shared, now: Instant) {
        let (unavailable, direct_down) =
            (shared.store.is_unavailable(), shared.store.is_direct_down());
        let counts = shared.store.counts();
        let with_counts = |kind| {
            Event::new(kind)
                .with("calls", counts.calls)
                .with("failures", counts.failures)
                .with("relayed", counts.relayed)
        };
        if unavailable != std::mem::replace(&mut self.was_unavailable, unavailable) {
            let kind = if unavailable {
                EventKind::LogDown
            } else {
                EventKind::LogUp
            };
            let unavailable_ms = shared.store.unavailable_for(now).as_millis();
            shared.log(&with_counts(kind).with("away_ms", unavailable_ms));
        }
        if direct_down != std::mem::replace(&mut self.was_direct_down, direct_down) {
            let kind = if direct_down {
                EventKind::StoreDirectDown
            } else {
                EventKind::StoreDirectUp
            };
            shared.log(&with_counts(kind));
        }
    }
}
