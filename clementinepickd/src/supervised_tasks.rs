//! Runs the background tasks of a thread: reports a panic or an unexpected end, and starts the work again.

use std::any::Any;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::time::{Duration, Instant};

use actix_rt::time::sleep;
use clementinepick::event::{Event, EventKind};
use futures_util::FutureExt;
use slog::Logger;
use tokio::task::JoinError;

use crate::gateway_metrics::GatewayMetrics;
use crate::logging::write_event;
use crate::process_log::caught_message;
use crate::restart_pacing::RestartPacing;

/// How often a part of a task's work is begun at most.
const MAX_TRIES: u32 = 3;
/// The pause after its first panic; it doubles with each further one.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Whether a task may return.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Completion {
    Expected,
    Unexpected,
}

/// Supervises the tasks of one thread.
pub(crate) struct TaskSupervisor {
    logger: Logger,
    metrics: Arc<GatewayMetrics>,
    pacing: RefCell<BTreeMap<&'static str, RestartPacing>>,
}

impl TaskSupervisor {
    pub(crate) fn new(logger: Logger, metrics: Arc<GatewayMetrics>) -> Self {
        Self {
            logger,
            metrics,
            pacing: RefCell::default(),
        }
    }

    pub(crate) fn logger(&self) -> &Logger {
        &self.logger
    }

    /// Starts `work` again whenever it panics or returns, until dropped.
    ///
    /// What `work` borrows, such as the receiver of a queue, lasts from one start to the next.
    pub(crate) async fn keep_running(&self, task: &'static str, work: impl AsyncFnMut()) {
        self.run(task, Completion::Unexpected, work).await;
    }

    /// Starts `work` again whenever it panics, until it returns.
    pub(crate) async fn run_to_end(&self, task: &'static str, work: impl AsyncFnMut()) {
        self.run(task, Completion::Expected, work).await;
    }

    async fn run(&self, task: &'static str, completion: Completion, mut work: impl AsyncFnMut()) {
        loop {
            let detail = match (catch(task, work()).await, completion) {
                (Ok(()), Completion::Expected) => return,
                (Ok(()), Completion::Unexpected) => "the task returned".to_owned(),
                (Err(panic), _) => panic,
            };
            let pause = self.record_end(task, &detail, Instant::now());
            sleep(pause).await;
        }
    }

    /// Reports the end of a task and returns the pause until its work is started again.
    pub(crate) fn record_end(&self, task: &'static str, detail: &str, now: Instant) -> Duration {
        let pause = self
            .pacing
            .borrow_mut()
            .entry(task)
            .or_default()
            .record_end(now);
        self.metrics.count_task_panic(task);
        let event = Event::new(EventKind::TaskRestarted)
            .with("task", task)
            .with("detail", detail)
            .with("pause_ms", pause.as_millis());
        write_event(&self.logger, &event);
        pause
    }

    /// Returns whether a task has ended several times in a row and has not run for long since.
    pub(crate) fn is_failing(&self, task: &str, now: Instant) -> bool {
        let pacing = self.pacing.borrow();
        pacing
            .get(task)
            .is_some_and(|pacing| pacing.is_failing(now))
    }

    /// Returns the tasks that have.
    pub(crate) fn failing(&self, now: Instant) -> Vec<&'static str> {
        let pacing = self.pacing.borrow();
        let failing = pacing.iter().filter(|(_, pacing)| pacing.is_failing(now));
        failing.map(|(task, _)| *task).collect()
    }

    /// Runs a part of a task's work; reports its panic and returns `None` then.
    pub(crate) async fn contain<T>(
        &self,
        task: &'static str,
        work: impl Future<Output = T>,
    ) -> Option<T> {
        match catch(task, work).await {
            Ok(output) => Some(output),
            Err(detail) => {
                self.record_panic(task, &detail);
                None
            }
        }
    }

    /// Runs a part of a task's work like [`Self::contain`], a few times if it panics.
    pub(crate) async fn retry<T>(
        &self,
        task: &'static str,
        mut work: impl AsyncFnMut() -> T,
    ) -> Option<T> {
        let mut pause = RETRY_PAUSE;
        for _ in 1..MAX_TRIES {
            if let Some(output) = self.contain(task, work()).await {
                return Some(output);
            }
            sleep(pause).await;
            pause *= 2;
        }
        self.contain(task, work()).await
    }

    /// Returns the output of a joined part of a task's work; reports its panic and returns `None` then.
    pub(crate) fn joined<T>(&self, task: &'static str, ended: Result<T, JoinError>) -> Option<T> {
        match ended {
            Ok(output) => Some(output),
            Err(err) => {
                self.record_panic(task, &err.to_string());
                None
            }
        }
    }

    fn record_panic(&self, task: &'static str, detail: &str) {
        self.metrics.count_task_panic(task);
        let event = Event::new(EventKind::InvariantBroken)
            .with("task", task)
            .with("detail", detail);
        write_event(&self.logger, &event);
    }
}

