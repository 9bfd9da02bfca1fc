//! Routes and what callers are told.

use clementinepick::refusal::{Refusal, ledger_retry_after};
use clementinepick::traffic_config::{RequestKind, TrafficConfig, TrafficRoute};
use clementinepick::units::SpanUs;

fn route(host: &str, path_prefix: &str, services: &[(&str, u32)]) -> TrafficRoute {
    TrafficRoute {
        name: path_prefix.to_owned(),
        host: host.to_owned(),
        path_prefix: path_prefix.to_owned(),
        kind: RequestKind::Idempotent,
        services: services
            .iter()
            .map(|(s, w)| ((*s).to_owned(), *w))
            .collect(),
        timeout_us: SpanUs::from_s(1),
        target_latency_us: SpanUs::from_ms(100),
        gap_target_us: SpanUs::from_ms(100),
        attempts: 1,
        priority: 0,
        is_resumable: false,
        keeps_context: false,
        retention_us: SpanUs::from_s(60),
    }
}

#[test]
fn the_longest_prefix_of_the_host_decides() {
    let config = TrafficConfig {
        routes: vec![
            route("h", "/", &[("all", 1)]),
            route("h", "/a/", &[("a", 1)]),
            route("h", "/a/b/", &[("ab", 1)]),
            route("other", "/a/b/c/", &[("other", 1)]),
        ],
        ..TrafficConfig::default()
    };
    let found = |host: &str, path: &str| {
        let route = config.route(host, path)?;
        Some(route.path_prefix.clone())
    };
    assert_eq!(found("h", "/a/b/c/d").as_deref(), Some("/a/b/"));
    assert_eq!(found("H", "/a/bc").as_deref(), Some("/a/"));
    assert_eq!(found("h", "/ab").as_deref(), Some("/"));
    assert_eq!(found("other", "/a/b/"), None);
    assert_eq!(found("nobody", "/"), None);
}

#[test]
fn services_share_requests_by_weight() {
    let route = route("h", "/", &[("a", 9), ("b", 1)]);
    let to_b = (0..1_000).filter(|draw| route.choose_service(*draw) == Some("b"));
    assert_eq!(to_b.count(), 100);
}

/// A caller repeats a request only after a promise that it has not run. Statuses that promise so
/// must not be given where a server may have run it.
#[test]
fn only_refusals_before_a_send_promise_that_nothing_ran() {
    for refusal in [Refusal::NoAnswerInTime, Refusal::ServerLost] {
        let status = refusal.response().status;
        assert!(![402, 408, 421, 429, 503].contains(&status), "{refusal:?}");
    }
    for refusal in [
        Refusal::LedgerUnavailable,
        Refusal::NoServer,
        Refusal::NotSentInTime,
    ] {
        let answer = refusal.response();
        assert_eq!(answer.status, 503);
        assert!(answer.retry_after_us.is_some(), "{refusal:?}");
    }
}

#[test]
fn callers_come_back_later_the_longer_the_log_is_away() {
    assert_eq!(ledger_retry_after(SpanUs(0)), SpanUs::from_ms(700));
    assert_eq!(
        ledger_retry_after(SpanUs::from_ms(1_500)),
        SpanUs::from_ms(1_500)
    );
    assert_eq!(ledger_retry_after(SpanUs::from_s(60)), SpanUs::from_s(4));
}
