//! What a process does with peers on its link port: those that hold the key, and hostile ones.

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
use exchange::{PATIENCE, get};
use futures_util::{SinkExt, StreamExt};
use support::{KEY, end, keys, sidecar_settings};
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_tungstenite::tungstenite::{Bytes as FrameBytes, Message as Frame};
use tokio_tungstenite::{WebSocketStream, client_async};

const OTHER_KEY: &str = "another key that nobody here holds";

/// A test's end of a link.
struct Client {
    socket: WebSocketStream<TcpStream>,
}

fn entry(vm: &str, incarnation: u64) -> Peer {
    Peer {
        vm: vm.parse().expect("a name"),
        incarnation: Incarnation(incarnation),
        role: VmRole::Entry,
        zone: "kinigi-room".parse().expect("a name"),
        service: None,
    }
}

impl Client {
    async fn dial(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).await.expect("it listens");
        let url = format!("ws://{address}/");
        let (socket, _) = client_async(url, stream).await.expect("a websocket");
        Self { socket }
    }

    async fn send(&mut self, bytes: Vec<u8>) {
        // The other end may have closed already, which the test looks at afterwards.
        let _ = self
            .socket
            .send(Frame::Binary(FrameBytes::from(bytes)))
            .await;
    }

    /// The next frame; nothing once the link is closed.
    async fn next(&mut self) -> Option<FrameBytes> {
        let frame = timeout(PATIENCE, self.socket.next()).await;
        match frame.expect("a frame or the end") {
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

    /// Proves as `own`; false when it was refused. The proof is given back for a replay.
    async fn prove(&mut self, keys: &LinkKeys, nonce: Nonce, own: &Peer) -> (bool, Proof) {
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

async fn linked(daemon: &Daemon, vm: &str, incarnation: u64) -> Client {
    let mut client = Client::dial(daemon.link_address()).await;
    let own = entry(vm, incarnation);
    let (welcome, _) = client.prove(&keys(KEY, None), [7; 32], &own).await;
    assert!(welcome);
    client
}

/// Waits until the daemon has counted the event.
fn wait_for_event(daemon: &Daemon, name: &str) {
    let line = format!("clementinepick_events_total{{event=\"{name}\"}}");
    let started = Instant::now();
    while !get(daemon.http_address(), "/metrics").contains(&line) {
        assert!(started.elapsed() < PATIENCE, "no event {name}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

fn run(settings: Settings, test: impl AsyncFnOnce(&Daemon)) {
    let daemon = Daemon::start(settings).expect("it starts");
    actix_rt::System::new().block_on(test(&daemon));
    end(daemon);
}

#[test]
fn a_peer_with_the_key_gets_heartbeats() {
    run(sidecar_settings(), async |daemon| {
        let mut client = linked(daemon, "entry-a", 1).await;
        assert!(matches!(client.next_message().await, Message::Heartbeat(_)));
    });
}

// A process of another deployment, or one left behind by a rotation, connects. It gets no link and
// an operator sees why.
#[test]
fn a_wrong_key_is_refused_with_an_event() {
    run(sidecar_settings(), async |daemon| {
        let mut client = Client::dial(daemon.link_address()).await;
        let wrong = keys(OTHER_KEY, None);
        let (welcome, _) = client.prove(&wrong, [7; 32], &entry("entry-a", 1)).await;
        assert!(!welcome);
        wait_for_event(daemon, "link_refused");
    });
}

// Halfway through a rotation this process holds both keys: peers with either are let in.
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
            let mut client = Client::dial(daemon.link_address()).await;
            let (welcome, _) = client.prove(&keys(key, None), [7; 32], &entry(vm, 1)).await;
            assert!(welcome, "{vm}");
        }
    });
}

// Someone has recorded a whole handshake and plays its frames back. The sidecar has drawn another
// nonce, so the recorded proof is worth nothing.
#[test]
fn a_replayed_proof_is_refused() {
    run(sidecar_settings(), async |daemon| {
        let own = entry("entry-a", 1);
        let mut first = Client::dial(daemon.link_address()).await;
        let (welcome, recorded) = first.prove(&keys(KEY, None), [7; 32], &own).await;
        assert!(welcome);
        let mut replay = Client::dial(daemon.link_address()).await;
        replay.send(encode(&Hello::new([7; 32], own))).await;
        let _: Challenge = decode(&replay.next().await.expect("a frame")).expect("a challenge");
        replay.send(encode(&recorded)).await;
        assert!(!replay.is_welcome().await);
        wait_for_event(daemon, "link_refused");
    });
}

// Without the key, a peer sends a frame of megabytes to fill the memory. The limit before the proof
// is some kilobytes, so the frame is refused by its header.
#[test]
fn a_large_frame_before_the_proof_closes_the_connection() {
    run(sidecar_settings(), async |daemon| {
        let mut client = Client::dial(daemon.link_address()).await;
        client.send(vec![0; 1_000_000]).await;
        assert!(client.next().await.is_none());
    });
}

// A peer of another version, or a broken one, sends what is no message. Its link closes with an
// event; the links of others go on.
#[test]
fn garbage_closes_the_link_of_its_sender_only() {
    run(sidecar_settings(), async |daemon| {
        let mut other = linked(daemon, "entry-b", 1).await;
        let mut client = linked(daemon, "entry-a", 1).await;
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
        let mut client = linked(daemon, "entry-a", 1).await;
        client.send(vec![0; 1_100_000]).await;
        assert!(client.is_closed().await);
        wait_for_event(daemon, "link_fault");
    });
}

// An entry is replaced; the old process wakes up and connects again. Were it let in, it would push
// out its successor's link, and the two would take turns.
#[test]
fn an_earlier_life_does_not_push_out_a_later_one() {
    run(sidecar_settings(), async |daemon| {
        let mut later = linked(daemon, "entry-a", 2).await;
        assert!(matches!(later.next_message().await, Message::Heartbeat(_)));
        let mut earlier = linked(daemon, "entry-a", 1).await;
        assert!(earlier.is_closed().await);
        later.next_message().await;
        let mut next = linked(daemon, "entry-a", 3).await;
        assert!(later.is_closed().await);
        next.next_message().await;
    });
}

// The path from the entry is cut in one direction: the sidecar's sends still seem to succeed, but
// nothing comes. It closes the link after the silence limit, so that the entry connects anew.
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
        let mut client = linked(daemon, "entry-a", 1).await;
        assert!(client.is_closed().await);
        wait_for_event(daemon, "link_down");
    });
}
