//! A whole small deployment in one process: stand-ins, entries in two availability zones, and a
//! sidecar beside each backend server, on loopback ports.

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
/// The key of the links; a deployment that others can reach needs a secret one.
const LINK_KEY: &str = "only-for-the-demo-on-loopback";
/// The documents that are published, which are the examples.
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
/// How long a process may take until it is ready.
const START_LIMIT: Duration = Duration::from_secs(20);
/// The time between two looks at something that is awaited.
const LOOK: Duration = Duration::from_millis(50);

/// How large a deployment is.
#[derive(Debug, Clone)]
pub struct DeploymentSettings {
    /// The engines, with a sidecar each.
    pub engines: usize,
    /// How they behave.
    pub engine: EngineSettings,
    /// How late the VM list shows changes.
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

/// What a daemon of the deployment stands for.
#[derive(Debug, Clone)]
enum Place {
    Entry { zone: &'static str },
    Engine { number: usize },
    Plain,
}

/// One daemon and the VM that it runs on.
struct Running {
    place: Place,
    vm: VmId,
    daemon: Daemon,
}

/// A running deployment.
pub struct Deployment {
    /// The stand-ins.
    pub servers: Servers,
    /// The balancer before the entries.
    pub balancer: Balancer,
    daemons: Mutex<Vec<Running>>,
    /// Numbers the entries: a new one comes on a new VM, a sidecar stays on its backend server's.
    next_entry: Mutex<u64>,
}

impl Deployment {
    /// Starts all processes; they still have to read their documents.
    ///
    /// # Errors
    ///
    /// When a port can't be had or a process does not start.
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
            next_entry: Mutex::new(0),
        };
        let entries = ZONES.into_iter().map(|zone| Place::Entry { zone });
        let engines = (0..settings.engines).map(|number| Place::Engine { number });
        for place in entries.chain(engines).chain([Place::Plain]) {
            deployment.launch(place)?;
        }
        Ok(deployment)
    }

    /// Starts a process and puts its VM on the list.
    fn launch(&self, place: Place) -> Result<SocketAddr, Failure> {
        let settings = self.process_settings(&place)?;
        let role = match settings.role {
            Role::Entry(_) => VmRole::Entry,
            Role::Sidecar(_) => VmRole::Sidecar,
        };
        let service = match &settings.role {
            Role::Entry(_) => None,
            Role::Sidecar(sidecar) => Some(sidecar.service.clone()),
        };
        let (vm, zone) = (settings.vm.clone(), settings.zone.clone());
        let daemon =
            Daemon::start(settings).map_err(|err| Failure::Check(format!("{vm}: {err}")))?;
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
        lock(&self.daemons).push(Running { place, vm, daemon });
        Ok(address)
    }

