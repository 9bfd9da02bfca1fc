//! A gateway as a process of its own, with the signals it gets.

use std::fs;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};

/// How long a gateway tells callers that it leaves, and how long it may take to end, as in its
/// settings; short, so that a run has several planned ends.
const NOTICE_MS: u64 = 400;
const SHUTDOWN_MS: u64 = 3_000;
/// How much longer than its settings say a process may take to be gone.
const END_SLACK: Duration = Duration::from_secs(2);

/// Where a gateway listens.
#[derive(Debug, Clone, Copy)]
pub struct ProcessPorts {
    /// For callers.
    pub callers: SocketAddr,
    /// For readiness.
    pub ready: SocketAddr,
    /// For peers.
    pub peers: SocketAddr,
    /// For metrics.
    pub metrics: SocketAddr,
}

impl ProcessPorts {
    /// Ports that are free now, for as many gateways.
    ///
    /// All are held until the last one is drawn: the system may give a port that was let go to the
    /// next who asks, and one of two gateways with the same port does not start.
    ///
    /// # Errors
    ///
    /// There are too few.
    pub fn find_free(gateways: usize) -> io::Result<Vec<Self>> {
        let bind = || TcpListener::bind((IpAddr::V4(Ipv4Addr::LOCALHOST), 0));
        let bind_all = || Ok([bind()?, bind()?, bind()?, bind()?]);
        let held: Vec<_> = (0..gateways)
            .map(|_| bind_all())
            .collect::<io::Result<_>>()?;
        let ports = held.iter().map(|[callers, ready, peers, metrics]| {
            Ok(Self {
                callers: callers.local_addr()?,
                ready: ready.local_addr()?,
                peers: peers.local_addr()?,
                metrics: metrics.local_addr()?,
            })
        });
        ports.collect()
    }
}

/// A gateway that is started again and again on the same ports.
#[derive(Debug)]
pub struct GatewayProcess {
    /// Where it listens.
    pub ports: ProcessPorts,
    /// Counts its starts.
    pub start_count: u32,
    daemon: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl GatewayProcess {
    /// Writes the settings of a gateway into `directory` and starts it.
    ///
    /// # Errors
    ///
    /// A file can't be written, or the process not started.
    pub fn start(
        daemon: &Path,
        directory: &Path,
        number: usize,
        ports: ProcessPorts,
        store: SocketAddr,
        seeds: &[SocketAddr],
    ) -> io::Result<Self> {
        let settings = directory.join(format!("gateway-{number}.ini"));
        let seeds: Vec<String> = seeds.iter().map(ToString::to_string).collect();
        let seeds = seeds.join(",");
        let ProcessPorts {
            callers,
            ready,
            peers,
            metrics,
        } = ports;
        let text = format!(
            "[process]\nrole = gateway\nvm = vm-{number}\nzone = z\nlog_every = 1\n\n[listen]\n\
             callers = {callers}\nready = {ready}\npeers = {peers}\nmetrics = {metrics}\n\n[peers]\n\
             seeds = {seeds}\n\n[store]\naddress = {store}\n\n[shutdown]\nnotice = {NOTICE_MS} ms\n\
             limit = {SHUTDOWN_MS} ms\n"
        );
        fs::write(&settings, text)?;
        let mut gateway = Self {
            ports,
            start_count: 0,
            daemon: daemon.to_owned(),
            settings,
            log: directory.join(format!("gateway-{number}.log")),
            child: None,
        };
        gateway.restart()?;
        Ok(gateway)
    }

    /// Starts the process again; its lines follow those of the starts before.
    ///
    /// # Errors
    ///
    /// The process can't be started.
    pub fn restart(&mut self) -> io::Result<()> {
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(&self.log)?;
        let child = Command::new(&self.daemon)
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()?;
        self.child = Some(child);
        self.start_count += 1;
        Ok(())
    }

    /// Whether the process was started and not ended by this one.
    #[must_use]
    pub fn is_started(&self) -> bool {
        self.child.is_some()
    }

    /// Ends the process with no warning.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // A process that ended itself is found by its missing answers.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends a signal to the process.
    pub fn send_signal(&self, signal: Signal) {
        let pid = self.child.as_ref().map(Child::id);
        let pid = pid.and_then(|id| Pid::from_raw(i32::try_from(id).ok()?));
        if let Some(pid) = pid {
            // A process that has ended needs no signal.
            let _ = kill_process(pid, signal);
        }
    }

    /// Tells the process to end, and gives it away for [`wait_for_exit`].
    #[must_use]
    pub fn terminate(&mut self) -> Option<Child> {
        self.send_signal(Signal::TERM);
        self.child.take()
    }
}

/// Waits until a process that was told to end is gone; none if it takes too long.
///
/// # Errors
///
/// The process can't be waited for.
pub fn wait_for_exit(mut child: Child) -> io::Result<Option<ExitStatus>> {
    let end = Instant::now() + Duration::from_millis(SHUTDOWN_MS) + END_SLACK;
    while Instant::now() < end {
        if let Some(status) = child.try_wait()? {
            return Ok(Some(status));
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    child.kill()?;
    child.wait()?;
    Ok(None)
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        // A stopped process does not end by itself.
        self.kill();
    }
}
