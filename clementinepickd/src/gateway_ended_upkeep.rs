//! Keeps up to date what a gateway knows of servers that ended under requests: by its peers, the list
//! of servers, and the servers themselves.

use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_rt::time::sleep;
use clementinepick::ended_servers::ServerStart;
use clementinepick::event::{Event, EventKind};
use clementinepick::request_key::RequestKey;
use clementinepick::server_list::ServerList;
use futures_util::future::join_all;
use futures_util::join;

use crate::directory::Directory;
use crate::gateway_ended::MAX_LOAD_WAIT;
use crate::gateway_ended_messages::{LOAD_PATH, LoadAnswer, LoadQuery};
use crate::gateway_peer::{PeerCall, call_peer};
use crate::gateway_shared::Shared;
use crate::ledger::to_cbor;
use crate::link::to_span;
use crate::server_probe::ServerFate;

/// How long a peer may take to send all that it knows.
const LOAD_TIMEOUT: Duration = Duration::from_millis(200);
/// The number of peers that a process asks at its start. They also share what they learn with it,
/// until it is in their lists of processes.
const MAX_LOAD_PEERS: usize = 64;
/// How long requests wait for the store to say what was known before this process started, from the
/// time at which this process could serve them.
const MAX_STORE_WAIT: Duration = Duration::from_secs(1);
/// The pause after a failed read of the store.
const LOAD_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// How long the peers of the settings may take to be published; there may be none.
const SETTINGS_WAIT: Duration = Duration::from_millis(50);
/// The time of the second round of asking: by then, processes that started together are listed.
const SECOND_LOAD_DELAY: Duration = Duration::from_secs(3);
/// How often a process asks a peer again, in case it was cut off while another one shared a request.
const RELOAD_INTERVAL: Duration = Duration::from_secs(5);
/// How often the list of servers is applied, and suspected servers are looked at.
const LIST_INTERVAL: Duration = Duration::from_millis(250);
/// The ages, in [`LIST_INTERVAL`]s, of a loss at which its server is asked again.
const RECHECK_AGES: [u64; 4] = [1, 2, 4, 8];
/// How often, in [`LIST_INTERVAL`]s, a server that is silent is asked again after that.
const SILENT_RECHECK_INTERVALS: u64 = 4;
/// How often requests that have expired or were answered are forgotten in the store.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(2);
/// How often a server that is counted as ended and still listed is asked.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Asks peers and the store what they know, and then keeps it up to date until dropped.
pub(crate) async fn maintain_ended(shared: Rc<Shared>) {
    let started_at = Instant::now();
    let mut is_store_read = load_at_start(&shared).await;
    let mut next_load = started_at + SECOND_LOAD_DELAY;
    let mut next_check = started_at;
    let mut next_cleanup = started_at;
    let mut peer_count = MAX_LOAD_PEERS;
    loop {
        sleep(LIST_INTERVAL).await;
        let now = Instant::now();
        if now >= next_load {
            load(&shared, peer_count).await;
            is_store_read = is_store_read || shared.load_requests().await.is_ok();
            next_load = now + RELOAD_INTERVAL;
            peer_count = 1;
        }
        if now >= next_cleanup {
            forget_expired(&shared, now);
            next_cleanup = now + CLEANUP_INTERVAL;
        }
        if shared.has_no_ends() {
            continue;
        }
        check_suspected(&shared, now).await;
        let list = shared.current_servers(now);
        let Some(list) = list.filter(|list| !list.servers.is_empty()) else {
            continue;
        };
        apply_list(&shared, &list, now).await;
        check_unlisted(&shared, &list, now).await;
        if now >= next_check {
            check_ended(&shared, now).await;
            next_check = now + CHECK_INTERVAL;
        }
    }
}

