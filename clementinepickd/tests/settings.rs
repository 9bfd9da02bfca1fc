//! Settings files that are wrong name the file, the section and the key.

use clementinepickd::settings::{Role, Settings};
use clementinepickd::settings_file::parse;
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
        &expect!["a.ini: [shutdown] limits: unknown key; the section has limit, notice"],
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
