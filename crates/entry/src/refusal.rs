//! HTTP responses that refuse a request.

use bytes::Bytes;
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use serde::Serialize;
use world::Error;

use crate::body::ResponseBody;
use crate::headers;

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

/// Encodes an error as a response to the client.
#[must_use]
pub fn refuse(error: &Error, request: &str) -> Response<ResponseBody> {
    let answer = error.kind.response();
    let body = RefusalBody {
        error: answer.code,
        ran: answer.ran.as_str(),
        retry_after_ms: answer.retry_after_ms,
        detail: &error.detail,
        request,
    };
    let json = serde_json::to_vec(&body).unwrap_or_default();
    let mut response = Response::new(ResponseBody::Full(Some(Bytes::from(json))));
    *response.status_mut() =
        StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let answer_headers = response.headers_mut();
    answer_headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    answer_headers.insert(headers::ERROR, HeaderValue::from_static(answer.code));
    answer_headers.insert(headers::RAN, HeaderValue::from_static(answer.ran.as_str()));
    if let Some(retry_after_ms) = answer.retry_after_ms {
        answer_headers.insert(headers::RETRY_AFTER_MS, retry_after_ms.into());
        answer_headers.insert(RETRY_AFTER, retry_after_ms.div_ceil(MS_PER_S).into());
    }
    response
}
