//! Parses and validates the document of a service, the INI text that configures the service.

use std::collections::BTreeMap;

use derive_more::Display;
use thiserror::Error;

use crate::document_check::check_references;
use crate::document_read::read_document;
use crate::ids::{CategoryName, ClassName, ModelName, ServiceName};
pub use crate::rules::{
    AdapterRules, CategoryRules, ClassRules, ModelRules, PlacementRules, ProgramRules,
    RetentionRules, RetryRules, RouteRules,
};

/// The maximum length of a document, in bytes; configuration snapshots contain all documents.
pub const MAX_DOCUMENT_BYTES: usize = 65_536;

/// The HTTP methods that are idempotent by definition.
pub(crate) const IDEMPOTENT_METHODS: &[&str] = &["GET", "HEAD", "OPTIONS", "PUT", "DELETE"];

/// An error in a document, with its location.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum DocumentError {
    /// The text exceeds [`MAX_DOCUMENT_BYTES`].
    #[error("the document has {length_bytes} bytes, over {MAX_DOCUMENT_BYTES}")]
    TooLong {
        /// The length of the text.
        length_bytes: usize,
    },
    /// The text is not valid INI.
    #[error("line {line}: {detail}")]
    Syntax {
        /// The line number, starting at 1.
        line: usize,
        /// The message of the INI parser.
        detail: String,
    },
    /// A section is unknown.
    #[error("[{section}]: unknown section{}", suggestion(*.nearest))]
    UnknownSection {
        /// The section.
        section: String,
        /// The most similar known section, if there is one.
        nearest: Option<&'static str>,
    },
    /// A key is unknown in its section.
    #[error("[{section}] {key}: unknown key{}", suggestion(*.nearest))]
    UnknownKey {
        /// The section; empty for a key before the first section.
        section: String,
        /// The key.
        key: String,
        /// The most similar known key, if there is one.
        nearest: Option<&'static str>,
    },
    /// A key or section is given more than once.
    #[error("{}: given twice", location(.section, .key))]
    Repeated {
        /// The section.
        section: String,
        /// The key; empty if the section itself is repeated.
        key: String,
    },
    /// A required key is missing.
    #[error("[{section}] {key}: missing")]
    Missing {
        /// The section.
        section: String,
        /// The key.
        key: &'static str,
    },
    /// A value is invalid or out of range.
    #[error("[{section}] {key}: {detail}")]
    BadValue {
        /// The section.
        section: String,
        /// The key.
        key: String,
        /// The values that are accepted.
        detail: String,
    },
}

/// Formats the suggestion at the end of an error message.
fn suggestion(nearest: Option<&'static str>) -> String {
    nearest
        .map(|name| format!(" (did you mean `{name}`?)"))
        .unwrap_or_default()
}

/// Formats the location of an error.
fn location(section: &str, key: &str) -> String {
    match key {
        "" => format!("[{section}]"),
        key => format!("[{section}] {key}"),
    }
}

/// The kind of a service's backend servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum ServiceKind {
    /// Model engines.
    #[display("engine")]
    Engine,
    /// Plain HTTP servers.
    #[display("plain")]
    Plain,
}

/// A validated document of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Document {
    /// The service.
    pub service: ServiceName,
    /// The kind of its backend servers.
    pub kind: ServiceKind,
    /// The models and adapters that callers may request; empty allows any.
    pub models: Vec<ModelName>,
    /// The class of calls that specify none.
    pub default_class: ClassName,
    /// The maximum number of concurrent calls on one backend server.
    pub max_running_per_backend: u32,
    /// The capacity of each admission queue, in calls.
    pub max_waiting_per_backend: u32,
    /// The classes.
    pub classes: BTreeMap<ClassName, ClassRules>,
    /// The categories.
    pub categories: BTreeMap<CategoryName, CategoryRules>,
    /// The limits of a program.
    pub program: ProgramRules,
    /// How long engines keep cached prefixes.
    pub retention: RetentionRules,
    /// The rules for retries.
    pub retry: RetryRules,
    /// The routes of a plain service; the longest matching prefix applies.
    pub routes: Vec<RouteRules>,
    /// The models that engines are ordered to load; empty leaves the engines unchanged.
    pub placed_models: BTreeMap<ModelName, ModelRules>,
    /// The adapters that engines are ordered to load.
    pub adapters: BTreeMap<ModelName, AdapterRules>,
    /// The rules for changing engines while the service runs.
    pub placement: PlacementRules,
}

impl Document {
    /// Parses and validates a document.
    ///
    /// # Errors
    ///
    /// Returns the first error found, with its section and key.
    pub fn parse(text: &str) -> Result<Self, DocumentError> {
        if text.len() > MAX_DOCUMENT_BYTES {
            let length_bytes = text.len();
            return Err(DocumentError::TooLong { length_bytes });
        }
        let document = read_document(text)?;
        check_references(&document)?;
        Ok(document)
    }

    /// Returns the rules of a class.
    #[must_use]
    pub fn class(&self, class: &ClassName) -> Option<&ClassRules> {
        self.classes.get(class)
    }

    /// Returns the rules of the route that matches a plain call.
    #[must_use]
    pub fn route(&self, method: &str, path: &str) -> Option<&RouteRules> {
        let matching = self
            .routes
            .iter()
            .filter(|r| r.method == method && path.starts_with(&r.prefix));
        matching.max_by_key(|route| route.prefix.len())
    }

    /// Returns whether a plain call is idempotent and may be retried.
    #[must_use]
    pub fn is_idempotent(&self, method: &str, path: &str) -> bool {
        match self.route(method, path) {
            Some(route) => route.idempotent,
            None => IDEMPOTENT_METHODS.contains(&method),
        }
    }
}
