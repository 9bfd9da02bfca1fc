//! A service's document: the INI text by which its team drives the system.

use std::collections::BTreeMap;

use derive_more::Display;
use thiserror::Error;

use crate::document_check::check;
use crate::document_read::read;
use crate::ids::{CategoryName, ClassName, ModelName, ServiceName};
pub use crate::rules::{
    AdapterRules, CategoryRules, ClassRules, ModelRules, PlacementRules, ProgramRules,
    RetentionRules, RetryRules, RouteRules,
};

/// The longest document; snapshots of the configuration carry all documents.
pub const MAX_DOCUMENT_BYTES: usize = 65_536;

/// Methods that HTTP calls safe to repeat.
pub(crate) const IDEMPOTENT_METHODS: &[&str] = &["GET", "HEAD", "OPTIONS", "PUT", "DELETE"];

/// What is wrong with a document, with the place where it is wrong.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum DocumentError {
    /// The text is too long.
    #[error("the document has {length_bytes} bytes, over {MAX_DOCUMENT_BYTES}")]
    TooLong {
        /// Its length.
        length_bytes: usize,
    },
    /// The text is not INI.
    #[error("line {line}: {detail}")]
    Syntax {
        /// The line, from 1.
        line: usize,
        /// What the INI reader says.
        detail: String,
    },
    /// A section that means nothing.
    #[error("[{section}]: unknown section{}", suggestion(*.nearest))]
    UnknownSection {
        /// The section.
        section: String,
        /// The known name that is nearest, if one is near.
        nearest: Option<&'static str>,
    },
    /// A key that means nothing in its section.
    #[error("[{section}] {key}: unknown key{}", suggestion(*.nearest))]
    UnknownKey {
        /// The section; empty for a key before the first section.
        section: String,
        /// The key.
        key: String,
        /// The known key that is nearest, if one is near.
        nearest: Option<&'static str>,
    },
    /// A key or section that stands twice.
    #[error("{}: given twice", place(.section, .key))]
    Repeated {
        /// The section.
        section: String,
        /// The key; empty when the section itself stands twice.
        key: String,
    },
    /// A key that must be given.
    #[error("[{section}] {key}: missing")]
    Missing {
        /// The section.
        section: String,
        /// The key.
        key: &'static str,
    },
    /// A value that can't be read or is out of range.
    #[error("[{section}] {key}: {detail}")]
    BadValue {
        /// The section.
        section: String,
        /// The key.
        key: String,
        /// What would have been right.
        detail: String,
    },
}

/// Appends a suggestion to an error message.
fn suggestion(nearest: Option<&'static str>) -> String {
    nearest
        .map(|name| format!(" (did you mean `{name}`?)"))
        .unwrap_or_default()
}

/// A section, or a key in it, as error messages name it.
fn place(section: &str, key: &str) -> String {
    match key {
        "" => format!("[{section}]"),
        key => format!("[{section}] {key}"),
    }
}

/// What a service's backend servers are.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum ServiceKind {
    /// Model engines.
    #[display("engine")]
    Engine,
    /// A plain service.
    #[display("plain")]
    Plain,
}

/// A service's document, checked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Document {
    /// The service.
    pub service: ServiceName,
    /// What its backend servers are.
    pub kind: ServiceKind,
    /// The models and adapters that callers may name; empty: any.
    pub models: Vec<ModelName>,
    /// The class of calls that name none.
    pub default_class: ClassName,
    /// The most calls that run at once on one backend server.
    pub max_running_per_backend: u32,
    /// The most calls that wait at one gate.
    pub max_waiting_per_backend: u32,
    /// The classes.
    pub classes: BTreeMap<ClassName, ClassRules>,
    /// The categories.
    pub categories: BTreeMap<CategoryName, CategoryRules>,
    /// What a program may do.
    pub program: ProgramRules,
    /// How long prefixes are kept.
    pub retention: RetentionRules,
    /// Retries.
    pub retry: RetryRules,
    /// The routes of a plain service; the longest matching prefix decides.
    pub routes: Vec<RouteRules>,
    /// The models that engines are ordered to load; empty: engines keep what they have.
    pub placed_models: BTreeMap<ModelName, ModelRules>,
    /// The adapters that engines are ordered to load.
    pub adapters: BTreeMap<ModelName, AdapterRules>,
    /// How engines are changed while they serve.
    pub placement: PlacementRules,
}

impl Document {
    /// Reads and checks a document.
    ///
    /// # Errors
    ///
    /// The first thing that is wrong, with its section and key.
    pub fn parse(text: &str) -> Result<Self, DocumentError> {
        if text.len() > MAX_DOCUMENT_BYTES {
            let length_bytes = text.len();
            return Err(DocumentError::TooLong { length_bytes });
        }
        let document = read(text)?;
        check(&document)?;
        Ok(document)
    }

    /// The rules of a class.
    #[must_use]
    pub fn class(&self, class: &ClassName) -> Option<&ClassRules> {
        self.classes.get(class)
    }

    /// The rules of the route that a plain call takes.
    #[must_use]
    pub fn route(&self, method: &str, path: &str) -> Option<&RouteRules> {
        let matching = self
            .routes
            .iter()
            .filter(|r| r.method == method && path.starts_with(&r.prefix));
        matching.max_by_key(|route| route.prefix.len())
    }

    /// Whether a plain call may be run again.
    #[must_use]
    pub fn is_idempotent(&self, method: &str, path: &str) -> bool {
        match self.route(method, path) {
            Some(route) => route.idempotent,
            None => IDEMPOTENT_METHODS.contains(&method),
        }
    }
}
