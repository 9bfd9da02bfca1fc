//! Errors about invalid settings files name the file, the section and the key.

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

fn parse_valid(text: &str) -> Settings {
    parse("a.ini", text).expect("valid settings")
}

fn assert_error(text: &str, expected: &Expect) {
    let err = parse("a.ini", text).expect_err("invalid settings");
    expected.assert_eq(&err.to_string());
}

#[test]
fn both_roles_are_read() {
    let entry = parse_valid(ENTRY);
    assert!(matches!(&entry.role, Role::Entry(role) if role.partition_count == 64));
    let sidecar = parse_valid(SIDECAR);
    assert!(matches!(&sidecar.role, Role::Sidecar(role) if role.service.as_str() == "agent-llm"));
}

#[test]
fn a_missing_value_is_named() {
    assert_error(
        &ENTRY.replace("zone = musanze-hall\n", ""),
        &expect!["a.ini: [process] zone: is missing"],
    );
    assert_error(
        &ENTRY.replace("key = 0123456789abcdef\n", ""),
        &expect!["a.ini: [links] key: is missing"],
    );
}

#[test]
fn an_unknown_key_is_named_with_the_known_ones() {
    assert_error(
        &ENTRY.replace("vms =", "vm_list ="),
        &expect!["a.ini: [entry] vms: is missing"],
    );
    assert_error(
        &format!("{ENTRY}[shutdown]\nlimits = 3 s\n"),
        &expect!["a.ini: [shutdown] limits: unknown key; the section has limit, linger, notice"],
    );
    assert_error(
        &format!("{ENTRY}[sidecar]\nservice = book-app\n"),
        &expect![
            "a.ini: [sidecar] service: this role has no such section; it has entry, limits, links, process, shutdown"
        ],
    );
}

#[test]
fn an_invalid_unit_is_named_with_an_example() {
    assert_error(
        &format!("{ENTRY}silence = 5\n"),
        &expect![
            "a.ini: [links] silence: `5`: `5` is not a time with its unit (us, ms, s, min or h), such as `250 ms`"
        ],
    );
    assert_error(
        &format!("{ENTRY}[limits]\nbody = 8 MiB\n"),
        &expect![
            "a.ini: [limits] body: `8 MiB`: `8 MiB` is not a size with its unit (B, KB, MB or GB), such as `16 MB`"
        ],
    );
}

#[test]
fn a_host_name_is_refused_as_an_address() {
    assert_error(
        &ENTRY.replace("127.0.0.1:7001", "localhost:7001"),
        &expect!["a.ini: [entry] log: `localhost:7001`: invalid socket address syntax"],
    );
}

#[test]
fn a_key_given_twice_is_refused() {
    assert_error(
        &format!("{ENTRY}key = fedcba9876543210\n"),
        &expect!["a.ini: [links] key: is given twice"],
    );
}

#[test]
fn a_short_link_key_is_refused() {
    assert_error(
        &ENTRY.replace("0123456789abcdef", "secret"),
        &expect!["a.ini: [links] key: must have 16 characters or more"],
    );
}

#[test]
fn a_frame_limit_below_the_largest_body_is_refused() {
    assert_error(
        &format!("{ENTRY}[limits]\nbody = 20 MB\n"),
        &expect![
            "a.ini: [links] max_frame: must be at least 41000000 B: twice [limits] body and 1 MB"
        ],
    );
}

#[test]
fn a_limit_of_zero_is_refused() {
    assert_error(
        &format!("{ENTRY}[limits]\nstreams = 0\n"),
        &expect!["a.ini: [limits] streams: must be 1 or more"],
    );
}

#[test]
fn a_link_key_is_never_printed() {
    let settings = format!("{:?}", parse_valid(ENTRY));
    assert!(!settings.contains("0123456789abcdef"), "{settings}");
}

/// Returns the keys listed in docs/SETTINGS.md, as `[section] key`.
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

/// Returns the keys that the parser accepts in a section, which it lists when it refuses another.
fn known_keys(text: &str, section: &str) -> BTreeSet<String> {
    let err = parse("a.ini", &format!("{text}[{section}]\nno-such-key = 1\n"));
    let err = err.expect_err("an unknown key").to_string();
    let (_, keys) = err.split_once("the section has ").expect("a list of keys");
    let keys = keys.split(", ");
    keys.map(|key| format!("[{section}] {key}")).collect()
}

#[test]
fn documented_keys_and_known_keys_are_the_same() {
    let mut known = known_keys(SIDECAR, "sidecar");
    for section in ["process", "entry", "links", "limits", "shutdown"] {
        known.extend(known_keys(ENTRY, section));
    }
    assert_eq!(documented_keys(), known);
}

#[test]
fn the_example_settings_are_valid() {
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
