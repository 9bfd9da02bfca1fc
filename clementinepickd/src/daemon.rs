//! Starts the threads of an entry or a sidecar and joins them when it ends.
//!
//! The control thread ends first and then joins the others.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::panic::resume_unwind;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc as std_mpsc;
use std::thread::{self, JoinHandle};
use std::time::{SystemTime, UNIX_EPOCH};

use actix_rt::System;
use actix_server::ServerHandle;
use clementinepick::ids::Incarnation;
use slog::Logger;
use thiserror::Error;
use tokio::sync::{Semaphore, mpsc};

use crate::control::{Control, Inputs, Outputs, ShutdownRequests};
use crate::control_messages::{CONTROL_QUEUE_CAPACITY, ControlSender};
use crate::http::HttpContext;
use crate::listeners::{ListenError, StopWait, wait_unstopped};
use crate::process_log::ProcessLog;
use crate::role_logic::new_role_logic;
use crate::settings::{Settings, SettingsConflict};
use crate::stop_signals::StopSignals;
use crate::telemetry::Telemetry;
use crate::{clients, http, link_manager, listeners, logging};

/// An error that keeps a process from starting.
#[derive(Debug, Error)]
pub enum StartError {
    /// A signal to stop arrived while it waited for an address.
    #[error("told to stop before it served")]
    Stopped,
    /// The settings are inconsistent.
    #[error("{0}")]
    Settings(#[from] SettingsConflict),
    /// An address could not be bound.
    #[error("cannot listen on {address}: {error}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The cause.
        error: io::Error,
    },
    /// A thread or the HTTP server could not be started.
    #[error("{0}")]
    System(#[from] io::Error),
    /// The metrics recorder could not be set up.
    #[error("{0}")]
    Metrics(#[from] metrics_exporter_prometheus::BuildError),
}

/// How a process ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShutdownKind {
    /// All calls had finished.
    Graceful,
    /// The shutdown was forced or passed its time limit; unfinished calls were answered with their
    /// known state.
    Forced,
}

/// A running entry or sidecar.
///
/// When it is dropped without [`Daemon::join`], its threads keep running.
#[derive(Debug)]
pub struct Daemon {
    http_address: SocketAddr,
    link_address: SocketAddr,
    shutdown: Arc<ShutdownRequests>,
    /// The control thread, which joins all others before it ends.
    thread: JoinHandle<ShutdownKind>,
}

impl Daemon {
    /// Opens the log of a new process at the standard output.
    #[must_use]
    pub fn open_log(settings: &Settings) -> ProcessLog {
        ProcessLog::open(settings.log_level, &settings.vm, incarnation(settings))
    }

    /// Starts a process; it is listening when this returns.
    ///
    /// # Errors
    ///
    /// Returns an error when the settings are inconsistent, an address can't be bound, or a thread
    /// can't be started.
    pub fn start(settings: Settings) -> Result<Self, StartError> {
        let incarnation = incarnation(&settings);
        let logger = logging::new_logger(settings.log_level, &settings.vm, incarnation);
        Self::start_with(settings, logger, incarnation, &mut wait_unstopped)
    }

    /// Starts a process like [`Self::start`] that logs to `log`.
    ///
    /// # Errors
    ///
    /// Returns an error when the settings are inconsistent, an address can't be bound, a thread can't be
    /// started, or the process is told to stop while it waits for an address.
    pub fn start_logging_to(
        settings: Settings,
        log: &ProcessLog,
        signals: &mut StopSignals,
    ) -> Result<Self, StartError> {
        let mut wait = |pause| signals.is_stopped_within(pause);
        let logger = log.logger().clone();
        Self::start_with(settings, logger, log.incarnation(), &mut wait)
    }

    fn start_with(
        settings: Settings,
        logger: Logger,
        incarnation: Incarnation,
        wait: StopWait<'_>,
    ) -> Result<Self, StartError> {
        settings.check()?;
        let (link_listener, link_address) = listen(settings.link_address, &logger, wait)?;
        let (http_listener, http_address) = listen(settings.http_address, &logger, wait)?;
        let telemetry = Telemetry::new()?;
        let (input_sender, inputs) = mpsc::channel(CONTROL_QUEUE_CAPACITY);
        let (disconnect_sender, gone) = mpsc::unbounded_channel();
        let (link_sender, link_targets) = mpsc::unbounded_channel();
        let (client_sender, client_commands) = mpsc::unbounded_channel();
        let shutdown = Arc::new(ShutdownRequests::default());
        let sender = ControlSender {
            inputs: input_sender,
            disconnects: disconnect_sender,
        };
        let outputs = Outputs {
            links: link_sender,
            clients: client_sender,
            shutdown: Arc::clone(&shutdown),
            ready: Arc::new(AtomicBool::new(false)),
            streams: Arc::new(Semaphore::new(settings.limits.streams)),
            logger,
        };
        let (role_logic, peer) = new_role_logic(&settings, incarnation);

        let shared = HttpContext::new(&settings, sender.clone(), &outputs, telemetry.handle());
        let (http, server) = start_http(http_listener, settings.http_workers, shared, &shutdown)?;
        let (control_sender, link_settings) = (sender.clone(), settings.links.clone());
        let links = spawn("links", &shutdown, move || {
            System::new().block_on(link_manager::run(
                link_settings,
                peer,
                link_listener,
                control_sender,
                link_targets,
            ));
        })?;
        let (control_sender, role, limits) = (
            sender.clone(),
            settings.role.clone(),
            settings.limits.clone(),
        );
        let clients = spawn("clients", &shutdown, move || {
            System::new().block_on(clients::run(role, limits, control_sender, client_commands));
        })?;
        let threads = Threads {
            http,
            server,
            links,
            clients,
        };
        let control = Control::new(settings, incarnation, role_logic, outputs, telemetry);
        let inputs = Inputs { inputs, gone };
        let thread = thread::Builder::new()
            .name("control".to_owned())
            .spawn(move || run_control(control, inputs, threads))?;
        Ok(Self {
            http_address,
            link_address,
            shutdown,
            thread,
        })
    }