    fn process_settings(&self, place: &Place) -> Result<Settings, Failure> {
        let addresses = &self.servers.addresses;
        let (vm, zone, role) = match place {
            Place::Entry { zone } => {
                let role = EntryRole {
                    log_address: addresses.log,
                    vms_address: addresses.vms,
                    default_service: Some(name(CHAT_SERVICE)?),
                    vms_poll_us: SpanUs::from_ms(100),
                    ..EntryRole::default()
                };
                (self.entry_name(), *zone, Role::Entry(role))
            }
            Place::Engine { number } => {
                let role = SidecarRole {
                    service: name(CHAT_SERVICE)?,
                    backend_kind: BackendKind::Engine,
                    backend_address: addresses.engines[*number],
                    ..SidecarRole::default()
                };
                let zone = ZONES[number % ZONES.len()];
                (format!("engine-{number}"), zone, Role::Sidecar(role))
            }
            Place::Plain => {
                let role = SidecarRole {
                    service: name(PLAIN_SERVICE)?,
                    backend_kind: BackendKind::Plain,
                    backend_address: addresses.plains[0],
                    ..SidecarRole::default()
                };
                ("book-0".to_owned(), "rubavu-hall", Role::Sidecar(role))
            }
        };
        let current = LinkKey::new(LINK_KEY);
        let current = current.ok_or_else(|| Failure::Check("the key is short".to_owned()))?;
        Ok(Settings {
            vm: name(&vm)?,
            zone: name(zone)?,
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

    fn entry_name(&self) -> String {
        let mut next = lock(&self.next_entry);
        *next += 1;
        format!("entry-{next}")
    }

    /// Publishes the example documents.
    ///
    /// # Errors
    ///
    /// When the log does not take them.
    pub async fn publish(&self, client: &Client) -> Result<(), Failure> {
        let mut rng = rand::rng();
        for (service, document) in DOCUMENTS {
            let record = Record {
                id: RecordId::draw(&mut rng),
                writer: name("operator")?,
                incarnation: Incarnation(1),
                body: RecordBody::Publish {
                    operation: OperationId::draw(&mut rng),
                    service: name::<ServiceName>(service)?,
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
            let response = sent.map_err(|err| Failure::Check(format!("the log: {err}")))?;
            if !response.status().is_success() {
                return Err(Failure::Check(format!("the log: {}", response.status())));
            }
        }
        Ok(())
    }

    /// Waits until all entries are ready and have the documents in force.
    ///
    /// # Errors
    ///
    /// When one of them takes too long.
    pub async fn wait_ready(&self, client: &Client) -> Result<(), Failure> {
        let begun = Instant::now();
        while !self.is_ready(client).await {
            if begun.elapsed() > START_LIMIT {
                let text = format!("the entries were not ready within {START_LIMIT:?}");
                return Err(Failure::Check(text));
            }
            actix_rt::time::sleep(LOOK).await;
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

    /// Replaces all processes, one after the other, and waits for each to end by itself; it blocks.
    ///
    /// # Errors
    ///
    /// When one does not start, or had to be forced to end.
    pub fn rolling_restart(&self) -> Result<usize, Failure> {
        let count = lock(&self.daemons).len();
        for _ in 0..count {
            let old = lock(&self.daemons).remove(0);
            match old.place {
                Place::Entry { .. } => {
                    let fresh = self.launch(old.place.clone())?;
                    self.wait_for(fresh)?;
                    self.retire(old)?;
                }
                // Two sidecars beside one backend server would both admit to it.
                Place::Engine { .. } | Place::Plain => {
                    let place = old.place.clone();
                    self.retire(old)?;
                    self.launch(place)?;
                }
            }
        }
        Ok(count)
    }

    fn wait_for(&self, entry: SocketAddr) -> Result<(), Failure> {
        let begun = Instant::now();
        while !self.balancer.ready_entries().contains(&entry) {
            if begun.elapsed() > START_LIMIT {
                let text = format!("a new entry was not ready within {START_LIMIT:?}");
                return Err(Failure::Check(text));
            }
            thread::sleep(LOOK);
        }
        Ok(())
    }

    fn retire(&self, old: Running) -> Result<(), Failure> {
        self.servers.vms.set_leaving(&old.vm);
        old.daemon.shutdown();
        let address = old.daemon.http_address();
        let ended = old.daemon.join();
        self.balancer.remove(address);
        self.servers.vms.remove(old.vm.clone());
        if ended == ShutdownKind::Forced {
            let text = format!("{} had to be forced to end", old.vm);
            return Err(Failure::Check(text));
        }
        Ok(())
    }

    /// The tokens that all engines hold.
    #[must_use]
    pub fn held_tokens(&self) -> Tokens {
        self.servers.engines.iter().map(used_tokens).sum()
    }

    /// Waits until no engine holds memory; returns what is left after `limit`.
    pub async fn wait_released(&self, limit: Duration) -> Tokens {
        let begun = Instant::now();
        loop {
            let held = self.held_tokens();
            if held == Tokens(0) || begun.elapsed() > limit {
                return held;
            }
            actix_rt::time::sleep(LOOK).await;
        }
    }

    /// The calls that entries tried again elsewhere, summed over the entries that run.
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

    /// Ends all processes; it blocks.
    ///
    /// # Errors
    ///
    /// When one had to be forced to end.
    pub fn stop(self) -> Result<(), Failure> {
        let daemons = std::mem::take(&mut *lock(&self.daemons));
        // Entries first: what they have begun still needs the sidecars.
        let (entries, sidecars): (Vec<Running>, Vec<Running>) = daemons
            .into_iter()
            .partition(|running| matches!(running.place, Place::Entry { .. }));
        for group in [entries, sidecars] {
            for running in &group {
                running.daemon.shutdown();
            }
            for running in group {
                self.retire(running)?;
            }
        }
        Ok(self.servers.stop()?)
    }
}

/// A name that stands in the code.
fn name<T>(text: &str) -> Result<T, Failure>
where
    T: std::str::FromStr,
    T::Err: ToString,
{
    text.parse()
        .map_err(|err: T::Err| Failure::Check(err.to_string()))
}
