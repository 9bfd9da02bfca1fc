//! Limits the bytes of a chunked body that are not payload: sizes and extensions of chunks, and
//! trailers, which the codec reads without a limit.

/// The framing that any body may have, in bytes.
const BASE_BYTES: usize = 16_384;
/// The framing that a body may have for each byte of payload; a chunk of one byte has five bytes.
const BYTES_PER_PAYLOAD_BYTE: usize = 16;

/// Counts the framing and the payload of one body.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct FramingLimit {
    framing_bytes: usize,
    payload_bytes: usize,
}

impl FramingLimit {
    /// Counts `consumed` bytes, of which `payload` are payload; returns false if the rest of the body
    /// so far is too much.
    pub(crate) fn allows(&mut self, consumed: usize, payload: usize) -> bool {
        self.framing_bytes = self
            .framing_bytes
            .saturating_add(consumed.saturating_sub(payload));
        self.payload_bytes = self.payload_bytes.saturating_add(payload);
        let allowed = self.payload_bytes.saturating_mul(BYTES_PER_PAYLOAD_BYTE);
        self.framing_bytes <= BASE_BYTES.saturating_add(allowed)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn small_chunks_are_allowed() {
        let mut limit = FramingLimit::default();
        assert!((0..100_000).all(|_| limit.allows(6, 1)));
    }

    #[test]
    fn framing_without_payload_is_limited() {
        let mut limit = FramingLimit::default();
        assert!(limit.allows(BASE_BYTES, 0));
        assert!(!limit.allows(1, 0));
    }
}
