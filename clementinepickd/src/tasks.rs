//! The tasks of one thread, which joins them all.

use actix_rt::task::JoinHandle;

/// How many tasks may end before their handles are looked at.
const SWEEP_EVERY: usize = 64;

/// Tasks that were spawned here and are joined here.
#[derive(Debug, Default)]
pub(crate) struct Tasks {
    handles: Vec<JoinHandle<()>>,
    since_sweep: usize,
}

impl Tasks {
    /// Spawns a task.
    pub(crate) fn spawn(&mut self, work: impl Future<Output = ()> + 'static) {
        self.since_sweep += 1;
        if self.since_sweep >= SWEEP_EVERY {
            self.since_sweep = 0;
            self.handles.retain(|handle| !handle.is_finished());
        }
        self.handles.push(actix_rt::spawn(work));
    }

    /// Waits for all.
    pub(crate) async fn join(self) {
        for handle in self.handles {
            let _ = handle.await;
        }
    }
}
