//! Serves one caller's connection: reads requests, passes them to a handler and detects that the
//! caller disconnects.

use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::h1::{Codec, Message};
use actix_http::{Method, Request};
use actix_rt::time::timeout;
use bytes::{Bytes, BytesMut};
use clementinepick::refusal::Refusal;
use clementinepick::traffic_config::CallerLimits;
use clementinepick::units::SpanUs;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio_util::codec::Decoder;

use crate::gateway_reply::{Reply, ReplyState};
use crate::gateway_shared::{BodyReservation, Shared};
use crate::link::duration;

/// How many bytes of the next request are buffered while one is served; beyond this, TCP flow
/// control makes the caller wait.
const MAX_PIPELINED_BYTES: usize = 65_536;
/// The buffer space reserved for one read, in bytes; request heads and most bodies are smaller.
const READ_BUFFER_BYTES: usize = 2_048;
/// The kind in metrics of requests that were not read in full.
const UNREAD: &str = "unread";
/// How long a caller may take to read the refusal of a request.
const REFUSAL_WRITE_TIMEOUT: Duration = Duration::from_secs(1);

/// A request that was received in full.
pub(crate) struct ReceivedRequest<'a> {
    pub(crate) head: Request,
    pub(crate) body: Bytes,
    _reservation: Option<BodyReservation<'a>>,
    /// When its first byte was received.
    pub(crate) arrived: Instant,
}

/// Handles the requests of a listener.
pub(crate) trait Handler {
    /// Handles a request. An incomplete reply closes the connection.
    fn handle<'a>(
        &'a self,
        request: &'a ReceivedRequest<'_>,
        reply: &'a mut Reply<'_>,
    ) -> std::pin::Pin<Box<dyn Future<Output = ()> + 'a>>;

    /// Returns whether a request is handled up to its first wait although its sender has
    /// disconnected.
    fn starts_despite_disconnect(&self) -> bool {
        false
    }
}

/// Why no request was received.
enum ReceiveError {
    /// The caller closed the connection, or it was idle for too long.
    Closed,
    /// The request is not accepted.
    Refused(Refusal),
}

struct Reader {
    read: OwnedReadHalf,
    buffer: BytesMut,
}

/// Serves a connection until either side closes it.
pub(crate) async fn serve(shared: Rc<Shared>, handler: Rc<dyn Handler>, stream: TcpStream) {
    if let Err(err) = stream.set_nodelay(true) {
        shared.log_connection_error(&err);
        return;
    }
    let _open = shared.open_connection();
    let (read, mut write) = stream.into_split();
    let mut reader = Reader {
        read,
        buffer: BytesMut::new(),
    };
    let mut codec = Codec::default();
    loop {
        let request = match receive(&shared, &mut reader, &mut codec, &mut write).await {
            Ok(request) => request,
            Err(ReceiveError::Closed) => return,
            Err(ReceiveError::Refused(refusal)) => {
                write_refusal(&shared, refusal, &mut codec, &mut write).await;
                return;
            }
        };
        let closes = !codec.keep_alive() || shared.is_draining();
        let mut reply = Reply::new(&mut codec, &mut write, closes);
        let running_guard = shared.start_request();
        let handling = handler.handle(&request, &mut reply);
        let is_finished = if handler.starts_despite_disconnect() {
            tokio::select! {
                biased;
                () = handling => true,
                () = reader.wait_for_disconnect() => false,
            }
        } else {
            tokio::select! {
                () = handling => true,
                () = reader.wait_for_disconnect() => false,
            }
        };
        if !is_finished {
            return;
        }
        drop(running_guard);
        let is_complete = reply.state() == ReplyState::Complete;
        if !is_complete || reply.closes {
            return;
        }
    }
}

async fn write_refusal(
    shared: &Shared,
    refusal: Refusal,
    codec: &mut Codec,
    write: &mut OwnedWriteHalf,
) {
    shared
        .metrics
        .count_request(UNREAD, refusal.response().code, Duration::ZERO);
    let mut reply = Reply::new(codec, write, true);
    let sending = reply.send_refusal(refusal.response(), None);
    if timeout(REFUSAL_WRITE_TIMEOUT, sending).await.is_ok() {
        // Closing with unread bytes would reset the connection, and the caller would not get the
        // refusal.
        let _ = write.shutdown().await;
    }
}

async fn receive<'a>(
    shared: &'a Shared,
    reader: &mut Reader,
    codec: &mut Codec,
    write: &mut OwnedWriteHalf,
) -> Result<ReceivedRequest<'a>, ReceiveError> {
    let limits = shared.caller_limits();
    if reader.buffer.is_empty() {
        let first_read = timeout(duration(limits.idle_us), reader.fill());
        let closing = shared.wait_for_close();
        tokio::select! {
            biased;
            filled = first_read => match filled {
                Ok(true) => {}
                Ok(false) | Err(_) => return Err(ReceiveError::Closed),
            },
            () = closing => return Err(ReceiveError::Closed),
        }
    }
    let arrived = Instant::now();
    let head = read_head(reader, codec, &limits);
    let head = with_receive_timeout(limits.head_us, head).await?;
    let body = receive_body(shared, reader, codec, write, &head, &limits);
    let body = with_receive_timeout(limits.idle_us, body).await?;
    let reservation = match body.len() {
        0 => None,
        bytes => Some(shared.reserve_body(bytes).ok_or(overloaded())?),
    };
    Ok(ReceivedRequest {
        head,
        body,
        _reservation: reservation,
        arrived,
    })
}

