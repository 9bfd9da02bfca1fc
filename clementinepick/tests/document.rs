//! Documents: what is wrong is named by section and key, with what would have been right.

use clementinepick::document::{Document, MAX_DOCUMENT_BYTES, ProgramRules};
use expect_test::{Expect, expect};

const SMALL: &str = "[service]\nname = agent-llm\nkind = engine\n[class concierge]\nrank = 1\n";

/// Checks the message for `SMALL` with more lines.
fn refused(more: &str, message: &Expect) {
    let text = format!("{SMALL}{more}\n");
    let err = Document::parse(&text).expect_err("a wrong document");
    message.assert_eq(&err.to_string());
}

#[test]
fn a_small_document_gets_the_defaults() {
    let document = Document::parse(SMALL).expect("right");
    assert_eq!(document.default_class.as_str(), "concierge");
    assert_eq!(document.program, ProgramRules::default());
}

#[test]
fn unknown_words_are_refused_with_a_suggestion() {
    refused(
        "wieght = 3",
        &expect!["[class concierge] wieght: unknown key (did you mean `weight`?)"],
    );
    refused(
        "[retnetion]",
        &expect!["[retnetion]: unknown section (did you mean `retention`?)"],
    );
    refused(
        "[class]",
        &expect!["[class]: unknown section (did you mean `class`?)"],
    );
    refused("[weather]", &expect!["[weather]: unknown section"]);
}

#[test]
fn units_and_ranges_are_checked() {
    refused(
        "deadline = 30",
        &expect![
            "[class concierge] deadline: `30` is not a time with its unit (us, ms, s, min or h), such as `250 ms`"
        ],
    );
    refused(
        "deadline = 0 s",
        &expect!["[class concierge] deadline: must be from 1 ms to 2592000 s"],
    );
    refused(
        "weight = 0",
        &expect!["[class concierge] weight: must be from 1 to 1000"],
    );
    refused(
        "[retention]\nlease = 1 s",
        &expect!["[retention] lease: must be from 5 s to 2592000 s"],
    );
    refused(
        "[category notices]\nshare = 120%",
        &expect!["[category notices] share: `120%` is not a share from 0% to 100%, such as `20%`"],
    );
}

#[test]
fn references_are_checked() {
    refused(
        "category = notices",
        &expect!["[class concierge] category: there is no [category notices]"],
    );
    refused(
        "[adapter tone]\nmodel = star\nversion = 1",
        &expect!["[adapter tone] model: there is no [model star]"],
    );
    refused(
        "[category a]\nshare = 60%\n[category b]\nshare = 50%",
        &expect!["[category ...] share: the shares of all categories come to 110%, over 100%"],
    );
    refused(
        "[category a]\nshare = 60%\nlimit = 50%",
        &expect!["[category a] limit: must not be below the share"],
    );
}

#[test]
fn what_would_stop_the_service_is_refused() {
    refused(
        "[model star]\nversion = 1\n[placement]\nmin_serving = 100%",
        &expect![
            "[placement] min_serving: must be below 100%, or no engine may ever load a new version"
        ],
    );
    refused(
        "[placement]\nprefill_engines = 2",
        &expect![
            "[placement] prefill_engines: prefill_engines and decode_engines go together: what one begins, the other ends"
        ],
    );
    refused(
        "[route POST /holds]",
        &expect!["[route POST /holds] name: a service of the kind `engine` has no such thing"],
    );
}

#[test]
fn what_stands_twice_is_refused() {
    refused(
        "[class concierge]\nrank = 2",
        &expect!["[class concierge]: given twice"],
    );
    refused("rank = 2", &expect!["[class concierge] rank: given twice"]);
}

#[test]
fn an_endless_document_is_refused_before_it_is_read() {
    let text = "#".repeat(MAX_DOCUMENT_BYTES + 1);
    assert!(Document::parse(&text).is_err());
}

#[test]
fn models_and_adapters_may_be_named_by_callers() {
    let text =
        format!("{SMALL}[model star]\nversion = 2\n[adapter tone]\nmodel = star\nversion = 7\n");
    let document = Document::parse(&text).expect("right");
    let names: Vec<&str> = document
        .models
        .iter()
        .map(clementinepick::ids::ModelName::as_str)
        .collect();
    assert_eq!(names, ["star", "tone"]);
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
