//! The client of the platform's store, direct or through a peer.
//!
//! Every call may be repeated: reads change nothing, appends of turns carry records that never
//! change, and appends of budget slices carry a condition that only one of their copies can meet.

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

/// The longest that one try may take. A store that is 60 times slower than usual answers within
/// 300 ms; one that answers later is treated like one that is away.
const TRY_LIMIT: Duration = Duration::from_millis(600);
/// The shortest limit of a try. A store that usually answers in 10 ms and has not done so after this
/// time will mostly not do so at all, and a peer may reach it.
const MIN_TRY_LIMIT: Duration = Duration::from_millis(150);
/// A try may take this many times the mean of those that succeeded; the slowest of a thousand
/// answers of a store that is well takes four times the mean.
const LIMIT_MEANS: u32 = 8;
/// The weight of one answer in the mean, as a divisor.
const MEAN_DIVISOR: u32 = 8;
/// How long a connection may take to open.
const CONNECT_LIMIT: Duration = Duration::from_millis(300);
/// Failures in a row after which the store counts as away, and one call at a time tries it: so many
/// in a row are rarer than one in a thousand where one answer in ten is lost.
const AWAY_FAILURES: u32 = 3;
/// The first pause after a failure; it doubles.
const FIRST_PAUSE: Duration = Duration::from_millis(20);
/// The longest pause between two tries, which is what a return of the store may go unnoticed.
const MAX_PAUSE: Duration = Duration::from_millis(200);
/// The largest answer that is read, in bytes: a page of records has 1 MB, in base64 with its keys.
const MAX_ANSWER_BYTES: usize = 2_097_152;

/// The store gave no answer before the deadline; an append may or may not have been done.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the store is away")]
pub(crate) struct StoreUnavailable;

/// An answer of the store other than that nothing was done.
#[derive(Debug, Clone)]
pub(crate) struct StoreReply {
    pub(crate) status: u16,
    pub(crate) body: Bytes,
}

/// What a call is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StorePurpose {
    /// The configuration, the servers and the peers are followed.
    Follow,
    /// This process's entry is written.
    Announce,
    /// A slice of a budget is written.
    ReserveSlice,
    /// Slices of budgets are read.
    ReadSlices,
    /// An ended turn is written.
    RecordTurn,
    /// Ended turns are read.
    ReadTurn,
    /// Old records are looked for and dropped.
    Sweep,
    /// Only whether the store answers matters.
    Probe,
    /// A peer asked for the call.
    Relay,
}

impl StorePurpose {
    /// The name in metrics.
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

/// One call.
#[derive(Debug, Clone)]
pub(crate) struct StoreCall {
    pub(crate) purpose: StorePurpose,
    pub(crate) method: Method,
    pub(crate) target: String,
    pub(crate) body: Bytes,
}

impl StoreCall {
    /// A call that reads.
    pub(crate) fn get(purpose: StorePurpose, target: String) -> Self {
        Self {
            purpose,
            method: Method::GET,
            target,
            body: Bytes::new(),
        }
    }

    /// A call that writes.
    pub(crate) fn post(purpose: StorePurpose, target: String, body: Bytes) -> Self {
        Self {
            purpose,
            method: Method::POST,
            target,
            body,
        }
    }
}

/// How calls went, for metrics.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct StoreCounts {
    pub(crate) calls: u64,
    pub(crate) failures: u64,
    pub(crate) relayed: u64,
}

/// The client; one for each thread that uses the store.
pub(crate) struct StoreClient {
    address: SocketAddr,
    pool: ConnectionPool,
    relays: RefCell<Vec<SocketAddr>>,
    /// The peer that last made a call for this process.
    relay: Cell<Option<SocketAddr>>,
    /// Failures in a row, over all ways.
    failures: Cell<u32>,
    /// Whether the last direct try failed.
    is_direct_down: Cell<bool>,
    mean: Cell<Duration>,
    away_since: Cell<Option<Instant>>,
    is_probing: Cell<bool>,
    came_back: Notify,
    counts: Cell<StoreCounts>,
    metrics: Arc<GatewayMetrics>,
}

