//! Tests which requests are given up because of the servers that ended under them, and what is
//! forgotten again.

use clementinepick::ended_servers::{
    EndState, EndedServers, ISOLATION_THRESHOLD, MAX_ENDED_SERVERS, OpenRun, RequestEnds,
    ServerEnd, ServerStart,
};
use clementinepick::request_key::{RequestContent, RequestKey};
use clementinepick::server_list::{BackendServer, ServerList};
use clementinepick::units::{SpanUs, TimeUs};

const START: TimeUs = TimeUs(1_000_000);

fn key(body: &str) -> RequestKey {
    let content = RequestContent {
        body: body.as_bytes(),
        ..RequestContent::default()
    };
    content.key()
}

fn server(id: &str, started_unix_ms: u64) -> ServerStart {
    ServerStart {
        id: id.to_owned(),
        started_unix_ms: Some(started_unix_ms),
        address: "127.0.0.1:1".parse().expect("an address"),
        unlisted_restarts: 0,
    }
}

fn list(servers: &[ServerStart]) -> ServerList {
    let listed = |start: &ServerStart| BackendServer {
        id: start.id.clone(),
        service: "models".to_owned(),
        address: start.address,
        zone: "z".to_owned(),
        version: "v1".to_owned().into(),
        slots: 8,
        is_draining: false,
        started_unix_ms: start.started_unix_ms,
    };
    let entries = servers
        .iter()
        .map(|start| (start.id.clone(), listed(start)));
    ServerList {
        servers: entries.collect(),
    }
}

fn lost(server: ServerStart, state: EndState) -> ServerEnd {
    ServerEnd {
        server,
        lost_at: START,
        state,
    }
}

fn run(id: u64, server: ServerStart, is_isolated: bool) -> OpenRun {
    OpenRun {
        id,
        server,
        is_isolated,
        expires_at: START.after(SpanUs::from_s(4)),
    }
}

/// Ends servers under a request, one after the other.
fn end_servers(ended: &mut EndedServers, request: RequestKey, ids: &[&str]) {
    for id in ids {
        ended.record_end(START, request, server(id, 1));
    }
}

#[test]
fn servers_that_end_one_after_the_other_are_counted() {
    let mut ended = EndedServers::default();
    end_servers(&mut ended, key("a"), &["i-1", "i-2", "i-3"]);
    assert_eq!(ended.count(START, key("a")), MAX_ENDED_SERVERS);
    assert_eq!(ended.ended_ids(START, key("a")), ["i-1", "i-2", "i-3"]);
    assert_eq!(ended.count(START, key("b")), 0);
}

/// Guards against a caller that makes two attempts at once, each of which ends as many servers as one.
#[test]
fn servers_that_end_under_attempts_of_one_caller_at_the_same_time_all_count() {
    let mut ended = EndedServers::default();
    for id in ["i-1", "i-2"] {
        ended.record_end(START, key("a"), server(id, 1));
    }
    assert_eq!(ended.count(START, key("a")), 2);
    assert!(ended.start_run(START, key("a"), run(1, server("i-3", 1), true)));
    assert!(!ended.start_run(START, key("a"), run(2, server("i-4", 1), true)));
    ended.finish_run(START, key("a"), 1);
    assert!(ended.start_run(START, key("a"), run(2, server("i-4", 1), true)));
}

#[test]
fn a_server_that_starts_again_counts_again() {
    let mut ended = EndedServers::default();
    let again = [1, 1, 2].map(|started| server("i-1", started));
    for start in again {
        ended.record_end(START, key("a"), start);
    }
    assert_eq!(ended.count(START, key("a")), 2);
}

/// Guards against giving up a request that met servers which close connections or hang, and live.
#[test]
fn suspected_servers_count_only_once_they_are_no_longer_listed() {
    let mut ended = EndedServers::default();
    let servers = [server("i-1", 1), server("i-2", 1), server("i-3", 1)];
    for start in &servers {
        let end = lost(start.clone(), EndState::Suspected);
        ended.record(START, key("a"), end);
    }
    let end = lost(server("i-1", 1), EndState::Suspected);
    ended.record(START, key("b"), end);
    assert_eq!(ended.count(START, key("a")), 0);
    let found = ended.apply_list(START, &list(&servers[1..]));
    assert_eq!(found, [key("b")], "peers know of several losses already");
    assert_eq!(ended.count(START, key("b")), 1);
    assert_eq!(ended.count(START, key("a")), 1);
    let restarted = [server("i-2", 2), server("i-3", 1)];
    ended.apply_list(START, &list(&restarted));
    assert_eq!(ended.count(START, key("a")), 2);
}