/// Runs work until it completes or panics; returns what the panic says then.
pub(crate) async fn catch<T>(
    task: &'static str,
    work: impl Future<Output = T>,
) -> Result<T, String> {
    // What the work shares stays consistent: guards are dropped as it unwinds.
    let caught = AssertUnwindSafe(with_injected_panics(task, work)).catch_unwind();
    caught.await.map_err(|panic| message(&*panic))
}

#[cfg(not(test))]
async fn with_injected_panics<T>(_task: &'static str, work: impl Future<Output = T>) -> T {
    work.await
}

#[cfg(test)]
async fn with_injected_panics<T>(task: &'static str, work: impl Future<Output = T>) -> T {
    crate::injected_panics::run(task, work).await
}

/// Returns what a panic says.
pub(crate) fn message(panic: &(dyn Any + Send)) -> String {
    format!("panic: {}", caught_message(panic))
}

#[cfg(test)]
mod tests {
    use std::cell::Cell;

    use actix_rt::System;
    use actix_rt::time::timeout;
    use tokio::sync::mpsc;

    use super::*;

    const WAIT: Duration = Duration::from_secs(5);

    fn supervisor() -> TaskSupervisor {
        let metrics = Arc::new(GatewayMetrics::new().expect("a recorder"));
        TaskSupervisor::new(Logger::root(slog::Discard, slog::o!()), metrics)
    }

    /// Guards against what is queued getting lost with the task that panicked.
    #[test]
    fn a_restarted_task_goes_on_with_its_queue() {
        let (sender, mut queue) = mpsc::unbounded_channel();
        let (taken, mut took) = mpsc::unbounded_channel();
        for number in 0..3 {
            sender.send(number).expect("a receiver");
        }
        System::new().block_on(async {
            let supervisor = supervisor();
            let work = async || {
                while let Some(number) = queue.recv().await {
                    assert_ne!(number, 1, "the second one panics");
                    taken.send(number).expect("a receiver");
                }
            };
            let taken = async { (took.recv().await, took.recv().await) };
            tokio::select! {
                () = supervisor.keep_running("queue", work) => unreachable!("it never ends"),
                taken = timeout(WAIT, taken) => assert_eq!(taken, Ok((Some(0), Some(2)))),
            }
        });
    }

    /// Guards against a restarted task that panics for good at what its predecessor had borrowed.
    #[test]
    fn a_restarted_task_finds_no_borrow_held() {
        let state = RefCell::new(0);
        let work = async || {
            let mut count = state.borrow_mut();
            *count += 1;
            assert!(*count > 2, "the first two panic");
        };
        System::new().block_on(async {
            let ended = timeout(WAIT, supervisor().run_to_end("borrow", work)).await;
            assert!(ended.is_ok());
        });
        assert_eq!(state.into_inner(), 3);
    }

    /// Guards against a task that returns and is missed by nobody.
    #[test]
    fn a_task_that_must_not_return_is_started_again() {
        let runs = Cell::new(0);
        let supervisor = supervisor();
        System::new().block_on(async {
            let work = async || runs.set(runs.get() + 1);
            let restarts = async {
                while runs.get() < 3 {
                    sleep(Duration::from_millis(1)).await;
                }
            };
            tokio::select! {
                () = supervisor.keep_running("returns", work) => unreachable!("it never ends"),
                restarted = timeout(WAIT, restarts) => assert!(restarted.is_ok()),
            }
        });
    }

    /// Guards against a part of the work that panics each time and is begun for ever.
    #[test]
    fn a_part_of_the_work_is_given_up_after_a_few_tries() {
        let tries = Cell::new(0);
        System::new().block_on(async {
            let work = async || {
                tries.set(tries.get() + 1);
                panic!("it always panics");
            };
            let output: Option<()> = supervisor().retry("part", work).await;
            assert_eq!(output, None);
        });
        assert_eq!(tries.get(), MAX_TRIES);
    }

    #[test]
    fn a_task_that_panics_again_and_again_counts_as_failing() {
        let supervisor = supervisor();
        let now = Instant::now();
        for _ in 0..4 {
            assert!(!supervisor.is_failing("accept", now));
            supervisor.record_end("accept", "panic", now);
        }
        assert!(supervisor.is_failing("accept", now));
        assert_eq!(supervisor.failing(now), ["accept"]);
    }
}
