//! Headers of forwarded requests, and responses to clients.

use bytes::Bytes;
use hyper::Response;
use hyper::header::{CONNECTION, CONTENT_LENGTH, HeaderMap, HeaderName, HeaderValue};
use hyper::header::{EXPECT, TE, TRAILER, TRANSFER_ENCODING, UPGRADE};

use crate::attempt::ServerResponse;
use crate::body::ResponseBody;

/// Hop-by-hop headers, which a proxy must not forward.
pub const HOP_BY_HOP_HEADERS: [HeaderName; 7] = [
    CONNECTION,
    HeaderName::from_static("keep-alive"),
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
    HeaderName::from_static("proxy-connection"),
];

/// Removes the hop-by-hop headers, including those named by `Connection`.
pub fn remove_hop_by_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .filter_map(|name| HeaderName::from_bytes(name.trim().as_bytes()).ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP_HEADERS) {
        headers.remove(name);
    }
}

/// Headers of a client's request that are forwarded to a backend server.
#[must_use]
pub fn forwarded_headers(mut headers: HeaderMap) -> HeaderMap {
    remove_hop_by_hop_headers(&mut headers);
    // The body is sent complete, so the HTTP library sets its length.
    headers.remove(CONTENT_LENGTH);
    headers.remove(EXPECT);
    headers
}

/// The response for the client from the response of a backend server; closes
/// the connection if this entry VM is leaving.
#[must_use]
pub fn client_response(server_response: ServerResponse, leaving: bool) -> Response<ResponseBody> {
    let ServerResponse { mut head, body } = server_response;
    remove_hop_by_hop_headers(&mut head.headers);
    if matches!(body, ResponseBody::Full(_) | ResponseBody::Paced(_)) {
        head.headers.remove(CONTENT_LENGTH);
    }
    let mut response = Response::from_parts(head, body);
    *response.version_mut() = hyper::Version::HTTP_11;
    close_if(leaving, &mut response);
    response
}

/// The response for the client when this entry VM itself responds; closes the
/// connection if it is leaving.
#[must_use]
pub fn own_response(response: Response<Bytes>, leaving: bool) -> Response<ResponseBody> {
    let mut response = response.map(ResponseBody::full);
    close_if(leaving, &mut response);
    response
}

fn close_if(leaving: bool, response: &mut Response<ResponseBody>) {
    if leaving {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
}