/// Guards against a server that ends after its request was given up there by a timeout.
#[test]
fn suspected_servers_that_are_found_to_have_ended_count() {
    let mut ended = EndedServers::default();
    let start = server("i-1", 1);
    let end = lost(start.clone(), EndState::Suspected);
    ended.record(START, key("a"), end);
    let later = START.after(SpanUs::from_ms(50));
    assert!(
        ended
            .suspected_of(later, key("a"), SpanUs::from_ms(60))
            .is_empty()
    );
    assert_eq!(
        ended
            .suspected_of(later, key("a"), SpanUs::from_ms(50))
            .len(),
        1
    );
    assert_eq!(ended.suspected(later).get(&start), Some(&START));
    assert_eq!(ended.mark_ended(&start), [key("a")]);
    assert_eq!(ended.count(later, key("a")), 1);
    assert!(ended.suspected(later).is_empty());
}

#[test]
fn suspected_servers_that_stay_listed_are_forgotten() {
    let mut ended = EndedServers::default();
    let start = server("i-1", 1);
    let end = lost(start.clone(), EndState::Suspected);
    ended.record(START, key("a"), end);
    ended.apply_list(
        START.after(SpanUs::from_s(9)),
        &list(std::slice::from_ref(&start)),
    );
    assert_eq!(ended.len(), 1);
    ended.apply_list(START.after(SpanUs::from_s(10)), &list(&[start]));
    assert!(ended.is_empty());
}

/// Guards against a request that meets one server after the other before any is known to have ended.
#[test]
fn silent_servers_count_until_they_respond() {
    let mut ended = EndedServers::default();
    let servers = ["i-1", "i-2", "i-3"].map(|id| server(id, 1));
    for start in &servers {
        let end = lost(start.clone(), EndState::Silent);
        ended.record(START, key("a"), end);
    }
    assert_eq!(ended.count(START, key("a")), MAX_ENDED_SERVERS);
    assert_eq!(ended.retry_after(START, key("a")), SpanUs::from_s(2));
    ended.mark_responding(&servers[0], START);
    assert_eq!(ended.count(START, key("a")), 2);
    ended.mark_silent(START, key("a"), &servers[0]);
    assert_eq!(ended.count(START, key("a")), 3);
    let later = START.after(SpanUs::from_s(10));
    ended.apply_list(later, &list(&servers[1..]));
    assert_eq!(ended.ended_ids(later, key("a")), ["i-1"], "the others live");
}

/// Guards against a peer that knows of no silence and makes it forgotten.
#[test]
fn a_silent_server_counts_whatever_peers_have_known_for_longer() {
    let mut ended = EndedServers::default();
    let known = |state| RequestEnds {
        ends: vec![lost(server("i-1", 1), state)],
        runs: Vec::new(),
    };
    ended.merge(START, key("a"), known(EndState::Silent));
    ended.merge(START, key("a"), known(EndState::Suspected));
    assert_eq!(ended.count(START, key("a")), 1);
    ended.merge(START, key("a"), known(EndState::Ended));
    ended.merge(START, key("a"), known(EndState::Silent));
    assert!(ended.silent(START).is_empty());
}

/// The time until which a record that is loaded at [`START`] is remembered.
fn loaded_until() -> TimeUs {
    START.after(SpanUs::from_s(100))
}

/// Guards against a run whose gateway was lost, so that nobody reports its outcome.
#[test]
fn a_loaded_run_counts_once_its_server_is_gone() {
    let mut ended = EndedServers::default();
    let open = run(1, server("i-1", 1), false);
    ended.load_run(START, key("a"), open, loaded_until());
    assert_eq!(ended.count(START, key("a")), 0);
    assert_eq!(ended.run_servers(START, key("a")).len(), 1);
    ended.apply_list(START, &list(&[server("i-1", 1)]));
    assert_eq!(ended.count(START, key("a")), 0, "it may still run");
    ended.apply_list(START, &list(&[server("i-2", 1)]));
    assert_eq!(ended.count(START, key("a")), 1);
}