/// Loads what peers and the store know, and lets requests go on that wait for it: once the first peers and
/// the store have responded, or if that takes too long. Returns whether the store has responded.
async fn load_at_start(shared: &Rc<Shared>) -> bool {
    // Peers that have lost power let their calls hang. One that answers late may have learned meanwhile
    // what the store did not have yet, so that requests wait for both.
    let (is_store_read, has_peer_loaded) =
        join!(load_from_store(shared), load_from_first_peers(shared));
    if is_store_read || has_peer_loaded {
        shared.ended.set_loaded();
    }
    wait_for(shared, MAX_LOAD_WAIT, |directory| {
        directory.has_read_processes
    })
    .await;
    load(shared, MAX_LOAD_PEERS).await;
    shared.ended.set_loaded();
    is_store_read
}

/// Loads what the peers in the settings know, which may be gone before the list of processes is read;
/// returns whether one of them has completed its own load.
async fn load_from_first_peers(shared: &Rc<Shared>) -> bool {
    wait_for(shared, SETTINGS_WAIT, |directory| {
        !directory.peers.is_empty()
    })
    .await;
    let is_loaded = load(shared, MAX_LOAD_PEERS).await;
    if is_loaded {
        shared.ended.set_loaded();
    }
    is_loaded
}

/// Loads what the store knows, until it has responded or requests have waited long enough; returns
/// whether it has.
async fn load_from_store(shared: &Rc<Shared>) -> bool {
    let mut can_serve_since = None;
    loop {
        let is_read = shared.load_requests().await.is_ok();
        if shared.directory().config.is_some() {
            can_serve_since.get_or_insert_with(Instant::now);
        }
        let has_waited = can_serve_since.is_some_and(|at| at.elapsed() >= MAX_STORE_WAIT);
        if is_read || has_waited {
            return is_read;
        }
        sleep(LOAD_RETRY_INTERVAL).await;
    }
}

/// Forgets requests that have expired, also in the store.
fn forget_expired(shared: &Shared, now: Instant) {
    if let Some(since) = now.checked_sub(CLEANUP_INTERVAL) {
        shared.ended.forget_unheard(since);
    }
    let now = shared.now_us(now);
    let mut known = shared.ended.known.borrow_mut();
    known.expire(now);
    shared
        .request_log
        .queue_forgotten(|key| known.get(now, key).is_some());
}

/// Waits until the directory is as wanted, for `limit` at most.
async fn wait_for(shared: &Shared, limit: Duration, is_wanted: impl Fn(&Directory) -> bool) {
    const POLL_INTERVAL: Duration = Duration::from_millis(5);
    let end = Instant::now() + limit;
    while !is_wanted(&shared.directory()) && Instant::now() < end {
        sleep(POLL_INTERVAL).await;
    }
}

/// Loads what peers and the store know, after this process was stalled; requests wait for it.
pub(crate) async fn reload_all(shared: Rc<Shared>) {
    futures_util::join!(load(&shared, MAX_LOAD_PEERS), shared.reload_requests());
}

/// Asks up to `count` peers, chosen at random, for all that they know; returns whether one of them has
/// completed its own load.
async fn load(shared: &Shared, count: usize) -> bool {
    let mut peers = shared.ended_peers(Instant::now());
    while peers.len() > count {
        peers.swap_remove(rand::random_range(0..peers.len()));
    }
    let body = to_cbor(&LoadQuery {
        address: shared.peer_address,
    });
    let calls = peers.into_iter().map(|peer| {
        let call = PeerCall {
            path: LOAD_PATH,
            body: body.clone(),
            limit: LOAD_TIMEOUT,
        };
        call_peer::<LoadAnswer>(shared, peer, call)
    });
    let mut is_loaded = false;
    for answer in join_all(calls).await.into_iter().flatten() {
        is_loaded |= answer.is_loaded;
        shared.merge_ended(answer.requests, Instant::now());
    }
    is_loaded
}

/// Updates what is known of servers by the list of servers, and tells peers which have ended.
async fn apply_list(shared: &Shared, list: &ServerList, now: Instant) {
    let now = shared.now_us(now);
    let known = &shared.ended.known;
    let found = known.borrow_mut().apply_list(now, list);
    for key in found {
        shared.share_request(key, &[]).await;
    }
}

