//! A service's document: the INI text by which its team drives the system.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

use derive_more::Display;
use ini::{Ini, ParseOption};
use thiserror::Error;

use crate::ids::{CategoryName, ClassName, ModelName, ServiceName};
use crate::units::{Percent, SpanUs, Tokens};

/// What is wrong with a document, with the place where it is wrong.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum DocumentError {
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
        /// The section.
        section: String,
        /// The key.
        key: String,
        /// The known key that is nearest, if one is near.
        nearest: Option<&'static str>,
    },
    /// A key or section that stands twice.
    #[error("[{section}] {key}: given twice")]
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

/// The rules for one class of calls.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClassRules {
    /// The order of classes at the gate: a lower rank goes first.
    pub rank: u32,
    /// The class's weight among classes of the same rank.
    pub weight: u32,
    /// The category whose share and limit it counts against.
    pub category: Option<CategoryName>,
    /// The deadline of a call that brings none, and the most that one may bring.
    pub deadline_us: SpanUs,
    /// The longest wait at the gate after which the call is treated as of the first rank.
    pub max_wait_us: SpanUs,
    /// The most output tokens of a turn.
    pub max_output_tokens: Tokens,
    /// The most calls of the class that run at once over the service; absent: no limit.
    pub max_running: Option<u32>,
}

impl Default for ClassRules {
    fn default() -> Self {
        Self {
            rank: 10,
            weight: 1,
            category: None,
            deadline_us: SpanUs::from_s(300),
            max_wait_us: SpanUs::from_s(60),
            max_output_tokens: Tokens(1_024),
            max_running: None,
        }
    }
}

/// The rules for a category of classes.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CategoryRules {
    /// The share of each backend server that is kept for it while it has work.
    pub share: Percent,
    /// The share of each backend server that it may use at most; absent: all.
    pub limit: Option<Percent>,
}

/// What a program of the service may do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProgramRules {
    /// Prompt and output tokens over all calls.
    pub budget_tokens: Tokens,
    /// Calls.
    pub budget_calls: u64,
    /// Time from the first call to the end.
    pub budget_time_us: SpanUs,
    /// Time without a call after which the program ends.
    pub idle_us: SpanUs,
    /// How long a call waits for an earlier one of its program that has not come.
    pub gap_us: SpanUs,
    /// Identical calls in a row after which the loop guard ends the program.
    pub max_repeats: u32,
}

impl Default for ProgramRules {
    fn default() -> Self {
        Self {
            budget_tokens: Tokens(2_000_000),
            budget_calls: 500,
            budget_time_us: SpanUs::from_s(4 * 3_600),
            idle_us: SpanUs::from_s(900),
            gap_us: SpanUs::from_s(5),
            max_repeats: 8,
        }
    }
}

/// How long engines keep a program's prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RetentionRules {
    /// The longest that a prefix is kept for a program that has not come back.
    pub max_keep_us: SpanUs,
    /// The lease that an owner renews; without renewal a sidecar frees the cache itself.
    pub lease_us: SpanUs,
}

impl Default for RetentionRules {
    fn default() -> Self {
        Self {
            max_keep_us: SpanUs::from_s(120),
            lease_us: SpanUs::from_s(30),
        }
    }
}

/// Retries of idempotent calls.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RetryRules {
    /// The most attempts of one call.
    pub max_attempts: u32,
    /// Retries as a share of the calls, over the service.
    pub budget: Percent,
}

impl Default for RetryRules {
    fn default() -> Self {
        Self {
            max_attempts: 3,
            budget: Percent::new(10).unwrap_or_default(),
        }
    }
}

/// The rules for one route of a plain service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteRules {
    /// The HTTP method, in capitals.
    pub method: String,
    /// The start of the path.
    pub prefix: String,
    /// Whether its calls may be run again.
    pub idempotent: bool,
    /// The class of its calls; absent: the document's default.
    pub class: Option<ClassName>,
}