/// Guards against forgetting a run at a silent server when its caller has given up.
#[test]
fn a_loaded_run_that_has_expired_makes_its_server_suspected() {
    let mut ended = EndedServers::default();
    let start = server("i-1", 1);
    let open = run(1, start.clone(), false);
    ended.load_run(START, key("a"), open, loaded_until());
    let later = START.after(SpanUs::from_s(4));
    ended.apply_list(later, &list(std::slice::from_ref(&start)));
    assert_eq!(ended.suspected(later).get(&start), Some(&later));
    assert_eq!(ended.mark_all_silent(&start), [key("a")]);
    assert_eq!(ended.count(later, key("a")), 1);
}

/// Guards against a request that is remembered for longer with each read of its records.
#[test]
fn loading_does_not_prolong_the_retention() {
    let mut ended = EndedServers::default();
    for _ in 0..2 {
        let end = lost(server("i-1", 1), EndState::Ended);
        ended.load_end(START, key("a"), end, loaded_until());
    }
    ended.expire(loaded_until());
    assert!(ended.is_empty());
}

/// Guards against a run that is read from the store, reported as over, and awaited until its deadline.
#[test]
fn a_loaded_run_is_the_one_that_peers_know() {
    let mut ended = EndedServers::default();
    end_servers(&mut ended, key("a"), &["i-1", "i-2"]);
    let open = run(7, server("i-3", 1), true);
    assert!(ended.start_run(START, key("a"), open.clone()));
    ended.load_run(START, key("a"), open, loaded_until());
    ended.finish_run(START, key("a"), 7);
    assert!(ended.start_run(START, key("a"), run(8, server("i-4", 1), true)));
}

/// Guards against giving up a request that met servers which refuse connections for a while.
#[test]
fn servers_that_respond_again_no_longer_count() {
    let mut ended = EndedServers::default();
    end_servers(&mut ended, key("a"), &["i-1", "i-2", "i-3"]);
    let listed = list(&[server("i-1", 1), server("i-2", 1)]);
    ended.apply_list(START, &listed);
    assert!(
        ended.doubtful(START, START).is_empty(),
        "the list may be older"
    );
    let later = START.after(SpanUs::from_s(2));
    let doubtful: Vec<ServerStart> = ended.doubtful(later, START).into_iter().collect();
    assert_eq!(doubtful, [server("i-1", 1), server("i-2", 1)]);
    ended.remove_server(&server("i-2", 1));
    assert_eq!(ended.count(later, key("a")), 2);
}

#[test]
fn an_answered_request_is_forgotten() {
    let mut ended = EndedServers::default();
    end_servers(&mut ended, key("a"), &["i-1", "i-2"]);
    ended.forget(key("a"));
    assert_eq!(ended.count(START, key("a")), 0);
    assert!(ended.is_empty());
}

/// Guards against a request beside the fatal one that loses its servers as often as it.
#[test]
fn two_isolated_requests_never_run_at_the_same_server() {
    let mut ended = EndedServers::default();
    end_servers(&mut ended, key("a"), &["i-1", "i-2"]);
    end_servers(&mut ended, key("b"), &["i-1", "i-2"]);
    assert_eq!(ended.count(START, key("a")), ISOLATION_THRESHOLD);
    assert!(ended.start_run(START, key("a"), run(1, server("i-3", 1), true)));
    assert!(!ended.start_run(START, key("b"), run(2, server("i-3", 1), true)));
    assert!(ended.start_run(START, key("b"), run(2, server("i-4", 1), true)));
    assert_eq!(
        ended
            .isolated_servers(START, key("b"))
            .into_iter()
            .collect::<Vec<_>>(),
        ["i-3"]
    );
    ended.finish_run(START, key("a"), 1);
    assert!(ended.isolated_servers(START, key("b")).is_empty());
}

/// Guards against a server that no request may use because the gateway of a run was lost.
#[test]
fn a_run_is_over_when_its_caller_gives_up() {
    let mut ended = EndedServers::default();
    end_servers(&mut ended, key("a"), &["i-1", "i-2"]);
    end_servers(&mut ended, key("b"), &["i-1", "i-2"]);
    assert!(ended.start_run(START, key("a"), run(1, server("i-3", 1), true)));
    let later = START.after(SpanUs::from_s(4));
    assert!(ended.open_runs(later, key("a")).is_empty());
    assert!(ended.isolated_servers(later, key("b")).is_empty());
}

