//! What requests and answers say, apart from how it is written.

use std::sync::Arc;

use affinity::Report;
use bytes::Bytes;
use hyper::Response;
use hyper::header::HeaderMap;
use hyper::http::{request, response};
use world::{Error, Result, ServerName};

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct Call {
    /// Id of this attempt of the caller.
    pub id: Arc<str>,
    /// Host that it is for, without a port.
    pub host: Arc<str>,
    /// Hash of the object that it concerns.
    pub object: Option<u64>,
    /// How long the caller will wait, milliseconds.
    pub deadline_ms: Option<u64>,
}

/// A send of a request to a backend server.
#[derive(Clone, Debug)]
pub struct Hop<'a> {
    /// The request.
    pub call: &'a Call,
    /// The server that is meant.
    pub server: &'a ServerName,
    /// Time that is left for it, milliseconds.
    pub left_ms: u64,
}

/// What the head of a backend server's answer says beside status and body.
#[derive(Clone, Debug, Default)]
pub struct Reply {
    /// Id of the request that it answers.
    pub id: Option<Arc<str>>,
    /// Whether the server says that it did not run the request.
    pub not_run: bool,
    /// Whether another server than the one that was meant has answered.
    pub replaced: bool,
    /// Whether it is marked as the server's own answer.
    pub sealed: bool,
    /// The server's load.
    pub report: Option<Report>,
    /// How long the connection may stay idle, milliseconds.
    pub idle_ms: Option<u64>,
}

/// How requests and answers are written.
pub trait Dialect: Send + Sync + 'static {
    /// Reads the head of a caller's request.
    ///
    /// # Errors
    /// [`world::Kind::BadRequest`] when it can't be read.
    fn call(&self, head: &request::Parts) -> Result<Call>;

    /// Writes the headers that go to a backend server in place of the caller's.
    fn hop(&self, hop: &Hop<'_>, headers: &mut HeaderMap);

    /// Reads the head of a backend server's answer.
    fn reply(&self, head: &response::Parts) -> Reply;

    /// Writes an answer of the system's own; `retry_after_ms` says when the
    /// caller may come back.
    fn refuse(
        &self,
        error: &Error,
        retry_after_ms: Option<u32>,
        call: Option<&Call>,
    ) -> Response<Bytes>;
}
