//! Collects the body of a request in memory that is claimed as it grows.

use bytes::Bytes;

use crate::connections::{MemoryClaim, OpenConnection};

/// The smallest size of a body's buffer, in bytes.
const MIN_CAPACITY_BYTES: usize = 2_048;

/// A body that is being received.
pub(crate) struct BodyBuffer<'a> {
    bytes: Vec<u8>,
    claim: MemoryClaim<'a>,
    /// The largest size that the body may have.
    limit_bytes: usize,
}

impl<'a> BodyBuffer<'a> {
    pub(crate) fn new(connection: &'a OpenConnection, limit_bytes: usize) -> Self {
        Self {
            bytes: Vec::new(),
            claim: connection.claim(),
            limit_bytes,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Appends a part of the body; returns false if there is no memory for it.
    #[must_use]
    pub(crate) async fn append(&mut self, part: &[u8]) -> bool {
        let length = self.bytes.len() + part.len();
        if length > self.bytes.capacity() {
            let doubled = (2 * self.bytes.capacity()).max(MIN_CAPACITY_BYTES);
            let capacity = doubled.min(self.limit_bytes).max(length);
            if !self.claim.grow_to(capacity).await {
                return false;
            }
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(part);
        true
    }

    /// Returns the whole body with the claim for its memory.
    pub(crate) fn finish(self) -> (Bytes, MemoryClaim<'a>) {
        let Self {
            mut bytes,
            mut claim,
            ..
        } = self;
        bytes.shrink_to_fit();
        claim.shrink_to(bytes.capacity());
        (bytes.into(), claim)
    }
}
