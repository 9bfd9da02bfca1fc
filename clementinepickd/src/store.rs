//! Calls the platform's store, directly or through a peer.
//!
//! Every call may be repeated: reads change nothing, appends of turns carry records that never
//! change, and appends of budget slices carry a condition that only one copy can meet.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use actix_http::header::HeaderMap;
use actix_http::{Method, Uri};
use actix_rt::time::{sleep, timeout};
use bytes::Bytes;
use platform::store::{Topic, newest_target};
use rand::RngExt;
use thiserror::Error;
use tokio::sync::Notify;

use crate::gateway_metrics::GatewayMetrics;
use crate::outbound::{OutboundError, OutboundRequest};
use crate::outbound_pool::ConnectionPool;

/// The maximum timeout of one attempt. A store that responds later counts as unavailable; one that
/// is 60 times slower than usual responds within 300 ms.
const MAX_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(600);
/// The minimum timeout of one attempt. A store that usually responds in 10 ms and has not done so
/// in this time probably will not respond at all, while a peer may reach it.
const MIN_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(150);
/// The timeout of an attempt as a multiple of the mean response time; the slowest of a thousand
/// responses of a healthy store takes four times the mean.
const TIMEOUT_MEANS: u32 = 8;
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

/// A response of the store, other than a refusal.
#[derive(Debug, Clone)]
pub(crate) struct StoreReply {
    pub(crate) status: u16,
    pub(crate) body: Bytes,
}

/// The purpose of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StorePurpose {
    /// Follow the configuration, the servers or the peers.
    Follow,
    /// Write this process's entry.
    Announce,
    /// Write a slice or a home of a budget partition.
    ReserveSlice,
    /// Read a budget partition.
    ReadSlices,
    /// Write a finished turn.
    RecordTurn,
    /// Read finished turns.
    ReadTurn,
    /// Find and delete expired records.
    Sweep,
    /// Check whether the store responds.
    Probe,
    /// Make a call for a peer.
    Relay,
}

impl StorePurpose {
    /// Returns the name used in metrics.
    pub(crate) fn label(self) -> &'static str {
        match self {
            Self::Follow => "follow",
            Self::Announce => "announce",
            Self::ReserveSlice => "reserve_slice",
            Self::ReadSlices => "read_slices",
            Self::RecordTurn => "record_turn",
            Self::ReadTurn => "read_turn",
            Self::Sweep => "sweep",
            Self::Probe => "probe",
            Self::Relay => "relay",
        }
    }
}

/// A call to the store.
#[derive(Debug, Clone)]
pub(crate) struct StoreCall {
    pub(crate) purpose: StorePurpose,
    pub(crate) method: Method,
    pub(crate) target: String,
    pub(crate) body: Bytes,
}

impl StoreCall {
    /// Creates a call that reads.
    pub(crate) fn get(purpose: StorePurpose, target: String) -> Self {
        Self {
            purpose,
            method: Method::GET,
            target,
            body: Bytes::new(),
        }
    }

    /// Creates a call that writes.
    pub(crate) fn post(purpose: StorePurpose, target: String, body: Bytes) -> Self {
        Self {
            purpose,
            method: Method::POST,
            target,
            body,
        }
    }
}

/// The counts of call attempts, for metrics and logs.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct StoreCounts {
    pub(crate) calls: u64,
    pub(crate) failures: u64,
    pub(crate) relayed: u64,
}

/// A client of the store; one for each thread that uses the store.
pub(crate) struct StoreClient {
    address: SocketAddr,
    pool: ConnectionPool,
    relays: RefCell<Vec<SocketAddr>>,
    /// The peer that last relayed a call of this process.
    relay: Cell<Option<SocketAddr>>,
    /// The number of consecutive failures, direct and relayed.
    failures: Cell<u32>,
    /// Whether the last direct attempt failed.
    is_direct_down: Cell<bool>,
    mean: Cell<Duration>,
    failing_since: Cell<Option<Instant>>,
    is_probing: Cell<bool>,
    recovered: Notify,
    counts: Cell<StoreCounts>,
    metrics: Arc<GatewayMetrics>,
}

