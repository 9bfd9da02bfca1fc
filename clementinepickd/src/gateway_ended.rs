//! Shares between gateways which servers ended under which requests, so that a request that ends the
//! servers which run it is given up wherever its caller returns.
//!
//! Each gateway has all of it in memory. It tells its peers of a server that has ended, or is silent and
//! may have, before its caller hears of the failure, and of a run of such a request before it starts. A
//! gateway that has just started asks its peers first, and reads what is recorded in the store.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_rt::time::{sleep, timeout};
use bytes::Bytes;
use clementinepick::ended_servers::{
    EndState, EndedServers, ISOLATION_THRESHOLD, MAX_ENDED_SERVERS, OpenRun, RequestEnds,
    ServerEnd, ServerStart,
};
use clementinepick::refusal::Refusal;
use clementinepick::request_key::RequestKey;
use clementinepick::units::SpanUs;
use derive_more::Display;
use futures_util::future::join_all;
use tokio::sync::{Mutex, Notify};

use crate::gateway_ended_messages::{
    HOLD_PATH, LOAD_PATH, LoadAnswer, LoadQuery, OVER_PATH, RequestOver, SharedRequest,
};
use crate::gateway_exchange::RoutedRequest;
use crate::gateway_other_runs::{SharedRead, Stall};
use crate::gateway_peer::{PeerCall, call_peer};
use crate::gateway_peer_updates::PeerUpdate;
use crate::gateway_shared::Shared;
use crate::gateway_trace::Trace;
use crate::ledger::{from_cbor, to_cbor};
use crate::link::to_span;
use crate::safeguard::Safeguard;
use crate::server_probe::{ServerFate, probe};

/// How long a peer may take to hear of a server that ended, or of a run, while the caller waits.
const HOLD_TIMEOUT: Duration = Duration::from_millis(100);
/// How long requests wait at a process that has just started for what its peers know.
pub(crate) const MAX_LOAD_WAIT: Duration = Duration::from_millis(400);
/// How long requests wait for what a lost process ran.
const MAX_RELOAD_WAIT: Duration = Duration::from_millis(150);
/// The number of requests that a peer sends, about 100 kB.
const MAX_LOADED_REQUESTS: usize = 512;
/// How long a process that has asked is called although it is not listed: lists of processes are
/// read every 20 s.
const JOINED_LIFETIME: Duration = Duration::from_mins(1);
/// A server that has sent something at most this long ago is not silent.
const HEARD_AGE: Duration = Duration::from_millis(200);
/// The time after a loss from which its server is asked again before the next run.
const MIN_RECHECK_AGE_US: SpanUs = SpanUs::from_ms(20);
/// How long to wait for the outcome of a run whose gateway may be lost, and how often to look.
const SETTLE_TIMEOUT: Duration = Duration::from_millis(600);
const SETTLE_INTERVAL: Duration = Duration::from_millis(50);

/// What this process knows of servers that ended under requests.
#[derive(Default)]
pub(crate) struct Ended {
    pub(crate) known: RefCell<EndedServers>,
    /// Processes that asked for it and may not be listed yet.
    joined: RefCell<BTreeMap<SocketAddr, Instant>>,
    /// When each listed server last sent anything.
    heard: RefCell<BTreeMap<ServerStart, Instant>>,
    is_loaded: Cell<bool>,
    /// The number of reads of what lost processes ran.
    reloads: Cell<usize>,
    /// When the last of them that succeeded began; held during a read.
    pub(crate) reloaded_at: Mutex<Option<Instant>>,
    loaded: Notify,
    /// What other processes have recorded.
    pub(crate) others: SharedRead,
    pub(crate) stall: Stall,
}

/// A read of what lost processes ran, for which requests wait; over when dropped.
pub(crate) struct Reload<'a>(&'a Ended);

impl Drop for Reload<'_> {
    fn drop(&mut self) {
        self.0.reloads.set(self.0.reloads.get() - 1);
        self.0.loaded.notify_waiters();
    }
}

impl Ended {
    /// Returns the number of requests under which servers have ended or may have.
    pub(crate) fn len(&self) -> usize {
        self.known.borrow().len()
    }

