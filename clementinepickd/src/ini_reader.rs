//! Reads keys of an INI file and says precisely what is wrong with one.

use std::collections::BTreeSet;
use std::str::FromStr;

use ini::Ini;
use thiserror::Error;

use crate::settings::LinkKey;

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

/// An INI file that is being read, with the keys that were asked for.
pub(crate) struct IniReader<'a> {
    file: &'a str,
    ini: &'a Ini,
    used: BTreeSet<(&'static str, &'static str)>,
}

impl<'a> IniReader<'a> {
    /// A source; `file` stands in errors.
    pub(crate) fn new(file: &'a str, ini: &'a Ini) -> Self {
        Self {
            file,
            ini,
            used: BTreeSet::new(),
        }
    }

    /// An error at a key.
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
            _ => Err(self.key_error(section, key, "is given twice")),
        }
    }

    /// The value of a key, if it is given.
    pub(crate) fn read<T>(
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
            self.key_error(section, key, detail)
        })
    }

    /// Sets a field to the value of a key, if it is given.
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

    /// The value of a key that must be given.
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

    /// A secret.
    pub(crate) fn read_secret(
        &mut self,
        section: &'static str,
        key: &'static str,
    ) -> Result<Option<LinkKey>, SettingsError> {
        let Some(text) = self.text(section, key)? else {
            return Ok(None);
        };
        let read = LinkKey::new(text);
        let short = || self.key_error(section, key, "must have 16 characters or more");
        read.ok_or_else(short).map(Some)
    }

    /// Fails if the file has a key that nobody asked for.
    pub(crate) fn check_unknown_keys(&self) -> Result<(), SettingsError> {
        for (section, properties) in self.ini {
            let section = section.unwrap_or_default();
            for (key, _) in properties {
                if !self.used.iter().any(|(s, k)| *s == section && *k == key) {
                    let detail = self.unknown(section);
                    return Err(self.key_error(section, key, detail));
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
