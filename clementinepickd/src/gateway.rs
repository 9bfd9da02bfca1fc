//! The gateway: takes callers' requests and sends them to backend servers, with all that must last
//! in the platform's store.
//!
//! One thread follows the lists in the store ([`Follower`]); the thread that calls [`run`] carries
//! the traffic.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener as StdListener};
use std::rc::Rc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use actix_rt::System;
use actix_rt::time::sleep;
use clementinepick::event::{Event, EventKind};
use clementinepick::ids::Incarnation;
use clementinepick::retry::RetryBudget;
use clementinepick::server_choice::ServerChoice;
use clementinepick::traffic_config::CallerLimits;
use clementinepick::units::{Percent, TimeUs, Tokens};
use platform::store::{Topic, newest_target};
use slog::Logger;
use thiserror::Error;
use tokio::net::{TcpListener, TcpStream};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{Notify, watch};
use tokio::task::{JoinSet, LocalSet};
use xxhash_rust::xxh3::xxh3_64;

use crate::directory::{Directory, Follower, Identity};
use crate::gateway_connection::{Handler, serve};
use crate::gateway_metrics::{GatewayMetrics, MetricsHandler};
use crate::gateway_peer::PeerHandler;
use crate::gateway_request::{CallerHandler, ReadyHandler};
use crate::gateway_settings::GatewaySettings;
use crate::ledger::LedgerStore;
use crate::ledger_budgets::Budgets;
use crate::ledger_sweep::Sweep;
use crate::ledger_turns::Turns;
use crate::logging::{new_logger_to, write_event};
use crate::outbound_pool::Pool;
use crate::store::{StoreCall, StoreClient};
use crate::unix_time::unix_ms;

/// The time between two rounds of housekeeping: closing idle connections, forgetting old state,
/// looking whether the store is back.
const HOUSEKEEPING: Duration = Duration::from_millis(250);
/// A process whose lists are older than this does not say that it is ready: it would send requests
/// to servers that have left and refuse new programs, while another process may know better.
const MAX_LIST_AGE: Duration = Duration::from_secs(3);
/// The pause after a failed accept, which mostly means that descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// The share of requests that may be sent again. Troubles of the users' sheets spoil up to 5 in 100
/// answers of 6 servers in 10; more failures than that mean that a service fails as a whole.
const RETRY_PERCENT: u8 = 20;
/// How long the last answers of a process may take to leave its connections.
const FLUSH: Duration = Duration::from_millis(30);

/// Why a gateway could not run.
#[derive(Debug, Error)]
pub enum GatewayError {
    /// An address can't be listened on.
    #[error("can't listen on {address}: {error}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why.
        error: io::Error,
    },
    /// A thread or a signal handler can't be had.
    #[error("can't start: {0}")]
    Start(#[from] io::Error),
    /// The metrics can't be set up.
    #[error("can't set up metrics: {0}")]
    Metrics(#[from] metrics_exporter_prometheus::BuildError),
}

/// What the tasks of the traffic thread share.
pub(crate) struct Shared {
    pub(crate) store: Rc<StoreClient>,
    pub(crate) ledger: Rc<LedgerStore>,
    pub(crate) budgets: Rc<Budgets>,
    pub(crate) turns: Turns,
    /// Where peers reach this process.
    pub(crate) peer_address: SocketAddr,
    pub(crate) pool: Pool,
    pub(crate) choice: RefCell<ServerChoice>,
    pub(crate) metrics: GatewayMetrics,
    retries: RefCell<BTreeMap<String, RetryBudget>>,
    /// The bytes of request bodies that are held.
    body_bytes: Cell<usize>,
    body_limit_bytes: usize,
    directory: watch::Receiver<Directory>,
    logger: Logger,
    log_every: u64,
    started: Instant,
    running: Cell<usize>,
    is_draining: Cell<bool>,
    is_closing: Cell<bool>,
    closing: Notify,
}

/// Counts a request as running until it is dropped.
pub(crate) struct Running<'a>(&'a Cell<usize>);

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Bytes of a request's body that count as held until it is dropped.
pub(crate) struct BodyHold<'a> {
    held: &'a Cell<usize>,
    bytes: usize,
}

impl Drop for BodyHold<'_> {
    fn drop(&mut self) {
        self.held.set(self.held.get() - self.bytes);
    }
}

