//! Runs a small deployment in one process on loopback ports: the stand-ins, entries in two
//! availability zones, and a sidecar for each backend server.

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use awc::Client;
use clementinepick::ids::{Incarnation, OperationId, RecordId, Revision, ServiceName, VmId};
use clementinepick::platform::{AppendBody, StreamName, Vm, VmRole, VmState};
use clementinepick::record::{Record, RecordBody};
use clementinepick::units::{SpanUs, Tokens};
use clementinepickd::settings::{
    BackendKind, EntryRole, LinkKey, LinkKeys, LinkSettings, LogLevel, Role, Settings,
    ShutdownSettings, SidecarRole,
};
use clementinepickd::{Daemon, ShutdownKind};
use serde_json::Value;

use crate::Failure;
use crate::balancer::Balancer;
use crate::engine::EngineSettings;
use crate::http::lock;
use crate::http_engine::used_tokens;
use crate::log_service::LogSettings;
use crate::plain_service::PlainSettings;
use crate::run_program::{CHAT_SERVICE, PLAIN_SERVICE};
use crate::servers::{ServerSettings, Servers};
use crate::weight_store::WeightSettings;

const ANY_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
/// The link key; safe to publish only because the deployment listens on loopback.
const LINK_KEY: &str = "only-for-the-demo-on-loopback";
/// The published documents: the examples.
const DOCUMENTS: [(&str, &str); 2] = [
    (
        CHAT_SERVICE,
        include_str!("../../examples/documents/agent-llm.ini"),
    ),
    (
        PLAIN_SERVICE,
        include_str!("../../examples/documents/book-app.ini"),
    ),
];
/// The availability zones of the entries.
const ZONES: [&str; 2] = ["musanze-hall", "kinigi-room"];
/// The timeout for a process to become ready.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// The polling interval of wait loops.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The settings of a deployment.
#[derive(Debug, Clone)]
pub struct DeploymentSettings {
    /// The number of engines, each with a sidecar.
    pub engines: usize,
    /// The behaviour of each engine.
    pub engine: EngineSettings,
    /// The delay with which the VM list shows changes.
    pub vms_lag: SpanUs,
}

impl Default for DeploymentSettings {
    fn default() -> Self {
        Self {
            engines: 4,
            engine: EngineSettings {
                step_base_us: SpanUs::from_ms(4),
                step_per_sequence_us: SpanUs(100),
                ..EngineSettings::default()
            },
            vms_lag: SpanUs::from_ms(300),
        }
    }
}

/// The role of a daemon in the deployment.
#[derive(Debug, Clone)]
enum DaemonRole {
    Entry { zone: &'static str },
    Engine { number: usize },
    Plain,
}

/// A running daemon and the id of its VM.
struct RunningDaemon {
    daemon_role: DaemonRole,
    vm: VmId,
    daemon: Daemon,
}

/// A running deployment.
pub struct Deployment {
    /// The stand-ins.
    pub servers: Servers,
    /// The balancer of the entries.
    pub balancer: Balancer,
    daemons: Mutex<Vec<RunningDaemon>>,
    /// The number of the last entry; a replaced entry gets a new VM, a sidecar keeps its VM.
    last_entry: Mutex<u64>,
}

impl Deployment {
    /// Starts all processes without waiting until they are ready.
    ///
    /// # Errors
    ///
    /// Returns an error if a port can't be bound or a process fails to start.
    pub fn start(settings: &DeploymentSettings) -> Result<Self, Failure> {
        let engine = |number: usize| EngineSettings {
            seed: number as u64,
            ..settings.engine.clone()
        };
        let servers = Servers::start(&ServerSettings {
            log: (ANY_PORT, LogSettings::default()),
            vms: (ANY_PORT, settings.vms_lag),
            weights: (ANY_PORT, WeightSettings::default()),
            tools: ANY_PORT,
            engines: (0..settings.engines)
                .map(|number| (ANY_PORT, engine(number)))
                .collect(),
            plains: vec![(ANY_PORT, PlainSettings::default())],
            workers: 2,
            takes_signals: false,
        })?;
        let deployment = Self {
            servers,
            balancer: Balancer::default(),
            daemons: Mutex::default(),
            last_entry: Mutex::new(0),
        };
        let entries = ZONES.into_iter().map(|zone| DaemonRole::Entry { zone });
        let engines = (0..settings.engines).map(|number| DaemonRole::Engine { number });
        for daemon_role in entries.chain(engines).chain([DaemonRole::Plain]) {
            deployment.launch(daemon_role)?;
        }
        Ok(deployment)
    }

