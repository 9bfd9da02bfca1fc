//! Calls the platform's store, directly or through a peer.
//!
//! Every call may be repeated: reads change nothing, appends of turns carry records that never
//! change, and appends of budget slices carry a condition that only one copy can meet.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use actix_http::header::HeaderMap;
use actix_http::{Method, Uri};
use actix_rt::time::{sleep, timeout};
use clementinepick::outage_detector::{EndedOutage, FailureKind, OutageDetector};
use platform::store::{NewestPage, Topic, decode_end, newest_target};
use rand::RngExt;
use thiserror::Error;
use tokio::sync::{Notify, watch};

use crate::directory::Directory;
use crate::gateway_metrics::GatewayMetrics;
use crate::key_order::KeyOrder;
use crate::list_priority::ListPriority;
use crate::monotonic_clock::MonotonicClock;
use crate::outbound::{Connection, OutboundError, OutboundRequest};
use crate::outbound_pool::ConnectionPool;
use crate::store_attempt::{Attempt, AttemptOutcome};
pub(crate) use crate::store_call::{StoreCall, StoreCounts, StorePurpose, StoreReply};

/// The maximum timeout of one attempt. A store that responds later counts as unavailable; one that
/// is 60 times slower than usual responds within 300 ms.
const MAX_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(600);
/// The minimum timeout of one attempt. A store that usually responds in 10 ms and has not done so
/// in this time probably will not respond at all, while a peer may reach it.
const MIN_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(150);
/// The timeout of an attempt as a multiple of the mean response time; the slowest of a thousand
/// responses of a healthy store takes four times the mean.
const TIMEOUT_MEANS: u32 = 8;
/// How often the timeout of an attempt is doubled at most while the store does not respond.
const MAX_TIMEOUT_DOUBLINGS: u32 = 2;
/// The divisor of the moving average of response times.
const MEAN_DIVISOR: u32 = 8;
/// How long opening a connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// The number of consecutive failures after which the store counts as unavailable and only one call
/// at a time is attempted. If one response in ten is lost, so many consecutive losses are rarer
/// than one in a thousand.
const UNAVAILABLE_FAILURES: u32 = 3;
/// The first backoff after a failure; it doubles with each one.
const MIN_BACKOFF: Duration = Duration::from_millis(20);
/// The maximum backoff between two attempts, and thus the time for which a recovered store may go
/// unnoticed.
const MAX_BACKOFF: Duration = Duration::from_millis(200);
/// The maximum size of a response, in bytes: a page of 1 MB of records, in base64 with its keys.
const MAX_RESPONSE_BYTES: usize = 2_097_152;

/// The store did not respond before the deadline; an append may or may not have been done.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the store is unavailable")]
pub(crate) struct StoreUnavailable;

/// A client of the store; one for each thread that uses the store, and one for each list that is
/// followed, so that a partition that is unavailable delays no other.
pub(crate) struct StoreClient {
    address: SocketAddr,
    pool: ConnectionPool,
    relays: Rc<RefCell<Vec<SocketAddr>>>,
    /// The peer that last relayed a call of this process.
    relay: Cell<Option<SocketAddr>>,
    /// The number of consecutive failures, direct and relayed.
    failures: Cell<u32>,
    /// Whether the last direct attempt failed.
    is_direct_down: Cell<bool>,
    /// The mean response time; `None` before the first response.
    mean: Cell<Option<Duration>>,
    /// The number of consecutive direct attempts without a response on new connections.
    timeouts: Cell<u32>,
    clock: MonotonicClock,
    outage: RefCell<OutageDetector>,
    /// The last outage, until it is taken.
    ended_outage: Cell<Option<EndedOutage>>,
    failing_since: Cell<Option<Instant>>,
    is_probing: Cell<bool>,
    recovered: Notify,
    counts: Cell<StoreCounts>,
    metrics: Arc<GatewayMetrics>,
    /// Holds calls back that compete with reads of the lists.
    priority: Option<ListPriority>,
    key_order: Cell<KeyOrder>,
}

impl StoreClient {
    /// Creates a client of the store at `address`, which counts its calls in `metrics`.
    pub(crate) fn new(address: SocketAddr, metrics: Arc<GatewayMetrics>) -> Self {
        Self::with_relays(address, metrics, Rc::default())
    }

