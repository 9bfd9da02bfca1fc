//! One HTTP/1.1 connection to a backend server, the store or a peer.
//!
//! The connection belongs to one exchange at a time and is used again only when the answer was read
//! to its end and nothing follows it: bytes left over would be taken for the next answer.

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
use tokio::net::TcpStream;
use tokio_util::codec::{Decoder, Encoder};

/// How long sent bytes may stay unacknowledged. A partition or a connection that fell silent shows
/// as nothing else; links have round trips of a few ms, and queues of half a second at most.
const UNACKNOWLEDGED: Duration = Duration::from_millis(1_500);
/// When probes of an idle connection begin, and the time between them: as above, for connections
/// on which nothing is sent.
const PROBE: Duration = Duration::from_secs(1);
/// The first size of a read buffer, in bytes; heads are smaller.
const READ_BYTES: usize = 4_096;
/// The largest head of an answer, in bytes.
const MAX_HEAD_BYTES: usize = 65_536;

/// Why an exchange failed.
#[derive(Debug, Error)]
pub(crate) enum OutboundError {
    /// No connection was made; nothing was sent.
    #[error("no connection: {0}")]
    Connect(io::Error),
    /// The connection broke.
    #[error("broken off: {0}")]
    Broken(io::Error),
    /// The other side closed the connection within an answer or before it.
    #[error("closed early")]
    Closed,
    /// The bytes are no answer.
    #[error("no HTTP: {0}")]
    Protocol(String),
}

/// A request to send.
#[derive(Debug, Clone)]
pub(crate) struct Outgoing {
    pub(crate) method: Method,
    pub(crate) target: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

enum Codec {
    Payload(ClientPayloadCodec),
    /// The body has no length and ends with the connection.
    UntilClose,
    /// The answer is complete, or was given up.
    Done(Option<ClientCodec>),
}

/// One connection.
pub(crate) struct Connection {
    stream: TcpStream,
    read: BytesMut,
    codec: Codec,
    /// Cleared when the connection can't carry another exchange.
    is_reusable: bool,
    /// When it was last given back.
    pub(crate) idle_since: Instant,
    /// How long the other side keeps it while idle.
    pub(crate) keep_alive: Option<Duration>,
}

impl Connection {
    /// Connects within `limit`.
    pub(crate) async fn open(
        address: SocketAddr,
        limit: Duration,
        now: Instant,
    ) -> Result<Self, OutboundError> {
        let stream = match timeout(limit, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(err)) => return Err(OutboundError::Connect(err)),
            Err(_) => return Err(OutboundError::Connect(io::ErrorKind::TimedOut.into())),
        };
        set_options(&stream).map_err(OutboundError::Connect)?;
        Ok(Self {
            stream,
            read: BytesMut::new(),
            codec: Codec::Done(None),
            is_reusable: true,
            idle_since: now,
            keep_alive: None,
        })
    }

    /// Whether the connection is open and nothing came on it since its last exchange.
    ///
    /// A late second answer would otherwise be taken for the answer to the next request.
    pub(crate) fn is_quiet(&self) -> bool {
        let mut byte = [0_u8; 1];
        let read = self.stream.try_read(&mut byte);
        matches!(read, Err(err) if err.kind() == io::ErrorKind::WouldBlock)
    }

    /// Goes without a buffer until the next exchange: hundreds of connections are idle at a time.
    pub(crate) fn rest(&mut self, now: Instant) {
        self.read = BytesMut::new();
        self.idle_since = now;
    }

    /// Whether another exchange may follow.
    pub(crate) fn can_be_kept(&self) -> bool {
        self.is_reusable && self.read.is_empty() && matches!(self.codec, Codec::Done(Some(_)))
    }

    /// Sends a request and reads the head of its answer.
    pub(crate) async fn exchange(
        &mut self,
        request: &Outgoing,
    ) -> Result<ResponseHead, OutboundError> {
        let mut codec = ClientCodec::default();
        let wire = encode(&mut codec, request).map_err(OutboundError::Broken)?;
        let is_sent = self.send(&wire).await?;
        if !is_sent {
            // The server answered before it had the whole body. What it still expects must not be
            // taken from the next request, so the connection ends with this exchange.
            self.is_reusable = false;
        }
        loop {
            let head = codec.decode(&mut self.read);
            match head.map_err(|err| OutboundError::Protocol(err.to_string()))? {
                Some(head) if head.status == StatusCode::CONTINUE => {}
                Some(head) => {
                    self.start_body(codec, &head, &request.method);
                    return Ok(head);
                }
                None if self.read.len() > MAX_HEAD_BYTES => {
                    return Err(OutboundError::Protocol("the head is too long".to_owned()));
                }
                None => self.fill().await?,
            }
        }
    }

