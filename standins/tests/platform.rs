//! Tests the other stand-ins of the platform: the VM list, the weight store, tools and
//! the plain service.

use std::collections::BTreeMap;

use clementinepick::platform::{Vm, VmRole, VmState};
use clementinepick::units::{Percent, SpanUs, TimeUs};
use standins::plain_service::{PlainRequest, PlainService, PlainSettings};
use standins::tool_service::{ToolOutcome, ToolService, ToolSettings};
use standins::vm_list::VmList;
use standins::weight_store::{WeightSettings, WeightStore};

#[test]
fn the_vm_list_shows_changes_after_its_delay() {
    let vm = Vm {
        id: "entry-1".parse().expect("a name"),
        role: VmRole::Entry,
        service: None,
        zone: "kinigi-room".parse().expect("a name"),
        link_address: "127.0.0.1:1".to_owned(),
        state: VmState::Live,
    };
    let mut list = VmList::new(SpanUs(100));
    list.set(TimeUs(0), vm.clone());
    list.set_leaving(TimeUs(50), &vm.id);
    list.remove(TimeUs(60), vm.id.clone());
    assert_eq!(list.list(TimeUs(99)), []);
    assert_eq!(list.list(TimeUs(149)), [vm]);
    assert_eq!(list.list(TimeUs(150))[0].state, VmState::Leaving);
    assert_eq!(list.list(TimeUs(160)), []);
}

#[test]
fn the_weight_store_limits_its_fetch_rate() {
    let (model, version) = ("m".parse().expect("a name"), "1".parse().expect("a name"));
    let mut store = WeightStore::new(WeightSettings {
        interval_us: SpanUs(100),
        transfer_us: SpanUs(1_000),
    });
    assert_eq!(store.fetch(TimeUs(0), &model, &version), Ok(SpanUs(1_000)));
    assert_eq!(store.fetch(TimeUs(40), &model, &version), Err(SpanUs(60)));
    assert!(store.fetch(TimeUs(100), &model, &version).is_ok());
    assert_eq!(store.fetches().len(), 2);
}

#[test]
fn tool_latencies_follow_their_distribution_and_some_calls_hang() {
    let tool = "weather".parse().expect("a name");
    let settings = ToolSettings {
        hangs: Percent::new(10).expect("a share"),
        ..ToolSettings::default()
    };
    let mut service = ToolService::new(BTreeMap::from([(tool, settings)]), 5);
    let tool = "weather".parse().expect("a name");
    let mut times = Vec::new();
    for _ in 0..1_000 {
        match service.call(&tool) {
            ToolOutcome::Answers { after_us, .. } => times.push(after_us.as_ms()),
            ToolOutcome::Hangs => {}
        }
    }
    times.sort_unstable();
    assert!((850..950).contains(&times.len()), "{}", times.len());
    assert!((450..550).contains(&times[times.len() / 2]));
    assert!(times[0] >= 125 && times[times.len() - 1] <= 2_000);
}

#[test]
fn the_plain_service_reports_duplicate_executions() {
    let mut service = PlainService::new(PlainSettings::default());
    let post = |path: &str, body: &str| PlainRequest {
        method: "POST".to_owned(),
        path: path.to_owned(),
        key: None,
        body: body.into(),
    };
    let hold = post("/holds", r#"{"id":"h1","slot":"dome-1"}"#);
    assert_eq!(service.handle(TimeUs(0), &hold).status, 201);
    assert!(service.duplicate_executions().is_empty());
    let cancel = post("/cancellations", r#"{"id":"c1","hold":"h1"}"#);
    service.handle(TimeUs(0), &cancel);
    let repeated = service.handle(TimeUs(0), &cancel);
    assert!(repeated.body.contains("not held"), "{}", repeated.body);
    assert_eq!(service.duplicate_executions(), ["c1"]);
    assert_eq!(service.handle(TimeUs(0), &post("/holds", "{")).status, 400);
}