/// Asks servers that lost a response lately: one that did so by a timeout may have ended since, while
/// the request's caller returns to another process.
async fn check_suspected(shared: &Shared, now: Instant) {
    let now = shared.now_us(now);
    let suspected = shared.ended.known.borrow().suspected(now);
    let silent = shared.ended.known.borrow().silent(now);
    let due = suspected.into_iter().filter(|(server, lost_at)| {
        let age = now.since(*lost_at).0 / to_span(LIST_INTERVAL).0;
        let is_silent = || silent.contains(server);
        let is_silent_due = age.is_multiple_of(SILENT_RECHECK_INTERVALS) && is_silent();
        RECHECK_AGES.contains(&age) || is_silent_due
    });
    for (server, fate) in find_fates(shared, due.map(|(server, _)| server)).await {
        for key in apply_fate(shared, &server, fate) {
            shared.share_request(key, &[]).await;
        }
    }
}

/// Records what became of a server that may have ended; returns the requests under which it is newly
/// counted.
pub(crate) fn apply_fate(
    shared: &Shared,
    server: &ServerStart,
    fate: ServerFate,
) -> Vec<RequestKey> {
    let known = &shared.ended.known;
    match fate {
        ServerFate::Ended => known.borrow_mut().mark_ended(server),
        ServerFate::Unknown => known.borrow_mut().mark_all_silent(server),
        ServerFate::Hanging => {
            let now = shared.now_us(Instant::now());
            known.borrow_mut().mark_unheard(now, server);
            Vec::new()
        }
        ServerFate::Accepting => {
            known.borrow_mut().mark_accepting(server);
            Vec::new()
        }
        ServerFate::Alive | ServerFate::Responding => {
            shared.record_responding(server, Instant::now());
            Vec::new()
        }
    }
}

/// Asks the servers that were left with a run and are listed no longer: one that goes on was removed as
/// planned.
async fn check_unlisted(shared: &Shared, list: &ServerList, now: Instant) {
    let now = shared.now_us(now);
    let left = shared.ended.known.borrow().unlisted_left(now, list);
    for (server, fate) in find_fates(shared, left.into_iter()).await {
        let found = match fate {
            ServerFate::Alive
            | ServerFate::Responding
            | ServerFate::Accepting
            | ServerFate::Hanging => {
                shared.ended.known.borrow_mut().remove_left(&server);
                Vec::new()
            }
            ServerFate::Ended | ServerFate::Unknown => {
                shared.ended.known.borrow_mut().mark_ended(&server)
            }
        };
        for key in found {
            shared.share_request(key, &[]).await;
        }
    }
}

/// Asks the servers that are counted as ended and still listed; those that respond count no longer.
async fn check_ended(shared: &Shared, now: Instant) {
    let current_since = shared.directory().servers_current_since.unwrap_or(now);
    let (now, current_since) = (shared.now_us(now), shared.now_us(current_since));
    let doubtful = shared.ended.known.borrow().doubtful(now, current_since);
    let fates = find_fates(shared, doubtful.into_iter()).await;
    let is_running = |fate| matches!(fate, ServerFate::Alive | ServerFate::Responding);
    let alive = fates.into_iter().filter(|(_, fate)| is_running(*fate));
    for (server, _) in alive {
        shared.ended.known.borrow_mut().remove_server(&server);
        let event = Event::new(EventKind::ServerResponds).with("server", &server.id);
        shared.log(&event);
    }
}

/// Asks servers, all at the same time, what became of them.
async fn find_fates(
    shared: &Shared,
    servers: impl Iterator<Item = ServerStart>,
) -> Vec<(ServerStart, ServerFate)> {
    let list = shared.directory().servers;
    let checks = servers.map(async |server| {
        let listed = list.servers.get(&server.id);
        let health_path = listed.and_then(|listed| shared.health_path(&listed.service));
        let fate = shared.find_fate(&server, health_path.as_deref()).await;
        (server, fate)
    });
    join_all(checks).await
}
