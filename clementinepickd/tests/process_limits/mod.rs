//! Tests that limits of the system and stray signals end no process.

use std::fs::{self, File};
use std::path::Path;
use std::time::{Duration, Instant};

use crate::recorded_process::{ProcessVm, RecordedProcess, StopSignal};

/// How long a process takes to serve or to log.
const PATIENCE: Duration = Duration::from_secs(20);
/// How long a process that serves is given to fail.
const TO_FAIL: Duration = Duration::from_millis(200);
/// The size of a log at which it can't grow, in KiB.
const LOG_LIMIT_KIB: u64 = 8;
/// The volume of a log.
const BURST_BYTES: u64 = 1_048_576;
const RATE_BYTES_PER_S: u64 = 32_768;
const LEFT_OUT: &str = "\"msg\":\"log_lines_left_out\"";
const LOST: &str = "\"msg\":\"log_lines_lost\"";
const IGNORED: &str = "\"msg\":\"signal_ignored\"";
const STOPPED: &str = "\"msg\":\"shutdown_finished\"";
/// The signals that nothing sends on purpose and that would end a process without a handler.
const STRAY_SIGNALS: [&str; 9] = [
    "USR1", "USR2", "ALRM", "STKFLT", "XCPU", "VTALRM", "PROF", "IO", "PWR",
];

/// Guards against a process that ends with its first line because the file of its log can't grow.
#[test]
fn a_process_serves_although_its_log_can_not_grow() {
    let vm = ProcessVm::new(20);
    for text in vm.all_roles() {
        vm.write(&text);
        let mut process = vm.start_limited_to_file("ulimit -f 0", &vm.log_file());
        wait_until_serving(&vm, &mut process.0);
    }
}

/// Guards against a process that ends once its log has reached the limit on the size of files.
#[test]
fn a_gateway_goes_on_with_a_full_log_and_logs_again_once_there_is_room() {
    let vm = ProcessVm::new(21);
    vm.write(&vm.gateway());
    let log = vm.log_file();
    let mut process = vm.start_limited_to_file(&format!("ulimit -f {LOG_LIMIT_KIB}"), &log);
    wait_until_serving(&vm, &mut process.0);
    wait_until(&mut process.0, || {
        vm.is_serving() && size(&log) == LOG_LIMIT_KIB * 1_024
    });
    wait_until_serving(&vm, &mut process.0);
    let emptied = File::options().write(true).open(&log).expect("a file");
    emptied.set_len(0).expect("a file");
    wait_until(&mut process.0, || {
        vm.is_serving() && read(&log).contains(LOST)
    });
}

/// Guards against a process that ends by a signal which has no meaning for it, without a line in its log.
#[test]
fn stray_signals_are_logged_and_end_no_process() {
    let vm = ProcessVm::new(22);
    for text in vm.all_roles() {
        vm.write(&text);
        let log = vm.log_file();
        let mut process = vm.start_limited_to_file(":", &log);
        wait_until_serving(&vm, &mut process.0);
        for name in STRAY_SIGNALS {
            process.0.send_named(name);
            let field = format!("\"signal\":\"SIG{name}\"");
            wait_until(&mut process.0, || {
                let text = read(&log);
                let mut lines = text.lines();
                lines.any(|line| line.contains(IGNORED) && line.contains(&field))
            });
        }
        process.0.send_named("XFSZ");
        wait_until_serving(&vm, &mut process.0);
    }
}

/// Guards against a process that is interrupted at a terminal and leaves its callers without answers.
#[test]
fn a_quit_signal_stops_a_process_like_a_termination() {
    let vm = ProcessVm::new(23);
    for text in vm.all_roles() {
        vm.write(&text);
        let mut process = vm.start();
        process.wait_until_handling(StopSignal::Terminate);
        process.send_named("QUIT");
        let recorded = process.recorded_after(PATIENCE);
        assert_eq!(recorded.end.code(), Some(0), "{recorded:?}");
        assert!(recorded.last_line().contains(STOPPED), "{recorded:?}");
    }
}

/// Guards against a log whose volume follows the load, and against a flood that hides how the process ends.
#[test]
fn a_flood_of_failing_requests_is_logged_within_the_volume() {
    const REQUESTS: usize = 6_000;
    let vm = ProcessVm::new(24);
    // The last connection may still be open at the stop, which then waits for the whole notice.
    vm.write(&vm.gateway().replace("notice = 1 h", "notice = 1 s"));
    let log = vm.log_file();
    let started = Instant::now();
    let mut process = vm.start_limited_to_file(":", &log);
    wait_until_serving(&vm, &mut process.0);
    for _ in 0..REQUESTS {
        assert!(vm.is_serving());
    }
    process.0.send(StopSignal::Terminate);
    let end = process.0.wait_for_end(PATIENCE);
    assert!(end.is_some_and(|end| end.success()), "{end:?}");
    let limit = BURST_BYTES + RATE_BYTES_PER_S * (1 + started.elapsed().as_secs());
    assert!(size(&log) <= limit, "{} bytes", size(&log));
    let text = read(&log);
    assert!(
        text.contains(LEFT_OUT),
        "no line says that others are missing"
    );
    assert!(
        text.lines()
            .last()
            .is_some_and(|line| line.contains(STOPPED))
    );
}

/// Waits until a process serves, and checks that it does not end soon after.
fn wait_until_serving(vm: &ProcessVm, process: &mut RecordedProcess) {
    wait_until(process, || vm.is_serving());
    assert_eq!(process.wait_for_end(TO_FAIL), None, "it ended by itself");
}

/// Waits until `holds`, and panics if the process ends before or takes too long.
fn wait_until(process: &mut RecordedProcess, holds: impl Fn() -> bool) {
    let started = Instant::now();
    while !holds() {
        let end = process.wait_for_end(Duration::from_millis(5));
        assert_eq!(end, None, "it ended by itself");
        assert!(started.elapsed() < PATIENCE, "not in time");
    }
}

fn size(path: &Path) -> u64 {
    fs::metadata(path).expect("a file").len()
}

fn read(path: &Path) -> String {
    fs::read_to_string(path).expect("a text")
}