    /// Writes the request; false when an answer came before all was written.
    async fn send(&mut self, wire: &[u8]) -> Result<bool, OutboundError> {
        let (mut read, mut write) = self.stream.split();
        tokio::select! {
            biased;
            sent = write.write_all(wire) => sent.map(|()| true).map_err(OutboundError::Broken),
            came = read.read_buf(&mut self.read) => match came {
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
        if is_unframed {
            self.is_reusable = false;
            self.codec = Codec::UntilClose;
            return;
        }
        if !codec.keep_alive() {
            self.is_reusable = false;
        }
        self.codec = match codec.message_type() {
            MessageType::None => Codec::Done(Some(codec)),
            MessageType::Payload | MessageType::Stream => {
                Codec::Payload(codec.into_payload_codec())
            }
        };
    }

    async fn fill(&mut self) -> Result<(), OutboundError> {
        self.read.reserve(READ_BYTES);
        match self.stream.read_buf(&mut self.read).await {
            Ok(0) => Err(OutboundError::Closed),
            Ok(_) => Ok(()),
            Err(err) => Err(OutboundError::Broken(err)),
        }
    }

    /// The next bytes of the body; none at its end.
    pub(crate) async fn chunk(&mut self) -> Result<Option<Bytes>, OutboundError> {
        loop {
            match &mut self.codec {
                Codec::Done(_) => return Ok(None),
                Codec::UntilClose => return self.chunk_until_close().await,
                Codec::Payload(codec) => {
                    let item = codec.decode(&mut self.read);
                    match item.map_err(|err| OutboundError::Protocol(err.to_string()))? {
                        Some(Some(bytes)) => return Ok(Some(bytes)),
                        Some(None) => {
                            self.end_body();
                            return Ok(None);
                        }
                        None => self.fill().await?,
                    }
                }
            }
        }
    }

    /// Reads on until the server closes; a reset means that the body is incomplete.
    async fn chunk_until_close(&mut self) -> Result<Option<Bytes>, OutboundError> {
        if self.read.is_empty() {
            match self.fill().await {
                Ok(()) => {}
                Err(OutboundError::Closed) => {
                    self.codec = Codec::Done(None);
                    return Ok(None);
                }
                Err(err) => return Err(err),
            }
        }
        Ok(Some(self.read.split().freeze()))
    }

    fn end_body(&mut self) {
        let codec = std::mem::replace(&mut self.codec, Codec::Done(None));
        if let Codec::Payload(payload) = codec {
            self.codec = Codec::Done(Some(payload.into_message_codec()));
        }
    }

    /// Reads the whole body, `limit_bytes` at most.
    pub(crate) async fn body(&mut self, limit_bytes: usize) -> Result<Bytes, OutboundError> {
        let mut body = BytesMut::new();
        while let Some(chunk) = self.chunk().await? {
            if body.is_empty() && matches!(self.codec, Codec::Done(_)) {
                return Ok(chunk);
            }
            body.extend_from_slice(&chunk);
            if body.len() > limit_bytes {
                return Err(OutboundError::Protocol("the body is too long".to_owned()));
            }
        }
        Ok(body.freeze())
    }
}

fn set_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED))?;
    let probes = TcpKeepalive::new().with_time(PROBE).with_interval(PROBE);
    socket.set_tcp_keepalive(&probes.with_retries(2))
}

fn encode(codec: &mut ClientCodec, request: &Outgoing) -> io::Result<BytesMut> {
    let mut head = RequestHead::default();
    head.method = request.method.clone();
    head.uri = request.target.clone();
    head.headers = request.headers.clone();
    head.set_connection_type(ConnectionType::KeepAlive);
    let size = match request.body.len() {
        0 if matches!(request.method, Method::GET | Method::HEAD) => BodySize::None,
        length => BodySize::Sized(length as u64),
    };
    let head = RequestHeadType::Owned(head);
    let mut wire = BytesMut::with_capacity(READ_BYTES + request.body.len());
    codec.encode(Message::Item((head, size)), &mut wire)?;
    if !request.body.is_empty() {
        codec.encode(Message::Chunk(Some(request.body.clone())), &mut wire)?;
    }
    codec.encode(Message::Chunk(None), &mut wire)?;
    Ok(wire)
}
