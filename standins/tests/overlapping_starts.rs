//! Tests gateways that start beside the ones that they replace. The gateways are processes.

use std::io::Write;
use std::net::TcpStream;
use std::thread::sleep;
use std::time::Duration;

use ciborium::Value;
use standins::platform_run::{config, wait_until};
use standins::platform_store::PlatformStore;
use standins::process_gateways::ProcessGateways;

const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Returns the process instance that the store has registered.
fn registered_writer(store: &PlatformStore) -> Option<String> {
    let entry = store.newest_value("keyed.processes", "vm-0")?;
    let Value::Map(fields) = ciborium::from_reader(&entry[..]).ok()? else {
        return None;
    };
    let is_writer = |name: &Value| name.as_text() == Some("i");
    let (_, writer) = fields.into_iter().find(|(name, _)| is_writer(name))?;
    writer.into_text().ok()
}

/// Guards against a stopping process that takes its successor's place among the registered ones.
#[test]
fn a_stopping_gateway_leaves_the_entry_of_its_successor() {
    let store = PlatformStore::default();
    store.put("keyed.op", "config", &config(1));
    let mut run = ProcessGateways::start("overlapping-entry", 1, &store).expect("a gateway");
    let first = registered_writer(&store).expect("an entry");
    let mut running = TcpStream::connect(run.callers(0)).expect("a listener");
    let head = b"POST /book/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n";
    running.write_all(head).expect("an open connection");
    let mut old = run.processes[0].terminate().expect("a process");
    run.processes[0].restart().expect("a process");
    let has_successor = || registered_writer(&store).is_some_and(|writer| writer != first);
    wait_until(has_successor).expect("an entry of the successor");
    while old.try_wait().expect("a child").is_none() {
        assert!(has_successor(), "the old process has registered again");
        sleep(CHECK_INTERVAL);
    }
}
