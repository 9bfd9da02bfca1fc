//! What the HTTP sides of all stand-ins share.

use std::convert::Infallible;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::header::{CONTENT_TYPE, RETRY_AFTER};
use actix_http::{Request, Response, StatusCode};
use bytes::{Bytes, BytesMut};
use clementinepick::units::SpanUs;
use futures_util::StreamExt;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// The largest body that a stand-in reads.
const MAX_BODY_BYTES: usize = 64_000_000;

/// An answer of a stand-in.
pub(crate) type HttpResponse = Response<BoxBody>;

/// What a handler gives to the server.
pub(crate) type HandlerResult = Result<HttpResponse, Infallible>;

/// Locks a core; a handler that panicked leaves it as it was.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Sleeps for a span.
pub(crate) async fn sleep(span: SpanUs) {
    if span.0 > 0 {
        actix_rt::time::sleep(Duration::from_micros(span.0)).await;
    }
}

/// The parts of a request's path.
pub(crate) fn path_parts(request: &Request) -> Vec<String> {
    let parts = request.path().split('/');
    parts
        .filter(|part| !part.is_empty())
        .map(str::to_owned)
        .collect()
}

/// A number of the query.
pub(crate) fn query_number(request: &Request, name: &str) -> Option<u64> {
    let query = request.uri().query()?;
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let mut named = pairs.filter(|(key, _)| *key == name);
    named.next()?.1.parse().ok()
}

/// The whole body; absent when it breaks off or is too large.
pub(crate) async fn read_body(request: &mut Request) -> Option<Bytes> {
    let mut body = BytesMut::new();
    let mut payload = request.take_payload();
    while let Some(chunk) = payload.next().await {
        body.extend_from_slice(&chunk.ok()?);
        if body.len() > MAX_BODY_BYTES {
            return None;
        }
    }
    Some(body.freeze())
}

/// The body as JSON.
///
/// # Errors
///
/// An answer with status 400.
pub(crate) async fn read_json<T: DeserializeOwned>(
    request: &mut Request,
) -> Result<T, HttpResponse> {
    let body = read_body(request).await.unwrap_or_default();
    serde_json::from_slice(&body).map_err(|err| text(StatusCode::BAD_REQUEST, err.to_string()))
}

/// An answer without a body.
pub(crate) fn empty(status: StatusCode) -> HttpResponse {
    Response::with_body(status, BoxBody::new(()))
}

/// An answer with a line of text.
pub(crate) fn text(status: StatusCode, text: impl Into<String>) -> HttpResponse {
    Response::with_body(status, BoxBody::new(text.into()))
}

/// An answer in JSON.
pub(crate) fn json<T: Serialize>(value: &T) -> HttpResponse {
    match serde_json::to_string(value) {
        Ok(body) => json_text(StatusCode::OK, body),
        Err(err) => text(StatusCode::INTERNAL_SERVER_ERROR, err.to_string()),
    }
}

/// An answer whose JSON is there already.
pub(crate) fn json_text(status: StatusCode, body: String) -> HttpResponse {
    let mut answer = Response::build(status);
    answer.insert_header((CONTENT_TYPE, "application/json"));
    answer.body(body).map_into_boxed_body()
}

/// Refuses for now, and says when to come back, in whole seconds.
pub(crate) fn retry_later(status: StatusCode, after: SpanUs) -> HttpResponse {
    let mut answer = Response::build(status);
    answer.insert_header((RETRY_AFTER, after.0.div_ceil(1_000_000).max(1).to_string()));
    answer.body(()).map_into_boxed_body()
}

/// No such path or method.
pub(crate) fn not_found() -> HttpResponse {
    empty(StatusCode::NOT_FOUND)
}
