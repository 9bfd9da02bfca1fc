//! Splits a stream of bytes into lines.

use thiserror::Error;

/// The longest line.
const MAX_LINE_BYTES: usize = 16_000_000;

/// A line beyond the limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("a line has more than {MAX_LINE_BYTES} bytes")]
pub(crate) struct LineTooLong;

/// Bytes that came, of which whole lines are taken.
#[derive(Debug, Default)]
pub(crate) struct LineSplitter {
    bytes: Vec<u8>,
    /// The bytes before this place have been taken.
    taken: usize,
}

impl LineSplitter {
    /// Adds bytes.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Result<(), LineTooLong> {
        self.bytes.drain(..std::mem::take(&mut self.taken));
        self.bytes.extend_from_slice(bytes);
        if self.bytes.len() > MAX_LINE_BYTES {
            return Err(LineTooLong);
        }
        Ok(())
    }

    /// Takes the next line that is whole and not empty.
    pub(crate) fn next_line(&mut self) -> Option<Vec<u8>> {
        loop {
            let rest = &self.bytes[self.taken..];
            let end = rest.iter().position(|byte| *byte == b'\n')?;
            let line = rest[..end].to_vec();
            self.taken += end + 1;
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
    fn lines_come_whole_however_the_bytes_are_cut() {
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
