//! Simulates the platform's load balancer: distributes calls round-robin over the ready entries.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use awc::Client;

use crate::http::lock;

/// The readiness check interval, and the timeout of one check.
const READINESS_CHECK_INTERVAL: Duration = Duration::from_millis(200);

#[derive(Debug, Default)]
struct State {
    ready: BTreeMap<SocketAddr, bool>,
    next_index: usize,
}

/// A round-robin balancer that knows which entries are ready; clones share their state.
#[derive(Debug, Clone, Default)]
pub struct Balancer {
    state: Arc<Mutex<State>>,
}

impl Balancer {
    /// Returns a balancer over `entries`; an entry counts as not ready until its first check.
    #[must_use]
    pub fn new(entries: impl IntoIterator<Item = SocketAddr>) -> Self {
        let balancer = Self::default();
        for entry in entries {
            balancer.add(entry);
        }
        balancer
    }

    /// Adds an entry, not ready until its first check.
    pub fn add(&self, entry: SocketAddr) {
        lock(&self.state).ready.insert(entry, false);
    }

    /// Removes an entry; later calls are not sent to it.
    pub fn remove(&self, entry: SocketAddr) {
        lock(&self.state).ready.remove(&entry);
    }

    /// Returns the entries that passed their last readiness check.
    #[must_use]
    pub fn ready_entries(&self) -> Vec<SocketAddr> {
        let state = lock(&self.state);
        let ready = state.ready.iter().filter(|(_, ready)| **ready);
        ready.map(|(entry, _)| *entry).collect()
    }

    /// Returns the entry for the next call, or `None` if no entry is ready.
    #[must_use]
    pub fn next_ready(&self) -> Option<SocketAddr> {
        let ready = self.ready_entries();
        let mut state = lock(&self.state);
        state.next_index += 1;
        let index = state.next_index.checked_rem(ready.len())?;
        ready.get(index).copied()
    }

    /// Checks the readiness of all entries periodically; never returns.
    pub async fn watch(self, client: Client) {
        loop {
            self.check_readiness(&client).await;
            actix_rt::time::sleep(READINESS_CHECK_INTERVAL).await;
        }
    }

    /// Checks the readiness of each entry once.
    pub async fn check_readiness(&self, client: &Client) {
        let entries: Vec<SocketAddr> = lock(&self.state).ready.keys().copied().collect();
        for entry in entries {
            let url = format!("http://{entry}/readyz");
            let checked = client
                .get(url)
                .timeout(READINESS_CHECK_INTERVAL)
                .send()
                .await;
            let ready = checked.is_ok_and(|response| response.status().is_success());
            if let Some(is_ready) = lock(&self.state).ready.get_mut(&entry) {
                *is_ready = ready;
            }
        }
    }
}
