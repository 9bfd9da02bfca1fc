//! Tracks the tasks spawned by one thread of an entry or a sidecar so that it can join them, and reports
//! their panics to the control thread.

use std::time::Instant;

use actix_rt::task::JoinHandle;
use actix_rt::time::sleep;
use clementinepick::event::{Event, EventKind};

use crate::control_messages::{ControlInput, ControlSender};
use crate::restart_pacing::RestartPacing;
use crate::supervised_tasks::catch;

/// The number of spawned tasks after which handles of finished ones are dropped.
const CLEANUP_INTERVAL: usize = 64;

/// A set of tasks that is joined as a whole.
#[derive(Debug)]
pub(crate) struct Tasks {
    control: ControlSender,
    handles: Vec<JoinHandle<()>>,
    spawned_since_cleanup: usize,
}

impl Tasks {
    /// Creates an empty set whose panics are reported to the control thread.
    pub(crate) fn new(control: ControlSender) -> Self {
        Self {
            control,
            handles: Vec::new(),
            spawned_since_cleanup: 0,
        }
    }

    /// Spawns a task on the current thread and adds it to the set.
    pub(crate) fn spawn(&mut self, name: &'static str, task: impl Future<Output = ()> + 'static) {
        self.spawned_since_cleanup += 1;
        if self.spawned_since_cleanup >= CLEANUP_INTERVAL {
            self.spawned_since_cleanup = 0;
            self.handles.retain(|handle| !handle.is_finished());
        }
        let control = self.control.clone();
        self.handles.push(actix_rt::spawn(async move {
            contain(&control, name, task).await;
        }));
    }

    /// Waits for all tasks to end.
    pub(crate) async fn join(self) {
        for handle in self.handles {
            // Panics are contained, and nothing aborts these tasks.
            let _ = handle.await;
        }
    }
}

/// Runs a task or a part of it; reports its panic and returns `None` then.
pub(crate) async fn contain<T>(
    control: &ControlSender,
    name: &'static str,
    work: impl Future<Output = T>,
) -> Option<T> {
    match catch(name, work).await {
        Ok(output) => Some(output),
        Err(detail) => {
            let event = Event::new(EventKind::InvariantBroken).with("task", name);
            let event = event.with("detail", detail);
            control.send(ControlInput::Event(event)).await;
            None
        }
    }
}

/// Runs a task to its end; reports each panic and starts it again after a pause.
pub(crate) async fn run_to_end(
    control: &ControlSender,
    name: &'static str,
    mut work: impl AsyncFnMut(),
) {
    let mut pacing = RestartPacing::default();
    while let Err(detail) = catch(name, work()).await {
        let pause = pacing.record_end(Instant::now());
        let event = Event::new(EventKind::TaskRestarted)
            .with("task", name)
            .with("detail", detail)
            .with("pause_ms", pause.as_millis());
        control.send(ControlInput::Event(event)).await;
        sleep(pause).await;
    }
}
