//! Reads [`Settings`] from an INI file and says precisely what is wrong with it.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;
use std::str::FromStr;

use ini::Ini;
use thiserror::Error;

use crate::settings::{
    Conflict, EntryRole, Limits, LinkKey, LinkKeys, LinkSettings, Role, Settings, ShutdownSettings,
    SidecarRole,
};

/// A settings file that can't be used.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("{file}: {error}")]
    Unreadable {
        /// The file.
        file: String,
        /// Why.
        error: std::io::Error,
    },
    /// The file is no INI.
    #[error("{file}: {detail}")]
    Syntax {
        /// The file.
        file: String,
        /// Where and why.
        detail: String,
    },
    /// A key is missing, unknown, given twice or has a value that can't be read.
    #[error("{file}: [{section}] {key}: {detail}")]
    Key {
        /// The file.
        file: String,
        /// The section.
        section: String,
        /// The key.
        key: String,
        /// What is wrong.
        detail: String,
    },
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

/// Reads the text of a settings file; `file` stands in errors.
///
/// # Errors
///
/// The file, section and key at fault.
pub fn parse(file: &str, text: &str) -> Result<Settings, SettingsError> {
    let ini = Ini::load_from_str_noescape(text).map_err(|err| SettingsError::Syntax {
        file: file.to_owned(),
        detail: err.to_string(),
    })?;
    let mut source = Source {
        file,
        ini: &ini,
        used: BTreeSet::new(),
    };
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

struct Source<'a> {
    file: &'a str,
    ini: &'a Ini,
    used: BTreeSet<(&'static str, &'static str)>,
}

impl Source<'_> {
    fn wrong(&self, section: &str, key: &str, detail: impl Into<String>) -> SettingsError {
        SettingsError::Key {
            file: self.file.to_owned(),
            section: section.to_owned(),
            key: key.to_owned(),
            detail: detail.into(),
        }
    }

    fn text(
        &mut self,
        section: &'static str,
        key: &'static str,
    ) -> Result<Option<&str>, SettingsError> {
        self.used.insert((section, key));
        let values: Vec<&str> = self
            .ini
            .section_all(Some(section))
            .flat_map(|properties| properties.get_all(key))
            .collect();
        match values[..] {
            [] => Ok(None),
            [value] => Ok(Some(value.trim())),
            _ => Err(self.wrong(section, key, "is given twice")),
        }
    }

    fn read<T>(
        &mut self,
        section: &'static str,
        key: &'static str,
    ) -> Result<Option<T>, SettingsError>
    where
        T: FromStr,
        T::Err: ToString,
    {
        let Some(text) = self.text(section, key)? else {
            return Ok(None);
        };
        let (value, text) = (text.parse::<T>(), text.to_owned());
        value.map(Some).map_err(|err| {
            let detail = format!("`{text}`: {}", err.to_string());
            self.wrong(section, key, detail)
        })
    }

    fn set<T>(
        &mut self,
        section: &'static str,
        key: &'static str,
        field: &mut T,
    ) -> Result<(), SettingsError>
    where
        T: FromStr,
        T::Err: ToString,
    {
        if let Some(value) = self.read(section, key)? {
            *field = value;
        }
        Ok(())
    }

    fn need<T>(&mut self, section: &'static str, key: &'static str) -> Result<T, SettingsError>
    where
        T: FromStr,
        T::Err: ToString,
    {
        let value = self.read(section, key)?;
        value.ok_or_else(|| self.wrong(section, key, "is missing"))
    }

    fn key(
        &mut self,
        section: &'static str,
        key: &'static str,
    ) -> Result<Option<LinkKey>, SettingsError> {
        let Some(text) = self.text(section, key)? else {
            return Ok(None);
        };
        let read = LinkKey::new(text);
        let short = || self.wrong(section, key, "must have 16 characters or more");
        read.ok_or_else(short).map(Some)
    }

    fn check_unused(&self) -> Result<(), SettingsError> {
        for (section, properties) in self.ini {
            let section = section.unwrap_or_default();
            for (key, _) in properties {
                if !self.used.iter().any(|(s, k)| *s == section && *k == key) {
                    let detail = self.unknown(section);
                    return Err(self.wrong(section, key, detail));
                }
            }
        }
        Ok(())
    }

    /// Says which keys a section has in this role.
    fn unknown(&self, section: &str) -> String {
        let in_section = self.used.iter().filter(|(s, _)| *s == section);
        let known: Vec<&str> = in_section.map(|(_, key)| *key).collect();
        if known.is_empty() {
            let sections: BTreeSet<&str> = self.used.iter().map(|(s, _)| *s).collect();
            let sections: Vec<&str> = sections.into_iter().collect();
            return format!(
                "this role has no such section; it has {}",
                sections.join(", ")
            );
        }
        format!("unknown key; the section has {}", known.join(", "))
    }
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
        _ => Err(source.wrong("process", "role", "must be `entry` or `sidecar`")),
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
