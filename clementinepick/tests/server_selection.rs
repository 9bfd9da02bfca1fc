//! Tests the selection of servers by load, cached turn chains and failures.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use clementinepick::server_list::{BackendServer, SoftwareVersion};
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
            version: SoftwareVersion::default(),
            slots: 64,
            is_draining: false,
            started_unix_ms: None,
        })
        .collect()
}

fn parts(chain: &str, tokens: u64) -> Vec<PromptPart> {
    let part = |id: &str, tokens| PromptPart {
        id: id.to_owned(),
        tokens,
    };
    vec![part("shared", 12_600), part(chain, tokens)]
}

fn affinity(parts: &[PromptPart]) -> Affinity<'_> {
    Affinity {
        parts,
        last_server: None,
    }
}

const NOW: TimeUs = TimeUs(1_000_000);

#[test]
fn plain_requests_are_balanced_by_load() {
    let servers = servers(3);
    let candidates: Vec<&BackendServer> = servers.iter().collect();
    let mut selector = ServerSelector::default();
    let mut counts: BTreeMap<String, u32> = BTreeMap::new();
    for _ in 0..30 {
        let chosen = selector.choose(NOW, &candidates, &[], Affinity::default());
        let id = chosen.expect("a server").id.clone();
        selector.start_request(&id, Affinity::default());
        *counts.entry(id).or_default() += 1;
    }
    assert!(counts.values().all(|count| *count == 10), "{counts:?}");
}

#[test]
fn a_turn_chain_stays_where_it_is_cached() {
    let servers = servers(6);
    let candidates: Vec<&BackendServer> = servers.iter().collect();
    let mut selector = ServerSelector::default();
    let chain = parts("line", 3_000);
    let first = selector.choose(NOW, &candidates, &[], affinity(&chain));
    let first = first.expect("a server").id.clone();
    selector.start_request(&first, affinity(&chain));
    for number in 0..10 {
        let other = parts(&format!("other-{number}"), 500);
        selector.start_request(&first, affinity(&other));
    }
    let next = selector.choose(NOW, &candidates, &[], affinity(&chain));
    assert_eq!(next.expect("a server").id, first);
}

/// Turns of one chain arrive at two processes without shared state: if they selected different
/// servers, the prompt would be prefilled twice.
#[test]
fn independent_processes_agree_on_the_server_of_a_turn_chain() {
    let servers = servers(9);
    let candidates: Vec<&BackendServer> = servers.iter().collect();
    let (one, other) = (ServerSelector::default(), ServerSelector::default());
    for number in 0..50 {
        let chain = parts(&format!("line-{number}"), 2_000);
        let first = one.choose(NOW, &candidates, &[], affinity(&chain));
        let second = other.choose(NOW, &candidates, &[], affinity(&chain));
        assert_eq!(first.map(|s| &s.id), second.map(|s| &s.id));
    }
}

#[test]
fn the_last_server_of_the_turn_record_is_selected() {
    let servers = servers(9);
    let candidates: Vec<&BackendServer> = servers.iter().collect();
    let selector = ServerSelector::default();
    let chain = parts("line", 5_000);
    for server in &servers {
        let affinity = Affinity {
            parts: &chain,
            last_server: Some(&server.id),
        };
        let chosen = selector.choose(NOW, &candidates, &[], affinity);
        assert_eq!(chosen.expect("a server").id, server.id);
    }
}

/// The backoff of a failing server is at most two seconds. A success ends it, and the failure rate
/// decays within seconds.
#[test]
fn a_failing_server_is_retried_after_its_backoff() {
    let servers = servers(2);
    let candidates: Vec<&BackendServer> = servers.iter().collect();
    let mut selector = ServerSelector::default();
    selector.start_request("e-1", Affinity::default());
    let chosen = |selector: &ServerSelector, now: TimeUs| {
        let server = selector.choose(now, &candidates, &[], Affinity::default());
        server.expect("a server").id.clone()
    };
    assert_eq!(chosen(&selector, NOW), "e-0");
    for _ in 0..10 {
        selector.record_failure(NOW, "e-0");
    }
    assert_eq!(chosen(&selector, NOW), "e-1");
    assert_eq!(chosen(&selector, NOW.after(SpanUs::from_ms(1_900))), "e-1");
    assert_eq!(chosen(&selector, NOW.after(SpanUs::from_ms(2_100))), "e-0");
    let back = NOW.after(SpanUs::from_ms(100));
    selector.record_response(back, "e-0", false);
    assert_eq!(chosen(&selector, back.after(SpanUs::from_ms(1_500))), "e-0");
}