impl StoreClient {
    /// A client of the store at `address`, which counts its calls in `metrics`.
    pub(crate) fn new(address: SocketAddr, metrics: Arc<GatewayMetrics>) -> Self {
        Self {
            metrics,
            address,
            pool: ConnectionPool::default(),
            relays: RefCell::default(),
            relay: Cell::new(None),
            failures: Cell::new(0),
            is_direct_down: Cell::new(false),
            mean: Cell::new(MIN_TRY_LIMIT / LIMIT_MEANS),
            away_since: Cell::new(None),
            is_probing: Cell::new(false),
            came_back: Notify::new(),
            counts: Cell::default(),
        }
    }

    /// Sets the peers through which calls may go while the store does not answer this process.
    pub(crate) fn set_relays(&self, relays: Vec<SocketAddr>) {
        *self.relays.borrow_mut() = relays;
    }

    /// Whether several calls in a row failed.
    pub(crate) fn is_unavailable(&self) -> bool {
        self.failures.get() >= AWAY_FAILURES
    }

    /// For how long the store has been away; zero while it answers.
    pub(crate) fn unavailable_for(&self, now: Instant) -> Duration {
        let since = self.away_since.get().filter(|_| self.is_unavailable());
        since.map_or(Duration::ZERO, |at| now.saturating_duration_since(at))
    }

    /// Whether the store does not answer this process itself.
    pub(crate) fn is_direct_down(&self) -> bool {
        self.is_direct_down.get()
    }

    pub(crate) fn counts(&self) -> StoreCounts {
        self.counts.get()
    }

    pub(crate) fn close_stale(&self, now: Instant) {
        self.pool.close_stale(now);
    }

    /// Makes a call until an answer comes or the deadline passes.
    pub(crate) async fn call(
        &self,
        call: &StoreCall,
        deadline: Instant,
    ) -> Result<StoreReply, StoreUnavailable> {
        let mut pause = FIRST_PAUSE;
        loop {
            let now = Instant::now();
            let left = deadline.saturating_duration_since(now);
            if left.is_zero() {
                return Err(StoreUnavailable);
            }
            if self.is_unavailable() && self.is_probing.get() {
                // Another call tries already. Each waiting call would otherwise load the store just
                // as it returns, and be charged for.
                let _ = timeout(left.min(MAX_PAUSE), self.came_back.notified()).await;
                continue;
            }
            let is_probe = self.is_unavailable();
            let probing = is_probe.then(|| Probing::new(&self.is_probing));
            let reply = self.try_once(call, left).await;
            drop(probing);
            if let Some(reply) = reply {
                return Ok(reply);
            }
            let jitter_us = rand::rng().random_range(0..=pause.as_micros());
            let jitter = Duration::from_micros(u64::try_from(jitter_us).unwrap_or(0));
            let left = deadline.saturating_duration_since(Instant::now());
            sleep((pause / 2 + jitter).min(left)).await;
            pause = (pause * 2).min(MAX_PAUSE);
        }
    }

    /// Makes a call directly, once, whose answer the store holds back for up to `wait`.
    pub(crate) async fn call_long_poll(
        &self,
        call: &StoreCall,
        wait: Duration,
    ) -> Result<StoreReply, StoreUnavailable> {
        let limit = wait + self.try_limit();
        let reply = self.exchange_once(self.address, call, limit).await;
        self.is_direct_down.set(reply.is_none());
        self.note(false, reply.is_some(), true);
        reply.ok_or(StoreUnavailable)
    }

    /// How long a direct try may take, by how long the last ones took.
    fn try_limit(&self) -> Duration {
        (self.mean.get() * LIMIT_MEANS).clamp(MIN_TRY_LIMIT, TRY_LIMIT)
    }

    /// One try, direct or through a peer; none when it failed or nothing was done.
    async fn try_once(&self, call: &StoreCall, left: Duration) -> Option<StoreReply> {
        match self.pick_relay() {
            Some(relay) => self.try_relay(relay, call, left).await,
            None => self.try_direct(call, left).await,
        }
    }

