//! Runs the thread that follows the store, and starts its work again if it panics.

use std::io;
use std::net::SocketAddr;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::{Arc, mpsc};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use actix_rt::{Runtime, System, SystemRunner};
use slog::Logger;
use tokio::sync::watch;

use crate::directory::{Directory, Identity, follow};
use crate::gateway_metrics::GatewayMetrics;
use crate::list_refresh::RefreshReceiver;
use crate::loop_monitor::LoopMonitor;
use crate::store::StoreClient;
use crate::supervised_tasks::{TaskSupervisor, message};

/// The name of the thread.
pub(crate) const DIRECTORY_THREAD: &str = "directory";
/// The name of the work in logs and metrics.
const TASK: &str = "directory_thread";
/// How often it is checked during a pause whether the process ends.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Returns a new event loop for this thread.
pub(crate) fn new_system() -> io::Result<SystemRunner> {
    let runtime = Runtime::new()?;
    Ok(System::with_tokio_rt(|| runtime))
}

/// What the thread needs.
pub(crate) struct DirectoryThread {
    pub(crate) identity: Identity,
    /// Peers from the settings.
    pub(crate) seeds: Vec<SocketAddr>,
    /// The address of the store.
    pub(crate) store: SocketAddr,
    pub(crate) logger: Logger,
    pub(crate) publish: watch::Sender<Directory>,
    pub(crate) refreshes: RefreshReceiver,
    /// Becomes true when the process ends.
    pub(crate) stopped: watch::Receiver<bool>,
    pub(crate) metrics: Arc<GatewayMetrics>,
    /// Monitors the thread that serves.
    pub(crate) monitor: LoopMonitor,
}

impl DirectoryThread {
    /// Starts the thread and waits until it has an event loop.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread or its event loop can't be created.
    pub(crate) fn start(self) -> io::Result<JoinHandle<()>> {
        let (started, starting) = mpsc::channel();
        let builder = thread::Builder::new().name(DIRECTORY_THREAD.to_owned());
        let thread = builder.spawn(move || self.run(&started))?;
        match starting.recv() {
            Ok(Ok(())) => Ok(thread),
            Ok(Err(err)) => Err(err),
            Err(_) => Err(io::Error::other("the thread ended as it started")),
        }
    }

    fn run(self, started: &mpsc::Sender<io::Result<()>>) {
        let mut first = Some(new_system());
        if let Some(Err(err)) = first {
            // The receiver waits for this report.
            let _ = started.send(Err(err));
            return;
        }
        let _ = started.send(Ok(()));
        let stopped = self.stopped.clone();
        let tasks = TaskSupervisor::new(self.logger.clone(), Arc::clone(&self.metrics));
        run_until_stopped(&tasks, &stopped, || {
            let system = first.take().unwrap_or_else(new_system)?;
            system.block_on(async {
                tokio::select! {
                    () = self.follow(&tasks) => {}
                    never = self.monitor.run() => match never {},
                }
            });
            Ok(())
        });
    }

    async fn follow(&self, tasks: &TaskSupervisor) {
        let store = StoreClient::new(self.store, Arc::clone(&self.metrics));
        Box::pin(follow(
            self.identity.clone(),
            self.seeds.clone(),
            store,
            tasks,
            self.publish.clone(),
            self.refreshes.clone(),
            self.stopped.clone(),
        ))
        .await;
    }
}

/// Calls `run` again after a failure or a panic, until it succeeds or the process is stopped.
fn run_until_stopped(
    tasks: &TaskSupervisor,
    stopped: &watch::Receiver<bool>,
    mut run: impl FnMut() -> io::Result<()>,
) {
    loop {
        let detail = match catch_unwind(AssertUnwindSafe(&mut run)) {
            Ok(Ok(())) => return,
            Ok(Err(err)) => err.to_string(),
            Err(panic) => message(&*panic),
        };
        let now = Instant::now();
        let restart_at = now + tasks.record_end(TASK, &detail, now);
        while Instant::now() < restart_at && !*stopped.borrow() {
            thread::sleep(STOP_CHECK_INTERVAL);
        }
        if *stopped.borrow() {
            return;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SHORTLY: Duration = Duration::from_millis(200);

    fn supervisor() -> (TaskSupervisor, Arc<GatewayMetrics>) {
        let metrics = Arc::new(GatewayMetrics::new().expect("a recorder"));
        let logger = Logger::root(slog::Discard, slog::o!());
        (TaskSupervisor::new(logger, Arc::clone(&metrics)), metrics)
    }

    /// Guards against a process that goes on without the thread that follows the store.
    #[test]
    fn work_that_panics_or_fails_is_started_again() {
        let (tasks, _) = supervisor();
        let (_stop, stopped) = watch::channel(false);
        let mut runs = 0;
        run_until_stopped(&tasks, &stopped, || {
            runs += 1;
            assert_ne!(runs, 1, "the first run panics");
            if runs == 2 {
                return Err(io::Error::other("the second run fails"));
            }
            Ok(())
        });
        assert_eq!(runs, 3);
    }

    /// Guards against a process that does not end because its thread is started again.
    #[test]
    fn work_is_not_started_again_when_the_process_ends() {
        let (tasks, _) = supervisor();
        let (_stop, stopped) = watch::channel(true);
        let mut runs = 0;
        run_until_stopped(&tasks, &stopped, || {
            runs += 1;
            Err(io::Error::other("it always fails"))
        });
        assert_eq!(runs, 1);
    }

    /// Guards against a thread that panics for ever and shows it nowhere but in the log.
    #[test]
    fn panics_in_a_row_are_counted_and_paced() {
        let (tasks, metrics) = supervisor();
        let (stop, stopped) = watch::channel(false);
        let mut starts = Vec::new();
        run_until_stopped(&tasks, &stopped, || {
            starts.push(Instant::now());
            if starts.len() == 7 {
                stop.send_replace(true);
            }
            panic!("it always panics");
        });
        let pauses: Vec<Duration> = starts.windows(2).map(|pair| pair[1] - pair[0]).collect();
        assert!(pauses[5] >= Duration::from_millis(320), "{pauses:?}");
        let counted = "clementinepick_task_panics_total{task=\"directory_thread\"} 7";
        assert!(metrics.text().contains(counted), "{}", metrics.text());
    }

    /// Guards against a process that ends late because its thread pauses.
    #[test]
    fn a_pause_ends_when_the_process_ends() {
        let (tasks, _) = supervisor();
        let now = Instant::now();
        while tasks.record_end(TASK, "panic", now) < Duration::from_secs(5) {}
        let (stop, stopped) = watch::channel(false);
        let stopping = thread::spawn(move || {
            thread::sleep(SHORTLY);
            stop.send_replace(true);
        });
        run_until_stopped(&tasks, &stopped, || {
            Err(io::Error::other("it always fails"))
        });
        assert!(now.elapsed() < Duration::from_secs(4));
        stopping.join().expect("a thread");
    }
}