#[test]
fn the_end_of_a_server_ends_its_run() {
    let mut ended = EndedServers::default();
    end_servers(&mut ended, key("a"), &["i-1", "i-2"]);
    assert!(ended.start_run(START, key("a"), run(1, server("i-3", 1), true)));
    ended.record_end(START, key("a"), server("i-3", 1));
    assert!(ended.open_runs(START, key("a")).is_empty());
    assert_eq!(ended.count(START, key("a")), MAX_ENDED_SERVERS);
}

/// Guards against a late message about a run whose server is known to have ended.
#[test]
fn merging_what_peers_know_is_idempotent_and_needs_no_order() {
    let ends = ["i-1", "i-2", "i-3"];
    let known = RequestEnds {
        ends: ends
            .iter()
            .map(|id| lost(server(id, 1), EndState::Ended))
            .collect(),
        runs: vec![run(1, server("i-3", 1), true)],
    };
    let mut ended = EndedServers::default();
    for _ in 0..2 {
        assert!(ended.merge(START, key("a"), known.clone()));
    }
    assert_eq!(ended.count(START, key("a")), 3);
    assert!(ended.open_runs(START, key("a")).is_empty());
}

#[test]
fn the_caller_of_a_given_up_request_returns_when_it_may_be_served() {
    let mut ended = EndedServers::default();
    end_servers(&mut ended, key("a"), &["i-1", "i-2", "i-3"]);
    assert_eq!(ended.retry_after(START, key("a")), SpanUs::from_s(2));
    ended.apply_list(START, &list(&[server("i-9", 1)]));
    let later = START.after(SpanUs::from_s(100));
    assert_eq!(ended.retry_after(later, key("a")), SpanUs::from_s(200));
}

#[test]
fn requests_expire_and_their_number_is_bounded() {
    let mut ended = EndedServers::default();
    for number in 0..20_000 {
        end_servers(&mut ended, key(&number.to_string()), &["i-1"]);
    }
    assert_eq!(ended.len(), 16_384);
    ended.expire(START.after(SpanUs::from_s(300)));
    assert!(ended.is_empty());
}

/// Guards against a request with many copies that takes more and more memory.
#[test]
fn the_servers_and_runs_of_a_request_are_bounded() {
    let mut ended = EndedServers::default();
    for number in 0..100 {
        let start = server(&format!("i-{number}"), 1);
        ended.start_run(START, key("a"), run(number, start, false));
    }
    for number in 0..100 {
        let other = server(&format!("j-{number}"), 1);
        ended.record_end(START, key("a"), other);
    }
    let request = ended.get(START, key("a")).expect("the request");
    assert_eq!((request.ends.len(), request.runs.len()), (8, 8));
}

#[test]
fn a_starting_process_gets_the_requests_with_the_most_ended_servers() {
    let mut ended = EndedServers::default();
    end_servers(&mut ended, key("a"), &["i-1"]);
    end_servers(&mut ended, key("b"), &["i-1", "i-2", "i-3"]);
    end_servers(&mut ended, key("c"), &["i-1", "i-2"]);
    let newest = ended.newest(START, 2);
    let keys: Vec<RequestKey> = newest.into_keys().collect();
    let mut expected = [key("b"), key("c")];
    expected.sort_unstable();
    assert_eq!(keys, expected);
}

#[test]
fn the_key_of_a_request_has_all_of_its_content() {
    let content = RequestContent {
        method: "POST",
        host: "h",
        target: "/t",
        program: Some("p"),
        session: Some("s"),
        previous_turn: Some("t-1"),
        body: b"body",
    };
    let others = [
        RequestContent {
            method: "PUT",
            ..content
        },
        RequestContent {
            host: "g",
            ..content
        },
        RequestContent {
            target: "/u",
            ..content
        },
        RequestContent {
            program: None,
            ..content
        },
        RequestContent {
            session: Some("p"),
            ..content
        },
        RequestContent {
            previous_turn: None,
            ..content
        },
        RequestContent {
            body: b"",
            ..content
        },
        RequestContent {
            program: Some("ps"),
            session: Some(""),
            ..content
        },
    ];
    for other in others {
        assert_ne!(content.key(), other.key(), "{other:?}");
    }
}

