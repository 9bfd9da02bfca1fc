//! Tests that a gateway's process starts and goes on whatever its machine lacks for a while.

mod gateway_process;

use std::fs;
use std::io::{self, Read};
use std::net::TcpListener;
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;
use std::process::Stdio;
use std::thread::sleep;
use std::time::Duration;

use gateway_process::{GatewayProcess, GatewayVm, WAIT};

/// How long an address or a file is missing: longer than a pause between two attempts, shorter than a
/// person would wait.
const SHORTLY: Duration = Duration::from_millis(150);
/// How long a process that waits is watched.
const WATCHED: Duration = Duration::from_secs(2);

/// Guards against a process that ends because the one that it replaces has not ended yet.
#[test]
fn a_gateway_starts_beside_the_one_that_it_replaces() {
    let vm = GatewayVm::new(0);
    let mut old = vm.start();
    old.wait_until_serving(vm.callers());
    let _running = vm.begin_request();
    old.signal("TERM");
    let mut new = vm.start();
    assert!(old.wait_for_end(WAIT).is_some_and(|end| end.success()));
    new.wait_until_serving(vm.callers());
}

/// Guards against a process that ends because the one that it replaces stands still.
#[test]
fn a_gateway_starts_beside_a_suspended_one() {
    let vm = GatewayVm::new(1);
    let mut old = vm.start();
    old.wait_until_serving(vm.callers());
    old.signal("STOP");
    let mut new = vm.start();
    assert_eq!(new.wait_for_end(WATCHED), None);
    drop(old);
    new.wait_until_serving(vm.callers());
}

/// Guards against a process that ends because another program has the port of its metrics.
#[test]
fn a_gateway_serves_without_its_metrics_port_and_takes_it_later() {
    let vm = GatewayVm::new(2);
    let held = TcpListener::bind(vm.metrics()).expect("a free port");
    let mut gateway = vm.start();
    gateway.wait_until_serving(vm.callers());
    drop(held);
    gateway.wait_until_serving(vm.metrics());
}

/// Guards against a process that a change of its settings ends while it waits for its addresses.
#[test]
fn a_hangup_does_not_end_a_gateway_that_waits_for_its_addresses() {
    let vm = GatewayVm::new(3);
    let held = TcpListener::bind(vm.callers()).expect("a free port");
    let mut gateway = vm.start();
    gateway.wait_until_handling_hangups(SHORTLY);
    gateway.signal("HUP");
    assert_eq!(gateway.wait_for_end(SHORTLY), None);
    drop(held);
    gateway.wait_until_serving(vm.callers());
}

/// Guards against a process that ends because its settings file is being replaced.
#[test]
fn a_gateway_starts_while_its_settings_are_replaced() {
    let vm = GatewayVm::new(4);
    let text = vm.text();
    let (part, _) = text.split_at(text.len() / 2);
    vm.write(part);
    let mut cut = vm.start();
    sleep(SHORTLY);
    vm.write(&text);
    cut.wait_until_serving(vm.callers());
    drop(cut);
    fs::remove_file(&vm.settings).expect("a file");
    let mut missing = vm.start();
    sleep(SHORTLY);
    vm.write(&text);
    missing.wait_until_serving(vm.callers());
}

/// Guards against a process that does not end at a planned stop because nobody reads its log.
#[test]
fn a_gateway_ends_although_nobody_reads_its_log() {
    let vm = GatewayVm::new(5);
    let (reader, writer) = std::io::pipe().expect("a pipe");
    let mut gateway = vm.start_writing_to(Stdio::from(writer));
    gateway.wait_until_serving(vm.callers());
    fill_log(&vm, &mut gateway);
    gateway.signal("TERM");
    let end = gateway.wait_for_end(WATCHED * 2);
    assert!(end.is_some_and(|end| end.success()), "{end:?}");
    drop(reader);
}

/// Guards against a process that never logs again after a line that could not be written.
#[test]
fn a_gateway_logs_again_once_its_log_is_read() {
    let vm = GatewayVm::new(6);
    let (mut reader, writer) = UnixStream::pair().expect("a pair of sockets");
    writer.set_nonblocking(true).expect("a socket");
    reader.set_nonblocking(true).expect("a socket");
    let mut gateway = vm.start_writing_to(Stdio::from(OwnedFd::from(writer)));
    gateway.wait_until_serving(vm.callers());
    fill_log(&vm, &mut gateway);
    read_available(&mut reader);
    gateway.wait_until_serving(vm.callers());
    sleep(SHORTLY);
    let log = read_available(&mut reader);
    assert!(log.contains("request_failed"), "{log}");
}

/// Guards against a process that serves without the thread that follows the store.
#[test]
fn a_gateway_with_too_few_descriptors_ends_or_follows_the_store() {
    for max_descriptors in 10..30 {
        let vm = GatewayVm::new(7);
        let mut gateway = vm.start_with_descriptors(max_descriptors);
        match gateway.wait_for_end(SHORTLY) {
            Some(end) => assert!(!end.success(), "{max_descriptors}: {end:?}"),
            None => assert!(gateway.has_thread("directory"), "{max_descriptors}"),
        }
    }
}

/// Has failed requests logged until the log's pipe or socket is full.
fn fill_log(vm: &GatewayVm, gateway: &mut GatewayProcess) {
    const MAX_BUFFER_BYTES: usize = 262_144;
    const LINE_BYTES: usize = 256;
    for _ in 0..MAX_BUFFER_BYTES / LINE_BYTES {
        gateway.wait_until_serving(vm.callers());
    }
}

/// Returns what has arrived.
fn read_available(reader: &mut UnixStream) -> String {
    let mut bytes = Vec::new();
    match reader.read_to_end(&mut bytes) {
        Err(err) if err.kind() != io::ErrorKind::WouldBlock => panic!("{err}"),
        _ => String::from_utf8_lossy(&bytes).into_owned(),
    }
}
