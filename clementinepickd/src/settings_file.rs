//! Reads the settings of a process from an INI file; errors name the file, the section and the key.

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

/// Reads the settings file of an entry or a sidecar.
///
/// # Errors
///
/// Returns an error that names the file, and the section and key where there is one.
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
/// Returns an error that names the file, and the section and key where there is one.
pub fn load_process(path: &Path) -> Result<ProcessSettings, SettingsError> {
    let file = path.display().to_string();
    match fs::read_to_string(path) {
        Ok(text) => parse_process(&file, &text),
        Err(error) => Err(SettingsError::Unreadable { file, error }),
    }
}

/// Parses a settings file of any role; `file` is the path that errors name.
///
/// # Errors
///
/// Returns an error that names the file, and the section and key where there is one.
pub fn parse_process(file: &str, text: &str) -> Result<ProcessSettings, SettingsError> {
    let ini = parse_ini(file, text)?;
    if ini.get_from(Some("process"), "role") != Some("gateway") {
        return parse(file, text).map(|settings| ProcessSettings::Daemon(Box::new(settings)));
    }
    let mut reader = IniReader::new(file, &ini);
    let _role: String = reader.require("process", "role")?;
    let settings = gateway_settings::read(&mut reader)?;
    reader.check_unknown_keys()?;
    Ok(ProcessSettings::Gateway(Box::new(settings)))
}

fn parse_ini(file: &str, text: &str) -> Result<Ini, SettingsError> {
    Ini::load_from_str_noescape(text).map_err(|err| SettingsError::Syntax {
        file: file.to_owned(),
        detail: err.to_string(),
    })
}

/// Parses a settings file of an entry or a sidecar; `file` is the path that errors name.
///
/// # Errors
///
/// Returns an error that names the file, and the section and key where there is one.
pub fn parse(file: &str, text: &str) -> Result<Settings, SettingsError> {
    let ini = parse_ini(file, text)?;
    let mut reader = IniReader::new(file, &ini);
    let settings = read_settings(&mut reader)?;
    reader.check_unknown_keys()?;
    settings.check().map_err(|conflict| {
        let SettingsConflict {
            section,
            key,
            detail,
        } = conflict;
        reader.key_error(section, key, detail)
    })?;
    Ok(settings)
}

fn read_settings(reader: &mut IniReader<'_>) -> Result<Settings, SettingsError> {
    let mut settings = Settings {
        vm: reader.require("process", "vm")?,
        zone: reader.require("process", "zone")?,
        http_address: reader.require("process", "http")?,
        link_address: reader.require("process", "link")?,
        role: read_role(reader)?,
        admin_key: reader.read_secret("process", "admin_key")?,
        links: read_links(reader)?,
        limits: read_limits(reader)?,
        shutdown: read_shutdown(reader)?,
        ..Settings::default()
    };
    reader.read_into("process", "http_workers", &mut settings.http_workers)?;
    reader.read_into("process", "log_level", &mut settings.log_level)?;
    Ok(settings)
}

fn read_role(reader: &mut IniReader<'_>) -> Result<Role, SettingsError> {
    let role: String = reader.require("process", "role")?;
    match role.as_str() {
        "entry" => read_entry(reader).map(Role::Entry),
        "sidecar" => read_sidecar(reader).map(Role::Sidecar),
        _ => Err(reader.key_error("process", "role", "must be `entry`, `gateway` or `sidecar`")),
    }
}

fn read_entry(reader: &mut IniReader<'_>) -> Result<EntryRole, SettingsError> {
    let mut entry = EntryRole {
        log_address: reader.require("entry", "log")?,
        vms_address: reader.require("entry", "vms")?,
        default_service: reader.read("entry", "default_service")?,
        ..EntryRole::default()
    };
    reader.read_into("entry", "partitions", &mut entry.partition_count)?;
    reader.read_into("entry", "vms_poll", &mut entry.vms_poll_us)?;
    reader.read_into("entry", "platform_timeout", &mut entry.platform_timeout_us)?;
    Ok(entry)
}

fn read_sidecar(reader: &mut IniReader<'_>) -> Result<SidecarRole, SettingsError> {
    let mut sidecar = SidecarRole {
        service: reader.require("sidecar", "service")?,
        backend_address: reader.require("sidecar", "backend")?,
        backend_kind: reader.require("sidecar", "backend_kind")?,
        ..SidecarRole::default()
    };
    reader.read_into("sidecar", "poll", &mut sidecar.poll_us)?;
    reader.read_into(
        "sidecar",
        "backend_timeout",
        &mut sidecar.backend_timeout_us,
    )?;
    Ok(sidecar)
}

fn read_links(reader: &mut IniReader<'_>) -> Result<LinkSettings, SettingsError> {
    let current = reader.read_secret("links", "key")?;
    let current = current.ok_or_else(|| reader.key_error("links", "key", "is missing"))?;
    let previous = reader.read_secret("links", "previous_key")?;
    let mut links = LinkSettings {
        keys: LinkKeys { current, previous },
        ..LinkSettings::default()
    };
    reader.read_into("links", "max_frame", &mut links.max_frame_bytes)?;
    reader.read_into("links", "queue_messages", &mut links.queue_messages)?;
    reader.read_into("links", "queue", &mut links.queue_bytes)?;
    reader.read_into("links", "silence", &mut links.idle_timeout_us)?;
    reader.read_into("links", "handshake", &mut links.handshake_timeout_us)?;
    reader.read_into("links", "max_backoff", &mut links.max_backoff_us)?;
    reader.read_into("links", "max_links", &mut links.max_links)?;
    Ok(links)
}

fn read_limits(reader: &mut IniReader<'_>) -> Result<Limits, SettingsError> {
    let mut limits = Limits::default();
    reader.read_into("limits", "body", &mut limits.body_bytes)?;
    reader.read_into("limits", "header", &mut limits.header_bytes)?;
    reader.read_into("limits", "connections", &mut limits.connections)?;
    reader.read_into("limits", "streams", &mut limits.streams)?;
    reader.read_into("limits", "receive", &mut limits.receive_timeout_us)?;
    reader.read_into("limits", "keep_alive", &mut limits.keep_alive_us)?;
    reader.read_into("limits", "answer_stall", &mut limits.answer_stall_us)?;
    reader.read_into("limits", "answer", &mut limits.answer_bytes)?;
    Ok(limits)
}

fn read_shutdown(reader: &mut IniReader<'_>) -> Result<ShutdownSettings, SettingsError> {
    let mut shutdown = ShutdownSettings::default();
    reader.read_into("shutdown", "notice", &mut shutdown.drain_delay_us)?;
    reader.read_into("shutdown", "linger", &mut shutdown.linger_us)?;
    reader.read_into("shutdown", "limit", &mut shutdown.limit_us)?;
    Ok(shutdown)
}
