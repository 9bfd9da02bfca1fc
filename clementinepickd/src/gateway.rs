//! Runs the gateway: forwards callers' requests to backend servers and keeps all durable state in
//! the platform's store.
//!
//! The thread that calls [`Gateway::run`] serves the traffic; a second thread follows the
//! configuration, the servers and the peers in the store.

use std::io;
use std::net::{SocketAddr, TcpListener as StdListener};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use actix_rt::time::sleep;
use clementinepick::event::{Event, EventKind};
use clementinepick::ids::Incarnation;
use clementinepick::shutdown_schedule::ShutdownSchedule;
use slog::Logger;
use socket2::SockRef;
use thiserror::Error;
use tokio::sync::watch;
use tokio::task::LocalSet;

use crate::directory::{Directory, Identity};
use crate::directory_thread::{DIRECTORY_THREAD, DirectoryThread, new_system};
use crate::gateway_metrics::{GatewayMetrics, recorder_builder};
use crate::gateway_settings::GatewaySettings;
use crate::gateway_shared::Shared;
use crate::gateway_tasks::{GatewayTasks, Listeners};
use crate::link::{duration, to_span};
use crate::list_refresh::{RefreshSender, refresh_channel};
use crate::listeners::{self, ListenError, StopWait, wait_unstopped};
use crate::logging::{new_logger_to, write_event};
use crate::loop_monitor::loop_monitors;
use crate::memory_fit::{address_space, fit_memory, process_limit};
use crate::process_log::ProcessLog;
use crate::safeguard::Safeguard;
use crate::stop_signals::{ReceivedSignals, SignalMeaning, StopSignals};
use crate::supervised_tasks::message;

/// The name of the thread that serves: the standard library's for the first one.
const MAIN_THREAD: &str = "main";
/// The sizes of the system's buffers for what a caller sends and for what it is sent, in bytes.
const RECEIVE_BUFFER_BYTES: usize = 8_192;
const SEND_BUFFER_BYTES: usize = 65_536;
/// How long a terminating process may take to record the usage of its standing slices and the origins of
/// its streams. An append takes about 10 ms; if it fails, programs lose a part of their budgets.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(300);
/// The interval at which a draining process checks whether its connections are closed.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(30);

/// How long the other threads of an ending process may take before that is logged.
const JOIN_PATIENCE: Duration = Duration::from_secs(1);
const JOIN_CHECK_INTERVAL: Duration = Duration::from_millis(1);

/// The reasons why a gateway cannot run.
#[derive(Debug, Error)]
pub enum GatewayError {
    /// A signal to stop arrived while it waited for an address.
    #[error("told to stop before it served")]
    Stopped,
    /// An address could not be bound.
    #[error("can't listen on {address}: {error}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The error of the operating system.
        error: io::Error,
    },
    /// A thread, an event loop, a listener, a signal handler or the log could not be set up.
    #[error("failed to start the gateway: {0}")]
    Start(#[from] io::Error),
    /// The metrics recorder could not be set up.
    #[error("failed to set up the metrics recorder: {0}")]
    Metrics(#[from] metrics_exporter_prometheus::BuildError),
}

/// The addresses on which a gateway listens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GatewayAddresses {
    /// The address for callers' requests.
    pub callers: SocketAddr,
    /// The address of the platform's readiness check.
    pub ready: SocketAddr,
    /// The address for peers: budget reservations, turns and relayed store calls.
    pub peers: SocketAddr,
    /// The address of metrics and the state dump, if enabled.
    pub metrics: Option<SocketAddr>,
}

/// A gateway whose listeners are bound and that does not serve yet.
pub struct Gateway {
    settings: GatewaySettings,
    logger: Logger,
    listeners: Listeners,
}

/// Binds an address that the process needs.
fn listen(
    address: &mut SocketAddr,
    logger: &Logger,
    wait: StopWait<'_>,
) -> Result<StdListener, GatewayError> {
    listeners::listen(address, logger, wait).map_err(|error| match error {
        ListenError::Stopped => GatewayError::Stopped,
        ListenError::Failed(error) => GatewayError::Listen {
            address: *address,
            error,
        },
    })
}

/// Binds the address of metrics, without which the process serves as well.
fn listen_for_metrics(address: &mut SocketAddr, logger: &Logger) -> Option<StdListener> {
    match listeners::try_listen(address) {
        Ok(listener) => Some(listener),
        Err(error) => {
            let event = listeners::unavailable(*address, &error, Duration::ZERO);
            write_event(logger, &event);
            None
        }
    }
}

impl Gateway {
    /// Opens the log of a new process at the standard output. If it is slow or blocks, log lines are dropped
    /// and counted.
    #[must_use]
    pub fn open_log(settings: &GatewaySettings) -> ProcessLog {
        let incarnation = Incarnation(rand::random());
        ProcessLog::open(settings.log_level, &settings.vm, incarnation)
    }