    /// Lets requests go on that wait for what peers know.
    pub(crate) fn set_loaded(&self) {
        self.is_loaded.set(true);
        self.loaded.notify_waiters();
    }

    /// Returns whether what other processes knew before this one started is known, or can't be had.
    pub(crate) fn is_loaded(&self) -> bool {
        self.is_loaded.get()
    }

    /// Records that a server has sent something.
    pub(crate) fn record_heard(&self, server: &ServerStart, now: Instant) {
        let mut heard = self.heard.borrow_mut();
        if let Some(at) = heard.get_mut(server) {
            *at = now;
        } else {
            heard.insert(server.clone(), now);
        }
    }

    /// Forgets when a server was last heard: what it sent before a loss says nothing.
    fn forget_heard(&self, server: &ServerStart) {
        self.heard.borrow_mut().remove(&server.as_listed());
    }

    /// Returns whether a server has sent something at `since` or later.
    pub(crate) fn was_heard(&self, server: &ServerStart, since: Instant) -> bool {
        let heard = self.heard.borrow();
        heard
            .get(&server.as_listed())
            .is_some_and(|at| *at >= since)
    }

    /// Forgets when servers were last heard that sent nothing since `since`.
    pub(crate) fn forget_unheard(&self, since: Instant) {
        self.heard.borrow_mut().retain(|_, at| *at >= since);
    }

    /// Makes requests wait until the returned guard is dropped.
    pub(crate) fn start_reload(&self) -> Reload<'_> {
        self.reloads.set(self.reloads.get() + 1);
        Reload(self)
    }

    pub(crate) async fn wait_until_loaded(&self) {
        while !self.is_loaded.get() || self.reloads.get() > 0 {
            self.loaded.notified().await;
        }
    }
}

/// A run of a request under which servers have ended, of which peers know.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct SharedRun {
    key: RequestKey,
    id: u64,
}

impl SharedRun {
    pub(crate) fn new(key: RequestKey, run: &OpenRun) -> Self {
        Self { key, id: run.id }
    }

    pub(crate) fn id(self) -> u64 {
        self.id
    }
}

/// The number of servers that ended under a request, or are silent and may have.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Display)]
pub(crate) struct EndCount(usize);

impl EndCount {
    /// Returns whether peers must know of the request's runs.
    pub(crate) fn is_shared(self) -> bool {
        self.0 > 0 && !Safeguard::EndedServers.is_disabled()
    }

    /// Returns whether the request must run nowhere any more.
    pub(crate) fn is_given_up(self) -> bool {
        self.0 >= MAX_ENDED_SERVERS && !Safeguard::EndedServers.is_disabled()
    }

    /// Returns whether the request must not run where another such request does.
    pub(crate) fn is_isolated(self) -> bool {
        self.0 >= ISOLATION_THRESHOLD && !Safeguard::EndedServers.is_disabled()
    }
}

impl Shared {
    /// Returns whether nothing is known of any request, so that keys need not be computed.
    pub(crate) fn has_no_ends(&self) -> bool {
        self.ended.known.borrow().is_empty()
    }

    /// Returns the number of servers that ended under a request.
    pub(crate) fn end_count(&self, key: RequestKey, now: Instant) -> EndCount {
        let known = self.ended.known.borrow();
        EndCount(known.count(self.now_us(now), key))
    }

    /// Adds the servers that ended under a given-up request to its trace, and when its caller may
    /// return.
    pub(crate) fn trace_given_up(&self, key: RequestKey, trace: &Trace, now: Instant) {
        let now = self.now_us(now);
        let known = self.ended.known.borrow();
        trace.add_field("content", &key);
        trace.add_field("ended_servers", &known.ended_ids(now, key).join(","));
        trace.retry_after.set(Some(known.retry_after(now, key)));
    }

    /// Returns the servers at which other requests run isolated.
    pub(crate) fn isolated_servers(&self, key: RequestKey, now: Instant) -> Vec<String> {
        let known = self.ended.known.borrow();
        let servers = known.isolated_servers(self.now_us(now), key);
        servers.into_iter().collect()
    }

    /// Records that a server lost the response to a request; it may have ended.
    pub(crate) fn record_suspected(&self, key: RequestKey, server: &ServerStart) {
        self.ended.forget_heard(server);
        self.add_end(key, server, EndState::Suspected);
    }

