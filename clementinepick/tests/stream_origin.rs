//! Tests what is known of the origins of streams: the memory and its bounds, which servers fit, and
//! what the lists of servers imply.

use clementinepick::listed_versions::{
    ListedVersions, RecordedVersion, ServiceVersions, VersionEvidence, VersionQuestion,
};
use clementinepick::server_list::{BackendServer, ServerList, SoftwareVersion};
use clementinepick::start_doubts::ReportedStart;
use clementinepick::stream_origin::{StreamOrigin, StreamOrigins};
use clementinepick::units::{SpanUs, TimeUs};

fn origin(service: &str, version: &str) -> StreamOrigin {
    StreamOrigin {
        service: service.to_owned(),
        version: SoftwareVersion::from(version.to_owned()),
        is_unproven: false,
        unanswered: None,
    }
}

fn server(service: &str, version: &str) -> BackendServer {
    BackendServer {
        id: "e-1".to_owned(),
        service: service.to_owned(),
        address: "127.0.0.1:1".parse().expect("an address"),
        zone: "z".to_owned(),
        version: SoftwareVersion::from(version.to_owned()),
        slots: 8,
        is_draining: false,
        started_unix_ms: None,
    }
}

#[test]
fn only_servers_of_the_same_service_and_version_fit() {
    let begun = StreamOrigin::at(&server("models", "v1"));
    assert_eq!(begun, origin("models", "v1"));
    assert!(begun.fits(&server("models", "v1")));
    assert!(!begun.fits(&server("models", "v1.1")));
    assert!(!begun.fits(&server("other", "v1")));
}

#[test]
fn no_server_fits_a_stream_of_unknown_version() {
    let begun = StreamOrigin {
        is_unproven: true,
        ..origin("models", "v1")
    };
    assert!(!begun.fits(&server("models", "v1")));
}

/// Guards against a memory that grows with every stream that was ever served.
#[test]
fn expired_streams_are_forgotten() {
    let mut origins = StreamOrigins::default();
    for number in 0..1_000 {
        let now = TimeUs(number);
        let attempt = format!("a{number}");
        origins.record(now, &attempt, origin("models", "v1"), TimeUs(number + 10));
    }
    assert_eq!(origins.len(), 10);
    origins.expire(TimeUs(2_000));
    assert!(origins.is_empty());
}

/// Guards against callers with long deadlines that fill the memory.
#[test]
fn the_number_of_streams_is_bounded() {
    let mut origins = StreamOrigins::default();
    for number in 0..20_000 {
        let attempt = format!("a{number}");
        let expires_at = TimeUs(1_000_000 + number);
        origins.record(TimeUs(0), &attempt, origin("models", "v1"), expires_at);
    }
    assert_eq!(origins.len(), 16_384);
    assert!(origins.get(TimeUs(0), "a0").is_none());
    assert!(origins.get(TimeUs(0), "a19999").is_some());
}

/// Guards against a second record of a stream whose first expiry then deletes it.
#[test]
fn a_later_record_replaces_the_expiry() {
    let mut origins = StreamOrigins::default();
    origins.record(TimeUs(0), "a", origin("models", "v1"), TimeUs(10));
    origins.record(TimeUs(0), "a", origin("models", "v1"), TimeUs(20));
    origins.expire(TimeUs(15));
    assert!(origins.get(TimeUs(15), "a").is_some());
    assert_eq!(origins.len(), 1);
}

fn list(versions: &[&str]) -> ServerList {
    let servers = versions.iter().enumerate().map(|(number, version)| {
        let id = format!("e-{number}");
        (
            id.clone(),
            BackendServer {
                id,
                ..server("models", version)
            },
        )
    });
    ServerList {
        servers: servers.collect(),
    }
}

fn at_s(seconds: u64) -> TimeUs {
    TimeUs(0).after(SpanUs::from_s(seconds))
}

/// Asks for the versions of a service by a list and records as of these seconds.
fn find(
    listed: &ListedVersions,
    now_s: u64,
    service: &str,
    as_of_s: [Option<u64>; 2],
) -> ServiceVersions {
    let question = VersionQuestion {
        service,
        min_known: SpanUs::from_s(8),
        asked_at: at_s(now_s),
    };
    let [list_as_of, records_as_of] = as_of_s.map(|as_of_s| as_of_s.map(at_s));
    let evidence = VersionEvidence {
        list_as_of,
        records_as_of,
    };
    listed.find(at_s(now_s), &question, evidence)
}

/// Returns the version by a list and records that were read at once.
fn sole_version(listed: &ListedVersions, now_s: u64) -> Option<String> {
    match find(listed, now_s, "models", [Some(now_s); 2]) {
        ServiceVersions::Sole(version) => Some(version.to_string()),
        ServiceVersions::Several | ServiceVersions::Unproven => None,
    }
}

/// Guards against a process that has just started and has not seen the versions before.
#[test]
fn a_sole_version_must_have_been_listed_for_long_enough() {
    let mut listed = ListedVersions::default();
    listed.record(at_s(0), &ServerList::default());
    listed.record(at_s(1), &list(&["v1", "v1"]));
    listed.record(at_s(8), &list(&["v1"]));
    assert_eq!(sole_version(&listed, 8), None);
    assert_eq!(sole_version(&listed, 9), Some("v1".to_owned()));
    assert_eq!(
        find(&listed, 9, "other", [Some(9); 2]),
        ServiceVersions::Unproven
    );
}

