//! Tests that a gateway tells a peer whose connections are reset from one that is lost.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread::{self, sleep};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde::Serialize;
use socket2::SockRef;
use standins::platform_caller::exchange;
use standins::platform_run::{PlatformRun, RunningGateway, wait_until};

/// How long a watch lasts before its connection is reset.
const WATCH_TIME: Duration = Duration::from_millis(100);
/// How long connections are reset.
const RESETS: Duration = Duration::from_secs(3);

/// The entry of a process in the store.
#[derive(Serialize)]
struct Entry {
    a: SocketAddr,
    i: String,
    w: u64,
}

/// A peer that says which instance it is and resets each watch; its thread ends with the test's process.
struct ResettingPeer {
    address: SocketAddr,
    watches: Arc<AtomicUsize>,
}

impl ResettingPeer {
    /// Starts a peer; it is another instance in each response if `restarts`.
    fn start(restarts: bool) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
        let address = listener.local_addr().expect("an address");
        let watches = Arc::new(AtomicUsize::new(0));
        let count = Arc::clone(&watches);
        thread::spawn(move || {
            for connection in listener.incoming().flatten() {
                let count = Arc::clone(&count);
                // A gateway that closes first ends the connection.
                thread::spawn(move || serve(connection, &count, restarts));
            }
        });
        Self { address, watches }
    }

    fn entry(&self) -> Vec<u8> {
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        let entry = Entry {
            a: self.address,
            i: "instance".to_owned(),
            w: u64::try_from(now.expect("a time").as_millis()).expect("a time"),
        };
        cbor(&entry)
    }
}

fn cbor(value: &impl Serialize) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).expect("CBOR");
    bytes
}

fn serve(mut connection: TcpStream, watches: &AtomicUsize, restarts: bool) -> std::io::Result<()> {
    let mut bytes = vec![0; 4_096];
    loop {
        let count = connection.read(&mut bytes)?;
        if count == 0 {
            return Ok(());
        }
        let text = String::from_utf8_lossy(&bytes[..count]);
        if text.contains("/peers/watch") {
            watches.fetch_add(1, Ordering::Relaxed);
            sleep(WATCH_TIME);
            return SockRef::from(&connection).set_linger(Some(Duration::ZERO));
        }
        let body = if text.contains("/peers/instance") {
            let start = if restarts {
                watches.load(Ordering::Relaxed)
            } else {
                0
            };
            cbor(&format!("instance-{start}"))
        } else {
            Vec::new()
        };
        let status = if body.is_empty() { 404 } else { 200 };
        let head = format!(
            "HTTP/1.1 {status} X\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        connection.write_all(head.as_bytes())?;
        connection.write_all(&body)?;
    }
}

/// Returns how often a gateway has read what other processes ran.
fn loads(gateway: &RunningGateway) -> usize {
    let metrics = gateway.addresses.metrics.expect("an address");
    let request = b"GET /metrics HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
    let text = exchange(metrics, request).expect("metrics").body;
    let calls = text.lines().filter(|line| {
        line.starts_with("clementinepick_store_calls_total{") && line.contains("load_requests")
    });
    let counts = calls.filter_map(|line| line.rsplit(' ').next()?.parse::<usize>().ok());
    counts.sum()
}

/// Returns how often a gateway reads what others ran while each watch of its peer is reset, and the number of
/// watches.
fn loads_beside(peer: &ResettingPeer) -> (usize, usize) {
    let run = PlatformRun::start(1).expect("a platform run");
    run.store
        .put_bytes("keyed.processes", "peer", &peer.entry());
    wait_until(|| peer.watches.load(Ordering::Relaxed) > 0).expect("a watch");
    let before = loads(&run.gateways[0]);
    sleep(RESETS);
    let loads = loads(&run.gateways[0]) - before;
    (loads, peer.watches.load(Ordering::Relaxed))
}

/// Guards against reading all records of running requests, which the store refuses if many gateways do, since
/// connections between gateways were reset.
#[test]
fn resets_of_a_peer_that_runs_cause_no_reads() {
    let (loads, watches) = loads_beside(&ResettingPeer::start(false));
    assert!(watches > 3, "{watches} watches");
    assert_eq!(loads, 0, "{watches} watches");
}

/// Guards against missing a peer that has ended and started again while its connection broke.
#[test]
fn a_peer_that_has_started_again_is_lost() {
    let (loads, _) = loads_beside(&ResettingPeer::start(true));
    assert!(loads > 0);
}