    /// Records what is known of a server that lost the response to a request; returns when peers know, if
    /// any server counts.
    pub(crate) async fn record_state(
        &self,
        key: RequestKey,
        server: &ServerStart,
        state: EndState,
    ) {
        self.add_end(key, server, state);
        if self.end_count(key, Instant::now()).is_shared() {
            self.share_request(key, &[]).await;
        } else if self.is_request_shared(key) {
            self.announce(key, Vec::new());
        }
    }

    /// Returns whether peers must know of a request.
    fn is_request_shared(&self, key: RequestKey) -> bool {
        let now = self.now_us(Instant::now());
        let known = self.ended.known.borrow();
        known.get(now, key).is_some_and(RequestEnds::is_shared)
    }

    pub(crate) fn add_end(&self, key: RequestKey, server: &ServerStart, state: EndState) {
        let now = self.now_us(Instant::now());
        let end = ServerEnd {
            server: server.clone(),
            lost_at: now,
            state,
        };
        self.ended.known.borrow_mut().record(now, key, end);
    }

    /// Asks the servers that may have ended under a request, or may be running it for a process that
    /// was lost.
    pub(crate) async fn recheck_suspected(&self, key: RequestKey, service: &str) {
        if self.has_no_ends() {
            return;
        }
        let now = self.now_us(Instant::now());
        let known = &self.ended.known;
        let suspected = known.borrow().suspected_of(now, key, MIN_RECHECK_AGE_US);
        let running = known.borrow().run_servers(now, key);
        let health_path = self.health_path(service);
        let is_suspected = |server: &ServerStart| suspected.contains(server);
        let other = running.iter().filter(|server| !is_suspected(server));
        let checks = suspected.iter().chain(other).map(async |server| {
            let fate = self.find_fate(server, health_path.as_deref()).await;
            (server, fate)
        });
        for (server, fate) in join_all(checks).await {
            if fate == ServerFate::Ended {
                self.record_state(key, server, EndState::Ended).await;
            } else if is_suspected(server) {
                self.update_suspected(key, server, fate);
            }
        }
    }

    /// Finds out whether a server has ended; one that has just sent something is not asked.
    pub(crate) async fn find_fate(
        &self,
        server: &ServerStart,
        health_path: Option<&str>,
    ) -> ServerFate {
        if self.is_heard(server, Instant::now()) {
            return ServerFate::Alive;
        }
        let fate = probe(server.address, &server.id, health_path).await;
        // A busy server may not respond to a health check in time and yet serve other requests.
        let is_unclear = matches!(fate, ServerFate::Unknown | ServerFate::Hanging);
        if is_unclear && self.is_heard(server, Instant::now()) {
            return ServerFate::Alive;
        }
        fate
    }

    /// Returns whether a server has just sent something.
    pub(crate) fn is_heard(&self, server: &ServerStart, now: Instant) -> bool {
        let since = now.checked_sub(HEARD_AGE);
        since.is_some_and(|since| self.ended.was_heard(server, since))
    }

    /// Records whether a server that may have ended is silent.
    fn update_suspected(&self, key: RequestKey, server: &ServerStart, fate: ServerFate) {
        let now = self.now_us(Instant::now());
        let mut known = self.ended.known.borrow_mut();
        match fate {
            ServerFate::Accepting => known.mark_accepting(server),
            ServerFate::Alive | ServerFate::Responding => {
                drop(known);
                self.record_responding(server, Instant::now());
            }
            ServerFate::Hanging => known.mark_unheard(now, server),
            ServerFate::Unknown => known.mark_silent(now, key, server),
            ServerFate::Ended => {}
        }
    }

    /// Records that a run of which peers know is over, and that its server has not ended.
    pub(crate) fn finish_run(&self, run: SharedRun) {
        let now = self.now_us(Instant::now());
        let mut known = self.ended.known.borrow_mut();
        known.finish_run(now, run.key, run.id);
        drop(known);
        self.report_over(RequestOver::Run(run.key, run.id));
    }

