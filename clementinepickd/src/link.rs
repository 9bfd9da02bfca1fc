//! Runs one link: the handshake, then messages in both directions until one end closes it.

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
use crate::tasks::contain;

/// The largest frame accepted before the peer is authenticated.
const MAX_HANDSHAKE_BYTES: usize = 4_096;
/// The maximum number of messages per flush.
const MAX_WRITE_BATCH: usize = 64;

type Socket = WebSocketStream<TcpStream>;

/// A connection whose two ends have authenticated each other.
pub(crate) struct AuthenticatedLink {
    pub(crate) peer: Peer,
    socket: Socket,
}

/// Connects to `expected` at `address` and runs the handshake as the connecting end.
pub(crate) async fn connect(
    settings: &LinkSettings,
    own: &Peer,
    expected: &VmId,
    address: &str,
) -> Result<AuthenticatedLink, HandshakeError> {
    let handshake = async {
        let stream = TcpStream::connect(address)
            .await
            .map_err(connection_error)?;
        stream.set_nodelay(true).map_err(connection_error)?;
        let url = format!("ws://{address}/");
        let (mut socket, _) =
            client_async_with_config(url, stream, Some(socket_config(max_frame_len(settings))))
                .await
                .map_err(connection_error)?;
        let hello = Hello::new(rand::random(), own.clone());
        send(&mut socket, encode(&hello)).await?;
        let challenge: Challenge = receive(&mut socket).await?;
        if challenge.peer.vm != *expected {
            return Err(HandshakeError::UnexpectedVm(challenge.peer.vm));
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
        Ok(AuthenticatedLink {
            peer: challenge.peer,
            socket,
        })
    };
    with_handshake_timeout(settings, handshake).await
}

/// Runs the handshake as the accepting end.
pub(crate) async fn accept(
    settings: &LinkSettings,
    own: &Peer,
    stream: TcpStream,
) -> Result<AuthenticatedLink, HandshakeError> {
    let accepting = async {
        stream.set_nodelay(true).map_err(connection_error)?;
        let handshake_config = socket_config(MAX_HANDSHAKE_BYTES);
        let mut socket = accept_async_with_config(stream, Some(handshake_config))
            .await
            .map_err(connection_error)?;
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
            return Err(HandshakeError::NotAnEntry(hello.peer.vm));
        }
        send(&mut socket, encode(&Welcome)).await?;
        Ok(AuthenticatedLink {
            peer: hello.peer,
            socket: raise_frame_limit(settings, socket).await,
        })
    };
    with_handshake_timeout(settings, accepting).await
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

async fn with_handshake_timeout(
    settings: &LinkSettings,
    work: impl Future<Output = Result<AuthenticatedLink, HandshakeError>>,
) -> Result<AuthenticatedLink, HandshakeError> {
    let limit = duration(settings.handshake_timeout_us);
    timeout(limit, work)
        .await
        .unwrap_or(Err(HandshakeError::Timeout))
}

/// Raises the frame limit of an authenticated socket to that of messages.
///
/// Discarding the read buffer of the old socket loses nothing: the peer sends nothing between its
/// proof and the welcome.
async fn raise_frame_limit(settings: &LinkSettings, handshake_socket: Socket) -> Socket {
    let message_config = socket_config(max_frame_len(settings));
    WebSocketStream::from_raw_socket(
        handshake_socket.into_inner(),
        Role::Server,
        Some(message_config),
    )
    .await
}

fn max_frame_len(settings: &LinkSettings) -> usize {
    usize::try_from(settings.max_frame_bytes.0).unwrap_or(usize::MAX)
}

fn socket_config(limit: usize) -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(limit))
        .max_frame_size(Some(limit))
}

async fn send(socket: &mut Socket, bytes: Vec<u8>) -> Result<(), HandshakeError> {
    let frame = Frame::Binary(Bytes::from(bytes));
    socket.send(frame).await.map_err(connection_error)
}

