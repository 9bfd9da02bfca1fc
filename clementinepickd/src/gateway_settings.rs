//! Defines a gateway's settings and reads them from an INI file.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use clementinepick::ids::{VmId, ZoneName};
use clementinepick::units::{Bytes, SpanUs};

use crate::ini_reader::{IniReader, SettingsError};
use crate::ledger::LedgerSettings;
use crate::settings::LogLevel;

const ANY_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// All settings of a gateway.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GatewaySettings {
    /// The VM's name.
    pub vm: VmId,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The minimum level of log lines.
    pub log_level: LogLevel,
    /// One in this many successful requests is logged; failed ones always are. At 110,000 requests
    /// a second over 2,500 processes, the default is less than one line a second for each process.
    pub log_every: u64,
    /// The address for callers' requests.
    pub callers: SocketAddr,
    /// The address of the platform's readiness check.
    pub ready: SocketAddr,
    /// The address for peers: budget reservations, turns and relayed store calls.
    pub peers: SocketAddr,
    /// The address of metrics and the state dump, if enabled.
    pub metrics: Option<SocketAddr>,
    /// The address of the platform's store.
    pub store: SocketAddr,
    /// Peers to relay store calls through before the registered peers are read.
    pub seeds: Vec<SocketAddr>,
    /// The layout and limits of the ledger.
    pub ledger: LedgerSettings,
    /// The maximum number of bytes that callers' connections hold: heads, bodies and input behind running
    /// requests. Beyond it, requests that arrive slowly give way to others.
    pub body_limit_bytes: usize,
    /// The maximum number of callers' connections. Beyond it, those with requests that arrive slowly,
    /// and idle ones, give way to new ones.
    pub connection_limit: usize,
    /// The maximum number of bytes of responses in memory; beyond it, the longest ones fail.
    pub response_limit_bytes: usize,
    /// How long callers are still accepted after the stop signal, so that the balancer can see that
    /// the process is not ready. The default covers two of its checks, which are a second apart.
    pub drain_delay: Duration,
    /// How long after the stop signal the process ends at the latest, even with running requests;
    /// shorter than the platform's limit.
    pub shutdown_limit: Duration,
}

impl Default for GatewaySettings {
    fn default() -> Self {
        Self {
            vm: VmId::try_from("gateway".to_owned()).expect("the default name is valid"),
            zone: ZoneName::try_from("zone".to_owned()).expect("the default name is valid"),
            log_level: LogLevel::default(),
            log_every: 64,
            callers: ANY_PORT,
            ready: ANY_PORT,
            peers: ANY_PORT,
            metrics: None,
            store: ANY_PORT,
            seeds: Vec::new(),
            ledger: LedgerSettings::default(),
            body_limit_bytes: 16_777_216,
            connection_limit: 1_000,
            response_limit_bytes: 16_777_216,
            drain_delay: Duration::from_millis(2_500),
            shutdown_limit: Duration::from_millis(7_400),
        }
    }
}

/// Reads the settings of a gateway.
///
/// # Errors
///
/// Returns an error that names the section and the key.
pub(crate) fn read(source: &mut IniReader<'_>) -> Result<GatewaySettings, SettingsError> {
    let mut settings = GatewaySettings {
        vm: source.require("process", "vm")?,
        zone: source.require("process", "zone")?,
        callers: source.require("listen", "callers")?,
        ready: source.require("listen", "ready")?,
        peers: source.require("listen", "peers")?,
        metrics: source.read("listen", "metrics")?,
        store: source.require("store", "address")?,
        seeds: read_seeds(source)?,
        ..GatewaySettings::default()
    };
    source.read_into("process", "log_level", &mut settings.log_level)?;
    source.read_into("process", "log_every", &mut settings.log_every)?;
    source.read_into("store", "partitions", &mut settings.ledger.partitions)?;
    settings.body_limit_bytes = read_bytes(source, "limits", "bodies", settings.body_limit_bytes)?;
    source.read_into("limits", "connections", &mut settings.connection_limit)?;
    settings.response_limit_bytes =
        read_bytes(source, "limits", "responses", settings.response_limit_bytes)?;
    settings.ledger.record_bytes =
        read_bytes(source, "store", "record", settings.ledger.record_bytes)?;
    settings.ledger.call_bytes = read_bytes(source, "store", "call", settings.ledger.call_bytes)?;
    settings.ledger.cache_bytes =
        read_bytes(source, "store", "cache", settings.ledger.cache_bytes)?;
    settings.drain_delay = read_duration(source, "notice", settings.drain_delay)?;
    settings.shutdown_limit = read_duration(source, "limit", settings.shutdown_limit)?;
    if settings.drain_delay >= settings.shutdown_limit {
        return Err(source.key_error("shutdown", "notice", "must be shorter than `limit`"));
    }
    if settings.connection_limit == 0 {
        return Err(source.key_error("limits", "connections", "must be at least 1"));
    }
    if settings.ledger.partitions == 0 {
        return Err(source.key_error("store", "partitions", "must be at least 1"));
    }
    if settings.ledger.call_bytes < settings.ledger.record_bytes {
        return Err(source.key_error("store", "call", "must be at least `record`"));
    }
    Ok(settings)
}

fn read_seeds(source: &mut IniReader<'_>) -> Result<Vec<SocketAddr>, SettingsError> {
    let text: Option<String> = source.read("peers", "seeds")?;
    let text = text.unwrap_or_default();
    let seeds = text
        .split(',')
        .map(str::trim)
        .filter(|seed| !seed.is_empty());
    seeds
        .map(|seed| {
            let invalid = || {
                source.key_error(
                    "peers",
                    "seeds",
                    format!("`{seed}` is not a socket address"),
                )
            };
            seed.parse().map_err(|_| invalid())
        })
        .collect()
}

fn read_bytes(
    source: &mut IniReader<'_>,
    section: &'static str,
    key: &'static str,
    default: usize,
) -> Result<usize, SettingsError> {
    let read: Option<Bytes> = source.read(section, key)?;
    Ok(read.map_or(default, |bytes| {
        usize::try_from(bytes.0).unwrap_or(usize::MAX)
    }))
}

fn read_duration(
    source: &mut IniReader<'_>,
    key: &'static str,
    default: Duration,
) -> Result<Duration, SettingsError> {
    let read: Option<SpanUs> = source.read("shutdown", key)?;
    Ok(read.map_or(default, |span| Duration::from_micros(span.0)))
}
