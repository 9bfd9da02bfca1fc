//! Checks the references and constraints between the sections of a document.

use std::fmt::Display;

use crate::document::{Document, DocumentError, ServiceKind};

/// Checks a document whose sections are each valid on their own.
pub(crate) fn check_references(document: &Document) -> Result<(), DocumentError> {
    check_kind(document)?;
    check_classes(document)?;
    check_routes(document)?;
    check_categories(document)?;
    check_placement(document)
}

fn invalid_value(section: &str, key: &str, detail: &dyn Display) -> DocumentError {
    DocumentError::BadValue {
        section: section.to_owned(),
        key: key.to_owned(),
        detail: detail.to_string(),
    }
}

fn check_kind(document: &Document) -> Result<(), DocumentError> {
    let detail = format!(
        "a service of the kind `{}` has no such thing",
        document.kind
    );
    match document.kind {
        ServiceKind::Engine => match document.routes.first() {
            None => Ok(()),
            Some(route) => {
                let section = format!("route {} {}", route.method, route.prefix);
                Err(invalid_value(&section, "name", &detail))
            }
        },
        ServiceKind::Plain => match document.models.first() {
            None => Ok(()),
            Some(model) => Err(invalid_value(
                "service",
                "models",
                &format!("`{model}`: {detail}"),
            )),
        },
    }
}

fn check_classes(document: &Document) -> Result<(), DocumentError> {
    if !document.classes.contains_key(&document.default_class) {
        let detail = format!("there is no [class {}]", document.default_class);
        return Err(invalid_value("service", "default_class", &detail));
    }
    for (name, rules) in &document.classes {
        let Some(category) = &rules.category else {
            continue;
        };
        if !document.categories.contains_key(category) {
            let detail = format!("there is no [category {category}]");
            return Err(invalid_value(&format!("class {name}"), "category", &detail));
        }
    }
    Ok(())
}

fn check_routes(document: &Document) -> Result<(), DocumentError> {
    for route in &document.routes {
        let Some(class) = &route.class else { continue };
        if !document.classes.contains_key(class) {
            let section = format!("route {} {}", route.method, route.prefix);
            let detail = format!("there is no [class {class}]");
            return Err(invalid_value(&section, "class", &detail));
        }
    }
    Ok(())
}

fn check_categories(document: &Document) -> Result<(), DocumentError> {
    let mut sum = 0;
    for (name, rules) in &document.categories {
        sum += rules.share.of(100);
        if rules.limit.is_some_and(|limit| limit < rules.share) {
            let detail = "must not be below the share";
            return Err(invalid_value(&format!("category {name}"), "limit", &detail));
        }
    }
    if sum > 100 {
        let detail = format!("the shares of all categories come to {sum}%, over 100%");
        return Err(invalid_value("category ...", "share", &detail));
    }
    Ok(())
}

fn check_placement(document: &Document) -> Result<(), DocumentError> {
    for (name, rules) in &document.adapters {
        let section = format!("adapter {name}");
        if !document.placed_models.contains_key(&rules.model) {
            let detail = format!("there is no [model {}]", rules.model);
            return Err(invalid_value(&section, "model", &detail));
        }
        if document.placed_models.contains_key(name) {
            let detail = format!("there is a [model {name}] as well");
            return Err(invalid_value(&section, "name", &detail));
        }
    }
    let (prefill, decode) = (
        document.placement.prefill_engines,
        document.placement.decode_engines,
    );
    if (prefill == 0) != (decode == 0) {
        let detail = "prefill_engines and decode_engines go together: what one begins, the other \
                      ends";
        return Err(invalid_value("placement", "prefill_engines", &detail));
    }
    if document.placement.min_serving.of(100) == 100 && !document.placed_models.is_empty() {
        let detail = "must be below 100%, or no engine may ever load a new version";
        return Err(invalid_value("placement", "min_serving", &detail));
    }
    Ok(())
}
