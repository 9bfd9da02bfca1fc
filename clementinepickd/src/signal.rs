//! A condition for which tasks can wait.

use std::cell::Cell;

use tokio::sync::Notify;

/// A condition that is set, and may be cleared again.
#[derive(Debug, Default)]
pub(crate) struct Signal {
    is_set: Cell<bool>,
    changed: Notify,
}

impl Signal {
    pub(crate) fn set(&self) {
        self.is_set.set(true);
        self.changed.notify_waiters();
    }

    pub(crate) fn clear(&self) {
        self.is_set.set(false);
    }

    pub(crate) fn is_set(&self) -> bool {
        self.is_set.get()
    }

    /// Returns once the condition is set.
    pub(crate) async fn wait(&self) {
        while !self.is_set.get() {
            self.changed.notified().await;
        }
    }
}