async fn receive<T: serde::de::DeserializeOwned>(socket: &mut Socket) -> Result<T, HandshakeError> {
    match socket.next().await {
        Some(Ok(Frame::Binary(bytes))) if bytes.len() <= MAX_HANDSHAKE_BYTES => decode(&bytes),
        Some(Ok(Frame::Binary(_))) => Err(HandshakeError::InvalidFrame(
            "frame exceeds the size limit of the handshake".to_owned(),
        )),
        Some(Ok(Frame::Close(_))) | None => Err(HandshakeError::ConnectionFailed(
            "closed by the peer".to_owned(),
        )),
        Some(Ok(_)) => Err(HandshakeError::InvalidFrame(
            "not a binary frame".to_owned(),
        )),
        Some(Err(err)) => Err(connection_error(err)),
    }
}

#[expect(clippy::needless_pass_by_value, reason = "passed to map_err")]
fn connection_error(err: impl ToString) -> HandshakeError {
    HandshakeError::ConnectionFailed(err.to_string())
}

pub(crate) const fn duration(span: SpanUs) -> Duration {
    Duration::from_micros(span.0)
}

pub(crate) fn to_span(duration: Duration) -> SpanUs {
    SpanUs(u64::try_from(duration.as_micros()).unwrap_or(u64::MAX))
}

/// Why a link ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum LinkEnd {
    /// This process dropped it.
    Released,
    /// The peer closed it, or the connection failed.
    Closed(String),
    /// Nothing was received, or nothing could be sent, within the idle timeout.
    Silent,
    /// The peer sent something that is not a valid message.
    BadMessage(String),
}

/// Carries messages over a link until it ends; reports its start and end to the control thread.
pub(crate) async fn run(
    settings: &LinkSettings,
    link: LinkId,
    authenticated: AuthenticatedLink,
    control: &ControlSender,
) -> LinkEnd {
    let (queue, messages) = link_queue(settings.queue_messages, settings.queue_bytes);
    let AuthenticatedLink { peer, socket } = authenticated;
    let vm = peer.vm.clone();
    if !control
        .send(ControlInput::LinkUp { link, peer, queue })
        .await
    {
        return LinkEnd::Released;
    }
    let idle_timeout = duration(settings.idle_timeout_us);
    let (sink, stream) = socket.split();
    let reading = Box::pin(read(stream, idle_timeout, link, &vm, control));
    let writing = Box::pin(write(sink, idle_timeout, messages));
    let end = match contain(control, "link", select(reading, writing)).await {
        Some(Either::Left((end, _)) | Either::Right((end, _))) => end,
        None => LinkEnd::Closed("by a defect of this process".to_owned()),
    };
    control.send(ControlInput::LinkDown { link, vm }).await;
    end
}

async fn read(
    mut stream: SplitStream<Socket>,
    idle_timeout: Duration,
    link: LinkId,
    vm: &VmId,
    control: &ControlSender,
) -> LinkEnd {
    loop {
        // Both ends send heartbeats, so silence means that the peer is down or one direction of the
        // path is cut. Closing notifies the peer, whose own sends may still seem to succeed.
        let Ok(frame) = timeout(idle_timeout, stream.next()).await else {
            return LinkEnd::Silent;
        };
        let bytes = match frame {
            Some(Ok(Frame::Binary(bytes))) => bytes,
            Some(Ok(Frame::Ping(_) | Frame::Pong(_))) => continue,
            Some(Ok(Frame::Close(_))) | None => return LinkEnd::Closed("by the peer".to_owned()),
            Some(Ok(_)) => return LinkEnd::BadMessage("not a binary frame".to_owned()),
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
            // This process is ending: queued messages are still written before the link closes.
            std::future::pending::<()>().await;
        }
    }
}

async fn write(
    mut sink: SplitSink<Socket, Frame>,
    idle_timeout: Duration,
    mut messages: QueueReader,
) -> LinkEnd {
    loop {
        let batch = messages.take(MAX_WRITE_BATCH).await;
        if batch.is_empty() {
            let _ = timeout(idle_timeout, sink.close()).await;
            return LinkEnd::Released;
        }
        let sending = async {
            for message in batch {
                let frame = Frame::Binary(Bytes::from(encode(&message)));
                sink.feed(frame).await?;
            }
            sink.flush().await
        };
        match timeout(idle_timeout, sending).await {
            Ok(Ok(())) => {}
            Ok(Err(err)) => return LinkEnd::Closed(err.to_string()),
            Err(_) => return LinkEnd::Silent,
        }
    }
}
