//! Ownership of partitions: claims, take-overs, hand-overs.

mod common;

use common::{World, chat, post};

#[test]
fn a_call_is_answered_whichever_entry_it_comes_in_at() {
    let mut world = World::new(3, 2, 1);
    let ids = ["e0", "e1", "e2"].map(|e| world.call(e, chat(&format!("p-{e}"), &["hi"])));
    for id in ids {
        let answer = world.wait(id);
        assert_eq!((answer.code(), answer.text.as_str()), ("done", "re: hi"));
    }
    let id = world.call("e1", post("q", "/hold", "seat 7"));
    let answer = world.wait(id);
    assert_eq!(answer.plain.expect("a body").body, b"/hold run 1");
}
