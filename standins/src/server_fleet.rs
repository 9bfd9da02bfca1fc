//! Runs the backend servers of one service and replaces those that end.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::http::lock;
use crate::platform_backend::{BackendFault, BackendSettings, Execution, PlatformBackend};
use crate::platform_store::PlatformStore;
use crate::wire_server::free_port;

/// How often the supervisor looks for servers that have ended.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// The id under which a server starts again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RestartId {
    /// Another id.
    New,
    /// The id that it had, with a later start time.
    Same,
    /// The id, the start time and the address that it had: it looks as if it had only refused
    /// connections for a while.
    Unchanged,
}

/// Settings of a fleet.
#[derive(Debug, Clone)]
pub struct FleetSettings {
    /// The service, whose name also begins the ids of its servers.
    pub service: &'static str,
    /// The number of servers.
    pub count: usize,
    /// The time from the end of a server to the start of its replacement.
    pub restart_delay: Duration,
    /// The id of the replacement.
    pub restart_id: RestartId,
    /// The settings of each server but its id and start time.
    pub backend: BackendSettings,
}

struct FleetServer {
    id: String,
    backend: PlatformBackend,
    ended_at: Option<Instant>,
    is_replaced: bool,
}

struct FleetCore {
    settings: FleetSettings,
    store: PlatformStore,
    servers: Vec<FleetServer>,
    /// The number of starts, which also serves as the start time.
    starts: u64,
    is_stopped: bool,
}

/// The servers of one service; dropped, they end and are joined.
pub struct ServerFleet {
    core: Arc<Mutex<FleetCore>>,
    supervisor: Option<JoinHandle<()>>,
}

impl Drop for ServerFleet {
    fn drop(&mut self) {
        lock(&self.core).is_stopped = true;
        if let Some(supervisor) = self.supervisor.take() {
            // A panic has been printed; the test fails by the missing servers.
            let _ = supervisor.join();
        }
    }
}

impl ServerFleet {
    /// Starts the servers and registers them in the store.
    ///
    /// # Errors
    ///
    /// Returns an error if a port or thread can't be obtained.
    pub fn start(settings: FleetSettings, store: &PlatformStore) -> io::Result<Self> {
        let mut core = FleetCore {
            settings,
            store: store.clone(),
            servers: Vec::new(),
            starts: 0,
            is_stopped: false,
        };
        for number in 1..=core.settings.count {
            let id = format!("{}-{number}", core.settings.service);
            core.start_server(id, free_port())?;
        }
        let core = Arc::new(Mutex::new(core));
        let supervised = Arc::clone(&core);
        let supervisor = thread::Builder::new().spawn(move || supervise(&supervised))?;
        Ok(Self {
            core,
            supervisor: Some(supervisor),
        })
    }

    /// Returns the number of servers that have ended.
    #[must_use]
    pub fn count_ended(&self) -> usize {
        let core = lock(&self.core);
        core.servers
            .iter()
            .filter(|s| s.backend.has_ended())
            .count()
    }

    /// Returns the requests that each server has executed, with its id.
    fn executions(&self) -> Vec<(String, Vec<Execution>)> {
        let core = lock(&self.core);
        let servers = core.servers.iter();
        servers
            .map(|server| (server.id.clone(), server.backend.executions()))
            .collect()
    }

    /// Returns the ids of the servers that have executed a request which `matches`, in the order of
    /// their starts.
    #[must_use]
    pub fn servers_of(&self, matches: impl Fn(&Execution) -> bool) -> Vec<String> {
        let executions = self.executions().into_iter();
        let matching = executions.filter(|(_, executions)| executions.iter().any(&matches));
        matching.map(|(id, _)| id).collect()
    }

    /// Makes each server inject `fault` into its next `count` requests.
    pub fn inject_faults(&self, fault: BackendFault, count: usize) {
        for server in &lock(&self.core).servers {
            for _ in 0..count {
                server.backend.inject_fault(fault);
            }
        }
    }

    /// Removes the faults that no request has met.
    pub fn clear_faults(&self) {
        for server in &lock(&self.core).servers {
            server.backend.clear_faults();
        }
    }

    /// Makes the first `count` servers that run are stalled for a while.
    pub fn suspend(&self, count: usize, span: Duration) {
        let core = lock(&self.core);
        let running = core.servers.iter().filter(|s| !s.backend.has_ended());
        for server in running.take(count) {
            server.backend.suspend(span);
        }
    }

    /// Changes the settings of all servers that run, and of those that start later.
    pub fn configure(&self, change: impl Fn(&mut BackendSettings)) {
        let mut core = lock(&self.core);
        change(&mut core.settings.backend);
        for server in &core.servers {
            server.backend.configure(&change);
        }
    }
}

impl FleetCore {
    fn start_server(&mut self, id: String, address: SocketAddr) -> io::Result<()> {
        self.starts += 1;
        let started_unix_ms = match self.settings.restart_id {
            RestartId::Unchanged => None,
            RestartId::New | RestartId::Same => Some(self.starts),
        };
        let settings = BackendSettings {
            id: id.clone(),
            started_unix_ms,
            ..self.settings.backend.clone()
        };
        let backend = PlatformBackend::start_at(address, settings)?;
        let entry = backend.entry(self.settings.service, "ready");
        self.store.put("keyed.servers", &id, &entry);
        self.servers.push(FleetServer {
            id,
            backend,
            ended_at: None,
            is_replaced: false,
        });
        Ok(())
    }

    /// Replaces the servers that ended a while ago.
    fn replace_ended(&mut self, now: Instant) -> io::Result<()> {
        let delay = self.settings.restart_delay;
        let mut due = Vec::new();
        for server in self.servers.iter_mut().filter(|s| !s.is_replaced) {
            if server.ended_at.is_none() && server.backend.has_ended() {
                server.ended_at = Some(now);
            }
            if server
                .ended_at
                .is_some_and(|at| now.duration_since(at) >= delay)
            {
                server.is_replaced = true;
                if self.settings.restart_id == RestartId::Unchanged {
                    // One without power would hold the address.
                    server.backend.join();
                }
                due.push((server.id.clone(), server.backend.address));
            }
        }
        for (ended, address) in due {
            let address = match self.settings.restart_id {
                RestartId::Unchanged => address,
                RestartId::New | RestartId::Same => free_port(),
            };
            let id = self.replacement_id(ended);
            self.start_server(id, address)?;
        }
        Ok(())
    }

    fn replacement_id(&self, ended: String) -> String {
        match self.settings.restart_id {
            RestartId::Same | RestartId::Unchanged => ended,
            RestartId::New => {
                self.store.remove("keyed.servers", &ended);
                format!("{}-{}", self.settings.service, self.starts + 1)
            }
        }
    }
}

fn supervise(core: &Mutex<FleetCore>) {
    loop {
        let mut core = lock(core);
        if core.is_stopped {
            return;
        }
        core.replace_ended(Instant::now()).expect("a free port");
        drop(core);
        thread::sleep(CHECK_INTERVAL);
    }
}
