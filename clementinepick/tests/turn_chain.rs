//! Tests prompts and records of turn chains, and when a whole chain is recorded again.

use std::sync::Arc;

use bytes::Bytes;
use clementinepick::record_expiry::is_expired;
use clementinepick::text_memory::HeldText;
use clementinepick::turn_chain::{
    SEGMENT_TURNS, Turn, TurnRecord, build_prompt, needs_whole_chain, record_retention_ms,
};

/// The retention of turns in milliseconds, unless a test says otherwise.
const RETAIN_MS: u64 = 60_000;

fn turn(id: &str, parent: Option<Arc<Turn>>, recorded_unix_ms: u64) -> Arc<Turn> {
    retained_turn(id, parent, recorded_unix_ms, RETAIN_MS)
}

fn retained_turn(
    id: &str,
    parent: Option<Arc<Turn>>,
    recorded_unix_ms: u64,
    retain_ms: u64,
) -> Arc<Turn> {
    Arc::new(Turn {
        id: id.to_owned(),
        parent,
        server: Some("e-1".to_owned()),
        input: Bytes::from(format!("<{id}>")),
        output: Bytes::from(format!("{id}-out\n")),
        recorded_unix_ms,
        retain_ms,
        turns: 1,
        held: HeldText::default(),
    })
}

#[test]
fn a_prompt_contains_all_inputs_and_outputs_in_order() {
    let first = turn("a", None, 0);
    let second = turn("b", Some(Arc::clone(&first)), 1);
    let other = turn("c", Some(first), 2);
    let input = Bytes::from("new");
    assert_eq!(build_prompt(None, &input).concat(), b"new");
    assert_eq!(
        build_prompt(Some(&second), &input).concat(),
        b"<a>a-out\n<b>b-out\nnew"
    );
    assert_eq!(
        build_prompt(Some(&other), &input).concat(),
        b"<a>a-out\n<c>c-out\nnew"
    );
}

#[test]
fn a_record_round_trips() {
    let first = turn("a", None, 5);
    let second = turn("b", Some(Arc::clone(&first)), 6);
    let record = TurnRecord::of(&second);
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
            again.recorded_unix_ms,
            again.retain_ms
        ),
        (
            second.input.clone(),
            second.output.clone(),
            second.server.clone(),
            6,
            RETAIN_MS
        )
    );
}

#[test]
fn a_record_with_inconsistent_lengths_is_rejected() {
    let mut record = TurnRecord::of(&turn("a", None, 5));
    record.input_bytes = record.body.len() + 1;
    assert!(record.into_turn("a".to_owned(), None).is_err());
}

/// Records a turn that ends at `now` on a route with the retention `route_ms`.
fn record_next(id: &str, last: &Arc<Turn>, now: u64, route_ms: u64) -> Arc<Turn> {
    let retain_ms = record_retention_ms(Some(last), route_ms);
    let is_whole = needs_whole_chain(last, now, retain_ms);
    let parent = (!is_whole).then(|| Arc::clone(last));
    retained_turn(id, parent, now, retain_ms)
}

/// A conversation lasts for hours, while its first record is dropped after three retentions. Before
/// that, a turn must be recorded with its whole chain.
#[test]
fn a_long_conversation_never_needs_a_dropped_record() {
    let mut last = turn("t0", None, 0);
    for number in 1..200 {
        let now = number * 50_000;
        let kept_until = last.kept_until_unix_ms();
        assert!(now < kept_until, "a record is gone at {now} ms");
        last = record_next(&format!("t{number}"), &last, now, RETAIN_MS);
    }
}

/// Guards against a chain whose first records are dropped while its last turn is retained, since they are of
/// a route with a shorter retention.
#[test]
fn a_chain_over_two_routes_is_kept_as_long_as_its_last_turn() {
    const ROUTES_MS: [u64; 2] = [5_000, 60_000];
    for first in 0..2 {
        let mut last = retained_turn("t0", None, 0, ROUTES_MS[first]);
        for number in 1..200_u64 {
            let now = number * 4_000;
            let route_ms = ROUTES_MS[(first + usize::try_from(number / 3).expect("few")) % 2];
            last = record_next(&format!("t{number}"), &last, now, route_ms);
            let links = links(&last);
            let is_dropped = |link: &Arc<Turn>| {
                is_expired(link.recorded_unix_ms, link.retain_ms, now + route_ms)
            };
            assert!(!links.iter().any(is_dropped), "turn {number}");
        }
    }
}

/// Guards against writing a conversation in full at each turn that changes to the route with the longer
/// retention.
#[test]
fn a_conversation_that_alternates_between_routes_is_seldom_written_in_full() {
    let mut last = retained_turn("t0", None, 0, 5_000);
    let mut whole = 0;
    for number in 1..100_u64 {
        let route_ms = if number % 2 == 0 { 5_000 } else { 60_000 };
        last = record_next(&format!("t{number}"), &last, number * 1_000, route_ms);
        whole += usize::from(last.parent.is_none());
    }
    assert!(whole <= 2, "{whole} times");
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
            retain_ms: RETAIN_MS,
            turns: 1,
            held: HeldText::default(),
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
    let prompt = build_prompt(Some(&last), &Bytes::new()).concat();
    assert_eq!(prompt, texts.concat().into_bytes());
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
    let record = TurnRecord::of(&turn("a", None, 5));
    let mut bytes = Vec::new();
    ciborium::into_writer(&record, &mut bytes).expect("CBOR");
    let value: ciborium::Value = ciborium::from_reader(&*bytes).expect("a value");
    let names = value.into_map().expect("a map");
    assert!(names.iter().all(|(name, _)| name.as_text() != Some("c")));
    let read: TurnRecord = ciborium::from_reader(&*bytes).expect("a record");
    assert_eq!(read.turns, 1);
}
