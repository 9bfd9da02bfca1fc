//! One link: the handshake, then messages both ways until an end closes it.

use std::time::Duration;

use clementinepick::ids::VmId;
use clementinepick::message::{Message, Peer};
use clementinepick::platform::VmRole;
use clementinepick::units::SpanUs;
use futures_util::future::{Either, select};
use futures_util::stream::{SplitSink, SplitStream};
use futures_util::{SinkExt, StreamExt};
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_tungstenite::tungstenite::protocol::{Role, WebSocketConfig};
use tokio_tungstenite::tungstenite::{Bytes, Error as SocketError, Message as Frame};
use tokio_tungstenite::{WebSocketStream, accept_async_with_config, client_async_with_config};

use crate::control_messages::{ControlInput, ControlSender, LinkId};
use crate::handshake::{
    Challenge, HandshakeError, Hello, Nonce, Proof, Side, Transcript, Welcome, check_version,
    decode, encode, prove, verify,
};
use crate::link_queue::{QueueReader, link_queue};
use crate::settings::LinkSettings;

/// The largest frame before the peer has proved itself.
const MAX_HANDSHAKE_BYTES: usize = 4_096;
/// The most messages that go out with one flush.
const MAX_WRITE_BURST: usize = 64;

type Socket = WebSocketStream<TcpStream>;

/// A connection whose two ends have proved themselves.
pub(crate) struct ProvedLink {
    pub(crate) peer: Peer,
    socket: Socket,
}

/// Connects and proves, as the end that dials `expected` at `address`.
pub(crate) async fn connect(
    settings: &LinkSettings,
    own: &Peer,
    expected: &VmId,
    address: &str,
) -> Result<ProvedLink, HandshakeError> {
    let dialling = async {
        let stream = TcpStream::connect(address).await.map_err(broken)?;
        stream.set_nodelay(true).map_err(broken)?;
        let url = format!("ws://{address}/");
        let (mut socket, _) =
            client_async_with_config(url, stream, Some(config(max_frame(settings))))
                .await
                .map_err(broken)?;
        let hello = Hello::new(rand::random(), own.clone());
        send(&mut socket, encode(&hello)).await?;
        let challenge: Challenge = receive(&mut socket).await?;
        if challenge.peer.vm != *expected {
            return Err(HandshakeError::OtherVm(challenge.peer.vm));
        }
        let transcript = transcript(&hello.nonce, own, &challenge.nonce, &challenge.peer);
        verify(
            &settings.keys,
            Side::Accepting,
            &transcript,
            &challenge.proof,
        )?;
        let proof = prove(&settings.keys, Side::Connecting, &transcript);
        send(&mut socket, encode(&proof)).await?;
        let Welcome = receive(&mut socket).await?;
        Ok(ProvedLink {
            peer: challenge.peer,
            socket,
        })
    };
    limited(settings, dialling).await
}

/// Proves, as the end that was connected to.
pub(crate) async fn accept(
    settings: &LinkSettings,
    own: &Peer,
    stream: TcpStream,
) -> Result<ProvedLink, HandshakeError> {
    let accepting = async {
        stream.set_nodelay(true).map_err(broken)?;
        let strict = config(MAX_HANDSHAKE_BYTES);
        let mut socket = accept_async_with_config(stream, Some(strict))
            .await
            .map_err(broken)?;
        let hello: Hello = receive(&mut socket).await?;
        check_version(&hello)?;
        let nonce: Nonce = rand::random();
        let transcript = transcript(&hello.nonce, &hello.peer, &nonce, own);
        let challenge = Challenge {
            nonce,
            peer: own.clone(),
            proof: prove(&settings.keys, Side::Accepting, &transcript),
        };
        send(&mut socket, encode(&challenge)).await?;
        let proof: Proof = receive(&mut socket).await?;
        verify(&settings.keys, Side::Connecting, &transcript, &proof)?;
        if own.role == VmRole::Sidecar && hello.peer.role != VmRole::Entry {
            return Err(HandshakeError::NoEntry(hello.peer.vm));
        }
        send(&mut socket, encode(&Welcome)).await?;
        Ok(ProvedLink {
            peer: hello.peer,
            socket: widen(settings, socket).await,
        })
    };
    limited(settings, accepting).await
}

const fn transcript<'a>(
    connecting_nonce: &'a Nonce,
    connecting: &'a Peer,
    accepting_nonce: &'a Nonce,
    accepting: &'a Peer,
) -> Transcript<'a> {
    Transcript {
        connecting_nonce,
        connecting,
        accepting_nonce,
        accepting,
    }
}

async fn limited(
    settings: &LinkSettings,
    work: impl Future<Output = Result<ProvedLink, HandshakeError>>,
) -> Result<ProvedLink, HandshakeError> {
    let limit = duration(settings.handshake_timeout_us);
    timeout(limit, work)
        .await
        .unwrap_or(Err(HandshakeError::Timeout))
}

/// Accepts large frames from now on.
///
/// Nothing is lost with the buffers of the strict socket: the peer sends nothing between its proof
/// and the welcome.
async fn widen(settings: &LinkSettings, strict: Socket) -> Socket {
    let wide = config(max_frame(settings));
    WebSocketStream::from_raw_socket(strict.into_inner(), Role::Server, Some(wide)).await
}

