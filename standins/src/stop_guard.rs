//! Stops the threads of a test when the test ends, also by a failure.

use std::sync::atomic::{AtomicBool, Ordering};

/// Sets its flag when dropped: a scope would wait for ever for threads that are not told to stop.
#[derive(Debug)]
pub struct StopGuard<'a>(pub &'a AtomicBool);

impl Drop for StopGuard<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}