    /// Binds all addresses and logs to `log`.
    ///
    /// Addresses that are in use or not set up yet are waited for; metrics are served later if theirs is.
    ///
    /// # Errors
    ///
    /// Returns an error if an address other than that of metrics cannot be bound, or if the process is told
    /// to stop while it waits for one.
    pub fn bind(
        settings: GatewaySettings,
        log: &ProcessLog,
        signals: &mut StopSignals,
    ) -> Result<Self, GatewayError> {
        let mut wait = |pause| signals.is_stopped_within(pause);
        let logger = log.logger().clone();
        Self::bind_with(settings, logger, log.incarnation(), &mut wait)
    }

    /// Binds all addresses like [`Self::bind`] and logs to `output`. If `output` is slow, log lines are
    /// dropped and counted.
    ///
    /// # Errors
    ///
    /// Returns an error if an address other than that of metrics cannot be bound.
    pub fn bind_logging_to<W: io::Write + Send + 'static>(
        output: W,
        settings: GatewaySettings,
    ) -> Result<Self, GatewayError> {
        let incarnation = Incarnation(rand::random());
        let logger = new_logger_to(output, settings.log_level, &settings.vm, incarnation);
        Self::bind_with(settings, logger, incarnation, &mut wait_unstopped)
    }

    fn bind_with(
        mut settings: GatewaySettings,
        logger: Logger,
        incarnation: Incarnation,
        wait: StopWait<'_>,
    ) -> Result<Self, GatewayError> {
        if let Some(limit) = process_limit()
            && let Some(event) = fit_memory(&mut settings, limit, address_space())
        {
            write_event(&logger, &event);
        }
        // Callers connect as soon as their address is bound, so that it comes last.
        let peers = listen(&mut settings.peers, &logger, wait)?;
        let ready = listen(&mut settings.ready, &logger, wait)?;
        let metrics = settings
            .metrics
            .as_mut()
            .and_then(|address| listen_for_metrics(address, &logger));
        let callers = listen(&mut settings.callers, &logger, wait)?;
        let listeners = Listeners {
            callers,
            ready,
            peers,
            metrics,
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

    /// Returns the addresses on which the gateway listens, with the ports that the system assigned.
    #[must_use]
    pub fn addresses(&self) -> GatewayAddresses {
        GatewayAddresses {
            callers: self.settings.callers,
            ready: self.settings.ready,
            peers: self.settings.peers,
            metrics: self.settings.metrics,
        }
    }

    /// Serves until SIGTERM or SIGINT, then drains and returns.
    ///
    /// # Errors
    ///
    /// Returns an error if a thread or a listener cannot be set up.
    pub fn run(self, signals: ReceivedSignals) -> Result<(), GatewayError> {
        let logger = self.logger.clone();
        self.run_until(move || wait_for_stop(signals, logger))
    }

    /// Serves until the future returned by `stop` completes, then drains and returns.
    ///
    /// # Errors
    ///
    /// Returns an error if a thread, a listener or a signal handler cannot be set up.
    pub fn run_until<S, F>(self, stop: S) -> Result<(), GatewayError>
    where
        S: FnOnce() -> F,
        F: Future<Output = io::Result<()>>,
    {
        let (publish, _) = watch::channel(Directory::default());
        let (refresh, refreshes) = refresh_channel();
        let (follower_stop, stopped) = watch::channel(false);
        let metrics = Arc::new(GatewayMetrics::default());
        let recorder = start_recorder(&metrics)?;
        let writer = format!("{:016x}", rand::random::<u64>());
        let is_leaving = Arc::new(AtomicBool::new(false));
        let identity = Identity {
            vm: self.settings.vm.to_string(),
            writer: writer.clone(),
            peer_address: self.settings.peers,
            is_leaving: Arc::clone(&is_leaving),
        };
        let logger = self.logger.clone();
        let (monitor, follower_monitor) = loop_monitors(MAIN_THREAD, DIRECTORY_THREAD, &logger);
        let system = new_system()?;
        let follower = DirectoryThread {
            identity,
            seeds: self.settings.seeds.clone(),
            store: self.settings.store,
            logger: self.logger.clone(),
            publish: publish.clone(),
            refreshes,
            stopped,
            metrics: Arc::clone(&metrics),
            monitor: follower_monitor,
        };
        let follower = follower.start()?;
        let served = system.block_on(LocalSet::new().run_until(async {
            let stop = async {
                let stopped = stop().await;
                is_leaving.store(true, Ordering::Relaxed);
                stopped
            };
            tokio::select! {
                served = self.serve(publish, refresh, metrics, writer, stop) => served,
                never = monitor.run() => match never {},
            }
        }));
        follower_stop.send_replace(true);
        for thread in [follower, recorder] {
            join(thread, &logger);
        }
        served
    }

    async fn serve(
        self,
        publish: watch::Sender<Directory>,
        refresh: RefreshSender,
        metrics: Arc<GatewayMetrics>,
        writer: String,
        stop: impl Future<Output = io::Result<()>>,
    ) -> Result<(), GatewayError> {
        let settings = &self.settings;
        let logger = self.logger.clone();
        let (shared, queues) = Shared::new(settings, publish, refresh, logger, metrics, writer);
        let shared = Rc::new(shared);
        limit_socket_buffers(&shared, &self.listeners.callers);
        let mut tasks = GatewayTasks::new(&shared);
        tasks.spawn_endpoints(self.listeners, settings.metrics)?;
        tasks.spawn_upkeep(queues, settings.vm.to_string());
        tokio::select! {
            stopped = stop => stopped?,
            () = tasks.watch() => {}
        }
        drain(&shared, settings).await;
        tasks.shut_down().await;
        Ok(())
    }
}

/// Builds the recorder of the metrics in a thread of its own, since it takes long on a busy processor.
fn start_recorder(metrics: &Arc<GatewayMetrics>) -> Result<JoinHandle<()>, GatewayError> {
    let builder = recorder_builder()?;
    let metrics = Arc::clone(metrics);
    let thread = thread::Builder::new().name("metrics".to_owned());
    Ok(thread.spawn(move || metrics.build_recorder(builder))?)
}

/// Joins a thread that ends; logs one that does not end soon.
pub(crate) fn join(thread: JoinHandle<()>, logger: &Logger) {
    let started_at = Instant::now();
    while !thread.is_finished() && started_at.elapsed() < JOIN_PATIENCE {
        thread::sleep(JOIN_CHECK_INTERVAL);
    }
    if !thread.is_finished() {
        let event = Event::new(EventKind::ThreadStalled)
            .with("thread", thread.thread().name().unwrap_or("unnamed"))
            .with("stalled_ms", started_at.elapsed().as_millis());
        write_event(logger, &event);
    }
    if let Err(panic) = thread.join() {
        let event = Event::new(EventKind::InvariantBroken);
        write_event(logger, &event.with("detail", message(&*panic)));
    }
}

/// Limits the bytes that the system holds for each connection before they are read, by this process or by
/// the caller: they count as memory of the VM.
fn limit_socket_buffers(shared: &Shared, listener: &StdListener) {
    let socket = SockRef::from(listener);
    let limited = socket
        .set_recv_buffer_size(RECEIVE_BUFFER_BYTES)
        .and_then(|()| socket.set_send_buffer_size(SEND_BUFFER_BYTES));
    if let Err(err) = limited {
        // The connections work as well with the buffers of the system.
        shared.log_connection_error(&err);
    }
}

/// Returns when the process is told to stop; other signals are only logged.
async fn wait_for_stop(mut signals: ReceivedSignals, logger: Logger) -> io::Result<()> {
    loop {
        let meaning = signals.next().await;
        if let Some(event) = meaning.event() {
            write_event(&logger, &event);
        }
        if meaning == SignalMeaning::Stop {
            return Ok(());
        }
    }
}

/// Shuts down gracefully: reports not ready, closes idle connections and waits for running requests
/// until the shutdown limit.
async fn drain(shared: &Shared, settings: &GatewaySettings) {
    let started_at = Instant::now();
    let start_us = shared.now_us(started_at);
    let drain_delay = drain_delay(shared, settings, started_at);
    let notice = to_span(drain_delay);
    let schedule = ShutdownSchedule::new(start_us, notice, to_span(settings.shutdown_limit));
    shared.start_draining(schedule);
    let event = Event::new(EventKind::ShutdownStarted).with("running", shared.running_requests());
    shared.log(&event);
    if !Safeguard::DrainNotice.is_disabled() {
        sleep(drain_delay).await;
    }
    shared.close_idle_connections();
    // Open connections are counted, not running requests: a request that is still being received
    // would otherwise be cut off without a response.
    let end = started_at + duration(schedule.until_end(start_us));
    let answer_at = started_at + duration(schedule.until_answers(start_us));
    wait_for_connections(shared, answer_at).await;
    let unfinished = shared.running_requests();
    shared.stop_requests();
    wait_for_connections(shared, end).await;
    tokio::join!(
        shared.homes.release_all(Instant::now() + RELEASE_TIMEOUT),
        shared.wait_until_origins_recorded(RELEASE_TIMEOUT),
    );
    let kind = if unfinished == 0 {
        EventKind::ShutdownFinished
    } else {
        EventKind::ShutdownForced
    };
    shared.log(&Event::new(kind).with("running", unfinished));
}

/// Returns how long callers are given to notice the shutdown: no time if the process was never ready and has
/// no connections.
fn drain_delay(shared: &Shared, settings: &GatewaySettings, now: Instant) -> Duration {
    if shared.is_ready(now) || shared.was_ready() || shared.open_connections() > 0 {
        settings.drain_delay
    } else {
        Duration::ZERO
    }
}

/// Waits until all connections are closed or `end` is reached.
async fn wait_for_connections(shared: &Shared, end: Instant) {
    sleep(DRAIN_CHECK_INTERVAL).await;
    while shared.open_connections() > 0 && Instant::now() < end {
        sleep(DRAIN_CHECK_INTERVAL).await;
    }
}