    /// Records that a server has answered a request, and tells peers if they know it.
    pub(crate) fn record_answered(&self, key: RequestKey) {
        let now = self.now_us(Instant::now());
        let mut known = self.ended.known.borrow_mut();
        let is_shared = known.get(now, key).is_some_and(RequestEnds::is_shared);
        known.forget(key);
        drop(known);
        if is_shared {
            self.report_over(RequestOver::Answered(key));
        }
    }

    /// Returns the peers that must know of requests under which servers have ended.
    pub(crate) fn ended_peers(&self, now: Instant) -> Vec<SocketAddr> {
        let directory = self.directory();
        let mut joined = self.ended.joined.borrow_mut();
        joined.retain(|_, at| now.saturating_duration_since(*at) < JOINED_LIFETIME);
        let mut peers: Vec<SocketAddr> = directory.peers.iter().copied().collect();
        peers.extend(joined.keys());
        peers.sort_unstable();
        peers.dedup();
        peers.retain(|peer| *peer != self.peer_address && !self.homes.is_silent(*peer, now));
        peers
    }

    pub(crate) fn report_over(&self, over: RequestOver) {
        // The receiver ends only with the process.
        let _ = self.updates.send(PeerUpdate::Over(over));
    }

    /// Tells all peers which servers have ended under a request, and of a run that is to start, and
    /// waits until they know and it is recorded; returns false if one of them knows of another
    /// request's isolated run at the same server.
    pub(crate) async fn share_request(&self, key: RequestKey, runs: &[OpenRun]) -> bool {
        let now = Instant::now();
        let Some(request) = self.ended_request(key, runs, now) else {
            return true;
        };
        let body = to_cbor(&vec![request]);
        let calls = self.ended_peers(now).into_iter().map(|peer| {
            let call = PeerCall {
                path: HOLD_PATH,
                body: body.clone(),
                limit: HOLD_TIMEOUT,
            };
            call_peer::<bool>(self, peer, call)
        });
        self.request_log.queue(key);
        let recorded = self.wait_until_recorded(HOLD_TIMEOUT);
        let (answers, ()) = futures_util::join!(join_all(calls), recorded);
        !answers.contains(&Some(false))
    }

    pub(crate) fn ended_request(
        &self,
        key: RequestKey,
        runs: &[OpenRun],
        now: Instant,
    ) -> Option<SharedRequest> {
        let now = self.now_us(now);
        let known = self.ended.known.borrow();
        let request = known.get(now, key)?;
        Some(SharedRequest::new(now, key, &request.ends, runs))
    }

    pub(crate) fn start_known_run(&self, key: RequestKey, run: &OpenRun, now: Instant) -> bool {
        let now = self.now_us(now);
        let mut known = self.ended.known.borrow_mut();
        known.start_run(now, key, run.clone())
    }

    /// Returns the runs of a request that has ended servers for whose outcome its next run must wait:
    /// they would be the last ones if their servers have ended.
    pub(crate) fn decisive_runs(&self, key: RequestKey, now: Instant) -> Vec<OpenRun> {
        let now = self.now_us(now);
        let known = self.ended.known.borrow();
        let mut runs = known.open_runs(now, key);
        let count = known.count(now, key);
        if count == 0 || count + runs.len() < MAX_ENDED_SERVERS {
            runs.clear();
        }
        runs
    }

    /// Adds what a peer knows; returns false if an isolated run of its would be at the same server as
    /// one that is known here.
    pub(crate) fn merge_ended(&self, requests: Vec<SharedRequest>, now: Instant) -> bool {
        let now = self.now_us(now);
        let mut known = self.ended.known.borrow_mut();
        let mut is_accepted = true;
        for request in requests {
            let key = request.key;
            is_accepted &= known.merge(now, key, request.into_request(now));
        }
        is_accepted
    }
}