    /// Creates a client that shares nothing with this one but the relays and the metrics.
    pub(crate) fn independent_client(&self) -> Self {
        let (metrics, relays) = (Arc::clone(&self.metrics), Rc::clone(&self.relays));
        Self::with_relays(self.address, metrics, relays)
    }

    fn with_relays(
        address: SocketAddr,
        metrics: Arc<GatewayMetrics>,
        relays: Rc<RefCell<Vec<SocketAddr>>>,
    ) -> Self {
        Self {
            metrics,
            address,
            pool: ConnectionPool::default(),
            relays,
            relay: Cell::new(None),
            failures: Cell::new(0),
            is_direct_down: Cell::new(false),
            mean: Cell::new(None),
            timeouts: Cell::new(0),
            clock: MonotonicClock::starting_at(Instant::now()),
            outage: RefCell::default(),
            ended_outage: Cell::new(None),
            failing_since: Cell::new(None),
            is_probing: Cell::new(false),
            recovered: Notify::new(),
            counts: Cell::default(),
            priority: None,
            key_order: Cell::default(),
        }
    }

    /// Makes calls that can wait give way to reads of the lists in `directory`.
    pub(crate) fn with_priority_of_lists(mut self, directory: watch::Receiver<Directory>) -> Self {
        self.priority = Some(ListPriority::new(directory));
        self
    }

    /// Sets the peers that relay calls while the store does not respond to this process.
    pub(crate) fn set_relays(&self, relays: Vec<SocketAddr>) {
        *self.relays.borrow_mut() = relays;
    }

    /// Returns whether the store counts as unavailable, directly and through peers.
    pub(crate) fn is_unavailable(&self) -> bool {
        self.failures.get() >= UNAVAILABLE_FAILURES
    }

    /// Returns how long the store has been unavailable; zero while it is available.
    pub(crate) fn unavailable_for(&self, now: Instant) -> Duration {
        let since = self.failing_since.get().filter(|_| self.is_unavailable());
        since.map_or(Duration::ZERO, |at| now.saturating_duration_since(at))
    }

    /// Returns whether the store does not respond to this process directly.
    pub(crate) fn is_direct_down(&self) -> bool {
        self.is_direct_down.get()
    }

    /// Returns the last outage that has ended, once.
    pub(crate) fn take_ended_outage(&self) -> Option<EndedOutage> {
        self.ended_outage.take()
    }

    /// Returns how much longer entries that expired in an outage are kept; zero without an outage.
    pub(crate) fn grace_left(&self, now: Instant) -> Duration {
        let left = self.outage.borrow().grace_left(self.clock.at(now));
        Duration::from_micros(left.0)
    }

    /// Counts an answer that can't be read.
    pub(crate) fn count_unreadable(&self, purpose: StorePurpose, reply: &StoreReply) {
        self.metrics.count_unreadable(purpose.label(), reply.status);
    }

    /// Observes the order of a page that was asked for after a key.
    pub(crate) fn observe_order(&self, after: Option<&str>, page: &NewestPage) {
        let mut order = self.key_order.get();
        order.observe(after, page);
        self.key_order.set(order);
    }

    /// Returns whether the pages that were read show the order of keys.
    pub(crate) fn is_ordered_by_key(&self) -> bool {
        self.key_order.get().is_by_key()
    }

    /// Counts items of a page that can't be read.
    pub(crate) fn count_unreadable_items(&self, purpose: StorePurpose, count: usize) {
        self.metrics.count_unreadable_items(purpose.label(), count);
    }

    pub(crate) fn counts(&self) -> StoreCounts {
        self.counts.get()
    }

    pub(crate) fn close_stale(&self, now: Instant) {
        self.pool.close_stale(now);
    }

