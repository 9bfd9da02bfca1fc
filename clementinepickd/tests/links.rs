//! The link port of a process: which peers it accepts, and how it handles hostile or broken ones.

mod exchange;
mod support;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use clementinepick::ids::Incarnation;
use clementinepick::message::{Message, Peer};
use clementinepick::platform::VmRole;
use clementinepick::units::{Bytes, SpanUs};
use clementinepickd::Daemon;
use clementinepickd::handshake::{
    Challenge, Hello, Nonce, Proof, Side, Transcript, Welcome, decode, encode, prove, verify,
};
use clementinepickd::settings::{Limits, LinkKeys, LinkSettings, Settings};
use exchange::{TEST_TIMEOUT, get};
use futures_util::{SinkExt, StreamExt};
use support::{KEY, end, keys, sidecar_settings};
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_tungstenite::tungstenite::{Bytes as FrameBytes, Message as Frame};
use tokio_tungstenite::{WebSocketStream, client_async};

const OTHER_KEY: &str = "another key that nobody here holds";

/// A link client of a test.
struct LinkClient {
    socket: WebSocketStream<TcpStream>,
}

fn entry(vm: &str, incarnation: u64) -> Peer {
    Peer {
        vm: vm.parse().expect("a valid name"),
        incarnation: Incarnation(incarnation),
        role: VmRole::Entry,
        zone: "kinigi-room".parse().expect("a valid name"),
        service: None,
    }
}

impl LinkClient {
    async fn connect(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address)
            .await
            .expect("the daemon accepts connections");
        let url = format!("ws://{address}/");
        let (socket, _) = client_async(url, stream)
            .await
            .expect("a WebSocket handshake");
        Self { socket }
    }

    async fn send(&mut self, bytes: Vec<u8>) {
        // The daemon may have closed the link already; the test checks that afterwards.
        let _ = self
            .socket
            .send(Frame::Binary(FrameBytes::from(bytes)))
            .await;
    }

    /// Returns the next frame, or `None` once the link is closed.
    async fn next(&mut self) -> Option<FrameBytes> {
        let frame = timeout(TEST_TIMEOUT, self.socket.next()).await;
        match frame.expect("a frame or the end of the link") {
            Some(Ok(Frame::Binary(bytes))) => Some(bytes),
            Some(Ok(Frame::Close(_)) | Err(_)) | None => None,
            Some(Ok(other)) => panic!("{other:?}"),
        }
    }

    async fn is_closed(&mut self) -> bool {
        while let Some(bytes) = self.next().await {
            let _: Message = decode(&bytes).expect("a message");
        }
        true
    }

    async fn next_message(&mut self) -> Message {
        decode(&self.next().await.expect("an open link")).expect("a message")
    }

    /// Runs the handshake as `own`; returns whether it was accepted, and the proof for a replay.
    async fn authenticate(&mut self, keys: &LinkKeys, nonce: Nonce, own: &Peer) -> (bool, Proof) {
        self.send(encode(&Hello::new(nonce, own.clone()))).await;
        let challenge = self.next().await.expect("a challenge");
        let challenge: Challenge = decode(&challenge).expect("a challenge");
        let transcript = Transcript {
            connecting_nonce: &nonce,
            connecting: own,
            accepting_nonce: &challenge.nonce,
            accepting: &challenge.peer,
        };
        if keys.current == support::keys(KEY, None).current {
            verify(keys, Side::Accepting, &transcript, &challenge.proof).expect("a proof");
        }
        let proof = prove(keys, Side::Connecting, &transcript);
        self.send(encode(&proof)).await;
        (self.is_welcome().await, proof)
    }

    async fn is_welcome(&mut self) -> bool {
        let Some(frame) = self.next().await else {
            return false;
        };
        let Welcome = decode(&frame).expect("a welcome");
        true
    }
}

async fn connect_link(daemon: &Daemon, vm: &str, incarnation: u64) -> LinkClient {
    let mut client = LinkClient::connect(daemon.link_address()).await;
    let own = entry(vm, incarnation);
    let (welcome, _) = client.authenticate(&keys(KEY, None), [7; 32], &own).await;
    assert!(welcome);
    client
}

/// Waits until the daemon's metrics count the event.
fn wait_for_event(daemon: &Daemon, name: &str) {
    let line = format!("clementinepick_events_total{{event=\"{name}\"}}");
    let started = Instant::now();
    while !get(daemon.http_address(), "/metrics").contains(&line) {
        assert!(
            started.elapsed() < TEST_TIMEOUT,
            "the daemon did not count event {name}"
        );
        std::thread::sleep(Duration::from_millis(5));
    }
}

fn run(settings: Settings, test: impl AsyncFnOnce(&Daemon)) {
    let daemon = Daemon::start(settings).expect("the daemon starts");
    actix_rt::System::new().block_on(test(&daemon));
    end(daemon);
}

#[test]
fn a_peer_with_the_key_gets_heartbeats() {
    run(sidecar_settings(), async |daemon| {
        let mut client = connect_link(daemon, "entry-a", 1).await;
        assert!(matches!(client.next_message().await, Message::Heartbeat(_)));
    });
}

