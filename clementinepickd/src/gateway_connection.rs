//! One caller's connection: reads requests, hands them on, and watches for the caller's leaving.

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

/// How many bytes of a next request are taken while one is answered; a caller that sends more is
/// made to wait by its connection.
const MAX_AHEAD_BYTES: usize = 65_536;
/// How much room a read has, in bytes; heads and the bodies of most requests are smaller.
const READ_BYTES: usize = 2_048;
/// The name in metrics of requests that were not read whole.
const UNREAD: &str = "unread";
/// How long a caller may take to read the answer to a request that was not accepted.
const REFUSAL_LIMIT: Duration = Duration::from_secs(1);

/// A request that was read in full.
pub(crate) struct ReceivedRequest<'a> {
    pub(crate) head: Request,
    pub(crate) body: Bytes,
    _hold: Option<BodyReservation<'a>>,
    /// When its first byte was there.
    pub(crate) arrived: Instant,
}

/// What takes the requests of a listener.
pub(crate) trait Handler {
    /// Answers a request. A reply that is left incomplete ends the connection.
    fn handle<'a>(
        &'a self,
        request: &'a ReceivedRequest<'_>,
        reply: &'a mut Reply<'_>,
    ) -> std::pin::Pin<Box<dyn Future<Output = ()> + 'a>>;
}

/// Why reading ended without a request.
enum ReadEnd {
    /// The caller closed, or the connection was idle for too long.
    Closed,
    /// The request can't be accepted.
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
            Err(ReadEnd::Closed) => return,
            Err(ReadEnd::Refused(refusal)) => {
                refuse(&shared, refusal, &mut codec, &mut write).await;
                return;
            }
        };
        let closes = !codec.keep_alive() || shared.is_draining();
        let mut reply = Reply::new(&mut codec, &mut write, closes);
        let running = shared.start_request();
        tokio::select! {
            () = handler.handle(&request, &mut reply) => {}
            () = reader.caller_left() => return,
        }
        drop(running);
        let is_complete = reply.state() == ReplyState::Complete;
        if !is_complete || reply.closes {
            return;
        }
    }
}

async fn refuse(shared: &Shared, refusal: Refusal, codec: &mut Codec, write: &mut OwnedWriteHalf) {
    shared
        .metrics
        .count(UNREAD, refusal.response().code, Duration::ZERO);
    let mut reply = Reply::new(codec, write, true);
    let answer = reply.send_refusal(refusal.response(), None);
    if timeout(REFUSAL_LIMIT, answer).await.is_ok() {
        // Closing with unread bytes would reset the connection and take the answer with it.
        let _ = write.shutdown().await;
    }
}

async fn receive<'a>(
    shared: &'a Shared,
    reader: &mut Reader,
    codec: &mut Codec,
    write: &mut OwnedWriteHalf,
) -> Result<ReceivedRequest<'a>, ReadEnd> {
    let limits = shared.limits();
    if reader.buffer.is_empty() {
        let first = timeout(duration(limits.idle_us), reader.fill());
        let closing = shared.wait_for_close();
        tokio::select! {
            biased;
            filled = first => match filled {
                Ok(true) => {}
                Ok(false) | Err(_) => return Err(ReadEnd::Closed),
            },
            () = closing => return Err(ReadEnd::Closed),
        }
    }
    let arrived = Instant::now();
    let head = read_head(reader, codec, &limits);
    let head = in_time(limits.head_us, head).await?;
    let body = receive_body(shared, reader, codec, write, &head, &limits);
    let body = in_time(limits.idle_us, body).await?;
    let hold = match body.len() {
        0 => None,
        bytes => Some(shared.reserve_body(bytes).ok_or(overloaded())?),
    };
    Ok(ReceivedRequest {
        head,
        body,
        _hold: hold,
        arrived,
    })
}

fn overloaded() -> ReadEnd {
    ReadEnd::Refused(Refusal::Overloaded)
}

async fn in_time<T>(
    limit_us: SpanUs,
    reading: impl Future<Output = Result<T, ReadEnd>>,
) -> Result<T, ReadEnd> {
    let late = || ReadEnd::Refused(Refusal::ReceiveTimeout);
    timeout(duration(limit_us), reading)
        .await
        .map_err(|_| late())?
}

