//! Tests that a part of a background task's work that panics is reported, and begun again where nobody else
//! would do it.

use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use actix_rt::System;
use clementinepick::ended_servers::{EndState, ServerStart};
use clementinepick::ids::Incarnation;
use clementinepick::request_key::RequestKey;
use clementinepick::server_list::{BackendServer, SoftwareVersion};
use clementinepick::stream_origin::StreamOrigin;
use tokio::sync::{oneshot, watch};
use tokio::task::{LocalSet, spawn_local};

use crate::directory::Directory;
use crate::gateway_ended_messages::RequestOver;
use crate::gateway_hanging::check_unheard;
use crate::gateway_loss::{OpenLoss, settle_losses};
use crate::gateway_metrics::GatewayMetrics;
use crate::gateway_origin_log::write_origins;
use crate::gateway_other_runs::watch_stall;
use crate::gateway_peer_updates::{PeerUpdate, send_updates};
use crate::gateway_peer_watch::watch_peers;
use crate::gateway_prefetch::finish_turn_reads;
use crate::gateway_request_log::write_requests;
use crate::gateway_settings::GatewaySettings;
use crate::gateway_shared::{BackgroundQueues, Shared};
use crate::gateway_start_questions::{StartQuestion, ask_starts};
use crate::gateway_tests::{Log, WAIT, wait_until};
use crate::injected_panics::{inject, remaining};
use crate::list_refresh::refresh_channel;
use crate::logging::new_logger_to;

/// Longer than a process may be late without being stalled.
const STALL: Duration = Duration::from_millis(400);

/// An address at which nothing listens.
fn nowhere() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 1).into()
}

/// Runs `check` with the state of a gateway that has one peer, at [`nowhere`]; returns the log.
fn with_shared(check: impl AsyncFnOnce(Rc<Shared>, BackgroundQueues)) -> String {
    let log = Log::default();
    let settings = GatewaySettings::default();
    let level = settings.log_level;
    let logger = new_logger_to(log.clone(), level, &settings.vm, Incarnation(1));
    let (publish, _) = watch::channel(Directory {
        peers: Arc::new(vec![nowhere()]),
        ..Directory::default()
    });
    let (refresh, _refreshes) = refresh_channel();
    let metrics = Arc::new(GatewayMetrics::new().expect("a recorder"));
    let writer = "writer".to_owned();
    let (shared, queues) = Shared::new(&settings, publish, refresh, logger, metrics, writer);
    System::new().block_on(LocalSet::new().run_until(check(Rc::new(shared), queues)));
    log.text()
}

/// Returns whether the log says of a part of the work that it panicked, `count` times.
fn reports(log: &str, part: &str, count: usize) -> bool {
    let lines = log.lines().filter(|line| line.contains("invariant_broken"));
    lines.filter(|line| line.contains(part)).count() == count
}

fn listed() -> BackendServer {
    BackendServer {
        id: "server".to_owned(),
        service: "service".to_owned(),
        address: nowhere(),
        zone: "zone".to_owned(),
        version: SoftwareVersion::default(),
        slots: 1,
        is_draining: false,
        started_unix_ms: Some(1),
    }
}

fn server() -> ServerStart {
    ServerStart::of(&listed())
}

fn loss() -> OpenLoss {
    OpenLoss {
        request: "request".to_owned(),
        key: "1".parse::<RequestKey>().expect("a key"),
        server: server(),
        shared_run: None,
    }
}

/// Guards against a peer that nobody watches any longer.
#[test]
fn the_watch_of_a_peer_that_panics_is_begun_again() {
    let log = with_shared(async |shared, _queues| {
        inject("peer_watch_call", 2);
        spawn_local(watch_peers(shared));
        assert!(wait_until(|| remaining("peer_watch_call") == 0).await);
    });
    assert!(reports(&log, "peer_watch_call", 2), "{log}");
}

/// Guards against what a lost peer ran remaining unknown.
#[test]
fn the_report_of_a_lost_peer_that_panics_is_begun_again() {
    let log = with_shared(async |shared, _queues| {
        inject("lost_peer", 2);
        spawn_local(watch_peers(shared));
        assert!(wait_until(|| remaining("lost_peer") == 0).await);
    });
    assert!(reports(&log, "lost_peer", 2), "{log}");
}

/// Guards against a server that is never checked again.
#[test]
fn the_check_of_a_server_that_panics_is_begun_again() {
    let log = with_shared(async |shared, _queues| {
        shared.record_left(loss().key, &server(), EndState::Unheard);
        inject("server_check", 2);
        spawn_local(check_unheard(shared));
        assert!(wait_until(|| remaining("server_check") == 0).await);
    });
    assert!(reports(&log, "server_check", 2), "{log}");
}

