//! Tests that the log of a process has its last lines.

use std::io::{self, Write};
use std::sync::{Arc, Mutex};

use clementinepick::ids::Incarnation;
use clementinepickd::process_log::ProcessLog;
use clementinepickd::settings::LogLevel;

/// Guards against a panic of a task that is only on the standard error, as are its thread and location.
#[test]
fn a_panic_of_a_task_is_in_the_log() {
    let output = Output::default();
    let vm = "vm-a".parse().expect("a valid name");
    let log = ProcessLog::open_at(|| output.clone(), LogLevel::Info, &vm, Incarnation(1));
    log.report_panics();
    let runtime = tokio::runtime::Builder::new_current_thread().build();
    let ended = runtime.expect("a runtime").block_on(async {
        let task = tokio::spawn(async { panic!("a task that panics") });
        task.await
    });
    assert!(ended.is_err());
    log.close_with(&"an error");
    let text = output.text();
    let [panic, failure] = text.lines().collect::<Vec<_>>()[..] else {
        panic!("{text}");
    };
    for part in [
        "thread_panicked",
        "a task that panics",
        "process_log.rs",
        "a_panic_of_a_task",
    ] {
        assert!(panic.contains(part), "{text}");
    }
    assert!(
        failure.contains("process_failed") && failure.contains("an error"),
        "{text}"
    );
}

/// An output that keeps what is written.
#[derive(Clone, Default)]
struct Output(Arc<Mutex<Vec<u8>>>);

impl Output {
    fn text(&self) -> String {
        let bytes = self.0.lock().expect("no writer panics").clone();
        String::from_utf8(bytes).expect("a text")
    }
}

impl Write for Output {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0
            .lock()
            .expect("no writer panics")
            .extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