fn max_frame(settings: &LinkSettings) -> usize {
    usize::try_from(settings.max_frame_bytes.0).unwrap_or(usize::MAX)
}

fn config(limit: usize) -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(limit))
        .max_frame_size(Some(limit))
}

async fn send(socket: &mut Socket, bytes: Vec<u8>) -> Result<(), HandshakeError> {
    let frame = Frame::Binary(Bytes::from(bytes));
    socket.send(frame).await.map_err(broken)
}

async fn receive<T: serde::de::DeserializeOwned>(socket: &mut Socket) -> Result<T, HandshakeError> {
    match socket.next().await {
        Some(Ok(Frame::Binary(bytes))) if bytes.len() <= MAX_HANDSHAKE_BYTES => decode(&bytes),
        Some(Ok(Frame::Binary(_))) => Err(HandshakeError::BadFrame("too long".to_owned())),
        Some(Ok(Frame::Close(_))) | None => Err(HandshakeError::Broken("closed".to_owned())),
        Some(Ok(_)) => Err(HandshakeError::BadFrame("not binary".to_owned())),
        Some(Err(err)) => Err(broken(err)),
    }
}

#[expect(
    clippy::needless_pass_by_value,
    reason = "it stands in calls of map_err"
)]
fn broken(err: impl ToString) -> HandshakeError {
    HandshakeError::Broken(err.to_string())
}

pub(crate) const fn duration(span: SpanUs) -> Duration {
    Duration::from_micros(span.0)
}

/// Why a link ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum LinkEnd {
    /// This process let go of it.
    Released,
    /// The peer closed it, or the connection broke.
    Closed(String),
    /// Nothing came for too long, or nothing could be sent.
    Silent,
    /// The peer sent what is no message.
    BadMessage(String),
}

/// Carries messages over a link until it ends, and reports its beginning and end.
pub(crate) async fn run(
    settings: &LinkSettings,
    link: LinkId,
    proved: ProvedLink,
    control: &ControlSender,
) -> LinkEnd {
    let (queue, messages) = link_queue(settings.queue_messages, settings.queue_bytes);
    let ProvedLink { peer, socket } = proved;
    let vm = peer.vm.clone();
    if !control
        .send(ControlInput::LinkUp { link, peer, queue })
        .await
    {
        return LinkEnd::Released;
    }
    let silence = duration(settings.idle_timeout_us);
    let (sink, stream) = socket.split();
    let reading = Box::pin(read(stream, silence, link, &vm, control));
    let writing = Box::pin(write(sink, silence, messages));
    let end = match select(reading, writing).await {
        Either::Left((end, _)) | Either::Right((end, _)) => end,
    };
    control.send(ControlInput::LinkDown { link, vm }).await;
    end
}

async fn read(
    mut stream: SplitStream<Socket>,
    silence: Duration,
    link: LinkId,
    vm: &VmId,
    control: &ControlSender,
) -> LinkEnd {
    loop {
        // Both ends send heartbeats, so silence means that the peer is gone or that one direction
        // of the path is cut. Closing tells the peer, whose own sends may still seem to succeed.
        let Ok(frame) = timeout(silence, stream.next()).await else {
            return LinkEnd::Silent;
        };
        let bytes = match frame {
            Some(Ok(Frame::Binary(bytes))) => bytes,
            Some(Ok(Frame::Ping(_) | Frame::Pong(_))) => continue,
            Some(Ok(Frame::Close(_))) | None => return LinkEnd::Closed("by the peer".to_owned()),
            Some(Ok(_)) => return LinkEnd::BadMessage("not binary".to_owned()),
            Some(Err(SocketError::Capacity(err))) => return LinkEnd::BadMessage(err.to_string()),
            Some(Err(err)) => return LinkEnd::Closed(err.to_string()),
        };
        let message: Message = match decode(&bytes) {
            Ok(message) => message,
            Err(err) => return LinkEnd::BadMessage(err.to_string()),
        };
        let vm = vm.clone();
        let input = ControlInput::LinkMessage { link, vm, message };
        if !control.send(input).await {
            // This process ends: what waits is still written before the link closes.
            std::future::pending::<()>().await;
        }
    }
}

async fn write(
    mut sink: SplitSink<Socket, Frame>,
    silence: Duration,
    mut messages: QueueReader,
) -> LinkEnd {
    loop {
        let burst = messages.take(MAX_WRITE_BURST).await;
        if burst.is_empty() {
            let _ = timeout(silence, sink.close()).await;
            return LinkEnd::Released;
        }
        let sending = async {
            for message in burst {
                let frame = Frame::Binary(Bytes::from(encode(&message)));
                sink.feed(frame).await?;
            }
            sink.flush().await
        };
        match timeout(silence, sending).await {
            Ok(Ok(())) => {}
            Ok(Err(err)) => return LinkEnd::Closed(err.to_string()),
            Err(_) => return LinkEnd::Silent,
        }
    }
}