    /// Repeats a call until it gets a response or the deadline passes.
    pub(crate) async fn call(
        &self,
        call: &StoreCall,
        deadline: Instant,
    ) -> Result<StoreReply, StoreUnavailable> {
        let mut backoff = MIN_BACKOFF;
        let hold_limit = ListPriority::hold_limit(Instant::now(), deadline);
        loop {
            if let Some(priority) = &self.priority {
                priority
                    .hold(call.purpose, Instant::now(), hold_limit)
                    .await;
            }
            let now = Instant::now();
            let left = deadline.saturating_duration_since(now);
            if left.is_zero() {
                return Err(StoreUnavailable);
            }
            if self.is_unavailable() && self.is_probing.get() {
                // Another call is probing the store. If every waiting call did, all would load the
                // store just as it recovers.
                let _ = timeout(left.min(MAX_BACKOFF), self.recovered.notified()).await;
                continue;
            }
            let should_probe = self.is_unavailable();
            let probe_guard = should_probe.then(|| ProbeGuard::new(&self.is_probing));
            let reply = self.try_once(call, left).await;
            drop(probe_guard);
            if let Some(reply) = reply {
                return Ok(reply);
            }
            let jitter_us = rand::rng().random_range(0..=backoff.as_micros());
            let jitter = Duration::from_micros(u64::try_from(jitter_us).unwrap_or(0));
            let left = deadline.saturating_duration_since(Instant::now());
            sleep((backoff / 2 + jitter).min(left)).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
    }

    /// Makes one direct attempt of a long-polling call, which the store may hold for up to `wait`.
    pub(crate) async fn call_long_poll(
        &self,
        call: &StoreCall,
        wait: Duration,
    ) -> Result<StoreReply, StoreUnavailable> {
        let limit = wait + self.attempt_timeout();
        let started_at = Instant::now();
        let attempt = self.exchange_once(self.address, call, limit).await;
        if attempt.is_ok() {
            // A response that comes earlier has a record; the wait for it says nothing.
            let response_time = attempt.took.checked_sub(wait);
            self.record_response_time(response_time);
        } else {
            let kind = attempt.long_poll_failure_kind();
            self.record_outage_failure(started_at, kind);
        }
        self.record_direct(&attempt);
        self.record_attempt(false, attempt.is_ok(), true);
        attempt.into_reply().ok_or(StoreUnavailable)
    }

    /// Returns the timeout of a direct attempt, by recent response times.
    ///
    /// Attempts without a response only double it until the next response: a mean of response times
    /// with timeouts in it would delay the detection of lost responses long after an outage. Before
    /// the first response, a short timeout would give up all calls to a store that is only slow.
    fn attempt_timeout(&self) -> Duration {
        let Some(mean) = self.mean.get() else {
            return MAX_ATTEMPT_TIMEOUT;
        };
        let by_mean = mean * TIMEOUT_MEANS;
        let doublings = self.timeouts.get().min(MAX_TIMEOUT_DOUBLINGS);
        let timeout = by_mean.clamp(MIN_ATTEMPT_TIMEOUT, MAX_ATTEMPT_TIMEOUT);
        (timeout * (1 << doublings)).min(MAX_ATTEMPT_TIMEOUT)
    }

    /// Returns how long `count` calls may take that follow from each other, by the response times;
    /// zero before the first response.
    pub(crate) fn time_for(&self, count: u32) -> Duration {
        let by_mean = self.mean.get().unwrap_or_default() * TIMEOUT_MEANS;
        by_mean.min(MAX_ATTEMPT_TIMEOUT) * count
    }

    /// Returns whether responses take so long that peers are asked first for what they may have.
    pub(crate) fn is_slow(&self) -> bool {
        self.time_for(1) >= MAX_ATTEMPT_TIMEOUT
    }

    /// Updates the timeout after a direct response; without a response time, only the doublings end.
    fn record_response_time(&self, response_time: Option<Duration>) {
        self.timeouts.set(0);
        if let Some(response_time) = response_time {
            let response_time = response_time.min(MAX_ATTEMPT_TIMEOUT);
            let mean = self.mean.get().unwrap_or(response_time);
            let weighted_sum = mean * (MEAN_DIVISOR - 1) + response_time;
            self.mean.set(Some(weighted_sum / MEAN_DIVISOR));
        }
    }

    fn record_outage_failure(&self, started_at: Instant, kind: FailureKind) {
        let mut outage = self.outage.borrow_mut();
        outage.record_failure(self.clock.at(started_at), kind);
    }

    /// Records whether the store responds to this process directly. A loss of a connection that had
    /// been idle does not say that it does not: the next attempt opens another one.
    fn record_direct(&self, attempt: &Attempt) {
        if attempt.is_ok() {
            self.is_direct_down.set(false);
        } else if !attempt.has_lost_reused_connection() {
            self.is_direct_down.set(true);
        }
    }

    /// Makes one attempt, direct or relayed; `None` if it failed or the store refused.
    async fn try_once(&self, call: &StoreCall, left: Duration) -> Option<StoreReply> {
        match self.pick_relay() {
            Some(relay) => self.try_relay(relay, call, left).await,
            None => self.try_direct(call, left).await,
        }
    }

    async fn try_direct(&self, call: &StoreCall, left: Duration) -> Option<StoreReply> {
        let limit = self.attempt_timeout();
        let started_at = Instant::now();
        let attempt = self
            .exchange_once(self.address, call, left.min(limit))
            .await;
        let had_full_timeout = left >= limit;
        if attempt.is_ok() {
            self.record_response_time(Some(attempt.took));
        } else if had_full_timeout {
            self.record_outage_failure(started_at, attempt.failure_kind());
            if attempt.is_silent_on_new_connection() {
                self.timeouts.set(self.timeouts.get().saturating_add(1));
            }
        }
        if attempt.is_ok() || had_full_timeout {
            self.record_direct(&attempt);
        }
        self.record_attempt(false, attempt.is_ok(), had_full_timeout);
        attempt.into_reply()
    }

    async fn try_relay(
        &self,
        relay: SocketAddr,
        call: &StoreCall,
        left: Duration,
    ) -> Option<StoreReply> {
        let started_at = Instant::now();
        let limit = left.min(MAX_ATTEMPT_TIMEOUT);
        let attempt = self.exchange_once(relay, call, limit).await;
        let is_ok = attempt.is_ok();
        self.relay.set(is_ok.then_some(relay));
        if !is_ok {
            self.record_outage_failure(started_at, attempt.relay_failure_kind());
        }
        self.record_attempt(true, is_ok, left >= MAX_ATTEMPT_TIMEOUT);
        attempt.into_reply()
    }

    async fn exchange_once(
        &self,
        address: SocketAddr,
        call: &StoreCall,
        limit: Duration,
    ) -> Attempt {
        let started_at = Instant::now();
        let idle = self.pool.take_idle(address, started_at);
        let is_new_connection = idle.is_none();
        let result = timeout(limit, self.exchange(address, idle, call)).await;
        let outcome = match result {
            Err(_) => AttemptOutcome::Silent,
            Ok(Err(_)) => AttemptOutcome::Broken,
            Ok(Ok(reply)) if reply.status == STATUS_LIMITED => AttemptOutcome::Limited,
            Ok(Ok(reply)) if is_refusal(reply.status) => AttemptOutcome::Refused,
            Ok(Ok(reply)) if reply.status == STATUS_CONFLICT => AttemptOutcome::Conflict(reply),
            Ok(Ok(reply)) => AttemptOutcome::Answered(reply),
        };
        if let (AttemptOutcome::Limited, Some(priority)) = (&outcome, &self.priority) {
            priority.record_limited(Instant::now());
        }
        let attempt = Attempt {
            outcome,
            is_new_connection,
            limit,
            took: started_at.elapsed(),
        };
        if attempt.has_lost_reused_connection() {
            // What broke one connection may have broken all that were open.
            self.pool.close_all(address);
        }
        let purpose = call.purpose.label();
        self.metrics
            .count_store_call(purpose, attempt.outcome.label(), attempt.took);
        attempt
    }

    /// Makes one direct attempt for a peer that cannot reach the store itself.
    pub(crate) async fn relay_once(&self, call: &StoreCall) -> Option<StoreReply> {
        if self.is_direct_down() {
            return None;
        }
        self.exchange_once(self.address, call, MAX_ATTEMPT_TIMEOUT)
            .await
            .into_reply()
    }

    /// Returns the relay for the next attempt while direct calls fail: the peer that relayed the
    /// last call, or any. While the store is unavailable, every second attempt is direct, in case
    /// no peer can help.
    fn pick_relay(&self) -> Option<SocketAddr> {
        if !self.is_direct_down() || self.failures.get().is_multiple_of(2) && self.is_unavailable()
        {
            return None;
        }
        let relays = self.relays.borrow();
        if relays.is_empty() {
            return None;
        }
        let any = relays[rand::rng().random_range(0..relays.len())];
        Some(self.relay.get().unwrap_or(any))
    }

    /// Makes the next attempt a direct one, in case the store responds to this process again.
    pub(crate) fn retry_direct(&self) {
        self.is_direct_down.set(false);
    }

    /// Makes the next attempt a relayed one, where a peer can be asked.
    pub(crate) fn avoid_direct(&self) {
        self.is_direct_down.set(true);
    }

    /// Probes the store directly while direct calls fail, so that no request has to.
    pub(crate) async fn probe(&self) {
        if self.is_direct_down() {
            let target = newest_target(&Topic::Config, 0, None);
            let call = StoreCall::get(StorePurpose::Probe, target);
            // Only the recorded outcome matters.
            let _ = self.try_direct(&call, MAX_ATTEMPT_TIMEOUT).await;
        }
    }

    fn record_attempt(&self, was_relayed: bool, is_ok: bool, had_full_timeout: bool) {
        let mut counts = self.counts.get();
        counts.calls += 1;
        counts.relayed += u64::from(was_relayed);
        counts.failures += u64::from(!is_ok);
        self.counts.set(counts);
        if is_ok {
            let now = self.clock.at(Instant::now());
            if let Some(ended) = self.outage.borrow_mut().record_response(now) {
                self.ended_outage.set(Some(ended));
            }
            let was_unavailable = self.is_unavailable();
            self.failures.set(0);
            self.failing_since.set(None);
            if was_unavailable {
                self.recovered.notify_waiters();
            }
        } else if had_full_timeout {
            self.failures.set(self.failures.get().saturating_add(1));
            if self.failing_since.get().is_none() {
                self.failing_since.set(Some(Instant::now()));
            }
        }
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        idle: Option<Connection>,
        call: &StoreCall,
    ) -> Result<StoreReply, OutboundError> {
        let mut connection = match idle {
            Some(connection) => connection,
            None => Connection::open(address, CONNECT_TIMEOUT, Instant::now()).await?,
        };
        let target = call.target.parse::<Uri>();
        let request = OutboundRequest {
            method: call.method.clone(),
            target: target.map_err(|err| OutboundError::Protocol(err.to_string()))?,
            headers: host_header(address),
            body: call.body.clone().into(),
        };
        let head = connection.exchange(&request).await?;
        let body = connection.body(MAX_RESPONSE_BYTES).await?;
        self.pool.release(address, connection, Instant::now());
        let reply = StoreReply {
            status: head.status.as_u16(),
            body,
        };
        if call.method == Method::POST {
            check_append(&reply)?;
        }
        Ok(reply)
    }
}

/// Rejects a response to an append that does not say where the partition ends: it may have broken off.
fn check_append(reply: &StoreReply) -> Result<(), OutboundError> {
    if matches!(reply.status, STATUS_OK | STATUS_CONFLICT) {
        decode_end(&reply.body).map_err(|err| OutboundError::Protocol(err.to_string()))?;
    }
    Ok(())
}

/// The status of an append that was done.
const STATUS_OK: u16 = 200;
/// The status of an append whose condition did not hold.
const STATUS_CONFLICT: u16 = 412;

/// The status of a call beyond the limit of calls of all processes, or of a process that is turned away.
const STATUS_LIMITED: u16 = 429;

/// Returns whether a status says that nothing was done and the call may be repeated.
fn is_refusal(status: u16) -> bool {
    status >= 500
}

/// Returns headers with only the host.
pub(crate) fn host_header(address: SocketAddr) -> HeaderMap {
    let mut headers = HeaderMap::new();
    if let Ok(host) = address.to_string().parse() {
        headers.insert(actix_http::header::HOST, host);
    }
    headers
}

/// Marks that a call is probing the store, until dropped.
struct ProbeGuard<'a>(&'a Cell<bool>);

impl<'a> ProbeGuard<'a> {
    fn new(flag: &'a Cell<bool>) -> Self {
        flag.set(true);
        Self(flag)
    }
}

impl Drop for ProbeGuard<'_> {
    fn drop(&mut self) {
        self.0.set(false);
    }
}