    async fn try_direct(&self, call: &StoreCall, left: Duration) -> Option<StoreReply> {
        let limit = self.try_limit();
        let begun = Instant::now();
        let reply = self
            .exchange_once(self.address, call, left.min(limit))
            .await;
        let took = begun.elapsed();
        if reply.is_some() || left >= limit {
            let mean = self.mean.get();
            let sum = mean * (MEAN_DIVISOR - 1) + took.min(TRY_LIMIT);
            self.mean.set(sum / MEAN_DIVISOR);
            self.is_direct_down.set(reply.is_none());
        }
        self.note(false, reply.is_some(), left >= limit);
        reply
    }

    async fn try_relay(
        &self,
        relay: SocketAddr,
        call: &StoreCall,
        left: Duration,
    ) -> Option<StoreReply> {
        let reply = self.exchange_once(relay, call, left.min(TRY_LIMIT)).await;
        self.relay.set(reply.is_some().then_some(relay));
        self.note(true, reply.is_some(), left >= TRY_LIMIT);
        reply
    }

    async fn exchange_once(
        &self,
        address: SocketAddr,
        call: &StoreCall,
        limit: Duration,
    ) -> Option<StoreReply> {
        let begun = Instant::now();
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
            .count_store_call(purpose, outcome, begun.elapsed());
        reply
    }

    /// Makes a call directly, once; for peers that can't reach the store themselves.
    pub(crate) async fn relay_once(&self, call: &StoreCall) -> Option<StoreReply> {
        if self.is_direct_down() {
            return None;
        }
        self.exchange_once(self.address, call, TRY_LIMIT).await
    }

    /// The peer for the next try: while the direct way is down, the one that helped last, or any.
    /// Every other failure is followed by a direct try, in case no peer can help.
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

    /// Tries the direct way while it is down, so that no request has to.
    pub(crate) async fn probe(&self) {
        if self.is_direct_down() {
            let target = newest_target(&Topic::Config, 0, None);
            let call = StoreCall::get(StorePurpose::Probe, target);
            // Only whether the store answers matters, and that is noted on the way.
            let _ = self.try_direct(&call, TRY_LIMIT).await;
        }
    }

    fn note(&self, was_relayed: bool, is_ok: bool, had_full_time: bool) {
        let mut counts = self.counts.get();
        counts.calls += 1;
        counts.relayed += u64::from(was_relayed);
        counts.failures += u64::from(!is_ok);
        self.counts.set(counts);
        if is_ok {
            let was_away = self.is_unavailable();
            self.failures.set(0);
            self.away_since.set(None);
            if was_away {
                self.came_back.notify_waiters();
            }
        } else if had_full_time {
            self.failures.set(self.failures.get().saturating_add(1));
            if self.away_since.get().is_none() {
                self.away_since.set(Some(Instant::now()));
            }
        }
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        call: &StoreCall,
    ) -> Result<StoreReply, OutboundError> {
        let now = Instant::now();
        let mut connection = self.pool.acquire(address, CONNECT_LIMIT, now).await?;
        let target = call.target.parse::<Uri>();
        let request = OutboundRequest {
            method: call.method.clone(),
            target: target.map_err(|err| OutboundError::Protocol(err.to_string()))?,
            headers: host_header(address),
            body: call.body.clone(),
        };
        let head = connection.exchange(&request).await?;
        let body = connection.body(MAX_ANSWER_BYTES).await?;
        self.pool.release(address, connection, Instant::now());
        Ok(StoreReply {
            status: head.status.as_u16(),
            body,
        })
    }
}

/// The status of an append whose condition did not hold.
const STATUS_CONFLICT: u16 = 412;

/// Whether a status says that nothing was done and the call may be made again.
fn is_refusal(status: u16) -> bool {
    status == 429 || status >= 500
}

/// The headers of a request that has only a host.
pub(crate) fn host_header(address: SocketAddr) -> HeaderMap {
    let mut headers = HeaderMap::new();
    if let Ok(host) = address.to_string().parse() {
        headers.insert(actix_http::header::HOST, host);
    }
    headers
}

/// Marks that a call tries whether the store is back, until it is dropped.
struct Probing<'a>(&'a Cell<bool>);

impl<'a> Probing<'a> {
    fn new(flag: &'a Cell<bool>) -> Self {
        flag.set(true);
        Self(flag)
    }
}

impl Drop for Probing<'_> {
    fn drop(&mut self) {
        self.0.set(false);
    }
}
