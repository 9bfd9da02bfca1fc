//! Reads a caller's request with its headers and body, within the configured limits.

use actix_http::{HttpMessage, Request};
use bytes::BytesMut;
use clementinepick::error::{CallError, ErrorKind};
use clementinepick::http_request::{HttpRequest, IDEMPOTENCY_KEY_HEADER};
use futures_util::StreamExt;
use tokio::time::timeout;

use crate::http::HttpContext;
use crate::link::duration;

/// The prefix of the headers that this system defines.
const OWN_HEADER_PREFIX: &str = "clementinepick-";

/// Reads a request; fails if a size limit or the receive timeout is exceeded.
pub(crate) async fn read_request(
    context: &HttpContext,
    request: &mut Request,
) -> Result<HttpRequest, CallError> {
    let headers = read_headers(context, request)?;
    let path = request.uri().path_and_query();
    let path = path.map_or_else(|| request.path().to_owned(), ToString::to_string);
    let method = request.method().as_str().to_owned();
    let body = timeout(
        duration(context.limits.receive_timeout_us),
        read_body(context, request),
    )
    .await
    .map_err(|_| {
        let detail = format!(
            "did not arrive within {}",
            context.limits.receive_timeout_us
        );
        CallError::in_field(ErrorKind::BadBody, "body", detail)
    })??;
    Ok(HttpRequest {
        method,
        path,
        headers,
        body,
    })
}

fn read_headers(
    context: &HttpContext,
    request: &Request,
) -> Result<Vec<(String, String)>, CallError> {
    let mut remaining_bytes = context.limits.header_bytes.0;
    let mut headers = Vec::new();
    for (name, value) in request.headers() {
        let size = (name.as_str().len() + value.len()) as u64;
        remaining_bytes = remaining_bytes.checked_sub(size).ok_or_else(|| {
            let detail = format!(
                "the headers exceed their total limit of {}",
                context.limits.header_bytes
            );
            CallError::in_field(ErrorKind::BadHeader, name.as_str(), detail)
        })?;
        let value = value.to_str().map_err(|_| {
            CallError::in_field(ErrorKind::BadHeader, name.as_str(), "must be visible ASCII")
        })?;
        // With two values for a program or a key, different readers would see different calls.
        let is_own =
            name.as_str().starts_with(OWN_HEADER_PREFIX) || name.as_str() == IDEMPOTENCY_KEY_HEADER;
        if is_own && headers.iter().any(|(seen, _)| seen == name.as_str()) {
            let error = CallError::in_field(ErrorKind::BadHeader, name.as_str(), "is given twice");
            return Err(error);
        }
        headers.push((name.as_str().to_owned(), value.to_owned()));
    }
    Ok(headers)
}

async fn read_body(context: &HttpContext, request: &mut Request) -> Result<Vec<u8>, CallError> {
    let limit = usize::try_from(context.limits.body_bytes.0).unwrap_or(usize::MAX);
    let mut payload = request.take_payload();
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk
            .map_err(|err| CallError::in_field(ErrorKind::BadBody, "body", err.to_string()))?;
        if body.len() + chunk.len() > limit {
            let detail = format!("exceeds the limit of {}", context.limits.body_bytes);
            return Err(CallError::in_field(ErrorKind::BodyTooLarge, "body", detail));
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.into())
}
