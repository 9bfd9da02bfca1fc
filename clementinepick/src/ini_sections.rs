//! Parses an INI text into sections and reports errors by section and key.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

use ini::{Ini, ParseOption, Properties};

use crate::document::DocumentError;

/// The maximum edit distance between an unknown word and its suggestion.
const MAX_EDIT_DISTANCE: usize = 2;

/// A section with its kind, its name within the kind, and its keys.
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
                nearest: most_similar_key(key, known),
            }),
        }
    }

    pub(crate) fn invalid_value(&self, key: &str, detail: &dyn fmt::Display) -> DocumentError {
        DocumentError::BadValue {
            section: self.title.clone(),
            key: key.to_owned(),
            detail: detail.to_string(),
        }
    }

    pub(crate) fn missing_key(&self, key: &'static str) -> DocumentError {
        DocumentError::Missing {
            section: self.title.clone(),
            key,
        }
    }

    pub(crate) fn raw_value(&self, key: &str) -> Option<&str> {
        self.keys.get(key).map(String::as_str)
    }

    pub(crate) fn read<T>(&self, key: &str) -> Result<Option<T>, DocumentError>
    where
        T: FromStr,
        T::Err: ToString,
    {
        self.raw_value(key)
            .map(|text| {
                text.parse()
                    .map_err(|err: T::Err| self.invalid_value(key, &err.to_string()))
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

    /// Reads a value that must lie between `lower` and `upper`, inclusive.
    pub(crate) fn read_in_range<T>(
        &self,
        key: &str,
        default: T,
        lower: T,
        upper: T,
    ) -> Result<T, DocumentError>
    where
        T: Copy + FromStr + PartialOrd + fmt::Display,
        T::Err: ToString,
    {
        let value = self.read_or(key, default)?;
        if value < lower || value > upper {
            return Err(self.invalid_value(key, &format!("must be from {lower} to {upper}")));
        }
        Ok(value)
    }

    pub(crate) fn read_required<T>(&self, key: &'static str) -> Result<T, DocumentError>
    where
        T: FromStr,
        T::Err: ToString,
    {
        self.read(key)?.ok_or_else(|| self.missing_key(key))
    }

    /// Reads the name from the section's title.
    pub(crate) fn read_name<T>(&self) -> Result<T, DocumentError>
    where
        T: FromStr,
        T::Err: ToString,
    {
        self.name
            .parse()
            .map_err(|err: T::Err| self.invalid_value("name", &err.to_string()))
    }
}

/// Reads the sections of `text`; sections of a kind in `named` have a name after the kind.
pub(crate) fn read_sections(
    text: &str,
    unnamed: &'static [&'static str],
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
            reject_keys_without_section(properties)?;
            continue;
        };
        let section = read_section(title, properties)?;
        if sections.iter().any(|known| known.title == section.title) {
            return Err(repeated_error(&section.title, ""));
        }
        let expected = if section.name.is_empty() {
            unnamed
        } else {
            named
        };
        if !expected.contains(&section.kind.as_str()) {
            return Err(unknown_section_error(&section, unnamed, named));
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
            return Err(repeated_error(&title, key));
        }
    }
    Ok(Section {
        title,
        kind,
        name,
        keys,
    })
}

fn reject_keys_without_section(properties: &Properties) -> Result<(), DocumentError> {
    match properties.iter().next() {
        None => Ok(()),
        Some((key, _)) => Err(DocumentError::UnknownKey {
            section: String::new(),
            key: key.to_owned(),
            nearest: None,
        }),
    }
}

fn repeated_error(section: &str, key: &str) -> DocumentError {
    DocumentError::Repeated {
        section: section.to_owned(),
        key: key.to_owned(),
    }
}

fn unknown_section_error(
    section: &Section,
    unnamed: &'static [&'static str],
    named: &'static [&'static str],
) -> DocumentError {
    let all = unnamed.iter().chain(named).copied();
    DocumentError::UnknownSection {
        section: section.title.clone(),
        nearest: most_similar(&section.kind, all),
    }
}

/// Returns the known word most similar to `word`, within [`MAX_EDIT_DISTANCE`].
fn most_similar_key(word: &str, known: &'static [&'static str]) -> Option<&'static str> {
    most_similar(word, known.iter().copied())
}

fn most_similar(word: &str, known: impl Iterator<Item = &'static str>) -> Option<&'static str> {
    known
        .map(|name| (edit_distance(word, name), name))
        .filter(|(edits, _)| *edits <= MAX_EDIT_DISTANCE)
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
