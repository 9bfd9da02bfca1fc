//! Starts the servers of the services of drafts in a soak, and replaces them by those of the next
//! software version.

use std::collections::BTreeMap;
use std::io;
use std::sync::Mutex;
use std::thread::sleep;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::lock;
use crate::platform_backend::{BackendFault, BackendSettings, PlatformBackend};
use crate::platform_store::PlatformStore;
use crate::soak_answers::CutLink;
use crate::soak_config::draft_service;
use crate::soak_history::{EVENTS_PER_STREAM, ExecutedRequest};
use crate::soak_release_checks::ReleaseTimes;
use crate::soak_servers::spoils_response;

/// The number of services of drafts: a service has a sole version only before its first release.
pub const DRAFT_SERVICES: usize = 6;
/// The number of servers of each service at the start.
const SERVERS_PER_SERVICE: usize = 2;
/// The pause before each event, long enough that callers can leave between two.
const EVENT_PAUSE: Duration = Duration::from_millis(20);
/// How long a server is listed as draining, and how long it runs after it was removed.
const DRAIN_TIME: Duration = Duration::from_millis(300);
/// How long after the end of a server a gateway may find its connections closed.
const END_SLACK: Duration = Duration::from_millis(200);
/// How often a server that starts again tries to listen.
const BIND_TRIES: u32 = 50;
const BIND_PAUSE: Duration = Duration::from_millis(10);

/// How the next version of a service is released.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReleaseStyle {
    /// One server of the new version joins those of the old ones.
    JoinOne,
    /// Servers of the new version join one after the other, and all others are drained and leave.
    Rolling,
    /// A server is replaced under its id and address.
    InPlace {
        /// Whether it reports when it started.
        reports_start: bool,
    },
}

impl ReleaseStyle {
    fn of(random_value: u64) -> Self {
        match random_value % 6 {
            0 | 1 => Self::JoinOne,
            2 | 3 => Self::Rolling,
            4 => Self::InPlace {
                reports_start: true,
            },
            _ => Self::InPlace {
                reports_start: false,
            },
        }
    }
}

/// A server of drafts.
#[derive(Debug)]
struct Server {
    backend: PlatformBackend,
    settings: BackendSettings,
}

impl Server {
    fn executed(&self, started_at: Instant) -> impl Iterator<Item = ExecutedRequest> {
        let executions = self.backend.executions().into_iter();
        executions.map(move |execution| ExecutedRequest {
            ended_at: execution.ended_after(started_at),
            id: execution.id,
            body: String::from_utf8_lossy(&execution.request.body).into_owned(),
            server: self.settings.id.clone(),
            version: self.settings.version.clone(),
            is_faulty: execution.fault.is_some_and(spoils_response),
        })
    }
}

/// The servers of one service.
#[derive(Debug, Default)]
struct Service {
    servers: Vec<Server>,
    started_count: usize,
    version: u32,
    is_releasing: bool,
    first_release: Option<Duration>,
}

/// The services of drafts of a soak.
#[derive(Debug)]
pub struct ReleaseServers {
    services: Vec<Mutex<Service>>,
    /// What servers executed that have ended.
    executed: Mutex<Vec<ExecutedRequest>>,
    cut_links: Mutex<Vec<CutLink>>,
    started_at: Instant,
    store: PlatformStore,
    /// The number of versions that each service has from the start.
    first_versions: u32,
}

impl ReleaseServers {
    /// Starts the servers of `count` services, of `versions` software versions each, and lists them.
    ///
    /// # Errors
    ///
    /// Returns an error if a port or thread can't be obtained.
    pub fn start(
        store: &PlatformStore,
        started_at: Instant,
        count: usize,
        versions: u32,
    ) -> io::Result<Self> {
        let servers = Self {
            services: (0..count).map(|_| Mutex::default()).collect(),
            executed: Mutex::default(),
            cut_links: Mutex::default(),
            started_at,
            store: store.clone(),
            first_versions: versions,
        };
        for number in 0..count {
            for version in 1..=versions {
                lock(&servers.services[number]).version = version;
                for _ in 0..SERVERS_PER_SERVICE {
                    servers.join(number)?;
                }
            }
        }
        Ok(servers)
    }