fn overloaded() -> ReceiveError {
    ReceiveError::Refused(Refusal::Overloaded)
}

async fn with_receive_timeout<T>(
    limit_us: SpanUs,
    reading: impl Future<Output = Result<T, ReceiveError>>,
) -> Result<T, ReceiveError> {
    let timed_out = || ReceiveError::Refused(Refusal::ReceiveTimeout);
    timeout(duration(limit_us), reading)
        .await
        .map_err(|_| timed_out())?
}

async fn receive_body(
    shared: &Shared,
    reader: &mut Reader,
    codec: &mut Codec,
    write: &mut OwnedWriteHalf,
    head: &Request,
    limits: &CallerLimits,
) -> Result<Bytes, ReceiveError> {
    let length = head.head().headers.get("content-length");
    let length = length.and_then(|v| v.to_str().ok()?.trim().parse::<usize>().ok());
    if length.is_some_and(|length| length > limits.body_bytes) {
        return Err(ReceiveError::Refused(Refusal::BodyTooLarge));
    }
    if !has_body(head) {
        return Ok(Bytes::new());
    }
    if length.is_some_and(|length| shared.reserve_body(length).is_none()) {
        return Err(overloaded());
    }
    if head.head().expect() && reader.buffer.is_empty() {
        let sent = write.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await;
        sent.map_err(|_| ReceiveError::Closed)?;
    }
    read_body(reader, codec, limits).await
}

fn has_body(head: &Request) -> bool {
    let headers = &head.head().headers;
    let is_empty = headers
        .get("content-length")
        .is_some_and(|value| value.as_bytes().iter().all(|b| *b == b'0'));
    headers.contains_key("transfer-encoding")
        || (headers.contains_key("content-length") && !is_empty)
}

async fn read_head(
    reader: &mut Reader,
    codec: &mut Codec,
    limits: &CallerLimits,
) -> Result<Request, ReceiveError> {
    loop {
        let before = reader.buffer.len();
        let decoded = codec.decode(&mut reader.buffer);
        match decoded {
            Ok(Some(Message::Item(head))) => {
                let head_bytes = before - reader.buffer.len();
                if head_bytes > limits.head_bytes {
                    return Err(ReceiveError::Refused(Refusal::HeadTooLarge));
                }
                if head.method() == Method::CONNECT || !is_origin_form(&head) {
                    return Err(ReceiveError::Refused(Refusal::Malformed));
                }
                return Ok(head);
            }
            Ok(Some(Message::Chunk(_))) | Err(_) => {
                return Err(ReceiveError::Refused(Refusal::Malformed));
            }
            Ok(None) if reader.buffer.len() > limits.head_bytes => {
                return Err(ReceiveError::Refused(Refusal::HeadTooLarge));
            }
            Ok(None) if !reader.fill().await => return Err(ReceiveError::Closed),
            Ok(None) => {}
        }
    }
}

/// Returns whether the request target is in origin form (a path), not in the absolute form of a
/// proxy request.
fn is_origin_form(head: &Request) -> bool {
    let uri = head.uri();
    uri.scheme().is_none() && uri.authority().is_none() && uri.path().starts_with('/')
}

async fn read_body(
    reader: &mut Reader,
    codec: &mut Codec,
    limits: &CallerLimits,
) -> Result<Bytes, ReceiveError> {
    let mut body = BytesMut::new();
    loop {
        match codec.decode(&mut reader.buffer) {
            Ok(Some(Message::Chunk(Some(bytes)))) => {
                body.extend_from_slice(&bytes);
                if body.len() > limits.body_bytes {
                    return Err(ReceiveError::Refused(Refusal::BodyTooLarge));
                }
            }
            Ok(Some(Message::Chunk(None))) => return Ok(body.freeze()),
            Ok(Some(Message::Item(_))) | Err(_) => {
                return Err(ReceiveError::Refused(Refusal::Malformed));
            }
            Ok(None) if !reader.fill().await => return Err(ReceiveError::Closed),
            Ok(None) => {}
        }
    }
}

impl Reader {
    /// Reads more bytes; returns false once the caller has closed the connection.
    ///
    /// An empty buffer is released while waiting, because hundreds of connections are idle between
    /// two requests.
    async fn fill(&mut self) -> bool {
        if self.buffer.is_empty() {
            self.buffer = BytesMut::new();
            if self.read.readable().await.is_err() {
                return false;
            }
        }
        self.buffer.reserve(READ_BUFFER_BYTES);
        matches!(self.read.read_buf(&mut self.buffer).await, Ok(count) if count > 0)
    }

    /// Returns once the caller has closed its connection or its sending side.
    ///
    /// Such a caller does not use the response; dropping the request also stops the backend
    /// server's work for it.
    async fn wait_for_disconnect(&mut self) {
        while self.fill().await {
            if self.buffer.len() > MAX_PIPELINED_BYTES {
                std::future::pending::<()>().await;
            }
        }
    }
}
