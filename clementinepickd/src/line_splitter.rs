//! Splits a byte stream into lines.

use thiserror::Error;

/// The longest line, in bytes.
const MAX_LINE_BYTES: usize = 16_000_000;

/// The unread bytes exceed the limit for a line.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the line exceeds the limit of {MAX_LINE_BYTES} bytes")]
pub(crate) struct LineTooLong;

/// Buffers the bytes of a stream and returns complete lines.
#[derive(Debug, Default)]
pub(crate) struct LineSplitter {
    bytes: Vec<u8>,
    /// The bytes before this index have been returned.
    consumed: usize,
}

impl LineSplitter {
    /// Appends bytes; fails if the unread bytes exceed the limit.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Result<(), LineTooLong> {
        self.bytes.drain(..std::mem::take(&mut self.consumed));
        self.bytes.extend_from_slice(bytes);
        if self.bytes.len() > MAX_LINE_BYTES {
            return Err(LineTooLong);
        }
        Ok(())
    }

    /// Returns the next complete line that is not empty.
    pub(crate) fn next_line(&mut self) -> Option<Vec<u8>> {
        loop {
            let rest = &self.bytes[self.consumed..];
            let end = rest.iter().position(|byte| *byte == b'\n')?;
            let line = rest[..end].to_vec();
            self.consumed += end + 1;
            if !line.trim_ascii().is_empty() {
                return Some(line);
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn lines_are_complete_wherever_the_input_is_split() {
        let text = b"one\n\ntwo\nthree";
        for cut in 0..text.len() {
            let mut lines = LineSplitter::default();
            let mut got = Vec::new();
            for part in [&text[..cut], &text[cut..]] {
                lines.push(part).expect("short");
                while let Some(line) = lines.next_line() {
                    got.push(line);
                }
            }
            assert_eq!(got, [b"one".to_vec(), b"two".to_vec()], "{cut}");
        }
    }
}