/// A service's document, checked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Document {
    /// The service.
    pub service: ServiceName,
    /// What its backend servers are.
    pub kind: ServiceKind,
    /// The models that callers may name; empty: any.
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
}

/// The sections that stand alone.
const SECTIONS: &[&str] = &["service", "program", "retention", "retry"];
/// The sections that carry a name.
const NAMED_SECTIONS: &[&str] = &["class", "category", "route"];

const SERVICE_KEYS: &[&str] = &[
    "name",
    "kind",
    "models",
    "default_class",
    "max_running_per_backend",
    "max_waiting_per_backend",
];
const CLASS_KEYS: &[&str] = &[
    "rank",
    "weight",
    "category",
    "deadline",
    "max_wait",
    "max_output",
    "max_running",
];
const CATEGORY_KEYS: &[&str] = &["share", "limit"];
const PROGRAM_KEYS: &[&str] = &[
    "budget_tokens",
    "budget_calls",
    "budget_time",
    "idle",
    "gap",
    "max_repeats",
];
const RETENTION_KEYS: &[&str] = &["max_keep", "lease"];
const RETRY_KEYS: &[&str] = &["max_attempts", "budget"];
const ROUTE_KEYS: &[&str] = &["idempotent", "class"];

/// Methods that HTTP calls safe to repeat.
const IDEMPOTENT_METHODS: &[&str] = &["GET", "HEAD", "OPTIONS", "PUT", "DELETE"];

/// Concurrency of a backend server where the document sets none.
const DEFAULT_MAX_RUNNING: u32 = 32;
/// Queue of a gate where the document sets none.
const DEFAULT_MAX_WAITING: u32 = 1_000;

