//! Reads requests from a caller's connection, within the limits of the configuration.

use std::cell::Cell;
use std::pin::pin;
use std::time::{Duration, Instant};

use actix_http::h1::{Codec, Message};
use actix_http::{Method, Request};
use bytes::{Bytes, BytesMut};
use clementinepick::refusal::Refusal;
use clementinepick::traffic_config::CallerLimits;
use clementinepick::units::SpanUs;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::sleep_until;
use tokio_util::codec::Decoder;

use crate::framing_limit::FramingLimit;
use crate::gateway_connection::Handler;
use crate::gateway_shared::{BodyReservation, Shared};
use crate::input_first::read_arrived;
use crate::link::duration;

/// How many bytes of the next request are buffered while one is served; beyond this, TCP flow
/// control makes the caller wait.
const MAX_PIPELINED_BYTES: usize = 65_536;
/// The buffer space reserved for one read, in bytes; request heads and most bodies are smaller.
const READ_BUFFER_BYTES: usize = 2_048;
/// A timer that fires later than this shows that the process was paused, and may have kept its caller
/// waiting.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(100);

/// A request that was received in full.
pub(crate) struct ReceivedRequest<'a> {
    pub(crate) head: Request,
    pub(crate) body: Bytes,
    _reservation: Option<BodyReservation<'a>>,
    /// When its first byte was received.
    pub(crate) arrived: Instant,
}

/// A request that is refused before it was received in full.
pub(crate) struct UnreadRequest {
    pub(crate) refusal: Refusal,
    /// The head, if it was received.
    pub(crate) head: Option<Request>,
    /// When its first byte was received.
    pub(crate) arrived: Instant,
}

/// Why no request was received.
pub(crate) enum ReceiveError {
    /// The caller closed the connection, or it was idle for too long.
    Closed,
    /// The request is not accepted.
    Refused(UnreadRequest),
}

/// Why reading a part of a request failed.
enum ReadError {
    Closed,
    /// The request is not accepted; with its head, if that was read in this part.
    Refused(Refusal, Option<Request>),
}

fn refused<T>(refusal: Refusal) -> Result<T, ReadError> {
    Err(ReadError::Refused(refusal, None))
}

/// The state of a caller's input that its reply and its timers look at.
#[derive(Default)]
pub(crate) struct InputState {
    received_bytes: Cell<u64>,
    /// The received bytes up to the end of the current request.
    consumed_bytes: Cell<u64>,
    /// The number of the last byte that still gets a response, if the connection ends.
    last_byte: Cell<Option<u64>>,
}

impl InputState {
    /// Ends the connection after the responses to what has arrived.
    pub(crate) fn end(&self) {
        if !self.is_ending() {
            self.last_byte.set(Some(self.received_bytes.get()));
        }
    }

    pub(crate) fn is_ending(&self) -> bool {
        self.last_byte.get().is_some()
    }

    /// Returns whether the response to the current request is the last one that is due.
    pub(crate) fn is_answered(&self) -> bool {
        let answered = self.last_byte.get();
        self.consumed_bytes.get() >= answered.unwrap_or(self.received_bytes.get())
    }
}

/// Reads a caller's connection.
pub(crate) struct Reader<'a> {
    read: OwnedReadHalf,
    buffer: BytesMut,
    state: &'a InputState,
}

/// The highest of the limits that were in force since the previous request of a connection arrived:
/// its response may have announced the idle limit, and its caller may not know of a lower one yet.
struct LimitsInForce<'a> {
    shared: &'a Shared,
    since: Instant,
}

impl<'a> LimitsInForce<'a> {
    fn new(shared: &'a Shared, since: Instant, now: Instant) -> Self {
        shared.record_limits(now);
        Self { shared, since }
    }

    fn get(&self) -> CallerLimits {
        self.shared.loosest_limits_since(self.since)
    }
}

/// Returns once the time of `limit`, which may be raised meanwhile, has passed.
async fn wait_for_limit(limit: impl Fn() -> SpanUs) {
    let started_at = Instant::now();
    let mut end = started_at + duration(limit());
    loop {
        sleep_until(end.into()).await;
        let now = Instant::now();
        let late = now.saturating_duration_since(end);
        let limit_end = started_at + duration(limit());
        if late > PAUSE_THRESHOLD {
            end = now + late;
        } else if limit_end > end {
            end = limit_end;
        } else {
            return;
        }
    }
}

