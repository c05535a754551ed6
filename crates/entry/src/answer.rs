//! Answers to callers in their HTTP form.

use bytes::Bytes;
use hyper::header::{CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use serde::Serialize;
use world::Error;

use crate::body::AnswerBody;

/// Header with the id of the request.
pub const REQUEST_HEADER: HeaderName = HeaderName::from_static("x-waxwing-request");
/// Header with the version of the configuration that decided.
pub const CONFIG_HEADER: HeaderName = HeaderName::from_static("x-waxwing-config");
/// Header with the code of the error kind.
pub const ERROR_HEADER: HeaderName = HeaderName::from_static("x-waxwing-error");
/// Header that tells whether the work ran.
pub const RAN_HEADER: HeaderName = HeaderName::from_static("x-waxwing-ran");
/// Header with the time to wait before sending again, milliseconds.
pub const RETRY_HEADER: HeaderName = HeaderName::from_static("retry-after-ms");

const MS_PER_S: u32 = 1_000;

/// Body of a refusal.
#[derive(Debug, Serialize)]
struct RefusalBody<'a> {
    error: &'a str,
    ran: &'a str,
    retry_after_ms: Option<u32>,
    detail: &'a str,
    request: &'a str,
}

/// The answer that refuses a request.
#[must_use]
pub fn refuse(error: &Error, request: &str) -> Response<AnswerBody> {
    let answer = error.kind.answer();
    let body = RefusalBody {
        error: answer.code,
        ran: answer.ran.as_str(),
        retry_after_ms: answer.retry_after_ms,
        detail: &error.detail,
        request,
    };
    let json = serde_json::to_vec(&body).unwrap_or_default();
    let mut response = Response::new(AnswerBody::Full(Some(Bytes::from(json))));
    *response.status_mut() =
        StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert(ERROR_HEADER, HeaderValue::from_static(answer.code));
    headers.insert(RAN_HEADER, HeaderValue::from_static(answer.ran.as_str()));
    if let Some(retry_after_ms) = answer.retry_after_ms {
        headers.insert(RETRY_HEADER, retry_after_ms.into());
        headers.insert(RETRY_AFTER, retry_after_ms.div_ceil(MS_PER_S).into());
    }
    response
}
