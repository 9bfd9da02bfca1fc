//! Reads requests from a caller's connection, within the limits of the configuration.

use std::pin::pin;
use std::time::{Duration, Instant};

use actix_http::h1::{Codec, Message};
use actix_http::{Method, Request};
use bytes::Bytes;
use clementinepick::refusal::Refusal;
use clementinepick::traffic_config::CallerLimits;
use clementinepick::units::SpanUs;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::time::sleep_until;
use tokio_util::codec::Decoder;

use crate::connections::{MemoryClaim, OpenConnection};
use crate::framing_limit::FramingLimit;
use crate::gateway_connection::Handler;
use crate::gateway_reader::{InputState, ReadOutcome, Reader};
use crate::gateway_shared::Shared;
use crate::input_first::read_arrived;
use crate::link::duration;
use crate::request_body::BodyBuffer;

/// A timer that fires later than this shows that the process was paused, and may have kept its caller
/// waiting.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(100);

/// A request that was received in full.
pub(crate) struct ReceivedRequest<'a> {
    pub(crate) head: Request,
    pub(crate) body: Bytes,
    /// The memory of the head and of the body.
    _claims: [MemoryClaim<'a>; 2],
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

/// The highest of the limits that were in force since the previous request of a connection arrived:
/// its response may have announced the idle limit, and its caller may not know of a lower one yet.
struct LimitsInForce<'a> {
    shared: &'a Shared,
    since: Instant,
    /// The size of bodies that is allowed whatever the configuration says.
    min_body_bytes: usize,
}

impl<'a> LimitsInForce<'a> {
    fn new(shared: &'a Shared, handler: &dyn Handler, since: Instant, now: Instant) -> Self {
        shared.record_limits(now);
        Self {
            shared,
            since,
            min_body_bytes: handler.min_body_limit_bytes(),
        }
    }

    fn get(&self) -> CallerLimits {
        let limits = self.shared.loosest_limits_since(self.since);
        CallerLimits {
            body_bytes: limits.body_bytes.max(self.min_body_bytes),
            ..limits
        }
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
    shared: &Shared,
    handler: &dyn Handler,
    reader: &mut Reader<'a>,
    codec: &mut Codec,
    write: &mut OwnedWriteHalf,
    limits_since: Instant,
) -> Result<ReceivedRequest<'a>, ReceiveError> {
    let limits = LimitsInForce::new(shared, handler, limits_since, Instant::now());
    let connection = reader.connection;
    connection.set_idle(Instant::now());
    if reader.buffer.is_empty() && !wait_for_input(shared, reader, &limits).await {
        return Err(ReceiveError::Closed);
    }
    let arrived = Instant::now();
    connection.set_receiving(arrived, reader.buffer.len());
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
    let limit = || limits.get().head_us;
    let head = in_time(connection, state, limit, wait_for_stop(shared), head).await;
    let (head, head_claim) = head.map_err(|error| to_error(error, None))?;
    if connection.is_excess {
        let error = ReadError::Refused(Refusal::Overloaded, Some(head));
        return Err(to_error(error, None));
    }
    let body = receive_body(reader, codec, write, &head, &limits);
    let refusal = wait_for_refusal(shared, handler, &head, arrived);
    let limit = || limits.get().idle_us;
    let body = in_time(connection, state, limit, refusal, body).await;
    reader.update_state();
    match body {
        Ok((body, body_claim)) => {
            connection.set_running();
            Ok(ReceivedRequest {
                head,
                body,
                _claims: [head_claim, body_claim],
                arrived,
            })
        }
        Err(error) => Err(to_error(error, Some(head))),
    }
}

/// Waits for the first byte of a request; returns false if there is none in time. Input for which there is
/// no memory counts: its request is refused.
async fn wait_for_input(
    shared: &Shared,
    reader: &mut Reader<'_>,
    limits: &LimitsInForce<'_>,
) -> bool {
    let (state, connection) = (reader.state, reader.connection);
    let mut reading = pin!(reader.fill());
    tokio::select! {
        biased;
        outcome = &mut reading => return outcome != ReadOutcome::Closed,
        () = wait_for_limit(|| limits.get().idle_us) => {}
        () = shared.wait_for_close() => {}
        () = connection.wait_to_give_way() => {}
    }
    let arrived = read_arrived(reading, state.received_bytes()).await;
    arrived.is_some_and(|outcome| outcome != ReadOutcome::Closed)
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

/// Reads a part of a request until its time limit, a refusal, or until its connection has to give way.
async fn in_time<T>(
    connection: &OpenConnection,
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
        () = connection.wait_to_give_way() => return refused(Refusal::Overloaded),
    };
    let arrived = read_arrived(reading, state.received_bytes()).await;
    arrived.unwrap_or_else(|| refused(refusal))
}