// A process of another deployment, or one that missed a key rotation, must get no link, and an
// operator must see why.
#[test]
fn a_wrong_key_is_refused_with_an_event() {
    run(sidecar_settings(), async |daemon| {
        let mut client = LinkClient::connect(daemon.link_address()).await;
        let wrong = keys(OTHER_KEY, None);
        let (welcome, _) = client
            .authenticate(&wrong, [7; 32], &entry("entry-a", 1))
            .await;
        assert!(!welcome);
        wait_for_event(daemon, "link_refused");
    });
}

// During a key rotation a process holds both keys and must accept peers with either.
#[test]
fn both_keys_are_valid_during_a_rotation() {
    let links = LinkSettings {
        keys: keys(OTHER_KEY, Some(KEY)),
        ..LinkSettings::default()
    };
    let settings = Settings {
        links,
        ..sidecar_settings()
    };
    run(settings, async |daemon| {
        for (vm, key) in [("entry-a", KEY), ("entry-b", OTHER_KEY)] {
            let mut client = LinkClient::connect(daemon.link_address()).await;
            let (welcome, _) = client
                .authenticate(&keys(key, None), [7; 32], &entry(vm, 1))
                .await;
            assert!(welcome, "{vm}");
        }
    });
}

// Guards against replay of a recorded handshake: the sidecar draws a new nonce for each link.
#[test]
fn a_replayed_proof_is_refused() {
    run(sidecar_settings(), async |daemon| {
        let own = entry("entry-a", 1);
        let mut first = LinkClient::connect(daemon.link_address()).await;
        let (welcome, recorded) = first.authenticate(&keys(KEY, None), [7; 32], &own).await;
        assert!(welcome);
        let mut replay = LinkClient::connect(daemon.link_address()).await;
        replay.send(encode(&Hello::new([7; 32], own))).await;
        let _: Challenge = decode(&replay.next().await.expect("a frame")).expect("a challenge");
        replay.send(encode(&recorded)).await;
        assert!(!replay.is_welcome().await);
        wait_for_event(daemon, "link_refused");
    });
}

// Guards against memory exhaustion by peers without the key: before authentication, the frame limit
// is a few kilobytes, and a larger frame is refused by its header.
#[test]
fn a_large_frame_before_the_proof_closes_the_connection() {
    run(sidecar_settings(), async |daemon| {
        let mut client = LinkClient::connect(daemon.link_address()).await;
        client.send(vec![0; 1_000_000]).await;
        assert!(client.next().await.is_none());
    });
}

// A peer that sends an invalid message must lose its link, with an event, but no other peer may.
#[test]
fn an_invalid_message_closes_the_link_of_its_sender_only() {
    run(sidecar_settings(), async |daemon| {
        let mut other = connect_link(daemon, "entry-b", 1).await;
        let mut client = connect_link(daemon, "entry-a", 1).await;
        client.send(b"garbage".to_vec()).await;
        assert!(client.is_closed().await);
        wait_for_event(daemon, "link_fault");
        assert!(matches!(other.next_message().await, Message::Heartbeat(_)));
    });
}

#[test]
fn a_frame_over_the_limit_closes_the_link() {
    let settings = Settings {
        links: LinkSettings {
            max_frame_bytes: Bytes(1_002_000),
            ..sidecar_settings().links
        },
        limits: Limits {
            body_bytes: Bytes(1_000),
            ..Limits::default()
        },
        ..sidecar_settings()
    };
    run(settings, async |daemon| {
        let mut client = connect_link(daemon, "entry-a", 1).await;
        client.send(vec![0; 1_100_000]).await;
        assert!(client.is_closed().await);
        wait_for_event(daemon, "link_fault");
    });
}

// A replaced entry that resumes and reconnects must not replace its successor's link; otherwise the
// two would close each other's links in turn.
#[test]
fn an_earlier_incarnation_does_not_replace_the_link_of_a_later_one() {
    run(sidecar_settings(), async |daemon| {
        let mut later = connect_link(daemon, "entry-a", 2).await;
        assert!(matches!(later.next_message().await, Message::Heartbeat(_)));
        let mut earlier = connect_link(daemon, "entry-a", 1).await;
        assert!(earlier.is_closed().await);
        later.next_message().await;
        let mut next = connect_link(daemon, "entry-a", 3).await;
        assert!(later.is_closed().await);
        next.next_message().await;
    });
}

// When the path from the entry is cut in one direction, the sidecar's sends still seem to succeed.
// It must close the link after the idle timeout, so that the entry reconnects.
#[test]
fn a_silent_link_is_closed() {
    let settings = Settings {
        links: LinkSettings {
            idle_timeout_us: SpanUs::from_ms(200),
            ..sidecar_settings().links
        },
        ..sidecar_settings()
    };
    run(settings, async |daemon| {
        let mut client = connect_link(daemon, "entry-a", 1).await;
        assert!(client.is_closed().await);
        wait_for_event(daemon, "link_down");
    });
}
