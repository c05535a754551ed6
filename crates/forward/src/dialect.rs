//! Decoded request and response heads, and the trait that translates them
//! from and to HTTP headers.

use std::sync::Arc;

use affinity::Report;
use bytes::Bytes;
use hyper::Response;
use hyper::header::HeaderMap;
use hyper::http::{request, response};
use world::{Error, Result, ServerName};

/// The decoded head of a client's request.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// Request id; each retry by the client has its own.
    pub id: Arc<str>,
    /// Requested host, without a port.
    pub host: Arc<str>,
    /// Hash of the object that the request concerns, for affinity.
    pub object: Option<u64>,
    /// How long the client waits, milliseconds.
    pub deadline_ms: Option<u64>,
}

/// An attempt to send a request to a backend server.
#[derive(Clone, Debug)]
pub struct AttemptHead<'a> {
    /// The request.
    pub call: &'a RequestHead,
    /// The server chosen for the attempt.
    pub server: &'a ServerName,
    /// Time left until the deadline, milliseconds.
    pub left_ms: u64,
}

/// The decoded head of a backend server's response, without the status.
#[derive(Clone, Debug, Default)]
pub struct ResponseHead {
    /// Id of the request to which the response belongs.
    pub id: Option<Arc<str>>,
    /// Whether the server reports that it did not run the request.
    pub not_run: bool,
    /// Whether a server other than the chosen one responded.
    pub replaced: bool,
    /// Whether the response carries the server's seal, which an intermediary's
    /// response lacks.
    pub sealed: bool,
    /// The reported load of the server.
    pub report: Option<Report>,
    /// How long the connection may stay idle, milliseconds.
    pub idle_ms: Option<u64>,
    /// Which further requests the server wants.
    pub restrictions: Restrictions,
}

/// What a backend server says in a response of the further requests that it wants.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Restrictions {
    /// Whether the server drains or shuts down, so that it wants no new requests.
    pub leaving: bool,
    /// Time for which the server wants no requests of this entry VM, milliseconds.
    pub hold_off_ms: Option<u64>,
    /// Requests that the server takes from all entry VMs together, in 1,000 s.
    pub limit_per_1000_s: Option<u64>,
}

/// Encoding of request and response heads as HTTP headers.
pub trait Dialect: Send + Sync + 'static {
    /// Decodes the head of a client's request.
    ///
    /// # Errors
    /// [`world::ErrorKind::BadRequest`] when the head can't be decoded.
    fn decode_request(&self, head: &request::Parts) -> Result<RequestHead>;

    /// Replaces the client's headers by those for the chosen backend server.
    fn encode_attempt(&self, hop: &AttemptHead<'_>, headers: &mut HeaderMap);

    /// Decodes the head of a backend server's response.
    fn decode_response(&self, head: &response::Parts) -> ResponseHead;

    /// Encodes an error of the entry VM as a response; the client may retry
    /// after `retry_after_ms`.
    fn encode_error(
        &self,
        error: &Error,
        retry_after_ms: Option<u32>,
        call: Option<&RequestHead>,
    ) -> Response<Bytes>;
}
