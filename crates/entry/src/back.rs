//! One attempt at a backend server.

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper::header::{
    CONNECTION, CONTENT_TYPE, HOST, HeaderMap, HeaderName, HeaderValue, TRANSFER_ENCODING,
};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout_at};
use world::unit::as_ms;
use world::{BackendServer, Error, Kind};

use crate::answer::REQUEST_HEADER;
use crate::ask::{Ask, DEADLINE_HEADER, IDEMPOTENCY_HEADER};
use crate::body::{AnswerBody, Slot};

/// Headers of one hop, which are not passed on.
const HOP_HEADERS: [HeaderName; 2] = [CONNECTION, TRANSFER_ENCODING];

/// Sends a request to a backend server and checks that the answer is its own.
///
/// # Errors
/// [`Kind::NoServer`] when nothing was sent; [`Kind::DeadlineRunning`],
/// [`Kind::ServerFailed`] or [`Kind::BadAnswer`] when the work may have run.
pub async fn send(
    server: &BackendServer,
    ask: &Ask,
    id: &str,
    deadline: Instant,
    slot: Slot,
) -> Result<Response<AnswerBody>, Error> {
    let request = request(server, ask, id, deadline)?;
    let stream = timeout_at(deadline, TcpStream::connect(server.addr))
        .await
        .map_err(|_| Error::new(Kind::DeadlineWaiting, "no connection in time"))?
        .map_err(|error| Error::new(Kind::NoServer, format!("{}: {error}", server.name)))?;
    let _ = stream.set_nodelay(true);
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|error| Error::new(Kind::NoServer, format!("{}: {error}", server.name)))?;
    tokio::spawn(connection);
    let answered = timeout_at(deadline, sender.send_request(request))
        .await
        .map_err(|_| {
            Error::new(
                Kind::DeadlineRunning,
                format!("{} was running", server.name),
            )
        })?
        .map_err(|error| Error::new(Kind::ServerFailed, format!("{}: {error}", server.name)))?;
    if answered
        .headers()
        .get(REQUEST_HEADER)
        .map(HeaderValue::as_bytes)
        != Some(id.as_bytes())
    {
        let text = format!("{} answered another request", server.name);
        return Err(Error::new(Kind::BadAnswer, text));
    }
    Ok(passed_on(answered, slot))
}

/// The request as it goes to a backend server.
///
/// # Errors
/// [`Kind::BadRequest`] when it can't be put in its HTTP form.
pub fn request(
    server: &BackendServer,
    ask: &Ask,
    id: &str,
    deadline: Instant,
) -> Result<Request<Full<Bytes>>, Error> {
    let left_ms = as_ms(deadline.saturating_duration_since(Instant::now()));
    let mut request = Request::builder()
        .method(ask.method.clone())
        .uri(&ask.rest)
        .header(HOST, server.addr.to_string())
        .header(REQUEST_HEADER, id)
        .header(DEADLINE_HEADER, left_ms);
    for name in [CONTENT_TYPE.as_str(), IDEMPOTENCY_HEADER] {
        if let Some(value) = ask.headers.get(name) {
            request = request.header(name, value);
        }
    }
    request
        .body(Full::new(ask.body.clone()))
        .map_err(|error| Error::new(Kind::BadRequest, error.to_string()))
}

fn passed_on(answered: Response<hyper::body::Incoming>, slot: Slot) -> Response<AnswerBody> {
    let (mut head, body) = answered.into_parts();
    drop_hop_headers(&mut head.headers);
    Response::from_parts(head, AnswerBody::Stream(body, slot))
}

/// Takes out the headers of one hop.
pub fn drop_hop_headers(headers: &mut HeaderMap) {
    for name in HOP_HEADERS {
        headers.remove(name);
    }
}
