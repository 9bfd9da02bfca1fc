//! Runs gateways as processes that know each other, before a store.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;

use serde_json::Value;

use crate::platform_caller::exchange;
use crate::platform_run::{is_ready, wait_until};
use crate::platform_store::{PlatformStore, StoreEndpoint, StoreMode};
use crate::soak_process::{GatewayProcess, ProcessPorts, ProcessSettings, find_daemon};

/// Gateways as processes; dropped, they are killed.
#[derive(Debug)]
pub struct ProcessGateways {
    /// The processes.
    pub processes: Vec<GatewayProcess>,
    endpoints: Vec<StoreEndpoint>,
    directory: PathBuf,
    have_started: bool,
}

impl Drop for ProcessGateways {
    fn drop(&mut self) {
        self.processes.clear();
        if self.have_started && !std::thread::panicking() {
            // The logs of a test that has passed are of no use.
            let _ = std::fs::remove_dir_all(&self.directory);
        }
    }
}

impl ProcessGateways {
    /// Starts `count` gateways and waits until they are ready; `name` is unique among tests.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemon is not built, a port, file or process can't be obtained, or a
    /// gateway does not become ready.
    pub fn start(name: &str, count: usize, store: &PlatformStore) -> io::Result<Self> {
        Self::start_with(name, count, store, &ProcessSettings::default())
    }

    /// Starts gateways with settings of their own, as [`Self::start`] does.
    ///
    /// # Errors
    ///
    /// Returns an error as [`Self::start`] does.
    pub fn start_with(
        name: &str,
        count: usize,
        store: &PlatformStore,
        settings: &ProcessSettings,
    ) -> io::Result<Self> {
        let directory = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
        std::fs::create_dir_all(&directory)?;
        let daemon = find_daemon()?;
        let ports = ProcessPorts::find_free(count)?;
        let seeds: Vec<SocketAddr> = ports.iter().map(|ports| ports.peers).collect();
        let mut gateways = Self {
            processes: Vec::new(),
            endpoints: Vec::new(),
            directory,
            have_started: false,
        };
        for (number, ports) in ports.into_iter().enumerate() {
            let endpoint = store.open()?;
            let address = endpoint.address;
            let directory = &gateways.directory;
            let process = GatewayProcess::start(
                &daemon,
                directory,
                number,
                ports,
                (address, &seeds),
                settings,
            )?;
            gateways.processes.push(process);
            gateways.endpoints.push(endpoint);
        }
        for number in 0..count {
            gateways.wait_until_ready(number)?;
        }
        gateways.have_started = true;
        Ok(gateways)
    }

    /// Returns the address of a gateway for callers.
    #[must_use]
    pub fn callers(&self, gateway: usize) -> SocketAddr {
        self.processes[gateway].ports.callers
    }

    /// Waits until a gateway is ready.
    ///
    /// # Errors
    ///
    /// Returns an error if it is not ready in time.
    pub fn wait_until_ready(&self, gateway: usize) -> io::Result<()> {
        let ready = self.processes[gateway].ports.ready;
        wait_until(|| is_ready(ready))
    }

    /// Waits until a gateway accepts callers' connections, ready or not.
    ///
    /// # Errors
    ///
    /// Returns an error if it does not listen in time.
    pub fn wait_until_listening(&self, gateway: usize) -> io::Result<()> {
        wait_until(|| TcpStream::connect(self.callers(gateway)).is_ok())
    }

    /// Makes the store unresponsive for all gateways.
    pub fn silence_store(&self) {
        self.set_store_mode(StoreMode::Silent);
    }

    /// Makes the store respond again.
    pub fn restore_store(&self) {
        self.set_store_mode(StoreMode::Serving);
    }

    /// Sets how the store treats the calls of all gateways.
    pub fn set_store_mode(&self, mode: StoreMode) {
        for endpoint in &self.endpoints {
            endpoint.set_mode(mode);
        }
    }

    /// Sets how the store treats the calls of one gateway.
    pub fn set_store_mode_for(&self, gateway: usize, mode: StoreMode) {
        self.endpoints[gateway].set_mode(mode);
    }

    /// Returns the state dump of a gateway.
    ///
    /// # Errors
    ///
    /// Returns an error if it does not respond or the dump is not valid JSON.
    pub fn state(&self, gateway: usize) -> io::Result<Value> {
        let request = b"GET /state HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
        let state = exchange(self.processes[gateway].ports.metrics, request)?;
        Ok(serde_json::from_str(&state.body)?)
    }

    /// Returns what a gateway has logged.
    ///
    /// # Errors
    ///
    /// Returns an error if its log can't be read.
    pub fn log(&self, gateway: usize) -> io::Result<String> {
        std::fs::read_to_string(self.directory.join(format!("gateway-{gateway}.log")))
    }
}
