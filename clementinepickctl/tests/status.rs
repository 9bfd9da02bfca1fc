//! Tests how `status` counts the processes that have the newest revision.

use clementinepick::platform::Vm;
use clementinepickctl::exit::ExitCode;
use clementinepickctl::status::{ProcessDump, Status};
use expect_test::expect;
use serde_json::{Value, json};

fn peer(vm: &str, incarnation: u64, service: Option<&str>) -> Value {
    let role = if service.is_some() {
        "sidecar"
    } else {
        "entry"
    };
    json!({ "vm": vm, "incarnation": incarnation, "role": role, "zone": "z", "service": service })
}

fn dump(peer: &Value, revisions: &Value, peers: &Value) -> ProcessDump {
    let dump = json!({ "peer": peer, "revisions": revisions, "peers": peers });
    serde_json::from_value(dump).expect("a dump")
}

fn with_revisions(mut peer: Value, revisions: Value) -> Value {
    peer["revisions"] = revisions;
    peer
}

#[test]
fn an_entry_reports_itself_and_its_peers() {
    let mut status = Status::default();
    let peers = json!([
        with_revisions(peer("car-1", 1, Some("s")), json!({ "s": 2 })),
        with_revisions(peer("car-2", 1, Some("s")), json!({ "s": 2 })),
        with_revisions(peer("car-3", 1, Some("other")), json!({})),
    ]);
    status.add_dump(dump(&peer("entry-a", 1, None), &json!({ "s": 2 }), &peers));
    let report = status.report();
    expect!["s: revision 2 is in force on 3 of 3"].assert_eq(&report.text);
    assert_eq!(report.exit, ExitCode::Success);
}

// With an outdated sidecar, a peer without revisions and a VM that is only listed, `status` must not
// report the revision as active everywhere.
#[test]
fn outdated_and_unknown_processes_are_named() {
    let mut status = Status::default();
    let peers = json!([
        with_revisions(peer("car-1", 1, Some("s")), json!({ "s": 1 })),
        peer("car-2", 1, Some("s")),
    ]);
    status.add_dump(dump(&peer("entry-a", 1, None), &json!({ "s": 2 }), &peers));
    let listed = json!([{
        "id": "entry-b", "role": "entry", "service": null, "zone": "z",
        "link_address": "127.0.0.1:1", "state": "leaving",
    }]);
    let listed: Vec<Vm> = serde_json::from_value(listed).expect("a list");
    status.add_vms(listed);
    let report = status.report();
    expect![[r"
        s: revision 2 is in force on 1 of 4
          car-1 has revision 1
          car-2 is listed, and nobody has heard of it
          entry-b is listed, and nobody has heard of it
        leaving: entry-b (entry)"]]
    .assert_eq(&report.text);
    assert_eq!(report.exit, ExitCode::Mismatch);
}

// Two entries report the same sidecar, one of them an earlier incarnation, whose revisions say nothing
// about the current one.
#[test]
fn the_newest_incarnation_of_a_process_counts() {
    let mut status = Status::default();
    let old = json!([with_revisions(
        peer("car-1", 1, Some("s")),
        json!({ "s": 2 })
    )]);
    let new = json!([with_revisions(peer("car-1", 2, Some("s")), json!({}))]);
    status.add_dump(dump(&peer("entry-a", 1, None), &json!({ "s": 2 }), &new));
    status.add_dump(dump(&peer("entry-b", 1, None), &json!({ "s": 2 }), &old));
    expect![[r"
        s: revision 2 is in force on 2 of 3
          car-1 has revision 0"]]
    .assert_eq(&status.report().text);
}
