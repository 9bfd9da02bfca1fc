//! Tests that a gateway goes on when one of its tasks panics.

use std::io::{self, Write};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use actix_rt::time::{sleep, timeout};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use clementinepick::traffic_config::TrafficConfig;
use slog::Logger;
use tokio::sync::watch;

use crate::directory::{Directory, FollowerContext};
use crate::gateway::{Gateway, GatewayAddresses, join};
use crate::gateway_metrics::GatewayMetrics;
use crate::gateway_settings::GatewaySettings;
use crate::gateway_shared::Shared;
use crate::gateway_tasks::ACCEPT_CALLERS_TASK;
use crate::injected_panics::{inject, remaining, started};
use crate::list_refresh::refresh_channel;
use crate::logging::new_unnamed_logger;
use crate::store::StoreClient;

/// How long a condition is waited for.
pub(crate) const WAIT: Duration = Duration::from_secs(10);
const CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// The number of background tasks and accept loops of a gateway.
const TASK_COUNT: usize = 21;

/// The log of a gateway.
#[derive(Clone, Default)]
pub(crate) struct Log(Arc<Mutex<Vec<u8>>>);

impl Log {
    pub(crate) fn text(&self) -> String {
        let bytes = self.0.lock().expect("a log").clone();
        String::from_utf8(bytes).expect("a text")
    }
}

impl Write for Log {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().expect("a log").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// What a follower needs in a test.
pub(crate) struct FollowerFixture {
    pub(crate) store: StoreClient,
    pub(crate) logger: Logger,
    pub(crate) publish: watch::Sender<Directory>,
}

impl FollowerFixture {
    /// Creates a fixture without a store, after `directory` was published.
    pub(crate) fn new(directory: Directory) -> Self {
        let metrics = GatewayMetrics::new().expect("a recorder");
        Self {
            store: StoreClient::new(([127, 0, 0, 1], 1).into(), Arc::new(metrics)),
            logger: Logger::root(slog::Discard, slog::o!()),
            publish: watch::channel(directory).0,
        }
    }

    pub(crate) fn context(&self) -> FollowerContext<'_> {
        FollowerContext {
            store: &self.store,
            logger: &self.logger,
            publish: &self.publish,
        }
    }
}

/// Runs a gateway without a store until `check` completes; returns its log.
fn run_gateway(check: impl AsyncFnOnce(GatewayAddresses)) -> String {
    let settings = GatewaySettings {
        metrics: Some((Ipv4Addr::LOCALHOST, 0).into()),
        drain_delay: Duration::ZERO,
        shutdown_limit: Duration::from_millis(500),
        ..GatewaySettings::default()
    };
    let log = Log::default();
    let gateway = Gateway::bind_logging_to(log.clone(), settings).expect("free ports");
    let addresses = gateway.addresses();
    let stop = async move || {
        check(addresses).await;
        Ok(())
    };
    gateway.run_until(stop).expect("a gateway");
    log.text()
}

pub(crate) async fn wait_until(mut is_met: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + WAIT;
    while !is_met() && Instant::now() < until {
        sleep(CHECK_INTERVAL).await;
    }
    is_met()
}

/// Sends a request and returns the start of the response, empty if there is none in time.
async fn exchange(connection: &mut TcpStream, path: &str) -> String {
    let request = format!("GET {path} HTTP/1.1\r\nHost: h\r\n\r\n");
    let written = connection.write_all(request.as_bytes()).await;
    let mut response = vec![0; 65_536];
    let read = timeout(WAIT, connection.read(&mut response)).await;
    match (written, read) {
        (Ok(()), Ok(Ok(count))) => String::from_utf8_lossy(&response[..count]).into_owned(),
        _ => String::new(),
    }
}

async fn is_served(address: SocketAddr) -> bool {
    let mut connection = TcpStream::connect(address).await.expect("a listener");
    exchange(&mut connection, "/")
        .await
        .starts_with("HTTP/1.1 ")
}

