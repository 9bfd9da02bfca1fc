//! Runs stand-ins behind HTTP: one thread and its workers for all of them.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc;
use std::thread::{self, JoinHandle};

use actix_http::HttpService;
use actix_rt::System;
use actix_server::{Server, ServerBuilder, ServerHandle};
use clementinepick::units::SpanUs;

use crate::clock::Clock;
use crate::engine::EngineSettings;
use crate::http_engine::EngineHost;
use crate::http_plain::PlainHost;
use crate::http_platform::{LogHost, ToolHost, VmHost, WeightHost};
use crate::log_service::LogSettings;
use crate::plain_service::PlainSettings;
use crate::tool_service::ToolService;
use crate::weight_store::WeightSettings;

/// What runs where; port 0 lets the system choose.
#[derive(Debug, Clone)]
pub struct ServerSettings {
    /// The log.
    pub log: (SocketAddr, LogSettings),
    /// The list of VMs and its lag.
    pub vms: (SocketAddr, SpanUs),
    /// The weight store.
    pub weights: (SocketAddr, WeightSettings),
    /// The tools.
    pub tools: SocketAddr,
    /// The engines.
    pub engines: Vec<(SocketAddr, EngineSettings)>,
    /// The plain services.
    pub plains: Vec<(SocketAddr, PlainSettings)>,
    /// The threads that carry connections.
    pub workers: usize,
    /// Whether SIGINT and SIGTERM end them.
    pub takes_signals: bool,
}

/// Where the stand-ins listen.
#[derive(Debug, Clone)]
pub struct Addresses {
    /// The log.
    pub log: SocketAddr,
    /// The list of VMs.
    pub vms: SocketAddr,
    /// The weight store.
    pub weights: SocketAddr,
    /// The tools.
    pub tools: SocketAddr,
    /// The engines.
    pub engines: Vec<SocketAddr>,
    /// The plain services.
    pub plains: Vec<SocketAddr>,
}

/// Running stand-ins.
pub struct Servers {
    /// Where they listen.
    pub addresses: Addresses,
    /// The log.
    pub log: LogHost,
    /// The list of VMs.
    pub vms: VmHost,
    /// The engines.
    pub engines: Vec<EngineHost>,
    /// The plain services.
    pub plains: Vec<PlainHost>,
    handle: ServerHandle,
    thread: JoinHandle<io::Result<()>>,
}

/// The listeners, bound before any thread starts.
struct Listeners {
    log: TcpListener,
    vms: TcpListener,
    weights: TcpListener,
    tools: TcpListener,
    engines: Vec<TcpListener>,
    plains: Vec<TcpListener>,
}

impl Listeners {
    fn bind(settings: &ServerSettings) -> io::Result<Self> {
        let bind = |address: &SocketAddr| {
            TcpListener::bind(address)
                .map_err(|err| io::Error::new(err.kind(), format!("{address}: {err}")))
        };
        let engines = settings.engines.iter().map(|(address, _)| bind(address));
        let plains = settings.plains.iter().map(|(address, _)| bind(address));
        Ok(Self {
            log: bind(&settings.log.0)?,
            vms: bind(&settings.vms.0)?,
            weights: bind(&settings.weights.0)?,
            tools: bind(&settings.tools)?,
            engines: engines.collect::<io::Result<_>>()?,
            plains: plains.collect::<io::Result<_>>()?,
        })
    }

    fn addresses(&self) -> io::Result<Addresses> {
        let all = |listeners: &[TcpListener]| -> io::Result<Vec<SocketAddr>> {
            listeners.iter().map(TcpListener::local_addr).collect()
        };
        Ok(Addresses {
            log: self.log.local_addr()?,
            vms: self.vms.local_addr()?,
            weights: self.weights.local_addr()?,
            tools: self.tools.local_addr()?,
            engines: all(&self.engines)?,
            plains: all(&self.plains)?,
        })
    }
}

/// The cores, each with its HTTP side.
#[derive(Clone)]
struct Hosts {
    log: LogHost,
    vms: VmHost,
    weights: WeightHost,
    tools: ToolHost,
    engines: Vec<EngineHost>,
    plains: Vec<PlainHost>,
}

