//! Tests prompts and records of turn chains, and when a whole chain is recorded again.

use std::sync::Arc;

use bytes::Bytes;
use clementinepick::record_expiry::RETENTION_FACTOR;
use clementinepick::turn_chain::{
    SEGMENT_TURNS, Turn, TurnRecord, build_prompt, needs_whole_chain,
};

fn turn(id: &str, parent: Option<Arc<Turn>>, recorded_unix_ms: u64) -> Arc<Turn> {
    Arc::new(Turn {
        id: id.to_owned(),
        parent,
        server: Some("e-1".to_owned()),
        input: Bytes::from(format!("<{id}>")),
        output: Bytes::from(format!("{id}-out\n")),
        recorded_unix_ms,
        turns: 1,
    })
}

#[test]
fn a_prompt_contains_all_inputs_and_outputs_in_order() {
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
fn a_record_round_trips() {
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
fn a_record_with_inconsistent_lengths_is_rejected() {
    let mut record = TurnRecord::of(&turn("a", None, 5), 60_000);
    record.input_bytes = record.body.len() + 1;
    assert!(record.into_turn("a".to_owned(), None).is_err());
}

/// A conversation lasts for hours, while its first record is dropped after three retentions. Before
/// that, a turn must be recorded with its whole chain.
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

/// Records turns one after the other, each as the next of the last one's chain.
fn converse(turns: usize, limit_bytes: usize) -> Arc<Turn> {
    let mut last: Option<Arc<Turn>> = None;
    for number in 0..turns {
        let mut next = Turn {
            id: format!("t{number}"),
            parent: last.take(),
            server: None,
            input: Bytes::from(format!("<{number}>")),
            output: Bytes::from(format!("{number}-out\n")),
            recorded_unix_ms: 0,
            turns: 1,
        };
        next.merge_segment(limit_bytes);
        last = Some(Arc::new(next));
    }
    last.expect("a turn")
}

fn links(last: &Arc<Turn>) -> Vec<Arc<Turn>> {
    std::iter::successors(Some(Arc::clone(last)), |turn| turn.parent.clone()).collect()
}

/// Each record of a chain takes a call that waits for the one before.
#[test]
fn a_long_chain_has_few_records_and_each_text_in_order() {
    const TURNS: usize = 400;
    let last = converse(TURNS, usize::MAX);
    let links = links(&last);
    assert!(
        links.len() <= TURNS / SEGMENT_TURNS + SEGMENT_TURNS,
        "{} records",
        links.len()
    );
    assert_eq!(links.iter().map(|turn| turn.turns).sum::<usize>(), TURNS);
    let texts: Vec<String> = (0..TURNS).map(|n| format!("<{n}>{n}-out\n")).collect();
    assert_eq!(build_prompt(Some(&last), &Bytes::new()), texts.concat());
}

#[test]
fn a_conversation_of_usual_length_writes_each_text_once() {
    let last = converse(SEGMENT_TURNS - 1, usize::MAX);
    assert!(links(&last).iter().all(|turn| turn.turns == 1));
}

#[test]
fn a_record_with_previous_turns_stays_within_its_limit() {
    const LIMIT_BYTES: usize = 100;
    let links = links(&converse(200, LIMIT_BYTES));
    assert!(links.iter().all(|turn| turn.own_bytes() <= LIMIT_BYTES));
}

/// Processes of an older version read and write records without the number of turns.
#[test]
fn a_record_of_one_turn_does_not_name_their_number() {
    let record = TurnRecord::of(&turn("a", None, 5), 60_000);
    let mut bytes = Vec::new();
    ciborium::into_writer(&record, &mut bytes).expect("CBOR");
    let value: ciborium::Value = ciborium::from_reader(&*bytes).expect("a value");
    let names = value.into_map().expect("a map");
    assert!(names.iter().all(|(name, _)| name.as_text() != Some("c")));
    let read: TurnRecord = ciborium::from_reader(&*bytes).expect("a record");
    assert_eq!(read.turns, 1);
}
