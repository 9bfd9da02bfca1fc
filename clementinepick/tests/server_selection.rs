//! Which server gets a request, by load, by what it keeps and by its failures.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use clementinepick::server_list::BackendServer;
use clementinepick::server_selection::{Affinity, PromptPart, ServerSelector};
use clementinepick::units::{SpanUs, TimeUs};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn servers(count: usize) -> Vec<BackendServer> {
    let address: SocketAddr = "127.0.0.1:1".parse().expect("an address");
    (0..count)
        .map(|number| BackendServer {
            id: format!("e-{number}"),
            service: "models".to_owned(),
            address,
            zone: "z".to_owned(),
            slots: 64,
            is_draining: false,
            started_unix_ms: None,
        })
        .collect()
}

fn parts(line: &str, tokens: u64) -> Vec<PromptPart> {
    let part = |id: &str, tokens| PromptPart {
        id: id.to_owned(),
        tokens,
    };
    vec![part("shared", 12_600), part(line, tokens)]
}

fn affinity(parts: &[PromptPart]) -> Affinity<'_> {
    Affinity {
        parts,
        last_server: None,
    }
}

const NOW: TimeUs = TimeUs(1_000_000);

#[test]
fn plain_requests_go_where_the_load_is_least() {
    let servers = servers(3);
    let candidates: Vec<&BackendServer> = servers.iter().collect();
    let mut choice = ServerSelector::default();
    let mut counts: BTreeMap<String, u32> = BTreeMap::new();
    for _ in 0..30 {
        let chosen = choice.choose(NOW, &candidates, &[], Affinity::default());
        let id = chosen.expect("a server").id.clone();
        choice.start_request(&id, Affinity::default());
        *counts.entry(id).or_default() += 1;
    }
    assert!(counts.values().all(|count| *count == 10), "{counts:?}");
}

#[test]
fn a_line_of_turns_stays_where_it_is_kept() {
    let servers = servers(6);
    let candidates: Vec<&BackendServer> = servers.iter().collect();
    let mut choice = ServerSelector::default();
    let line = parts("line", 3_000);
    let first = choice.choose(NOW, &candidates, &[], affinity(&line));
    let first = first.expect("a server").id.clone();
    choice.start_request(&first, affinity(&line));
    for number in 0..10 {
        let other = parts(&format!("other-{number}"), 500);
        choice.start_request(&first, affinity(&other));
    }
    let next = choice.choose(NOW, &candidates, &[], affinity(&line));
    assert_eq!(next.expect("a server").id, first);
}

/// Turns of one line come to two processes that do not speak to each other. Both look for it at the
/// same server, so that its prompt is not read a second time.
#[test]
fn processes_agree_on_a_line_without_speaking() {
    let servers = servers(9);
    let candidates: Vec<&BackendServer> = servers.iter().collect();
    let (one, other) = (ServerSelector::default(), ServerSelector::default());
    for number in 0..50 {
        let line = parts(&format!("line-{number}"), 2_000);
        let first = one.choose(NOW, &candidates, &[], affinity(&line));
        let second = other.choose(NOW, &candidates, &[], affinity(&line));
        assert_eq!(first.map(|s| &s.id), second.map(|s| &s.id));
    }
}

#[test]
fn the_record_of_the_turn_before_names_the_server() {
    let servers = servers(9);
    let candidates: Vec<&BackendServer> = servers.iter().collect();
    let choice = ServerSelector::default();
    let line = parts("line", 5_000);
    for server in &servers {
        let affinity = Affinity {
            parts: &line,
            last_server: Some(&server.id),
        };
        let chosen = choice.choose(NOW, &candidates, &[], affinity);
        assert_eq!(chosen.expect("a server").id, server.id);
    }
}

/// A server fails, is passed over for a while that grows with each failure up to two seconds, and
/// is tried again. A success ends the pause, and what remains of its failures is forgotten in seconds.
#[test]
fn a_failing_server_is_passed_over_and_tried_again() {
    let servers = servers(2);
    let candidates: Vec<&BackendServer> = servers.iter().collect();
    let mut choice = ServerSelector::default();
    choice.start_request("e-1", Affinity::default());
    let chosen = |choice: &ServerSelector, now: TimeUs| {
        let server = choice.choose(now, &candidates, &[], Affinity::default());
        server.expect("a server").id.clone()
    };
    assert_eq!(chosen(&choice, NOW), "e-0");
    for _ in 0..10 {
        choice.record_failure(NOW, "e-0");
    }
    assert_eq!(chosen(&choice, NOW), "e-1");
    assert_eq!(chosen(&choice, NOW.after(SpanUs::from_ms(1_900))), "e-1");
    assert_eq!(chosen(&choice, NOW.after(SpanUs::from_ms(2_100))), "e-0");
    let back = NOW.after(SpanUs::from_ms(100));
    choice.record_response(back, "e-0", false);
    assert_eq!(chosen(&choice, back.after(SpanUs::from_ms(1_500))), "e-0");
}

