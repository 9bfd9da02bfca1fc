//! Reads [`Settings`] from an INI file and says precisely what is wrong with it.

use std::fs;
use std::path::Path;

use ini::Ini;

use crate::gateway_settings::{self, GatewaySettings};
use crate::ini_reader::IniReader;
pub use crate::ini_reader::SettingsError;
use crate::settings::{
    EntryRole, Limits, LinkKeys, LinkSettings, Role, Settings, SettingsConflict, ShutdownSettings,
    SidecarRole,
};

/// The settings of one process, by its role.
#[derive(Debug, Clone, PartialEq)]
pub enum ProcessSettings {
    /// An entry or a sidecar.
    Daemon(Box<Settings>),
    /// A gateway.
    Gateway(Box<GatewaySettings>),
}

/// Reads a settings file.
///
/// # Errors
///
/// The file, section and key at fault.
pub fn load(path: &Path) -> Result<Settings, SettingsError> {
    let file = path.display().to_string();
    match fs::read_to_string(path) {
        Ok(text) => parse(&file, &text),
        Err(error) => Err(SettingsError::Unreadable { file, error }),
    }
}

/// Reads the settings file of a process in any role.
///
/// # Errors
///
/// The file, section and key at fault.
pub fn load_process(path: &Path) -> Result<ProcessSettings, SettingsError> {
    let file = path.display().to_string();
    match fs::read_to_string(path) {
        Ok(text) => parse_process(&file, &text),
        Err(error) => Err(SettingsError::Unreadable { file, error }),
    }
}

/// Reads the text of a settings file of any role; `file` stands in errors.
///
/// # Errors
///
/// The file, section and key at fault.
pub fn parse_process(file: &str, text: &str) -> Result<ProcessSettings, SettingsError> {
    let ini = read_ini(file, text)?;
    if ini.get_from(Some("process"), "role") != Some("gateway") {
        return parse(file, text).map(|settings| ProcessSettings::Daemon(Box::new(settings)));
    }
    let mut source = IniReader::new(file, &ini);
    let _role: String = source.require("process", "role")?;
    let settings = gateway_settings::read(&mut source)?;
    source.check_unknown_keys()?;
    Ok(ProcessSettings::Gateway(Box::new(settings)))
}

fn read_ini(file: &str, text: &str) -> Result<Ini, SettingsError> {
    Ini::load_from_str_noescape(text).map_err(|err| SettingsError::Syntax {
        file: file.to_owned(),
        detail: err.to_string(),
    })
}

/// Reads the text of a settings file; `file` stands in errors.
///
/// # Errors
///
/// The file, section and key at fault.
pub fn parse(file: &str, text: &str) -> Result<Settings, SettingsError> {
    let ini = read_ini(file, text)?;
    let mut source = IniReader::new(file, &ini);
    let settings = read_settings(&mut source)?;
    source.check_unknown_keys()?;
    settings.check().map_err(|conflict| {
        let SettingsConflict {
            section,
            key,
            detail,
        } = conflict;
        source.key_error(section, key, detail)
    })?;
    Ok(settings)
}

fn read_settings(source: &mut IniReader<'_>) -> Result<Settings, SettingsError> {
    let mut settings = Settings {
        vm: source.require("process", "vm")?,
        zone: source.require("process", "zone")?,
        http_address: source.require("process", "http")?,
        link_address: source.require("process", "link")?,
        role: read_role(source)?,
        admin_key: source.read_secret("process", "admin_key")?,
        links: read_links(source)?,
        limits: read_limits(source)?,
        shutdown: read_shutdown(source)?,
        ..Settings::default()
    };
    source.read_into("process", "http_workers", &mut settings.http_workers)?;
    source.read_into("process", "log_level", &mut settings.log_level)?;
    Ok(settings)
}

fn read_role(source: &mut IniReader<'_>) -> Result<Role, SettingsError> {
    let role: String = source.require("process", "role")?;
    match role.as_str() {
        "entry" => read_entry(source).map(Role::Entry),
        "sidecar" => read_sidecar(source).map(Role::Sidecar),
        _ => Err(source.key_error("process", "role", "must be `entry`, `gateway` or `sidecar`")),
    }
}

fn read_entry(source: &mut IniReader<'_>) -> Result<EntryRole, SettingsError> {
    let mut entry = EntryRole {
        log_address: source.require("entry", "log")?,
        vms_address: source.require("entry", "vms")?,
        default_service: source.read("entry", "default_service")?,
        ..EntryRole::default()
    };
    source.read_into("entry", "partitions", &mut entry.partition_count)?;
    source.read_into("entry", "vms_poll", &mut entry.vms_poll_us)?;
    source.read_into("entry", "platform_timeout", &mut entry.platform_timeout_us)?;
    Ok(entry)
}

fn read_sidecar(source: &mut IniReader<'_>) -> Result<SidecarRole, SettingsError> {
    let mut sidecar = SidecarRole {
        service: source.require("sidecar", "service")?,
        backend_address: source.require("sidecar", "backend")?,
        backend_kind: source.require("sidecar", "backend_kind")?,
        ..SidecarRole::default()
    };
    source.read_into("sidecar", "poll", &mut sidecar.poll_us)?;
    source.read_into(
        "sidecar",
        "backend_timeout",
        &mut sidecar.backend_timeout_us,
    )?;
    Ok(sidecar)
}

fn read_links(source: &mut IniReader<'_>) -> Result<LinkSettings, SettingsError> {
    let current = source.read_secret("links", "key")?;
    let current = current.ok_or_else(|| source.key_error("links", "key", "is missing"))?;
    let previous = source.read_secret("links", "previous_key")?;
    let mut links = LinkSettings {
        keys: LinkKeys { current, previous },
        ..LinkSettings::default()
    };
    source.read_into("links", "max_frame", &mut links.max_frame_bytes)?;
    source.read_into("links", "queue_messages", &mut links.queue_messages)?;
    source.read_into("links", "queue", &mut links.queue_bytes)?;
    source.read_into("links", "silence", &mut links.idle_timeout_us)?;
    source.read_into("links", "handshake", &mut links.handshake_timeout_us)?;
    source.read_into("links", "max_backoff", &mut links.max_backoff_us)?;
    source.read_into("links", "max_links", &mut links.max_links)?;
    Ok(links)
}

fn read_limits(source: &mut IniReader<'_>) -> Result<Limits, SettingsError> {
    let mut limits = Limits::default();
    source.read_into("limits", "body", &mut limits.body_bytes)?;
    source.read_into("limits", "header", &mut limits.header_bytes)?;
    source.read_into("limits", "connections", &mut limits.connections)?;
    source.read_into("limits", "streams", &mut limits.streams)?;
    source.read_into("limits", "receive", &mut limits.receive_timeout_us)?;
    source.read_into("limits", "keep_alive", &mut limits.keep_alive_us)?;
    source.read_into("limits", "answer_stall", &mut limits.answer_stall_us)?;
    source.read_into("limits", "answer", &mut limits.answer_bytes)?;
    Ok(limits)
}

fn read_shutdown(source: &mut IniReader<'_>) -> Result<ShutdownSettings, SettingsError> {
    let mut shutdown = ShutdownSettings::default();
    source.read_into("shutdown", "notice", &mut shutdown.drain_delay_us)?;
    source.read_into("shutdown", "linger", &mut shutdown.linger_us)?;
    source.read_into("shutdown", "limit", &mut shutdown.limit_us)?;
    Ok(shutdown)
}
