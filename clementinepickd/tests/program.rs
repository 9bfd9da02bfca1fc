//! Exit codes and signal handling of the program.

mod exchange;

use std::fs;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::{Child, Command, Output};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

use exchange::{TEST_TIMEOUT, get};

/// Writes a settings file to the temporary directory of this build's tests.
fn write_settings(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).expect("a file");
    path
}

/// The ports that the tests try, below the system's range of ephemeral ports.
///
/// An ephemeral port could be reused as the local port of the next connection. A test that polls
/// whether its program listens would then connect to itself and keep the program from the port.
const PORTS: std::ops::Range<u16> = 20_000..32_000;

/// The offset of the next port that a test of this run tries.
static NEXT_PORT: AtomicU16 = AtomicU16::new(0);

fn free_port() -> u16 {
    let count = PORTS.end - PORTS.start;
    let first = u16::try_from(std::process::id() % u32::from(count)).expect("below the count");
    for _ in 0..count {
        let step = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        let port = PORTS.start + (first + step) % count;
        if TcpListener::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
    panic!("no port is free")
}

fn entry_settings(notice: &str) -> (String, u16) {
    let port = free_port();
    let text = format!(
        "[process]\nrole = entry\nvm = entry-a\nzone = kinigi-room\nlog_level = off\n\
         http = 127.0.0.1:{port}\nlink = 127.0.0.1:0\n\
         [entry]\nlog = 127.0.0.1:1\nvms = 127.0.0.1:1\n\
         [links]\nkey = 0123456789abcdef\n\
         [shutdown]\nnotice = {notice}\nlinger = 0 ms\n"
    );
    (text, port)
}

fn run(arguments: &[&str]) -> Output {
    let program = env!("CARGO_BIN_EXE_clementinepickd");
    let output = Command::new(program).args(arguments).output();
    output.expect("the program runs")
}

fn start(path: &str) -> Child {
    let program = env!("CARGO_BIN_EXE_clementinepickd");
    let child = Command::new(program).args(["--settings", path]).spawn();
    child.expect("the program runs")
}

fn terminate(child: &Child) {
    let killed = Command::new("kill").arg(child.id().to_string()).status();
    assert!(killed.expect("kill runs").success());
}

/// Waits until the state dump shows that the process is in a stage.
fn wait_for_stage(port: u16, stage: &str) {
    let address = ([127, 0, 0, 1], port).into();
    let started = Instant::now();
    loop {
        assert!(
            started.elapsed() < TEST_TIMEOUT,
            "the process did not reach stage {stage}"
        );
        let listens = std::net::TcpStream::connect(address).is_ok();
        if listens && get(address, "/debug/dump").contains(&format!("\"stage\":\"{stage}")) {
            return;
        }
        std::thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn invalid_settings_exit_with_2_and_name_the_key() {
    let (text, _) = entry_settings("soon");
    let path = write_settings("wrong.ini", &text);
    let path = path.to_str().expect("text");
    for arguments in [
        &["--settings", path][..],
        &["--settings", path, "--check"][..],
    ] {
        let output = run(arguments);
        assert_eq!(output.status.code(), Some(2));
        let said = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(
            said.starts_with(&format!("{path}: [shutdown] notice: `soon`")),
            "{said}"
        );
    }
}

#[test]
fn valid_settings_are_checked_without_a_start() {
    let (text, _) = entry_settings("1 s");
    let path = write_settings("right.ini", &text);
    let output = run(&["--settings", path.to_str().expect("text"), "--check"]);
    assert_eq!(output.status.code(), Some(0));
}

#[test]
fn one_signal_ends_the_process_gracefully() {
    let (text, port) = entry_settings("0 ms");
    let path = write_settings("one-signal.ini", &text);
    let mut child = start(path.to_str().expect("text"));
    wait_for_stage(port, "Serving");
    terminate(&child);
    assert_eq!(child.wait().expect("an end").code(), Some(0));
}

// The drain delay is an hour here, which an operator must be able to cut short.
#[test]
fn a_second_signal_ends_the_process_at_once() {
    let (text, port) = entry_settings("1 h");
    let path = write_settings("two-signals.ini", &text);
    let mut child = start(path.to_str().expect("text"));
    wait_for_stage(port, "Serving");
    terminate(&child);
    wait_for_stage(port, "Notice");
    terminate(&child);
    assert_eq!(child.wait().expect("an end").code(), Some(1));
}

/// Guards against an entry or sidecar that a change of its settings file ends.
#[test]
fn a_hangup_does_not_end_the_process() {
    let (text, port) = entry_settings("0 ms");
    let path = write_settings("hangup.ini", &text);
    let mut child = start(path.to_str().expect("text"));
    wait_for_stage(port, "Serving");
    let id = child.id().to_string();
    let sent = Command::new("kill").args(["-s", "HUP", &id]).status();
    assert!(sent.expect("kill runs").success());
    std::thread::sleep(Duration::from_millis(100));
    wait_for_stage(port, "Serving");
    terminate(&child);
    assert_eq!(child.wait().expect("an end").code(), Some(0));
}
