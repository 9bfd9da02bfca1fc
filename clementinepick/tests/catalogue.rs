//! The catalogues in docs/ say what the code says, row by row and in both directions.

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;

use clementinepick::document_read::known_keys;
use clementinepick::error::ErrorKind;
use clementinepick::event::{EventKind, Severity};

fn page(name: &str) -> String {
    let docs = Path::new(env!("CARGO_MANIFEST_DIR")).join("../docs");
    fs::read_to_string(docs.join(name)).expect("the page")
}

/// The cells of each table row whose first cell `wanted` accepts.
fn rows(page: &str, wanted: impl Fn(&str) -> bool) -> Vec<Vec<String>> {
    let lines = page.lines().filter(|line| line.starts_with("| "));
    let cells = lines.map(|line| {
        let cells = line.trim_matches('|').split('|');
        cells.map(|cell| cell.trim().to_owned()).collect::<Vec<_>>()
    });
    cells
        .filter(|cells| cells.first().is_some_and(|first| wanted(first)))
        .collect()
}

const fn severity(kind: EventKind) -> &'static str {
    match kind.severity() {
        Severity::Info => "info",
        Severity::Warning => "warning",
        Severity::Error => "error",
    }
}

#[test]
fn every_event_stands_in_its_catalogue_and_the_reverse() {
    let page = page("EVENTS.md");
    let written = rows(&page, |first| first.parse::<u16>().is_ok());
    let in_code: Vec<Vec<String>> = EventKind::ALL
        .iter()
        .map(|kind| {
            let (number, name) = (kind.number().to_string(), format!("`{}`", kind.name()));
            let (severity, meaning) = (severity(*kind).to_owned(), kind.meaning().to_owned());
            vec![number, name, severity, meaning]
        })
        .collect();
    for row in &written {
        assert_eq!(row.len(), 5, "a row needs its five cells: {row:?}");
        assert!(!row[4].is_empty(), "say what an operator does: {row:?}");
    }
    let written: Vec<Vec<String>> = written.iter().map(|row| row[..4].to_vec()).collect();
    assert_eq!(
        written, in_code,
        "docs/EVENTS.md (left) and event.rs (right)"
    );
}

#[test]
fn every_error_stands_in_its_catalogue_and_the_reverse() {
    let page = page("ERRORS.md");
    let written = rows(&page, |first| first.starts_with('`'));
    let in_code: Vec<Vec<String>> = ErrorKind::ALL
        .iter()
        .map(|kind| {
            let answer = kind.response();
            let retry_after = answer.retry_after_s;
            vec![
                format!("`{}`", answer.code),
                answer.status.to_string(),
                answer.not_run.to_string(),
                if answer.repeat_safe { "yes" } else { "no" }.to_owned(),
                retry_after.map_or("-".to_owned(), |s| format!("{s} s")),
                kind.meaning().to_owned(),
            ]
        })
        .collect();
    assert_eq!(
        written, in_code,
        "docs/ERRORS.md (left) and error.rs (right)"
    );
}

/// The keys by kind of section, as the page's headings and tables name them.
fn written_keys(page: &str) -> BTreeMap<String, Vec<String>> {
    let mut keys: BTreeMap<String, Vec<String>> = BTreeMap::new();
    let mut section = None;
    for line in page.lines() {
        if let Some(title) = line.strip_prefix("## `[") {
            let kind = title.split([' ', ']']).next().unwrap_or_default();
            keys.insert(kind.to_owned(), Vec::new());
            section = Some(kind.to_owned());
        } else if line.starts_with("## ") {
            section = None;
        } else if let (Some(kind), Some(row)) = (&section, line.strip_prefix("| `")) {
            let key = row.split('`').next().unwrap_or_default();
            keys.entry(kind.clone()).or_default().push(key.to_owned());
        }
    }
    keys
}

#[test]
fn every_key_of_documents_is_documented_and_the_reverse() {
    let in_code: BTreeMap<String, Vec<String>> = known_keys()
        .into_iter()
        .map(|(kind, keys)| {
            let keys = keys.iter().map(|key| (*key).to_owned()).collect();
            (kind.to_owned(), keys)
        })
        .collect();
    assert_eq!(written_keys(&page("DOCUMENTS.md")), in_code);
}
