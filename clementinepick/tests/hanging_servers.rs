//! Tests how servers that accept connections and send nothing count for a request.

use clementinepick::ended_servers::{
    EndState, EndedServers, MAX_ENDED_SERVERS, OpenRun, ServerEnd, ServerStart,
};
use clementinepick::request_key::{RequestContent, RequestKey};
use clementinepick::server_list::{BackendServer, ServerList};
use clementinepick::units::{SpanUs, TimeUs};

const START: TimeUs = TimeUs(1_000_000);

fn key() -> RequestKey {
    RequestContent::default().key()
}

fn server(id: &str) -> ServerStart {
    ServerStart {
        id: id.to_owned(),
        started_unix_ms: Some(1),
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

fn record(ended: &mut EndedServers, at: TimeUs, id: &str, state: EndState) {
    let end = ServerEnd {
        server: server(id),
        lost_at: at,
        state,
    };
    ended.record(at, key(), end);
}

fn state(ended: &EndedServers, now: TimeUs) -> EndState {
    ended.get(now, key()).expect("a known request").ends[0].state
}

fn confinement(ended: &EndedServers, now: TimeUs) -> Option<Vec<String>> {
    let request = ended.get(now, key()).expect("a known request");
    let servers = request.confinement(now, None)?;
    Some(servers.into_iter().collect())
}

/// Guards against a run that is left, forgotten after seconds, and hangs its server.
#[test]
fn servers_that_were_not_heard_stay_at_risk() {
    let later = START.after(SpanUs::from_s(60));
    let mut ended = EndedServers::default();
    let ids = ["i-1", "i-2", "i-3"];
    for id in ids {
        record(&mut ended, START, id, EndState::Unheard);
    }
    ended.apply_list(later, &list(&ids.map(server)));
    assert_eq!(ended.count(later, key()), 0);
    assert_eq!(
        confinement(&ended, later),
        Some(ids.map(str::to_owned).into())
    );
}

#[test]
fn servers_that_hang_count_until_they_respond() {
    let later = START.after(SpanUs::from_s(60));
    let mut ended = EndedServers::default();
    let ids = ["i-1", "i-2", "i-3"];
    for id in ids {
        record(&mut ended, START, id, EndState::Unheard);
        assert_eq!(ended.mark_hung(&server(id)), [key()]);
    }
    ended.apply_list(later, &list(&ids.map(server)));
    assert_eq!(ended.count(later, key()), MAX_ENDED_SERVERS);
    assert!(ended.mark_responding(&server("i-1"), later));
    assert_eq!(ended.count(later, key()), MAX_ENDED_SERVERS - 1);
}

/// Guards against a busy server that is taken for one that hangs.
#[test]
fn a_server_that_is_heard_is_left_as_before() {
    let mut ended = EndedServers::default();
    record(&mut ended, START, "i-1", EndState::Unheard);
    let heard_at = START.after(SpanUs::from_ms(400));
    assert!(ended.mark_responding(&server("i-1"), heard_at));
    assert_eq!(state(&ended, heard_at), EndState::Left);
    assert!(ended.mark_hung(&server("i-1")).is_empty());
}

/// Guards against taking what a server sent before a run for a sign that it goes on.
#[test]
fn what_a_server_sent_before_says_nothing() {
    let mut ended = EndedServers::default();
    record(&mut ended, START, "i-1", EndState::Unheard);
    let before = TimeUs(START.0 - 1);
    assert!(!ended.mark_responding(&server("i-1"), before));
    assert_eq!(state(&ended, START), EndState::Unheard);
}

/// Guards against a peer's older news that revives a server which hangs.
#[test]
fn a_server_that_hangs_stays_so_whatever_peers_knew() {
    let mut ended = EndedServers::default();
    record(&mut ended, START, "i-1", EndState::Hung);
    for known in [
        EndState::Suspected,
        EndState::Left,
        EndState::Unheard,
        EndState::Silent,
    ] {
        record(&mut ended, START, "i-1", known);
        assert_eq!(state(&ended, START), EndState::Hung);
    }
    ended.mark_all_silent(&server("i-1"));
    assert_eq!(state(&ended, START), EndState::Hung);
}

/// Guards against a server that is taken for sound once its entry, which names its health check, is gone.
#[test]
fn a_server_that_only_accepts_connections_was_not_heard() {
    let mut ended = EndedServers::default();
    record(&mut ended, START, "i-1", EndState::Hung);
    ended.mark_accepting(&server("i-1"));
    assert_eq!(state(&ended, START), EndState::Hung);
}

#[test]
fn a_server_that_hangs_and_is_unlisted_has_ended() {
    let mut ended = EndedServers::default();
    record(&mut ended, START, "i-1", EndState::Unheard);
    ended.apply_list(START, &list(&[]));
    assert_eq!(state(&ended, START), EndState::Confirmed);
}

/// Guards against forgetting a run whose gateway is stalled until its deadline is over.
#[test]
fn a_run_without_an_outcome_leaves_its_server_at_risk() {
    let expires_at = START.after(SpanUs::from_s(2));
    let run = OpenRun {
        id: 1,
        server: server("i-1"),
        is_isolated: false,
        expires_at,
    };
    let mut ended = EndedServers::default();
    ended.start_run(START, key(), run);
    ended.apply_list(expires_at, &list(&[server("i-1")]));
    assert_eq!(state(&ended, expires_at), EndState::Unheard);
}
