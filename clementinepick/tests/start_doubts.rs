//! Tests when the version of a server's entry is taken for that of the server at its address.

use std::collections::BTreeMap;

use clementinepick::server_list::{BackendServer, ServerList, SoftwareVersion};
use clementinepick::start_doubts::{
    EndSign, ReportedStart, StartDoubts, StartUse, StartVerdict, described_before,
};
use clementinepick::units::{SpanUs, TimeUs};

const NOTICED_AT: TimeUs = TimeUs(1_000);
/// The time in which a server that has started again writes its entry.
const LIST_LAG: SpanUs = SpanUs::from_s(2);
/// The same for one of which only a connection broke.
const POSSIBLE_LAG: SpanUs = SpanUs::from_s(1);

fn server(version: &str, started_unix_ms: Option<u64>) -> BackendServer {
    BackendServer {
        id: "i-1".to_owned(),
        service: "models".to_owned(),
        address: "127.0.0.1:1".parse().expect("an address"),
        zone: "z".to_owned(),
        version: SoftwareVersion::from(version.to_owned()),
        slots: 8,
        is_draining: false,
        started_unix_ms,
    }
}

fn list(server: &BackendServer) -> ServerList {
    ServerList {
        servers: BTreeMap::from([(server.id.clone(), server.clone())]),
    }
}

fn just_after(lag: SpanUs) -> TimeUs {
    TimeUs(NOTICED_AT.after(lag).0 + 1)
}

fn doubting(server: &BackendServer) -> StartDoubts {
    let mut doubts = StartDoubts::default();
    assert!(doubts.record(NOTICED_AT, server, EndSign::Certain));
    doubts
}

#[test]
fn a_server_without_a_start_time_takes_no_rest_of_a_stream_while_in_doubt() {
    let silent = server("v1", None);
    assert!(StartDoubts::default().may_continue_at(&silent));
    let doubts = doubting(&silent);
    assert!(!doubts.may_continue_at(&silent));
    assert!(!doubts.must_ask(&silent, StartUse::Rest, true));
    assert_eq!(
        doubts.judge(&silent, ReportedStart::Unknown),
        StartVerdict::Doubtful
    );
}

#[test]
fn a_server_with_a_start_time_is_asked_before_the_rest_of_a_stream() {
    let reporting = server("v1", Some(5));
    let doubts = StartDoubts::default();
    assert!(doubts.must_ask(&reporting, StartUse::Rest, true));
    assert!(doubts.must_ask(&reporting, StartUse::Begin, false));
    assert!(!doubts.must_ask(&reporting, StartUse::Begin, true));
    assert!(!doubts.must_ask(&reporting, StartUse::Other, false));
    assert!(doubting(&reporting).must_ask(&reporting, StartUse::Begin, true));
}

#[test]
fn the_start_time_that_a_server_reports_decides() {
    let reporting = server("v1", Some(5));
    let doubts = doubting(&reporting);
    assert_eq!(
        doubts.judge(&reporting, ReportedStart::At(5)),
        StartVerdict::Same
    );
    assert_eq!(
        doubts.judge(&reporting, ReportedStart::At(6)),
        StartVerdict::Another
    );
    assert_eq!(
        doubts.judge(&reporting, ReportedStart::Unnamed),
        StartVerdict::Another
    );
    assert_eq!(
        doubts.judge(&reporting, ReportedStart::Unknown),
        StartVerdict::Doubtful
    );
    let none = StartDoubts::default();
    assert_eq!(
        none.judge(&reporting, ReportedStart::Unknown),
        StartVerdict::Listed
    );
}

#[test]
fn a_report_resolves_only_earlier_doubts() {
    let reporting = server("v1", Some(5));
    let mut doubts = doubting(&reporting);
    doubts.resolve("i-1", TimeUs(NOTICED_AT.0 - 1));
    assert!(doubts.is_in_doubt("i-1"));
    doubts.resolve("i-1", NOTICED_AT);
    assert!(!doubts.is_in_doubt("i-1"));
}