/// Reads the head of a request, with the claim for the memory that it shares with the buffer.
async fn read_head<'a>(
    reader: &mut Reader<'a>,
    codec: &mut Codec,
    limits: &LimitsInForce<'_>,
) -> Result<(Request, MemoryClaim<'a>), ReadError> {
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
                return Ok((head, reader.share_buffer()));
            }
            Ok(Some(Message::Chunk(_))) | Err(_) => return refused(Refusal::Malformed),
            Ok(None) if reader.buffer.len() > limits.get().head_bytes => {
                return refused(Refusal::HeadTooLarge);
            }
            Ok(None) => fill(reader).await?,
        }
    }
}

async fn fill(reader: &mut Reader<'_>) -> Result<(), ReadError> {
    match reader.fill().await {
        ReadOutcome::Read => Ok(()),
        ReadOutcome::Closed => Err(ReadError::Closed),
        ReadOutcome::OutOfMemory => refused(Refusal::Overloaded),
    }
}

/// Returns whether the request target is in origin form (a path), not in the absolute form of a
/// proxy request.
fn is_origin_form(head: &Request) -> bool {
    let uri = head.uri();
    uri.scheme().is_none() && uri.authority().is_none() && uri.path().starts_with('/')
}

async fn receive_body<'a>(
    reader: &mut Reader<'a>,
    codec: &mut Codec,
    write: &mut OwnedWriteHalf,
    head: &Request,
    limits: &LimitsInForce<'_>,
) -> Result<(Bytes, MemoryClaim<'a>), ReadError> {
    let connection = reader.connection;
    let length = head.head().headers.get("content-length");
    let length = length.and_then(|v| v.to_str().ok()?.trim().parse::<usize>().ok());
    if length.is_some_and(|length| length > limits.get().body_bytes) {
        return refused(Refusal::BodyTooLarge);
    }
    if !has_body(head) {
        return Ok((Bytes::new(), connection.claim()));
    }
    if length.is_some_and(|length| !connection.has_room(Instant::now(), length)) {
        return refused(Refusal::Overloaded);
    }
    if head.head().expect() && reader.buffer.is_empty() {
        let sent = write.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await;
        sent.map_err(|_| ReadError::Closed)?;
    }
    let limit_bytes = limits.get().body_bytes;
    let body = BodyBuffer::new(connection, length.unwrap_or(limit_bytes));
    read_body(reader, codec, limits, body).await
}

fn has_body(head: &Request) -> bool {
    let headers = &head.head().headers;
    let is_empty = headers
        .get("content-length")
        .is_some_and(|value| value.as_bytes().iter().all(|b| *b == b'0'));
    headers.contains_key("transfer-encoding")
        || (headers.contains_key("content-length") && !is_empty)
}

async fn read_body<'a>(
    reader: &mut Reader<'a>,
    codec: &mut Codec,
    limits: &LimitsInForce<'_>,
    mut body: BodyBuffer<'a>,
) -> Result<(Bytes, MemoryClaim<'a>), ReadError> {
    let mut framing = FramingLimit::default();
    let mut limit_bytes = 0;
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
                let length = body.len() + bytes.len();
                if length > limit_bytes {
                    limit_bytes = limits.get().body_bytes;
                }
                if length > limit_bytes {
                    return refused(Refusal::BodyTooLarge);
                }
                if !body.append(&bytes).await {
                    return refused(Refusal::Overloaded);
                }
            }
            Ok(Some(Message::Chunk(None))) => return Ok(body.finish()),
            Ok(Some(Message::Item(_))) | Err(_) => return refused(Refusal::Malformed),
            Ok(None) => fill(reader).await?,
        }
    }
}