/// Reads the next request for `handler`, within the highest limits in force since `limits_since`.
pub(crate) async fn receive<'a>(
    shared: &'a Shared,
    handler: &dyn Handler,
    reader: &mut Reader<'_>,
    codec: &mut Codec,
    write: &mut OwnedWriteHalf,
    limits_since: Instant,
) -> Result<ReceivedRequest<'a>, ReceiveError> {
    let limits = LimitsInForce::new(shared, limits_since, Instant::now());
    if reader.buffer.is_empty() && !wait_for_input(shared, reader, &limits).await {
        return Err(ReceiveError::Closed);
    }
    let arrived = Instant::now();
    let to_error = |error, head: Option<Request>| match error {
        ReadError::Closed => ReceiveError::Closed,
        ReadError::Refused(refusal, read_head) => ReceiveError::Refused(UnreadRequest {
            refusal,
            head: read_head.or(head),
            arrived,
        }),
    };
    let state = reader.state;
    let head = read_head(reader, codec, &limits);
    let head = in_time(state, || limits.get().head_us, wait_for_stop(shared), head).await;
    let head = head.map_err(|error| to_error(error, None))?;
    let body = receive_body(shared, reader, codec, write, &head, &limits);
    let refusal = wait_for_refusal(shared, handler, &head, arrived);
    let body = in_time(state, || limits.get().idle_us, refusal, body).await;
    let reserved = body.and_then(|body| {
        if body.is_empty() {
            return Ok((body, None));
        }
        let reservation = shared.reserve_body(body.len());
        let reservation = reservation.ok_or(ReadError::Refused(Refusal::Overloaded, None))?;
        Ok((body, Some(reservation)))
    });
    reader.update_state();
    match reserved {
        Ok((body, reservation)) => Ok(ReceivedRequest {
            head,
            body,
            _reservation: reservation,
            arrived,
        }),
        Err(error) => Err(to_error(error, Some(head))),
    }
}

/// Waits for the first byte of a request; returns false if there is none in time.
async fn wait_for_input(
    shared: &Shared,
    reader: &mut Reader<'_>,
    limits: &LimitsInForce<'_>,
) -> bool {
    let state = reader.state;
    let mut reading = pin!(reader.fill());
    tokio::select! {
        biased;
        is_open = &mut reading => return is_open,
        () = wait_for_limit(|| limits.get().idle_us) => {}
        () = shared.wait_for_close() => {}
    }
    let arrived = read_arrived(reading, &state.received_bytes).await;
    arrived.unwrap_or(false)
}

async fn wait_for_stop(shared: &Shared) -> Refusal {
    shared.wait_for_stop().await;
    Refusal::ShuttingDown
}

/// Waits until a request whose body is being received is refused by the shutdown.
async fn wait_for_refusal(
    shared: &Shared,
    handler: &dyn Handler,
    head: &Request,
    arrived: Instant,
) -> Refusal {
    shared.wait_for_close().await;
    match handler.refuse_head(head, arrived, Instant::now()) {
        Some(refusal) => refusal,
        None => wait_for_stop(shared).await,
    }
}

/// Reads a part of a request until its time limit or a refusal.
async fn in_time<T>(
    state: &InputState,
    limit: impl Fn() -> SpanUs,
    refusal: impl Future<Output = Refusal>,
    reading: impl Future<Output = Result<T, ReadError>>,
) -> Result<T, ReadError> {
    let mut reading = pin!(reading);
    let refusal = tokio::select! {
        biased;
        read = &mut reading => return read,
        () = wait_for_limit(limit) => Refusal::ReceiveTimeout,
        refusal = refusal => refusal,
    };
    let arrived = read_arrived(reading, &state.received_bytes).await;
    arrived.unwrap_or_else(|| refused(refusal))
}

