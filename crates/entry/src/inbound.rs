//! Reads a client's request from HTTP.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use hyper::{Method, Request};
use tokio::time::{Instant, timeout};
use world::unit::ms;
use world::{Error, ErrorKind, KeyDigest};

/// Largest request body, bytes.
pub const BODY_MAX_BYTES: usize = 1024 * 1024;

/// Timeout for reading the body of a request.
pub const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Header with the client's remaining timeout, milliseconds.
pub const DEADLINE_HEADER: &str = "x-waxwing-deadline-ms";

/// Header with the key of a non-idempotent operation.
pub const IDEMPOTENCY_HEADER: &str = "idempotency-key";

/// A client's request with its whole body.
#[derive(Debug)]
pub struct InboundRequest {
    /// Digest of the API key in the request.
    pub key: KeyDigest,
    /// First segment of the path.
    pub service: String,
    /// Rest of the path with the query; starts with a slash.
    pub rest: String,
    /// HTTP method.
    pub method: Method,
    /// Headers as received.
    pub headers: HeaderMap,
    /// The whole body, at most [`BODY_MAX_BYTES`].
    pub body: Bytes,
    /// Time of arrival.
    pub arrived_at: Instant,
    /// Timeout that the client set, counted from the arrival.
    pub timeout: Option<Duration>,
}

impl InboundRequest {
    /// Reads a request and its body, within the size and time limits.
    ///
    /// # Errors
    /// [`ErrorKind::BadRequest`], [`ErrorKind::TooLarge`] or [`ErrorKind::SlowCaller`].
    pub async fn read(request: Request<Incoming>) -> Result<Self, Error> {
        let arrived_at = Instant::now();
        let (head, body) = request.into_parts();
        let (service, rest) = split_path(head.uri.path_and_query().map_or("/", |p| p.as_str()))?;
        let key = text(&head.headers, ::http_api::KEY_HEADER)?.unwrap_or("");
        let key = KeyDigest::of(key);
        let timeout = read_timeout(&head.headers)?;
        let body = read_body(body).await?;
        Ok(Self {
            key,
            service,
            rest,
            method: head.method,
            headers: head.headers,
            body,
            arrived_at,
            timeout,
        })
    }
}

impl InboundRequest {
    /// The API key in the request; empty when there is none.
    #[must_use]
    pub fn key_text(&self) -> &str {
        let value = self.headers.get(::http_api::KEY_HEADER);
        value.and_then(|v| v.to_str().ok()).unwrap_or("")
    }
}

fn split_path(path: &str) -> Result<(String, String), Error> {
    let path = path.strip_prefix('/').unwrap_or(path);
    let (service, rest) = match path.find(['/', '?']) {
        Some(at) => path.split_at(at),
        None => (path, "/"),
    };
    if service.is_empty() {
        return Err(Error::new(
            ErrorKind::BadRequest,
            "the path must start with a service: /SERVICE/PATH",
        ));
    }
    let slash = if rest.starts_with('/') { "" } else { "/" };
    Ok((service.into(), format!("{slash}{rest}")))
}

/// Returns a header as text; `None` when it is absent.
///
/// # Errors
/// [`ErrorKind::BadRequest`] when it is not visible ASCII text.
pub fn text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Error> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value
        .to_str()
        .map_err(|_| Error::new(ErrorKind::BadRequest, format!("header {name} is not text")))?;
    Ok(Some(text))
}

fn read_timeout(headers: &HeaderMap) -> Result<Option<Duration>, Error> {
    let Some(value) = text(headers, DEADLINE_HEADER)? else {
        return Ok(None);
    };
    let timeout_ms = value.parse().map_err(|_| {
        let text = format!("header {DEADLINE_HEADER}: expected milliseconds, found {value:?}");
        Error::new(ErrorKind::BadRequest, text)
    })?;
    Ok(Some(ms(timeout_ms)))
}

async fn read_body(body: Incoming) -> Result<Bytes, Error> {
    let collected = timeout(BODY_TIMEOUT, Limited::new(body, BODY_MAX_BYTES).collect())
        .await
        .map_err(|_| Error::new(ErrorKind::SlowCaller, "the body took too long"))?;
    match collected {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(Error::new(
            ErrorKind::TooLarge,
            format!("the body is over {BODY_MAX_BYTES} bytes"),
        )),
        Err(error) => Err(Error::new(
            ErrorKind::BadRequest,
            format!("the body broke off: {error}"),
        )),
    }
}
