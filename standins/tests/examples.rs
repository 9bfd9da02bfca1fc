//! Tests that the example documents pass the same validation as at `publish`.

use std::fs;
use std::path::PathBuf;

use clementinepick::document::Document;

fn examples() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../examples/documents")
}

#[test]
fn the_example_documents_are_valid_and_named_by_their_service() {
    for service in ["agent-llm", "book-app", "agent-models", "limit-api"] {
        let path = examples().join(format!("{service}.ini"));
        let text = fs::read_to_string(&path).expect("an example");
        let document = Document::parse(&text).expect("a valid document");
        assert_eq!(document.service.as_str(), service);
    }
}

#[test]
fn the_example_documents_have_the_settings_of_their_teams() {
    let document = |service: &str| {
        let path = examples().join(format!("{service}.ini"));
        Document::parse(&fs::read_to_string(path).expect("an example")).expect("a valid document")
    };
    let rank = |document: &Document, class: &str| {
        let class = class.parse().expect("a name");
        document.class(&class).expect("a class").rank
    };
    let agents = document("agent-llm");
    assert!(rank(&agents, "concierge") < rank(&agents, "drafts"));
    let bookings = document("book-app");
    assert!(!bookings.is_idempotent("POST", "/holds"));
    assert!(!bookings.is_idempotent("POST", "/cancellations"));
    assert!(rank(&bookings, "holds") < rank(&bookings, "checks"));
    let models = document("agent-models");
    let weight = |class: &str| models.classes[&class.parse().expect("a name")].weight;
    assert!(weight("dialogues") > weight("drafting"));
    let limits = document("limit-api");
    let category = |class: &str| {
        let class = &limits.classes[&class.parse().expect("a name")];
        class.category.as_ref().map(ToString::to_string)
    };
    assert_eq!(category("notices"), category("lookups"));
    assert_ne!(category("limits"), category("lookups"));
}
