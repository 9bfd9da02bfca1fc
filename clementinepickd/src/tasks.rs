//! Tracks the tasks spawned by one thread so that it can join them.

use actix_rt::task::JoinHandle;

/// The number of spawned tasks after which handles of finished ones are dropped.
const CLEANUP_INTERVAL: usize = 64;

/// A set of tasks that is joined as a whole.
#[derive(Debug, Default)]
pub(crate) struct Tasks {
    handles: Vec<JoinHandle<()>>,
    spawned_since_cleanup: usize,
}

impl Tasks {
    /// Spawns a task on the current thread and adds it to the set.
    pub(crate) fn spawn(&mut self, task: impl Future<Output = ()> + 'static) {
        self.spawned_since_cleanup += 1;
        if self.spawned_since_cleanup >= CLEANUP_INTERVAL {
            self.spawned_since_cleanup = 0;
            self.handles.retain(|handle| !handle.is_finished());
        }
        self.handles.push(actix_rt::spawn(task));
    }

    /// Waits for all tasks to end.
    pub(crate) async fn join(self) {
        for handle in self.handles {
            let _ = handle.await;
        }
    }
}