impl Shared {
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
        let since = now.saturating_duration_since(self.started);
        TimeUs(u64::try_from(since.as_micros()).unwrap_or(u64::MAX))
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.is_draining.get()
    }

    pub(crate) fn is_ready(&self, now: Instant) -> bool {
        let directory = self.directory.borrow();
        let is_fresh = directory
            .read_at
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
    pub(crate) fn earn_retry(&self, service: &str) {
        let mut retries = self.retries.borrow_mut();
        let budget = retries.entry(service.to_owned()).or_default();
        budget.on_call(Percent::new(RETRY_PERCENT).unwrap_or_default());
    }

    /// Whether a request for a service may be sent again.
    pub(crate) fn take_retry(&self, service: &str, kind: &'static str) -> bool {
        let mut retries = self.retries.borrow_mut();
        let may_retry = retries.entry(service.to_owned()).or_default().take();
        if may_retry {
            self.metrics.count_retry(kind);
        }
        may_retry
    }

    /// Holds `bytes` of a request's body until dropped; none when too much is held already.
    pub(crate) fn hold_body(&self, bytes: usize) -> Option<BodyHold<'_>> {
        let held = self.body_bytes.get() + bytes;
        if held > self.body_limit_bytes {
            return None;
        }
        self.body_bytes.set(held);
        Some(BodyHold {
            held: &self.body_bytes,
            bytes,
        })
    }

    pub(crate) fn start_request(&self) -> Running<'_> {
        self.running.set(self.running.get() + 1);
        Running(&self.running)
    }

    /// Returns when idle connections are to be closed.
    pub(crate) async fn idle_connections_close(&self) {
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

/// The addresses of one gateway, as in its settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GatewayAddresses {
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the platform asks whether the process takes requests.
    pub ready: SocketAddr,
    /// Where peers ask for calls to the store.
    pub peers: SocketAddr,
    /// Where metrics and the state dump are served.
    pub metrics: Option<SocketAddr>,
}

/// A gateway that listens but does not serve yet.
pub struct Gateway {
    settings: GatewaySettings,
    logger: Logger,
    listeners: Listeners,
}

struct Listeners {
    callers: StdListener,
    ready: StdListener,
    peers: StdListener,
    metrics: Option<StdListener>,
}

/// Listens, and sets the port if the system chose it.
fn listen(address: &mut SocketAddr) -> Result<StdListener, GatewayError> {
    let bound = StdListener::bind(*address).and_then(|listener| {
        listener.set_nonblocking(true)?;
        Ok((listener.local_addr()?, listener))
    });
    match bound {
        Ok((actual, listener)) => {
            *address = actual;
            Ok(listener)
        }
        Err(error) => Err(GatewayError::Listen {
            address: *address,
            error,
        }),
    }
}

impl Gateway {
    /// Binds all addresses; logs to the standard output.
    ///
    /// # Errors
    ///
    /// An address can't be listened on.
    pub fn bind(settings: GatewaySettings) -> Result<Self, GatewayError> {
        Self::bind_logging_to(io::stdout(), settings)
    }

