//! Keeps up to date what a gateway knows of servers that ended under requests: by its peers, the list
//! of servers, and the servers themselves.

use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_rt::time::sleep;
use clementinepick::ended_servers::ServerStart;
use clementinepick::event::{Event, EventKind};
use clementinepick::server_list::ServerList;
use futures_util::future::join_all;

use crate::directory::Directory;
use crate::gateway_ended::MAX_LOAD_WAIT;
use crate::gateway_ended_messages::{LOAD_PATH, LoadQuery, SharedRequest};
use crate::gateway_peer::{PeerCall, call_peer};
use crate::gateway_shared::Shared;
use crate::ledger::to_cbor;
use crate::link::to_span;
use crate::server_probe::{ServerFate, probe};

/// How long a peer may take to send all that it knows.
const LOAD_TIMEOUT: Duration = Duration::from_millis(200);
/// The number of peers that a process asks at its start. They also share what they learn with it,
/// until it is in their lists of processes.
const MAX_LOAD_PEERS: usize = 64;
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
/// How often a server that is counted as ended and still listed is asked.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Asks peers what they know, and then keeps it up to date until dropped.
pub(crate) async fn maintain_ended(shared: Rc<Shared>) {
    let started_at = Instant::now();
    // The peers in the settings may be gone before the list of processes is read.
    wait_for(&shared, SETTINGS_WAIT, |directory| {
        !directory.peers.is_empty()
    })
    .await;
    load(&shared, MAX_LOAD_PEERS).await;
    wait_for(&shared, MAX_LOAD_WAIT, |directory| {
        directory.has_read_processes
    })
    .await;
    load(&shared, MAX_LOAD_PEERS).await;
    shared.ended.set_loaded();
    let mut next_load = started_at + SECOND_LOAD_DELAY;
    let mut next_check = started_at;
    let mut peer_count = MAX_LOAD_PEERS;
    loop {
        sleep(LIST_INTERVAL).await;
        let now = Instant::now();
        if now >= next_load {
            load(&shared, peer_count).await;
            next_load = now + RELOAD_INTERVAL;
            peer_count = 1;
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
        if now >= next_check {
            check_ended(&shared, now).await;
            next_check = now + CHECK_INTERVAL;
        }
    }
}

/// Waits until the directory is as wanted, for `limit` at most.
async fn wait_for(shared: &Shared, limit: Duration, is_wanted: impl Fn(&Directory) -> bool) {
    const POLL_INTERVAL: Duration = Duration::from_millis(5);
    let end = Instant::now() + limit;
    while !is_wanted(&shared.directory()) && Instant::now() < end {
        sleep(POLL_INTERVAL).await;
    }
}

/// Asks up to `count` peers, chosen at random, for all that they know.
async fn load(shared: &Shared, count: usize) {
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
        call_peer::<Vec<SharedRequest>>(shared, peer, call)
    });
    for requests in join_all(calls).await.into_iter().flatten() {
        shared.merge_ended(requests, Instant::now());
    }
}

/// Updates what is known of servers by the list of servers, and tells peers which have ended.
async fn apply_list(shared: &Shared, list: &ServerList, now: Instant) {
    let now = shared.now_us(now);
    let known = &shared.ended.known;
    known.borrow_mut().expire(now);
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
    let due = suspected.into_iter().filter(|(_, lost_at)| {
        let age = now.since(*lost_at).0 / to_span(LIST_INTERVAL).0;
        RECHECK_AGES.contains(&age)
    });
    let ended = find_servers(shared, due.map(|(server, _)| server), ServerFate::Ended).await;
    for server in ended {
        let found = shared.ended.known.borrow_mut().mark_ended(&server);
        for key in found {
            shared.share_request(key, &[]).await;
        }
    }
}

/// Asks the servers that are counted as ended and still listed; those that respond count no longer.
async fn check_ended(shared: &Shared, now: Instant) {
    let doubtful = shared.ended.known.borrow().doubtful(shared.now_us(now));
    let alive = find_servers(shared, doubtful.into_iter(), ServerFate::Alive).await;
    for server in alive {
        shared.ended.known.borrow_mut().remove_server(&server);
        let event = Event::new(EventKind::ServerResponds).with("server", &server.id);
        shared.log(&event);
    }
}

/// Asks servers, all at the same time; returns those with this fate.
async fn find_servers(
    shared: &Shared,
    servers: impl Iterator<Item = ServerStart>,
    wanted: ServerFate,
) -> Vec<ServerStart> {
    let list = shared.directory().servers;
    let checks = servers.map(async |server| {
        let listed = list.servers.get(&server.id);
        let health_path = listed.and_then(|listed| shared.health_path(&listed.service));
        let fate = probe(server.address, &server.id, health_path.as_deref()).await;
        (fate == wanted).then_some(server)
    });
    join_all(checks).await.into_iter().flatten().collect()
}
