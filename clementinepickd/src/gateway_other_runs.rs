//! Finds out where else a request runs that may have ended a server, before it runs at another one.
//!
//! A process that is stalled, or is lost, tells its peers nothing of its runs, and they do not notice it
//! for a while. What it has recorded in the store shows them.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_rt::time::{sleep, timeout};
use clementinepick::request_key::RequestKey;
use tokio::sync::Mutex;
use tokio::task::JoinSet;

use crate::gateway_ended_upkeep::reload_all;
use crate::gateway_request_records::RecordedRequests;
use crate::gateway_shared::Shared;
use crate::safeguard::Safeguard;

/// How long a run may wait for what other processes have recorded.
const MAX_READ_WAIT: Duration = Duration::from_millis(150);

/// A process whose periodic work is this late was stalled.
const MIN_STALL: Duration = Duration::from_millis(300);
/// How long requests wait after a stall: what became of the runs before it, here and at peers, is known
/// by then.
const STALL_WAIT: Duration = Duration::from_millis(100);

/// The name in logs and metrics of the load after a stall.
const LOAD_PART: &str = "stall_load";
/// How often it is noted that this process runs.
const ACTIVE_INTERVAL: Duration = Duration::from_millis(50);

/// When the last stall of this process ended.
#[derive(Debug, Default)]
pub(crate) struct Stall {
    last_active: Cell<Option<Instant>>,
    ended_at: Cell<Option<Instant>>,
    /// Whether what happened meanwhile has yet to be loaded.
    is_load_due: Cell<bool>,
}

impl Stall {
    /// Records that this process runs; called far more often than [`MIN_STALL`].
    fn record_active(&self, now: Instant) {
        let last = self.last_active.replace(Some(now));
        if last.is_some_and(|last| now.saturating_duration_since(last) >= MIN_STALL) {
            self.ended_at.set(Some(now));
            self.is_load_due.set(true);
        }
    }

    /// Returns how much longer requests have to wait because of a stall.
    fn time_left(&self, now: Instant) -> Duration {
        let Some(ended_at) = self.ended_at.get() else {
            return Duration::ZERO;
        };
        STALL_WAIT.saturating_sub(now.saturating_duration_since(ended_at))
    }
}

/// The last read of what other processes have recorded; requests that wait for the same one share it.
#[derive(Default)]
pub(crate) struct SharedRead(Mutex<Option<DatedRead>>);

struct DatedRead {
    started_at: Instant,
    read: RecordedRequests,
}

/// Loads what happened during each stall of this process, until dropped.
pub(crate) async fn watch_stall(shared: Rc<Shared>) {
    let mut loads = JoinSet::new();
    loop {
        let stall = &shared.ended.stall;
        stall.record_active(Instant::now());
        if loads.is_empty() && stall.is_load_due.replace(false) {
            let shared = Rc::clone(&shared);
            loads.spawn_local(async move {
                let load = async || reload_all(Rc::clone(&shared)).await;
                shared.tasks.retry(LOAD_PART, load).await;
            });
        }
        tokio::select! {
            Some(ended) = loads.join_next() => {
                shared.tasks.joined(LOAD_PART, ended);
            }
            () = sleep(ACTIVE_INTERVAL) => {}
        }
    }
}

impl Shared {
    /// Waits, if this process was just stalled, until it knows what happened meanwhile.
    pub(crate) async fn wait_after_stall(&self) {
        let now = Instant::now();
        let stall = &self.ended.stall;
        stall.record_active(now);
        let left = stall.time_left(now);
        if !left.is_zero() && !Safeguard::EndedServers.is_disabled() {
            sleep(left).await;
            // The request goes on without what can't be loaded in time.
            let _ = timeout(MAX_READ_WAIT, self.ended.wait_until_loaded()).await;
        }
    }

    /// Loads what other processes have recorded of a request.
    pub(crate) async fn load_others(&self, key: RequestKey) {
        if !Safeguard::EndedServers.is_disabled() && !self.store.is_unavailable() {
            // The run starts without what can't be read in time; peers are told of it.
            let _ = timeout(MAX_READ_WAIT, self.read_and_load(key)).await;
        }
    }

    async fn read_and_load(&self, key: RequestKey) {
        let asked_at = Instant::now();
        let mut last = self.ended.others.0.lock().await;
        if last.as_ref().is_none_or(|last| last.started_at < asked_at) {
            let started_at = Instant::now();
            // The store client counts a failure.
            let Ok(read) = self.read_others().await else {
                return;
            };
            *last = Some(DatedRead { started_at, read });
        }
        if let Some(DatedRead { read, .. }) = &*last {
            self.load_others_of(key, read);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a request that is sent on by a process which does not know yet what it missed.
    #[test]
    fn requests_wait_after_a_stall_only() {
        let start = Instant::now();
        let stall = Stall::default();
        stall.record_active(start);
        let late = start + MIN_STALL / 2;
        stall.record_active(late);
        assert!(stall.time_left(late).is_zero());
        let resumed = late + MIN_STALL;
        stall.record_active(resumed);
        assert_eq!(stall.time_left(resumed), STALL_WAIT);
        assert!(stall.time_left(resumed + STALL_WAIT).is_zero());
    }
}