    /// Returns whether the run has no services of drafts.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.services.is_empty()
    }

    /// Returns the services that are being released.
    #[must_use]
    pub fn releasing(&self) -> Vec<usize> {
        let services = self.services.iter().enumerate();
        let releasing = services.filter(|(_, service)| lock(service).is_releasing);
        releasing.map(|(number, _)| number).collect()
    }

    /// Releases the next version of a service over a time, unless a release of it is in progress.
    ///
    /// # Errors
    ///
    /// Returns an error if a port or thread can't be obtained.
    pub fn release(&self, random_value: u64, duration: Duration) -> io::Result<()> {
        let number = usize::try_from(random_value % DRAFT_SERVICES as u64).unwrap_or(0);
        {
            let mut service = lock(&self.services[number]);
            if service.is_releasing {
                return Ok(());
            }
            service.is_releasing = true;
            service.version += 1;
            service
                .first_release
                .get_or_insert(self.started_at.elapsed());
        }
        let started = Instant::now();
        let style = ReleaseStyle::of(random_value / DRAFT_SERVICES as u64);
        let released = self.release_as(number, style, duration);
        sleep(duration.saturating_sub(started.elapsed()));
        lock(&self.services[number]).is_releasing = false;
        released
    }

    fn release_as(&self, number: usize, style: ReleaseStyle, duration: Duration) -> io::Result<()> {
        match style {
            ReleaseStyle::JoinOne => self.join(number),
            ReleaseStyle::Rolling => {
                let old_count = lock(&self.services[number]).servers.len();
                self.join(number)?;
                sleep(duration / 2);
                self.join(number)?;
                (0..old_count).for_each(|_| self.leave(number));
                Ok(())
            }
            ReleaseStyle::InPlace { reports_start } => self.replace(number, reports_start),
        }
    }

    /// Starts a server of the newest version and lists it.
    fn join(&self, number: usize) -> io::Result<()> {
        let mut service = lock(&self.services[number]);
        // Where several versions serve from the start, some services report no start times at all.
        let reports_start = if self.first_versions > 1 {
            number.is_multiple_of(2)
        } else {
            service.started_count.is_multiple_of(2)
        };
        let settings = BackendSettings {
            id: format!("{}-{}", draft_service(number), service.started_count),
            version: format!("v{}", service.version),
            names_version: true,
            events: EVENTS_PER_STREAM,
            pause: EVENT_PAUSE,
            started_unix_ms: reports_start.then(unix_ms),
            ..BackendSettings::default()
        };
        service.started_count += 1;
        let backend = PlatformBackend::start(settings.clone())?;
        let server = Server { backend, settings };
        self.list(number, &server, "ready");
        service.servers.push(server);
        Ok(())
    }

    /// Drains the first server of a service, removes it from the list and ends it.
    fn leave(&self, number: usize) {
        let id = {
            let service = lock(&self.services[number]);
            let Some(server) = service.servers.first() else {
                return;
            };
            self.list(number, server, "draining");
            server.settings.id.clone()
        };
        sleep(DRAIN_TIME);
        self.store.remove("keyed.servers", &id);
        sleep(DRAIN_TIME);
        let server = lock(&self.services[number]).servers.remove(0);
        self.record_end(&server);
    }

    /// Ends a server and starts one of the newest version under its id and address.
    fn replace(&self, number: usize, reports_start: bool) -> io::Result<()> {
        let mut service = lock(&self.services[number]);
        let version = format!("v{}", service.version);
        let Some(server) = service.servers.first_mut() else {
            return Ok(());
        };
        server.backend.join();
        self.record_end(server);
        server.settings.version = version;
        server.settings.started_unix_ms = reports_start.then(unix_ms);
        let address = server.backend.address;
        let mut started = PlatformBackend::start_at(address, server.settings.clone());
        for _ in 0..BIND_TRIES {
            if started.is_ok() {
                break;
            }
            sleep(BIND_PAUSE);
            started = PlatformBackend::start_at(address, server.settings.clone());
        }
        server.backend = started?;
        self.list(number, server, "ready");
        Ok(())
    }

    /// Makes all servers report late on themselves.
    pub fn delay_reports(&self, delay: Duration) {
        for service in &self.services {
            for server in &lock(service).servers {
                let backend = &server.backend;
                backend.configure(|settings| settings.report_delay = delay);
            }
        }
    }

    /// Makes all servers close some of their connections, each at least one in three.
    pub fn break_connections(&self, random_value: u64) {
        let one_in = [2, 3][usize::from(random_value.is_multiple_of(2))];
        for service in &self.services {
            for server in &lock(service).servers {
                server.backend.break_connections(one_in);
                self.record_cut(server);
            }
        }
    }

    /// Makes all servers respond to their next requests with bytes that are no response, or with none.
    pub fn spoil_answers(&self, random_value: u64) {
        let fault = [BackendFault::Garble, BackendFault::LoseResponse];
        let fault = fault[usize::from(random_value.is_multiple_of(2))];
        for service in &self.services {
            for server in &lock(service).servers {
                server.backend.inject_fault(fault);
            }
        }
    }

    /// Writes the entry of one server again, as servers do from time to time.
    pub fn renew_entry(&self, random_value: u64) {
        let number = usize::try_from(random_value % DRAFT_SERVICES as u64).unwrap_or(0);
        if let Some(server) = lock(&self.services[number]).servers.last() {
            self.list(number, server, "ready");
        }
    }

    fn list(&self, number: usize, server: &Server, state: &str) {
        let entry = server.backend.entry(&draft_service(number), state);
        self.store.put("keyed.servers", &server.settings.id, &entry);
    }

    fn record_end(&self, server: &Server) {
        lock(&self.executed).extend(server.executed(self.started_at));
        self.record_cut(server);
    }

    /// Records that connections to a server break now.
    fn record_cut(&self, server: &Server) {
        let from = self.started_at.elapsed();
        lock(&self.cut_links).push(CutLink {
            server: server.settings.id.clone(),
            runs_turns: true,
            from,
            until: from + END_SLACK,
        });
    }

    /// Returns the requests that the servers executed.
    #[must_use]
    pub fn executed_requests(&self) -> Vec<ExecutedRequest> {
        let mut executed = lock(&self.executed).clone();
        for service in &self.services {
            let service = lock(service);
            let servers = service.servers.iter();
            executed.extend(servers.flat_map(|server| server.executed(self.started_at)));
        }
        executed
    }

    /// Returns the times in which servers ended.
    #[must_use]
    pub fn cut_links(&self) -> Vec<CutLink> {
        lock(&self.cut_links).clone()
    }

    /// Returns when each service got its second version; `None` without such services.
    #[must_use]
    pub fn release_times(&self) -> Option<ReleaseTimes> {
        let services = self.services.iter().enumerate();
        let released: BTreeMap<String, Option<Duration>> = services
            .map(|(number, service)| {
                (
                    format!("/{}/", draft_service(number)),
                    lock(service).first_release,
                )
            })
            .collect();
        (!self.is_empty()).then_some(ReleaseTimes {
            first_releases: released,
            ..ReleaseTimes::default()
        })
    }
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| {
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    })
}
