//! Divides a limit of memory between buffers that grow while bytes arrive.
//!
//! ```
//! use clementinepick::memory_pool::MemoryPool;
//! use clementinepick::units::Bytes;
//!
//! let mut pool = MemoryPool::new(Bytes(100));
//! assert!(pool.resize(Bytes(0), Bytes(50)));
//! assert!(!pool.resize(Bytes(50), Bytes(51)));
//! assert!(pool.resize(Bytes(0), Bytes(25)));
//! ```

use crate::units::Bytes;

/// A limit of memory and how much of it is in use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryPool {
    limit: Bytes,
    used: Bytes,
}

impl MemoryPool {
    /// Creates a pool of which nothing is in use.
    #[must_use]
    pub const fn new(limit: Bytes) -> Self {
        Self {
            limit,
            used: Bytes(0),
        }
    }

    /// Returns how much is in use.
    #[must_use]
    pub const fn used(&self) -> Bytes {
        self.used
    }

    /// Changes the size of one buffer from `old` to `new`; returns false, and changes nothing, if it may
    /// not grow that far.
    ///
    /// A buffer may be as large as what it leaves free. The more buffers grow, the less each may hold,
    /// and a new one always finds room: large buffers reach their limit before small ones.
    pub fn resize(&mut self, old: Bytes, new: Bytes) -> bool {
        let used = self.used.0.saturating_sub(old.0).saturating_add(new.0);
        let may_grow = new.0 <= self.limit.0.saturating_sub(used);
        if new > old && !may_grow {
            return false;
        }
        self.used = Bytes(used);
        true
    }
}
