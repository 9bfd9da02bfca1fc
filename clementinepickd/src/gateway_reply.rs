//! Writes the response to one request to the caller's connection.

use std::io;
use std::pin::pin;
use std::time::{Duration, Instant};

use actix_http::body::BodySize;
use actix_http::h1::{Codec, Message};
use actix_http::header::{self, HeaderMap, HeaderName, HeaderValue};
use actix_http::{ConnectionType, Response, StatusCode};
use actix_rt::time::timeout;
use bytes::{Bytes, BytesMut};
use clementinepick::refusal::RefusalResponse;
use clementinepick::units::SpanUs;
use thiserror::Error;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio_util::codec::Encoder;

use crate::connections::OpenConnection;
use crate::gateway_reader::InputState;
use crate::gateway_shared::Shared;
use crate::input_first::poll_once;

/// The share of the idle limit that is announced to callers.
const ANNOUNCED_IDLE_PERCENT: u64 = 80;

/// How long a caller may take to read the refusal of a request.
const REFUSAL_WRITE_TIMEOUT: Duration = Duration::from_secs(1);

/// The largest piece of a body that is copied before it is written.
const MAX_PIECE_BYTES: usize = 65_536;

/// The caller's connection failed while the response was written.
#[derive(Debug, Error)]
#[error("caller disconnected while the response was written: {0}")]
pub(crate) struct CallerDisconnected(#[from] io::Error);

/// How much of a response was written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReplyState {
    /// Nothing was written yet.
    Open,
    /// The head was written and the body is not complete.
    Started,
    /// The response was written in full.
    Complete,
}

/// Decides whether a connection is closed after a response.
#[derive(Clone, Copy)]
pub(crate) enum ClosePolicy<'a> {
    /// It is closed.
    Always,
    /// It is closed if the process is draining at the end of the response and no input is left that
    /// should get a response. Only a response that is written at once can announce that: what arrives
    /// while a stream runs would stay without a response.
    Draining {
        shared: &'a Shared,
        input: &'a InputState,
        /// Whether the response says how long the connection stays open otherwise.
        announces_idle_limit: bool,
    },
}

impl ClosePolicy<'_> {
    fn closes(self) -> bool {
        match self {
            Self::Always => true,
            Self::Draining { shared, input, .. } => shared.is_draining() && input.is_answered(),
        }
    }

    /// Returns the idle limit to announce.
    fn announced_idle_limit(self) -> Option<SpanUs> {
        match self {
            Self::Draining {
                shared,
                announces_idle_limit: true,
                ..
            } if !shared.is_draining() => Some(shared.caller_limits().idle_us),
            Self::Draining { .. } | Self::Always => None,
        }
    }
}

/// Returns the header that tells a caller how long it may reuse an idle connection.
///
/// It is shorter than the limit, so that no request crosses the close; `None` below a second.
fn keep_alive_header(idle_limit: SpanUs) -> Option<HeaderValue> {
    let announced_s = idle_limit.as_ms() * ANNOUNCED_IDLE_PERCENT / 100 / 1_000;
    let value = format!("timeout={announced_s}");
    HeaderValue::from_str(&value)
        .ok()
        .filter(|_| announced_s > 0)
}

/// Writes one response.
pub(crate) struct Reply<'a> {
    codec: &'a mut Codec,
    write: &'a mut OwnedWriteHalf,
    close_policy: ClosePolicy<'a>,
    connection: &'a OpenConnection,
    /// Whether the connection is closed after this response.
    pub(crate) closes: bool,
    /// The status that was written; 0 before that.
    pub(crate) status: u16,
    state: ReplyState,
    buffer: BytesMut,
}

impl<'a> Reply<'a> {
    pub(crate) fn new(
        codec: &'a mut Codec,
        write: &'a mut OwnedWriteHalf,
        close_policy: ClosePolicy<'a>,
        connection: &'a OpenConnection,
    ) -> Self {
        Self {
            codec,
            write,
            close_policy,
            connection,
            closes: false,
            status: 0,
            state: ReplyState::Open,
            buffer: BytesMut::new(),
        }
    }

    pub(crate) fn state(&self) -> ReplyState {
        self.state
    }

    /// Returns whether a request of the connection was refused because the process is shutting down.
    pub(crate) fn is_connection_ending(&self) -> bool {
        match self.close_policy {
            ClosePolicy::Always => false,
            ClosePolicy::Draining { input, .. } => input.is_ending(),
        }
    }

    /// Closes the connection after the responses to the requests that have arrived. They are refused,
    /// too: what arrives during a longer response would stay without one.
    pub(crate) fn end_connection(&self) {
        match self.close_policy {
            ClosePolicy::Always => {}
            ClosePolicy::Draining { input, .. } => input.end(),
        }
    }

