//! Splits a server-sent event stream into events.
//!
//! ```
//! use bytes::Bytes;
//! use clementinepick::event_stream::EventSplitter;
//!
//! let mut splitter = EventSplitter::default();
//! splitter.push(b"id: 1\ndata: a\n\nid: 2\nda");
//! let event = splitter.next_event().unwrap();
//! assert_eq!((event.id, event.data), (Some(1), Bytes::from_static(b"a")));
//! assert!(splitter.next_event().is_none());
//! assert!(!splitter.is_empty());
//! ```

use bytes::{Bytes, BytesMut};
use memchr::memchr;

/// The maximum size of an event, in bytes; limits the memory used by one stream.
pub const MAX_EVENT_BYTES: usize = 262_144;

/// A complete event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamEvent {
    /// The bytes of the event, including the blank line that ends it.
    pub raw: Bytes,
    /// The id, if it is present and a number.
    pub id: Option<u64>,
    /// The data; multiple data lines are joined by line feeds.
    pub data: Bytes,
}

/// Buffers the bytes of a stream and splits them into events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Where the first line begins that is not known to be complete.
    line_start: usize,
    /// The bytes of the buffer that were searched for the end of an event.
    searched: usize,
}

impl EventSplitter {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the size of the buffer, in bytes.
    #[must_use]
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Returns whether the buffer is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Returns whether the buffer exceeds [`MAX_EVENT_BYTES`].
    #[must_use]
    pub fn exceeds_limit(&self) -> bool {
        self.buffer.len() > MAX_EVENT_BYTES
    }

    /// Removes and returns the next complete event.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let end = self.find_event_end()?;
        let raw = self.buffer.split_to(end).freeze();
        (self.line_start, self.searched) = (0, 0);
        let mut id = None;
        let mut data: Option<BytesMut> = None;
        for line in raw.split(|b| *b == b'\n') {
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            if let Some(value) = field_value(line, b"id") {
                id = std::str::from_utf8(value).ok().and_then(|v| v.parse().ok());
            } else if let Some(value) = field_value(line, b"data") {
                match &mut data {
                    Some(data) => {
                        data.extend_from_slice(b"\n");
                        data.extend_from_slice(value);
                    }
                    None => data = Some(BytesMut::from(value)),
                }
            }
        }
        let data = data.unwrap_or_default().freeze();
        Some(StreamEvent { raw, id, data })
    }

    /// Returns the length of the first event, including its blank line.
    fn find_event_end(&mut self) -> Option<usize> {
        while let Some(length) = memchr(b'\n', &self.buffer[self.searched..]) {
            let end = self.searched + length;
            let line = &self.buffer[self.line_start..end];
            let is_blank = line.is_empty() || line == b"\r";
            if is_blank && self.line_start > 0 {
                return Some(end + 1);
            }
            (self.line_start, self.searched) = (end + 1, end + 1);
        }
        self.searched = self.buffer.len();
        None
    }
}

/// Returns the value of `line` if its key is `name`, without one space after the colon.
fn field_value<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let value = line.strip_prefix(name)?.strip_prefix(b":")?;
    Some(value.strip_prefix(b" ").unwrap_or(value))
}
