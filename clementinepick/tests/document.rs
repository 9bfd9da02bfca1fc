//! Tests that document errors name the section, the key and the accepted values.

use clementinepick::document::{Document, MAX_DOCUMENT_BYTES, ProgramRules};
use expect_test::{Expect, expect};

const MINIMAL: &str = "[service]\nname = agent-llm\nkind = engine\n[class concierge]\nrank = 1\n";

/// Asserts the error message for `MINIMAL` with `more` appended.
fn assert_rejected(more: &str, message: &Expect) {
    let text = format!("{MINIMAL}{more}\n");
    let err = Document::parse(&text).expect_err("an invalid document");
    message.assert_eq(&err.to_string());
}

#[test]
fn minimal_document_gets_the_defaults() {
    let document = Document::parse(MINIMAL).expect("valid document");
    assert_eq!(document.default_class.as_str(), "concierge");
    assert_eq!(document.program, ProgramRules::default());
}

#[test]
fn unknown_sections_and_keys_get_a_suggestion() {
    assert_rejected(
        "wieght = 3",
        &expect!["[class concierge] wieght: unknown key (did you mean `weight`?)"],
    );
    assert_rejected(
        "[retnetion]",
        &expect!["[retnetion]: unknown section (did you mean `retention`?)"],
    );
    assert_rejected(
        "[class]",
        &expect!["[class]: unknown section (did you mean `class`?)"],
    );
    assert_rejected("[weather]", &expect!["[weather]: unknown section"]);
}

#[test]
fn units_and_ranges_are_checked() {
    assert_rejected(
        "deadline = 30",
        &expect![
            "[class concierge] deadline: `30` is not a time with its unit (us, ms, s, min or h), such as `250 ms`"
        ],
    );
    assert_rejected(
        "deadline = 0 s",
        &expect!["[class concierge] deadline: must be from 1 ms to 2592000 s"],
    );
    assert_rejected(
        "weight = 0",
        &expect!["[class concierge] weight: must be from 1 to 1000"],
    );
    assert_rejected(
        "[retention]\nlease = 1 s",
        &expect!["[retention] lease: must be from 5 s to 2592000 s"],
    );
    assert_rejected(
        "[category notices]\nshare = 120%",
        &expect!["[category notices] share: `120%` is not a share from 0% to 100%, such as `20%`"],
    );
}

#[test]
fn references_are_checked() {
    assert_rejected(
        "category = notices",
        &expect!["[class concierge] category: there is no [category notices]"],
    );
    assert_rejected(
        "[adapter tone]\nmodel = star\nversion = 1",
        &expect!["[adapter tone] model: there is no [model star]"],
    );
    assert_rejected(
        "[category a]\nshare = 60%\n[category b]\nshare = 50%",
        &expect!["[category ...] share: the shares of all categories come to 110%, over 100%"],
    );
    assert_rejected(
        "[category a]\nshare = 60%\nlimit = 50%",
        &expect!["[category a] limit: must not be below the share"],
    );
}

#[test]
fn rules_that_would_block_the_service_are_rejected() {
    assert_rejected(
        "[model star]\nversion = 1\n[placement]\nmin_serving = 100%",
        &expect![
            "[placement] min_serving: must be below 100%, or no engine may ever load a new version"
        ],
    );
    assert_rejected(
        "[placement]\nprefill_engines = 2",
        &expect![
            "[placement] prefill_engines: prefill_engines and decode_engines go together: what one begins, the other ends"
        ],
    );
    assert_rejected(
        "[route POST /holds]",
        &expect!["[route POST /holds] name: a service of the kind `engine` has no such thing"],
    );
}

#[test]
fn repeated_sections_and_keys_are_rejected() {
    assert_rejected(
        "[class concierge]\nrank = 2",
        &expect!["[class concierge]: given twice"],
    );
    assert_rejected("rank = 2", &expect!["[class concierge] rank: given twice"]);
}

#[test]
fn oversized_document_is_rejected() {
    let text = "#".repeat(MAX_DOCUMENT_BYTES + 1);
    assert!(Document::parse(&text).is_err());
}

#[test]
fn placed_models_and_adapters_are_available_to_callers() {
    let text =
        format!("{MINIMAL}[model star]\nversion = 2\n[adapter tone]\nmodel = star\nversion = 7\n");
    let document = Document::parse(&text).expect("valid document");
    let names: Vec<&str> = document
        .models
        .iter()
        .map(clementinepick::ids::ModelName::as_str)
        .collect();
    assert_eq!(names, ["star", "tone"]);
}

#[test]
fn longest_matching_route_applies() {
    let text = "[service]\nname = book-app\nkind = plain\n[class holds]\nrank = 0\n\
                [route POST /]\nidempotent = no\n[route POST /checks]\nidempotent = yes\n";
    let document = Document::parse(text).expect("valid document");
    assert!(!document.is_idempotent("POST", "/holds/7"));
    assert!(document.is_idempotent("POST", "/checks/7"));
    assert!(document.is_idempotent("GET", "/holds/7"));
}
