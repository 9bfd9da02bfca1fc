//! Reads the sections of a document into its rules.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use crate::document::{
    AdapterRules, CategoryRules, ClassRules, Document, DocumentError, IDEMPOTENT_METHODS,
    ModelRules, PlacementRules, ProgramRules, RetentionRules, RetryRules, RouteRules, ServiceKind,
};
use crate::ids::{CategoryName, ClassName, ModelName, ServiceName};
use crate::ini_sections::{Section, read_sections};
use crate::units::{Percent, SpanUs, Tokens};

/// The sections without a name.
pub(crate) const UNNAMED_SECTIONS: &[&str] =
    &["service", "program", "retention", "retry", "placement"];
/// The sections with a name.
pub(crate) const NAMED_SECTIONS: &[&str] = &["class", "category", "route", "model", "adapter"];

/// The known keys by kind of section.
const KEYS: &[(&str, &[&str])] = &[
    (
        "service",
        &[
            "name",
            "kind",
            "models",
            "default_class",
            "max_running_per_backend",
            "max_waiting_per_backend",
        ],
    ),
    (
        "class",
        &[
            "rank",
            "weight",
            "category",
            "deadline",
            "max_wait",
            "max_output",
            "max_running",
        ],
    ),
    ("category", &["share", "limit"]),
    (
        "program",
        &[
            "budget_tokens",
            "budget_calls",
            "budget_time",
            "idle",
            "gap",
            "max_repeats",
        ],
    ),
    ("retention", &["max_keep", "lease"]),
    ("retry", &["max_attempts", "budget"]),
    ("route", &["idempotent", "class"]),
    ("model", &["version", "min_engines"]),
    ("adapter", &["model", "version"]),
    (
        "placement",
        &[
            "load_interval",
            "max_loading",
            "min_serving",
            "retry_after",
            "prefill_engines",
            "decode_engines",
        ],
    ),
];

/// The default concurrency limit of a backend server, in calls.
const DEFAULT_MAX_RUNNING: u32 = 32;
/// The default capacity of an admission queue, in calls.
const DEFAULT_MAX_WAITING: u32 = 1_000;

const MAX_COUNT: u32 = 100_000;
const MAX_RANK: u32 = 1_000;
const MAX_WEIGHT: u32 = 1_000;
/// The bounds of durations: a shorter one would fail every call, and a longer one would keep state
/// indefinitely.
const MIN_SPAN: SpanUs = SpanUs::from_ms(1);
const MAX_SPAN: SpanUs = SpanUs::from_s(30 * 24 * 3_600);
/// A lease shorter than a few heartbeats would expire while its owner is alive.
const MIN_LEASE: SpanUs = SpanUs::from_s(5);
const MAX_TOKENS: Tokens = Tokens(1_000_000_000_000);
const MAX_OUTPUT: Tokens = Tokens(10_000_000);
const MAX_ATTEMPTS: u32 = 10;

