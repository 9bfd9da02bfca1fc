//! Runs the gateway: forwards callers' requests to backend servers and keeps all durable state in
//! the platform's store.
//!
//! The thread that calls [`Gateway::run`] serves the traffic; a second thread follows the
//! configuration, the servers and the peers in the store.

use std::io;
use std::net::{SocketAddr, TcpListener as StdListener};
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use actix_rt::time::sleep;
use clementinepick::event::{Event, EventKind};
use clementinepick::ids::Incarnation;
use clementinepick::shutdown_schedule::ShutdownSchedule;
use slog::Logger;
use socket2::SockRef;
use thiserror::Error;
use tokio::net::{TcpListener, TcpStream};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::task::{JoinError, JoinSet, LocalSet};

use crate::connections::Connections;
use crate::directory::{Directory, Identity};
use crate::directory_thread::{DirectoryThread, new_system};
use crate::gateway_budget::{maintain_homes, send_token_returns};
use crate::gateway_connection::{Handler, serve};
use crate::gateway_directory_copy::maintain_directory;
use crate::gateway_ended_upkeep::maintain_ended;
use crate::gateway_hanging::check_unheard;
use crate::gateway_loss::settle_losses;
use crate::gateway_maintenance::run_maintenance;
use crate::gateway_metrics::{GatewayMetrics, MetricsHandler};
use crate::gateway_origin_log::{load_recorded_origins, write_origins};
use crate::gateway_other_runs::watch_stall;
use crate::gateway_peer::PeerHandler;
use crate::gateway_peer_updates::send_updates;
use crate::gateway_peer_watch::watch_peers;
use crate::gateway_prefetch::{finish_turn_reads, run_prefetch};
use crate::gateway_request::{CallerHandler, ReadyHandler};
use crate::gateway_request_log::write_requests;
use crate::gateway_settings::GatewaySettings;
use crate::gateway_shared::Shared;
use crate::gateway_start_questions::ask_starts;
use crate::gateway_versions::maintain_versions;
use crate::input_first::poll_after_input;
use crate::link::{duration, to_span};
use crate::list_refresh::{RefreshSender, refresh_channel};
use crate::listeners;
use crate::log_output::StandardOutput;
use crate::logging::{new_logger_to, write_event};
use crate::safeguard::Safeguard;

/// The backoff after a failed accept, which usually means that file descriptors have run out.
const ACCEPT_ERROR_BACKOFF: Duration = Duration::from_millis(20);
/// The sizes of the system's buffers for what a caller sends and for what it is sent, in bytes.
const RECEIVE_BUFFER_BYTES: usize = 8_192;
const SEND_BUFFER_BYTES: usize = 65_536;
/// The interval at which an address for metrics that could not be bound is tried again.
const METRICS_RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// How long a terminating process may take to record the usage of its standing slices and the origins of
/// its streams. An append takes about 10 ms; if it fails, programs lose a part of their budgets.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(300);
/// The maximum number of connections that are accepted as the listener closes, as many as the system
/// holds for it.
const MAX_WAITING_CONNECTIONS: usize = 4_096;
/// The interval at which a draining process checks whether its connections are closed.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(30);

