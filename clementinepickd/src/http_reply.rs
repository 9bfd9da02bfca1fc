//! What any answer over HTTP is made of, and how a refusal becomes one.

use actix_http::body::BoxBody;
use actix_http::header::{CONTENT_TYPE, RETRY_AFTER};
use actix_http::{Response, ResponseBuilder, StatusCode};
use clementinepick::error::{CallError, ErrorKind};
use serde_json::Value;

use crate::body::{error_body, status};

const JSON: &str = "application/json";

/// Where a request failed.
pub(crate) enum Refusal {
    /// Before the decisions have seen it.
    Here(CallError),
    /// By the decisions, which have counted it.
    Decided(CallError),
}

impl From<CallError> for Refusal {
    fn from(error: CallError) -> Self {
        Self::Here(error)
    }
}

/// Refuses a request whose path means nothing here.
pub(crate) fn no_such_path(detail: &str) -> Result<Response<BoxBody>, Refusal> {
    let error = CallError::in_field(ErrorKind::UnknownService, "path", detail);
    Err(Refusal::Here(error))
}

/// The answer to a request that failed.
pub(crate) fn error_answer(error: &CallError) -> Response<BoxBody> {
    let mut response = Response::build(status(error.kind));
    if let Some(seconds) = error.retry_after_s() {
        response.insert_header((RETRY_AFTER, seconds.to_string()));
    }
    with_json(response, &error_body(error))
}

/// An answer in JSON.
pub(crate) fn json_answer(status: StatusCode, body: &Value) -> Response<BoxBody> {
    with_json(Response::build(status), body)
}

/// Ends an answer with a body in JSON.
pub(crate) fn with_json(mut response: ResponseBuilder, body: &Value) -> Response<BoxBody> {
    response.insert_header((CONTENT_TYPE, JSON));
    response.body(body.to_string()).map_into_boxed_body()
}

/// What is said when the control thread has ended.
pub(crate) fn ending() -> CallError {
    CallError::new(ErrorKind::ShuttingDown, "this process ends")
}
