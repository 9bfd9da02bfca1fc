//! Cuts the body of an event stream into whole events.
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

/// The largest event that is accepted, in bytes; it bounds what one stream holds in memory.
pub const MAX_EVENT_BYTES: usize = 262_144;

/// One whole event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamEvent {
    /// The event as it came, with the blank line that ends it.
    pub raw: Bytes,
    /// Its id, if it has one that is a number.
    pub id: Option<u64>,
    /// Its data; several data lines are joined by line feeds.
    pub data: Bytes,
}

/// Collects a stream's bytes and gives out whole events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    held: BytesMut,
}

impl EventSplitter {
    /// Adds bytes as they came.
    pub fn push(&mut self, bytes: &[u8]) {
        self.held.extend_from_slice(bytes);
    }

    /// Whether no part of an event is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Whether what is held is longer than any event may be.
    #[must_use]
    pub fn exceeds_limit(&self) -> bool {
        self.held.len() > MAX_EVENT_BYTES
    }

    /// The next whole event.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let end = event_end(&self.held)?;
        let raw = self.held.split_to(end).freeze();
        let mut id = None;
        let mut data: Option<BytesMut> = None;
        for line in raw.split(|b| *b == b'\n') {
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            if let Some(value) = field(line, b"id") {
                id = std::str::from_utf8(value).ok().and_then(|v| v.parse().ok());
            } else if let Some(value) = field(line, b"data") {
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
}

/// The value of `line` if its field has this name; one space after the colon is dropped.
fn field<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let value = line.strip_prefix(name)?.strip_prefix(b":")?;
    Some(value.strip_prefix(b" ").unwrap_or(value))
}

/// The length of the first event with its blank line.
fn event_end(bytes: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (at, byte) in bytes.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line = &bytes[line_start..at];
        let is_blank = line.is_empty() || line == b"\r";
        if is_blank && line_start > 0 {
            return Some(at + 1);
        }
        line_start = at + 1;
    }
    None
}
