//! Gateways before a store and backend servers, all in one process on loopback ports.

use std::io;
use std::net::SocketAddr;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use clementinepick::ids::{VmId, ZoneName};
use clementinepickd::LedgerSettings;
use clementinepickd::gateway::{Gateway, GatewayAddresses};
use clementinepickd::gateway_settings::GatewaySettings;
use clementinepickd::settings::LogLevel;
use tokio::sync::oneshot;

use crate::platform_backend::{BackendSettings, PlatformBackend};
use crate::platform_store::{PlatformStore, StoreEndpoint};

/// The service that runs turns.
pub const MODEL_SERVICE: &str = "models";
/// The service that runs plain requests.
pub const PLAIN_SERVICE: &str = "plain";
/// The host that all routes have.
pub const HOST: &str = "host.example";

/// A configuration with one route of each sort: `/chat/` keeps context, `/draft/` may be resumed,
/// `/look/` is idempotent, `/book/` is not.
#[must_use]
pub fn config(version: u64) -> String {
    let route = |name: &str, more: &str| {
        format!(r#"{{"Name":"{name}","Host":"{HOST}","PathPrefix":"/{name}/",{more}}}"#)
    };
    let stream = r#""Kind":"streaming","TimeoutMs":2000,"TargetLatencyMs":100,"GapTargetMs":150,"Service":"models","RetainS":60.0,"Sticky":true,"Attempts":2"#;
    let routes = [
        route("chat", &format!(r#"{stream},"KeepContext":true"#)),
        route("draft", &format!(r#"{stream},"Resumable":true"#)),
        route(
            "look",
            r#""Kind":"idempotent","TimeoutMs":1200,"TargetLatencyMs":50,"Service":"plain","Attempts":2"#,
        ),
        route(
            "book",
            r#""Kind":"non_idempotent","TimeoutMs":1000,"TargetLatencyMs":100,"Service":"plain","Attempts":2"#,
        ),
    ];
    let routes = routes.join(",");
    format!(
        r#"{{"Version":{version},"Routes":[{routes}],"Services":[{{"Name":"models","HealthPath":"/healthz","MaxConns":50,"Engine":{{"Stride":10}}}},{{"Name":"plain","HealthPath":"/healthz","MaxConns":50}}],"Limits":{{"MaxHeaderBytes":4096,"MaxBodyBytes":100000,"HeaderTimeoutMs":400,"IdleTimeoutMs":5000}}}}"#
    )
}

/// A gateway in a thread of its own; dropped, it ends gracefully and is joined.
#[derive(Debug)]
pub struct RunningGateway {
    /// Where it listens.
    pub addresses: GatewayAddresses,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl RunningGateway {
    /// Starts a gateway.
    ///
    /// # Panics
    ///
    /// No port or thread can be had.
    #[must_use]
    pub fn start(settings: GatewaySettings) -> Self {
        Self::start_logging_to(io::stdout(), settings)
    }

    /// Starts a gateway that logs to `output`.
    ///
    /// # Panics
    ///
    /// No port or thread can be had.
    #[must_use]
    pub fn start_logging_to<W: io::Write + Send + 'static>(
        output: W,
        settings: GatewaySettings,
    ) -> Self {
        let gateway = Gateway::bind_logging_to(output, settings).expect("free ports");
        let addresses = gateway.addresses();
        let (stop, stopped) = oneshot::channel();
        let thread = thread::spawn(move || {
            let ran = gateway.run_until(move || async move {
                // The sender's end means the same as its message.
                let _ = stopped.await;
                Ok(())
            });
            ran.expect("a gateway that runs");
        });
        Self {
            addresses,
            stop: Some(stop),
            thread: Some(thread),
        }
    }

    /// Tells the gateway to end gracefully.
    pub fn terminate(&mut self) {
        if let Some(stop) = self.stop.take() {
            // A gateway that has ended already needs no telling.
            let _ = stop.send(());
        }
    }

    /// Whether it has ended.
    #[must_use]
    pub fn has_ended(&self) -> bool {
        self.thread.as_ref().is_none_or(JoinHandle::is_finished)
    }
}

impl Drop for RunningGateway {
    fn drop(&mut self) {
        self.terminate();
        if let Some(thread) = self.thread.take() {
            // A panic of the gateway has been printed; the test fails by the missing answers.
            let _ = thread.join();
        }
    }
}

/// A store, two engines, two plain servers and the gateways of a test.
#[derive(Debug)]
pub struct PlatformRun {
    /// The store.
    pub store: PlatformStore,
    /// The store's address for each gateway.
    pub store_endpoints: Vec<StoreEndpoint>,
    /// The engines.
    pub engines: Vec<PlatformBackend>,
    /// The plain servers.
    pub plains: Vec<PlatformBackend>,
    /// The gateways.
    pub gateways: Vec<RunningGateway>,
}

impl PlatformRun {
    /// Starts `gateways` gateways before two servers of each service, and waits until they are ready.
    ///
    /// # Errors
    ///
    /// A port or thread can't be had, or a gateway does not become ready.
    pub fn start(gateways: usize) -> io::Result<Self> {
        let store = PlatformStore::default();
        store.put("keyed.op", "config", &config(1));
        let engines = start_backends("e", MODEL_SERVICE, &store)?;
        let plains = start_backends("p", PLAIN_SERVICE, &store)?;
        let mut run = Self {
            store,
            store_endpoints: Vec::new(),
            engines,
            plains,
            gateways: Vec::new(),
        };
        for _ in 0..gateways {
            run.add_gateway()?;
        }
        Ok(run)
    }

    /// Starts another gateway, which knows the others as its seeds.
    ///
    /// # Errors
    ///
    /// A port or thread can't be had, or it does not become ready.
    pub fn add_gateway(&mut self) -> io::Result<()> {
        self.add_gateway_with(|_| {})
    }

    /// Starts another gateway with changed settings.
    ///
    /// # Errors
    ///
    /// A port or thread can't be had, or it does not become ready.
    pub fn add_gateway_with(
        &mut self,
        change: impl FnOnce(&mut GatewaySettings),
    ) -> io::Result<()> {
        let mut settings = self.settings_with_door()?;
        settings.log_level = LogLevel::Off;
        change(&mut settings);
        self.add(RunningGateway::start(settings))
    }

    /// Starts another gateway that logs all it can to `output`.
    ///
    /// # Errors
    ///
    /// A port or thread can't be had, or it does not become ready.
    pub fn add_logging_gateway<W: io::Write + Send + 'static>(
        &mut self,
        output: W,
    ) -> io::Result<()> {
        let settings = GatewaySettings {
            log_level: LogLevel::Info,
            log_every: 1,
            ..self.settings_with_door()?
        };
        self.add(RunningGateway::start_logging_to(output, settings))
    }

    fn settings_with_door(&mut self) -> io::Result<GatewaySettings> {
        let door = self.store.open()?;
        let seeds = self.gateways.iter().map(|g| g.addresses.peers).collect();
        let settings = self.settings(door.address, seeds);
        self.store_endpoints.push(door);
        Ok(settings)
    }

    fn add(&mut self, gateway: RunningGateway) -> io::Result<()> {
        self.gateways.push(gateway);
        let ready = self.gateways[self.gateways.len() - 1].addresses.ready;
        wait_until(|| is_ready(ready))
    }

    /// The settings of a gateway for this run.
    ///
    /// # Panics
    ///
    /// Never: the names in it are valid.
    #[must_use]
    pub fn settings(&self, store: SocketAddr, seeds: Vec<SocketAddr>) -> GatewaySettings {
        let number = self.gateways.len();
        GatewaySettings {
            vm: VmId::try_from(format!("gateway-{number}")).expect("a name"),
            zone: ZoneName::try_from("z".to_owned()).expect("a name"),
            metrics: Some("127.0.0.1:0".parse().expect("an address")),
            ledger: LedgerSettings {
                record_bytes: 50_000,
                ..LedgerSettings::default()
            },
            store,
            seeds,
            drain_delay: Duration::from_millis(300),
            shutdown_limit: Duration::from_secs(3),
            ..GatewaySettings::default()
        }
    }

    /// The callers' address of a gateway.
    #[must_use]
    pub fn callers(&self, gateway: usize) -> SocketAddr {
        self.gateways[gateway].addresses.callers
    }
}

fn start_backends(
    name: &str,
    service: &str,
    store: &PlatformStore,
) -> io::Result<Vec<PlatformBackend>> {
    (1..=2)
        .map(|number| {
            let id = format!("{name}-{number}");
            let backend = PlatformBackend::start(BackendSettings {
                id: id.clone(),
                ..BackendSettings::default()
            })?;
            store.put("keyed.servers", &id, &backend.entry(service, "ready"));
            Ok(backend)
        })
        .collect()
}

/// Starts an engine that runs up to 200 short turns at once, and lists it.
///
/// # Panics
///
/// No port or thread can be had.
#[must_use]
pub fn start_large_engine(store: &PlatformStore) -> PlatformBackend {
    let settings = BackendSettings {
        id: "e-1".to_owned(),
        events: 2,
        pause: Duration::from_millis(1),
        ..BackendSettings::default()
    };
    let engine = PlatformBackend::start(settings).expect("a free port");
    let entry = engine.entry(MODEL_SERVICE, "ready");
    let entry = entry.replace("\"Slots\":8", "\"Slots\":200");
    store.put("keyed.servers", "e-1", &entry);
    engine
}

/// Returns a configuration that allows the connections of [`start_large_engine`].
#[must_use]
pub fn large_engine_config() -> String {
    config(1).replace("\"MaxConns\":50", "\"MaxConns\":300")
}

/// Waits until something holds, for ten seconds at most; machines under load are slow.
///
/// # Errors
///
/// It does not hold in time.
pub fn wait_until(holds: impl Fn() -> bool) -> io::Result<()> {
    let end = Instant::now() + Duration::from_secs(10);
    while Instant::now() < end {
        if holds() {
            return Ok(());
        }
        thread::sleep(Duration::from_millis(10));
    }
    Err(io::ErrorKind::TimedOut.into())
}

/// Whether the gateway with this readiness address says that it takes requests.
#[must_use]
pub fn is_ready(address: SocketAddr) -> bool {
    let request = "GET /clementinepick/readyz HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
    crate::platform_caller::exchange(address, request.as_bytes()).is_ok_and(|a| a.status == 200)
}
