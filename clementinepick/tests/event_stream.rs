//! Tests that event streams are split correctly wherever the network splits the bytes.

use bytes::Bytes;
use clementinepick::event_stream::{EventSplitter, MAX_EVENT_BYTES};
use proptest::prelude::*;

#[test]
fn event_has_its_raw_bytes_id_and_data() {
    let mut splitter = EventSplitter::default();
    splitter.push(b"weight-versions: 3\nid: 7\ndata:x\ndata: y\n\n");
    let event = splitter.next_event().expect("an event");
    assert_eq!(event.id, Some(7));
    assert_eq!(event.data, "x\ny");
    assert!(event.raw.starts_with(b"weight-versions"));
    assert!(splitter.is_empty());
}

#[test]
fn crlf_line_endings_are_accepted() {
    let mut splitter = EventSplitter::default();
    splitter.push(b"id: 1\r\ndata: a\r\n\r\n");
    let event = splitter.next_event().expect("an event");
    assert_eq!((event.id, event.data), (Some(1), Bytes::from_static(b"a")));
}

#[test]
fn unterminated_event_exceeds_the_limit() {
    let mut splitter = EventSplitter::default();
    splitter.push(&vec![b'x'; MAX_EVENT_BYTES + 1]);
    assert!(splitter.next_event().is_none());
    assert!(splitter.exceeds_limit());
}

proptest! {
    /// The events must not depend on how the stream is split into chunks, and no byte may be lost.
    #[test]
    fn chunk_boundaries_do_not_affect_events(
        data in prop::collection::vec("[a-z ]{0,20}", 1..20),
        chunk_lengths in prop::collection::vec(1_usize..9, 1..40),
    ) {
        let events: Vec<String> = data
            .iter()
            .enumerate()
            .map(|(number, data)| format!("id: {number}\ndata: {data}\n\n"))
            .collect();
        let stream = events.concat();
        let mut splitter = EventSplitter::default();
        let mut received = Vec::new();
        let mut rest = stream.as_bytes();
        let mut chunk_lengths = chunk_lengths.iter().cycle();
        while !rest.is_empty() {
            let at = rest.len().min(*chunk_lengths.next().expect("a chunk length"));
            splitter.push(&rest[..at]);
            rest = &rest[at..];
            while let Some(event) = splitter.next_event() {
                received.push(event);
            }
        }
        prop_assert!(splitter.is_empty());
        let raw: Vec<&[u8]> = received.iter().map(|event| &*event.raw).collect();
        prop_assert_eq!(raw.concat(), stream.as_bytes());
        for (event, data) in received.iter().zip(&data) {
            prop_assert_eq!(&event.data, data.as_bytes());
        }
    }
}
