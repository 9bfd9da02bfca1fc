//! Counts the memory of texts that several owners share, once for each text while any owner is left.
//!
//! ```
//! use clementinepick::text_memory::TextMemory;
//! use clementinepick::units::Bytes;
//!
//! let memory = TextMemory::default();
//! let held = memory.hold(Bytes(100));
//! assert_eq!(memory.used(), Bytes(100));
//! drop(held);
//! assert_eq!(memory.used(), Bytes(0));
//! ```

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use crate::units::Bytes;

/// How much memory texts take.
#[derive(Debug, Clone, Default)]
pub struct TextMemory {
    used_bytes: Arc<AtomicU64>,
}

impl TextMemory {
    /// Returns how much all texts take.
    #[must_use]
    pub fn used(&self) -> Bytes {
        Bytes(self.used_bytes.load(Ordering::Relaxed))
    }

    /// Counts a text until the returned guard is dropped.
    #[must_use]
    pub fn hold(&self, size: Bytes) -> HeldText {
        self.used_bytes.fetch_add(size.0, Ordering::Relaxed);
        HeldText {
            memory: self.clone(),
            size,
        }
    }
}

/// A text that counts until this is dropped; the default is one that does not.
#[derive(Debug, Default)]
pub struct HeldText {
    memory: TextMemory,
    size: Bytes,
}

impl Drop for HeldText {
    fn drop(&mut self) {
        self.memory
            .used_bytes
            .fetch_sub(self.size.0, Ordering::Relaxed);
    }
}
