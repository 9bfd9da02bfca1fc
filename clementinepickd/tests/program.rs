//! The program itself: its exit codes and its signals.

mod exchange;

use std::fs;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::{Child, Command, Output};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

use exchange::{PATIENCE, get};

/// A settings file in the directory of this build's tests.
fn settings(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).expect("a file");
    path
}

/// The ports that the tests try, below those that the system hands out by itself.
///
/// A port that the system hands out can come back as the local end of the next connection. A test
/// that asks again and again whether its program listens then reaches itself, reads back its own
/// request, and keeps the program from the port.
const PORTS: std::ops::Range<u16> = 20_000..32_000;

/// The next port that a test of this run tries.
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

fn entry(notice: &str) -> (String, u16) {
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

/// Waits until the process is in a stage of its life.
fn wait_for_stage(port: u16, stage: &str) {
    let address = ([127, 0, 0, 1], port).into();
    let started = Instant::now();
    loop {
        assert!(started.elapsed() < PATIENCE, "never {stage}");
        let listens = std::net::TcpStream::connect(address).is_ok();
        if listens && get(address, "/debug/dump").contains(&format!("\"stage\":\"{stage}")) {
            return;
        }
        std::thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn wrong_settings_exit_with_2_and_name_the_key() {
    let (text, _) = entry("soon");
    let path = settings("wrong.ini", &text);
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
fn right_settings_are_checked_without_a_start() {
    let (text, _) = entry("1 s");
    let path = settings("right.ini", &text);
    let output = run(&["--settings", path.to_str().expect("text"), "--check"]);
    assert_eq!(output.status.code(), Some(0));
}

#[test]
fn one_signal_ends_it_gracefully() {
    let (text, port) = entry("0 ms");
    let path = settings("one-signal.ini", &text);
    let mut child = start(path.to_str().expect("text"));
    wait_for_stage(port, "Serving");
    terminate(&child);
    assert_eq!(child.wait().expect("an end").code(), Some(0));
}

// The operator does not want to wait for the notice, which is an hour here.
#[test]
fn a_second_signal_ends_it_at_once() {
    let (text, port) = entry("1 h");
    let path = settings("two-signals.ini", &text);
    let mut child = start(path.to_str().expect("text"));
    wait_for_stage(port, "Serving");
    terminate(&child);
    wait_for_stage(port, "Notice");
    terminate(&child);
    assert_eq!(child.wait().expect("an end").code(), Some(1));
}
