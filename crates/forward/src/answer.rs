//! Answers on their way to callers.

use bytes::Bytes;
use hyper::Response;
use hyper::header::{CONNECTION, CONTENT_LENGTH, HeaderMap, HeaderName, HeaderValue};
use hyper::header::{EXPECT, TE, TRAILER, TRANSFER_ENCODING, UPGRADE};

use crate::attempt::Answer;
use crate::body::AnswerBody;

/// Headers of one hop.
pub const HOP: [HeaderName; 7] = [
    CONNECTION,
    HeaderName::from_static("keep-alive"),
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
    HeaderName::from_static("proxy-connection"),
];

/// Takes the headers of one hop out, with those that `Connection` names.
pub fn drop_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .filter_map(|name| HeaderName::from_bytes(name.trim().as_bytes()).ok())
        .collect();
    for name in named.iter().chain(&HOP) {
        headers.remove(name);
    }
}

/// The headers of a caller's request that a backend server gets.
#[must_use]
pub fn passed_on(mut headers: HeaderMap) -> HeaderMap {
    drop_hop(&mut headers);
    // The body goes out whole, so its length is written anew.
    headers.remove(CONTENT_LENGTH);
    headers.remove(EXPECT);
    headers
}

/// The answer of a backend server as the caller gets it.
#[must_use]
pub fn pass_on(answer: Answer, leaving: bool) -> Response<AnswerBody> {
    let Answer { mut head, body } = answer;
    drop_hop(&mut head.headers);
    if matches!(body, AnswerBody::Full(_) | AnswerBody::Paced(_)) {
        head.headers.remove(CONTENT_LENGTH);
    }
    let mut response = Response::from_parts(head, body);
    *response.version_mut() = hyper::Version::HTTP_11;
    close_if(leaving, &mut response);
    response
}

/// An answer of the system's own.
#[must_use]
pub fn own(response: Response<Bytes>, leaving: bool) -> Response<AnswerBody> {
    let mut response = response.map(AnswerBody::full);
    close_if(leaving, &mut response);
    response
}

fn close_if(leaving: bool, response: &mut Response<AnswerBody>) {
    if leaving {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
}