async fn read_head(
    reader: &mut Reader<'_>,
    codec: &mut Codec,
    limits: &LimitsInForce<'_>,
) -> Result<Request, ReadError> {
    loop {
        let before = reader.buffer.len();
        let decoded = codec.decode(&mut reader.buffer);
        match decoded {
            Ok(Some(Message::Item(head))) => {
                let head_bytes = before - reader.buffer.len();
                if head_bytes > limits.get().head_bytes {
                    return Err(ReadError::Refused(Refusal::HeadTooLarge, Some(head)));
                }
                if head.method() == Method::CONNECT || !is_origin_form(&head) {
                    return Err(ReadError::Refused(Refusal::Malformed, Some(head)));
                }
                return Ok(head);
            }
            Ok(Some(Message::Chunk(_))) | Err(_) => return refused(Refusal::Malformed),
            Ok(None) if reader.buffer.len() > limits.get().head_bytes => {
                return refused(Refusal::HeadTooLarge);
            }
            Ok(None) if !reader.fill().await => return Err(ReadError::Closed),
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

async fn receive_body(
    shared: &Shared,
    reader: &mut Reader<'_>,
    codec: &mut Codec,
    write: &mut OwnedWriteHalf,
    head: &Request,
    limits: &LimitsInForce<'_>,
) -> Result<Bytes, ReadError> {
    let length = head.head().headers.get("content-length");
    let length = length.and_then(|v| v.to_str().ok()?.trim().parse::<usize>().ok());
    if length.is_some_and(|length| length > limits.get().body_bytes) {
        return refused(Refusal::BodyTooLarge);
    }
    if !has_body(head) {
        return Ok(Bytes::new());
    }
    if length.is_some_and(|length| shared.reserve_body(length).is_none()) {
        return refused(Refusal::Overloaded);
    }
    if head.head().expect() && reader.buffer.is_empty() {
        let sent = write.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await;
        sent.map_err(|_| ReadError::Closed)?;
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

async fn read_body(
    reader: &mut Reader<'_>,
    codec: &mut Codec,
    limits: &LimitsInForce<'_>,
) -> Result<Bytes, ReadError> {
    let mut body = BytesMut::new();
    let mut framing = FramingLimit::default();
    loop {
        let received = reader.buffer.len();
        let decoded = codec.decode(&mut reader.buffer);
        let payload = match &decoded {
            Ok(Some(Message::Chunk(Some(bytes)))) => bytes.len(),
            _ => 0,
        };
        if !framing.allows(received - reader.buffer.len(), payload) {
            return refused(Refusal::Malformed);
        }
        match decoded {
            Ok(Some(Message::Chunk(Some(bytes)))) => {
                body.extend_from_slice(&bytes);
                if body.len() > limits.get().body_bytes {
                    return refused(Refusal::BodyTooLarge);
                }
            }
            Ok(Some(Message::Chunk(None))) => return Ok(body.freeze()),
            Ok(Some(Message::Item(_))) | Err(_) => return refused(Refusal::Malformed),
            Ok(None) if !reader.fill().await => return Err(ReadError::Closed),
            Ok(None) => {}
        }
    }
}

impl<'a> Reader<'a> {
    pub(crate) fn new(read: OwnedReadHalf, state: &'a InputState) -> Self {
        Self {
            read,
            buffer: BytesMut::new(),
            state,
        }
    }

    fn update_state(&self) {
        let buffered = self.buffer.len() as u64;
        let received = self.state.received_bytes.get();
        self.state.consumed_bytes.set(received - buffered);
    }

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
        let Ok(count) = self.read.read_buf(&mut self.buffer).await else {
            return false;
        };
        let received = &self.state.received_bytes;
        received.set(received.get() + count as u64);
        self.update_state();
        count > 0
    }

    /// Returns once the caller has closed its connection or its sending side.
    ///
    /// Such a caller does not use the response; dropping the request also stops the backend
    /// server's work for it.
    pub(crate) async fn wait_for_disconnect(&mut self) {
        while self.fill().await {
            if self.buffer.len() > MAX_PIPELINED_BYTES {
                std::future::pending::<()>().await;
            }
        }
    }

    /// Reads and drops what arrives until the caller closes its sending side or `max_bytes` have
    /// arrived.
    pub(crate) async fn discard(&mut self, max_bytes: u64) {
        let end = self.state.received_bytes.get() + max_bytes;
        self.buffer.clear();
        while self.state.received_bytes.get() < end && self.fill().await {
            self.buffer.clear();
        }
    }
}
