//! Exchanges HTTP/1.1 requests over a connection to a backend server, the store or a peer.
//!
//! A connection carries one exchange at a time and is reused only if the response was read to its end
//! with no bytes left over, which would be mistaken for the next response.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use actix_http::h1::{ClientCodec, ClientPayloadCodec, Message, MessageType};
use actix_http::header::HeaderMap;
use actix_http::{ConnectionType, Method, RequestHead, RequestHeadType, ResponseHead, Uri};
use actix_http::{StatusCode, body::BodySize};
use actix_rt::time::timeout;
use bytes::{Bytes, BytesMut};
use socket2::{SockRef, TcpKeepalive};
use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::WriteHalf;
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::yield_now;
use tokio_util::codec::{Decoder, Encoder};

use crate::body_parts::BodyParts;
use crate::framing_limit::FramingLimit;
use clementinepick::start_doubts::ReportedStart;

/// How long sent bytes may stay unacknowledged. Nothing else reveals a network partition or a silent
/// connection; round trips take a few ms, and queues delay by half a second at most.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The idle time before the first TCP keepalive probe, and the interval between probes. Detects
/// partitions on connections on which nothing is sent.
const KEEPALIVE_PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// The initial capacity of a read buffer, in bytes; response heads are usually smaller.
const READ_BUFFER_BYTES: usize = 4_096;
/// The size of what is written at once of a body in small parts, in bytes.
const WRITE_BUFFER_BYTES: usize = 32_768;
/// The size of the system's buffer for what a server sends, in bytes.
const SERVER_RECEIVE_BUFFER_BYTES: u32 = 8_192;
/// The largest response head, in bytes.
const MAX_HEAD_BYTES: usize = 65_536;
/// How many bytes are read before other connections get their turn. A server that always has bytes to
/// send would otherwise keep the thread.
const TURN_BYTES: usize = READ_BUFFER_BYTES;
/// The maximum number of interim responses before a response.
const MAX_INTERIM_RESPONSES: u32 = 8;

/// Why an exchange failed.
#[derive(Debug, Error)]
pub(crate) enum OutboundError {
    /// The connection could not be opened, so nothing was sent.
    #[error("connecting failed: {0}")]
    Connect(io::Error),
    /// The connection failed during an exchange.
    #[error("the connection failed: {0}")]
    Broken(io::Error),
    /// The server closed the connection before the end of the response.
    #[error("the connection was closed before the end of the response")]
    Closed,
    /// The response is not valid HTTP or exceeds a limit.
    #[error("invalid HTTP response: {0}")]
    Protocol(String),
    /// The response does not fit the memory of all responses.
    #[error("the responses in progress use up their memory")]
    OutOfMemory,
}

/// A request to send.
#[derive(Debug, Clone)]
pub(crate) struct OutboundRequest {
    pub(crate) method: Method,
    pub(crate) target: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: BodyParts,
}

enum BodyState {
    Payload(ClientPayloadCodec),
    /// The body has no length and ends with the connection.
    UntilClose,
    /// No body is left to read; holds the codec if the response was framed.
    Done(Option<ClientCodec>),
}

/// A connection to one server.
pub(crate) struct Connection {
    stream: TcpStream,
    buffer: BytesMut,
    body_state: BodyState,
    framing: FramingLimit,
    /// The bytes that were read since other connections had their turn.
    turn_bytes: usize,
    /// Cleared when the connection can't carry another exchange.
    is_reusable: bool,
    /// Whether the last request was sent in full before its response began.
    is_request_sent: bool,
    /// When the connection was opened.
    pub(crate) opened_at: Instant,
    /// What the server said of its start on this connection, which ends with that start.
    pub(crate) report: Option<ReportedStart>,
    /// When the connection was last released to the pool.
    pub(crate) idle_since: Instant,
    /// How long the server keeps the connection open while idle, if it announced that.
    pub(crate) keep_alive: Option<Duration>,
}

