//! Lets a test make the tasks of its thread panic.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

use actix_rt::time::sleep;

const CHECK_INTERVAL: Duration = Duration::from_millis(2);

thread_local! {
    static DUE: RefCell<BTreeMap<&'static str, u32>> = RefCell::default();
    static STARTS: RefCell<BTreeMap<&'static str, u32>> = RefCell::default();
}

/// Makes a task panic `count` times.
pub(crate) fn inject(task: &'static str, count: u32) {
    DUE.with_borrow_mut(|due| due.insert(task, count));
}

/// Returns how many panics of a task are yet to come.
pub(crate) fn remaining(task: &str) -> u32 {
    DUE.with_borrow(|due| due.get(task).copied().unwrap_or(0))
}

/// Returns the tasks that have been started on this thread.
pub(crate) fn started() -> Vec<&'static str> {
    STARTS.with_borrow(|starts| starts.keys().copied().collect())
}

/// Returns how often a task has been started on this thread.
pub(crate) fn starts(task: &str) -> u32 {
    STARTS.with_borrow(|starts| starts.get(task).copied().unwrap_or(0))
}

/// Runs a task's work until it completes or a panic is injected.
pub(crate) async fn run<T>(task: &'static str, work: impl Future<Output = T>) -> T {
    STARTS.with_borrow_mut(|starts| *starts.entry(task).or_default() += 1);
    tokio::select! {
        biased;
        () = wait_until_due(task) => panic!("injected into {task}"),
        output = work => output,
    }
}

async fn wait_until_due(task: &str) {
    while !take(task) {
        sleep(CHECK_INTERVAL).await;
    }
}

fn take(task: &str) -> bool {
    DUE.with_borrow_mut(|due| {
        let left = due.get_mut(task).filter(|left| **left > 0);
        left.map(|left| *left -= 1).is_some()
    })
}