impl StoreClient {
    /// Creates a client of the store at `address`, which counts its calls in `metrics`.
    pub(crate) fn new(address: SocketAddr, metrics: Arc<GatewayMetrics>) -> Self {
        Self {
            metrics,
            address,
            pool: ConnectionPool::default(),
            relays: RefCell::default(),
            relay: Cell::new(None),
            failures: Cell::new(0),
            is_direct_down: Cell::new(false),
            mean: Cell::new(MIN_ATTEMPT_TIMEOUT / TIMEOUT_MEANS),
            failing_since: Cell::new(None),
            is_probing: Cell::new(false),
            recovered: Notify::new(),
            counts: Cell::default(),
        }
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
        loop {
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
        let reply = self.exchange_once(self.address, call, limit).await;
        self.is_direct_down.set(reply.is_none());
        self.record_attempt(false, reply.is_some(), true);
        reply.ok_or(StoreUnavailable)
    }

    /// Returns the timeout of a direct attempt, by recent response times.
    fn attempt_timeout(&self) -> Duration {
        (self.mean.get() * TIMEOUT_MEANS).clamp(MIN_ATTEMPT_TIMEOUT, MAX_ATTEMPT_TIMEOUT)
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
        let reply = self
            .exchange_once(self.address, call, left.min(limit))
            .await;
        let took = started_at.elapsed();
        if reply.is_some() || left >= limit {
            let mean = self.mean.get();
            let weighted_sum = mean * (MEAN_DIVISOR - 1) + took.min(MAX_ATTEMPT_TIMEOUT);
            self.mean.set(weighted_sum / MEAN_DIVISOR);
            self.is_direct_down.set(reply.is_none());
        }
        self.record_attempt(false, reply.is_some(), left >= limit);
        reply
    }

    async fn try_relay(
        &self,
        relay: SocketAddr,
        call: &StoreCall,
        left: Duration,
    ) -> Option<StoreReply> {
        let reply = self
            .exchange_once(relay, call, left.min(MAX_ATTEMPT_TIMEOUT))
            .await;
        self.relay.set(reply.is_some().then_some(relay));
        self.record_attempt(true, reply.is_some(), left >= MAX_ATTEMPT_TIMEOUT);
        reply
    }

    async fn exchange_once(
        &self,
        address: SocketAddr,
        call: &StoreCall,
        limit: Duration,
    ) -> Option<StoreReply> {
        let started_at = Instant::now();
        let result = timeout(limit, self.exchange(address, call)).await;
        let (outcome, reply) = match result {
            Err(_) => ("silent", None),
            Ok(Err(_)) => ("broken", None),
            Ok(Ok(reply)) if is_refusal(reply.status) => ("refused", None),
            Ok(Ok(reply)) if reply.status == STATUS_CONFLICT => ("conflict", Some(reply)),
            Ok(Ok(reply)) => ("answered", Some(reply)),
        };
        let purpose = call.purpose.label();
        self.metrics
            .count_store_call(purpose, outcome, started_at.elapsed());
        reply
    }

    /// Makes one direct attempt for a peer that cannot reach the store itself.
    pub(crate) async fn relay_once(&self, call: &StoreCall) -> Option<StoreReply> {
        if self.is_direct_down() {
            return None;
        }
        self.exchange_once(self.address, call, MAX_ATTEMPT_TIMEOUT)
            .await
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
        call: &StoreCall,
    ) -> Result<StoreReply, OutboundError> {
        let now = Instant::now();
        let mut connection = self.pool.acquire(address, CONNECT_TIMEOUT, now).await?;
        let target = call.target.parse::<Uri>();
        let request = OutboundRequest {
            method: call.method.clone(),
            target: target.map_err(|err| OutboundError::Protocol(err.to_string()))?,
            headers: host_header(address),
            body: call.body.clone(),
        };
        let head = connection.exchange(&request).await?;
        let body = connection.body(MAX_RESPONSE_BYTES).await?;
        self.pool.release(address, connection, Instant::now());
        Ok(StoreReply {
            status: head.status.as_u16(),
            body,
        })
    }
}

/// The status of an append whose condition did not hold.
const STATUS_CONFLICT: u16 = 412;

/// Returns whether a status says that nothing was done and the call may be repeated.
fn is_refusal(status: u16) -> bool {
    status == 429 || status >= 500
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