/// The reasons why a gateway cannot run.
#[derive(Debug, Error)]
pub enum GatewayError {
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

struct Listeners {
    callers: StdListener,
    ready: StdListener,
    peers: StdListener,
    metrics: Option<StdListener>,
}

/// Binds an address that the process needs.
fn listen(address: &mut SocketAddr, logger: &Logger) -> Result<StdListener, GatewayError> {
    listeners::listen(address, logger).map_err(|error| GatewayError::Listen {
        address: *address,
        error,
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
    /// Binds all addresses and logs to the standard output. If it is slow or blocks, log lines are dropped
    /// and counted.
    ///
    /// # Errors
    ///
    /// Returns an error if an address other than that of metrics cannot be bound.
    pub fn bind(settings: GatewaySettings) -> Result<Self, GatewayError> {
        Self::bind_logging_to(StandardOutput::open()?, settings)
    }

    /// Binds all addresses and logs to `output`. If `output` is slow, log lines are dropped and counted.
    ///
    /// Addresses that are in use or not set up yet are waited for; metrics are served later if theirs is.
    ///
    /// # Errors
    ///
    /// Returns an error if an address other than that of metrics cannot be bound.
    pub fn bind_logging_to<W: io::Write + Send + 'static>(
        output: W,
        mut settings: GatewaySettings,
    ) -> Result<Self, GatewayError> {
        let incarnation = Incarnation(rand::random());
        let logger = new_logger_to(output, settings.log_level, &settings.vm, incarnation);
        // Callers connect as soon as their address is bound, so that it comes last.
        let peers = listen(&mut settings.peers, &logger)?;
        let ready = listen(&mut settings.ready, &logger)?;
        let metrics = settings
            .metrics
            .as_mut()
            .and_then(|address| listen_for_metrics(address, &logger));
        let callers = listen(&mut settings.callers, &logger)?;
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
    /// Returns an error if a thread, a listener or a signal handler cannot be set up.
    pub fn run(self) -> Result<(), GatewayError> {
        let logger = self.logger.clone();
        self.run_until(move || wait_for_signal(logger))
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
        let metrics = Arc::new(GatewayMetrics::new()?);
        let writer = format!("{:016x}", rand::random::<u64>());
        let is_leaving = Arc::new(AtomicBool::new(false));
        let identity = Identity {
            vm: self.settings.vm.to_string(),
            writer: writer.clone(),
            peer_address: self.settings.peers,
            is_leaving: Arc::clone(&is_leaving),
        };
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
        };
        let follower = follower.start()?;
        let served = system.block_on(LocalSet::new().run_until(async {
            let stop = async {
                let stopped = stop().await;
                is_leaving.store(true, Ordering::Relaxed);
                stopped
            };
            self.serve(publish, refresh, metrics, writer, stop).await
        }));
        follower_stop.send_replace(true);
        // The follower logs its own failures; its panic has already been printed.
        let _ = follower.join();
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
        limit_socket_buffers(&shared, &self.listeners.callers);
        let connections = &shared.connections;
        let endpoints = vec![
            (self.listeners.callers, callers, &connections.callers),
            (self.listeners.ready, ready, &connections.ready),
            (self.listeners.peers, peers, &connections.peers),
        ];
        if let Some(address) = settings.metrics {
            let endpoint = Endpoint {
                shared: Rc::clone(&shared),
                handler: metrics,
                connections: Rc::clone(&connections.metrics),
            };
            tasks.spawn_local(endpoint.accept_once_bound(self.listeners.metrics, address));
        }
        for (listener, handler, connections) in endpoints {
            let listener = TcpListener::from_std(listener)?;
            let endpoint = Endpoint {
                shared: Rc::clone(&shared),
                handler,
                connections: Rc::clone(connections),
            };
            tasks.spawn_local(endpoint.accept(listener));
        }
        tasks.spawn_local(run_maintenance(Rc::clone(&shared), settings.vm.to_string()));
        tasks.spawn_local(maintain_homes(Rc::clone(&shared)));
        tasks.spawn_local(run_prefetch(Rc::clone(&shared), queues.prefetch));
        let unfinished = queues.unfinished_reads;
        tasks.spawn_local(finish_turn_reads(Rc::clone(&shared), unfinished));
        tasks.spawn_local(send_token_returns(Rc::clone(&shared), queues.returned));
        tasks.spawn_local(send_updates(Rc::clone(&shared), queues.updates));
        tasks.spawn_local(maintain_directory(Rc::clone(&shared)));
        tasks.spawn_local(maintain_ended(Rc::clone(&shared)));
        tasks.spawn_local(check_unheard(Rc::clone(&shared)));
        tasks.spawn_local(watch_stall(Rc::clone(&shared)));
        tasks.spawn_local(maintain_versions(Rc::clone(&shared)));
        tasks.spawn_local(watch_peers(Rc::clone(&shared)));
        tasks.spawn_local(write_requests(Rc::clone(&shared)));
        tasks.spawn_local(write_origins(Rc::clone(&shared)));
        tasks.spawn_local(load_recorded_origins(Rc::clone(&shared)));
        tasks.spawn_local(settle_losses(Rc::clone(&shared), queues.losses));
        tasks.spawn_local(ask_starts(Rc::clone(&shared), queues.start_questions));
        let mut stop = pin!(stop);
        loop {
            tokio::select! {
                stopped = &mut stop => break stopped?,
                Some(ended) = tasks.join_next() => log_panic(&shared, ended),
            }
        }
        drain(&shared, settings).await;
        tasks.shutdown().await;
        Ok(())
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

/// What the connections of a listener need.
struct Endpoint {
    shared: Rc<Shared>,
    handler: Rc<dyn Handler>,
    connections: Rc<Connections>,
}

impl Endpoint {
    /// Accepts connections until idle ones are to be closed, then waits for the remaining ones.
    async fn accept(self, listener: TcpListener) {
        let mut tasks = JoinSet::new();
        loop {
            tokio::select! {
                accepted = listener.accept() => self.handle_accepted(accepted, &mut tasks).await,
                Some(ended) = tasks.join_next() => log_panic(&self.shared, ended),
                () = self.shared.wait_for_close() => break,
            }
        }
        self.accept_waiting(&listener, &mut tasks).await;
        drop(listener);
        while let Some(ended) = tasks.join_next().await {
            log_panic(&self.shared, ended);
        }
    }

    /// Accepts connections like [`Self::accept`], after binding `address` if there is no listener yet.
    async fn accept_once_bound(self, bound: Option<StdListener>, mut address: SocketAddr) {
        let mut listener = bound.map(TcpListener::from_std);
        loop {
            match listener {
                Some(Ok(listener)) => return self.accept(listener).await,
                Some(Err(err)) => self.shared.log_connection_error(&err),
                None => {}
            }
            tokio::select! {
                () = sleep(METRICS_RETRY_INTERVAL) => {}
                () = self.shared.wait_for_close() => return,
            }
            // The first failure was logged when the process started.
            let bound = listeners::try_listen(&mut address).ok();
            listener = bound.map(TcpListener::from_std);
        }
    }

    /// Accepts the connections that are open already: their callers may have sent requests, which closing
    /// the listener would reset.
    async fn accept_waiting(&self, listener: &TcpListener, tasks: &mut JoinSet<()>) {
        for _ in 0..MAX_WAITING_CONNECTIONS {
            let Some(accepted) = poll_after_input(pin!(listener.accept())).await else {
                return;
            };
            self.handle_accepted(accepted, tasks).await;
        }
    }

    async fn handle_accepted(
        &self,
        accepted: io::Result<(TcpStream, SocketAddr)>,
        tasks: &mut JoinSet<()>,
    ) {
        let now = Instant::now();
        match accepted {
            Ok((stream, _)) => {
                let connection = self.connections.open(now);
                let (shared, handler) = (Rc::clone(&self.shared), Rc::clone(&self.handler));
                tasks.spawn_local(serve(shared, handler, stream, connection));
                self.connections.wait_for_leaving().await;
            }
            Err(err) => {
                self.shared.log_connection_error(&err);
                self.shared.connections.callers.make_room(now);
                sleep(ACCEPT_ERROR_BACKOFF).await;
            }
        }
    }
}

/// Logs the panic of a task, which would otherwise show only by what is missing.
fn log_panic(shared: &Shared, ended: Result<(), JoinError>) {
    if let Err(err) = ended {
        shared.log(&Event::new(EventKind::InvariantBroken).with("detail", err));
    }
}

/// Returns on SIGTERM or SIGINT; SIGHUP is only logged.
async fn wait_for_signal(logger: Logger) -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    loop {
        tokio::select! {
            _ = terminate.recv() => return Ok(()),
            _ = interrupt.recv() => return Ok(()),
            _ = hangup.recv() => {
                // There is nothing to reload: addresses are fixed and everything else comes from
                // the store.
                write_event(&logger, &Event::new(EventKind::SettingsReloaded));
            }
        }
    }
}

/// Shuts down gracefully: reports not ready, closes idle connections and waits for running requests
/// until the shutdown limit.
async fn drain(shared: &Shared, settings: &GatewaySettings) {
    let started_at = Instant::now();
    let start_us = shared.now_us(started_at);
    let notice = to_span(settings.drain_delay);
    let schedule = ShutdownSchedule::new(start_us, notice, to_span(settings.shutdown_limit));
    shared.start_draining(schedule);
    let event = Event::new(EventKind::ShutdownStarted).with("running", shared.running_requests());
    shared.log(&event);
    if !Safeguard::DrainNotice.is_disabled() {
        sleep(settings.drain_delay).await;
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

/// Waits until all connections are closed or `end` is reached.
async fn wait_for_connections(shared: &Shared, end: Instant) {
    sleep(DRAIN_CHECK_INTERVAL).await;
    while shared.open_connections() > 0 && Instant::now() < end {
        sleep(DRAIN_CHECK_INTERVAL).await;
    }
}
