//! The settings of a gateway, as code or from an INI file.

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
    /// How much is logged.
    pub log_level: LogLevel,
    /// One in so many requests that went well is logged; those that did not always are. At 110,000
    /// requests a second over 2,500 processes, one in 64 is under one line a second for each.
    pub log_every: u64,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the platform asks whether the process takes requests.
    pub ready: SocketAddr,
    /// Where peers ask for calls to the store.
    pub peers: SocketAddr,
    /// Where metrics and the state dump are served, if at all.
    pub metrics: Option<SocketAddr>,
    /// The platform's store.
    pub store: SocketAddr,
    /// Peers that may be there at the start.
    pub seeds: Vec<SocketAddr>,
    /// The shape of the ledger.
    pub ledger: LedgerSettings,
    /// How many bytes of request bodies are held at once; requests beyond are refused unread. Bodies
    /// are the only thing in memory that callers choose the size of.
    pub body_limit_bytes: usize,
    /// How long callers are still accepted after the signal to end, so that the balancer can notice
    /// that the process is not ready: two of its looks, a second apart, and a half.
    pub drain_delay: Duration,
    /// How long after the signal the process ends, whatever still runs; under the platform's limit.
    pub shutdown_limit: Duration,
}

impl Default for GatewaySettings {
    fn default() -> Self {
        Self {
            vm: VmId::try_from("gateway".to_owned()).expect("a name"),
            zone: ZoneName::try_from("zone".to_owned()).expect("a name"),
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
            drain_delay: Duration::from_millis(2_500),
            shutdown_limit: Duration::from_millis(7_400),
        }
    }
}

/// Reads the settings of a gateway.
///
/// # Errors
///
/// The section and key at fault.
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
    settings.body_limit_bytes = bytes(source, "limits", "bodies", settings.body_limit_bytes)?;
    settings.ledger.record_bytes = bytes(source, "store", "record", settings.ledger.record_bytes)?;
    settings.ledger.call_bytes = bytes(source, "store", "call", settings.ledger.call_bytes)?;
    settings.ledger.cache_bytes = bytes(source, "store", "cache", settings.ledger.cache_bytes)?;
    settings.drain_delay = span(source, "notice", settings.drain_delay)?;
    settings.shutdown_limit = span(source, "limit", settings.shutdown_limit)?;
    if settings.drain_delay >= settings.shutdown_limit {
        return Err(source.key_error("shutdown", "notice", "must be shorter than `limit`"));
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
            let bad = || source.key_error("peers", "seeds", format!("`{seed}` is no address"));
            seed.parse().map_err(|_| bad())
        })
        .collect()
}

fn bytes(
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

fn span(
    source: &mut IniReader<'_>,
    key: &'static str,
    default: Duration,
) -> Result<Duration, SettingsError> {
    let read: Option<SpanUs> = source.read("shutdown", key)?;
    Ok(read.map_or(default, |span| Duration::from_micros(span.0)))
}