async fn receive_body(
    shared: &Shared,
    reader: &mut Reader,
    codec: &mut Codec,
    write: &mut OwnedWriteHalf,
    head: &Request,
    limits: &CallerLimits,
) -> Result<Bytes, ReadEnd> {
    let length = head.head().headers.get("content-length");
    let length = length.and_then(|v| v.to_str().ok()?.trim().parse::<usize>().ok());
    if length.is_some_and(|length| length > limits.body_bytes) {
        return Err(ReadEnd::Refused(Refusal::BodyTooLarge));
    }
    if !has_body(head) {
        return Ok(Bytes::new());
    }
    if length.is_some_and(|length| shared.reserve_body(length).is_none()) {
        return Err(overloaded());
    }
    if head.head().expect() && reader.buffer.is_empty() {
        let go_on = write.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await;
        go_on.map_err(|_| ReadEnd::Closed)?;
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
) -> Result<Request, ReadEnd> {
    loop {
        let before = reader.buffer.len();
        let decoded = codec.decode(&mut reader.buffer);
        match decoded {
            Ok(Some(Message::Item(head))) => {
                let head_bytes = before - reader.buffer.len();
                if head_bytes > limits.head_bytes {
                    return Err(ReadEnd::Refused(Refusal::HeadTooLarge));
                }
                if head.method() == Method::CONNECT || !is_origin_form(&head) {
                    return Err(ReadEnd::Refused(Refusal::Malformed));
                }
                return Ok(head);
            }
            Ok(Some(Message::Chunk(_))) | Err(_) => {
                return Err(ReadEnd::Refused(Refusal::Malformed));
            }
            Ok(None) if reader.buffer.len() > limits.head_bytes => {
                return Err(ReadEnd::Refused(Refusal::HeadTooLarge));
            }
            Ok(None) if !reader.fill().await => return Err(ReadEnd::Closed),
            Ok(None) => {}
        }
    }
}

/// Whether the target is a path, and not the address of a proxy's request.
fn is_origin_form(head: &Request) -> bool {
    let uri = head.uri();
    uri.scheme().is_none() && uri.authority().is_none() && uri.path().starts_with('/')
}

async fn read_body(
    reader: &mut Reader,
    codec: &mut Codec,
    limits: &CallerLimits,
) -> Result<Bytes, ReadEnd> {
    let mut body = BytesMut::new();
    loop {
        match codec.decode(&mut reader.buffer) {
            Ok(Some(Message::Chunk(Some(bytes)))) => {
                body.extend_from_slice(&bytes);
                if body.len() > limits.body_bytes {
                    return Err(ReadEnd::Refused(Refusal::BodyTooLarge));
                }
            }
            Ok(Some(Message::Chunk(None))) => return Ok(body.freeze()),
            Ok(Some(Message::Item(_))) | Err(_) => {
                return Err(ReadEnd::Refused(Refusal::Malformed));
            }
            Ok(None) if !reader.fill().await => return Err(ReadEnd::Closed),
            Ok(None) => {}
        }
    }
}

impl Reader {
    /// Reads more; false when the caller closed.
    ///
    /// Hundreds of connections rest between two requests, so that one without bytes holds no buffer.
    async fn fill(&mut self) -> bool {
        if self.buffer.is_empty() {
            self.buffer = BytesMut::new();
            if self.read.readable().await.is_err() {
                return false;
            }
        }
        self.buffer.reserve(READ_BYTES);
        matches!(self.read.read_buf(&mut self.buffer).await, Ok(count) if count > 0)
    }

    /// Returns when the caller has closed its connection.
    ///
    /// A caller that closes has no use for its answer, also if it closed only its sending side; the
    /// backend server's work for it is stopped by dropping the request.
    async fn caller_left(&mut self) {
        while self.fill().await {
            if self.buffer.len() > MAX_AHEAD_BYTES {
                std::future::pending::<()>().await;
            }
        }
    }
}
