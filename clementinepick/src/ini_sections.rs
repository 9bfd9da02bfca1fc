//! The sections and keys of an INI text, each read once and named where it is wrong.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

use ini::{Ini, ParseOption, Properties};

use crate::document::DocumentError;

/// The most edits between a wrong word and the one that is suggested for it.
const MAX_EDITS: usize = 2;

/// One section as read: its kind, its name within the kind, and its keys.
pub(crate) struct Section {
    pub(crate) title: String,
    pub(crate) kind: String,
    pub(crate) name: String,
    pub(crate) keys: BTreeMap<String, String>,
}

impl Section {
    pub(crate) fn check_keys(&self, known: &'static [&'static str]) -> Result<(), DocumentError> {
        match self.keys.keys().find(|key| !known.contains(&key.as_str())) {
            None => Ok(()),
            Some(key) => Err(DocumentError::UnknownKey {
                section: self.title.clone(),
                key: key.clone(),
                nearest: nearest(key, known),
            }),
        }
    }

    pub(crate) fn bad(&self, key: &str, detail: &dyn fmt::Display) -> DocumentError {
        DocumentError::BadValue {
            section: self.title.clone(),
            key: key.to_owned(),
            detail: detail.to_string(),
        }
    }

    pub(crate) fn missing(&self, key: &'static str) -> DocumentError {
        DocumentError::Missing {
            section: self.title.clone(),
            key,
        }
    }

    pub(crate) fn text(&self, key: &str) -> Option<&str> {
        self.keys.get(key).map(String::as_str)
    }

    pub(crate) fn read<T>(&self, key: &str) -> Result<Option<T>, DocumentError>
    where
        T: FromStr,
        T::Err: ToString,
    {
        self.text(key)
            .map(|text| {
                text.parse()
                    .map_err(|err: T::Err| self.bad(key, &err.to_string()))
            })
            .transpose()
    }

    pub(crate) fn read_or<T>(&self, key: &str, default: T) -> Result<T, DocumentError>
    where
        T: FromStr,
        T::Err: ToString,
    {
        Ok(self.read(key)?.unwrap_or(default))
    }

    /// Reads a value that must lie between `least` and `most`.
    pub(crate) fn read_within<T>(
        &self,
        key: &str,
        default: T,
        least: T,
        most: T,
    ) -> Result<T, DocumentError>
    where
        T: Copy + FromStr + PartialOrd + fmt::Display,
        T::Err: ToString,
    {
        let value = self.read_or(key, default)?;
        if value < least || value > most {
            return Err(self.bad(key, &format!("must be from {least} to {most}")));
        }
        Ok(value)
    }

    pub(crate) fn read_required<T>(&self, key: &'static str) -> Result<T, DocumentError>
    where
        T: FromStr,
        T::Err: ToString,
    {
        self.read(key)?.ok_or_else(|| self.missing(key))
    }

    /// Reads the name in the section's title.
    pub(crate) fn read_name<T>(&self) -> Result<T, DocumentError>
    where
        T: FromStr,
        T::Err: ToString,
    {
        self.name
            .parse()
            .map_err(|err: T::Err| self.bad("name", &err.to_string()))
    }
}

/// Reads the sections of `text`; those of a kind in `named` carry a name after the kind.
pub(crate) fn read_sections(
    text: &str,
    plain: &'static [&'static str],
    named: &'static [&'static str],
) -> Result<Vec<Section>, DocumentError> {
    let option = ParseOption {
        enabled_quote: false,
        enabled_escape: false,
        ..Default::default()
    };
    let ini = Ini::load_from_str_opt(text, option).map_err(|err| DocumentError::Syntax {
        line: err.line + 1,
        detail: err.msg.to_string(),
    })?;
    let mut sections: Vec<Section> = Vec::new();
    for (title, properties) in &ini {
        let Some(title) = title else {
            refuse_keys_without_section(properties)?;
            continue;
        };
        let section = read_section(title, properties)?;
        if sections.iter().any(|known| known.title == section.title) {
            return Err(repeated(&section.title, ""));
        }
        let expected = if section.name.is_empty() {
            plain
        } else {
            named
        };
        if !expected.contains(&section.kind.as_str()) {
            return Err(unknown_section(&section, plain, named));
        }
        sections.push(section);
    }
    Ok(sections)
}

fn read_section(title: &str, properties: &Properties) -> Result<Section, DocumentError> {
    let title = title.split_whitespace().collect::<Vec<_>>().join(" ");
    let (kind, name) = title.split_once(' ').unwrap_or((&title, ""));
    let (kind, name) = (kind.to_owned(), name.to_owned());
    let mut keys = BTreeMap::new();
    for (key, value) in properties {
        let value = value.split([';', '#']).next().unwrap_or_default().trim();
        if keys.insert(key.to_owned(), value.to_owned()).is_some() {
            return Err(repeated(&title, key));
        }
    }
    Ok(Section {
        title,
        kind,
        name,
        keys,
    })
}

fn refuse_keys_without_section(properties: &Properties) -> Result<(), DocumentError> {
    match properties.iter().next() {
        None => Ok(()),
        Some((key, _)) => Err(DocumentError::UnknownKey {
            section: String::new(),
            key: key.to_owned(),
            nearest: None,
        }),
    }
}

fn repeated(section: &str, key: &str) -> DocumentError {
    DocumentError::Repeated {
        section: section.to_owned(),
        key: key.to_owned(),
    }
}

fn unknown_section(
    section: &Section,
    plain: &'static [&'static str],
    named: &'static [&'static str],
) -> DocumentError {
    let all = plain.iter().chain(named).copied();
    DocumentError::UnknownSection {
        section: section.title.clone(),
        nearest: nearest_of(&section.kind, all),
    }
}

/// The known word that is a few edits away, if there is one.
fn nearest(word: &str, known: &'static [&'static str]) -> Option<&'static str> {
    nearest_of(word, known.iter().copied())
}

fn nearest_of(word: &str, known: impl Iterator<Item = &'static str>) -> Option<&'static str> {
    known
        .map(|name| (edit_distance(word, name), name))
        .filter(|(edits, _)| *edits <= MAX_EDITS)
        .min()
        .map(|(_, name)| name)
}

fn edit_distance(a: &str, b: &str) -> usize {
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, x) in a.bytes().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, y) in b.bytes().enumerate() {
            let replaced = diagonal + usize::from(x != y);
            diagonal = row[j + 1];
            row[j + 1] = replaced.min(row[j] + 1).min(diagonal + 1);
        }
    }
    row[b.len()]
}
