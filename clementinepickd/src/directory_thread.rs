//! Runs the thread that follows the store, and starts its work again if it panics.

use std::io;
use std::net::SocketAddr;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::{Arc, mpsc};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use actix_rt::{Runtime, System, SystemRunner};
use clementinepick::event::{Event, EventKind};
use slog::Logger;
use tokio::sync::watch;

use crate::directory::{Directory, Identity, follow};
use crate::gateway_metrics::GatewayMetrics;
use crate::list_refresh::RefreshReceiver;
use crate::logging::write_event;
use crate::store::StoreClient;
use crate::supervised_tasks::TaskSupervisor;

/// The pause before the work is started again.
const RESTART_PAUSE: Duration = Duration::from_millis(200);

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
}

impl DirectoryThread {
    /// Starts the thread and waits until it has an event loop.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread or its event loop can't be created.
    pub(crate) fn start(self) -> io::Result<JoinHandle<()>> {
        let (started, starting) = mpsc::channel();
        let builder = thread::Builder::new().name("directory".to_owned());
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
        run_until_stopped(&self.logger, &stopped, || {
            let system = first.take().unwrap_or_else(new_system)?;
            system.block_on(self.follow());
            Ok(())
        });
    }

    async fn follow(&self) {
        let store = StoreClient::new(self.store, Arc::clone(&self.metrics));
        let tasks = TaskSupervisor::new(self.logger.clone(), Arc::clone(&self.metrics));
        Box::pin(follow(
            self.identity.clone(),
            self.seeds.clone(),
            store,
            &tasks,
            self.publish.clone(),
            self.refreshes.clone(),
            self.stopped.clone(),
        ))
        .await;
    }
}

/// Calls `run` again after a failure or a panic, until it succeeds or the process is stopped.
fn run_until_stopped(
    logger: &Logger,
    stopped: &watch::Receiver<bool>,
    mut run: impl FnMut() -> io::Result<()>,
) {
    loop {
        let detail = match catch_unwind(AssertUnwindSafe(&mut run)) {
            Ok(Ok(())) => return,
            Ok(Err(err)) => err.to_string(),
            Err(_) => "the thread that follows the store panicked".to_owned(),
        };
        write_event(
            logger,
            &Event::new(EventKind::InvariantBroken).with("detail", detail),
        );
        thread::sleep(RESTART_PAUSE);
        if *stopped.borrow() {
            return;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a process that goes on without the thread that follows the store.
    #[test]
    fn work_that_panics_or_fails_is_started_again() {
        let logger = Logger::root(slog::Discard, slog::o!());
        let (_stop, stopped) = watch::channel(false);
        let mut runs = 0;
        run_until_stopped(&logger, &stopped, || {
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
        let logger = Logger::root(slog::Discard, slog::o!());
        let (_stop, stopped) = watch::channel(true);
        let mut runs = 0;
        run_until_stopped(&logger, &stopped, || {
            runs += 1;
            Err(io::Error::other("it always fails"))
        });
        assert_eq!(runs, 1);
    }
}