/// Guards against a server that starts again unseen and is taken for the one that has ended.
#[test]
fn a_server_that_accepts_a_run_after_its_end_is_another_start() {
    let mut ended = EndedServers::default();
    let listed = list(&[server("i-1", 1)]);
    let listed = &listed.servers["i-1"];
    for restarts in 0..MAX_ENDED_SERVERS {
        let start = ended.current_start(START, key("a"), listed);
        assert_eq!(start.unlisted_restarts as usize, restarts);
        ended.record_end(START, key("a"), start.clone());
        // A peer reports the same end.
        ended.record_end(START, key("a"), start);
        assert_eq!(ended.count(START, key("a")), restarts + 1);
    }
}

/// Guards against giving up a request for responses that live servers break off.
#[test]
fn one_unproven_end_counts_beside_a_known_one() {
    let mut ended = EndedServers::default();
    for id in ["i-1", "i-2", "i-3"] {
        ended.record(START, key("a"), lost(server(id, 1), EndState::Unproven));
    }
    assert_eq!(ended.count(START, key("a")), 0);
    end_servers(&mut ended, key("a"), &["i-4"]);
    assert_eq!(ended.count(START, key("a")), 2);
    let all = ["i-1", "i-2", "i-3", "i-4"].map(|id| server(id, 1));
    let later = START.after(SpanUs::from_s(2));
    ended.apply_list(later, &list(&all));
    assert_eq!(ended.count(later, key("a")), 1, "the list shows no restart");
}

/// Guards against a count that falls once a list is current again.
#[test]
fn an_unproven_end_counts_as_long_as_the_known_one() {
    let mut ended = EndedServers::default();
    let unreported = ServerStart {
        started_unix_ms: None,
        ..server("i-1", 1)
    };
    let all = list(&[unreported.clone(), server("i-2", 1)]);
    let later = START.after(SpanUs::from_s(20));
    for (request, is_known) in [("a", true), ("b", false)] {
        let end = lost(unreported.clone(), EndState::Unproven);
        ended.record(START, key(request), end);
        if is_known {
            end_servers(&mut ended, key(request), &["i-2"]);
        }
    }
    ended.apply_list(later, &all);
    assert_eq!(ended.count(later, key("a")), 2);
    assert!(ended.get(later, key("b")).is_none());
}

/// Guards against ends that are not recorded because closed connections fill the memory of a request.
#[test]
fn unproven_ends_make_room_for_known_ones() {
    let mut ended = EndedServers::default();
    for number in 0..20 {
        let id = format!("i-{number}");
        ended.record(START, key("a"), lost(server(&id, 1), EndState::Unproven));
    }
    end_servers(&mut ended, key("a"), &["e-1", "e-2", "e-3"]);
    assert!(ended.count(START, key("a")) >= MAX_ENDED_SERVERS);
}

fn confinement(ended: &EndedServers, now: TimeUs) -> Option<Vec<String>> {
    let request = ended.get(now, key("a")).expect("a known request");
    let confined_to = request.confinement(now, None)?;
    Some(confined_to.into_iter().collect())
}

/// Guards against callers that leave servers which end later, one after the other.
#[test]
fn a_request_that_left_several_servers_runs_only_there() {
    let mut ended = EndedServers::default();
    for id in ["i-1", "i-2"] {
        ended.record(START, key("a"), lost(server(id, 1), EndState::Left));
    }
    assert_eq!(confinement(&ended, START), None);
    assert!(ended.suspected(START).len() == 2, "they are worth asking");
    end_servers(&mut ended, key("a"), &["i-3"]);
    assert_eq!(ended.count(START, key("a")), 1);
    let only = ["i-1", "i-2"].map(str::to_owned).to_vec();
    assert_eq!(confinement(&ended, START), Some(only));
    let wait = ended.retry_after(START, key("a"));
    let later = START.after(wait);
    assert!(wait <= SpanUs::from_s(3), "{wait:?}");
    assert_eq!(
        confinement(&ended, later),
        None,
        "they no longer work on it"
    );
}

/// Guards against a caller that is confined to servers which hang for as long as it returns.
#[test]
fn a_request_is_not_confined_for_longer_by_further_runs() {
    let mut ended = EndedServers::default();
    let mut now = START;
    for _ in 0..4 {
        for id in ["i-1", "i-2", "i-3"] {
            let end = ServerEnd {
                lost_at: now,
                ..lost(server(id, 1), EndState::Left)
            };
            ended.record(now, key("a"), end);
        }
        now = now.after(SpanUs::from_s(1));
    }
    assert_eq!(confinement(&ended, now), None);
}

