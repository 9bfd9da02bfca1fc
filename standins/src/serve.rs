//! `standins serve`: the stand-ins for daemons that are started by hand.

use std::fs;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;

use argh::FromArgs;
use clementinepick::platform::Vm;
use clementinepick::units::{Percent, SpanUs};

use crate::Failure;
use crate::engine::EngineSettings;
use crate::log_service::LogSettings;
use crate::plain_service::PlainSettings;
use crate::servers::{ServerSettings, Servers};
use crate::weight_store::WeightSettings;

/// Run stand-ins for the platform, the model engines and the plain services on loopback ports, until
/// interrupted.
///
/// The log listens on the base port, the VM list on the next one, then the weight store, the tools,
/// the engines and the plain services. Faults are made by `POST`: `/control/outage/{ms}`,
/// `/control/slowness/{ms}` and `/control/lose-answers/{count}` at the log, `/control/hang/{ms}`,
/// `/control/speed/{percent}`, `/control/crash` and `/control/restart` at an engine,
/// `/control/down/{ms}` at a plain service, `/v1/vms/{id}/leaving` at the VM list.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "serve",
    example = "{command_name} --vms examples/vms.json",
    example = "{command_name} --base-port 9000 --engines 4 --plains 1 --ignore-fencing"
)]
pub struct Serve {
    /// the port of the log; the others follow (9000)
    #[argh(option, default = "9000")]
    pub base_port: u16,
    /// how many engines (4)
    #[argh(option, default = "4")]
    pub engines: u16,
    /// how many plain services (1)
    #[argh(option, default = "1")]
    pub plains: u16,
    /// the VMs that the list shows at first: a JSON file in the form of `GET /v1/vms`
    #[argh(option)]
    pub vms: Option<PathBuf>,
    /// how late the VM list shows changes, with its unit (1 s)
    #[argh(option, default = "SpanUs::from_s(1)")]
    pub vms_lag: SpanUs,
    /// how long the log keeps a record, with its unit (24 h)
    #[argh(option, default = "SpanUs::from_s(24 * 3_600)")]
    pub retention: SpanUs,
    /// the share of appends whose answer is lost after the write (0%)
    #[argh(option, default = "Percent::default()")]
    pub lost_answers: Percent,
    /// let the engines carry out orders with old fencing numbers
    #[argh(switch)]
    pub ignore_fencing: bool,
}

impl Serve {
    /// What runs on which port, and the lines that say so.
    fn settings(&self) -> Result<ServerSettings, Failure> {
        let mut ports = self.base_port..=u16::MAX;
        let mut next = || {
            let port = ports.next().ok_or(Failure::Ports)?;
            Ok::<_, Failure>(SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port))
        };
        let engine = EngineSettings {
            checks_fencing: !self.ignore_fencing,
            ..EngineSettings::default()
        };
        let log = LogSettings {
            retention_us: self.retention,
            lost_responses: self.lost_answers,
            ..LogSettings::default()
        };
        Ok(ServerSettings {
            log: (next()?, log),
            vms: (next()?, self.vms_lag),
            weights: (next()?, WeightSettings::default()),
            tools: next()?,
            engines: (0..self.engines)
                .map(|_| Ok((next()?, engine.clone())))
                .collect::<Result<_, Failure>>()?,
            plains: (0..self.plains)
                .map(|_| Ok((next()?, PlainSettings::default())))
                .collect::<Result<_, Failure>>()?,
            workers: 2,
            takes_signals: true,
        })
    }

    /// Runs until interrupted.
    ///
    /// # Errors
    ///
    /// When the file of VMs can't be read or a port can't be had.
    pub fn run(&self) -> Result<(), Failure> {
        let vms = match &self.vms {
            Some(path) => read_vms(path)?,
            None => Vec::new(),
        };
        let servers = Servers::start(&self.settings()?)?;
        for vm in vms {
            servers.vms.set(vm);
        }
        let addresses = &servers.addresses;
        println!("log           {}", addresses.log);
        println!("VM list       {}", addresses.vms);
        println!("weight store  {}", addresses.weights);
        println!("tools         {}", addresses.tools);
        for address in &addresses.engines {
            println!("engine        {address}");
        }
        for address in &addresses.plains {
            println!("plain service {address}");
        }
        Ok(servers.join()?)
    }
}

fn read_vms(path: &PathBuf) -> Result<Vec<Vm>, Failure> {
    let wrong = |detail: String| Failure::File {
        file: path.display().to_string(),
        detail,
    };
    let text = fs::read_to_string(path).map_err(|err| wrong(err.to_string()))?;
    serde_json::from_str(&text).map_err(|err| wrong(err.to_string()))
}