impl Connection {
    /// Opens a connection to the store or a peer; fails if that takes longer than `limit`.
    pub(crate) async fn open(
        address: SocketAddr,
        limit: Duration,
        now: Instant,
    ) -> Result<Self, OutboundError> {
        let mut connection = Self::open_socket(address, None, limit, now).await?;
        connection.framing = FramingLimit::without_trailers();
        Ok(connection)
    }

    /// Opens a connection to a backend server, as [`open`](Self::open) does. The system holds little of a
    /// response whose caller does not read it.
    pub(crate) async fn open_to_server(
        address: SocketAddr,
        limit: Duration,
        now: Instant,
    ) -> Result<Self, OutboundError> {
        Self::open_socket(address, Some(SERVER_RECEIVE_BUFFER_BYTES), limit, now).await
    }

    async fn open_socket(
        address: SocketAddr,
        receive_buffer_bytes: Option<u32>,
        limit: Duration,
        now: Instant,
    ) -> Result<Self, OutboundError> {
        let connecting = async {
            let socket = match address {
                SocketAddr::V4(_) => TcpSocket::new_v4()?,
                SocketAddr::V6(_) => TcpSocket::new_v6()?,
            };
            if let Some(bytes) = receive_buffer_bytes {
                socket.set_recv_buffer_size(bytes)?;
            }
            socket.connect(address).await
        };
        let stream = match timeout(limit, connecting).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(err)) => return Err(OutboundError::Connect(err)),
            Err(_) => return Err(OutboundError::Connect(io::ErrorKind::TimedOut.into())),
        };
        set_socket_options(&stream).map_err(OutboundError::Connect)?;
        Ok(Self {
            stream,
            buffer: BytesMut::new(),
            body_state: BodyState::Done(Some(ClientCodec::default())),
            framing: FramingLimit::default(),
            turn_bytes: 0,
            is_reusable: true,
            is_request_sent: true,
            opened_at: now,
            report: None,
            idle_since: now,
            keep_alive: None,
        })
    }

    /// Whether the connection is open and has no unread bytes.
    ///
    /// Unread bytes, such as a late second response, would be mistaken for the response to the next
    /// request.
    pub(crate) fn is_healthy(&self) -> bool {
        let mut byte = [0_u8; 1];
        let read = self.stream.try_read(&mut byte);
        matches!(read, Err(err) if err.kind() == io::ErrorKind::WouldBlock)
    }

    /// Marks the connection as idle and frees its buffer, since hundreds of connections may be idle.
    pub(crate) fn set_idle(&mut self, now: Instant) {
        self.buffer = BytesMut::new();
        self.idle_since = now;
    }

    /// Whether the connection can carry another exchange.
    pub(crate) fn can_be_reused(&self) -> bool {
        self.is_reusable
            && self.buffer.is_empty()
            && matches!(self.body_state, BodyState::Done(Some(_)))
    }

    /// Sends a request and reads the head of the response.
    pub(crate) async fn exchange(
        &mut self,
        request: &OutboundRequest,
    ) -> Result<ResponseHead, OutboundError> {
        let mut codec = ClientCodec::default();
        let head = encode_head(&mut codec, request).map_err(OutboundError::Broken)?;
        let is_fully_sent = self.send_request(head, &request.body).await?;
        self.is_request_sent = is_fully_sent;
        if !is_fully_sent {
            // The server responded before it had the whole request. It would take the next request
            // for the rest of this one, so the connection is not reused.
            self.is_reusable = false;
        }
        let mut interim_responses = 0;
        loop {
            let head = codec.decode(&mut self.buffer);
            match head.map_err(|err| OutboundError::Protocol(err.to_string()))? {
                Some(head) if head.status == StatusCode::SWITCHING_PROTOCOLS => {
                    return Err(OutboundError::Protocol(
                        "the server switches protocols unasked".to_owned(),
                    ));
                }
                Some(head) if head.status.is_informational() => {
                    interim_responses += 1;
                    if interim_responses > MAX_INTERIM_RESPONSES {
                        return Err(OutboundError::Protocol(
                            "too many interim responses".to_owned(),
                        ));
                    }
                }
                Some(head) => {
                    self.start_body(codec, &head, &request.method);
                    return Ok(head);
                }
                None if self.buffer.len() > MAX_HEAD_BYTES => {
                    return Err(OutboundError::Protocol(
                        "the response head exceeds the size limit".to_owned(),
                    ));
                }
                None => self.read_more().await?,
            }
        }
    }

    /// Writes the request; returns false if response bytes arrived before all of it was written.
    async fn send_request(
        &mut self,
        head: BytesMut,
        body: &BodyParts,
    ) -> Result<bool, OutboundError> {
        let (mut read, mut write) = self.stream.split();
        tokio::select! {
            biased;
            sent = write_parts(&mut write, head, body) => sent.map(|()| true).map_err(OutboundError::Broken),
            received = read.read_buf(&mut self.buffer) => match received {
                Ok(0) => Err(OutboundError::Closed),
                Ok(_) => Ok(false),
                Err(err) => Err(OutboundError::Broken(err)),
            },
        }
    }

    fn start_body(&mut self, codec: ClientCodec, head: &ResponseHead, method: &Method) {
        let is_unframed = !head.headers.contains_key("content-length")
            && !head.headers.contains_key("transfer-encoding")
            && *method != Method::HEAD
            && !matches!(
                head.status,
                StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
            );
        self.keep_alive = platform::response::keep_alive_timeout(&head.headers);
        self.framing.restart();
        if is_unframed {
            self.is_reusable = false;
            self.body_state = BodyState::UntilClose;
            return;
        }
        if !codec.keep_alive() {
            self.is_reusable = false;
        }
        self.body_state = match codec.message_type() {
            MessageType::None => BodyState::Done(Some(codec)),
            MessageType::Payload | MessageType::Stream => {
                BodyState::Payload(codec.into_payload_codec())
            }
        };
    }

    async fn read_more(&mut self) -> Result<(), OutboundError> {
        if self.turn_bytes >= TURN_BYTES {
            self.turn_bytes = 0;
            yield_now().await;
        }
        self.buffer.reserve(READ_BUFFER_BYTES);
        match self.stream.read_buf(&mut self.buffer).await {
            Ok(0) => Err(OutboundError::Closed),
            Ok(count) => {
                self.turn_bytes += count;
                Ok(())
            }
            Err(err) => Err(OutboundError::Broken(err)),
        }
    }

    /// Returns the next bytes of the body; none at its end.
    pub(crate) async fn chunk(&mut self) -> Result<Option<Bytes>, OutboundError> {
        loop {
            match &mut self.body_state {
                BodyState::Done(_) => return Ok(None),
                BodyState::UntilClose => return self.chunk_until_close().await,
                BodyState::Payload(codec) => {
                    let received = self.buffer.len();
                    let item = codec.decode(&mut self.buffer);
                    let item = item.map_err(|err| OutboundError::Protocol(err.to_string()))?;
                    let payload = match &item {
                        Some(Some(bytes)) => bytes.len(),
                        Some(None) | None => 0,
                    };
                    if !self.framing.allows(received - self.buffer.len(), payload) {
                        return Err(OutboundError::Protocol(
                            "the framing of the response body exceeds the size limit".to_owned(),
                        ));
                    }
                    match item {
                        Some(Some(bytes)) => return Ok(Some(bytes)),
                        Some(None) => {
                            self.end_body();
                            return Ok(None);
                        }
                        None => self.read_more().await?,
                    }
                }
            }
        }
    }

    /// Returns the next bytes of a body that ends when the server closes the connection.
    ///
    /// A reset is an error, since the body may be incomplete, and so is the end of a response to a request
    /// that the server has not read: it may have given up both.
    async fn chunk_until_close(&mut self) -> Result<Option<Bytes>, OutboundError> {
        if self.buffer.is_empty() {
            match self.read_more().await {
                Ok(()) => {}
                Err(OutboundError::Closed) if self.is_request_sent => {
                    self.body_state = BodyState::Done(None);
                    return Ok(None);
                }
                Err(err) => return Err(err),
            }
        }
        Ok(Some(self.buffer.split().freeze()))
    }

    fn end_body(&mut self) {
        let codec = std::mem::replace(&mut self.body_state, BodyState::Done(None));
        if let BodyState::Payload(payload) = codec {
            self.body_state = BodyState::Done(Some(payload.into_message_codec()));
        }
    }

    /// Reads the whole body; fails if it exceeds `limit_bytes`.
    pub(crate) async fn body(&mut self, limit_bytes: usize) -> Result<Bytes, OutboundError> {
        self.body_within(limit_bytes, |_| true).await
    }

    /// Reads the whole body; fails if it exceeds `limit_bytes`, or if `resize` does not allow the number
    /// of bytes that its buffer takes.
    pub(crate) async fn body_within(
        &mut self,
        limit_bytes: usize,
        mut resize: impl FnMut(usize) -> bool,
    ) -> Result<Bytes, OutboundError> {
        let mut body = BytesMut::new();
        while let Some(chunk) = self.chunk().await? {
            if body.is_empty() && matches!(self.body_state, BodyState::Done(_)) {
                return Ok(chunk);
            }
            let length = body.len() + chunk.len();
            if length > limit_bytes {
                return Err(OutboundError::Protocol(
                    "the response body exceeds the size limit".to_owned(),
                ));
            }
            if length > body.capacity() {
                let capacity = length.next_power_of_two();
                if !resize(capacity) {
                    return Err(OutboundError::OutOfMemory);
                }
                body.reserve(capacity - body.len());
            }
            body.extend_from_slice(&chunk);
        }
        Ok(body.freeze())
    }
}