/// Guards against a run of which nobody finds out whether its server ended.
#[test]
fn the_check_of_a_run_that_was_given_up_is_begun_again_after_a_panic() {
    let log = with_shared(async |shared, mut queues| {
        inject("left_server", 2);
        shared.abandon_run(loss());
        spawn_local(async move { settle_losses(shared, &mut queues.losses).await });
        assert!(wait_until(|| remaining("left_server") == 0).await);
    });
    assert!(reports(&log, "left_server", 2), "{log}");
}

/// Guards against what happened during a stall remaining unknown.
#[test]
fn the_load_after_a_stall_is_begun_again_after_a_panic() {
    let log = with_shared(async |shared, _queues| {
        inject("stall_load", 2);
        spawn_local(watch_stall(shared));
        tokio::task::yield_now().await;
        std::thread::sleep(STALL);
        assert!(wait_until(|| remaining("stall_load") == 0).await);
    });
    assert!(reports(&log, "stall_load", 2), "{log}");
}

/// Guards against a panic that no log shows.
#[test]
fn the_panic_of_a_chain_read_is_logged() {
    let log = with_shared(async |shared, mut queues| {
        inject("turn_read", 1);
        let (sender, mut ids) = tokio::sync::mpsc::channel(1);
        sender.send("turn".to_owned()).await.expect("a receiver");
        std::mem::swap(&mut ids, &mut queues.unfinished_reads);
        spawn_local(async move { finish_turn_reads(shared, &mut queues.unfinished_reads).await });
        assert!(wait_until(|| remaining("turn_read") == 0).await);
    });
    assert!(reports(&log, "turn_read", 1), "{log}");
}

/// Guards against a panic that no log shows.
#[test]
fn the_panic_of_an_update_of_peers_is_logged() {
    let log = with_shared(async |shared, mut queues| {
        inject("peer_update_call", 1);
        let over = RequestOver::Answered(loss().key);
        let sent = shared.updates.send(PeerUpdate::Over(over));
        sent.expect("a receiver");
        spawn_local(async move { send_updates(shared, &mut queues.updates).await });
        assert!(wait_until(|| remaining("peer_update_call") == 0).await);
    });
    assert!(reports(&log, "peer_update_call", 1), "{log}");
}

/// Guards against a panic that no log shows.
#[test]
fn the_panic_of_a_question_for_a_start_is_logged() {
    let log = with_shared(async |shared, mut queues| {
        inject("start_question", 1);
        let (answer, _answered) = oneshot::channel();
        let question = StartQuestion {
            attempt: "attempt".to_owned(),
            server: listed(),
            answer,
        };
        let sent = shared.start_questions.send(question);
        sent.expect("a receiver");
        spawn_local(async move { ask_starts(shared, &mut queues.start_questions).await });
        assert!(wait_until(|| remaining("start_question") == 0).await);
    });
    assert!(reports(&log, "start_question", 1), "{log}");
}

/// Guards against a request whose record gets lost and whose sender waits for it.
#[test]
fn a_record_of_requests_is_written_after_a_panic_of_its_append() {
    let log = with_shared(async |shared, _queues| {
        shared.add_end(loss().key, &server(), EndState::Ended);
        shared.request_log.queue(loss().key);
        inject("request_append", 2);
        spawn_local(keep_running(shared, "request_log", write_requests));
        assert!(wait_until(|| remaining("request_append") == 0).await);
    });
    assert!(reports(&log, "request_append", 2), "{log}");
}

/// Guards against streams whose origins get lost.
#[test]
fn a_record_of_origins_is_written_after_a_panic_of_its_append() {
    let log = with_shared(async |shared, _queues| {
        let now = Instant::now();
        let origin = StreamOrigin {
            service: "service".to_owned(),
            version: SoftwareVersion::default(),
            is_unproven: false,
            unanswered: None,
        };
        shared.log_origin("attempt", origin, now + WAIT, now);
        inject("origin_append", 2);
        spawn_local(keep_running(shared, "origin_log", write_origins));
        assert!(wait_until(|| remaining("origin_append") == 0).await);
    });
    assert!(reports(&log, "origin_append", 2), "{log}");
}

/// Supervises a task as the gateway does.
async fn keep_running(shared: Rc<Shared>, task: &'static str, work: impl AsyncFn(Rc<Shared>)) {
    let work = async || work(Rc::clone(&shared)).await;
    shared.tasks.keep_running(task, work).await;
}
