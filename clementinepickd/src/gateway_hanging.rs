//! Finds out whether a server hangs for good that accepts connections and has sent nothing since the run
//! of a request was given up there.
//!
//! A busy server may be late with its health checks. It is told from one that hangs by what it sends to
//! anybody: to health checks that wait for longer, and to the other requests of any gateway.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_rt::time::sleep;
use clementinepick::ended_servers::{HANG_CHECK_US, ServerStart};
use clementinepick::rendezvous::rank_addresses;
use tokio::task::JoinSet;

use crate::gateway_ended_messages::RequestOver;
use crate::gateway_ended_upkeep::apply_fate;
use crate::gateway_shared::Shared;
use crate::link::duration;
use crate::server_probe::{ServerFate, probe_for};

/// The number of health checks without a response after which a server hangs.
const HANG_CHECKS: u32 = 2;
/// How often servers are looked for that are to be checked, or have been heard.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// The name in logs and metrics of the check of a server.
const CHECK_PART: &str = "server_check";
/// The number of processes that check a server; they tell the others.
const CHECKERS: usize = 3;

/// Checks servers that have not been heard since a run was given up, until dropped.
pub(crate) async fn check_unheard(shared: Rc<Shared>) {
    let mut checked = BTreeSet::new();
    let mut checks = JoinSet::new();
    loop {
        tokio::select! {
            Some(ended) = checks.join_next() => {
                if let Some(server) = shared.tasks.joined(CHECK_PART, ended) {
                    checked.remove(&server);
                }
            }
            () = sleep(CHECK_INTERVAL) => {}
        }
        for server in find_unheard(&shared, Instant::now()) {
            if !is_checker(&shared, &server) || !checked.insert(server.clone()) {
                continue;
            }
            let shared = Rc::clone(&shared);
            checks.spawn_local(async move {
                let checked = shared.tasks.contain(CHECK_PART, check(&shared, &server));
                if checked.await.is_none() {
                    sleep(duration(HANG_CHECK_US)).await;
                }
                server
            });
        }
    }
}

/// Returns the servers that nobody has heard since a run was given up there.
fn find_unheard(shared: &Shared, now: Instant) -> Vec<ServerStart> {
    if shared.has_no_ends() {
        return Vec::new();
    }
    let unheard = shared.ended.known.borrow().unheard(shared.now_us(now));
    let mut remaining = Vec::new();
    for (server, lost_at) in unheard {
        let age = duration(shared.now_us(now).since(lost_at));
        let lost_at = now.checked_sub(age);
        if lost_at.is_some_and(|lost_at| shared.ended.was_heard(&server, lost_at)) {
            shared.record_responding(&server, now);
        } else {
            remaining.push(server);
        }
    }
    remaining
}

/// Returns whether this process is one of those that check a server.
fn is_checker(shared: &Shared, server: &ServerStart) -> bool {
    let own = shared.peer_address;
    let processes = shared.ended_peers(Instant::now()).into_iter().chain([own]);
    rank_addresses(&server.id, processes, CHECKERS).contains(&own)
}

/// Sends health checks to a server, and records what has become of it.
async fn check(shared: &Shared, server: &ServerStart) {
    let limit = duration(HANG_CHECK_US) / HANG_CHECKS;
    for _ in 0..HANG_CHECKS {
        let started_at = Instant::now();
        let health_path = shared.health_path_of(&server.id);
        let fate = probe_for(limit, server.address, &server.id, health_path.as_deref()).await;
        if fate != ServerFate::Hanging {
            for key in apply_fate(shared, server, fate) {
                shared.share_request(key, &[]).await;
            }
            // One that refuses connections is not asked without a pause.
            sleep(limit.saturating_sub(started_at.elapsed())).await;
            return;
        }
    }
    let found = shared.ended.known.borrow_mut().mark_hung(server);
    for key in found {
        shared.share_request(key, &[]).await;
    }
}

impl Shared {
    /// Records that a server has sent something, and tells peers if they may take it for one that hangs.
    pub(crate) fn record_responding(&self, server: &ServerStart, now: Instant) {
        let now = self.now_us(now);
        let was_unheard = self.ended.known.borrow_mut().mark_responding(server, now);
        if was_unheard {
            self.report_over(RequestOver::Responds(server.clone()));
        }
    }
}
