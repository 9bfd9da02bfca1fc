//! What the tasks of a gateway's traffic thread share, and what they may use of it.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use clementinepick::event::{Event, EventKind};
use clementinepick::retry::RetryBudget;
use clementinepick::server_selection::ServerSelector;
use clementinepick::traffic_config::CallerLimits;
use clementinepick::units::{Percent, TimeUs, Tokens};
use slog::Logger;
use tokio::sync::{Notify, mpsc, watch};
use xxhash_rust::xxh3::xxh3_64;

use crate::directory::Directory;
use crate::gateway_metrics::GatewayMetrics;
use crate::gateway_prefetch::{PREFETCH_QUEUE_CAPACITY, PrefetchRequest};
use crate::gateway_settings::GatewaySettings;
use crate::ledger::LedgerStore;
use crate::ledger_budgets::Budgets;
use crate::ledger_holds::TokenReturn;
use crate::ledger_homes::Homes;
use crate::ledger_turns::Turns;
use crate::logging::write_event;
use crate::monotonic_clock::MonotonicClock;
use crate::outbound_pool::Pool;
use crate::store::StoreClient;

/// A process whose lists are older than this does not say that it is ready: it would send requests
/// to servers that have left and refuse new programs, while another process may know better.
const MAX_LIST_AGE: Duration = Duration::from_secs(3);
/// The share of requests that may be sent again. Troubles of the users' sheets spoil up to 5 in 100
/// answers of 6 servers in 10; more failures than that mean that a service fails as a whole.
const RETRY_PERCENT: u8 = 20;

/// What the tasks of the traffic thread share.
pub(crate) struct Shared {
    pub(crate) store: Rc<StoreClient>,
    pub(crate) ledger: Rc<LedgerStore>,
    pub(crate) budgets: Rc<Budgets>,
    pub(crate) homes: Homes,
    pub(crate) turns: Turns,
    /// Programs that may need their next slice soon.
    pub(crate) prefetch: mpsc::Sender<PrefetchRequest>,
    /// Where peers reach this process.
    pub(crate) peer_address: SocketAddr,
    pub(crate) pool: Pool,
    pub(crate) choice: RefCell<ServerSelector>,
    pub(crate) metrics: Arc<GatewayMetrics>,
    retries: RefCell<BTreeMap<String, RetryBudget>>,
    /// The bytes of request bodies that are held.
    body_bytes: Cell<usize>,
    body_limit_bytes: usize,
    directory: watch::Receiver<Directory>,
    logger: Logger,
    log_every: u64,
    clock: MonotonicClock,
    running: Cell<usize>,
    /// The connections to this process that are open.
    open: Cell<usize>,
    is_draining: Cell<bool>,
    is_closing: Cell<bool>,
    closing: Notify,
}

/// Counts a request as running, or a connection as open, until it is dropped.
pub(crate) struct CountGuard<'a>(&'a Cell<usize>);

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

fn count(counter: &Cell<usize>) -> CountGuard<'_> {
    counter.set(counter.get() + 1);
    CountGuard(counter)
}

/// Bytes of a request's body that count as held until it is dropped.
pub(crate) struct BodyReservation<'a> {
    held: &'a Cell<usize>,
    bytes: usize,
}

impl Drop for BodyReservation<'_> {
    fn drop(&mut self) {
        self.held.set(self.held.get() - self.bytes);
    }
}

/// What tasks of their own work off.
pub(crate) struct BackgroundQueues {
    /// Tokens to return to peers.
    pub(crate) returned: mpsc::Receiver<TokenReturn>,
    /// Slices to reserve before they are needed.
    pub(crate) prefetch: mpsc::Receiver<PrefetchRequest>,
}

impl Shared {
    /// The state of a gateway that has just started, and what it leaves to tasks of their own.
    pub(crate) fn new(
        settings: &GatewaySettings,
        directory: watch::Receiver<Directory>,
        logger: Logger,
        metrics: Arc<GatewayMetrics>,
        writer: String,
    ) -> (Self, BackgroundQueues) {
        let store = Rc::new(StoreClient::new(settings.store, Arc::clone(&metrics)));
        store.set_relays(settings.seeds.clone());
        let ledger = Rc::new(LedgerStore {
            settings: settings.ledger,
            client: Rc::clone(&store),
        });
        let (budgets, returned) = Budgets::new(Rc::clone(&ledger), writer, settings.peers);
        let budgets = Rc::new(budgets);
        let (prefetch, prefetch_requests) = mpsc::channel(PREFETCH_QUEUE_CAPACITY);
        let shared = Self {
            store,
            prefetch,
            homes: Homes::new(Rc::clone(&budgets)),
            budgets,
            peer_address: settings.peers,
            turns: Turns::new(Rc::clone(&ledger)),
            ledger,
            pool: Pool::default(),
            choice: RefCell::default(),
            metrics,
            retries: RefCell::default(),
            body_bytes: Cell::new(0),
            body_limit_bytes: settings.body_limit_bytes,
            directory,
            logger,
            log_every: settings.log_every,
            clock: MonotonicClock::starting_at(Instant::now()),
            running: Cell::new(0),
            open: Cell::new(0),
            is_draining: Cell::new(false),
            is_closing: Cell::new(false),
            closing: Notify::new(),
        };
        let queues = BackgroundQueues {
            returned,
            prefetch: prefetch_requests,
        };
        (shared, queues)
    }

