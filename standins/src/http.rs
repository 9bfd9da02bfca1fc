//! Reads requests and builds responses for the HTTP stand-ins.

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

const MAX_BODY_BYTES: usize = 64_000_000;

/// A response of a stand-in.
pub(crate) type HttpResponse = Response<BoxBody>;

/// Result of a request handler.
pub(crate) type HandlerResult = Result<HttpResponse, Infallible>;

/// Locks a mutex, ignoring poisoning by a handler that panicked.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

pub(crate) async fn sleep(span: SpanUs) {
    if span.0 > 0 {
        actix_rt::time::sleep(Duration::from_micros(span.0)).await;
    }
}

/// Returns the non-empty segments of the request path.
pub(crate) fn path_parts(request: &Request) -> Vec<String> {
    let parts = request.path().split('/');
    parts
        .filter(|part| !part.is_empty())
        .map(str::to_owned)
        .collect()
}

/// Returns a query parameter as a number.
pub(crate) fn query_number(request: &Request, name: &str) -> Option<u64> {
    let query = request.uri().query()?;
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let mut named = pairs.filter(|(key, _)| *key == name);
    named.next()?.1.parse().ok()
}

/// Reads the whole body; returns `None` if it is truncated or larger than [`MAX_BODY_BYTES`].
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

/// Reads the body as JSON.
///
/// # Errors
///
/// A response with status 400.
pub(crate) async fn read_json<T: DeserializeOwned>(
    request: &mut Request,
) -> Result<T, HttpResponse> {
    let body = read_body(request).await.unwrap_or_default();
    serde_json::from_slice(&body).map_err(|err| text(StatusCode::BAD_REQUEST, err.to_string()))
}

/// Builds a response without a body.
pub(crate) fn empty(status: StatusCode) -> HttpResponse {
    Response::with_body(status, BoxBody::new(()))
}

/// Builds a plain-text response.
pub(crate) fn text(status: StatusCode, text: impl Into<String>) -> HttpResponse {
    Response::with_body(status, BoxBody::new(text.into()))
}

/// Builds a JSON response.
pub(crate) fn json<T: Serialize>(value: &T) -> HttpResponse {
    match serde_json::to_string(value) {
        Ok(body) => json_text(StatusCode::OK, body),
        Err(err) => text(StatusCode::INTERNAL_SERVER_ERROR, err.to_string()),
    }
}

/// Builds a response from serialized JSON.
pub(crate) fn json_text(status: StatusCode, body: String) -> HttpResponse {
    let mut response = Response::build(status);
    response.insert_header((CONTENT_TYPE, "application/json"));
    response.body(body).map_into_boxed_body()
}

/// Builds a response with a `retry-after` header, rounded up to whole seconds.
pub(crate) fn retry_later(status: StatusCode, after: SpanUs) -> HttpResponse {
    let mut response = Response::build(status);
    response.insert_header((RETRY_AFTER, after.0.div_ceil(1_000_000).max(1).to_string()));
    response.body(()).map_into_boxed_body()
}

/// Builds the response for an unknown path or method.
pub(crate) fn not_found() -> HttpResponse {
    empty(StatusCode::NOT_FOUND)
}