    fn encode(
        &mut self,
        message: Message<(Response<()>, BodySize)>,
    ) -> Result<(), CallerDisconnected> {
        Ok(self.codec.encode(message, &mut self.buffer)?)
    }

    /// Writes what was queued. A caller that does not take it may have to give way to others.
    pub(crate) async fn flush(&mut self) -> Result<(), CallerDisconnected> {
        let buffer = self.buffer.split();
        let mut writing = pin!(self.write.write_all(&buffer));
        if let Some(written) = poll_once(writing.as_mut()).await {
            return Ok(written?);
        }
        self.connection.set_unread(Instant::now());
        let written = writing.await;
        self.connection.set_running();
        Ok(written?)
    }

    fn encode_head(
        &mut self,
        status: StatusCode,
        headers: HeaderMap,
        size: BodySize,
    ) -> Result<(), CallerDisconnected> {
        let mut response = Response::with_body(status, ());
        *response.headers_mut() = headers;
        let ends_at_once = matches!(size, BodySize::Sized(_));
        self.closes = self.close_policy.closes() && (ends_at_once || self.is_always_closed());
        if self.closes {
            response
                .head_mut()
                .set_connection_type(ConnectionType::Close);
        }
        let idle_limit = self.close_policy.announced_idle_limit();
        if let Some(value) = idle_limit.and_then(keep_alive_header) {
            let name = HeaderName::from_static("keep-alive");
            response.headers_mut().insert(name, value);
        }
        self.status = status.as_u16();
        self.state = ReplyState::Started;
        self.encode(Message::Item((response, size)))
    }

    /// Writes a response with its full body.
    pub(crate) async fn send_full(
        &mut self,
        status: StatusCode,
        headers: HeaderMap,
        body: Bytes,
    ) -> Result<(), CallerDisconnected> {
        self.encode_head(status, headers, BodySize::Sized(body.len() as u64))?;
        let mut rest = body;
        while !rest.is_empty() {
            let piece = rest.split_to(rest.len().min(MAX_PIECE_BYTES));
            self.encode(Message::Chunk(Some(piece)))?;
            if !rest.is_empty() {
                self.flush().await?;
            }
        }
        self.encode(Message::Chunk(None))?;
        self.flush().await?;
        self.state = ReplyState::Complete;
        Ok(())
    }

    /// Writes the head of a response of unknown length.
    pub(crate) async fn send_head(
        &mut self,
        status: StatusCode,
        headers: HeaderMap,
    ) -> Result<(), CallerDisconnected> {
        self.encode_head(status, headers, BodySize::Stream)?;
        self.flush().await
    }

    /// Queues a chunk of the body, which the next flush writes.
    pub(crate) fn queue_chunk(&mut self, bytes: Bytes) -> Result<(), CallerDisconnected> {
        if bytes.is_empty() {
            // An empty chunk would end the body.
            return Ok(());
        }
        self.encode(Message::Chunk(Some(bytes)))
    }

    /// Ends the body of a response of unknown length.
    pub(crate) async fn finish(&mut self) -> Result<(), CallerDisconnected> {
        self.encode(Message::Chunk(None))?;
        self.flush().await?;
        self.state = ReplyState::Complete;
        self.closes = self.closes || self.close_policy.closes();
        Ok(())
    }

    fn is_always_closed(&self) -> bool {
        matches!(self.close_policy, ClosePolicy::Always)
    }

    /// Writes a refusal, in place of a backend server's response; a caller that does not read it in time
    /// counts as disconnected.
    pub(crate) async fn send_refusal(
        &mut self,
        refusal: RefusalResponse,
        request_id: Option<&str>,
    ) -> Result<(), CallerDisconnected> {
        let mut headers = HeaderMap::new();
        headers.insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static("application/json"),
        );
        if let Some(after) = refusal.retry_after_us
            && let Ok(value) = HeaderValue::from_str(&format!("{:.3}", after.as_s_f64()))
        {
            headers.insert(header::RETRY_AFTER, value);
        }
        let id = request_id.and_then(|id| HeaderValue::from_str(id).ok());
        if let Some(id) = id {
            let name: HeaderName = platform::response::request_id_header();
            headers.insert(name, id);
        }
        let status = StatusCode::from_u16(refusal.status).unwrap_or(StatusCode::BAD_GATEWAY);
        let body = format!("{{\"error\":\"{}\"}}", refusal.code);
        let sending = self.send_full(status, headers, body.into());
        let sent = timeout(REFUSAL_WRITE_TIMEOUT, sending).await;
        sent.unwrap_or_else(|_| Err(io::Error::from(io::ErrorKind::TimedOut).into()))
    }
}
