//! Chains of turns: what an engine is given, and when a chain is written whole.

use std::sync::Arc;

use bytes::Bytes;
use clementinepick::record_expiry::RETENTION_FACTOR;
use clementinepick::turn_chain::{Turn, TurnRecord, build_prompt, needs_whole_chain};

fn turn(id: &str, parent: Option<Arc<Turn>>, recorded_unix_ms: u64) -> Arc<Turn> {
    Arc::new(Turn {
        id: id.to_owned(),
        parent,
        server: Some("e-1".to_owned()),
        input: Bytes::from(format!("<{id}>")),
        output: Bytes::from(format!("{id}-out\n")),
        recorded_unix_ms,
    })
}

#[test]
fn a_prompt_has_all_inputs_and_outputs_in_order() {
    let first = turn("a", None, 0);
    let second = turn("b", Some(Arc::clone(&first)), 1);
    let other = turn("c", Some(first), 2);
    let input = Bytes::from("new");
    assert_eq!(build_prompt(None, &input), "new");
    assert_eq!(
        build_prompt(Some(&second), &input),
        "<a>a-out\n<b>b-out\nnew"
    );
    assert_eq!(
        build_prompt(Some(&other), &input),
        "<a>a-out\n<c>c-out\nnew"
    );
}

#[test]
fn a_record_reads_back_as_it_was_written() {
    let first = turn("a", None, 5);
    let second = turn("b", Some(Arc::clone(&first)), 6);
    let record = TurnRecord::of(&second, 60_000);
    assert_eq!(record.parent.as_deref(), Some("a"));
    let mut bytes = Vec::new();
    ciborium::into_writer(&record, &mut bytes).expect("CBOR");
    let read: TurnRecord = ciborium::from_reader(&*bytes).expect("a record");
    assert_eq!(read, record);
    let again = read.into_turn("b".to_owned(), Some(first)).expect("a turn");
    assert_eq!(
        (
            again.input,
            again.output,
            again.server,
            again.recorded_unix_ms
        ),
        (
            second.input.clone(),
            second.output.clone(),
            second.server.clone(),
            6
        )
    );
}

#[test]
fn a_record_whose_lengths_contradict_each_other_is_refused() {
    let mut record = TurnRecord::of(&turn("a", None, 5), 60_000);
    record.input_bytes = record.body.len() + 1;
    assert!(record.into_turn("a".to_owned(), None).is_err());
}

/// A conversation goes on for hours with pauses shorter than its retention. Its first record is
/// dropped after three retentions; so before that a turn is written with all before it, and from
/// then on the chain needs no older record.
#[test]
fn a_long_conversation_never_needs_a_dropped_record() {
    const RETAIN_MS: u64 = 60_000;
    let mut last = turn("t0", None, 0);
    for number in 1..200 {
        let now = number * 50_000;
        let oldest = last.oldest_unix_ms();
        assert!(
            now < oldest + RETENTION_FACTOR * RETAIN_MS,
            "the record of {oldest} ms is gone at {now} ms"
        );
        let parent = Some(Arc::clone(&last));
        let whole = needs_whole_chain(&last, now, RETAIN_MS);
        let parent = if whole { None } else { parent };
        last = turn(&format!("t{number}"), parent, now);
    }
}
