//! Reads [`Settings`] from an INI file and says precisely what is wrong with it.

use std::fs;
use std::path::Path;

use ini::Ini;

use crate::gateway_settings::{self, GatewaySettings};
pub use crate::ini_source::SettingsError;
use crate::ini_source::Source;
use crate::settings::{
    Conflict, EntryRole, Limits, LinkKeys, LinkSettings, Role, Settings, ShutdownSettings,
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
    let mut source = Source::new(file, &ini);
    let _role: String = source.need("process", "role")?;
    let settings = gateway_settings::read(&mut source)?;
    source.check_unused()?;
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
    let mut source = Source::new(file, &ini);
    let settings = read_settings(&mut source)?;
    source.check_unused()?;
    settings.check().map_err(|conflict| {
        let Conflict {
            section,
            key,
            detail,
        } = conflict;
        source.wrong(section, key, detail)
    })?;
    Ok(settings)
}

fn read_settings(source: &mut Source<'_>) -> Result<Settings, SettingsError> {
    let mut settings = Settings {
        vm: source.need("process", "vm")?,
        zone: source.need("process", "zone")?,
        http_address: source.need("process", "http")?,
        link_address: source.need("process", "link")?,
        role: read_role(source)?,
        admin_key: source.key("process", "admin_key")?,
        links: read_links(source)?,
        limits: read_limits(source)?,
        shutdown: read_shutdown(source)?,
        ..Settings::default()
    };
    source.set("process", "http_workers", &mut settings.http_workers)?;
    source.set("process", "log_level", &mut settings.log_level)?;
    Ok(settings)
}

fn read_role(source: &mut Source<'_>) -> Result<Role, SettingsError> {
    let role: String = source.need("process", "role")?;
    match role.as_str() {
        "entry" => read_entry(source).map(Role::Entry),
        "sidecar" => read_sidecar(source).map(Role::Sidecar),
        _ => Err(source.wrong("process", "role", "must be `entry`, `gateway` or `sidecar`")),
    }
}

fn read_entry(source: &mut Source<'_>) -> Result<EntryRole, SettingsError> {
    let mut entry = EntryRole {
        log_address: source.need("entry", "log")?,
        vms_address: source.need("entry", "vms")?,
        default_service: source.read("entry", "default_service")?,
        ..EntryRole::default()
    };
    source.set("entry", "partitions", &mut entry.partition_count)?;
    source.set("entry", "vms_poll", &mut entry.vms_poll_us)?;
    source.set("entry", "platform_timeout", &mut entry.platform_timeout_us)?;
    Ok(entry)
}

fn read_sidecar(source: &mut Source<'_>) -> Result<SidecarRole, SettingsError> {
    let mut sidecar = SidecarRole {
        service: source.need("sidecar", "service")?,
        backend_address: source.need("sidecar", "backend")?,
        backend_kind: source.need("sidecar", "backend_kind")?,
        ..SidecarRole::default()
    };
    source.set("sidecar", "poll", &mut sidecar.poll_us)?;
    source.set(
        "sidecar",
        "backend_timeout",
        &mut sidecar.backend_timeout_us,
    )?;
    Ok(sidecar)
}

fn read_links(source: &mut Source<'_>) -> Result<LinkSettings, SettingsError> {
    let current = source.key("links", "key")?;
    let current = current.ok_or_else(|| source.wrong("links", "key", "is missing"))?;
    let previous = source.key("links", "previous_key")?;
    let mut links = LinkSettings {
        keys: LinkKeys { current, previous },
        ..LinkSettings::default()
    };
    source.set("links", "max_frame", &mut links.max_frame_bytes)?;
    source.set("links", "queue_messages", &mut links.queue_messages)?;
    source.set("links", "queue", &mut links.queue_bytes)?;
    source.set("links", "silence", &mut links.silence_us)?;
    source.set("links", "handshake", &mut links.handshake_us)?;
    source.set("links", "max_backoff", &mut links.max_backoff_us)?;
    source.set("links", "max_links", &mut links.max_links)?;
    Ok(links)
}

fn read_limits(source: &mut Source<'_>) -> Result<Limits, SettingsError> {
    let mut limits = Limits::default();
    source.set("limits", "body", &mut limits.body_bytes)?;
    source.set("limits", "header", &mut limits.header_bytes)?;
    source.set("limits", "connections", &mut limits.connections)?;
    source.set("limits", "streams", &mut limits.streams)?;
    source.set("limits", "receive", &mut limits.receive_us)?;
    source.set("limits", "keep_alive", &mut limits.keep_alive_us)?;
    source.set("limits", "answer_stall", &mut limits.answer_stall_us)?;
    source.set("limits", "answer", &mut limits.answer_bytes)?;
    Ok(limits)
}

fn read_shutdown(source: &mut Source<'_>) -> Result<ShutdownSettings, SettingsError> {
    let mut shutdown = ShutdownSettings::default();
    source.set("shutdown", "notice", &mut shutdown.notice_us)?;
    source.set("shutdown", "linger", &mut shutdown.linger_us)?;
    source.set("shutdown", "limit", &mut shutdown.limit_us)?;
    Ok(shutdown)
}