impl Hosts {
    fn new(settings: &ServerSettings, addresses: &Addresses) -> Self {
        let clock = Clock::start();
        let store = Some(addresses.weights);
        let engines = settings.engines.iter();
        let plains = settings.plains.iter();
        Self {
            log: LogHost::new(settings.log.1.clone(), clock),
            vms: VmHost::new(settings.vms.1, clock),
            weights: WeightHost::new(settings.weights.1.clone(), clock),
            tools: ToolHost::new(ToolService::new(std::collections::BTreeMap::new(), 0)),
            engines: engines
                .map(|(_, settings)| EngineHost::new(settings.clone(), clock, store))
                .collect(),
            plains: plains
                .map(|(_, settings)| PlainHost::new(settings.clone(), clock))
                .collect(),
        }
    }
}

impl Servers {
    /// Starts them and returns when they listen.
    ///
    /// # Errors
    ///
    /// When an address can't be bound or a thread can't be started.
    pub fn start(settings: &ServerSettings) -> io::Result<Self> {
        let listeners = Listeners::bind(settings)?;
        let addresses = listeners.addresses()?;
        let hosts = Hosts::new(settings, &addresses);
        let (running, handle) = mpsc::channel();
        let (settings, for_thread) = (settings.clone(), hosts.clone());
        let thread = thread::Builder::new()
            .name("stand-ins".to_owned())
            .spawn(move || {
                System::new().block_on(async move {
                    let server = serve(&settings, listeners, for_thread)?;
                    let _ = running.send(server.handle());
                    server.await
                })
            })?;
        let Ok(handle) = handle.recv() else {
            let ended = thread.join().unwrap_or(Ok(()));
            return Err(ended.err().unwrap_or(io::ErrorKind::Other.into()));
        };
        Ok(Self {
            addresses,
            log: hosts.log,
            vms: hosts.vms,
            engines: hosts.engines,
            plains: hosts.plains,
            handle,
            thread,
        })
    }

    /// Ends them and waits for their threads.
    ///
    /// # Errors
    ///
    /// When a server failed before.
    pub fn stop(self) -> io::Result<()> {
        // The command takes effect without being awaited; the thread ends with the server.
        drop(self.handle.stop(false));
        self.join()
    }

    /// Waits until they end by a signal.
    ///
    /// # Errors
    ///
    /// When a server failed.
    pub fn join(self) -> io::Result<()> {
        let ended = self.thread.join();
        ended.unwrap_or_else(|_| Err(io::Error::other("a stand-in's thread panicked")))
    }
}

/// Binds one handler to one listener.
macro_rules! listen {
    ($builder:expr, $name:literal, $listener:expr, $host:expr) => {{
        let host = $host;
        $builder.listen($name, $listener, move || {
            let host = host.clone();
            HttpService::build()
                .finish(move |request| host.clone().handle(request))
                .tcp()
        })?
    }};
}

fn serve(settings: &ServerSettings, listeners: Listeners, hosts: Hosts) -> io::Result<Server> {
    for engine in &hosts.engines {
        actix_rt::spawn(engine.clone().drive());
    }
    let mut builder: ServerBuilder = Server::build()
        .workers(settings.workers.max(1))
        .shutdown_timeout(1);
    if !settings.takes_signals {
        builder = builder.disable_signals();
    }
    builder = listen!(builder, "log", listeners.log, hosts.log);
    builder = listen!(builder, "vms", listeners.vms, hosts.vms);
    builder = listen!(builder, "weights", listeners.weights, hosts.weights);
    builder = listen!(builder, "tools", listeners.tools, hosts.tools);
    for (listener, host) in listeners.engines.into_iter().zip(hosts.engines) {
        builder = listen!(builder, "engine", listener, host);
    }
    for (listener, host) in listeners.plains.into_iter().zip(hosts.plains) {
        builder = listen!(builder, "plain", listener, host);
    }
    Ok(builder.run())
}
