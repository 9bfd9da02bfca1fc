//! Reads typed values from an INI file; errors name the file, the section and the key.

use std::collections::BTreeSet;
use std::str::FromStr;

use ini::Ini;
use thiserror::Error;

use crate::settings::LinkKey;

/// An error that makes a settings file unusable.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file could not be read.
    #[error("{file}: cannot read settings file: {error}")]
    Unreadable {
        /// The path of the file.
        file: String,
        /// The cause.
        error: std::io::Error,
    },
    /// The file is not valid INI.
    #[error("{file}: invalid INI syntax: {detail}")]
    Syntax {
        /// The path of the file.
        file: String,
        /// The position and the cause.
        detail: String,
    },
    /// A key is missing, unknown or given twice, or its value is invalid.
    #[error("{file}: [{section}] {key}: {detail}")]
    Key {
        /// The path of the file.
        file: String,
        /// The section of the key.
        section: String,
        /// The name of the key.
        key: String,
        /// The cause.
        detail: String,
    },
}

/// Reads the keys of an INI file and records which ones were requested.
pub(crate) struct IniReader<'a> {
    file: &'a str,
    ini: &'a Ini,
    requested: BTreeSet<(&'static str, &'static str)>,
}

impl<'a> IniReader<'a> {
    /// Creates a reader; `file` is the path that errors name.
    pub(crate) fn new(file: &'a str, ini: &'a Ini) -> Self {
        Self {
            file,
            ini,
            requested: BTreeSet::new(),
        }
    }

    /// Returns an error about a key.
    pub(crate) fn key_error(
        &self,
        section: &str,
        key: &str,
        detail: impl Into<String>,
    ) -> SettingsError {
        SettingsError::Key {
            file: self.file.to_owned(),
            section: section.to_owned(),
            key: key.to_owned(),
            detail: detail.into(),
        }
    }

    fn read_text(
        &mut self,
        section: &'static str,
        key: &'static str,
    ) -> Result<Option<&str>, SettingsError> {
        self.requested.insert((section, key));
        let values: Vec<&str> = self
            .ini
            .section_all(Some(section))
            .flat_map(|properties| properties.get_all(key))
            .collect();
        match values[..] {
            [] => Ok(None),
            [value] => Ok(Some(value.trim())),
            _ => Err(self.key_error(section, key, "is given twice")),
        }
    }

    /// Reads the value of an optional key.
    pub(crate) fn read<T>(
        &mut self,
        section: &'static str,
        key: &'static str,
    ) -> Result<Option<T>, SettingsError>
    where
        T: FromStr,
        T::Err: ToString,
    {
        let Some(text) = self.read_text(section, key)? else {
            return Ok(None);
        };
        let (value, text) = (text.parse::<T>(), text.to_owned());
        value.map(Some).map_err(|err| {
            let detail = format!("`{text}`: {}", err.to_string());
            self.key_error(section, key, detail)
        })
    }

    /// Reads an optional key into `field`, which keeps its value when the key is absent.
    pub(crate) fn read_into<T>(
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

    /// Reads the value of a required key.
    pub(crate) fn require<T>(
        &mut self,
        section: &'static str,
        key: &'static str,
    ) -> Result<T, SettingsError>
    where
        T: FromStr,
        T::Err: ToString,
    {
        let value = self.read(section, key)?;
        value.ok_or_else(|| self.key_error(section, key, "is missing"))
    }

    /// Reads an optional secret; errors do not contain its text.
    pub(crate) fn read_secret(
        &mut self,
        section: &'static str,
        key: &'static str,
    ) -> Result<Option<LinkKey>, SettingsError> {
        let Some(text) = self.read_text(section, key)? else {
            return Ok(None);
        };
        let read = LinkKey::new(text);
        let too_short = || self.key_error(section, key, "must have 16 characters or more");
        read.ok_or_else(too_short).map(Some)
    }

    /// Returns an error if the file has a key that was not requested.
    pub(crate) fn check_unknown_keys(&self) -> Result<(), SettingsError> {
        for (section, properties) in self.ini {
            let section = section.unwrap_or_default();
            for (key, _) in properties {
                if !self
                    .requested
                    .iter()
                    .any(|(s, k)| *s == section && *k == key)
                {
                    let detail = self.describe_known_keys(section);
                    return Err(self.key_error(section, key, detail));
                }
            }
        }
        Ok(())
    }

    /// Describes the keys that a section has in this role.
    fn describe_known_keys(&self, section: &str) -> String {
        let in_section = self.requested.iter().filter(|(s, _)| *s == section);
        let known_keys: Vec<&str> = in_section.map(|(_, key)| *key).collect();
        if known_keys.is_empty() {
            let sections: BTreeSet<&str> = self.requested.iter().map(|(s, _)| *s).collect();
            let sections: Vec<&str> = sections.into_iter().collect();
            return format!(
                "this role has no such section; it has {}",
                sections.join(", ")
            );
        }
        format!("unknown key; the section has {}", known_keys.join(", "))
    }
}
