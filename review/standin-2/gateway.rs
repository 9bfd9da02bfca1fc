//! Starts gateways with the command and the template of the deploy file.

use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::Duration;

use crate::http::Client;

pub struct Gateway {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
    pub metrics: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    pub ends: u32,
}

/// The processes that were started and have not ended.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes that were started.
pub fn kill_all() {
    for pid in STARTED.lock().expect("the processes").drain(..) {
        let _ = Command::new("kill")
            .arg("-KILL")
            .arg(pid.to_string())
            .status();
    }
}

fn free(ip: &str) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    listener.local_addr().expect("an address")
}

/// Prepares `count` gateways, each at a loopback address of its own.
pub fn prepare(count: usize, store: SocketAddr, folder: &Path) -> Vec<Gateway> {
    let template = fs::read_to_string("deploy/gateway.ini").expect("the template of settings");
    let mut gateways: Vec<Gateway> = (0..count)
        .map(|number| {
            let ip = format!("127.0.0.{}", 11 + number);
            let name = format!("edge-{}", number + 1);
            Gateway {
                settings: folder.join(format!("{name}.ini")),
                log: folder.join(format!("{name}.log")),
                name,
                front: free(&ip),
                ready: free(&ip),
                control: free(&ip),
                metrics: free(&ip),
                child: None,
                ends: 0,
            }
        })
        .collect();
    let seeds: Vec<String> = gateways
        .iter()
        .take(3)
        .map(|g| g.control.to_string())
        .collect();
    for gateway in &mut gateways {
        let text = template
            .replace("{{NodeName}}", &gateway.name)
            .replace("{{Zone}}", "zone-a")
            .replace("{{Listen.Front}}", &gateway.front.to_string())
            .replace("{{Listen.Ready}}", &gateway.ready.to_string())
            .replace("{{Listen.Control}}", &gateway.control.to_string())
            .replace("{{Ip}}:9464", &gateway.metrics.to_string())
            .replace("{{Seeds}}", &seeds.join(","))
            .replace("{{Provider.Address}}", &store.to_string())
            .replace("{{Provider.parts}}", "24")
            .replace("{{Provider.RecordBytes}}", "262144")
            .replace("{{Provider.CallBytes}}", "2097152");
        assert!(
            !text.contains("{{"),
            "the template has a placeholder that is not known here"
        );
        fs::write(&gateway.settings, text).expect("the settings can be written");
    }
    gateways
}

impl Gateway {
    pub fn start(&mut self) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .expect("a log file");
        let errors = log.try_clone().expect("a log file");
        let child = Command::new("target/release/clementinepickd")
            .env_clear()
            .env("CLEMENTINEPICK_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("the gateway starts; is it built?");
        STARTED.lock().expect("the processes").push(child.id());
        self.child = Some(child);
    }

    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            STARTED
                .lock()
                .expect("the processes")
                .retain(|pid| *pid != child.id());
        }
    }

    /// Returns whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    /// Sends a signal by name.
    pub fn signal(&self, name: &str) {
        if let Some(pid) = self.pid() {
            let _ = Command::new("kill")
                .arg(format!("-{name}"))
                .arg(pid.to_string())
                .status();
        }
    }

    /// Returns the memory of the process that no file backs, in bytes.
    pub fn memory(&self) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid()?)).ok()?;
        let line = status.lines().find(|line| line.starts_with("RssAnon:"))?;
        let kb: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
        Some(kb * 1_024)
    }

    pub fn is_ready(&self) -> bool {
        is_ready(self.ready)
    }
}

/// Asks whether a gateway is ready, as the platform does.
pub fn is_ready(address: SocketAddr) -> bool {
    let ask = || -> std::io::Result<u16> {
        let mut client = Client::open(address, Duration::from_secs(1))?;
        let host = [
            ("Host", address.to_string()),
            ("Connection", "close".to_owned()),
        ];
        client.send("GET", "/clementinepick/readyz", &host, b"")?;
        Ok(client.read_head()?.status)
    };
    ask().is_ok_and(|status| status == 200)
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}
