//! Settings of gateways: parsing, errors that name file, section and key, and documentation.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

use clementinepickd::settings_file::{ProcessSettings, parse_process};

const VALID: &str = "\
[process]
role = gateway
vm = edge-1
zone = hall
log_level = warning
log_every = 8

[listen]
callers = 127.0.0.1:8080
ready = 127.0.0.1:8081
peers = 127.0.0.1:8082
metrics = 127.0.0.1:8083

[peers]
seeds = 127.0.0.1:9082, 127.0.0.1:9083

[store]
address = 127.0.0.1:7000
partitions = 24
record = 262144 B
call = 2 MB
cache = 4 MB

[limits]
connections = 900
bodies = 8 MB
responses = 12 MB

[shutdown]
notice = 2 s
limit = 7 s
";

fn error_after(from: &str, to: &str) -> String {
    assert!(VALID.contains(from), "the settings contain no `{from}`");
    let text = VALID.replace(from, to);
    let err = parse_process("g.ini", &text).expect_err("invalid settings");
    err.to_string()
}

#[test]
fn all_keys_are_read() {
    let settings = parse_process("g.ini", VALID).expect("valid settings");
    let ProcessSettings::Gateway(settings) = settings else {
        panic!("a gateway's settings");
    };
    assert_eq!(settings.seeds.len(), 2);
    assert_eq!(settings.ledger.record_bytes, 262_144);
    assert_eq!(settings.body_limit_bytes, 8_000_000);
    assert_eq!(settings.response_limit_bytes, 12_000_000);
    assert_eq!(settings.connection_limit, 900);
    assert_eq!(settings.log_every, 8);
    assert_eq!(settings.drain_delay.as_millis(), 2_000);
}

#[test]
fn an_invalid_value_is_named() {
    let cases = [
        (("vm = edge-1\n", ""), "g.ini: [process] vm: is missing"),
        (
            ("ready = 127.0.0.1:8081", "ready = somewhere"),
            "g.ini: [listen] ready: `somewhere`: invalid socket address syntax",
        ),
        (
            ("127.0.0.1:9083", "next"),
            "g.ini: [peers] seeds: `next` is not a socket address",
        ),
        (
            ("partitions = 24", "partitions = 0"),
            "g.ini: [store] partitions: must be at least 1",
        ),
        (
            ("call = 2 MB", "call = 1 KB"),
            "g.ini: [store] call: must be at least `record`",
        ),
        (
            ("notice = 2 s", "notice = 9 s"),
            "g.ini: [shutdown] notice: must be shorter than `limit`",
        ),
        (
            ("connections = 900", "connections = 0"),
            "g.ini: [limits] connections: must be at least 1",
        ),
        (
            ("cache = 4 MB", "cash = 4 MB"),
            "g.ini: [store] cash: unknown key; the section has address, cache, call, partitions, \
             record",
        ),
    ];
    for ((from, to), expected) in cases {
        assert_eq!(error_after(from, to), expected);
    }
    let unit = error_after("cache = 4 MB", "cache = 4");
    assert!(unit.starts_with("g.ini: [store] cache: `4`:"), "{unit}");
}

#[test]
fn documented_keys_and_known_keys_are_the_same() {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../docs/GATEWAY_SETTINGS.md");
    let page = fs::read_to_string(page).expect("the page");
    let rows = page.lines().filter(|line| line.starts_with("| `"));
    let listed: BTreeSet<(String, String)> = rows
        .filter_map(|row| {
            let mut words = row.split('`');
            let section = words.nth(1)?.to_owned();
            Some((section, words.nth(1)?.to_owned()))
        })
        .collect();
    let mut section = String::new();
    let mut known = BTreeSet::new();
    for line in VALID.lines() {
        if let Some(name) = line.strip_prefix('[') {
            section = name.trim_end_matches(']').to_owned();
        } else if let Some((key, _)) = line.split_once(" = ") {
            known.insert((section.clone(), key.to_owned()));
        }
    }
    assert_eq!(listed, known);
}

/// The platform fills in the template in `deploy/`. A misspelt key there, or one renamed in the code
/// only, would keep every process of a deployment from starting.
#[test]
fn the_deployment_template_makes_valid_settings() {
    let template = Path::new(env!("CARGO_MANIFEST_DIR")).join("../deploy/gateway.ini");
    let template = fs::read_to_string(template).expect("the template");
    let filled = [
        ("NodeName", "edge-musanze-hall-1"),
        ("Zone", "musanze-hall"),
        ("Listen.Front", "10.1.0.38:8149"),
        ("Listen.Ready", "10.1.0.38:8141"),
        ("Listen.Control", "10.1.0.38:8144"),
        ("Ip", "10.1.0.38"),
        ("Seeds", "10.1.0.38:8144,10.2.0.40:8144"),
        ("Provider.Address", "10.200.1.7:8142"),
        ("Provider.parts", "24"),
        ("Provider.RecordBytes", "262144"),
        ("Provider.CallBytes", "2097152"),
    ]
    .into_iter()
    .fold(template, |text, (field, value)| {
        let placeholder = format!("{{{{{field}}}}}");
        assert!(text.contains(&placeholder), "no {placeholder}");
        text.replace(&placeholder, value)
    });
    assert!(!filled.contains("{{"), "{filled}");
    let settings = parse_process("gateway.ini", &filled).expect("valid settings");
    let ProcessSettings::Gateway(settings) = settings else {
        panic!("a gateway's settings");
    };
    assert_eq!(settings.peers.to_string(), "10.1.0.38:8144");
    assert_eq!(settings.seeds.len(), 2);
}