/// Guards against asking servers whenever a caller leaves one.
#[test]
fn a_single_left_server_is_not_asked() {
    let mut ended = EndedServers::default();
    ended.record(START, key("a"), lost(server("i-1", 1), EndState::Left));
    assert!(ended.suspected(START).is_empty());
    assert!(ended.suspected_of(START, key("a"), SpanUs(0)).is_empty());
    let peers_know = ended.get(START, key("a")).map(RequestEnds::is_shared);
    assert_eq!(peers_know, Some(true));
}

/// Guards against counting a server that was left and is then removed as planned.
#[test]
fn a_left_server_that_drains_or_goes_on_unlisted_does_not_count() {
    let mut ended = EndedServers::default();
    for id in ["i-1", "i-2", "i-3"] {
        ended.record(START, key("a"), lost(server(id, 1), EndState::Left));
    }
    let mut listed = list(&[server("i-1", 1), server("i-3", 2)]);
    listed.servers.get_mut("i-1").expect("a server").is_draining = true;
    ended.apply_list(START, &listed);
    assert_eq!(ended.count(START, key("a")), 1, "i-3 has started again");
    let unlisted = ended.unlisted_left(START, &listed);
    assert_eq!(unlisted.into_iter().collect::<Vec<_>>(), [server("i-2", 1)]);
    ended.remove_left(&server("i-2", 1));
    ended.apply_list(START, &listed);
    assert_eq!(ended.count(START, key("a")), 1);
}

/// Guards against a health check that takes back an end which no list could show.
#[test]
fn an_end_without_a_current_list_stays_unless_start_times_are_listed() {
    let mut ended = EndedServers::default();
    let unreported = ServerStart {
        started_unix_ms: None,
        ..server("i-1", 1)
    };
    ended.record_end(START, key("a"), unreported.clone());
    end_servers(&mut ended, key("a"), &["i-2"]);
    let later = START.after(SpanUs::from_s(2));
    let since = |at| ended.doubtful(later, at).into_iter().collect::<Vec<_>>();
    assert_eq!(since(START), [unreported, server("i-2", 1)]);
    assert_eq!(since(later), [server("i-2", 1)]);
}

/// Guards against left runs that push counted requests out of the memory while no list is current.
#[test]
fn left_runs_are_forgotten_without_a_list() {
    let mut ended = EndedServers::default();
    ended.record(START, key("a"), lost(server("i-1", 1), EndState::Left));
    let from_peer = RequestEnds {
        ends: vec![lost(server("i-1", 1), EndState::Left)],
        runs: Vec::new(),
    };
    ended.merge(START, key("b"), from_peer);
    end_servers(&mut ended, key("c"), &["i-1"]);
    ended.expire(START.after(SpanUs::from_s(10)));
    assert_eq!(ended.len(), 1);
    assert_eq!(ended.count(START, key("c")), 1);
}

/// Guards against refusing a request because servers that spoiled its responses leave as planned later.
#[test]
fn old_unproven_ends_do_not_become_known_ones() {
    let mut ended = EndedServers::default();
    end_servers(&mut ended, key("a"), &["i-1"]);
    let unproven = ["i-2", "i-3"].map(|id| ServerStart {
        started_unix_ms: None,
        ..server(id, 1)
    });
    for start in &unproven {
        ended.record(START, key("a"), lost(start.clone(), EndState::Unproven));
    }
    let all = list(&[server("i-1", 1), unproven[0].clone(), unproven[1].clone()]);
    let later = START.after(SpanUs::from_s(20));
    ended.apply_list(later, &all);
    assert!(ended.suspected_of(later, key("a"), SpanUs(0)).is_empty());
    assert!(ended.suspected(later).is_empty());
    ended.apply_list(later, &list(&[server("i-1", 1)]));
    assert_eq!(ended.count(later, key("a")), 2);
}

/// Guards against a caller that is told to return at once to a request which still runs.
#[test]
fn a_confined_request_waits_for_its_runs() {
    let mut ended = EndedServers::default();
    for (id, name) in [(1, "i-1"), (2, "i-2")] {
        assert!(ended.start_run(START, key("a"), run(id, server(name, 1), false)));
    }
    ended.record(START, key("a"), lost(server("i-3", 1), EndState::Suspected));
    end_servers(&mut ended, key("a"), &["i-4"]);
    assert!(confinement(&ended, START).is_some());
    assert_eq!(ended.retry_after(START, key("a")), SpanUs::from_s(4));
}