/// Guards against a list that still has the entry of the start before.
#[test]
fn a_doubt_lasts_until_the_server_has_had_time_to_write_its_entry() {
    let silent = server("v1", None);
    let mut doubts = doubting(&silent);
    doubts.update(NOTICED_AT.after(LIST_LAG), &list(&silent));
    assert!(doubts.is_in_doubt("i-1"));
    doubts.update(TimeUs(NOTICED_AT.after(LIST_LAG).0 + 1), &list(&silent));
    assert!(!doubts.is_in_doubt("i-1"));
}

/// Guards against refusing streams for long because a server has closed one connection.
#[test]
fn a_broken_connection_casts_doubt_until_the_next_list_on_a_server_with_a_start_time() {
    let reporting = server("v1", Some(5));
    let mut doubts = StartDoubts::default();
    assert!(doubts.record(NOTICED_AT, &reporting, EndSign::Possible));
    doubts.update(NOTICED_AT, &list(&reporting));
    assert!(doubts.is_in_doubt("i-1"));
    assert!(doubts.record(NOTICED_AT, &reporting, EndSign::Certain));
    assert!(!doubts.record(NOTICED_AT, &reporting, EndSign::Possible));
    doubts.update(TimeUs(NOTICED_AT.0 + 1), &list(&reporting));
    assert!(doubts.is_in_doubt("i-1"), "it has ended for certain");
    let mut doubts = StartDoubts::default();
    doubts.record(NOTICED_AT, &reporting, EndSign::Possible);
    doubts.update(TimeUs(NOTICED_AT.0 + 1), &list(&reporting));
    assert!(!doubts.is_in_doubt("i-1"));
}

/// Guards against a list that still has the entry of the start before, for a server that can't say so, and
/// against refusing streams once it is known to go on.
#[test]
fn a_broken_connection_to_a_server_without_a_start_time_casts_doubt_until_evidence_or_its_entry() {
    let silent = server("v1", None);
    let mut doubts = StartDoubts::default();
    assert!(doubts.record(NOTICED_AT, &silent, EndSign::Possible));
    doubts.update(NOTICED_AT.after(POSSIBLE_LAG), &list(&silent));
    assert!(!doubts.may_continue_at(&silent));
    doubts.resolve("i-1", TimeUs(NOTICED_AT.0 + 1));
    assert!(doubts.may_continue_at(&silent));
    doubts.record(NOTICED_AT, &silent, EndSign::Possible);
    doubts.update(TimeUs(NOTICED_AT.after(POSSIBLE_LAG).0 + 1), &list(&silent));
    assert!(doubts.may_continue_at(&silent));
}

/// Guards against taking a connection for one to the listed start that was opened while the list may have had
/// the entry of the start before.
#[test]
fn only_connections_from_well_before_the_list_lead_to_the_start_that_it_describes() {
    let list_at = TimeUs(10_000_000);
    let before = TimeUs(list_at.0 - LIST_LAG.0);
    assert_eq!(described_before(list_at, TimeUs(0)), Some(before));
    assert_eq!(described_before(list_at, before), Some(before));
    let outage_end = TimeUs(before.0 + 1);
    assert_eq!(described_before(list_at, outage_end), None);
    assert_eq!(described_before(TimeUs(1), TimeUs(0)), None);
}

/// Guards against taking a connection for one to the listed start that was opened while the server was in
/// doubt, or just before its end was noticed, however often that is noticed again.
#[test]
fn only_connections_from_well_before_a_doubt_lead_to_the_listed_start() {
    let notice_lag = SpanUs::from_ms(500);
    let silent = server("v1", None);
    let noticed_at = TimeUs(10_000_000);
    let mut doubts = StartDoubts::default();
    doubts.record(noticed_at, &silent, EndSign::Possible);
    let before = TimeUs(noticed_at.0 - notice_lag.0);
    let later = TimeUs(noticed_at.0 + 1_000_000);
    assert_eq!(doubts.trusted_before(later, "i-1"), before);
    doubts.record(later, &silent, EndSign::Certain);
    assert_eq!(doubts.trusted_before(later, "i-1"), before);
    let of_others = TimeUs(later.0 - notice_lag.0);
    assert_eq!(doubts.trusted_before(later, "i-2"), of_others);
    doubts.resolve("i-1", later);
    assert_eq!(doubts.trusted_before(later, "i-1"), of_others);
}