    pub(crate) fn directory(&self) -> Directory {
        self.directory.borrow().clone()
    }

    pub(crate) fn limits(&self) -> CallerLimits {
        let directory = self.directory.borrow();
        directory
            .config
            .as_ref()
            .map(|c| c.limits)
            .unwrap_or_default()
    }

    pub(crate) fn tokens_per_event(&self, service: &str) -> Tokens {
        let directory = self.directory.borrow();
        let config = directory.config.as_ref();
        let service = config.and_then(|config| config.services.get(service));
        service.map_or(Tokens(1), |service| service.tokens_per_event)
    }

    pub(crate) fn now_us(&self, now: Instant) -> TimeUs {
        self.clock.at(now)
    }

    /// Passes a server over for a while.
    pub(crate) fn record_failure(&self, server: &str) {
        let now = self.now_us(Instant::now());
        self.choice.borrow_mut().record_failure(now, server);
    }

    /// Notes that a server refused a request without running it.
    pub(crate) fn record_refusal(&self, server: &str, is_another: bool) {
        let now = self.now_us(Instant::now());
        self.choice
            .borrow_mut()
            .record_refusal(now, server, is_another);
    }

    /// From now on this process is not ready, and each answer ends its connection.
    pub(crate) fn start_draining(&self) {
        self.is_draining.set(true);
    }

    /// From now on connections are closed as soon as no request runs on them.
    pub(crate) fn close_idle_connections(&self) {
        self.is_closing.set(true);
        self.closing.notify_waiters();
    }

    /// How many connections to this process are open.
    pub(crate) fn open_connections(&self) -> usize {
        self.open.get()
    }

    /// Counts a connection as open.
    pub(crate) fn open_connection(&self) -> CountGuard<'_> {
        count(&self.open)
    }

    /// How many requests run.
    pub(crate) fn running_requests(&self) -> usize {
        self.running.get()
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.is_draining.get()
    }

    pub(crate) fn is_ready(&self, now: Instant) -> bool {
        let directory = self.directory.borrow();
        let is_fresh = directory
            .read_at()
            .is_some_and(|at| now.saturating_duration_since(at) < MAX_LIST_AGE);
        !self.is_draining() && directory.config.is_some() && is_fresh
    }

    /// How many connections this process may have to one server of a service, so that all processes
    /// together stay under what the server accepts; it resets those beyond.
    pub(crate) fn connection_limit(&self, service: &str) -> u32 {
        let directory = self.directory.borrow();
        let config = directory.config.as_ref();
        let service = config.and_then(|config| config.services.get(service));
        let processes = u32::try_from(directory.peers.len() + 1).unwrap_or(u32::MAX);
        service.map_or(u32::MAX, |s| (s.max_connections / processes).max(1))
    }

    /// Notes a request for a service; each earns a part of a retry.
    pub(crate) fn deposit_retry(&self, service: &str) {
        let mut retries = self.retries.borrow_mut();
        let budget = retries.entry(service.to_owned()).or_default();
        budget.deposit(Percent::new(RETRY_PERCENT).unwrap_or_default());
    }

    /// Whether a request for a service may be sent again.
    pub(crate) fn withdraw_retry(&self, service: &str, kind: &'static str) -> bool {
        let mut retries = self.retries.borrow_mut();
        let may_retry = retries
            .entry(service.to_owned())
            .or_default()
            .try_withdraw();
        if may_retry {
            self.metrics.count_retry(kind);
        }
        may_retry
    }

    /// Holds `bytes` of a request's body until dropped; none when too much is held already.
    pub(crate) fn reserve_body(&self, bytes: usize) -> Option<BodyReservation<'_>> {
        let held = self.body_bytes.get() + bytes;
        if held > self.body_limit_bytes {
            return None;
        }
        self.body_bytes.set(held);
        Some(BodyReservation {
            held: &self.body_bytes,
            bytes,
        })
    }

    pub(crate) fn start_request(&self) -> CountGuard<'_> {
        count(&self.running)
    }

    /// Returns when idle connections are to be closed.
    pub(crate) async fn wait_for_close(&self) {
        while !self.is_closing.get() {
            self.closing.notified().await;
        }
    }

    pub(crate) fn log(&self, event: &Event) {
        write_event(&self.logger, event);
    }

    /// Whether the success of the request with this id is logged; all processes pick the same.
    pub(crate) fn is_sampled(&self, id: &str) -> bool {
        let every = self.log_every.max(1);
        xxh3_64(id.as_bytes()).is_multiple_of(every)
    }

    pub(crate) fn log_connection_error(&self, err: &io::Error) {
        let event = Event::new(EventKind::LinkDown).with("reason", err);
        self.log(&event);
    }
}