    /// Starts a daemon and adds its VM to the VM list; returns the daemon's HTTP address.
    fn launch(&self, daemon_role: DaemonRole) -> Result<SocketAddr, Failure> {
        let settings = self.process_settings(&daemon_role)?;
        let role = match settings.role {
            Role::Entry(_) => VmRole::Entry,
            Role::Sidecar(_) => VmRole::Sidecar,
        };
        let service = match &settings.role {
            Role::Entry(_) => None,
            Role::Sidecar(sidecar) => Some(sidecar.service.clone()),
        };
        let (vm, zone) = (settings.vm.clone(), settings.zone.clone());
        let daemon = Daemon::start(settings)
            .map_err(|err| Failure::Check(format!("can't start the daemon of {vm}: {err}")))?;
        self.servers.vms.set(Vm {
            id: vm.clone(),
            role,
            service,
            zone,
            link_address: daemon.link_address().to_string(),
            state: VmState::Live,
        });
        let address = daemon.http_address();
        if role == VmRole::Entry {
            self.balancer.add(address);
        }
        lock(&self.daemons).push(RunningDaemon {
            daemon_role,
            vm,
            daemon,
        });
        Ok(address)
    }

    fn process_settings(&self, daemon_role: &DaemonRole) -> Result<Settings, Failure> {
        let addresses = &self.servers.addresses;
        let (vm, zone, role) = match daemon_role {
            DaemonRole::Entry { zone } => {
                let role = EntryRole {
                    log_address: addresses.log,
                    vms_address: addresses.vms,
                    default_service: Some(parse_name(CHAT_SERVICE)?),
                    vms_poll_us: SpanUs::from_ms(100),
                    ..EntryRole::default()
                };
                (self.next_entry_name(), *zone, Role::Entry(role))
            }
            DaemonRole::Engine { number } => {
                let role = SidecarRole {
                    service: parse_name(CHAT_SERVICE)?,
                    backend_kind: BackendKind::Engine,
                    backend_address: addresses.engines[*number],
                    ..SidecarRole::default()
                };
                let zone = ZONES[number % ZONES.len()];
                (format!("engine-{number}"), zone, Role::Sidecar(role))
            }
            DaemonRole::Plain => {
                let role = SidecarRole {
                    service: parse_name(PLAIN_SERVICE)?,
                    backend_kind: BackendKind::Plain,
                    backend_address: addresses.plains[0],
                    ..SidecarRole::default()
                };
                ("book-0".to_owned(), "rubavu-hall", Role::Sidecar(role))
            }
        };
        let current = LinkKey::new(LINK_KEY);
        let current =
            current.ok_or_else(|| Failure::Check("the link key is too short".to_owned()))?;
        Ok(Settings {
            vm: parse_name(&vm)?,
            zone: parse_name(zone)?,
            role,
            log_level: LogLevel::Error,
            links: LinkSettings {
                keys: LinkKeys {
                    current,
                    previous: None,
                },
                ..LinkSettings::default()
            },
            shutdown: ShutdownSettings {
                drain_delay_us: SpanUs::from_s(1),
                limit_us: SpanUs::from_s(60),
                ..ShutdownSettings::default()
            },
            ..Settings::default()
        })
    }

    fn next_entry_name(&self) -> String {
        let mut last = lock(&self.last_entry);
        *last += 1;
        format!("entry-{last}")
    }

    /// Publishes the example documents.
    ///
    /// # Errors
    ///
    /// Returns an error if the log rejects a record or can't be reached.
    pub async fn publish(&self, client: &Client) -> Result<(), Failure> {
        let mut rng = rand::rng();
        for (service, document) in DOCUMENTS {
            let record = Record {
                id: RecordId::draw(&mut rng),
                writer: parse_name("operator")?,
                incarnation: Incarnation(1),
                body: RecordBody::Publish {
                    operation: OperationId::draw(&mut rng),
                    service: parse_name::<ServiceName>(service)?,
                    base: Revision(0),
                    document: document.to_owned(),
                },
            };
            let text = serde_json::to_string(&record).map_err(io::Error::other)?;
            let url = format!(
                "http://{}/v1/streams/{}",
                self.servers.addresses.log,
                StreamName::Config
            );
            let records = vec![text];
            let sent = client.post(url).send_json(&AppendBody { records }).await;
            let response =
                sent.map_err(|err| Failure::Check(format!("can't publish {service}: {err}")))?;
            if !response.status().is_success() {
                return Err(Failure::Check(format!(
                    "can't publish {service}: the log returned {}",
                    response.status()
                )));
            }
        }
        Ok(())
    }