/// Guards against counting the time since the first list twice when the records are read again.
#[test]
fn records_that_are_read_again_make_no_version_older() {
    let mut listed = ListedVersions::default();
    listed.load(at_s(0), &recorded("v1", 0, None));
    listed.record(at_s(0), &list(&["v1"]));
    for second in 1..8 {
        listed.load(at_s(second), &recorded("v1", second, None));
        assert_eq!(sole_version(&listed, second), None, "at {second} s");
    }
    assert_eq!(sole_version(&listed, 8), Some("v1".to_owned()));
}

/// Guards against concluding from a list or records that are older than the question.
#[test]
fn a_sole_version_is_shown_only_by_what_was_read_after_the_question() {
    let mut listed = ListedVersions::default();
    listed.record(at_s(0), &list(&["v1"]));
    for as_of_s in [
        [None, None],
        [Some(20), None],
        [None, Some(20)],
        [Some(19), Some(20)],
        [Some(20), Some(19)],
    ] {
        let found = find(&listed, 20, "models", as_of_s);
        assert_eq!(found, ServiceVersions::Unproven, "{as_of_s:?}");
    }
    let found = find(&listed, 20, "models", [Some(20), Some(21)]);
    assert_eq!(found, ServiceVersions::Sole("v1".to_owned().into()));
}

/// Guards against reads and waits of a stream that is refused whatever they say.
#[test]
fn two_versions_need_no_new_evidence() {
    let mut listed = ListedVersions::default();
    listed.record(at_s(0), &list(&["v1", "v2"]));
    let found = find(&listed, 20, "models", [None, None]);
    assert_eq!(found, ServiceVersions::Several);
}

/// Guards against a version that joined and left between two lists.
#[test]
fn a_version_that_left_between_two_lists_counts() {
    let mut listed = ListedVersions::default();
    listed.record(at_s(0), &list(&["v1"]));
    listed.record_left(at_s(10), "models", &"v2".to_owned().into());
    for second in [11, 609] {
        listed.record(at_s(second), &list(&["v1"]));
        assert_eq!(sole_version(&listed, second), None, "at {second} s");
    }
    assert!(listed.has_other(at_s(609), "models", &"v1".to_owned().into()));
    listed.record(at_s(610), &list(&["v1"]));
    assert_eq!(sole_version(&listed, 610), Some("v1".to_owned()));
}

/// Guards against a stream that is resumed at the version which has replaced its own, however long its
/// caller has taken.
#[test]
fn a_version_counts_for_as_long_as_a_caller_may_wait() {
    let mut listed = ListedVersions::default();
    listed.record(at_s(0), &list(&["v1", "v1"]));
    listed.record(at_s(20), &list(&["v1", "v2"]));
    assert_eq!(sole_version(&listed, 20), None);
    for second in [21, 30, 619] {
        listed.record(at_s(second), &list(&["v2", "v2"]));
        assert_eq!(sole_version(&listed, second), None, "at {second} s");
    }
    listed.record(at_s(620), &list(&["v2", "v2"]));
    assert_eq!(sole_version(&listed, 620), Some("v2".to_owned()));
}

fn recorded(version: &str, known_s: u64, unlisted_s: Option<u64>) -> RecordedVersion {
    RecordedVersion {
        service: "models".to_owned(),
        version: version.to_owned().into(),
        known_for: SpanUs::from_s(known_s),
        unlisted_for: unlisted_s.map(SpanUs::from_s),
    }
}

/// Guards against a process that takes its first list for the beginning.
#[test]
fn a_version_that_an_earlier_process_recorded_counts() {
    for unlisted_s in [None, Some(0), Some(590)] {
        let mut listed = ListedVersions::default();
        listed.load(at_s(0), &recorded("v1", 3_600, unlisted_s));
        listed.record(at_s(1), &list(&["v2"]));
        assert_eq!(sole_version(&listed, 9), None, "{unlisted_s:?}");
    }
    let mut listed = ListedVersions::default();
    listed.load(at_s(0), &recorded("v1", 3_600, Some(600)));
    listed.record(at_s(1), &list(&["v2"]));
    assert_eq!(sole_version(&listed, 1), Some("v2".to_owned()));
}

/// Guards against refusing streams after each restart although there has been one version only.
#[test]
fn a_sole_version_is_known_for_as_long_as_it_is_recorded() {
    for (known_s, expected) in [(7, None), (8, Some("v1".to_owned()))] {
        let mut listed = ListedVersions::default();
        listed.load(at_s(0), &recorded("v1", known_s, None));
        listed.record(at_s(1), &list(&["v1"]));
        assert_eq!(sole_version(&listed, 1), expected);
    }
}

/// Guards against a stream whose version counts as known although another start has answered, or the
/// server gave no start time.
#[test]
fn only_the_answer_of_the_listed_start_proves_an_origin() {
    let server = BackendServer {
        started_unix_ms: Some(5),
        ..server("models", "v1")
    };
    let unanswered = StreamOrigin::unanswered_at(&server);
    assert!(!unanswered.fits(&server));
    assert_eq!(
        unanswered.answered(ReportedStart::At(5)),
        StreamOrigin::at(&server)
    );
    for reported in [
        ReportedStart::At(6),
        ReportedStart::Unnamed,
        ReportedStart::Unknown,
    ] {
        assert_eq!(
            unanswered.answered(reported),
            StreamOrigin::unproven_at(&server)
        );
    }
    let proven = StreamOrigin::at(&server);
    assert_eq!(proven.answered(ReportedStart::At(6)), proven);
    let unproven = StreamOrigin::unproven_at(&server);
    assert_eq!(unproven.answered(ReportedStart::At(5)), unproven);
}
