//! Builds HTTP responses, including those for failed requests.

use actix_http::body::BoxBody;
use actix_http::header::{CONTENT_TYPE, RETRY_AFTER};
use actix_http::{Response, ResponseBuilder, StatusCode};
use clementinepick::error::{CallError, ErrorKind};
use serde_json::Value;

use crate::response_body::{error_body, status};

const JSON: &str = "application/json";

/// A failed request, by the layer that detected the failure.
pub(crate) enum RequestError {
    /// Detected by the HTTP layer; the control thread has not counted it yet.
    Http(CallError),
    /// Detected by the control thread, which has counted it.
    Control(CallError),
}

impl From<CallError> for RequestError {
    fn from(error: CallError) -> Self {
        Self::Http(error)
    }
}

/// Rejects a request because of its path.
pub(crate) fn reject_path(detail: &str) -> Result<Response<BoxBody>, RequestError> {
    let error = CallError::in_field(ErrorKind::UnknownService, "path", detail);
    Err(RequestError::Http(error))
}

/// Returns the response to a failed request.
pub(crate) fn error_response(error: &CallError) -> Response<BoxBody> {
    let mut response = Response::build(status(error.kind));
    if let Some(seconds) = error.retry_after_s() {
        response.insert_header((RETRY_AFTER, seconds.to_string()));
    }
    with_json(response, &error_body(error))
}

/// Returns a response with a JSON body.
pub(crate) fn json_response(status: StatusCode, body: &Value) -> Response<BoxBody> {
    with_json(Response::build(status), body)
}

/// Adds a JSON body to a response.
pub(crate) fn with_json(mut response: ResponseBuilder, body: &Value) -> Response<BoxBody> {
    response.insert_header((CONTENT_TYPE, JSON));
    response.body(body.to_string()).map_into_boxed_body()
}

/// Returns the error for a request that arrives after the control thread has ended.
pub(crate) fn shutting_down() -> CallError {
    CallError::new(ErrorKind::ShuttingDown, "this process is shutting down")
}