/// Two of five servers fail two calls in five. Each success ends their backoff, so only the failure
/// rate keeps calls away from them. After they recover, they get their share again.
#[test]
fn an_intermittently_failing_server_gets_few_requests() {
    let servers = servers(5);
    let candidates: Vec<&BackendServer> = servers.iter().collect();
    let mut selector = ServerSelector::default();
    let mut random = ChaCha8Rng::seed_from_u64(7);
    let mut lost = [0; 3];
    let mut to_failing = [0; 3];
    let mut running: VecDeque<String> = VecDeque::new();
    for call in 0..2_000_u64 {
        let now = NOW.after(SpanUs::from_ms(call * 10));
        let phase = usize::from(call >= 1_000) + usize::from(call >= 1_500);
        let chosen = selector.choose(now, &candidates, &[], Affinity::default());
        let id = chosen.expect("a server").id.clone();
        selector.start_request(&id, Affinity::default());
        let is_failing = id == "e-0" || id == "e-1";
        to_failing[phase] += u32::from(is_failing);
        running.push_back(id);
        // Each call takes as long as eight others need to arrive.
        if running.len() > 8 {
            let id = running.pop_front().expect("a call");
            let is_failing = id == "e-0" || id == "e-1";
            selector.end_request(&id);
            if phase == 0 && is_failing && random.random::<f64>() < 0.4 {
                selector.record_failure(now, &id);
                lost[phase] += 1;
            } else {
                selector.record_response(now, &id, false);
            }
        }
    }
    assert!(lost[0] <= 40, "{lost:?} of 1,000 calls lost");
    assert!(to_failing[0] >= 10, "{to_failing:?}: never retried");
    assert!(
        to_failing[2] >= 180,
        "{to_failing:?}: avoided after recovery"
    );
}

/// A server of another service has taken over a listed address and refuses each call at once. It is
/// always idle, so by load alone it would get all calls although the other servers have capacity.
#[test]
fn a_refusing_server_does_not_attract_all_calls() {
    for is_another in [false, true] {
        let servers = servers(5);
        let candidates: Vec<&BackendServer> = servers.iter().collect();
        let mut selector = ServerSelector::default();
        let mut running: VecDeque<String> = VecDeque::new();
        let mut refused = 0;
        for call in 0..1_000_u64 {
            let now = NOW.after(SpanUs::from_ms(call * 10));
            let chosen = selector.choose(now, &candidates, &[], Affinity::default());
            let id = chosen.expect("a server").id.clone();
            selector.start_request(&id, Affinity::default());
            if id == "e-0" {
                selector.end_request(&id);
                selector.record_refusal(now, &id, is_another);
                refused += 1;
                continue;
            }
            running.push_back(id);
            if running.len() > 8 {
                let id = running.pop_front().expect("a call");
                selector.end_request(&id);
                selector.record_response(now, &id, false);
            }
        }
        assert!(refused <= 50, "{refused} of 1,000 refused");
    }
}

#[test]
fn the_only_server_is_used_even_in_backoff() {
    let servers = servers(1);
    let candidates: Vec<&BackendServer> = servers.iter().collect();
    let mut selector = ServerSelector::default();
    selector.record_failure(NOW, "e-0");
    let chosen = selector.choose(NOW, &candidates, &[], Affinity::default());
    assert!(chosen.is_some());
    let tried = ["e-0".to_owned()];
    let chosen = selector.choose(NOW, &candidates, &tried, Affinity::default());
    assert!(
        chosen.is_none(),
        "a server that was tried is not tried again"
    );
}

/// In a burst, the server that has a chain cached is full and others have a few free slots. Moving
/// the chain would prefill its 3,000 tokens again and slow down every request of that server's
/// batch, until all servers are busy with such prefills.
#[test]
fn a_full_server_keeps_its_turn_chains() {
    let servers = servers(9);
    let candidates: Vec<&BackendServer> = servers.iter().collect();
    let mut selector = ServerSelector::default();
    let chain = parts("line", 3_000);
    let caching = servers[4].id.clone();
    selector.start_request(&caching, affinity(&chain));
    selector.end_request(&caching);
    for server in &servers {
        for _ in 0..if server.id == caching { 67 } else { 62 } {
            selector.start_request(&server.id, Affinity::default());
        }
    }
    let next = selector.choose(NOW, &candidates, &[], affinity(&chain));
    assert_eq!(next.expect("a server").id, caching);
}

/// A restarted server has an empty cache: its turn chains are placed by rank again.
#[test]
fn a_restarted_server_has_nothing_cached() {
    let servers = servers(9);
    let candidates: Vec<&BackendServer> = servers.iter().collect();
    let mut selector = ServerSelector::default();
    let chain = parts("line", 5_000);
    let by_rank = selector.choose(NOW, &candidates, &[], affinity(&chain));
    let by_rank = by_rank.expect("a server").id.clone();
    let other = servers.iter().find(|server| server.id != by_rank);
    let other = other.expect("another server").id.clone();
    selector.record_start_time(&other, Some(1));
    selector.start_request(&other, affinity(&chain));
    selector.end_request(&other);
    let chosen = |selector: &ServerSelector| {
        let chosen = selector.choose_with_reason(NOW, &candidates, &[], affinity(&chain));
        let (server, reason) = chosen.expect("a server");
        (server.id.clone(), reason.to_string())
    };
    let cached = "load 0, 0 tokens to read, turn chain cached".to_owned();
    assert_eq!(chosen(&selector), (other.clone(), cached.clone()));
    selector.record_start_time(&other, Some(1));
    assert_eq!(chosen(&selector), (other.clone(), cached));
    selector.record_start_time(&other, Some(2));
    let (server, reason) = chosen(&selector);
    assert_eq!(server, by_rank);
    assert_eq!(reason, "load 0, 13100 tokens to read, rank 0");
}
