//! Limits the memory of all responses of backend servers together.

use std::cell::RefCell;

use clementinepick::memory_pool::MemoryPool;
use clementinepick::units::Bytes;

/// The memory that responses share.
pub(crate) struct ResponseMemory(RefCell<MemoryPool>);

impl ResponseMemory {
    pub(crate) fn new(limit_bytes: usize) -> Self {
        Self(RefCell::new(MemoryPool::new(to_bytes(limit_bytes))))
    }

    /// Returns how much is in use.
    pub(crate) fn used(&self) -> Bytes {
        self.0.borrow().used()
    }

    /// Returns an empty part, for one response.
    pub(crate) fn part(&self) -> MemoryPart<'_> {
        MemoryPart {
            memory: self,
            size: Bytes(0),
        }
    }
}

/// The memory of one response, which is free again once this is dropped.
pub(crate) struct MemoryPart<'a> {
    memory: &'a ResponseMemory,
    size: Bytes,
}

impl MemoryPart<'_> {
    /// Changes the size; returns false if the response may not become that large.
    #[must_use]
    pub(crate) fn resize(&mut self, bytes: usize) -> bool {
        let new = to_bytes(bytes);
        let is_resized = self.memory.0.borrow_mut().resize(self.size, new);
        if is_resized {
            self.size = new;
        }
        is_resized
    }
}

impl Drop for MemoryPart<'_> {
    fn drop(&mut self) {
        // A part that shrinks is never refused.
        let _ = self.resize(0);
    }
}

fn to_bytes(bytes: usize) -> Bytes {
    Bytes(u64::try_from(bytes).unwrap_or(u64::MAX))
}
