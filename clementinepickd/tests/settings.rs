//! Settings files that are wrong name the file, the section and the key.

use std::collections::BTreeSet;

use clementinepickd::settings::{Role, Settings};
use clementinepickd::settings_file::{load, parse};
use expect_test::{Expect, expect};

const ENTRY: &str = "\
[process]
role = entry
vm = entry-a
zone = musanze-hall
http = 127.0.0.1:8080
link = 127.0.0.1:9080

[entry]
log = 127.0.0.1:7001
vms = 127.0.0.1:7002
default_service = agent-llm

[links]
key = 0123456789abcdef
";

const SIDECAR: &str = "\
[process]
role = sidecar
vm = sidecar-0
zone = musanze-hall
http = 127.0.0.1:8081
link = 127.0.0.1:9081

[sidecar]
service = agent-llm
backend_kind = engine
backend = 127.0.0.1:7101

[links]
key = 0123456789abcdef
";

fn right(text: &str) -> Settings {
    parse("a.ini", text).expect("right settings")
}

fn check(text: &str, expected: &Expect) {
    let err = parse("a.ini", text).expect_err("wrong settings");
    expected.assert_eq(&err.to_string());
}

#[test]
fn both_roles_are_read() {
    let entry = right(ENTRY);
    assert!(matches!(&entry.role, Role::Entry(role) if role.partition_count == 64));
    let sidecar = right(SIDECAR);
    assert!(matches!(&sidecar.role, Role::Sidecar(role) if role.service.as_str() == "agent-llm"));
}

#[test]
fn a_missing_value_is_named() {
    check(
        &ENTRY.replace("zone = musanze-hall\n", ""),
        &expect!["a.ini: [process] zone: is missing"],
    );
    check(
        &ENTRY.replace("key = 0123456789abcdef\n", ""),
        &expect!["a.ini: [links] key: is missing"],
    );
}

#[test]
fn an_unknown_key_is_named_with_the_known_ones() {
    check(
        &ENTRY.replace("vms =", "vm_list ="),
        &expect!["a.ini: [entry] vms: is missing"],
    );
    check(
        &format!("{ENTRY}[shutdown]\nlimits = 3 s\n"),
        &expect!["a.ini: [shutdown] limits: unknown key; the section has limit, linger, notice"],
    );
    check(
        &format!("{ENTRY}[sidecar]\nservice = book-app\n"),
        &expect![
            "a.ini: [sidecar] service: this role has no such section; it has entry, limits, links, process, shutdown"
        ],
    );
}

#[test]
fn a_bad_unit_is_named_with_an_example() {
    check(
        &format!("{ENTRY}silence = 5\n"),
        &expect![
            "a.ini: [links] silence: `5`: `5` is not a time with its unit (us, ms, s, min or h), such as `250 ms`"
        ],
    );
    check(
        &format!("{ENTRY}[limits]\nbody = 8 MiB\n"),
        &expect![
            "a.ini: [limits] body: `8 MiB`: `8 MiB` is not a size with its unit (B, KB, MB or GB), such as `16 MB`"
        ],
    );
}

#[test]
fn a_host_name_is_no_address() {
    check(
        &ENTRY.replace("127.0.0.1:7001", "localhost:7001"),
        &expect!["a.ini: [entry] log: `localhost:7001`: invalid socket address syntax"],
    );
}

#[test]
fn a_key_given_twice_is_refused() {
    check(
        &format!("{ENTRY}key = fedcba9876543210\n"),
        &expect!["a.ini: [links] key: is given twice"],
    );
}

#[test]
fn a_short_link_key_is_refused() {
    check(
        &ENTRY.replace("0123456789abcdef", "secret"),
        &expect!["a.ini: [links] key: must have 16 characters or more"],
    );
}

#[test]
fn a_frame_must_hold_the_largest_body() {
    check(
        &format!("{ENTRY}[limits]\nbody = 20 MB\n"),
        &expect![
            "a.ini: [links] max_frame: must be at least 41000000 B: twice [limits] body and 1 MB"
        ],
    );
}

#[test]
fn a_limit_of_nothing_is_refused() {
    check(
        &format!("{ENTRY}[limits]\nstreams = 0\n"),
        &expect!["a.ini: [limits] streams: must be 1 or more"],
    );
}

#[test]
fn a_link_key_is_never_printed() {
    let settings = format!("{:?}", right(ENTRY));
    assert!(!settings.contains("0123456789abcdef"), "{settings}");
}

/// The keys of docs/SETTINGS.md, as `[section] key`.
fn documented_keys() -> BTreeSet<String> {
    let page = include_str!("../../docs/SETTINGS.md");
    let mut section = "";
    let mut keys = BTreeSet::new();
    for line in page.lines() {
        if let Some(heading) = line.strip_prefix("## `") {
            section = heading.trim_end_matches('`');
        } else if let Some(row) = line.strip_prefix("| `") {
            let (key, _) = row.split_once('`').expect("a key in backquotes");
            keys.insert(format!("{section} {key}"));
        }
    }
    keys
}

/// The keys that the code knows in a section, which it lists when it meets another.
fn known_keys(text: &str, section: &str) -> BTreeSet<String> {
    let err = parse("a.ini", &format!("{text}[{section}]\nno-such-key = 1\n"));
    let err = err.expect_err("an unknown key").to_string();
    let (_, keys) = err.split_once("the section has ").expect("a list of keys");
    let keys = keys.split(", ");
    keys.map(|key| format!("[{section}] {key}")).collect()
}

#[test]
fn every_key_stands_on_its_page_and_the_reverse() {
    let mut known = known_keys(SIDECAR, "sidecar");
    for section in ["process", "entry", "links", "limits", "shutdown"] {
        known.extend(known_keys(ENTRY, section));
    }
    assert_eq!(documented_keys(), known);
}

#[test]
fn the_examples_are_right() {
    let examples = concat!(env!("CARGO_MANIFEST_DIR"), "/../examples");
    let mut count = 0;
    for entry in std::fs::read_dir(examples).expect("examples") {
        let path = entry.expect("a file").path();
        if path.extension().is_some_and(|extension| extension == "ini") {
            load(&path).unwrap_or_else(|err| panic!("{err}"));
            count += 1;
        }
    }
    assert!(count >= 5, "{count} examples");
}