/// Two of five servers lose two answers in five, and answer well between. With pauses alone, which each
/// good answer ends, 61 calls of 1,000 are lost; with the rates of failures 36 are, though none of the
/// five is left out for good. When the two have recovered, they get their share again.
#[test]
fn a_server_that_fails_now_and_then_gets_little() {
    let servers = servers(5);
    let candidates: Vec<&BackendServer> = servers.iter().collect();
    let mut choice = ServerSelector::default();
    let mut random = ChaCha8Rng::seed_from_u64(7);
    let mut lost = [0; 3];
    let mut to_grey = [0; 3];
    let mut running: VecDeque<String> = VecDeque::new();
    for call in 0..2_000_u64 {
        let now = NOW.after(SpanUs::from_ms(call * 10));
        let phase = usize::from(call >= 1_000) + usize::from(call >= 1_500);
        let chosen = choice.choose(now, &candidates, &[], Affinity::default());
        let id = chosen.expect("a server").id.clone();
        choice.start_request(&id, Affinity::default());
        let is_grey = id == "e-0" || id == "e-1";
        to_grey[phase] += u32::from(is_grey);
        running.push_back(id);
        // Each call takes as long as eight others need to come.
        if running.len() > 8 {
            let id = running.pop_front().expect("a call");
            let is_grey = id == "e-0" || id == "e-1";
            choice.end_request(&id);
            if phase == 0 && is_grey && random.random::<f64>() < 0.4 {
                choice.record_failure(now, &id);
                lost[phase] += 1;
            } else {
                choice.record_response(now, &id, false);
            }
        }
    }
    assert!(lost[0] <= 40, "{lost:?} of 1,000 calls lost");
    assert!(to_grey[0] >= 10, "{to_grey:?}: never tried again");
    assert!(to_grey[2] >= 180, "{to_grey:?}: recovered, and passed over");
}

/// An address was taken over by another service's server while the list still names the old one: it
/// refuses each call at once and is never busy. All other servers have calls that run, so that by load
/// alone it would get all calls, and callers would be refused while four servers have room. Of
/// 1,000 calls 996 are refused without that, and 7 with it.
#[test]
fn a_server_that_refuses_does_not_draw_all_calls() {
    for is_another in [false, true] {
        let servers = servers(5);
        let candidates: Vec<&BackendServer> = servers.iter().collect();
        let mut choice = ServerSelector::default();
        let mut running: VecDeque<String> = VecDeque::new();
        let mut refused = 0;
        for call in 0..1_000_u64 {
            let now = NOW.after(SpanUs::from_ms(call * 10));
            let chosen = choice.choose(now, &candidates, &[], Affinity::default());
            let id = chosen.expect("a server").id.clone();
            choice.start_request(&id, Affinity::default());
            if id == "e-0" {
                choice.end_request(&id);
                choice.record_refusal(now, &id, is_another);
                refused += 1;
                continue;
            }
            running.push_back(id);
            if running.len() > 8 {
                let id = running.pop_front().expect("a call");
                choice.end_request(&id);
                choice.record_response(now, &id, false);
            }
        }
        assert!(refused <= 50, "{refused} of 1,000 refused");
    }
}

#[test]
fn a_lone_paused_server_is_still_used() {
    let servers = servers(1);
    let candidates: Vec<&BackendServer> = servers.iter().collect();
    let mut choice = ServerSelector::default();
    choice.record_failure(NOW, "e-0");
    let chosen = choice.choose(NOW, &candidates, &[], Affinity::default());
    assert!(chosen.is_some());
    let tried = ["e-0".to_owned()];
    let chosen = choice.choose(NOW, &candidates, &tried, Affinity::default());
    assert!(
        chosen.is_none(),
        "a server that was tried is not tried again"
    );
}

/// In a burst the server that keeps a line is full, and others have a place or two left. The line's
/// next turn waits there for some ms: elsewhere its 3,000 tokens would be read again, which slows
/// each request of that server's batch, until all servers are full of such reading.
#[test]
fn a_full_server_keeps_its_lines() {
    let servers = servers(9);
    let candidates: Vec<&BackendServer> = servers.iter().collect();
    let mut choice = ServerSelector::default();
    let line = parts("line", 3_000);
    let keeps_it = servers[4].id.clone();
    choice.start_request(&keeps_it, affinity(&line));
    choice.end_request(&keeps_it);
    for server in &servers {
        for _ in 0..if server.id == keeps_it { 67 } else { 62 } {
            choice.start_request(&server.id, Affinity::default());
        }
    }
    let next = choice.choose(NOW, &candidates, &[], affinity(&line));
    assert_eq!(next.expect("a server").id, keeps_it);
}

/// An engine restarts under its id, empty. A turn whose line and shared part were there goes where
/// its line's rank says, not to the empty engine only because it once kept them.
#[test]
fn a_server_that_started_anew_keeps_nothing() {
    let servers = servers(9);
    let candidates: Vec<&BackendServer> = servers.iter().collect();
    let mut choice = ServerSelector::default();
    let line = parts("line", 5_000);
    let by_rank = choice.choose(NOW, &candidates, &[], affinity(&line));
    let by_rank = by_rank.expect("a server").id.clone();
    let other = servers.iter().find(|server| server.id != by_rank);
    let other = other.expect("another server").id.clone();
    choice.record_start_time(&other, Some(1));
    choice.start_request(&other, affinity(&line));
    choice.end_request(&other);
    let chosen = |choice: &ServerSelector| {
        let chosen = choice.choose_with_reason(NOW, &candidates, &[], affinity(&line));
        let (server, reason) = chosen.expect("a server");
        (server.id.clone(), reason.to_string())
    };
    let kept = "load 0, 0 tokens to read, keeps the line".to_owned();
    assert_eq!(chosen(&choice), (other.clone(), kept.clone()));
    choice.record_start_time(&other, Some(1));
    assert_eq!(chosen(&choice), (other.clone(), kept));
    choice.record_start_time(&other, Some(2));
    let (server, reason) = chosen(&choice);
    assert_eq!(server, by_rank);
    assert_eq!(reason, "load 0, 13100 tokens to read, rank 0");
}