impl Document {
    /// Reads and checks a document.
    ///
    /// # Errors
    ///
    /// The first thing that is wrong, with its section and key.
    pub fn parse(text: &str) -> Result<Self, DocumentError> {
        let sections = read_sections(text)?;
        let mut parts = Parts::default();
        for section in &sections {
            parts.add(section)?;
        }
        parts.finish()
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

/// One section as read: its kind, its name within the kind, and its keys.
struct Section {
    title: String,
    kind: String,
    name: String,
    keys: BTreeMap<String, String>,
}

impl Section {
    fn check_keys(&self, known: &'static [&'static str]) -> Result<(), DocumentError> {
        match self.keys.keys().find(|key| !known.contains(&key.as_str())) {
            None => Ok(()),
            Some(key) => Err(DocumentError::UnknownKey {
                section: self.title.clone(),
                key: key.clone(),
                nearest: nearest(key, known),
            }),
        }
    }

    fn bad(&self, key: &str, detail: &dyn fmt::Display) -> DocumentError {
        DocumentError::BadValue {
            section: self.title.clone(),
            key: key.to_owned(),
            detail: detail.to_string(),
        }
    }

    fn read<T>(&self, key: &str) -> Result<Option<T>, DocumentError>
    where
        T: FromStr,
        T::Err: ToString,
    {
        let text = self.keys.get(key);
        text.map(|text| {
            text.parse()
                .map_err(|err: T::Err| self.bad(key, &err.to_string()))
        })
        .transpose()
    }

    fn read_or<T>(&self, key: &str, default: T) -> Result<T, DocumentError>
    where
        T: FromStr,
        T::Err: ToString,
    {
        Ok(self.read(key)?.unwrap_or(default))
    }

    fn read_positive(&self, key: &str, default: u32) -> Result<u32, DocumentError> {
        match self.read_or(key, default)? {
            0 => Err(self.bad(key, &"must be at least 1")),
            count => Ok(count),
        }
    }

    fn read_name<T>(&self, what: &'static str) -> Result<T, DocumentError>
    where
        T: FromStr,
        T::Err: ToString,
    {
        self.name
            .parse()
            .map_err(|err: T::Err| self.bad(what, &err.to_string()))
    }
}

/// The document while its sections come in.
#[derive(Default)]
struct Parts {
    service: Option<ServicePart>,
    classes: BTreeMap<ClassName, ClassRules>,
    categories: BTreeMap<CategoryName, CategoryRules>,
    program: ProgramRules,
    retention: RetentionRules,
    retry: RetryRules,
    routes: Vec<RouteRules>,
}

struct ServicePart {
    name: ServiceName,
    kind: ServiceKind,
    models: Vec<ModelName>,
    default_class: Option<ClassName>,
    max_running_per_backend: u32,
    max_waiting_per_backend: u32,
}

impl Parts {
    fn add(&mut self, section: &Section) -> Result<(), DocumentError> {
        match section.kind.as_str() {
            "service" => self.service = Some(read_service(section)?),
            "class" => {
                self.classes
                    .insert(section.read_name("name")?, read_class(section)?);
            }
            "category" => {
                self.categories
                    .insert(section.read_name("name")?, read_category(section)?);
            }
            "program" => self.program = read_program(section)?,
            "retention" => self.retention = read_retention(section)?,
            "retry" => self.retry = read_retry(section)?,
            "route" => self.routes.push(read_route(section)?),
            _ => return Err(unknown_section(section)),
        }
        Ok(())
    }

    fn finish(self) -> Result<Document, DocumentError> {
        let missing = |section: &str, key| DocumentError::Missing {
            section: section.into(),
            key,
        };
        let service = self.service.ok_or_else(|| missing("service", "name"))?;
        let first = self
            .classes
            .iter()
            .min_by_key(|(_, rules)| std::cmp::Reverse(rules.rank));
        let first = first.map(|(name, _)| name.clone());
        let default_class = service.default_class.or(first);
        let document = Document {
            service: service.name,
            kind: service.kind,
            models: service.models,
            default_class: default_class.ok_or_else(|| missing("class ...", "rank"))?,
            max_running_per_backend: service.max_running_per_backend,
            max_waiting_per_backend: service.max_waiting_per_backend,
            classes: self.classes,
            categories: self.categories,
            program: self.program,
            retention: self.retention,
            retry: self.retry,
            routes: self.routes,
        };
        check_references(&document)?;
        Ok(document)
    }
}

fn read_sections(text: &str) -> Result<Vec<Section>, DocumentError> {
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
            if let Some((key, _)) = properties.iter().next() {
                return Err(DocumentError::UnknownKey {
                    section: String::new(),
                    key: key.to_owned(),
                    nearest: None,
                });
            }
            continue;
        };
        let title = title.split_whitespace().collect::<Vec<_>>().join(" ");
        if sections.iter().any(|section| section.title == title) {
            return Err(DocumentError::Repeated {
                section: title,
                key: String::new(),
            });
        }
        let (kind, name) = title.split_once(' ').unwrap_or((&title, ""));
        let (kind, name) = (kind.to_owned(), name.to_owned());
        let mut keys = BTreeMap::new();
        for (key, value) in properties {
            let value = value.split([';', '#']).next().unwrap_or_default().trim();
            if keys.insert(key.to_owned(), value.to_owned()).is_some() {
                return Err(DocumentError::Repeated {
                    section: title,
                    key: key.to_owned(),
                });
            }
        }
        let section = Section {
            title,
            kind,
            name,
            keys,
        };
        let named = NAMED_SECTIONS.contains(&section.kind.as_str());
        if named == section.name.is_empty() {
            return Err(unknown_section(&section));
        }
        sections.push(section);
    }
    Ok(sections)
}

fn unknown_section(section: &Section) -> DocumentError {
    let nearest =
        nearest(&section.kind, SECTIONS).or_else(|| nearest(&section.kind, NAMED_SECTIONS));
    DocumentError::UnknownSection {
        section: section.title.clone(),
        nearest,
    }
}