/// Starts a run of a request under which servers have ended; `None` if it must be isolated and
/// another request's isolated run is at the same server, or if it must wait for the outcome of the
/// same request's other runs.
///
/// Peers know of the run before it starts: if this process is lost, they find out whether the server
/// has ended.
pub(crate) async fn start_run(
    shared: &Rc<Shared>,
    key: RequestKey,
    server: ServerStart,
    ends: EndCount,
    time_left: Duration,
) -> Option<SharedRun> {
    let now = Instant::now();
    let run = OpenRun {
        id: rand::random(),
        server,
        is_isolated: ends.is_isolated(),
        expires_at: shared.now_us(now).after(to_span(time_left)),
    };
    if !shared.start_known_run(key, &run, now) {
        return None;
    }
    let shared_run = SharedRun::new(key, &run);
    if shared.share_request(key, &[run]).await {
        return Some(shared_run);
    }
    shared.finish_run(shared_run);
    None
}

/// Refuses a request under which too many servers have ended.
pub(crate) async fn check_request(
    shared: &Shared,
    routed: &RoutedRequest<'_>,
    trace: &Trace,
) -> Result<(), Refusal> {
    let limit = if shared.ended.is_loaded() {
        MAX_RELOAD_WAIT
    } else {
        MAX_LOAD_WAIT
    };
    // A failure means that peers and the store did not respond in time; the request is served without
    // them.
    let _ = timeout(limit, shared.ended.wait_until_loaded()).await;
    shared.wait_after_stall().await;
    if shared.has_no_ends() {
        return Ok(());
    }
    let key = routed.content_key();
    shared.recheck_suspected(key, routed.service).await;
    settle_runs(shared, key, routed.service).await;
    let now = Instant::now();
    if !shared.end_count(key, now).is_given_up() {
        return Ok(());
    }
    shared.trace_given_up(key, trace, now);
    Err(Refusal::ServersEnded)
}

/// Waits for the outcome of runs: if their gateway is lost, nobody else would notice that their
/// servers have ended.
async fn settle_runs(shared: &Shared, key: RequestKey, service: &str) {
    let give_up_at = Instant::now() + SETTLE_TIMEOUT;
    while !shared.decisive_runs(key, Instant::now()).is_empty() && Instant::now() < give_up_at {
        probe_runs(shared, key, service).await;
        sleep(SETTLE_INTERVAL).await;
    }
}

/// Asks the servers of runs for whose outcome the request's next run must wait.
pub(crate) async fn probe_runs(shared: &Shared, key: RequestKey, service: &str) {
    let health_path = shared.health_path(service);
    for run in shared.decisive_runs(key, Instant::now()) {
        let server = &run.server;
        let fate = probe(server.address, &server.id, health_path.as_deref()).await;
        if fate == ServerFate::Ended {
            shared.record_state(key, server, EndState::Ended).await;
        }
    }
}

/// Handles a peer's call about servers that ended; `None` for other paths.
pub(crate) fn handle_ended_call(
    shared: &Shared,
    path: &str,
    body: &[u8],
    now: Instant,
) -> Option<(u16, Bytes)> {
    let answer = match path {
        HOLD_PATH => from_cbor(body).map(|requests| to_cbor(&shared.merge_ended(requests, now))),
        OVER_PATH => from_cbor(body).map(|over| to_cbor(&apply_over(shared, over, now))),
        LOAD_PATH => from_cbor(body).map(|query| to_cbor(&answer_load(shared, query, now))),
        _ => return None,
    };
    Some(answer.map_or((400, Bytes::new()), |body| (200, body)))
}

fn apply_over(shared: &Shared, over: Vec<RequestOver>, now: Instant) {
    let now = shared.now_us(now);
    let mut known = shared.ended.known.borrow_mut();
    for over in over {
        match over {
            RequestOver::Answered(key) => known.forget(key),
            RequestOver::Run(key, run) => known.finish_run(now, key, run),
            RequestOver::Responds(server) => {
                known.mark_responding(&server, now);
            }
        }
    }
}

fn answer_load(shared: &Shared, query: LoadQuery, now: Instant) -> LoadAnswer {
    shared.ended.joined.borrow_mut().insert(query.address, now);
    let now = shared.now_us(now);
    let known = shared.ended.known.borrow();
    let requests = known.newest(now, MAX_LOADED_REQUESTS);
    let requests = requests.iter();
    let requests =
        requests.map(|(key, request)| SharedRequest::new(now, *key, &request.ends, &request.runs));
    LoadAnswer {
        is_loaded: shared.ended.is_loaded(),
        requests: requests.collect(),
    }
}