#[test]
fn a_doubt_ends_with_another_entry() {
    let reporting = server("v1", Some(5));
    for other in [server("v1", Some(6)), server("v2", Some(5))] {
        let mut doubts = doubting(&reporting);
        doubts.update(TimeUs(0), &list(&other));
        assert!(doubts.is_empty());
    }
    let mut doubts = doubting(&reporting);
    doubts.update(TimeUs(0), &ServerList::default());
    assert!(doubts.is_empty());
}

#[test]
fn streams_of_unknown_version_are_remembered_until_the_list_shows_their_server() {
    let silent = server("v1", None);
    let mut doubts = StartDoubts::default();
    assert!(doubts.record_unproven_stream(NOTICED_AT, &silent));
    assert!(!doubts.record_unproven_stream(NOTICED_AT, &silent));
    doubts.update(NOTICED_AT, &list(&silent));
    assert!(doubts.has_unproven_streams("models"));
    assert!(!doubts.has_unproven_streams("plain"));
    assert!(!doubts.has_unproven_streams("a"));
    doubts.update(just_after(LIST_LAG), &list(&silent));
    assert!(doubts.is_empty());
}

/// Guards against streams that are refused for longer than their server is in doubt.
#[test]
fn what_settles_the_doubt_of_a_server_settles_the_streams_that_began_there() {
    let begun_at = NOTICED_AT.after(SpanUs::from_ms(5));
    let possible = |server: &BackendServer| {
        let mut doubts = StartDoubts::default();
        doubts.record(NOTICED_AT, server, EndSign::Possible);
        doubts.record_unproven_stream(begun_at, server);
        doubts
    };
    let silent = server("v1", None);
    let mut listed = possible(&silent);
    listed.update(just_after(POSSIBLE_LAG), &list(&silent));
    assert!(listed.is_empty());
    let settled_by = NOTICED_AT.after(POSSIBLE_LAG);
    let mut proven = possible(&silent);
    assert_eq!(proven.unproven_until("models"), Some(settled_by));
    assert_eq!(proven.unproven_until("others"), None);
    proven.resolve("i-1", NOTICED_AT);
    assert!(proven.has_unproven_streams("models"), "it began later");
    proven.resolve("i-2", begun_at);
    assert!(proven.has_unproven_streams("models"), "another server");
    proven.resolve("i-1", begun_at);
    assert!(proven.is_empty());
    let mut reporting = possible(&server("v1", Some(5)));
    reporting.update(just_after(POSSIBLE_LAG), &list(&server("v1", Some(5))));
    assert!(reporting.has_unproven_streams("models"), "it was not asked");
}

/// Guards against peers that forget such a stream before the server at which it may have begun is settled.
#[test]
fn streams_that_began_elsewhere_last_as_long_as_the_doubts_of_their_service() {
    let silent = server("v1", None);
    let mut doubts = StartDoubts::default();
    doubts.record(NOTICED_AT, &silent, EndSign::Possible);
    doubts.record_unproven_elsewhere(NOTICED_AT, "models", &list(&silent));
    doubts.record_unproven_elsewhere(NOTICED_AT, "others", &list(&silent));
    doubts.update(just_after(POSSIBLE_LAG), &list(&silent));
    assert!(!doubts.has_unproven_streams("models"));
    assert!(doubts.has_unproven_streams("others"));
    doubts.update(just_after(LIST_LAG), &list(&silent));
    assert!(doubts.is_empty());
}

/// Guards against peers that take a server for settled which has ended again since they were told.
#[test]
fn a_further_end_is_news_after_a_while() {
    let silent = server("v1", None);
    let mut doubts = doubting(&silent);
    assert!(!doubts.record(NOTICED_AT, &silent, EndSign::Certain));
    let later = NOTICED_AT.after(SpanUs::from_ms(250));
    assert!(doubts.record(later, &silent, EndSign::Certain));
}

/// Guards against state that grows with the servers that were ever lost.
#[test]
fn the_servers_in_doubt_are_bounded() {
    let mut doubts = StartDoubts::default();
    for number in 0..5_000_u64 {
        let lost = BackendServer {
            id: format!("i-{number:04}"),
            ..server("v1", None)
        };
        doubts.record(TimeUs(number), &lost, EndSign::Possible);
    }
    assert!(!doubts.is_in_doubt("i-0000"));
    assert!(doubts.is_in_doubt("i-4999"));
}