fn read_service(section: &Section) -> Result<ServicePart, DocumentError> {
    section.check_keys(SERVICE_KEYS)?;
    let missing = |key| DocumentError::Missing {
        section: section.title.clone(),
        key,
    };
    let kind = match section.keys.get("kind").map(String::as_str) {
        Some("engine") => ServiceKind::Engine,
        Some("plain") => ServiceKind::Plain,
        Some(_) => return Err(section.bad("kind", &"must be `engine` or `plain`")),
        None => return Err(missing("kind")),
    };
    let models = section
        .keys
        .get("models")
        .map(String::as_str)
        .unwrap_or_default();
    let models = models
        .split(',')
        .map(str::trim)
        .filter(|model| !model.is_empty());
    let models: Result<Vec<ModelName>, _> = models.map(str::parse).collect();
    Ok(ServicePart {
        name: section.read("name")?.ok_or_else(|| missing("name"))?,
        kind,
        models: models.map_err(|err| section.bad("models", &err))?,
        default_class: section.read("default_class")?,
        max_running_per_backend: section
            .read_positive("max_running_per_backend", DEFAULT_MAX_RUNNING)?,
        max_waiting_per_backend: section
            .read_positive("max_waiting_per_backend", DEFAULT_MAX_WAITING)?,
    })
}

fn read_class(section: &Section) -> Result<ClassRules, DocumentError> {
    section.check_keys(CLASS_KEYS)?;
    let default = ClassRules::default();
    let max_running = section.read::<u32>("max_running")?;
    if max_running == Some(0) {
        return Err(section.bad("max_running", &"must be at least 1"));
    }
    Ok(ClassRules {
        rank: section.read_or("rank", default.rank)?,
        weight: section.read_positive("weight", default.weight)?,
        category: section.read("category")?,
        deadline_us: section.read_or("deadline", default.deadline_us)?,
        max_wait_us: section.read_or("max_wait", default.max_wait_us)?,
        max_output_tokens: section.read_or("max_output", default.max_output_tokens)?,
        max_running,
    })
}

fn read_category(section: &Section) -> Result<CategoryRules, DocumentError> {
    section.check_keys(CATEGORY_KEYS)?;
    Ok(CategoryRules {
        share: section.read_or("share", Percent::default())?,
        limit: section.read("limit")?,
    })
}

fn read_program(section: &Section) -> Result<ProgramRules, DocumentError> {
    section.check_keys(PROGRAM_KEYS)?;
    let default = ProgramRules::default();
    Ok(ProgramRules {
        budget_tokens: section.read_or("budget_tokens", default.budget_tokens)?,
        budget_calls: section.read_or("budget_calls", default.budget_calls)?,
        budget_time_us: section.read_or("budget_time", default.budget_time_us)?,
        idle_us: section.read_or("idle", default.idle_us)?,
        gap_us: section.read_or("gap", default.gap_us)?,
        max_repeats: section.read_positive("max_repeats", default.max_repeats)?,
    })
}

fn read_retention(section: &Section) -> Result<RetentionRules, DocumentError> {
    section.check_keys(RETENTION_KEYS)?;
    let default = RetentionRules::default();
    Ok(RetentionRules {
        max_keep_us: section.read_or("max_keep", default.max_keep_us)?,
        lease_us: section.read_or("lease", default.lease_us)?,
    })
}

fn read_retry(section: &Section) -> Result<RetryRules, DocumentError> {
    section.check_keys(RETRY_KEYS)?;
    let default = RetryRules::default();
    Ok(RetryRules {
        max_attempts: section.read_positive("max_attempts", default.max_attempts)?,
        budget: section.read_or("budget", default.budget)?,
    })
}

fn read_route(section: &Section) -> Result<RouteRules, DocumentError> {
    section.check_keys(ROUTE_KEYS)?;
    let (method, prefix) = section
        .name
        .split_once(' ')
        .filter(|(method, prefix)| is_method(method) && prefix.starts_with('/'))
        .ok_or_else(|| {
            section.bad(
                "name",
                &"must be a method and a path, as `[route POST /holds]`",
            )
        })?;
    let idempotent = match section.keys.get("idempotent").map(String::as_str) {
        Some("yes") => true,
        Some("no") => false,
        Some(_) => return Err(section.bad("idempotent", &"must be `yes` or `no`")),
        None => IDEMPOTENT_METHODS.contains(&method),
    };
    Ok(RouteRules {
        method: method.to_owned(),
        prefix: prefix.to_owned(),
        idempotent,
        class: section.read("class")?,
    })
}

