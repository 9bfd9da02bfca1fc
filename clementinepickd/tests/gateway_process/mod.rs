//! Runs the program as a gateway without a store.

use std::fs;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

/// The ports of a gateway on a loopback address of its own.
const CALLERS_PORT: u16 = 8_149;
const READY_PORT: u16 = 8_141;
const PEERS_PORT: u16 = 8_144;
const METRICS_PORT: u16 = 9_464;
/// How long a condition is waited for.
pub const WAIT: Duration = Duration::from_secs(20);
const CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// The bit of SIGHUP in a mask of signals.
const SIGHUP_BIT: u64 = 1;

/// The settings of a gateway on a loopback address that no other test has.
pub struct GatewayVm {
    pub host: Ipv4Addr,
    pub settings: PathBuf,
}

impl GatewayVm {
    /// Writes the settings; `number` is unique among the tests of this process.
    pub fn new(number: u8) -> Self {
        let [_, high, middle, low] = std::process::id().to_be_bytes();
        let host = Ipv4Addr::new(127, 32 + (high % 2) * 64 + number, middle, low.max(1));
        let name = format!("gateway-{number}.ini");
        let settings = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        let vm = Self { host, settings };
        vm.write(&vm.text());
        vm
    }

    pub fn text(&self) -> String {
        let host = self.host;
        format!(
            "[process]\nrole = gateway\nvm = vm-a\nzone = z\nlog_every = 1\n[listen]\n\
             callers = {host}:{CALLERS_PORT}\nready = {host}:{READY_PORT}\n\
             peers = {host}:{PEERS_PORT}\nmetrics = {host}:{METRICS_PORT}\n\
             [store]\naddress = {host}:1\n[shutdown]\nnotice = 2 s\nlimit = 3 s\n"
        )
    }

    pub fn write(&self, text: &str) {
        fs::write(&self.settings, text).expect("a file");
    }

    pub fn callers(&self) -> SocketAddr {
        (self.host, CALLERS_PORT).into()
    }

    pub fn metrics(&self) -> SocketAddr {
        (self.host, METRICS_PORT).into()
    }

    /// Starts a process that writes its log to `output`.
    pub fn start_writing_to(&self, output: Stdio) -> GatewayProcess {
        let mut command = Command::new(env!("CARGO_BIN_EXE_clementinepickd"));
        command.arg("--settings").arg(&self.settings);
        let child = command.stdout(output).stderr(Stdio::null()).spawn();
        GatewayProcess(child.expect("the program runs"))
    }

    /// Starts a process that may have so many descriptors open.
    pub fn start_with_descriptors(&self, max_descriptors: u32) -> GatewayProcess {
        let mut command = Command::new("sh");
        let script = format!("ulimit -n {max_descriptors} && exec \"$0\" --settings \"$1\"");
        command.args(["-c", &script, env!("CARGO_BIN_EXE_clementinepickd")]);
        command.arg(&self.settings).stdout(Stdio::null());
        GatewayProcess(command.stderr(Stdio::null()).spawn().expect("a shell"))
    }

    pub fn start(&self) -> GatewayProcess {
        self.start_writing_to(Stdio::null())
    }

    /// Opens a connection with a request of which the body is still missing.
    pub fn begin_request(&self) -> TcpStream {
        let mut connection = TcpStream::connect(self.callers()).expect("a listener");
        let head = b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n";
        connection.write_all(head).expect("an open connection");
        connection
    }
}

/// A process; dropped, it is killed.
pub struct GatewayProcess(Child);

impl GatewayProcess {
    pub fn signal(&self, name: &str) {
        let id = self.0.id().to_string();
        let sent = Command::new("kill").args(["-s", name, &id]).status();
        assert!(sent.expect("kill runs").success());
    }

    /// Returns how the process ended, if it has.
    pub fn end(&mut self) -> Option<ExitStatus> {
        self.0.try_wait().expect("a child")
    }

    /// Waits until the process responds to a request at `address`, and panics if it ends before.
    pub fn wait_until_serving(&mut self, address: SocketAddr) {
        self.wait_until(|_| responds(address));
    }

    /// Waits until the process handles SIGHUP, for `limit` at most.
    pub fn wait_until_handling_hangups(&mut self, limit: Duration) {
        let started = Instant::now();
        while started.elapsed() < limit && !self.handles_hangups() {
            std::thread::sleep(CHECK_INTERVAL);
        }
    }

    fn handles_hangups(&self) -> bool {
        let status = fs::read_to_string(format!("/proc/{}/status", self.0.id()));
        let status = status.expect("a running process");
        let mut lines = status.lines();
        let mask = lines.find_map(|line| line.strip_prefix("SigCgt:"));
        let mask = u64::from_str_radix(mask.expect("a mask").trim(), 16);
        mask.expect("a number") & SIGHUP_BIT != 0
    }

    /// Returns whether the process has a thread of this name.
    pub fn has_thread(&self, name: &str) -> bool {
        let threads = fs::read_dir(format!("/proc/{}/task", self.0.id()));
        let names = threads.expect("a running process").filter_map(|thread| {
            // A thread may end while the list is read.
            fs::read_to_string(thread.ok()?.path().join("comm")).ok()
        });
        names.into_iter().any(|found| found.trim() == name)
    }

    /// Waits until `holds`, and panics if the process ends before or takes too long.
    pub fn wait_until(&mut self, holds: impl Fn(&Self) -> bool) {
        let started = Instant::now();
        while !holds(self) {
            let end = self.end();
            assert!(end.is_none(), "the process ended by itself: {end:?}");
            assert!(started.elapsed() < WAIT, "not in time");
            std::thread::sleep(CHECK_INTERVAL);
        }
    }

    /// Waits until the process ends, for `limit` at most.
    pub fn wait_for_end(&mut self, limit: Duration) -> Option<ExitStatus> {
        let started = Instant::now();
        while started.elapsed() < limit && self.end().is_none() {
            std::thread::sleep(CHECK_INTERVAL);
        }
        self.end()
    }
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        // An error means that it has ended already.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn responds(address: SocketAddr) -> bool {
    let Ok(mut connection) = TcpStream::connect(address) else {
        return false;
    };
    let request = b"GET /state HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
    let mut response = Vec::new();
    let timeout = connection.set_read_timeout(Some(CHECK_INTERVAL * 100));
    timeout.is_ok()
        && connection.write_all(request).is_ok()
        && connection.read_to_end(&mut response).is_ok()
        && response.starts_with(b"HTTP/1.1 ")
}
