//! What the sections of a document say of each other.

use std::fmt::Display;

use crate::document::{Document, DocumentError, ServiceKind};

/// Checks a document whose sections are each right by themselves.
pub(crate) fn check(document: &Document) -> Result<(), DocumentError> {
    check_kind(document)?;
    check_classes(document)?;
    check_routes(document)?;
    check_categories(document)?;
    check_placement(document)
}

fn bad(section: &str, key: &str, detail: &dyn Display) -> DocumentError {
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
                Err(bad(&section, "name", &detail))
            }
        },
        ServiceKind::Plain => match document.models.first() {
            None => Ok(()),
            Some(model) => Err(bad("service", "models", &format!("`{model}`: {detail}"))),
        },
    }
}

fn check_classes(document: &Document) -> Result<(), DocumentError> {
    if !document.classes.contains_key(&document.default_class) {
        let detail = format!("there is no [class {}]", document.default_class);
        return Err(bad("service", "default_class", &detail));
    }
    for (name, rules) in &document.classes {
        let Some(category) = &rules.category else {
            continue;
        };
        if !document.categories.contains_key(category) {
            let detail = format!("there is no [category {category}]");
            return Err(bad(&format!("class {name}"), "category", &detail));
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
            return Err(bad(&section, "class", &detail));
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
            return Err(bad(&format!("category {name}"), "limit", &detail));
        }
    }
    if sum > 100 {
        let detail = format!("the shares of all categories come to {sum}%, over 100%");
        return Err(bad("category ...", "share", &detail));
    }
    Ok(())
}

fn check_placement(document: &Document) -> Result<(), DocumentError> {
    for (name, rules) in &document.adapters {
        let section = format!("adapter {name}");
        if !document.placed_models.contains_key(&rules.model) {
            let detail = format!("there is no [model {}]", rules.model);
            return Err(bad(&section, "model", &detail));
        }
        if document.placed_models.contains_key(name) {
            let detail = format!("there is a [model {name}] as well");
            return Err(bad(&section, "name", &detail));
        }
    }
    let (prefill, decode) = (
        document.placement.prefill_engines,
        document.placement.decode_engines,
    );
    if (prefill == 0) != (decode == 0) {
        let detail = "prefill_engines and decode_engines go together: what one begins, the other \
                      ends";
        return Err(bad("placement", "prefill_engines", &detail));
    }
    if document.placement.min_serving.of(100) == 100 && !document.placed_models.is_empty() {
        let detail = "must be below 100%, or no engine may ever load a new version";
        return Err(bad("placement", "min_serving", &detail));
    }
    Ok(())
}