fn is_method(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|b| b.is_ascii_uppercase())
}

fn check_references(document: &Document) -> Result<(), DocumentError> {
    let bad = |section: String, key: &str, detail: String| DocumentError::BadValue {
        section,
        key: key.to_owned(),
        detail,
    };
    if !document.classes.contains_key(&document.default_class) {
        let detail = format!("there is no [class {}]", document.default_class);
        return Err(bad("service".into(), "default_class", detail));
    }
    for (name, rules) in &document.classes {
        let Some(category) = &rules.category else {
            continue;
        };
        if !document.categories.contains_key(category) {
            let detail = format!("there is no [category {category}]");
            return Err(bad(format!("class {name}"), "category", detail));
        }
    }
    for route in &document.routes {
        let Some(class) = &route.class else { continue };
        if !document.classes.contains_key(class) {
            let section = format!("route {} {}", route.method, route.prefix);
            return Err(bad(
                section,
                "class",
                format!("there is no [class {class}]"),
            ));
        }
    }
    let shares: u64 = document
        .categories
        .values()
        .map(|rules| rules.share.of(100))
        .sum();
    if shares > 100 {
        let detail = format!("the shares of all categories come to {shares}%, over 100%");
        return Err(bad("category ...".into(), "share", detail));
    }
    Ok(())
}

/// The known word that is at most two edits away, if there is one.
fn nearest(word: &str, known: &'static [&'static str]) -> Option<&'static str> {
    let scored = known.iter().map(|&name| (edit_distance(word, name), name));
    scored
        .filter(|(edits, _)| *edits <= 2)
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

#[cfg(test)]
mod tests {
    use super::*;

    const SMALL: &str = "[service]\nname = agent-llm\nkind = engine\n[class concierge]\nrank = 1\n";

    fn error_of(text: &str) -> String {
        Document::parse(text)
            .expect_err("a wrong document")
            .to_string()
    }

    #[test]
    fn a_small_document_gets_the_defaults() {
        let document = Document::parse(SMALL).expect("right");
        assert_eq!(document.default_class.as_str(), "concierge");
        assert_eq!(document.program, ProgramRules::default());
    }

    #[test]
    fn an_unknown_key_is_refused_with_a_suggestion() {
        let text = format!("{SMALL}wieght = 3\n");
        assert_eq!(
            error_of(&text),
            "[class concierge] wieght: unknown key (did you mean `weight`?)"
        );
    }

    #[test]
    fn a_missing_unit_is_refused() {
        let text = format!("{SMALL}deadline = 30\n");
        assert!(error_of(&text).starts_with("[class concierge] deadline: `30` is not a time"));
    }

    #[test]
    fn a_dangling_reference_is_refused() {
        let text = format!("{SMALL}category = notices\n");
        assert_eq!(
            error_of(&text),
            "[class concierge] category: there is no [category notices]"
        );
    }

    #[test]
    fn a_section_or_key_given_twice_is_refused() {
        let text = format!("{SMALL}[class concierge]\nrank = 2\n");
        assert_eq!(error_of(&text), "[class concierge] : given twice");
        let text = format!("{SMALL}rank = 2\n");
        assert_eq!(error_of(&text), "[class concierge] rank: given twice");
    }

    #[test]
    fn the_longest_route_decides() {
        let text = "[service]\nname = book-app\nkind = plain\n[class holds]\nrank = 0\n\
                    [route POST /]\nidempotent = no\n[route POST /checks]\nidempotent = yes\n";
        let document = Document::parse(text).expect("right");
        assert!(!document.is_idempotent("POST", "/holds/7"));
        assert!(document.is_idempotent("POST", "/checks/7"));
        assert!(document.is_idempotent("GET", "/holds/7"));
    }
}
