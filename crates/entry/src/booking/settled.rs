//! Answers of operations in their HTTP form.

use bytes::Bytes;
use hyper::header::{HeaderName, HeaderValue};
use hyper::{Response, StatusCode};
use idempotency::{OperationOutcome, StoredAnswer};
use world::{Error, Kind, Ran};

use super::exchange::Whole;
use crate::body::AnswerBody;
use crate::headers;

/// Header on an answer that was stored by an earlier request.
const STORED_HEADER: HeaderName = HeaderName::from_static("x-waxwing-stored");

/// The answer to the caller.
///
/// # Errors
/// [`Kind::OutcomeUnknown`] when a stored answer can't be put in its HTTP form.
pub fn response(settled: OperationOutcome<Whole>) -> Result<Response<AnswerBody>, Error> {
    let mut response = match settled {
        OperationOutcome::Fresh(whole) => Response::from_parts(whole.head, full(whole.body)),
        OperationOutcome::Stored(answer) => stored(answer)?,
    };
    let ran = HeaderValue::from_static(Ran::Ran.as_str());
    response.headers_mut().insert(headers::RAN, ran);
    Ok(response)
}

fn full(body: impl Into<Bytes>) -> AnswerBody {
    AnswerBody::Full(Some(body.into()))
}

fn stored(answer: StoredAnswer) -> Result<Response<AnswerBody>, Error> {
    let damaged = || Error::new(Kind::OutcomeUnknown, "the stored answer can't be read");
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