    /// Returns the address on which it serves HTTP.
    #[must_use]
    pub const fn http_address(&self) -> SocketAddr {
        self.http_address
    }

    /// Returns the address on which it accepts links.
    #[must_use]
    pub const fn link_address(&self) -> SocketAddr {
        self.link_address
    }

    /// Begins a graceful shutdown: the process accepts no new calls and ends once running ones have
    /// finished.
    pub fn shutdown(&self) {
        self.shutdown.graceful.store(true, Ordering::Relaxed);
    }

    /// Ends the process at once; unfinished calls are answered with what is known of them.
    pub fn force_shutdown(&self) {
        self.shutdown.forced.store(true, Ordering::Relaxed);
    }

    /// Returns whether all threads have ended.
    #[must_use]
    pub fn is_finished(&self) -> bool {
        self.thread.is_finished()
    }

    /// Waits for all threads to end.
    ///
    /// # Panics
    ///
    /// Panics when one of them has panicked.
    #[must_use]
    pub fn join(self) -> ShutdownKind {
        unwrap_join(self.thread.join())
    }
}

/// The threads that the control thread joins.
struct Threads {
    http: JoinHandle<()>,
    server: ServerHandle,
    links: JoinHandle<()>,
    clients: JoinHandle<()>,
}

fn run_control(control: Control, inputs: Inputs, threads: Threads) -> ShutdownKind {
    let kind = System::new().block_on(async {
        let kind = control.run(inputs).await;
        http::stop(&threads.server, kind).await;
        kind
    });
    unwrap_join(threads.http.join());
    unwrap_join(threads.links.join());
    unwrap_join(threads.clients.join());
    kind
}

fn unwrap_join<T>(result: thread::Result<T>) -> T {
    result.unwrap_or_else(|panic| resume_unwind(panic))
}

/// Forces a shutdown when the thread that holds it returns or panics.
///
/// Without it, a panicked thread would leave a process that still answers `/healthz` but serves
/// nothing.
struct ShutdownOnDrop(Arc<ShutdownRequests>);

impl Drop for ShutdownOnDrop {
    fn drop(&mut self) {
        self.0.forced.store(true, Ordering::Relaxed);
    }
}

fn spawn(
    name: &str,
    shutdown: &Arc<ShutdownRequests>,
    body: impl FnOnce() + Send + 'static,
) -> io::Result<JoinHandle<()>> {
    let guard = ShutdownOnDrop(Arc::clone(shutdown));
    thread::Builder::new().name(name.to_owned()).spawn(move || {
        let _guard = guard;
        body();
    })
}

fn start_http(
    listener: TcpListener,
    workers: usize,
    shared: HttpContext,
    shutdown: &Arc<ShutdownRequests>,
) -> io::Result<(JoinHandle<()>, ServerHandle)> {
    let (started, starting) = std_mpsc::channel();
    let thread = spawn("http", shutdown, move || {
        System::new().block_on(async move {
            match http::start(listener, workers, shared) {
                Ok(server) => {
                    let _ = started.send(Ok(server.handle()));
                    // A panic ends the process, with the error in its log.
                    server.await.expect("the HTTP server goes on");
                }
                Err(err) => {
                    let _ = started.send(Err(err));
                }
            }
        });
    })?;
    let server = starting
        .recv()
        .unwrap_or_else(|_| Err(io::Error::other("the HTTP server did not start")))?;
    Ok((thread, server))
}

fn listen(
    mut address: SocketAddr,
    logger: &Logger,
    wait: StopWait<'_>,
) -> Result<(TcpListener, SocketAddr), StartError> {
    match listeners::listen(&mut address, logger, wait) {
        Ok(listener) => Ok((listener, address)),
        Err(ListenError::Stopped) => Err(StartError::Stopped),
        Err(ListenError::Failed(error)) => Err(StartError::Listen { address, error }),
    }
}

fn incarnation(settings: &Settings) -> Incarnation {
    settings.incarnation.unwrap_or_else(incarnation_from_clock)
}

/// Returns an incarnation greater than all earlier ones on this VM, unless its clock was set back.
fn incarnation_from_clock() -> Incarnation {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let us = since_epoch.map_or(0, |since| since.as_micros());
    Incarnation(u64::try_from(us).unwrap_or(u64::MAX))
}