/// Returns each kind of section with its known keys.
#[must_use]
pub fn known_keys() -> Vec<(&'static str, &'static [&'static str])> {
    KEYS.to_vec()
}

/// Reads a document without checking the references between its sections.
pub(crate) fn read_document(text: &str) -> Result<Document, DocumentError> {
    let mut builder = DocumentBuilder::default();
    for section in read_sections(text, UNNAMED_SECTIONS, NAMED_SECTIONS)? {
        builder.add_section(&section)?;
    }
    builder.build()
}

/// Collects the sections of a document.
#[derive(Default)]
struct DocumentBuilder {
    service: Option<ServiceSection>,
    classes: BTreeMap<ClassName, ClassRules>,
    categories: BTreeMap<CategoryName, CategoryRules>,
    program: ProgramRules,
    retention: RetentionRules,
    retry: RetryRules,
    routes: Vec<RouteRules>,
    models: BTreeMap<ModelName, ModelRules>,
    adapters: BTreeMap<ModelName, AdapterRules>,
    placement: PlacementRules,
}

struct ServiceSection {
    name: ServiceName,
    kind: ServiceKind,
    models: Vec<ModelName>,
    default_class: Option<ClassName>,
    max_running_per_backend: u32,
    max_waiting_per_backend: u32,
}

impl DocumentBuilder {
    fn add_section(&mut self, section: &Section) -> Result<(), DocumentError> {
        let keys = KEYS.iter().find(|(kind, _)| *kind == section.kind);
        section.check_keys(keys.map_or(&[], |(_, keys)| *keys))?;
        match section.kind.as_str() {
            "service" => self.service = Some(read_service(section)?),
            "class" => {
                self.classes
                    .insert(section.read_name()?, read_class(section)?);
            }
            "category" => {
                self.categories
                    .insert(section.read_name()?, read_category(section)?);
            }
            "program" => self.program = read_program(section)?,
            "retention" => self.retention = read_retention(section)?,
            "retry" => self.retry = read_retry(section)?,
            "route" => self.routes.push(read_route(section)?),
            "model" => {
                self.models
                    .insert(section.read_name()?, read_model(section)?);
            }
            "adapter" => {
                self.adapters
                    .insert(section.read_name()?, read_adapter(section)?);
            }
            _ => self.placement = read_placement(section)?,
        }
        Ok(())
    }

    fn build(self) -> Result<Document, DocumentError> {
        let missing = |section: &str, key| DocumentError::Missing {
            section: section.into(),
            key,
        };
        let service = self.service.ok_or_else(|| missing("service", "name"))?;
        let least_urgent = self
            .classes
            .iter()
            .min_by_key(|(_, rules)| Reverse(rules.rank));
        let default_class = service
            .default_class
            .or(least_urgent.map(|(name, _)| name.clone()));
        let mut models = service.models;
        for model in self.models.keys().chain(self.adapters.keys()) {
            if !models.contains(model) {
                models.push(model.clone());
            }
        }
        Ok(Document {
            service: service.name,
            kind: service.kind,
            models,
            default_class: default_class.ok_or_else(|| missing("class ...", "rank"))?,
            max_running_per_backend: service.max_running_per_backend,
            max_waiting_per_backend: service.max_waiting_per_backend,
            classes: self.classes,
            categories: self.categories,
            program: self.program,
            retention: self.retention,
            retry: self.retry,
            routes: self.routes,
            placed_models: self.models,
            adapters: self.adapters,
            placement: self.placement,
        })
    }
}

fn read_service(section: &Section) -> Result<ServiceSection, DocumentError> {
    let kind = match section.raw_value("kind") {
        Some("engine") => ServiceKind::Engine,
        Some("plain") => ServiceKind::Plain,
        Some(_) => return Err(section.invalid_value("kind", &"must be `engine` or `plain`")),
        None => return Err(section.missing_key("kind")),
    };
    let models = section.raw_value("models").unwrap_or_default().split(',');
    let models = models.map(str::trim).filter(|model| !model.is_empty());
    let models: Result<Vec<ModelName>, _> = models.map(str::parse).collect();
    Ok(ServiceSection {
        name: section.read_required("name")?,
        kind,
        models: models.map_err(|err| section.invalid_value("models", &err))?,
        default_class: section.read("default_class")?,
        max_running_per_backend: section.read_in_range(
            "max_running_per_backend",
            DEFAULT_MAX_RUNNING,
            1,
            MAX_COUNT,
        )?,
        max_waiting_per_backend: section.read_in_range(
            "max_waiting_per_backend",
            DEFAULT_MAX_WAITING,
            1,
            MAX_COUNT,
        )?,
    })
}

fn read_class(section: &Section) -> Result<ClassRules, DocumentError> {
    let default = ClassRules::default();
    let max_running = match section.raw_value("max_running") {
        None => None,
        Some(_) => Some(section.read_in_range("max_running", 1, 1, MAX_COUNT)?),
    };
    Ok(ClassRules {
        rank: section.read_in_range("rank", default.rank, 0, MAX_RANK)?,
        weight: section.read_in_range("weight", default.weight, 1, MAX_WEIGHT)?,
        category: section.read("category")?,
        deadline_us: section.read_in_range("deadline", default.deadline_us, MIN_SPAN, MAX_SPAN)?,
        max_wait_us: section.read_in_range("max_wait", default.max_wait_us, MIN_SPAN, MAX_SPAN)?,
        max_output_tokens: section.read_in_range(
            "max_output",
            default.max_output_tokens,
            Tokens(1),
            MAX_OUTPUT,
        )?,
        max_running,
    })
}

fn read_category(section: &Section) -> Result<CategoryRules, DocumentError> {
    Ok(CategoryRules {
        share: section.read_or("share", Percent::default())?,
        limit: section.read("limit")?,
    })
}

fn read_program(section: &Section) -> Result<ProgramRules, DocumentError> {
    let default = ProgramRules::default();
    let span = |key, default| section.read_in_range(key, default, MIN_SPAN, MAX_SPAN);
    Ok(ProgramRules {
        budget_tokens: section.read_in_range(
            "budget_tokens",
            default.budget_tokens,
            Tokens(1),
            MAX_TOKENS,
        )?,
        budget_calls: section.read_in_range(
            "budget_calls",
            default.budget_calls,
            1,
            u64::from(MAX_COUNT),
        )?,
        budget_time_us: span("budget_time", default.budget_time_us)?,
        idle_us: span("idle", default.idle_us)?,
        gap_us: span("gap", default.gap_us)?,
        max_repeats: section.read_in_range("max_repeats", default.max_repeats, 1, MAX_COUNT)?,
    })
}

fn read_retention(section: &Section) -> Result<RetentionRules, DocumentError> {
    let default = RetentionRules::default();
    Ok(RetentionRules {
        max_keep_us: section.read_in_range("max_keep", default.max_keep_us, SpanUs(0), MAX_SPAN)?,
        lease_us: section.read_in_range("lease", default.lease_us, MIN_LEASE, MAX_SPAN)?,
    })
}

fn read_retry(section: &Section) -> Result<RetryRules, DocumentError> {
    let default = RetryRules::default();
    Ok(RetryRules {
        max_attempts: section.read_in_range(
            "max_attempts",
            default.max_attempts,
            1,
            MAX_ATTEMPTS,
        )?,
        budget: section.read_or("budget", default.budget)?,
    })
}

fn read_route(section: &Section) -> Result<RouteRules, DocumentError> {
    let (method, prefix) = section
        .name
        .split_once(' ')
        .filter(|(method, prefix)| is_method(method) && prefix.starts_with('/'))
        .ok_or_else(|| {
            section.invalid_value(
                "name",
                &"must be a method and a path, as `[route POST /holds]`",
            )
        })?;
    let idempotent = match section.raw_value("idempotent") {
        Some("yes") => true,
        Some("no") => false,
        Some(_) => return Err(section.invalid_value("idempotent", &"must be `yes` or `no`")),
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

fn read_model(section: &Section) -> Result<ModelRules, DocumentError> {
    let min_engines = match section.raw_value("min_engines") {
        None => None,
        Some(_) => Some(section.read_in_range("min_engines", 1, 1, MAX_COUNT)?),
    };
    Ok(ModelRules {
        version: section.read_required("version")?,
        min_engines,
    })
}

fn read_adapter(section: &Section) -> Result<AdapterRules, DocumentError> {
    Ok(AdapterRules {
        model: section.read_required("model")?,
        version: section.read_required("version")?,
    })
}

fn read_placement(section: &Section) -> Result<PlacementRules, DocumentError> {
    let default = PlacementRules::default();
    let span = |key, default| section.read_in_range(key, default, MIN_SPAN, MAX_SPAN);
    let count = |key, default, lower| section.read_in_range(key, default, lower, MAX_COUNT);
    Ok(PlacementRules {
        load_interval_us: span("load_interval", default.load_interval_us)?,
        max_loading: count("max_loading", default.max_loading, 1)?,
        min_serving: section.read_or("min_serving", default.min_serving)?,
        retry_after_us: span("retry_after", default.retry_after_us)?,
        prefill_engines: count("prefill_engines", default.prefill_engines, 0)?,
        decode_engines: count("decode_engines", default.decode_engines, 0)?,
    })
}