    /// Waits until all entries are ready and have applied the documents.
    ///
    /// # Errors
    ///
    /// Returns an error if an entry is not ready in time.
    pub async fn wait_ready(&self, client: &Client) -> Result<(), Failure> {
        let begun = Instant::now();
        while !self.is_ready(client).await {
            if begun.elapsed() > START_TIMEOUT {
                let text = format!("the entries were not ready within {START_TIMEOUT:?}");
                return Err(Failure::Check(text));
            }
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    async fn is_ready(&self, client: &Client) -> bool {
        self.balancer.check_readiness(client).await;
        let ready = self.balancer.ready_entries();
        if ready.len() < ZONES.len() {
            return false;
        }
        for entry in ready {
            let url = format!("http://{entry}/debug/dump");
            let Ok(mut response) = client.get(url).send().await else {
                return false;
            };
            let dump: Value = response.json().await.unwrap_or_default();
            let in_force =
                |(service, _): &(&str, &str)| dump["state"]["revisions"][service].is_u64();
            if !DOCUMENTS.iter().all(in_force) {
                return false;
            }
        }
        true
    }

    /// Replaces all daemons one by one, waiting for each to shut down gracefully; returns their number.
    /// Blocks the thread.
    ///
    /// # Errors
    ///
    /// Returns an error if a daemon fails to start or its shutdown was forced.
    pub fn rolling_restart(&self) -> Result<usize, Failure> {
        let count = lock(&self.daemons).len();
        for _ in 0..count {
            let old = lock(&self.daemons).remove(0);
            match old.daemon_role {
                DaemonRole::Entry { .. } => {
                    let replacement = self.launch(old.daemon_role.clone())?;
                    self.wait_entry_ready(replacement)?;
                    self.shut_down(old)?;
                }
                // Stops the old sidecar first: two sidecars of one backend server would each admit calls up
                // to its limit.
                DaemonRole::Engine { .. } | DaemonRole::Plain => {
                    let daemon_role = old.daemon_role.clone();
                    self.shut_down(old)?;
                    self.launch(daemon_role)?;
                }
            }
        }
        Ok(count)
    }

    fn wait_entry_ready(&self, entry: SocketAddr) -> Result<(), Failure> {
        let begun = Instant::now();
        while !self.balancer.ready_entries().contains(&entry) {
            if begun.elapsed() > START_TIMEOUT {
                let text = format!("a new entry was not ready within {START_TIMEOUT:?}");
                return Err(Failure::Check(text));
            }
            thread::sleep(POLL_INTERVAL);
        }
        Ok(())
    }

    fn shut_down(&self, old: RunningDaemon) -> Result<(), Failure> {
        self.servers.vms.set_leaving(&old.vm);
        old.daemon.shutdown();
        let address = old.daemon.http_address();
        let ended = old.daemon.join();
        self.balancer.remove(address);
        self.servers.vms.remove(old.vm.clone());
        if ended == ShutdownKind::Forced {
            let text = format!("the shutdown of {} was forced", old.vm);
            return Err(Failure::Check(text));
        }
        Ok(())
    }

    /// Returns the memory in use on all engines.
    #[must_use]
    pub fn held_tokens(&self) -> Tokens {
        self.servers.engines.iter().map(used_tokens).sum()
    }

    /// Waits until no engine memory is in use, at most for `limit`; returns the memory still in use.
    pub async fn wait_released(&self, limit: Duration) -> Tokens {
        let begun = Instant::now();
        loop {
            let held = self.held_tokens();
            if held == Tokens(0) || begun.elapsed() > limit {
                return held;
            }
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns the number of calls that the ready entries retried on another backend server.
    pub async fn system_retries(&self, client: &Client) -> u64 {
        let mut sum = 0;
        for entry in self.balancer.ready_entries() {
            let sent = client.get(format!("http://{entry}/metrics")).send().await;
            let Ok(mut response) = sent else { continue };
            let Ok(body) = response.body().await else {
                continue;
            };
            sum += String::from_utf8_lossy(&body)
                .lines()
                .filter(|line| line.contains("\"call_retried\""))
                .filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok())
                .sum::<u64>();
        }
        sum
    }

    /// Shuts down all processes. Blocks the thread.
    ///
    /// # Errors
    ///
    /// Returns an error if the shutdown of a daemon was forced.
    pub fn stop(self) -> Result<(), Failure> {
        let daemons = std::mem::take(&mut *lock(&self.daemons));
        // Entries first: their calls in progress still need the sidecars.
        let (entries, sidecars): (Vec<RunningDaemon>, Vec<RunningDaemon>) = daemons
            .into_iter()
            .partition(|running| matches!(running.daemon_role, DaemonRole::Entry { .. }));
        for group in [entries, sidecars] {
            for running in &group {
                running.daemon.shutdown();
            }
            for running in group {
                self.shut_down(running)?;
            }
        }
        Ok(self.servers.stop()?)
    }
}

/// Parses a name given in the code.
fn parse_name<T>(text: &str) -> Result<T, Failure>
where
    T: std::str::FromStr,
    T::Err: ToString,
{
    text.parse()
        .map_err(|err: T::Err| Failure::Check(err.to_string()))
}
