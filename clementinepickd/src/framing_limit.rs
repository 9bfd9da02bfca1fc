//! Limits the bytes of a chunked body that are not payload: sizes and extensions of chunks, and
//! trailers, which the codec reads without a limit.

/// The framing that any body of a caller or a backend server may have, in bytes.
const BASE_BYTES: usize = 16_384;
/// The framing that any body of the store or a peer may have, in bytes; these send no trailers.
const BASE_BYTES_WITHOUT_TRAILERS: usize = 1_024;
/// The framing that a body may have for each byte of payload; a chunk of one byte has five bytes.
const BYTES_PER_PAYLOAD_BYTE: usize = 16;

/// Counts the framing and the payload of one body.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FramingLimit {
    may_have_trailers: bool,
    framing_bytes: usize,
    payload_bytes: usize,
}

impl Default for FramingLimit {
    fn default() -> Self {
        Self {
            may_have_trailers: true,
            framing_bytes: 0,
            payload_bytes: 0,
        }
    }
}

impl FramingLimit {
    /// Creates a limit for bodies of the store and of peers.
    pub(crate) fn without_trailers() -> Self {
        Self {
            may_have_trailers: false,
            ..Self::default()
        }
    }

    /// Begins to count for another body.
    pub(crate) fn restart(&mut self) {
        *self = Self {
            may_have_trailers: self.may_have_trailers,
            ..Self::default()
        };
    }

    /// Counts `consumed` bytes, of which `payload` are payload; returns false if the rest of the body
    /// so far is too much.
    pub(crate) fn allows(&mut self, consumed: usize, payload: usize) -> bool {
        self.framing_bytes = self
            .framing_bytes
            .saturating_add(consumed.saturating_sub(payload));
        self.payload_bytes = self.payload_bytes.saturating_add(payload);
        let allowed = self.payload_bytes.saturating_mul(BYTES_PER_PAYLOAD_BYTE);
        self.framing_bytes <= self.base_bytes().saturating_add(allowed)
    }

    fn base_bytes(&self) -> usize {
        if self.may_have_trailers {
            BASE_BYTES
        } else {
            BASE_BYTES_WITHOUT_TRAILERS
        }
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
        let limits = [
            (FramingLimit::default(), BASE_BYTES),
            (
                FramingLimit::without_trailers(),
                BASE_BYTES_WITHOUT_TRAILERS,
            ),
        ];
        for (mut limit, base_bytes) in limits {
            for _ in 0..2 {
                limit.restart();
                assert!(limit.allows(base_bytes, 0));
                assert!(!limit.allows(1, 0));
            }
        }
    }
}