fn set_socket_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_PROBE_INTERVAL)
        .with_interval(KEEPALIVE_PROBE_INTERVAL);
    socket.set_tcp_keepalive(&probes.with_retries(2))
}

fn encode_head(codec: &mut ClientCodec, request: &OutboundRequest) -> io::Result<BytesMut> {
    let mut head = RequestHead::default();
    head.method = request.method.clone();
    head.uri = request.target.clone();
    head.headers = request.headers.clone();
    head.set_connection_type(ConnectionType::KeepAlive);
    let length = request.body.len();
    let size = match length {
        0 if matches!(request.method, Method::GET | Method::HEAD) => BodySize::None,
        length => BodySize::Sized(length as u64),
    };
    let head = RequestHeadType::Owned(head);
    let capacity = READ_BUFFER_BYTES + length.min(WRITE_BUFFER_BYTES);
    let mut encoded = BytesMut::with_capacity(capacity);
    codec.encode(Message::Item((head, size)), &mut encoded)?;
    Ok(encoded)
}

/// Writes the head of a request, which is `buffer`, and its body. Small parts are copied into the buffer, so
/// that they take few writes; large ones are not.
async fn write_parts(
    write: &mut WriteHalf<'_>,
    mut buffer: BytesMut,
    body: &BodyParts,
) -> io::Result<()> {
    for part in body.iter() {
        if buffer.len() + part.len() <= WRITE_BUFFER_BYTES {
            buffer.extend_from_slice(part);
            continue;
        }
        write.write_all(&buffer).await?;
        buffer.clear();
        if part.len() <= WRITE_BUFFER_BYTES {
            buffer.extend_from_slice(part);
        } else {
            write.write_all(part).await?;
        }
    }
    write.write_all(&buffer).await
}