    /// Binds all addresses; logs to `output`, which may be slow or stand still: lines that it does
    /// not take in time are dropped and counted.
    ///
    /// # Errors
    ///
    /// An address can't be listened on.
    pub fn bind_logging_to<W: io::Write + Send + 'static>(
        output: W,
        mut settings: GatewaySettings,
    ) -> Result<Self, GatewayError> {
        let incarnation = Incarnation(rand::random());
        let logger = new_logger_to(output, settings.log_level, &settings.vm, incarnation);
        let listeners = Listeners {
            callers: listen(&mut settings.callers)?,
            ready: listen(&mut settings.ready)?,
            peers: listen(&mut settings.peers)?,
            metrics: settings.metrics.as_mut().map(listen).transpose()?,
        };
        let event = Event::new(EventKind::ProcessStarted)
            .with("role", "gateway")
            .with("zone", &settings.zone)
            .with("incarnation", incarnation.0)
            .with("store", settings.store);
        write_event(&logger, &event);
        Ok(Self {
            settings,
            logger,
            listeners,
        })
    }

    /// Where the gateway listens; ports that the settings left open are known here.
    #[must_use]
    pub fn addresses(&self) -> GatewayAddresses {
        GatewayAddresses {
            callers: self.settings.callers,
            ready: self.settings.ready,
            peers: self.settings.peers,
            metrics: self.settings.metrics,
        }
    }

    /// Serves until SIGTERM or SIGINT, then ends what runs and returns.
    ///
    /// # Errors
    ///
    /// A thread or a signal handler can't be had.
    pub fn run(self) -> Result<(), GatewayError> {
        let logger = self.logger.clone();
        self.run_until(move || wait_for_signal(logger))
    }

    /// Serves until the future that `stop` makes ends, then ends what runs and returns.
    ///
    /// # Errors
    ///
    /// A thread or a signal handler can't be had.
    pub fn run_until<S, F>(self, stop: S) -> Result<(), GatewayError>
    where
        S: FnOnce() -> F,
        F: Future<Output = io::Result<()>>,
    {
        let (publish, directory) = watch::channel(Directory::default());
        let (follower_stop, stopped) = watch::channel(false);
        let follower = self.start_follower(publish, stopped)?;
        let served = System::new().block_on(LocalSet::new().run_until(async {
            let stop = stop();
            self.serve(directory, stop).await
        }));
        follower_stop.send_replace(true);
        // The follower logs its own failures; a panic of it has already been printed.
        let _ = follower.join();
        served
    }

    fn start_follower(
        &self,
        publish: watch::Sender<Directory>,
        stopped: watch::Receiver<bool>,
    ) -> Result<JoinHandle<()>, GatewayError> {
        let identity = Identity {
            vm: self.settings.vm.to_string(),
            peer_address: self.settings.peers,
        };
        let seeds = self.settings.seeds.clone();
        let (store, logger) = (self.settings.store, self.logger.clone());
        let thread = thread::Builder::new().name("directory".to_owned());
        let follower = thread.spawn(move || {
            let store = StoreClient::new(store);
            let follower = Follower::new(identity, seeds, store, logger, publish);
            System::new().block_on(follower.run(stopped));
        })?;
        Ok(follower)
    }

    async fn serve(
        self,
        directory: watch::Receiver<Directory>,
        stop: impl Future<Output = io::Result<()>>,
    ) -> Result<(), GatewayError> {
        let settings = &self.settings;
        let store = Rc::new(StoreClient::new(settings.store));
        store.set_relays(settings.seeds.clone());
        let ledger = Rc::new(LedgerStore {
            settings: settings.ledger,
            client: Rc::clone(&store),
        });
        let writer = format!("{:016x}", rand::random::<u64>());
        let shared = Rc::new(Shared {
            store,
            budgets: Rc::new(Budgets::new(Rc::clone(&ledger), writer, settings.peers)),
            peer_address: settings.peers,
            turns: Turns::new(Rc::clone(&ledger)),
            ledger,
            pool: Pool::default(),
            choice: RefCell::default(),
            metrics: GatewayMetrics::new()?,
            retries: RefCell::default(),
            body_bytes: Cell::new(0),
            body_limit_bytes: settings.body_limit_bytes,
            directory,
            logger: self.logger.clone(),
            log_every: settings.log_every,
            started: Instant::now(),
            running: Cell::new(0),
            is_draining: Cell::new(false),
            is_closing: Cell::new(false),
            closing: Notify::new(),
        });
        let mut tasks = JoinSet::new();
        let callers: Rc<dyn Handler> = Rc::new(CallerHandler {
            shared: Rc::clone(&shared),
        });
        let ready: Rc<dyn Handler> = Rc::new(ReadyHandler {
            shared: Rc::clone(&shared),
        });
        let peers: Rc<dyn Handler> = Rc::new(PeerHandler {
            shared: Rc::clone(&shared),
        });
        let metrics: Rc<dyn Handler> = Rc::new(MetricsHandler {
            shared: Rc::clone(&shared),
        });
        let mut sites = vec![
            (self.listeners.callers, callers),
            (self.listeners.ready, ready),
            (self.listeners.peers, peers),
        ];
        sites.extend(self.listeners.metrics.map(|listener| (listener, metrics)));
        for (listener, handler) in sites {
            let listener = TcpListener::from_std(listener)?;
            tasks.spawn_local(accept(Rc::clone(&shared), listener, handler));
        }
        tasks.spawn_local(keep_house(
            Rc::clone(&shared),
            settings.vm.to_string(),
            settings.peers,
        ));
        stop.await?;
        drain(&shared, settings).await;
        tasks.shutdown().await;
        Ok(())
    }
}

