//! A running process: its threads, how they start, and in which order they end.

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
use thiserror::Error;
use tokio::sync::{Semaphore, mpsc};

use crate::control::{Control, Inputs, Outputs, ShutdownRequests};
use crate::control_messages::{CONTROL_QUEUE_CAPACITY, ControlSender};
use crate::http::HttpContext;
use crate::role_logic::new_role_logic;
use crate::settings::{Settings, SettingsConflict};
use crate::telemetry::Telemetry;
use crate::{clients, http, link_manager, logging};

/// Why a process can't start.
#[derive(Debug, Error)]
pub enum StartError {
    /// The settings can't work.
    #[error("{0}")]
    Settings(#[from] SettingsConflict),
    /// An address can't be listened on.
    #[error("{address}: {error}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why.
        error: io::Error,
    },
    /// A thread or the HTTP server can't be started.
    #[error("{0}")]
    System(#[from] io::Error),
    /// The metrics can't be set up.
    #[error("{0}")]
    Metrics(#[from] metrics_exporter_prometheus::BuildError),
}

/// How a process ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShutdownKind {
    /// Everything was finished.
    Graceful,
    /// It was told to, or the limit passed; what was unfinished was answered as it stood.
    Forced,
}

/// A running process.
///
/// Dropped without [`Daemon::join`], its threads go on.
#[derive(Debug)]
pub struct Daemon {
    http_address: SocketAddr,
    link_address: SocketAddr,
    shutdown: Arc<ShutdownRequests>,
    /// Ends last and joins all others.
    thread: JoinHandle<ShutdownKind>,
}

impl Daemon {
    /// Starts a process; it listens when this returns.
    ///
    /// # Errors
    ///
    /// Settings that can't work, or an address that is taken.
    pub fn start(settings: Settings) -> Result<Self, StartError> {
        settings.check()?;
        let (http_listener, http_address) = listen(settings.http_address)?;
        let (link_listener, link_address) = listen(settings.link_address)?;
        let incarnation = settings.incarnation.unwrap_or_else(draw_incarnation);
        let telemetry = Telemetry::new()?;
        let (inputs_sender, inputs) = mpsc::channel(CONTROL_QUEUE_CAPACITY);
        let (gone_sender, gone) = mpsc::unbounded_channel();
        let (link_sender, link_orders) = mpsc::unbounded_channel();
        let (client_sender, client_orders) = mpsc::unbounded_channel();
        let shutdown = Arc::new(ShutdownRequests::default());
        let sender = ControlSender {
            inputs: inputs_sender,
            disconnects: gone_sender,
        };
        let outputs = Outputs {
            links: link_sender,
            clients: client_sender,
            shutdown: Arc::clone(&shutdown),
            ready: Arc::new(AtomicBool::new(false)),
            streams: Arc::new(Semaphore::new(settings.limits.streams)),
            logger: logging::new_logger(settings.log_level, &settings.vm, incarnation),
        };
        let (decisions, peer) = new_role_logic(&settings, incarnation);

        let shared = HttpContext::new(&settings, sender.clone(), &outputs, telemetry.handle());
        let (http, server) = start_http(http_listener, settings.http_workers, shared, &shutdown)?;
        let (own, link_settings) = (sender.clone(), settings.links.clone());
        let links = spawn("links", &shutdown, move || {
            System::new().block_on(link_manager::run(
                link_settings,
                peer,
                link_listener,
                own,
                link_orders,
            ));
        })?;
        let (own, role, limits) = (
            sender.clone(),
            settings.role.clone(),
            settings.limits.clone(),
        );
        let clients = spawn("clients", &shutdown, move || {
            System::new().block_on(clients::run(role, limits, own, client_orders));
        })?;
        let threads = Threads {
            http,
            server,
            links,
            clients,
        };
        let control = Control::new(settings, incarnation, decisions, outputs, telemetry);
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

    /// Where it takes HTTP.
    #[must_use]
    pub const fn http_address(&self) -> SocketAddr {
        self.http_address
    }

    /// Where it takes links.
    #[must_use]
    pub const fn link_address(&self) -> SocketAddr {
        self.link_address
    }

    /// Begins to leave: no new work, and an end once what runs is finished.
    pub fn shutdown(&self) {
        self.shutdown.graceful.store(true, Ordering::Relaxed);
    }

    /// Ends at once; what is unfinished is answered as it stands.
    pub fn force_shutdown(&self) {
        self.shutdown.forced.store(true, Ordering::Relaxed);
    }

    /// Whether it has ended.
    #[must_use]
    pub fn is_finished(&self) -> bool {
        self.thread.is_finished()
    }

    /// Waits for the end of all threads.
    ///
    /// # Panics
    ///
    /// When one of them has panicked.
    #[must_use]
    pub fn join(self) -> ShutdownKind {
        joined(self.thread.join())
    }
}

/// The threads beside the control thread.
struct Threads {
    http: JoinHandle<()>,
    server: ServerHandle,
    links: JoinHandle<()>,
    clients: JoinHandle<()>,
}

fn run_control(control: Control, inputs: Inputs, threads: Threads) -> ShutdownKind {
    let ended = System::new().block_on(async {
        let ended = control.run(inputs).await;
        http::stop(&threads.server, ended).await;
        ended
    });
    joined(threads.http.join());
    joined(threads.links.join());
    joined(threads.clients.join());
    ended
}

fn joined<T>(result: thread::Result<T>) -> T {
    result.unwrap_or_else(|panic| resume_unwind(panic))
}

/// Ends the process when its thread ends, for whatever reason.
///
/// A thread that panicked would leave a process that still answers `/healthz` and does nothing.
struct EndWithThread(Arc<ShutdownRequests>);

impl Drop for EndWithThread {
    fn drop(&mut self) {
        self.0.forced.store(true, Ordering::Relaxed);
    }
}

fn spawn(
    name: &str,
    shutdown: &Arc<ShutdownRequests>,
    work: impl FnOnce() + Send + 'static,
) -> io::Result<JoinHandle<()>> {
    let end = EndWithThread(Arc::clone(shutdown));
    thread::Builder::new().name(name.to_owned()).spawn(move || {
        let _end = end;
        work();
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
                    let _ = server.await;
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

fn listen(address: SocketAddr) -> Result<(TcpListener, SocketAddr), StartError> {
    let failed = |error| StartError::Listen { address, error };
    let listener = TcpListener::bind(address).map_err(failed)?;
    listener.set_nonblocking(true).map_err(failed)?;
    let address = listener.local_addr().map_err(failed)?;
    Ok((listener, address))
}

/// A life that is later than all earlier ones on this VM, as long as its clock is not set back.
fn draw_incarnation() -> Incarnation {
    let since_1970 = SystemTime::now().duration_since(UNIX_EPOCH);
    let us = since_1970.map_or(0, |since| since.as_micros());
    Incarnation(u64::try_from(us).unwrap_or(u64::MAX))
}
