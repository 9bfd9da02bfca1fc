//! Runs a gateway as a child process and sends it signals.

use std::collections::BTreeSet;
use std::fs;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};

use crate::http::lock;

/// The drain delay and the shutdown limit in the settings of each gateway, short enough that a run
/// has several graceful shutdowns.
const DRAIN_DELAY_MS: u64 = 400;
pub(crate) const SHUTDOWN_LIMIT_MS: u64 = 3_000;
/// The ports for gateways, in ranges, below those that the system assigns.
const FIRST_PORT: u16 = 10_000;
const RANGE_COUNT: u16 = 110;
const RANGE_PORTS: u16 = 200;
/// The ports of a range without the one that is held while the range is claimed.
const USABLE_PORTS: u16 = RANGE_PORTS - 1;
/// The inode of sockets that no process has open.
const NO_INODE: u64 = 0;
/// The bit of SIGHUP in a mask of signals.
const SIGHUP_BIT: u64 = 1;
/// The fields between the name of a process and its times in user and system mode, and the unit of these.
const STAT_FIELDS_BEFORE_TIMES: usize = 11;
const TICK_MS: u64 = 10;
/// How much longer than its shutdown limit a process may take to exit.
const EXIT_GRACE: Duration = Duration::from_secs(2);

/// The addresses at which a gateway listens.
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
    /// Finds free ports for a number of gateways.
    ///
    /// No port is found twice, and all are outside the range from which the system chooses: it
    /// could hand out a released port to a connection before the gateway listens on it.
    ///
    /// # Errors
    ///
    /// Returns an error if there are too few free ports.
    pub fn find_free(gateways: usize) -> io::Result<Vec<Self>> {
        let bind_all = || Ok([bind_next()?, bind_next()?, bind_next()?, bind_next()?]);
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

/// The ranges of ports that this process has claimed, and the next port to bind.
struct ClaimedPorts {
    /// A listener at the first port of each range, held until the process ends: test processes that
    /// run at the same time would otherwise find each other's ports free between two starts of a
    /// gateway.
    guards: Vec<TcpListener>,
    /// The number of ports that were taken from the claimed ranges.
    taken: u16,
}

impl ClaimedPorts {
    /// Returns the next port, of a newly claimed range if the last one is used up; begins again with
    /// the first range if there is no other.
    fn next(&mut self) -> io::Result<u16> {
        if usize::from(self.taken / USABLE_PORTS) >= self.guards.len() {
            match claim_range() {
                Ok(guard) => self.guards.push(guard),
                Err(err) if self.guards.is_empty() => return Err(err),
                Err(_) => self.taken = 0,
            }
        }
        let range = usize::from(self.taken / USABLE_PORTS);
        let guard_port = self.guards[range].local_addr()?.port();
        let port = guard_port + 1 + self.taken % USABLE_PORTS;
        self.taken += 1;
        Ok(port)
    }
}

/// Claims a range of ports that no other process has claimed.
fn claim_range() -> io::Result<TcpListener> {
    let mut error = io::Error::from(io::ErrorKind::AddrInUse);
    for range in 0..RANGE_COUNT {
        match bind(FIRST_PORT + range * RANGE_PORTS) {
            Ok(guard) => return Ok(guard),
            Err(err) => error = err,
        }
    }
    Err(error)
}

fn bind(port: u16) -> io::Result<TcpListener> {
    TcpListener::bind((Ipv4Addr::LOCALHOST, port))
}

/// Binds the next free port of those that this process has claimed.
fn bind_next() -> io::Result<TcpListener> {
    static CLAIMED: Mutex<ClaimedPorts> = Mutex::new(ClaimedPorts {
        guards: Vec::new(),
        taken: 0,
    });
    let mut claimed = lock(&CLAIMED);
    let mut error = io::Error::from(io::ErrorKind::AddrInUse);
    for _ in 0..RANGE_COUNT * RANGE_PORTS {
        match bind(claimed.next()?) {
            Ok(listener) => return Ok(listener),
            Err(err) => error = err,
        }
    }
    Err(error)
}

/// What the settings of a gateway's process have beside its addresses.
#[derive(Debug, Clone, Default)]
pub struct ProcessSettings {
    /// The keys of the section `limits` with their values, one a line.
    pub limits: String,
    /// The number of descriptors that the process may have open, if that is lower than the system's.
    pub max_descriptors: Option<u64>,
    /// The limit on the address space of the process in KiB, if that is lower than the system's.
    pub max_address_space_kib: Option<u64>,
}

impl ProcessSettings {
    /// Returns the commands of a shell that set the limits of the process.
    fn limit_commands(&self) -> Vec<String> {
        let descriptors = self.max_descriptors.map(|max| format!("ulimit -n {max}"));
        let address_space = self.max_address_space_kib;
        let address_space = address_space.map(|max| format!("ulimit -v {max}"));
        descriptors.into_iter().chain(address_space).collect()
    }
}

/// A gateway's process, which can be restarted on the same ports.
#[derive(Debug)]
pub struct GatewayProcess {
    /// The addresses at which it listens.
    pub ports: ProcessPorts,
    /// How often it was started.
    pub start_count: u32,
    daemon: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    limit_commands: Vec<String>,
    child: Option<Child>,
}

impl GatewayProcess {
    /// Writes the settings of a gateway into `directory` and starts it.
    ///
    /// # Errors
    ///
    /// Returns an error if a file can't be written or the process can't be started.
    pub fn start(
        daemon: &Path,
        directory: &Path,
        number: usize,
        ports: ProcessPorts,
        (store, seeds): (SocketAddr, &[SocketAddr]),
        process: &ProcessSettings,
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
        let limits = &process.limits;
        let text = format!(
            "[process]\nrole = gateway\nvm = vm-{number}\nzone = z\nlog_every = 1\n\n[listen]\n\
             callers = {callers}\nready = {ready}\npeers = {peers}\nmetrics = {metrics}\n\n[peers]\n\
             seeds = {seeds}\n\n[store]\naddress = {store}\n\n[shutdown]\nnotice = {DRAIN_DELAY_MS} ms\n\
             limit = {SHUTDOWN_LIMIT_MS} ms\n\n[limits]\n{limits}\n"
        );
        fs::write(&settings, text)?;
        let mut gateway = Self {
            ports,
            start_count: 0,
            daemon: daemon.to_owned(),
            settings,
            log: directory.join(format!("gateway-{number}.log")),
            limit_commands: process.limit_commands(),
            child: None,
        };
        gateway.restart()?;
        Ok(gateway)
    }

    /// Starts the process again and appends to the same log.
    ///
    /// # Errors
    ///
    /// Returns an error if the process can't be started.
    pub fn restart(&mut self) -> io::Result<()> {
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(&self.log)?;
        let child = self
            .command()
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

    /// Returns the command of the daemon. Its limits are set by a shell, which the daemon replaces.
    fn command(&self) -> Command {
        if self.limit_commands.is_empty() {
            return Command::new(&self.daemon);
        }
        let mut command = Command::new("sh");
        let limits = self.limit_commands.join(" && ");
        let script = format!("{limits} && exec \"$0\" \"$@\"");
        command.arg("-c").arg(script).arg(&self.daemon);
        command
    }

    /// Returns whether the process was started and has been neither killed nor terminated since.
    #[must_use]
    pub fn is_started(&self) -> bool {
        self.child.is_some()
    }

    /// Returns whether the process was started and has not ended.
    pub fn is_running(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Kills the process without a graceful shutdown.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // An error means that it has exited already, which callers notice by missing responses.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends a signal to the process, if there is one.
    pub fn send_signal(&self, signal: Signal) {
        let pid = self.child.as_ref().map(Child::id);
        let pid = pid.and_then(|id| Pid::from_raw(i32::try_from(id).ok()?));
        if let Some(pid) = pid {
            // An error means that it has exited already.
            let _ = kill_process(pid, signal);
        }
    }

    /// Returns the most memory that the process has had resident, in bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has ended or the system does not tell.
    pub fn peak_memory_bytes(&self) -> io::Result<u64> {
        self.status_bytes("VmHWM:")
    }

    /// Returns the memory that the process has resident now, in bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has ended or the system does not tell.
    pub fn memory_bytes(&self) -> io::Result<u64> {
        self.status_bytes("VmRSS:")
    }

    /// Returns the processor time that the process has used.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has ended or the system does not tell.
    pub fn processor_time(&self) -> io::Result<Duration> {
        let child = self.child.as_ref().ok_or(io::ErrorKind::NotFound)?;
        let stat = fs::read_to_string(format!("/proc/{}/stat", child.id()))?;
        // The name, which comes before, may contain spaces.
        let (_, fields) = stat.rsplit_once(')').ok_or(io::ErrorKind::InvalidData)?;
        let mut fields = fields.split_whitespace().skip(STAT_FIELDS_BEFORE_TIMES);
        let mut ticks = || {
            let field = fields.next().ok_or(io::ErrorKind::InvalidData)?;
            field.parse::<u64>().map_err(io::Error::other)
        };
        Ok(Duration::from_millis((ticks()? + ticks()?) * TICK_MS))
    }

    /// Returns how many descriptors the process has open.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has ended or the system does not tell.
    pub fn open_descriptors(&self) -> io::Result<usize> {
        let child = self.child.as_ref().ok_or(io::ErrorKind::NotFound)?;
        Ok(fs::read_dir(format!("/proc/{}/fd", child.id()))?.count())
    }

    /// Returns how many bytes the system has received for the process that it has not read, over all its
    /// connections and those to its callers' address that it has not accepted.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has ended or the system does not tell.
    pub fn unread_bytes(&self) -> io::Result<u64> {
        let own = self.socket_inodes()?;
        let sockets = self.sockets()?;
        let unread = sockets
            .iter()
            .filter(|socket| socket.is_to_callers || own.contains(&socket.inode))
            .map(|socket| socket.unread_bytes);
        Ok(unread.sum())
    }

    /// Returns how many connections of callers the process has open.
    ///
    /// # Errors
    ///
    /// Returns an error if the system does not tell.
    pub fn caller_connections(&self) -> io::Result<usize> {
        let sockets = self.sockets()?;
        let open = sockets
            .iter()
            .filter(|socket| socket.is_to_callers && socket.inode != NO_INODE);
        Ok(open.count())
    }

    /// Returns all connections of the system.
    fn sockets(&self) -> io::Result<Vec<Socket>> {
        let port = format!(":{:04X}", self.ports.callers.port());
        let table = fs::read_to_string("/proc/net/tcp")?;
        let sockets = table.lines().filter_map(|line| parse_socket(line, &port));
        Ok(sockets.collect())
    }

    /// Returns the inodes of the sockets that the process has open.
    fn socket_inodes(&self) -> io::Result<BTreeSet<u64>> {
        let child = self.child.as_ref().ok_or(io::ErrorKind::NotFound)?;
        let descriptors = fs::read_dir(format!("/proc/{}/fd", child.id()))?;
        // A descriptor may be closed while the list is read.
        let targets = descriptors.filter_map(|entry| fs::read_link(entry.ok()?.path()).ok());
        let inodes = targets.filter_map(|target| {
            let inode = target.to_str()?.strip_prefix("socket:[")?;
            inode.strip_suffix(']')?.parse().ok()
        });
        Ok(inodes.collect())
    }

    /// Returns a size in the status of the process, in bytes.
    fn status_bytes(&self, name: &str) -> io::Result<u64> {
        let size = self.status_field(name)?;
        let size = size.strip_suffix("kB").ok_or(io::ErrorKind::InvalidData)?;
        let size_kb: u64 = size.trim().parse().map_err(io::Error::other)?;
        Ok(size_kb * 1_024)
    }

    /// Returns a field in the status of the process.
    fn status_field(&self, name: &str) -> io::Result<String> {
        let child = self.child.as_ref().ok_or(io::ErrorKind::NotFound)?;
        let status = fs::read_to_string(format!("/proc/{}/status", child.id()))?;
        let mut lines = status.lines();
        let value = lines.find_map(|line| line.strip_prefix(name));
        Ok(value.ok_or(io::ErrorKind::InvalidData)?.trim().to_owned())
    }

    /// Sends SIGTERM to the process and hands it over for [`wait_for_exit`].
    #[must_use]
    pub fn terminate(&mut self) -> Option<Child> {
        self.hand_over(Signal::TERM)
    }

    /// Sends a signal to the process and hands it over; it is not this gateway's any longer.
    #[must_use]
    pub fn hand_over(&mut self, signal: Signal) -> Option<Child> {
        self.send_signal(signal);
        self.child.take()
    }

    /// Returns how the process ended, if it did without being killed or handed over.
    pub fn end(&mut self) -> Option<ExitStatus> {
        self.child.as_mut()?.try_wait().ok().flatten()
    }

    /// Returns whether the process handles SIGHUP, which ends one that does not.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has ended or the system does not tell.
    pub fn handles_hangups(&self) -> io::Result<bool> {
        let mask = self.status_field("SigCgt:")?;
        let mask = u64::from_str_radix(&mask, 16).map_err(io::Error::other)?;
        Ok(mask & SIGHUP_BIT != 0)
    }
}

/// A connection in the system's table of sockets.
struct Socket {
    /// Whether its local address is the callers' address of a process.
    is_to_callers: bool,
    unread_bytes: u64,
    /// [`NO_INODE`] if no process has it open: it is not accepted yet, or is closed.
    inode: u64,
}

/// Reads a line of the system's table of sockets; `None` if it is not a connection.
fn parse_socket(line: &str, callers_port: &str) -> Option<Socket> {
    const LISTENING: &str = "0A";
    let fields: Vec<&str> = line.split_whitespace().collect();
    let (address, state) = (fields.get(1)?, fields.get(3)?);
    let (_, unread) = fields.get(4)?.split_once(':')?;
    let socket = Socket {
        is_to_callers: address.ends_with(callers_port),
        unread_bytes: u64::from_str_radix(unread, 16).ok()?,
        inode: fields.get(9)?.parse().ok()?,
    };
    (*state != LISTENING).then_some(socket)
}

/// Returns the path of the daemon beside this program.
///
/// # Errors
///
/// Returns an error if the file does not exist.
pub fn find_daemon() -> io::Result<PathBuf> {
    let program = std::env::current_exe()?;
    let candidates = program.ancestors().skip(1).take(2);
    let mut found = candidates.map(|directory| directory.join("clementinepickd"));
    found.find(|path| path.is_file()).ok_or_else(|| {
        io::Error::new(
            io::ErrorKind::NotFound,
            "no clementinepickd beside this program; build it first",
        )
    })
}

/// Waits until a terminated process exits; kills it and returns `None` if it takes too long.
///
/// # Errors
///
/// Returns an error if waiting for the process fails.
pub fn wait_for_exit(mut child: Child) -> io::Result<Option<ExitStatus>> {
    let deadline = Instant::now() + Duration::from_millis(SHUTDOWN_LIMIT_MS) + EXIT_GRACE;
    while Instant::now() < deadline {
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
        // A suspended process would not exit by itself.
        self.kill();
    }
}