/// Accepts connections until idle ones are closed; then waits for those that are left.
async fn accept(shared: Rc<Shared>, listener: TcpListener, handler: Rc<dyn Handler>) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                take(&shared, &handler, accepted, &mut connections).await;
            }
            Some(_) = connections.join_next() => {}
            () = shared.idle_connections_close() => break,
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

async fn take(
    shared: &Rc<Shared>,
    handler: &Rc<dyn Handler>,
    accepted: io::Result<(TcpStream, SocketAddr)>,
    connections: &mut JoinSet<()>,
) {
    match accepted {
        Ok((stream, _)) => {
            connections.spawn_local(serve(Rc::clone(shared), Rc::clone(handler), stream));
        }
        Err(err) => {
            shared.log_connection_error(&err);
            sleep(ACCEPT_PAUSE).await;
        }
    }
}

async fn keep_house(shared: Rc<Shared>, vm: String, own_address: SocketAddr) {
    let event = Event::new(EventKind::ProcessReady).with("vm", vm);
    let mut said_ready = false;
    let mut store_log = StoreLog::default();
    let mut sweep = Sweep::starting_at(rand::random());
    loop {
        let now = Instant::now();
        if !said_ready && shared.is_ready(now) {
            shared.log(&event);
            said_ready = true;
        }
        shared.pool.close_stale(now);
        shared.store.close_stale(now);
        shared.budgets.forget_idle(now);
        let directory = shared.directory();
        let peers = directory.peers.iter().copied();
        let peers: Vec<SocketAddr> = peers.filter(|peer| *peer != own_address).collect();
        if !peers.is_empty() {
            shared.store.set_relays(peers);
        }
        let target = newest_target(&Topic::Config, 0, None);
        shared.store.probe(&StoreCall::get(target)).await;
        store_log.look(&shared, now);
        let processes = directory.peers.len() + 1;
        sweep.step(&shared.ledger, processes, now, unix_ms()).await;
        let servers = &directory.servers.servers;
        shared
            .choice
            .borrow_mut()
            .retain(|id| servers.contains_key(id));
        sleep(HOUSEKEEPING).await;
    }
}

/// What was last said of the store.
#[derive(Default)]
struct StoreLog {
    is_away: bool,
    is_direct_down: bool,
}

impl StoreLog {
    /// Logs what has changed.
    fn look(&mut self, shared: &Shared, now: Instant) {
        let (away, down) = (shared.store.is_away(), shared.store.is_direct_down());
        let counts = shared.store.counts();
        let with_counts = |kind| {
            Event::new(kind)
                .with("calls", counts.calls)
                .with("failures", counts.failures)
                .with("relayed", counts.relayed)
        };
        if away != std::mem::replace(&mut self.is_away, away) {
            let kind = if away {
                EventKind::LogDown
            } else {
                EventKind::LogUp
            };
            let away_for = shared.store.away_for(now).as_millis();
            shared.log(&with_counts(kind).with("away_ms", away_for));
        }
        if down != std::mem::replace(&mut self.is_direct_down, down) {
            let kind = if down {
                EventKind::StoreDirectDown
            } else {
                EventKind::StoreDirectUp
            };
            shared.log(&with_counts(kind));
        }
    }
}

/// Returns at the first signal to end; SIGHUP is noted.
async fn wait_for_signal(logger: Logger) -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    loop {
        tokio::select! {
            _ = terminate.recv() => return Ok(()),
            _ = interrupt.recv() => return Ok(()),
            _ = hangup.recv() => {
                // Addresses can't change while a process runs, and all else comes from the store.
                write_event(&logger, &Event::new(EventKind::SettingsReloaded));
            }
        }
    }
}

/// Ends gracefully: callers are sent elsewhere first, then what runs is finished.
async fn drain(shared: &Shared, settings: &GatewaySettings) {
    let begun = Instant::now();
    shared.is_draining.set(true);
    let event = Event::new(EventKind::ShutdownStarted).with("running", shared.running.get());
    shared.log(&event);
    sleep(settings.notice).await;
    shared.is_closing.set(true);
    shared.closing.notify_waiters();
    while shared.running.get() > 0 && begun.elapsed() < settings.shutdown_limit {
        sleep(FLUSH).await;
    }
    sleep(FLUSH).await;
    let kind = if shared.running.get() == 0 {
        EventKind::ShutdownFinished
    } else {
        EventKind::ShutdownForced
    };
    shared.log(&Event::new(kind).with("running", shared.running.get()));
}
