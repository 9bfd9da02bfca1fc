//! Event streams as they arrive in pieces.

use bytes::Bytes;
use clementinepick::event_stream::{EventSplitter, MAX_EVENT_BYTES};
use proptest::prelude::*;

#[test]
fn events_keep_their_bytes_and_tell_id_and_data() {
    let mut splitter = EventSplitter::default();
    splitter.push(b"weight-versions: 3\nid: 7\ndata:x\ndata: y\n\n");
    let event = splitter.next_event().expect("an event");
    assert_eq!(event.id, Some(7));
    assert_eq!(event.data, "x\ny");
    assert!(event.raw.starts_with(b"weight-versions"));
    assert!(splitter.is_empty());
}

#[test]
fn lines_may_end_with_carriage_returns() {
    let mut splitter = EventSplitter::default();
    splitter.push(b"id: 1\r\ndata: a\r\n\r\n");
    let event = splitter.next_event().expect("an event");
    assert_eq!((event.id, event.data), (Some(1), Bytes::from_static(b"a")));
}

#[test]
fn an_event_without_end_is_bounded() {
    let mut splitter = EventSplitter::default();
    splitter.push(&vec![b'x'; MAX_EVENT_BYTES + 1]);
    assert!(splitter.next_event().is_none());
    assert!(splitter.exceeds_limit());
}

proptest! {
    /// However a stream is cut into pieces, the same events come out and no byte is lost.
    #[test]
    fn pieces_make_no_difference(
        data in prop::collection::vec("[a-z ]{0,20}", 1..20),
        cuts in prop::collection::vec(1_usize..9, 1..40),
    ) {
        let events: Vec<String> = data
            .iter()
            .enumerate()
            .map(|(number, data)| format!("id: {number}\ndata: {data}\n\n"))
            .collect();
        let whole = events.concat();
        let mut splitter = EventSplitter::default();
        let mut came = Vec::new();
        let mut rest = whole.as_bytes();
        let mut cuts = cuts.iter().cycle();
        while !rest.is_empty() {
            let at = rest.len().min(*cuts.next().expect("a cut"));
            splitter.push(&rest[..at]);
            rest = &rest[at..];
            while let Some(event) = splitter.next_event() {
                came.push(event);
            }
        }
        prop_assert!(splitter.is_empty());
        let raw: Vec<&[u8]> = came.iter().map(|event| &*event.raw).collect();
        prop_assert_eq!(raw.concat(), whole.as_bytes());
        for (event, data) in came.iter().zip(&data) {
            prop_assert_eq!(&event.data, data.as_bytes());
        }
    }
}
