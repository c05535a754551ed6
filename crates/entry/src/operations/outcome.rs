//! HTTP responses of operations.

use bytes::Bytes;
use hyper::header::{HeaderName, HeaderValue};
use hyper::{Response, StatusCode};
use idempotency::{OperationOutcome, StoredAnswer};
use world::{Error, ErrorKind, RunStatus};

use super::dispatch::BufferedResponse;
use crate::body::ResponseBody;
use crate::headers;

/// Header on a response that an earlier request stored.
const STORED_HEADER: HeaderName = HeaderName::from_static("x-waxwing-stored");

/// Encodes the outcome of an operation as a response to the client.
///
/// # Errors
/// [`ErrorKind::OutcomeUnknown`] when a stored response is not valid HTTP.
pub fn response(
    outcome: OperationOutcome<BufferedResponse>,
) -> Result<Response<ResponseBody>, Error> {
    let mut response = match outcome {
        OperationOutcome::Fresh(buffered) => {
            Response::from_parts(buffered.head, full(buffered.body))
        }
        OperationOutcome::Stored(answer) => stored(answer)?,
    };
    let ran = HeaderValue::from_static(RunStatus::Ran.as_str());
    response.headers_mut().insert(headers::RAN, ran);
    Ok(response)
}

fn full(body: impl Into<Bytes>) -> ResponseBody {
    ResponseBody::Full(Some(body.into()))
}

fn stored(answer: StoredAnswer) -> Result<Response<ResponseBody>, Error> {
    let damaged = || Error::new(ErrorKind::OutcomeUnknown, "the stored answer can't be read");
    let mut response = Response::new(full(answer.body));
    *response.status_mut() = StatusCode::from_u16(answer.status).map_err(|_| damaged())?;
    let headers = response.headers_mut();
    for header in answer.headers {
        let name = HeaderName::from_bytes(header.name.as_bytes()).map_err(|_| damaged())?;
        let value = HeaderValue::from_bytes(&header.value).map_err(|_| damaged())?;
        headers.append(name, value);
    }
    headers.insert(STORED_HEADER, HeaderValue::from_static("yes"));
    Ok(response)
}