/// Guards against a process that accepts no connections any longer and looks alive.
#[test]
fn each_listener_accepts_connections_after_a_panic_of_its_loop() {
    run_gateway(async |addresses| {
        let metrics = addresses.metrics.expect("an address");
        let loops = [
            ("accept_callers", addresses.callers),
            ("accept_ready", addresses.ready),
            ("accept_peers", addresses.peers),
            ("accept_metrics", metrics),
        ];
        for (task, address) in loops {
            let mut open = TcpStream::connect(address).await.expect("a listener");
            let before = exchange(&mut open, "/").await;
            assert!(before.starts_with("HTTP/1.1 "), "{task}: {before}");
            inject(task, 1);
            assert!(wait_until(|| remaining(task) == 0).await, "{task}");
            let after = exchange(&mut open, "/").await;
            assert!(after.starts_with("HTTP/1.1 "), "{task}, open: {after}");
            assert!(is_served(address).await, "{task}, new");
            let mut connection = TcpStream::connect(metrics).await.expect("a listener");
            let metrics = exchange(&mut connection, "/metrics").await;
            let counted = format!("clementinepick_task_panics_total{{task=\"{task}\"}} 1");
            assert!(metrics.contains(&counted), "{metrics}");
        }
    });
}

/// Guards against a process that goes on for good without a part of its upkeep.
#[test]
fn each_background_task_is_started_again_after_a_panic() {
    let log = run_gateway(async |_| {
        assert!(wait_until(|| started().len() >= TASK_COUNT).await);
        let tasks = started();
        assert_eq!(tasks.len(), TASK_COUNT, "{tasks:?}");
        for task in &tasks {
            inject(task, 2);
        }
        let left = || tasks.iter().filter(|task| remaining(task) > 0);
        wait_until(|| left().count() == 0).await;
        let left: Vec<_> = left().collect();
        assert!(left.is_empty(), "not started again: {left:?}");
    });
    assert_eq!(
        log.matches("task_restarted").count(),
        2 * TASK_COUNT,
        "{log}"
    );
}

/// Guards against callers that are sent to a process which does not accept them.
#[test]
fn a_process_that_fails_to_accept_callers_is_not_ready() {
    let now = Instant::now();
    let (publish, _) = watch::channel(Directory {
        config: Some(Arc::new(TrafficConfig::default())),
        config_as_of: Some(now),
        servers_as_of: Some(now),
        ..Directory::default()
    });
    let (refresh, _refreshes) = refresh_channel();
    let logger = Logger::root(slog::Discard, slog::o!());
    let metrics = Arc::new(GatewayMetrics::new().expect("a recorder"));
    let settings = GatewaySettings::default();
    let (shared, _queues) = Shared::new(
        &settings,
        publish,
        refresh,
        logger,
        metrics,
        "writer".to_owned(),
    );
    shared.ended.set_loaded();
    let end = |task, times| {
        for _ in 0..times {
            shared.tasks.record_end(task, "panic", now);
        }
    };
    end("maintenance", 10);
    end(ACCEPT_CALLERS_TASK, 1);
    assert!(shared.is_ready(now), "serves all the same");
    end(ACCEPT_CALLERS_TASK, 9);
    assert!(!shared.is_ready(now), "does not accept callers");
}

/// Guards against a process whose serving thread hangs while its log says nothing.
#[test]
fn a_hang_of_the_thread_that_serves_is_in_the_log() {
    let log = run_gateway(async |_| {
        sleep(CHECK_INTERVAL).await;
        std::thread::sleep(Duration::from_secs(3));
        sleep(Duration::from_secs(1)).await;
    });
    for message in ["thread_stalled", "thread_resumed"] {
        let line = log.lines().find(|line| line.contains(message));
        assert!(
            line.is_some_and(|line| line.contains("\"thread\":\"main\"")),
            "{log}"
        );
    }
}

/// Guards against a process that does not end after `shutdown_finished` while its log says nothing.
#[test]
fn a_thread_that_keeps_a_process_from_ending_is_in_the_log() {
    let log = Log::default();
    let logger = new_unnamed_logger(log.clone());
    let builder = std::thread::Builder::new().name("late".to_owned());
    let thread = builder.spawn(|| std::thread::sleep(Duration::from_millis(1_200)));
    join(thread.expect("a thread"), &logger);
    let text = log.text();
    assert!(
        text.contains("thread_stalled") && text.contains("\"thread\":\"late\""),
        "{text}"
    );
}
