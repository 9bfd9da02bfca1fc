//! The platform's balancer as callers meet it: calls go in turn to the entries that are ready.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use awc::Client;

use crate::http::lock;

/// The time between two looks at an entry.
const LOOK: Duration = Duration::from_millis(200);

#[derive(Debug, Default)]
struct State {
    ready: BTreeMap<SocketAddr, bool>,
    turn: usize,
}

/// The entries and whether they are ready.
#[derive(Debug, Clone, Default)]
pub struct Balancer {
    state: Arc<Mutex<State>>,
}

impl Balancer {
    /// A balancer over these entries, of which none is known to be ready.
    #[must_use]
    pub fn new(entries: impl IntoIterator<Item = SocketAddr>) -> Self {
        let balancer = Self::default();
        for entry in entries {
            balancer.add(entry);
        }
        balancer
    }

    /// Adds an entry.
    pub fn add(&self, entry: SocketAddr) {
        lock(&self.state).ready.insert(entry, false);
    }

    /// Takes an entry off.
    pub fn remove(&self, entry: SocketAddr) {
        lock(&self.state).ready.remove(&entry);
    }

    /// The entries that are ready.
    #[must_use]
    pub fn ready_entries(&self) -> Vec<SocketAddr> {
        let state = lock(&self.state);
        let ready = state.ready.iter().filter(|(_, ready)| **ready);
        ready.map(|(entry, _)| *entry).collect()
    }

    /// The entry for the next call.
    #[must_use]
    pub fn next_ready(&self) -> Option<SocketAddr> {
        let ready = self.ready_entries();
        let mut state = lock(&self.state);
        state.turn += 1;
        let at = state.turn.checked_rem(ready.len())?;
        ready.get(at).copied()
    }

    /// Looks at the entries again and again; it never ends by itself.
    pub async fn watch(self, client: Client) {
        loop {
            self.check_readiness(&client).await;
            actix_rt::time::sleep(LOOK).await;
        }
    }

    /// Looks at each entry once.
    pub async fn check_readiness(&self, client: &Client) {
        let entries: Vec<SocketAddr> = lock(&self.state).ready.keys().copied().collect();
        for entry in entries {
            let url = format!("http://{entry}/readyz");
            let looked = client.get(url).timeout(LOOK).send().await;
            let ready = looked.is_ok_and(|response| response.status().is_success());
            if let Some(known) = lock(&self.state).ready.get_mut(&entry) {
                *known = ready;
            }
        }
    }
}
